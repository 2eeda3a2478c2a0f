/* Task that owns the jobs of this VM: accepts, places, watches and ends them.
 *
 * A job is accepted once its record is in the key-value service; its end is told
 * once that is recorded too.  Tasks run on workers of the racks that this VM holds
 * (decide/claim.h), under leases renewed straight to the workers.
 */
#pragma once

#include "backend/worker_client.h"
#include "base/error.h"
#include "base/metrics.h"
#include "decide/claim.h"
#include "decide/job.h"
#include "records/batch.h"

typedef struct jobs jobs_t;

typedef struct
{
  const char *environment;
  const char *class;
  const char *customer;
  const char *key; /* idempotency key, or NULL */
  GBytes *body;    /* the submitted text */
  const task_t *tasks;
  guint task_count;
} job_message_t;

/* `text` is the job as JSON, NULL on an error. */
typedef void (*jobs_done_t) (const error_info_t *error, const char *text, void *data);

/* All but `self` are borrowed. */
jobs_t *jobs_new (kv_t *kv,
                  batch_t *batch,
                  workers_t *workers,
                  metrics_t *metrics,
                  const claimant_t *self,
                  const char *zone);
void jobs_free (jobs_t *jobs);

/* Takes the workers out of a newer list. */
void jobs_set_list (jobs_t *jobs, const member_list_t *list);

/* The table of racks changed: only racks that `self` holds are used. */
void jobs_set_racks (jobs_t *jobs, const GArray *table);

/* Tasks outside the held racks whose start or stop is not confirmed. */
guint jobs_unsettled (const jobs_t *jobs);

/* Accepts a job; `done` is called once, when it is durable or refused. */
void jobs_submit (jobs_t *jobs, const job_message_t *message, jobs_done_t done, void *data);

/* Shows a job of this VM, or of another from its record. */
void jobs_show (jobs_t *jobs, const char *id, jobs_done_t done, void *data);

/* Jobs that are not finished; tasks on workers. */
guint jobs_open (const jobs_t *jobs);
guint jobs_running_tasks (const jobs_t *jobs);
guint jobs_workers (const jobs_t *jobs);
