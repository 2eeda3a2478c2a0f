/* A key-value service within the test's process, for tests of what rests on the store.
 *
 * Holds keys, leases and watches; answers on the main loop.  It can be taken down: calls
 * are then unanswered, and leases that were running start anew when it is back.
 */
#pragma once

#include "store/store.h"

typedef struct fake_service fake_service_t;

fake_service_t *fake_service_new (void);
void fake_service_free (fake_service_t *service);

/* While it is down no call is carried out; each is told as lost after a while. */
void fake_service_set_down (fake_service_t *service, bool is_down);

/* Every answer takes this long. */
void fake_service_set_delay (fake_service_t *service, guint delay_ms);

/* The answer to each so many-th transaction is lost after it was carried out; 0: none. */
void fake_service_lose_answers (fake_service_t *service, guint every);

/* Takes a key away; its lease is renewed as before. */
void fake_service_revoke (fake_service_t *service, const char *key);

/* The most transactions that were on their way at one time. */
guint fake_service_most_open (const fake_service_t *service);

/* Transactions that were carried out or refused. */
guint fake_service_transactions (const fake_service_t *service);

/* Revision of a key; 0: there is none. */
gint64 fake_service_revision (const fake_service_t *service, const char *key);

/* A client of the service. */
store_t *fake_store_new (fake_service_t *service);
