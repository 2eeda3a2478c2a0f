#include "peer/link.h"

#include "base/address.h"
#include "base/clock.h"
#include "base/memory_budget.h"
#include "peer/sent_bytes.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

struct link
{
  const link_events_t *events;
  void *data;
  GSocketClient *client;
  GSocketConnection *connection;
  GCancellable *cancellable; /* of the connection attempt */
  GByteArray *unwritten;     /* frames that are not written yet */
  guint written_bytes;       /* of `unwritten` */
  GByteArray *received;      /* bytes after the last complete frame */
  gint64 held_bytes;         /* of MEMORY_LINKS, for both */
  GSource *read_source;
  GSource *write_source; /* NULL: the connection takes all that is written, or nothing waits */
  guint flush_source;
  guint broken_source; /* reports a full queue */
  gint64 last_received_us;
  guint pending_operation_count; /* operations and callbacks that keep this struct allocated */
  bool is_broken;
  bool is_freed;
};

enum
{
  HEADER_BYTES = 4, /* length of the frame, big-endian */
  READ_BYTES = 64 * 1024,
  FRAME_MAX_BYTES = 8 * 1024 * 1024,
  QUEUE_MAX_BYTES = 16 * 1024 * 1024, /* a peer that does not read in time is disconnected */
  CONNECT_TIMEOUT_S = 1
};

static void
clear_source (GSource **source)
{
  if (*source != NULL)
    g_source_destroy (*source);
  g_clear_pointer (source, g_source_unref);
}

/* Takes the memory for `bytes` more, or returns false. */
static bool
take_memory (link_t *link, gsize bytes)
{
  if (!memory_take (MEMORY_LINKS, link->held_bytes, (gint64) bytes))
    return false;
  link->held_bytes += (gint64) bytes;
  return true;
}

/* Gives back the memory of what was written or handed over. */
static void
give_back_memory (link_t *link)
{
  gint64 kept_bytes = (gint64) link->unwritten->len + link->received->len;

  g_assert (kept_bytes <= link->held_bytes);
  memory_give_back (MEMORY_LINKS, link->held_bytes - kept_bytes);
  link->held_bytes = kept_bytes;
}

static void
destroy (link_t *link)
{
  memory_give_back (MEMORY_LINKS, link->held_bytes);
  g_clear_object (&link->client);
  g_clear_object (&link->connection);
  g_object_unref (link->cancellable);
  g_byte_array_unref (link->unwritten);
  g_byte_array_unref (link->received);
  g_free (link);
}

static void
begin_operation (link_t *link)
{
  link->pending_operation_count++;
}

/* Accounts for a finished operation.  Returns false when the link is broken or link_free() was
 * called meanwhile; in the latter case the last one frees the memory. */
static bool
finish_operation (link_t *link)
{
  link->pending_operation_count--;
  if (link->is_freed)
    {
      if (link->pending_operation_count == 0)
        destroy (link);
      return false;
    }
  return !link->is_broken;
}

static void
report_broken (link_t *link, const char *reason)
{
  if (link->is_broken || link->is_freed)
    return;
  link->is_broken = true;
  g_cancellable_cancel (link->cancellable);
  link->events->broken (link, reason, link->data);
}

/* ---- Reading. */

static guint32
frame_length (const guint8 *header)
{
  guint32 length;

  memcpy (&length, header, sizeof length);
  return g_ntohl (length);
}

/* Returns the number of bytes that the frame took; 0 if it is incomplete or the link is broken. */
static gsize
handle_frame (link_t *link, const guint8 *bytes, gsize size)
{
  Mimosastair__Frame *frame;
  guint32 length;

  if (size < HEADER_BYTES)
    return 0;
  length = frame_length (bytes);
  if (length == 0 || length > FRAME_MAX_BYTES)
    {
      report_broken (link, "bad_length");
      return 0;
    }
  if (size < HEADER_BYTES + length)
    return 0;
  frame = mimosastair__frame__unpack (NULL, length, bytes + HEADER_BYTES);
  if (frame == NULL)
    {
      report_broken (link, "bad_frame");
      return 0;
    }
  link->last_received_us = clock_now_us ();
  link->events->received (link, frame, link->data);
  mimosastair__frame__free_unpacked (frame, NULL);
  return HEADER_BYTES + length;
}

/* Hands over the complete frames.  Returns false if the link is broken or freed. */
static bool
handle_received (link_t *link)
{
  gsize done = 0;
  gsize taken;

  /* The callbacks may free the link; the extra operation keeps it allocated until then. */
  begin_operation (link);
  do
    {
      taken = handle_frame (link, link->received->data + done, link->received->len - done);
      done += taken;
    }
  while (taken > 0 && !link->is_broken && !link->is_freed);
  g_byte_array_remove_range (link->received, 0, (guint) done);
  return finish_operation (link);
}

static gboolean
on_readable (GObject *stream, gpointer data)
{
  link_t *link = data;
  guint8 buffer[READ_BYTES];
  g_autoptr (GError) error = NULL;
  gssize size = g_pollable_input_stream_read_nonblocking (G_POLLABLE_INPUT_STREAM (stream), buffer,
                                                          sizeof buffer, NULL, &error);

  if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
    return G_SOURCE_CONTINUE;
  if (size <= 0)
    {
      report_broken (link, "closed");
      return G_SOURCE_REMOVE;
    }
  if (!take_memory (link, (gsize) size))
    {
      report_broken (link, "no_memory");
      return G_SOURCE_REMOVE;
    }
  g_byte_array_append (link->received, buffer, (guint) size);
  if (!handle_received (link))
    return G_SOURCE_REMOVE;
  give_back_memory (link);
  return G_SOURCE_CONTINUE;
}

static void
start_reading (link_t *link)
{
  GInputStream *in = g_io_stream_get_input_stream (G_IO_STREAM (link->connection));

  link->read_source = g_pollable_input_stream_create_source (G_POLLABLE_INPUT_STREAM (in), NULL);
  g_source_set_callback (link->read_source, G_SOURCE_FUNC (on_readable), link, NULL);
  g_source_attach (link->read_source, g_main_context_get_thread_default ());
}

/* ---- Writing. */

static gboolean on_writable (GObject *stream, gpointer data);

static void
wait_until_writable (link_t *link, GPollableOutputStream *out)
{
  if (link->write_source != NULL)
    return;
  link->write_source = g_pollable_output_stream_create_source (out, NULL);
  g_source_set_callback (link->write_source, G_SOURCE_FUNC (on_writable), link, NULL);
  g_source_attach (link->write_source, g_main_context_get_thread_default ());
}

/* Writes what the connection takes now. */
static void
write_unwritten (link_t *link)
{
  GPollableOutputStream *out
      = G_POLLABLE_OUTPUT_STREAM (g_io_stream_get_output_stream (G_IO_STREAM (link->connection)));

  while (link->written_bytes < link->unwritten->len)
    {
      g_autoptr (GError) error = NULL;
      gssize size = g_pollable_output_stream_write_nonblocking (
          out, link->unwritten->data + link->written_bytes,
          link->unwritten->len - link->written_bytes, NULL, &error);

      if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        {
          g_byte_array_remove_range (link->unwritten, 0, link->written_bytes);
          link->written_bytes = 0;
          give_back_memory (link);
          wait_until_writable (link, out);
          return;
        }
      if (size < 0)
        {
          report_broken (link, "write_failed");
          return;
        }
      link->written_bytes += (guint) size;
    }
  g_byte_array_set_size (link->unwritten, 0);
  link->written_bytes = 0;
  give_back_memory (link);
}

static gboolean
on_writable (GObject *stream G_GNUC_UNUSED, gpointer data)
{
  link_t *link = data;

  clear_source (&link->write_source);
  write_unwritten (link);
  return G_SOURCE_REMOVE;
}

static gboolean
flush (gpointer data)
{
  link_t *link = data;

  link->flush_source = 0;
  write_unwritten (link);
  return G_SOURCE_REMOVE;
}

static gboolean
report_full_queue (gpointer data)
{
  link_t *link = data;

  link->broken_source = 0;
  report_broken (link, "queue_full");
  return G_SOURCE_REMOVE;
}

bool
link_send (link_t *link, const Mimosastair__Frame *frame)
{
  gsize size = mimosastair__frame__get_packed_size (frame);
  guint32 length = g_htonl ((guint32) size);
  guint start = link->unwritten->len;

  if (link->is_broken || link->broken_source != 0 || link->connection == NULL || size == 0)
    return false;
  if (start - link->written_bytes + size > QUEUE_MAX_BYTES
      || !take_memory (link, sizeof length + size))
    {
      /* Not reported from here: the caller goes on to use what the report may free. */
      link->broken_source = g_idle_add_full (G_PRIORITY_DEFAULT, report_full_queue, link, NULL);
      return false;
    }
  g_byte_array_append (link->unwritten, (const guint8 *) &length, sizeof length);
  g_byte_array_set_size (link->unwritten, link->unwritten->len + (guint) size);
  mimosastair__frame__pack (frame, link->unwritten->data + start + sizeof length);
  sent_bytes_count (link->unwritten->data + start + sizeof length, sizeof length + size);
  if (link->flush_source == 0 && link->write_source == NULL)
    link->flush_source = g_idle_add_full (G_PRIORITY_DEFAULT, flush, link, NULL);
  return true;
}

/* ---- Connection. */

static void
set_socket_options (GSocketConnection *connection)
{
  GSocket *socket = g_socket_connection_get_socket (connection);

  (void) g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  g_socket_set_timeout (socket, 0); /* the timeout set on the client is for connecting only */
}

static void
connect_finished (GObject *client, GAsyncResult *result, gpointer data)
{
  link_t *link = data;
  g_autoptr (GError) error = NULL;
  GSocketConnection *connection
      = g_socket_client_connect_finish (G_SOCKET_CLIENT (client), result, &error);

  if (!finish_operation (link))
    {
      g_clear_object (&connection);
      return;
    }
  if (connection == NULL)
    {
      report_broken (link, g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED)
                               ? "refused"
                               : "not_connected");
      return;
    }
  link->connection = connection;
  link->last_received_us = clock_now_us ();
  set_socket_options (connection);
  begin_operation (link);
  link->events->opened (link, link->data);
  if (finish_operation (link))
    start_reading (link);
}

static link_t *
link_new (const link_events_t *events, void *data)
{
  link_t *link = g_new0 (link_t, 1);

  link->events = events;
  link->data = data;
  link->cancellable = g_cancellable_new ();
  link->unwritten = g_byte_array_new ();
  link->received = g_byte_array_new ();
  link->last_received_us = clock_now_us ();
  return link;
}

link_t *
link_connect (const char *address, const link_events_t *events, void *data)
{
  link_t *link = link_new (events, data);
  g_autofree char *host = NULL;
  guint16 port = 0;
  g_autoptr (GSocketAddress) to = NULL;

  if (address_split (address, &host, &port))
    to = g_inet_socket_address_new_from_string (host, port);
  /* An invalid address is reported through `broken`, like a refused connection. */
  if (to == NULL)
    to = g_inet_socket_address_new_from_string ("127.0.0.1", 1);
  link->client = g_socket_client_new ();
  g_socket_client_set_enable_proxy (link->client, FALSE);
  g_socket_client_set_timeout (link->client, CONNECT_TIMEOUT_S);
  begin_operation (link);
  g_socket_client_connect_async (link->client, G_SOCKET_CONNECTABLE (to), link->cancellable,
                                 connect_finished, link);
  return link;
}

link_t *
link_accept (GSocketConnection *connection, const link_events_t *events, void *data)
{
  link_t *link = link_new (events, data);

  link->connection = g_object_ref (connection);
  set_socket_options (connection);
  start_reading (link);
  return link;
}

void
link_free (link_t *link)
{
  if (link == NULL || link->is_freed)
    return;
  link->is_freed = true;
  clear_source (&link->read_source);
  clear_source (&link->write_source);
  if (link->flush_source != 0)
    g_source_remove (link->flush_source);
  if (link->broken_source != 0)
    g_source_remove (link->broken_source);
  g_cancellable_cancel (link->cancellable);
  if (link->connection != NULL)
    (void) g_io_stream_close (G_IO_STREAM (link->connection), NULL, NULL);
  if (link->pending_operation_count == 0)
    destroy (link);
}

gint64
link_last_received_us (const link_t *link)
{
  return link->last_received_us;
}
