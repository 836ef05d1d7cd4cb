/**
 * DOC: stop.h - signals and graceful shutdown ("planned stop") of a daemon
 *
 * The main thread only waits for signals. The first SIGTERM or SIGINT starts a planned
 * stop, in which the process drains its requests. At the stop limit, or at SIGINT in the
 * stop, it gives up those that still run. A repeated SIGTERM is logged and ignored, as a
 * platform may repeat it until the process has ended. SIGHUP is ignored, and logged
 * unless a stop is in progress.
 */
#ifndef BURDOCK_STOP_H
#define BURDOCK_STOP_H

#include <stdbool.h>
#include <stdint.h>

/** burdock_stop_block_signals() - blocks the signals of a stop and ignores SIGPIPE; must
 * be called before threads are started, as they inherit the mask */
void burdock_stop_block_signals (void);

/** burdock_stop_notify_drained() - notifies burdock_stop_wait() that the process is
 * drained;
 * callable from any thread */
void burdock_stop_notify_drained (void);

/* Time for the last answers of a planned stop: the last phase of stop-policy.h, and some
 * hundred answers on an instance with a quarter of a core. */
#define BURDOCK_STOP_FINISH_MS 450

/**
 * struct BurdockStop - what a daemon does in a planned stop; the functions are called on
 * the thread of burdock_stop_wait()
 * @limit_ms: time from the first signal until requests that still run are given up
 * @finish_ms: time for the last answers to be written after that
 * @drain: called at the first signal
 * @finish: called if the process is not drained at the limit, or at SIGINT; ends the open
 *   requests and has burdock_stop_notify_drained() called. May be NULL
 */
typedef struct {
  void *ctx;
  uint32_t limit_ms;
  uint32_t finish_ms;
  void (*drain) (void *ctx);
  void (*finish) (void *ctx);
} BurdockStop;

/**
 * burdock_stop_wait() - waits for a signal to stop and then for the end of the stop
 * Returns true if the process was drained, false if requests were given up.
 */
bool burdock_stop_wait (const BurdockStop *stop);

#endif
