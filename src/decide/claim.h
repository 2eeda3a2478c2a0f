/* Ownership of named things by entry VMs: seats and racks.
 *
 * A claim table is one value in the platform's key-value service, changed by
 * compare-and-swap alone.  A VM uses a thing only while the table it last read or
 * wrote names this VM's incarnation as holder.  A claim has no timeout, so pauses,
 * clock drift and lapsed leases cannot take it away.  It ends in three ways only:
 *
 *   - its holder gives it up, after it stopped using it;
 *   - the platform's list, newer than the list in which the holder saw itself when
 *     it claimed, no longer has the holder: the platform's word that the VM is gone;
 *   - a new process on the holder's own VM, which has bound the address that the
 *     former process held: the former process has ended.
 *
 * Safety rests on the platform taking a VM off its list only after it is gone.
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
  char vm[CLAIM_NAME_MAX + 1]; /* "" : free */
  char incarnation[CLAIM_INCARNATION_MAX + 1];
  char address[CLAIM_NAME_MAX + 1]; /* of the holder, for its peers */
  gint64 list_revision;             /* of the list in which the holder saw itself */
} claim_t;

typedef struct
{
  char vm[CLAIM_NAME_MAX + 1];
  char incarnation[CLAIM_INCARNATION_MAX + 1];
  char address[CLAIM_NAME_MAX + 1];
} claimant_t;

/* True when this incarnation holds the claim. */
bool claim_is_held_by (const claim_t *claim, const claimant_t *self);

/* True when nobody holds the claim any more, by the rules above. */
bool claim_is_free (const claim_t *claim, const claimant_t *self, const member_list_t *list);

/* Takes free claims in the table (claim_t) for `self` until it holds `wanted`, and
 * returns the number taken; 0 when `self` is not in the list yet. */
guint claim_take (GArray *table, const claimant_t *self, const member_list_t *list, guint wanted);

/* Gives up the newest claims of `self` until it holds `wanted`; returns the number given up. */
guint claim_release (GArray *table, const claimant_t *self, guint wanted);

/* Counts claims with any holder; those held by `self`. */
guint claim_count_used (const GArray *table);
guint claim_count_held (const GArray *table, const claimant_t *self);

/* Adds a free claim of that name when the table has none; true when it was added. */
bool claim_add (GArray *table, const char *name);
