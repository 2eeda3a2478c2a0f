/* HTTP client of the workers: start, lease, stop and acknowledge tasks. */
#pragma once

#include <json-glib/json-glib.h>

typedef struct workers workers_t;

typedef enum
{
  WORKER_DONE,    /* carried out; `answer` is its JSON object */
  WORKER_REFUSED, /* the worker says that it did not carry it out */
  WORKER_UNSENT,  /* no connection: no byte was sent */
  WORKER_LOST     /* it may have been carried out */
} worker_result_t;

typedef void (*worker_done_t) (worker_result_t result, JsonObject *answer, void *data);

workers_t *workers_new (void);
void workers_free (workers_t *workers);

/* POST to `path` of the worker at `address`; `body` is an object and is taken. */
void workers_call (workers_t *workers,
                   const char *address,
                   const char *path,
                   JsonBuilder *body,
                   worker_done_t done,
                   void *data);

/* Forgets a worker that left the list: its connections close once they are idle. */
void workers_forget (workers_t *workers, const char *address);

/* Calls made. */
guint64 workers_calls (const workers_t *workers);
