/**
 * DOC: bit-set.h - set of small numbers: ranks of a group, or experts of a layer
 */
#ifndef BURDOCK_BIT_SET_H
#define BURDOCK_BIT_SET_H

#include <stdbool.h>
#include <stdint.h>

/* Numbers from 0 to this one, exclusive. */
#define BURDOCK_BIT_SET_BITS 256

#define BURDOCK_BIT_SET_WORDS (BURDOCK_BIT_SET_BITS / 64)

typedef struct {
  uint64_t words[BURDOCK_BIT_SET_WORDS];
} BurdockBitSet;

static inline bool
burdock_bit_set_has (const BurdockBitSet *set, uint32_t member)
{
  return (set->words[member / 64] >> (member % 64) & 1) != 0;
}

static inline void
burdock_bit_set_add (BurdockBitSet *set, uint32_t member)
{
  set->words[member / 64] |= UINT64_C (1) << (member % 64);
}

static inline void
burdock_bit_set_remove (BurdockBitSet *set, uint32_t member)
{
  set->words[member / 64] &= ~(UINT64_C (1) << (member % 64));
}

static inline uint32_t
burdock_bit_set_count (const BurdockBitSet *set)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < BURDOCK_BIT_SET_WORDS; i++)
    count += (uint32_t)__builtin_popcountll (set->words[i]);
  return count;
}

/** burdock_bit_set_next() - lowest member of @set that is at least @member;
 * BURDOCK_BIT_SET_BITS if there is none */
static inline uint32_t
burdock_bit_set_next (const BurdockBitSet *set, uint32_t member)
{
  for (uint32_t i = member / 64; i < BURDOCK_BIT_SET_WORDS; i++) {
    uint64_t word = set->words[i];

    if (i == member / 64)
      word &= UINT64_MAX << (member % 64);
    if (word != 0)
      return i * 64 + (uint32_t)__builtin_ctzll (word);
  }
  return BURDOCK_BIT_SET_BITS;
}

#endif
