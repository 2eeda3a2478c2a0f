#define LOG_MODULE "uplink"

#include "entry/uplink.h"

#include "base/clock.h"
#include "base/log.h"
#include "decide/share_refusals.h"
#include "decide/text_table.h"
#include "decide/work_room.h"
#include "entry/agent.h"
#include "entry/codec.h"
#include "peer/link.h"

#include <string.h>

struct uplink
{
  uplink_config_t config;
  agent_t *agent;
  char *leader_address; /* NULL: there is no leader */
  link_t *link;
  bool is_open;
  bool is_leaving;
  bool is_ready;               /* the leader has loaded its state and is not resigning */
  bool can_leader_reach_store; /* the store answers the leader */
  gint64 valid_until_us;       /* expiry of the leader's lease, on this VM's clock */
  guint ping_timer;
  guint connect_timer;
  guint reconnect_delay_ms;        /* next reconnect delay; doubles until a leader answers */
  guint64 next_number;             /* of a query or relayed call */
  GHashTable *queries;             /* number -> query_t */
  GHashTable *relayed_calls;       /* number -> relayed_call_t */
  GHashTable *unconfirmed_jobs;    /* job id -> serialized job */
  GHashTable *unconfirmed_cancels; /* job ids */
  GHashTable *rooms;               /* job id -> bytes (gint64) that are taken from `share` */
  work_share_t share;
  share_refusals_t *refusals;
};

typedef struct
{
  uplink_t *uplink;
  guint64 number;
  guint timer;
  uplink_query_done_t done;
  void *data;
} query_t;

typedef struct
{
  uplink_t *uplink;
  guint64 number;
  guint timer;
  bool is_sent;
  store_done_t done;
  void *data;
} relayed_call_t;

enum
{
  PING_INTERVAL_MS = 250,
  RECONNECT_MIN_MS = 40,
  RECONNECT_MAX_MS = 320,
  /* Limit on unconfirmed jobs, and on unconfirmed cancels, that are kept to be sent again; the
   * leader finds the others in the store. */
  UNCONFIRMED_MAX = 5000
};

/* A leader that has sent nothing for this long is considered lost. */
static const gint64 leader_timeout_us = 1100 * 1000;

static void connect_now (uplink_t *uplink);

static bool
send_frame (const Mimosastair__Frame *frame, void *data)
{
  uplink_t *uplink = data;

  return uplink->is_open && link_send (uplink->link, frame);
}

static gboolean
connect_timer_fired (gpointer data)
{
  uplink_t *uplink = data;

  uplink->connect_timer = 0;
  connect_now (uplink);
  return G_SOURCE_REMOVE;
}

static void
schedule_connect (uplink_t *uplink, guint delay_ms)
{
  if (uplink->connect_timer == 0 && uplink->leader_address != NULL)
    uplink->connect_timer = g_timeout_add (delay_ms, connect_timer_fired, uplink);
}

static void
close_link (uplink_t *uplink)
{
  link_free (uplink->link);
  uplink->link = NULL;
  uplink->is_open = false;
  uplink->is_ready = false;
  uplink->valid_until_us = 0;
  share_refusals_clear (uplink->refusals);
  agent_reset (uplink->agent);
}

static void
link_broken (link_t *link G_GNUC_UNUSED, const char *reason, void *data)
{
  uplink_t *uplink = data;

  if (uplink->is_open)
    LOG_WARN ("decider_lost", "address=%s reason=%s", uplink->leader_address, reason);
  close_link (uplink);
  schedule_connect (uplink, uplink->reconnect_delay_ms);
  uplink->reconnect_delay_ms = MIN (uplink->reconnect_delay_ms * 2, RECONNECT_MAX_MS);
}

static void
send_ping (uplink_t *uplink)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Ping ping = MIMOSASTAIR__PING__INIT;

  ping.sent_us = clock_now_us ();
  ping.store_ok = store_is_healthy (uplink->config.store, ping.sent_us);
  ping.store_answered_age_us = store_answered_age_us (uplink->config.store, ping.sent_us);
  ping.desired_version = uplink->config.desired_version (uplink->config.data);
  frame.ping = &ping;
  (void) send_frame (&frame, uplink);
}

static void
send_hello (uplink_t *uplink)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Hello hello = MIMOSASTAIR__HELLO__INIT;

  hello.vm = (char *) uplink->config.vm;
  hello.zone = (char *) uplink->config.zone;
  hello.cpu_milli = uplink->config.cpu_milli;
  hello.leaving = uplink->is_leaving;
  hello.job_bytes_max = uplink->config.job_bytes_max;
  hello.keeps_texts = TEXT_TABLE_MAX_TEXTS;
  hello.life = uplink->config.life;
  frame.hello = &hello;
  (void) send_frame (&frame, uplink);
}

static void
send_job (uplink_t *uplink, GBytes *packed)
{
  gsize size;
  const guint8 *bytes = g_bytes_get_data (packed, &size);
  Mimosastair__Job *job = mimosastair__job__unpack (NULL, size, bytes);
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;

  if (job == NULL)
    return;
  frame.n_job = 1;
  frame.job = &job;
  (void) send_frame (&frame, uplink);
  mimosastair__job__free_unpacked (job, NULL);
}

static void
send_cancel (uplink_t *uplink, const char *id)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  char *list = (char *) id;

  frame.n_cancel = 1;
  frame.cancel = &list;
  (void) send_frame (&frame, uplink);
}

/* Sends the jobs and cancels that no leader has confirmed, on each new connection. */
static void
send_unconfirmed (uplink_t *uplink)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, uplink->unconfirmed_jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    send_job (uplink, value);
  g_hash_table_iter_init (&iter, uplink->unconfirmed_cancels);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    send_cancel (uplink, key);
}

static void
link_opened (link_t *link G_GNUC_UNUSED, void *data)
{
  uplink_t *uplink = data;

  uplink->is_open = true;
  LOG_INFO ("decider_reached", "address=%s", uplink->leader_address);
  send_hello (uplink);
  send_ping (uplink);
  send_unconfirmed (uplink);
}

/* Returns the bytes that the job has taken; none from now on. */
static gint64
steal_room (uplink_t *uplink, const char *id)
{
  const gint64 *room = g_hash_table_lookup (uplink->rooms, id);
  gint64 bytes = room != NULL ? *room : 0;

  g_hash_table_remove (uplink->rooms, id);
  return bytes;
}

static void
handle_refusals (uplink_t *uplink, const Mimosastair__Pong *pong)
{
  guint count = (guint) pong->n_refusals;
  g_autofree share_refusal_t *rows = g_new0 (share_refusal_t, count);

  for (guint i = 0; i < count; i++)
    rows[i] = (share_refusal_t){ .workspace = pong->refusals[i]->workspace,
                                 .queue = pong->refusals[i]->queue,
                                 .stay_ms = pong->refusals[i]->stay_ms,
                                 .rate_milli = pong->refusals[i]->rate_milli };
  share_refusals_set (uplink->refusals, rows, pong->ready ? count : 0, clock_now_us ());
}

static void
handle_pong (uplink_t *uplink, const Mimosastair__Pong *pong)
{
  uplink->is_ready = pong->ready;
  uplink->reconnect_delay_ms = RECONNECT_MIN_MS;
  uplink->can_leader_reach_store = pong->store_ok;
  if (pong->job_share > 0)
    work_share_set (&uplink->share, pong->job_share - 1);
  handle_refusals (uplink, pong);
  uplink->valid_until_us = pong->valid_us > 0 ? pong->sent_us + pong->valid_us : 0;
  agent_set_leadership (uplink->agent, pong->fence, uplink->valid_until_us);
  uplink->config.largest_cpu_reported (pong->cpu_most_milli, uplink->config.data);
  uplink->config.desired_reported (
      pong->desired_version, pong->desired_age_us >= 0 ? pong->sent_us - pong->desired_age_us : 0,
      uplink->config.data);
}

static void
finish_query (query_t *query, const uplink_query_result_t *answer)
{
  if (query->timer != 0)
    g_source_remove (query->timer);
  query->done (answer, query->data);
  g_free (query);
}

static void
handle_answer (uplink_t *uplink, const Mimosastair__Answer *message)
{
  guint64 number = message->number;
  query_t *query = g_hash_table_lookup (uplink->queries, &number);
  uplink_query_result_t answer = {
    .is_answered = !message->unavailable,
    .is_known = message->known,
    .state = message->state,
    .workspace = message->workspace,
    .pending = message->pending,
  };

  if (query == NULL)
    return;
  g_hash_table_steal (uplink->queries, &number);
  finish_query (query, &answer);
}

static void
finish_relayed_call (relayed_call_t *call, const store_reply_t *reply)
{
  if (call->timer != 0)
    g_source_remove (call->timer);
  g_hash_table_remove (call->uplink->relayed_calls, &call->number);
  call->done (reply, call->data);
  g_free (call);
}

static void
handle_relay_reply (uplink_t *uplink, const Mimosastair__RelayReply *message)
{
  guint64 number = message->number;
  relayed_call_t *call = g_hash_table_lookup (uplink->relayed_calls, &number);
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

static void
handle_frame (link_t *link G_GNUC_UNUSED, const Mimosastair__Frame *frame, void *data)
{
  uplink_t *uplink = data;

  if (frame->pong != NULL)
    handle_pong (uplink, frame->pong);
  agent_handle_frame (uplink->agent, frame);
  for (gsize i = 0; i < frame->n_job_known; i++)
    {
      g_hash_table_remove (uplink->unconfirmed_jobs, frame->job_known[i]->id);
      work_share_confirm (&uplink->share, steal_room (uplink, frame->job_known[i]->id));
    }
  for (gsize i = 0; i < frame->n_cancel; i++)
    g_hash_table_remove (uplink->unconfirmed_cancels, frame->cancel[i]);
  for (gsize i = 0; i < frame->n_answer; i++)
    handle_answer (uplink, frame->answer[i]);
  for (gsize i = 0; i < frame->n_relay_reply; i++)
    handle_relay_reply (uplink, frame->relay_reply[i]);
  if (frame->released != 0)
    {
      uplink->is_ready = false;
      uplink->config.leader_resigned (frame->released, uplink->config.data);
    }
}

static const link_events_t link_events = { link_opened, handle_frame, link_broken };

static void
connect_now (uplink_t *uplink)
{
  if (uplink->leader_address == NULL || uplink->link != NULL)
    return;
  uplink->link = link_connect (uplink->leader_address, &link_events, uplink);
}

static gboolean
ping_timer_fired (gpointer data)
{
  uplink_t *uplink = data;
  gint64 now_us = clock_now_us ();

  if (uplink->is_open && now_us - link_last_received_us (uplink->link) > leader_timeout_us)
    link_broken (uplink->link, "silent", uplink);
  else if (uplink->is_open)
    send_ping (uplink);
  return G_SOURCE_CONTINUE;
}

void
uplink_set_leader (uplink_t *uplink, const char *address)
{
  if (g_strcmp0 (uplink->leader_address, address) == 0)
    return;
  g_free (uplink->leader_address);
  uplink->leader_address = g_strdup (address);
  uplink->reconnect_delay_ms = RECONNECT_MIN_MS;
  close_link (uplink);
  if (address != NULL && uplink->connect_timer == 0)
    connect_now (uplink);
}

void
uplink_set_leaving (uplink_t *uplink)
{
  uplink->is_leaving = true;
  send_hello (uplink);
}

bool
uplink_take_room (uplink_t *uplink, const char *id, gint64 bytes)
{
  uplink_release_room (uplink, id);
  if (!work_share_take (&uplink->share, bytes))
    return false;
  g_hash_table_insert (uplink->rooms, g_strdup (id), g_memdup2 (&bytes, sizeof bytes));
  return true;
}

void
uplink_release_room (uplink_t *uplink, const char *id)
{
  work_share_give_back (&uplink->share, steal_room (uplink, id));
}

gint64
uplink_refuse_ms (uplink_t *uplink, const char *workspace, const char *queue)
{
  return share_refusals_check (uplink->refusals, workspace, queue, clock_now_us ());
}

void
uplink_announce_job (uplink_t *uplink, const job_spec_t *spec)
{
  gsize bytes;
  guint8 *packed = codec_pack_job (spec, &bytes);
  GBytes *job = g_bytes_new_take (packed, bytes);

  send_job (uplink, job);
  if (g_hash_table_size (uplink->unconfirmed_jobs) < UNCONFIRMED_MAX)
    g_hash_table_insert (uplink->unconfirmed_jobs, g_strdup (spec->id), job);
  else
    {
      uplink_release_room (uplink, spec->id);
      g_bytes_unref (job);
    }
}

void
uplink_announce_cancel (uplink_t *uplink, const char *id)
{
  send_cancel (uplink, id);
  if (g_hash_table_size (uplink->unconfirmed_cancels) < UNCONFIRMED_MAX)
    (void) g_hash_table_add (uplink->unconfirmed_cancels, g_strdup (id));
}

static gboolean
query_timed_out (gpointer data)
{
  query_t *query = data;
  uplink_query_result_t answer = { .is_answered = false };

  query->timer = 0;
  g_hash_table_steal (query->uplink->queries, &query->number);
  finish_query (query, &answer);
  return G_SOURCE_REMOVE;
}

static void
send_query (uplink_t *uplink,
            Mimosastair__Ask *message,
            guint timeout_ms,
            uplink_query_done_t done,
            void *data)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  query_t *query = g_new0 (query_t, 1);

  query->uplink = uplink;
  query->number = uplink->next_number++;
  query->done = done;
  query->data = data;
  g_hash_table_insert (uplink->queries, &query->number, query);
  message->number = query->number;
  frame.n_ask = 1;
  frame.ask = &message;
  /* Without a leader, the query times out at once. */
  if (!uplink_is_ready (uplink) || !send_frame (&frame, uplink))
    timeout_ms = 0;
  query->timer = g_timeout_add (timeout_ms, query_timed_out, query);
}

void
uplink_query (uplink_t *uplink,
              const char *id,
              const char *queue,
              guint timeout_ms,
              uplink_query_done_t done,
              void *data)
{
  Mimosastair__Ask message = MIMOSASTAIR__ASK__INIT;

  if (id != NULL)
    message.id = (char *) id;
  if (queue != NULL)
    message.queue = (char *) queue;
  send_query (uplink, &message, timeout_ms, done, data);
}

void
uplink_reserve_room (uplink_t *uplink,
                     const char *id,
                     gint64 bytes,
                     guint timeout_ms,
                     uplink_query_done_t done,
                     void *data)
{
  Mimosastair__Ask message = MIMOSASTAIR__ASK__INIT;

  message.id = (char *) id;
  message.reserve = bytes;
  send_query (uplink, &message, timeout_ms, done, data);
}

void
uplink_relay (uplink_t *uplink,
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

  call->uplink = uplink;
  call->number = uplink->next_number++;
  call->done = done;
  call->data = data;
  g_hash_table_insert (uplink->relayed_calls, &call->number, call);
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
  call->is_sent = uplink_is_ready (uplink) && send_frame (&frame, uplink);
  call->timer = g_timeout_add (call->is_sent ? timeout_ms : 0, relayed_call_timed_out, call);
}

bool
uplink_is_ready (const uplink_t *uplink)
{
  return uplink->is_open && uplink->is_ready;
}

bool
uplink_can_relay (const uplink_t *uplink)
{
  return uplink_is_ready (uplink) && uplink->can_leader_reach_store;
}

guint
uplink_executor_count (const uplink_t *uplink)
{
  return agent_executor_count (uplink->agent);
}

uplink_t *
uplink_new (const uplink_config_t *config)
{
  uplink_t *uplink = g_new0 (uplink_t, 1);

  uplink->config = *config;
  uplink->agent = agent_new (config->executor_lease_ms, config->advice_address, send_frame, uplink);
  uplink->queries = g_hash_table_new (g_int64_hash, g_int64_equal);
  uplink->relayed_calls = g_hash_table_new (g_int64_hash, g_int64_equal);
  uplink->unconfirmed_jobs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_bytes_unref);
  uplink->unconfirmed_cancels = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  uplink->rooms = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  uplink->refusals = share_refusals_new ();
  uplink->next_number = 1;
  uplink->ping_timer = g_timeout_add (PING_INTERVAL_MS, ping_timer_fired, uplink);
  return uplink;
}

void
uplink_free (uplink_t *uplink)
{
  if (uplink == NULL)
    return;
  g_source_remove (uplink->ping_timer);
  if (uplink->connect_timer != 0)
    g_source_remove (uplink->connect_timer);
  link_free (uplink->link);
  agent_free (uplink->agent);
  g_hash_table_unref (uplink->queries);
  g_hash_table_unref (uplink->relayed_calls);
  g_hash_table_unref (uplink->unconfirmed_jobs);
  g_hash_table_unref (uplink->unconfirmed_cancels);
  g_hash_table_unref (uplink->rooms);
  share_refusals_free (uplink->refusals);
  g_free (uplink->leader_address);
  g_free (uplink);
}
