#include "loop.h"

#include <errno.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <time.h>

#define EVENTS_PER_ITERATION 1024
#define HOOKS_MAX 8
#define US_PER_S UINT64_C (1000000)
#define NS_PER_US 1000

/* Bounds the wait so that a lost wake-up cannot block a loop forever. */
#define WAIT_MAX_US US_PER_S

typedef struct Closure {
  struct Closure *next;
  BurdockLoopFunction function;
  void *ctx;
} Closure;

typedef struct {
  BurdockLoopHook run;
  void *ctx;
} Hook;

struct BurdockLoop {
  apr_pool_t *pool;
  apr_pollset_t *pollset;
  _Atomic (Closure *) posted;
  atomic_bool stopped;
  uint64_t wake_us;
  uint32_t hook_count;
  Hook hooks[HOOKS_MAX];
};

BurdockLoop *
burdock_loop_new (void)
{
  BurdockLoop *loop = calloc (1, sizeof *loop);

  if (loop == NULL || apr_pool_create (&loop->pool, NULL) != APR_SUCCESS) {
    free (loop);
    return NULL;
  }
  if (apr_pollset_create (&loop->pollset, EVENTS_PER_ITERATION, loop->pool,
                          APR_POLLSET_WAKEABLE | APR_POLLSET_NOCOPY) != APR_SUCCESS) {
    apr_pool_destroy (loop->pool);
    free (loop);
    return NULL;
  }
  return loop;
}

/* Detaches the closures posted so far; returns them oldest first. */
static Closure *
take_posted (BurdockLoop *loop)
{
  Closure *newest = atomic_exchange (&loop->posted, NULL);
  Closure *oldest = NULL;

  while (newest != NULL) {
    Closure *next = newest->next;

    newest->next = oldest;
    oldest = newest;
    newest = next;
  }
  return oldest;
}

static bool
run_posted (BurdockLoop *loop)
{
  Closure *closure = take_posted (loop);
  bool any = closure != NULL;

  while (closure != NULL) {
    Closure *next = closure->next;

    closure->function (closure->ctx);
    free (closure);
    closure = next;
  }
  return any;
}

bool
burdock_loop_run_posted (BurdockLoop *loop)
{
  return run_posted (loop);
}

void
burdock_loop_free (BurdockLoop *loop)
{
  if (loop == NULL)
    return;
  while (run_posted (loop))
    ;
  apr_pollset_destroy (loop->pollset);
  apr_pool_destroy (loop->pool);
  free (loop);
}

apr_pool_t *
burdock_loop_pool (BurdockLoop *loop)
{
  return loop->pool;
}

uint64_t
burdock_loop_now_us (void)
{
  struct timespec now;

  /* Counts the time in which the machine is suspended, unlike CLOCK_MONOTONIC: a lease,
   * or what is known of other processes, may have expired meanwhile. */
  clock_gettime (CLOCK_BOOTTIME, &now);
  return (uint64_t)now.tv_sec * US_PER_S + (uint64_t)now.tv_nsec / NS_PER_US;
}

int
burdock_loop_watch (BurdockLoop *loop, BurdockLoopSource *source, int16_t events)
{
  if (source->active && source->watch.reqevents == events)
    return 0;
  if (source->active)
    apr_pollset_remove (loop->pollset, &source->watch);
  source->active = false;
  if (events == 0)
    return 0;
  source->watch = (apr_pollfd_t){ .p = loop->pool,
                                  .desc_type = APR_POLL_SOCKET,
                                  .reqevents = events,
                                  .desc.s = source->socket,
                                  .client_data = source };
  if (apr_pollset_add (loop->pollset, &source->watch) != APR_SUCCESS)
    return -EIO;
  source->active = true;
  return 0;
}

void
burdock_loop_add_hook (BurdockLoop *loop, BurdockLoopHook hook, void *ctx)
{
  if (loop->hook_count == HOOKS_MAX)
    abort ();
  loop->hooks[loop->hook_count++] = (Hook){ hook, ctx };
}

void
burdock_loop_wake_at (BurdockLoop *loop, uint64_t at_us)
{
  if (at_us < loop->wake_us)
    loop->wake_us = at_us;
}

void
burdock_loop_post (BurdockLoop *loop, BurdockLoopFunction function, void *ctx)
{
  Closure *closure = malloc (sizeof *closure);
  Closure *head = atomic_load (&loop->posted);

  if (closure == NULL)
    abort ();
  *closure = (Closure){ .function = function, .ctx = ctx };
  do {
    closure->next = head;
  } while (!atomic_compare_exchange_weak (&loop->posted, &head, closure));
  if (head == NULL)
    apr_pollset_wakeup (loop->pollset);
}

static uint64_t
run_hooks (BurdockLoop *loop)
{
  uint64_t now_us = burdock_loop_now_us ();

  loop->wake_us = now_us + WAIT_MAX_US;
  for (uint32_t i = 0; i < loop->hook_count; i++)
    burdock_loop_wake_at (loop, loop->hooks[i].run (loop->hooks[i].ctx, now_us));
  return loop->wake_us;
}

static void
wait_for_events (BurdockLoop *loop, uint64_t until_us)
{
  uint64_t now_us = burdock_loop_now_us ();
  const apr_pollfd_t *ready = NULL;
  apr_int32_t count = 0;
  apr_interval_time_t timeout_us =
      until_us > now_us ? (apr_interval_time_t)(until_us - now_us) : 0;

  /* apr_pollset_poll() rounds the timeout down to milliseconds, which would turn the last
   * millisecond of a wait into a busy loop. */
  if (timeout_us > 0 && timeout_us < 1000)
    timeout_us = 1000;
  if (atomic_load (&loop->posted) != NULL)
    timeout_us = 0;
  if (apr_pollset_poll (loop->pollset, timeout_us, &count, &ready) != APR_SUCCESS)
    return;
  for (apr_int32_t i = 0; i < count; i++) {
    BurdockLoopSource *source = ready[i].client_data;

    if (source->active)
      source->ready (source->ctx, ready[i].rtnevents);
  }
}

void
burdock_loop_run (BurdockLoop *loop)
{
  while (!atomic_load (&loop->stopped)) {
    uint64_t next_us = run_hooks (loop);

    wait_for_events (loop, next_us);
    run_posted (loop);
  }
  atomic_store (&loop->stopped, false);
}

void
burdock_loop_stop (BurdockLoop *loop)
{
  atomic_store (&loop->stopped, true);
  apr_pollset_wakeup (loop->pollset);
}
