/**
 * DOC: loop.h - single-threaded event loop on an apr_pollset
 *
 * A loop belongs to the thread that runs it; only burdock_loop_post() and
 * burdock_loop_stop() may be called from other threads.
 */
#ifndef BURDOCK_LOOP_H
#define BURDOCK_LOOP_H

#include <apr_poll.h>
#include <apr_pools.h>
#include <stdbool.h>
#include <stdint.h>

#define BURDOCK_LOOP_NEVER_US UINT64_MAX

typedef struct BurdockLoop BurdockLoop;

typedef void (*BurdockLoopFunction) (void *ctx);

/**
 * typedef BurdockLoopHook - called in each iteration before the loop waits for events
 * Returns the time on the burdock_loop_now_us() clock at which it must run again, or
 * BURDOCK_LOOP_NEVER_US.
 */
typedef uint64_t (*BurdockLoopHook) (void *ctx, uint64_t now_us);

/**
 * struct BurdockLoopSource - a socket watched by the loop
 * @ready: called with APR_POLLIN, APR_POLLOUT, APR_POLLERR and APR_POLLHUP bits
 * The memory must stay valid until the end of the loop iteration that removes the source:
 * release it from a function posted with burdock_loop_post().
 */
typedef struct {
  void (*ready) (void *ctx, int16_t events);
  void *ctx;
  apr_socket_t *socket;
  apr_pollfd_t watch;
  bool active;
} BurdockLoopSource;

BurdockLoop *burdock_loop_new (void);
void burdock_loop_free (BurdockLoop *loop);

/** burdock_loop_pool() - APR pool with the lifetime of the loop, for its thread only */
apr_pool_t *burdock_loop_pool (BurdockLoop *loop);

/** burdock_loop_now_us() - monotonic time, which counts that of a suspended machine */
uint64_t burdock_loop_now_us (void);

/** burdock_loop_watch() - sets the events to wait for; 0 removes the source. Returns 0 or
 * -EIO */
int burdock_loop_watch (BurdockLoop *loop, BurdockLoopSource *source, int16_t events);

/** burdock_loop_add_hook() - adds a hook; hooks run in the order of adding, at most 8 */
void burdock_loop_add_hook (BurdockLoop *loop, BurdockLoopHook hook, void *ctx);

/** burdock_loop_wake_at() - requests, from within a hook, the next loop iteration at
 * @at_us or earlier */
void burdock_loop_wake_at (BurdockLoop *loop, uint64_t at_us);

/** burdock_loop_post() - queues @function to run on the thread of the loop, in order of
 * posting; callable from any thread */
void burdock_loop_post (BurdockLoop *loop, BurdockLoopFunction function, void *ctx);

/**
 * burdock_loop_run_posted() - runs the posted functions once the loop's thread has ended
 * Returns whether any were posted. Functions posted later run in burdock_loop_free().
 */
bool burdock_loop_run_posted (BurdockLoop *loop);

/** burdock_loop_run() - runs until burdock_loop_stop() */
void burdock_loop_run (BurdockLoop *loop);

/** burdock_loop_stop() - makes burdock_loop_run() return; callable from any thread */
void burdock_loop_stop (BurdockLoop *loop);

#endif
