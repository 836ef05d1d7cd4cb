/**
 * DOC: soak-faults.h - small simulated system and the faults injected into it
 */
#ifndef SOAK_FAULTS_H
#define SOAK_FAULTS_H

#include "sim-clients.h"

#define SOAK_ENTRIES 5
#define SOAK_GROUPS 2
#define SOAK_RANKS 4
#define SOAK_SERVICES 2
#define SOAK_DOMAINS 3
#define SOAK_NODES (SOAK_ENTRIES + SOAK_GROUPS * SOAK_RANKS + SOAK_SERVICES)

/**
 * struct Soak - one randomised run
 * @service_observer: group without ranks that reports executions at the plain services
 * @last_disturbance_us: last time at which the store or the network had a fault
 * @active_store_faults: store faults in effect now
 * @active_partitions: partitions between failure domains in effect now
 * @active_message_losses: periods of raised message loss in effect now
 * @config_number: number of configurations generated, which makes each one different
 * @accepted_generation: highest generation found in the store
 * @accepted_us: time at which that generation was first seen
 * @next_handle: handle of the next submission of a configuration
 * @faults_stopped: no new faults are injected, so that the system must recover
 * @sabotage: rule whose check is made to fail, or NULL
 * @last_fault: name of the last fault injected, for reports of violations
 */
typedef struct {
  Sim *sim;
  SimClients *clients;
  SimGroup *groups[SOAK_GROUPS];
  SimGroup *service_observer;
  uint64_t fault_count;
  uint64_t violation_count;
  uint64_t last_disturbance_us;
  uint32_t active_store_faults;
  uint32_t active_partitions;
  uint32_t active_message_losses;
  uint32_t config_number;
  uint64_t accepted_generation;
  uint64_t accepted_us;
  uint64_t next_handle;
  bool faults_stopped;
  const char *sabotage;
  const char *last_fault;
} Soak;

/* The only run of the process; events reach it through this pointer. */
extern Soak *const soak_state;

/**
 * soak_build() - creates the simulation, its clients and engines, and starts all
 * processes
 * @mean_interarrival_us: mean time between two calls of clients
 * @resend_per_cent: share of non-idempotent calls that are sent again with the same key
 *
 * Release with soak_clear().
 */
void soak_build (Soak *soak, uint64_t seed, uint64_t mean_interarrival_us,
                 uint32_t resend_per_cent);
void soak_clear (Soak *soak);

/** soak_start_faults() - injects faults at random times until soak->faults_stopped */
void soak_start_faults (Soak *soak);

/** soak_leave() - starts a planned stop of a process; not draining within 60 s is a
 * violation */
void soak_leave (Soak *soak, SimNode *node);

/** soak_list_leaving() - marks the instance of an agent as leaving in the platform's
 * list; not draining within 60 s is a violation, without the time that the agent has yet
 * to learn of it and the store is down */
void soak_list_leaving (Soak *soak, SimNode *node);

/** soak_kill() - kills a process and breaks the connections of its clients */
void soak_kill (Soak *soak, SimNode *node);

/** soak_restart() - starts a process that is not running */
void soak_restart (Soak *soak, SimNode *node);

/** soak_end_faults() - ends network and store faults and starts every process that is
 * down */
void soak_end_faults (Soak *soak);

/**
 * soak_exit_drained() - stops every process that has drained and starts it again later
 *
 * A restarted instance may still be listed as leaving, because the list lags; its process
 * then drains again, as a daemon does.
 */
void soak_exit_drained (Soak *soak);

/** soak_apply() - submits a new configuration to a random entry */
void soak_apply (Soak *soak);

/** soak_start_checks() - checks the invariants from now on, see soak-checks.c */
void soak_start_checks (Soak *soak);

/** soak_report_violation() - counts and prints a violation of @rule */
void soak_report_violation (Sim *sim, const char *rule, const char *detail);

/** soak_is_sabotaged() - whether @rule is to be violated on purpose, to show that its
 * check detects that */
bool soak_is_sabotaged (const Soak *soak, const char *rule);

#endif
