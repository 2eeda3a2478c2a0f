/* A listening socket that is never given up.
 *
 * A port that is in use is tried again for 30 s, while the main loop goes on: the former process of
 * this VM may still drain, or the system may have given the number to an outgoing connection.
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

/* In the order of what they mean for a process that needs several ports: the largest counts. */
typedef enum
{
  ACCEPTOR_LISTENING,
  ACCEPTOR_WAITING, /* the port is in use */
  ACCEPTOR_FAILED   /* it was in use for too long, or there was another error */
} acceptor_state_t;

/* Listens and accepts from the next turn of the main loop on, or waits for the port.  `events` is
 * borrowed.  Returns NULL and sets ERROR_BAD_SETTING on any other failure. */
acceptor_t *acceptor_new (const acceptor_config_t *config,
                          const acceptor_events_t *events,
                          void *data,
                          error_info_t *error);

/* Stops listening; NULL is allowed. */
void acceptor_free (acceptor_t *acceptor);

/* Fills `error` in state ACCEPTOR_FAILED. */
acceptor_state_t acceptor_state (const acceptor_t *acceptor, error_info_t *error);

/* Returns the port that it listens on; 0 while it waits for it. */
guint16 acceptor_port (const acceptor_t *acceptor);

/* Returns the number of connections closed because has_room() returned false. */
guint64 acceptor_refused_count (const acceptor_t *acceptor);

/* Appends mimosastair_listener_* samples, with the open connections and their bound. */
void
acceptor_append_metrics (const acceptor_t *acceptor, guint connections, guint limit, GString *out);
