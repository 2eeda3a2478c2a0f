/* State of the task that owns jobs, shared by its parts:
 *
 *   jobs.c    the task itself: its list, racks, takeover of jobs, steps
 *   intake.c  accepts jobs and shows them
 *   tasks.c   places tasks, and starts, renews, watches and ends them on workers
 */
#pragma once

#include "base/list.h"
#include "work/job_record.h"
#include "work/jobs.h"

/* What the last report of a worker told, besides the placer's sums. */
typedef struct
{
  char *address;
  bool leaving;        /* gets nothing new */
  bool reported;       /* reconciled since this VM holds its rack */
  bool asked;          /* a report is on its way */
  resources_t foreign; /* of tasks that are not of this VM's jobs */
  gint64 asked_us;     /* when the report on its way was asked for */
  gint64 heard_us;     /* the last report; 0 before the first */
  list_node_t tasks;   /* task_t placed there by this VM */
} worker_link_t;

/* One task in the queue. */
typedef struct
{
  char *job_id;
  guint index;
} pending_t;

struct jobs
{
  kv_t *kv;
  batch_t *batch;
  workers_t *workers;
  metrics_t *metrics;
  claimant_t self;
  char *zone;
  placer_t *placer;
  GPtrArray *links; /* worker_link_t, by placer index */
  GHashTable *jobs; /* id -> job_t */
  GHashTable *held; /* rack names */
  GQueue pending;   /* pending_t, tasks to place, oldest first */
  member_list_t *list;
  gint64 sequence;
  guint open;
  guint timer;
  guint step;
  bool adopting;
};

/* The link of the worker at that placer index. */
worker_link_t *jobs_link (const jobs_t *jobs, int worker);

/* Counts one event under that metric. */
void jobs_count (jobs_t *jobs, const char *name);

/* Puts a pending task at the end of the queue. */
void tasks_queue (jobs_t *jobs, const task_t *task);

/* Places the oldest tasks that fit. */
void tasks_place (jobs_t *jobs, gint64 now_us);

/* Renews leases on, and asks for reports from, the workers of this bunch. */
void tasks_renew (jobs_t *jobs, guint bunch, gint64 now_us);

/* Starts tasks again that certainly run nowhere any more. */
void tasks_restart_lapsed (jobs_t *jobs, gint64 now_us);

/* Works out whether the worker may be given tasks. */
void tasks_update_usable (jobs_t *jobs, int worker);

enum
{
  TASKS_RENEW_BUNCHES = 4,
  TASKS_LEASE_MS = 10000
};
