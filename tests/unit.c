/* Unit tests of errors, histograms, settings, environment documents, timers and job records. */
#include "base/error.h"
#include "base/histogram.h"
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
} test_settings_t;

/* Loads the settings of a small program from one argument, or from none when it is NULL. */
static bool
load_settings (test_settings_t *values, const char *argument, error_info_t *error)
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
                                   .help = "a share" } };
  char program[] = "test";
  g_autofree char *copy = g_strdup (argument);
  char *argv[] = { program, copy, NULL };
  settings_result_t result;

  return settings_load (settings, G_N_ELEMENTS (settings), argument != NULL ? 2 : 1, argv, &result,
                        error);
}

static void
test_settings (void)
{
  static const char *const bad[]
      = { "--count=0",    "--count=10",      "--count=two",        "--name=",
          "--name=abcde", "--listen=nohost", "--listen=host.x:80", "--listen=1.2.3.4:99999",
          "--unknown=1",  "--share=0.009",   "--share=4.1",        "--share=1,5",
          "--share=nan",  "--share=" };
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
  g_free (values.text);
  g_free (values.address);
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
  CU_add_test (suite, "all problems of a document are listed at once", test_document_problems);
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
