#define LOG_MODULE "intake"

#include "entry/intake_request.h"

#include "base/clock.h"
#include "base/log.h"
#include "decide/admission.h"
#include "entry/keys.h"
#include "peer/peer.pb-c.h"

#include <string.h>

enum
{
  QUERY_TIMEOUT_MS = 400 /* the leader answers within a few milliseconds */
};

/* Approximate duration of one attempt at the store. */
static const gint64 attempt_us = 150 * 1000;

static const char *
action_name (action_t action)
{
  static const char *const names[] = { "submit", "state", "cancel", "pending" };

  return names[action];
}

request_t *
intake_request_new (intake_t *intake,
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

void
intake_request_free (request_t *request)
{
  request->intake->open_count--;
  job_spec_free (request->spec);
  g_free (request->caller);
  g_free (request->key);
  g_free (request->end_key);
  g_free (request->record);
  g_free (request);
}

void
intake_request_count (request_t *request, error_kind_t kind)
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

void
intake_request_log (const request_t *request, error_kind_t kind)
{
  LOG_INFO ("job_request",
            "job=%s action=%s queue=%s result=%s took_ms=%" G_GINT64_FORMAT " workspace=%s",
            request->id, action_name (request->action),
            request->spec != NULL ? request->spec->queue : "-", error_properties (kind)->name,
            (clock_now_us () - request->started_us) / 1000, caller_text (request));
}

bool
intake_may_access_owner (const request_t *request, const char *owner)
{
  if (admission_may_access_job (request->caller, owner))
    return true;
  LOG_INFO ("job_access_refused", "job=%s action=%s workspace=%s", request->id,
            action_name (request->action), caller_text (request));
  return false;
}

/* Returns whether the caller has access to the job of one record. */
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
      may_access = ended != NULL && intake_may_access_owner (request, ended->workspace);
      mimosastair__ended__free_unpacked (ended, NULL);
      return may_access;
    }
  job = mimosastair__job__unpack (NULL, item->value_bytes, item->value);
  may_access = job != NULL && intake_may_access_owner (request, job->workspace);
  mimosastair__job__free_unpacked (job, NULL);
  return may_access;
}

bool
intake_may_access_records (const request_t *request, const store_reply_t *reply)
{
  for (guint i = 0; i < reply->items->len; i++)
    {
      if (!may_access_record (request, g_ptr_array_index (reply->items, i)))
        return false;
    }
  return true;
}

bool
intake_has_time_for_attempt (const request_t *request)
{
  return clock_now_us () + attempt_us < request->deadline_us;
}

guint
intake_query_timeout_ms (const request_t *request)
{
  gint64 left_ms = (request->deadline_us - clock_now_us ()) / 1000;

  return (guint) CLAMP (left_ms / 2, 0, QUERY_TIMEOUT_MS);
}
