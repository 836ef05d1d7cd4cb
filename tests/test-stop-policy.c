#include "stop-policy.h"
#include "test.h"

#define MS UINT64_C (1000)
#define BEGAN_US (5000 * MS)
#define END_US (12500 * MS)

typedef struct {
  const char *name;
  bool stopping;
  uint64_t deadline_us;
  bool admits;
} AdmissionCase;

static const AdmissionCase admission_cases[] = {
  { "no stop, any deadline", false, UINT64_MAX / 2, true },
  { "ends long before the stop", true, BEGAN_US + 1500 * MS, true },
  { "ends just before the stop, with time for its answer", true, END_US - 100 * MS,
    true },
  { "its answer would come after the end", true, END_US - 99 * MS, false },
  { "ends with the stop", true, END_US, false },
  { "may run longer than the stop", true, BEGAN_US + 8000 * MS, false },
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

static const Test tests[] = {
  { "a request is taken in a planned stop that may cut it off",
    a_request_that_may_outlast_the_stop_is_refused },
};

int
main (void)
{
  return test_main ("stop-policy", tests, TEST_COUNT (tests));
}
