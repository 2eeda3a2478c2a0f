/* Unit tests of errors, histograms, settings, environment documents, timers and job records. */
#include "base/descriptor_budget.h"
#include "base/error.h"
#include "base/histogram.h"
#include "base/log.h"
#include "base/loop.h"
#include "base/memory_budget.h"
#include "base/settings.h"
#include "decide/job.h"
#include "decide/timerwheel.h"
#include "operator/document_json.h"
#include "work/job_record.h"

#include <CUnit/Basic.h>
#include <string.h>

static void
test_error_properties (void)
{
  for (int kind = 0; kind < ERROR_KIND_COUNT; kind++)
    {
      const error_properties_t *properties = error_properties ((error_kind_t) kind);

      CU_ASSERT_PTR_NOT_NULL_FATAL (properties->name);
      CU_ASSERT (properties->http_status >= 200 && properties->http_status <= 599);
      CU_ASSERT_EQUAL (error_kind_from_name (properties->name), (error_kind_t) kind);
      /* Work that may have run must not be offered for a retry.  The exceptions are the kinds for
       * which the idempotency key of the request prevents a second run. */
      if (properties->outcome == OUTCOME_UNKNOWN && properties->retry)
        CU_ASSERT (kind == ERROR_IN_PROGRESS || kind == ERROR_UNREACHABLE);
    }
}

static void
test_histogram_quantiles (void)
{
  histogram_t histogram = { .count = 0 };

  CU_ASSERT_EQUAL (histogram_quantile (&histogram, 0.5), 0);
  for (uint64_t value = 1; value <= 100000; value++)
    histogram_add (&histogram, value);
  for (int percent = 1; percent <= 100; percent++)
    {
      double exact = percent * 1000.0;
      double estimate = (double) histogram_quantile (&histogram, percent / 100.0);

      CU_ASSERT (estimate >= exact * 0.999 && estimate <= exact * 1.126);
    }
  for (unsigned i = 1; i < HISTOGRAM_BUCKETS; i++)
    {
      CU_ASSERT_EQUAL (histogram_bucket_index (histogram_bucket_upper_us (i)), i);
      CU_ASSERT_EQUAL (histogram_bucket_index (histogram_bucket_upper_us (i - 1) + 1), i);
    }
}

typedef struct
{
  gint64 number;
  char *text;
  char *address;
  gint64 thousandths;
  gint64 wait_ms;
  char *key;
  bool key_is_required;
  gboolean is_fast;
} test_settings_t;

/* Loads the settings of a small program from arguments that are separated by spaces; NULL: none. */
static bool
load_settings (test_settings_t *values, const char *arguments, error_info_t *error)
{
  const setting_t settings[] = { { .flag = "count",
                                   .kind = SETTING_INTEGER,
                                   .value = &values->number,
                                   .fallback = "3",
                                   .min = 1,
                                   .max = 9,
                                   .help = "a count" },
                                 { .flag = "name",
                                   .kind = SETTING_STRING,
                                   .value = &values->text,
                                   .fallback = "x",
                                   .min = 1,
                                   .max = 4,
                                   .help = "a name" },
                                 { .flag = "listen",
                                   .kind = SETTING_ADDRESS,
                                   .value = &values->address,
                                   .fallback = "127.0.0.1:1",
                                   .help = "an address" },
                                 { .flag = "share",
                                   .kind = SETTING_DECIMAL,
                                   .value = &values->thousandths,
                                   .fallback = "0.25",
                                   .min = 10,
                                   .max = 4000,
                                   .help = "a share" },
                                 { .flag = "wait-ms",
                                   .kind = SETTING_INTEGER,
                                   .value = &values->wait_ms,
                                   .fallback = "50",
                                   .min = 10,
                                   .max = 100,
                                   .takes_nearest_bound = true,
                                   .help = "a bound of the platform" },
                                 { .flag = "key",
                                   .kind = SETTING_STRING,
                                   .value = &values->key,
                                   .fallback = values->key_is_required ? NULL : "k",
                                   .min = 1,
                                   .max = 4,
                                   .help = "a key" },
                                 { .flag = "fast",
                                   .kind = SETTING_SWITCH,
                                   .value = &values->is_fast,
                                   .fallback = "0",
                                   .help = "a switch" } };
  g_autofree char *line = g_strjoin (" ", "test", arguments, NULL);
  g_auto (GStrv) argv = g_strsplit (line, " ", -1);
  settings_result_t result;

  return settings_load (settings, G_N_ELEMENTS (settings), (int) g_strv_length (argv), argv,
                        &result, error);
}

static void
clear_settings (test_settings_t *values)
{
  g_free (values->text);
  g_free (values->address);
  g_free (values->key);
}

static void
test_settings (void)
{
  static const char *const bad[]
      = { "--count=0",    "--count=10",      "--count=two",        "--count=0.9",
          "--name=abcde", "--listen=nohost", "--listen=host.x:80", "--listen=1.2.3.4:99999",
          "--unknown=1",  "--share=0.009",   "--share=4.1",        "--share=1,5",
          "--share=nan",  "--count=1e400",   "--count=0x5",        "--count=true",
          "--unknown=",   "--count",         "--wait-ms=soon",     "--wait-ms=inf",
          "--count=5x",   "--count=.",       "--listen=1.2.3.4:",  "--listen=:80" };
  test_settings_t values = { 0 };
  error_info_t error;

  CU_ASSERT (load_settings (&values, NULL, &error));
  CU_ASSERT_EQUAL (values.number, 3);
  CU_ASSERT (load_settings (&values, "--count=7", &error));
  CU_ASSERT_EQUAL (values.number, 7);
  CU_ASSERT_EQUAL (values.thousandths, 250);
  CU_ASSERT (load_settings (&values, "--share=1.5", &error));
  CU_ASSERT_EQUAL (values.thousandths, 1500);
  g_setenv ("MIMOSASTAIR_COUNT", "5", TRUE);
  CU_ASSERT (load_settings (&values, NULL, &error));
  CU_ASSERT_EQUAL (values.number, 5);
  CU_ASSERT (load_settings (&values, "--count=8", &error));
  CU_ASSERT_EQUAL (values.number, 8);
  g_unsetenv ("MIMOSASTAIR_COUNT");
  for (guint i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      error = (error_info_t){ .kind = ERROR_NONE };
      CU_ASSERT_FALSE (load_settings (&values, bad[i], &error));
      CU_ASSERT_EQUAL (error.kind, ERROR_BAD_SETTING);
      CU_ASSERT_PTR_NULL (strchr (error.detail, '\n'));
    }
  clear_settings (&values);
}

/* Guards against a value of a switch that is refused without a word of what was wrong, or that is
 * taken for another one. */
static void
test_switches (void)
{
  static const struct
  {
    const char *arguments;
    gboolean is_fast;
  } cases[] = { { NULL, FALSE },
                { "--fast", TRUE },
                { "--fast=1", TRUE },
                { "--fast=True", TRUE },
                { "--fast=0", FALSE },
                { "--fast --fast=false", FALSE },
                { "--fast=0 --fast", TRUE },
                { "--fast=", FALSE },
                { "--fast --fast=", TRUE } };
  static const char wanted[] = "--fast: \"maybe\" is not 0, 1, false or true";
  test_settings_t values = { 0 };
  error_info_t error = { .kind = ERROR_NONE };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      CU_ASSERT (load_settings (&values, cases[i].arguments, &error));
      CU_ASSERT_EQUAL (values.is_fast, cases[i].is_fast);
    }
  CU_ASSERT_FALSE (load_settings (&values, "--fast=maybe", &error));
  CU_ASSERT_STRING_EQUAL (error.detail, wanted);
  CU_ASSERT_FALSE (load_settings (&values, "--fa=maybe", &error));
  CU_ASSERT_STRING_EQUAL (error.detail, wanted);
  CU_ASSERT_EQUAL (error_properties (error.kind)->exit_code, 2);
  CU_ASSERT_FALSE (load_settings (&values, "--version=maybe", &error));
  CU_ASSERT_STRING_EQUAL (error.detail, "--version: \"maybe\" is not 0, 1, false or true");
  g_setenv ("MIMOSASTAIR_FAST", "maybe", TRUE);
  CU_ASSERT_FALSE (load_settings (&values, NULL, &error));
  CU_ASSERT_STRING_EQUAL (error.detail, wanted);
  CU_ASSERT (load_settings (&values, "--fast", &error));
  g_unsetenv ("MIMOSASTAIR_FAST");
  clear_settings (&values);
}

/* A placeholder of the deploy file without a value ended each start with "requires an argument". */
static void
test_absent_settings (void)
{
  static const char *const names[] = { "COUNT", "NAME", "LISTEN", "SHARE", "WAIT_MS", "KEY" };
  test_settings_t values = { 0 };
  error_info_t error = { .kind = ERROR_NONE };

  CU_ASSERT (
      load_settings (&values, "--count= --name= --listen= --share= --wait-ms= --key=", &error));
  CU_ASSERT_EQUAL (values.number, 3);
  CU_ASSERT_STRING_EQUAL (values.text, "x");
  CU_ASSERT_STRING_EQUAL (values.address, "127.0.0.1:1");
  CU_ASSERT_EQUAL (values.thousandths, 250);
  CU_ASSERT_EQUAL (values.wait_ms, 50);
  CU_ASSERT (load_settings (&values, "--count  --name=y --share=false --listen=:", &error));
  CU_ASSERT_EQUAL (values.number, 3);
  CU_ASSERT_STRING_EQUAL (values.text, "y");
  for (guint i = 0; i < G_N_ELEMENTS (names); i++)
    {
      g_autofree char *variable = g_strconcat ("MIMOSASTAIR_", names[i], NULL);

      g_setenv (variable, "", TRUE);
      CU_ASSERT (load_settings (&values, "--count=4", &error));
      g_unsetenv (variable);
    }
  CU_ASSERT_EQUAL (values.number, 4);
  g_setenv ("MIMOSASTAIR_COUNT", "5", TRUE);
  CU_ASSERT (load_settings (&values, "--count=", &error));
  CU_ASSERT_EQUAL (values.number, 5);
  g_unsetenv ("MIMOSASTAIR_COUNT");
  values.key_is_required = true;
  CU_ASSERT_FALSE (load_settings (&values, "--key=", &error));
  CU_ASSERT_STRING_EQUAL (error.detail, "--key: a value is required (a key)");
  clear_settings (&values);
}

/* Bounds come as whole numbers or fractions, and may lie outside a range. */
static void
test_numbers_of_settings (void)
{
  static const struct
  {
    const char *arguments;
    gint64 wait_ms;
  } cases[] = {
    { "--wait-ms=60.0", 60 },
    { "--wait-ms=29.5", 29 },
    { "--wait-ms=99.999999", 99 },
    { "--wait-ms=6e1", 60 },
    { "--wait-ms=9", 10 },
    { "--wait-ms=9.99", 10 },
    { "--wait-ms=-4", 10 },
    { "--wait-ms=1e30", 100 },
    { "--wait-ms=1e400", 100 },
    { "--wait-ms=100.5", 100 },
    { "--wait-ms=20 --wait-ms=30", 30 },
    { "--wait-ms=20 --wait-ms=", 20 },
  };
  test_settings_t values = { 0 };
  error_info_t error = { .kind = ERROR_NONE };

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      CU_ASSERT (load_settings (&values, cases[i].arguments, &error));
      CU_ASSERT_EQUAL (values.wait_ms, cases[i].wait_ms);
    }
  CU_ASSERT (load_settings (&values, "--count=3.9 --share=0.0126 --share=2", &error));
  CU_ASSERT_EQUAL (values.number, 3);
  CU_ASSERT_EQUAL (values.thousandths, 2000);
  clear_settings (&values);
}

/* Samples of log_append_metrics() and loop_append_metrics(). */
static char *
log_and_loop_metrics (void)
{
  GString *out = g_string_new (NULL);

  log_append_metrics (out);
  loop_append_metrics (out);
  return g_string_free (out, FALSE);
}

/* A critical message of a library was seen by nobody who does not read the log. */
static void
test_library_messages (void)
{
  g_autofree char *before = log_and_loop_metrics ();
  g_autofree char *after = NULL;

  CU_ASSERT (log_init ("error"));
  g_log ("Library", G_LOG_LEVEL_CRITICAL, "a message of a test");
  g_log ("Library", G_LOG_LEVEL_WARNING, "a message of a test");
  after = log_and_loop_metrics ();
  CU_ASSERT_PTR_NOT_NULL (
      strstr (before, "mimosastair_library_messages_total{level=\"critical\"} 0\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (after, "mimosastair_library_messages_total{level=\"critical\"} 1\n"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (after, "mimosastair_library_messages_total{level=\"warning\"} 1\n"));
}

static gboolean
run_for (gpointer data)
{
  g_usleep (GPOINTER_TO_UINT (data) * 1000UL);
  return G_SOURCE_REMOVE;
}

/* Turns of the loop that kept everything waiting were not in the log. */
static void
test_slow_turns (void)
{
  static const guint turns_ms[] = { 1, 250, 100, 220 };

  loop_watch_turns ();
  for (guint i = 0; i < G_N_ELEMENTS (turns_ms); i++)
    {
      guint source = g_timeout_add (1, run_for, GUINT_TO_POINTER (turns_ms[i]));

      while (g_main_context_find_source_by_id (NULL, source) != NULL)
        (void) g_main_context_iteration (NULL, TRUE);
      (void) g_main_context_iteration (NULL, FALSE);
    }
  CU_ASSERT_EQUAL (loop_slow_turn_count (), 2);
}

/* Checks that the document has `count` problems, and that the first begins with `first`. */
static void
expect_problems (const char *text, guint count, const char *first)
{
  g_autoptr (GPtrArray) problems = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (environment_t) environment = document_parse_text (text, -1, 7, problems);

  CU_ASSERT_EQUAL (problems->len, count);
  CU_ASSERT_EQUAL (environment == NULL, count > 0);
  if (problems->len > 0)
    CU_ASSERT (g_str_has_prefix (g_ptr_array_index (problems, 0), first));
  if (environment != NULL)
    CU_ASSERT_EQUAL (environment->version, 7);
}

static void
test_document_problems (void)
{
  expect_problems ("{\"environment\":\"a\",\"customers\":[{\"name\":\"c\"}],\"classes\":"
                   "[{\"name\":\"k\",\"kind\":\"request\",\"urgency\":0}]}",
                   0, "");
  expect_problems ("[", 1, ": not JSON");
  expect_problems ("[]", 1, ": found no JSON object");
  /* All problems are listed at once: empty list, name, unknown field, kind, urgency, share, limit
   * below the share, sum of the shares. */
  expect_problems ("{\"environment\":\"A\",\"customers\":[],\"classes\":[{\"name\":\"k\","
                   "\"kind\":\"x\",\"urgency\":10,\"share\":2,\"colour\":1}]}",
                   8, "/customers: ");
  expect_problems ("{\"environment\":\"a\",\"customers\":[{\"name\":\"c\"},{\"name\":\"c\"}],"
                   "\"classes\":[{\"name\":\"k\",\"kind\":\"request\",\"urgency\":0,"
                   "\"share\":0.7},{\"name\":\"l\",\"kind\":\"request\",\"urgency\":0,"
                   "\"share\":0.7}]}",
                   2, "/classes: found shares that sum to 1.4");
}

static void
count_timer (wheel_timer_t *timer, void *data)
{
  (void) timer;
  (*(int *) data)++;
}

static void
test_timers_fire_once (void)
{
  g_autofree timerwheel_t *wheel = g_new0 (timerwheel_t, 1);
  wheel_timer_t timers[3] = { { .due_us = 0 } };
  const gint64 revolution_us = (gint64) TIMERWHEEL_TICK_US * TIMERWHEEL_SLOTS;
  int fired_count = 0;

  timerwheel_init (wheel, 0);
  timerwheel_start (wheel, &timers[0], 10000);
  timerwheel_start (wheel, &timers[1], 10000 + revolution_us); /* same slot, one revolution later */
  timerwheel_start (wheel, &timers[2], 20000);
  timerwheel_stop (wheel, &timers[2]);
  timerwheel_advance (wheel, 9000, count_timer, &fired_count);
  CU_ASSERT_EQUAL (fired_count, 0);
  timerwheel_advance (wheel, 30000, count_timer, &fired_count);
  CU_ASSERT_EQUAL (fired_count, 1);
  /* A pause of several revolutions. */
  timerwheel_advance (wheel, 5 * revolution_us, count_timer, &fired_count);
  CU_ASSERT_EQUAL (fired_count, 2);
  CU_ASSERT_EQUAL (wheel->count, 0);
}

static void
test_lease_expiry_allows_for_clock_drift (void)
{
  const gint64 lease_us = 10 * G_USEC_PER_SEC;
  gint64 expiry_us = task_lease_expiry_us (0, lease_us);
  task_t task = { .state = TASK_RUNNING, .lease_until_us = expiry_us };

  /* The worker's clock may be up to 5 % slow, and the renewal may reach it late. */
  CU_ASSERT (expiry_us >= lease_us * 21 / 20);
  CU_ASSERT_FALSE (task_lease_is_expired (&task, expiry_us - 1));
  CU_ASSERT (task_lease_is_expired (&task, expiry_us));
}

static void
test_job_record_round_trip (void)
{
  g_autoptr (job_t) job = job_new (2);
  g_autofree char *text = NULL;
  g_autofree char *id = NULL;
  g_autofree char *job_id = NULL;
  g_autoptr (job_t) parsed = NULL;
  guint index = 0;
  guint attempt = 0;

  job->id = g_strdup ("j-1");
  job->zone = g_strdup ("z");
  job->environment = g_strdup ("e");
  job->class = g_strdup ("c");
  job->customer = g_strdup ("k");
  job->digest = g_strdup ("d");
  job->owner = g_strdup ("v");
  job->incarnation = g_strdup ("i");
  job->tasks[1].need.memory_mb = 77;
  job->tasks[1].attempt = 4;
  text = job_to_record (job, 9);
  parsed = job_from_record (text, -1);
  CU_ASSERT_PTR_NOT_NULL_FATAL (parsed);
  CU_ASSERT_EQUAL (parsed->task_count, 2);
  CU_ASSERT_EQUAL (parsed->tasks[1].need.memory_mb, 77);
  CU_ASSERT_EQUAL (parsed->tasks[1].state, TASK_RECOVERING);
  CU_ASSERT_PTR_NULL (job_from_record ("{}", -1));
  id = job_task_id (&job->tasks[1]);
  CU_ASSERT (job_parse_task_id (id, &job_id, &index, &attempt));
  CU_ASSERT_STRING_EQUAL (job_id, "j-1");
  CU_ASSERT (index == 1 && attempt == 4);
}

static void
test_descriptor_budget (void)
{
  static const guint limits[] = { 64, 65, 256, 1024, 4100, 20000, 1000000 };

  for (gsize i = 0; i < G_N_ELEMENTS (limits); i++)
    {
      descriptor_budget_t budget = descriptor_budget (limits[i]);
      guint sum = budget.customers + 2 * budget.readiness + 2 * budget.metrics + budget.vms
                  + budget.executors + budget.store + budget.advice + budget.files;

      CU_ASSERT_EQUAL (sum, limits[i]);
      CU_ASSERT_TRUE (budget.readiness >= 4 && budget.metrics >= 4 && budget.vms >= 4);
      CU_ASSERT_TRUE (budget.customers > budget.vms && budget.executors > budget.vms);
    }
  CU_ASSERT_EQUAL (descriptor_budget (4100).files, 200);
  CU_ASSERT_EQUAL (descriptor_limit (0, 4100), 4100);
  CU_ASSERT_EQUAL (descriptor_limit (1024, 0), 1024);
  CU_ASSERT_EQUAL (descriptor_limit (1024, 4100), 1024);
}

static void
test_memory_shares (void)
{
  gint64 share_bytes = memory_share_bytes (MEMORY_LINKS, 16);
  gint64 sum_bytes = 0;

  for (memory_share_t share = 0; share < MEMORY_SHARE_COUNT; share++)
    sum_bytes += memory_share_bytes (share, 16);
  CU_ASSERT (sum_bytes < 16 * 1024 * 1024);
  memory_set_limit_mb (16);
  /* One holder gets half, and leaves half of the rest to the next. */
  CU_ASSERT_FALSE (memory_take (MEMORY_LINKS, 0, share_bytes / 2 + 1));
  CU_ASSERT (memory_take (MEMORY_LINKS, 0, share_bytes / 4));
  CU_ASSERT (memory_take (MEMORY_LINKS, share_bytes / 4, share_bytes / 4));
  CU_ASSERT_FALSE (memory_take (MEMORY_LINKS, share_bytes / 2, 1));
  CU_ASSERT (memory_take (MEMORY_LINKS, 0, share_bytes / 4));
  CU_ASSERT (memory_take (MEMORY_STORE_ANSWERS, 0, share_bytes / 4));
  memory_give_back (MEMORY_LINKS, 3 * (share_bytes / 4));
  memory_give_back (MEMORY_STORE_ANSWERS, share_bytes / 4);
  CU_ASSERT_EQUAL (memory_used_bytes (MEMORY_LINKS), 0);
  memory_set_limit_mb (MEMORY_DEFAULT_MB);
}

int
main (void)
{
  CU_pSuite suite;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return 1;
  suite = CU_add_suite ("unit", NULL, NULL);
  CU_add_test (suite, "every error kind has consistent properties", test_error_properties);
  CU_add_test (suite, "histogram quantiles are within the bucket error", test_histogram_quantiles);
  CU_add_test (suite, "settings are read from flags and environment and are checked",
               test_settings);
  CU_add_test (suite, "values of switches are checked", test_switches);
  CU_add_test (suite, "settings without a value take their defaults", test_absent_settings);
  CU_add_test (suite, "numbers of settings may be fractions", test_numbers_of_settings);
  CU_add_test (suite, "messages of libraries are counted", test_library_messages);
  CU_add_test (suite, "slow turns of the loop are counted", test_slow_turns);
  CU_add_test (suite, "all problems of a document are listed at once", test_document_problems);
  CU_add_test (suite, "the shares of descriptors fit into any limit", test_descriptor_budget);
  CU_add_test (suite, "timers fire once, even after a long pause", test_timers_fire_once);
  CU_add_test (suite, "lease expiry allows for clock drift and late delivery",
               test_lease_expiry_allows_for_clock_drift);
  CU_add_test (suite, "a job record is read back as written, with its tasks recovering",
               test_job_record_round_trip);
  CU_add_test (suite, "one holder of memory leaves room for others", test_memory_shares);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  unsigned failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? 0 : 1;
}
