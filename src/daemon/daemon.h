/* Connects the components of an entry VM and runs them until SIGTERM or SIGINT. */
#pragma once

#include "daemon/options.h"

typedef struct daemon_state daemon_t;

/* Starts all components.  Returns NULL with ERROR_BAD_SETTING if it cannot listen on an address. */
daemon_t *daemon_new (const daemon_options_t *options, error_info_t *error);

/* Runs until the graceful shutdown is complete.  Returns false and sets `error` if a port stays in
 * use. */
bool daemon_run (daemon_t *daemon, error_info_t *error);
void daemon_free (daemon_t *daemon);
