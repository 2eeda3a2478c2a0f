#define LOG_MODULE "acceptor"

#include "base/acceptor.h"

#include "base/address.h"
#include "base/log.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

struct acceptor
{
  const char *name;
  const acceptor_events_t *events;
  void *data;
  char *address_text;
  GSocketAddress *address;
  int backlog;
  acceptor_state_t state;
  error_info_t error;      /* in state ACCEPTOR_FAILED */
  gint64 waiting_since_us; /* in state ACCEPTOR_WAITING */
  guint bind_timer;        /* in state ACCEPTOR_WAITING */
  GSocket *socket;         /* in state ACCEPTOR_LISTENING */
  GSource *source;         /* while it accepts; NULL: paused */
  guint resume_timer;      /* while it is paused; 0: none */
  int exhausted_errno;     /* reason of the last pause */
  gint64 paused_since_us;  /* 0: not paused */
  guint16 port;
  guint64 refused_count;
  guint64 pause_count;
};

typedef enum
{
  ACCEPT_TAKEN,    /* a connection was accepted or refused */
  ACCEPT_SKIPPED,  /* the connection failed before it was accepted */
  ACCEPT_EMPTY,    /* no connection waits */
  ACCEPT_EXHAUSTED /* the system lacks descriptors or memory */
} accept_result_t;

enum
{
  TURN_CONNECTIONS = 16, /* accepted before other sources of the main loop have their turn */
  PAUSE_MS = 100,
  BIND_INTERVAL_MS = 100, /* between two attempts to bind a port in use */
  BIND_TIMEOUT_MS = 30 * 1000
};

static void start_accepting (acceptor_t *acceptor);

/* Linux also reports errors of the new connection's network here.  An unknown error pauses, as
 * skipping could go on without end. */
static accept_result_t
classify_error (int code)
{
  switch (code)
    {
    case EAGAIN:
      return ACCEPT_EMPTY;
    case EINTR:
    case ECONNABORTED:
    case EPERM:
    case EPROTO:
    case ENOPROTOOPT:
    case ENETDOWN:
    case ENETUNREACH:
    case EHOSTDOWN:
    case EHOSTUNREACH:
    case ENONET:
    case EOPNOTSUPP:
      return ACCEPT_SKIPPED;
    default:
      return ACCEPT_EXHAUSTED;
    }
}

static accept_result_t
accept_one (acceptor_t *acceptor)
{
  g_autoptr (GSocket) socket = NULL;
  g_autoptr (GSocketConnection) connection = NULL;
  int fd = accept4 (g_socket_get_fd (acceptor->socket), NULL, NULL, SOCK_CLOEXEC);

  if (fd < 0)
    {
      acceptor->exhausted_errno = errno;
      return classify_error (errno);
    }
  if (!acceptor->events->has_room (acceptor->data))
    {
      acceptor->refused_count++;
      (void) close (fd);
      return ACCEPT_TAKEN;
    }
  socket = g_socket_new_from_fd (fd, NULL);
  if (socket == NULL)
    {
      (void) close (fd);
      return ACCEPT_SKIPPED;
    }
  g_socket_set_blocking (socket, FALSE);
  connection = g_socket_connection_factory_create_connection (socket);
  acceptor->events->accepted (connection, acceptor->data);
  return ACCEPT_TAKEN;
}

static accept_result_t
accept_turn (acceptor_t *acceptor)
{
  accept_result_t result = ACCEPT_TAKEN;
  guint skipped_count = 0;

  for (guint i = 0; i < TURN_CONNECTIONS; i++)
    {
      result = accept_one (acceptor);
      if (result == ACCEPT_EMPTY || result == ACCEPT_EXHAUSTED)
        break;
      skipped_count += result == ACCEPT_SKIPPED;
    }
  /* Errors without end are not those of single connections. */
  return skipped_count == TURN_CONNECTIONS ? ACCEPT_EXHAUSTED : result;
}

static void
stop_accepting (acceptor_t *acceptor)
{
  if (acceptor->source == NULL)
    return;
  g_source_destroy (acceptor->source);
  g_clear_pointer (&acceptor->source, g_source_unref);
}

static gboolean
resume_accepting (gpointer data)
{
  acceptor_t *acceptor = data;

  acceptor->resume_timer = 0;
  start_accepting (acceptor);
  return G_SOURCE_REMOVE;
}

static void
pause_accepting (acceptor_t *acceptor)
{
  stop_accepting (acceptor);
  acceptor->resume_timer = g_timeout_add (PAUSE_MS, resume_accepting, acceptor);
  if (acceptor->paused_since_us != 0)
    return;
  acceptor->paused_since_us = g_get_monotonic_time ();
  acceptor->pause_count++;
  LOG_WARN ("accepting_paused", "listener=%s reason=\"%s\"", acceptor->name,
            g_strerror (acceptor->exhausted_errno));
}

static void
note_resumed (acceptor_t *acceptor)
{
  if (acceptor->paused_since_us == 0)
    return;
  LOG_INFO ("accepting_resumed", "listener=%s paused_ms=%" G_GINT64_FORMAT, acceptor->name,
            (g_get_monotonic_time () - acceptor->paused_since_us) / 1000);
  acceptor->paused_since_us = 0;
}

static gboolean
on_incoming (GSocket *socket G_GNUC_UNUSED, GIOCondition condition G_GNUC_UNUSED, gpointer data)
{
  acceptor_t *acceptor = data;

  if (accept_turn (acceptor) == ACCEPT_EXHAUSTED)
    {
      pause_accepting (acceptor);
      return G_SOURCE_REMOVE;
    }
  note_resumed (acceptor);
  return G_SOURCE_CONTINUE;
}

static void
start_accepting (acceptor_t *acceptor)
{
  acceptor->source = g_socket_create_source (acceptor->socket, G_IO_IN, NULL);
  g_source_set_callback (acceptor->source, G_SOURCE_FUNC (on_incoming), acceptor, NULL);
  (void) g_source_attach (acceptor->source, NULL);
}

static GSocket *
bind_socket (GSocketAddress *address, int backlog, GError **problem)
{
  g_autoptr (GSocket) socket = g_socket_new (g_socket_address_get_family (address),
                                             G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, problem);

  if (socket == NULL)
    return NULL;
  g_socket_set_blocking (socket, FALSE);
  g_socket_set_listen_backlog (socket, backlog);
  if (!g_socket_bind (socket, address, TRUE, problem) || !g_socket_listen (socket, problem))
    return NULL;
  return g_steal_pointer (&socket);
}

static bool
try_to_listen (acceptor_t *acceptor, GError **problem)
{
  g_autoptr (GSocket) socket = bind_socket (acceptor->address, acceptor->backlog, problem);
  g_autoptr (GSocketAddress) bound = NULL;

  if (socket == NULL)
    return false;
  bound = g_socket_get_local_address (socket, problem);
  if (bound == NULL)
    return false;
  acceptor->port = g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound));
  acceptor->socket = g_steal_pointer (&socket);
  acceptor->state = ACCEPTOR_LISTENING;
  start_accepting (acceptor);
  return true;
}

static void
set_failed (acceptor_t *acceptor, const char *reason)
{
  acceptor->state = ACCEPTOR_FAILED;
  (void) error_set (&acceptor->error, ERROR_BAD_SETTING, "cannot listen on %s: %s",
                    acceptor->address_text, reason);
}

/* Whether another try may succeed: a port in use, an address that the VM does not have yet, or a
 * lack of descriptors or memory passes. */
static bool
may_pass (const GError *problem)
{
  return !g_error_matches (problem, G_IO_ERROR, G_IO_ERROR_PERMISSION_DENIED)
         && !g_error_matches (problem, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT)
         && !g_error_matches (problem, G_IO_ERROR, G_IO_ERROR_NOT_SUPPORTED);
}

static gboolean
retry_to_listen (gpointer data)
{
  acceptor_t *acceptor = data;
  gint64 waited_ms = (g_get_monotonic_time () - acceptor->waiting_since_us) / 1000;
  g_autoptr (GError) problem = NULL;

  if (try_to_listen (acceptor, &problem))
    LOG_INFO ("port_bound", "listener=%s address=%s waited_ms=%" G_GINT64_FORMAT, acceptor->name,
              acceptor->address_text, waited_ms);
  else if (may_pass (problem) && waited_ms < BIND_TIMEOUT_MS)
    return G_SOURCE_CONTINUE;
  else
    {
      LOG_WARN ("port_given_up", "listener=%s address=%s waited_ms=%" G_GINT64_FORMAT,
                acceptor->name, acceptor->address_text, waited_ms);
      set_failed (acceptor, problem->message);
    }
  acceptor->bind_timer = 0;
  return G_SOURCE_REMOVE;
}

static void
wait_for_port (acceptor_t *acceptor, const GError *problem)
{
  const char *event = g_error_matches (problem, G_IO_ERROR, G_IO_ERROR_ADDRESS_IN_USE)
                          ? "port_in_use"
                          : "port_unavailable";

  LOG_WARN (event, "listener=%s address=%s timeout_ms=%d reason=\"%s\"", acceptor->name,
            acceptor->address_text, (int) BIND_TIMEOUT_MS, problem->message);
  acceptor->state = ACCEPTOR_WAITING;
  acceptor->waiting_since_us = g_get_monotonic_time ();
  acceptor->bind_timer = g_timeout_add (BIND_INTERVAL_MS, retry_to_listen, acceptor);
}

static void
begin_to_listen (acceptor_t *acceptor)
{
  g_autofree char *host = NULL;
  guint16 port = 0;
  g_autoptr (GError) problem = NULL;

  if (address_split (acceptor->address_text, &host, &port))
    acceptor->address = g_inet_socket_address_new_from_string (host, port);
  if (acceptor->address == NULL)
    set_failed (acceptor, "not an IP address and port");
  else if (try_to_listen (acceptor, &problem))
    return;
  else if (may_pass (problem))
    wait_for_port (acceptor, problem);
  else
    set_failed (acceptor, problem->message);
}

acceptor_t *
acceptor_new (const acceptor_config_t *config,
              const acceptor_events_t *events,
              void *data,
              error_info_t *error)
{
  acceptor_t *acceptor = g_new0 (acceptor_t, 1);

  acceptor->name = config->name;
  acceptor->address_text = g_strdup (config->address);
  acceptor->backlog = config->backlog;
  acceptor->events = events;
  acceptor->data = data;
  begin_to_listen (acceptor);
  if (acceptor_state (acceptor, error) != ACCEPTOR_FAILED)
    return acceptor;
  acceptor_free (acceptor);
  return NULL;
}

void
acceptor_free (acceptor_t *acceptor)
{
  if (acceptor == NULL)
    return;
  stop_accepting (acceptor);
  if (acceptor->resume_timer != 0)
    g_source_remove (acceptor->resume_timer);
  if (acceptor->bind_timer != 0)
    g_source_remove (acceptor->bind_timer);
  g_clear_object (&acceptor->socket);
  g_clear_object (&acceptor->address);
  g_free (acceptor->address_text);
  g_free (acceptor);
}

acceptor_state_t
acceptor_state (const acceptor_t *acceptor, error_info_t *error)
{
  if (acceptor->state == ACCEPTOR_FAILED && error != NULL)
    *error = acceptor->error;
  return acceptor->state;
}

guint16
acceptor_port (const acceptor_t *acceptor)
{
  return acceptor->port;
}

guint64
acceptor_refused_count (const acceptor_t *acceptor)
{
  return acceptor->refused_count;
}

static void
append_sample (GString *out, const char *metric, const char *listener, guint64 value)
{
  g_string_append_printf (out, "mimosastair_listener_%s{listener=\"%s\"} %" G_GUINT64_FORMAT "\n",
                          metric, listener, value);
}

void
acceptor_append_metrics (const acceptor_t *acceptor, guint connections, guint limit, GString *out)
{
  append_sample (out, "connections", acceptor->name, connections);
  append_sample (out, "connections_limit", acceptor->name, limit);
  append_sample (out, "pauses_total", acceptor->name, acceptor->pause_count);
  append_sample (out, "refused_total", acceptor->name, acceptor->refused_count);
}
