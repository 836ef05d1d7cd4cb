#include "attempts.h"
#include "endpoint.h"
#include "error.h"
#include "snapshot.h"
#include "stop-policy.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define LOAD_INTERVAL_US (500 * US_PER_MS)

/* Interval of load reports while the load differs from the last report by a quarter of
 * the capacity or more; bounds the number of reports when the load changes quickly. */
#define LOAD_MIN_INTERVAL_US (50 * US_PER_MS)

/* A peer that has sent no frame for this long gets no further load reports. */
#define PEER_TIMEOUT_US (30000 * US_PER_MS)

/* A leaving agent accepts attempts for this long, as entries may not have received the
 * notice yet. */
#define LEAVING_GRACE_US (2000 * US_PER_MS)

/* Far above the longest transit time of a frame on an open connection, so that duplicates
 * are recognised. */
#define TOMBSTONE_RETENTION_US (120000 * US_PER_MS)
#define TOMBSTONE_LIMIT 8192

/* Larger answers to non-idempotent calls are not kept with the tombstone. */
#define TOMBSTONE_BODY_MAX_BYTES 4096

/* If the engine does not confirm a cancel within this time, the attempt ends with
 * -ETIMEDOUT. */
#define CANCEL_TIMEOUT_US (2000 * US_PER_MS)

/* The same at the end of a planned stop, when the process has little time left. */
#define GIVE_UP_TIMEOUT_US (250 * US_PER_MS)

typedef struct {
  BurdockAddress address;
  uint64_t last_received_us;
} ExecutorPeer;

struct BurdockExecutor {
  BurdockEndpoint endpoint;
  BurdockSnapshot *snapshot;
  BurdockAttempts *attempts;
  uint32_t capacity;
  uint32_t peer_count;
  uint32_t peer_allocated;
  ExecutorPeer *peers;
  uint64_t leaving_since_us; /* 0 while not leaving */
  BurdockStopPolicy stop;
  bool given_up; /* the attempts were ended at the end of the stop */
  uint64_t load_sent_us;
  uint32_t load_sent_running;
  bool load_urgent;
  uint32_t mean_token_interval_us; /* moving average over all streams */
};

BurdockExecutor *
burdock_executor_new (const BurdockSettings *settings, const BurdockEnv *env)
{
  BurdockExecutor *executor = calloc (1, sizeof *executor);

  burdock_endpoint_init (&executor->endpoint, settings, env);
  executor->attempts = burdock_attempts_new (TOMBSTONE_LIMIT, TOMBSTONE_RETENTION_US);
  executor->capacity = settings->capacity;
  return executor;
}

void
burdock_executor_free (BurdockExecutor *executor)
{
  if (executor == NULL)
    return;
  burdock_attempts_free (executor->attempts);
  burdock_snapshot_unref (executor->snapshot);
  burdock_endpoint_clear (&executor->endpoint);
  free (executor->peers);
  free (executor);
}

static uint32_t
running_count (const BurdockExecutor *executor)
{
  return burdock_attempts_running_count (executor->attempts);
}

/* Load reports */

static void
send_load (BurdockExecutor *executor, BurdockAddress to)
{
  uint32_t capacity = executor->capacity;
  uint32_t in_flight = running_count (executor);
  BurdockMessage message = { .header.type = BURDOCK_MSG_LOAD };

  message.load = (BurdockLoadMessage){
    .running = capacity > 0 && in_flight > capacity ? capacity : in_flight,
    .queued = capacity > 0 && in_flight > capacity ? in_flight - capacity : 0,
    .capacity = capacity,
    .step_time_us = executor->mean_token_interval_us,
    .generation = executor->snapshot != NULL ? executor->snapshot->generation : 0,
    .leaving = executor->leaving_since_us != 0,
  };
  burdock_endpoint_send (&executor->endpoint, to, &message);
}

static void
send_load_to_all (BurdockExecutor *executor, uint64_t now_us)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < executor->peer_count; i++) {
    if (executor->peers[i].last_received_us + PEER_TIMEOUT_US <= now_us)
      continue;
    executor->peers[kept++] = executor->peers[i];
    send_load (executor, executor->peers[kept - 1].address);
  }
  executor->peer_count = kept;
  executor->load_sent_us = now_us;
  executor->load_sent_running = running_count (executor);
  executor->load_urgent = false;
}

/* Returns when the next load report is due, 0 for now. */
static uint64_t
load_due_us (const BurdockExecutor *executor)
{
  uint32_t now_running = running_count (executor);
  uint32_t sent = executor->load_sent_running;
  uint32_t change = now_running > sent ? now_running - sent : sent - now_running;
  bool significant =
      executor->capacity > 0 && change * 4 >= executor->capacity && change > 0;

  if (executor->load_urgent)
    return 0;
  return executor->load_sent_us + (significant ? LOAD_MIN_INTERVAL_US : LOAD_INTERVAL_US);
}

static bool
same_address (BurdockAddress a, BurdockAddress b)
{
  return a.ipv4 == b.ipv4 && a.port == b.port;
}

/* Updates the time of the last frame from a peer; returns true if the peer is new. */
static bool
record_peer (BurdockExecutor *executor, BurdockAddress from, uint64_t now_us)
{
  for (uint32_t i = 0; i < executor->peer_count; i++) {
    if (same_address (executor->peers[i].address, from)) {
      executor->peers[i].last_received_us = now_us;
      return false;
    }
  }
  if (executor->peer_count == executor->peer_allocated) {
    executor->peer_allocated = executor->peer_allocated * 2 + 8;
    executor->peers =
        realloc (executor->peers, executor->peer_allocated * sizeof *executor->peers);
  }
  executor->peers[executor->peer_count++] =
      (ExecutorPeer){ .address = from, .last_received_us = now_us };
  return true;
}

/* Outcomes sent to the entry */

static void
send_refused (BurdockExecutor *executor, const BurdockAttempt *attempt)
{
  BurdockMessage message = { .header.type = BURDOCK_MSG_ATTEMPT_REFUSED };

  message.header.target_incarnation = attempt->id.entry_incarnation;
  message.attempt_refused = (BurdockAttemptRefusedMessage){
    .request_id = attempt->id.request_id,
    .attempt = (uint32_t)attempt->id.attempt,
    .reason = attempt->reason,
    .generation = attempt->generation,
  };
  burdock_endpoint_send (&executor->endpoint, attempt->from, &message);
}

static void
send_done (BurdockExecutor *executor, const BurdockAttempt *attempt, BurdockBytes body)
{
  BurdockMessage message = { .header.type = BURDOCK_MSG_ATTEMPT_DONE };

  message.header.target_incarnation = attempt->id.entry_incarnation;
  message.attempt_done = (BurdockAttemptDoneMessage){
    .request_id = attempt->id.request_id,
    .attempt = (uint32_t)attempt->id.attempt,
    .status = attempt->status,
    .ran = attempt->ran,
    .token_count = attempt->token_count,
    .body = body,
  };
  burdock_endpoint_send (&executor->endpoint, attempt->from, &message);
}

static void
refuse_attempt (BurdockExecutor *executor, BurdockAttempt *attempt, BurdockReason reason)
{
  BurdockEndpoint *endpoint = &executor->endpoint;

  attempt->reason = reason;
  attempt->generation = executor->snapshot != NULL ? executor->snapshot->generation : 0;
  send_refused (executor, attempt);
  burdock_count (&endpoint->counters, BURDOCK_COUNTER_ATTEMPTS_REFUSED, 1);
  burdock_timeline_add (endpoint->timeline, BURDOCK_LOG_DEBUG, BURDOCK_EVENT_REFUSAL,
                        "attempt refused", "-", "-", "%s", burdock_reason_name (reason));
  burdock_attempts_end (executor->attempts, attempt, BURDOCK_ATTEMPT_REFUSED,
                        burdock_endpoint_now (endpoint));
}

static void
finish_attempt (BurdockExecutor *executor, BurdockAttempt *attempt, int32_t status,
                BurdockBytes body)
{
  attempt->status = status;
  attempt->ran = status == 0 ? BURDOCK_RAN_YES : BURDOCK_RAN_UNKNOWN;
  if (status == 0 && !attempt->idempotent && body.length_bytes > 0 &&
      body.length_bytes <= TOMBSTONE_BODY_MAX_BYTES) {
    attempt->body = malloc (body.length_bytes);
    memcpy (attempt->body, body.data, body.length_bytes);
    attempt->body_bytes = body.length_bytes;
  }
  send_done (executor, attempt, body);
  burdock_attempts_end (executor->attempts, attempt, BURDOCK_ATTEMPT_ENDED,
                        burdock_endpoint_now (&executor->endpoint));
}

/* Attempts */

static BurdockReason
reason_to_refuse (const BurdockExecutor *executor, const BurdockAttemptMessage *message,
                  uint64_t now_us)
{
  const BurdockSnapshot *snapshot = executor->snapshot;
  uint32_t capacity = executor->capacity;

  if (snapshot == NULL)
    return BURDOCK_REASON_NO_CONFIG;
  if (snapshot->refusal != BURDOCK_REASON_NONE &&
      snapshot->refusal != BURDOCK_REASON_LEAVING)
    return snapshot->refusal;
  if (executor->leaving_since_us != 0 &&
      now_us >= executor->leaving_since_us + LEAVING_GRACE_US)
    return BURDOCK_REASON_LEAVING;
  if (!burdock_stop_policy_admits (&executor->stop,
                                   now_us + message->deadline_ms * US_PER_MS))
    return BURDOCK_REASON_LEAVING;
  if (message->generation < snapshot->generation)
    return BURDOCK_REASON_STALE_GENERATION;
  if (message->deadline_ms == 0)
    return BURDOCK_REASON_DEADLINE;
  /* Up to half of the capacity may queue at the engine, since several entries may send
   * attempts based on the same load report. The new attempt is already counted here. */
  if (capacity > 0 && running_count (executor) > capacity + capacity / 2)
    return BURDOCK_REASON_OVERLOAD;
  return BURDOCK_REASON_NONE;
}

static int
start_at_engine (BurdockExecutor *executor, const BurdockAttempt *attempt,
                 const BurdockAttemptMessage *message)
{
  const BurdockEnv *env = &executor->endpoint.env;
  BurdockEngineCall call = {
    .id = attempt->engine_id,
    .op = message->service ? BURDOCK_ENGINE_CALL : BURDOCK_ENGINE_GENERATE,
    .priority = message->priority < BURDOCK_PRIORITY_COUNT
                    ? (BurdockPriority)message->priority
                    : BURDOCK_PRIORITY_NORMAL,
    .resume_from = message->resume_from,
    .body = message->body,
    .delivered = message->delivered,
    .idempotent = message->idempotent,
    .timeout_ms = message->deadline_ms,
  };

  burdock_copy_name (call.key, sizeof call.key, message->key);
  burdock_copy_name (call.workspace, sizeof call.workspace, message->workspace);
  burdock_copy_name (call.model, sizeof call.model, message->model);
  burdock_copy_name (call.adapter, sizeof call.adapter, message->adapter);
  burdock_copy_name (call.version, sizeof call.version, message->version);
  return env->engine (env->ctx, &call);
}

/* Answers a duplicate frame with the stored outcome, if there is one. The attempt does
 * not run again. */
static void
resend_outcome (BurdockExecutor *executor, const BurdockAttempt *attempt)
{
  if (attempt->state == BURDOCK_ATTEMPT_REFUSED)
    send_refused (executor, attempt);
  else if (attempt->state == BURDOCK_ATTEMPT_ENDED && attempt->service &&
           (attempt->status < 0 || attempt->body != NULL))
    send_done (executor, attempt, (BurdockBytes){ attempt->body, attempt->body_bytes });
}

/* Answers a frame whose attempt may have run at an earlier incarnation, or may have run
 * and had its tombstone evicted. */
static void
send_unknown_outcome (BurdockExecutor *executor, BurdockAddress from,
                      const BurdockAttemptId *id)
{
  BurdockAttempt attempt = {
    .id = *id, .from = from, .status = -ESTALE, .ran = BURDOCK_RAN_UNKNOWN
  };

  send_done (executor, &attempt, (BurdockBytes){ 0 });
}

static void
receive_attempt (BurdockExecutor *executor, BurdockAddress from,
                 const BurdockMessage *message, const BurdockAttemptId *id)
{
  const BurdockAttemptMessage *body = &message->attempt;
  uint64_t now_us = burdock_endpoint_now (&executor->endpoint);
  BurdockAttempt *attempt = burdock_attempts_find (executor->attempts, id);
  BurdockReason reason;

  if (attempt != NULL) {
    resend_outcome (executor, attempt);
    return;
  }
  if (message->header.target_incarnation != executor->endpoint.incarnation ||
      burdock_attempts_may_be_duplicate (executor->attempts, message->header.hlc)) {
    send_unknown_outcome (executor, from, id);
    return;
  }
  attempt = burdock_attempts_add (executor->attempts, id, message->header.hlc);
  attempt->from = from;
  attempt->service = body->service;
  attempt->idempotent = body->idempotent;
  attempt->resume_from = body->resume_from;
  attempt->next_index = body->resume_from;
  attempt->deadline_us = now_us + body->deadline_ms * US_PER_MS;
  reason = reason_to_refuse (executor, body, now_us);
  if (reason != BURDOCK_REASON_NONE) {
    refuse_attempt (executor, attempt, reason);
    return;
  }
  burdock_count (&executor->endpoint.counters, BURDOCK_COUNTER_ATTEMPTS, 1);
  if (start_at_engine (executor, attempt, body) < 0)
    refuse_attempt (executor, attempt, BURDOCK_REASON_UPSTREAM_FAILED);
}

static void
cancel_at_engine (BurdockExecutor *executor, BurdockAttempt *attempt)
{
  const BurdockEnv *env = &executor->endpoint.env;
  uint64_t timeout_us = executor->given_up ? GIVE_UP_TIMEOUT_US : CANCEL_TIMEOUT_US;
  uint64_t give_up_us = burdock_endpoint_now (&executor->endpoint) + timeout_us;
  BurdockEngineCall call = { .op = BURDOCK_ENGINE_CANCEL,
                             .target_id = attempt->engine_id };

  if (!attempt->cancelled || give_up_us < attempt->deadline_us)
    attempt->deadline_us = give_up_us;
  if (attempt->cancelled)
    return;
  attempt->cancelled = true;
  env->engine (env->ctx, &call);
}

/* Planned stop */

void
burdock_executor_begin_stop (BurdockExecutor *executor, uint64_t end_us)
{
  burdock_stop_policy_begin (&executor->stop, burdock_endpoint_now (&executor->endpoint),
                             end_us);
}

void
burdock_executor_give_up (BurdockExecutor *executor)
{
  BurdockEndpoint *endpoint = &executor->endpoint;
  BurdockAttempt *next;

  burdock_timeline_add (endpoint->timeline, BURDOCK_LOG_WARNING, BURDOCK_EVENT_DRAIN,
                        "attempts given up", "-", endpoint->name, "%u running",
                        running_count (executor));
  burdock_executor_begin_stop (executor, burdock_endpoint_now (endpoint));
  executor->given_up = true;
  for (BurdockAttempt *attempt = burdock_attempts_first_running (executor->attempts);
       attempt != NULL; attempt = next) {
    next = attempt->next;
    cancel_at_engine (executor, attempt);
  }
}

static void
receive_cancel (BurdockExecutor *executor, BurdockAddress from, uint64_t hlc,
                const BurdockAttemptId *id)
{
  BurdockAttempt *attempt = burdock_attempts_find (executor->attempts, id);

  if (attempt != NULL && attempt->state == BURDOCK_ATTEMPT_RUNNING)
    cancel_at_engine (executor, attempt);
  if (attempt != NULL)
    return;
  /* Either the attempt has been evicted, and a late frame of it is not started anyway, or
   * its frame has yet to arrive, and a tombstone makes sure that it is refused. */
  if (burdock_attempts_may_be_duplicate (executor->attempts, hlc))
    return;
  attempt = burdock_attempts_add (executor->attempts, id, hlc);
  attempt->from = from;
  attempt->reason = BURDOCK_REASON_CANCELLED;
  burdock_attempts_end (executor->attempts, attempt, BURDOCK_ATTEMPT_REFUSED,
                        burdock_endpoint_now (&executor->endpoint));
}

int
burdock_executor_receive (BurdockExecutor *executor, BurdockAddress from,
                          const uint8_t *frame, uint32_t length_bytes)
{
  BurdockEndpoint *endpoint = &executor->endpoint;
  BurdockMessage message;
  BurdockAttemptId id = { 0 };
  uint64_t target;
  int status = burdock_endpoint_decode (endpoint, from, frame, length_bytes, &message);

  if (status < 0)
    return status;
  target = message.header.target_incarnation;
  id.entry_incarnation = message.header.sender_incarnation;
  if (record_peer (executor, from, burdock_endpoint_now (endpoint)))
    send_load (executor, from);
  switch (message.header.type) {
  case BURDOCK_MSG_ATTEMPT:
    id.request_id = message.attempt.request_id;
    id.attempt = message.attempt.attempt;
    receive_attempt (executor, from, &message, &id);
    return 0;
  case BURDOCK_MSG_ATTEMPT_CANCEL:
    if (target != endpoint->incarnation)
      return -ESTALE;
    id.request_id = message.attempt_cancel.request_id;
    id.attempt = message.attempt_cancel.attempt;
    receive_cancel (executor, from, message.header.hlc, &id);
    return 0;
  case BURDOCK_MSG_LOAD: /* entries open a connection with an empty load report */
    return 0;
  default:
    return -ENOSYS;
  }
}

void
burdock_executor_peer_lost (BurdockExecutor *executor, BurdockAddress peer)
{
  BurdockAttempt *next;

  for (uint32_t i = 0; i < executor->peer_count; i++) {
    if (same_address (executor->peers[i].address, peer))
      executor->peers[i--] = executor->peers[--executor->peer_count];
  }
  for (BurdockAttempt *attempt = burdock_attempts_first_running (executor->attempts);
       attempt != NULL; attempt = next) {
    next = attempt->next;
    /* Non-idempotent work runs to its end, and its tombstone keeps the outcome. */
    if (same_address (attempt->from, peer) && attempt->idempotent)
      cancel_at_engine (executor, attempt);
  }
}

/* Engine events */

static void
forward_token (BurdockExecutor *executor, BurdockAttempt *attempt,
               const BurdockEngineEvent *event)
{
  uint64_t now_us = burdock_endpoint_now (&executor->endpoint);
  BurdockMessage message; /* not zeroed: the union is much larger than a token message */

  if (event->index != attempt->next_index || attempt->cancelled)
    return;
  if (attempt->last_token_us != 0) {
    uint64_t interval_us = now_us - attempt->last_token_us;

    executor->mean_token_interval_us =
        (uint32_t)((executor->mean_token_interval_us * UINT64_C (7) + interval_us) / 8);
  }
  attempt->last_token_us = now_us;
  attempt->next_index++;
  message.header =
      (BurdockMessageHeader){ .type = BURDOCK_MSG_TOKEN,
                              .target_incarnation = attempt->id.entry_incarnation };
  message.token = (BurdockTokenMessage){
    .request_id = attempt->id.request_id,
    .attempt = (uint32_t)attempt->id.attempt,
    .index = event->index,
    .text = event->body,
  };
  burdock_endpoint_send (&executor->endpoint, attempt->from, &message);
  burdock_count (&executor->endpoint.counters, BURDOCK_COUNTER_TOKENS, 1);
}

/* A failure counts as not run only if the engine refused the call, or was not reached,
 * before the first token. */
static void
handle_engine_end (BurdockExecutor *executor, BurdockAttempt *attempt,
                   const BurdockEngineEvent *event)
{
  bool failed = event->kind == BURDOCK_ENGINE_EVENT_FAILED;
  bool not_run = failed && attempt->next_index == attempt->resume_from &&
                 (event->status == -ECONNREFUSED || event->status == -EAGAIN);
  int32_t status = 0;

  if (not_run) {
    refuse_attempt (executor, attempt,
                    executor->given_up         ? BURDOCK_REASON_LEAVING
                    : attempt->cancelled       ? BURDOCK_REASON_CANCELLED
                    : event->status == -EAGAIN ? BURDOCK_REASON_OVERLOAD
                                               : BURDOCK_REASON_UPSTREAM_FAILED);
    return;
  }
  attempt->token_count = event->token_count;
  if (failed)
    status = event->status < 0 ? event->status : -EIO;
  else if (!attempt->service && event->token_count != attempt->next_index)
    status = -EPROTO;
  finish_attempt (executor, attempt, status, failed ? (BurdockBytes){ 0 } : event->body);
}

void
burdock_executor_engine_event (BurdockExecutor *executor, const BurdockEngineEvent *event)
{
  BurdockAttempt *attempt =
      burdock_attempts_find_by_engine_id (executor->attempts, event->id);

  if (attempt == NULL || event->op == BURDOCK_ENGINE_CANCEL)
    return;
  if (event->kind == BURDOCK_ENGINE_EVENT_TOKEN)
    forward_token (executor, attempt, event);
  else
    handle_engine_end (executor, attempt, event);
}

void
burdock_executor_set_snapshot (BurdockExecutor *executor, BurdockSnapshot *snapshot)
{
  bool leaving = snapshot->refusal == BURDOCK_REASON_LEAVING;

  if (leaving && executor->leaving_since_us == 0) {
    executor->leaving_since_us = burdock_endpoint_now (&executor->endpoint);
    executor->load_urgent = true;
    burdock_timeline_add (executor->endpoint.timeline, BURDOCK_LOG_INFO,
                          BURDOCK_EVENT_DRAIN, "drain started", "-",
                          executor->endpoint.name, "%u attempts running",
                          running_count (executor));
  }
  burdock_snapshot_unref (executor->snapshot);
  executor->snapshot = snapshot;
  if (leaving && executor->load_urgent)
    send_load_to_all (executor, burdock_endpoint_now (&executor->endpoint));
}

/* Cancels attempts whose deadline has passed, ends those whose cancel was not confirmed
 * in time, and evicts old tombstones. Returns the next deadline. */
static uint64_t
expire_attempts (BurdockExecutor *executor, uint64_t now_us)
{
  uint64_t next_us = UINT64_MAX;
  BurdockAttempt *next;

  for (BurdockAttempt *attempt = burdock_attempts_first_running (executor->attempts);
       attempt != NULL; attempt = next) {
    next = attempt->next;
    if (attempt->deadline_us <= now_us && attempt->cancelled) {
      finish_attempt (executor, attempt, -ETIMEDOUT, (BurdockBytes){ 0 });
      continue;
    }
    if (attempt->deadline_us <= now_us)
      cancel_at_engine (executor, attempt);
    if (attempt->deadline_us < next_us)
      next_us = attempt->deadline_us;
  }
  burdock_attempts_expire (executor->attempts, now_us);
  return next_us;
}

uint64_t
burdock_executor_tick (BurdockExecutor *executor)
{
  uint64_t now_us = burdock_endpoint_now (&executor->endpoint);
  uint64_t next_us = expire_attempts (executor, now_us);
  uint64_t due_us = load_due_us (executor);

  if (due_us <= now_us) {
    send_load_to_all (executor, now_us);
    due_us = load_due_us (executor);
  }
  return due_us < next_us ? due_us : next_us;
}

void
burdock_executor_usage (const BurdockExecutor *executor, BurdockUsage *out)
{
  uint32_t capacity = executor->capacity;
  uint32_t in_flight = running_count (executor);

  *out = (BurdockUsage){ .running = in_flight };
  if (capacity > 0 && in_flight > capacity) {
    out->running = capacity;
    out->queued = in_flight - capacity;
  }
}

uint32_t
burdock_executor_in_flight (const BurdockExecutor *executor)
{
  return running_count (executor);
}

char *
burdock_executor_metrics (const BurdockExecutor *executor)
{
  return burdock_counters_text (&executor->endpoint.counters, "executor");
}

char *
burdock_executor_timeline (const BurdockExecutor *executor)
{
  return burdock_timeline_json (executor->endpoint.timeline, executor->endpoint.name);
}
