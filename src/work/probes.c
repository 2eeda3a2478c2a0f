#include "work/probes.h"

typedef struct
{
  char *id;
  char *address;
} target_t;

struct probes
{
  executors_t *executors;
  probes_targets_t targets;
  executor_health_t done;
  void *data;
  GQueue waiting; /* target_t */
  guint per_step;
  guint step;
  guint timer;
};

enum
{
  ROUND_MS = 1500,
  STEP_MS = 500,
  STEPS = ROUND_MS / STEP_MS
};

static void
target_free (gpointer data)
{
  target_t *target = data;

  g_free (target->id);
  g_free (target->address);
  g_free (target);
}

static gboolean
step (gpointer data)
{
  probes_t *probes = data;

  if (probes->step == 0)
    {
      probes->targets (probes, probes->data);
      probes->per_step = (probes->waiting.length + STEPS - 1) / STEPS;
    }
  probes->step = (probes->step + 1) % STEPS;
  for (guint i = 0; i < probes->per_step && probes->waiting.length > 0; i++)
    {
      target_t *target = g_queue_pop_head (&probes->waiting);

      executors_probe (probes->executors, target->id, target->address, probes->done, probes->data);
      target_free (target);
    }
  return G_SOURCE_CONTINUE;
}

probes_t *
probes_new (executors_t *executors, probes_targets_t targets, executor_health_t done, void *data)
{
  probes_t *probes = g_new0 (probes_t, 1);

  probes->executors = executors;
  probes->targets = targets;
  probes->done = done;
  probes->data = data;
  g_queue_init (&probes->waiting);
  probes->timer = g_timeout_add (STEP_MS, step, probes);
  return probes;
}

void
probes_free (probes_t *probes)
{
  if (probes == NULL)
    return;
  g_source_remove (probes->timer);
  g_queue_clear_full (&probes->waiting, target_free);
  g_free (probes);
}

void
probes_add (probes_t *probes, const char *id, const char *address)
{
  target_t *target = g_new0 (target_t, 1);

  target->id = g_strdup (id);
  target->address = g_strdup (address);
  g_queue_push_tail (&probes->waiting, target);
}
