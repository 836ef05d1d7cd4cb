#include "balancer.h"

#include <apr_hash.h>
#include <apr_pools.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* A gateway that was silent for ten heartbeats is gone, and its requests with it. */
#define PEER_SILENT_US UINT64_C (1000000)

/* An agent reports once a second; without a report the state is unknown. */
#define RANK_SILENT_US UINT64_C (2500000)

/* An upstream that refused a connection is tried again after this time. */
#define UNREACHABLE_PAUSE_US UINT64_C (1000000)

/* Address taken over by another upstream: the list will say so within its lag. */
#define REPLACED_PAUSE_US UINT64_C (3000000)

/* A full upstream frees a slot about once in this time. */
#define BUSY_PAUSE_US UINT64_C (60000)

/* Weight of one answer in the failure rate of an upstream, about twenty answers. */
#define FAILURE_GAIN 0.08

/* Requests that a failure rate of 1 counts for in the comparison of upstreams. */
#define FAILURE_LOAD 24.0

/* Above this rate the failures are the upstream's and not a single lost answer. */
#define FAILURE_RATE_MIN 0.15

/* An upstream elsewhere is taken if it is emptier by this part of its slots. */
#define ELSEWHERE_LOAD 0.04

/* Load of the group compared with load of the rank: steps are as long as the whole group
 * makes them, the own part of a rank is the smaller one. */
#define GROUP_LOAD_WEIGHT 2.0

/* Share of the slots of a group in use: at the start, at least and at most. The start is
 * what initial maps carry at steps within their target. */
#define GROUP_SHARE_START 0.8
#define GROUP_SHARE_MIN 0.3
#define GROUP_SHARE_MAX 1.0

/* Additive increase, multiplicative decrease of that share. */
#define GROUP_SHARE_STEP 0.02
#define GROUP_SHARE_CUT 0.95
#define GROUP_ADJUST_US UINT64_C (250000)
#define GROUP_PAUSES_MIN 6

/* Pauses above this part of the target count as late: the way to the caller takes the
 * rest. */
#define PAUSE_PART 0.9
#define LATE_SHARE_HIGH 0.10
#define LATE_SHARE_LOW 0.03

/* Part of the retry budget of all gateways that is used; they do not hear of each other's
 * repeats in time to use all of it. */
#define RETRY_PART 0.6

#define RETRY_GATEWAYS_MIN 6

/* The allowance is given back over this time. It is empty at the start of a process, as
 * one that ended a moment ago may have used it. */
#define RETRY_WINDOW_US UINT64_C (10000000)

/* Time at which a refused caller may come back: a stream ends about that often. */
#define RETRY_AFTER_FULL_MS 400
#define RETRY_AFTER_NONE_MS 1000
#define RETRY_AFTER_SPREAD_MS 400

/* Below this number the waiting time cannot be estimated from the rate. */
#define WAITING_ESTIMATE_MIN 4
#define RATE_INTERVAL_US UINT64_C (500000)
#define RATE_GAIN 0.4

#define TICK_US UINT64_C (50000)

typedef struct Group {
  char name[BURDOCK_NAME_BYTES];
  uint64_t epoch;
  bool open;
  double share;
  uint32_t slots;
  uint32_t outstanding;
  uint32_t pauses;
  uint32_t late_pauses;
} Group;

typedef struct Waiting {
  struct Waiting *next;
  BurdockPlacement placement;
} Waiting;

typedef struct Pool {
  struct Pool *next;
  char name[BURDOCK_NAME_BYTES];
  Waiting *waiting;
  Waiting **tail;
  uint32_t waiting_count;
  uint32_t placed;
  double placed_per_s;
  double repeats_left;
} Pool;

typedef struct {
  BurdockUpstream info;
  Pool *pool;
  Group *group;
  uint32_t rank;
  uint64_t rank_heard_us;
  bool listed;
  uint32_t own;
  uint32_t others;
  double failure_rate;
  uint64_t paused_until_us;
} Node;

typedef struct {
  uint64_t id;
  uint64_t heard_us;
  uint32_t count;
  BurdockLoadItem items[BURDOCK_LOAD_ITEMS_MAX];
} Peer;

struct BurdockBalancer {
  apr_pool_t *memory;
  BurdockBalancerSettings settings;
  BurdockBalancerHandler handler;
  Node **nodes;
  uint32_t node_count;
  uint32_t node_capacity;
  apr_hash_t *by_key;
  apr_hash_t *peers;
  apr_hash_t *groups;
  Pool *pools;
  bool dispatching;
  bool again;
  uint32_t spread;
  uint64_t now_us;
  uint64_t ticked_us;
  uint64_t next_adjust_us;
  uint64_t next_rate_us;
  BurdockBalancerFigures figures;
};

BurdockBalancer *
burdock_balancer_new (const BurdockBalancerSettings *settings,
                      const BurdockBalancerHandler *handler)
{
  BurdockBalancer *balancer = calloc (1, sizeof *balancer);

  if (balancer == NULL || apr_pool_create (&balancer->memory, NULL) != APR_SUCCESS) {
    free (balancer);
    return NULL;
  }
  balancer->settings = *settings;
  balancer->handler = *handler;
  balancer->by_key = apr_hash_make (balancer->memory);
  balancer->peers = apr_hash_make (balancer->memory);
  balancer->groups = apr_hash_make (balancer->memory);
  return balancer;
}

static void
free_pool (Pool *pool)
{
  while (pool->waiting != NULL) {
    Waiting *next = pool->waiting->next;

    free (pool->waiting);
    pool->waiting = next;
  }
  free (pool);
}

void
burdock_balancer_free (BurdockBalancer *balancer)
{
  if (balancer == NULL)
    return;
  while (balancer->pools != NULL) {
    Pool *next = balancer->pools->next;

    free_pool (balancer->pools);
    balancer->pools = next;
  }
  for (uint32_t i = 0; i < balancer->node_count; i++)
    free (balancer->nodes[i]);
  for (apr_hash_index_t *at = apr_hash_first (NULL, balancer->peers); at != NULL;
       at = apr_hash_next (at))
    free (apr_hash_this_val (at));
  free (balancer->nodes);
  apr_pool_destroy (balancer->memory);
  free (balancer);
}

/* Share of this gateway. One that hears no others has just started, or is cut off; in
 * both cases there may be many of them. */
static double
retry_allowance (const BurdockBalancer *balancer)
{
  uint32_t gateways = apr_hash_count (balancer->peers) + 1;

  if (gateways < RETRY_GATEWAYS_MIN)
    gateways = RETRY_GATEWAYS_MIN;
  return balancer->settings.retry_allowance * RETRY_PART / gateways;
}

static Pool *
find_pool (BurdockBalancer *balancer, const char *name)
{
  Pool *pool = balancer->pools;

  while (pool != NULL && strcmp (pool->name, name) != 0)
    pool = pool->next;
  if (pool != NULL)
    return pool;
  pool = calloc (1, sizeof *pool);
  if (pool == NULL)
    abort ();
  snprintf (pool->name, sizeof pool->name, "%s", name);
  pool->tail = &pool->waiting;
  pool->next = balancer->pools;
  balancer->pools = pool;
  return pool;
}

static void
add_repeats (const BurdockBalancer *balancer, Pool *pool, double count)
{
  double most = retry_allowance (balancer);

  pool->repeats_left =
      pool->repeats_left + count < most ? pool->repeats_left + count : most;
}

static Node *
find_node (const BurdockBalancer *balancer, uint64_t key)
{
  return apr_hash_get (balancer->by_key, &key, sizeof key);
}

static Node *
node_at (const BurdockBalancer *balancer, BurdockAddress address)
{
  for (uint32_t i = 0; i < balancer->node_count; i++) {
    Node *node = balancer->nodes[i];

    if (node->listed && node->info.address.ipv4 == address.ipv4 &&
        node->info.address.port == address.port)
      return node;
  }
  return NULL;
}

static uint32_t
outstanding (const Node *node)
{
  return node->own + node->others;
}

static Group *
find_group (BurdockBalancer *balancer, const char *name)
{
  Group *group = apr_hash_get (balancer->groups, name, APR_HASH_KEY_STRING);

  if (group != NULL)
    return group;
  group = apr_pcalloc (balancer->memory, sizeof *group);
  snprintf (group->name, sizeof group->name, "%s", name);
  group->share = GROUP_SHARE_START;
  group->open = true;
  apr_hash_set (balancer->groups, group->name, APR_HASH_KEY_STRING, group);
  return group;
}

/* Sums of the groups are kept by adding and subtracting whole nodes around a change. */
static void
detach (Node *node)
{
  if (node->group == NULL)
    return;
  node->group->outstanding -= outstanding (node);
  if (node->listed)
    node->group->slots -= node->info.slots;
}

static void
attach (Node *node)
{
  if (node->group == NULL)
    return;
  node->group->outstanding += outstanding (node);
  if (node->listed)
    node->group->slots += node->info.slots;
}

static void
count_peer_items (BurdockBalancer *balancer, const Peer *peer, bool add)
{
  for (uint32_t i = 0; i < peer->count; i++) {
    Node *node = find_node (balancer, peer->items[i].upstream);

    if (node == NULL)
      continue;
    detach (node);
    if (add)
      node->others += peer->items[i].outstanding;
    else
      node->others -= node->others < peer->items[i].outstanding
                          ? node->others
                          : peer->items[i].outstanding;
    attach (node);
  }
}

static void
recount_peers (BurdockBalancer *balancer)
{
  for (uint32_t i = 0; i < balancer->node_count; i++) {
    detach (balancer->nodes[i]);
    balancer->nodes[i]->others = 0;
    attach (balancer->nodes[i]);
  }
  for (apr_hash_index_t *at = apr_hash_first (NULL, balancer->peers); at != NULL;
       at = apr_hash_next (at))
    count_peer_items (balancer, apr_hash_this_val (at), true);
}

static Node *
add_node (BurdockBalancer *balancer, const BurdockUpstream *upstream)
{
  Node *node = calloc (1, sizeof *node);

  if (balancer->node_count == balancer->node_capacity) {
    balancer->node_capacity = balancer->node_capacity * 2 + 32;
    balancer->nodes =
        realloc (balancer->nodes, balancer->node_capacity * sizeof (Node *));
  }
  if (node == NULL || balancer->nodes == NULL)
    abort ();
  node->info = *upstream;
  balancer->nodes[balancer->node_count++] = node;
  apr_hash_set (balancer->by_key, &node->info.key, sizeof node->info.key, node);
  return node;
}

static void
drop_unused_nodes (BurdockBalancer *balancer)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < balancer->node_count; i++) {
    Node *node = balancer->nodes[i];

    if (node->listed || node->own > 0) {
      balancer->nodes[kept++] = node;
      continue;
    }
    detach (node);
    apr_hash_set (balancer->by_key, &node->info.key, sizeof node->info.key, NULL);
    free (node);
  }
  balancer->node_count = kept;
}

static void dispatch (BurdockBalancer *balancer);

void
burdock_balancer_set_upstreams (BurdockBalancer *balancer,
                                const BurdockUpstream *upstreams, uint32_t count,
                                uint64_t now_us)
{
  balancer->now_us = now_us;
  for (uint32_t i = 0; i < balancer->node_count; i++) {
    detach (balancer->nodes[i]);
    balancer->nodes[i]->listed = false;
    attach (balancer->nodes[i]);
  }
  for (uint32_t i = 0; i < count; i++) {
    Node *node = find_node (balancer, upstreams[i].key);

    if (node == NULL)
      node = add_node (balancer, &upstreams[i]);
    detach (node);
    node->info = upstreams[i];
    node->pool = find_pool (balancer, upstreams[i].pool);
    node->listed = true;
    attach (node);
  }
  drop_unused_nodes (balancer);
  recount_peers (balancer);
  balancer->figures.upstreams = count;
  dispatch (balancer);
}

void
burdock_balancer_peer_load (BurdockBalancer *balancer, uint64_t peer,
                            const BurdockLoadItem *items, uint32_t count, uint64_t now_us)
{
  Peer *known = apr_hash_get (balancer->peers, &peer, sizeof peer);

  balancer->now_us = now_us;
  if (count > BURDOCK_LOAD_ITEMS_MAX)
    return;
  if (known == NULL) {
    known = calloc (1, sizeof *known);
    if (known == NULL)
      return;
    known->id = peer;
    apr_hash_set (balancer->peers, &known->id, sizeof known->id, known);
  }
  count_peer_items (balancer, known, false);
  known->heard_us = now_us;
  known->count = count;
  memcpy (known->items, items, count * sizeof *items);
  count_peer_items (balancer, known, true);
  dispatch (balancer); // NOLINT(clang-analyzer-unix.Malloc): the table of peers owns it
}

static void
expire_peers (BurdockBalancer *balancer)
{
  for (apr_hash_index_t *at = apr_hash_first (NULL, balancer->peers); at != NULL;
       at = apr_hash_next (at)) {
    Peer *peer = apr_hash_this_val (at);

    if (balancer->now_us - peer->heard_us < PEER_SILENT_US)
      continue;
    count_peer_items (balancer, peer, false);
    apr_hash_set (balancer->peers, &peer->id, sizeof peer->id, NULL);
    free (peer);
  }
}

void
burdock_balancer_rank_state (BurdockBalancer *balancer,
                             const BurdockRankStateMessage *state, uint64_t now_us)
{
  Node *node = node_at (balancer, state->upstream);
  Group *group;

  balancer->now_us = now_us;
  if (node == NULL)
    return;
  group = find_group (balancer, state->group);
  if (node->group != group) {
    detach (node);
    node->group = group;
    attach (node);
  }
  node->rank = state->rank;
  node->rank_heard_us = now_us;
  if (state->epoch < group->epoch)
    return;
  if (state->epoch == group->epoch && state->open == group->open)
    return;
  group->epoch = state->epoch;
  group->open = state->open;
  if (group->open)
    dispatch (balancer);
}

uint32_t
burdock_balancer_group_ranks (const BurdockBalancer *balancer, BurdockAddress address,
                              BurdockRosterRank *ranks, uint32_t limit)
{
  const Node *self = node_at (balancer, address);
  uint32_t count = 0;

  if (self == NULL || self->group == NULL)
    return 0;
  for (uint32_t i = 0; i < balancer->node_count && count < limit; i++) {
    const Node *node = balancer->nodes[i];

    if (node->listed && node->group == self->group)
      ranks[count++] =
          (BurdockRosterRank){ .address = node->info.address, .rank = node->rank };
  }
  return count;
}

uint32_t
burdock_balancer_own_load (const BurdockBalancer *balancer, BurdockLoadItem *items,
                           uint32_t limit)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < balancer->node_count && count < limit; i++) {
    const Node *node = balancer->nodes[i];

    if (node->own > 0)
      items[count++] =
          (BurdockLoadItem){ .upstream = node->info.key, .outstanding = node->own };
  }
  return count;
}

static bool
group_has_room (const BurdockBalancer *balancer, const Node *node)
{
  const Group *group = node->group;

  if (group == NULL || balancer->now_us - node->rank_heard_us > RANK_SILENT_US)
    return true;
  return group->open && group->outstanding < group->slots * group->share;
}

static bool
is_excluded (const BurdockPlacement *placement, uint64_t key)
{
  for (uint32_t i = 0; i < placement->excluded_count; i++) {
    if (placement->excluded[i] == key)
      return true;
  }
  return false;
}

static double
load_of (const BurdockBalancer *balancer, const Node *node)
{
  double load = outstanding (node);

  if (node->failure_rate > FAILURE_RATE_MIN)
    load += node->failure_rate * FAILURE_LOAD;
  load /= node->info.slots > 0 ? node->info.slots : 1;
  if (strcmp (node->info.failure_domain, balancer->settings.failure_domain) != 0)
    load += ELSEWHERE_LOAD;
  if (node->group != NULL && node->group->slots > 0)
    load += GROUP_LOAD_WEIGHT * node->group->outstanding / node->group->slots;
  return load;
}

static bool
is_usable (const Node *node, const Pool *pool)
{
  return node->listed && node->pool == pool && !node->info.leaving;
}

/* Starts at a different upstream each time, so that equals share the requests. */
static Node *
choose (BurdockBalancer *balancer, const Pool *pool, const BurdockPlacement *placement)
{
  Node *best = NULL;
  double best_load = 0;
  uint32_t start = balancer->spread++;

  for (uint32_t i = 0; i < balancer->node_count; i++) {
    Node *node = balancer->nodes[(start + i) % balancer->node_count];
    double load;

    if (!is_usable (node, pool) || node->paused_until_us > balancer->now_us ||
        outstanding (node) >= node->info.slots ||
        is_excluded (placement, node->info.key) || !group_has_room (balancer, node))
      continue;
    load = load_of (balancer, node);
    if (best != NULL && load >= best_load)
      continue;
    best = node;
    best_load = load;
  }
  return best;
}

/* Urgent ones first; among equals those that can still be on time; then the oldest. */
static bool
goes_before (const BurdockPlacement *a, const BurdockPlacement *b, uint64_t now_us)
{
  bool a_late = a->on_time_until_us < now_us;
  bool b_late = b->on_time_until_us < now_us;

  if (a->priority != b->priority)
    return a->priority < b->priority;
  return !a_late && b_late;
}

static Waiting **
next_in_line (BurdockBalancer *balancer, Pool *pool)
{
  Waiting **best = &pool->waiting;

  for (Waiting **at = &pool->waiting; *at != NULL; at = &(*at)->next) {
    if (goes_before (&(*at)->placement, &(*best)->placement, balancer->now_us))
      best = at;
  }
  return best;
}

static BurdockPlacement
unlink_waiting (BurdockBalancer *balancer, Pool *pool, Waiting **at)
{
  Waiting *waiting = *at;
  BurdockPlacement placement = waiting->placement;

  *at = waiting->next;
  if (pool->tail == &waiting->next)
    pool->tail = at;
  free (waiting);
  pool->waiting_count--;
  balancer->figures.waiting--;
  return placement;
}

static void
place (BurdockBalancer *balancer, Pool *pool, Node *node, uint64_t handle)
{
  const BurdockBalancerHandler *handler = &balancer->handler;

  detach (node);
  node->own++;
  attach (node);
  pool->placed++;
  balancer->figures.placed++;
  balancer->figures.outstanding_own++;
  handler->place (handler->ctx, handle, &node->info);
}

static void
dispatch_pool (BurdockBalancer *balancer, Pool *pool)
{
  while (pool->waiting != NULL) {
    Waiting **at = next_in_line (balancer, pool);
    Node *node = choose (balancer, pool, &(*at)->placement);
    BurdockPlacement placement;

    if (node == NULL)
      return;
    placement = unlink_waiting (balancer, pool, at);
    place (balancer, pool, node, placement.handle);
  }
}

/* A callback may end a request and so ask for another round. */
static void
dispatch (BurdockBalancer *balancer)
{
  balancer->again = true;
  if (balancer->dispatching)
    return;
  balancer->dispatching = true;
  while (balancer->again) {
    balancer->again = false;
    for (Pool *pool = balancer->pools; pool != NULL; pool = pool->next)
      dispatch_pool (balancer, pool);
  }
  balancer->dispatching = false;
}

static bool
has_upstream (const BurdockBalancer *balancer, const Pool *pool)
{
  for (uint32_t i = 0; i < balancer->node_count; i++) {
    if (is_usable (balancer->nodes[i], pool))
      return true;
  }
  return false;
}

static void
refuse (BurdockBalancer *balancer, uint64_t handle, BurdockReason reason,
        uint32_t retry_after_ms)
{
  const BurdockBalancerHandler *handler = &balancer->handler;

  balancer->figures.refused++;
  retry_after_ms += balancer->spread++ * 97 % RETRY_AFTER_SPREAD_MS;
  handler->refuse (handler->ctx, handle, reason, retry_after_ms);
}

/* Whether the requests already waiting take all places until @placement gives up. */
static bool
is_hopeless (const BurdockBalancer *balancer, const Pool *pool,
             const BurdockPlacement *placement)
{
  uint64_t left_us = placement->give_up_us > balancer->now_us
                         ? placement->give_up_us - balancer->now_us
                         : 0;

  if (pool->waiting_count < WAITING_ESTIMATE_MIN || pool->placed_per_s <= 0)
    return false;
  return pool->waiting_count / pool->placed_per_s * 1e6 > (double)left_us;
}

void
burdock_balancer_submit (BurdockBalancer *balancer, const BurdockPlacement *placement,
                         uint64_t now_us)
{
  Pool *pool = find_pool (balancer, placement->pool);
  Waiting *waiting;

  balancer->now_us = now_us;
  if (placement->excluded_count == 0 && pool->repeats_left < retry_allowance (balancer))
    pool->repeats_left += balancer->settings.retry_ratio * RETRY_PART;
  if (!has_upstream (balancer, pool)) {
    refuse (balancer, placement->handle, BURDOCK_REASON_NO_UPSTREAM, RETRY_AFTER_NONE_MS);
    return;
  }
  if (is_hopeless (balancer, pool, placement)) {
    refuse (balancer, placement->handle, BURDOCK_REASON_OVERLOAD, RETRY_AFTER_FULL_MS);
    return;
  }
  waiting = malloc (sizeof *waiting);
  if (waiting == NULL)
    abort ();
  *waiting = (Waiting){ .placement = *placement };
  *pool->tail = waiting;
  pool->tail = &waiting->next;
  pool->waiting_count++;
  balancer->figures.waiting++;
  dispatch (balancer);
}

void
burdock_balancer_withdraw (BurdockBalancer *balancer, uint64_t handle)
{
  for (Pool *pool = balancer->pools; pool != NULL; pool = pool->next) {
    for (Waiting **at = &pool->waiting; *at != NULL; at = &(*at)->next) {
      if ((*at)->placement.handle != handle)
        continue;
      unlink_waiting (balancer, pool, at);
      return;
    }
  }
}

static void
judge (Node *node, BurdockUpstreamOutcome outcome, uint64_t now_us)
{
  switch (outcome) {
  case BURDOCK_UPSTREAM_OK:
    node->failure_rate *= 1 - FAILURE_GAIN;
    return;
  case BURDOCK_UPSTREAM_FAILED:
    node->failure_rate += (1 - node->failure_rate) * FAILURE_GAIN;
    return;
  case BURDOCK_UPSTREAM_BUSY:
    node->paused_until_us = now_us + BUSY_PAUSE_US;
    return;
  case BURDOCK_UPSTREAM_UNREACHABLE:
    node->paused_until_us = now_us + UNREACHABLE_PAUSE_US;
    return;
  case BURDOCK_UPSTREAM_REPLACED:
    node->paused_until_us = now_us + REPLACED_PAUSE_US;
    return;
  case BURDOCK_UPSTREAM_ABANDONED:
    return;
  }
}

void
burdock_balancer_finish (BurdockBalancer *balancer, uint64_t upstream,
                         BurdockUpstreamOutcome outcome, uint64_t now_us)
{
  Node *node = find_node (balancer, upstream);

  balancer->now_us = now_us;
  if (node == NULL || node->own == 0)
    return;
  detach (node);
  node->own--;
  attach (node);
  balancer->figures.outstanding_own--;
  judge (node, outcome, now_us);
  dispatch (balancer);
}

void
burdock_balancer_pause (BurdockBalancer *balancer, uint64_t upstream, uint64_t pause_us,
                        uint32_t target_ms)
{
  Node *node = find_node (balancer, upstream);

  if (node == NULL || node->group == NULL || target_ms == 0)
    return;
  node->group->pauses++;
  if (pause_us > target_ms * US_PER_MS * PAUSE_PART)
    node->group->late_pauses++;
}

static void
adjust_group (Group *group)
{
  double late;

  if (group->pauses < GROUP_PAUSES_MIN)
    return;
  late = (double)group->late_pauses / group->pauses;
  group->pauses = group->late_pauses = 0;
  if (late > LATE_SHARE_HIGH)
    group->share *= GROUP_SHARE_CUT;
  else if (late < LATE_SHARE_LOW)
    group->share += GROUP_SHARE_STEP;
  if (group->share < GROUP_SHARE_MIN)
    group->share = GROUP_SHARE_MIN;
  if (group->share > GROUP_SHARE_MAX)
    group->share = GROUP_SHARE_MAX;
}

bool
burdock_balancer_may_repeat (BurdockBalancer *balancer, const char *name)
{
  Pool *pool = find_pool (balancer, name);

  if (pool->repeats_left < 1) {
    balancer->figures.repeats_denied++;
    return false;
  }
  pool->repeats_left -= 1;
  balancer->figures.repeats++;
  return true;
}

static void
expire_waiting (BurdockBalancer *balancer, Pool *pool)
{
  Waiting **at = &pool->waiting;

  while (*at != NULL) {
    BurdockPlacement placement;

    if ((*at)->placement.give_up_us > balancer->now_us) {
      at = &(*at)->next;
      continue;
    }
    placement = unlink_waiting (balancer, pool, at);
    refuse (balancer, placement.handle, BURDOCK_REASON_OVERLOAD, RETRY_AFTER_FULL_MS);
  }
}

static void
measure_rates (BurdockBalancer *balancer)
{
  for (Pool *pool = balancer->pools; pool != NULL; pool = pool->next) {
    double per_s = pool->placed * 1e6 / RATE_INTERVAL_US;

    pool->placed_per_s += (per_s - pool->placed_per_s) * RATE_GAIN;
    pool->placed = 0;
  }
}

uint64_t
burdock_balancer_tick (BurdockBalancer *balancer, uint64_t now_us)
{
  if (balancer->ticked_us != 0) {
    double part = (double)(now_us - balancer->ticked_us) / RETRY_WINDOW_US;

    for (Pool *pool = balancer->pools; pool != NULL; pool = pool->next)
      add_repeats (balancer, pool, part * retry_allowance (balancer));
  }
  balancer->ticked_us = now_us;
  balancer->now_us = now_us;
  expire_peers (balancer);
  for (Pool *pool = balancer->pools; pool != NULL; pool = pool->next)
    expire_waiting (balancer, pool);
  if (now_us >= balancer->next_adjust_us) {
    balancer->next_adjust_us = now_us + GROUP_ADJUST_US;
    for (apr_hash_index_t *at = apr_hash_first (NULL, balancer->groups); at != NULL;
         at = apr_hash_next (at))
      adjust_group (apr_hash_this_val (at));
  }
  if (now_us >= balancer->next_rate_us) {
    balancer->next_rate_us = now_us + RATE_INTERVAL_US;
    measure_rates (balancer);
  }
  dispatch (balancer);
  return now_us + TICK_US;
}

BurdockBalancerFigures
burdock_balancer_figures (const BurdockBalancer *balancer)
{
  BurdockBalancerFigures figures = balancer->figures;

  for (uint32_t i = 0; i < balancer->node_count; i++)
    figures.outstanding_all += outstanding (balancer->nodes[i]);
  return figures;
}
