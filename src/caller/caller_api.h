/* HTTP and JSON API for callers.  docs/PROTOCOLS.md specifies all responses.
 *
 *   POST /v1/environments/ENV/requests/CLASS   runs a request and returns its result
 *   POST /v1/environments/ENV/jobs             submits a job; responds once it is durable
 *   GET  /v1/jobs/ID                           the state of a job
 *   GET  /healthz                              readiness, for the load balancer
 */
#pragma once

#include "base/http_server.h"
#include "work/jobs.h"
#include "work/requests.h"

typedef struct caller_api caller_api_t;

/* Returns whether this VM can serve; if not, sets `*reason`, in static storage. */
typedef bool (*caller_api_ready_t) (const char **reason, void *data);

/* Listens on `address` ("IP:PORT").  Returns NULL with ERROR_BAD_SETTING if it cannot.  `requests`
 * and `jobs` are borrowed. */
caller_api_t *caller_api_new (const char *address,
                              const http_limits_t *limits,
                              requests_t *requests,
                              jobs_t *jobs,
                              caller_api_ready_t ready,
                              void *data,
                              error_info_t *error);
void caller_api_free (caller_api_t *api);

/* Returns the HTTP server, which the API owns. */
http_server_t *caller_api_server (caller_api_t *api);
