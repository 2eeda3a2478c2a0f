/* A connection between two entry VMs that carries protobuf frames.
 *
 * Frames written in one turn of the main loop leave in one write.  A link that is
 * closed, refused, sends what is no frame, or does not drain its output is reported
 * broken once and must then be freed.
 */
#pragma once

#include "peer/peer.pb-c.h"

#include <gio/gio.h>
#include <stdbool.h>

typedef struct link link_t;

typedef struct
{
  void (*opened) (link_t *link, void *data); /* an outgoing link is connected */
  void (*frame) (link_t *link, const Mimosastair__Frame *frame, void *data);
  void (*broken) (link_t *link, const char *reason, void *data);
} link_events_t;

/* Connects to "IP:PORT". */
link_t *link_connect (const char *address, const link_events_t *events, void *data);

/* Takes over an accepted connection. */
link_t *link_accept (GSocketConnection *connection, const link_events_t *events, void *data);

/* Drops what is not written yet.  Safe inside a callback of the link. */
void link_free (link_t *link);

/* Queues a frame; false when the link cannot take it (not open, or its queue is full). */
bool link_send (link_t *link, const Mimosastair__Frame *frame);

/* Clock time of the last frame that came, in microseconds. */
gint64 link_heard_us (const link_t *link);
