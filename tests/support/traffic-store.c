/* Fake of store.h for scripted tests: passes each call on to the environment, without
 * rate limits or retries. */
#include "traffic.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define CALLS_MAX 1024

struct BurdockStore {
  const BurdockEnv *env;
  uint64_t next_id;
  struct {
    uint64_t id;
    BurdockStoreDone done;
    void *ctx;
  } calls[CALLS_MAX];
};

BurdockStore *
burdock_store_new (const BurdockEnv *env, BurdockCounters *counters)
{
  BurdockStore *store = calloc (1, sizeof *store);

  (void)counters;
  store->env = env;
  return store;
}

void
burdock_store_free (BurdockStore *store)
{
  free (store);
}

int
burdock_store_put_if (BurdockStore *store, const BurdockStorePut *puts,
                      uint32_t put_count, uint32_t deadline_ms, BurdockStoreDone done,
                      void *ctx)
{
  BurdockStoreCall call = { .id = ++store->next_id,
                            .op = BURDOCK_STORE_ROW_PUT_IF,
                            .put_count = put_count,
                            .timeout_ms = deadline_ms };

  if (store->calls[call.id % CALLS_MAX].done != NULL)
    return -EAGAIN;
  store->calls[call.id % CALLS_MAX].id = call.id;
  store->calls[call.id % CALLS_MAX].done = done;
  store->calls[call.id % CALLS_MAX].ctx = ctx;
  memcpy (call.puts, puts, put_count * sizeof *puts);
  return store->env->store (store->env->ctx, &call);
}

void
burdock_store_handle_result (BurdockStore *store, const BurdockStoreResult *result)
{
  BurdockStoreDone done = store->calls[result->id % CALLS_MAX].done;

  if (done == NULL || store->calls[result->id % CALLS_MAX].id != result->id)
    return;
  store->calls[result->id % CALLS_MAX].done = NULL;
  done (store->calls[result->id % CALLS_MAX].ctx, result);
}

uint64_t
burdock_store_era (const BurdockStore *store)
{
  (void)store;
  return 0;
}

uint64_t
burdock_store_tick (BurdockStore *store)
{
  (void)store;
  return UINT64_MAX;
}

void
burdock_store_set_limits (BurdockStore *store, const BurdockStoreLimits *limits)
{
  (void)store;
  (void)limits;
}
