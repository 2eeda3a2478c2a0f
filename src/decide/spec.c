#include "decide/spec.h"

#include <string.h>

const char *
job_state_name (job_state_t state)
{
  switch (state)
    {
    case JOB_QUEUED:
      return "queued";
    case JOB_RUNNING:
      return "running";
    case JOB_SUCCEEDED:
      return "succeeded";
    case JOB_FAILED:
      return "failed";
    case JOB_CANCELLED:
      return "cancelled";
    }
  return "unknown";
}

static void
queue_spec_free (gpointer data)
{
  queue_spec_t *queue = data;

  g_free (queue->name);
  g_free (queue->host);
  g_free (queue->prefix);
  g_free (queue->service);
  g_free (queue);
}

static void
service_spec_free (gpointer data)
{
  service_spec_t *service = data;

  g_free (service->name);
  g_free (service);
}

static void
workspace_spec_free (gpointer data)
{
  workspace_spec_t *workspace = data;

  g_free (workspace->name);
  g_free (workspace);
}

char *
desired_name_to_text (const char *name)
{
  const gsize max_bytes = 256;
  g_autofree char *start = NULL;
  g_autofree char *escaped = NULL;

  /* A name may have megabytes, and many messages. */
  if (strnlen (name, max_bytes + 1) <= max_bytes)
    return g_strescape (name, NULL);
  start = g_strndup (name, max_bytes);
  escaped = g_strescape (start, NULL);
  return g_strconcat (escaped, "...", NULL);
}

static void
desired_problem_free (gpointer data)
{
  desired_problem_t *problem = data;

  g_free (problem->pointer);
  g_free (problem->workspace);
  g_free (problem->reason);
  g_free (problem);
}

GPtrArray *
desired_problems_new (void)
{
  return g_ptr_array_new_with_free_func (desired_problem_free);
}

desired_state_t *
desired_state_new (void)
{
  desired_state_t *desired = g_new0 (desired_state_t, 1);

  desired->queues = g_ptr_array_new_with_free_func (queue_spec_free);
  desired->services = g_ptr_array_new_with_free_func (service_spec_free);
  desired->workspaces = g_ptr_array_new_with_free_func (workspace_spec_free);
  desired->keys = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  desired->problems = desired_problems_new ();
  return desired;
}

void
desired_state_free (desired_state_t *desired)
{
  if (desired == NULL)
    return;
  g_ptr_array_unref (desired->queues);
  g_ptr_array_unref (desired->services);
  g_hash_table_unref (desired->keys);
  g_ptr_array_unref (desired->workspaces);
  g_ptr_array_unref (desired->problems);
  g_free (desired);
}

void
job_spec_free (job_spec_t *spec)
{
  if (spec == NULL)
    return;
  for (guint i = 0; i < spec->step_count; i++)
    {
      g_free (spec->steps[i].requires);
      g_free (spec->steps[i].data_rack);
      g_free (spec->steps[i].image);
    }
  g_free (spec->steps);
  g_free (spec->queue);
  g_free (spec->service);
  g_free (spec->workspace);
  g_free (spec->spec);
  g_free (spec);
}

/* Compares ignoring case and the port of `host`. */
static bool
host_matches (const char *wanted, const char *host)
{
  gsize length = strcspn (host, ":");

  return strlen (wanted) == length && g_ascii_strncasecmp (wanted, host, length) == 0;
}

const queue_spec_t *
desired_state_find_route (const desired_state_t *desired, const char *host, const char *path)
{
  const queue_spec_t *best = NULL;
  gsize best_length = 0;

  if (desired == NULL || host == NULL)
    return NULL;
  for (guint i = 0; i < desired->queues->len; i++)
    {
      const queue_spec_t *queue = g_ptr_array_index (desired->queues, i);
      gsize length = strlen (queue->prefix);

      if ((best == NULL || length > best_length) && host_matches (queue->host, host)
          && strncmp (path, queue->prefix, length) == 0)
        {
          best = queue;
          best_length = length;
        }
    }
  return best;
}

const queue_spec_t *
desired_state_find_queue (const desired_state_t *desired, const char *name)
{
  for (guint i = 0; desired != NULL && i < desired->queues->len; i++)
    {
      const queue_spec_t *queue = g_ptr_array_index (desired->queues, i);

      if (strcmp (queue->name, name) == 0)
        return queue;
    }
  return NULL;
}

const service_spec_t *
desired_state_find_service (const desired_state_t *desired, const char *name)
{
  for (guint i = 0; desired != NULL && i < desired->services->len; i++)
    {
      const service_spec_t *service = g_ptr_array_index (desired->services, i);

      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

static bool
has_valid_times (const job_spec_t *spec)
{
  return spec->start_at_ms >= 0 && spec->start_at_ms <= JOB_SPEC_MAX_UNIX_MS
         && spec->interval_ms >= 0 && spec->interval_ms <= JOB_SPEC_MAX_UNIX_MS
         && spec->start_at_ms + ((gint64) spec->times - 1) * spec->interval_ms
                <= JOB_SPEC_MAX_UNIX_MS;
}

const char *
job_spec_error (const job_spec_t *spec)
{
  guint64 tasks = 0;

  if (spec->step_count == 0 || spec->step_count > JOB_SPEC_MAX_STEPS)
    return "a job has 1 to 64 steps";
  if (spec->times > JOB_SPEC_MAX_OCCURRENCES)
    return "a job has at most 10,000 occurrences";
  if (spec->times > 0 && !has_valid_times (spec))
    return "the occurrences of a job are due in the years 1970 to 9999";
  for (guint i = 0; i < spec->step_count; i++)
    {
      if (spec->steps[i].count == 0)
        return "a step has at least one task";
      if (spec->steps[i].after >> i != 0)
        return "a step follows earlier steps only";
      tasks += spec->steps[i].count;
    }
  if (tasks * MAX (spec->times, 1) > JOB_SPEC_MAX_TASKS)
    return "a job has at most 100,000 tasks";
  return NULL;
}

const workspace_spec_t *
desired_state_add_workspace (desired_state_t *desired, workspace_spec_t *spec)
{
  if (desired_state_find_workspace (desired, spec->name) != NULL)
    {
      workspace_spec_free (spec);
      return NULL;
    }
  g_ptr_array_add (desired->workspaces, spec);
  return spec;
}

static char *
key_digest (const char *key)
{
  return g_compute_checksum_for_string (G_CHECKSUM_SHA256, key, -1);
}

bool
desired_state_add_key (desired_state_t *desired, const workspace_spec_t *workspace, const char *key)
{
  g_autofree char *digest = key_digest (key);

  if (key[0] == '\0' || g_hash_table_contains (desired->keys, digest))
    return false;
  g_hash_table_insert (desired->keys, g_steal_pointer (&digest), (gpointer) workspace);
  return true;
}

/* The time that a lookup takes depends on the digest, from which nothing can be learned about a
 * key. */
const workspace_spec_t *
desired_state_find_key (const desired_state_t *desired, const char *key)
{
  g_autofree char *digest = NULL;

  if (desired == NULL || key == NULL)
    return NULL;
  digest = key_digest (key);
  return g_hash_table_lookup (desired->keys, digest);
}

const workspace_spec_t *
desired_state_find_workspace (const desired_state_t *desired, const char *name)
{
  for (guint i = 0; desired != NULL && name != NULL && i < desired->workspaces->len; i++)
    {
      const workspace_spec_t *workspace = g_ptr_array_index (desired->workspaces, i);

      if (strcmp (workspace->name, name) == 0)
        return workspace;
    }
  return NULL;
}
