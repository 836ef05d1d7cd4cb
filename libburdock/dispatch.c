#include "dispatcher-private.h"

#include "error.h"

#include <errno.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* Attempt number from which a request is not retried if its last attempt may have run:
 * each such attempt may cost a full execution. */
#define ATTEMPTS_MAX 5

/* Attempt number, refusals included, from which a request is not retried at all. */
#define ATTEMPTS_AND_REFUSALS_MAX 24

#define CLAIM_DEADLINE_MS 2000

/* How long an agent is ejected after a frame to it could not be sent, and after it
 * refused an attempt for overload. */
#define EJECT_UNREACHABLE_US (1000 * US_PER_MS)
#define EJECT_OVERLOADED_US (100 * US_PER_MS)

typedef enum {
  START_DEQUEUED = 1, /* started or refused; the request has left the queue */
  START_BLOCKED,      /* this request has to wait, others of the pool need not */
  START_POOL_FULL,    /* every usable upstream of the pool is full */
} StartOutcome;

static void
deliver (BurdockDispatcher *dispatcher, const BurdockDelivery *delivery)
{
  const BurdockEnv *env = &dispatcher->endpoint.env;

  env->deliver (env->ctx, delivery);
}

static void
remove_request (BurdockDispatcher *dispatcher, BurdockRequestState *state)
{
  burdock_admission_remove (dispatcher->admission, state);
  burdock_requests_remove (dispatcher->requests, state);
}

/* Releases the router and admission counts of an attempt; the caller sets the phase. */
static void
release_attempt (BurdockDispatcher *dispatcher, BurdockRequestState *state)
{
  if (state->phase == BURDOCK_REQUEST_RUNNING)
    burdock_router_attempt_ended (dispatcher->router, state->agent_id,
                                  state->agent_incarnation);
  burdock_admission_release (dispatcher->admission, state);
}

/* Adds an event to the time line, with the agent and number of the last attempt. */
static void
record_event (BurdockDispatcher *dispatcher, const BurdockRequestState *state,
              BurdockEventKind kind, const char *step, const char *reason)
{
  char peer[24] = "-";

  if (state->agent_address.port != 0)
    burdock_address_format (state->agent_address, peer, sizeof peer);
  burdock_timeline_add (dispatcher->endpoint.timeline, BURDOCK_LOG_DEBUG, kind, step,
                        peer, state->request.key, "attempt %u, %u tokens, %s",
                        state->attempt, state->next_index, reason);
}

/* Answers */

void
burdock_dispatch_answer (BurdockDispatcher *dispatcher, BurdockRequestState *state,
                         BurdockBytes body)
{
  const BurdockRequest *request = &state->request;
  uint64_t now_us = burdock_endpoint_now (&dispatcher->endpoint);
  BurdockDelivery delivery = { .handle = request->handle,
                               .kind = BURDOCK_DELIVERY_END,
                               .token_count = state->next_index,
                               .body = body,
                               .ran = BURDOCK_RAN_YES };

  record_event (dispatcher, state, BURDOCK_EVENT_DECISION, "answered", "whole");
  burdock_admission_record_success (dispatcher->admission, state, now_us);
  release_attempt (dispatcher, state);
  if (!request->idempotent && request->service[0] != '\0')
    burdock_outcomes_answer (dispatcher->outcomes, request->workspace, request->key,
                             state->id, body);
  if (state->claim != NULL)
    burdock_claims_keep (state->claim);
  deliver (dispatcher, &delivery);
  burdock_count (&dispatcher->endpoint.counters, BURDOCK_COUNTER_ANSWERED, 1);
  remove_request (dispatcher, state);
}

void
burdock_dispatch_deliver_refusal (BurdockDispatcher *dispatcher,
                                  BurdockRequestState *state)
{
  BurdockEndpoint *endpoint = &dispatcher->endpoint;
  BurdockDelivery delivery = { .handle = state->request.handle,
                               .kind = state->next_index > 0 ? BURDOCK_DELIVERY_BROKEN
                                                             : BURDOCK_DELIVERY_REFUSED,
                               .token_count = state->next_index,
                               .reason = state->refusal,
                               .ran = state->refusal_ran };
  bool not_run = state->refusal_ran == BURDOCK_RAN_NOT_RUN;

  burdock_timeline_add (endpoint->timeline, BURDOCK_LOG_DEBUG, BURDOCK_EVENT_REFUSAL,
                        "request refused", "-", state->request.key, "%s, %s",
                        burdock_reason_name (state->refusal),
                        not_run ? "not-run" : "unknown");
  burdock_count (&endpoint->counters,
                 not_run ? BURDOCK_COUNTER_REFUSED_NOT_RUN : BURDOCK_COUNTER_UNKNOWN, 1);
  deliver (dispatcher, &delivery);
  remove_request (dispatcher, state);
}

void
burdock_dispatch_refuse (BurdockDispatcher *dispatcher, BurdockRequestState *state,
                         BurdockReason reason)
{
  const BurdockRequest *request = &state->request;
  BurdockClaim *claim = state->claim;
  bool claiming = state->phase == BURDOCK_REQUEST_CLAIMING;
  /* An earlier request with the key may have run. */
  bool key_unknown = !request->idempotent && reason == BURDOCK_REASON_STORE_DOWN &&
                     burdock_claims_is_blocked (dispatcher->claims);
  bool not_run;

  if (state->phase == BURDOCK_REQUEST_RUNNING)
    state->may_have_run = true;
  not_run = !state->may_have_run && reason != BURDOCK_REASON_CLAIMED;
  release_attempt (dispatcher, state);
  burdock_admission_dequeue (dispatcher->admission, state);
  state->phase = BURDOCK_REQUEST_RELEASING;
  state->refusal = reason;
  state->refusal_ran =
      not_run && !key_unknown ? BURDOCK_RAN_NOT_RUN : BURDOCK_RAN_UNKNOWN;
  state->claim = NULL;
  if (not_run && !request->idempotent)
    burdock_outcomes_remove (dispatcher->outcomes, request->workspace, request->key,
                             state->id);
  if (claim != NULL && claiming)
    burdock_claims_abandon (claim);
  else if (claim != NULL && not_run) {
    if (burdock_claims_release (claim))
      return;
  } else if (claim != NULL)
    burdock_claims_keep (claim);
  burdock_dispatch_deliver_refusal (dispatcher, state);
}

void
burdock_dispatch_end_answer (BurdockDispatcher *dispatcher, BurdockRequestState *state,
                             const char *why)
{
  record_event (dispatcher, state, BURDOCK_EVENT_FAULT, "answer ended", why);
  burdock_count (&dispatcher->endpoint.counters, BURDOCK_COUNTER_ANSWERS_TOO_LARGE, 1);
  if (state->phase == BURDOCK_REQUEST_RUNNING)
    burdock_dispatch_cancel_attempt (dispatcher, state);
  burdock_dispatch_refuse (dispatcher, state, BURDOCK_REASON_UPSTREAM_FAILED);
}

void
burdock_dispatch_drop (BurdockDispatcher *dispatcher, BurdockRequestState *state)
{
  const BurdockRequest *request = &state->request;
  bool running = state->phase == BURDOCK_REQUEST_RUNNING;

  if (running)
    burdock_dispatch_cancel_attempt (dispatcher, state);
  if (!running && !state->may_have_run && !request->idempotent)
    burdock_outcomes_remove (dispatcher->outcomes, request->workspace, request->key,
                             state->id);
  if (state->claim != NULL && (running || state->may_have_run))
    burdock_claims_keep (state->claim);
  else if (state->claim != NULL)
    burdock_claims_abandon (state->claim);
  release_attempt (dispatcher, state);
  remove_request (dispatcher, state);
}

/* Attempts */

static void
fill_attempt (const BurdockDispatcher *dispatcher, const BurdockRequestState *state,
              uint64_t now_us, BurdockMessage *message)
{
  const BurdockRequest *request = &state->request;
  BurdockAttemptMessage *body = &message->attempt;

  *message = (BurdockMessage){ .header.type = BURDOCK_MSG_ATTEMPT };
  message->header.target_incarnation = state->agent_incarnation;
  body->request_id = state->id;
  body->attempt = state->attempt;
  body->generation = dispatcher->snapshot->generation;
  body->service = request->service[0] != '\0';
  body->idempotent = request->idempotent;
  body->priority = state->priority;
  body->deadline_ms = (uint32_t)((state->deadline_us - now_us) / US_PER_MS);
  body->resume_from = state->next_index;
  body->body = request->body;
  body->delivered = (BurdockBytes){ state->delivered, state->delivered_bytes };
  burdock_copy_name (body->key, sizeof body->key, request->key);
  burdock_copy_name (body->workspace, sizeof body->workspace, request->workspace);
  burdock_copy_name (body->model, sizeof body->model, request->model);
  burdock_copy_name (body->adapter, sizeof body->adapter, request->adapter);
  burdock_copy_name (body->version, sizeof body->version, request->version);
}

static BurdockRouteQuery
make_query (const BurdockRequestState *state)
{
  return (BurdockRouteQuery){
    .pool = state->pool->name,
    .service = state->request.service[0] != '\0',
    .priority = state->priority,
    .prefix_count = state->prefix_count,
    .prefixes = state->prefixes,
    .tried_count = state->tried_count,
    .tried = state->tried,
  };
}

static int
pick_upstream (BurdockDispatcher *dispatcher, const BurdockRequestState *state,
               uint64_t now_us, BurdockUpstreamRef *upstream)
{
  BurdockRouteQuery query = make_query (state);

  return burdock_router_pick (dispatcher->router, &query, now_us,
                              burdock_endpoint_random (&dispatcher->endpoint), upstream);
}

/* Remembers the last BURDOCK_TRIED_MAX agents that failed this request. */
static void
add_tried (BurdockRequestState *state, uint64_t id)
{
  state->tried[state->tried_count % BURDOCK_TRIED_MAX] = id;
  if (state->tried_count < BURDOCK_TRIED_MAX)
    state->tried_count++;
}

static void
requeue (BurdockDispatcher *dispatcher, BurdockRequestState *state, uint64_t delay_us)
{
  burdock_admission_release (dispatcher->admission, state);
  state->phase = BURDOCK_REQUEST_WAITING;
  state->not_before_us = burdock_endpoint_now (&dispatcher->endpoint) + delay_us;
  burdock_admission_requeue (dispatcher->admission, state);
}

static void
send_attempt (BurdockDispatcher *dispatcher, BurdockRequestState *state,
              const BurdockUpstreamRef *upstream, uint64_t now_us)
{
  BurdockEndpoint *endpoint = &dispatcher->endpoint;
  BurdockMessage message;
  int status;

  burdock_admission_admit (dispatcher->admission, state);
  state->attempt++;
  state->agent_id = upstream->id;
  state->agent_incarnation = upstream->incarnation;
  state->agent_address = upstream->address;
  state->last_progress_us = now_us;
  if (state->started_us == 0)
    state->started_us = now_us;
  fill_attempt (dispatcher, state, now_us, &message);
  status = burdock_endpoint_send (endpoint, upstream->address, &message);
  if (status == 0) {
    state->phase = BURDOCK_REQUEST_RUNNING;
    burdock_router_attempt_started (dispatcher->router, upstream->id,
                                    &(BurdockRouteQuery){ .prefix_count =
                                                              state->prefix_count,
                                                          .prefixes = state->prefixes },
                                    now_us);
    record_event (dispatcher, state, BURDOCK_EVENT_DECISION, "attempt sent",
                  state->next_index > 0 ? "resumed" : "from the start");
    burdock_count (&endpoint->counters, BURDOCK_COUNTER_ATTEMPTS, 1);
    if (state->next_index > 0)
      burdock_count (&endpoint->counters, BURDOCK_COUNTER_RESUMES, 1);
    return;
  }
  /* The frame was not sent, so the attempt has not run and may be retried safely. */
  burdock_router_eject (dispatcher->router, upstream->id, now_us + EJECT_UNREACHABLE_US);
  burdock_dispatch_attempt_failed (dispatcher, state,
                                   status == -EMSGSIZE ? BURDOCK_REASON_BAD_REQUEST
                                                       : BURDOCK_REASON_UPSTREAM_FAILED,
                                   true);
}

/* Writes the claim of a non-idempotent request. Its first attempt is sent only once the
 * store has confirmed the claim; see burdock_dispatch_claim_done(). */
static void
start_claim (BurdockDispatcher *dispatcher, BurdockRequestState *state, uint64_t now_us)
{
  uint64_t left_ms = (state->deadline_us - now_us) / US_PER_MS;
  uint32_t deadline_ms =
      left_ms < CLAIM_DEADLINE_MS ? (uint32_t)left_ms : CLAIM_DEADLINE_MS;

  burdock_admission_admit (dispatcher->admission, state);
  state->phase = BURDOCK_REQUEST_CLAIMING;
  state->claim = burdock_claims_acquire (dispatcher->claims, state->request.workspace,
                                         state->request.key, state->id, deadline_ms);
  record_event (dispatcher, state, BURDOCK_EVENT_DECISION, "claim asked for",
                state->claim != NULL ? "write sent to the store"
                                     : "store accepts no call");
  if (state->claim == NULL)
    burdock_dispatch_refuse (dispatcher, state, BURDOCK_REASON_STORE_DOWN);
}

static StartOutcome
try_start (BurdockDispatcher *dispatcher, BurdockRequestState *state, uint64_t now_us)
{
  BurdockUpstreamRef upstream;
  int status;

  if (burdock_admission_misses_deadline (state, now_us)) {
    burdock_dispatch_refuse (dispatcher, state, BURDOCK_REASON_DEADLINE);
    return START_DEQUEUED;
  }
  if (state->not_before_us > now_us ||
      state->wanted_generation > dispatcher->snapshot->generation ||
      burdock_admission_workspace_full (state))
    return START_BLOCKED;
  status = pick_upstream (dispatcher, state, now_us, &upstream);
  if (status == -EAGAIN)
    return START_POOL_FULL;
  if (status < 0)
    return START_BLOCKED;
  if (!state->request.idempotent && state->claim == NULL)
    start_claim (dispatcher, state, now_us);
  else
    send_attempt (dispatcher, state, &upstream, now_us);
  return START_DEQUEUED;
}

/* Starts requests by descending priority until the pool is full. */
static void
dispatch_pool (BurdockDispatcher *dispatcher, BurdockAdmissionPool *pool, uint64_t now_us)
{
  for (uint32_t i = BURDOCK_PRIORITY_COUNT; i-- > 0;) {
    BurdockRequestState *next;

    for (BurdockRequestState *state = pool->queues[i].first; state != NULL;
         state = next) {
      next = state->queue_next;
      if (try_start (dispatcher, state, now_us) == START_POOL_FULL)
        return;
    }
  }
}

void
burdock_dispatch_queued (BurdockDispatcher *dispatcher)
{
  uint64_t now_us = burdock_endpoint_now (&dispatcher->endpoint);

  if (dispatcher->snapshot == NULL)
    return;
  for (BurdockAdmissionPool *pool = burdock_admission_pools (dispatcher->admission);
       pool != NULL; pool = pool->next) {
    if (pool->queued > 0)
      dispatch_pool (dispatcher, pool, now_us);
  }
}

void
burdock_dispatch_claim_done (void *ctx, uint64_t request_id, BurdockClaimOutcome outcome)
{
  BurdockDispatcher *dispatcher = ctx;
  BurdockRequestState *state = burdock_requests_find (dispatcher->requests, request_id);
  uint64_t now_us = burdock_endpoint_now (&dispatcher->endpoint);
  BurdockUpstreamRef upstream;

  if (state == NULL)
    return;
  if (state->phase == BURDOCK_REQUEST_RELEASING) {
    burdock_dispatch_deliver_refusal (dispatcher, state);
    return;
  }
  record_event (dispatcher, state, BURDOCK_EVENT_DECISION, "claim settled",
                outcome == BURDOCK_CLAIM_TAKEN    ? "held by another request"
                : outcome == BURDOCK_CLAIM_FAILED ? "store failed"
                                                  : "ours");
  state->phase = BURDOCK_REQUEST_WAITING;
  if (outcome == BURDOCK_CLAIM_TAKEN)
    burdock_dispatch_refuse (dispatcher, state, BURDOCK_REASON_CLAIMED);
  else if (outcome == BURDOCK_CLAIM_FAILED)
    burdock_dispatch_refuse (dispatcher, state, BURDOCK_REASON_STORE_DOWN);
  else if (now_us + US_PER_MS > state->deadline_us)
    burdock_dispatch_refuse (dispatcher, state, BURDOCK_REASON_DEADLINE);
  else if (pick_upstream (dispatcher, state, now_us, &upstream) == 0)
    send_attempt (dispatcher, state, &upstream, now_us);
  else
    requeue (dispatcher, state, 0);
}

void
burdock_dispatch_cancel_attempt (BurdockDispatcher *dispatcher,
                                 const BurdockRequestState *state)
{
  BurdockMessage message = { .header.type = BURDOCK_MSG_ATTEMPT_CANCEL };

  message.header.target_incarnation = state->agent_incarnation;
  message.attempt_cancel.request_id = state->id;
  message.attempt_cancel.attempt = state->attempt;
  burdock_endpoint_send (&dispatcher->endpoint, state->agent_address, &message);
}

static bool
may_retry (BurdockDispatcher *dispatcher, const BurdockRequestState *state,
           BurdockReason reason, bool not_run)
{
  if (!not_run && !state->request.idempotent)
    return false;
  if (state->attempt >= ATTEMPTS_AND_REFUSALS_MAX ||
      (!not_run && state->attempt >= ATTEMPTS_MAX))
    return false;
  if (reason == BURDOCK_REASON_BAD_REQUEST)
    return false;
  /* These refusals are temporary and use no capacity, so they take no retry budget. */
  if (reason == BURDOCK_REASON_LEAVING || reason == BURDOCK_REASON_STALE_GENERATION)
    return true;
  return burdock_admission_take_retry (dispatcher->admission);
}

void
burdock_dispatch_attempt_failed (BurdockDispatcher *dispatcher,
                                 BurdockRequestState *state, BurdockReason reason,
                                 bool not_run)
{
  BurdockEndpoint *endpoint = &dispatcher->endpoint;
  uint64_t now_us = burdock_endpoint_now (endpoint);

  record_event (dispatcher, state, BURDOCK_EVENT_RETRY,
                not_run ? "attempt not run" : "attempt over",
                burdock_reason_name (reason));
  release_attempt (dispatcher, state);
  state->phase = BURDOCK_REQUEST_WAITING;
  if (!not_run)
    state->may_have_run = true;
  if (reason == BURDOCK_REASON_OVERLOAD)
    burdock_router_eject (dispatcher->router, state->agent_id,
                          now_us + EJECT_OVERLOADED_US);
  else if (reason != BURDOCK_REASON_STALE_GENERATION)
    add_tried (state, state->agent_id);
  if (!may_retry (dispatcher, state, reason, not_run)) {
    burdock_dispatch_refuse (dispatcher, state, reason);
    return;
  }
  burdock_count (&endpoint->counters, BURDOCK_COUNTER_RETRIES, 1);
  requeue (dispatcher, state,
           burdock_backoff_us (state->attempt, burdock_endpoint_random (endpoint)));
}
