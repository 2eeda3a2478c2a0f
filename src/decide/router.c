#include "decide/router.h"

#include <math.h>
#include <string.h>

static const double latency_smoothing = 0.2;  /* weight of the newest sample */
static const double overall_smoothing = 0.02; /* weight of the newest sample */
/* A failure counts as an answer that took this many times the average.  A timeout counts as a
 * failure if the request took at least this many times the executor's own average. */
static const double failure_latency_factor = 4.0;
static const double initial_latency_us = 1000;
static const guint failures_until_ejection = 3;
static const gint64 min_ejection_us = G_USEC_PER_SEC;
static const gint64 max_ejection_us = 30 * G_USEC_PER_SEC;
static const double cross_zone_rtt_us = 3000; /* round-trip time between zones */
static const gint64 latency_stale_after_us = 5 * G_USEC_PER_SEC;

router_t *
router_new (const char *zone, router_policy_t policy, void *policy_data)
{
  router_t *router = g_new0 (router_t, 1);

  router->executors = g_array_new (FALSE, TRUE, sizeof (executor_t));
  g_strlcpy (router->zone, zone, sizeof router->zone);
  router->latency_us = initial_latency_us;
  router->policy = policy;
  router->policy_data = policy_data;
  return router;
}

void
router_free (router_t *router)
{
  if (router == NULL)
    return;
  g_array_unref (router->executors);
  g_free (router);
}

int
router_find (const router_t *router, const char *id)
{
  for (guint i = 0; i < router->executors->len; i++)
    {
      if (strcmp (g_array_index (router->executors, executor_t, i).id, id) == 0)
        return (int) i;
    }
  return ROUTER_NONE;
}

executor_t *
router_executor (const router_t *router, int index)
{
  g_assert (index >= 0 && (guint) index < router->executors->len);
  return &g_array_index (router->executors, executor_t, index);
}

static void
update_shares (const router_t *router, executor_t *executor)
{
  guint used = MAX (1U, router->seats_used);

  if (router->seats == 0)
    {
      executor->connection_share = 0;
      executor->slot_share = 0;
      return;
    }
  executor->connection_share = executor->connections / router->seats;
  /* One connection of the share is reserved for probes if it has more than one. */
  executor->has_probe_connection = executor->connection_share > 1;
  if (executor->has_probe_connection)
    executor->connection_share--;
  executor->slot_share = MAX (1U, executor->slots / used);
}

void
router_set_seats (router_t *router, guint seats, guint seats_used)
{
  router->seats = seats;
  router->seats_used = seats_used;
  for (guint i = 0; i < router->executors->len; i++)
    update_shares (router, router_executor (router, (int) i));
}

/* An index is reused only once its executor is gone and has no request in progress. */
static int
find_or_add (router_t *router, const char *id)
{
  executor_t new_executor = { .state = EXECUTOR_LIVE };
  int index = router_find (router, id);

  if (index != ROUTER_NONE)
    return index;
  new_executor.latency_us = router->latency_us;
  g_strlcpy (new_executor.id, id, sizeof new_executor.id);
  for (guint i = 0; i < router->executors->len; i++)
    {
      executor_t *gone = router_executor (router, (int) i);

      if (gone->state != EXECUTOR_GONE || gone->in_flight > 0)
        continue;
      *gone = new_executor;
      return (int) i;
    }
  g_array_append_val (router->executors, new_executor);
  return (int) router->executors->len - 1;
}

void
router_update (router_t *router,
               const char *id,
               const char *zone,
               executor_state_t state,
               guint slots,
               guint connections)
{
  executor_t *executor = router_executor (router, find_or_add (router, id));

  g_strlcpy (executor->zone, zone, sizeof executor->zone);
  executor->is_same_zone = strcmp (zone, router->zone) == 0;
  /* A delayed list must not reinstate an executor that has itself announced that it is leaving. */
  if (!(executor->state == EXECUTOR_LEAVING && state == EXECUTOR_LIVE))
    executor->state = state;
  executor->slots = slots;
  executor->connections = connections;
  update_shares (router, executor);
}

void
router_set_state (router_t *router, const char *id, executor_state_t state)
{
  int index = router_find (router, id);

  if (index != ROUTER_NONE)
    router_executor (router, index)->state = state;
}

static guint
occupied_slots (const executor_t *executor, gint64 now_us)
{
  return executor->in_flight
         + (executor->abandoned_until_us > now_us ? executor->abandoned_count : 0);
}

bool
router_is_eligible (const executor_t *executor, gint64 now_us)
{
  if (executor->state != EXECUTOR_LIVE)
    return false;
  if (occupied_slots (executor, now_us) >= MIN (executor->slot_share, executor->connection_share))
    return false;
  if (executor->ejected_until_us > now_us)
    return false;
  return !(executor->is_on_probation && executor->in_flight > 0);
}

guint
router_capacity (const router_t *router, gint64 now_us, guint *usable_count)
{
  guint capacity = 0;
  guint count = 0;

  for (guint i = 0; i < router->executors->len; i++)
    {
      const executor_t *executor = router_executor (router, (int) i);

      if (executor->state != EXECUTOR_LIVE || executor->ejected_until_us > now_us)
        continue;
      capacity += MIN (executor->slot_share, executor->connection_share);
      count++;
    }
  if (usable_count != NULL)
    *usable_count = count;
  return capacity;
}

/* Expected time of one more request: slower, more loaded and more distant executors cost
 * more.  A stale latency counts as at most the average, so that an executor that was slow
 * gets requests again. */
static double
expected_time_us (const router_t *router, const executor_t *executor, gint64 now_us)
{
  double latency = executor->latency_us;

  if (now_us - executor->last_answer_us > latency_stale_after_us)
    latency = fmin (latency, router->latency_us);
  latency *= 1.0 + (double) executor->in_flight / MAX (1U, executor->slots);
  return executor->is_same_zone ? latency : latency + cross_zone_rtt_us;
}

int
router_policy_least_time (const router_t *router,
                          gint64 now_us,
                          guint32 random,
                          void *data G_GNUC_UNUSED)
{
  guint count = router->executors->len;
  guint start = count > 0 ? random % count : 0;
  int best = ROUTER_NONE;
  double best_us = 0;

  /* The random start makes VMs choose differently among equal executors. */
  for (guint offset = 0; offset < count; offset++)
    {
      guint i = start + offset < count ? start + offset : start + offset - count;
      const executor_t *executor = &g_array_index (router->executors, executor_t, i);
      double us;

      if (!router_is_eligible (executor, now_us))
        continue;
      us = expected_time_us (router, executor, now_us);
      if (best != ROUTER_NONE && us >= best_us)
        continue;
      best = (int) i;
      best_us = us;
    }
  return best;
}

/* Returns the first eligible executor at or after a random index. */
static int
random_eligible (const router_t *router, gint64 now_us, guint32 random)
{
  guint count = router->executors->len;

  for (guint offset = 0; offset < count; offset++)
    {
      guint i = (random % count + offset) % count;

      if (router_is_eligible (router_executor (router, (int) i), now_us))
        return (int) i;
    }
  return ROUTER_NONE;
}

int
router_policy_random (const router_t *router,
                      gint64 now_us,
                      guint32 random,
                      void *data G_GNUC_UNUSED)
{
  return random_eligible (router, now_us, random);
}

int
router_policy_two_choices (const router_t *router,
                           gint64 now_us,
                           guint32 random,
                           void *data G_GNUC_UNUSED)
{
  int a = random_eligible (router, now_us, random & 0xffffU);
  int b = random_eligible (router, now_us, random >> 16U);

  if (a == ROUTER_NONE)
    return b;
  return router_executor (router, b)->in_flight < router_executor (router, a)->in_flight ? b : a;
}

int
router_pick (router_t *router, int avoid, gint64 now_us, guint32 random)
{
  executor_state_t saved_state = EXECUTOR_LIVE;
  int index;

  if (avoid != ROUTER_NONE)
    {
      saved_state = router_executor (router, avoid)->state;
      router_executor (router, avoid)->state = EXECUTOR_LEAVING;
    }
  index = router->policy (router, now_us, random, router->policy_data);
  if (avoid != ROUTER_NONE)
    router_executor (router, avoid)->state = saved_state;
  if (index == ROUTER_NONE && avoid != ROUTER_NONE)
    index = router->policy (router, now_us, random, router->policy_data);
  if (index != ROUTER_NONE)
    router_executor (router, index)->in_flight++;
  return index;
}

/* True when one more ejection leaves at most half of the live executors ejected, or only one.
 * When most seem to fail, the cause lies elsewhere, and more ejections would make it worse. */
static bool
may_eject (const router_t *router, gint64 now_us)
{
  guint live = 0;
  guint ejected = 0;

  for (guint i = 0; i < router->executors->len; i++)
    {
      const executor_t *executor = router_executor (router, (int) i);

      live += executor->state == EXECUTOR_LIVE;
      ejected += executor->state == EXECUTOR_LIVE && executor->ejected_until_us > now_us;
    }
  return 2 * (ejected + 1) <= MAX (live, 2U);
}

static void
eject (executor_t *executor, gint64 now_us)
{
  executor->ejection_us = executor->ejection_us == 0 ? min_ejection_us : executor->ejection_us * 2;
  executor->ejection_us = MIN (executor->ejection_us, max_ejection_us);
  executor->ejected_until_us = now_us + executor->ejection_us;
  executor->is_on_probation = true;
}

static void
record_answer (router_t *router, executor_t *executor, gint64 service_us, gint64 now_us)
{
  double sample = (double) service_us;

  executor->last_answer_us = now_us;
  executor->failures = 0;
  executor->latency_us += latency_smoothing * (sample - executor->latency_us);
  router->latency_us += overall_smoothing * (sample - router->latency_us);
  executor->is_on_probation = false;
  executor->ejected_until_us = 0;
  executor->ejection_us = 0;
}

static void
record_failure (router_t *router, executor_t *executor, gint64 now_us)
{
  executor->failures++;
  executor->latency_us = fmax (executor->latency_us, router->latency_us * failure_latency_factor);
  if ((executor->is_on_probation || executor->failures >= failures_until_ejection)
      && may_eject (router, now_us))
    eject (executor, now_us);
}

/* The executor is not notified that the request was abandoned, so its slot is counted as
 * occupied for about as long as an answer takes. */
static void
record_abandoned (executor_t *executor, gint64 now_us)
{
  if (executor->abandoned_until_us <= now_us)
    executor->abandoned_count = 0;
  executor->abandoned_count++;
  executor->abandoned_until_us = now_us + (gint64) executor->latency_us;
}

void
router_request_done (
    router_t *router, int index, router_result_t result, gint64 service_us, gint64 now_us)
{
  executor_t *executor = router_executor (router, index);

  g_assert (executor->in_flight > 0);
  executor->in_flight--;
  switch (result)
    {
    case ROUTER_ANSWERED:
      record_answer (router, executor, service_us, now_us);
      break;
    case ROUTER_REFUSED:
    case ROUTER_FAILED:
      record_failure (router, executor, now_us);
      break;
    case ROUTER_TIMED_OUT:
      record_abandoned (executor, now_us);
      /* A short deadline says little; an executor that never answers (black hole) is silent for
       * much longer than usual. */
      if ((double) service_us >= failure_latency_factor * executor->latency_us)
        record_failure (router, executor, now_us);
      break;
    }
}
