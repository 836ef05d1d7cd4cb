#include "era-share.h"

#include "hash.h"

/* Gateways that tell a new era at once. */
#define FIRST_SENDERS 3

/* Time between repeats of any gateway. */
#define REPEAT_INTERVAL_US UINT64_C (500000)

static void
begin_era (BurdockEraShare *share, uint64_t era, uint32_t gateways, uint64_t now_us)
{
  uint64_t rank = burdock_hash_pair (era, share->gateway);
  double unit = burdock_hash_unit (rank);

  share->era = era;
  share->next_us = now_us;
  if (unit * gateways >= FIRST_SENDERS)
    share->next_us += (uint64_t)(burdock_hash_unit (burdock_hash_mix (rank)) *
                                 (double)REPEAT_INTERVAL_US * gateways);
}

bool
burdock_era_share_is_due (BurdockEraShare *share, uint64_t era, uint32_t gateways,
                          uint64_t now_us)
{
  if (era != share->era)
    begin_era (share, era, gateways, now_us);
  if (era == 0 || now_us < share->next_us)
    return false;
  share->next_us = now_us + REPEAT_INTERVAL_US * gateways;
  return true;
}
