/* What the balancer does with upstreams whose failure domain is evacuated. */
#include "balancer-fixture.h"

#define DOMAINS_MAX 3
#define UPSTREAMS 4
#define SLOTS 10

static void
evacuate (Fixture *fixture, const char *const domains[DOMAINS_MAX])
{
  BurdockEvacuationItem items[DOMAINS_MAX + 1] = { 0 };
  uint32_t count = 0;

  for (uint32_t i = 0; i < DOMAINS_MAX && domains[i] != NULL; i++) {
    snprintf (items[count].failure_domain, BURDOCK_NAME_BYTES, "%s", domains[i]);
    items[count++].evacuated = true;
  }
  /* One that is known and no longer evacuated. */
  snprintf (items[count++].failure_domain, BURDOCK_NAME_BYTES, "x");
  burdock_balancer_set_evacuated (fixture->balancer, items, count, fixture->now_us);
}

/* Two upstreams in each of the failure domains x and y: 1 and 2, 3 and 4. */
static void
list_upstreams (BurdockUpstream items[UPSTREAMS])
{
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    items[i] = upstream (i + 1, i < UPSTREAMS / 2 ? "x" : "y", SLOTS);
}

static void
report_group (Fixture *fixture)
{
  for (uint32_t i = 0; i < UPSTREAMS; i++) {
    BurdockRankStateMessage state = {
      .group = "g", .upstream = { i + 1, 80 }, .epoch = 1, .rank = i, .open = true
    };

    burdock_balancer_set_rank_state (fixture->balancer, &state, fixture->now_us);
  }
}

static void
set_up_upstreams (Fixture *fixture, bool group)
{
  BurdockUpstream items[UPSTREAMS];

  list_upstreams (items);
  set_up (fixture, items, UPSTREAMS);
  if (group)
    report_group (fixture);
}

static uint32_t
count_placed (const Fixture *fixture, uint64_t first_key, uint64_t last_key)
{
  uint32_t count = 0;

  for (uint64_t handle = 1; handle <= fixture->next_handle; handle++)
    count +=
        fixture->placed_at[handle] >= first_key && fixture->placed_at[handle] <= last_key;
  return count;
}

typedef struct {
  const char *name;
  const char *evacuated[DOMAINS_MAX];
  uint32_t in_x; /* of 60 requests: placed in each domain, refused at once */
  uint32_t in_y;
  uint32_t refused;
} PlacementCase;

/* Each upstream takes ten requests; the rest waits. */
static const PlacementCase placement_cases[] = {
  { "none", { NULL }, 20, 20, 0 },
  { "one", { "y" }, 20, 0, 0 },
  { "one without upstreams", { "z" }, 20, 20, 0 },
  { "both", { "x", "y" }, 0, 0, 60 },
};

/* Guards against requests to upstreams of an evacuated failure domain, and against
 * requests that wait although no upstream takes any. */
static void
evacuated_upstreams_get_nothing (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (placement_cases); i++) {
    const PlacementCase *row = &placement_cases[i];
    Fixture fixture;

    set_up_upstreams (&fixture, false);
    evacuate (&fixture, row->evacuated);
    for (uint32_t k = 0; k < 60; k++)
      submit (&fixture, 0);
    if (count_placed (&fixture, 1, 2) != row->in_x ||
        count_placed (&fixture, 3, 4) != row->in_y || fixture.refusals != row->refused ||
        (row->refused > 0 &&
         (fixture.retry_after_ms == 0 || fixture.reason != BURDOCK_REASON_NO_UPSTREAM)))
      CU_FAIL (row->name);
    burdock_balancer_free (fixture.balancer);
  }
}

/* Guards against waiting requests that take the places of an evacuated failure domain as
 * those become free, and against ones that are not refused when nothing can take them. */
static void
waiting_requests_go_elsewhere (void)
{
  static const char *const one[DOMAINS_MAX] = { "x" };
  static const char *const both[DOMAINS_MAX] = { "x", "y" };
  Fixture fixture;

  set_up_upstreams (&fixture, false);
  for (uint32_t i = 0; i < UPSTREAMS * SLOTS + 6; i++)
    submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, UPSTREAMS * SLOTS);
  evacuate (&fixture, one);
  for (uint64_t key = 1; key <= UPSTREAMS; key++)
    burdock_balancer_finish (fixture.balancer, key, BURDOCK_UPSTREAM_OK, fixture.now_us);
  CU_ASSERT_EQUAL (count_placed (&fixture, 1, 2), 2 * SLOTS);
  CU_ASSERT_EQUAL (count_placed (&fixture, 3, 4), 2 * SLOTS + 2);
  CU_ASSERT_EQUAL (fixture.refusals, 0);
  evacuate (&fixture, both);
  CU_ASSERT_EQUAL (fixture.refusals, 4);
  CU_ASSERT_TRUE (fixture.retry_after_ms > 0);
  burdock_balancer_free (fixture.balancer);
}

/* Guards against an upstream that is listed, or moves into a failure domain, while that
 * is evacuated, and against one that is left out for good. */
static void
later_lists_are_followed (void)
{
  static const char *const one[DOMAINS_MAX] = { "y" };
  static const char *const none[DOMAINS_MAX] = { NULL };
  BurdockUpstream items[] = { upstream (1, "y", 2), upstream (2, "x", 2),
                              upstream (3, "y", 2) };
  Fixture fixture;

  set_up (&fixture, NULL, 0);
  evacuate (&fixture, one);
  burdock_balancer_set_upstreams (fixture.balancer, items, 1, fixture.now_us);
  submit (&fixture, 0);
  CU_ASSERT_EQUAL (fixture.placed, 0);
  burdock_balancer_set_upstreams (fixture.balancer, items, 3, fixture.now_us);
  CU_ASSERT_EQUAL (burdock_balancer_domain_count (fixture.balancer, "y"), 2);
  CU_ASSERT_EQUAL (fixture.placed_at[submit (&fixture, 0)], 2);
  snprintf (items[1].failure_domain, BURDOCK_NAME_BYTES, "y");
  burdock_balancer_set_upstreams (fixture.balancer, items, 3, fixture.now_us);
  CU_ASSERT_EQUAL (fixture.placed_at[submit (&fixture, 0)], 0);
  evacuate (&fixture, none);
  CU_ASSERT_TRUE (fixture.placed_at[submit (&fixture, 0)] != 0);
  burdock_balancer_free (fixture.balancer);
}

/* A group of four ranks runs at most 0.7 of its slots at first. Guards against a limit
 * that still counts the slots of evacuated ranks, and against requests that run out there
 * and keep new ones from the others. */
static void
a_group_is_limited_by_the_other_ranks (void)
{
  static const char *const one[DOMAINS_MAX] = { "x" };
  static const char *const none[DOMAINS_MAX] = { NULL };
  BurdockLoadItem peer_load = { .upstream_id = 1, .outstanding = 4 };
  Fixture fixture;

  set_up_upstreams (&fixture, true);
  for (uint32_t i = 0; i < 16; i++)
    submit (&fixture, 0);
  burdock_balancer_set_peer_load (fixture.balancer, 9, HEARTBEAT_US, &peer_load, 1,
                                  fixture.now_us);
  CU_ASSERT_EQUAL (fixture.placed, 16);
  evacuate (&fixture, one);
  for (uint32_t i = 0; i < 20; i++)
    submit (&fixture, 0);
  CU_ASSERT_EQUAL (count_placed (&fixture, 3, 4), 14);
  /* Neither the heartbeat of another gateway nor the end of what runs there changes it.
   */
  burdock_balancer_set_peer_load (fixture.balancer, 9, HEARTBEAT_US, NULL, 0,
                                  fixture.now_us);
  while (burdock_balancer_own_load (fixture.balancer, &peer_load, 1) > 0 &&
         peer_load.upstream_id <= 2)
    burdock_balancer_finish (fixture.balancer, peer_load.upstream_id, BURDOCK_UPSTREAM_OK,
                             fixture.now_us);
  CU_ASSERT_EQUAL (count_placed (&fixture, 3, 4), 14);
  CU_ASSERT_EQUAL (burdock_balancer_stats (fixture.balancer).outstanding_own, 14);
  /* The slots count again, those of all ranks together; what waits is placed by credit.
   */
  evacuate (&fixture, none);
  for (uint32_t i = 0; i < 40; i++)
    submit (&fixture, 0);
  advance_time (&fixture, 900 * US_PER_MS);
  CU_ASSERT_EQUAL (burdock_balancer_stats (fixture.balancer).outstanding_own, 28);
  burdock_balancer_free (fixture.balancer);
}

/* 20 of 40 requests end every 200 ms. Returns how many of 200 more requests may wait
 * after a change: the evacuation of @domain, if there is one, and the end of what runs in
 * x. */
static uint32_t
count_waiting (const char *domain, bool ended)
{
  const char *const domains[DOMAINS_MAX] = { domain };
  uint32_t waiting = 0;
  Fixture fixture;

  set_up_upstreams (&fixture, false);
  for (uint32_t i = 0; i < UPSTREAMS * SLOTS; i++)
    submit (&fixture, 0);
  for (uint32_t round = 0; round < 10; round++) {
    advance_time (&fixture, 200 * US_PER_MS);
    for (uint64_t key = 1; key <= UPSTREAMS; key++) {
      for (uint32_t k = 0; k < SLOTS / 2; k++)
        burdock_balancer_finish (fixture.balancer, key, BURDOCK_UPSTREAM_OK,
                                 fixture.now_us);
    }
    for (uint32_t k = 0; k < UPSTREAMS * SLOTS / 2; k++)
      submit (&fixture, 0);
  }
  if (domain != NULL)
    evacuate (&fixture, domains);
  for (uint32_t k = 0; ended && k < 2 * SLOTS; k++)
    burdock_balancer_finish (fixture.balancer, k % 2 + 1, BURDOCK_UPSTREAM_OK,
                             fixture.now_us);
  for (uint32_t i = 0; i < 200; i++)
    waiting += !fixture.refused[submit (&fixture, 0)];
  burdock_balancer_free (fixture.balancer);
  return waiting;
}

/* Guards against an estimate that counts places that take nothing: callers would wait and
 * be refused late. */
static void
places_that_take_nothing_are_not_expected (void)
{
  uint32_t all = count_waiting (NULL, false);
  uint32_t half = count_waiting ("x", false);

  /* Of 100 requests a second, about half may wait for the places of one failure domain.
   */
  CU_ASSERT_TRUE (all > 60);
  CU_ASSERT_TRUE (half > 0 && half < all * 0.6);
  CU_ASSERT_EQUAL (count_waiting ("x", true), half);
}

static const Test tests[] = {
  { "an upstream of an evacuated failure domain gets a request",
    evacuated_upstreams_get_nothing },
  { "a waiting request takes a place in an evacuated failure domain",
    waiting_requests_go_elsewhere },
  { "a list of upstreams ends an evacuation", later_lists_are_followed },
  { "a group is limited by ranks that take nothing",
    a_group_is_limited_by_the_other_ranks },
  { "requests wait for places that take nothing",
    places_that_take_nothing_are_not_expected },
};

int
main (void)
{
  int status;

  apr_initialize ();
  status = test_main ("balancer-evacuation", tests, TEST_COUNT (tests));
  apr_terminate ();
  return status;
}
