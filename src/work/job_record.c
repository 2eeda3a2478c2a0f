#include "work/job_record.h"

#include "base/json.h"

#include <string.h>

static const char *const state_names[] = { "accepted", "finished", "failed" };

job_t *
job_new (guint task_count)
{
  job_t *job = g_new0 (job_t, 1);

  job->task_count = task_count;
  job->tasks = g_new0 (task_t, task_count);
  for (guint i = 0; i < task_count; i++)
    {
      job->tasks[i].job = job;
      job->tasks[i].index = i;
      job->tasks[i].worker = PLACE_NONE;
    }
  return job;
}

void
job_free (job_t *job)
{
  if (job == NULL)
    return;
  for (guint i = 0; i < job->task_count; i++)
    list_remove (&job->tasks[i].worker_node);
  g_free (job->id);
  g_free (job->zone);
  g_free (job->environment);
  g_free (job->class);
  g_free (job->customer);
  g_free (job->digest);
  g_free (job->owner);
  g_free (job->incarnation);
  g_free (job->tasks);
  g_free (job);
}

static void
put_common_members (const job_t *job, JsonBuilder *builder)
{
  json_put_string (builder, "id", job->id);
  json_put_string (builder, "zone", job->zone);
  json_put_string (builder, "environment", job->environment);
  json_put_string (builder, "class", job->class);
  json_put_string (builder, "customer", job->customer);
  json_put_string (builder, "owner", job->owner);
  json_put_string (builder, "state", state_names[job->state]);
  json_put_int (builder, "accepted_ms", job->accepted_ms);
  json_put_int (builder, "ended_ms", job->ended_ms);
}

static void
put_task (const task_t *task, JsonBuilder *builder)
{
  json_put_int (builder, "cpu_milli", task->need.cpu_milli);
  json_put_int (builder, "memory_mb", task->need.memory_mb);
  json_put_int (builder, "accelerators", task->need.accelerators);
  json_put_int (builder, "run_ms", task->run_ms);
}

char *
job_to_record (const job_t *job, gint64 sequence)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  put_common_members (job, builder);
  json_put_string (builder, "digest", job->digest);
  json_put_string (builder, "incarnation", job->incarnation);
  json_put_int (builder, "sequence", sequence);
  json_builder_set_member_name (builder, "tasks");
  json_builder_begin_array (builder);
  for (guint i = 0; i < job->task_count; i++)
    {
      json_builder_begin_object (builder);
      put_task (&job->tasks[i], builder);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  return json_builder_to_string (builder);
}

static job_state_t
parse_state (const char *text)
{
  for (guint i = 0; i < G_N_ELEMENTS (state_names); i++)
    {
      if (strcmp (state_names[i], text) == 0)
        return (job_state_t) i;
    }
  return JOB_FAILED;
}

static void
read_task (JsonObject *object, task_t *task)
{
  task->state = TASK_RECOVERING;
  task->worker = PLACE_NONE;
  task->need.cpu_milli = json_get_int (object, "cpu_milli", 0);
  task->need.memory_mb = json_get_int (object, "memory_mb", 0);
  task->need.accelerators = json_get_int (object, "accelerators", 0);
  task->run_ms = json_get_int (object, "run_ms", 0);
}

job_t *
job_from_record (const char *text, gssize length)
{
  g_autoptr (JsonNode) root = json_parse_object (text, length, NULL);
  JsonObject *object = root != NULL ? json_node_get_object (root) : NULL;
  JsonArray *tasks = json_get_array (object, "tasks");
  job_t *job;

  if (tasks == NULL)
    return NULL;
  job = job_new (json_array_get_length (tasks));
  job->id = g_strdup (json_get_string (object, "id", ""));
  job->zone = g_strdup (json_get_string (object, "zone", ""));
  job->environment = g_strdup (json_get_string (object, "environment", ""));
  job->class = g_strdup (json_get_string (object, "class", ""));
  job->customer = g_strdup (json_get_string (object, "customer", ""));
  job->digest = g_strdup (json_get_string (object, "digest", ""));
  job->owner = g_strdup (json_get_string (object, "owner", ""));
  job->incarnation = g_strdup (json_get_string (object, "incarnation", ""));
  job->state = parse_state (json_get_string (object, "state", ""));
  job->accepted_ms = json_get_int (object, "accepted_ms", 0);
  job->ended_ms = json_get_int (object, "ended_ms", 0);
  for (guint i = 0; i < job->task_count; i++)
    read_task (json_array_get_object_element (tasks, i), &job->tasks[i]);
  return job;
}

char *
job_describe (const job_t *job, const placer_t *placer)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();

  json_builder_begin_object (builder);
  put_common_members (job, builder);
  json_builder_set_member_name (builder, "tasks");
  json_builder_begin_array (builder);
  for (guint i = 0; i < job->task_count; i++)
    {
      const task_t *task = &job->tasks[i];
      bool has_ended = job->state != JOB_ACCEPTED;

      json_builder_begin_object (builder);
      put_task (task, builder);
      json_put_string (builder, "state",
                       has_ended ? state_names[job->state] : task_state_name (task->state));
      json_put_int (builder, "attempt", task->attempt);
      if (!has_ended && placer != NULL && task->worker != PLACE_NONE)
        json_put_string (builder, "worker", placer_worker (placer, task->worker)->id);
      json_builder_end_object (builder);
    }
  json_builder_end_array (builder);
  json_builder_end_object (builder);
  return json_builder_to_string (builder);
}

char *
job_task_id (const task_t *task)
{
  return g_strdup_printf ("%s/%u/%u", task->job->id, task->index, task->attempt);
}

bool
job_parse_task_id (const char *task_id, char **job_id, guint *index, guint *attempt)
{
  g_auto (GStrv) parts = g_strsplit (task_id, "/", 4);
  guint64 parsed_index;
  guint64 parsed_attempt;

  if (g_strv_length (parts) != 3
      || !g_ascii_string_to_unsigned (parts[1], 10, 0, JOB_TASKS_MAX, &parsed_index, NULL)
      || !g_ascii_string_to_unsigned (parts[2], 10, 0, G_MAXUINT, &parsed_attempt, NULL))
    return false;
  *job_id = g_strdup (parts[0]);
  *index = (guint) parsed_index;
  *attempt = (guint) parsed_attempt;
  return true;
}
