#include "base/log.h"

#include "base/clock.h"

#include <limits.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum
{
  BUFFER_BYTES = 256 * 1024, /* lines not written yet */
  LINE_BYTES = 1024,         /* longer lines are truncated */
  FLUSH_MS = 100             /* longest delay before a line is written if the reader keeps up */
};

static GLogLevelFlags threshold = G_LOG_LEVEL_INFO;
static char buffer[BUFFER_BYTES];
static gsize buffered_bytes;
static guint64 dropped;
static guint64 dropped_reported;
static guint64 write_errors;
static log_last_event_t last_event;

enum
{
  LIBRARY_ERROR,
  LIBRARY_CRITICAL,
  LIBRARY_WARNING,
  LIBRARY_LEVELS
};

static const char *const library_levels[LIBRARY_LEVELS] = { "error", "critical", "warning" };
static gint library_messages[LIBRARY_LEVELS]; /* atomic: libraries have threads of their own */
static bool is_stalled; /* the last flush left lines; the next one is the timer's */
static guint flush_timer;
static gint64 start_ms; /* monotonic */

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

/* Writes at most PIPE_BUF bytes at a time, which a pipe accepts without blocking when poll()
 * reports it as writable. */
void
log_flush (void)
{
  gsize written_bytes = 0;

  while (written_bytes < buffered_bytes)
    {
      struct pollfd out = { .fd = STDOUT_FILENO, .events = POLLOUT };
      gsize size = MIN (buffered_bytes - written_bytes, (gsize) PIPE_BUF);
      gssize written;

      if (poll (&out, 1, 0) <= 0 || (out.revents & POLLOUT) == 0)
        break;
      written = write (STDOUT_FILENO, buffer + written_bytes, size);
      if (written <= 0)
        {
          write_errors++;
          break;
        }
      written_bytes += (gsize) written;
    }
  is_stalled = written_bytes < buffered_bytes;
  memmove (buffer, buffer + written_bytes, buffered_bytes - written_bytes);
  buffered_bytes -= written_bytes;
}

/* log_last_line() calls only what is safe in a signal handler: put_text(), put_milli() and
 * put_prefix(). */

static gsize
put_text (char *line, gsize length, const char *text)
{
  while (*text != '\0' && length < LINE_BYTES - 1)
    line[length++] = *text++;
  return length;
}

/* Writes thousandths as a decimal number. */
static gsize
put_milli (char *line, gsize length, gint64 milli)
{
  char digits[32];
  gsize start = sizeof digits - 1;
  guint count = 0;

  digits[start] = '\0';
  for (; milli > 0 || count <= 3; milli /= 10, count++)
    {
      if (count == 3)
        digits[--start] = '.';
      digits[--start] = (char) ('0' + milli % 10);
    }
  return put_text (line, length, digits + start);
}

/* Writes what stands before the pairs of an event into an empty line. */
static gsize
put_prefix (char *line, GLogLevelFlags level, const char *module)
{
  struct timespec now = { 0 };
  gsize length = 0;

  (void) clock_gettime (CLOCK_REALTIME, &now);
  length = put_text (line, length, "time=");
  length = put_milli (line, length, (gint64) now.tv_sec * 1000 + now.tv_nsec / 1000000);
  length = put_text (line, length, " up=");
  length = put_milli (line, length, clock_now_us () / 1000 - start_ms);
  length = put_text (line, length, " level=");
  length = put_text (line, length, level_name (level));
  length = put_text (line, length, " module=");
  length = put_text (line, length, module);
  return put_text (line, length, " ");
}

void
log_last_line (const char *module, const char *text)
{
  char line[LINE_BYTES];
  gsize length = put_prefix (line, G_LOG_LEVEL_CRITICAL, module);

  length = put_text (line, length, text);
  line[length++] = '\n';
  log_flush ();
  if (buffered_bytes + length > sizeof buffer)
    buffered_bytes = 0; /* lines that nobody reads give way to the last one */
  memcpy (buffer + buffered_bytes, line, length);
  buffered_bytes += length;
  log_flush ();
}

static bool
buffer_append (const char *line, gsize length)
{
  if (buffered_bytes + length > sizeof buffer && !is_stalled)
    log_flush ();
  if (buffered_bytes + length > sizeof buffer)
    {
      dropped++;
      return false;
    }
  memcpy (buffer + buffered_bytes, line, length);
  buffered_bytes += length;
  return true;
}

static void
report_dropped (void)
{
  char line[LINE_BYTES];
  gsize length;

  if (dropped == dropped_reported || buffered_bytes + LINE_BYTES > sizeof buffer)
    return;
  length = put_prefix (line, G_LOG_LEVEL_WARNING, "log");
  length += (gsize) g_snprintf (line + length, sizeof line - length,
                                "event=lines_dropped count=%" G_GUINT64_FORMAT "\n",
                                dropped - dropped_reported);
  dropped_reported = dropped;
  (void) buffer_append (line, length);
}

static gboolean
on_flush_timer (gpointer data G_GNUC_UNUSED)
{
  log_flush ();
  report_dropped ();
  flush_timer = 0;
  if (buffered_bytes > 0)
    flush_timer = g_timeout_add (FLUSH_MS, on_flush_timer, NULL);
  return G_SOURCE_REMOVE;
}

/* Replaces control characters, also those of two bytes (U+0080 to U+009F): text from outside must
 * not begin a line of its own or change a terminal. */
static void
replace_control_characters (char *line, gsize start, gsize length)
{
  for (gsize i = start; i < length; i++)
    {
      guchar byte = (guchar) line[i];
      guchar next = i + 1 < length ? (guchar) line[i + 1] : 0;

      if (byte < ' ' || byte == 0x7f)
        line[i] = '?';
      else if (byte == 0xc2 && next >= 0x80 && next < 0xa0)
        line[i] = line[i + 1] = '?';
    }
}

/* Writes a line of LINE_BYTES whose text has this length, or had it before it was truncated.  The
 * text before `start` has no control characters. */
static void
write_line (GLogLevelFlags level, char *line, gsize start, gsize length)
{
  length = MIN (length, LINE_BYTES - 2);
  replace_control_characters (line, start, length);
  line[length++] = '\n';
  (void) buffer_append (line, length);
  if (flush_timer == 0)
    flush_timer = g_timeout_add (FLUSH_MS, on_flush_timer, NULL);
  if (level <= G_LOG_LEVEL_CRITICAL)
    log_flush ();
}

static void
count_library_message (GLogLevelFlags level)
{
  if (level & G_LOG_LEVEL_ERROR)
    g_atomic_int_inc (&library_messages[LIBRARY_ERROR]);
  else if (level & G_LOG_LEVEL_CRITICAL)
    g_atomic_int_inc (&library_messages[LIBRARY_CRITICAL]);
  else if (level & G_LOG_LEVEL_WARNING)
    g_atomic_int_inc (&library_messages[LIBRARY_WARNING]);
}

/* The library ends the process by a trap and loops forever where that signal is blocked, as it is
 * while the library starts a thread. */
static void
end_process (void)
{
  sigset_t none;

  sigemptyset (&none);
  (void) pthread_sigmask (SIG_SETMASK, &none, NULL);
  abort ();
}

/* Logs a message of a library, which has no key=value pairs, as one quoted value. */
static GLogWriterOutput
write_library_line (GLogLevelFlags level,
                    const GLogField *fields,
                    gsize count,
                    gpointer data G_GNUC_UNUSED)
{
  const char *message = "";
  g_autofree char *quoted = NULL;
  char line[LINE_BYTES];
  gsize start;
  gsize length;

  count_library_message (level);
  if ((level & G_LOG_LEVEL_MASK) > threshold)
    return G_LOG_WRITER_HANDLED;
  for (gsize i = 0; i < count; i++)
    {
      if (strcmp (fields[i].key, "MESSAGE") == 0)
        message = fields[i].value;
    }
  quoted = g_strescape (message, NULL);
  start = put_prefix (line, level & G_LOG_LEVEL_MASK, "library");
  length = start
           + (gsize) g_snprintf (line + start, sizeof line - start, "event=message text=\"%s\"",
                                 quoted);
  write_line (level & G_LOG_LEVEL_MASK, line, start, length);
  if (level & G_LOG_LEVEL_ERROR)
    end_process ();
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
  start_ms = clock_now_us () / 1000;
  g_log_set_writer_func (write_library_line, NULL, NULL);
  return true;
}

void
log_event (GLogLevelFlags level, const char *module, const char *event, const char *format, ...)
{
  char line[LINE_BYTES];
  gsize start;
  gsize length;
  va_list args;

  if (level > threshold)
    return;
  last_event = (log_last_event_t){ module, event, last_event.count + 1 };
  start = put_prefix (line, level, module);
  start = put_text (line, start, "event=");
  start = put_text (line, start, event);
  length = start;
  if (format != NULL)
    {
      start = put_text (line, start, " ");
      va_start (args, format);
      length = start + (gsize) g_vsnprintf (line + start, sizeof line - start, format, args);
      va_end (args);
    }
  write_line (level, line, start, length);
}

guint64
log_dropped_line_count (void)
{
  return dropped;
}

log_last_event_t
log_last_event (void)
{
  return last_event;
}

void
log_append_metrics (GString *out)
{
  g_string_append_printf (out, "mimosastair_log_lines_dropped_total %" G_GUINT64_FORMAT "\n",
                          dropped);
  g_string_append_printf (out, "mimosastair_log_write_errors_total %" G_GUINT64_FORMAT "\n",
                          write_errors);
  for (guint i = 0; i < LIBRARY_LEVELS; i++)
    g_string_append_printf (out, "mimosastair_library_messages_total{level=\"%s\"} %d\n",
                            library_levels[i], g_atomic_int_get (&library_messages[i]));
}
