#include "queue-policy.h"

#define US_PER_S 1e6

/* Time after which a caller may come back if no upstream is known: a new one is listed
 * within about a second of its start. */
#define NO_UPSTREAM_US UINT64_C (1000000)

/* One of two reports of another gateway may be lost. */
#define UPDATES_BRIDGED 2

static uint64_t
time_before (uint64_t time_us, uint64_t needed_us)
{
  return time_us > needed_us ? time_us - needed_us : 0;
}

static uint64_t
earlier (uint64_t a_us, uint64_t b_us)
{
  return a_us < b_us ? a_us : b_us;
}

static uint64_t
later (uint64_t a_us, uint64_t b_us)
{
  return a_us > b_us ? a_us : b_us;
}

/* Latest start with which the caller still waits for the answer. */
static uint64_t
latest_useful_start_us (const BurdockRequestTimes *times, bool is_mixed)
{
  bool is_own = is_mixed && times->own_work_us > 0;
  uint64_t work_us = is_own ? times->own_work_us : times->work_us;

  return earlier (time_before (times->deadline_us, work_us),
                  time_before (times->first_part_deadline_us, times->first_part_us));
}

uint64_t
burdock_queue_latest_start_us (const BurdockRequestTimes *times, bool is_mixed)
{
  uint64_t latest_us = latest_useful_start_us (times, is_mixed);

  if (!is_mixed || times->objective_us == 0)
    return latest_us;
  return earlier (latest_us, time_before (times->objective_us, times->first_part_us));
}

/* In an open pool, a request that would begin after its objective delays all that come
 * after it. A pool that was closed has delayed all alike, and a late answer is worth more
 * to a caller than none. */
static uint64_t
wait_until_us (const BurdockRequestTimes *times, const BurdockQueueView *view)
{
  if (view->was_closed || view->opens_us > view->now_us)
    return latest_useful_start_us (times, view->is_mixed);
  return burdock_queue_latest_start_us (times, view->is_mixed);
}

/* Time until @count waiting requests have started. */
static uint64_t
start_time_us (const BurdockQueueView *view, double count)
{
  if (count <= 0)
    return 0;
  return view->starts_per_s > 0 ? (uint64_t)(count / view->starts_per_s * US_PER_S) : 0;
}

static uint64_t
expected_start_us (const BurdockQueueView *view)
{
  if (view->opens_us == UINT64_MAX)
    return UINT64_MAX;
  return later (view->now_us, view->opens_us) +
         start_time_us (view, view->ahead + 1 - view->credit);
}

static bool
is_overloaded (const BurdockQueueView *view)
{
  return view->waiting_since_us != 0 && view->turnover_us != 0 &&
         view->now_us > view->waiting_since_us + view->turnover_us;
}

/* Whether the queue holds the requests that start before the gateway hears of other free
 * places. */
static bool
refills_all_places (const BurdockQueueView *view)
{
  double starts =
      view->starts_per_s * (double)(view->update_us * UPDATES_BRIDGED) / US_PER_S;

  return view->waiting >= 1 && view->waiting >= starts;
}

/* The caller has to come back while it can still be served, even if that is sooner than
 * expected. */
uint64_t
burdock_queue_retry_after_us (const BurdockRequestTimes *times,
                              const BurdockQueueView *view)
{
  uint64_t latest_us = time_before (times->deadline_us, times->work_us);
  uint64_t delay_us = view->opens_us == UINT64_MAX
                          ? NO_UPSTREAM_US
                          : expected_start_us (view) - view->now_us;

  delay_us = later (delay_us, view->update_us);
  if (latest_us > view->now_us)
    delay_us = earlier (delay_us, latest_us - view->now_us);
  return delay_us;
}

static BurdockQueueDecision
refuse (const BurdockRequestTimes *times, const BurdockQueueView *view)
{
  BurdockQueueDecision decision = { .action = BURDOCK_QUEUE_REFUSE,
                                    .retry_after_us =
                                        burdock_queue_retry_after_us (times, view),
                                    .reason = BURDOCK_REASON_OVERLOAD };

  if (view->opens_us > view->now_us)
    decision.reason = BURDOCK_REASON_NO_UPSTREAM;
  else if (times->deadline_us <= view->now_us)
    decision.reason = BURDOCK_REASON_DEADLINE;
  else if (view->gives_way)
    decision.reason = BURDOCK_REASON_PRIORITY;
  return decision;
}

/* A request for which there is room is sent even if it is likely to take longer than its
 * caller waits: it may be a short one, and nobody else needs the place. */
BurdockQueueDecision
burdock_queue_decide (const BurdockRequestTimes *times, const BurdockQueueView *view)
{
  uint64_t latest_us = wait_until_us (times, view);

  if (times->deadline_us <= view->now_us)
    return refuse (times, view);
  if (view->has_room && view->ahead == 0)
    return (BurdockQueueDecision){ .action = BURDOCK_QUEUE_SEND };
  if (latest_us <= view->now_us || expected_start_us (view) > latest_us)
    return refuse (times, view);
  if (!view->is_admitted && is_overloaded (view) && refills_all_places (view))
    return refuse (times, view);
  return (BurdockQueueDecision){ .action = BURDOCK_QUEUE_WAIT, .until_us = latest_us };
}
