/* HTTP client for the workers: starts, stops and acknowledges tasks, and renews their leases. */
#pragma once

#include <json-glib/json-glib.h>

typedef struct worker_client workers_t;

typedef enum
{
  WORKER_DONE,    /* carried out; `answer` is its JSON object */
  WORKER_REFUSED, /* the worker reports that it did not carry out the call */
  WORKER_UNSENT,  /* no connection: not a byte was sent */
  WORKER_LOST     /* the call may have been carried out */
} worker_result_t;

/* `answer` is borrowed, and NULL when no JSON object arrived. */
typedef void (*worker_done_t) (worker_result_t result, JsonObject *answer, void *data);

workers_t *workers_new (void);
void workers_free (workers_t *client);

/* POSTs `body`, a complete JSON object, to `path` of the worker at `address`.  Takes ownership of
 * `body`. */
void workers_call (workers_t *client,
                   const char *address,
                   const char *path,
                   JsonBuilder *body,
                   worker_done_t done,
                   void *data);

/* Removes a worker that left the VM list; its connections are closed once they are idle. */
void workers_forget (workers_t *client, const char *address);

/* Returns the number of calls made. */
guint64 workers_calls (const workers_t *client);
