#define LOG_MODULE "decider"

#include "entry/leader_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "entry/codec.h"
#include "entry/keys.h"

#include <string.h>

/* A call for advice may take this much longer than its terms say. */
static const guint advice_slack_ms = 1200;

/* ---- Orders of the cell. */

static vm_t *
holder_of (const decider_t *decider, const char *executor)
{
  const assignment_t *assignment = g_hash_table_lookup (decider->assignments, executor);

  return assignment != NULL ? assignment->vm : NULL;
}

typedef struct
{
  decider_t *decider;
  guint64 order;
  bool is_advice;
} unsent_t;

static gboolean
tell_not_sent (gpointer data)
{
  unsent_t *unsent = data;
  decider_t *decider = unsent->decider;

  decider->calls--;
  if (!decider->is_freed)
    {
      if (unsent->is_advice)
        cell_advice_result (decider->cell, unsent->order, false, NULL, 0, clock_now_us ());
      else
        cell_order_result (decider->cell, unsent->order, ORDER_NOT_SENT, clock_now_us ());
      decider_schedule_step (decider);
    }
  else if (decider->calls == 0)
    decider_destroy (decider);
  g_free (unsent);
  return G_SOURCE_REMOVE;
}

/* The cell is told in a later turn: it is in the middle of a step. */
static void
fail_later (decider_t *decider, guint64 order, bool is_advice)
{
  unsent_t *unsent = g_new0 (unsent_t, 1);

  unsent->decider = decider;
  unsent->order = order;
  unsent->is_advice = is_advice;
  decider->calls++;
  (void) g_idle_add (tell_not_sent, unsent);
}

/* Sends an order through the VM that holds the executor. */
static void
send_order (decider_t *decider, const char *executor, guint64 order, Mimosastair__Frame *frame)
{
  vm_t *vm = holder_of (decider, executor);

  if (vm != NULL && link_send (vm->link, frame))
    {
      guint64 *key = g_new (guint64, 1);

      *key = order;
      g_hash_table_insert (decider->orders, key, vm);
      return;
    }
  fail_later (decider, order, false);
}

static void
op_start (const start_order_t *order, void *data)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__StartOrder message = MIMOSASTAIR__START_ORDER__INIT;
  Mimosastair__StartOrder *list = &message;
  Mimosastair__TaskRef ref;

  codec_fill_task (&ref, (task_ref_t *) &order->task);
  message.order = order->order;
  message.executor = (char *) order->executor;
  message.born = order->born;
  message.task = &ref;
  message.run = order->run;
  message.spec = (char *) order->spec;
  message.checkpoint = (char *) order->checkpoint;
  message.ticket = (char *) order->ticket;
  frame.n_start = 1;
  frame.start = &list;
  send_order (data, order->executor, order->order, &frame);
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
  send_order (data, order->executor, order->order, &frame);
}

static vm_t *
vm_for_advice (const decider_t *decider)
{
  vm_t *best = NULL;

  for (list_node_t *node = decider->vms.next; node != &decider->vms; node = node->next)
    {
      vm_t *vm = LIST_ENTRY (node, vm_t, node);

      if (vm->name == NULL || vm->is_leaving || vm->advice_order != 0)
        continue;
      if (best == NULL || vm->held < best->held)
        best = vm;
    }
  return best;
}

static void
op_advise (const advise_order_t *order, void *data)
{
  decider_t *decider = data;
  vm_t *vm = vm_for_advice (decider);
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__AdviceOrder message = MIMOSASTAIR__ADVICE_ORDER__INIT;
  Mimosastair__AdviceOrder *list = &message;
  Mimosastair__TaskRef ref;

  codec_fill_task (&ref, (task_ref_t *) &order->step);
  message.order = order->order;
  message.step = &ref;
  message.n_executors = order->executor_count;
  message.executors = (char **) order->executors;
  message.timeout_ms = (guint) (order->expected_us / 1000) + advice_slack_ms;
  frame.n_advise = 1;
  frame.advise = &list;
  if (vm == NULL || !link_send (vm->link, &frame))
    {
      fail_later (decider, order->order, true);
      return;
    }
  vm->advice_order = order->order;
  vm->is_slow_advice = order->is_slow;
}

static void
op_save (const char *job, void *data)
{
  decider_t *decider = data;

  if (decider->recorder != NULL)
    recorder_save (decider->recorder, job);
}

static void
op_finish (const char *job, job_state_t state, void *data)
{
  decider_t *decider = data;

  if (decider->recorder != NULL)
    recorder_finish (decider->recorder, job, state);
}

void
decider_send_assign (const assignment_t *assignment, vm_t *vm, bool drop)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Assign message = MIMOSASTAIR__ASSIGN__INIT;
  Mimosastair__Assign *list = &message;

  message.executor = assignment->id;
  message.address = assignment->address;
  message.born = assignment->born;
  message.acked = assignment->acked;
  message.mark = assignment->mark;
  message.drop = drop;
  frame.n_assign = 1;
  frame.assign = &list;
  (void) link_send (vm->link, &frame);
}

static void
op_acknowledge (const char *executor, guint64 acked, guint64 mark, void *data)
{
  decider_t *decider = data;
  assignment_t *assignment = g_hash_table_lookup (decider->assignments, executor);

  if (assignment == NULL)
    return;
  assignment->acked = acked;
  assignment->mark = mark;
  if (assignment->vm != NULL)
    decider_send_assign (assignment, assignment->vm, false);
}

void
decider_unassign (assignment_t *assignment)
{
  if (assignment->vm == NULL)
    return;
  assignment->vm->held--;
  assignment->vm = NULL;
}

void
decider_assignment_free (gpointer data)
{
  assignment_t *assignment = data;

  g_free (assignment->id);
  g_free (assignment->address);
  g_free (assignment->zone);
  g_free (assignment);
}

static void
op_hold (const char *executor, const char *address, void *data)
{
  decider_t *decider = data;
  assignment_t *assignment = g_hash_table_lookup (decider->assignments, executor);

  if (assignment != NULL && assignment->vm != NULL
      && (address == NULL || strcmp (address, assignment->address) != 0))
    {
      decider_send_assign (assignment, assignment->vm, true);
      decider_unassign (assignment);
    }
  if (address == NULL)
    {
      g_hash_table_remove (decider->assignments, executor);
      return;
    }
  if (assignment == NULL)
    {
      assignment = g_new0 (assignment_t, 1);
      assignment->id = g_strdup (executor);
      g_hash_table_insert (decider->assignments, assignment->id, assignment);
    }
  g_free (assignment->address);
  assignment->address = g_strdup (address);
}

/* ---- Placements: stored before their orders are sent. */

static void
placement_stored (guint64 placement, void *data)
{
  decider_t *decider = data;

  cell_placement_stored (decider->cell, placement, clock_now_us ());
  decider_schedule_step (decider);
}

static void
placement_refused (void *data)
{
  decider_depose (data, "placement_refused");
}

const placements_events_t decider_placements_events = { placement_stored, placement_refused };

static void
op_place (guint64 placement, const placed_run_t *runs, guint count, void *data)
{
  placements_store (((decider_t *) data)->placements, placement, runs, count);
}

static void
op_drop_placement (guint64 placement, void *data)
{
  decider_t *decider = data;
  g_autofree char *own = NULL;

  if (decider->recorder == NULL)
    return;
  if (placement < CELL_OWN_PLACEMENTS)
    {
      recorder_delete (decider->recorder,
                       g_ptr_array_index (decider->former_placements, (guint) placement - 1));
      return;
    }
  own = placements_key (decider->placements, placement);
  recorder_delete (decider->recorder, own);
}

static void
op_deposed (void *data)
{
  decider_depose (data, "executor_fenced");
}

static void
op_note (const char *event, const char *pairs, void *data G_GNUC_UNUSED)
{
  LOG_INFO (event, "%s", pairs);
}

const cell_ops_t decider_cell_ops = {
  .start = op_start,
  .stop = op_stop,
  .advise = op_advise,
  .save = op_save,
  .finish = op_finish,
  .acknowledge = op_acknowledge,
  .hold = op_hold,
  .place = op_place,
  .drop_placement = op_drop_placement,
  .deposed = op_deposed,
  .note = op_note,
};
