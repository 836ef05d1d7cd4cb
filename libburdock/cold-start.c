#include "cold-start.h"

#include <math.h>

#define US_PER_MS UINT64_C (1000)
#define US_PER_S 1e6

/* Part of the permits for a gateway that hears of no other one, or only since a short
 * time: it may be one of this many that are cut off from each other. */
#define GATEWAYS_MAX 512

/* A gateway that starts hears of all others within a few of their heartbeats. */
#define SETTLE_MIN_US UINT64_C (3000000)
#define SETTLE_INTERVALS 8

/* A permit that is not used within this time expires; a gateway looks for requests that
 * wait every 50 ms. */
#define PERMIT_LIFE_US UINT64_C (250000)

/* Requests sent within a longer time arrive within the same second: they were permitted
 * up to the life of a permit earlier, and connections differ in their delay by up to
 * 100 ms. */
#define ARRIVAL_WINDOW_S 1.35

/* Standard deviations between the mean number of arrivals in a second and the bound.
 * Permits of many gateways are independent of each other, so the number is at most
 * Poisson distributed. With the bound of 44 requests it is exceeded in less than one of
 * 10^6 seconds. */
#define BOUND_DEVIATIONS 5.5

/* A longer time is a fault of its writer. */
#define LEFT_MAX_MS UINT64_C (600000)

/* Requests that were sent at the end of the cold time may be answered late. */
#define SLOW_AFTER_US UINT64_C (1000000)

double
burdock_cold_rate_per_s (double per_s, double overage, double allowance)
{
  double bound = floor (per_s * overage + allowance);
  double root;
  double rate;

  if (!(per_s > 0) || !(bound >= 1))
    return 0;
  /* The largest mean m with m + BOUND_DEVIATIONS * sqrt (m) <= bound. */
  root = (sqrt (BOUND_DEVIATIONS * BOUND_DEVIATIONS + 4 * bound) - BOUND_DEVIATIONS) / 2;
  rate = root * root / ARRIVAL_WINDOW_S;
  return rate < per_s ? rate : per_s;
}

void
burdock_cold_fleet_update (BurdockColdFleet *fleet, uint32_t peers, uint64_t now_us)
{
  if (peers == 0) {
    fleet->heard_since_us = 0;
    return;
  }
  if (fleet->heard_since_us == 0)
    fleet->heard_since_us = now_us;
  if (peers + 1 > fleet->most)
    fleet->most = peers + 1;
}

/* The largest number is kept for the life of the process: gateways that are no longer
 * heard may be on the other side of a partition, and send as well. */
uint32_t
burdock_cold_fleet_gateways (const BurdockColdFleet *fleet, uint64_t interval_us,
                             uint64_t now_us)
{
  uint64_t settle_us = interval_us * SETTLE_INTERVALS;

  if (settle_us < SETTLE_MIN_US)
    settle_us = SETTLE_MIN_US;
  if (fleet->heard_since_us == 0 || now_us < fleet->heard_since_us + settle_us ||
      fleet->most > GATEWAYS_MAX)
    return fleet->most > GATEWAYS_MAX ? fleet->most : GATEWAYS_MAX;
  return fleet->most;
}

static uint64_t
bounded_us (uint64_t left_ms)
{
  return (left_ms < LEFT_MAX_MS ? left_ms : LEFT_MAX_MS) * US_PER_MS;
}

/* A row may be older than an answer, so it extends the time but does not end it. */
void
burdock_cold_start_apply_row (BurdockColdStart *cold, const BurdockColdRow *row,
                              bool started_lately)
{
  bool restarted = cold->row_known ? cold->born_ms != 0 && row->born_ms > cold->born_ms
                                   : started_lately;
  uint64_t until_us = row->read_us + bounded_us (row->left_ms);

  if (cold->row_known && row->version == cold->version && !restarted)
    return;
  cold->row_known = true;
  if (row->born_ms > cold->born_ms)
    cold->born_ms = row->born_ms;
  cold->version = row->version;
  if (restarted)
    cold->stated_us = cold->restarted_us = 0;
  if (restarted && !row->has_left)
    cold->restarted_us = row->read_us;
  if (row->has_left && row->left_ms > 0 && until_us > cold->stated_us)
    cold->stated_us = until_us;
}

void
burdock_cold_start_apply_answer (BurdockColdStart *cold, uint64_t left_ms,
                                 uint64_t now_us)
{
  bool was_cold = cold->restarted_us != 0 || cold->stated_us > now_us;

  cold->restarted_us = 0;
  /* A warm upstream that says so again has not just become warm. */
  if (left_ms > 0 || was_cold)
    cold->stated_us = now_us + bounded_us (left_ms);
}

uint64_t
burdock_cold_start_until_us (const BurdockColdStart *cold, const BurdockColdLimit *limit)
{
  uint64_t until_us = cold->stated_us;

  if (!(limit->per_s > 0))
    return 0;
  if (cold->restarted_us != 0 && cold->restarted_us + limit->start_us > until_us)
    until_us = cold->restarted_us + limit->start_us;
  return until_us;
}

bool
burdock_cold_start_is_slow (const BurdockColdStart *cold, const BurdockColdLimit *limit,
                            uint64_t now_us)
{
  uint64_t until_us = burdock_cold_start_until_us (cold, limit);

  return until_us != 0 && now_us < until_us + SLOW_AFTER_US;
}

double
burdock_cold_start_remaining (const BurdockColdStart *cold, const BurdockColdLimit *limit,
                              uint64_t now_us)
{
  uint64_t until_us = burdock_cold_start_until_us (cold, limit);

  if (now_us >= until_us)
    return 0;
  if (cold->began_us == 0 || now_us <= cold->began_us)
    return 1;
  return (double)(until_us - now_us) / (double)(until_us - cold->began_us);
}

static uint64_t
permit_life_us (const BurdockColdStart *cold)
{
  return cold->period_us < PERMIT_LIFE_US ? cold->period_us : PERMIT_LIFE_US;
}

static uint64_t
random_part_us (uint64_t time_us, double random)
{
  return (uint64_t)((double)time_us * random);
}

/* Permits of all gateways have to stay spread evenly over time, also after a change of
 * the period at all of them: one that is too far away is drawn again within the shorter
 * period. */
static void
issue_permits (BurdockColdStart *cold, double rate_per_s, uint64_t now_us, double random)
{
  uint64_t passed_us;

  cold->period_us = rate_per_s > 0 ? (uint64_t)ceil (US_PER_S / rate_per_s) : 0;
  if (cold->period_us == 0) {
    cold->permit_us = 0;
    return;
  }
  if (cold->permit_us == 0 || cold->permit_us > now_us + cold->period_us)
    cold->permit_us = now_us + random_part_us (cold->period_us, random) + 1;
  if (now_us < cold->permit_us + permit_life_us (cold))
    return;
  passed_us = now_us - cold->permit_us - permit_life_us (cold);
  cold->permit_us += (passed_us / cold->period_us + 1) * cold->period_us;
}

bool
burdock_cold_start_advance (BurdockColdStart *cold, const BurdockColdLimit *limit,
                            double rate_per_s, uint64_t now_us, double random)
{
  bool was_cold = cold->began_us != 0;
  bool is_cold = now_us < burdock_cold_start_until_us (cold, limit);

  if (is_cold) {
    if (!was_cold)
      cold->began_us = now_us;
    issue_permits (cold, rate_per_s, now_us, random);
  } else {
    cold->began_us = 0;
    cold->permit_us = 0;
  }
  return was_cold != is_cold;
}

static bool
has_permit (const BurdockColdStart *cold, uint64_t now_us)
{
  return cold->permit_us != 0 && now_us >= cold->permit_us &&
         now_us < cold->permit_us + permit_life_us (cold);
}

bool
burdock_cold_start_allows (const BurdockColdStart *cold, const BurdockColdLimit *limit,
                           uint64_t now_us)
{
  return now_us >= burdock_cold_start_until_us (cold, limit) || has_permit (cold, now_us);
}

void
burdock_cold_start_sent (BurdockColdStart *cold)
{
  if (cold->permit_us != 0)
    cold->permit_us += cold->period_us;
}

void
burdock_cold_start_handed_back (BurdockColdStart *cold, uint64_t now_us)
{
  if (cold->permit_us > now_us)
    cold->permit_us = now_us;
}

uint64_t
burdock_cold_start_opens_us (const BurdockColdStart *cold, const BurdockColdLimit *limit,
                             uint64_t now_us)
{
  uint64_t until_us = burdock_cold_start_until_us (cold, limit);

  if (burdock_cold_start_allows (cold, limit, now_us))
    return now_us;
  if (cold->permit_us > now_us && cold->permit_us < until_us)
    return cold->permit_us;
  return until_us;
}
