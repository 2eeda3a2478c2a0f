/* Simulation of the routing policies in virtual time: several entry VMs that share no state,
 * and executors with slots and a queue, one in ten of them slow.  Runs only the routing
 * decisions and prints waiting times and the elapsed time of a decision as name=value lines.
 */
#include "base/histogram.h"
#include "decide/router.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  VMS = 8,
  EXECUTORS = 50,
  SLOTS = 8,
  CONNECTIONS = 64,
  ZONES = 4,
  SLOW_EVERY = 10,
  SLOW_FACTOR = 5,
  REQUESTS = 200000
};

static const double mean_service_us = 20000;

/* One request, which is in the queue of its VM, in the queue of an executor, or in a slot. */
typedef struct
{
  gint64 arrived_us;
  gint64 sent_us;
  gint64 end_us;
  int vm;
  int executor;
} simulated_request_t;

typedef struct
{
  router_t *routers[VMS];
  GQueue vm_queues[VMS];
  GQueue executor_queues[EXECUTORS];
  int busy_slots[EXECUTORS];
  GSequence *completions; /* simulated_request_t by end_us */
  guint64 random;
  histogram_t wait_times;
  histogram_t total_times;
  guint64 exceeded;    /* requests sent to an executor whose slots were all in use */
  guint64 exceeded_us; /* total time that they spent in its queue */
} simulation_t;

static guint32
next_random (simulation_t *simulation)
{
  simulation->random
      = simulation->random * G_GUINT64_CONSTANT (6364136223846793005) + 1442695040888963407U;
  return (guint32) (simulation->random >> 32U);
}

static double
random_exponential (simulation_t *simulation, double mean)
{
  return -log (((double) next_random (simulation) + 1.0) / 4294967297.0) * mean;
}

static int
compare_end_times (gconstpointer a, gconstpointer b, gpointer data G_GNUC_UNUSED)
{
  gint64 difference
      = ((const simulated_request_t *) a)->end_us - ((const simulated_request_t *) b)->end_us;

  return difference < 0 ? -1 : difference > 0;
}

/* Creates the router of one entry VM in a cluster where every seat is in use. */
static router_t *
make_router (int vm, guint executors, router_policy_t policy)
{
  char zone[8];
  router_t *router;

  (void) g_snprintf (zone, sizeof zone, "z%d", vm % ZONES);
  router = router_new (zone, policy, NULL);
  router_set_seats (router, VMS, VMS);
  for (guint i = 0; i < executors; i++)
    {
      char id[16];

      (void) g_snprintf (id, sizeof id, "e%u", i);
      (void) g_snprintf (zone, sizeof zone, "z%u", i % ZONES);
      router_update (router, id, zone, EXECUTOR_LIVE, SLOTS, CONNECTIONS);
    }
  return router;
}

static void
start_service (simulation_t *simulation, simulated_request_t *request, gint64 now_us)
{
  double mean_us
      = request->executor % SLOW_EVERY == 0 ? mean_service_us * SLOW_FACTOR : mean_service_us;

  simulation->busy_slots[request->executor]++;
  request->end_us = now_us + (gint64) random_exponential (simulation, mean_us);
  histogram_add (&simulation->wait_times, (guint64) (now_us - request->arrived_us));
  g_sequence_insert_sorted (simulation->completions, request, compare_end_times, NULL);
}

/* Sends the queued requests of the VM until its router finds no usable executor. */
static void
dispatch_queue (simulation_t *simulation, int vm, gint64 now_us)
{
  while (simulation->vm_queues[vm].length > 0)
    {
      int executor
          = router_pick (simulation->routers[vm], ROUTER_NONE, now_us, next_random (simulation));
      simulated_request_t *request;

      if (executor == ROUTER_NONE)
        return;
      request = g_queue_pop_head (&simulation->vm_queues[vm]);
      request->executor = executor;
      request->sent_us = now_us;
      if (simulation->busy_slots[executor] < SLOTS)
        {
          start_service (simulation, request, now_us);
          continue;
        }
      simulation->exceeded++;
      g_queue_push_tail (&simulation->executor_queues[executor], request);
    }
}

static void
end_service (simulation_t *simulation, simulated_request_t *request)
{
  gint64 now_us = request->end_us;
  simulated_request_t *next = g_queue_pop_head (&simulation->executor_queues[request->executor]);

  simulation->busy_slots[request->executor]--;
  histogram_add (&simulation->total_times, (guint64) (now_us - request->arrived_us));
  router_request_done (simulation->routers[request->vm], request->executor, ROUTER_ANSWERED,
                       now_us - request->sent_us, now_us);
  if (next != NULL)
    {
      simulation->exceeded_us += (guint64) (now_us - next->sent_us);
      start_service (simulation, next, now_us);
    }
  dispatch_queue (simulation, request->vm, now_us);
  g_free (request);
}

static void
simulation_clear (simulation_t *simulation)
{
  for (int vm = 0; vm < VMS; vm++)
    {
      router_free (simulation->routers[vm]);
      g_queue_clear_full (&simulation->vm_queues[vm], g_free);
    }
  for (int i = 0; i < EXECUTORS; i++)
    g_queue_clear_full (&simulation->executor_queues[i], g_free);
  g_sequence_free (simulation->completions);
}

/* Returns the requests per microsecond that all executors can serve; a slow one serves fewer. */
static double
capacity_per_us (void)
{
  double capacity = 0;

  for (int i = 0; i < EXECUTORS; i++)
    capacity += SLOTS / (i % SLOW_EVERY == 0 ? mean_service_us * SLOW_FACTOR : mean_service_us);
  return capacity;
}

static void
simulate (const char *name, router_policy_t policy, int load_pct)
{
  static simulation_t simulation;
  double mean_interarrival_us = 1.0 / (capacity_per_us () * load_pct / 100.0);
  double now_us = 1e6;

  simulation = (simulation_t){ .random = 42, .completions = g_sequence_new (g_free) };
  for (int vm = 0; vm < VMS; vm++)
    simulation.routers[vm] = make_router (vm, EXECUTORS, policy);
  for (int i = 0; i < REQUESTS; i++)
    {
      simulated_request_t *request = g_new0 (simulated_request_t, 1);
      GSequenceIter *first;

      now_us += random_exponential (&simulation, mean_interarrival_us);
      first = g_sequence_get_begin_iter (simulation.completions);
      while (!g_sequence_iter_is_end (first)
             && ((simulated_request_t *) g_sequence_get (first))->end_us <= (gint64) now_us)
        {
          simulated_request_t *ended = g_memdup2 (g_sequence_get (first), sizeof *ended);

          g_sequence_remove (first);
          end_service (&simulation, ended);
          first = g_sequence_get_begin_iter (simulation.completions);
        }
      request->arrived_us = (gint64) now_us;
      /* The load balancer spreads the callers evenly over the VMs. */
      request->vm = i % VMS;
      g_queue_push_tail (&simulation.vm_queues[request->vm], request);
      dispatch_queue (&simulation, request->vm, (gint64) now_us);
    }
  (void) printf ("route_%s_load%d_wait_p50_us=%" G_GUINT64_FORMAT
                 "\nroute_%s_load%d_wait_p99_us=%" G_GUINT64_FORMAT
                 "\nroute_%s_load%d_exceeded_pct=%.3f\nroute_%s_load%d_exceeded_mean_us=%.0f\n",
                 name, load_pct, (guint64) histogram_quantile (&simulation.wait_times, 0.5), name,
                 load_pct, (guint64) histogram_quantile (&simulation.wait_times, 0.99), name,
                 load_pct, 100.0 * (double) simulation.exceeded / REQUESTS, name, load_pct,
                 simulation.exceeded > 0
                     ? (double) simulation.exceeded_us / (double) simulation.exceeded
                     : 0.0);
  (void) printf ("route_%s_load%d_total_p50_us=%" G_GUINT64_FORMAT
                 "\nroute_%s_load%d_total_p99_us=%" G_GUINT64_FORMAT "\n",
                 name, load_pct, (guint64) histogram_quantile (&simulation.total_times, 0.5), name,
                 load_pct, (guint64) histogram_quantile (&simulation.total_times, 0.99));
  simulation_clear (&simulation);
}

/* Prints the elapsed time of one decision.  Two seats are in use, so that the VM may use half
 * of each executor's slots. */
static void
time_decision (guint executors)
{
  const int rounds = 20000;
  router_t *router = make_router (0, executors, router_policy_least_time);
  histogram_t times = { .count = 0 };
  int *picked_executors = g_new0 (int, rounds);

  router_set_seats (router, VMS, 2);
  for (int i = 0; i < rounds; i++)
    {
      gint64 start_us = g_get_monotonic_time ();

      /* Times ten decisions together, since one is shorter than the resolution of the clock; the
       * histogram gets the mean in ns. */
      for (int copy = 0; copy < 10; copy++)
        {
          picked_executors[i]
              = router_pick (router, ROUTER_NONE, start_us, (guint32) (i * 7919 + copy));
          if (picked_executors[i] != ROUTER_NONE)
            router_request_done (router, picked_executors[i], ROUTER_ANSWERED, 1000 + i % 700,
                                 start_us);
        }
      histogram_add (&times, (guint64) ((g_get_monotonic_time () - start_us) * 100));
    }
  (void) printf ("route_decision_%u_p50_us=%.2f\nroute_decision_%u_p99_us=%.2f\n", executors,
                 (double) histogram_quantile (&times, 0.5) / 1000.0, executors,
                 (double) histogram_quantile (&times, 0.99) / 1000.0);
  g_free (picked_executors);
  router_free (router);
}

int
main (void)
{
  static const int load_percentages[] = { 50, 80, 95 };

  for (guint i = 0; i < G_N_ELEMENTS (load_percentages); i++)
    {
      simulate ("random", router_policy_random, load_percentages[i]);
      simulate ("two_choices", router_policy_two_choices, load_percentages[i]);
      simulate ("own", router_policy_least_time, load_percentages[i]);
    }
  time_decision (50);
  time_decision (250);
  time_decision (500);
  time_decision (1000);
  return 0;
}
