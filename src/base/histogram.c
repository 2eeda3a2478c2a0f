#include "base/histogram.h"

#define SUB_BITS 3

unsigned
histogram_bucket_index (uint64_t value_us)
{
  unsigned exponent;
  unsigned index;

  if (value_us < HISTOGRAM_SUB_BUCKETS)
    return (unsigned) value_us;
  exponent = 63U - (unsigned) __builtin_clzll (value_us);
  index = (exponent - SUB_BITS + 1) * HISTOGRAM_SUB_BUCKETS;
  index += (unsigned) (value_us >> (exponent - SUB_BITS)) - HISTOGRAM_SUB_BUCKETS;
  return index < HISTOGRAM_BUCKETS ? index : HISTOGRAM_BUCKETS - 1;
}

uint64_t
histogram_bucket_upper_us (unsigned index)
{
  unsigned shift;
  uint64_t mantissa;

  if (index < HISTOGRAM_SUB_BUCKETS)
    return index;
  shift = index / HISTOGRAM_SUB_BUCKETS - 1;
  mantissa = index % HISTOGRAM_SUB_BUCKETS + HISTOGRAM_SUB_BUCKETS;
  return ((mantissa + 1) << shift) - 1;
}

void
histogram_add (histogram_t *histogram, uint64_t value_us)
{
  histogram->count++;
  histogram->sum_us += value_us;
  if (value_us > histogram->max_us)
    histogram->max_us = value_us;
  histogram->buckets[histogram_bucket_index (value_us)]++;
}

uint64_t
histogram_quantile (const histogram_t *histogram, double q)
{
  uint64_t rank = (uint64_t) (q * (double) histogram->count);
  uint64_t cumulative_count = 0;

  if (histogram->count == 0)
    return 0;
  if (rank >= histogram->count)
    rank = histogram->count - 1;
  for (unsigned i = 0; i < HISTOGRAM_BUCKETS; i++)
    {
      cumulative_count += histogram->buckets[i];
      if (cumulative_count > rank)
        {
          uint64_t upper = histogram_bucket_upper_us (i);
          return upper < histogram->max_us ? upper : histogram->max_us;
        }
    }
  return histogram->max_us;
}
