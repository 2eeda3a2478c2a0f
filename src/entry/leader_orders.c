#define LOG_MODULE "decider"

#include "entry/leader_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "entry/codec.h"
#include "entry/keys.h"

#include <string.h>

/* An advice call times out when it takes this much longer than expected. */
static const guint advice_timeout_margin_ms = 1200;

/* ---- Orders of the scheduler. */

static vm_t *
assigned_vm (const leader_t *leader, const char *executor)
{
  const assignment_t *assignment = g_hash_table_lookup (leader->assignments, executor);

  return assignment != NULL ? assignment->vm : NULL;
}

typedef struct
{
  leader_t *leader;
  guint64 order;
  bool is_advice;
} unsent_order_t;

static gboolean
report_unsent_order (gpointer data)
{
  unsent_order_t *unsent = data;
  leader_t *leader = unsent->leader;

  leader->pending_call_count--;
  if (!leader->is_freed)
    {
      if (unsent->is_advice)
        scheduler_advice_result (leader->scheduler, unsent->order, false, NULL, 0, clock_now_us ());
      else
        scheduler_order_result (leader->scheduler, unsent->order, ORDER_NOT_SENT, clock_now_us ());
      leader_schedule_round (leader);
    }
  else if (leader->pending_call_count == 0)
    leader_destroy (leader);
  g_free (unsent);
  return G_SOURCE_REMOVE;
}

/* Reports the failure in a later main loop iteration, as the scheduler is in the middle of
 * a step. */
static void
report_unsent_later (leader_t *leader, guint64 order, bool is_advice)
{
  unsent_order_t *unsent = g_new0 (unsent_order_t, 1);

  unsent->leader = leader;
  unsent->order = order;
  unsent->is_advice = is_advice;
  leader->pending_call_count++;
  (void) g_idle_add (report_unsent_order, unsent);
}

/* Sends an order to the VM, to which the executor is assigned; NULL: to none.  Returns false if it
 * was not sent, which the scheduler is told. */
static bool
send_order (leader_t *leader, vm_t *vm, guint64 order, const Mimosastair__Frame *frame)
{
  if (vm != NULL && link_send (vm->link, frame))
    {
      guint64 *key = g_new (guint64, 1);

      *key = order;
      g_hash_table_insert (leader->open_orders, key, vm);
      return true;
    }
  report_unsent_later (leader, order, false);
  return false;
}

void
leader_set_kept_texts (vm_t *vm, guint count)
{
  text_table_free (vm->texts);
  vm->texts = count > 0 ? text_table_new (MIN (count, TEXT_TABLE_MAX_TEXTS)) : NULL;
}

/* Puts the text into the order, unless the VM has it. */
static void
fill_text (Mimosastair__StartOrder *message, const vm_t *vm, const start_order_t *order)
{
  message->text_known
      = vm != NULL && vm->texts != NULL && text_table_has (vm->texts, order->text_digest);
  if (!message->text_known)
    {
      message->spec = (char *) order->spec;
      return;
    }
  message->text_digest.len = sizeof order->text_digest->bytes;
  message->text_digest.data = (guint8 *) order->text_digest->bytes;
}

static void
op_start (const start_order_t *order, void *data)
{
  vm_t *vm = assigned_vm (data, order->executor);
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__StartOrder message = MIMOSASTAIR__START_ORDER__INIT;
  Mimosastair__StartOrder *list = &message;
  Mimosastair__TaskRef ref;

  codec_fill_task (&ref, (task_ref_t *) &order->task);
  message.order = order->order;
  message.executor = (char *) order->executor;
  message.born = order->born;
  message.fence_step = order->fence_step;
  message.task = &ref;
  message.run = order->run;
  fill_text (&message, vm, order);
  message.checkpoint = (char *) order->checkpoint;
  message.ticket = (char *) order->ticket;
  message.checked = order->is_checked;
  frame.n_start = 1;
  frame.start = &list;
  /* The VM applies what is sent only: an order that is not must leave no trace here. */
  if (send_order (data, vm, order->order, &frame) && vm->texts != NULL)
    text_table_note (vm->texts, order->text_digest, strlen (order->spec));
}

static void
op_stop (const stop_order_t *order, void *data)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__StopOrder message = MIMOSASTAIR__STOP_ORDER__INIT;
  Mimosastair__StopOrder *list = &message;
  Mimosastair__TaskRef ref;

  codec_fill_task (&ref, (task_ref_t *) &order->task);
  message.order = order->order;
  message.executor = (char *) order->executor;
  message.born = order->born;
  message.task = &ref;
  message.run = order->run;
  frame.n_stop = 1;
  frame.stop = &list;
  (void) send_order (data, assigned_vm (data, order->executor), order->order, &frame);
}

static vm_t *
choose_advice_vm (const leader_t *leader)
{
  vm_t *chosen = NULL;

  for (list_node_t *node = leader->vms.next; node != &leader->vms; node = node->next)
    {
      vm_t *vm = LIST_ENTRY (node, vm_t, node);

      if (vm->name == NULL || vm->is_leaving || vm->advice_order != 0)
        continue;
      if (chosen == NULL || vm->executor_count < chosen->executor_count)
        chosen = vm;
    }
  return chosen;
}

static void
op_advise (const advise_order_t *order, void *data)
{
  leader_t *leader = data;
  vm_t *vm = choose_advice_vm (leader);
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__AdviceOrder message = MIMOSASTAIR__ADVICE_ORDER__INIT;
  Mimosastair__AdviceOrder *list = &message;
  Mimosastair__TaskRef ref;

  codec_fill_task (&ref, (task_ref_t *) &order->step);
  message.order = order->order;
  message.step = &ref;
  message.n_executors = order->executor_count;
  message.executors = (char **) order->executors;
  message.timeout_ms = (guint) (order->expected_us / 1000) + advice_timeout_margin_ms;
  frame.n_advise = 1;
  frame.advise = &list;
  if (vm == NULL || !link_send (vm->link, &frame))
    {
      report_unsent_later (leader, order->order, true);
      return;
    }
  vm->advice_order = order->order;
  vm->is_advice_slow = order->is_slow;
}

static void
op_save_progress (const char *job, void *data)
{
  leader_t *leader = data;

  if (leader->recorder != NULL)
    recorder_save_progress (leader->recorder, job);
}

static void
op_finish (const char *job, job_state_t state, void *data)
{
  leader_t *leader = data;

  if (leader->recorder != NULL)
    recorder_save_end (leader->recorder, job, state);
}

static void
op_acknowledge (
    const char *executor, gint64 born, guint64 acked, guint64 mark, guint fence_step, void *data)
{
  leader_t *leader = data;
  assignment_t *assignment = g_hash_table_lookup (leader->assignments, executor);

  if (assignment == NULL)
    return;
  assignment->born = born;
  assignment->fence_step = fence_step;
  assignment->acked = acked;
  assignment->mark = mark;
  if (assignment->vm != NULL)
    leader_send_assignment (assignment, assignment->vm, false);
}

static void
op_hold (const char *executor, const char *address, void *data)
{
  leader_t *leader = data;
  assignment_t *assignment = g_hash_table_lookup (leader->assignments, executor);

  if (assignment != NULL && assignment->vm != NULL
      && (address == NULL || strcmp (address, assignment->address) != 0))
    {
      leader_send_assignment (assignment, assignment->vm, true);
      leader_unassign_executor (assignment);
    }
  if (address == NULL)
    {
      g_hash_table_remove (leader->assignments, executor);
      return;
    }
  if (assignment == NULL)
    {
      assignment = g_new0 (assignment_t, 1);
      assignment->id = g_strdup (executor);
      g_hash_table_insert (leader->assignments, assignment->id, assignment);
    }
  g_free (assignment->address);
  assignment->address = g_strdup (address);
}

/* ---- Placements, which are stored before their orders are sent. */

static void
placement_stored (guint64 placement, void *data)
{
  leader_t *leader = data;

  scheduler_placement_stored (leader->scheduler, placement, clock_now_us ());
  leader_schedule_round (leader);
}

static void
placement_refused (void *data)
{
  leader_depose (data, "placement_refused");
}

const placement_writer_events_t leader_placement_writer_events
    = { placement_stored, placement_refused };

static void
op_place (guint64 placement, const placed_run_t *runs, guint count, void *data)
{
  placement_writer_write (((leader_t *) data)->placement_writer, placement, runs, count);
}

static void
op_delete_placement (guint64 placement, void *data)
{
  leader_t *leader = data;
  g_autofree char *key = NULL;

  if (leader->recorder == NULL)
    return;
  if (placement < RESTORED_PLACEMENT_LIMIT)
    {
      recorder_delete_key (leader->recorder, g_ptr_array_index (leader->inherited_placement_keys,
                                                                (guint) placement - 1));
      return;
    }
  key = placement_writer_key (leader->placement_writer, placement);
  recorder_delete_key (leader->recorder, key);
}

static void
op_deposed (void *data)
{
  leader_depose (data, "executor_fenced");
}

static void
op_write_log (const char *event, const char *pairs, void *data G_GNUC_UNUSED)
{
  LOG_INFO (event, "%s", pairs);
}

const scheduler_ops_t leader_scheduler_ops = {
  .start = op_start,
  .stop = op_stop,
  .advise = op_advise,
  .save_progress = op_save_progress,
  .finish = op_finish,
  .acknowledge = op_acknowledge,
  .hold = op_hold,
  .place = op_place,
  .delete_placement = op_delete_placement,
  .deposed = op_deposed,
  .write_log = op_write_log,
};
