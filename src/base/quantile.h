/* Quantiles of a set of values. */
#pragma once

#include <glib.h>

/* Returns the element of the array of gint64 below which about `share` (0 to 1) of them are, or 0
 * if the array is empty.  Sorts the array. */
gint64 quantile_of (GArray *values, double share);
