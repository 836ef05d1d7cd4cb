/* The planner of expert maps before it ran in steps: the reference for quality and time.
 */
#include "reference-plan.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Cost of loading one expert: a change has to lower the load of the most loaded ranks by
 * this, divided by the number of ranks, for each expert that it loads. Steps take longer
 * while any rank loads, and all ranks load at the same time. */
#define GAIN_PER_LOAD_MIN 0.1

/* Smaller gains are rounding errors. */
#define GAIN_MIN 0.002

/* Changes considered in one plan; bounds its time. */
#define CHANGES_MAX 256

/* Ranks considered as receivers of a copy, the least loaded ones. Bounds the time of a
 * plan in large groups. */
#define RECEIVERS_MAX 32

/* Load, relative to the counted load of the layer, that is split evenly over all experts
 * in addition, so that experts without recent tokens are spread too. */
#define BASELINE_SHARE 0.02

/** enum ChangeKind - rank @to gets @expert, possibly in place of @victim */
typedef enum {
  CHANGE_NONE = 0,
  CHANGE_COPY,  /* adds a copy; @victim, if any, loses its copy at @to */
  CHANGE_MOVE,  /* moves the copy at @from to @to, and @victim, if any, from @to to @from
                 */
  CHANGE_SPLIT, /* adds a copy, and moves @victim from @to to @from */
} ChangeKind;

#define NO_EXPERT UINT32_MAX

typedef struct {
  ChangeKind kind;
  uint32_t expert;
  uint32_t from;
  uint32_t to;
  uint32_t victim;
  double gain;
} Change;

/**
 * struct Layer - state of one layer during planning; loads are relative to even loads
 * @initial_hosts: hosts before the plan
 * @power_sum: sum of the eighth powers of @load
 * @hosted: experts that each rank hosts
 * @loaded: experts that each rank has to load for the plan
 * @best: best change found last
 */
typedef struct {
  uint32_t ranks;
  uint32_t experts;
  BurdockBitSet *hosts;
  BurdockBitSet initial_hosts[BURDOCK_REPLICA_EXPERTS_MAX];
  double rate[BURDOCK_REPLICA_EXPERTS_MAX];
  double load[BURDOCK_REPLICA_RANKS_MAX];
  double power_sum;
  BurdockBitSet hosted[BURDOCK_REPLICA_RANKS_MAX];
  uint32_t loaded[BURDOCK_REPLICA_RANKS_MAX];
  Change best;
} Layer;

/** struct Budget - limits of a plan and the experts that each rank has to load for it */
typedef struct {
  const BurdockReplicaLimits *limits;
  uint32_t loaded[BURDOCK_REPLICA_RANKS_MAX];
} Budget;

static bool
is_hosted (const Layer *layer, uint32_t rank, uint32_t expert)
{
  return burdock_bit_set_has (&layer->hosts[expert], rank);
}

static bool
is_hosted_initially (const Layer *layer, uint32_t rank, uint32_t expert)
{
  return burdock_bit_set_has (&layer->initial_hosts[expert], rank);
}

/* Sets the rates relative to the even load of a rank, so that all layers have the same
 * weight. */
static void
set_rates (Layer *layer, const double *rates)
{
  double total = 0;

  for (uint32_t e = 0; e < layer->experts; e++)
    total += rates[e];
  for (uint32_t e = 0; e < layer->experts; e++) {
    double share = total > 0 ? rates[e] / total : 0;

    share = (share + BASELINE_SHARE / layer->experts) / (1 + BASELINE_SHARE);
    layer->rate[e] = share * layer->ranks;
  }
}

/* With the eighth power, the most loaded ranks dominate the norm, but maps with equal
 * peak loads still differ. */
static double
eighth_power (double load)
{
  double square = load * load;
  double fourth = square * square;

  return fourth * fourth;
}

/* The 8-norm, a smooth approximation of the largest load. */
static double
norm_of_power_sum (double sum)
{
  return sum > 0 ? sqrt (sqrt (sqrt (sum))) : 0;
}

static void
compute_loads (Layer *layer)
{
  for (uint32_t e = 0; e < layer->experts; e++) {
    const BurdockBitSet *hosts = &layer->hosts[e];
    double share = layer->rate[e] / burdock_bit_set_count (hosts);

    for (uint32_t r = burdock_bit_set_next (hosts, 0); r < BURDOCK_BIT_SET_BITS;
         r = burdock_bit_set_next (hosts, r + 1)) {
      layer->load[r] += share;
      burdock_bit_set_add (&layer->hosted[r], e);
    }
  }
}

/* Computed anew after each change, so that rounding errors do not add up. */
static void
compute_power_sum (Layer *layer)
{
  layer->power_sum = 0;
  for (uint32_t r = 0; r < layer->ranks; r++)
    layer->power_sum += eighth_power (layer->load[r]);
}

static void
init_layer (Layer *layer, BurdockReplicaMap *map, uint32_t index, const double *rates)
{
  size_t at = (size_t)index * map->experts;

  *layer =
      (Layer){ .ranks = map->ranks, .experts = map->experts, .hosts = map->hosts + at };
  memcpy (layer->initial_hosts, layer->hosts, map->experts * sizeof *layer->hosts);
  set_rates (layer, rates + at);
  compute_loads (layer);
  compute_power_sum (layer);
}

static double
peak_load (const Layer *layer)
{
  double peak = 0;

  for (uint32_t r = 0; r < layer->ranks; r++)
    peak = layer->load[r] > peak ? layer->load[r] : peak;
  return peak;
}

/* Adds @load to the load of a rank and updates the power sum. */
static void
add_load (Layer *layer, uint32_t rank, double load)
{
  layer->power_sum -= eighth_power (layer->load[rank]);
  layer->load[rank] += load;
  layer->power_sum += eighth_power (layer->load[rank]);
}

/* Moves the load of an expert to @hosts, which become its hosts. */
static void
set_hosts (Layer *layer, uint32_t expert, const BurdockBitSet *hosts)
{
  BurdockBitSet *current = &layer->hosts[expert];
  double before = layer->rate[expert] / burdock_bit_set_count (current);
  double after = layer->rate[expert] / burdock_bit_set_count (hosts);
  BurdockBitSet all = *current;

  for (uint32_t i = 0; i < BURDOCK_BIT_SET_WORDS; i++)
    all.words[i] |= hosts->words[i];
  for (uint32_t r = burdock_bit_set_next (&all, 0); r < BURDOCK_BIT_SET_BITS;
       r = burdock_bit_set_next (&all, r + 1))
    add_load (layer, r,
              (burdock_bit_set_has (hosts, r) ? after : 0) -
                  (burdock_bit_set_has (current, r) ? before : 0));
  *current = *hosts;
}

/* Computes the hosts of both experts after a change. */
static void
changed_hosts (const Layer *layer, const Change *change, BurdockBitSet *expert,
               BurdockBitSet *victim)
{
  *victim = (BurdockBitSet){ 0 };
  *expert = layer->hosts[change->expert];
  burdock_bit_set_add (expert, change->to);
  if (change->kind == CHANGE_MOVE)
    burdock_bit_set_remove (expert, change->from);
  if (change->victim == NO_EXPERT)
    return;
  *victim = layer->hosts[change->victim];
  burdock_bit_set_remove (victim, change->to);
  if (change->kind != CHANGE_COPY)
    burdock_bit_set_add (victim, change->from);
}

/* Applies the change, reads the norm and reverts it: only the loads of the few ranks that
 * host one of the two experts differ. */
static double
evaluate_gain (Layer *layer, const Change *change)
{
  BurdockBitSet expert_before = layer->hosts[change->expert];
  BurdockBitSet victim_before = { 0 };
  double sum_before = layer->power_sum;
  double norm_before = norm_of_power_sum (sum_before);
  double norm_after;
  BurdockBitSet expert;
  BurdockBitSet victim;

  changed_hosts (layer, change, &expert, &victim);
  set_hosts (layer, change->expert, &expert);
  if (change->victim != NO_EXPERT) {
    victim_before = layer->hosts[change->victim];
    set_hosts (layer, change->victim, &victim);
  }
  norm_after = norm_of_power_sum (layer->power_sum);
  if (change->victim != NO_EXPERT)
    set_hosts (layer, change->victim, &victim_before);
  set_hosts (layer, change->expert, &expert_before);
  layer->power_sum = sum_before;
  return norm_before - norm_after;
}

/* Number of experts that ranks have to load for a change. */
static uint32_t
loads_needed (const Layer *layer, const Change *change)
{
  uint32_t loads = is_hosted_initially (layer, change->to, change->expert) ? 0 : 1;

  if (change->kind != CHANGE_COPY && change->victim != NO_EXPERT &&
      !is_hosted_initially (layer, change->from, change->victim))
    loads++;
  return loads;
}

/* Whether the limits let the rank get the expert. An expert that it hosts in the map in
 * use needs no load. */
static bool
can_load (const Layer *layer, const Budget *budget, uint32_t rank, uint32_t expert)
{
  if (is_hosted_initially (layer, rank, expert))
    return true;
  return layer->loaded[rank] < budget->limits->loads_per_layer &&
         budget->loaded[rank] < budget->limits->loads_per_rank;
}

/* Whether the limits still allow a change that was found earlier: changes of other layers
 * may have used up the load limit of a rank. */
static bool
is_allowed (const Layer *layer, const Budget *budget, const Change *change)
{
  if (!can_load (layer, budget, change->to, change->expert))
    return false;
  return change->kind == CHANGE_COPY || change->victim == NO_EXPERT ||
         can_load (layer, budget, change->from, change->victim);
}

static void
try_change (Layer *layer, const Change *change)
{
  Change tried = *change;

  tried.gain = evaluate_gain (layer, change) -
               loads_needed (layer, change) * GAIN_PER_LOAD_MIN / layer->ranks;
  if (tried.gain > layer->best.gain)
    layer->best = tried;
}

static void
try_victims (Layer *layer, const Budget *budget, Change *change)
{
  BurdockBitSet victims = layer->hosted[change->to];

  for (uint32_t v = burdock_bit_set_next (&victims, 0); v < BURDOCK_BIT_SET_BITS;
       v = burdock_bit_set_next (&victims, v + 1)) {
    change->victim = v;
    change->kind = CHANGE_COPY;
    if (burdock_bit_set_count (&layer->hosts[v]) > 1)
      try_change (layer, change);
    if (is_hosted (layer, change->from, v) || !can_load (layer, budget, change->from, v))
      continue;
    change->kind = CHANGE_MOVE;
    try_change (layer, change);
    change->kind = CHANGE_SPLIT;
    if (burdock_bit_set_count (&layer->hosted[change->from]) < budget->limits->slots)
      try_change (layer, change);
  }
}

static void
try_receiver (Layer *layer, const Budget *budget, uint32_t expert, uint32_t from,
              uint32_t to)
{
  Change change = { .expert = expert, .from = from, .to = to, .victim = NO_EXPERT };

  if (is_hosted (layer, to, expert) || !can_load (layer, budget, to, expert))
    return;
  if (burdock_bit_set_count (&layer->hosted[to]) < budget->limits->slots) {
    change.kind = CHANGE_COPY;
    try_change (layer, &change);
    change.kind = CHANGE_MOVE;
    try_change (layer, &change);
  }
  try_victims (layer, budget, &change);
}

/* Fills @receivers with the least loaded ranks, in order of their load, and returns their
 * number. */
static uint32_t
find_receivers (const Layer *layer, uint32_t receivers[RECEIVERS_MAX])
{
  uint32_t count = 0;

  for (uint32_t r = 0; r < layer->ranks; r++) {
    uint32_t at = count < RECEIVERS_MAX ? count++ : RECEIVERS_MAX;

    if (at == RECEIVERS_MAX &&
        layer->load[r] >= layer->load[receivers[RECEIVERS_MAX - 1]])
      continue;
    at = at == RECEIVERS_MAX ? RECEIVERS_MAX - 1 : at;
    for (; at > 0 && layer->load[receivers[at - 1]] > layer->load[r]; at--)
      receivers[at] = receivers[at - 1];
    receivers[at] = r;
  }
  return count;
}

/* Finds the change that relieves the most loaded rank best. */
static void
find_best_change (Layer *layer, const Budget *budget)
{
  uint32_t receivers[RECEIVERS_MAX];
  uint32_t receiver_count = find_receivers (layer, receivers);
  uint32_t hottest = 0;
  BurdockBitSet experts;

  for (uint32_t r = 1; r < layer->ranks; r++)
    hottest = layer->load[r] > layer->load[hottest] ? r : hottest;
  layer->best = (Change){ .gain = GAIN_MIN };
  experts = layer->hosted[hottest];
  for (uint32_t e = burdock_bit_set_next (&experts, 0); e < BURDOCK_BIT_SET_BITS;
       e = burdock_bit_set_next (&experts, e + 1)) {
    for (uint32_t i = 0; i < receiver_count; i++)
      try_receiver (layer, budget, e, hottest, receivers[i]);
  }
}

/* Records that @rank gets an expert or drops it. */
static void
update_counts (Layer *layer, Budget *budget, uint32_t expert, uint32_t rank, bool hosted)
{
  if (hosted)
    burdock_bit_set_add (&layer->hosted[rank], expert);
  else
    burdock_bit_set_remove (&layer->hosted[rank], expert);
  if (is_hosted_initially (layer, rank, expert))
    return;
  layer->loaded[rank] += hosted ? 1 : -1u;
  budget->loaded[rank] += hosted ? 1 : -1u;
}

static void
change_hosts (Layer *layer, Budget *budget, uint32_t expert, const BurdockBitSet *hosts)
{
  for (uint32_t r = 0; r < layer->ranks; r++) {
    bool hosted = burdock_bit_set_has (hosts, r);

    if (hosted != is_hosted (layer, r, expert))
      update_counts (layer, budget, expert, r, hosted);
  }
  set_hosts (layer, expert, hosts);
}

static void
apply_best_change (Layer *layer, Budget *budget)
{
  const Change change = layer->best;
  BurdockBitSet expert;
  BurdockBitSet victim;

  changed_hosts (layer, &change, &expert, &victim);
  change_hosts (layer, budget, change.expert, &expert);
  if (change.victim != NO_EXPERT)
    change_hosts (layer, budget, change.victim, &victim);
  compute_power_sum (layer);
}

/* Returns the layer with the highest peak load among those that can still be improved. */
static Layer *
worst_layer (Layer *layers, uint32_t count)
{
  Layer *worst = NULL;

  for (uint32_t i = 0; i < count; i++) {
    if (layers[i].best.kind == CHANGE_NONE)
      continue;
    if (worst == NULL || peak_load (&layers[i]) > peak_load (worst))
      worst = &layers[i];
  }
  return worst;
}

static double
mean_peak (const Layer *layers, uint32_t count)
{
  double sum = 0;

  for (uint32_t i = 0; i < count; i++)
    sum += peak_load (&layers[i]);
  return sum / count;
}

BurdockReplicaPlanResult
reference_plan (BurdockReplicaMap *map, const double *rates,
                const BurdockReplicaLimits *limits)
{
  Budget budget = { .limits = limits };
  Layer *layers = calloc (map->layers, sizeof *layers);
  BurdockReplicaPlanResult result = { 0 };
  Layer *layer;

  if (layers == NULL)
    return result;
  for (uint32_t i = 0; i < map->layers; i++) {
    init_layer (&layers[i], map, i, rates);
    find_best_change (&layers[i], &budget);
  }
  result.before = mean_peak (layers, map->layers);
  for (uint32_t i = 0;
       i < CHANGES_MAX && (layer = worst_layer (layers, map->layers)) != NULL; i++) {
    if (is_allowed (layer, &budget, &layer->best))
      apply_best_change (layer, &budget);
    find_best_change (layer, &budget);
  }
  result.after = mean_peak (layers, map->layers);
  for (uint32_t r = 0; r < map->ranks; r++) {
    result.loads += budget.loaded[r];
    if (budget.loaded[r] > result.max_rank_loads)
      result.max_rank_loads = budget.loaded[r];
  }
  free (layers);
  return result;
}
