#define LOG_MODULE "agent"

#include "entry/agent.h"

#include "base/clock.h"
#include "base/log.h"
#include "entry/codec.h"
#include "platform/advice_calls.h"
#include "platform/executor_calls.h"

#include <string.h>

struct agent
{
  executor_calls_t *calls;
  advice_calls_t *advice;
  guint hold_ms;
  agent_send_t send;
  void *data;
  gint64 fence;
  gint64 valid_until_us;
  GHashTable *held; /* executor id -> held_t */
  guint generation; /* counts connections to deciders; calls of earlier ones are dropped */
};

/* An executor that this VM holds. */
typedef struct
{
  agent_t *agent;
  char *id;
  char *address;
  gint64 born;
  guint64 acked;
  guint64 mark;
  guint64 shown;      /* latest end that it listed */
  gint64 clock_ms;    /* its clock when it last answered */
  gint64 clock_at_us; /* ours at that moment; 0: never */
  bool is_answering;  /* the latest hold was answered */
  bool is_quick;      /* the next hold does not wait for an end */
  bool is_holding;    /* a hold is on its way */
  bool is_dropped;
  guint timer;
  guint calls; /* on their way, the hold included */
} held_t;

typedef struct
{
  held_t *held;
  guint64 mark;
  bool is_renewed;
  guint generation;
} hold_call_t;

typedef struct
{
  agent_t *agent;
  held_t *held;
  guint64 order;
  guint generation;
} order_call_t;

enum
{
  HOLD_WAIT_MS = 1000,       /* an unanswered hold is noticed well within a lease */
  UNANSWERED_RETRY_MS = 250, /* after a hold that got no answer */
  UNACKED_RETRY_MS = 150     /* while ends wait to be stored, an answer comes at once */
};

/* Renewals end this long before the claim does: the call takes time. */
static const gint64 permit_margin_us = 50 * 1000;

static void hold_now (held_t *held);

static bool
is_permitted (const agent_t *agent)
{
  return clock_now_us () + permit_margin_us < agent->valid_until_us;
}

static void
held_destroy (held_t *held)
{
  g_free (held->id);
  g_free (held->address);
  g_free (held);
}

/* One call of this executor has ended; true when it is no longer held. */
static bool
call_ended (held_t *held)
{
  held->calls--;
  if (!held->is_dropped)
    return false;
  if (held->calls == 0)
    held_destroy (held);
  return true;
}

static void
held_drop (gpointer data)
{
  held_t *held = data;

  held->is_dropped = true;
  if (held->timer != 0)
    g_source_remove (held->timer);
  held->timer = 0;
  if (held->calls == 0)
    held_destroy (held);
}

/* End of a lease that is granted now, on the executor's clock; 0: it is not known. */
static gint64
lease_end_ms (const held_t *held)
{
  if (held->clock_at_us == 0)
    return 0;
  return held->clock_ms + (clock_now_us () - held->clock_at_us) / 1000
         + (gint64) held->agent->hold_ms;
}

static void
note_clock (held_t *held, const executor_answer_t *answer)
{
  if (answer->clock_ms <= 0)
    return;
  held->clock_ms = answer->clock_ms;
  held->clock_at_us = clock_now_us ();
}

static gboolean
hold_later (gpointer data)
{
  held_t *held = data;

  held->timer = 0;
  hold_now (held);
  return G_SOURCE_REMOVE;
}

static void
schedule_hold (held_t *held, guint delay_ms)
{
  if (held->timer != 0)
    g_source_remove (held->timer);
  held->timer = g_timeout_add (delay_ms, hold_later, held);
}

static void
fill_running (Mimosastair__RunRow *row, Mimosastair__TaskRef *ref, run_row_t *run)
{
  mimosastair__run_row__init (row);
  codec_fill_task (ref, &run->task);
  row->task = ref;
  row->run = run->run;
  row->checkpoint = (char *) run->checkpoint;
  row->percent = run->percent;
  row->load = run->load;
}

static void
fill_ended (Mimosastair__EndRow *row, Mimosastair__TaskRef *ref, end_row_t *end)
{
  mimosastair__end_row__init (row);
  codec_fill_task (ref, &end->task);
  row->task = ref;
  row->number = end->number;
  row->run = end->run;
  row->how = end->how;
  row->checkpoint = (char *) end->checkpoint;
}

static void
send_report (agent_t *agent, Mimosastair__Report *report, const executor_report_t *rows)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  guint running = rows != NULL ? rows->running_count : 0;
  guint ended = rows != NULL ? rows->ended_count : 0;
  g_autofree Mimosastair__RunRow *runs = g_new0 (Mimosastair__RunRow, running);
  g_autofree Mimosastair__RunRow **run_list = g_new0 (Mimosastair__RunRow *, running);
  g_autofree Mimosastair__EndRow *ends = g_new0 (Mimosastair__EndRow, ended);
  g_autofree Mimosastair__EndRow **end_list = g_new0 (Mimosastair__EndRow *, ended);
  g_autofree Mimosastair__TaskRef *refs = g_new0 (Mimosastair__TaskRef, running + ended);

  for (guint i = 0; i < running; i++)
    {
      fill_running (&runs[i], &refs[i], (run_row_t *) &rows->running[i]);
      run_list[i] = &runs[i];
    }
  for (guint i = 0; i < ended; i++)
    {
      fill_ended (&ends[i], &refs[running + i], (end_row_t *) &rows->ended[i]);
      end_list[i] = &ends[i];
    }
  report->n_running = running;
  report->running = run_list;
  report->n_ended = ended;
  report->ended = end_list;
  frame.n_report = 1;
  frame.report = &report;
  (void) agent->send (&frame, agent->data);
}

static void
note_reached (held_t *held, bool is_answering)
{
  if (held->is_answering == is_answering)
    return;
  held->is_answering = is_answering;
  LOG_INFO (is_answering ? "executor_regained" : "executor_lost", "executor=%s address=%s",
            held->id, held->address);
}

static void
held_answered (const executor_answer_t *answer, const executor_report_t *rows, void *data)
{
  hold_call_t *call = data;
  held_t *held = call->held;
  Mimosastair__Report report = MIMOSASTAIR__REPORT__INIT;
  bool is_stale = call->generation != held->agent->generation;

  report.mark = call->mark;
  report.renewed = call->is_renewed;
  report.age_us = answer->elapsed_us;
  g_free (call);
  if (call_ended (held))
    return;
  held->is_holding = false;
  note_clock (held, answer);
  note_reached (held, rows != NULL);
  report.executor = held->id;
  report.reached = rows != NULL;
  report.fenced = answer->outcome == ORDER_FENCED;
  if (rows != NULL)
    {
      report.born = rows->born;
      if (held->born != rows->born)
        {
          held->acked = 0;
          held->shown = 0;
        }
      held->born = rows->born;
      for (guint i = 0; i < rows->ended_count; i++)
        held->shown = MAX (held->shown, rows->ended[i].number);
    }
  if (!is_stale)
    send_report (held->agent, &report, rows);
  if (rows == NULL)
    schedule_hold (held, UNANSWERED_RETRY_MS);
  else if (held->shown > held->acked)
    schedule_hold (held, UNACKED_RETRY_MS);
  else
    hold_now (held);
}

static void
hold_now (held_t *held)
{
  agent_t *agent = held->agent;
  executor_target_t target
      = { .executor = held->id, .address = held->address, .fence = agent->fence };
  executor_hold_t hold = { .acked = held->acked };
  hold_call_t *call;

  if (held->is_holding)
    return;
  if (!is_permitted (agent))
    {
      schedule_hold (held, UNANSWERED_RETRY_MS);
      return;
    }
  /* A lease is not renewed where the last renewal may have been carried out unseen. */
  if (held->is_answering)
    hold.lease_end_ms = lease_end_ms (held);
  if (held->is_answering && !held->is_quick && held->shown <= held->acked)
    hold.wait_ms = HOLD_WAIT_MS;
  held->is_quick = false;
  held->is_holding = true;
  held->calls++;
  call = g_new0 (hold_call_t, 1);
  call->held = held;
  call->mark = held->mark;
  call->is_renewed = hold.lease_end_ms > 0;
  call->generation = agent->generation;
  executor_hold (agent->calls, &target, &hold, held_answered, call);
}

static void
assign (agent_t *agent, const Mimosastair__Assign *message)
{
  held_t *held = g_hash_table_lookup (agent->held, message->executor);

  if (message->drop)
    {
      g_hash_table_remove (agent->held, message->executor);
      return;
    }
  if (held != NULL && message->address[0] != '\0' && strcmp (held->address, message->address) != 0)
    {
      g_hash_table_remove (agent->held, message->executor);
      held = NULL;
    }
  if (held == NULL)
    {
      if (message->address[0] == '\0')
        return;
      held = g_new0 (held_t, 1);
      held->agent = agent;
      held->id = g_strdup (message->executor);
      held->address = g_strdup (message->address);
      held->is_quick = true;
      g_hash_table_insert (agent->held, held->id, held);
    }
  if (message->born == 0 || message->born == held->born || held->born == 0)
    held->acked = MAX (held->acked, message->acked);
  if (message->mark > held->mark)
    {
      held->mark = message->mark;
      held->is_quick = true;
    }
  if (held->is_holding)
    return;
  if (held->timer != 0)
    g_source_remove (held->timer);
  held->timer = 0;
  hold_now (held);
}

static void
send_result (agent_t *agent, guint64 order, order_outcome_t outcome)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__OrderResult result = MIMOSASTAIR__ORDER_RESULT__INIT;
  Mimosastair__OrderResult *list = &result;

  result.order = order;
  result.outcome = outcome;
  frame.n_result = 1;
  frame.result = &list;
  (void) agent->send (&frame, agent->data);
}

static void
order_answered (const executor_answer_t *answer, void *data)
{
  order_call_t *call = data;
  agent_t *agent = call->agent;
  bool is_dropped;

  note_clock (call->held, answer);
  is_dropped = call_ended (call->held);
  /* The order's fate is told even if the executor was given to another VM. */
  if (call->generation == agent->generation)
    send_result (agent, call->order, answer->outcome);
  (void) is_dropped;
  g_free (call);
}

static order_call_t *
order_call_new (agent_t *agent, held_t *held, guint64 order)
{
  order_call_t *call = g_new0 (order_call_t, 1);

  call->agent = agent;
  call->held = held;
  call->order = order;
  call->generation = agent->generation;
  held->calls++;
  return call;
}

static void
start (agent_t *agent, const Mimosastair__StartOrder *message)
{
  held_t *held = g_hash_table_lookup (agent->held, message->executor);
  executor_start_t order = { .run = message->run,
                             .spec = message->spec,
                             .checkpoint = message->checkpoint,
                             .ticket = message->ticket };
  executor_target_t target;

  if (held == NULL || !is_permitted (agent) || !codec_read_task (message->task, &order.task)
      || (order.lease_end_ms = lease_end_ms (held)) == 0)
    {
      send_result (agent, message->order, ORDER_NOT_SENT);
      return;
    }
  target = (executor_target_t){ .executor = held->id,
                                .address = held->address,
                                .fence = agent->fence };
  executor_start (agent->calls, &target, &order, order_answered,
                  order_call_new (agent, held, message->order));
}

static void
stop (agent_t *agent, const Mimosastair__StopOrder *message)
{
  held_t *held = g_hash_table_lookup (agent->held, message->executor);
  executor_target_t target;
  task_ref_t task;

  if (held == NULL || !codec_read_task (message->task, &task))
    {
      send_result (agent, message->order, ORDER_NOT_SENT);
      return;
    }
  target = (executor_target_t){ .executor = held->id,
                                .address = held->address,
                                .fence = agent->fence };
  executor_stop (agent->calls, &target, &task, message->run, order_answered,
                 order_call_new (agent, held, message->order));
}

typedef struct
{
  agent_t *agent;
  guint64 order;
  guint generation;
} advice_order_t;

static void
advised (bool is_answered, const ticket_t *tickets, guint count, void *data)
{
  advice_order_t *call = data;
  agent_t *agent = call->agent;
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;
  Mimosastair__AdviceResult result = MIMOSASTAIR__ADVICE_RESULT__INIT;
  Mimosastair__AdviceResult *list = &result;
  g_autofree Mimosastair__Ticket *rows = g_new0 (Mimosastair__Ticket, count);
  g_autofree Mimosastair__Ticket **pointers = g_new0 (Mimosastair__Ticket *, count);

  for (guint i = 0; i < count; i++)
    {
      mimosastair__ticket__init (&rows[i]);
      rows[i].executor = (char *) tickets[i].executor;
      rows[i].ticket = (char *) tickets[i].ticket;
      pointers[i] = &rows[i];
    }
  result.order = call->order;
  result.answered = is_answered;
  result.n_tickets = count;
  result.tickets = pointers;
  frame.n_advice = 1;
  frame.advice = &list;
  if (call->generation == agent->generation)
    (void) agent->send (&frame, agent->data);
  g_free (call);
}

static void
advise (agent_t *agent, const Mimosastair__AdviceOrder *message)
{
  advice_order_t *call = g_new0 (advice_order_t, 1);
  task_ref_t step = { 0 };

  call->agent = agent;
  call->order = message->order;
  call->generation = agent->generation;
  if (agent->advice == NULL || !codec_read_task (message->step, &step))
    {
      advised (false, NULL, 0, call);
      return;
    }
  advice_ask (agent->advice, &step, (const char *const *) message->executors,
              (guint) message->n_executors, message->timeout_ms, advised, call);
}

void
agent_handle_frame (agent_t *agent, const Mimosastair__Frame *frame)
{
  for (gsize i = 0; i < frame->n_assign; i++)
    assign (agent, frame->assign[i]);
  for (gsize i = 0; i < frame->n_start; i++)
    start (agent, frame->start[i]);
  for (gsize i = 0; i < frame->n_stop; i++)
    stop (agent, frame->stop[i]);
  for (gsize i = 0; i < frame->n_advise; i++)
    advise (agent, frame->advise[i]);
}

void
agent_set_leadership (agent_t *agent, gint64 fence, gint64 valid_until_us)
{
  agent->fence = fence;
  agent->valid_until_us = valid_until_us;
}

void
agent_reset (agent_t *agent)
{
  agent->generation++;
  agent->valid_until_us = 0;
  g_hash_table_remove_all (agent->held);
}

guint
agent_executor_count (const agent_t *agent)
{
  return g_hash_table_size (agent->held);
}

agent_t *
agent_new (guint hold_ms, const char *advice_address, agent_send_t send, void *data)
{
  agent_t *agent = g_new0 (agent_t, 1);

  agent->calls = executor_calls_new ();
  if (advice_address[0] != '\0')
    agent->advice = advice_calls_new (advice_address);
  agent->hold_ms = hold_ms;
  agent->send = send;
  agent->data = data;
  agent->held = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, held_drop);
  return agent;
}

void
agent_free (agent_t *agent)
{
  if (agent == NULL)
    return;
  g_hash_table_unref (agent->held);
  executor_calls_free (agent->calls);
  advice_calls_free (agent->advice);
  g_free (agent);
}
