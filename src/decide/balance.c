#include "decide/balance.h"

/* Load with `added` more executors; the lowest is the best.  The penalties sort VMs in other
 * zones after all VMs in the zone, and within that the leader after all others. */
static double
load_cost (const balance_vm_t *vm, const char *zone, guint added)
{
  double load = (double) (vm->held + added) / (double) MAX (vm->cpu_milli, 1);

  if (vm->is_leader)
    load += 1e3;
  if (g_strcmp0 (vm->zone, zone) != 0)
    load += 1e6;
  return load;
}

int
balance_choose_vm (const balance_vm_t *vms, guint count, const char *zone)
{
  int best = -1;
  double best_cost = 0.0;

  for (guint i = 0; i < count; i++)
    {
      double cost = load_cost (&vms[i], zone, 1);

      if (vms[i].is_leaving)
        continue;
      if (best < 0 || cost < best_cost)
        {
          best = (int) i;
          best_cost = cost;
        }
    }
  return best;
}

bool
balance_should_move (const balance_vm_t *vms, guint count, const char *zone, guint from)
{
  int best = balance_choose_vm (vms, count, zone);

  if (best < 0 || (guint) best == from)
    return false;
  if (vms[from].is_leaving)
    return true;
  return load_cost (&vms[best], zone, 2) <= load_cost (&vms[from], zone, 0);
}
