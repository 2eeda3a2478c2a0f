/* Runs on an executor whose address another one has taken over. */
#include "harness.h"
#include "scheduler_fixture.h"

static void
list_at (fixture_t *fixture, const char *id, gint64 born)
{
  executor_entry_t entry = {
    .id = id,
    .address = "10.0.0.1:8000",
    .service = "s",
    .zone = "z",
    .capacity = { .cpu_milli = 4000, .mem_mb = 1000 },
    .born = born,
  };

  scheduler_executor_listed (fixture->scheduler, &entry, fixture->now_us);
  report (fixture, id, born, 0, NULL, 0, NULL, 0);
}

/* Guards against work that waits for an executor which is known to be gone (LOST): another executor
 * answers at its address, so the run starts again at once and not when the lease has expired. */
static void
test_lost_run_of_replaced_executor (void)
{
  fixture_t *fixture = fixture_new (0, 0);
  executor_report_t unreachable = { .executor = "e1" };
  const issued_order_t *start;

  list_at (fixture, "e1", 1);
  add_job (fixture, make_job_spec (1, 1, 1000), false);
  step (fixture);
  start = expect_issued (fixture, 's');
  CU_ASSERT_STRING_EQUAL (start->executor, "e1");
  scheduler_order_result (fixture->scheduler, start->order, ORDER_OK, fixture->now_us);
  fixture->now_us += 1000 * MS;
  scheduler_executor_report (fixture->scheduler, &unreachable, fixture->now_us);
  fixture->now_us += 500 * MS;
  list_at (fixture, "e2", 2);
  fixture->now_us += 300 * MS;
  step (fixture);
  start = next_issued (fixture, 's');
  CU_ASSERT_PTR_NOT_NULL (start);
  if (start != NULL)
    CU_ASSERT_STRING_EQUAL (start->executor, "e2");
  fixture_free (fixture);
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "LOST: a run on a replaced executor starts again at once",
      test_lost_run_of_replaced_executor },
  };

  return run_suite ("replaced_executor", tests, G_N_ELEMENTS (tests));
}
