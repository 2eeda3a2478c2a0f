#include "backend/executors.h"

#include "base/json.h"

#include <libsoup/soup.h>
#include <string.h>

struct executors
{
  SoupSession *session;
  SoupSession *probe_session; /* a probe must not use up a connection for requests */
  guint outstanding;
};

struct executor_call
{
  executors_t *executors;
  SoupMessage *message;
  GCancellable *cancel;
  char *request_id;
  executor_done_t done;
  void *data;
  bool started; /* a byte may have left */
  bool aborted;
};

typedef struct
{
  executors_t *executors;
  char *id;
  executor_health_t done;
  void *data;
} probe_t;

static const guint total_connections = 65536;
static const guint idle_timeout_s = 120;
static const guint probe_timeout_s = 2;

executors_t *
executors_new (guint connections)
{
  executors_t *executors = g_new0 (executors_t, 1);

  executors->session = soup_session_new_with_options (
      "max-conns", total_connections, "max-conns-per-host", MAX (1U, connections), "timeout", 0U,
      "idle-timeout", idle_timeout_s, NULL);
  executors->probe_session
      = soup_session_new_with_options ("max-conns", total_connections, "max-conns-per-host", 1U,
                                       "timeout", probe_timeout_s, "idle-timeout", 1U, NULL);
  return executors;
}

void
executors_free (executors_t *executors)
{
  if (executors == NULL)
    return;
  soup_session_abort (executors->session);
  soup_session_abort (executors->probe_session);
  while (executors->outstanding > 0)
    g_main_context_iteration (NULL, TRUE);
  g_object_unref (executors->session);
  g_object_unref (executors->probe_session);
  g_free (executors);
}

void
executors_set_connections (executors_t *executors, guint connections)
{
  g_object_set (executors->session, "max-conns-per-host", MAX (1U, connections), NULL);
}

static void
call_free (executor_call_t *call)
{
  call->executors->outstanding--;
  g_object_unref (call->message);
  g_object_unref (call->cancel);
  g_free (call->request_id);
  g_free (call);
}

/* Works out what a whole HTTP answer means. */
static answer_kind_t
answer_kind (const executor_call_t *call, SoupMessageHeaders *headers)
{
  const char *echoed = soup_message_headers_get_one (headers, "Request-Id");

  if (g_strcmp0 (echoed, call->request_id) != 0)
    return ANSWER_INVALID;
  if (soup_message_get_status (call->message) == SOUP_STATUS_SERVICE_UNAVAILABLE
      && g_strcmp0 (soup_message_headers_get_one (headers, "Not-Run"), "1") == 0)
    return ANSWER_REFUSED;
  return ANSWER_WHOLE;
}

static void
call_finished (GObject *source, GAsyncResult *result, gpointer data)
{
  executor_call_t *call = data;
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  SoupMessageHeaders *headers = soup_message_get_response_headers (call->message);
  executor_answer_t answer = { .kind = call->started ? ANSWER_LOST : ANSWER_UNSENT };

  if (call->aborted)
    {
      call_free (call);
      return;
    }
  if (body != NULL)
    {
      answer.kind = answer_kind (call, headers);
      answer.http_status = soup_message_get_status (call->message);
      answer.content_type = soup_message_headers_get_one (headers, "Content-Type");
      answer.body = body;
      answer.leaving
          = g_strcmp0 (soup_message_headers_get_one (headers, "Backend-State"), "leaving") == 0;
    }
  call->done (&answer, call->data);
  call_free (call);
}

static void
call_starting (SoupMessage *message G_GNUC_UNUSED, gpointer data)
{
  ((executor_call_t *) data)->started = true;
}

static SoupMessage *
run_message (const executor_request_t *request)
{
  g_autofree char *url = g_strdup_printf ("http://%s/v1/run", request->address);
  g_autofree char *deadline = g_strdup_printf ("%" G_GINT64_FORMAT, request->deadline_ms);
  SoupMessage *message = soup_message_new ("POST", url);
  SoupMessageHeaders *headers = soup_message_get_request_headers (message);

  soup_message_headers_append (headers, "Request-Id", request->request_id);
  soup_message_headers_append (headers, "Environment", request->environment);
  soup_message_headers_append (headers, "Class", request->class);
  soup_message_headers_append (headers, "Customer", request->customer);
  soup_message_headers_append (headers, "Deadline-Ms", deadline);
  soup_message_set_request_body_from_bytes (message, request->content_type, request->body);
  /* Lets the library reuse the connection; it does not resend a POST. */
  soup_message_add_flags (message, SOUP_MESSAGE_IDEMPOTENT | SOUP_MESSAGE_NO_REDIRECT);
  return message;
}

executor_call_t *
executors_send (executors_t *executors,
                const executor_request_t *request,
                executor_done_t done,
                void *data)
{
  executor_call_t *call = g_new0 (executor_call_t, 1);

  call->executors = executors;
  call->message = run_message (request);
  call->cancel = g_cancellable_new ();
  call->request_id = g_strdup (request->request_id);
  call->done = done;
  call->data = data;
  executors->outstanding++;
  g_signal_connect (call->message, "starting", G_CALLBACK (call_starting), call);
  soup_session_send_and_read_async (executors->session, call->message, G_PRIORITY_DEFAULT,
                                    call->cancel, call_finished, call);
  return call;
}

void
executor_call_abort (executor_call_t *call)
{
  call->aborted = true;
  g_cancellable_cancel (call->cancel);
}

static void
probe_finished (GObject *source, GAsyncResult *result, gpointer data)
{
  probe_t *probe = data;
  g_autoptr (GBytes) body = soup_session_send_and_read_finish (SOUP_SESSION (source), result, NULL);
  g_autoptr (JsonNode) root = NULL;
  const char *state = NULL;
  gsize size = 0;

  if (body != NULL)
    {
      const char *text = g_bytes_get_data (body, &size);

      root = json_parse_object (text, (gssize) size);
    }
  if (root != NULL)
    state = json_get_text (json_node_get_object (root), "state", NULL);
  probe->executors->outstanding--;
  probe->done (probe->id, state, probe->data);
  g_free (probe->id);
  g_free (probe);
}

void
executors_probe (
    executors_t *executors, const char *id, const char *address, executor_health_t done, void *data)
{
  g_autofree char *url = g_strdup_printf ("http://%s/v1/health", address);
  g_autoptr (SoupMessage) message = soup_message_new ("GET", url);
  probe_t *probe = g_new0 (probe_t, 1);

  probe->executors = executors;
  probe->id = g_strdup (id);
  probe->done = done;
  probe->data = data;
  executors->outstanding++;
  soup_session_send_and_read_async (executors->probe_session, message, G_PRIORITY_DEFAULT, NULL,
                                    probe_finished, probe);
}
