/* Settings of mimosastaird. */
#pragma once

#include "base/settings.h"

typedef struct
{
  char *vm;
  char *zone;
  char *listen;
  char *operator_listen;
  char *platform_kv;
  char *platform_list;
  char *log_level;
  gint64 seats;
  gint64 list_interval_ms;
  gint64 kv_timeout_s;
  gint64 kv_writes_per_s;
  gint64 idempotency_retention_s;
  gint64 max_connections;
  gint64 max_header_bytes;
  gint64 max_body_bytes;
  gint64 read_timeout_ms;
  gint64 drain_delay_ms;
  gint64 drain_timeout_ms;
} daemon_options_t;

/* Fills `options`; see settings_load().  Free the contents with daemon_options_clear(). */
bool daemon_options_load (daemon_options_t *options,
                          int argc,
                          char **argv,
                          settings_result_t *result,
                          error_info_t *error);
void daemon_options_clear (daemon_options_t *options);

void daemon_options_print_help (FILE *out);
