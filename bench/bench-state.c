/**
 * DOC: bench-state.c - propagation time of a configuration, and calls of the store during
 * a full restart and an outage
 */
#include "bench.h"

#include "control-fleet.h"
#include "snapshot.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOSS_PER_MILLE 20
#define SETTLE_US (8 * SIM_US_PER_S)
#define PROPAGATION_TARGET_MS 2000
#define PROPAGATION_LIMIT_US (30 * SIM_US_PER_S)
#define STEP_US (5 * SIM_US_PER_MS)

#define RESTART_ENTRIES 330
#define RESTART_US (15 * SIM_US_PER_S)
#define OUTAGE_US (10 * SIM_US_PER_S)
#define RESTART_READS_TARGET 1000
#define RESTART_WRITES_TARGET 150

/* 600 upstreams in groups of 32 ranks. */
#define RESTART_GROUPS 19

static uint64_t accepted_us;

static void
record_outcome (SimNode *node, const BurdockApplyResult *result)
{
  if (result->outcome == BURDOCK_APPLY_ACCEPTED)
    accepted_us = node->sim->now_us;
}

/* Submits @text and runs until it is accepted, at most 30 s. */
static void
submit_and_wait (Sim *sim, SimNode *node, const char *text)
{
  uint64_t limit_us = sim->now_us + PROPAGATION_LIMIT_US;

  accepted_us = 0;
  sim->apply_done = record_outcome;
  burdock_control_apply (node->control, 2, "bench",
                         (BurdockBytes){ (const uint8_t *)text,
                                         (uint32_t)strlen (text) });
  sim_tick (node);
  while (accepted_us == 0 && sim->now_us < limit_us)
    sim_run_until (sim, sim->now_us + SIM_US_PER_MS);
}

/* Number of members that serve traffic with @generation or a later one. */
static uint32_t
count_ready (const Sim *sim, uint64_t generation)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < sim->node_count; i++) {
    const BurdockSnapshot *snapshot = sim->nodes[i]->snapshot;

    count += snapshot != NULL && snapshot->refusal == BURDOCK_REASON_NONE &&
             snapshot->generation >= generation;
  }
  return count;
}

/* Time in milliseconds from the acceptance of a change until all members serve traffic
 * with it, the longest of @seeds runs. */
static double
propagation_ms (uint32_t entries, uint32_t agents, uint32_t domains, uint32_t seeds)
{
  const ControlFleetSize size = { .entries = entries,
                                  .agents = agents,
                                  .domains = domains,
                                  .workspaces = 10,
                                  .loss_per_mille = LOSS_PER_MILLE };
  uint64_t worst_us = 0;

  for (uint64_t seed = 1; seed <= seeds; seed++) {
    Sim *sim = control_fleet_new (seed, &size);
    char *text = control_fleet_config_text (11, 0, 17);

    sim_run_until (sim, sim->now_us + SETTLE_US);
    submit_and_wait (sim, sim->nodes[sim_random_below (sim, entries)], text);
    while (count_ready (sim, 2) < sim->node_count &&
           sim->now_us < accepted_us + PROPAGATION_LIMIT_US)
      sim_run_until (sim, sim->now_us + STEP_US);
    if (sim->now_us - accepted_us > worst_us)
      worst_us = sim->now_us - accepted_us;
    sim_free (sim);
    free (text);
  }
  return (double)worst_us / (double)SIM_US_PER_MS;
}

static char *
config_text_with_groups (void)
{
  char *head = control_fleet_config_text (10, 0, 16);
  char *text = NULL;
  size_t size_bytes = 0;
  FILE *out = open_memstream (&text, &size_bytes);

  fprintf (out, "%sgroups:\n", head);
  for (uint32_t i = 0; i < RESTART_GROUPS; i++)
    fprintf (out,
             "  g%u: {pool: drafting, ranks: 32, layers: 8, experts: 128, "
             "slots_per_rank: 6, skew_weight: 1, cost_weight: 1, expert_bytes: 1, "
             "rebalance_interval_ms: 5000}\n",
             i);
  fclose (out);
  free (head);
  return text;
}

/* Store calls during an outage of the store and in the burst after it. */
static void
bench_outage (Sim *sim)
{
  sim->store->peak_reads_per_s = 0;
  sim->store->peak_writes_per_s = 0;
  sim->store->faults.down = true;
  sim_run_until (sim, sim->now_us + OUTAGE_US);
  sim->store->faults.down = false;
  sim_run_until (sim, sim->now_us + RESTART_US);
  bench_at_most ("store_reads_per_s_outage_330", (double)sim->store->peak_reads_per_s,
                 "reads/s", RESTART_READS_TARGET);
  bench_at_most ("store_writes_per_s_outage_330", (double)sim->store->peak_writes_per_s,
                 "writes/s", RESTART_WRITES_TARGET);
  bench_at_least ("outage_leases_330",
                  (double)control_fleet_sum_metric (sim, "leases_held"), "leases",
                  RESTART_GROUPS);
}

/* The worst case: all entries start at the same time, and no running member has the
 * configuration. */
static void
bench_restart (void)
{
  const ControlFleetSize size = { .entries = RESTART_ENTRIES,
                                  .domains = 7,
                                  .workspaces = 10 };
  Sim *sim = control_fleet_new (7, &size);
  char *text = config_text_with_groups ();

  sim_run_until (sim, sim->now_us + SETTLE_US);
  submit_and_wait (sim, sim->nodes[0], text);
  sim_run_until (sim, sim->now_us + SETTLE_US);
  for (uint32_t i = 0; i < sim->node_count; i++)
    sim_stop (sim->nodes[i]);
  sim_run_until (sim, sim->now_us + SETTLE_US);
  sim->store->peak_reads_per_s = 0;
  sim->store->peak_writes_per_s = 0;
  for (uint32_t i = 0; i < sim->node_count; i++)
    sim_start (sim->nodes[i]);
  sim_run_until (sim, sim->now_us + RESTART_US);
  bench_at_most ("store_reads_per_s_330", (double)sim->store->peak_reads_per_s, "reads/s",
                 RESTART_READS_TARGET);
  bench_at_most ("store_writes_per_s_330", (double)sim->store->peak_writes_per_s,
                 "writes/s", RESTART_WRITES_TARGET);
  /* A fleet that does nothing would meet both limits, so its state is checked too. */
  bench_at_least ("restart_ready_330", count_ready (sim, 2), "entries", RESTART_ENTRIES);
  bench_at_least ("restart_leases_330",
                  (double)control_fleet_sum_metric (sim, "leases_held"), "leases",
                  RESTART_GROUPS);
  bench_outage (sim);
  sim_free (sim);
  free (text);
}

void
bench_state (void)
{
  bench_at_most ("config_spread_ms_9", propagation_ms (9, 19, 3, 10), "ms",
                 PROPAGATION_TARGET_MS);
  bench_at_most ("config_spread_ms_330", propagation_ms (330, 0, 7, 1), "ms",
                 PROPAGATION_TARGET_MS);
  bench_restart ();
}
