/* Elects the leader of a scheduling domain among its entry VMs.
 *
 * Every entry VM watches the domain's leader record.  When the record is gone, or its leader has
 * resigned, each VM tries to write it under a lease of its own, on condition that it has not
 * changed since.  The store's revision of that write is the leader's fencing token, so tokens
 * increase from leader to leader.  Log lines and stored keys call leadership the claim.
 */
#pragma once

#include "store/store.h"

typedef struct election election_t;

typedef struct
{
  /* This VM is the leader from now on.  `epoch` is the number of elections before this one. */
  void (*gained) (gint64 fence, guint epoch, void *data);
  /* This VM is no longer the leader. */
  void (*lost) (const char *reason, void *data);
  /* The leader has changed: it is now `vm`, which may be this VM, or there is none (`vm` and
   * `address` NULL). */
  void (*leader_changed) (const char *vm, const char *address, void *data);
} election_events_t;

typedef struct
{
  const char *domain;
  const char *vm;
  const char *address; /* of this VM's peer listener */
  gint64 incarnation;  /* tells this process from earlier ones of this VM */
  guint ttl_ms;
  guint cpu_milli; /* of this VM, in thousandths of a core; larger VMs campaign first */
} election_config_t;

/* All pointers, also those in `config`, are borrowed; the struct itself is copied. */
election_t *election_new (store_t *store,
                          const election_config_t *config,
                          const election_events_t *events,
                          void *data);

/* No call to the store may be in flight. */
void election_free (election_t *election);

/* Returns how much longer this VM is certainly the leader; 0 or less when it may not be. */
gint64 election_remaining_us (const election_t *election, gint64 now_us);

/* Key and revision of this VM's leader record, for conditional writes. */
const char *election_key (const election_t *election);
gint64 election_revision (const election_t *election);

/* Resigns, and never campaigns again.  The event `lost` is not reported.  `done` is called once the
 * leader record is deleted or that call has failed, and before this function returns when this VM
 * is not the leader. */
void election_withdraw (election_t *election, void (*done) (void *data), void *data);

/* Renews the lease and reads the leader record at once, to find out whether this VM is still the
 * leader; called when a write that is conditional on the record was refused. */
void election_verify (election_t *election);

/* Notes that the leader whose record was written at `revision` has resigned, although the
 * record may still exist. */
void election_leader_resigned (election_t *election, gint64 revision);

/* Sets the CPU of the largest VM, in thousandths of a core, as the leader reports it. */
void election_set_largest_cpu (election_t *election, guint cpu_milli);

/* Resigns without waiting for the store, and campaigns again only after a delay.  Called when the
 * store does not answer this VM, or when a larger VM should be the leader.  The caller tells the
 * other VMs the record's revision. */
void election_step_down (election_t *election);
