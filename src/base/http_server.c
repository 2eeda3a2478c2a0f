#define LOG_MODULE "http"

#include "base/http_server.h"

#include "base/json.h"
#include "base/list.h"
#include "base/log.h"
#include "base/memory_budget.h"

#include <libsoup/soup.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

typedef enum
{
  CONNECTION_READING,    /* waiting for the first request, or receiving a request */
  CONNECTION_RESPONDING, /* a complete request was received */
  CONNECTION_IDLE        /* the response was sent; another request may follow */
} connection_state_t;

/* One accepted connection. */
typedef struct
{
  list_node_t node;
  http_server_t *server;
  GSocket *socket;                /* weak reference */
  GSocketAddress *remote_address; /* names the connection to the library */
  connection_state_t state;
  gint64 state_since_us;  /* time of the last state change */
  gint64 closed_since_us; /* 0: not known to be closed */
  bool is_replaced;       /* shut down for a new one, and not released yet */
  bool has_headers;       /* the headers of a request were received */
  bool is_refused;        /* this layer responds to the request with an error */
  goffset body_bytes;     /* received so far of the current request */
  gint64 held_bytes;      /* of MEMORY_REQUESTS, for the body of the current request */
  gint64 window_start_us; /* of the body's rate */
  goffset window_bytes;   /* received since */
} connection_t;

struct http_server
{
  SoupServer *soup;
  acceptor_t *acceptor; /* NULL: stopped */
  http_limits_t limits;
  http_handler_t handler;
  void *data;
  list_node_t connection_list;
  GHashTable *connections; /* GSocketAddress, by identity -> connection_t */
  guint connection_count;
  guint replaced_count; /* of connection_count */
  guint open_request_count;
  guint sweep_timer;
  gint64 last_sweep_us;
  bool is_stopping;
  http_counters_t counters;
};

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
  /* A large body comes at this rate or faster, so that a client that stops gives its memory back
   * before the timeout.  A small one has the whole timeout. */
  BODY_LEAST_BYTES_PER_S = 16 * 1024,
  SMALL_BODY_BYTES = 32 * 1024,
  BODY_GRACE_US = G_USEC_PER_SEC,
  BODY_WINDOW_US = G_USEC_PER_SEC,
  WORK_COPIES = 4, /* of a body: its text, the job, its record, and the call that stores it */
  RETRY_AFTER_MAX_S = 3
};

static const guint sweep_interval_ms = 250;
static const gint64 late_sweep_us = 500 * 1000;
static const int listen_backlog = 1024; /* connections not accepted yet */
static const gint64 closed_grace_us = 100 * 1000;
static const goffset refused_body_max_bytes = 4 * 1024 * 1024;
static const guint status_headers_too_large = 431;
static const char *const json_content_type = "application/json";

static void
connection_set_state (connection_t *connection, connection_state_t state)
{
  connection->state = state;
  connection->state_since_us = g_get_monotonic_time ();
}

static void
connection_give_back (connection_t *connection)
{
  memory_give_back (MEMORY_REQUESTS, connection->held_bytes);
  connection->held_bytes = 0;
}

static void
connection_free (connection_t *connection)
{
  http_server_t *server = connection->server;

  connection_give_back (connection);
  list_remove (&connection->node);
  g_hash_table_remove (server->connections, connection->remote_address);
  g_object_unref (connection->remote_address);
  server->connection_count--;
  server->replaced_count -= connection->is_replaced;
  g_free (connection);
}

static void
on_socket_finalized (gpointer data, GObject *socket G_GNUC_UNUSED)
{
  connection_free (data);
}

/* Stops tracking a connection whose socket still exists. */
static void
connection_untrack (connection_t *connection)
{
  g_object_weak_unref (G_OBJECT (connection->socket), on_socket_finalized, connection);
  connection_free (connection);
}

static connection_t *
find_connection (const http_server_t *server, SoupServerMessage *message)
{
  return g_hash_table_lookup (server->connections,
                              soup_server_message_get_remote_address (message));
}

static void
connection_shutdown (const connection_t *connection)
{
  (void) g_socket_shutdown (connection->socket, TRUE, TRUE, NULL);
}

static char *
error_to_json (const error_info_t *error, outcome_t outcome, gint64 retry_after_ms)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_put_string (builder, "outcome", outcome_name (outcome));
  json_put_string (builder, "error", error_properties (error->kind)->name);
  json_put_string (builder, "reason", error->detail);
  json_put_bool (builder, "retry", error_properties (error->kind)->retry);
  if (retry_after_ms > 0)
    json_put_int (builder, "retry_after_ms", retry_after_ms);
  json_builder_end_object (builder);
  return json_builder_to_string (builder);
}

static error_kind_t
refused_kind (guint status)
{
  switch (status)
    {
    case SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE:
      return ERROR_TOO_LARGE;
    case SOUP_STATUS_SERVICE_UNAVAILABLE:
      return ERROR_OVERLOADED;
    default:
      return ERROR_BAD_REQUEST;
    }
}

/* Responds with an error to a request that violates a limit, and closes the connection after
 * the response. */
static void
refuse_request (http_server_t *server, SoupServerMessage *message, guint status, const char *reason)
{
  error_info_t error = { .kind = refused_kind (status) };
  connection_t *connection = find_connection (server, message);
  char *text;

  g_strlcpy (error.detail, reason, sizeof error.detail);
  text = error_to_json (&error, OUTCOME_NOT_RUN, 0);
  server->counters.refused_requests++;
  if (connection != NULL)
    connection->is_refused = true;
  soup_message_body_set_accumulate (soup_server_message_get_request_body (message), FALSE);
  soup_message_headers_replace (soup_server_message_get_response_headers (message), "Connection",
                                "close");
  soup_server_message_set_status (message, status, NULL);
  soup_server_message_set_response (message, json_content_type, SOUP_MEMORY_TAKE, text,
                                    strlen (text));
}

/* Responds before the body is read.  The library would read the body first. */
static void
refuse_before_body (http_server_t *server, SoupServerMessage *message, const char *text)
{
  connection_t *connection = find_connection (server, message);

  if (connection == NULL)
    return;
  (void) g_socket_send (connection->socket, text, strlen (text), NULL, NULL);
  /* Only the sending side is shut down.  The rest of the request is still read, because unread
   * data would reset the connection and the client would lose the response. */
  (void) g_socket_shutdown (connection->socket, FALSE, TRUE, NULL);
}

/* Spreads the clients that were refused for lack of memory over the seconds in which slow bodies
 * give theirs back. */
static gint64
memory_retry_after_ms (const http_server_t *server)
{
  return (gint64) (1 + server->counters.refused_requests % RETRY_AFTER_MAX_S) * 1000;
}

static const error_info_t no_memory
    = { .kind = ERROR_OVERLOADED, .detail = "the memory for requests is in use" };

/* Returns the whole response to a request whose body has no room. */
static char *
no_memory_response (const http_server_t *server)
{
  gint64 retry_after_ms = memory_retry_after_ms (server);
  g_autofree char *json = error_to_json (&no_memory, OUTCOME_NOT_RUN, retry_after_ms);

  return g_strdup_printf ("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
                          "Content-Type: application/json\r\nMimosastair-Outcome: %s\r\n"
                          "Retry-After: %" G_GINT64_FORMAT "\r\nContent-Length: %zu\r\n\r\n%s",
                          outcome_name (OUTCOME_NOT_RUN), retry_after_ms / 1000, strlen (json),
                          json);
}

/* Refuses a request whose body has no room, and frees what was read of it. */
static void
refuse_for_memory (http_server_t *server, SoupServerMessage *message)
{
  g_autofree char *text = no_memory_response (server);

  refuse_request (server, message, SOUP_STATUS_SERVICE_UNAVAILABLE, no_memory.detail);
  soup_message_body_truncate (soup_server_message_get_request_body (message));
  refuse_before_body (server, message, text);
}

/* Takes the memory for `bytes` more of the body. */
static bool
take_body_memory (http_server_t *server, SoupServerMessage *message, goffset bytes)
{
  connection_t *connection = find_connection (server, message);

  if (connection == NULL)
    return true;
  if (memory_take (MEMORY_REQUESTS, connection->held_bytes, bytes))
    {
      connection->held_bytes += bytes;
      return true;
    }
  connection_give_back (connection);
  refuse_for_memory (server, message);
  return false;
}

typedef struct
{
  gsize bytes;
  guint content_lengths;
  guint transfer_encodings;
  guint idempotency_keys;
} header_totals_t;

static void
add_header (const char *name, const char *value, gpointer data)
{
  header_totals_t *totals = data;

  totals->bytes += strlen (name) + strlen (value) + 4;
  totals->content_lengths += g_ascii_strcasecmp (name, "Content-Length") == 0;
  totals->transfer_encodings += g_ascii_strcasecmp (name, "Transfer-Encoding") == 0;
  totals->idempotency_keys += g_ascii_strcasecmp (name, "Idempotency-Key") == 0;
}

/* Refuses a request by its headers, before its body is read.  A request that gives its length
 * twice is refused because two parsers could interpret it differently (request smuggling).
 * Returns true if the request is accepted. */
static bool
check_headers (http_server_t *server, SoupServerMessage *message)
{
  static const char ambiguous_length[]
      = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
        "Content-Type: application/json\r\n\r\n"
        "{\"outcome\":\"not_run\",\"error\":\"bad_request\",\"reason\":"
        "\"the length of the body is given more than once\",\"retry\":false}";
  static const char negative_length[]
      = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
        "Content-Type: application/json\r\n\r\n"
        "{\"outcome\":\"not_run\",\"error\":\"bad_request\",\"reason\":"
        "\"the length of the body is negative\",\"retry\":false}";
  SoupMessageHeaders *headers = soup_server_message_get_request_headers (message);
  header_totals_t totals = { .bytes = 0 };

  soup_message_headers_foreach (headers, add_header, &totals);
  if (totals.bytes > server->limits.header_bytes)
    {
      refuse_request (server, message, status_headers_too_large,
                      "the headers are larger than allowed");
      return false;
    }
  if (totals.content_lengths > 1 || totals.transfer_encodings > 1
      || (totals.content_lengths > 0 && totals.transfer_encodings > 0))
    {
      refuse_request (server, message, SOUP_STATUS_BAD_REQUEST,
                      "the length of the body is given more than once");
      refuse_before_body (server, message, ambiguous_length);
      return false;
    }
  if (totals.idempotency_keys > 1)
    {
      refuse_request (server, message, SOUP_STATUS_BAD_REQUEST,
                      "Idempotency-Key is given more than once");
      return false;
    }
  if (soup_message_headers_get_content_length (headers) < 0)
    {
      refuse_request (server, message, SOUP_STATUS_BAD_REQUEST,
                      "the length of the body is negative");
      refuse_before_body (server, message, negative_length);
      return false;
    }
  if (soup_message_headers_get_content_length (headers) > server->limits.body_bytes)
    {
      refuse_request (server, message, SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
                      "the body is larger than allowed");
      return false;
    }
  return take_body_memory (server, message, soup_message_headers_get_content_length (headers));
}

static void
on_headers (SoupServer *soup G_GNUC_UNUSED,
            SoupServerMessage *message,
            const char *path G_GNUC_UNUSED,
            GHashTable *query G_GNUC_UNUSED,
            gpointer data)
{
  http_server_t *server = data;
  connection_t *connection = find_connection (server, message);

  if (connection != NULL)
    {
      connection->has_headers = true;
      connection->window_start_us = g_get_monotonic_time () + BODY_GRACE_US;
      connection->window_bytes = 0;
    }
  (void) check_headers (server, message);
}

static void
on_body_chunk (SoupServerMessage *message, GBytes *chunk, gpointer data)
{
  http_server_t *server = data;
  connection_t *connection = find_connection (server, message);
  goffset limit_bytes = server->limits.body_bytes;

  if (connection == NULL)
    return;
  /* The body of a refused request is read and discarded, because the response would be lost if
   * unread data reset the connection.  A limit still applies. */
  if (connection->is_refused)
    limit_bytes = MAX (limit_bytes, refused_body_max_bytes);
  connection->body_bytes += (goffset) g_bytes_get_size (chunk);
  if (g_get_monotonic_time () >= connection->window_start_us)
    connection->window_bytes += (goffset) g_bytes_get_size (chunk);
  if (connection->body_bytes <= limit_bytes)
    {
      /* Only a chunked body is not taken at its headers. */
      if (!connection->is_refused && connection->body_bytes > connection->held_bytes)
        (void) take_body_memory (server, message, connection->body_bytes - connection->held_bytes);
      return;
    }
  server->counters.refused_requests++;
  connection_shutdown (connection);
}

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
  http_respond_error (request, &no_memory, OUTCOME_NOT_RUN, memory_retry_after_ms (server));
}

/* Returns whether the client has closed its side and all data from it has been read. */
static bool
is_closed_by_peer (const connection_t *connection)
{
  char byte;

  return recv (g_socket_get_fd (connection->socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Closes a connection that was closed by the client between two requests: the library does not
 * release it. */
static void
connection_close (connection_t *connection)
{
  (void) g_socket_close (connection->socket, NULL);
  connection_untrack (connection);
}

/* Frees connections that have been closed for at least closed_grace_us. */
static void
close_dead_connections (http_server_t *server)
{
  gint64 now_us = g_get_monotonic_time ();
  list_node_t *next;

  for (list_node_t *node = server->connection_list.next; node != &server->connection_list;
       node = next)
    {
      connection_t *connection = LIST_ENTRY (node, connection_t, node);
      bool is_closed
          = g_socket_is_closed (connection->socket)
            || (connection->state != CONNECTION_RESPONDING && is_closed_by_peer (connection));

      next = node->next;
      if (!is_closed)
        connection->closed_since_us = 0;
      else if (connection->closed_since_us == 0)
        connection->closed_since_us = now_us;
      else if (now_us - connection->closed_since_us >= closed_grace_us)
        connection_close (connection);
    }
}

static connection_t *
connection_new (http_server_t *server, GSocket *socket, GSocketAddress *remote_address)
{
  connection_t *connection = g_new0 (connection_t, 1);

  (void) g_socket_set_option (socket, IPPROTO_TCP, TCP_NODELAY, 1, NULL);
  connection->server = server;
  connection->socket = socket;
  connection->remote_address = g_object_ref (remote_address);
  connection_set_state (connection, CONNECTION_READING);
  list_push_back (&server->connection_list, &connection->node);
  server->connection_count++;
  g_hash_table_insert (server->connections, remote_address, connection);
  g_object_weak_ref (G_OBJECT (socket), on_socket_finalized, connection);
  return connection;
}

static connection_t *
find_longest_idle (const http_server_t *server)
{
  connection_t *longest = NULL;

  for (list_node_t *node = server->connection_list.next; node != &server->connection_list;
       node = node->next)
    {
      connection_t *connection = LIST_ENTRY (node, connection_t, node);

      if (connection->state == CONNECTION_RESPONDING || connection->is_replaced)
        continue;
      if (longest == NULL || connection->state_since_us < longest->state_since_us)
        longest = connection;
    }
  return longest;
}

/* The replaced connection is released later, so that at most twice the bound are open. */
static bool
replace_idle_connection (http_server_t *server)
{
  connection_t *connection = find_longest_idle (server);

  if (connection == NULL || server->replaced_count >= server->limits.connections)
    return false;
  connection->is_replaced = true;
  server->replaced_count++;
  connection_shutdown (connection);
  return true;
}

static bool
has_room (void *data)
{
  http_server_t *server = data;
  guint limit = server->limits.connections;

  if (server->connection_count - server->replaced_count >= limit)
    close_dead_connections (server);
  if (server->connection_count - server->replaced_count < limit)
    return true;
  return server->limits.replaces_idle && replace_idle_connection (server);
}

static void
on_accepted (GSocketConnection *stream, void *data)
{
  http_server_t *server = data;
  GSocket *socket = g_socket_connection_get_socket (stream);
  g_autoptr (GSocketAddress) local = g_socket_get_local_address (socket, NULL);
  g_autoptr (GSocketAddress) remote = g_socket_get_remote_address (socket, NULL);
  connection_t *connection;

  if (local == NULL || remote == NULL)
    return; /* already reset by the client */
  connection = connection_new (server, socket, remote);
  if (!soup_server_accept_iostream (server->soup, G_IO_STREAM (stream), local, remote, NULL))
    connection_close (connection);
}

static const acceptor_events_t acceptor_events = { has_room, on_accepted };

/* Called when a connection was accepted, or when the response to its previous request has been
 * sent. */
static void
on_request_started (SoupServer *soup G_GNUC_UNUSED, SoupServerMessage *message, gpointer data)
{
  http_server_t *server = data;
  connection_t *connection = find_connection (server, message);

  if (connection == NULL)
    return;
  connection_set_state (connection, CONNECTION_READING);
  connection->has_headers = false;
  connection->is_refused = false;
  connection->body_bytes = 0;
  connection_give_back (connection);
  g_signal_connect (message, "got-chunk", G_CALLBACK (on_body_chunk), server);
}

static void
on_request_read (SoupServer *soup G_GNUC_UNUSED, SoupServerMessage *message, gpointer data)
{
  connection_t *connection = find_connection (data, message);

  if (connection == NULL)
    return;
  connection_set_state (connection, CONNECTION_RESPONDING);
  connection_give_back (connection);
}

static void
on_request_finished (SoupServer *soup G_GNUC_UNUSED, SoupServerMessage *message, gpointer data)
{
  connection_t *connection = find_connection (data, message);

  if (connection != NULL)
    connection_set_state (connection, CONNECTION_IDLE);
}

/* Returns whether a large body came too slowly since the last window while others need the memory,
 * and begins the next window.  While the process itself was late, nothing is known of its clients.
 */
static bool
is_body_too_slow (connection_t *connection, gint64 now_us, bool was_late)
{
  bool is_too_slow;

  if (connection->state != CONNECTION_READING || !connection->has_headers
      || connection->held_bytes <= SMALL_BODY_BYTES)
    return false;
  if (!was_late && now_us < connection->window_start_us + BODY_WINDOW_US)
    return false;
  is_too_slow = !was_late && connection->window_bytes < BODY_LEAST_BYTES_PER_S
                && memory_is_scarce (MEMORY_REQUESTS);
  connection->window_start_us = MAX (connection->window_start_us, now_us);
  connection->window_bytes = 0;
  return is_too_slow;
}

/* Refuses a request whose body comes too slowly, and closes its connection, which frees what was
 * read. */
static void
refuse_slow_body (http_server_t *server, const connection_t *connection)
{
  g_autofree char *text = no_memory_response (server);

  server->counters.refused_requests++;
  (void) g_socket_send (connection->socket, text, strlen (text), NULL, NULL);
}

static gboolean
sweep_connections (gpointer data)
{
  http_server_t *server = data;
  gint64 now_us = g_get_monotonic_time ();
  gint64 read_cutoff_us = now_us - (gint64) server->limits.read_timeout_ms * 1000;
  bool was_late = now_us - server->last_sweep_us > late_sweep_us;

  server->last_sweep_us = now_us;
  close_dead_connections (server);
  for (list_node_t *node = server->connection_list.next; node != &server->connection_list;
       node = node->next)
    {
      connection_t *connection = LIST_ENTRY (node, connection_t, node);
      bool is_late = connection->state_since_us <= read_cutoff_us;
      bool is_slow = !is_late && is_body_too_slow (connection, now_us, was_late);

      if (connection->state == CONNECTION_RESPONDING || (!is_late && !is_slow))
        continue;
      if (is_slow)
        refuse_slow_body (server, connection);
      server->counters.timeouts += connection->state == CONNECTION_READING;
      connection_set_state (connection, CONNECTION_IDLE);
      connection_shutdown (connection);
    }
  return G_SOURCE_CONTINUE;
}

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
  soup_server_add_early_handler (server->soup, NULL, on_headers, server, NULL);
  soup_server_add_handler (server->soup, NULL, on_message, server, NULL);
  g_signal_connect (server->soup, "request-started", G_CALLBACK (on_request_started), server);
  g_signal_connect (server->soup, "request-read", G_CALLBACK (on_request_read), server);
  g_signal_connect (server->soup, "request-finished", G_CALLBACK (on_request_finished), server);
  server->sweep_timer = g_timeout_add (sweep_interval_ms, sweep_connections, server);
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
    connection_untrack (LIST_ENTRY (server->connection_list.next, connection_t, node));
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
        connection_shutdown (connection);
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
  char *text = error_to_json (error, outcome, retry_after_ms);
  g_autoptr (GBytes) body = g_bytes_new_take (text, strlen (text));

  http_respond (request, error_properties (error->kind)->http_status, json_content_type, body,
                headers, retry_after_ms > 0 ? 2 : 1);
}
