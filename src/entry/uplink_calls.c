#include "entry/uplink_calls.h"

struct uplink_calls
{
  uplink_send_t send;
  void *send_data;
  guint64 next_number;       /* of a query or relayed call */
  GHashTable *queries;       /* number -> query_t */
  GHashTable *relayed_calls; /* number -> relayed_call_t */
};

typedef struct
{
  uplink_calls_t *calls;
  guint64 number;
  guint timer;
  uplink_query_done_t done;
  void *data;
} query_t;

typedef struct
{
  uplink_calls_t *calls;
  guint64 number;
  guint timer;
  bool is_sent;
  store_done_t done;
  void *data;
} relayed_call_t;

static void
finish_query (query_t *query, const uplink_query_result_t *answer)
{
  if (query->timer != 0)
    g_source_remove (query->timer);
  query->done (answer, query->data);
  g_free (query);
}

static void
handle_answer (uplink_calls_t *calls, const Mimosastair__Answer *message)
{
  guint64 number = message->number;
  query_t *query = g_hash_table_lookup (calls->queries, &number);
  uplink_query_result_t answer = {
    .is_answered = !message->unavailable,
    .is_known = message->known,
    .state = message->state,
    .workspace = message->workspace,
    .pending = message->pending,
  };

  if (query == NULL)
    return;
  g_hash_table_steal (calls->queries, &number);
  finish_query (query, &answer);
}

static void
finish_relayed_call (relayed_call_t *call, const store_reply_t *reply)
{
  if (call->timer != 0)
    g_source_remove (call->timer);
  g_hash_table_remove (call->calls->relayed_calls, &call->number);
  call->done (reply, call->data);
  g_free (call);
}

static void
handle_relay_reply (uplink_calls_t *calls, const Mimosastair__RelayReply *message)
{
  guint64 number = message->number;
  relayed_call_t *call = g_hash_table_lookup (calls->relayed_calls, &number);
  g_autoptr (GPtrArray) items = g_ptr_array_new_with_free_func ((GDestroyNotify) store_item_free);
  store_reply_t reply
      = { .status = message->status, .revision = message->revision, .items = items };

  if (call == NULL || message->status > STORE_LOST)
    return;
  for (gsize i = 0; i < message->n_items; i++)
    {
      const Mimosastair__RelayItem *row = message->items[i];
      store_item_t *item = g_new0 (store_item_t, 1);

      item->key = g_strdup (row->key);
      item->value = g_memdup2 (row->value.data, row->value.len);
      item->value_bytes = row->value.len;
      item->revision = row->revision;
      item->created = row->created;
      g_ptr_array_add (items, item);
    }
  finish_relayed_call (call, &reply);
}

static gboolean
relayed_call_timed_out (gpointer data)
{
  relayed_call_t *call = data;
  g_autoptr (GPtrArray) items = g_ptr_array_new ();
  store_reply_t reply
      = { .status = call->is_sent ? STORE_LOST : STORE_UNAVAILABLE, .items = items };

  call->timer = 0;
  finish_relayed_call (call, &reply);
  return G_SOURCE_REMOVE;
}

static gboolean
query_timed_out (gpointer data)
{
  query_t *query = data;
  uplink_query_result_t answer = { .is_answered = false };

  query->timer = 0;
  g_hash_table_steal (query->calls->queries, &query->number);
  finish_query (query, &answer);
  return G_SOURCE_REMOVE;
}

void
uplink_calls_ask (uplink_calls_t *calls,
                  bool is_ready,
                  Mimosastair__Ask *message,
                  guint timeout_ms,
                  uplink_query_done_t done,
                  void *data)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  query_t *query = g_new0 (query_t, 1);

  query->calls = calls;
  query->number = calls->next_number++;
  query->done = done;
  query->data = data;
  g_hash_table_insert (calls->queries, &query->number, query);
  message->number = query->number;
  frame.n_ask = 1;
  frame.ask = &message;
  if (!is_ready || !calls->send (&frame, calls->send_data))
    timeout_ms = 0;
  query->timer = g_timeout_add (timeout_ms, query_timed_out, query);
}

void
uplink_calls_relay (uplink_calls_t *calls,
                    bool is_ready,
                    const char *get,
                    const store_condition_t *expect,
                    gsize expect_count,
                    const store_write_t *writes,
                    gsize write_count,
                    guint timeout_ms,
                    store_done_t done,
                    void *data)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Relay message = MIMOSASTAIR__RELAY__INIT;
  Mimosastair__Relay *list = &message;
  Mimosastair__KeyRevision conditions[STORE_TXN_ROWS_MAX];
  Mimosastair__KeyRevision *condition_list[STORE_TXN_ROWS_MAX];
  Mimosastair__KeyWrite rows[STORE_TXN_ROWS_MAX];
  Mimosastair__KeyWrite *row_list[STORE_TXN_ROWS_MAX];
  relayed_call_t *call = g_new0 (relayed_call_t, 1);

  call->calls = calls;
  call->number = calls->next_number++;
  call->done = done;
  call->data = data;
  g_hash_table_insert (calls->relayed_calls, &call->number, call);
  message.number = call->number;
  if (get != NULL)
    message.get = (char *) get;
  /* A part of a transaction must not be executed as if it were the whole. */
  if (MAX (expect_count, write_count) > STORE_TXN_ROWS_MAX)
    {
      call->timer = g_timeout_add (0, relayed_call_timed_out, call);
      return;
    }
  for (gsize i = 0; i < expect_count; i++)
    {
      mimosastair__key_revision__init (&conditions[i]);
      conditions[i].key = (char *) expect[i].key;
      conditions[i].revision = expect[i].revision;
      condition_list[i] = &conditions[i];
      message.n_expect++;
    }
  for (gsize i = 0; i < write_count; i++)
    {
      mimosastair__key_write__init (&rows[i]);
      rows[i].key = (char *) writes[i].key;
      rows[i].value.data = (guint8 *) writes[i].value;
      rows[i].value.len = writes[i].value_bytes;
      rows[i].delete_ = writes[i].value == NULL;
      row_list[i] = &rows[i];
      message.n_write++;
    }
  message.expect = condition_list;
  message.write = row_list;
  frame.n_relay = 1;
  frame.relay = &list;
  call->is_sent = is_ready && calls->send (&frame, calls->send_data);
  call->timer = g_timeout_add (call->is_sent ? timeout_ms : 0, relayed_call_timed_out, call);
}

void
uplink_calls_handle_frame (uplink_calls_t *calls, const Mimosastair__Frame *frame)
{
  for (gsize i = 0; i < frame->n_answer; i++)
    handle_answer (calls, frame->answer[i]);
  for (gsize i = 0; i < frame->n_relay_reply; i++)
    handle_relay_reply (calls, frame->relay_reply[i]);
}

uplink_calls_t *
uplink_calls_new (uplink_send_t send, void *send_data)
{
  uplink_calls_t *calls = g_new0 (uplink_calls_t, 1);

  calls->send = send;
  calls->send_data = send_data;
  calls->next_number = 1;
  calls->queries = g_hash_table_new (g_int64_hash, g_int64_equal);
  calls->relayed_calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  return calls;
}

void
uplink_calls_free (uplink_calls_t *calls)
{
  g_hash_table_unref (calls->queries);
  g_hash_table_unref (calls->relayed_calls);
  g_free (calls);
}
