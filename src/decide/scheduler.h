/* The scheduler of a scheduling domain: decides which task starts when and on which executor.
 *
 * Keeps the state of jobs, executors and runs, and turns events (new jobs, cancellations,
 * executor reports, order results, advice) into orders.  It has no I/O, clock or global
 * state: the current time is an argument, and orders are issued through scheduler_ops_t.
 *
 * Times in `_us` are on the caller's monotonic clock, those in `_ms` are Unix times.  The leader of
 * the domain runs the scheduler; its leadership ends with its lease.
 *
 * Invariants, whatever the order, loss or delay of events:
 *  - a task has at most one run that may be alive (two with `speculative`);
 *  - a run occupies its resources on its executor until it is known to be gone: its start was
 *    refused or not sent, a report lists its end, its stop is confirmed and a later report does
 *    not list it, its executor has restarted, or its lease has certainly expired;
 *  - the end of a run is acknowledged to its executor only once it is stored;
 *  - a start order is issued only once its placement is stored, and the store accepts
 *    placements only from the current leader: a run without a stored placement runs nowhere;
 *  - a task starts only if the runs of its workspace then stay within the cap, or if it is larger
 *    than the cap and no other run of its workspace is left.
 */
#pragma once

#include "decide/queue_order.h"
#include "decide/runtime_model.h"
#include "decide/spec.h"
#include "decide/text_digest.h"
#include "decide/workspace_accounts.h"

typedef struct scheduler scheduler_t;

enum
{
  RESTORED_PLACEMENT_LIMIT = 1000000, /* placements of this leader have higher numbers */
  FAILED_RUNS_KEPT = 8                /* run numbers per task; an end may be reported much later */
};

/* Identifies a task of a job. */
typedef struct
{
  char job[JOB_ID_BYTES];
  guint occurrence;
  guint step;
  guint index;
} task_ref_t;

typedef enum
{
  END_DONE,
  END_FAILED,
  END_STOPPED,
  END_LEASE_EXPIRED,
  END_GANG_BROKEN, /* another member of the gang ended */
  END_GANG_TIMEOUT /* the other members of the gang did not start in time */
} end_reason_t;

typedef enum
{
  ORDER_OK,
  ORDER_NO_ANSWER,     /* the order may have been carried out, or may still be */
  ORDER_NOT_SENT,      /* the order is certainly never carried out */
  ORDER_FENCED,        /* the executor has seen a later leader's token */
  ORDER_OLD_RUN,       /* this run or a later one of the task was stopped or ended there */
  ORDER_LEASE_EXPIRED, /* the lease of the run had expired when the order arrived */
  ORDER_NO_CAPACITY,   /* the executor enforces its capacity, which would be exceeded */
  ORDER_BAD_TICKET,
  ORDER_UNHEALTHY, /* the executor refused the order for another reason */
  ORDER_EXECUTOR_RESTARTED
} order_outcome_t;

/* Name of the outcome in log lines. */
const char *order_outcome_name (order_outcome_t outcome);

/* A run that an executor reports as running. */
typedef struct
{
  task_ref_t task;
  guint run;
  const char *checkpoint;
  guint percent;
  guint load;
} reported_run_t;

/* The end of a run, which an executor lists until it is acknowledged. */
typedef struct
{
  guint64 number; /* the executor numbers its ends in ascending order */
  task_ref_t task;
  guint run;
  end_reason_t how;
  const char *checkpoint;
} reported_end_t;

/* The result of a hold request, the long poll that renews an executor's lease and returns its
 * running and ended runs. */
typedef struct
{
  const char *executor;
  bool is_reachable;       /* the executor answered */
  bool is_fenced;          /* the executor has seen a later token, and did nothing */
  guint fence_step;        /* that the token of the request was made with */
  bool is_lease_requested; /* the lease may have been renewed even without an answer */
  gint64 born;             /* identifies the incarnation of the executor; Unix ms */
  guint64 mark;            /* latest mark that the VM had received when it sent the request */
  const reported_run_t *running;
  guint running_count;
  const reported_end_t *ended;
  guint ended_count;
  bool has_more_ends; /* the executor may have ended more runs than it lists */
} executor_report_t;

/* An entry of the executor registry. */
typedef struct
{
  const char *id;
  const char *address;
  const char *service;
  const char *zone;
  resource_vector_t capacity;
  const char *const *labels; /* NULL-terminated */
  const char *rack;          /* NULL: unknown */
  bool is_draining;
  gint64 born;
} executor_entry_t;

typedef struct
{
  guint64 order;
  const char *executor;
  gint64 born;
  guint fence_step; /* that its token is made with */
  task_ref_t task;
  guint run;
  const char *spec;
  const text_digest_t *text_digest; /* of `spec` */
  const char *checkpoint;           /* "" if there is none */
  const char *ticket;               /* "" if there is none */
  bool is_checked;                  /* not to be sent unless the executor answers another call */
} start_order_t;

typedef struct
{
  guint64 order;
  const char *executor;
  gint64 born;
  task_ref_t task;
  guint run;
} stop_order_t;

typedef struct
{
  guint64 order;
  task_ref_t step; /* the index is 0 */
  const char *const *executors;
  guint executor_count;
  gint64 expected_us; /* expected duration of the call */
  bool is_slow;       /* counts against the limit on slow calls */
} advise_order_t;

typedef struct
{
  const char *executor;
  const char *ticket;
} ticket_t;

/* A run of a placement, as stored before its start order is sent. */
typedef struct
{
  task_ref_t task;
  guint run;
  const char *executor;
  gint64 born;                 /* the incarnation of the executor; 0: not known */
  bool is_start_known;         /* restored: that has answered the start, or listed the run */
  bool is_steady;              /* restored: and grants no lease longer than executor_lease_us */
  const char *workspace;       /* NULL: none */
  resource_vector_t resources; /* that it takes; set with a workspace only */
} placed_run_t;

typedef struct
{
  void (*start) (const start_order_t *order, void *data);
  void (*stop) (const stop_order_t *order, void *data);
  void (*advise) (const advise_order_t *order, void *data);
  /* The progress of the job must be stored with the next batch. */
  void (*save_progress) (const char *job, void *data);
  /* The job has ended, which must be stored with the next batch. */
  void (*finish) (const char *job, job_state_t state, void *data);
  /* From now on, calls to the executor are for the incarnation `born` (0: not known yet) and carry
   * the token of `fence_step`; start orders name their own.  Acknowledge ends of that incarnation,
   * and of no other, up to number `acked`; and return `mark` in reports on hold requests that are
   * sent from now on. */
  void (*acknowledge) (
      const char *executor, gint64 born, guint64 acked, guint64 mark, guint fence_step, void *data);
  /* Have a VM send hold requests to the executor, or stop sending them if `address` is NULL. */
  void (*hold) (const char *executor, const char *address, void *data);
  /* Store these runs; their start orders follow scheduler_placement_stored(). */
  void (*place) (guint64 placement, const placed_run_t *runs, guint count, void *data);
  /* Delete the record of a placement that is no longer needed, but only after everything
   * saved so far is stored. */
  void (*delete_placement) (guint64 placement, void *data);
  /* An executor has seen a later leader: this one is deposed. */
  void (*deposed) (void *data);
  /* Write a log line; `pairs` are key=value pairs. */
  void (*write_log) (const char *event, const char *pairs, void *data);
} scheduler_ops_t;

typedef struct
{
  gint64 executor_lease_us; /* duration of the leases that VMs grant to an executor */
  /* What an executor shortens a longer lease to; at least executor_lease_us is assumed. */
  gint64 executor_lease_max_us;
  gint64 leader_lease_us; /* VMs may still act for a replaced leader for at most this long */
  gint64 gang_wait_us;    /* how long the members of a gang wait for each other */
  double remote_factor;   /* run time of a gang spread over racks, relative to one in one rack */
  const queue_order_policy_t *order; /* of waiting work; NULL: queue_order_by_slack */
  /* Rounds between two full ones serve only what has changed; 0: each round is a full one. */
  gint64 full_round_interval_us;
  bool learn_run_times; /* expect run times learned from finished runs in place of the declared ones
                         */
  bool learn_speeds;    /* place work by speeds of executors learned from finished runs */
} scheduler_limits_t;

/* `epoch` counts the earlier leaders.  Runs of jobs that were accepted under one of them
 * are numbered above all runs that an earlier leader may have started.  `ops` is borrowed. */
scheduler_t *scheduler_new (const scheduler_limits_t *limits,
                            guint epoch,
                            const scheduler_ops_t *ops,
                            void *data);
void scheduler_free (scheduler_t *scheduler);

/* Applies a version of the desired state, which is borrowed until the next call. */
void scheduler_set_desired (scheduler_t *scheduler, const desired_state_t *desired);

/* The stored progress of a task. */
typedef struct
{
  guint occurrence;
  guint step;
  guint index;
  bool is_done;
  guint failures;
  /* Numbers of the latest runs whose failure was counted. */
  guint failed_runs[FAILED_RUNS_KEPT];
  guint failed_run_count;
  /* Executors that crashed under runs of the task, and points for those that did at its start. */
  guint crashes;
  guint crash_points;
} task_progress_t;

/* Adds a job and takes ownership of `spec`.  `may_have_started`: an earlier leader may have
 * started runs of it, so new runs get higher numbers.  Frees the spec and returns false if
 * the job is invalid or known already. */
bool scheduler_add_job (scheduler_t *scheduler,
                        job_spec_t *spec,
                        const task_progress_t *progress,
                        guint progress_count,
                        bool may_have_started,
                        gint64 now_us,
                        gint64 unix_ms);

/* Returns about how many bytes a scheduler takes for the job until it is freed; and for all of its
 * jobs. */
gint64 scheduler_job_bytes (const job_spec_t *spec);
gint64 scheduler_all_job_bytes (const scheduler_t *scheduler);

/* Cancels a job; false if the job is unknown. */
bool scheduler_cancel_job (scheduler_t *scheduler, const char *id, gint64 now_us);

/* To be called when the end of a job is stored.  The job is freed once none of its runs is
 * left. */
void scheduler_job_end_stored (scheduler_t *scheduler, const char *id);

/* Sets `*state`; a job that has ended counts as running until its end is stored.  Returns false
 * if the job is unknown. */
bool scheduler_job_state (const scheduler_t *scheduler, const char *id, job_state_t *state);

typedef struct
{
  const char *queue; /* valid as long as the scheduler */
  gint64 accepted_us;
  gint64 began_us; /* first start of a task under this leader; 0: none yet */
} job_times_t;

/* Returns false if the job is unknown. */
bool scheduler_job_times (const scheduler_t *scheduler, const char *id, job_times_t *times);

/* Returns the workspace of a job, borrowed; NULL if it has none or the job is unknown. */
const char *scheduler_job_workspace (const scheduler_t *scheduler, const char *id);

/* Number of jobs of the queue that have not ended and have no started task. */
guint scheduler_pending_job_count (const scheduler_t *scheduler, const char *queue);

/* Calls `visit` for each task of the job that is done, or has failed runs or crashed executors. */
typedef void (*scheduler_progress_visitor_t) (const task_progress_t *progress, void *data);
void scheduler_visit_progress (const scheduler_t *scheduler,
                               const char *id,
                               scheduler_progress_visitor_t visit,
                               void *data);

/* Batches in which progress and ends of jobs are stored.  scheduler_batch_begin() closes the
 * current batch and returns its number: everything passed to `save_progress` and `finish` since
 * the previous call belongs to it.  scheduler_batch_stored() is to be called when all batches up to
 * this one are stored. */
guint64 scheduler_batch_begin (scheduler_t *scheduler);
void scheduler_batch_stored (scheduler_t *scheduler, guint64 batch);

/* Restores a stored placement of an earlier leader.  The caller chooses its number, which is
 * below RESTORED_PLACEMENT_LIMIT.  Call this after its jobs are added and before the first report.
 * A run that counts for a workspace, and whose job is unknown or whose task is done, may still be
 * alive: it counts until its executor reports that it is not. */
void scheduler_restore_placement (scheduler_t *scheduler,
                                  guint64 placement,
                                  const placed_run_t *runs,
                                  guint count,
                                  gint64 now_us);

/* The start of a run: its placement, and its index there. */
typedef struct
{
  guint64 placement;
  guint run;
} open_start_t;

/* What is known of the starts of this leader.  The start of a run is known once the incarnation in
 * its record has answered the order or listed the run.  Let go of with settled_starts_clear(). */
typedef struct
{
  guint64 below;       /* starts of placements from this number on are not covered */
  GArray *open;        /* open_start_t: the others that are not known */
  GPtrArray *unsteady; /* ids of executors whose leases may be as long as they accept; borrowed */
  bool may_repeat;     /* a run that has been started may be started by another order */
} settled_starts_t;

void
scheduler_get_settled_starts (scheduler_t *scheduler, settled_starts_t *settled, gint64 now_us);
void settled_starts_clear (settled_starts_t *settled);

/* Counts the starts that have become known. */
guint64 scheduler_known_starts (const scheduler_t *scheduler);

/* Sets whether earlier leaders may have ordered a start more than once; they may unless this is
 * called.  To be called before the first report. */
void scheduler_set_former_repeats (scheduler_t *scheduler, bool may_former_repeat);

/* To be called when the placement is stored; issues its start orders. */
void scheduler_placement_stored (scheduler_t *scheduler, guint64 number, gint64 now_us);

void
scheduler_executor_listed (scheduler_t *scheduler, const executor_entry_t *entry, gint64 now_us);
void scheduler_executor_unlisted (scheduler_t *scheduler, const char *id, gint64 now_us);
void
scheduler_executor_report (scheduler_t *scheduler, const executor_report_t *report, gint64 now_us);

/* To be called when the VM that sent the executor's hold requests is lost.  The VM may go on to
 * renew the executor's lease until the leader's lease, as the VM knows it, expires. */
void scheduler_executor_vm_lost (scheduler_t *scheduler, const char *id, gint64 now_us);

/* To be called when the hold requests of the executor move to another VM.  The former VM may
 * have renewed the executor's lease in a request whose report does not arrive. */
void scheduler_executor_reassigned (scheduler_t *scheduler, const char *id, gint64 now_us);

/* To be called before scheduler_order_result() with the step that the order's token was made with,
 * which is the latest one of its executor otherwise. */
void scheduler_order_token (scheduler_t *scheduler, guint64 order, guint fence_step);

/* To be called before scheduler_order_result() if the VM with the order is lost: it may carry the
 * order out until the leader's lease, as it knows it, expires. */
void scheduler_order_vm_lost (scheduler_t *scheduler, guint64 order, gint64 now_us);

void scheduler_order_result (scheduler_t *scheduler,
                             guint64 order,
                             order_outcome_t outcome,
                             gint64 now_us);

/* Result of a call for advice.  `is_answered` is false if the call failed or was refused;
 * an executor without a ticket is denied. */
void scheduler_advice_result (scheduler_t *scheduler,
                              guint64 order,
                              bool is_answered,
                              const ticket_t *tickets,
                              guint ticket_count,
                              gint64 now_us);

/* Sets how many calls for advice may be sent now: `all` in total, `slow` of them slow ones. */
void scheduler_set_advice_slots (scheduler_t *scheduler, guint all, guint slow);

/* Runs one scheduling round and issues its orders.  Returns the time at which to call it
 * again if no event comes before. */
gint64 scheduler_run_round (scheduler_t *scheduler, gint64 now_us, gint64 unix_ms);

/* Stops placing tasks for good, before the leadership is given up.  Runs that are planned already
 * are still started once their placement is stored. */
void scheduler_close (scheduler_t *scheduler);

typedef struct
{
  guint jobs;
  guint waiting_task_count; /* neither done nor placed, whether or not their step is ready */
  guint runs;
  guint executors;
  guint executors_usable;  /* listed and not draining, and have reported */
  guint executors_slow;    /* of them, known to be slower than usual; 0 if speeds are not learned */
  guint executors_fast;    /* of them, known to be faster than usual */
  guint advice_calls;      /* in flight */
  guint64 cpu_milli;       /* of usable executors */
  guint64 cpu_used_milli;  /* on all executors */
  guint64 outlived_leases; /* runs that were alive although their lease had to have expired */
} scheduler_stats_t;

void scheduler_stats (const scheduler_t *scheduler, scheduler_stats_t *stats);

/* What the scheduler knows of a queue. */
typedef struct
{
  const char *name; /* valid as long as the scheduler */
  guint pending_jobs;
  double runtime_ratio;           /* moving average of actual over estimated run time */
  double allowed_share;           /* moving average of the share of executors that advice allows */
  runtime_model_stats_t runtimes; /* zero unless run times are learned */
} queue_stats_t;

/* Calls `visit` for each queue, in any order. */
typedef void (*scheduler_queue_visitor_t) (const queue_stats_t *stats, void *data);
void
scheduler_visit_queues (const scheduler_t *scheduler, scheduler_queue_visitor_t visit, void *data);

/* Work beyond the share of a workspace that is to stay away. */
typedef struct
{
  workspace_stats_t workspace;
  const char *queue; /* of that work; valid as long as the scheduler */
  guint jobs;        /* of the workspace, beyond its share, that wait with nothing running */
  guint stay_ms;     /* until its callers should retry */
} scheduler_refusal_t;

/* Calls `visit` for each workspace and queue in which work beyond the share has waited for so long
 * that it is of no use any more, as the fleet is full. */
typedef void (*scheduler_refusal_visitor_t) (const scheduler_refusal_t *refusal, void *data);
void scheduler_visit_refusals (const scheduler_t *scheduler,
                               gint64 now_us,
                               scheduler_refusal_visitor_t visit,
                               void *data);

/* Calls `visit` for each workspace that is in the desired state or has jobs or runs. */
void
scheduler_visit_workspaces (const scheduler_t *scheduler, workspace_visitor_t visit, void *data);
