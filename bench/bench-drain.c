/**
 * DOC: bench-drain.c - time from the notice to leave until an upstream starts its last
 * request
 */
#include "bench.h"
#include "soak-faults.h"

#include <string.h>

#define SEEDS 10
#define RANK_AGENTS UINT64_C (8)
#define MEAN_INTERARRIVAL_US (10 * SIM_US_PER_MS)
#define START_US (6 * SIM_US_PER_S)
#define RUN_US (10 * SIM_US_PER_S)
#define US_PER_MS_F 1000.0

/* Planned stop of a rank agent and a service agent under load, with 2 % of control
 * messages lost. Returns the longer of both times. */
static double
last_new_request_ms (uint64_t seed)
{
  Soak *soak = soak_state;
  Sim *sim;
  SimNode *nodes[2];
  double worst_ms = 0;

  memset (soak, 0, sizeof *soak);
  soak_build (soak, seed, MEAN_INTERARRIVAL_US, 0);
  sim = soak->sim;
  sim->network.loss_per_mille = 20;
  sim_run_until (sim, sim->now_us + SIM_US_PER_S);
  soak_apply (soak);
  sim_clients_start (soak->clients, UINT64_MAX);
  sim_run_until (sim, sim->now_us + START_US);
  nodes[0] = sim->nodes[SOAK_ENTRIES + seed % RANK_AGENTS];
  nodes[1] = sim->nodes[SOAK_NODES - 1];
  for (uint32_t i = 0; i < 2; i++)
    soak_leave (soak, nodes[i]);
  for (uint64_t until_us = sim->now_us + RUN_US; sim->now_us < until_us;) {
    sim_run_until (sim, sim->now_us + 100 * SIM_US_PER_MS);
    for (uint32_t i = 0; i < 2; i++) {
      const SimNode *node = nodes[i];

      if (node->leaving_notice_us != 0 &&
          node->last_execution_us > node->leaving_notice_us) {
        double ms =
            (double)(node->last_execution_us - node->leaving_notice_us) / US_PER_MS_F;

        worst_ms = ms > worst_ms ? ms : worst_ms;
      }
    }
  }
  soak_clear (soak);
  return worst_ms;
}

void
bench_drain (void)
{
  double worst_ms = 0;

  for (uint64_t seed = 1; seed <= SEEDS; seed++) {
    double ms = last_new_request_ms (seed);

    worst_ms = ms > worst_ms ? ms : worst_ms;
  }
  bench_at_most ("drain_ms", worst_ms, "ms", 3000);
}
