#include "fake-group.h"
#include "map-agent.h"
#include "map-coordinator.h"
#include "test.h"

#include <stdlib.h>

#define US_PER_S UINT64_C (1000000)

/* Time of each change that a planner tries, on a machine so slow that a plan for 63 ranks
 * takes several times as long as a coordinator may be silent. */
#define PLAN_CHANGE_NS 4000

/* Guards against a group without faults whose maps do not follow the demand, or whose
 * switches stall it. */
static void
maps_follow_demand (void)
{
  FakeGroup *group = fake_group_new (1, 4, &(FakeFaults){ 0 });

  fake_group_run (group, 20 * US_PER_S);
  CU_ASSERT_EQUAL (fake_group_mixed_steps (group), 0);
  CU_ASSERT_TRUE (fake_group_switches (group) >= 6);
  CU_ASSERT_TRUE (fake_group_longest_stall_us (group) < US_PER_S / 2);
  fake_group_free (group);
}

/* Guards against orders that time out and delay later maps or stall the group: one order
 * in ten is carried out late, and maps still change about once a second. */
static void
late_orders_do_not_block_maps (void)
{
  FakeGroup *group = fake_group_new (3, 4, &(FakeFaults){ .late_orders = 0.1 });

  fake_group_run (group, 40 * US_PER_S);
  CU_ASSERT_TRUE (fake_group_switches (group) >= 10);
  CU_ASSERT_TRUE (fake_group_longest_stall_us (group) < US_PER_S / 4);
  fake_group_free (group);
}

static const FakeGroupSize slow_group_size = {
  .ranks = 63, .layers = 8, .experts = 252, .slots = 5
};

/* A plan may load six experts per rank. */
static const BurdockRosterMessage slow_group_shape = {
  .layers = 8, .experts = 252, .slots = 5, .loads_max = 4, .expert_copy_us = 25000
};

/* Guards against a coordinator that takes the time of its own plan for a pause: in a
 * group of 63 ranks, a plan took 350 to 520 ms on the machine of the agent, the next tick
 * ended the switch, and no map was ever switched. The planner may not occupy the agent
 * for longer than a part of the time after which a coordinator counts as paused, 250 ms.
 */
static void
long_plans_do_not_end_switches (void)
{
  FakeFaults faults = { .plan_change_ns = PLAN_CHANGE_NS };
  FakeGroup *group = fake_group_new_sized (1, &slow_group_size, &faults);

  fake_group_set_shape (group, &slow_group_shape);
  fake_group_run (group, 20 * US_PER_S);
  CU_ASSERT_TRUE (fake_group_longest_plan_us (group) > US_PER_S / 4);
  CU_ASSERT_TRUE (fake_group_longest_busy_us (group) < US_PER_S / 10);
  CU_ASSERT_TRUE (fake_group_switches (group) >= 4);
  CU_ASSERT_EQUAL (fake_group_mixed_steps (group), 0);
  CU_ASSERT_TRUE (fake_group_longest_stall_us (group) < US_PER_S / 2);
  fake_group_free (group);
}

typedef struct {
  const char *name;
  FakeFaults faults;
  uint64_t stall_max_us;
} SlowCase;

/* Bounds as in the table below. */
static const SlowCase slow_cases[] = {
  { "lost datagrams",
    { .plan_change_ns = PLAN_CHANGE_NS, .lost_datagrams = 0.1 },
    US_PER_S },
  { "frozen agents",
    { .plan_change_ns = PLAN_CHANGE_NS, .freeze_every_us = 2 * US_PER_S },
    5 * US_PER_S },
  { "killed agents",
    { .plan_change_ns = PLAN_CHANGE_NS, .kill_every_us = 2 * US_PER_S },
    5 * US_PER_S },
  { "crashed ranks",
    { .plan_change_ns = PLAN_CHANGE_NS, .crash_every_us = 4 * US_PER_S },
    3 * US_PER_S },
  { "frozen machines of coordinators, late orders",
    { .plan_change_ns = PLAN_CHANGE_NS,
      .late_orders = 0.2,
      .machine_freeze_every_us = 3 * US_PER_S },
    4 * US_PER_S },
};

/* Guards against a plan that is used although the group, its coordinator or its map has
 * changed while it was in progress: plans take about a second here. */
static void
plans_in_progress_survive_faults (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (slow_cases); i++) {
    const SlowCase *row = &slow_cases[i];

    for (uint64_t seed = 1; seed <= 2; seed++) {
      FakeGroup *group = fake_group_new_sized (seed, &slow_group_size, &row->faults);

      fake_group_set_shape (group, &slow_group_shape);
      fake_group_run (group, 15 * US_PER_S);
      if (fake_group_mixed_steps (group) != 0 ||
          fake_group_longest_stall_us (group) > row->stall_max_us) {
        printf ("%s, seed %u: mixed %u, stalled %u ms\n", row->name, (unsigned)seed,
                fake_group_mixed_steps (group),
                (unsigned)(fake_group_longest_stall_us (group) / 1000));
        CU_FAIL (row->name);
      }
      fake_group_free (group);
    }
  }
}

/* Guards against a group whose maps never follow the demand without anyone hearing of it:
 * each load fails after 3.15 s, and after five failures in a row there is one warning. */
static void
failed_switches_are_reported_once (void)
{
  FakeFaults faults = { .stuck_loads_until_us = 30 * US_PER_S };
  FakeGroup *group = fake_group_new (1, 4, &faults);

  fake_group_run (group, 12 * US_PER_S);
  CU_ASSERT_TRUE (fake_group_failed_in_row (group, 0) > 0);
  CU_ASSERT_EQUAL (fake_group_warnings (group), 0);
  fake_group_run (group, 30 * US_PER_S);
  CU_ASSERT_TRUE (fake_group_failed_in_row (group, 0) >= 5);
  CU_ASSERT_EQUAL (fake_group_warnings (group), 1);
  fake_group_run (group, 40 * US_PER_S);
  CU_ASSERT_TRUE (fake_group_switches (group) > 0);
  CU_ASSERT_EQUAL (fake_group_failed_in_row (group, 0), 0);
  fake_group_free (group);
}

/**
 * struct FaultCase - groups of one size with the same faults
 * @seeds: number of groups; their seeds are @first_seed and those above it
 */
typedef struct {
  const char *name;
  uint32_t ranks;
  uint64_t first_seed;
  uint64_t seeds;
  FakeFaults faults;
  uint64_t stall_max_us;
} FaultCase;

/* The bounds follow from the timeouts: a lost datagram is resent after 30 ms; an order
 * that times out is retried after 40 ms and then sent directly; a frozen or dead
 * coordinator is detected after 0.8 s, a stalled group after 0.6 s, and promises take at
 * most 0.6 s, all of it twice if the next coordinator fails as well; a crashed rank is
 * back after 1 s. The time in which a machine is frozen does not count, as no step can
 * begin then, whatever the agents do: several freezes in a row take 14 s and more. */
static const FaultCase fault_cases[] = {
  { "lost datagrams", 4, 1, 25, { .lost_datagrams = 0.1 }, US_PER_S },
  { "orders carried out late", 4, 1, 25, { .late_orders = 0.3 }, 3 * US_PER_S },
  { "frozen agents", 4, 1, 25, { .freeze_every_us = 2 * US_PER_S }, 5 * US_PER_S },
  { "killed agents", 4, 1, 25, { .kill_every_us = 2 * US_PER_S }, 5 * US_PER_S },
  { "frozen machines of coordinators, orders carried out late",
    4,
    1,
    50,
    { .late_orders = 0.35, .machine_freeze_every_us = 3 * US_PER_S },
    4 * US_PER_S },
  { "frozen machines of coordinators, late orders, lost datagrams, larger group",
    8,
    1,
    20,
    { .lost_datagrams = 0.1,
      .late_orders = 0.2,
      .machine_freeze_every_us = 3 * US_PER_S },
    4 * US_PER_S },
  /* Two and three of these seeds mixed maps before takeovers confirmed the hold. */
  { "frozen machines of coordinators, late orders, 32 ranks",
    32,
    12,
    11,
    { .late_orders = 0.35, .machine_freeze_every_us = 3 * US_PER_S },
    4 * US_PER_S },
  { "frozen machines of coordinators, late orders, 96 ranks",
    96,
    28,
    4,
    { .late_orders = 0.35, .machine_freeze_every_us = 3 * US_PER_S },
    4 * US_PER_S },
  { "crashed ranks", 4, 1, 25, { .crash_every_us = 4 * US_PER_S }, 3 * US_PER_S },
  { "large group, lost datagrams", 24, 1, 5, { .lost_datagrams = 0.1 }, US_PER_S },
  { "large group, frozen agents",
    24,
    1,
    5,
    { .freeze_every_us = 2 * US_PER_S },
    5 * US_PER_S },
  { "large group, most agents killed",
    24,
    1,
    5,
    { .herd_kill_every_us = 5 * US_PER_S },
    5 * US_PER_S },
  { "all faults together, large group",
    16,
    1,
    5,
    { .lost_datagrams = 0.05,
      .late_orders = 0.1,
      .freeze_every_us = 5 * US_PER_S,
      .kill_every_us = 5 * US_PER_S,
      .herd_kill_every_us = 9 * US_PER_S,
      .crash_every_us = 9 * US_PER_S },
    12 * US_PER_S },
  { "all faults together",
    4,
    1,
    25,
    { .lost_datagrams = 0.05,
      .late_orders = 0.1,
      .freeze_every_us = 5 * US_PER_S,
      .kill_every_us = 5 * US_PER_S,
      .crash_every_us = 9 * US_PER_S },
    12 * US_PER_S },
};

/* Guards against the worst failure of a switch: a step in which two ranks use different
 * maps. No loss, delay, freeze, kill or crash may cause it, and the group must not stall
 * for longer than a recovery takes. */
static void
no_step_mixes_maps_under_faults (void)
{
  for (uint32_t i = 0; i < sizeof fault_cases / sizeof fault_cases[0]; i++) {
    uint64_t end = fault_cases[i].first_seed + fault_cases[i].seeds;

    for (uint64_t seed = fault_cases[i].first_seed; seed < end; seed++) {
      FakeGroup *group =
          fake_group_new (seed, fault_cases[i].ranks, &fault_cases[i].faults);

      fake_group_run (group, 40 * US_PER_S);
      if (fake_group_mixed_steps (group) != 0 ||
          fake_group_longest_stall_us (group) > fault_cases[i].stall_max_us ||
          fake_group_steps (group) < 100) {
        printf ("%s, seed %u: mixed %u, stalled %u ms, steps %u, switches %u\n",
                fault_cases[i].name, (unsigned)seed, fake_group_mixed_steps (group),
                (unsigned)(fake_group_longest_stall_us (group) / 1000),
                fake_group_steps (group), fake_group_switches (group));
        CU_FAIL (fault_cases[i].name);
      }
      fake_group_free (group);
    }
  }
}

static uint32_t
count_states (uint32_t ranks)
{
  FakeGroup *group = fake_group_new (1, ranks, &(FakeFaults){ 0 });
  uint32_t states;

  fake_group_run (group, 15 * US_PER_S);
  CU_ASSERT_TRUE (fake_group_switches (group) >= 6);
  states = fake_group_states (group);
  fake_group_free (group);
  return states;
}

/* Guards against states whose number grows with the square of the group: in a group of 96
 * they took a third of all bytes. With twice the ranks, each rank may send half as many
 * again, not twice as many. */
static void
states_grow_with_the_group (void)
{
  CU_ASSERT_TRUE (count_states (24) < 3 * count_states (12));
}

/* Guards against complete maps that fill the link of the coordinator of a large group:
 * with 96 ranks the first map took 1.5 s to load instead of 0.6 s. */
static void
maps_are_sent_as_changes (void)
{
  FakeGroup *group = fake_group_new (1, 24, &(FakeFaults){ 0 });

  fake_group_run (group, 15 * US_PER_S);
  CU_ASSERT_TRUE (fake_group_switches (group) >= 6);
  CU_ASSERT_EQUAL (fake_group_complete_maps (group), 0);
  fake_group_free (group);
}

/* All agents of a group start at the same time and each reports rarely. Guards against
 * reports that come together, with a pause in which gateways take the state of the group
 * for unknown and no longer apply its limit. */
static void
gateways_hear_of_a_group_all_the_time (void)
{
  FakeGroup *group = fake_group_new (1, 24, &(FakeFaults){ 0 });

  fake_group_run (group, 20 * US_PER_S);
  CU_ASSERT_TRUE (fake_group_longest_gateway_gap_us (group) < 2 * US_PER_S);
  fake_group_free (group);
}

typedef struct {
  const char *name;
  uint32_t ranks;
  uint32_t stopped;
  uint64_t stall_max_us;
} StopCase;

/* A rank whose agent has ended is armed directly after 0.25 s, one every 10 ms. */
static const StopCase stop_cases[] = {
  { "coordinator of a small group", 4, 1, US_PER_S / 4 },
  { "all agents of a small group", 4, 4, US_PER_S / 2 },
  { "all agents of a group of one rank", 1, 1, US_PER_S / 4 },
  { "all candidates of a large group", 24, 3, US_PER_S / 2 },
  { "all agents of a large group", 24, 24, US_PER_S * 6 / 10 },
};

/* Guards against agents that get a planned stop in a hold and leave the group held: until
 * the next coordinator notices, or, if all agents of the group are stopped, until they
 * are started again 5 s later. */
static void
a_planned_stop_leaves_no_hold (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (stop_cases); i++) {
    const StopCase *row = &stop_cases[i];

    for (uint64_t seed = 1; seed <= 5; seed++) {
      FakeFaults faults = { .stopped_agents = row->stopped };
      FakeGroup *group = fake_group_new (seed, row->ranks, &faults);

      fake_group_run (group, 40 * US_PER_S);
      if (fake_group_mixed_steps (group) != 0 ||
          fake_group_longest_stall_us (group) > row->stall_max_us) {
        printf ("%s, seed %u: mixed %u, stalled %u ms\n", row->name, (unsigned)seed,
                fake_group_mixed_steps (group),
                (unsigned)(fake_group_longest_stall_us (group) / 1000));
        CU_FAIL (row->name);
      }
      fake_group_free (group);
    }
  }
}

/* Shows that the check above can fail: an engine that accepts an arm order without arming
 * keeps the old map, as if the coordinator had not waited for that rank. */
static void
check_detects_mixed_maps (void)
{
  FakeGroup *group = fake_group_new (1, 4, &(FakeFaults){ .false_arm_ack = true });

  fake_group_run (group, 20 * US_PER_S);
  CU_ASSERT_TRUE (fake_group_mixed_steps (group) > 0);
  fake_group_free (group);
}

static void
ignore_send (void *ctx, const BurdockMessage *message, const BurdockAddress *to,
             uint32_t count)
{
}

static void
ignore_order (void *ctx, const BurdockMapOrder *order)
{
}

static void
ignore_refresh (void *ctx, bool counts)
{
}

static uint64_t
zero_random (void *ctx)
{
  return 0;
}

static void
ignore_log (void *ctx, const char *step, const char *detail)
{
}

/* Handles a report of the engine of rank 0 of 2, which does not proceed, and, if @peer is
 * set, a state of rank 1, and runs the agent. */
static void
run_idle_agent (BurdockMapAgent *agent, bool report, bool peer, uint64_t now_us)
{
  BurdockRankReport own = {
    .group = "g", .epoch = 1, .size = 2, .open = true, .active = 1, .step = 5
  };
  BurdockMessage *message = calloc (1, sizeof *message);

  if (report)
    burdock_map_agent_handle_report (agent, &own, now_us);
  message->header = (BurdockMessageHeader){ .type = BURDOCK_MSG_RANK_STATE,
                                            .sender_id = 2,
                                            .sender_incarnation = 2 };
  message->rank_state = (BurdockRankStateMessage){ .group = "g",
                                                   .upstream = { .ipv4 = 2, .port = 1 },
                                                   .epoch = 1,
                                                   .rank = 1,
                                                   .size = 2,
                                                   .open = true,
                                                   .running = 1,
                                                   .step = 5 };
  if (peer)
    burdock_map_agent_receive (agent, (BurdockAddress){ .ipv4 = 2, .port = 1 }, message,
                               now_us);
  burdock_map_agent_tick (agent, now_us);
  free (message);
}

/* Guards against a coordinator that was paused itself and takes over a healthy group, as
 * all other ranks look silent and the group stalled by what it heard before the pause.
 * Without a pause, a silent rank in a stalled group has to be noticed. */
static void
own_pause_is_no_silence_of_others (void)
{
  BurdockMapAgentSettings settings = { .id = 1, .incarnation = 1 };
  BurdockMapAgentHandler handler = { .send = ignore_send,
                                     .order = ignore_order,
                                     .refresh = ignore_refresh,
                                     .random = zero_random,
                                     .log = ignore_log };
  BurdockMapAgent *agent = burdock_map_agent_new (&settings, &handler);
  BurdockMessage *roster = calloc (1, sizeof *roster);
  uint64_t now_us = US_PER_S;

  run_idle_agent (agent, true, true, now_us);
  roster->header.type = BURDOCK_MSG_RANK_ROSTER;
  roster->roster = (BurdockRosterMessage){ .layers = 2, .experts = 4, .slots = 4 };
  burdock_map_agent_receive (agent, (BurdockAddress){ .ipv4 = 9, .port = 1 }, roster,
                             now_us);
  free (roster);
  for (; now_us < 2 * US_PER_S; now_us += US_PER_S / 20)
    run_idle_agent (agent, true, true, now_us);
  now_us += US_PER_S; /* the pause */
  run_idle_agent (agent, false, false, now_us);
  CU_ASSERT_EQUAL (burdock_map_agent_stats (agent).recoveries, 0);
  for (uint64_t end_us = now_us + US_PER_S; now_us < end_us; now_us += US_PER_S / 20)
    run_idle_agent (agent, true, true, now_us);
  CU_ASSERT_EQUAL (burdock_map_agent_stats (agent).recoveries, 0);
  for (uint64_t end_us = now_us + US_PER_S; now_us < end_us; now_us += US_PER_S / 20)
    run_idle_agent (agent, true, false, now_us);
  CU_ASSERT_EQUAL (burdock_map_agent_stats (agent).recoveries, 1);
  burdock_map_agent_free (agent);
}

typedef struct {
  uint32_t rank;
  uint32_t size;
  bool valid;
} SizeCase;

static const SizeCase size_cases[] = {
  { 0, 1, true },
  { 0, 2, true },
  { 95, 96, true },
  { 255, 256, true },
  { 256, 257, true },
  { BURDOCK_MAP_PEERS_MAX - 1, BURDOCK_MAP_PEERS_MAX, true },
  { 0, 0, false },
  { 96, 96, false },
  { 0, BURDOCK_MAP_PEERS_MAX + 1, false },
  { 7, UINT32_MAX, false },
};

/* Guards against writes beyond the table of ranks, which a report with too large a rank
 * could cause and AddressSanitizer detects, and against groups that no agent reports to
 * the gateways because of their size. */
static void
groups_of_every_size_are_reported (void)
{
  BurdockMapAgentSettings settings = { .id = 1, .incarnation = 1 };
  BurdockMapAgentHandler handler = { .send = ignore_send,
                                     .refresh = ignore_refresh,
                                     .random = zero_random,
                                     .log = ignore_log };

  for (uint32_t i = 0; i < sizeof size_cases / sizeof size_cases[0]; i++) {
    BurdockRankReport report = {
      .group = "g", .rank = size_cases[i].rank, .size = size_cases[i].size, .open = true
    };
    BurdockMapAgent *agent = burdock_map_agent_new (&settings, &handler);

    burdock_map_agent_handle_report (agent, &report, US_PER_S);
    CU_ASSERT_EQUAL (burdock_map_agent_needs_hosted_experts (agent), size_cases[i].valid);
    CU_ASSERT_EQUAL (burdock_map_agent_tick (agent, US_PER_S) != UINT64_MAX,
                     size_cases[i].valid);
    burdock_map_agent_free (agent);
  }
}

/* Layers, experts, slots, loads and time of a copy, of engines with 2 layers of 16
 * experts on 4 ranks with 6 slots each. The numbers of the 2^30 + 2 layers are those of 2
 * layers in 32 bits. */
static const uint32_t shapes[][5] = {
  { 1, 16, 6, 4, 100000 },
  { 2, 8, 6, 4, 100000 },
  { 2, 1, 6, 4, 100000 },
  { 4, 8, 6, 4, 100000 },
  { 2, 17, 6, 4, 100000 },
  { 255, 256, 64, 4, 100000 },
  { 256, 16, 6, 4, 100000 },
  { 2, 257, 64, 4, 100000 },
  { 2, 0, 6, 4, 100000 },
  { 2 + (1u << 30), 16, 6, 4, 100000 },
  { UINT32_MAX, UINT32_MAX, UINT32_MAX, UINT32_MAX, UINT32_MAX },
  { 2, 16, 0, 0, 0 },
  { 2, 16, 1, 1, UINT32_MAX },
  { 2, 16, UINT32_MAX, UINT32_MAX, 1 },
};

/* Guards against agents that end, which AddressSanitizer detects, and against groups
 * whose maps stay as they are, after a configuration whose shape does not match the
 * engines. */
static void
shapes_that_do_not_match_are_survived (void)
{
  for (size_t i = 0; i < TEST_COUNT (shapes); i++) {
    const uint32_t *shape = shapes[i];
    BurdockRosterMessage odd = { .layers = shape[0],
                                 .experts = shape[1],
                                 .slots = shape[2],
                                 .loads_max = shape[3],
                                 .expert_copy_us = shape[4] };
    FakeGroup *group = fake_group_new (i + 1, 4, &(FakeFaults){ 0 });
    uint32_t switches;

    fake_group_run (group, 8 * US_PER_S);
    CU_ASSERT_TRUE (fake_group_switches (group) >= 2);
    fake_group_set_shape (group, &odd);
    fake_group_run (group, 16 * US_PER_S);
    fake_group_set_shape (group, &(BurdockRosterMessage){ 0 });
    switches = fake_group_switches (group);
    fake_group_run (group, 26 * US_PER_S);
    CU_ASSERT_EQUAL (fake_group_mixed_steps (group), 0);
    CU_ASSERT_TRUE (fake_group_longest_stall_us (group) < US_PER_S / 2);
    CU_ASSERT_TRUE (fake_group_switches (group) >= switches + 2);
    fake_group_free (group);
  }
}

static const uint32_t group_sizes[] = { 1, 2, 3, 8, 16 };

/* Guards against maps of small groups that follow noise, and maps of large groups that
 * lag behind demand. The relative noise of counts falls with the square root of the
 * tokens counted, so a group with four times the ranks needs half the decay interval. */
static void
counts_of_large_groups_decay_faster (void)
{
  for (size_t i = 0; i < sizeof group_sizes / sizeof group_sizes[0]; i++) {
    uint32_t ranks = group_sizes[i];
    uint64_t small_us = burdock_coordinator_decay_interval_us (ranks);
    uint64_t large_us = burdock_coordinator_decay_interval_us (4 * ranks);

    CU_ASSERT_TRUE (large_us > 0);
    CU_ASSERT_TRUE (small_us >= 2 * large_us && small_us <= 2 * large_us + 1);
  }
  CU_ASSERT_EQUAL (burdock_coordinator_decay_interval_us (0),
                   burdock_coordinator_decay_interval_us (1));
}

static const Test tests[] = {
  { "maps of small groups follow noise, or maps of large groups lag behind demand",
    counts_of_large_groups_decay_faster },
  { "a rank is written beyond the table of ranks, or a large group is not reported",
    groups_of_every_size_are_reported },
  { "a shape that does not match the engines ends an agent, or the following of demand",
    shapes_that_do_not_match_are_survived },
  { "a coordinator takes its own pause for the silence of others",
    own_pause_is_no_silence_of_others },
  { "maps do not follow the demand", maps_follow_demand },
  { "the time of a plan is taken for a pause of the coordinator",
    long_plans_do_not_end_switches },
  { "a plan is used although the group has changed meanwhile, or stalls it",
    plans_in_progress_survive_faults },
  { "switches that fail again and again are not reported, or each time",
    failed_switches_are_reported_once },
  { "orders that time out block new maps", late_orders_do_not_block_maps },
  { "ranks run a step with different maps, or stall", no_step_mixes_maps_under_faults },
  { "the number of states grows with the square of the group",
    states_grow_with_the_group },
  { "the agents of a group report to the gateways at the same time, with a pause",
    gateways_hear_of_a_group_all_the_time },
  { "complete maps are sent although the ranks know the one in use",
    maps_are_sent_as_changes },
  { "a planned stop of agents leaves a group held", a_planned_stop_leaves_no_hold },
  { "the check for mixed maps cannot fail", check_detects_mixed_maps },
};

int
main (void)
{
  return test_main ("map-agent", tests, TEST_COUNT (tests));
}
