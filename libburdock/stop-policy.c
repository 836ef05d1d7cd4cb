#include "stop-policy.h"

#define US_PER_MS UINT64_C (1000)

/* Minimum time in which connections are accepted. Callers may use an answer of the
 * directory for three times as long as it says, which is a second. */
#define DRAIN_MIN_US (3500 * US_PER_MS)

/* A request that a caller sent before it could see the end of the listening socket
 * arrives within this time. */
#define LINGER_US (200 * US_PER_MS)

/* Time between the deadline of a request and the end of its answer. */
#define ANSWER_MARGIN_US (100 * US_PER_MS)

/* Time that a stop leaves for its last phase. */
#define CLOSE_US (LINGER_US + ANSWER_MARGIN_US)

void
burdock_stop_policy_begin (BurdockStopPolicy *stop, uint64_t now_us, uint64_t end_us)
{
  stop->phase = BURDOCK_STOP_DRAINING;
  stop->began_us = now_us;
  stop->end_us = end_us;
  stop->accepts_until_us = now_us + DRAIN_MIN_US;
  if (stop->accepts_until_us + CLOSE_US > end_us)
    stop->accepts_until_us = end_us > now_us + CLOSE_US ? end_us - CLOSE_US : now_us;
}

bool
burdock_stop_policy_admits (const BurdockStopPolicy *stop, uint64_t deadline_us)
{
  if (stop->phase == BURDOCK_STOP_DRAINING)
    return deadline_us + ANSWER_MARGIN_US <= stop->end_us;
  return stop->phase == BURDOCK_STOP_NONE;
}

uint32_t
burdock_stop_policy_left_ms (const BurdockStopPolicy *stop, uint64_t now_us)
{
  return now_us < stop->accepts_until_us
             ? (uint32_t)((stop->accepts_until_us - now_us) / US_PER_MS)
             : 0;
}

void
burdock_stop_policy_close (BurdockStopPolicy *stop, uint64_t now_us)
{
  stop->phase = BURDOCK_STOP_CLOSING;
  stop->busy_us = now_us;
}

uint64_t
burdock_stop_policy_update (BurdockStopPolicy *stop, bool busy, uint64_t now_us)
{
  if (stop->phase == BURDOCK_STOP_DRAINING) {
    if (now_us < stop->accepts_until_us)
      return stop->accepts_until_us;
    if (!busy)
      burdock_stop_policy_close (stop, now_us);
  }
  if (stop->phase != BURDOCK_STOP_CLOSING)
    return UINT64_MAX;
  if (busy)
    stop->busy_us = now_us;
  if (now_us >= stop->busy_us + LINGER_US)
    stop->phase = BURDOCK_STOP_ENDED;
  return stop->busy_us + LINGER_US;
}
