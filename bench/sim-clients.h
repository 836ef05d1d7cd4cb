/**
 * DOC: sim-clients.h - simulated clients that check every response
 */
#ifndef SIM_CLIENTS_H
#define SIM_CLIENTS_H

#include "sim-engine.h"

/**
 * struct SimWorkload - requests that clients send
 * @mean_interarrival_us: mean time between two calls
 * @services_per_cent: share of calls that go to @service and are non-idempotent; the
 *   others go to @model and are idempotent
 * @resend_per_cent: share of non-idempotent calls that are sent again with the same key,
 *   usually through another entry, to test that they run at most once
 * @workspace_count: calls are spread over this many workspaces, named w0, w1, ...
 * @sabotage: rule whose check is made to fail, to show that it detects violations; or
 * NULL
 */
typedef struct {
  uint64_t mean_interarrival_us;
  uint32_t deadline_ms;
  uint32_t services_per_cent;
  uint32_t resend_per_cent;
  const char *model;
  const char *version;
  const char *service;
  uint32_t workspace_count;
  const char *sabotage;
} SimWorkload;

/**
 * struct SimClientCounts - outcomes of calls
 * @requests: submissions, with those that were sent again
 * @refused_not_run: refused or failed, with the promise that the request did not run
 * @unknown: refused or failed, and the request may have run
 * @broken: streams that ended before the last token
 * @cut: connections lost because the entry died
 * @reasons: refusals and failures by reason
 */
typedef struct {
  uint64_t requests;
  uint64_t answered;
  uint64_t refused_not_run;
  uint64_t unknown;
  uint64_t broken;
  uint64_t cut;
  uint64_t reasons[BURDOCK_REASON_COUNT];
} SimClientCounts;

/**
 * sim_clients_new() - clients that submit calls to the entries of @sim
 * @violation: called with the rule that a response broke
 *
 * Sets sim->clients and sim->deliver. Release with sim_clients_free().
 */
SimClients *sim_clients_new (Sim *sim, const SimWorkload *workload,
                             void (*violation) (Sim *sim, const char *rule,
                                                const char *detail));
void sim_clients_free (SimClients *clients);

/** sim_clients_start() - sends calls from now until @until_us */
void sim_clients_start (SimClients *clients, uint64_t until_us);

/** sim_clients_execution_started() - to be called whenever an upstream starts to execute
 * the request with @key; checks that it may run */
void sim_clients_execution_started (SimClients *clients, const char *key);

/** sim_clients_entry_gone() - ends all pending calls at an entry that died; clients send
 * some of them again */
void sim_clients_entry_gone (SimClients *clients, const SimNode *node);

/** sim_clients_count_pending() - number of calls at @node without an outcome */
uint32_t sim_clients_count_pending (const SimClients *clients, const SimNode *node);

/** sim_clients_check_overdue() - reports calls without an outcome 5 s after the deadline
 */
void sim_clients_check_overdue (SimClients *clients);

/** sim_clients_counts() - counts so far; valid until sim_clients_free() */
const SimClientCounts *sim_clients_counts (const SimClients *clients);

#endif
