/* Interface for operators: HTTP and JSON, used by the command-line tool.
 *
 *   GET  /v1/environments            names and versions in force
 *   GET  /v1/environments/NAME       the record in force
 *   PUT  /v1/environments/NAME       apply; query: expected=VERSION, writer=NAME
 *   GET  /v1/status                  this VM
 *   GET  /v1/histograms              latencies per customer and class
 *   GET  /metrics                    text, one sample a line
 */
#pragma once

#include "base/http_server.h"
#include "base/metrics.h"
#include "operator/environments.h"

typedef struct operators operators_t;

/* Appends members of the status object. */
typedef void (*operators_status_t) (JsonBuilder *builder, void *data);

/* `environments` and `metrics` are borrowed. */
operators_t *operators_new (const char *address,
                            const http_limits_t *limits,
                            environments_t *environments,
                            metrics_t *metrics,
                            operators_status_t status,
                            void *data,
                            error_info_t *error);
void operators_free (operators_t *operators);

http_server_t *operators_server (operators_t *operators);
