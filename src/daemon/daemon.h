/* Wires the tasks of one entry VM together and runs them until SIGTERM. */
#pragma once

#include "daemon/options.h"

typedef struct daemon_state daemon_t;

/* Starts every task; NULL when an address cannot be listened on. */
daemon_t *daemon_new (const options_t *options, error_info_t *error);

/* Runs until a graceful stop is complete. */
void daemon_run (daemon_t *daemon);
void daemon_free (daemon_t *daemon);
