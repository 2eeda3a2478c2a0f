/* Interface for callers: HTTP and JSON.  docs/PROTOCOLS.md gives every answer.
 *
 *   POST /v1/environments/ENV/requests/CLASS   answered while the caller waits
 *   POST /v1/environments/ENV/jobs             accepted once durable
 *   GET  /v1/jobs/ID                           the job's state
 *   GET  /healthz                              for the balancer
 */
#pragma once

#include "base/http_server.h"
#include "work/jobs.h"
#include "work/requests.h"

typedef struct callers callers_t;

/* True when this VM can serve; else `*reason` tells why not. */
typedef bool (*callers_ready_t) (const char **reason, void *data);

/* `requests` and `jobs` are borrowed. */
callers_t *callers_new (const char *address,
                        const http_limits_t *limits,
                        requests_t *requests,
                        jobs_t *jobs,
                        callers_ready_t ready,
                        void *data,
                        error_info_t *error);
void callers_free (callers_t *callers);

http_server_t *callers_server (callers_t *callers);
