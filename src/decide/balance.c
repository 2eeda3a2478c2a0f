#include "decide/balance.h"

/* What a VM carries beside its other work: with 125 to 150 executors for a core a VM kept up, with
 * 180 its processor was full and its executors went unanswered for seconds (review/2). */
static const double executors_per_milli_max = 0.1;

/* Penalties, in the order in which VMs are taken: those in the zone, those outside it, and,
 * wherever they are, those that hold more than they carry.  Within each the leader goes last. */
static const double leader_penalty = 1e3;
static const double zone_penalty = 1e6;
static const double overload_penalty = 1e9;

/* Load with `added` more executors; the lowest is the best. */
static double
load_cost (const balance_vm_t *vm, const char *zone, guint added)
{
  double load = (double) (vm->held + added) / (double) MAX (vm->cpu_milli, 1);
  double cost = load;

  if (vm->is_leader)
    cost += leader_penalty;
  if (vm->cpu_milli > 0 && load > executors_per_milli_max)
    cost += overload_penalty;
  else if (g_strcmp0 (vm->zone, zone) != 0)
    cost += zone_penalty;
  return cost;
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
