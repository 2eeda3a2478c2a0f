/* Internal state of a scheduler_t, private to the files that implement it. */
#pragma once

#include "base/list.h"
#include "decide/decayed_stats.h"
#include "decide/executor_speed.h"
#include "decide/scheduler.h"
#include "decide/workspace_accounts.h"

typedef struct job job_t;
typedef struct step step_t;
typedef struct task task_t;
typedef struct run run_t;
typedef struct executor executor_t;
typedef struct queue queue_t;
typedef struct placement placement_t;

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
  bool is_desired;               /* in the current desired state */
  double allowed_share;          /* share of the executors in calls for advice that are allowed */
  double runtime_ratio;          /* actual over estimated run time */
  runtime_model_t *runtimes;     /* NULL: run times are not learned */
  decayed_stats_t gang_waits_us; /* from ready to placed, of gangs that were on time */
  guint pending_job_count;       /* jobs that have not ended and have no started task */
};

typedef enum
{
  RUN_PLANNED,           /* its placement is being stored; no start order was sent */
  RUN_WITHDRAWN,         /* cancelled while RUN_PLANNED; removed once its placement is stored */
  RUN_RESTORED,          /* placed by an earlier leader; its executor has not reported since */
  RUN_STARTING,          /* the start order is in flight */
  RUN_START_UNCONFIRMED, /* the start order got no answer; a stop order follows */
  RUN_ALIVE,
  RUN_STOPPING,
  RUN_STOPPED /* the stop is confirmed; removed when a later report does not list the run, and its
               * start order is settled */
} run_state_t;

/* One attempt to run a task.  `task` is NULL if the run was adopted only to be stopped: its job is
 * unknown or has ended, or its task is done or has another run. */
struct run
{
  task_t *task;
  executor_t *executor;
  task_ref_t ref;
  guint number;
  run_state_t state;
  resource_vector_t resources;
  bool has_unknown_job;         /* it takes all that the executor has */
  workspace_account_t *account; /* that it counts for; NULL: none */
  guint64 start_order;          /* in flight; 0: none */
  guint start_step;             /* of its token; 0 if an earlier leader has sent it */
  guint64 stop_order;           /* in flight; 0: none */
  gint64 start_sent_us;         /* when the start order was sent; 0: not by this leader */
  gint64 sent_until_us;         /* a VM that is lost may send it until then; 0: none is */
  gint64 ticket_until_us;       /* the ticket of the start order has expired then; 0: it has none */
  gint64 unsettled_until_us;    /* the start order may be carried out until then; 0: it was, or was
                                 * never sent */
  gint64 former_until_us; /* the same for that of an earlier leader, if another one was sent */
  bool is_settling;       /* their time is over, and reports from `mark` on tell what they did */
  gint64 late_renewal_until_us; /* calls for a former incarnation may renew its lease until then; 0:
                                 * not any more */
  gint64 running_since_us;      /* when it was first known to run; 0: not known to have started */
  gint64 retry_at_us;           /* when to send a failed stop order again; 0: none has failed */
  guint percent;                /* completed part of its work, as last reported */
  gint64 last_progress_us;      /* when `percent` last changed; 0: never reported */
  /* RUN_STOPPED or is_settling: reports with at least this mark were requested after that. */
  guint64 mark;
  bool was_reported;   /* a report has listed it as running */
  bool is_restored;    /* an earlier leader started it */
  gint64 placed_born;  /* the incarnation in its record; 0: not known */
  bool has_open_start; /* what its start order did on that incarnation is not known */
  /* is_restored: an earlier leader knew that; the run was on placed_born or nowhere. */
  bool is_start_known;
  bool has_former_token;  /* its order carried the token of a former incarnation */
  bool has_lower_token;   /* its order carried a lower one than the incarnation may have seen */
  bool has_turn;          /* its step had a turn when it was placed */
  bool is_counted_lost;   /* among the runs that were lost with their executor */
  bool is_timed;          /* counts among the running tasks of its step's `runtime` */
  gint64 remaining_us;    /* learned, as of remaining_at_us */
  gint64 remaining_at_us; /* 0: not yet */
  placement_t *placement; /* NULL: the run was adopted from a report only to be stopped */
  guint placement_index;  /* in that record */
  list_node_t placement_node;
  list_node_t task_node;
  list_node_t executor_node;
};

struct task
{
  step_t *step;
  guint index;
  bool is_done;
  guint failures;
  guint last_run_number;               /* highest run number used so far */
  guint failed_runs[FAILED_RUNS_KEPT]; /* latest runs whose failure was counted */
  guint failed_run_count;
  guint crashes;      /* executors that crashed while a run of it was on them */
  guint crash_points; /* for those that crashed before a report listed the run */
  bool is_suspect;    /* an executor may have crashed when it started it */
  guint crash_streak; /* runs in a row that were lost with an executor that crashed early in them */
  char *checkpoint;   /* NULL: none */
  guint stall_restarts; /* runs that were stopped because they stalled */
  gint64 retry_at_us;   /* earliest time of the next start */
  list_node_t runs;
};

typedef enum
{
  ADVICE_UNKNOWN,
  ADVICE_ASKED, /* unknown, and a call that asks about the executor is in flight */
  ADVICE_ALLOWED,
  ADVICE_DENIED
} advice_decision_t;

/* An executor that advice has allowed for one step. */
typedef struct
{
  executor_t *executor;
  gint64 born;  /* incarnation of the executor that the ticket is valid for */
  char *ticket; /* NULL: the executor refused it */
  gint64 expires_us;
  bool is_asked; /* a call for another ticket is in flight */
} advice_t;

/* How a gang has waited since it was ready, or since it was last placed. */
typedef struct
{
  guint advice_calls;
  guint renewed_tickets;   /* for executors that had been allowed before */
  guint rounds;            /* in which it was considered */
  guint unplanned_rounds;  /* too many gangs went before it for a plan to be made */
  guint unreserved_rounds; /* it was planned, but too many others held reservations */
  gint64 logged_us;        /* 0: not yet */
} gang_waits_t;

/* How the cap of its workspace limits a step, as of the last round that served it. */
typedef struct
{
  cap_hold_t hold;
  guint room;       /* tasks that could start */
  bool obeys_holds; /* other work of its workspace has set a part of the cap aside before it */
  gint64 logged_us; /* when it was last logged that the step waits; 0: not yet */
} step_cap_t;

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
  gint64 ready_us;       /* when it was due and its prerequisites done; 0: not yet */
  advice_t **advice;     /* by executor index; NULL: not asked about */
  guint advice_size;     /* of that array */
  GPtrArray *allowed;    /* advice_t; NULL: none */
  guint calls_in_flight; /* for advice */
  double expected_tasks; /* that these are likely to give a ticket to, on executors not known yet */
  gint64 advice_retry_at_us;
  GPtrArray *reserved_on; /* executors reserved for the gang, one per task; NULL: none */
  bool is_touched;        /* in the scheduler's list of touched steps */
  /* Its tasks may take resources that are reserved: it goes before all gangs with reservations. */
  bool overrides_reservations;
  double min_speed;       /* of executors that are fast enough for it; 0: all are */
  bool is_held_for_speed; /* in the current round, executors that are too slow are not used */
  executor_speed_runs_t *speed_runs; /* of its ended tasks; NULL: none */
  gint64 turn_us;                    /* since when it has a turn, and goes first; 0: it has none */
  gint64 turn_ended_us;              /* when it last gave that up without being placed; 0: never */
  gang_waits_t waits;
  bool was_placed; /* a gang; its later waits include runs that failed */
  step_cap_t cap;
  runtime_step_t runtime;
  gint64 runtime_us;      /* learned, of a task, as of predicted_at_us */
  gint64 predicted_at_us; /* 0: not yet */
};

struct job
{
  job_spec_t *spec;
  queue_t *queue;
  workspace_account_t *account; /* NULL: it has no workspace */
  bool is_excess;               /* it was accepted beyond the share of its workspace */
  job_state_t state;
  bool is_ended; /* its end is stored or being stored */
  bool is_end_stored;
  bool was_started;       /* a task has started, or the job has ended */
  list_node_t dirty_node; /* linked while its progress is to be stored with the current batch */
  gint64 accepted_us;     /* on this leader's clock */
  gint64 began_us;
  gint64 objective_us; /* as of the last round in which it waited; 0: none */
  step_t *steps;       /* of all occurrences */
  guint step_total;
  guint run_count; /* runs of its tasks that are not known to be gone */
  runtime_job_t runtime;
  text_digest_t text_digest; /* of spec->spec, once `has_text_digest` */
  bool has_text_digest;
  list_node_t node;
};

/* An end to acknowledge once the batch is stored. */
typedef struct
{
  guint64 number;
  guint64 batch;
  gint64 not_before_us; /* a start order of its task may be carried out until then; 0: none may */
} pending_ack_t;

/* A run that was lost with its executor, which may have crashed or be cut off. */
typedef struct
{
  task_ref_t task;
  guint run;
  bool is_at_start;        /* no report had listed it */
  bool is_start_confirmed; /* the executor had confirmed the start */
  gint64 seen_us;          /* when the executor last reported */
  gint64 ran_us;           /* for how long the run is known to have run by then */
} lost_run_t;

/* A run that was given up because the executor's leases had to have expired. */
typedef struct
{
  task_ref_t task;
  guint run;
  gint64 given_up_us;
} expired_run_t;

struct executor
{
  guint index; /* in the scheduler's list */
  char *id;
  char *address;
  char *service;
  char *zone;
  char **labels;
  char *rack; /* NULL: unknown */
  resource_vector_t capacity;
  resource_vector_t used;
  gint64 born;          /* identifies the incarnation; 0: unknown */
  guint first_step;     /* of fencing tokens, with which calls to this incarnation began */
  guint fence_step;     /* the highest one that it may be known to have seen, of calls but starts */
  guint last_step;      /* the highest one that any call may carry */
  guint start_step;     /* of the next start order: above all told with ends to acknowledge */
  guint64 told_acked;   /* ends that its VM was told to acknowledge */
  bool has_seen_fence;  /* it has answered a call with a token of this incarnation */
  bool is_out_of_steps; /* its incarnations can no longer be told apart by tokens */
  gint64 born_known_us; /* since when that incarnation is known */
  gint64 token_seen_us; /* since when it is known to have seen its token; has_seen_fence */
  gint64 former_seen_born;   /* an incarnation that has seen its token of an earlier leader */
  gint64 former_steady_born; /* one whose leases were all granted with such a token */
  /* The incarnation that wrote the registry entry: service, labels, rack, capacity and whether it
   * drains.  The next one may be of another kind. */
  gint64 entry_born;
  bool is_listed;
  bool is_draining;
  bool has_reported; /* this incarnation has reported to this leader */
  /* The latest hold request was answered.  Also false after a start order could not be sent or
   * the VM that sent the hold requests was lost. */
  bool is_reachable;
  gint64 last_report_us;      /* when an answered hold request was last reported; 0: not yet */
  bool is_address_doubtful;   /* this incarnation was listed, or has answered, at another one too */
  bool is_assigned;           /* an entry VM has been assigned to send hold requests to it */
  gint64 lease_expiry_us;     /* no lease granted so far is valid after this */
  guint64 last_seen_end;      /* ends up to this number are processed */
  bool has_more_ends;         /* it may have ended more runs than the last report listed */
  guint64 acked;              /* ends up to this number may be acknowledged */
  GQueue pending_acks;        /* pending_ack_t */
  guint64 mark;               /* increased when a stop is confirmed */
  guint64 told_mark;          /* that its VM has been told with an acknowledgement; 0: none yet */
  guint consecutive_failures; /* runs that failed since one succeeded */
  bool is_on_probation; /* after an ejection: one run at a time until one progresses or succeeds */
  gint64 ejected_until_us;
  gint64 trial_until_us;      /* nothing else starts on it: a task that may crash it has started */
  bool has_crashed;           /* a later incarnation was seen */
  GArray *lost_runs;          /* lost_run_t, to be counted once it is known to have crashed */
  GArray *expired_runs;       /* expired_run_t, since it last reported */
  resource_vector_t reserved; /* for gangs that go first */
  guint asked_cpu_milli;      /* likely to be taken by steps whose calls for advice are in flight */
  executor_speed_t *speed;    /* of the incarnation; borrowed; NULL: speeds are not learned */
  list_node_t runs;
  list_node_t ack_node; /* in the scheduler's list of executors with pending acks */
};

/* A call for advice in flight. */
typedef struct
{
  step_t *step;          /* NULL: the answer is no longer needed */
  GPtrArray *executors;  /* executor_t, borrowed */
  gint64 *born;          /* of each of them, when it was asked about */
  guint asked_cpu_milli; /* counted for each of them */
  gint64 sent_us;
  bool is_slow;
  double expected_tasks; /* counted for the step while the call is in flight */
} advice_call_t;

/* A record of planned runs, which is stored before their start orders are sent. */
struct placement
{
  guint64 number;
  list_node_t runs; /* that are not known to be gone */
  guint open_start_count;
  list_node_t open_node; /* linked while there are such starts */
};

/* A start that was not known when its run was given up. */
typedef struct
{
  open_start_t start;
  gint64 until_us; /* the run may be somewhere until then */
} abandoned_start_t;

struct scheduler
{
  scheduler_limits_t limits;
  guint epoch;
  gint64 first_round_us;         /* 0: none yet, so that nothing can have started */
  gint64 former_starts_until_us; /* those of earlier leaders may be carried out until then; 0: not
                                  * known yet */
  bool may_former_repeat;        /* earlier leaders may have ordered a start more than once */
  bool may_repeat;               /* so may this one, or there may be such orders of earlier ones */
  gint64 repeats_until_us;       /* such orders of this one may be carried out until then */
  list_node_t open_placements;   /* placement_t, with starts that are not known */
  GArray *abandoned_starts;      /* abandoned_start_t */
  guint64 known_starts;          /* starts that became known */
  const scheduler_ops_t *ops;
  void *data;
  const desired_state_t *desired;
  workspace_accounts_t *accounts;
  gint64 waits_logged_from_us;      /* start of the second for which `waits_logged` counts */
  guint waits_logged;               /* lines on waiting steps */
  GHashTable *queues;               /* name -> queue_t */
  GHashTable *jobs;                 /* id -> job_t */
  GHashTable *executors;            /* id -> executor_t */
  GHashTable *executors_by_address; /* address -> executor_t, the latest incarnation there */
  GPtrArray *executor_list;
  executor_speeds_t *speeds; /* NULL: they are not learned */
  GPtrArray *open_executors; /* that could run a task in the last full round, most free CPU first */
  GPtrArray *touched;        /* step_t that changed since; those that ended may be among them */
  GPtrArray *reserving;      /* step_t of gangs that have resources reserved */
  queue_order_key_t first_reserving_key; /* of the first of them in the order of work */
  gint64 next_full_us;                   /* no full round before this */
  gint64 next_round_us;                  /* when the next one is due if nothing happens */
  list_node_t acking;                    /* executors with pending acks */
  GHashTable *runs_by_order;             /* order in flight -> run_t */
  GHashTable *advice_calls;              /* order -> advice_call_t */
  list_node_t job_list;
  list_node_t dirty_jobs;
  GHashTable *placements; /* number -> placement_t */
  guint64 next_order;
  guint64 next_placement;
  GArray *planned;        /* run_t *, planned in the current round */
  guint64 batch;          /* the batch that is being filled */
  bool is_batch_needed;   /* it has changes to store */
  guint64 stored_batch;   /* batches up to this one are stored */
  guint advice_slots;     /* calls for advice that may be sent now */
  guint slow_slots;       /* slow ones among them */
  guint64 turn_cpu_milli; /* of runs whose step had a turn */
  bool is_closed;
  guint run_total;
  guint64 outlived_lease_count; /* runs that were alive although they had been given up */
  gint64 job_bytes;             /* scheduler_job_bytes() of all jobs */
};

enum
{
  RUN_NUMBERS_PER_EPOCH = 1000, /* run numbers per task that each leader may use */
  FAILURES_UNTIL_EJECTION = 4   /* consecutive failed runs after which an executor is ejected */
};

/* An executor's clock may run slower than the leader's by up to this factor. */
#define CLOCK_DRIFT_FACTOR 1.02

/* scheduler.c */
void scheduler_log (const scheduler_t *scheduler, const char *event, const char *format, ...)
    G_GNUC_PRINTF (3, 4);
job_t *scheduler_find_job (const scheduler_t *scheduler, const char *id);
task_t *scheduler_find_task (const scheduler_t *scheduler, const task_ref_t *ref);
task_ref_t scheduler_task_ref (const task_t *task);
bool scheduler_is_same_task (const task_ref_t *a, const task_ref_t *b);
bool scheduler_task_is_unplaced (const task_t *task);
/* Has the next round serve the step even if it is not a full one. */
void scheduler_touch_step (scheduler_t *scheduler, step_t *step);
void scheduler_release_job (scheduler_t *scheduler, job_t *job);

/* scheduler_batches.c: batches in which progress and ends of jobs are stored. */
/* Has the job's progress stored with the current batch. */
void scheduler_mark_dirty (scheduler_t *scheduler, job_t *job);
/* The batch with which all changes so far are stored. */
guint64 scheduler_last_batch (const scheduler_t *scheduler);
/* Acknowledges the executor's ends that are stored. */
void scheduler_acknowledge_stored (scheduler_t *scheduler, executor_t *executor);

/* scheduler_ends.c: ends of tasks and of their jobs. */
void scheduler_task_done (scheduler_t *scheduler, task_t *task, gint64 now_us);
/* Ends the job as failed and stops its runs. */
void scheduler_fail_job (scheduler_t *scheduler, job_t *job, gint64 now_us);
void scheduler_task_failed (scheduler_t *scheduler, task_t *task, guint run, gint64 now_us);
/* Ends the job as succeeded if all its tasks are done. */
void scheduler_finish_job_if_done (scheduler_t *scheduler, job_t *job);

/* scheduler_runs.c */
/* What a run of the task takes. */
resource_vector_t scheduler_task_resources (const task_t *task);
/* Adds a run that takes these resources and counts for this account. */
run_t *scheduler_add_run (scheduler_t *scheduler,
                          task_t *task,
                          const task_ref_t *ref,
                          executor_t *executor,
                          guint number,
                          resource_vector_t resources,
                          workspace_account_t *account);
run_t *scheduler_run_new (scheduler_t *scheduler,
                          task_t *task,
                          const task_ref_t *ref,
                          executor_t *executor,
                          guint number);
void scheduler_run_began (run_t *run, gint64 now_us);
/* The executor's capacity has changed: so has what runs of unknown jobs take. */
void scheduler_resize_unknown_runs (executor_t *executor);
void scheduler_remove_run (scheduler_t *scheduler, run_t *run, gint64 now_us);
run_t *scheduler_find_run (const executor_t *executor, const task_ref_t *ref, guint number);
/* Whether the placement is being stored: no start order was sent. */
bool scheduler_run_is_planned (const run_t *run);
/* Logs that the run is given up; `reason` is a word.  `start` in the line is how its start is
 * known: "reported", "answered", "restored" or "unanswered". */
void scheduler_log_lost_run (const scheduler_t *scheduler,
                             const run_t *run,
                             const char *reason,
                             gint64 now_us);

/* scheduler_placements.c */
void scheduler_plan_run (scheduler_t *scheduler, run_t *run);
void scheduler_store_planned (scheduler_t *scheduler);
/* Stores the run, which is known from a report only, for the next leader. */
void scheduler_store_adopted (scheduler_t *scheduler, run_t *run);
/* The run is gone; its record is deleted with the last one in it. */
void scheduler_release_placement (scheduler_t *scheduler, run_t *run);

/* scheduler_orders.c */
/* Forgets an order, which is the run's start or stop order. */
void scheduler_clear_order (scheduler_t *scheduler, guint64 *order);
/* Orders the start of a run whose placement is stored. */
void scheduler_send_start (scheduler_t *scheduler, run_t *run, gint64 now_us);
/* Orders the start of a run of an earlier leader again, which the executor does not list.  Returns
 * false if that is not possible. */
bool scheduler_restart_restored (scheduler_t *scheduler, run_t *run, gint64 now_us);
void scheduler_stop_run (scheduler_t *scheduler, run_t *run, gint64 now_us);
void scheduler_resend_stop (scheduler_t *scheduler, run_t *run, gint64 now_us);
void scheduler_stop_gang (scheduler_t *scheduler, step_t *step, guint number, gint64 now_us);
/* The VM with the start order of the run is lost, and may act until its leadership expires. */
void scheduler_start_vm_lost (const scheduler_t *scheduler, run_t *run, gint64 now_us);
/* The run has ended, though not well, but another start order of it may be carried out. */
void scheduler_run_ended_unsettled (scheduler_t *scheduler, run_t *run, gint64 now_us);
void scheduler_retry_stops (scheduler_t *scheduler, gint64 now_us);
/* Stops gangs a member of which has not answered its start order in time. */
void scheduler_stop_late_gangs (scheduler_t *scheduler, gint64 now_us);

/* scheduler_settled.c */
/* The start order of a run that has a placement is to be sent. */
void scheduler_expect_start (scheduler_t *scheduler, run_t *run);
/* It was answered by the incarnation in the record, or that has listed the run, or it was not sent.
 */
void scheduler_start_known (scheduler_t *scheduler, run_t *run);
/* The run is given up. */
void scheduler_abandon_start (scheduler_t *scheduler, run_t *run, gint64 now_us);
/* The start of a run of an earlier leader is ordered once more. */
void scheduler_note_restarted (scheduler_t *scheduler, gint64 now_us);

/* scheduler_executors.c */
executor_t *scheduler_find_executor (const scheduler_t *scheduler, const char *id);
bool scheduler_executor_is_usable (const executor_t *executor, gint64 now_us);
bool scheduler_executor_has_label (const executor_t *executor, const char *label);
/* What is free for tasks of the step, and not reserved for gangs that go before it. */
resource_vector_t scheduler_free_resources (const step_t *step, const executor_t *executor);
bool scheduler_resources_fit (resource_vector_t need, resource_vector_t resources);
void scheduler_executor_free (gpointer data);
executor_t *scheduler_ensure_executor (scheduler_t *scheduler, const char *id);
/* The executor answers, or is listed, as the incarnation `born`: what is known of a former one is
 * forgotten, and its runs are lost. */
void scheduler_begin_incarnation (scheduler_t *scheduler,
                                  executor_t *executor,
                                  gint64 born,
                                  gint64 now_us);

/* scheduler_reports.c */
/* What a report tells of a run that is known on the executor. */
typedef enum
{
  RUN_LISTED,  /* it runs */
  RUN_ABSENT,  /* it does not run, and no end of it is still to be listed */
  RUN_NOT_TOLD /* it does not run, but its end may be among those that are still to be listed */
} run_evidence_t;

/* To be called after the ends in the report have been handled. */
run_evidence_t scheduler_run_evidence (const executor_report_t *report, const run_t *run);

/* scheduler_open.c */
/* Lists the executors that can run a task in `open_executors`: those with the most free CPU first,
 * and among equal ones those that were known first. */
void scheduler_list_open_executors (scheduler_t *scheduler, gint64 now_us);

/* scheduler_fences.c */
/* The incarnation has a token of its own from now on: calls that were meant for the former one, on
 * its clock and with the numbers of its ends, have no effect once it has seen that. */
void scheduler_begin_fence_steps (scheduler_t *scheduler, executor_t *executor);
/* Returns the step of a start order that is sent now. */
guint scheduler_next_start_step (scheduler_t *scheduler, executor_t *executor);
/* The incarnation has seen this step: calls from now on carry no lower one. */
void scheduler_fence_step_seen (scheduler_t *scheduler, executor_t *executor, guint step);
/* Tells the executor's VM for which incarnation calls are, and which ends may be acknowledged. */
void scheduler_send_terms (scheduler_t *scheduler, executor_t *executor);
/* The same, with a new mark. */
void scheduler_acknowledge (scheduler_t *scheduler, executor_t *executor);
/* The same, if other ends may be acknowledged than the VM was told. */
void scheduler_update_terms (scheduler_t *scheduler, executor_t *executor);

/* scheduler_leases.c */
/* Notes that a lease may have been granted as late as `from_us`. */
void
scheduler_extend_lease_expiry (const scheduler_t *scheduler, executor_t *executor, gint64 from_us);
/* The same, where the lease may be as long as the executor accepts: its deadline may be on the
 * clock of a former incarnation. */
void scheduler_extend_lease_expiry_by_max (const scheduler_t *scheduler,
                                           executor_t *executor,
                                           gint64 from_us);
/* The incarnation has answered a call with its own token: calls that were meant for a former one
 * have no effect from now on. */
void scheduler_note_fence_seen (scheduler_t *scheduler, executor_t *executor, gint64 now_us);
/* Whether no lease of the incarnation was granted by a call that was meant for a former one. */
bool scheduler_is_steady (const scheduler_t *scheduler, const executor_t *executor, gint64 now_us);
/* When a start order that a VM may send until its leadership expires is no longer carried out. */
gint64 scheduler_repeats_end_us (const scheduler_t *scheduler, gint64 now_us);
/* A start order got no answer, which was sent by `sent_us`. */
void scheduler_note_start_unanswered (const scheduler_t *scheduler,
                                      executor_t *executor,
                                      gint64 sent_us);
/* Until when a run is alive that a call sent by `sent_us` starts or renews on an incarnation that
 * it is not meant for. */
gint64 scheduler_late_call_lease_end_us (const scheduler_t *scheduler, gint64 sent_us);
/* A start order that was sent by `sent_us` has no result: any incarnation of the executor may carry
 * it out until its time is over. */
void scheduler_note_start_unsettled (run_t *run, gint64 sent_us);
/* VMs may have sent start orders of earlier leaders until shortly after the first report. */
void scheduler_expect_former_starts (scheduler_t *scheduler, gint64 now_us);
/* Whether a new leader orders starts of the step again that got no answer, as far as it knows: no
 * ticket limits how late they are carried out, no end elsewhere is one of the same run, and the
 * next start may wait. */
bool scheduler_starts_repeat (const step_t *step);
/* Until when a start order of the run may be carried out beside the one that was. */
gint64 scheduler_repeated_until_us (const run_t *run, gint64 now_us);
/* No start order of the run can be carried out any more. */
void scheduler_start_settled (run_t *run);
/* A report lists the run: one start order of it has been carried out. */
void scheduler_start_carried_out (run_t *run, gint64 now_us);
/* Until when start orders of the run may be carried out that have no result; 0: there are none. */
gint64 scheduler_run_unsettled_until_us (const run_t *run);
/* Whether the task may not start elsewhere yet, as the start order of this run may still be carried
 * out, or may have been by an incarnation that is not known. */
bool scheduler_run_is_unsettled (const run_t *run);
/* Whether the run, whose stop is confirmed, is gone if a report does not list it.  A task that
 * lasts has to run again within seconds: without tickets, it does not wait until its start is
 * settled. */
bool scheduler_run_may_be_gone (const run_t *run);
/* Until when the run may be alive on an incarnation that is not known; 0: it is on none. */
gint64 scheduler_run_unknown_until_us (const scheduler_t *scheduler, const run_t *run);
/* The run is alive.  Until the executor has seen its own token, calls that were meant for the
 * former incarnation may still renew its lease. */
void scheduler_expect_late_renewal (const scheduler_t *scheduler, run_t *run, gint64 now_us);
/* Whether reports and the entry with the address are of the same incarnation, and no other address
 * of it is known. */
bool scheduler_is_address_known (const executor_t *executor);
/* Whether the run was started on the incarnation of its executor that is known.  An earlier leader
 * may have started it on another one. */
bool scheduler_run_is_of_known_incarnation (const run_t *run);
/* Counts and logs the runs in the report that outlived their lease: they had been given up. */
void scheduler_check_expired_runs (scheduler_t *scheduler,
                                   executor_t *executor,
                                   const executor_report_t *report,
                                   gint64 now_us);
/* Removes the runs of executors that have ended or whose leases have expired, and ends hold
 * requests that are no longer needed. */
void scheduler_check_executors (scheduler_t *scheduler, gint64 now_us);

/* scheduler_crashes.c */
/* The runs that are lost if the executor's incarnation has ended (lost_run_t); each run is returned
 * once.  Free with g_array_unref(). */
GArray *scheduler_lost_runs (executor_t *executor);
/* Counts these runs against their tasks, at once or when the executor is known to have crashed.
 * Jobs of tasks that crashed too many executors fail, unless the tasks are long-running. */
void scheduler_count_lost_runs (scheduler_t *scheduler,
                                executor_t *executor,
                                const GArray *lost_runs,
                                gint64 now_us);
/* A later incarnation shows that the executor has crashed. */
void scheduler_executor_crashed (scheduler_t *scheduler, executor_t *executor, gint64 now_us);
/* The incarnation that was known has answered: it has not crashed, and what was lost on it was
 * ended by leases. */
void scheduler_executor_survived (executor_t *executor);
/* The executor is listed at its address: of two that are listed there, the former one is gone. */
void scheduler_executor_at_address (scheduler_t *scheduler, executor_t *executor, gint64 now_us);
/* Whether a long-running task has to wait for its trial until that of another of its step is over.
 */
bool scheduler_must_wait_for_trial (const task_t *task);
/* Whether a member of the long-running gang waits after crashes. */
bool scheduler_gang_backs_off (const step_t *step, gint64 now_us);
/* The executor has reported a run of the task, which therefore did not crash it at its start. */
void scheduler_task_survived_start (scheduler_t *scheduler, task_t *task, executor_t *executor);
/* A task that may crash the executor is to start on it. */
void scheduler_begin_trial (executor_t *executor, gint64 now_us);

/* scheduler_progress.c */
void scheduler_record_progress (executor_t *executor, run_t *run, guint percent, gint64 now_us);
/* Stops the executor's runs that have made no progress for too long by this report. */
void scheduler_check_stalls (scheduler_t *scheduler,
                             executor_t *executor,
                             const executor_report_t *report,
                             gint64 now_us);
void scheduler_eject_executor (scheduler_t *scheduler,
                               executor_t *executor,
                               const char *reason,
                               gint64 now_us);

/* Expected time until the run ends, from its progress or its estimate; above 0. */
gint64 scheduler_run_remaining_us (run_t *run, gint64 now_us);
/* Time for which the run would have run on an executor of speed 1.0; 0 if it is not known to have
 * started. */
gint64 scheduler_run_nominal_us (const run_t *run, gint64 now_us);
/* Time that work of this nominal run time takes on the executor. */
gint64 scheduler_time_on (const executor_t *executor, gint64 runtime_us);

/* scheduler_speed.c: speeds of executors in decisions on placement.  All executors count as alike
 * if speeds are not learned. */
/* Learns from a run that has ended well. */
void scheduler_learn_speed (scheduler_t *scheduler, const run_t *run, gint64 now_us);
/* Learns from the progress that was last reported of a run. */
void scheduler_learn_speed_from_progress (scheduler_t *scheduler, const run_t *run, gint64 now_us);
/* Sets the speed that the step needs.  `remaining_us` is the critical path that its job has left.
 */
void scheduler_set_min_speed (const scheduler_t *scheduler,
                              step_t *step,
                              const queue_order_key_t *key,
                              gint64 remaining_us);
/* Part of the cost of a place: the slowest of the executors that are fast enough first, then the
 * fastest of the others. */
gint64 scheduler_speed_cost (const step_t *step, const executor_t *executor);
/* False if the executor is slower than usual and too slow for the step. */
bool scheduler_is_fast_enough (const step_t *step, const executor_t *executor);
/* True if the step should rather wait a little for a faster executor than use one that is too slow.
 */
bool scheduler_should_hold_for_speed (const scheduler_t *scheduler, step_t *step, gint64 now_us);
/* The executors in the order of scheduler_speed_cost(), those of a class in the order given.  Free
 * with g_ptr_array_unref(). */
GPtrArray *scheduler_sort_by_speed (const step_t *step, GPtrArray *executors);

/* scheduler_runtimes.c */
/* Whether the run times of the step's queue are learned. */
bool scheduler_learns_runtimes (const step_t *step);
/* Expected run time of a task of the step, and of the step: no less than that of a finished task.
 */
gint64 scheduler_expected_runtime_us (step_t *step, gint64 now_us);
gint64 scheduler_step_runtime_us (step_t *step, gint64 now_us);
/* Expected time until the run of a known task ends, whatever its progress. */
gint64 scheduler_expected_remaining_us (run_t *run, gint64 now_us);
/* The run of a task has begun, or is gone. */
void scheduler_time_run (run_t *run);
void scheduler_untime_run (run_t *run);
/* The run has ended, and its task is done.  To be called before scheduler_task_done(). */
void scheduler_learn_runtime (task_t *task, run_t *run, gint64 now_us);
/* All tasks of the step are done. */
void scheduler_learn_step (step_t *step);

/* A step that is ready and has unplaced tasks, with its place in the order of work. */
typedef struct
{
  step_t *step;
  queue_order_key_t key;
} waiting_step_t;

/* scheduler_caps.c */
/* Sets how many tasks of the step the cap of its workspace lets start, before the step is served.
 */
void scheduler_check_cap (waiting_step_t *entry);
/* True if the cap keeps the whole gang from starting, or every task of another step. */
bool scheduler_is_capped (const step_t *step);
/* True if the cap would keep it from starting whatever other work has set aside. */
bool scheduler_has_no_room (const step_t *step);
/* False for a gang that is wider than the cap. */
bool scheduler_can_fit_cap (const step_t *step);
typedef enum
{
  STEP_UNPLACEABLE, /* on no usable executor, even if nothing ran there */
  STEP_CROWDED_OUT, /* those that it could use have hardly any room */
  STEP_HAS_ROOM     /* what keeps it from starting is the cap or advice */
} step_room_t;

/* What executors have for the step, whatever its cap. */
step_room_t scheduler_step_room (const scheduler_t *scheduler, const step_t *step, gint64 now_us);
/* The unplaced tasks for which advice is of use now. */
guint scheduler_wanted_tasks (const step_t *step);
/* True unless the step is in excess of a share and calls of other work may need the idle slots. */
bool
scheduler_may_use_advice_slot (const scheduler_t *scheduler, const step_t *step, gint64 now_us);
/* Sets a part of the cap aside for what is left of the step after it was served, and logs why it
 * waits. */
void scheduler_note_wait (scheduler_t *scheduler, const waiting_step_t *entry, gint64 now_us);
/* Sets the keys of excess work (waiting_step_t, in order), so that workspaces are served in turn by
 * what they use.  Returns true if there is any: the order has changed. */
bool scheduler_order_excess (GArray *waiting);

/* scheduler_turns.c */
/* Has those of the late steps among `waiting` (waiting_step_t) that have waited most go first, and
 * sets their keys. */
void scheduler_grant_turns (scheduler_t *scheduler, GArray *waiting, gint64 now_us);
/* Sets the entry's key if its step has a turn. */
void scheduler_apply_turn (waiting_step_t *entry);

/* scheduler_waits.c */
/* What a round did for a gang. */
typedef enum
{
  GANG_CAPPED, /* the cap of its workspace keeps it from starting */
  GANG_UNPLANNED,
  GANG_UNRESERVED,
  GANG_RESERVED,
  GANG_HELD, /* members of an earlier run are not yet known to be gone */
  GANG_PLACED
} gang_round_t;
/* Time that a gang of the queue usually waits from being ready until it is placed, although it is
 * on time; 0 if it is not known or not learned. */
gint64 scheduler_placing_us (const step_t *step);

/* Counts the round in the step's `waits` and logs how it waits, or that it was placed. */
void scheduler_count_gang_round (const scheduler_t *scheduler,
                                 step_t *step,
                                 gang_round_t round,
                                 const queue_order_key_t *key,
                                 gint64 now_us);

/* scheduler_gang.c */
/* Starts the gang, or requests advice and, with `may_reserve`, reserves resources for it.  Returns
 * false if the gang waits for resources or tickets. */
bool scheduler_place_gang (scheduler_t *scheduler, step_t *step, bool may_reserve, gint64 now_us);
/* Gives up the resources that are reserved for the gang, if any. */
void scheduler_release_reservation (scheduler_t *scheduler, step_t *step);

/* scheduler_advice.c */
/* Returns a ticket that can be used at `now_us`, "" if the queue needs none, or NULL.  Borrowed. */
const char *scheduler_find_ticket (const step_t *step, const executor_t *executor, gint64 now_us);
/* When the executor certainly refuses a ticket that counts as valid until `expires_us` here. */
gint64 scheduler_ticket_end_us (const advice_terms_t *terms, gint64 expires_us);
/* The same for the ticket that scheduler_find_ticket() returns now; 0: the queue needs none. */
gint64 scheduler_ticket_until_us (const step_t *step, const executor_t *executor);
advice_decision_t scheduler_advice_decision (const step_t *step, const executor_t *executor);
bool scheduler_request_advice (scheduler_t *scheduler, step_t *step, gint64 now_us);
/* True if a call in flight asks for another ticket for an executor that was allowed. */
bool scheduler_is_ticket_asked (const step_t *step, const executor_t *executor);
/* True if a call for the step can be sent now. */
bool scheduler_may_request_advice (const scheduler_t *scheduler, const step_t *step, gint64 now_us);
/* Expected duration of a call that asks about `count` executors; 0 if the queue needs none. */
gint64 scheduler_advice_call_us (const step_t *step, guint count);
/* Requests advice on these executors, and takes ownership of the array. */
void scheduler_send_advice_call (scheduler_t *scheduler,
                                 step_t *step,
                                 GPtrArray *executors,
                                 gint64 now_us);
/* True if the step needs no ticket for the executor, or has one that is still valid at `at_us`. */
bool scheduler_has_ticket_at (const step_t *step, const executor_t *executor, gint64 at_us);
/* The executors that advice has allowed for the step; if its queue needs no advice, all that could
 * run a task in the last full round.  Free with g_ptr_array_unref(). */
GPtrArray *scheduler_allowed_executors (const scheduler_t *scheduler, const step_t *step);
/* Number of tasks of the step that fit on the executor when it is empty, and now. */
guint scheduler_tasks_per_executor (const step_t *step, const executor_t *executor);
guint scheduler_tasks_that_fit (const step_t *step, const executor_t *executor);
/* How many executors more than needed a call may ask about. */
guint scheduler_advice_spare (const step_t *step);
/* Share of the executors that advice is likely to allow, from 0.1 to 1. */
double scheduler_allowed_share (const step_t *step);
void scheduler_discard_advice (scheduler_t *scheduler, step_t *step);
void scheduler_discard_ticket (step_t *step, const executor_t *executor);

/* scheduler_dispatch.c */
/* Time from acceptance until an occurrence of the job is late. */
gint64 scheduler_objective_us (const job_t *job, guint occurrence, gint64 now_us);
bool scheduler_executor_interferes (const executor_t *executor, const step_t *step);
/* Plans a run of the task, which starts once its placement is stored. */
void
scheduler_start_task (scheduler_t *scheduler, task_t *task, executor_t *executor, guint number);
bool scheduler_executor_is_eligible (const step_t *step, const executor_t *executor);
