/* Routing: time of a choice, evenness of the subsets, hits in the prefix caches of the
 * upstreams, and gaps in resumed streams. */
#include "bench.h"
#include "hash.h"
#include "router.h"
#include "subset.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MODELS 3
#define WORKSPACES 4000
#define CHOICES 400000
#define ROUNDS 5
#define MOVED_SAMPLE 10

/* Time of a choice */

static BurdockSnapshot *
routing_snapshot (uint32_t runners, uint32_t entries, uint32_t pools)
{
  BurdockSnapshot *snapshot = burdock_snapshot_new (NULL);

  snapshot->generation = 1;
  snapshot->upstreams = calloc (runners, sizeof *snapshot->upstreams);
  snapshot->entries = calloc (entries, sizeof *snapshot->entries);
  snprintf (snapshot->failure_domain, sizeof snapshot->failure_domain, "d0");
  for (uint32_t i = 0; i < runners; i++) {
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
choice_ns (uint32_t runners, uint32_t entries)
{
  BurdockSnapshot *snapshot = routing_snapshot (runners, entries, MODELS);
  BurdockRouter *router = burdock_router_new (snapshot->entries[0].id);
  double best_ns = 1e9;

  burdock_router_set_snapshot (router, snapshot, 0);
  for (uint32_t round = 0; round < ROUNDS; round++) {
    uint64_t start_ns = bench_now_ns ();

    for (uint32_t i = 0; i < CHOICES; i++) {
      uint64_t workspace = burdock_hash_mix (i) % WORKSPACES;
      uint64_t prefixes[4];
      char pool[BURDOCK_NAME_BYTES] = "model-0";
      BurdockRouteQuery query = {
        .pool = pool,
        .priority = BURDOCK_PRIORITY_NORMAL,
        .prefix_count = 4,
        .prefixes = prefixes,
      };
      BurdockUpstreamRef route;

      pool[6] = (char)('0' + workspace % MODELS);
      for (uint32_t j = 0; j < 4; j++)
        prefixes[j] = burdock_hash_pair (workspace, j);
      if (burdock_router_pick (router, &query, i, burdock_hash_mix (i), &route) < 0)
        continue;
      burdock_router_attempt_started (router, route.id, &query, i);
      burdock_router_attempt_ended (router, route.id, route.incarnation);
    }
    if ((double)(bench_now_ns () - start_ns) / CHOICES < best_ns)
      best_ns = (double)(bench_now_ns () - start_ns) / CHOICES;
  }
  burdock_router_free (router);
  burdock_snapshot_unref (snapshot);
  return best_ns;
}

/* Evenness: entries of the busiest upstream over the mean, the same for the least busy,
 * and the part of an entry's subset that a change of one upstream replaces. */

typedef struct {
  double busiest;
  double least;
  double moved;
} Evenness;

static Evenness
evenness (uint32_t entry_count, uint32_t runner_count)
{
  uint64_t *entries = malloc (entry_count * sizeof *entries);
  uint64_t *runners = malloc (runner_count * sizeof *runners);
  uint32_t *uses = calloc (runner_count, sizeof *uses);
  bool *chosen = malloc (runner_count * sizeof *chosen);
  bool *after = malloc (runner_count * sizeof *after);
  uint32_t total = 0;
  uint32_t moved = 0;
  uint32_t sampled = 0;
  uint32_t most = 0;
  uint32_t fewest = UINT32_MAX;
  Evenness out;

  for (uint32_t i = 0; i < entry_count; i++)
    entries[i] = burdock_hash_mix (100000 + i);
  for (uint32_t i = 0; i < runner_count; i++)
    runners[i] = burdock_hash_mix (i + 1);
  for (uint32_t i = 0; i < entry_count; i++) {
    burdock_subset_select (entries[i], entries, entry_count, runners, runner_count,
                           BURDOCK_SUBSET_SIZE, chosen);
    for (uint32_t j = 0; j < runner_count; j++) {
      uses[j] += chosen[j];
      total += chosen[j];
    }
    if (i % MOVED_SAMPLE != 0)
      continue;
    burdock_subset_select (entries[i], entries, entry_count, runners, runner_count - 1,
                           BURDOCK_SUBSET_SIZE, after);
    for (uint32_t j = 0; j < runner_count - 1; j++) {
      sampled += chosen[j];
      moved += chosen[j] && !after[j];
    }
  }
  for (uint32_t j = 0; j < runner_count; j++) {
    most = uses[j] > most ? uses[j] : most;
    fewest = uses[j] < fewest ? uses[j] : fewest;
  }
  out.busiest = (double)most * runner_count / total;
  out.least = (double)fewest * runner_count / total;
  out.moved = (double)moved / sampled;
  free (entries);
  free (runners);
  free (uses);
  free (chosen);
  free (after);
  return out;
}

/* Prefix caches: entries route prompts of workspaces with shared beginnings to runners
 * with LRU caches; what the entries know comes from their own choices and from events
 * that are late and incomplete. The oracle looks into the caches. */

#define CACHE_ENTRIES 3
#define CACHE_RUNNERS 16
#define CACHE_BLOCKS 600
#define PROMPT_BLOCKS 8
#define SHARED_BLOCKS 6
#define PROMPTS 600
#define CACHE_REQUESTS 60000
#define CACHE_GAP_US 2000
#define SERVICE_REQUESTS 64
#define EVENT_DELAY_US 500000
#define EVENT_LOSS_PERCENT 5
#define EVENTS_MAX 65536

typedef struct {
  uint64_t prefix;
  uint64_t used;
} CacheBlock;

typedef struct {
  uint32_t count;
  uint64_t sequence;
  CacheBlock blocks[CACHE_BLOCKS];
} RunnerCache;

typedef struct {
  uint64_t due_us;
  uint64_t sequence;
  uint64_t prefix;
  uint32_t runner;
  bool inserted;
} CacheEvent;

typedef struct {
  uint64_t now_us;
  uint64_t random_state;
  RunnerCache caches[CACHE_RUNNERS];
  uint32_t load[CACHE_RUNNERS];
  uint32_t running[SERVICE_REQUESTS]; /* runner of the last requests, in a ring */
  uint32_t running_entry[SERVICE_REQUESTS];
  uint64_t event_first;
  uint64_t event_next;
  CacheEvent events[EVENTS_MAX];
  BurdockRouter *routers[CACHE_ENTRIES];
  uint64_t hits;
  uint64_t blocks;
} CacheRun;

static uint64_t
cache_random (CacheRun *run)
{
  return burdock_hash_mix (++run->random_state);
}

static void
emit (CacheRun *run, uint32_t runner, bool inserted, uint64_t prefix)
{
  CacheEvent *event = &run->events[run->event_next % EVENTS_MAX];
  uint64_t sequence = ++run->caches[runner].sequence;

  if (cache_random (run) % 100 < EVENT_LOSS_PERCENT)
    return;
  *event = (CacheEvent){ .due_us = run->now_us + EVENT_DELAY_US,
                         .sequence = sequence,
                         .prefix = prefix,
                         .runner = runner,
                         .inserted = inserted };
  run->event_next++;
}

static bool
holds (const RunnerCache *cache, uint64_t prefix)
{
  for (uint32_t i = 0; i < cache->count; i++) {
    if (cache->blocks[i].prefix == prefix)
      return true;
  }
  return false;
}

static void
touch (CacheRun *run, uint32_t runner, uint64_t prefix)
{
  RunnerCache *cache = &run->caches[runner];
  uint32_t oldest = 0;

  for (uint32_t i = 0; i < cache->count; i++) {
    if (cache->blocks[i].prefix == prefix) {
      cache->blocks[i].used = run->now_us;
      return;
    }
    if (cache->blocks[i].used < cache->blocks[oldest].used)
      oldest = i;
  }
  if (cache->count < CACHE_BLOCKS) {
    oldest = cache->count++;
  } else {
    emit (run, runner, false, cache->blocks[oldest].prefix);
  }
  cache->blocks[oldest] = (CacheBlock){ .prefix = prefix, .used = run->now_us };
  emit (run, runner, true, prefix);
}

static uint32_t
cached_blocks (const CacheRun *run, uint32_t runner, const uint64_t *prefixes)
{
  uint32_t count = 0;

  while (count < PROMPT_BLOCKS && holds (&run->caches[runner], prefixes[count]))
    count++;
  return count;
}

/* The same trade of load against hits as the router, with perfect knowledge of both. */
static uint32_t
oracle_choice (CacheRun *run, const uint64_t *prefixes)
{
  uint32_t best = 0;
  double best_score = 1e9;

  for (uint32_t i = 0; i < CACHE_RUNNERS; i++) {
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
  /* The smaller of two is a simple skewed choice: few beginnings are frequent. */
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
      burdock_router_cache_event (run->routers[i], burdock_hash_mix (event->runner + 1),
                                  event->sequence, event->inserted, event->prefix,
                                  run->now_us);
  }
}

static void
report_cache_load (CacheRun *run)
{
  for (uint32_t i = 0; i < CACHE_ENTRIES && run->routers[i] != NULL; i++) {
    for (uint32_t j = 0; j < CACHE_RUNNERS; j++)
      burdock_router_set_load (run->routers[i], burdock_hash_mix (j + 1),
                               &(BurdockLoadMessage){ .running = run->load[j],
                                                      .capacity = 16 },
                               run->now_us);
  }
}

static uint32_t
choose (CacheRun *run, uint32_t entry, const uint64_t *prefixes)
{
  BurdockRouter *router = run->routers[entry];
  BurdockRouteQuery query = { .pool = "model-0",
                              .prefix_count = PROMPT_BLOCKS,
                              .prefixes = prefixes };
  BurdockUpstreamRef route;

  if (router == NULL)
    return oracle_choice (run, prefixes);
  if (burdock_router_pick (router, &query, run->now_us, cache_random (run), &route) < 0)
    return (uint32_t)(cache_random (run) % CACHE_RUNNERS);
  burdock_router_attempt_started (router, route.id, &query, run->now_us);
  return route.address.ipv4 - 1;
}

/* Returns the part of the blocks of all prompts that were found cached. */
static double
run_cache (bool oracle)
{
  CacheRun *run = calloc (1, sizeof *run);
  BurdockSnapshot *snapshot = routing_snapshot (CACHE_RUNNERS, CACHE_ENTRIES, 1);
  double part;

  for (uint32_t i = 0; i < CACHE_RUNNERS; i++)
    snprintf (snapshot->upstreams[i].failure_domain, BURDOCK_NAME_BYTES, "d0");
  for (uint32_t i = 0; i < CACHE_ENTRIES && !oracle; i++) {
    run->routers[i] = burdock_router_new (snapshot->entries[i].id);
    burdock_router_set_snapshot (run->routers[i], snapshot, 0);
  }
  for (uint32_t i = 0; i < CACHE_REQUESTS; i++) {
    uint32_t entry = (uint32_t)(cache_random (run) % CACHE_ENTRIES);
    uint32_t slot = i % SERVICE_REQUESTS;
    uint64_t prefixes[PROMPT_BLOCKS];
    uint32_t runner;

    run->now_us += CACHE_GAP_US;
    deliver_events (run);
    if (i % (500000 / CACHE_GAP_US) == 0)
      report_cache_load (run);
    if (i >= SERVICE_REQUESTS) {
      run->load[run->running[slot]]--;
      if (run->routers[run->running_entry[slot]] != NULL)
        burdock_router_attempt_ended (run->routers[run->running_entry[slot]],
                                      burdock_hash_mix (run->running[slot] + 1), 1);
    }
    make_prompt (run, prefixes);
    runner = choose (run, entry, prefixes);
    run->running[slot] = runner;
    run->running_entry[slot] = entry;
    run->load[runner]++;
    if (i > CACHE_REQUESTS / 4) {
      run->hits += cached_blocks (run, runner, prefixes);
      run->blocks += PROMPT_BLOCKS;
    }
    for (uint32_t j = 0; j < PROMPT_BLOCKS; j++)
      touch (run, runner, prefixes[j]);
  }
  part = (double)run->hits / (double)run->blocks;
  for (uint32_t i = 0; i < CACHE_ENTRIES; i++)
    burdock_router_free (run->routers[i]);
  burdock_snapshot_unref (snapshot);
  free (run);
  return part;
}

void
bench_routing (void)
{
  double small_ns = choice_ns (16, 9);
  double large_ns = choice_ns (600, 330);
  double oracle = run_cache (true);
  double hits = run_cache (false);
  Evenness large = evenness (330, 600);
  Evenness small = evenness (9, 16);

  bench_at_most ("route_ns_600", large_ns, "ns", 2000);
  bench_at_most ("route_growth_16_to_600", large_ns / small_ns, "ratio", 1.5);
  bench_at_least ("prefix_hit_vs_oracle", hits / oracle, "ratio", 0.90);
  bench_compare ("prefix_hit", hits, "share");
  bench_compare ("prefix_hit_oracle", oracle, "share");
  bench_at_most ("subset_evenness_330x600", large.busiest, "ratio", 1.15);
  bench_compare ("subset_least_330x600", large.least, "ratio");
  bench_compare ("subset_moved_330x600", large.moved, "share");
  bench_compare ("subset_evenness_9x16", small.busiest, "ratio");
}
