/* Runs entries and agents under random faults on virtual time and checks the rules of
 * &FleetRule, above all that a non-idempotent request runs at most once.
 * usage: test-at-most-once [FIRST_SEED [LAST_SEED]] */
#include "traffic-fleet.h"
#include "test.h"

#include <stdio.h>
#include <stdlib.h>

#define SEEDS 12

/* Seeds 1 to SEEDS, or those given on the command line. */
static uint64_t first_seed = 1;
static uint64_t last_seed = SEEDS;

static uint32_t
violations (const FleetResult *result)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < FLEET_RULE_COUNT; i++)
    count += result->violations[i];
  return count;
}

static void
no_rule_is_violated (void)
{
  for (uint64_t seed = first_seed; seed <= last_seed; seed++) {
    FleetResult result = traffic_fleet_run (seed, FLEET_NO_DEFECT);

    printf (
        "\nseed %u: requests %u answered %u not-run %u unknown %u broken %u resumed %u "
        "faults %u violations %u",
        (unsigned)seed, result.requests, result.answered, result.not_run, result.unknown,
        result.broken, result.resumed, result.faults, violations (&result));
    CU_ASSERT_EQUAL (violations (&result), 0);
    /* Guards against runs that pass because hardly any request is executed. */
    CU_ASSERT_TRUE (result.answered * 3 > result.requests);
    CU_ASSERT_TRUE (result.resumed > 0 && result.faults > 50);
  }
}

/* Guards against failures that cannot be reproduced from their seed. */
static void
a_seed_repeats_its_run (void)
{
  CU_ASSERT_EQUAL (traffic_fleet_run (first_seed, FLEET_NO_DEFECT).trace,
                   traffic_fleet_run (first_seed, FLEET_NO_DEFECT).trace);
}

typedef struct {
  FleetDefect defect;
  FleetRule rule;
} DefectCase;

static const DefectCase defects[] = {
  { FLEET_CORRUPT_TOKENS, FLEET_RULE_COMPLETE },
  { FLEET_IGNORE_VERSIONS, FLEET_RULE_ONCE },
  { FLEET_RENUMBER_ATTEMPTS, FLEET_RULE_ONCE },
  { FLEET_FALSE_REFUSALS, FLEET_RULE_NOT_RUN },
  { FLEET_LOSE_ENDS, FLEET_RULE_ENDS },
  { FLEET_LOSE_LEAVE_NOTICES, FLEET_RULE_DRAIN },
  { FLEET_STALE_GENERATIONS, FLEET_RULE_GENERATION },
};

/* Guards against checks that cannot fail: each run has one deliberate defect, which the
 * check of its rule must detect. */
static void
each_defect_is_detected (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (defects); i++) {
    FleetResult result = traffic_fleet_run (first_seed, defects[i].defect);

    if (result.violations[defects[i].rule] == 0)
      printf ("\ndefect %u: no violation of rule %s", defects[i].defect,
              fleet_rule_names[defects[i].rule]);
    CU_ASSERT_TRUE (result.violations[defects[i].rule] > 0);
  }
}

static const Test tests[] = {
  { "a rule is violated under faults", no_rule_is_violated },
  { "a run cannot be reproduced from its seed", a_seed_repeats_its_run },
  { "a check does not detect a defect", each_defect_is_detected },
};

int
main (int argc, char **argv)
{
  if (argc > 1) {
    first_seed = strtoull (argv[1], NULL, 10);
    last_seed = argc > 2 ? strtoull (argv[2], NULL, 10) : first_seed;
  }
  return test_main ("at-most-once", tests, TEST_COUNT (tests));
}
