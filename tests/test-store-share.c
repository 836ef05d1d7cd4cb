#include "store-share.h"
#include "hash.h"
#include "test.h"

#define US_PER_S UINT64_C (1000000)
#define STEP_US UINT64_C (50000)
#define GATEWAYS_MAX 330

typedef struct {
  uint64_t era;
  uint32_t gateways;
  double lost;       /* share of the messages that are lost */
  double deaf_s;     /* the last gateway receives nothing for this time */
  double told_max_s; /* until the last gateway knows, after that */
  double per_s_max;  /* messages that a gateway receives a second, from 5 s on */
} ShareCase;

static const ShareCase share_cases[] = {
  { 2, 3, 0, 0, 0.5, 4 },   { 2, 9, 0, 0, 1, 4 },    { 2, 9, 0.3, 0, 2, 4 },
  { 2, 9, 0, 30, 2, 4 },    { 2, 99, 0, 0, 1, 4 },   { 2, 99, 0.3, 0, 2, 4 },
  { 2, 99, 0.3, 30, 3, 4 }, { 2, 330, 0, 0, 1, 4 },  { 2, 330, 0.3, 10, 3, 4 },
  { 0, 3, 0, 0, 0.5, 4 },   { 0, 9, 0.3, 30, 2, 4 }, { 0, 330, 0, 0, 1, 4 },
};

/* All gateways but the last one read the change by themselves at 0 s. */
static void
run_case (const ShareCase *row)
{
  const BurdockStoreState state = { .era = row->era, .upstream_version = 7 };
  BurdockStoreShare shares[GATEWAYS_MAX] = { { 0 } };
  uint64_t deaf_us = (uint64_t)(row->deaf_s * (double)US_PER_S);
  uint64_t told_us = 0;
  uint32_t late = 0;

  for (uint32_t i = 0; i < row->gateways; i++)
    shares[i].gateway = burdock_hash_mix (i + 1);
  for (uint64_t now_us = STEP_US; now_us < deaf_us + 20 * US_PER_S; now_us += STEP_US) {
    for (uint32_t i = 0; i + 1 < row->gateways; i++) {
      double draw = burdock_hash_unit (burdock_hash_pair (now_us, i));

      if (!burdock_store_share_is_due (&shares[i], &state, row->gateways, now_us))
        continue;
      late += now_us > 5 * US_PER_S;
      if (told_us == 0 && now_us >= deaf_us && draw >= row->lost)
        told_us = now_us;
    }
  }
  CU_ASSERT_TRUE (told_us != 0);
  CU_ASSERT_TRUE ((double)(told_us - deaf_us) <= row->told_max_s * (double)US_PER_S);
  CU_ASSERT_TRUE (late / (row->deaf_s + 15) <= row->per_s_max);
}

static void
the_last_gateway_hears_of_a_change (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (share_cases); i++)
    run_case (&share_cases[i]);
}

static void
nothing_is_told_before_it_was_read (void)
{
  const BurdockStoreState state = { 0 };
  BurdockStoreShare share = { .gateway = 1 };

  CU_ASSERT_FALSE (burdock_store_share_is_due (&share, &state, 9, US_PER_S));
  CU_ASSERT_FALSE (burdock_store_share_is_due (&share, &state, 9, 100 * US_PER_S));
}

typedef struct {
  uint64_t now_ms;
  bool behind;
  bool due;
} LagStep;

static const LagStep lag_steps[] = {
  { 1000, false, false }, { 2000, true, false },  { 2700, true, false },
  { 2800, true, true },   { 2900, true, false },  { 3600, true, true },
  { 3700, false, false }, { 4600, false, false }, { 4700, true, false },
  { 5600, true, true },
};

static void
a_gateway_that_is_behind_calls_again (void)
{
  BurdockStoreLag lag = { 0 };

  for (uint32_t i = 0; i < TEST_COUNT (lag_steps); i++) {
    const LagStep *row = &lag_steps[i];
    uint64_t due_us;

    CU_ASSERT_EQUAL (burdock_store_lag_is_due (&lag, row->behind, UINT64_C (800000),
                                               row->now_ms * 1000, &due_us),
                     row->due);
    CU_ASSERT_EQUAL (due_us == UINT64_MAX, !row->behind);
  }
}

typedef struct {
  uint32_t gateways;
  double gap_max_s; /* without a turn of any gateway */
  double per_s_max; /* turns of all gateways */
} TurnCase;

static const TurnCase turn_cases[] = {
  { 1, 2, 0.5 }, { 3, 2, 1.5 }, { 9, 2, 2 }, { 99, 3, 2 }, { 330, 4, 2 },
};

static void
one_gateway_after_the_other_repeats_its_call (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (turn_cases); i++) {
    const TurnCase *row = &turn_cases[i];
    BurdockStoreTurn turns[GATEWAYS_MAX] = { { 0 } };
    uint64_t last_us = 0;
    uint64_t gap_us = 0;
    uint32_t count = 0;

    for (uint32_t k = 0; k < row->gateways; k++)
      turns[k].gateway = burdock_hash_mix (k + 1);
    for (uint64_t now_us = STEP_US; now_us <= 400 * US_PER_S; now_us += STEP_US) {
      for (uint32_t k = 0; k < row->gateways; k++) {
        if (!burdock_store_turn_is_due (&turns[k], row->gateways, now_us))
          continue;
        count++;
        if (now_us - last_us > gap_us)
          gap_us = now_us - last_us;
        last_us = now_us;
      }
    }
    CU_ASSERT_TRUE ((double)gap_us <= row->gap_max_s * (double)US_PER_S);
    CU_ASSERT_TRUE (count <= row->per_s_max * 400 + row->gateways);
  }
}

static const Test tests[] = {
  { "a change is missed while the calls of all gateways have no answer, or the store "
    "gets "
    "too many calls",
    one_gateway_after_the_other_repeats_its_call },
  { "a gateway that is behind never calls the store again, or does so all the time",
    a_gateway_that_is_behind_calls_again },
  { "a gateway without answers of the store never hears of a change",
    the_last_gateway_hears_of_a_change },
  { "gateways send what they have not read", nothing_is_told_before_it_was_read },
};

int
main (void)
{
  return test_main ("store-share", tests, TEST_COUNT (tests));
}
