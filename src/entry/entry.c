#define LOG_MODULE "entry"

#include "entry/entry.h"

#include "backend/connection_share.h"
#include "base/clock.h"
#include "base/descriptor_budget.h"
#include "base/http_call.h"
#include "base/http_server.h"
#include "base/log.h"
#include "base/loop.h"
#include "base/memory_budget.h"
#include "base/metrics.h"
#include "base/process.h"
#include "base/program.h"
#include "base/signals.h"
#include "entry/desired_follower.h"
#include "entry/election.h"
#include "entry/intake.h"
#include "entry/leader.h"
#include "entry/relay.h"
#include "entry/uplink.h"
#include "peer/listener.h"
#include "peer/sent_bytes.h"
#include "platform/job_api.h"
#include "platform/store_kv.h"

#include <glib-unix.h>

struct entry
{
  entry_options_t options;
  gint64 life; /* start of this process, Unix time in microseconds; tells it from earlier ones */
  GMainLoop *loop;
  metrics_t *metrics;
  store_t *store;
  store_t *request_store; /* for customers' requests: falls back to calls through the leader */
  uplink_t *uplink;
  intake_t *intake;
  job_api_t *api;
  election_t *election;
  leader_t *leader;        /* NULL: not the leader; remains until leader_free_timer fires */
  guint leader_free_timer; /* frees a former leader outside its callbacks; 0: none */
  listener_t *listener;    /* for other entry VMs */
  http_server_t *metrics_server;
  desired_follower_t *desired;
  bool has_desired;
  guint listen_timer; /* while a port is in use; 0: none */
  bool is_listening;  /* on all ports */
  error_info_t start_error;
  bool is_stopping;
  gint64 drain_until_us;
  guint drain_timer;
};

enum
{
  DRAIN_POLL_MS = 50,
  LISTEN_POLL_MS = 50,
  LEADER_CLOSE_TIMEOUT_MS = 400, /* limit for storing pending records before resigning */
  LEADER_PACE_US = 2000,         /* small beside the round trips of the orders */
  FULL_ROUND_INTERVAL_MS = 25,   /* bounds the leader's work for what waits long anyway */
  RESIGN_NOTICE_MS = 50          /* time to send the resignation to the other VMs */
};

/* ---- Desired state. */

static void join_election (entry_t *entry);

/* A VM that does not listen yet cannot lead, and its former process may still be a member. */
static void
join_election_if_due (entry_t *entry)
{
  if (entry->election == NULL && entry->has_desired && entry->is_listening && !entry->is_stopping)
    join_election (entry);
}

static void
desired_state_changed (const desired_state_t *desired, void *data)
{
  entry_t *entry = data;

  job_api_set_desired (entry->api, desired);
  if (entry->leader != NULL)
    leader_apply_desired (entry->leader);
  entry->has_desired = true;
  join_election_if_due (entry);
}

static gint64
get_desired_version (void *data)
{
  const entry_t *entry = data;

  return desired_follower_version (entry->desired);
}

static gint64
get_desired_age_us (void *data)
{
  const entry_t *entry = data;

  return desired_follower_age_us (entry->desired, clock_now_us ());
}

static gint64
get_unconfirmed_us (void *data)
{
  const entry_t *entry = data;

  return desired_follower_unconfirmed_us (entry->desired, clock_now_us ());
}

static gint64
desired_age_ms (entry_t *entry)
{
  gint64 age_us = get_desired_age_us (entry);

  return age_us >= 0 ? age_us / 1000 : -1;
}

static void
leader_desired_reported (gint64 version, gint64 confirmed_us, void *data)
{
  entry_t *entry = data;

  desired_follower_peer_reported (entry->desired, version, confirmed_us);
}

/* ---- Leader election. */

static gboolean
free_leader (gpointer data)
{
  entry_t *entry = data;

  entry->leader_free_timer = 0;
  leader_free (entry->leader);
  entry->leader = NULL;
  loop_set_pace_us (0);
  return G_SOURCE_REMOVE;
}

static void
schedule_leader_free (entry_t *entry)
{
  if (entry->leader != NULL && entry->leader_free_timer == 0)
    entry->leader_free_timer = g_timeout_add (RESIGN_NOTICE_MS, free_leader, entry);
}

static void
verify_leadership (void *data)
{
  entry_t *entry = data;

  election_verify (entry->election);
}

/* Hands the leadership to another VM. */
static void
step_down (void *data)
{
  entry_t *entry = data;

  election_step_down (entry->election);
}

static void
became_leader (gint64 fence, guint epoch, void *data)
{
  entry_t *entry = data;
  leader_config_t config = {
    .vm = entry->options.vm,
    .cpu_milli = (guint) entry->options.cpu_milli,
    .job_bytes_max = memory_jobs_bytes (),
    .fence = fence,
    .epoch = epoch,
    .limits
    = { .executor_lease_us = MIN (entry->options.hold_ms, entry->options.hold_max_ms) * 1000,
        .executor_lease_max_us = entry->options.hold_max_ms * 1000,
        .leader_lease_us = entry->options.claim_ttl_ms * 1000,
        .remote_factor = (double) entry->options.remote_factor_milli / 1000.0,
        .gang_wait_us = entry->options.gang_wait_ms * 1000,
        .full_round_interval_us = FULL_ROUND_INTERVAL_MS * 1000,
        .learn_run_times = entry->options.learn_run_times,
        .learn_speeds = entry->options.learn_speeds },
  };

  if (entry->leader_free_timer != 0)
    {
      g_source_remove (entry->leader_free_timer);
      (void) free_leader (entry);
    }
  loop_set_pace_us (LEADER_PACE_US);
  entry->leader = leader_new (entry->store, entry->election, &config, entry->desired,
                              entry->metrics, verify_leadership, step_down, entry);
}

static void
leadership_lost (const char *reason G_GNUC_UNUSED, void *data)
{
  schedule_leader_free (data);
}

static void
leader_changed (const char *vm G_GNUC_UNUSED, const char *address, void *data)
{
  entry_t *entry = data;

  uplink_set_leader (entry->uplink, address);
}

static void
leader_resigned (gint64 revision, void *data)
{
  entry_t *entry = data;

  if (entry->election != NULL)
    election_leader_resigned (entry->election, revision);
}

static void
largest_cpu_reported (guint cpu_milli, void *data)
{
  entry_t *entry = data;

  if (entry->election != NULL)
    election_set_largest_cpu (entry->election, cpu_milli);
}

static const election_events_t election_events = { became_leader, leadership_lost, leader_changed };

static void
join_election (entry_t *entry)
{
  election_config_t config = {
    .domain = entry->options.domain,
    .vm = entry->options.vm,
    .address = entry->options.peer_listen,
    .incarnation = entry->life,
    .ttl_ms = (guint) entry->options.claim_ttl_ms,
    .cpu_milli = (guint) entry->options.cpu_milli,
  };

  entry->election = election_new (entry->store, &config, &election_events, entry);
}

static void
accept_peer (GSocketConnection *connection, void *data)
{
  entry_t *entry = data;

  if (entry->leader != NULL && entry->leader_free_timer == 0)
    leader_accept (entry->leader, connection);
  else
    (void) g_io_stream_close (G_IO_STREAM (connection), NULL, NULL);
}

/* ---- Metrics. */

static void
handle_metrics (http_request_t *request, void *data)
{
  entry_t *entry = data;
  GString *out = g_string_new (NULL);

  metrics_append_samples (entry->metrics, out);
  g_string_append_printf (out, "mimosastair_open_requests %u\n", intake_open_count (entry->intake));
  g_string_append_printf (out, "mimosastair_executors_held %u\n",
                          uplink_executor_count (entry->uplink));
  g_string_append_printf (out, "mimosastair_decider_known %d\n",
                          (int) uplink_is_ready (entry->uplink));
  log_append_metrics (out);
  loop_append_metrics (out);
  g_string_append_printf (out, "mimosastair_desired_version %" G_GINT64_FORMAT "\n",
                          desired_follower_version (entry->desired));
  g_string_append_printf (out, "mimosastair_desired_age_ms %" G_GINT64_FORMAT "\n",
                          desired_age_ms (entry));
  process_append_metrics (out);
  listener_append_metrics (entry->listener, out);
  job_api_append_metrics (entry->api, out);
  http_server_append_metrics (entry->metrics_server, out);
  memory_append_metrics (out);
  http_call_append_metrics (out);
  connection_share_append_metrics (out);
  sent_bytes_append_metrics (out);
  if (entry->leader != NULL)
    leader_append_metrics (entry->leader, out);
  http_respond_text (request, 200, "text/plain; version=0.0.4", g_string_free (out, FALSE));
}

/* ---- Stopping. */

static gboolean
drain (gpointer data)
{
  entry_t *entry = data;
  gint64 now_us = clock_now_us ();
  gint64 delay_end_us = entry->drain_until_us - entry->options.drain_timeout_ms * 1000;

  if (now_us < delay_end_us)
    return G_SOURCE_CONTINUE;
  if (job_api_drain (entry->api) > 0 && now_us < entry->drain_until_us)
    return G_SOURCE_CONTINUE;
  entry->drain_timer = 0;
  g_main_loop_quit (entry->loop);
  return G_SOURCE_REMOVE;
}

static void
leadership_released (void *data)
{
  entry_t *entry = data;

  if (entry->leader == NULL)
    return;
  leader_announce_resignation (entry->leader);
  schedule_leader_free (entry);
}

static void
leader_closed (void *data)
{
  entry_t *entry = data;

  election_withdraw (entry->election, leadership_released, entry);
}

static gboolean
stop_requested (gpointer data)
{
  entry_t *entry = data;

  if (entry->is_stopping)
    return G_SOURCE_CONTINUE;
  entry->is_stopping = true;
  if (entry->listen_timer != 0)
    g_source_remove (entry->listen_timer);
  entry->listen_timer = 0;
  LOG_INFO ("stopping", "decider=%d open=%u", (int) (entry->leader != NULL),
            intake_open_count (entry->intake));
  entry->drain_until_us
      = clock_now_us () + (entry->options.drain_delay_ms + entry->options.drain_timeout_ms) * 1000;
  uplink_set_leaving (entry->uplink);
  if (entry->leader != NULL && entry->leader_free_timer == 0)
    leader_close (entry->leader, LEADER_CLOSE_TIMEOUT_MS, leader_closed, entry);
  else if (entry->election != NULL)
    election_withdraw (entry->election, leadership_released, entry);
  entry->drain_timer = g_timeout_add (DRAIN_POLL_MS, drain, entry);
  return G_SOURCE_CONTINUE;
}

static gboolean
reload_requested (gpointer data G_GNUC_UNUSED)
{
  /* Settings come from the command line and cannot change while the process runs. */
  LOG_INFO ("reload", "outcome=settings_unchanged");
  return G_SOURCE_CONTINUE;
}

/* ---- Startup and shutdown. */

/* Returns true while this VM listens on all ports and is not stopping, and has a path to store
 * jobs. A leader that the store does not answer either is none: in a zone that is cut off,
 * customers would be refused here although the VMs of other zones serve them. */
static bool
can_accept_jobs (void *data)
{
  const entry_t *entry = data;

  return entry->is_listening && !entry->is_stopping && relay_has_path (entry->request_store);
}

static const job_api_callbacks_t job_api_callbacks
    = { can_accept_jobs, get_desired_age_us, get_unconfirmed_us };

/* Returns the budget of the smaller of the process's limit and the setting. */
static descriptor_budget_t
divide_descriptors (const entry_options_t *options)
{
  gint64 process_limit;
  guint limit;
  descriptor_budget_t budget;

  process_raise_descriptor_limit ();
  process_limit = CLAMP (process_limits ().descriptors, 0, G_MAXINT32);
  limit = descriptor_limit ((guint) process_limit, (guint) options->max_descriptors);
  budget = descriptor_budget (limit);
  connection_share_set_limit (budget.executors);
  LOG_INFO ("descriptor_budget",
            "limit=%u customers=%u readiness=%u metrics=%u vms=%u executors=%u store=%u advice=%u"
            " files=%u",
            limit, budget.customers, budget.readiness, budget.metrics, budget.vms, budget.executors,
            budget.store, budget.advice, budget.files);
  if (options->max_connections > budget.customers)
    LOG_WARN ("max_connections_lowered", "max_connections=%" G_GINT64_FORMAT " fits=%u",
              options->max_connections, budget.customers);
  return budget;
}

static bool
start_servers (entry_t *entry, error_info_t *error)
{
  descriptor_budget_t budget = divide_descriptors (&entry->options);
  job_api_config_t api = {
    .listen = entry->options.listen,
    .ready_listen = entry->options.ready_listen,
    .max_connections = MIN ((guint) entry->options.max_connections, budget.customers),
    .max_ready_connections = budget.readiness,
    .is_revoke_strict = entry->options.revoke_strict,
    .revoke_us = entry->options.revoke_ms * 1000,
    .metrics = entry->metrics,
  };
  http_limits_t limits = { .listener = "metrics",
                           .connections = budget.metrics,
                           .replaces_idle = true,
                           .header_bytes = 8192,
                           .body_bytes = 0,
                           .read_timeout_ms = 5000 };

  entry->listener
      = listener_new (entry->options.peer_listen, budget.vms, accept_peer, entry, error);
  if (entry->listener == NULL)
    return false;
  entry->api = job_api_new (&api, entry->intake, &job_api_callbacks, entry, error);
  if (entry->api == NULL)
    return false;
  entry->metrics_server
      = http_server_new (entry->options.metrics_listen, &limits, handle_metrics, entry, error);
  return entry->metrics_server != NULL;
}

static acceptor_state_t
listen_state (const entry_t *entry, error_info_t *error)
{
  acceptor_state_t state = listener_state (entry->listener, error);

  state = MAX (state, job_api_listen_state (entry->api, error));
  return MAX (state, http_server_state (entry->metrics_server, error));
}

static gboolean
check_listening (gpointer data)
{
  entry_t *entry = data;

  switch (listen_state (entry, &entry->start_error))
    {
    case ACCEPTOR_WAITING:
      return G_SOURCE_CONTINUE;
    case ACCEPTOR_LISTENING:
      entry->is_listening = true;
      join_election_if_due (entry);
      break;
    case ACCEPTOR_FAILED:
      g_main_loop_quit (entry->loop);
      break;
    }
  entry->listen_timer = 0;
  return G_SOURCE_REMOVE;
}

entry_t *
entry_new (const entry_options_t *options, error_info_t *error)
{
  entry_t *entry = g_new0 (entry_t, 1);
  uplink_config_t uplink = {
    .vm = options->vm,
    .zone = options->zone,
    .life = g_get_real_time (),
    .cpu_milli = (guint) options->cpu_milli,
    .job_bytes_max = memory_jobs_bytes (),
    .executor_lease_ms = (guint) MIN (options->hold_ms, options->hold_max_ms),
    .advice_address = options->advice,
    .leader_resigned = leader_resigned,
    .largest_cpu_reported = largest_cpu_reported,
    .desired_version = get_desired_version,
    .desired_reported = leader_desired_reported,
    .data = entry,
  };

  entry->options = *options;
  entry->life = uplink.life;
  entry->loop = g_main_loop_new (NULL, FALSE);
  entry->metrics = metrics_new ();
  entry->store = store_kv_new (options->store, entry->metrics);
  uplink.store = entry->store;
  entry->uplink = uplink_new (&uplink);
  entry->request_store = relay_new (entry->store, entry->uplink);
  entry->intake = intake_new (entry->request_store, entry->uplink, entry->metrics);
  entry->desired
      = desired_follower_new (entry->store, entry->request_store, desired_state_changed, entry);
  if (!start_servers (entry, error))
    {
      entry_free (entry);
      return NULL;
    }
  if (check_listening (entry) == G_SOURCE_CONTINUE)
    entry->listen_timer = g_timeout_add (LISTEN_POLL_MS, check_listening, entry);
  (void) g_unix_signal_add (SIGTERM, stop_requested, entry);
  (void) g_unix_signal_add (SIGINT, stop_requested, entry);
  (void) g_unix_signal_add (SIGHUP, reload_requested, entry);
  signals_accept ();
  return entry;
}

bool
entry_run (entry_t *entry, error_info_t *error)
{
  LOG_INFO ("started",
            "vm=%s zone=%s listen=%s peer=%s store=%s cpu_milli=%" G_GINT64_FORMAT
            " hold_ms=%" G_GINT64_FORMAT,
            entry->options.vm, entry->options.zone, entry->options.listen,
            entry->options.peer_listen, entry->options.store, entry->options.cpu_milli,
            entry->options.hold_ms);
  g_main_loop_run (entry->loop);
  if (entry->start_error.kind != ERROR_NONE)
    {
      *error = entry->start_error;
      return false;
    }
  LOG_INFO ("stopped", "open=%u", intake_open_count (entry->intake));
  log_flush ();
  return true;
}

void
entry_free (entry_t *entry)
{
  if (entry == NULL)
    return;
  if (entry->drain_timer != 0)
    g_source_remove (entry->drain_timer);
  if (entry->leader_free_timer != 0)
    g_source_remove (entry->leader_free_timer);
  if (entry->listen_timer != 0)
    g_source_remove (entry->listen_timer);
  leader_free (entry->leader);
  election_free (entry->election);
  job_api_free (entry->api);
  desired_follower_free (entry->desired);
  http_server_free (entry->metrics_server);
  listener_free (entry->listener);
  intake_free (entry->intake);
  uplink_free (entry->uplink);
  entry->request_store->calls->free (entry->request_store);
  entry->store->calls->free (entry->store);
  metrics_free (entry->metrics);
  g_main_loop_unref (entry->loop);
  g_free (entry);
}

int
entry_main (int argc, char **argv)
{
  entry_options_t options = { 0 };
  settings_result_t result = SETTINGS_LOADED;
  bool is_loaded;
  int status;
  error_info_t error = { .kind = ERROR_NONE };
  entry_t *entry;

  is_loaded = entry_options_load (&options, argc, argv, &result, &error);
  status = program_process_options (is_loaded, result, options.log_level, entry_options_print_help,
                                    &error);
  if (status >= 0)
    return status;
  memory_set_limit_mb ((guint) options.memory_mb);
  entry = entry_new (&options, &error);
  if (entry == NULL)
    return program_start_error (&error);
  if (!entry_run (entry, &error))
    return program_start_error (&error);
  /* The entry is not freed: when the process exits, the kernel delivers what was written to the
   * connections and closes them. */
  return 0;
}
