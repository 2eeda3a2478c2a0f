/* HTTP and JSON API for operators, used by the command-line tool.
 *
 *   GET  /v1/environments            names and versions in force
 *   GET  /v1/environments/NAME       the record in force
 *   PUT  /v1/environments/NAME       writes a new version; query: expected=VERSION, writer=NAME
 *   GET  /v1/status                  state of this VM
 *   GET  /v1/histograms              latencies per customer and class
 *   GET  /metrics                    metrics as text, one sample per line
 */
#pragma once

#include "base/http_server.h"
#include "base/metrics.h"
#include "operator/environments.h"

typedef struct operator_api operator_api_t;

/* Appends the members of the status object. */
typedef void (*operator_api_status_t) (JsonBuilder *builder, void *data);

/* Listens on `address` ("IP:PORT").  Returns NULL with ERROR_BAD_SETTING if it cannot.
 * `environments` and `metrics` are borrowed. */
operator_api_t *operator_api_new (const char *address,
                                  const http_limits_t *limits,
                                  environments_t *environments,
                                  metrics_t *metrics,
                                  operator_api_status_t status,
                                  void *data,
                                  error_info_t *error);
void operator_api_free (operator_api_t *api);

/* Returns the HTTP server, which the API owns. */
http_server_t *operator_api_server (operator_api_t *api);
