/* One HTTP call with a time limit, answered by a callback.
 *
 * Says what is known about a call that got no answer: whether it may have been carried
 * out.  A call is never repeated here.
 */
#pragma once

#include "base/http_client.h"

#include <stdbool.h>

typedef struct
{
  guint status;     /* HTTP status; 0: no whole answer came */
  bool sent;        /* a byte of the request may have left this VM */
  const char *body; /* NUL-terminated; "" when there is none; borrowed */
  gsize body_bytes;
  gint64 elapsed_us; /* since http_call() */
} http_result_t;

typedef void (*http_called_t) (const http_result_t *result, void *data);

typedef struct
{
  const char *method;
  const char *address; /* "IP:PORT" */
  const char *path;    /* with the query */
  char *body;          /* JSON text, taken; NULL: none */
  const char *header;  /* one more header, or NULL */
  const char *header_value;
  guint timeout_ms;
} http_call_t;

/* `done` is called exactly once and not before this returns; with a closed session
 * too. */
void http_call (SoupSession *session, const http_call_t *call, http_called_t done, void *data);
