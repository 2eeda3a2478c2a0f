/* Asynchronous HTTP calls with a timeout.
 *
 * The result of a call that got no response says whether the server may have executed it.
 * Calls are never retried at this layer.
 */
#pragma once

#include "base/http_client.h"

#include <stdbool.h>

typedef struct
{
  guint status;     /* HTTP status; 0: no complete response was received */
  bool sent;        /* part of the request may have left this VM */
  const char *body; /* NUL-terminated, borrowed; "" if there is none */
  gsize body_bytes;
  gint64 elapsed_us;  /* since http_call() */
  bool is_too_large;  /* no response, as it was over its bound */
  guint64 connection; /* identifies it in its session; 0: none was used */
} http_result_t;

typedef void (*http_call_done_t) (const http_result_t *result, void *data);

/* Returns whether the call may be sent on this connection, which may be a new one. */
typedef bool (*http_call_may_send_t) (guint64 connection, void *data);

/* The call has opened the connection, which it uses next.  `stream` is borrowed, and finalized once
 * the connection is closed. */
typedef void (*http_call_opened_t) (guint64 connection, GIOStream *stream, void *data);

typedef struct
{
  const char *method;
  const char *address; /* "IP:PORT"; a call to another text is not sent */
  const char *path;    /* including the query string */
  char *body;          /* JSON text, ownership is taken; NULL: no body */
  const char *header;  /* name of one extra header, or NULL */
  const char *header_value;
  /* Until the complete response; with stall_timeout_ms, until its first byte. */
  guint timeout_ms;
  /* From each part of the response to the next, for large responses, whose duration depends on the
   * link; 0: timeout_ms limits the whole call. */
  guint stall_timeout_ms;
  gsize max_bytes;      /* bound of the response body; a larger one counts as no response */
  memory_share_t share; /* what the response body is taken from while it is read */
  /* Asked each time that the call has got a connection, before anything is sent on it.  If false,
   * the call fails and its connection is closed.  NULL: any connection will do. */
  http_call_may_send_t may_send;
  http_call_opened_t opened; /* NULL: nobody needs to know */
} http_call_t;

/* Starts a call.  `done` is called exactly once, after this function has returned, even if
 * the session is closed in the meantime. */
void http_call (SoupSession *session, const http_call_t *call, http_call_done_t done, void *data);

/* Appends mimosastair_answers_too_large_total. */
void http_call_append_metrics (GString *out);
