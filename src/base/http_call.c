#define LOG_MODULE "call"

#include "base/http_call.h"

#include "base/clock.h"
#include "base/log.h"

#include <string.h>

typedef struct
{
  GCancellable *cancel;
  guint timer;
  guint stall_timeout_ms;
  bool sent;
  bool is_too_large;
  char *url;
  gint64 started_us;
  http_call_may_send_t may_send;
  http_call_opened_t opened;
  http_call_done_t done;
  void *data;
} pending_call_t;

static const gint64 log_interval_us = G_USEC_PER_SEC;

static guint64 too_large_count;
static guint64 logged_count; /* of these, when the last line was logged */
static gint64 logged_us;

/* Logs at most one line a second, with the number of answers since the last one. */
static void
on_too_large (void *data)
{
  pending_call_t *pending = data;
  gint64 now_us = clock_now_us ();

  pending->is_too_large = true;
  too_large_count++;
  if (logged_us != 0 && now_us - logged_us < log_interval_us)
    return;
  LOG_WARN ("answer_too_large", "from=%s count=%" G_GUINT64_FORMAT, pending->url,
            too_large_count - logged_count);
  logged_count = too_large_count;
  logged_us = now_us;
}

void
http_call_append_metrics (GString *out)
{
  g_string_append_printf (out, "mimosastair_answers_too_large_total %" G_GUINT64_FORMAT "\n",
                          too_large_count);
}

static void
pending_free (pending_call_t *pending)
{
  g_clear_object (&pending->cancel);
  g_free (pending->url);
  g_free (pending);
}

static gboolean
on_timeout (gpointer data)
{
  pending_call_t *pending = data;

  pending->timer = 0;
  g_cancellable_cancel (pending->cancel);
  return G_SOURCE_REMOVE;
}

static void
on_starting (SoupMessage *message, gpointer data)
{
  pending_call_t *pending = data;

  if (pending->may_send != NULL
      && !pending->may_send (soup_message_get_connection_id (message), pending->data))
    {
      g_cancellable_cancel (pending->cancel);
      return;
    }
  pending->sent = true;
}

static void
on_network_event (SoupMessage *message, GSocketClientEvent event, GIOStream *stream, gpointer data)
{
  pending_call_t *pending = data;

  if (event == G_SOCKET_CLIENT_CONNECTED && stream != NULL)
    pending->opened (soup_message_get_connection_id (message), stream, pending->data);
}

static void
on_progress (void *data)
{
  pending_call_t *pending = data;

  if (pending->stall_timeout_ms == 0 || pending->timer == 0)
    return;
  g_source_remove (pending->timer);
  pending->timer = g_timeout_add (pending->stall_timeout_ms, on_timeout, pending);
}

static gboolean
fail_unsent (gpointer data)
{
  pending_call_t *pending = data;
  http_result_t result = { .body = "" };

  result.elapsed_us = clock_now_us () - pending->started_us;
  pending->done (&result, pending->data);
  pending_free (pending);
  return G_SOURCE_REMOVE;
}

static void
on_fetched (SoupMessage *message, GBytes *body, void *data)
{
  pending_call_t *pending = data;
  http_result_t result
      = { .sent = pending->sent, .body = "", .is_too_large = pending->is_too_large };

  g_signal_handlers_disconnect_by_data (message, pending);
  if (pending->timer != 0)
    g_source_remove (pending->timer);
  if (body != NULL)
    {
      const char *text = g_bytes_get_data (body, &result.body_bytes);

      result.body = text != NULL ? text : "";
      result.status = soup_message_get_status (message);
    }
  result.connection = soup_message_get_connection_id (message);
  result.elapsed_us = clock_now_us () - pending->started_us;
  pending->done (&result, pending->data);
  pending_free (pending);
}

void
http_call (SoupSession *session, const http_call_t *call, http_call_done_t done, void *data)
{
  http_fetch_options_t options = { .max_bytes = call->max_bytes,
                                   .share = call->share,
                                   .progress = on_progress,
                                   .too_large = on_too_large };
  g_autoptr (SoupMessage) message = NULL;
  pending_call_t *pending = g_new0 (pending_call_t, 1);

  g_assert (call->max_bytes > 0);
  pending->url = g_strdup_printf ("http://%s%s", call->address, call->path);
  pending->started_us = clock_now_us ();
  pending->may_send = call->may_send;
  pending->opened = call->opened;
  pending->done = done;
  pending->data = data;
  if (call->body != NULL)
    message = http_post_new (pending->url, call->body);
  else
    message = soup_message_new (call->method, pending->url);
  if (message == NULL)
    {
      (void) g_idle_add (fail_unsent, pending);
      return;
    }
  if (call->header != NULL)
    soup_message_headers_replace (soup_message_get_request_headers (message), call->header,
                                  call->header_value);
  pending->cancel = g_cancellable_new ();
  pending->stall_timeout_ms = call->stall_timeout_ms;
  pending->timer = g_timeout_add (call->timeout_ms, on_timeout, pending);
  g_signal_connect (message, "starting", G_CALLBACK (on_starting), pending);
  if (call->opened != NULL)
    g_signal_connect (message, "network-event", G_CALLBACK (on_network_event), pending);
  http_fetch_with_options (session, message, &options, pending->cancel, on_fetched, pending);
}
