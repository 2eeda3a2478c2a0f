/* Accounts of workspaces: what each has running against its cap, and which of its jobs are within
 * its share.
 *
 * Usage is the sum over all runs of the workspace that are not known to be gone.  A task starts
 * only if the usage stays within the cap; a task that is larger than the cap starts while nothing
 * else of its workspace runs.
 *
 * Work that the cap keeps from starting sets its need aside (a hold) against work of its own
 * workspace that is later in the order of work, so that it starts once enough has ended.  So does
 * a gang that the cap admits and that waits for executors or advice.  Where a hold leaves the cap
 * unused it pauses from time to time, for other work to start.  Work that is certain to start when
 * it holds for long enough holds for twice as long after each pause; other work pauses for twice as
 * long.
 *
 * The share is a token bucket, filled with `weight` jobs a second up to one second's worth.  A job
 * that finds no token is in excess of the share.
 *
 * All functions accept NULL as the account of work without a workspace, which has no limits.
 */
#pragma once

#include "decide/queue_order.h"
#include "decide/spec.h"

typedef struct workspace_accounts workspace_accounts_t;
typedef struct workspace_account workspace_account_t;

/* What work that sets a part of the cap aside waits for. */
typedef enum
{
  HOLD_FOR_CAP,       /* too much of its workspace runs */
  HOLD_FOR_EXECUTORS, /* those that are reserved for it are not free yet */
  HOLD_FOR_ADVICE,    /* or for executors that are not known: it may never start */
  HOLD_REASONS
} hold_reason_t;

/* What one step has set aside of its workspace's cap.  All zero at first. */
typedef struct
{
  guint64 round;                  /* to which `held`, `planned` and `is_first` belong */
  guint held;                     /* tasks that later work may not start in place of */
  guint planned;                  /* tasks for which advice is being requested */
  bool is_first;                  /* the one hold for the cap in this round */
  bool was_first;                 /* it was in an earlier round */
  gint64 counted_us;              /* until when `unused_us` is counted; 0: not counted now */
  gint64 unused_us[HOLD_REASONS]; /* for which the hold has left the cap unused since it paused */
  guint pauses[HOLD_REASONS];
  gint64 paused_until_us; /* no hold until then */
} cap_hold_t;

workspace_accounts_t *workspace_accounts_new (void);
void workspace_accounts_free (workspace_accounts_t *accounts);

/* Applies the workspaces (workspace_spec_t) of a version of the desired state.  A workspace that is
 * missing keeps its limits for the jobs that it still has, unless there are no workspaces at all:
 * then nothing is limited. */
void workspace_accounts_set_desired (workspace_accounts_t *accounts,
                                     const GPtrArray *workspaces,
                                     gint64 version);

/* Returns the account, which it adds if necessary; NULL if `name` is NULL.  It stays valid while it
 * has jobs or runs. */
workspace_account_t *workspace_accounts_ensure (workspace_accounts_t *accounts, const char *name);

/* A job of the workspace was accepted while it had this cap, by this version of the desired state
 * (0: not known).  A workspace that the version in force lacks keeps the latest cap that is known,
 * also from the jobs that a new leader loads. */
void workspace_account_note_cap (workspace_account_t *account,
                                 const resource_total_t *cap,
                                 gint64 version);

/* Forgets all holds and plans.  To be called before the steps that wait are visited in order. */
void workspace_accounts_begin_round (workspace_accounts_t *accounts);

/* Counts a new job, which is pending until workspace_account_job_started().  Returns false if it is
 * in excess of the share.  Jobs take tokens in the order of these calls. */
bool workspace_account_add_job (workspace_account_t *account, gint64 accepted_us);
void workspace_account_job_started (workspace_account_t *account);
void workspace_account_remove_job (workspace_account_t *account);

/* A job in excess of the share has started. */
void workspace_account_excess_started (workspace_account_t *account, gint64 now_us);

/* Work in excess of the share that waits with nothing running. */
typedef struct
{
  guint jobs;
  gint64 since_us;  /* since when the oldest of them has waited */
  gint64 useful_us; /* for how long after its acceptance such a job can still be of use */
} excess_wait_t;

/* Returns for how many milliseconds more work in excess of the share should stay away; 0: it may be
 * accepted.  It is refused only while more than one second's worth of it waits, the oldest for so
 * long that it is of no use any more, none has started in that time, and the share itself is used
 * up.
 */
guint workspace_account_refuse_ms (const workspace_account_t *account,
                                   const excess_wait_t *wait,
                                   gint64 now_us);

void workspace_account_add_run (workspace_account_t *account, const resource_vector_t *resources);
void workspace_account_remove_run (workspace_account_t *account,
                                   const resource_vector_t *resources);

/* True if some work that goes before `key` holds part of the cap. */
bool workspace_account_is_held (const workspace_account_t *account, const queue_order_key_t *key);

/* Returns how many tasks, up to `wanted`, the cap lets start now; with `obeys_holds` beside what is
 * held, and with `obeys_plans` beside what is planned, too. */
guint workspace_account_room (const workspace_account_t *account,
                              const resource_vector_t *need,
                              bool obeys_holds,
                              bool obeys_plans,
                              guint wanted);

/* False if so many tasks exceed the cap even when nothing else runs.  A single task never does. */
bool workspace_account_can_fit (const workspace_account_t *account,
                                const resource_vector_t *need,
                                guint tasks);

/* Sets the need of so many tasks aside.  Of the work that the cap keeps from starting, only the
 * first in the order of work does so. */
void workspace_account_hold (workspace_account_t *account,
                             cap_hold_t *hold,
                             const resource_vector_t *need,
                             guint tasks,
                             const queue_order_key_t *key,
                             hold_reason_t reason,
                             gint64 now_us);

/* Notes that advice is being requested for so many tasks, which leaves later work of the workspace
 * to ask for fewer. */
void workspace_account_plan (workspace_account_t *account,
                             cap_hold_t *hold,
                             const resource_vector_t *need,
                             guint tasks);

/* Returns whether this is the first work that the cap keeps from starting and that has a turn
 * (scheduler_turns.c) or asks for one, in this round. */
bool workspace_account_take_turn (workspace_account_t *account);

/* Undoes what the step has held and planned, before it is served again. */
void workspace_account_release (workspace_account_t *account,
                                cap_hold_t *hold,
                                const resource_vector_t *need);

/* Thousandths of a processor in use per weight. */
double workspace_account_usage_per_weight (const workspace_account_t *account,
                                           guint64 more_cpu_milli);

typedef struct
{
  const char *name; /* valid as long as the account */
  resource_total_t used;
  resource_total_t cap; /* 0: no limit */
  guint pending_jobs;
  guint64 excess_jobs; /* since the scheduler began */
  guint weight;        /* 0: no limit */
} workspace_stats_t;

void workspace_account_stats (const workspace_account_t *account, workspace_stats_t *stats);

typedef void (*workspace_visitor_t) (const workspace_stats_t *stats, void *data);
/* Calls `visit` for each account, in the order in which they were added. */
void workspace_accounts_visit (const workspace_accounts_t *accounts,
                               workspace_visitor_t visit,
                               void *data);
