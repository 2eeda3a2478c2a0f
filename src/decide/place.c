#include "decide/place.h"

#include <math.h>
#include <string.h>

static const guint failures_until_ejection = 3;
static const gint64 ejection_us = 10 * G_USEC_PER_SEC;

placer_t *
placer_new (void)
{
  placer_t *placer = g_new0 (placer_t, 1);

  placer->workers = g_array_new (FALSE, TRUE, sizeof (worker_t));
  return placer;
}

void
placer_free (placer_t *placer)
{
  if (placer == NULL)
    return;
  g_array_unref (placer->workers);
  g_free (placer);
}

int
placer_find (const placer_t *placer, const char *id)
{
  for (guint i = 0; i < placer->workers->len; i++)
    {
      if (strcmp (g_array_index (placer->workers, worker_t, i).id, id) == 0)
        return (int) i;
    }
  return PLACE_NONE;
}

worker_t *
placer_worker (const placer_t *placer, int index)
{
  g_assert (index >= 0 && (guint) index < placer->workers->len);
  return &g_array_index (placer->workers, worker_t, index);
}

int
placer_update (placer_t *placer, const char *id, const char *rack, const resources_t *total)
{
  int index = placer_find (placer, id);
  worker_t *worker;

  if (index == PLACE_NONE)
    {
      worker_t new_worker = { .usable = false };

      g_strlcpy (new_worker.id, id, sizeof new_worker.id);
      g_array_append_val (placer->workers, new_worker);
      index = (int) placer->workers->len - 1;
    }
  worker = placer_worker (placer, index);
  g_strlcpy (worker->rack, rack, sizeof worker->rack);
  worker->total = *total;
  return index;
}

static bool
fits (const resources_t *need, const resources_t *total, const resources_t *used)
{
  return need->cpu_milli <= total->cpu_milli - used->cpu_milli
         && need->memory_mb <= total->memory_mb - used->memory_mb
         && need->accelerators <= total->accelerators - used->accelerators;
}

bool
placer_could_ever_fit (const placer_t *placer, const resources_t *need)
{
  const resources_t no_usage = { 0 };

  for (guint i = 0; i < placer->workers->len; i++)
    {
      if (fits (need, &placer_worker (placer, (int) i)->total, &no_usage))
        return true;
    }
  return false;
}

static double
fraction (gint64 amount, gint64 whole)
{
  return whole > 0 ? (double) amount / (double) whole : 0.0;
}

/* Sum of the fractions of CPU and memory that stay free beside the task; the lowest score is
 * the best fit.  A task that needs no accelerator scores worse on a worker with idle ones. */
static double
leftover_score (const worker_t *worker, const resources_t *need)
{
  gint64 cpu = worker->total.cpu_milli - worker->used.cpu_milli - need->cpu_milli;
  gint64 memory = worker->total.memory_mb - worker->used.memory_mb - need->memory_mb;
  gint64 accelerators = worker->total.accelerators - worker->used.accelerators - need->accelerators;
  double score
      = fraction (cpu, worker->total.cpu_milli) + fraction (memory, worker->total.memory_mb);

  if (need->accelerators == 0 && accelerators > 0)
    score += 2.0;
  return score;
}

int
placer_place (placer_t *placer, const resources_t *need, gint64 now_us)
{
  int best = PLACE_NONE;
  double best_score = 0;

  for (guint i = 0; i < placer->workers->len; i++)
    {
      const worker_t *worker = placer_worker (placer, (int) i);
      double score;

      if (!worker->usable || worker->ejected_until_us > now_us
          || !fits (need, &worker->total, &worker->used))
        continue;
      score = leftover_score (worker, need);
      if (best != PLACE_NONE && score >= best_score)
        continue;
      best = (int) i;
      best_score = score;
    }
  if (best != PLACE_NONE)
    placer_allocate (placer, best, need);
  return best;
}

void
placer_allocate (placer_t *placer, int index, const resources_t *need)
{
  worker_t *worker = placer_worker (placer, index);

  worker->used.cpu_milli += need->cpu_milli;
  worker->used.memory_mb += need->memory_mb;
  worker->used.accelerators += need->accelerators;
}

void
placer_release (placer_t *placer, int index, const resources_t *need)
{
  worker_t *worker = placer_worker (placer, index);

  worker->used.cpu_milli -= need->cpu_milli;
  worker->used.memory_mb -= need->memory_mb;
  worker->used.accelerators -= need->accelerators;
}

void
placer_record_start (placer_t *placer, int index, bool started, gint64 now_us)
{
  worker_t *worker = placer_worker (placer, index);

  if (started)
    {
      worker->failures = 0;
      return;
    }
  worker->failures++;
  if (worker->failures >= failures_until_ejection)
    worker->ejected_until_us = now_us + ejection_us;
}
