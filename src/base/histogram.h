/* Latency histogram with logarithmic buckets.
 *
 * Values are in microseconds, from 0 to about 8,590 s (2^33 us); larger values count in the
 * last bucket.  Each power of two is divided into eight buckets, so a quantile has an error
 * of at most 12.5 %.  A histogram owns no memory outside the struct.
 */
#pragma once

#include <stdint.h>

enum
{
  HISTOGRAM_SUB_BUCKETS = 8,
  HISTOGRAM_BUCKETS = 248
};

typedef struct
{
  uint64_t count;
  uint64_t sum_us;
  uint64_t max_us;
  uint64_t buckets[HISTOGRAM_BUCKETS];
} histogram_t;

void histogram_add (histogram_t *histogram, uint64_t value_us);

/* Returns the upper bound, in microseconds, of the bucket that holds quantile `q` (0.0 to
 * 1.0), capped at the largest recorded value.  Returns 0 if the histogram is empty. */
uint64_t histogram_quantile (const histogram_t *histogram, double q);

/* Returns the inclusive upper bound of bucket `index`, in microseconds. */
uint64_t histogram_bucket_upper_us (unsigned index);

/* Returns the index of the bucket that counts `value_us`. */
unsigned histogram_bucket_index (uint64_t value_us);
