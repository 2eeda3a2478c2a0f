#include "peer/sent_bytes.h"

#include "peer/peer.pb-c.h"

#include <string.h>

enum
{
  KIND_LIMIT = 32, /* exceeds every field number of Frame */
  TAG_TYPE_BITS = 3
};

static guint64 sent[KIND_LIMIT]; /* by field number of Frame */

/* Returns the field number at the start of the frame: messages are packed by field number, so this
 * is the lowest one. */
static guint
first_field (const guint8 *packed_frame)
{
  guint tag = packed_frame[0] & 0x7f;

  if ((packed_frame[0] & 0x80) != 0)
    tag |= (guint) (packed_frame[1] & 0x7f) << 7;
  return tag >> TAG_TYPE_BITS;
}

void
sent_bytes_count (const guint8 *packed_frame, gsize bytes)
{
  guint field = first_field (packed_frame);

  if (field < KIND_LIMIT)
    sent[field] += bytes;
}

guint64
sent_bytes_of (const char *kind)
{
  const ProtobufCFieldDescriptor *field
      = protobuf_c_message_descriptor_get_field_by_name (&mimosastair__frame__descriptor, kind);

  return field != NULL && field->id < KIND_LIMIT ? sent[field->id] : 0;
}

void
sent_bytes_append_metrics (GString *out)
{
  for (guint i = 0; i < KIND_LIMIT; i++)
    {
      const ProtobufCFieldDescriptor *field
          = protobuf_c_message_descriptor_get_field (&mimosastair__frame__descriptor, i);

      if (field != NULL && sent[i] > 0)
        g_string_append_printf (
            out, "mimosastair_link_sent_bytes_total{kind=\"%s\"} %" G_GUINT64_FORMAT "\n",
            field->name, sent[i]);
    }
}
