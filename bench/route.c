/* Routing rules in virtual time: several entry VMs that share no state, executors with
 * slots and a queue, one executor in ten slow.  Drives the decisions alone and prints
 * waiting times and the processor time of a decision as name=value lines.
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

static const double service_us = 20000;

/* One request, in one of three places: its VM's queue, an executor's, or a slot. */
typedef struct
{
  gint64 arrived_us;
  gint64 sent_us;
  gint64 end_us;
  int vm;
  int executor;
} item_t;

typedef struct
{
  router_t *routers[VMS];
  GQueue vm_queues[VMS];
  GQueue executor_queues[EXECUTORS];
  int busy[EXECUTORS];
  GSequence *ends; /* item_t by end_us */
  guint64 random;
  histogram_t waits;
  histogram_t totals;
  guint64 exceeded;
  guint64 exceeded_us;
} world_t;

static guint32
next_random (world_t *world)
{
  world->random = world->random * G_GUINT64_CONSTANT (6364136223846793005) + 1442695040888963407U;
  return (guint32) (world->random >> 32U);
}

static double
exponential (world_t *world, double mean)
{
  return -log (((double) next_random (world) + 1.0) / 4294967297.0) * mean;
}

static int
by_end (gconstpointer a, gconstpointer b, gpointer data G_GNUC_UNUSED)
{
  gint64 difference = ((const item_t *) a)->end_us - ((const item_t *) b)->end_us;

  return difference < 0 ? -1 : difference > 0;
}

/* Routers of a cell with every seat in use. */
static router_t *
make_router (int vm, guint executors, router_policy_t rule)
{
  char zone[8];
  router_t *router;

  (void) g_snprintf (zone, sizeof zone, "z%d", vm % ZONES);
  router = router_new (zone, rule, NULL);
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
start_service (world_t *world, item_t *item, gint64 now_us)
{
  double mean = item->executor % SLOW_EVERY == 0 ? service_us * SLOW_FACTOR : service_us;

  world->busy[item->executor]++;
  item->end_us = now_us + (gint64) exponential (world, mean);
  histogram_add (&world->waits, (guint64) (now_us - item->arrived_us));
  g_sequence_insert_sorted (world->ends, item, by_end, NULL);
}

/* Sends what the VM's queue holds while its router allows. */
static void
pump (world_t *world, int vm, gint64 now_us)
{
  while (world->vm_queues[vm].length > 0)
    {
      int executor = router_pick (world->routers[vm], ROUTER_NONE, now_us, next_random (world));
      item_t *item;

      if (executor == ROUTER_NONE)
        return;
      item = g_queue_pop_head (&world->vm_queues[vm]);
      item->executor = executor;
      item->sent_us = now_us;
      if (world->busy[executor] < SLOTS)
        {
          start_service (world, item, now_us);
          continue;
        }
      world->exceeded++;
      g_queue_push_tail (&world->executor_queues[executor], item);
    }
}

static void
end_service (world_t *world, item_t *item)
{
  gint64 now_us = item->end_us;
  item_t *next = g_queue_pop_head (&world->executor_queues[item->executor]);

  world->busy[item->executor]--;
  histogram_add (&world->totals, (guint64) (now_us - item->arrived_us));
  router_request_done (world->routers[item->vm], item->executor, ROUTER_ANSWERED,
                       now_us - item->sent_us, now_us);
  if (next != NULL)
    {
      world->exceeded_us += (guint64) (now_us - next->sent_us);
      start_service (world, next, now_us);
    }
  pump (world, item->vm, now_us);
  g_free (item);
}

static void
world_clear (world_t *world)
{
  for (int vm = 0; vm < VMS; vm++)
    {
      router_free (world->routers[vm]);
      g_queue_clear_full (&world->vm_queues[vm], g_free);
    }
  for (int i = 0; i < EXECUTORS; i++)
    g_queue_clear_full (&world->executor_queues[i], g_free);
  g_sequence_free (world->ends);
}

/* Slots' worth of service that the cell gives: a slow executor gives less. */
static double
capacity_per_us (void)
{
  double capacity = 0;

  for (int i = 0; i < EXECUTORS; i++)
    capacity += SLOTS / (i % SLOW_EVERY == 0 ? service_us * SLOW_FACTOR : service_us);
  return capacity;
}

static void
run (const char *name, router_policy_t rule, int load_pct)
{
  static world_t world;
  double between_us = 1.0 / (capacity_per_us () * load_pct / 100.0);
  double now = 1e6;

  world = (world_t){ .random = 42, .ends = g_sequence_new (g_free) };
  for (int vm = 0; vm < VMS; vm++)
    world.routers[vm] = make_router (vm, EXECUTORS, rule);
  for (int i = 0; i < REQUESTS; i++)
    {
      item_t *item = g_new0 (item_t, 1);
      GSequenceIter *first;

      now += exponential (&world, between_us);
      first = g_sequence_get_begin_iter (world.ends);
      while (!g_sequence_iter_is_end (first)
             && ((item_t *) g_sequence_get (first))->end_us <= (gint64) now)
        {
          item_t *ended = g_memdup2 (g_sequence_get (first), sizeof *ended);

          g_sequence_remove (first);
          end_service (&world, ended);
          first = g_sequence_get_begin_iter (world.ends);
        }
      item->arrived_us = (gint64) now;
      /* The balancer spreads callers evenly. */
      item->vm = i % VMS;
      g_queue_push_tail (&world.vm_queues[item->vm], item);
      pump (&world, item->vm, (gint64) now);
    }
  (void) printf ("route_%s_load%d_wait_p50_us=%" G_GUINT64_FORMAT
                 "\nroute_%s_load%d_wait_p99_us=%" G_GUINT64_FORMAT
                 "\nroute_%s_load%d_exceeded_pct=%.3f\nroute_%s_load%d_exceeded_mean_us=%.0f\n",
                 name, load_pct, (guint64) histogram_quantile (&world.waits, 0.5), name, load_pct,
                 (guint64) histogram_quantile (&world.waits, 0.99), name, load_pct,
                 100.0 * (double) world.exceeded / REQUESTS, name, load_pct,
                 world.exceeded > 0 ? (double) world.exceeded_us / (double) world.exceeded : 0.0);
  (void) printf ("route_%s_load%d_total_p50_us=%" G_GUINT64_FORMAT
                 "\nroute_%s_load%d_total_p99_us=%" G_GUINT64_FORMAT "\n",
                 name, load_pct, (guint64) histogram_quantile (&world.totals, 0.5), name, load_pct,
                 (guint64) histogram_quantile (&world.totals, 0.99));
  world_clear (&world);
}

/* Processor time of one decision, with the executors half busy. */
static void
time_decision (guint executors)
{
  const int rounds = 20000;
  router_t *router = make_router (0, executors, router_policy_least_time);
  histogram_t times = { .count = 0 };
  int *picked = g_new0 (int, rounds);

  router_set_seats (router, VMS, 2);
  for (int i = 0; i < rounds; i++)
    {
      gint64 start = g_get_monotonic_time ();

      /* Ten at a time, since one is shorter than the clock's tick. */
      for (int copy = 0; copy < 10; copy++)
        {
          picked[i] = router_pick (router, ROUTER_NONE, start, (guint32) (i * 7919 + copy));
          if (picked[i] != ROUTER_NONE)
            router_request_done (router, picked[i], ROUTER_ANSWERED, 1000 + i % 700, start);
        }
      histogram_add (&times, (guint64) ((g_get_monotonic_time () - start) * 100));
    }
  (void) printf ("route_decision_%u_p50_us=%.2f\nroute_decision_%u_p99_us=%.2f\n", executors,
                 (double) histogram_quantile (&times, 0.5) / 1000.0, executors,
                 (double) histogram_quantile (&times, 0.99) / 1000.0);
  g_free (picked);
  router_free (router);
}

int
main (void)
{
  static const int loads[] = { 50, 80, 95 };

  for (guint i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      run ("random", router_policy_random, loads[i]);
      run ("two_choices", router_policy_two_choices, loads[i]);
      run ("own", router_policy_least_time, loads[i]);
    }
  time_decision (50);
  time_decision (250);
  time_decision (500);
  time_decision (1000);
  return 0;
}
