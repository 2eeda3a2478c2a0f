#include "base/http_server_state.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

enum
{
  /* A large body comes at this rate or faster while memory is scarce, so that a client that stops
   * gives its memory back before the timeout.  A small one has the whole timeout. */
  BODY_LEAST_BYTES_PER_S = 16 * 1024,
  SMALL_BODY_BYTES = 32 * 1024,
  BODY_WINDOW_US = G_USEC_PER_SEC
};

static const gint64 late_sweep_us = 500 * 1000;
static const gint64 closed_grace_us = 100 * 1000;

static void
set_state (connection_t *connection, connection_state_t state)
{
  connection->state = state;
  connection->state_since_us = g_get_monotonic_time ();
}

void
http_connection_give_back (connection_t *connection)
{
  memory_give_back (MEMORY_REQUESTS, connection->held_bytes);
  connection->held_bytes = 0;
}

static void
connection_free (connection_t *connection)
{
  http_server_t *server = connection->server;

  http_connection_give_back (connection);
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
void
http_connection_untrack (connection_t *connection)
{
  g_object_weak_unref (G_OBJECT (connection->socket), on_socket_finalized, connection);
  connection_free (connection);
}

connection_t *
http_connection_find (const http_server_t *server, SoupServerMessage *message)
{
  return g_hash_table_lookup (server->connections,
                              soup_server_message_get_remote_address (message));
}

void
http_connection_shutdown (const connection_t *connection)
{
  (void) g_socket_shutdown (connection->socket, TRUE, TRUE, NULL);
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
  http_connection_untrack (connection);
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
  set_state (connection, CONNECTION_READING);
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
  http_connection_shutdown (connection);
  return true;
}

bool
http_connections_have_room (void *data)
{
  http_server_t *server = data;
  guint limit = server->limits.connections;

  if (server->connection_count - server->replaced_count >= limit)
    close_dead_connections (server);
  if (server->connection_count - server->replaced_count < limit)
    return true;
  return server->limits.replaces_idle && replace_idle_connection (server);
}

void
http_connections_accept (GSocketConnection *stream, void *data)
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

/* Called when a connection was accepted, or when the response to its previous request has been
 * sent. */
void
http_connections_on_request_started (SoupServer *soup G_GNUC_UNUSED,
                                     SoupServerMessage *message,
                                     gpointer data)
{
  http_server_t *server = data;
  connection_t *connection = http_connection_find (server, message);

  if (connection == NULL)
    return;
  set_state (connection, CONNECTION_READING);
  connection->has_headers = false;
  connection->is_refused = false;
  connection->body_bytes = 0;
  http_connection_give_back (connection);
  g_signal_connect (message, "got-chunk", G_CALLBACK (http_refusal_on_body_chunk), server);
}

void
http_connections_on_request_read (SoupServer *soup G_GNUC_UNUSED,
                                  SoupServerMessage *message,
                                  gpointer data)
{
  connection_t *connection = http_connection_find (data, message);

  if (connection == NULL)
    return;
  set_state (connection, CONNECTION_RESPONDING);
  http_connection_give_back (connection);
}

void
http_connections_on_request_finished (SoupServer *soup G_GNUC_UNUSED,
                                      SoupServerMessage *message,
                                      gpointer data)
{
  connection_t *connection = http_connection_find (data, message);

  if (connection != NULL)
    set_state (connection, CONNECTION_IDLE);
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

gboolean
http_connections_sweep (gpointer data)
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
        http_refuse_slow_body (server, connection);
      server->counters.timeouts += connection->state == CONNECTION_READING;
      set_state (connection, CONNECTION_IDLE);
      http_connection_shutdown (connection);
    }
  return G_SOURCE_CONTINUE;
}
