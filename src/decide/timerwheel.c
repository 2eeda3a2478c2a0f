#include "decide/timerwheel.h"

static gint64
tick_at_or_after (gint64 time_us)
{
  return (time_us + TIMERWHEEL_TICK_US - 1) / TIMERWHEEL_TICK_US;
}

void
timerwheel_init (timerwheel_t *wheel, gint64 now_us)
{
  wheel->current_tick = now_us / TIMERWHEEL_TICK_US;
  wheel->count = 0;
  for (guint i = 0; i < TIMERWHEEL_SLOTS; i++)
    list_init (&wheel->slots[i]);
}

void
timerwheel_start (timerwheel_t *wheel, wheel_timer_t *timer, gint64 due_us)
{
  gint64 tick = tick_at_or_after (due_us);

  if (tick <= wheel->current_tick)
    tick = wheel->current_tick + 1;
  timer->due_us = due_us;
  list_push_back (&wheel->slots[tick % TIMERWHEEL_SLOTS], &timer->node);
  wheel->count++;
}

void
timerwheel_stop (timerwheel_t *wheel, wheel_timer_t *timer)
{
  if (!list_is_linked (&timer->node))
    return;
  list_remove (&timer->node);
  wheel->count--;
}

static void
fire_slot (timerwheel_t *wheel, guint slot, gint64 now_us, timerwheel_fire_t fire, void *data)
{
  list_node_t due;

  /* Moves the timers to a separate list first, since a fired one may start another in this
   * slot. */
  list_init (&due);
  while (!list_is_empty (&wheel->slots[slot]))
    {
      list_node_t *node = wheel->slots[slot].next;

      list_remove (node);
      list_push_back (&due, node);
    }
  while (!list_is_empty (&due))
    {
      wheel_timer_t *timer = LIST_ENTRY (due.next, wheel_timer_t, node);

      list_remove (&timer->node);
      if (timer->due_us > now_us)
        {
          list_push_back (&wheel->slots[slot], &timer->node);
          continue;
        }
      wheel->count--;
      fire (timer, data);
    }
}

void
timerwheel_advance (timerwheel_t *wheel, gint64 now_us, timerwheel_fire_t fire, void *data)
{
  gint64 target_tick = now_us / TIMERWHEEL_TICK_US;
  gint64 first_tick = wheel->current_tick + 1;

  /* After a long pause, one round of the wheel visits every slot. */
  if (target_tick - first_tick >= TIMERWHEEL_SLOTS)
    first_tick = target_tick - TIMERWHEEL_SLOTS + 1;
  for (gint64 tick = first_tick; tick <= target_tick; tick++)
    {
      wheel->current_tick = tick;
      fire_slot (wheel, (guint) (tick % TIMERWHEEL_SLOTS), now_us, fire, data);
    }
}
