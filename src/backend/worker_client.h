/* HTTP client for the workers: starts, stops and acknowledges tasks, and renews their leases. */
#pragma once

#include <json-glib/json-glib.h>

typedef struct worker_client worker_client_t;

typedef enum
{
  WORKER_DONE,     /* carried out; `answer` is its JSON object */
  WORKER_REFUSED,  /* the worker reports that it did not carry out the call */
  WORKER_NOT_SENT, /* no connection, so nothing was sent */
  WORKER_NO_ANSWER /* the call may have been carried out */
} worker_result_t;

/* `answer` is borrowed, and NULL when no JSON object arrived. */
typedef void (*worker_done_t) (worker_result_t result, JsonObject *answer, void *data);

worker_client_t *worker_client_new (void);

/* Runs the default main context until every call has ended and `done` has been called.  They are
 * aborted, except those to a worker that was removed. */
void worker_client_free (worker_client_t *client);

/* POSTs `body`, a complete JSON object, to `path` of the worker at `address` ("IP:PORT").  Takes
 * ownership of `body`.  `done` is called once, after this function has returned. */
void worker_client_call (worker_client_t *client,
                         const char *address,
                         const char *path,
                         JsonBuilder *body,
                         worker_done_t done,
                         void *data);

/* Removes a worker that left the VM list; its connections are closed once they are idle. */
void worker_client_remove (worker_client_t *client, const char *address);

/* Returns the number of calls made. */
guint64 worker_client_call_count (const worker_client_t *client);
