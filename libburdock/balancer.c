#include "balancer-private.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* A gateway that was silent for ten heartbeats is gone, and its requests with it. */
#define PEER_SILENT_US UINT64_C (1000000)

/* An upstream that refused a connection is tried again after this time. */
#define UNREACHABLE_PAUSE_US UINT64_C (1000000)

/* Address taken over by another upstream: the list will say so within its lag. */
#define REPLACED_PAUSE_US UINT64_C (3000000)

/* A full upstream frees a slot about once in this time. */
#define BUSY_PAUSE_US UINT64_C (60000)

/* An upstream that hangs costs each request that finds out about half a second, so one is
 * enough to leave it alone for a while. */
#define STALL_PAUSE_US UINT64_C (3000000)
#define STALL_GAIN 0.3

/* A request that is silent for a shorter time may just be slow. */
#define SILENT_MIN_US UINT64_C (700000)

/* Weight of one heartbeat in their mean interval. */
#define HEARTBEAT_GAIN 0.02

/* Weight of one answer in the failure rate of an upstream, about twenty answers. */
#define FAILURE_GAIN 0.08

/* Share of the slots of a group in use: at the start, at least and at most. The start is
 * the share at which most steps stay within their target also while demand moves, from
 * trials with 0.66, 0.7 and 0.75. */
#define GROUP_SHARE_START 0.7
#define GROUP_SHARE_MIN 0.3
#define GROUP_SHARE_MAX 1.0

/* The share is cut while the mean pause of a stream is above this part of its target. */
#define GROUP_SHARE_CUT 0.97
#define PAUSE_GOAL 0.66
#define PAUSE_BAND 0.05

/* Otherwise it follows the part of the pauses that are longer than their target. A stream
 * is late if one of its twenty or so pauses is, and the long steps come in rows, when the
 * demand for experts has jumped; the mean hardly shows them. */
#define LATE_PAUSES_GOAL 0.015   /* one stream in four, of twenty pauses each */
#define LATE_PAUSES_MAX 0.05     /* bounds the time in which a bad spell is forgotten */
#define LATE_PAUSES_GAIN 0.1     /* about ten adjustments */
#define GROUP_SHARE_RETURN 0.015 /* up to the share at the start */
#define GROUP_SHARE_STEP 0.005
#define GROUP_ADJUST_US UINT64_C (250000)
#define GROUP_PAUSES_MIN 6

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
  balancer->random = settings->seed;
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

Pool *
burdock_balancer_pool (BurdockBalancer *balancer, const char *name)
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

Node *
burdock_balancer_node (const BurdockBalancer *balancer, uint64_t key)
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
void
burdock_balancer_detach (Node *node)
{
  if (node->group == NULL)
    return;
  node->group->outstanding -= outstanding (node);
  if (node->listed)
    node->group->slots -= node->info.slots;
}

void
burdock_balancer_attach (Node *node)
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
    Node *node = burdock_balancer_node (balancer, peer->items[i].upstream_id);

    if (node == NULL)
      continue;
    burdock_balancer_detach (node);
    if (add)
      node->others += peer->items[i].outstanding;
    else
      node->others -= node->others < peer->items[i].outstanding
                          ? node->others
                          : peer->items[i].outstanding;
    burdock_balancer_attach (node);
  }
}

static void
recount_peers (BurdockBalancer *balancer)
{
  for (uint32_t i = 0; i < balancer->node_count; i++) {
    burdock_balancer_detach (balancer->nodes[i]);
    balancer->nodes[i]->others = 0;
    burdock_balancer_attach (balancer->nodes[i]);
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
    burdock_balancer_detach (node);
    apr_hash_set (balancer->by_key, &node->info.key, sizeof node->info.key, NULL);
    free (node);
  }
  balancer->node_count = kept;
}

void
burdock_balancer_set_upstreams (BurdockBalancer *balancer,
                                const BurdockUpstream *upstreams, uint32_t count,
                                uint64_t now_us)
{
  balancer->now_us = now_us;
  for (uint32_t i = 0; i < balancer->node_count; i++) {
    burdock_balancer_detach (balancer->nodes[i]);
    balancer->nodes[i]->listed = false;
    burdock_balancer_attach (balancer->nodes[i]);
  }
  for (uint32_t i = 0; i < count; i++) {
    Node *node = burdock_balancer_node (balancer, upstreams[i].key);

    if (node == NULL)
      node = add_node (balancer, &upstreams[i]);
    burdock_balancer_detach (node);
    node->info = upstreams[i];
    node->pool = burdock_balancer_pool (balancer, upstreams[i].pool);
    node->listed = true;
    burdock_balancer_attach (node);
  }
  drop_unused_nodes (balancer);
  recount_peers (balancer);
  balancer->figures.upstreams = count;
  burdock_balancer_dispatch (balancer);
}

static void
measure_heartbeats (BurdockBalancer *balancer, double interval_us)
{
  if (balancer->heartbeat_us <= 0)
    balancer->heartbeat_us = interval_us;
  balancer->heartbeat_us += (interval_us - balancer->heartbeat_us) * HEARTBEAT_GAIN;
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
  if (known->heard_us != 0)
    measure_heartbeats (balancer, (double)(now_us - known->heard_us));
  known->heard_us = now_us;
  known->count = count;
  if (count > 0)
    memcpy (known->items, items, count * sizeof *items);
  count_peer_items (balancer, known, true);
  /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the table of peers owns a new one */
  burdock_balancer_dispatch (balancer);
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

/* A rank that reports two steps since its group was found silent shows that it runs. */
static void
note_step (Node *node, uint64_t heard_before_us, uint64_t step)
{
  Liveness *liveness = &node->group->liveness;

  if (step > node->step && heard_before_us > liveness->silent_us)
    liveness->silent_until_us = 0;
  node->step = step;
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
    burdock_balancer_detach (node);
    node->group = group;
    burdock_balancer_attach (node);
  }
  node->rank = state->rank;
  note_step (node, node->rank_heard_us, state->step);
  node->rank_heard_us = group->heard_us = now_us;
  if (state->epoch < group->epoch)
    return;
  if (state->epoch == group->epoch && state->open == group->open)
    return;
  group->epoch = state->epoch;
  group->open = state->open;
  if (group->open)
    burdock_balancer_dispatch (balancer);
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
          (BurdockLoadItem){ .upstream_id = node->info.key, .outstanding = node->own };
  }
  return count;
}

static void
note_sign (Node *node, uint64_t now_us)
{
  node->liveness.heard_us = now_us;
  node->liveness.silent_until_us = 0;
  if (node->group == NULL)
    return;
  node->group->liveness.heard_us = now_us;
  node->group->liveness.silent_until_us = 0;
}

static void
judge (Node *node, BurdockUpstreamOutcome outcome, uint64_t now_us)
{
  switch (outcome) {
  case BURDOCK_UPSTREAM_OK:
    note_sign (node, now_us);
    node->failure_rate *= 1 - FAILURE_GAIN;
    return;
  case BURDOCK_UPSTREAM_FAILED:
    node->failure_rate += (1 - node->failure_rate) * FAILURE_GAIN;
    return;
  case BURDOCK_UPSTREAM_STALLED:
    node->failure_rate += (1 - node->failure_rate) * STALL_GAIN;
    node->paused_until_us = now_us + STALL_PAUSE_US;
    return;
  case BURDOCK_UPSTREAM_BUSY:
    note_sign (node, now_us);
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
  Node *node = burdock_balancer_node (balancer, upstream);

  balancer->now_us = now_us;
  if (node == NULL || node->own == 0)
    return;
  burdock_balancer_detach (node);
  node->own--;
  burdock_balancer_attach (node);
  balancer->figures.outstanding_own--;
  judge (node, outcome, now_us);
  burdock_balancer_dispatch (balancer);
}

void
burdock_balancer_event (BurdockBalancer *balancer, uint64_t upstream, uint64_t pause_us,
                        uint32_t target_ms, uint64_t now_us)
{
  Node *node = burdock_balancer_node (balancer, upstream);

  if (node == NULL)
    return;
  note_sign (node, now_us);
  if (node->group == NULL || target_ms == 0 || pause_us == 0)
    return;
  node->group->pauses++;
  node->group->pause_sum += (double)pause_us / (target_ms * US_PER_MS);
  if (pause_us > target_ms * US_PER_MS)
    node->group->late_pauses++;
}

static bool
find_silent (Liveness *liveness, uint64_t now_us)
{
  if (now_us < liveness->heard_us + SILENT_MIN_US || now_us < liveness->silent_until_us)
    return false;
  liveness->silent_us = now_us;
  liveness->silent_until_us = now_us + STALL_PAUSE_US;
  return true;
}

/* The ranks of a group begin each step together, so that one that hangs stops all. */
bool
burdock_balancer_silent (BurdockBalancer *balancer, uint64_t upstream, uint64_t silent_us,
                         uint64_t now_us)
{
  Node *node = burdock_balancer_node (balancer, upstream);

  if (node == NULL || silent_us < SILENT_MIN_US)
    return false;
  if (node->group != NULL && now_us >= node->group->liveness.heard_us + SILENT_MIN_US)
    return find_silent (&node->group->liveness, now_us);
  return find_silent (&node->liveness, now_us);
}

static void
note_late_pauses (Group *group)
{
  double late = (double)group->late_pauses / group->pauses;

  group->late_part += (late - group->late_part) * LATE_PAUSES_GAIN;
  if (group->late_part > LATE_PAUSES_MAX)
    group->late_part = LATE_PAUSES_MAX;
}

static void
adjust_group (Group *group)
{
  double mean;

  if (group->pauses < GROUP_PAUSES_MIN)
    return;
  mean = group->pause_sum / group->pauses;
  note_late_pauses (group);
  group->pause_sum = 0;
  group->pauses = group->late_pauses = 0;
  if (mean > PAUSE_GOAL + PAUSE_BAND)
    group->share *= GROUP_SHARE_CUT;
  else if (group->late_part > LATE_PAUSES_GOAL)
    group->share -= GROUP_SHARE_STEP;
  else if (group->share < GROUP_SHARE_START)
    group->share += GROUP_SHARE_RETURN;
  else
    group->share += GROUP_SHARE_STEP;
  if (group->share < GROUP_SHARE_MIN)
    group->share = GROUP_SHARE_MIN;
  if (group->share > GROUP_SHARE_MAX)
    group->share = GROUP_SHARE_MAX;
}

uint64_t
burdock_balancer_tick (BurdockBalancer *balancer, uint64_t now_us)
{
  balancer->now_us = now_us;
  expire_peers (balancer);
  if (now_us >= balancer->next_adjust_us) {
    balancer->next_adjust_us = now_us + GROUP_ADJUST_US;
    for (apr_hash_index_t *at = apr_hash_first (NULL, balancer->groups); at != NULL;
         at = apr_hash_next (at))
      adjust_group (apr_hash_this_val (at));
  }
  burdock_balancer_tick_queue (balancer);
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
