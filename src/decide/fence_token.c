#include "decide/fence_token.h"

/* The largest number that every JSON reader keeps as it is. */
static const gint64 token_max = (G_GINT64_CONSTANT (1) << 53) - 1;

gint64
fence_token_leader_max (void)
{
  return token_max / FENCE_STEPS_PER_LEADER - 1;
}

gint64
fence_token_first (gint64 leader_fence)
{
  if (leader_fence < 0 || leader_fence > fence_token_leader_max ())
    return leader_fence;
  return leader_fence * FENCE_STEPS_PER_LEADER;
}

gint64
fence_token (gint64 first, guint step)
{
  if (first < 0 || first > token_max || first % FENCE_STEPS_PER_LEADER != 0)
    return first;
  return first + MIN (step, FENCE_STEPS_PER_LEADER - 1);
}
