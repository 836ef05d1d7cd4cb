#include "balancer-fixture.h"

/* Guards against a balancer that ignores the load reported by other gateways and places
 * more requests at an upstream than it has slots. */
static void
slots_are_not_exceeded (void)
{
  BurdockUpstream items[] = { upstream (1, "a", 2), upstream (2, "b", 2) };
  BurdockLoadItem load = { .upstream_id = 2, .outstanding = 1 };
  Fixture fixture;

  set_up (&fixture, items, 2);
  burdock_balancer_set_peer_load (fixture.balancer, 9, HEARTBEAT_US, &load, 1,
                                  fixture.now_us);
  for (uint32_t i = 0; i < 5; i++)
    submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 3);
  burdock_balancer_finish (fixture.balancer, 1, BURDOCK_UPSTREAM_OK, fixture.now_us);
  CU_ASSERT_EQUAL (fixture.placed, 4);
  CU_ASSERT_EQUAL (fixture.placed_at[fixture.order[3]], 1);
  burdock_balancer_free (fixture.balancer);
}

/* Guards against slots that stay in use for good after the gateway that reported them was
 * killed and sends no more heartbeats. */
static void
load_of_a_dead_gateway_expires (void)
{
  BurdockUpstream item = upstream (1, "a", 2);
  BurdockLoadItem load = { .upstream_id = 1, .outstanding = 2 };
  Fixture fixture;

  set_up (&fixture, &item, 1);
  burdock_balancer_set_peer_load (fixture.balancer, 9, HEARTBEAT_US, &load, 1,
                                  fixture.now_us);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 0);
  advance_time (&fixture, 900 * US_PER_MS);
  CU_ASSERT_EQUAL (fixture.placed, 0);
  submit (&fixture, 0);
  advance_time (&fixture, 200 * US_PER_MS);
  CU_ASSERT_EQUAL (fixture.placed, 1);
  burdock_balancer_free (fixture.balancer);
}

/* Guards against placing requests at an upstream that is draining or no longer listed,
 * and against queueing a request whose pool has no upstream left. */
static void
leaving_and_removed_upstreams_get_nothing (void)
{
  BurdockUpstream items[] = { upstream (1, "a", 9), upstream (2, "b", 9) };
  Fixture fixture;

  set_up (&fixture, items, 2);
  items[0].leaving = true;
  burdock_balancer_set_upstreams (fixture.balancer, items, 2, fixture.now_us);
  for (uint32_t i = 0; i < 4; i++)
    CU_ASSERT_EQUAL (fixture.placed_at[submit (&fixture, 0)], 2);
  burdock_balancer_set_upstreams (fixture.balancer, items, 1, fixture.now_us);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.refusals, 1);
  CU_ASSERT_EQUAL (fixture.reason, BURDOCK_REASON_NO_UPSTREAM);
  CU_ASSERT_TRUE (fixture.retry_after_ms > 0);
  burdock_balancer_free (fixture.balancer);
}

typedef struct {
  const char *name;
  uint32_t priority[3];
  uint32_t can_wait_ms[3]; /* when each comes, one after the other */
  uint32_t order[3];
} OrderCase;

static const OrderCase order_cases[] = {
  { "alike: in the order of arrival", { 1, 1, 1 }, { 900, 900, 900 }, { 0, 1, 2 } },
  { "the one that can wait least", { 1, 1, 1 }, { 900, 700, 300 }, { 2, 1, 0 } },
  { "an urgent one", { 1, 1, 0 }, { 900, 900, 900 }, { 2, 0, 1 } },
  { "an urgent one that can wait", { 1, 1, 0 }, { 300, 900, 5000 }, { 2, 0, 1 } },
  { "a less urgent one that cannot wait", { 1, 2, 1 }, { 900, 300, 900 }, { 0, 2, 1 } },
};

/* Guards against urgent requests waiting behind others, and against an order that does
 * not follow from the time that the callers have. */
static void
order_of_waiting_requests (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (order_cases); i++) {
    const OrderCase *row = &order_cases[i];
    BurdockUpstream item = upstream (1, "a", 1);
    uint64_t first;
    Fixture fixture;

    set_up (&fixture, &item, 1);
    first = submit (&fixture, 1);
    for (uint32_t k = 0; k < 3; k++) {
      BurdockPlacement waiting = placement (&fixture, row->priority[k]);

      waiting.times.first_part_deadline_us =
          fixture.now_us + row->can_wait_ms[k] * US_PER_MS;
      burdock_balancer_submit (fixture.balancer, &waiting, fixture.now_us);
    }
    for (uint32_t k = 0; k < 3; k++) {
      burdock_balancer_finish (fixture.balancer, 1, BURDOCK_UPSTREAM_OK, fixture.now_us);
      if (fixture.order[k + 1] != first + 1 + row->order[k])
        CU_FAIL (row->name);
    }
    burdock_balancer_free (fixture.balancer);
  }
}

/* Guards against cancelling a request at a slow upstream when no other upstream has a
 * free slot: the slow upstream itself must not count. */
static void
capacity_excludes_the_given_upstream (void)
{
  BurdockUpstream items[] = { upstream (1, "a", 1), upstream (2, "a", 1) };
  BurdockPlacement item;
  Fixture fixture;

  set_up (&fixture, items, 2);
  item = placement (&fixture, 0);
  CU_ASSERT_TRUE (burdock_balancer_has_capacity (fixture.balancer, &item, 1));
  burdock_balancer_submit (fixture.balancer, &item, fixture.now_us);
  item = placement (&fixture, 0);
  CU_ASSERT_FALSE (
      burdock_balancer_has_capacity (fixture.balancer, &item,
                                     fixture.placed_at[fixture.order[0]] == 1 ? 2 : 1));
  submit (&fixture, 0);
  CU_ASSERT_FALSE (burdock_balancer_has_capacity (fixture.balancer, &item, 1));
  burdock_balancer_free (fixture.balancer);
}

/* Guards against sending further requests to an upstream that just stalled. */
static void
stalled_upstreams_are_ejected (void)
{
  BurdockUpstream items[] = { upstream (1, "a", 9), upstream (2, "a", 9) };
  Fixture fixture;

  set_up (&fixture, items, 2);
  submit (&fixture, 0);
  burdock_balancer_finish (fixture.balancer, fixture.placed_at[fixture.order[0]],
                           BURDOCK_UPSTREAM_STALLED, fixture.now_us);
  for (uint32_t i = 1; i < 6; i++) {
    submit (&fixture, 0);
    CU_ASSERT_NOT_EQUAL (fixture.placed_at[fixture.order[i]],
                         fixture.placed_at[fixture.order[0]]);
  }
  burdock_balancer_free (fixture.balancer);
}

/* An upstream hangs, and its callers time out after 2 s. Guards against sending new
 * requests into the freed slots: the upstream reads them only after their callers have
 * timed out as well. */
static void
silent_upstreams_get_nothing (void)
{
  BurdockUpstream item = upstream (1, "a", 3);
  Fixture fixture;

  set_up (&fixture, &item, 1);
  for (uint32_t i = 0; i < 3; i++)
    submit (&fixture, 0);
  advance_time (&fixture, 900 * US_PER_MS);
  burdock_balancer_report_silence (fixture.balancer, 1, 900 * US_PER_MS, fixture.now_us);
  advance_time (&fixture, 1100 * US_PER_MS);
  for (uint32_t i = 0; i < 3; i++)
    burdock_balancer_finish (fixture.balancer, 1, BURDOCK_UPSTREAM_ABANDONED,
                             fixture.now_us);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 3);
  /* Activity ends the ejection. */
  burdock_balancer_record_event (fixture.balancer, 1, 0, 0, fixture.now_us);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 4);
  CU_ASSERT_EQUAL (fixture.refusals, 1);
  burdock_balancer_free (fixture.balancer);
}

/* Guards against ejecting an upstream because one of its requests is slow, while it sends
 * data for others. */
static void
upstreams_that_answer_others_are_not_silent (void)
{
  BurdockUpstream item = upstream (1, "a", 3);
  Fixture fixture;

  set_up (&fixture, &item, 1);
  submit (&fixture, 0);
  advance_time (&fixture, 900 * US_PER_MS);
  burdock_balancer_record_event (fixture.balancer, 1, 100 * US_PER_MS, 200,
                                 fixture.now_us - 100 * US_PER_MS);
  burdock_balancer_report_silence (fixture.balancer, 1, 900 * US_PER_MS, fixture.now_us);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 2);
  burdock_balancer_free (fixture.balancer);
}

static void
report_step (Fixture *fixture, uint32_t rank, uint64_t step)
{
  BurdockRankStateMessage state = { .upstream = { rank + 1, 80 },
                                    .group = "g",
                                    .epoch = 1,
                                    .rank = rank,
                                    .size = 2,
                                    .open = true,
                                    .step = step };

  burdock_balancer_set_rank_state (fixture->balancer, &state, fixture->now_us);
}

/* A group of two ranks with @slots each, whose agents have reported. */
static void
set_up_group (Fixture *fixture, uint32_t slots)
{
  BurdockUpstream items[] = { upstream (1, "a", slots), upstream (2, "a", slots) };

  set_up (fixture, items, 2);
  report_step (fixture, 0, 10);
  report_step (fixture, 1, 10);
}

/* Guards against a recovered group that stays ejected: it has no requests left whose data
 * could show that it runs, so the steps that its agents report must do, wherever their
 * numbers begin. */
static void
advance_from_step (uint64_t step)
{
  Fixture fixture;

  set_up_group (&fixture, 3);
  advance_time (&fixture, 900 * US_PER_MS);
  burdock_balancer_report_silence (fixture.balancer, 1, 900 * US_PER_MS, fixture.now_us);
  /* This step may have begun before the group was marked silent. */
  advance_time (&fixture, 100 * US_PER_MS);
  report_step (&fixture, 0, step);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 0);
  advance_time (&fixture, 500 * US_PER_MS);
  report_step (&fixture, 0, step);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 0);
  advance_time (&fixture, 100 * US_PER_MS);
  report_step (&fixture, 0, step + 1);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 1);
  CU_ASSERT_EQUAL (fixture.refusals, 2);
  burdock_balancer_free (fixture.balancer);
}

static void
advancing_steps_end_the_ejection_of_a_group (void)
{
  static const uint64_t steps[] = { 12, 1, 0, UINT64_C (1) << 40 };

  for (size_t i = 0; i < TEST_COUNT (steps); i++)
    advance_from_step (steps[i]);
}

/* In a large group each agent reports rarely. Guards against a recovered group that stays
 * ejected until one agent has reported twice, and against taking two ranks that report
 * the last two steps before the silence for progress. */
static void
steps_of_different_ranks_end_the_ejection (void)
{
  Fixture fixture;

  set_up_group (&fixture, 3);
  advance_time (&fixture, 900 * US_PER_MS);
  burdock_balancer_report_silence (fixture.balancer, 1, 900 * US_PER_MS, fixture.now_us);
  advance_time (&fixture, 100 * US_PER_MS);
  report_step (&fixture, 0, 12);
  advance_time (&fixture, 100 * US_PER_MS);
  report_step (&fixture, 1, 13);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 0);
  advance_time (&fixture, 100 * US_PER_MS);
  report_step (&fixture, 1, 14);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 1);
  CU_ASSERT_EQUAL (fixture.refusals, 1);
  burdock_balancer_free (fixture.balancer);
}

typedef struct {
  uint32_t gateways;
  uint64_t interval_us;
} FleetCase;

/* The heartbeat interval grows with the number of gateways. */
static const FleetCase fleet_cases[] = {
  { 1, 100 * US_PER_MS },  { 3, 100 * US_PER_MS },  { 9, 100 * US_PER_MS },
  { 40, 250 * US_PER_MS }, { 99, 612 * US_PER_MS }, { 330, 2062 * US_PER_MS },
};

/* Guards against a gateway of a large fleet that takes the others for dead between two of
 * their heartbeats, and no longer counts their requests. */
static void
peers_are_counted_between_heartbeats (void)
{
  for (uint32_t i = 0; i < sizeof fleet_cases / sizeof fleet_cases[0]; i++) {
    BurdockUpstream item = upstream (1, "a", 1000);
    BurdockLoadItem load = { .upstream_id = 1, .outstanding = 1 };
    Fixture fixture;

    set_up (&fixture, &item, 1);
    for (uint32_t round = 0; round < 4; round++) {
      for (uint32_t peer = 1; peer < fleet_cases[i].gateways; peer++)
        burdock_balancer_set_peer_load (fixture.balancer, peer,
                                        fleet_cases[i].interval_us, &load, 1,
                                        fixture.now_us);
      advance_time (&fixture, fleet_cases[i].interval_us);
      /* One of two heartbeats is lost. */
      advance_time (&fixture, fleet_cases[i].interval_us);
      CU_ASSERT_EQUAL (burdock_balancer_stats (fixture.balancer).outstanding_all,
                       fleet_cases[i].gateways - 1);
    }
    /* Gateways that stay silent are dead. */
    for (uint32_t t = 0; t < 10; t++)
      advance_time (&fixture, fleet_cases[i].interval_us);
    advance_time (&fixture, 1000 * US_PER_MS);
    CU_ASSERT_EQUAL (burdock_balancer_stats (fixture.balancer).outstanding_all, 0);
    burdock_balancer_free (fixture.balancer);
  }
}

/* One rank that hangs stops all ranks of its group. Guards against placing requests at
 * the other ranks meanwhile, and against a group that stays ejected although one of its
 * ranks sends data. */
static void
ranks_of_a_group_are_ejected_together (void)
{
  Fixture fixture;

  set_up_group (&fixture, 3);
  advance_time (&fixture, 900 * US_PER_MS);
  CU_ASSERT_TRUE (burdock_balancer_report_silence (fixture.balancer, 1, 900 * US_PER_MS,
                                                   fixture.now_us));
  CU_ASSERT_FALSE (burdock_balancer_report_silence (fixture.balancer, 2, 900 * US_PER_MS,
                                                    fixture.now_us));
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 0);
  burdock_balancer_record_event (fixture.balancer, 2, 0, 0, fixture.now_us);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 1);
  CU_ASSERT_EQUAL (fixture.refusals, 1);
  burdock_balancer_free (fixture.balancer);
}

/* Guards against dropping a rank from its group when its agent stops reporting: without
 * the limit of the group, the rank would get all requests that find the group full. */
static void
a_rank_without_reports_stays_in_its_group (void)
{
  Fixture fixture;

  set_up_group (&fixture, 10);
  for (uint32_t i = 0; i < 14; i++)
    submit (&fixture, 0);
  for (uint32_t i = 0; i < 6; i++) {
    advance_time (&fixture, 500 * US_PER_MS);
    report_step (&fixture, 1, 11 + i);
  }
  CU_ASSERT_EQUAL (fixture.placed, 14);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 14);
  burdock_balancer_free (fixture.balancer);
}

static void
report_group (Fixture *fixture, uint64_t epoch, bool open)
{
  BurdockRankStateMessage state = {
    .upstream = { 1, 80 }, .group = "g", .epoch = epoch, .size = 2, .open = open
  };

  burdock_balancer_set_rank_state (fixture->balancer, &state, fixture->now_us);
}

typedef struct {
  const char *name;
  uint32_t closed_ms;   /* since when the group is closed, when the request comes */
  uint32_t last_ms;     /* how long it was closed the time before, 0 if never */
  uint32_t can_wait_ms; /* for the first event */
  uint32_t left_ms;     /* for the whole answer */
  bool waits;
  uint32_t retry_min_ms;
  uint32_t retry_max_ms; /* with the spread of 0.4 s */
} ClosedCase;

static const ClosedCase closed_cases[] = {
  { "opens too late", 0, 0, 1000, 8000, false, 2200, 2600 },
  { "opens too late for a call with little time", 0, 0, 1000, 1000, false, 1000, 1400 },
  { "opens in time", 0, 0, 2500, 8000, true, 0, 0 },
  { "opens soon", 1500, 0, 1000, 8000, true, 0, 0 },
  { "stays closed for as long as the last time", 0, 4000, 2500, 8000, false, 4000, 4400 },
  { "was closed for a short time", 0, 500, 1000, 8000, true, 0, 0 },
  { "stays closed for longer than expected", 5000, 0, 1000, 8000, false, 2800, 3200 },
};

/* The only group of a pool is closed. Guards against holding a request that cannot be
 * served meanwhile, against refusing one that can wait until the group opens, and against
 * a delay that brings a caller back to the same closed group. */
static void
a_closed_group_refuses_who_cannot_wait (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (closed_cases); i++) {
    const ClosedCase *row = &closed_cases[i];
    BurdockPlacement item;
    Fixture fixture;

    set_up_group (&fixture, 3);
    if (row->last_ms > 0) {
      report_group (&fixture, 1, false);
      advance_time (&fixture, row->last_ms * US_PER_MS);
      report_group (&fixture, 2, true);
    }
    report_group (&fixture, 2, false);
    for (uint32_t t = 0; t < row->closed_ms; t += 500) {
      advance_time (&fixture, 500 * US_PER_MS);
      report_group (&fixture, 2, false);
    }
    item = placement (&fixture, 0);
    item.times.first_part_deadline_us = fixture.now_us + row->can_wait_ms * US_PER_MS;
    item.times.deadline_us = fixture.now_us + row->left_ms * US_PER_MS;
    burdock_balancer_submit (fixture.balancer, &item, fixture.now_us);
    if (fixture.refused[item.handle] == row->waits || fixture.placed > 0 ||
        (!row->waits && (fixture.retry_after_ms < row->retry_min_ms ||
                         fixture.retry_after_ms > row->retry_max_ms)))
      CU_FAIL (row->name);
    report_group (&fixture, 3, true);
    advance_time (&fixture, 100 * US_PER_MS);
    CU_ASSERT_EQUAL (fixture.placed_at[item.handle] != 0, row->waits);
    burdock_balancer_free (fixture.balancer);
  }
}

/* Guards against a caller whose request no upstream has taken and that is told to come
 * back while the group is closed, or later than needed. */
static void
delay_of_a_request_that_has_not_run (void)
{
  BurdockPlacement item;
  uint32_t delay_ms;
  Fixture fixture;

  set_up_group (&fixture, 3);
  item = placement (&fixture, 0);
  item.excluded[item.excluded_count++] = 1;
  item.excluded[item.excluded_count++] = 2;
  delay_ms = burdock_balancer_retry_after_ms (fixture.balancer, &item, fixture.now_us);
  CU_ASSERT_TRUE (delay_ms <= 500);
  report_group (&fixture, 1, false);
  delay_ms = burdock_balancer_retry_after_ms (fixture.balancer, &item, fixture.now_us);
  CU_ASSERT_TRUE (delay_ms >= 2200 && delay_ms <= 2600);
  burdock_balancer_free (fixture.balancer);
}

/* Guards against refusing requests because one of two groups is broken, or because the
 * reports of a broken group have stopped. */
static void
a_pool_with_a_usable_group_is_not_suspended (void)
{
  BurdockUpstream items[] = { upstream (1, "a", 3), upstream (2, "a", 3) };
  Fixture fixture;

  set_up (&fixture, items, 2);
  report_group (&fixture, 1, false);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 1);
  CU_ASSERT_EQUAL (fixture.placed_at[fixture.order[0]], 2);
  burdock_balancer_free (fixture.balancer);
  set_up (&fixture, items, 1);
  report_group (&fixture, 1, false);
  advance_time (&fixture, 3 * US_PER_S);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 1);
  burdock_balancer_free (fixture.balancer);
}

/* A restarted upstream has a new id at its old address, and for a moment both are listed.
 * Guards against a rank that is taken for an upstream without a group, and that gets
 * requests although its group is broken. */
static void
all_upstreams_at_an_address_join_the_group (void)
{
  BurdockUpstream items[] = { upstream (1, "a", 3), upstream (2, "a", 3) };
  Fixture fixture;

  items[1].address = items[0].address;
  set_up (&fixture, items, 2);
  report_group (&fixture, 1, false);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 0);
  CU_ASSERT_EQUAL (fixture.refusals, 1);
  burdock_balancer_free (fixture.balancer);
}

/* Ten gateways see the same 28 free places when a group opens, and each has ten requests
 * that wait for it. Guards against each gateway filling all of them before it hears of
 * the others. */
static void
gateways_share_the_places_for_waiting_requests (void)
{
  Fixture fixture;

  set_up_group (&fixture, 20);
  report_group (&fixture, 1, false);
  for (uint32_t round = 0; round < 15; round++) {
    for (uint64_t peer = 1; peer < 10; peer++)
      burdock_balancer_set_peer_load (fixture.balancer, peer, HEARTBEAT_US, NULL, 0,
                                      fixture.now_us);
    advance_time (&fixture, 100 * US_PER_MS);
  }
  for (uint32_t i = 0; i < 10; i++)
    submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed + fixture.refusals, 0);
  report_group (&fixture, 2, true);
  advance_time (&fixture, 100 * US_PER_MS);
  /* A tenth of the places for each heartbeat, as much from before, and two to spare. */
  CU_ASSERT_TRUE (fixture.placed >= 3 && fixture.placed <= 8);
  burdock_balancer_free (fixture.balancer);
}

/* While no agent of a group reports, waiting requests need no credit. Guards against
 * driving the credit below zero with them, which would keep requests waiting once the
 * agents report again. */
static void
credit_does_not_go_negative (void)
{
  BurdockLoadItem loads[] = { { .upstream_id = 1, .outstanding = 20 },
                              { .upstream_id = 2, .outstanding = 20 } };
  uint32_t before;
  Fixture fixture;

  set_up_group (&fixture, 20);
  burdock_balancer_set_peer_load (fixture.balancer, 9, 10 * US_PER_S, loads, 2,
                                  fixture.now_us);
  advance_time (&fixture, 3 * US_PER_S);
  for (uint32_t i = 0; i < 40; i++)
    submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 0);
  burdock_balancer_set_peer_load (fixture.balancer, 9, 10 * US_PER_S, NULL, 0,
                                  fixture.now_us);
  CU_ASSERT_EQUAL (fixture.placed, 40);
  before = fixture.placed;
  report_step (&fixture, 0, 11);
  report_step (&fixture, 1, 11);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, before);
  for (uint32_t i = 0; i < before; i++)
    burdock_balancer_finish (fixture.balancer, fixture.placed_at[fixture.order[i]],
                             BURDOCK_UPSTREAM_OK, fixture.now_us);
  CU_ASSERT_EQUAL (fixture.placed, before + 1);
  burdock_balancer_free (fixture.balancer);
}

/* Forty gateways place one request each, while twelve consecutive upstreams are full and
 * eight are free. Guards against all of them selecting the first free upstream. */
static void
gateways_spread_over_free_upstreams (void)
{
  BurdockUpstream items[20];
  BurdockLoadItem loads[12];
  uint32_t taken[21] = { 0 };

  for (uint32_t i = 0; i < 20; i++)
    items[i] = upstream (i + 1, "a", 10);
  for (uint32_t i = 0; i < 12; i++)
    loads[i] = (BurdockLoadItem){ .upstream_id = i + 1, .outstanding = 10 };
  for (uint32_t gateway = 0; gateway < 40; gateway++) {
    BurdockBalancerSettings settings = { .seed = gateway, .failure_domain = "a" };
    Fixture fixture = { .now_us = US_PER_S };
    BurdockBalancerHandler handler = { .ctx = &fixture,
                                       .place = record_placement,
                                       .refuse = record_refusal };

    fixture.balancer = burdock_balancer_new (&settings, &handler);
    burdock_balancer_set_upstreams (fixture.balancer, items, 20, fixture.now_us);
    burdock_balancer_set_peer_load (fixture.balancer, 9, HEARTBEAT_US, loads, 12,
                                    fixture.now_us);
    submit (&fixture, 0);
    taken[fixture.placed_at[fixture.order[0]]]++;
    burdock_balancer_free (fixture.balancer);
  }
  for (uint32_t key = 13; key <= 20; key++)
    CU_ASSERT_TRUE (taken[key] <= 12);
}

/* The only slot is never freed. Guards against a queued request that is held past its
 * queue deadline, or refused before it or without a retry delay. */
static void
queued_requests_are_refused_at_their_deadline (void)
{
  BurdockUpstream item = upstream (1, "a", 1);
  uint64_t handle;
  Fixture fixture;

  set_up (&fixture, &item, 1);
  submit (&fixture, 0);
  handle = submit (&fixture, 0);
  advance_time (&fixture, 950 * US_PER_MS);
  CU_ASSERT_FALSE (fixture.refused[handle]);
  advance_time (&fixture, 100 * US_PER_MS);
  CU_ASSERT_TRUE (fixture.refused[handle]);
  CU_ASSERT_TRUE (fixture.retry_after_ms > 0);
  burdock_balancer_free (fixture.balancer);
}

/* 20 requests per second arrive for an upstream that serves 4 per second. Guards against
 * queueing requests that cannot start in time: once the rate is known, they are refused
 * immediately. */
static void
requests_that_cannot_start_in_time_are_refused (void)
{
  BurdockUpstream item = upstream (1, "a", 1);
  uint32_t refused_on_arrival = 0;
  Fixture fixture;

  set_up (&fixture, &item, 1);
  for (uint32_t i = 0; i < 200; i++) {
    uint32_t before = fixture.refusals;

    submit (&fixture, 0);
    refused_on_arrival += fixture.refusals - before;
    if (i % 5 == 4)
      burdock_balancer_finish (fixture.balancer, 1, BURDOCK_UPSTREAM_OK, fixture.now_us);
    advance_time (&fixture, 50 * US_PER_MS);
  }
  CU_ASSERT_TRUE (refused_on_arrival > 100);
  CU_ASSERT_TRUE (fixture.placed >= 40);
  burdock_balancer_free (fixture.balancer);
}

/* Guards against a retry storm after a fault that affects all gateways at once, and
 * against a process that starts with a full budget. */
static void
retries_are_bounded (void)
{
  BurdockUpstream item = upstream (1, "a", 400);
  uint32_t retries = 0;
  Fixture fixture;

  set_up (&fixture, &item, 1);
  while (burdock_balancer_take_retry (fixture.balancer, "pool"))
    retries++;
  CU_ASSERT_EQUAL (retries, 0);
  for (uint32_t second = 0; second < 10; second++) {
    for (uint32_t i = 0; i < 10; i++)
      submit (&fixture, 0);
    advance_time (&fixture, US_PER_S);
    while (burdock_balancer_take_retry (fixture.balancer, "pool"))
      retries++;
  }
  /* 100 requests at a ratio of 0.2, and a sixth of an allowance of 90. */
  CU_ASSERT_TRUE (retries > 10);
  CU_ASSERT_TRUE (retries <= 20 + 15);
  burdock_balancer_free (fixture.balancer);
}

static void
report_rank (Fixture *fixture, uint64_t key, uint64_t epoch, bool open)
{
  BurdockRankStateMessage state = { .group = "g",
                                    .upstream = { (uint32_t)key, 80 },
                                    .epoch = epoch,
                                    .rank = (uint32_t)key,
                                    .open = open };

  burdock_balancer_set_rank_state (fixture->balancer, &state, fixture->now_us);
}

/* Guards against placing requests in a group that a rank has reported closed, and against
 * holding the queue when a report of a later epoch opens it again. */
static void
closed_groups_get_nothing (void)
{
  BurdockUpstream items[] = { upstream (1, "a", 4), upstream (2, "a", 4) };
  uint64_t handle;
  Fixture fixture;

  set_up (&fixture, items, 2);
  report_rank (&fixture, 1, 5, true);
  report_rank (&fixture, 2, 5, false);
  advance_time (&fixture, 1500 * US_PER_MS);
  handle = submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 0);
  report_rank (&fixture, 1, 6, true);
  advance_time (&fixture, 100 * US_PER_MS);
  CU_ASSERT_EQUAL (fixture.placed, 1);
  CU_ASSERT_EQUAL (fixture.order[0], handle);
  burdock_balancer_free (fixture.balancer);
}

/* Gaps are half the target, with a burst of long ones each second, as after jumps in
 * demand, so that each stream has a long one. Guards against a limit that follows only
 * the mean gap and makes all streams late. */
static void
bursts_of_long_gaps_lower_the_limit (void)
{
  BurdockUpstream item = upstream (1, "a", 100);
  uint32_t before;
  Fixture fixture;

  set_up (&fixture, &item, 1);
  report_rank (&fixture, 1, 1, true);
  for (uint32_t i = 0; i < 100; i++)
    submit (&fixture, 0);
  before = fixture.placed;
  for (uint32_t round = 0; round < 40; round++) {
    for (uint32_t i = 0; i < 20; i++)
      burdock_balancer_record_event (fixture.balancer, 1,
                                     round % 4 == 0 && i < 10 ? 130 * US_PER_MS
                                                              : 60 * US_PER_MS,
                                     120, fixture.now_us);
    for (uint32_t i = 0; i < 4; i++)
      burdock_balancer_record_stream (fixture.balancer, 1, 130 * US_PER_MS, 120);
    advance_time (&fixture, 250 * US_PER_MS);
    report_rank (&fixture, 1, 1, true);
  }
  burdock_balancer_finish (fixture.balancer, 1, BURDOCK_UPSTREAM_OK, fixture.now_us);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, before);
  burdock_balancer_free (fixture.balancer);
}

/* Steps take longer than the target gap. Guards against a limit that is not lowered while
 * gaps are late, or not raised again once they meet the target. */
static void
long_gaps_lower_the_limit (void)
{
  BurdockUpstream item = upstream (1, "a", 100);
  uint32_t before;
  Fixture fixture;

  set_up (&fixture, &item, 1);
  report_rank (&fixture, 1, 1, true);
  for (uint32_t i = 0; i < 100; i++)
    submit (&fixture, 0);
  before = fixture.placed;
  CU_ASSERT_EQUAL (before, 70);
  for (uint32_t round = 0; round < 20; round++) {
    for (uint32_t i = 0; i < 10; i++)
      burdock_balancer_record_event (fixture.balancer, 1, 150 * US_PER_MS, 120,
                                     fixture.now_us);
    advance_time (&fixture, 250 * US_PER_MS);
    report_rank (&fixture, 1, 1, true);
  }
  for (uint32_t i = before; i > 40; i--)
    burdock_balancer_finish (fixture.balancer, 1, BURDOCK_UPSTREAM_OK, fixture.now_us);
  for (uint32_t i = 0; i < 40; i++)
    submit (&fixture, 0);
  CU_ASSERT_TRUE (fixture.placed < before + 5);
  before = fixture.placed;
  for (uint32_t round = 0; round < 40; round++) {
    for (uint32_t i = 0; i < 10; i++)
      burdock_balancer_record_event (fixture.balancer, 1, 40 * US_PER_MS, 120,
                                     fixture.now_us);
    advance_time (&fixture, 250 * US_PER_MS);
    report_rank (&fixture, 1, 1, true);
    submit (&fixture, 0);
  }
  CU_ASSERT_TRUE (fixture.placed > before + 20);
  burdock_balancer_free (fixture.balancer);
}

/* Guards against an upstream that fails its requests quickly, so that it looks idle and
 * attracts more of them. */
static void
failing_upstreams_get_fewer_requests (void)
{
  BurdockUpstream items[] = { upstream (1, "a", 20), upstream (2, "a", 20) };
  uint32_t at_failing = 0;
  Fixture fixture;

  set_up (&fixture, items, 2);
  for (uint32_t i = 0; i < 200; i++) {
    uint64_t key = fixture.placed_at[submit (&fixture, 0)];

    if (i >= 100 && key == 1)
      at_failing++;
    burdock_balancer_finish (fixture.balancer, key,
                             key == 1 ? BURDOCK_UPSTREAM_FAILED : BURDOCK_UPSTREAM_OK,
                             fixture.now_us);
  }
  CU_ASSERT_TRUE (at_failing < 25);
  burdock_balancer_free (fixture.balancer);
}

/* A connection may break although its upstream runs on; a rank that ends breaks its
 * group, and the connections to the other ranks break later. */
static void
end_of_an_upstream_is_noticed (void)
{
  BurdockUpstream items[] = { upstream (1, "a", 2), upstream (2, "a", 2) };
  BurdockRankStateMessage state = {
    .group = "g", .upstream = items[0].address, .epoch = 1, .open = true
  };
  uint64_t broken_us;
  Fixture fixture;

  set_up (&fixture, items, 2);
  burdock_balancer_set_rank_state (fixture.balancer, &state, fixture.now_us);
  submit (&fixture, 0);
  submit (&fixture, 0);
  CU_ASSERT_FALSE (burdock_balancer_has_ended (fixture.balancer, 1, fixture.now_us));
  broken_us = fixture.now_us;
  advance_time (&fixture, 100 * US_PER_MS);
  state.open = false;
  burdock_balancer_set_rank_state (fixture.balancer, &state, fixture.now_us);
  CU_ASSERT_TRUE (burdock_balancer_has_ended (fixture.balancer, 1, broken_us));
  CU_ASSERT_FALSE (burdock_balancer_has_ended (fixture.balancer, 2, broken_us));
  advance_time (&fixture, 1500 * US_PER_MS);
  CU_ASSERT_FALSE (burdock_balancer_has_ended (fixture.balancer, 1, fixture.now_us));
  burdock_balancer_finish (fixture.balancer, 2, BURDOCK_UPSTREAM_UNREACHABLE,
                           fixture.now_us);
  CU_ASSERT_TRUE (burdock_balancer_has_ended (fixture.balancer, 2, broken_us));
  burdock_balancer_set_upstreams (fixture.balancer, items, 1, fixture.now_us);
  CU_ASSERT_TRUE (
      burdock_balancer_has_ended (fixture.balancer, 2, fixture.now_us + US_PER_S));
  burdock_balancer_free (fixture.balancer);
}

static const Test tests[] = {
  { "a broken connection is taken for the end of its upstream, or the reverse",
    end_of_an_upstream_is_noticed },
  { "an upstream gets more requests than it has slots", slots_are_not_exceeded },
  { "slots of a dead gateway stay in use", load_of_a_dead_gateway_expires },
  { "an upstream that is leaving or removed gets requests",
    leaving_and_removed_upstreams_get_nothing },
  { "the order of requests does not follow from urgency and time left",
    order_of_waiting_requests },
  { "a slow request is cancelled without a free slot elsewhere",
    capacity_excludes_the_given_upstream },
  { "a stalled upstream gets the next request", stalled_upstreams_are_ejected },
  { "a silent upstream gets requests in the place of those whose callers left",
    silent_upstreams_get_nothing },
  { "one slow request ejects an upstream that answers others",
    upstreams_that_answer_others_are_not_silent },
  { "all gateways select the first free upstream after full ones",
    gateways_spread_over_free_upstreams },
  { "requests keep waiting after a lack of agent reports", credit_does_not_go_negative },
  { "waiting requests of all gateways fill a group together",
    gateways_share_the_places_for_waiting_requests },
  { "a group that runs again stays without requests",
    advancing_steps_end_the_ejection_of_a_group },
  { "a large group that runs again stays without requests",
    steps_of_different_ranks_end_the_ejection },
  { "a caller comes back too early, or too late, after a request that has not run",
    delay_of_a_request_that_has_not_run },
  { "a request waits in vain for a closed group, or is refused although it could wait",
    a_closed_group_refuses_who_cannot_wait },
  { "a pool refuses requests although a group may run them",
    a_pool_with_a_usable_group_is_not_suspended },
  { "a restarted rank gets requests although its group is broken",
    all_upstreams_at_an_address_join_the_group },
  { "gateways of a large fleet are taken for dead between heartbeats",
    peers_are_counted_between_heartbeats },
  { "a rank without agent reports bypasses the limit of its group",
    a_rank_without_reports_stays_in_its_group },
  { "a group that hangs gets requests at its other ranks",
    ranks_of_a_group_are_ejected_together },
  { "a request stays queued past its queue deadline",
    queued_requests_are_refused_at_their_deadline },
  { "a request that cannot start in time is queued",
    requests_that_cannot_start_in_time_are_refused },
  { "retries exceed their budget", retries_are_bounded },
  { "a closed group gets requests", closed_groups_get_nothing },
  { "long steps do not lower the limit of a group", long_gaps_lower_the_limit },
  { "bursts of long gaps do not lower the limit of a group",
    bursts_of_long_gaps_lower_the_limit },
  { "a failing upstream attracts requests", failing_upstreams_get_fewer_requests },
};

int
main (void)
{
  int status;

  apr_initialize ();
  status = test_main ("balancer", tests, TEST_COUNT (tests));
  apr_terminate ();
  return status;
}
