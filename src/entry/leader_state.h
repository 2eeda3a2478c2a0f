/* State of a decider_t, shared by the files that make it up.  Not for others. */
#pragma once

#include "base/list.h"
#include "entry/leader.h"
#include "entry/placement_writer.h"
#include "entry/recorder.h"
#include "peer/link.h"
#include "store/watcher.h"

/* An entry VM that is connected. */
typedef struct
{
  list_node_t node;
  decider_t *decider;
  link_t *link;
  char *name; /* NULL: it has not said hello */
  char *zone;
  guint cpu_milli;
  bool is_leaving;
  bool has_store; /* the store answers it */
  guint held;
  guint64 advice_order; /* the call that it makes; 0: none */
  bool is_slow_advice;
} vm_t;

/* An executor that some VM is to hold. */
typedef struct
{
  char *id;
  char *address;
  char *zone;
  guint64 acked;
  guint64 mark;
  gint64 born;
  vm_t *vm; /* NULL: none yet */
} assignment_t;

struct decider
{
  store_t *store;
  claim_t *claim;
  decider_config_t config;
  const desired_t *desired;
  metrics_t *metrics;
  void (*deposed) (void *data);
  void (*abdicate) (void *data);
  void *deposed_data;
  cell_t *cell;
  recorder_t *recorder;
  placements_t *placements;
  mirror_t *progress_mirror;
  mirror_t *placements_mirror;
  mirror_t *jobs_mirror;
  mirror_t *registry_mirror;
  /* While loading: all three are read at once, and put together at the end. */
  GHashTable *progress;         /* id -> GArray of task_progress_t */
  GHashTable *found;            /* id -> job_spec_t */
  GHashTable *cancels;          /* ids */
  GPtrArray *former_placements; /* keys; the index and 1 is the cell's number */
  GPtrArray *former_values;     /* GBytes, while loading */
  bool are_placements_read;
  bool is_progress_read;
  bool are_jobs_read;
  bool is_loaded;
  bool is_deposed;
  bool is_closing;
  gint64 started_us;
  gint64 store_lost_us; /* 0: the store answers */
  list_node_t vms;
  GHashTable *assignments; /* executor id -> assignment_t */
  GHashTable *orders;      /* order -> vm_t */
  GHashTable *ended;       /* id -> ended_t */
  GQueue ended_order;      /* ids, oldest first */
  guint step_idle;
  guint step_timer;
  guint sweep_timer;
  void (*closed) (void *data);
  void *closed_data;
  guint close_timer;
  guint calls;
  guint relays; /* calls to the store on their way for other VMs */
  bool is_freed;
};

typedef struct
{
  job_state_t state;
  gint64 at_us;
} ended_t;

enum
{
  REGISTRY_WAIT_MS = 1000, /* longest wait of one watch */
  JOBS_WAIT_MS = 2000,
  SWEEP_MS = 100 /* assignments and silent VMs are looked at */
};

/* decider.c */
void decider_destroy (decider_t *decider);
void decider_depose (decider_t *decider, const char *reason);
bool decider_may_act (const decider_t *decider);
void decider_schedule_step (decider_t *decider);

/* decider_orders.c: what the cell orders. */
extern const cell_ops_t decider_cell_ops;
extern const placements_events_t decider_placements_events;
void decider_send_assign (const assignment_t *assignment, vm_t *vm, bool drop);
void decider_unassign (assignment_t *assignment);
void decider_assignment_free (gpointer data);

/* decider_vms.c: connections of entry VMs, and which of them holds which executor. */
void decider_share_out (decider_t *decider);
void decider_drop_vm (vm_t *vm, const char *reason);
gboolean decider_sweep (gpointer data);

/* decider_load.c: what the store holds. */
extern const recorder_events_t decider_recorder_events;
extern const mirror_events_t decider_progress_events;
extern const mirror_events_t decider_placement_events;
extern const mirror_events_t decider_jobs_events;
extern const mirror_events_t decider_registry_events;
