/* State of a leader_t; private to the files that implement it. */
#pragma once

#include "base/list.h"
#include "decide/store_silence.h"
#include "decide/text_table.h"
#include "entry/leader.h"
#include "entry/placement_writer.h"
#include "entry/recorder.h"
#include "peer/link.h"
#include "store/watcher.h"

enum
{
  /* After a leader begins: lets the VMs connect before executors and room are divided. */
  CONNECT_DELAY_MS = 250
};

/* A connected entry VM. */
typedef struct
{
  list_node_t node;
  leader_t *leader;
  link_t *link;
  char *name; /* NULL until its hello */
  char *zone;
  gint64 life; /* start of its process; tells it from earlier processes of the VM; 0: not known */
  guint cpu_milli;
  gint64 job_bytes_max; /* what accepted jobs may take on it; 0: not known */
  gint64 job_share;     /* what it may accept in jobs that the leader does not know */
  bool is_leaving;
  bool is_store_reachable;     /* by this VM */
  store_report_t store_report; /* when the store last answered this VM */
  guint executor_count;
  guint balance_row;    /* its row while executors are assigned */
  guint64 advice_order; /* order of its advice call in flight; 0: none */
  bool is_advice_slow;
  text_table_t *texts; /* that the VM has from this connection; NULL: it keeps none */
} vm_t;

/* An executor that is to be assigned to some VM, which then renews its leases and reads its
 * reports. */
typedef struct
{
  char *id;
  char *address;
  char *zone;
  gint64 born;      /* the incarnation that calls are for, and whose ends `acked` counts */
  guint fence_step; /* its number, for the token of these calls */
  guint64 acked;    /* ends up to this number may be acknowledged */
  guint64 mark;     /* returned in reports on hold requests that are sent from now on */
  vm_t *vm;         /* NULL: unassigned */
} assignment_t;

/* Work beyond the shares that is refused by all VMs, as of the last check. */
typedef struct
{
  GArray *rows;     /* refusal_row_t; NULL before the first check */
  GHashTable *logs; /* workspace -> refusal_log_t */
  gint64 checked_us;
} leader_refusals_t;

/* Whether the store answers the leader, as of the last check. */
typedef struct
{
  store_silence_t silence;
  guint probe_count; /* calls made to find out whether the present silence is one */
  gint64 lost_us;    /* when the store was first found unhealthy; 0: it is healthy */
} leader_store_watch_t;

/* Which starts have an outcome that is known. */
typedef struct
{
  Mimosastair__SettledStarts *former; /* of the last leader; NULL: not known */
  guint64 known_starts;               /* as of the record that was last written */
  bool is_written;
} leader_settled_t;

/* Room that is reserved for jobs while they are stored. */
typedef struct
{
  GHashTable *reservations; /* job id -> reservation_t */
  gint64 reserved_bytes;    /* sum of these */
} leader_room_t;

struct leader
{
  store_t *store;
  election_t *election;
  leader_config_t config;
  desired_follower_t *desired;
  metrics_t *metrics;
  void (*on_deposed) (void *data);
  void (*on_step_down) (void *data);
  void *callback_data;
  scheduler_t *scheduler;
  recorder_t *recorder;
  placement_writer_t *placement_writer;
  watcher_t *progress_watcher;
  watcher_t *placements_watcher;
  watcher_t *jobs_watcher;
  watcher_t *registry_watcher;
  /* Placements, progress and jobs are read one after the other, and combined once all are read. */
  GHashTable *progress;                  /* id -> GArray of task_progress_t */
  GHashTable *loaded_jobs;               /* id -> job_spec_t */
  GHashTable *loaded_cancels;            /* job ids */
  GPtrArray *inherited_placement_keys;   /* a placement's number is its index + 1 */
  GPtrArray *inherited_placement_values; /* GBytes; empty once loaded */
  bool is_loaded;
  bool is_deposed;
  gint64 deposed_us; /* when a refusal showed that; 0: none has, or the leader has stepped down */
  bool is_closing;
  gint64 started_us;
  leader_store_watch_t store_watch;
  leader_settled_t settled;
  list_node_t vms;
  GHashTable *assignments; /* executor id -> assignment_t */
  GHashTable *open_orders; /* order -> vm_t that carries it out */
  GHashTable *ended_jobs;  /* id -> ended_job_t */
  GQueue ended_job_order;  /* ids, oldest first */
  leader_room_t room;
  leader_refusals_t refusals;
  guint step_idle;
  guint step_timer;
  guint periodic_check_timer;
  guint store_check_timer;
  void (*on_closed) (void *data);
  void *on_closed_data;
  guint close_timer;
  guint pending_call_count;  /* callbacks that keep this struct alive after leader_free() */
  guint balance_group;       /* counts the calls that assign executors */
  guint pending_relay_count; /* store calls in flight for other VMs */
  bool is_freed;
};

typedef struct
{
  job_state_t state;
  gint64 at_us;
  GRefString *workspace; /* shared among the jobs of the workspace; NULL: none */
} ended_job_t;

enum
{
  REGISTRY_WATCH_TIMEOUT_MS = 1000, /* longest wait of one watch */
  JOBS_WATCH_TIMEOUT_MS = 2000,
  PERIODIC_CHECK_MS = 100 /* of heartbeats, the VMs' sizes and assignments */
};

/* leader.c */
void leader_destroy (leader_t *leader);
void leader_depose (leader_t *leader, const char *reason);
bool leader_may_act (const leader_t *leader);
void leader_schedule_round (leader_t *leader);

/* leader_orders.c: the scheduler's orders. */
/* The VM keeps up to `count` texts from now on; 0: none. */
void leader_set_kept_texts (vm_t *vm, guint count);
extern const scheduler_ops_t leader_scheduler_ops;
extern const placement_writer_events_t leader_placement_writer_events;

/* leader_assignments.c: the assignment of executors to entry VMs. */
void leader_assign_executors (leader_t *leader);
/* Sends the assignment to `vm` or, if `drop` is true, tells `vm` to release the executor. */
void leader_send_assignment (const assignment_t *assignment, vm_t *vm, bool drop);
void leader_unassign_executor (assignment_t *assignment);
void leader_assignment_free (gpointer data);
/* Unassigns the executors of a VM whose connection is lost. */
void leader_unassign_lost_vm (const vm_t *vm, gint64 now_us);

/* leader_room.c: room for the jobs that VMs accept. */
/* Reserves room for a job that is to be stored.  Returns false if it has none. */
bool leader_reserve_room (leader_t *leader, const char *id, gint64 bytes);
/* The leader knows the job now: it no longer takes a reservation, or a part of the VM's share. */
void leader_use_room (vm_t *vm, const job_spec_t *spec);
/* Raises what the VM may accept in jobs that the leader does not know.  Returns false while it
 * keeps what it has: the first VMs to connect would get the shares of all. */
bool leader_raise_share (vm_t *vm);
void leader_expire_reservations (leader_t *leader, gint64 now_us);

/* leader_relay.c: store calls that the leader makes for other VMs. */
void leader_relay_call (vm_t *vm, const Mimosastair__Relay *message);

/* leader_vms.c: connections of entry VMs. */
void leader_remove_vm (vm_t *vm, const char *reason);
gboolean leader_run_periodic_checks (gpointer data);
/* Resigns in favor of another VM, and tells all VMs. */
void leader_step_down (leader_t *leader, const char *reason);

/* leader_store.c: steps down when the store answers other VMs only. */
gboolean leader_check_store (gpointer data);

/* leader_settled.c: the record of starts whose outcome is known. */
/* Takes the record of the last leader.  To be called before placements are restored. */
void leader_load_settled (leader_t *leader, const guint8 *bytes, gsize size);
/* Sets what the last leader knew of the start of the run with this index in the placement with this
 * key. */
void leader_apply_settled (const leader_t *leader, const char *key, guint index, placed_run_t *run);
void leader_settled_free (Mimosastair__SettledStarts *message);
/* Writes the record of this leader if more is known. */
void leader_write_settled (leader_t *leader, gint64 now_us);

/* leader_refusals.c: work beyond the shares that is refused while the fleet is full. */
void leader_check_refusals (leader_t *leader, gint64 now_us);
/* Adds what is refused to the pong, whose additions borrow from the leader; free them with
 * leader_clear_refusals(). */
void leader_fill_refusals (const leader_t *leader, Mimosastair__Pong *pong);
void leader_clear_refusals (Mimosastair__Pong *pong);
void leader_refusals_clear (leader_refusals_t *refusals);

/* leader_load.c: records read from the store. */
void leader_ended_job_free (gpointer data);
extern const recorder_events_t leader_recorder_events;
/* Begins to read the stored records. */
void leader_start_loading (leader_t *leader);
extern const watcher_events_t leader_registry_events;
