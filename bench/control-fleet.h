/**
 * DOC: control-fleet.h - simulated fleets without traffic, to measure control
 */
#ifndef CONTROL_FLEET_H
#define CONTROL_FLEET_H

#include "sim.h"

/**
 * struct ControlFleetSize - size of a fleet
 * @domains: number of failure domains
 * @workspaces: workspaces of the configuration
 * @groups: rank groups of the configuration
 * @loss_per_mille: share of control messages that are lost
 * @members_known: all processes know each other from the start, so that a run does not
 *   begin with the membership exchange of the whole fleet
 */
typedef struct {
  uint32_t entries;
  uint32_t agents;
  uint32_t domains;
  uint32_t workspaces;
  uint32_t groups;
  uint32_t loss_per_mille;
  bool members_known;
} ControlFleetSize;

/** control_fleet_new() - starts all processes at once, submits a configuration to the
 * first entry after 2 s and returns; release with sim_free() */
Sim *control_fleet_new (uint64_t seed, const ControlFleetSize *size);

/**
 * control_fleet_config_text() - configuration file
 * @limit: default running limit of a workspace
 *
 * Release with free().
 */
char *control_fleet_config_text (uint32_t workspaces, uint32_t groups, uint32_t limit);

/** control_fleet_heap_bytes() - heap in use by this process, with mapped blocks */
size_t control_fleet_heap_bytes (void);

/** control_fleet_sum_metric() - sum of a control metric over all running processes;
 * @metric is its name without the prefix burdock_ */
uint64_t control_fleet_sum_metric (const Sim *sim, const char *metric);

#endif
