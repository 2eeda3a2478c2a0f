#include "backend/executor_sessions.h"

#include "backend/connection_share.h"
#include "base/clock.h"

enum
{
  /* Each event of a session costs time in proportion to its calls and connections, so executors
   * that do not answer would take the processor from all others. */
  SESSION_GROUPS = 64,
  ORDER_MAX_CONNECTIONS = 6, /* per incarnation of an executor */
  /* Calls to a former incarnation may hang until they time out. */
  ORDER_SESSION_MAX_CONNECTIONS = 2 * ORDER_MAX_CONNECTIONS,
  HOLD_MAX_CONNECTIONS = 2, /* per executor */
  CHECKS_MAX = 3,           /* of connections, for one order */
  IDLE_CONNECTION_S = 120,  /* long, because opening a connection is expensive */
  HOLD_CLAIM_MS = 2000      /* two turns of all hold requests, which are one second apart */
};

static const gint64 idle_connection_us = (gint64) IDLE_CONNECTION_S * G_USEC_PER_SEC;

/* Sessions of the executors whose addresses have the same hash value; NULL: not needed yet. */
typedef struct
{
  SoupSession *order; /* has only connections on which an executor says which one it is */
  SoupSession *any;
  SoupSession *hold; /* separate: a hold request occupies its connection while it waits */
  answered_connections_t *order_connections;
  answered_connections_t *any_connections; /* opened for calls to the incarnation that they name */
  answered_connections_t *hold_connections;
} session_group_t;

struct executor_sessions
{
  session_group_t groups[SESSION_GROUPS];
  connection_share_t *share;
  bool is_closed;
};

/* What all calls have. */
typedef struct
{
  executor_sessions_t *sessions; /* a reference */
  session_group_t *group;        /* of `sessions` */
  connection_claim_t claim;
} call_base_t;

/* A request that may reach any incarnation. */
typedef struct
{
  call_base_t base;
  http_call_t http;
  char *address;
  char *path;
  char *header;
  char *header_value;
  gint64 born;      /* the incarnation that it is meant for; 0: not known */
  bool is_withheld; /* was not sent on the connection that it got */
  gint64 deadline_us;
  http_call_done_t done;
  void *data;
} any_call_t;

/* An order that has no result yet. */
typedef struct
{
  call_base_t base;
  char *address;
  gint64 born;
  gint64 deadline_us;
  guint64 connection; /* that it was sent on; 0: not sent */
  bool is_withheld;   /* the order, or its check, was not sent on the connection that it got */
  guint check_count;
  session_order_t callbacks;
  void *data;
} order_call_t;

/* A hold request that has no result yet. */
typedef struct
{
  call_base_t base;
  char *address;
  gint64 born; /* of the incarnation that it is for, and whose ends it acknowledges */
  bool is_acknowledging;
  bool is_withheld; /* was not sent on the connection that it got */
  bool has_ack;     /* has ends to acknowledge on a connection on which it has answered */
  guint wait_ms;    /* if there were room for all hold requests */
  session_hold_t callbacks;
  void *data;
} hold_call_t;

executor_sessions_t *
executor_sessions_new (void)
{
  executor_sessions_t *sessions = g_rc_box_new0 (executor_sessions_t);

  sessions->share = connection_share_new ();
  return sessions;
}

static session_group_t *
ensure_group (executor_sessions_t *sessions, const char *address)
{
  session_group_t *group = &sessions->groups[g_str_hash (address) % SESSION_GROUPS];

  if (group->order != NULL)
    return group;
  group->order = http_session_new (ORDER_SESSION_MAX_CONNECTIONS, 0, IDLE_CONNECTION_S);
  group->any = http_session_new (ORDER_SESSION_MAX_CONNECTIONS, 0, IDLE_CONNECTION_S);
  group->hold = http_session_new (HOLD_MAX_CONNECTIONS, 0, IDLE_CONNECTION_S);
  group->order_connections = answered_connections_new (ORDER_MAX_CONNECTIONS, idle_connection_us);
  group->any_connections = answered_connections_new (ORDER_MAX_CONNECTIONS, idle_connection_us);
  group->hold_connections = answered_connections_new (HOLD_MAX_CONNECTIONS, idle_connection_us);
  return group;
}

static void
clear_sessions (gpointer data)
{
  executor_sessions_t *sessions = data;

  for (guint i = 0; i < SESSION_GROUPS; i++)
    {
      session_group_t *group = &sessions->groups[i];

      g_clear_object (&group->order);
      g_clear_object (&group->any);
      g_clear_object (&group->hold);
      g_clear_pointer (&group->order_connections, answered_connections_free);
      g_clear_pointer (&group->any_connections, answered_connections_free);
      g_clear_pointer (&group->hold_connections, answered_connections_free);
    }
  g_clear_pointer (&sessions->share, connection_share_free);
}

void
executor_sessions_free (executor_sessions_t *sessions)
{
  if (sessions == NULL)
    return;
  sessions->is_closed = true;
  connection_share_close (sessions->share);
  for (guint i = 0; i < SESSION_GROUPS; i++)
    {
      const session_group_t *group = &sessions->groups[i];

      if (group->order == NULL)
        continue;
      soup_session_abort (group->order);
      soup_session_abort (group->any);
      soup_session_abort (group->hold);
    }
  g_rc_box_release_full (sessions, clear_sessions);
}

/* ---- Connections of a call. */

static void
claim_connection (call_base_t *call,
                  const connection_request_t *request,
                  connection_claim_done_t done,
                  void *data)
{
  connection_share_claim (call->sessions->share, &call->claim, request, done, data,
                          clock_now_us ());
}

static void
base_init (call_base_t *call, executor_sessions_t *sessions, const char *address)
{
  call->sessions = g_rc_box_acquire (sessions);
  call->group = ensure_group (sessions, address);
}

/* Ends the claim, if there is one. */
static void
base_clear (call_base_t *call)
{
  if (call->claim.pool != NULL)
    connection_share_release (&call->claim);
  g_rc_box_release_full (call->sessions, clear_sessions);
}

static void
note_opened (guint64 id, GIOStream *stream, void *data)
{
  call_base_t *call = data;

  connection_share_opened (&call->claim, id, stream);
}

static bool
note_used (guint64 id, void *data)
{
  call_base_t *call = data;

  connection_share_used (&call->claim, id);
  return true;
}

/* The library closes a connection without a complete response, somewhat later. */
static void
note_unused (call_base_t *call, const http_result_t *result)
{
  connection_share_unused (&call->claim, result->status != 0);
}

/* ---- Requests that may reach any incarnation. */

static incarnation_t
any_incarnation (const any_call_t *call)
{
  return (incarnation_t){ .address = call->address, .born = call->born };
}

/* A connection that was opened for a call to a former incarnation may have no process at its other
 * end. */
static bool
may_send_any (guint64 id, void *data)
{
  any_call_t *call = data;
  answered_connections_t *connections = call->base.group->any_connections;
  incarnation_t incarnation = any_incarnation (call);

  (void) note_used (id, &call->base);
  call->is_withheld = answered_connections_drop_former (connections, id, &incarnation);
  (void) answered_connections_touch (connections, id, &incarnation, clock_now_us ());
  return !call->is_withheld;
}

static void
note_any_opened (guint64 id, GIOStream *stream, void *data)
{
  any_call_t *call = data;
  incarnation_t incarnation = any_incarnation (call);

  note_opened (id, stream, &call->base);
  answered_connections_add (call->base.group->any_connections, id, &incarnation, clock_now_us ());
}

static void
finish_any (const http_result_t *result, any_call_t *call)
{
  call->done (result, call->data);
  base_clear (&call->base);
  g_free (call->http.body);
  g_free (call->address);
  g_free (call->path);
  g_free (call->header);
  g_free (call->header_value);
  g_free (call);
}

static void claim_any (any_call_t *call);

static void
handle_any_result (const http_result_t *result, void *data)
{
  any_call_t *call = data;

  note_unused (&call->base, result);
  if (call->is_withheld && !result->sent && !call->base.sessions->is_closed)
    {
      /* The connection that was not used counts until it is closed. */
      connection_share_release (&call->base.claim);
      claim_any (call);
    }
  else
    finish_any (result, call);
}

static void
any_granted (bool is_granted, void *data)
{
  any_call_t *call = data;
  http_call_t http = call->http;
  http_result_t unsent = { .body = "" };
  gint64 left_ms = (call->deadline_us - clock_now_us ()) / 1000;

  if (!is_granted)
    {
      call->base.claim.pool = NULL;
      finish_any (&unsent, call);
      return;
    }
  http.body = g_strdup (call->http.body);
  http.timeout_ms = (guint) MAX (left_ms, 1);
  call->is_withheld = false;
  http_call (call->base.group->any, &http, handle_any_result, call);
}

/* Claims a connection for what is left of the time of the call. */
static void
claim_any (any_call_t *call)
{
  gint64 left_ms = (call->deadline_us - clock_now_us ()) / 1000;
  connection_request_t request = { .session = call->base.group->any,
                                   .address = call->address,
                                   .connections_max = ORDER_MAX_CONNECTIONS,
                                   .use = CONNECTION_FOR_STOP,
                                   .born = call->born,
                                   .timeout_ms = (guint) MAX (left_ms, 0) };

  claim_connection (&call->base, &request, any_granted, call);
}

void
executor_sessions_send (executor_sessions_t *sessions,
                        const http_call_t *http,
                        gint64 born,
                        http_call_done_t done,
                        void *data)
{
  any_call_t *call = g_new0 (any_call_t, 1);

  base_init (&call->base, sessions, http->address);
  call->http = *http;
  call->http.address = call->address = g_strdup (http->address);
  call->http.path = call->path = g_strdup (http->path);
  call->http.header = call->header = g_strdup (http->header);
  call->http.header_value = call->header_value = g_strdup (http->header_value);
  call->http.may_send = may_send_any;
  call->http.opened = note_any_opened;
  call->born = born;
  call->deadline_us = clock_now_us () + (gint64) http->timeout_ms * 1000;
  call->done = done;
  call->data = data;
  claim_any (call);
}

/* ---- Orders. */

static incarnation_t
order_incarnation (const order_call_t *order)
{
  return (incarnation_t){ .address = order->address, .born = order->born };
}

static void
finish_order (order_call_t *order, session_order_end_t end)
{
  order->callbacks.done (end, order->data);
  base_clear (&order->base);
  g_free (order->address);
  g_free (order);
}

static bool
may_send_order (guint64 id, void *data)
{
  order_call_t *order = data;
  incarnation_t incarnation = order_incarnation (order);

  (void) note_used (id, &order->base);
  order->is_withheld
      = !answered_connections_take (order->base.group->order_connections, id, &incarnation);
  if (order->is_withheld)
    return false;
  order->connection = id;
  return true;
}

/* A check that goes on a connection to a former incarnation may get no answer. */
static bool
may_send_check (guint64 id, void *data)
{
  order_call_t *order = data;
  incarnation_t incarnation = order_incarnation (order);

  (void) note_used (id, &order->base);
  order->is_withheld
      = answered_connections_drop_former (order->base.group->order_connections, id, &incarnation);
  return !order->is_withheld;
}

/* Sends the order or, if `is_check`, a check, unless the time of the order is over, which ends it.
 */
static void
send_before_deadline (order_call_t *order, bool is_check, http_call_done_t done)
{
  gint64 left_ms = (order->deadline_us - clock_now_us ()) / 1000;
  http_call_t http;

  if (left_ms <= 0 || order->base.sessions->is_closed)
    {
      finish_order (order, SESSION_ORDER_OUT_OF_TIME);
      return;
    }
  http = is_check ? order->callbacks.make_check (order->data)
                  : order->callbacks.make_order (order->data);
  http.timeout_ms = (guint) left_ms;
  http.may_send = is_check ? may_send_check : may_send_order;
  http.opened = note_opened;
  http_call (order->base.group->order, &http, done, order);
}

static void send_check (order_call_t *order);
static void claim_order (order_call_t *order, connection_claim_done_t done);

static void
check_granted (bool is_granted, void *data)
{
  order_call_t *order = data;

  if (is_granted)
    {
      send_check (order);
      return;
    }
  order->base.claim.pool = NULL;
  finish_order (order, SESSION_ORDER_OUT_OF_TIME);
}

/* The connection that was not used counts until it is closed, so the check claims another one. */
static void
check_instead (order_call_t *order)
{
  connection_share_release (&order->base.claim);
  claim_order (order, check_granted);
}

static void
handle_order_result (const http_result_t *result, void *data)
{
  order_call_t *order = data;

  note_unused (&order->base, result);
  (void) order->callbacks.read (result, order->data);
  answered_connections_release (order->base.group->order_connections, order->connection,
                                result->status != 0, clock_now_us ());
  if (order->is_withheld && !result->sent && order->check_count < CHECKS_MAX)
    check_instead (order);
  else
    finish_order (order, SESSION_ORDER_RESULT);
}

static void
send_order (order_call_t *order)
{
  order->connection = 0;
  order->is_withheld = false;
  send_before_deadline (order, false, handle_order_result);
}

static void
handle_check_result (const http_result_t *result, void *data)
{
  order_call_t *order = data;
  incarnation_t answering
      = { .address = order->address, .born = order->callbacks.read (result, order->data) };
  bool has_answered = result->status == 200;

  note_unused (&order->base, result);
  if (has_answered && answering.born > 0)
    answered_connections_add (order->base.group->order_connections, result->connection, &answering,
                              clock_now_us ());
  if (order->is_withheld && !result->sent)
    {
      order->check_count--;
      check_instead (order);
    }
  else if (has_answered && answering.born == order->born)
    send_order (order);
  else if (has_answered && answering.born > 0)
    finish_order (order, SESSION_ORDER_OTHER);
  else
    finish_order (order, SESSION_ORDER_UNCHECKED);
}

/* Asks which incarnation listens at the address, on the connection that the order then uses. */
static void
send_check (order_call_t *order)
{
  order->check_count++;
  order->is_withheld = false;
  send_before_deadline (order, true, handle_check_result);
}

/* Claims a connection for what is left of the time of the order. */
static void
claim_order (order_call_t *order, connection_claim_done_t done)
{
  gint64 left_ms = (order->deadline_us - clock_now_us ()) / 1000;
  connection_request_t request = { .session = order->base.group->order,
                                   .address = order->address,
                                   .connections_max = ORDER_MAX_CONNECTIONS,
                                   .use = CONNECTION_FOR_START,
                                   .born = order->born,
                                   .timeout_ms = (guint) MAX (left_ms, 0) };

  claim_connection (&order->base, &request, done, order);
}

static void
order_granted (bool is_granted, void *data)
{
  order_call_t *order = data;
  incarnation_t incarnation = order_incarnation (order);

  if (is_granted && connection_share_has_idle (&order->base.claim)
      && answered_connections_is_likely (order->base.group->order_connections, &incarnation))
    send_order (order);
  else
    check_granted (is_granted, order);
}

void
executor_sessions_send_order (executor_sessions_t *sessions,
                              const incarnation_t *incarnation,
                              bool is_checked,
                              guint timeout_ms,
                              const session_order_t *order,
                              void *data)
{
  order_call_t *call = g_new0 (order_call_t, 1);

  base_init (&call->base, sessions, incarnation->address);
  call->address = g_strdup (incarnation->address);
  call->born = incarnation->born;
  call->deadline_us = clock_now_us () + (gint64) timeout_ms * 1000;
  call->callbacks = *order;
  call->data = data;
  claim_order (call, is_checked ? check_granted : order_granted);
}

/* ---- Hold requests. */

static bool
may_send_hold (guint64 id, void *data)
{
  hold_call_t *hold = data;
  answered_connections_t *connections = hold->base.group->hold_connections;
  incarnation_t incarnation = { .address = hold->address, .born = hold->born };

  (void) note_used (id, &hold->base);
  hold->is_withheld
      = answered_connections_drop_former (connections, id, &incarnation)
        || (hold->is_acknowledging && !answered_connections_has (connections, id, &incarnation));
  return !hold->is_withheld;
}

static void
record_hold_connection (const hold_call_t *hold, const http_result_t *result, gint64 born)
{
  answered_connections_t *connections = hold->base.group->hold_connections;
  incarnation_t answering = { .address = hold->address, .born = born };
  gint64 now_us = clock_now_us ();

  if (answered_connections_touch (connections, result->connection, &answering, now_us))
    return;
  if (result->status == 200 && born > 0)
    answered_connections_add (connections, result->connection, &answering, now_us);
}

static void send_hold (hold_call_t *hold);
static void claim_hold (hold_call_t *hold);

static void
finish_hold (hold_call_t *hold)
{
  hold->callbacks.done (hold->data);
  base_clear (&hold->base);
  g_free (hold->address);
  g_free (hold);
}

/* While hold requests are crowded, the connection will be closed before the next one of this
 * executor, so ends that could not be acknowledged on a new connection are acknowledged now. */
static bool
is_ack_due (const hold_call_t *hold, const http_result_t *result, gint64 born)
{
  return hold->has_ack && !hold->is_acknowledging && result->status == 200 && born == hold->born
         && !hold->base.sessions->is_closed
         && connection_share_is_crowded (hold->base.sessions->share);
}

static void
handle_hold_result (const http_result_t *result, void *data)
{
  hold_call_t *hold = data;
  gint64 born = hold->callbacks.read (result, hold->data);

  note_unused (&hold->base, result);
  record_hold_connection (hold, result, born);
  if (hold->is_withheld && !result->sent && !hold->base.sessions->is_closed)
    {
      /* The connection that was not used counts until it is closed. */
      connection_share_release (&hold->base.claim);
      claim_hold (hold);
    }
  else if (is_ack_due (hold, result, born))
    {
      hold->has_ack = false;
      hold->is_acknowledging = true;
      send_hold (hold);
    }
  else
    finish_hold (hold);
}

/* A request that only prepares an acknowledgement does not wait. */
static void
send_hold (hold_call_t *hold)
{
  const connection_share_t *share = hold->base.sessions->share;
  bool is_preparing
      = !hold->is_acknowledging && hold->has_ack && connection_share_is_crowded (share);
  guint wait_ms = is_preparing ? 0 : connection_share_poll_ms (share, hold->wait_ms);
  http_call_t http = hold->callbacks.make_hold (hold->is_acknowledging, wait_ms, hold->data);

  hold->is_withheld = false;
  http.may_send = may_send_hold;
  http.opened = note_opened;
  http_call (hold->base.group->hold, &http, handle_hold_result, hold);
}

static void
hold_granted (bool is_granted, void *data)
{
  hold_call_t *hold = data;
  http_result_t unsent = { .body = "" };

  if (is_granted)
    {
      hold->is_acknowledging
          = hold->has_ack && !hold->is_withheld && connection_share_has_idle (&hold->base.claim);
      send_hold (hold);
      return;
    }
  hold->base.claim.pool = NULL;
  (void) hold->callbacks.read (&unsent, hold->data);
  finish_hold (hold);
}

static void
claim_hold (hold_call_t *hold)
{
  connection_request_t request = { .session = hold->base.group->hold,
                                   .address = hold->address,
                                   .connections_max = HOLD_MAX_CONNECTIONS,
                                   .use = CONNECTION_FOR_HOLD,
                                   .timeout_ms = HOLD_CLAIM_MS };

  claim_connection (&hold->base, &request, hold_granted, hold);
}

void
executor_sessions_send_hold (executor_sessions_t *sessions,
                             const incarnation_t *incarnation,
                             bool is_acknowledging,
                             guint wait_ms,
                             const session_hold_t *hold,
                             void *data)
{
  hold_call_t *call = g_new0 (hold_call_t, 1);

  base_init (&call->base, sessions, incarnation->address);
  call->address = g_strdup (incarnation->address);
  call->born = incarnation->born;
  call->has_ack = is_acknowledging;
  call->wait_ms = wait_ms;
  call->callbacks = *hold;
  call->data = data;
  claim_hold (call);
}
