/* Which VM takes a claim that is free: rather one with more processor, as the holder's
 * work can't be shared out.  Pure; processor in thousandths of a core.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

/* Time that a VM with `own_cpu_milli` leaves to larger ones before it takes a free claim.  `max_cpu_milli`
 * is that of the largest VM; 0: not known.  A VM whose process is younger than the claim that
 * ended goes first: when VMs are restarted in turn, it is the last to be stopped again. */
guint succession_delay_ms (guint own_cpu_milli, guint max_cpu_milli, bool is_younger);

/* True when a holder with `own_cpu_milli` should give its claim up as there is a VM with `other_cpu_milli`. */
bool succession_should_yield (guint own_cpu_milli, guint other_cpu_milli);
