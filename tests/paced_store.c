#include "paced_store.h"

#include "platform/names.h"
#include "standins/standin.h"

#include <stdbool.h>
#include <string.h>

typedef struct
{
  char *key;
  guint value_bytes;
} row_t;

/* An answer on its way. */
typedef struct
{
  SoupServerMessage *message;
  char *text;
  gsize size;
  gsize sent;
  gsize cut_at; /* the link goes silent after this many bytes */
  gint64 start_us;
} transfer_t;

struct paced_store
{
  SoupServer *server;
  char *address;
  guint bytes_per_s;
  GPtrArray *rows;      /* row_t, by key */
  GPtrArray *transfers; /* transfer_t */
  guint delay_ms;
  paced_fault_t fault;
  guint fault_every;
  guint page_count;
  guint64 sent_bytes;
  gint64 last_tick_us;
  guint timer;
};

enum
{
  TICK_MS = 10,
  CATCH_UP_MS
  = 500, /* of the link's time that one tick makes up for when the process was held up */
  PAGE_MAX_ITEMS = 500,
  PAGE_MAX_BYTES = 1024 * 1024,
  REVISION = 7
};

static void
row_free (gpointer data)
{
  row_t *row = data;

  g_free (row->key);
  g_free (row);
}

static void
transfer_free (gpointer data)
{
  transfer_t *transfer = data;

  g_object_unref (transfer->message);
  g_free (transfer->text);
  g_free (transfer);
}

static void
message_finished (SoupServerMessage *message, gpointer data)
{
  paced_store_t *store = data;

  for (guint i = 0; i < store->transfers->len; i++)
    {
      if (((transfer_t *) g_ptr_array_index (store->transfers, i))->message != message)
        continue;
      g_ptr_array_remove_index (store->transfers, i);
      return;
    }
}

static void
answer (paced_store_t *store, SoupServerMessage *message, guint status, char *text, bool is_cut)
{
  transfer_t *transfer = g_new0 (transfer_t, 1);

  transfer->message = g_object_ref (message);
  transfer->text = text;
  transfer->size = strlen (text);
  transfer->cut_at = is_cut ? transfer->size / 2 : transfer->size;
  transfer->start_us = g_get_monotonic_time () + (gint64) store->delay_ms * 1000;
  soup_server_message_set_status (message, status, NULL);
  soup_message_headers_set_encoding (soup_server_message_get_response_headers (message),
                                     SOUP_ENCODING_CHUNKED);
  g_signal_connect (message, "finished", G_CALLBACK (message_finished), store);
  soup_server_message_pause (message);
  g_ptr_array_add (store->transfers, transfer);
}

/* Sends the next part of the answer, at most `bytes` of it. */
static void
advance (paced_store_t *store, transfer_t *transfer, gsize bytes)
{
  SoupMessageBody *body = soup_server_message_get_response_body (transfer->message);
  gsize part = MIN (bytes, transfer->cut_at - transfer->sent);

  if (part == 0)
    return;
  soup_message_body_append (body, SOUP_MEMORY_COPY, transfer->text + transfer->sent, part);
  transfer->sent += part;
  store->sent_bytes += part;
  if (transfer->sent == transfer->size)
    soup_message_body_complete (body);
  soup_server_message_unpause (transfer->message);
}

static gboolean
tick (gpointer data)
{
  paced_store_t *store = data;
  gint64 now_us = g_get_monotonic_time ();
  gint64 elapsed_us = MIN (now_us - store->last_tick_us, (gint64) CATCH_UP_MS * 1000);
  gsize bytes = (gsize) (store->bytes_per_s * elapsed_us / G_USEC_PER_SEC);
  guint active = 0;

  store->last_tick_us = now_us;

  for (guint i = 0; i < store->transfers->len; i++)
    {
      const transfer_t *transfer = g_ptr_array_index (store->transfers, i);

      active += transfer->start_us <= now_us && transfer->sent < transfer->cut_at;
    }
  for (guint i = 0; i < store->transfers->len; i++)
    {
      transfer_t *transfer = g_ptr_array_index (store->transfers, i);

      if (transfer->start_us <= now_us)
        advance (store, transfer, bytes / MAX (active, 1));
    }
  return G_SOURCE_CONTINUE;
}

static char *
build_page (const paced_store_t *store, const char *prefix, const char *after)
{
  GString *text = g_string_new ("{\"" WIRE_STORE_REVISION "\":7,\"" WIRE_ITEMS "\":[");
  guint count = 0;
  bool has_more = false;

  for (guint i = 0; i < store->rows->len; i++)
    {
      const row_t *row = g_ptr_array_index (store->rows, i);
      g_autofree guint8 *value = NULL;
      g_autofree char *encoded = NULL;

      if (!g_str_has_prefix (row->key, prefix) || (after != NULL && strcmp (row->key, after) <= 0))
        continue;
      if (count == PAGE_MAX_ITEMS || text->len > PAGE_MAX_BYTES)
        {
          has_more = true;
          break;
        }
      value = g_malloc0 (row->value_bytes);
      encoded = g_base64_encode (value, row->value_bytes);
      g_string_append_printf (text,
                              "%s{\"" WIRE_KEY "\":\"%s\",\"" WIRE_VALUE
                              "\":\"%s\",\"" WIRE_REVISION "\":5,\"" WIRE_CREATED
                              "\":5,\"" WIRE_LEASE "\":0}",
                              count > 0 ? "," : "", row->key, encoded);
      count++;
    }
  g_string_append_printf (text, "],\"" WIRE_HAS_MORE "\":%s}", has_more ? "true" : "false");
  return g_string_free (text, FALSE);
}

static void
handle_range (paced_store_t *store, SoupServerMessage *message, GHashTable *query)
{
  const char *prefix = query != NULL ? g_hash_table_lookup (query, WIRE_PREFIX) : NULL;
  const char *after = query != NULL ? g_hash_table_lookup (query, WIRE_AFTER) : NULL;
  bool is_faulty = store->fault_every > 0 && ++store->page_count % store->fault_every == 0;

  if (is_faulty && store->fault == PACED_REFUSED)
    answer (store, message, 503, g_strdup ("{}"), false);
  else
    answer (store, message, 200, build_page (store, prefix != NULL ? prefix : "", after),
            is_faulty);
}

static void
handle (SoupServer *server G_GNUC_UNUSED,
        SoupServerMessage *message,
        const char *path,
        GHashTable *query,
        gpointer data)
{
  paced_store_t *store = data;

  if (strcmp (path, WIRE_KV_RANGE) == 0)
    handle_range (store, message, query);
  else if (strcmp (path, WIRE_KV_WATCH) == 0)
    answer (store, message, 200,
            g_strdup_printf ("{\"" WIRE_STORE_REVISION "\":%d,\"" WIRE_EVENTS "\":[]}", REVISION),
            false);
  else
    answer (store, message, 200, g_strdup ("{\"" WIRE_TTL_MS "\":2000}"), false);
}

paced_store_t *
paced_store_new (guint bytes_per_s)
{
  paced_store_t *store = g_new0 (paced_store_t, 1);

  store->bytes_per_s = bytes_per_s;
  store->rows = g_ptr_array_new_with_free_func (row_free);
  store->transfers = g_ptr_array_new_with_free_func (transfer_free);
  store->server = standin_listen (0, handle, store);
  store->address = g_strdup_printf ("127.0.0.1:%u", standin_port (store->server));
  store->last_tick_us = g_get_monotonic_time ();
  store->timer = g_timeout_add (TICK_MS, tick, store);
  return store;
}

void
paced_store_free (paced_store_t *store)
{
  g_source_remove (store->timer);
  soup_server_disconnect (store->server);
  g_object_unref (store->server);
  g_ptr_array_unref (store->transfers);
  g_ptr_array_unref (store->rows);
  g_free (store->address);
  g_free (store);
}

const char *
paced_store_address (const paced_store_t *store)
{
  return store->address;
}

void
paced_store_fill (paced_store_t *store, const char *prefix, guint count, guint value_bytes)
{
  for (guint i = 0; i < count; i++)
    {
      row_t *row = g_new0 (row_t, 1);

      row->key = g_strdup_printf ("%s%016u", prefix, i);
      row->value_bytes = value_bytes;
      g_ptr_array_add (store->rows, row);
    }
}

void
paced_store_set_delay (paced_store_t *store, guint delay_ms)
{
  store->delay_ms = delay_ms;
}

void
paced_store_set_fault (paced_store_t *store, paced_fault_t fault, guint every)
{
  store->fault = fault;
  store->fault_every = every;
}

guint64
paced_store_sent_bytes (const paced_store_t *store)
{
  return store->sent_bytes;
}
