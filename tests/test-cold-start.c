/* Cold upstreams: until when one is cold, and how many requests all gateways send it. */
#include "balancer-fixture.h"
#include "cold-start.h"

#include <stdlib.h>

#define PER_S 26.0
#define OVERAGE 1.5
#define ALLOWANCE 5.0
#define START_US (3 * US_PER_S)
#define TICK_US (50 * US_PER_MS)

static const BurdockColdLimit limit = { .start_us = START_US, .per_s = PER_S };

/* A statement about an upstream; its time is that of the row or answer. */
typedef struct {
  enum { NOTHING, ROW, ROW_WITHOUT_TIME, FIRST_START, ANSWER } kind;
  uint64_t at_ms;
  uint64_t born_ms;
  uint64_t version;
  uint64_t left_ms;
} Statement;

typedef struct {
  const char *name;
  Statement statements[3];
  uint64_t until_ms; /* 0 if the upstream is warm after all statements */
} TimeCase;

static const TimeCase time_cases[] = {
  { "a row is read first", { { ROW, 100, 5, 1, 2000 } }, 2100 },
  { "a row says that it is warm", { { ROW, 100, 5, 1, 0 } }, 0 },
  { "a running upstream is read first", { { ROW_WITHOUT_TIME, 100, 5, 1, 0 } }, 0 },
  { "it has started after all others", { { FIRST_START, 100, 5, 1, 0 } }, 3100 },
  { "the same row is read again",
    { { ROW, 100, 5, 1, 2000 }, { ROW, 900, 5, 1, 2000 } },
    2100 },
  { "it becomes cold without a restart",
    { { ROW, 100, 5, 1, 0 }, { ROW, 900, 5, 2, 3000 } },
    3900 },
  { "it starts again, its row states no time",
    { { ROW_WITHOUT_TIME, 100, 5, 1, 0 }, { ROW_WITHOUT_TIME, 900, 6, 2, 0 } },
    3900 },
  { "it starts again, its row states a time",
    { { ROW, 100, 5, 1, 0 }, { ROW, 900, 6, 2, 1000 } },
    1900 },
  { "an older row is read after the store was restored",
    { { ROW_WITHOUT_TIME, 100, 5, 1, 0 }, { ROW_WITHOUT_TIME, 900, 4, 7, 0 } },
    0 },
  { "its start becomes known",
    { { ROW_WITHOUT_TIME, 100, 0, 1, 0 }, { ROW_WITHOUT_TIME, 900, 5, 2, 0 } },
    0 },
  { "its row is renewed without a restart",
    { { ROW_WITHOUT_TIME, 100, 5, 1, 0 }, { ROW_WITHOUT_TIME, 900, 5, 2, 0 } },
    0 },
  { "an answer is more exact than the row",
    { { ROW, 100, 5, 1, 3000 }, { ANSWER, 900, 0, 0, 400 } },
    1300 },
  { "an answer ends the cold time",
    { { ROW, 100, 5, 1, 3000 }, { ANSWER, 900, 0, 0, 0 } },
    0 },
  { "an answer ends the cold time of a start",
    { { FIRST_START, 100, 5, 1, 0 }, { ANSWER, 900, 0, 0, 0 } },
    0 },
  { "an answer begins it", { { ROW, 100, 5, 1, 0 }, { ANSWER, 900, 0, 0, 2500 } }, 3400 },
  { "a late row does not end it",
    { { ANSWER, 100, 0, 0, 2500 }, { ROW, 900, 5, 2, 0 } },
    2600 },
  { "it becomes cold again after it was warm",
    { { ROW, 100, 5, 1, 3000 }, { ANSWER, 900, 0, 0, 0 }, { ROW, 950, 5, 2, 3000 } },
    3950 },
  { "a time beyond ten minutes", { { ROW, 100, 5, 1, UINT32_MAX } }, 600100 },
};

static void
state (BurdockColdStart *cold, const Statement *statement)
{
  BurdockColdRow row = { .born_ms = statement->born_ms,
                         .version = statement->version,
                         .read_us = statement->at_ms * US_PER_MS,
                         .has_left = statement->kind == ROW,
                         .left_ms = statement->left_ms };

  if (statement->kind == ANSWER)
    burdock_cold_start_apply_answer (cold, statement->left_ms,
                                     statement->at_ms * US_PER_MS);
  else if (statement->kind != NOTHING)
    burdock_cold_start_apply_row (cold, &row, statement->kind == FIRST_START);
}

/* Guards against a cold upstream that gets the full load because its row was read late or
 * states no time, and against a warm one that is spared. */
static void
statements_tell_until_when_an_upstream_is_cold (void)
{
  static const BurdockColdLimit none = { .start_us = START_US };

  for (uint32_t i = 0; i < TEST_COUNT (time_cases); i++) {
    const TimeCase *row = &time_cases[i];
    BurdockColdStart cold = { 0 };
    uint64_t last_us = 0;
    uint64_t until_us;

    for (uint32_t k = 0; k < TEST_COUNT (row->statements); k++) {
      state (&cold, &row->statements[k]);
      if (row->statements[k].kind != NOTHING)
        last_us = row->statements[k].at_ms * US_PER_MS;
    }
    until_us = burdock_cold_start_until_us (&cold, &limit);
    if (row->until_ms == 0 ? until_us > last_us : until_us != row->until_ms * US_PER_MS)
      CU_FAIL (row->name);
    if (burdock_cold_start_until_us (&cold, &none) != 0)
      CU_FAIL ("no limit");
  }
}

typedef struct {
  double per_s;
  double overage;
  double allowance;
} RateCase;

static const RateCase rate_cases[] = {
  { 26, 1.5, 5 }, { 26, 1, 0 }, { 26, 10, 0 }, { 2, 1.5, 5 },     { 0.5, 1.5, 0 },
  { 0, 1.5, 5 },  { 26, 0, 5 }, { 1, 1, 0 },   { 1000, 1.2, 10 }, { 1e300, 1.5, 5 },
};

/* Guards against a rate whose mean leaves no room below the bound, and against requests
 * to an upstream that may get none in a second. */
static void
the_rate_is_below_the_bound (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (rate_cases); i++) {
    const RateCase *row = &rate_cases[i];
    double bound = row->per_s * row->overage + row->allowance;
    double rate = burdock_cold_rate_per_s (row->per_s, row->overage, row->allowance);

    CU_ASSERT_TRUE (rate >= 0 && rate <= row->per_s);
    CU_ASSERT_TRUE (rate < bound || bound == 0);
    if (bound < 1 || row->per_s == 0)
      CU_ASSERT_EQUAL (rate, 0);
    if (bound >= 1 && row->per_s > 0)
      CU_ASSERT_TRUE (rate > 0);
  }
}

typedef struct {
  const char *name;
  uint32_t peers;
  uint64_t heard_ms;
  uint32_t peers_later;
  uint32_t gateways;
} FleetCase;

static const FleetCase fleet_cases[] = {
  { "alone since the start", 0, 60000, 0, 512 },
  { "others heard for a short time", 31, 2900, 31, 512 },
  { "others heard for a while", 31, 5000, 31, 32 },
  { "no longer any", 31, 5000, 0, 512 },
  { "only half of them", 31, 5000, 15, 32 },
  { "more than before", 31, 5000, 98, 99 },
};

/* Guards against a gateway that takes the part of others that it does not hear, as it has
 * just started or is cut off from them. */
static void
a_gateway_takes_no_part_of_those_it_does_not_hear (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (fleet_cases); i++) {
    const FleetCase *row = &fleet_cases[i];
    BurdockColdFleet fleet = { 0 };
    uint64_t now_us = US_PER_S;

    burdock_cold_fleet_update (&fleet, row->peers, now_us);
    now_us += row->heard_ms * US_PER_MS;
    burdock_cold_fleet_update (&fleet, row->peers_later, now_us);
    if (burdock_cold_fleet_gateways (&fleet, 200 * US_PER_MS, now_us) != row->gateways)
      CU_FAIL (row->name);
  }
}

/* Guards against permits that are saved up, and against one that is lost by a request
 * that the upstream did not take for its own. */
static void
permits_expire_and_are_handed_back (void)
{
  BurdockColdStart cold = { 0 };
  uint64_t now_us = US_PER_S;
  uint32_t allowed = 0;

  burdock_cold_start_apply_answer (&cold, 60000, now_us);
  CU_ASSERT_FALSE (burdock_cold_start_allows (&cold, &limit, now_us));
  CU_ASSERT_TRUE (burdock_cold_start_advance (&cold, &limit, 0.5, now_us, 0.5));
  CU_ASSERT_EQUAL (burdock_cold_start_opens_us (&cold, &limit, now_us),
                   now_us + US_PER_S + 1);
  for (uint32_t i = 0; i < 200; i++) {
    now_us += TICK_US;
    burdock_cold_start_advance (&cold, &limit, 0.5, now_us, 0.5);
    allowed += burdock_cold_start_allows (&cold, &limit, now_us);
  }
  /* Five permits in 10 s, each for five ticks. */
  CU_ASSERT_EQUAL (allowed, 25);
  while (!burdock_cold_start_allows (&cold, &limit, now_us)) {
    now_us += TICK_US;
    burdock_cold_start_advance (&cold, &limit, 0.5, now_us, 0.5);
  }
  burdock_cold_start_sent (&cold);
  CU_ASSERT_FALSE (burdock_cold_start_allows (&cold, &limit, now_us));
  burdock_cold_start_handed_back (&cold, now_us);
  CU_ASSERT_TRUE (burdock_cold_start_allows (&cold, &limit, now_us));
  burdock_cold_start_apply_answer (&cold, 0, now_us);
  CU_ASSERT_TRUE (burdock_cold_start_advance (&cold, &limit, 0, now_us, 0.5));
  CU_ASSERT_TRUE (burdock_cold_start_allows (&cold, &limit, now_us));
}

/* Guards against an upstream whose stalls are forgiven for good, as each of its answers
 * says that it is warm. */
static void
an_upstream_that_is_warm_is_not_slow (void)
{
  BurdockColdStart cold = { 0 };

  burdock_cold_start_apply_answer (&cold, 0, US_PER_S);
  CU_ASSERT_FALSE (burdock_cold_start_is_slow (&cold, &limit, US_PER_S));
  burdock_cold_start_apply_answer (&cold, 1000, 2 * US_PER_S);
  burdock_cold_start_apply_answer (&cold, 0, 2 * US_PER_S + 500 * US_PER_MS);
  burdock_cold_start_apply_answer (&cold, 0, 3 * US_PER_S + 400 * US_PER_MS);
  CU_ASSERT_TRUE (
      burdock_cold_start_is_slow (&cold, &limit, 3 * US_PER_S + 400 * US_PER_MS));
  CU_ASSERT_FALSE (
      burdock_cold_start_is_slow (&cold, &limit, 3 * US_PER_S + 600 * US_PER_MS));
}

static void
set_up_cold (Fixture *fixture, const BurdockUpstream *upstreams, uint32_t count,
             double overage, double per_s)
{
  BurdockBalancerSettings settings = { .failure_domain = "a",
                                       .retry_ratio = 0.2,
                                       .retry_allowance = 90,
                                       .cold_overage = overage,
                                       .cold_allowance = ALLOWANCE };
  BurdockBalancerHandler handler = { .ctx = fixture,
                                     .place = record_placement,
                                     .refuse = record_refusal };
  BurdockColdPool pool = { "pool", { START_US, per_s } };

  memset (fixture, 0, sizeof *fixture);
  fixture->now_us = US_PER_S;
  fixture->balancer = burdock_balancer_new (&settings, &handler);
  burdock_balancer_set_cold_pools (fixture->balancer, &pool, 1);
  burdock_balancer_set_upstreams (fixture->balancer, upstreams, count, fixture->now_us);
}

static BurdockUpstream
cold_upstream (uint64_t key, uint32_t left_ms)
{
  BurdockUpstream item = upstream (key, "a", 10);

  item.has_cold_left = true;
  item.cold_left_ms = left_ms;
  item.row_version = 1;
  item.read_us = US_PER_S;
  return item;
}

/* Hears of @peers other gateways for @time_us. */
static void
hear_others (Fixture *fixture, uint64_t peers, uint64_t time_us)
{
  for (uint64_t at_us = 0; at_us < time_us; at_us += 4 * TICK_US) {
    for (uint64_t i = 0; i < peers; i++)
      burdock_balancer_set_peer_load (fixture->balancer, 1000 + i, 4 * TICK_US, NULL, 0,
                                      fixture->now_us);
    advance_time (fixture, 4 * TICK_US);
  }
}

typedef struct {
  const char *name;
  double overage;
  double per_s;
  uint32_t left_ms;
  uint32_t retry_min_ms;
  uint32_t retry_max_ms;
  bool placed;
  bool refused;
} PoolCase;

/* Callers wait for 1 s, and are spread over another 400 ms if they are refused. */
static const PoolCase pool_cases[] = {
  { "cold for 3 s, alone", OVERAGE, PER_S, 3000, 2900, 3450, false, true },
  { "cold for 0.5 s, alone", OVERAGE, PER_S, 500, 0, 0, false, false },
  { "warm", OVERAGE, PER_S, 0, 0, 0, true, false },
  { "no bound", 0, PER_S, 3000, 0, 0, true, false },
  { "no limit", OVERAGE, 0, 3000, 0, 0, true, false },
};

/* Guards against requests that wait in vain for a cold pool, against a Retry-After at
 * which the pool is still cold, and against a change for deployments without a bound. */
static void
a_cold_pool_refuses_what_cannot_start_in_time (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (pool_cases); i++) {
    const PoolCase *row = &pool_cases[i];
    BurdockUpstream items[] = { cold_upstream (1, row->left_ms),
                                cold_upstream (2, row->left_ms) };
    Fixture fixture;
    uint64_t handle;

    set_up_cold (&fixture, items, 2, row->overage, row->per_s);
    burdock_balancer_tick (fixture.balancer, fixture.now_us);
    handle = submit (&fixture, 0);
    if ((fixture.placed_at[handle] != 0) != row->placed ||
        fixture.refused[handle] != row->refused)
      CU_FAIL (row->name);
    if (row->refused && (fixture.retry_after_ms < row->retry_min_ms ||
                         fixture.retry_after_ms > row->retry_max_ms))
      CU_FAIL (row->name);
    CU_ASSERT_EQUAL (burdock_balancer_stats (fixture.balancer).cold_refused,
                     row->refused ? 1 : 0);
    advance_time (&fixture, US_PER_S);
    if (!row->refused && fixture.placed_at[handle] == 0)
      CU_FAIL (row->name);
    burdock_balancer_free (fixture.balancer);
  }
}

typedef struct {
  const char *name;
  uint64_t elapsed_ms; /* of an answer that was expected after 100 ms; 0 for none yet */
  uint64_t allowed_ms; /* time of the request that has to wait */
  bool answered;       /* within elapsed_ms */
  bool refused;
} SlowCase;

/* The next permit is 0.37 to 0.62 s away. */
static const SlowCase slow_cases[] = {
  { "no answer yet", 0, 1000, true, false },
  { "as fast as a warm one", 100, 1000, true, false },
  { "six times as long, not in time", 600, 1000, true, true },
  { "six times as long, in time", 600, 2000, true, false },
  { "no answer in six times as long", 600, 1000, false, true },
};

/* Guards against requests that wait for a cold upstream, which then answers too late. */
static void
a_request_waits_only_if_a_slow_answer_is_in_time (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (slow_cases); i++) {
    const SlowCase *row = &slow_cases[i];
    BurdockUpstream items[] = { cold_upstream (1, 20000) };
    BurdockPlacement item = { .handle = 400, .pool = "pool" };
    Fixture fixture;

    set_up_cold (&fixture, items, 1, OVERAGE, PER_S);
    hear_others (&fixture, 8, 5 * US_PER_S);
    for (submit (&fixture, 0); fixture.placed == 0; submit (&fixture, 0))
      advance_time (&fixture, TICK_US);
    burdock_balancer_record_cold_time (fixture.balancer, 1, row->answered,
                                       row->elapsed_ms * US_PER_MS,
                                       row->elapsed_ms > 0 ? 100 * US_PER_MS : 0);
    for (uint64_t handle = 1; handle <= fixture.next_handle; handle++)
      burdock_balancer_withdraw (fixture.balancer, handle);
    item.times = (BurdockRequestTimes){
      .deadline_us = fixture.now_us + row->allowed_ms * US_PER_MS,
      .first_part_deadline_us = fixture.now_us + row->allowed_ms * US_PER_MS,
      .work_us = 100 * US_PER_MS,
      .first_part_us = 100 * US_PER_MS,
    };
    burdock_balancer_submit (fixture.balancer, &item, fixture.now_us);
    CU_ASSERT_EQUAL (fixture.placed_at[400], 0);
    if (fixture.refused[400] != row->refused)
      CU_FAIL (row->name);
    hear_others (&fixture, 8, US_PER_S);
    if (row->refused == (fixture.placed_at[400] != 0))
      CU_FAIL (row->name);
    burdock_balancer_free (fixture.balancer);
  }
}

/* Guards against ejecting a cold upstream for its slow answers, and against keeping one
 * that hangs after it has become warm. */
static void
slow_answers_of_a_cold_upstream_are_no_fault (void)
{
  BurdockUpstream items[] = { cold_upstream (1, 3000) };
  Fixture fixture;

  set_up_cold (&fixture, items, 1, OVERAGE, PER_S);
  advance_time (&fixture, US_PER_S);
  CU_ASSERT_FALSE (burdock_balancer_report_silence (fixture.balancer, 1, 900 * US_PER_MS,
                                                    fixture.now_us));
  advance_time (&fixture, 2900 * US_PER_MS);
  CU_ASSERT_EQUAL (burdock_balancer_stats (fixture.balancer).cold, 0);
  CU_ASSERT_TRUE (burdock_balancer_is_slow (fixture.balancer, 1, fixture.now_us));
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 1);
  burdock_balancer_finish (fixture.balancer, 1, BURDOCK_UPSTREAM_STALLED, fixture.now_us);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 2);
  advance_time (&fixture, US_PER_S);
  CU_ASSERT_FALSE (burdock_balancer_is_slow (fixture.balancer, 1, fixture.now_us));
  CU_ASSERT_TRUE (burdock_balancer_report_silence (fixture.balancer, 1, 900 * US_PER_MS,
                                                   fixture.now_us));
  burdock_balancer_free (fixture.balancer);
}

/* Guards against an upstream that is listed again after an outage of the store and is
 * taken for one that has just started, and the reverse. */
static void
only_a_later_start_counts_as_a_start (void)
{
  BurdockUpstream items[] = { upstream (1, "a", 10), upstream (2, "a", 10),
                              upstream (3, "a", 10) };
  Fixture fixture;

  for (uint32_t i = 0; i < 3; i++)
    items[i].born_ms = 100 + 10 * i;
  set_up_cold (&fixture, items, 2, OVERAGE, PER_S);
  CU_ASSERT_EQUAL (burdock_balancer_stats (fixture.balancer).cold, 0);
  burdock_balancer_set_upstreams (fixture.balancer, &items[1], 1, fixture.now_us);
  burdock_balancer_set_upstreams (fixture.balancer, items, 2, fixture.now_us);
  CU_ASSERT_EQUAL (burdock_balancer_stats (fixture.balancer).cold, 0);
  items[2].read_us = fixture.now_us;
  burdock_balancer_set_upstreams (fixture.balancer, items, 3, fixture.now_us);
  CU_ASSERT_EQUAL (burdock_balancer_stats (fixture.balancer).cold, 1);
  burdock_balancer_free (fixture.balancer);
}

/* Guards against a cold upstream that is filled as soon as it is listed, while others are
 * free, and against one that stays unused after it has become warm. */
static void
the_share_of_an_upstream_rises_as_it_warms_up (void)
{
  BurdockUpstream items[] = { cold_upstream (1, 9000), upstream (2, "a", 10) };
  uint32_t at_cold[2] = { 0 };
  Fixture fixture;

  set_up_cold (&fixture, items, 2, OVERAGE, 1000);
  hear_others (&fixture, 1, 4 * US_PER_S);
  for (uint32_t part = 0; part < 2; part++) {
    for (uint32_t i = 0; i < 40; i++) {
      uint64_t handle = submit (&fixture, 0);

      at_cold[part] += fixture.placed_at[handle] == 1;
      advance_time (&fixture, TICK_US);
      if (i % 4 != 3)
        continue;
      for (uint32_t k = 0; k < 4; k++)
        burdock_balancer_finish (fixture.balancer, fixture.placed_at[handle - k],
                                 BURDOCK_UPSTREAM_OK, fixture.now_us);
    }
    advance_time (&fixture, 4 * US_PER_S);
  }
  CU_ASSERT_TRUE (at_cold[0] < at_cold[1]);
  CU_ASSERT_TRUE (at_cold[1] >= 10);
  burdock_balancer_free (fixture.balancer);
}

#define ZONE_UPSTREAMS 4u
#define ZONE_SLOTS 5u

/* Guards against a failure domain whose upstreams are all cold after an evacuation, state
 * it by their rows without a restart, and get what the others have no place for. */
static void
a_cold_zone_gets_no_more_than_its_permits (void)
{
  BurdockUpstream items[2 * ZONE_UPSTREAMS];
  uint32_t in_cold_time = 0;
  uint32_t max;
  Fixture fixture;

  for (uint32_t i = 0; i < 2 * ZONE_UPSTREAMS; i++) {
    items[i] = upstream (i + 1, i < ZONE_UPSTREAMS ? "a" : "b", ZONE_SLOTS);
    items[i].born_ms = 100;
    items[i].row_version = 1;
  }
  set_up_cold (&fixture, items, 2 * ZONE_UPSTREAMS, OVERAGE, PER_S);
  hear_others (&fixture, 8, 4 * US_PER_S);
  CU_ASSERT_EQUAL (burdock_balancer_stats (fixture.balancer).cold, 0);
  for (uint32_t i = ZONE_UPSTREAMS; i < 2 * ZONE_UPSTREAMS; i++) {
    items[i].has_cold_left = true;
    items[i].cold_left_ms = 3000;
    items[i].row_version = 2;
    items[i].read_us = fixture.now_us;
  }
  burdock_balancer_set_upstreams (fixture.balancer, items, 2 * ZONE_UPSTREAMS,
                                  fixture.now_us);
  CU_ASSERT_EQUAL (burdock_balancer_stats (fixture.balancer).cold, ZONE_UPSTREAMS);
  /* 40 requests a second for 2.8 s, none of which ends: the warm upstreams are full soon.
   */
  for (uint32_t i = 0; i < 14; i++) {
    for (uint32_t k = 0; k < 8; k++)
      submit (&fixture, 0);
    hear_others (&fixture, 8, 4 * TICK_US);
  }
  CU_ASSERT_EQUAL (burdock_balancer_stats (fixture.balancer).cold, ZONE_UPSTREAMS);
  for (uint32_t i = 1; i <= fixture.next_handle; i++)
    in_cold_time += fixture.placed_at[i] > ZONE_UPSTREAMS;
  /* This gateway has a ninth of the rate of each upstream, for 3 s. */
  max = (uint32_t)(ZONE_UPSTREAMS *
                   (burdock_cold_rate_per_s (PER_S, OVERAGE, ALLOWANCE) / 9 * 3.25 + 1));
  CU_ASSERT_TRUE (in_cold_time > 0);
  CU_ASSERT_TRUE (in_cold_time <= max);
  CU_ASSERT_EQUAL (burdock_balancer_stats (fixture.balancer).placed - in_cold_time,
                   (uint64_t)ZONE_UPSTREAMS * ZONE_SLOTS);
  hear_others (&fixture, 8, US_PER_S);
  CU_ASSERT_EQUAL (burdock_balancer_stats (fixture.balancer).cold, 0);
  /* What waits starts when they are warm. */
  CU_ASSERT_EQUAL (burdock_balancer_stats (fixture.balancer).placed,
                   (uint64_t)ZONE_UPSTREAMS * ZONE_SLOTS * 2);
  burdock_balancer_free (fixture.balancer);
}

#define GATEWAYS_MAX 99
#define PLAY_UPSTREAMS 2
#define ARRIVALS_MAX 65536
#define RUNNING_MAX 4096
#define STEP_US (10 * US_PER_MS)
#define PLAY_END_US (60 * US_PER_S)
#define SERVICE_US (300 * US_PER_MS)
#define JITTER_US (100 * US_PER_MS)
/* Time that gateways take to hear of each other, and to settle. */
#define WARM_UP_US (10 * US_PER_S)

typedef enum {
  NETWORK_HEALTHY,
  NETWORK_DELAYED, /* heartbeats come up to 1 s late */
  NETWORK_LOSSY,   /* three of ten heartbeats are lost */
  NETWORK_DOMAINS, /* from 20 s to 40 s, three failure domains are cut off */
  NETWORK_CUT,     /* from 20 s to 40 s, each gateway is cut off from all others */
  NETWORK_NONE,    /* no gateway ever hears of another one */
  NETWORK_RESTART, /* all gateways start again at 20 s */
} Network;

typedef struct {
  const char *name;
  uint32_t gateways;
  Network network;
  double first_share; /* part of the requests at the first gateway, 0 for equal parts */
  double use_min;     /* part of coldPerS that is used, after the gateways have settled */
} PlayCase;

/* With a healthy network, at least 0.4 of coldPerS is to be used: the rate of all is 0.56
 * of it, and permits without a request expire. */
static const PlayCase play_cases[] = {
  { "1 gateway", 1, NETWORK_HEALTHY, 0, 0 },
  { "9 gateways", 9, NETWORK_HEALTHY, 0, 0.4 },
  { "9 gateways, delay", 9, NETWORK_DELAYED, 0, 0.4 },
  { "9 gateways, losses", 9, NETWORK_LOSSY, 0, 0.4 },
  { "9 gateways, domains cut off", 9, NETWORK_DOMAINS, 0, 0 },
  { "9 gateways, all cut off", 9, NETWORK_CUT, 0, 0 },
  { "9 gateways, none heard", 9, NETWORK_NONE, 0, 0 },
  { "9 gateways, restarted", 9, NETWORK_RESTART, 0, 0 },
  { "32 gateways", 32, NETWORK_HEALTHY, 0, 0.4 },
  { "32 gateways, one gets half", 32, NETWORK_HEALTHY, 0.5, 0 },
  { "32 gateways, delay", 32, NETWORK_DELAYED, 0, 0.4 },
  { "32 gateways, losses", 32, NETWORK_LOSSY, 0, 0.4 },
  { "32 gateways, domains cut off", 32, NETWORK_DOMAINS, 0, 0 },
  { "32 gateways, all cut off", 32, NETWORK_CUT, 0, 0 },
  { "32 gateways, none heard", 32, NETWORK_NONE, 0, 0 },
  { "32 gateways, restarted", 32, NETWORK_RESTART, 0, 0 },
  { "99 gateways", 99, NETWORK_HEALTHY, 0, 0.4 },
  { "99 gateways, delay", 99, NETWORK_DELAYED, 0, 0.4 },
  { "99 gateways, losses", 99, NETWORK_LOSSY, 0, 0.4 },
  { "99 gateways, domains cut off", 99, NETWORK_DOMAINS, 0, 0 },
  { "99 gateways, all cut off", 99, NETWORK_CUT, 0, 0 },
  { "99 gateways, none heard", 99, NETWORK_NONE, 0, 0 },
  { "99 gateways, restarted", 99, NETWORK_RESTART, 0, 0 },
};

struct Play;

typedef struct {
  struct Play *play;
  uint32_t index;
  BurdockBalancer *balancer;
  uint64_t next_heartbeat_us;
  uint64_t late_us[GATEWAYS_MAX]; /* when a heartbeat of each other arrives, 0 for none */
} Gateway;

typedef struct {
  uint64_t ends_us;
  uint32_t gateway;
  uint64_t upstream;
} Running;

typedef struct Play {
  const PlayCase *item;
  Gateway gateways[GATEWAYS_MAX];
  Running running[RUNNING_MAX];
  uint32_t running_count;
  uint64_t arrivals[PLAY_UPSTREAMS][ARRIVALS_MAX];
  uint32_t arrival_count[PLAY_UPSTREAMS];
  uint32_t used; /* arrivals after WARM_UP_US */
  uint64_t now_us;
  uint64_t next_handle;
  uint64_t random_state;
} Play;

static double
next_unit (Play *play)
{
  play->random_state = play->random_state * UINT64_C (6364136223846793005) + 1;
  return (double)(play->random_state >> 33) / (double)(UINT64_C (1) << 31);
}

static void
place_at_cold (void *ctx, uint64_t handle, const BurdockUpstream *item)
{
  Gateway *gateway = ctx;
  Play *play = gateway->play;
  uint32_t *count = &play->arrival_count[item->key - 1];

  if (*count == ARRIVALS_MAX || play->running_count == RUNNING_MAX) {
    CU_FAIL_FATAL ("the play is too small");
    return;
  }
  play->arrivals[item->key - 1][(*count)++] =
      play->now_us + (uint64_t)(next_unit (play) * JITTER_US);
  play->used += play->now_us > WARM_UP_US;
  play->running[play->running_count++] =
      (Running){ play->now_us + SERVICE_US, gateway->index, item->key };
}

static void
ignore_refusal (void *ctx, uint64_t handle, BurdockReason reason, uint32_t retry_after_ms)
{
}

/* All upstreams are cold during the whole play. */
static void
start_gateway (Gateway *gateway)
{
  Play *play = gateway->play;
  BurdockBalancerSettings settings = { .seed = (uint64_t)(next_unit (play) * 1e9),
                                       .cold_overage = OVERAGE,
                                       .cold_allowance = ALLOWANCE };
  BurdockBalancerHandler handler = { .ctx = gateway,
                                     .place = place_at_cold,
                                     .refuse = ignore_refusal };
  BurdockColdPool pool = { "pool", limit };
  BurdockUpstream items[PLAY_UPSTREAMS];

  burdock_balancer_free (gateway->balancer);
  gateway->balancer = burdock_balancer_new (&settings, &handler);
  memset (gateway->late_us, 0, sizeof gateway->late_us);
  for (uint32_t i = 0; i < PLAY_UPSTREAMS; i++) {
    items[i] = cold_upstream (i + 1, 2 * PLAY_END_US / US_PER_MS);
    items[i].slots = 1000;
    items[i].read_us = play->now_us;
  }
  burdock_balancer_set_cold_pools (gateway->balancer, &pool, 1);
  burdock_balancer_set_upstreams (gateway->balancer, items, PLAY_UPSTREAMS, play->now_us);
}

static bool
is_cut (const Play *play, uint32_t from, uint32_t to)
{
  bool during = play->now_us >= 20 * US_PER_S && play->now_us < 40 * US_PER_S;

  switch (play->item->network) {
  case NETWORK_DOMAINS:
    return during && from % 3 != to % 3;
  case NETWORK_CUT:
    return during;
  case NETWORK_NONE:
    return true;
  default:
    return false;
  }
}

static uint64_t
heartbeat_us (const Play *play)
{
  uint64_t interval_us = play->item->gateways * US_PER_S / 160;

  return interval_us > 100 * US_PER_MS ? interval_us : 100 * US_PER_MS;
}

static void
send_heartbeat (Play *play, Gateway *from)
{
  Network network = play->item->network;

  from->next_heartbeat_us = play->now_us + heartbeat_us (play);
  for (uint32_t i = 0; i < play->item->gateways; i++) {
    double delay = network == NETWORK_DELAYED ? next_unit (play) : 0;

    if (i == from->index || is_cut (play, from->index, i) ||
        (network == NETWORK_LOSSY && next_unit (play) < 0.3))
      continue;
    play->gateways[i].late_us[from->index] = play->now_us + (uint64_t)(delay * US_PER_S);
  }
}

static void
receive_heartbeats (Play *play, Gateway *to)
{
  for (uint32_t i = 0; i < play->item->gateways; i++) {
    if (to->late_us[i] == 0 || to->late_us[i] > play->now_us)
      continue;
    to->late_us[i] = 0;
    burdock_balancer_set_peer_load (to->balancer, 1 + i, heartbeat_us (play), NULL, 0,
                                    play->now_us);
  }
}

/* Requests of three times the rate of all upstreams. Callers leave after 2 s without an
 * event; half of it is left for the answer of a cold upstream. */
static void
submit_requests (Play *play, Gateway *gateway)
{
  double all = 3 * PER_S * PLAY_UPSTREAMS * STEP_US / US_PER_S;
  double share = 1.0 / play->item->gateways;
  uint32_t count;

  if (play->item->first_share > 0)
    share = gateway->index == 0
                ? play->item->first_share
                : (1 - play->item->first_share) / (play->item->gateways - 1);
  /* Each call submits the mean number, rounded up or down at random. */
  count = (uint32_t)(all * share + next_unit (play));
  for (uint32_t i = 0; i < count; i++) {
    BurdockPlacement item = { .handle = ++play->next_handle,
                              .pool = "pool",
                              .times = { .deadline_us = play->now_us + 8 * US_PER_S,
                                         .first_part_deadline_us =
                                             play->now_us + US_PER_S } };

    burdock_balancer_submit (gateway->balancer, &item, play->now_us);
  }
}

/* The end of a request may start another one. */
static void
finish_requests (Play *play)
{
  Running ended[RUNNING_MAX];
  uint32_t count = 0;
  uint32_t kept = 0;

  for (uint32_t i = 0; i < play->running_count; i++) {
    if (play->running[i].ends_us <= play->now_us)
      ended[count++] = play->running[i];
    else
      play->running[kept++] = play->running[i];
  }
  play->running_count = kept;
  for (uint32_t i = 0; i < count; i++)
    burdock_balancer_finish (play->gateways[ended[i].gateway].balancer, ended[i].upstream,
                             BURDOCK_UPSTREAM_OK, play->now_us);
}

static int
compare_times (const void *a, const void *b)
{
  uint64_t a_us = *(const uint64_t *)a;
  uint64_t b_us = *(const uint64_t *)b;

  return (a_us > b_us) - (a_us < b_us);
}

/* Most arrivals at one upstream in any second. */
static uint32_t
most_in_a_second (Play *play)
{
  uint32_t most = 0;

  for (uint32_t i = 0; i < PLAY_UPSTREAMS; i++) {
    uint64_t *times = play->arrivals[i];
    uint32_t first = 0;

    qsort (times, play->arrival_count[i], sizeof *times, compare_times);
    for (uint32_t last = 0; last < play->arrival_count[i]; last++) {
      while (times[last] - times[first] >= US_PER_S)
        first++;
      if (last - first + 1 > most)
        most = last - first + 1;
    }
  }
  return most;
}

static void
run_play (Play *play)
{
  uint32_t gateways = play->item->gateways;

  for (uint32_t i = 0; i < gateways; i++) {
    play->gateways[i] = (Gateway){ .play = play, .index = i };
    play->gateways[i].next_heartbeat_us =
        play->now_us + (uint64_t)(next_unit (play) * (double)heartbeat_us (play));
    start_gateway (&play->gateways[i]);
  }
  for (; play->now_us < PLAY_END_US; play->now_us += STEP_US) {
    bool restart =
        play->item->network == NETWORK_RESTART && play->now_us == 20 * US_PER_S;

    finish_requests (play);
    if (restart)
      play->running_count = 0;
    for (uint32_t i = 0; i < gateways; i++) {
      Gateway *gateway = &play->gateways[i];

      if (restart)
        start_gateway (gateway);
      if (play->now_us >= gateway->next_heartbeat_us)
        send_heartbeat (play, gateway);
      receive_heartbeats (play, gateway);
      if ((play->now_us / STEP_US + i) % (TICK_US / STEP_US) == 0)
        burdock_balancer_tick (gateway->balancer, play->now_us);
      submit_requests (play, gateway);
    }
  }
  for (uint32_t i = 0; i < gateways; i++)
    burdock_balancer_free (play->gateways[i].balancer);
}

/* Guards against cold upstreams that get more than the bound in any second from all
 * gateways together, whatever these hear of each other, and against permits that are too
 * few to be of use. */
static void
all_gateways_together_keep_the_bound (void)
{
  const uint32_t bound = (uint32_t)(PER_S * OVERAGE + ALLOWANCE);
  Play *play = malloc (sizeof *play);

  for (uint32_t i = 0; i < TEST_COUNT (play_cases); i++) {
    const PlayCase *item = &play_cases[i];
    uint32_t most;
    double use;

    memset (play, 0, sizeof *play);
    play->item = item;
    play->now_us = US_PER_S;
    play->random_state = 7 + i;
    run_play (play);
    most = most_in_a_second (play);
    use = play->used /
          (PER_S * PLAY_UPSTREAMS * (double)(PLAY_END_US - WARM_UP_US) / US_PER_S);
    printf ("%s: at most %u in a second, %.2f of coldPerS used\n", item->name, most, use);
    if (most > bound || use < item->use_min)
      CU_FAIL (item->name);
  }
  free (play);
}

static const Test tests[] = {
  { "an upstream is taken for cold or warm at the wrong time",
    statements_tell_until_when_an_upstream_is_cold },
  { "the rate of all gateways reaches the bound", the_rate_is_below_the_bound },
  { "a gateway takes the part of others that it does not hear",
    a_gateway_takes_no_part_of_those_it_does_not_hear },
  { "permits are saved up or lost", permits_expire_and_are_handed_back },
  { "an upstream that says that it is warm is taken for slow",
    an_upstream_that_is_warm_is_not_slow },
  { "requests wait in vain for a cold pool",
    a_cold_pool_refuses_what_cannot_start_in_time },
  { "requests wait for an answer that is too late",
    a_request_waits_only_if_a_slow_answer_is_in_time },
  { "a cold upstream is ejected for slow answers",
    slow_answers_of_a_cold_upstream_are_no_fault },
  { "an old upstream is taken for one that has just started",
    only_a_later_start_counts_as_a_start },
  { "a cold upstream gets as much as a warm one",
    the_share_of_an_upstream_rises_as_it_warms_up },
  { "a cold failure domain gets what the others have no place for",
    a_cold_zone_gets_no_more_than_its_permits },
  { "cold upstreams get more than the bound in a second",
    all_gateways_together_keep_the_bound },
};

int
main (void)
{
  int status;

  apr_initialize ();
  status = test_main ("cold-start", tests, TEST_COUNT (tests));
  apr_terminate ();
  return status;
}
