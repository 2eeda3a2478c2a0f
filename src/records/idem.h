/* At most once: durable intent records of idempotency keys.
 *
 * Before a non-idempotent request is sent, its key is claimed by a
 * create-if-absent in the key-value service, group-committed; only the VM whose
 * claim was written may send it.  When the run ends the record takes the answer,
 * which later tries get byte for byte until the record's lease runs out.
 *
 *   absent ── claimed ── done (answer) | unknown (never run again)
 *     └──────────┴── released (did not run; may be claimed again)
 *
 * A record is never given to another VM.  If its VM is gone before the end was
 * recorded, nobody can know whether it ran, and later tries get "unknown".
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
  IDEM_OURS,       /* claimed: run it, then idem_finish() or idem_release() */
  IDEM_ANSWER,     /* it ran; `answer` is its answer */
  IDEM_UNKNOWN,    /* it may have run and nobody will learn more */
  IDEM_RUNNING,    /* it is running elsewhere still, at this try's deadline */
  IDEM_KEY_REUSED, /* the key was used with another body */
  IDEM_UNAVAILABLE /* the key-value service did not answer in time */
} idem_result_t;

typedef void (*idem_done_t) (idem_result_t result, const idem_answer_t *answer, void *data);

typedef struct
{
  guint64 claimed;
  guint64 joined;
  guint64 replayed;
  guint64 released;
  guint64 unavailable;
} idem_counters_t;

/* `kv` and `batch` are borrowed.  `vm` and `incarnation` name this process;
 * answers are kept for `retention_s`. */
idem_t *
idem_new (kv_t *kv, batch_t *batch, const char *vm, const char *incarnation, gint64 retention_s);
void idem_free (idem_t *idem);

/* The newest list, to learn of lost owners; borrowed and kept. */
void idem_set_list (idem_t *idem, const member_list_t *list);

/* Claims `scope` (environment, customer and key) for a body of digest `digest`.
 * `done` is called exactly once, by the monotonic time `deadline_us` at the latest. */
void idem_begin (idem_t *idem,
                 const char *scope,
                 const char *digest,
                 gint64 deadline_us,
                 idem_done_t done,
                 void *data);

/* True when this VM already knows of the scope: a begin would join or replay. */
bool idem_is_known (const idem_t *idem, const char *scope);

/* Records the end of a run claimed here; NULL: its fate is unknown. */
void idem_finish (idem_t *idem, const char *scope, const idem_answer_t *answer);

/* Gives a claim back: it certainly did not run. */
void idem_release (idem_t *idem, const char *scope);

/* Records not yet written. */
guint idem_pending (const idem_t *idem);

const idem_counters_t *idem_counters (const idem_t *idem);
