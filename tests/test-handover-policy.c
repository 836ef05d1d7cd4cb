#include "handover-policy.h"
#include "test.h"

#define MS UINT64_C (1000)
#define LISTED_US (50 * MS)
#define VERSION(number)                                                                  \
  {                                                                                      \
    .is_set = true, .value = (number)                                                    \
  }

typedef struct {
  const char *name;
  BurdockHandoverView view;
  uint64_t now_us;
  BurdockHandoverStep step;
} StepCase;

static const StepCase step_cases[] = {
  { "store not read yet", { .peer_ready = true }, 40 * MS, BURDOCK_HANDOVER_WAIT },
  { "no other gateway heard yet",
    { .era = 2, .listed_us = LISTED_US, .own_version = VERSION (4) },
    100 * MS,
    BURDOCK_HANDOVER_WAIT },
  { "no other gateway is ready",
    { .era = 2, .listed_us = LISTED_US, .own_version = VERSION (4) },
    400 * MS,
    BURDOCK_HANDOVER_DONE },
  { "another gateway is ready",
    { .era = 2,
      .listed_us = LISTED_US,
      .own_version = VERSION (4),
      .peer_ready = true,
      .peer_version = VERSION (4) },
    60 * MS,
    BURDOCK_HANDOVER_ASK },
  { "state taken over",
    { .era = 2,
      .listed_us = LISTED_US,
      .own_version = VERSION (4),
      .peer_ready = true,
      .peer_version = VERSION (4),
      .taken_over = true,
      .asked_us = 60 * MS },
    61 * MS,
    BURDOCK_HANDOVER_DONE },
  { "store restored, the others have a newer configuration",
    { .era = 2,
      .listed_us = LISTED_US,
      .own_version = VERSION (4),
      .peer_ready = true,
      .peer_version = VERSION (9),
      .taken_over = true,
      .asked_us = 60 * MS },
    300 * MS,
    BURDOCK_HANDOVER_ASK },
  { "behind, asked just now",
    { .era = 2,
      .listed_us = LISTED_US,
      .own_version = VERSION (4),
      .peer_ready = true,
      .peer_version = VERSION (9),
      .failures = 1,
      .asked_us = 290 * MS },
    300 * MS,
    BURDOCK_HANDOVER_WAIT },
  { "behind a gateway that is not ready",
    { .era = 2,
      .listed_us = LISTED_US,
      .own_version = VERSION (4),
      .peer_version = VERSION (9) },
    300 * MS,
    BURDOCK_HANDOVER_ASK },
  { "no answer, not behind",
    { .era = 2,
      .listed_us = LISTED_US,
      .own_version = VERSION (4),
      .peer_ready = true,
      .peer_version = VERSION (4),
      .failures = 3,
      .asked_us = 600 * MS },
    610 * MS,
    BURDOCK_HANDOVER_DONE },
  { "no answer, behind",
    { .era = 2,
      .listed_us = LISTED_US,
      .own_version = VERSION (4),
      .peer_ready = true,
      .peer_version = VERSION (9),
      .failures = 30,
      .asked_us = 6000 * MS },
    9000 * MS,
    BURDOCK_HANDOVER_ASK },
  { "store never restored",
    { .era = 1, .listed_us = LISTED_US, .own_version = VERSION (4) },
    51 * MS,
    BURDOCK_HANDOVER_DONE },
  { "store never restored, another gateway is ready",
    { .era = 1,
      .listed_us = LISTED_US,
      .own_version = VERSION (4),
      .peer_ready = true,
      .peer_version = VERSION (4) },
    51 * MS,
    BURDOCK_HANDOVER_DONE },
  { "store never restored, behind",
    { .era = 1,
      .listed_us = LISTED_US,
      .own_version = VERSION (4),
      .peer_ready = true,
      .peer_version = VERSION (9) },
    51 * MS,
    BURDOCK_HANDOVER_ASK },
  { "no configuration, another gateway has the version 0",
    { .era = 1, .listed_us = LISTED_US, .peer_ready = true, .peer_version = VERSION (0) },
    51 * MS,
    BURDOCK_HANDOVER_ASK },
  { "version 0, as another gateway",
    { .era = 1,
      .listed_us = LISTED_US,
      .own_version = VERSION (0),
      .peer_ready = true,
      .peer_version = VERSION (0) },
    51 * MS,
    BURDOCK_HANDOVER_DONE },
  { "behind for too long",
    { .era = 2,
      .listed_us = LISTED_US,
      .own_version = VERSION (4),
      .peer_ready = true,
      .peer_version = VERSION (9),
      .failures = 30,
      .asked_us = 10000 * MS },
    10060 * MS,
    BURDOCK_HANDOVER_DONE },
};

static void
a_gateway_starts_with_what_the_others_know (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (step_cases); i++) {
    const StepCase *row = &step_cases[i];
    uint64_t due_us;

    if (burdock_handover_next (&row->view, row->now_us, &due_us) != row->step)
      CU_FAIL (row->name);
    if (row->step == BURDOCK_HANDOVER_WAIT)
      CU_ASSERT_TRUE (due_us > row->now_us);
  }
}

static const Test tests[] = {
  { "a gateway that starts serves an older configuration than the others",
    a_gateway_starts_with_what_the_others_know },
};

int
main (void)
{
  return test_main ("handover-policy", tests, TEST_COUNT (tests));
}
