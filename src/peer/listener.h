/* Accepts the connections of other entry VMs, up to a bound.
 *
 * All VMs of a fleet connect to a new leader at the same moment, so many connections may wait.
 */
#pragma once

#include "base/acceptor.h"

#include <gio/gio.h>

typedef struct listener listener_t;

typedef void (*listener_accepted_t) (GSocketConnection *connection, void *data);

/* Listens on "IP:PORT", or waits for the port; port 0 chooses a free port.  At most
 * `max_connections` are open at a time.  `accepted` borrows the
 * connection.  Returns NULL and sets ERROR_BAD_SETTING on failure. */
listener_t *listener_new (const char *address,
                          guint max_connections,
                          listener_accepted_t accepted,
                          void *data,
                          error_info_t *error);

/* Stops listening; NULL is allowed.  Accepted connections stay open. */
void listener_free (listener_t *listener);

/* See acceptor_state(). */
acceptor_state_t listener_state (const listener_t *listener, error_info_t *error);

/* Returns the port that it listens on; 0 while it waits for it. */
guint16 listener_port (const listener_t *listener);

/* Appends mimosastair_listener_* samples. */
void listener_append_metrics (const listener_t *listener, GString *out);
