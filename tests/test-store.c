#include "fake-store.h"
#include "store.h"
#include "test.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define MS UINT64_C (1000)

/** enum Fate - what happens to one call at the store */
typedef enum {
  FATE_OK = 0,
  FATE_REFUSED,     /* -EAGAIN before any effect */
  FATE_LOST_BEFORE, /* times out without effect */
  FATE_LOST_AFTER,  /* takes effect, then times out */
  FATE_LATE,        /* times out; takes effect when the next call but one is issued */
  FATE_OVERTAKEN,   /* takes effect, times out, and another write follows twice */
  FATE_RIVAL,       /* times out without effect, and another write takes place */
  FATE_RIVAL_TWICE, /* the same with two other writes */
  FATE_NEVER,       /* no result at all */
} Fate;

typedef struct {
  uint64_t now_us;
  uint64_t random;
  FakeStore table;
  const Fate *fates;
  uint32_t fate_count;
  uint32_t calls;
  BurdockStoreCall *pending;
  Fate pending_fate;
  BurdockStoreCall *late;
  uint32_t late_in;
  uint32_t done_count;
  int32_t status;
  uint64_t version;
  uint32_t reads;
  uint32_t writes;
} World;

static uint64_t
world_now (void *ctx)
{
  return ((World *)ctx)->now_us;
}

static uint64_t
world_random (void *ctx)
{
  return ((World *)ctx)->random += UINT64_C (0x9e3779b97f4a7c15);
}

static int
world_store (void *ctx, const BurdockStoreCall *call)
{
  World *world = ctx;
  bool write = call->op == BURDOCK_STORE_ROW_PUT_IF;

  world->reads += !write;
  world->writes += write;
  world->pending = fake_call_copy (call);
  world->pending_fate =
      world->calls < world->fate_count ? world->fates[world->calls] : FATE_OK;
  world->calls++;
  return 0;
}

static void
world_done (void *ctx, const BurdockStoreResult *result)
{
  World *world = ctx;

  world->done_count++;
  world->status = result->status;
  world->version = result->version;
}

static void
rival_writes (World *world, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++) {
    const FakeRow *row = fake_store_row (&world->table, "row");
    BurdockStoreResult result;
    BurdockStoreCall call = { .op = BURDOCK_STORE_ROW_PUT_IF, .put_count = 1 };

    call.puts[0] = (BurdockStorePut){ "row",
                                      { (const uint8_t *)"rival", 5 },
                                      row != NULL ? row->version : 0 };
    fake_store_apply (&world->table, &call, &result);
  }
}

static void
apply_late (World *world)
{
  BurdockStoreResult result;

  if (world->late == NULL || world->late_in-- > 0)
    return;
  fake_store_apply (&world->table, world->late, &result);
  fake_call_free (world->late);
  world->late = NULL;
}

/* Gives the call in flight its fate and reports the result to @store. */
static void
resolve (World *world, BurdockStore *store)
{
  BurdockStoreCall *call = world->pending;
  Fate fate = world->pending_fate;
  BurdockStoreResult result = { .status = -ETIMEDOUT };

  world->pending = NULL;
  apply_late (world);
  if (fate == FATE_OK || fate == FATE_LOST_AFTER || fate == FATE_OVERTAKEN)
    fake_store_apply (&world->table, call, &result);
  if (fate == FATE_REFUSED)
    result.status = -EAGAIN;
  else if (fate != FATE_OK)
    result = (BurdockStoreResult){ .status = -ETIMEDOUT };
  if (fate == FATE_OVERTAKEN || fate == FATE_RIVAL_TWICE)
    rival_writes (world, 2);
  if (fate == FATE_RIVAL)
    rival_writes (world, 1);
  if (fate == FATE_LATE) {
    world->late = fake_call_copy (call);
    world->late_in = 1;
  }
  result.id = call->id;
  fake_call_free (call);
  if (fate != FATE_NEVER)
    burdock_store_handle_result (store, &result);
}

static BurdockEnv
world_env (World *world)
{
  return (BurdockEnv){
    .ctx = world, .now_us = world_now, .random_u64 = world_random, .store = world_store
  };
}

static void
run (World *world, BurdockStore *store, uint64_t until_us)
{
  while (world->done_count == 0 && world->now_us < until_us) {
    uint64_t next_us;

    if (world->pending != NULL)
      resolve (world, store);
    next_us = burdock_store_tick (store);
    if (world->pending == NULL && world->done_count == 0)
      world->now_us = next_us > world->now_us ? next_us : world->now_us + 1;
  }
}

typedef struct {
  const char *name;
  uint32_t put_count;
  Fate fates[6];
  uint32_t fate_count;
  int32_t status;
  uint64_t version;
  const char *row; /* final value of the first row, NULL for none */
} PutCase;

static const PutCase put_cases[] = {
  { "plain", 1, { FATE_OK }, 1, 0, 1, "own" },
  { "refused, then accepted", 1, { FATE_REFUSED, FATE_REFUSED }, 2, 0, 1, "own" },
  { "answer lost after the effect", 1, { FATE_LOST_AFTER }, 1, 0, 1, "own" },
  { "answer lost twice", 1, { FATE_LOST_AFTER, FATE_LOST_BEFORE }, 2, 0, 1, "own" },
  { "lost before the effect", 1, { FATE_LOST_BEFORE }, 1, 0, 1, "own" },
  { "lands after the read-back", 1, { FATE_LATE }, 1, 0, 1, "own" },
  { "lands after the read-back, answer lost again",
    1,
    { FATE_LATE, FATE_OK, FATE_LOST_BEFORE },
    3,
    0,
    1,
    "own" },
  { "no result at all", 1, { FATE_NEVER }, 1, 0, 1, "own" },
  { "another write won", 1, { FATE_RIVAL }, 1, -EEXIST, 1, "rival" },
  { "took effect, then overwritten; one row",
    1,
    { FATE_OVERTAKEN },
    1,
    -ETIMEDOUT,
    3,
    "rival" },
  { "took effect, then overwritten; attempt row",
    2,
    { FATE_OVERTAKEN },
    1,
    0,
    1,
    "rival" },
  { "no effect and overtaken; attempt row",
    2,
    { FATE_RIVAL_TWICE },
    1,
    -EEXIST,
    0,
    "rival" },
};

static void
doubtful_writes_are_settled (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (put_cases); i++) {
    const PutCase *c = &put_cases[i];
    World world = { .fates = c->fates, .fate_count = c->fate_count, .random = i };
    BurdockEnv env = world_env (&world);
    BurdockCounters counters = { .values = { 0 } };
    BurdockStore *store = burdock_store_new (&env, &counters);
    BurdockBytes own = { (const uint8_t *)"own", 3 };
    BurdockStorePut puts[2] = { { "row", own, 0 }, { "attempt", own, 0 } };
    const FakeRow *row;

    burdock_store_put_if (store, puts, c->put_count, 30000, world_done, &world);
    CU_ASSERT_EQUAL (world.done_count, 0);
    run (&world, store, 60000 * MS);
    row = fake_store_row (&world.table, "row");
    CU_ASSERT_EQUAL (world.done_count, 1);
    CU_ASSERT_EQUAL (world.status, c->status);
    CU_ASSERT_EQUAL (world.version, c->version);
    CU_ASSERT_TRUE (row != NULL && row->value_bytes == strlen (c->row) &&
                    memcmp (row->value, c->row, row->value_bytes) == 0);
    burdock_store_free (store);
    fake_store_clear (&world.table);
    if (world.late != NULL)
      fake_call_free (world.late);
  }
}

/* A refusal at the deadline must be told from an unknown outcome: the first may be
 * reported as not run, the second may not. */
static void
deadline_tells_unknown_from_not_written (void)
{
  static const Fate refused[64] = { [0 ... 63] = FATE_REFUSED };
  static const Fate lost[64] = { [0 ... 63] = FATE_LOST_BEFORE };
  static const struct {
    const Fate *fates;
    int32_t status;
  } cases[] = { { refused, -EAGAIN }, { lost, -ETIMEDOUT } };

  for (uint32_t i = 0; i < TEST_COUNT (cases); i++) {
    World world = { .fates = cases[i].fates, .fate_count = 64 };
    BurdockEnv env = world_env (&world);
    BurdockCounters counters = { .values = { 0 } };
    BurdockStore *store = burdock_store_new (&env, &counters);
    BurdockStorePut put = { "row", { (const uint8_t *)"own", 3 }, 0 };

    burdock_store_put_if (store, &put, 1, 5000, world_done, &world);
    run (&world, store, 60000 * MS);
    CU_ASSERT_EQUAL (world.done_count, 1);
    CU_ASSERT_EQUAL (world.status, cases[i].status);
    CU_ASSERT_TRUE (world.now_us <= 5001 * MS);
    CU_ASSERT_FALSE (burdock_store_available (store));
    if (world.pending != NULL)
      fake_call_free (world.pending);
    burdock_store_free (store);
    fake_store_clear (&world.table);
  }
}

static void
budget_limits_the_rate (void)
{
  World world = { .random = 1 };
  BurdockEnv env = world_env (&world);
  BurdockCounters counters = { .values = { 0 } };
  BurdockStore *store = burdock_store_new (&env, &counters);
  BurdockStoreLimits limits = { .reads_per_s = 5,
                                .writes_per_s = 0.5,
                                .queue_limit = 40 };
  uint32_t refused = 0;

  burdock_store_set_limits (store, &limits);
  for (uint32_t i = 0; i < 50; i++) {
    refused += burdock_store_get (store, "row", 60000, world_done, &world) == -EAGAIN;
    if (world.pending != NULL)
      resolve (&world, store);
  }
  /* The five of the burst are answered at once; 40 of the other 45 fit the queue. */
  CU_ASSERT_EQUAL (refused, 5);
  CU_ASSERT_EQUAL (world.reads, 5);
  for (uint64_t end_us = 2000 * MS; world.now_us < end_us;) {
    uint64_t next_us = burdock_store_tick (store);

    while (world.pending != NULL)
      resolve (&world, store);
    world.now_us = next_us > world.now_us ? next_us : world.now_us + 1;
  }
  CU_ASSERT_TRUE (world.reads >= 14 && world.reads <= 15);
  burdock_store_free (store);
  fake_store_clear (&world.table);
}

typedef struct {
  uint32_t *next;
  uint32_t place;
  bool in_order;
} Turn;

static void
turn_done (void *ctx, const BurdockStoreResult *result)
{
  Turn *turn = ctx;

  turn->in_order = result->status == -ENOENT && turn->place == *turn->next;
  ++*turn->next;
}

/* A call that arrives when the budget has just been refilled must not take it from one
 * that waits. */
static void
waiting_calls_keep_their_order (void)
{
  World world = { .random = 1 };
  BurdockEnv env = world_env (&world);
  BurdockCounters counters = { .values = { 0 } };
  BurdockStore *store = burdock_store_new (&env, &counters);
  BurdockStoreLimits limits = { .reads_per_s = 2, .writes_per_s = 2, .queue_limit = 40 };
  Turn turns[20];
  uint32_t next = 0;

  burdock_store_set_limits (store, &limits);
  for (uint32_t i = 0; i < TEST_COUNT (turns); i++) {
    turns[i] = (Turn){ .next = &next, .place = i };
    /* The tick that serves the first in the queue comes after the new call. */
    burdock_store_get (store, "row", 60000, turn_done, &turns[i]);
    if (world.pending != NULL)
      resolve (&world, store);
    burdock_store_tick (store);
    if (world.pending != NULL)
      resolve (&world, store);
    world.now_us += 260 * MS;
  }
  while (next < TEST_COUNT (turns) && world.now_us < 60000 * MS) {
    burdock_store_tick (store);
    if (world.pending != NULL)
      resolve (&world, store);
    world.now_us += 10 * MS;
  }
  CU_ASSERT_EQUAL (next, TEST_COUNT (turns));
  for (uint32_t i = 0; i < TEST_COUNT (turns); i++)
    CU_ASSERT_TRUE (turns[i].in_order);
  burdock_store_free (store);
}

static const Test tests[] = {
  { "a write with a lost answer is reported wrongly or done twice",
    doubtful_writes_are_settled },
  { "an unknown outcome is reported as not written",
    deadline_tells_unknown_from_not_written },
  { "a process exceeds its share of the store's rate", budget_limits_the_rate },
  { "a call waits forever behind later ones", waiting_calls_keep_their_order },
};

int
main (void)
{
  return test_main ("store", tests, TEST_COUNT (tests));
}
