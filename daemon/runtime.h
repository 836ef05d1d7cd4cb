/**
 * DOC: runtime.h - event loop, transport, clients and clocks that a library object uses
 */
#ifndef BURDOCK_RUNTIME_H
#define BURDOCK_RUNTIME_H

#include "burdock.h"
#include "engine.h"
#include "http-client.h"
#include "loop.h"
#include "http-store.h"
#include "transport.h"

/**
 * struct BurdockRuntime - context of the callbacks in &BurdockEnv
 * @transport: created by the caller, NULL without one; released with the runtime
 * @store: as @transport; NULL where the role does not use the store
 * @engine: as @transport; NULL where the role has no upstream
 * @random_state: state of burdock_runtime_random()
 * @thread: thread that runs the loop, NULL while there is none
 */
typedef struct {
  BurdockLoop *loop;
  BurdockHttpClient *client;
  BurdockTransport *transport;
  BurdockHttpStore *store;
  BurdockEngine *engine;
  uint64_t random_state[4];
  struct apr_thread_t *thread;
} BurdockRuntime;

/** burdock_runtime_init() - creates loop and HTTP client and seeds the random number
 * generator; returns 0, -EIO or -ENOMEM */
int burdock_runtime_init (BurdockRuntime *runtime);

/** burdock_runtime_clear() - releases everything; the thread must have ended */
void burdock_runtime_clear (BurdockRuntime *runtime);

/** burdock_runtime_env() - environment of a library object, with @runtime as its context
 */
BurdockEnv burdock_runtime_env (BurdockRuntime *runtime);

/** burdock_runtime_random() - next pseudorandom number; not for keys */
uint64_t burdock_runtime_random (BurdockRuntime *runtime);

/** burdock_runtime_start() - runs the loop on a new thread; returns 0 or -EAGAIN */
int burdock_runtime_start (BurdockRuntime *runtime);

/** burdock_runtime_stop() - stops the loop and joins its thread */
void burdock_runtime_stop (BurdockRuntime *runtime);

/** burdock_runtime_metrics() - CPU time and memory of the process in the Prometheus text
 * format; to be released with free(), NULL without memory */
char *burdock_runtime_metrics (void);

#endif
