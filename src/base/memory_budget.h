/* Bounds of the memory that data from outside takes.
 *
 * Each share is a part of the memory that the process may use.  Bytes are taken from a share before
 * they are kept, and given back when they are freed.  The budget belongs to the process, as its
 * memory does, and may be used by one thread only.
 */
#pragma once

#include <glib.h>
#include <stdbool.h>

typedef enum
{
  MEMORY_REQUESTS,         /* bodies of requests that are being read */
  MEMORY_WORK,             /* requests that were read and are not answered */
  MEMORY_EXECUTOR_ANSWERS, /* answers of executors and the advice service that are being read */
  MEMORY_STORE_ANSWERS,    /* answers of the store that are being read */
  MEMORY_LINKS,            /* frames from and to other VMs */
  MEMORY_SHARE_COUNT
} memory_share_t;

enum
{
  MEMORY_DEFAULT_MB = 256,
  MEMORY_MIN_MB = 64, /* a large page of the store's still has room */
  MEMORY_MAX_MB = 1048576
};

/* Returns the bytes of a share for a process that may use `memory_mb` MiB. */
gint64 memory_share_bytes (memory_share_t share, guint memory_mb);

/* Sets what the process may use, in MiB; MEMORY_DEFAULT_MB before the first call. */
void memory_set_limit_mb (guint memory_mb);

/* Returns the bound of what accepted jobs take on the leader, in bytes, for this process. */
gint64 memory_jobs_bytes (void);

/* Takes `bytes` for the first time (`held` 0), or `bytes` more for one who holds `held` bytes of
 * the share.  Returns false, and takes nothing, if the holder would then have more than the share
 * has left, or if `bytes` is negative: one holder alone gets half of the share, and room for small
 * ones is always left. */
bool memory_take (memory_share_t share, gint64 held, gint64 bytes);

void memory_give_back (memory_share_t share, gint64 bytes);

/* Returns whether more than half of the share is in use. */
bool memory_is_scarce (memory_share_t share);

gint64 memory_used_bytes (memory_share_t share);

/* Appends mimosastair_memory_* samples: bytes in use, bound and refusals of each share. */
void memory_append_metrics (GString *out);
