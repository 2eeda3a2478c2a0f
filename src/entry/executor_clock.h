/* Tells from an executor's steady clock whether an answer is one of the incarnation that a call was
 * for.
 *
 * Answers to orders do not name the incarnation, and a connection may outlive one.  But the clock
 * begins anew with each incarnation, at a value of its own.  Times are those of this VM's clock,
 * except clock_ms, min_ms and max_ms, which are those of the executor's.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

/* The clock of an incarnation, as an answer of it states.  It was read between the two times. */
typedef struct
{
  gint64 clock_ms;
  gint64 asked_us;    /* no later than when the request was sent */
  gint64 answered_us; /* no earlier than when the answer arrived; 0: the clock is not known */
} clock_reading_t;

/* What the clock may be, both values included. */
typedef struct
{
  gint64 min_ms;
  gint64 max_ms;
} clock_range_t;

/* Returns what an answer of the same incarnation may state as its clock, if its request was sent
 * after the reading, no earlier than `sent_us`, and the answer has arrived by `now_us`.  The two
 * clocks may differ in rate by 2 %, in either direction. */
clock_range_t executor_clock_range (const clock_reading_t *reading, gint64 sent_us, gint64 now_us);

/* Returns whether the clock of an answer is in the range; 0: the answer states none. */
bool executor_clock_is_in_range (const clock_range_t *range, gint64 clock_ms);
