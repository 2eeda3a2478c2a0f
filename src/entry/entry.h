/* The entry daemon: takes customers' jobs, and decides for its domain or carries out the
 * orders of the VM that does. */
#pragma once

#include "entry/options.h"

typedef struct entry entry_t;

/* NULL with the reason when an address cannot be listened on. */
entry_t *entry_new (const entry_options_t *options, error_info_t *error);
void entry_free (entry_t *entry);

/* Runs until SIGTERM or SIGINT has been served. */
void entry_run (entry_t *entry);

/* Reads the command line and runs the daemon; returns its exit status. */
int entry_main (int argc, char **argv);
