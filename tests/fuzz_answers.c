/* Fuzzes the readers of answers of the key-value service, the executors and the advice service with
 * mutations of valid answers.
 *
 * Run under ASan and UBSan.  The client's calls are replaced by http_call() below, so that each
 * text takes the whole way from the HTTP result to what the caller gets.  Checked besides: each
 * call has one result, and what it holds is in the ranges that the headers state.
 *
 * usage: fuzz_answers [COUNT [SEED [READER]]]
 *
 * Gives each reader, or the one named, COUNT texts, derived from the seed. */
#include "mutated_text.h"

#include "base/http_call.h"
#include "platform/advice_calls.h"
#include "platform/executor_calls.h"
#include "platform/store_kv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  CALLS_MAX = 8, /* of one order: checks of connections, and the order */
  CONNECTION = 1,
  PERCENT_MAX = 100
};

static const char executor_address[] = "127.0.0.1:1";
static const gint64 born = 1796461485873;

static store_t *store;
static executor_calls_t *executors;
static advice_calls_t *advice;

static const char *violation;
static guint results;    /* of the call under test */
static bool is_accepted; /* its answer was read as one */

static void
require (bool holds, const char *what)
{
  if (!holds)
    violation = what;
}

/* A library that is given what it does not take says so; the daemon's log would show it. */
static GLogWriterOutput
note_message (GLogLevelFlags level,
              const GLogField *fields,
              gsize count,
              gpointer data G_GNUC_UNUSED)
{
  require ((level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING)) == 0,
           "a message of a library");
  return g_log_writer_standard_streams (level, fields, count, NULL);
}

/* ---- Calls, which get the text as their answer. */

static struct
{
  http_call_may_send_t may_send;
  http_call_done_t done;
  void *data;
} pending;

/* Replaces the client's function. */
void
http_call (SoupSession *session G_GNUC_UNUSED,
           const http_call_t *call,
           http_call_done_t done,
           void *data)
{
  require (pending.done == NULL, "two calls at a time");
  pending.may_send = call->may_send;
  pending.done = done;
  pending.data = data;
  g_free (call->body);
}

void
http_call_append_metrics (GString *out G_GNUC_UNUSED)
{
}

/* Answers the pending call and those that follow it. */
static void
answer_calls (const GString *text, guint status)
{
  for (guint i = 0; i < CALLS_MAX && pending.done != NULL; i++)
    {
      http_call_done_t done = pending.done;
      http_result_t result = { .status = status,
                               .sent = true,
                               .body = text->str,
                               .body_bytes = text->len,
                               .connection = CONNECTION };

      if (pending.may_send != NULL && !pending.may_send (CONNECTION, pending.data))
        result = (http_result_t){ .body = "", .connection = CONNECTION };
      pending.done = NULL;
      done (&result, pending.data);
    }
  require (pending.done == NULL, "a call that never ends");
  require (results == 1, "a call without exactly one result");
}

/* ---- The key-value service. */

static void
check_items (const store_reply_t *reply)
{
  for (guint i = 0; i < reply->items->len; i++)
    {
      const store_item_t *item = g_ptr_array_index (reply->items, i);

      require (item->key != NULL, "an item without a key");
      require (item->value_bytes == 0 || item->value != NULL, "an item without its value");
    }
}

static void
store_answered (const store_reply_t *reply, void *data)
{
  const char *kind = data;

  results++;
  check_items (reply);
  require (reply->revision >= 0, "a revision below zero");
  if (reply->status != STORE_DONE)
    return;
  is_accepted = true;
  if (strcmp (kind, "get") == 0)
    require (reply->items->len == 1, "a key that was read without its item");
  if (strcmp (kind, "range") == 0)
    require (reply->items->len > 0 || !reply->has_more, "a page that ends nowhere");
  if (strcmp (kind, "txn") == 0)
    require (reply->revision > 0, "a transaction without its revision");
  if (strcmp (kind, "lease") == 0)
    require (reply->lease > 0, "a lease without its id");
}

static void
read_item (void)
{
  store->calls->get (store, "job/1", store_answered, (void *) "get");
}

static void
read_page (void)
{
  store->calls->range (store, "job/", NULL, store_answered, (void *) "range");
}

static void
read_events (void)
{
  store->calls->watch (store, "job/", 1, 1000, store_answered, (void *) "watch");
}

static void
read_transaction (void)
{
  store_condition_t expect = { .key = "job/1" };
  store_write_t write = { .key = "job/1", .value = (const guint8 *) "v", .value_bytes = 1 };

  store->calls->txn (store, &expect, 1, &write, 1, store_answered, (void *) "txn");
}

static void
read_lease (void)
{
  store->calls->lease (store, 2000, store_answered, (void *) "lease");
}

static void
read_renewal (void)
{
  store->calls->keep (store, 1, store_answered, (void *) "keep");
}

/* ---- Executors. */

static void
check_report (const executor_report_t *report)
{
  for (guint i = 0; i < report->running_count; i++)
    {
      const reported_run_t *run = &report->running[i];

      require (run->run >= 1 && run->run <= G_MAXINT32, "a run out of range");
      require (run->percent <= PERCENT_MAX, "a percentage out of range");
      require (run->load <= G_MAXINT32, "a load out of range");
      require (run->checkpoint != NULL, "a run without its checkpoint");
    }
  for (guint i = 0; i < report->ended_count; i++)
    {
      const reported_end_t *end = &report->ended[i];

      require (end->number >= 1 && end->number <= G_MAXINT64, "an end out of range");
      require (end->run >= 1 && end->run <= G_MAXINT32, "a run out of range");
      require (end->checkpoint != NULL, "an end without its checkpoint");
    }
}

static void
hold_answered (const executor_answer_t *answer,
               const executor_report_t *report,
               void *data G_GNUC_UNUSED)
{
  results++;
  require (report == NULL || answer->outcome == ORDER_OK, "a report of an order that failed");
  if (report == NULL)
    return;
  is_accepted = report->running_count > 0 && report->ended_count > 0;
  check_report (report);
}

static void
order_answered (const executor_answer_t *answer, void *data G_GNUC_UNUSED)
{
  results++;
  require (answer->outcome <= ORDER_EXECUTOR_RESTARTED, "no outcome");
  is_accepted = answer->outcome == ORDER_OK;
}

static executor_target_t
make_target (void)
{
  return (
      executor_target_t){ .executor = "e", .address = executor_address, .fence = 1, .born = born };
}

static void
read_report (void)
{
  executor_target_t target = make_target ();
  executor_hold_t hold = { .acked = 3, .lease_expiry_ms = 1000, .wait_ms = 1000 };

  executor_hold (executors, &target, &hold, hold_answered, NULL);
}

static const task_ref_t task = { .job = "0000000000000001" };

static void
read_start (void)
{
  executor_target_t target = make_target ();
  executor_start_t start = {
    .task = task, .run = 1, .spec = "s", .checkpoint = "", .ticket = "", .lease_expiry_ms = 1000
  };

  executor_start (executors, &target, &start, order_answered, NULL);
}

static void
read_stop (void)
{
  executor_target_t target = make_target ();

  executor_stop (executors, &target, &task, 1, order_answered, NULL);
}

/* ---- Advice. */

static void
advice_answered (bool is_answered, const ticket_t *tickets, guint count, void *data G_GNUC_UNUSED)
{
  results++;
  require (is_answered || count == 0, "tickets of a call without an answer");
  is_accepted = count > 0;
  for (guint i = 0; i < count; i++)
    require (tickets[i].executor != NULL && tickets[i].ticket != NULL, "an incomplete ticket");
}

static void
read_advice (void)
{
  static const char *const asked[] = { "i-1", "i-2" };

  advice_request (advice, &task, asked, G_N_ELEMENTS (asked), 1000, advice_answered, NULL);
}

/* ---- Valid answers. */

static const char item_text[]
    = "{\"key\":\"job/1\",\"value\":\"YWJj\",\"revision\":7,\"created\":3,"
      "\"lease\":12,\"at\":9}";

static const char page_text[]
    = "{\"items\":[{\"key\":\"job/1\",\"value\":\"YWJj\",\"revision\":7,\"created\":3,\"lease\":0},"
      "{\"key\":\"job/"
      "2\",\"value\":\"\",\"revision\":8,\"created\":8}],\"has-more\":true,\"at\":9}";

static const char events_text[]
    = "{\"events\":[{\"key\":\"job/1\",\"value\":\"YWJj\",\"revision\":7,\"created\":3},"
      "{\"key\":\"job/2\",\"deleted\":true,\"revision\":8}],\"at\":9}";

static const char lease_text[] = "{\"lease\":12,\"ttl-ms\":2000}";

static const char report_text[]
    = "{\"clock-ms\":482113,\"born\":1796461485873,\"running\":[[\"5c0e7a21d94b36f8.0.1.17\",2,"
      "\"c\",40,3],[\"5c0e7a21d94b36f8.0.1.18\",1,\"\",0,0]],\"ended\":[[7,"
      "\"5c0e7a21d94b36f8.0.1.19\",1,\"done\",\"\"],[8,\"5c0e7a21d94b36f8.0.1.20\",3,\"stopped\","
      "\"c\"]]}";

static const char order_text[]
    = "{\"clock-ms\":482113,\"reason\":\"fence\",\"born\":1796461485873}";

static const char advice_text[] = "{\"allowed\":[[\"i-1\",\"t1\"],[\"i-2\",\"t2\"]]}";

/* Rows of other types beside a valid one: mutations seldom make them. */
static const char odd_report_text[]
    = "{\"clock-ms\":1,\"born\":1796461485873,\"running\":[[\"5c0e7a21d94b36f8.0.1.17\",2,[],{},"
      "null],[[],2],[{},{}],3,{},null,[]],\"ended\":[[7,\"5c0e7a21d94b36f8.0.1.19\",1,{},[]],"
      "[[],{},1],[{},null],\"x\",{},[]]}";

static const char odd_advice_text[]
    = "{\"allowed\":[[\"i-1\",\"t1\"],[[\"i-2\"],{\"t\":2}],[3,null],\"i-4\",[\"i-5\"],{},[]]}";

static const struct
{
  const char *name;
  const char *valid;
  void (*call) (void);
} readers[] = {
  { "store_item", item_text, read_item },
  { "store_page", page_text, read_page },
  { "store_events", events_text, read_events },
  { "store_transaction", item_text, read_transaction },
  { "store_lease", lease_text, read_lease },
  { "store_renewal", lease_text, read_renewal },
  { "executor_report", report_text, read_report },
  { "executor_report_odd", odd_report_text, read_report },
  { "executor_start", order_text, read_start },
  { "executor_stop", order_text, read_stop },
  { "advice", advice_text, read_advice },
  { "advice_odd", odd_advice_text, read_advice },
};

static guint
draw_status (GRand *random_source)
{
  static const guint statuses[] = { 404, 409, 412, 421, 500, 503 };

  if (g_rand_int_range (random_source, 0, 4) > 0)
    return 200;
  return statuses[g_rand_int_range (random_source, 0, G_N_ELEMENTS (statuses))];
}

static void
read_text (guint reader, const GString *text, guint status)
{
  results = 0;
  is_accepted = false;
  readers[reader].call ();
  answer_calls (text, status);
}

/* The valid answer itself has to be accepted: mutations of one that is not would test little. */
static void
read_valid (guint reader)
{
  GString *text = g_string_new (readers[reader].valid);

  read_text (reader, text, 200);
  require (is_accepted, "the valid answer is refused");
  g_string_free (text, TRUE);
}

static bool
fuzz (GRand *random_source, guint reader, guint count)
{
  read_valid (reader);
  for (guint i = 0; i < count && violation == NULL; i++)
    {
      GString *text = mutated_text_new (random_source, readers[reader].valid);
      guint status = draw_status (random_source);

      read_text (reader, text, status);
      if (violation != NULL)
        (void) printf ("%u %s\n", status, text->str);
      g_string_free (text, TRUE);
    }
  if (violation != NULL)
    (void) printf ("%s: %s\n", readers[reader].name, violation);
  return violation == NULL;
}

int
main (int argc, char **argv)
{
  guint count = argc > 1 ? (guint) strtoul (argv[1], NULL, 10) : 10000;
  guint32 seed = argc > 2 ? (guint32) strtoul (argv[2], NULL, 10) : 1;
  const char *only = argc > 3 ? argv[3] : NULL;
  GRand *random_source = g_rand_new_with_seed (seed);
  metrics_t *metrics = metrics_new ();
  guint passed = 0;
  guint failed = 0;

  g_log_set_writer_func (note_message, NULL, NULL);
  store = store_kv_new ("127.0.0.1:1", metrics);
  executors = executor_calls_new ();
  advice = advice_calls_new ("127.0.0.1:1");
  for (guint i = 0; i < G_N_ELEMENTS (readers); i++)
    {
      bool is_held;

      if (only != NULL && strcmp (only, readers[i].name) != 0)
        continue;
      violation = NULL;
      is_held = fuzz (random_source, i, count);
      passed += is_held;
      failed += !is_held;
    }
  advice_calls_free (advice);
  executor_calls_free (executors);
  store->calls->free (store);
  metrics_free (metrics);
  g_rand_free (random_source);
  (void) printf ("%u texts for each reader, seed %u\n%u passed, %u failed\n", count, seed, passed,
                 failed);
  return failed == 0 && passed > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
