/* The entry daemon: accepts customers' jobs, competes for the leadership of its scheduling domain,
 * and carries out the orders of the leader, which may be this VM. */
#pragma once

#include "entry/options.h"

typedef struct entry entry_t;

/* Returns NULL and sets `error` when an address cannot be listened on.  The strings of `options`
 * are borrowed. */
entry_t *entry_new (const entry_options_t *options, error_info_t *error);

/* No request or call may be in progress, so an entry that has run is not freed. */
void entry_free (entry_t *entry);

/* Runs until SIGTERM or SIGINT arrives and open requests have finished or timed out.  Returns false
 * and sets `error` if a port stays in use. */
bool entry_run (entry_t *entry, error_info_t *error);

/* Parses the command line and runs the daemon; returns the exit status. */
int entry_main (int argc, char **argv);
