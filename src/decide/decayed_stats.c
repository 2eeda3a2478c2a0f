#include "decide/decayed_stats.h"

void
decayed_stats_add (decayed_stats_t *stats, double value, double weight)
{
  double change = value - stats->mean;

  stats->weight += weight;
  stats->mean += change * weight / stats->weight;
  stats->squares += change * weight * (value - stats->mean);
}

void
decayed_stats_fade (decayed_stats_t *stats, double keep)
{
  stats->weight *= keep;
  stats->squares *= keep;
}

void
decayed_stats_fade_to (decayed_stats_t *stats, double weight_max)
{
  if (stats->weight > weight_max)
    decayed_stats_fade (stats, weight_max / stats->weight);
}

double
decayed_stats_mean (const decayed_stats_t *stats, double prior, double prior_weight)
{
  return (stats->weight * stats->mean + prior * prior_weight) / (stats->weight + prior_weight);
}
