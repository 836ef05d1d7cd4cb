/**
 * DOC: prefix-cache.h - estimate of the prompt prefixes that each upstream has cached
 *
 * Updated from the requests that this entry routes and from the cache events of the
 * upstreams, which arrive late and with gaps. The memory is bounded: a full bucket evicts
 * its least recently used entry.
 */
#ifndef BURDOCK_PREFIX_CACHE_H
#define BURDOCK_PREFIX_CACHE_H

#include <stdbool.h>
#include <stdint.h>

/* Maximum number of upstreams that a lookup returns. */
#define BURDOCK_PREFIX_HOLDERS 4

typedef struct BurdockPrefixCache BurdockPrefixCache;

/** struct BurdockPrefixHit - upstream that has cached a prefix of @blocks blocks */
typedef struct {
  uint64_t upstream_id;
  uint32_t blocks;
} BurdockPrefixHit;

BurdockPrefixCache *burdock_prefix_cache_new (void);
void burdock_prefix_cache_free (BurdockPrefixCache *cache);

/** burdock_prefix_cache_insert() - records that the upstream has cached @prefix, or
 * will have soon */
void burdock_prefix_cache_insert (BurdockPrefixCache *cache, uint64_t upstream_id,
                                  uint64_t prefix, uint64_t now_us);

/** burdock_prefix_cache_evict() - records that the upstream has evicted @prefix */
void burdock_prefix_cache_evict (BurdockPrefixCache *cache, uint64_t upstream_id,
                                 uint64_t prefix);

/**
 * burdock_prefix_cache_lookup() - finds the upstreams with the longest cached prefixes
 * @prefixes: hashes of prefixes of one prompt, shortest first
 * Returns the number of hits, at most BURDOCK_PREFIX_HOLDERS, longest first.
 */
uint32_t burdock_prefix_cache_lookup (const BurdockPrefixCache *cache,
                                      const uint64_t *prefixes, uint32_t prefix_count,
                                      BurdockPrefixHit hits[BURDOCK_PREFIX_HOLDERS]);

#endif
