/* Fencing tokens of the calls to an executor.
 *
 * An executor ignores calls with a lower token than the highest that it has seen.  Its next
 * incarnation has seen none, and takes calls that were meant for the former one, however late:
 * their leases are on another clock and their acknowledgements count other ends.  So a leader
 * counts the steps of each executor that it knows: each incarnation begins with a step of its own,
 * and a start order has a later one than any acknowledgement sent before it.  Pure functions.
 */
#pragma once

#include <glib.h>

enum
{
  FENCE_STEPS_PER_LEADER = 1 << 20,                      /* of an executor, under one leader */
  FENCE_STEPS_FOR_STARTS = FENCE_STEPS_PER_LEADER - 4096 /* the others are for incarnations */
};

/* Returns the first token of the leader whose record has this revision, which it tells the VMs. The
 * tokens of a later leader are above all tokens of an earlier one, and every JSON reader keeps them
 * as they are.  Above fence_token_leader_max() there is no room for steps: the revision is
 * returned. */
gint64 fence_token_first (gint64 leader_fence);

/* Returns the token of calls to the incarnation number `step`, from 0, for the leader whose first
 * token is `first`.  One that leaves no room for steps, as that of a leader of an earlier version,
 * is returned as it is. */
gint64 fence_token (gint64 first, guint step);

/* Returns the highest revision that leaves room for the steps. */
gint64 fence_token_leader_max (void);
