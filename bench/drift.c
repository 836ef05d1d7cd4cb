#include "drift.h"

#include <math.h>
#include <stdlib.h>

/* Exponent of the power law that popularity follows. */
#define POPULARITY_EXPONENT 0.8

/* Standard deviation of the change of the logarithm of a weight in a second. With the
 * mean reversion below, 0.004 makes a change by a factor of 1.3 in an hour likely. */
#define DEVIATION_PER_S 0.004
#define MEAN_REVERSION_PER_S 0.0002

#define SURGE_FACTOR 8.0
#define SURGE_DECAY_PER_S 0.99 /* half-life of about 70 s */
#define SURGE_EXPERTS 4

struct Drift {
  uint32_t layers;
  uint32_t experts;
  uint32_t surge_every_s;
  uint64_t random_state;
  double *log_weight;    /* logarithm of the long-term weight */
  double *log_deviation; /* random walk around it */
  double *surge;         /* relative increase by a surge, 0 for none */
  double *rates;
};

static double
random_uniform (Drift *drift)
{
  uint64_t z = (drift->random_state += UINT64_C (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  z ^= z >> 31;
  return ((double)(z >> 11) + 0.5) / 9007199254740992.0;
}

static double
random_normal (Drift *drift)
{
  return sqrt (-2 * log (random_uniform (drift))) *
         cos (2 * M_PI * random_uniform (drift));
}

static size_t
weight_count (const Drift *drift)
{
  return (size_t)drift->layers * drift->experts;
}

static void
update_rates (Drift *drift)
{
  for (uint32_t l = 0; l < drift->layers; l++) {
    size_t first = (size_t)l * drift->experts;
    double sum = 0;

    for (uint32_t e = 0; e < drift->experts; e++) {
      size_t i = first + e;

      drift->rates[i] =
          exp (drift->log_weight[i] + drift->log_deviation[i]) * (1 + drift->surge[i]);
      sum += drift->rates[i];
    }
    for (uint32_t e = 0; e < drift->experts; e++)
      drift->rates[first + e] /= sum;
  }
}

/* Gives the experts of a layer the weights of the power law in random order. */
static void
shuffle_layer (Drift *drift, uint32_t layer)
{
  double *log_weight = drift->log_weight + (size_t)layer * drift->experts;

  for (uint32_t e = 0; e < drift->experts; e++)
    log_weight[e] = -POPULARITY_EXPONENT * log ((double)e + 4);
  for (uint32_t e = drift->experts - 1; e > 0; e--) {
    uint32_t other = (uint32_t)(random_uniform (drift) * (e + 1));
    double kept = log_weight[e];

    log_weight[e] = log_weight[other];
    log_weight[other] = kept;
  }
}

Drift *
drift_new (uint32_t layers, uint32_t experts, uint32_t surge_every_s, uint64_t seed)
{
  Drift *drift = calloc (1, sizeof *drift);

  drift->layers = layers;
  drift->experts = experts;
  drift->surge_every_s = surge_every_s;
  drift->random_state = seed * 7919;
  drift->log_weight = calloc (weight_count (drift), sizeof (double));
  drift->log_deviation = calloc (weight_count (drift), sizeof (double));
  drift->surge = calloc (weight_count (drift), sizeof (double));
  drift->rates = calloc (weight_count (drift), sizeof (double));
  for (uint32_t l = 0; l < layers; l++)
    shuffle_layer (drift, l);
  update_rates (drift);
  return drift;
}

void
drift_free (Drift *drift)
{
  free (drift->log_weight);
  free (drift->log_deviation);
  free (drift->surge);
  free (drift->rates);
  free (drift);
}

void
drift_surge (Drift *drift, uint32_t count)
{
  for (uint32_t l = 0; l < drift->layers; l++)
    for (uint32_t i = 0; i < count; i++)
      drift->surge[(size_t)l * drift->experts +
                   (uint32_t)(random_uniform (drift) * drift->experts)] = SURGE_FACTOR;
}

void
drift_advance_1s (Drift *drift)
{
  if (drift->surge_every_s > 0 && random_uniform (drift) < 1.0 / drift->surge_every_s)
    drift_surge (drift, SURGE_EXPERTS);
  for (size_t i = 0; i < weight_count (drift); i++) {
    drift->log_deviation[i] += DEVIATION_PER_S * random_normal (drift) -
                               MEAN_REVERSION_PER_S * drift->log_deviation[i];
    drift->surge[i] *= SURGE_DECAY_PER_S;
  }
  update_rates (drift);
}

const double *
drift_rates (const Drift *drift)
{
  return drift->rates;
}

void
drift_sample (Drift *drift, double steps, double tokens, double *out)
{
  double total = steps * tokens;

  for (size_t i = 0; i < weight_count (drift); i++) {
    double expected = drift->rates[i] * total;
    double counted = expected + sqrt (expected) * random_normal (drift);

    out[i] = counted > 0 ? counted / total : 0;
  }
}
