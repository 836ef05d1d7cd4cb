#include "balancer.h"
#include "test.h"

#include <apr_general.h>
#include <stdio.h>
#include <string.h>

#define MS UINT64_C (1000)
#define S (1000 * MS)
#define REQUESTS_MAX 512

typedef struct {
  BurdockBalancer *balancer;
  uint64_t now_us;
  uint64_t next_handle;
  uint64_t placed_at[REQUESTS_MAX]; /* key of the upstream, 0 for none */
  bool refused[REQUESTS_MAX];
  uint32_t placed;
  uint32_t refusals;
  BurdockReason reason;
  uint32_t retry_after_ms;
  uint64_t order[REQUESTS_MAX]; /* handles in the order of placing */
} Fixture;

static void
take_place (void *ctx, uint64_t handle, const BurdockUpstream *upstream)
{
  Fixture *fixture = ctx;

  fixture->placed_at[handle] = upstream->key;
  fixture->order[fixture->placed++] = handle;
}

static void
take_refusal (void *ctx, uint64_t handle, BurdockReason reason, uint32_t retry_after_ms)
{
  Fixture *fixture = ctx;

  fixture->refused[handle] = true;
  fixture->refusals++;
  fixture->reason = reason;
  fixture->retry_after_ms = retry_after_ms;
}

static BurdockUpstream
upstream (uint64_t key, const char *domain, uint32_t slots)
{
  BurdockUpstream item = { .key = key, .slots = slots };

  snprintf (item.id, sizeof item.id, "u%u", (unsigned)key);
  snprintf (item.pool, sizeof item.pool, "pool");
  snprintf (item.failure_domain, sizeof item.failure_domain, "%s", domain);
  item.address = (BurdockAddress){ (uint32_t)key, 80 };
  return item;
}

static void
set_up (Fixture *fixture, const BurdockUpstream *upstreams, uint32_t count)
{
  BurdockBalancerSettings settings = { .failure_domain = "a",
                                       .retry_ratio = 0.2,
                                       .retry_allowance = 90 };
  BurdockBalancerHandler handler = { fixture, take_place, take_refusal };

  memset (fixture, 0, sizeof *fixture);
  fixture->now_us = S;
  fixture->balancer = burdock_balancer_new (&settings, &handler);
  burdock_balancer_set_upstreams (fixture->balancer, upstreams, count, fixture->now_us);
}

static BurdockPlacement
placement (Fixture *fixture, uint32_t priority)
{
  return (BurdockPlacement){ .handle = ++fixture->next_handle,
                             .pool = "pool",
                             .priority = priority,
                             .on_time_until_us = fixture->now_us + 200 * MS,
                             .give_up_us = fixture->now_us + 1000 * MS };
}

static uint64_t
submit (Fixture *fixture, uint32_t priority)
{
  BurdockPlacement item = placement (fixture, priority);

  burdock_balancer_submit (fixture->balancer, &item, fixture->now_us);
  return item.handle;
}

static void
pass (Fixture *fixture, uint64_t time_us)
{
  uint64_t until_us = fixture->now_us + time_us;

  while (fixture->now_us < until_us) {
    fixture->now_us += 50 * MS;
    burdock_balancer_tick (fixture->balancer, fixture->now_us);
  }
}

static void
slots_are_not_exceeded (void)
{
  BurdockUpstream items[] = { upstream (1, "a", 2), upstream (2, "b", 2) };
  BurdockLoadItem load = { .upstream_id = 2, .outstanding = 1 };
  Fixture fixture;

  set_up (&fixture, items, 2);
  burdock_balancer_peer_load (fixture.balancer, 9, &load, 1, fixture.now_us);
  for (uint32_t i = 0; i < 5; i++)
    submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 3);
  burdock_balancer_finish (fixture.balancer, 1, BURDOCK_UPSTREAM_OK, fixture.now_us);
  CU_ASSERT_EQUAL (fixture.placed, 4);
  CU_ASSERT_EQUAL (fixture.placed_at[fixture.order[3]], 1);
  burdock_balancer_free (fixture.balancer);
}

/* Guards against places that stay taken by a gateway that was killed. */
static void
load_of_a_silent_gateway_is_forgotten (void)
{
  BurdockUpstream item = upstream (1, "a", 2);
  BurdockLoadItem load = { .upstream_id = 1, .outstanding = 2 };
  Fixture fixture;

  set_up (&fixture, &item, 1);
  burdock_balancer_peer_load (fixture.balancer, 9, &load, 1, fixture.now_us);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 0);
  pass (&fixture, 900 * MS);
  CU_ASSERT_EQUAL (fixture.placed, 0);
  submit (&fixture, 0);
  pass (&fixture, 200 * MS);
  CU_ASSERT_EQUAL (fixture.placed, 1);
  burdock_balancer_free (fixture.balancer);
}

static void
leaving_and_gone_upstreams_get_nothing (void)
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

/* Guards against urgent requests that wait behind others, and against requests that can
 * still be on time waiting behind one that is late anyway. */
static void
order_of_waiting_requests (void)
{
  BurdockUpstream item = upstream (1, "a", 1);
  uint64_t old;
  uint64_t fresh;
  uint64_t urgent;
  Fixture fixture;

  set_up (&fixture, &item, 1);
  submit (&fixture, 1);
  old = submit (&fixture, 1);
  pass (&fixture, 300 * MS);
  fresh = submit (&fixture, 1);
  urgent = submit (&fixture, 0);
  for (uint32_t i = 0; i < 3; i++)
    burdock_balancer_finish (fixture.balancer, 1, BURDOCK_UPSTREAM_OK, fixture.now_us);
  CU_ASSERT_EQUAL (fixture.order[1], urgent);
  CU_ASSERT_EQUAL (fixture.order[2], fresh);
  CU_ASSERT_EQUAL (fixture.order[3], old);
  burdock_balancer_free (fixture.balancer);
}

/* Guards against a lasting shortage in which all requests start too late. */
static void
newest_punctual_request_goes_first (void)
{
  BurdockUpstream item = upstream (1, "a", 1);
  uint64_t older;
  uint64_t newer;
  Fixture fixture;

  set_up (&fixture, &item, 1);
  submit (&fixture, 1);
  older = submit (&fixture, 1);
  pass (&fixture, 50 * MS);
  newer = submit (&fixture, 1);
  for (uint32_t i = 0; i < 2; i++)
    burdock_balancer_finish (fixture.balancer, 1, BURDOCK_UPSTREAM_OK, fixture.now_us);
  CU_ASSERT_EQUAL (fixture.order[1], newer);
  CU_ASSERT_EQUAL (fixture.order[2], older);
  burdock_balancer_free (fixture.balancer);
}

/* Guards against a request that leaves a slow upstream for no other one. */
static void
room_elsewhere_is_room_at_another_upstream (void)
{
  BurdockUpstream items[] = { upstream (1, "a", 1), upstream (2, "a", 1) };
  BurdockPlacement item;
  Fixture fixture;

  set_up (&fixture, items, 2);
  item = placement (&fixture, 0);
  CU_ASSERT_TRUE (burdock_balancer_has_room (fixture.balancer, &item, 1));
  burdock_balancer_submit (fixture.balancer, &item, fixture.now_us);
  item = placement (&fixture, 0);
  CU_ASSERT_FALSE (
      burdock_balancer_has_room (fixture.balancer, &item,
                                 fixture.placed_at[fixture.order[0]] == 1 ? 2 : 1));
  submit (&fixture, 0);
  CU_ASSERT_FALSE (burdock_balancer_has_room (fixture.balancer, &item, 1));
  burdock_balancer_free (fixture.balancer);
}

static void
stalled_upstreams_rest (void)
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

/* The load: an upstream hangs while callers leave it after 2 s. Guards against requests
 * that are sent there in their place and read when their callers have left as well. */
static void
silent_upstreams_get_nothing (void)
{
  BurdockUpstream item = upstream (1, "a", 3);
  Fixture fixture;

  set_up (&fixture, &item, 1);
  for (uint32_t i = 0; i < 3; i++)
    submit (&fixture, 0);
  pass (&fixture, 900 * MS);
  burdock_balancer_silent (fixture.balancer, 1, 900 * MS, fixture.now_us);
  pass (&fixture, 1100 * MS);
  for (uint32_t i = 0; i < 3; i++)
    burdock_balancer_finish (fixture.balancer, 1, BURDOCK_UPSTREAM_ABANDONED,
                             fixture.now_us);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 3);
  /* A sign of life ends it. */
  burdock_balancer_event (fixture.balancer, 1, 0, 0, fixture.now_us);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 5);
  burdock_balancer_free (fixture.balancer);
}

/* Guards against an upstream that is left alone for one request that takes long. */
static void
upstreams_that_answer_others_are_not_silent (void)
{
  BurdockUpstream item = upstream (1, "a", 3);
  Fixture fixture;

  set_up (&fixture, &item, 1);
  submit (&fixture, 0);
  pass (&fixture, 900 * MS);
  burdock_balancer_event (fixture.balancer, 1, 100 * MS, 200, fixture.now_us - 100 * MS);
  burdock_balancer_silent (fixture.balancer, 1, 900 * MS, fixture.now_us);
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

  burdock_balancer_rank_state (fixture->balancer, &state, fixture->now_us);
}

/* A group of two ranks with @slots each, whose agents are heard. */
static void
set_up_group (Fixture *fixture, uint32_t slots)
{
  BurdockUpstream items[] = { upstream (1, "a", slots), upstream (2, "a", slots) };

  set_up (fixture, items, 2);
  report_step (fixture, 0, 10);
  report_step (fixture, 1, 10);
}

/* Guards against a group that runs again and gets no requests, as none is left at it from
 * which a sign could come. */
static void
steps_end_the_silence_of_a_group (void)
{
  Fixture fixture;

  set_up_group (&fixture, 3);
  pass (&fixture, 900 * MS);
  burdock_balancer_silent (fixture.balancer, 1, 900 * MS, fixture.now_us);
  /* This step was begun before the group was found silent. */
  pass (&fixture, 100 * MS);
  report_step (&fixture, 0, 12);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 0);
  pass (&fixture, 500 * MS);
  report_step (&fixture, 0, 12);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 0);
  pass (&fixture, 100 * MS);
  report_step (&fixture, 0, 13);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 3);
  burdock_balancer_free (fixture.balancer);
}

/* Guards against gateways without a stream at the rank that hangs, which fill the others,
 * and against a group that stays closed although one of its ranks writes. */
static void
ranks_of_a_group_are_silent_together (void)
{
  Fixture fixture;

  set_up_group (&fixture, 3);
  pass (&fixture, 900 * MS);
  CU_ASSERT_TRUE (
      burdock_balancer_silent (fixture.balancer, 1, 900 * MS, fixture.now_us));
  CU_ASSERT_FALSE (
      burdock_balancer_silent (fixture.balancer, 2, 900 * MS, fixture.now_us));
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 0);
  burdock_balancer_event (fixture.balancer, 2, 0, 0, fixture.now_us);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 2);
  burdock_balancer_free (fixture.balancer);
}

/* Guards against a rank whose agent is silent, which would stay open to all requests that
 * find its group full. */
static void
a_silent_agent_leaves_its_rank_in_the_group (void)
{
  Fixture fixture;

  set_up_group (&fixture, 10);
  for (uint32_t i = 0; i < 14; i++)
    submit (&fixture, 0);
  for (uint32_t i = 0; i < 6; i++) {
    pass (&fixture, 500 * MS);
    report_step (&fixture, 1, 11 + i);
  }
  CU_ASSERT_EQUAL (fixture.placed, 14);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 14);
  burdock_balancer_free (fixture.balancer);
}

static void
submit_late (Fixture *fixture)
{
  BurdockPlacement item = placement (fixture, 0);

  item.on_time_until_us = fixture->now_us - 1;
  burdock_balancer_submit (fixture->balancer, &item, fixture->now_us);
}

/* The load: ten gateways that see the same group with room for 32, and each have ten late
 * requests. Guards against all of them filling the room until their next heartbeats. */
static void
late_requests_share_the_room (void)
{
  Fixture fixture;

  set_up_group (&fixture, 20);
  for (uint32_t round = 0; round < 20; round++) {
    for (uint64_t peer = 1; peer < 10; peer++)
      burdock_balancer_peer_load (fixture.balancer, peer, NULL, 0, fixture.now_us);
    pass (&fixture, 100 * MS);
  }
  for (uint32_t i = 0; i < 10; i++)
    submit_late (&fixture);
  pass (&fixture, 100 * MS);
  /* A tenth of the room in each interval, and what was saved up. */
  CU_ASSERT_TRUE (fixture.placed >= 2 && fixture.placed <= 5);
  burdock_balancer_free (fixture.balancer);
}

/* The load: late requests while no agent of the group is heard, when nothing limits them.
 * Guards against a debt that keeps late requests out once agents are heard again. */
static void
late_requests_leave_no_debt (void)
{
  uint32_t before;
  Fixture fixture;

  set_up_group (&fixture, 20);
  pass (&fixture, 3 * S);
  for (uint64_t peer = 1; peer < 10; peer++)
    burdock_balancer_peer_load (fixture.balancer, peer, NULL, 0, fixture.now_us);
  for (uint32_t i = 0; i < 40; i++)
    submit_late (&fixture);
  for (uint32_t i = 0; i < fixture.next_handle; i++)
    burdock_balancer_finish (fixture.balancer, fixture.placed_at[fixture.order[i]],
                             BURDOCK_UPSTREAM_OK, fixture.now_us);
  before = fixture.placed;
  report_step (&fixture, 0, 11);
  report_step (&fixture, 1, 11);
  pass (&fixture, 100 * MS);
  submit_late (&fixture);
  CU_ASSERT_EQUAL (fixture.placed, before + 1);
  burdock_balancer_free (fixture.balancer);
}

/* The load: a group with room for 16 at the start, and requests that are late already
 * beside others that are on time. Guards against a group that is full of late answers. */
static void
late_requests_leave_room_for_others (void)
{
  Fixture fixture;
  uint32_t late;

  set_up_group (&fixture, 10);
  for (uint32_t i = 0; i < 16; i++) {
    submit_late (&fixture);
    pass (&fixture, 50 * MS);
  }
  late = fixture.placed;
  CU_ASSERT_TRUE (late >= 12 && late < 16);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, late + 1);
  CU_ASSERT_EQUAL (fixture.order[late], fixture.next_handle);
  burdock_balancer_free (fixture.balancer);
}

/* The load: forty gateways that place one request each, while twelve upstreams in a row
 * are full and eight are free. Guards against all of them taking the first free one. */
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
    Fixture fixture = { .now_us = S };
    BurdockBalancerHandler handler = { &fixture, take_place, take_refusal };

    fixture.balancer = burdock_balancer_new (&settings, &handler);
    burdock_balancer_set_upstreams (fixture.balancer, items, 20, fixture.now_us);
    burdock_balancer_peer_load (fixture.balancer, 9, loads, 12, fixture.now_us);
    submit (&fixture, 0);
    taken[fixture.placed_at[fixture.order[0]]]++;
    burdock_balancer_free (fixture.balancer);
  }
  for (uint32_t key = 13; key <= 20; key++)
    CU_ASSERT_TRUE (taken[key] <= 12);
}

/* The load: one slot, held for good, and callers that ask on. What waits is refused when
 * it gives up and not later, with a time to come back. */
static void
waiting_requests_are_refused_in_time (void)
{
  BurdockUpstream item = upstream (1, "a", 1);
  uint64_t handle;
  Fixture fixture;

  set_up (&fixture, &item, 1);
  submit (&fixture, 0);
  handle = submit (&fixture, 0);
  pass (&fixture, 950 * MS);
  CU_ASSERT_FALSE (fixture.refused[handle]);
  pass (&fixture, 100 * MS);
  CU_ASSERT_TRUE (fixture.refused[handle]);
  CU_ASSERT_TRUE (fixture.retry_after_ms > 0);
  burdock_balancer_free (fixture.balancer);
}

/* The load: 20 requests a second for one upstream that serves 4 a second. Once the rate
 * is known, a request that cannot be placed in time is refused at once. */
static void
hopeless_requests_are_refused_at_once (void)
{
  BurdockUpstream item = upstream (1, "a", 1);
  uint32_t at_once = 0;
  Fixture fixture;

  set_up (&fixture, &item, 1);
  for (uint32_t i = 0; i < 200; i++) {
    uint32_t before = fixture.refusals;

    submit (&fixture, 0);
    at_once += fixture.refusals - before;
    if (i % 5 == 4)
      burdock_balancer_finish (fixture.balancer, 1, BURDOCK_UPSTREAM_OK, fixture.now_us);
    pass (&fixture, 50 * MS);
  }
  CU_ASSERT_TRUE (at_once > 100);
  CU_ASSERT_TRUE (fixture.placed >= 40);
  burdock_balancer_free (fixture.balancer);
}

/* Guards against a burst of repeated sends after a fault that all gateways see. */
static void
repeats_are_bounded (void)
{
  BurdockUpstream item = upstream (1, "a", 400);
  uint32_t repeats = 0;
  Fixture fixture;

  set_up (&fixture, &item, 1);
  while (burdock_balancer_may_repeat (fixture.balancer, "pool"))
    repeats++;
  CU_ASSERT_EQUAL (repeats, 0);
  for (uint32_t second = 0; second < 10; second++) {
    for (uint32_t i = 0; i < 10; i++)
      submit (&fixture, 0);
    pass (&fixture, S);
    while (burdock_balancer_may_repeat (fixture.balancer, "pool"))
      repeats++;
  }
  /* 100 requests at a ratio of 0.2, and the sixth part of an allowance of 90. */
  CU_ASSERT_TRUE (repeats > 10);
  CU_ASSERT_TRUE (repeats <= 20 + 15);
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

  burdock_balancer_rank_state (fixture->balancer, &state, fixture->now_us);
}

static void
broken_groups_get_nothing (void)
{
  BurdockUpstream items[] = { upstream (1, "a", 4), upstream (2, "a", 4) };
  uint64_t handle;
  Fixture fixture;

  set_up (&fixture, items, 2);
  report_rank (&fixture, 1, 5, true);
  report_rank (&fixture, 2, 5, false);
  handle = submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 0);
  report_rank (&fixture, 1, 6, true);
  CU_ASSERT_EQUAL (fixture.placed, 1);
  CU_ASSERT_EQUAL (fixture.order[0], handle);
  burdock_balancer_free (fixture.balancer);
}

/* The load: steps of half the target, with a row of long ones each second, as after jumps
 * of demand. Guards against a limit that follows the mean and makes all streams late. */
static void
rows_of_long_pauses_lower_the_limit (void)
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
      burdock_balancer_event (fixture.balancer, 1,
                              round % 4 == 0 && i < 10 ? 130 * MS : 60 * MS, 120,
                              fixture.now_us);
    pass (&fixture, 250 * MS);
    report_rank (&fixture, 1, 1, true);
  }
  burdock_balancer_finish (fixture.balancer, 1, BURDOCK_UPSTREAM_OK, fixture.now_us);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, before);
  burdock_balancer_free (fixture.balancer);
}

/* The load: steps that take longer than the pauses allow. Fewer requests run at once
 * until pauses are on time again, and more later. */
static void
long_pauses_lower_the_limit (void)
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
      burdock_balancer_event (fixture.balancer, 1, 150 * MS, 120, fixture.now_us);
    pass (&fixture, 250 * MS);
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
      burdock_balancer_event (fixture.balancer, 1, 40 * MS, 120, fixture.now_us);
    pass (&fixture, 250 * MS);
    report_rank (&fixture, 1, 1, true);
    submit (&fixture, 0);
  }
  CU_ASSERT_TRUE (fixture.placed > before + 20);
  burdock_balancer_free (fixture.balancer);
}

/* Guards against an upstream that fails its requests and so looks idle and draws more. */
static void
failing_upstreams_draw_less (void)
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

static const Test tests[] = {
  { "an upstream gets more requests than it has slots", slots_are_not_exceeded },
  { "places of a dead gateway stay taken", load_of_a_silent_gateway_is_forgotten },
  { "an upstream that leaves or is gone gets requests",
    leaving_and_gone_upstreams_get_nothing },
  { "urgent or punctual requests wait behind others", order_of_waiting_requests },
  { "requests in a shortage all start too late", newest_punctual_request_goes_first },
  { "a request leaves a slow upstream for none",
    room_elsewhere_is_room_at_another_upstream },
  { "an upstream that hangs gets the next request", stalled_upstreams_rest },
  { "a silent upstream gets requests in the place of those whose callers left",
    silent_upstreams_get_nothing },
  { "a slow request closes an upstream that answers others",
    upstreams_that_answer_others_are_not_silent },
  { "gateways meet at the first free upstream after full ones",
    gateways_spread_over_free_upstreams },
  { "late requests are kept out after agents were silent", late_requests_leave_no_debt },
  { "late requests of all gateways fill a group at once", late_requests_share_the_room },
  { "late requests take the places of those that are on time",
    late_requests_leave_room_for_others },
  { "a group that runs again stays without requests", steps_end_the_silence_of_a_group },
  { "a rank whose agent is silent takes what its full group does not",
    a_silent_agent_leaves_its_rank_in_the_group },
  { "a group that hangs gets requests at its other ranks",
    ranks_of_a_group_are_silent_together },
  { "a request is held until its caller leaves", waiting_requests_are_refused_in_time },
  { "a request without a chance is held", hopeless_requests_are_refused_at_once },
  { "repeated sends exceed their budget", repeats_are_bounded },
  { "a broken group gets requests", broken_groups_get_nothing },
  { "a group with long steps stays full", long_pauses_lower_the_limit },
  { "a group stays full in which each stream has one long pause",
    rows_of_long_pauses_lower_the_limit },
  { "a failing upstream draws requests", failing_upstreams_draw_less },
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
