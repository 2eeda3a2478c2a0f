/* Retry budget: a token bucket that limits retries to a fraction of the first attempts.
 *
 * Each first attempt adds `ratio` tokens, up to `burst` in total; each retry takes one.
 */
#pragma once

#include <stdbool.h>

typedef struct
{
  double tokens;
  double ratio; /* retries per first attempt, 0 to 1 */
  double burst; /* maximum number of tokens */
} retry_budget_t;

/* Call on each first attempt. */
static inline void
retry_budget_deposit (retry_budget_t *budget)
{
  budget->tokens += budget->ratio;
  if (budget->tokens > budget->burst)
    budget->tokens = budget->burst;
}

/* Call before each retry.  Returns false when the retry is not allowed. */
static inline bool
retry_budget_withdraw (retry_budget_t *budget)
{
  if (budget->tokens < 1.0)
    return false;
  budget->tokens -= 1.0;
  return true;
}
