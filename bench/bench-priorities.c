/**
 * DOC: bench-priorities.c - what callers of several priorities get in an overload
 *
 * Plays the same requests with the shares of priorities, with strict priority, with
 * priorities that only order the queue (the version before), and in the order of arrival.
 */
#include "bench.h"
#include "overload-play.h"

#include <apr_general.h>
#include <stdio.h>

/* Ranks with 10 slots of which a group uses 0.7 until the gaps between events are known;
 * a stream takes 2 s. */
#define WORK_MS 2000
#define SLOTS 10
#define USED 0.7
#define CAPACITY_PER_S(ranks) (USED * SLOTS * (ranks)*1000 / WORK_MS)

/* Seeds of the loads that few gateways serve; the others are played once. */
#define SEEDS 2
#define FLEET_MIN 30

typedef struct {
  const char *name;
  BurdockPriorityRule rule;
  bool in_order;
} Rule;

static const Rule rules[] = {
  { "shares", BURDOCK_PRIORITY_SHARES, false },
  { "strict", BURDOCK_PRIORITY_STRICT, false },
  { "before", BURDOCK_PRIORITY_QUEUE_ORDER, false },
  { "arrival", BURDOCK_PRIORITY_QUEUE_ORDER, true },
};

typedef struct {
  const char *name;
  uint32_t gateways;
  uint32_t ranks;
  double calm;        /* load as a part of what can be served, without the burst */
  uint32_t burst;     /* priority of the burst; counted are the callers who come in it */
  double burst_total; /* load in the burst, 0 for none */
} Row;

static const Row rows[] = {
  { "1_gateway_0.9", 1, 8, 0.9, 0, 0 },
  { "1_gateway_1.2", 1, 8, 1.2, 0, 0 },
  { "1_gateway_2", 1, 8, 2, 0, 0 },
  { "1_gateway_4", 1, 8, 4, 0, 0 },
  { "9_gateways_0.9", 9, 16, 0.9, 0, 0 },
  { "9_gateways_1.2", 9, 16, 1.2, 0, 0 },
  { "9_gateways_2", 9, 16, 2, 0, 0 },
  { "9_gateways_4", 9, 16, 4, 0, 0 },
  { "32_gateways_0.9", 32, 63, 0.9, 0, 0 },
  { "32_gateways_1.2", 32, 63, 1.2, 0, 0 },
  { "32_gateways_2", 32, 63, 2, 0, 0 },
  { "32_gateways_4", 32, 63, 4, 0, 0 },
  { "99_gateways_0.9", 99, 96, 0.9, 0, 0 },
  { "99_gateways_1.2", 99, 96, 1.2, 0, 0 },
  { "99_gateways_2", 99, 96, 2, 0, 0 },
  { "99_gateways_4", 99, 96, 4, 0, 0 },
  { "32_gateways_burst_of_2", 32, 63, 0.9, 2, 2 },
  { "32_gateways_burst_of_0", 32, 63, 0.9, 0, 1.5 },
  { "99_gateways_burst_of_2", 99, 96, 0.9, 2, 2 },
};

/* The shares of the three kinds of streams of a deployment with 32 gateways. */
static OverloadLoad
make_load (const Row *row, const Rule *rule)
{
  OverloadLoad load = {
    .name = row->name,
    .per_s = CAPACITY_PER_S (row->ranks) * row->calm,
    .possible_per_s = CAPACITY_PER_S (row->ranks),
    .gateways = row->gateways,
    .upstreams = row->ranks,
    .slots = SLOTS,
    .first_ms = 60,
    .work_ms = WORK_MS,
    .returns = 1,
    .work_is_stated = true,
    .rule = rule->rule,
    .in_order = rule->in_order,
    .streams = true,
    .kind_count = 3,
    .kinds = { { .share = 0.364,
                 .left_ms = 8000,
                 .patience_ms = 2000,
                 .priority = 0,
                 .objective_ms = 400 },
               { .share = 0.16,
                 .left_ms = 8000,
                 .patience_ms = 2000,
                 .priority = 1,
                 .objective_ms = 400 },
               { .share = 0.476,
                 .left_ms = 8000,
                 .patience_ms = 2000,
                 .priority = 2,
                 .objective_ms = 1000 } },
  };

  if (row->burst_total > 0) {
    OverloadCallers *kind = &load.kinds[row->burst];

    load.burst_from_ms = 15000;
    load.burst_until_ms = 23000;
    kind->burst_factor = 1 + (row->burst_total / row->calm - 1) / kind->share;
  }
  return load;
}

static void
report (const Row *row, const Rule *rule)
{
  OverloadLoad load = make_load (row, rule);
  uint64_t seeds = row->gateways >= FLEET_MIN ? 1 : SEEDS;

  for (uint64_t seed = 1; seed <= seeds; seed++) {
    OverloadTotal got = overload_play (&load, seed);

    printf ("  %-22s %-7s seed %u: ended %.3f wasted %.3f", row->name, rule->name,
            (unsigned)seed, got.ended_ratio, got.wasted_ratio);
    for (uint32_t k = 0; k < load.kind_count; k++)
      printf ("; %u: in time %.3f late %.3f refused %.3f again %.3f", k,
              got.kinds[k].in_time, got.kinds[k].answered - got.kinds[k].in_time,
              got.kinds[k].refused, got.kinds[k].refused_again);
    printf ("\n");
    if (row->burst_total > 0 && row->burst == 2 &&
        rule->rule == BURDOCK_PRIORITY_SHARES) {
      char name[96];

      for (uint32_t k = 0; k < 2; k++) {
        snprintf (name, sizeof name, "%s_in_time_of_priority_%u", row->name, k);
        bench_at_least (name, got.kinds[k].in_time, "share", 0.95);
      }
    }
  }
}

void
bench_priorities (void)
{
  apr_initialize ();
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    for (size_t k = 0; k < sizeof rules / sizeof rules[0]; k++)
      report (&rows[i], &rules[k]);
  apr_terminate ();
}
