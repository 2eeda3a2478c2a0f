#define LOG_MODULE "decider"

#include "entry/leader_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "entry/codec.h"
#include "entry/keys.h"
#include "platform/documents.h"

#include <string.h>

enum
{
  JOBS_WATCH_PAUSE_MS = 400, /* VMs report new jobs directly; the watch finds the rest */
  MAX_ENDED_JOBS = 20000     /* kept in memory; older ones are read from the store */
};

static const gint64 ended_job_retention_us = 300 * G_USEC_PER_SEC;

/* ---- Records in the store. */

void
leader_ended_job_free (gpointer data)
{
  ended_job_t *ended = data;

  g_clear_pointer (&ended->workspace, g_ref_string_release);
  g_free (ended);
}

static void
expire_ended_jobs (leader_t *leader, gint64 now_us)
{
  const char *id;

  while ((id = g_queue_peek_head (&leader->ended_job_order)) != NULL)
    {
      const ended_job_t *ended = g_hash_table_lookup (leader->ended_jobs, id);

      if (ended != NULL && now_us - ended->at_us < ended_job_retention_us
          && g_queue_get_length (&leader->ended_job_order) <= MAX_ENDED_JOBS)
        return;
      g_hash_table_remove (leader->ended_jobs, id);
      g_free (g_queue_pop_head (&leader->ended_job_order));
    }
}

/* Adds an ended job to the latency histograms of its queue and final state. */
static void
record_job_latencies (leader_t *leader, const char *id, job_state_t state, gint64 now_us)
{
  job_times_t times;
  latency_set_t *set;

  if (!scheduler_job_times (leader->scheduler, id, &times))
    return;
  set = metrics_latency (leader->metrics, "jobs", job_state_name (state), times.queue);
  histogram_add (&set->total, (guint64) MAX (now_us - times.accepted_us, 0));
  if (times.began_us == 0)
    return;
  histogram_add (&set->waiting, (guint64) MAX (times.began_us - times.accepted_us, 0));
  histogram_add (&set->service, (guint64) MAX (now_us - times.began_us, 0));
}

static void
job_end_stored (const char *id, job_state_t state, void *data)
{
  leader_t *leader = data;
  ended_job_t *ended = g_new0 (ended_job_t, 1);
  const char *workspace = scheduler_job_workspace (leader->scheduler, id);

  if (workspace != NULL)
    ended->workspace = g_ref_string_new_intern (workspace);
  ended->state = state;
  ended->at_us = clock_now_us ();
  g_hash_table_replace (leader->ended_jobs, g_strdup (id), ended);
  g_queue_push_tail (&leader->ended_job_order, g_strdup (id));
  expire_ended_jobs (leader, ended->at_us);
  LOG_INFO ("job_end_stored", "job=%s state=%s", id, job_state_name (state));
  record_job_latencies (leader, id, state, ended->at_us);
  scheduler_job_end_stored (leader->scheduler, id);
}

static void
batch_stored (guint64 batch, void *data)
{
  leader_t *leader = data;

  scheduler_batch_stored (leader->scheduler, batch);
  leader_schedule_round (leader);
  if (leader->on_closed != NULL && recorder_is_idle (leader->recorder))
    {
      void (*on_closed) (void *data) = leader->on_closed;

      leader->on_closed = NULL;
      on_closed (leader->on_closed_data);
    }
}

static void
record_refused (void *data)
{
  leader_depose (data, "write_refused");
}

const recorder_events_t leader_recorder_events = { job_end_stored, batch_stored, record_refused };

static job_spec_t *
parse_job (const store_item_t *item, const char *id)
{
  job_spec_t *spec = codec_unpack_job (item->value, item->value_bytes);

  if (spec != NULL && strcmp (spec->id, id) == 0)
    return spec;
  LOG_WARN ("bad_record", "key=%s", item->key);
  job_spec_free (spec);
  return NULL;
}

/* `marker` is a job id followed by KEYS_CANCEL_SUFFIX. */
static void
apply_cancel (leader_t *leader, const char *marker)
{
  g_autofree char *job = g_strndup (marker, strlen (marker) - strlen (KEYS_CANCEL_SUFFIX));

  if (leader->is_loaded)
    (void) scheduler_cancel_job (leader->scheduler, job, clock_now_us ());
  else
    (void) g_hash_table_add (leader->loaded_cancels, g_steal_pointer (&job));
}

static void
job_changed (const store_item_t *item, void *data)
{
  leader_t *leader = data;
  const char *id = item->key + strlen (KEYS_JOB_PREFIX);
  job_spec_t *spec;

  if (item->deleted || strlen (id) < JOB_ID_BYTES - 1)
    return;
  leader_schedule_round (leader);
  if (g_str_has_suffix (id, KEYS_CANCEL_SUFFIX))
    {
      apply_cancel (leader, id);
      return;
    }
  if (g_hash_table_lookup (leader->ended_jobs, id) != NULL)
    return;
  spec = parse_job (item, id);
  if (spec == NULL)
    return;
  if (!leader->is_loaded)
    g_hash_table_replace (leader->loaded_jobs, g_strdup (id), spec);
  else if (scheduler_add_job (leader->scheduler, spec, NULL, 0, false, clock_now_us (),
                              clock_unix_ms ()))
    LOG_INFO ("job_found", "job=%s", id);
}

static void
load_job (leader_t *leader, job_spec_t *spec, gint64 now_us, gint64 unix_ms)
{
  const GArray *progress = g_hash_table_lookup (leader->progress, spec->id);

  if (progress != NULL)
    recorder_note_stored_progress (leader->recorder, spec->id);
  (void) scheduler_add_job (leader->scheduler, spec,
                            progress != NULL ? (const task_progress_t *) (void *) progress->data
                                             : NULL,
                            progress != NULL ? progress->len : 0, true, now_us, unix_ms);
}

static void registry_changed (const store_item_t *item, void *data);
static void registry_synced (void *data);
static void watcher_lost (void *data);

const watcher_events_t leader_registry_events = { registry_changed, registry_synced, watcher_lost };

static void
load_placement (leader_t *leader, guint64 number, GBytes *value)
{
  gsize size;
  const guint8 *bytes = g_bytes_get_data (value, &size);
  const char *key = g_ptr_array_index (leader->inherited_placement_keys, (guint) number - 1);
  Mimosastair__Placement *message = mimosastair__placement__unpack (NULL, size, bytes);
  g_autofree placed_run_t *runs = NULL;
  guint count = 0;

  if (message == NULL)
    {
      LOG_WARN ("bad_record", "key=%s", key);
      return;
    }
  runs = g_new0 (placed_run_t, message->n_runs);
  for (gsize i = 0; i < message->n_runs; i++)
    {
      if (!codec_read_placed_run (message, i, &runs[count]))
        continue;
      leader_apply_settled (leader, key, (guint) i, &runs[count]);
      count++;
    }
  scheduler_restore_placement (leader->scheduler, number, runs, count, clock_now_us ());
  mimosastair__placement__free_unpacked (message, NULL);
}

static int
compare_by_acceptance (const void *a, const void *b)
{
  const job_spec_t *left = *(job_spec_t *const *) a;
  const job_spec_t *right = *(job_spec_t *const *) b;

  if (left->accepted_ms != right->accepted_ms)
    return left->accepted_ms < right->accepted_ms ? -1 : 1;
  return strcmp (left->id, right->id);
}

/* Loads the jobs in the order of acceptance, in which they count against the shares of their
 * workspaces.  The clocks are read once, so that the times between them stay exact. */
static void
load_jobs (leader_t *leader)
{
  gint64 now_us = clock_now_us ();
  gint64 unix_ms = clock_unix_ms ();
  g_autoptr (GPtrArray) specs = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer id;
  gpointer spec;

  g_hash_table_iter_init (&iter, leader->loaded_jobs);
  while (g_hash_table_iter_next (&iter, &id, &spec))
    {
      g_hash_table_iter_steal (&iter);
      g_ptr_array_add (specs, spec);
      g_free (id);
    }
  g_ptr_array_sort (specs, compare_by_acceptance);
  for (guint i = 0; i < specs->len; i++)
    load_job (leader, g_ptr_array_index (specs, i), now_us, unix_ms);
}

/* Hands the loaded records to the scheduler once all of them are read. */
static void
finish_loading (leader_t *leader)
{
  GHashTableIter iter;
  gpointer id;
  scheduler_stats_t stats;

  if (leader->is_loaded)
    return;
  load_jobs (leader);
  leader->is_loaded = true;
  for (guint i = 0; i < leader->inherited_placement_values->len; i++)
    load_placement (leader, i + 1, g_ptr_array_index (leader->inherited_placement_values, i));
  g_ptr_array_set_size (leader->inherited_placement_values, 0);
  g_hash_table_iter_init (&iter, leader->loaded_cancels);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    (void) scheduler_cancel_job (leader->scheduler, id, clock_now_us ());
  g_hash_table_remove_all (leader->loaded_cancels);
  g_hash_table_remove_all (leader->progress);
  watcher_set_pause_ms (leader->jobs_watcher, JOBS_WATCH_PAUSE_MS);
  scheduler_stats (leader->scheduler, &stats);
  leader_write_settled (leader, clock_now_us ());
  LOG_INFO ("decider_loaded", "jobs=%u placements=%u after_ms=%" G_GINT64_FORMAT, stats.jobs,
            leader->inherited_placement_keys->len, (clock_now_us () - leader->started_us) / 1000);
  leader->registry_watcher
      = watcher_new (leader->store, documents_registry_prefix, REGISTRY_WATCH_TIMEOUT_MS,
                     &leader_registry_events, leader);
  leader_schedule_round (leader);
}

static void
jobs_synced (void *data)
{
  leader_t *leader = data;

  finish_loading (leader);
}

static void
watcher_lost (void *data G_GNUC_UNUSED)
{
  LOG_WARN ("store_lost", "of=decider");
}

static const watcher_events_t jobs_events = { job_changed, jobs_synced, watcher_lost };

static void
set_assignment_zone (leader_t *leader, const char *executor, const char *zone)
{
  assignment_t *assignment = g_hash_table_lookup (leader->assignments, executor);

  if (assignment == NULL || g_strcmp0 (assignment->zone, zone) == 0)
    return;
  g_free (assignment->zone);
  assignment->zone = g_strdup (zone);
}

static void
registry_changed (const store_item_t *item, void *data)
{
  leader_t *leader = data;
  const char *id = item->key + strlen (documents_registry_prefix);
  registry_entry_t entry;
  error_info_t error = { .kind = ERROR_NONE };

  if (item->deleted)
    {
      scheduler_executor_unlisted (leader->scheduler, id, clock_now_us ());
      leader_schedule_round (leader);
      return;
    }
  if (documents_parse_executor (id, (const char *) item->value, item->value_bytes, &entry, &error)
      && desired_state_find_service (desired_follower_state (leader->desired), entry.entry.service)
             != NULL)
    {
      scheduler_executor_listed (leader->scheduler, &entry.entry, clock_now_us ());
      set_assignment_zone (leader, id, entry.entry.zone);
    }
  else
    {
      LOG_WARN ("registry_entry_skipped", "executor=%s reason=\"%s\"", id,
                error.kind != ERROR_NONE ? error.detail : "unknown service");
      scheduler_executor_unlisted (leader->scheduler, id, clock_now_us ());
    }
  registry_entry_clear (&entry);
  leader_schedule_round (leader);
}

static void
registry_synced (void *data)
{
  leader_schedule_round (data);
}

static void
progress_changed (const store_item_t *item, void *data)
{
  leader_t *leader = data;

  if (!item->deleted)
    g_hash_table_replace (leader->progress, g_strdup (item->key + strlen (KEYS_PROGRESS_PREFIX)),
                          codec_unpack_progress (item->value, item->value_bytes));
}

static void
progress_synced (void *data)
{
  leader_t *leader = data;

  watcher_free (leader->progress_watcher);
  leader->progress_watcher = NULL;
  leader->jobs_watcher
      = watcher_new (leader->store, KEYS_JOB_PREFIX, JOBS_WATCH_TIMEOUT_MS, &jobs_events, leader);
}

static const watcher_events_t progress_events = { progress_changed, progress_synced, watcher_lost };

static void
placement_changed (const store_item_t *item, void *data)
{
  leader_t *leader = data;

  if (strcmp (item->key, KEYS_SETTLED_STARTS) == 0)
    {
      if (!item->deleted)
        leader_load_settled (leader, item->value, item->value_bytes);
      return;
    }
  if (item->deleted || leader->inherited_placement_keys->len + 1 >= RESTORED_PLACEMENT_LIMIT)
    return;
  g_ptr_array_add (leader->inherited_placement_keys, g_strdup (item->key));
  g_ptr_array_add (leader->inherited_placement_values,
                   g_bytes_new (item->value, item->value_bytes));
}

static void
placements_synced (void *data)
{
  leader_t *leader = data;

  watcher_free (leader->placements_watcher);
  leader->placements_watcher = NULL;
  leader->progress_watcher = watcher_new (leader->store, KEYS_PROGRESS_PREFIX,
                                          JOBS_WATCH_TIMEOUT_MS, &progress_events, leader);
}

static const watcher_events_t placement_events
    = { placement_changed, placements_synced, watcher_lost };

/* The parts are read one after the other: side by side, they would keep the renewals of the lease
 * waiting on a slow link. */
void
leader_start_loading (leader_t *leader)
{
  leader->placements_watcher = watcher_new (leader->store, KEYS_PLACEMENT_PREFIX,
                                            JOBS_WATCH_TIMEOUT_MS, &placement_events, leader);
}
