#include "work/probes.h"

typedef struct
{
  char *id;
  char *address;
} target_t;

struct probes
{
  executor_client_t *executor_client;
  probes_list_targets_t list_targets;
  executor_probe_done_t done;
  void *data;
  GQueue queued_targets; /* of target_t */
  guint probes_per_step;
  guint step; /* of the round, 0 to STEPS_PER_ROUND - 1 */
  guint step_timer;
};

enum
{
  ROUND_MS = 1500,
  STEP_MS = 500,
  STEPS_PER_ROUND = ROUND_MS / STEP_MS
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
      probes->list_targets (probes, probes->data);
      probes->probes_per_step
          = (probes->queued_targets.length + STEPS_PER_ROUND - 1) / STEPS_PER_ROUND;
    }
  probes->step = (probes->step + 1) % STEPS_PER_ROUND;
  for (guint i = 0; i < probes->probes_per_step && probes->queued_targets.length > 0; i++)
    {
      target_t *target = g_queue_pop_head (&probes->queued_targets);

      executor_client_probe (probes->executor_client, target->id, target->address, probes->done,
                             probes->data);
      target_free (target);
    }
  return G_SOURCE_CONTINUE;
}

probes_t *
probes_new (executor_client_t *executor_client,
            probes_list_targets_t list_targets,
            executor_probe_done_t done,
            void *data)
{
  probes_t *probes = g_new0 (probes_t, 1);

  probes->executor_client = executor_client;
  probes->list_targets = list_targets;
  probes->done = done;
  probes->data = data;
  g_queue_init (&probes->queued_targets);
  probes->step_timer = g_timeout_add (STEP_MS, step, probes);
  return probes;
}

void
probes_free (probes_t *probes)
{
  if (probes == NULL)
    return;
  g_source_remove (probes->step_timer);
  g_queue_clear_full (&probes->queued_targets, target_free);
  g_free (probes);
}

void
probes_add_target (probes_t *probes, const char *id, const char *address)
{
  target_t *target = g_new0 (target_t, 1);

  target->id = g_strdup (id);
  target->address = g_strdup (address);
  g_queue_push_tail (&probes->queued_targets, target);
}
