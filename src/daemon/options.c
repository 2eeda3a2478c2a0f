#include "daemon/options.h"

static daemon_options_t loaded_options;

static const setting_t settings[] = {
  { .flag = "vm",
    .kind = SETTING_STRING,
    .value = &loaded_options.vm,
    .min = 1,
    .max = 63,
    .placeholder = "ID",
    .help = "ID of this VM in the platform's list of VMs" },
  { .flag = "zone",
    .kind = SETTING_STRING,
    .value = &loaded_options.zone,
    .min = 1,
    .max = 63,
    .placeholder = "ZONE",
    .help = "availability zone of this VM" },
  { .flag = "listen",
    .kind = SETTING_ADDRESS,
    .value = &loaded_options.listen,
    .fallback = "127.0.0.1:8080",
    .placeholder = "IP:PORT",
    .help = "listen address for callers" },
  { .flag = "operator-listen",
    .kind = SETTING_ADDRESS,
    .value = &loaded_options.operator_listen,
    .fallback = "127.0.0.1:8081",
    .placeholder = "IP:PORT",
    .help = "listen address for operators" },
  { .flag = "platform-kv",
    .kind = SETTING_ADDRESS,
    .value = &loaded_options.platform_kv,
    .placeholder = "IP:PORT",
    .help = "address of the platform's key-value service" },
  { .flag = "platform-list",
    .kind = SETTING_ADDRESS,
    .value = &loaded_options.platform_list,
    .placeholder = "IP:PORT",
    .help = "address of the service with the platform's list of VMs" },
  { .flag = "log-level",
    .kind = SETTING_STRING,
    .value = &loaded_options.log_level,
    .fallback = "info",
    .min = 4,
    .max = 7,
    .placeholder = "LEVEL",
    .help = "least severe level that is logged: error, warning, info or debug" },
  { .flag = "seats",
    .kind = SETTING_INTEGER,
    .value = &loaded_options.seats,
    .fallback = "8",
    .min = 1,
    .max = 64,
    .placeholder = "COUNT",
    .help = "number of entry VMs that may serve at the same time; executors' connections are "
            "divided by it; must be equal on all entry VMs" },
  { .flag = "list-interval-ms",
    .kind = SETTING_INTEGER,
    .value = &loaded_options.list_interval_ms,
    .fallback = "1000",
    .min = 50,
    .max = 60000,
    .placeholder = "MS",
    .help = "interval between reads of the platform's list of VMs" },
  { .flag = "kv-timeout-s",
    .kind = SETTING_INTEGER,
    .value = &loaded_options.kv_timeout_s,
    .fallback = "2",
    .min = 1,
    .max = 60,
    .placeholder = "S",
    .help = "timeout for a response of the key-value service" },
  { .flag = "kv-writes-per-s",
    .kind = SETTING_INTEGER,
    .value = &loaded_options.kv_writes_per_s,
    .fallback = "200",
    .min = 1,
    .max = 100000,
    .placeholder = "COUNT",
    .help = "limit on write transactions per second of all entry VMs together; must be equal on "
            "all entry VMs" },
  { .flag = "idempotency-retention-s",
    .kind = SETTING_INTEGER,
    .value = &loaded_options.idempotency_retention_s,
    .fallback = "3600",
    .min = 60,
    .max = 604800,
    .placeholder = "S",
    .help = "time for which responses to requests with an idempotency key are kept" },
  { .flag = "max-connections",
    .kind = SETTING_INTEGER,
    .value = &loaded_options.max_connections,
    .fallback = "4096",
    .min = 1,
    .max = 100000,
    .placeholder = "COUNT",
    .help = "limit on connections of callers" },
  { .flag = "max-header-bytes",
    .kind = SETTING_INTEGER,
    .value = &loaded_options.max_header_bytes,
    .fallback = "8192",
    .min = 256,
    .max = 65536,
    .placeholder = "BYTES",
    .help = "limit on the headers of a request" },
  { .flag = "max-body-bytes",
    .kind = SETTING_INTEGER,
    .value = &loaded_options.max_body_bytes,
    .fallback = "1048576",
    .min = 0,
    .max = 67108864,
    .placeholder = "BYTES",
    .help = "limit on the body of a request" },
  { .flag = "read-timeout-ms",
    .kind = SETTING_INTEGER,
    .value = &loaded_options.read_timeout_ms,
    .fallback = "30000",
    .min = 100,
    .max = 600000,
    .placeholder = "MS",
    .help = "timeout for a client to send a complete request" },
  { .flag = "drain-delay-ms",
    .kind = SETTING_INTEGER,
    .value = &loaded_options.drain_delay_ms,
    .fallback = "3000",
    .min = 0,
    .max = 60000,
    .placeholder = "MS",
    .help = "time after SIGTERM in which requests are still accepted while the load balancer "
            "learns of the shutdown" },
  { .flag = "drain-timeout-ms",
    .kind = SETTING_INTEGER,
    .value = &loaded_options.drain_timeout_ms,
    .fallback = "30000",
    .min = 100,
    .max = 600000,
    .placeholder = "MS",
    .help = "timeout after the drain delay for requests in progress to complete" },
};

bool
daemon_options_load (daemon_options_t *options,
                     int argc,
                     char **argv,
                     settings_result_t *result,
                     error_info_t *error)
{
  bool ok = settings_load (settings, G_N_ELEMENTS (settings), argc, argv, result, error);

  *options = loaded_options;
  return ok;
}

void
daemon_options_clear (daemon_options_t *options)
{
  g_free (options->vm);
  g_free (options->zone);
  g_free (options->listen);
  g_free (options->operator_listen);
  g_free (options->platform_kv);
  g_free (options->platform_list);
  g_free (options->log_level);
}

void
daemon_options_print_help (FILE *out)
{
  (void) fprintf (out, "usage: mimosastaird --vm=ID --zone=ZONE --platform-kv=IP:PORT "
                       "--platform-list=IP:PORT [FLAG...]\n\n"
                       "Entry daemon of the mimosastair cluster scheduler.\n\n");
  settings_print_help (settings, G_N_ELEMENTS (settings), out);
}
