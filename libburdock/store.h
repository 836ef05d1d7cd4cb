/**
 * DOC: store.h - client of the platform's table service, object store and instance list
 *
 * All store calls of the library go through this client. It applies deadlines, rate
 * limits for reads and writes, and retries with jittered backoff, and it resolves
 * ambiguous writes: if the answer to a conditional write is lost, the row is read back;
 * if it is unchanged, the same conditional write is issued again, which is safe as it can
 * take effect only once. The callback gets -ETIMEDOUT if the deadline passes first, or if
 * the rows were overwritten so that the outcome cannot be determined; it must then treat
 * the outcome as unknown.
 *
 * A store that returns from a copy gives versions out again, in a higher era. Answers of
 * an earlier era than the highest one known count as lost, and the outcome of a write
 * that was started in an earlier era is unknown unless its row holds the value.
 */
#ifndef BURDOCK_STORE_H
#define BURDOCK_STORE_H

#include "burdock.h"
#include "counters.h"

typedef struct BurdockStore BurdockStore;

/**
 * typedef BurdockStoreDone - reports the result of a call
 * Called once for each call, but not from the function that starts it, and not at all if
 * that function returns an error. @result is valid during the callback only.
 */
typedef void (*BurdockStoreDone) (void *ctx, const BurdockStoreResult *result);

/**
 * struct BurdockStoreLimits - rate limits of one client
 * @reads_per_s: sustained rate of reads, in calls; bursts of up to one second's
 *   worth, but at least one call
 * @writes_per_s: the same for writes
 * @queue_limit: unfinished calls at a time; further ones are refused with -EAGAIN
 */
typedef struct {
  double reads_per_s;
  double writes_per_s;
  uint32_t queue_limit;
} BurdockStoreLimits;

/** burdock_store_new() - keeps pointers to @env and @counters, which must outlive it */
BurdockStore *burdock_store_new (const BurdockEnv *env, BurdockCounters *counters);

/** burdock_store_free() - drops unfinished calls without a callback; NULL is allowed */
void burdock_store_free (BurdockStore *store);
void burdock_store_set_limits (BurdockStore *store, const BurdockStoreLimits *limits);

/* The functions that start a call copy their arguments. @deadline_ms is the time in which
 * the call must finish, retries included; @done may be NULL. They return 0, or -EAGAIN if
 * the queue is full. */

/** burdock_store_get() - reads a row */
int burdock_store_get (BurdockStore *store, const char *key, uint32_t deadline_ms,
                       BurdockStoreDone done, void *ctx);

/**
 * burdock_store_put_if() - transaction of conditional writes
 * @puts: 1 to BURDOCK_STORE_PUTS_MAX writes, otherwise -EINVAL is returned. The value of
 *   the first one must be unique to this write (it holds an attempt id), as the read-back
 *   recognises the write by it
 * @done: gets 0 with the version written, -EEXIST with the row that was found, -ETIMEDOUT
 *   if the outcome is unknown, or -EAGAIN if the deadline passed and the write has not
 *   taken effect and will not
 */
int burdock_store_put_if (BurdockStore *store, const BurdockStorePut *puts,
                          uint32_t put_count, uint32_t deadline_ms, BurdockStoreDone done,
                          void *ctx);

/** burdock_store_object_get() - reads an object */
int burdock_store_object_get (BurdockStore *store, const char *key, uint32_t deadline_ms,
                              BurdockStoreDone done, void *ctx);

/** burdock_store_object_put() - writes an object, whose key must be its hash */
int burdock_store_object_put (BurdockStore *store, const char *key, BurdockBytes body,
                              uint32_t deadline_ms, BurdockStoreDone done, void *ctx);

/** burdock_store_instances() - reads the platform's list of instances */
int burdock_store_instances (BurdockStore *store, uint32_t deadline_ms,
                             BurdockStoreDone done, void *ctx);

/** burdock_store_handle_result() - handles the result of a call started by env->store */
void burdock_store_handle_result (BurdockStore *store, const BurdockStoreResult *result);

/** burdock_store_tick() - runs due work; returns the next due time by env->now_us */
uint64_t burdock_store_tick (BurdockStore *store);

/** burdock_store_available() - whether the store answered when it was last called; false
 * before the first call */
bool burdock_store_available (const BurdockStore *store);

/** burdock_store_era() - highest era of the store that is known, 0 for none */
uint64_t burdock_store_era (const BurdockStore *store);

#endif
