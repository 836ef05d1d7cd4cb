/**
 * DOC: random.h - a small seeded generator, so that a play can be repeated
 */
#ifndef TEST_RANDOM_H
#define TEST_RANDOM_H

#include <math.h>
#include <stdint.h>

/** random_seed() - state of a generator; not 0 */
static inline uint64_t
random_seed (uint64_t seed)
{
  return seed * UINT64_C (0x9e3779b97f4a7c15) + 1;
}

/** random_unit() - uniformly distributed from 0 to below 1 */
static inline double
random_unit (uint64_t *state)
{
  *state ^= *state << 13;
  *state ^= *state >> 7;
  *state ^= *state << 17;
  return (double)(*state >> 11) / (double)(UINT64_C (1) << 53);
}

/** random_exponential() - exponentially distributed with a mean of 1 */
static inline double
random_exponential (uint64_t *state)
{
  return -log (1 - random_unit (state));
}

#endif
