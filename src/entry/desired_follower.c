#define LOG_MODULE "entry"

#include "entry/desired_follower.h"

#include "base/clock.h"
#include "base/log.h"
#include "platform/documents.h"
#include "store/watcher.h"

#include <string.h>

struct desired_follower
{
  store_t *read_store;
  desired_changed_t changed;
  void *data;
  watcher_t *watcher;
  desired_state_t *state;  /* in force; NULL: none is known yet */
  GQueue previous;         /* versions that may still be referenced */
  gint64 confirmed_us;     /* when `state` was last known to be the newest; 0: never */
  gint64 reported_version; /* highest version that another VM has reported */
  bool is_reading;
};

enum
{
  WATCH_TIMEOUT_MS = 1000, /* longest wait of one watch */
  PREVIOUS_MAX = 2
};

const desired_state_t *
desired_follower_state (const desired_follower_t *follower)
{
  return follower->state;
}

gint64
desired_follower_version (const desired_follower_t *follower)
{
  return follower->state != NULL ? follower->state->version : 0;
}

static bool
is_behind (const desired_follower_t *follower)
{
  return follower->reported_version > desired_follower_version (follower);
}

gint64
desired_follower_age_us (const desired_follower_t *follower, gint64 now_us)
{
  if (follower->confirmed_us == 0 || is_behind (follower))
    return -1;
  return now_us - follower->confirmed_us;
}

gint64
desired_follower_unconfirmed_us (const desired_follower_t *follower, gint64 now_us)
{
  return follower->confirmed_us != 0 ? now_us - follower->confirmed_us : -1;
}

static void
apply (desired_follower_t *follower, desired_state_t *state, const char *source)
{
  LOG_INFO ("desired_state",
            "version=%" G_GINT64_FORMAT " before=%" G_GINT64_FORMAT
            " source=%s queues=%u services=%u workspaces=%u keys=%u",
            state->version, desired_follower_version (follower), source, state->queues->len,
            state->services->len, state->workspaces->len, g_hash_table_size (state->keys));
  for (guint i = 0; i < state->problems->len; i++)
    {
      const desired_problem_t *problem = g_ptr_array_index (state->problems, i);

      LOG_WARN ("desired_state_problem",
                "version=%" G_GINT64_FORMAT " workspace=\"%s\" reason=\"%s\" at=%s", state->version,
                problem->workspace, problem->reason, problem->pointer);
    }
  if (follower->state != NULL)
    g_queue_push_tail (&follower->previous, follower->state);
  follower->state = state;
  follower->changed (state, follower->data);
  while (g_queue_get_length (&follower->previous) > PREVIOUS_MAX)
    desired_state_free (g_queue_pop_head (&follower->previous));
}

/* Applies the document unless it is malformed or not newer than the state in force. */
static void
handle_document (desired_follower_t *follower, const store_item_t *item, const char *source)
{
  error_info_t error = { .kind = ERROR_NONE };
  desired_state_t *state
      = documents_parse_desired ((const char *) item->value, item->value_bytes, &error);

  if (state == NULL)
    {
      LOG_WARN ("desired_state_malformed", "revision=%" G_GINT64_FORMAT " reason=\"%s\"",
                item->revision, error.detail);
      return;
    }
  if (state->version > desired_follower_version (follower))
    apply (follower, state, source);
  else
    desired_state_free (state);
}

/* ---- The watch. */

static void
document_changed (const store_item_t *item, void *data)
{
  if (!item->deleted && strcmp (item->key, documents_desired_key) == 0)
    handle_document (data, item, "watch");
}

static void
watch_synced (void *data)
{
  desired_follower_t *follower = data;

  follower->confirmed_us = clock_now_us ();
}

static void
watch_lost (void *data)
{
  const desired_follower_t *follower = data;
  gint64 age_us = desired_follower_age_us (follower, clock_now_us ());

  LOG_WARN ("store_lost", "of=desired_state age_ms=%" G_GINT64_FORMAT,
            age_us >= 0 ? age_us / 1000 : -1);
}

static const watcher_events_t watcher_events = { document_changed, watch_synced, watch_lost };

/* ---- Reports of other VMs. */

static void
document_read (const store_reply_t *reply, void *data)
{
  desired_follower_t *follower = data;

  follower->is_reading = false;
  if (reply->status == STORE_DONE && reply->items->len > 0)
    {
      handle_document (follower, g_ptr_array_index (reply->items, 0), "read");
      /* The store knows better than a report. */
      follower->reported_version = desired_follower_version (follower);
    }
  else
    LOG_WARN ("desired_state_unread",
              "version=%" G_GINT64_FORMAT " reported=%" G_GINT64_FORMAT " status=%s",
              desired_follower_version (follower), follower->reported_version,
              store_status_name (reply->status));
}

/* A read that fails is repeated at the next report. */
static void
read_document (desired_follower_t *follower)
{
  if (follower->is_reading)
    return;
  LOG_INFO ("desired_state_behind", "version=%" G_GINT64_FORMAT " reported=%" G_GINT64_FORMAT,
            desired_follower_version (follower), follower->reported_version);
  follower->is_reading = true;
  follower->read_store->calls->get (follower->read_store, documents_desired_key, document_read,
                                    follower);
}

void
desired_follower_peer_reported (desired_follower_t *follower, gint64 version, gint64 confirmed_us)
{
  follower->reported_version = MAX (follower->reported_version, version);
  if (is_behind (follower))
    read_document (follower);
  else if (version == desired_follower_version (follower))
    follower->confirmed_us = MAX (follower->confirmed_us, confirmed_us);
}

/* ---- Construction. */

desired_follower_t *
desired_follower_new (store_t *store, store_t *read_store, desired_changed_t changed, void *data)
{
  desired_follower_t *follower = g_new0 (desired_follower_t, 1);

  follower->read_store = read_store;
  follower->changed = changed;
  follower->data = data;
  g_queue_init (&follower->previous);
  follower->watcher
      = watcher_new (store, documents_operator_prefix, WATCH_TIMEOUT_MS, &watcher_events, follower);
  return follower;
}

void
desired_follower_free (desired_follower_t *follower)
{
  if (follower == NULL)
    return;
  watcher_free (follower->watcher);
  desired_state_free (follower->state);
  g_queue_clear_full (&follower->previous, (GDestroyNotify) desired_state_free);
  g_free (follower);
}
