#include "backend/answered_connections.h"

#include <string.h>

typedef struct
{
  guint64 id;
  char *address;
  gint64 born; /* of the incarnation */
  bool is_busy;
  gint64 used_us; /* last */
} connection_t;

struct answered_connections
{
  guint connections_max;
  gint64 idle_us;
  GHashTable *by_id; /* id -> connection_t */
};

static void
connection_free (gpointer data)
{
  connection_t *connection = data;

  g_free (connection->address);
  g_free (connection);
}

answered_connections_t *
answered_connections_new (guint connections_max, gint64 idle_us)
{
  answered_connections_t *connections = g_new0 (answered_connections_t, 1);

  connections->connections_max = connections_max;
  connections->idle_us = idle_us;
  connections->by_id = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, connection_free);
  return connections;
}

void
answered_connections_free (answered_connections_t *connections)
{
  if (connections == NULL)
    return;
  g_hash_table_unref (connections->by_id);
  g_free (connections);
}

static bool
is_to_address (const connection_t *connection, const char *address)
{
  return strcmp (connection->address, address) == 0;
}

static bool
is_to_incarnation (const connection_t *connection, const incarnation_t *incarnation)
{
  return connection->born == incarnation->born && is_to_address (connection, incarnation->address);
}

/* Forgets the connections that the session has closed. */
static void
forget_unused (answered_connections_t *connections, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, connections->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const connection_t *connection = value;

      if (!connection->is_busy && now_us - connection->used_us > connections->idle_us)
        g_hash_table_iter_remove (&iter);
    }
}

void
answered_connections_add (answered_connections_t *connections,
                          guint64 id,
                          const incarnation_t *incarnation,
                          gint64 now_us)
{
  connection_t *connection = g_new0 (connection_t, 1);

  forget_unused (connections, now_us);
  connection->id = id;
  connection->address = g_strdup (incarnation->address);
  connection->born = incarnation->born;
  connection->used_us = now_us;
  g_hash_table_replace (connections->by_id, &connection->id, connection);
}

/* Returns the connection, or NULL if the incarnation has not answered on it. */
static connection_t *
find_connection (const answered_connections_t *connections,
                 guint64 id,
                 const incarnation_t *incarnation)
{
  connection_t *connection = g_hash_table_lookup (connections->by_id, &id);

  if (connection == NULL || !is_to_incarnation (connection, incarnation))
    return NULL;
  return connection;
}

bool
answered_connections_has (const answered_connections_t *connections,
                          guint64 id,
                          const incarnation_t *incarnation)
{
  return find_connection (connections, id, incarnation) != NULL;
}

bool
answered_connections_drop_former (answered_connections_t *connections,
                                  guint64 id,
                                  const incarnation_t *incarnation)
{
  const connection_t *connection = g_hash_table_lookup (connections->by_id, &id);

  if (connection == NULL || connection->born >= incarnation->born
      || !is_to_address (connection, incarnation->address))
    return false;
  g_hash_table_remove (connections->by_id, &id);
  return true;
}

bool
answered_connections_touch (answered_connections_t *connections,
                            guint64 id,
                            const incarnation_t *incarnation,
                            gint64 now_us)
{
  connection_t *connection = find_connection (connections, id, incarnation);

  if (connection == NULL)
    return false;
  connection->used_us = now_us;
  return true;
}

/* A new connection is opened only where none is idle: forgets those that count as idle. */
static void
forget_idle (answered_connections_t *connections, const char *address)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, connections->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const connection_t *connection = value;

      if (!connection->is_busy && is_to_address (connection, address))
        g_hash_table_iter_remove (&iter);
    }
}

bool
answered_connections_take (answered_connections_t *connections,
                           guint64 id,
                           const incarnation_t *incarnation)
{
  connection_t *connection = find_connection (connections, id, incarnation);

  if (connection == NULL)
    {
      if (!g_hash_table_contains (connections->by_id, &id))
        forget_idle (connections, incarnation->address);
      return false;
    }
  connection->is_busy = true;
  return true;
}

void
answered_connections_release (answered_connections_t *connections,
                              guint64 id,
                              bool is_open,
                              gint64 now_us)
{
  connection_t *connection = g_hash_table_lookup (connections->by_id, &id);

  if (connection == NULL)
    return;
  connection->is_busy = false;
  connection->used_us = now_us;
  if (!is_open)
    g_hash_table_remove (connections->by_id, &id);
}

bool
answered_connections_is_likely (const answered_connections_t *connections,
                                const incarnation_t *incarnation)
{
  GHashTableIter iter;
  gpointer value;
  guint count = 0;

  g_hash_table_iter_init (&iter, connections->by_id);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const connection_t *connection = value;

      if (!is_to_incarnation (connection, incarnation))
        continue;
      count++;
      if (!connection->is_busy)
        return true;
    }
  return count >= connections->connections_max;
}
