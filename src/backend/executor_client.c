#include "backend/executor_client.h"

#include "base/http_client.h"
#include "base/json.h"

#include <libsoup/soup.h>
#include <string.h>

/* The connections to one executor.  A separate pool per executor keeps the library's
 * search for an idle connection short. */
typedef struct
{
  SoupSession *session;
  SoupSession *probe_session; /* separate, so that probes do not queue behind requests */
  guint max_connections;
} pool_t;

struct executor_client
{
  GHashTable *pools; /* address -> pool_t */
  guint outstanding_count;
};

struct executor_call
{
  executor_client_t *client;
  SoupMessage *message;
  GCancellable *cancel;
  char *request_id;
  executor_done_t done;
  void *data;
  bool may_have_been_sent; /* at least part of the request */
  bool is_aborted;
};

typedef struct
{
  executor_client_t *client;
  char *id;
  executor_probe_done_t done;
  void *data;
} probe_t;

static const guint idle_timeout_s = 120;
static const guint probe_timeout_s = 2;

static void
pool_free (gpointer data)
{
  pool_t *pool = data;

  /* Each request in progress holds a reference to its session. */
  g_object_unref (pool->session);
  g_object_unref (pool->probe_session);
  g_free (pool);
}

executor_client_t *
executor_client_new (void)
{
  executor_client_t *client = g_new0 (executor_client_t, 1);

  client->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, pool_free);
  return client;
}

static void
abort_pool (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data G_GNUC_UNUSED)
{
  soup_session_abort (((pool_t *) value)->session);
  soup_session_abort (((pool_t *) value)->probe_session);
}

void
executor_client_free (executor_client_t *client)
{
  if (client == NULL)
    return;
  g_hash_table_foreach (client->pools, abort_pool, NULL);
  while (client->outstanding_count > 0)
    g_main_context_iteration (NULL, TRUE);
  g_hash_table_unref (client->pools);
  g_free (client);
}

void
executor_client_set_connection_limit (executor_client_t *client,
                                      const char *address,
                                      guint connections)
{
  pool_t *pool = g_hash_table_lookup (client->pools, address);

  if (pool != NULL && pool->max_connections == connections)
    return;
  pool = g_new0 (pool_t, 1);
  pool->max_connections = connections;
  pool->session = http_session_new (connections, 0, idle_timeout_s);
  pool->probe_session = http_session_new (1, probe_timeout_s, idle_timeout_s);
  g_hash_table_replace (client->pools, g_strdup (address), pool);
}

void
executor_client_remove (executor_client_t *client, const char *address)
{
  g_hash_table_remove (client->pools, address);
}

static void
call_free (executor_call_t *call)
{
  call->client->outstanding_count--;
  g_object_unref (call->message);
  g_object_unref (call->cancel);
  g_free (call->request_id);
  g_free (call);
}

/* Classifies a complete HTTP response. */
static answer_kind_t
classify_answer (const executor_call_t *call, SoupMessageHeaders *headers)
{
  const char *echoed = soup_message_headers_get_one (headers, "Request-Id");

  if (g_strcmp0 (echoed, call->request_id) != 0)
    return ANSWER_INVALID;
  if (soup_message_get_status (call->message) == SOUP_STATUS_SERVICE_UNAVAILABLE
      && g_strcmp0 (soup_message_headers_get_one (headers, "Not-Run"), "1") == 0)
    return ANSWER_REFUSED;
  return ANSWER_COMPLETE;
}

static void
call_finished (SoupMessage *message, GBytes *body, void *data)
{
  executor_call_t *call = data;
  SoupMessageHeaders *headers = soup_message_get_response_headers (message);
  executor_answer_t answer = { .kind = call->may_have_been_sent ? ANSWER_LOST : ANSWER_NOT_SENT };

  if (call->is_aborted)
    {
      call_free (call);
      return;
    }
  if (body != NULL)
    {
      answer.kind = classify_answer (call, headers);
      answer.http_status = soup_message_get_status (call->message);
      answer.content_type = soup_message_headers_get_one (headers, "Content-Type");
      answer.body = body;
      answer.is_leaving
          = g_strcmp0 (soup_message_headers_get_one (headers, "Backend-State"), "leaving") == 0;
    }
  call->done (&answer, call->data);
  call_free (call);
}

static void
call_starting (SoupMessage *message G_GNUC_UNUSED, gpointer data)
{
  ((executor_call_t *) data)->may_have_been_sent = true;
}

static SoupMessage *
new_run_message (const executor_request_t *request)
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
  /* Marked idempotent so that the library reuses connections for it.  It does not resend a POST
   * even so. */
  soup_message_add_flags (message, SOUP_MESSAGE_IDEMPOTENT | SOUP_MESSAGE_NO_REDIRECT);
  return message;
}

executor_call_t *
executor_client_send (executor_client_t *client,
                      const executor_request_t *request,
                      executor_done_t done,
                      void *data)
{
  executor_call_t *call = g_new0 (executor_call_t, 1);
  const pool_t *pool = g_hash_table_lookup (client->pools, request->address);

  g_assert (pool != NULL);
  call->client = client;
  call->message = new_run_message (request);
  call->cancel = g_cancellable_new ();
  call->request_id = g_strdup (request->request_id);
  call->done = done;
  call->data = data;
  client->outstanding_count++;
  g_signal_connect (call->message, "starting", G_CALLBACK (call_starting), call);
  http_fetch (pool->session, call->message, HTTP_RESPONSE_MAX_BYTES, call->cancel, call_finished,
              call);
  return call;
}

void
executor_call_abort (executor_call_t *call)
{
  call->is_aborted = true;
  g_cancellable_cancel (call->cancel);
}

static void
probe_finished (SoupMessage *message G_GNUC_UNUSED, GBytes *body, void *data)
{
  probe_t *probe = data;
  g_autoptr (JsonNode) root = NULL;
  const char *state = NULL;
  gsize size = 0;

  if (body != NULL)
    {
      const char *text = g_bytes_get_data (body, &size);

      root = json_parse_object (text, (gssize) size, NULL);
    }
  if (root != NULL)
    state = json_get_string (json_node_get_object (root), "state", NULL);
  probe->client->outstanding_count--;
  probe->done (probe->id, state, probe->data);
  g_free (probe->id);
  g_free (probe);
}

void
executor_client_probe (executor_client_t *client,
                       const char *id,
                       const char *address,
                       executor_probe_done_t done,
                       void *data)
{
  g_autofree char *url = g_strdup_printf ("http://%s/v1/health", address);
  g_autoptr (SoupMessage) message = soup_message_new ("GET", url);
  const pool_t *pool = g_hash_table_lookup (client->pools, address);
  probe_t *probe;

  /* The executor has left the VM list in the meantime. */
  if (pool == NULL)
    return;
  probe = g_new0 (probe_t, 1);
  probe->client = client;
  probe->id = g_strdup (id);
  probe->done = done;
  probe->data = data;
  client->outstanding_count++;
  http_fetch (pool->probe_session, message, HTTP_RESPONSE_MAX_BYTES, NULL, probe_finished, probe);
}
