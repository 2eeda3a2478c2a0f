#include "caller/caller_api.h"

#include "caller/job_json.h"

#include <string.h>

struct caller_api
{
  http_server_t *server;
  requests_t *requests;
  jobs_t *jobs;
  caller_api_ready_t ready;
  void *data;
};

/* A request in progress. */
typedef struct
{
  caller_api_t *api;
  http_request_t *http;
  guint64 id;
} exchange_t;

static const gsize max_key_length = 128;
static const gint64 max_deadline_ms = 600000;
static const char *const json_type = "application/json";

static void
respond_error (http_request_t *http, const error_info_t *error)
{
  http_respond_error (http, error, error_properties (error->kind)->outcome, 0);
}

static void
respond_error_reason (http_request_t *http, error_kind_t kind, const char *reason)
{
  error_info_t error;

  (void) error_set (&error, kind, "%s", reason);
  respond_error (http, &error);
}

static void
respond_result (http_request_t *http, const request_reply_t *reply)
{
  g_autofree char *waited = g_strdup_printf ("%" G_GINT64_FORMAT, reply->waited_us);
  g_autofree char *service = g_strdup_printf ("%" G_GINT64_FORMAT, reply->service_us);
  const http_header_t headers[] = { { "Mimosastair-Outcome", "result" },
                                    { "Mimosastair-Waited-Us", waited },
                                    { "Mimosastair-Service-Us", service },
                                    { "Mimosastair-Replayed", "1" } };

  http_respond (http, reply->http_status,
                reply->content_type != NULL ? reply->content_type : json_type, reply->body, headers,
                reply->is_replayed ? 4 : 3);
}

static void
request_replied (const request_reply_t *reply, void *data)
{
  exchange_t *exchange = data;

  if (reply->error.kind == ERROR_NONE)
    respond_result (exchange->http, reply);
  else
    http_respond_error (exchange->http, &reply->error, reply->outcome, reply->retry_after_ms);
  g_free (exchange);
}

/* Drops the request if it is still queued.  The HTTP server discards the response, but requires
 * one to complete the request. */
static void
caller_disconnected (void *data)
{
  exchange_t *exchange = data;

  requests_caller_disconnected (exchange->api->requests, exchange->id);
  respond_error_reason (exchange->http, ERROR_DEADLINE_PASSED, "the caller disconnected");
  g_free (exchange);
}

static bool
is_valid_key (const char *text)
{
  gsize length = strlen (text);

  if (length == 0 || length > max_key_length)
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
  if (*key == NULL || is_valid_key (*key))
    return true;
  return error_set (error, ERROR_BAD_REQUEST,
                    "Idempotency-Key must have 1 to %zu of A-Z, a-z, 0-9, - _ . :", max_key_length);
}

static bool
read_deadline (http_request_t *http, gint64 *deadline_ms, error_info_t *error)
{
  const char *text = http_request_header (http, "Deadline-Ms");

  *deadline_ms = 0;
  if (text == NULL || g_ascii_string_to_signed (text, 10, 1, max_deadline_ms, deadline_ms, NULL))
    return true;
  return error_set (error, ERROR_BAD_REQUEST,
                    "Deadline-Ms must be a whole number from 1 to %" G_GINT64_FORMAT,
                    max_deadline_ms);
}

static bool
has_json_type (http_request_t *http)
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
  const char *reason;

  if (!has_json_type (http))
    return error_set (error, ERROR_UNSUPPORTED_TYPE, "Content-Type must be %s", json_type);
  root = json_parse_object (text != NULL ? text : "", (gssize) size, &reason);
  if (root == NULL)
    return error_set (error, ERROR_BAD_REQUEST, "the body is not a JSON object: %s", reason);
  return true;
}

static bool
read_submission (http_request_t *http, request_submission_t *submission, error_info_t *error)
{
  submission->customer = http_request_header (http, "Customer");
  submission->is_first_attempt = g_strcmp0 (http_request_header (http, "First-Try"), "1") == 0;
  submission->content_type = json_type;
  submission->body = http_request_body (http);
  if (submission->customer == NULL)
    return error_set (error, ERROR_BAD_REQUEST, "the header Customer is needed");
  return read_key (http, &submission->key, error)
         && read_deadline (http, &submission->deadline_ms, error) && check_body (http, error);
}

static void
submit_request (caller_api_t *api, http_request_t *http, char **parts)
{
  request_submission_t submission = { .environment = parts[3], .class = parts[5] };
  error_info_t error = { .kind = ERROR_NONE };
  exchange_t *exchange;
  guint64 id;

  if (!read_submission (http, &submission, &error))
    {
      respond_error (http, &error);
      return;
    }
  exchange = g_new0 (exchange_t, 1);
  exchange->api = api;
  exchange->http = http;
  http_request_on_disconnected (http, caller_disconnected, exchange);
  id = requests_submit (api->requests, &submission, request_replied, exchange);
  /* If the request was replied to before requests_submit() returned, request_replied() has freed
   * the exchange. */
  if (id != 0 && requests_is_open (api->requests, id))
    exchange->id = id;
}

static void
job_replied (const error_info_t *error, const char *text, void *data)
{
  http_request_t *http = data;
  outcome_t outcome = error_properties (error->kind)->outcome;

  if (error->kind == ERROR_NONE)
    {
      bool is_query = strcmp (http_request_method (http), "GET") == 0;

      http_respond_text (http, is_query ? 200 : 202, json_type, g_strdup (text));
      return;
    }
  /* The job record may have been written all the same. */
  if (error->kind == ERROR_PLATFORM_UNAVAILABLE)
    outcome = OUTCOME_UNKNOWN;
  http_respond_error (http, error, outcome, 0);
}

static bool
check_class (caller_api_t *api, const job_submission_t *submission, error_info_t *error)
{
  const environment_t *environment = requests_environment (api->requests, submission->environment);
  int class_index;

  if (environment == NULL)
    return error_set (error, ERROR_UNKNOWN_ENVIRONMENT, "no environment \"%s\" is in force",
                      submission->environment);
  class_index = environment_find_class (environment, submission->class);
  if (class_index < 0)
    return error_set (error, ERROR_UNKNOWN_CLASS, "environment \"%s\" has no class \"%s\"",
                      submission->environment, submission->class);
  if (environment->classes[class_index].kind != WORK_JOB)
    return error_set (error, ERROR_BAD_REQUEST, "class \"%s\" is for requests", submission->class);
  if (environment_find_customer (environment, submission->customer) < 0)
    return error_set (error, ERROR_UNKNOWN_CUSTOMER, "environment \"%s\" has no customer \"%s\"",
                      submission->environment, submission->customer);
  return true;
}

static void
submit_job (caller_api_t *api, http_request_t *http, char **parts)
{
  error_info_t error = { .kind = ERROR_NONE };
  g_autofree char *class = NULL;
  g_autoptr (GArray) tasks = NULL;
  job_submission_t submission = { .environment = parts[3],
                                  .customer = http_request_header (http, "Customer"),
                                  .body = http_request_body (http) };

  if (submission.customer == NULL)
    (void) error_set (&error, ERROR_BAD_REQUEST, "the header Customer is needed");
  else if (!has_json_type (http))
    (void) error_set (&error, ERROR_UNSUPPORTED_TYPE, "Content-Type must be %s", json_type);
  else if (read_key (http, &submission.key, &error))
    tasks = job_parse (submission.body, &class, &error);
  submission.class = class;
  if (tasks == NULL || !check_class (api, &submission, &error))
    {
      respond_error (http, &error);
      return;
    }
  submission.tasks = (const task_t *) (void *) tasks->data;
  submission.task_count = tasks->len;
  jobs_submit (api->jobs, &submission, job_replied, http);
}

static void
respond_health (const caller_api_t *api, http_request_t *http)
{
  const char *reason = "";
  bool is_ready = api->ready (&reason, api->data);

  http_respond_text (
      http, is_ready ? 200 : 503, json_type,
      g_strdup_printf ("{\"ready\":%s,\"reason\":\"%s\"}", is_ready ? "true" : "false", reason));
}

static bool
check_method (http_request_t *http, const char *method)
{
  if (strcmp (http_request_method (http), method) == 0)
    return true;
  respond_error_reason (http, ERROR_METHOD_NOT_ALLOWED, "this path does not take that method");
  return false;
}

static void
handle_request (http_request_t *http, void *data)
{
  caller_api_t *api = data;
  g_auto (GStrv) parts = g_strsplit (http_request_path (http), "/", 8);
  guint count = g_strv_length (parts);

  if (count == 2 && strcmp (parts[1], "healthz") == 0)
    respond_health (api, http);
  else if (count == 6 && strcmp (parts[1], "v1") == 0 && strcmp (parts[2], "environments") == 0
           && strcmp (parts[4], "requests") == 0)
    {
      if (check_method (http, "POST"))
        submit_request (api, http, parts);
    }
  else if (count == 5 && strcmp (parts[1], "v1") == 0 && strcmp (parts[2], "environments") == 0
           && strcmp (parts[4], "jobs") == 0)
    {
      if (check_method (http, "POST"))
        submit_job (api, http, parts);
    }
  else if (count == 4 && strcmp (parts[1], "v1") == 0 && strcmp (parts[2], "jobs") == 0)
    {
      if (check_method (http, "GET"))
        jobs_query (api->jobs, parts[3], job_replied, http);
    }
  else
    respond_error_reason (http, ERROR_NOT_FOUND, "there is nothing at this path");
}

caller_api_t *
caller_api_new (const char *address,
                const http_limits_t *limits,
                requests_t *requests,
                jobs_t *jobs,
                caller_api_ready_t ready,
                void *data,
                error_info_t *error)
{
  caller_api_t *api = g_new0 (caller_api_t, 1);

  api->requests = requests;
  api->jobs = jobs;
  api->ready = ready;
  api->data = data;
  api->server = http_server_new (address, limits, handle_request, api, error);
  if (api->server != NULL)
    return api;
  g_free (api);
  return NULL;
}

void
caller_api_free (caller_api_t *api)
{
  if (api == NULL)
    return;
  http_server_free (api->server);
  g_free (api);
}

http_server_t *
caller_api_server (caller_api_t *api)
{
  return api->server;
}
