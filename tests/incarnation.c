/* An executor may start again under its id: what is known of one incarnation must not be used in
 * the next. */
#include "entry_fixture.h"
#include "fake_executor.h"

#include "base/json.h"
#include "decide/fence_token.h"
#include "entry/agent.h"
#include "entry/executor_clock.h"
#include "peer/link.h"

static const char job[] = "00000000000000aa";

enum
{
  FORMER_BORN = 1000,
  BORN = 2000,
  FORMER_ACKED = 40, /* ends of the former incarnation that were acknowledged */
  ENDS = 3,
  LEASE_MS = 5000,
  LEADER_FENCE = 7 * FENCE_STEPS_PER_LEADER,
  CLOCK_AHEAD_MS = 60000, /* of the former incarnation */
  REACH_MAX_MS = 300,     /* until calls to a new incarnation are answered; a call may take 1700 */
  FORMER_HOLD_MS = 2000,  /* longer than a hold request goes without an answer */
  FORMER_ORDER_MS = 700,  /* longer than an order does */
  ORDER_CONNECTIONS = 6,  /* as many as orders to one executor may have */
  COSTLY_VALUES = 120000, /* nearly as many as are read */
  COSTLY_EXECUTORS = 3,
  COSTLY_WATCH_MS = 4000
};

/* ---- A VM that calls the executor, and its leader, which is played by the test. */

typedef struct
{
  agent_t *agent;
  fake_executor_t *executor;
  guint64 last_end; /* highest number that was reported */
  gint64 born;      /* as last reported */
  guint fence_step;
  bool is_fenced; /* a report said so */
  guint64 order;  /* the last one */
  order_outcome_t outcome;
  guint outcome_step; /* that the result of the order names */
  bool has_outcome;
  guint ok_count; /* orders that were carried out */
  guint report_count;
  guint unreached_count;   /* reports of no answer */
  gint64 renewed_for_born; /* the latest of them that tells of a lease; 0: none */
  guint advice_count;      /* answers to calls for advice */
} caller_t;

static bool
receive (const Mimosastair__Frame *frame, void *data)
{
  caller_t *caller = data;

  caller->report_count += (guint) frame->n_report;
  for (gsize i = 0; i < frame->n_report; i++)
    {
      const Mimosastair__Report *report = frame->report[i];

      caller->born = report->born;
      caller->fence_step = report->fence_step;
      caller->is_fenced |= report->fenced;
      caller->unreached_count += report->reached ? 0 : 1;
      if (report->renewed)
        caller->renewed_for_born = report->born;
      for (gsize j = 0; j < report->n_ended; j++)
        caller->last_end = MAX (caller->last_end, report->ended[j]->number);
    }
  caller->advice_count += (guint) frame->n_advice;
  for (gsize i = 0; i < frame->n_result; i++)
    {
      caller->ok_count += frame->result[i]->outcome == ORDER_OK ? 1 : 0;
      if (frame->result[i]->order != caller->order)
        continue;
      caller->outcome = frame->result[i]->outcome;
      caller->outcome_step = frame->result[i]->fence_step;
      caller->has_outcome = true;
    }
  return true;
}

static void
caller_open (caller_t *caller, gint64 born)
{
  *caller = (caller_t){ .executor = fake_executor_new (born) };
  caller->agent = agent_new (LEASE_MS, "", receive, caller);
  agent_set_leadership (caller->agent, LEADER_FENCE, clock_now_us () + 60 * G_USEC_PER_SEC);
}

static void
caller_close (caller_t *caller)
{
  agent_reset (caller->agent);
  loop_run_ms (100);
  agent_free (caller->agent);
}

static void
assign_id (caller_t *caller, const char *id, gint64 born, guint64 acked, guint fence_step)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Assign message = MIMOSASTAIR__ASSIGN__INIT;
  Mimosastair__Assign *list = &message;

  message.executor = (char *) id;
  message.address = (char *) fake_executor_address (caller->executor);
  message.born = born;
  message.acked = acked;
  message.fence_step = fence_step;
  frame.n_assign = 1;
  frame.assign = &list;
  agent_handle_frame (caller->agent, &frame);
}

static void
assign_step (caller_t *caller, gint64 born, guint64 acked, guint fence_step)
{
  assign_id (caller, "e", born, acked, fence_step);
}

static void
assign (caller_t *caller, gint64 born, guint64 acked)
{
  assign_step (caller, born, acked, 0);
}

static bool
is_held (void *data)
{
  return fake_executor_is_held (((const caller_t *) data)->executor);
}

/* The executor starts again while a hold request waits, which shows it to the VM at once. */
static void
restart (caller_t *caller, gint64 born)
{
  CU_ASSERT_TRUE (loop_run_until (is_held, caller));
  fake_executor_restart (caller->executor, born);
}

static bool
has_ends (void *data)
{
  return ((const caller_t *) data)->last_end == ENDS;
}

static bool
is_born (void *data)
{
  return ((const caller_t *) data)->born == BORN;
}

static bool
has_forgotten (void *data)
{
  return fake_executor_forgotten (((const caller_t *) data)->executor) == ENDS;
}

/* TWICE: a VM that is assigned an executor acknowledged ends of the former incarnation to the next
 * one, which forgot its ends unread; their tasks ran a second time. */
static void
test_twice_ends_forgotten_by_new_vm (void)
{
  caller_t caller;

  caller_open (&caller, BORN);
  fake_executor_set_ends (caller.executor, job, ENDS);
  assign (&caller, FORMER_BORN, FORMER_ACKED);
  CU_ASSERT_TRUE (loop_run_until (is_born, &caller));
  CU_ASSERT_EQUAL (fake_executor_forgotten (caller.executor), 0);
  CU_ASSERT_TRUE (has_ends (&caller));
  assign (&caller, BORN, ENDS);
  CU_ASSERT_TRUE (loop_run_until (has_forgotten, &caller));
  caller_close (&caller);
}

/* The same, where the executor starts again while one VM calls it. */
static void
test_twice_ends_forgotten_after_restart (void)
{
  caller_t caller;

  caller_open (&caller, FORMER_BORN);
  fake_executor_set_ends (caller.executor, job, FORMER_ACKED);
  assign (&caller, 0, 0);
  loop_run_ms (5 * FAKE_EXECUTOR_ANSWER_MS);
  assign (&caller, FORMER_BORN, FORMER_ACKED);
  loop_run_ms (5 * FAKE_EXECUTOR_ANSWER_MS);
  CU_ASSERT_EQUAL (fake_executor_forgotten (caller.executor), FORMER_ACKED);
  caller.last_end = 0;
  restart (&caller, BORN);
  fake_executor_set_ends (caller.executor, job, ENDS);
  CU_ASSERT_TRUE (loop_run_until (is_born, &caller));
  loop_run_ms (10 * FAKE_EXECUTOR_ANSWER_MS);
  CU_ASSERT_EQUAL (fake_executor_forgotten (caller.executor), 0);
  CU_ASSERT_TRUE (has_ends (&caller));
  caller_close (&caller);
}

static bool
is_not_held (void *data)
{
  const caller_t *caller = data;

  return caller->last_end > FORMER_ACKED && !fake_executor_is_held (caller->executor);
}

/* The same, where it starts again while no hold request waits, as an end is not acknowledged yet:
 * the VM does not notice before the next one. */
static void
test_twice_ends_forgotten_after_unnoticed_restart (void)
{
  caller_t caller;

  caller_open (&caller, FORMER_BORN);
  fake_executor_set_ends (caller.executor, job, FORMER_ACKED + 1);
  assign (&caller, FORMER_BORN, FORMER_ACKED);
  CU_ASSERT_TRUE (loop_run_until (is_not_held, &caller));
  caller.last_end = 0;
  fake_executor_restart_unnoticed (caller.executor, BORN);
  fake_executor_set_ends (caller.executor, job, ENDS);
  CU_ASSERT_TRUE (loop_run_until (is_born, &caller));
  CU_ASSERT_EQUAL (fake_executor_forgotten (caller.executor), 0);
  CU_ASSERT_TRUE (has_ends (&caller));
  assign (&caller, BORN, ENDS);
  CU_ASSERT_TRUE (loop_run_until (has_forgotten, &caller));
  caller_close (&caller);
}

static bool
has_outcome (void *data)
{
  return ((const caller_t *) data)->has_outcome;
}

static void
send_start (caller_t *caller, gint64 born)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__StartOrder message = MIMOSASTAIR__START_ORDER__INIT;
  Mimosastair__StartOrder *list = &message;
  Mimosastair__TaskRef ref = MIMOSASTAIR__TASK_REF__INIT;

  ref.job = (char *) job;
  message.order = ++caller->order;
  message.executor = (char *) "e";
  message.born = born;
  message.task = &ref;
  message.run = 1;
  frame.n_start = 1;
  frame.start = &list;
  caller->has_outcome = false;
  agent_handle_frame (caller->agent, &frame);
}

/* Has the VM start a task on the incarnation; returns the outcome. */
static order_outcome_t
start_task (caller_t *caller, gint64 born)
{
  send_start (caller, born);
  CU_ASSERT_TRUE (loop_run_until (has_outcome, caller));
  return caller->outcome;
}

/* The VM loses its leader, and the next one is known at once. */
static void
change_leader (caller_t *caller)
{
  agent_reset (caller->agent);
  agent_set_leadership (caller->agent, 2, clock_now_us () + 60 * G_USEC_PER_SEC);
}

/* TWICE: orders are numbered from 1 by each leader, and the next one took the result of an order of
 * the former one for that of its own. */
static void
test_twice_result_of_former_leader (void)
{
  caller_t caller;

  caller_open (&caller, BORN);
  assign (&caller, BORN, 0);
  CU_ASSERT_TRUE (loop_run_until (is_born, &caller));
  CU_ASSERT_EQUAL (start_task (&caller, BORN), ORDER_OK);
  send_start (&caller, BORN);
  change_leader (&caller);
  caller.has_outcome = false;
  loop_run_ms (10 * FAKE_EXECUTOR_ANSWER_MS);
  CU_ASSERT_EQUAL (fake_executor_starts (caller.executor), 2);
  CU_ASSERT_FALSE (caller.has_outcome);
  caller_close (&caller);
}

/* TWICE: a VM that had lost its leader called executors, and renewed their leases, on the word of
 * the former one. */
static void
test_twice_calls_before_next_leader (void)
{
  caller_t caller;

  caller_open (&caller, BORN);
  agent_reset (caller.agent);
  assign (&caller, BORN, 0);
  loop_run_ms (10 * FAKE_EXECUTOR_ANSWER_MS);
  CU_ASSERT_EQUAL (fake_executor_holds (caller.executor), 0);
  agent_set_leadership (caller.agent, 2, clock_now_us () + 60 * G_USEC_PER_SEC);
  CU_ASSERT_TRUE (loop_run_until (is_born, &caller));
  caller_close (&caller);
}

static void
ask_for_advice (agent_t *agent)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__AdviceOrder message = MIMOSASTAIR__ADVICE_ORDER__INIT;
  Mimosastair__AdviceOrder *list = &message;
  Mimosastair__TaskRef ref = MIMOSASTAIR__TASK_REF__INIT;
  char *executors[] = { (char *) "e" };

  ref.job = (char *) job;
  message.order = 1;
  message.step = &ref;
  message.n_executors = G_N_ELEMENTS (executors);
  message.executors = executors;
  message.timeout_ms = 1000;
  frame.n_advise = 1;
  frame.advise = &list;
  agent_handle_frame (agent, &frame);
}

static bool
has_advice (void *data)
{
  return ((const caller_t *) data)->advice_count > 0;
}

/* ROUTE: the same of a call for advice, whose tickets are for another step. */
static void
test_route_advice_for_former_leader (void)
{
  caller_t caller = { .executor = fake_executor_new (BORN) };

  fake_executor_set_answer (caller.executor, "{\"allowed\":[[\"e\",\"t\"]]}");
  caller.agent = agent_new (LEASE_MS, fake_executor_address (caller.executor), receive, &caller);
  ask_for_advice (caller.agent);
  CU_ASSERT_TRUE (loop_run_until (has_advice, &caller));
  ask_for_advice (caller.agent);
  change_leader (&caller);
  loop_run_ms (10 * FAKE_EXECUTOR_ANSWER_MS);
  CU_ASSERT_EQUAL (caller.advice_count, 1);
  caller_close (&caller);
}

/* A lease that began at such a clock had wrapped around: the task was started with a lease that had
 * ended long before. */
static void
test_fault_clock_out_of_range (void)
{
  caller_t caller;

  caller_open (&caller, BORN);
  fake_executor_set_answer (caller.executor, "{\"clock-ms\":9223372036854775807,\"born\":2000,"
                                             "\"running\":[],\"ended\":[]}");
  assign (&caller, BORN, 0);
  CU_ASSERT_TRUE (loop_run_until (is_born, &caller));
  CU_ASSERT_EQUAL (start_task (&caller, BORN), ORDER_NOT_SENT);
  caller_close (&caller);
}

/* An executor whose hold requests are all answered at once was asked again at once: some hundred
 * times in this second, which took the VM's processor. */
static void
test_fault_answers_that_do_not_wait (void)
{
  caller_t caller;

  caller_open (&caller, BORN);
  assign (&caller, BORN, 0);
  CU_ASSERT_TRUE (loop_run_until (is_born, &caller));
  loop_run_ms (G_USEC_PER_SEC / 1000);
  CU_ASSERT (fake_executor_holds (caller.executor) < 12);
  caller_close (&caller);
}

/* Returns the processor time that parsing the text takes. */
static gint64
parse_cost_us (const GString *text)
{
  gint64 least_us = G_MAXINT64;

  for (guint i = 0; i < 3; i++)
    {
      gint64 began_us = clock_thread_cpu_us ();
      JsonNode *root = json_parse_object (text->str, (gssize) text->len, NULL);

      least_us = MIN (least_us, clock_thread_cpu_us () - began_us);
      CU_ASSERT_PTR_NOT_NULL_FATAL (root);
      json_node_unref (root);
    }
  return least_us;
}

/* Executors whose answers are expensive to parse were asked again after 150 ms, which took the
 * whole processor of the VM.  Parsing may take a quarter, or each answer comes 2 s after the last
 * one. */
static void
test_fault_costly_answers (void)
{
  g_autoptr (GString) answer = g_string_new ("{\"clock-ms\":1,\"born\":2000,\"running\":[");
  gint64 interval_us;
  gint64 began_us;
  caller_t caller;

  for (guint i = 0; i < COSTLY_VALUES; i++)
    g_string_append (answer, "0,");
  g_string_append (answer, "0]}");
  interval_us = parse_cost_us (answer) * COSTLY_EXECUTORS * 4;
  interval_us = MIN (interval_us, 2 * G_USEC_PER_SEC);
  caller_open (&caller, BORN);
  fake_executor_set_answer (caller.executor, answer->str);
  for (guint i = 0; i < COSTLY_EXECUTORS; i++)
    {
      g_autofree char *id = g_strdup_printf ("e%u", i);

      assign_id (&caller, id, BORN, 0, 0);
    }
  CU_ASSERT_TRUE (loop_run_until (is_born, &caller));
  loop_run_ms (G_USEC_PER_SEC / 1000); /* the VM learns what the answers of each of them take */
  caller.report_count = 0;
  began_us = clock_now_us ();
  loop_run_ms (COSTLY_WATCH_MS);
  CU_ASSERT (caller.report_count >= COSTLY_EXECUTORS);
  CU_ASSERT (caller.report_count
             <= COSTLY_EXECUTORS * ((clock_now_us () - began_us) / interval_us + 1));
  caller_close (&caller);
}

/* ROUTE: a task that was placed on the former incarnation started on the next one. */
static void
test_route_start_for_former_incarnation (void)
{
  caller_t caller;

  caller_open (&caller, BORN);
  assign (&caller, 0, 0);
  CU_ASSERT_TRUE (loop_run_until (is_born, &caller));
  CU_ASSERT_EQUAL (start_task (&caller, FORMER_BORN), ORDER_EXECUTOR_RESTARTED);
  CU_ASSERT_EQUAL (fake_executor_starts (caller.executor), 0);
  CU_ASSERT_EQUAL (start_task (&caller, BORN), ORDER_OK);
  CU_ASSERT_EQUAL (fake_executor_starts (caller.executor), 1);
  caller_close (&caller);
}

/* The same, before the VM has heard of the next one: its connections to the executor are gone. */
static void
test_route_start_while_incarnation_is_unknown (void)
{
  caller_t caller;

  caller_open (&caller, FORMER_BORN);
  assign (&caller, 0, 0);
  loop_run_ms (5 * FAKE_EXECUTOR_ANSWER_MS);
  CU_ASSERT_EQUAL (caller.born, FORMER_BORN);
  restart (&caller, BORN);
  loop_run_ms (2 * FAKE_EXECUTOR_ANSWER_MS);
  CU_ASSERT_EQUAL (fake_executor_holds (caller.executor), 0);
  CU_ASSERT_EQUAL (start_task (&caller, FORMER_BORN), ORDER_NOT_SENT);
  CU_ASSERT_EQUAL (fake_executor_starts (caller.executor), 0);
  caller_close (&caller);
}

/* ROUTE: the executor starts again while a start order is on its way to a VM that has not noticed
 * yet. The order names the id alone, and the next incarnation carried it out. */
static void
check_unnoticed_restart (bool has_connection)
{
  caller_t caller;
  order_outcome_t outcome;

  caller_open (&caller, FORMER_BORN);
  assign (&caller, 0, 0);
  loop_run_ms (5 * FAKE_EXECUTOR_ANSWER_MS);
  CU_ASSERT_EQUAL (caller.born, FORMER_BORN);
  if (has_connection)
    CU_ASSERT_EQUAL (start_task (&caller, FORMER_BORN), ORDER_OK);
  fake_executor_restart_unnoticed (caller.executor, BORN);
  outcome = start_task (&caller, FORMER_BORN);
  CU_ASSERT_NOT_EQUAL (outcome, ORDER_OK);
  /* On a connection to the former incarnation it may have been received. */
  if (!has_connection)
    CU_ASSERT_EQUAL (outcome, ORDER_EXECUTOR_RESTARTED);
  CU_ASSERT_EQUAL (fake_executor_starts (caller.executor), 0);
  CU_ASSERT_TRUE (loop_run_until (is_born, &caller));
  CU_ASSERT_EQUAL (start_task (&caller, BORN), ORDER_OK);
  CU_ASSERT_EQUAL (start_task (&caller, BORN), ORDER_OK);
  CU_ASSERT_EQUAL (fake_executor_starts (caller.executor), 2);
  caller_close (&caller);
}

static void
test_route_start_after_unnoticed_restart (void)
{
  check_unnoticed_restart (false);
}

/* The same with a connection to the former incarnation that orders were sent on. */
static void
test_route_start_on_former_connection (void)
{
  check_unnoticed_restart (true);
}

static bool
is_called_for_next (void *data)
{
  const caller_t *caller = data;

  return fake_executor_call_fence (caller->executor) == fence_token (LEADER_FENCE, 1);
}

static bool
is_leased (void *data)
{
  return fake_executor_lease_end_ms (((const caller_t *) data)->executor) > 0;
}

/* TWICE: a lease that was stated by the clock of the former incarnation, with the token of the next
 * one, lasted for as long as that accepts. */
static void
test_twice_lease_stated_by_former_clock (void)
{
  caller_t caller;

  caller_open (&caller, FORMER_BORN);
  fake_executor_advance_clock (caller.executor, CLOCK_AHEAD_MS);
  assign (&caller, 0, 0);
  CU_ASSERT_TRUE (loop_run_until (is_leased, &caller));
  /* The leader knows the next incarnation from its registry entry; the VM does not. */
  assign_step (&caller, BORN, 0, 1);
  CU_ASSERT_TRUE (loop_run_until (is_called_for_next, &caller));
  CU_ASSERT_EQUAL (fake_executor_lease_end_ms (caller.executor), 0);
  CU_ASSERT_EQUAL (start_task (&caller, FORMER_BORN), ORDER_NOT_SENT);
  restart (&caller, BORN);
  CU_ASSERT_TRUE (loop_run_until (is_leased, &caller));
  CU_ASSERT (fake_executor_lease_end_ms (caller.executor)
             <= fake_executor_clock_ms (caller.executor) + LEASE_MS);
  CU_ASSERT_EQUAL (fake_executor_call_fence (caller.executor), fence_token (LEADER_FENCE, 1));
  caller_close (&caller);
}

/* LOST: a leader of an earlier version does not tell the next incarnation before it has listed
 * ends. The VM granted it no lease and started nothing there. */
static void
test_lost_executor_under_earlier_leader (void)
{
  caller_t caller;

  caller_open (&caller, BORN);
  agent_set_leadership (caller.agent, LEADER_FENCE + 1, clock_now_us () + 60 * G_USEC_PER_SEC);
  assign (&caller, FORMER_BORN, FORMER_ACKED);
  CU_ASSERT_TRUE (loop_run_until (is_leased, &caller));
  CU_ASSERT_EQUAL (start_task (&caller, BORN), ORDER_OK);
  CU_ASSERT_EQUAL (fake_executor_call_fence (caller.executor), LEADER_FENCE + 1);
  caller_close (&caller);
}

/* LOST: a leader that is not told the step of a start takes the VM for one of an earlier version,
 * and waits for 22 s for the task of an executor that is cut off. */
static void
test_lost_step_of_start (void)
{
  caller_t caller;

  caller_open (&caller, BORN);
  assign_step (&caller, BORN, 0, 1);
  CU_ASSERT_TRUE (loop_run_until (is_leased, &caller));
  CU_ASSERT_EQUAL (start_task (&caller, BORN), ORDER_OK);
  CU_ASSERT_EQUAL (caller.outcome_step, 1);
  caller_close (&caller);
}

static bool
is_step_reported (void *data)
{
  return ((const caller_t *) data)->fence_step == 1;
}

/* The leader was deposed when a call that was meant for the former incarnation came after one that
 * was meant for the next. */
static void
test_refusal_of_former_token_deposes_nobody (void)
{
  caller_t caller;

  caller_open (&caller, BORN);
  assign (&caller, 0, 0);
  CU_ASSERT_TRUE (loop_run_until (is_born, &caller));
  CU_ASSERT_TRUE (loop_run_until (is_held, &caller));
  fake_executor_see_fence (caller.executor, fence_token (LEADER_FENCE, 1));
  assign_step (&caller, BORN, 0, 1);
  CU_ASSERT_TRUE (loop_run_until (is_step_reported, &caller));
  CU_ASSERT_FALSE (caller.is_fenced);
  caller_close (&caller);
}

static void
send_stop (caller_t *caller)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__StopOrder message = MIMOSASTAIR__STOP_ORDER__INIT;
  Mimosastair__StopOrder *list = &message;
  Mimosastair__TaskRef ref = MIMOSASTAIR__TASK_REF__INIT;

  ref.job = (char *) job;
  message.order = ++caller->order;
  message.executor = (char *) "e";
  message.task = &ref;
  message.run = 1;
  frame.n_stop = 1;
  frame.stop = &list;
  caller->has_outcome = false;
  agent_handle_frame (caller->agent, &frame);
}

/* Has the VM stop a task; returns the outcome. */
static order_outcome_t
stop_task (caller_t *caller)
{
  send_stop (caller);
  CU_ASSERT_TRUE (loop_run_until (has_outcome, caller));
  return caller->outcome;
}

/* The new leader was deposed, as the first stop orders of a VM carried the token of the former one:
 * the VM did not know the new one before the next pong. */
static void
test_stop_before_token_is_known (void)
{
  caller_t caller;

  caller_open (&caller, BORN);
  agent_reset (caller.agent);
  assign (&caller, 0, 0);
  CU_ASSERT_EQUAL (stop_task (&caller), ORDER_NOT_SENT);
  caller_close (&caller);
}

/* The executor has carried out a start and a stop order on connections that stay open, and starts
 * again; no hold request has shown that. */
static void
restart_behind_orders (caller_t *caller)
{
  caller_open (caller, FORMER_BORN);
  fake_executor_advance_clock (caller->executor, CLOCK_AHEAD_MS);
  assign (caller, FORMER_BORN, 0);
  CU_ASSERT_TRUE (loop_run_until (is_leased, caller));
  CU_ASSERT_EQUAL (start_task (caller, FORMER_BORN), ORDER_OK);
  CU_ASSERT_EQUAL (stop_task (caller), ORDER_OK);
  fake_executor_restart_behind_connections (caller->executor, BORN);
}

/* TWICE: the next incarnation carried out a start order that was meant for the former one, and its
 * answer confirmed the run as one of the former.  The leader took the run for gone with that
 * incarnation, and the task started elsewhere. */
static void
test_twice_start_answered_by_next_incarnation (void)
{
  caller_t caller;

  restart_behind_orders (&caller);
  CU_ASSERT_EQUAL (start_task (&caller, FORMER_BORN), ORDER_NO_ANSWER);
  CU_ASSERT_EQUAL (fake_executor_starts (caller.executor), 1);
  assign (&caller, BORN, 0);
  CU_ASSERT_TRUE (loop_run_until (is_leased, &caller));
  CU_ASSERT_EQUAL (start_task (&caller, BORN), ORDER_OK);
  caller_close (&caller);
}

/* The same of a refusal, which tells nothing of the former incarnation. */
static void
test_twice_start_refused_by_next_incarnation (void)
{
  static const char *const reasons[] = { "late", "old", "room", "ticket" };

  for (guint i = 0; i < G_N_ELEMENTS (reasons); i++)
    {
      caller_t caller;

      restart_behind_orders (&caller);
      fake_executor_refuse_starts (caller.executor, reasons[i]);
      CU_ASSERT_EQUAL (start_task (&caller, FORMER_BORN), ORDER_NO_ANSWER);
      caller_close (&caller);
    }
}

/* The same of a stop order, which confirmed nothing for the former incarnation. */
static void
test_twice_stop_answered_by_next_incarnation (void)
{
  caller_t caller;

  restart_behind_orders (&caller);
  CU_ASSERT_EQUAL (stop_task (&caller), ORDER_NO_ANSWER);
  assign (&caller, BORN, 0);
  CU_ASSERT_TRUE (loop_run_until (is_leased, &caller));
  CU_ASSERT_EQUAL (stop_task (&caller), ORDER_OK);
  caller_close (&caller);
}

/* An answer that does not state the clock does not tell which incarnation it is of. */
static void
test_twice_start_answered_without_clock (void)
{
  caller_t caller;

  caller_open (&caller, BORN);
  assign (&caller, BORN, 0);
  CU_ASSERT_TRUE (loop_run_until (is_leased, &caller));
  CU_ASSERT_EQUAL (start_task (&caller, BORN), ORDER_OK);
  fake_executor_set_answer (caller.executor, "{}");
  CU_ASSERT_EQUAL (start_task (&caller, BORN), ORDER_NO_ANSWER);
  caller_close (&caller);
}

/* Whether the answer of an incarnation whose clock runs at this rate is taken for its own.  The
 * clock was read at `read_us` for a hold request, and at `ordered_us` for an order. */
static bool
is_own_answer (const clock_reading_t *hold,
               gint64 read_us,
               gint64 sent_us,
               gint64 ordered_us,
               gint64 now_us,
               double rate)
{
  gint64 clock_ms = hold->clock_ms + (gint64) ((double) (ordered_us - read_us) * rate / 1000);
  clock_range_t range = executor_clock_range (hold, sent_us, now_us);

  return executor_clock_is_in_range (&range, clock_ms);
}

/* LOST: an order that its incarnation has carried out counted as unanswered, as the VM was paused
 * or an answer was slow. */
static void
test_lost_own_answer_out_of_range (void)
{
  static const gint64 delays_us[] = { 0, 3 * 1000, 500 * 1000, 40 * G_USEC_PER_SEC };
  static const double rates[] = { 0.98, 1.0, 1.02 };
  enum
  {
    CASES = G_N_ELEMENTS (delays_us)
  };
  guint refused = 0;

  /* The digits of `i` choose the delays from each of the six moments to the next. */
  for (guint i = 0; i < CASES * CASES * CASES * CASES * CASES * G_N_ELEMENTS (rates); i++)
    {
      gint64 asked_us = G_USEC_PER_SEC;
      gint64 read_us = asked_us + delays_us[i % CASES];
      gint64 answered_us = read_us + delays_us[i / CASES % CASES];
      gint64 sent_us = answered_us + delays_us[i / CASES / CASES % CASES];
      gint64 ordered_us = sent_us + delays_us[i / CASES / CASES / CASES % CASES];
      gint64 now_us = ordered_us + delays_us[i / CASES / CASES / CASES / CASES % CASES];
      double rate = rates[i / CASES / CASES / CASES / CASES / CASES];
      clock_reading_t hold
          = { .clock_ms = CLOCK_AHEAD_MS, .asked_us = asked_us, .answered_us = answered_us };

      refused += is_own_answer (&hold, read_us, sent_us, ordered_us, now_us, rate) ? 0 : 1;
    }
  CU_ASSERT_EQUAL (refused, 0);
}

/* TWICE: a range that is much wider than it need be takes the next incarnation for the former. */
static void
test_twice_range_of_clock_too_wide (void)
{
  clock_reading_t hold = { .clock_ms = CLOCK_AHEAD_MS,
                           .asked_us = G_USEC_PER_SEC,
                           .answered_us = 2 * G_USEC_PER_SEC };
  clock_range_t range = executor_clock_range (&hold, 12 * G_USEC_PER_SEC, 13 * G_USEC_PER_SEC);

  CU_ASSERT_EQUAL (range.min_ms, CLOCK_AHEAD_MS + 9800 - 50);
  CU_ASSERT_EQUAL (range.max_ms, CLOCK_AHEAD_MS + 12240 + 50);
  CU_ASSERT_TRUE (executor_clock_is_in_range (&range, range.min_ms));
  CU_ASSERT_TRUE (executor_clock_is_in_range (&range, range.max_ms));
  CU_ASSERT_FALSE (executor_clock_is_in_range (&range, range.min_ms - 1));
  CU_ASSERT_FALSE (executor_clock_is_in_range (&range, range.max_ms + 1));
  range.min_ms = -1;
  CU_ASSERT_FALSE (executor_clock_is_in_range (&range, 0));
}

/* ---- An executor that starts again while the connections of the former incarnation stay open, and
 * are silent.  The leader learns of the next one from its registry entry. */

static void
open_former (caller_t *caller)
{
  caller_open (caller, FORMER_BORN);
  fake_executor_advance_clock (caller->executor, CLOCK_AHEAD_MS);
  assign (caller, FORMER_BORN, 0);
  CU_ASSERT_TRUE (loop_run_until (is_leased, caller));
}

static bool
is_idle (void *data)
{
  return !fake_executor_is_held (((const caller_t *) data)->executor);
}

/* Checks how long it takes until a hold request with the token of the next incarnation, which is
 * assigned now, is answered. */
static void
check_reach (caller_t *caller, guint fence_step)
{
  gint64 began_us = clock_now_us ();

  assign_step (caller, BORN, 0, fence_step);
  CU_ASSERT_TRUE (loop_run_until (is_born, caller));
  CU_ASSERT (clock_now_us () - began_us <= REACH_MAX_MS * 1000);
  CU_ASSERT_EQUAL (caller->fence_step, fence_step);
}

/* An order to the next incarnation is answered in time. */
static void
check_order_in_time (caller_t *caller, bool is_stop)
{
  gint64 began_us = clock_now_us ();

  if (is_stop)
    send_stop (caller);
  else
    send_start (caller, BORN);
  CU_ASSERT_TRUE (loop_run_until (has_outcome, caller));
  CU_ASSERT_EQUAL (caller->outcome, ORDER_OK);
  CU_ASSERT (clock_now_us () - began_us <= REACH_MAX_MS * 1000);
}

/* The next incarnation was reached when the hold request to the former one had got no answer, 1.7 s
 * later.  The end of that request must not tell that the next one is lost. */
static void
test_restarted_executor_reached_while_former_hold_hangs (void)
{
  caller_t caller;
  guint reports;

  open_former (&caller);
  CU_ASSERT_TRUE (loop_run_until (is_idle, &caller));
  CU_ASSERT_TRUE (loop_run_until (is_held, &caller));
  fake_executor_restart_silently (caller.executor, BORN);
  caller.renewed_for_born = 0;
  check_reach (&caller, 1);
  /* The request to the former incarnation asked for a lease, and has no report of its own. */
  CU_ASSERT_EQUAL (caller.renewed_for_born, BORN);
  check_order_in_time (&caller, false);
  reports = caller.report_count;
  loop_run_ms (FORMER_HOLD_MS);
  CU_ASSERT_EQUAL (caller.unreached_count, 0);
  CU_ASSERT (caller.report_count > reports + 1);
  CU_ASSERT_EQUAL (caller.born, BORN);
  CU_ASSERT_EQUAL (start_task (&caller, BORN), ORDER_OK);
  caller_close (&caller);
}

/* The same, where the hold request goes on a connection that is idle since the former incarnation
 * has answered on it. */
static void
test_restarted_executor_reached_while_former_connection_hangs (void)
{
  caller_t caller;

  open_former (&caller);
  CU_ASSERT_TRUE (loop_run_until (is_idle, &caller));
  fake_executor_restart_silently (caller.executor, BORN);
  check_reach (&caller, 1);
  CU_ASSERT_EQUAL (caller.unreached_count, 0);
  caller_close (&caller);
}

/* The same of both connections of hold requests. */
static void
test_restarted_executor_reached_while_former_connections_hang (void)
{
  caller_t caller;

  open_former (&caller);
  CU_ASSERT_TRUE (loop_run_until (is_idle, &caller));
  CU_ASSERT_TRUE (loop_run_until (is_held, &caller));
  assign_step (&caller, FORMER_BORN, 0, 1);
  CU_ASSERT_TRUE (loop_run_until (is_called_for_next, &caller));
  CU_ASSERT_TRUE (loop_run_until (is_idle, &caller));
  fake_executor_restart_silently (caller.executor, BORN);
  check_reach (&caller, 2);
  CU_ASSERT_EQUAL (caller.unreached_count, 0);
  caller_close (&caller);
}

/* While both hold requests that may be open have no answer, an incarnation is reached as soon as
 * one of them ends, and no third one is sent. */
static void
test_executor_restarted_twice_while_former_holds_hang (void)
{
  caller_t caller;
  gint64 began_us;

  open_former (&caller);
  CU_ASSERT_TRUE (loop_run_until (is_idle, &caller));
  CU_ASSERT_TRUE (loop_run_until (is_held, &caller));
  fake_executor_restart_silently (caller.executor, FORMER_BORN + 1);
  assign_step (&caller, FORMER_BORN + 1, 0, 1);
  CU_ASSERT_TRUE (loop_run_until (is_called_for_next, &caller));
  fake_executor_restart_silently (caller.executor, BORN);
  began_us = clock_now_us ();
  assign_step (&caller, BORN, 0, 2);
  loop_run_ms (5 * FAKE_EXECUTOR_ANSWER_MS);
  CU_ASSERT_EQUAL (fake_executor_holds (caller.executor), 0);
  CU_ASSERT_TRUE (loop_run_until (is_born, &caller));
  /* The second request does not wait, and goes without an answer for 0.7 s. */
  CU_ASSERT (clock_now_us () - began_us <= (700 + REACH_MAX_MS) * 1000);
  CU_ASSERT_EQUAL (caller.fence_step, 2);
  caller_close (&caller);
}

/* Sends as many orders to the former incarnation as there may be connections. */
static void
send_orders (caller_t *caller, bool is_stop)
{
  for (guint i = 0; i < ORDER_CONNECTIONS; i++)
    {
      if (is_stop)
        send_stop (caller);
      else
        send_start (caller, FORMER_BORN);
    }
}

static bool
has_all_orders (void *data)
{
  return ((const caller_t *) data)->ok_count == ORDER_CONNECTIONS;
}

/* The VM has used as many connections to the former incarnation as orders may have.  One that is
 * opened beside others may be used in the second round only. */
static void
open_order_connections (caller_t *caller, bool is_stop)
{
  open_former (caller);
  for (guint i = 0; i < 2; i++)
    {
      caller->ok_count = 0;
      send_orders (caller, is_stop);
      CU_ASSERT_TRUE (loop_run_until (has_all_orders, caller));
    }
}

/* LOST: orders to the next incarnation went on connections to the former one, one after the other,
 * and got no answer for 500 ms each. */
static void
test_lost_start_on_silent_connection (void)
{
  caller_t caller;

  open_order_connections (&caller, false);
  fake_executor_restart_silently (caller.executor, BORN);
  check_reach (&caller, 1);
  check_order_in_time (&caller, false);
  check_order_in_time (&caller, false);
  CU_ASSERT_EQUAL (fake_executor_starts (caller.executor), 2);
  caller_close (&caller);
}

/* The same of stop orders. */
static void
test_lost_stop_on_silent_connection (void)
{
  caller_t caller;

  open_order_connections (&caller, true);
  fake_executor_restart_silently (caller.executor, BORN);
  check_reach (&caller, 1);
  check_order_in_time (&caller, true);
  check_order_in_time (&caller, true);
  caller_close (&caller);
}

/* LOST: orders to the next incarnation waited until those to the former one had got no answer. */
static void
check_order_beside_hanging_ones (bool is_stop)
{
  caller_t caller;

  open_order_connections (&caller, is_stop);
  fake_executor_restart_silently (caller.executor, BORN);
  send_orders (&caller, is_stop);
  check_reach (&caller, 1);
  check_order_in_time (&caller, is_stop);
  loop_run_ms (FORMER_ORDER_MS);
  caller_close (&caller);
}

static void
test_lost_start_beside_hanging_ones (void)
{
  check_order_beside_hanging_ones (false);
}

static void
test_lost_stop_beside_hanging_ones (void)
{
  check_order_beside_hanging_ones (true);
}

/* ---- A leader, whose other VMs are played by the test. */

typedef struct
{
  const char *name;
  link_t *link;
  guint ping_timer;
  guint assigned;
  guint dropped;
  gint64 born; /* as last assigned */
  guint64 acked;
} peer_t;

static void
peer_opened (link_t *link, void *data)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Hello hello = MIMOSASTAIR__HELLO__INIT;

  hello.vm = (char *) ((const peer_t *) data)->name;
  hello.zone = (char *) "far";
  hello.cpu_milli = 100;
  frame.hello = &hello;
  (void) link_send (link, &frame);
}

static void
peer_received (link_t *link G_GNUC_UNUSED, const Mimosastair__Frame *frame, void *data)
{
  peer_t *peer = data;

  for (gsize i = 0; i < frame->n_assign; i++)
    {
      if (frame->assign[i]->drop)
        {
          peer->dropped++;
          continue;
        }
      peer->assigned++;
      peer->born = frame->assign[i]->born;
      peer->acked = frame->assign[i]->acked;
    }
}

static void
peer_broken (link_t *link, const char *reason G_GNUC_UNUSED, void *data)
{
  link_free (link);
  ((peer_t *) data)->link = NULL;
}

static const link_events_t peer_events = { peer_opened, peer_received, peer_broken };

static gboolean
send_ping (gpointer data)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Ping ping = MIMOSASTAIR__PING__INIT;
  const peer_t *peer = data;

  frame.ping = &ping;
  if (peer->link != NULL)
    (void) link_send (peer->link, &frame);
  return G_SOURCE_CONTINUE;
}

static void
peer_open (peer_t *peer, const char *name, const char *address)
{
  *peer = (peer_t){ .name = name };
  peer->link = link_connect (address, &peer_events, peer);
  peer->ping_timer = g_timeout_add (200, send_ping, peer);
}

static void
peer_close (peer_t *peer)
{
  g_source_remove (peer->ping_timer);
  if (peer->link != NULL)
    link_free (peer->link);
  peer->link = NULL;
}

/* Reports `count` ends, numbered from 1, of runs that the leader has stopped. */
static void
send_report (const peer_t *peer, gint64 born, guint count)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__Report report = MIMOSASTAIR__REPORT__INIT;
  Mimosastair__Report *list = &report;
  Mimosastair__TaskRef ref = MIMOSASTAIR__TASK_REF__INIT;
  Mimosastair__EndRow rows[FORMER_ACKED];
  Mimosastair__EndRow *pointers[FORMER_ACKED];

  ref.job = (char *) job;
  for (guint i = 0; i < count; i++)
    {
      mimosastair__end_row__init (&rows[i]);
      rows[i].number = i + 1;
      rows[i].task = &ref;
      rows[i].run = i + 1;
      rows[i].how = END_STOPPED;
      rows[i].checkpoint = (char *) "";
      pointers[i] = &rows[i];
    }
  report.executor = (char *) "e";
  report.born = born;
  report.reached = true;
  report.n_ended = count;
  report.ended = pointers;
  frame.n_report = 1;
  frame.report = &list;
  (void) link_send (peer->link, &frame);
}

static bool
is_assigned (void *data)
{
  return ((const peer_t *) data)->assigned > 0;
}

static bool
has_acked (void *data)
{
  return ((const peer_t *) data)->acked == FORMER_ACKED;
}

/* TWICE: the leader assigned the executor to the next VM as its new incarnation, with the number of
 * ends of the former one. */
static void
test_twice_leader_assigns_former_acked (void)
{
  static peer_t former;
  static peer_t next;
  vm_t *vm = entry_fixture_vm (0);

  put_executor ("e", "127.0.0.1:1", FORMER_BORN, "far", "\"a\"");
  peer_open (&former, "former", vm->options.peer_listen);
  CU_ASSERT_TRUE_FATAL (loop_run_until (is_assigned, &former));
  send_report (&former, FORMER_BORN, FORMER_ACKED);
  CU_ASSERT_TRUE (loop_run_until (has_acked, &former));
  CU_ASSERT_EQUAL (former.born, FORMER_BORN);
  send_report (&former, BORN, 0);
  loop_run_ms (100);
  peer_open (&next, "next", vm->options.peer_listen);
  loop_run_ms (100);
  peer_close (&former);
  CU_ASSERT_TRUE (loop_run_until (is_assigned, &next));
  CU_ASSERT_TRUE (next.born == FORMER_BORN || next.acked == 0);
  peer_close (&next);
  delete_executor ("e");
}

/* Deletes the executor's entry in the transaction that writes the next desired state. */
static void
delete_with_next_version (const char *id)
{
  g_autofree char *key = g_strconcat (documents_registry_prefix, id, NULL);
  g_autofree char *state = desired_state_text (1);
  store_write_t writes[] = {
    { .key = documents_desired_key,
      .value = (const guint8 *) state,
      .value_bytes = strlen (state) },
    { .key = key },
  };
  bool is_written = false;

  operator_store->calls->txn (operator_store, NULL, 0, writes, G_N_ELEMENTS (writes), note_written,
                              &is_written);
  CU_ASSERT_TRUE_FATAL (loop_run_until (is_set, &is_written));
}

static bool
is_dropped (void *data)
{
  return ((const peer_t *) data)->dropped > 0;
}

/* Prices: each version of the desired state has the registry read anew.  An entry that was deleted
 * at that moment was never noticed: its executor stayed listed, and was called for ever. */
static void
test_probe_entry_deleted_while_read_anew (void)
{
  static peer_t peer;
  vm_t *vm = entry_fixture_vm (0);

  for (guint round = 0; round < 8; round++)
    {
      put_executor ("gone", "127.0.0.1:1", BORN, "far", "\"a\"");
      peer_open (&peer, "peer", vm->options.peer_listen);
      CU_ASSERT_TRUE_FATAL (loop_run_until (is_assigned, &peer));
      delete_with_next_version ("gone");
      CU_ASSERT_TRUE_FATAL (loop_run_until (is_dropped, &peer));
      peer_close (&peer);
      loop_run_ms (100);
    }
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "twice_ends_forgotten_by_new_vm", test_twice_ends_forgotten_by_new_vm },
    { "twice_ends_forgotten_after_restart", test_twice_ends_forgotten_after_restart },
    { "twice_ends_forgotten_after_unnoticed_restart",
      test_twice_ends_forgotten_after_unnoticed_restart },
    { "route_start_for_former_incarnation", test_route_start_for_former_incarnation },
    { "route_start_while_incarnation_is_unknown", test_route_start_while_incarnation_is_unknown },
    { "route_start_after_unnoticed_restart", test_route_start_after_unnoticed_restart },
    { "route_start_on_former_connection", test_route_start_on_former_connection },
    { "twice_leader_assigns_former_acked", test_twice_leader_assigns_former_acked },
    { "twice_lease_stated_by_former_clock", test_twice_lease_stated_by_former_clock },
    { "lost_executor_under_earlier_leader", test_lost_executor_under_earlier_leader },
    { "lost_step_of_start", test_lost_step_of_start },
    { "refusal_of_former_token_deposes_nobody", test_refusal_of_former_token_deposes_nobody },
    { "stop_before_token_is_known", test_stop_before_token_is_known },
    { "twice_start_answered_by_next_incarnation", test_twice_start_answered_by_next_incarnation },
    { "twice_start_refused_by_next_incarnation", test_twice_start_refused_by_next_incarnation },
    { "twice_stop_answered_by_next_incarnation", test_twice_stop_answered_by_next_incarnation },
    { "twice_start_answered_without_clock", test_twice_start_answered_without_clock },
    { "restarted_executor_reached_while_former_hold_hangs",
      test_restarted_executor_reached_while_former_hold_hangs },
    { "restarted_executor_reached_while_former_connection_hangs",
      test_restarted_executor_reached_while_former_connection_hangs },
    { "restarted_executor_reached_while_former_connections_hang",
      test_restarted_executor_reached_while_former_connections_hang },
    { "executor_restarted_twice_while_former_holds_hang",
      test_executor_restarted_twice_while_former_holds_hang },
    { "lost_start_on_silent_connection", test_lost_start_on_silent_connection },
    { "lost_stop_on_silent_connection", test_lost_stop_on_silent_connection },
    { "lost_start_beside_hanging_ones", test_lost_start_beside_hanging_ones },
    { "lost_stop_beside_hanging_ones", test_lost_stop_beside_hanging_ones },
    { "lost_own_answer_out_of_range", test_lost_own_answer_out_of_range },
    { "twice_range_of_clock_too_wide", test_twice_range_of_clock_too_wide },
    { "twice_result_of_former_leader", test_twice_result_of_former_leader },
    { "twice_calls_before_next_leader", test_twice_calls_before_next_leader },
    { "route_advice_for_former_leader", test_route_advice_for_former_leader },
    { "probe_entry_deleted_while_read_anew", test_probe_entry_deleted_while_read_anew },
    { "fault_clock_out_of_range", test_fault_clock_out_of_range },
    { "fault_answers_that_do_not_wait", test_fault_answers_that_do_not_wait },
    { "fault_costly_answers", test_fault_costly_answers },
  };

  return run_suite ("incarnation", tests, G_N_ELEMENTS (tests));
}
