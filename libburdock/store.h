/**
 * DOC: store.h - the only way of the library to the table service and object store
 *
 * Applies deadlines, a budget of reads and writes, jittered backoff and the settlement of
 * ambiguous writes. A conditional write whose answer was lost is read back; if the row is
 * unchanged the same conditional write is issued again, which is safe because it can take
 * effect once only. The callback gets -ETIMEDOUT only when the deadline passes first, and
 * must then treat the outcome as unknown.
 */
#ifndef BURDOCK_STORE_H
#define BURDOCK_STORE_H

#include "burdock.h"
#include "counters.h"

typedef struct BurdockStore BurdockStore;

/** typedef BurdockStoreDone - called once for each call, never from within the call */
typedef void (*BurdockStoreDone) (void *ctx, const BurdockStoreResult *result);

/**
 * struct BurdockStoreLimits - budget of one process
 * @reads_per_s: sustained reads; bursts up to one second's worth, at least one call
 * @writes_per_s: the same for writes
 * @queue_limit: calls that are open at a time; more are refused with -EAGAIN
 */
typedef struct {
  double reads_per_s;
  double writes_per_s;
  uint32_t queue_limit;
} BurdockStoreLimits;

BurdockStore *burdock_store_new (const BurdockEnv *env, BurdockCounters *counters);

/** burdock_store_free() - calls still open are dropped without a callback */
void burdock_store_free (BurdockStore *store);
void burdock_store_set_limits (BurdockStore *store, const BurdockStoreLimits *limits);

/* All calls copy their arguments and return 0, or -EAGAIN when the queue is full. */
int burdock_store_get (BurdockStore *store, const char *key, uint32_t deadline_ms,
                       BurdockStoreDone done, void *ctx);

/**
 * burdock_store_put_if() - transaction of conditional writes
 * The value of the first put must be unique to this write (it holds an attempt id), since
 * the read-back recognises the write by it. @done gets 0 with the version written,
 * -EEXIST with the row that was found, -ETIMEDOUT for an outcome that is not known, or
 * -EAGAIN when the deadline passed and the write has not and will not take effect.
 */
int burdock_store_put_if (BurdockStore *store, const BurdockStorePut *puts,
                          uint32_t put_count, uint32_t deadline_ms, BurdockStoreDone done,
                          void *ctx);
int burdock_store_object_get (BurdockStore *store, const char *key, uint32_t deadline_ms,
                              BurdockStoreDone done, void *ctx);
int burdock_store_object_put (BurdockStore *store, const char *key, BurdockBytes body,
                              uint32_t deadline_ms, BurdockStoreDone done, void *ctx);
int burdock_store_instances (BurdockStore *store, uint32_t deadline_ms,
                             BurdockStoreDone done, void *ctx);

/** burdock_store_handle_result() - takes a result of env->store */
void burdock_store_handle_result (BurdockStore *store, const BurdockStoreResult *result);

/** burdock_store_tick() - runs due work; returns the next due time in microseconds */
uint64_t burdock_store_tick (BurdockStore *store);

/** burdock_store_available() - whether the last call ended with an answer of the store */
bool burdock_store_available (const BurdockStore *store);

#endif
