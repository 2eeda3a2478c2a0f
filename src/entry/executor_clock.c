#include "entry/executor_clock.h"

enum
{
  DRIFT_PERCENT = 2, /* that steady clocks may differ in rate */
  MARGIN_MS = 50     /* for clocks that are read in whole milliseconds, and their adjustment */
};

/* Returns `percent` of the time in milliseconds. */
static gint64
scale_ms (gint64 elapsed_us, gint64 percent)
{
  return MAX (elapsed_us, 0) / 100 * percent / 1000;
}

clock_range_t
executor_clock_range (const clock_reading_t *reading, gint64 sent_us, gint64 now_us)
{
  gint64 least_ms = scale_ms (sent_us - reading->answered_us, 100 - DRIFT_PERCENT);
  gint64 most_ms = scale_ms (now_us - reading->asked_us, 100 + DRIFT_PERCENT);

  return (clock_range_t){ .min_ms = reading->clock_ms + least_ms - MARGIN_MS,
                          .max_ms = reading->clock_ms + most_ms + MARGIN_MS };
}

bool
executor_clock_is_in_range (const clock_range_t *range, gint64 clock_ms)
{
  return clock_ms > 0 && clock_ms >= range->min_ms && clock_ms <= range->max_ms;
}
