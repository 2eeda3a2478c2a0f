#define LOG_MODULE "jobs"

#include "work/jobs.h"

#include "base/log.h"
#include "work/jobs_state.h"

#include <string.h>

/* The takeover of a job, while its record with the new owner is being written. */
typedef struct
{
  jobs_t *jobs;
  job_t *job;
} takeover_t;

static const guint step_interval_ms = 50;
static const guint renewal_steps = 10;        /* the next group of workers is renewed every 0.5 s */
static const guint expiry_check_steps = 20;   /* a check for expired leases every second */
static const guint takeover_check_steps = 40; /* a check for jobs to take over every 2 s */
static const gint64 takeover_timeout_us = 3 * G_USEC_PER_SEC;
/* Jobs that ended longer ago are dropped from memory; queries then read their records. */
static const gint64 ended_job_retention_ms = 600 * 1000;

static void
tracked_worker_free (gpointer data)
{
  tracked_worker_t *tracked = data;

  g_free (tracked->address);
  g_free (tracked);
}

static void
pending_task_free (gpointer data)
{
  pending_task_t *pending = data;

  g_free (pending->job_id);
  g_free (pending);
}

static void
takeover_recorded (batch_result_t result, const kv_entry_t *current G_GNUC_UNUSED, void *data)
{
  takeover_t *takeover = data;
  jobs_t *jobs = takeover->jobs;
  g_autoptr (job_t) job = takeover->job;
  gint64 now_us = g_get_monotonic_time ();

  g_free (takeover);
  if (result != BATCH_APPLIED || g_hash_table_contains (jobs->jobs, job->id))
    return;
  LOG_INFO ("job_taken_over", "job=%s", job->id);
  for (guint i = 0; i < job->task_count; i++)
    job->tasks[i].lease_until_us = task_lease_expiry_us (now_us, TASKS_LEASE_MS * 1000);
  jobs->open_count++;
  g_hash_table_insert (jobs->jobs, job->id, job);
  g_steal_pointer (&job);
}

/* Takes over an open job of this zone whose owner is no longer in the VM list. */
static void
take_over_if_orphaned (jobs_t *jobs, const kv_entry_t *entry)
{
  g_autoptr (job_t) job = job_from_record (entry->value, (gssize) entry->length);
  takeover_t *takeover;
  bool is_own;
  batch_op_t op = { .expect = KV_EXPECT_REVISION,
                    .revision = entry->mod_revision,
                    .deadline_us = g_get_monotonic_time () + takeover_timeout_us,
                    .done = takeover_recorded };

  if (job == NULL || job->state != JOB_ACCEPTED || strcmp (job->zone, jobs->zone) != 0
      || g_hash_table_contains (jobs->jobs, job->id))
    return;
  /* A job of this VM that is not in memory was accepted by an earlier process, which has certainly
   * ended because this one holds its address, or by this process in a write whose reply was lost.
   */
  is_own = strcmp (job->owner, jobs->self.vm) == 0;
  if (!is_own && member_list_find (jobs->member_list, job->owner) != NULL)
    return;
  g_free (job->owner);
  g_free (job->incarnation);
  job->owner = g_strdup (jobs->self.vm);
  job->incarnation = g_strdup (jobs->self.incarnation);
  takeover = g_new0 (takeover_t, 1);
  takeover->jobs = jobs;
  op.key = g_strdup (entry->key);
  op.value = job_to_record (job, ++jobs->record_sequence);
  op.data = takeover;
  takeover->job = g_steal_pointer (&job);
  batch_add (jobs->batch, &op);
}

static void
job_records_read (const kv_reply_t *reply, void *data)
{
  jobs_t *jobs = data;

  jobs->is_takeover_due = reply->status != KV_APPLIED;
  for (guint i = 0; i < reply->entries->len; i++)
    take_over_if_orphaned (jobs, g_ptr_array_index (reply->entries, i));
}

static gboolean
ended_before (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
  const job_t *job = value;

  return job->state != JOB_ACCEPTED && job->ended_ms < *(const gint64 *) data;
}

static void
drop_ended_jobs (jobs_t *jobs)
{
  gint64 oldest_ms = g_get_real_time () / 1000 - ended_job_retention_ms;

  g_hash_table_foreach_remove (jobs->jobs, ended_before, &oldest_ms);
}

static gboolean
step (gpointer data)
{
  jobs_t *jobs = data;
  gint64 now_us = g_get_monotonic_time ();

  jobs->step_count++;
  if (jobs->step_count % renewal_steps == 0)
    tasks_renew_leases (jobs, jobs->step_count / renewal_steps % TASKS_RENEW_GROUPS, now_us);
  if (jobs->step_count % expiry_check_steps == 0)
    {
      tasks_restart_expired (jobs, now_us);
      drop_ended_jobs (jobs);
    }
  tasks_place (jobs, now_us);
  if (jobs->is_takeover_due && jobs->step_count % takeover_check_steps == 0)
    {
      jobs->is_takeover_due = false;
      kv_range (jobs->kv, JOB_KEY_PREFIX, true, job_records_read, jobs);
    }
  return G_SOURCE_CONTINUE;
}

static void
job_free_value (gpointer data)
{
  job_free (data);
}

jobs_t *
jobs_new (kv_t *kv,
          batch_t *batch,
          worker_client_t *worker_client,
          metrics_t *metrics,
          const claimant_t *self,
          const char *zone)
{
  jobs_t *jobs = g_new0 (jobs_t, 1);

  jobs->kv = kv;
  jobs->batch = batch;
  jobs->worker_client = worker_client;
  jobs->metrics = metrics;
  jobs->self = *self;
  jobs->zone = g_strdup (zone);
  jobs->placer = placer_new ();
  jobs->tracked_workers = g_ptr_array_new_with_free_func (tracked_worker_free);
  jobs->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, job_free_value);
  jobs->held_racks = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_queue_init (&jobs->pending_tasks);
  jobs->step_timer = g_timeout_add (step_interval_ms, step, jobs);
  return jobs;
}

void
jobs_free (jobs_t *jobs)
{
  if (jobs == NULL)
    return;
  g_source_remove (jobs->step_timer);
  g_queue_clear_full (&jobs->pending_tasks, pending_task_free);
  g_hash_table_unref (jobs->jobs);
  g_hash_table_unref (jobs->held_racks);
  g_ptr_array_unref (jobs->tracked_workers);
  placer_free (jobs->placer);
  member_list_free (jobs->member_list);
  g_free (jobs->zone);
  g_free (jobs);
}

static void
update_worker (jobs_t *jobs, const member_t *member)
{
  resources_t total = { .cpu_milli = member->cpu_milli,
                        .memory_mb = member->memory_mb,
                        .accelerators = member->accelerators };
  int index = placer_update (jobs->placer, member->id, member->rack, &total);
  tracked_worker_t *tracked;

  while (jobs->tracked_workers->len <= (guint) index)
    {
      tracked = g_new0 (tracked_worker_t, 1);
      list_init (&tracked->tasks);
      g_ptr_array_add (jobs->tracked_workers, tracked);
    }
  tracked = jobs_tracked_worker (jobs, index);
  g_free (tracked->address);
  tracked->address = g_strdup (member->address);
  tracked->is_leaving = member->leaving;
  tasks_update_usable (jobs, index);
}

void
jobs_set_member_list (jobs_t *jobs, const member_list_t *list)
{
  member_list_free (jobs->member_list);
  jobs->member_list = member_list_new (list->revision);
  g_array_append_vals (jobs->member_list->members, list->members->data, list->members->len);
  jobs->is_takeover_due = true;
  for (guint i = 0; i < list->members->len; i++)
    {
      const member_t *member = &g_array_index (list->members, member_t, i);

      if (member->role == MEMBER_WORKER && strcmp (member->zone, jobs->zone) == 0)
        update_worker (jobs, member);
    }
  for (guint i = 0; i < jobs->placer->workers->len; i++)
    {
      worker_t *worker = placer_worker (jobs->placer, (int) i);

      if (member_list_find (list, worker->id) != NULL)
        continue;
      worker->usable = false;
      worker_client_remove (jobs->worker_client, jobs_tracked_worker (jobs, (int) i)->address);
    }
}

void
jobs_set_rack_claims (jobs_t *jobs, const GArray *table)
{
  g_autoptr (GHashTable) held = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < table->len; i++)
    {
      const claim_t *claim = &g_array_index (table, claim_t, i);

      if (claim_is_held_by (claim, &jobs->self))
        g_hash_table_add (held, g_strdup (claim->name));
    }
  for (guint i = 0; i < jobs->placer->workers->len; i++)
    {
      worker_t *worker = placer_worker (jobs->placer, (int) i);

      /* Workers of a newly held rack are used only after they have reported what runs there. */
      if (g_hash_table_contains (held, worker->rack)
          && g_hash_table_contains (jobs->held_racks, worker->rack))
        continue;
      worker->usable = false;
      jobs_tracked_worker (jobs, (int) i)->is_reconciled = false;
    }
  g_hash_table_unref (jobs->held_racks);
  jobs->held_racks = g_steal_pointer (&held);
}

guint
jobs_unconfirmed_task_count (const jobs_t *jobs)
{
  guint unconfirmed = 0;

  for (guint i = 0; i < jobs->tracked_workers->len; i++)
    {
      const list_node_t *head = &jobs_tracked_worker (jobs, (int) i)->tasks;

      if (g_hash_table_contains (jobs->held_racks, placer_worker (jobs->placer, (int) i)->rack))
        continue;
      for (const list_node_t *node = head->next; node != head; node = node->next)
        {
          const task_t *task = LIST_ENTRY (node, task_t, worker_node);

          unconfirmed += task->state == TASK_STARTING || task->state == TASK_STOPPING;
        }
    }
  return unconfirmed;
}

guint
jobs_open_count (const jobs_t *jobs)
{
  return jobs->open_count;
}

guint
jobs_running_task_count (const jobs_t *jobs)
{
  guint running = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, jobs->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const job_t *job = value;

      for (guint i = 0; i < job->task_count; i++)
        running += job->tasks[i].state == TASK_RUNNING;
    }
  return running;
}

guint
jobs_usable_worker_count (const jobs_t *jobs)
{
  guint usable = 0;

  for (guint i = 0; i < jobs->placer->workers->len; i++)
    usable += placer_worker (jobs->placer, (int) i)->usable;
  return usable;
}
