#define LOG_MODULE "decider"

#include "entry/leader_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "decide/admission.h"
#include "decide/balance.h"
#include "decide/election_policy.h"
#include "entry/codec.h"

#include <string.h>

enum
{
  SETTLE_MS = 250 /* VMs connect before executors are shared out */
};

/* Without an answer of the store for this long, while it answers other VMs. */
static const gint64 store_patience_us = 500 * 1000;
/* A holder looks for a larger VM only then: VMs connect and tell their size. */
static const gint64 size_settle_us = G_USEC_PER_SEC;
static const gint64 vm_silence_us = 1300 * 1000;

/* ---- Which VM holds which executor. */

static GArray *
share_vms (const decider_t *decider, GPtrArray *vms)
{
  GArray *shares = g_array_new (FALSE, TRUE, sizeof (share_vm_t));

  for (list_node_t *node = decider->vms.next; node != &decider->vms; node = node->next)
    {
      vm_t *vm = LIST_ENTRY (node, vm_t, node);
      share_vm_t share = {
        .zone = vm->zone,
        .cpu_milli = vm->cpu_milli,
        .is_leaving = vm->is_leaving,
        .held = vm->held,
      };

      if (vm->name == NULL)
        continue;
      share.is_decider = strcmp (vm->name, decider->config.vm) == 0;
      g_array_append_val (shares, share);
      g_ptr_array_add (vms, vm);
    }
  return shares;
}

static void
give (decider_t *decider G_GNUC_UNUSED, assignment_t *assignment, vm_t *vm)
{
  assignment->vm = vm;
  vm->held++;
  LOG_INFO ("executor_assigned", "executor=%s vm=%s held=%u", assignment->id, vm->name, vm->held);
  decider_send_assign (assignment, vm, false);
}

void
decider_share_out (decider_t *decider)
{
  g_autoptr (GPtrArray) vms = g_ptr_array_new ();
  g_autoptr (GArray) shares = share_vms (decider, vms);
  share_vm_t *rows = (share_vm_t *) (void *) shares->data;
  bool has_moved = false;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, decider->assignments);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      assignment_t *assignment = value;
      guint from = 0;
      int to;

      if (assignment->vm != NULL)
        {
          /* Evened out one executor at a time; a leaving VM's go at once. */
          while (from < vms->len && g_ptr_array_index (vms, from) != assignment->vm)
            from++;
          if (from == vms->len || !share_should_move (rows, vms->len, assignment->zone, from)
              || (has_moved && !rows[from].is_leaving))
            continue;
          has_moved = true;
          rows[from].held--;
          decider_send_assign (assignment, assignment->vm, true);
          decider_unassign (assignment);
          cell_executor_moved (decider->cell, assignment->id, clock_now_us ());
        }
      to = share_choose (rows, vms->len, assignment->zone);
      if (to < 0)
        continue;
      rows[to].held++;
      give (decider, assignment, g_ptr_array_index (vms, (guint) to));
    }
}

/* ---- Connections of entry VMs. */

static void
fail_orders_of (decider_t *decider, const vm_t *vm)
{
  g_autoptr (GArray) lost = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, decider->orders);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      if (value != vm)
        continue;
      g_array_append_val (lost, *(guint64 *) key);
      g_hash_table_iter_remove (&iter);
    }
  for (guint i = 0; i < lost->len; i++)
    cell_order_result (decider->cell, g_array_index (lost, guint64, i), ORDER_LOST,
                       clock_now_us ());
}

void
decider_drop_vm (vm_t *vm, const char *reason)
{
  decider_t *decider = vm->decider;
  GHashTableIter iter;
  gpointer value;
  gint64 now_us = clock_now_us ();

  LOG_WARN ("vm_lost", "vm=%s reason=%s held=%u", vm->name != NULL ? vm->name : "-", reason,
            vm->held);
  list_remove (&vm->node);
  g_hash_table_iter_init (&iter, decider->assignments);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      assignment_t *assignment = value;

      if (assignment->vm != vm)
        continue;
      decider_unassign (assignment);
      cell_executor_orphaned (decider->cell, assignment->id, now_us);
    }
  fail_orders_of (decider, vm);
  if (vm->advice_order != 0)
    cell_advice_result (decider->cell, vm->advice_order, false, NULL, 0, now_us);
  link_free (vm->link);
  g_free (vm->name);
  g_free (vm->zone);
  g_free (vm);
  decider_schedule_step (decider);
}

static void
vm_broken (link_t *link G_GNUC_UNUSED, const char *reason, void *data)
{
  decider_drop_vm (data, reason);
}

static void
handle_hello (vm_t *vm, const Mimosastair__Hello *hello)
{
  g_free (vm->name);
  g_free (vm->zone);
  vm->name = g_strdup (hello->vm);
  vm->zone = g_strdup (hello->zone);
  vm->cpu_milli = hello->cpu_milli;
  vm->is_leaving = hello->leaving;
  LOG_INFO ("vm_joined", "vm=%s zone=%s leaving=%d", vm->name, vm->zone, (int) vm->is_leaving);
  if (vm->is_leaving && vm->decider->is_loaded)
    decider_share_out (vm->decider);
}

/* Processor of the largest VM that could decide. */
static guint
largest_vm (const decider_t *decider)
{
  guint most = 0;

  for (list_node_t *node = decider->vms.next; node != &decider->vms; node = node->next)
    {
      const vm_t *vm = LIST_ENTRY (node, vm_t, node);

      if (vm->name != NULL && !vm->is_leaving && vm->has_store)
        most = MAX (most, vm->cpu_milli);
    }
  return most;
}

static void
handle_ping (vm_t *vm, const Mimosastair__Ping *ping)
{
  decider_t *decider = vm->decider;
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Pong pong = MIMOSASTAIR__PONG__INIT;

  vm->has_store = ping->store_ok;
  pong.sent_us = ping->sent_us;
  pong.valid_us = decider->is_deposed ? 0 : claim_left_us (decider->claim, clock_now_us ());
  pong.fence = decider->config.fence;
  pong.ready = decider->is_loaded && !decider->is_closing;
  pong.store_ok = store_is_healthy (decider->store, clock_now_us ());
  pong.cpu_most_milli = MAX (decider->config.cpu_milli, largest_vm (decider));
  frame.pong = &pong;
  (void) link_send (vm->link, &frame);
}

static void
handle_report (vm_t *vm, const Mimosastair__Report *message)
{
  decider_t *decider = vm->decider;
  assignment_t *assignment = g_hash_table_lookup (decider->assignments, message->executor);
  g_autofree run_row_t *running = g_new0 (run_row_t, message->n_running);
  g_autofree end_row_t *ended = g_new0 (end_row_t, message->n_ended);
  executor_report_t report = {
    .executor = message->executor,
    .is_reached = message->reached,
    .is_fenced = message->fenced,
    .is_renewed = message->renewed,
    .born = message->born,
    .mark = message->mark,
    .running = running,
    .ended = ended,
  };

  if (assignment == NULL || assignment->vm != vm)
    return;
  assignment->born = message->born;
  for (gsize i = 0; i < message->n_running; i++)
    {
      const Mimosastair__RunRow *row = message->running[i];
      run_row_t *read = &running[report.running_count];

      if (!codec_read_task (row->task, &read->task))
        continue;
      read->run = row->run;
      read->checkpoint = row->checkpoint;
      read->percent = row->percent;
      read->load = row->load;
      report.running_count++;
    }
  for (gsize i = 0; i < message->n_ended; i++)
    {
      const Mimosastair__EndRow *row = message->ended[i];
      end_row_t *read = &ended[report.ended_count];

      if (!codec_read_task (row->task, &read->task))
        continue;
      read->number = row->number;
      read->run = row->run;
      read->how = row->how;
      read->checkpoint = row->checkpoint;
      report.ended_count++;
    }
  cell_executor_report (decider->cell, &report, clock_now_us ());
}

static void
handle_advice (vm_t *vm, const Mimosastair__AdviceResult *message)
{
  g_autofree ticket_t *tickets = g_new0 (ticket_t, message->n_tickets);

  if (vm->advice_order == message->order)
    vm->advice_order = 0;
  for (gsize i = 0; i < message->n_tickets; i++)
    {
      tickets[i].executor = message->tickets[i]->executor;
      tickets[i].ticket = message->tickets[i]->ticket;
    }
  cell_advice_result (vm->decider->cell, message->order, message->answered, tickets,
                      (guint) message->n_tickets, clock_now_us ());
}

static void
handle_result (vm_t *vm, const Mimosastair__OrderResult *message)
{
  guint64 order = message->order;

  (void) g_hash_table_remove (vm->decider->orders, &order);
  cell_order_result (vm->decider->cell, order, message->outcome, clock_now_us ());
}

/* A record that is older than the claim was found when the jobs were loaded, or its job
 * has ended under an earlier claim. */
static bool
is_news (const decider_t *decider, const job_spec_t *spec)
{
  return spec->revision > decider->config.fence
         && g_hash_table_lookup (decider->ended, spec->id) == NULL;
}

static void
handle_job (vm_t *vm, const Mimosastair__Job *message)
{
  decider_t *decider = vm->decider;
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__JobKnown known = MIMOSASTAIR__JOB_KNOWN__INIT;
  Mimosastair__JobKnown *list = &known;
  job_spec_t *spec;

  /* While the jobs of the store are being read, it is found there. */
  if (!decider->is_loaded)
    return;
  spec = codec_job_from_message (message);
  if (spec != NULL && is_news (decider, spec))
    (void) cell_add_job (decider->cell, spec, NULL, 0, false, clock_now_us (), clock_unix_ms ());
  else
    job_spec_free (spec);
  known.id = message->id;
  frame.n_job_known = 1;
  frame.job_known = &list;
  (void) link_send (vm->link, &frame);
}

static void
handle_cancel (vm_t *vm, char *id)
{
  decider_t *decider = vm->decider;
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;

  if (!decider->is_loaded)
    return;
  LOG_INFO ("job_cancel", "job=%s vm=%s", id, vm->name);
  (void) cell_cancel (decider->cell, id, clock_now_us ());
  frame.n_cancel = 1;
  frame.cancel = &id;
  (void) link_send (vm->link, &frame);
}

static void
handle_ask (vm_t *vm, const Mimosastair__Ask *ask)
{
  decider_t *decider = vm->decider;
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Answer answer = MIMOSASTAIR__ANSWER__INIT;
  Mimosastair__Answer *list = &answer;
  job_state_t state = JOB_QUEUED;

  answer.number = ask->number;
  if (!decider_may_act (decider))
    answer.unavailable = true;
  else if (ask->id[0] != '\0')
    {
      const ended_t *ended = g_hash_table_lookup (decider->ended, ask->id);

      answer.known = ended != NULL || cell_job_state (decider->cell, ask->id, &state);
      answer.state = ended != NULL ? ended->state : state;
    }
  else
    {
      answer.known = true;
      answer.pending = cell_pending (decider->cell, ask->queue);
    }
  frame.n_answer = 1;
  frame.answer = &list;
  (void) link_send (vm->link, &frame);
}

/* ---- Calls to the store that this VM makes for others. */

typedef struct
{
  decider_t *decider;
  char *vm; /* name; its connection may be another one when the answer comes */
  guint64 number;
} relayed_t;

static vm_t *
vm_named (const decider_t *decider, const char *name)
{
  for (list_node_t *node = decider->vms.next; node != &decider->vms; node = node->next)
    {
      vm_t *vm = LIST_ENTRY (node, vm_t, node);

      if (g_strcmp0 (vm->name, name) == 0)
        return vm;
    }
  return NULL;
}

static void
send_relay_reply (vm_t *vm, guint64 number, const store_reply_t *reply)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__RelayReply message = MIMOSASTAIR__RELAY_REPLY__INIT;
  Mimosastair__RelayReply *list = &message;
  guint count = reply->items->len;
  g_autofree Mimosastair__RelayItem *rows = g_new0 (Mimosastair__RelayItem, count);
  g_autofree Mimosastair__RelayItem **pointers = g_new0 (Mimosastair__RelayItem *, count);

  for (guint i = 0; i < count; i++)
    {
      const store_item_t *item = g_ptr_array_index (reply->items, i);

      mimosastair__relay_item__init (&rows[i]);
      rows[i].key = item->key;
      rows[i].value.data = item->value;
      rows[i].value.len = item->value_bytes;
      rows[i].revision = item->revision;
      rows[i].created = item->created;
      pointers[i] = &rows[i];
    }
  message.number = number;
  message.status = reply->status;
  message.revision = reply->revision;
  message.n_items = count;
  message.items = pointers;
  frame.n_relay_reply = 1;
  frame.relay_reply = &list;
  (void) link_send (vm->link, &frame);
}

static void
relayed (const store_reply_t *reply, void *data)
{
  relayed_t *call = data;
  decider_t *decider = call->decider;
  vm_t *vm;

  decider->calls--;
  decider->relays--;
  if (!decider->is_freed)
    {
      vm = vm_named (decider, call->vm);
      if (vm != NULL)
        send_relay_reply (vm, call->number, reply);
    }
  else if (decider->calls == 0)
    decider_destroy (decider);
  g_free (call->vm);
  g_free (call);
}

static void
refuse_relay (vm_t *vm, guint64 number)
{
  g_autoptr (GPtrArray) items = g_ptr_array_new ();
  store_reply_t reply = { .status = STORE_UNAVAILABLE, .items = items };

  send_relay_reply (vm, number, &reply);
}

static void
handle_relay (vm_t *vm, const Mimosastair__Relay *message)
{
  decider_t *decider = vm->decider;
  store_expect_t expect[STORE_TXN_ROWS];
  store_write_t writes[STORE_TXN_ROWS];
  gsize expect_count = MIN (message->n_expect, STORE_TXN_ROWS);
  gsize write_count = MIN (message->n_write, STORE_TXN_ROWS);
  relayed_t *call;

  if (!admission_may_relay (decider->relays))
    {
      refuse_relay (vm, message->number);
      return;
    }
  call = g_new0 (relayed_t, 1);
  decider->relays++;
  call->decider = decider;
  call->vm = g_strdup (vm->name);
  call->number = message->number;
  decider->calls++;
  if (message->get[0] != '\0')
    {
      decider->store->calls->get (decider->store, message->get, relayed, call);
      return;
    }
  for (gsize i = 0; i < expect_count; i++)
    expect[i] = (store_expect_t){ message->expect[i]->key, message->expect[i]->revision };
  for (gsize i = 0; i < write_count; i++)
    {
      const Mimosastair__KeyWrite *row = message->write[i];

      writes[i]
          = (store_write_t){ row->key, row->delete_ ? NULL : row->value.data, row->value.len, 0 };
    }
  decider->store->calls->txn (decider->store, expect, expect_count, writes, write_count, relayed,
                              call);
}

static void
vm_frame (link_t *link G_GNUC_UNUSED, const Mimosastair__Frame *frame, void *data)
{
  vm_t *vm = data;
  decider_t *decider = vm->decider;

  if (frame->hello != NULL)
    handle_hello (vm, frame->hello);
  if (frame->ping != NULL)
    handle_ping (vm, frame->ping);
  for (gsize i = 0; i < frame->n_report; i++)
    handle_report (vm, frame->report[i]);
  for (gsize i = 0; i < frame->n_result; i++)
    handle_result (vm, frame->result[i]);
  for (gsize i = 0; i < frame->n_advice; i++)
    handle_advice (vm, frame->advice[i]);
  for (gsize i = 0; i < frame->n_job; i++)
    handle_job (vm, frame->job[i]);
  for (gsize i = 0; i < frame->n_cancel; i++)
    handle_cancel (vm, frame->cancel[i]);
  for (gsize i = 0; i < frame->n_ask; i++)
    handle_ask (vm, frame->ask[i]);
  for (gsize i = 0; i < frame->n_relay; i++)
    handle_relay (vm, frame->relay[i]);
  if (frame->ping == NULL && frame->n_ask == 0 && frame->n_relay == 0)
    decider_schedule_step (decider);
}

static const link_events_t link_events = { NULL, vm_frame, vm_broken };

void
decider_accept (decider_t *decider, GSocketConnection *connection)
{
  vm_t *vm = g_new0 (vm_t, 1);

  vm->decider = decider;
  list_push_back (&decider->vms, &vm->node);
  vm->link = link_accept (connection, &link_events, vm);
}

static void
abdicate (decider_t *decider, const char *reason)
{
  LOG_WARN ("decider_abdicates", "fence=%" G_GINT64_FORMAT " reason=%s", decider->config.fence,
            reason);
  decider->is_deposed = true;
  decider_tell_released (decider);
  decider->abdicate (decider->deposed_data);
}

/* Gives the claim up when only other VMs reach the store: one of them can decide. */
static void
check_store (decider_t *decider, gint64 now_us)
{
  bool others_have_store = false;

  if (!decider_may_act (decider) || store_is_healthy (decider->store, now_us))
    {
      decider->store_lost_us = 0;
      return;
    }
  if (decider->store_lost_us == 0)
    decider->store_lost_us = now_us;
  for (list_node_t *node = decider->vms.next; node != &decider->vms; node = node->next)
    others_have_store |= LIST_ENTRY (node, vm_t, node)->has_store;
  if (!others_have_store || now_us - decider->store_lost_us < store_patience_us)
    return;
  abdicate (decider, "store_unreachable");
}

/* Gives the claim up to a VM that has clearly more processor. */
static void
check_size (decider_t *decider, gint64 now_us)
{
  guint largest = largest_vm (decider);

  if (decider_may_act (decider) && now_us - decider->started_us > size_settle_us
      && succession_should_yield (decider->config.cpu_milli, largest))
    abdicate (decider, "larger_vm");
}

gboolean
decider_sweep (gpointer data)
{
  decider_t *decider = data;
  gint64 now_us = clock_now_us ();
  list_node_t *next;

  for (list_node_t *node = decider->vms.next; node != &decider->vms; node = next)
    {
      vm_t *vm = LIST_ENTRY (node, vm_t, node);

      next = node->next;
      if (now_us - link_heard_us (vm->link) > vm_silence_us)
        decider_drop_vm (vm, "silent");
    }
  check_store (decider, now_us);
  check_size (decider, now_us);
  if (decider_may_act (decider) && now_us - decider->started_us > SETTLE_MS * 1000)
    decider_share_out (decider);
  return G_SOURCE_CONTINUE;
}
