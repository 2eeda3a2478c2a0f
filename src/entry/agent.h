/* Carries out the decider's orders at the executors that this VM was given.
 *
 * Renews leases and starts runs only while the decider's claim is valid, as the last
 * pong said.  Every hold of an executor is answered to the decider, in order.
 */
#pragma once

#include "peer/peer.pb-c.h"

#include <glib.h>
#include <stdbool.h>

typedef struct agent agent_t;

/* Sends a frame to the decider; false when there is no connection. */
typedef bool (*agent_send_t) (const Mimosastair__Frame *frame, void *data);

/* `advice_address` is "IP:PORT" or ""; `hold_ms` is the length of leases. */
agent_t *agent_new (guint hold_ms, const char *advice_address, agent_send_t send, void *data);
void agent_free (agent_t *agent);

/* The decider's claim is valid until then, on this VM's clock. */
void agent_set_leadership (agent_t *agent, gint64 fence, gint64 valid_until_us);

/* Takes assignments, orders and calls for advice out of a frame of the decider. */
void agent_handle_frame (agent_t *agent, const Mimosastair__Frame *frame);

/* The connection to the decider is gone: forgets its executors. */
void agent_reset (agent_t *agent);

/* Executors held at present. */
guint agent_executor_count (const agent_t *agent);
