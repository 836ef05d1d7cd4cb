/**
 * DOC: fake-group.h - engines of one rank group with their map agents, on virtual time
 *
 * The engines follow the published protocol: they load experts, switch at an armed step,
 * hold a step until it is released, and form the group anew after a crash.
 */
#ifndef FAKE_GROUP_H
#define FAKE_GROUP_H

#include <stdbool.h>
#include <stdint.h>

typedef struct FakeGroup FakeGroup;

/**
 * struct FakeFaults - what goes wrong
 * @lost_datagrams: share of the datagrams that are lost
 * @late_orders: share of the orders without an answer that are carried out 2 to 12 s
 * later
 * @freeze_every_us: mean time between agents that freeze for 1 to 4 s, 0 for none
 * @kill_every_us: mean time between agents that are killed and start again, 0 for none
 * @crash_every_us: mean time between crashes of ranks, 0 for none
 * @forget_one_arm: the engine of the last rank answers that it is armed, and is not
 */
typedef struct {
  double lost_datagrams;
  double late_orders;
  uint64_t freeze_every_us;
  uint64_t kill_every_us;
  uint64_t crash_every_us;
  bool forget_one_arm;
} FakeFaults;

FakeGroup *fake_group_new (uint64_t seed, const FakeFaults *faults);
void fake_group_free (FakeGroup *group);
void fake_group_run (FakeGroup *group, uint64_t until_us);

/** fake_group_mixed_steps() - steps in which two ranks used different maps */
uint32_t fake_group_mixed_steps (const FakeGroup *group);
uint32_t fake_group_steps (const FakeGroup *group);
uint32_t fake_group_switches (const FakeGroup *group);

/** fake_group_longest_stand_us() - longest time without a step */
uint64_t fake_group_longest_stand_us (const FakeGroup *group);

#endif
