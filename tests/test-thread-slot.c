#include "slot.h"
#include "test.h"

#include <pthread.h>
#include <stdint.h>
#include <stdlib.h>

#define VALUES 20000

/* Two equal numbers: a reader that gets the pointer before the writer's stores are
 * visible finds them different. */
typedef struct {
  uint64_t number;
  uint64_t copy;
} Pair;

typedef struct {
  BurdockSlot slot;
  uint64_t replaced;
} Shared;

static void *
write_pairs (void *ctx)
{
  Shared *shared = ctx;

  for (uint64_t i = 1; i <= VALUES; i++) {
    Pair *pair = malloc (sizeof *pair);
    Pair *old;

    pair->number = i;
    pair->copy = i;
    old = burdock_slot_put (&shared->slot, pair);
    shared->replaced += old != NULL;
    free (old);
  }
  return NULL;
}

/* Guards against wrong memory ordering in the slot: a reader would see a partly written
 * value, or take a value twice, out of order or never. */
static void
newest_value_arrives_complete_and_in_order (void)
{
  Shared shared = { .slot = { .value = NULL } };
  pthread_t writer;
  uint64_t last = 0;
  uint64_t taken = 0;

  CU_ASSERT_EQUAL_FATAL (pthread_create (&writer, NULL, write_pairs, &shared), 0);
  while (last < VALUES) {
    Pair *pair = burdock_slot_take (&shared.slot);

    if (pair == NULL)
      continue;
    CU_ASSERT_TRUE (pair->number > last);
    CU_ASSERT_EQUAL (pair->number, pair->copy);
    last = pair->number;
    taken++;
    free (pair);
  }
  pthread_join (writer, NULL);
  CU_ASSERT_EQUAL (taken + shared.replaced, VALUES);
  CU_ASSERT_PTR_NULL (burdock_slot_take (&shared.slot));
}

static const Test tests[] = {
  { "a value is read partly written, twice, out of order or lost",
    newest_value_arrives_complete_and_in_order },
};

int
main (void)
{
  return test_main ("thread-slot", tests, TEST_COUNT (tests));
}
