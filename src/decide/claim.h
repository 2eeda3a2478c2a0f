/* Exclusive ownership of named resources (seats and racks) by entry VMs.
 *
 * A claim table is one value in the platform's key-value service and is changed only by
 * compare-and-swap.  A VM uses a resource only while the table that it last read or
 * wrote names this VM's incarnation as the holder.  A claim has no timeout, so pauses,
 * clock drift and expired leases cannot revoke it.  It ends in three ways only:
 *
 *   - the holder releases it, after it has stopped using the resource;
 *   - the holder is missing from a VM list that is newer than the list in which the
 *     holder saw itself when it claimed: the platform reports that the VM is gone;
 *   - a new process on the holder's own VM has bound the address that the previous
 *     process held, which proves that the previous process has ended.
 *
 * Safety relies on the platform removing a VM from its list only after the VM is gone.
 */
#pragma once

#include "decide/members.h"

enum
{
  CLAIM_NAME_MAX = 63,
  CLAIM_INCARNATION_MAX = 31
};

typedef struct
{
  char name[CLAIM_NAME_MAX + 1];
  char vm[CLAIM_NAME_MAX + 1]; /* the holder; "" when the claim is free */
  char incarnation[CLAIM_INCARNATION_MAX + 1];
  char address[CLAIM_NAME_MAX + 1]; /* of the holder, where its peers reach it */
  gint64 list_revision;             /* of the VM list in which the holder saw itself */
} claim_t;

typedef struct
{
  char vm[CLAIM_NAME_MAX + 1];
  char incarnation[CLAIM_INCARNATION_MAX + 1];
  char address[CLAIM_NAME_MAX + 1];
} claimant_t;

/* True when the incarnation `self` holds the claim. */
bool claim_is_held_by (const claim_t *claim, const claimant_t *self);

/* True when `self` may acquire the claim by the rules above, because it is free or its holder
 * has certainly ended.  False when `self` holds it. */
bool claim_is_available (const claim_t *claim, const claimant_t *self, const member_list_t *list);

/* Acquires available claims in `table` (of claim_t) for `self` until it holds `wanted`.
 * Returns the number acquired; 0 while `self` is not in the VM list yet. */
guint
claim_acquire (GArray *table, const claimant_t *self, const member_list_t *list, guint wanted);

/* Releases claims of `self`, the last in the table first, until it holds `wanted`.  Returns
 * the number released. */
guint claim_release (GArray *table, const claimant_t *self, guint wanted);

/* Returns the number of claims that have a holder. */
guint claim_count_used (const GArray *table);

/* Returns the number of claims that `self` holds. */
guint claim_count_held (const GArray *table, const claimant_t *self);

/* Adds a free claim called `name`.  Returns false when the table already has that name. */
bool claim_add (GArray *table, const char *name);
