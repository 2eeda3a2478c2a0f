#include "cli/commands.h"

#include "base/histogram.h"
#include "base/json.h"
#include "cli/check.h"
#include "cli/client.h"
#include "cli/trace.h"
#include "operator/document_json.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

static const guint bar_max_width = 50;
static const guint job_poll_interval_ms = 100;

static char *
read_file (const char *path, error_info_t *error)
{
  g_autoptr (GError) problem = NULL;
  char *text = NULL;

  if (!g_file_get_contents (path, &text, NULL, &problem))
    (void) error_set (error, ERROR_BAD_SETTING, "%s", problem->message);
  return text;
}

/* Parses the environment file at `path` and prints every problem in it to standard error.
 * `*text` receives the contents. */
static environment_t *
check_file (const char *path, char **text, error_info_t *error)
{
  g_autoptr (GPtrArray) problems = g_ptr_array_new_with_free_func (g_free);
  environment_t *environment;

  *text = read_file (path, error);
  if (*text == NULL)
    return NULL;
  environment = document_parse_text (*text, -1, 0, problems);
  for (guint i = 0; i < problems->len; i++)
    (void) fprintf (stderr, "%s: %s\n", path, (const char *) g_ptr_array_index (problems, i));
  if (environment == NULL)
    (void) error_set (error, ERROR_BAD_DOCUMENT, "%s: %u errors in the environment", path,
                      problems->len);
  return environment;
}

static bool
run_env_check (char **arguments, const command_options_t *options, error_info_t *error)
{
  g_autofree char *text = NULL;
  g_autoptr (environment_t) environment = check_file (arguments[0], &text, error);

  (void) options;
  if (environment == NULL)
    return false;
  (void) printf ("%s: environment %s, %u classes, %u customers: valid\n", arguments[0],
                 environment->name, environment->class_count, environment->customer_count);
  return true;
}

static bool
run_env_apply (char **arguments, const command_options_t *options, error_info_t *error)
{
  g_autofree char *text = NULL;
  g_autoptr (environment_t) environment = check_file (arguments[0], &text, error);
  g_autoptr (client_t) client = client_new (options->operator_address);
  g_autofree char *writer = g_uri_escape_string (options->writer, NULL, FALSE);
  g_autofree char *path = NULL;
  g_autofree char *expected = NULL;
  g_autoptr (JsonNode) root = NULL;
  client_request_t request = { .method = "PUT", .body = text };

  if (environment == NULL)
    return false;
  expected = options->expected >= 0
                 ? g_strdup_printf ("&expected=%" G_GINT64_FORMAT, options->expected)
                 : g_strdup ("");
  path = g_strdup_printf ("/v1/environments/%s?writer=%s%s", environment->name, writer, expected);
  request.path = path;
  root = client_call_json (client, &request, error);
  if (root == NULL)
    return false;
  (void) printf ("%s: version %" G_GINT64_FORMAT "\n", environment->name,
                 json_get_int (json_node_get_object (root), "version", 0));
  return true;
}

/* Prints the response to a GET request unchanged. */
static bool
print_raw_get (const char *address, const char *path, error_info_t *error)
{
  g_autoptr (client_t) client = client_new (address);
  const client_request_t request = { .method = "GET", .path = path };
  g_autofree char *text = client_call (client, &request, NULL, error);

  if (text == NULL)
    return false;
  (void) printf ("%s\n", text);
  return true;
}

typedef void (*print_response_t) (JsonObject *response);

/* Prints the response to a GET request as text, or unchanged if `options->json` is set. */
static bool
get_and_print (const command_options_t *options,
               const char *path,
               print_response_t print_response,
               error_info_t *error)
{
  g_autoptr (client_t) client = client_new (options->operator_address);
  const client_request_t request = { .method = "GET", .path = path };
  g_autoptr (JsonNode) root = NULL;

  if (options->json)
    return print_raw_get (options->operator_address, path, error);
  root = client_call_json (client, &request, error);
  if (root == NULL)
    return false;
  print_response (json_node_get_object (root));
  return true;
}

static bool
run_env_get (char **arguments, const command_options_t *options, error_info_t *error)
{
  g_autofree char *path = g_strconcat ("/v1/environments/", arguments[0], NULL);

  return print_raw_get (options->operator_address, path, error);
}

static void
print_versions (JsonObject *response)
{
  JsonArray *environments;

  environments = json_get_array (response, "environments");
  (void) printf ("%-24s %8s  %s\n", "ENVIRONMENT", "VERSION", "IN FORCE SINCE");
  for (guint i = 0; environments != NULL && i < json_array_get_length (environments); i++)
    {
      JsonObject *object = json_array_get_object_element (environments, i);
      g_autoptr (GDateTime) since
          = g_date_time_new_from_unix_utc (json_get_int (object, "in_force_since_ms", 0) / 1000);
      g_autofree char *stamp = g_date_time_format_iso8601 (since);

      (void) printf ("%-24s %8" G_GINT64_FORMAT "  %s\n", json_get_string (object, "name", ""),
                     json_get_int (object, "version", 0), stamp);
    }
}

static bool
run_env_status (char **arguments, const command_options_t *options, error_info_t *error)
{
  (void) arguments;
  return get_and_print (options, "/v1/environments", print_versions, error);
}

static void
print_environment (JsonObject *environment)
{
  JsonArray *classes = json_get_array (environment, "classes");

  (void) printf (
      "environment %s version %" G_GINT64_FORMAT ": %" G_GINT64_FORMAT " of %" G_GINT64_FORMAT
      " executors, %" G_GINT64_FORMAT " slots\n",
      json_get_string (environment, "name", ""), json_get_int (environment, "version", 0),
      json_get_int (environment, "executors_usable", 0), json_get_int (environment, "executors", 0),
      json_get_int (environment, "slots", 0));
  (void) printf ("  admitted %" G_GINT64_FORMAT "  shed %" G_GINT64_FORMAT
                 "  sent %" G_GINT64_FORMAT "  retried %" G_GINT64_FORMAT
                 "  expired %" G_GINT64_FORMAT "\n",
                 json_get_int (environment, "admitted", 0), json_get_int (environment, "shed", 0),
                 json_get_int (environment, "sent", 0), json_get_int (environment, "retried", 0),
                 json_get_int (environment, "expired", 0));
  (void) printf ("  %-24s %-8s %7s %7s %7s\n", "CLASS", "KIND", "URGENCY", "QUEUED", "RUNNING");
  for (guint i = 0; classes != NULL && i < json_array_get_length (classes); i++)
    {
      JsonObject *class = json_array_get_object_element (classes, i);

      (void) printf ("  %-24s %-8s %7" G_GINT64_FORMAT " %7" G_GINT64_FORMAT " %7" G_GINT64_FORMAT
                     "\n",
                     json_get_string (class, "name", ""), json_get_string (class, "kind", ""),
                     json_get_int (class, "urgency", 0), json_get_int (class, "queued", 0),
                     json_get_int (class, "running", 0));
    }
}

static void
print_status (JsonObject *status)
{
  JsonObject *jobs = json_get_object (status, "jobs");
  JsonObject *platform = json_get_object (status, "platform");
  JsonArray *environments = json_get_array (status, "environments");

  (void) printf ("%s in zone %s: %s, seat %s (%" G_GINT64_FORMAT " in use), %" G_GINT64_FORMAT
                 " requests in progress\n",
                 json_get_string (status, "vm", ""), json_get_string (status, "zone", ""),
                 json_get_string (status, "state", ""),
                 json_get_int (status, "seats_held", 0) > 0 ? "held" : "not held",
                 json_get_int (status, "seats_used", 0), json_get_int (status, "in_progress", 0));
  (void) printf ("jobs: %" G_GINT64_FORMAT " open, %" G_GINT64_FORMAT
                 " tasks running, %" G_GINT64_FORMAT " workers in %" G_GINT64_FORMAT " racks\n",
                 json_get_int (jobs, "open", 0), json_get_int (jobs, "running_tasks", 0),
                 json_get_int (jobs, "workers", 0), json_get_int (jobs, "racks", 0));
  (void) printf ("key-value service: %" G_GINT64_FORMAT " calls, %" G_GINT64_FORMAT
                 " failed, %" G_GINT64_FORMAT " writes waiting\n",
                 json_get_int (platform, "calls", 0), json_get_int (platform, "failures", 0),
                 json_get_int (platform, "writes_waiting", 0));
  for (guint i = 0; environments != NULL && i < json_array_get_length (environments); i++)
    print_environment (json_array_get_object_element (environments, i));
}

static bool
run_status (char **arguments, const command_options_t *options, error_info_t *error)
{
  (void) arguments;
  return get_and_print (options, "/v1/status", print_status, error);
}

static bool
run_top (char **arguments, const command_options_t *options, error_info_t *error)
{
  const char *clear = "\033[H\033[2J";

  for (gint64 round = 0; options->rounds == 0 || round < options->rounds; round++)
    {
      if (round > 0)
        g_usleep ((gulong) options->interval_ms * 1000);
      (void) printf ("%s", clear);
      if (!run_status (arguments, options, error))
        return false;
      (void) fflush (stdout);
    }
  return true;
}

/* Prints one bar for each power of two, summing the finer buckets. */
static void
print_bars (JsonArray *buckets)
{
  gint64 counts[64] = { 0 };
  gint64 largest_count = 1;

  for (guint i = 0; buckets != NULL && i < json_array_get_length (buckets); i++)
    {
      JsonArray *bucket = json_array_get_array_element (buckets, i);
      guint64 upper = (guint64) json_array_get_int_element (bucket, 0);
      guint exponent = upper > 0 ? 64U - (guint) __builtin_clzll (upper) : 0;

      counts[exponent] += json_array_get_int_element (bucket, 1);
      largest_count = MAX (largest_count, counts[exponent]);
    }
  for (guint exponent = 0; exponent < G_N_ELEMENTS (counts); exponent++)
    {
      g_autofree char *bar = NULL;

      if (counts[exponent] == 0 || largest_count == 0)
        continue;
      bar = g_strnfill ((gsize) MAX (1, counts[exponent] * bar_max_width / largest_count), '#');
      (void) printf ("    < %10.3f ms %10" G_GINT64_FORMAT " %s\n",
                     (double) (G_GUINT64_CONSTANT (1) << exponent) / 1000.0, counts[exponent], bar);
    }
}

static void
print_histogram (JsonObject *latency, const char *name)
{
  JsonObject *histogram = json_get_object (latency, name);

  (void) printf ("  %s: %" G_GINT64_FORMAT " samples, p50 %.3f ms, p90 %.3f ms, p99 %.3f ms, "
                 "max %.3f ms\n",
                 name, json_get_int (histogram, "count", 0),
                 (double) json_get_int (histogram, "p50_us", 0) / 1000.0,
                 (double) json_get_int (histogram, "p90_us", 0) / 1000.0,
                 (double) json_get_int (histogram, "p99_us", 0) / 1000.0,
                 (double) json_get_int (histogram, "max_us", 0) / 1000.0);
  print_bars (json_get_array (histogram, "buckets"));
}

static void
print_latencies (JsonObject *response)
{
  JsonArray *latencies;

  latencies = json_get_array (response, "latencies");
  for (guint i = 0; latencies != NULL && i < json_array_get_length (latencies); i++)
    {
      JsonObject *latency = json_array_get_object_element (latencies, i);

      (void) printf ("%s %s %s\n", json_get_string (latency, "environment", ""),
                     json_get_string (latency, "class", ""),
                     json_get_string (latency, "customer", ""));
      print_histogram (latency, "waiting");
      print_histogram (latency, "service");
      print_histogram (latency, "total");
    }
}

static bool
run_histogram (char **arguments, const command_options_t *options, error_info_t *error)
{
  (void) arguments;
  return get_and_print (options, "/v1/histograms", print_latencies, error);
}

static const char *
get_header (SoupMessageHeaders *headers, const char *name, const char *fallback)
{
  const char *value = soup_message_headers_get_one (headers, name);

  return value != NULL ? value : fallback;
}

static bool
run_request (char **arguments, const command_options_t *options, error_info_t *error)
{
  g_autoptr (client_t) client = client_new (options->caller_address);
  g_autofree char *path
      = g_strdup_printf ("/v1/environments/%s/requests/%s", arguments[0], arguments[1]);
  g_autofree char *deadline = g_strdup_printf ("%" G_GINT64_FORMAT, options->deadline_ms);
  const char *headers[7] = { "Customer", options->customer, NULL };
  guint count = 2;
  client_request_t request
      = { .method = "POST", .path = path, .body = arguments[2], .headers = headers };
  SoupMessageHeaders *response = NULL;
  g_autofree char *text = NULL;

  if (options->key[0] != '\0')
    {
      headers[count++] = "Idempotency-Key";
      headers[count++] = options->key;
    }
  if (options->deadline_ms > 0)
    {
      headers[count++] = "Deadline-Ms";
      headers[count++] = deadline;
    }
  headers[count] = NULL;
  text = client_call (client, &request, &response, error);
  if (text == NULL)
    return false;
  (void) printf ("%s\n", text);
  (void) fprintf (stderr, "outcome=%s waited_us=%s service_us=%s replayed=%s\n",
                  get_header (response, "Mimosastair-Outcome", "unknown"),
                  get_header (response, "Mimosastair-Waited-Us", "0"),
                  get_header (response, "Mimosastair-Service-Us", "0"),
                  get_header (response, "Mimosastair-Replayed", "0"));
  soup_message_headers_unref (response);
  return true;
}

static void
print_job (JsonObject *job)
{
  JsonArray *tasks = json_get_array (job, "tasks");

  (void) printf ("%s: %s, environment %s, class %s, customer %s, owner %s\n",
                 json_get_string (job, "id", ""), json_get_string (job, "state", ""),
                 json_get_string (job, "environment", ""), json_get_string (job, "class", ""),
                 json_get_string (job, "customer", ""), json_get_string (job, "owner", ""));
  (void) printf ("  %-5s %-10s %-7s %9s %9s %6s  %s\n", "TASK", "STATE", "ATTEMPT", "CPU MILLI",
                 "MEMORY MB", "ACCEL", "WORKER");
  for (guint i = 0; tasks != NULL && i < json_array_get_length (tasks); i++)
    {
      JsonObject *task = json_array_get_object_element (tasks, i);

      (void) printf ("  %-5u %-10s %-7" G_GINT64_FORMAT " %9" G_GINT64_FORMAT " %9" G_GINT64_FORMAT
                     " %6" G_GINT64_FORMAT "  %s\n",
                     i, json_get_string (task, "state", ""), json_get_int (task, "attempt", 0),
                     json_get_int (task, "cpu_milli", 0), json_get_int (task, "memory_mb", 0),
                     json_get_int (task, "accelerators", 0), json_get_string (task, "worker", "-"));
    }
}

static void
show_job (JsonNode *root, bool json)
{
  g_autofree char *text = json ? json_node_to_text (root) : NULL;

  if (json)
    (void) printf ("%s\n", text);
  else
    print_job (json_node_get_object (root));
}

static bool
run_job_submit (char **arguments, const command_options_t *options, error_info_t *error)
{
  g_autoptr (client_t) client = client_new (options->caller_address);
  g_autofree char *path = g_strdup_printf ("/v1/environments/%s/jobs", arguments[0]);
  g_autofree char *text = read_file (arguments[1], error);
  const char *headers[] = { "Customer", options->customer, NULL, NULL, NULL };
  const client_request_t request
      = { .method = "POST", .path = path, .body = text, .headers = headers };
  g_autoptr (JsonNode) root = NULL;

  if (text == NULL)
    return false;
  if (options->key[0] != '\0')
    {
      headers[2] = "Idempotency-Key";
      headers[3] = options->key;
    }
  root = client_call_json (client, &request, error);
  if (root == NULL)
    return false;
  show_job (root, options->json);
  return true;
}

static JsonNode *
get_job (client_t *client, const char *id, error_info_t *error)
{
  g_autofree char *path = g_strconcat ("/v1/jobs/", id, NULL);
  const client_request_t request = { .method = "GET", .path = path };

  return client_call_json (client, &request, error);
}

static bool
run_job_show (char **arguments, const command_options_t *options, error_info_t *error)
{
  g_autoptr (client_t) client = client_new (options->caller_address);
  g_autoptr (JsonNode) root = get_job (client, arguments[0], error);

  if (root == NULL)
    return false;
  show_job (root, options->json);
  return true;
}

static bool
run_job_wait (char **arguments, const command_options_t *options, error_info_t *error)
{
  g_autoptr (client_t) client = client_new (options->caller_address);

  for (;;)
    {
      g_autoptr (JsonNode) root = get_job (client, arguments[0], error);
      const char *state;

      if (root == NULL)
        return false;
      state = json_get_string (json_node_get_object (root), "state", "");
      if (strcmp (state, "accepted") != 0)
        {
          show_job (root, options->json);
          if (strcmp (state, "finished") == 0)
            return true;
          return error_set (error, ERROR_REFUSED, "job %s ended in state %s", arguments[0], state);
        }
      g_usleep (job_poll_interval_ms * 1000);
    }
}

static bool
run_trace_show (char **arguments, const command_options_t *options, error_info_t *error)
{
  return trace_show (arguments[0], arguments + 1, g_strv_length (arguments + 1), options->json,
                     stdout, error);
}

static bool
run_trace_summary (char **arguments, const command_options_t *options, error_info_t *error)
{
  return trace_summary (arguments, g_strv_length (arguments), options->json, stdout, error);
}

static bool
run_trace_waits (char **arguments, const command_options_t *options, error_info_t *error)
{
  return trace_waits (arguments, g_strv_length (arguments), options->json, stdout, error);
}

static bool
run_check (char **arguments, const command_options_t *options, error_info_t *error)
{
  /* Otherwise a check without changes could pass for one that asked the VM. */
  if (options->against[0] == '\0'
      && strcmp (options->operator_address, COMMAND_OPERATOR_ADDRESS) != 0)
    (void) fprintf (stderr, "mimosastair: check asks no VM; compare with --against=FILE\n");
  return check_desired_file (arguments[0], options->against, options->json, stdout, error);
}

const command_t commands[] = {
  { "status", NULL, 0, "", "show the status of an entry VM", run_status, false },
  { "top", NULL, 0, "", "show the status repeatedly", run_top, false },
  { "histogram", NULL, 0, "", "show latency histograms per customer and class", run_histogram,
    false },
  { "check", NULL, 1, "FILE", "check a desired state offline, before it is submitted", run_check,
    false },
  { "env", "check", 1, "FILE", "validate an environment file offline", run_env_check, false },
  { "env", "apply", 1, "FILE", "apply an environment file", run_env_apply, false },
  { "env", "get", 1, "NAME", "print the version of an environment that is in force", run_env_get,
    false },
  { "env", "status", 0, "", "show the environment versions in force on an entry VM", run_env_status,
    false },
  { "job", "submit", 2, "ENVIRONMENT FILE", "submit a job", run_job_submit, false },
  { "job", "show", 1, "ID", "show a job", run_job_show, false },
  { "job", "wait", 1, "ID", "wait until a job ends and show it", run_job_wait, false },
  { "request", NULL, 3, "ENVIRONMENT CLASS JSON", "send a request and print the response",
    run_request, false },
  { "trace", "show", 1, "ID [FILE...]", "show the log events of a job, task, executor or VM",
    run_trace_show, true },
  { "trace", "summary", 0, "[FILE...]", "count the outcomes in the logs and show the worst seconds",
    run_trace_summary, true },
  { "trace", "waits", 0, "[FILE...]", "show how long gangs of each width waited, and for what",
    run_trace_waits, true },
  { NULL, NULL, 0, NULL, NULL, NULL, false },
};
