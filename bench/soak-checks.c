/**
 * DOC: soak-checks.c - invariants of the randomised run, checked every 200 ms
 */
#include "soak-faults.h"

#include "snapshot.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CHECK_PERIOD_US (200 * SIM_US_PER_MS)
#define CONFIG_IN_FORCE_US (8 * SIM_US_PER_S)

static void
check_generation (SimNode *node, const BurdockSnapshot *snapshot)
{
  if (snapshot->generation < node->generation)
    soak_report_violation (node->sim, "generation",
                           "a process went back to an older generation");
  node->generation = snapshot->generation;
}

static void
check_accepted (Soak *soak)
{
  const char *row = sim_store_row (soak->sim->store, "config/current", NULL);
  json_t *root = row != NULL ? json_loads (row, 0, NULL) : NULL;
  uint64_t generation =
      (uint64_t)json_integer_value (json_object_get (root, "generation"));

  json_decref (root);
  if (soak_is_sabotaged (soak, "generation") && generation > 2)
    generation = 1;
  if (generation < soak->accepted_generation)
    soak_report_violation (soak->sim, "generation", "the accepted generation went back");
  if (generation > soak->accepted_generation) {
    soak->accepted_generation = generation;
    soak->accepted_us = soak->sim->now_us;
  }
}

static uint64_t
later (uint64_t a, uint64_t b)
{
  return a > b ? a : b;
}

/* A process must use the accepted generation once it, the store and the network have run
 * without faults for CONFIG_IN_FORCE_US. */
static void
check_in_force (Soak *soak)
{
  Sim *sim = soak->sim;

  if (soak->active_store_faults + soak->active_partitions + soak->active_message_losses >
      0)
    return;
  for (uint32_t i = 0; i < sim->node_count; i++) {
    const SimNode *node = sim->nodes[i];
    uint64_t since_us = later (later (soak->accepted_us, soak->last_disturbance_us),
                               later (node->started_us, node->paused_until_us));

    if (!node->alive || sim->now_us < since_us + CONFIG_IN_FORCE_US)
      continue;
    if (node->generation < soak->accepted_generation ||
        soak_is_sabotaged (soak, "in-force"))
      soak_report_violation (sim, "in-force", node->settings.name);
  }
}

static void
check_maps (Soak *soak)
{
  for (uint32_t i = 0; i < SOAK_GROUPS; i++) {
    SimGroup *group = soak->groups[i];

    if (soak_is_sabotaged (soak, "one-map"))
      group->ranks[0]->map[13] ^= 1;
    if (group->map_mismatches > 0)
      soak_report_violation (soak->sim, "one-map", group->name);
    group->map_mismatches = 0;
  }
}

/* Each lease may have at most one holder among the processes that are running. */
static void
check_leases (Soak *soak)
{
  Sim *sim = soak->sim;
  uint32_t holders[SOAK_GROUPS] = { 0 };

  for (uint32_t i = 0; i < SOAK_ENTRIES; i++) {
    SimNode *node = sim->nodes[i];
    char *text;
    json_t *root;

    if (!node->alive || sim->now_us < node->paused_until_us)
      continue;
    text = burdock_control_report (node->control, "leases");
    root = json_loads (text, 0, NULL);
    for (size_t j = 0; j < json_array_size (json_object_get (root, "leases")); j++) {
      const json_t *lease = json_array_get (json_object_get (root, "leases"), j);
      const char *name = json_string_value (json_object_get (lease, "name"));

      for (uint32_t g = 0; g < SOAK_GROUPS; g++)
        holders[g] += json_is_true (json_object_get (lease, "held")) &&
                      strstr (name, soak->groups[g]->name) != NULL;
    }
    json_decref (root);
    free (text);
  }
  for (uint32_t g = 0; g < SOAK_GROUPS; g++) {
    if (holders[g] > 1 || soak_is_sabotaged (soak, "one-holder"))
      soak_report_violation (sim, "one-holder", soak->groups[g]->name);
  }
}

static void
run_checks (Sim *sim, void *data)
{
  Soak *soak = soak_state;

  if (soak->active_store_faults + soak->active_partitions + soak->active_message_losses >
      0)
    soak->last_disturbance_us = sim->now_us;
  soak_exit_drained (soak);
  check_accepted (soak);
  check_in_force (soak);
  check_maps (soak);
  check_leases (soak);
  sim_clients_check_overdue (soak->clients);
  sim_schedule (sim, sim->now_us + CHECK_PERIOD_US, run_checks, NULL);
}

void
soak_start_checks (Soak *soak)
{
  soak->sim->published = check_generation;
  run_checks (soak->sim, NULL);
}
