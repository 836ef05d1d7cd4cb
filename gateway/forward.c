#include "forward.h"

#include "log.h"
#include "request-digest.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* Timeout of a request if neither the caller nor the route sets one. */
#define TIMEOUT_DEFAULT_MS 30000

/* Maximum time in the queue. The caller of a stream disconnects about 2 s after it sent
 * the request, and the first event takes up to 500 ms after the request was placed. */
#define QUEUE_WAIT_MAX_MS 1000

/* A request may spend 1/3 of its timeout in the queue; the rest is needed to run it. */
#define QUEUE_WAIT_DIVISOR 3

/* Expected time to the first event of a stream until one has been measured. */
#define FIRST_EVENT_DEFAULT_MS 200

/* Most first events arrive within this multiple of the mean time. */
#define FIRST_EVENT_FACTOR 1.3

/* A timeout below this part of the route's timeout shows that the caller retries after a
 * refusal. Its answer is late in any case, as the latency objective counts from the
 * caller's first attempt. */
#define FIRST_ATTEMPT_MIN_RATIO 0.97

/* Minimum time in the queue before another attempt. */
#define RETRY_WAIT_MS 300

/* A connection to an upstream is tried at once and after 0.1 s. The first one may still
 * be accepted, as the connections of a process that ends close one after the other. */
#define CHECK_MS 150

/* Delay that is suggested to callers unless the balancer computed one; a new process gets
 * its configuration within about this time. */
#define RETRY_AFTER_DEFAULT_MS 1000

/* Delay that is suggested to callers whom another gateway can serve now. */
#define RETRY_ELSEWHERE_MS 1

/* Interval at which a stream that lost its upstream looks for another one, if all are
 * full or the retry budget is used up. */
#define RESUME_INTERVAL_MS 200

#define TICK_INTERVAL_US UINT64_C (20000)

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
  burdock_event_stream_clear (&forward->event_stream);
  burdock_route_table_unref (forward->table);
  traffic->buffered_bytes -= forward->body_capacity_bytes;
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
  burdock_http_respond_bytes (request, status, body);
}

/* Another gateway can serve a caller at once, unless all of them are stopped. */
static uint32_t
retry_after_stop_ms (const BurdockGateway *gateway)
{
  return burdock_gateway_has_ready_peer (gateway, burdock_loop_now_us ())
             ? RETRY_ELSEWHERE_MS
             : RETRY_AFTER_DEFAULT_MS;
}

/* Answers a request with an error before it is submitted to the balancer. */
static void
reject (BurdockGateway *gateway, BurdockHttpRequest *request,
        const BurdockCallerRequest *caller, uint32_t status, const char *reason)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  uint32_t retry_after_ms =
      traffic->leaving ? retry_after_stop_ms (gateway) : RETRY_AFTER_DEFAULT_MS;

  traffic->counters.rejected++;
  burdock_log_subject (BURDOCK_LOG_INFO, "request rejected", caller->request_id, "-",
                       "status %u reason %s generation %u host %s path %s", status,
                       reason,
                       traffic->table != NULL ? (uint32_t)traffic->table->version : 0,
                       caller->host, burdock_http_path (request));
  answer_error (request, status, "{\"error\":\"rejected\"}\n",
                status == 503 ? retry_after_ms : 0);
}

static void
set_outcome (BurdockForward *forward, const char *outcome, uint32_t status)
{
  forward->phase = BURDOCK_FORWARD_DONE;
  forward->outcome = outcome;
  if (status != 0)
    forward->final_status = status;
}

static void
refuse_forward (BurdockForward *forward, uint32_t retry_after_ms)
{
  forward->gateway->traffic.counters.refused++;
  set_outcome (forward, "refused", 503);
  answer_error (forward->http_request, 503, "{\"error\":\"not run\"}\n", retry_after_ms);
}

static void
fail_forward (BurdockForward *forward, uint32_t status)
{
  forward->gateway->traffic.counters.failed++;
  set_outcome (forward, "failed", status);
  answer_error (forward->http_request, status, "{\"error\":\"outcome unknown\"}\n", 0);
}

/* Ends a request whose prompt crashes upstreams and that no upstream runs. */
static void
refuse_quarantined (BurdockForward *forward, uint32_t retry_after_ms)
{
  forward->gateway->traffic.counters.quarantined++;
  forward->reason = BURDOCK_REASON_QUARANTINED;
  if (forward->run_count > 0)
    fail_forward (forward, 502);
  else
    refuse_forward (forward, retry_after_ms);
}

static bool
is_quarantined (const BurdockForward *forward)
{
  return burdock_part_quarantine_blocks (forward->gateway->traffic.quarantine,
                                         &forward->caller.prompt, burdock_loop_now_us ());
}

static void
abort_forward (BurdockForward *forward)
{
  forward->gateway->traffic.counters.broken++;
  set_outcome (forward, "broken", 0);
  burdock_http_abort (forward->http_request);
}

static void
deliver_answer (BurdockForward *forward)
{
  BurdockBytes body = { (const uint8_t *)forward->body, forward->body_bytes };

  forward->gateway->traffic.counters.complete++;
  if (forward->answer_kind == BURDOCK_ANSWER_STREAM) {
    if (!forward->answer_started) {
      burdock_exchange_copy_headers (forward->transfer, forward->http_request);
      burdock_http_stream_start (forward->http_request, (uint32_t)forward->http_status);
    }
    set_outcome (forward, "passed", (uint32_t)forward->http_status);
    burdock_http_stream_end (forward->http_request);
    return;
  }
  burdock_exchange_copy_headers (forward->transfer, forward->http_request);
  set_outcome (forward, "passed", (uint32_t)forward->http_status);
  burdock_http_respond_bytes (forward->http_request, (uint32_t)forward->http_status,
                              body);
}

static void
resubmit (BurdockForward *forward)
{
  BurdockGatewayTraffic *traffic = &forward->gateway->traffic;
  BurdockPlacement *placement = &forward->placement;
  uint64_t now_us = burdock_loop_now_us ();

  if (placement->excluded_count < BURDOCK_EXCLUDED_MAX)
    placement->excluded[placement->excluded_count++] = forward->upstream.key;
  if (placement->queue_deadline_us < now_us + RETRY_WAIT_MS * US_PER_MS)
    placement->queue_deadline_us = now_us + RETRY_WAIT_MS * US_PER_MS;
  forward->phase = BURDOCK_FORWARD_WAITING;
  burdock_balancer_submit (traffic->balancer, placement, now_us);
}

static void
wait_to_resume (BurdockForward *forward, bool retry_paid, const char *why)
{
  if (forward->resume_at_us == 0)
    burdock_log_subject (BURDOCK_LOG_INFO, "resume delayed", forward->caller.request_id,
                         forward->upstream.id, "%s events %u sent %u", why,
                         forward->attempt_event_count, forward->send_count);
  forward->phase = BURDOCK_FORWARD_RESUMING;
  forward->retry_paid = retry_paid;
  forward->resume_at_us = burdock_loop_now_us () + RESUME_INTERVAL_MS * US_PER_MS;
}

static void
apply_action (BurdockForward *forward, BurdockAttemptAction action)
{
  switch (action) {
  case BURDOCK_ACTION_FORWARD:
    break;
  case BURDOCK_ACTION_RESUME:
    forward->gateway->traffic.counters.resumed++;
    forward->retry_paid = true;
    resubmit (forward);
    break;
  case BURDOCK_ACTION_WAIT:
    wait_to_resume (forward, false, "no further attempt now");
    break;
  case BURDOCK_ACTION_RETRY:
    resubmit (forward);
    break;
  case BURDOCK_ACTION_REFUSE:
    refuse_forward (forward, RETRY_AFTER_DEFAULT_MS);
    break;
  case BURDOCK_ACTION_FAIL:
    fail_forward (forward, 502);
    break;
  case BURDOCK_ACTION_ABORT:
    abort_forward (forward);
    break;
  }
}

/* Times of answers at the upstreams that another attempt may run at. */
static BurdockAnswerEstimate
estimate_elsewhere (const BurdockForward *forward, uint64_t now_us)
{
  return burdock_answer_times_estimate (forward->gateway->traffic.answer_times,
                                        forward->route->name, forward->upstream.key,
                                        forward->sent_us, now_us);
}

void
burdock_forward_attempt_ended (BurdockForward *forward, BurdockAttemptResult result,
                               BurdockUpstreamOutcome outcome)
{
  BurdockGatewayTraffic *traffic = &forward->gateway->traffic;
  uint64_t now_us = burdock_loop_now_us ();
  BurdockAttemptContext state = {
    .route = forward->route,
    .result = result,
    .send_count = forward->send_count,
    .answer_started = forward->answer_started,
    .enough_time =
        burdock_attempt_has_time (now_us, forward->deadline_us,
                                  estimate_elsewhere (forward, now_us).typical_us),
  };
  BurdockAttemptAction action;

  if (result != BURDOCK_ATTEMPT_NOT_RUN && result != BURDOCK_ATTEMPT_MISDIRECTED)
    forward->run_count++;
  state.run_count = forward->run_count;
  action = burdock_attempt_next_action (&state);
  /* An attempt that did not reach its upstream may be retried without using the retry
   * budget. */
  if ((action == BURDOCK_ACTION_RETRY || action == BURDOCK_ACTION_RESUME) &&
      outcome == BURDOCK_UPSTREAM_FAILED && forward->attempt_event_count == 0 &&
      burdock_part_quarantine_is_suspect (traffic->quarantine, &forward->caller.prompt,
                                          forward->upstream.key))
    action = burdock_attempt_final_action (&state);
  if ((action == BURDOCK_ACTION_RETRY || action == BURDOCK_ACTION_RESUME) &&
      forward->attempt_sent &&
      !burdock_balancer_take_retry (traffic->balancer, forward->pool->name))
    action = burdock_attempt_unpaid_action (&state);
  /* The headers of the answer are only valid while the transfer exists. */
  if (action == BURDOCK_ACTION_FORWARD)
    deliver_answer (forward);
  forward->transfer = NULL;
  burdock_balancer_finish (traffic->balancer, forward->upstream.key, outcome, now_us);
  if (action == BURDOCK_ACTION_RETRY && forward->attempt_broke) {
    forward->phase = BURDOCK_FORWARD_CHECKING;
    forward->check_until_us = now_us + CHECK_MS * US_PER_MS;
    return;
  }
  apply_action (forward, action);
}

/* A request under which an upstream has ended is not sent to another one, which it may
 * end as well. */
static void
decide_retry (BurdockForward *forward, uint64_t now_us)
{
  if (is_quarantined (forward))
    refuse_quarantined (forward, RETRY_AFTER_DEFAULT_MS);
  else if (now_us >= forward->check_until_us)
    resubmit (forward);
}

/* All upstreams may be tried again, also those that rejected the stream before. */
static void
resume_stream (BurdockForward *forward, uint64_t now_us)
{
  BurdockGatewayTraffic *traffic = &forward->gateway->traffic;

  if (now_us < forward->resume_at_us)
    return;
  if (!forward->retry_paid &&
      !burdock_balancer_take_retry (traffic->balancer, forward->pool->name)) {
    wait_to_resume (forward, false, "retry budget");
    return;
  }
  forward->retry_paid = true;
  forward->placement.excluded_count = 0;
  resubmit (forward);
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
  /* A part may have been quarantined while the request waited. An answer that has begun
   * shows that it crashes nothing. */
  if (!forward->answer_started && is_quarantined (forward)) {
    burdock_balancer_finish (gateway->traffic.balancer, upstream->key,
                             BURDOCK_UPSTREAM_ABANDONED, burdock_loop_now_us ());
    refuse_quarantined (forward, RETRY_AFTER_DEFAULT_MS);
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
  if (forward->answer_started &&
      burdock_attempt_has_time (burdock_loop_now_us (), forward->deadline_us, 0))
    wait_to_resume (forward, true, burdock_reason_name (reason));
  else if (forward->answer_started)
    abort_forward (forward);
  else if (forward->run_count > 0)
    fail_forward (forward, 502);
  else
    refuse_forward (forward, retry_after_ms);
}

static uint64_t
time_limit_ms (const BurdockRoute *route, const BurdockCallerRequest *caller)
{
  uint64_t limit_ms = route->timeout_ms > 0 ? route->timeout_ms : TIMEOUT_DEFAULT_MS;

  if (caller->has_timeout && caller->timeout_ms < limit_ms)
    limit_ms = caller->timeout_ms;
  return limit_ms;
}

/* Longest time in the queue with which a request can still meet its latency objective. */
static uint64_t
objective_wait_us (const BurdockForward *forward)
{
  const BurdockRoute *route = forward->route;
  uint64_t first_event_us = forward->gateway->traffic.mean_first_event_us;
  uint64_t objective_us = route->objective_ms * US_PER_MS;

  if (forward->caller.has_timeout &&
      forward->caller.timeout_ms < route->timeout_ms * FIRST_ATTEMPT_MIN_RATIO)
    return 0;
  if (route->kind != BURDOCK_ROUTE_STREAM)
    return objective_us / 2;
  if (first_event_us == 0)
    first_event_us = FIRST_EVENT_DEFAULT_MS * US_PER_MS;
  first_event_us = (uint64_t)((double)first_event_us * FIRST_EVENT_FACTOR);
  return objective_us > first_event_us ? objective_us - first_event_us : 0;
}

static void
set_times (BurdockForward *forward)
{
  const BurdockRoute *route = forward->route;
  uint64_t limit_ms = time_limit_ms (route, &forward->caller);
  uint64_t queue_wait_ms = limit_ms / QUEUE_WAIT_DIVISOR < QUEUE_WAIT_MAX_MS
                               ? limit_ms / QUEUE_WAIT_DIVISOR
                               : QUEUE_WAIT_MAX_MS;
  uint64_t now_us = burdock_loop_now_us ();

  forward->received_us = now_us;
  forward->deadline_us = now_us + limit_ms * US_PER_MS;
  forward->placement.queue_deadline_us = now_us + queue_wait_ms * US_PER_MS;
  forward->placement.objective_deadline_us = now_us + objective_wait_us (forward);
}

/* Whether a request is answered before the end of a planned stop, if there is one. */
static bool
ends_before_stop (const BurdockGateway *gateway, const BurdockForward *forward)
{
  uint64_t limit_us = time_limit_ms (forward->route, &forward->caller) * US_PER_MS;

  return burdock_stop_policy_admits (&gateway->traffic.stop,
                                     burdock_loop_now_us () + limit_us);
}

/* Finds the route and workspace of a request. Returns 0, or the HTTP status to reject the
 * request with and @reason for the log. */
static uint32_t
admit (const BurdockGateway *gateway, BurdockForward *forward, const char *path,
       const char **reason)
{
  const BurdockRouteTable *table = gateway->traffic.table;
  const BurdockWorkspaceEntry *workspace = NULL;

  forward->route = burdock_route_table_find (table, forward->caller.host, path);
  if (forward->route == NULL) {
    *reason = "no route";
    return 404;
  }
  forward->placement.priority = forward->route->priority;
  if (table->has_workspaces && forward->caller.api_key[0] != '\0')
    workspace = burdock_route_table_find_workspace (table, forward->caller.api_key);
  if (workspace == NULL && table->has_workspaces && !forward->route->open_access) {
    *reason = "unknown key";
    return 401;
  }
  if (workspace != NULL) {
    forward->workspace = workspace->name;
    if (workspace->has_priority)
      forward->placement.priority = workspace->priority;
  }
  if (!ends_before_stop (gateway, forward)) {
    *reason = "planned stop ends before the request";
    return 503;
  }
  return 0;
}

static uint64_t
digest_request (const BurdockForward *forward)
{
  BurdockRequestContent content = {
    .method = burdock_http_method (forward->http_request),
    .host = forward->caller.host,
    .target = burdock_http_target (forward->http_request),
    .caller = forward->caller.api_key,
    .body = burdock_http_body (forward->http_request),
  };

  return burdock_request_digest (&content);
}

static void
start_forward (BurdockForward *forward)
{
  BurdockGateway *gateway = forward->gateway;
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  uint32_t retry_after_ms;

  forward->pool = burdock_route_pick_pool (forward->route,
                                           burdock_runtime_random (&traffic->runtime));
  forward->event_stream.last_id = forward->caller.last_event_id;
  forward->digest = digest_request (forward);
  forward->caller.prompt.request = forward->digest;
  forward->placement.handle = ++traffic->next_handle;
  forward->placement.pool = forward->pool->name;
  forward->phase = BURDOCK_FORWARD_WAITING;
  set_times (forward);
  add_forward (traffic, forward);
  burdock_http_set_data (forward->http_request, forward);
  if (!burdock_part_quarantine_admit (traffic->quarantine, &forward->caller.prompt,
                                      forward->received_us, &retry_after_ms)) {
    refuse_quarantined (forward, retry_after_ms);
    return;
  }
  burdock_balancer_submit (traffic->balancer, &forward->placement, forward->received_us);
}

void
burdock_forward_request (void *ctx, BurdockHttpRequest *request)
{
  BurdockGateway *gateway = ctx;
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  BurdockForward *forward;
  BurdockCallerRequest caller;
  const char *reason = NULL;
  uint32_t status;

  traffic->counters.requests++;
  if (traffic->leaving)
    traffic->counters.stop_requests++;
  burdock_exchange_parse_request (request, &caller);
  if (!burdock_gateway_has_state (gateway)) {
    reject (gateway, request, &caller, 503, "no configuration yet");
    return;
  }
  forward = calloc (1, sizeof *forward);
  if (forward == NULL) {
    reject (gateway, request, &caller, 503, "out of memory");
    return;
  }
  forward->gateway = gateway;
  forward->http_request = request;
  forward->caller = caller;
  forward->table = burdock_route_table_ref (traffic->table);
  status = admit (gateway, forward, burdock_http_target (request), &reason);
  if (status != 0) {
    burdock_route_table_unref (forward->table);
    free (forward);
    reject (gateway, request, &caller, status, reason);
    return;
  }
  start_forward (forward);
}

/* Time from the start of a planned stop to the receipt of a request, -1 for a request
 * that was received before it or without one. */
static int64_t
received_in_stop_ms (const BurdockForward *forward)
{
  const BurdockGatewayTraffic *traffic = &forward->gateway->traffic;

  if (!traffic->leaving || forward->received_us < traffic->stop.began_us)
    return -1;
  return (int64_t)((forward->received_us - traffic->stop.began_us) / US_PER_MS);
}

static void
log_request (const BurdockForward *forward, bool delivered)
{
  uint64_t now_us = burdock_loop_now_us ();
  uint64_t first_ms = forward->first_event_us > 0
                          ? (forward->first_event_us - forward->received_us) / US_PER_MS
                          : 0;

  burdock_log_subject (
      BURDOCK_LOG_INFO, "request ended", forward->caller.request_id,
      forward->send_count > 0 ? forward->upstream.id : "-",
      "outcome %s status %u route %s pool %s generation %u upstreams %" PRIu64
      " delivered %d sent %u ran %u "
      "reason %s first_ms %u total_ms %u placed_ms %u events %u pause_ms %u "
      "digest %016" PRIx64 " stop_ms %" PRId64,
      forward->outcome, forward->final_status, forward->route->name, forward->pool->name,
      (uint32_t)forward->table->version, forward->upstream_version, delivered,
      forward->send_count, forward->run_count, burdock_reason_name (forward->reason),
      (uint32_t)first_ms, (uint32_t)((now_us - forward->received_us) / US_PER_MS),
      forward->send_count > 0
          ? (uint32_t)((forward->sent_us - forward->received_us) / US_PER_MS)
          : 0,
      forward->attempt_event_count, (uint32_t)(forward->longest_gap_us / US_PER_MS),
      forward->digest, received_in_stop_ms (forward));
}

/* A request without a final answer has lost its caller, unless the process ends. */
static void
count_unanswered (BurdockForward *forward)
{
  BurdockGatewayTraffic *traffic = &forward->gateway->traffic;

  if (traffic->ended)
    traffic->counters.stop_cut++;
  else
    traffic->counters.abandoned++;
  forward->outcome = traffic->ended ? "cut" : "abandoned";
}

void
burdock_forward_closed (void *ctx, BurdockHttpRequest *request, bool complete)
{
  BurdockGateway *gateway = ctx;
  BurdockForward *forward = burdock_http_data (request);

  if (forward == NULL)
    return;
  if (forward->phase == BURDOCK_FORWARD_WAITING)
    burdock_balancer_withdraw (gateway->traffic.balancer, forward->placement.handle);
  if (forward->phase != BURDOCK_FORWARD_DONE)
    count_unanswered (forward);
  log_request (forward, complete);
  forward->phase = BURDOCK_FORWARD_DONE;
  burdock_forward_cancel (forward, BURDOCK_UPSTREAM_ABANDONED);
  free_forward (forward);
}

static void
time_out (BurdockForward *forward)
{
  BurdockGatewayTraffic *traffic = &forward->gateway->traffic;

  burdock_log_subject (BURDOCK_LOG_INFO, "request timed out", forward->caller.request_id,
                       forward->send_count > 0 ? forward->upstream.id : "-",
                       "phase %d limit_ms %u", forward->phase,
                       (uint32_t)((forward->deadline_us - forward->received_us) /
                                  US_PER_MS));
  if (forward->phase == BURDOCK_FORWARD_WAITING) {
    burdock_balancer_withdraw (traffic->balancer, forward->placement.handle);
    burdock_forward_refuse (forward->gateway, forward->placement.handle,
                            BURDOCK_REASON_DEADLINE, RETRY_AFTER_DEFAULT_MS);
    return;
  }
  if (forward->answer_started)
    abort_forward (forward);
  else
    fail_forward (forward, 504);
  burdock_forward_cancel (forward, BURDOCK_UPSTREAM_ABANDONED);
}

/* Ends a request at the end of a shutdown. One that no upstream may have run is refused.
 */
static void
give_up (BurdockForward *forward)
{
  BurdockGatewayTraffic *traffic = &forward->gateway->traffic;
  bool sent =
      forward->transfer != NULL && burdock_http_transfer_is_sent (forward->transfer);

  if (forward->phase == BURDOCK_FORWARD_WAITING)
    burdock_balancer_withdraw (traffic->balancer, forward->placement.handle);
  forward->reason = BURDOCK_REASON_LEAVING;
  if (forward->answer_started)
    abort_forward (forward);
  else if (sent || forward->run_count > 0)
    fail_forward (forward, 502);
  else
    refuse_forward (forward, retry_after_stop_ms (forward->gateway));
  if (forward->final_status != 503)
    traffic->counters.stop_cut++;
  burdock_forward_cancel (forward, BURDOCK_UPSTREAM_ABANDONED);
}

void
burdock_forward_give_up_all (BurdockGateway *gateway)
{
  BurdockForward *next;

  for (BurdockForward *forward = gateway->traffic.forwards; forward != NULL;
       forward = next) {
    next = forward->next;
    if (forward->phase != BURDOCK_FORWARD_DONE)
      give_up (forward);
  }
}

static void
report_silence (const BurdockForward *forward, uint64_t now_us)
{
  uint64_t silent_us = burdock_attempt_silence_us (now_us, forward->last_activity_us);

  if (burdock_balancer_report_silence (forward->gateway->traffic.balancer,
                                       forward->upstream.key, silent_us, now_us))
    burdock_log_subject (BURDOCK_LOG_WARNING, "upstream silent",
                         forward->caller.request_id, forward->upstream.id, "silent_ms %u",
                         (uint32_t)(silent_us / US_PER_MS));
}

/* Retries or resumes at another upstream if the policy, the capacity and the retry budget
 * allow it; otherwise continues to wait. The first attempt may still end in time, so
 * another one has to be likely to. */
static void
retry_stalled (BurdockForward *forward, const BurdockAnswerEstimate *estimate,
               uint64_t now_us)
{
  BurdockGatewayTraffic *traffic = &forward->gateway->traffic;
  BurdockAttemptContext state = {
    .route = forward->route,
    .result = forward->answer_started ? BURDOCK_ATTEMPT_TRUNCATED : BURDOCK_ATTEMPT_LOST,
    .run_count = forward->run_count + 1,
    .send_count = forward->send_count,
    .answer_started = forward->answer_started,
    .enough_time =
        burdock_attempt_has_time (now_us, forward->deadline_us, estimate->needed_us),
  };
  BurdockAttemptAction action = burdock_attempt_next_action (&state);

  if (action != BURDOCK_ACTION_RETRY && action != BURDOCK_ACTION_RESUME)
    return;
  if (!burdock_balancer_has_capacity (traffic->balancer, &forward->placement,
                                      forward->upstream.key) ||
      !burdock_balancer_take_retry (traffic->balancer, forward->pool->name))
    return;
  burdock_log_subject (BURDOCK_LOG_INFO, "attempt stalled", forward->caller.request_id,
                       forward->upstream.id, "after_ms %u events %u elsewhere_ms %u",
                       (uint32_t)((now_us - forward->sent_us) / US_PER_MS),
                       forward->attempt_event_count,
                       (uint32_t)(estimate->long_us / US_PER_MS));
  forward->run_count++;
  burdock_forward_cancel (forward, BURDOCK_UPSTREAM_STALLED);
  apply_action (forward, action);
}

static bool
is_stalled (const BurdockForward *forward, const BurdockAnswerEstimate *estimate,
            uint64_t now_us)
{
  return burdock_attempt_silence_us (now_us, forward->last_activity_us) >
         burdock_attempt_stall_timeout_us (forward->route,
                                           forward->attempt_event_count > 0, estimate);
}

/* Whether an attempt is stalled if nothing is known of the times of others. */
static bool
may_be_stalled (const BurdockForward *forward, uint64_t now_us)
{
  BurdockAnswerEstimate unknown = { 0 };

  return forward->phase == BURDOCK_FORWARD_SENT && is_stalled (forward, &unknown, now_us);
}

static void
note_waits (BurdockGatewayTraffic *traffic, uint64_t now_us)
{
  for (const BurdockForward *forward = traffic->forwards; forward != NULL;
       forward = forward->next) {
    if (forward->route->kind != BURDOCK_ROUTE_STREAM && may_be_stalled (forward, now_us))
      burdock_answer_times_note_wait (traffic->answer_times, forward->route->name,
                                      forward->upstream.key, now_us);
  }
}

static void
check_stall (BurdockForward *forward, uint64_t now_us)
{
  BurdockAnswerEstimate estimate = estimate_elsewhere (forward, now_us);

  if (!is_stalled (forward, &estimate, now_us))
    return;
  report_silence (forward, now_us);
  retry_stalled (forward, &estimate, now_us);
}

/* Takes a request back whose prompt was quarantined after it was sent, before its
 * upstream begins to answer it. */
static void
withdraw_quarantined (BurdockForward *forward)
{
  burdock_log_subject (BURDOCK_LOG_INFO, "attempt withdrawn", forward->caller.request_id,
                       forward->upstream.id, "a part of the prompt was quarantined");
  forward->run_count++;
  burdock_forward_cancel (forward, BURDOCK_UPSTREAM_ABANDONED);
  refuse_quarantined (forward, RETRY_AFTER_DEFAULT_MS);
}

uint64_t
burdock_forward_tick (BurdockGateway *gateway, uint64_t now_us)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  bool quarantines = burdock_part_quarantine_count (traffic->quarantine) > 0;
  BurdockForward *next;

  note_waits (traffic, now_us);
  for (BurdockForward *forward = traffic->forwards; forward != NULL; forward = next) {
    next = forward->next;
    if (forward->phase != BURDOCK_FORWARD_DONE && now_us >= forward->deadline_us)
      time_out (forward);
    else if (forward->phase == BURDOCK_FORWARD_CHECKING)
      decide_retry (forward, now_us);
    else if (forward->phase == BURDOCK_FORWARD_RESUMING)
      resume_stream (forward, now_us);
    else if (quarantines && forward->phase == BURDOCK_FORWARD_SENT &&
             !forward->answer_started && is_quarantined (forward))
      withdraw_quarantined (forward);
    else if (may_be_stalled (forward, now_us))
      check_stall (forward, now_us);
  }
  return traffic->forward_count > 0 ? now_us + TICK_INTERVAL_US : BURDOCK_LOOP_NEVER_US;
}
