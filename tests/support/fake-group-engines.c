#include "fake-group-private.h"

#include <errno.h>
#include <string.h>

#define STEP_US (50 * US_PER_MS)
#define FORM_GROUP_US (1000 * US_PER_MS)
#define DEMAND_INTERVAL_US (3500 * US_PER_MS)

static size_t
hosts_bytes (const FakeGroup *group)
{
  return fake_group_expert_count (group) * sizeof (BurdockBitSet);
}

void
fake_group_form (FakeGroup *group)
{
  BurdockReplicaMap map;

  burdock_replica_map_init (&map, group->size.layers, group->ranks, group->size.experts);
  burdock_replica_map_spread (&map);
  group->epoch++;
  for (uint32_t r = 0; r < group->ranks; r++) {
    Engine *engine = &group->engines[r];

    *engine = (Engine){ .highest_version = engine->highest_version };
    memcpy (engine->hosts, map.hosts, hosts_bytes (group));
  }
  burdock_replica_map_clear (&map);
}

bool
fake_group_is_open (const FakeGroup *group)
{
  return group->now_us >= group->open_at_us;
}

static int32_t
load_map (FakeGroup *group, Engine *engine, const Event *event)
{
  uint64_t version = event->order.version;

  if (engine->loading_version == version)
    return 0;
  if (version <= engine->highest_version || engine->armed_version != 0)
    return -EEXIST;
  engine->highest_version = engine->loading_version = version;
  engine->loaded_at_us = group->now_us + LOAD_US;
  memcpy (engine->loaded_hosts, event->map.hosts, hosts_bytes (group));
  return 0;
}

int32_t
fake_group_execute_order (FakeGroup *group, uint32_t rank, const Event *event)
{
  Engine *engine = &group->engines[rank];
  const BurdockMapOrder *order = &event->order;

  if (!fake_group_is_open (group) || order->epoch != group->epoch)
    return -EEXIST;
  switch (order->kind) {
  case BURDOCK_ORDER_LOAD:
    return load_map (group, engine, event);
  case BURDOCK_ORDER_ARM:
    if (engine->armed_version == order->version && engine->armed_step == order->step)
      return 0;
    if (engine->loaded_version != order->version || order->step <= group->step)
      return -EEXIST;
    if (group->faults.false_arm_ack && rank == group->ranks - 1)
      return 0;
    engine->armed_version = order->version;
    engine->armed_step = order->step;
    return 0;
  case BURDOCK_ORDER_HOLD:
    if (engine->held_step == order->step)
      return 0;
    if (engine->held_step != 0 || order->step <= group->step)
      return -EEXIST;
    engine->held_step = order->step;
    return 0;
  case BURDOCK_ORDER_RELEASE:
    if (engine->held_step != order->step)
      return -EEXIST;
    engine->held_step = 0;
    return 0;
  }
  return -EINVAL;
}

bool
fake_group_any_holds (const FakeGroup *group)
{
  for (uint32_t r = 0; r < group->ranks; r++) {
    if (group->engines[r].held_step != 0)
      return true;
  }
  return false;
}

static void
finish_loads (FakeGroup *group)
{
  for (uint32_t r = 0; r < group->ranks; r++) {
    Engine *engine = &group->engines[r];

    if (r == group->ranks - 1 && group->now_us < group->faults.stuck_loads_until_us)
      continue;
    if (engine->loading_version != 0 && engine->loaded_at_us <= group->now_us)
      engine->loaded_version = engine->loading_version;
  }
}

static void
check_maps (FakeGroup *group)
{
  for (uint32_t r = 1; r < group->ranks; r++) {
    if (group->engines[r].map_version == group->engines[0].map_version &&
        memcmp (group->engines[r].hosts, group->engines[0].hosts, hosts_bytes (group)) ==
            0)
      continue;
    group->mixed_steps++;
    return;
  }
}

void
fake_group_record_stall (FakeGroup *group)
{
  uint64_t stalled_us = group->now_us - group->last_step_us;

  stalled_us -= group->frozen_us < stalled_us ? group->frozen_us : stalled_us;
  if (stalled_us > group->longest_stall_us)
    group->longest_stall_us = stalled_us;
}

static void
begin_step (FakeGroup *group)
{
  bool switched = false;

  group->step++;
  group->steps++;
  for (uint32_t r = 0; r < group->ranks; r++) {
    Engine *engine = &group->engines[r];

    if (engine->armed_step == group->step && engine->armed_version != 0) {
      engine->map_version = engine->armed_version;
      memcpy (engine->hosts, engine->loaded_hosts, hosts_bytes (group));
      engine->armed_version = engine->armed_step = 0;
      switched = true;
    }
    for (uint32_t i = 0; i < fake_group_expert_count (group); i++)
      engine->counts[i] += (uint64_t)(group->demand[i] * 100);
  }
  group->switches += switched ? 1 : 0;
  check_maps (group);
  fake_group_record_stall (group);
  group->frozen_us = 0;
  group->last_step_us = group->now_us;
  group->next_step_us = group->now_us + STEP_US;
}

static bool
is_held (const FakeGroup *group)
{
  for (uint32_t r = 0; r < group->ranks; r++) {
    if (group->engines[r].held_step == group->step + 1)
      return true;
  }
  return false;
}

/* All ranks execute a step together, and so wait for a frozen one. */
static bool
is_frozen (const FakeGroup *group)
{
  for (uint32_t r = 0; r < group->ranks; r++) {
    if (group->processes[r].engine_frozen_until_us > group->now_us)
      return true;
  }
  return false;
}

void
fake_group_run_engines (FakeGroup *group)
{
  if (group->now_us >= group->next_demand_us) {
    group->next_demand_us = group->now_us + DEMAND_INTERVAL_US;
    for (uint32_t i = 0; i < fake_group_expert_count (group); i++)
      group->demand[i] = fake_group_random_event (group, 0.1) ? 8 : 0.5;
  }
  if (group->now_us >= group->next_crash_us) {
    group->next_crash_us =
        fake_group_random_time_us (group, group->faults.crash_every_us);
    group->open_at_us = group->now_us + FORM_GROUP_US;
    fake_group_form (group);
  }
  finish_loads (group);
  if (is_frozen (group))
    group->frozen_us += TICK_US;
  else if (fake_group_is_open (group) && group->now_us >= group->next_step_us &&
           !is_held (group))
    begin_step (group);
}
