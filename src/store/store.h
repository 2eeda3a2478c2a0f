/* Interface to the platform's key-value service.
 *
 * Offers conditional transactions, leases and watches.  The interface is a table of functions so
 * that tests can replace the network client by a fake.  Every call is asynchronous and calls `done`
 * exactly once, also when the service is down.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

typedef enum
{
  STORE_DONE,
  STORE_REFUSED,     /* a condition failed; nothing was written */
  STORE_MISSING,     /* no such key or lease, or the history to watch from is gone; nothing was
                      * written */
  STORE_UNAVAILABLE, /* certainly not executed, now or later */
  STORE_LOST         /* outcome unknown: no answer; may have been executed, or may be later */
} store_status_t;

typedef struct
{
  char *key;
  guint8 *value;
  gsize value_bytes;
  gint64 revision; /* of the last change */
  gint64 created;  /* revision at which the key was created */
  gint64 lease;    /* 0: none */
  bool deleted;    /* set in events only */
} store_item_t;

typedef struct
{
  store_status_t status;
  gint64 revision;   /* of the store, or of the transaction */
  gint64 lease;      /* set by `lease` */
  gint64 ttl_ms;     /* set by `lease` and `keep` */
  GPtrArray *items;  /* store_item_t; never NULL */
  bool has_more;     /* the range continues after the last item */
  bool is_too_large; /* STORE_LOST, as the answer was over its bound */
} store_reply_t;

/* `reply` is valid during the call only. */
typedef void (*store_done_t) (const store_reply_t *reply, void *data);

/* Condition of a transaction: the key has this revision or, with 0, does not exist. */
typedef struct
{
  const char *key;
  gint64 revision;
} store_condition_t;

typedef struct
{
  const char *key;
  const guint8 *value; /* NULL: delete */
  gsize value_bytes;
  gint64 lease; /* 0: none */
} store_write_t;

enum
{
  STORE_TXN_ROWS_MAX = 32 /* maximum of conditions, and of writes, in one transaction */
};

typedef struct store store_t;

typedef struct
{
  /* Reads one key. */
  void (*get) (store_t *store, const char *key, store_done_t done, void *data);
  /* Reads a page of the keys with `prefix`, from the first key after `after` (NULL: from the
   * start). */
  void (*range) (
      store_t *store, const char *prefix, const char *after, store_done_t done, void *data);
  /* Waits up to `wait_ms` for changes after revision `after` to keys with `prefix`. */
  void (*watch) (store_t *store,
                 const char *prefix,
                 gint64 after,
                 guint wait_ms,
                 store_done_t done,
                 void *data);
  /* Applies all writes if every condition holds, or none.  When one fails, `items` holds
   * those keys of the conditions that exist. */
  void (*txn) (store_t *store,
               const store_condition_t *expect,
               gsize expect_count,
               const store_write_t *writes,
               gsize write_count,
               store_done_t done,
               void *data);
  /* Grants a lease. */
  void (*lease) (store_t *store, gint64 ttl_ms, store_done_t done, void *data);
  /* Renews a lease (keep-alive). */
  void (*keep) (store_t *store, gint64 lease, store_done_t done, void *data);
  /* Revokes a lease and deletes its keys. */
  void (*lease_end) (store_t *store, gint64 lease, store_done_t done, void *data);
  void (*free) (store_t *store);
} store_calls_t;

/* Tracks whether the service answers this VM. */
typedef struct
{
  gint64 unanswered_since_us; /* when the first call since the last answer was sent or, if none
                               * was, a watch failed; 0: neither */
  guint unanswered_calls;     /* sent since the last answer */
  guint failures;             /* calls that failed since the last answer */
  gint64 answered_us;         /* time of the last answer; 0: none yet */
  gint64 mean_response_us;    /* moving mean of the time to an answer; 0: none yet */
  gint64 peak_us;             /* longest time to an answer in the present period */
  gint64 former_peak_us;      /* and in the one before it */
  gint64 period_began_us;
} store_health_t;

struct store
{
  const store_calls_t *calls;
  store_health_t health;
};

/* Called by an implementation for every call that it sends and every result.  Sent watches are not
 * recorded, because they wait long by design; their results are, with a `sent_us` of 0. */
void store_record_request (store_t *store, gint64 now_us);
void store_record_result (store_t *store, store_status_t status, gint64 sent_us, gint64 now_us);

/* Returns false when a call has failed since the last answer, or has waited too long for one. */
bool store_is_healthy (const store_t *store, gint64 now_us);

/* Returns the time since the service stopped answering; 0 while it answers. */
gint64 store_outage_us (const store_t *store, gint64 now_us);

/* Returns the time since the last answer, at least 1; 0 before the first one. */
guint64 store_answered_age_us (const store_t *store, gint64 now_us);

/* Returns the recent response time: the mean, or half of the longest time to an answer in the last
 * 5 to 10 s if that is more, which covers bursts on a slow link. */
gint64 store_response_us (const store_t *store);

/* Returns the name used in logs and metrics, such as "done". */
const char *store_status_name (store_status_t status);

/* Frees the item; NULL is allowed. */
void store_item_free (store_item_t *item);
