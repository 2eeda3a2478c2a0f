/* Which entry VM holds which executor. */
#pragma once

#include <glib.h>
#include <stdbool.h>

typedef struct
{
  const char *zone;
  guint cpu_milli;
  bool is_decider;
  bool is_leaving;
  guint held; /* executors that it holds already */
} share_vm_t;

/* Returns the VM (an index) for an executor of this zone, or -1 when there is none.
 * VMs of the zone go first, then those with the least load for their processor; the
 * decider's VM takes executors only where no other can. */
int share_choose (const share_vm_t *vms, guint count, const char *zone);

/* True when moving one executor of this zone from VM `from` evens out the load of the
 * zone's VMs by a whole executor or more. */
bool share_should_move (const share_vm_t *vms, guint count, const char *zone, guint from);
