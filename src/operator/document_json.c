#include "operator/document_json.h"

#include "base/json.h"

#include <string.h>

/* An object in the document, and the list of problems to append to. */
typedef struct
{
  JsonObject *object;
  const char *pointer; /* JSON pointer to the object */
  GPtrArray *problems;
} location_t;

static const double max_share_sum = 1.0 + 1e-9;
static const gint64 max_deadline_ms = 600000;
static const gint64 max_queue_limit = 1000000;
static const gint64 max_retry_attempts = 5;
static const double max_weight = 1000;

static void G_GNUC_PRINTF (3, 4)
    add_problem (const location_t *location, const char *member, const char *format, ...)
{
  g_autofree char *text = NULL;
  va_list args;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (location->problems,
                   g_strdup_printf ("%s%s%s: %s", location->pointer, member != NULL ? "/" : "",
                                    member != NULL ? member : "", text));
}

static char *
member_to_json (JsonObject *object, const char *member)
{
  JsonNode *node = json_object_get_member (object, member);

  return node != NULL ? json_node_to_text (node) : g_strdup ("nothing");
}

static void
add_invalid_value (const location_t *location, const char *member, const char *allowed)
{
  g_autofree char *found = member_to_json (location->object, member);

  add_problem (location, member, "found %s; allowed: %s", found, allowed);
}

static bool
has_type (const location_t *location, const char *member, GType type)
{
  JsonNode *node = json_object_get_member (location->object, member);

  return node != NULL && JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == type;
}

static bool
is_valid_name (const char *text)
{
  gsize length = strlen (text);

  if (length == 0 || length > ENVIRONMENT_NAME_MAX || !g_ascii_islower (text[0]))
    return false;
  for (gsize i = 0; i < length; i++)
    {
      if (!g_ascii_islower (text[i]) && !g_ascii_isdigit (text[i]) && text[i] != '-')
        return false;
    }
  return true;
}

static void
read_name (const location_t *location, const char *member, char *name)
{
  const char *text = "";

  if (has_type (location, member, G_TYPE_STRING))
    text = json_object_get_string_member (location->object, member);
  if (is_valid_name (text))
    g_strlcpy (name, text, ENVIRONMENT_NAME_MAX + 1);
  else
    add_invalid_value (location, member,
                       "a name of 1 to 63 of a-z, 0-9 and -, beginning with a letter");
}

static gint64
read_int (const location_t *location, const char *member, gint64 min, gint64 max, gint64 fallback)
{
  gint64 value = fallback;
  g_autofree char *allowed
      = g_strdup_printf ("a whole number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, min, max);

  if (!json_object_has_member (location->object, member) && fallback >= min)
    return fallback;
  if (has_type (location, member, G_TYPE_INT64))
    value = json_object_get_int_member (location->object, member);
  else
    value = min - 1;
  if (value < min || value > max)
    add_invalid_value (location, member, allowed);
  return value;
}

static double
read_double (
    const location_t *location, const char *member, double min, double max, double fallback)
{
  double value = min - 1;
  g_autofree char *allowed = g_strdup_printf ("a number from %g to %g", min, max);

  if (!json_object_has_member (location->object, member))
    return fallback;
  if (has_type (location, member, G_TYPE_INT64) || has_type (location, member, G_TYPE_DOUBLE))
    value = json_object_get_double_member (location->object, member);
  if (!(value >= min && value <= max))
    add_invalid_value (location, member, allowed);
  return value;
}

static bool
read_bool (const location_t *location, const char *member, bool fallback)
{
  if (!json_object_has_member (location->object, member))
    return fallback;
  if (has_type (location, member, G_TYPE_BOOLEAN))
    return json_object_get_boolean_member (location->object, member);
  add_invalid_value (location, member, "true or false");
  return fallback;
}

static void
check_members (const location_t *location, const char *const *allowed)
{
  g_autoptr (GList) members = json_object_get_members (location->object);

  for (const GList *link = members; link != NULL; link = link->next)
    {
      if (!g_strv_contains (allowed, link->data))
        {
          g_autofree char *names = g_strjoinv (", ", (char **) allowed);

          add_problem (location, link->data, "found an unknown field; allowed: %s", names);
        }
    }
}

static void
read_kind (const location_t *location, work_class_t *class)
{
  const char *text = "";

  if (has_type (location, "kind", G_TYPE_STRING))
    text = json_object_get_string_member (location->object, "kind");
  if (strcmp (text, "request") == 0)
    class->kind = WORK_REQUEST;
  else if (strcmp (text, "job") == 0)
    class->kind = WORK_JOB;
  else
    add_invalid_value (location, "kind", "\"request\" or \"job\"");
}

static void
read_class (const location_t *location, work_class_t *class)
{
  static const char *const allowed[]
      = { "name",  "kind",  "idempotent",  "urgency",        "deadline_ms",
          "share", "limit", "queue_limit", "retry_attempts", NULL };
  const gint64 default_deadline_ms = 10000;
  const gint64 default_queue_limit = 1000;

  check_members (location, allowed);
  read_name (location, "name", class->name);
  read_kind (location, class);
  class->idempotent = read_bool (location, "idempotent", false);
  class->urgency = (guint) read_int (location, "urgency", 0, ENVIRONMENT_URGENCY_MAX, -1);
  class->deadline_us
      = 1000 * read_int (location, "deadline_ms", 1, max_deadline_ms, default_deadline_ms);
  class->share = read_double (location, "share", 0, 1, 0);
  class->limit = read_double (location, "limit", 0, 1, 1);
  class->queue_limit
      = (guint) read_int (location, "queue_limit", 0, max_queue_limit, default_queue_limit);
  class->retry_attempts = (guint) read_int (location, "retry_attempts", 0, max_retry_attempts, 1);
  if (class->limit < class->share)
    add_problem (location, "limit", "found %g; allowed: at least the share, %g", class->limit,
                 class->share);
}

static void
read_customer (const location_t *location, customer_t *customer)
{
  static const char *const allowed[] = { "name", "weight", NULL };
  const double min_weight = 0.001;

  check_members (location, allowed);
  read_name (location, "name", customer->name);
  customer->weight = read_double (location, "weight", min_weight, max_weight, 1);
}

/* Returns the array, or NULL after adding a problem when it is missing or its length is not
 * allowed. */
static JsonArray *
read_array (const location_t *location, const char *member, guint max)
{
  JsonNode *node = json_object_get_member (location->object, member);
  JsonArray *array = NULL;

  if (node != NULL && JSON_NODE_HOLDS_ARRAY (node))
    array = json_node_get_array (node);
  if (array != NULL && json_array_get_length (array) >= 1 && json_array_get_length (array) <= max)
    return array;
  add_problem (location, member, "found %s of %u; allowed: a list of 1 to %u",
               array != NULL ? "a list" : "no list",
               array != NULL ? json_array_get_length (array) : 0, max);
  return NULL;
}

typedef void (*element_reader_t) (const location_t *location,
                                  guint index,
                                  environment_t *environment);

static void
read_class_element (const location_t *location, guint index, environment_t *environment)
{
  work_class_t *class = &environment->classes[index];

  read_class (location, class);
  if (class->name[0] != '\0' && environment_find_class (environment, class->name) != (int) index)
    add_problem (location, "name", "found \"%s\" twice; allowed: once", class->name);
}

static void
read_customer_element (const location_t *location, guint index, environment_t *environment)
{
  customer_t *customer = &environment->customers[index];

  read_customer (location, customer);
  if (customer->name[0] != '\0'
      && environment_find_customer (environment, customer->name) != (int) index)
    add_problem (location, "name", "found \"%s\" twice; allowed: once", customer->name);
}

static void
read_elements (const location_t *location,
               const char *member,
               JsonArray *array,
               element_reader_t read,
               environment_t *environment)
{
  for (guint i = 0; i < json_array_get_length (array); i++)
    {
      JsonNode *node = json_array_get_element (array, i);
      g_autofree char *pointer = g_strdup_printf ("%s/%s/%u", location->pointer, member, i);
      location_t inner = { .pointer = pointer, .problems = location->problems };

      if (!JSON_NODE_HOLDS_OBJECT (node))
        {
          add_problem (&inner, NULL, "found no object; allowed: an object");
          continue;
        }
      inner.object = json_node_get_object (node);
      read (&inner, i, environment);
    }
}

static void
check_shares (const location_t *location, const environment_t *environment)
{
  double requests = 0;
  double jobs = 0;

  for (guint i = 0; i < environment->class_count; i++)
    {
      if (environment->classes[i].kind == WORK_JOB)
        jobs += environment->classes[i].share;
      else
        requests += environment->classes[i].share;
    }
  if (requests > max_share_sum || jobs > max_share_sum)
    add_problem (location, "classes",
                 "found shares that sum to %g of requests and %g of jobs; allowed: at most 1 each",
                 requests, jobs);
}

environment_t *
document_parse (JsonNode *root, gint64 version, GPtrArray *problems)
{
  static const char *const allowed[] = { "environment", "customers", "classes", NULL };
  guint problems_before = problems->len;
  location_t location = { .pointer = "", .problems = problems };
  g_autoptr (environment_t) environment = NULL;
  JsonArray *classes;
  JsonArray *customers;

  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    {
      add_problem (&location, NULL, "found no JSON object; allowed: one object");
      return NULL;
    }
  location.object = json_node_get_object (root);
  check_members (&location, allowed);
  classes = read_array (&location, "classes", ENVIRONMENT_CLASSES_MAX);
  customers = read_array (&location, "customers", ENVIRONMENT_CUSTOMERS_MAX);
  environment = environment_new (customers != NULL ? json_array_get_length (customers) : 0);
  environment->version = version;
  read_name (&location, "environment", environment->name);
  if (classes != NULL)
    {
      environment->class_count = json_array_get_length (classes);
      read_elements (&location, "classes", classes, read_class_element, environment);
      check_shares (&location, environment);
    }
  if (customers != NULL)
    read_elements (&location, "customers", customers, read_customer_element, environment);
  return problems->len == problems_before ? g_steal_pointer (&environment) : NULL;
}

environment_t *
document_parse_text (const char *text, gssize length, gint64 version, GPtrArray *problems)
{
  const char *reason;
  g_autoptr (JsonNode) root = json_parse (text, length, &reason);

  if (root == NULL)
    {
      g_ptr_array_add (problems, g_strdup_printf (": not JSON: %s", reason));
      return NULL;
    }
  return document_parse (root, version, problems);
}
