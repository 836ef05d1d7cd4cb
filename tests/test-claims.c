#include "claims.h"
#include "fake-store.h"
#include "test.h"

#include <stdlib.h>
#include <string.h>

#define US_PER_S UINT64_C (1000000)
#define ENTRIES 2

/* An entry that claims keys; the answers of its store calls arrive at the next step. */
typedef struct {
  struct World *world;
  BurdockEnv env;
  BurdockCounters counters;
  BurdockClaims *claims;
  uint32_t held;
  uint32_t taken;
  uint32_t failed;
} Entry;

typedef struct World {
  FakeStore store;
  uint64_t now_us;
  uint64_t random;
  uint32_t call_count;
  struct {
    Entry *entry;
    BurdockStoreCall *call;
  } calls[64];
  Entry entries[ENTRIES];
} World;

static uint64_t
world_now (void *ctx)
{
  return ((Entry *)ctx)->world->now_us;
}

static uint64_t
world_random (void *ctx)
{
  return ++((Entry *)ctx)->world->random;
}

static int
world_call (void *ctx, const BurdockStoreCall *call)
{
  Entry *entry = ctx;
  World *world = entry->world;

  CU_ASSERT_TRUE_FATAL (world->call_count < 64);
  world->calls[world->call_count].entry = entry;
  world->calls[world->call_count++].call = fake_call_copy (call);
  return 0;
}

static void
claim_done (void *ctx, uint64_t request_id, BurdockClaimOutcome outcome)
{
  Entry *entry = ctx;

  entry->held += outcome == BURDOCK_CLAIM_HELD;
  entry->taken += outcome == BURDOCK_CLAIM_TAKEN;
  entry->failed += outcome == BURDOCK_CLAIM_FAILED;
}

static void
start_world (World *world)
{
  *world = (World){ .now_us = 100 * US_PER_S };
  fake_store_init (&world->store);
  world->store.era = 1;
  for (uint32_t i = 0; i < ENTRIES; i++) {
    Entry *entry = &world->entries[i];

    entry->world = world;
    entry->env = (BurdockEnv){ .ctx = entry,
                               .now_us = world_now,
                               .wall_us = world_now,
                               .random_u64 = world_random,
                               .store = world_call };
    entry->claims =
        burdock_claims_new (&entry->env, &entry->counters, i + 1, claim_done, entry);
    burdock_claims_note_era (entry->claims, 1);
  }
}

static void
end_world (World *world)
{
  for (uint32_t i = 0; i < ENTRIES; i++)
    burdock_claims_free (world->entries[i].claims);
  fake_store_clear (&world->store);
}

static void
run_world (World *world, uint64_t time_us)
{
  uint64_t until_us = world->now_us + time_us;

  while (world->now_us < until_us) {
    uint32_t count = world->call_count;

    for (uint32_t i = 0; i < count; i++) {
      BurdockStoreResult result;
      Entry *entry = world->calls[i].entry;

      fake_store_apply (&world->store, world->calls[i].call, &result);
      burdock_store_handle_result (burdock_claims_store (entry->claims), &result);
      fake_call_free (world->calls[i].call);
    }
    world->call_count -= count;
    memmove (world->calls, world->calls + count,
             world->call_count * sizeof world->calls[0]);
    world->now_us += US_PER_S / 20;
    for (uint32_t i = 0; i < ENTRIES; i++)
      burdock_claims_tick (world->entries[i].claims);
  }
}

/* Returns whether @entry got the key. */
static bool
claims_key (World *world, uint32_t entry, const char *key)
{
  uint32_t held = world->entries[entry].held;
  BurdockClaim *claim =
      burdock_claims_acquire (world->entries[entry].claims, "w", key, 1, 1000);

  run_world (world, US_PER_S / 2);
  if (claim == NULL || world->entries[entry].held == held) {
    if (claim != NULL)
      burdock_claims_abandon (claim);
    return false;
  }
  burdock_claims_keep (claim);
  return true;
}

typedef struct {
  const char *name;
  uint64_t noticed_us; /* by the second entry, after the first one; the claim follows */
  uint64_t wait_us;    /* until the key is claimed again */
  uint64_t early_us;   /* the second entry claims the key so long before the first entry
                          has noticed; 0 for no such claim */
  bool by_claim;       /* the claim itself shows the restore to the second entry */
  bool other_key;
  bool granted;
} RestoreCase;

static const RestoreCase restore_cases[] = {
  { "claimed again at once", 0, 0, 0, false, false, false },
  { "another key at once", 0, 0, 0, false, true, false },
  { "claimed again by an entry that has not noticed", 0, 0, 0, true, false, false },
  { "claimed again once all claims are written", 0, 6 * US_PER_S, 0, false, false,
    false },
  { "another key once all claims are written", 0, 6 * US_PER_S, 0, false, true, true },
  { "noticed late", 3 * US_PER_S, 0, 0, false, false, false },
  { "claimed and released before the first entry has noticed", 0, 6 * US_PER_S, US_PER_S,
    true, false, false },
  { "claimed as the first entry notices", 0, 6 * US_PER_S, 1, true, false, false },
};

static void
a_key_is_claimed_once_across_a_restore (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (restore_cases); i++) {
    const RestoreCase *row = &restore_cases[i];
    BurdockClaim *early;
    FakeStore copy;
    World world;

    start_world (&world);
    fake_store_copy (&world.store, &copy);
    CU_ASSERT_TRUE (claims_key (&world, 0, "k"));
    fake_store_restore (&world.store, &copy);
    early = row->early_us > 0
                ? burdock_claims_acquire (world.entries[1].claims, "w", "k", 9, 1000)
                : NULL;
    run_world (&world, row->early_us);
    burdock_claims_note_era (world.entries[0].claims, 2);
    if (early != NULL) {
      run_world (&world, US_PER_S / 10);
      burdock_claims_abandon (early);
    }
    run_world (&world, row->noticed_us);
    if (!row->by_claim)
      burdock_claims_note_era (world.entries[1].claims, 2);
    run_world (&world, row->wait_us);
    if (claims_key (&world, 1, row->other_key ? "other" : "k") != row->granted)
      CU_FAIL (row->name);
    run_world (&world, 6 * US_PER_S);
    if (claims_key (&world, 1, "k"))
      CU_FAIL (row->name);
    CU_ASSERT_TRUE (claims_key (&world, 1, "later"));
    fake_store_clear (&copy);
    end_world (&world);
  }
}

static void
a_released_key_is_not_claimed_by_a_restore (void)
{
  FakeStore copy;
  World world;
  BurdockClaim *claim;

  start_world (&world);
  fake_store_copy (&world.store, &copy);
  claim = burdock_claims_acquire (world.entries[0].claims, "w", "k", 1, 1000);
  run_world (&world, US_PER_S);
  CU_ASSERT_TRUE (burdock_claims_release (claim));
  run_world (&world, US_PER_S);
  fake_store_restore (&world.store, &copy);
  burdock_claims_note_era (world.entries[0].claims, 2);
  burdock_claims_note_era (world.entries[1].claims, 2);
  run_world (&world, 6 * US_PER_S);
  CU_ASSERT_TRUE (claims_key (&world, 1, "k"));
  fake_store_clear (&copy);
  end_world (&world);
}

static const Test tests[] = {
  { "a request runs again after its claim was lost in a restore",
    a_key_is_claimed_once_across_a_restore },
  { "a restore claims a key that was released",
    a_released_key_is_not_claimed_by_a_restore },
};

int
main (void)
{
  return test_main ("claims", tests, TEST_COUNT (tests));
}
