#define LOG_MODULE "daemon"

#include "daemon/daemon.h"

#include "base/json.h"
#include "base/log.h"
#include "base/signals.h"
#include "caller/caller_api.h"
#include "operator/operator_api.h"
#include "records/claims.h"
#include "records/vmlist.h"

#include <glib-unix.h>
#include <signal.h>
#include <string.h>

#define SEATS_KEY "/mimosastair/seats"
#define RACKS_PREFIX "/mimosastair/racks/"

typedef enum
{
  PHASE_SERVING,
  PHASE_LEAVING,  /* reported as not ready to the load balancer; requests are still accepted */
  PHASE_DRAINING, /* no new connections; requests in progress are completed */
  PHASE_RELEASING /* claims on seats and racks are released */
} phase_t;

struct daemon_state
{
  GMainLoop *loop;
  daemon_options_t options;
  claimant_t self;
  phase_t phase;
  gint64 phase_since_us;
  metrics_t *metrics;
  kv_t *kv;
  batch_t *batch;
  idem_t *idem;
  claims_t *seats;
  claims_t *racks;
  vmlist_t *vmlist;
  executor_client_t *executor_client;
  worker_client_t *worker_client;
  requests_t *requests;
  jobs_t *jobs;
  environments_t *environments;
  caller_api_t *caller_api;
  operator_api_t *operator_api;
  GPtrArray *seat_names;
  guint listen_timer; /* while a port is in use; 0: none */
  bool is_listening;  /* on both ports */
  error_info_t start_error;
  guint term_source;
  guint int_source;
  guint hup_source;
  guint drain_timer;
};

static const guint listen_poll_ms = 50;
static const guint drain_interval_ms = 20;
static const gint64 release_timeout_us = 2 * G_USEC_PER_SEC;

static void
on_environment_changed (environment_t *environment, void *data)
{
  requests_set_environment (((daemon_t *) data)->requests, environment);
}

/* Returns the interval between write transactions of one VM: the VMs that hold a seat share the
 * write rate evenly. */
static gint64
write_interval_us (const daemon_t *daemon, guint seats_used)
{
  return (gint64) MAX (1U, seats_used) * G_USEC_PER_SEC / daemon->options.kv_writes_per_s;
}

static void
on_seats_changed (const GArray *table, void *data)
{
  daemon_t *daemon = data;
  guint held = claim_count_held (table, &daemon->self);

  batch_set_interval (daemon->batch, write_interval_us (daemon, claim_count_used (table)));
  requests_set_seats (daemon->requests, held > 0 ? table->len : 0, claim_count_used (table));
}

static void
on_racks_changed (const GArray *table, void *data)
{
  jobs_set_rack_claims (((daemon_t *) data)->jobs, table);
}

static bool
drain_racks (const GArray *kept, void *data)
{
  daemon_t *daemon = data;

  jobs_set_rack_claims (daemon->jobs, kept);
  return jobs_unconfirmed_task_count (daemon->jobs) == 0;
}

/* Returns the distinct racks of this zone that have workers.  The names are owned by `list`. */
static GPtrArray *
rack_names (const daemon_t *daemon, const member_list_t *list)
{
  GPtrArray *names = g_ptr_array_new ();

  for (guint i = 0; i < list->members->len; i++)
    {
      const member_t *member = &g_array_index (list->members, member_t, i);

      if (member->role != MEMBER_WORKER || strcmp (member->zone, daemon->options.zone) != 0)
        continue;
      if (!g_ptr_array_find_with_equal_func (names, member->rack, g_str_equal, NULL))
        g_ptr_array_add (names, (gpointer) member->rack);
    }
  return names;
}

/* Returns the rank of this VM among the entry VMs of its zone, ordered by id, and their number
 * in `*count`. */
static guint
rank_in_zone (const daemon_t *daemon, const member_list_t *list, guint *count)
{
  guint rank = 0;

  *count = 0;
  for (guint i = 0; i < list->members->len; i++)
    {
      const member_t *member = &g_array_index (list->members, member_t, i);

      if (member->role != MEMBER_ENTRY || strcmp (member->zone, daemon->options.zone) != 0)
        continue;
      (*count)++;
      rank += strcmp (member->id, daemon->self.vm) < 0;
    }
  return rank;
}

/* Divides the racks of the zone evenly among its entry VMs; the remainder goes to the VMs of
 * lowest rank, one rack each. */
static void
set_wanted_racks (daemon_t *daemon, const member_list_t *list)
{
  g_autoptr (GPtrArray) names = rack_names (daemon, list);
  guint vms = 0;
  guint rank = rank_in_zone (daemon, list, &vms);
  guint wanted = 0;

  if (vms > 0)
    wanted = names->len / vms + (rank < names->len % vms);
  claims_set_member_list (daemon->racks, list);
  claims_set_wanted (daemon->racks, (const char *const *) names->pdata, names->len, wanted);
}

static void
on_list_changed (const member_list_t *list, void *data)
{
  daemon_t *daemon = data;

  /* The claims of a previous process are not taken over before the addresses are bound, which
   * proves that it has ended. */
  if (!daemon->is_listening)
    return;
  LOG_INFO ("list_changed", "revision=%" G_GINT64_FORMAT " vms=%u", list->revision,
            list->members->len);
  idem_set_member_list (daemon->idem, list);
  requests_set_member_list (daemon->requests, list);
  jobs_set_member_list (daemon->jobs, list);
  if (daemon->phase >= PHASE_RELEASING)
    return;
  claims_set_member_list (daemon->seats, list);
  claims_set_wanted (daemon->seats, (const char *const *) daemon->seat_names->pdata,
                     daemon->seat_names->len, 1);
  set_wanted_racks (daemon, list);
}

static bool
is_ready (const char **reason, void *data)
{
  const daemon_t *daemon = data;

  if (daemon->phase != PHASE_SERVING)
    *reason = "stopping";
  else if (claims_held (daemon->seats) == 0)
    *reason = "no seat yet";
  else
    return true;
  return false;
}

static void
put_idempotency (JsonBuilder *builder, const idem_counters_t *counters)
{
  json_builder_set_member_name (builder, "idempotency");
  json_builder_begin_object (builder);
  json_put_int (builder, "claimed", (gint64) counters->claimed);
  json_put_int (builder, "joined", (gint64) counters->joined);
  json_put_int (builder, "replayed", (gint64) counters->replayed);
  json_put_int (builder, "released", (gint64) counters->released);
  json_put_int (builder, "unavailable", (gint64) counters->unavailable);
  json_builder_end_object (builder);
}

static void
put_platform (JsonBuilder *builder, const daemon_t *daemon)
{
  json_builder_set_member_name (builder, "platform");
  json_builder_begin_object (builder);
  json_put_int (builder, "calls", (gint64) kv_call_count (daemon->kv));
  json_put_int (builder, "failures", (gint64) kv_failure_count (daemon->kv));
  json_put_int (builder, "transactions", (gint64) batch_transaction_count (daemon->batch));
  json_put_int (builder, "writes", (gint64) batch_applied_op_count (daemon->batch));
  json_put_int (builder, "writes_waiting", batch_pending_op_count (daemon->batch));
  json_put_int (builder, "list_revision", vmlist_current (daemon->vmlist)->revision);
  json_builder_end_object (builder);
}

static void
put_callers (JsonBuilder *builder, const daemon_t *daemon)
{
  http_counters_t counters = http_server_counters (caller_api_server (daemon->caller_api));

  json_builder_set_member_name (builder, "callers");
  json_builder_begin_object (builder);
  json_put_int (builder, "connections",
                http_server_connection_count (caller_api_server (daemon->caller_api)));
  json_put_int (builder, "requests", (gint64) counters.requests);
  json_put_int (builder, "refused_connections", (gint64) counters.refused_connections);
  json_put_int (builder, "refused_requests", (gint64) counters.refused_requests);
  json_put_int (builder, "timeouts", (gint64) counters.timeouts);
  json_builder_end_object (builder);
}

static void
put_jobs (JsonBuilder *builder, const daemon_t *daemon)
{
  json_builder_set_member_name (builder, "jobs");
  json_builder_begin_object (builder);
  json_put_int (builder, "open", jobs_open_count (daemon->jobs));
  json_put_int (builder, "running_tasks", jobs_running_task_count (daemon->jobs));
  json_put_int (builder, "workers", jobs_usable_worker_count (daemon->jobs));
  json_put_int (builder, "racks", claims_held (daemon->racks));
  json_builder_end_object (builder);
}

static void
put_status (JsonBuilder *builder, void *data)
{
  const daemon_t *daemon = data;
  const char *reason = "serving";
  bool ready = is_ready (&reason, data);

  json_put_string (builder, "vm", daemon->self.vm);
  json_put_string (builder, "zone", daemon->options.zone);
  json_put_string (builder, "version", MIMOSASTAIR_VERSION);
  json_put_string (builder, "incarnation", daemon->self.incarnation);
  json_put_bool (builder, "ready", ready);
  json_put_string (builder, "state", reason);
  json_put_int (builder, "seats_held", claims_held (daemon->seats));
  json_put_int (builder, "seats_used", claim_count_used (claims_table (daemon->seats)));
  json_put_int (builder, "in_progress", requests_open_count (daemon->requests));
  json_builder_set_member_name (builder, "environments");
  requests_describe (daemon->requests, builder);
  put_jobs (builder, daemon);
  put_idempotency (builder, idem_counters (daemon->idem));
  put_platform (builder, daemon);
  put_callers (builder, daemon);
}

static void
enter_phase (daemon_t *daemon, phase_t phase, const char *name)
{
  daemon->phase = phase;
  daemon->phase_since_us = g_get_monotonic_time ();
  LOG_INFO ("phase", "phase=%s in_progress=%u", name, requests_open_count (daemon->requests));
}

/* Closes the idle connections of callers, and returns whether the daemon can stop without
 * interrupting anything: no request is in progress, and no write of an idempotency record or of
 * another record is pending. */
static bool
is_drained (daemon_t *daemon)
{
  guint unfinished_requests = http_server_drain (caller_api_server (daemon->caller_api));

  return unfinished_requests == 0 && requests_open_count (daemon->requests) == 0
         && idem_pending_write_count (daemon->idem) == 0
         && batch_pending_op_count (daemon->batch) == 0;
}

static void
release_claims (daemon_t *daemon)
{
  g_autoptr (GPtrArray) racks = rack_names (daemon, vmlist_current (daemon->vmlist));

  claims_set_wanted (daemon->seats, (const char *const *) daemon->seat_names->pdata,
                     daemon->seat_names->len, 0);
  claims_set_wanted (daemon->racks, (const char *const *) racks->pdata, racks->len, 0);
}

static gboolean
drain_step (gpointer data)
{
  daemon_t *daemon = data;
  gint64 elapsed_us = g_get_monotonic_time () - daemon->phase_since_us;

  switch (daemon->phase)
    {
    case PHASE_SERVING:
      break;
    case PHASE_LEAVING:
      if (elapsed_us < daemon->options.drain_delay_ms * 1000)
        break;
      http_server_stop (caller_api_server (daemon->caller_api));
      enter_phase (daemon, PHASE_DRAINING, "draining");
      break;
    case PHASE_DRAINING:
      if (!is_drained (daemon) && elapsed_us < daemon->options.drain_timeout_ms * 1000)
        break;
      release_claims (daemon);
      enter_phase (daemon, PHASE_RELEASING, "releasing");
      break;
    case PHASE_RELEASING:
      if (claims_held (daemon->seats) + claims_held (daemon->racks) > 0
          && elapsed_us < release_timeout_us)
        break;
      LOG_INFO ("stopped", "claims_held=%u",
                claims_held (daemon->seats) + claims_held (daemon->racks));
      daemon->drain_timer = 0;
      g_main_loop_quit (daemon->loop);
      return G_SOURCE_REMOVE;
    }
  return G_SOURCE_CONTINUE;
}

static gboolean
on_stop_signal (gpointer data)
{
  daemon_t *daemon = data;

  if (daemon->phase != PHASE_SERVING)
    return G_SOURCE_CONTINUE;
  if (daemon->listen_timer != 0)
    g_source_remove (daemon->listen_timer);
  daemon->listen_timer = 0;
  enter_phase (daemon, PHASE_LEAVING, "leaving");
  daemon->drain_timer = g_timeout_add (drain_interval_ms, drain_step, daemon);
  return G_SOURCE_CONTINUE;
}

/* Settings come from the command line and hold for the process's life. */
static gboolean
on_reload_signal (gpointer data G_GNUC_UNUSED)
{
  LOG_INFO ("reload", "outcome=settings_unchanged");
  return G_SOURCE_CONTINUE;
}

static void
init_identity (daemon_t *daemon)
{
  g_strlcpy (daemon->self.vm, daemon->options.vm, sizeof daemon->self.vm);
  g_strlcpy (daemon->self.address, daemon->options.listen, sizeof daemon->self.address);
  (void) g_snprintf (daemon->self.incarnation, sizeof daemon->self.incarnation, "%08x%08x",
                     g_random_int (), g_random_int ());
}

static void
start_platform (daemon_t *daemon)
{
  const daemon_options_t *options = &daemon->options;
  g_autofree char *racks_key = g_strconcat (RACKS_PREFIX, options->zone, NULL);

  daemon->kv = kv_new (options->platform_kv, (guint) options->kv_timeout_s);
  daemon->batch = batch_new (daemon->kv, write_interval_us (daemon, (guint) options->seats));
  daemon->idem = idem_new (daemon->kv, daemon->batch, daemon->self.vm, daemon->self.incarnation,
                           options->idempotency_retention_s);
  daemon->seats = claims_new (daemon->kv, SEATS_KEY, &daemon->self, on_seats_changed, NULL, daemon);
  daemon->racks
      = claims_new (daemon->kv, racks_key, &daemon->self, on_racks_changed, drain_racks, daemon);
  daemon->seat_names = g_ptr_array_new_with_free_func (g_free);
  for (gint64 i = 0; i < options->seats; i++)
    g_ptr_array_add (daemon->seat_names, g_strdup_printf ("%" G_GINT64_FORMAT, i));
}

static void
start_workloads (daemon_t *daemon)
{
  const daemon_options_t *options = &daemon->options;

  daemon->executor_client = executor_client_new ();
  daemon->worker_client = worker_client_new ();
  daemon->requests
      = requests_new (options->zone, daemon->executor_client, daemon->idem, daemon->metrics);
  daemon->jobs = jobs_new (daemon->kv, daemon->batch, daemon->worker_client, daemon->metrics,
                           &daemon->self, options->zone);
}

static bool
start_servers (daemon_t *daemon, error_info_t *error)
{
  const daemon_options_t *options = &daemon->options;
  http_limits_t limits = { .listener = "callers",
                           .connections = (guint) options->max_connections,
                           .header_bytes = (guint) options->max_header_bytes,
                           .body_bytes = (guint) options->max_body_bytes,
                           .read_timeout_ms = (guint) options->read_timeout_ms };

  daemon->caller_api = caller_api_new (options->listen, &limits, daemon->requests, daemon->jobs,
                                       is_ready, daemon, error);
  if (daemon->caller_api == NULL)
    return false;
  limits.listener = "operators";
  daemon->operator_api = operator_api_new (options->operator_listen, &limits, daemon->environments,
                                           daemon->metrics, put_status, daemon, error);
  return daemon->operator_api != NULL;
}

static gboolean
check_listening (gpointer data)
{
  daemon_t *daemon = data;
  acceptor_state_t callers
      = http_server_state (caller_api_server (daemon->caller_api), &daemon->start_error);
  acceptor_state_t operators
      = http_server_state (operator_api_server (daemon->operator_api), &daemon->start_error);
  const member_list_t *list = daemon->vmlist != NULL ? vmlist_current (daemon->vmlist) : NULL;

  switch (MAX (callers, operators))
    {
    case ACCEPTOR_WAITING:
      return G_SOURCE_CONTINUE;
    case ACCEPTOR_LISTENING:
      daemon->is_listening = true;
      if (list != NULL)
        on_list_changed (list, daemon);
      break;
    case ACCEPTOR_FAILED:
      g_main_loop_quit (daemon->loop);
      break;
    }
  daemon->listen_timer = 0;
  return G_SOURCE_REMOVE;
}

daemon_t *
daemon_new (const daemon_options_t *options, error_info_t *error)
{
  daemon_t *daemon = g_new0 (daemon_t, 1);

  daemon->options = *options;
  daemon->loop = g_main_loop_new (NULL, FALSE);
  daemon->metrics = metrics_new ();
  init_identity (daemon);
  start_platform (daemon);
  start_workloads (daemon);
  daemon->environments
      = environments_new (daemon->kv, daemon->self.vm, on_environment_changed, daemon);
  if (!start_servers (daemon, error))
    {
      daemon_free (daemon);
      return NULL;
    }
  if (check_listening (daemon) == G_SOURCE_CONTINUE)
    daemon->listen_timer = g_timeout_add (listen_poll_ms, check_listening, daemon);
  daemon->vmlist = vmlist_new (options->platform_list, (guint) options->list_interval_ms,
                               on_list_changed, daemon);
  daemon->term_source = g_unix_signal_add (SIGTERM, on_stop_signal, daemon);
  daemon->int_source = g_unix_signal_add (SIGINT, on_stop_signal, daemon);
  daemon->hup_source = g_unix_signal_add (SIGHUP, on_reload_signal, daemon);
  signals_accept ();
  LOG_INFO ("started", "vm=%s zone=%s listen=%s operator_listen=%s", daemon->self.vm, options->zone,
            options->listen, options->operator_listen);
  return daemon;
}

bool
daemon_run (daemon_t *daemon, error_info_t *error)
{
  g_main_loop_run (daemon->loop);
  if (daemon->start_error.kind == ERROR_NONE)
    return true;
  *error = daemon->start_error;
  return false;
}

void
daemon_free (daemon_t *daemon)
{
  if (daemon->term_source != 0)
    g_source_remove (daemon->term_source);
  if (daemon->int_source != 0)
    g_source_remove (daemon->int_source);
  if (daemon->hup_source != 0)
    g_source_remove (daemon->hup_source);
  if (daemon->drain_timer != 0)
    g_source_remove (daemon->drain_timer);
  if (daemon->listen_timer != 0)
    g_source_remove (daemon->listen_timer);
  vmlist_free (daemon->vmlist);
  operator_api_free (daemon->operator_api);
  caller_api_free (daemon->caller_api);
  /* Ends every call to the key-value service, so that no reply reaches the objects freed below. */
  kv_free (daemon->kv);
  executor_client_free (daemon->executor_client);
  worker_client_free (daemon->worker_client);
  environments_free (daemon->environments);
  requests_free (daemon->requests);
  jobs_free (daemon->jobs);
  idem_free (daemon->idem);
  claims_free (daemon->seats);
  claims_free (daemon->racks);
  batch_free (daemon->batch);
  if (daemon->seat_names != NULL)
    g_ptr_array_unref (daemon->seat_names);
  metrics_free (daemon->metrics);
  g_main_loop_unref (daemon->loop);
  g_free (daemon);
}
