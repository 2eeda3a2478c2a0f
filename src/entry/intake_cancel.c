#define LOG_MODULE "intake"

#include "entry/intake_request.h"

#include "entry/keys.h"

static void read_job_for_cancel (request_t *request);
static void store_cancel (request_t *request);

static void
finish (request_t *request, error_kind_t kind)
{
  intake_request_count (request, kind);
  if (kind == ERROR_NONE)
    uplink_announce_cancel (request->intake->uplink, request->id);
  else
    intake_request_log (request, kind);
  request->done (kind, request->data);
  intake_request_free (request);
}

static gboolean
cancel_timer_fired (gpointer data)
{
  request_t *request = data;

  if (request->job_revision > 0)
    store_cancel (request);
  else
    read_job_for_cancel (request);
  return G_SOURCE_REMOVE;
}

static void
schedule_cancel_retry (request_t *request)
{
  if (intake_has_time_for_attempt (request))
    (void) g_timeout_add (INTAKE_RETRY_DELAY_MS, cancel_timer_fired, request);
  else
    finish (request, request->may_be_stored ? ERROR_ANSWER_LOST : ERROR_PLATFORM_UNAVAILABLE);
}

static void
cancel_stored (const store_reply_t *reply, void *data)
{
  request_t *request = data;

  switch (reply->status)
    {
    case STORE_DONE:
      finish (request, ERROR_NONE);
      return;
    case STORE_REFUSED:
    case STORE_MISSING:
      /* The job record has changed or is gone, so the job has ended.  Read the records again. */
      request->job_revision = 0;
      break;
    case STORE_LOST:
      request->may_be_stored = true;
      break;
    case STORE_UNAVAILABLE:
      break;
    }
  schedule_cancel_retry (request);
}

static void
store_cancel (request_t *request)
{
  g_autofree char *key = keys_cancel (request->id);
  store_condition_t expect = { request->key, request->job_revision };
  store_write_t write = { key, (const guint8 *) "1", 1, 0 };

  request->intake->store->calls->txn (request->intake->store, &expect, 1, &write, 1, cancel_stored,
                                      request);
}

static void
cancel_end_record_read (const store_reply_t *reply, void *data)
{
  request_t *request = data;

  if (reply->status == STORE_DONE)
    finish (request, intake_may_access_records (request, reply) ? ERROR_NONE : ERROR_NOT_FOUND);
  else if (reply->status == STORE_MISSING)
    finish (request, ERROR_NOT_FOUND);
  else
    schedule_cancel_retry (request);
}

static void
cancel_job_record_read (const store_reply_t *reply, void *data)
{
  request_t *request = data;

  if (reply->status == STORE_DONE && !intake_may_access_records (request, reply))
    finish (request, ERROR_NOT_FOUND);
  else if (reply->status == STORE_DONE && reply->items->len > 0)
    {
      request->job_revision = ((store_item_t *) g_ptr_array_index (reply->items, 0))->revision;
      store_cancel (request);
    }
  else if (reply->status == STORE_MISSING)
    request->intake->store->calls->get (request->intake->store, request->end_key,
                                        cancel_end_record_read, request);
  else
    schedule_cancel_retry (request);
}

static void
read_job_for_cancel (request_t *request)
{
  request->intake->store->calls->get (request->intake->store, request->key, cancel_job_record_read,
                                      request);
}

void
intake_cancel (intake_t *intake,
               const char *id,
               const char *caller,
               gint64 deadline_us,
               intake_done_t done,
               void *data)
{
  request_t *request = intake_request_new (intake, ACTION_CANCEL, id, caller, deadline_us, data);

  request->done = done;
  read_job_for_cancel (request);
}

const char *
intake_cancel_detail (error_kind_t kind)
{
  if (kind == ERROR_ANSWER_LOST)
    return "the cancel may be stored";
  return "the cancel is not stored";
}
