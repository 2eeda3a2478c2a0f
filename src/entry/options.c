#include "entry/options.h"

#include "base/memory_budget.h"

enum
{
  NAME_BYTES_MAX = 255,
  DOMAIN_BYTES_MAX = 63 /* part of a key of the store */
};

static entry_options_t loaded;

static const setting_t settings[] = {
  { .flag = "vm",
    .kind = SETTING_STRING,
    .value = &loaded.vm,
    .min = 1,
    .max = NAME_BYTES_MAX,
    .placeholder = "ID",
    .help = "name of this VM, unique among the entry VMs" },
  { .flag = "zone",
    .kind = SETTING_STRING,
    .value = &loaded.zone,
    .min = 1,
    .max = NAME_BYTES_MAX,
    .placeholder = "ZONE",
    .help = "availability zone of this VM" },
  { .flag = "listen",
    .kind = SETTING_ADDRESS,
    .value = &loaded.listen,
    .fallback = "127.0.0.1:8080",
    .placeholder = "IP:PORT",
    .help = "address for customers" },
  { .flag = "ready-listen",
    .kind = SETTING_ADDRESS,
    .value = &loaded.ready_listen,
    .fallback = "127.0.0.1:8081",
    .placeholder = "IP:PORT",
    .help = "address for the load balancer's readiness check" },
  { .flag = "peer-listen",
    .kind = SETTING_ADDRESS,
    .value = &loaded.peer_listen,
    .fallback = "127.0.0.1:8082",
    .placeholder = "IP:PORT",
    .help = "address for other entry VMs" },
  { .flag = "metrics-listen",
    .kind = SETTING_ADDRESS,
    .value = &loaded.metrics_listen,
    .fallback = "127.0.0.1:8083",
    .placeholder = "IP:PORT",
    .help = "address for metrics (path /metrics)" },
  { .flag = "store",
    .kind = SETTING_ADDRESS,
    .value = &loaded.store,
    .placeholder = "IP:PORT",
    .help = "address of the platform's key-value service" },
  { .flag = "advice",
    .kind = SETTING_ADDRESS,
    .value = &loaded.advice,
    .fallback = "",
    .placeholder = "IP:PORT",
    .help = "address of the service that advises which executors may run a step; empty: none" },
  { .flag = "domain",
    .kind = SETTING_STRING,
    .value = &loaded.domain,
    .fallback = "all",
    .min = 1,
    .max = DOMAIN_BYTES_MAX,
    .placeholder = "NAME",
    .help = "scheduling domain that this VM may lead, the same on all its VMs" },
  { .flag = "log-level",
    .kind = SETTING_STRING,
    .value = &loaded.log_level,
    .fallback = "info",
    .min = 4,
    .max = 7,
    .placeholder = "LEVEL",
    .help = "error, warning, info or debug" },
  { .flag = "cores",
    .kind = SETTING_DECIMAL,
    .value = &loaded.cpu_milli,
    .fallback = "1",
    .min = 1,
    .max = 1000000,
    .takes_nearest_bound = true,
    .placeholder = "COUNT",
    .help
    = "cores, or fraction of one, of this VM; determines its share of the work, and the largest "
      "VMs lead" },
  { .flag = "hold-ms",
    .kind = SETTING_INTEGER,
    .value = &loaded.hold_ms,
    .fallback = "5000",
    .min = 1000,
    .max = 600000,
    .takes_nearest_bound = true,
    .placeholder = "MS",
    .help = "duration of the leases granted to executors, the same on all VMs" },
  { .flag = "hold-max-ms",
    .kind = SETTING_INTEGER,
    .value = &loaded.hold_max_ms,
    .fallback = "10000",
    .min = 1,
    .max = 86400000,
    .takes_nearest_bound = true,
    .placeholder = "MS",
    .help = "maximum lease duration that executors accept" },
  { .flag = "gang-wait-ms",
    .kind = SETTING_INTEGER,
    .value = &loaded.gang_wait_ms,
    .fallback = "3000",
    .min = 0,
    .max = 86400000,
    .takes_nearest_bound = true,
    .placeholder = "MS",
    .help = "time that the members of a gang wait for each other" },
  { .flag = "remote-factor",
    .kind = SETTING_DECIMAL,
    .value = &loaded.remote_factor_milli,
    .fallback = "2",
    .min = 0,
    .max = 1000000,
    .takes_nearest_bound = true,
    .placeholder = "FACTOR",
    .help = "runtime of work spread over racks or remote from its data, relative to local work" },
  { .flag = "claim-ttl-ms",
    .kind = SETTING_INTEGER,
    .value = &loaded.claim_ttl_ms,
    .fallback = "2000",
    .min = 1000,
    .max = 60000,
    .takes_nearest_bound = true,
    .placeholder = "MS",
    .help = "time after which another VM takes over when the leader is lost, the same on all VMs" },
  { .flag = "max-connections",
    .kind = SETTING_INTEGER,
    .value = &loaded.max_connections,
    .fallback = "2000",
    .min = 1,
    .max = 100000,
    .takes_nearest_bound = true,
    .placeholder = "COUNT",
    .help = "maximum number of connections from customers" },
  { .flag = "max-descriptors",
    .kind = SETTING_INTEGER,
    .value = &loaded.max_descriptors,
    .fallback = "0",
    .min = 0,
    .max = 1000000,
    .takes_nearest_bound = true,
    .placeholder = "COUNT",
    .help = "descriptors that this VM may use, 200 of them for files; 0: the process's limit" },
  { .flag = "memory-mb",
    .kind = SETTING_INTEGER,
    .value = &loaded.memory_mb,
    .fallback = "256",
    .min = MEMORY_MIN_MB,
    .max = MEMORY_MAX_MB,
    .takes_nearest_bound = true,
    .placeholder = "MB",
    .help = "memory that the process may use; requests and answers are refused before it is full" },
  { .flag = "revoke-ms",
    .kind = SETTING_INTEGER,
    .value = &loaded.revoke_ms,
    .fallback = "5000",
    .min = 0,
    .max = 600000,
    .takes_nearest_bound = true,
    .placeholder = "MS",
    .help = "time after which --revoke-strict refuses keys that are not known to be in force" },
  { .flag = "revoke-strict",
    .kind = SETTING_SWITCH,
    .value = &loaded.revoke_strict,
    .fallback = "0",
    .help = "refuse requests with keys while the newest desired state is not known" },
  { .flag = "learn-run-times",
    .kind = SETTING_SWITCH,
    .value = &loaded.learn_run_times,
    .fallback = "0",
    .help = "order and place work by run times learned from finished tasks" },
  { .flag = "learn-speeds",
    .kind = SETTING_SWITCH,
    .value = &loaded.learn_speeds,
    .fallback = "0",
    .help = "place work by the speeds of executors learned from finished tasks" },
  { .flag = "drain-delay-ms",
    .kind = SETTING_INTEGER,
    .value = &loaded.drain_delay_ms,
    .fallback = "2500",
    .min = 0,
    .max = 60000,
    .takes_nearest_bound = true,
    .placeholder = "MS",
    .help = "time after SIGTERM during which requests are still accepted while the load balancer "
            "notices" },
  { .flag = "drain-timeout-ms",
    .kind = SETTING_INTEGER,
    .value = &loaded.drain_timeout_ms,
    .fallback = "3000",
    .min = 100,
    .max = 600000,
    .takes_nearest_bound = true,
    .placeholder = "MS",
    .help = "time limit after that for requests in progress to finish" },
};

bool
entry_options_load (
    entry_options_t *options, int argc, char **argv, settings_result_t *result, error_info_t *error)
{
  bool ok = settings_load (settings, G_N_ELEMENTS (settings), argc, argv, result, error);

  *options = loaded;
  return ok;
}

void
entry_options_clear (entry_options_t *options)
{
  g_free (options->vm);
  g_free (options->zone);
  g_free (options->listen);
  g_free (options->ready_listen);
  g_free (options->peer_listen);
  g_free (options->metrics_listen);
  g_free (options->store);
  g_free (options->advice);
  g_free (options->domain);
  g_free (options->log_level);
}

void
entry_options_print_help (FILE *out)
{
  (void) fprintf (out,
                  "usage: mimosastaird entry --vm=ID --zone=ZONE --store=IP:PORT [FLAG...]\n\n"
                  "Entry VM of a scheduling domain: accepts jobs, and either leads the domain\n"
                  "or carries out the leader's orders.\n\n");
  settings_print_help (settings, G_N_ELEMENTS (settings), out);
}
