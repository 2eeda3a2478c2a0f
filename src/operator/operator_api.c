#include "operator/operator_api.h"

#include "base/json.h"
#include "operator/document_json.h"

#include <string.h>

struct operator_api
{
  http_server_t *server;
  environments_t *environments;
  metrics_t *metrics;
  operator_api_status_t status;
  void *data;
};

static const char *const json_type = "application/json";
static const char *const environments_path = "/v1/environments/";

static void
respond_error (http_request_t *http, const error_info_t *error)
{
  http_respond_error (http, error, error_properties (error->kind)->outcome, 0);
}

static void
respond_builder (http_request_t *http, JsonBuilder *builder)
{
  http_respond_text (http, 200, json_type, json_builder_to_string (builder));
}

static void
document_applied (const error_info_t *error, gint64 version, void *data)
{
  http_request_t *http = data;

  if (error->kind != ERROR_NONE)
    respond_error (http, error);
  else
    http_respond_text (http, 200, json_type,
                       g_strdup_printf ("{\"version\":%" G_GINT64_FORMAT "}", version));
}

/* Responds with all problems of a document. */
static void
respond_problems (http_request_t *http, GPtrArray *problems)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_put_string (builder, "outcome", "not_run");
  json_put_string (builder, "error", error_properties (ERROR_BAD_DOCUMENT)->name);
  json_put_string (builder, "reason", g_ptr_array_index (problems, 0));
  json_builder_set_member_name (builder, "problems");
  json_builder_begin_array (builder);
  for (guint i = 0; i < problems->len; i++)
    json_builder_add_string_value (builder, g_ptr_array_index (problems, i));
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  http_respond_text (http, error_properties (ERROR_BAD_DOCUMENT)->http_status, json_type,
                     json_builder_to_string (builder));
}

static void
apply_document (operator_api_t *api, http_request_t *http, const char *name)
{
  const char *expected_text = http_request_query (http, "expected");
  const char *writer = http_request_query (http, "writer");
  g_autoptr (GPtrArray) problems = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (environment_t) environment = NULL;
  gint64 expected = -1;
  gsize size = 0;
  const char *text = g_bytes_get_data (http_request_body (http), &size);
  const char *reason;
  g_autoptr (JsonNode) root = json_parse (text != NULL ? text : "", (gssize) size, &reason);

  if (expected_text != NULL
      && !g_ascii_string_to_signed (expected_text, 10, 0, G_MAXINT64, &expected, NULL))
    g_ptr_array_add (problems, g_strdup ("expected: must be a version"));
  if (root == NULL)
    g_ptr_array_add (problems,
                     g_strdup_printf (": found no JSON (%s); allowed: one object", reason));
  else
    environment = document_parse (root, 0, problems);
  if (environment != NULL && g_strcmp0 (environment->name, name) != 0)
    g_ptr_array_add (problems, g_strdup_printf ("/environment: found \"%s\"; allowed: \"%s\"",
                                                environment->name, name));
  if (problems->len > 0)
    {
      respond_problems (http, problems);
      return;
    }
  environments_apply (api->environments, name, root, expected, writer != NULL ? writer : "unnamed",
                      document_applied, http);
}

static void
respond_environment (operator_api_t *api, http_request_t *http, const char *name)
{
  const char *record = environments_get_record (api->environments, name);
  error_info_t error;

  if (record != NULL)
    {
      http_respond_text (http, 200, json_type, g_strdup (record));
      return;
    }
  (void) error_set (&error, ERROR_UNKNOWN_ENVIRONMENT, "no environment \"%s\" is in force", name);
  respond_error (http, &error);
}

static void
respond_environments (operator_api_t *api, http_request_t *http)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "environments");
  environments_describe (api->environments, builder);
  json_builder_end_object (builder);
  respond_builder (http, builder);
}

static void
put_histogram (JsonBuilder *builder, const char *name, const histogram_t *histogram)
{
  json_builder_set_member_name (builder, name);
  json_builder_begin_object (builder);
  json_put_int (builder, "count", (gint64) histogram->count);
  json_put_int (builder, "p50_us", (gint64) histogram_quantile (histogram, 0.5));
  json_put_int (builder, "p90_us", (gint64) histogram_quantile (histogram, 0.9));
  json_put_int (builder, "p99_us", (gint64) histogram_quantile (histogram, 0.99));
  json_put_int (builder, "max_us", (gint64) histogram->max_us);
  json_builder_set_member_name (builder, "buckets");
  json_builder_begin_array (builder);
  for (guint i = 0; i < HISTOGRAM_BUCKETS; i++)
    {
      if (histogram->buckets[i] == 0)
        continue;
      json_builder_begin_array (builder);
      json_builder_add_int_value (builder, (gint64) histogram_bucket_upper_us (i));
      json_builder_add_int_value (builder, (gint64) histogram->buckets[i]);
      json_builder_end_array (builder);
    }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
}

static void
put_latency (const char *environment,
             const char *customer,
             const char *class,
             const latency_set_t *set,
             void *data)
{
  JsonBuilder *builder = data;

  json_builder_begin_object (builder);
  json_put_string (builder, "environment", environment);
  json_put_string (builder, "class", class);
  json_put_string (builder, "customer", customer);
  put_histogram (builder, "waiting", &set->waiting);
  put_histogram (builder, "service", &set->service);
  put_histogram (builder, "total", &set->total);
  json_builder_end_object (builder);
}

static void
respond_histograms (operator_api_t *api, http_request_t *http)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "latencies");
  json_builder_begin_array (builder);
  metrics_foreach_latency (api->metrics, put_latency, builder);
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  respond_builder (http, builder);
}

static void
respond_status (operator_api_t *api, http_request_t *http)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  api->status (builder, api->data);
  json_builder_end_object (builder);
  respond_builder (http, builder);
}

static void
respond_metrics (operator_api_t *api, http_request_t *http)
{
  GString *out = g_string_new (NULL);

  metrics_append_samples (api->metrics, out);
  http_respond_text (http, 200, "text/plain; version=0.0.4", g_string_free (out, FALSE));
}

/* Returns the environment's name in "/v1/environments/NAME", or NULL. */
static const char *
environment_in_path (const char *path)
{
  const gsize length = strlen (environments_path);

  return strncmp (path, environments_path, length) == 0 ? path + length : NULL;
}

static void
handle_request (http_request_t *http, void *data)
{
  operator_api_t *api = data;
  const char *path = http_request_path (http);
  const char *method = http_request_method (http);
  const char *name = environment_in_path (path);
  error_info_t error;

  if (name != NULL && strcmp (method, "PUT") == 0)
    apply_document (api, http, name);
  else if (strcmp (method, "GET") != 0)
    {
      (void) error_set (&error, ERROR_METHOD_NOT_ALLOWED, "this path does not take %s", method);
      respond_error (http, &error);
    }
  else if (name != NULL)
    respond_environment (api, http, name);
  else if (strcmp (path, "/v1/environments") == 0)
    respond_environments (api, http);
  else if (strcmp (path, "/v1/status") == 0)
    respond_status (api, http);
  else if (strcmp (path, "/v1/histograms") == 0)
    respond_histograms (api, http);
  else if (strcmp (path, "/metrics") == 0)
    respond_metrics (api, http);
  else
    {
      (void) error_set (&error, ERROR_NOT_FOUND, "there is nothing at this path");
      respond_error (http, &error);
    }
}

operator_api_t *
operator_api_new (const char *address,
                  const http_limits_t *limits,
                  environments_t *environments,
                  metrics_t *metrics,
                  operator_api_status_t status,
                  void *data,
                  error_info_t *error)
{
  operator_api_t *api = g_new0 (operator_api_t, 1);

  api->environments = environments;
  api->metrics = metrics;
  api->status = status;
  api->data = data;
  api->server = http_server_new (address, limits, handle_request, api, error);
  if (api->server != NULL)
    return api;
  g_free (api);
  return NULL;
}

void
operator_api_free (operator_api_t *api)
{
  if (api == NULL)
    return;
  http_server_free (api->server);
  g_free (api);
}

http_server_t *
operator_api_server (operator_api_t *api)
{
  return api->server;
}
