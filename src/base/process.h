/* What this process uses of its limits, for the log and the metrics. */
#pragma once

#include <glib.h>

/* A limit of the system; PROCESS_UNLIMITED: none. */
typedef struct
{
  gint64 descriptors;
  gint64 address_space_bytes;
  gint64 data_bytes;
  gint64 file_bytes;
} process_limits_t;

enum
{
  PROCESS_UNLIMITED = -1,
  PROCESS_UNKNOWN = -1 /* the system does not tell */
};

/* Opens each standard descriptor that the process was started without, so that no connection or
 * file takes its number.  Writing to it fails. */
void process_open_standard_descriptors (void);

/* Returns the soft limits in force. */
process_limits_t process_limits (void);

/* Raises the soft limit of descriptors to the hard one, as far as the system allows it. */
void process_raise_descriptor_limit (void);

/* Returns the number of open descriptors, or PROCESS_UNKNOWN. */
gint64 process_descriptor_count (void);

/* Returns the resident size in bytes, or PROCESS_UNKNOWN. */
gint64 process_resident_bytes (void);

/* Logs the limits in force. */
void process_log_limits (void);

/* Appends mimosastair_process_* samples.  What the system does not tell is left out. */
void process_append_metrics (GString *out);
