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
  gint64 mean_latency_us; /* moving mean of direct answers; 0: no answer yet */
} relay_store_t;

typedef enum
{
  PATH_UNUSED,
  PATH_PENDING,
  PATH_DONE
} path_state_t;

/* One call, sent on up to two paths: directly and through the leader. */
typedef struct
{
  relay_store_t *relay;
  char *get_key;   /* NULL: a transaction */
  GPtrArray *keys; /* of conditions and writes, owned */
  GArray *expect;
  GArray *writes;
  path_state_t direct;
  path_state_t via_leader;
  guint hedge_timer;
  gint64 sent_us;
  bool may_be_applied; /* sent on a path that gave no answer */
  bool is_answered;
  store_done_t done;
  void *data;
} call_t;

enum
{
  LEADER_TIMEOUT_MS = 700
};

static const store_calls_t calls;

static void
call_free (call_t *call)
{
  if (call->hedge_timer != 0)
    g_source_remove (call->hedge_timer);
  for (guint i = 0; call->writes != NULL && i < call->writes->len; i++)
    g_free ((void *) g_array_index (call->writes, store_write_t, i).value);
  g_clear_pointer (&call->expect, g_array_unref);
  g_clear_pointer (&call->writes, g_array_unref);
  g_ptr_array_unref (call->keys);
  g_free (call->get_key);
  g_free (call);
}

static bool
has_outcome (store_status_t status)
{
  return status != STORE_LOST && status != STORE_UNAVAILABLE;
}

static void send_via_leader (call_t *call);

static void
path_done (call_t *call, const store_reply_t *reply)
{
  if (!call->is_answered && has_outcome (reply->status))
    {
      call->is_answered = true;
      call->done (reply, call->data);
    }
  call->may_be_applied |= reply->status == STORE_LOST;
  if (!call->is_answered && call->via_leader == PATH_UNUSED)
    send_via_leader (call);
  if (call->direct == PATH_PENDING || call->via_leader == PATH_PENDING)
    return;
  if (!call->is_answered)
    {
      store_reply_t unanswered = *reply;

      unanswered.status = call->may_be_applied ? STORE_LOST : STORE_UNAVAILABLE;
      call->done (&unanswered, call->data);
    }
  call_free (call);
}

static void
leader_answered (const store_reply_t *reply, void *data)
{
  call_t *call = data;

  call->via_leader = PATH_DONE;
  path_done (call, reply);
}

static void
direct_answered (const store_reply_t *reply, void *data)
{
  call_t *call = data;
  relay_store_t *relay = call->relay;

  if (has_outcome (reply->status))
    relay->mean_latency_us
        = admission_mean_latency_us (relay->mean_latency_us, clock_now_us () - call->sent_us);
  call->direct = PATH_DONE;
  path_done (call, reply);
}

static void
send_via_leader (call_t *call)
{
  call->via_leader = PATH_PENDING;
  uplink_relay (
      call->relay->uplink, call->get_key,
      call->expect != NULL ? (const store_condition_t *) (void *) call->expect->data : NULL,
      call->expect != NULL ? call->expect->len : 0,
      call->writes != NULL ? (const store_write_t *) (void *) call->writes->data : NULL,
      call->writes != NULL ? call->writes->len : 0, LEADER_TIMEOUT_MS, leader_answered, call);
}

static gboolean
send_hedge (gpointer data)
{
  call_t *call = data;

  call->hedge_timer = 0;
  if (!call->is_answered && call->via_leader == PATH_UNUSED
      && uplink_can_relay (call->relay->uplink))
    send_via_leader (call);
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
  call->direct = PATH_PENDING;
  call->sent_us = clock_now_us ();
  if (store_is_healthy (call->relay->direct, clock_now_us ()))
    call->hedge_timer = g_timeout_add (
        (guint) (admission_hedge_delay_us (call->relay->mean_latency_us) / 1000), send_hedge, call);
  else
    call->hedge_timer = g_timeout_add (0, send_hedge, call);
  return call;
}

static const char *
copy_key (call_t *call, const char *key)
{
  char *copy = g_strdup (key);

  g_ptr_array_add (call->keys, copy);
  return copy;
}

static void
relay_get (store_t *store, const char *key, store_done_t done, void *data)
{
  call_t *call = call_new (store, done, data);

  call->get_key = g_strdup (key);
  call->relay->direct->calls->get (call->relay->direct, key, direct_answered, call);
}

static void
relay_txn (store_t *store,
           const store_condition_t *expect,
           gsize expect_count,
           const store_write_t *writes,
           gsize write_count,
           store_done_t done,
           void *data)
{
  call_t *call = call_new (store, done, data);

  call->expect = g_array_new (FALSE, FALSE, sizeof (store_condition_t));
  call->writes = g_array_new (FALSE, FALSE, sizeof (store_write_t));
  for (gsize i = 0; i < expect_count; i++)
    {
      store_condition_t copy = { copy_key (call, expect[i].key), expect[i].revision };

      g_array_append_val (call->expect, copy);
    }
  for (gsize i = 0; i < write_count; i++)
    {
      store_write_t copy = writes[i];

      copy.key = copy_key (call, writes[i].key);
      copy.value = g_memdup2 (writes[i].value, writes[i].value_bytes);
      g_array_append_val (call->writes, copy);
    }
  call->relay->direct->calls->txn (call->relay->direct, expect, expect_count, writes, write_count,
                                   direct_answered, call);
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
  admission_paths_t paths = {
    .is_direct_usable = store_is_healthy (relay->direct, clock_now_us ()),
    .is_relay_usable = uplink_can_relay (relay->uplink),
  };

  return admission_has_path (&paths);
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
