/* Pace of the default main loop, and a watch on the length of its turns.
 *
 * Each iteration costs time in proportion to the number of sources, whatever it finds.  A process
 * with hundreds of connections saves most of it by letting events gather for a moment.
 *
 * A turn is what runs from the end of one wait for events to the start of the next one.
 */
#pragma once

#include <glib.h>

/* Makes each wait for events begin at least `interval_us` after the previous one ended; 0: at once,
 * as by default.  Timers fire up to that much later. */
void loop_set_pace_us (gint64 interval_us);

/* Logs turns that take 200 ms or more as `event=slow_turn`, at most one line a second: the time of
 * the steady clock, the processor time of the thread (at most 50 ms of it from before the turn),
 * the last event that was logged in the turn and the number of such events, and the slow turns
 * since the last line.  If the processor time is far below the other one, the machine did not run
 * the process. */
void loop_watch_turns (void);

guint64 loop_slow_turn_count (void);

/* Appends the number of slow turns and the longest turn of all. */
void loop_append_metrics (GString *out);
