/**
 * DOC: soak.c - randomised fault injection into a small simulated system, with checks of
 * its invariants
 *
 * Prints "soak: seed=n events=n faults=n requests=n violations=n"; the same seed gives
 * the same run. The faults end before the run does, and the system must then recover.
 */
#include "soak-faults.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MEAN_INTERARRIVAL_US (25 * SIM_US_PER_MS)
#define RESEND_PER_CENT 20
#define SETTLE_US (45 * SIM_US_PER_S)
#define START_US (5 * SIM_US_PER_S)
#define APPLY_PERIOD_US (7 * SIM_US_PER_S)

typedef struct {
  uint64_t seed;
  uint32_t seconds;
  const char *sabotage;
  bool verbose;
  bool print_messages;
} Options;

static void
apply_periodically (Sim *sim, void *data)
{
  soak_apply (soak_state);
  sim_schedule (sim,
                sim->now_us + APPLY_PERIOD_US / 2 +
                    sim_random_below (sim, APPLY_PERIOD_US),
                apply_periodically, NULL);
}

/* Runs for another 10 s, SETTLE_US after the last fault: at least 85 % of the requests
 * must be answered and every group must make steps. */
static void
check_recovered (Soak *soak)
{
  Sim *sim = soak->sim;
  SimClientCounts before = *sim_clients_counts (soak->clients);
  uint64_t steps[SOAK_GROUPS];
  const SimClientCounts *after = sim_clients_counts (soak->clients);
  uint64_t requests;
  char detail[128];

  for (uint32_t i = 0; i < SOAK_GROUPS; i++)
    steps[i] = soak->groups[i]->step;
  sim_run_until (sim, sim->now_us + 10 * SIM_US_PER_S);
  requests = after->requests - before.requests;
  snprintf (detail, sizeof detail, "%llu of %llu answered",
            (unsigned long long)(after->answered - before.answered),
            (unsigned long long)requests);
  if ((after->answered - before.answered) * 100 < requests * 85 ||
      soak_is_sabotaged (soak, "recovered"))
    soak_report_violation (sim, "recovered", detail);
  for (uint32_t i = 0; i < SOAK_GROUPS; i++) {
    if (soak->groups[i]->step == steps[i])
      soak_report_violation (sim, "recovered", soak->groups[i]->name);
  }
}

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  Options *options = state->input;

  switch (key) {
  case 's':
    options->seed = strtoull (argument, NULL, 10);
    return 0;
  case 't':
    options->seconds = (uint32_t)strtoul (argument, NULL, 10);
    return 0;
  case 'b':
    options->sabotage = argument;
    return 0;
  case 'v':
    options->verbose = true;
    return 0;
  case 'm':
    options->print_messages = true;
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

static void
run (const Options *options)
{
  Soak *soak = soak_state;
  Sim *sim;

  soak->sabotage = options->sabotage;
  soak_build (soak, options->seed, MEAN_INTERARRIVAL_US, RESEND_PER_CENT);
  sim = soak->sim;
  sim->verbose = options->verbose;
  sim->print_messages = options->print_messages;
  sim_run_until (sim, sim->now_us + SIM_US_PER_S);
  soak_apply (soak);
  sim_run_until (sim, sim->now_us + START_US);
  soak_start_checks (soak);
  sim_schedule (sim, sim->now_us + APPLY_PERIOD_US, apply_periodically, NULL);
  soak_start_faults (soak);
  sim_clients_start (soak->clients, UINT64_MAX);
  sim_run_until (sim, sim->now_us + options->seconds * SIM_US_PER_S);
  soak_end_faults (soak);
  sim_run_until (sim, sim->now_us + SETTLE_US);
  check_recovered (soak);
}

static void
print_group (const SimGroup *group)
{
  printf ("group %s: steps=%llu\n", group->name, (unsigned long long)group->step);
  for (uint32_t i = 0; i < group->rank_count; i++) {
    const SimEngine *rank = group->ranks[i];

    printf ("  rank %u: alive=%d joining=%d map_epoch=%llu loaded_epoch=%llu "
            "held_epoch=%llu held_step=%llu\n",
            i, rank->alive, rank->joining, (unsigned long long)rank->map_epoch,
            (unsigned long long)rank->loaded_epoch, (unsigned long long)rank->held_epoch,
            (unsigned long long)rank->held_step);
  }
}

static void
print_counts (const Soak *soak)
{
  const SimClientCounts *counts = sim_clients_counts (soak->clients);

  printf (
      "callers: answered=%llu refused_not_run=%llu unknown=%llu broken=%llu cut=%llu\n",
      (unsigned long long)counts->answered, (unsigned long long)counts->refused_not_run,
      (unsigned long long)counts->unknown, (unsigned long long)counts->broken,
      (unsigned long long)counts->cut);
  for (uint32_t i = 0; i < BURDOCK_REASON_COUNT; i++) {
    if (counts->reasons[i] > 0)
      printf ("  %s=%llu\n", burdock_reason_name (i),
              (unsigned long long)counts->reasons[i]);
  }
  for (uint32_t i = 0; i < SOAK_GROUPS; i++)
    print_group (soak->groups[i]);
}

int
main (int argc, char **argv)
{
  static const struct argp_option arguments[] = {
    { "seed", 's', "N", 0, "Seed of the run (default 1)", 0 },
    { "seconds", 't', "N", 0, "Duration of the faults in virtual seconds (default 60)",
      0 },
    { "sabotage", 'b', "RULE", 0, "Violate RULE on purpose, to test its check", 0 },
    { "verbose", 'v', NULL, 0, "Print all log events and faults", 0 },
    { "messages", 'm', NULL, 0, "Print control messages other than heartbeats", 0 },
    { 0 },
  };
  static const struct argp argp = {
    .options = arguments,
    .parser = parse_option,
    .doc = "Randomised fault injection into a simulated system"
  };
  Options options = { .seed = 1, .seconds = 60 };
  Soak *soak = soak_state;

  if (argp_parse (&argp, argc, argv, 0, NULL, &options) != 0)
    return 2;
  run (&options);
  print_counts (soak);
  printf ("soak: seed=%llu events=%llu faults=%llu requests=%llu violations=%llu\n",
          (unsigned long long)options.seed, (unsigned long long)soak->sim->event_count,
          (unsigned long long)soak->fault_count,
          (unsigned long long)sim_clients_counts (soak->clients)->requests,
          (unsigned long long)soak->violation_count);
  soak_clear (soak);
  return soak->violation_count > 0 ? 1 : 0;
}
