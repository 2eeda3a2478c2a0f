#include "decide/desired_check.h"

#include <string.h>

enum
{
  US_PER_MS = 1000,
  VALUES_MAX = 16 /* compared of one part */
};

static void
finding_free (gpointer data)
{
  desired_finding_t *finding = data;

  g_free (finding->text);
  g_free (finding);
}

static GPtrArray *
findings_new (void)
{
  return g_ptr_array_new_with_free_func (finding_free);
}

static void add_finding (GPtrArray *findings,
                         finding_level_t level,
                         desired_place_t place,
                         const char *format,
                         ...) G_GNUC_PRINTF (4, 5);

static void
add_finding (
    GPtrArray *findings, finding_level_t level, desired_place_t place, const char *format, ...)
{
  desired_finding_t *finding = g_new0 (desired_finding_t, 1);
  va_list args;

  finding->level = level;
  finding->place = place;
  va_start (args, format);
  finding->text = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (findings, finding);
}

static desired_place_t
place_of (desired_part_t part, gint64 row, desired_field_t field)
{
  return (desired_place_t){ .part = part, .row = row, .field = field };
}

#define WARN(part, row, field, ...)                                                                \
  add_finding (findings, FINDING_WARNING, place_of (part, row, field), __VA_ARGS__)

/* ---- Tables by name.  The find functions of the desired state search lists, which takes too long
 * for each row of a large document. */

typedef struct
{
  GHashTable *queues;     /* name -> queue_spec_t, the first one of the name; all borrowed */
  GHashTable *services;   /* name -> service_spec_t */
  GHashTable *workspaces; /* name -> workspace_spec_t */
} index_t;

static void
index_add (GHashTable *table, char *name, gpointer spec)
{
  if (!g_hash_table_contains (table, name))
    g_hash_table_insert (table, name, spec);
}

static void
index_init (index_t *index, const desired_state_t *desired)
{
  index->queues = g_hash_table_new (g_str_hash, g_str_equal);
  index->services = g_hash_table_new (g_str_hash, g_str_equal);
  index->workspaces = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < desired->queues->len; i++)
    {
      queue_spec_t *queue = g_ptr_array_index (desired->queues, i);

      index_add (index->queues, queue->name, queue);
    }
  for (guint i = 0; i < desired->services->len; i++)
    {
      service_spec_t *service = g_ptr_array_index (desired->services, i);

      index_add (index->services, service->name, service);
    }
  for (guint i = 0; i < desired->workspaces->len; i++)
    {
      workspace_spec_t *workspace = g_ptr_array_index (desired->workspaces, i);

      index_add (index->workspaces, workspace->name, workspace);
    }
}

static void
index_clear (index_t *index)
{
  g_hash_table_unref (index->queues);
  g_hash_table_unref (index->services);
  g_hash_table_unref (index->workspaces);
}

/* ---- Entries that never match. */

/* Hosts are compared without regard to case and without the port. */
static void
check_match (GPtrArray *findings, const queue_spec_t *queue, GHashTable *matches)
{
  g_autofree char *host = g_ascii_strdown (queue->host, -1);
  char *match = g_strconcat (host, "\n", queue->prefix, NULL);
  const queue_spec_t *earlier = g_hash_table_lookup (matches, match);
  g_autofree char *earlier_name = earlier != NULL ? desired_name_to_text (earlier->name) : NULL;

  if (earlier != NULL)
    {
      WARN (PART_ROUTE, queue->row, FIELD_PREFIX,
            "never matches: the earlier route %u (%s) has the same host and prefix", earlier->row,
            earlier_name);
      g_free (match);
      return;
    }
  g_hash_table_insert (matches, match, (gpointer) queue);
  if (queue->host[0] == '\0' || strchr (queue->host, ':') != NULL)
    WARN (PART_ROUTE, queue->row, FIELD_HOST,
          "never matches: requests are matched by a host that has no port and is not empty");
  if (queue->prefix[0] != '\0' && queue->prefix[0] != '/')
    WARN (PART_ROUTE, queue->row, FIELD_PREFIX, "never matches: paths begin with /");
}

static void
check_routes (GPtrArray *findings, const desired_state_t *desired, const index_t *index)
{
  g_autoptr (GHashTable) matches = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);

  for (guint i = 0; i < desired->queues->len; i++)
    {
      const queue_spec_t *queue = g_ptr_array_index (desired->queues, i);
      g_autofree char *service = desired_name_to_text (queue->service);

      check_match (findings, queue, matches);
      if (g_hash_table_lookup (index->queues, queue->name) != queue)
        WARN (PART_ROUTE, queue->row, FIELD_NAME,
              "an earlier route has this name; the settings of the last one hold for both");
      if (!g_hash_table_contains (index->services, queue->service))
        WARN (PART_ROUTE, queue->row, FIELD_SERVICE, "there is no service %s", service);
    }
}

static void
check_services (GPtrArray *findings, const desired_state_t *desired, const index_t *index)
{
  g_autoptr (GHashTable) used = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < desired->queues->len; i++)
    {
      const queue_spec_t *queue = g_ptr_array_index (desired->queues, i);

      g_hash_table_add (used, queue->service);
    }
  for (guint i = 0; i < desired->services->len; i++)
    {
      const service_spec_t *service = g_ptr_array_index (desired->services, i);

      if (g_hash_table_lookup (index->services, service->name) != service)
        WARN (PART_SERVICE, service->row, FIELD_NAME,
              "an earlier service has this name; this one is ignored");
      else if (!g_hash_table_contains (used, service->name))
        WARN (PART_SERVICE, service->row, FIELD_NONE, "no route leads to the service");
    }
}

static bool
has_anonymous_route (const desired_state_t *desired)
{
  for (guint i = 0; i < desired->queues->len; i++)
    {
      const queue_spec_t *queue = g_ptr_array_index (desired->queues, i);

      if (queue->is_anonymous)
        return true;
    }
  return false;
}

static void
check_keys (GPtrArray *findings, const desired_state_t *desired)
{
  g_autoptr (GHashTable) holders = g_hash_table_new (NULL, NULL);
  GHashTableIter iter;
  gpointer holder;

  if (!desired->checks_keys)
    return;
  g_hash_table_iter_init (&iter, desired->keys);
  while (g_hash_table_iter_next (&iter, NULL, &holder))
    g_hash_table_add (holders, holder);
  if (g_hash_table_size (holders) == 0 && !has_anonymous_route (desired))
    WARN (PART_WORKSPACE, ROW_NONE, FIELD_NONE,
          "every request is refused: there are no keys and no anonymous routes");
  for (guint i = 0; i < desired->workspaces->len; i++)
    {
      const workspace_spec_t *workspace = g_ptr_array_index (desired->workspaces, i);

      if (!g_hash_table_contains (holders, workspace))
        WARN (PART_WORKSPACE, workspace->row, FIELD_KEYS,
              "the workspace has no keys, so that it has no requests");
      if (workspace->repeated_keys > 0)
        WARN (PART_WORKSPACE, workspace->row, FIELD_KEYS,
              "%u of the keys repeat an earlier one of the list", workspace->repeated_keys);
    }
}

/* ---- Limits that contradict each other. */

static void
check_advice (GPtrArray *findings, const queue_spec_t *queue)
{
  const advice_terms_t *advice = &queue->advice;

  if (!advice->is_needed)
    return;
  if (advice->valid_us <= TICKET_MARGIN_US)
    WARN (PART_ROUTE, queue->row, FIELD_ADVICE_VALID,
          "tickets are valid for %g ms and not used in the last %d ms, so that no task can start",
          (double) advice->valid_us / US_PER_MS, TICKET_MARGIN_US / US_PER_MS);
  if (queue->timeout_us > 0 && advice->call_us + advice->per_executor_us >= queue->timeout_us)
    WARN (PART_ROUTE, queue->row, FIELD_ADVICE_CALL,
          "a call for advice about one executor takes %g ms and the route's time limit is %g ms",
          (double) (advice->call_us + advice->per_executor_us) / US_PER_MS,
          (double) queue->timeout_us / US_PER_MS);
}

static void
check_times (GPtrArray *findings, const queue_spec_t *queue)
{
  if (queue->timeout_us > 0 && queue->timeout_us < queue->objective_us)
    WARN (PART_ROUTE, queue->row, FIELD_TIMEOUT,
          "the time limit of %g ms is below the response-time target of %g ms",
          (double) queue->timeout_us / US_PER_MS, (double) queue->objective_us / US_PER_MS);
  if (queue->stretch < 1.0 && queue->objective_us == 0)
    WARN (PART_ROUTE, queue->row, FIELD_STRETCH,
          "a target of %g times the run time, and nothing beside it, is never met", queue->stretch);
  check_advice (findings, queue);
}

static void
check_weights (GPtrArray *findings, const desired_state_t *desired)
{
  guint weighted = 0;

  for (guint i = 0; i < desired->workspaces->len; i++)
    {
      const workspace_spec_t *workspace = g_ptr_array_index (desired->workspaces, i);

      weighted += workspace->weight > 0 ? 1 : 0;
    }
  for (guint i = 0; weighted > 0 && i < desired->workspaces->len; i++)
    {
      const workspace_spec_t *workspace = g_ptr_array_index (desired->workspaces, i);

      if (workspace->weight == 0)
        WARN (PART_WORKSPACE, workspace->row, FIELD_WEIGHT,
              "the weight is 0, which limits no jobs and shares as weight 1; workspaces with a "
              "weight: %u",
              weighted);
    }
}

GPtrArray *
desired_check (const desired_state_t *desired)
{
  GPtrArray *findings = findings_new ();
  index_t index;

  index_init (&index, desired);
  check_routes (findings, desired, &index);
  check_services (findings, desired, &index);
  check_keys (findings, desired);
  for (guint i = 0; i < desired->queues->len; i++)
    check_times (findings, g_ptr_array_index (desired->queues, i));
  check_weights (findings, desired);
  index_clear (&index);
  return findings;
}

/* ---- Differences. */

/* One value of a part, by which versions of the part are compared. */
typedef struct
{
  desired_field_t field;
  const char *label;
  const char *text; /* NULL: the value is a number */
  double number;
  const char *unit; /* with its space; NULL: none */
} value_t;

static const char *
yes_or_no (bool is_true)
{
  return is_true ? "yes" : "no";
}

static void
list_queue_values (const queue_spec_t *queue, value_t *values)
{
  const advice_terms_t *advice = &queue->advice;
  const value_t list[] = {
    { FIELD_HOST, "host", queue->host, 0, NULL },
    { FIELD_PREFIX, "prefix", queue->prefix, 0, NULL },
    { FIELD_SERVICE, "service", queue->service, 0, NULL },
    { FIELD_PRIORITY, "priority", NULL, queue->priority, NULL },
    { FIELD_ATTEMPTS, "attempts", NULL, queue->attempts, NULL },
    { FIELD_STRETCH, "stretch", NULL, queue->stretch, NULL },
    { FIELD_OBJECTIVE, "target", NULL, (double) queue->objective_us / US_PER_MS, " ms" },
    { FIELD_TIMEOUT, "time limit", NULL, (double) queue->timeout_us / US_PER_MS, " ms" },
    { FIELD_ANONYMOUS, "anonymous", yes_or_no (queue->is_anonymous), 0, NULL },
    { FIELD_ADVICE, "needs advice", yes_or_no (advice->is_needed), 0, NULL },
    { FIELD_ADVICE_CALL, "call for advice", NULL, (double) advice->call_us / US_PER_MS, " ms" },
    { FIELD_ADVICE_PER_EXECUTOR, "advice per executor", NULL,
      (double) advice->per_executor_us / US_PER_MS, " ms" },
    { FIELD_ADVICE_VALID, "validity of tickets", NULL, (double) advice->valid_us / US_PER_MS,
      " ms" },
  };

  G_STATIC_ASSERT (G_N_ELEMENTS (list) < VALUES_MAX);
  memcpy (values, list, sizeof list);
}

static void
list_service_values (const service_spec_t *service, value_t *values)
{
  values[0] = (value_t){ FIELD_ENFORCES_CAPACITY, "enforces its capacity",
                         yes_or_no (service->enforces_capacity), 0, NULL };
}

static void
list_workspace_values (const workspace_spec_t *workspace, value_t *values)
{
  const value_t list[] = {
    { FIELD_WEIGHT, "weight", NULL, workspace->weight, NULL },
    { FIELD_CAP_CPU, "cap of processor", NULL, (double) workspace->cap.cpu_milli, " milli" },
    { FIELD_CAP_MEM, "cap of memory", NULL, (double) workspace->cap.mem_mb, " MB" },
    { FIELD_CAP_GPU, "cap of GPUs", NULL, (double) workspace->cap.gpu, NULL },
  };

  memcpy (values, list, sizeof list);
}

static char *
value_to_text (const value_t *value)
{
  g_autofree char *name = NULL;

  if (value->text == NULL)
    return g_strdup_printf ("%.15g%s", value->number, value->unit != NULL ? value->unit : "");
  name = desired_name_to_text (value->text);
  return g_strdup_printf ("\"%s\"", name);
}

/* Adds a finding for each value that differs; a value without a label ends the lists. */
static void
compare_values (GPtrArray *findings,
                desired_part_t part,
                guint row,
                const char *name,
                const value_t *now,
                const value_t *before)
{
  g_autofree char *shown = desired_name_to_text (name);

  for (; now->label != NULL; now++, before++)
    {
      g_autofree char *value = NULL;
      g_autofree char *old_value = NULL;

      if (g_strcmp0 (now->text, before->text) == 0 && now->number == before->number)
        continue;
      value = value_to_text (now);
      old_value = value_to_text (before);
      add_finding (findings, FINDING_CHANGE, place_of (part, row, now->field),
                   "%s: %s is %s, was %s", shown, now->label, value, old_value);
    }
}

static void
add_presence (
    GPtrArray *findings, desired_part_t part, gint64 row, const char *name, const char *verb)
{
  static const char *const words[PART_COUNT] = {
    [PART_DOCUMENT] = "document",
    [PART_ROUTE] = "route",
    [PART_SERVICE] = "service",
    [PART_WORKSPACE] = "workspace",
  };
  g_autofree char *shown = desired_name_to_text (name);

  add_finding (findings, FINDING_CHANGE, place_of (part, row, FIELD_NONE), "%s \"%s\" is %s",
               words[part], shown, verb);
}

/* Rows that repeat a name are left to desired_check(). */
static void
compare_queues (GPtrArray *findings,
                const desired_state_t *desired,
                const desired_state_t *in_force,
                const index_t *now,
                const index_t *before)
{
  for (guint i = 0; i < desired->queues->len; i++)
    {
      const queue_spec_t *queue = g_ptr_array_index (desired->queues, i);
      const queue_spec_t *old = g_hash_table_lookup (before->queues, queue->name);
      value_t values[VALUES_MAX] = { { 0 } };
      value_t old_values[VALUES_MAX] = { { 0 } };

      if (g_hash_table_lookup (now->queues, queue->name) != queue)
        continue;
      if (old == NULL)
        {
          add_presence (findings, PART_ROUTE, queue->row, queue->name, "added");
          continue;
        }
      list_queue_values (queue, values);
      list_queue_values (old, old_values);
      compare_values (findings, PART_ROUTE, queue->row, queue->name, values, old_values);
    }
  for (guint i = 0; i < in_force->queues->len; i++)
    {
      const queue_spec_t *old = g_ptr_array_index (in_force->queues, i);

      if (!g_hash_table_contains (now->queues, old->name)
          && g_hash_table_lookup (before->queues, old->name) == old)
        add_presence (findings, PART_ROUTE, ROW_NONE, old->name, "removed");
    }
}

static void
compare_services (GPtrArray *findings,
                  const desired_state_t *desired,
                  const desired_state_t *in_force,
                  const index_t *now,
                  const index_t *before)
{
  for (guint i = 0; i < desired->services->len; i++)
    {
      const service_spec_t *service = g_ptr_array_index (desired->services, i);
      const service_spec_t *old = g_hash_table_lookup (before->services, service->name);
      value_t values[VALUES_MAX] = { { 0 } };
      value_t old_values[VALUES_MAX] = { { 0 } };

      if (g_hash_table_lookup (now->services, service->name) != service)
        continue;
      if (old == NULL)
        {
          add_presence (findings, PART_SERVICE, service->row, service->name, "added");
          continue;
        }
      list_service_values (service, values);
      list_service_values (old, old_values);
      compare_values (findings, PART_SERVICE, service->row, service->name, values, old_values);
    }
  for (guint i = 0; i < in_force->services->len; i++)
    {
      const service_spec_t *old = g_ptr_array_index (in_force->services, i);

      if (!g_hash_table_contains (now->services, old->name)
          && g_hash_table_lookup (before->services, old->name) == old)
        add_presence (findings, PART_SERVICE, ROW_NONE, old->name, "removed");
    }
}

/* Returns for each name of a workspace how many keys of `desired` are not its keys in `other`. */
static GHashTable *
count_other_keys (const desired_state_t *desired, const desired_state_t *other)
{
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer digest;
  gpointer value;

  g_hash_table_iter_init (&iter, desired->keys);
  while (g_hash_table_iter_next (&iter, &digest, &value))
    {
      const workspace_spec_t *holder = value;
      const workspace_spec_t *other_holder = g_hash_table_lookup (other->keys, digest);
      guint count = GPOINTER_TO_UINT (g_hash_table_lookup (counts, holder->name));

      if (other_holder == NULL || strcmp (other_holder->name, holder->name) != 0)
        g_hash_table_insert (counts, holder->name, GUINT_TO_POINTER (count + 1));
    }
  return counts;
}

static void
compare_workspaces (GPtrArray *findings,
                    const desired_state_t *desired,
                    const desired_state_t *in_force,
                    const index_t *now,
                    const index_t *before)
{
  g_autoptr (GHashTable) added = count_other_keys (desired, in_force);
  g_autoptr (GHashTable) removed = count_other_keys (in_force, desired);

  for (guint i = 0; i < desired->workspaces->len; i++)
    {
      const workspace_spec_t *workspace = g_ptr_array_index (desired->workspaces, i);
      const workspace_spec_t *old = g_hash_table_lookup (before->workspaces, workspace->name);
      guint added_keys = GPOINTER_TO_UINT (g_hash_table_lookup (added, workspace->name));
      guint removed_keys = GPOINTER_TO_UINT (g_hash_table_lookup (removed, workspace->name));
      g_autofree char *shown = desired_name_to_text (workspace->name);
      value_t values[VALUES_MAX] = { { 0 } };
      value_t old_values[VALUES_MAX] = { { 0 } };

      if (old == NULL)
        {
          add_presence (findings, PART_WORKSPACE, workspace->row, workspace->name, "added");
          continue;
        }
      list_workspace_values (workspace, values);
      list_workspace_values (old, old_values);
      compare_values (findings, PART_WORKSPACE, workspace->row, workspace->name, values,
                      old_values);
      if (added_keys > 0 || removed_keys > 0)
        add_finding (findings, FINDING_CHANGE,
                     place_of (PART_WORKSPACE, workspace->row, FIELD_KEYS),
                     "%s: keys: %u added, %u removed", shown, added_keys, removed_keys);
    }
  for (guint i = 0; i < in_force->workspaces->len; i++)
    {
      const workspace_spec_t *old = g_ptr_array_index (in_force->workspaces, i);

      if (!g_hash_table_contains (now->workspaces, old->name))
        add_presence (findings, PART_WORKSPACE, ROW_NONE, old->name, "removed");
    }
}

static void
compare_documents (GPtrArray *findings,
                   const desired_state_t *desired,
                   const desired_state_t *in_force)
{
  bool is_newer = desired->version > in_force->version;

  add_finding (findings, is_newer ? FINDING_CHANGE : FINDING_ERROR,
               place_of (PART_DOCUMENT, ROW_NONE, FIELD_VERSION),
               "version %" G_GINT64_FORMAT ", in force is %" G_GINT64_FORMAT "%s", desired->version,
               in_force->version, is_newer ? "" : "; only a higher version comes into force");
  if (desired->checks_keys != in_force->checks_keys)
    add_finding (findings, FINDING_CHANGE, place_of (PART_WORKSPACE, ROW_NONE, FIELD_NONE), "%s",
                 desired->checks_keys ? "requests need keys, which they did not"
                                      : "requests need no keys any more");
}

GPtrArray *
desired_compare (const desired_state_t *desired, const desired_state_t *in_force)
{
  GPtrArray *findings = findings_new ();
  index_t now;
  index_t before;

  index_init (&now, desired);
  index_init (&before, in_force);
  compare_documents (findings, desired, in_force);
  compare_services (findings, desired, in_force, &now, &before);
  compare_queues (findings, desired, in_force, &now, &before);
  compare_workspaces (findings, desired, in_force, &now, &before);
  index_clear (&now);
  index_clear (&before);
  return findings;
}
