#include "fleet.h"
#include "test.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define US_PER_S (1000 * US_PER_MS)
#define ENTRIES 3
#define LEASE "group/g"
#define ROW "lease/group/g"

static const char configuration[] =
    "franchise: f\n"
    "models: {m: {versions: [v1]}}\n"
    "pools: {p: {kind: model, models: [m], running_limit: 4, queue_limit: 9}}\n"
    "groups: {g: {pool: p, ranks: 2, layers: 1, experts: 4, slots_per_rank: 2,\n"
    "  skew_weight: 1, cost_weight: 1, expert_bytes: 1, rebalance_interval_ms: 500}}\n"
    "workspaces: {w: {}}\n";

static const FleetController controllers[] = { burdock_lease_controller };

/* Sets the configuration and the other entries directly, in place of the controllers that
 * normally write them. */
static void
start_entry (Fleet *fleet, uint32_t slot)
{
  FleetNode *node =
      fleet_start (fleet, slot, BURDOCK_ROLE_ENTRY, controllers, 1, ENTRIES);
  BurdockBlackboard *board = &node->core.board;
  BurdockBytes text = { (const uint8_t *)configuration, sizeof configuration - 1 };
  BurdockError error;

  burdock_config_parse ("f", text, &board->config.config, &error);
  board->config.generation = 1;
  for (uint32_t i = 0; i < ENTRIES; i++) {
    char name[BURDOCK_NAME_BYTES];
    BurdockMemberEntry *member;

    snprintf (name, sizeof name, "entry-%u", i);
    if (i == slot)
      continue;
    member = burdock_members_insert (&board->members, burdock_member_id (name));
    member->record.role = BURDOCK_ROLE_ENTRY;
    member->record.state = BURDOCK_MEMBER_ALIVE;
  }
}

static Fleet *
start_fleet (uint64_t seed)
{
  Fleet *fleet = fleet_new (seed);

  fleet->store.era = 1;

  for (uint32_t i = 0; i < ENTRIES; i++)
    start_entry (fleet, i);
  return fleet;
}

static const BurdockLease *
valid_lease (const Fleet *fleet, uint32_t slot)
{
  const FleetNode *node = fleet->nodes[slot];

  if (!node->alive)
    return NULL;
  return burdock_leases_find_valid (&node->core.board.leases, LEASE, fleet->now_us);
}

/**
 * struct LeaseMonitor - violations counted after every event
 * @double_holders: number of checks that found two valid holders, paused ones included,
 *   since a paused holder may resume in the middle of an order
 * @fence_faults: number of new tenures whose fencing token was not larger than the last
 * @changes: number of new tenures
 * @holder: slot of the holder last seen, -1 for none yet
 * @fence: its fencing token
 */
typedef struct {
  uint32_t double_holders;
  uint32_t fence_faults;
  uint32_t changes;
  int32_t holder;
  uint64_t fence;
} LeaseMonitor;

static void
check_holders (const Fleet *fleet, LeaseMonitor *monitor)
{
  uint32_t holders = 0;

  for (uint32_t i = 0; i < fleet->node_count; i++) {
    const BurdockLease *lease = valid_lease (fleet, i);

    if (lease == NULL)
      continue;
    holders++;
    if (monitor->holder == (int32_t)i && monitor->fence == lease->fence)
      continue;
    monitor->fence_faults += lease->fence <= monitor->fence;
    monitor->changes++;
    monitor->holder = (int32_t)i;
    monitor->fence = lease->fence;
  }
  monitor->double_holders += holders > 1;
}

static void
run_monitored (Fleet *fleet, uint64_t duration_us, LeaseMonitor *monitor)
{
  uint64_t until_us = fleet->now_us + duration_us;

  while (fleet_step (fleet, until_us))
    check_holders (fleet, monitor);
  fleet->now_us = until_us;
  check_holders (fleet, monitor);
}

static uint32_t
holder_of (const Fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->node_count; i++) {
    if (valid_lease (fleet, i) != NULL)
      return i;
  }
  return UINT32_MAX;
}

typedef struct {
  const char *name;
  uint64_t pause_us;
  uint64_t late_write_delay_us;
  uint32_t lose_answers;
  uint32_t late_writes;
  bool kill;
  bool leave;
  bool down;
  bool in_flight;   /* the fault starts just after a renewal was sent */
  bool same_holder; /* whether the holder must keep its lease */
  /* The store returns from a copy that was taken so long before; 0 for no restore. */
  uint64_t copy_age_us;
  uint32_t restores;
  bool copy_is_empty;
  bool others_start; /* the candidates start again as the store returns */
} LeaseCase;

static const LeaseCase cases[] = {
  { .name = "nothing happens", .same_holder = true },
  { .name = "answer of a renewal lost", .lose_answers = 1, .same_holder = true },
  { .name = "answers of renewals lost twice", .lose_answers = 2 },
  { .name = "renewal takes effect after the read-back",
    .late_writes = 1,
    .late_write_delay_us = 1300 * US_PER_MS },
  { .name = "renewals take effect long after their timeouts",
    .late_writes = 2,
    .late_write_delay_us = 9 * US_PER_S },
  /* A renewal every 2 s and a validity of 4.5 s allow for a pause of 2.4 s. */
  { .name = "holder paused for less than the validity",
    .pause_us = 2400 * US_PER_MS,
    .same_holder = true },
  { .name = "holder paused beyond the expiry", .pause_us = 20 * US_PER_S },
  { .name = "holder paused until just after a takeover", .pause_us = 10500 * US_PER_MS },
  { .name = "holder paused with a renewal in flight",
    .pause_us = 20 * US_PER_S,
    .in_flight = true },
  { .name = "renewal in flight takes effect late and the holder is paused",
    .pause_us = 20 * US_PER_S,
    .late_writes = 1,
    .late_write_delay_us = 15 * US_PER_S,
    .in_flight = true },
  { .name = "holder crashes with a renewal in flight", .kill = true, .in_flight = true },
  { .name = "holder crashes", .kill = true },
  { .name = "holder leaves", .leave = true },
  { .name = "store restored", .copy_age_us = 5 * US_PER_S, .restores = 1 },
  { .name = "store restored twice", .copy_age_us = 5 * US_PER_S, .restores = 2 },
  { .name = "store restored, copy from before a takeover",
    .copy_age_us = 14 * US_PER_S,
    .restores = 1,
    .pause_us = 13 * US_PER_S },
  { .name = "store restored, copy from before a takeover, first holder resumes",
    .copy_age_us = 12 * US_PER_S,
    .restores = 1,
    .pause_us = 15 * US_PER_S },
  { .name = "store restored, copy from before a release",
    .copy_age_us = 4 * US_PER_S,
    .restores = 1,
    .leave = true },
  { .name = "store restored, copy from before a crash",
    .copy_age_us = 14 * US_PER_S,
    .restores = 2,
    .kill = true },
  { .name = "store restored, renewals of the era before take effect late",
    .copy_age_us = 5 * US_PER_S,
    .restores = 1,
    .late_writes = 2,
    .late_write_delay_us = 6 * US_PER_S },
  { .name = "store restored, copy from before the first lease, candidates start",
    .copy_age_us = 100 * US_PER_MS,
    .restores = 1,
    .copy_is_empty = true,
    .others_start = true,
    .pause_us = 20 * US_PER_S },
  { .name = "store restored, answers lost",
    .copy_age_us = 3 * US_PER_S,
    .restores = 1,
    .lose_answers = 2 },
  { .name = "store down", .down = true },
  { .name = "store down and holder paused", .down = true, .pause_us = 20 * US_PER_S },
};

static void
apply_fault (Fleet *fleet, const LeaseCase *c, uint32_t holder)
{
  uint64_t writes = fleet->writes.total;

  fleet->lose_answers = c->lose_answers;
  fleet->late_writes = c->late_writes;
  fleet->late_write_delay_us = c->late_write_delay_us;
  fleet->store_down = c->down;
  while (c->in_flight && fleet->writes.total == writes)
    fleet_step (fleet, UINT64_MAX);
  if (!c->in_flight && (c->late_writes > 0 || c->lose_answers > 0))
    fleet_run (fleet, 2100 * US_PER_MS);
  if (c->pause_us > 0)
    fleet_pause (fleet, holder, c->pause_us);
  if (c->kill)
    fleet_kill (fleet, holder);
  if (c->leave)
    fleet->nodes[holder]->core.board.self.leaving = true;
}

static void
check_case (const LeaseCase *c, uint64_t seed)
{
  Fleet *fleet = start_fleet (seed);
  LeaseMonitor monitor = { .holder = -1 };
  FakeStore copy = { 0 };
  uint32_t first;
  uint64_t fence;

  run_monitored (fleet, 10 * US_PER_S, &monitor);
  first = holder_of (fleet);
  CU_ASSERT_NOT_EQUAL_FATAL (first, UINT32_MAX);
  fence = monitor.fence;
  /* Faults start at a random time in the renewal period. */
  run_monitored (fleet, fleet_random (fleet) % (2 * US_PER_S), &monitor);
  if (!c->copy_is_empty)
    fake_store_copy (&fleet->store, &copy);
  apply_fault (fleet, c, first);
  for (uint32_t i = 0; i < c->restores; i++) {
    run_monitored (fleet, c->copy_age_us, &monitor);
    fake_store_restore (&fleet->store, &copy);
  }
  for (uint32_t i = 0; i < ENTRIES && c->others_start; i++) {
    if (i == first)
      continue;
    fleet_kill (fleet, i);
    start_entry (fleet, i);
  }
  fake_store_clear (&copy);
  run_monitored (fleet, 25 * US_PER_S, &monitor);
  if (c->down)
    CU_ASSERT_EQUAL (holder_of (fleet), UINT32_MAX);
  fleet->store_down = false;
  run_monitored (fleet, 25 * US_PER_S, &monitor);
  CU_ASSERT_EQUAL (monitor.double_holders, 0);
  CU_ASSERT_EQUAL (monitor.fence_faults, 0);
  CU_ASSERT_NOT_EQUAL (holder_of (fleet), UINT32_MAX);
  if (c->same_holder)
    CU_ASSERT_TRUE (holder_of (fleet) == first && monitor.fence == fence);
  if (c->kill || c->leave)
    CU_ASSERT_NOT_EQUAL (holder_of (fleet), first);
  if (monitor.double_holders + monitor.fence_faults > 0 ||
      holder_of (fleet) == UINT32_MAX ||
      (c->same_holder && (holder_of (fleet) != first || monitor.fence != fence)))
    printf ("seed %u: %s: %u double, %u fence faults, %u changes, holder %u then %u\n",
            (unsigned)seed, c->name, monitor.double_holders, monitor.fence_faults,
            monitor.changes, first, holder_of (fleet));
  fleet_free (fleet);
}

/* A paused, crashed or leaving holder, or a write with a lost or late effect, could lead
 * to two valid holders at a time or to a fencing token that does not grow. */
static void
one_valid_holder_in_every_fault (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (cases); i++) {
    for (uint64_t seed = 1; seed <= 40; seed++)
      check_case (&cases[i], UINT64_C (100) * i + seed);
  }
}

/* A paused holder does not notice a takeover. Only the wait of the candidate ensures that
 * the lease of the holder has expired before the candidate acts. */
static void
takeover_waits_for_the_expiry (void)
{
  Fleet *fleet = start_fleet (5);
  LeaseMonitor monitor = { .holder = -1 };
  uint32_t first;
  uint64_t valid_until_us;
  uint64_t killed_us;

  run_monitored (fleet, 10 * US_PER_S, &monitor);
  first = holder_of (fleet);
  valid_until_us = valid_lease (fleet, first)->valid_until_us;
  fleet_kill (fleet, first);
  killed_us = fleet->now_us;
  while (holder_of (fleet) == UINT32_MAX && fleet->now_us < 60 * US_PER_S)
    run_monitored (fleet, 100 * US_PER_MS, &monitor);
  CU_ASSERT_TRUE (fleet->now_us > valid_until_us + 1500 * US_PER_MS);
  CU_ASSERT_TRUE (fleet->now_us < killed_us + 12 * US_PER_S);
  fleet_free (fleet);
}

/* Without a release, a group would have no coordinator during the takeover wait after
 * each planned stop of the holder. */
static void
leaving_holder_hands_over_early (void)
{
  Fleet *fleet = start_fleet (6);
  LeaseMonitor monitor = { .holder = -1 };
  uint32_t first;

  run_monitored (fleet, 10 * US_PER_S, &monitor);
  first = holder_of (fleet);
  fleet->nodes[first]->core.board.self.leaving = true;
  run_monitored (fleet, 5 * US_PER_S, &monitor);
  CU_ASSERT_NOT_EQUAL (holder_of (fleet), UINT32_MAX);
  CU_ASSERT_NOT_EQUAL (holder_of (fleet), first);
  fleet_free (fleet);
}

/* Replaces the value of a row, as another writer does. */
static void
overwrite (Fleet *fleet, const char *key, const char *value)
{
  const FakeRow *row = fake_store_row (&fleet->store, key);
  BurdockStoreResult result;
  BurdockStoreCall call = { .op = BURDOCK_STORE_ROW_PUT_IF, .put_count = 1 };

  call.puts[0] = (BurdockStorePut){ key,
                                    { (const uint8_t *)value, (uint32_t)strlen (value) },
                                    row != NULL ? row->version : 0 };
  fake_store_apply (&fleet->store, &call, &result);
  CU_ASSERT_EQUAL (result.status, 0);
}

/* Values of a row that another writer has left. */
static const char *const odd_rows[] = {
  "",
  "null",
  "[[[[",
  "\xff",
  "{\"holder\":7,\"incarnation\":{},\"fence\":[]}",
  "{\"holder\":\"x\",\"incarnation\":\"1\",\"fence\":-1}",
  "{\"holder\":\"x\",\"incarnation\":\"1\",\"fence\":-2}",
  "{\"holder\":\"x\",\"incarnation\":\"1\",\"fence\":-9223372036854775808}",
  "{\"holder\":\"x\",\"incarnation\":\"1\",\"fence\":9223372036854775807}",
  "{\"holder\":\"x\",\"incarnation\":\"1\",\"fence\":9223372036854775808}",
  "{\"holder\":\"x\",\"incarnation\":\"1\",\"fence\":1e300}",
  "{\"holder\":\"x\",\"incarnation\":\"1\",\"fence\":1e400}",
};

/* Guards against a group without a coordinator, and against a fencing token so high that
 * no later one is larger, after another writer has replaced the row of a lease. */
static void
odd_rows_are_survived (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (odd_rows); i++) {
    Fleet *fleet = start_fleet (i + 1);
    LeaseMonitor monitor = { .holder = -1 };
    uint64_t fence;

    run_monitored (fleet, 10 * US_PER_S, &monitor);
    fence = monitor.fence;
    overwrite (fleet, ROW, odd_rows[i]);
    run_monitored (fleet, 25 * US_PER_S, &monitor);
    fleet_kill (fleet, holder_of (fleet));
    run_monitored (fleet, 25 * US_PER_S, &monitor);
    CU_ASSERT_NOT_EQUAL (holder_of (fleet), UINT32_MAX);
    CU_ASSERT_EQUAL (monitor.double_holders, 0);
    CU_ASSERT_EQUAL (monitor.fence_faults, 0);
    if (monitor.fence <= fence || monitor.fence > fence + 1000)
      CU_FAIL (odd_rows[i]);
    fleet_free (fleet);
  }
}

static const Test tests[] = {
  { "the row of another writer ends the changes of a lease", odd_rows_are_survived },
  { "two processes hold a lease at a time, or a fencing token does not grow",
    one_valid_holder_in_every_fault },
  { "a lease is taken over before its holder has noticed the expiry",
    takeover_waits_for_the_expiry },
  { "a planned stop leaves a group without a coordinator",
    leaving_holder_hands_over_early },
};

int
main (void)
{
  return test_main ("lease", tests, TEST_COUNT (tests));
}
