#include "forward.h"

#include "log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* A connection to an upstream is tried at once and after 0.1 s. The first one may still
 * be accepted, as the connections of a process that ends close one after the other. */
#define CHECK_MS 150

/* Delay that is suggested to callers whom another gateway can serve now. */
#define RETRY_ELSEWHERE_MS 1

/* Interval at which a stream that lost its upstream looks for another one, if all are
 * full or the retry budget is used up. */
#define RESUME_INTERVAL_MS 200

#define TICK_INTERVAL_US UINT64_C (20000)

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
  burdock_memory_budget_resize (&traffic->memory, BURDOCK_MEMORY_ANSWERS,
                                forward->body_capacity_bytes, 0);
  free (forward->body);
  free (forward);
}

void
burdock_forward_answer_error (BurdockHttpRequest *request, uint32_t status,
                              const char *text, uint32_t retry_after_ms)
{
  BurdockBytes body = { (const uint8_t *)text, (uint32_t)strlen (text) };

  if (retry_after_ms > 0)
    burdock_exchange_set_retry_after (request, retry_after_ms);
  burdock_http_set_header (request, "Content-Type", "application/json");
  burdock_http_respond_bytes (request, status, body);
}

/* Another gateway can serve a caller at once. If all of them are stopped, this one is
 * started again after its stop. */
uint32_t
burdock_forward_retry_after_stop_ms (const BurdockGateway *gateway)
{
  uint64_t now_us = burdock_loop_now_us ();

  if (burdock_gateway_has_ready_peer (gateway, now_us))
    return RETRY_ELSEWHERE_MS;
  return burdock_stop_policy_left_ms (&gateway->traffic.stop, now_us) +
         BURDOCK_RETRY_AFTER_DEFAULT_MS;
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
  forward->retry_after_ms = retry_after_ms;
  set_outcome (forward, "refused", 503);
  burdock_forward_answer_error (forward->http_request, 503, "{\"error\":\"not run\"}\n",
                                retry_after_ms);
}

static void
fail_forward (BurdockForward *forward, uint32_t status)
{
  forward->gateway->traffic.counters.failed++;
  set_outcome (forward, "failed", status);
  burdock_forward_answer_error (forward->http_request, status,
                                "{\"error\":\"outcome unknown\"}\n", 0);
}

void
burdock_forward_refuse_quarantined (BurdockForward *forward, uint32_t retry_after_ms)
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

/* Refuses a request that is_quarantined(). */
static void
refuse_until_tried_again (BurdockForward *forward)
{
  uint32_t retry_after_ms = BURDOCK_RETRY_AFTER_DEFAULT_MS;

  burdock_part_quarantine_admit (forward->gateway->traffic.quarantine,
                                 &forward->caller.prompt, burdock_loop_now_us (),
                                 &retry_after_ms);
  burdock_forward_refuse_quarantined (forward, retry_after_ms);
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
  /* Its room is released with the request, as is the buffer. */
  burdock_http_respond_buffer (forward->http_request, (uint32_t)forward->http_status,
                               forward->body, forward->body_bytes);
  forward->body = NULL;
}

static void
submit_again (BurdockForward *forward)
{
  uint64_t now_us = burdock_loop_now_us ();

  forward->placement.admitted = true;
  burdock_forward_set_times (forward, now_us);
  forward->phase = BURDOCK_FORWARD_WAITING;
  burdock_balancer_submit (forward->gateway->traffic.balancer, &forward->placement,
                           now_us);
}

static void
resubmit (BurdockForward *forward)
{
  BurdockPlacement *placement = &forward->placement;

  if (placement->excluded_count < BURDOCK_EXCLUDED_MAX)
    placement->excluded[placement->excluded_count++] = forward->upstream.key;
  submit_again (forward);
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
    refuse_forward (forward,
                    burdock_balancer_retry_after_ms (forward->gateway->traffic.balancer,
                                                     &forward->placement,
                                                     burdock_loop_now_us ()));
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
  BurdockGatewayTraffic *traffic = &forward->gateway->traffic;
  BurdockAnswerTimes *times = forward->route->kind == BURDOCK_ROUTE_STREAM
                                  ? traffic->first_event_times
                                  : traffic->answer_times;

  return burdock_answer_times_estimate (times, forward->route->name,
                                        forward->upstream.key, forward->sent_us, now_us);
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
    .past_last_id = forward->event_stream.is_past_last_id,
    .enough_time =
        burdock_attempt_has_time (now_us, forward->deadline_us,
                                  estimate_elsewhere (forward, now_us).typical_us),
  };
  BurdockAttemptAction action;

  if (result != BURDOCK_ATTEMPT_NOT_RUN && result != BURDOCK_ATTEMPT_MISDIRECTED)
    forward->run_count++;
  state.run_count = forward->run_count;
  action =
      forward->caller_lost ? BURDOCK_ACTION_ABORT : burdock_attempt_next_action (&state);
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
    refuse_until_tried_again (forward);
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
    refuse_until_tried_again (forward);
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

static uint64_t
allowed_us (const BurdockForward *forward)
{
  return forward->deadline_us - forward->received_us;
}

static void
log_request (const BurdockForward *forward, bool delivered)
{
  uint64_t now_us = burdock_loop_now_us ();
  uint64_t first_ms = forward->first_event_us > 0
                          ? (forward->first_event_us - forward->received_us) / US_PER_MS
                          : 0;
  char last_id[BURDOCK_OPTIONAL_BYTES];

  burdock_optional_format (forward->event_stream.last_id, last_id);
  burdock_log_subject (
      BURDOCK_LOG_INFO, "request ended", forward->caller.request_id,
      forward->send_count > 0 ? forward->upstream.id : "-",
      "outcome %s status %u route %s pool %s generation %u upstreams %" PRIu64
      " delivered %d sent %u ran %u "
      "reason %s first_ms %u total_ms %u placed_ms %u events %u last_id %s pause_ms %u "
      "digest %016" PRIx64 " stop_ms %" PRId64 " slow_caller_ms %u "
      "allowed_ms %u first_part_ms %u work_ms %u retry_after_ms %u "
      "priority %u own_work_ms %u",
      forward->outcome, forward->final_status, forward->route->name, forward->pool->name,
      (uint32_t)forward->table->version, forward->upstream_version, delivered,
      forward->send_count, forward->run_count, burdock_reason_name (forward->reason),
      (uint32_t)first_ms, (uint32_t)((now_us - forward->received_us) / US_PER_MS),
      forward->send_count > 0
          ? (uint32_t)((forward->sent_us - forward->received_us) / US_PER_MS)
          : 0,
      forward->attempt_event_count, last_id,
      (uint32_t)(forward->longest_gap_us / US_PER_MS), forward->digest,
      received_in_stop_ms (forward),
      (uint32_t)(burdock_forward_paused_us (forward, now_us) / US_PER_MS),
      (uint32_t)(allowed_us (forward) / US_PER_MS),
      (uint32_t)(forward->placement.times.first_part_us / US_PER_MS),
      (uint32_t)(forward->placement.times.work_us / US_PER_MS), forward->retry_after_ms,
      forward->placement.priority,
      (uint32_t)(forward->placement.times.own_work_us / US_PER_MS));
}

/* A request whose answer is not delivered has lost its caller, unless the process ends.
 */
static void
count_undelivered (BurdockForward *forward)
{
  BurdockGatewayTraffic *traffic = &forward->gateway->traffic;
  bool answered = forward->phase == BURDOCK_FORWARD_DONE;

  if (traffic->ended)
    traffic->counters.stop_cut++;
  else if (!answered)
    traffic->counters.abandoned++;
  if (!answered)
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
  if (!complete)
    count_undelivered (forward);
  log_request (forward, complete);
  forward->phase = BURDOCK_FORWARD_DONE;
  burdock_forward_cancel (forward, BURDOCK_UPSTREAM_ABANDONED);
  free_forward (forward);
}

static void
time_out (BurdockForward *forward)
{
  BurdockGatewayTraffic *traffic = &forward->gateway->traffic;
  uint64_t now_us = burdock_loop_now_us ();

  burdock_log_subject (BURDOCK_LOG_INFO, "request timed out", forward->caller.request_id,
                       forward->send_count > 0 ? forward->upstream.id : "-",
                       "phase %d limit_ms %u", forward->phase,
                       (uint32_t)((forward->deadline_us - forward->received_us) /
                                  US_PER_MS));
  if (forward->phase == BURDOCK_FORWARD_WAITING) {
    burdock_balancer_withdraw (traffic->balancer, forward->placement.handle);
    burdock_forward_refuse (forward->gateway, forward->placement.handle,
                            BURDOCK_REASON_DEADLINE, BURDOCK_RETRY_AFTER_DEFAULT_MS);
    return;
  }
  if (burdock_balancer_is_slow (traffic->balancer, forward->upstream.key, now_us) &&
      forward->phase == BURDOCK_FORWARD_SENT && !forward->answer_started)
    burdock_balancer_record_cold_time (traffic->balancer, forward->upstream.key, false,
                                       now_us - forward->sent_us,
                                       forward->placement.times.first_part_us);
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
  bool sent =
      forward->transfer != NULL && burdock_http_transfer_is_sent (forward->transfer);
  BurdockAttemptContext state = {
    .route = forward->route,
    .result = sent ? BURDOCK_ATTEMPT_LOST : BURDOCK_ATTEMPT_NOT_RUN,
    .run_count = forward->run_count + sent,
    .answer_started = forward->answer_started,
  };
  BurdockAttemptAction action = burdock_attempt_final_action (&state);

  forward->reason = BURDOCK_REASON_LEAVING;
  if (action == BURDOCK_ACTION_REFUSE) {
    refuse_forward (forward, burdock_forward_retry_after_stop_ms (forward->gateway));
  } else {
    forward->gateway->traffic.counters.stop_given_up++;
    apply_action (forward, action);
  }
  burdock_forward_cancel (forward, BURDOCK_UPSTREAM_ABANDONED);
}

void
burdock_forward_give_up_all (BurdockGateway *gateway)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;

  /* A request that is given up frees a place, which a waiting one must not take. */
  for (BurdockForward *forward = traffic->forwards; forward != NULL;
       forward = forward->next) {
    if (forward->phase == BURDOCK_FORWARD_WAITING)
      burdock_balancer_withdraw (traffic->balancer, forward->placement.handle);
  }
  for (BurdockForward *forward = traffic->forwards; forward != NULL;
       forward = forward->next) {
    if (forward->phase != BURDOCK_FORWARD_DONE)
      give_up (forward);
  }
}

static uint64_t
silent_us (const BurdockForward *forward, uint64_t now_us)
{
  return burdock_attempt_silence_us (now_us, forward->last_activity_us);
}

static void
report_silence (const BurdockForward *forward, uint64_t now_us)
{
  uint64_t time_us = silent_us (forward, now_us);

  if (burdock_balancer_report_silence (forward->gateway->traffic.balancer,
                                       forward->upstream.key, time_us, now_us))
    burdock_log_subject (BURDOCK_LOG_WARNING, "upstream silent",
                         forward->caller.request_id, forward->upstream.id, "silent_ms %u",
                         (uint32_t)(time_us / US_PER_MS));
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
    .past_last_id = forward->event_stream.is_past_last_id,
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
is_waiting_for_data (const BurdockForward *forward)
{
  return forward->phase == BURDOCK_FORWARD_SENT && !forward->reading_paused;
}

/* Whether an attempt may be stalled, whatever the times of others are. */
static bool
is_late (const BurdockForward *forward, uint64_t now_us)
{
  return is_waiting_for_data (forward) &&
         silent_us (forward, now_us) >
             burdock_attempt_stall_min_us (forward->route, allowed_us (forward));
}

static void
note_waits (BurdockGatewayTraffic *traffic, uint64_t now_us)
{
  for (const BurdockForward *forward = traffic->forwards; forward != NULL;
       forward = forward->next) {
    if (forward->route->kind != BURDOCK_ROUTE_STREAM && is_late (forward, now_us) &&
        !burdock_balancer_is_slow (traffic->balancer, forward->upstream.key, now_us))
      burdock_answer_times_note_wait (traffic->answer_times, forward->route->name,
                                      forward->upstream.key, now_us);
  }
}

static void
check_stall (BurdockForward *forward, uint64_t now_us)
{
  BurdockAnswerEstimate estimate = estimate_elsewhere (forward, now_us);

  if (silent_us (forward, now_us) <=
      burdock_attempt_stall_timeout_us (forward->route, allowed_us (forward), &estimate))
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
  refuse_until_tried_again (forward);
}

/* Whether an attempt has an upstream that is evacuated, which it has not reached yet. */
static bool
is_unsent_to_evacuated (const BurdockForward *forward)
{
  return forward->phase == BURDOCK_FORWARD_SENT && forward->transfer != NULL &&
         !burdock_http_transfer_is_sent (forward->transfer) &&
         burdock_balancer_is_evacuated (forward->gateway->traffic.balancer,
                                        forward->upstream.failure_domain);
}

/* The attempt does not count: nothing of it was sent. */
static void
withdraw_unsent (BurdockForward *forward)
{
  burdock_log_subject (BURDOCK_LOG_INFO, "attempt withdrawn", forward->caller.request_id,
                       forward->upstream.id, "the failure domain %s is evacuated",
                       forward->upstream.failure_domain);
  burdock_forward_cancel (forward, BURDOCK_UPSTREAM_ABANDONED);
  forward->send_count--;
  submit_again (forward);
}

void
burdock_forward_withdraw_evacuated (BurdockGateway *gateway)
{
  BurdockForward *next;

  for (BurdockForward *forward = gateway->traffic.forwards; forward != NULL;
       forward = next) {
    next = forward->next;
    if (is_unsent_to_evacuated (forward))
      withdraw_unsent (forward);
  }
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
    else if (forward->phase == BURDOCK_FORWARD_SENT && forward->reading_paused)
      burdock_forward_read_on (forward, now_us);
    else if (is_late (forward, now_us))
      check_stall (forward, now_us);
    else if (forward->route->kind == BURDOCK_ROUTE_STREAM &&
             is_waiting_for_data (forward))
      report_silence (forward, now_us);
  }
  return traffic->forward_count > 0 ? now_us + TICK_INTERVAL_US : BURDOCK_LOOP_NEVER_US;
}
