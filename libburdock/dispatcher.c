#include "dispatcher-private.h"

#include "error.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define OUTCOME_LIMIT 1024
#define DEFAULT_DEADLINE_MS 30000

/* Agents report load every 500 ms; after five missing reports an agent counts as stalled
 * rather than delayed. */
#define STALL_TIMEOUT_US (2500 * US_PER_MS)

/* Longest time between two ticks; also how long an agent is not chosen after a connection
 * to it could not be established. */
#define STALL_CHECK_US (500 * US_PER_MS)

/* Request ids start at a random number, so that shards of one process do not share ids.
 */
#define FIRST_ID_SHIFT 24

/* Store calls for claims, divided among the live entries: the table service takes several
 * hundred writes per second in all. A request whose claim waits in the queue until its
 * deadline is refused as not-run. */
#define CLAIM_WRITES_PER_S 300
#define CLAIM_READS_PER_S 300
#define CLAIM_QUEUE_LIMIT 256

/* Time for the release of claims when the requests are given up; the answer of the table
 * service usually takes a few milliseconds. */
#define GIVE_UP_RELEASE_US (500 * US_PER_MS)

#define PREFIX_BLOCK_BYTES 64
#define FNV_OFFSET UINT64_C (0xcbf29ce484222325)
#define FNV_PRIME UINT64_C (0x100000001b3)

BurdockDispatcher *
burdock_dispatcher_new (const BurdockSettings *settings, const BurdockEnv *env)
{
  BurdockDispatcher *dispatcher = calloc (1, sizeof *dispatcher);
  BurdockEndpoint *endpoint = &dispatcher->endpoint;
  uint64_t first_id;

  burdock_endpoint_init (endpoint, settings, env);
  first_id = (burdock_endpoint_random (endpoint) << FIRST_ID_SHIFT) + 1;
  dispatcher->requests = burdock_requests_new (first_id);
  dispatcher->claims =
      burdock_claims_new (&endpoint->env, &endpoint->counters, endpoint->incarnation,
                          burdock_dispatch_claim_done, dispatcher);
  dispatcher->outcomes = burdock_outcomes_new (OUTCOME_LIMIT);
  dispatcher->admission = burdock_admission_new ();
  dispatcher->router = burdock_router_new (endpoint->member_id);
  dispatcher->release_limit_us = UINT64_MAX;
  return dispatcher;
}

void
burdock_dispatcher_free (BurdockDispatcher *dispatcher)
{
  if (dispatcher == NULL)
    return;
  burdock_claims_free (dispatcher->claims);
  burdock_requests_free (dispatcher->requests);
  burdock_outcomes_free (dispatcher->outcomes);
  burdock_admission_free (dispatcher->admission);
  burdock_router_free (dispatcher->router);
  burdock_snapshot_unref (dispatcher->snapshot);
  burdock_endpoint_clear (&dispatcher->endpoint);
  free (dispatcher);
}

/* Submission */

/* Refuses a request that was not added to the table of open requests. */
static void
refuse_submission (BurdockDispatcher *dispatcher, const BurdockRequest *request,
                   BurdockReason reason, BurdockRan ran)
{
  const BurdockEnv *env = &dispatcher->endpoint.env;
  BurdockDelivery delivery = { .handle = request->handle,
                               .kind = BURDOCK_DELIVERY_REFUSED,
                               .reason = reason,
                               .ran = ran };

  burdock_timeline_add (dispatcher->endpoint.timeline, BURDOCK_LOG_DEBUG,
                        BURDOCK_EVENT_REFUSAL, "request refused", "-", request->key,
                        "%s, %s", burdock_reason_name (reason),
                        ran == BURDOCK_RAN_NOT_RUN ? "not-run" : "unknown");
  burdock_count (&dispatcher->endpoint.counters,
                 ran == BURDOCK_RAN_NOT_RUN ? BURDOCK_COUNTER_REFUSED_NOT_RUN
                                            : BURDOCK_COUNTER_UNKNOWN,
                 1);
  env->deliver (env->ctx, &delivery);
}

static bool
grants_model (const BurdockEffectiveSettings *effective, const BurdockRequest *request)
{
  for (uint32_t i = 0; i < effective->grant_count; i++) {
    const BurdockGrant *grant = &effective->grants[i];

    if (strcmp (grant->model, request->model) == 0 &&
        (request->version[0] == '\0' || strcmp (grant->version, request->version) == 0) &&
        (request->adapter[0] == '\0' || strcmp (grant->adapter, "*") == 0 ||
         strcmp (grant->adapter, request->adapter) == 0))
      return true;
  }
  return false;
}

static bool
grants_service (const BurdockEffectiveSettings *effective, const char *service)
{
  for (uint32_t i = 0; i < effective->service_count; i++) {
    if (strcmp (effective->services[i], service) == 0)
      return true;
  }
  return false;
}

static BurdockReason
check_request (const BurdockDispatcher *dispatcher, const BurdockRequest *request,
               const BurdockEffectiveSettings **effective, const BurdockPool **pool)
{
  const BurdockSnapshot *snapshot = dispatcher->snapshot;
  bool service = request->service[0] != '\0';

  if (snapshot == NULL || (snapshot->refusal == BURDOCK_REASON_NONE &&
                           (snapshot->generation == 0 || snapshot->config == NULL)))
    return BURDOCK_REASON_NO_CONFIG;
  if (snapshot->refusal != BURDOCK_REASON_NONE)
    return snapshot->refusal;
  if (request->key[0] == '\0' || (!service && request->model[0] == '\0') ||
      burdock_requests_find_handle (dispatcher->requests, request->handle) != NULL)
    return BURDOCK_REASON_BAD_REQUEST;
  *effective =
      burdock_config_effective (snapshot->config, request->workspace, request->branch);
  if (*effective == NULL)
    return BURDOCK_REASON_NOT_ALLOWED;
  if (service ? !grants_service (*effective, request->service)
              : !grants_model (*effective, request))
    return BURDOCK_REASON_NOT_ALLOWED;
  *pool = service ? burdock_config_pool_for_service (snapshot->config, request->service)
                  : burdock_config_pool_for_model (snapshot->config, request->model);
  if (*pool == NULL)
    return BURDOCK_REASON_NO_UPSTREAM;
  if (!request->idempotent && !snapshot->store_available)
    return BURDOCK_REASON_STORE_DOWN;
  return BURDOCK_REASON_NONE;
}

/* If a non-idempotent request repeats a key of the outcome cache, delivers the stored
 * answer, or refuses the request as claimed if there is none, and returns true. */
static bool
answer_from_outcome (BurdockDispatcher *dispatcher, const BurdockRequest *request)
{
  const BurdockEnv *env = &dispatcher->endpoint.env;
  const BurdockOutcome *outcome = NULL;
  BurdockDelivery delivery = { .handle = request->handle,
                               .kind = BURDOCK_DELIVERY_END,
                               .ran = BURDOCK_RAN_YES };

  if (!request->idempotent)
    outcome =
        burdock_outcomes_find (dispatcher->outcomes, request->workspace, request->key);
  if (outcome == NULL)
    return false;
  if (!outcome->answered) {
    refuse_submission (dispatcher, request, BURDOCK_REASON_CLAIMED, BURDOCK_RAN_UNKNOWN);
    return true;
  }
  delivery.body = (BurdockBytes){ outcome->body, outcome->body_bytes };
  env->deliver (env->ctx, &delivery);
  burdock_count (&dispatcher->endpoint.counters, BURDOCK_COUNTER_ANSWERED, 1);
  return true;
}

static uint64_t
hash_bytes (uint64_t hash, const void *data, size_t length_bytes)
{
  const uint8_t *bytes = data;

  for (size_t i = 0; i < length_bytes; i++)
    hash = (hash ^ bytes[i]) * FNV_PRIME;
  return hash;
}

/* Hashes the first BURDOCK_PREFIX_BLOCKS_MAX prefixes of the prompt, each one block
 * longer than the one before. Model and adapter are part of each hash. */
static void
hash_prefixes (BurdockRequestState *state)
{
  const BurdockRequest *request = &state->request;
  uint64_t hash = FNV_OFFSET;

  if (request->service[0] != '\0')
    return;
  hash = hash_bytes (hash, request->model, strlen (request->model) + 1);
  hash = hash_bytes (hash, request->adapter, strlen (request->adapter) + 1);
  for (uint32_t at = 0; at + PREFIX_BLOCK_BYTES <= request->body.length_bytes &&
                        state->prefix_count < BURDOCK_PREFIX_BLOCKS_MAX;
       at += PREFIX_BLOCK_BYTES) {
    hash = hash_bytes (hash, request->body.data + at, PREFIX_BLOCK_BYTES);
    state->prefixes[state->prefix_count++] = hash;
  }
}

static uint32_t
choose_deadline_ms (const BurdockRequest *request,
                    const BurdockEffectiveSettings *effective)
{
  if (request->deadline_ms > 0)
    return request->deadline_ms;
  return effective->deadline_ms > 0 ? effective->deadline_ms : DEFAULT_DEADLINE_MS;
}

static void
add_request (BurdockDispatcher *dispatcher, const BurdockRequest *request,
             const BurdockEffectiveSettings *effective, const BurdockPool *pool,
             uint64_t deadline_us)
{
  uint64_t now_us = burdock_endpoint_now (&dispatcher->endpoint);
  BurdockRequestState *state =
      burdock_requests_add (dispatcher->requests, request, now_us);
  BurdockRequestState *evicted;
  BurdockReason reason;

  state->priority = request->has_priority ? request->priority : effective->priority;
  state->deadline_us = deadline_us;
  hash_prefixes (state);
  if (!request->idempotent)
    burdock_outcomes_begin (dispatcher->outcomes, request->workspace, request->key,
                            state->id);
  reason =
      burdock_admission_enqueue (dispatcher->admission, state, pool, now_us, &evicted);
  if (evicted != NULL)
    burdock_dispatch_refuse (dispatcher, evicted, BURDOCK_REASON_OVERLOAD);
  if (reason != BURDOCK_REASON_NONE) {
    burdock_dispatch_refuse (dispatcher, state, reason);
    return;
  }
  burdock_dispatch_queued (dispatcher);
}

void
burdock_dispatcher_submit (BurdockDispatcher *dispatcher, const BurdockRequest *request)
{
  uint64_t now_us = burdock_endpoint_now (&dispatcher->endpoint);
  const BurdockEffectiveSettings *effective = NULL;
  const BurdockPool *pool = NULL;
  BurdockReason reason = check_request (dispatcher, request, &effective, &pool);
  uint64_t deadline_us;

  burdock_count (&dispatcher->endpoint.counters, BURDOCK_COUNTER_REQUESTS, 1);
  if (reason != BURDOCK_REASON_NONE) {
    refuse_submission (dispatcher, request, reason, BURDOCK_RAN_NOT_RUN);
    return;
  }
  if (answer_from_outcome (dispatcher, request))
    return;
  deadline_us = now_us + choose_deadline_ms (request, effective) * US_PER_MS;
  if (burdock_stop_policy_admits (&dispatcher->stop, deadline_us))
    add_request (dispatcher, request, effective, pool, deadline_us);
  else
    refuse_submission (dispatcher, request, BURDOCK_REASON_LEAVING, BURDOCK_RAN_NOT_RUN);
}

/* Planned stop */

void
burdock_dispatcher_begin_stop (BurdockDispatcher *dispatcher, uint64_t end_us)
{
  burdock_stop_policy_begin (&dispatcher->stop,
                             burdock_endpoint_now (&dispatcher->endpoint), end_us);
}

void
burdock_dispatcher_give_up (BurdockDispatcher *dispatcher)
{
  BurdockEndpoint *endpoint = &dispatcher->endpoint;
  uint64_t now_us = burdock_endpoint_now (endpoint);
  BurdockRequestState *next;

  burdock_timeline_add (endpoint->timeline, BURDOCK_LOG_WARNING, BURDOCK_EVENT_DRAIN,
                        "requests given up", "-", endpoint->name, "%u open",
                        burdock_requests_count (dispatcher->requests));
  burdock_dispatcher_begin_stop (dispatcher, now_us);
  dispatcher->release_limit_us = now_us + GIVE_UP_RELEASE_US;
  for (BurdockRequestState *state = burdock_requests_first (dispatcher->requests);
       state != NULL; state = next) {
    next = state->next;
    if (state->phase == BURDOCK_REQUEST_RELEASING)
      continue;
    if (state->phase == BURDOCK_REQUEST_RUNNING)
      burdock_dispatch_cancel_attempt (dispatcher, state);
    burdock_dispatch_refuse (dispatcher, state, BURDOCK_REASON_LEAVING);
  }
}

void
burdock_dispatcher_cancel (BurdockDispatcher *dispatcher, uint64_t handle)
{
  BurdockRequestState *state =
      burdock_requests_find_handle (dispatcher->requests, handle);

  if (state == NULL)
    return;
  burdock_dispatch_drop (dispatcher, state);
  burdock_dispatch_queued (dispatcher);
}

/* Frames */

/* Returns the request whose attempt in progress matches the frame, or NULL if the frame
 * is from another attempt, agent or incarnation. */
static BurdockRequestState *
find_running (const BurdockDispatcher *dispatcher, const BurdockMessageHeader *header,
              uint64_t request_id, uint32_t attempt)
{
  BurdockRequestState *state = burdock_requests_find (dispatcher->requests, request_id);

  if (state == NULL || state->phase != BURDOCK_REQUEST_RUNNING ||
      state->attempt != attempt || state->agent_id != header->sender_id ||
      state->agent_incarnation != header->sender_incarnation)
    return NULL;
  return state;
}

/* Fails the attempts at earlier incarnations of an agent; a restarted process can no
 * longer answer them. */
static void
fail_old_incarnations (BurdockDispatcher *dispatcher, uint64_t agent_id,
                       uint64_t incarnation)
{
  BurdockRequestState *next;

  for (BurdockRequestState *state = burdock_requests_first (dispatcher->requests);
       state != NULL; state = next) {
    next = state->next;
    if (state->phase == BURDOCK_REQUEST_RUNNING && state->agent_id == agent_id &&
        state->agent_incarnation < incarnation)
      burdock_dispatch_attempt_failed (dispatcher, state, BURDOCK_REASON_UPSTREAM_FAILED,
                                       false);
  }
}

/* Ends the requests whose answers leave no space for another token of @state. Of all
 * answers together, the largest one is ended, so that upstreams that never end theirs do
 * not cost the requests of others. Returns false if @state is ended and freed. */
static bool
reserve_answer (BurdockDispatcher *dispatcher, BurdockRequestState *state,
                uint32_t token_bytes)
{
  bool ended = state->answer_bytes + token_bytes > BURDOCK_ANSWER_MAX_BYTES;

  if (ended)
    burdock_dispatch_end_answer (dispatcher, state, "answer too large");
  while (!ended && burdock_requests_answers_bytes (dispatcher->requests) + token_bytes >
                       BURDOCK_ANSWERS_MAX_BYTES) {
    BurdockRequestState *largest = burdock_requests_largest_answer (dispatcher->requests);

    ended = largest == state;
    burdock_dispatch_end_answer (dispatcher, largest, "answers too large together");
  }
  return !ended;
}

/* Delivers the next token. A duplicate is dropped. A gap fails the attempt; an idempotent
 * request is then resumed from the last token delivered. */
static void
receive_token (BurdockDispatcher *dispatcher, const BurdockMessage *message)
{
  const BurdockTokenMessage *token = &message->token;
  BurdockEndpoint *endpoint = &dispatcher->endpoint;
  BurdockRequestState *state =
      find_running (dispatcher, &message->header, token->request_id, token->attempt);
  BurdockDelivery delivery = { .kind = BURDOCK_DELIVERY_TOKEN };

  if (state == NULL || token->index < state->next_index) {
    burdock_count (&endpoint->counters, BURDOCK_COUNTER_TOKENS_DROPPED, 1);
    return;
  }
  if (token->index > state->next_index) {
    burdock_count (&endpoint->counters, BURDOCK_COUNTER_TOKENS_DROPPED, 1);
    burdock_dispatch_cancel_attempt (dispatcher, state);
    burdock_dispatch_attempt_failed (dispatcher, state, BURDOCK_REASON_UPSTREAM_FAILED,
                                     false);
    return;
  }
  if (!reserve_answer (dispatcher, state, token->text.length_bytes)) {
    burdock_dispatch_queued (dispatcher);
    return;
  }
  state->next_index++;
  state->last_progress_us = burdock_endpoint_now (endpoint);
  burdock_requests_add_answer (dispatcher->requests, state, token->text);
  delivery.handle = state->request.handle;
  delivery.index = token->index;
  delivery.body = token->text;
  burdock_count (&endpoint->counters, BURDOCK_COUNTER_TOKENS, 1);
  endpoint->env.deliver (endpoint->env.ctx, &delivery);
}

static void
receive_done (BurdockDispatcher *dispatcher, const BurdockMessage *message)
{
  const BurdockAttemptDoneMessage *done = &message->attempt_done;
  BurdockRequestState *state =
      find_running (dispatcher, &message->header, done->request_id, done->attempt);
  bool complete;

  if (state == NULL)
    return;
  complete =
      done->status == 0 && done->ran == BURDOCK_RAN_YES &&
      (state->request.service[0] != '\0' || done->token_count == state->next_index);
  if (complete)
    burdock_dispatch_answer (dispatcher, state, done->body);
  else
    burdock_dispatch_attempt_failed (dispatcher, state, BURDOCK_REASON_UPSTREAM_FAILED,
                                     false);
  burdock_dispatch_queued (dispatcher);
}

static void
receive_refused (BurdockDispatcher *dispatcher, const BurdockMessage *message)
{
  const BurdockAttemptRefusedMessage *refused = &message->attempt_refused;
  BurdockRequestState *state =
      find_running (dispatcher, &message->header, refused->request_id, refused->attempt);
  BurdockReason reason = refused->reason < BURDOCK_REASON_COUNT
                             ? (BurdockReason)refused->reason
                             : BURDOCK_REASON_UPSTREAM_FAILED;

  if (state == NULL)
    return;
  if (reason == BURDOCK_REASON_STALE_GENERATION)
    state->wanted_generation = refused->generation;
  burdock_dispatch_attempt_failed (dispatcher, state, reason, true);
  burdock_dispatch_queued (dispatcher);
}

int
burdock_dispatcher_receive (BurdockDispatcher *dispatcher, BurdockAddress from,
                            const uint8_t *frame, uint32_t length_bytes)
{
  BurdockEndpoint *endpoint = &dispatcher->endpoint;
  uint64_t now_us = burdock_endpoint_now (endpoint);
  BurdockMessage message;
  const BurdockMessageHeader *header = &message.header;
  int status = burdock_endpoint_decode (endpoint, from, frame, length_bytes, &message);

  if (status < 0)
    return status;
  if (header->target_incarnation != 0 &&
      header->target_incarnation != endpoint->incarnation)
    return -ESTALE;
  burdock_router_record_activity (dispatcher->router, header->sender_id, now_us);
  switch (header->type) {
  case BURDOCK_MSG_TOKEN:
    receive_token (dispatcher, &message);
    return 0;
  case BURDOCK_MSG_ATTEMPT_DONE:
    receive_done (dispatcher, &message);
    return 0;
  case BURDOCK_MSG_ATTEMPT_REFUSED:
    receive_refused (dispatcher, &message);
    return 0;
  case BURDOCK_MSG_LOAD:
    /* Done only for load reports, as it scans all open requests. */
    fail_old_incarnations (dispatcher, header->sender_id, header->sender_incarnation);
    burdock_router_set_load (dispatcher->router, header->sender_id, &message.load,
                             now_us);
    burdock_dispatch_queued (dispatcher);
    return 0;
  default:
    return -ENOSYS;
  }
}

void
burdock_dispatcher_peer_lost (BurdockDispatcher *dispatcher, BurdockAddress peer,
                              bool connected)
{
  uint64_t now_us = burdock_endpoint_now (&dispatcher->endpoint);
  BurdockRequestState *next;

  for (BurdockRequestState *state = burdock_requests_first (dispatcher->requests);
       state != NULL; state = next) {
    next = state->next;
    if (state->phase != BURDOCK_REQUEST_RUNNING ||
        state->agent_address.ipv4 != peer.ipv4 || state->agent_address.port != peer.port)
      continue;
    if (!connected)
      burdock_router_eject (dispatcher->router, state->agent_id, now_us + STALL_CHECK_US);
    burdock_dispatch_attempt_failed (dispatcher, state, BURDOCK_REASON_UPSTREAM_FAILED,
                                     !connected);
  }
  burdock_dispatch_queued (dispatcher);
}

void
burdock_dispatcher_store_done (BurdockDispatcher *dispatcher,
                               const BurdockStoreResult *result)
{
  burdock_store_handle_result (burdock_claims_store (dispatcher->claims), result);
}

static void
set_claim_rate_limits (BurdockDispatcher *dispatcher, uint32_t live_entries)
{
  uint32_t entries = live_entries > 0 ? live_entries : 1;
  uint32_t writes = CLAIM_WRITES_PER_S / entries;
  uint32_t reads = CLAIM_READS_PER_S / entries;
  BurdockStoreLimits limits = { .reads_per_s = reads > 0 ? reads : 1,
                                .writes_per_s = writes > 0 ? writes : 1,
                                .queue_limit = CLAIM_QUEUE_LIMIT };

  burdock_store_set_limits (burdock_claims_store (dispatcher->claims), &limits);
}

void
burdock_dispatcher_set_snapshot (BurdockDispatcher *dispatcher, BurdockSnapshot *snapshot)
{
  BurdockSnapshot *old = dispatcher->snapshot;

  for (uint32_t i = 0; i < snapshot->upstream_count; i++)
    fail_old_incarnations (dispatcher, snapshot->upstreams[i].id,
                           snapshot->upstreams[i].incarnation);
  dispatcher->snapshot = snapshot;
  burdock_router_set_snapshot (dispatcher->router, snapshot,
                               burdock_endpoint_now (&dispatcher->endpoint));
  burdock_admission_set_snapshot (dispatcher->admission, snapshot);
  burdock_claims_note_era (dispatcher->claims, snapshot->store_era);
  if (old == NULL || old->live_entries != snapshot->live_entries)
    set_claim_rate_limits (dispatcher, snapshot->live_entries);
  burdock_snapshot_unref (old);
  burdock_dispatch_queued (dispatcher);
}

/* Time */

/* Only idempotent requests leave a stalled agent, as others must not run again. */
static bool
agent_stalled (const BurdockDispatcher *dispatcher, const BurdockRequestState *state,
               uint64_t now_us)
{
  uint64_t since_us = now_us > STALL_TIMEOUT_US ? now_us - STALL_TIMEOUT_US : 0;

  return state->phase == BURDOCK_REQUEST_RUNNING && state->request.idempotent &&
         state->last_progress_us < since_us &&
         burdock_router_is_silent (dispatcher->router, state->agent_id, since_us);
}

static void
check_timeouts (BurdockDispatcher *dispatcher, BurdockRequestState *state,
                uint64_t now_us)
{
  if (state->phase == BURDOCK_REQUEST_RELEASING) {
    if (dispatcher->release_limit_us <= now_us)
      burdock_dispatch_deliver_refusal (dispatcher, state);
    return;
  }
  if (state->deadline_us <= now_us) {
    if (state->phase == BURDOCK_REQUEST_RUNNING)
      burdock_dispatch_cancel_attempt (dispatcher, state);
    burdock_dispatch_refuse (dispatcher, state, BURDOCK_REASON_DEADLINE);
    return;
  }
  if (agent_stalled (dispatcher, state, now_us)) {
    burdock_dispatch_cancel_attempt (dispatcher, state);
    burdock_dispatch_attempt_failed (dispatcher, state, BURDOCK_REASON_UPSTREAM_FAILED,
                                     false);
  }
}

/* Returns the earliest deadline or end of a backoff, at most STALL_CHECK_US from now. */
static uint64_t
next_due_us (const BurdockDispatcher *dispatcher, uint64_t now_us)
{
  uint64_t next_us = now_us + STALL_CHECK_US;

  for (const BurdockRequestState *state = burdock_requests_first (dispatcher->requests);
       state != NULL; state = state->next) {
    if (state->phase == BURDOCK_REQUEST_RELEASING) {
      if (dispatcher->release_limit_us < next_us)
        next_us = dispatcher->release_limit_us;
      continue;
    }
    if (state->deadline_us < next_us)
      next_us = state->deadline_us;
    if (state->phase == BURDOCK_REQUEST_WAITING && state->not_before_us > now_us &&
        state->not_before_us < next_us)
      next_us = state->not_before_us;
  }
  return next_us;
}

/* Opens connections with an empty load report; the agents then send theirs. */
static void
request_load_reports (BurdockDispatcher *dispatcher, uint64_t now_us)
{
  BurdockMessage message = { .header.type = BURDOCK_MSG_LOAD };
  BurdockUpstreamRef upstream;

  while (burdock_router_next_load_request (dispatcher->router, now_us, &upstream)) {
    message.header.target_incarnation = 0;
    burdock_endpoint_send (&dispatcher->endpoint, upstream.address, &message);
  }
}

uint64_t
burdock_dispatcher_tick (BurdockDispatcher *dispatcher)
{
  uint64_t now_us = burdock_endpoint_now (&dispatcher->endpoint);
  uint64_t store_us = burdock_claims_tick (dispatcher->claims);
  uint64_t next_us;
  BurdockRequestState *next;

  for (BurdockRequestState *state = burdock_requests_first (dispatcher->requests);
       state != NULL; state = next) {
    next = state->next;
    check_timeouts (dispatcher, state, now_us);
  }
  burdock_dispatch_queued (dispatcher);
  request_load_reports (dispatcher, now_us);
  next_us = next_due_us (dispatcher, now_us);
  return store_us < next_us ? store_us : next_us;
}

void
burdock_dispatcher_usage (const BurdockDispatcher *dispatcher, BurdockUsage *out)
{
  burdock_admission_usage (dispatcher->admission, out);
}

uint32_t
burdock_dispatcher_in_flight (const BurdockDispatcher *dispatcher)
{
  return burdock_requests_count (dispatcher->requests);
}

char *
burdock_dispatcher_metrics (const BurdockDispatcher *dispatcher)
{
  return burdock_counters_text (&dispatcher->endpoint.counters, "dispatcher");
}

char *
burdock_dispatcher_timeline (const BurdockDispatcher *dispatcher)
{
  return burdock_timeline_json (dispatcher->endpoint.timeline, dispatcher->endpoint.name);
}
