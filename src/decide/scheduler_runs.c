#include "decide/scheduler_state.h"

#include <string.h>

/* A stop order that failed is sent again after this time. */
static const gint64 stop_retry_us = 400 * 1000;

/* Resources that a run occupies, whether or not its task wants the run.  A run of an unknown
 * job is assumed to occupy the whole executor. */
static room_t
room_of_run (const cell_t *cell, const task_ref_t *ref, const executor_t *executor)
{
  const task_t *task = cell_find_task (cell, ref);
  room_t resources = executor->capacity;

  if (task == NULL)
    return resources;
  resources = task->step->spec->need;
  if (task->step->spec->fills)
    resources.cpu_milli = 0;
  return resources;
}

run_t *
cell_run_new (cell_t *cell, task_t *task, const task_ref_t *ref, executor_t *executor, guint number)
{
  run_t *run = g_new0 (run_t, 1);

  run->task = task;
  run->ref = *ref;
  run->executor = executor;
  run->number = number;
  run->resources = room_of_run (cell, ref, executor);
  if (task != NULL)
    {
      task->last_run = MAX (task->last_run, number);
      list_push_back (&task->runs, &run->by_task);
      task->step->job->run_count++;
      cell_update_wanting (task->step);
    }
  executor->used.cpu_milli += run->resources.cpu_milli;
  executor->used.mem_mb += run->resources.mem_mb;
  executor->used.gpu += run->resources.gpu;
  list_push_back (&executor->runs, &run->by_executor);
  cell->run_total++;
  return run;
}

/* Records that the run is known to have started. */
void
cell_run_began (run_t *run, gint64 now_us)
{
  job_t *job;

  if (run->alive_us == 0)
    run->alive_us = now_us;
  if (run->task == NULL)
    return;
  job = run->task->step->job;
  if (job->began_us == 0)
    job->began_us = now_us;
  if (job->was_started)
    return;
  job->was_started = true;
  job->queue->pending_jobs--;
}

guint64
cell_order_for (cell_t *cell, run_t *run)
{
  if (run->order != 0)
    g_hash_table_remove (cell->runs, &run->order);
  run->order = cell->next_order++;
  g_hash_table_insert (cell->runs, &run->order, run);
  return run->order;
}

static void
clear_order (cell_t *cell, run_t *run)
{
  if (run->order != 0)
    g_hash_table_remove (cell->runs, &run->order);
  run->order = 0;
}

/* ---- Placements. */

static void
leave_placement (cell_t *cell, const run_t *run)
{
  placement_t *placement = g_hash_table_lookup (cell->placements, &run->placement);

  if (placement == NULL || --placement->live_runs > 0)
    return;
  cell->ops->drop_placement (placement->number, cell->data);
  g_hash_table_remove (cell->placements, &run->placement);
}

static placement_t *
placement_new (cell_t *cell, guint64 number)
{
  placement_t *placement = g_new0 (placement_t, 1);

  placement->number = number;
  g_hash_table_insert (cell->placements, &placement->number, placement);
  return placement;
}

/* Adds the run to the next placement; its start order is sent once that is stored. */
void
cell_plan_run (cell_t *cell, run_t *run)
{
  run->state = RUN_PLANNED;
  g_array_append_val (cell->planned, run);
}

/* Stores the runs that were planned in this round as one placement. */
void
cell_place_planned (cell_t *cell)
{
  g_autofree placed_run_t *rows = NULL;
  placement_t *placement;

  if (cell->planned->len == 0)
    return;
  rows = g_new0 (placed_run_t, cell->planned->len);
  placement = placement_new (cell, cell->next_placement++);
  for (guint i = 0; i < cell->planned->len; i++)
    {
      run_t *run = g_array_index (cell->planned, run_t *, i);

      run->placement = placement->number;
      placement->live_runs++;
      rows[i] = (placed_run_t){ run->ref, run->number, run->executor->id };
    }
  cell->ops->place (placement->number, rows, cell->planned->len, cell->data);
  g_array_set_size (cell->planned, 0);
}

static void
send_start (cell_t *cell, run_t *run, gint64 now_us)
{
  const task_t *task = run->task;
  const char *ticket = cell_ticket (task->step, run->executor, now_us);
  start_order_t order = {
    .order = cell_order_for (cell, run),
    .executor = run->executor->id,
    .born = run->executor->born,
    .task = run->ref,
    .run = run->number,
    .spec = task->step->job->spec->spec,
    .checkpoint = task->checkpoint != NULL ? task->checkpoint : "",
    .ticket = ticket != NULL ? ticket : "",
  };

  run->state = RUN_ORDERED;
  cell_note (cell, "task_start",
             "job=%s task=%u.%u.%u run=%u executor=%s order=%" G_GUINT64_FORMAT
             " queue=%s waited_ms=%" G_GINT64_FORMAT " cpu=%u free=%u checkpoint=%d",
             run->ref.job, run->ref.occurrence, run->ref.step, run->ref.index, run->number,
             run->executor->id, order.order, task->step->job->queue->name,
             (now_us - task->step->ready_us) / 1000, run->resources.cpu_milli,
             run->executor->capacity.cpu_milli - run->executor->used.cpu_milli,
             (int) (task->checkpoint != NULL));
  cell->ops->start (&order, cell->data);
}

void
cell_placement_stored (cell_t *cell, guint64 placement, gint64 now_us)
{
  for (guint i = 0; i < cell->executor_list->len; i++)
    {
      executor_t *executor = g_ptr_array_index (cell->executor_list, i);

      list_node_t *node = executor->runs.next;

      while (node != &executor->runs)
        {
          run_t *run = LIST_ENTRY (node, run_t, by_executor);

          node = node->next;
          if (run->placement != placement)
            continue;
          if (run->state == RUN_PLANNED)
            send_start (cell, run, now_us);
          if (run->state != RUN_CALLED_OFF)
            continue;
          cell_run_gone (cell, run, now_us);
          /* Removing the run may have changed the rest of the list: start over. */
          node = executor->runs.next;
        }
    }
}

void
cell_restore_placement (
    cell_t *cell, guint64 placement, const placed_run_t *runs, guint count, gint64 now_us)
{
  placement_t *restored = placement_new (cell, placement);

  for (guint i = 0; i < count; i++)
    {
      task_t *task = cell_find_task (cell, &runs[i].task);
      executor_t *executor;
      run_t *run;

      if (task == NULL || task->is_done || task->step->job->is_ended)
        continue;
      executor = cell_executor_of (cell, runs[i].executor);
      if (cell_find_run (executor, &runs[i].task, runs[i].run) != NULL)
        continue;
      run = cell_run_new (cell, task, &runs[i].task, executor, runs[i].run);
      run->state = RUN_RESTORED;
      run->placement = placement;
      restored->live_runs++;
      cell_extend_lapse (cell, executor, now_us + cell->limits.claim_us);
    }
  if (restored->live_runs > 0)
    return;
  cell->ops->drop_placement (placement, cell->data);
  g_hash_table_remove (cell->placements, &placement);
}

/* Removes a run that is not alive and will not start, and releases its resources.  The other
 * members of its gang are stopped. */
void
cell_run_gone (cell_t *cell, run_t *run, gint64 now_us)
{
  executor_t *executor = run->executor;
  task_t *task = run->task;
  guint number = run->number;

  clear_order (cell, run);
  executor->used.cpu_milli -= run->resources.cpu_milli;
  executor->used.mem_mb -= run->resources.mem_mb;
  executor->used.gpu -= run->resources.gpu;
  list_remove (&run->by_executor);
  list_remove (&run->by_task);
  cell->run_total--;
  leave_placement (cell, run);
  g_free (run);
  if (task == NULL)
    return;
  task->step->job->run_count--;
  cell_update_wanting (task->step);
  if (task->step->spec->gang && !task->is_done && !task->step->job->is_ended)
    cell_stop_gang (cell, task->step, number, now_us);
  if (task->step->job->is_ended)
    cell_release_job (cell, task->step->job);
}

run_t *
cell_find_run (const executor_t *executor, const task_ref_t *ref, guint number)
{
  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
    {
      run_t *run = LIST_ENTRY (node, run_t, by_executor);

      if (run->number == number && run->ref.index == ref->index && run->ref.step == ref->step
          && run->ref.occurrence == ref->occurrence && strcmp (run->ref.job, ref->job) == 0)
        return run;
    }
  return NULL;
}

static void
send_stop (cell_t *cell, run_t *run, gint64 now_us)
{
  stop_order_t order = {
    .order = cell_order_for (cell, run),
    .executor = run->executor->id,
    .born = run->executor->born,
    .task = run->ref,
    .run = run->number,
  };

  run->retry_us = 0;
  cell_note (cell, "task_stop",
             "job=%s task=%u.%u.%u run=%u executor=%s order=%" G_GUINT64_FORMAT
             " running_ms=%" G_GINT64_FORMAT,
             run->ref.job, run->ref.occurrence, run->ref.step, run->ref.index, run->number,
             run->executor->id, order.order,
             run->alive_us > 0 ? (now_us - run->alive_us) / 1000 : -1);
  cell->ops->stop (&order, cell->data);
}

void
cell_run_stop (cell_t *cell, run_t *run, gint64 now_us)
{
  switch (run->state)
    {
    case RUN_PLANNED:
      /* No start order was sent, and none will be.  The run is removed once the placement is
       * stored. */
      run->state = RUN_CALLED_OFF;
      return;
    case RUN_ORDERED:
      /* A stop order that arrives before the start order prevents the start. */
    case RUN_RESTORED:
    case RUN_UNSURE:
    case RUN_ALIVE:
      run->state = RUN_STOPPING;
      send_stop (cell, run, now_us);
      return;
    case RUN_CALLED_OFF:
    case RUN_STOPPING:
    case RUN_STOPPED:
      return;
    }
}

/* Sends a stop order to the current incarnation of the run's executor. */
void
cell_run_stop_again (cell_t *cell, run_t *run, gint64 now_us)
{
  run->state = RUN_STOPPING;
  send_stop (cell, run, now_us);
}

/* Stops the members of a gang's run, as a gang does not work with a member missing. */
void
cell_stop_gang (cell_t *cell, step_t *step, guint number, gint64 now_us)
{
  for (guint i = 0; i < step->spec->count; i++)
    {
      list_node_t *runs = &step->tasks[i].runs;
      list_node_t *next;

      for (list_node_t *node = runs->next; node != runs; node = next)
        {
          run_t *run = LIST_ENTRY (node, run_t, by_task);

          next = node->next;
          if (run->number == number)
            cell_run_stop (cell, run, now_us);
        }
    }
}

static void
start_answered (cell_t *cell, run_t *run, order_outcome_t outcome, gint64 now_us)
{
  executor_t *executor = run->executor;
  task_t *task = run->task;

  switch (outcome)
    {
    case ORDER_OK:
      run->state = RUN_ALIVE;
      cell_run_began (run, now_us);
      return;
    case ORDER_LOST:
      run->state = RUN_UNSURE;
      cell_run_stop (cell, run, now_us);
      return;
    case ORDER_FENCED:
      cell->ops->deposed (cell->data);
      return;
    case ORDER_BAD_TICKET:
      if (task != NULL)
        cell_forget_ticket (task->step, executor);
      break;
    case ORDER_NO_ROOM:
    case ORDER_BUSY:
      executor->ejected_until_us = MAX (executor->ejected_until_us, now_us + G_USEC_PER_SEC / 2);
      break;
    case ORDER_NOT_SENT:
      executor->is_reached = false;
      break;
    case ORDER_OLD:
    case ORDER_LATE:
    case ORDER_OTHER_LIFE:
      break;
    }
  cell_run_gone (cell, run, now_us);
}

static void
stop_answered (cell_t *cell, run_t *run, order_outcome_t outcome, gint64 now_us)
{
  switch (outcome)
    {
    case ORDER_OK:
    case ORDER_OLD:
      run->state = RUN_STOPPED;
      run->mark = ++run->executor->mark;
      cell->ops->acknowledge (run->executor->id, run->executor->acked, run->executor->mark,
                              cell->data);
      return;
    case ORDER_FENCED:
      cell->ops->deposed (cell->data);
      return;
    case ORDER_OTHER_LIFE:
      /* A run ends with the incarnation of its executor. */
      cell_run_gone (cell, run, now_us);
      return;
    case ORDER_LOST:
    case ORDER_NOT_SENT:
    case ORDER_LATE:
    case ORDER_NO_ROOM:
    case ORDER_BAD_TICKET:
    case ORDER_BUSY:
      run->retry_us = now_us + stop_retry_us;
      return;
    }
}

const char *
order_outcome_name (order_outcome_t outcome)
{
  switch (outcome)
    {
    case ORDER_OK:
      return "ok";
    case ORDER_LOST:
      return "no_answer";
    case ORDER_NOT_SENT:
      return "not_sent";
    case ORDER_FENCED:
      return "fenced";
    case ORDER_OLD:
      return "old_run";
    case ORDER_LATE:
      return "lease_over";
    case ORDER_NO_ROOM:
      return "no_room";
    case ORDER_BAD_TICKET:
      return "bad_ticket";
    case ORDER_BUSY:
      return "not_healthy";
    case ORDER_OTHER_LIFE:
      return "other_life";
    }
  return "unknown";
}

void
cell_order_result (cell_t *cell, guint64 order, order_outcome_t outcome, gint64 now_us)
{
  run_t *run = g_hash_table_lookup (cell->runs, &order);

  if (run == NULL)
    return;
  clear_order (cell, run);
  if (outcome != ORDER_OK)
    cell_note (cell, "order_failed",
               "job=%s task=%u.%u.%u run=%u executor=%s order=%" G_GUINT64_FORMAT " outcome=%s",
               run->ref.job, run->ref.occurrence, run->ref.step, run->ref.index, run->number,
               run->executor->id, order, order_outcome_name (outcome));
  if (run->state == RUN_ORDERED)
    start_answered (cell, run, outcome, now_us);
  else if (run->state == RUN_STOPPING)
    stop_answered (cell, run, outcome, now_us);
}

/* Sends failed stop orders again. */
void
cell_retry_stops (cell_t *cell, gint64 now_us)
{
  for (guint i = 0; i < cell->executor_list->len; i++)
    {
      executor_t *executor = g_ptr_array_index (cell->executor_list, i);

      for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
        {
          run_t *run = LIST_ENTRY (node, run_t, by_executor);

          if (run->state == RUN_STOPPING && run->order == 0 && run->retry_us <= now_us
              && executor->is_reached)
            send_stop (cell, run, now_us);
        }
    }
}
