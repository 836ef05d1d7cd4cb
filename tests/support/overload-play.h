/**
 * DOC: overload-play.h - plays callers, gateways and upstreams in simulated time
 *
 * Several balancers share the upstreams of one pool and hear of each other's load with
 * each heartbeat. Counted is what callers get: answers within the time that each of them
 * has, and refusals.
 */
#ifndef OVERLOAD_PLAY_H
#define OVERLOAD_PLAY_H

#include "priority-share.h"

#include <stdbool.h>
#include <stdint.h>

#define OVERLOAD_KINDS_MAX 4

/**
 * struct OverloadCallers - callers that are alike
 * @share: part of all requests
 * @left_ms: time that the caller waits for the whole answer
 * @patience_ms: a caller of a stream leaves if the first event takes longer; 0 if it
 *   stays until the end of its time
 * @priority: of the route, 0 is the most urgent
 * @objective_ms: latency objective for the first event, 0 for none
 * @burst_factor: multiplies their requests during the burst of the load, 0 for 1
 */
typedef struct {
  double share;
  uint32_t left_ms;
  uint32_t patience_ms;
  uint32_t priority;
  uint32_t objective_ms;
  double burst_factor;
} OverloadCallers;

/**
 * struct OverloadLoad - requests, and the upstreams that serve them
 * @streams: answers are streams; otherwise their first part is the whole
 * @gateways: number of gateways, each of which gets the same share of the requests
 * @per_s: requests per second of all callers
 * @upstreams, @slots: upstreams, and requests that each of them runs at once
 * @first_ms: time from the start of a request at its upstream to the first event
 * @work_ms: mean time from the start to the end; drawn between half of it and 1.5 times
 * @closed_ms, @period_ms: the group is closed for @closed_ms of each period
 * @returns: how often a refused caller comes back, after the delay that it was told
 * @possible_per_s: requests that the upstreams can end in a second, 0 if it is not known
 * @burst_from_ms, @burst_until_ms: time of the burst; only callers who come in it are
 *   counted if there is one
 * @rule: what priorities decide
 * @in_order: gateways do not know the priorities
 * @work_is_stated: gateways know the work of each request; callers state it right in the
 *   median, between half of it and twice as much
 */
typedef struct {
  const char *name;
  double per_s;
  double possible_per_s;
  uint32_t gateways;
  uint32_t upstreams;
  uint32_t slots;
  uint32_t first_ms;
  uint32_t work_ms;
  uint32_t closed_ms;
  uint32_t period_ms;
  uint32_t returns;
  uint32_t burst_from_ms;
  uint32_t burst_until_ms;
  BurdockPriorityRule rule;
  bool in_order;
  bool work_is_stated;
  bool streams;
  uint32_t kind_count;
  OverloadCallers kinds[OVERLOAD_KINDS_MAX];
} OverloadLoad;

/**
 * struct OverloadResult - what the callers of one kind got; all are parts of @callers
 * @answered: got their whole answer in their time
 * @refused_at_once: refused for good within 0.2 s of their last request
 * @first_ms: mean time from the request that was answered to its first event
 * @in_time: got the first event within their objective, counted from the request that
 *   was answered
 * @large_answered: got their whole answer, as part of the tenth with the most work
 * @refused: refused for good
 * @returned: came back after a refusal
 * @refused_again: as part of @returned, were refused when they came back
 */
typedef struct {
  uint32_t callers;
  double answered;
  double refused_at_once;
  double first_ms;
  double in_time;
  double large_answered;
  double refused;
  double returned;
  double refused_again;
} OverloadResult;

/**
 * struct OverloadTotal - what all callers got
 * @ended_ratio: answers in time, as part of what the upstreams can end or of what was
 *   asked for, whichever is less; 0 if it is not known
 * @wasted_ratio: time of the upstreams for requests whose callers got no answer, as part
 *   of all of it
 */
typedef struct {
  OverloadResult kinds[OVERLOAD_KINDS_MAX];
  double ended_ratio;
  double wasted_ratio;
} OverloadTotal;

/** overload_play() - plays @load for 46 s of simulated time */
OverloadTotal overload_play (const OverloadLoad *load, uint64_t seed);

#endif
