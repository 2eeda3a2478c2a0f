/* Assignment of executors to entry VMs, balanced by load.  Pure functions. */
#pragma once

#include <glib.h>
#include <stdbool.h>

typedef struct
{
  const char *zone;
  guint cpu_milli; /* its share of a processor; 0: unknown, and taken as enough */
  bool is_leader;
  bool is_leaving;
  guint held; /* number of executors assigned to it */
} balance_vm_t;

/* Returns the index of the VM for an executor in `zone`, or -1 when all VMs are leaving or
 * there is none.  VMs in the zone go before all others, except those that would hold more than
 * their processor carries: these go after all others, wherever they are.  Among VMs of the same
 * rank the leader's goes last, and the one with the fewest executors for its CPU goes first. */
int balance_choose_vm (const balance_vm_t *vms, guint count, const char *zone);

/* True when an executor in `zone` should move from VM `from`: that VM is leaving, or the best
 * VM would be no worse than `from` is now even with two more executors, so that the move
 * reduces the imbalance by a whole executor or more. */
bool balance_should_move (const balance_vm_t *vms, guint count, const char *zone, guint from);
