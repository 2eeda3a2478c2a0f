#include "base/http_call.h"

#include "base/clock.h"

#include <string.h>

typedef struct
{
  GCancellable *cancel;
  guint timer;
  bool sent;
  gint64 started_us;
  http_called_t done;
  void *data;
} running_t;

static gboolean
timed_out (gpointer data)
{
  running_t *running = data;

  running->timer = 0;
  g_cancellable_cancel (running->cancel);
  return G_SOURCE_REMOVE;
}

static void
starting (SoupMessage *message G_GNUC_UNUSED, gpointer data)
{
  running_t *running = data;

  running->sent = true;
}

static void
fetched (SoupMessage *message, GBytes *body, void *data)
{
  running_t *running = data;
  http_result_t result = { .sent = running->sent, .body = "" };
  g_autofree char *text = NULL;

  g_signal_handlers_disconnect_by_data (message, running);
  if (running->timer != 0)
    g_source_remove (running->timer);
  if (body != NULL)
    {
      const char *bytes = g_bytes_get_data (body, &result.body_bytes);

      text = g_strndup (bytes != NULL ? bytes : "", result.body_bytes);
      result.body = text;
      result.status = soup_message_get_status (message);
    }
  result.elapsed_us = clock_now_us () - running->started_us;
  running->done (&result, running->data);
  g_object_unref (running->cancel);
  g_free (running);
}

void
http_call (SoupSession *session, const http_call_t *call, http_called_t done, void *data)
{
  g_autofree char *url = g_strdup_printf ("http://%s%s", call->address, call->path);
  g_autoptr (SoupMessage) message = NULL;
  running_t *running = g_new0 (running_t, 1);

  if (call->body != NULL)
    message = http_post_new (url, call->body);
  else
    message = soup_message_new (call->method, url);
  if (call->header != NULL)
    soup_message_headers_replace (soup_message_get_request_headers (message), call->header,
                                  call->header_value);
  running->cancel = g_cancellable_new ();
  running->started_us = clock_now_us ();
  running->done = done;
  running->data = data;
  running->timer = g_timeout_add (call->timeout_ms, timed_out, running);
  g_signal_connect (message, "starting", G_CALLBACK (starting), running);
  http_fetch (session, message, HTTP_ANSWER_MAX_BYTES, running->cancel, fetched, running);
}
