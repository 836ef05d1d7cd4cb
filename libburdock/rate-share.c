#include "rate-share.h"

#define US_PER_S 1e6

/* An upstream that takes nothing is tried at this rate, to learn when it takes requests
 * again. */
#define LIMIT_MIN_PER_S 0.1

/* Credit expires after this time, or after a report interval if that is longer, so that
 * gateways without requests do not save up a burst. */
#define CREDIT_LIFE_MIN_US UINT64_C (500000)

/* Depth of the bucket in seconds of the limit, besides the report interval, and in
 * requests. */
#define DEPTH_S 0.5
#define DEPTH_REQUESTS 1.0

static double
effective_limit (const BurdockRateShare *share)
{
  return share->limit_per_s > LIMIT_MIN_PER_S ? share->limit_per_s : LIMIT_MIN_PER_S;
}

static double
depth (const BurdockRateShare *share, uint64_t interval_us)
{
  return effective_limit (share) * (DEPTH_S + (double)interval_us / US_PER_S) +
         DEPTH_REQUESTS;
}

bool
burdock_rate_share_state (BurdockRateShare *share, double per_s, uint64_t at_us)
{
  bool limited = per_s >= 0;
  bool changed = limited != share->limited || (limited && per_s != share->limit_per_s);

  if (at_us < share->stated_us)
    return false;
  share->stated_us = at_us;
  if (!changed)
    return false;
  if (!share->limited) {
    /* The requests of the last seconds were not counted. */
    share->limit_per_s = per_s;
    share->level = limited ? depth (share, 0) : 0;
    share->credit = 0;
    share->unreported = 0;
  }
  share->limited = limited;
  share->limit_per_s = limited ? per_s : 0;
  return true;
}

bool
burdock_rate_share_allows (const BurdockRateShare *share, uint64_t interval_us)
{
  return !share->limited ||
         (share->credit > 0 && share->level < depth (share, interval_us));
}

void
burdock_rate_share_sent (BurdockRateShare *share)
{
  if (!share->limited)
    return;
  share->level += 1;
  if (share->credit > 0)
    share->credit--;
  share->unreported++;
}

void
burdock_rate_share_peer_sent (BurdockRateShare *share, uint32_t count)
{
  if (share->limited)
    share->level += count;
}

/* @expected rounded up or down, so that its mean is kept. */
static uint32_t
round_randomly (double expected, double random)
{
  uint32_t whole = (uint32_t)expected;

  return whole + (random < expected - whole ? 1 : 0);
}

static void
grant_credit (BurdockRateShare *share, double expected, uint64_t life_us, double random)
{
  uint32_t granted = round_randomly (expected, random);

  if (granted == 0)
    return;
  /* Unused credit is replaced, not added to. */
  if (granted > share->credit)
    share->credit = granted;
  share->credit_left_us = life_us;
}

void
burdock_rate_share_advance (BurdockRateShare *share, double weight, uint64_t interval_us,
                            uint64_t elapsed_us, double random)
{
  double elapsed_s = (double)elapsed_us / US_PER_S;
  /* The reports of a longer time have not been read yet. */
  double intervals =
      elapsed_us < interval_us ? (double)elapsed_us / (double)interval_us : 1;
  double room;

  if (!share->limited)
    return;
  share->level -= effective_limit (share) * elapsed_s;
  if (share->level < 0)
    share->level = 0;
  share->credit_left_us -=
      share->credit_left_us < elapsed_us ? share->credit_left_us : elapsed_us;
  if (share->credit_left_us == 0)
    share->credit = 0;
  room = depth (share, interval_us) - share->level;
  if (room > 0)
    grant_credit (share, room * weight * intervals,
                  interval_us > CREDIT_LIFE_MIN_US ? interval_us : CREDIT_LIFE_MIN_US,
                  random);
}
