#define LOG_MODULE "intake"

#include "entry/intake_request.h"

#include "base/log.h"
#include "peer/peer.pb-c.h"

static void
finish_state (request_t *request, error_kind_t kind, job_state_t state)
{
  intake_request_count (request, kind);
  LOG_DEBUG ("job_state", "job=%s result=%s state=%s", request->id, error_properties (kind)->name,
             job_state_name (state));
  if (kind == ERROR_NOT_FOUND)
    LOG_INFO ("job_unknown", "job=%s action=state", request->id);
  request->state_done (kind, state, request->data);
  intake_request_free (request);
}

static void
end_record_read (const store_reply_t *reply, void *data)
{
  request_t *request = data;
  Mimosastair__Ended *message;

  if (reply->status == STORE_MISSING)
    {
      finish_state (request, ERROR_NOT_FOUND, JOB_QUEUED);
      return;
    }
  if (reply->status != STORE_DONE || reply->items->len == 0)
    {
      finish_state (request, ERROR_PLATFORM_UNAVAILABLE, JOB_QUEUED);
      return;
    }
  if (!intake_may_access_records (request, reply))
    {
      finish_state (request, ERROR_NOT_FOUND, JOB_QUEUED);
      return;
    }
  {
    const store_item_t *item = g_ptr_array_index (reply->items, 0);

    message = mimosastair__ended__unpack (NULL, item->value_bytes, item->value);
  }
  if (message == NULL)
    {
      finish_state (request, ERROR_INTERNAL, JOB_QUEUED);
      return;
    }
  finish_state (request, ERROR_NONE, message->state);
  mimosastair__ended__free_unpacked (message, NULL);
}

/* When a job ends, one transaction replaces its job record by its end record.  Reading the job
 * record first therefore cannot miss both. */
static void
job_record_read (const store_reply_t *reply, void *data)
{
  request_t *request = data;

  if (reply->status == STORE_DONE)
    finish_state (request,
                  intake_may_access_records (request, reply) ? ERROR_NONE : ERROR_NOT_FOUND,
                  JOB_QUEUED);
  else if (reply->status == STORE_MISSING)
    request->intake->store->calls->get (request->intake->store, request->end_key, end_record_read,
                                        request);
  else
    finish_state (request, ERROR_PLATFORM_UNAVAILABLE, JOB_QUEUED);
}

static void
state_queried (const uplink_query_result_t *answer, void *data)
{
  request_t *request = data;

  if (answer->is_answered && answer->is_known)
    finish_state (request,
                  intake_may_access_owner (request, answer->workspace) ? ERROR_NONE
                                                                       : ERROR_NOT_FOUND,
                  answer->state);
  else
    request->intake->store->calls->get (request->intake->store, request->key, job_record_read,
                                        request);
}

void
intake_get_state (intake_t *intake,
                  const char *id,
                  const char *caller,
                  gint64 deadline_us,
                  intake_state_done_t done,
                  void *data)
{
  request_t *request = intake_request_new (intake, ACTION_STATE, id, caller, deadline_us, data);

  request->state_done = done;
  uplink_query (intake->uplink, id, NULL, intake_query_timeout_ms (request), state_queried,
                request);
}
