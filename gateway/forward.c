#include "forward.h"

#include "log.h"

#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* Limit of a request whose caller and route set none. */
#define TIME_DEFAULT_MS 30000

/* Longest wait for a place: a caller of a stream leaves about two seconds after it sent,
 * and its first event takes up to half a second after a place was found. */
#define WAIT_MAX_MS 1000

/* Part of the time that is left which a request may wait; the rest is for running. */
#define WAIT_PART 3

/* First event of a stream after its start, until it has been measured. */
#define FIRST_EVENT_START_MS 200

/* Most first events come within this multiple of the mean. */
#define FIRST_EVENT_SPREAD 1.3

/* A caller that comes back after a refusal has less time than its route gives; what it
 * gets is late, as its objective counts from its first attempt. */
#define FIRST_ATTEMPT_PART 0.97

/* Time that another attempt gets to find a place. */
#define REPEAT_WAIT_MS 300

/* Below this another attempt cannot end in time. */
#define REPEAT_LEFT_MIN_MS 150

/* A process without a configuration has one within about this time. */
#define RETRY_AFTER_START_MS 1000

#define TICK_US UINT64_C (20000)

static void
add_forward (BurdockGatewayTraffic *traffic, BurdockForward *forward)
{
  forward->next = traffic->forwards;
  if (traffic->forwards != NULL)
    traffic->forwards->previous = forward;
  traffic->forwards = forward;
  traffic->forward_count++;
}

static void
free_forward (BurdockForward *forward)
{
  BurdockGatewayTraffic *traffic = &forward->gateway->traffic;

  if (forward->previous != NULL)
    forward->previous->next = forward->next;
  else
    traffic->forwards = forward->next;
  if (forward->next != NULL)
    forward->next->previous = forward->previous;
  traffic->forward_count--;
  burdock_event_stream_clear (&forward->events);
  burdock_route_table_unref (forward->table);
  free (forward->body);
  free (forward);
}

static void
answer_error (BurdockHttpRequest *request, uint32_t status, const char *text,
              uint32_t retry_after_ms)
{
  BurdockBytes body = { (const uint8_t *)text, (uint32_t)strlen (text) };

  if (retry_after_ms > 0)
    burdock_exchange_set_retry_after (request, retry_after_ms);
  burdock_http_set_header (request, "Content-Type", "application/json");
  burdock_http_answer_bytes (request, status, body);
}

/* Refuses a request that no forward was made for. */
static void
reject (BurdockGateway *gateway, BurdockHttpRequest *request,
        const BurdockCallerRequest *call, uint32_t status, const char *reason)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;

  traffic->counters.rejected++;
  burdock_log_about (BURDOCK_LOG_INFO, "request rejected", call->request_id, "-",
                     "status %u reason %s generation %u host %s path %s", status, reason,
                     traffic->table != NULL ? (uint32_t)traffic->table->version : 0,
                     call->host, burdock_http_path (request));
  answer_error (request, status, "{\"error\":\"rejected\"}\n",
                status == 503 ? RETRY_AFTER_START_MS : 0);
}

static void
finish (BurdockForward *forward, const char *outcome, uint32_t status)
{
  forward->phase = BURDOCK_FORWARD_DONE;
  forward->outcome = outcome;
  if (status != 0)
    forward->answered_status = status;
}

static void
refuse_forward (BurdockForward *forward, uint32_t retry_after_ms)
{
  forward->gateway->traffic.counters.refused++;
  finish (forward, "refused", 503);
  answer_error (forward->http, 503, "{\"error\":\"not run\"}\n", retry_after_ms);
}

static void
fail_forward (BurdockForward *forward, uint32_t status)
{
  forward->gateway->traffic.counters.failed++;
  finish (forward, "failed", status);
  answer_error (forward->http, status, "{\"error\":\"outcome unknown\"}\n", 0);
}

static void
break_forward (BurdockForward *forward)
{
  forward->gateway->traffic.counters.broken++;
  finish (forward, "broken", 0);
  burdock_http_abort (forward->http);
}

static void
pass_answer (BurdockForward *forward)
{
  BurdockBytes body = { (const uint8_t *)forward->body, forward->body_bytes };

  forward->gateway->traffic.counters.whole++;
  if (forward->form == BURDOCK_ANSWER_STREAM) {
    if (!forward->answer_started) {
      burdock_exchange_copy_headers (forward->transfer, forward->http);
      burdock_http_stream_start (forward->http, (uint32_t)forward->http_status);
    }
    finish (forward, "passed", (uint32_t)forward->http_status);
    burdock_http_stream_end (forward->http);
    return;
  }
  burdock_exchange_copy_headers (forward->transfer, forward->http);
  finish (forward, "passed", (uint32_t)forward->http_status);
  burdock_http_answer_bytes (forward->http, (uint32_t)forward->http_status, body);
}

static void
submit_again (BurdockForward *forward)
{
  BurdockGatewayTraffic *traffic = &forward->gateway->traffic;
  BurdockPlacement *placement = &forward->placement;
  uint64_t now_us = burdock_loop_now_us ();

  if (placement->excluded_count < BURDOCK_EXCLUDED_MAX)
    placement->excluded[placement->excluded_count++] = forward->upstream.key;
  if (placement->queue_deadline_us < now_us + REPEAT_WAIT_MS * US_PER_MS)
    placement->queue_deadline_us = now_us + REPEAT_WAIT_MS * US_PER_MS;
  forward->phase = BURDOCK_FORWARD_WAITING;
  burdock_balancer_submit (traffic->balancer, placement, now_us);
}

static void
take_step (BurdockForward *forward, BurdockAttemptAction step)
{
  switch (step) {
  case BURDOCK_ACTION_FORWARD:
    break;
  case BURDOCK_ACTION_RESUME:
    forward->gateway->traffic.counters.resumed++;
    submit_again (forward);
    break;
  case BURDOCK_ACTION_RETRY:
    submit_again (forward);
    break;
  case BURDOCK_ACTION_REFUSE:
    refuse_forward (forward, RETRY_AFTER_START_MS);
    break;
  case BURDOCK_ACTION_FAIL:
    fail_forward (forward, 502);
    break;
  case BURDOCK_ACTION_ABORT:
    break_forward (forward);
    break;
  }
}

void
burdock_forward_ended (BurdockForward *forward, BurdockAttemptResult result,
                       BurdockUpstreamOutcome outcome)
{
  BurdockGatewayTraffic *traffic = &forward->gateway->traffic;
  uint64_t now_us = burdock_loop_now_us ();
  BurdockAttemptContext state = {
    .route = forward->route,
    .result = result,
    .send_count = forward->sent,
    .answer_started = forward->answer_started,
    .enough_time = now_us + REPEAT_LEFT_MIN_MS * US_PER_MS < forward->deadline_us,
  };
  BurdockAttemptAction step;

  if (result != BURDOCK_ATTEMPT_NOT_RUN && result != BURDOCK_ATTEMPT_MISDIRECTED)
    forward->ran++;
  state.run_count = forward->ran;
  step = burdock_attempt_next_action (&state);
  /* Only what reaches an upstream counts against the budget. */
  if ((step == BURDOCK_ACTION_RETRY || step == BURDOCK_ACTION_RESUME) &&
      forward->sent_any &&
      !burdock_balancer_take_retry (traffic->balancer, forward->pool->name))
    step = burdock_attempt_final_action (&state);
  /* The headers of the answer are there as long as the transfer. */
  if (step == BURDOCK_ACTION_FORWARD)
    pass_answer (forward);
  forward->transfer = NULL;
  burdock_balancer_finish (traffic->balancer, forward->upstream.key, outcome, now_us);
  take_step (forward, step);
}

static BurdockForward *
find_forward (BurdockGatewayTraffic *traffic, uint64_t handle)
{
  BurdockForward *forward = traffic->forwards;

  while (forward != NULL && forward->placement.handle != handle)
    forward = forward->next;
  return forward;
}

void
burdock_forward_place (void *ctx, uint64_t handle, const BurdockUpstream *upstream)
{
  BurdockGateway *gateway = ctx;
  BurdockForward *forward = find_forward (&gateway->traffic, handle);

  if (forward == NULL || forward->phase != BURDOCK_FORWARD_WAITING) {
    burdock_log (BURDOCK_LOG_ERROR, "place request", upstream->id,
                 "the request is not waiting");
    burdock_balancer_finish (gateway->traffic.balancer, upstream->key,
                             BURDOCK_UPSTREAM_ABANDONED, burdock_loop_now_us ());
    return;
  }
  forward->upstream = *upstream;
  burdock_forward_send (forward);
}

void
burdock_forward_refuse (void *ctx, uint64_t handle, BurdockReason reason,
                        uint32_t retry_after_ms)
{
  BurdockGateway *gateway = ctx;
  BurdockForward *forward = find_forward (&gateway->traffic, handle);

  if (forward == NULL || forward->phase != BURDOCK_FORWARD_WAITING)
    return;
  forward->reason = reason;
  if (forward->answer_started)
    break_forward (forward);
  else if (forward->ran > 0)
    fail_forward (forward, 502);
  else
    refuse_forward (forward, retry_after_ms);
}

static uint64_t
time_limit_ms (const BurdockRoute *route, const BurdockCallerRequest *call)
{
  uint64_t limit_ms = route->timeout_ms > 0 ? route->timeout_ms : TIME_DEFAULT_MS;

  if (call->has_timeout && call->timeout_ms < limit_ms)
    limit_ms = call->timeout_ms;
  return limit_ms;
}

/* How long a request may wait for a place and still meet its objective. */
static uint64_t
punctual_wait_us (const BurdockForward *forward)
{
  const BurdockRoute *route = forward->route;
  uint64_t needed_us = forward->gateway->traffic.first_event_us;
  uint64_t objective_us = route->objective_ms * US_PER_MS;

  if (forward->call.has_timeout &&
      forward->call.timeout_ms < route->timeout_ms * FIRST_ATTEMPT_PART)
    return 0;
  if (route->kind != BURDOCK_ROUTE_STREAM)
    return objective_us / 2;
  if (needed_us == 0)
    needed_us = FIRST_EVENT_START_MS * US_PER_MS;
  needed_us = (uint64_t)((double)needed_us * FIRST_EVENT_SPREAD);
  return objective_us > needed_us ? objective_us - needed_us : 0;
}

static void
set_times (BurdockForward *forward)
{
  const BurdockRoute *route = forward->route;
  uint64_t limit_ms = time_limit_ms (route, &forward->call);
  uint64_t wait_ms =
      limit_ms / WAIT_PART < WAIT_MAX_MS ? limit_ms / WAIT_PART : WAIT_MAX_MS;
  uint64_t now_us = burdock_loop_now_us ();

  forward->arrived_us = now_us;
  forward->deadline_us = now_us + limit_ms * US_PER_MS;
  forward->placement.queue_deadline_us = now_us + wait_ms * US_PER_MS;
  forward->placement.objective_deadline_us = now_us + punctual_wait_us (forward);
}

/* Returns the status to reject the request with, or 0. */
static uint32_t
admit (const BurdockGateway *gateway, BurdockForward *forward, const char *path,
       const char **reason)
{
  const BurdockRouteTable *table = gateway->traffic.table;
  const BurdockWorkspaceEntry *workspace = NULL;

  forward->route = burdock_route_table_find (table, forward->call.host, path);
  if (forward->route == NULL) {
    *reason = "no route";
    return 404;
  }
  forward->placement.priority = forward->route->priority;
  if (table->has_workspaces && forward->call.api_key[0] != '\0')
    workspace = burdock_route_table_find_workspace (table, forward->call.api_key);
  if (workspace == NULL && table->has_workspaces && !forward->route->open_access) {
    *reason = "unknown key";
    return 401;
  }
  if (workspace != NULL) {
    forward->workspace = workspace->name;
    if (workspace->has_priority)
      forward->placement.priority = workspace->priority;
  }
  return 0;
}

static void
start_forward (BurdockForward *forward)
{
  BurdockGateway *gateway = forward->gateway;
  BurdockGatewayTraffic *traffic = &gateway->traffic;

  forward->pool = burdock_route_pick_pool (forward->route,
                                           burdock_runtime_random (&traffic->runtime));
  forward->events.last_id = forward->call.last_event_id;
  forward->placement.handle = ++traffic->next_handle;
  forward->placement.pool = forward->pool->name;
  forward->phase = BURDOCK_FORWARD_WAITING;
  set_times (forward);
  add_forward (traffic, forward);
  burdock_http_set_data (forward->http, forward);
  burdock_balancer_submit (traffic->balancer, &forward->placement, forward->arrived_us);
}

void
burdock_forward_request (void *ctx, BurdockHttpRequest *request)
{
  BurdockGateway *gateway = ctx;
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  BurdockForward *forward;
  BurdockCallerRequest call;
  const char *reason = NULL;
  uint32_t status;

  traffic->counters.requests++;
  burdock_exchange_parse_request (request, &call);
  if (traffic->table == NULL || !traffic->has_upstreams) {
    reject (gateway, request, &call, 503, "no configuration yet");
    return;
  }
  forward = calloc (1, sizeof *forward);
  if (forward == NULL) {
    reject (gateway, request, &call, 503, "out of memory");
    return;
  }
  forward->gateway = gateway;
  forward->http = request;
  forward->call = call;
  forward->table = burdock_route_table_ref (traffic->table);
  status = admit (gateway, forward, burdock_http_target (request), &reason);
  if (status != 0) {
    burdock_route_table_unref (forward->table);
    free (forward);
    reject (gateway, request, &call, status, reason);
    return;
  }
  start_forward (forward);
}

static void
log_end (const BurdockForward *forward, bool whole)
{
  uint64_t now_us = burdock_loop_now_us ();
  uint64_t first_ms = forward->first_event_us > 0
                          ? (forward->first_event_us - forward->arrived_us) / US_PER_MS
                          : 0;

  burdock_log_about (
      BURDOCK_LOG_INFO, "request ended", forward->call.request_id,
      forward->sent > 0 ? forward->upstream.id : "-",
      "outcome %s status %u route %s pool %s generation %u delivered %d sent %u ran %u "
      "reason %s first_ms %u total_ms %u placed_ms %u events %u pause_ms %u",
      forward->outcome != NULL ? forward->outcome : "abandoned", forward->answered_status,
      forward->route->name, forward->pool->name, (uint32_t)forward->table->version, whole,
      forward->sent, forward->ran, burdock_reason_name (forward->reason),
      (uint32_t)first_ms, (uint32_t)((now_us - forward->arrived_us) / US_PER_MS),
      forward->sent > 0 ? (uint32_t)((forward->sent_us - forward->arrived_us) / US_PER_MS)
                        : 0,
      forward->attempt_events, (uint32_t)(forward->longest_pause_us / US_PER_MS));
}

void
burdock_forward_closed (void *ctx, BurdockHttpRequest *request, bool whole)
{
  BurdockGateway *gateway = ctx;
  BurdockForward *forward = burdock_http_data (request);

  if (forward == NULL)
    return;
  if (forward->phase == BURDOCK_FORWARD_WAITING)
    burdock_balancer_withdraw (gateway->traffic.balancer, forward->placement.handle);
  if (forward->phase != BURDOCK_FORWARD_DONE)
    gateway->traffic.counters.abandoned++;
  log_end (forward, whole);
  forward->phase = BURDOCK_FORWARD_DONE;
  burdock_forward_cancel (forward, BURDOCK_UPSTREAM_ABANDONED);
  free_forward (forward);
}

static void
time_out (BurdockForward *forward)
{
  BurdockGatewayTraffic *traffic = &forward->gateway->traffic;

  burdock_log_about (BURDOCK_LOG_INFO, "request timed out", forward->call.request_id,
                     forward->sent > 0 ? forward->upstream.id : "-",
                     "phase %d limit_ms %u", forward->phase,
                     (uint32_t)((forward->deadline_us - forward->arrived_us) /
                                US_PER_MS));
  if (forward->phase == BURDOCK_FORWARD_WAITING) {
    burdock_balancer_withdraw (traffic->balancer, forward->placement.handle);
    burdock_forward_refuse (forward->gateway, forward->placement.handle,
                            BURDOCK_REASON_DEADLINE, RETRY_AFTER_START_MS);
    return;
  }
  if (forward->answer_started)
    break_forward (forward);
  else
    fail_forward (forward, 504);
  burdock_forward_cancel (forward, BURDOCK_UPSTREAM_ABANDONED);
}

static bool
is_stalled (const BurdockForward *forward, uint64_t now_us)
{
  return forward->phase == BURDOCK_FORWARD_SENT &&
         burdock_attempt_is_stalled (forward->route, forward->attempt_events > 0,
                                     now_us - forward->last_sign_us);
}

static void
report_silence (const BurdockForward *forward, uint64_t now_us)
{
  uint64_t silent_us = now_us - forward->last_sign_us;

  if (burdock_balancer_report_silence (forward->gateway->traffic.balancer,
                                       forward->upstream.key, silent_us, now_us))
    burdock_log_about (BURDOCK_LOG_WARNING, "upstream silent", forward->call.request_id,
                       forward->upstream.id, "silent_ms %u",
                       (uint32_t)(silent_us / US_PER_MS));
}

/* Goes on elsewhere where that is allowed, and waits otherwise. */
static void
leave_stalled (BurdockForward *forward, uint64_t now_us)
{
  BurdockGatewayTraffic *traffic = &forward->gateway->traffic;
  BurdockAttemptContext state = {
    .route = forward->route,
    .result = forward->answer_started ? BURDOCK_ATTEMPT_TRUNCATED : BURDOCK_ATTEMPT_LOST,
    .run_count = forward->ran + 1,
    .send_count = forward->sent,
    .answer_started = forward->answer_started,
    .enough_time = now_us + REPEAT_LEFT_MIN_MS * US_PER_MS < forward->deadline_us,
  };
  BurdockAttemptAction step = burdock_attempt_next_action (&state);

  if (step != BURDOCK_ACTION_RETRY && step != BURDOCK_ACTION_RESUME)
    return;
  if (!burdock_balancer_has_capacity (traffic->balancer, &forward->placement,
                                      forward->upstream.key) ||
      !burdock_balancer_take_retry (traffic->balancer, forward->pool->name))
    return;
  burdock_log_about (BURDOCK_LOG_INFO, "attempt stalled", forward->call.request_id,
                     forward->upstream.id, "after_ms %u events %u",
                     (uint32_t)((now_us - forward->sent_us) / US_PER_MS),
                     forward->attempt_events);
  forward->ran++;
  burdock_forward_cancel (forward, BURDOCK_UPSTREAM_STALLED);
  take_step (forward, step);
}

uint64_t
burdock_forward_tick (BurdockGateway *gateway, uint64_t now_us)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  BurdockForward *next;

  for (BurdockForward *forward = traffic->forwards; forward != NULL; forward = next) {
    next = forward->next;
    if (forward->phase != BURDOCK_FORWARD_DONE && now_us >= forward->deadline_us)
      time_out (forward);
    else if (is_stalled (forward, now_us)) {
      report_silence (forward, now_us);
      leave_stalled (forward, now_us);
    }
  }
  return traffic->forward_count > 0 ? now_us + TICK_US : BURDOCK_LOOP_NEVER_US;
}
