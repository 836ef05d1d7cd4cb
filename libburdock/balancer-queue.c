/* Queueing, refusal and placement of requests. */
#include "balancer-private.h"

#include <stdlib.h>
#include <string.h>

/* One waiting request now and one next, so that a long idle time does not allow a burst.
 */
#define CREDIT_SPARE 2.0

/* Share of the retry budget that is used. Gateways do not learn of each other's retries
 * in time to use the whole budget safely. */
#define RETRY_BUDGET_RATIO 0.6

#define RETRY_GATEWAYS_MIN 6

/* Time over which the allowance is refilled. It is empty when a process starts, as its
 * predecessor may just have used it. */
#define RETRY_WINDOW_US UINT64_C (10000000)

/* Callers that are refused together come back spread over the time in which the places
 * become free once, or over this time if it is not known. */
#define RETRY_SPREAD_DEFAULT_US UINT64_C (400000)

/* Callers wait for at most this part of the time that they have left. */
#define RETURN_TIME_DIVISOR 3

/* Requests in a row that find a free place show that an overload is over. At an overload
 * one of them finds a place now and then, before another gateway takes it. */
#define SENT_AT_ONCE_MIN 4

#define RATE_INTERVAL_US UINT64_C (500000)
#define DEMAND_GAIN 0.4

/* Part of the weight that requests of the time before keep with each rate interval, so
 * that the turnover follows the last five seconds. */
#define TURNOVER_KEPT 0.9

/* With fewer requests that have ended the turnover is not known. */
#define TURNOVER_ENDED_MIN 4

/* A waiting request that finds a permit starts with the next tick. */
#define FIRST_START_S 0.05

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

static void
add_retries (const BurdockBalancer *balancer, Pool *pool, double count)
{
  double retries_max = retry_allowance (balancer);

  pool->retries_left =
      pool->retries_left + count < retries_max ? pool->retries_left + count : retries_max;
}

/* Whether a waiting request starts before one of @priority that has to start by
 * @latest_start_us. Within a priority the one that can wait least comes first. */
static bool
precedes (const QueuedRequest *queued, uint32_t priority, uint64_t latest_start_us)
{
  if (queued->placement.priority != priority)
    return queued->placement.priority < priority;
  return queued->latest_start_us <= latest_start_us;
}

static uint64_t
latest_start (const Pool *pool, const BurdockPlacement *placement)
{
  return burdock_queue_latest_start_us (&placement->times,
                                        burdock_priority_share_is_mixed (
                                            &pool->priorities));
}

static void
insert_queued (BurdockBalancer *balancer, Pool *pool, const BurdockPlacement *placement,
               uint32_t own_priority)
{
  uint64_t latest_start_us = latest_start (pool, placement);
  QueuedRequest *queued = malloc (sizeof *queued);
  QueuedRequest **at = &pool->queue;

  if (queued == NULL)
    abort ();
  while (*at != NULL && precedes (*at, placement->priority, latest_start_us))
    at = &(*at)->next;
  *queued = (QueuedRequest){ .next = *at,
                             .placement = *placement,
                             .own_priority = own_priority,
                             .latest_start_us = latest_start_us,
                             .since_us = balancer->now_us };
  *at = queued;
  balancer->stats.waiting++;
}

static BurdockPriorityStats *
priority_stats (BurdockBalancer *balancer, uint32_t priority)
{
  return &balancer->stats.priorities[burdock_priority_share_number (priority)];
}

static BurdockPlacement
remove_queued (BurdockBalancer *balancer, Pool *pool, QueuedRequest **at)
{
  QueuedRequest *queued = *at;
  BurdockPlacement placement = queued->placement;

  *at = queued->next;
  free (queued);
  balancer->stats.waiting--;
  return placement;
}

static void
place_request (BurdockBalancer *balancer, Pool *pool, Node *node,
               const BurdockPlacement *placement)
{
  const BurdockBalancerHandler *handler = &balancer->handler;

  burdock_balancer_subtract_from_group (node);
  node->own_outstanding++;
  pool->own_outstanding++;
  burdock_rate_share_sent (&node->rate);
  burdock_cold_start_sent (&node->cold);
  burdock_priority_share_sent (&pool->priorities, placement->priority);
  burdock_balancer_add_to_group (node);
  balancer->stats.placed++;
  balancer->stats.outstanding_own++;
  handler->place (handler->ctx, placement->handle, &node->info);
}

void
burdock_balancer_place_freed (Node *node)
{
  Pool *pool = node->pool;

  if (node->evacuated)
    return;
  if (node->group != NULL)
    node->group->credit += 1;
  if (pool->own_outstanding > 0)
    pool->own_outstanding--;
  pool->ended += 1;
  burdock_priority_share_freed (&pool->priorities);
}

/* A request that has lost its upstream was counted when it was first sent. */
static bool
has_room (const Pool *pool, const BurdockPlacement *placement)
{
  return placement->admitted ||
         burdock_priority_share_has_room (&pool->priorities, placement->priority);
}

/* Places the first waiting request that an upstream can take. Returns false if there is
 * none. A request that may not go to some upstreams does not keep the others waiting. If
 * there is no room for a priority, there is none for the less urgent ones. */
static bool
place_queued (BurdockBalancer *balancer, Pool *pool)
{
  for (QueuedRequest **at = &pool->queue; *at != NULL; at = &(*at)->next) {
    Node *node;

    if (!has_room (pool, &(*at)->placement))
      return false;
    node = burdock_balancer_select (balancer, pool, &(*at)->placement, true);
    if (node != NULL) {
      uint32_t own_priority = (*at)->own_priority;
      BurdockPlacement placement = remove_queued (balancer, pool, at);

      priority_stats (balancer, own_priority)->waited++;
      if (node->group != NULL && node->group->credit >= 1)
        node->group->credit -= 1;
      place_request (balancer, pool, node, &placement);
      return true;
    }
    if ((*at)->placement.excluded_count == 0)
      return false;
  }
  return false;
}

static void
dispatch_pool (BurdockBalancer *balancer, Pool *pool)
{
  while (place_queued (balancer, pool))
    ;
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

/* Time for which a request keeps its place, by Little's law; 0 if it is not known. */
static double
turnover_us (const Pool *pool)
{
  return pool->ended >= TURNOVER_ENDED_MIN ? pool->running_us / pool->ended : 0;
}

static uint64_t
later (uint64_t a_us, uint64_t b_us)
{
  return a_us > b_us ? a_us : b_us;
}

/* The requests of this gateway free their places for it; one that has few of them gets
 * its part of the places that all free. */
static double
starts_per_s (const BurdockBalancer *balancer, const Pool *pool)
{
  double part = (double)pool->outstanding / (apr_hash_count (balancer->peers) + 1);
  double freed = pool->own_outstanding > part ? pool->own_outstanding : part;
  double time_us = turnover_us (pool);

  return time_us > 0 ? freed * 1e6 / time_us : 0;
}

static double
starts_of_priority_per_s (const BurdockBalancer *balancer, const Pool *pool,
                          uint32_t priority)
{
  double per_s = starts_per_s (balancer, pool);
  double limit_per_s;

  if (per_s <= 0 || !burdock_priority_share_is_limited (&pool->priorities, priority))
    return per_s;
  limit_per_s = burdock_priority_share_starts_per_s (&pool->priorities, priority);
  return per_s < limit_per_s ? per_s : limit_per_s;
}

static BurdockQueueView
view_pool (const BurdockBalancer *balancer, Pool *pool, const BurdockPlacement *placement)
{
  const BurdockPriorityLevel *level =
      burdock_priority_share_level (&pool->priorities, placement->priority);

  return (BurdockQueueView){
    .now_us = balancer->now_us,
    .opens_us = burdock_balancer_opens_us (balancer, pool, placement),
    .gives_way =
        burdock_priority_share_is_limited (&pool->priorities, placement->priority),
    .is_mixed = burdock_priority_share_is_mixed (&pool->priorities),
    .credit = burdock_priority_share_credit (&pool->priorities, placement->priority),
    .starts_per_s = starts_of_priority_per_s (balancer, pool, placement->priority),
    .waiting_since_us = level->waiting_since_us,
    .turnover_us = (uint64_t)turnover_us (pool),
    .update_us = burdock_balancer_report_interval_us (balancer)
  };
}

/* Counts the waiting requests before a new one. */
static void
count_waiting (const Pool *pool, const BurdockPlacement *placement,
               BurdockQueueView *view)
{
  uint64_t latest_start_us = latest_start (pool, placement);

  for (const QueuedRequest *queued = pool->queue;
       queued != NULL && queued->placement.priority <= placement->priority;
       queued = queued->next) {
    view->waiting++;
    view->ahead += precedes (queued, placement->priority, latest_start_us);
  }
}

/* Takes the permits of cold upstreams into account. Until an upstream takes requests
 * without one, waiting requests start at the rate of the permits, and take longer;
 * afterwards at the pace of the others. Returns what the request needs. */
static BurdockRequestTimes
count_permits (const BurdockBalancer *balancer, const Pool *pool,
               const BurdockPlacement *placement, BurdockQueueView *view)
{
  uint64_t warm_us;
  double per_s;
  double until_warm_s;
  double wait_s;

  if (!burdock_balancer_bounds_cold (balancer) || !(pool->cold.per_s > 0) ||
      view->opens_us == UINT64_MAX)
    return placement->times;
  per_s = burdock_balancer_permits (balancer, pool, placement, &warm_us);
  if (warm_us <= view->now_us) {
    if (view->starts_per_s > 0)
      view->starts_per_s += per_s;
    return placement->times;
  }
  until_warm_s = (double)(warm_us - later (view->now_us, view->opens_us)) / 1e6;
  if (per_s * until_warm_s < view->ahead + 1) {
    view->opens_us = warm_us;
    return placement->times;
  }
  /* The first one starts with the permit at @opens_us, the others one after the other. */
  wait_s = view->ahead / per_s;
  if (wait_s < FIRST_START_S)
    wait_s = FIRST_START_S;
  view->starts_per_s = (view->ahead + 1) / wait_s;
  return burdock_balancer_cold_times (pool, &placement->times);
}

/* Notes whether an arriving request finds a free place. */
static void
note_arrival (const BurdockBalancer *balancer, BurdockPriorityLevel *level, bool sent)
{
  level->sent_at_once = sent ? level->sent_at_once + 1 : 0;
  if (!sent && level->waiting_since_us == 0)
    level->waiting_since_us = balancer->now_us;
  if (level->sent_at_once >= SENT_AT_ONCE_MIN)
    level->waiting_since_us = 0;
}

/* Callers that are refused together come back one after the other. */
static uint32_t
delay_with_spread_ms (BurdockBalancer *balancer, const Pool *pool, uint64_t delay_us)
{
  double spread_us = turnover_us (pool);

  if (spread_us <= 0)
    spread_us = RETRY_SPREAD_DEFAULT_US;
  return (uint32_t)(((double)delay_us + spread_us * burdock_balancer_random (balancer) /
                                            BURDOCK_BALANCER_RANDOM_RANGE) /
                    1000);
}

/* Callers of a limited priority return one by one, as room is expected for them. One for
 * whom there is no place in the time that callers wait is told the last time at which it
 * can be served. */
static uint32_t
return_delay_ms (BurdockBalancer *balancer, Pool *pool, const BurdockPlacement *placement,
                 uint64_t delay_us)
{
  uint64_t now_us = balancer->now_us;
  uint64_t left_us =
      placement->times.deadline_us > now_us ? placement->times.deadline_us - now_us : 0;
  uint64_t return_us;

  if (!burdock_priority_share_is_limited (&pool->priorities, placement->priority))
    return delay_with_spread_ms (balancer, pool, delay_us);
  return_us = burdock_priority_share_promise (&pool->priorities, placement->priority,
                                              now_us + delay_us,
                                              now_us + left_us / RETURN_TIME_DIVISOR);
  if (return_us == 0)
    return_us =
        now_us + (left_us > placement->times.work_us ? left_us - placement->times.work_us
                                                     : left_us);
  return (uint32_t)((return_us - now_us) / 1000);
}

/* @own_priority is that of the request, which may have been raised for the floor. */
static void
refuse_request (BurdockBalancer *balancer, Pool *pool, const BurdockPlacement *placement,
                uint32_t own_priority, const BurdockQueueDecision *decision)
{
  const BurdockBalancerHandler *handler = &balancer->handler;
  BurdockPlacement own = *placement;

  if (own_priority != placement->priority)
    burdock_priority_share_return_floor (&pool->priorities, own_priority);
  own.priority = own_priority;
  balancer->stats.refused++;
  priority_stats (balancer, own_priority)->refused++;
  handler->refuse (handler->ctx, own.handle, decision->reason,
                   return_delay_ms (balancer, pool, &own, decision->retry_after_us));
}

uint32_t
burdock_balancer_retry_after_ms (BurdockBalancer *balancer,
                                 const BurdockPlacement *placement, uint64_t now_us)
{
  Pool *pool = burdock_balancer_pool (balancer, placement->pool);
  BurdockPlacement again = *placement;
  BurdockQueueView view;

  balancer->now_us = now_us;
  again.excluded_count = 0;
  view = view_pool (balancer, pool, &again);
  count_waiting (pool, &again, &view);
  again.times = count_permits (balancer, pool, &again, &view);
  return return_delay_ms (balancer, pool, placement,
                          burdock_queue_retry_after_us (&again.times, &view));
}

static void
count_held_back (BurdockBalancer *balancer, const Pool *pool,
                 const BurdockPlacement *placement, BurdockQueueAction action)
{
  if (action == BURDOCK_QUEUE_SEND ||
      !burdock_balancer_lacks_permit (balancer, pool, placement))
    return;
  if (action == BURDOCK_QUEUE_REFUSE)
    balancer->stats.cold_refused++;
  else
    balancer->stats.cold_waits++;
}

static void
count_submitted (BurdockBalancer *balancer, Pool *pool, const BurdockPlacement *placement)
{
  if (placement->excluded_count > 0)
    return;
  balancer->submitted++;
  if (!placement->admitted)
    burdock_priority_share_arrived (&pool->priorities, placement->priority,
                                    balancer->now_us);
  if (pool->retries_left < retry_allowance (balancer))
    pool->retries_left += balancer->settings.retry_ratio * RETRY_BUDGET_RATIO;
}

void
burdock_balancer_submit (BurdockBalancer *balancer, const BurdockPlacement *placement,
                         uint64_t now_us)
{
  Pool *pool = burdock_balancer_pool (balancer, placement->pool);
  BurdockPlacement item = *placement;
  BurdockQueueView view;
  BurdockRequestTimes times;
  BurdockQueueDecision decision;
  Node *node = NULL;

  balancer->now_us = now_us;
  count_submitted (balancer, pool, placement);
  if (!has_room (pool, &item) &&
      burdock_priority_share_take_floor (&pool->priorities, item.priority))
    item.priority = 0;
  if (has_room (pool, &item))
    node = burdock_balancer_select (balancer, pool, &item, false);
  view = view_pool (balancer, pool, &item);
  view.has_room = node != NULL;
  view.is_admitted = item.admitted;
  count_waiting (pool, &item, &view);
  times = count_permits (balancer, pool, &item, &view);
  decision = burdock_queue_decide (&times, &view);
  note_arrival (balancer, burdock_priority_share_level (&pool->priorities, item.priority),
                decision.action == BURDOCK_QUEUE_SEND);
  count_held_back (balancer, pool, &item, decision.action);
  if (decision.action == BURDOCK_QUEUE_REFUSE) {
    refuse_request (balancer, pool, &item, placement->priority, &decision);
  } else if (node != NULL && decision.action == BURDOCK_QUEUE_SEND) {
    priority_stats (balancer, placement->priority)->sent_at_once++;
    place_request (balancer, pool, node, &item);
  } else {
    insert_queued (balancer, pool, &item, placement->priority);
    burdock_balancer_dispatch (balancer);
  }
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
  return has_room (pool, placement) &&
         burdock_balancer_select (balancer, pool, &elsewhere, false) != NULL;
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

/* Refuses the waiting requests that are no longer expected to start in time. */
static void
review_queue (BurdockBalancer *balancer, Pool *pool)
{
  QueuedRequest **at = &pool->queue;
  uint32_t ahead = 0;

  while (*at != NULL) {
    const BurdockPlacement *placement = &(*at)->placement;
    BurdockQueueView view = view_pool (balancer, pool, placement);
    BurdockRequestTimes times;
    BurdockQueueDecision decision;

    view.is_admitted = true;
    view.was_closed = pool->closed_us >= (*at)->since_us;
    view.ahead = view.waiting = ahead;
    times = count_permits (balancer, pool, placement, &view);
    decision = burdock_queue_decide (&times, &view);
    if (decision.action == BURDOCK_QUEUE_REFUSE) {
      uint32_t own_priority = (*at)->own_priority;
      BurdockPlacement removed = remove_queued (balancer, pool, at);

      refuse_request (balancer, pool, &removed, own_priority, &decision);
      continue;
    }
    ahead++;
    at = &(*at)->next;
  }
}

/* Requests that wait for a pool to open are no sign of an overload. */
static void
note_closed (const BurdockBalancer *balancer, Pool *pool)
{
  BurdockPlacement any = { 0 };

  if (burdock_balancer_opens_us (balancer, pool, &any) <= balancer->now_us)
    return;
  pool->closed_us = balancer->now_us;
  for (uint32_t i = 0; i < BURDOCK_PRIORITY_LEVELS; i++) {
    BurdockPriorityLevel *level = &pool->priorities.levels[i];

    if (level->waiting_since_us != 0)
      level->waiting_since_us = balancer->now_us;
  }
}

/* The places of an evacuated upstream take no other request when they become free. */
void
burdock_balancer_count_outstanding (BurdockBalancer *balancer)
{
  for (Pool *pool = balancer->pools; pool != NULL; pool = pool->next) {
    pool->own_outstanding = pool->outstanding = 0;
    pool->usable_slots = 0;
  }
  for (uint32_t i = 0; i < balancer->node_count; i++) {
    const Node *node = balancer->nodes[i];

    if (node->evacuated)
      continue;
    node->pool->own_outstanding += node->own_outstanding;
    node->pool->outstanding += outstanding (node);
    node->pool->usable_slots += burdock_balancer_usable_slots (balancer, node);
  }
}

static void
update_turnover (BurdockBalancer *balancer, uint64_t elapsed_us)
{
  for (Pool *pool = balancer->pools; pool != NULL; pool = pool->next)
    pool->running_us += (double)pool->own_outstanding * (double)elapsed_us;
}

static void
share_room (const BurdockBalancer *balancer, Pool *pool, uint64_t elapsed_us)
{
  BurdockPoolRoom room = { .now_us = balancer->now_us,
                           .elapsed_us = elapsed_us,
                           .slots = pool->usable_slots,
                           .in_use = pool->outstanding,
                           .gateways = apr_hash_count (balancer->peers) + 1,
                           .update_us = burdock_balancer_report_interval_us (balancer) };

  burdock_priority_share_advance (&pool->priorities, &room);
}

void
burdock_balancer_start_sharing (BurdockBalancer *balancer)
{
  burdock_balancer_count_outstanding (balancer);
  for (Pool *pool = balancer->pools; pool != NULL; pool = pool->next)
    if (!pool->priorities.started)
      share_room (balancer, pool, TICK_US);
}

static void
end_rate_interval (BurdockBalancer *balancer)
{
  balancer->demand_per_s +=
      (balancer->submitted * 1e6 / RATE_INTERVAL_US - balancer->demand_per_s) *
      DEMAND_GAIN;
  balancer->submitted = 0;
  for (Pool *pool = balancer->pools; pool != NULL; pool = pool->next) {
    pool->running_us *= TURNOVER_KEPT;
    pool->ended *= TURNOVER_KEPT;
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

static void
refill_credit (const BurdockBalancer *balancer, uint64_t elapsed_us)
{
  double gateways = apr_hash_count (balancer->peers) + 1;
  uint64_t interval_us = burdock_balancer_report_interval_us (balancer);

  for (apr_hash_index_t *at = apr_hash_first (NULL, balancer->groups); at != NULL;
       at = apr_hash_next (at)) {
    Group *group = apr_hash_this_val (at);
    double free_slots =
        group->slots * group->utilization_limit - (double)group->outstanding;
    double part = free_slots > 0 ? free_slots / gateways : 0;

    group->credit += part * (double)elapsed_us / (double)interval_us;
    if (group->credit > part + CREDIT_SPARE)
      group->credit = part + CREDIT_SPARE;
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
                                  burdock_balancer_report_interval_us (balancer),
                                  elapsed_us,
                                  burdock_balancer_random (balancer) /
                                      BURDOCK_BALANCER_RANDOM_RANGE);
  }
}

void
burdock_balancer_tick_queue (BurdockBalancer *balancer)
{
  burdock_balancer_count_outstanding (balancer);
  burdock_balancer_tick_cold (balancer);
  if (balancer->last_tick_us != 0) {
    uint64_t elapsed_us = balancer->now_us - balancer->last_tick_us;

    update_turnover (balancer, elapsed_us);
    for (Pool *pool = balancer->pools; pool != NULL; pool = pool->next)
      share_room (balancer, pool, elapsed_us);
    refill_credit (balancer, elapsed_us);
    refill_rate_credit (balancer, elapsed_us);
  }
  refill_retry_budget (balancer);
  for (Pool *pool = balancer->pools; pool != NULL; pool = pool->next) {
    note_closed (balancer, pool);
    review_queue (balancer, pool);
  }
  burdock_balancer_dispatch (balancer);
  if (balancer->now_us >= balancer->next_rate_us) {
    balancer->next_rate_us = balancer->now_us + RATE_INTERVAL_US;
    end_rate_interval (balancer);
  }
}
