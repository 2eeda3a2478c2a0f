#define LOG_MODULE "decider"

#include "entry/leader_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "decide/election_policy.h"
#include "decide/fence_token.h"
#include "entry/codec.h"

/* A new leader looks for a larger VM only after this time, in which the VMs connect and report
 * their sizes. */
static const gint64 size_check_delay_us = G_USEC_PER_SEC;
static const gint64 vm_heartbeat_timeout_us = 1300 * 1000;

/* A refusal has the leader's record read at once; this leaves time for two more reads. */
static const gint64 deposed_max_us = G_USEC_PER_SEC;

static void
fail_orders (leader_t *leader, const vm_t *vm, gint64 now_us)
{
  g_autoptr (GArray) lost = g_array_new (FALSE, FALSE, sizeof (guint64));
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, leader->open_orders);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      if (value != vm)
        continue;
      g_array_append_val (lost, *(guint64 *) key);
      g_hash_table_iter_remove (&iter);
    }
  for (guint i = 0; i < lost->len; i++)
    {
      guint64 order = g_array_index (lost, guint64, i);

      scheduler_order_vm_lost (leader->scheduler, order, now_us);
      scheduler_order_result (leader->scheduler, order, ORDER_NO_ANSWER, now_us);
    }
}

void
leader_remove_vm (vm_t *vm, const char *reason)
{
  leader_t *leader = vm->leader;
  gint64 now_us = clock_now_us ();

  LOG_WARN ("vm_lost", "vm=%s reason=%s held=%u", vm->name != NULL ? vm->name : "-", reason,
            vm->executor_count);
  list_remove (&vm->node);
  leader_unassign_lost_vm (vm, now_us);
  fail_orders (leader, vm, now_us);
  if (vm->advice_order != 0)
    scheduler_advice_result (leader->scheduler, vm->advice_order, false, NULL, 0, now_us);
  link_free (vm->link);
  g_free (vm->name);
  g_free (vm->zone);
  text_table_free (vm->texts);
  g_free (vm);
  leader_schedule_round (leader);
}

static void
connection_lost (link_t *link G_GNUC_UNUSED, const char *reason, void *data)
{
  leader_remove_vm (data, reason);
}

static void
handle_hello (vm_t *vm, const Mimosastair__Hello *hello)
{
  g_free (vm->name);
  g_free (vm->zone);
  vm->name = g_strdup (hello->vm);
  vm->zone = g_strdup (hello->zone);
  vm->life = hello->life;
  vm->cpu_milli = hello->cpu_milli;
  vm->job_bytes_max = hello->job_bytes_max;
  vm->is_leaving = hello->leaving;
  leader_set_kept_texts (vm, hello->keeps_texts);
  LOG_INFO ("vm_joined", "vm=%s zone=%s leaving=%d", vm->name, vm->zone, (int) vm->is_leaving);
  if (vm->is_leaving && vm->leader->is_loaded)
    leader_assign_executors (vm->leader);
}

/* CPU of the largest VM that could be the leader. */
static guint
largest_vm_cpu_milli (const leader_t *leader)
{
  guint most = 0;

  for (list_node_t *node = leader->vms.next; node != &leader->vms; node = node->next)
    {
      const vm_t *vm = LIST_ENTRY (node, vm_t, node);

      if (vm->name != NULL && !vm->is_leaving && vm->is_store_reachable)
        most = MAX (most, vm->cpu_milli);
    }
  return most;
}

static void
handle_ping (vm_t *vm, const Mimosastair__Ping *ping)
{
  leader_t *leader = vm->leader;
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Pong pong = MIMOSASTAIR__PONG__INIT;

  vm->is_store_reachable = ping->store_ok;
  store_report_ping (&vm->store_report, clock_now_us (), ping->sent_us,
                     ping->store_answered_age_us);
  desired_follower_peer_reported (leader->desired, ping->desired_version, 0);
  pong.sent_us = ping->sent_us;
  pong.valid_us
      = leader->is_deposed ? 0 : election_remaining_us (leader->election, clock_now_us ());
  pong.fence = fence_token_first (leader->config.fence);
  pong.ready = leader->is_loaded && !leader->is_closing;
  pong.store_ok = store_is_healthy (leader->store, clock_now_us ());
  pong.cpu_most_milli = MAX (leader->config.cpu_milli, largest_vm_cpu_milli (leader));
  pong.desired_version = desired_follower_version (leader->desired);
  pong.desired_age_us = desired_follower_age_us (leader->desired, clock_now_us ());
  if (leader_raise_share (vm))
    pong.job_share = 1 + vm->job_share;
  leader_fill_refusals (leader, &pong);
  frame.pong = &pong;
  (void) link_send (vm->link, &frame);
  leader_clear_refusals (&pong);
}

static void
handle_report (vm_t *vm, const Mimosastair__Report *message)
{
  leader_t *leader = vm->leader;
  assignment_t *assignment = g_hash_table_lookup (leader->assignments, message->executor);
  g_autofree reported_run_t *running = g_new0 (reported_run_t, message->n_running);
  g_autofree reported_end_t *ended = g_new0 (reported_end_t, message->n_ended);
  executor_report_t report = {
    .executor = message->executor,
    .is_reachable = message->reached,
    .is_fenced = message->fenced,
    .fence_step = message->fence_step,
    .is_lease_requested = message->renewed,
    .born = message->born,
    .mark = message->mark,
    .running = running,
    .ended = ended,
    .has_more_ends = message->more_ends,
  };

  if (assignment == NULL || assignment->vm != vm)
    return;
  for (gsize i = 0; i < message->n_running; i++)
    {
      const Mimosastair__RunRow *row = message->running[i];
      reported_run_t *read = &running[report.running_count];

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
      reported_end_t *read = &ended[report.ended_count];

      if (!codec_read_task (row->task, &read->task))
        continue;
      read->number = row->number;
      read->run = row->run;
      read->how = row->how;
      read->checkpoint = row->checkpoint;
      report.ended_count++;
    }
  scheduler_executor_report (leader->scheduler, &report, clock_now_us ());
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
  scheduler_advice_result (vm->leader->scheduler, message->order, message->answered, tickets,
                           (guint) message->n_tickets, clock_now_us ());
}

static void
handle_result (vm_t *vm, const Mimosastair__OrderResult *message)
{
  guint64 order = message->order;

  if (message->text_missing && vm->texts != NULL)
    text_table_clear (vm->texts);
  (void) g_hash_table_remove (vm->leader->open_orders, &order);
  scheduler_order_token (vm->leader->scheduler, order, message->fence_step);
  scheduler_order_result (vm->leader->scheduler, order, message->outcome, clock_now_us ());
}

/* A record that is older than this VM's leadership was either read when the jobs were loaded,
 * or its job ended under an earlier leader. */
static bool
is_new_job (const leader_t *leader, const job_spec_t *spec)
{
  return spec->revision > leader->config.fence
         && g_hash_table_lookup (leader->ended_jobs, spec->id) == NULL;
}

static void
handle_job (vm_t *vm, const Mimosastair__Job *message)
{
  leader_t *leader = vm->leader;
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__JobKnown known = MIMOSASTAIR__JOB_KNOWN__INIT;
  Mimosastair__JobKnown *list = &known;
  job_spec_t *spec;

  /* Until the jobs are loaded, this one is read from the store with the others. */
  if (!leader->is_loaded)
    return;
  spec = codec_job_from_message (message);
  if (spec != NULL)
    leader_use_room (vm, spec);
  if (spec != NULL && is_new_job (leader, spec))
    (void) scheduler_add_job (leader->scheduler, spec, NULL, 0, false, clock_now_us (),
                              clock_unix_ms ());
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
  leader_t *leader = vm->leader;
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;

  if (!leader->is_loaded)
    return;
  LOG_INFO ("job_cancel", "job=%s vm=%s", id, vm->name);
  (void) scheduler_cancel_job (leader->scheduler, id, clock_now_us ());
  frame.n_cancel = 1;
  frame.cancel = &id;
  (void) link_send (vm->link, &frame);
}

static void
handle_ask (vm_t *vm, const Mimosastair__Ask *ask)
{
  leader_t *leader = vm->leader;
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Answer answer = MIMOSASTAIR__ANSWER__INIT;
  Mimosastair__Answer *list = &answer;
  job_state_t state = JOB_QUEUED;

  answer.number = ask->number;
  if (!leader_may_act (leader))
    answer.unavailable = true;
  else if (ask->id[0] != '\0')
    {
      const ended_job_t *ended = g_hash_table_lookup (leader->ended_jobs, ask->id);
      const char *workspace
          = ended != NULL ? ended->workspace : scheduler_job_workspace (leader->scheduler, ask->id);

      answer.known = ended != NULL || scheduler_job_state (leader->scheduler, ask->id, &state);
      if (!answer.known && ask->reserve > 0)
        answer.known = leader_reserve_room (leader, ask->id, ask->reserve);
      answer.state = ended != NULL ? ended->state : state;
      if (workspace != NULL)
        answer.workspace = (char *) workspace;
    }
  else
    {
      answer.known = true;
      answer.pending = scheduler_pending_job_count (leader->scheduler, ask->queue);
    }
  frame.n_answer = 1;
  frame.answer = &list;
  (void) link_send (vm->link, &frame);
}

static void
handle_frame (link_t *link G_GNUC_UNUSED, const Mimosastair__Frame *frame, void *data)
{
  vm_t *vm = data;
  leader_t *leader = vm->leader;

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
    leader_relay_call (vm, frame->relay[i]);
  if (frame->ping == NULL && frame->n_ask == 0 && frame->n_relay == 0)
    leader_schedule_round (leader);
}

static const link_events_t link_events = { NULL, handle_frame, connection_lost };

void
leader_accept (leader_t *leader, GSocketConnection *connection)
{
  vm_t *vm = g_new0 (vm_t, 1);

  vm->leader = leader;
  list_push_back (&leader->vms, &vm->node);
  vm->link = link_accept (connection, &link_events, vm);
}

void
leader_step_down (leader_t *leader, const char *reason)
{
  LOG_WARN ("decider_abdicates", "fence=%" G_GINT64_FORMAT " reason=%s", leader->config.fence,
            reason);
  leader->is_deposed = true;
  leader->deposed_us = 0;
  leader_announce_resignation (leader);
  leader->on_step_down (leader->callback_data);
}

/* Steps down in favor of a VM with clearly more CPU. */
static void
check_larger_vm (leader_t *leader, gint64 now_us)
{
  guint largest = largest_vm_cpu_milli (leader);

  if (leader_may_act (leader) && now_us - leader->started_us > size_check_delay_us
      && election_policy_should_step_down (leader->config.cpu_milli, largest))
    leader_step_down (leader, "larger_vm");
}

/* Hands over after a refusal if no other VM has become the leader by now: the next one has a higher
 * token. */
static void
check_refused (leader_t *leader, gint64 now_us)
{
  if (leader->deposed_us > 0 && now_us - leader->deposed_us > deposed_max_us)
    leader_step_down (leader, "refused");
}

gboolean
leader_run_periodic_checks (gpointer data)
{
  leader_t *leader = data;
  gint64 now_us = clock_now_us ();
  list_node_t *next;

  for (list_node_t *node = leader->vms.next; node != &leader->vms; node = next)
    {
      vm_t *vm = LIST_ENTRY (node, vm_t, node);

      next = node->next;
      if (now_us - link_last_received_us (vm->link) > vm_heartbeat_timeout_us)
        leader_remove_vm (vm, "silent");
    }
  leader_expire_reservations (leader, now_us);
  leader_check_refusals (leader, now_us);
  check_larger_vm (leader, now_us);
  check_refused (leader, now_us);
  if (leader_may_act (leader))
    leader_write_settled (leader, now_us);
  if (leader_may_act (leader) && now_us - leader->started_us > CONNECT_DELAY_MS * 1000)
    leader_assign_executors (leader);
  return G_SOURCE_CONTINUE;
}
