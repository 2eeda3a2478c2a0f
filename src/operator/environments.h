/* The environments' documents: what is in force here, and edits to them.
 *
 * An edit is a compare-and-swap on the version that its writer saw.  The loser of a
 * race gets a conflict that names the other version and its writer.  A reply lost
 * after the write is recognised by reading the record again.
 */
#pragma once

#include "base/error.h"
#include "decide/environment.h"
#include "records/environment_watcher.h"
#include "records/kv.h"

#include <json-glib/json-glib.h>

typedef struct environments environments_t;

/* A newer version is in force from now on; referenced by the callee. */
typedef void (*environments_changed_t) (environment_t *environment, void *data);

/* `kv` is borrowed; `vm` names this VM as a writer. */
environments_t *
environments_new (kv_t *kv, const char *vm, environments_changed_t changed, void *data);
void environments_free (environments_t *environments);

/* Returns {"version","writer","time_ms","document"} of the version in force, or NULL. */
const char *environments_record (const environments_t *environments, const char *name);

typedef void (*environments_done_t) (const error_info_t *error, gint64 version, void *data);

/* Puts `document` in force as `expected` + 1 when `expected` is the version in the
 * store (0: none); `expected` -1 takes whatever it is.  `done` is called once. */
void environments_apply (environments_t *environments,
                         const char *name,
                         JsonNode *document,
                         gint64 expected,
                         const char *writer,
                         environments_done_t done,
                         void *data);

/* Appends {"name","version","in_force_since_ms"} objects. */
void environments_describe (const environments_t *environments, JsonBuilder *builder);
