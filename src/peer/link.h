/* A TCP connection between two entry VMs that carries length-prefixed protobuf frames.
 *
 * Frames sent in one iteration of the main loop are written together.  A link whose connection
 * fails or is closed, whose peer sends a malformed frame, or whose peer does not read fast enough
 * is reported as broken once and must then be freed.
 */
#pragma once

#include "peer/peer.pb-c.h"

#include <gio/gio.h>
#include <stdbool.h>

typedef struct link link_t;

typedef struct
{
  void (*opened) (link_t *link, void *data); /* an outgoing connection is established */
  void (*received) (link_t *link, const Mimosastair__Frame *frame, void *data);
  void (*broken) (link_t *link, const char *reason, void *data);
} link_events_t;

/* Connects to "IP:PORT".  `events` is borrowed. */
link_t *link_connect (const char *address, const link_events_t *events, void *data);

/* Wraps an accepted connection and keeps a reference to it.  `events` is borrowed; its `opened` is
 * not called. */
link_t *link_accept (GSocketConnection *connection, const link_events_t *events, void *data);

/* Closes the connection and discards unwritten frames.  May be called from the link's callbacks. */
void link_free (link_t *link);

/* Queues a frame; returns false when the link is not open or its queue is full.  A full queue is
 * also reported as broken, after this function has returned. */
bool link_send (link_t *link, const Mimosastair__Frame *frame);

/* Returns when the last frame was received, as a clock_now_us() time; before the first frame, when
 * the link was created or connected. */
gint64 link_last_received_us (const link_t *link);
