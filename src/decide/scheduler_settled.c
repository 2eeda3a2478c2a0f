/* Which starts have an outcome that is known, for the next leader.
 *
 * A start is known once the incarnation that it was ordered for has answered the order or listed
 * the run: the run is on that incarnation or nowhere, and no order can start it again.  What is
 * known stays known, so an outdated record tells too little, never too much. */
#include "decide/scheduler_state.h"

void
scheduler_expect_start (scheduler_t *scheduler, run_t *run)
{
  run->has_open_start = true;
  if (run->placement->open_start_count++ == 0)
    list_push_back (&scheduler->open_placements, &run->placement->open_node);
}

static void
close_start (run_t *run)
{
  run->has_open_start = false;
  if (--run->placement->open_start_count == 0)
    list_remove (&run->placement->open_node);
}

void
scheduler_start_known (scheduler_t *scheduler, run_t *run)
{
  if (!run->has_open_start)
    return;
  close_start (run);
  scheduler->known_starts++;
}

/* Its record may outlive the run.  Once no order for it can be carried out, and what one has
 * started by then is gone, the run is nowhere, which is known as well. */
void
scheduler_abandon_start (scheduler_t *scheduler, run_t *run, gint64 now_us)
{
  gint64 sent_us = now_us + scheduler->limits.leader_lease_us;
  abandoned_start_t abandoned;

  if (!run->has_open_start)
    return;
  abandoned.start.placement = run->placement->number;
  abandoned.start.run = run->placement_index;
  abandoned.until_us = scheduler_late_call_lease_end_us (scheduler, sent_us);
  g_array_append_val (scheduler->abandoned_starts, abandoned);
  close_start (run);
}

void
scheduler_note_restarted (scheduler_t *scheduler, gint64 now_us)
{
  scheduler->repeats_until_us = scheduler_repeats_end_us (scheduler, now_us);
}

static bool
may_be_restarted (const executor_t *executor)
{
  for (list_node_t *node = executor->runs.next; node != &executor->runs; node = node->next)
    {
      const run_t *run = LIST_ENTRY (node, run_t, executor_node);
      bool is_in_doubt = run->state == RUN_RESTORED && !run->is_start_known;

      if (run->task != NULL && run->is_restored && (is_in_doubt || run->start_order != 0))
        return true;
    }
  return false;
}

/* Whether orders may be carried out late, or sent later, that start a run which another order has
 * started.  Once none may, there will be none. */
static bool
may_repeat (scheduler_t *scheduler, gint64 now_us)
{
  if (!scheduler->may_repeat)
    return false;
  if (scheduler->may_former_repeat
      && (scheduler->former_starts_until_us == 0 || now_us < scheduler->former_starts_until_us))
    return true;
  if (now_us < scheduler->repeats_until_us)
    return true;
  for (guint i = 0; i < scheduler->executor_list->len; i++)
    {
      if (may_be_restarted (g_ptr_array_index (scheduler->executor_list, i)))
        return true;
    }
  scheduler->may_repeat = false;
  return false;
}

static void
append_open (const placement_t *placement, GArray *open)
{
  for (const list_node_t *node = placement->runs.next; node != &placement->runs; node = node->next)
    {
      const run_t *run = LIST_ENTRY (node, run_t, placement_node);
      open_start_t start = { .placement = placement->number, .run = run->placement_index };

      if (run->has_open_start)
        g_array_append_val (open, start);
    }
}

static void
append_abandoned (scheduler_t *scheduler, GArray *open, gint64 now_us)
{
  guint i = 0;

  while (i < scheduler->abandoned_starts->len)
    {
      const abandoned_start_t *abandoned
          = &g_array_index (scheduler->abandoned_starts, abandoned_start_t, i);

      if (abandoned->until_us <= now_us)
        {
          g_array_remove_index_fast (scheduler->abandoned_starts, i);
          continue;
        }
      g_array_append_val (open, abandoned->start);
      i++;
    }
}

void
scheduler_get_settled_starts (scheduler_t *scheduler, settled_starts_t *settled, gint64 now_us)
{
  *settled = (settled_starts_t){ .below = scheduler->next_placement,
                                 .open = g_array_new (FALSE, FALSE, sizeof (open_start_t)),
                                 .unsteady = g_ptr_array_new (),
                                 .may_repeat = may_repeat (scheduler, now_us) };
  for (list_node_t *node = scheduler->open_placements.next; node != &scheduler->open_placements;
       node = node->next)
    append_open (LIST_ENTRY (node, placement_t, open_node), settled->open);
  append_abandoned (scheduler, settled->open, now_us);
  for (guint i = 0; i < scheduler->executor_list->len; i++)
    {
      executor_t *executor = g_ptr_array_index (scheduler->executor_list, i);

      if (!scheduler_is_steady (scheduler, executor, now_us))
        g_ptr_array_add (settled->unsteady, executor->id);
    }
}

void
settled_starts_clear (settled_starts_t *settled)
{
  g_clear_pointer (&settled->open, g_array_unref);
  g_clear_pointer (&settled->unsteady, g_ptr_array_unref);
}

guint64
scheduler_known_starts (const scheduler_t *scheduler)
{
  return scheduler->known_starts;
}

void
scheduler_set_former_repeats (scheduler_t *scheduler, bool may_former_repeat)
{
  scheduler->may_former_repeat = may_former_repeat;
}
