/* A listening socket that is never given up.
 *
 * Connections are accepted in bounded turns of the main loop.  When descriptors or memory run out,
 * accepting pauses, and goes on by itself once some are free.  An error of one connection skips
 * only that connection.
 */
#pragma once

#include "base/error.h"

#include <gio/gio.h>

typedef struct acceptor acceptor_t;

typedef struct
{
  /* Returns whether another connection may be taken.  If not, it is taken and closed at once, so
   * that it does not fill the system's queue. */
  bool (*has_room) (void *data);
  /* `connection` is borrowed, and its socket does not block. */
  void (*accepted) (GSocketConnection *connection, void *data);
} acceptor_events_t;

typedef struct
{
  const char *name;    /* in log lines and metrics; static */
  const char *address; /* "IP:PORT"; port 0 chooses a free port */
  int backlog;         /* connections not accepted yet; the system may allow fewer */
} acceptor_config_t;

/* Listens and accepts from the next turn of the main loop on.  `events` is borrowed.  Returns NULL
 * and sets ERROR_BAD_SETTING on failure. */
acceptor_t *acceptor_new (const acceptor_config_t *config,
                          const acceptor_events_t *events,
                          void *data,
                          error_info_t *error);

/* Stops listening; NULL is allowed. */
void acceptor_free (acceptor_t *acceptor);

/* Returns the port that it listens on. */
guint16 acceptor_port (const acceptor_t *acceptor);

/* Returns the number of connections closed because has_room() returned false. */
guint64 acceptor_refused_count (const acceptor_t *acceptor);

/* Appends mimosastair_listener_* samples. */
void acceptor_append_metrics (const acceptor_t *acceptor, GString *out);
