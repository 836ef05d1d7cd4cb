#include "rate-share.h"
#include "test.h"

#include <stdio.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define US_PER_S (1000 * US_PER_MS)
#define STEP_US (50 * US_PER_MS)
#define GATEWAYS_MAX 330
#define UPSTREAMS_MAX 100
#define SENDS_MAX 1024
#define WINDOW_US (4 * US_PER_S)
#define STABILITY_US (3 * US_PER_S)
#define END_US (30 * US_PER_S)
/* A request waits for a second at most. */
#define WAIT_STEPS 20

typedef struct {
  const char *name;
  uint32_t gateways;
  uint32_t upstreams;
  uint64_t interval_us; /* between reports */
  double limit_per_s;
  double demand_per_s; /* of all gateways, per upstream */
  double first_share;  /* part of the demand that the first gateway gets */
  double loss;         /* part of the reports that is lost */
  double use_min;      /* part of the limit, or of a lower demand, to be used */
} Case;

static const Case cases[] = {
  { "nine gateways, overload", 9, 11, 100000, 2, 8, 1.0 / 9, 0, 0.9 },
  { "nine gateways, one gets all requests", 9, 11, 100000, 2, 8, 1, 0, 0.9 },
  { "nine gateways, one gets most requests", 9, 11, 100000, 2.3, 6, 0.7, 0, 0.9 },
  { "nine gateways, few requests", 9, 11, 100000, 2, 0.5, 1.0 / 9, 0, 0.9 },
  { "nine gateways, few requests, one upstream", 9, 1, 100000, 2, 0.5, 1.0 / 9, 0, 0.9 },
  { "nine gateways, lost reports", 9, 11, 100000, 2, 8, 1.0 / 9, 0.1, 0.9 },
  { "limits below one request a second", 9, 11, 100000, 0.3, 4, 1.0 / 9, 0, 0.9 },
  { "limits of no requests", 9, 11, 100000, 0, 4, 1.0 / 9, 0, 0 },
  { "high limits", 9, 3, 100000, 60, 90, 1.0 / 9, 0, 0.9 },
  { "99 gateways, overload", 99, 100, 600000, 1.2, 5, 1.0 / 99, 0, 0.8 },
  { "99 gateways, half of the requests at one", 99, 100, 600000, 1.2, 5, 0.5, 0, 0.8 },
  { "99 gateways, few requests", 99, 100, 600000, 1.2, 0.5, 1.0 / 99, 0, 0.8 },
  { "330 gateways, overload", 330, 100, 2050000, 2, 6, 1.0 / 330, 0, 0.7 },
  { "330 gateways, lost reports", 330, 100, 2050000, 2, 6, 1.0 / 330, 0.1, 0.7 },
};

typedef struct {
  const Case *item;
  BurdockRateShare shares[GATEWAYS_MAX][UPSTREAMS_MAX];
  uint32_t waiting[GATEWAYS_MAX][WAIT_STEPS]; /* requests by the step of their arrival */
  uint32_t arrivals;
  uint32_t send_count[UPSTREAMS_MAX];
  uint64_t sent_at_us[UPSTREAMS_MAX][SENDS_MAX];
  uint64_t random_state;
} Fleet;

static double
next_unit (Fleet *fleet)
{
  fleet->random_state = fleet->random_state * UINT64_C (6364136223846793005) + 1;
  return (double)(fleet->random_state >> 33) / (double)(UINT64_C (1) << 31);
}

static double
demand_of (const Case *item, uint32_t gateway)
{
  double all = item->demand_per_s * item->upstreams;

  if (gateway == 0)
    return all * item->first_share;
  return all * (1 - item->first_share) / (item->gateways - 1);
}

static void
report (Fleet *fleet, uint32_t from)
{
  const Case *item = fleet->item;

  for (uint32_t to = 0; to < item->gateways; to++) {
    bool lost = next_unit (fleet) < item->loss;

    for (uint32_t k = 0; k < item->upstreams && to != from && !lost; k++)
      burdock_rate_share_peer_sent (&fleet->shares[to][k],
                                    fleet->shares[from][k].unreported);
  }
  for (uint32_t k = 0; k < item->upstreams; k++)
    fleet->shares[from][k].unreported = 0;
}

static bool
send_request (Fleet *fleet, uint32_t gateway, uint64_t now_us)
{
  const Case *item = fleet->item;
  uint32_t start = (uint32_t)(next_unit (fleet) * item->upstreams);

  for (uint32_t i = 0; i < item->upstreams; i++) {
    uint32_t k = (start + i) % item->upstreams;

    if (!burdock_rate_share_allows (&fleet->shares[gateway][k], item->interval_us))
      continue;
    burdock_rate_share_sent (&fleet->shares[gateway][k]);
    CU_ASSERT_FATAL (fleet->send_count[k] < SENDS_MAX * 2);
    if (fleet->send_count[k] < SENDS_MAX)
      fleet->sent_at_us[k][fleet->send_count[k]] = now_us;
    fleet->send_count[k]++;
    return true;
  }
  return false;
}

static void
step_gateway (Fleet *fleet, uint32_t gateway, uint64_t step)
{
  const Case *item = fleet->item;
  uint64_t now_us = step * STEP_US;
  double demand = demand_of (item, gateway);
  double expected = demand * STEP_US / US_PER_S;
  uint32_t *waiting = fleet->waiting[gateway];
  uint32_t arrivals = (uint32_t)expected;

  for (uint32_t k = 0; k < item->upstreams; k++)
    burdock_rate_share_advance (&fleet->shares[gateway][k],
                                demand / (item->demand_per_s * item->upstreams),
                                item->interval_us, STEP_US, next_unit (fleet));
  arrivals += next_unit (fleet) < expected - arrivals ? 1 : 0;
  waiting[step % WAIT_STEPS] = arrivals;
  fleet->arrivals += arrivals;
  for (uint32_t i = 0; i < WAIT_STEPS; i++) {
    uint32_t *left = &waiting[(step + WAIT_STEPS - i) % WAIT_STEPS];

    while (*left > 0 && send_request (fleet, gateway, now_us))
      (*left)--;
  }
  if ((step + gateway) % (item->interval_us / STEP_US) == 0)
    report (fleet, gateway);
}

static uint32_t
most_in_window (const Fleet *fleet, uint32_t upstream)
{
  const uint64_t *sent = fleet->sent_at_us[upstream];
  uint32_t all =
      fleet->send_count[upstream] < SENDS_MAX ? fleet->send_count[upstream] : SENDS_MAX;
  uint32_t most = 0;

  for (uint32_t first = 0; first < all; first++) {
    uint32_t count = 0;

    while (first + count < all && sent[first + count] < sent[first] + WINDOW_US)
      count++;
    most = sent[first] >= STABILITY_US && count > most ? count : most;
  }
  return most;
}

static void
check_fleet (const Fleet *fleet)
{
  const Case *item = fleet->item;
  double seconds = (double)END_US / US_PER_S;
  double wanted = item->limit_per_s * item->upstreams * seconds;
  uint32_t most = 0;
  uint32_t all = 0;

  for (uint32_t k = 0; k < item->upstreams; k++) {
    uint32_t count = most_in_window (fleet, k);

    most = count > most ? count : most;
    all += fleet->send_count[k];
  }
  wanted = fleet->arrivals < wanted ? fleet->arrivals : wanted;
  if (most > 1.5 * item->limit_per_s * 4 + 5 || all < item->use_min * wanted)
    printf ("%s: at most %u in 4 s, %u of %.0f sent\n", item->name, most, all, wanted);
  CU_ASSERT_TRUE (most <= 1.5 * item->limit_per_s * 4 + 5);
  CU_ASSERT_TRUE (all >= item->use_min * wanted);
}

/* Gateways that do not count each other's requests exceed the limit together; a fixed
 * part for each loses what gateways with few requests do not use. */
static void
limit_is_kept_and_used (void)
{
  static Fleet fleet;

  for (size_t i = 0; i < TEST_COUNT (cases); i++) {
    const Case *item = &cases[i];

    memset (&fleet, 0, sizeof fleet);
    fleet.item = item;
    fleet.random_state = i + 1;
    for (uint32_t g = 0; g < item->gateways; g++) {
      for (uint32_t k = 0; k < item->upstreams; k++)
        burdock_rate_share_state (&fleet.shares[g][k], item->limit_per_s, 1);
    }
    for (uint64_t step = 1; step * STEP_US < END_US; step++) {
      for (uint32_t g = 0; g < item->gateways; g++)
        step_gateway (&fleet, g, step);
    }
    check_fleet (&fleet);
  }
}

static void
statement_is_replaced_by_a_newer_one_only (void)
{
  BurdockRateShare share = { 0 };

  CU_ASSERT_TRUE (burdock_rate_share_allows (&share, US_PER_S));
  CU_ASSERT_FALSE (burdock_rate_share_state (&share, -1, 10));
  CU_ASSERT_TRUE (burdock_rate_share_state (&share, 2, 20));
  CU_ASSERT_FALSE (burdock_rate_share_allows (&share, US_PER_S));
  CU_ASSERT_FALSE (burdock_rate_share_state (&share, -1, 15));
  CU_ASSERT_FALSE (burdock_rate_share_state (&share, 2, 30));
  CU_ASSERT_TRUE (burdock_rate_share_state (&share, 3, 40));
  CU_ASSERT_TRUE (burdock_rate_share_state (&share, -1, 50));
  CU_ASSERT_TRUE (burdock_rate_share_allows (&share, US_PER_S));
  CU_ASSERT_FALSE (burdock_rate_share_state (&share, 3, 45));
  CU_ASSERT_TRUE (burdock_rate_share_allows (&share, US_PER_S));
}

/* A gateway that was paused has not counted the requests of the others. */
static void
paused_gateway_gets_no_more_credit (void)
{
  BurdockRateShare share = { 0 };

  burdock_rate_share_state (&share, 2, 1);
  for (uint32_t i = 0; i < 100; i++)
    burdock_rate_share_advance (&share, 1.0 / 9, 100 * US_PER_MS, STEP_US, 0.99);
  burdock_rate_share_advance (&share, 1.0 / 9, 100 * US_PER_MS, 20 * US_PER_S, 0.5);
  CU_ASSERT_TRUE (share.credit <= 1);
}

static const Test tests[] = {
  { "a gateway that was paused sends a burst", paused_gateway_gets_no_more_credit },
  { "an upstream gets more requests than the limit that it named, or far fewer",
    limit_is_kept_and_used },
  { "an old statement replaces a newer one", statement_is_replaced_by_a_newer_one_only },
};

int
main (void)
{
  return test_main ("rate-share", tests, TEST_COUNT (tests));
}
