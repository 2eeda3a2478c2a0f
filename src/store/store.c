#include "store/store.h"

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

void
store_record_request (store_t *store, gint64 now_us)
{
  if (store->health.unanswered_since_us == 0)
    store->health.unanswered_since_us = now_us;
}

void
store_record_result (store_t *store, store_status_t status)
{
  if (status == STORE_UNAVAILABLE || status == STORE_LOST)
    {
      store->health.failures++;
      return;
    }
  store->health.unanswered_since_us = 0;
  store->health.failures = 0;
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

void
store_item_free (store_item_t *item)
{
  if (item == NULL)
    return;
  g_free (item->key);
  g_free (item->value);
  g_free (item);
}
