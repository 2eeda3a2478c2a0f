#define LOG_MODULE "jobs"

#include "work/jobs.h"

#include "base/log.h"
#include "work/jobs_state.h"

#include <string.h>

/* A job of a lost owner on its way to this VM. */
typedef struct
{
  jobs_t *jobs;
  job_t *job;
} adoption_t;

static const guint step_ms = 50;
static const guint bunch_steps = 10; /* reports are asked for in bunches, every 0.5 s */
static const guint lapse_steps = 20; /* a look for lapsed leases every second */
static const guint adopt_steps = 40; /* a look for lost owners every 2 s */
static const gint64 adopt_timeout_us = 3 * G_USEC_PER_SEC;
static const gint64 ended_kept_ms = 600 * 1000; /* then shown from its record */

static void
link_free (gpointer data)
{
  worker_link_t *link = data;

  g_free (link->address);
  g_free (link);
}

static void
pending_free (gpointer data)
{
  pending_t *pending = data;

  g_free (pending->job_id);
  g_free (pending);
}

static void
adopt_written (batch_result_t result, const kv_entry_t *current G_GNUC_UNUSED, void *data)
{
  adoption_t *adoption = data;
  jobs_t *jobs = adoption->jobs;
  g_autoptr (job_t) job = adoption->job;
  gint64 now_us = g_get_monotonic_time ();

  g_free (adoption);
  if (result != BATCH_APPLIED || g_hash_table_contains (jobs->jobs, job->id))
    return;
  LOG_INFO ("job_taken_over", "job=%s", job->id);
  for (guint i = 0; i < job->task_count; i++)
    job->tasks[i].lease_until_us = task_lease_expiry_us (now_us, TASKS_LEASE_MS * 1000);
  jobs->open++;
  g_hash_table_insert (jobs->jobs, job->id, job);
  g_steal_pointer (&job);
}

/* Takes over an open job of this zone whose owner is gone from the list. */
static void
consider (jobs_t *jobs, const kv_entry_t *entry)
{
  g_autoptr (job_t) job = job_from_record (entry->value, (gssize) entry->length);
  adoption_t *adoption;
  bool own;
  batch_op_t op = { .expect = KV_EXPECT_REVISION,
                    .revision = entry->mod_revision,
                    .deadline_us = g_get_monotonic_time () + adopt_timeout_us,
                    .done = adopt_written };

  if (job == NULL || job->state != JOB_ACCEPTED || strcmp (job->zone, jobs->zone) != 0
      || g_hash_table_contains (jobs->jobs, job->id))
    return;
  /* Of a former process of this VM, which has ended since this one holds its
   * address; or accepted by this one with the reply lost. */
  own = strcmp (job->owner, jobs->self.vm) == 0;
  if (!own && member_list_find (jobs->list, job->owner) != NULL)
    return;
  g_free (job->owner);
  g_free (job->incarnation);
  job->owner = g_strdup (jobs->self.vm);
  job->incarnation = g_strdup (jobs->self.incarnation);
  adoption = g_new0 (adoption_t, 1);
  adoption->jobs = jobs;
  op.key = g_strdup (entry->key);
  op.value = job_record_text (job, ++jobs->sequence);
  op.data = adoption;
  adoption->job = g_steal_pointer (&job);
  batch_add (jobs->batch, &op);
}

static void
adopt_read (const kv_reply_t *reply, void *data)
{
  jobs_t *jobs = data;

  jobs->adopting = reply->status != KV_APPLIED;
  for (guint i = 0; i < reply->entries->len; i++)
    consider (jobs, g_ptr_array_index (reply->entries, i));
}

static gboolean
is_old (gpointer key G_GNUC_UNUSED, gpointer value, gpointer data)
{
  const job_t *job = value;

  return job->state != JOB_ACCEPTED && job->ended_ms < *(const gint64 *) data;
}

/* Forgets jobs whose end has been recorded for a while. */
static void
forget_ended (jobs_t *jobs)
{
  gint64 oldest_ms = g_get_real_time () / 1000 - ended_kept_ms;

  g_hash_table_foreach_remove (jobs->jobs, is_old, &oldest_ms);
}

static gboolean
step (gpointer data)
{
  jobs_t *jobs = data;
  gint64 now_us = g_get_monotonic_time ();

  jobs->step++;
  if (jobs->step % bunch_steps == 0)
    tasks_renew (jobs, jobs->step / bunch_steps % TASKS_RENEW_BUNCHES, now_us);
  if (jobs->step % lapse_steps == 0)
    {
      tasks_restart_lapsed (jobs, now_us);
      forget_ended (jobs);
    }
  tasks_place (jobs, now_us);
  if (jobs->adopting && jobs->step % adopt_steps == 0)
    {
      jobs->adopting = false;
      kv_range (jobs->kv, JOB_PREFIX, true, adopt_read, jobs);
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
          workers_t *workers,
          metrics_t *metrics,
          const claimant_t *self,
          const char *zone)
{
  jobs_t *jobs = g_new0 (jobs_t, 1);

  jobs->kv = kv;
  jobs->batch = batch;
  jobs->workers = workers;
  jobs->metrics = metrics;
  jobs->self = *self;
  jobs->zone = g_strdup (zone);
  jobs->placer = placer_new ();
  jobs->links = g_ptr_array_new_with_free_func (link_free);
  jobs->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, job_free_value);
  jobs->held = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_queue_init (&jobs->pending);
  jobs->timer = g_timeout_add (step_ms, step, jobs);
  return jobs;
}

void
jobs_free (jobs_t *jobs)
{
  if (jobs == NULL)
    return;
  g_source_remove (jobs->timer);
  g_queue_clear_full (&jobs->pending, pending_free);
  g_hash_table_unref (jobs->jobs);
  g_hash_table_unref (jobs->held);
  g_ptr_array_unref (jobs->links);
  placer_free (jobs->placer);
  member_list_free (jobs->list);
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
  worker_link_t *link;

  while (jobs->links->len <= (guint) index)
    {
      link = g_new0 (worker_link_t, 1);
      list_init (&link->tasks);
      g_ptr_array_add (jobs->links, link);
    }
  link = jobs_link (jobs, index);
  g_free (link->address);
  link->address = g_strdup (member->address);
  link->leaving = member->leaving;
  tasks_update_usable (jobs, index);
}

void
jobs_set_list (jobs_t *jobs, const member_list_t *list)
{
  member_list_free (jobs->list);
  jobs->list = member_list_new (list->revision);
  g_array_append_vals (jobs->list->members, list->members->data, list->members->len);
  jobs->adopting = true;
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
      workers_forget (jobs->workers, jobs_link (jobs, (int) i)->address);
    }
}

void
jobs_set_racks (jobs_t *jobs, const GArray *table)
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

      /* A rack newly held is used once its workers have said what runs there. */
      if (g_hash_table_contains (held, worker->rack)
          && g_hash_table_contains (jobs->held, worker->rack))
        continue;
      worker->usable = false;
      jobs_link (jobs, (int) i)->reported = false;
    }
  g_hash_table_unref (jobs->held);
  jobs->held = g_steal_pointer (&held);
}

guint
jobs_unsettled (const jobs_t *jobs)
{
  guint unsettled = 0;

  for (guint i = 0; i < jobs->links->len; i++)
    {
      const list_node_t *head = &jobs_link (jobs, (int) i)->tasks;

      if (g_hash_table_contains (jobs->held, placer_worker (jobs->placer, (int) i)->rack))
        continue;
      for (const list_node_t *node = head->next; node != head; node = node->next)
        {
          const task_t *task = LIST_ENTRY (node, task_t, worker_node);

          unsettled += task->state == TASK_STARTING || task->state == TASK_STOPPING;
        }
    }
  return unsettled;
}

guint
jobs_open (const jobs_t *jobs)
{
  return jobs->open;
}

guint
jobs_running_tasks (const jobs_t *jobs)
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
jobs_workers (const jobs_t *jobs)
{
  guint usable = 0;

  for (guint i = 0; i < jobs->placer->workers->len; i++)
    usable += placer_worker (jobs->placer, (int) i)->usable;
  return usable;
}
