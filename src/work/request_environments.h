/* The environments of the requests: versions, executors and state machines.
 *
 * Each environment has a router to its executors and a state machine (decide/request.h) for each
 * generation of its classes and customers.  The actions that a state machine returns are executed
 * by the owner.
 */
#pragma once

#include "backend/executor_client.h"
#include "base/json.h"
#include "base/list.h"
#include "decide/members.h"

typedef struct request_environments request_environments_t;

/* The state of one environment. */
typedef struct request_environment request_environment_t;

/* A state machine for one set of classes and customers.  A version of the environment that
 * request_core_set_environment() refuses starts a new generation, and the older ones drain.  A
 * generation exists as long as it has open requests. */
typedef struct
{
  list_node_t node;
  request_core_t *core;
  environment_t *environment;
} request_generation_t;

/* `executor_client` is borrowed. */
request_environments_t *request_environments_new (const char *zone,
                                                  executor_client_t *executor_client);
void request_environments_free (request_environments_t *environments); /* accepts NULL */

/* Puts the environment in force, unless this version or a newer one is in force already.  Takes a
 * reference. */
void request_environments_set (request_environments_t *environments, environment_t *environment);

/* Updates the executors from a newer VM list; borrowed for the call. */
void request_environments_set_member_list (request_environments_t *environments,
                                           const member_list_t *list);

/* Sets the number of seats in the cluster and of those in use.  Returns false without effect if
 * both are as before. */
bool request_environments_set_seats (request_environments_t *environments,
                                     guint seats,
                                     guint seats_used);

/* Executes the request_action_t in `actions`, in order. */
typedef void (*request_actions_executor_t) (GArray *actions, void *data);

/* Expires deadlines and dispatches queued requests; then frees the generations that have
 * drained. */
void request_environments_tick (request_environments_t *environments,
                                gint64 now_us,
                                request_actions_executor_t execute,
                                void *data);

/* Appends an array with the version, executors, counters and classes of each environment. */
void request_environments_describe (const request_environments_t *environments,
                                    JsonBuilder *builder);

/* Returns the environment, or NULL.  Borrowed; environments are never removed. */
request_environment_t *request_environments_find (const request_environments_t *environments,
                                                  const char *name);

const char *request_environment_name (const request_environment_t *environment);

/* Returns the newest generation; NULL if no version is in force, or for NULL. */
request_generation_t *request_environment_newest (const request_environment_t *environment);

/* Returns the address of the executor with this index in the router.  Borrowed. */
const char *request_environment_address (const request_environment_t *environment, int executor);

/* Handles an executor, by its index in the router, that announces that it is leaving. */
void request_environment_set_leaving (request_environment_t *environment, int executor);
