/* Requests of customers at this VM: submit and cancel a job, query its state, and count the
 * pending jobs of a queue.
 *
 * `caller` is who makes a request, as for admission_may_access_job(); it is copied.  To a caller
 * without access, a job does not exist.
 *
 * A job is accepted once its record is stored, and a cancel once its marker is stored.  A
 * request is answered as not accepted only if its write certainly has not taken effect and never
 * will.
 */
#pragma once

#include "base/error.h"
#include "base/metrics.h"
#include "entry/uplink.h"
#include "store/store.h"

typedef struct intake intake_t;

/* `store` must come from relay_new().  All arguments are borrowed. */
intake_t *intake_new (store_t *store, uplink_t *uplink, metrics_t *metrics);

/* No request may be open. */
void intake_free (intake_t *intake);

/* ERROR_NONE: the job or the cancel is stored, or the job has already ended.  ERROR_ANSWER_LOST:
 * the job or the cancel may be stored, by this request or, for a job, by one of the last 12 s.
 * Errors with the outcome OUTCOME_NOT_RUN, such as ERROR_PLATFORM_UNAVAILABLE or, for a cancel of
 * an unknown job, ERROR_NOT_FOUND: it is not stored and will not be.  ERROR_CONFLICT: the id is
 * that of a job to which the caller has no access. */
typedef void (*intake_done_t) (error_kind_t kind, void *data);

/* Also ERROR_OVER_SHARE: the job is beyond the share of its workspace, and is not stored; the
 * caller should retry after `retry_after_ms`, which is 0 otherwise. */
typedef void (*intake_submit_done_t) (error_kind_t kind, gint64 retry_after_ms, void *data);

/* Takes ownership of `spec`.  The caller stops waiting at `deadline_us`, a clock_now_us() time. */
void intake_submit (intake_t *intake,
                    job_spec_t *spec,
                    const char *caller,
                    gint64 deadline_us,
                    intake_submit_done_t done,
                    void *data);

/* `state` is valid with ERROR_NONE only.  ERROR_NOT_FOUND: there is no such job. */
typedef void (*intake_state_done_t) (error_kind_t kind, job_state_t state, void *data);
void intake_get_state (intake_t *intake,
                       const char *id,
                       const char *caller,
                       gint64 deadline_us,
                       intake_state_done_t done,
                       void *data);

void intake_cancel (intake_t *intake,
                    const char *id,
                    const char *caller,
                    gint64 deadline_us,
                    intake_done_t done,
                    void *data);

/* Return what an error tells the caller of a submission or a cancel, in static storage. */
const char *intake_submit_detail (error_kind_t kind);
const char *intake_cancel_detail (error_kind_t kind);

/* `pending` is the number of the queue's jobs none of whose tasks has started.  ERROR_UNREACHABLE:
 * no leader answered. */
typedef void (*intake_pending_done_t) (error_kind_t kind, guint pending, void *data);
void intake_get_pending (intake_t *intake,
                         const char *queue,
                         gint64 deadline_us,
                         intake_pending_done_t done,
                         void *data);

/* Returns the time in milliseconds after which a refused caller should retry. */
gint64 intake_retry_after_ms (const intake_t *intake);

/* Returns the number of requests that are not answered yet. */
guint intake_open_count (const intake_t *intake);
