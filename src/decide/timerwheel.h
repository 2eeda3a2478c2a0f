/* Timer wheel: intrusive timers with O(1) start and stop.
 *
 * Times are microseconds of one monotonic clock.  A timer fires on the first
 * timerwheel_advance() at or after its due time, rounded up to TIMERWHEEL_TICK_US.
 */
#pragma once

#include "base/list.h"

#include <glib.h>

enum
{
  TIMERWHEEL_TICK_US = 4096,
  TIMERWHEEL_SLOTS = 4096
};

typedef struct
{
  list_node_t node;
  gint64 due_us;
} wheel_timer_t;

typedef struct
{
  gint64 current_tick;
  guint count;
  list_node_t slots[TIMERWHEEL_SLOTS];
} timerwheel_t;

typedef void (*timerwheel_fire_t) (wheel_timer_t *timer, void *data);

void timerwheel_init (timerwheel_t *wheel, gint64 now_us);

/* Starts a timer that is not running.  The caller owns it and keeps it until it has fired or is
 * stopped. */
void timerwheel_start (timerwheel_t *wheel, wheel_timer_t *timer, gint64 due_us);

/* Does nothing when the timer is not running. */
void timerwheel_stop (timerwheel_t *wheel, wheel_timer_t *timer);

/* Calls `fire` for every timer that is due at `now_us`; it may start and stop timers. */
void timerwheel_advance (timerwheel_t *wheel, gint64 now_us, timerwheel_fire_t fire, void *data);
