/* Last log line of a process that a signal ends at once.
 *
 * For SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT, SIGTRAP (fatal messages of GLib), SIGQUIT and
 * SIGXCPU (the limit of processor time) the buffered log lines and `event=fatal_signal` are
 * written, with the address that the program failed at, the address at which it is loaded (`base`)
 * and the return addresses of the functions that were being called (`frames`), each as the name of
 * the library, or "program", and the offset that addr2line takes.  Then the signal ends the process
 * as it would have done.
 */
#pragma once

/* Installs the handlers on a stack of their own, so that an exhausted stack is reported too.  A
 * handler that is installed already, as by a sanitizer, stays. */
void fatal_signal_install (void);
