/* Runs the jobs that this VM owns, from acceptance to their recorded end.
 *
 * A job is accepted once its record is in the key-value service, and its end is reported
 * to callers once that is recorded too.  Tasks run on workers of the racks that this VM
 * holds (decide/claim.h), under leases that it renews directly with the workers.
 */
#pragma once

#include "backend/worker_client.h"
#include "base/error.h"
#include "base/metrics.h"
#include "decide/claim.h"
#include "decide/job.h"
#include "records/batch.h"

typedef struct jobs jobs_t;

/* A submitted job; borrowed for the call. */
typedef struct
{
  const char *environment;
  const char *class;
  const char *customer;
  const char *key; /* idempotency key, or NULL */
  GBytes *body;
  const task_t *tasks; /* parsed from `body` */
  guint task_count;
} job_submission_t;

/* `text` is the job as JSON, NULL on an error. */
typedef void (*jobs_done_t) (const error_info_t *error, const char *text, void *data);

/* `self` and `zone` are copied; the others are borrowed. */
jobs_t *jobs_new (kv_t *kv,
                  batch_t *batch,
                  worker_client_t *worker_client,
                  metrics_t *metrics,
                  const claimant_t *self,
                  const char *zone);
void jobs_free (jobs_t *jobs);

/* Updates the workers from a newer VM list, and takes over jobs whose owner is no longer listed.
 * Copies the list. */
void jobs_set_member_list (jobs_t *jobs, const member_list_t *list);

/* Updates the held racks from the claim table (of claim_t); new tasks are placed only there. */
void jobs_set_rack_claims (jobs_t *jobs, const GArray *table);

/* Returns the number of tasks outside the held racks whose start or stop is not confirmed. */
guint jobs_unconfirmed_task_count (const jobs_t *jobs);

/* Accepts a job.  `done` is called once, when the job is durable or refused, possibly before this
 * function returns. */
void jobs_submit (jobs_t *jobs, const job_submission_t *submission, jobs_done_t done, void *data);

/* Passes the job `id` to `done`, possibly before this function returns.  A job that is not in the
 * memory of this VM is read from its record; ERROR_NOT_FOUND means that it has none, and
 * ERROR_PLATFORM_UNAVAILABLE that the key-value service does not answer. */
void jobs_query (jobs_t *jobs, const char *id, jobs_done_t done, void *data);

/* Returns the number of jobs of this VM whose end is not recorded. */
guint jobs_open_count (const jobs_t *jobs);
guint jobs_running_task_count (const jobs_t *jobs);

/* Returns the number of workers that new tasks may be placed on. */
guint jobs_usable_worker_count (const jobs_t *jobs);
