/**
 * DOC: stop-policy.h - which requests a process takes during a planned stop, and when it
 * may end
 *
 * A stop has an end that does not move. Until then the process serves callers who still
 * know its address, but it takes a request only if the request ends before the stop does:
 * a request that is refused at once can be sent elsewhere, one that is cut off may have
 * run.
 *
 * Before the process ends it closes its listening socket and refuses what still comes
 * over open connections, until nothing has come for a while, so that a request that was
 * on its way gets an answer instead of a closed connection.
 */
#ifndef BURDOCK_STOP_POLICY_H
#define BURDOCK_STOP_POLICY_H

#include <stdbool.h>
#include <stdint.h>

/** enum BurdockStopPhase - progress of a planned stop */
typedef enum {
  BURDOCK_STOP_NONE,     /* all requests are taken */
  BURDOCK_STOP_DRAINING, /* requests are taken that end before the stop */
  BURDOCK_STOP_CLOSING,  /* no connection is accepted and no request is taken */
  BURDOCK_STOP_ENDED,    /* nothing is left to answer */
} BurdockStopPhase;

/**
 * struct BurdockStopPolicy - a planned stop; all zero before it
 * @began_us: start of the stop
 * @accepts_until_us: end of the time in which connections are accepted in any case
 * @end_us: time at which requests that still run are given up
 * @busy_us: while closing, last time at which something was left to answer
 */
typedef struct {
  BurdockStopPhase phase;
  uint64_t began_us;
  uint64_t accepts_until_us;
  uint64_t end_us;
  uint64_t busy_us;
} BurdockStopPolicy;

/** burdock_stop_policy_begin() - begins a stop that lasts until @end_us */
void burdock_stop_policy_begin (BurdockStopPolicy *stop, uint64_t now_us,
                                uint64_t end_us);

/**
 * burdock_stop_policy_admits() - whether a request may be taken
 * @deadline_us: time at which the request is answered at the latest
 */
bool burdock_stop_policy_admits (const BurdockStopPolicy *stop, uint64_t deadline_us);

/** burdock_stop_policy_left_ms() - time until the process may end, if nothing runs */
uint32_t burdock_stop_policy_left_ms (const BurdockStopPolicy *stop, uint64_t now_us);

/**
 * burdock_stop_policy_close() - begins the last phase at once, as requests that still ran
 * have been given up
 */
void burdock_stop_policy_close (BurdockStopPolicy *stop, uint64_t now_us);

/**
 * burdock_stop_policy_update() - moves on to the next phase when it is due
 * @busy: a request is open, or a caller has sent what has not been read
 * Returns the time of the next call unless something changes, UINT64_MAX for none.
 */
uint64_t burdock_stop_policy_update (BurdockStopPolicy *stop, bool busy, uint64_t now_us);

#endif
