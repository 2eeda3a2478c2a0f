#include "decide/scheduler_state.h"

#include <string.h>

/* An executor may receive a lease up to this long after the lease is reported here. */
static const gint64 lapse_margin_us = 250 * 1000;
static const gint64 restart_delay_us = 20 * 1000;

executor_t *
cell_find_executor (const cell_t *cell, const char *id)
{
  return g_hash_table_lookup (cell->executors, id);
}

executor_t *
cell_executor_of (cell_t *cell, const char *id)
{
  executor_t *executor = cell_find_executor (cell, id);

  if (executor != NULL)
    return executor;
  executor = g_new0 (executor_t, 1);
  executor->id = g_strdup (id);
  executor->mark = 1;
  list_init (&executor->runs);
  g_queue_init (&executor->acks);
  g_hash_table_insert (cell->executors, executor->id, executor);
  g_ptr_array_add (cell->executor_list, executor);
  return executor;
}

static void
clear_acks (executor_t *executor)
{
  gpointer ack;

  while ((ack = g_queue_pop_head (&executor->acks)) != NULL)
    g_free (ack);
}

void
cell_executor_free (gpointer data)
{
  executor_t *executor = data;

  while (!list_is_empty (&executor->runs))
    {
      run_t *run = LIST_ENTRY (executor->runs.next, run_t, by_executor);

      list_remove (&run->by_executor);
      g_free (run);
    }
  clear_acks (executor);
  g_free (executor->id);
  g_free (executor->address);
  g_free (executor->service);
  g_free (executor->zone);
  g_strfreev (executor->labels);
  g_free (executor->rack);
  g_free (executor);
}

bool
cell_has_label (const executor_t *executor, const char *label)
{
  return executor->labels != NULL
         && g_strv_contains ((const char *const *) executor->labels, label);
}

room_t
cell_free_room (const executor_t *executor)
{
  room_t resources = { 0 };
  guint cpu = executor->used.cpu_milli + executor->reserved.cpu_milli;
  guint mem = executor->used.mem_mb + executor->reserved.mem_mb;
  guint gpu = executor->used.gpu + executor->reserved.gpu;

  if (executor->capacity.cpu_milli > cpu)
    resources.cpu_milli = executor->capacity.cpu_milli - cpu;
  if (executor->capacity.mem_mb > mem)
    resources.mem_mb = executor->capacity.mem_mb - mem;
  if (executor->capacity.gpu > gpu)
    resources.gpu = executor->capacity.gpu - gpu;
  return resources;
}

bool
cell_room_fits (room_t need, room_t resources)
{
  return need.cpu_milli <= resources.cpu_milli && need.mem_mb <= resources.mem_mb
         && need.gpu <= resources.gpu;
}

bool
cell_executor_usable (const executor_t *executor, gint64 now_us)
{
  return executor->is_listed && !executor->is_draining && executor->has_reported
         && executor->is_reached && (!executor->is_on_trial || list_is_empty (&executor->runs))
         && executor->ejected_until_us <= now_us;
}

static bool
is_planned (const run_t *run)
{
  return run->state == RUN_PLANNED || run->state == RUN_CALLED_OFF;
}

/* Removes all runs of an executor whose leases have all expired: none of them is alive.  Runs
 * whose placement is being stored stay, as no start order was sent. */
static void
end_all_runs (cell_t *cell, executor_t *executor, const char *reason, gint64 now_us)
{
  list_node_t *node = executor->runs.next;

  while (node != &executor->runs)
    {
      run_t *run = LIST_ENTRY (node, run_t, by_executor);

      node = node->next;
      if (is_planned (run))
        continue;
      cell_note (cell, "task_lost", "job=%s task=%u.%u.%u run=%u executor=%s reason=%s",
                 run->ref.job, run->ref.occurrence, run->ref.step, run->ref.index, run->number,
                 executor->id, reason);
      cell_run_gone (cell, run, now_us);
      /* Removing the run may have changed the rest of the list: start over. */
      node = executor->runs.next;
    }
}

/* The runs of an incarnation end with it.  But a start order that the former incarnation may
 * not have received can be carried out by the next one, which has the same executor id. */
static bool
may_outlive (const run_t *run)
{
  return run->alive_us == 0 && run->state != RUN_STOPPED && run->state != RUN_PLANNED
         && run->state != RUN_CALLED_OFF;
}

static void
end_life (cell_t *cell, executor_t *executor, gint64 now_us)
{
  list_node_t *node = executor->runs.next;

  while (node != &executor->runs)
    {
      run_t *run = LIST_ENTRY (node, run_t, by_executor);

      node = node->next;
      if (may_outlive (run) || is_planned (run))
        continue;
      cell_note (cell, "task_lost",
                 "job=%s task=%u.%u.%u run=%u executor=%s reason=executor_restarted", run->ref.job,
                 run->ref.occurrence, run->ref.step, run->ref.index, run->number, executor->id);
      cell_run_gone (cell, run, now_us);
      /* Removing the run may have changed the rest of the list: start over. */
      node = executor->runs.next;
    }
  for (node = executor->runs.next; node != &executor->runs; node = node->next)
    {
      run_t *run = LIST_ENTRY (node, run_t, by_executor);

      if (!is_planned (run))
        cell_run_stop_again (cell, run, now_us);
    }
}

static void
begin_life (cell_t *cell, executor_t *executor, gint64 born, gint64 now_us)
{
  if (executor->born == born || born == 0)
    return;
  if (executor->born != 0)
    {
      cell_note (cell, "executor_restarted",
                 "executor=%s born=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT, executor->id,
                 born, executor->born);
      executor->born = born;
      end_life (cell, executor, now_us);
    }
  executor->born = born;
  executor->has_reported = false;
  executor->last_seen_end = 0;
  executor->acked = 0;
  executor->consecutive_failures = 0;
  executor->is_on_trial = false;
  executor->ejected_until_us = 0;
  clear_acks (executor);
}

/* Has a VM send hold requests to the executor.  A VM that did so before may have been granted a
 * lease that no report shows. */
static void
start_hold (cell_t *cell, executor_t *executor, gint64 now_us)
{
  if (executor->is_assigned || executor->address == NULL)
    return;
  executor->is_assigned = true;
  cell_extend_lapse (cell, executor, now_us + cell->limits.claim_us);
  cell->ops->hold (executor->id, executor->address, cell->data);
}

void
cell_executor_listed (cell_t *cell, const executor_entry_t *entry, gint64 now_us)
{
  executor_t *executor = cell_executor_of (cell, entry->id);
  bool has_moved = g_strcmp0 (executor->address, entry->address) != 0;

  if (!executor->is_listed || executor->is_draining != entry->is_draining)
    cell_note (cell, "executor_listed", "executor=%s zone=%s draining=%d born=%" G_GINT64_FORMAT,
               entry->id, entry->zone, (int) entry->is_draining, entry->born);
  g_free (executor->service);
  g_free (executor->zone);
  g_strfreev (executor->labels);
  executor->service = g_strdup (entry->service);
  executor->zone = g_strdup (entry->zone);
  executor->labels = g_strdupv ((char **) entry->labels);
  g_free (executor->rack);
  executor->rack = g_strdup (entry->rack);
  executor->capacity = entry->capacity;
  executor->is_listed = true;
  executor->is_draining = entry->is_draining;
  /* The entry may be an outdated one of an earlier incarnation; reports are authoritative. */
  if (entry->born > executor->born)
    begin_life (cell, executor, entry->born, now_us);
  if (has_moved)
    {
      g_free (executor->address);
      executor->address = g_strdup (entry->address);
      executor->is_assigned = false;
    }
  start_hold (cell, executor, now_us);
}

void
cell_executor_unlisted (cell_t *cell, const char *id, gint64 now_us G_GNUC_UNUSED)
{
  executor_t *executor = cell_find_executor (cell, id);

  if (executor == NULL || !executor->is_listed)
    return;
  cell_note (cell, "executor_unlisted", "executor=%s reached=%d", id, (int) executor->is_reached);
  executor->is_listed = false;
}

static const char *
how_name (end_how_t how)
{
  static const char *const names[] = { "done", "failed", "stopped", "lapsed", "broken", "alone" };

  return (guint) how < G_N_ELEMENTS (names) ? names[how] : "unknown";
}

static void
keep_checkpoint (task_t *task, const char *checkpoint)
{
  if (checkpoint == NULL || checkpoint[0] == '\0' || !task->step->spec->checkpointing)
    return;
  if (g_strcmp0 (task->checkpoint, checkpoint) == 0)
    return;
  g_free (task->checkpoint);
  task->checkpoint = g_strdup (checkpoint);
}

/* Updates the moving average of real over estimated run time.  Runs of a task that has a
 * checkpoint do not count. */
static void
learn_work (task_t *task, const run_t *run, gint64 now_us)
{
  queue_t *queue = task->step->job->queue;
  double real = (double) (now_us - run->alive_us);
  double estimate = (double) MAX (task->step->spec->est_us, 1000);

  if (run->alive_us > 0 && task->checkpoint == NULL)
    queue->work_ratio += 0.02 * (CLAMP (real / estimate, 0.1, 10.0) - queue->work_ratio);
}

static void
judge_executor (cell_t *cell, executor_t *executor, end_how_t how, gint64 now_us)
{
  if (how == END_DONE)
    {
      executor->consecutive_failures = 0;
      executor->is_on_trial = false;
    }
  if (how != END_FAILED || ++executor->consecutive_failures < ASIDE_FAILURES)
    return;
  cell_set_aside (cell, executor, "failures", now_us);
  /* One more failure after the ejection ejects it again. */
  executor->consecutive_failures = ASIDE_FAILURES - 1;
}

static void
handle_end (cell_t *cell, executor_t *executor, const end_row_t *row, gint64 now_us)
{
  run_t *run = cell_find_run (executor, &row->task, row->run);
  task_t *task = cell_find_task (cell, &row->task);
  gint64 ran_us = run != NULL && run->alive_us > 0 ? now_us - run->alive_us : -1;

  cell_note (cell, "task_ended",
             "job=%s task=%u.%u.%u run=%u executor=%s end=%" G_GUINT64_FORMAT
             " how=%s ran_ms=%" G_GINT64_FORMAT,
             row->task.job, row->task.occurrence, row->task.step, row->task.index, row->run,
             executor->id, row->number, how_name (row->how), ran_us / 1000);
  judge_executor (cell, executor, row->how, now_us);
  if (run != NULL)
    cell_run_began (run, now_us);
  if (task != NULL)
    {
      keep_checkpoint (task, row->checkpoint);
      task->last_run = MAX (task->last_run, row->run);
      if (row->how == END_DONE)
        {
          if (run != NULL)
            learn_work (task, run, now_us);
          cell_task_done (cell, task, now_us);
        }
      else if (row->how == END_FAILED)
        {
          task->retry_us = now_us + restart_delay_us;
          cell_task_failed (cell, task, row->run, now_us);
        }
    }
  if (run != NULL)
    cell_run_gone (cell, run, now_us);
}

static void
handle_ends (cell_t *cell, executor_t *executor, const executor_report_t *report, gint64 now_us)
{
  for (guint i = 0; i < report->ended_count; i++)
    {
      const end_row_t *row = &report->ended[i];
      pending_ack_t *ack;

      if (row->number <= executor->last_seen_end)
        continue;
      executor->last_seen_end = row->number;
      handle_end (cell, executor, row, now_us);
      ack = g_new0 (pending_ack_t, 1);
      ack->number = row->number;
      /* Only ends that change the stored progress wait for a batch. */
      ack->batch = row->how == END_DONE || row->how == END_FAILED ? cell->batch : cell->batch_done;
      g_queue_push_tail (&executor->acks, ack);
    }
}

/* Takes over a reported run that this leader did not start.  It is kept if its task is
 * unplaced, else stopped. */
static void
adopt (cell_t *cell, executor_t *executor, const run_row_t *row, gint64 now_us)
{
  task_t *task = cell_find_task (cell, &row->task);
  bool is_wanted = task != NULL && cell_task_wants_run (task);
  run_t *run = cell_run_new (cell, is_wanted ? task : NULL, &row->task, executor, row->run);

  run->state = RUN_ALIVE;
  cell_run_began (run, now_us);
  cell_note (cell, "task_adopted", "job=%s task=%u.%u.%u run=%u executor=%s wanted=%d",
             row->task.job, row->task.occurrence, row->task.step, row->task.index, row->run,
             executor->id, (int) is_wanted);
  if (task != NULL)
    task->last_run = MAX (task->last_run, row->run);
  if (!is_wanted)
    cell_run_stop (cell, run, now_us);
}

static void
handle_running (cell_t *cell, executor_t *executor, const executor_report_t *report, gint64 now_us)
{
  for (guint i = 0; i < report->running_count; i++)
    {
      const run_row_t *row = &report->running[i];
      run_t *run = cell_find_run (executor, &row->task, row->run);

      if (run == NULL)
        {
          adopt (cell, executor, row, now_us);
          continue;
        }
      cell_run_began (run, now_us);
      if (run->state == RUN_RESTORED)
        run->state = RUN_ALIVE;
      cell_note_progress (executor, run, row->percent, now_us);
      if (run->state == RUN_ALIVE && run->task != NULL)
        keep_checkpoint (run->task, row->checkpoint);
    }
}

static bool
is_shown (const executor_report_t *report, const run_t *run)
{
  for (guint i = 0; i < report->running_count; i++)
    {
      const run_row_t *row = &report->running[i];

      if (row->run == run->number && row->task.index == run->ref.index
          && row->task.step == run->ref.step && row->task.occurrence == run->ref.occurrence
          && strcmp (row->task.job, run->ref.job) == 0)
        return true;
    }
  return false;
}

/* Stops runs of an earlier leader that the executor does not report: a delayed order may still
 * start them. */
static void
stop_unseen (cell_t *cell, executor_t *executor, gint64 now_us)
{
  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
    {
      run_t *run = LIST_ENTRY (node, run_t, by_executor);

      if (run->state == RUN_RESTORED)
        cell_run_stop (cell, run, now_us);
    }
}

/* Removes runs whose stop was confirmed before this report was requested, unless the report
 * still lists them. */
static void
drop_stopped (cell_t *cell, executor_t *executor, const executor_report_t *report, gint64 now_us)
{
  list_node_t *next;

  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = next)
    {
      run_t *run = LIST_ENTRY (node, run_t, by_executor);

      next = node->next;
      if (run->state == RUN_STOPPED && report->mark >= run->mark && !is_shown (report, run))
        {
          cell_run_gone (cell, run, now_us);
          /* Removing the run may have changed the rest of the list: start over. */
          next = executor->runs.next;
        }
    }
}

void
cell_extend_lapse (const cell_t *cell, executor_t *executor, gint64 from_us)
{
  gint64 lapse_us = from_us + (gint64) ((double) cell->limits.hold_us * CLOCK_DRIFT);

  executor->lapse_us = MAX (executor->lapse_us, lapse_us + lapse_margin_us);
}

void
cell_executor_report (cell_t *cell, const executor_report_t *report, gint64 now_us)
{
  executor_t *executor = cell_find_executor (cell, report->executor);

  if (executor == NULL)
    return;
  if (report->is_fenced)
    {
      cell->ops->deposed (cell->data);
      return;
    }
  if (report->is_renewed)
    cell_extend_lapse (cell, executor, now_us);
  if (executor->is_reached != report->is_reached)
    cell_note (cell, report->is_reached ? "executor_reached" : "executor_unreached", "executor=%s",
               executor->id);
  executor->is_reached = report->is_reached;
  if (!report->is_reached)
    return;
  begin_life (cell, executor, report->born, now_us);
  executor->has_reported = true;
  handle_ends (cell, executor, report, now_us);
  handle_running (cell, executor, report, now_us);
  stop_unseen (cell, executor, now_us);
  cell_check_progress (cell, executor, now_us);
  drop_stopped (cell, executor, report, now_us);
  if (!g_queue_is_empty (&executor->acks))
    cell_batch_done (cell, cell->batch_done);
}

void
cell_executor_orphaned (cell_t *cell, const char *id, gint64 now_us)
{
  executor_t *executor = cell_find_executor (cell, id);

  if (executor == NULL)
    return;
  executor->is_assigned = false;
  executor->is_reached = false;
  cell_extend_lapse (cell, executor, now_us + cell->limits.claim_us);
  start_hold (cell, executor, now_us);
}

void
cell_executor_moved (cell_t *cell, const char *id, gint64 now_us)
{
  executor_t *executor = cell_find_executor (cell, id);

  if (executor != NULL)
    cell_extend_lapse (cell, executor, now_us + cell->limits.claim_us);
}

/* Removes the runs of an unreachable executor once its leases have expired, and ends the hold
 * requests to an unlisted executor once it has no runs and its leases have expired or it is
 * unreachable. */
static void
check_executor (cell_t *cell, executor_t *executor, gint64 now_us)
{
  if (!executor->is_reached && !list_is_empty (&executor->runs) && executor->lapse_us <= now_us)
    end_all_runs (cell, executor, "lease_lapsed", now_us);
  if (!list_is_empty (&executor->runs))
    return;
  if (executor->is_listed)
    return;
  if (executor->lapse_us > now_us && executor->is_reached)
    return;
  if (executor->is_assigned)
    {
      executor->is_assigned = false;
      executor->has_reported = false;
      cell->ops->hold (executor->id, NULL, cell->data);
    }
}

void
cell_fleet_step (cell_t *cell, gint64 now_us)
{
  for (guint i = 0; i < cell->executor_list->len; i++)
    check_executor (cell, g_ptr_array_index (cell->executor_list, i), now_us);
}
