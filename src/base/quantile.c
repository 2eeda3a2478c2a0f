#include "base/quantile.h"

static gint
compare_values (gconstpointer a, gconstpointer b)
{
  gint64 left = *(const gint64 *) a;
  gint64 right = *(const gint64 *) b;

  return left < right ? -1 : left > right;
}

gint64
quantile_of (GArray *values, double share)
{
  if (values->len == 0)
    return 0;
  g_array_sort (values, compare_values);
  return g_array_index (values, gint64, (guint) (share * (values->len - 1)));
}
