/* The clocks of this process.  Only the tasks that own sockets read them; functions
 * that decide take the time as an argument. */
#pragma once

#include <glib.h>
#include <time.h>

/* Microseconds on a steady clock that also runs while the VM is suspended. */
static inline gint64
clock_now_us (void)
{
  struct timespec now;

  (void) clock_gettime (CLOCK_BOOTTIME, &now);
  return (gint64) now.tv_sec * G_USEC_PER_SEC + now.tv_nsec / 1000;
}

/* Unix milliseconds by the time of day, which may jump. */
static inline gint64
clock_unix_ms (void)
{
  return g_get_real_time () / 1000;
}
