/* Jobs of customers at this VM: submit, ask, cancel.
 *
 * A job is accepted once its record is stored, and a cancel once that is stored.  An
 * answer says "not accepted" only if the record certainly is not stored and never will
 * be by this request.
 */
#pragma once

#include "base/error.h"
#include "base/metrics.h"
#include "entry/uplink.h"
#include "store/store.h"

typedef struct intake intake_t;

/* `store` is a relay. */
intake_t *intake_new (store_t *store, uplink_t *uplink, metrics_t *metrics);
void intake_free (intake_t *intake);

/* ERROR_NONE: accepted, or carried out.  ERROR_OVERLOADED and others with the outcome
 * OUTCOME_NOT_RUN: nothing was or will be done.  ERROR_ANSWER_LOST: not known. */
typedef void (*intake_done_t) (error_kind_t kind, void *data);

/* Takes `spec`.  `deadline_us`: the caller waits no longer. */
void intake_submit (
    intake_t *intake, job_spec_t *spec, gint64 deadline_us, intake_done_t done, void *data);

/* ERROR_NOT_FOUND: there is no such job. */
typedef void (*intake_state_done_t) (error_kind_t kind, job_state_t state, void *data);
void intake_state (
    intake_t *intake, const char *id, gint64 deadline_us, intake_state_done_t done, void *data);

void intake_cancel (
    intake_t *intake, const char *id, gint64 deadline_us, intake_done_t done, void *data);

typedef void (*intake_pending_done_t) (error_kind_t kind, guint pending, void *data);
void intake_pending (
    intake_t *intake, const char *queue, gint64 deadline_us, intake_pending_done_t done, void *data);

/* When a caller that was refused is to come back. */
gint64 intake_retry_after_ms (const intake_t *intake);

/* Requests that are not answered yet. */
guint intake_open_count (const intake_t *intake);
