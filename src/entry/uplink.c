#define LOG_MODULE "uplink"

#include "entry/uplink.h"

#include "base/clock.h"
#include "base/log.h"
#include "decide/share_refusals.h"
#include "decide/text_table.h"
#include "entry/agent.h"
#include "entry/uplink_calls.h"
#include "entry/uplink_jobs.h"
#include "peer/link.h"

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
  guint reconnect_delay_ms; /* next reconnect delay; doubles until a leader answers */
  uplink_calls_t *calls;
  uplink_jobs_t *jobs;
  share_refusals_t *refusals;
};

enum
{
  PING_INTERVAL_MS = 250,
  RECONNECT_MIN_MS = 40,
  RECONNECT_MAX_MS = 320
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
link_opened (link_t *link G_GNUC_UNUSED, void *data)
{
  uplink_t *uplink = data;

  uplink->is_open = true;
  LOG_INFO ("decider_reached", "address=%s", uplink->leader_address);
  send_hello (uplink);
  send_ping (uplink);
  uplink_jobs_send_unconfirmed (uplink->jobs);
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
    uplink_jobs_set_share (uplink->jobs, pong->job_share - 1);
  handle_refusals (uplink, pong);
  uplink->valid_until_us = pong->valid_us > 0 ? pong->sent_us + pong->valid_us : 0;
  agent_set_leadership (uplink->agent, pong->fence, uplink->valid_until_us);
  uplink->config.largest_cpu_reported (pong->cpu_most_milli, uplink->config.data);
  uplink->config.desired_reported (
      pong->desired_version, pong->desired_age_us >= 0 ? pong->sent_us - pong->desired_age_us : 0,
      uplink->config.data);
}

static void
handle_frame (link_t *link G_GNUC_UNUSED, const Mimosastair__Frame *frame, void *data)
{
  uplink_t *uplink = data;

  if (frame->pong != NULL)
    handle_pong (uplink, frame->pong);
  agent_handle_frame (uplink->agent, frame);
  uplink_jobs_handle_frame (uplink->jobs, frame);
  uplink_calls_handle_frame (uplink->calls, frame);
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
  return uplink_jobs_take_room (uplink->jobs, id, bytes);
}

void
uplink_release_room (uplink_t *uplink, const char *id)
{
  uplink_jobs_release_room (uplink->jobs, id);
}

gint64
uplink_refuse_ms (uplink_t *uplink, const char *workspace, const char *queue)
{
  return share_refusals_check (uplink->refusals, workspace, queue, clock_now_us ());
}

void
uplink_announce_job (uplink_t *uplink, const job_spec_t *spec)
{
  uplink_jobs_announce (uplink->jobs, spec);
}

void
uplink_announce_cancel (uplink_t *uplink, const char *id)
{
  uplink_jobs_announce_cancel (uplink->jobs, id);
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
  uplink_calls_ask (uplink->calls, uplink_is_ready (uplink), &message, timeout_ms, done, data);
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
  uplink_calls_ask (uplink->calls, uplink_is_ready (uplink), &message, timeout_ms, done, data);
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
  uplink_calls_relay (uplink->calls, uplink_is_ready (uplink), get, expect, expect_count, writes,
                      write_count, timeout_ms, done, data);
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
  uplink->calls = uplink_calls_new (send_frame, uplink);
  uplink->jobs = uplink_jobs_new (send_frame, uplink);
  uplink->refusals = share_refusals_new ();
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
  uplink_calls_free (uplink->calls);
  uplink_jobs_free (uplink->jobs);
  share_refusals_free (uplink->refusals);
  g_free (uplink->leader_address);
  g_free (uplink);
}
