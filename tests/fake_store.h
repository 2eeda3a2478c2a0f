/* A fake key-value service in the process of the test, for tests of the users of store/store.h.
 *
 * Implements keys, leases and watches, and answers from the main loop.  It can be taken down: calls
 * then get no answer, and leases that were valid when it went down start their full TTL anew when
 * it is back.
 */
#pragma once

#include "store/store.h"

typedef struct fake_service fake_service_t;

fake_service_t *fake_service_new (void);
void fake_service_free (fake_service_t *service);

/* While the service is down, no call is executed; each ends with STORE_LOST after a timeout. */
void fake_service_set_down (fake_service_t *service, bool is_down);

/* Whether watches that wait when the service goes down wait on, as with one that is silent. */
void fake_service_keep_watches (fake_service_t *service, bool keeps_watches);

/* Delays every answer by this time. */
void fake_service_set_delay (fake_service_t *service, guint delay_ms);

/* Loses the answer of every `every`-th transaction, although the transaction is executed.  Refused
 * transactions are counted, but their answers are not lost.  0: loses none. */
void fake_service_lose_answers (fake_service_t *service, guint every);

/* Deletes a key; its lease remains and can still be renewed. */
void fake_service_delete_key (fake_service_t *service, const char *key);

/* Ends all leases. */
void fake_service_expire_leases (fake_service_t *service);

/* Returns the maximum number of transactions that were in flight at the same time. */
guint fake_service_max_open_transactions (const fake_service_t *service);

/* Returns the number of transactions that were executed or refused. */
guint fake_service_transaction_count (const fake_service_t *service);

/* Returns the revision of a key; 0 if the key does not exist. */
gint64 fake_service_revision (const fake_service_t *service, const char *key);

/* Returns a client of the service, which is borrowed; free with store->calls->free(). */
store_t *fake_store_new (fake_service_t *service);

/* While the client is cut off, each of its new calls ends with STORE_LOST at once. */
void fake_store_cut_off (store_t *store, bool is_cut_off);
