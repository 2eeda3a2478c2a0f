/* HTTP client on libsoup that reads responses without threads.
 *
 * soup_session_send_and_read_async() copies the response through an output stream that
 * uses a thread for each call.  http_fetch() reads it in the caller's main context.
 */
#pragma once

#include "base/memory_budget.h"

#include <libsoup/soup.h>

/* Creates a session without content decoding or sniffing, authentication or proxies.  `connections`
 * limits the connections to each host.  `timeout_s` limits each wait for the network and
 * `idle_timeout_s` the time that an unused connection stays open; 0 disables either limit.  Free
 * with g_object_unref(). */
SoupSession *http_session_new (guint connections, guint timeout_s, guint idle_timeout_s);

/* `body` is the complete response body, borrowed.  It is NULL if the response is incomplete
 * or larger than `max_bytes`, or if the call was cancelled. */
typedef void (*http_fetch_done_t) (SoupMessage *message, GBytes *body, void *data);

/* Tells how a call goes on. */
typedef void (*http_fetch_progress_t) (void *data);

/* Sends `message` and takes a reference to it.  `cancel` may be NULL.  `done` is called exactly
 * once, after this function has returned. */
void http_fetch (SoupSession *session,
                 SoupMessage *message,
                 gsize max_bytes,
                 GCancellable *cancel,
                 http_fetch_done_t done,
                 void *data);

typedef struct
{
  gsize max_bytes;                 /* bound of the response body */
  memory_share_t share;            /* what the response body is taken from while it is read */
  http_fetch_progress_t progress;  /* bytes of the response have arrived; more may follow */
  http_fetch_progress_t too_large; /* the body is over its bound, or over what the share has left;
                                    * `done` follows with no body */
} http_fetch_options_t;

/* Like http_fetch(), but the response takes its memory from a share.  A zero byte follows `body`
 * in memory. */
void http_fetch_with_options (SoupSession *session,
                              SoupMessage *message,
                              const http_fetch_options_t *options,
                              GCancellable *cancel,
                              http_fetch_done_t done,
                              void *data);

enum
{
  HTTP_RESPONSE_MAX_BYTES = 64 * 1024 * 1024
};

/* Creates a POST request with the JSON `text` as body and takes ownership of `text`.  The
 * request may be sent on a reused connection; the library does not resend it.  Returns NULL if
 * `url` is not a URL. */
SoupMessage *http_post_new (const char *url, char *text);
