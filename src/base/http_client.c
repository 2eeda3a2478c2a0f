#include "base/http_client.h"

#include <stdbool.h>
#include <string.h>

/* A call in progress. */
typedef struct
{
  SoupMessage *message;
  GCancellable *cancel;
  GInputStream *stream;
  GByteArray *bytes;
  http_fetch_options_t options;
  bool has_share;
  http_fetch_done_t done;
  void *data;
} fetch_t;

enum
{
  READ_BYTES = 16 * 1024
};

static const guint max_total_connections = 65536;

SoupSession *
http_session_new (guint connections, guint timeout_s, guint idle_timeout_s)
{
  SoupSession *session = soup_session_new_with_options (
      "max-conns", max_total_connections, "max-conns-per-host", connections, "timeout", timeout_s,
      "idle-timeout", idle_timeout_s, NULL);

  /* Addresses are numeric, and a proxy lookup would use a thread for each call. */
  soup_session_set_proxy_resolver (session, NULL);
  soup_session_remove_feature_by_type (session, SOUP_TYPE_CONTENT_DECODER);
  soup_session_remove_feature_by_type (session, SOUP_TYPE_AUTH_MANAGER);
  return session;
}

SoupMessage *
http_post_new (const char *url, char *text)
{
  SoupMessage *message = soup_message_new ("POST", url);
  g_autoptr (GBytes) body = g_bytes_new_take (text, strlen (text));

  if (message == NULL)
    return NULL;
  soup_message_set_request_body_from_bytes (message, "application/json", body);
  soup_message_add_flags (message, SOUP_MESSAGE_IDEMPOTENT);
  return message;
}

/* Returns the body, which a zero byte follows. */
static GBytes *
take_body (fetch_t *fetch)
{
  g_autoptr (GBytes) whole = NULL;

  g_byte_array_append (fetch->bytes, (const guint8 *) "", 1);
  whole = g_byte_array_free_to_bytes (g_steal_pointer (&fetch->bytes));
  return g_bytes_new_from_bytes (whole, 0, g_bytes_get_size (whole) - 1);
}

static void
fetch_complete (fetch_t *fetch, bool is_success)
{
  g_autoptr (GBytes) body = NULL;

  if (fetch->has_share)
    memory_give_back (fetch->options.share, fetch->bytes->len);
  if (is_success && !g_cancellable_is_cancelled (fetch->cancel))
    body = take_body (fetch);
  if (fetch->stream != NULL)
    (void) g_input_stream_close (fetch->stream, NULL, NULL);
  fetch->done (fetch->message, body, fetch->data);
  g_clear_object (&fetch->stream);
  g_clear_pointer (&fetch->bytes, g_byte_array_unref);
  g_clear_object (&fetch->cancel);
  g_object_unref (fetch->message);
  g_free (fetch);
}

/* Returns false if `size` more bytes of the body are over a bound. */
static bool
take_memory (const fetch_t *fetch, gsize size)
{
  if (fetch->bytes->len + size > fetch->options.max_bytes)
    return false;
  return !fetch->has_share || memory_take (fetch->options.share, fetch->bytes->len, (gint64) size);
}

static void
fail_too_large (fetch_t *fetch)
{
  if (fetch->options.too_large != NULL)
    fetch->options.too_large (fetch->data);
  fetch_complete (fetch, false);
}

/* Reads the available data.  Returns false if the call has to wait for more, true if it has
 * completed. */
static bool
read_available (fetch_t *fetch)
{
  guint8 buffer[READ_BYTES];

  for (;;)
    {
      g_autoptr (GError) error = NULL;
      gssize size = g_pollable_input_stream_read_nonblocking (
          G_POLLABLE_INPUT_STREAM (fetch->stream), buffer, sizeof buffer, NULL, &error);

      if (g_error_matches (error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK))
        return false;
      if (size <= 0)
        {
          fetch_complete (fetch, size == 0);
          return true;
        }
      if (!take_memory (fetch, (gsize) size))
        {
          fail_too_large (fetch);
          return true;
        }
      g_byte_array_append (fetch->bytes, buffer, (guint) size);
      if (fetch->options.progress != NULL)
        fetch->options.progress (fetch->data);
    }
}

static gboolean
on_readable (GObject *stream G_GNUC_UNUSED, gpointer data)
{
  fetch_t *fetch = data;

  if (g_cancellable_is_cancelled (fetch->cancel))
    {
      fetch_complete (fetch, false);
      return G_SOURCE_REMOVE;
    }
  return read_available (fetch) ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
}

static void
watch_stream (fetch_t *fetch)
{
  g_autoptr (GSource) source = g_pollable_input_stream_create_source (
      G_POLLABLE_INPUT_STREAM (fetch->stream), fetch->cancel);

  g_source_set_callback (source, G_SOURCE_FUNC (on_readable), fetch, NULL);
  g_source_attach (source, g_main_context_get_thread_default ());
}

static void
on_sent (GObject *source, GAsyncResult *result, gpointer data)
{
  fetch_t *fetch = data;

  fetch->stream = soup_session_send_finish (SOUP_SESSION (source), result, NULL);
  if (fetch->stream == NULL)
    fetch_complete (fetch, false);
  else if (soup_message_headers_get_content_length (
               soup_message_get_response_headers (fetch->message))
           > (goffset) fetch->options.max_bytes)
    fail_too_large (fetch);
  else if (!read_available (fetch))
    watch_stream (fetch);
}

/* The library sends a GET again whose kept connection was closed.  On another kept connection it
 * would do so before it handles the failure, which then ends the second attempt and crashes if that
 * has an answer already. */
static void
on_restarted (SoupMessage *message, gpointer data G_GNUC_UNUSED)
{
  soup_message_add_flags (message, SOUP_MESSAGE_NEW_CONNECTION);
}

static void
fetch_start (SoupSession *session, SoupMessage *message, GCancellable *cancel, fetch_t *fetch)
{
  fetch->message = g_object_ref (message);
  fetch->cancel = cancel != NULL ? g_object_ref (cancel) : g_cancellable_new ();
  fetch->bytes = g_byte_array_new ();
  /* A call is meant for its address: an order carried out elsewhere would run twice. */
  soup_message_add_flags (message, SOUP_MESSAGE_NO_REDIRECT);
  g_signal_connect (message, "restarted", G_CALLBACK (on_restarted), NULL);
  soup_session_send_async (session, message, G_PRIORITY_DEFAULT, fetch->cancel, on_sent, fetch);
}

void
http_fetch (SoupSession *session,
            SoupMessage *message,
            gsize max_bytes,
            GCancellable *cancel,
            http_fetch_done_t done,
            void *data)
{
  fetch_t *fetch = g_new0 (fetch_t, 1);

  fetch->options.max_bytes = max_bytes;
  fetch->done = done;
  fetch->data = data;
  fetch_start (session, message, cancel, fetch);
}

void
http_fetch_with_options (SoupSession *session,
                         SoupMessage *message,
                         const http_fetch_options_t *options,
                         GCancellable *cancel,
                         http_fetch_done_t done,
                         void *data)
{
  fetch_t *fetch = g_new0 (fetch_t, 1);

  fetch->options = *options;
  fetch->has_share = true;
  fetch->done = done;
  fetch->data = data;
  fetch_start (session, message, cancel, fetch);
}
