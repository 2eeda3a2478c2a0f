#include "peer/listener.h"

struct listener
{
  acceptor_t *acceptor;
  listener_accepted_t accepted;
  void *data;
};

enum
{
  BACKLOG = 4096 /* connections that are not accepted yet; the system may allow fewer */
};

static bool
has_room (void *data G_GNUC_UNUSED)
{
  return true;
}

static void
on_accepted (GSocketConnection *connection, void *data)
{
  listener_t *listener = data;

  listener->accepted (connection, listener->data);
}

static const acceptor_events_t acceptor_events = { has_room, on_accepted };

listener_t *
listener_new (const char *address, listener_accepted_t accepted, void *data, error_info_t *error)
{
  listener_t *listener = g_new0 (listener_t, 1);
  acceptor_config_t config = { .name = "peer", .address = address, .backlog = BACKLOG };

  listener->accepted = accepted;
  listener->data = data;
  listener->acceptor = acceptor_new (&config, &acceptor_events, listener, error);
  if (listener->acceptor != NULL)
    return listener;
  listener_free (listener);
  return NULL;
}

void
listener_free (listener_t *listener)
{
  if (listener == NULL)
    return;
  acceptor_free (listener->acceptor);
  g_free (listener);
}

acceptor_state_t
listener_state (const listener_t *listener, error_info_t *error)
{
  return acceptor_state (listener->acceptor, error);
}

guint16
listener_port (const listener_t *listener)
{
  return acceptor_port (listener->acceptor);
}

void
listener_append_metrics (const listener_t *listener, GString *out)
{
  acceptor_append_metrics (listener->acceptor, out);
}
