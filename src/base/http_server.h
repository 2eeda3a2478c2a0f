/* HTTP server on libsoup with resource limits.
 *
 * The number of connections, the size of headers and bodies, and the time to send a request
 * are limited.  A client that exceeds a limit gets a 4xx response with the reason, or its
 * connection is closed, before it uses more resources.  The handler is called once the body of
 * a request is complete.  It must respond with http_respond() exactly once, immediately or
 * later.
 */
#pragma once

#include "base/acceptor.h"

#include <gio/gio.h>

typedef struct http_server http_server_t;
typedef struct http_request http_request_t;

typedef struct
{
  const char *listener;  /* name in log lines and metrics; static */
  guint connections;     /* 1 to 1,000,000 */
  bool replaces_idle;    /* the longest idle connection gives way to a new one */
  guint header_bytes;    /* 256 to 65,536 */
  guint body_bytes;      /* 0 to 64 MiB */
  guint read_timeout_ms; /* for one complete request, including the idle time before it */
} http_limits_t;

typedef struct
{
  guint64 requests;
  guint64 refused_connections; /* above the limit */
  guint64 refused_requests; /* 4xx responses of this layer, and connections closed because the body
                               was too large */
  guint64 timeouts;         /* connections closed because the client sent too slowly */
} http_counters_t;

typedef void (*http_handler_t) (http_request_t *request, void *data);

/* Listens on `address` ("IP:PORT"; port 0 selects a free port), or waits for the port.  Returns
 * NULL with ERROR_BAD_SETTING if it cannot. */
http_server_t *http_server_new (const char *address,
                                const http_limits_t *limits,
                                http_handler_t handler,
                                void *data,
                                error_info_t *error);
void http_server_free (http_server_t *server);

/* See acceptor_state().  A server that was stopped counts as listening. */
acceptor_state_t http_server_state (const http_server_t *server, error_info_t *error);

/* Returns the port that the server listens on; 0 while it waits for it, or once it was stopped. */
guint16 http_server_port (const http_server_t *server);

/* Stops accepting connections; responses from now on carry "Connection: close". */
void http_server_stop (http_server_t *server);

/* Closes idle connections and those whose client has not sent the headers of a request.
 * Returns the number of requests that are still being read or processed. */
guint http_server_drain (http_server_t *server);

http_counters_t http_server_counters (const http_server_t *server);
guint http_server_connection_count (const http_server_t *server);

/* Appends mimosastair_listener_* samples. */
void http_server_append_metrics (const http_server_t *server, GString *out);

/* Parts of a request, owned by it; NULL if there is no such header or query parameter. */
const char *http_request_method (const http_request_t *request);
const char *http_request_path (const http_request_t *request);
const char *http_request_header (const http_request_t *request, const char *name);
const char *http_request_query (const http_request_t *request, const char *name);
GBytes *http_request_body (const http_request_t *request);

/* Called at most once, if the client disconnects before the response.  The handler must still
 * respond to the request; the response is then discarded. */
typedef void (*http_disconnected_t) (void *data);
void http_request_on_disconnected (http_request_t *request,
                                   http_disconnected_t on_disconnected,
                                   void *data);

typedef struct
{
  const char *name;
  const char *value;
} http_header_t;

/* Sends the response.  The request must not be used afterwards.  `body` may be NULL. */
void http_respond (http_request_t *request,
                   guint status,
                   const char *content_type,
                   GBytes *body,
                   const http_header_t *headers,
                   gsize header_count);

/* Responds with an error as a JSON object: {"outcome","error","reason","retry"}, and
 * "retry_after_ms" if `retry_after_ms` is above 0.  The headers Mimosastair-Outcome and
 * Retry-After carry the same values; the latter is rounded up to seconds. */
void http_respond_error (http_request_t *request,
                         const error_info_t *error,
                         outcome_t outcome,
                         gint64 retry_after_ms);

/* Responds with `text` and takes ownership of it. */
void
http_respond_text (http_request_t *request, guint status, const char *content_type, char *text);
