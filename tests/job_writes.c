/* Ids of jobs that a VM may have stored, which it must not refuse as not stored. */
#include "decide/job_writes.h"
#include "harness.h"

enum
{
  MAX_IDS = 3
};

static const gint64 s = G_USEC_PER_SEC;
static const char *const ids[]
    = { "0000000000000001", "0000000000000002", "0000000000000003", "0000000000000004" };

/* Guards against a refusal while a write is open or may still be carried out, and against an id
 * that is never refused again. */
static void
test_outcomes (void)
{
  job_writes_t *writes = job_writes_new (MAX_IDS);

  CU_ASSERT_FALSE (job_writes_may_be_stored (writes, ids[0], 0));
  job_writes_begin (writes, ids[0], 1 * s);
  CU_ASSERT_TRUE (job_writes_may_be_stored (writes, ids[0], 60 * s));
  CU_ASSERT_FALSE (job_writes_may_be_stored (writes, ids[1], 60 * s));
  job_writes_end (writes, ids[0], false, 2 * s);
  CU_ASSERT_FALSE (job_writes_may_be_stored (writes, ids[0], 2 * s));
  job_writes_begin (writes, ids[0], 3 * s);
  job_writes_end (writes, ids[0], true, 4 * s);
  CU_ASSERT_TRUE (job_writes_may_be_stored (writes, ids[0], 16 * s - 1));
  CU_ASSERT_FALSE (job_writes_may_be_stored (writes, ids[0], 16 * s));
  job_writes_free (writes);
}

/* Guards against the outcome of one write that is taken for that of another one for the same id. */
static void
test_two_writes (void)
{
  job_writes_t *writes = job_writes_new (MAX_IDS);

  job_writes_begin (writes, ids[0], 0);
  job_writes_begin (writes, ids[0], 1 * s);
  job_writes_end (writes, ids[0], false, 2 * s);
  CU_ASSERT_TRUE (job_writes_may_be_stored (writes, ids[0], 2 * s));
  job_writes_end (writes, ids[0], true, 3 * s);
  job_writes_begin (writes, ids[0], 4 * s);
  job_writes_end (writes, ids[0], false, 5 * s);
  CU_ASSERT_TRUE (job_writes_may_be_stored (writes, ids[0], 5 * s));
  CU_ASSERT_FALSE (job_writes_may_be_stored (writes, ids[0], 15 * s));
  job_writes_free (writes);
}

/* Guards against a table that grows without bound, drops more than the oldest id, or counts ids
 * that have expired. */
static void
test_bound (void)
{
  job_writes_t *writes = job_writes_new (MAX_IDS);

  for (guint i = 0; i < MAX_IDS; i++)
    job_writes_begin (writes, ids[i], i * s);
  job_writes_end (writes, ids[0], true, 3 * s);
  CU_ASSERT_EQUAL (job_writes_dropped_count (writes), 0);
  job_writes_begin (writes, ids[3], 4 * s);
  CU_ASSERT_EQUAL (job_writes_dropped_count (writes), 1);
  CU_ASSERT_TRUE (job_writes_may_be_stored (writes, ids[0], 4 * s));
  CU_ASSERT_FALSE (job_writes_may_be_stored (writes, ids[1], 4 * s));
  CU_ASSERT_TRUE (job_writes_may_be_stored (writes, ids[2], 4 * s));
  CU_ASSERT_TRUE (job_writes_may_be_stored (writes, ids[3], 4 * s));
  /* The write of an id that was dropped has no answer. */
  job_writes_end (writes, ids[1], true, 5 * s);
  CU_ASSERT_TRUE (job_writes_may_be_stored (writes, ids[1], 5 * s));
  CU_ASSERT_EQUAL (job_writes_dropped_count (writes), 2);
  job_writes_end (writes, ids[0], false, 5 * s);
  job_writes_end (writes, ids[3], false, 5 * s);
  job_writes_begin (writes, ids[0], 20 * s);
  job_writes_begin (writes, ids[2], 20 * s);
  job_writes_begin (writes, ids[3], 20 * s);
  CU_ASSERT_EQUAL (job_writes_dropped_count (writes), 2);
  job_writes_free (writes);
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "outcomes", test_outcomes },
    { "two_writes", test_two_writes },
    { "bound", test_bound },
  };

  return run_suite ("job_writes", tests, G_N_ELEMENTS (tests));
}
