/**
 * DOC: queue-policy.h - whether a request is sent, waits or is refused
 *
 * A pure function of what the caller has and needs, and of what the upstreams of its pool
 * can take. A request waits if it is expected to start early enough for its caller to get
 * the answer; otherwise it is refused at once, as another gateway or a later time may
 * serve its caller.
 *
 * A burst is worth waiting for, a lasting overload is not: a queue then only delays
 * everyone, as each place that becomes free is taken either way. So once requests have
 * waited without a break for as long as a running one keeps its place, the queue is kept
 * just long enough to refill the places. Whether a request finds it full does not depend
 * on the time that its caller has.
 *
 * If requests of several priorities use the pool, one waits no longer than its latency
 * objective allows: if it starts later it is late, and makes those behind it late too.
 */
#ifndef BURDOCK_QUEUE_POLICY_H
#define BURDOCK_QUEUE_POLICY_H

#include "burdock.h"

/**
 * struct BurdockRequestTimes - what a caller has and what its request needs
 * @deadline_us: time by which the whole answer is of use to the caller
 * @first_part_deadline_us: time at which the caller leaves if no part of the answer has
 *   come; @deadline_us if it leaves no earlier
 * @first_part_us: expected time from the start to the first part, 0 if it is not known
 * @work_us: expected time from the start to the end, 0 if it is not known
 * @objective_us: time at which the first part is due by the latency objective, 0 for none
 *   or if it could not be met from the start
 * @own_work_us: as @work_us, but by the tokens of the request; 0 if they are not known.
 *   Used where requests of several priorities use the pool
 */
typedef struct {
  uint64_t deadline_us;
  uint64_t first_part_deadline_us;
  uint64_t first_part_us;
  uint64_t work_us;
  uint64_t objective_us;
  uint64_t own_work_us;
} BurdockRequestTimes;

/**
 * struct BurdockQueueView - state of a pool, as a request meets it
 * @has_room: an upstream can start the request now
 * @is_admitted: the request was sent or queued before, and is not measured against the
 *   length of the queue again
 * @is_mixed: requests of several priorities use the pool
 * @was_closed: no upstream took requests at some time since the request began to wait
 * @gives_way: more urgent requests use the pool, and this one has a share of the rest
 * @opens_us: time at which an upstream is expected to take requests, not after @now_us if
 *   one does; UINT64_MAX if none is known that may
 * @ahead: waiting requests that start before it
 * @credit: requests that may start without waiting for others to end, part of one if it
 *   is less than 1
 * @waiting: waiting requests of the same or a more urgent priority, without it
 * @starts_per_s: waiting requests that start per second, 0 if it is not known
 * @waiting_since_us: time since which requests have to wait, 0 if they do not
 * @turnover_us: time for which a running request keeps its place, 0 if it is not known
 * @update_us: time between the reports that show which places others have freed
 */
typedef struct {
  uint64_t now_us;
  bool has_room;
  bool is_admitted;
  bool is_mixed;
  bool was_closed;
  bool gives_way;
  uint64_t opens_us;
  uint32_t ahead;
  double credit;
  uint32_t waiting;
  double starts_per_s;
  uint64_t waiting_since_us;
  uint64_t turnover_us;
  uint64_t update_us;
} BurdockQueueView;

/** enum BurdockQueueAction - what to do with a request now */
typedef enum {
  BURDOCK_QUEUE_SEND = 1,
  BURDOCK_QUEUE_WAIT,
  BURDOCK_QUEUE_REFUSE,
} BurdockQueueAction;

/**
 * struct BurdockQueueDecision - what to do with a request now
 * @until_us: for BURDOCK_QUEUE_WAIT, the latest time at which a start is of use
 * @retry_after_us: for BURDOCK_QUEUE_REFUSE, time after which the caller may be served
 * @reason: for BURDOCK_QUEUE_REFUSE
 */
typedef struct {
  BurdockQueueAction action;
  uint64_t until_us;
  uint64_t retry_after_us;
  BurdockReason reason;
} BurdockQueueDecision;

/**
 * burdock_queue_latest_start_us() - latest start with which the caller is expected to get
 * its answer; requests of the same priority start in this order
 * @is_mixed: see &struct BurdockQueueView
 */
uint64_t burdock_queue_latest_start_us (const BurdockRequestTimes *times, bool is_mixed);

/** burdock_queue_retry_after_us() - time after which the caller of a request that is not
 * served now may be served */
uint64_t burdock_queue_retry_after_us (const BurdockRequestTimes *times,
                                       const BurdockQueueView *view);

/** burdock_queue_decide() - what to do with a request that arrives, or that waits */
BurdockQueueDecision burdock_queue_decide (const BurdockRequestTimes *times,
                                           const BurdockQueueView *view);

#endif
