/* Counts the bytes that this process sends to other entry VMs, by kind of message.
 *
 * The counters belong to the process and may be used by one thread only.
 */
#pragma once

#include <glib.h>

/* Counts `bytes` for the message in a packed frame of at least one byte.  A frame that holds
 * several kinds counts as the kind with the lowest field number. */
void sent_bytes_count (const guint8 *packed_frame, gsize bytes);

/* Returns the bytes counted so far for a field of Frame, such as "start"; 0 for other names. */
guint64 sent_bytes_of (const char *kind);

/* Appends mimosastair_link_sent_bytes_total samples for the kinds that were sent. */
void sent_bytes_append_metrics (GString *out);
