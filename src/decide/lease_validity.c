#include "decide/lease_validity.h"

void
tenure_begin (tenure_t *tenure, gint64 ttl_us, gint64 sent_us)
{
  tenure->ttl_us = ttl_us;
  tenure->renewed_us = sent_us;
  tenure->valid_until_us = sent_us + ttl_us;
}

void
tenure_renewed (tenure_t *tenure, gint64 sent_us)
{
  tenure->renewed_us = MAX (tenure->renewed_us, sent_us);
}

void
tenure_seen (tenure_t *tenure)
{
  tenure->valid_until_us = MAX (tenure->valid_until_us, tenure->renewed_us + tenure->ttl_us);
}

gint64
tenure_left_us (const tenure_t *tenure, gint64 now_us)
{
  return tenure->valid_until_us - now_us;
}
