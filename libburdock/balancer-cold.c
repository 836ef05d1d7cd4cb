/* Cold upstreams: which ones are cold, and how many requests they may get. */
#include "balancer-private.h"

#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* Load, as a share of its slots, that the whole cold time adds in the comparison of
 * upstreams; it falls to 0 as the upstream warms up. At half of the slots, a cold
 * upstream is preferred only to well loaded ones. */
#define COLD_PENALTY 0.5

/* Weight of an answer in the slowness of the cold upstreams of a pool: they get few
 * requests while they are cold. */
#define SLOWNESS_GAIN 0.3

/* A longer time has another cause. */
#define SLOWNESS_MAX 100.0

bool
burdock_balancer_bounds_cold (const BurdockBalancer *balancer)
{
  return balancer->settings.cold_overage > 0;
}

/* Without a bound no upstream is treated as cold. */
static const BurdockColdLimit *
limit_of (const BurdockBalancer *balancer, const Node *node)
{
  static const BurdockColdLimit none = { 0 };

  return burdock_balancer_bounds_cold (balancer) && node->pool != NULL ? &node->pool->cold
                                                                       : &none;
}

void
burdock_balancer_set_cold_pools (BurdockBalancer *balancer, const BurdockColdPool *items,
                                 uint32_t count)
{
  for (Pool *pool = balancer->pools; pool != NULL; pool = pool->next)
    pool->cold = (BurdockColdLimit){ 0 };
  for (uint32_t i = 0; i < count; i++)
    burdock_balancer_pool (balancer, items[i].pool)->cold = items[i].limit;
}

void
burdock_balancer_apply_cold_row (BurdockBalancer *balancer, Node *node, bool added)
{
  const BurdockUpstream *info = &node->info;
  BurdockColdRow row = { .born_ms = info->born_ms,
                         .version = info->row_version,
                         .read_us = info->read_us,
                         .has_left = info->has_cold_left,
                         .left_ms = info->cold_left_ms };

  burdock_cold_start_apply_row (&node->cold, &row,
                                added && balancer->newest_born_ms != 0 &&
                                    info->born_ms > balancer->newest_born_ms);
}

/* Only the start of an upstream that is later than that of all others shows that it has
 * just started: after an outage of the store, rows of old ones are listed again. */
void
burdock_balancer_note_starts (BurdockBalancer *balancer)
{
  for (uint32_t i = 0; i < balancer->node_count; i++) {
    const BurdockUpstream *info = &balancer->nodes[i]->info;

    if (info->born_ms > balancer->newest_born_ms)
      balancer->newest_born_ms = info->born_ms;
  }
}

void
burdock_balancer_record_cold (BurdockBalancer *balancer, uint64_t upstream,
                              uint32_t left_ms, uint64_t now_us)
{
  Node *node = burdock_balancer_node (balancer, upstream);

  if (node != NULL)
    burdock_cold_start_apply_answer (&node->cold, left_ms, now_us);
}

bool
burdock_balancer_node_is_slow (const BurdockBalancer *balancer, const Node *node,
                               uint64_t now_us)
{
  return burdock_cold_start_is_slow (&node->cold, limit_of (balancer, node), now_us);
}

bool
burdock_balancer_is_slow (const BurdockBalancer *balancer, uint64_t upstream,
                          uint64_t now_us)
{
  const Node *node = burdock_balancer_node (balancer, upstream);

  return node != NULL && burdock_balancer_node_is_slow (balancer, node, now_us);
}

void
burdock_balancer_record_cold_time (BurdockBalancer *balancer, uint64_t upstream,
                                   bool answered, uint64_t elapsed_us,
                                   uint64_t expected_us)
{
  const Node *node = burdock_balancer_node (balancer, upstream);
  double slowness;

  if (node == NULL || node->pool == NULL || expected_us == 0)
    return;
  slowness = (double)elapsed_us / (double)expected_us;
  if (slowness < 1)
    slowness = 1;
  if (slowness > SLOWNESS_MAX)
    slowness = SLOWNESS_MAX;
  /* Only the requests that begin early are answered in time; without the others, the
   * slowness would never be learnt at an overload. */
  if (!answered && slowness <= node->pool->cold_slowness)
    return;
  if (answered && node->pool->cold_slowness > 0)
    slowness = node->pool->cold_slowness +
               (slowness - node->pool->cold_slowness) * SLOWNESS_GAIN;
  node->pool->cold_slowness = slowness;
}

BurdockRequestTimes
burdock_balancer_cold_times (const Pool *pool, const BurdockRequestTimes *times)
{
  BurdockRequestTimes cold = *times;

  if (pool->cold_slowness > 0) {
    cold.first_part_us = (uint64_t)((double)times->first_part_us * pool->cold_slowness);
    cold.work_us = (uint64_t)((double)times->work_us * pool->cold_slowness);
  }
  return cold;
}

bool
burdock_balancer_cold_is_in_time (const BurdockBalancer *balancer, const Node *node,
                                  const BurdockPlacement *placement)
{
  BurdockRequestTimes times;

  if (!burdock_balancer_is_cold (balancer, node))
    return true;
  times = burdock_balancer_cold_times (node->pool, &placement->times);
  return balancer->now_us <=
         burdock_queue_latest_start_us (&times, burdock_priority_share_is_mixed (
                                                    &node->pool->priorities));
}

bool
burdock_balancer_cold_allows (const BurdockBalancer *balancer, const Node *node)
{
  return burdock_cold_start_allows (&node->cold, limit_of (balancer, node),
                                    balancer->now_us);
}

double
burdock_balancer_cold_load (const BurdockBalancer *balancer, const Node *node)
{
  return COLD_PENALTY * burdock_cold_start_remaining (&node->cold,
                                                      limit_of (balancer, node),
                                                      balancer->now_us);
}

uint64_t
burdock_balancer_cold_opens_us (const BurdockBalancer *balancer, const Node *node)
{
  return burdock_cold_start_opens_us (&node->cold, limit_of (balancer, node),
                                      balancer->now_us);
}

uint64_t
burdock_balancer_cold_until_us (const BurdockBalancer *balancer, const Node *node)
{
  return burdock_cold_start_until_us (&node->cold, limit_of (balancer, node));
}

static double
own_rate_per_s (const BurdockBalancer *balancer, const BurdockColdLimit *limit)
{
  return burdock_cold_rate_per_s (limit->per_s, balancer->settings.cold_overage,
                                  balancer->settings.cold_allowance) /
         burdock_cold_fleet_gateways (&balancer->cold_fleet,
                                      burdock_balancer_report_interval_us (balancer),
                                      balancer->now_us);
}

static void
advance_node (BurdockBalancer *balancer, Node *node)
{
  const BurdockColdLimit *limit = limit_of (balancer, node);
  const BurdockBalancerHandler *handler = &balancer->handler;
  uint64_t until_us = burdock_cold_start_until_us (&node->cold, limit);
  double rate_per_s = 0;

  if (until_us == 0 || !node->listed)
    return;
  if (until_us > balancer->now_us)
    rate_per_s = own_rate_per_s (balancer, limit);
  if (burdock_cold_start_advance (&node->cold, limit, rate_per_s, balancer->now_us,
                                  burdock_balancer_random (balancer) /
                                      BURDOCK_BALANCER_RANDOM_RANGE) &&
      handler->cold_changed != NULL)
    handler->cold_changed (
        handler->ctx, &node->info,
        until_us > balancer->now_us
            ? (uint32_t)((until_us - balancer->now_us + US_PER_MS - 1) / US_PER_MS)
            : 0,
        rate_per_s);
}

void
burdock_balancer_tick_cold (BurdockBalancer *balancer)
{
  burdock_cold_fleet_update (&balancer->cold_fleet, apr_hash_count (balancer->peers),
                             balancer->now_us);
  if (!burdock_balancer_bounds_cold (balancer))
    return;
  for (uint32_t i = 0; i < balancer->node_count; i++)
    advance_node (balancer, balancer->nodes[i]);
}

bool
burdock_balancer_is_cold (const BurdockBalancer *balancer, const Node *node)
{
  return balancer->now_us < burdock_balancer_cold_until_us (balancer, node);
}

uint32_t
burdock_balancer_count_cold (const BurdockBalancer *balancer)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < balancer->node_count; i++)
    count += balancer->nodes[i]->listed &&
             burdock_balancer_is_cold (balancer, balancer->nodes[i]);
  return count;
}
