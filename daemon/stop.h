/**
 * DOC: stop.h - signals and graceful shutdown ("planned stop") of a daemon
 *
 * The main thread only waits for signals. The first SIGTERM or SIGINT starts a planned
 * stop, in which the process drains its requests; a second one or the stop limit ends it
 * early. SIGHUP is ignored, and logged unless a stop is in progress.
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

/**
 * burdock_stop_wait() - waits for a signal to stop and then for the end of the stop
 * @limit_ms: longest time from the first signal to the return
 * @start_drain: called once, on the calling thread, at the first signal
 * Returns true if the process was drained, false if the stop ended early.
 */
bool burdock_stop_wait (uint32_t limit_ms, void (*start_drain) (void *ctx), void *ctx);

#endif
