/* At-most-once execution: durable intent records of idempotency keys, written before the run.
 *
 * Before a non-idempotent request is sent, its key is claimed by a create-if-absent write in the
 * key-value service (group commit, see batch.h).  Only the VM whose claim was written may send the
 * request.  When the run ends, its answer is stored in the record, and later attempts get that
 * answer byte for byte until the lease of the record expires.
 *
 *   absent ── claimed ── done (answer) | unknown (never run again)
 *                └── released (did not run; may be claimed again)
 *
 * A claim never passes to another VM.  If its VM is gone before the end was recorded, it cannot be
 * known whether the request ran, and later attempts get "unknown".
 */
#pragma once

#include "base/error.h"
#include "decide/members.h"
#include "records/batch.h"

#include <glib.h>

typedef struct idem idem_t;

enum
{
  IDEM_ANSWER_MAX_BYTES = 64 * 1024,
  IDEM_SCOPE_MAX_BYTES = 400
};

typedef struct
{
  guint http_status;
  const char *content_type;
  GBytes *body;
} idem_answer_t;

typedef enum
{
  IDEM_CLAIMED,    /* claimed by this attempt: run it, then call idem_finish() or idem_release() */
  IDEM_ANSWER,     /* the request ran; `answer` is its answer */
  IDEM_UNKNOWN,    /* the request may have run; its outcome will never be known */
  IDEM_RUNNING,    /* another attempt was still running at the deadline of this one */
  IDEM_KEY_REUSED, /* the key was used with a different body */
  IDEM_UNAVAILABLE /* the key-value service did not answer in time */
} idem_result_t;

/* `answer` is set with IDEM_ANSWER only, and valid during the call only. */
typedef void (*idem_done_t) (idem_result_t result, const idem_answer_t *answer, void *data);

typedef struct
{
  guint64 claimed;
  guint64 joined;
  guint64 replayed;
  guint64 released;
  guint64 unavailable;
} idem_counters_t;

/* `kv` and `batch` are borrowed.  `vm` and `incarnation` identify this process.  Answers are kept
 * for `retention_s`. */
idem_t *
idem_new (kv_t *kv, batch_t *batch, const char *vm, const char *incarnation, gint64 retention_s);
void idem_free (idem_t *idem);

/* Sets the newest VM list, by which claims whose VM is gone are detected; borrowed until the next
 * call. */
void idem_set_member_list (idem_t *idem, const member_list_t *list);

/* Claims `scope` (environment, customer and key) for a body with the digest `digest`.  `done` is
 * called exactly once, possibly before this function returns.  An attempt that is still waiting at
 * the monotonic time `deadline_us` is ended by the next sweep, which runs every 20 ms. */
void idem_begin (idem_t *idem,
                 const char *scope,
                 const char *digest,
                 gint64 deadline_us,
                 idem_done_t done,
                 void *data);

/* Returns true if this VM knows the scope, so that idem_begin() would join an earlier attempt or
 * replay its result. */
bool idem_is_known (const idem_t *idem, const char *scope);

/* Records the end of a run whose key this VM claimed.  `answer` is NULL if the outcome is unknown;
 * one that is larger than IDEM_ANSWER_MAX_BYTES is recorded as unknown. */
void idem_finish (idem_t *idem, const char *scope, const idem_answer_t *answer);

/* Releases a claim whose request certainly did not run. */
void idem_release (idem_t *idem, const char *scope);

/* Returns the number of ends and releases that are not yet written. */
guint idem_pending_write_count (const idem_t *idem);

const idem_counters_t *idem_counters (const idem_t *idem);
