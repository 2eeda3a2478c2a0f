/* The attempts that wait for the state of one idempotency key to change.
 *
 * At most one of them is the claimant, which runs the request if the claim is written.  Each
 * attempt is answered once, and is gone from the list before that: an answered attempt may start
 * another one with the same key.
 */
#pragma once

#include "base/list.h"
#include "records/idem.h"

typedef struct
{
  list_node_t list; /* private to the module */
} idem_waiters_t;

void idem_waiters_init (idem_waiters_t *waiters);

/* Frees the attempts without an answer. */
void idem_waiters_clear (idem_waiters_t *waiters);

bool idem_waiters_is_empty (const idem_waiters_t *waiters);

/* `digest` is that of the body. */
void idem_waiters_add (idem_waiters_t *waiters,
                       const char *digest,
                       gint64 deadline_us,
                       idem_done_t done,
                       void *data,
                       bool is_claimant);

bool idem_waiters_has_claimant (const idem_waiters_t *waiters);

/* Returns the deadline of the claimant, or `fallback_us` if there is none. */
gint64 idem_waiters_claimant_deadline_us (const idem_waiters_t *waiters, gint64 fallback_us);

/* Makes the attempt that has waited longest the claimant.  Returns its digest, borrowed.  There
 * must be an attempt. */
const char *idem_waiters_choose_claimant (idem_waiters_t *waiters);

/* Answers the claimant; there must be one. */
void idem_waiters_answer_claimant (idem_waiters_t *waiters, idem_result_t result);

/* `answer` is set with IDEM_ANSWER only. */
void idem_waiters_answer_all (idem_waiters_t *waiters,
                              idem_result_t result,
                              const idem_answer_t *answer);

/* Rejects the attempts whose digest differs. */
void idem_waiters_reject_others (idem_waiters_t *waiters, const char *digest);

/* Answers one attempt whose deadline has passed.  Returns false if there is none. */
bool idem_waiters_answer_expired (idem_waiters_t *waiters, gint64 now_us, idem_result_t result);
