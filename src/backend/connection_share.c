#define LOG_MODULE "backend"

#include "backend/connection_share.h"

#include "base/clock.h"
#include "base/log.h"

enum
{
  EXPIRY_POLL_MS = 20,    /* small beside the 500 ms of an order */
  OTHER_CALLS_DIVISOR = 4 /* the part of the share that long polls leave to other calls */
};

/* The connections of one session to one address. */
struct connection_pool
{
  connection_share_t *share;
  char *key;
  list_node_t connections;
  guint connection_count;
  guint idle_count; /* of these, unused and not about to be closed */
  guint connections_max;
  guint granted_count;
  gint64 born;         /* the latest incarnation that a claim was for */
  guint present_count; /* granted claims for that one */
  guint started_count; /* granted claims that use a connection */
  guint waiting_count;
  guint cost; /* as counted in the share */
};

/* An open connection. */
struct open_connection
{
  list_node_t node;      /* of its pool */
  list_node_t idle_node; /* of the share, while it is unused */
  connection_pool_t *pool;
  connection_claim_t *claim; /* whose call uses it; NULL: it is idle or about to be closed */
  GIOStream *stream;         /* weak */
  guint64 id;
};

struct connection_share
{
  GHashTable *pools; /* key -> connection_pool_t */
  list_node_t waiting[CONNECTION_USES];
  list_node_t idle; /* the one unused longest first */
  guint open_count; /* connections that are open or may be opened */
  guint granted_poll_count;
  guint waiting_poll_count;
  guint timer;        /* refuses what has waited for too long; 0: nothing waits */
  guint grant_source; /* grants claims after a connection was closed; 0: none */
  bool is_closed;
};

static const gint64 log_interval_us = G_USEC_PER_SEC;

static guint share_limit; /* 0: no bound */

/* Of all shares of the process, for its metrics. */
static guint total_open;
static guint total_waiting;
static guint64 closed_total;
static guint64 refused_total;
static guint64 logged_total; /* of refused_total, when the last line was logged */
static gint64 logged_us;

void
connection_share_set_limit (guint connections)
{
  share_limit = connections;
}

static guint
poll_limit (void)
{
  if (share_limit == 0)
    return G_MAXUINT;
  return MAX (share_limit - MAX (share_limit / OTHER_CALLS_DIVISOR, 1), 1);
}

connection_share_t *
connection_share_new (void)
{
  connection_share_t *share = g_rc_box_new0 (connection_share_t);

  share->pools = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < CONNECTION_USES; i++)
    list_init (&share->waiting[i]);
  list_init (&share->idle);
  return share;
}

/* ---- Pools and their connections. */

static connection_pool_t *
ensure_pool (connection_share_t *share, const connection_request_t *request)
{
  g_autofree char *key = g_strdup_printf ("%p %s", request->session, request->address);
  connection_pool_t *pool = g_hash_table_lookup (share->pools, key);

  if (pool != NULL)
    return pool;
  pool = g_new0 (connection_pool_t, 1);
  pool->share = share;
  pool->key = g_steal_pointer (&key);
  pool->connections_max = request->connections_max;
  list_init (&pool->connections);
  g_hash_table_insert (share->pools, pool->key, pool);
  return pool;
}

/* Granted claims that may use an idle connection, or open one. */
static guint
unstarted_count (const connection_pool_t *pool)
{
  return pool->granted_count - pool->started_count;
}

/* Counts the pool's connections anew, and frees a pool that nothing uses. */
static void
pool_update (connection_pool_t *pool)
{
  connection_share_t *share = pool->share;
  guint in_use = pool->connection_count - pool->idle_count;
  guint cost = in_use + MAX (pool->idle_count, unstarted_count (pool));

  share->open_count = share->open_count - pool->cost + cost;
  total_open = total_open - pool->cost + cost;
  pool->cost = cost;
  if (cost > 0 || pool->waiting_count > 0)
    return;
  (void) g_hash_table_remove (share->pools, pool->key);
  g_free (pool->key);
  g_free (pool);
}

static void
unlink_idle (open_connection_t *connection)
{
  if (!list_is_linked (&connection->idle_node))
    return;
  list_remove (&connection->idle_node);
  connection->pool->idle_count--;
}

static void
attach (open_connection_t *connection, connection_claim_t *claim)
{
  unlink_idle (connection);
  if (claim->connection == NULL)
    claim->pool->started_count++;
  else
    claim->connection->claim = NULL;
  claim->connection = connection;
  connection->claim = claim;
}

static void
detach (open_connection_t *connection)
{
  if (connection->claim == NULL)
    return;
  connection->claim->connection = NULL;
  connection->claim = NULL;
  connection->pool->started_count--;
}

static void
connection_free (open_connection_t *connection)
{
  connection_pool_t *pool = connection->pool;

  detach (connection);
  unlink_idle (connection);
  list_remove (&connection->node);
  pool->connection_count--;
  g_free (connection);
  pool_update (pool);
}

static gboolean grant_later (gpointer data);

/* The library may hold a lock when it closes a connection, so no call is started from here. */
static void
on_stream_finalized (gpointer data, GObject *stream G_GNUC_UNUSED)
{
  open_connection_t *connection = data;
  connection_share_t *share = connection->pool->share;

  connection_free (connection);
  if (share->timer != 0 && share->grant_source == 0)
    share->grant_source = g_idle_add_full (G_PRIORITY_DEFAULT, grant_later, share, NULL);
}

static void
connection_close (open_connection_t *connection)
{
  GIOStream *stream = connection->stream;

  g_object_weak_unref (G_OBJECT (stream), on_stream_finalized, connection);
  connection_free (connection);
  (void) g_io_stream_close (stream, NULL, NULL);
}

/* Closes the connection that has been unused longest, of those that no granted claim may use.
 * Returns false if there is none. */
static bool
close_one_idle (const connection_share_t *share)
{
  for (list_node_t *node = share->idle.next; node != &share->idle; node = node->next)
    {
      open_connection_t *connection = LIST_ENTRY (node, open_connection_t, idle_node);

      if (connection->pool->idle_count <= unstarted_count (connection->pool))
        continue;
      connection_close (connection);
      closed_total++;
      return true;
    }
  return false;
}

void
connection_share_opened (connection_claim_t *claim, guint64 id, GIOStream *stream)
{
  open_connection_t *connection = g_new0 (open_connection_t, 1);

  connection->pool = claim->pool;
  connection->stream = stream;
  connection->id = id;
  list_push_back (&claim->pool->connections, &connection->node);
  claim->pool->connection_count++;
  g_object_weak_ref (G_OBJECT (stream), on_stream_finalized, connection);
  attach (connection, claim);
  pool_update (claim->pool);
}

void
connection_share_used (connection_claim_t *claim, guint64 id)
{
  const list_node_t *head = &claim->pool->connections;

  for (list_node_t *node = head->next; node != head; node = node->next)
    {
      open_connection_t *connection = LIST_ENTRY (node, open_connection_t, node);

      if (connection->id != id)
        continue;
      if (connection->claim != claim)
        attach (connection, claim);
      pool_update (claim->pool);
      return;
    }
}

void
connection_share_unused (connection_claim_t *claim, bool is_kept)
{
  open_connection_t *connection = claim->connection;

  if (connection == NULL)
    return;
  detach (connection);
  if (is_kept)
    {
      list_push_back (&claim->share->idle, &connection->idle_node);
      claim->pool->idle_count++;
    }
  pool_update (claim->pool);
}

/* ---- Claims. */

static bool
make_room (const connection_share_t *share)
{
  return share_limit == 0 || share->open_count < share_limit || close_one_idle (share);
}

static bool
is_for_present (const connection_claim_t *claim)
{
  return claim->born == claim->pool->born;
}

static bool
may_grant (const connection_claim_t *claim)
{
  const connection_pool_t *pool = claim->pool;
  /* Calls to a former incarnation may hang until they time out. */
  guint count = is_for_present (claim) ? pool->present_count : pool->granted_count;

  if (count >= pool->connections_max)
    return false;
  if (claim->use == CONNECTION_FOR_HOLD && claim->share->granted_poll_count >= poll_limit ())
    return false;
  return pool->idle_count > unstarted_count (pool) || make_room (claim->share);
}

static void
leave_queue (connection_claim_t *claim)
{
  list_remove (&claim->node);
  claim->pool->waiting_count--;
  total_waiting--;
  if (claim->use == CONNECTION_FOR_HOLD)
    claim->share->waiting_poll_count--;
}

static void
grant (connection_claim_t *claim)
{
  leave_queue (claim);
  claim->pool->granted_count++;
  if (is_for_present (claim))
    claim->pool->present_count++;
  if (claim->use == CONNECTION_FOR_HOLD)
    claim->share->granted_poll_count++;
  pool_update (claim->pool);
  claim->done (true, claim->data);
}

static connection_claim_t *
find_grantable (const connection_share_t *share)
{
  for (guint use = 0; use < CONNECTION_USES; use++)
    {
      const list_node_t *head = &share->waiting[use];

      for (list_node_t *node = head->next; node != head; node = node->next)
        {
          connection_claim_t *claim = LIST_ENTRY (node, connection_claim_t, node);

          if (may_grant (claim))
            return claim;
        }
    }
  return NULL;
}

/* A claim's `done` may claim and release others, so the search begins anew after each. */
static void
grant_waiting (connection_share_t *share)
{
  connection_claim_t *claim;

  (void) g_rc_box_acquire (share);
  while (!share->is_closed && (claim = find_grantable (share)) != NULL)
    grant (claim);
  g_rc_box_release (share);
}

static gboolean
grant_later (gpointer data)
{
  connection_share_t *share = data;

  share->grant_source = 0;
  grant_waiting (share);
  return G_SOURCE_REMOVE;
}

static void
log_refused (const connection_share_t *share, gint64 now_us)
{
  if (logged_us != 0 && now_us - logged_us < log_interval_us)
    return;
  LOG_WARN ("executor_calls_unsent", "count=%" G_GUINT64_FORMAT " open=%u waiting=%u limit=%u",
            refused_total - logged_total, share->open_count, total_waiting, share_limit);
  logged_total = refused_total;
  logged_us = now_us;
}

static void
refuse (connection_claim_t *claim, gint64 now_us)
{
  leave_queue (claim);
  pool_update (claim->pool);
  refused_total++;
  if (!claim->share->is_closed)
    log_refused (claim->share, now_us);
  claim->done (false, claim->data);
}

static connection_claim_t *
find_expired (const connection_share_t *share, gint64 now_us)
{
  for (guint use = 0; use < CONNECTION_USES; use++)
    {
      const list_node_t *head = &share->waiting[use];

      for (list_node_t *node = head->next; node != head; node = node->next)
        {
          connection_claim_t *claim = LIST_ENTRY (node, connection_claim_t, node);

          if (share->is_closed || now_us >= claim->deadline_us)
            return claim;
        }
    }
  return NULL;
}

static void
raise_born (connection_pool_t *pool, gint64 born)
{
  if (born <= pool->born)
    return;
  pool->born = born;
  pool->present_count = 0;
}

static bool
has_waiting (const connection_share_t *share)
{
  for (guint use = 0; use < CONNECTION_USES; use++)
    {
      if (!list_is_empty (&share->waiting[use]))
        return true;
    }
  return false;
}

static gboolean
expire (gpointer data)
{
  connection_share_t *share = g_rc_box_acquire (data);
  gint64 now_us = clock_now_us ();
  connection_claim_t *claim;
  bool is_done;

  while ((claim = find_expired (share, now_us)) != NULL)
    refuse (claim, now_us);
  is_done = !has_waiting (share);
  if (is_done)
    share->timer = 0;
  g_rc_box_release (share);
  return is_done ? G_SOURCE_REMOVE : G_SOURCE_CONTINUE;
}

void
connection_share_claim (connection_share_t *share,
                        connection_claim_t *claim,
                        const connection_request_t *request,
                        connection_claim_done_t done,
                        void *data,
                        gint64 now_us)
{
  *claim = (connection_claim_t){ .share = share,
                                 .pool = ensure_pool (share, request),
                                 .use = request->use,
                                 .born = request->born,
                                 .deadline_us = now_us + (gint64) request->timeout_ms * 1000,
                                 .done = done,
                                 .data = data };
  raise_born (claim->pool, claim->born);
  list_push_back (&share->waiting[request->use], &claim->node);
  claim->pool->waiting_count++;
  total_waiting++;
  if (request->use == CONNECTION_FOR_HOLD)
    share->waiting_poll_count++;
  grant_waiting (share);
  if (share->timer == 0 && has_waiting (share))
    share->timer = g_timeout_add (EXPIRY_POLL_MS, expire, share);
}

void
connection_share_release (connection_claim_t *claim)
{
  connection_share_t *share = claim->share;

  connection_share_unused (claim, false);
  if (claim->use == CONNECTION_FOR_HOLD)
    share->granted_poll_count--;
  claim->pool->granted_count--;
  if (is_for_present (claim))
    claim->pool->present_count--;
  pool_update (claim->pool);
  claim->pool = NULL;
  grant_waiting (share);
}

bool
connection_share_has_idle (const connection_claim_t *claim)
{
  return claim->pool->idle_count > 0;
}

bool
connection_share_is_crowded (const connection_share_t *share)
{
  return share->granted_poll_count + share->waiting_poll_count > poll_limit ();
}

guint
connection_share_poll_ms (const connection_share_t *share, guint wait_ms)
{
  guint polls = share->granted_poll_count + share->waiting_poll_count;

  if (polls <= poll_limit ())
    return wait_ms;
  return (guint) ((guint64) wait_ms * poll_limit () / polls);
}

void
connection_share_close (connection_share_t *share)
{
  share->is_closed = true;
}

void
connection_share_free (connection_share_t *share)
{
  GHashTableIter pools;
  gpointer value;

  if (share == NULL)
    return;
  if (share->timer != 0)
    g_source_remove (share->timer);
  if (share->grant_source != 0)
    g_source_remove (share->grant_source);
  /* Connections that the library has not closed yet are no longer counted. */
  g_hash_table_iter_init (&pools, share->pools);
  while (g_hash_table_iter_next (&pools, NULL, &value))
    {
      connection_pool_t *pool = value;

      total_open -= pool->cost;
      while (!list_is_empty (&pool->connections))
        {
          open_connection_t *connection
              = LIST_ENTRY (pool->connections.next, open_connection_t, node);

          g_object_weak_unref (G_OBJECT (connection->stream), on_stream_finalized, connection);
          list_remove (&connection->node);
          g_free (connection);
        }
      g_free (pool->key);
      g_free (pool);
    }
  g_hash_table_unref (share->pools);
  g_rc_box_release (share);
}

void
connection_share_append_metrics (GString *out)
{
  g_string_append_printf (out,
                          "mimosastair_executor_connections %u\n"
                          "mimosastair_executor_calls_waiting %u\n"
                          "mimosastair_executor_connections_closed_total %" G_GUINT64_FORMAT "\n"
                          "mimosastair_executor_calls_unsent_total %" G_GUINT64_FORMAT "\n",
                          total_open, total_waiting, closed_total, refused_total);
}
