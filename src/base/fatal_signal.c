#include "base/fatal_signal.h"

#include "base/log.h"

#include <signal.h>
#include <stdbool.h>

enum
{
  STACK_BYTES = 64 * 1024
};

typedef struct
{
  int number;
  const char *text;
} fatal_signal_t;

static const fatal_signal_t fatal_signals[] = {
  { SIGSEGV, "event=fatal_signal signal=SEGV" }, { SIGBUS, "event=fatal_signal signal=BUS" },
  { SIGFPE, "event=fatal_signal signal=FPE" },   { SIGILL, "event=fatal_signal signal=ILL" },
  { SIGABRT, "event=fatal_signal signal=ABRT" }, { SIGTRAP, "event=fatal_signal signal=TRAP" },
  { SIGQUIT, "event=fatal_signal signal=QUIT" }, { SIGXCPU, "event=fatal_signal signal=XCPU" },
};

static char stack[STACK_BYTES];

/* Calls only functions that are safe in a signal handler.  SA_RESETHAND has restored the default
 * action, which the second signal takes. */
static void
on_fatal_signal (int number)
{
  for (gsize i = 0; i < G_N_ELEMENTS (fatal_signals); i++)
    {
      if (fatal_signals[i].number == number)
        log_last_line ("process", fatal_signals[i].text);
    }
  (void) raise (number);
}

/* Keeps a stack for signal handlers that is set already. */
static bool
set_signal_stack (void)
{
  stack_t own_stack = { .ss_sp = stack, .ss_size = sizeof stack };
  stack_t previous;

  if (sigaltstack (NULL, &previous) != 0)
    return false;
  return (previous.ss_flags & SS_DISABLE) == 0 || sigaltstack (&own_stack, NULL) == 0;
}

void
fatal_signal_install (void)
{
  if (!set_signal_stack ())
    return;
  for (gsize i = 0; i < G_N_ELEMENTS (fatal_signals); i++)
    {
      struct sigaction action
          = { .sa_handler = on_fatal_signal, .sa_flags = SA_ONSTACK | (int) SA_RESETHAND };
      struct sigaction previous;

      if (sigaction (fatal_signals[i].number, NULL, &previous) == 0
          && (previous.sa_flags & SA_SIGINFO) == 0 && previous.sa_handler == SIG_DFL)
        (void) sigaction (fatal_signals[i].number, &action, NULL);
    }
}
