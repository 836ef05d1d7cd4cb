/**
 * DOC: hash.h - hashes of 64-bit values for hash rings and rendezvous hashing
 */
#ifndef BURDOCK_HASH_H
#define BURDOCK_HASH_H

#include <stdint.h>

/** burdock_hash_mix() - finaliser of MurmurHash3, a bijection with good avalanche */
static inline uint64_t
burdock_hash_mix (uint64_t value)
{
  value ^= value >> 33;
  value *= UINT64_C (0xff51afd7ed558ccd);
  value ^= value >> 33;
  value *= UINT64_C (0xc4ceb9fe1a85ec53);
  value ^= value >> 33;
  return value;
}

/** burdock_hash_pair() - hash of an ordered pair, for example a rendezvous score */
static inline uint64_t
burdock_hash_pair (uint64_t a, uint64_t b)
{
  return burdock_hash_mix (a ^ burdock_hash_mix (b + UINT64_C (0x9e3779b97f4a7c15)));
}

/** burdock_hash_unit() - maps a hash to the open interval (0, 1) */
static inline double
burdock_hash_unit (uint64_t hash)
{
  return ((double)(hash >> 11) + 0.5) * 0x1.0p-53;
}

#endif
