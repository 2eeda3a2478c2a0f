#include "caller/caller_api.h"

#include "caller/job_json.h"

#include <string.h>

struct callers
{
  http_server_t *server;
  requests_t *requests;
  jobs_t *jobs;
  callers_ready_t ready;
  void *data;
};

/* One request while it is in progress. */
typedef struct
{
  callers_t *callers;
  http_request_t *http;
  guint64 id;
} exchange_t;

static const gsize key_length_max = 128;
static const gint64 deadline_ms_max = 600000;
static const char *const json_type = "application/json";

static void
fail (http_request_t *http, const error_info_t *error)
{
  http_respond_error (http, error, error_answer (error->kind)->outcome, 0);
}

static void
fail_with (http_request_t *http, error_kind_t kind, const char *reason)
{
  error_info_t error;

  (void) error_set (&error, kind, "%s", reason);
  fail (http, &error);
}

static void
respond_result (http_request_t *http, const reply_message_t *reply)
{
  g_autofree char *waited = g_strdup_printf ("%" G_GINT64_FORMAT, reply->waited_us);
  g_autofree char *service = g_strdup_printf ("%" G_GINT64_FORMAT, reply->service_us);
  const http_header_t headers[] = { { "Mimosastair-Outcome", "result" },
                                    { "Mimosastair-Waited-Us", waited },
                                    { "Mimosastair-Service-Us", service },
                                    { "Mimosastair-Replayed", "1" } };

  http_respond (http, reply->http_status,
                reply->content_type != NULL ? reply->content_type : json_type, reply->body, headers,
                reply->replayed ? 4 : 3);
}

static void
replied (const reply_message_t *reply, void *data)
{
  exchange_t *exchange = data;

  if (reply->error.kind == ERROR_NONE)
    respond_result (exchange->http, reply);
  else
    http_respond_error (exchange->http, &reply->error, reply->outcome, reply->retry_after_ms);
  g_free (exchange);
}

/* The request is dropped if it still waits; its caller hears nothing either way. */
static void
caller_gone (void *data)
{
  exchange_t *exchange = data;

  requests_abandon (exchange->callers->requests, exchange->id);
  fail_with (exchange->http, ERROR_DEADLINE_PASSED, "the caller went away");
  g_free (exchange);
}

static bool
is_key (const char *text)
{
  gsize length = strlen (text);

  if (length == 0 || length > key_length_max)
    return false;
  for (gsize i = 0; i < length; i++)
    {
      if (!g_ascii_isalnum (text[i]) && strchr ("-_.:", text[i]) == NULL)
        return false;
    }
  return true;
}

static bool
read_key (http_request_t *http, const char **key, error_info_t *error)
{
  *key = http_request_header (http, "Idempotency-Key");
  if (*key == NULL || is_key (*key))
    return true;
  return error_set (error, ERROR_BAD_REQUEST,
                    "Idempotency-Key must have 1 to %zu of A-Z, a-z, 0-9, - _ . :", key_length_max);
}

static bool
read_deadline (http_request_t *http, gint64 *deadline_ms, error_info_t *error)
{
  const char *text = http_request_header (http, "Deadline-Ms");

  *deadline_ms = 0;
  if (text == NULL || g_ascii_string_to_signed (text, 10, 1, deadline_ms_max, deadline_ms, NULL))
    return true;
  return error_set (error, ERROR_BAD_REQUEST,
                    "Deadline-Ms must be a whole number from 1 to %" G_GINT64_FORMAT,
                    deadline_ms_max);
}

static bool
is_json (http_request_t *http)
{
  const char *type = http_request_header (http, "Content-Type");
  gsize length = strlen (json_type);

  return type != NULL && g_ascii_strncasecmp (type, json_type, length) == 0
         && (type[length] == '\0' || type[length] == ';' || type[length] == ' ');
}

static bool
check_body (http_request_t *http, error_info_t *error)
{
  gsize size = 0;
  const char *text = g_bytes_get_data (http_request_body (http), &size);
  g_autoptr (JsonNode) root = NULL;

  if (!is_json (http))
    return error_set (error, ERROR_UNSUPPORTED_TYPE, "Content-Type must be %s", json_type);
  root = json_parse_object (text != NULL ? text : "", (gssize) size);
  if (root == NULL)
    return error_set (error, ERROR_BAD_REQUEST, "the body is not a JSON object");
  return true;
}

static bool
read_message (http_request_t *http, request_message_t *message, error_info_t *error)
{
  message->customer = http_request_header (http, "Customer");
  message->first_try = g_strcmp0 (http_request_header (http, "First-Try"), "1") == 0;
  message->content_type = json_type;
  message->body = http_request_body (http);
  if (message->customer == NULL)
    return error_set (error, ERROR_BAD_REQUEST, "the header Customer is needed");
  return read_key (http, &message->key, error) && read_deadline (http, &message->deadline_ms, error)
         && check_body (http, error);
}

static void
submit_request (callers_t *callers, http_request_t *http, char **parts)
{
  request_message_t message = { .environment = parts[3], .class = parts[5] };
  error_info_t error = { .kind = ERROR_NONE };
  exchange_t *exchange;
  guint64 id;

  if (!read_message (http, &message, &error))
    {
      fail (http, &error);
      return;
    }
  exchange = g_new0 (exchange_t, 1);
  exchange->callers = callers;
  exchange->http = http;
  http_request_on_gone (http, caller_gone, exchange);
  id = requests_submit (callers->requests, &message, replied, exchange);
  /* Answered at once: the exchange is gone. */
  if (id != 0 && requests_is_open (callers->requests, id))
    exchange->id = id;
}

static void
job_done (const error_info_t *error, const char *text, void *data)
{
  http_request_t *http = data;
  outcome_t outcome = error_answer (error->kind)->outcome;

  if (error->kind == ERROR_NONE)
    {
      bool shown = strcmp (http_request_method (http), "GET") == 0;

      http_respond_text (http, shown ? 200 : 202, json_type, g_strdup (text));
      return;
    }
  /* The record may have been written all the same. */
  if (error->kind == ERROR_PLATFORM_UNAVAILABLE)
    outcome = OUTCOME_UNKNOWN;
  http_respond_error (http, error, outcome, 0);
}

static bool
check_class (callers_t *callers, const job_message_t *message, error_info_t *error)
{
  const environment_t *environment = requests_environment (callers->requests, message->environment);
  int class_index;

  if (environment == NULL)
    return error_set (error, ERROR_UNKNOWN_ENVIRONMENT, "no environment \"%s\" is in force",
                      message->environment);
  class_index = environment_find_class (environment, message->class);
  if (class_index < 0)
    return error_set (error, ERROR_UNKNOWN_CLASS, "environment \"%s\" has no class \"%s\"",
                      message->environment, message->class);
  if (environment->classes[class_index].kind != WORK_JOB)
    return error_set (error, ERROR_BAD_REQUEST, "class \"%s\" is for requests", message->class);
  if (environment_find_customer (environment, message->customer) < 0)
    return error_set (error, ERROR_UNKNOWN_CUSTOMER, "environment \"%s\" has no customer \"%s\"",
                      message->environment, message->customer);
  return true;
}

static void
submit_job (callers_t *callers, http_request_t *http, char **parts)
{
  error_info_t error = { .kind = ERROR_NONE };
  g_autofree char *class = NULL;
  g_autoptr (GArray) tasks = NULL;
  job_message_t message = { .environment = parts[3],
                            .customer = http_request_header (http, "Customer"),
                            .body = http_request_body (http) };

  if (message.customer == NULL)
    (void) error_set (&error, ERROR_BAD_REQUEST, "the header Customer is needed");
  else if (!is_json (http))
    (void) error_set (&error, ERROR_UNSUPPORTED_TYPE, "Content-Type must be %s", json_type);
  else if (read_key (http, &message.key, &error))
    tasks = job_parse (message.body, &class, &error);
  message.class = class;
  if (tasks == NULL || !check_class (callers, &message, &error))
    {
      fail (http, &error);
      return;
    }
  message.tasks = (const task_t *) (void *) tasks->data;
  message.task_count = tasks->len;
  jobs_submit (callers->jobs, &message, job_done, http);
}

static void
show_health (const callers_t *callers, http_request_t *http)
{
  const char *reason = "";
  bool ready = callers->ready (&reason, callers->data);

  http_respond_text (
      http, ready ? 200 : 503, json_type,
      g_strdup_printf ("{\"ready\":%s,\"reason\":\"%s\"}", ready ? "true" : "false", reason));
}

static bool
is_method (http_request_t *http, const char *method)
{
  if (strcmp (http_request_method (http), method) == 0)
    return true;
  fail_with (http, ERROR_METHOD_NOT_ALLOWED, "this path does not take that method");
  return false;
}

static void
handle (http_request_t *http, void *data)
{
  callers_t *callers = data;
  g_auto (GStrv) parts = g_strsplit (http_request_path (http), "/", 8);
  guint count = g_strv_length (parts);

  if (count == 2 && strcmp (parts[1], "healthz") == 0)
    show_health (callers, http);
  else if (count == 6 && strcmp (parts[1], "v1") == 0 && strcmp (parts[2], "environments") == 0
           && strcmp (parts[4], "requests") == 0)
    {
      if (is_method (http, "POST"))
        submit_request (callers, http, parts);
    }
  else if (count == 5 && strcmp (parts[1], "v1") == 0 && strcmp (parts[2], "environments") == 0
           && strcmp (parts[4], "jobs") == 0)
    {
      if (is_method (http, "POST"))
        submit_job (callers, http, parts);
    }
  else if (count == 4 && strcmp (parts[1], "v1") == 0 && strcmp (parts[2], "jobs") == 0)
    {
      if (is_method (http, "GET"))
        jobs_show (callers->jobs, parts[3], job_done, http);
    }
  else
    fail_with (http, ERROR_NOT_FOUND, "there is nothing at this path");
}

callers_t *
callers_new (const char *address,
             const http_limits_t *limits,
             requests_t *requests,
             jobs_t *jobs,
             callers_ready_t ready,
             void *data,
             error_info_t *error)
{
  callers_t *callers = g_new0 (callers_t, 1);

  callers->requests = requests;
  callers->jobs = jobs;
  callers->ready = ready;
  callers->data = data;
  callers->server = http_server_new (address, limits, handle, callers, error);
  if (callers->server != NULL)
    return callers;
  g_free (callers);
  return NULL;
}

void
callers_free (callers_t *callers)
{
  if (callers == NULL)
    return;
  http_server_free (callers->server);
  g_free (callers);
}

http_server_t *
callers_server (callers_t *callers)
{
  return callers->server;
}
