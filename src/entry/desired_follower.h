/* Keeps this VM's desired state current.
 *
 * Follows the operators' documents in the key-value service.  The service may turn this VM away and
 * serve others, so the leader and the VMs also tell each other their versions: a VM that is behind
 * reads the document again, directly and through the leader.  Versions never go back.
 */
#pragma once

#include "decide/spec.h"
#include "store/store.h"

typedef struct desired_follower desired_follower_t;

/* `desired` is in force from now on.  It stays valid until two later versions were reported. */
typedef void (*desired_changed_t) (const desired_state_t *desired, void *data);

/* `store` is watched; `read_store` must come from relay_new().  Both are borrowed. */
desired_follower_t *
desired_follower_new (store_t *store, store_t *read_store, desired_changed_t changed, void *data);

/* No read may be in progress.  NULL is allowed. */
void desired_follower_free (desired_follower_t *follower);

/* Returns the state in force; NULL before the first one is known. */
const desired_state_t *desired_follower_state (const desired_follower_t *follower);

/* Returns the version in force; 0 before the first one is known. */
gint64 desired_follower_version (const desired_follower_t *follower);

/* Returns the time since the version in force was last known to be the newest one; -1 before the
 * first one is known, or when another VM has a newer one. */
gint64 desired_follower_age_us (const desired_follower_t *follower, gint64 now_us);

/* Returns the time since the version in force was last known to be the newest one, even if another
 * VM has a newer one by now; -1: never. */
gint64 desired_follower_unconfirmed_us (const desired_follower_t *follower, gint64 now_us);

/* Another VM has this version (0: none).  At `confirmed_us`, on this VM's clock, it was the newest
 * one; 0: not known. */
void
desired_follower_peer_reported (desired_follower_t *follower, gint64 version, gint64 confirmed_us);
