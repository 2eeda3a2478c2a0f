/* Whole entry daemons against a store that turns one of them away while the desired state
 * changes.  CONFIG: a route that was added must be served within seconds of its confirmation. */
#include "harness.h"
#include "http_store.h"

#include "base/clock.h"
#include "base/http_call.h"
#include "base/http_client.h"
#include "entry/entry.h"
#include "platform/documents.h"

enum
{
  APPLY_MS = 2000, /* bound on the time from the confirmation of a version to its use */
  CALL_TIMEOUT_MS = 1500,
  POLL_MS = 20
};

/* An entry daemon.  It is never freed, like one that has run. */
typedef struct
{
  http_store_t *store;
  entry_options_t options;
  entry_t *entry;
} vm_t;

static fake_service_t *service;
static store_t *operator_store;
static SoupSession *session;
static vm_t vms[2];
static guint version;

static char *
free_address (void)
{
  g_autoptr (GSocketListener) listener = g_socket_listener_new ();

  return g_strdup_printf ("127.0.0.1:%u",
                          g_socket_listener_add_any_inet_port (listener, NULL, NULL));
}

static void
vm_start (vm_t *vm, const char *name)
{
  error_info_t error = { .kind = ERROR_NONE };

  vm->store = http_store_new (service);
  vm->options = (entry_options_t){
    .vm = g_strdup (name),
    .zone = g_strdup ("z"),
    .listen = free_address (),
    .ready_listen = free_address (),
    .peer_listen = free_address (),
    .metrics_listen = free_address (),
    .store = g_strdup (http_store_address (vm->store)),
    .advice = g_strdup (""),
    .domain = g_strdup ("all"),
    .cpu_milli = 250,
    .hold_ms = 5000,
    .hold_max_ms = 6000,
    .gang_wait_ms = 3000,
    .remote_factor_milli = 1500,
    .claim_ttl_ms = 2000,
    .max_connections = 100,
    .drain_delay_ms = 100,
    .drain_timeout_ms = 1000,
  };
  vm->entry = entry_new (&vm->options, &error);
  CU_ASSERT_PTR_NOT_NULL_FATAL (vm->entry);
}

static void
note_written (const store_reply_t *reply, void *data)
{
  *(bool *) data = reply->status == STORE_DONE;
}

static bool
is_set (void *data)
{
  return *(const bool *) data;
}

/* Writes the next version, which has the routes /q1/ ... /qN/. */
static void
change_desired_state (guint routes)
{
  g_autoptr (GString) text = g_string_new (NULL);
  store_write_t write = { .key = documents_desired_key };
  bool is_written = false;

  g_string_append_printf (text, "{\"version\":%u,\"services\":[{\"name\":\"s\"}],\"routes\":[",
                          ++version);
  for (guint i = 1; i <= routes; i++)
    g_string_append_printf (text,
                            "%s{\"name\":\"q%u\",\"host\":\"h.example\",\"prefix\":\"/q%u/\","
                            "\"service\":\"s\"}",
                            i > 1 ? "," : "", i, i);
  g_string_append (text, "]}");
  write.value = (const guint8 *) text->str;
  write.value_bytes = text->len;
  operator_store->calls->txn (operator_store, NULL, 0, &write, 1, note_written, &is_written);
  CU_ASSERT_TRUE_FATAL (loop_run_until (is_set, &is_written));
}

typedef struct
{
  bool is_done;
  guint status;
} response_t;

static void
responded (const http_result_t *result, void *data)
{
  response_t *response = data;

  response->status = result->status;
  response->is_done = true;
}

/* Returns the status with which the VM answers a GET of the route. */
static guint
get_route (const vm_t *vm, guint route)
{
  g_autofree char *path = g_strdup_printf ("/q%u/", route);
  http_call_t call = { .method = "GET",
                       .address = vm->options.listen,
                       .path = path,
                       .header = "Host",
                       .header_value = "h.example",
                       .timeout_ms = CALL_TIMEOUT_MS };
  response_t response = { .is_done = false };

  http_call (session, &call, responded, &response);
  (void) loop_run_until (is_set, &response.is_done);
  return response.status;
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
  service = fake_service_new ();
  operator_store = fake_store_new (service);
  session = http_session_new (8, 0, 30);
  change_desired_state (1);
  vm_start (&vms[0], "a");
  loop_run_ms (1000); /* the first VM becomes the leader */
  vm_start (&vms[1], "b");
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
