#include "entry/intake.h"

#include "decide/admission.h"
#include "entry/intake_request.h"
#include "entry/relay.h"

enum
{
  JOB_WRITES_MAX = 4096
};

static void
pending_queried (const uplink_query_result_t *answer, void *data)
{
  request_t *request = data;
  error_kind_t kind = answer->is_answered ? ERROR_NONE : ERROR_UNREACHABLE;

  intake_request_count (request, kind);
  request->pending_done (kind, answer->pending, request->data);
  intake_request_free (request);
}

void
intake_get_pending (
    intake_t *intake, const char *queue, gint64 deadline_us, intake_pending_done_t done, void *data)
{
  request_t *request = intake_request_new (intake, ACTION_PENDING, NULL, NULL, deadline_us, data);

  request->pending_done = done;
  uplink_query (intake->uplink, NULL, queue, intake_query_timeout_ms (request), pending_queried,
                request);
}

intake_t *
intake_new (store_t *store, uplink_t *uplink, metrics_t *metrics)
{
  intake_t *intake = g_new0 (intake_t, 1);

  intake->store = store;
  intake->uplink = uplink;
  intake->metrics = metrics;
  intake->writes = job_writes_new (JOB_WRITES_MAX);
  intake->dropped_count = metrics_counter (metrics, "mimosastair_job_writes_dropped_total");
  return intake;
}

void
intake_free (intake_t *intake)
{
  if (intake == NULL)
    return;
  job_writes_free (intake->writes);
  g_free (intake);
}

gint64
intake_retry_after_ms (const intake_t *intake)
{
  return admission_retry_after_ms (relay_outage_us (intake->store));
}

guint
intake_open_count (const intake_t *intake)
{
  return intake->open_count;
}
