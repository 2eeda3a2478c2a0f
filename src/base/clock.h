/* Clocks of this process.
 *
 * Only code that owns sockets reads the clocks.  Functions that make decisions take the
 * current time as an argument.
 */
#pragma once

#include <glib.h>
#include <time.h>

/* Returns microseconds of a monotonic clock that also advances while the VM is suspended. */
static inline gint64
clock_now_us (void)
{
  struct timespec now;

  (void) clock_gettime (CLOCK_BOOTTIME, &now);
  return (gint64) now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}

/* Returns microseconds of processor time that this thread has used; 0 if that is not known. */
static inline gint64
clock_thread_cpu_us (void)
{
  struct timespec used = { 0 };

  (void) clock_gettime (CLOCK_THREAD_CPUTIME_ID, &used);
  return (gint64) used.tv_sec * G_USEC_PER_SEC + used.tv_nsec / 1000;
}

/* Returns the wall-clock time in Unix milliseconds; it may jump. */
static inline gint64
clock_unix_ms (void)
{
  return g_get_real_time () / 1000;
}
