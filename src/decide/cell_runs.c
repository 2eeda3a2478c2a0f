#include "decide/cell_state.h"

#include <string.h>

/* A stop that got no answer is sent again after this. */
static const gint64 stop_retry_us = 400 * 1000;

/* What a run takes up, also when its task does not want it.  A run of a job that is not
 * known may take all there is. */
static room_t
room_of_run (const cell_t *cell, const task_ref_t *ref, const executor_t *executor)
{
  const task_t *task = cell_find_task (cell, ref);
  room_t room = executor->capacity;

  if (task == NULL)
    return room;
  room = task->step->spec->need;
  if (task->step->spec->fills)
    room.cpu_milli = 0;
  return room;
}

run_t *
cell_run_new (cell_t *cell, task_t *task, const task_ref_t *ref, executor_t *executor, guint number)
{
  run_t *run = g_new0 (run_t, 1);

  run->task = task;
  run->ref = *ref;
  run->executor = executor;
  run->number = number;
  run->room = room_of_run (cell, ref, executor);
  if (task != NULL)
    {
      task->last_run = MAX (task->last_run, number);
      list_push_back (&task->runs, &run->by_task);
      task->step->job->run_count++;
      cell_update_wanting (task->step);
    }
  executor->used.cpu_milli += run->room.cpu_milli;
  executor->used.mem_mb += run->room.mem_mb;
  executor->used.gpu += run->room.gpu;
  list_push_back (&executor->runs, &run->by_executor);
  cell->run_total++;
  return run;
}

/* The run is known to have begun. */
void
cell_run_began (run_t *run, gint64 now_us)
{
  job_t *job;

  if (run->alive_us == 0)
    run->alive_us = now_us;
  if (run->task == NULL)
    return;
  job = run->task->step->job;
  if (job->was_started)
    return;
  job->was_started = true;
  job->queue->pending--;
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

/* Takes a run off the books: nothing of it is or will be alive. */
void
cell_run_gone (cell_t *cell, run_t *run, gint64 now_us)
{
  executor_t *executor = run->executor;
  task_t *task = run->task;
  guint number = run->number;

  clear_order (cell, run);
  executor->used.cpu_milli -= run->room.cpu_milli;
  executor->used.mem_mb -= run->room.mem_mb;
  executor->used.gpu -= run->room.gpu;
  list_remove (&run->by_executor);
  list_remove (&run->by_task);
  cell->run_total--;
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
    case RUN_ORDERED:
      /* Its answer decides whether there is anything to stop; a stop that overtakes
       * the start is as good. */
      run->state = RUN_STOPPING;
      send_stop (cell, run, now_us);
      return;
    case RUN_UNSURE:
    case RUN_ALIVE:
      run->state = RUN_STOPPING;
      send_stop (cell, run, now_us);
      return;
    case RUN_STOPPING:
    case RUN_STOPPED:
      return;
    }
}

/* Stops a run in the life that its executor has now. */
void
cell_run_stop_again (cell_t *cell, run_t *run, gint64 now_us)
{
  run->state = RUN_STOPPING;
  send_stop (cell, run, now_us);
}

/* A gang works only whole: without one member the others end. */
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
      executor->aside_until_us = MAX (executor->aside_until_us, now_us + G_USEC_PER_SEC / 2);
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
      /* A run ends with the life of its executor. */
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

void
cell_order_result (cell_t *cell, guint64 order, order_outcome_t outcome, gint64 now_us)
{
  run_t *run = g_hash_table_lookup (cell->runs, &order);

  if (run == NULL)
    return;
  clear_order (cell, run);
  if (outcome != ORDER_OK)
    cell_note (cell, "order_failed",
               "job=%s task=%u.%u.%u run=%u executor=%s order=%" G_GUINT64_FORMAT " outcome=%d",
               run->ref.job, run->ref.occurrence, run->ref.step, run->ref.index, run->number,
               run->executor->id, order, (int) outcome);
  if (run->state == RUN_ORDERED)
    start_answered (cell, run, outcome, now_us);
  else if (run->state == RUN_STOPPING)
    stop_answered (cell, run, outcome, now_us);
}

/* Sends stops again that got no answer. */
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
