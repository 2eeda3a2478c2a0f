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
  JOBS_PAUSE_MS = 400, /* VMs tell of new jobs directly; this finds the rest */
  ENDED_MAX = 20000    /* ended jobs remembered; older ones are read from the store */
};

static const gint64 ended_kept_us = 300 * G_USEC_PER_SEC;

/* ---- What the store holds. */

static void
forget_ended (decider_t *decider, gint64 now_us)
{
  const char *id;

  while ((id = g_queue_peek_head (&decider->ended_order)) != NULL)
    {
      const ended_t *ended = g_hash_table_lookup (decider->ended, id);

      if (ended != NULL && now_us - ended->at_us < ended_kept_us
          && g_queue_get_length (&decider->ended_order) <= ENDED_MAX)
        return;
      g_hash_table_remove (decider->ended, id);
      g_free (g_queue_pop_head (&decider->ended_order));
    }
}

/* Latencies of a job that has ended, by its queue and outcome. */
static void
observe_job (decider_t *decider, const char *id, job_state_t state, gint64 now_us)
{
  job_times_t times;
  latency_set_t *set;

  if (!cell_job_times (decider->cell, id, &times))
    return;
  set = metrics_latency (decider->metrics, "jobs", job_state_name (state), times.queue);
  histogram_add (&set->total, (guint64) MAX (now_us - times.accepted_us, 0));
  if (times.began_us == 0)
    return;
  histogram_add (&set->waiting, (guint64) MAX (times.began_us - times.accepted_us, 0));
  histogram_add (&set->service, (guint64) MAX (now_us - times.began_us, 0));
}

static void
job_end_stored (const char *id, job_state_t state, void *data)
{
  decider_t *decider = data;
  ended_t *ended = g_new0 (ended_t, 1);

  ended->state = state;
  ended->at_us = clock_now_us ();
  g_hash_table_replace (decider->ended, g_strdup (id), ended);
  g_queue_push_tail (&decider->ended_order, g_strdup (id));
  forget_ended (decider, ended->at_us);
  LOG_INFO ("job_end_stored", "job=%s state=%s", id, job_state_name (state));
  observe_job (decider, id, state, ended->at_us);
  cell_forget (decider->cell, id);
}

static void
batch_stored (guint64 batch, void *data)
{
  decider_t *decider = data;

  cell_batch_done (decider->cell, batch);
  decider_schedule_step (decider);
  if (decider->closed != NULL && recorder_is_idle (decider->recorder))
    {
      void (*closed) (void *data) = decider->closed;

      decider->closed = NULL;
      closed (decider->closed_data);
    }
}

static void
record_refused (void *data)
{
  decider_depose (data, "write_refused");
}

const recorder_events_t decider_recorder_events = { job_end_stored, batch_stored, record_refused };

static job_spec_t *
job_of_item (const store_item_t *item, const char *id)
{
  job_spec_t *spec = codec_unpack_job (item->value, item->value_bytes);

  if (spec != NULL && strcmp (spec->id, id) == 0)
    return spec;
  LOG_WARN ("bad_record", "key=%s", item->key);
  job_spec_free (spec);
  return NULL;
}

static void
cancel_found (decider_t *decider, const char *id)
{
  g_autofree char *job = g_strndup (id, strlen (id) - strlen (KEYS_CANCEL_SUFFIX));

  if (decider->is_loaded)
    (void) cell_cancel (decider->cell, job, clock_now_us ());
  else
    (void) g_hash_table_add (decider->cancels, g_steal_pointer (&job));
}

static void
job_changed (const store_item_t *item, void *data)
{
  decider_t *decider = data;
  const char *id = item->key + strlen (KEYS_JOBS);
  job_spec_t *spec;

  if (item->deleted || strlen (id) < JOB_ID_BYTES - 1)
    return;
  decider_schedule_step (decider);
  if (g_str_has_suffix (id, KEYS_CANCEL_SUFFIX))
    {
      cancel_found (decider, id);
      return;
    }
  if (g_hash_table_lookup (decider->ended, id) != NULL)
    return;
  spec = job_of_item (item, id);
  if (spec == NULL)
    return;
  if (!decider->is_loaded)
    g_hash_table_replace (decider->found, g_strdup (id), spec);
  else if (cell_add_job (decider->cell, spec, NULL, 0, false, clock_now_us (), clock_unix_ms ()))
    LOG_INFO ("job_found", "job=%s", id);
}

static void
load_job (decider_t *decider, job_spec_t *spec)
{
  const GArray *progress = g_hash_table_lookup (decider->progress, spec->id);

  if (progress != NULL)
    recorder_has_progress (decider->recorder, spec->id);
  (void) cell_add_job (decider->cell, spec,
                       progress != NULL ? (const task_progress_t *) (void *) progress->data : NULL,
                       progress != NULL ? progress->len : 0, true, clock_now_us (),
                       clock_unix_ms ());
}

static void registry_changed (const store_item_t *item, void *data);
static void registry_synced (void *data);
static void feed_lost (void *data);

const mirror_events_t decider_registry_events = { registry_changed, registry_synced, feed_lost };

static void
load_placement (decider_t *decider, guint64 number, GBytes *value)
{
  gsize size;
  const guint8 *bytes = g_bytes_get_data (value, &size);
  Mimosastair__Placement *message = mimosastair__placement__unpack (NULL, size, bytes);
  g_autofree placed_run_t *runs = NULL;
  guint count = 0;

  if (message == NULL)
    {
      LOG_WARN ("bad_record", "key=%s",
                (const char *) g_ptr_array_index (decider->former_placements, (guint) number - 1));
      return;
    }
  runs = g_new0 (placed_run_t, message->n_runs);
  for (gsize i = 0; i < message->n_runs; i++)
    {
      const Mimosastair__PlacedRun *row = message->runs[i];

      if (!codec_read_task (row->task, &runs[count].task))
        continue;
      runs[count].run = row->run;
      runs[count].executor = row->executor;
      count++;
    }
  cell_restore_placement (decider->cell, number, runs, count, clock_now_us ());
  mimosastair__placement__free_unpacked (message, NULL);
}

/* Puts together what was read, once all of it has come. */
static void
finish_loading (decider_t *decider)
{
  GHashTableIter iter;
  gpointer id;
  gpointer spec;
  cell_stats_t stats;

  if (decider->is_loaded || !decider->are_placements_read || !decider->is_progress_read
      || !decider->are_jobs_read)
    return;
  g_hash_table_iter_init (&iter, decider->found);
  while (g_hash_table_iter_next (&iter, &id, &spec))
    {
      g_hash_table_iter_steal (&iter);
      load_job (decider, spec);
      g_free (id);
    }
  decider->is_loaded = true;
  for (guint i = 0; i < decider->former_values->len; i++)
    load_placement (decider, i + 1, g_ptr_array_index (decider->former_values, i));
  g_ptr_array_set_size (decider->former_values, 0);
  g_hash_table_iter_init (&iter, decider->cancels);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    (void) cell_cancel (decider->cell, id, clock_now_us ());
  g_hash_table_remove_all (decider->cancels);
  g_hash_table_remove_all (decider->progress);
  mirror_set_pause (decider->jobs_mirror, JOBS_PAUSE_MS);
  cell_stats (decider->cell, &stats);
  LOG_INFO ("decider_loaded", "jobs=%u after_ms=%" G_GINT64_FORMAT, stats.jobs,
            (clock_now_us () - decider->started_us) / 1000);
  decider->registry_mirror = mirror_new (decider->store, documents_registry_prefix,
                                         REGISTRY_WAIT_MS, &decider_registry_events, decider);
  decider_schedule_step (decider);
}

static void
jobs_synced (void *data)
{
  decider_t *decider = data;

  decider->are_jobs_read = true;
  finish_loading (decider);
}

static void
feed_lost (void *data G_GNUC_UNUSED)
{
  LOG_WARN ("store_lost", "of=decider");
}

const mirror_events_t decider_jobs_events = { job_changed, jobs_synced, feed_lost };

static void
registry_changed (const store_item_t *item, void *data)
{
  decider_t *decider = data;
  const char *id = item->key + strlen (documents_registry_prefix);
  registry_entry_t entry;
  error_info_t error = { .kind = ERROR_NONE };

  if (item->deleted)
    {
      cell_executor_unlisted (decider->cell, id, clock_now_us ());
      decider_schedule_step (decider);
      return;
    }
  if (documents_executor (id, (const char *) item->value, item->value_bytes, &entry, &error)
      && desired_service (decider->desired, entry.entry.service) != NULL)
    {
      cell_executor_listed (decider->cell, &entry.entry, clock_now_us ());
      {
        assignment_t *assignment = g_hash_table_lookup (decider->assignments, id);

        if (assignment != NULL && assignment->zone == NULL)
          assignment->zone = g_strdup (entry.entry.zone);
      }
    }
  else
    {
      LOG_WARN ("registry_entry_skipped", "executor=%s reason=\"%s\"", id,
                error.kind != ERROR_NONE ? error.detail : "unknown service");
      cell_executor_unlisted (decider->cell, id, clock_now_us ());
    }
  documents_executor_clear (&entry);
  decider_schedule_step (decider);
}

static void
registry_synced (void *data)
{
  decider_schedule_step (data);
}

static void
progress_changed (const store_item_t *item, void *data)
{
  decider_t *decider = data;

  if (!item->deleted)
    g_hash_table_replace (decider->progress, g_strdup (item->key + strlen (KEYS_PROGRESS)),
                          codec_unpack_progress (item->value, item->value_bytes));
}

static void
progress_synced (void *data)
{
  decider_t *decider = data;

  mirror_free (decider->progress_mirror);
  decider->progress_mirror = NULL;
  decider->is_progress_read = true;
  finish_loading (decider);
}

const mirror_events_t decider_progress_events = { progress_changed, progress_synced, feed_lost };

static void
placement_changed (const store_item_t *item, void *data)
{
  decider_t *decider = data;

  if (item->deleted || decider->former_placements->len + 1 >= CELL_OWN_PLACEMENTS)
    return;
  /* A read that began anew delivers them again. */
  for (guint i = 0; i < decider->former_placements->len; i++)
    {
      if (strcmp (g_ptr_array_index (decider->former_placements, i), item->key) == 0)
        return;
    }
  g_ptr_array_add (decider->former_placements, g_strdup (item->key));
  g_ptr_array_add (decider->former_values, g_bytes_new (item->value, item->value_bytes));
}

static void
placements_synced (void *data)
{
  decider_t *decider = data;

  mirror_free (decider->placements_mirror);
  decider->placements_mirror = NULL;
  decider->are_placements_read = true;
  finish_loading (decider);
}

const mirror_events_t decider_placement_events
    = { placement_changed, placements_synced, feed_lost };
