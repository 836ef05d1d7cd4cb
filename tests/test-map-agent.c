#include "fake-group.h"
#include "map-agent.h"
#include "map-coordinator.h"
#include "test.h"

#include <stdlib.h>

#define S UINT64_C (1000000)

/* A calm group follows the demand: maps come into force one after the other. */
static void
maps_follow_the_demand (void)
{
  FakeGroup *group = fake_group_new (1, &(FakeFaults){ 0 });

  fake_group_run (group, 20 * S);
  CU_ASSERT_EQUAL (fake_group_mixed_steps (group), 0);
  CU_ASSERT_TRUE (fake_group_switches (group) >= 6);
  CU_ASSERT_TRUE (fake_group_longest_stand_us (group) < S / 2);
  fake_group_free (group);
}

/* Guards against orders without an answer that hold up maps or the steps of the group:
 * one order in ten is carried out late, and maps still change about once a second. */
static void
late_orders_do_not_stop_the_maps (void)
{
  FakeGroup *group = fake_group_new (3, &(FakeFaults){ .late_orders = 0.1 });

  fake_group_run (group, 40 * S);
  CU_ASSERT_TRUE (fake_group_switches (group) >= 10);
  CU_ASSERT_TRUE (fake_group_longest_stand_us (group) < S / 4);
  fake_group_free (group);
}

typedef struct {
  const char *name;
  FakeFaults faults;
  uint64_t stand_max_us;
} FaultCase;

/* The bounds follow from the mechanisms: a lost datagram is sent again after 30 ms; an
 * order without an answer is given again after 40 ms and then directly; a frozen or dead
 * coordinator is silent for 0.8 s, the group stands for 0.6 s and the promises take 0.6 s
 * at most, twice over if the next coordinator fails as well; a rank that has crashed is
 * back after one second. */
static const FaultCase fault_cases[] = {
  { "lost datagrams", { .lost_datagrams = 0.1 }, S },
  { "orders carried out late", { .late_orders = 0.3 }, 3 * S },
  { "agents that freeze", { .freeze_every_us = 2 * S }, 5 * S },
  { "agents that are killed", { .kill_every_us = 2 * S }, 5 * S },
  { "ranks that crash", { .crash_every_us = 4 * S }, 3 * S },
  { "all together",
    { .lost_datagrams = 0.05,
      .late_orders = 0.1,
      .freeze_every_us = 5 * S,
      .kill_every_us = 5 * S,
      .crash_every_us = 9 * S },
    12 * S },
};

/* Guards against the worst failure of a switch: a step in which two ranks use different
 * maps. It must not happen whatever is lost, late, frozen or killed, and the group must
 * not stand for longer than recovery takes. */
static void
no_step_mixes_maps_under_faults (void)
{
  for (uint32_t i = 0; i < sizeof fault_cases / sizeof fault_cases[0]; i++) {
    for (uint64_t seed = 1; seed <= 25; seed++) {
      FakeGroup *group = fake_group_new (seed, &fault_cases[i].faults);

      fake_group_run (group, 40 * S);
      if (fake_group_mixed_steps (group) != 0 ||
          fake_group_longest_stand_us (group) > fault_cases[i].stand_max_us ||
          fake_group_steps (group) < 100) {
        printf ("%s, seed %u: mixed %u, stood %u ms, steps %u, switches %u\n",
                fault_cases[i].name, (unsigned)seed, fake_group_mixed_steps (group),
                (unsigned)(fake_group_longest_stand_us (group) / 1000),
                fake_group_steps (group), fake_group_switches (group));
        CU_FAIL (fault_cases[i].name);
      }
      fake_group_free (group);
    }
  }
}

/* The check above can fail: a coordinator that does not wait for all ranks mixes maps. */
static void
the_check_finds_mixed_maps (void)
{
  FakeGroup *group = fake_group_new (1, &(FakeFaults){ .forget_one_arm = true });

  fake_group_run (group, 20 * S);
  CU_ASSERT_TRUE (fake_group_mixed_steps (group) > 0);
  fake_group_free (group);
}

static void
ignore_send (void *ctx, const BurdockMessage *message, const BurdockAddress *to,
             uint32_t count)
{
}

static void
ignore_refresh (void *ctx, bool counts)
{
}

static void
ignore_log (void *ctx, const char *step, const char *detail)
{
}

/* Guards against writes behind the table of ranks; run with the address sanitizer. */
static void
ranks_beyond_the_largest_are_ignored (void)
{
  BurdockMapAgentSettings settings = { .id = 1, .incarnation = 1 };
  BurdockMapAgentHandler handler = { .send = ignore_send,
                                     .refresh = ignore_refresh,
                                     .log = ignore_log };
  BurdockRankReport report = { .group = "g",
                               .rank = BURDOCK_COPY_RANKS_MAX,
                               .size = BURDOCK_COPY_RANKS_MAX + 1,
                               .open = true };
  BurdockMapAgent *agent = burdock_map_agent_new (&settings, &handler);

  burdock_map_agent_report (agent, &report, S);
  CU_ASSERT_FALSE (burdock_map_agent_needs_hosted (agent));
  CU_ASSERT_EQUAL (burdock_map_agent_tick (agent, S), UINT64_MAX);
  burdock_map_agent_free (agent);
}

static const uint32_t group_sizes[] = { 1, 2, 3, 8, 16 };

/* The chance in the counts of a time falls with the root of the tokens counted, so four
 * times the ranks need half the time. Guards against small groups whose maps follow
 * chance, and large ones whose maps lag. */
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
  { "small groups follow chance, or large ones lag behind demand",
    counts_of_large_groups_decay_faster },
  { "a rank beyond the largest is written behind the table",
    ranks_beyond_the_largest_are_ignored },
  { "maps do not follow the demand", maps_follow_the_demand },
  { "orders without an answer stop the maps", late_orders_do_not_stop_the_maps },
  { "ranks run a step with different maps, or stand", no_step_mixes_maps_under_faults },
  { "the check of mixed maps cannot fail", the_check_finds_mixed_maps },
};

int
main (void)
{
  return test_main ("map-agent", tests, TEST_COUNT (tests));
}
