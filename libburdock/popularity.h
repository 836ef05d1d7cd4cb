/**
 * DOC: popularity.h - estimates the share of each expert in the tokens of its layer
 *
 * Keeps two exponentially weighted moving averages per expert: the slow one applies while
 * demand is steady, the fast one to experts whose share drifts or surges.
 */
#ifndef BURDOCK_POPULARITY_H
#define BURDOCK_POPULARITY_H

#include "burdock.h"

typedef struct BurdockPopularity BurdockPopularity;

/** burdock_popularity_new() - release with burdock_popularity_free() */
BurdockPopularity *burdock_popularity_new (uint32_t layers, uint32_t experts);
void burdock_popularity_free (BurdockPopularity *popularity);

/** burdock_popularity_add() - adds the token counts of one interval, layer by layer */
void burdock_popularity_add (BurdockPopularity *popularity, const double *tokens);

/** burdock_popularity_rates() - expected share of each expert, layer by layer; each layer
 * sums to 1; valid until the popularity is freed */
const double *burdock_popularity_rates (const BurdockPopularity *popularity);

/** burdock_popularity_surging() - number of experts for which the last interval showed a
 * surge, summed over the layers */
uint32_t burdock_popularity_surging (const BurdockPopularity *popularity);

/** burdock_popularity_samples() - intervals added so far */
uint32_t burdock_popularity_samples (const BurdockPopularity *popularity);

#endif
