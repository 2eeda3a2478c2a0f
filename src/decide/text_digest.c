#include "decide/text_digest.h"

#include <string.h>

text_digest_t
text_digest_compute (const char *text)
{
  GChecksum *checksum = g_checksum_new (G_CHECKSUM_SHA256);
  guint8 whole[32];
  gsize size = sizeof whole;
  text_digest_t digest;

  g_checksum_update (checksum, (const guchar *) text, (gssize) strlen (text));
  g_checksum_get_digest (checksum, whole, &size);
  g_checksum_free (checksum);
  memcpy (digest.bytes, whole, sizeof digest.bytes);
  return digest;
}
