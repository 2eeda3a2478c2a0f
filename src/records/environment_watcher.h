/* Watches the documents of the environments in the key-value service.
 *
 * Reads the range of documents once, then watches it.  When the watch breaks, reads the range again
 * after a delay with exponential backoff and jitter.  A document may be reported more than once:
 * the consumer must ignore versions that are older than its own.  Deletions are not reported.
 */
#pragma once

#include "records/kv.h"

#define CONFIG_PREFIX "/mimosastair/environments/"

typedef struct environment_watcher environment_watcher_t;

/* Called for each document that is read or has changed: `name` is that of the environment, `text`
 * the stored JSON and `mod_revision` its revision. */
typedef void (*environment_received_t) (const char *name,
                                        const char *text,
                                        gint64 mod_revision,
                                        void *data);

/* `kv` is borrowed. */
environment_watcher_t *
environment_watcher_new (kv_t *kv, environment_received_t received, void *data);
void environment_watcher_free (environment_watcher_t *watcher);

/* Returns true after the first complete read. */
bool environment_watcher_is_loaded (const environment_watcher_t *watcher);
