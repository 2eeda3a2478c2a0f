#define LOG_MODULE "relay"

#include "entry/relay.h"

#include "base/clock.h"
#include "base/log.h"
#include "decide/admission.h"

#include <string.h>

typedef struct
{
  store_t store;
  store_t *direct;
  uplink_t *uplink;
  gint64 answer_us; /* mean of direct answers of late; 0: there was none */
} relay_store_t;

typedef enum
{
  WAY_UNUSED,
  WAY_OPEN,
  WAY_ENDED
} way_state_t;

/* One call, on up to two ways. */
typedef struct
{
  relay_store_t *relay;
  char *get;
  GPtrArray *keys; /* of conditions and writes, owned */
  GArray *expect;
  GArray *writes;
  way_state_t direct;
  way_state_t through;
  guint hedge;
  gint64 sent_us;
  bool may_be_done; /* a way ended without an answer */
  bool is_answered;
  store_done_t done;
  void *data;
} call_t;

enum
{
  THROUGH_TIMEOUT_MS = 700
};

static const store_calls_t calls;

static void
call_free (call_t *call)
{
  if (call->hedge != 0)
    g_source_remove (call->hedge);
  for (guint i = 0; call->writes != NULL && i < call->writes->len; i++)
    g_free ((void *) g_array_index (call->writes, store_write_t, i).value);
  g_clear_pointer (&call->expect, g_array_unref);
  g_clear_pointer (&call->writes, g_array_unref);
  g_ptr_array_unref (call->keys);
  g_free (call->get);
  g_free (call);
}

static bool
is_decisive (store_status_t status)
{
  return status != STORE_LOST && status != STORE_UNAVAILABLE;
}

static void go_through (call_t *call);

static void
way_ended (call_t *call, const store_reply_t *reply)
{
  if (!call->is_answered && is_decisive (reply->status))
    {
      call->is_answered = true;
      call->done (reply, call->data);
    }
  call->may_be_done |= reply->status == STORE_LOST;
  if (!call->is_answered && call->through == WAY_UNUSED)
    go_through (call);
  if (call->direct == WAY_OPEN || call->through == WAY_OPEN)
    return;
  if (!call->is_answered)
    {
      store_reply_t unanswered = *reply;

      unanswered.status = call->may_be_done ? STORE_LOST : STORE_UNAVAILABLE;
      call->done (&unanswered, call->data);
    }
  call_free (call);
}

static void
through_ended (const store_reply_t *reply, void *data)
{
  call_t *call = data;

  call->through = WAY_ENDED;
  way_ended (call, reply);
}

static void
direct_ended (const store_reply_t *reply, void *data)
{
  call_t *call = data;
  relay_store_t *relay = call->relay;

  if (is_decisive (reply->status))
    relay->answer_us = admission_answer_mean_us (relay->answer_us, clock_now_us () - call->sent_us);
  call->direct = WAY_ENDED;
  way_ended (call, reply);
}

static void
go_through (call_t *call)
{
  call->through = WAY_OPEN;
  uplink_relay (call->relay->uplink, call->get,
                call->expect != NULL ? (const store_expect_t *) (void *) call->expect->data : NULL,
                call->expect != NULL ? call->expect->len : 0,
                call->writes != NULL ? (const store_write_t *) (void *) call->writes->data : NULL,
                call->writes != NULL ? call->writes->len : 0, THROUGH_TIMEOUT_MS, through_ended,
                call);
}

static gboolean
hedge (gpointer data)
{
  call_t *call = data;

  call->hedge = 0;
  if (!call->is_answered && call->through == WAY_UNUSED && uplink_can_relay (call->relay->uplink))
    go_through (call);
  return G_SOURCE_REMOVE;
}

static call_t *
call_new (store_t *store, store_done_t done, void *data)
{
  call_t *call = g_new0 (call_t, 1);

  call->relay = (relay_store_t *) store;
  call->keys = g_ptr_array_new_with_free_func (g_free);
  call->done = done;
  call->data = data;
  call->direct = WAY_OPEN;
  call->sent_us = clock_now_us ();
  if (store_is_healthy (call->relay->direct, clock_now_us ()))
    call->hedge
        = g_timeout_add ((guint) (admission_hedge_us (call->relay->answer_us) / 1000), hedge, call);
  else
    call->hedge = g_timeout_add (0, hedge, call);
  return call;
}

static const char *
keep_key (call_t *call, const char *key)
{
  char *copy = g_strdup (key);

  g_ptr_array_add (call->keys, copy);
  return copy;
}

static void
relay_get (store_t *store, const char *key, store_done_t done, void *data)
{
  call_t *call = call_new (store, done, data);

  call->get = g_strdup (key);
  call->relay->direct->calls->get (call->relay->direct, key, direct_ended, call);
}

static void
relay_txn (store_t *store,
           const store_expect_t *expect,
           gsize expect_count,
           const store_write_t *writes,
           gsize write_count,
           store_done_t done,
           void *data)
{
  call_t *call = call_new (store, done, data);

  call->expect = g_array_new (FALSE, FALSE, sizeof (store_expect_t));
  call->writes = g_array_new (FALSE, FALSE, sizeof (store_write_t));
  for (gsize i = 0; i < expect_count; i++)
    {
      store_expect_t copy = { keep_key (call, expect[i].key), expect[i].revision };

      g_array_append_val (call->expect, copy);
    }
  for (gsize i = 0; i < write_count; i++)
    {
      store_write_t copy = writes[i];

      copy.key = keep_key (call, writes[i].key);
      copy.value = g_memdup2 (writes[i].value, writes[i].value_bytes);
      g_array_append_val (call->writes, copy);
    }
  call->relay->direct->calls->txn (call->relay->direct, expect, expect_count, writes, write_count,
                                   direct_ended, call);
}

static void
relay_free (store_t *store)
{
  g_free (store);
}

bool
relay_has_path (const store_t *store)
{
  const relay_store_t *relay = (const relay_store_t *) store;
  admission_ways_t ways = {
    .direct_ok = store_is_healthy (relay->direct, clock_now_us ()),
    .through_ok = uplink_can_relay (relay->uplink),
  };

  return admission_has_way (&ways);
}

gint64
relay_outage_us (const store_t *store)
{
  const relay_store_t *relay = (const relay_store_t *) store;

  return store_outage_us (relay->direct, clock_now_us ());
}

static const store_calls_t calls = { .get = relay_get, .txn = relay_txn, .free = relay_free };

store_t *
relay_new (store_t *direct, uplink_t *uplink)
{
  relay_store_t *relay = g_new0 (relay_store_t, 1);

  relay->store.calls = &calls;
  relay->direct = direct;
  relay->uplink = uplink;
  return &relay->store;
}
