#define LOG_MODULE "http"

#include "base/http_server.h"

#include "base/http_server_state.h"
#include "base/log.h"

#include <string.h>

struct http_request
{
  http_server_t *server;
  SoupServerMessage *message;
  GHashTable *query;
  char *path;
  GBytes *body;
  http_disconnected_t on_disconnected;
  void *disconnected_data;
  gint64 held_bytes; /* of MEMORY_WORK */
  gulong finished_handler_id;
  bool is_finished;
  bool is_responded; /* the response was handed to libsoup */
};

enum
{
  WORK_COPIES = 4 /* of a body: its text, the job, its record, and the call that stores it */
};

static const guint sweep_interval_ms = 250;
static const int listen_backlog = 1024; /* connections not accepted yet */

static void
request_free (http_request_t *request)
{
  request->server->open_request_count--;
  memory_give_back (MEMORY_WORK, request->held_bytes);
  g_signal_handler_disconnect (request->message, request->finished_handler_id);
  g_object_unref (request->message);
  g_bytes_unref (request->body);
  if (request->query != NULL)
    g_hash_table_unref (request->query);
  g_free (request->path);
  g_free (request);
}

/* Called when the response has been written or the client has disconnected. */
static void
on_message_finished (SoupServerMessage *message G_GNUC_UNUSED, gpointer data)
{
  http_request_t *request = data;
  http_disconnected_t on_disconnected = request->on_disconnected;

  request->is_finished = true;
  request->on_disconnected = NULL;
  if (request->is_responded)
    request_free (request);
  else if (on_disconnected != NULL)
    on_disconnected (request->disconnected_data);
}

static bool
take_work_memory (http_request_t *request)
{
  gint64 bytes = (gint64) g_bytes_get_size (request->body) * WORK_COPIES;

  if (!memory_take (MEMORY_WORK, 0, bytes))
    return false;
  request->held_bytes = bytes;
  return true;
}

static void
on_message (SoupServer *soup G_GNUC_UNUSED,
            SoupServerMessage *message,
            const char *path,
            GHashTable *query,
            gpointer data)
{
  http_server_t *server = data;
  http_request_t *request = g_new0 (http_request_t, 1);

  server->counters.requests++;
  server->open_request_count++;
  /* The library would cut the answer by it, and uses no bytes at all for some ranges. */
  soup_message_headers_remove (soup_server_message_get_request_headers (message), "Range");
  request->server = server;
  request->message = g_object_ref (message);
  request->query = query != NULL ? g_hash_table_ref (query) : NULL;
  request->path = g_strdup (path);
  request->body = soup_message_body_flatten (soup_server_message_get_request_body (message));
  request->finished_handler_id
      = g_signal_connect (message, "finished", G_CALLBACK (on_message_finished), request);
  soup_server_message_pause (message);
  if (take_work_memory (request))
    {
      server->handler (request, server->data);
      return;
    }
  server->counters.refused_requests++;
  http_respond_error (request, &http_refusal_no_memory, OUTCOME_NOT_RUN,
                      http_refusal_retry_after_ms (server));
}

static const acceptor_events_t acceptor_events
    = { http_connections_have_room, http_connections_accept };

/* Gives the library a socket on which nothing arrives: it keeps connections open between requests
 * only while it has a listener of its own. */
static bool
enable_keep_alive (SoupServer *soup, GError **problem)
{
  g_autoptr (GSocketAddress) loopback = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  g_autoptr (GSocketAddress) own = NULL;
  g_autoptr (GSocket) idle
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_DATAGRAM, G_SOCKET_PROTOCOL_UDP, problem);

  if (idle == NULL || !g_socket_bind (idle, loopback, FALSE, problem))
    return false;
  own = g_socket_get_local_address (idle, problem);
  return own != NULL && g_socket_connect (idle, own, NULL, problem)
         && soup_server_listen_socket (soup, idle, 0, problem);
}

http_server_t *
http_server_new (const char *address,
                 const http_limits_t *limits,
                 http_handler_t handler,
                 void *data,
                 error_info_t *error)
{
  http_server_t *server = g_new0 (http_server_t, 1);
  acceptor_config_t config
      = { .name = limits->listener, .address = address, .backlog = listen_backlog };
  g_autoptr (GError) problem = NULL;

  server->limits = *limits;
  server->handler = handler;
  server->data = data;
  list_init (&server->connection_list);
  server->connections = g_hash_table_new (NULL, NULL);
  server->soup = soup_server_new ("server-header", "mimosastair", NULL);
  soup_server_add_early_handler (server->soup, NULL, http_refusal_on_headers, server, NULL);
  soup_server_add_handler (server->soup, NULL, on_message, server, NULL);
  g_signal_connect (server->soup, "request-started",
                    G_CALLBACK (http_connections_on_request_started), server);
  g_signal_connect (server->soup, "request-read", G_CALLBACK (http_connections_on_request_read),
                    server);
  g_signal_connect (server->soup, "request-finished",
                    G_CALLBACK (http_connections_on_request_finished), server);
  server->sweep_timer = g_timeout_add (sweep_interval_ms, http_connections_sweep, server);
  if (!enable_keep_alive (server->soup, &problem))
    LOG_WARN ("keep_alive_disabled", "listener=%s reason=\"%s\"", limits->listener,
              problem->message);
  server->acceptor = acceptor_new (&config, &acceptor_events, server, error);
  if (server->acceptor != NULL)
    return server;
  http_server_free (server);
  return NULL;
}

void
http_server_free (http_server_t *server)
{
  if (server == NULL)
    return;
  g_source_remove (server->sweep_timer);
  acceptor_free (server->acceptor);
  soup_server_disconnect (server->soup);
  g_object_unref (server->soup);
  while (!list_is_empty (&server->connection_list))
    http_connection_untrack (LIST_ENTRY (server->connection_list.next, connection_t, node));
  g_hash_table_unref (server->connections);
  g_free (server);
}

acceptor_state_t
http_server_state (const http_server_t *server, error_info_t *error)
{
  return server->acceptor != NULL ? acceptor_state (server->acceptor, error) : ACCEPTOR_LISTENING;
}

guint16
http_server_port (const http_server_t *server)
{
  return server->acceptor != NULL ? acceptor_port (server->acceptor) : 0;
}

void
http_server_stop (http_server_t *server)
{
  server->is_stopping = true;
  server->counters = http_server_counters (server);
  /* soup_server_disconnect() would also cut the connections whose requests are not answered yet. */
  g_clear_pointer (&server->acceptor, acceptor_free);
}

guint
http_server_drain (http_server_t *server)
{
  guint reading_count = 0;

  for (list_node_t *node = server->connection_list.next; node != &server->connection_list;
       node = node->next)
    {
      const connection_t *connection = LIST_ENTRY (node, connection_t, node);

      if (connection->state == CONNECTION_RESPONDING)
        continue;
      if (connection->state == CONNECTION_READING && connection->has_headers)
        reading_count++;
      else
        http_connection_shutdown (connection);
    }
  return server->open_request_count + reading_count;
}

http_counters_t
http_server_counters (const http_server_t *server)
{
  http_counters_t counters = server->counters;

  if (server->acceptor != NULL)
    counters.refused_connections = acceptor_refused_count (server->acceptor);
  return counters;
}

guint
http_server_connection_count (const http_server_t *server)
{
  return server->connection_count;
}

void
http_server_append_metrics (const http_server_t *server, GString *out)
{
  if (server->acceptor != NULL)
    acceptor_append_metrics (server->acceptor, server->connection_count, server->limits.connections,
                             out);
}

const char *
http_request_method (const http_request_t *request)
{
  return soup_server_message_get_method (request->message);
}

const char *
http_request_path (const http_request_t *request)
{
  return request->path;
}

const char *
http_request_header (const http_request_t *request, const char *name)
{
  return soup_message_headers_get_one (soup_server_message_get_request_headers (request->message),
                                       name);
}

const char *
http_request_query (const http_request_t *request, const char *name)
{
  return request->query != NULL ? g_hash_table_lookup (request->query, name) : NULL;
}

GBytes *
http_request_body (const http_request_t *request)
{
  return request->body;
}

void
http_request_on_disconnected (http_request_t *request,
                              http_disconnected_t on_disconnected,
                              void *data)
{
  request->on_disconnected = on_disconnected;
  request->disconnected_data = data;
}

/* Only a client that asks for keep-alive keeps its connection, because the library leaks the
 * memory of a connection that is closed between two requests. */
static bool
wants_keep_alive (SoupServerMessage *message)
{
  return soup_message_headers_header_contains (soup_server_message_get_request_headers (message),
                                               "Connection", "keep-alive");
}

void
http_respond (http_request_t *request,
              guint status,
              const char *content_type,
              GBytes *body,
              const http_header_t *headers,
              gsize header_count)
{
  SoupMessageHeaders *out = soup_server_message_get_response_headers (request->message);
  gsize size = 0;
  const char *bytes = body != NULL ? g_bytes_get_data (body, &size) : NULL;

  if (request->is_finished)
    {
      request_free (request);
      return;
    }
  for (gsize i = 0; i < header_count; i++)
    soup_message_headers_append (out, headers[i].name, headers[i].value);
  if (request->server->is_stopping || !wants_keep_alive (request->message))
    soup_message_headers_replace (out, "Connection", "close");
  soup_server_message_set_status (request->message, status, NULL);
  soup_server_message_set_response (request->message, content_type, SOUP_MEMORY_COPY,
                                    bytes != NULL ? bytes : "", size);
  request->is_responded = true;
  request->on_disconnected = NULL;
  soup_server_message_unpause (request->message);
}

void
http_respond_text (http_request_t *request, guint status, const char *content_type, char *text)
{
  g_autoptr (GBytes) body = g_bytes_new_take (text, strlen (text));

  http_respond (request, status, content_type, body, NULL, 0);
}

void
http_respond_error (http_request_t *request,
                    const error_info_t *error,
                    outcome_t outcome,
                    gint64 retry_after_ms)
{
  g_autofree char *seconds = g_strdup_printf ("%" G_GINT64_FORMAT, (retry_after_ms + 999) / 1000);
  const http_header_t headers[]
      = { { "Mimosastair-Outcome", outcome_name (outcome) }, { "Retry-After", seconds } };
  char *text = http_error_to_json (error, outcome, retry_after_ms);
  g_autoptr (GBytes) body = g_bytes_new_take (text, strlen (text));

  http_respond (request, error_properties (error->kind)->http_status, HTTP_JSON_TYPE, body, headers,
                retry_after_ms > 0 ? 2 : 1);
}
