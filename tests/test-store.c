#include "fake-store.h"
#include "store.h"
#include "test.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/** enum Fault - fault that the store injects into one call */
typedef enum {
  FAULT_NONE = 0,
  FAULT_REFUSED,        /* -EAGAIN before any effect */
  FAULT_LOST_BEFORE,    /* times out without effect */
  FAULT_LOST_AFTER,     /* takes effect, then times out */
  FAULT_APPLIED_LATE,   /* times out, then takes effect before the next call but one */
  FAULT_OVERWRITTEN,    /* takes effect, then times out, and two other writes follow */
  FAULT_CONFLICT,       /* times out without effect, and another write takes effect */
  FAULT_CONFLICT_TWICE, /* times out without effect, and two other writes take effect */
  FAULT_NO_RESULT,      /* no result is reported */
} Fault;

/**
 * struct Fixture - environment of a store client, with a store that injects faults
 * @faults: fault of each call in the order of issue; later calls have none
 * @calls: number of calls issued
 * @pending: call in flight, or NULL
 * @late: call that is still to be applied, after @late_after_calls further calls
 * @done_count: number of finished client calls; @status and @version are of the last one
 * @reads, @writes: number of calls issued, by kind
 */
typedef struct {
  uint64_t now_us;
  uint64_t random;
  FakeStore table;
  const Fault *faults;
  uint32_t fault_count;
  uint32_t calls;
  BurdockStoreCall *pending;
  Fault pending_fault;
  BurdockStoreCall *late;
  uint32_t late_after_calls;
  uint32_t done_count;
  int32_t status;
  uint64_t version;
  uint32_t reads;
  uint32_t writes;
} Fixture;

static uint64_t
fixture_now (void *ctx)
{
  return ((Fixture *)ctx)->now_us;
}

static uint64_t
fixture_random (void *ctx)
{
  return ((Fixture *)ctx)->random += UINT64_C (0x9e3779b97f4a7c15);
}

static int
fixture_store (void *ctx, const BurdockStoreCall *call)
{
  Fixture *fixture = ctx;
  bool write = call->op == BURDOCK_STORE_ROW_PUT_IF;

  fixture->reads += !write;
  fixture->writes += write;
  fixture->pending = fake_call_copy (call);
  fixture->pending_fault = fixture->calls < fixture->fault_count
                               ? fixture->faults[fixture->calls]
                               : FAULT_NONE;
  fixture->calls++;
  return 0;
}

static void
fixture_done (void *ctx, const BurdockStoreResult *result)
{
  Fixture *fixture = ctx;

  fixture->done_count++;
  fixture->status = result->status;
  fixture->version = result->version;
}

static void
write_as_other (Fixture *fixture, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++) {
    const FakeRow *row = fake_store_row (&fixture->table, "row");
    BurdockStoreResult result;
    BurdockStoreCall call = { .op = BURDOCK_STORE_ROW_PUT_IF, .put_count = 1 };

    call.puts[0] = (BurdockStorePut){ "row",
                                      { (const uint8_t *)"other", 5 },
                                      row != NULL ? row->version : 0 };
    fake_store_apply (&fixture->table, &call, &result);
  }
}

static void
apply_late (Fixture *fixture)
{
  BurdockStoreResult result;

  if (fixture->late == NULL || fixture->late_after_calls-- > 0)
    return;
  fake_store_apply (&fixture->table, fixture->late, &result);
  fake_call_free (fixture->late);
  fixture->late = NULL;
}

/* Applies the call in flight subject to its fault and reports the result to @store. */
static void
resolve_call (Fixture *fixture, BurdockStore *store)
{
  BurdockStoreCall *call = fixture->pending;
  Fault fault = fixture->pending_fault;
  BurdockStoreResult result = { .status = -ETIMEDOUT };

  fixture->pending = NULL;
  apply_late (fixture);
  if (fault == FAULT_NONE || fault == FAULT_LOST_AFTER || fault == FAULT_OVERWRITTEN)
    fake_store_apply (&fixture->table, call, &result);
  if (fault == FAULT_REFUSED)
    result.status = -EAGAIN;
  else if (fault != FAULT_NONE)
    result = (BurdockStoreResult){ .status = -ETIMEDOUT };
  if (fault == FAULT_OVERWRITTEN || fault == FAULT_CONFLICT_TWICE)
    write_as_other (fixture, 2);
  if (fault == FAULT_CONFLICT)
    write_as_other (fixture, 1);
  if (fault == FAULT_APPLIED_LATE) {
    fixture->late = fake_call_copy (call);
    fixture->late_after_calls = 1;
  }
  result.id = call->id;
  fake_call_free (call);
  if (fault != FAULT_NO_RESULT)
    burdock_store_handle_result (store, &result);
}

static BurdockEnv
fixture_env (Fixture *fixture)
{
  return (BurdockEnv){ .ctx = fixture,
                       .now_us = fixture_now,
                       .random_u64 = fixture_random,
                       .store = fixture_store };
}

static void
run_until_done (Fixture *fixture, BurdockStore *store, uint64_t until_us)
{
  while (fixture->done_count == 0 && fixture->now_us < until_us) {
    uint64_t next_us;

    if (fixture->pending != NULL)
      resolve_call (fixture, store);
    next_us = burdock_store_tick (store);
    if (fixture->pending == NULL && fixture->done_count == 0)
      fixture->now_us = next_us > fixture->now_us ? next_us : fixture->now_us + 1;
  }
}

/**
 * struct PutCase - conditional write and the faults that it meets
 * @status: expected status
 * @version: expected version
 * @row: expected value of the first row
 */
typedef struct {
  const char *name;
  uint32_t put_count;
  Fault faults[6];
  uint32_t fault_count;
  int32_t status;
  uint64_t version;
  const char *row;
} PutCase;

static const PutCase put_cases[] = {
  { "no fault", 1, { FAULT_NONE }, 1, 0, 1, "own" },
  { "refused, then accepted", 1, { FAULT_REFUSED, FAULT_REFUSED }, 2, 0, 1, "own" },
  { "answer lost after the effect", 1, { FAULT_LOST_AFTER }, 1, 0, 1, "own" },
  { "answer lost twice", 1, { FAULT_LOST_AFTER, FAULT_LOST_BEFORE }, 2, 0, 1, "own" },
  { "lost before the effect", 1, { FAULT_LOST_BEFORE }, 1, 0, 1, "own" },
  { "applied after the read-back", 1, { FAULT_APPLIED_LATE }, 1, 0, 1, "own" },
  { "applied after the read-back, answer lost again",
    1,
    { FAULT_APPLIED_LATE, FAULT_NONE, FAULT_LOST_BEFORE },
    3,
    0,
    1,
    "own" },
  { "no result at all", 1, { FAULT_NO_RESULT }, 1, 0, 1, "own" },
  { "another write took effect instead", 1, { FAULT_CONFLICT }, 1, -EEXIST, 1, "other" },
  { "took effect, then overwritten; one row",
    1,
    { FAULT_OVERWRITTEN },
    1,
    -ETIMEDOUT,
    3,
    "other" },
  { "took effect, then overwritten; attempt row",
    2,
    { FAULT_OVERWRITTEN },
    1,
    0,
    1,
    "other" },
  { "no effect, then overwritten; attempt row",
    2,
    { FAULT_CONFLICT_TWICE },
    1,
    -EEXIST,
    0,
    "other" },
};

/* Guards against a conditional write that is reported as failed though it took effect, or
 * the reverse, or that takes effect twice, after its answer was lost. */
static void
ambiguous_writes_are_resolved (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (put_cases); i++) {
    const PutCase *c = &put_cases[i];
    Fixture fixture = { .faults = c->faults, .fault_count = c->fault_count, .random = i };
    BurdockEnv env = fixture_env (&fixture);
    BurdockCounters counters = { .values = { 0 } };
    BurdockStore *store = burdock_store_new (&env, &counters);
    BurdockBytes own = { (const uint8_t *)"own", 3 };
    BurdockStorePut puts[2] = { { "row", own, 0 }, { "attempt", own, 0 } };
    const FakeRow *row;

    burdock_store_put_if (store, puts, c->put_count, 30000, fixture_done, &fixture);
    CU_ASSERT_EQUAL (fixture.done_count, 0);
    run_until_done (&fixture, store, 60000 * US_PER_MS);
    row = fake_store_row (&fixture.table, "row");
    CU_ASSERT_EQUAL (fixture.done_count, 1);
    CU_ASSERT_EQUAL (fixture.status, c->status);
    CU_ASSERT_EQUAL (fixture.version, c->version);
    CU_ASSERT_TRUE (row != NULL && row->value_bytes == strlen (c->row) &&
                    memcmp (row->value, c->row, row->value_bytes) == 0);
    burdock_store_free (store);
    fake_store_clear (&fixture.table);
    if (fixture.late != NULL)
      fake_call_free (fixture.late);
  }
}

/* Guards against an unknown outcome that is reported as not written when the deadline
 * passes: only a write that the store refused each time may be reported as not run. */
static void
deadline_tells_unknown_from_not_written (void)
{
  static const Fault refused[64] = { [0 ... 63] = FAULT_REFUSED };
  static const Fault lost[64] = { [0 ... 63] = FAULT_LOST_BEFORE };
  static const struct {
    const Fault *faults;
    int32_t status;
  } cases[] = { { refused, -EAGAIN }, { lost, -ETIMEDOUT } };

  for (uint32_t i = 0; i < TEST_COUNT (cases); i++) {
    Fixture fixture = { .faults = cases[i].faults, .fault_count = 64 };
    BurdockEnv env = fixture_env (&fixture);
    BurdockCounters counters = { .values = { 0 } };
    BurdockStore *store = burdock_store_new (&env, &counters);
    BurdockStorePut put = { "row", { (const uint8_t *)"own", 3 }, 0 };

    burdock_store_put_if (store, &put, 1, 5000, fixture_done, &fixture);
    run_until_done (&fixture, store, 60000 * US_PER_MS);
    CU_ASSERT_EQUAL (fixture.done_count, 1);
    CU_ASSERT_EQUAL (fixture.status, cases[i].status);
    CU_ASSERT_TRUE (fixture.now_us <= 5001 * US_PER_MS);
    CU_ASSERT_FALSE (burdock_store_available (store));
    if (fixture.pending != NULL)
      fake_call_free (fixture.pending);
    burdock_store_free (store);
    fake_store_clear (&fixture.table);
  }
}

/* Guards against a client that exceeds its budget of calls or the limit of its queue. */
static void
budget_limits_the_rate (void)
{
  Fixture fixture = { .random = 1 };
  BurdockEnv env = fixture_env (&fixture);
  BurdockCounters counters = { .values = { 0 } };
  BurdockStore *store = burdock_store_new (&env, &counters);
  BurdockStoreLimits limits = { .reads_per_s = 5,
                                .writes_per_s = 0.5,
                                .queue_limit = 40 };
  uint32_t refused = 0;

  burdock_store_set_limits (store, &limits);
  for (uint32_t i = 0; i < 50; i++) {
    refused += burdock_store_get (store, "row", 60000, fixture_done, &fixture) == -EAGAIN;
    if (fixture.pending != NULL)
      resolve_call (&fixture, store);
  }
  /* The burst of five is answered immediately; 40 of the other 45 reads are queued. */
  CU_ASSERT_EQUAL (refused, 5);
  CU_ASSERT_EQUAL (fixture.reads, 5);
  for (uint64_t end_us = 2000 * US_PER_MS; fixture.now_us < end_us;) {
    uint64_t next_us = burdock_store_tick (store);

    while (fixture.pending != NULL)
      resolve_call (&fixture, store);
    fixture.now_us = next_us > fixture.now_us ? next_us : fixture.now_us + 1;
  }
  CU_ASSERT_TRUE (fixture.reads >= 14 && fixture.reads <= 15);
  burdock_store_free (store);
  fake_store_clear (&fixture.table);
}

/**
 * struct QueuedRead - read whose place in the order of completion is checked
 * @next: shared number of reads that have finished
 * @position: position in the order of issue
 */
typedef struct {
  uint32_t *next;
  uint32_t position;
  bool in_order;
} QueuedRead;

static void
queued_read_done (void *ctx, const BurdockStoreResult *result)
{
  QueuedRead *queued_read = ctx;

  queued_read->in_order =
      result->status == -ENOENT && queued_read->position == *queued_read->next;
  ++*queued_read->next;
}

/* Guards against starvation: a new call that is started just after the bucket was
 * refilled must not take the token from a call that waits for it. */
static void
waiting_calls_keep_their_order (void)
{
  Fixture fixture = { .random = 1 };
  BurdockEnv env = fixture_env (&fixture);
  BurdockCounters counters = { .values = { 0 } };
  BurdockStore *store = burdock_store_new (&env, &counters);
  BurdockStoreLimits limits = { .reads_per_s = 2, .writes_per_s = 2, .queue_limit = 40 };
  QueuedRead queued_reads[20];
  uint32_t next = 0;

  burdock_store_set_limits (store, &limits);
  for (uint32_t i = 0; i < TEST_COUNT (queued_reads); i++) {
    queued_reads[i] = (QueuedRead){ .next = &next, .position = i };
    /* The tick that issues the first queued call runs only after the new call. */
    burdock_store_get (store, "row", 60000, queued_read_done, &queued_reads[i]);
    if (fixture.pending != NULL)
      resolve_call (&fixture, store);
    burdock_store_tick (store);
    if (fixture.pending != NULL)
      resolve_call (&fixture, store);
    fixture.now_us += 260 * US_PER_MS;
  }
  while (next < TEST_COUNT (queued_reads) && fixture.now_us < 60000 * US_PER_MS) {
    burdock_store_tick (store);
    if (fixture.pending != NULL)
      resolve_call (&fixture, store);
    fixture.now_us += 10 * US_PER_MS;
  }
  CU_ASSERT_EQUAL (next, TEST_COUNT (queued_reads));
  for (uint32_t i = 0; i < TEST_COUNT (queued_reads); i++)
    CU_ASSERT_TRUE (queued_reads[i].in_order);
  burdock_store_free (store);
}

static const Test tests[] = {
  { "a write with a lost answer is reported wrongly or applied twice",
    ambiguous_writes_are_resolved },
  { "an unknown outcome is reported as not written",
    deadline_tells_unknown_from_not_written },
  { "a client exceeds its budget of calls", budget_limits_the_rate },
  { "a queued call starves behind later ones", waiting_calls_keep_their_order },
};

int
main (void)
{
  return test_main ("store", tests, TEST_COUNT (tests));
}
