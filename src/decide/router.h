/* Chooses the executor for a request.
 *
 * One router per environment and entry VM.  It knows the executors from the
 * platform's list and what this VM itself saw of them; it shares no state with
 * other VMs.  Two bounds hold at every pick:
 *
 *   connections  requests in progress from this VM to one executor never exceed
 *                its connection share, which belongs to the VM's seat (seat.h)
 *                and so sums to at most 64 over all VMs;
 *   slots        they never exceed the slot share, the executor's slots divided
 *                by the seats in use, at least 1.
 *
 * Among the executors within both bounds the rule picks.  router_rule_own() takes
 * the smallest expected time, in which another zone costs its round trip, so that
 * the own zone comes first; the two others are baselines for measurement.
 *
 * An executor that fails or is slow beyond all others is set aside for a growing
 * time and then tried with one request at a time.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

enum
{
  ROUTER_ID_MAX = 63,
  ROUTER_NONE = -1
};

typedef enum
{
  EXECUTOR_LIVE,
  EXECUTOR_LEAVING, /* gets nothing new; what it holds may finish */
  EXECUTOR_GONE     /* absent from the list; kept while requests are in progress */
} executor_state_t;

typedef struct
{
  char id[ROUTER_ID_MAX + 1];
  char zone[ROUTER_ID_MAX + 1];
  executor_state_t state;
  bool is_same_zone;
  guint slots;
  guint connections;
  guint in_flight;
  guint abandoned_count;           /* given up here, but probably still in a slot there */
  gint64 abandoned_until_us; /* until then */
  guint slot_share;
  guint connection_share; /* for requests */
  bool may_probe;         /* one more connection is kept for probes */
  double latency_us;      /* smoothed service time */
  guint failures;         /* in a row */
  gint64 aside_until_us;  /* 0: in use */
  gint64 ejection_us;        /* length of the last time aside */
  gint64 heard_us;        /* last answer or probe */
  bool is_half_open;             /* set aside before; one request at a time until it answers */
} executor_t;

typedef struct router router_t;

/* Returns the index of an allowed executor, or ROUTER_NONE.  `random` is any
 * uniform 32-bit value. */
typedef int (*router_rule_t) (const router_t *router, gint64 now_us, guint32 random, void *data);

struct router
{
  GArray *executors; /* executor_t; indices are stable while a request is in progress */
  char zone[ROUTER_ID_MAX + 1];
  guint seats;       /* seats in the whole cell: divides the connections */
  guint seats_used;  /* seats in use: divides the slots */
  double latency_us; /* smoothed over all executors */
  router_rule_t policy;
  void *policy_data;
};

router_t *router_new (const char *zone, router_rule_t policy, void *policy_data);
void router_free (router_t *router);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (router_t, router_free)

/* Adds the executor or updates what the list says of it. */
void router_update (router_t *router,
                    const char *id,
                    const char *zone,
                    executor_state_t state,
                    guint slots,
                    guint connections);

/* Marks an executor that the list no longer has; see EXECUTOR_GONE. */
void router_set_state (router_t *router, const char *id, executor_state_t state);

/* Sets the seats in the cell and those in use, and recomputes the shares.
 * `seats` 0 means that this VM holds no seat: every share is 0. */
void router_set_seats (router_t *router, guint seats, guint seats_used);

int router_find (const router_t *router, const char *id);
executor_t *router_executor (const router_t *router, int index);

/* Sum of the slot shares of executors that may be picked; `*usable` counts those
 * executors when not NULL. */
guint router_capacity (const router_t *router, gint64 now_us, guint *usable);

/* True when the executor may get one more request now. */
bool router_is_eligible (const executor_t *executor, gint64 now_us);

/* Picks and counts a request in progress, or returns ROUTER_NONE.  `avoid` is an
 * executor to leave out when another is allowed, or ROUTER_NONE. */
int router_pick (router_t *router, int avoid, gint64 now_us, guint32 random);

typedef enum
{
  ROUTER_ANSWERED, /* a whole answer came */
  ROUTER_REFUSED,  /* the executor said that it did not run it */
  ROUTER_FAILED,   /* no connection, or the answer was lost, late or damaged */
  ROUTER_TIMED_OUT  /* the caller's deadline passed; says little of the executor */
} router_result_t;

/* Ends a request in progress that router_pick() counted. */
void
router_done (router_t *router, int index, router_result_t result, gint64 service_us, gint64 now_us);

int router_rule_own (const router_t *router, gint64 now_us, guint32 random, void *data);
int router_rule_random (const router_t *router, gint64 now_us, guint32 random, void *data);
int router_rule_two_choices (const router_t *router, gint64 now_us, guint32 random, void *data);
