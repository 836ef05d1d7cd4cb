/**
 * DOC: fake-store.h - in-memory table service, object store and instance list for tests
 *
 * Applies one call at a time and injects no faults; the test decides when a call takes
 * effect and whether its answer is delivered.
 */
#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include "burdock.h"

/**
 * struct FakeRow - row or object
 * @version: number of writes
 */
typedef struct {
  char *key;
  uint8_t *value;
  uint32_t value_bytes;
  uint64_t version;
} FakeRow;

/**
 * struct FakeStore - content of the store
 * @instances: instance list, owned by the test
 * @era: in all answers; rises with each restore
 */
typedef struct {
  uint64_t era;
  uint32_t row_count;
  FakeRow *rows;
  uint32_t instance_count;
  const BurdockInstance *instances;
} FakeStore;

void fake_store_init (FakeStore *store);
void fake_store_clear (FakeStore *store);

/** fake_store_apply() - applies a call; @out borrows from @store until the next call */
void fake_store_apply (FakeStore *store, const BurdockStoreCall *call,
                       BurdockStoreResult *out);

/** fake_store_row() - row or object with @key, or NULL */
const FakeRow *fake_store_row (const FakeStore *store, const char *key);

/** fake_store_copy() - copies the rows, to be released with fake_store_clear() */
void fake_store_copy (const FakeStore *store, FakeStore *copy);

/** fake_store_restore() - replaces the rows by those of a copy, in a new era */
void fake_store_restore (FakeStore *store, const FakeStore *copy);

/** fake_call_copy() - deep copy of a call, to be released with fake_call_free() */
BurdockStoreCall *fake_call_copy (const BurdockStoreCall *call);
void fake_call_free (BurdockStoreCall *call);

#endif
