/* The claim on a scheduling domain: who decides.
 *
 * Every entry VM follows the claim's key; when it is gone, each tries to write it with a
 * lease of its own, on condition that it is absent.  The fence of a holder is the
 * store's revision of that write, so it rises from holder to holder.
 */
#pragma once

#include "store/store.h"

typedef struct election claim_t;

typedef struct
{
  /* This VM decides from now on.  `epoch` counts the claims before this one. */
  void (*gained) (gint64 fence, guint epoch, void *data);
  /* This VM no longer decides. */
  void (*lost) (const char *reason, void *data);
  /* Another holder, or (address NULL) none. */
  void (*leader_changed) (const char *vm, const char *address, void *data);
} claim_events_t;

typedef struct
{
  const char *domain;
  const char *vm;
  const char *address; /* of the peer listener */
  gint64 life;         /* of this process */
  guint ttl_ms;
  guint cpu_milli; /* processor of this VM; the larger ones try first */
} claim_config_t;

claim_t *
claim_new (store_t *store, const claim_config_t *config, const claim_events_t *events, void *data);
void claim_free (claim_t *election);

/* Time for which the claim is certainly this VM's; not above 0 when it is not. */
gint64 claim_left_us (const claim_t *election, gint64 now_us);

/* Key and revision of the claim, for conditions of writes. */
const char *claim_key (const claim_t *election);
gint64 claim_revision (const claim_t *election);

/* Gives the claim up for good; this VM does not try again.  `done` is called once the
 * key is gone or the service did not answer. */
void claim_give_up (claim_t *election, void (*done) (void *data), void *data);

/* Looks at the key soon: a write was refused by it. */
void claim_check (claim_t *election);

/* The holder of the claim that was written at `revision` has given it up, although the
 * key may still be there. */
void claim_abandoned (claim_t *election, gint64 revision);

/* Processor of the largest VM, as the decider tells it. */
void claim_set_cpu_most (claim_t *election, guint cpu_milli);

/* Gives the claim up without a call: the service does not answer this VM, or a larger one
 * is to decide.  Others are to be told its revision. */
void claim_abdicate (claim_t *election);
