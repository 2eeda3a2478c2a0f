#include "base/address.h"

#include <gio/gio.h>
#include <string.h>

/* Returns the host without brackets, or NULL if it is not an IP address. */
static char *
parse_host (const char *text, gsize length)
{
  bool has_brackets = length > 2 && text[0] == '[' && text[length - 1] == ']';
  g_autofree char *host
      = has_brackets ? g_strndup (text + 1, length - 2) : g_strndup (text, length);
  g_autoptr (GInetAddress) address = g_inet_address_new_from_string (host);

  if (address == NULL
      || has_brackets != (g_inet_address_get_family (address) == G_SOCKET_FAMILY_IPV6))
    return NULL;
  return g_steal_pointer (&host);
}

bool
address_split (const char *text, char **host, guint16 *port)
{
  const char *colon = strrchr (text, ':');
  char *parsed;
  guint64 number;

  if (colon == NULL || !g_ascii_string_to_unsigned (colon + 1, 10, 0, G_MAXUINT16, &number, NULL))
    return false;
  parsed = parse_host (text, (gsize) (colon - text));
  if (parsed == NULL)
    return false;
  *host = parsed;
  *port = (guint16) number;
  return true;
}

bool
address_is_callable (const char *text)
{
  g_autofree char *host = NULL;
  guint16 port = 0;

  return address_split (text, &host, &port) && port != 0;
}
