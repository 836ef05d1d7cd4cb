/**
 * DOC: bench-maps.c - skew and moves of the planned expert maps, and the time of a plan
 *
 * Serves the same drifting popularity with the maps of the planner, with the initial map
 * (static), with a new map at each interval (repack), and with a map that is packed for
 * the actual popularity of each second (oracle).
 */
#include "bench.h"

#include "drift.h"
#include "planner.h"
#include "popularity.h"

#include <stdio.h>
#include <stdlib.h>

#define EXPERTS 128
#define LAYERS 4
#define SECONDS 600

/* All maps start as the initial one. The time until the planned map has replaced it is
 * not measured. */
#define WARM_UP_S 30
#define SEEDS 4
#define SURGE_SEEDS 10

/* About a hundred surges a day, several times more than the notices of ten workspaces
 * cause. */
#define SURGE_EVERY_S 900

/* Tokens are routed to experts at random with the popularity as probability, so even a
 * perfect map has some skew in each step. A rank decodes 64 streams at a time, each token
 * goes to 8 experts, and a step takes 50 ms. */
#define STEP_TOKENS_PER_RANK (64.0 * 8)
#define STEPS_PER_S 20

/* Layers of the plans that are timed, as in the configurations of both deployments. */
#define TIMED_LAYERS 24
#define TIMED_RUNS 5

/* Time from a plan until its map is in use: the ranks load the experts in advance and
 * then wait for the step at which they switch. */
#define SWITCH_S 2

/** struct Deployment - planner weights and interval of a deployment's configuration */
typedef struct {
  const char *name;
  double skew_weight;
  double cost_weight;
  uint32_t interval_s;
} Deployment;

static const Deployment kaitiaki = { "kaitiaki", 4.0, 0.5, 5 };
static const Deployment sementeira = { "sementeira", 1.0, 6.0, 15 };

typedef struct {
  uint32_t ranks;
  uint32_t slots;
} GroupSize;

/* A quarter to a half more slots than experts, for additional copies. */
static const GroupSize group_sizes[] = { { 4, 40 }, { 8, 20 }, { 32, 6 } };
#define GROUP_SIZE_COUNT (sizeof group_sizes / sizeof group_sizes[0])

typedef struct {
  double skew_planned;
  double skew_static;
  double skew_oracle;
  double skew_repack;
  double expected_planned; /* skew without the randomness of routing */
  double expected_oracle;
  double moves_planned;
  double moves_repack;
  double plan_ms_worst;
  double switches;
} Totals;

/**
 * struct Run - simulation of one rank group
 * @second_sample: tokens of each expert in one second, from which popularity is estimated
 * @step_sample: tokens of each expert in one step, for which skew is measured
 * @initial: map that stays in use for the static figures
 * @planned: map of the planner
 * @repack: map that is packed anew at each interval
 * @pending: plan that comes into use in second @pending_from_s
 * @pending_from_s: 0 if there is no pending plan
 * @next_plan_s: second of the next plan
 * @timed: whether to measure the time of plans
 */
typedef struct {
  const Deployment *deployment;
  Drift *drift;
  BurdockPopularity *popularity;
  double *second_sample;
  double *step_sample;
  BurdockExpertMap initial;
  BurdockExpertMap planned;
  BurdockExpertMap repack;
  BurdockExpertMap pending;
  uint32_t pending_from_s;
  uint32_t next_plan_s;
  bool timed;
} Run;

static void
replace_map (BurdockExpertMap *map, BurdockExpertMap *by)
{
  burdock_expert_map_clear (map);
  *map = *by;
}

static BurdockPlanInput
plan_input (const Run *run, const BurdockExpertMap *current, const double *rates)
{
  return (BurdockPlanInput){ .current = current,
                             .experts = EXPERTS,
                             .rates = rates,
                             .step_tokens = STEP_TOKENS_PER_RANK,
                             .skew_weight = run->deployment->skew_weight,
                             .cost_weight = run->deployment->cost_weight };
}

/* Shortest of several runs, as other processes may delay some of them. */
static double
time_plan (const BurdockPlanInput *input)
{
  double shortest_ms = 0;

  for (uint32_t i = 0; i < TIMED_RUNS; i++) {
    uint64_t start_ns = bench_now_ns ();
    BurdockPlanResult result;
    BurdockExpertMap plan;
    double ms;

    burdock_plan (input, &plan, &result);
    ms = (double)(bench_now_ns () - start_ns) / 1e6;
    burdock_expert_map_clear (&plan);
    if (i == 0 || ms < shortest_ms)
      shortest_ms = ms;
  }
  return shortest_ms;
}

static void
plan_switch (Run *run, uint32_t second, Totals *totals)
{
  BurdockPlanInput input =
      plan_input (run, &run->planned, burdock_popularity_rates (run->popularity));
  BurdockPlanResult result;
  BurdockExpertMap plan;
  bool worthwhile = burdock_plan (&input, &plan, &result);

  if (run->timed) {
    double ms = time_plan (&input);

    if (ms > totals->plan_ms_worst)
      totals->plan_ms_worst = ms;
  }
  if (!worthwhile) {
    burdock_expert_map_clear (&plan);
    return;
  }
  totals->moves_planned += (double)burdock_expert_map_moves (&run->planned, &plan);
  totals->switches += 1;
  run->pending = plan;
  run->pending_from_s = second + SWITCH_S;
  if (result.unfinished)
    run->next_plan_s = run->pending_from_s;
}

static void
plan_repack (Run *run, Totals *totals)
{
  BurdockPlanInput input =
      plan_input (run, &run->repack, burdock_popularity_rates (run->popularity));
  BurdockExpertMap plan;

  burdock_plan_repack (&input, &plan);
  totals->moves_repack += (double)burdock_expert_map_moves (&run->repack, &plan);
  replace_map (&run->repack, &plan);
}

/* Simulates one second: serves tokens with the maps in use, then counts them for the
 * popularity and plans. */
static void
run_second (Run *run, uint32_t second, Totals *totals)
{
  const double *rates;
  BurdockPlanInput input;
  BurdockExpertMap oracle;

  drift_advance_1s (run->drift);
  rates = drift_rates (run->drift);
  if (run->pending_from_s != 0 && second >= run->pending_from_s) {
    replace_map (&run->planned, &run->pending);
    run->pending_from_s = 0;
  }
  input = plan_input (run, &run->initial, rates);
  burdock_plan_repack (&input, &oracle);
  drift_sample (run->drift, 1, STEP_TOKENS_PER_RANK * run->initial.ranks,
                run->step_sample);
  totals->skew_static +=
      burdock_plan_skew (&run->initial, EXPERTS, run->step_sample, NULL);
  totals->skew_planned +=
      burdock_plan_skew (&run->planned, EXPERTS, run->step_sample, NULL);
  totals->skew_repack +=
      burdock_plan_skew (&run->repack, EXPERTS, run->step_sample, NULL);
  totals->skew_oracle += burdock_plan_skew (&oracle, EXPERTS, run->step_sample, NULL);
  totals->expected_planned += burdock_plan_skew (&run->planned, EXPERTS, rates, NULL);
  totals->expected_oracle += burdock_plan_skew (&oracle, EXPERTS, rates, NULL);
  burdock_expert_map_clear (&oracle);
  drift_sample (run->drift, STEPS_PER_S, STEP_TOKENS_PER_RANK * run->initial.ranks,
                run->second_sample);
  burdock_popularity_add (run->popularity, run->second_sample);
  if (second % run->deployment->interval_s == 0)
    plan_repack (run, totals);
  if (run->pending_from_s == 0 &&
      (second >= run->next_plan_s || burdock_popularity_surging (run->popularity) > 0)) {
    run->next_plan_s = second + run->deployment->interval_s;
    plan_switch (run, second, totals);
  }
}

static void
run_init (Run *run, const Deployment *deployment, const GroupSize *size, uint32_t layers,
          uint32_t surge_every_s, uint64_t seed)
{
  size_t count = (size_t)layers * EXPERTS;

  *run = (Run){ .deployment = deployment };
  run->drift = drift_new (layers, EXPERTS, surge_every_s, seed);
  run->popularity = burdock_popularity_new (layers, EXPERTS);
  run->second_sample = calloc (count, sizeof *run->second_sample);
  run->step_sample = calloc (count, sizeof *run->step_sample);
  burdock_expert_map_init (&run->initial, layers, size->ranks, size->slots);
  burdock_expert_map_spread (&run->initial, EXPERTS);
  burdock_expert_map_copy (&run->planned, &run->initial);
  burdock_expert_map_copy (&run->repack, &run->initial);
}

static void
run_clear (Run *run)
{
  if (run->pending_from_s != 0)
    burdock_expert_map_clear (&run->pending);
  burdock_expert_map_clear (&run->initial);
  burdock_expert_map_clear (&run->planned);
  burdock_expert_map_clear (&run->repack);
  burdock_popularity_free (run->popularity);
  drift_free (run->drift);
  free (run->second_sample);
  free (run->step_sample);
}

static void
add_totals (Totals *sum, const Totals *totals)
{
  sum->skew_planned += totals->skew_planned;
  sum->skew_static += totals->skew_static;
  sum->skew_oracle += totals->skew_oracle;
  sum->skew_repack += totals->skew_repack;
  sum->expected_planned += totals->expected_planned;
  sum->expected_oracle += totals->expected_oracle;
  sum->moves_planned += totals->moves_planned;
  sum->moves_repack += totals->moves_repack;
  sum->switches += totals->switches;
}

static Totals
run_size (const Deployment *deployment, const GroupSize *size)
{
  Totals totals = { 0 };

  for (uint64_t seed = 1; seed <= SEEDS; seed++) {
    Run run;

    run_init (&run, deployment, size, LAYERS, SURGE_EVERY_S, seed);
    for (uint32_t second = 1; second <= WARM_UP_S; second++)
      run_second (&run, second, &(Totals){ 0 });
    for (uint32_t second = WARM_UP_S + 1; second <= SECONDS; second++)
      run_second (&run, second, &totals);
    run_clear (&run);
  }
  return totals;
}

static void
report_deployment (const Deployment *deployment, Totals *sum)
{
  char name[64];

  for (size_t i = 0; i < GROUP_SIZE_COUNT; i++) {
    Totals totals = run_size (deployment, &group_sizes[i]);

    snprintf (name, sizeof name, "skew_%s_vs_oracle_%u_ranks", deployment->name,
              group_sizes[i].ranks);
    bench_without_target (name, totals.skew_planned / totals.skew_oracle, "ratio");
    snprintf (name, sizeof name, "skew_%s_vs_static_%u_ranks", deployment->name,
              group_sizes[i].ranks);
    bench_without_target (name, totals.skew_planned / totals.skew_static, "ratio");
    snprintf (name, sizeof name, "moves_%s_vs_repack_%u_ranks", deployment->name,
              group_sizes[i].ranks);
    bench_without_target (name, totals.moves_planned / totals.moves_repack, "ratio");
    snprintf (name, sizeof name, "expected_skew_%s_%u_ranks", deployment->name,
              group_sizes[i].ranks);
    bench_without_target (name, totals.expected_planned / (SECONDS - WARM_UP_S) / SEEDS,
                          "steps");
    snprintf (name, sizeof name, "skew_%s_oracle_%u_ranks", deployment->name,
              group_sizes[i].ranks);
    bench_without_target (name, totals.skew_oracle / (SECONDS - WARM_UP_S) / SEEDS,
                          "steps");
    add_totals (sum, &totals);
  }
  snprintf (name, sizeof name, "expected_skew_%s_vs_oracle", deployment->name);
  bench_without_target (name, sum->expected_planned / sum->expected_oracle, "ratio");
  snprintf (name, sizeof name, "skew_%s_repack_vs_static", deployment->name);
  bench_without_target (name, sum->skew_repack / sum->skew_static, "ratio");
}

/* Returns whether hot experts have enough copies, so that no copy gets more than the
 * average load of a rank. */
static bool
hot_experts_have_copies (const BurdockExpertMap *map, const double *rates)
{
  for (uint32_t l = 0; l < map->layers; l++) {
    const uint16_t *slots = burdock_expert_map_rank_slots (map, l, 0);
    uint32_t copies[EXPERTS] = { 0 };

    for (uint32_t i = 0; i < map->ranks * map->slots; i++)
      copies[slots[i]]++;
    for (uint32_t e = 0; e < EXPERTS; e++)
      if (rates[(size_t)l * EXPERTS + e] * map->ranks > copies[e])
        return false;
  }
  return true;
}

/* Time in milliseconds from a surge, as a notice to all callers at once causes it, until
 * hot experts have enough copies. At most one minute. */
static double
surge_ms (uint64_t seed)
{
  Run run;
  Totals totals = { 0 };
  uint32_t second = 1;
  uint32_t surge_start;

  run_init (&run, &kaitiaki, &group_sizes[GROUP_SIZE_COUNT - 1], LAYERS, 0, seed);
  for (; second <= 2 * WARM_UP_S; second++)
    run_second (&run, second, &totals);
  drift_surge (run.drift, 4);
  surge_start = second;
  do
    run_second (&run, second++, &totals);
  while (second < surge_start + 60 &&
         !hot_experts_have_copies (&run.planned, drift_rates (run.drift)));
  run_clear (&run);
  return (second - surge_start) * 1000.0;
}

static double
plan_ms_32 (void)
{
  Totals totals = { 0 };
  Run run;

  run_init (&run, &kaitiaki, &group_sizes[GROUP_SIZE_COUNT - 1], TIMED_LAYERS, 60, 9);
  run.timed = true;
  for (uint32_t second = 1; second <= 120; second++)
    run_second (&run, second, &totals);
  run_clear (&run);
  return totals.plan_ms_worst;
}

void
bench_maps (void)
{
  Totals kaitiaki_sum = { 0 };
  Totals sementeira_sum = { 0 };
  double worst_ms = 0;

  report_deployment (&kaitiaki, &kaitiaki_sum);
  report_deployment (&sementeira, &sementeira_sum);
  bench_at_most ("skew_kaitiaki_vs_static",
                 kaitiaki_sum.skew_planned / kaitiaki_sum.skew_static, "ratio", 0.25);
  bench_at_most ("skew_kaitiaki_vs_oracle",
                 kaitiaki_sum.skew_planned / kaitiaki_sum.skew_oracle, "ratio", 1.15);
  bench_at_most ("moves_sementeira_vs_repack",
                 sementeira_sum.moves_planned / sementeira_sum.moves_repack, "ratio",
                 0.10);
  bench_at_most ("skew_sementeira_vs_static",
                 sementeira_sum.skew_planned / sementeira_sum.skew_static, "ratio", 0.50);
  bench_at_most ("plan_ms_32x128", plan_ms_32 (), "ms", 5);
  for (uint64_t seed = 1; seed <= SURGE_SEEDS; seed++) {
    double ms = surge_ms (seed);

    worst_ms = ms > worst_ms ? ms : worst_ms;
  }
  bench_at_most ("load_follows_ms_surge", worst_ms, "ms", 5000);
}
