/* Watches the environments' documents in the key-value service.
 *
 * One range at the start and one watch after it; when the watch breaks, a range
 * again, with back-off and jitter.  The consumer ignores versions older than the
 * one it has.
 */
#pragma once

#include "records/kv.h"

#define CONFIG_PREFIX "/mimosastair/environments/"

typedef struct config config_t;

/* A record was read: `text` is the stored JSON, `mod_revision` its revision. */
typedef void (*config_seen_t) (const char *name, const char *text, gint64 mod_revision, void *data);

config_t *config_new (kv_t *kv, config_seen_t received, void *data);
void config_free (config_t *config);

/* True after the first complete read. */
bool config_is_loaded (const config_t *config);
