/* One attempt: sends a request to an upstream and handles its answer. */
#include "forward.h"

#include "cold.h"
#include "leaving.h"
#include "log.h"

#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* Largest answer that is buffered until it is complete. */
#define BUFFERED_ANSWER_MAX_BYTES (8u << 20)

/* Memory of all buffered answers together: an instance has 160 MB or more. */
#define BUFFERED_ANSWERS_MAX_BYTES (32u << 20)

#define BUFFER_STEP_BYTES (256u << 10)

/* Output that waits for a caller that reads slowly before the gateway stops to read from
 * the upstream, and below which it reads on. An instance has 160 MB or more for a few
 * hundred requests. */
#define PAUSE_WAITING_BYTES (64u << 10)
#define RESUME_WAITING_BYTES (32u << 10)

/* Idle connections are not reused in the last second before the upstream closes them. */
#define KEEP_ALIVE_MARGIN_S 1

/* The last eight shared parts of a prompt. */
#define LOGGED_PROMPT_BYTES 140

/* Makes the buffer of an answer large enough for @needed bytes. Doubles a small one; the
 * pages of a larger one are moved and not copied, so it grows in steps. */
static int
grow_buffer (BurdockForward *forward, size_t needed)
{
  BurdockGatewayTraffic *traffic = &forward->gateway->traffic;
  size_t size = needed * 2 <= BUFFER_STEP_BYTES
                    ? needed * 2
                    : (needed / BUFFER_STEP_BYTES + 1) * BUFFER_STEP_BYTES;
  size_t added = size - forward->body_capacity_bytes;
  char *grown;

  if (traffic->buffered_bytes + added > BUFFERED_ANSWERS_MAX_BYTES ||
      !burdock_memory_budget_resize (&traffic->memory, BURDOCK_MEMORY_ANSWERS,
                                     forward->body_capacity_bytes, size))
    return -EMSGSIZE;
  grown = realloc (forward->body, size);
  if (grown == NULL) {
    burdock_memory_budget_resize (&traffic->memory, BURDOCK_MEMORY_ANSWERS, size,
                                  forward->body_capacity_bytes);
    return -ENOMEM;
  }
  traffic->buffered_bytes += added;
  forward->body = grown;
  forward->body_capacity_bytes = (uint32_t)size;
  return 0;
}

static int
buffer_body (BurdockForward *forward, const char *data, size_t length_bytes)
{
  size_t needed = forward->body_bytes + length_bytes;

  if (needed > BUFFERED_ANSWER_MAX_BYTES)
    return -EMSGSIZE;
  if (needed > forward->body_capacity_bytes) {
    int status = grow_buffer (forward, needed);

    if (status < 0)
      return status;
  }
  memcpy (forward->body + forward->body_bytes, data, length_bytes);
  forward->body_bytes = (uint32_t)needed;
  return 0;
}

/* A refusal or an error without a limit does not show that there is none. */
static void
record_limit (const BurdockForward *forward, BurdockHttpTransfer *transfer)
{
  BurdockBalancer *balancer = forward->gateway->traffic.balancer;
  double per_s = burdock_exchange_rate_limit (transfer);
  bool answered = forward->answer_kind == BURDOCK_ANSWER_STREAM ||
                  forward->answer_kind == BURDOCK_ANSWER_COMPLETE;

  if (per_s < 0 && !answered)
    return;
  if (!burdock_balancer_record_limit (balancer, forward->upstream.key, per_s,
                                      burdock_loop_now_us ()))
    return;
  if (per_s >= 0)
    burdock_log (BURDOCK_LOG_INFO, "upstream limited", forward->upstream.id,
                 "%.3f requests per second from all gateways", per_s);
  else
    burdock_log (BURDOCK_LOG_INFO, "upstream limited", forward->upstream.id,
                 "names no limit any more");
}

static void
record_pause (const BurdockForward *forward, BurdockHttpTransfer *transfer)
{
  uint32_t pause_ms = burdock_exchange_pause_ms (transfer, forward->http_status,
                                                 forward->caller.request_id);

  if (pause_ms == 0)
    return;
  burdock_balancer_pause (forward->gateway->traffic.balancer, forward->upstream.key,
                          pause_ms * US_PER_MS, burdock_loop_now_us ());
  burdock_log (BURDOCK_LOG_INFO, "upstream paused", forward->upstream.id,
               "wants no requests for %u ms", pause_ms);
}

static int
answer_head (void *ctx, BurdockHttpTransfer *transfer, int32_t http_status)
{
  BurdockForward *forward = ctx;
  uint32_t keep_alive_s = burdock_exchange_keep_alive_s (transfer);
  uint32_t *keep_alive_max_s = &forward->gateway->traffic.keep_alive_max_s;

  forward->http_status = http_status;
  forward->answer_kind = burdock_exchange_classify_answer (transfer, http_status,
                                                           forward->caller.request_id);
  if (keep_alive_s > KEEP_ALIVE_MARGIN_S &&
      (*keep_alive_max_s == 0 || keep_alive_s - KEEP_ALIVE_MARGIN_S < *keep_alive_max_s))
    *keep_alive_max_s = keep_alive_s - KEEP_ALIVE_MARGIN_S;
  record_pause (forward, transfer);
  if (forward->answer_kind == BURDOCK_ANSWER_INVALID)
    return -EPROTO;
  /* A misdirected answer comes from another upstream. */
  if (forward->answer_kind == BURDOCK_ANSWER_MISDIRECTED)
    return 0;
  record_limit (forward, transfer);
  burdock_gateway_cold_record_answer (forward->gateway, forward->upstream.key, transfer);
  if (burdock_exchange_is_leaving (transfer))
    burdock_gateway_leaving_note (forward->gateway, &forward->upstream);
  return 0;
}

/* The times of a cold upstream say nothing about those of others. */
static bool
is_slow (const BurdockForward *forward, uint64_t now_us)
{
  return burdock_balancer_is_slow (forward->gateway->traffic.balancer,
                                   forward->upstream.key, now_us);
}

static void
record_first_event (BurdockForward *forward, uint64_t now_us)
{
  BurdockGatewayCounters *counters = &forward->gateway->traffic.counters;
  uint64_t elapsed_ms = (now_us - forward->received_us) / US_PER_MS;
  uint32_t bucket = 0;

  forward->first_event_us = now_us;
  if (is_slow (forward, now_us))
    burdock_balancer_record_cold_time (forward->gateway->traffic.balancer,
                                       forward->upstream.key, true,
                                       now_us - forward->sent_us,
                                       forward->placement.times.first_part_us);
  else
    burdock_answer_times_record (forward->gateway->traffic.first_event_times,
                                 forward->route->name, forward->upstream.key,
                                 now_us - forward->sent_us, now_us);
  while (bucket < BURDOCK_HISTOGRAM_BUCKETS - 1 && elapsed_ms >> bucket > 0)
    bucket++;
  counters->first_event_ms[bucket]++;
}

static int
deliver_event (void *ctx, const char *event, uint32_t length_bytes)
{
  BurdockForward *forward = ctx;
  BurdockGatewayTraffic *traffic = &forward->gateway->traffic;
  uint64_t now_us = burdock_loop_now_us ();
  uint64_t gap_us =
      forward->attempt_event_count > 0 ? now_us - forward->last_event_us : 0;
  int status;

  if (!forward->answer_started) {
    forward->answer_started = true;
    forward->final_status = (uint32_t)forward->http_status;
    burdock_exchange_copy_headers (forward->transfer, forward->http_request);
    burdock_http_stream_start (forward->http_request, forward->final_status);
    record_first_event (forward, now_us);
  }
  if (forward->attempt_event_count == 0)
    burdock_part_quarantine_record_answer (traffic->quarantine, &forward->caller.prompt,
                                           now_us);
  if (gap_us > forward->longest_gap_us)
    forward->longest_gap_us = gap_us;
  burdock_balancer_record_event (traffic->balancer, forward->upstream.key, gap_us,
                                 forward->route->pause_ms, now_us);
  forward->attempt_event_count++;
  forward->last_event_us = now_us;
  /* An event that does not advance the stream is no sign that its upstream works. */
  if (!burdock_optional_equal (forward->event_stream.last_id, forward->last_activity_id))
    forward->last_activity_us = now_us;
  forward->last_activity_id = forward->event_stream.last_id;
  traffic->counters.events++;
  status = burdock_http_stream_write (forward->http_request, event, length_bytes);
  if (status < 0) {
    forward->caller_lost = true;
    burdock_log_subject (BURDOCK_LOG_INFO, "event not delivered",
                         forward->caller.request_id, forward->upstream.id,
                         "%s events %u bytes %u", strerror (-status),
                         forward->attempt_event_count, length_bytes);
  }
  return status;
}

/* A stream is read no faster than its caller reads it, as by a slower upstream. */
static bool
accepts_data (void *ctx)
{
  BurdockForward *forward = ctx;

  if (forward->answer_kind != BURDOCK_ANSWER_STREAM ||
      burdock_http_stream_waiting_bytes (forward->http_request) < PAUSE_WAITING_BYTES)
    return true;
  forward->reading_paused = true;
  forward->pause_began_us = burdock_loop_now_us ();
  return false;
}

uint64_t
burdock_forward_paused_us (const BurdockForward *forward, uint64_t now_us)
{
  return forward->paused_us +
         (forward->reading_paused ? now_us - forward->pause_began_us : 0);
}

/* The upstream is not to blame for the time of the pause. */
static void
end_pause (BurdockForward *forward, uint64_t now_us)
{
  if (!forward->reading_paused)
    return;
  forward->paused_us = burdock_forward_paused_us (forward, now_us);
  forward->reading_paused = false;
  forward->last_event_us = forward->last_activity_us = now_us;
}

void
burdock_forward_read_on (BurdockForward *forward, uint64_t now_us)
{
  if (burdock_http_stream_waiting_bytes (forward->http_request) >= RESUME_WAITING_BYTES)
    return;
  end_pause (forward, now_us);
  burdock_http_transfer_resume (forward->transfer);
}

static int
answer_data (void *ctx, const char *data, size_t length_bytes)
{
  BurdockForward *forward = ctx;

  if (forward->answer_kind != BURDOCK_ANSWER_STREAM)
    return buffer_body (forward, data, length_bytes);
  return burdock_event_stream_feed (&forward->event_stream, data, (uint32_t)length_bytes,
                                    deliver_event, forward);
}

static BurdockAttemptResult
failed_transfer_result (const BurdockForward *forward, const BurdockHttpResult *result)
{
  if (forward->answer_kind == BURDOCK_ANSWER_NOT_RUN)
    return BURDOCK_ATTEMPT_NOT_RUN;
  if (forward->answer_kind == BURDOCK_ANSWER_MISDIRECTED)
    return BURDOCK_ATTEMPT_MISDIRECTED;
  if (!result->sent)
    return BURDOCK_ATTEMPT_NOT_RUN;
  return forward->answer_started ? BURDOCK_ATTEMPT_TRUNCATED : BURDOCK_ATTEMPT_LOST;
}

static BurdockAttemptResult
complete_transfer_result (const BurdockForward *forward)
{
  switch (forward->answer_kind) {
  case BURDOCK_ANSWER_NOT_RUN:
    return BURDOCK_ATTEMPT_NOT_RUN;
  case BURDOCK_ANSWER_MISDIRECTED:
    return BURDOCK_ATTEMPT_MISDIRECTED;
  case BURDOCK_ANSWER_ERROR:
    return BURDOCK_ATTEMPT_ERROR;
  case BURDOCK_ANSWER_COMPLETE:
    /* An answer that is not a stream cannot resume one. */
    return forward->answer_started ? BURDOCK_ATTEMPT_TRUNCATED : BURDOCK_ATTEMPT_COMPLETE;
  case BURDOCK_ANSWER_STREAM:
    if (!burdock_event_stream_is_complete (&forward->event_stream))
      return forward->answer_started ? BURDOCK_ATTEMPT_TRUNCATED : BURDOCK_ATTEMPT_LOST;
    return BURDOCK_ATTEMPT_COMPLETE;
  default:
    return BURDOCK_ATTEMPT_LOST;
  }
}

static BurdockUpstreamOutcome
upstream_outcome (BurdockAttemptResult result, bool sent)
{
  switch (result) {
  case BURDOCK_ATTEMPT_COMPLETE:
    return BURDOCK_UPSTREAM_OK;
  case BURDOCK_ATTEMPT_NOT_RUN:
    return sent ? BURDOCK_UPSTREAM_BUSY : BURDOCK_UPSTREAM_UNREACHABLE;
  case BURDOCK_ATTEMPT_MISDIRECTED:
    return BURDOCK_UPSTREAM_REPLACED;
  default:
    return BURDOCK_UPSTREAM_FAILED;
  }
}

static void
log_failed_attempt (const BurdockForward *forward, BurdockAttemptResult attempt_result,
                    const BurdockHttpResult *result)
{
  char prompt[LOGGED_PROMPT_BYTES];
  char last_id[BURDOCK_OPTIONAL_BYTES];

  burdock_prompt_parts_format (&forward->caller.prompt, prompt, sizeof prompt);
  burdock_optional_format (forward->event_stream.last_id, last_id);
  burdock_log_subject (BURDOCK_LOG_INFO, "attempt failed", forward->caller.request_id,
                       forward->upstream.id,
                       "result %d status %d http %d form %d sent %d new %d after_ms %u "
                       "events %u last_id %s past_last_id %d prompt %s "
                       "digest %016" PRIx64 "%s%s",
                       attempt_result, result->status, result->http_status,
                       forward->answer_kind, result->sent, result->new_connection,
                       (uint32_t)((burdock_loop_now_us () - forward->sent_us) /
                                  US_PER_MS),
                       forward->attempt_event_count, last_id,
                       forward->event_stream.is_past_last_id, prompt, forward->digest,
                       result->malformed != NULL ? " malformed: " : "",
                       result->malformed != NULL ? result->malformed : "");
}

/* Whether the connection of an attempt ended before its answer, after it was sent. */
static bool
has_broken_off (BurdockAttemptResult attempt_result, const BurdockHttpResult *result)
{
  if (result->status == 0)
    return attempt_result == BURDOCK_ATTEMPT_LOST;
  return result->sent && result->status != -ETIMEDOUT;
}

static bool
is_leaving (const BurdockForward *forward, uint64_t now_us)
{
  return burdock_leaving_upstreams_contains (forward->gateway->traffic.leaving_upstreams,
                                             forward->upstream.key,
                                             forward->upstream.born_ms, now_us);
}

/* Tells the quarantine how an attempt ended that passed no event on. An event of an
 * earlier attempt shows that the request crashes nothing. */
static void
record_outcome (BurdockForward *forward, BurdockAttemptResult attempt_result,
                const BurdockHttpResult *result)
{
  bool begun =
      !forward->answer_started && (forward->answer_kind == BURDOCK_ANSWER_STREAM ||
                                   forward->answer_kind == BURDOCK_ANSWER_COMPLETE);
  BurdockPartQuarantine *quarantine = forward->gateway->traffic.quarantine;
  uint64_t now_us = burdock_loop_now_us ();
  bool broken = has_broken_off (attempt_result, result) && !is_leaving (forward, now_us);

  forward->attempt_broke = broken && begun;
  if (attempt_result == BURDOCK_ATTEMPT_COMPLETE)
    burdock_part_quarantine_record_answer (quarantine, &forward->caller.prompt, now_us);
  else if (broken)
    burdock_part_quarantine_record_break (quarantine, &forward->caller.prompt,
                                          forward->upstream.key, begun, now_us);
}

static void
record_answer_time (const BurdockForward *forward)
{
  uint64_t now_us = burdock_loop_now_us ();

  if (is_slow (forward, now_us)) {
    if (forward->route->kind != BURDOCK_ROUTE_STREAM)
      burdock_balancer_record_cold_time (forward->gateway->traffic.balancer,
                                         forward->upstream.key, true,
                                         now_us - forward->sent_us,
                                         forward->placement.times.work_us);
    return;
  }
  burdock_answer_times_record (forward->gateway->traffic.answer_times,
                               forward->route->name, forward->upstream.key,
                               now_us - forward->sent_us, now_us);
}

/* Whether an attempt has given the whole answer, not the rest of a stream. */
static bool
is_whole_answer (const BurdockForward *forward)
{
  return forward->route->kind != BURDOCK_ROUTE_STREAM ||
         (!forward->caller.resumes && forward->run_count == 0);
}

static void
record_stream (const BurdockForward *forward)
{
  if (forward->attempt_event_count > 1 && !is_slow (forward, burdock_loop_now_us ()))
    burdock_balancer_record_stream (forward->gateway->traffic.balancer,
                                    forward->upstream.key, forward->longest_gap_us,
                                    forward->route->pause_ms);
}

static void
answer_done (void *ctx, const BurdockHttpResult *result)
{
  BurdockForward *forward = ctx;
  BurdockAttemptResult attempt_result = result->status == 0
                                            ? complete_transfer_result (forward)
                                            : failed_transfer_result (forward, result);

  end_pause (forward, burdock_loop_now_us ());
  forward->attempt_sent = result->sent;
  record_stream (forward);
  if (result->new_connection)
    forward->gateway->traffic.counters.connections++;
  if (result->malformed != NULL)
    forward->gateway->traffic.counters.malformed++;
  if (attempt_result != BURDOCK_ATTEMPT_COMPLETE)
    log_failed_attempt (forward, attempt_result, result);
  else if (is_whole_answer (forward))
    record_answer_time (forward);
  if (forward->attempt_event_count == 0)
    record_outcome (forward, attempt_result, result);
  burdock_forward_attempt_ended (forward, attempt_result,
                                 forward->caller_lost
                                     ? BURDOCK_UPSTREAM_ABANDONED
                                     : upstream_outcome (attempt_result, result->sent));
}

static void
begin_attempt (BurdockForward *forward, uint64_t now_us)
{
  forward->phase = BURDOCK_FORWARD_SENT;
  forward->attempt_broke = false;
  forward->answer_kind = 0;
  forward->http_status = 0;
  forward->body_bytes = 0;
  forward->attempt_event_count = 0;
  forward->upstream_version = forward->gateway->upstream_version;
  forward->sent_us = forward->last_activity_us = now_us;
  burdock_event_stream_restart (&forward->event_stream);
  forward->send_count++;
}

static uint32_t
remaining_ms (const BurdockForward *forward, uint64_t now_us)
{
  if (forward->deadline_us <= now_us)
    return 0;
  return (uint32_t)((forward->deadline_us - now_us) / US_PER_MS);
}

void
burdock_forward_send (BurdockForward *forward)
{
  BurdockGatewayTraffic *traffic = &forward->gateway->traffic;
  uint64_t now_us = burdock_loop_now_us ();
  BurdockBytes body = burdock_http_body (forward->http_request);
  BurdockForwardHeaders headers = {
    .expected_upstream = forward->upstream.id,
    .workspace = forward->workspace,
    .forwards_api_key = !forward->table->has_workspaces,
    .remaining_ms = remaining_ms (forward, now_us),
    .resume_after = forward->event_stream.last_id,
  };
  char address[24];
  char url[40];
  BurdockHttpCall call = { .method = burdock_http_method (forward->http_request),
                           .url = url,
                           .target = burdock_http_target (forward->http_request),
                           .body = body.data,
                           .body_bytes = body.length_bytes,
                           .body_stays = true,
                           .at_most_once = true,
                           .max_idle_s = traffic->keep_alive_max_s,
                           .connect_timeout_ms =
                               burdock_attempt_connect_timeout_ms (headers.remaining_ms),
                           .ctx = forward,
                           .head = answer_head,
                           .accepts = accepts_data,
                           .data = answer_data,
                           .done = answer_done };
  int status;

  burdock_exchange_build_headers (forward->http_request, &headers, &forward->headers);
  begin_attempt (forward, now_us);
  burdock_address_format (forward->upstream.address, address, sizeof address);
  snprintf (url, sizeof url, "http://%s", address);
  call.headers = (const char *const *)forward->headers.lines;
  call.header_count = forward->headers.count;
  status = burdock_http_client_start_transfer (traffic->runtime.client, &call,
                                               &forward->transfer);
  burdock_header_lines_clear (&forward->headers);
  if (status < 0) {
    burdock_log_subject (BURDOCK_LOG_ERROR, "send request", forward->caller.request_id,
                         forward->upstream.id, "%s", strerror (-status));
    forward->transfer = NULL;
    burdock_forward_attempt_ended (forward, BURDOCK_ATTEMPT_NOT_RUN,
                                   BURDOCK_UPSTREAM_ABANDONED);
  }
}

void
burdock_forward_cancel (BurdockForward *forward, BurdockUpstreamOutcome outcome)
{
  if (forward->transfer == NULL)
    return;
  burdock_http_transfer_cancel (forward->transfer);
  forward->transfer = NULL;
  record_stream (forward);
  end_pause (forward, burdock_loop_now_us ());
  burdock_balancer_finish (forward->gateway->traffic.balancer, forward->upstream.key,
                           outcome, burdock_loop_now_us ());
}
