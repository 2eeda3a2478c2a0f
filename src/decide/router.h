/* Chooses the executor (backend server) for a request.
 *
 * There is one router per environment and entry VM.  It knows the executors from the
 * platform's list and from this VM's own requests, and shares no state with other VMs.
 * A seat (claim.h) is the right of an entry VM to send requests; the number of seats is
 * fixed.  Two limits hold at every pick:
 *
 *   connections  requests in progress from this VM to one executor never exceed the
 *                connection share of the VM's seat, so that over all VMs they never
 *                exceed the connections that the executor accepts (64 on the
 *                users' platform);
 *   slots        they never exceed the slot share: the executor's slots divided by the
 *                seats in use, at least 1.
 *
 * A policy picks among the executors within both limits.  router_policy_least_time()
 * picks the executor with the least expected time, which includes the round trip to another
 * zone, so that the VM's own zone is preferred.  The two other policies are baselines for
 * measurements.
 *
 * Outlier ejection: an executor that fails several times in a row gets no requests for an
 * exponentially growing time, and then one at a time until it answers.  A timeout counts as a
 * failure only if the executor was silent for much longer than it usually takes.
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
  EXECUTOR_LEAVING, /* gets no new requests; those in progress may finish */
  EXECUTOR_GONE     /* not in the list; kept while requests are in progress */
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
  guint abandoned_count; /* requests that timed out here but probably still occupy a slot there */
  gint64 abandoned_until_us; /* `abandoned_count` is ignored from then on */
  guint slot_share;
  guint connection_share;    /* requests only, without the one for probes */
  bool has_probe_connection; /* one more connection is reserved for probes */
  double latency_us;         /* moving average of the service time */
  guint failures;            /* consecutive */
  gint64 ejected_until_us;   /* 0: not ejected */
  gint64 ejection_us;        /* duration of the last ejection */
  gint64 last_answer_us;     /* time of the last complete answer */
  bool is_on_probation;      /* was ejected; gets one request at a time until it answers */
} executor_t;

typedef struct router router_t;

/* Returns the index of an eligible executor, or ROUTER_NONE.  `random` is a uniformly
 * distributed 32-bit value. */
typedef int (*router_policy_t) (const router_t *router, gint64 now_us, guint32 random, void *data);

struct router
{
  GArray *executors; /* executor_t; indices are stable while a request is in progress */
  char zone[ROUTER_ID_MAX + 1];
  guint seats;       /* total number, divides the connections; 0 when this VM holds none */
  guint seats_used;  /* seats that have a holder; divides the slots */
  double latency_us; /* moving average over all executors */
  router_policy_t policy;
  void *policy_data;
};

router_t *router_new (const char *zone, router_policy_t policy, void *policy_data);
void router_free (router_t *router);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (router_t, router_free)

/* Adds the executor or updates it from the platform's list. */
void router_update (router_t *router,
                    const char *id,
                    const char *zone,
                    executor_state_t state,
                    guint slots,
                    guint connections);

/* Sets the state of a known executor, such as EXECUTOR_GONE when the list no longer has it. */
void router_set_state (router_t *router, const char *id, executor_state_t state);

/* Sets the number of seats and of those in use, and recomputes the shares.  If this VM holds
 * no seat, `seats` is 0, which makes every share 0. */
void router_set_seats (router_t *router, guint seats, guint seats_used);

/* Returns the index of the executor, or ROUTER_NONE. */
int router_find (const router_t *router, const char *id);

/* Returns the executor at a valid index. */
executor_t *router_executor (const router_t *router, int index);

/* Returns how many requests the executors that are live and not ejected may have in progress
 * from this VM.  Sets `*usable_count` (unless NULL) to the number of these executors. */
guint router_capacity (const router_t *router, gint64 now_us, guint *usable_count);

/* True when the executor may get one more request at `now_us`. */
bool router_is_eligible (const executor_t *executor, gint64 now_us);

/* Picks an executor and counts a request in progress on it.  Returns its index, or
 * ROUTER_NONE.  `avoid` is an executor to skip when another is eligible, or ROUTER_NONE. */
int router_pick (router_t *router, int avoid, gint64 now_us, guint32 random);

typedef enum
{
  ROUTER_ANSWERED, /* a complete answer arrived */
  ROUTER_REFUSED,  /* the executor reports that it did not run the request */
  ROUTER_FAILED,   /* no connection, or the answer was lost or invalid */
  ROUTER_TIMED_OUT /* the caller's deadline passed, which says little about the executor */
} router_result_t;

/* Ends a request in progress that router_pick() counted, and updates the executor's health.
 * `service_us` is the time since the request was sent. */
void router_request_done (
    router_t *router, int index, router_result_t result, gint64 service_us, gint64 now_us);

int router_policy_least_time (const router_t *router, gint64 now_us, guint32 random, void *data);
int router_policy_random (const router_t *router, gint64 now_us, guint32 random, void *data);
int router_policy_two_choices (const router_t *router, gint64 now_us, guint32 random, void *data);
