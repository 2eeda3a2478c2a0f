#include "decide/election_policy.h"

enum
{
  CORE = 1000,
  NEAR_PERCENT = 75,     /* of the largest VM's processor: as good as the largest */
  SMALL_VM_MS = 400,     /* a larger VM that lives has the claim by then */
  UNKNOWN_STEP_MS = 150, /* for each halving of a core, while no size is known */
  OLDER_MS = 60          /* a younger VM has the claim by then, when the store is well */
};

static bool
is_near (guint own, guint most)
{
  return (guint64) own * 100 >= (guint64) most * NEAR_PERCENT;
}

guint
succession_delay_ms (guint own, guint most, bool is_younger)
{
  guint delay_ms = is_younger ? 0 : OLDER_MS;
  guint halvings = 0;

  if (most != 0)
    return delay_ms + (is_near (own, most) ? 0 : SMALL_VM_MS);
  for (guint share = MAX (own, 1); share < CORE; share *= 2)
    halvings++;
  return delay_ms + halvings * UNKNOWN_STEP_MS;
}

bool
succession_should_yield (guint own, guint other)
{
  return !is_near (own, other);
}
