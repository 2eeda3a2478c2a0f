#include "decide/scheduler_gang.h"

#include <string.h>

/* Gang scheduling: all tasks of a step start at once, or none.
 *
 * The start of a gang is planned on resources that are free or are expected to become free.
 * Each eligible executor provides slots, one for each task that fits, with the time at which
 * it has the resources and a ticket for the task.  The plan consists of the earliest slots.
 * Until its start time it reserves their resources against work later in the queue order, and
 * tickets are requested early enough to arrive by then.
 */

enum
{
  /* Of the wait for faster executors: it is estimated, and slots that are reserved meanwhile stay
   * unused. */
  WAIT_WEIGHT = 2
};

static GArray *
gang_slots_in_rack (const GArray *gang_slots, const char *rack)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (gang_slot_t));

  for (guint i = 0; i < gang_slots->len; i++)
    {
      const gang_slot_t *gang_slot = &g_array_index (gang_slots, gang_slot_t, i);

      if (g_strcmp0 (gang_slot->executor->rack, rack) == 0)
        g_array_append_val (found, *gang_slot);
    }
  return found;
}

/* The plan within one rack that starts first; NULL if the gang fits into no rack. */
static GArray *
plan_in_one_rack (const step_t *step, const GArray *gang_slots)
{
  g_autoptr (GHashTable) seen = g_hash_table_new (g_str_hash, g_str_equal);
  GArray *best = NULL;

  for (guint i = 0; i < gang_slots->len; i++)
    {
      const char *rack = g_array_index (gang_slots, gang_slot_t, i).executor->rack;
      GArray *plan;

      if (rack == NULL || !g_hash_table_add (seen, (char *) rack))
        continue;
      plan = gang_slots_in_rack (gang_slots, rack);
      if (gang_is_complete (plan, step) && gang_start_us (plan, step) < gang_start_us (best, step))
        {
          g_clear_pointer (&best, g_array_unref);
          best = plan;
        }
      else
        g_array_unref (plan);
    }
  return best;
}

/* Additional run time of a `same_rack` gang that is spread over several racks. */
static gint64
spread_penalty_us (const scheduler_t *scheduler, step_t *step, gint64 now_us)
{
  gint64 runtime_us = step->spec->est_runtime_us;

  if (scheduler_learns_runtimes (step))
    runtime_us = scheduler_expected_runtime_us (step, now_us);
  return (gint64) (MAX (scheduler->limits.remote_factor - 1.0, 0.0) * (double) runtime_us);
}

/* Slots for the gang, the plan first; NULL if it waits for resources in one rack.  A `same_rack`
 * gang is spread only after it has waited as long as spreading would prolong it, and only if
 * a start within one rack is later by more than that. */
static GArray *
plan_within (const scheduler_t *scheduler, step_t *step, const GArray *gang_slots, gint64 now_us)
{
  g_autoptr (GArray) rack_plan = NULL;
  gint64 penalty_us = spread_penalty_us (scheduler, step, now_us);

  if (!step->spec->same_rack)
    return g_array_ref ((GArray *) gang_slots);
  rack_plan = plan_in_one_rack (step, gang_slots);
  if (rack_plan != NULL
      && gang_start_us (rack_plan, step) - penalty_us <= gang_start_us (gang_slots, step))
    return g_steal_pointer (&rack_plan);
  if (now_us - step->ready_us < penalty_us)
    return NULL;
  return g_array_ref ((GArray *) gang_slots);
}

/* Slots on executors of this class or a faster one. */
static GArray *
gang_slots_from_class (const GArray *gang_slots, int class)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (gang_slot_t));

  for (guint i = 0; i < gang_slots->len; i++)
    {
      const gang_slot_t *gang_slot = &g_array_index (gang_slots, gang_slot_t, i);

      if (executor_speed_class (gang_slot->executor->speed) >= class)
        g_array_append_val (found, *gang_slot);
    }
  return found;
}

/* Lower is better: the wait until the gang starts and its run time, at the speed of its slowest
 * member; G_MAXINT64 if the plan is incomplete. */
static gint64
plan_cost_us (const scheduler_t *scheduler, const GArray *plan, step_t *step, gint64 now_us)
{
  double runtime_us = (double) scheduler_expected_runtime_us (step, now_us);
  double slowest = G_MAXDOUBLE;
  const char *rack;
  bool is_spread = false;

  if (!gang_is_complete (plan, step))
    return G_MAXINT64;
  rack = g_array_index (plan, gang_slot_t, 0).executor->rack;
  for (guint i = 0; i < step->spec->count; i++)
    {
      const executor_t *executor = g_array_index (plan, gang_slot_t, i).executor;

      slowest = MIN (slowest, executor_speed_for_placement (executor->speed));
      is_spread = is_spread || g_strcmp0 (executor->rack, rack) != 0;
    }
  if (step->spec->same_rack && is_spread)
    runtime_us += (double) spread_penalty_us (scheduler, step, now_us);
  return WAIT_WEIGHT * (gang_start_us (plan, step) - now_us) + (gint64) (runtime_us / slowest);
}

static bool
is_plan_fast_enough (const GArray *plan, const step_t *step)
{
  if (!gang_is_complete (plan, step))
    return false;
  for (guint i = 0; i < step->spec->count; i++)
    {
      if (!scheduler_is_fast_enough (step, g_array_index (plan, gang_slot_t, i).executor))
        return false;
    }
  return true;
}

/* True if executors of the class provide slots. */
static bool
has_class (const GArray *gang_slots, int class)
{
  for (guint i = 0; i < gang_slots->len; i++)
    {
      if (executor_speed_class (g_array_index (gang_slots, gang_slot_t, i).executor->speed)
          == class)
        return true;
    }
  return false;
}

/* The plan that starts first or, if a member of it is too slow for the step, the best of plans on
 * executors of some class and faster ones, for which the gang may have to wait. */
static GArray *
choose_plan (const scheduler_t *scheduler, step_t *step, const GArray *gang_slots, gint64 now_us)
{
  GArray *best = plan_within (scheduler, step, gang_slots, now_us);

  if (scheduler->speeds == NULL || is_plan_fast_enough (best, step))
    return best;
  for (int class = EXECUTOR_SPEED_CLASS_MIN + 1; class <= EXECUTOR_SPEED_CLASS_MAX; class ++)
    {
      g_autoptr (GArray) fast = NULL;
      g_autoptr (GArray) plan = NULL;

      if (!has_class (gang_slots, class))
        continue;
      fast = gang_slots_from_class (gang_slots, class);
      if (fast->len == gang_slots->len)
        continue;
      plan = plan_within (scheduler, step, fast, now_us);
      if (plan_cost_us (scheduler, plan, step, now_us)
          >= plan_cost_us (scheduler, best, step, now_us))
        continue;
      g_clear_pointer (&best, g_array_unref);
      best = g_steal_pointer (&plan);
    }
  return best;
}

/* ---- Starting. */

/* Gives all members the latest checkpoint, which is the last in string order. */
static void
share_checkpoint (step_t *step)
{
  g_autofree char *latest = NULL;

  for (guint i = 0; i < step->spec->count; i++)
    {
      const char *checkpoint = step->tasks[i].checkpoint;

      if (checkpoint == NULL || (latest != NULL && strcmp (checkpoint, latest) <= 0))
        continue;
      g_free (latest);
      latest = g_strdup (checkpoint);
    }
  if (latest == NULL)
    return;
  for (guint i = 0; i < step->spec->count; i++)
    {
      g_free (step->tasks[i].checkpoint);
      step->tasks[i].checkpoint = g_strdup (latest);
    }
}

static void
start_gang (scheduler_t *scheduler, step_t *step, const GArray *plan)
{
  guint number = 0;

  for (guint i = 0; i < step->spec->count; i++)
    number = MAX (number, step->tasks[i].last_run_number);
  share_checkpoint (step);
  for (guint i = 0; i < step->spec->count; i++)
    scheduler_start_task (scheduler, &step->tasks[i], g_array_index (plan, gang_slot_t, i).executor,
                          number + 1);
}

static void
reserve (scheduler_t *scheduler, const GArray *plan, step_t *step)
{
  step->reserved_on = g_ptr_array_new ();
  g_ptr_array_add (scheduler->reserving, step);
  for (guint i = 0; i < MIN (plan->len, step->spec->count); i++)
    {
      executor_t *executor = g_array_index (plan, gang_slot_t, i).executor;

      executor->reserved.cpu_milli += step->spec->need.cpu_milli;
      executor->reserved.mem_mb += step->spec->need.mem_mb;
      executor->reserved.gpu += step->spec->need.gpu;
      g_ptr_array_add (step->reserved_on, executor);
    }
}

void
scheduler_release_reservation (scheduler_t *scheduler, step_t *step)
{
  if (step->reserved_on == NULL)
    return;
  for (guint i = 0; i < step->reserved_on->len; i++)
    {
      executor_t *executor = g_ptr_array_index (step->reserved_on, i);

      executor->reserved.cpu_milli -= step->spec->need.cpu_milli;
      executor->reserved.mem_mb -= step->spec->need.mem_mb;
      executor->reserved.gpu -= step->spec->need.gpu;
    }
  g_clear_pointer (&step->reserved_on, g_ptr_array_unref);
  (void) g_ptr_array_remove_fast (scheduler->reserving, step);
}

bool
scheduler_place_gang (scheduler_t *scheduler, step_t *step, bool may_reserve, gint64 now_us)
{
  g_autoptr (GPtrArray) allowed = NULL;
  g_autoptr (GArray) gang_slots = NULL;
  g_autoptr (GArray) plan = NULL;

  scheduler_release_reservation (scheduler, step);
  if (step->unplaced_count < step->spec->count)
    return true; /* members of an earlier run are not yet known to be gone */
  if (scheduler_gang_backs_off (step, now_us))
    return true;
  allowed = scheduler_allowed_executors (scheduler, step);
  gang_slots = gang_collect_slots (allowed, step, now_us);
  plan = choose_plan (scheduler, step, gang_slots, now_us);
  if (gang_start_us (plan, step) <= now_us)
    {
      start_gang (scheduler, step, plan);
      return true;
    }
  gang_request_advice (scheduler, step, plan, gang_slots, now_us);
  if (may_reserve && gang_is_complete (plan, step))
    reserve (scheduler, plan, step);
  return false;
}
