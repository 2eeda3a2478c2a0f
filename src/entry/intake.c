#define LOG_MODULE "intake"

#include "entry/intake.h"

#include "base/clock.h"
#include "base/log.h"
#include "decide/admission.h"
#include "decide/job_writes.h"
#include "decide/scheduler.h"
#include "entry/codec.h"
#include "entry/keys.h"
#include "entry/relay.h"

#include <string.h>

struct intake
{
  store_t *store;
  uplink_t *uplink;
  metrics_t *metrics;
  job_writes_t *writes;
  guint64 *dropped_count; /* metric */
  guint open_count;
};

typedef enum
{
  ACTION_SUBMIT,
  ACTION_STATE,
  ACTION_CANCEL,
  ACTION_PENDING
} action_t;

/* One request of a customer. */
typedef struct
{
  intake_t *intake;
  action_t action;
  char id[JOB_ID_BYTES];
  char *caller; /* see intake.h */
  job_spec_t *spec;
  char *key;     /* of the job record */
  char *end_key; /* of the end record */
  guint8 *record;
  gsize record_bytes;
  gint64 started_us;
  gint64 deadline_us;
  bool may_be_stored;    /* a write got no answer */
  gint64 job_revision;   /* of the record to cancel; 0: not read yet */
  gint64 retry_after_ms; /* with ERROR_OVER_SHARE */
  error_kind_t refusal;  /* of a job whose records are read before it is refused */
  intake_done_t done;
  intake_submit_done_t submit_done;
  intake_state_done_t state_done;
  intake_pending_done_t pending_done;
  void *data;
} request_t;

enum
{
  QUERY_TIMEOUT_MS = 400, /* the leader answers within a few milliseconds */
  /* Time that the leader has to answer before a refusal: what cannot be served is refused quickly.
   */
  REFUSAL_QUERY_TIMEOUT_MS = 150,
  JOB_WRITES_MAX = 4096,
  RETRY_DELAY_MS = 60 /* between attempts at the store */
};

/* Approximate duration of one attempt at the store: with less time left before the deadline, no
 * further attempt is made. */
static const gint64 attempt_us = 150 * 1000;

static const char *
action_name (action_t action)
{
  static const char *const names[] = { "submit", "state", "cancel", "pending" };

  return names[action];
}

static request_t *
request_new (intake_t *intake,
             action_t action,
             const char *id,
             const char *caller,
             gint64 deadline_us,
             void *data)
{
  request_t *request = g_new0 (request_t, 1);

  request->intake = intake;
  request->action = action;
  request->caller = g_strdup (caller);
  request->started_us = clock_now_us ();
  request->deadline_us = deadline_us;
  request->data = data;
  intake->open_count++;
  if (id == NULL)
    return request;
  g_strlcpy (request->id, id, sizeof request->id);
  request->key = keys_job (id);
  request->end_key = keys_end (id);
  return request;
}

static void
request_free (request_t *request)
{
  request->intake->open_count--;
  job_spec_free (request->spec);
  g_free (request->caller);
  g_free (request->key);
  g_free (request->end_key);
  g_free (request->record);
  g_free (request);
}

static void
count_request (request_t *request, error_kind_t kind)
{
  g_autofree char *name
      = g_strdup_printf ("mimosastair_intake_total{action=\"%s\",result=\"%s\"}",
                         action_name (request->action), error_properties (kind)->name);

  (*metrics_counter (request->intake->metrics, name))++;
}

/* For log lines. */
static const char *
caller_text (const request_t *request)
{
  return request->caller != NULL && request->caller[0] != '\0' ? request->caller : "-";
}

static bool
may_access_owner (const request_t *request, const char *owner)
{
  if (admission_may_access_job (request->caller, owner))
    return true;
  LOG_INFO ("job_access_refused", "job=%s action=%s workspace=%s", request->id,
            action_name (request->action), caller_text (request));
  return false;
}

/* Returns whether the caller has access to the job of a job record or end record.  A record that
 * cannot be read belongs to nobody. */
static bool
may_access_record (const request_t *request, const store_item_t *item)
{
  Mimosastair__Job *job;
  Mimosastair__Ended *ended;
  bool may_access;

  if (request->caller == NULL)
    return true;
  if (strcmp (item->key, request->end_key) == 0)
    {
      ended = mimosastair__ended__unpack (NULL, item->value_bytes, item->value);
      may_access = ended != NULL && may_access_owner (request, ended->workspace);
      mimosastair__ended__free_unpacked (ended, NULL);
      return may_access;
    }
  job = mimosastair__job__unpack (NULL, item->value_bytes, item->value);
  may_access = job != NULL && may_access_owner (request, job->workspace);
  mimosastair__job__free_unpacked (job, NULL);
  return may_access;
}

static bool
may_access_records (const request_t *request, const store_reply_t *reply)
{
  for (guint i = 0; i < reply->items->len; i++)
    {
      if (!may_access_record (request, g_ptr_array_index (reply->items, i)))
        return false;
    }
  return true;
}

/* Answers a submit or cancel request. */
static void
finish (request_t *request, error_kind_t kind)
{
  count_request (request, kind);
  if (request->action == ACTION_SUBMIT || kind != ERROR_NONE)
    LOG_INFO ("job_request",
              "job=%s action=%s queue=%s result=%s took_ms=%" G_GINT64_FORMAT " workspace=%s",
              request->id, action_name (request->action),
              request->spec != NULL ? request->spec->queue : "-", error_properties (kind)->name,
              (clock_now_us () - request->started_us) / 1000, caller_text (request));
  if (kind == ERROR_NONE && request->action == ACTION_SUBMIT && request->spec->revision > 0)
    uplink_announce_job (request->intake->uplink, request->spec);
  else if (request->action == ACTION_SUBMIT)
    uplink_release_room (request->intake->uplink, request->id);
  if (kind == ERROR_NONE && request->action == ACTION_CANCEL)
    uplink_announce_cancel (request->intake->uplink, request->id);
  if (request->action == ACTION_SUBMIT)
    request->submit_done (kind, kind == ERROR_OVER_SHARE ? request->retry_after_ms : 0,
                          request->data);
  else
    request->done (kind, request->data);
  request_free (request);
}

static bool
has_time_for_attempt (const request_t *request)
{
  return clock_now_us () + attempt_us < request->deadline_us;
}

/* Time that the leader has to answer; what is left is for the store. */
static guint
query_timeout_ms (const request_t *request)
{
  gint64 left_ms = (request->deadline_us - clock_now_us ()) / 1000;

  return (guint) CLAMP (left_ms / 2, 0, QUERY_TIMEOUT_MS);
}

/* ---- Submit. */

static void store_job (request_t *request);
static void refuse_without_path (request_t *request);

static gboolean
retry_store_job (gpointer data)
{
  store_job (data);
  return G_SOURCE_REMOVE;
}

/* Returns the revision of the job record in a STORE_REFUSED reply; 0 when the job has ended. */
static gint64
job_record_revision (const request_t *request, const store_reply_t *reply)
{
  for (guint i = 0; i < reply->items->len; i++)
    {
      const store_item_t *item = g_ptr_array_index (reply->items, i);

      if (strcmp (item->key, request->key) == 0)
        return item->revision;
    }
  return 0;
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
  bool is_conflict = reply->status == STORE_REFUSED && !may_access_records (request, reply);

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
        request->spec->revision = job_record_revision (request, reply);
      finish (request, is_conflict ? ERROR_CONFLICT : ERROR_NONE);
      return;
    case STORE_LOST:
    case STORE_MISSING:
    case STORE_UNAVAILABLE:
      break;
    }
  if (request->may_be_stored && has_time_for_attempt (request)
      && relay_has_path (request->intake->store))
    (void) g_timeout_add (RETRY_DELAY_MS, retry_store_job, request);
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
  else if (may_access_owner (request, answer->workspace))
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
                MIN (query_timeout_ms (request), REFUSAL_QUERY_TIMEOUT_MS), leader_asked_for_job,
                request);
}

static void
refuse_unless_stored (request_t *request, const store_reply_t *reply, store_done_t if_missing)
{
  if (reply->status == STORE_DONE)
    finish (request, may_access_records (request, reply) ? ERROR_NONE : ERROR_CONFLICT);
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
  request_t *request = request_new (intake, ACTION_SUBMIT, spec->id, caller, deadline_us, data);

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
                         query_timeout_ms (request), room_answered, request);
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

/* ---- State. */

static void
finish_state (request_t *request, error_kind_t kind, job_state_t state)
{
  count_request (request, kind);
  LOG_DEBUG ("job_state", "job=%s result=%s state=%s", request->id, error_properties (kind)->name,
             job_state_name (state));
  if (kind == ERROR_NOT_FOUND)
    LOG_INFO ("job_unknown", "job=%s action=state", request->id);
  request->state_done (kind, state, request->data);
  request_free (request);
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
  if (!may_access_records (request, reply))
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
    finish_state (request, may_access_records (request, reply) ? ERROR_NONE : ERROR_NOT_FOUND,
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
                  may_access_owner (request, answer->workspace) ? ERROR_NONE : ERROR_NOT_FOUND,
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
  request_t *request = request_new (intake, ACTION_STATE, id, caller, deadline_us, data);

  request->state_done = done;
  uplink_query (intake->uplink, id, NULL, query_timeout_ms (request), state_queried, request);
}

/* ---- Cancel. */

static void read_job_for_cancel (request_t *request);
static void store_cancel (request_t *request);

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
  if (has_time_for_attempt (request))
    (void) g_timeout_add (RETRY_DELAY_MS, cancel_timer_fired, request);
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
    finish (request, may_access_records (request, reply) ? ERROR_NONE : ERROR_NOT_FOUND);
  else if (reply->status == STORE_MISSING)
    finish (request, ERROR_NOT_FOUND);
  else
    schedule_cancel_retry (request);
}

static void
cancel_job_record_read (const store_reply_t *reply, void *data)
{
  request_t *request = data;

  if (reply->status == STORE_DONE && !may_access_records (request, reply))
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
  request_t *request = request_new (intake, ACTION_CANCEL, id, caller, deadline_us, data);

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

/* ---- Pending jobs of a queue. */

static void
pending_queried (const uplink_query_result_t *answer, void *data)
{
  request_t *request = data;
  error_kind_t kind = answer->is_answered ? ERROR_NONE : ERROR_UNREACHABLE;

  count_request (request, kind);
  request->pending_done (kind, answer->pending, request->data);
  request_free (request);
}

void
intake_get_pending (
    intake_t *intake, const char *queue, gint64 deadline_us, intake_pending_done_t done, void *data)
{
  request_t *request = request_new (intake, ACTION_PENDING, NULL, NULL, deadline_us, data);

  request->pending_done = done;
  uplink_query (intake->uplink, NULL, queue, query_timeout_ms (request), pending_queried, request);
}

/* ---- Construction. */

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
