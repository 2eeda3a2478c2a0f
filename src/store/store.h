/* The platform's key-value service, as the rest of the daemon sees it.
 *
 * Transactions under conditions, leases and watches.  The interface is a table of
 * functions so that tests put a fake in the place of the network.  Every call is
 * asynchronous and calls `done` exactly once, also when the service is down.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

typedef enum
{
  STORE_DONE,        /* carried out */
  STORE_REFUSED,     /* a condition did not hold, or the lease is unknown; nothing written */
  STORE_MISSING,     /* no such key or lease, or the history is gone */
  STORE_UNAVAILABLE, /* certainly not carried out, now or later */
  STORE_LOST         /* no answer: may have been carried out, or may be later */
} store_status_t;

typedef struct
{
  char *key;
  guint8 *value;
  gsize value_bytes;
  gint64 revision; /* of the last change */
  gint64 created;  /* revision of the creation */
  gint64 lease;    /* 0: none */
  bool deleted;    /* an event only */
} store_item_t;

typedef struct
{
  store_status_t status;
  gint64 revision;  /* of the store, or of the transaction */
  gint64 lease;     /* store_lease() */
  gint64 ttl_ms;    /* store_lease(), store_keep() */
  GPtrArray *items; /* store_item_t; never NULL */
  bool has_more;    /* a range goes on after the last item */
} store_reply_t;

typedef void (*store_done_t) (const store_reply_t *reply, void *data);

/* Condition: the key's revision; 0: the key does not exist. */
typedef struct
{
  const char *key;
  gint64 revision;
} store_expect_t;

typedef struct
{
  const char *key;
  const guint8 *value; /* NULL: delete */
  gsize value_bytes;
  gint64 lease; /* 0: none */
} store_write_t;

enum
{
  STORE_TXN_ROWS = 32, /* conditions and writes of one transaction */
  STORE_RANGE_ITEMS = 500
};

typedef struct store store_t;

typedef struct
{
  void (*get) (store_t *store, const char *key, store_done_t done, void *data);
  void (*range) (
      store_t *store, const char *prefix, const char *after, store_done_t done, void *data);
  void (*watch) (store_t *store,
                 const char *prefix,
                 gint64 after,
                 guint wait_ms,
                 store_done_t done,
                 void *data);
  void (*txn) (store_t *store,
               const store_expect_t *expect,
               gsize expect_count,
               const store_write_t *writes,
               gsize write_count,
               store_done_t done,
               void *data);
  void (*lease) (store_t *store, gint64 ttl_ms, store_done_t done, void *data);
  void (*keep) (store_t *store, gint64 lease, store_done_t done, void *data);
  void (*lease_end) (store_t *store, gint64 lease, store_done_t done, void *data);
  void (*free) (store_t *store);
} store_calls_t;

/* Whether the service answers this VM. */
typedef struct
{
  gint64 asked_us; /* the first call sent since the last answer; 0: none */
  guint failures;  /* calls that failed since the last answer */
} store_health_t;

struct store
{
  const store_calls_t *calls;
  store_health_t health;
};

/* An implementation reports each call that it sends, and each result.  Watches wait
 * long; of these only results are reported. */
void store_note_sent (store_t *store, gint64 now_us);
void store_note_result (store_t *store, store_status_t status);

/* False when calls have failed since the last answer, or wait too long for one. */
bool store_is_healthy (const store_t *store, gint64 now_us);

/* Time since the service stopped answering; 0 when it answers. */
gint64 store_outage_us (const store_t *store, gint64 now_us);

const char *store_status_name (store_status_t status);

void store_item_free (store_item_t *item);
