/* Latency histogram with logarithmic buckets.
 *
 * Values are microseconds, 0 to about 4,700 s; larger ones count in the last
 * bucket.  Each power of two is split in eight, so a quantile is read back with
 * an error of at most 12.5 %.  A histogram owns no memory besides itself.
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

/* Returns the upper edge, in microseconds, of the bucket that holds quantile
 * `q` (0.0 to 1.0), at most the largest value seen; 0 when empty. */
uint64_t histogram_quantile (const histogram_t *histogram, double q);

/* Returns the inclusive upper edge, in microseconds, of bucket `index`. */
uint64_t histogram_bucket_upper_us (unsigned index);

/* Returns the bucket in which `value_us` counts. */
unsigned histogram_bucket (uint64_t value_us);
