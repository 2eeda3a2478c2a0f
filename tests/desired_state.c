/* Whole entry daemons against a store that turns one of them away while the desired state
 * changes.  CONFIG: a route that was added must be served within seconds of its confirmation. */
#include "entry_fixture.h"

enum
{
  APPLY_MS = 2000, /* bound on the time from the confirmation of a version to its use */
  POLL_MS = 20
};

/* Returns the status with which the VM answers a GET of the route. */
static guint
get_route (const vm_t *vm, guint route)
{
  g_autofree char *path = g_strdup_printf ("/q%u/", route);

  return entry_fixture_request (vm, "GET", path, NULL);
}

/* Asks until the VM answers with `status`; returns the last answer after `ms` milliseconds. */
static guint
wait_for_status (const vm_t *vm, guint route, guint status, guint ms)
{
  gint64 end_us = clock_now_us () + (gint64) ms * 1000;
  guint answer = get_route (vm, route);

  while (answer != status && clock_now_us () < end_us)
    {
      loop_run_ms (POLL_MS);
      answer = get_route (vm, route);
    }
  return answer;
}

static void
start_vms (void)
{
  if (vms[0].entry != NULL)
    return;
  (void) entry_fixture_vm (0);
  (void) entry_fixture_vm (1);
  CU_ASSERT_EQUAL_FATAL (wait_for_status (&vms[0], 1, 200, 10 * 1000), 200);
  CU_ASSERT_EQUAL_FATAL (wait_for_status (&vms[1], 1, 200, 10 * 1000), 200);
}

/* The store refuses or ignores one VM, which goes on serving through the leader. */
static void
check_turned_away (http_store_mode_t mode, guint route)
{
  start_vms ();
  http_store_set_mode (vms[1].store, mode);
  loop_run_ms (500);
  change_desired_state (route);
  CU_ASSERT_EQUAL (wait_for_status (&vms[0], route, 200, APPLY_MS), 200);
  CU_ASSERT_EQUAL (wait_for_status (&vms[1], route, 200, APPLY_MS), 200);
  http_store_set_mode (vms[1].store, HTTP_STORE_SERVES);
}

static void
test_config_added_route_refused_while_store_refuses_vm (void)
{
  check_turned_away (HTTP_STORE_REFUSES, 2);
}

static void
test_config_added_route_refused_while_store_is_silent (void)
{
  check_turned_away (HTTP_STORE_SILENT, 3);
}

/* A VM that reaches neither the store nor a leader cannot know that a route does not exist. */
static void
test_config_not_found_without_confirmation (void)
{
  start_vms ();
  CU_ASSERT_EQUAL (wait_for_status (&vms[1], 1, 200, 10 * 1000), 200);
  CU_ASSERT_EQUAL (get_route (&vms[1], 9), 404);
  http_store_set_mode (vms[0].store, HTTP_STORE_SILENT);
  http_store_set_mode (vms[1].store, HTTP_STORE_SILENT);
  CU_ASSERT_EQUAL (wait_for_status (&vms[1], 9, 503, 2 * APPLY_MS), 503);
  change_desired_state (9);
  http_store_set_mode (vms[0].store, HTTP_STORE_SERVES);
  http_store_set_mode (vms[1].store, HTTP_STORE_SERVES);
  CU_ASSERT_EQUAL (wait_for_status (&vms[1], 9, 200, 10 * 1000), 200);
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "config_added_route_refused_while_store_refuses_vm",
      test_config_added_route_refused_while_store_refuses_vm },
    { "config_added_route_refused_while_store_is_silent",
      test_config_added_route_refused_while_store_is_silent },
    { "config_not_found_without_confirmation", test_config_not_found_without_confirmation },
  };

  return run_suite ("desired_state", tests, G_N_ELEMENTS (tests));
}
