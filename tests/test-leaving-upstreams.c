#include "leaving-upstreams.h"
#include "test.h"

#define US_PER_S UINT64_C (1000000)
#define NOTICES 1024

typedef struct {
  const char *name;
  uint64_t noted_born_ms;
  uint64_t asked_born_ms;
  uint64_t after_s;
  bool leaving;
} StartCase;

static const StartCase start_cases[] = {
  { "the same start", 100, 100, 0, true },
  { "the same start, minutes later", 100, 100, 590, true },
  { "a start before it", 100, 90, 0, true },
  { "a row without its start", 100, 0, 0, true },
  { "a later start under its id", 100, 101, 0, false },
  { "the same start, long after it has gone", 100, 100, 601, false },
  { "an upstream that names no start", 0, 0, 50, true },
  { "an upstream that names no start, back", 0, 0, 61, false },
  { "a start that is known after all", 0, 100, 1, false },
};

static void
a_notice_holds_for_one_start (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (start_cases); i++) {
    const StartCase *row = &start_cases[i];
    BurdockLeavingUpstreams *set = burdock_leaving_upstreams_new ();

    CU_ASSERT_TRUE (
        burdock_leaving_upstreams_note (set, 7, row->noted_born_ms, US_PER_S));
    CU_ASSERT_FALSE (
        burdock_leaving_upstreams_note (set, 7, row->noted_born_ms, US_PER_S));
    CU_ASSERT_FALSE (burdock_leaving_upstreams_contains (set, 8, 100, US_PER_S));
    if (burdock_leaving_upstreams_contains (set, 7, row->asked_born_ms,
                                            (1 + row->after_s) * US_PER_S) !=
        row->leaving)
      CU_FAIL (row->name);
    burdock_leaving_upstreams_free (set);
  }
}

static void
the_oldest_notice_is_forgotten_first (void)
{
  BurdockLeavingUpstreams *set = burdock_leaving_upstreams_new ();

  for (uint64_t i = 0; i <= NOTICES; i++)
    burdock_leaving_upstreams_note (set, i + 1, 100, US_PER_S + i);
  CU_ASSERT_FALSE (burdock_leaving_upstreams_contains (set, 1, 100, 2 * US_PER_S));
  CU_ASSERT_TRUE (burdock_leaving_upstreams_contains (set, 2, 100, 2 * US_PER_S));
  CU_ASSERT_TRUE (
      burdock_leaving_upstreams_contains (set, NOTICES + 1, 100, 2 * US_PER_S));
  burdock_leaving_upstreams_free (set);
}

static const Test tests[] = {
  { "an upstream that leaves is used again in the same start, or not in the next one",
    a_notice_holds_for_one_start },
  { "notices fill the memory, or new ones are lost",
    the_oldest_notice_is_forgotten_first },
};

int
main (void)
{
  return test_main ("leaving-upstreams", tests, TEST_COUNT (tests));
}
