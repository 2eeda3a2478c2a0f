/* Queries to the leader and calls that it makes for this VM, until they are answered.
 *
 * Private to the uplink.
 */
#pragma once

#include "entry/uplink.h"

typedef struct uplink_calls uplink_calls_t;

/* `send_data` is borrowed. */
uplink_calls_t *uplink_calls_new (uplink_send_t send, void *send_data);

/* No call may be in progress. */
void uplink_calls_free (uplink_calls_t *calls);

/* Sends a query, whose number this function sets.  Without a leader that `is_ready` it is not sent,
 * and times out at once. */
void uplink_calls_ask (uplink_calls_t *calls,
                       bool is_ready,
                       Mimosastair__Ask *message,
                       guint timeout_ms,
                       uplink_query_done_t done,
                       void *data);

/* See uplink_relay().  Without a leader that `is_ready` the call is not sent. */
void uplink_calls_relay (uplink_calls_t *calls,
                         bool is_ready,
                         const char *get,
                         const store_condition_t *expect,
                         gsize expect_count,
                         const store_write_t *writes,
                         gsize write_count,
                         guint timeout_ms,
                         store_done_t done,
                         void *data);

/* Handles the answers in a frame of the leader. */
void uplink_calls_handle_frame (uplink_calls_t *calls, const Mimosastair__Frame *frame);
