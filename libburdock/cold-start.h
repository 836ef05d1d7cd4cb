/**
 * DOC: cold-start.h - until when an upstream is cold, and when this gateway may send to
 * it
 *
 * An upstream that has just started handles only a low rate of requests for a time and
 * crashes well above it. All gateways together, also those that are cut off from each
 * other, must stay under a bound in any second. Each gateway therefore takes an equal,
 * fixed part of a lower rate, by the largest number of gateways that it has known; it
 * needs no report of the others to keep to it. A request needs a permit. Permits of a
 * gateway come at regular intervals from a random start, and expire soon, so that the
 * gateways do not save up a burst. Performs no I/O.
 *
 * Designed for up to 512 gateways and for any number of cold upstreams.
 */
#ifndef BURDOCK_COLD_START_H
#define BURDOCK_COLD_START_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct BurdockColdLimit - what the cold upstreams of a pool take
 * @start_us: time for which an upstream is cold after its start, 0 if it never is
 * @per_s: requests per second that a cold upstream takes, 0 for no limit
 */
typedef struct {
  uint64_t start_us;
  double per_s;
} BurdockColdLimit;

/**
 * struct BurdockColdFleet - number of gateways that share the rate
 * @most: largest number of gateways known at the same time, this one included
 * @heard_since_us: since when other gateways are heard, 0 if none is
 */
typedef struct {
  uint32_t most;
  uint64_t heard_since_us;
} BurdockColdFleet;

/**
 * struct BurdockColdRow - what a listed row says of an upstream
 * @born_ms: time of day at which it started, 0 if it is not known
 * @version: version of the row; a row with a known version says nothing new
 * @read_us: when the row was read
 * @has_left: the row states @left_ms
 * @left_ms: time for which the upstream is still cold
 */
typedef struct {
  uint64_t born_ms;
  uint64_t version;
  uint64_t read_us;
  bool has_left;
  uint64_t left_ms;
} BurdockColdRow;

/**
 * struct BurdockColdStart - state of one upstream at this gateway
 * @row_known: a row was applied, with @born_ms and @version
 * @stated_us: end of the cold time according to a row or an answer, 0 for none
 * @restarted_us: when a start without a stated time was seen, 0 for none
 * @began_us: when the present cold time began, 0 while it is warm
 * @period_us: time between two permits, 0 if there are none
 * @permit_us: start of the present or next permit, 0 before the first one
 */
typedef struct {
  bool row_known;
  uint64_t born_ms;
  uint64_t version;
  uint64_t stated_us;
  uint64_t restarted_us;
  uint64_t began_us;
  uint64_t period_us;
  uint64_t permit_us;
} BurdockColdStart;

/**
 * burdock_cold_rate_per_s() - requests per second that all gateways together send to a
 * cold upstream, so that the bound of a second is kept
 * @per_s: requests per second that the upstream takes
 * @overage: the bound is @per_s times @overage plus @allowance
 */
double burdock_cold_rate_per_s (double per_s, double overage, double allowance);

/** burdock_cold_fleet_update() - @peers other gateways are heard now */
void burdock_cold_fleet_update (BurdockColdFleet *fleet, uint32_t peers, uint64_t now_us);

/**
 * burdock_cold_fleet_gateways() - number of gateways that share a rate
 * @interval_us: time between the heartbeats of a gateway
 */
uint32_t burdock_cold_fleet_gateways (const BurdockColdFleet *fleet, uint64_t interval_us,
                                      uint64_t now_us);

/**
 * burdock_cold_start_apply_row() - applies the row of an upstream
 * @started_lately: the upstream is listed for the first time, and has started after all
 *   others that were listed before
 */
void burdock_cold_start_apply_row (BurdockColdStart *cold, const BurdockColdRow *row,
                                   bool started_lately);

/** burdock_cold_start_apply_answer() - an answer of the upstream states that it is cold
 * for another @left_ms */
void burdock_cold_start_apply_answer (BurdockColdStart *cold, uint64_t left_ms,
                                      uint64_t now_us);

/** burdock_cold_start_until_us() - end of the cold time, not after the present time if
 * the upstream is warm */
uint64_t burdock_cold_start_until_us (const BurdockColdStart *cold,
                                      const BurdockColdLimit *limit);

/** burdock_cold_start_is_slow() - whether slow answers are to be expected: the upstream
 * is cold, or was until just now */
bool burdock_cold_start_is_slow (const BurdockColdStart *cold,
                                 const BurdockColdLimit *limit, uint64_t now_us);

/** burdock_cold_start_remaining() - part of the cold time that is left, from 1 to 0 */
double burdock_cold_start_remaining (const BurdockColdStart *cold,
                                     const BurdockColdLimit *limit, uint64_t now_us);

/**
 * burdock_cold_start_advance() - starts and ends the cold time, and issues permits
 * @rate_per_s: requests per second of this gateway, 0 for none
 * @random: uniformly distributed in [0, 1)
 *
 * To be called every 50 ms. Returns whether the upstream has become cold or warm.
 */
bool burdock_cold_start_advance (BurdockColdStart *cold, const BurdockColdLimit *limit,
                                 double rate_per_s, uint64_t now_us, double random);

/** burdock_cold_start_allows() - whether a request may be sent now; true while warm */
bool burdock_cold_start_allows (const BurdockColdStart *cold,
                                const BurdockColdLimit *limit, uint64_t now_us);

/** burdock_cold_start_sent() - counts a request that this gateway sends */
void burdock_cold_start_sent (BurdockColdStart *cold);

/** burdock_cold_start_handed_back() - a request was answered by 421 and does not count */
void burdock_cold_start_handed_back (BurdockColdStart *cold, uint64_t now_us);

/** burdock_cold_start_opens_us() - when the upstream takes the next request of this
 * gateway, not after @now_us if it does so now */
uint64_t burdock_cold_start_opens_us (const BurdockColdStart *cold,
                                      const BurdockColdLimit *limit, uint64_t now_us);

#endif
