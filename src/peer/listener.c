#include "peer/listener.h"

#include "base/list.h"

struct listener
{
  acceptor_t *acceptor;
  list_node_t connection_list;
  guint connection_count;
  guint max_connections;
  listener_accepted_t accepted;
  void *data;
};

/* A connection that is open. */
typedef struct
{
  list_node_t node;
  listener_t *listener;
  GObject *object; /* weak reference */
} connection_t;

enum
{
  BACKLOG = 4096 /* connections that are not accepted yet; the system may allow fewer */
};

static void
connection_free (connection_t *connection)
{
  list_remove (&connection->node);
  connection->listener->connection_count--;
  g_free (connection);
}

static void
on_connection_finalized (gpointer data, GObject *object G_GNUC_UNUSED)
{
  connection_free (data);
}

static void
track_connection (listener_t *listener, GObject *object)
{
  connection_t *connection = g_new0 (connection_t, 1);

  connection->listener = listener;
  connection->object = object;
  list_push_back (&listener->connection_list, &connection->node);
  listener->connection_count++;
  g_object_weak_ref (object, on_connection_finalized, connection);
}

static void
untrack_connections (listener_t *listener)
{
  while (!list_is_empty (&listener->connection_list))
    {
      connection_t *connection = LIST_ENTRY (listener->connection_list.next, connection_t, node);

      g_object_weak_unref (connection->object, on_connection_finalized, connection);
      connection_free (connection);
    }
}

static bool
has_room (void *data)
{
  const listener_t *listener = data;

  return listener->connection_count < listener->max_connections;
}

static void
on_accepted (GSocketConnection *connection, void *data)
{
  listener_t *listener = data;

  track_connection (listener, G_OBJECT (connection));
  listener->accepted (connection, listener->data);
}

static const acceptor_events_t acceptor_events = { has_room, on_accepted };

listener_t *
listener_new (const char *address,
              guint max_connections,
              listener_accepted_t accepted,
              void *data,
              error_info_t *error)
{
  listener_t *listener = g_new0 (listener_t, 1);
  acceptor_config_t config = { .name = "peer", .address = address, .backlog = BACKLOG };

  list_init (&listener->connection_list);
  listener->max_connections = max_connections;
  listener->accepted = accepted;
  listener->data = data;
  listener->acceptor = acceptor_new (&config, &acceptor_events, listener, error);
  if (listener->acceptor != NULL)
    return listener;
  listener_free (listener);
  return NULL;
}

void
listener_free (listener_t *listener)
{
  if (listener == NULL)
    return;
  acceptor_free (listener->acceptor);
  untrack_connections (listener);
  g_free (listener);
}

acceptor_state_t
listener_state (const listener_t *listener, error_info_t *error)
{
  return acceptor_state (listener->acceptor, error);
}

guint16
listener_port (const listener_t *listener)
{
  return acceptor_port (listener->acceptor);
}

void
listener_append_metrics (const listener_t *listener, GString *out)
{
  acceptor_append_metrics (listener->acceptor, listener->connection_count,
                           listener->max_connections, out);
}
