/* Limits of the requests that groups run at once. */
#include "balancer-private.h"

#include <math.h>

#define US_PER_MS UINT64_C (1000)

/* Bounds of the utilization limit of a group, as a share of its slots. */
#define GROUP_UTILIZATION_MIN 0.3
#define GROUP_UTILIZATION_MAX 1.0

/* The limit is multiplied by GROUP_UTILIZATION_DECREASE while the mean gap is longer than
 * its target, so that all streams miss it. Otherwise it is lowered by a step while a
 * stream whose longest gap is the usual one and its usual deviation misses the target,
 * and raised by one while such a stream meets it. */
#define GROUP_UTILIZATION_DECREASE 0.97
#define GROUP_UTILIZATION_RECOVERY 0.015 /* step while below the initial value */
#define GROUP_UTILIZATION_STEP 0.005

/* Averages over about twenty adjustments, so that jumps of the demand for experts, which
 * come every few seconds, count in proportion to their time. */
#define LONGEST_GAP_GAIN 0.05

/* A gap of several targets is that of an upstream that hangs, which fewer streams do not
 * shorten. */
#define LONGEST_GAP_MAX 2.0

#define GROUP_ADJUST_US UINT64_C (250000)
#define GROUP_GAPS_MIN 6

void
burdock_balancer_record_stream (BurdockBalancer *balancer, uint64_t upstream,
                                uint64_t longest_gap_us, uint32_t target_ms)
{
  Node *node = burdock_balancer_node (balancer, upstream);
  double longest;

  if (node == NULL || node->group == NULL || target_ms == 0 || longest_gap_us == 0)
    return;
  longest = (double)longest_gap_us / (target_ms * US_PER_MS);
  if (longest > LONGEST_GAP_MAX)
    longest = LONGEST_GAP_MAX;
  if (node->group->longest_gap <= 0)
    node->group->longest_gap = longest;
  node->group->longest_gap_sum += longest;
  node->group->deviation_sum += fabs (longest - node->group->longest_gap);
  node->group->stream_count++;
}

static void
average_longest_gaps (Group *group)
{
  if (group->stream_count == 0)
    return;
  group->longest_gap +=
      (group->longest_gap_sum / group->stream_count - group->longest_gap) *
      LONGEST_GAP_GAIN;
  group->longest_gap_deviation +=
      (group->deviation_sum / group->stream_count - group->longest_gap_deviation) *
      LONGEST_GAP_GAIN;
  group->longest_gap_sum = group->deviation_sum = 0;
  group->stream_count = 0;
}

static void
adjust_utilization_limit (Group *group)
{
  double long_gap;
  double mean;

  if (group->gap_count < GROUP_GAPS_MIN)
    return;
  mean = group->relative_gap_sum / group->gap_count;
  average_longest_gaps (group);
  long_gap = group->longest_gap + group->longest_gap_deviation;
  group->relative_gap_sum = 0;
  group->gap_count = 0;
  if (mean > 1)
    group->utilization_limit *= GROUP_UTILIZATION_DECREASE;
  else if (long_gap > 1)
    group->utilization_limit -= GROUP_UTILIZATION_STEP;
  else if (group->utilization_limit < BURDOCK_GROUP_UTILIZATION_INITIAL)
    group->utilization_limit += GROUP_UTILIZATION_RECOVERY;
  else
    group->utilization_limit += GROUP_UTILIZATION_STEP;
  if (group->utilization_limit < GROUP_UTILIZATION_MIN)
    group->utilization_limit = GROUP_UTILIZATION_MIN;
  if (group->utilization_limit > GROUP_UTILIZATION_MAX)
    group->utilization_limit = GROUP_UTILIZATION_MAX;
}

void
burdock_balancer_adjust_limits (BurdockBalancer *balancer)
{
  if (balancer->now_us < balancer->next_adjust_us)
    return;
  balancer->next_adjust_us = balancer->now_us + GROUP_ADJUST_US;
  for (apr_hash_index_t *at = apr_hash_first (NULL, balancer->groups); at != NULL;
       at = apr_hash_next (at))
    adjust_utilization_limit (apr_hash_this_val (at));
}
