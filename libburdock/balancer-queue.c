/* Placement, queueing and refusal of requests. */
#include "balancer-private.h"

#include <stdlib.h>
#include <string.h>

/* Each agent reports once a second. Without a report for this long the state of a group
 * is unknown, and its limit is not applied. */
#define AGENT_REPORT_TIMEOUT_US UINT64_C (2500000)

/* Load, in requests, that a failure rate of 1 adds in the comparison of upstreams. */
#define FAILURE_PENALTY_REQUESTS 24.0

/* A lower rate may come from a single lost response rather than a faulty upstream. */
#define FAILURE_RATE_MIN 0.15

/* Load, as a share of its slots, added to an upstream in another failure domain. */
#define REMOTE_DOMAIN_PENALTY 0.04

/* Weight of the group's load relative to the load of the rank itself: the length of a
 * step depends on the whole group, and less on the rank. */
#define GROUP_LOAD_WEIGHT 2.0

/* Share of a group's limit up to which late requests may fill it. Each gateway has its
 * own queue, and a slot that one gateway gives to a late request is not available to a
 * request at another gateway that can still meet its objective. */
#define LATE_UTILIZATION_RATIO 0.85

/* Upper bound of the credit: one late request now and one next, so that a long idle time
 * does not allow a burst. */
#define LATE_CREDIT_MAX 2.0

/* Eligible upstreams that are compared for a request. */
#define SAMPLE_SIZE 3

/* Share of the retry budget that is used. Gateways do not learn of each other's retries
 * in time to use the whole budget safely. */
#define RETRY_BUDGET_RATIO 0.6

#define RETRY_GATEWAYS_MIN 6

/* Time over which the allowance is refilled. It is empty when a process starts, as its
 * predecessor may just have used it. */
#define RETRY_WINDOW_US UINT64_C (10000000)

/* Delay after which a refused caller may retry. At overload, a stream ends about this
 * often. The jitter spreads the retries. */
#define RETRY_AFTER_OVERLOAD_MS 400
#define RETRY_AFTER_NO_UPSTREAM_MS 1000

/* A group that lost a rank is open again a few seconds later. Callers wait for at most a
 * third of their remaining time. */
#define RETRY_AFTER_SUSPENDED_MS 2200
#define RETRY_AFTER_JITTER_MS 400

/* With fewer queued requests the placement rate gives no estimate of the waiting time. */
#define QUEUE_ESTIMATE_MIN 4
#define RATE_INTERVAL_US UINT64_C (500000)
#define RATE_GAIN 0.4

/* A gateway without requests keeps a small part of the rate limits of upstreams. */
#define DEMAND_MIN_PER_S 0.2

/* Part of the allowance of all gateways that this gateway may use. A gateway that
 * receives no heartbeats has just started or is partitioned, and there may be many
 * others; hence the minimum number of gateways. */
static double
retry_allowance (const BurdockBalancer *balancer)
{
  uint32_t gateways = apr_hash_count (balancer->peers) + 1;

  if (gateways < RETRY_GATEWAYS_MIN)
    gateways = RETRY_GATEWAYS_MIN;
  return balancer->settings.retry_allowance * RETRY_BUDGET_RATIO / gateways;
}

/* Number of values that next_random() returns. */
#define RANDOM_RANGE 2147483648.0

static uint32_t
next_random (BurdockBalancer *balancer)
{
  balancer->random_state = balancer->random_state * UINT64_C (6364136223846793005) + 1;
  return (uint32_t)(balancer->random_state >> 33);
}

static void
add_retries (const BurdockBalancer *balancer, Pool *pool, double count)
{
  double retries_max = retry_allowance (balancer);

  pool->retries_left =
      pool->retries_left + count < retries_max ? pool->retries_left + count : retries_max;
}

static bool
is_late (const BurdockBalancer *balancer, const BurdockPlacement *placement)
{
  return placement->objective_deadline_us < balancer->now_us;
}

static bool
group_has_capacity (const BurdockBalancer *balancer, const Node *node, bool late)
{
  const Group *group = node->group;
  double limit =
      group != NULL ? group->utilization_limit * (late ? LATE_UTILIZATION_RATIO : 1) : 1;

  if (group == NULL || balancer->now_us - group->last_report_us > AGENT_REPORT_TIMEOUT_US)
    return true;
  if (late && group->late_credit < 1)
    return false;
  return group->open && group->outstanding < group->slots * limit;
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
node_load (const BurdockBalancer *balancer, const Node *node)
{
  double load = outstanding (node);

  if (node->failure_rate > FAILURE_RATE_MIN)
    load += node->failure_rate * FAILURE_PENALTY_REQUESTS;
  load /= node->info.slots > 0 ? node->info.slots : 1;
  if (strcmp (node->info.failure_domain, balancer->settings.failure_domain) != 0)
    load += REMOTE_DOMAIN_PENALTY;
  if (node->group != NULL && node->group->slots > 0)
    load += GROUP_LOAD_WEIGHT * node->group->outstanding / node->group->slots;
  return load;
}

static bool
is_usable (const Node *node, const Pool *pool)
{
  return node->listed && node->pool == pool && !node->info.leaving;
}

static bool
is_silent (const BurdockBalancer *balancer, const Node *node)
{
  return node->liveness.silent_until_us > balancer->now_us ||
         (node->group != NULL &&
          node->group->liveness.silent_until_us > balancer->now_us);
}

static uint64_t
report_interval_us (const BurdockBalancer *balancer)
{
  return balancer->heartbeat_interval_us > TICK_US ? balancer->heartbeat_interval_us
                                                   : TICK_US;
}

static bool
is_eligible (const BurdockBalancer *balancer, const Node *node, const Pool *pool,
             const BurdockPlacement *placement)
{
  return is_usable (node, pool) && node->ejected_until_us <= balancer->now_us &&
         node->paused_until_us <= balancer->now_us && !is_silent (balancer, node) &&
         outstanding (node) < node->info.slots &&
         burdock_rate_share_allows (&node->rate, report_interval_us (balancer)) &&
         !is_excluded (placement, node->info.key) &&
         group_has_capacity (balancer, node, is_late (balancer, placement));
}

/* Fills @sample with eligible nodes by reservoir sampling, each equally likely, and
 * returns their number. Scanning from a random start would favour the nodes that follow a
 * long run of full ones. */
static uint32_t
sample_nodes (BurdockBalancer *balancer, const Pool *pool,
              const BurdockPlacement *placement, Node **sample)
{
  uint32_t seen = 0;

  for (uint32_t i = 0; i < balancer->node_count; i++) {
    Node *node = balancer->nodes[i];
    uint32_t at;

    if (!is_eligible (balancer, node, pool, placement))
      continue;
    at = seen < SAMPLE_SIZE ? seen : next_random (balancer) % (seen + 1);
    seen++;
    if (at < SAMPLE_SIZE)
      sample[at] = node;
  }
  return seen < SAMPLE_SIZE ? seen : SAMPLE_SIZE;
}

/* Returns the least loaded node of a random sample, NULL if none is eligible. The loads
 * are as old as the last heartbeats; if all gateways took the least loaded upstream of
 * the fleet, they would overload it together. */
static Node *
select_node (BurdockBalancer *balancer, const Pool *pool,
             const BurdockPlacement *placement)
{
  Node *sample[SAMPLE_SIZE];
  uint32_t count = sample_nodes (balancer, pool, placement, sample);
  uint32_t start = next_random (balancer); /* breaks ties */
  Node *best = NULL;
  double best_load = 0;

  for (uint32_t i = 0; i < count; i++) {
    Node *node = sample[(start + i) % count];
    double load = node_load (balancer, node);

    if (best != NULL && load >= best_load)
      continue;
    best = node;
    best_load = load;
  }
  return best;
}

/* Whether @b, which arrived after @a, is placed before it. Requests are ordered by
 * priority; within a priority, those that can still meet their objective come before late
 * ones. The former are served newest first (LIFO): during a lasting overload, oldest
 * first would start all of them too late. Late ones are served oldest first. */
static bool
has_precedence (const BurdockPlacement *b, const BurdockPlacement *a, uint64_t now_us)
{
  bool b_late = b->objective_deadline_us < now_us;

  if (a->priority != b->priority)
    return b->priority < a->priority;
  return !b_late;
}

static QueuedRequest **
select_queued (BurdockBalancer *balancer, Pool *pool)
{
  QueuedRequest **best = &pool->queue;

  for (QueuedRequest **at = &pool->queue; *at != NULL; at = &(*at)->next) {
    if (has_precedence (&(*at)->placement, &(*best)->placement, balancer->now_us))
      best = at;
  }
  return best;
}

static BurdockPlacement
remove_queued (BurdockBalancer *balancer, Pool *pool, QueuedRequest **at)
{
  QueuedRequest *queued = *at;
  BurdockPlacement placement = queued->placement;

  *at = queued->next;
  if (pool->queue_tail == &queued->next)
    pool->queue_tail = at;
  free (queued);
  pool->queue_length--;
  balancer->stats.waiting--;
  return placement;
}

static void
place_request (BurdockBalancer *balancer, Pool *pool, Node *node, uint64_t handle)
{
  const BurdockBalancerHandler *handler = &balancer->handler;

  burdock_balancer_subtract_from_group (node);
  node->own_outstanding++;
  burdock_rate_share_sent (&node->rate);
  burdock_balancer_add_to_group (node);
  pool->placed++;
  balancer->stats.placed++;
  balancer->stats.outstanding_own++;
  handler->place (handler->ctx, handle, &node->info);
}

static void
dispatch_pool (BurdockBalancer *balancer, Pool *pool)
{
  while (pool->queue != NULL) {
    QueuedRequest **at = select_queued (balancer, pool);
    Node *node = select_node (balancer, pool, &(*at)->placement);
    BurdockPlacement placement;

    if (node == NULL)
      return;
    placement = remove_queued (balancer, pool, at);
    if (node->group != NULL && is_late (balancer, &placement) &&
        node->group->late_credit >= 1)
      node->group->late_credit -= 1;
    place_request (balancer, pool, node, placement.handle);
  }
}

/* A callback may end a request and thereby request another pass. */
void
burdock_balancer_dispatch (BurdockBalancer *balancer)
{
  balancer->dispatch_again = true;
  if (balancer->dispatching)
    return;
  balancer->dispatching = true;
  while (balancer->dispatch_again) {
    balancer->dispatch_again = false;
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

static bool
is_suspended (const BurdockBalancer *balancer, const Node *node)
{
  const Group *group = node->group;

  if (is_silent (balancer, node))
    return true;
  return group != NULL && !group->open &&
         balancer->now_us - group->last_report_us <= AGENT_REPORT_TIMEOUT_US;
}

/* Whether no upstream of @pool can run a request now: all belong to groups that are
 * broken or stalled. */
static bool
is_pool_suspended (const BurdockBalancer *balancer, const Pool *pool)
{
  for (uint32_t i = 0; i < balancer->node_count; i++) {
    const Node *node = balancer->nodes[i];

    if (is_usable (node, pool) && !is_suspended (balancer, node))
      return false;
  }
  return true;
}

/* End of the first pause of an upstream of @pool, 0 if one has none or all belong to
 * groups that are broken or stalled. */
static uint64_t
first_pause_end_us (const BurdockBalancer *balancer, const Pool *pool)
{
  uint64_t first_us = UINT64_MAX;

  for (uint32_t i = 0; i < balancer->node_count; i++) {
    const Node *node = balancer->nodes[i];

    if (is_usable (node, pool) && !is_suspended (balancer, node) &&
        node->paused_until_us < first_us)
      first_us = node->paused_until_us;
  }
  return first_us != UINT64_MAX ? first_us : 0;
}

static void
refuse_request (BurdockBalancer *balancer, uint64_t handle, BurdockReason reason,
                uint32_t retry_after_ms)
{
  const BurdockBalancerHandler *handler = &balancer->handler;

  balancer->stats.refused++;
  retry_after_ms += next_random (balancer) % RETRY_AFTER_JITTER_MS;
  handler->refuse (handler->ctx, handle, reason, retry_after_ms);
}

/* Whether, at the current rate, the queued requests use all placements until the queue
 * deadline of @placement. */
static bool
would_miss_queue_deadline (const BurdockBalancer *balancer, const Pool *pool,
                           const BurdockPlacement *placement)
{
  uint64_t time_left_us = placement->queue_deadline_us > balancer->now_us
                              ? placement->queue_deadline_us - balancer->now_us
                              : 0;

  if (pool->queue_length < QUEUE_ESTIMATE_MIN || pool->placed_per_s <= 0)
    return false;
  return pool->queue_length / pool->placed_per_s * 1e6 > (double)time_left_us;
}

void
burdock_balancer_submit (BurdockBalancer *balancer, const BurdockPlacement *placement,
                         uint64_t now_us)
{
  Pool *pool = burdock_balancer_pool (balancer, placement->pool);
  QueuedRequest *queued;
  uint64_t pause_end_us;

  balancer->now_us = now_us;
  balancer->submitted += placement->excluded_count == 0;
  if (placement->excluded_count == 0 && pool->retries_left < retry_allowance (balancer))
    pool->retries_left += balancer->settings.retry_ratio * RETRY_BUDGET_RATIO;
  if (!has_upstream (balancer, pool)) {
    refuse_request (balancer, placement->handle, BURDOCK_REASON_NO_UPSTREAM,
                    RETRY_AFTER_NO_UPSTREAM_MS);
    return;
  }
  /* A caller that has come back does not come back again, so its request waits. */
  if (placement->excluded_count == 0 && !is_late (balancer, placement) &&
      is_pool_suspended (balancer, pool)) {
    refuse_request (balancer, placement->handle, BURDOCK_REASON_NO_UPSTREAM,
                    RETRY_AFTER_SUSPENDED_MS);
    return;
  }
  pause_end_us = first_pause_end_us (balancer, pool);
  if (pause_end_us > placement->queue_deadline_us) {
    refuse_request (balancer, placement->handle, BURDOCK_REASON_OVERLOAD,
                    (uint32_t)((pause_end_us - balancer->now_us) / 1000));
    return;
  }
  if (would_miss_queue_deadline (balancer, pool, placement)) {
    refuse_request (balancer, placement->handle, BURDOCK_REASON_OVERLOAD,
                    RETRY_AFTER_OVERLOAD_MS);
    return;
  }
  queued = malloc (sizeof *queued);
  if (queued == NULL)
    abort ();
  *queued = (QueuedRequest){ .placement = *placement };
  *pool->queue_tail = queued;
  pool->queue_tail = &queued->next;
  pool->queue_length++;
  balancer->stats.waiting++;
  burdock_balancer_dispatch (balancer);
}

bool
burdock_balancer_has_capacity (BurdockBalancer *balancer,
                               const BurdockPlacement *placement, uint64_t upstream)
{
  Pool *pool = burdock_balancer_pool (balancer, placement->pool);
  BurdockPlacement elsewhere = *placement;

  if (pool->queue != NULL)
    return false;
  if (elsewhere.excluded_count < BURDOCK_EXCLUDED_MAX)
    elsewhere.excluded[elsewhere.excluded_count++] = upstream;
  return select_node (balancer, pool, &elsewhere) != NULL;
}

void
burdock_balancer_withdraw (BurdockBalancer *balancer, uint64_t handle)
{
  for (Pool *pool = balancer->pools; pool != NULL; pool = pool->next) {
    for (QueuedRequest **at = &pool->queue; *at != NULL; at = &(*at)->next) {
      if ((*at)->placement.handle != handle)
        continue;
      remove_queued (balancer, pool, at);
      return;
    }
  }
}

bool
burdock_balancer_take_retry (BurdockBalancer *balancer, const char *name)
{
  Pool *pool = burdock_balancer_pool (balancer, name);

  if (pool->retries_left < 1) {
    balancer->stats.retries_denied++;
    return false;
  }
  pool->retries_left -= 1;
  balancer->stats.retries++;
  return true;
}

static void
expire_queued (BurdockBalancer *balancer, Pool *pool)
{
  QueuedRequest **at = &pool->queue;

  while (*at != NULL) {
    BurdockPlacement placement;

    if ((*at)->placement.queue_deadline_us > balancer->now_us) {
      at = &(*at)->next;
      continue;
    }
    placement = remove_queued (balancer, pool, at);
    refuse_request (balancer, placement.handle, BURDOCK_REASON_OVERLOAD,
                    RETRY_AFTER_OVERLOAD_MS);
  }
}

static void
update_placement_rates (BurdockBalancer *balancer)
{
  balancer->demand_per_s +=
      (balancer->submitted * 1e6 / RATE_INTERVAL_US - balancer->demand_per_s) * RATE_GAIN;
  balancer->submitted = 0;
  for (Pool *pool = balancer->pools; pool != NULL; pool = pool->next) {
    double per_s = pool->placed * 1e6 / RATE_INTERVAL_US;

    pool->placed_per_s += (per_s - pool->placed_per_s) * RATE_GAIN;
    pool->placed = 0;
  }
}

static void
refill_retry_budget (BurdockBalancer *balancer)
{
  uint64_t elapsed_us = balancer->now_us - balancer->last_tick_us;

  if (balancer->last_tick_us != 0) {
    for (Pool *pool = balancer->pools; pool != NULL; pool = pool->next)
      add_retries (balancer, pool,
                   (double)elapsed_us / RETRY_WINDOW_US * retry_allowance (balancer));
  }
  balancer->last_tick_us = balancer->now_us;
}

/* All gateways see the same free capacity until their next heartbeats. If each filled it
 * with late requests from its own queue, none would be left for requests that can still
 * meet their objective. So each gateway gets an equal part per heartbeat interval. */
static void
refill_late_credit (const BurdockBalancer *balancer, uint64_t elapsed_us)
{
  double gateways = apr_hash_count (balancer->peers) + 1;
  uint64_t interval_us = report_interval_us (balancer);

  for (apr_hash_index_t *at = apr_hash_first (NULL, balancer->groups); at != NULL;
       at = apr_hash_next (at)) {
    Group *group = apr_hash_this_val (at);
    double free_slots = group->slots * group->utilization_limit * LATE_UTILIZATION_RATIO -
                        group->outstanding;

    if (free_slots > 0)
      group->late_credit +=
          free_slots / gateways * (double)elapsed_us / (double)interval_us;
    if (group->late_credit > LATE_CREDIT_MAX)
      group->late_credit = LATE_CREDIT_MAX;
  }
}

/* Demand of this gateway as a part of the demand of all. A gateway that has reported none
 * counts like this one. */
static double
demand_weight (const BurdockBalancer *balancer)
{
  double own = balancer->demand_per_s > DEMAND_MIN_PER_S ? balancer->demand_per_s
                                                         : DEMAND_MIN_PER_S;
  double all = own;

  for (apr_hash_index_t *at = apr_hash_first (NULL, balancer->peers); at != NULL;
       at = apr_hash_next (at)) {
    const Peer *peer = apr_hash_this_val (at);

    all += peer->demand_per_s > 0 ? peer->demand_per_s : own;
  }
  return own / all;
}

static void
refill_rate_credit (BurdockBalancer *balancer, uint64_t elapsed_us)
{
  double weight = demand_weight (balancer);

  for (uint32_t i = 0; i < balancer->node_count; i++) {
    if (balancer->nodes[i]->rate.limited)
      burdock_rate_share_advance (&balancer->nodes[i]->rate, weight,
                                  report_interval_us (balancer), elapsed_us,
                                  next_random (balancer) / RANDOM_RANGE);
  }
}

void
burdock_balancer_tick_queue (BurdockBalancer *balancer)
{
  if (balancer->last_tick_us != 0) {
    refill_late_credit (balancer, balancer->now_us - balancer->last_tick_us);
    refill_rate_credit (balancer, balancer->now_us - balancer->last_tick_us);
  }
  refill_retry_budget (balancer);
  for (Pool *pool = balancer->pools; pool != NULL; pool = pool->next)
    expire_queued (balancer, pool);
  if (balancer->now_us >= balancer->next_rate_us) {
    balancer->next_rate_us = balancer->now_us + RATE_INTERVAL_US;
    update_placement_rates (balancer);
  }
  burdock_balancer_dispatch (balancer);
}
