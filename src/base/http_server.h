/* HTTP server with limits, on libsoup.
 *
 * Bounds connections, header bytes, body bytes and the time to send a request;
 * what exceeds them gets a 4xx with the reason, or its connection closed, before
 * it costs more.  A request is handed to the handler once its body is complete and
 * must be answered with http_respond() exactly once, then or later.
 */
#pragma once

#include "base/error.h"

#include <gio/gio.h>

typedef struct http_server http_server_t;
typedef struct http_request http_request_t;

typedef struct
{
  guint connections;     /* 1 to 100,000 */
  guint header_bytes;    /* 256 to 65,536 */
  guint body_bytes;      /* 0 to 64 MiB */
  guint read_timeout_ms; /* to send one whole request, idle time before it included */
} http_limits_t;

typedef struct
{
  guint64 requests;
  guint64 refused_connections; /* above the bound */
  guint64 refused_requests;    /* 4xx by this layer */
  guint64 timeouts;            /* connections closed for slow sending */
} http_counters_t;

typedef void (*http_handler_t) (http_request_t *request, void *data);

/* Listens on `address` ("IP:PORT"; port 0 takes a free one). */
http_server_t *http_server_new (const char *address,
                                const http_limits_t *limits,
                                http_handler_t handler,
                                void *data,
                                error_info_t *error);
void http_server_free (http_server_t *server);

/* The port listened on. */
guint16 http_server_port (const http_server_t *server);

/* Stops accepting, and asks clients to close after their answer. */
void http_server_stop (http_server_t *server);

/* Closes connections that have sent no part of a request.  Returns the number of
 * requests being read or answered still. */
guint http_server_drain (http_server_t *server);

const http_counters_t *http_server_counters (const http_server_t *server);
guint http_server_connections (const http_server_t *server);

/* Parts of a request; owned by it. */
const char *http_request_method (const http_request_t *request);
const char *http_request_path (const http_request_t *request);
const char *http_request_header (const http_request_t *request, const char *name);
const char *http_request_query (const http_request_t *request, const char *name);
GBytes *http_request_body (const http_request_t *request);

/* Called at most once, if the client goes away before the answer.  The request must
 * still be answered; the answer is then dropped. */
typedef void (*http_gone_t) (void *data);
void http_request_on_gone (http_request_t *request, http_gone_t gone, void *data);

typedef struct
{
  const char *name;
  const char *value;
} http_header_t;

/* Answers and frees the request. */
void http_respond (http_request_t *request,
                   guint status,
                   const char *content_type,
                   GBytes *body,
                   const http_header_t *headers,
                   gsize header_count);

/* Answers with the JSON form of an error: {"outcome","error","reason","retry"}. */
void http_respond_error (http_request_t *request,
                         const error_info_t *error,
                         outcome_t outcome,
                         gint64 retry_after_ms);

/* Answers with text that is taken. */
void
http_respond_text (http_request_t *request, guint status, const char *content_type, char *text);
