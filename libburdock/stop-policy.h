/**
 * DOC: stop-policy.h - which requests a process takes during a planned stop, and when it
 * may end
 *
 * A stop has an end that does not move. Until then the process serves callers who still
 * know its address, but it takes a request only if the request ends before the stop does:
 * a request that is refused at once can be sent elsewhere, one that is cut off may have
 * run.
 */
#ifndef BURDOCK_STOP_POLICY_H
#define BURDOCK_STOP_POLICY_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct BurdockStopPolicy - a planned stop; all zero before it
 * @stopping: the stop has begun
 * @began_us: start of the stop
 * @end_us: time at which requests that still run are given up
 */
typedef struct {
  bool stopping;
  uint64_t began_us;
  uint64_t end_us;
} BurdockStopPolicy;

/** burdock_stop_policy_begin() - begins a stop that lasts until @end_us */
void burdock_stop_policy_begin (BurdockStopPolicy *stop, uint64_t now_us,
                                uint64_t end_us);

/**
 * burdock_stop_policy_admits() - whether a request may be taken
 * @deadline_us: time at which the request is answered at the latest
 */
bool burdock_stop_policy_admits (const BurdockStopPolicy *stop, uint64_t deadline_us);

#endif
