/* Internal state of a cell_t, private to the files that implement it. */
#pragma once

#include "base/list.h"
#include "decide/scheduler.h"

typedef struct job job_t;
typedef struct step step_t;
typedef struct task task_t;
typedef struct run run_t;
typedef struct executor executor_t;
typedef struct queue queue_t;

/* A queue and its learned statistics (moving averages), which are kept when the desired state
 * changes. */
struct queue
{
  char *name;
  char *service;
  guint priority;
  guint attempts;
  double stretch;
  gint64 objective_us;
  advice_terms_t advice;
  bool is_routed;       /* in the current desired state */
  double allowed_share; /* part of the executors in calls for advice that it allows */
  double work_ratio;    /* real over estimated run time */
  guint pending_jobs;   /* jobs that have not ended and have no started task */
};

typedef enum
{
  RUN_PLANNED,    /* its placement is being stored; no start order was sent */
  RUN_CALLED_OFF, /* cancelled while RUN_PLANNED; removed once its placement is stored */
  RUN_RESTORED,   /* placed by an earlier leader; its executor has not reported since */
  RUN_ORDERED,    /* the start order is in flight */
  RUN_UNSURE,     /* the start order got no answer; a stop order follows */
  RUN_ALIVE,
  RUN_STOPPING,
  RUN_STOPPED /* the stop is confirmed; removed when a later report does not list the run */
} run_state_t;

/* One attempt to run a task.  `task` is NULL if no live task wants the run. */
struct run
{
  task_t *task;
  executor_t *executor;
  task_ref_t ref;
  guint number;
  run_state_t state;
  room_t resources;
  guint64 order;     /* start or stop order in flight; 0: none */
  gint64 alive_us;   /* when it was first known to run; 0: not known to have started */
  gint64 retry_us;   /* when to send a failed stop order again; 0: none has failed */
  guint percent;     /* completed part of its work, as last reported */
  gint64 percent_us; /* when `percent` last changed; 0: never reported */
  guint64 mark;      /* RUN_STOPPED: reports with this mark were requested after the stop */
  guint64 placement; /* 0: none, the run was adopted from a report */
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
  guint failed_runs[FAILED_RUNS_KEPT]; /* latest runs whose failure was counted */
  guint failed_run_count;
  char *checkpoint; /* NULL: none */
  guint moves;      /* runs that were stopped because they stalled */
  gint64 retry_us;  /* earliest time of the next start */
  list_node_t runs;
};

typedef enum
{
  VERDICT_UNKNOWN,
  VERDICT_ALLOWED,
  VERDICT_DENIED
} verdict_t;

/* The decision of the advice service on one executor for one step. */
typedef struct
{
  verdict_t verdict;
  gint64 born; /* incarnation of the executor that the ticket is valid for */
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
  guint unplaced_count; /* tasks that are not done and have no run */
  gint64 due_us;
  gint64 ready_us;      /* when it was due and its prerequisites done; 0: not yet */
  GHashTable *advice;   /* executor id -> advice_t */
  guint64 advice_order; /* call for advice in flight; 0: none */
  gint64 advice_retry_us;
};

struct job
{
  job_spec_t *spec;
  queue_t *queue;
  job_state_t state;
  bool is_ended; /* its end is stored or being stored */
  bool is_stored_end;
  bool was_started;
  bool is_dirty;      /* its progress is to be stored with the current batch */
  gint64 accepted_us; /* on this leader's clock */
  gint64 began_us;
  step_t *steps; /* of all occurrences */
  guint step_total;
  guint run_count; /* its tasks' runs that may be alive */
  list_node_t node;
};

/* An end to acknowledge once the batch is stored. */
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
  char *rack; /* NULL: unknown */
  room_t capacity;
  room_t used;
  gint64 born; /* identifies the incarnation; 0: unknown */
  bool is_listed;
  bool is_draining;
  bool has_reported;          /* this incarnation has reported to this leader */
  bool is_reached;            /* the latest hold request was answered */
  bool is_assigned;           /* an entry VM was told to send hold requests to it */
  gint64 lapse_us;            /* no lease granted so far is valid after this */
  guint64 last_seen_end;      /* ends up to this number are processed */
  guint64 acked;              /* ends up to this number may be acknowledged */
  GQueue acks;                /* pending_ack_t */
  guint64 mark;               /* increased when a stop is confirmed */
  guint consecutive_failures; /* runs that failed since one succeeded */
  bool is_on_trial;           /* after an ejection: one run at a time until one makes progress */
  gint64 ejected_until_us;
  room_t reserved; /* in the current round, for gangs that go first */
  list_node_t runs;
};

/* A call for advice in flight. */
typedef struct
{
  step_t *step;         /* NULL: the answer is no longer needed */
  GPtrArray *executors; /* ids, owned */
  gint64 sent_us;
  bool is_slow;
} advice_call_t;

/* A stored record of runs that may have been started. */
typedef struct
{
  guint64 number;
  guint live_runs; /* its runs that may be alive */
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
  GHashTable *runs;         /* order in flight -> run_t */
  GHashTable *advice_calls; /* order -> advice_call_t */
  list_node_t job_list;
  GHashTable *placements; /* number -> placement_t */
  guint64 next_order;
  guint64 next_placement;
  GArray *planned;    /* run_t *, planned in the current round */
  guint64 batch;      /* the batch that is being filled */
  guint64 batch_done; /* batches up to this one are stored */
  guint advice_slots; /* calls for advice that may be sent now */
  guint slow_slots;   /* slow ones among them */
  bool is_closed;
  guint run_total;
};

enum
{
  RUNS_PER_EPOCH = 1000, /* run numbers per task that each leader may use */
  ASIDE_FAILURES = 4     /* consecutive failed runs after which an executor is ejected */
};

/* An executor's clock may run slower than the leader's by up to this factor. */
#define CLOCK_DRIFT 1.02

/* scheduler.c */
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

/* scheduler_runs.c */
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

/* scheduler_executors.c */
executor_t *cell_find_executor (const cell_t *cell, const char *id);
bool cell_executor_usable (const executor_t *executor, gint64 now_us);
void cell_fleet_step (cell_t *cell, gint64 now_us);
bool cell_has_label (const executor_t *executor, const char *label);
room_t cell_free_room (const executor_t *executor);
bool cell_room_fits (room_t need, room_t resources);
void cell_executor_free (gpointer data);
executor_t *cell_executor_of (cell_t *cell, const char *id);
void cell_extend_lapse (const cell_t *cell, executor_t *executor, gint64 from_us);

/* scheduler_progress.c */
void cell_note_progress (executor_t *executor, run_t *run, guint percent, gint64 now_us);
void cell_check_progress (cell_t *cell, executor_t *executor, gint64 now_us);
void cell_set_aside (cell_t *cell, executor_t *executor, const char *reason, gint64 now_us);

/* Expected time until the run ends, from its progress or its estimate; above 0. */
gint64 cell_run_left_us (const run_t *run, gint64 now_us);

/* scheduler_gang.c */
bool cell_place_gang (cell_t *cell, step_t *step, bool may_reserve, gint64 now_us);

/* scheduler_advice.c */
const char *cell_ticket (const step_t *step, const executor_t *executor, gint64 now_us);
verdict_t cell_verdict (const step_t *step, const executor_t *executor);
bool cell_ask_advice (cell_t *cell, step_t *step, gint64 now_us);
/* True if a call for the step can be sent now. */
bool cell_may_ask (const cell_t *cell, const step_t *step, gint64 now_us);
/* Expected duration of a call that asks about `count` executors; 0 if the queue needs none. */
gint64 cell_advice_us (const step_t *step, guint count);
/* Asks for advice on the executors with these ids, and takes ownership of the array. */
void cell_send_advice (cell_t *cell, step_t *step, GPtrArray *ids, gint64 now_us);
/* True if the step has a ticket for the executor that is still valid at `at_us`. */
bool cell_has_ticket_at (const step_t *step, const executor_t *executor, gint64 at_us);
/* The known executors that advice has allowed for the step; all executors if its queue needs
 * no advice.  Free with g_ptr_array_unref(). */
GPtrArray *cell_allowed_executors (const cell_t *cell, const step_t *step);
/* Part of the queue's executors that advice is likely to allow, from 0.1 to 1. */
double cell_allowed_share (const step_t *step);
void cell_drop_advice (cell_t *cell, step_t *step);
void cell_forget_ticket (step_t *step, const executor_t *executor);

/* scheduler_dispatch.c */
bool cell_executor_disturbed (const executor_t *executor, const step_t *step);
void cell_start_task (cell_t *cell, task_t *task, executor_t *executor, guint number);
bool cell_executor_suits (const step_t *step, const executor_t *executor);
