#include "peer/link.h"

#include "base/clock.h"
#include "base/settings.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

struct link
{
  const link_events_t *events;
  void *data;
  GSocketClient *client;
  GSocketConnection *connection;
  GCancellable *cancel;
  GByteArray *out;     /* not yet handed to the socket */
  GByteArray *writing; /* being written */
  guint flush;
  guint8 *frame;
  gsize frame_bytes; /* 0: the length is being read */
  guint8 header[4];
  gint64 heard_us;
  guint operations; /* asynchronous calls on their way */
  bool is_broken;
  bool is_freed;
};

enum
{
  FRAME_MAX_BYTES = 8 * 1024 * 1024,
  QUEUE_MAX_BYTES = 16 * 1024 * 1024, /* a peer that does not read is given up */
  CONNECT_TIMEOUT_S = 1
};

static void read_header (link_t *link);
static void write_out (link_t *link);

static void
destroy (link_t *link)
{
  g_clear_object (&link->client);
  g_clear_object (&link->connection);
  g_object_unref (link->cancel);
  g_byte_array_unref (link->out);
  g_clear_pointer (&link->writing, g_byte_array_unref);
  g_free (link->frame);
  g_free (link);
}

static void
operation_began (link_t *link)
{
  link->operations++;
}

/* False when the link is gone or was given up meanwhile. */
static bool
operation_ended (link_t *link)
{
  link->operations--;
  if (link->is_freed)
    {
      if (link->operations == 0)
        destroy (link);
      return false;
    }
  return !link->is_broken;
}

static void
break_link (link_t *link, const char *reason)
{
  if (link->is_broken || link->is_freed)
    return;
  link->is_broken = true;
  g_cancellable_cancel (link->cancel);
  link->events->broken (link, reason, link->data);
}

static void
handle_frame (link_t *link)
{
  Mimosastair__Frame *frame = mimosastair__frame__unpack (NULL, link->frame_bytes, link->frame);

  g_clear_pointer (&link->frame, g_free);
  link->frame_bytes = 0;
  if (frame == NULL)
    {
      break_link (link, "bad_frame");
      return;
    }
  link->heard_us = clock_now_us ();
  link->events->frame (link, frame, link->data);
  mimosastair__frame__free_unpacked (frame, NULL);
}

static void
body_read (GObject *stream, GAsyncResult *result, gpointer data)
{
  link_t *link = data;
  gsize size = 0;
  gboolean ok = g_input_stream_read_all_finish (G_INPUT_STREAM (stream), result, &size, NULL);

  if (!operation_ended (link))
    return;
  if (!ok || size < link->frame_bytes)
    {
      break_link (link, "closed");
      return;
    }
  /* The callback may free the link: hold it through the call. */
  operation_began (link);
  handle_frame (link);
  if (operation_ended (link))
    read_header (link);
}

static void
header_read (GObject *stream, GAsyncResult *result, gpointer data)
{
  link_t *link = data;
  gsize size = 0;
  gboolean ok = g_input_stream_read_all_finish (G_INPUT_STREAM (stream), result, &size, NULL);
  guint32 length;

  if (!operation_ended (link))
    return;
  if (!ok || size < sizeof link->header)
    {
      break_link (link, "closed");
      return;
    }
  memcpy (&length, link->header, sizeof length);
  link->frame_bytes = g_ntohl (length);
  if (link->frame_bytes == 0 || link->frame_bytes > FRAME_MAX_BYTES)
    {
      break_link (link, "bad_length");
      return;
    }
  link->frame = g_malloc (link->frame_bytes);
  operation_began (link);
  g_input_stream_read_all_async (G_INPUT_STREAM (stream), link->frame, link->frame_bytes,
                                 G_PRIORITY_DEFAULT, link->cancel, body_read, link);
}

static void
read_header (link_t *link)
{
  GInputStream *in = g_io_stream_get_input_stream (G_IO_STREAM (link->connection));

  operation_began (link);
  g_input_stream_read_all_async (in, link->header, sizeof link->header, G_PRIORITY_DEFAULT,
                                 link->cancel, header_read, link);
}

static void
written (GObject *stream, GAsyncResult *result, gpointer data)
{
  link_t *link = data;
  gboolean ok = g_output_stream_write_all_finish (G_OUTPUT_STREAM (stream), result, NULL, NULL);

  g_clear_pointer (&link->writing, g_byte_array_unref);
  if (!operation_ended (link))
    return;
  if (!ok)
    break_link (link, "write_failed");
  else
    write_out (link);
}

static void
write_out (link_t *link)
{
  GOutputStream *out;

  if (link->writing != NULL || link->connection == NULL || link->out->len == 0)
    return;
  out = g_io_stream_get_output_stream (G_IO_STREAM (link->connection));
  link->writing = link->out;
  link->out = g_byte_array_new ();
  operation_began (link);
  g_output_stream_write_all_async (out, link->writing->data, link->writing->len, G_PRIORITY_DEFAULT,
                                   link->cancel, written, link);
}

static gboolean
flush (gpointer data)
{
  link_t *link = data;

  link->flush = 0;
  write_out (link);
  return G_SOURCE_REMOVE;
}

bool
link_send (link_t *link, const Mimosastair__Frame *frame)
{
  gsize size = mimosastair__frame__get_packed_size (frame);
  guint32 length = g_htonl ((guint32) size);
  guint start = link->out->len;

  if (link->is_broken || link->connection == NULL || size == 0)
    return false;
  if (link->out->len + size > QUEUE_MAX_BYTES)
    {
      break_link (link, "queue_full");
      return false;
    }
  g_byte_array_append (link->out, (const guint8 *) &length, sizeof length);
  g_byte_array_set_size (link->out, link->out->len + (guint) size);
  mimosastair__frame__pack (frame, link->out->data + start + sizeof length);
  if (link->flush == 0 && link->writing == NULL)
    link->flush = g_idle_add_full (G_PRIORITY_DEFAULT, flush, link, NULL);
  return true;
}

static void
set_socket_options (GSocketConnection *connection)
{
  GSocket *socket = g_socket_connection_get_socket (connection);

  (void) g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  g_socket_set_timeout (socket, 0); /* the time limit was for connecting */
}

static void
connected (GObject *client, GAsyncResult *result, gpointer data)
{
  link_t *link = data;
  g_autoptr (GError) error = NULL;
  GSocketConnection *connection
      = g_socket_client_connect_finish (G_SOCKET_CLIENT (client), result, &error);

  if (!operation_ended (link))
    {
      g_clear_object (&connection);
      return;
    }
  if (connection == NULL)
    {
      break_link (link, g_error_matches (error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED)
                            ? "refused"
                            : "not_connected");
      return;
    }
  link->connection = connection;
  link->heard_us = clock_now_us ();
  set_socket_options (connection);
  operation_began (link);
  link->events->opened (link, link->data);
  if (operation_ended (link))
    read_header (link);
}

static link_t *
link_new (const link_events_t *events, void *data)
{
  link_t *link = g_new0 (link_t, 1);

  link->events = events;
  link->data = data;
  link->cancel = g_cancellable_new ();
  link->out = g_byte_array_new ();
  link->heard_us = clock_now_us ();
  return link;
}

link_t *
link_connect (const char *address, const link_events_t *events, void *data)
{
  link_t *link = link_new (events, data);
  g_autofree char *host = NULL;
  guint16 port = 0;
  g_autoptr (GSocketAddress) to = NULL;

  if (settings_split_address (address, &host, &port))
    to = g_inet_socket_address_new_from_string (host, port);
  if (to == NULL)
    to = g_inet_socket_address_new_from_string ("127.0.0.1", 1);
  link->client = g_socket_client_new ();
  g_socket_client_set_enable_proxy (link->client, FALSE);
  g_socket_client_set_timeout (link->client, CONNECT_TIMEOUT_S);
  operation_began (link);
  g_socket_client_connect_async (link->client, G_SOCKET_CONNECTABLE (to), link->cancel, connected,
                                 link);
  return link;
}

link_t *
link_accept (GSocketConnection *connection, const link_events_t *events, void *data)
{
  link_t *link = link_new (events, data);

  link->connection = g_object_ref (connection);
  set_socket_options (connection);
  read_header (link);
  return link;
}

void
link_free (link_t *link)
{
  if (link == NULL || link->is_freed)
    return;
  link->is_freed = true;
  if (link->flush != 0)
    g_source_remove (link->flush);
  g_cancellable_cancel (link->cancel);
  if (link->connection != NULL)
    (void) g_io_stream_close (G_IO_STREAM (link->connection), NULL, NULL);
  if (link->operations == 0)
    destroy (link);
}

gint64
link_heard_us (const link_t *link)
{
  return link->heard_us;
}
