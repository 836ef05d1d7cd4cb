#include "handover-policy.h"

#define US_PER_MS UINT64_C (1000)

/* Era of a store that has not been restored yet. */
#define FIRST_ERA 1

/* Gateways answer the first heartbeat of another one at once. */
#define PEER_WAIT_US (300 * US_PER_MS)

#define RETRY_US (200 * US_PER_MS)

/* Failures after which a gateway with no older configuration starts without the state of
 * another one. */
#define FAILURES_MAX 3

/* Later, the store is more likely to have the newer configuration than the gateways. */
#define BEHIND_MAX_US (10000 * US_PER_MS)

static BurdockHandoverStep
wait_until (uint64_t until_us, uint64_t now_us, uint64_t *due_us,
            BurdockHandoverStep after)
{
  *due_us = until_us;
  return now_us < until_us ? BURDOCK_HANDOVER_WAIT : after;
}

BurdockHandoverStep
burdock_handover_next (const BurdockHandoverView *view, uint64_t now_us, uint64_t *due_us)
{
  bool behind = burdock_optional_is_above (view->peer_version, view->own_version);

  *due_us = UINT64_MAX;
  if (view->listed_us == 0)
    return BURDOCK_HANDOVER_WAIT;
  if (now_us >= view->listed_us + BEHIND_MAX_US)
    return BURDOCK_HANDOVER_DONE;
  if (!behind && view->era <= FIRST_ERA)
    return BURDOCK_HANDOVER_DONE;
  if (!behind && (view->taken_over || view->failures >= FAILURES_MAX))
    return BURDOCK_HANDOVER_DONE;
  if (!behind && !view->peer_ready)
    return wait_until (view->listed_us + PEER_WAIT_US, now_us, due_us,
                       BURDOCK_HANDOVER_DONE);
  if (view->asked_us == 0)
    return BURDOCK_HANDOVER_ASK;
  return wait_until (view->asked_us + RETRY_US, now_us, due_us, BURDOCK_HANDOVER_ASK);
}
