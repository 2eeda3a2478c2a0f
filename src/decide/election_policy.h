/* Which VM takes a claim that is free: rather one with more processor, as the holder's
 * work can't be shared out.  Pure; processor in thousandths of a core.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

/* Time that a VM with `own` leaves to larger ones before it takes a free claim.  `most`
 * is that of the largest VM; 0: not known.  A VM whose process is younger than the claim that
 * ended goes first: when VMs are restarted in turn, it is the last to be stopped again. */
guint succession_delay_ms (guint own, guint most, bool is_younger);

/* True when a holder with `own` should give its claim up as there is a VM with `other`. */
bool succession_should_yield (guint own, guint other);
