#define LOG_MODULE "agent"

#include "entry/agent.h"

#include "base/clock.h"
#include "base/log.h"
#include "decide/fence_token.h"
#include "decide/text_table.h"
#include "entry/codec.h"
#include "entry/executor_clock.h"
#include "platform/advice_calls.h"
#include "platform/executor_calls.h"

#include <string.h>

struct agent
{
  executor_calls_t *calls;
  advice_calls_t *advice;
  guint lease_ms;
  agent_send_t send;
  void *data;
  gint64 fence;          /* first fencing token of the leader; 0: not known yet */
  gint64 valid_until_us; /* expiry of the leader's lease */
  GHashTable *executors; /* id -> held_executor_t */
  text_table_t *texts;   /* of orders on the leader connection */
  gint64 text_missing_logged_us;
  guint generation; /* of the leader connection; results from earlier ones are dropped */
};

/* An executor that is assigned to this VM. */
typedef struct
{
  agent_t *agent;
  char *id;
  char *address;
  gint64 born;          /* identifies the incarnation that answered last */
  gint64 assigned_born; /* the incarnation that calls are for; 0: not known */
  guint first_step;     /* of the tokens of calls to it */
  guint fence_step;     /* of these calls but starts, as the leader last told */
  guint start_step;     /* the highest of a start order */
  guint seen_step;      /* a refusal has shown that the executor has seen it; 0: none has */
  guint64 acked;        /* ends of it up to this number may be acknowledged */
  guint64 mark;         /* latest mark from the leader; reports on later hold requests return it */
  guint64 last_listed_end; /* highest number among the ends that it listed */
  guint64 unacked_end;     /* the same of its last answer; 0: that listed none */
  clock_reading_t clock;   /* of `born`, from its last answer to a hold request */
  gint64 read_us;          /* processor time for its last answer to a hold request */
  gint64 latest_expiry_ms; /* of the leases in calls to it, on the clock as known then; 0: none */
  bool is_answering;       /* the last hold request was answered */
  bool is_hold_immediate;  /* the next hold request does not wait for an end */
  guint64 sent_hold;       /* number of the last hold request; they count from 1 */
  guint64 ended_hold;      /* the highest number among those that have ended */
  guint64 told_hold;       /* the highest number among those whose result is known to the leader */
  guint pending_hold_count;
  bool is_lease_pending; /* one of them asked for a lease */
  gint64 hold_born;      /* the incarnation that the last one is for, as `assigned_born` */
  guint hold_fence_step; /* of its token */
  bool is_released;      /* no longer assigned; freed after the last pending call */
  guint hold_timer;
  guint pending_call_count; /* includes the hold request */
} held_executor_t;

typedef struct
{
  held_executor_t *executor;
  guint64 number;
  guint64 mark;
  guint fence_step;        /* as sent */
  guint64 acked;           /* as sent */
  guint64 last_listed_end; /* when it was sent */
  guint wait_ms;
  bool has_lease_request; /* of its own, or of one that was pending when it was sent */
  guint generation;
  gint64 sent_us;
} hold_call_t;

typedef struct
{
  agent_t *agent;
  held_executor_t *executor;
  guint64 order;
  guint fence_step; /* as sent */
  guint generation;
  gint64 sent_us;
  gint64 born;           /* the incarnation that it is for */
  clock_reading_t clock; /* of that incarnation, when the order was sent */
} order_call_t;

enum
{
  HOLDS_MAX = 2,             /* pending hold requests to an executor */
  HOLD_WAIT_MS = 1000,       /* short enough to detect a lost hold request well within a lease */
  UNANSWERED_RETRY_MS = 250, /* also the retry interval while the leader's lease is invalid */
  UNACKED_RETRY_MS = 150,    /* while ends are unacknowledged, as hold requests then do not wait */
  EARLY_RETRY_MS = 150,      /* after an answer that should have waited for an end */
  /* After an answer of an incarnation that the leader did not know: its token comes before. */
  RESTARTED_RETRY_MS = 150,
  COSTLY_ANSWER_MS = 10,     /* far more than 500 ends take to parse */
  COSTLY_ANSWERS_DIVISOR = 4 /* the part of the processor that parsing such answers may take */
};

/* Well within a lease, and as long as hold requests that are crowded wait for a connection. */
static const gint64 costly_interval_max_us = 2 * G_USEC_PER_SEC;

static const gint64 text_missing_log_interval_us = G_USEC_PER_SEC;

/* Renewals stop this long before the leader's lease expires, because the call itself takes time. */
static const gint64 validity_margin_us = 50 * 1000;

static void send_hold (held_executor_t *executor);
static void send_hold_beside (held_executor_t *executor);

static bool
is_leadership_valid (const agent_t *agent)
{
  return clock_now_us () + validity_margin_us < agent->valid_until_us;
}

static void
held_executor_free (held_executor_t *executor)
{
  g_free (executor->id);
  g_free (executor->address);
  g_free (executor);
}

/* Accounts for a finished call; returns true when the executor has been released, in which case it
 * may have been freed. */
static bool
finish_call (held_executor_t *executor)
{
  executor->pending_call_count--;
  if (!executor->is_released)
    return false;
  if (executor->pending_call_count == 0)
    held_executor_free (executor);
  return true;
}

static void
held_executor_release (gpointer data)
{
  held_executor_t *executor = data;

  executor->is_released = true;
  if (executor->hold_timer != 0)
    g_source_remove (executor->hold_timer);
  executor->hold_timer = 0;
  if (executor->pending_call_count == 0)
    held_executor_free (executor);
}

/* The step of calls to the incarnation that the executor is assigned as, but for start orders. */
static guint
call_step (const held_executor_t *executor)
{
  return MAX (executor->fence_step, executor->seen_step);
}

static gint64
call_fence (const held_executor_t *executor)
{
  return fence_token (executor->agent->fence, call_step (executor));
}

/* Whether a call was refused that had a lower token than another one of this leader. */
static bool
is_overtaken (const held_executor_t *executor, order_outcome_t outcome, guint fence_step)
{
  return outcome == ORDER_FENCED && fence_step < MAX (call_step (executor), executor->start_step);
}

/* The executor has seen the token of a start order, though no answer may have told. */
static void
note_overtaken (held_executor_t *executor, order_outcome_t outcome, guint fence_step)
{
  if (is_overtaken (executor, outcome, fence_step))
    executor->seen_step = MAX (executor->seen_step, executor->start_step);
}

/* Whether the incarnation that answered last is the one that calls are for, as far as known.  A
 * leader of an earlier version, whose tokens have no steps, does not tell. */
static bool
is_assigned_incarnation (const held_executor_t *executor)
{
  gint64 fence = executor->agent->fence;

  return executor->assigned_born == 0 || executor->assigned_born == executor->born
         || fence_token (fence, 1) == fence;
}

/* Returns when a lease granted now expires, on the executor's clock; 0 if that clock is unknown or
 * of another incarnation than calls are for, which may take the lease for far longer. */
static gint64
grant_lease_ms (held_executor_t *executor)
{
  if (executor->clock.answered_us == 0 || !is_assigned_incarnation (executor))
    return 0;
  executor->latest_expiry_ms = executor->clock.clock_ms
                               + (clock_now_us () - executor->clock.answered_us) / 1000
                               + (gint64) executor->agent->lease_ms;
  return executor->latest_expiry_ms;
}

static void
record_clock (const hold_call_t *call, const executor_answer_t *answer)
{
  call->executor->clock
      = (clock_reading_t){ .clock_ms = answer->clock_ms,
                           .asked_us = call->sent_us,
                           .answered_us = answer->clock_ms > 0 ? clock_now_us () : 0 };
}

static gboolean
hold_timer_fired (gpointer data)
{
  held_executor_t *executor = data;

  executor->hold_timer = 0;
  send_hold (executor);
  return G_SOURCE_REMOVE;
}

static void
schedule_hold (held_executor_t *executor, guint delay_ms)
{
  if (executor->hold_timer != 0)
    g_source_remove (executor->hold_timer);
  executor->hold_timer = g_timeout_add (delay_ms, hold_timer_fired, executor);
}

/* Returns the number of the end up to which ends are acknowledged in the next hold request. Numbers
 * start anew in each incarnation, and the request reaches whichever listens at the address: so none
 * is sent until the executor's last answer has shown that the incarnation is the one they count
 * for.
 */
static guint64
ack_cursor (const held_executor_t *executor)
{
  if (!executor->is_answering || executor->assigned_born != executor->born)
    return 0;
  /* A start whose token has been seen may not be settled; the leader knows. */
  if (executor->seen_step > executor->fence_step)
    return 0;
  return executor->acked;
}

static void
fill_running_row (Mimosastair__RunRow *row, Mimosastair__TaskRef *ref, reported_run_t *run)
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
fill_ended_row (Mimosastair__EndRow *row, Mimosastair__TaskRef *ref, reported_end_t *end)
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
      fill_running_row (&runs[i], &refs[i], (reported_run_t *) &rows->running[i]);
      run_list[i] = &runs[i];
    }
  for (guint i = 0; i < ended; i++)
    {
      fill_ended_row (&ends[i], &refs[running + i], (reported_end_t *) &rows->ended[i]);
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
log_reachability (held_executor_t *executor, bool is_answering)
{
  if (executor->is_answering == is_answering)
    return;
  executor->is_answering = is_answering;
  LOG_INFO (is_answering ? "executor_regained" : "executor_lost",
            "executor=%s address=%s born=%" G_GINT64_FORMAT " clock_ms=%" G_GINT64_FORMAT
            " lease_until_ms=%" G_GINT64_FORMAT,
            executor->id, executor->address, executor->born, executor->clock.clock_ms,
            executor->latest_expiry_ms);
}

static void
log_incarnation (const held_executor_t *executor, gint64 born, guint64 acked)
{
  LOG_INFO ("executor_incarnation",
            "executor=%s born=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT
            " acked=%" G_GUINT64_FORMAT " clock_ms=%" G_GINT64_FORMAT
            " former_lease_until_ms=%" G_GINT64_FORMAT,
            executor->id, born, executor->born, acked, executor->clock.clock_ms,
            executor->latest_expiry_ms);
}

/* Whether the executor answered at once although it was to wait and lists no new end.  Asked again
 * at once, it would take as much of this VM's processor as it likes. */
static bool
is_early (const hold_call_t *call, const executor_answer_t *answer)
{
  return answer->elapsed_us < (gint64) call->wait_ms * 1000 / 2
         && call->executor->last_listed_end <= call->last_listed_end;
}

static bool
is_costly (const held_executor_t *executor)
{
  return executor->read_us >= (gint64) COSTLY_ANSWER_MS * 1000;
}

/* Returns how long the next hold request waits after a costly answer that took `elapsed_us`, so
 * that executors with such answers leave most of the processor to other work; 0 after any other. */
static guint
costly_retry_ms (const held_executor_t *executor, gint64 elapsed_us)
{
  GHashTableIter executors;
  gpointer value;
  gint64 read_us = 0;
  gint64 interval_us;

  if (!is_costly (executor))
    return 0;
  g_hash_table_iter_init (&executors, executor->agent->executors);
  while (g_hash_table_iter_next (&executors, NULL, &value))
    read_us += is_costly (value) ? ((const held_executor_t *) value)->read_us : 0;
  interval_us = MIN (read_us * COSTLY_ANSWERS_DIVISOR, costly_interval_max_us);
  return (guint) (MAX (interval_us - elapsed_us, 0) / 1000);
}

/* Whether the last hold request is not for the incarnation that calls are for by now: it has a
 * former token, or another incarnation was assigned and has not answered yet. */
static bool
is_hold_outdated (const held_executor_t *executor)
{
  if (executor->hold_fence_step < executor->first_step)
    return true;
  return executor->hold_born != executor->assigned_born && executor->born != 0
         && executor->born != executor->assigned_born;
}

/* Returns how long the next hold request waits; 0: it is sent at once. */
static guint
retry_ms (const hold_call_t *call, const executor_answer_t *answer, bool has_report)
{
  const held_executor_t *executor = call->executor;

  if (is_hold_outdated (executor) || is_overtaken (executor, answer->outcome, call->fence_step))
    return 0;
  if (!has_report)
    return UNANSWERED_RETRY_MS;
  if (!is_assigned_incarnation (executor))
    return RESTARTED_RETRY_MS;
  if (executor->unacked_end > ack_cursor (executor))
    return UNACKED_RETRY_MS;
  return is_early (call, answer) && !executor->is_hold_immediate ? EARLY_RETRY_MS : 0;
}

static void
hold_again (const hold_call_t *call, const executor_answer_t *answer, bool has_report)
{
  held_executor_t *executor = call->executor;
  guint delay_ms
      = MAX (retry_ms (call, answer, has_report), costly_retry_ms (executor, answer->elapsed_us));

  if (delay_ms > 0)
    schedule_hold (executor, delay_ms);
  else
    send_hold (executor);
}

/* Whether a call was refused since the incarnation has seen its own token, and the call carried
 * that of a former one.  It was not carried out, and there need not be a later leader. */
static bool
is_for_former_step (const held_executor_t *executor, order_outcome_t outcome, guint fence_step)
{
  return outcome == ORDER_FENCED && fence_step < executor->first_step;
}

/* Keeps what the answer to a hold request tells of the executor. */
static void
note_rows (const hold_call_t *call, const executor_answer_t *answer, const executor_report_t *rows)
{
  held_executor_t *executor = call->executor;

  record_clock (call, answer);
  if (executor->born != rows->born)
    {
      log_incarnation (executor, rows->born, call->acked);
      executor->last_listed_end = 0;
      executor->latest_expiry_ms = 0;
    }
  executor->born = rows->born;
  executor->unacked_end = 0;
  for (guint i = 0; i < rows->ended_count; i++)
    executor->unacked_end = MAX (executor->unacked_end, rows->ended[i].number);
  executor->last_listed_end = MAX (executor->last_listed_end, executor->unacked_end);
}

static void
report_hold (const hold_call_t *call,
             const executor_answer_t *answer,
             const executor_report_t *rows)
{
  Mimosastair__Report report = MIMOSASTAIR__REPORT__INIT;

  report.executor = call->executor->id;
  report.mark = call->mark;
  report.fence_step = call->fence_step;
  report.renewed = call->has_lease_request;
  report.age_us = answer->elapsed_us;
  report.reached = rows != NULL;
  report.born = rows != NULL ? rows->born : 0;
  report.fenced = answer->outcome == ORDER_FENCED;
  report.more_ends = rows != NULL && rows->has_more_ends;
  send_report (call->executor->agent, &report, rows);
}

static void
end_hold (const hold_call_t *call)
{
  held_executor_t *executor = call->executor;

  executor->pending_hold_count--;
  if (executor->pending_hold_count == 0)
    executor->is_lease_pending = false;
  executor->ended_hold = MAX (executor->ended_hold, call->number);
}

/* Takes note of a result, unless that of a later request is known: that tells more, and its report
 * told of the lease that this request asked for. */
static void
take_hold_result (const hold_call_t *call,
                  const executor_answer_t *answer,
                  const executor_report_t *rows)
{
  held_executor_t *executor = call->executor;

  note_overtaken (executor, answer->outcome, call->fence_step);
  if (executor->told_hold > call->number
      || is_overtaken (executor, answer->outcome, call->fence_step))
    return;
  executor->told_hold = call->number;
  log_reachability (executor, rows != NULL);
  if (rows != NULL)
    note_rows (call, answer, rows);
  if (call->generation == executor->agent->generation)
    report_hold (call, answer, rows);
}

/* Whether the last hold request has no result yet. */
static bool
is_hold_pending (const held_executor_t *executor)
{
  return executor->ended_hold < executor->sent_hold;
}

static void
hold_answered (const executor_answer_t *answer, const executor_report_t *rows, void *data)
{
  g_autofree hold_call_t *call = data;
  held_executor_t *executor = call->executor;
  bool is_last = call->number == executor->sent_hold;

  if (finish_call (executor))
    return;
  end_hold (call);
  take_hold_result (call, answer, rows);
  if (!is_last)
    {
      send_hold_beside (executor);
      return;
    }
  executor->read_us = answer->read_us;
  hold_again (call, answer, rows != NULL);
}

static void
send_hold_request (held_executor_t *executor)
{
  agent_t *agent = executor->agent;
  executor_target_t target = { .executor = executor->id,
                               .address = executor->address,
                               .fence = call_fence (executor),
                               .born = executor->assigned_born };
  executor_hold_t hold = { .acked = ack_cursor (executor) };
  hold_call_t *call = g_new0 (hold_call_t, 1);

  /* An unanswered request may still have renewed the lease, so each one postpones the expiry that
   * the leader has to assume.  After one, no renewal is requested until the executor answers. */
  if (executor->is_answering)
    hold.lease_expiry_ms = grant_lease_ms (executor);
  if (executor->is_answering && !executor->is_hold_immediate && executor->unacked_end <= hold.acked)
    hold.wait_ms = HOLD_WAIT_MS;
  executor->is_hold_immediate = false;
  executor->is_lease_pending |= hold.lease_expiry_ms > 0;
  executor->hold_born = executor->assigned_born;
  executor->hold_fence_step = call_step (executor);
  executor->pending_hold_count++;
  executor->pending_call_count++;
  call->executor = executor;
  call->number = ++executor->sent_hold;
  call->mark = executor->mark;
  call->fence_step = executor->hold_fence_step;
  call->acked = hold.acked;
  call->last_listed_end = executor->last_listed_end;
  call->wait_ms = hold.wait_ms;
  call->has_lease_request = executor->is_lease_pending;
  call->generation = agent->generation;
  call->sent_us = clock_now_us ();
  executor_hold (agent->calls, &target, &hold, hold_answered, call);
}

/* Sends the next hold request, unless the last one has no result yet. */
static void
send_hold (held_executor_t *executor)
{
  if (is_hold_pending (executor))
    return;
  if (is_leadership_valid (executor->agent))
    send_hold_request (executor);
  else
    schedule_hold (executor, UNANSWERED_RETRY_MS);
}

/* Sends a hold request beside one that was sent for a former incarnation, and may hang on a
 * connection to it.  Calls are of use to the present one once it has seen its token. */
static void
send_hold_beside (held_executor_t *executor)
{
  if (!is_hold_pending (executor) || executor->pending_hold_count >= HOLDS_MAX
      || !is_hold_outdated (executor) || !is_leadership_valid (executor->agent))
    return;
  executor->is_hold_immediate = true;
  send_hold_request (executor);
}

static void
handle_assign (agent_t *agent, const Mimosastair__Assign *message)
{
  held_executor_t *executor = g_hash_table_lookup (agent->executors, message->executor);
  bool is_new = false;
  bool is_due;

  if (message->drop)
    {
      g_hash_table_remove (agent->executors, message->executor);
      return;
    }
  if (executor != NULL && message->address[0] != '\0'
      && strcmp (executor->address, message->address) != 0)
    {
      g_hash_table_remove (agent->executors, message->executor);
      executor = NULL;
    }
  if (executor == NULL)
    {
      if (message->address[0] == '\0')
        return;
      executor = g_new0 (held_executor_t, 1);
      executor->agent = agent;
      executor->id = g_strdup (message->executor);
      executor->address = g_strdup (message->address);
      executor->is_hold_immediate = true;
      is_new = true;
      g_hash_table_insert (agent->executors, executor->id, executor);
    }
  is_due = message->acked > executor->acked;
  if (is_new || executor->assigned_born != message->born)
    {
      is_due = true;
      executor->first_step = message->fence_step;
      executor->start_step = message->fence_step;
      executor->seen_step = 0;
    }
  executor->assigned_born = message->born;
  executor->fence_step = message->fence_step;
  executor->acked = message->acked;
  if (message->mark > executor->mark)
    {
      executor->mark = message->mark;
      executor->is_hold_immediate = true;
      is_due = true;
    }
  if (is_hold_pending (executor))
    {
      send_hold_beside (executor);
      return;
    }
  /* The next request waits for its time if it would tell and ask the same. */
  if (executor->hold_timer != 0 && !is_due)
    return;
  if (executor->hold_timer != 0)
    g_source_remove (executor->hold_timer);
  executor->hold_timer = 0;
  send_hold (executor);
}

static void
send_result_message (agent_t *agent, Mimosastair__OrderResult *result)
{
  Mimosastair__Frame frame = MIMOSASTAIR__FRAME__INIT;

  frame.n_result = 1;
  frame.result = &result;
  (void) agent->send (&frame, agent->data);
}

/* The result of an order that was not sent. */
static void
send_result (agent_t *agent, guint64 order, order_outcome_t outcome)
{
  Mimosastair__OrderResult result = MIMOSASTAIR__ORDER_RESULT__INIT;

  result.order = order;
  result.outcome = outcome;
  send_result_message (agent, &result);
}

static void
send_call_result (agent_t *agent, const order_call_t *call, order_outcome_t outcome)
{
  Mimosastair__OrderResult result = MIMOSASTAIR__ORDER_RESULT__INIT;

  result.order = call->order;
  result.outcome = outcome;
  result.fence_step = call->fence_step;
  send_result_message (agent, &result);
}

/* Whether the outcome tells what the answering incarnation knows of the run.  Any other says that
 * nothing was done, whichever incarnation answered, or that there was no answer. */
static bool
is_of_incarnation (order_outcome_t outcome)
{
  switch (outcome)
    {
    case ORDER_OK:
    case ORDER_OLD_RUN:
    case ORDER_LEASE_EXPIRED:
    case ORDER_NO_CAPACITY:
    case ORDER_BAD_TICKET:
      return true;
    case ORDER_NO_ANSWER:
    case ORDER_NOT_SENT:
    case ORDER_FENCED:
    case ORDER_UNHEALTHY:
    case ORDER_EXECUTOR_RESTARTED:
      return false;
    }
  return false;
}

/* Whether another incarnation has answered the order than the one that it is for, by its clock. */
static bool
is_answered_by_other (const order_call_t *call, const executor_answer_t *answer)
{
  clock_range_t range;

  if (call->clock.answered_us == 0 || !is_of_incarnation (answer->outcome))
    return false;
  range = executor_clock_range (&call->clock, call->sent_us, clock_now_us ());
  if (executor_clock_is_in_range (&range, answer->clock_ms))
    return false;
  LOG_WARN ("order_answered_by_other",
            "executor=%s order=%" G_GUINT64_FORMAT " born=%" G_GINT64_FORMAT
            " clock_ms=%" G_GINT64_FORMAT " expected_min_ms=%" G_GINT64_FORMAT
            " expected_max_ms=%" G_GINT64_FORMAT " outcome=%s",
            call->executor->id, call->order, call->born, answer->clock_ms, range.min_ms,
            range.max_ms, order_outcome_name (answer->outcome));
  return true;
}

static order_outcome_t
order_outcome (const order_call_t *call, const executor_answer_t *answer)
{
  if (is_for_former_step (call->executor, answer->outcome, call->fence_step))
    return ORDER_EXECUTOR_RESTARTED;
  /* What has become of the run in the incarnation that the order is for is not known. */
  return is_answered_by_other (call, answer) ? ORDER_NO_ANSWER : answer->outcome;
}

static void
order_answered (const executor_answer_t *answer, void *data)
{
  order_call_t *call = data;
  agent_t *agent = call->agent;
  order_outcome_t outcome = order_outcome (call, answer);

  note_overtaken (call->executor, outcome, call->fence_step);
  (void) finish_call (call->executor);
  /* Report the outcome even if the executor has been assigned to another VM meanwhile. */
  if (call->generation == agent->generation)
    send_call_result (agent, call, outcome);
  g_free (call);
}

static order_call_t *
order_call_new (agent_t *agent, held_executor_t *executor, guint64 order, guint fence_step)
{
  order_call_t *call = g_new0 (order_call_t, 1);

  call->agent = agent;
  call->executor = executor;
  call->order = order;
  call->fence_step = fence_step;
  call->generation = agent->generation;
  call->sent_us = clock_now_us ();
  call->born = executor->born;
  /* Before the incarnation that calls are for has answered, its clock is not known. */
  if (is_assigned_incarnation (executor))
    call->clock = executor->clock;
  executor->pending_call_count++;
  return call;
}

/* Whether a task that was placed on the incarnation `born` may be started.  An order reaches
 * whichever incarnation listens at the address, and the next one may be of another kind. */
static order_outcome_t
check_incarnation (const held_executor_t *executor, gint64 born)
{
  if (executor == NULL || !executor->is_answering)
    return ORDER_NOT_SENT;
  return executor->born == born ? ORDER_OK : ORDER_EXECUTOR_RESTARTED;
}

/* Returns the text of the order, or NULL if it was left out and this VM lacks it.  Every order must
 * be given to this function once, also those that are not carried out: the leader counts on the
 * texts of all that it has sent. */
static const char *
take_text (agent_t *agent, const Mimosastair__StartOrder *message)
{
  text_digest_t digest;

  if (!message->text_known)
    {
      text_table_store (agent->texts, message->spec);
      return message->spec;
    }
  if (message->text_digest.len != sizeof digest.bytes)
    return NULL;
  memcpy (digest.bytes, message->text_digest.data, sizeof digest.bytes);
  return text_table_use (agent->texts, &digest);
}

static void
reject_order_without_text (agent_t *agent, const Mimosastair__StartOrder *message)
{
  Mimosastair__OrderResult result = MIMOSASTAIR__ORDER_RESULT__INIT;
  gint64 now_us = clock_now_us ();

  if (agent->text_missing_logged_us == 0
      || now_us - agent->text_missing_logged_us >= text_missing_log_interval_us)
    {
      agent->text_missing_logged_us = now_us;
      LOG_WARN ("order_without_text", "job=%s executor=%s order=%" G_GUINT64_FORMAT,
                message->task != NULL ? message->task->job : "-", message->executor,
                message->order);
    }
  result.order = message->order;
  result.outcome = ORDER_NOT_SENT;
  result.text_missing = true;
  send_result_message (agent, &result);
}

static void
handle_start (agent_t *agent, const Mimosastair__StartOrder *message)
{
  held_executor_t *executor = g_hash_table_lookup (agent->executors, message->executor);
  executor_start_t order = { .run = message->run,
                             .spec = take_text (agent, message),
                             .checkpoint = message->checkpoint,
                             .ticket = message->ticket,
                             .is_checked = message->checked };
  executor_target_t target;
  guint step;
  order_outcome_t outcome = check_incarnation (executor, message->born);

  if (order.spec == NULL)
    {
      reject_order_without_text (agent, message);
      return;
    }
  if (outcome != ORDER_OK)
    {
      send_result (agent, message->order, outcome);
      return;
    }
  if (!is_leadership_valid (agent) || !codec_read_task (message->task, &order.task)
      || (order.lease_expiry_ms = grant_lease_ms (executor)) == 0)
    {
      send_result (agent, message->order, ORDER_NOT_SENT);
      return;
    }
  /* A leader of an earlier version does not name a step. */
  step = MAX (message->fence_step, call_step (executor));
  executor->start_step = MAX (executor->start_step, step);
  target = (executor_target_t){ .executor = executor->id,
                                .address = executor->address,
                                .fence = fence_token (agent->fence, step),
                                .born = message->born };
  executor_start (agent->calls, &target, &order, order_answered,
                  order_call_new (agent, executor, message->order, step));
}

static void
handle_stop (agent_t *agent, const Mimosastair__StopOrder *message)
{
  held_executor_t *executor = g_hash_table_lookup (agent->executors, message->executor);
  executor_target_t target;
  task_ref_t task;

  /* A stop needs no valid lease of the leader, but its token, which comes with its first pong. */
  if (executor == NULL || agent->fence == 0 || !codec_read_task (message->task, &task))
    {
      send_result (agent, message->order, ORDER_NOT_SENT);
      return;
    }
  target = (executor_target_t){ .executor = executor->id,
                                .address = executor->address,
                                .fence = call_fence (executor),
                                .born = executor->assigned_born };
  executor_stop (agent->calls, &target, &task, message->run, order_answered,
                 order_call_new (agent, executor, message->order, call_step (executor)));
}

typedef struct
{
  agent_t *agent;
  guint64 order;
  guint generation;
} advice_request_t;

static void
advice_answered (bool is_answered, const ticket_t *tickets, guint count, void *data)
{
  advice_request_t *call = data;
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
handle_advise (agent_t *agent, const Mimosastair__AdviceOrder *message)
{
  advice_request_t *call = g_new0 (advice_request_t, 1);
  task_ref_t step = { 0 };

  call->agent = agent;
  call->order = message->order;
  call->generation = agent->generation;
  if (agent->advice == NULL || !codec_read_task (message->step, &step))
    {
      advice_answered (false, NULL, 0, call);
      return;
    }
  advice_request (agent->advice, &step, (const char *const *) message->executors,
                  (guint) message->n_executors, message->timeout_ms, advice_answered, call);
}

void
agent_handle_frame (agent_t *agent, const Mimosastair__Frame *frame)
{
  for (gsize i = 0; i < frame->n_assign; i++)
    handle_assign (agent, frame->assign[i]);
  for (gsize i = 0; i < frame->n_start; i++)
    handle_start (agent, frame->start[i]);
  for (gsize i = 0; i < frame->n_stop; i++)
    handle_stop (agent, frame->stop[i]);
  for (gsize i = 0; i < frame->n_advise; i++)
    handle_advise (agent, frame->advise[i]);
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
  agent->fence = 0;
  agent->valid_until_us = 0;
  text_table_clear (agent->texts);
  g_hash_table_remove_all (agent->executors);
}

guint
agent_executor_count (const agent_t *agent)
{
  return g_hash_table_size (agent->executors);
}

agent_t *
agent_new (guint lease_ms, const char *advice_address, agent_send_t send, void *data)
{
  agent_t *agent = g_new0 (agent_t, 1);

  agent->calls = executor_calls_new ();
  if (advice_address[0] != '\0')
    agent->advice = advice_calls_new (advice_address);
  agent->lease_ms = lease_ms;
  agent->send = send;
  agent->data = data;
  agent->texts = text_table_new (TEXT_TABLE_MAX_TEXTS);
  agent->executors = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, held_executor_release);
  return agent;
}

void
agent_free (agent_t *agent)
{
  if (agent == NULL)
    return;
  g_hash_table_unref (agent->executors);
  executor_calls_free (agent->calls);
  advice_calls_free (agent->advice);
  text_table_free (agent->texts);
  g_free (agent);
}
