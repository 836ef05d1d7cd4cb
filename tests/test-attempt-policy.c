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
  BurdockAttemptContext state;
  BurdockAttemptAction action;
} ActionCase;

#define STATE(route_, result_, run_count_, send_count_, started, time)                   \
  {                                                                                      \
    .route = &(route_), .result = (result_), .run_count = (run_count_),                  \
    .send_count = (send_count_), .answer_started = (started), .enough_time = (time)      \
  }

/* A stream that broke off after an event whose id is no number. */
#define PAST_LAST_ID                                                                     \
  {                                                                                      \
    .route = &resumable, .result = BURDOCK_ATTEMPT_TRUNCATED, .run_count = 1,            \
    .send_count = 1, .answer_started = true, .past_last_id = true, .enough_time = true   \
  }

static const ActionCase action_cases[] = {
  { "complete answer", STATE (once, BURDOCK_ATTEMPT_COMPLETE, 1, 1, false, true),
    BURDOCK_ACTION_FORWARD },
  { "lost answer of a call that runs once",
    STATE (once, BURDOCK_ATTEMPT_LOST, 1, 1, false, true), BURDOCK_ACTION_FAIL },
  { "failure of a call that runs once",
    STATE (once, BURDOCK_ATTEMPT_ERROR, 1, 1, false, true), BURDOCK_ACTION_FORWARD },
  { "refused call that runs once",
    STATE (once, BURDOCK_ATTEMPT_NOT_RUN, 0, 1, false, true), BURDOCK_ACTION_RETRY },
  { "refused too often", STATE (once, BURDOCK_ATTEMPT_NOT_RUN, 0, 4, false, true),
    BURDOCK_ACTION_REFUSE },
  { "refused without time left",
    STATE (once, BURDOCK_ATTEMPT_NOT_RUN, 0, 1, false, false), BURDOCK_ACTION_REFUSE },
  { "refused after a run that may have happened",
    STATE (idempotent, BURDOCK_ATTEMPT_NOT_RUN, 1, 4, false, true), BURDOCK_ACTION_FAIL },
  { "lost answer of an idempotent call",
    STATE (idempotent, BURDOCK_ATTEMPT_LOST, 1, 1, false, true), BURDOCK_ACTION_RETRY },
  { "all runs used", STATE (idempotent, BURDOCK_ATTEMPT_LOST, 2, 2, false, true),
    BURDOCK_ACTION_FAIL },
  { "failure of an idempotent call, all runs used",
    STATE (idempotent, BURDOCK_ATTEMPT_ERROR, 2, 2, false, true),
    BURDOCK_ACTION_FORWARD },
  { "stream lost before its first event",
    STATE (stream, BURDOCK_ATTEMPT_LOST, 1, 1, false, true), BURDOCK_ACTION_FAIL },
  { "truncated stream", STATE (stream, BURDOCK_ATTEMPT_TRUNCATED, 1, 1, true, true),
    BURDOCK_ACTION_ABORT },
  { "truncated resumable stream",
    STATE (resumable, BURDOCK_ATTEMPT_TRUNCATED, 1, 1, true, true),
    BURDOCK_ACTION_RESUME },
  { "resumed stream refused at the next upstream",
    STATE (resumable, BURDOCK_ATTEMPT_NOT_RUN, 1, 2, true, true), BURDOCK_ACTION_RESUME },
  { "resumed stream refused at all upstreams tried",
    STATE (resumable, BURDOCK_ATTEMPT_NOT_RUN, 1, 4, true, true), BURDOCK_ACTION_WAIT },
  { "the same, shortly before its deadline",
    STATE (resumable, BURDOCK_ATTEMPT_NOT_RUN, 1, 4, true, false), BURDOCK_ACTION_ABORT },
  { "resumable stream truncated after an event whose id is no number", PAST_LAST_ID,
    BURDOCK_ACTION_ABORT },
  { "resumable stream truncated twice",
    STATE (resumable, BURDOCK_ATTEMPT_TRUNCATED, 2, 2, true, true),
    BURDOCK_ACTION_ABORT },
};

/* Guards against a retry, refusal or failure that does not fit the kind of the route,
 * such as a second run of a call that is not idempotent. */
static void
actions_follow_from_kind_and_result (void)
{
  for (uint32_t i = 0; i < sizeof action_cases / sizeof action_cases[0]; i++) {
    BurdockAttemptAction action = burdock_attempt_next_action (&action_cases[i].state);

    if (action != action_cases[i].action)
      CU_FAIL (action_cases[i].name);
  }
}

/* Checks every combination of inputs. Guards against a second run of a request that may
 * run at most once, against reporting "not run" to the caller when the request may have
 * run, against a retry or failure answer after a part of an answer was delivered, and
 * against a stream that is resumed although its events cannot be told apart. */
static void
guarantees_hold_in_every_state (void)
{
  static const BurdockRoute *const routes[] = { &idempotent, &once, &stream, &resumable };

  for (uint32_t bits = 0; bits < 4 * 6 * 4 * 5 * 8; bits++) {
    BurdockAttemptContext state = { .route = routes[bits % 4],
                                    .result = 1 + bits / 4 % 6,
                                    .run_count = bits / 24 % 4,
                                    .send_count = bits / 96 % 5,
                                    .answer_started = bits / 480 % 2 != 0,
                                    .enough_time = bits / 960 % 2 != 0,
                                    .past_last_id =
                                        bits / 480 % 2 != 0 && bits / 1920 % 2 != 0 };
    BurdockAttemptAction action = burdock_attempt_next_action (&state);
    bool again = action == BURDOCK_ACTION_RETRY || action == BURDOCK_ACTION_RESUME;

    if (again && state.run_count > 0)
      CU_ASSERT_TRUE (state.route == &idempotent || state.route == &resumable);
    if (again)
      CU_ASSERT_TRUE (state.run_count < state.route->attempts_max && !state.past_last_id);
    if (action == BURDOCK_ACTION_REFUSE)
      CU_ASSERT_TRUE (state.run_count == 0 && !state.answer_started);
    if (state.answer_started)
      CU_ASSERT_TRUE (action != BURDOCK_ACTION_RETRY && action != BURDOCK_ACTION_FAIL);
  }
}

static const ActionCase unpaid_cases[] = {
  { "call of which nothing ran",
    STATE (idempotent, BURDOCK_ATTEMPT_NOT_RUN, 0, 1, false, true),
    BURDOCK_ACTION_REFUSE },
  { "lost call", STATE (idempotent, BURDOCK_ATTEMPT_LOST, 1, 1, false, true),
    BURDOCK_ACTION_FAIL },
  { "truncated stream that may be resumed",
    STATE (resumable, BURDOCK_ATTEMPT_TRUNCATED, 1, 1, true, true), BURDOCK_ACTION_WAIT },
  { "the same, shortly before its deadline",
    STATE (resumable, BURDOCK_ATTEMPT_TRUNCATED, 1, 1, true, false),
    BURDOCK_ACTION_ABORT },
  { "truncated stream after an event whose id is no number", PAST_LAST_ID,
    BURDOCK_ACTION_ABORT },
  { "truncated stream that may not be resumed",
    STATE (stream, BURDOCK_ATTEMPT_TRUNCATED, 1, 1, true, true), BURDOCK_ACTION_ABORT },
};

/* Guards against breaking a stream off because no retry is allowed at that moment. */
static void
a_stream_waits_for_the_retry_budget (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (unpaid_cases); i++)
    CU_ASSERT_EQUAL (burdock_attempt_unpaid_action (&unpaid_cases[i].state),
                     unpaid_cases[i].action);
}

typedef struct {
  const BurdockRoute *route;
  uint64_t allowed_ms;
  uint64_t silent_ms;
  uint64_t long_ms;
  uint64_t longest_ms;
  bool stalled;
} StallCase;

static const BurdockRoute lookup = { .kind = BURDOCK_ROUTE_IDEMPOTENT };
static const BurdockRoute notes = { .kind = BURDOCK_ROUTE_STREAM, .patience_ms = 2000 };
static const BurdockRoute endless = { .kind = BURDOCK_ROUTE_STREAM };

static const StallCase stall_cases[] = {
  /* The caller of a stream waits for 2 s. */
  { &notes, 8000, 950, 0, 0, false },
  { &notes, 8000, 1050, 0, 0, true },
  { &notes, 8000, 1050, 5000, 5000, true },
  /* It allows less. */
  { &notes, 1200, 550, 0, 0, false },
  { &notes, 1200, 650, 0, 0, true },
  /* It leaves at its deadline. */
  { &endless, 8000, 3900, 0, 0, false },
  { &endless, 8000, 4100, 0, 0, true },
  /* Nothing is known: half of the time is left for another attempt. */
  { &lookup, 3000, 1450, 0, 0, false },
  { &lookup, 3000, 1550, 0, 0, true },
  /* Others answer quickly. */
  { &lookup, 3000, 350, 20, 20, false },
  { &lookup, 3000, 450, 20, 20, true },
  { &lookup, 600, 250, 20, 20, false },
  { &lookup, 600, 350, 20, 20, true },
  /* Others need long. */
  { &lookup, 9000, 7900, 4000, 0, false },
  { &lookup, 9000, 8100, 4000, 0, true },
  /* The upstream works; some answers take long. */
  { &lookup, 9000, 3900, 20, 4000, false },
  { &lookup, 9000, 4100, 20, 4000, true },
};

/* Guards against detecting a hung upstream too late for another attempt to reach its
 * caller, and against treating a slow upstream as hung. */
static void
hanging_upstreams_are_detected (void)
{
  for (uint32_t i = 0; i < sizeof stall_cases / sizeof stall_cases[0]; i++) {
    const StallCase *test = &stall_cases[i];
    BurdockAnswerEstimate estimate = { .long_us = test->long_ms * 1000,
                                       .longest_us = test->longest_ms * 1000 };
    uint64_t timeout_us =
        burdock_attempt_stall_timeout_us (test->route, test->allowed_ms * 1000,
                                          &estimate);

    CU_ASSERT_EQUAL (test->silent_ms * 1000 > timeout_us, test->stalled);
    CU_ASSERT_TRUE (burdock_attempt_stall_min_us (test->route, test->allowed_ms * 1000) <=
                    timeout_us);
  }
}

typedef struct {
  uint64_t left_ms;
  uint64_t needed_ms;
  bool has_time;
} TimeCase;

static const TimeCase time_cases[] = {
  { 100, 0, false },   { 200, 0, true },   { 200, 50, true }, { 100, 50, false },
  { 200, 300, false }, { 400, 300, true }, { 0, 0, false },   { 4000, 4500, false },
};

/* Guards against an attempt that ends after the deadline: its work is lost, and so is
 * that of the attempt in whose place it began. */
static void
attempts_begin_with_enough_time (void)
{
  for (uint32_t i = 0; i < sizeof time_cases / sizeof time_cases[0]; i++) {
    const TimeCase *test = &time_cases[i];

    CU_ASSERT_EQUAL (burdock_attempt_has_time (10000000, 10000000 + test->left_ms * 1000,
                                               test->needed_ms * 1000),
                     test->has_time);
  }
}

typedef struct {
  uint32_t left_ms;
  uint32_t timeout_ms;
} ConnectCase;

static const ConnectCase connect_cases[] = {
  { 8000, 700 }, { 1400, 700 }, { 800, 400 }, { 600, 300 }, { 1, 1 }, { 0, 1 },
};

/* Guards against a connection to an upstream without power that takes all the time of a
 * request, so that no other upstream gets it. */
static void
connecting_leaves_time_for_another_upstream (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (connect_cases); i++)
    CU_ASSERT_EQUAL (burdock_attempt_connect_timeout_ms (connect_cases[i].left_ms),
                     connect_cases[i].timeout_ms);
}

/* Guards against an attempt that counts as stalled for ages because it was sent after the
 * time of the check was read. */
static void
an_attempt_that_was_just_sent_is_not_silent (void)
{
  CU_ASSERT_EQUAL (burdock_attempt_silence_us (5000, 4000), 1000);
  CU_ASSERT_EQUAL (burdock_attempt_silence_us (5000, 5000), 0);
  CU_ASSERT_EQUAL (burdock_attempt_silence_us (5000, 5003), 0);
}

static const Test tests[] = {
  { "connecting takes all the time of a request",
    connecting_leaves_time_for_another_upstream },
  { "an attempt that was just sent counts as silent",
    an_attempt_that_was_just_sent_is_not_silent },
  { "a stream is broken off while no retry is allowed",
    a_stream_waits_for_the_retry_budget },
  { "a caller waits for a hung upstream", hanging_upstreams_are_detected },
  { "an attempt begins too late to end", attempts_begin_with_enough_time },
  { "a request is retried, refused or failed against its kind",
    actions_follow_from_kind_and_result },
  { "a guarantee is broken in a rare state", guarantees_hold_in_every_state },
};

int
main (void)
{
  return test_main ("attempt-policy", tests, TEST_COUNT (tests));
}
