#include "operator/document_json.h"

#include <string.h>

/* Where a value stands, and where to list what is wrong with it. */
typedef struct
{
  JsonObject *object;
  const char *pointer; /* of the object */
  GPtrArray *problems;
} place_t;

static const double share_sum_max = 1.0 + 1e-9;
static const gint64 deadline_ms_max = 600000;
static const gint64 queue_limit_max = 1000000;
static const gint64 retry_attempts_max = 5;
static const double weight_max = 1000;

static void G_GNUC_PRINTF (3, 4)
    problem (const place_t *place, const char *member, const char *format, ...)
{
  g_autofree char *text = NULL;
  va_list args;

  va_start (args, format);
  text = g_strdup_vprintf (format, args);
  va_end (args);
  g_ptr_array_add (place->problems,
                   g_strdup_printf ("%s%s%s: %s", place->pointer, member != NULL ? "/" : "",
                                    member != NULL ? member : "", text));
}

static char *
shown (JsonObject *object, const char *member)
{
  JsonNode *node = json_object_get_member (object, member);

  return node != NULL ? json_to_string (node, FALSE) : g_strdup ("nothing");
}

static void
wrong (const place_t *place, const char *member, const char *allowed)
{
  g_autofree char *found = shown (place->object, member);

  problem (place, member, "found %s; allowed: %s", found, allowed);
}

static bool
holds (const place_t *place, const char *member, GType type)
{
  JsonNode *node = json_object_get_member (place->object, member);

  return node != NULL && JSON_NODE_HOLDS_VALUE (node) && json_node_get_value_type (node) == type;
}

static bool
is_name (const char *text)
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
read_name (const place_t *place, const char *member, char *name)
{
  const char *text = "";

  if (holds (place, member, G_TYPE_STRING))
    text = json_object_get_string_member (place->object, member);
  if (is_name (text))
    g_strlcpy (name, text, ENVIRONMENT_NAME_MAX + 1);
  else
    wrong (place, member, "a name of 1 to 63 of a-z, 0-9 and -, beginning with a letter");
}

static gint64
read_whole (const place_t *place, const char *member, gint64 min, gint64 max, gint64 fallback)
{
  gint64 value = fallback;
  g_autofree char *allowed
      = g_strdup_printf ("a whole number from %" G_GINT64_FORMAT " to %" G_GINT64_FORMAT, min, max);

  if (!json_object_has_member (place->object, member) && fallback >= min)
    return fallback;
  if (holds (place, member, G_TYPE_INT64))
    value = json_object_get_int_member (place->object, member);
  else
    value = min - 1;
  if (value < min || value > max)
    wrong (place, member, allowed);
  return value;
}

static double
read_real (const place_t *place, const char *member, double min, double max, double fallback)
{
  double value = min - 1;
  g_autofree char *allowed = g_strdup_printf ("a number from %g to %g", min, max);

  if (!json_object_has_member (place->object, member))
    return fallback;
  if (holds (place, member, G_TYPE_INT64) || holds (place, member, G_TYPE_DOUBLE))
    value = json_object_get_double_member (place->object, member);
  if (!(value >= min && value <= max))
    wrong (place, member, allowed);
  return value;
}

static bool
read_flag (const place_t *place, const char *member, bool fallback)
{
  if (!json_object_has_member (place->object, member))
    return fallback;
  if (holds (place, member, G_TYPE_BOOLEAN))
    return json_object_get_boolean_member (place->object, member);
  wrong (place, member, "true or false");
  return fallback;
}

static void
refuse_unknown (const place_t *place, const char *const *known)
{
  g_autoptr (GList) members = json_object_get_members (place->object);

  for (const GList *link = members; link != NULL; link = link->next)
    {
      if (!g_strv_contains (known, link->data))
        {
          g_autofree char *list = g_strjoinv (", ", (char **) known);

          problem (place, link->data, "found an unknown field; allowed: %s", list);
        }
    }
}

static void
read_kind (const place_t *place, work_class_t *class)
{
  const char *text = "";

  if (holds (place, "kind", G_TYPE_STRING))
    text = json_object_get_string_member (place->object, "kind");
  if (strcmp (text, "request") == 0)
    class->kind = WORK_REQUEST;
  else if (strcmp (text, "job") == 0)
    class->kind = WORK_JOB;
  else
    wrong (place, "kind", "\"request\" or \"job\"");
}

static void
read_class (const place_t *place, work_class_t *class)
{
  static const char *const known[]
      = { "name",  "kind",  "idempotent",  "urgency",        "deadline_ms",
          "share", "limit", "queue_limit", "retry_attempts", NULL };
  const gint64 default_deadline_ms = 10000;
  const gint64 default_queue_limit = 1000;

  refuse_unknown (place, known);
  read_name (place, "name", class->name);
  read_kind (place, class);
  class->idempotent = read_flag (place, "idempotent", false);
  class->urgency = (guint) read_whole (place, "urgency", 0, ENVIRONMENT_URGENCY_MAX, -1);
  class->deadline_us
      = 1000 * read_whole (place, "deadline_ms", 1, deadline_ms_max, default_deadline_ms);
  class->share = read_real (place, "share", 0, 1, 0);
  class->limit = read_real (place, "limit", 0, 1, 1);
  class->queue_limit
      = (guint) read_whole (place, "queue_limit", 0, queue_limit_max, default_queue_limit);
  class->retry_attempts = (guint) read_whole (place, "retry_attempts", 0, retry_attempts_max, 1);
  if (class->limit < class->share)
    problem (place, "limit", "found %g; allowed: at least the share, %g", class->limit,
             class->share);
}

static void
read_customer (const place_t *place, customer_t *customer)
{
  static const char *const known[] = { "name", "weight", NULL };
  const double weight_min = 0.001;

  refuse_unknown (place, known);
  read_name (place, "name", customer->name);
  customer->weight = read_real (place, "weight", weight_min, weight_max, 1);
}

/* Returns the list when it is one of allowed length, else lists the problem. */
static JsonArray *
read_list (const place_t *place, const char *member, guint max)
{
  JsonNode *node = json_object_get_member (place->object, member);
  JsonArray *list = NULL;

  if (node != NULL && JSON_NODE_HOLDS_ARRAY (node))
    list = json_node_get_array (node);
  if (list != NULL && json_array_get_length (list) >= 1 && json_array_get_length (list) <= max)
    return list;
  problem (place, member, "found %s of %u; allowed: a list of 1 to %u",
           list != NULL ? "a list" : "no list", list != NULL ? json_array_get_length (list) : 0,
           max);
  return NULL;
}

typedef void (*read_element_t) (const place_t *place, guint index, environment_t *environment);

static void
read_class_element (const place_t *place, guint index, environment_t *environment)
{
  work_class_t *class = &environment->classes[index];

  read_class (place, class);
  if (class->name[0] != '\0' && environment_find_class (environment, class->name) != (int) index)
    problem (place, "name", "found \"%s\" twice; allowed: once", class->name);
}

static void
read_customer_element (const place_t *place, guint index, environment_t *environment)
{
  customer_t *customer = &environment->customers[index];

  read_customer (place, customer);
  if (customer->name[0] != '\0'
      && environment_find_customer (environment, customer->name) != (int) index)
    problem (place, "name", "found \"%s\" twice; allowed: once", customer->name);
}

static void
read_elements (const place_t *place,
               const char *member,
               JsonArray *list,
               read_element_t read,
               environment_t *environment)
{
  for (guint i = 0; i < json_array_get_length (list); i++)
    {
      JsonNode *node = json_array_get_element (list, i);
      g_autofree char *pointer = g_strdup_printf ("%s/%s/%u", place->pointer, member, i);
      place_t inner = { .pointer = pointer, .problems = place->problems };

      if (!JSON_NODE_HOLDS_OBJECT (node))
        {
          problem (&inner, NULL, "found no object; allowed: an object");
          continue;
        }
      inner.object = json_node_get_object (node);
      read (&inner, i, environment);
    }
}

static void
check_shares (const place_t *place, const environment_t *environment)
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
  if (requests > share_sum_max || jobs > share_sum_max)
    problem (place, "classes",
             "found shares that sum to %g of requests and %g of jobs; allowed: at most 1 each",
             requests, jobs);
}

environment_t *
document_parse (JsonNode *root, gint64 version, GPtrArray *problems)
{
  static const char *const known[] = { "environment", "customers", "classes", NULL };
  guint before = problems->len;
  place_t place = { .pointer = "", .problems = problems };
  g_autoptr (environment_t) environment = NULL;
  JsonArray *classes;
  JsonArray *customers;

  if (root == NULL || !JSON_NODE_HOLDS_OBJECT (root))
    {
      problem (&place, NULL, "found no JSON object; allowed: one object");
      return NULL;
    }
  place.object = json_node_get_object (root);
  refuse_unknown (&place, known);
  classes = read_list (&place, "classes", ENVIRONMENT_CLASSES_MAX);
  customers = read_list (&place, "customers", ENVIRONMENT_CUSTOMERS_MAX);
  environment = environment_new (customers != NULL ? json_array_get_length (customers) : 0);
  environment->version = version;
  read_name (&place, "environment", environment->name);
  if (classes != NULL)
    {
      environment->class_count = json_array_get_length (classes);
      read_elements (&place, "classes", classes, read_class_element, environment);
      check_shares (&place, environment);
    }
  if (customers != NULL)
    read_elements (&place, "customers", customers, read_customer_element, environment);
  return problems->len == before ? g_steal_pointer (&environment) : NULL;
}

environment_t *
document_parse_text (const char *text, gssize length, gint64 version, GPtrArray *problems)
{
  g_autoptr (JsonParser) parser = json_parser_new ();
  g_autoptr (GError) error = NULL;

  if (!json_parser_load_from_data (parser, text, length, &error))
    {
      g_ptr_array_add (problems, g_strdup_printf (": not JSON: %s", error->message));
      return NULL;
    }
  return document_parse (json_parser_get_root (parser), version, problems);
}
