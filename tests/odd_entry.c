/* Text from outside: whatever another writer left among the entries of the executors, or a client,
 * an executor or an operator sends, the VMs that read it go on, and so do the other executors. */
#include "entry_fixture.h"
#include "fake_executor.h"

#include "base/address.h"
#include "base/http_call.h"
#include "base/json.h"
#include "base/json_check.h"

enum
{
  BORN = 1000,
  NESTED_BYTES = 200 * 1000,
  SETTLE_MS = 300 /* an executor is assigned and called within this time */
};

static fake_executor_t *executor;

static bool
is_called (void *data)
{
  return fake_executor_holds (executor) > *(const guint *) data;
}

/* Starts a daemon and an executor that it calls. */
static void
start (void)
{
  guint none = 0;

  if (executor != NULL)
    return;
  (void) entry_fixture_vm (0);
  executor = fake_executor_new (BORN);
  put_executor ("e", fake_executor_address (executor), BORN, "z", "\"a\"");
  CU_ASSERT_TRUE_FATAL (loop_run_until (is_called, &none));
}

/* The process ends with SIGSEGV if it fails. */
static void
check_lives (const char *id)
{
  guint before;

  loop_run_ms (SETTLE_MS);
  before = fake_executor_holds (executor);
  CU_ASSERT_TRUE (loop_run_until (is_called, &before));
  delete_executor (id);
}

static const char *const bad_addresses[] = { "",
                                             ":8080",
                                             "127.0.0.1",
                                             "127.0.0.1:",
                                             "127.0.0.1:0",
                                             "[::1]",
                                             "127.0.0.1:x",
                                             "127.0.0.1:-1",
                                             "127.0.0.1:+80",
                                             "127.0.0.1: 80",
                                             "::1:8080",
                                             "[127.0.0.1]:1",
                                             "127.0.0.1:65536",
                                             "127.0.0.1:8080,127.0.0.1:8081",
                                             "host:8080",
                                             "a b:8080",
                                             "[::1:8080",
                                             "127.0.0.1:80/x",
                                             "x@127.0.0.1:80",
                                             "256.0.0.1:1" };

static void
test_addresses (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (bad_addresses); i++)
    CU_ASSERT_FALSE (address_is_callable (bad_addresses[i]));
  CU_ASSERT_TRUE (address_is_callable ("127.0.0.1:65535"));
  CU_ASSERT_TRUE (address_is_callable ("[::1]:1"));
}

static bool
is_entry (const char *id, const char *text)
{
  registry_entry_t entry;
  error_info_t error = { .kind = ERROR_NONE };
  bool is_valid = documents_parse_executor (id, text, strlen (text), &entry, &error);

  registry_entry_clear (&entry);
  CU_ASSERT_EQUAL (is_valid, error.kind == ERROR_NONE);
  return is_valid;
}

/* Such an entry names no executor. */
static void
test_entries_with_bad_addresses (void)
{
  for (guint i = 0; i < G_N_ELEMENTS (bad_addresses); i++)
    {
      g_autofree char *text = executor_text (bad_addresses[i], BORN, "z", "\"a\"");

      CU_ASSERT_FALSE (is_entry ("odd", text));
    }
}

/* Fault: an entry whose address makes no URL ended each VM that was given the executor. */
static void
test_fault_address_without_host (void)
{
  start ();
  for (guint i = 0; i < G_N_ELEMENTS (bad_addresses); i++)
    {
      put_executor ("odd", bad_addresses[i], BORN, "z", "\"a\"");
      check_lives ("odd");
    }
}

/* ---- Numbers and nesting. */

static char *
nested_text (const char *open, guint count)
{
  GString *text = g_string_new (NULL);

  for (guint i = 0; i < count; i++)
    g_string_append (text, open);
  return g_string_free (text, FALSE);
}

static void
test_json_check (void)
{
  static const struct
  {
    const char *text;
    json_check_result_t result;
  } cases[] = {
    { "{\"a\":[1,-2.5e3,true,false,null,\"x\\u0001\\n\"]}", JSON_CHECK_OK },
    { "{\"a\":9223372036854775807,\"b\":-9223372036854775808}", JSON_CHECK_OK },
    { "{\"a\":9223372036854775808}", JSON_CHECK_NUMBER_RANGE },
    { "{\"a\":1e999}", JSON_CHECK_NUMBER_RANGE },
    { "{\"a\":0x10}", JSON_CHECK_MALFORMED },
    { "{\"a\":01}", JSON_CHECK_MALFORMED },
    { "{\"a\":1.}", JSON_CHECK_MALFORMED },
    { "{'a':1}", JSON_CHECK_MALFORMED },
    { "{\"a\":1}/*\"*/", JSON_CHECK_MALFORMED },
    { "var x = {}", JSON_CHECK_MALFORMED },
    { "{}}", JSON_CHECK_MALFORMED },
    { "\"a", JSON_CHECK_BAD_STRING },
    { "\"a\n\"", JSON_CHECK_BAD_STRING },
    { "\"\\x\"", JSON_CHECK_BAD_STRING },
    { "\"\\u12\"", JSON_CHECK_BAD_STRING },
    { "\"a\\ud800b\"", JSON_CHECK_BAD_STRING },
    { "\"a\\udc00b\"", JSON_CHECK_BAD_STRING },
    { "\"a\\ud83d\\u0041\"", JSON_CHECK_BAD_STRING },
    { "\"a\\ud83d\\ude00b\"", JSON_CHECK_OK },
    { "\"\\", JSON_CHECK_BAD_STRING },
    { "\"a\\u0000\"", JSON_CHECK_NUL },
  };
  g_autofree char *deepest = nested_text ("[", JSON_DEPTH_MAX);
  g_autofree char *deeper = nested_text ("[", JSON_DEPTH_MAX + 1);
  g_autofree char *many_values = nested_text ("0,", JSON_VALUES_MAX + 1);

  for (guint i = 0; i < G_N_ELEMENTS (cases); i++)
    CU_ASSERT_EQUAL (json_check_text (cases[i].text, strlen (cases[i].text)), cases[i].result);
  CU_ASSERT_EQUAL (json_check_text (deepest, JSON_DEPTH_MAX), JSON_CHECK_OK);
  CU_ASSERT_EQUAL (json_check_text (deeper, JSON_DEPTH_MAX + 1), JSON_CHECK_TOO_DEEP);
  CU_ASSERT_EQUAL (json_check_text ("{}\0[", 4), JSON_CHECK_MALFORMED);
  CU_ASSERT_EQUAL (json_check_text (many_values, 2 * JSON_VALUES_MAX), JSON_CHECK_OK);
  CU_ASSERT_EQUAL (json_check_text (many_values, 2 * JSON_VALUES_MAX + 1),
                   JSON_CHECK_TOO_MANY_VALUES);
}

/* Values that the library would wrap or cut off name no executor either. */
static void
test_entries_with_bad_values (void)
{
  static const char format[]
      = "{\"service\":\"s\",\"address\":\"127.0.0.1:1\",\"zone\":\"z\",\"state\":\"ready\","
        "\"capacity\":{\"cpu\":%s,\"mem-mb\":1,\"gpu\":0},\"labels\":%s,\"born\":%s}";
  static const char *const bad_numbers[] = {
    "-1",  "1.5", "\"1\"", "[1]", "1e999", "1e300", "99999999999999999999", "18446744073709551616",
    "null"
  };
  static const char *const bad_labels[] = { "{}", "\"a\"", "[1]", "[\"a\",null]", "null" };
  g_autofree char *good = g_strdup_printf (format, "4000.0", "[\"a\",\"r\"]", "1");

  CU_ASSERT_TRUE (is_entry ("e", good));
  CU_ASSERT_FALSE (is_entry ("e\r\nX: y", good));
  CU_ASSERT_FALSE (is_entry ("e e", good));
  CU_ASSERT_FALSE (is_entry ("", good));
  for (guint i = 0; i < G_N_ELEMENTS (bad_numbers); i++)
    {
      g_autofree char *cpu = g_strdup_printf (format, bad_numbers[i], "[]", "1");
      g_autofree char *born = g_strdup_printf (format, "1", "[]", bad_numbers[i]);

      CU_ASSERT_FALSE (is_entry ("e", cpu));
      CU_ASSERT_FALSE (is_entry ("e", born));
    }
  for (guint i = 0; i < G_N_ELEMENTS (bad_labels); i++)
    {
      g_autofree char *labels = g_strdup_printf (format, "1", bad_labels[i], "1");

      CU_ASSERT_FALSE (is_entry ("e", labels));
    }
}

/* Fault: the parser of each VM that read the list ended its process. */
static void
test_fault_nested_entry (void)
{
  g_autofree char *arrays = nested_text ("[", NESTED_BYTES);
  g_autofree char *objects = nested_text ("{\"a\":", NESTED_BYTES / 5);
  g_autofree char *key = g_strconcat (documents_registry_prefix, "odd", NULL);

  start ();
  write_key (key, arrays);
  check_lives ("odd");
  write_key (key, objects);
  check_lives ("odd");
}

/* Submits a job to the VM; returns the status. */
static guint
post_job (const char *body)
{
  return entry_fixture_request (entry_fixture_vm (0), "POST", "/q1/00000000000000bb", body);
}

/* Fault: one client's body ended the process. */
static void
test_fault_nested_job (void)
{
  g_autofree char *nested = nested_text ("[", NESTED_BYTES);
  g_autofree char *spec = g_strconcat ("{\"spec\":", nested, NULL);
  g_autofree char *steps = g_strconcat ("{\"job-steps\":", nested, NULL);

  start ();
  CU_ASSERT_EQUAL (post_job (nested), 400);
  CU_ASSERT_EQUAL (post_job (spec), 400);
  CU_ASSERT_EQUAL (post_job (steps), 400);
  CU_ASSERT_EQUAL (post_job ("{\"spec\":\"a\\u0000b\",\"job-steps\":[{\"count\":1,\"cpu\":1}]}"),
                   400);
  CU_ASSERT_EQUAL (post_job ("{\"spec\":\"a\",\"job-steps\":[{\"count\":1,\"cpu\":1}]}"), 200);
}

/* Fault: one executor's answers ended each VM that called it. */
static void
test_fault_nested_answer (void)
{
  g_autofree char *nested = nested_text ("[", NESTED_BYTES);
  g_autofree char *running = g_strconcat ("{\"running\":", nested, NULL);
  fake_executor_t *odd = fake_executor_new (BORN);

  start ();
  put_executor ("odd", fake_executor_address (odd), BORN, "z", "\"a\"");
  fake_executor_set_answer (odd, nested);
  loop_run_ms (SETTLE_MS);
  fake_executor_set_answer (odd, running);
  check_lives ("odd");
}

/* A desired state that cannot be read leaves the former one in force. */
static void
test_fault_nested_desired_state (void)
{
  g_autofree char *nested = nested_text ("[", NESTED_BYTES);

  start ();
  write_key (documents_desired_key, nested);
  loop_run_ms (SETTLE_MS);
  CU_ASSERT_EQUAL (post_job ("{\"spec\":\"a\",\"job-steps\":[{\"count\":1,\"cpu\":1}]}"), 200);
  change_desired_state (1);
}

/* The library writes U+001F as it is: an order with it could not be read. */
static void
test_text_is_carried_whole (void)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autofree char *text = NULL;
  g_autoptr (JsonNode) root = NULL;
  char all[0x80];

  for (guint c = 1; c < sizeof all; c++)
    all[c - 1] = (char) c;
  all[sizeof all - 1] = '\0';
  json_builder_begin_object (builder);
  json_put_string (builder, "spec", all);
  json_builder_end_object (builder);
  text = json_builder_to_string (builder);
  root = json_parse_object (text, -1, NULL);
  CU_ASSERT_PTR_NOT_NULL_FATAL (root);
  CU_ASSERT_STRING_EQUAL (json_get_string (json_node_get_object (root), "spec", ""), all);
}

/* The library writes 5e+97.0: a document with such a number could not be read again. */
static void
test_large_fractions_are_written_as_json (void)
{
  g_autoptr (JsonNode) root
      = json_parse_object ("{\"e\":5e97,\"f\":[1e-30,\"2e+3.0\",7.0]}", -1, NULL);
  g_autofree char *text = json_node_to_text (root);
  g_autoptr (JsonNode) again = json_parse_object (text, -1, NULL);

  CU_ASSERT_PTR_NOT_NULL_FATAL (again);
  CU_ASSERT_TRUE (json_node_equal (root, again));
}

int
main (void)
{
  static const test_case_t tests[] = {
    { "addresses", test_addresses },
    { "entries_with_bad_addresses", test_entries_with_bad_addresses },
    { "fault_address_without_host", test_fault_address_without_host },
    { "json_check", test_json_check },
    { "entries_with_bad_values", test_entries_with_bad_values },
    { "fault_nested_entry", test_fault_nested_entry },
    { "fault_nested_job", test_fault_nested_job },
    { "fault_nested_answer", test_fault_nested_answer },
    { "fault_nested_desired_state", test_fault_nested_desired_state },
    { "text_is_carried_whole", test_text_is_carried_whole },
    { "large_fractions_are_written_as_json", test_large_fractions_are_written_as_json },
  };

  return run_suite ("odd_entry", tests, G_N_ELEMENTS (tests));
}
