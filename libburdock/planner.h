/**
 * DOC: planner.h - plans expert maps from expected load
 *
 * The step time of a rank in a layer is its tokens divided by its speed, where the tokens
 * of an expert are split evenly over its copies. The skew of a layer is the gap between
 * the slowest and the fastest rank; the skew of a map is the mean over its layers, as
 * each layer ends with a barrier. Skew is given in mean step times.
 *
 * Tokens are routed individually, so the loads of ranks differ in a step by random noise
 * even if their expected loads are equal. Further copies of an expert reduce this noise
 * too, and the plan takes it into account.
 */
#ifndef BURDOCK_PLANNER_H
#define BURDOCK_PLANNER_H

#include "expert-map.h"

/**
 * struct BurdockPlanInput - input of the planner; all pointers are borrowed
 * @current: map in use
 * @rates: share of each expert in the tokens, layer by layer; a layer sums to 1
 * @speed: factor per rank, 1 for a normal rank, lower for a straggler; NULL for all 1
 * @step_tokens: tokens of a rank per step and layer, counted once for each expert that a
 * token is routed to; 0 to ignore the random noise of routing
 * @skew_weight: value of a skew of one mean step time
 * @cost_weight: cost of moving the bytes of one copy of all experts
 */
typedef struct {
  const BurdockExpertMap *current;
  uint32_t experts;
  const double *rates;
  const double *speed;
  double step_tokens;
  double skew_weight;
  double cost_weight;
} BurdockPlanInput;

/**
 * struct BurdockPlanResult - skew in mean step times, random noise included
 * @skew_before: skew of the current map
 * @skew_after: skew of the planned map
 * @moves: copies to load, see burdock_expert_map_moves()
 * @unfinished: the limit of changes was reached in a layer; another plan can follow at
 * once
 */
typedef struct {
  double skew_before;
  double skew_after;
  uint64_t moves;
  bool unfinished;
} BurdockPlanResult;

/** burdock_plan_skew() - mean skew over the layers of @map, without random noise
 * @rates and @speed are as in &struct BurdockPlanInput. */
double burdock_plan_skew (const BurdockExpertMap *map, uint32_t experts,
                          const double *rates, const double *speed);

/**
 * burdock_plan() - improves the current map by single copies and swaps; repacks a layer
 * from scratch if that is better
 * @out: initialised with the planned map, also if it equals the current one; release with
 * burdock_expert_map_clear()
 * Returns true if the plan as a whole is worth a switch.
 */
bool burdock_plan (const BurdockPlanInput *input, BurdockExpertMap *out,
                   BurdockPlanResult *result);

/** burdock_plan_repack() - packs each layer from scratch, regardless of the current
 * map; initialises @out */
void burdock_plan_repack (const BurdockPlanInput *input, BurdockExpertMap *out);

#endif
