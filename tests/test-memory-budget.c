#include "memory-budget.h"
#include "test.h"

#define MEMORY_MB 160
#define KIB UINT64_C (1024)
#define BODY_BYTES (4096 * KIB + 1)

/* Reserves until there is no room; returns the number of reservations. */
static uint32_t
fill (BurdockMemoryBudget *budget, BurdockMemoryKind kind, uint64_t bytes)
{
  uint32_t count = 0;

  while (burdock_memory_budget_resize (budget, kind, 0, bytes))
    count++;
  return count;
}

/* Guards against large bodies that shut out small requests, or the answers of the
 * requests that were read. */
static void
large_bodies_leave_room_for_others (void)
{
  BurdockMemoryBudget budget;

  burdock_memory_budget_init (&budget, MEMORY_MB);
  CU_ASSERT_EQUAL (fill (&budget, BURDOCK_MEMORY_BODIES, BODY_BYTES), 7);
  CU_ASSERT_EQUAL (budget.refused[BURDOCK_MEMORY_BODIES], 1);
  CU_ASSERT_TRUE (fill (&budget, BURDOCK_MEMORY_ANSWERS, BODY_BYTES) >= 3);
  CU_ASSERT_TRUE (fill (&budget, BURDOCK_MEMORY_BODIES, 4 * KIB) >= 3000);
  CU_ASSERT_TRUE (burdock_memory_budget_used (&budget) <= budget.total_bytes);
  CU_ASSERT_EQUAL (budget.peak_bytes, burdock_memory_budget_used (&budget));
}

/* Guards against a body of unknown length that grows past the bound in steps, and against
 * a reservation that is counted as small after it has grown, or as large for good. */
static void
a_reservation_grows_within_the_bound (void)
{
  BurdockMemoryBudget budget;
  uint64_t held_bytes = 0;

  burdock_memory_budget_init (&budget, MEMORY_MB);
  while (burdock_memory_budget_resize (&budget, BURDOCK_MEMORY_BODIES, held_bytes,
                                       held_bytes + 16 * KIB))
    held_bytes += 16 * KIB;
  CU_ASSERT_TRUE (held_bytes <= budget.large_body_max_bytes);
  CU_ASSERT_EQUAL (budget.used_bytes[BURDOCK_MEMORY_BODIES], held_bytes);
  CU_ASSERT_EQUAL (budget.large_bytes[BURDOCK_MEMORY_BODIES], held_bytes);
  CU_ASSERT_TRUE (burdock_memory_budget_resize (&budget, BURDOCK_MEMORY_BODIES,
                                                held_bytes, 16 * KIB));
  CU_ASSERT_EQUAL (budget.large_bytes[BURDOCK_MEMORY_BODIES], 0);
  CU_ASSERT_TRUE (
      burdock_memory_budget_resize (&budget, BURDOCK_MEMORY_BODIES, 16 * KIB, 0));
  CU_ASSERT_EQUAL (burdock_memory_budget_used (&budget), 0);
}

/* Guards against a release that fails while the budget is used up. */
static void
memory_can_be_given_back_when_all_is_used (void)
{
  BurdockMemoryBudget budget;
  uint32_t count;

  burdock_memory_budget_init (&budget, MEMORY_MB);
  count = fill (&budget, BURDOCK_MEMORY_OUTPUT, 64 * KIB);
  for (uint32_t i = 0; i < count; i++)
    CU_ASSERT_TRUE (
        burdock_memory_budget_resize (&budget, BURDOCK_MEMORY_OUTPUT, 64 * KIB, 0));
  CU_ASSERT_EQUAL (burdock_memory_budget_used (&budget), 0);
  CU_ASSERT_TRUE (burdock_memory_budget_resize (NULL, BURDOCK_MEMORY_OUTPUT, 0, 1));
}

typedef struct {
  uint32_t memory_mb;
  uint32_t max_fds;
  uint32_t connections;
} ConnectionCase;

static const ConnectionCase connection_cases[] = {
  { 0, 0, 3409 },    { 1024, 4100, 3409 }, { 160, 4100, 1220 },
  { 160, 400, 175 }, { 160, 100, 16 },     { 1, 4100, 16 },
};

/* Guards against connections beyond the descriptors or the memory of the instance. */
static void
connections_fit_descriptors_and_memory (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (connection_cases); i++) {
    const ConnectionCase *row = &connection_cases[i];

    CU_ASSERT_EQUAL (burdock_memory_connections_max (row->memory_mb, row->max_fds,
                                                     32 * KIB),
                     row->connections);
  }
}

static const Test tests[] = {
  { "large bodies shut out everything else", large_bodies_leave_room_for_others },
  { "a reservation grows past the bound", a_reservation_grows_within_the_bound },
  { "memory cannot be given back", memory_can_be_given_back_when_all_is_used },
  { "more connections than the instance can hold",
    connections_fit_descriptors_and_memory },
};

int
main (void)
{
  return test_main ("memory-budget", tests, TEST_COUNT (tests));
}
