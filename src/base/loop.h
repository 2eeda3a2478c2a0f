/* Pace of the default main loop.
 *
 * Each iteration costs time in proportion to the number of sources, whatever it finds.  A process
 * with hundreds of connections saves most of it by letting events gather for a moment.
 */
#pragma once

#include <glib.h>

/* Makes each wait for events begin at least `interval_us` after the previous one ended; 0: at once,
 * as by default.  Timers fire up to that much later. */
void loop_set_pace_us (gint64 interval_us);
