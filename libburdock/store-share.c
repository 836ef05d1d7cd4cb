#include "store-share.h"

#include "hash.h"

/* Gateways that tell a new state at once. */
#define FIRST_SENDERS 3

/* Time between repeats of any gateway. */
#define REPEAT_INTERVAL_US UINT64_C (500000)

/* Least time between turns of one gateway. */
#define TURN_MIN_US UINT64_C (2000000)

static void
begin_state (BurdockStoreShare *share, const BurdockStoreState *state, uint32_t gateways,
             uint64_t now_us)
{
  uint64_t key = burdock_hash_pair (state->era, state->upstream_version);
  uint64_t rank = burdock_hash_pair (key, share->gateway);

  share->state = *state;
  share->next_us = now_us;
  if (burdock_hash_unit (rank) * gateways >= FIRST_SENDERS)
    share->next_us += (uint64_t)(burdock_hash_unit (burdock_hash_mix (rank)) *
                                 (double)REPEAT_INTERVAL_US * gateways);
}

bool
burdock_store_share_is_due (BurdockStoreShare *share, const BurdockStoreState *state,
                            uint32_t gateways, uint64_t now_us)
{
  if (state->era != share->state.era ||
      state->upstream_version != share->state.upstream_version)
    begin_state (share, state, gateways, now_us);
  if ((state->era == 0 && state->upstream_version == 0) || now_us < share->next_us)
    return false;
  share->next_us = now_us + REPEAT_INTERVAL_US * gateways;
  return true;
}

bool
burdock_store_lag_is_due (BurdockStoreLag *lag, bool behind, uint64_t limit_us,
                          uint64_t now_us, uint64_t *due_us)
{
  *due_us = UINT64_MAX;
  if (!behind) {
    lag->since_us = 0;
    return false;
  }
  if (lag->since_us == 0)
    lag->since_us = now_us;
  *due_us = lag->since_us + limit_us;
  if (now_us < *due_us)
    return false;
  lag->since_us = now_us;
  *due_us = now_us + limit_us;
  return true;
}

bool
burdock_store_turn_is_due (BurdockStoreTurn *turn, uint32_t gateways, uint64_t now_us)
{
  uint64_t interval_us = REPEAT_INTERVAL_US * gateways;

  if (interval_us < TURN_MIN_US)
    interval_us = TURN_MIN_US;
  /* Gateways that start together take their turns at different times. */
  if (turn->next_us == 0)
    turn->next_us =
        now_us + (uint64_t)(burdock_hash_unit (burdock_hash_mix (turn->gateway)) *
                            (double)interval_us);
  /* A gateway that has just started hears of the others within a second. */
  if (turn->next_us > now_us + interval_us)
    turn->next_us = now_us + interval_us;
  if (now_us < turn->next_us)
    return false;
  turn->next_us = now_us + interval_us;
  return true;
}
