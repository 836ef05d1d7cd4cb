#include "blackboard.h"
#include "expert-map.h"
#include "group-load.h"
#include "planner.h"
#include "popularity.h"
#include "test.h"

#include <stdlib.h>
#include <string.h>

#define EXPERTS 16
#define RANKS 4
#define SLOTS 6

/* Reproducible pseudorandom number from 0 to 1. */
static double
random_unit (uint64_t *state)
{
  *state = *state * UINT64_C (6364136223846793005) + 1442695040888963407u;
  return (double)(*state >> 40) / (1 << 24);
}

static void
random_rates (double *rates, uint32_t layers, uint64_t *state)
{
  for (uint32_t l = 0; l < layers; l++) {
    double sum = 0;

    for (uint32_t e = 0; e < EXPERTS; e++) {
      double x = random_unit (state);

      rates[l * EXPERTS + e] = x * x * x;
      sum += x * x * x;
    }
    for (uint32_t e = 0; e < EXPERTS; e++)
      rates[l * EXPERTS + e] /= sum;
  }
}

static BurdockExpertMap
make_spread_map (uint32_t layers)
{
  BurdockExpertMap map;

  burdock_expert_map_init (&map, layers, RANKS, SLOTS);
  burdock_expert_map_spread (&map, EXPERTS);
  return map;
}

/* Guards against plans that drop the last copy of an expert, miscount the moves or are
 * worth a switch without lowering the skew. */
static void
plans_are_complete_and_pay (void)
{
  uint64_t state = 3;
  BurdockExpertMap map = make_spread_map (2);

  for (uint32_t i = 0; i < 200; i++) {
    double rates[2 * EXPERTS];
    BurdockPlanInput input = { .current = &map,
                               .experts = EXPERTS,
                               .rates = rates,
                               .step_tokens = i % 2 == 0 ? 500 : 0,
                               .skew_weight = 1,
                               .cost_weight = i % 3 == 0 ? 10 : 0.1 };
    BurdockExpertMap plan;
    BurdockPlanResult result;
    bool worthwhile;

    random_rates (rates, 2, &state);
    worthwhile = burdock_plan (&input, &plan, &result);
    CU_ASSERT_EQUAL (burdock_expert_map_check (&plan, EXPERTS), 0);
    CU_ASSERT_EQUAL (result.moves, burdock_expert_map_moves (&map, &plan));
    CU_ASSERT_TRUE (!worthwhile || result.skew_after < result.skew_before);
    burdock_expert_map_clear (&map);
    map = plan;
  }
  burdock_expert_map_clear (&map);
}

typedef struct {
  const char *name;
  double hot;   /* share of expert 0 */
  double speed; /* of rank 0 */
  double cost_weight;
  bool worthwhile;
} PlanCase;

/* Guards against plans whose moves cost more than they gain, and against hot experts or
 * stragglers that cause no plan. */
static void
plans_only_what_pays (void)
{
  static const PlanCase cases[] = {
    { "even load", 1.0 / EXPERTS, 1, 0.1, false },
    { "one hot expert", 0.4, 1, 0.1, true },
    { "one hot expert, moves too expensive", 0.4, 1, 1e6, false },
    { "straggler", 1.0 / EXPERTS, 0.5, 0.1, true },
  };

  for (uint32_t i = 0; i < TEST_COUNT (cases); i++) {
    BurdockExpertMap map = make_spread_map (1);
    double rates[EXPERTS];
    double speed[BURDOCK_MAP_RANKS_MAX] = { cases[i].speed, 1, 1, 1 };
    BurdockPlanInput input = { .current = &map,
                               .experts = EXPERTS,
                               .rates = rates,
                               .speed = speed,
                               .skew_weight = 1,
                               .cost_weight = cases[i].cost_weight };
    BurdockExpertMap plan;
    BurdockPlanResult result;

    for (uint32_t e = 0; e < EXPERTS; e++)
      rates[e] = e == 0 ? cases[i].hot : (1 - cases[i].hot) / (EXPERTS - 1);
    /* Start from a map that is balanced for even load, so that only the load of the case
     * calls for a change. */
    for (uint32_t round = 0; round < 8; round++) {
      BurdockPlanInput even = input;
      double flat[EXPERTS];

      for (uint32_t e = 0; e < EXPERTS; e++)
        flat[e] = 1.0 / EXPERTS;
      even.rates = flat;
      even.speed = NULL;
      even.cost_weight = 0;
      burdock_plan (&even, &plan, &result);
      burdock_expert_map_clear (&map);
      map = plan;
    }
    if (burdock_plan (&input, &plan, &result) != cases[i].worthwhile)
      CU_FAIL (cases[i].name);
    burdock_expert_map_clear (&plan);
    burdock_expert_map_clear (&map);
  }
}

/* Adds 60 intervals of noise, then @intervals with the tokens of one expert multiplied by
 * @factor; returns the surges detected in the latter. */
static uint32_t
surging_after (double factor, uint32_t intervals)
{
  BurdockPopularity *popularity = burdock_popularity_new (1, 128);
  double tokens[128];
  uint64_t state = 9;
  uint32_t surging = 0;

  for (uint32_t i = 0; i < 60 + intervals; i++) {
    for (uint32_t e = 0; e < 128; e++)
      tokens[e] = 1000 * (0.95 + 0.1 * random_unit (&state));
    if (i >= 60)
      tokens[5] *= factor;
    burdock_popularity_add (popularity, tokens);
    if (i >= 60)
      surging += burdock_popularity_surging (popularity);
  }
  burdock_popularity_free (popularity);
  return surging;
}

/* Guards against noise or a single outlier that counts as a surge, and against a surge
 * that is not detected in its second interval. */
static void
surge_is_distinguished_from_noise (void)
{
  CU_ASSERT_EQUAL (surging_after (1, 50), 0);
  CU_ASSERT_EQUAL (surging_after (4, 1), 0);
  CU_ASSERT_EQUAL (surging_after (4, 2), 1);
}

/* Guards against an interval without tokens that resets the estimate. */
static void
idle_interval_changes_nothing (void)
{
  BurdockPopularity *popularity = burdock_popularity_new (1, 2);
  double tokens[2] = { 30, 10 };
  double idle[2] = { 0, 0 };

  burdock_popularity_add (popularity, tokens);
  burdock_popularity_add (popularity, idle);
  CU_ASSERT_DOUBLE_EQUAL (burdock_popularity_rates (popularity)[0], 0.75, 1e-9);
  burdock_popularity_free (popularity);
}

/* Guards against a rank with many tokens that is taken for a straggler: rank 3 needs
 * twice the time expected from its tokens, rank 0 has twice the tokens. */
static void
loaded_rank_is_not_a_straggler (void)
{
  BurdockExpertMap map;
  BurdockGroupLoad load;
  static const uint32_t times_us[RANKS] = { 1500, 900, 900, 1800 };

  burdock_expert_map_init (&map, 1, RANKS, 1);
  burdock_expert_map_spread (&map, RANKS);
  burdock_group_load_init (&load, RANKS, 1, RANKS);
  for (uint32_t i = 1; i <= 20; i++) {
    for (uint32_t r = 0; r < RANKS; r++) {
      uint8_t tokens[4] = { 0, 0, 0, r == 0 ? 200 : 100 };
      BurdockPopularityMessage message = { .rank = r,
                                           .step = (uint64_t)i * 10,
                                           .step_time_us = times_us[r],
                                           .tokens = { tokens, 4 } };

      CU_ASSERT_FALSE (burdock_group_load_complete (&load));
      burdock_group_load_add_report (&load, &message, &map, i);
    }
    CU_ASSERT_TRUE (burdock_group_load_complete (&load));
    burdock_group_load_end_interval (&load);
  }
  CU_ASSERT_DOUBLE_EQUAL (load.speed[0], 1, 0.01);
  CU_ASSERT_DOUBLE_EQUAL (load.speed[3], 0.5, 0.05);
  CU_ASSERT_DOUBLE_EQUAL (load.step_tokens, 12.5, 0.01);
  CU_ASSERT_EQUAL (burdock_group_load_skew_us (&load), 900);
  burdock_group_load_clear (&load);
  burdock_expert_map_clear (&map);
}

typedef struct {
  uint64_t steps[2]; /* of the reports that end two intervals */
  double step_tokens;
} StepTokensCase;

static const StepTokensCase step_tokens_cases[] = {
  { { 0, 10 }, 10 }, { { 1, 11 }, 10 },
  { { 0, 1 }, 100 }, { { UINT64_C (1) << 40, (UINT64_C (1) << 40) + 4 }, 25 },
  { { 0, 0 }, 0 }, /* no step in the interval */
  { { 7, 2 }, 0 }, /* an engine that started again */
};

/* Guards against tokens per step that are not known for one more interval, in a group
 * whose first report is of step 0. */
static void
tokens_of_steps_are_known_from_any_step_on (void)
{
  for (size_t i = 0; i < TEST_COUNT (step_tokens_cases); i++) {
    const StepTokensCase *test = &step_tokens_cases[i];
    BurdockExpertMap map;
    BurdockGroupLoad load;

    burdock_expert_map_init (&map, 1, 1, 1);
    burdock_expert_map_spread (&map, 1);
    burdock_group_load_init (&load, 1, 1, 1);
    for (uint32_t interval = 0; interval < 2; interval++) {
      uint8_t tokens[4] = { 0, 0, 0, 100 };
      BurdockPopularityMessage message = { .step = test->steps[interval],
                                           .step_time_us = 900,
                                           .tokens = { tokens, 4 } };

      burdock_group_load_add_report (&load, &message, &map, interval + 1);
      burdock_group_load_end_interval (&load);
      if (interval == 0)
        CU_ASSERT_DOUBLE_EQUAL (load.step_tokens, 0, 0.01);
    }
    CU_ASSERT_DOUBLE_EQUAL (load.step_tokens, test->step_tokens, 0.01);
    burdock_group_load_clear (&load);
    burdock_expert_map_clear (&map);
  }
}

/* Guards against metrics of a group that are missing or wrong, and against metrics of
 * groups that this process no longer coordinates. */
static void
group_metrics_are_exported (void)
{
  static const char *const lines[] = {
    "burdock_group_skew_us{group=\"west\"} 11\n",
    "burdock_group_switches_total{group=\"west\"} 2\n",
    "burdock_group_aborts_total{group=\"west\"} 3\n",
    "burdock_group_moves_total{group=\"west\"} 4\n",
    "burdock_group_moved_bytes_total{group=\"west\"} 5000000000\n",
    "burdock_group_pauses_total{group=\"west\"} 6\n",
    "burdock_group_pause_us_total{group=\"west\"} 7\n",
  };
  BurdockGroupView views[] = { { .name = "west",
                                 .coordinating = true,
                                 .skew_us = 11,
                                 .switches = 2,
                                 .aborts = 3,
                                 .moves = 4,
                                 .moved_bytes = 5000000000,
                                 .pauses = 6,
                                 .pause_us = 7 },
                               { .name = "east" } };
  BurdockGroups groups = { .count = 2, .items = views };
  char *text = burdock_groups_text (&groups);

  for (uint32_t i = 0; i < TEST_COUNT (lines); i++)
    CU_ASSERT_PTR_NOT_NULL (strstr (text, lines[i]));
  CU_ASSERT_PTR_NULL (strstr (text, "east"));
  free (text);
}

static const Test tests[] = {
  { "a metric of a group is missing, or a former coordinator exports it",
    group_metrics_are_exported },
  { "a plan drops the last copy of an expert", plans_are_complete_and_pay },
  { "a plan moves experts at a cost above the gain", plans_only_what_pays },
  { "noise counts as a surge, or a surge as noise", surge_is_distinguished_from_noise },
  { "an idle interval resets the estimate", idle_interval_changes_nothing },
  { "a loaded rank counts as a straggler", loaded_rank_is_not_a_straggler },
  { "the tokens of steps are not known in a group that begins at step 0",
    tokens_of_steps_are_known_from_any_step_on },
};

int
main (void)
{
  return test_main ("planner", tests, TEST_COUNT (tests));
}
