#include "planner.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Changes tried in one layer, of which the best prefix is kept; bounds the time of a
 * plan. Further changes are left to the next plans. */
#define LAYER_CHANGES_MAX 12

/* Gap of expected loads, in mean step times, above which a layer without improving
 * changes is repacked from scratch if that is worth its cost. After a surge has ended,
 * its copies are spread so unevenly that single changes no longer help. */
#define REPACK_GAP_MIN 0.06

/* Ranks at either end of the order by step time that swaps and copies are tried with;
 * trying all pairs of 32 ranks would take more than 5 ms for a plan. */
#define SWAP_RANKS_TRIED_MAX 8
#define COPY_RANKS_TRIED_MAX 5

/* A reduction of the sum of squared step times up to this is a rounding error. */
#define GAIN_MIN 1e-9

/* Hysteresis: a plan has to be worth more than this part of the value of one mean step
 * time, so that noise causes no switches. */
#define PLAN_VALUE_MIN 0.001

/* Number of intervals over which the cost of a plan is amortised, as a plan stays useful
 * until popularity has drifted. */
#define PLAN_HORIZON 16

/* Expected range (maximum minus minimum) of n normal variables in standard deviations:
 * 2.06 for n = 4 and 4.1 for n = 32, nearly linear in log2 (n) in between. */
#define RANGE_BASE 0.7
#define RANGE_PER_DOUBLING 0.68

/** struct Layer - state of one layer during planning */
typedef struct {
  uint32_t ranks;
  uint32_t slots;
  uint32_t experts;
  uint16_t *slot;      /* expert of each slot, rank by rank */
  const double *rate;  /* share of each expert times the number of ranks */
  const double *speed; /* per rank */
  double token_weight; /* load of one token of a step, 0 to ignore random noise */
  double range_factor; /* expected range of the noise of all ranks in its SD */
  uint16_t copies[UINT16_MAX + 1];
  uint64_t hosts[UINT16_MAX + 1]; /* bit mask of ranks that host the expert */
  double share[UINT16_MAX + 1];   /* rate of the expert divided by its copies */
  double time[BURDOCK_MAP_RANKS_MAX];
  uint32_t order[BURDOCK_MAP_RANKS_MAX]; /* ranks by descending step time */
} Layer;

/* Set in @other of a change if it is an expert rather than a slot. */
#define EXPERT_FLAG (1u << 31)

/* Experts that get and lose copies when redundant copies are redistributed. */
#define GAINERS_MAX 4
#define LOSERS_MAX 8

/** struct Change - @slot gets a copy of the expert of slot @other, or both are swapped;
 * see EXPERT_FLAG for @other */
typedef struct {
  uint32_t slot;
  uint32_t other;
  bool swap;
  double gain;
} Change;

typedef struct {
  uint32_t slot;
  uint32_t other;
  uint16_t old_expert;
  uint16_t new_expert;
  bool swap;
} AppliedChange;

static const double unit_speed[BURDOCK_MAP_RANKS_MAX] = {
  1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1,
  1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1,
  1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1,
};

static double
share (const Layer *layer, uint16_t expert)
{
  return layer->share[expert];
}

/* Insertion sort, as the order of the previous call is nearly right. */
static void
sort_ranks (Layer *layer)
{
  for (uint32_t i = 1; i < layer->ranks; i++) {
    uint32_t rank = layer->order[i];
    uint32_t at = i;

    for (; at > 0 && layer->time[layer->order[at - 1]] < layer->time[rank]; at--)
      layer->order[at] = layer->order[at - 1];
    layer->order[at] = rank;
  }
}

static void
compute_times (Layer *layer)
{
  for (uint32_t r = 0; r < layer->ranks; r++) {
    double load = 0;

    for (uint32_t s = 0; s < layer->slots; s++)
      load += share (layer, layer->slot[r * layer->slots + s]);
    layer->time[r] = load / layer->speed[r];
  }
  sort_ranks (layer);
}

static void
layer_recompute (Layer *layer)
{
  memset (layer->copies, 0, layer->experts * sizeof layer->copies[0]);
  memset (layer->hosts, 0, layer->experts * sizeof layer->hosts[0]);
  for (uint32_t i = 0; i < layer->ranks * layer->slots; i++) {
    layer->copies[layer->slot[i]]++;
    layer->hosts[layer->slot[i]] |= UINT64_C (1) << (i / layer->slots);
  }
  for (uint32_t e = 0; e < layer->experts; e++)
    layer->share[e] = layer->rate[e] / layer->copies[e];
  compute_times (layer);
}

/* Variance of the load of a rank due to random routing: tokens are routed independently,
 * and a copy gets its share of the tokens of its expert. */
static double
routing_variance (const Layer *layer)
{
  double sum = 0;

  if (layer->token_weight <= 0)
    return 0;
  for (uint32_t e = 0; e < layer->experts; e++)
    sum += layer->share[e];
  return sum * layer->token_weight / layer->ranks;
}

static double
layer_gap (const Layer *layer)
{
  return layer->time[layer->order[0]] - layer->time[layer->order[layer->ranks - 1]];
}

/* The gap of expected loads and the random one are independent, so their squares add. */
static double
layer_skew (const Layer *layer)
{
  double gap = layer_gap (layer);

  return sqrt (gap * gap +
               layer->range_factor * layer->range_factor * routing_variance (layer));
}

/* Change of the sum of squared step times if the load of @rank grows by @load. */
static double
square_delta (const Layer *layer, uint32_t rank, double load)
{
  double change = load / layer->speed[rank];

  return change * (2 * layer->time[rank] + change);
}

static bool
is_hosted (const Layer *layer, uint16_t expert, uint32_t rank)
{
  return (layer->hosts[expert] >> rank) & 1;
}

/* Inserts @expert into the sorted list of the @limit experts with the smallest keys. */
static void
insert_sorted (uint16_t *experts, double *keys, uint32_t *count, uint32_t limit,
               uint16_t expert, double key)
{
  uint32_t at = *count;

  if (at == limit && key >= keys[limit - 1])
    return;
  if (at == limit)
    at--;
  else
    ++*count;
  for (; at > 0 && keys[at - 1] > key; at--) {
    keys[at] = keys[at - 1];
    experts[at] = experts[at - 1];
  }
  keys[at] = key;
  experts[at] = expert;
}

static void
consider_change (Change *best, uint32_t slot, uint32_t other, bool swap, double gain)
{
  if (gain > best->gain)
    *best = (Change){ .slot = slot, .other = other, .swap = swap, .gain = gain };
}

static void
consider_swaps (const Layer *layer, uint32_t a, uint32_t b, Change *best)
{
  for (uint32_t i = a * layer->slots; i < (a + 1) * layer->slots; i++) {
    uint16_t e = layer->slot[i];
    double share_e;

    if (is_hosted (layer, e, b))
      continue;
    share_e = share (layer, e);
    for (uint32_t j = b * layer->slots; j < (b + 1) * layer->slots; j++) {
      uint16_t f = layer->slot[j];
      double d;

      if (is_hosted (layer, f, a))
        continue;
      d = share_e - share (layer, f);
      consider_change (best, i, j, true,
                       -(square_delta (layer, a, -d) + square_delta (layer, b, d)));
    }
  }
}

/* Gain of replacing the redundant copy of @out at @rank by a copy of @in. */
static double
copy_gain (const Layer *layer, uint32_t rank, uint16_t out, uint16_t in)
{
  double out_share = share (layer, out);
  double in_share = share (layer, in);
  double out_more = layer->rate[out] / (layer->copies[out] - 1) - out_share;
  double in_new = layer->rate[in] / (layer->copies[in] + 1);
  double in_less = in_new - in_share;
  uint64_t hosts = layer->hosts[out] | layer->hosts[in];
  double gain = 0;

  hosts &= ~(UINT64_C (1) << rank);
  while (hosts != 0) {
    uint32_t r = (uint32_t)__builtin_ctzll (hosts);
    double load = 0;

    hosts &= hosts - 1;
    if (is_hosted (layer, out, r))
      load += out_more;
    if (is_hosted (layer, in, r))
      load += in_less;
    gain -= square_delta (layer, r, load);
  }
  gain += (in_share - in_new - out_more) * layer->token_weight;
  return gain - square_delta (layer, rank, in_new - out_share);
}

/* Only experts of @from with at least the mean load per slot are worth a further copy. */
static void
consider_copies (const Layer *layer, uint32_t from, uint32_t to, Change *best)
{
  double mean = layer->time[from] * layer->speed[from] / layer->slots;

  for (uint32_t j = to * layer->slots; j < (to + 1) * layer->slots; j++) {
    uint16_t out = layer->slot[j];

    if (layer->copies[out] < 2)
      continue;
    for (uint32_t i = from * layer->slots; i < (from + 1) * layer->slots; i++) {
      uint16_t in = layer->slot[i];

      if (share (layer, in) >= mean && !is_hosted (layer, in, to))
        consider_change (best, j, i, false, copy_gain (layer, to, out, in));
    }
  }
}

/* Picks the experts whose load per copy falls most with one copy more, and the redundant
 * experts whose load per copy rises least with one copy less, as copies reduce the random
 * noise of their load. */
static void
pick_redundancy_candidates (const Layer *layer, uint16_t *gainers, uint32_t *gainer_count,
                            uint16_t *losers, uint32_t *loser_count)
{
  double gain[GAINERS_MAX];
  double loss[LOSERS_MAX];

  *gainer_count = *loser_count = 0;
  for (uint32_t e = 0; e < layer->experts; e++) {
    double more = layer->share[e] / (layer->copies[e] + 1);
    double less = layer->copies[e] > 1 ? layer->share[e] / (layer->copies[e] - 1) : 0;

    if (layer->copies[e] < layer->ranks)
      insert_sorted (gainers, gain, gainer_count, GAINERS_MAX, (uint16_t)e, -more);
    if (layer->copies[e] > 1)
      insert_sorted (losers, loss, loser_count, LOSERS_MAX, (uint16_t)e, less);
  }
}

static uint32_t
slot_of (const Layer *layer, uint32_t rank, uint16_t expert)
{
  uint32_t slot = rank * layer->slots;

  while (layer->slot[slot] != expert)
    slot++;
  return slot;
}

static void
consider_redundancy (const Layer *layer, Change *best)
{
  uint16_t gainers[GAINERS_MAX];
  uint16_t losers[LOSERS_MAX];
  uint32_t gainer_count;
  uint32_t loser_count;

  pick_redundancy_candidates (layer, gainers, &gainer_count, losers, &loser_count);
  for (uint32_t l = 0; l < loser_count; l++) {
    uint16_t out = losers[l];

    for (uint64_t hosts = layer->hosts[out]; hosts != 0; hosts &= hosts - 1) {
      uint32_t rank = (uint32_t)__builtin_ctzll (hosts);
      uint32_t slot = slot_of (layer, rank, out);

      for (uint32_t g = 0; g < gainer_count; g++)
        if (gainers[g] != out && !is_hosted (layer, gainers[g], rank))
          consider_change (best, slot, gainers[g] | EXPERT_FLAG, false,
                           copy_gain (layer, rank, out, gainers[g]));
    }
  }
}

static Change
best_change (const Layer *layer)
{
  Change best = { .gain = GAIN_MIN };
  uint32_t last = layer->ranks - 1;
  uint32_t hottest = layer->order[0];
  uint32_t coldest = layer->order[last];

  for (uint32_t i = 0; i < last && i < SWAP_RANKS_TRIED_MAX; i++) {
    consider_swaps (layer, hottest, layer->order[last - i], &best);
    if (i > 0)
      consider_swaps (layer, coldest, layer->order[i], &best);
  }
  for (uint32_t i = 0; i < last && i < COPY_RANKS_TRIED_MAX; i++) {
    consider_copies (layer, hottest, layer->order[last - i], &best);
    consider_copies (layer, layer->order[last - i], hottest, &best);
    if (i > 0)
      consider_copies (layer, layer->order[i], coldest, &best);
  }
  if (layer->token_weight > 0)
    consider_redundancy (layer, &best);
  return best;
}

static void
place_expert (Layer *layer, uint32_t slot, uint16_t expert)
{
  uint32_t rank = slot / layer->slots;
  uint16_t old = layer->slot[slot];
  bool other = false;

  layer->slot[slot] = expert;
  for (uint32_t s = rank * layer->slots; s < (rank + 1) * layer->slots; s++)
    other |= layer->slot[s] == old;
  if (!other)
    layer->hosts[old] &= ~(UINT64_C (1) << rank);
  layer->hosts[expert] |= UINT64_C (1) << rank;
  layer->copies[old]--;
  layer->copies[expert]++;
}

static void
update_share (Layer *layer, uint16_t expert)
{
  layer->share[expert] = layer->rate[expert] / layer->copies[expert];
}

static AppliedChange
apply (Layer *layer, const Change *change)
{
  bool by_expert = (change->other & EXPERT_FLAG) != 0;
  AppliedChange done = { .slot = change->slot,
                         .other = change->other,
                         .old_expert = layer->slot[change->slot],
                         .new_expert = by_expert
                                           ? (uint16_t)(change->other & ~EXPERT_FLAG)
                                           : layer->slot[change->other],
                         .swap = change->swap };

  place_expert (layer, change->slot, done.new_expert);
  if (change->swap)
    place_expert (layer, change->other, done.old_expert);
  update_share (layer, done.old_expert);
  update_share (layer, done.new_expert);
  compute_times (layer);
  return done;
}

static void
undo (Layer *layer, const AppliedChange *done)
{
  layer->slot[done->slot] = done->old_expert;
  if (done->swap)
    layer->slot[done->other] = done->new_expert;
}

/* Repacking a layer: each spare slot goes to the expert with the largest load per copy,
 * then the copies, largest first, go to the rank that would finish first. */

typedef struct {
  uint16_t expert;
  double load;
} Copy;

static int
compare_copies (const void *a, const void *b)
{
  const Copy *x = a;
  const Copy *y = b;

  if (x->load != y->load)
    return x->load < y->load ? 1 : -1;
  return (int)x->expert - (int)y->expert;
}

static void
choose_copies (Layer *layer, Copy *copies, uint32_t count)
{
  uint32_t at = 0;

  for (uint32_t e = 0; e < layer->experts; e++) {
    layer->copies[e] = 1;
    layer->share[e] = layer->rate[e];
  }
  for (uint32_t i = layer->experts; i < count; i++) {
    uint32_t best = 0;

    for (uint32_t e = 1; e < layer->experts; e++)
      if (layer->copies[e] < layer->ranks &&
          share (layer, (uint16_t)e) > share (layer, (uint16_t)best))
        best = e;
    layer->copies[best]++;
    layer->share[best] = layer->rate[best] / layer->copies[best];
  }
  for (uint32_t e = 0; e < layer->experts; e++)
    for (uint32_t c = 0; c < layer->copies[e] && at < count; c++)
      copies[at++] = (Copy){ (uint16_t)e, share (layer, (uint16_t)e) };
  qsort (copies, count, sizeof *copies, compare_copies);
}

static uint32_t
rank_that_finishes_first (const Layer *layer, const Copy *copy, const uint32_t *filled)
{
  uint32_t best = UINT32_MAX;
  uint32_t fallback = 0;

  for (uint32_t r = 0; r < layer->ranks; r++) {
    double time = layer->time[r] + copy->load / layer->speed[r];

    if (filled[r] == layer->slots)
      continue;
    fallback = r;
    if (is_hosted (layer, copy->expert, r))
      continue;
    if (best == UINT32_MAX || time < layer->time[best] + copy->load / layer->speed[best])
      best = r;
  }
  return best == UINT32_MAX ? fallback : best;
}

static void
repack_layer (Layer *layer, Copy *copies)
{
  uint32_t count = layer->ranks * layer->slots;
  uint32_t filled[BURDOCK_MAP_RANKS_MAX] = { 0 };

  choose_copies (layer, copies, count);
  memset (layer->hosts, 0, layer->experts * sizeof layer->hosts[0]);
  memset (layer->time, 0, sizeof layer->time);
  for (uint32_t i = 0; i < count; i++) {
    uint32_t r = rank_that_finishes_first (layer, &copies[i], filled);

    layer->slot[r * layer->slots + filled[r]++] = copies[i].expert;
    layer->hosts[copies[i].expert] |= UINT64_C (1) << r;
    layer->time[r] += copies[i].load / layer->speed[r];
  }
}

/* Number of copies in the layer whose rank hosts no copy of the expert in @before. */
static uint32_t
layer_moves (const Layer *layer, const uint16_t *before)
{
  uint32_t moves = 0;

  for (uint32_t i = 0; i < layer->ranks * layer->slots; i++) {
    const uint16_t *old = before + (size_t)(i / layer->slots) * layer->slots;
    bool kept = false;

    for (uint32_t s = 0; s < layer->slots && !kept; s++)
      kept = old[s] == layer->slot[i];
    moves += !kept;
  }
  return moves;
}

/** struct PlanContext - weights of a plan and scratch memory for one layer */
typedef struct {
  double skew_weight;
  double cost_per_move;
  Copy *copies;
  uint16_t *initial_slots;
  uint16_t *improved_slots;
} PlanContext;

static double
plan_value (const PlanContext *plan, const Layer *layer, double initial_skew,
            uint32_t moves)
{
  return plan->skew_weight * (initial_skew - layer_skew (layer)) -
         plan->cost_per_move * moves;
}

/* Applies changes while the sum of squared step times falls, then keeps the prefix with
 * the largest difference of skew gain and cost. Returns true if no improving change is
 * left. */
static bool
improve_layer (Layer *layer, const PlanContext *plan, double initial_skew)
{
  AppliedChange applied[LAYER_CHANGES_MAX];
  double best_value = 0;
  uint32_t count = 0;
  uint32_t keep = 0;
  uint32_t moves = 0;
  bool exhausted = false;

  while (count < LAYER_CHANGES_MAX && !exhausted) {
    Change change = best_change (layer);
    double value;

    exhausted = change.gain <= GAIN_MIN ||
                plan->skew_weight * initial_skew <= plan->cost_per_move * (moves + 1);
    if (exhausted)
      break;
    applied[count++] = apply (layer, &change);
    moves += change.swap ? 2 : 1;
    value = plan_value (plan, layer, initial_skew, moves);
    if (value > best_value) {
      best_value = value;
      keep = count;
    }
  }
  while (count > keep)
    undo (layer, &applied[--count]);
  layer_recompute (layer);
  return exhausted || keep == 0;
}

static uint32_t
plan_layer (Layer *layer, const PlanContext *plan, bool *unfinished)
{
  size_t bytes = (size_t)layer->ranks * layer->slots * sizeof *layer->slot;
  double initial_skew = layer_skew (layer);
  double value;
  bool exhausted;

  memcpy (plan->initial_slots, layer->slot, bytes);
  exhausted = improve_layer (layer, plan, initial_skew);
  *unfinished |= !exhausted;
  if (exhausted && layer_gap (layer) > REPACK_GAP_MIN) {
    value =
        plan_value (plan, layer, initial_skew, layer_moves (layer, plan->initial_slots));
    memcpy (plan->improved_slots, layer->slot, bytes);
    repack_layer (layer, plan->copies);
    layer_recompute (layer);
    if (plan_value (plan, layer, initial_skew,
                    layer_moves (layer, plan->initial_slots)) <= value) {
      memcpy (layer->slot, plan->improved_slots, bytes);
      layer_recompute (layer);
    }
  }
  return layer_moves (layer, plan->initial_slots);
}

static Layer *
layer_new (const BurdockExpertMap *map, uint32_t experts, const double *speed,
           double step_tokens)
{
  Layer *layer = malloc (sizeof *layer);

  layer->token_weight = step_tokens > 0 ? 1 / step_tokens : 0;
  layer->range_factor = RANGE_BASE + RANGE_PER_DOUBLING * log2 (map->ranks);
  layer->ranks = map->ranks;
  layer->slots = map->slots;
  for (uint32_t r = 0; r < map->ranks; r++)
    layer->order[r] = r;
  layer->experts = experts;
  layer->speed = speed != NULL ? speed : unit_speed;
  return layer;
}

/* Points @layer to a layer of @map and scales the rates so that the mean step time is
 * about 1. */
static void
layer_assign (Layer *layer, const BurdockExpertMap *map, uint32_t index,
              const double *rates, double *scaled)
{
  layer->slot = burdock_expert_map_rank_slots (map, index, 0);
  for (uint32_t e = 0; e < layer->experts; e++)
    scaled[e] = rates[(size_t)index * layer->experts + e] * layer->ranks;
  layer->rate = scaled;
  layer_recompute (layer);
}

double
burdock_plan_skew (const BurdockExpertMap *map, uint32_t experts, const double *rates,
                   const double *speed)
{
  Layer *layer = layer_new (map, experts, speed, 0);
  double *scaled = malloc (experts * sizeof *scaled);
  double sum = 0;

  for (uint32_t l = 0; l < map->layers; l++) {
    layer_assign (layer, map, l, rates, scaled);
    sum += layer_skew (layer);
  }
  free (scaled);
  free (layer);
  return sum / map->layers;
}

bool
burdock_plan (const BurdockPlanInput *input, BurdockExpertMap *out,
              BurdockPlanResult *result)
{
  Layer *layer =
      layer_new (input->current, input->experts, input->speed, input->step_tokens);
  double *scaled = malloc (input->experts * sizeof *scaled);
  uint32_t layers = input->current->layers;
  double cost = input->cost_weight / input->experts / PLAN_HORIZON;
  size_t slots = (size_t)input->current->ranks * input->current->slots;
  PlanContext plan = { .skew_weight = input->skew_weight,
                       .cost_per_move = cost,
                       .copies = malloc (slots * sizeof *plan.copies),
                       .initial_slots = malloc (slots * sizeof *plan.initial_slots),
                       .improved_slots = malloc (slots * sizeof *plan.improved_slots) };
  double value;

  *result = (BurdockPlanResult){ 0 };
  burdock_expert_map_copy (out, input->current);
  for (uint32_t l = 0; l < layers; l++) {
    layer_assign (layer, out, l, input->rates, scaled);
    result->skew_before += layer_skew (layer) / layers;
    result->moves += plan_layer (layer, &plan, &result->unfinished);
    result->skew_after += layer_skew (layer) / layers;
  }
  free (plan.copies);
  free (plan.initial_slots);
  free (plan.improved_slots);
  free (scaled);
  free (layer);
  value = input->skew_weight * (result->skew_before - result->skew_after) -
          cost * (double)result->moves / layers;
  return result->moves > 0 && value > PLAN_VALUE_MIN * input->skew_weight;
}

void
burdock_plan_repack (const BurdockPlanInput *input, BurdockExpertMap *out)
{
  Layer *layer =
      layer_new (input->current, input->experts, input->speed, input->step_tokens);
  double *scaled = malloc (input->experts * sizeof *scaled);
  Copy *copies =
      malloc ((size_t)input->current->ranks * input->current->slots * sizeof *copies);

  burdock_expert_map_copy (out, input->current);
  for (uint32_t l = 0; l < out->layers; l++) {
    layer_assign (layer, out, l, input->rates, scaled);
    repack_layer (layer, copies);
  }
  free (copies);
  free (scaled);
  free (layer);
}
