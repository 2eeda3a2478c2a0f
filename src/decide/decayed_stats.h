/* Weighted mean and squared deviations of samples, of which older ones may count for less. */
#pragma once

typedef struct
{
  double weight; /* of all samples; 0: none yet */
  double mean;
  double squares; /* weighted sum of squared deviations from the mean */
} decayed_stats_t;

/* Adds a sample; `weight` is above 0. */
void decayed_stats_add (decayed_stats_t *stats, double value, double weight);

/* Multiplies the weight of the samples by `keep`, from 0 to 1. */
void decayed_stats_fade (decayed_stats_t *stats, double keep);

/* Reduces the weight of the samples to `weight_max`, which is above 0. */
void decayed_stats_fade_to (decayed_stats_t *stats, double weight_max);

/* The mean with a prior mean that counts as `prior_weight` samples; one of the weights is above
 * 0. */
double decayed_stats_mean (const decayed_stats_t *stats, double prior, double prior_weight);
