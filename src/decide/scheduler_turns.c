#include "decide/scheduler_state.h"

/* Turns of late work.  While there is more work than the fleet can take, work that can be on time
 * goes first, and late work would wait for as long as that lasts: the more room a step needs at a
 * time, the less likely it is to find it beside others.  A share of the fleet therefore serves late
 * steps by what they have waited for, and how long.  A step with a turn keeps it until it is
 * placed.
 */

enum
{
  TURN_SHARE_DIVISOR = 16 /* 1/16 of the processors */
};

/* A step that has not been placed in this time makes way for the next. */
static const gint64 turn_limit_us = 10 * G_USEC_PER_SEC;

static gint64
since_us (const step_t *step)
{
  gint64 accepted_us = step->job->spec->times > 0 ? step->due_us : step->job->accepted_us;

  return MAX (accepted_us, step->turn_ended_us);
}

static guint64
unplaced_cpu_milli (const step_t *step)
{
  return (guint64) step->unplaced_count * step->spec->need.cpu_milli;
}

static guint64
share_cpu_milli (const scheduler_t *scheduler)
{
  guint64 total = 0;

  for (guint i = 0; i < scheduler->open_executors->len; i++)
    {
      const executor_t *executor = g_ptr_array_index (scheduler->open_executors, i);

      total += executor->capacity.cpu_milli;
    }
  return total / TURN_SHARE_DIVISOR;
}

static void
end_turn_after_limit (step_t *step, gint64 now_us)
{
  if (step->turn_us == 0 || now_us - step->turn_us < turn_limit_us)
    return;
  step->turn_us = 0;
  step->turn_ended_us = now_us;
}

/* How long the step has waited, times the processors that it waits for. */
static double
waited_core_us (const step_t *step, gint64 now_us)
{
  return (double) (now_us - since_us (step)) * (double) unplaced_cpu_milli (step);
}

static int
compare_by_wait (const void *a, const void *b, void *now_us)
{
  double left = waited_core_us ((*(waiting_step_t *const *) a)->step, *(gint64 *) now_us);
  double right = waited_core_us ((*(waiting_step_t *const *) b)->step, *(gint64 *) now_us);

  return left > right ? -1 : left < right;
}

/* Late steps without a turn, the one that has waited most first.  Excess work is not among them. */
static GPtrArray *
collect_late (GArray *waiting, gint64 now_us)
{
  GPtrArray *late = g_ptr_array_new ();

  for (guint i = 0; i < waiting->len; i++)
    {
      waiting_step_t *entry = &g_array_index (waiting, waiting_step_t, i);

      if (entry->step->turn_us == 0 && queue_order_is_late (&entry->key))
        g_ptr_array_add (late, entry);
    }
  g_ptr_array_sort_with_data (late, compare_by_wait, &now_us);
  return late;
}

/* Processors that steps with a turn use or are still to get.  Steps that their caps keep from
 * starting take none from the steps of other workspaces. */
static guint64
pledged_cpu_milli (const scheduler_t *scheduler, GArray *waiting, gint64 now_us)
{
  guint64 pledged = scheduler->turn_cpu_milli;

  for (guint i = 0; i < waiting->len; i++)
    {
      step_t *step = g_array_index (waiting, waiting_step_t, i).step;

      end_turn_after_limit (step, now_us);
      if (step->turn_us == 0)
        continue;
      if (!scheduler_can_fit_cap (step))
        step->turn_us = 0; /* the cap was lowered */
      else if (scheduler_has_no_room (step))
        (void) workspace_account_take_turn (step->job->account);
      else
        pledged += unplaced_cpu_milli (step);
    }
  return pledged;
}

/* False if the executors that advice has not denied would not suffice for the step even if they
 * were empty. */
static bool
is_placeable (const scheduler_t *scheduler, const step_t *step)
{
  guint wanted = step->spec->gang ? step->spec->count : 1;
  guint fits = 0;

  for (guint i = 0; i < scheduler->open_executors->len && fits < wanted; i++)
    {
      const executor_t *executor = g_ptr_array_index (scheduler->open_executors, i);

      if (scheduler_executor_is_eligible (step, executor)
          && scheduler_advice_decision (step, executor) != ADVICE_DENIED)
        fits += scheduler_tasks_per_executor (step, executor);
    }
  return fits >= wanted;
}

void
scheduler_apply_turn (waiting_step_t *entry)
{
  if (entry->step->turn_us > 0)
    entry->key = queue_order_turn_key (since_us (entry->step));
}

void
scheduler_grant_turns (scheduler_t *scheduler, GArray *waiting, gint64 now_us)
{
  g_autoptr (GPtrArray) late = NULL;
  guint64 share = share_cpu_milli (scheduler);
  guint64 pledged = pledged_cpu_milli (scheduler, waiting, now_us);

  if (pledged >= share)
    return;
  late = collect_late (waiting, now_us);
  for (guint i = 0; i < late->len && pledged < share; i++)
    {
      waiting_step_t *entry = g_ptr_array_index (late, i);
      bool is_capped = scheduler_has_no_room (entry->step);

      if (!scheduler_can_fit_cap (entry->step))
        continue;
      /* One of a workspace is enough: it sets the cap aside against the rest. */
      if (is_capped && !workspace_account_take_turn (entry->step->job->account))
        continue;
      if (!is_placeable (scheduler, entry->step))
        {
          entry->step->turn_ended_us = now_us;
          continue;
        }
      entry->step->turn_us = now_us;
      pledged += is_capped ? 0 : unplaced_cpu_milli (entry->step);
      scheduler_apply_turn (entry);
    }
}
