/* Selection of the upstream for a request, and the time at which one takes requests. */
#include "balancer-private.h"

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

/* Eligible upstreams that are compared for a request. */
#define SAMPLE_SIZE 3

/* Time for which a group stays closed, until one such time has been measured: its lost
 * rank is started again, and the group formed. */
#define GROUP_CLOSED_DEFAULT_US UINT64_C (2200000)

/* Each gateway has its own queue, and all of them see the same free places until they
 * hear of each other again. Waiting requests therefore need credit: for each place that a
 * request of this gateway has freed, and for its part of the other free places. */
static bool
group_has_capacity (const BurdockBalancer *balancer, const Group *group, bool waited)
{
  if (group == NULL || balancer->now_us - group->last_report_us > AGENT_REPORT_TIMEOUT_US)
    return true;
  if (waited && group->credit < 1)
    return false;
  return group->open && group->outstanding < group->slots * group->utilization_limit;
}

double
burdock_balancer_usable_slots (const BurdockBalancer *balancer, const Node *node)
{
  const Group *group = node->group;

  if (!node->listed || node->info.leaving)
    return 0;
  if (group == NULL || balancer->now_us - group->last_report_us > AGENT_REPORT_TIMEOUT_US)
    return node->info.slots;
  return group->open ? node->info.slots * group->utilization_limit : 0;
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
  return load + burdock_balancer_cold_load (balancer, node);
}

static bool
is_usable (const Node *node, const Pool *pool)
{
  return node->listed && node->pool == pool && !node->info.leaving && !node->evacuated;
}

static bool
is_silent (const BurdockBalancer *balancer, const Node *node)
{
  return node->liveness.silent_until_us > balancer->now_us ||
         (node->group != NULL &&
          node->group->liveness.silent_until_us > balancer->now_us);
}

static bool
is_eligible_if_warm (const BurdockBalancer *balancer, const Node *node, const Pool *pool,
                     const BurdockPlacement *placement, bool waited)
{
  return is_usable (node, pool) && node->ejected_until_us <= balancer->now_us &&
         node->paused_until_us <= balancer->now_us && !is_silent (balancer, node) &&
         outstanding (node) < node->info.slots &&
         burdock_rate_share_allows (&node->rate,
                                    burdock_balancer_report_interval_us (balancer)) &&
         !is_excluded (placement, node->info.key) &&
         group_has_capacity (balancer, node->group, waited);
}

static bool
is_eligible (const BurdockBalancer *balancer, const Node *node, const Pool *pool,
             const BurdockPlacement *placement, bool waited)
{
  return is_eligible_if_warm (balancer, node, pool, placement, waited) &&
         burdock_balancer_cold_allows (balancer, node) &&
         (!waited || burdock_balancer_cold_is_in_time (balancer, node, placement));
}

bool
burdock_balancer_lacks_permit (const BurdockBalancer *balancer, const Pool *pool,
                               const BurdockPlacement *placement)
{
  if (!burdock_balancer_bounds_cold (balancer))
    return false;
  for (uint32_t i = 0; i < balancer->node_count; i++) {
    const Node *node = balancer->nodes[i];

    if (is_eligible_if_warm (balancer, node, pool, placement, false) &&
        !burdock_balancer_cold_allows (balancer, node))
      return true;
  }
  return false;
}

/* Fills @sample with eligible nodes by reservoir sampling, each equally likely, and
 * returns their number. Scanning from a random start would favour the nodes that follow a
 * long run of full ones. */
static uint32_t
sample_nodes (BurdockBalancer *balancer, const Pool *pool,
              const BurdockPlacement *placement, bool waited, Node **sample)
{
  uint32_t seen = 0;

  for (uint32_t i = 0; i < balancer->node_count; i++) {
    Node *node = balancer->nodes[i];
    uint32_t at;

    if (!is_eligible (balancer, node, pool, placement, waited))
      continue;
    at = seen < SAMPLE_SIZE ? seen : burdock_balancer_random (balancer) % (seen + 1);
    seen++;
    if (at < SAMPLE_SIZE)
      sample[at] = node;
  }
  return seen < SAMPLE_SIZE ? seen : SAMPLE_SIZE;
}

/* Returns the least loaded node of a random sample, NULL if none is eligible. The loads
 * are as old as the last heartbeats; if all gateways took the least loaded upstream of
 * the fleet, they would overload it together. */
Node *
burdock_balancer_select (BurdockBalancer *balancer, const Pool *pool,
                         const BurdockPlacement *placement, bool waited)
{
  Node *sample[SAMPLE_SIZE];
  uint32_t count = sample_nodes (balancer, pool, placement, waited, sample);
  uint32_t start = burdock_balancer_random (balancer); /* breaks ties */
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

/* A group that has been closed for longer than expected is expected to stay closed for as
 * long again as it is overdue. */
static uint64_t
group_opens_us (const BurdockBalancer *balancer, const Group *group)
{
  uint64_t closed_us = balancer->now_us - group->broken_us;
  uint64_t expected_us =
      group->closed_for_us > 0 ? group->closed_for_us : GROUP_CLOSED_DEFAULT_US;

  if (group->open || balancer->now_us - group->last_report_us > AGENT_REPORT_TIMEOUT_US)
    return 0;
  return balancer->now_us +
         (closed_us < expected_us ? expected_us - closed_us : closed_us - expected_us);
}

static uint64_t
latest_of (uint64_t a_us, uint64_t b_us)
{
  return a_us > b_us ? a_us : b_us;
}

/* Time at which an upstream is expected to take requests, if it has a free place. */
static uint64_t
warm_node_opens_us (const BurdockBalancer *balancer, const Node *node)
{
  uint64_t opens_us = latest_of (node->ejected_until_us, node->paused_until_us);

  opens_us = latest_of (opens_us, node->liveness.silent_until_us);
  if (node->group == NULL)
    return opens_us;
  opens_us = latest_of (opens_us, node->group->liveness.silent_until_us);
  return latest_of (opens_us, group_opens_us (balancer, node->group));
}

static uint64_t
node_opens_us (const BurdockBalancer *balancer, const Node *node)
{
  return latest_of (warm_node_opens_us (balancer, node),
                    burdock_balancer_cold_opens_us (balancer, node));
}

double
burdock_balancer_permits (const BurdockBalancer *balancer, const Pool *pool,
                          const BurdockPlacement *placement, uint64_t *warm_us)
{
  double per_s = 0;

  *warm_us = UINT64_MAX;
  for (uint32_t i = 0; i < balancer->node_count; i++) {
    const Node *node = balancer->nodes[i];
    uint64_t opens_us;

    if (!is_usable (node, pool) || is_excluded (placement, node->info.key))
      continue;
    if (burdock_balancer_is_cold (balancer, node) && node->cold.period_us > 0)
      per_s += 1e6 / (double)node->cold.period_us;
    opens_us = latest_of (warm_node_opens_us (balancer, node),
                          burdock_balancer_cold_until_us (balancer, node));
    if (opens_us < *warm_us)
      *warm_us = opens_us;
  }
  return per_s;
}

uint64_t
burdock_balancer_opens_us (const BurdockBalancer *balancer, const Pool *pool,
                           const BurdockPlacement *placement)
{
  uint64_t first_us = UINT64_MAX;

  for (uint32_t i = 0; i < balancer->node_count && first_us > balancer->now_us; i++) {
    const Node *node = balancer->nodes[i];
    uint64_t opens_us;

    if (!is_usable (node, pool) || is_excluded (placement, node->info.key))
      continue;
    opens_us = node_opens_us (balancer, node);
    if (opens_us < first_us)
      first_us = opens_us;
  }
  return first_us;
}
