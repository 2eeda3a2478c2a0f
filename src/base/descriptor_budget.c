#include "base/descriptor_budget.h"

enum
{
  LIMIT_MIN = 64,
  LIMIT_MAX = 1000 * 1000,
  FILES_MAX = 200, /* what the platform keeps for files */
  FILES_DIVISOR = 4,
  CHECK_CONNECTIONS_MAX = 16, /* of readiness and of metrics */
  STORE_MAX = 80,
  ADVICE_MAX = 8,
  SMALL_MIN = 4, /* least share of each of these */
  SMALL_DIVISOR = 16
};

/* Parts of the rest, in sixteenths; the executors have what remains. */
static const guint customers_parts = 9;
static const guint vms_parts = 3;
static const guint parts = 16;

static guint
small_share (guint sockets, guint max)
{
  return CLAMP (sockets / SMALL_DIVISOR, SMALL_MIN, max);
}

descriptor_budget_t
descriptor_budget (guint limit)
{
  guint total = CLAMP (limit == 0 ? LIMIT_MAX : limit, LIMIT_MIN, LIMIT_MAX);
  guint files = MIN (total / FILES_DIVISOR, FILES_MAX);
  guint sockets = total - files;
  guint checks = small_share (sockets / 2, CHECK_CONNECTIONS_MAX);
  guint store = small_share (sockets, STORE_MAX);
  guint advice = small_share (sockets, ADVICE_MAX);
  guint rest = sockets - 4 * checks - store - advice;
  guint customers = rest * customers_parts / parts;
  guint vms = rest * vms_parts / parts;

  return (descriptor_budget_t){
    .customers = customers,
    .readiness = checks,
    .metrics = checks,
    .vms = vms,
    .executors = rest - customers - vms,
    .store = store,
    .advice = advice,
    .files = files,
  };
}

guint
descriptor_limit (guint first, guint second)
{
  if (first == 0 || second == 0)
    return MAX (first, second);
  return MIN (first, second);
}
