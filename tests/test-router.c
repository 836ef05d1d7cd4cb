#include "hash.h"
#include "prefix-cache.h"
#include "router.h"
#include "subset.h"
#include "test.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PICKS 400
#define CAPACITY 8

static const uint64_t prefixes[] = { 11, 12, 13, 14 };

/* Upstreams 1 and 2 of one pool; each case modifies upstream 1. */
static BurdockSnapshot *
make_snapshot (void)
{
  BurdockSnapshot *snapshot = burdock_snapshot_new (NULL);

  snapshot->upstreams = calloc (2, sizeof *snapshot->upstreams);
  snapshot->upstream_count = 2;
  for (uint32_t i = 0; i < 2; i++)
    snapshot->upstreams[i] = (BurdockUpstream){ .id = i + 1,
                                                .incarnation = 1,
                                                .pool = "p",
                                                .capacity = CAPACITY,
                                                .usable = true,
                                                .weight = 1 };
  return snapshot;
}

typedef struct {
  const char *name;
  double weight;
  uint64_t gap;            /* cache events lost after the prefix was cached */
  BurdockLoadMessage load; /* of upstream 1 */
  uint32_t started;        /* attempts sent to upstream 1 since its report */
  uint32_t picks_min;      /* picks of upstream 1 out of PICKS */
  uint32_t picks_max;
  BurdockPriority priority;
  bool unusable;
  bool other_domain;
  bool ejected;
  bool cached;
  bool tried;
} Case;

#define NORMAL BURDOCK_PRIORITY_NORMAL
#define LOAD(running_, ...)                                                              \
  {                                                                                      \
    .running = (running_), .capacity = CAPACITY, __VA_ARGS__                             \
  }

static const Case cases[] = {
  { .name = "equal",
    .weight = 1,
    .priority = NORMAL,
    .picks_min = 100,
    .picks_max = 300 },
  { .name = "not usable", .unusable = true, .weight = 1, .priority = NORMAL },
  { .name = "leaving", .weight = 1, .priority = NORMAL, .load = LOAD (0, .leaving = 1) },
  { .name = "full", .weight = 1, .priority = NORMAL, .load = LOAD (CAPACITY) },
  { .name = "full by own attempts since the report",
    .weight = 1,
    .priority = NORMAL,
    .load = LOAD (2),
    .started = 6 },
  { .name = "busy", .weight = 1, .priority = NORMAL, .load = LOAD (4), .picks_max = 150 },
  { .name = "warming up", .weight = 0.1, .priority = NORMAL, .picks_max = 150 },
  { .name = "other failure domain",
    .other_domain = true,
    .weight = 1,
    .priority = NORMAL,
    .picks_max = 150 },
  { .name = "straggler",
    .weight = 1,
    .priority = NORMAL,
    .load = LOAD (0, .step_time_us = 400000),
    .picks_max = 150 },
  { .name = "ejected", .weight = 1, .priority = NORMAL, .ejected = true },
  { .name = "tried before",
    .weight = 1,
    .priority = NORMAL,
    .tried = true,
    .picks_max = 150 },
  { .name = "prefix cached",
    .weight = 1,
    .priority = NORMAL,
    .load = LOAD (2),
    .cached = true,
    .picks_min = PICKS,
    .picks_max = PICKS },
  { .name = "prefix cached long before a gap",
    .weight = 1,
    .priority = NORMAL,
    .load = LOAD (2),
    .cached = true,
    .gap = 100000,
    .picks_max = 150 },
  { .name = "low priority leaves capacity free",
    .weight = 1,
    .priority = BURDOCK_PRIORITY_LOW,
    .load = LOAD (CAPACITY - 1) },
};

static uint32_t
count_picks (const Case *test)
{
  BurdockRouter *router = burdock_router_new (7);
  BurdockSnapshot *snapshot = make_snapshot ();
  BurdockRouteQuery query = { .pool = "p",
                              .priority = test->priority,
                              .prefix_count = 4,
                              .prefixes = prefixes,
                              .tried_count = test->tried,
                              .tried = (const uint64_t[]){ 1 } };
  BurdockLoadMessage load = test->load;
  uint32_t count = 0;

  snapshot->upstreams[0].usable = !test->unusable;
  snapshot->upstreams[0].weight = test->weight;
  if (test->other_domain)
    snprintf (snapshot->upstreams[0].failure_domain, BURDOCK_NAME_BYTES, "far");
  burdock_router_set_snapshot (router, snapshot, 0);
  load.capacity = CAPACITY;
  burdock_router_set_load (router, 1, &load, 1);
  burdock_router_set_load (
      router, 2, &(BurdockLoadMessage){ .capacity = CAPACITY, .step_time_us = 50000 }, 1);
  for (uint32_t i = 0; i < test->started; i++)
    burdock_router_attempt_started (router, 1, &(BurdockRouteQuery){ 0 }, 1);
  if (test->ejected)
    burdock_router_eject (router, 1, 100);
  for (uint32_t i = 0; i < 4 && test->cached; i++)
    burdock_router_cache_event (router, 1, i + 1, true, prefixes[i], 1);
  if (test->gap > 0)
    burdock_router_cache_event (router, 1, 5 + test->gap, true, 99, 1);
  for (uint32_t i = 0; i < PICKS; i++) {
    BurdockUpstreamRef upstream = { 0 };

    CU_ASSERT_EQUAL (burdock_router_pick (router, &query, 2, burdock_hash_mix (i),
                                          &upstream),
                     0);
    count += upstream.id == 1;
  }
  burdock_router_free (router);
  burdock_snapshot_unref (snapshot);
  return count;
}

/* Guards against a selection that ignores a part of the state of an upstream, such as its
 * load, weight, failure domain or cached prefixes. */
static void
selection_follows_upstream_state (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (cases); i++) {
    uint32_t count = count_picks (&cases[i]);

    if (count < cases[i].picks_min || count > cases[i].picks_max) {
      printf ("\n%s: %u of %u picks", cases[i].name, count, PICKS);
      CU_FAIL ("picks");
    }
  }
}

/* Guards against confusing a pool whose upstreams are all full, where waiting helps, with
 * a pool that has no upstream. */
static void
full_and_empty_pools_differ (void)
{
  BurdockRouter *router = burdock_router_new (7);
  BurdockSnapshot *snapshot = make_snapshot ();
  BurdockRouteQuery query = { .pool = "p", .priority = NORMAL };
  BurdockUpstreamRef upstream;

  burdock_router_set_snapshot (router, snapshot, 0);
  for (uint64_t id = 1; id <= 2; id++)
    burdock_router_set_load (router, id,
                             &(BurdockLoadMessage){ .running = CAPACITY,
                                                    .capacity = CAPACITY },
                             1);
  CU_ASSERT_EQUAL (burdock_router_pick (router, &query, 2, 1, &upstream), -EAGAIN);
  query.pool = "other";
  CU_ASSERT_EQUAL (burdock_router_pick (router, &query, 2, 1, &upstream), -ENOENT);
  burdock_router_free (router);
  burdock_snapshot_unref (snapshot);
}

/* Guards against entries that compute different subsets because their lists of entries
 * have another order, and against subsets that load the upstreams unevenly. */
static void
subsets_agree_and_are_even (void)
{
  enum { ENTRIES = 40, UPSTREAMS = 60 };
  uint64_t entries[ENTRIES];
  uint64_t upstreams[UPSTREAMS];
  uint64_t reversed[ENTRIES];
  uint32_t uses[UPSTREAMS] = { 0 };
  bool chosen[UPSTREAMS];
  bool again[UPSTREAMS];
  double mean = (double)ENTRIES * BURDOCK_SUBSET_SIZE / UPSTREAMS;

  for (uint32_t i = 0; i < ENTRIES; i++)
    reversed[ENTRIES - 1 - i] = entries[i] = burdock_hash_mix (i + 1);
  for (uint32_t i = 0; i < UPSTREAMS; i++)
    upstreams[i] = burdock_hash_mix (i + 1000);
  for (uint32_t i = 0; i < ENTRIES; i++) {
    uint32_t count = 0;

    burdock_subset_select (entries[i], entries, ENTRIES, upstreams, UPSTREAMS,
                           BURDOCK_SUBSET_SIZE, chosen);
    burdock_subset_select (entries[i], reversed, ENTRIES, upstreams, UPSTREAMS,
                           BURDOCK_SUBSET_SIZE, again);
    CU_ASSERT_EQUAL (memcmp (chosen, again, sizeof chosen), 0);
    for (uint32_t j = 0; j < UPSTREAMS; j++) {
      count += chosen[j];
      uses[j] += chosen[j];
    }
    CU_ASSERT_EQUAL (count, BURDOCK_SUBSET_SIZE);
  }
  for (uint32_t j = 0; j < UPSTREAMS; j++) {
    CU_ASSERT_TRUE (uses[j] <= mean * 1.25);
    CU_ASSERT_TRUE (uses[j] >= mean * 0.5);
  }
}

static const Test tests[] = {
  { "attempts go to an unsuitable upstream", selection_follows_upstream_state },
  { "a full pool is reported as empty", full_and_empty_pools_differ },
  { "subsets differ between entries or are uneven", subsets_agree_and_are_even },
};

int
main (void)
{
  return test_main ("router", tests, TEST_COUNT (tests));
}
