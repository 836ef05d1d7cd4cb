/**
 * DOC: rate-share.h - share of a gateway in the rate limit of one upstream
 *
 * The limit of an upstream holds for all gateways together. Each gateway keeps the level
 * of a leaky bucket that the requests of all gateways fill: its own at once, those of the
 * others when their reports arrive. The room in the bucket is divided by the demand of
 * the gateways and becomes credit, at a rate that uses it up once per report interval, so
 * that gateways that see the same room do not all use it. Fractions of a request are
 * granted at random, since all gateways would reach a whole one at the same time.
 * Performs no I/O.
 */
#ifndef BURDOCK_RATE_SHARE_H
#define BURDOCK_RATE_SHARE_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct BurdockRateShare - limit of an upstream, and this gateway's credit
 * @limited: the upstream names a limit
 * @limit_per_s: requests per second from all gateways together
 * @stated_us: when it was last named, or was no longer named
 * @level: requests in the bucket
 * @credit: requests that this gateway may send now
 * @credit_left_us: time until unused credit expires
 * @unreported: requests sent since the last report
 */
typedef struct {
  bool limited;
  double limit_per_s;
  uint64_t stated_us;
  double level;
  uint32_t credit;
  uint64_t credit_left_us;
  uint32_t unreported;
} BurdockRateShare;

/**
 * burdock_rate_share_state() - applies what an upstream stated at @at_us
 * @per_s: limit, negative for none
 *
 * An older statement than the one known is ignored. Returns whether the limit changed.
 */
bool burdock_rate_share_state (BurdockRateShare *share, double per_s, uint64_t at_us);

/** burdock_rate_share_allows() - whether a request may be sent now */
bool burdock_rate_share_allows (const BurdockRateShare *share, uint64_t interval_us);

/** burdock_rate_share_sent() - counts a request of this gateway */
void burdock_rate_share_sent (BurdockRateShare *share);

/** burdock_rate_share_peer_sent() - counts requests that another gateway reported */
void burdock_rate_share_peer_sent (BurdockRateShare *share, uint32_t count);

/**
 * burdock_rate_share_advance() - empties the bucket and grants credit
 * @weight: demand of this gateway as a part of the demand of all
 * @interval_us: time between the reports of a gateway
 * @elapsed_us: time since the last call
 * @random: uniformly distributed in [0, 1)
 */
void burdock_rate_share_advance (BurdockRateShare *share, double weight,
                                 uint64_t interval_us, uint64_t elapsed_us,
                                 double random);

#endif
