#include "stop-policy.h"
#include "test.h"

#define MS UINT64_C (1000)
#define BEGAN_US (5000 * MS)
#define END_US (12500 * MS)

typedef struct {
  const char *name;
  uint64_t deadline_us;
  bool stopping;
  bool admits;
} AdmissionCase;

static const AdmissionCase admission_cases[] = {
  { "no stop, any deadline", UINT64_MAX / 2, false, true },
  { "ends long before the stop", BEGAN_US + 1500 * MS, true, true },
  { "ends just before the stop, with time for its answer", END_US - 100 * MS, true,
    true },
  { "its answer would come after the end", END_US - 99 * MS, true, false },
  { "ends with the stop", END_US, true, false },
  { "may run longer than the stop", BEGAN_US + 8000 * MS, true, false },
};

/* Guards against requests that are taken in a planned stop and cut off at its end. */
static void
a_request_that_may_outlast_the_stop_is_refused (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (admission_cases); i++) {
    const AdmissionCase *row = &admission_cases[i];
    BurdockStopPolicy stop = { 0 };

    if (row->stopping)
      burdock_stop_policy_begin (&stop, BEGAN_US, END_US);
    CU_ASSERT_EQUAL (burdock_stop_policy_admits (&stop, row->deadline_us), row->admits);
  }
}

typedef struct {
  uint64_t limit_ms;
  uint64_t after_ms;
  uint32_t left_ms;
} LeftCase;

static const LeftCase left_cases[] = {
  { 7400, 0, 3500 }, { 7400, 3000, 500 }, { 7400, 3500, 0 }, { 7400, 7000, 0 },
  { 3700, 0, 3400 }, { 1900, 0, 1600 },   { 500, 0, 200 },   { 300, 0, 0 },
};

/* Guards against a short stop that is reported as cut short though nothing ran. */
static void
a_short_stop_has_time_for_its_last_phase (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (left_cases); i++) {
    const LeftCase *row = &left_cases[i];
    BurdockStopPolicy stop = { 0 };

    burdock_stop_policy_begin (&stop, BEGAN_US, BEGAN_US + row->limit_ms * MS);
    CU_ASSERT_EQUAL (burdock_stop_policy_left_ms (&stop, BEGAN_US + row->after_ms * MS),
                     row->left_ms);
  }
}

typedef struct {
  uint64_t after_ms; /* since the start of the stop */
  bool busy;
  BurdockStopPhase phase;
  uint64_t next_ms; /* 0 for never */
} PhaseStep;

typedef struct {
  const char *name;
  uint64_t given_up_ms; /* time of burdock_stop_policy_close(), 0 for never */
  PhaseStep steps[6];
} PhaseCase;

static const PhaseCase phase_cases[] = {
  { "idle: connections are accepted for 3.5 s",
    0,
    { { 0, false, BURDOCK_STOP_DRAINING, 3500 },
      { 3499, false, BURDOCK_STOP_DRAINING, 3500 },
      { 3500, false, BURDOCK_STOP_CLOSING, 3700 },
      { 3699, false, BURDOCK_STOP_CLOSING, 3700 },
      { 3700, false, BURDOCK_STOP_ENDED, 3700 } } },
  { "a request runs on",
    0,
    { { 3500, true, BURDOCK_STOP_DRAINING, 0 },
      { 6000, true, BURDOCK_STOP_DRAINING, 0 },
      { 6100, false, BURDOCK_STOP_CLOSING, 6300 },
      { 6300, false, BURDOCK_STOP_ENDED, 6300 } } },
  { "a request comes after the last one",
    0,
    { { 3500, false, BURDOCK_STOP_CLOSING, 3700 },
      { 3650, true, BURDOCK_STOP_CLOSING, 3850 },
      { 3700, false, BURDOCK_STOP_CLOSING, 3850 },
      { 3850, false, BURDOCK_STOP_ENDED, 3850 } } },
  { "requests are given up before the minimum time",
    1000,
    { { 500, true, BURDOCK_STOP_DRAINING, 3500 },
      { 1000, true, BURDOCK_STOP_CLOSING, 1200 },
      { 1010, false, BURDOCK_STOP_CLOSING, 1200 },
      { 1200, false, BURDOCK_STOP_ENDED, 1200 } } },
};

/* Guards against a process that ends while a request is on its way to it. */
static void
a_process_ends_only_when_nothing_has_come_for_a_while (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (phase_cases); i++) {
    const PhaseCase *row = &phase_cases[i];
    BurdockStopPolicy stop = { 0 };

    burdock_stop_policy_begin (&stop, BEGAN_US, END_US);
    for (const PhaseStep *step = row->steps; step->phase != BURDOCK_STOP_NONE; step++) {
      uint64_t now_us = BEGAN_US + step->after_ms * MS;
      uint64_t next_us;

      if (row->given_up_ms > 0 && step->after_ms == row->given_up_ms)
        burdock_stop_policy_close (&stop, now_us);
      next_us = burdock_stop_policy_update (&stop, step->busy, now_us);
      CU_ASSERT_EQUAL (stop.phase, step->phase);
      CU_ASSERT_EQUAL (next_us,
                       step->next_ms > 0 ? BEGAN_US + step->next_ms * MS : UINT64_MAX);
      if (stop.phase >= BURDOCK_STOP_CLOSING)
        CU_ASSERT_FALSE (burdock_stop_policy_admits (&stop, now_us));
    }
  }
}

static const Test tests[] = {
  { "a request is taken in a planned stop that may cut it off",
    a_request_that_may_outlast_the_stop_is_refused },
  { "a process ends while a request is on its way to it",
    a_process_ends_only_when_nothing_has_come_for_a_while },
  { "a short stop is cut short though nothing runs",
    a_short_stop_has_time_for_its_last_phase },
};

int
main (void)
{
  return test_main ("stop-policy", tests, TEST_COUNT (tests));
}
