/* Client of the platform's key-value service.
 *
 * This header hides the protocol of the service; kv.c implements it, the JSON form of etcd v3 over
 * HTTP.  Every call is asynchronous and calls `done` exactly once on the main context, also when
 * the service is down.
 */
#pragma once

#include "base/error.h"

#include <glib.h>

typedef struct kv kv_t;
typedef struct kv_watch kv_watch_t;

enum
{
  KV_VALUE_MAX_BYTES = 1024 * 1024
};

typedef struct
{
  char *key;
  char *value;         /* text, NUL-terminated */
  gsize length;        /* of the value, in bytes */
  gint64 mod_revision; /* 0: the key does not exist; `key` and `value` are then NULL */
} kv_entry_t;

typedef enum
{
  KV_APPLIED,     /* the call was executed */
  KV_REJECTED,    /* a compare failed; nothing was written */
  KV_UNAVAILABLE, /* certainly not written: never sent, or refused with HTTP status 429 */
  KV_LOST         /* outcome unknown: no valid reply; may have been written */
} kv_status_t;

typedef struct
{
  kv_status_t status;
  gint64 revision;    /* of the store, after the call */
  gint64 lease;       /* set by kv_lease_grant() */
  GPtrArray *entries; /* of kv_entry_t: the range that was read or, with KV_REJECTED, the current
                         entry of each op's key, in the order of the ops */
} kv_reply_t;

/* `reply` is valid during the call only. */
typedef void (*kv_done_t) (const kv_reply_t *reply, void *data);

typedef enum
{
  KV_EXPECT_ANY,
  KV_EXPECT_REVISION, /* mod_revision equals `revision`; 0: the key is absent */
  KV_EXPECT_VALUE     /* the value equals `expected` */
} kv_expect_t;

/* A write and the compare that it depends on. */
typedef struct
{
  const char *key;
  kv_expect_t expect;
  gint64 revision;
  const char *expected;
  const char *value; /* NULL: delete */
  gint64 lease;      /* 0: none */
} kv_op_t;

/* `address` is "IP:PORT"; `timeout_s` limits each call except a watch. */
kv_t *kv_new (const char *address, guint timeout_s);

/* Aborts the calls in flight, and runs the main context until each of them has called `done`. */
void kv_free (kv_t *kv);

G_DEFINE_AUTOPTR_CLEANUP_FUNC (kv_t, kv_free)

/* Reads one key or, if `is_prefix` is true, all keys with the prefix `key`. */
void kv_range (kv_t *kv, const char *key, bool is_prefix, kv_done_t done, void *data);

/* Applies all ops if every compare holds, or none. */
void kv_txn (kv_t *kv, const kv_op_t *ops, gsize count, kv_done_t done, void *data);

/* Grants a lease, whose id `reply->lease` holds. */
void kv_lease_grant (kv_t *kv, gint64 ttl_s, kv_done_t done, void *data);

/* Called for each change; the value is NULL if the key was deleted.  `entry` is borrowed. */
typedef void (*kv_event_t) (const kv_entry_t *entry, void *data);
typedef void (*kv_closed_t) (void *data);

/* Watches the keys with `prefix` for changes from `revision` on.  `closed` is called once when the
 * watch breaks: it reports no more changes then, and must still be freed. */
kv_watch_t *kv_watch (kv_t *kv,
                      const char *prefix,
                      gint64 revision,
                      kv_event_t event,
                      kv_closed_t closed,
                      void *data);
void kv_watch_free (kv_watch_t *watch);

/* Return the number of calls and watches started since kv_new(), and the number of calls that ended
 * with KV_UNAVAILABLE or KV_LOST. */
guint64 kv_call_count (const kv_t *kv);
guint64 kv_failure_count (const kv_t *kv);
