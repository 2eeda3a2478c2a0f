/* State of a cell_t, shared by the files that make it up.  Not for others. */
#pragma once

#include "base/list.h"
#include "decide/scheduler.h"

typedef struct job job_t;
typedef struct step step_t;
typedef struct task task_t;
typedef struct run run_t;
typedef struct executor executor_t;
typedef struct queue queue_t;

/* A queue and what was learnt of it; outlives versions of the desired state. */
struct queue
{
  char *name;
  char *service;
  guint priority;
  guint attempts;
  double stretch;
  gint64 objective_us;
  advice_terms_t advice;
  bool is_routed;       /* in the present desired state */
  double allowed_share; /* of executors named in calls for advice */
  double work_ratio;    /* real over estimated run time */
  guint pending_jobs;        /* live jobs without a started task */
};

typedef enum
{
  RUN_PLANNED,    /* its placement is being stored; no order was sent */
  RUN_CALLED_OFF, /* to be given up once its placement is answered */
  RUN_RESTORED,   /* placed by an earlier claim; no report has come since */
  RUN_ORDERED,    /* the order is on its way */
  RUN_UNSURE,     /* the order got no answer; a stop is on its way */
  RUN_ALIVE,
  RUN_STOPPING,
  RUN_STOPPED /* the stop is confirmed; gone when a later report does not show it */
} run_state_t;

/* One start of a task.  `task` is NULL for a run that belongs to no live task. */
struct run
{
  task_t *task;
  executor_t *executor;
  task_ref_t ref;
  guint number;
  run_state_t state;
  room_t resources;
  guint64 order;     /* the latest start or stop; 0: none on its way */
  gint64 alive_us;   /* 0: not known to have started */
  gint64 retry_us;   /* a lost stop is sent again then; 0: no */
  guint percent;     /* of its work that is done, as last reported */
  gint64 percent_us; /* that changed then; 0: not reported */
  guint64 mark;      /* a report with it no longer shows the run */
  guint64 placement; /* 0: none, it was adopted */
  list_node_t by_task;
  list_node_t by_executor;
};

struct task
{
  step_t *step;
  guint index;
  bool is_done;
  guint failures;
  guint last_run;
  guint failed_runs[FAILED_RUNS_KEPT]; /* those counted, the latest ones */
  guint failed_run_count;
  char *checkpoint; /* NULL: none */
  guint moves;      /* runs that were stopped for their progress */
  gint64 retry_us;  /* not started before */
  list_node_t runs;
};

typedef enum
{
  VERDICT_UNKNOWN,
  VERDICT_ALLOWED,
  VERDICT_DENIED
} verdict_t;

/* What advice said of one executor for one step. */
typedef struct
{
  verdict_t verdict;
  gint64 born; /* life of the executor that the ticket is for */
  char *ticket;
  gint64 expires_us;
} advice_t;

struct step
{
  job_t *job;
  guint occurrence;
  guint index;
  const step_spec_t *spec;
  task_t *tasks;
  guint done_count;
  guint unplaced_count; /* tasks that need a start */
  gint64 due_us;
  gint64 ready_us;      /* prerequisites done; 0: not yet */
  GHashTable *advice;   /* executor id -> advice_t */
  guint64 advice_order; /* 0: none on its way */
  gint64 advice_retry_us;
};

struct job
{
  job_spec_t *spec;
  queue_t *queue;
  job_state_t state;
  bool is_ended; /* its end is being stored, or is */
  bool is_stored_end;
  bool was_started;
  bool is_dirty;
  gint64 accepted_us; /* on the decider's clock */
  gint64 began_us;
  step_t *steps; /* of all occurrences */
  guint step_total;
  guint run_count; /* runs that may be alive */
  list_node_t node;
};

typedef struct
{
  guint64 number;
  guint64 batch;
} pending_ack_t;

struct executor
{
  char *id;
  char *address;
  char *service;
  char *zone;
  char **labels;
  char *rack; /* NULL: not known */
  room_t capacity;
  room_t used;
  gint64 born; /* 0: not known */
  bool is_listed;
  bool is_draining;
  bool has_reported;  /* a report came under this claim in this life */
  bool is_reached; /* the latest hold was answered */
  bool is_assigned;    /* an entry VM was told to hold it */
  gint64 lapse_us; /* no lease that was given is valid after this */
  guint64 last_seen_end;    /* ends processed */
  guint64 acked;
  GQueue acks; /* pending_ack_t */
  guint64 mark;
  guint consecutive_failures;   /* runs that failed since one was done */
  bool is_on_trial; /* was set aside: one run at a time until that makes progress */
  gint64 aside_until_us;
  room_t reserved; /* in the present round, for jobs that go first */
  list_node_t runs;
};

/* Calls for advice on their way. */
typedef struct
{
  step_t *step;         /* NULL: the step is gone */
  GPtrArray *executors; /* ids, owned */
  gint64 sent_us;
  bool is_slow;
} advice_call_t;

/* A record of runs that may have been started. */
typedef struct
{
  guint64 number;
  guint live_runs; /* runs of it that are not gone */
} placement_t;

struct cell
{
  cell_limits_t limits;
  guint epoch;
  gint64 started_us;
  const cell_ops_t *ops;
  void *data;
  const desired_t *desired;
  GHashTable *queues;    /* name -> queue_t */
  GHashTable *jobs;      /* id -> job_t */
  GHashTable *executors; /* id -> executor_t */
  GPtrArray *executor_list;
  GHashTable *runs;         /* order -> run_t */
  GHashTable *advice_calls; /* order -> advice_call_t */
  list_node_t job_list;
  GHashTable *placements; /* number -> placement_t */
  guint64 next_order;
  guint64 next_placement;
  GArray *planned; /* run_t *, of the present step */
  guint64 batch;   /* being filled */
  guint64 batch_done;
  guint advice_slots;
  guint slow_slots;
  bool is_closed;
  guint run_total;
};

enum
{
  RUNS_PER_EPOCH = 1000, /* run numbers set apart for each claim */
  ASIDE_FAILURES = 4     /* failed runs in a row that set an executor aside */
};

/* Executors' clocks may be this much slow. */
#define CLOCK_DRIFT 1.02

/* cell.c */
void cell_note (const cell_t *cell, const char *event, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
job_t *cell_find_job (const cell_t *cell, const char *id);
task_t *cell_find_task (const cell_t *cell, const task_ref_t *ref);
task_ref_t cell_task_ref (const task_t *task);
void cell_mark_dirty (cell_t *cell, job_t *job);
void cell_task_done (cell_t *cell, task_t *task, gint64 now_us);
void cell_task_failed (cell_t *cell, task_t *task, guint run, gint64 now_us);
bool cell_task_wants_run (const task_t *task);
void cell_update_wanting (step_t *step);
void cell_release_job (cell_t *cell, job_t *job);

/* cell_runs.c */
run_t *cell_run_new (
    cell_t *cell, task_t *task, const task_ref_t *ref, executor_t *executor, guint number);
void cell_run_began (run_t *run, gint64 now_us);
void cell_run_gone (cell_t *cell, run_t *run, gint64 now_us);
void cell_run_stop (cell_t *cell, run_t *run, gint64 now_us);
void cell_run_stop_again (cell_t *cell, run_t *run, gint64 now_us);
void cell_stop_gang (cell_t *cell, step_t *step, guint number, gint64 now_us);
run_t *cell_find_run (const executor_t *executor, const task_ref_t *ref, guint number);
void cell_retry_stops (cell_t *cell, gint64 now_us);
guint64 cell_order_for (cell_t *cell, run_t *run);
void cell_plan_run (cell_t *cell, run_t *run);
void cell_place_planned (cell_t *cell);

/* cell_fleet.c */
executor_t *cell_find_executor (const cell_t *cell, const char *id);
bool cell_executor_usable (const executor_t *executor, gint64 now_us);
void cell_fleet_step (cell_t *cell, gint64 now_us);
bool cell_has_label (const executor_t *executor, const char *label);
room_t cell_free_room (const executor_t *executor);
bool cell_room_fits (room_t need, room_t resources);
void cell_executor_free (gpointer data);
executor_t *cell_executor_of (cell_t *cell, const char *id);
void cell_extend_lapse (const cell_t *cell, executor_t *executor, gint64 from_us);

/* cell_progress.c */
void cell_note_progress (executor_t *executor, run_t *run, guint percent, gint64 now_us);
void cell_check_progress (cell_t *cell, executor_t *executor, gint64 now_us);
void cell_set_aside (cell_t *cell, executor_t *executor, const char *reason, gint64 now_us);

/* Expected time until the run ends, by its progress or its estimate; above 0. */
gint64 cell_run_left_us (const run_t *run, gint64 now_us);

/* cell_gang.c */
bool cell_place_gang (cell_t *cell, step_t *step, bool may_reserve, gint64 now_us);

/* cell_advice.c */
const char *cell_ticket (const step_t *step, const executor_t *executor, gint64 now_us);
verdict_t cell_verdict (const step_t *step, const executor_t *executor);
bool cell_ask_advice (cell_t *cell, step_t *step, gint64 now_us);
/* True when a call for the step can be made now. */
bool cell_may_ask (const cell_t *cell, const step_t *step, gint64 now_us);
/* Time that a call that names `count` executors takes. */
gint64 cell_advice_us (const step_t *step, guint count);
/* Calls for advice on the executors `named` (ids, taken over). */
void cell_send_advice (cell_t *cell, step_t *step, GPtrArray *ids, gint64 now_us);
/* The step has a ticket for the executor that is still good at `at_us`. */
bool cell_has_ticket_at (const step_t *step, const executor_t *executor, gint64 at_us);
/* Executors that the step may start on, as far as advice has said (those of it that are
 * known to the cell); all of them when the queue needs none.  Free with g_ptr_array_unref(). */
GPtrArray *cell_allowed_executors (const cell_t *cell, const step_t *step);
/* Part of a queue's executors that advice is likely to allow. */
double cell_allowed_share (const step_t *step);
void cell_drop_advice (cell_t *cell, step_t *step);
void cell_forget_ticket (step_t *step, const executor_t *executor);

/* cell_dispatch.c */
bool cell_executor_disturbed (const executor_t *executor, const step_t *step);
void cell_start_task (cell_t *cell, task_t *task, executor_t *executor, guint number);
bool cell_executor_suits (const step_t *step, const executor_t *executor);
