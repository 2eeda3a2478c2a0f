/* Settings of the entry daemon. */
#pragma once

#include "base/settings.h"

typedef struct
{
  char *vm;
  char *zone;
  char *listen;
  char *ready_listen;
  char *peer_listen;
  char *metrics_listen;
  char *store;
  char *advice;
  char *domain;
  char *log_level;
  gint64 cpu_milli;   /* thousandths of a core */
  gint64 hold_ms;     /* duration of executors' leases */
  gint64 hold_max_ms; /* maximum that executors accept */
  gint64 gang_wait_ms;
  gint64 remote_factor_milli;
  gint64 claim_ttl_ms; /* duration of the leader's lease */
  gint64 max_connections;
  gint64 max_descriptors; /* 0: the process's limit */
  gint64 memory_mb;       /* what the process may use */
  gint64 revoke_ms;       /* see `revoke_strict` */
  gboolean revoke_strict; /* refuse keys that were not confirmed within `revoke_ms` */
  gboolean learn_run_times;
  gboolean learn_speeds;
  gint64 drain_delay_ms;
  gint64 drain_timeout_ms;
} entry_options_t;

/* Parses the command line.  Returns false and sets `error` on bad usage.  The strings of `options`
 * are freed by entry_options_clear(). */
bool entry_options_load (entry_options_t *options,
                         int argc,
                         char **argv,
                         settings_result_t *result,
                         error_info_t *error);
void entry_options_clear (entry_options_t *options);
void entry_options_print_help (FILE *out);
