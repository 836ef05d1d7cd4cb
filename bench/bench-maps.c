#include "bench.h"

#include "drift.h"
#include "planner.h"
#include "popularity.h"

#include <stdio.h>
#include <stdlib.h>

#define EXPERTS 128
#define LAYERS 4
#define SECONDS 600

/* All maps start as the initial one; the time until ours has left it is left out. */
#define WARM_UP_S 30
#define SEEDS 4
#define SURGE_SEEDS 10

/* About a hundred surges a day, several times more than notices of ten workspaces. */
#define SURGE_EVERY_S 900

/* Tokens are routed to experts at random with the popularity as probability, so even a
 * perfect map has some skew in a step. A rank decodes 64 streams at a time, a token goes
 * to 8 experts, and a step takes 50 ms. */
#define STEP_TOKENS_PER_RANK (64.0 * 8)
#define STEPS_PER_S 20

/* Layers of a plan that is timed, as in the files of both deployments. */
#define TIMED_LAYERS 24
#define TIMED_RUNS 5

/* Time from a plan to the map in use: load of the experts ahead of the switch, then the
 * step to hold at. */
#define SWITCH_S 2

/** struct Deployment - weights and interval between plans, as in the file of a deployment
 */
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
} Size;

/* A quarter to a half of the slots is left for further copies. */
static const Size sizes[] = { { 4, 40 }, { 8, 20 }, { 32, 6 } };
#define SIZE_COUNT (sizeof sizes / sizeof sizes[0])

typedef struct {
  double skew_ours;
  double skew_static;
  double skew_oracle;
  double skew_repack;
  double expected_ours; /* skew without the chance of the routing */
  double expected_oracle;
  double moves_ours;
  double moves_repack;
  double plan_ms_worst;
  double switches;
} Totals;

typedef struct {
  const Deployment *deployment;
  Drift *drift;
  BurdockPopularity *popularity;
  double *sample;
  double *step;
  BurdockExpertMap fixed;
  BurdockExpertMap ours;
  BurdockExpertMap repack;
  BurdockExpertMap pending;
  uint32_t pending_at; /* second in which the pending map comes into use, 0 for none */
  uint32_t next_plan;
  bool timed;
} Run;

static void
replace (BurdockExpertMap *map, BurdockExpertMap *by)
{
  burdock_expert_map_clear (map);
  *map = *by;
}

static BurdockPlanInput
input_of (const Run *run, const BurdockExpertMap *current, const double *rates)
{
  return (BurdockPlanInput){ .current = current,
                             .experts = EXPERTS,
                             .rates = rates,
                             .step_tokens = STEP_TOKENS_PER_RANK,
                             .skew_weight = run->deployment->skew_weight,
                             .cost_weight = run->deployment->cost_weight };
}

/* Shortest of a few runs of one plan, as others use the machine too. */
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
plan_ours (Run *run, uint32_t second, Totals *totals)
{
  BurdockPlanInput input =
      input_of (run, &run->ours, burdock_popularity_rates (run->popularity));
  BurdockPlanResult result;
  BurdockExpertMap plan;
  bool worth = burdock_plan (&input, &plan, &result);

  if (run->timed) {
    double ms = time_plan (&input);

    if (ms > totals->plan_ms_worst)
      totals->plan_ms_worst = ms;
  }
  if (!worth) {
    burdock_expert_map_clear (&plan);
    return;
  }
  totals->moves_ours += (double)burdock_expert_map_moves (&run->ours, &plan);
  totals->switches += 1;
  run->pending = plan;
  run->pending_at = second + SWITCH_S;
  if (result.unfinished)
    run->next_plan = run->pending_at;
}

static void
plan_repack (Run *run, Totals *totals)
{
  BurdockPlanInput input =
      input_of (run, &run->repack, burdock_popularity_rates (run->popularity));
  BurdockExpertMap plan;

  burdock_plan_repack (&input, &plan);
  totals->moves_repack += (double)burdock_expert_map_moves (&run->repack, &plan);
  replace (&run->repack, &plan);
}

/* One second: tokens are served on the maps in use, then counted and planned with. */
static void
run_second (Run *run, uint32_t second, Totals *totals)
{
  const double *rates;
  BurdockPlanInput input;
  BurdockExpertMap oracle;

  drift_advance_1s (run->drift);
  rates = drift_rates (run->drift);
  if (run->pending_at != 0 && second >= run->pending_at) {
    replace (&run->ours, &run->pending);
    run->pending_at = 0;
  }
  input = input_of (run, &run->fixed, rates);
  burdock_plan_repack (&input, &oracle);
  drift_sample (run->drift, 1, STEP_TOKENS_PER_RANK * run->fixed.ranks, run->step);
  totals->skew_static += burdock_plan_skew (&run->fixed, EXPERTS, run->step, NULL);
  totals->skew_ours += burdock_plan_skew (&run->ours, EXPERTS, run->step, NULL);
  totals->skew_repack += burdock_plan_skew (&run->repack, EXPERTS, run->step, NULL);
  totals->skew_oracle += burdock_plan_skew (&oracle, EXPERTS, run->step, NULL);
  totals->expected_ours += burdock_plan_skew (&run->ours, EXPERTS, rates, NULL);
  totals->expected_oracle += burdock_plan_skew (&oracle, EXPERTS, rates, NULL);
  burdock_expert_map_clear (&oracle);
  drift_sample (run->drift, STEPS_PER_S, STEP_TOKENS_PER_RANK * run->fixed.ranks,
                run->sample);
  burdock_popularity_add (run->popularity, run->sample);
  if (second % run->deployment->interval_s == 0)
    plan_repack (run, totals);
  if (run->pending_at == 0 &&
      (second >= run->next_plan || burdock_popularity_surging (run->popularity) > 0)) {
    run->next_plan = second + run->deployment->interval_s;
    plan_ours (run, second, totals);
  }
}

static void
run_init (Run *run, const Deployment *deployment, const Size *size, uint32_t layers,
          uint32_t surge_every_s, uint64_t seed)
{
  size_t count = (size_t)layers * EXPERTS;

  *run = (Run){ .deployment = deployment };
  run->drift = drift_new (layers, EXPERTS, surge_every_s, seed);
  run->popularity = burdock_popularity_new (layers, EXPERTS);
  run->sample = calloc (count, sizeof *run->sample);
  run->step = calloc (count, sizeof *run->step);
  burdock_expert_map_init (&run->fixed, layers, size->ranks, size->slots);
  burdock_expert_map_spread (&run->fixed, EXPERTS);
  burdock_expert_map_copy (&run->ours, &run->fixed);
  burdock_expert_map_copy (&run->repack, &run->fixed);
}

static void
run_clear (Run *run)
{
  if (run->pending_at != 0)
    burdock_expert_map_clear (&run->pending);
  burdock_expert_map_clear (&run->fixed);
  burdock_expert_map_clear (&run->ours);
  burdock_expert_map_clear (&run->repack);
  burdock_popularity_free (run->popularity);
  drift_free (run->drift);
  free (run->sample);
  free (run->step);
}

static void
add (Totals *sum, const Totals *one)
{
  sum->skew_ours += one->skew_ours;
  sum->skew_static += one->skew_static;
  sum->skew_oracle += one->skew_oracle;
  sum->skew_repack += one->skew_repack;
  sum->expected_ours += one->expected_ours;
  sum->expected_oracle += one->expected_oracle;
  sum->moves_ours += one->moves_ours;
  sum->moves_repack += one->moves_repack;
  sum->switches += one->switches;
}

static Totals
run_size (const Deployment *deployment, const Size *size)
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

  for (size_t i = 0; i < SIZE_COUNT; i++) {
    Totals one = run_size (deployment, &sizes[i]);

    snprintf (name, sizeof name, "skew_%s_vs_oracle_%u_ranks", deployment->name,
              sizes[i].ranks);
    bench_compare (name, one.skew_ours / one.skew_oracle, "ratio");
    snprintf (name, sizeof name, "skew_%s_vs_static_%u_ranks", deployment->name,
              sizes[i].ranks);
    bench_compare (name, one.skew_ours / one.skew_static, "ratio");
    snprintf (name, sizeof name, "moves_%s_vs_repack_%u_ranks", deployment->name,
              sizes[i].ranks);
    bench_compare (name, one.moves_ours / one.moves_repack, "ratio");
    snprintf (name, sizeof name, "expected_skew_%s_%u_ranks", deployment->name,
              sizes[i].ranks);
    bench_compare (name, one.expected_ours / (SECONDS - WARM_UP_S) / SEEDS, "steps");
    snprintf (name, sizeof name, "skew_%s_oracle_%u_ranks", deployment->name,
              sizes[i].ranks);
    bench_compare (name, one.skew_oracle / (SECONDS - WARM_UP_S) / SEEDS, "steps");
    add (sum, &one);
  }
  snprintf (name, sizeof name, "expected_skew_%s_vs_oracle", deployment->name);
  bench_compare (name, sum->expected_ours / sum->expected_oracle, "ratio");
  snprintf (name, sizeof name, "skew_%s_repack_vs_static", deployment->name);
  bench_compare (name, sum->skew_repack / sum->skew_static, "ratio");
}

/* Hot experts have enough copies when a copy of none of them fills a rank by itself. */
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

/* Milliseconds from a notice that reaches all callers at once; the search ends after a
 * minute. */
static double
surge_ms (uint64_t seed)
{
  Run run;
  Totals totals = { 0 };
  uint32_t second = 1;
  uint32_t notice;

  run_init (&run, &kaitiaki, &sizes[SIZE_COUNT - 1], LAYERS, 0, seed);
  for (; second <= 2 * WARM_UP_S; second++)
    run_second (&run, second, &totals);
  drift_surge (run.drift, 4);
  notice = second;
  do
    run_second (&run, second++, &totals);
  while (second < notice + 60 &&
         !hot_experts_have_copies (&run.ours, drift_rates (run.drift)));
  run_clear (&run);
  return (second - notice) * 1000.0;
}

static double
plan_ms_32 (void)
{
  Totals totals = { 0 };
  Run run;

  run_init (&run, &kaitiaki, &sizes[SIZE_COUNT - 1], TIMED_LAYERS, 60, 9);
  run.timed = true;
  for (uint32_t second = 1; second <= 120; second++)
    run_second (&run, second, &totals);
  run_clear (&run);
  return totals.plan_ms_worst;
}

void
bench_maps (void)
{
  Totals first = { 0 };
  Totals second = { 0 };
  double worst_ms = 0;

  report_deployment (&kaitiaki, &first);
  report_deployment (&sementeira, &second);
  bench_at_most ("skew_kaitiaki_vs_static", first.skew_ours / first.skew_static, "ratio",
                 0.25);
  bench_at_most ("skew_kaitiaki_vs_oracle", first.skew_ours / first.skew_oracle, "ratio",
                 1.15);
  bench_at_most ("moves_sementeira_vs_repack", second.moves_ours / second.moves_repack,
                 "ratio", 0.10);
  bench_at_most ("skew_sementeira_vs_static", second.skew_ours / second.skew_static,
                 "ratio", 0.50);
  bench_at_most ("plan_ms_32x128", plan_ms_32 (), "ms", 5);
  for (uint64_t seed = 1; seed <= SURGE_SEEDS; seed++) {
    double ms = surge_ms (seed);

    worst_ms = ms > worst_ms ? ms : worst_ms;
  }
  bench_at_most ("load_follows_ms_surge", worst_ms, "ms", 5000);
}
