#include "prefix-cache.h"

#include <stdlib.h>

#define BUCKET_COUNT 16384u

typedef struct {
  uint64_t prefix;
  uint64_t upstream_id; /* 0 if the entry is unused */
  uint64_t last_used_us;
} PrefixEntry;

typedef struct {
  PrefixEntry entries[BURDOCK_PREFIX_HOLDERS * 2];
} PrefixBucket;

struct BurdockPrefixCache {
  PrefixBucket *buckets;
};

#define BUCKET_ENTRIES (BURDOCK_PREFIX_HOLDERS * 2)

BurdockPrefixCache *
burdock_prefix_cache_new (void)
{
  BurdockPrefixCache *cache = calloc (1, sizeof *cache);

  cache->buckets = calloc (BUCKET_COUNT, sizeof *cache->buckets);
  return cache;
}

void
burdock_prefix_cache_free (BurdockPrefixCache *cache)
{
  if (cache == NULL)
    return;
  free (cache->buckets);
  free (cache);
}

static PrefixBucket *
find_bucket (const BurdockPrefixCache *cache, uint64_t prefix)
{
  return &cache->buckets[(prefix ^ (prefix >> 32)) % BUCKET_COUNT];
}

void
burdock_prefix_cache_insert (BurdockPrefixCache *cache, uint64_t upstream_id,
                             uint64_t prefix, uint64_t now_us)
{
  PrefixBucket *bucket = find_bucket (cache, prefix);
  PrefixEntry *victim = &bucket->entries[0];

  for (uint32_t i = 0; i < BUCKET_ENTRIES; i++) {
    PrefixEntry *entry = &bucket->entries[i];

    if (entry->prefix == prefix && entry->upstream_id == upstream_id) {
      entry->last_used_us = now_us;
      return;
    }
    if (entry->upstream_id == 0 ||
        (victim->upstream_id != 0 && entry->last_used_us < victim->last_used_us))
      victim = entry;
  }
  *victim = (PrefixEntry){ .prefix = prefix,
                           .upstream_id = upstream_id,
                           .last_used_us = now_us };
}

void
burdock_prefix_cache_evict (BurdockPrefixCache *cache, uint64_t upstream_id,
                            uint64_t prefix)
{
  PrefixBucket *bucket = find_bucket (cache, prefix);

  for (uint32_t i = 0; i < BUCKET_ENTRIES; i++) {
    PrefixEntry *entry = &bucket->entries[i];

    if (entry->prefix == prefix && entry->upstream_id == upstream_id)
      entry->upstream_id = 0;
  }
}

static bool
has_hit (const BurdockPrefixHit *hits, uint32_t count, uint64_t upstream_id)
{
  for (uint32_t i = 0; i < count; i++) {
    if (hits[i].upstream_id == upstream_id)
      return true;
  }
  return false;
}

uint32_t
burdock_prefix_cache_lookup (const BurdockPrefixCache *cache, const uint64_t *prefixes,
                             uint32_t prefix_count,
                             BurdockPrefixHit hits[BURDOCK_PREFIX_HOLDERS])
{
  uint32_t count = 0;

  for (uint32_t at = prefix_count; at-- > 0 && count < BURDOCK_PREFIX_HOLDERS;) {
    const PrefixBucket *bucket = find_bucket (cache, prefixes[at]);

    for (uint32_t i = 0; i < BUCKET_ENTRIES && count < BURDOCK_PREFIX_HOLDERS; i++) {
      const PrefixEntry *entry = &bucket->entries[i];

      if (entry->upstream_id != 0 && entry->prefix == prefixes[at] &&
          !has_hit (hits, count, entry->upstream_id))
        hits[count++] =
            (BurdockPrefixHit){ .upstream_id = entry->upstream_id, .blocks = at + 1 };
    }
  }
  return count;
}
