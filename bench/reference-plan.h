/**
 * DOC: reference-plan.h - planner of expert maps that the current one is compared with
 */
#ifndef REFERENCE_PLAN_H
#define REFERENCE_PLAN_H

#include "copy-plan.h"

/** reference_plan() - improves @map in place, as burdock_replica_plan() did before it ran
 * in steps; balanced maps have no limit of their own */
BurdockReplicaPlanResult reference_plan (BurdockReplicaMap *map, const double *rates,
                                         const BurdockReplicaLimits *limits);

#endif
