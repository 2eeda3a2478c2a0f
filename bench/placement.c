/* Benchmark of placement alone.  Prints as name=value lines the elapsed time of a placement in a
 * fleet with running tasks, by the number of workers, and how full a fleet gets.  Simpler policies
 * are measured in the same run for comparison.
 */
#include "base/histogram.h"
#include "decide/job.h"
#include "decide/place.h"

#include <stdio.h>

enum
{
  ROUNDS = 100000,
  TASKS_PER_WORKER = 9
};

typedef struct
{
  int worker;
  resources_t need;
} running_task_t;

typedef int (*policy_t) (placer_t *placer, const resources_t *need, guint32 random);

static guint64 random_state;

static guint32
next_random (void)
{
  random_state = random_state * G_GUINT64_CONSTANT (6364136223846793005) + 1442695040888963407U;
  return (guint32) (random_state >> 32U);
}

/* Half of the workers have three accelerators each: 1,500 on 1,000 workers. */
static placer_t *
make_fleet (guint workers)
{
  placer_t *placer = placer_new ();

  for (guint i = 0; i < workers; i++)
    {
      const resources_t total
          = { .cpu_milli = 32000, .memory_mb = 131072, .accelerators = i % 2 == 0 ? 3 : 0 };
      char id[16];
      char rack[16];

      (void) g_snprintf (id, sizeof id, "w%u", i);
      (void) g_snprintf (rack, sizeof rack, "r%u", i / 6);
      placer_worker (placer, placer_update (placer, id, rack, &total))->usable = true;
    }
  return placer;
}

static resources_t
random_need (void)
{
  return (resources_t){ .cpu_milli = 500 + next_random () % 6000,
                        .memory_mb = 1024 + next_random () % 24000,
                        .accelerators = next_random () % 8 == 0 ? 1 : 0 };
}

static bool
worker_fits (const worker_t *worker, const resources_t *need)
{
  return worker->used.cpu_milli + need->cpu_milli <= worker->total.cpu_milli
         && worker->used.memory_mb + need->memory_mb <= worker->total.memory_mb
         && worker->used.accelerators + need->accelerators <= worker->total.accelerators;
}

/* Places on the first worker that fits, searching from `first_index` and wrapping around; 0 is
 * first fit. */
static int
place_from (placer_t *placer, const resources_t *need, guint first_index)
{
  guint count = placer->workers->len;

  for (guint step = 0; step < count; step++)
    {
      int index = (int) ((first_index + step) % count);

      if (!worker_fits (placer_worker (placer, index), need))
        continue;
      placer_allocate (placer, index, need);
      return index;
    }
  return PLACE_NONE;
}

static int
policy_first_fit (placer_t *placer, const resources_t *need, guint32 random G_GNUC_UNUSED)
{
  return place_from (placer, need, 0);
}

static int
policy_random (placer_t *placer, const resources_t *need, guint32 random)
{
  return place_from (placer, need, random);
}

static int
policy_best_fit (placer_t *placer, const resources_t *need, guint32 random G_GNUC_UNUSED)
{
  return placer_place (placer, need, 0);
}

/* Repeatedly ends a random task and places another one, and prints how long placements take.
 * Returns the mean time of a placement in us. */
static double
time_policy (guint workers, policy_t policy, const char *name)
{
  placer_t *placer = make_fleet (workers);
  guint count = workers * TASKS_PER_WORKER;
  running_task_t *running = g_new0 (running_task_t, count);
  histogram_t times = { .count = 0 };
  gint64 spent_us = 0;
  guint64 refused = 0;

  random_state = 7;
  for (guint i = 0; i < count; i++)
    {
      running[i].need = random_need ();
      running[i].worker = policy (placer, &running[i].need, next_random ());
    }
  for (guint round = 0; round < ROUNDS; round++)
    {
      running_task_t *task = &running[next_random () % count];
      gint64 start_us;

      if (task->worker != PLACE_NONE)
        placer_release (placer, task->worker, &task->need);
      task->need = random_need ();
      start_us = g_get_monotonic_time ();
      task->worker = policy (placer, &task->need, next_random ());
      spent_us += g_get_monotonic_time () - start_us;
      histogram_add (&times, (guint64) (g_get_monotonic_time () - start_us));
      refused += task->worker == PLACE_NONE;
    }
  (void) printf ("placement_%s_%u_per_second=%.0f\nplacement_%s_%u_p99_us=%" G_GUINT64_FORMAT
                 "\nplacement_%s_%u_refused_pct=%.2f\n",
                 name, workers, ROUNDS * 1e6 / (double) MAX (1, spent_us), name, workers,
                 (guint64) histogram_quantile (&times, 0.99), name, workers,
                 100.0 * (double) refused / ROUNDS);
  g_free (running);
  placer_free (placer);
  return (double) spent_us / ROUNDS;
}

/* Fills an empty fleet until `max_failures` placements have failed, and prints the percentage in
 * use of CPU or of memory, whichever is higher; the upper bound is 100. */
static void
pack_fleet (policy_t policy, const char *name)
{
  const guint workers = 300;
  const int max_failures = 2000;
  placer_t *placer = make_fleet (workers);
  gint64 cpu = 0;
  gint64 memory = 0;
  double cpu_fraction;
  double memory_fraction;

  random_state = 11;
  for (int failures = 0; failures < max_failures;)
    {
      resources_t need = random_need ();

      if (policy (placer, &need, next_random ()) == PLACE_NONE)
        {
          failures++;
          continue;
        }
      cpu += need.cpu_milli;
      memory += need.memory_mb;
    }
  cpu_fraction = (double) cpu / (workers * 32000.0);
  memory_fraction = (double) memory / (workers * 131072.0);
  (void) printf ("packing_%s_pct=%.1f\n", name, 100.0 * MAX (cpu_fraction, memory_fraction));
  placer_free (placer);
}

int
main (void)
{
  static const guint sizes[] = { 100, 250, 500, 1000 };
  double first_us = 0;
  double last_us = 0;

  for (guint i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      last_us = time_policy (sizes[i], policy_best_fit, "own");
      first_us = i == 0 ? last_us : first_us;
    }
  (void) printf ("placement_growth=%.2f\n", last_us / MAX (0.001, first_us));
  (void) time_policy (1000, policy_random, "random");
  (void) time_policy (1000, policy_first_fit, "first_fit");
  pack_fleet (policy_best_fit, "own");
  pack_fleet (policy_first_fit, "first_fit");
  pack_fleet (policy_random, "random");
  (void) printf ("bytes_per_worker=%zu\nbytes_per_task=%zu\n", sizeof (worker_t), sizeof (task_t));
  return 0;
}
