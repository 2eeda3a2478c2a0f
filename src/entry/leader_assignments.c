#define LOG_MODULE "decider"

#include "entry/leader_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "decide/balance.h"

#include <string.h>

enum
{
  BALANCE_GROUP = 64, /* executors among which one call looks for those to move */
  MOVES_DIVISOR = 100 /* a call moves this part of the fleet for balance, or one executor */
};

void
leader_send_assignment (const assignment_t *assignment, vm_t *vm, bool drop)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Assign message = MIMOSASTAIR__ASSIGN__INIT;
  Mimosastair__Assign *list = &message;

  message.executor = assignment->id;
  message.address = assignment->address;
  message.born = assignment->born;
  message.fence_step = assignment->fence_step;
  message.acked = assignment->acked;
  message.mark = assignment->mark;
  message.drop = drop;
  frame.n_assign = 1;
  frame.assign = &list;
  (void) link_send (vm->link, &frame);
}

void
leader_unassign_executor (assignment_t *assignment)
{
  if (assignment->vm == NULL)
    return;
  assignment->vm->executor_count--;
  assignment->vm = NULL;
}

void
leader_assignment_free (gpointer data)
{
  assignment_t *assignment = data;

  g_free (assignment->id);
  g_free (assignment->address);
  g_free (assignment->zone);
  g_free (assignment);
}

static GArray *
collect_balance_vms (const leader_t *leader, GPtrArray *vms)
{
  GArray *balance_vms = g_array_new (FALSE, TRUE, sizeof (balance_vm_t));

  for (list_node_t *node = leader->vms.next; node != &leader->vms; node = node->next)
    {
      vm_t *vm = LIST_ENTRY (node, vm_t, node);
      balance_vm_t balance_vm = {
        .zone = vm->zone,
        .cpu_milli = vm->cpu_milli,
        .is_leaving = vm->is_leaving,
        .held = vm->executor_count,
      };

      if (vm->name == NULL)
        continue;
      balance_vm.is_leader = strcmp (vm->name, leader->config.vm) == 0;
      vm->balance_row = balance_vms->len;
      g_array_append_val (balance_vms, balance_vm);
      g_ptr_array_add (vms, vm);
    }
  return balance_vms;
}

static void
assign_to_vm (assignment_t *assignment, vm_t *vm)
{
  assignment->vm = vm;
  vm->executor_count++;
  LOG_INFO ("executor_assigned",
            "executor=%s vm=%s held=%u born=%" G_GINT64_FORMAT " step=%u acked=%" G_GUINT64_FORMAT,
            assignment->id, vm->name, vm->executor_count, assignment->born, assignment->fence_step,
            assignment->acked);
  leader_send_assignment (assignment, vm, false);
}

void
leader_assign_executors (leader_t *leader)
{
  g_autoptr (GPtrArray) vms = g_ptr_array_new ();
  g_autoptr (GArray) balance_vms = collect_balance_vms (leader, vms);
  balance_vm_t *rows = (balance_vm_t *) (void *) balance_vms->data;
  guint group_count = MAX (g_hash_table_size (leader->assignments) / BALANCE_GROUP, 1);
  guint group = leader->balance_group++ % group_count;
  guint position = 0;
  guint moves_left = MAX (g_hash_table_size (leader->assignments) / MOVES_DIVISOR, 1);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, leader->assignments);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      assignment_t *assignment = value;
      bool is_in_group = position++ % group_count == group;
      int to;

      if (assignment->vm != NULL)
        {
          guint from = assignment->vm->balance_row;

          /* Each call moves all executors of leaving VMs, but few for balance, which it looks for
           * in a part of the fleet. */
          if (!rows[from].is_leaving && (moves_left == 0 || !is_in_group))
            continue;
          if (!balance_should_move (rows, vms->len, assignment->zone, from))
            continue;
          moves_left -= MIN (moves_left, 1);
          rows[from].held--;
          leader_send_assignment (assignment, assignment->vm, true);
          leader_unassign_executor (assignment);
          scheduler_executor_reassigned (leader->scheduler, assignment->id, clock_now_us ());
        }
      to = balance_choose_vm (rows, vms->len, assignment->zone);
      if (to < 0)
        continue;
      rows[to].held++;
      assign_to_vm (assignment, g_ptr_array_index (vms, (guint) to));
    }
}

void
leader_unassign_lost_vm (const vm_t *vm, gint64 now_us)
{
  leader_t *leader = vm->leader;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, leader->assignments);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      assignment_t *assignment = value;

      if (assignment->vm != vm)
        continue;
      leader_unassign_executor (assignment);
      scheduler_executor_vm_lost (leader->scheduler, assignment->id, now_us);
    }
}
