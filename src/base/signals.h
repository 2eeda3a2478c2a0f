/* Signals of a daemon, from the first instruction of main() on.
 *
 * SIGHUP, SIGINT and SIGTERM are blocked until their handlers exist, so that none of them is lost
 * or ends a process that has just started.  Signals that no one sends a daemon on purpose are
 * ignored; without that, most of them would end it.  The others keep their default actions.
 */
#pragma once

/* Blocks and ignores signals as above.  Called first, and before any other thread exists: a thread
 * inherits what its creator blocks.  A handler that is installed already stays. */
void signals_prepare (void);

/* Delivers what was blocked.  Called once the handlers of SIGHUP, SIGINT and SIGTERM are installed.
 */
void signals_accept (void);
