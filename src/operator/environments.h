/* Environment documents: the versions in force on this VM, and edits to them.
 *
 * An edit is a compare-and-swap on the version that its writer saw.  The loser of a
 * race gets a conflict error that names the other version and its writer.  When the
 * reply to a write is lost, the record is read again to see whether it was written.
 */
#pragma once

#include "base/error.h"
#include "decide/environment.h"
#include "records/environment_watcher.h"
#include "records/kv.h"

#include <json-glib/json-glib.h>

typedef struct environments environments_t;

/* Called when a newer version has come into force.  The callee takes its own reference. */
typedef void (*environments_changed_t) (environment_t *environment, void *data);

/* `kv` is borrowed.  `vm` is stored in each record written here, as the VM that wrote it. */
environments_t *
environments_new (kv_t *kv, const char *vm, environments_changed_t changed, void *data);
void environments_free (environments_t *environments);

/* Returns the record in force as JSON with "version", "writer", "time_ms" and "document", or NULL.
 * Borrowed; valid until a newer version comes into force. */
const char *environments_get_record (const environments_t *environments, const char *name);

typedef void (*environments_done_t) (const error_info_t *error, gint64 version, void *data);

/* Writes a copy of `document` as version `expected` + 1 if the stored version is `expected` (0: no
 * record exists).  With `expected` -1 it replaces whatever version is stored.  `done` is called
 * once, after this function has returned: with ERROR_CONFLICT if the stored version is another, or
 * with ERROR_UNREACHABLE if no attempt succeeded, in which case `document` may have been written
 * nevertheless. */
void environments_apply (environments_t *environments,
                         const char *name,
                         JsonNode *document,
                         gint64 expected,
                         const char *writer,
                         environments_done_t done,
                         void *data);

/* Appends an array of objects with "name", "version" and "in_force_since_ms" (Unix time). */
void environments_describe (const environments_t *environments, JsonBuilder *builder);
