/* The decider of a scheduling domain: which task starts when and where.
 *
 * Holds jobs, executors and runs, and turns events (jobs, cancels, executors' reports,
 * answers to orders, tickets) into orders.  Pure: it has no socket, clock or global;
 * the present time is an argument, and orders leave through cell_ops_t.
 *
 * Invariants, for any order, loss or delay of events:
 *  - a task has at most one run that may be alive (two with `speculative`);
 *  - a run holds its room on its executor until it is known to be gone: its end was
 *    listed, its stop was confirmed and a later report does not show it, its executor
 *    has a new life, or its lease has certainly lapsed;
 *  - an end is acknowledged to its executor only once it is stored;
 *  - a start is ordered only once its placement is stored, on condition that the claim
 *    is held: what is not stored as placed runs nowhere.
 */
#pragma once

#include "decide/spec.h"

typedef struct cell cell_t;

enum
{
  CELL_OWN_PLACEMENTS = 1000000, /* numbers of this claim's placements are above */
  FAILED_RUNS_KEPT = 8           /* of a task; an end may be listed long after */
};

/* One task of a job. */
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
  END_LAPSED,
  END_BROKEN, /* another member of the gang ended */
  END_ALONE   /* the other members of the gang did not come in time */
} end_how_t;

typedef enum
{
  ORDER_OK,
  ORDER_LOST,     /* no answer: carried out, or not, or later */
  ORDER_NOT_SENT, /* certainly never carried out */
  ORDER_FENCED,   /* the executor has seen a later claim */
  ORDER_OLD,      /* this run or a later one was stopped or ended there */
  ORDER_LATE,     /* its lease was over when it arrived */
  ORDER_NO_ROOM,  /* the executor guards its capacity */
  ORDER_BAD_TICKET,
  ORDER_BUSY,      /* the executor is not healthy; nothing was done */
  ORDER_OTHER_LIFE /* the executor has restarted */
} order_outcome_t;

const char *order_outcome_name (order_outcome_t outcome);

typedef struct
{
  task_ref_t task;
  guint run;
  const char *checkpoint;
  guint percent;
  guint load;
} run_row_t;

typedef struct
{
  guint64 number;
  task_ref_t task;
  guint run;
  end_how_t how;
  const char *checkpoint;
} end_row_t;

/* An executor's answer to a hold, or its absence. */
typedef struct
{
  const char *executor;
  bool is_reached;
  bool is_fenced;  /* it has seen a later claim */
  bool is_renewed; /* the hold asked for a lease, answered or not */
  gint64 born;     /* identifies the executor's life; Unix ms */
  guint64 mark;    /* latest mark that the caller had when it sent the hold */
  const run_row_t *running;
  guint running_count;
  const end_row_t *ended;
  guint ended_count;
} executor_report_t;

/* An executor's entry in the registry. */
typedef struct
{
  const char *id;
  const char *address;
  const char *service;
  const char *zone;
  room_t capacity;
  const char *const *labels; /* NULL-terminated */
  const char *rack;          /* NULL: not known */
  bool is_draining;
  gint64 born;
} executor_entry_t;

typedef struct
{
  guint64 order;
  const char *executor;
  gint64 born;
  task_ref_t task;
  guint run;
  const char *spec;
  const char *checkpoint; /* "" for none */
  const char *ticket;     /* "" for none */
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
  task_ref_t step; /* its index is 0 */
  const char *const *executors;
  guint executor_count;
  gint64 expected_us; /* time that the call takes */
  bool is_slow;       /* it counts against the slow calls allowed */
} advise_order_t;

typedef struct
{
  const char *executor;
  const char *ticket;
} ticket_t;

/* A run as it is stored before its order is sent. */
typedef struct
{
  task_ref_t task;
  guint run;
  const char *executor;
} placed_run_t;

typedef struct
{
  void (*start) (const start_order_t *order, void *data);
  void (*stop) (const stop_order_t *order, void *data);
  void (*advise) (const advise_order_t *order, void *data);
  /* The job's progress must be stored with the next batch. */
  void (*save) (const char *job, void *data);
  /* The job has ended; its end must be stored with the next batch. */
  void (*finish) (const char *job, job_state_t state, void *data);
  /* Ends up to `acked` may be acknowledged, and the next report is to carry `mark`. */
  void (*acknowledge) (const char *executor, guint64 acked, guint64 mark, void *data);
  /* Hold this executor; or (address NULL) no longer. */
  void (*hold) (const char *executor, const char *address, void *data);
  /* Store these runs; their orders follow cell_placement_stored(). */
  void (*place) (guint64 placement, const placed_run_t *runs, guint count, void *data);
  /* The record of a placement is of no more use; delete it after what was saved so far. */
  void (*drop_placement) (guint64 placement, void *data);
  /* An executor has seen a later claim: this decider is deposed. */
  void (*deposed) (void *data);
  /* One line of a log: key=value pairs. */
  void (*note) (const char *event, const char *pairs, void *data);
} cell_ops_t;

typedef struct
{
  gint64 hold_us;      /* length of the leases that executors are given */
  gint64 claim_us;     /* longest validity of a claim after it was lost */
  gint64 gang_wait_us; /* that members of a gang wait for each other */
  double remote_factor;
} cell_limits_t;

/* `epoch` counts the claims before this one; runs of jobs from before it are numbered
 * above those of every earlier claim. */
cell_t *cell_new (
    const cell_limits_t *limits, guint epoch, gint64 now_us, const cell_ops_t *ops, void *data);
void cell_free (cell_t *cell);

/* Takes a version of the desired state (borrowed until the next). */
void cell_set_desired (cell_t *cell, const desired_t *desired);

/* Progress that the store keeps for a task. */
typedef struct
{
  guint occurrence;
  guint step;
  guint index;
  bool is_done;
  guint failures;
  /* Runs whose failure was counted, the latest ones. */
  guint failed_runs[FAILED_RUNS_KEPT];
  guint failed_run_count;
} task_progress_t;

/* Adds a job, which is taken.  `is_old`: it may have been started under an earlier
 * claim, so that its runs are numbered above those.  A job that is known already is
 * freed.  True when it was added. */
bool cell_add_job (cell_t *cell,
                   job_spec_t *spec,
                   const task_progress_t *progress,
                   guint progress_count,
                   bool may_have_started,
                   gint64 now_us,
                   gint64 unix_ms);

/* Cancels a job.  False when it is not known. */
bool cell_cancel (cell_t *cell, const char *id, gint64 now_us);

/* The end of a job is stored; forgotten once nothing of it runs. */
void cell_forget (cell_t *cell, const char *id);

/* State of a live job; false when it is not known. */
bool cell_job_state (const cell_t *cell, const char *id, job_state_t *state);

typedef struct
{
  const char *queue; /* valid as long as the cell */
  gint64 accepted_us;
  gint64 began_us; /* its first task did; 0: none has under this claim */
} job_times_t;

/* False when the job is not known. */
bool cell_job_times (const cell_t *cell, const char *id, job_times_t *times);

/* Jobs of a queue none of whose tasks has started. */
guint cell_pending (const cell_t *cell, const char *queue);

/* Calls `visit` for each task of the job that has something to be stored. */
typedef void (*cell_progress_t) (const task_progress_t *progress, void *data);
void cell_progress (const cell_t *cell, const char *id, cell_progress_t visit, void *data);

/* Batches of stored ends.  All that was saved or finished before cell_batch_begin()
 * belongs to the batch of the number that it returns. */
guint64 cell_batch_begin (cell_t *cell);
void cell_batch_done (cell_t *cell, guint64 batch);

/* A placement that an earlier claim left, under a number that the caller chose below
 * CELL_OWN_PLACEMENTS; after its jobs were added, before the first report. */
void cell_restore_placement (
    cell_t *cell, guint64 placement, const placed_run_t *runs, guint count, gint64 now_us);

/* The placement is stored: its orders are issued. */
void cell_placement_stored (cell_t *cell, guint64 placement, gint64 now_us);

void cell_executor_listed (cell_t *cell, const executor_entry_t *entry, gint64 now_us);
void cell_executor_unlisted (cell_t *cell, const char *id, gint64 now_us);
void cell_executor_report (cell_t *cell, const executor_report_t *report, gint64 now_us);

/* The VM that held this executor is gone; leases that it gave end with its permission
 * at the latest. */
void cell_executor_orphaned (cell_t *cell, const char *id, gint64 now_us);

/* Another VM is to hold the executor: the former one may have had a lease granted of which no
 * report will come. */
void cell_executor_moved (cell_t *cell, const char *id, gint64 now_us);

void cell_order_result (cell_t *cell, guint64 order, order_outcome_t outcome, gint64 now_us);

/* `is_answered` false: the call failed or was refused. */
void cell_advice_result (cell_t *cell,
                         guint64 order,
                         bool is_answered,
                         const ticket_t *tickets,
                         guint ticket_count,
                         gint64 now_us);

/* Calls for advice that may be made now: `all` at once, `slow` of them for long calls. */
void cell_set_advice_slots (cell_t *cell, guint all, guint slow);

/* Decides and issues what can be issued.  Returns the time of the next call that is
 * needed if nothing else happens, in microseconds. */
gint64 cell_step (cell_t *cell, gint64 now_us, gint64 unix_ms);

/* Stops issuing starts, for good: the claim is about to be given up. */
void cell_close (cell_t *cell);

typedef struct
{
  guint jobs;
  guint waiting_tasks;
  guint runs;
  guint executors;
  guint executors_usable;
  guint advice_calls; /* on their way */
  guint64 cpu_milli;  /* of usable executors */
  guint64 cpu_used_milli;
} cell_stats_t;

void cell_stats (const cell_t *cell, cell_stats_t *stats);
