#include "copy-plan.h"
#include "test.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define LAYERS 6
#define RANKS 8
#define EXPERTS 64

/* Work of a step, and ranks that the planner considers as receivers of a copy. */
#define STEP_WORK 500
#define RECEIVERS 32

static const BurdockReplicaLimits limits = { .slots = 11,
                                             .loads_per_layer = 4,
                                             .loads_per_rank = 4 };

/* Skewed popularity, as on the users' engines: a few experts get most of the tokens. */
static void
make_rates (double *rates, uint32_t layers, uint32_t experts, uint32_t seed, double skew)
{
  srand (seed);
  for (uint32_t i = 0; i < layers * experts; i++)
    rates[i] = pow ((double)(rand () % 1000 + 1) / 1000, skew) * 1000;
}

static uint32_t
count_hosted (const BurdockReplicaMap *map, uint32_t layer, uint32_t rank)
{
  uint32_t hosted = 0;

  for (uint32_t e = 0; e < map->experts; e++)
    hosted += burdock_bit_set_has (&map->hosts[layer * map->experts + e], rank) ? 1 : 0;
  return hosted;
}

static uint32_t
loads_of_rank (const BurdockReplicaMap *before, const BurdockReplicaMap *after,
               uint32_t layer, uint32_t rank)
{
  uint32_t loads = 0;

  for (uint32_t e = 0; e < before->experts; e++) {
    uint32_t at = layer * before->experts + e;

    if (burdock_bit_set_has (&after->hosts[at], rank) &&
        !burdock_bit_set_has (&before->hosts[at], rank))
      loads++;
  }
  return loads;
}

static void
check_limits (const BurdockReplicaMap *before, const BurdockReplicaMap *after,
              const BurdockReplicaLimits *allowed)
{
  for (uint32_t rank = 0; rank < after->ranks; rank++) {
    uint32_t total = 0;

    for (uint32_t layer = 0; layer < after->layers; layer++) {
      uint32_t loads = loads_of_rank (before, after, layer, rank);

      CU_ASSERT_TRUE (count_hosted (after, layer, rank) <= allowed->slots);
      CU_ASSERT_TRUE (loads <= allowed->loads_per_layer);
      total += loads;
    }
    CU_ASSERT_TRUE (total <= allowed->loads_per_rank);
  }
  for (uint32_t i = 0; i < after->layers * after->experts; i++)
    CU_ASSERT_TRUE (burdock_bit_set_count (&after->hosts[i]) > 0);
}

/* Guards against plans that exceed a limit of the engine or drop the last copy of an
 * expert, over a sequence of plans while demand shifts. */
static void
plans_respect_the_limits (void)
{
  double rates[LAYERS * EXPERTS];
  BurdockReplicaMap map;
  BurdockReplicaMap before;

  burdock_replica_map_init (&map, LAYERS, RANKS, EXPERTS);
  burdock_replica_map_init (&before, LAYERS, RANKS, EXPERTS);
  burdock_replica_map_spread (&map);
  for (uint32_t seed = 0; seed < 40; seed++) {
    make_rates (rates, LAYERS, EXPERTS, seed / 4, 6);
    burdock_replica_map_assign (&before, &map);
    burdock_replica_plan (&map, rates, &limits);
    check_limits (&before, &map, &limits);
  }
  burdock_replica_map_clear (&map);
  burdock_replica_map_clear (&before);
}

typedef struct {
  const char *name;
  uint32_t layers;
  uint32_t ranks;
  uint32_t experts;
  uint32_t plans;
  BurdockReplicaLimits limits;
  double skew;
} BalanceCase;

/* In the group of 96, with three slots for two experts, the loads of single copies do not
 * fit together with the higher skew: an expert then has up to 3.5 times the even load. */
static const BalanceCase balance_cases[] = {
  { "8 ranks",
    LAYERS,
    RANKS,
    EXPERTS,
    16,
    { .slots = 11, .loads_per_layer = 4, .loads_per_rank = 4 },
    6 },
  { "32 ranks",
    12,
    32,
    128,
    24,
    { .slots = 5, .loads_per_layer = 2, .loads_per_rank = 2 },
    6 },
  { "96 ranks",
    16,
    96,
    192,
    24,
    { .slots = 3, .loads_per_layer = 2, .loads_per_rank = 8 },
    3 },
  { "256 ranks",
    4,
    256,
    256,
    24,
    { .slots = 4, .loads_per_layer = 2, .loads_per_rank = 4 },
    6 },
};

/* Guards against maps that leave one rank with far more than its share: a sequence of
 * plans brings the peak load to at most 1.25 times the even load. */
static void
plans_balance_the_loads (void)
{
  for (uint32_t i = 0; i < sizeof balance_cases / sizeof balance_cases[0]; i++) {
    const BalanceCase *test = &balance_cases[i];
    double *rates = calloc ((size_t)test->layers * test->experts, sizeof *rates);
    BurdockReplicaMap map;
    double before;

    make_rates (rates, test->layers, test->experts, 1, test->skew);
    burdock_replica_map_init (&map, test->layers, test->ranks, test->experts);
    burdock_replica_map_spread (&map);
    before = burdock_replica_map_peak (&map, rates);
    for (uint32_t plan = 0; plan < test->plans; plan++)
      burdock_replica_plan (&map, rates, &test->limits);
    if (before < 1.5 || burdock_replica_map_peak (&map, rates) > 1.25)
      CU_FAIL (test->name);
    burdock_replica_map_clear (&map);
    free (rates);
  }
}

/* Guards against a plan in steps that differs from one without a pause, changes the map
 * in use, or does much more in a step than it may. */
static void
steps_do_not_change_the_plan (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (balance_cases); i++) {
    const BalanceCase *test = &balance_cases[i];
    uint64_t step_max = STEP_WORK + (2 + 3 * (uint64_t)test->limits.slots) * RECEIVERS;
    double *rates = calloc ((size_t)test->layers * test->experts, sizeof *rates);
    BurdockReplicaPlanResult result;
    BurdockReplicaPlan *plan;
    BurdockReplicaMap base;
    BurdockReplicaMap initial;
    BurdockReplicaMap whole;
    BurdockReplicaMap stepped;
    uint64_t tried = 0;
    uint32_t steps = 0;
    bool complete = false;

    make_rates (rates, test->layers, test->experts, 1, test->skew);
    burdock_replica_map_init (&base, test->layers, test->ranks, test->experts);
    burdock_replica_map_spread (&base);
    burdock_replica_map_copy (&initial, &base);
    burdock_replica_map_copy (&whole, &base);
    result = burdock_replica_plan (&whole, rates, &test->limits);
    plan = burdock_replica_plan_begin (&base, rates, &test->limits);
    for (; !complete; steps++) {
      complete = burdock_replica_plan_step (plan, STEP_WORK);
      CU_ASSERT_TRUE (burdock_replica_plan_result (plan).changes_tried - tried <=
                      step_max);
      tried = burdock_replica_plan_result (plan).changes_tried;
    }
    CU_ASSERT_TRUE (steps > 10);
    CU_ASSERT_EQUAL (tried, result.changes_tried);
    CU_ASSERT_EQUAL (burdock_replica_plan_result (plan).loads, result.loads);
    burdock_replica_plan_finish (plan, &stepped);
    CU_ASSERT_TRUE (burdock_replica_map_equal (&stepped, &whole));
    CU_ASSERT_TRUE (burdock_replica_map_equal (&base, &initial));
    burdock_replica_map_clear (&base);
    burdock_replica_map_clear (&initial);
    burdock_replica_map_clear (&whole);
    burdock_replica_map_clear (&stepped);
    free (rates);
  }
}

/* Guards against larger loads than a balanced map may cause, and against a limit for
 * balanced maps that applies to all. */
static void
balanced_maps_load_less (void)
{
  BurdockReplicaLimits limited = limits;
  double rates[LAYERS * EXPERTS];
  BurdockReplicaMap map;

  make_rates (rates, LAYERS, EXPERTS, 1, 6);
  burdock_replica_map_init (&map, LAYERS, RANKS, EXPERTS);
  for (uint32_t i = 0; i < 2; i++) {
    uint32_t most = i == 0 ? limits.loads_per_rank : 1;

    burdock_replica_map_spread (&map);
    limited.balanced_peak =
        burdock_replica_map_peak (&map, rates) + (i == 0 ? -0.01 : 0.01);
    limited.balanced_loads_per_rank = 1;
    CU_ASSERT_EQUAL (burdock_replica_plan (&map, rates, &limited).max_rank_loads, most);
    burdock_replica_map_clear (&map);
    burdock_replica_map_init (&map, LAYERS, RANKS, EXPERTS);
  }
  burdock_replica_map_clear (&map);
}

/* Guards against experts that are loaded again and again: a balanced map stays unchanged.
 */
static void
balanced_map_stays_unchanged (void)
{
  double rates[LAYERS * EXPERTS];
  BurdockReplicaMap map;
  BurdockReplicaPlanResult result;

  for (uint32_t i = 0; i < LAYERS * EXPERTS; i++)
    rates[i] = 1;
  burdock_replica_map_init (&map, LAYERS, RANKS, EXPERTS);
  burdock_replica_map_spread (&map);
  result = burdock_replica_plan (&map, rates, &limits);
  CU_ASSERT_EQUAL (result.loads, 0);
  burdock_replica_map_clear (&map);
}

/* Guards against maps that the wire format alters, and against truncated bytes that are
 * accepted. */
static void
encoding_round_trips (void)
{
  BurdockReplicaMap map;
  BurdockReplicaMap out;
  uint8_t *bytes;
  uint32_t length_bytes;

  burdock_replica_map_init (&map, 12, 32, 128);
  burdock_replica_map_spread (&map);
  burdock_bit_set_add (&map.hosts[5], 31);
  CU_ASSERT_EQUAL (burdock_replica_map_encode (&map, &bytes, &length_bytes), 0);
  CU_ASSERT_EQUAL (burdock_replica_map_decode ((BurdockBytes){ bytes, length_bytes },
                                               &out),
                   0);
  CU_ASSERT_TRUE (burdock_replica_map_equal (&map, &out));
  burdock_replica_map_clear (&out);
  for (uint32_t cut = 0; cut < length_bytes; cut += 97)
    CU_ASSERT_EQUAL (burdock_replica_map_decode ((BurdockBytes){ bytes, cut }, &out),
                     -EPROTO);
  free (bytes);
  burdock_replica_map_clear (&map);
}

/* Guards against changes that restore another map, and against truncated or foreign
 * changes that are accepted. */
static void
changes_round_trip (void)
{
  double rates[LAYERS * EXPERTS];
  BurdockReplicaMap before;
  BurdockReplicaMap after;
  BurdockReplicaMap restored;
  uint8_t *bytes;
  uint32_t length_bytes;

  make_rates (rates, LAYERS, EXPERTS, 1, 6);
  burdock_replica_map_init (&before, LAYERS, RANKS, EXPERTS);
  burdock_replica_map_spread (&before);
  burdock_replica_map_copy (&after, &before);
  CU_ASSERT_TRUE (burdock_replica_plan (&after, rates, &limits).loads > 0);
  CU_ASSERT_NOT_EQUAL (burdock_replica_map_hash (&before),
                       burdock_replica_map_hash (&after));
  CU_ASSERT_EQUAL (burdock_replica_map_encode_changes (&before, &after, &bytes,
                                                       &length_bytes),
                   0);
  for (uint32_t cut = 0; cut < length_bytes; cut++) {
    burdock_replica_map_copy (&restored, &before);
    CU_ASSERT_EQUAL (burdock_replica_map_apply_changes (&restored,
                                                        (BurdockBytes){ bytes, cut }),
                     -EPROTO);
    burdock_replica_map_clear (&restored);
  }
  burdock_replica_map_copy (&restored, &before);
  CU_ASSERT_EQUAL (burdock_replica_map_apply_changes (&restored,
                                                      (BurdockBytes){ bytes,
                                                                      length_bytes }),
                   0);
  CU_ASSERT_TRUE (burdock_replica_map_equal (&restored, &after));
  CU_ASSERT_EQUAL (burdock_replica_map_hash (&restored),
                   burdock_replica_map_hash (&after));
  bytes[3] = RANKS; /* a rank that the group does not have */
  CU_ASSERT_EQUAL (burdock_replica_map_apply_changes (&restored,
                                                      (BurdockBytes){ bytes,
                                                                      length_bytes }),
                   -EPROTO);
  free (bytes);
  burdock_replica_map_clear (&restored);
  burdock_replica_map_clear (&before);
  burdock_replica_map_clear (&after);
}

static const Test tests[] = {
  { "a plan loads or holds more than the engine allows", plans_respect_the_limits },
  { "a rank keeps far more than its share", plans_balance_the_loads },
  { "a plan in steps differs from a whole one, or a step has no bound",
    steps_do_not_change_the_plan },
  { "a balanced map causes larger loads than it may", balanced_maps_load_less },
  { "experts are loaded although the map is balanced", balanced_map_stays_unchanged },
  { "encoding alters a map, or truncated bytes are accepted", encoding_round_trips },
  { "changes restore another map, or foreign changes are accepted", changes_round_trip },
};

int
main (void)
{
  return test_main ("copy-plan", tests, TEST_COUNT (tests));
}
