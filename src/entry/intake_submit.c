#define LOG_MODULE "intake"

#include "entry/intake_request.h"

#include "base/clock.h"
#include "base/log.h"
#include "decide/scheduler.h"
#include "entry/codec.h"
#include "entry/relay.h"

#include <string.h>

enum
{
  /* Time that the leader has to answer before a refusal: what cannot be served is refused quickly.
   */
  REFUSAL_QUERY_TIMEOUT_MS = 150
};

static void store_job (request_t *request);
static void refuse_without_path (request_t *request);

static void
finish (request_t *request, error_kind_t kind)
{
  intake_request_count (request, kind);
  intake_request_log (request, kind);
  if (kind == ERROR_NONE && request->spec->revision > 0)
    uplink_announce_job (request->intake->uplink, request->spec);
  else
    uplink_release_room (request->intake->uplink, request->id);
  request->submit_done (kind, kind == ERROR_OVER_SHARE ? request->retry_after_ms : 0,
                        request->data);
  intake_request_free (request);
}

static gboolean
retry_store_job (gpointer data)
{
  store_job (data);
  return G_SOURCE_REMOVE;
}

/* Takes over the job as it is stored, by a STORE_REFUSED reply: this request may have another text,
 * which must not run.  A job that has ended, or whose record cannot be read, is not announced. */
static void
take_stored_spec (request_t *request, const store_reply_t *reply)
{
  request->spec->revision = 0;
  for (guint i = 0; i < reply->items->len; i++)
    {
      const store_item_t *item = g_ptr_array_index (reply->items, i);
      job_spec_t *stored = strcmp (item->key, request->key) == 0
                               ? codec_unpack_job (item->value, item->value_bytes)
                               : NULL;

      if (stored == NULL)
        continue;
      job_spec_free (request->spec);
      request->spec = stored;
      request->spec->revision = item->revision;
    }
}

static void
end_write (request_t *request, bool may_be_stored)
{
  request->may_be_stored |= may_be_stored;
  job_writes_end (request->intake->writes, request->id, may_be_stored, clock_now_us ());
  *request->intake->dropped_count = job_writes_dropped_count (request->intake->writes);
}

static void
job_stored (const store_reply_t *reply, void *data)
{
  request_t *request = data;
  /* A refused write shows the job as stored, unless it is one of another workspace. */
  bool is_conflict = reply->status == STORE_REFUSED && !intake_may_access_records (request, reply);

  end_write (request, reply->status == STORE_DONE || reply->status == STORE_LOST
                          || (reply->status == STORE_REFUSED && !is_conflict));
  switch (reply->status)
    {
    case STORE_DONE:
      request->spec->revision = reply->revision;
      finish (request, ERROR_NONE);
      return;
    case STORE_REFUSED:
      if (!is_conflict)
        take_stored_spec (request, reply);
      finish (request, is_conflict ? ERROR_CONFLICT : ERROR_NONE);
      return;
    case STORE_LOST:
    case STORE_MISSING:
    case STORE_UNAVAILABLE:
      break;
    }
  if (request->may_be_stored && intake_has_time_for_attempt (request)
      && relay_has_path (request->intake->store))
    (void) g_timeout_add (INTAKE_RETRY_DELAY_MS, retry_store_job, request);
  else
    refuse_without_path (request);
}

static void
store_job (request_t *request)
{
  store_condition_t expect[] = { { request->key, 0 }, { request->end_key, 0 } };
  store_write_t write = { request->key, request->record, request->record_bytes, 0 };

  job_writes_begin (request->intake->writes, request->id, clock_now_us ());
  *request->intake->dropped_count = job_writes_dropped_count (request->intake->writes);
  request->intake->store->calls->txn (request->intake->store, expect, G_N_ELEMENTS (expect), &write,
                                      1, job_stored, request);
}

/* ---- Refusals.  An earlier attempt may have stored the job, which then has a job record or, once
 * it has ended, an end record.  One transaction replaces the first by the second, so reading them
 * in this order cannot miss both. */

/* Answers `refusal`, which states that the job is not stored, unless a write for its id may have
 * been carried out or may still be. */
static void
refuse (request_t *request, error_kind_t refusal)
{
  bool may_be_stored
      = request->may_be_stored
        || job_writes_may_be_stored (request->intake->writes, request->id, clock_now_us ());

  if (may_be_stored)
    LOG_INFO ("refusal_withheld", "job=%s refusal=%s", request->id,
              error_properties (refusal)->name);
  finish (request, may_be_stored ? ERROR_ANSWER_LOST : refusal);
}

static void
leader_asked_for_job (const uplink_query_result_t *answer, void *data)
{
  request_t *request = data;

  if (!answer->is_answered || !answer->is_known)
    refuse (request, ERROR_PLATFORM_UNAVAILABLE);
  else if (intake_may_access_owner (request, answer->workspace))
    finish (request, ERROR_NONE);
  else
    finish (request, ERROR_CONFLICT);
}

/* Refuses a job whose records cannot be read or written, unless the leader knows it: its record is
 * stored then.  Without a leader this takes no time. */
static void
refuse_without_path (request_t *request)
{
  uplink_query (request->intake->uplink, request->id, NULL,
                MIN (intake_query_timeout_ms (request), REFUSAL_QUERY_TIMEOUT_MS),
                leader_asked_for_job, request);
}

static void
refuse_unless_stored (request_t *request, const store_reply_t *reply, store_done_t if_missing)
{
  if (reply->status == STORE_DONE)
    finish (request, intake_may_access_records (request, reply) ? ERROR_NONE : ERROR_CONFLICT);
  else if (reply->status != STORE_MISSING)
    refuse_without_path (request);
  else if (if_missing != NULL)
    request->intake->store->calls->get (request->intake->store, request->end_key, if_missing,
                                        request);
  else
    refuse (request, request->refusal);
}

static void
refused_end_read (const store_reply_t *reply, void *data)
{
  refuse_unless_stored (data, reply, NULL);
}

static void
refused_job_read (const store_reply_t *reply, void *data)
{
  refuse_unless_stored (data, reply, refused_end_read);
}

/* Answers `refusal`, or as for a stored job if its records show it. */
static void
refuse_after_reading (request_t *request, error_kind_t refusal)
{
  request->refusal = refusal;
  request->intake->store->calls->get (request->intake->store, request->key, refused_job_read,
                                      request);
}

static void
room_answered (const uplink_query_result_t *answer, void *data)
{
  request_t *request = data;

  if (answer->is_answered && answer->is_known)
    store_job (request);
  else
    refuse_after_reading (request, ERROR_OVERLOADED);
}

void
intake_submit (intake_t *intake,
               job_spec_t *spec,
               const char *caller,
               gint64 deadline_us,
               intake_submit_done_t done,
               void *data)
{
  request_t *request
      = intake_request_new (intake, ACTION_SUBMIT, spec->id, caller, deadline_us, data);

  request->submit_done = done;
  request->spec = spec;
  if (!relay_has_path (intake->store))
    {
      refuse_without_path (request);
      return;
    }
  request->retry_after_ms = uplink_refuse_ms (intake->uplink, spec->workspace, spec->queue);
  if (request->retry_after_ms > 0)
    {
      refuse_after_reading (request, ERROR_OVER_SHARE);
      return;
    }
  request->record = codec_pack_job (spec, &request->record_bytes);
  if (uplink_take_room (intake->uplink, spec->id, scheduler_job_bytes (spec)))
    store_job (request);
  else
    uplink_reserve_room (intake->uplink, spec->id, scheduler_job_bytes (spec),
                         intake_query_timeout_ms (request), room_answered, request);
}

/* An error after which nobody knows the records must not state that the job is not stored. */
const char *
intake_submit_detail (error_kind_t kind)
{
  if (kind == ERROR_CONFLICT)
    return "the job is not stored: its id is in use";
  if (kind == ERROR_ANSWER_LOST)
    return "the job may be stored";
  if (kind == ERROR_PLATFORM_UNAVAILABLE)
    return "this request has stored nothing: the key-value service cannot be reached";
  return "the job is not stored";
}
