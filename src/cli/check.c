#include "cli/check.h"

#include "base/json.h"
#include "base/json_check.h"
#include "platform/desired_pointer.h"
#include "platform/documents.h"

#include <errno.h>
#include <gio/gio.h>

enum
{
  READ_BYTES = 64 * 1024 /* at a time */
};

static const char *const level_names[] = {
  [FINDING_ERROR] = "error",
  [FINDING_WARNING] = "warning",
  [FINDING_CHANGE] = "change",
};

/* Where findings are written to, and their number by level. */
typedef struct
{
  FILE *out;
  JsonBuilder *builder; /* NULL: lines are written */
  guint counts[G_N_ELEMENTS (level_names)];
} report_t;

/* Reads one byte more than a document may have at most, so that an endless file ends as one that is
 * too large.  Returns NULL with ERROR_BAD_SETTING if the file cannot be read. */
static GString *
read_document (const char *path, error_info_t *error)
{
  const gsize max = (gsize) JSON_TEXT_MAX_BYTES + 1;
  g_autoptr (GFile) file = g_file_new_for_path (path);
  g_autoptr (GError) problem = NULL;
  g_autoptr (GFileInputStream) stream = g_file_read (file, NULL, &problem);
  g_autoptr (GString) text = g_string_new (NULL);
  g_autofree char *buffer = g_malloc (READ_BYTES);
  gssize bytes = stream != NULL ? 1 : -1;

  while (bytes > 0 && text->len < max)
    {
      bytes = g_input_stream_read (G_INPUT_STREAM (stream), buffer,
                                   MIN ((gsize) READ_BYTES, max - text->len), NULL, &problem);
      if (bytes > 0)
        g_string_append_len (text, buffer, bytes);
    }
  if (bytes >= 0)
    return g_steal_pointer (&text);
  (void) error_set (error, ERROR_BAD_SETTING, "%s: %s", path, problem->message);
  return NULL;
}

static void
add_line (report_t *report, finding_level_t level, const char *pointer, const char *text)
{
  report->counts[level]++;
  if (report->builder == NULL)
    {
      (void) fprintf (report->out, "%s: %s: %s\n", level_names[level],
                      pointer[0] != '\0' ? pointer : "document", text);
      return;
    }
  json_builder_begin_object (report->builder);
  json_put_string (report->builder, "level", level_names[level]);
  json_put_string (report->builder, "pointer", pointer);
  json_put_string (report->builder, "text", text);
  json_builder_end_object (report->builder);
}

static void
add_problems (report_t *report, const GPtrArray *problems)
{
  for (guint i = 0; i < problems->len; i++)
    {
      const desired_problem_t *problem = g_ptr_array_index (problems, i);

      add_line (report, problem->is_note ? FINDING_WARNING : FINDING_ERROR, problem->pointer,
                problem->reason);
    }
}

static void
add_findings (report_t *report, const GPtrArray *findings)
{
  for (guint i = 0; i < findings->len; i++)
    {
      const desired_finding_t *finding = g_ptr_array_index (findings, i);
      g_autofree char *pointer = desired_pointer (&finding->place);

      add_line (report, finding->level, pointer, finding->text);
    }
}

static void
add_all (report_t *report, const GString *text, const desired_state_t *in_force)
{
  g_autoptr (GPtrArray) problems = desired_problems_new ();
  desired_state_t *desired = documents_check_desired (text->str, text->len, problems);
  g_autoptr (GPtrArray) findings = desired != NULL ? desired_check (desired) : NULL;
  g_autoptr (GPtrArray) changes = NULL;

  add_problems (report, problems);
  if (findings != NULL)
    add_findings (report, findings);
  if (desired != NULL && in_force != NULL)
    changes = desired_compare (desired, in_force);
  if (changes != NULL)
    add_findings (report, changes);
  desired_state_free (desired);
}

static void
write_json (report_t *report, const GString *text, const desired_state_t *in_force)
{
  g_autoptr (JsonBuilder) builder = json_builder_new ();
  g_autofree char *json = NULL;

  report->builder = builder;
  json_builder_begin_object (builder);
  json_builder_set_member_name (builder, "findings");
  json_builder_begin_array (builder);
  add_all (report, text, in_force);
  json_builder_end_array (builder);
  json_put_int (builder, "errors", report->counts[FINDING_ERROR]);
  json_put_int (builder, "warnings", report->counts[FINDING_WARNING]);
  json_put_int (builder, "changes", report->counts[FINDING_CHANGE]);
  json_builder_end_object (builder);
  json = json_builder_to_string (builder);
  (void) fprintf (report->out, "%s\n", json);
}

/* Returns NULL with ERROR_BAD_SETTING if there is no usable document to compare with. */
static desired_state_t *
read_in_force (const char *path, error_info_t *error)
{
  g_autoptr (GString) text = read_document (path, error);
  error_info_t reason = { .kind = ERROR_NONE };
  desired_state_t *in_force;

  if (text == NULL)
    return NULL;
  in_force = documents_parse_desired (text->str, text->len, &reason);
  if (in_force == NULL)
    (void) error_set (error, ERROR_BAD_SETTING, "%s: %s", path, reason.detail);
  return in_force;
}

bool
check_desired_file (
    const char *path, const char *against, bool json, FILE *out, error_info_t *error)
{
  report_t report = { .out = out };
  g_autoptr (GString) text = read_document (path, error);
  desired_state_t *in_force = NULL;

  if (text == NULL)
    return false;
  if (against[0] != '\0')
    {
      in_force = read_in_force (against, error);
      if (in_force == NULL)
        return false;
    }
  if (json)
    write_json (&report, text, in_force);
  else
    add_all (&report, text, in_force);
  desired_state_free (in_force);
  if (fflush (out) != 0 || ferror (out) != 0)
    return error_set (error, ERROR_BAD_SETTING, "the findings cannot be written: %s",
                      g_strerror (errno));
  return report.counts[FINDING_ERROR] == 0;
}
