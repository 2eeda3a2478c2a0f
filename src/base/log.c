#include "base/log.h"

#include <stdio.h>
#include <string.h>

static GLogLevelFlags threshold = G_LOG_LEVEL_INFO;

static const char *
level_name (GLogLevelFlags level)
{
  if (level & G_LOG_LEVEL_ERROR)
    return "error";
  if (level & G_LOG_LEVEL_CRITICAL)
    return "critical";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  if (level & G_LOG_LEVEL_DEBUG)
    return "debug";
  return "info";
}

static const char *
field (const GLogField *fields, gsize count, const char *key)
{
  for (gsize i = 0; i < count; i++)
    {
      if (strcmp (fields[i].key, key) == 0)
        return fields[i].value;
    }
  return NULL;
}

static GLogWriterOutput
write_line (GLogLevelFlags level, const GLogField *fields, gsize count, gpointer data G_GNUC_UNUSED)
{
  const char *module = field (fields, count, "MIMOSASTAIR_MODULE");
  const char *message = field (fields, count, "MESSAGE");
  g_autoptr (GDateTime) now = NULL;
  g_autofree char *stamp = NULL;

  if ((level & G_LOG_LEVEL_MASK) > threshold)
    return G_LOG_WRITER_HANDLED;
  now = g_date_time_new_now_utc ();
  stamp = g_date_time_format (now, "%Y-%m-%dT%H:%M:%S.%fZ");
  if (module == NULL)
    {
      /* Messages of libraries have no pairs of their own. */
      g_autofree char *quoted = g_strescape (message != NULL ? message : "", NULL);
      (void) fprintf (stderr, "time=%s level=%s module=library event=message text=\"%s\"\n", stamp,
                      level_name (level), quoted);
      return G_LOG_WRITER_HANDLED;
    }
  (void) fprintf (stderr, "time=%s level=%s module=%s %s\n", stamp, level_name (level), module,
                  message);
  return G_LOG_WRITER_HANDLED;
}

bool
log_init (const char *level)
{
  if (strcmp (level, "error") == 0)
    threshold = G_LOG_LEVEL_CRITICAL;
  else if (strcmp (level, "warning") == 0)
    threshold = G_LOG_LEVEL_WARNING;
  else if (strcmp (level, "info") == 0)
    threshold = G_LOG_LEVEL_INFO;
  else if (strcmp (level, "debug") == 0)
    threshold = G_LOG_LEVEL_DEBUG;
  else
    return false;
  g_log_set_writer_func (write_line, NULL, NULL);
  return true;
}

void
log_event (GLogLevelFlags level, const char *module, const char *event, const char *format, ...)
{
  g_autofree char *pairs = NULL;
  va_list args;

  if (level > threshold)
    return;
  if (format != NULL)
    {
      va_start (args, format);
      pairs = g_strdup_vprintf (format, args);
      va_end (args);
    }
  g_log_structured ("mimosastair", level, "MIMOSASTAIR_MODULE", module, "MESSAGE", "event=%s%s%s",
                    event, pairs != NULL ? " " : "", pairs != NULL ? pairs : "");
}
