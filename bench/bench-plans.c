/**
 * DOC: bench-plans.c - time and quality of the plans for large groups, in steps
 *
 * Plans sequences of maps with the planner and with the reference, both from the same
 * initial map and for the same loads, which change between the plans.
 */
#include "bench.h"

#include "copy-plan.h"
#include "map-coordinator.h"
#include "reference-plan.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

/* Plans of a sequence. */
#define PLANS 24

/* The loads of the experts change after this many plans. */
#define PLANS_PER_DEMAND 6

/* Each plan is timed several times, and the shortest time counts, as other processes may
 * delay some runs. */
#define TIMED_RUNS 3

/* Skew of the loads: a uniform random number to this power. Equal loads are as good as
 * excluded, as rounding errors would decide between equally good changes. */
#define SKEW 4

/* A plan is usable once it lowers the peak load by this part, as for the coordinator. */
#define USABLE_REDUCTION 0.03

/**
 * struct PlanSize - dimensions of a group
 * @cpu_max_ms: target for the processor time of a plan on a whole core
 */
typedef struct {
  const char *name;
  uint32_t layers;
  uint32_t ranks;
  uint32_t experts;
  BurdockReplicaLimits limits;
  double cpu_max_ms;
} PlanSize;

static const PlanSize sizes[] = {
  { "32x128", 12, 32, 128, { .slots = 5, .loads_per_layer = 2, .loads_per_rank = 4 }, 5 },
  { "63x252x8",
    8,
    63,
    252,
    { .slots = 5, .loads_per_layer = 2, .loads_per_rank = 6 },
    5 },
  { "72x144x12",
    12,
    72,
    144,
    { .slots = 3, .loads_per_layer = 2, .loads_per_rank = 6 },
    5 },
  { "96x192x16",
    16,
    96,
    192,
    { .slots = 3, .loads_per_layer = 2, .loads_per_rank = 8 },
    5 },
  { "256x256x16",
    16,
    256,
    256,
    { .slots = 4, .loads_per_layer = 2, .loads_per_rank = 8 },
    20 },
};

/**
 * struct Sequence - figures of a sequence of plans, times of the processor
 * @worst_ms: longest plan
 * @step_ms: longest step
 * @usable_ms: longest time until a plan was usable
 * @peak: mean peak load after a plan
 * @loads: experts loaded by all plans
 */
typedef struct {
  double worst_ms;
  double step_ms;
  double usable_ms;
  double peak;
  uint32_t loads;
} Sequence;

static double
cpu_ms (void)
{
  struct timespec time;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &time);
  return (double)time.tv_sec * 1e3 + (double)time.tv_nsec / 1e6;
}

static void
draw_rates (const PlanSize *size, double *rates, uint32_t seed)
{
  srand (seed);
  for (uint32_t i = 0; i < size->layers * size->experts; i++)
    rates[i] = pow ((rand () + 1.0) / RAND_MAX, SKEW);
}

static double
longer (double a, double b)
{
  return a > b ? a : b;
}

static double
shorter (double a, double b)
{
  return a < b ? a : b;
}

/* Runs a plan in the steps of the coordinator and adds its times to @times. */
static BurdockReplicaPlanResult
plan_in_steps (const PlanSize *size, const BurdockReplicaMap *base, const double *rates,
               BurdockReplicaMap *map, Sequence *times)
{
  double begin_ms = cpu_ms ();
  BurdockReplicaPlan *plan = burdock_replica_plan_begin (base, rates, &size->limits);
  BurdockReplicaPlanResult result;
  double step_begin_ms = begin_ms;
  bool complete = false;

  while (!complete) {
    complete = burdock_replica_plan_step (plan, BURDOCK_COORDINATOR_PLAN_STEP_WORK);
    result = burdock_replica_plan_result (plan);
    times->step_ms = longer (times->step_ms, cpu_ms () - step_begin_ms);
    step_begin_ms = cpu_ms ();
    if (times->usable_ms == 0 &&
        result.before - result.after >= result.before * USABLE_REDUCTION)
      times->usable_ms = step_begin_ms - begin_ms;
  }
  burdock_replica_plan_finish (plan, map);
  times->worst_ms = cpu_ms () - begin_ms;
  return result;
}

static void
add_plan (const PlanSize *size, BurdockReplicaMap *map, const double *rates,
          Sequence *sequence)
{
  Sequence best = { .worst_ms = HUGE_VAL, .step_ms = HUGE_VAL, .usable_ms = HUGE_VAL };
  BurdockReplicaMap planned = { 0 };
  BurdockReplicaPlanResult result;

  for (uint32_t i = 0; i < TIMED_RUNS; i++) {
    Sequence times = { 0 };

    burdock_replica_map_clear (&planned);
    result = plan_in_steps (size, map, rates, &planned, &times);
    best.worst_ms = shorter (best.worst_ms, times.worst_ms);
    best.step_ms = shorter (best.step_ms, times.step_ms);
    best.usable_ms = shorter (best.usable_ms, times.usable_ms);
  }
  sequence->worst_ms = longer (sequence->worst_ms, best.worst_ms);
  sequence->step_ms = longer (sequence->step_ms, best.step_ms);
  sequence->usable_ms = longer (sequence->usable_ms, best.usable_ms);
  sequence->peak += result.after / PLANS;
  sequence->loads += result.loads;
  burdock_replica_map_clear (map);
  *map = planned;
}

/* The reference does not run in steps: its plan is usable at its end. */
static void
add_reference_plan (const PlanSize *size, BurdockReplicaMap *map, const double *rates,
                    Sequence *sequence)
{
  BurdockReplicaPlanResult result;
  BurdockReplicaMap planned = { 0 };
  double best_ms = HUGE_VAL;

  for (uint32_t i = 0; i < TIMED_RUNS; i++) {
    double begin_ms = cpu_ms ();

    burdock_replica_map_clear (&planned);
    burdock_replica_map_copy (&planned, map);
    result = reference_plan (&planned, rates, &size->limits);
    best_ms = shorter (best_ms, cpu_ms () - begin_ms);
  }
  sequence->worst_ms = longer (sequence->worst_ms, best_ms);
  sequence->step_ms = sequence->usable_ms = sequence->worst_ms;
  sequence->peak += result.after / PLANS;
  sequence->loads += result.loads;
  burdock_replica_map_clear (map);
  *map = planned;
}

static void
report (const PlanSize *size, const char *planner, const Sequence *sequence)
{
  char name[64];

  snprintf (name, sizeof name, "plan_cpu_ms_%s%s", planner, size->name);
  if (planner[0] == '\0')
    bench_at_most (name, sequence->worst_ms, "ms", size->cpu_max_ms);
  else
    bench_without_target (name, sequence->worst_ms, "ms");
  snprintf (name, sizeof name, "plan_step_ms_%s%s", planner, size->name);
  if (planner[0] == '\0')
    bench_at_most (name, sequence->step_ms, "ms", 3);
  else
    bench_without_target (name, sequence->step_ms, "ms");
  snprintf (name, sizeof name, "plan_usable_ms_%s%s", planner, size->name);
  bench_without_target (name, sequence->usable_ms, "ms");
  snprintf (name, sizeof name, "plan_peak_%s%s", planner, size->name);
  bench_without_target (name, sequence->peak, "even_loads");
  snprintf (name, sizeof name, "plan_loads_%s%s", planner, size->name);
  bench_without_target (name, sequence->loads, "experts");
}

static void
compare (const PlanSize *size)
{
  double *rates = calloc ((size_t)size->layers * size->experts, sizeof *rates);
  Sequence planner = { 0 };
  Sequence reference = { 0 };
  BurdockReplicaMap map;
  BurdockReplicaMap reference_map;
  char name[64];

  burdock_replica_map_init (&map, size->layers, size->ranks, size->experts);
  burdock_replica_map_spread (&map);
  burdock_replica_map_copy (&reference_map, &map);
  for (uint32_t i = 0; i < PLANS; i++) {
    if (i % PLANS_PER_DEMAND == 0)
      draw_rates (size, rates, i + 1);
    add_plan (size, &map, rates, &planner);
    add_reference_plan (size, &reference_map, rates, &reference);
  }
  report (size, "", &planner);
  report (size, "reference_", &reference);
  snprintf (name, sizeof name, "plan_peak_vs_reference_%s", size->name);
  bench_at_most (name, planner.peak / reference.peak, "ratio", 1.05);
  snprintf (name, sizeof name, "plan_loads_vs_reference_%s", size->name);
  bench_at_most (name, (double)planner.loads / reference.loads, "ratio", 1);
  burdock_replica_map_clear (&map);
  burdock_replica_map_clear (&reference_map);
  free (rates);
}

void
bench_plans (void)
{
  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    compare (&sizes[i]);
}
