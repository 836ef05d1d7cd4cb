/**
 * DOC: copy-plan.h - improves the expert map in use by a bounded number of changes
 *
 * For engines that limit the experts to load for each new map and whose ranks may leave
 * slots empty. In each layer, a step takes as long as its most loaded rank; the tokens of
 * an expert are split evenly over the ranks that host it.
 *
 * The planner is greedy: it applies single changes, each the best one of its layer. It
 * runs in steps of bounded work, so that the caller can do something else in between:
 * begin, step until the plan is complete, finish. Designed for up to 256 ranks, 256
 * experts and 255 layers.
 */
#ifndef BURDOCK_COPY_PLAN_H
#define BURDOCK_COPY_PLAN_H

#include "replica-map.h"

/**
 * struct BurdockReplicaLimits - limits of a new map
 * @slots: experts that a rank can host in a layer
 * @loads_per_layer: experts that a rank may load in one layer
 * @loads_per_rank: experts that a rank may load in all layers together
 * @balanced_loads_per_rank: the same for a map in use that counts as balanced
 * @balanced_peak: load of the most loaded ranks, relative to even loads, below which it
 *   does; 0 for never
 */
typedef struct {
  uint32_t slots;
  uint32_t loads_per_layer;
  uint32_t loads_per_rank;
  uint32_t balanced_loads_per_rank;
  double balanced_peak;
} BurdockReplicaLimits;

/**
 * struct BurdockReplicaPlanResult - loads of the most loaded ranks, relative to even
 * loads
 * @before, @after: mean over the layers with the old and the new map; 1 is the best
 * @loads: experts to load, all ranks together
 * @max_rank_loads: experts to load at the rank that has to load most
 * @changes_tried: changes whose gain was computed
 */
typedef struct {
  double before;
  double after;
  uint32_t loads;
  uint32_t max_rank_loads;
  uint64_t changes_tried;
} BurdockReplicaPlanResult;

/** burdock_replica_map_peak() - mean over the layers of the load of the most loaded rank,
 * relative to even loads; @rates as in burdock_replica_plan() */
double burdock_replica_map_peak (const BurdockReplicaMap *map, const double *rates);

/** struct BurdockReplicaPlan - plan in progress */
typedef struct BurdockReplicaPlan BurdockReplicaPlan;

/**
 * burdock_replica_plan_begin() - begins to improve a map
 * @base: map in use; borrowed until the plan is finished or freed, and not changed
 * @rates: load of each expert, layer by layer; any unit; copied
 * @limits: copied
 * Returns NULL without memory. Release with burdock_replica_plan_finish() or
 * burdock_replica_plan_free().
 */
BurdockReplicaPlan *burdock_replica_plan_begin (const BurdockReplicaMap *base,
                                                const double *rates,
                                                const BurdockReplicaLimits *limits);

/**
 * burdock_replica_plan_step() - continues the plan; returns whether it is complete
 * @work: bound of the work, in changes tried and operations that take as long. A step may
 *   exceed it by the changes of one expert, at most 96 for each slot of a rank and 64.
 */
bool burdock_replica_plan_step (BurdockReplicaPlan *plan, uint32_t work);

/** burdock_replica_plan_result() - result of the changes made so far */
BurdockReplicaPlanResult burdock_replica_plan_result (const BurdockReplicaPlan *plan);

/** burdock_replica_plan_finish() - moves the planned map to @map and releases the plan */
void burdock_replica_plan_finish (BurdockReplicaPlan *plan, BurdockReplicaMap *map);

/** burdock_replica_plan_free() - discards the plan; NULL is allowed */
void burdock_replica_plan_free (BurdockReplicaPlan *plan);

/**
 * burdock_replica_plan() - improves @map in place, in a single step
 * @rates: load of each expert, layer by layer; any unit
 */
BurdockReplicaPlanResult burdock_replica_plan (BurdockReplicaMap *map,
                                               const double *rates,
                                               const BurdockReplicaLimits *limits);

#endif
