#include "decide/lease_validity.h"

void
lease_validity_begin (lease_validity_t *validity, gint64 ttl_us, gint64 sent_us)
{
  validity->ttl_us = ttl_us;
  validity->renewal_sent_us = sent_us;
  validity->valid_until_us = sent_us + ttl_us;
}

void
lease_validity_renewed (lease_validity_t *validity, gint64 sent_us)
{
  validity->renewal_sent_us = MAX (validity->renewal_sent_us, sent_us);
}

void
lease_validity_confirmed (lease_validity_t *validity)
{
  validity->valid_until_us
      = MAX (validity->valid_until_us, validity->renewal_sent_us + validity->ttl_us);
}

gint64
lease_validity_remaining_us (const lease_validity_t *validity, gint64 now_us)
{
  return validity->valid_until_us - now_us;
}
