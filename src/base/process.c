#define LOG_MODULE "process"

#include "base/process.h"

#include "base/log.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <sys/resource.h>
#include <unistd.h>

static gint64
soft_limit (int resource)
{
  struct rlimit limit;

  if (getrlimit ((__rlimit_resource_t) resource, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
    return PROCESS_UNLIMITED;
  return (gint64) MIN (limit.rlim_cur, (rlim_t) G_MAXINT64);
}

void
process_open_standard_descriptors (void)
{
  for (int descriptor = STDIN_FILENO; descriptor <= STDERR_FILENO; descriptor++)
    {
      /* open() returns the lowest free number. */
      if (fcntl (descriptor, F_GETFD) < 0 && errno == EBADF)
        (void) open ("/dev/null", O_RDONLY);
    }
}

process_limits_t
process_limits (void)
{
  return (process_limits_t){
    .descriptors = soft_limit (RLIMIT_NOFILE),
    .address_space_bytes = soft_limit (RLIMIT_AS),
    .data_bytes = soft_limit (RLIMIT_DATA),
    .file_bytes = soft_limit (RLIMIT_FSIZE),
  };
}

void
process_raise_descriptor_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == limit.rlim_max)
    return;
  limit.rlim_cur = limit.rlim_max;
  (void) setrlimit (RLIMIT_NOFILE, &limit);
}

gint64
process_descriptor_count (void)
{
  g_autoptr (GDir) dir = g_dir_open ("/proc/self/fd", 0, NULL);
  gint64 count = 0;

  if (dir == NULL)
    return PROCESS_UNKNOWN;
  while (g_dir_read_name (dir) != NULL)
    count++;
  return count - 1; /* without the one that reads the folder */
}

gint64
process_resident_bytes (void)
{
  g_autofree char *text = NULL;
  long total_pages;
  long resident_pages;

  if (!g_file_get_contents ("/proc/self/statm", &text, NULL, NULL)
      || sscanf (text, "%ld %ld", &total_pages, &resident_pages) != 2)
    return PROCESS_UNKNOWN;
  return (gint64) resident_pages * sysconf (_SC_PAGESIZE);
}

void
process_log_limits (void)
{
  process_limits_t limits = process_limits ();

  LOG_INFO ("limits",
            "descriptors=%" G_GINT64_FORMAT " address_space_bytes=%" G_GINT64_FORMAT
            " data_bytes=%" G_GINT64_FORMAT " file_bytes=%" G_GINT64_FORMAT,
            limits.descriptors, limits.address_space_bytes, limits.data_bytes, limits.file_bytes);
}

static void
append_sample (GString *out, const char *name, gint64 value)
{
  if (value >= 0)
    g_string_append_printf (out, "mimosastair_process_%s %" G_GINT64_FORMAT "\n", name, value);
}

void
process_append_metrics (GString *out)
{
  process_limits_t limits = process_limits ();

  append_sample (out, "descriptors", process_descriptor_count ());
  append_sample (out, "descriptors_limit", limits.descriptors);
  append_sample (out, "resident_bytes", process_resident_bytes ());
}
