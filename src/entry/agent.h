/* Carries out the leader's orders on the executors that are assigned to this VM.
 *
 * Renews leases and starts runs only while the leader's lease is valid according to its
 * last pong.  Reports the outcome of every hold request (a long poll that renews leases
 * and acknowledges ends) to the leader, per executor in the order of the requests.
 */
#pragma once

#include "peer/peer.pb-c.h"

#include <glib.h>
#include <stdbool.h>

typedef struct agent agent_t;

/* Sends a frame to the leader; returns false when there is no connection. */
typedef bool (*agent_send_t) (const Mimosastair__Frame *frame, void *data);

/* `lease_ms` is the duration of the leases that executors are given; `advice_address` is "IP:PORT",
 * or "" without an advice service.  `send` is called with `data`. */
agent_t *agent_new (guint lease_ms, const char *advice_address, agent_send_t send, void *data);

/* No call to an executor or to the advice service may be in flight. */
void agent_free (agent_t *agent);

/* Sets the leader's first fencing token (decide/fence_token.h) and
 * the time, on this VM's clock, at which its lease expires. */
void agent_set_leadership (agent_t *agent, gint64 fence, gint64 valid_until_us);

/* Processes the assignments, orders and advice requests in a frame from the leader. */
void agent_handle_frame (agent_t *agent, const Mimosastair__Frame *frame);

/* Releases all executors, and discards the results of calls in progress and the texts of orders.
 * Must be called when the connection to the leader is lost. */
void agent_reset (agent_t *agent);

/* Returns the number of executors assigned to this VM. */
guint agent_executor_count (const agent_t *agent);
