#include "base/signals.h"

#include <glib.h>
#include <signal.h>

static const int ignored_signals[]
    = { SIGPIPE, SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO, SIGPWR, SIGSTKFLT, SIGXFSZ };

static sigset_t
handled_signals (void)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGHUP);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGTERM);
  return set;
}

static void
ignore (int number)
{
  struct sigaction action = { .sa_handler = SIG_IGN };
  struct sigaction previous;

  if (sigaction (number, NULL, &previous) == 0 && (previous.sa_flags & SA_SIGINFO) == 0
      && previous.sa_handler == SIG_DFL)
    (void) sigaction (number, &action, NULL);
}

void
signals_prepare (void)
{
  sigset_t handled = handled_signals ();

  (void) pthread_sigmask (SIG_BLOCK, &handled, NULL);
  for (gsize i = 0; i < G_N_ELEMENTS (ignored_signals); i++)
    ignore (ignored_signals[i]);
}

void
signals_accept (void)
{
  sigset_t handled = handled_signals ();

  (void) pthread_sigmask (SIG_UNBLOCK, &handled, NULL);
}
