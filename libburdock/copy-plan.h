/**
 * DOC: copy-plan.h - improves the expert map in use by a bounded number of changes
 *
 * For engines that limit the experts to load for each new map and whose ranks may leave
 * slots empty. In each layer, a step takes as long as its most loaded rank; the tokens of
 * an expert are split evenly over the ranks that host it.
 *
 * The planner is greedy: it applies single changes, each the best one of its layer.
 */
#ifndef BURDOCK_COPY_PLAN_H
#define BURDOCK_COPY_PLAN_H

#include "replica-map.h"

/**
 * struct BurdockReplicaLimits - limits of a new map
 * @slots: experts that a rank can host in a layer
 * @loads_per_layer: experts that a rank may load in one layer
 * @loads_per_rank: experts that a rank may load in all layers together
 */
typedef struct {
  uint32_t slots;
  uint32_t loads_per_layer;
  uint32_t loads_per_rank;
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

/**
 * burdock_replica_plan() - improves @map in place
 * @rates: load of each expert, layer by layer; any unit
 */
BurdockReplicaPlanResult burdock_replica_plan (BurdockReplicaMap *map,
                                               const double *rates,
                                               const BurdockReplicaLimits *limits);

#endif
