/* Priority of VMs in the leader election: a VM with more CPU is preferred, since the leader's
 * work cannot be distributed.  Pure functions; CPU in thousandths of a core.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

/* Returns how long a VM waits before it tries to become leader, so that preferred VMs go
 * first.  `max_cpu_milli` is the CPU of the largest VM, 0 when not known.  `is_younger`: the
 * VM's process started after the record of the last leader was written; it goes first, since in a
 * rolling restart it is the last to be stopped again. */
guint election_policy_delay_ms (guint own_cpu_milli, guint max_cpu_milli, bool is_younger);

/* Returns how much longer a VM waits when it has not reached the key-value service for a time: VMs
 * notice the end of an outage at different times, a larger one perhaps later than this one. */
guint election_policy_outage_delay_ms (guint own_cpu_milli, guint max_cpu_milli);

/* True when a leader with `own_cpu_milli` should step down because there is a VM with
 * `other_cpu_milli`. */
bool election_policy_should_step_down (guint own_cpu_milli, guint other_cpu_milli);
