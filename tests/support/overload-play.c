#include "overload-play.h"

#include "balancer.h"
#include "random.h"

#include <apr_general.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#define US_PER_MS UINT64_C (1000)
#define US_PER_S (1000 * US_PER_MS)
#define STEP_US US_PER_MS
#define TICK_US (50 * US_PER_MS)

/* As gateway/peers.c: with many gateways each receives 160 heartbeats in a second. */
#define HEARTBEAT_MIN_US (100 * US_PER_MS)
#define HEARTBEATS_PER_S 160
#define REPORT_US US_PER_S

/* Callers are counted who come in this time. The first ones find all upstreams idle, and
 * the last ones are played until they have left. */
#define COUNT_FROM_US (6 * US_PER_S)
#define COUNT_UNTIL_US (36 * US_PER_S)
#define LENGTH_US (46 * US_PER_S)

#define GATEWAYS_MAX 330
#define UPSTREAMS_MAX 192
#define REQUESTS_MAX 16384
/* The work of a request is drawn from 0.5 to 1.5 times the mean. */
#define LARGE_RATIO 1.4

#define AT_ONCE_US (200 * US_PER_MS)

typedef enum {
  REQUEST_NONE,
  REQUEST_WAITING,   /* at its gateway */
  REQUEST_QUEUED,    /* at its upstream, which runs others */
  REQUEST_RUNNING,   /* at its upstream */
  REQUEST_RETURNING, /* refused; its caller comes back */
} RequestPhase;

typedef struct {
  RequestPhase phase;
  uint32_t kind;
  uint32_t gateway;
  uint32_t upstream;
  uint32_t returns;
  bool counted;         /* came after the warm-up */
  uint64_t end_us;      /* end of the time that the caller has */
  uint64_t received_us; /* by the gateway that has it */
  uint64_t return_us;
  uint64_t placed_us;
  uint64_t started_us;
  uint64_t work_us;
  uint64_t stated_work_us; /* 0 if it is not stated */
} Request;

typedef struct Play Play;

typedef struct {
  Play *play;
  uint32_t number;
  BurdockBalancer *balancer;
} Gateway;

struct Play {
  const OverloadLoad *load;
  uint64_t now_us;
  uint64_t random;
  Gateway gateways[GATEWAYS_MAX];
  uint32_t running[UPSTREAMS_MAX];
  Request requests[REQUESTS_MAX];
  uint32_t used; /* requests from there on are free */
  uint64_t heartbeat_us;
  bool open;
  uint64_t epoch;
  uint64_t useful_us;
  uint64_t wasted_us;
  uint32_t counted;
  uint32_t kind_callers[OVERLOAD_KINDS_MAX];
  uint32_t kind_answered[OVERLOAD_KINDS_MAX];
  uint32_t kind_at_once[OVERLOAD_KINDS_MAX];
  uint64_t kind_first_us[OVERLOAD_KINDS_MAX];
  uint32_t kind_in_time[OVERLOAD_KINDS_MAX];
  uint32_t kind_large[OVERLOAD_KINDS_MAX];
  uint32_t kind_large_answered[OVERLOAD_KINDS_MAX];
  uint32_t kind_refused[OVERLOAD_KINDS_MAX];
  uint32_t kind_returned[OVERLOAD_KINDS_MAX];
  uint32_t kind_refused_again[OVERLOAD_KINDS_MAX];
};

static BurdockUpstream
upstream_info (const OverloadLoad *load, uint32_t number)
{
  BurdockUpstream item = { .key = number + 1,
                           .slots = load->slots,
                           .address = { number + 1, 80 } };

  snprintf (item.id, sizeof item.id, "u%u", number);
  snprintf (item.pool, sizeof item.pool, "pool");
  snprintf (item.failure_domain, sizeof item.failure_domain, "a");
  return item;
}

/* Time at which a caller leaves that has got no part of its answer. */
static uint64_t
leaves_us (const Play *play, const Request *request)
{
  uint32_t patience_ms = play->load->kinds[request->kind].patience_ms;

  return patience_ms > 0 ? request->received_us + patience_ms * US_PER_MS
                         : request->end_us;
}

/* What a gateway knows of a request when it receives it. */
static BurdockPlacement
placement (const Play *play, const Request *request, uint64_t handle)
{
  const OverloadLoad *load = play->load;
  BurdockRequestTimes times = {
    .deadline_us = request->end_us,
    .first_part_deadline_us = request->end_us,
    .first_part_us = (load->streams ? load->first_ms : load->work_ms) * US_PER_MS,
    .work_us = load->work_ms * US_PER_MS,
    .own_work_us = request->stated_work_us,
  };

  if (leaves_us (play, request) < times.deadline_us)
    times.first_part_deadline_us = leaves_us (play, request);
  if (load->kinds[request->kind].objective_ms > 0)
    times.objective_us =
        request->received_us + load->kinds[request->kind].objective_ms * US_PER_MS;
  return (BurdockPlacement){ .handle = handle,
                             .pool = "pool",
                             .priority =
                                 load->in_order ? 0 : load->kinds[request->kind].priority,
                             .times = times };
}

static void
free_place (Play *play, Request *request, BurdockUpstreamOutcome outcome)
{
  RequestPhase phase = request->phase;

  request->phase = REQUEST_NONE;
  if (phase == REQUEST_RUNNING)
    play->running[request->upstream]--;
  if (phase == REQUEST_RUNNING || phase == REQUEST_QUEUED)
    burdock_balancer_finish (play->gateways[request->gateway].balancer,
                             request->upstream + 1, outcome, play->now_us);
}

static void
place_request (void *ctx, uint64_t handle, const BurdockUpstream *upstream)
{
  Play *play = ((Gateway *)ctx)->play;
  Request *request = &play->requests[handle - 1];

  request->phase = REQUEST_QUEUED;
  request->placed_us = play->now_us;
  request->upstream = (uint32_t)upstream->key - 1;
}

/* Callers wait as told, but at most a third of the time that they have left. */
static void
refuse_request (void *ctx, uint64_t handle, BurdockReason reason, uint32_t retry_after_ms)
{
  Play *play = ((Gateway *)ctx)->play;
  Request *request = &play->requests[handle - 1];
  uint64_t left_us = request->end_us - play->now_us;
  uint64_t delay_us = retry_after_ms * US_PER_MS;

  request->phase = REQUEST_NONE;
  if (request->counted && request->returns > 0)
    play->kind_refused_again[request->kind]++;
  if (request->returns < play->load->returns) {
    if (request->counted && request->returns == 0)
      play->kind_returned[request->kind]++;
    request->returns++;
    request->phase = REQUEST_RETURNING;
    request->return_us = play->now_us + (delay_us < left_us / 3 ? delay_us : left_us / 3);
    return;
  }
  if (request->counted)
    play->kind_refused[request->kind]++;
  if (request->counted && play->now_us <= request->received_us + AT_ONCE_US)
    play->kind_at_once[request->kind]++;
}

static void
submit (Play *play, Request *request)
{
  uint64_t handle = (uint64_t)(request - play->requests) + 1;
  BurdockPlacement item;

  request->gateway = (uint32_t)(random_unit (&play->random) * play->load->gateways);
  request->received_us = play->now_us;
  request->phase = REQUEST_WAITING;
  item = placement (play, request, handle);
  burdock_balancer_submit (play->gateways[request->gateway].balancer, &item,
                           play->now_us);
}

static bool
is_burst (const Play *play)
{
  return play->now_us >= play->load->burst_from_ms * US_PER_MS &&
         play->now_us < play->load->burst_until_ms * US_PER_MS;
}

/* Requests of a kind now, as part of those of all kinds outside of a burst. */
static double
weight (const Play *play, uint32_t kind)
{
  const OverloadCallers *callers = &play->load->kinds[kind];

  return is_burst (play) && callers->burst_factor > 0
             ? callers->share * callers->burst_factor
             : callers->share;
}

static double
total_weight (const Play *play)
{
  double sum = 0;

  if (!is_burst (play))
    return 1;
  for (uint32_t k = 0; k < play->load->kind_count; k++)
    sum += weight (play, k);
  return sum;
}

static uint32_t
draw_kind (Play *play)
{
  double at = random_unit (&play->random) * total_weight (play);
  uint32_t kind = 0;

  while (kind + 1 < play->load->kind_count && at >= weight (play, kind))
    at -= weight (play, kind++);
  return kind;
}

static bool
is_counted (const Play *play)
{
  if (play->load->burst_until_ms > 0)
    return is_burst (play);
  return play->now_us >= COUNT_FROM_US && play->now_us < COUNT_UNTIL_US;
}

/* Whether a request is one of the tenth with the most work. */
static bool
is_large (const Play *play, const Request *request)
{
  return (double)request->work_us >=
         LARGE_RATIO * (double)(play->load->work_ms * US_PER_MS);
}

static void
receive (Play *play)
{
  const OverloadLoad *load = play->load;
  Request *request = play->requests;

  while (request->phase != REQUEST_NONE)
    request++;
  if (request == &play->requests[play->used])
    play->used++;
  *request = (Request){ .kind = draw_kind (play), .counted = is_counted (play) };
  request->end_us = play->now_us + load->kinds[request->kind].left_ms * US_PER_MS;
  request->work_us = (uint64_t)((0.5 + random_unit (&play->random)) *
                                (double)(load->work_ms * US_PER_MS));
  if (load->work_is_stated)
    request->stated_work_us = (uint64_t)((double)request->work_us *
                                         pow (2, 2 * random_unit (&play->random) - 1));
  if (request->counted) {
    play->counted++;
    play->kind_callers[request->kind]++;
    play->kind_large[request->kind] += is_large (play, request);
  }
  submit (play, request);
}

static uint64_t
first_event_us (const Play *play, const Request *request)
{
  return request->started_us +
         (play->load->streams ? play->load->first_ms * US_PER_MS : request->work_us);
}

static void
end_request (Play *play, Request *request)
{
  if (request->counted) {
    uint64_t objective_us = play->load->kinds[request->kind].objective_ms * US_PER_MS;

    play->kind_in_time[request->kind] +=
        first_event_us (play, request) <= request->received_us + objective_us;
    play->useful_us += request->work_us;
    play->kind_answered[request->kind]++;
    play->kind_large_answered[request->kind] += is_large (play, request);
    play->kind_first_us[request->kind] +=
        first_event_us (play, request) - request->received_us;
  }
  free_place (play, request, BURDOCK_UPSTREAM_OK);
}

/* The gateway takes back what its caller no longer waits for. */
static void
leave (Play *play, Request *request)
{
  uint64_t handle = (uint64_t)(request - play->requests) + 1;

  if (request->phase == REQUEST_RUNNING && request->counted)
    play->wasted_us += play->now_us - request->started_us;
  if (request->phase == REQUEST_WAITING)
    burdock_balancer_withdraw (play->gateways[request->gateway].balancer, handle);
  free_place (play, request, BURDOCK_UPSTREAM_ABANDONED);
}

static bool
has_left (const Play *play, const Request *request)
{
  if (play->now_us >= request->end_us)
    return true;
  if (request->phase == REQUEST_RETURNING || play->now_us < leaves_us (play, request))
    return false;
  return request->phase != REQUEST_RUNNING ||
         first_event_us (play, request) > leaves_us (play, request);
}

static void
advance_request (Play *play, Request *request)
{
  if (request->phase == REQUEST_QUEUED && play->open &&
      play->running[request->upstream] < play->load->slots) {
    request->phase = REQUEST_RUNNING;
    request->started_us = play->now_us;
    play->running[request->upstream]++;
  }
  if (request->phase == REQUEST_RUNNING &&
      play->now_us >= request->started_us + request->work_us)
    end_request (play, request);
  else if (has_left (play, request))
    leave (play, request);
  else if (request->phase == REQUEST_RETURNING && play->now_us >= request->return_us)
    submit (play, request);
}

/* Gateways send their heartbeats at different times. */
static bool
is_heartbeat_due (const Play *play, uint32_t gateway)
{
  uint64_t phase_us = play->heartbeat_us * gateway / play->load->gateways;

  return (play->now_us + phase_us - phase_us % STEP_US) % play->heartbeat_us == 0;
}

static void
send_heartbeat (Play *play, uint32_t from)
{
  BurdockLoadItem items[UPSTREAMS_MAX];
  uint32_t count =
      burdock_balancer_own_load (play->gateways[from].balancer, items, UPSTREAMS_MAX);

  for (uint32_t to = 0; to < play->load->gateways; to++) {
    if (to != from)
      burdock_balancer_set_peer_load (play->gateways[to].balancer, from + 1,
                                      play->heartbeat_us, items, count, play->now_us);
  }
}

static void
report_group (Play *play)
{
  for (uint32_t i = 0; i < play->load->gateways; i++) {
    for (uint32_t rank = 0; rank < play->load->upstreams; rank++) {
      BurdockRankStateMessage state = { .upstream = { rank + 1, 80 },
                                        .group = "g",
                                        .epoch = play->epoch,
                                        .rank = rank,
                                        .size = play->load->upstreams,
                                        .open = play->open,
                                        .step = play->now_us / (20 * US_PER_MS) };

      burdock_balancer_set_rank_state (play->gateways[i].balancer, &state, play->now_us);
    }
  }
}

/* Requests at the ranks of a group that breaks are lost. */
static void
open_or_close_group (Play *play)
{
  const OverloadLoad *load = play->load;
  bool open = load->period_ms == 0 ||
              play->now_us / US_PER_MS % load->period_ms >= load->closed_ms;

  if (open == play->open)
    return;
  play->open = open;
  if (open) {
    play->epoch++;
  } else {
    for (uint32_t i = 0; i < play->used; i++) {
      if (play->requests[i].phase == REQUEST_RUNNING ||
          play->requests[i].phase == REQUEST_QUEUED)
        leave (play, &play->requests[i]);
    }
  }
  report_group (play);
}

static void
advance (Play *play)
{
  play->now_us += STEP_US;
  if (play->load->streams) {
    open_or_close_group (play);
    if (play->now_us % REPORT_US == 0)
      report_group (play);
  }
  for (uint32_t i = 0; i < play->used; i++) {
    if (play->requests[i].phase != REQUEST_NONE)
      advance_request (play, &play->requests[i]);
  }
  for (uint32_t i = 0; i < play->load->gateways; i++) {
    if (is_heartbeat_due (play, i))
      send_heartbeat (play, i);
  }
  for (uint32_t i = 0; play->now_us % TICK_US == 0 && i < play->load->gateways; i++)
    burdock_balancer_tick (play->gateways[i].balancer, play->now_us);
}

static void
set_up (Play *play)
{
  const OverloadLoad *load = play->load;
  BurdockUpstream upstreams[UPSTREAMS_MAX];

  for (uint32_t i = 0; i < load->upstreams; i++)
    upstreams[i] = upstream_info (load, i);
  for (uint32_t i = 0; i < load->gateways; i++) {
    Gateway *gateway = &play->gateways[i];
    BurdockBalancerSettings settings = { .seed = play->random + i,
                                         .failure_domain = "a",
                                         .retry_ratio = 0.2,
                                         .retry_allowance = 90,
                                         .priority_rule = load->rule };
    BurdockBalancerHandler handler = { .ctx = gateway,
                                       .place = place_request,
                                       .refuse = refuse_request };

    *gateway = (Gateway){ play, i, burdock_balancer_new (&settings, &handler) };
    burdock_balancer_set_upstreams (gateway->balancer, upstreams, load->upstreams,
                                    play->now_us);
  }
  play->heartbeat_us = load->gateways * US_PER_S / HEARTBEATS_PER_S;
  play->heartbeat_us -= play->heartbeat_us % STEP_US;
  if (play->heartbeat_us < HEARTBEAT_MIN_US)
    play->heartbeat_us = HEARTBEAT_MIN_US;
  play->open = true;
  play->epoch = 1;
  if (load->streams)
    report_group (play);
}

static OverloadTotal
total (const Play *play)
{
  const OverloadLoad *load = play->load;
  double counted_us =
      load->burst_until_ms > 0
          ? (double)((load->burst_until_ms - load->burst_from_ms) * US_PER_MS)
          : (double)(COUNT_UNTIL_US - COUNT_FROM_US);
  double asked_per_s = play->counted / (counted_us / (double)US_PER_S);
  double possible =
      load->possible_per_s < asked_per_s ? load->possible_per_s / asked_per_s : 1;
  double all_us = (double)(play->useful_us + play->wasted_us);
  OverloadTotal result = { 0 };
  uint32_t answered = 0;

  for (uint32_t k = 0; k < load->kind_count; k++) {
    OverloadResult *kind = &result.kinds[k];

    answered += play->kind_answered[k];
    kind->callers = play->kind_callers[k];
    if (kind->callers > 0) {
      kind->answered = (double)play->kind_answered[k] / kind->callers;
      kind->refused_at_once = (double)play->kind_at_once[k] / kind->callers;
    }
    if (kind->callers > 0) {
      kind->in_time = (double)play->kind_in_time[k] / kind->callers;
      kind->refused = (double)play->kind_refused[k] / kind->callers;
      kind->returned = (double)play->kind_returned[k] / kind->callers;
    }
    if (play->kind_large[k] > 0)
      kind->large_answered = (double)play->kind_large_answered[k] / play->kind_large[k];
    if (play->kind_returned[k] > 0)
      kind->refused_again = (double)play->kind_refused_again[k] / play->kind_returned[k];
    if (play->kind_answered[k] > 0)
      kind->first_ms =
          (double)play->kind_first_us[k] / play->kind_answered[k] / US_PER_MS;
  }
  if (load->possible_per_s > 0)
    result.ended_ratio = answered / (play->counted * possible);
  result.wasted_ratio = all_us > 0 ? (double)play->wasted_us / all_us : 0;
  return result;
}

OverloadTotal
overload_play (const OverloadLoad *load, uint64_t seed)
{
  Play *play = calloc (1, sizeof *play);
  double next_arrival_us = 0;
  OverloadTotal result;

  if (play == NULL)
    abort ();
  play->load = load;
  play->random = random_seed (seed);
  play->now_us = US_PER_S;
  set_up (play);
  next_arrival_us = (double)play->now_us;
  while (play->now_us < LENGTH_US) {
    advance (play);
    while (next_arrival_us <= (double)play->now_us) {
      receive (play);
      next_arrival_us += random_exponential (&play->random) * US_PER_S /
                         (load->per_s * total_weight (play));
    }
  }
  result = total (play);
  for (uint32_t i = 0; i < load->gateways; i++)
    burdock_balancer_free (play->gateways[i].balancer);
  free (play);
  return result;
}
