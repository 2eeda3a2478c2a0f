#include "decide/scheduler.h"

#include "decide/scheduler_state.h"

#include <string.h>

static void
queue_free (gpointer data)
{
  queue_t *queue = data;

  g_free (queue->name);
  g_free (queue->service);
  g_free (queue);
}

static void
advice_call_free (gpointer data)
{
  advice_call_t *call = data;

  g_ptr_array_unref (call->executors);
  g_free (call);
}

cell_t *
cell_new (
    const cell_limits_t *limits, guint epoch, gint64 now_us, const cell_ops_t *ops, void *data)
{
  cell_t *cell = g_new0 (cell_t, 1);

  cell->limits = *limits;
  cell->epoch = epoch;
  cell->started_us = now_us;
  cell->ops = ops;
  cell->data = data;
  cell->queues = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, queue_free);
  cell->jobs = g_hash_table_new (g_str_hash, g_str_equal);
  cell->executors = g_hash_table_new (g_str_hash, g_str_equal);
  cell->executor_list = g_ptr_array_new_with_free_func (cell_executor_free);
  cell->runs = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, NULL);
  cell->advice_calls
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, advice_call_free);
  cell->placements = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  cell->planned = g_array_new (FALSE, FALSE, sizeof (run_t *));
  list_init (&cell->job_list);
  cell->next_order = 1;
  cell->next_placement = CELL_OWN_PLACEMENTS + 1;
  cell->batch = 1;
  return cell;
}

static void
steps_free (job_t *job)
{
  for (guint i = 0; i < job->step_total; i++)
    {
      step_t *step = &job->steps[i];

      for (guint t = 0; t < step->spec->count; t++)
        g_free (step->tasks[t].checkpoint);
      g_free (step->tasks);
      g_clear_pointer (&step->advice, g_hash_table_unref);
    }
  g_free (job->steps);
}

static void
job_free (job_t *job)
{
  list_remove (&job->node);
  steps_free (job);
  job_spec_free (job->spec);
  g_free (job);
}

void
cell_free (cell_t *cell)
{
  if (cell == NULL)
    return;
  /* Executors own their runs. */
  g_hash_table_unref (cell->runs);
  g_ptr_array_unref (cell->executor_list);
  g_hash_table_unref (cell->executors);
  while (!list_is_empty (&cell->job_list))
    job_free (LIST_ENTRY (cell->job_list.next, job_t, node));
  g_hash_table_unref (cell->jobs);
  g_hash_table_unref (cell->queues);
  g_hash_table_unref (cell->advice_calls);
  g_hash_table_unref (cell->placements);
  g_array_unref (cell->planned);
  g_free (cell);
}

void
cell_note (const cell_t *cell, const char *event, const char *format, ...)
{
  char pairs[320];
  va_list args;

  va_start (args, format);
  (void) g_vsnprintf (pairs, sizeof pairs, format, args);
  va_end (args);
  cell->ops->note (event, pairs, cell->data);
}

job_t *
cell_find_job (const cell_t *cell, const char *id)
{
  return g_hash_table_lookup (cell->jobs, id);
}

task_t *
cell_find_task (const cell_t *cell, const task_ref_t *ref)
{
  job_t *job = cell_find_job (cell, ref->job);
  guint64 index;

  if (job == NULL || ref->step >= job->spec->step_count)
    return NULL;
  index = (guint64) ref->occurrence * job->spec->step_count + ref->step;
  if (index >= job->step_total || ref->index >= job->steps[index].spec->count)
    return NULL;
  return &job->steps[index].tasks[ref->index];
}

task_ref_t
cell_task_ref (const task_t *task)
{
  task_ref_t ref = {
    .occurrence = task->step->occurrence,
    .step = task->step->index,
    .index = task->index,
  };

  memcpy (ref.job, task->step->job->spec->id, sizeof ref.job);
  return ref;
}

static queue_t *
ensure_queue (cell_t *cell, const char *name)
{
  queue_t *queue = g_hash_table_lookup (cell->queues, name);

  if (queue != NULL)
    return queue;
  queue = g_new0 (queue_t, 1);
  queue->name = g_strdup (name);
  queue->priority = G_MAXUINT;
  queue->attempts = 3;
  queue->stretch = 4.0;
  queue->allowed_share = 0.4;
  queue->work_ratio = 1.0;
  g_hash_table_insert (cell->queues, queue->name, queue);
  return queue;
}

void
cell_set_desired (cell_t *cell, const desired_t *desired)
{
  GHashTableIter iter;
  gpointer value;

  cell->desired = desired;
  g_hash_table_iter_init (&iter, cell->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((queue_t *) value)->is_routed = false;
  for (guint i = 0; i < desired->queues->len; i++)
    {
      const queue_spec_t *spec = g_ptr_array_index (desired->queues, i);
      queue_t *queue = ensure_queue (cell, spec->name);

      g_free (queue->service);
      queue->service = g_strdup (spec->service);
      queue->priority = spec->priority;
      queue->attempts = MAX (spec->attempts, 1);
      queue->stretch = spec->stretch;
      queue->objective_us = spec->objective_us;
      queue->advice = spec->advice;
      queue->is_routed = true;
    }
}

bool
cell_task_wants_run (const task_t *task)
{
  const job_t *job = task->step->job;

  return !task->is_done && !job->is_ended && list_is_empty (&task->runs);
}

void
cell_update_wanting (step_t *step)
{
  step->unplaced_count = 0;
  for (guint i = 0; i < step->spec->count; i++)
    step->unplaced_count += cell_task_wants_run (&step->tasks[i]);
}

static void
update_job_wanting (job_t *job)
{
  for (guint i = 0; i < job->step_total; i++)
    cell_update_wanting (&job->steps[i]);
}

static void
init_steps (job_t *job, gint64 now_us, gint64 unix_ms)
{
  const job_spec_t *spec = job->spec;
  guint times = MAX (spec->times, 1);

  job->step_total = times * spec->step_count;
  job->steps = g_new0 (step_t, job->step_total);
  for (guint i = 0; i < job->step_total; i++)
    {
      step_t *step = &job->steps[i];
      guint occurrence = i / spec->step_count;

      step->job = job;
      step->occurrence = occurrence;
      step->index = i % spec->step_count;
      step->spec = &spec->steps[step->index];
      step->due_us = now_us;
      if (spec->times > 0)
        step->due_us += (spec->start_at_ms + occurrence * spec->interval_ms - unix_ms) * 1000;
      step->tasks = g_new0 (task_t, step->spec->count);
      for (guint t = 0; t < step->spec->count; t++)
        {
          step->tasks[t].step = step;
          step->tasks[t].index = t;
          list_init (&step->tasks[t].runs);
        }
    }
}

static void
apply_progress (const cell_t *cell, job_t *job, const task_progress_t *progress)
{
  task_ref_t ref
      = { .occurrence = progress->occurrence, .step = progress->step, .index = progress->index };
  task_t *task;

  memcpy (ref.job, job->spec->id, sizeof ref.job);
  task = cell_find_task (cell, &ref);
  if (task == NULL)
    return;
  task->failures = progress->failures;
  task->failed_run_count = MIN (progress->failed_run_count, FAILED_RUNS_KEPT);
  memcpy (task->failed_runs, progress->failed_runs, sizeof task->failed_runs);
  job->was_started = true;
  if (progress->is_done && !task->is_done)
    {
      task->is_done = true;
      task->step->done_count++;
    }
}

/* Earlier leaders may have used any run number below this one. */
static void
number_above_earlier_claims (const cell_t *cell, job_t *job)
{
  for (guint i = 0; i < job->step_total; i++)
    {
      for (guint t = 0; t < job->steps[i].spec->count; t++)
        job->steps[i].tasks[t].last_run = cell->epoch * RUNS_PER_EPOCH;
    }
}

static void finish_if_done (cell_t *cell, job_t *job);

bool
cell_add_job (cell_t *cell,
              job_spec_t *spec,
              const task_progress_t *progress,
              guint progress_count,
              bool may_have_started,
              gint64 now_us,
              gint64 unix_ms)
{
  gint64 age_us = (unix_ms - spec->accepted_ms) * 1000;
  job_t *job;

  if (cell_find_job (cell, spec->id) != NULL || job_spec_fault (spec) != NULL)
    {
      job_spec_free (spec);
      return false;
    }
  job = g_new0 (job_t, 1);
  job->spec = spec;
  job->queue = ensure_queue (cell, spec->queue);
  if (job->queue->service == NULL)
    job->queue->service = g_strdup (spec->service);
  job->accepted_us = now_us - CLAMP (age_us, 0, (gint64) 600 * G_USEC_PER_SEC);
  init_steps (job, now_us, unix_ms);
  list_push_back (&cell->job_list, &job->node);
  g_hash_table_insert (cell->jobs, spec->id, job);
  if (may_have_started)
    number_above_earlier_claims (cell, job);
  for (guint i = 0; i < progress_count; i++)
    apply_progress (cell, job, &progress[i]);
  if (!job->was_started)
    job->queue->pending_jobs++;
  update_job_wanting (job);
  finish_if_done (cell, job);
  return true;
}

void
cell_mark_dirty (cell_t *cell, job_t *job)
{
  if (job->is_dirty || job->is_ended)
    return;
  job->is_dirty = true;
  cell->ops->save (job->spec->id, cell->data);
}

static void
end_job (cell_t *cell, job_t *job, job_state_t state)
{
  if (job->is_ended)
    return;
  if (!job->was_started)
    job->queue->pending_jobs--;
  job->was_started = true;
  job->state = state;
  job->is_ended = true;
  for (guint i = 0; i < job->step_total; i++)
    {
      job->steps[i].unplaced_count = 0;
      cell_drop_advice (cell, &job->steps[i]);
    }
  cell_note (cell, "job_ended", "job=%s queue=%s state=%s", job->spec->id, job->queue->name,
             job_state_name (state));
  cell->ops->finish (job->spec->id, state, cell->data);
}

static void
stop_all (cell_t *cell, job_t *job, gint64 now_us)
{
  for (guint i = 0; i < job->step_total; i++)
    {
      for (guint t = 0; t < job->steps[i].spec->count; t++)
        {
          task_t *task = &job->steps[i].tasks[t];
          list_node_t *next;

          for (list_node_t *node = task->runs.next; node != &task->runs; node = next)
            {
              next = node->next;
              cell_run_stop (cell, LIST_ENTRY (node, run_t, by_task), now_us);
            }
        }
    }
}

static void
finish_if_done (cell_t *cell, job_t *job)
{
  for (guint i = 0; i < job->step_total; i++)
    {
      if (job->steps[i].done_count < job->steps[i].spec->count)
        return;
    }
  end_job (cell, job, JOB_SUCCEEDED);
}

static void
mark_task_done (task_t *task)
{
  if (task->is_done)
    return;
  task->is_done = true;
  task->step->done_count++;
}

void
cell_task_done (cell_t *cell, task_t *task, gint64 now_us)
{
  step_t *step = task->step;
  job_t *job = step->job;

  if (task->is_done || job->is_ended || step->spec->long_running)
    return;
  mark_task_done (task);
  /* When one member of a gang is done, all of them are. */
  for (guint i = 0; step->spec->gang && i < step->spec->count; i++)
    mark_task_done (&step->tasks[i]);
  cell_update_wanting (step);
  if (step->done_count == step->spec->count)
    cell_drop_advice (cell, step);
  /* Stops the other runs of a speculative task. */
  for (list_node_t *node = task->runs.next; step->spec->speculative && node != &task->runs;)
    {
      run_t *run = LIST_ENTRY (node, run_t, by_task);

      node = node->next;
      cell_run_stop (cell, run, now_us);
    }
  cell_mark_dirty (cell, job);
  finish_if_done (cell, job);
}

/* Counts each failed run once, whatever the order in which ends are reported: the end on an
 * executor that was unreachable may be reported after those of later runs. */
static bool
count_failure (task_t *task, guint run)
{
  for (guint i = 0; i < task->failed_run_count; i++)
    {
      if (task->failed_runs[i] == run)
        return false;
    }
  if (task->failed_run_count == FAILED_RUNS_KEPT)
    {
      memmove (task->failed_runs, task->failed_runs + 1,
               (FAILED_RUNS_KEPT - 1) * sizeof task->failed_runs[0]);
      task->failed_run_count--;
    }
  task->failed_runs[task->failed_run_count++] = run;
  task->failures++;
  return true;
}

void
cell_task_failed (cell_t *cell, task_t *task, guint run, gint64 now_us)
{
  step_t *step = task->step;
  job_t *job = step->job;
  /* A gang fails as a whole, once per run number: its first task keeps the count. */
  task_t *counted = step->spec->gang ? &step->tasks[0] : task;

  if (task->is_done || job->is_ended || step->spec->long_running)
    return;
  if (!count_failure (counted, run))
    return;
  cell_mark_dirty (cell, job);
  if (counted->failures < job->queue->attempts)
    return;
  end_job (cell, job, JOB_FAILED);
  stop_all (cell, job, now_us);
}

bool
cell_cancel (cell_t *cell, const char *id, gint64 now_us)
{
  job_t *job = cell_find_job (cell, id);

  if (job == NULL)
    return false;
  end_job (cell, job, JOB_CANCELLED);
  stop_all (cell, job, now_us);
  return true;
}

/* Frees a job if its end is stored and it has no runs. */
void
cell_release_job (cell_t *cell, job_t *job)
{
  if (!job->is_stored_end || job->run_count > 0)
    return;
  for (guint i = 0; i < job->step_total; i++)
    cell_drop_advice (cell, &job->steps[i]);
  g_hash_table_remove (cell->jobs, job->spec->id);
  job_free (job);
}

void
cell_forget (cell_t *cell, const char *id)
{
  job_t *job = cell_find_job (cell, id);

  if (job == NULL)
    return;
  job->is_stored_end = true;
  cell_release_job (cell, job);
}

bool
cell_job_state (const cell_t *cell, const char *id, job_state_t *state)
{
  const job_t *job = cell_find_job (cell, id);

  if (job == NULL)
    return false;
  if (job->is_ended && job->is_stored_end)
    *state = job->state;
  else
    *state = job->was_started ? JOB_RUNNING : JOB_QUEUED;
  return true;
}

bool
cell_job_times (const cell_t *cell, const char *id, job_times_t *times)
{
  const job_t *job = cell_find_job (cell, id);

  if (job == NULL)
    return false;
  times->queue = job->queue->name;
  times->accepted_us = job->accepted_us;
  times->began_us = job->began_us;
  return true;
}

guint
cell_pending (const cell_t *cell, const char *queue)
{
  const queue_t *found = g_hash_table_lookup (cell->queues, queue);

  return found != NULL ? found->pending_jobs : 0;
}

void
cell_progress (const cell_t *cell, const char *id, cell_progress_t visit, void *data)
{
  job_t *job = cell_find_job (cell, id);

  if (job == NULL)
    return;
  for (guint i = 0; i < job->step_total; i++)
    {
      const step_t *step = &job->steps[i];

      for (guint t = 0; t < step->spec->count; t++)
        {
          const task_t *task = &step->tasks[t];
          task_progress_t progress = {
            .occurrence = step->occurrence,
            .step = step->index,
            .index = t,
            .is_done = task->is_done,
            .failures = task->failures,
            .failed_run_count = task->failed_run_count,
          };

          memcpy (progress.failed_runs, task->failed_runs, sizeof progress.failed_runs);
          if (progress.is_done || progress.failures > 0)
            visit (&progress, data);
        }
    }
}

guint64
cell_batch_begin (cell_t *cell)
{
  for (list_node_t *node = cell->job_list.next; node != &cell->job_list; node = node->next)
    LIST_ENTRY (node, job_t, node)->is_dirty = false;
  return cell->batch++;
}

static void
acknowledge_stored (cell_t *cell, executor_t *executor)
{
  pending_ack_t *ack = g_queue_peek_head (&executor->acks);
  guint64 before = executor->acked;

  while (ack != NULL && ack->batch <= cell->batch_done)
    {
      executor->acked = MAX (executor->acked, ack->number);
      g_free (g_queue_pop_head (&executor->acks));
      ack = g_queue_peek_head (&executor->acks);
    }
  if (executor->acked != before)
    cell->ops->acknowledge (executor->id, executor->acked, executor->mark, cell->data);
}

void
cell_batch_done (cell_t *cell, guint64 batch)
{
  cell->batch_done = MAX (cell->batch_done, batch);
  for (guint i = 0; i < cell->executor_list->len; i++)
    acknowledge_stored (cell, g_ptr_array_index (cell->executor_list, i));
}

void
cell_close (cell_t *cell)
{
  cell->is_closed = true;
}

void
cell_stats (const cell_t *cell, cell_stats_t *stats)
{
  memset (stats, 0, sizeof *stats);
  stats->jobs = g_hash_table_size (cell->jobs);
  stats->runs = cell->run_total;
  stats->advice_calls = g_hash_table_size (cell->advice_calls);
  for (list_node_t *node = cell->job_list.next; node != &cell->job_list; node = node->next)
    {
      const job_t *job = LIST_ENTRY (node, job_t, node);

      for (guint i = 0; i < job->step_total; i++)
        stats->waiting_tasks += job->steps[i].unplaced_count;
    }
  for (guint i = 0; i < cell->executor_list->len; i++)
    {
      const executor_t *executor = g_ptr_array_index (cell->executor_list, i);

      stats->executors++;
      stats->cpu_used_milli += executor->used.cpu_milli;
      if (executor->is_listed && executor->has_reported && !executor->is_draining)
        {
          stats->executors_usable++;
          stats->cpu_milli += executor->capacity.cpu_milli;
        }
    }
}
