#define LOG_MODULE "decider"

#include "entry/decider.h"

#include "base/clock.h"
#include "base/list.h"
#include "base/log.h"
#include "decide/share.h"
#include "entry/codec.h"
#include "entry/keys.h"
#include "entry/recorder.h"
#include "peer/link.h"
#include "platform/documents.h"
#include "store/mirror.h"

#include <string.h>

/* An entry VM that is connected. */
typedef struct
{
  list_node_t node;
  decider_t *decider;
  link_t *link;
  char *name; /* NULL: it has not said hello */
  char *zone;
  guint cpu_milli;
  bool is_leaving;
  bool has_store; /* the store answers it */
  guint held;
  guint64 advice_order; /* the call that it makes; 0: none */
  bool is_slow_advice;
} vm_t;

/* An executor that some VM is to hold. */
typedef struct
{
  char *id;
  char *address;
  char *zone;
  guint64 acked;
  guint64 mark;
  gint64 born;
  vm_t *vm; /* NULL: none yet */
} assignment_t;

struct decider
{
  store_t *store;
  claim_t *claim;
  decider_config_t config;
  const desired_t *desired;
  metrics_t *metrics;
  void (*deposed) (void *data);
  void (*abdicate) (void *data);
  void *deposed_data;
  cell_t *cell;
  recorder_t *recorder;
  mirror_t *progress_mirror;
  mirror_t *placements_mirror;
  mirror_t *jobs_mirror;
  mirror_t *registry_mirror;
  /* While loading: all three are read at once, and put together at the end. */
  GHashTable *progress;         /* id -> GArray of task_progress_t */
  GHashTable *found;            /* id -> job_spec_t */
  GHashTable *cancels;          /* ids */
  GPtrArray *former_placements; /* keys; the index and 1 is the cell's number */
  GPtrArray *former_values;     /* GBytes, while loading */
  bool are_placements_read;
  bool is_progress_read;
  bool are_jobs_read;
  bool is_loaded;
  bool is_deposed;
  bool is_closing;
  gint64 started_us;
  gint64 store_lost_us; /* 0: the store answers */
  list_node_t vms;
  GHashTable *assignments; /* executor id -> assignment_t */
  GHashTable *orders;      /* order -> vm_t */
  GHashTable *ended;       /* id -> ended_t */
  GQueue ended_order;      /* ids, oldest first */
  guint step_idle;
  guint step_timer;
  guint sweep_timer;
  void (*closed) (void *data);
  void *closed_data;
  guint close_timer;
  guint calls;
  bool is_freed;
};

typedef struct
{
  job_state_t state;
  gint64 at_us;
} ended_t;

enum
{
  REGISTRY_WAIT_MS = 1000, /* longest wait of one watch */
  JOBS_WAIT_MS = 2000,
  JOBS_PAUSE_MS = 400, /* VMs tell of new jobs directly; this finds the rest */
  SWEEP_MS = 100,      /* assignments and silent VMs are looked at */
  PLACE_RETRY_MS = 40, /* after a placement that was not stored */
  SETTLE_MS = 250,     /* VMs connect before executors are shared out */
  ENDED_MAX = 20000    /* ended jobs remembered; older ones are read from the store */
};

/* Without an answer of the store for this long, while it answers other VMs. */
static const gint64 store_patience_us = 500 * 1000;
static const gint64 vm_silence_us = 1300 * 1000;
static const gint64 ended_kept_us = 300 * G_USEC_PER_SEC;
/* Part of the VMs that may make slow calls for advice at a time, in percent. */
static const guint slow_percent = 70;
/* A call for advice may take this much longer than its terms say. */
static const guint advice_slack_ms = 1200;

static void schedule_step (decider_t *decider);

static void
free_spec (gpointer spec)
{
  job_spec_free (spec);
}

static void
destroy (decider_t *decider)
{
  g_hash_table_unref (decider->progress);
  g_hash_table_unref (decider->found);
  g_ptr_array_unref (decider->former_placements);
  g_ptr_array_unref (decider->former_values);
  g_hash_table_unref (decider->cancels);
  g_hash_table_unref (decider->assignments);
  g_hash_table_unref (decider->orders);
  g_hash_table_unref (decider->ended);
  g_queue_clear_full (&decider->ended_order, g_free);
  cell_free (decider->cell);
  g_free (decider);
}

static void
depose (decider_t *decider, const char *reason)
{
  if (decider->is_deposed)
    return;
  decider->is_deposed = true;
  LOG_WARN ("decider_deposed", "fence=%" G_GINT64_FORMAT " reason=%s", decider->config.fence,
            reason);
  decider->deposed (decider->deposed_data);
}

static bool
may_act (const decider_t *decider)
{
  return decider->is_loaded && !decider->is_deposed
         && claim_left_us (decider->claim, clock_now_us ()) > 0;
}

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
      schedule_step (decider);
    }
  else if (decider->calls == 0)
    destroy (decider);
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
  vm->is_slow_advice = order->expected_us > 150 * 1000;
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

static void
send_assign (const assignment_t *assignment, vm_t *vm, bool drop)
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
    send_assign (assignment, assignment->vm, false);
}

static void
unassign (assignment_t *assignment)
{
  if (assignment->vm == NULL)
    return;
  assignment->vm->held--;
  assignment->vm = NULL;
}

static void
assignment_free (gpointer data)
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
      send_assign (assignment, assignment->vm, true);
      unassign (assignment);
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

typedef struct
{
  decider_t *decider;
  guint64 placement;
  char *key;
  guint8 *value;
  gsize bytes;
} placing_t;

static void store_placement (placing_t *placing);

static void
placing_free (placing_t *placing)
{
  g_free (placing->key);
  g_free (placing->value);
  g_free (placing);
}

static char *
placement_key (const decider_t *decider, guint64 placement)
{
  return g_strdup_printf (KEYS_PLACEMENTS "%" G_GINT64_FORMAT "-%" G_GUINT64_FORMAT,
                          decider->config.fence, placement);
}

static gboolean
store_placement_again (gpointer data)
{
  placing_t *placing = data;
  decider_t *decider = placing->decider;

  if (!decider->is_freed)
    {
      store_placement (placing);
      return G_SOURCE_REMOVE;
    }
  decider->calls--;
  placing_free (placing);
  if (decider->calls == 0)
    destroy (decider);
  return G_SOURCE_REMOVE;
}

static void
placement_stored (const store_reply_t *reply, void *data)
{
  placing_t *placing = data;
  decider_t *decider = placing->decider;

  if (!decider->is_freed && (reply->status == STORE_LOST || reply->status == STORE_UNAVAILABLE))
    {
      LOG_WARN ("placement_retry", "placement=%" G_GUINT64_FORMAT " status=%s", placing->placement,
                store_status_name (reply->status));
      (void) g_timeout_add (PLACE_RETRY_MS, store_placement_again, placing);
      return;
    }
  decider->calls--;
  if (!decider->is_freed && reply->status == STORE_DONE)
    {
      cell_placement_stored (decider->cell, placing->placement, clock_now_us ());
      schedule_step (decider);
    }
  else if (!decider->is_freed)
    depose (decider, "placement_refused");
  placing_free (placing);
  if (decider->is_freed && decider->calls == 0)
    destroy (decider);
}

/* The same record under the same key: carried out twice, or late, it only names runs
 * that are gone. */
static void
store_placement (placing_t *placing)
{
  decider_t *decider = placing->decider;
  store_expect_t expect = { claim_key (decider->claim), decider->config.fence };
  store_write_t write = { placing->key, placing->value, placing->bytes, 0 };

  decider->store->calls->txn (decider->store, &expect, 1, &write, 1, placement_stored, placing);
}

static void
op_place (guint64 placement, const placed_run_t *runs, guint count, void *data)
{
  decider_t *decider = data;
  placing_t *placing = g_new0 (placing_t, 1);
  Mimosastair__Placement message = MIMOSASTAIR__PLACEMENT__INIT;
  g_autofree Mimosastair__PlacedRun *rows = g_new0 (Mimosastair__PlacedRun, count);
  g_autofree Mimosastair__PlacedRun **pointers = g_new0 (Mimosastair__PlacedRun *, count);
  g_autofree Mimosastair__TaskRef *refs = g_new0 (Mimosastair__TaskRef, count);

  for (guint i = 0; i < count; i++)
    {
      mimosastair__placed_run__init (&rows[i]);
      codec_fill_task (&refs[i], (task_ref_t *) &runs[i].task);
      rows[i].task = &refs[i];
      rows[i].run = runs[i].run;
      rows[i].executor = (char *) runs[i].executor;
      pointers[i] = &rows[i];
    }
  message.n_runs = count;
  message.runs = pointers;
  placing->decider = decider;
  placing->placement = placement;
  placing->key = placement_key (decider, placement);
  placing->bytes = mimosastair__placement__get_packed_size (&message);
  placing->value = g_malloc (placing->bytes);
  mimosastair__placement__pack (&message, placing->value);
  decider->calls++;
  store_placement (placing);
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
  own = placement_key (decider, placement);
  recorder_delete (decider->recorder, own);
}

static void
op_deposed (void *data)
{
  depose (data, "executor_fenced");
}

static void
op_note (const char *event, const char *pairs, void *data G_GNUC_UNUSED)
{
  LOG_INFO (event, "%s", pairs);
}

static const cell_ops_t cell_ops = {
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

/* ---- Steps of the cell. */

static void
offer_advice_slots (decider_t *decider)
{
  guint vms = 0;
  guint idle = 0;
  guint slow = 0;
  guint slow_most;

  for (list_node_t *node = decider->vms.next; node != &decider->vms; node = node->next)
    {
      const vm_t *vm = LIST_ENTRY (node, vm_t, node);

      if (vm->name == NULL || vm->is_leaving)
        continue;
      vms++;
      idle += vm->advice_order == 0;
      slow += vm->advice_order != 0 && vm->is_slow_advice;
    }
  slow_most = MAX (vms * slow_percent / 100, 1);
  cell_set_advice_slots (decider->cell, idle, slow_most > slow ? slow_most - slow : 0);
}

static gboolean
step_by_timer (gpointer data)
{
  decider_t *decider = data;

  decider->step_timer = 0;
  schedule_step (decider);
  return G_SOURCE_REMOVE;
}

static gboolean
step (gpointer data)
{
  decider_t *decider = data;
  gint64 now_us = clock_now_us ();
  gint64 next_us;

  decider->step_idle = 0;
  if (decider->step_timer != 0)
    g_source_remove (decider->step_timer);
  decider->step_timer = 0;
  if (!may_act (decider))
    {
      decider->step_timer = g_timeout_add (SWEEP_MS, step_by_timer, decider);
      return G_SOURCE_REMOVE;
    }
  offer_advice_slots (decider);
  next_us = cell_step (decider->cell, now_us, clock_unix_ms ());
  decider->step_timer
      = g_timeout_add ((guint) MAX ((next_us - now_us) / 1000, 1), step_by_timer, decider);
  return G_SOURCE_REMOVE;
}

/* Several events of one turn of the main loop share a step. */
static void
schedule_step (decider_t *decider)
{
  if (decider->step_idle == 0 && !decider->is_freed)
    decider->step_idle = g_idle_add (step, decider);
}

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
  send_assign (assignment, vm, false);
}

static void
share_out (decider_t *decider)
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
          send_assign (assignment, assignment->vm, true);
          unassign (assignment);
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

static void
drop_vm (vm_t *vm, const char *reason)
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
      unassign (assignment);
      cell_executor_orphaned (decider->cell, assignment->id, now_us);
    }
  fail_orders_of (decider, vm);
  if (vm->advice_order != 0)
    cell_advice_result (decider->cell, vm->advice_order, false, NULL, 0, now_us);
  link_free (vm->link);
  g_free (vm->name);
  g_free (vm->zone);
  g_free (vm);
  schedule_step (decider);
}

static void
vm_broken (link_t *link G_GNUC_UNUSED, const char *reason, void *data)
{
  drop_vm (data, reason);
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
    share_out (vm->decider);
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
  if (!may_act (decider))
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
  if (!decider->is_freed)
    {
      vm = vm_named (decider, call->vm);
      if (vm != NULL)
        send_relay_reply (vm, call->number, reply);
    }
  else if (decider->calls == 0)
    destroy (decider);
  g_free (call->vm);
  g_free (call);
}

static void
handle_relay (vm_t *vm, const Mimosastair__Relay *message)
{
  decider_t *decider = vm->decider;
  store_expect_t expect[STORE_TXN_ROWS];
  store_write_t writes[STORE_TXN_ROWS];
  gsize expect_count = MIN (message->n_expect, STORE_TXN_ROWS);
  gsize write_count = MIN (message->n_write, STORE_TXN_ROWS);
  relayed_t *call = g_new0 (relayed_t, 1);

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
    schedule_step (decider);
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

/* Gives the claim up when only other VMs reach the store: one of them can decide. */
static void
check_store (decider_t *decider, gint64 now_us)
{
  bool others_have_store = false;

  if (!may_act (decider) || store_is_healthy (decider->store, now_us))
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
  LOG_WARN ("decider_abdicates", "fence=%" G_GINT64_FORMAT, decider->config.fence);
  decider->is_deposed = true;
  decider_tell_released (decider);
  decider->abdicate (decider->deposed_data);
}

static gboolean
sweep (gpointer data)
{
  decider_t *decider = data;
  gint64 now_us = clock_now_us ();
  list_node_t *next;

  for (list_node_t *node = decider->vms.next; node != &decider->vms; node = next)
    {
      vm_t *vm = LIST_ENTRY (node, vm_t, node);

      next = node->next;
      if (now_us - link_heard_us (vm->link) > vm_silence_us)
        drop_vm (vm, "silent");
    }
  check_store (decider, now_us);
  if (may_act (decider) && now_us - decider->started_us > SETTLE_MS * 1000)
    share_out (decider);
  return G_SOURCE_CONTINUE;
}

/* ---- What the store holds. */

static void
forget_ended (decider_t *decider, gint64 now_us)
{
  const char *id;

  while ((id = g_queue_peek_head (&decider->ended_order)) != NULL)
    {
      const ended_t *ended = g_hash_table_lookup (decider->ended, id);

      if (ended != NULL && now_us - ended->at_us < ended_kept_us
          && g_queue_get_length (&decider->ended_order) <= ENDED_MAX)
        return;
      g_hash_table_remove (decider->ended, id);
      g_free (g_queue_pop_head (&decider->ended_order));
    }
}

/* Latencies of a job that has ended, by its queue and outcome. */
static void
observe_job (decider_t *decider, const char *id, job_state_t state, gint64 now_us)
{
  job_times_t times;
  latency_set_t *set;

  if (!cell_job_times (decider->cell, id, &times))
    return;
  set = metrics_latency (decider->metrics, "jobs", job_state_name (state), times.queue);
  histogram_add (&set->total, (guint64) MAX (now_us - times.accepted_us, 0));
  if (times.began_us == 0)
    return;
  histogram_add (&set->waiting, (guint64) MAX (times.began_us - times.accepted_us, 0));
  histogram_add (&set->service, (guint64) MAX (now_us - times.began_us, 0));
}

static void
job_end_stored (const char *id, job_state_t state, void *data)
{
  decider_t *decider = data;
  ended_t *ended = g_new0 (ended_t, 1);

  ended->state = state;
  ended->at_us = clock_now_us ();
  g_hash_table_replace (decider->ended, g_strdup (id), ended);
  g_queue_push_tail (&decider->ended_order, g_strdup (id));
  forget_ended (decider, ended->at_us);
  LOG_INFO ("job_end_stored", "job=%s state=%s", id, job_state_name (state));
  observe_job (decider, id, state, ended->at_us);
  cell_forget (decider->cell, id);
}

static void
batch_stored (guint64 batch, void *data)
{
  decider_t *decider = data;

  cell_batch_done (decider->cell, batch);
  schedule_step (decider);
  if (decider->closed != NULL && recorder_is_idle (decider->recorder))
    {
      void (*closed) (void *data) = decider->closed;

      decider->closed = NULL;
      closed (decider->closed_data);
    }
}

static void
record_refused (void *data)
{
  depose (data, "write_refused");
}

static const recorder_events_t recorder_events = { job_end_stored, batch_stored, record_refused };

static job_spec_t *
job_of_item (const store_item_t *item, const char *id)
{
  job_spec_t *spec = codec_unpack_job (item->value, item->value_bytes);

  if (spec != NULL && strcmp (spec->id, id) == 0)
    return spec;
  LOG_WARN ("bad_record", "key=%s", item->key);
  job_spec_free (spec);
  return NULL;
}

static void
cancel_found (decider_t *decider, const char *id)
{
  g_autofree char *job = g_strndup (id, strlen (id) - strlen (KEYS_CANCEL_SUFFIX));

  if (decider->is_loaded)
    (void) cell_cancel (decider->cell, job, clock_now_us ());
  else
    (void) g_hash_table_add (decider->cancels, g_steal_pointer (&job));
}

static void
job_changed (const store_item_t *item, void *data)
{
  decider_t *decider = data;
  const char *id = item->key + strlen (KEYS_JOBS);
  job_spec_t *spec;

  if (item->deleted || strlen (id) < JOB_ID_BYTES - 1)
    return;
  schedule_step (decider);
  if (g_str_has_suffix (id, KEYS_CANCEL_SUFFIX))
    {
      cancel_found (decider, id);
      return;
    }
  if (g_hash_table_lookup (decider->ended, id) != NULL)
    return;
  spec = job_of_item (item, id);
  if (spec == NULL)
    return;
  if (!decider->is_loaded)
    g_hash_table_replace (decider->found, g_strdup (id), spec);
  else if (cell_add_job (decider->cell, spec, NULL, 0, false, clock_now_us (), clock_unix_ms ()))
    LOG_INFO ("job_found", "job=%s", id);
}

static void
load_job (decider_t *decider, job_spec_t *spec)
{
  const GArray *progress = g_hash_table_lookup (decider->progress, spec->id);

  if (progress != NULL)
    recorder_has_progress (decider->recorder, spec->id);
  (void) cell_add_job (decider->cell, spec,
                       progress != NULL ? (const task_progress_t *) (void *) progress->data : NULL,
                       progress != NULL ? progress->len : 0, true, clock_now_us (),
                       clock_unix_ms ());
}

static void registry_changed (const store_item_t *item, void *data);
static void registry_synced (void *data);
static void feed_lost (void *data);

static const mirror_events_t registry_events = { registry_changed, registry_synced, feed_lost };

static void
load_placement (decider_t *decider, guint64 number, GBytes *value)
{
  gsize size;
  const guint8 *bytes = g_bytes_get_data (value, &size);
  Mimosastair__Placement *message = mimosastair__placement__unpack (NULL, size, bytes);
  g_autofree placed_run_t *runs = NULL;
  guint count = 0;

  if (message == NULL)
    {
      LOG_WARN ("bad_record", "key=%s",
                (const char *) g_ptr_array_index (decider->former_placements, (guint) number - 1));
      return;
    }
  runs = g_new0 (placed_run_t, message->n_runs);
  for (gsize i = 0; i < message->n_runs; i++)
    {
      const Mimosastair__PlacedRun *row = message->runs[i];

      if (!codec_read_task (row->task, &runs[count].task))
        continue;
      runs[count].run = row->run;
      runs[count].executor = row->executor;
      count++;
    }
  cell_restore_placement (decider->cell, number, runs, count, clock_now_us ());
  mimosastair__placement__free_unpacked (message, NULL);
}

/* Puts together what was read, once all of it has come. */
static void
finish_loading (decider_t *decider)
{
  GHashTableIter iter;
  gpointer id;
  gpointer spec;
  cell_stats_t stats;

  if (decider->is_loaded || !decider->are_placements_read || !decider->is_progress_read
      || !decider->are_jobs_read)
    return;
  g_hash_table_iter_init (&iter, decider->found);
  while (g_hash_table_iter_next (&iter, &id, &spec))
    {
      g_hash_table_iter_steal (&iter);
      load_job (decider, spec);
      g_free (id);
    }
  decider->is_loaded = true;
  for (guint i = 0; i < decider->former_values->len; i++)
    load_placement (decider, i + 1, g_ptr_array_index (decider->former_values, i));
  g_ptr_array_set_size (decider->former_values, 0);
  g_hash_table_iter_init (&iter, decider->cancels);
  while (g_hash_table_iter_next (&iter, &id, NULL))
    (void) cell_cancel (decider->cell, id, clock_now_us ());
  g_hash_table_remove_all (decider->cancels);
  g_hash_table_remove_all (decider->progress);
  mirror_set_pause (decider->jobs_mirror, JOBS_PAUSE_MS);
  cell_stats (decider->cell, &stats);
  LOG_INFO ("decider_loaded", "jobs=%u after_ms=%" G_GINT64_FORMAT, stats.jobs,
            (clock_now_us () - decider->started_us) / 1000);
  decider->registry_mirror = mirror_new (decider->store, documents_registry_prefix,
                                         REGISTRY_WAIT_MS, &registry_events, decider);
  schedule_step (decider);
}

static void
jobs_synced (void *data)
{
  decider_t *decider = data;

  decider->are_jobs_read = true;
  finish_loading (decider);
}

static void
feed_lost (void *data G_GNUC_UNUSED)
{
  LOG_WARN ("store_lost", "of=decider");
}

static const mirror_events_t jobs_events = { job_changed, jobs_synced, feed_lost };

static void
registry_changed (const store_item_t *item, void *data)
{
  decider_t *decider = data;
  const char *id = item->key + strlen (documents_registry_prefix);
  registry_entry_t entry;
  error_info_t error = { .kind = ERROR_NONE };

  if (item->deleted)
    {
      cell_executor_unlisted (decider->cell, id, clock_now_us ());
      schedule_step (decider);
      return;
    }
  if (documents_executor (id, (const char *) item->value, item->value_bytes, &entry, &error)
      && desired_service (decider->desired, entry.entry.service) != NULL)
    {
      cell_executor_listed (decider->cell, &entry.entry, clock_now_us ());
      {
        assignment_t *assignment = g_hash_table_lookup (decider->assignments, id);

        if (assignment != NULL && assignment->zone == NULL)
          assignment->zone = g_strdup (entry.entry.zone);
      }
    }
  else
    {
      LOG_WARN ("registry_entry_skipped", "executor=%s reason=\"%s\"", id,
                error.kind != ERROR_NONE ? error.detail : "unknown service");
      cell_executor_unlisted (decider->cell, id, clock_now_us ());
    }
  documents_executor_clear (&entry);
  schedule_step (decider);
}

static void
registry_synced (void *data)
{
  schedule_step (data);
}

static void
progress_changed (const store_item_t *item, void *data)
{
  decider_t *decider = data;

  if (!item->deleted)
    g_hash_table_replace (decider->progress, g_strdup (item->key + strlen (KEYS_PROGRESS)),
                          codec_unpack_progress (item->value, item->value_bytes));
}

static void
progress_synced (void *data)
{
  decider_t *decider = data;

  mirror_free (decider->progress_mirror);
  decider->progress_mirror = NULL;
  decider->is_progress_read = true;
  finish_loading (decider);
}

static const mirror_events_t progress_events = { progress_changed, progress_synced, feed_lost };

static void
placement_changed (const store_item_t *item, void *data)
{
  decider_t *decider = data;

  if (item->deleted || decider->former_placements->len + 1 >= CELL_OWN_PLACEMENTS)
    return;
  /* A read that began anew delivers them again. */
  for (guint i = 0; i < decider->former_placements->len; i++)
    {
      if (strcmp (g_ptr_array_index (decider->former_placements, i), item->key) == 0)
        return;
    }
  g_ptr_array_add (decider->former_placements, g_strdup (item->key));
  g_ptr_array_add (decider->former_values, g_bytes_new (item->value, item->value_bytes));
}

static void
placements_synced (void *data)
{
  decider_t *decider = data;

  mirror_free (decider->placements_mirror);
  decider->placements_mirror = NULL;
  decider->are_placements_read = true;
  finish_loading (decider);
}

static const mirror_events_t placement_events = { placement_changed, placements_synced, feed_lost };

/* ---- Life. */

decider_t *
decider_new (store_t *store,
             claim_t *claim,
             const decider_config_t *config,
             const desired_t *desired,
             metrics_t *metrics,
             void (*deposed) (void *data),
             void (*abdicate) (void *data),
             void *data)
{
  decider_t *decider = g_new0 (decider_t, 1);

  decider->store = store;
  decider->claim = claim;
  decider->config = *config;
  decider->desired = desired;
  decider->metrics = metrics;
  decider->deposed = deposed;
  decider->abdicate = abdicate;
  decider->deposed_data = data;
  decider->started_us = clock_now_us ();
  list_init (&decider->vms);
  decider->progress
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) g_array_unref);
  decider->former_placements = g_ptr_array_new_with_free_func (g_free);
  decider->former_values = g_ptr_array_new_with_free_func ((GDestroyNotify) g_bytes_unref);
  decider->found = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_spec);
  decider->cancels = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  decider->assignments = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, assignment_free);
  decider->orders = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  decider->ended = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&decider->ended_order);
  decider->cell
      = cell_new (&config->limits, config->epoch, decider->started_us, &cell_ops, decider);
  cell_set_desired (decider->cell, desired);
  decider->recorder = recorder_new (store, claim_key (claim), config->fence, decider->cell,
                                    &recorder_events, decider);
  decider->sweep_timer = g_timeout_add (SWEEP_MS, sweep, decider);
  decider->placements_mirror
      = mirror_new (store, KEYS_PLACEMENTS, JOBS_WAIT_MS, &placement_events, decider);
  decider->progress_mirror
      = mirror_new (store, KEYS_PROGRESS, JOBS_WAIT_MS, &progress_events, decider);
  decider->jobs_mirror = mirror_new (store, KEYS_JOBS, JOBS_WAIT_MS, &jobs_events, decider);
  return decider;
}

void
decider_free (decider_t *decider)
{
  if (decider == NULL)
    return;
  decider->is_deposed = true;
  while (!list_is_empty (&decider->vms))
    drop_vm (LIST_ENTRY (decider->vms.next, vm_t, node), "not_decider");
  decider->is_freed = true;
  mirror_free (decider->progress_mirror);
  mirror_free (decider->placements_mirror);
  mirror_free (decider->jobs_mirror);
  mirror_free (decider->registry_mirror);
  recorder_free (decider->recorder);
  decider->recorder = NULL;
  if (decider->step_idle != 0)
    g_source_remove (decider->step_idle);
  if (decider->step_timer != 0)
    g_source_remove (decider->step_timer);
  if (decider->close_timer != 0)
    g_source_remove (decider->close_timer);
  g_source_remove (decider->sweep_timer);
  if (decider->calls == 0)
    destroy (decider);
}

void
decider_set_desired (decider_t *decider, const desired_t *desired)
{
  decider->desired = desired;
  cell_set_desired (decider->cell, desired);
  /* Entries of services that were not known before are looked at again. */
  if (decider->registry_mirror != NULL)
    {
      mirror_free (decider->registry_mirror);
      decider->registry_mirror = mirror_new (decider->store, documents_registry_prefix,
                                             REGISTRY_WAIT_MS, &registry_events, decider);
    }
  schedule_step (decider);
}

static gboolean
close_timed_out (gpointer data)
{
  decider_t *decider = data;
  void (*closed) (void *data) = decider->closed;

  decider->close_timer = 0;
  decider->closed = NULL;
  if (closed != NULL)
    closed (decider->closed_data);
  return G_SOURCE_REMOVE;
}

void
decider_close (decider_t *decider, guint timeout_ms, void (*done) (void *data), void *data)
{
  decider->is_closing = true;
  cell_close (decider->cell);
  decider->closed = done;
  decider->closed_data = data;
  if (recorder_is_idle (decider->recorder))
    timeout_ms = 0;
  else
    recorder_flush (decider->recorder);
  decider->close_timer = g_timeout_add (timeout_ms, close_timed_out, decider);
}

void
decider_tell_released (decider_t *decider)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;

  frame.released = decider->config.fence;
  for (list_node_t *node = decider->vms.next; node != &decider->vms; node = node->next)
    (void) link_send (LIST_ENTRY (node, vm_t, node)->link, &frame);
}

void
decider_print (const decider_t *decider, GString *out)
{
  cell_stats_t stats;

  cell_stats (decider->cell, &stats);
  g_string_append_printf (out, "mimosastair_decider_fence %" G_GINT64_FORMAT "\n",
                          decider->config.fence);
  g_string_append_printf (out, "mimosastair_cell_jobs %u\n", stats.jobs);
  g_string_append_printf (out, "mimosastair_cell_tasks_waiting %u\n", stats.waiting_tasks);
  g_string_append_printf (out, "mimosastair_cell_runs %u\n", stats.runs);
  g_string_append_printf (out, "mimosastair_cell_executors %u\n", stats.executors);
  g_string_append_printf (out, "mimosastair_cell_executors_usable %u\n", stats.executors_usable);
  g_string_append_printf (out, "mimosastair_cell_cpu_milli %" G_GUINT64_FORMAT "\n",
                          stats.cpu_milli);
  g_string_append_printf (out, "mimosastair_cell_cpu_used_milli %" G_GUINT64_FORMAT "\n",
                          stats.cpu_used_milli);
  g_string_append_printf (out, "mimosastair_cell_advice_calls %u\n", stats.advice_calls);
}
