#include "router.h"

#include "error.h"
#include "hash.h"
#include "prefix-cache.h"
#include "subset.h"

#include <apr_general.h>
#include <apr_hash.h>
#include <apr_pools.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* Longer than the interval of load reports, so that an upstream that sends them gets no
 * further request for them. */
#define LOAD_REQUEST_INTERVAL_US (2000 * US_PER_MS)

/* Minimum time between two computations of the subsets. Matching 330 entries with 600
 * upstreams takes milliseconds; when many processes join, one computation covers them. */
#define SUBSET_INTERVAL_US (1000 * US_PER_MS)

#define RANDOM_CANDIDATES 2

/* Cost reduction for a fully cached prompt, in units of the load of a full upstream. */
#define PREFIX_HIT_CREDIT 0.6

/* Cost of an upstream in another failure domain, in the same unit. The one-way latency
 * between domains is 0.5 to 1.5 ms. */
#define CROSS_DOMAIN_COST 0.05

/* An upstream counts as a straggler above this multiple of the mean time between tokens.
 */
#define STRAGGLER_FACTOR 1.5

/* Low-priority requests leave an eighth of the capacity of each upstream free. */
#define LOW_PRIORITY_RESERVE_DIVISOR 8

/* Number of events after which a cache has replaced most of the entries that were
 * affected by a gap in the events. Halving the confidence at each gap instead would keep
 * it near 0 at 5 % loss, which costs a fifth of the cache hits. */
#define CACHE_TURNOVER_EVENTS 1024.0

typedef struct {
  BurdockUpstream upstream;
  uint32_t pool;
  bool in_subset;
  bool same_domain;
  uint32_t outstanding;
  uint32_t outstanding_at_report;
  uint32_t reported_load; /* running and queued requests in the last load report */
  uint32_t capacity;
  uint32_t step_time_us;
  bool has_report;
  bool leaving;
  bool load_requested;
  uint64_t last_frame_us;
  uint64_t load_requested_us;
  uint64_t ejected_until_us;
  uint64_t event_sequence;
  double missed_events; /* lost in gaps, decays as later events arrive */
} RouterUpstream;

typedef struct {
  char name[BURDOCK_NAME_BYTES];
  uint32_t count;           /* upstreams in the subset */
  uint32_t *items;          /* their indices in BurdockRouter.items */
  double mean_step_time_us; /* over the subset */
} RouterPool;

struct BurdockRouter {
  uint64_t entry_id;
  apr_pool_t *memory;
  apr_hash_t *by_id;
  uint64_t membership_hash; /* hash of the ids from which the subsets were computed */
  uint64_t next_subset_us;
  uint32_t count;
  RouterUpstream *items;
  uint32_t pool_count;
  RouterPool *pools;
  BurdockPrefixCache *prefixes;
};

BurdockRouter *
burdock_router_new (uint64_t entry_id)
{
  BurdockRouter *router = calloc (1, sizeof *router);

  router->entry_id = entry_id;
  router->prefixes = burdock_prefix_cache_new ();
  apr_initialize ();
  apr_pool_create (&router->memory, NULL);
  router->by_id = apr_hash_make (router->memory);
  return router;
}

static void
free_pools (BurdockRouter *router)
{
  for (uint32_t i = 0; i < router->pool_count; i++)
    free (router->pools[i].items);
  free (router->pools);
  router->pools = NULL;
  router->pool_count = 0;
}

void
burdock_router_free (BurdockRouter *router)
{
  if (router == NULL)
    return;
  free_pools (router);
  free (router->items);
  burdock_prefix_cache_free (router->prefixes);
  apr_pool_destroy (router->memory);
  apr_terminate ();
  free (router);
}

static RouterUpstream *
find_upstream (const BurdockRouter *router, uint64_t id)
{
  return apr_hash_get (router->by_id, &id, sizeof id);
}

/* Snapshots */

static uint32_t
find_or_add_pool (BurdockRouter *router, const char *name)
{
  for (uint32_t i = 0; i < router->pool_count; i++) {
    if (strcmp (router->pools[i].name, name) == 0)
      return i;
  }
  router->pools =
      realloc (router->pools, (router->pool_count + 1) * sizeof *router->pools);
  router->pools[router->pool_count] = (RouterPool){ 0 };
  burdock_copy_name (router->pools[router->pool_count].name, BURDOCK_NAME_BYTES, name);
  return router->pool_count++;
}

static void
select_subset (BurdockRouter *router, uint32_t pool, const uint64_t *entries,
               uint32_t entry_count)
{
  uint32_t *members = malloc ((router->count + 1) * sizeof *members);
  uint64_t *ids = malloc ((router->count + 1) * sizeof *ids);
  bool *chosen = calloc (router->count + 1, sizeof *chosen);
  uint32_t count = 0;

  for (uint32_t i = 0; i < router->count; i++) {
    if (router->items[i].pool != pool)
      continue;
    members[count] = i;
    ids[count++] = router->items[i].upstream.id;
  }
  burdock_subset_select (router->entry_id, entries, entry_count, ids, count,
                         BURDOCK_SUBSET_SIZE, chosen);
  for (uint32_t i = 0; i < count; i++)
    router->items[members[i]].in_subset = chosen[i];
  free (members);
  free (ids);
  free (chosen);
}

static void
select_subsets (BurdockRouter *router, const BurdockSnapshot *snapshot)
{
  uint64_t *entries = malloc ((snapshot->entry_count + 1) * sizeof *entries);

  for (uint32_t i = 0; i < snapshot->entry_count; i++)
    entries[i] = snapshot->entries[i].id;
  for (uint32_t i = 0; i < router->pool_count; i++)
    select_subset (router, i, entries, snapshot->entry_count);
  free (entries);
}

/* Groups the upstreams by pool. Pool indices change with each snapshot. */
static void
rebuild_pools (BurdockRouter *router)
{
  free_pools (router);
  for (uint32_t i = 0; i < router->count; i++)
    router->items[i].pool = find_or_add_pool (router, router->items[i].upstream.pool);
}

/* Lists the subset of each pool. Returns whether no pool has an empty subset. */
static bool
index_subsets (BurdockRouter *router)
{
  bool complete = true;

  for (uint32_t i = 0; i < router->pool_count; i++)
    router->pools[i].count = 0;
  for (uint32_t i = 0; i < router->count; i++) {
    RouterPool *pool = &router->pools[router->items[i].pool];

    if (!router->items[i].in_subset)
      continue;
    if (pool->items == NULL)
      pool->items = malloc (router->count * sizeof *pool->items);
    pool->items[pool->count++] = i;
  }
  for (uint32_t i = 0; i < router->pool_count; i++)
    complete = complete && router->pools[i].count > 0;
  return complete;
}

static uint64_t
hash_membership (const BurdockSnapshot *snapshot)
{
  uint64_t membership_hash = snapshot->upstream_count;

  for (uint32_t i = 0; i < snapshot->upstream_count; i++)
    membership_hash = burdock_hash_pair (membership_hash, snapshot->upstreams[i].id);
  for (uint32_t i = 0; i < snapshot->entry_count; i++)
    membership_hash = burdock_hash_pair (membership_hash, snapshot->entries[i].id);
  return membership_hash;
}

void
burdock_router_set_snapshot (BurdockRouter *router, const BurdockSnapshot *snapshot,
                             uint64_t now_us)
{
  RouterUpstream *items = calloc (snapshot->upstream_count + 1, sizeof *items);
  uint64_t membership_hash = hash_membership (snapshot);

  for (uint32_t i = 0; i < snapshot->upstream_count; i++) {
    const BurdockUpstream *upstream = &snapshot->upstreams[i];
    const RouterUpstream *known = find_upstream (router, upstream->id);

    if (known != NULL)
      items[i] = *known;
    if (known == NULL || known->upstream.incarnation != upstream->incarnation) {
      items[i] = (RouterUpstream){ .pool = items[i].pool,
                                   .in_subset = items[i].in_subset,
                                   .last_frame_us = now_us };
    }
    items[i].upstream = *upstream;
    items[i].same_domain =
        strcmp (upstream->failure_domain, snapshot->failure_domain) == 0;
    if (!items[i].has_report)
      items[i].capacity = upstream->capacity;
  }
  apr_hash_clear (router->by_id); /* reads the keys, which are stored in the items */
  free (router->items);
  router->items = items;
  router->count = snapshot->upstream_count;
  for (uint32_t i = 0; i < router->count; i++)
    apr_hash_set (router->by_id, &items[i].upstream.id, sizeof items[i].upstream.id,
                  &items[i]);
  rebuild_pools (router);
  if (index_subsets (router) &&
      (membership_hash == router->membership_hash || now_us < router->next_subset_us))
    return;
  select_subsets (router, snapshot);
  index_subsets (router);
  router->membership_hash = membership_hash;
  router->next_subset_us = now_us + SUBSET_INTERVAL_US;
}

/* Selection */

/* Reported load, corrected by the attempts that this entry has started and that have
 * ended since the report. */
static uint32_t
estimated_load (const RouterUpstream *item)
{
  int64_t load = (int64_t)item->reported_load + item->outstanding -
                 (int64_t)item->outstanding_at_report;

  return load > item->outstanding ? (uint32_t)load : item->outstanding;
}

/* Load at which the upstream counts as full for a request of this priority. */
static double
usable_capacity (const RouterUpstream *item, BurdockPriority priority)
{
  uint32_t reserve = priority == BURDOCK_PRIORITY_LOW
                         ? item->capacity / LOW_PRIORITY_RESERVE_DIVISOR
                         : 0;
  double capacity = (item->capacity - reserve) * item->upstream.weight;

  return capacity < 1 ? 1 : capacity;
}

static bool
is_usable (const RouterUpstream *item, uint64_t now_us)
{
  return item->upstream.usable && !item->leaving && item->ejected_until_us <= now_us;
}

static bool
was_tried (const BurdockRouteQuery *query, uint64_t id)
{
  for (uint32_t i = 0; i < query->tried_count; i++) {
    if (query->tried[i] == id)
      return true;
  }
  return false;
}

typedef struct {
  const RouterUpstream *best;
  double best_cost;
  bool has_usable;
} RouterSelection;

/* Confidence in the estimated cache contents of an upstream, from 0 to 1. */
static double
cache_confidence (const RouterUpstream *item)
{
  double missed = item->missed_events / CACHE_TURNOVER_EVENTS;

  return missed < 1 ? 1 - missed : 0;
}

/* Cost of an upstream; the lowest is selected. For plain services only the outstanding
 * calls of this entry count. */
static double
upstream_cost (const BurdockRouter *router, const RouterUpstream *item,
               const BurdockRouteQuery *query, double prefix_ratio)
{
  double mean_us = router->pools[item->pool].mean_step_time_us;
  double load = (estimated_load (item) + 1) / usable_capacity (item, query->priority);

  if (query->service)
    return (item->outstanding + 1) / usable_capacity (item, query->priority);
  if (mean_us > 0 && item->step_time_us > mean_us * STRAGGLER_FACTOR)
    load *= item->step_time_us / mean_us;
  return load + (item->same_domain ? 0 : CROSS_DOMAIN_COST) -
         PREFIX_HIT_CREDIT * prefix_ratio * cache_confidence (item);
}

static void
consider_candidate (const BurdockRouter *router, const RouterUpstream *item,
                    const BurdockRouteQuery *query, uint64_t now_us, double prefix_ratio,
                    RouterSelection *selection)
{
  double cost;

  if (!is_usable (item, now_us))
    return;
  selection->has_usable = true;
  if (estimated_load (item) >= usable_capacity (item, query->priority))
    return;
  cost = upstream_cost (router, item, query, prefix_ratio);
  /* An upstream that failed this request before is the last resort. */
  if (was_tried (query, item->upstream.id))
    cost += 1000;
  if (selection->best != NULL && cost >= selection->best_cost)
    return;
  selection->best = item;
  selection->best_cost = cost;
}

static void
consider_cached_candidates (const BurdockRouter *router, uint32_t pool,
                            const BurdockRouteQuery *query, uint64_t now_us,
                            RouterSelection *selection)
{
  BurdockPrefixHit hits[BURDOCK_PREFIX_HOLDERS];
  uint32_t count = burdock_prefix_cache_lookup (router->prefixes, query->prefixes,
                                                query->prefix_count, hits);

  for (uint32_t i = 0; i < count; i++) {
    const RouterUpstream *item = find_upstream (router, hits[i].upstream_id);

    if (item != NULL && item->pool == pool && item->in_subset)
      consider_candidate (router, item, query, now_us,
                          (double)hits[i].blocks / query->prefix_count, selection);
  }
}

int
burdock_router_pick (BurdockRouter *router, const BurdockRouteQuery *query,
                     uint64_t now_us, uint64_t random, BurdockUpstreamRef *out)
{
  RouterSelection selection = { 0 };
  const RouterPool *pool = NULL;
  uint32_t at = 0;

  for (; at < router->pool_count && pool == NULL; at++) {
    if (strcmp (router->pools[at].name, query->pool) == 0)
      pool = &router->pools[at];
  }
  if (pool == NULL || pool->count == 0)
    return -ENOENT;
  if (query->prefix_count > 0)
    consider_cached_candidates (router, at - 1, query, now_us, &selection);
  for (uint32_t i = 0; i < RANDOM_CANDIDATES; i++) {
    uint64_t mixed = burdock_hash_pair (random, i);

    consider_candidate (router, &router->items[pool->items[mixed % pool->count]], query,
                        now_us, 0, &selection);
  }
  /* If the candidates are full or failed the request before, the whole subset is
   * considered. */
  if (selection.best == NULL || selection.best_cost >= 1) {
    for (uint32_t i = 0; i < pool->count; i++)
      consider_candidate (router, &router->items[pool->items[i]], query, now_us, 0,
                          &selection);
  }
  if (selection.best == NULL)
    return selection.has_usable ? -EAGAIN : -ENOENT;
  *out = (BurdockUpstreamRef){ .id = selection.best->upstream.id,
                               .incarnation = selection.best->upstream.incarnation,
                               .address = selection.best->upstream.traffic_address };
  return 0;
}

/* Upstream state from attempts, cache events and load reports */

void
burdock_router_attempt_started (BurdockRouter *router, uint64_t id,
                                const BurdockRouteQuery *query, uint64_t now_us)
{
  RouterUpstream *item = find_upstream (router, id);

  if (item == NULL)
    return;
  item->outstanding++;
  for (uint32_t i = 0; i < query->prefix_count; i++)
    burdock_prefix_cache_insert (router->prefixes, id, query->prefixes[i], now_us);
}

void
burdock_router_attempt_ended (BurdockRouter *router, uint64_t id, uint64_t incarnation)
{
  RouterUpstream *item = find_upstream (router, id);

  if (item != NULL && item->upstream.incarnation == incarnation && item->outstanding > 0)
    item->outstanding--;
}

void
burdock_router_cache_event (BurdockRouter *router, uint64_t id, uint64_t sequence,
                            bool inserted, uint64_t prefix, uint64_t now_us)
{
  RouterUpstream *item = find_upstream (router, id);

  if (item == NULL || (item->event_sequence != 0 && sequence <= item->event_sequence))
    return;
  item->missed_events *= 1 - 1 / CACHE_TURNOVER_EVENTS;
  if (item->event_sequence != 0)
    item->missed_events += (double)(sequence - item->event_sequence - 1);
  item->event_sequence = sequence;
  if (inserted)
    burdock_prefix_cache_insert (router->prefixes, id, prefix, now_us);
  else
    burdock_prefix_cache_evict (router->prefixes, id, prefix);
}

static void
update_mean_step_time (BurdockRouter *router, uint32_t at)
{
  RouterPool *pool = &router->pools[at];
  uint64_t sum_us = 0;
  uint32_t count = 0;

  for (uint32_t i = 0; i < pool->count; i++) {
    uint32_t step_time_us = router->items[pool->items[i]].step_time_us;

    sum_us += step_time_us;
    count += step_time_us > 0;
  }
  pool->mean_step_time_us = count > 0 ? (double)sum_us / count : 0;
}

void
burdock_router_set_load (BurdockRouter *router, uint64_t id,
                         const BurdockLoadMessage *load, uint64_t now_us)
{
  RouterUpstream *item = find_upstream (router, id);

  if (item == NULL)
    return;
  item->has_report = true;
  item->last_frame_us = now_us;
  item->reported_load = load->running + load->queued;
  item->outstanding_at_report = item->outstanding;
  item->step_time_us = load->step_time_us;
  if (load->capacity > 0)
    item->capacity = load->capacity;
  item->leaving = load->leaving;
  update_mean_step_time (router, item->pool);
}

void
burdock_router_record_activity (BurdockRouter *router, uint64_t id, uint64_t now_us)
{
  RouterUpstream *item = find_upstream (router, id);

  if (item != NULL)
    item->last_frame_us = now_us;
}

bool
burdock_router_is_silent (const BurdockRouter *router, uint64_t id, uint64_t since_us)
{
  const RouterUpstream *item = find_upstream (router, id);

  return item != NULL && item->has_report && item->last_frame_us < since_us;
}

void
burdock_router_eject (BurdockRouter *router, uint64_t id, uint64_t until_us)
{
  RouterUpstream *item = find_upstream (router, id);

  if (item != NULL)
    item->ejected_until_us = until_us;
}

bool
burdock_router_next_load_request (BurdockRouter *router, uint64_t now_us,
                                  BurdockUpstreamRef *out)
{
  for (uint32_t i = 0; i < router->count; i++) {
    RouterUpstream *item = &router->items[i];
    bool is_reporting =
        item->has_report && item->last_frame_us + LOAD_REQUEST_INTERVAL_US > now_us;
    bool recently_requested = item->load_requested &&
                              item->load_requested_us + LOAD_REQUEST_INTERVAL_US > now_us;

    if (!item->upstream.usable || !item->in_subset || is_reporting || recently_requested)
      continue;
    item->load_requested = true;
    item->load_requested_us = now_us;
    *out = (BurdockUpstreamRef){ .id = item->upstream.id,
                                 .incarnation = item->upstream.incarnation,
                                 .address = item->upstream.traffic_address };
    return true;
  }
  return false;
}
