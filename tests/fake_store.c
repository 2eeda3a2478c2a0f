#include "fake_store.h"

#include <string.h>

enum
{
  CALL_TIMEOUT_MS = 100, /* of a call while the service is down */
  SWEEP_INTERVAL_MS = 10 /* interval of the checks of leases and watches */
};

typedef struct
{
  char *key;
  GBytes *value;
  gint64 revision;
  gint64 created;
  gint64 lease;
} row_t;

typedef struct
{
  gint64 id;
  gint64 ttl_ms;
  gint64 expires_us;
} lease_t;

typedef struct
{
  char *key;
  gint64 revision;
  bool deleted;
} event_t;

typedef struct
{
  char *prefix;
  gint64 after;
  gint64 expires_us;
  store_done_t done;
  void *data;
} watch_t;

struct fake_service
{
  GHashTable *rows;   /* key -> row_t */
  GHashTable *leases; /* id -> lease_t */
  GPtrArray *events;
  GPtrArray *watches;
  gint64 revision;
  gint64 next_lease;
  bool is_down;
  bool keeps_watches;
  guint delay_ms;
  guint lose_every;
  guint transaction_count;
  guint open_transaction_count; /* transactions in flight */
  guint max_open_transactions;
  guint sweep_timer;
};

typedef struct
{
  store_t base;
  fake_service_t *service;
  bool is_cut_off;
} fake_store_t;

/* An answer that is not delivered yet. */
typedef struct
{
  store_reply_t reply;
  store_done_t done;
  void *data;
  fake_service_t *transaction_service; /* set in answers of transactions only */
} pending_reply_t;

static void
free_row (gpointer data)
{
  row_t *row = data;

  g_free (row->key);
  g_bytes_unref (row->value);
  g_free (row);
}

static void
free_event (gpointer data)
{
  event_t *event = data;

  g_free (event->key);
  g_free (event);
}

static void
free_watch (gpointer data)
{
  watch_t *watch = data;

  g_free (watch->prefix);
  g_free (watch);
}

static gboolean
deliver (gpointer data)
{
  pending_reply_t *pending_reply = data;

  if (pending_reply->transaction_service != NULL)
    pending_reply->transaction_service->open_transaction_count--;
  pending_reply->done (&pending_reply->reply, pending_reply->data);
  g_ptr_array_unref (pending_reply->reply.items);
  g_free (pending_reply);
  return G_SOURCE_REMOVE;
}

static pending_reply_t *
pending_reply_new (const fake_service_t *service,
                   store_status_t status,
                   store_done_t done,
                   void *data)
{
  pending_reply_t *pending_reply = g_new0 (pending_reply_t, 1);

  pending_reply->reply.status = status;
  pending_reply->reply.revision = service->revision;
  pending_reply->reply.items = g_ptr_array_new_with_free_func ((GDestroyNotify) store_item_free);
  pending_reply->done = done;
  pending_reply->data = data;
  return pending_reply;
}

static void
send_reply (const fake_service_t *service, pending_reply_t *pending_reply)
{
  if (service->delay_ms > 0)
    g_timeout_add (service->delay_ms, deliver, pending_reply);
  else
    g_idle_add (deliver, pending_reply);
}

/* Returns true if the service is down; the call then ends with STORE_LOST. */
static bool
fail_if_down (const fake_service_t *service, store_done_t done, void *data)
{
  if (!service->is_down)
    return false;
  g_timeout_add (CALL_TIMEOUT_MS, deliver, pending_reply_new (service, STORE_LOST, done, data));
  return true;
}

static fake_service_t *
get_service (store_t *store)
{
  return ((fake_store_t *) store)->service;
}

/* The same for a client that may be cut off. */
static bool
fail_if_unreachable (store_t *store, store_done_t done, void *data)
{
  const fake_service_t *service = get_service (store);

  if (!((fake_store_t *) store)->is_cut_off)
    return fail_if_down (service, done, data);
  send_reply (service, pending_reply_new (service, STORE_LOST, done, data));
  return true;
}

static store_item_t *
item_from_row (const row_t *row)
{
  store_item_t *item = g_new0 (store_item_t, 1);

  item->key = g_strdup (row->key);
  item->value_bytes = g_bytes_get_size (row->value);
  item->value = g_memdup2 (g_bytes_get_data (row->value, NULL), item->value_bytes);
  item->revision = row->revision;
  item->created = row->created;
  item->lease = row->lease;
  return item;
}

static void
add_event (fake_service_t *service, const char *key, bool deleted)
{
  event_t *event = g_new0 (event_t, 1);

  event->key = g_strdup (key);
  event->revision = service->revision;
  event->deleted = deleted;
  g_ptr_array_add (service->events, event);
}

static void
remove_key (fake_service_t *service, const char *key)
{
  g_autofree char *copy = g_strdup (key);

  if (!g_hash_table_remove (service->rows, copy))
    return;
  service->revision++;
  add_event (service, copy, true);
}

static void
remove_lease_keys (fake_service_t *service, gint64 lease)
{
  g_autoptr (GPtrArray) keys = g_ptr_array_new_with_free_func (g_free);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, service->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const row_t *row = value;

      if (row->lease == lease)
        g_ptr_array_add (keys, g_strdup (row->key));
    }
  for (guint i = 0; i < keys->len; i++)
    remove_key (service, g_ptr_array_index (keys, i));
}

/* ---- Watches and leases, checked periodically. */

/* Answers a watch with the changes since its revision, or without any after its wait time.  Returns
 * false if it has to go on waiting. */
static bool
answer_watch (fake_service_t *service, const watch_t *watch, gint64 now_us)
{
  pending_reply_t *pending_reply
      = pending_reply_new (service, STORE_DONE, watch->done, watch->data);

  for (guint i = 0; i < service->events->len; i++)
    {
      const event_t *event = g_ptr_array_index (service->events, i);
      const row_t *row = g_hash_table_lookup (service->rows, event->key);
      store_item_t *item;

      if (event->revision <= watch->after || !g_str_has_prefix (event->key, watch->prefix))
        continue;
      /* Report only the last state of each key. */
      if (event->deleted ? row != NULL : row == NULL || row->revision != event->revision)
        continue;
      item = event->deleted ? g_new0 (store_item_t, 1) : item_from_row (row);
      if (event->deleted)
        item->key = g_strdup (event->key);
      item->deleted = event->deleted;
      item->revision = event->revision;
      g_ptr_array_add (pending_reply->reply.items, item);
    }
  if (pending_reply->reply.items->len == 0 && now_us < watch->expires_us)
    {
      g_ptr_array_unref (pending_reply->reply.items);
      g_free (pending_reply);
      return false;
    }
  send_reply (service, pending_reply);
  return true;
}

static gboolean
sweep (gpointer data)
{
  fake_service_t *service = data;
  gint64 now_us = g_get_monotonic_time ();
  g_autoptr (GArray) expired_ids = g_array_new (FALSE, FALSE, sizeof (gint64));
  GHashTableIter iter;
  gpointer value;

  if (service->is_down)
    return G_SOURCE_CONTINUE;
  g_hash_table_iter_init (&iter, service->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const lease_t *lease = value;

      if (lease->expires_us <= now_us)
        g_array_append_val (expired_ids, lease->id);
    }
  for (guint i = 0; i < expired_ids->len; i++)
    {
      gint64 id = g_array_index (expired_ids, gint64, i);

      g_hash_table_remove (service->leases, &id);
      remove_lease_keys (service, id);
    }
  for (guint i = 0; i < service->watches->len;)
    {
      if (answer_watch (service, g_ptr_array_index (service->watches, i), now_us))
        g_ptr_array_remove_index (service->watches, i);
      else
        i++;
    }
  return G_SOURCE_CONTINUE;
}

/* ---- Calls. */

static void
get (store_t *store, const char *key, store_done_t done, void *data)
{
  fake_service_t *service = get_service (store);
  const row_t *row = g_hash_table_lookup (service->rows, key);
  pending_reply_t *pending_reply;

  if (fail_if_unreachable (store, done, data))
    return;
  pending_reply = pending_reply_new (service, row != NULL ? STORE_DONE : STORE_MISSING, done, data);
  if (row != NULL)
    g_ptr_array_add (pending_reply->reply.items, item_from_row (row));
  send_reply (service, pending_reply);
}

static gint
compare_items (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(store_item_t *const *) a)->key, (*(store_item_t *const *) b)->key);
}

static void
range (store_t *store, const char *prefix, const char *after, store_done_t done, void *data)
{
  fake_service_t *service = get_service (store);
  pending_reply_t *pending_reply;
  GHashTableIter iter;
  gpointer value;

  if (fail_if_unreachable (store, done, data))
    return;
  pending_reply = pending_reply_new (service, STORE_DONE, done, data);
  g_hash_table_iter_init (&iter, service->rows);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const row_t *row = value;

      if (g_str_has_prefix (row->key, prefix) && (after == NULL || strcmp (row->key, after) > 0))
        g_ptr_array_add (pending_reply->reply.items, item_from_row (row));
    }
  g_ptr_array_sort (pending_reply->reply.items, compare_items);
  send_reply (service, pending_reply);
}

static void
watch (
    store_t *store, const char *prefix, gint64 after, guint wait_ms, store_done_t done, void *data)
{
  fake_service_t *service = get_service (store);
  watch_t *watch;

  if (fail_if_unreachable (store, done, data))
    return;
  watch = g_new0 (watch_t, 1);
  watch->prefix = g_strdup (prefix);
  watch->after = after;
  watch->expires_us = g_get_monotonic_time () + (gint64) wait_ms * 1000;
  watch->done = done;
  watch->data = data;
  g_ptr_array_add (service->watches, watch);
}

static bool
condition_holds (const fake_service_t *service, const store_condition_t *expect)
{
  return fake_service_revision (service, expect->key) == expect->revision;
}

static void
put (fake_service_t *service, const store_write_t *write)
{
  const row_t *previous = g_hash_table_lookup (service->rows, write->key);
  row_t *row = g_new0 (row_t, 1);

  row->key = g_strdup (write->key);
  row->value = g_bytes_new (write->value, write->value_bytes);
  row->revision = service->revision;
  row->created = previous != NULL ? previous->created : service->revision;
  row->lease = write->lease;
  g_hash_table_replace (service->rows, row->key, row);
  add_event (service, row->key, false);
}

static void
txn (store_t *store,
     const store_condition_t *expect,
     gsize expect_count,
     const store_write_t *writes,
     gsize write_count,
     store_done_t done,
     void *data)
{
  fake_service_t *service = get_service (store);
  pending_reply_t *pending_reply;
  bool is_refused = false;
  bool is_lease_unknown = false;

  if (fail_if_unreachable (store, done, data))
    return;
  service->transaction_count++;
  service->open_transaction_count++;
  service->max_open_transactions
      = MAX (service->max_open_transactions, service->open_transaction_count);
  for (gsize i = 0; i < expect_count; i++)
    is_refused |= !condition_holds (service, &expect[i]);
  for (gsize i = 0; i < write_count; i++)
    is_lease_unknown
        |= writes[i].lease != 0 && g_hash_table_lookup (service->leases, &writes[i].lease) == NULL;
  if (is_lease_unknown && !is_refused)
    {
      pending_reply = pending_reply_new (service, STORE_MISSING, done, data);
      pending_reply->transaction_service = service;
      send_reply (service, pending_reply);
      return;
    }
  if (is_refused)
    {
      pending_reply = pending_reply_new (service, STORE_REFUSED, done, data);
      pending_reply->transaction_service = service;
      for (gsize i = 0; i < expect_count; i++)
        {
          const row_t *row = g_hash_table_lookup (service->rows, expect[i].key);

          if (row != NULL)
            g_ptr_array_add (pending_reply->reply.items, item_from_row (row));
        }
      send_reply (service, pending_reply);
      return;
    }
  service->revision++;
  for (gsize i = 0; i < write_count; i++)
    {
      if (writes[i].value != NULL)
        put (service, &writes[i]);
      else if (g_hash_table_remove (service->rows, writes[i].key))
        add_event (service, writes[i].key, true);
    }
  pending_reply = pending_reply_new (service, STORE_DONE, done, data);
  pending_reply->transaction_service = service;
  if (service->lose_every > 0 && service->transaction_count % service->lose_every == 0)
    pending_reply->reply.status = STORE_LOST;
  send_reply (service, pending_reply);
}

static void
grant (store_t *store, gint64 ttl_ms, store_done_t done, void *data)
{
  fake_service_t *service = get_service (store);
  lease_t *lease;
  pending_reply_t *pending_reply;

  if (fail_if_unreachable (store, done, data))
    return;
  lease = g_new0 (lease_t, 1);
  lease->id = ++service->next_lease;
  lease->ttl_ms = ttl_ms;
  lease->expires_us = g_get_monotonic_time () + ttl_ms * 1000;
  g_hash_table_insert (service->leases, &lease->id, lease);
  pending_reply = pending_reply_new (service, STORE_DONE, done, data);
  pending_reply->reply.lease = lease->id;
  pending_reply->reply.ttl_ms = ttl_ms;
  send_reply (service, pending_reply);
}

static void
keep (store_t *store, gint64 id, store_done_t done, void *data)
{
  fake_service_t *service = get_service (store);
  lease_t *lease = g_hash_table_lookup (service->leases, &id);

  if (fail_if_unreachable (store, done, data))
    return;
  if (lease != NULL)
    lease->expires_us = g_get_monotonic_time () + lease->ttl_ms * 1000;
  send_reply (service,
              pending_reply_new (service, lease != NULL ? STORE_DONE : STORE_MISSING, done, data));
}

static void
lease_end (store_t *store, gint64 id, store_done_t done, void *data)
{
  fake_service_t *service = get_service (store);

  if (fail_if_unreachable (store, done, data))
    return;
  g_hash_table_remove (service->leases, &id);
  remove_lease_keys (service, id);
  send_reply (service, pending_reply_new (service, STORE_DONE, done, data));
}

static void
free_store (store_t *store)
{
  g_free (store);
}

static const store_calls_t calls = { get, range, watch, txn, grant, keep, lease_end, free_store };

store_t *
fake_store_new (fake_service_t *service)
{
  fake_store_t *store = g_new0 (fake_store_t, 1);

  store->base.calls = &calls;
  store->service = service;
  return &store->base;
}

void
fake_store_cut_off (store_t *store, bool is_cut_off)
{
  ((fake_store_t *) store)->is_cut_off = is_cut_off;
}

fake_service_t *
fake_service_new (void)
{
  fake_service_t *service = g_new0 (fake_service_t, 1);

  service->rows = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_row);
  service->leases = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  service->events = g_ptr_array_new_with_free_func (free_event);
  service->watches = g_ptr_array_new_with_free_func (free_watch);
  service->sweep_timer = g_timeout_add (SWEEP_INTERVAL_MS, sweep, service);
  return service;
}

void
fake_service_free (fake_service_t *service)
{
  g_source_remove (service->sweep_timer);
  g_hash_table_unref (service->rows);
  g_hash_table_unref (service->leases);
  g_ptr_array_unref (service->events);
  g_ptr_array_unref (service->watches);
  g_free (service);
}

void
fake_service_keep_watches (fake_service_t *service, bool keeps_watches)
{
  service->keeps_watches = keeps_watches;
}

void
fake_service_set_down (fake_service_t *service, bool is_down)
{
  gint64 now_us = g_get_monotonic_time ();
  GHashTableIter iter;
  gpointer value;

  service->is_down = is_down;
  if (is_down && service->keeps_watches)
    return;
  if (is_down)
    {
      for (guint i = 0; i < service->watches->len; i++)
        {
          const watch_t *watch = g_ptr_array_index (service->watches, i);

          (void) fail_if_down (service, watch->done, watch->data);
        }
      g_ptr_array_set_size (service->watches, 0);
      return;
    }
  g_hash_table_iter_init (&iter, service->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      lease_t *lease = value;

      lease->expires_us = now_us + lease->ttl_ms * 1000;
    }
}

void
fake_service_delete_key (fake_service_t *service, const char *key)
{
  remove_key (service, key);
}

void
fake_service_set_delay (fake_service_t *service, guint delay_ms)
{
  service->delay_ms = delay_ms;
}

void
fake_service_lose_answers (fake_service_t *service, guint every)
{
  service->lose_every = every;
}

guint
fake_service_max_open_transactions (const fake_service_t *service)
{
  return service->max_open_transactions;
}

guint
fake_service_transaction_count (const fake_service_t *service)
{
  return service->transaction_count;
}

gint64
fake_service_revision (const fake_service_t *service, const char *key)
{
  const row_t *row = g_hash_table_lookup (service->rows, key);

  return row != NULL ? row->revision : 0;
}

void
fake_service_expire_leases (fake_service_t *service)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, service->leases);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((lease_t *) value)->expires_us = 0;
  (void) sweep (service);
}
