#include "base/loop.h"

#include "base/clock.h"

static gint64 pace_us;
static gint64 last_poll_us;

/* Returns the time to wait before the next poll that may wait up to `timeout_ms`; -1: forever. */
static gint64
pause_us (gint timeout_ms)
{
  gint64 left_us = last_poll_us + pace_us - clock_now_us ();

  if (pace_us == 0 || timeout_ms == 0 || left_us <= 0)
    return 0;
  return timeout_ms > 0 ? MIN (left_us, (gint64) timeout_ms * 1000) : left_us;
}

static gint
paced_poll (GPollFD *fds, guint count, gint timeout_ms)
{
  gint64 paused_us = pause_us (timeout_ms);
  gint result;

  if (paused_us > 0)
    g_usleep ((gulong) paused_us);
  if (timeout_ms > 0)
    timeout_ms -= MIN (timeout_ms, (gint) (paused_us / 1000));
  result = g_poll (fds, count, timeout_ms);
  last_poll_us = clock_now_us ();
  return result;
}

void
loop_set_pace_us (gint64 interval_us)
{
  pace_us = interval_us;
  g_main_context_set_poll_func (NULL, interval_us > 0 ? paced_poll : NULL);
}
