#define LOG_MODULE "entry"

#include "entry/entry.h"

#include "base/clock.h"
#include "base/http_server.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/program.h"
#include "entry/election.h"
#include "entry/leader.h"
#include "entry/intake.h"
#include "entry/relay.h"
#include "entry/uplink.h"
#include "platform/documents.h"
#include "platform/job_api.h"
#include "platform/store_kv.h"
#include "store/watcher.h"

#include <glib-unix.h>
#include <signal.h>
#include <string.h>

struct entry
{
  entry_options_t options;
  GMainLoop *loop;
  metrics_t *metrics;
  store_t *store;
  store_t *relay; /* the same for customers' requests */
  uplink_t *uplink;
  intake_t *intake;
  job_api_t *api;
  claim_t *claim;
  decider_t *decider;
  guint free_idle; /* a deposed decider is freed outside its callbacks */
  GSocketService *peers;
  http_server_t *metrics_server;
  mirror_t *operator_mirror;
  desired_t *desired;
  GQueue former_desired; /* versions that may still be pointed to */
  gint64 desired_seen_us;
  bool is_stopping;
  gint64 drain_until_us;
  guint drain_timer;
};

enum
{
  OPERATOR_WAIT_MS = 1000, /* longest wait of one watch on the desired state */
  DRAIN_POLL_MS = 50,
  HANDOVER_MS = 400, /* longest wait for the store before the claim is given up */
  FAREWELL_MS = 50,  /* in which the VMs are told that the claim is free */
  METRICS_CONNECTIONS = 16,
  FORMER_DESIRED = 2
};

/* ---- Desired state. */

static void
take_desired (entry_t *entry, desired_t *desired)
{
  LOG_INFO ("desired_state",
            "version=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT " queues=%u services=%u",
            desired->version, entry->desired != NULL ? entry->desired->version : 0,
            desired->queues->len, desired->services->len);
  if (entry->desired != NULL)
    g_queue_push_tail (&entry->former_desired, entry->desired);
  entry->desired = desired;
  job_api_set_desired (entry->api, desired);
  if (entry->decider != NULL)
    decider_set_desired (entry->decider, desired);
  while (g_queue_get_length (&entry->former_desired) > FORMER_DESIRED)
    desired_free (g_queue_pop_head (&entry->former_desired));
}

static void start_claiming (entry_t *entry);

static void
operator_changed (const store_item_t *item, void *data)
{
  entry_t *entry = data;
  error_info_t error = { .kind = ERROR_NONE };
  desired_t *desired;

  if (item->deleted || strcmp (item->key, documents_desired_key) != 0)
    return;
  desired = documents_desired ((const char *) item->value, item->value_bytes, &error);
  if (desired == NULL)
    {
      LOG_WARN ("desired_state_malformed", "revision=%" G_GINT64_FORMAT " reason=\"%s\"",
                item->revision, error.detail);
      return;
    }
  if (entry->desired != NULL && desired->version <= entry->desired->version)
    {
      desired_free (desired);
      return;
    }
  take_desired (entry, desired);
  if (entry->claim == NULL && !entry->is_stopping)
    start_claiming (entry);
}

static void
operator_synced (void *data)
{
  entry_t *entry = data;

  entry->desired_seen_us = clock_now_us ();
}

/* Time since the desired state was last confirmed; -1: never. */
static gint64
desired_age_ms (const entry_t *entry)
{
  return entry->desired_seen_us > 0 ? (clock_now_us () - entry->desired_seen_us) / 1000 : -1;
}

static void
operator_lost (void *data)
{
  entry_t *entry = data;

  LOG_WARN ("store_lost", "of=desired_state age_ms=%" G_GINT64_FORMAT, desired_age_ms (entry));
}

static const mirror_events_t operator_events = { operator_changed, operator_synced, operator_lost };

/* ---- The claim and the decider. */

static gboolean
free_decider (gpointer data)
{
  entry_t *entry = data;

  entry->free_idle = 0;
  decider_free (entry->decider);
  entry->decider = NULL;
  return G_SOURCE_REMOVE;
}

static void
drop_decider (entry_t *entry)
{
  if (entry->decider != NULL && entry->free_idle == 0)
    entry->free_idle = g_timeout_add (FAREWELL_MS, free_decider, entry);
}

static void
deposed (void *data)
{
  entry_t *entry = data;

  claim_check (entry->claim);
}

/* Another VM is to decide. */
static void
abdicate (void *data)
{
  entry_t *entry = data;

  claim_abdicate (entry->claim);
}

static void
claim_gained (gint64 fence, guint epoch, void *data)
{
  entry_t *entry = data;
  decider_config_t config = {
    .vm = entry->options.vm,
    .cpu_milli = (guint) entry->options.cpu_milli,
    .fence = fence,
    .epoch = epoch,
    .limits = { .hold_us = MIN (entry->options.hold_ms, entry->options.hold_max_ms) * 1000,
                .claim_us = entry->options.claim_ttl_ms * 1000,
                .remote_factor = (double) entry->options.remote_factor_milli / 1000.0,
                .gang_wait_us = entry->options.gang_wait_ms * 1000 },
  };

  if (entry->free_idle != 0)
    {
      g_source_remove (entry->free_idle);
      (void) free_decider (entry);
    }
  entry->decider = decider_new (entry->store, entry->claim, &config, entry->desired, entry->metrics,
                                deposed, abdicate, entry);
}

static void
claim_lost (const char *reason G_GNUC_UNUSED, void *data)
{
  drop_decider (data);
}

static void
claim_holder (const char *vm G_GNUC_UNUSED, const char *address, void *data)
{
  entry_t *entry = data;

  uplink_set_leader (entry->uplink, address);
}

static void
claim_was_abandoned (gint64 revision, void *data)
{
  entry_t *entry = data;

  if (entry->claim != NULL)
    claim_abandoned (entry->claim, revision);
}

static void
cpu_most_told (guint cpu_milli, void *data)
{
  entry_t *entry = data;

  if (entry->claim != NULL)
    claim_set_cpu_most (entry->claim, cpu_milli);
}

static const claim_events_t claim_events = { claim_gained, claim_lost, claim_holder };

static void
start_claiming (entry_t *entry)
{
  claim_config_t config = {
    .domain = entry->options.domain,
    .vm = entry->options.vm,
    .address = entry->options.peer_listen,
    .life = g_get_real_time (),
    .ttl_ms = (guint) entry->options.claim_ttl_ms,
    .cpu_milli = (guint) entry->options.cpu_milli,
  };

  entry->claim = claim_new (entry->store, &config, &claim_events, entry);
}

static gboolean
peer_incoming (GSocketService *service G_GNUC_UNUSED,
               GSocketConnection *connection,
               GObject *source G_GNUC_UNUSED,
               gpointer data)
{
  entry_t *entry = data;

  if (entry->decider != NULL && entry->free_idle == 0)
    decider_accept (entry->decider, connection);
  else
    (void) g_io_stream_close (G_IO_STREAM (connection), NULL, NULL);
  return TRUE;
}

static bool
listen_for_peers (entry_t *entry, error_info_t *error)
{
  g_autofree char *host = NULL;
  guint16 port = 0;
  g_autoptr (GSocketAddress) address = NULL;
  g_autoptr (GError) problem = NULL;

  if (settings_split_address (entry->options.peer_listen, &host, &port))
    address = g_inet_socket_address_new_from_string (host, port);
  entry->peers = g_socket_service_new ();
  if (address == NULL
      || !g_socket_listener_add_address (G_SOCKET_LISTENER (entry->peers), address,
                                         G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL, NULL,
                                         &problem))
    return error_set (error, ERROR_BAD_SETTING, "cannot listen on %s: %s",
                      entry->options.peer_listen,
                      problem != NULL ? problem->message : "no IP address");
  g_signal_connect (entry->peers, "incoming", G_CALLBACK (peer_incoming), entry);
  return true;
}

/* ---- Metrics. */

static void
handle_metrics (http_request_t *request, void *data)
{
  entry_t *entry = data;
  GString *out = g_string_new (NULL);

  metrics_print (entry->metrics, out);
  g_string_append_printf (out, "mimosastair_open_requests %u\n", intake_open_count (entry->intake));
  g_string_append_printf (out, "mimosastair_executors_held %u\n", uplink_executor_count (entry->uplink));
  g_string_append_printf (out, "mimosastair_decider_known %d\n",
                          (int) uplink_is_ready (entry->uplink));
  g_string_append_printf (out, "mimosastair_log_lines_dropped_total %" G_GUINT64_FORMAT "\n",
                          log_dropped ());
  g_string_append_printf (out, "mimosastair_desired_version %" G_GINT64_FORMAT "\n",
                          entry->desired != NULL ? entry->desired->version : 0);
  g_string_append_printf (out, "mimosastair_desired_age_ms %" G_GINT64_FORMAT "\n",
                          desired_age_ms (entry));
  if (entry->decider != NULL)
    decider_print (entry->decider, out);
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
claim_released (void *data)
{
  entry_t *entry = data;

  if (entry->decider == NULL)
    return;
  decider_tell_released (entry->decider);
  drop_decider (entry);
}

static void
decider_closed (void *data)
{
  entry_t *entry = data;

  claim_give_up (entry->claim, claim_released, entry);
}

static gboolean
terminated (gpointer data)
{
  entry_t *entry = data;

  if (entry->is_stopping)
    return G_SOURCE_CONTINUE;
  entry->is_stopping = true;
  LOG_INFO ("stopping", "decider=%d open=%u", (int) (entry->decider != NULL),
            intake_open_count (entry->intake));
  entry->drain_until_us
      = clock_now_us () + (entry->options.drain_delay_ms + entry->options.drain_timeout_ms) * 1000;
  uplink_set_draining (entry->uplink);
  if (entry->decider != NULL && entry->free_idle == 0)
    decider_close (entry->decider, HANDOVER_MS, decider_closed, entry);
  else if (entry->claim != NULL)
    claim_give_up (entry->claim, claim_released, entry);
  entry->drain_timer = g_timeout_add (DRAIN_POLL_MS, drain, entry);
  return G_SOURCE_CONTINUE;
}

static gboolean
reloaded (gpointer data G_GNUC_UNUSED)
{
  /* Settings come by the command line and hold for the life of the process. */
  LOG_INFO ("reload", "outcome=settings_unchanged");
  return G_SOURCE_CONTINUE;
}

/* ---- Life. */

/* Jobs can be stored by this VM or through the decider. */
static bool
wants_connections (void *data)
{
  const entry_t *entry = data;

  return !entry->is_stopping
         && (store_is_healthy (entry->store, clock_now_us ()) || uplink_is_ready (entry->uplink));
}

static bool
start_servers (entry_t *entry, error_info_t *error)
{
  job_api_config_t api = {
    .listen = entry->options.listen,
    .ready_listen = entry->options.ready_listen,
    .max_connections = (guint) entry->options.max_connections,
  };
  http_limits_t limits = { .connections = METRICS_CONNECTIONS,
                           .header_bytes = 8192,
                           .body_bytes = 0,
                           .read_timeout_ms = 5000 };

  if (!listen_for_peers (entry, error))
    return false;
  entry->api = job_api_new (&api, entry->intake, wants_connections, entry, error);
  if (entry->api == NULL)
    return false;
  entry->metrics_server
      = http_server_new (entry->options.metrics_listen, &limits, handle_metrics, entry, error);
  return entry->metrics_server != NULL;
}

entry_t *
entry_new (const entry_options_t *options, error_info_t *error)
{
  entry_t *entry = g_new0 (entry_t, 1);
  uplink_config_t uplink = {
    .vm = options->vm,
    .zone = options->zone,
    .cpu_milli = (guint) options->cpu_milli,
    .hold_ms = (guint) MIN (options->hold_ms, options->hold_max_ms),
    .advice_address = options->advice,
    .abandoned = claim_was_abandoned,
    .cpu_most = cpu_most_told,
    .data = entry,
  };

  entry->options = *options;
  entry->loop = g_main_loop_new (NULL, FALSE);
  entry->metrics = metrics_new ();
  entry->store = store_kv_new (options->store, entry->metrics);
  uplink.store = entry->store;
  entry->uplink = uplink_new (&uplink);
  entry->relay = relay_new (entry->store, entry->uplink);
  entry->intake = intake_new (entry->relay, entry->uplink, entry->metrics);
  g_queue_init (&entry->former_desired);
  if (!start_servers (entry, error))
    {
      entry_free (entry);
      return NULL;
    }
  entry->operator_mirror = mirror_new (entry->store, documents_operator_prefix, OPERATOR_WAIT_MS,
                                       &operator_events, entry);
  (void) g_unix_signal_add (SIGTERM, terminated, entry);
  (void) g_unix_signal_add (SIGINT, terminated, entry);
  (void) g_unix_signal_add (SIGHUP, reloaded, entry);
  return entry;
}

void
entry_run (entry_t *entry)
{
  LOG_INFO ("started",
            "vm=%s zone=%s listen=%s peer=%s store=%s cpu_milli=%" G_GINT64_FORMAT
            " hold_ms=%" G_GINT64_FORMAT,
            entry->options.vm, entry->options.zone, entry->options.listen,
            entry->options.peer_listen, entry->options.store, entry->options.cpu_milli,
            entry->options.hold_ms);
  g_main_loop_run (entry->loop);
  LOG_INFO ("stopped", "open=%u", intake_open_count (entry->intake));
  log_flush ();
}

void
entry_free (entry_t *entry)
{
  if (entry == NULL)
    return;
  if (entry->drain_timer != 0)
    g_source_remove (entry->drain_timer);
  if (entry->free_idle != 0)
    g_source_remove (entry->free_idle);
  mirror_free (entry->operator_mirror);
  decider_free (entry->decider);
  claim_free (entry->claim);
  job_api_free (entry->api);
  http_server_free (entry->metrics_server);
  if (entry->peers != NULL)
    {
      g_socket_service_stop (entry->peers);
      g_object_unref (entry->peers);
    }
  intake_free (entry->intake);
  uplink_free (entry->uplink);
  entry->relay->calls->free (entry->relay);
  entry->store->calls->free (entry->store);
  metrics_free (entry->metrics);
  desired_free (entry->desired);
  g_queue_clear_full (&entry->former_desired, (GDestroyNotify) desired_free);
  g_main_loop_unref (entry->loop);
  g_free (entry);
}

int
entry_main (int argc, char **argv)
{
  entry_options_t options = { 0 };
  settings_result_t result = SETTINGS_READY;
  bool is_loaded;
  int status;
  error_info_t error = { .kind = ERROR_NONE };
  entry_t *entry;

  (void) signal (SIGPIPE, SIG_IGN);
  is_loaded = entry_options_load (&options, argc, argv, &result, &error);
  status = program_answer (is_loaded, result, options.log_level, entry_options_print_help, &error);
  if (status >= 0)
    return status;
  entry = entry_new (&options, &error);
  if (entry == NULL)
    return program_usage_error (&error);
  entry_run (entry);
  /* The process ends here; connections are closed by the kernel with what was written
   * to them delivered. */
  return 0;
}
