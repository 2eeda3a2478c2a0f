/* Private state of jobs_t, shared by its source files:
 *
 *   jobs.c    VM list, held racks, takeover of jobs, periodic steps
 *   intake.c  accepts jobs and answers queries for them
 *   tasks.c   places tasks; starts, stops, renews and reconciles them on the workers
 */
#pragma once

#include "base/list.h"
#include "work/job_record.h"
#include "work/jobs.h"

/* What is known of a worker besides its resources, which the placer keeps. */
typedef struct
{
  char *address;
  bool is_leaving;    /* gets no new tasks */
  bool is_reconciled; /* has reported its tasks since this VM gained its rack */
  bool is_report_pending;
  resources_t foreign_used; /* by tasks that are not of this VM's jobs */
  gint64 report_sent_us;    /* when the latest report request was sent */
  gint64 last_report_us;    /* when the latest report arrived; 0 before the first */
  list_node_t tasks;        /* of task_t that this VM placed there */
} tracked_worker_t;

/* An entry of the queue of tasks to place. */
typedef struct
{
  char *job_id;
  guint index; /* of the task in the job */
} pending_task_t;

struct jobs
{
  kv_t *kv;
  batch_t *batch;
  worker_client_t *worker_client;
  metrics_t *metrics;
  claimant_t self;
  char *zone;
  placer_t *placer;
  GPtrArray *tracked_workers; /* of tracked_worker_t, by placer index */
  GHashTable *jobs;           /* id -> job_t */
  GHashTable *held_racks;     /* set of rack names */
  GQueue pending_tasks;       /* of pending_task_t; those that fit nowhere move to the tail */
  member_list_t *member_list;
  gint64 record_sequence; /* of the latest job record written */
  guint open_count;       /* jobs whose end is not recorded */
  guint step_timer;
  guint step_count;
  bool is_takeover_due; /* the job records must be read to find jobs to take over */
};

/* Returns the worker at that placer index. */
tracked_worker_t *jobs_tracked_worker (const jobs_t *jobs, int worker);

/* Increments the counter of that metric. */
void jobs_count_event (jobs_t *jobs, const char *name);

/* Appends a pending task to the queue. */
void tasks_enqueue (jobs_t *jobs, const task_t *task);

/* Places and starts the queued tasks that fit on a worker. */
void tasks_place (jobs_t *jobs, gint64 now_us);

/* Renews the leases on the workers of one group, 0 to TASKS_RENEW_GROUPS - 1, and requests their
 * reports. */
void tasks_renew_leases (jobs_t *jobs, guint group, gint64 now_us);

/* Requeues the tasks that certainly no longer run on any worker, and retries the stops that are not
 * confirmed. */
void tasks_restart_expired (jobs_t *jobs, gint64 now_us);

/* Updates whether the worker at that placer index may be given new tasks. */
void tasks_update_usable (jobs_t *jobs, int index);

enum
{
  TASKS_RENEW_GROUPS = 4,
  TASKS_LEASE_MS = 10000
};
