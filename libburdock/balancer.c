#include "balancer-private.h"

#include "hash-table.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* A gateway that has sent no heartbeat for this time and for PEER_INTERVALS_MAX intervals
 * is considered dead, and its requests are no longer counted. The interval grows with the
 * number of gateways. */
#define PEER_TIMEOUT_MIN_US UINT64_C (1000000)
#define PEER_INTERVALS_MAX 4

/* Ejection time of an upstream that refused a connection. */
#define UNREACHABLE_EJECTION_US UINT64_C (1000000)

/* Ejection time of an upstream whose address now belongs to another one. Covers the lag
 * of the list of upstreams, which then shows the change. */
#define REPLACED_EJECTION_US UINT64_C (3000000)

/* A full upstream frees a slot about once in this time. */
#define BUSY_EJECTION_US UINT64_C (60000)

/* Detecting that an upstream hangs delays the affected request by about half a second, so
 * a single stall ejects the upstream. */
#define STALL_EJECTION_US UINT64_C (3000000)
#define STALL_GAIN 0.3

/* A request without data for a shorter time may just be slow. */
#define SILENCE_MIN_US UINT64_C (700000)

/* The agents of a group report that it is broken at about the time at which connections
 * to the rank that ended break. Those of the other ranks break 1.5 s later. */
#define BROKEN_LEAD_US UINT64_C (500000)

/* Weight of one response in the failure rate of an upstream, which thus covers about
 * twenty responses. */
#define FAILURE_GAIN 0.08

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
  balancer->random_state = settings->seed;
  balancer->nodes_by_key = burdock_hash_table_new (balancer->memory);
  balancer->peers = burdock_hash_table_new (balancer->memory);
  balancer->groups = burdock_hash_table_new (balancer->memory);
  return balancer;
}

static void
free_pool (Pool *pool)
{
  while (pool->queue != NULL) {
    QueuedRequest *next = pool->queue->next;

    free (pool->queue);
    pool->queue = next;
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
  pool->name = apr_pstrdup (balancer->memory, name);
  pool->priorities.rule = balancer->settings.priority_rule;
  pool->next = balancer->pools;
  balancer->pools = pool;
  return pool;
}

Node *
burdock_balancer_node (const BurdockBalancer *balancer, uint64_t key)
{
  return apr_hash_get (balancer->nodes_by_key, &key, sizeof key);
}

static bool
have_same_address (BurdockAddress a, BurdockAddress b)
{
  return a.ipv4 == b.ipv4 && a.port == b.port;
}

static Node *
find_node_at (const BurdockBalancer *balancer, BurdockAddress address)
{
  for (uint32_t i = 0; i < balancer->node_count; i++) {
    Node *node = balancer->nodes[i];

    if (node->listed && have_same_address (node->info.address, address))
      return node;
  }
  return NULL;
}

static Group *
group_for_name (BurdockBalancer *balancer, const char *name)
{
  Group *group = apr_hash_get (balancer->groups, name, APR_HASH_KEY_STRING);

  if (group != NULL)
    return group;
  group = apr_pcalloc (balancer->memory, sizeof *group);
  group->name = apr_pstrdup (balancer->memory, name);
  group->utilization_limit = BURDOCK_GROUP_UTILIZATION_INITIAL;
  group->open = true;
  apr_hash_set (balancer->groups, group->name, APR_HASH_KEY_STRING, group);
  return group;
}

/* The totals of a group are kept incrementally: a node is subtracted before a change and
 * added again after it. */
void
burdock_balancer_subtract_from_group (Node *node)
{
  if (node->group == NULL || node->evacuated)
    return;
  node->group->outstanding -= outstanding (node);
  if (node->listed)
    node->group->slots -= node->info.slots;
}

void
burdock_balancer_add_to_group (Node *node)
{
  if (node->group == NULL || node->evacuated)
    return;
  node->group->outstanding += outstanding (node);
  if (node->listed)
    node->group->slots += node->info.slots;
}

static void
apply_peer_items (BurdockBalancer *balancer, const Peer *peer, bool add)
{
  for (uint32_t i = 0; i < peer->count; i++) {
    Node *node = burdock_balancer_node (balancer, peer->items[i].upstream_id);

    if (node == NULL)
      continue;
    burdock_balancer_subtract_from_group (node);
    if (add)
      node->peer_outstanding += peer->items[i].outstanding;
    else
      node->peer_outstanding -= node->peer_outstanding < peer->items[i].outstanding
                                    ? node->peer_outstanding
                                    : peer->items[i].outstanding;
    burdock_balancer_add_to_group (node);
  }
}

static void
recount_peer_load (BurdockBalancer *balancer)
{
  for (uint32_t i = 0; i < balancer->node_count; i++) {
    burdock_balancer_subtract_from_group (balancer->nodes[i]);
    balancer->nodes[i]->peer_outstanding = 0;
    burdock_balancer_add_to_group (balancer->nodes[i]);
  }
  for (apr_hash_index_t *at = apr_hash_first (NULL, balancer->peers); at != NULL;
       at = apr_hash_next (at))
    apply_peer_items (balancer, apr_hash_this_val (at), true);
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
  apr_hash_set (balancer->nodes_by_key, &node->info.key, sizeof node->info.key, node);
  return node;
}

static void
remove_unused_nodes (BurdockBalancer *balancer)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < balancer->node_count; i++) {
    Node *node = balancer->nodes[i];

    if (node->listed || node->own_outstanding > 0) {
      balancer->nodes[kept++] = node;
      continue;
    }
    burdock_balancer_subtract_from_group (node);
    apr_hash_set (balancer->nodes_by_key, &node->info.key, sizeof node->info.key, NULL);
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
    burdock_balancer_subtract_from_group (balancer->nodes[i]);
    balancer->nodes[i]->listed = false;
    burdock_balancer_add_to_group (balancer->nodes[i]);
  }
  for (uint32_t i = 0; i < count; i++) {
    Node *node = burdock_balancer_node (balancer, upstreams[i].key);
    bool added = node == NULL;

    if (added)
      node = add_node (balancer, &upstreams[i]);
    burdock_balancer_subtract_from_group (node);
    if (node->info.born_ms != upstreams[i].born_ms)
      node->paused_until_us = 0;
    node->info = upstreams[i];
    node->pool = burdock_balancer_pool (balancer, upstreams[i].pool);
    node->listed = true;
    node->evacuated =
        burdock_balancer_is_evacuated (balancer, upstreams[i].failure_domain);
    burdock_balancer_apply_cold_row (balancer, node, added);
    burdock_balancer_add_to_group (node);
  }
  burdock_balancer_note_starts (balancer);
  remove_unused_nodes (balancer);
  recount_peer_load (balancer);
  balancer->stats.upstreams = count;
  burdock_balancer_start_sharing (balancer);
  burdock_balancer_dispatch (balancer);
}

void
burdock_balancer_set_peer_load (BurdockBalancer *balancer, uint64_t peer,
                                uint64_t interval_us, const BurdockLoadItem *items,
                                uint32_t count, uint64_t now_us)
{
  Peer *peer_state = apr_hash_get (balancer->peers, &peer, sizeof peer);

  balancer->now_us = now_us;
  if (count > BURDOCK_LOAD_ITEMS_MAX)
    return;
  if (peer_state == NULL) {
    peer_state = calloc (1, sizeof *peer_state);
    if (peer_state == NULL)
      return;
    peer_state->id = peer;
    apr_hash_set (balancer->peers, &peer_state->id, sizeof peer_state->id, peer_state);
  }
  apply_peer_items (balancer, peer_state, false);
  peer_state->last_heartbeat_us = now_us;
  peer_state->interval_us = balancer->heartbeat_interval_us = interval_us;
  peer_state->count = count;
  if (count > 0)
    memcpy (peer_state->items, items, count * sizeof *items);
  apply_peer_items (balancer, peer_state, true);
  /* NOLINTNEXTLINE(clang-analyzer-unix.Malloc): the peers table owns a new peer */
  burdock_balancer_dispatch (balancer);
}

static uint64_t
peer_timeout_us (const Peer *peer)
{
  uint64_t timeout_us = peer->interval_us * PEER_INTERVALS_MAX;

  return timeout_us > PEER_TIMEOUT_MIN_US ? timeout_us : PEER_TIMEOUT_MIN_US;
}

static void
expire_peers (BurdockBalancer *balancer)
{
  for (apr_hash_index_t *at = apr_hash_first (NULL, balancer->peers); at != NULL;
       at = apr_hash_next (at)) {
    Peer *peer = apr_hash_this_val (at);

    if (balancer->now_us - peer->last_heartbeat_us < peer_timeout_us (peer))
      continue;
    apply_peer_items (balancer, peer, false);
    apr_hash_set (balancer->peers, &peer->id, sizeof peer->id, NULL);
    free (peer);
  }
}

/* A group that was marked silent runs again once a report shows a higher step than the
 * first report since then. A higher step in the first report may have begun before the
 * group was marked silent. Ranks begin a step at slightly different times, so that the
 * reports of two ranks may differ by one step while the group does not run. */
static void
record_step (Group *group, uint32_t rank, uint64_t step)
{
  if (group->liveness.silent_until_us == 0)
    return;
  if (!group->silent_step.is_set) {
    group->silent_step = burdock_optional (step);
    group->silent_step_rank = rank;
  } else if (step >
             group->silent_step.value + (rank != group->silent_step_rank ? 1 : 0)) {
    group->liveness.silent_until_us = 0;
  }
}

static void
join_group (Node *node, Group *group, uint32_t rank)
{
  node->rank = rank;
  if (node->group == group)
    return;
  burdock_balancer_subtract_from_group (node);
  node->group = group;
  burdock_balancer_add_to_group (node);
}

void
burdock_balancer_set_rank_state (BurdockBalancer *balancer,
                                 const BurdockRankStateMessage *state, uint64_t now_us)
{
  Group *group;

  balancer->now_us = now_us;
  if (find_node_at (balancer, state->upstream) == NULL)
    return;
  group = group_for_name (balancer, state->group);
  /* Until the list of upstreams is up to date, it may have two at one address. */
  for (uint32_t i = 0; i < balancer->node_count; i++) {
    Node *node = balancer->nodes[i];

    if (node->listed && have_same_address (node->info.address, state->upstream))
      join_group (node, group, state->rank);
  }
  record_step (group, state->rank, state->step);
  group->last_report_us = now_us;
  if (state->epoch < group->epoch)
    return;
  if (state->epoch == group->epoch && state->open == group->open)
    return;
  if (state->open && !group->open)
    group->closed_for_us = now_us - group->broken_us;
  group->epoch = state->epoch;
  group->open = state->open;
  if (!group->open)
    group->broken_us = now_us;
  if (group->open)
    burdock_balancer_dispatch (balancer);
}

bool
burdock_balancer_knows_group (const BurdockBalancer *balancer, BurdockAddress address)
{
  const Node *node = find_node_at (balancer, address);

  return node != NULL && node->group != NULL;
}

uint32_t
burdock_balancer_group_ranks (const BurdockBalancer *balancer, BurdockAddress address,
                              BurdockRosterRank *ranks, uint32_t limit)
{
  const Node *self = find_node_at (balancer, address);
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

bool
burdock_balancer_has_ended_itself (const BurdockBalancer *balancer, uint64_t upstream,
                                   uint64_t since_us)
{
  const Node *node = burdock_balancer_node (balancer, upstream);

  return node == NULL || !node->listed || node->unreachable_us >= since_us;
}

bool
burdock_balancer_has_ended (const BurdockBalancer *balancer, uint64_t upstream,
                            uint64_t since_us)
{
  const Node *node = burdock_balancer_node (balancer, upstream);

  if (burdock_balancer_has_ended_itself (balancer, upstream, since_us))
    return true;
  return node->group != NULL && node->group->broken_us + BROKEN_LEAD_US >= since_us &&
         node->group->broken_us != 0;
}

bool
burdock_balancer_address (const BurdockBalancer *balancer, uint64_t upstream,
                          BurdockAddress *out)
{
  const Node *node = burdock_balancer_node (balancer, upstream);

  if (node == NULL || !node->listed)
    return false;
  *out = node->info.address;
  return true;
}

const char *
burdock_balancer_set_leaving (BurdockBalancer *balancer, uint64_t upstream,
                              uint64_t born_ms)
{
  Node *node = burdock_balancer_node (balancer, upstream);

  if (node == NULL || !node->listed || node->info.leaving || node->info.born_ms > born_ms)
    return NULL;
  node->info.leaving = true;
  return node->info.id;
}

void
burdock_balancer_pause (BurdockBalancer *balancer, uint64_t upstream, uint64_t time_us,
                        uint64_t now_us)
{
  Node *node = burdock_balancer_node (balancer, upstream);

  if (node != NULL && node->paused_until_us < now_us + time_us)
    node->paused_until_us = now_us + time_us;
}

uint32_t
burdock_balancer_own_load (const BurdockBalancer *balancer, BurdockLoadItem *items,
                           uint32_t limit)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < balancer->node_count && count < limit; i++) {
    const Node *node = balancer->nodes[i];

    if (node->own_outstanding > 0)
      items[count++] = (BurdockLoadItem){ .upstream_id = node->info.key,
                                          .outstanding = node->own_outstanding };
  }
  return count;
}

static void
record_refusal (Node *node, uint64_t now_us)
{
  node->ejected_until_us = now_us + UNREACHABLE_EJECTION_US;
  node->unreachable_us = now_us;
}

void
burdock_balancer_record_refusal (BurdockBalancer *balancer, uint64_t upstream,
                                 uint64_t now_us)
{
  Node *node = burdock_balancer_node (balancer, upstream);

  if (node != NULL)
    record_refusal (node, now_us);
}

static void
record_activity (Node *node, uint64_t now_us)
{
  node->liveness.last_activity_us = now_us;
  node->liveness.silent_until_us = 0;
  if (node->group == NULL)
    return;
  node->group->liveness.last_activity_us = now_us;
  node->group->liveness.silent_until_us = 0;
}

static void
update_health (Node *node, BurdockUpstreamOutcome outcome, uint64_t now_us)
{
  switch (outcome) {
  case BURDOCK_UPSTREAM_OK:
    record_activity (node, now_us);
    node->failure_rate *= 1 - FAILURE_GAIN;
    return;
  case BURDOCK_UPSTREAM_FAILED:
    node->failure_rate += (1 - node->failure_rate) * FAILURE_GAIN;
    return;
  case BURDOCK_UPSTREAM_STALLED:
    node->failure_rate += (1 - node->failure_rate) * STALL_GAIN;
    node->ejected_until_us = now_us + STALL_EJECTION_US;
    return;
  case BURDOCK_UPSTREAM_BUSY:
    record_activity (node, now_us);
    node->ejected_until_us = now_us + BUSY_EJECTION_US;
    return;
  case BURDOCK_UPSTREAM_UNREACHABLE:
    record_refusal (node, now_us);
    return;
  case BURDOCK_UPSTREAM_REPLACED:
    node->ejected_until_us = now_us + REPLACED_EJECTION_US;
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
  if (node == NULL || node->own_outstanding == 0)
    return;
  burdock_balancer_subtract_from_group (node);
  node->own_outstanding--;
  burdock_balancer_add_to_group (node);
  burdock_balancer_place_freed (node);
  balancer->stats.outstanding_own--;
  if (outcome == BURDOCK_UPSTREAM_REPLACED)
    burdock_cold_start_handed_back (&node->cold, now_us);
  /* A cold upstream answers slowly, which is no fault. */
  if (outcome != BURDOCK_UPSTREAM_STALLED ||
      !burdock_balancer_node_is_slow (balancer, node, now_us))
    update_health (node, outcome, now_us);
  burdock_balancer_dispatch (balancer);
}

void
burdock_balancer_record_event (BurdockBalancer *balancer, uint64_t upstream,
                               uint64_t gap_us, uint32_t target_ms, uint64_t now_us)
{
  Node *node = burdock_balancer_node (balancer, upstream);

  if (node == NULL)
    return;
  record_activity (node, now_us);
  if (node->group == NULL || target_ms == 0 || gap_us == 0 ||
      burdock_balancer_node_is_slow (balancer, node, now_us))
    return;
  node->group->gap_count++;
  node->group->relative_gap_sum += (double)gap_us / (target_ms * US_PER_MS);
}

static bool
mark_silent (Liveness *liveness, uint64_t now_us)
{
  if (now_us < liveness->last_activity_us + SILENCE_MIN_US ||
      now_us < liveness->silent_until_us)
    return false;
  liveness->silence_detected_us = now_us;
  liveness->silent_until_us = now_us + STALL_EJECTION_US;
  return true;
}

/* The ranks of a group start each step together, so a rank that hangs stops all of them.
 */
bool
burdock_balancer_report_silence (BurdockBalancer *balancer, uint64_t upstream,
                                 uint64_t silent_us, uint64_t now_us)
{
  Node *node = burdock_balancer_node (balancer, upstream);

  if (node == NULL || silent_us < SILENCE_MIN_US ||
      burdock_balancer_node_is_slow (balancer, node, now_us))
    return false;
  if (node->group != NULL &&
      now_us >= node->group->liveness.last_activity_us + SILENCE_MIN_US) {
    if (!mark_silent (&node->group->liveness, now_us))
      return false;
    node->group->silent_step = (BurdockOptional){ 0 };
    return true;
  }
  return mark_silent (&node->liveness, now_us);
}

uint64_t
burdock_balancer_tick (BurdockBalancer *balancer, uint64_t now_us)
{
  balancer->now_us = now_us;
  expire_peers (balancer);
  burdock_balancer_adjust_limits (balancer);
  burdock_balancer_tick_queue (balancer);
  return now_us + TICK_US;
}

BurdockBalancerStats
burdock_balancer_stats (const BurdockBalancer *balancer)
{
  BurdockBalancerStats stats = balancer->stats;

  for (uint32_t i = 0; i < balancer->node_count; i++) {
    const Node *node = balancer->nodes[i];

    stats.outstanding_all += outstanding (node);
    stats.leaving += node->listed && node->info.leaving;
  }
  stats.cold = burdock_balancer_count_cold (balancer);
  return stats;
}
