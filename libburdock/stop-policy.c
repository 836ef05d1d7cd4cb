#include "stop-policy.h"

#define US_PER_MS UINT64_C (1000)

/* Time between the deadline of a request and the end of its answer. */
#define ANSWER_MARGIN_US (100 * US_PER_MS)

void
burdock_stop_policy_begin (BurdockStopPolicy *stop, uint64_t now_us, uint64_t end_us)
{
  stop->stopping = true;
  stop->began_us = now_us;
  stop->end_us = end_us;
}

bool
burdock_stop_policy_admits (const BurdockStopPolicy *stop, uint64_t deadline_us)
{
  return !stop->stopping || deadline_us + ANSWER_MARGIN_US <= stop->end_us;
}
