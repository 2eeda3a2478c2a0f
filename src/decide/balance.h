/* Assignment of executors to entry VMs, balanced by load.  Pure functions. */
#pragma once

#include <glib.h>
#include <stdbool.h>

typedef struct
{
  const char *zone;
  guint cpu_milli;
  bool is_leader;
  bool is_leaving;
  guint held; /* number of executors that are assigned to it */
} balance_vm_t;

/* Returns the index of the VM for an executor in `zone`, or -1 when all VMs are leaving or
 * there is none.  VMs in the zone go first, then those with the least load for their CPU; the
 * leader's VM gets executors only when no other VM can take them. */
int balance_choose_vm (const balance_vm_t *vms, guint count, const char *zone);

/* True when an executor in `zone` should move from VM `from`: that VM is leaving, or the move
 * reduces the imbalance between the zone's VMs by a whole executor or more. */
bool balance_should_move (const balance_vm_t *vms, guint count, const char *zone, guint from);
