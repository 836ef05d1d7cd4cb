#include "attempt-policy.h"

/* Sends of one request beyond those that run: an upstream that is full or has moved costs
 * no run, but each send counts against the retry budget. */
#define UNRUN_SENDS_MAX 2

#define US_PER_MS UINT64_C (1000)

/* An upstream without a sign of life for this long hangs: a first event comes within 300
 * ms, the next ones within 200 ms. Callers leave after two seconds. */
#define STALL_FIRST_MS 700
#define STALL_NEXT_MS 900

/* The same for other calls, as a multiple of the objective: the answer is late by then.
 */
#define STALL_OBJECTIVES 1.2

bool
burdock_attempt_is_stalled (const BurdockRoute *route, bool has_events,
                            uint64_t silent_us)
{
  double limit_ms = route->objective_ms * STALL_OBJECTIVES;

  if (route->kind == BURDOCK_ROUTE_STREAM)
    limit_ms = has_events ? STALL_NEXT_MS : STALL_FIRST_MS;
  return silent_us > (uint64_t)(limit_ms * US_PER_MS);
}

static bool
may_run_again (const BurdockAttemptState *state)
{
  const BurdockRoute *route = state->route;

  if (state->ran >= route->attempts_max)
    return false;
  if (state->ran == 0)
    return true;
  return route->kind == BURDOCK_ROUTE_IDEMPOTENT ||
         (route->kind == BURDOCK_ROUTE_STREAM && route->resumable);
}

BurdockAttemptStep
burdock_attempt_give_up (const BurdockAttemptState *state)
{
  if (state->answer_started)
    return BURDOCK_STEP_BREAK;
  if (state->result == BURDOCK_ATTEMPT_WHOLE || state->result == BURDOCK_ATTEMPT_FAILURE)
    return BURDOCK_STEP_PASS;
  return state->ran == 0 ? BURDOCK_STEP_REFUSE : BURDOCK_STEP_FAIL;
}

BurdockAttemptStep
burdock_attempt_next (const BurdockAttemptState *state)
{
  if (state->result == BURDOCK_ATTEMPT_WHOLE)
    return BURDOCK_STEP_PASS;
  if (!state->enough_time || !may_run_again (state) ||
      state->sent >= state->route->attempts_max + UNRUN_SENDS_MAX)
    return burdock_attempt_give_up (state);
  return state->answer_started ? BURDOCK_STEP_RESUME : BURDOCK_STEP_REPEAT;
}
