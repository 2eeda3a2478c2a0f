#include "decide/scheduler.h"

#include "decide/scheduler_state.h"

#include <string.h>

static void
queue_free (gpointer data)
{
  queue_t *queue = data;

  g_free (queue->name);
  g_free (queue->service);
  runtime_model_free (queue->runtimes);
  g_free (queue);
}

static void
advice_call_free (gpointer data)
{
  advice_call_t *call = data;

  g_ptr_array_unref (call->executors);
  g_free (call->born);
  g_free (call);
}

scheduler_t *
scheduler_new (const scheduler_limits_t *limits,
               guint epoch,
               const scheduler_ops_t *ops,
               void *data)
{
  scheduler_t *scheduler = g_new0 (scheduler_t, 1);

  scheduler->limits = *limits;
  if (scheduler->limits.order == NULL)
    scheduler->limits.order = &queue_order_by_slack;
  scheduler->epoch = epoch;
  scheduler->ops = ops;
  scheduler->data = data;
  scheduler->accounts = workspace_accounts_new ();
  scheduler->queues = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, queue_free);
  scheduler->jobs = g_hash_table_new (g_str_hash, g_str_equal);
  scheduler->executors = g_hash_table_new (g_str_hash, g_str_equal);
  scheduler->executors_by_address = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  scheduler->executor_list = g_ptr_array_new_with_free_func (scheduler_executor_free);
  if (limits->learn_speeds)
    scheduler->speeds = executor_speeds_new ();
  scheduler->open_executors = g_ptr_array_new ();
  scheduler->touched = g_ptr_array_new ();
  scheduler->reserving = g_ptr_array_new ();
  list_init (&scheduler->acking);
  list_init (&scheduler->open_placements);
  scheduler->abandoned_starts = g_array_new (FALSE, FALSE, sizeof (abandoned_start_t));
  scheduler->may_former_repeat = epoch > 0;
  scheduler->may_repeat = epoch > 0;
  scheduler->runs_by_order = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, NULL);
  scheduler->advice_calls
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, advice_call_free);
  scheduler->placements = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  scheduler->planned = g_array_new (FALSE, FALSE, sizeof (run_t *));
  list_init (&scheduler->job_list);
  list_init (&scheduler->dirty_jobs);
  scheduler->next_order = 1;
  scheduler->next_placement = RESTORED_PLACEMENT_LIMIT + 1;
  scheduler->batch = 1;
  return scheduler;
}

static void
steps_free (scheduler_t *scheduler, job_t *job)
{
  for (guint i = 0; i < job->step_total; i++)
    {
      step_t *step = &job->steps[i];

      for (guint t = 0; t < step->spec->count; t++)
        g_free (step->tasks[t].checkpoint);
      g_free (step->tasks);
      scheduler_discard_advice (scheduler, step);
      scheduler_release_reservation (scheduler, step);
      executor_speed_runs_free (step->speed_runs);
      if (step->is_touched)
        (void) g_ptr_array_remove_fast (scheduler->touched, step);
    }
  g_free (job->steps);
}

gint64
scheduler_job_bytes (const job_spec_t *spec)
{
  gint64 times = MAX (spec->times, 1);
  gint64 bytes = (gint64) (sizeof (job_t) + sizeof (job_spec_t) + strlen (spec->spec));

  for (guint i = 0; i < spec->step_count; i++)
    bytes += (gint64) sizeof (step_spec_t)
             + times * ((gint64) sizeof (step_t) + spec->steps[i].count * (gint64) sizeof (task_t));
  return bytes;
}

gint64
scheduler_all_job_bytes (const scheduler_t *scheduler)
{
  return scheduler->job_bytes;
}

static void
job_free (scheduler_t *scheduler, job_t *job)
{
  scheduler->job_bytes -= scheduler_job_bytes (job->spec);
  list_remove (&job->node);
  list_remove (&job->dirty_node);
  steps_free (scheduler, job);
  workspace_account_remove_job (job->account);
  job_spec_free (job->spec);
  g_free (job);
}

void
scheduler_free (scheduler_t *scheduler)
{
  if (scheduler == NULL)
    return;
  while (!list_is_empty (&scheduler->job_list))
    job_free (scheduler, LIST_ENTRY (scheduler->job_list.next, job_t, node));
  g_hash_table_unref (scheduler->jobs);
  /* Executors own their runs. */
  g_hash_table_unref (scheduler->runs_by_order);
  g_ptr_array_unref (scheduler->executor_list);
  g_hash_table_unref (scheduler->executors_by_address);
  g_hash_table_unref (scheduler->executors);
  g_ptr_array_unref (scheduler->open_executors);
  g_ptr_array_unref (scheduler->touched);
  g_ptr_array_unref (scheduler->reserving);
  g_hash_table_unref (scheduler->queues);
  g_hash_table_unref (scheduler->advice_calls);
  g_hash_table_unref (scheduler->placements);
  g_array_unref (scheduler->abandoned_starts);
  g_array_unref (scheduler->planned);
  executor_speeds_free (scheduler->speeds);
  workspace_accounts_free (scheduler->accounts);
  g_free (scheduler);
}

void
scheduler_log (const scheduler_t *scheduler, const char *event, const char *format, ...)
{
  char pairs[320];
  va_list args;

  va_start (args, format);
  (void) g_vsnprintf (pairs, sizeof pairs, format, args);
  va_end (args);
  scheduler->ops->write_log (event, pairs, scheduler->data);
}

job_t *
scheduler_find_job (const scheduler_t *scheduler, const char *id)
{
  return g_hash_table_lookup (scheduler->jobs, id);
}

task_t *
scheduler_find_task (const scheduler_t *scheduler, const task_ref_t *ref)
{
  job_t *job = scheduler_find_job (scheduler, ref->job);
  guint64 index;

  if (job == NULL || ref->step >= job->spec->step_count)
    return NULL;
  index = (guint64) ref->occurrence * job->spec->step_count + ref->step;
  if (index >= job->step_total || ref->index >= job->steps[index].spec->count)
    return NULL;
  return &job->steps[index].tasks[ref->index];
}

task_ref_t
scheduler_task_ref (const task_t *task)
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
ensure_queue (scheduler_t *scheduler, const char *name)
{
  queue_t *queue = g_hash_table_lookup (scheduler->queues, name);

  if (queue != NULL)
    return queue;
  queue = g_new0 (queue_t, 1);
  queue->name = g_strdup (name);
  queue->priority = G_MAXUINT;
  queue->attempts = 3;
  queue->stretch = 4.0;
  queue->allowed_share = 0.4;
  queue->runtime_ratio = 1.0;
  if (scheduler->limits.learn_run_times)
    queue->runtimes = runtime_model_new ();
  g_hash_table_insert (scheduler->queues, queue->name, queue);
  return queue;
}

void
scheduler_set_desired (scheduler_t *scheduler, const desired_state_t *desired)
{
  GHashTableIter iter;
  gpointer value;

  scheduler->desired = desired;
  g_hash_table_iter_init (&iter, scheduler->queues);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((queue_t *) value)->is_desired = false;
  for (guint i = 0; i < desired->queues->len; i++)
    {
      const queue_spec_t *spec = g_ptr_array_index (desired->queues, i);
      queue_t *queue = ensure_queue (scheduler, spec->name);

      g_free (queue->service);
      queue->service = g_strdup (spec->service);
      queue->priority = spec->priority;
      queue->attempts = MAX (spec->attempts, 1);
      queue->stretch = spec->stretch;
      queue->objective_us = spec->objective_us;
      queue->advice = spec->advice;
      queue->is_desired = true;
    }
  workspace_accounts_set_desired (scheduler->accounts, desired->workspaces, desired->version);
}

bool
scheduler_is_same_task (const task_ref_t *a, const task_ref_t *b)
{
  return a->index == b->index && a->step == b->step && a->occurrence == b->occurrence
         && strcmp (a->job, b->job) == 0;
}

bool
scheduler_task_is_unplaced (const task_t *task)
{
  const job_t *job = task->step->job;

  return !task->is_done && !job->is_ended && list_is_empty (&task->runs);
}

void
scheduler_touch_step (scheduler_t *scheduler, step_t *step)
{
  if (step->is_touched || step->job->is_ended)
    return;
  step->is_touched = true;
  g_ptr_array_add (scheduler->touched, step);
}

/* Counts the unplaced tasks of a new job. */
static void
count_unplaced (scheduler_t *scheduler, job_t *job)
{
  for (guint i = 0; i < job->step_total; i++)
    {
      step_t *step = &job->steps[i];

      for (guint t = 0; t < step->spec->count; t++)
        step->unplaced_count += scheduler_task_is_unplaced (&step->tasks[t]);
      scheduler_touch_step (scheduler, step);
    }
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
      runtime_step_init (&step->runtime, step->spec->est_runtime_us);
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
apply_progress (const scheduler_t *scheduler, job_t *job, const task_progress_t *progress)
{
  task_ref_t ref
      = { .occurrence = progress->occurrence, .step = progress->step, .index = progress->index };
  task_t *task;

  memcpy (ref.job, job->spec->id, sizeof ref.job);
  task = scheduler_find_task (scheduler, &ref);
  if (task == NULL)
    return;
  task->failures = progress->failures;
  task->failed_run_count = MIN (progress->failed_run_count, FAILED_RUNS_KEPT);
  memcpy (task->failed_runs, progress->failed_runs, sizeof task->failed_runs);
  task->crashes = progress->crashes;
  task->crash_points = progress->crash_points;
  task->is_suspect = progress->crash_points > 0;
  job->was_started = true;
  if (progress->is_done && !task->is_done)
    {
      task->is_done = true;
      task->step->done_count++;
    }
}

/* Makes new runs of the job have higher numbers than all that earlier leaders may have used. */
static void
skip_earlier_run_numbers (const scheduler_t *scheduler, job_t *job)
{
  for (guint i = 0; i < job->step_total; i++)
    {
      for (guint t = 0; t < job->steps[i].spec->count; t++)
        job->steps[i].tasks[t].last_run_number = scheduler->epoch * RUN_NUMBERS_PER_EPOCH;
    }
}

bool
scheduler_add_job (scheduler_t *scheduler,
                   job_spec_t *spec,
                   const task_progress_t *progress,
                   guint progress_count,
                   bool may_have_started,
                   gint64 now_us,
                   gint64 unix_ms)
{
  gint64 age_us = (unix_ms - spec->accepted_ms) * 1000;
  job_t *job;

  if (scheduler_find_job (scheduler, spec->id) != NULL || job_spec_error (spec) != NULL)
    {
      job_spec_free (spec);
      return false;
    }
  job = g_new0 (job_t, 1);
  job->spec = spec;
  job->queue = ensure_queue (scheduler, spec->queue);
  if (job->queue->service == NULL)
    job->queue->service = g_strdup (spec->service);
  job->accepted_us = now_us - CLAMP (age_us, 0, (gint64) 600 * G_USEC_PER_SEC);
  job->account = workspace_accounts_ensure (scheduler->accounts, spec->workspace);
  workspace_account_note_cap (job->account, &spec->workspace_cap, spec->workspace_cap_version);
  job->is_excess = !workspace_account_add_job (job->account, job->accepted_us);
  init_steps (job, now_us, unix_ms);
  scheduler->job_bytes += scheduler_job_bytes (spec);
  list_push_back (&scheduler->job_list, &job->node);
  g_hash_table_insert (scheduler->jobs, spec->id, job);
  if (may_have_started)
    skip_earlier_run_numbers (scheduler, job);
  for (guint i = 0; i < progress_count; i++)
    apply_progress (scheduler, job, &progress[i]);
  if (!job->was_started)
    job->queue->pending_job_count++;
  else
    workspace_account_job_started (job->account);
  count_unplaced (scheduler, job);
  scheduler_finish_job_if_done (scheduler, job);
  return true;
}

/* Frees a job if its end is stored and it has no runs. */
void
scheduler_release_job (scheduler_t *scheduler, job_t *job)
{
  if (!job->is_end_stored || job->run_count > 0)
    return;
  g_hash_table_remove (scheduler->jobs, job->spec->id);
  job_free (scheduler, job);
}

void
scheduler_job_end_stored (scheduler_t *scheduler, const char *id)
{
  job_t *job = scheduler_find_job (scheduler, id);

  if (job == NULL)
    return;
  job->is_end_stored = true;
  scheduler_release_job (scheduler, job);
}

bool
scheduler_job_state (const scheduler_t *scheduler, const char *id, job_state_t *state)
{
  const job_t *job = scheduler_find_job (scheduler, id);

  if (job == NULL)
    return false;
  if (job->is_ended && job->is_end_stored)
    *state = job->state;
  else
    *state = job->was_started ? JOB_RUNNING : JOB_QUEUED;
  return true;
}

bool
scheduler_job_times (const scheduler_t *scheduler, const char *id, job_times_t *times)
{
  const job_t *job = scheduler_find_job (scheduler, id);

  if (job == NULL)
    return false;
  times->queue = job->queue->name;
  times->accepted_us = job->accepted_us;
  times->began_us = job->began_us;
  return true;
}

const char *
scheduler_job_workspace (const scheduler_t *scheduler, const char *id)
{
  const job_t *job = scheduler_find_job (scheduler, id);

  return job != NULL ? job->spec->workspace : NULL;
}

guint
scheduler_pending_job_count (const scheduler_t *scheduler, const char *queue)
{
  const queue_t *found = g_hash_table_lookup (scheduler->queues, queue);

  return found != NULL ? found->pending_job_count : 0;
}

void
scheduler_close (scheduler_t *scheduler)
{
  scheduler->is_closed = true;
}
