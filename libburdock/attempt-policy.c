#include "attempt-policy.h"

/* Sends that a request is allowed beyond its runs. An upstream that is full or has moved
 * does not run the request, but each send counts against the retry budget. */
#define NOT_RUN_SENDS_MAX 2

#define US_PER_MS UINT64_C (1000)

/* An attempt is taken back while the other half of the time that its caller waits is left
 * for the next one. */
#define WAIT_DIVISOR 2

/* An answer is this late if one of its packets is lost twice: it is repeated after 0.2 s,
 * and once more before 0.4 s. */
#define PACKET_LOSS_US (400 * US_PER_MS)

/* Stall timeout of calls, as a multiple of the time within which most answers come
 * elsewhere. Times that vary as those of most services (exponential, or log-normal with a
 * shape of up to 1) exceed it in at most 3 of 100 requests. */
#define STALL_ANSWER_FACTOR 2

/* A new connection takes a few milliseconds. One that takes longer has lost its first
 * packet, which is sent again only after 1 s; another upstream answers sooner. */
#define CONNECT_TIMEOUT_MS 700

/* With less time left until the deadline, another attempt cannot complete. */
#define ATTEMPT_TIME_MIN_US (150 * US_PER_MS)

uint64_t
burdock_attempt_stall_min_us (const BurdockRoute *route, uint64_t allowed_us)
{
  uint64_t wait_us = allowed_us;

  if (route->kind == BURDOCK_ROUTE_STREAM && route->patience_ms > 0 &&
      route->patience_ms * US_PER_MS < allowed_us)
    wait_us = route->patience_ms * US_PER_MS;
  wait_us /= WAIT_DIVISOR;
  return route->kind == BURDOCK_ROUTE_STREAM || wait_us < PACKET_LOSS_US ? wait_us
                                                                         : PACKET_LOSS_US;
}

uint64_t
burdock_attempt_stall_timeout_us (const BurdockRoute *route, uint64_t allowed_us,
                                  const BurdockAnswerEstimate *estimate)
{
  uint64_t timeout_us = burdock_attempt_stall_min_us (route, allowed_us);

  if (route->kind == BURDOCK_ROUTE_STREAM)
    return timeout_us;
  if (estimate->long_us == 0)
    return allowed_us / WAIT_DIVISOR;
  if (timeout_us < estimate->long_us * STALL_ANSWER_FACTOR)
    timeout_us = estimate->long_us * STALL_ANSWER_FACTOR;
  return timeout_us < estimate->longest_us ? estimate->longest_us : timeout_us;
}

uint32_t
burdock_attempt_connect_timeout_ms (uint32_t left_ms)
{
  uint32_t timeout_ms = left_ms / WAIT_DIVISOR;

  if (timeout_ms == 0)
    return 1;
  return timeout_ms < CONNECT_TIMEOUT_MS ? timeout_ms : CONNECT_TIMEOUT_MS;
}

uint64_t
burdock_attempt_silence_us (uint64_t now_us, uint64_t last_activity_us)
{
  return now_us > last_activity_us ? now_us - last_activity_us : 0;
}

bool
burdock_attempt_has_time (uint64_t now_us, uint64_t deadline_us, uint64_t needed_us)
{
  if (needed_us < ATTEMPT_TIME_MIN_US)
    needed_us = ATTEMPT_TIME_MIN_US;
  return now_us + needed_us < deadline_us;
}

static bool
may_run_again (const BurdockAttemptContext *state)
{
  const BurdockRoute *route = state->route;

  if (state->run_count >= route->attempts_max || state->past_last_id)
    return false;
  if (state->run_count == 0)
    return true;
  return route->kind == BURDOCK_ROUTE_IDEMPOTENT ||
         (route->kind == BURDOCK_ROUTE_STREAM && route->resumable);
}

BurdockAttemptAction
burdock_attempt_final_action (const BurdockAttemptContext *state)
{
  if (state->answer_started)
    return BURDOCK_ACTION_ABORT;
  if (state->result == BURDOCK_ATTEMPT_COMPLETE || state->result == BURDOCK_ATTEMPT_ERROR)
    return BURDOCK_ACTION_FORWARD;
  return state->run_count == 0 ? BURDOCK_ACTION_REFUSE : BURDOCK_ACTION_FAIL;
}

/* Upstreams that are full have room again before the deadline of a stream; its caller
 * leaves earlier if the gap is too long for it. */
BurdockAttemptAction
burdock_attempt_unpaid_action (const BurdockAttemptContext *state)
{
  if (state->answer_started && state->enough_time && may_run_again (state))
    return BURDOCK_ACTION_WAIT;
  return burdock_attempt_final_action (state);
}

BurdockAttemptAction
burdock_attempt_next_action (const BurdockAttemptContext *state)
{
  if (state->result == BURDOCK_ATTEMPT_COMPLETE)
    return BURDOCK_ACTION_FORWARD;
  if (!state->enough_time || !may_run_again (state))
    return burdock_attempt_final_action (state);
  if (state->send_count >= state->route->attempts_max + NOT_RUN_SENDS_MAX)
    return burdock_attempt_unpaid_action (state);
  return state->answer_started ? BURDOCK_ACTION_RESUME : BURDOCK_ACTION_RETRY;
}
