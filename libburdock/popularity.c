#include "popularity.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define FAST_GAIN 0.5
#define SLOW_GAIN 0.1

/* Half-width of the noise band around the slow average, in medians of the normalised
 * deviation of a layer. 6 medians are about 4 standard deviations of a normal
 * distribution, so that noise seldom takes one of 128 experts out of the band. */
#define NOISE_BAND 6.0

/* Deviations above this many medians are drift rather than noise. From here to
 * NOISE_BAND, the estimate is blended from the slow to the fast average. */
#define DRIFT_BAND 3.0

/* Consecutive intervals outside of the noise band that make a surge; one is noise. */
#define SURGE_INTERVALS 2

/* Avoid division by zero for experts without tokens and layers without noise. */
#define SHARE_MIN 1e-6
#define DEVIATION_MIN 1e-9

struct BurdockPopularity {
  uint32_t layers;
  uint32_t experts;
  uint32_t samples;
  uint32_t surging;
  double *fast;
  double *slow;
  double *rates;
  double *share;
  double *previous; /* shares in the previous interval */
  double *scratch;
  uint8_t *outlier_intervals; /* consecutive intervals outside of the noise band */
};

BurdockPopularity *
burdock_popularity_new (uint32_t layers, uint32_t experts)
{
  BurdockPopularity *popularity = calloc (1, sizeof *popularity);
  size_t count = (size_t)layers * experts;

  popularity->layers = layers;
  popularity->experts = experts;
  popularity->fast = calloc (count, sizeof (double));
  popularity->slow = calloc (count, sizeof (double));
  popularity->rates = calloc (count, sizeof (double));
  popularity->share = calloc (experts, sizeof (double));
  popularity->previous = calloc (count, sizeof (double));
  popularity->scratch = calloc (experts, sizeof (double));
  popularity->outlier_intervals = calloc (count, 1);
  return popularity;
}

void
burdock_popularity_free (BurdockPopularity *popularity)
{
  if (popularity == NULL)
    return;
  free (popularity->fast);
  free (popularity->slow);
  free (popularity->rates);
  free (popularity->share);
  free (popularity->previous);
  free (popularity->scratch);
  free (popularity->outlier_intervals);
  free (popularity);
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* Deviation of the fast from the slow average, normalised to be comparable between
 * experts: the noise of a count grows with its square root. */
static double
deviation (double fast, double slow)
{
  return fabs (fast - slow) / sqrt (slow + SHARE_MIN);
}

static double
median_deviation (BurdockPopularity *popularity, const double *fast, const double *slow)
{
  for (uint32_t e = 0; e < popularity->experts; e++)
    popularity->scratch[e] = deviation (fast[e], slow[e]);
  qsort (popularity->scratch, popularity->experts, sizeof (double), compare_doubles);
  return popularity->scratch[popularity->experts / 2];
}

static double
blend (double fast, double slow, double medians)
{
  double weight = (medians - DRIFT_BAND) / (NOISE_BAND - DRIFT_BAND);

  if (weight < 0)
    weight = 0;
  return slow + (weight < 1 ? weight : 1) * (fast - slow);
}

static void
update_layer (BurdockPopularity *popularity, uint32_t layer, const double *share)
{
  size_t base = (size_t)layer * popularity->experts;
  double *fast = popularity->fast + base;
  double *slow = popularity->slow + base;
  double *previous = popularity->previous + base;
  uint8_t *outlier_intervals = popularity->outlier_intervals + base;
  double median;

  for (uint32_t e = 0; e < popularity->experts; e++) {
    fast[e] += (popularity->samples == 0 ? 1 : FAST_GAIN) * (share[e] - fast[e]);
    slow[e] += (popularity->samples == 0 ? 1 : SLOW_GAIN) * (share[e] - slow[e]);
  }
  median = median_deviation (popularity, fast, slow) + DEVIATION_MIN;
  for (uint32_t e = 0; e < popularity->experts; e++) {
    double medians = deviation (fast[e], slow[e]) / median;

    outlier_intervals[e] = medians > NOISE_BAND ? outlier_intervals[e] + 1 : 0;
    /* The level has changed, so neither average is valid; both restart from the mean of
     * the two intervals that showed the change. */
    if (outlier_intervals[e] == SURGE_INTERVALS) {
      popularity->surging++;
      slow[e] = fast[e] = (share[e] + previous[e]) / 2;
      outlier_intervals[e] = 0;
    }
    previous[e] = share[e];
    popularity->rates[base + e] = blend (fast[e], slow[e], medians);
  }
}

static void
update_rates (BurdockPopularity *popularity, uint32_t layer)
{
  size_t base = (size_t)layer * popularity->experts;
  double sum = 0;

  for (uint32_t e = 0; e < popularity->experts; e++)
    sum += popularity->rates[base + e];
  for (uint32_t e = 0; e < popularity->experts; e++)
    popularity->rates[base + e] =
        sum > 0 ? popularity->rates[base + e] / sum : 1.0 / popularity->experts;
}

void
burdock_popularity_add (BurdockPopularity *popularity, const double *tokens)
{
  popularity->surging = 0;
  for (uint32_t l = 0; l < popularity->layers; l++) {
    const double *layer = tokens + (size_t)l * popularity->experts;
    double sum = 0;

    for (uint32_t e = 0; e < popularity->experts; e++)
      sum += layer[e];
    /* A layer without tokens carries no information about its experts. */
    if (sum <= 0)
      continue;
    for (uint32_t e = 0; e < popularity->experts; e++)
      popularity->share[e] = layer[e] / sum;
    update_layer (popularity, l, popularity->share);
    update_rates (popularity, l);
  }
  popularity->samples++;
}

const double *
burdock_popularity_rates (const BurdockPopularity *popularity)
{
  return popularity->rates;
}

uint32_t
burdock_popularity_surging (const BurdockPopularity *popularity)
{
  return popularity->surging;
}

uint32_t
burdock_popularity_samples (const BurdockPopularity *popularity)
{
  return popularity->samples;
}
