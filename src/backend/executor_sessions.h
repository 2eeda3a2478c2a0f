/* Sessions with the executors, which decide what may be sent on which connection.
 *
 * A start order, and the acknowledgement of ends, is for one incarnation of an executor.  Either is
 * sent only on a connection on which that incarnation has answered before
 * (backend/answered_connections.h), since the next one may have the same address and id.
 *
 * The connections of all sessions stay within a share (backend/connection_share.h).  A call that
 * gets none in time is not sent.
 *
 * The caller translates: it builds the requests and reads the responses, through callbacks that get
 * its `data`.  After the `done` of a call no other callback of it is called.
 */
#pragma once

#include "backend/answered_connections.h"
#include "base/http_call.h"

typedef struct executor_sessions executor_sessions_t;

executor_sessions_t *executor_sessions_new (void);

/* Aborts the calls in flight; `done` is still called for each of them, later. */
void executor_sessions_free (executor_sessions_t *sessions);

/* Reads the result of a request.  Returns the incarnation that the response names, or 0. */
typedef gint64 (*session_read_t) (const http_result_t *result, void *data);

typedef enum
{
  SESSION_ORDER_RESULT,      /* the last result read was that of the order */
  SESSION_ORDER_OTHER,       /* not sent: another incarnation answered the last check */
  SESSION_ORDER_UNCHECKED,   /* not sent: the last check had no such answer */
  SESSION_ORDER_OUT_OF_TIME, /* not sent; also when the sessions were closed */
} session_order_end_t;

/* The callbacks of an order.  `may_send` and, for the order and its checks, `timeout_ms` of a
 * request are filled in here. */
typedef struct
{
  http_call_t (*make_order) (void *data);
  /* A request that changes nothing, and whose response names the incarnation. */
  http_call_t (*make_check) (void *data);
  session_read_t read;
  void (*done) (session_order_end_t end, void *data);
} session_order_t;

/* Sends an order to the incarnation.  With `is_checked`, and where no connection on which it has
 * answered is to be expected, a check goes first on the connection that the order then uses.
 * `order` is copied; its `done` is called exactly once, after this function has returned. */
void executor_sessions_send_order (executor_sessions_t *sessions,
                                   const incarnation_t *incarnation,
                                   bool is_checked,
                                   guint timeout_ms,
                                   const session_order_t *order,
                                   void *data);

/* The callbacks of a hold request. */
typedef struct
{
  http_call_t (*make_hold) (bool may_acknowledge, guint wait_ms, void *data);
  session_read_t read;
  void (*done) (void *data);
} session_hold_t;

/* Sends a hold request that waits for `wait_ms` at most.  It waits less where there are more such
 * requests than connections to executors.  It is not sent on a connection on which a former
 * incarnation has answered.  One that acknowledges ends of the incarnation, but got another
 * connection, is sent again without the acknowledgement.  `hold` is copied; its `done` is
 * called exactly once, after this function has returned. */
void executor_sessions_send_hold (executor_sessions_t *sessions,
                                  const incarnation_t *incarnation,
                                  bool is_acknowledging,
                                  guint wait_ms,
                                  const session_hold_t *hold,
                                  void *data);

/* Sends a request that may reach any incarnation, but not on a connection that was opened for a
 * former one than `born`; 0: any connection will do.  Its body is taken, and `may_send` and
 * `opened` are filled in here.  `done` is called as by http_call(). */
void executor_sessions_send (executor_sessions_t *sessions,
                             const http_call_t *http,
                             gint64 born,
                             http_call_done_t done,
                             void *data);
