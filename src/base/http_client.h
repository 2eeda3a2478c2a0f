/* HTTP client calls on libsoup, read without threads.
 *
 * The library's own "send and read" copies the answer through an output stream that
 * hands each call to a thread; here the answer is read where it arrives.
 */
#pragma once

#include <libsoup/soup.h>

/* A session with no content decoding or sniffing.  `connections` bounds those to
 * each host; `timeout_s` 0: none. */
SoupSession *http_session_new (guint connections, guint timeout_s, guint idle_timeout_s);

/* `body` is the whole answer, or NULL when it did not come whole, is larger than
 * `max_bytes`, or the call was cancelled; borrowed. */
typedef void (*http_fetched_t) (SoupMessage *message, GBytes *body, void *data);

/* Sends the message, which is referenced; `done` is called exactly once, and not
 * before this returns. */
void http_fetch (SoupSession *session,
                 SoupMessage *message,
                 gsize max_bytes,
                 GCancellable *cancel,
                 http_fetched_t done,
                 void *data);

enum
{
  HTTP_ANSWER_MAX_BYTES = 64 * 1024 * 1024
};

/* Makes a POST of JSON text, which is taken.  Its connection may be reused; the
 * library does not resend it. */
SoupMessage *http_post_new (const char *url, char *text);
