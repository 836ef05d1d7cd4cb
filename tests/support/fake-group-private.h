/**
 * DOC: fake-group-private.h - state of a simulated group, shared by its parts
 *
 * fake-group.c runs the agents, their messages and the faults, fake-group-engines.c the
 * engines of the ranks.
 */
#ifndef FAKE_GROUP_PRIVATE_H
#define FAKE_GROUP_PRIVATE_H

#include "fake-group.h"
#include "map-agent.h"

#define RANKS_MAX 96
#define LAYERS_MAX 8
#define EXPERTS_MAX 252
#define LOAD_US 100000
#define US_PER_MS UINT64_C (1000)

/* Resolution of virtual time. */
#define TICK_US (1 * US_PER_MS)

#define EVENTS_MAX 65536

/** struct Engine - engine of one rank, as specified by the protocol */
typedef struct {
  uint64_t map_version;
  BurdockBitSet hosts[LAYERS_MAX * EXPERTS_MAX];
  uint64_t loaded_version;
  BurdockBitSet loaded_hosts[LAYERS_MAX * EXPERTS_MAX];
  uint64_t loading_version;
  uint64_t loaded_at_us;
  uint64_t highest_version;
  uint64_t armed_version;
  uint64_t armed_step;
  uint64_t held_step;
  uint64_t counts[LAYERS_MAX * EXPERTS_MAX];
} Engine;

typedef struct {
  FakeGroup *group;
  uint32_t rank;
  BurdockMapAgent *agent;
  uint64_t incarnation;
  uint64_t frozen_until_us;
  uint64_t freeze_at_us; /* begin of a freeze of the machine, 0 without one */
  uint64_t engine_frozen_until_us;
  uint64_t next_tick_us;
  uint64_t plan_us;     /* time taken by the last plan so far */
  uint64_t plan_end_us; /* end of its last tick: the agent is busy until then */
  uint64_t stop_end_us; /* end of a planned stop, 0 without one */
  bool wants_report;
  bool wants_counts;
} Process;

typedef enum { EVENT_DATAGRAM, EVENT_ORDER, EVENT_ANSWER } EventKind;

/** struct Event - message in transit, due at @at_us; owns its frame and map */
typedef struct {
  bool used;
  EventKind kind;
  uint64_t at_us;
  uint32_t from;
  uint32_t to;
  uint64_t incarnation;
  uint8_t *frame;
  uint32_t frame_bytes;
  BurdockMapOrder order;
  BurdockReplicaMap map;
  bool answered;
  int32_t status;
  uint64_t wait_us; /* longest time until it is handled, once a frozen machine wakes */
} Event;

struct FakeGroup {
  BurdockRosterMessage shape; /* of the rosters */
  FakeGroupSize size;
  uint32_t ranks;
  FakeFaults faults;
  uint64_t random;
  uint64_t now_us;
  uint64_t epoch;
  uint64_t step;
  uint64_t next_step_us;
  uint64_t last_step_us;
  uint64_t open_at_us;
  uint64_t next_report_us;
  uint64_t next_roster_us;
  uint64_t next_demand_us;
  uint64_t next_freeze_us;
  uint64_t next_machine_freeze_us;
  uint64_t next_kill_us;
  uint64_t next_crash_us;
  uint64_t next_herd_kill_us;
  uint64_t next_stop_us;
  uint32_t states;
  uint32_t complete_maps;
  uint64_t gateway_state_us; /* last state that was sent to the gateway */
  uint64_t longest_gateway_gap_us;
  uint64_t frozen_us; /* since the last step, with the machine of a rank frozen */
  uint64_t longest_stall_us;
  uint64_t longest_plan_us;
  uint64_t longest_busy_us;
  uint32_t mixed_steps;
  uint32_t steps;
  uint32_t switches;
  uint32_t warnings;
  double demand[LAYERS_MAX * EXPERTS_MAX];
  Engine engines[RANKS_MAX];
  Process processes[RANKS_MAX];
  uint32_t event_limit; /* events at this index and above are unused */
  Event events[EVENTS_MAX];
};

/** fake_group_expert_count() - experts of all layers */
static inline uint32_t
fake_group_expert_count (const FakeGroup *group)
{
  return group->size.layers * group->size.experts;
}

/** fake_group_random() - next number of the group's random sequence */
uint64_t fake_group_random (FakeGroup *group);

/** fake_group_random_event() - true with the probability @share */
bool fake_group_random_event (FakeGroup *group, double share);

/** fake_group_random_time_us() - time of an event that comes every @mean_us on average;
 * UINT64_MAX for 0 */
uint64_t fake_group_random_time_us (FakeGroup *group, uint64_t mean_us);

/** fake_group_form() - re-forms the group: all ranks use map 0, with nothing loaded,
 * armed or held */
void fake_group_form (FakeGroup *group);

/** fake_group_is_open() - whether the ranks of the group execute steps */
bool fake_group_is_open (const FakeGroup *group);

/** fake_group_execute_order() - result of an order to the engine of @rank: 0, -EEXIST if
 * the engine rejects it, or -EINVAL */
int32_t fake_group_execute_order (FakeGroup *group, uint32_t rank, const Event *event);

/** fake_group_any_holds() - whether an engine holds a step */
bool fake_group_any_holds (const FakeGroup *group);

/** fake_group_record_stall() - records the time since the last step */
void fake_group_record_stall (FakeGroup *group);

/** fake_group_run_engines() - demand, crashes, loads and steps that are due */
void fake_group_run_engines (FakeGroup *group);

#endif
