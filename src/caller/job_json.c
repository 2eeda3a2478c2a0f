#include "caller/job_json.h"

#include "base/json.h"

#include <string.h>

static const gint64 max_cpu_milli = 1000000;
static const gint64 max_memory_mb = 100000000;
static const gint64 max_accelerators = 1024;
static const gint64 max_run_ms = G_GINT64_CONSTANT (366) * 24 * 3600 * 1000;

static bool
read_int (JsonObject *object,
          guint index,
          const char *member,
          gint64 min,
          gint64 max,
          gint64 fallback,
          gint64 *value,
          error_info_t *error)
{
  *value
      = json_object_has_member (object, member) ? json_get_int (object, member, min - 1) : fallback;
  if (*value >= min && *value <= max)
    return true;
  return error_set (error, ERROR_BAD_REQUEST,
                    "/tasks/%u/%s: a whole number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT
                    " is needed",
                    index, member, min, max);
}

static bool
check_members (JsonObject *object,
               const char *pointer,
               const char *const *allowed,
               error_info_t *error)
{
  g_autoptr (GList) members = json_object_get_members (object);

  for (const GList *link = members; link != NULL; link = link->next)
    {
      if (!g_strv_contains (allowed, link->data))
        return error_set (error, ERROR_BAD_REQUEST, "%s/%s: unknown field", pointer,
                          (const char *) link->data);
    }
  return true;
}

static bool
read_task (JsonNode *node, guint index, task_t *task, gint64 *count, error_info_t *error)
{
  static const char *const allowed[]
      = { "cpu_milli", "memory_mb", "accelerators", "run_ms", "count", NULL };
  g_autofree char *pointer = g_strdup_printf ("/tasks/%u", index);
  resources_t *need = &task->need;
  JsonObject *object;

  if (!JSON_NODE_HOLDS_OBJECT (node))
    return error_set (error, ERROR_BAD_REQUEST, "%s: an object is needed", pointer);
  object = json_node_get_object (node);
  return check_members (object, pointer, allowed, error)
         && read_int (object, index, "cpu_milli", 1, max_cpu_milli, 0, &need->cpu_milli, error)
         && read_int (object, index, "memory_mb", 1, max_memory_mb, 0, &need->memory_mb, error)
         && read_int (object, index, "accelerators", 0, max_accelerators, 0, &need->accelerators,
                      error)
         && read_int (object, index, "run_ms", 0, max_run_ms, 0, &task->run_ms, error)
         && read_int (object, index, "count", 1, JOB_TASKS_MAX, 1, count, error);
}

static bool
read_tasks (JsonArray *array, GArray *tasks, error_info_t *error)
{
  for (guint i = 0; i < json_array_get_length (array); i++)
    {
      task_t task = { .state = TASK_PENDING, .worker = PLACE_NONE };
      gint64 count = 0;

      if (!read_task (json_array_get_element (array, i), i, &task, &count, error))
        return false;
      if (tasks->len + count > JOB_TASKS_MAX)
        return error_set (error, ERROR_TOO_LARGE, "a job has at most %d tasks", JOB_TASKS_MAX);
      for (gint64 copy = 0; copy < count; copy++)
        g_array_append_val (tasks, task);
    }
  return true;
}

GArray *
job_parse (GBytes *body, char **class, error_info_t *error)
{
  static const char *const allowed[] = { "class", "tasks", NULL };
  gsize size = 0;
  const char *text = g_bytes_get_data (body, &size);
  g_autoptr (JsonNode) root = json_parse_object (text, (gssize) size, NULL);
  g_autoptr (GArray) tasks = g_array_new (FALSE, TRUE, sizeof (task_t));
  JsonObject *object;
  JsonArray *array;

  if (root == NULL)
    {
      (void) error_set (error, ERROR_BAD_REQUEST, "the body is not a JSON object");
      return NULL;
    }
  object = json_node_get_object (root);
  if (!check_members (object, "", allowed, error))
    return NULL;
  array = json_get_array (object, "tasks");
  if (array == NULL || json_array_get_length (array) == 0)
    {
      (void) error_set (error, ERROR_BAD_REQUEST, "/tasks: a list of 1 to %d is needed",
                        JOB_TASKS_MAX);
      return NULL;
    }
  if (!read_tasks (array, tasks, error))
    return NULL;
  *class = g_strdup (json_get_string (object, "class", ""));
  return g_steal_pointer (&tasks);
}
