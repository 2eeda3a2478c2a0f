#include "store/store.h"

#include "decide/admission.h"

const char *
store_status_name (store_status_t status)
{
  switch (status)
    {
    case STORE_DONE:
      return "done";
    case STORE_REFUSED:
      return "refused";
    case STORE_MISSING:
      return "missing";
    case STORE_UNAVAILABLE:
      return "unavailable";
    case STORE_LOST:
      return "lost";
    }
  return "unknown";
}

/* Longer than the slow answers of a healthy service. */
static const gint64 answer_timeout_us = 500 * 1000;
static const gint64 peak_period_us = 5 * G_USEC_PER_SEC;

void
store_record_request (store_t *store, gint64 now_us)
{
  if (store->health.unanswered_since_us == 0)
    store->health.unanswered_since_us = now_us;
  store->health.unanswered_calls++;
}

static void
record_response (store_health_t *health, gint64 took_us, gint64 now_us)
{
  health->mean_response_us = admission_mean_latency_us (health->mean_response_us, took_us);
  if (now_us - health->period_began_us >= peak_period_us)
    {
      health->former_peak_us = health->peak_us;
      health->peak_us = 0;
      health->period_began_us = now_us;
    }
  health->peak_us = MAX (health->peak_us, took_us);
}

void
store_record_result (store_t *store, store_status_t status, gint64 sent_us, gint64 now_us)
{
  store_health_t *health = &store->health;

  if (status == STORE_UNAVAILABLE || status == STORE_LOST)
    {
      health->failures++;
      if (health->unanswered_since_us == 0)
        health->unanswered_since_us = now_us;
      return;
    }
  health->unanswered_since_us = 0;
  health->unanswered_calls = 0;
  health->failures = 0;
  health->answered_us = now_us;
  if (sent_us != 0)
    record_response (health, now_us - sent_us, now_us);
}

bool
store_is_healthy (const store_t *store, gint64 now_us)
{
  if (store->health.failures > 0)
    return false;
  return store->health.unanswered_since_us == 0
         || now_us - store->health.unanswered_since_us < answer_timeout_us;
}

gint64
store_outage_us (const store_t *store, gint64 now_us)
{
  if (store_is_healthy (store, now_us) || store->health.unanswered_since_us == 0)
    return 0;
  return now_us - store->health.unanswered_since_us;
}

guint64
store_answered_age_us (const store_t *store, gint64 now_us)
{
  if (store->health.answered_us == 0)
    return 0;
  return (guint64) MAX (now_us - store->health.answered_us, 1);
}

gint64
store_response_us (const store_t *store)
{
  const store_health_t *health = &store->health;

  return MAX (health->mean_response_us, MAX (health->peak_us, health->former_peak_us) / 2);
}

void
store_item_free (store_item_t *item)
{
  if (item == NULL)
    return;
  g_free (item->key);
  g_free (item->value);
  g_free (item);
}
