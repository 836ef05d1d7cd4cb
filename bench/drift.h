/**
 * DOC: drift.h - synthetic popularity of experts that drifts and surges
 *
 * The weights of each layer follow a power law and change slowly by a random walk. From
 * time to time the popularity of a few experts surges at once and decays over minutes, as
 * when many callers ask about bins after a council notice. The same seed gives the same
 * popularity.
 */
#ifndef DRIFT_H
#define DRIFT_H

#include <stdint.h>

typedef struct Drift Drift;

/**
 * drift_new() - popularity of @experts experts in each of @layers layers
 * @surge_every_s: mean time between surges, 0 for none
 *
 * Release with drift_free().
 */
Drift *drift_new (uint32_t layers, uint32_t experts, uint32_t surge_every_s,
                  uint64_t seed);
void drift_free (Drift *drift);

/** drift_advance_1s() - advances the popularity by one second */
void drift_advance_1s (Drift *drift);

/** drift_surge() - starts a surge of @count random experts in every layer */
void drift_surge (Drift *drift, uint32_t count);

/** drift_rates() - share of tokens of each expert, layer by layer; each layer sums to 1.
 * Valid until drift_free(), and updated by drift_advance_1s() */
const double *drift_rates (const Drift *drift);

/**
 * drift_sample() - tokens that experts get when each is routed at random
 * @steps: steps to sample
 * @tokens: tokens routed in each step and layer
 * @out: share of all tokens of the layer for each expert, layer by layer
 */
void drift_sample (Drift *drift, double steps, double tokens, double *out);

#endif
