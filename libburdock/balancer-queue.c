/* Places, holds and refuses requests. */
#include "balancer-private.h"

#include <stdlib.h>
#include <string.h>

/* Each agent reports once a second; without any the state of a group is unknown. */
#define GROUP_SILENT_US UINT64_C (2500000)

/* Requests that a failure rate of 1 counts for in the comparison of upstreams. */
#define FAILURE_LOAD 24.0

/* Above this rate the failures are the upstream's and not a single lost answer. */
#define FAILURE_RATE_MIN 0.15

/* An upstream elsewhere is taken if it is emptier by this part of its slots. */
#define ELSEWHERE_LOAD 0.04

/* Load of the group compared with load of the rank: steps are as long as the whole group
 * makes them, the own part of a rank is the smaller one. */
#define GROUP_LOAD_WEIGHT 2.0

/* Part of the places of a group that late requests may fill. Each gateway has a line of
 * its own, and a place that one gives to a late request is missing at another for one
 * that is still on time. From trials with 0.7, 0.85 and 1 on a day of overload. */
#define LATE_PART 0.85

/* Late requests that a gateway may place at once after a time without any: one for the
 * request at hand and one for the next, so that a long calm is no licence for a burst. */
#define LATE_CREDIT_MAX 2.0

/* Upstreams with room that are compared for a request. */
#define CHOICES 3

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

static uint32_t
next_random (BurdockBalancer *balancer)
{
  balancer->random = balancer->random * UINT64_C (6364136223846793005) + 1;
  return (uint32_t)(balancer->random >> 33);
}

static void
add_repeats (const BurdockBalancer *balancer, Pool *pool, double count)
{
  double most = retry_allowance (balancer);

  pool->repeats_left =
      pool->repeats_left + count < most ? pool->repeats_left + count : most;
}

static bool
is_late (const BurdockBalancer *balancer, const BurdockPlacement *placement)
{
  return placement->on_time_until_us < balancer->now_us;
}

static bool
group_has_room (const BurdockBalancer *balancer, const Node *node, bool late)
{
  const Group *group = node->group;
  double share = group != NULL ? group->share * (late ? LATE_PART : 1) : 1;

  if (group == NULL || balancer->now_us - group->heard_us > GROUP_SILENT_US)
    return true;
  if (late && group->late_credit < 1)
    return false;
  return group->open && group->outstanding < group->slots * share;
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

static bool
is_silent (const BurdockBalancer *balancer, const Node *node)
{
  return node->liveness.silent_until_us > balancer->now_us ||
         (node->group != NULL &&
          node->group->liveness.silent_until_us > balancer->now_us);
}

static bool
is_eligible (const BurdockBalancer *balancer, const Node *node, const Pool *pool,
             const BurdockPlacement *placement)
{
  return is_usable (node, pool) && node->paused_until_us <= balancer->now_us &&
         !is_silent (balancer, node) && outstanding (node) < node->info.slots &&
         !is_excluded (placement, node->info.key) &&
         group_has_room (balancer, node, is_late (balancer, placement));
}

/* Fills @sample with eligible nodes, each equally likely, and returns their number. A
 * walk from a random start would meet the same ones after each long row of full nodes. */
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
    at = seen < CHOICES ? seen : next_random (balancer) % (seen + 1);
    seen++;
    if (at < CHOICES)
      sample[at] = node;
  }
  return seen < CHOICES ? seen : CHOICES;
}

/* The best of a few: the loads that the gateways see are as old as their heartbeats, and
 * if all took the least loaded upstream of the fleet, they would meet there. */
static Node *
choose (BurdockBalancer *balancer, const Pool *pool, const BurdockPlacement *placement)
{
  Node *sample[CHOICES];
  uint32_t count = sample_nodes (balancer, pool, placement, sample);
  uint32_t start = next_random (balancer); /* decides between equals */
  Node *best = NULL;
  double best_load = 0;

  for (uint32_t i = 0; i < count; i++) {
    Node *node = sample[(start + i) % count];
    double load = load_of (balancer, node);

    if (best != NULL && load >= best_load)
      continue;
    best = node;
    best_load = load;
  }
  return best;
}

/* Whether @b, which came later than @a, goes before it. Urgent ones go first, and among
 * equals those that can still be on time. Of these the newest goes first: in a lasting
 * shortage the oldest would all start when it is too late. Of the late ones the oldest
 * goes first. */
static bool
goes_before (const BurdockPlacement *b, const BurdockPlacement *a, uint64_t now_us)
{
  bool b_late = b->on_time_until_us < now_us;

  if (a->priority != b->priority)
    return b->priority < a->priority;
  return !b_late;
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

  burdock_balancer_detach (node);
  node->own++;
  burdock_balancer_attach (node);
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
    if (node->group != NULL && is_late (balancer, &placement) &&
        node->group->late_credit >= 1)
      node->group->late_credit -= 1;
    place (balancer, pool, node, placement.handle);
  }
}

/* A callback may end a request and so ask for another round. */
void
burdock_balancer_dispatch (BurdockBalancer *balancer)
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
  retry_after_ms += next_random (balancer) % RETRY_AFTER_SPREAD_MS;
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
  Pool *pool = burdock_balancer_pool (balancer, placement->pool);
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
  burdock_balancer_dispatch (balancer);
}

bool
burdock_balancer_has_room (BurdockBalancer *balancer, const BurdockPlacement *placement,
                           uint64_t upstream)
{
  Pool *pool = burdock_balancer_pool (balancer, placement->pool);
  BurdockPlacement elsewhere = *placement;

  if (pool->waiting != NULL)
    return false;
  if (elsewhere.excluded_count < BURDOCK_EXCLUDED_MAX)
    elsewhere.excluded[elsewhere.excluded_count++] = upstream;
  return choose (balancer, pool, &elsewhere) != NULL;
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

bool
burdock_balancer_may_repeat (BurdockBalancer *balancer, const char *name)
{
  Pool *pool = burdock_balancer_pool (balancer, name);

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

static void
refill_repeats (BurdockBalancer *balancer)
{
  uint64_t passed_us = balancer->now_us - balancer->ticked_us;

  if (balancer->ticked_us != 0) {
    for (Pool *pool = balancer->pools; pool != NULL; pool = pool->next)
      add_repeats (balancer, pool,
                   (double)passed_us / RETRY_WINDOW_US * retry_allowance (balancer));
  }
  balancer->ticked_us = balancer->now_us;
}

/* All gateways see the same room until their next heartbeats. If each filled it with the
 * late requests of its own line, the group would be full for those that are on time, so
 * each takes its part. */
static void
refill_late_credit (const BurdockBalancer *balancer, uint64_t passed_us)
{
  double gateways = apr_hash_count (balancer->peers) + 1;
  double interval_us =
      balancer->heartbeat_us > TICK_US ? balancer->heartbeat_us : TICK_US;

  for (apr_hash_index_t *at = apr_hash_first (NULL, balancer->groups); at != NULL;
       at = apr_hash_next (at)) {
    Group *group = apr_hash_this_val (at);
    double room = group->slots * group->share * LATE_PART - group->outstanding;

    if (room > 0)
      group->late_credit += room / gateways * (double)passed_us / interval_us;
    if (group->late_credit > LATE_CREDIT_MAX)
      group->late_credit = LATE_CREDIT_MAX;
  }
}

void
burdock_balancer_tick_queue (BurdockBalancer *balancer)
{
  if (balancer->ticked_us != 0)
    refill_late_credit (balancer, balancer->now_us - balancer->ticked_us);
  refill_repeats (balancer);
  for (Pool *pool = balancer->pools; pool != NULL; pool = pool->next)
    expire_waiting (balancer, pool);
  if (balancer->now_us >= balancer->next_rate_us) {
    balancer->next_rate_us = balancer->now_us + RATE_INTERVAL_US;
    measure_rates (balancer);
  }
  burdock_balancer_dispatch (balancer);
}
