/* What the tests on a main loop share: waiting, and running one suite. */
#pragma once

#include "base/log.h"

#include <CUnit/Basic.h>
#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>

typedef struct
{
  const char *name;
  void (*run) (void);
} test_case_t;

static inline gboolean
run_stop_waiting (gpointer data)
{
  *(bool *) data = true;
  return G_SOURCE_REMOVE;
}

static inline void
run_wait_ms (guint ms)
{
  bool is_over = false;

  g_timeout_add (ms, run_stop_waiting, &is_over);
  while (!is_over)
    g_main_context_iteration (NULL, TRUE);
}

/* Waits until the condition holds; false after so long that a busy machine is no excuse. */
static inline bool
run_wait_until (bool (*holds) (void *data), void *data)
{
  gint64 end_us = g_get_monotonic_time () + 20 * G_USEC_PER_SEC;

  while (!holds (data))
    {
      if (g_get_monotonic_time () > end_us)
        return false;
      run_wait_ms (2);
    }
  return true;
}

/* Exit status of the test program. */
static inline int
run_suite (const char *name, const test_case_t *tests, guint count)
{
  CU_pSuite suite;
  unsigned failures;

  if (CU_initialize_registry () != CUE_SUCCESS || !log_init ("error"))
    return EXIT_FAILURE;
  suite = CU_add_suite (name, NULL, NULL);
  for (guint i = 0; i < count; i++)
    CU_add_test (suite, tests[i].name, tests[i].run);
  CU_basic_set_mode (CU_BRM_VERBOSE);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
