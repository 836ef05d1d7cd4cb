#include "attempt-policy.h"
#include "test.h"

static const BurdockRoute idempotent = { .kind = BURDOCK_ROUTE_IDEMPOTENT,
                                         .attempts_max = 2 };
static const BurdockRoute once = { .kind = BURDOCK_ROUTE_NON_IDEMPOTENT,
                                   .attempts_max = 2 };
static const BurdockRoute stream = { .kind = BURDOCK_ROUTE_STREAM, .attempts_max = 2 };
static const BurdockRoute resumable = { .kind = BURDOCK_ROUTE_STREAM,
                                        .resumable = true,
                                        .attempts_max = 2 };

typedef struct {
  const char *name;
  BurdockAttemptState state;
  BurdockAttemptStep step;
} StepCase;

#define STATE(route_, result_, ran_, sent_, started, time)                               \
  {                                                                                      \
    .route = &(route_), .result = (result_), .ran = (ran_), .sent = (sent_),             \
    .answer_started = (started), .enough_time = (time)                                   \
  }

static const StepCase step_cases[] = {
  { "whole answer", STATE (once, BURDOCK_ATTEMPT_WHOLE, 1, 1, false, true),
    BURDOCK_STEP_PASS },
  { "lost answer of a call that runs once",
    STATE (once, BURDOCK_ATTEMPT_LOST, 1, 1, false, true), BURDOCK_STEP_FAIL },
  { "failure of a call that runs once",
    STATE (once, BURDOCK_ATTEMPT_FAILURE, 1, 1, false, true), BURDOCK_STEP_PASS },
  { "refused call that runs once",
    STATE (once, BURDOCK_ATTEMPT_NOT_RUN, 0, 1, false, true), BURDOCK_STEP_REPEAT },
  { "refused too often", STATE (once, BURDOCK_ATTEMPT_NOT_RUN, 0, 4, false, true),
    BURDOCK_STEP_REFUSE },
  { "refused without time left",
    STATE (once, BURDOCK_ATTEMPT_NOT_RUN, 0, 1, false, false), BURDOCK_STEP_REFUSE },
  { "refused after a run that may have happened",
    STATE (idempotent, BURDOCK_ATTEMPT_NOT_RUN, 1, 4, false, true), BURDOCK_STEP_FAIL },
  { "lost answer of an idempotent call",
    STATE (idempotent, BURDOCK_ATTEMPT_LOST, 1, 1, false, true), BURDOCK_STEP_REPEAT },
  { "all runs used", STATE (idempotent, BURDOCK_ATTEMPT_LOST, 2, 2, false, true),
    BURDOCK_STEP_FAIL },
  { "failure of an idempotent call, all runs used",
    STATE (idempotent, BURDOCK_ATTEMPT_FAILURE, 2, 2, false, true), BURDOCK_STEP_PASS },
  { "stream lost before its first event",
    STATE (stream, BURDOCK_ATTEMPT_LOST, 1, 1, false, true), BURDOCK_STEP_FAIL },
  { "stream cut midway", STATE (stream, BURDOCK_ATTEMPT_CUT, 1, 1, true, true),
    BURDOCK_STEP_BREAK },
  { "resumable stream cut midway",
    STATE (resumable, BURDOCK_ATTEMPT_CUT, 1, 1, true, true), BURDOCK_STEP_RESUME },
  { "resumed stream refused at the next upstream",
    STATE (resumable, BURDOCK_ATTEMPT_NOT_RUN, 1, 2, true, true), BURDOCK_STEP_RESUME },
  { "resumable stream cut twice",
    STATE (resumable, BURDOCK_ATTEMPT_CUT, 2, 2, true, true), BURDOCK_STEP_BREAK },
};

static void
steps_follow_from_kind_and_result (void)
{
  for (uint32_t i = 0; i < sizeof step_cases / sizeof step_cases[0]; i++) {
    BurdockAttemptStep step = burdock_attempt_next (&step_cases[i].state);

    if (step != step_cases[i].step)
      CU_FAIL (step_cases[i].name);
  }
}

/* No state may lead to a second run of a request that runs at most once, nor to a refusal
 * of one that may have run. */
static void
promises_hold_in_every_state (void)
{
  static const BurdockRoute *const routes[] = { &idempotent, &once, &stream, &resumable };

  for (uint32_t bits = 0; bits < 4 * 6 * 4 * 5 * 4; bits++) {
    BurdockAttemptState state = { .route = routes[bits % 4],
                                  .result = 1 + bits / 4 % 6,
                                  .ran = bits / 24 % 4,
                                  .sent = bits / 96 % 5,
                                  .answer_started = bits / 480 % 2 != 0,
                                  .enough_time = bits / 960 % 2 != 0 };
    BurdockAttemptStep step = burdock_attempt_next (&state);
    bool again = step == BURDOCK_STEP_REPEAT || step == BURDOCK_STEP_RESUME;

    if (again && state.ran > 0)
      CU_ASSERT_TRUE (state.route == &idempotent || state.route == &resumable);
    if (again)
      CU_ASSERT_TRUE (state.ran < state.route->attempts_max);
    if (step == BURDOCK_STEP_REFUSE)
      CU_ASSERT_TRUE (state.ran == 0 && !state.answer_started);
    if (state.answer_started)
      CU_ASSERT_TRUE (step != BURDOCK_STEP_REPEAT && step != BURDOCK_STEP_FAIL);
  }
}

typedef struct {
  const BurdockRoute *route;
  uint64_t silent_ms;
  bool has_events;
  bool stalled;
} StallCase;

static const BurdockRoute lookup = { .kind = BURDOCK_ROUTE_IDEMPOTENT,
                                     .objective_ms = 300 };
static const BurdockRoute notes = { .kind = BURDOCK_ROUTE_STREAM, .objective_ms = 400 };

static const StallCase stall_cases[] = {
  { &notes, 500, false, false },  { &notes, 750, false, true },
  { &notes, 750, true, false },   { &notes, 950, true, true },
  { &lookup, 340, false, false }, { &lookup, 400, false, true },
};

/* Guards against callers that leave, after two seconds, while an upstream hangs, and
 * against leaving one that is only slow. */
static void
hanging_upstreams_are_left (void)
{
  for (uint32_t i = 0; i < sizeof stall_cases / sizeof stall_cases[0]; i++) {
    const StallCase *test = &stall_cases[i];

    CU_ASSERT_EQUAL (burdock_attempt_is_stalled (test->route, test->has_events,
                                                 test->silent_ms * 1000),
                     test->stalled);
  }
}

static const Test tests[] = {
  { "a caller waits for an upstream that hangs", hanging_upstreams_are_left },
  { "a request is repeated, refused or failed against its kind",
    steps_follow_from_kind_and_result },
  { "a promise is broken in a rare state", promises_hold_in_every_state },
};

int
main (void)
{
  return test_main ("attempt-policy", tests, TEST_COUNT (tests));
}
