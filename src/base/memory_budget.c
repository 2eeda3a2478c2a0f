#define LOG_MODULE "memory"

#include "base/memory_budget.h"

#include "base/log.h"

typedef struct
{
  gint64 used_bytes;
  guint64 refusals;
} share_state_t;

enum
{
  /* All shares together are five eighths of the memory.  The rest is for the program, its queues
   * and the copies that one text takes while it is parsed. */
  SHARE_DIVISOR = 8,
  /* Of accepted jobs, which take their memory from that rest: it is three eighths. */
  JOBS_DIVISOR = 4
};

static guint limit_mb = MEMORY_DEFAULT_MB;
static share_state_t shares[MEMORY_SHARE_COUNT];

gint64
memory_share_bytes (memory_share_t share, guint memory_mb)
{
  switch (share)
    {
    case MEMORY_REQUESTS:
    case MEMORY_WORK:
    case MEMORY_EXECUTOR_ANSWERS:
    case MEMORY_STORE_ANSWERS:
    case MEMORY_LINKS:
      return (gint64) memory_mb * 1024 * 1024 / SHARE_DIVISOR;
    case MEMORY_SHARE_COUNT:
      break;
    }
  g_assert_not_reached ();
}

void
memory_set_limit_mb (guint memory_mb)
{
  limit_mb = memory_mb;
}

gint64
memory_jobs_bytes (void)
{
  return (gint64) limit_mb * 1024 * 1024 / JOBS_DIVISOR;
}

bool
memory_take (memory_share_t share, gint64 held, gint64 bytes)
{
  share_state_t *state = &shares[share];
  gint64 left_bytes = memory_share_bytes (share, limit_mb) - state->used_bytes - bytes;

  if (bytes < 0 || held + bytes > left_bytes)
    {
      state->refusals++;
      return false;
    }
  state->used_bytes += bytes;
  return true;
}

void
memory_give_back (memory_share_t share, gint64 bytes)
{
  if (bytes > shares[share].used_bytes)
    {
      LOG_WARN ("memory_miscounted", "share=%d bytes=%" G_GINT64_FORMAT " used=%" G_GINT64_FORMAT,
                (int) share, bytes, shares[share].used_bytes);
      bytes = shares[share].used_bytes;
    }
  shares[share].used_bytes -= bytes;
}

bool
memory_is_scarce (memory_share_t share)
{
  return shares[share].used_bytes > memory_share_bytes (share, limit_mb) / 2;
}

gint64
memory_used_bytes (memory_share_t share)
{
  return shares[share].used_bytes;
}

static const char *
share_name (memory_share_t share)
{
  switch (share)
    {
    case MEMORY_REQUESTS:
      return "requests";
    case MEMORY_WORK:
      return "work";
    case MEMORY_EXECUTOR_ANSWERS:
      return "executor_answers";
    case MEMORY_STORE_ANSWERS:
      return "store_answers";
    case MEMORY_LINKS:
      return "links";
    case MEMORY_SHARE_COUNT:
      break;
    }
  g_assert_not_reached ();
}

void
memory_append_metrics (GString *out)
{
  for (memory_share_t share = 0; share < MEMORY_SHARE_COUNT; share++)
    {
      const char *name = share_name (share);

      g_string_append_printf (out,
                              "mimosastair_memory_used_bytes{share=\"%s\"} %" G_GINT64_FORMAT "\n",
                              name, shares[share].used_bytes);
      g_string_append_printf (out,
                              "mimosastair_memory_bound_bytes{share=\"%s\"} %" G_GINT64_FORMAT "\n",
                              name, memory_share_bytes (share, limit_mb));
      g_string_append_printf (
          out, "mimosastair_memory_refusals_total{share=\"%s\"} %" G_GUINT64_FORMAT "\n", name,
          shares[share].refusals);
    }
}
