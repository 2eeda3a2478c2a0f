#include "backend/worker_client.h"

#include "base/http_client.h"
#include "base/json.h"

#include <libsoup/soup.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

struct worker_client
{
  GHashTable *sessions; /* address -> SoupSession; one per worker keeps each pool small */
  guint outstanding_count;
  guint64 call_count;
};

typedef struct
{
  worker_client_t *client;
  SoupMessage *message;
  worker_done_t done;
  void *data;
  bool may_have_been_sent; /* at least part of the request */
} call_t;

static const guint call_timeout_s = 3;
static const gint tcp_user_timeout_ms = 3000;
static const guint max_connections_per_worker = 2;
static const guint idle_timeout_s = 30;

worker_client_t *
worker_client_new (void)
{
  worker_client_t *client = g_new0 (worker_client_t, 1);

  client->sessions = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_object_unref);
  return client;
}

static void
abort_session (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data G_GNUC_UNUSED)
{
  soup_session_abort (value);
}

static SoupSession *
ensure_session (worker_client_t *client, const char *address)
{
  SoupSession *session = g_hash_table_lookup (client->sessions, address);

  if (session != NULL)
    return session;
  session = http_session_new (max_connections_per_worker, call_timeout_s, idle_timeout_s);
  g_hash_table_insert (client->sessions, g_strdup (address), session);
  return session;
}

void
worker_client_remove (worker_client_t *client, const char *address)
{
  g_hash_table_remove (client->sessions, address);
}

void
worker_client_free (worker_client_t *client)
{
  if (client == NULL)
    return;
  g_hash_table_foreach (client->sessions, abort_session, NULL);
  while (client->outstanding_count > 0)
    g_main_context_iteration (NULL, TRUE);
  g_hash_table_unref (client->sessions);
  g_free (client);
}

static void
call_finished (SoupMessage *message, GBytes *body, void *data)
{
  call_t *call = data;
  worker_result_t result = call->may_have_been_sent ? WORKER_NO_ANSWER : WORKER_NOT_SENT;
  guint status = soup_message_get_status (message);
  g_autoptr (JsonNode) root = NULL;
  gsize size = 0;

  if (body != NULL)
    {
      const char *text = g_bytes_get_data (body, &size);

      root = json_parse_object (text, (gssize) size, NULL);
    }
  if (root != NULL && status == SOUP_STATUS_OK)
    result = WORKER_DONE;
  else if (root != NULL && status >= 400 && status < 500)
    result = WORKER_REFUSED;
  call->client->outstanding_count--;
  call->done (result, root != NULL ? json_node_get_object (root) : NULL, call->data);
  g_object_unref (call->message);
  g_free (call);
}

static void
call_starting (SoupMessage *message G_GNUC_UNUSED, gpointer data)
{
  ((call_t *) data)->may_have_been_sent = true;
}

/* Limits how late a message can arrive: a connection whose data the worker's machine
 * leaves unacknowledged for tcp_user_timeout_ms is reset, and data still queued on it
 * is discarded.  max_delivery_us in decide/job.c relies on this. */
static void
network_event (SoupMessage *message G_GNUC_UNUSED,
               GSocketClientEvent event,
               GIOStream *stream,
               gpointer data G_GNUC_UNUSED)
{
  if (event == G_SOCKET_CLIENT_CONNECTED && G_IS_SOCKET_CONNECTION (stream))
    (void) g_socket_set_option (g_socket_connection_get_socket (G_SOCKET_CONNECTION (stream)),
                                IPPROTO_TCP, TCP_USER_TIMEOUT, tcp_user_timeout_ms, NULL);
}

void
worker_client_call (worker_client_t *client,
                    const char *address,
                    const char *path,
                    JsonBuilder *body,
                    worker_done_t done,
                    void *data)
{
  g_autoptr (JsonBuilder) builder = body;
  g_autofree char *url = g_strdup_printf ("http://%s%s", address, path);
  call_t *call = g_new0 (call_t, 1);

  call->client = client;
  call->done = done;
  call->data = data;
  call->message = http_post_new (url, json_builder_to_string (builder));
  client->outstanding_count++;
  client->call_count++;
  g_signal_connect (call->message, "starting", G_CALLBACK (call_starting), call);
  g_signal_connect (call->message, "network-event", G_CALLBACK (network_event), NULL);
  http_fetch (ensure_session (client, address), call->message, HTTP_RESPONSE_MAX_BYTES, NULL,
              call_finished, call);
}

guint64
worker_client_call_count (const worker_client_t *client)
{
  return client->call_count;
}
