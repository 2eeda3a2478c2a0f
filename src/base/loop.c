#define LOG_MODULE "loop"

#include "base/loop.h"

#include "base/clock.h"
#include "base/log.h"

#include <stdbool.h>

enum
{
  SLOW_TURN_US = 200 * 1000,
  REPORT_INTERVAL_US = 1000 * 1000,   /* at most one line in this time */
  CPU_SAMPLE_INTERVAL_US = 50 * 1000, /* reading the clock of the processor is a system call */
};

static gint64 pace_us;
static gint64 last_poll_us;

static bool is_watching;
static gint64 turn_start_us; /* of the steady clock; 0: not in a turn */
static guint64 turn_start_events;
static gint64 cpu_sample_us; /* processor time of this thread, read at cpu_sampled_at_us */
static gint64 cpu_sampled_at_us;
static gint64 reported_at_us;
static gint64 longest_turn_us;
static guint64 slow_turns;
static guint64 slow_turns_reported;

/* ---- Watching turns. */

static void
report_slow_turn (gint64 took_us, gint64 now_us)
{
  log_last_event_t last = log_last_event ();
  bool has_logged = last.count > turn_start_events;

  LOG_WARN ("slow_turn",
            "took_ms=%" G_GINT64_FORMAT " cpu_ms=%" G_GINT64_FORMAT " last_event=%s/%s "
            "events=%" G_GUINT64_FORMAT " count=%" G_GUINT64_FORMAT,
            took_us / 1000, (clock_thread_cpu_us () - cpu_sample_us) / 1000,
            has_logged ? last.module : "-", has_logged ? last.event : "-",
            last.count - turn_start_events, slow_turns - slow_turns_reported);
  slow_turns_reported = slow_turns;
  reported_at_us = now_us;
}

static void
end_turn (gint64 now_us)
{
  gint64 took_us = now_us - turn_start_us;

  if (turn_start_us == 0)
    return;
  turn_start_us = 0;
  longest_turn_us = MAX (longest_turn_us, took_us);
  if (took_us < SLOW_TURN_US)
    return;
  slow_turns++;
  if (reported_at_us == 0 || now_us - reported_at_us >= REPORT_INTERVAL_US)
    report_slow_turn (took_us, now_us);
}

static void
begin_turn (gint64 now_us)
{
  turn_start_us = now_us;
  turn_start_events = log_last_event ().count;
  if (cpu_sampled_at_us != 0 && now_us - cpu_sampled_at_us < CPU_SAMPLE_INTERVAL_US)
    return;
  cpu_sample_us = clock_thread_cpu_us ();
  cpu_sampled_at_us = now_us;
}

/* ---- Pace. */

/* Returns the time to wait before the next poll that may wait up to `timeout_ms`; -1: forever. */
static gint64
pause_us (gint timeout_ms)
{
  gint64 left_us;

  if (pace_us == 0 || timeout_ms == 0)
    return 0;
  left_us = last_poll_us + pace_us - clock_now_us ();
  if (left_us <= 0)
    return 0;
  return timeout_ms > 0 ? MIN (left_us, (gint64) timeout_ms * 1000) : left_us;
}

static gint
paced_poll (GPollFD *fds, guint count, gint timeout_ms)
{
  gint64 paused_us;
  gint result;

  if (is_watching)
    end_turn (g_get_monotonic_time ());
  paused_us = pause_us (timeout_ms);
  if (paused_us > 0)
    g_usleep ((gulong) paused_us);
  if (timeout_ms > 0)
    timeout_ms -= MIN (timeout_ms, (gint) (paused_us / 1000));
  result = g_poll (fds, count, timeout_ms);
  if (pace_us != 0)
    last_poll_us = clock_now_us ();
  if (is_watching)
    begin_turn (g_get_monotonic_time ());
  return result;
}

void
loop_set_pace_us (gint64 interval_us)
{
  pace_us = interval_us;
  g_main_context_set_poll_func (NULL, interval_us > 0 || is_watching ? paced_poll : NULL);
}

void
loop_watch_turns (void)
{
  is_watching = true;
  g_main_context_set_poll_func (NULL, paced_poll);
}

guint64
loop_slow_turn_count (void)
{
  return slow_turns;
}

void
loop_append_metrics (GString *out)
{
  g_string_append_printf (out, "mimosastair_slow_turns_total %" G_GUINT64_FORMAT "\n", slow_turns);
  g_string_append_printf (out, "mimosastair_longest_turn_ms %" G_GINT64_FORMAT "\n",
                          longest_turn_us / 1000);
}
