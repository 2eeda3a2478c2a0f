#include "decide/lease_validity.h"

void
tenure_begin (tenure_t *validity, gint64 ttl_us, gint64 sent_us)
{
  validity->ttl_us = ttl_us;
  validity->renewal_sent_us = sent_us;
  validity->valid_until_us = sent_us + ttl_us;
}

void
tenure_renewed (tenure_t *validity, gint64 sent_us)
{
  validity->renewal_sent_us = MAX (validity->renewal_sent_us, sent_us);
}

void
tenure_seen (tenure_t *validity)
{
  validity->valid_until_us
      = MAX (validity->valid_until_us, validity->renewal_sent_us + validity->ttl_us);
}

gint64
tenure_left_us (const tenure_t *validity, gint64 now_us)
{
  return validity->valid_until_us - now_us;
}
