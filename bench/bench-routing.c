/**
 * DOC: bench-routing.c - time of a routing decision, evenness of the subsets of entries,
 * and hit ratio of the prefix caches of upstreams
 */
#include "bench.h"
#include "hash.h"
#include "router.h"
#include "subset.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MODELS 3
#define WORKSPACES 4000
#define PICKS 400000
#define ROUNDS 5
#define MOVED_SAMPLE_PERIOD 10

/* Time of a routing decision */

static BurdockSnapshot *
routing_snapshot (uint32_t upstream_count, uint32_t entries, uint32_t pools)
{
  BurdockSnapshot *snapshot = burdock_snapshot_new (NULL);

  snapshot->generation = 1;
  snapshot->upstreams = calloc (upstream_count, sizeof *snapshot->upstreams);
  snapshot->entries = calloc (entries, sizeof *snapshot->entries);
  snprintf (snapshot->failure_domain, sizeof snapshot->failure_domain, "d0");
  for (uint32_t i = 0; i < upstream_count; i++) {
    BurdockUpstream *upstream = &snapshot->upstreams[snapshot->upstream_count++];

    *upstream = (BurdockUpstream){ .id = burdock_hash_mix (i + 1),
                                   .incarnation = 1,
                                   .traffic_address = { i + 1, 1 },
                                   .capacity = 16,
                                   .usable = true,
                                   .weight = 1 };
    snprintf (upstream->pool, sizeof upstream->pool, "model-%u", i % pools);
    snprintf (upstream->failure_domain, sizeof upstream->failure_domain, "d%u", i % 7);
  }
  for (uint32_t i = 0; i < entries; i++)
    snapshot->entries[snapshot->entry_count++] =
        (BurdockEntryInfo){ .id = burdock_hash_mix (100000 + i), .usable = true };
  return snapshot;
}

static double
pick_ns (uint32_t upstream_count, uint32_t entries)
{
  BurdockSnapshot *snapshot = routing_snapshot (upstream_count, entries, MODELS);
  BurdockRouter *router = burdock_router_new (snapshot->entries[0].id);
  double best_ns = 1e9;

  burdock_router_set_snapshot (router, snapshot, 0);
  for (uint32_t round = 0; round < ROUNDS; round++) {
    uint64_t start_ns = bench_now_ns ();

    for (uint32_t i = 0; i < PICKS; i++) {
      uint64_t workspace = burdock_hash_mix (i) % WORKSPACES;
      uint64_t prefixes[4];
      char pool[BURDOCK_NAME_BYTES] = "model-0";
      BurdockRouteQuery query = {
        .pool = pool,
        .priority = BURDOCK_PRIORITY_NORMAL,
        .prefix_count = 4,
        .prefixes = prefixes,
      };
      BurdockUpstreamRef upstream;

      pool[6] = (char)('0' + workspace % MODELS);
      for (uint32_t j = 0; j < 4; j++)
        prefixes[j] = burdock_hash_pair (workspace, j);
      if (burdock_router_pick (router, &query, i, burdock_hash_mix (i), &upstream) < 0)
        continue;
      burdock_router_attempt_started (router, upstream.id, &query, i);
      burdock_router_attempt_ended (router, upstream.id, upstream.incarnation);
    }
    if ((double)(bench_now_ns () - start_ns) / PICKS < best_ns)
      best_ns = (double)(bench_now_ns () - start_ns) / PICKS;
  }
  burdock_router_free (router);
  burdock_snapshot_unref (snapshot);
  return best_ns;
}

/* Evenness of the subsets */

/**
 * struct Evenness - how evenly the subsets of entries cover the upstreams
 * @busiest: entries that use the busiest upstream, over the mean
 * @least: entries that use the least busy upstream, over the mean
 * @moved: share of a subset that the removal of one upstream replaces
 */
typedef struct {
  double busiest;
  double least;
  double moved;
} Evenness;

static Evenness
measure_evenness (uint32_t entry_count, uint32_t upstream_count)
{
  uint64_t *entries = malloc (entry_count * sizeof *entries);
  uint64_t *upstreams = malloc (upstream_count * sizeof *upstreams);
  uint32_t *entry_counts = calloc (upstream_count, sizeof *entry_counts);
  bool *chosen = malloc (upstream_count * sizeof *chosen);
  bool *after = malloc (upstream_count * sizeof *after);
  uint32_t total = 0;
  uint32_t moved = 0;
  uint32_t sampled = 0;
  uint32_t most = 0;
  uint32_t fewest = UINT32_MAX;
  Evenness out;

  for (uint32_t i = 0; i < entry_count; i++)
    entries[i] = burdock_hash_mix (100000 + i);
  for (uint32_t i = 0; i < upstream_count; i++)
    upstreams[i] = burdock_hash_mix (i + 1);
  for (uint32_t i = 0; i < entry_count; i++) {
    burdock_subset_select (entries[i], entries, entry_count, upstreams, upstream_count,
                           BURDOCK_SUBSET_SIZE, chosen);
    for (uint32_t j = 0; j < upstream_count; j++) {
      entry_counts[j] += chosen[j];
      total += chosen[j];
    }
    if (i % MOVED_SAMPLE_PERIOD != 0)
      continue;
    burdock_subset_select (entries[i], entries, entry_count, upstreams,
                           upstream_count - 1, BURDOCK_SUBSET_SIZE, after);
    for (uint32_t j = 0; j < upstream_count - 1; j++) {
      sampled += chosen[j];
      moved += chosen[j] && !after[j];
    }
  }
  for (uint32_t j = 0; j < upstream_count; j++) {
    most = entry_counts[j] > most ? entry_counts[j] : most;
    fewest = entry_counts[j] < fewest ? entry_counts[j] : fewest;
  }
  out.busiest = (double)most * upstream_count / total;
  out.least = (double)fewest * upstream_count / total;
  out.moved = (double)moved / sampled;
  free (entries);
  free (upstreams);
  free (entry_counts);
  free (chosen);
  free (after);
  return out;
}

/* Prefix caches: entries route prompts with shared prefixes to upstreams with LRU caches.
 * Entries know the caches only from their own decisions and from cache events, of which
 * some are lost and all are late. The oracle reads the caches directly. */

#define CACHE_ENTRIES 3
#define CACHE_UPSTREAMS 16
#define CACHE_BLOCKS 600
#define PROMPT_BLOCKS 8
#define SHARED_BLOCKS 6
#define PROMPTS 600
#define CACHE_REQUESTS 60000
#define REQUEST_GAP_US 2000
#define CONCURRENT_REQUESTS 64
#define EVENT_DELAY_US 500000
#define EVENT_LOSS_PERCENT 5
#define EVENTS_MAX 65536

typedef struct {
  uint64_t prefix;
  uint64_t last_used_us;
} CacheBlock;

typedef struct {
  uint32_t count;
  uint64_t sequence;
  CacheBlock blocks[CACHE_BLOCKS];
} UpstreamCache;

typedef struct {
  uint64_t due_us;
  uint64_t sequence;
  uint64_t prefix;
  uint32_t upstream;
  bool inserted;
} CacheEvent;

typedef struct {
  uint64_t now_us;
  uint64_t random_state;
  UpstreamCache caches[CACHE_UPSTREAMS];
  uint32_t load[CACHE_UPSTREAMS];
  /* Upstream and entry of the latest requests, as ring buffers. */
  uint32_t request_upstream[CONCURRENT_REQUESTS];
  uint32_t request_entry[CONCURRENT_REQUESTS];
  uint64_t event_first;
  uint64_t event_next;
  CacheEvent events[EVENTS_MAX];
  BurdockRouter *routers[CACHE_ENTRIES];
  uint64_t hit_blocks;
  uint64_t total_blocks;
} CacheRun;

static uint64_t
cache_random (CacheRun *run)
{
  return burdock_hash_mix (++run->random_state);
}

static void
queue_cache_event (CacheRun *run, uint32_t upstream, bool inserted, uint64_t prefix)
{
  CacheEvent *event = &run->events[run->event_next % EVENTS_MAX];
  uint64_t sequence = ++run->caches[upstream].sequence;

  if (cache_random (run) % 100 < EVENT_LOSS_PERCENT)
    return;
  *event = (CacheEvent){ .due_us = run->now_us + EVENT_DELAY_US,
                         .sequence = sequence,
                         .prefix = prefix,
                         .upstream = upstream,
                         .inserted = inserted };
  run->event_next++;
}

static bool
cache_contains (const UpstreamCache *cache, uint64_t prefix)
{
  for (uint32_t i = 0; i < cache->count; i++) {
    if (cache->blocks[i].prefix == prefix)
      return true;
  }
  return false;
}

static void
cache_touch (CacheRun *run, uint32_t upstream, uint64_t prefix)
{
  UpstreamCache *cache = &run->caches[upstream];
  uint32_t oldest = 0;

  for (uint32_t i = 0; i < cache->count; i++) {
    if (cache->blocks[i].prefix == prefix) {
      cache->blocks[i].last_used_us = run->now_us;
      return;
    }
    if (cache->blocks[i].last_used_us < cache->blocks[oldest].last_used_us)
      oldest = i;
  }
  if (cache->count < CACHE_BLOCKS) {
    oldest = cache->count++;
  } else {
    queue_cache_event (run, upstream, false, cache->blocks[oldest].prefix);
  }
  cache->blocks[oldest] = (CacheBlock){ .prefix = prefix, .last_used_us = run->now_us };
  queue_cache_event (run, upstream, true, prefix);
}

static uint32_t
cached_blocks (const CacheRun *run, uint32_t upstream, const uint64_t *prefixes)
{
  uint32_t count = 0;

  while (count < PROMPT_BLOCKS &&
         cache_contains (&run->caches[upstream], prefixes[count]))
    count++;
  return count;
}

/* Weighs load against cache hits as the router does, with perfect knowledge of both. */
static uint32_t
pick_with_oracle (CacheRun *run, const uint64_t *prefixes)
{
  uint32_t best = 0;
  double best_score = 1e9;

  for (uint32_t i = 0; i < CACHE_UPSTREAMS; i++) {
    double hit = (double)cached_blocks (run, i, prefixes) / PROMPT_BLOCKS;
    double score = (run->load[i] + 1) / 16.0 - 0.6 * hit;

    if (run->load[i] < 16 && score < best_score) {
      best = i;
      best_score = score;
    }
  }
  return best;
}

static void
make_prompt (CacheRun *run, uint64_t prefixes[PROMPT_BLOCKS])
{
  /* The smaller of two random numbers is skewed, so that few prefixes are frequent. */
  uint64_t a = cache_random (run) % PROMPTS;
  uint64_t b = cache_random (run) % PROMPTS;
  uint64_t prompt = a < b ? a : b;

  for (uint32_t i = 0; i < PROMPT_BLOCKS; i++)
    prefixes[i] = i < SHARED_BLOCKS ? burdock_hash_pair (prompt + 1, i)
                                    : burdock_hash_mix (cache_random (run));
}

static void
deliver_events (CacheRun *run)
{
  for (; run->event_first < run->event_next; run->event_first++) {
    const CacheEvent *event = &run->events[run->event_first % EVENTS_MAX];

    if (event->due_us > run->now_us)
      return;
    for (uint32_t i = 0; i < CACHE_ENTRIES && run->routers[i] != NULL; i++)
      burdock_router_cache_event (run->routers[i], burdock_hash_mix (event->upstream + 1),
                                  event->sequence, event->inserted, event->prefix,
                                  run->now_us);
  }
}

static void
report_cache_load (CacheRun *run)
{
  for (uint32_t i = 0; i < CACHE_ENTRIES && run->routers[i] != NULL; i++) {
    for (uint32_t j = 0; j < CACHE_UPSTREAMS; j++)
      burdock_router_set_load (run->routers[i], burdock_hash_mix (j + 1),
                               &(BurdockLoadMessage){ .running = run->load[j],
                                                      .capacity = 16 },
                               run->now_us);
  }
}

static uint32_t
pick_upstream (CacheRun *run, uint32_t entry, const uint64_t *prefixes)
{
  BurdockRouter *router = run->routers[entry];
  BurdockRouteQuery query = { .pool = "model-0",
                              .prefix_count = PROMPT_BLOCKS,
                              .prefixes = prefixes };
  BurdockUpstreamRef upstream;

  if (router == NULL)
    return pick_with_oracle (run, prefixes);
  if (burdock_router_pick (router, &query, run->now_us, cache_random (run), &upstream) <
      0)
    return (uint32_t)(cache_random (run) % CACHE_UPSTREAMS);
  burdock_router_attempt_started (router, upstream.id, &query, run->now_us);
  return upstream.address.ipv4 - 1;
}

/* Returns the share of prompt blocks that were found in a cache. */
static double
run_cache (bool oracle)
{
  CacheRun *run = calloc (1, sizeof *run);
  BurdockSnapshot *snapshot = routing_snapshot (CACHE_UPSTREAMS, CACHE_ENTRIES, 1);
  double hit_share;

  for (uint32_t i = 0; i < CACHE_UPSTREAMS; i++)
    snprintf (snapshot->upstreams[i].failure_domain, BURDOCK_NAME_BYTES, "d0");
  for (uint32_t i = 0; i < CACHE_ENTRIES && !oracle; i++) {
    run->routers[i] = burdock_router_new (snapshot->entries[i].id);
    burdock_router_set_snapshot (run->routers[i], snapshot, 0);
  }
  for (uint32_t i = 0; i < CACHE_REQUESTS; i++) {
    uint32_t entry = (uint32_t)(cache_random (run) % CACHE_ENTRIES);
    uint32_t slot = i % CONCURRENT_REQUESTS;
    uint64_t prefixes[PROMPT_BLOCKS];
    uint32_t upstream;

    run->now_us += REQUEST_GAP_US;
    deliver_events (run);
    if (i % (500000 / REQUEST_GAP_US) == 0)
      report_cache_load (run);
    if (i >= CONCURRENT_REQUESTS) {
      run->load[run->request_upstream[slot]]--;
      if (run->routers[run->request_entry[slot]] != NULL)
        burdock_router_attempt_ended (run->routers[run->request_entry[slot]],
                                      burdock_hash_mix (run->request_upstream[slot] + 1),
                                      1);
    }
    make_prompt (run, prefixes);
    upstream = pick_upstream (run, entry, prefixes);
    run->request_upstream[slot] = upstream;
    run->request_entry[slot] = entry;
    run->load[upstream]++;
    if (i > CACHE_REQUESTS / 4) {
      run->hit_blocks += cached_blocks (run, upstream, prefixes);
      run->total_blocks += PROMPT_BLOCKS;
    }
    for (uint32_t j = 0; j < PROMPT_BLOCKS; j++)
      cache_touch (run, upstream, prefixes[j]);
  }
  hit_share = (double)run->hit_blocks / (double)run->total_blocks;
  for (uint32_t i = 0; i < CACHE_ENTRIES; i++)
    burdock_router_free (run->routers[i]);
  burdock_snapshot_unref (snapshot);
  free (run);
  return hit_share;
}

void
bench_routing (void)
{
  double small_ns = pick_ns (16, 9);
  double large_ns = pick_ns (600, 330);
  double oracle = run_cache (true);
  double hits = run_cache (false);
  Evenness large = measure_evenness (330, 600);
  Evenness small = measure_evenness (9, 16);

  bench_at_most ("route_ns_600", large_ns, "ns", 2000);
  bench_at_most ("route_growth_16_to_600", large_ns / small_ns, "ratio", 1.5);
  bench_at_least ("prefix_hit_vs_oracle", hits / oracle, "ratio", 0.90);
  bench_without_target ("prefix_hit", hits, "share");
  bench_without_target ("prefix_hit_oracle", oracle, "share");
  bench_at_most ("subset_evenness_330x600", large.busiest, "ratio", 1.15);
  bench_without_target ("subset_least_330x600", large.least, "ratio");
  bench_without_target ("subset_moved_330x600", large.moved, "share");
  bench_without_target ("subset_evenness_9x16", small.busiest, "ratio");
}
