#include "copy-plan.h"
#include "test.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define LAYERS 6
#define RANKS 8
#define EXPERTS 64

static const BurdockCopyLimits limits = { .slots = 11,
                                          .loads_layer = 4,
                                          .loads_rank = 4 };

/* Popularity as the users' engines show it: a few experts take most of the tokens. */
static void
make_rates (double *rates, uint32_t layers, uint32_t experts, uint32_t seed)
{
  srand (seed);
  for (uint32_t i = 0; i < layers * experts; i++)
    rates[i] = pow ((double)(rand () % 1000 + 1) / 1000, 6) * 1000;
}

static uint32_t
held_by (const BurdockCopyMap *map, uint32_t layer, uint32_t rank)
{
  uint32_t held = 0;

  for (uint32_t e = 0; e < map->experts; e++)
    held += map->hosts[layer * map->experts + e] >> rank & 1;
  return held;
}

static uint32_t
loads_of_rank (const BurdockCopyMap *before, const BurdockCopyMap *after, uint32_t layer,
               uint32_t rank)
{
  uint32_t loads = 0;

  for (uint32_t e = 0; e < before->experts; e++) {
    uint64_t added = after->hosts[layer * before->experts + e] &
                     ~before->hosts[layer * before->experts + e];

    loads += added >> rank & 1;
  }
  return loads;
}

static void
check_limits (const BurdockCopyMap *before, const BurdockCopyMap *after,
              const BurdockCopyLimits *allowed)
{
  for (uint32_t rank = 0; rank < after->ranks; rank++) {
    uint32_t total = 0;

    for (uint32_t layer = 0; layer < after->layers; layer++) {
      uint32_t loads = loads_of_rank (before, after, layer, rank);

      CU_ASSERT_TRUE (held_by (after, layer, rank) <= allowed->slots);
      CU_ASSERT_TRUE (loads <= allowed->loads_layer);
      total += loads;
    }
    CU_ASSERT_TRUE (total <= allowed->loads_rank);
  }
  for (uint32_t i = 0; i < after->layers * after->experts; i++)
    CU_ASSERT_TRUE (after->hosts[i] != 0);
}

static void
plans_keep_their_limits (void)
{
  double rates[LAYERS * EXPERTS];
  BurdockCopyMap map;
  BurdockCopyMap before;

  burdock_copy_map_init (&map, LAYERS, RANKS, EXPERTS);
  burdock_copy_map_init (&before, LAYERS, RANKS, EXPERTS);
  burdock_copy_map_spread (&map);
  for (uint32_t seed = 0; seed < 40; seed++) {
    make_rates (rates, LAYERS, EXPERTS, seed / 4);
    burdock_copy_map_assign (&before, &map);
    burdock_copy_plan (&map, rates, &limits);
    check_limits (&before, &map, &limits);
  }
  burdock_copy_map_clear (&map);
  burdock_copy_map_clear (&before);
}

typedef struct {
  const char *name;
  uint32_t layers;
  uint32_t ranks;
  uint32_t experts;
  BurdockCopyLimits limits;
  uint32_t plans;
} BalanceCase;

static const BalanceCase balance_cases[] = {
  { "8 ranks", LAYERS, RANKS, EXPERTS, { 11, 4, 4 }, 16 },
  { "32 ranks", 12, 32, 128, { 5, 2, 2 }, 24 },
};

/* Guards against maps that leave one rank with far more than its share: a few plans in a
 * row bring the largest load to within a quarter of an even one. */
static void
plans_even_out_the_loads (void)
{
  for (uint32_t i = 0; i < sizeof balance_cases / sizeof balance_cases[0]; i++) {
    const BalanceCase *test = &balance_cases[i];
    double *rates = calloc ((size_t)test->layers * test->experts, sizeof *rates);
    BurdockCopyMap map;
    double before;

    make_rates (rates, test->layers, test->experts, 1);
    burdock_copy_map_init (&map, test->layers, test->ranks, test->experts);
    burdock_copy_map_spread (&map);
    before = burdock_copy_map_peak (&map, rates);
    for (uint32_t plan = 0; plan < test->plans; plan++)
      burdock_copy_plan (&map, rates, &test->limits);
    if (before < 1.5 || burdock_copy_map_peak (&map, rates) > 1.25)
      CU_FAIL (test->name);
    burdock_copy_map_clear (&map);
    free (rates);
  }
}

/* Guards against loads that never end: a map that fits stays as it is. */
static void
a_map_that_fits_is_left_alone (void)
{
  double rates[LAYERS * EXPERTS];
  BurdockCopyMap map;
  BurdockCopyResult result;

  for (uint32_t i = 0; i < LAYERS * EXPERTS; i++)
    rates[i] = 1;
  burdock_copy_map_init (&map, LAYERS, RANKS, EXPERTS);
  burdock_copy_map_spread (&map);
  result = burdock_copy_plan (&map, rates, &limits);
  CU_ASSERT_EQUAL (result.loads, 0);
  burdock_copy_map_clear (&map);
}

static void
encoding_keeps_the_map (void)
{
  BurdockCopyMap map;
  BurdockCopyMap out;
  uint8_t *bytes;
  uint32_t length_bytes;

  burdock_copy_map_init (&map, 12, 32, 128);
  burdock_copy_map_spread (&map);
  map.hosts[5] |= UINT64_C (1) << 31;
  CU_ASSERT_EQUAL (burdock_copy_map_encode (&map, &bytes, &length_bytes), 0);
  CU_ASSERT_EQUAL (burdock_copy_map_decode ((BurdockBytes){ bytes, length_bytes }, &out),
                   0);
  CU_ASSERT_EQUAL (memcmp (map.hosts, out.hosts, sizeof (uint64_t[12 * 128])), 0);
  burdock_copy_map_clear (&out);
  for (uint32_t cut = 0; cut < length_bytes; cut += 97)
    CU_ASSERT_EQUAL (burdock_copy_map_decode ((BurdockBytes){ bytes, cut }, &out),
                     -EPROTO);
  free (bytes);
  burdock_copy_map_clear (&map);
}

static const Test tests[] = {
  { "a plan loads or holds more than the engine allows", plans_keep_their_limits },
  { "a rank keeps far more than its share", plans_even_out_the_loads },
  { "experts are loaded without need", a_map_that_fits_is_left_alone },
  { "a map is altered on the way", encoding_keeps_the_map },
};

int
main (void)
{
  return test_main ("copy-plan", tests, TEST_COUNT (tests));
}
