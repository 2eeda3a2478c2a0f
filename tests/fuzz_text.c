/* Fuzzes the readers of text from outside with mutations of valid texts.
 *
 * Run under ASan and UBSan.  Checked besides: what a reader accepts is in the ranges that its
 * header states.
 *
 * usage: fuzz_text [COUNT [SEED]]
 *
 * Gives each reader COUNT texts, derived from the seed. */
#include "mutated_text.h"

#include "base/address.h"
#include "base/json.h"
#include "base/json_check.h"
#include "base/log.h"
#include "decide/desired_check.h"
#include "entry/codec.h"
#include "platform/documents.h"
#include "platform/task_name.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  COUNT_MAX = G_MAXINT32 /* of a number of the platform's documents */
};

static const char *violation;

/* ---- Texts. */

static const char entry_text[]
    = "{\"service\":\"s\",\"address\":\"10.0.0.1:8080\",\"zone\":\"z\",\"version\":\"v1\","
      "\"slots\":8,"
      "\"state\":\"ready\",\"cold-left-ms\":0,\"capacity\":{\"cpu\":16000,\"mem-mb\":32768,\"gpu\":"
      "0},"
      "\"labels\":[\"a\",\"r1-3\"],\"clock-ms\":482113,\"seq\":4,\"born\":1796461485873}";

static const char job_text[]
    = "{\"spec\":\"te\\u0001xt\",\"job-steps\":[{\"count\":4,\"cpu\":500,\"mem-mb\":256,"
      "\"est-runtime-ms\":900,\"data-rack\":\"r1-3\",\"requires\":\"a\"},{\"count\":20,\"cpu\":"
      "2000,"
      "\"after\":[0],\"checkpointing\":true,\"max-per-server\":2}],\"times\":3,\"start-at-ms\":1,"
      "\"interval-ms\":4.5e2}";

static const char desired_text[]
    = "{\"version\":7,\"services\":[{\"name\":\"s\",\"enforces-capacity\":true}],\"routes\":[{"
      "\"name\":"
      "\"q\",\"host\":\"h\",\"prefix\":\"/q/\",\"service\":\"s\",\"priority\":1,\"attempts\":3,"
      "\"stretch\":2.5,\"advice\":{\"decide-ms\":310,\"period-ms\":4.4,\"validity-ms\":1500}}],"
      "\"tenants\":[{\"name\":\"w\",\"api-keys\":[\"k1\",\"k2\"],\"weight\":90,\"cap\":{\"cpu\":"
      "5000,\"mem-mb\":64,\"gpu\":0}},{\"name\":\"v\",\"api-keys\":[\"k3\"]}]}";

static const char task_text[] = "5c0e7a21d94b36f8.0.1.17";
static const char address_text[] = "[::1]:8080";

/* ---- Readers. */

static void
require (bool holds, const char *what)
{
  if (!holds)
    violation = what;
}

static guint depth_of (JsonNode *node);

static guint
depth_of_array (JsonArray *array)
{
  guint deepest = 0;

  for (guint i = 0; i < json_array_get_length (array); i++)
    deepest = MAX (deepest, depth_of (json_array_get_element (array, i)));
  return deepest;
}

static guint
depth_of_object (JsonObject *object)
{
  g_autoptr (GList) members = json_object_get_members (object);
  guint deepest = 0;

  for (const GList *member = members; member != NULL; member = member->next)
    deepest = MAX (deepest, depth_of (json_object_get_member (object, member->data)));
  return deepest;
}

static guint
depth_of (JsonNode *node)
{
  if (JSON_NODE_HOLDS_ARRAY (node))
    return 1 + depth_of_array (json_node_get_array (node));
  if (JSON_NODE_HOLDS_OBJECT (node))
    return 1 + depth_of_object (json_node_get_object (node));
  return 0;
}

/* What is parsed can be written, and read again as the same. */
static void
read_json (const GString *text)
{
  const char *reason;
  g_autoptr (JsonNode) root = json_parse (text->str, (gssize) text->len, &reason);
  g_autoptr (JsonNode) again = NULL;
  g_autofree char *written = NULL;

  if (root == NULL)
    return;
  require (depth_of (root) <= JSON_DEPTH_MAX, "nested too deeply");
  written = json_node_to_text (root);
  again = json_parse (written, -1, &reason);
  require (again != NULL && json_node_equal (root, again), "written text reads as another");
}

static void
read_entry (const GString *text)
{
  registry_entry_t entry;
  error_info_t error = { .kind = ERROR_NONE };

  if (documents_parse_executor ("e", text->str, text->len, &entry, &error))
    {
      require (address_is_callable (entry.entry.address), "an address that cannot be called");
      require (entry.entry.capacity.cpu_milli <= COUNT_MAX
                   && entry.entry.capacity.mem_mb <= COUNT_MAX,
               "a capacity out of range");
      require (entry.entry.born >= 0 && entry.entry.labels != NULL, "an incomplete entry");
    }
  else
    require (error.kind == ERROR_BAD_DOCUMENT, "an entry refused without its error");
  registry_entry_clear (&entry);
}

static void
read_job (const GString *text)
{
  error_info_t error = { .kind = ERROR_NONE };
  job_spec_t *job = documents_parse_job (text->str, text->len, &error);

  if (job == NULL)
    {
      require (error.kind == ERROR_BAD_REQUEST, "a job refused without its error");
      return;
    }
  require (job_spec_error (job) == NULL, "a job that can never run");
  job_spec_free (job);
}

/* The tool's check accepts what the daemon accepts, and says why it rejects the rest. */
static void
check_desired (const GString *text, const desired_state_t *in_force)
{
  g_autoptr (GPtrArray) problems = desired_problems_new ();
  desired_state_t *desired = documents_check_desired (text->str, text->len, problems);

  require ((desired != NULL) == (in_force != NULL), "a check that differs from the daemon");
  require (desired != NULL || problems->len > 0, "a rejection without a reason");
  if (desired == NULL)
    return;
  g_ptr_array_unref (desired_check (desired));
  g_ptr_array_unref (desired_compare (desired, in_force));
  desired_state_free (desired);
}

static void
read_desired (const GString *text)
{
  error_info_t error = { .kind = ERROR_NONE };
  desired_state_t *desired = documents_parse_desired (text->str, text->len, &error);

  check_desired (text, desired);
  if (desired == NULL)
    return;
  require (desired->version > 0, "a desired state without a version");
  desired_state_free (desired);
}

static void
read_address (const GString *text)
{
  g_autofree char *host = NULL;
  guint16 port;

  if (address_split (text->str, &host, &port))
    require (g_hostname_is_ip_address (host), "a host that is no IP address");
}

static void
read_task (const GString *text)
{
  task_ref_t task;

  if (task_name_parse (text->str, &task))
    require (strlen (task.job) == JOB_ID_BYTES - 1, "a job id of another length");
}

/* A stored record. */
static void
read_record (const GString *text)
{
  g_autoptr (GArray) progress = codec_unpack_progress ((const guint8 *) text->str, text->len);
  job_spec_t *job = codec_unpack_job ((const guint8 *) text->str, text->len);

  require (progress != NULL, "no progress");
  if (job == NULL)
    return;
  require (job_spec_error (job) == NULL, "a record of a job that can never run");
  job_spec_free (job);
}

static const struct
{
  const char *name;
  const char *valid;
  void (*read) (const GString *text);
} readers[] = {
  { "json", job_text, read_json },
  { "entry", entry_text, read_entry },
  { "job", job_text, read_job },
  { "desired_state", desired_text, read_desired },
  { "address", address_text, read_address },
  { "task", task_text, read_task },
  { "record", task_text, read_record },
};

static bool
fuzz (GRand *random_source, guint reader, guint count)
{
  for (guint i = 0; i < count; i++)
    {
      GString *text = mutated_text_new (random_source, readers[reader].valid);

      readers[reader].read (text);
      if (violation != NULL)
        {
          (void) printf ("%s: %s: %s\n", readers[reader].name, violation, text->str);
          return false;
        }
      g_string_free (text, TRUE);
    }
  return true;
}

int
main (int argc, char **argv)
{
  guint count = argc > 1 ? (guint) strtoul (argv[1], NULL, 10) : 10000;
  guint32 seed = argc > 2 ? (guint32) strtoul (argv[2], NULL, 10) : 1;
  guint failed = 0;
  GRand *random_source;

  if (!log_init ("error"))
    return EXIT_FAILURE;
  random_source = g_rand_new_with_seed (seed);
  for (guint i = 0; i < G_N_ELEMENTS (readers); i++)
    {
      violation = NULL;
      failed += !fuzz (random_source, i, count);
    }
  g_rand_free (random_source);
  (void) printf ("%u texts for each reader, seed %u\n%u passed, %u failed\n", count, seed,
                 (guint) G_N_ELEMENTS (readers) - failed, failed);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
