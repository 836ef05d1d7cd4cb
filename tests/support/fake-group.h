/**
 * DOC: fake-group.h - simulates the engines of one rank group with their map agents
 *
 * Runs in virtual time. The engines follow the published protocol: they load experts,
 * switch maps at an armed step, hold a step until it is released, and re-form the group
 * after a crash.
 */
#ifndef FAKE_GROUP_H
#define FAKE_GROUP_H

#include "message.h"

#include <stdbool.h>
#include <stdint.h>

typedef struct FakeGroup FakeGroup;

/**
 * struct FakeFaults - faults to inject
 * @lost_datagrams: probability that a datagram is lost
 * @late_orders: probability that an order times out and is carried out 2 to 12 s later
 * @freeze_every_us: mean time between freezes of an agent for 1 to 4 s, 0 for none
 * @machine_freeze_every_us: mean time between freezes for 1 to 4 s of the machine whose
 *   agent gives the next order, with its engine: orders wait there, and no step begins. 0
 *   for none
 * @kill_every_us: mean time between kills of an agent, which is restarted, 0 for none
 * @herd_kill_every_us: mean time between kills of the agents of the lower three quarters
 *   of the ranks at once, 0 for none
 * @crash_every_us: mean time between crashes of ranks, 0 for none
 * @stopped_agents: number of agents, from the lowest rank on, that get a planned stop in
 * a hold every 10 s and are away for 5 s
 * @plan_change_ns: time that the machine of an agent needs for each change of a map that
 *   its planner tries; the agent does nothing else in this time
 * @stuck_loads_until_us: virtual time until which the engine of the last rank completes
 *   no load
 * @false_arm_ack: the engine of the last rank accepts arm orders without arming
 */
typedef struct {
  double lost_datagrams;
  double late_orders;
  uint64_t freeze_every_us;
  uint64_t machine_freeze_every_us;
  uint64_t kill_every_us;
  uint64_t herd_kill_every_us;
  uint64_t crash_every_us;
  uint32_t stopped_agents;
  uint32_t plan_change_ns;
  uint64_t stuck_loads_until_us;
  bool false_arm_ack;
} FakeFaults;

/**
 * struct FakeGroupSize - dimensions of a group and its maps
 * @ranks: at most 96
 * @layers: at most 8
 * @experts: at most 252, in each layer
 * @slots: experts that a rank can host in a layer
 */
typedef struct {
  uint32_t ranks;
  uint32_t layers;
  uint32_t experts;
  uint32_t slots;
} FakeGroupSize;

/** fake_group_new() - new group of up to 96 ranks, with 2 layers of 16 experts, at 1 s of
 * virtual time; release with fake_group_free() */
FakeGroup *fake_group_new (uint64_t seed, uint32_t ranks, const FakeFaults *faults);

/** fake_group_new_sized() - like fake_group_new(), with other dimensions */
FakeGroup *fake_group_new_sized (uint64_t seed, const FakeGroupSize *size,
                                 const FakeFaults *faults);
void fake_group_free (FakeGroup *group);

/** fake_group_run() - simulates until @until_us of virtual time */
void fake_group_run (FakeGroup *group, uint64_t until_us);

/** fake_group_set_shape() - shape of the maps in the rosters of the gateway, which at
 * first is that of the engines; 0 layers return to it */
void fake_group_set_shape (FakeGroup *group, const BurdockRosterMessage *shape);

/** fake_group_mixed_steps() - steps in which two ranks used different maps */
uint32_t fake_group_mixed_steps (const FakeGroup *group);

/** fake_group_steps() - steps that the group has begun */
uint32_t fake_group_steps (const FakeGroup *group);

/** fake_group_switches() - steps that began with a new map */
uint32_t fake_group_switches (const FakeGroup *group);

/** fake_group_failed_in_row() - switches that have failed since the last one that the
 * agent of @rank has completed */
uint32_t fake_group_failed_in_row (const FakeGroup *group, uint32_t rank);

/** fake_group_warnings() - warnings that the agents have logged */
uint32_t fake_group_warnings (const FakeGroup *group);

/** fake_group_longest_plan_us() - longest time that the plan of a map has occupied its
 * machine, with &FakeFaults.plan_change_ns */
uint64_t fake_group_longest_plan_us (const FakeGroup *group);

/** fake_group_longest_busy_us() - longest part of it without a pause for anything else */
uint64_t fake_group_longest_busy_us (const FakeGroup *group);

/** fake_group_states() - states that the agents have sent, each counted once per receiver
 */
uint32_t fake_group_states (const FakeGroup *group);

/** fake_group_complete_maps() - commands to load with a complete map instead of changes
 */
uint32_t fake_group_complete_maps (const FakeGroup *group);

/** fake_group_longest_gateway_gap_us() - longest time in which no agent sent its state to
 * the gateway */
uint64_t fake_group_longest_gateway_gap_us (const FakeGroup *group);

/** fake_group_longest_stall_us() - longest time without a step, less the part of it in
 * which a machine was frozen: no step can begin then */
uint64_t fake_group_longest_stall_us (const FakeGroup *group);

#endif
