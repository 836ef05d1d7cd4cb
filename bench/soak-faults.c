#include "soak-faults.h"

#include "snapshot.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_US (20 * SIM_US_PER_MS)
#define DRAIN_POLL_US (50 * SIM_US_PER_MS)
#define DRAIN_LIMIT_US (60 * SIM_US_PER_S)
#define ANSWER_LIFETIME_MS 2000
#define MEAN_FAULT_GAP_US (1500 * SIM_US_PER_MS)

/* Time after the notice to leave from which no new request may start at a process. */
#define LEAVING_LIMIT_US (3 * SIM_US_PER_S)

/* Lag of the instance list plus the polling period of its readers. */
#define LIST_DELAY_US (2 * SIM_US_PER_S)

typedef void (*FaultFunction) (Soak *soak);

typedef struct {
  const char *name;
  FaultFunction inject;
} FaultKind;

typedef struct {
  SimNode *node;
  uint64_t start_count;
} NodeEvent;

/**
 * struct Drain - planned stop that is being watched
 * @listed: the notice is in the instance list and nowhere else
 * @deadline_us: end of the time to drain, extended while the notice cannot be read
 */
typedef struct {
  SimNode *node;
  uint64_t start_count;
  bool listed;
  uint64_t deadline_us;
} Drain;

typedef struct {
  uint32_t a;
  uint32_t b;
} PartitionEvent;

static Soak soak_instance;
Soak *const soak_state = &soak_instance;

bool
soak_is_sabotaged (const Soak *soak, const char *rule)
{
  return soak->sabotage != NULL && strcmp (soak->sabotage, rule) == 0;
}

void
soak_report_violation (Sim *sim, const char *rule, const char *detail)
{
  soak_state->violation_count++;
  printf ("violation: rule=%s time_ms=%llu event=%llu last_fault=\"%s\" %s\n", rule,
          (unsigned long long)(sim->now_us / SIM_US_PER_MS),
          (unsigned long long)sim->event_count, soak_state->last_fault, detail);
}

static uint64_t
random_between (Soak *soak, uint64_t low_us, uint64_t high_us)
{
  return low_us + sim_random_below (soak->sim, high_us - low_us);
}

static SimNode *
random_node (Soak *soak)
{
  return soak->sim->nodes[sim_random_below (soak->sim, soak->sim->node_count)];
}

static SimNode *
random_agent (Soak *soak)
{
  return soak->sim
      ->nodes[SOAK_ENTRIES + sim_random_below (soak->sim, SOAK_NODES - SOAK_ENTRIES)];
}

static void
record_disturbance (Soak *soak)
{
  soak->last_disturbance_us = soak->sim->now_us;
}

static NodeEvent *
node_event (SimNode *node)
{
  NodeEvent *event = malloc (sizeof *event);

  *event = (NodeEvent){ .node = node, .start_count = node->start_count };
  return event;
}

/* Restart */

static void
start_node (Sim *sim, void *data)
{
  SimNode *node = ((NodeEvent *)data)->node;

  if (!node->alive) {
    sim_start (node);
    sim_store_set_instance (sim->store, node, BURDOCK_INSTANCE_LIVE);
  }
}

static void
stop_node (Soak *soak, SimNode *node)
{
  if (!node->alive)
    return;
  sim_stop (node);
  sim_clients_entry_gone (soak->clients, node);
}

static void
kill_node (Soak *soak)
{
  SimNode *node = random_node (soak);

  stop_node (soak, node);
  sim_schedule (soak->sim,
                soak->sim->now_us +
                    random_between (soak, 100 * SIM_US_PER_MS, 6 * SIM_US_PER_S),
                start_node, node_event (node));
}

static void
pause_node (Soak *soak)
{
  SimNode *node = random_node (soak);

  if (node->alive)
    sim_pause (node, random_between (soak, 50 * SIM_US_PER_MS, 12 * SIM_US_PER_S));
}

/* Network */

static void
heal_partition (Sim *sim, void *data)
{
  PartitionEvent *partition = data;
  Soak *soak = soak_state;

  sim->domain_partitioned[partition->a][partition->b] = false;
  sim->domain_partitioned[partition->b][partition->a] = false;
  soak->active_partitions--;
  record_disturbance (soak);
}

static void
partition_domains (Soak *soak)
{
  Sim *sim = soak->sim;
  PartitionEvent *partition = malloc (sizeof *partition);

  partition->a = (uint32_t)sim_random_below (sim, SOAK_DOMAINS);
  partition->b = (partition->a + 1) % SOAK_DOMAINS;
  sim->domain_partitioned[partition->a][partition->b] = true;
  sim->domain_partitioned[partition->b][partition->a] = true;
  soak->active_partitions++;
  sim_schedule (sim, sim->now_us + random_between (soak, SIM_US_PER_S, 10 * SIM_US_PER_S),
                heal_partition, partition);
}

static void
end_loss (Sim *sim, void *data)
{
  Soak *soak = soak_state;

  if (--soak->active_message_losses == 0)
    sim->network.loss_per_mille = 5;
  record_disturbance (soak);
}

static void
lose_messages (Soak *soak)
{
  soak->active_message_losses++;
  soak->sim->network.loss_per_mille = 20 + (uint32_t)sim_random_below (soak->sim, 200);
  sim_schedule (soak->sim,
                soak->sim->now_us + random_between (soak, SIM_US_PER_S, 4 * SIM_US_PER_S),
                end_loss, NULL);
}

static void
cut_connection (Soak *soak)
{
  SimNode *entry = soak->sim->nodes[sim_random_below (soak->sim, SOAK_ENTRIES)];

  sim_cut_connection (entry, random_agent (soak));
}

/* Store */

static void
end_store_fault (Sim *sim, void *data)
{
  Soak *soak = soak_state;

  if (--soak->active_store_faults == 0)
    sim->store->faults = (SimStoreFaults){ 0 };
  record_disturbance (soak);
}

static void
begin_store_fault (Soak *soak, uint64_t longest_us)
{
  soak->active_store_faults++;
  sim_schedule (soak->sim,
                soak->sim->now_us + random_between (soak, SIM_US_PER_S / 2, longest_us),
                end_store_fault, NULL);
}

static void
store_down (Soak *soak)
{
  soak->sim->store->faults.down = true;
  begin_store_fault (soak, 20 * SIM_US_PER_S);
}

static void
store_loses_answers (Soak *soak)
{
  soak->sim->store->faults.lose_response_per_mille = 500;
  begin_store_fault (soak, 5 * SIM_US_PER_S);
}

static void
store_writes_late (Soak *soak)
{
  soak->sim->store->faults.late_write_per_mille = 300;
  begin_store_fault (soak, 5 * SIM_US_PER_S);
}

static void
store_slow (Soak *soak)
{
  soak->sim->store->faults.delay_us =
      random_between (soak, 100 * SIM_US_PER_MS, 3 * SIM_US_PER_S);
  begin_store_fault (soak, 8 * SIM_US_PER_S);
}

/* Engines */

static SimEngine *
random_engine (Soak *soak)
{
  SimGroup *group = soak->groups[sim_random_below (soak->sim, SOAK_GROUPS)];

  return group->ranks[sim_random_below (soak->sim, group->rank_count)];
}

static void
restart_engine (Soak *soak)
{
  sim_engine_restart (random_engine (soak),
                      random_between (soak, 100 * SIM_US_PER_MS, 4 * SIM_US_PER_S));
}

static void
stall_engine (Soak *soak)
{
  random_engine (soak)->stalled_until_us =
      soak->sim->now_us + random_between (soak, 100 * SIM_US_PER_MS, 5 * SIM_US_PER_S);
}

static void
shift_popularity (Soak *soak)
{
  for (uint32_t i = 0; i < SOAK_GROUPS; i++)
    soak->groups[i]->hot_expert =
        (uint32_t)sim_random_below (soak->sim, soak->groups[i]->experts);
}

/* Planned stops */

/* Whether the process may exit. Daemons check this after each event. */
static bool
is_drained (const Soak *soak, const SimNode *node)
{
  uint32_t in_flight = 0;

  if (node->dispatcher != NULL)
    in_flight = burdock_dispatcher_in_flight (node->dispatcher);
  if (node->executor != NULL)
    in_flight = burdock_executor_in_flight (node->executor);
  if (soak_is_sabotaged (soak, "planned-stop"))
    in_flight = 0;
  return soak->sim->now_us >= node->paused_until_us &&
         burdock_control_drained (node->control, in_flight);
}

static void
exit_drained (Soak *soak, SimNode *node)
{
  Sim *sim = soak->sim;

  if (sim_clients_count_pending (soak->clients, node) > 0)
    soak_report_violation (sim, "planned-stop", node->settings.name);
  node->drain_count++;
  stop_node (soak, node);
  sim_schedule (sim,
                sim->now_us +
                    random_between (soak, 100 * SIM_US_PER_MS, 4 * SIM_US_PER_S),
                start_node, node_event (node));
}

void
soak_exit_drained (Soak *soak)
{
  for (uint32_t i = 0; i < soak->sim->node_count; i++) {
    SimNode *node = soak->sim->nodes[i];

    if (node->alive && is_drained (soak, node))
      exit_drained (soak, node);
  }
}

/* Whether the agent has yet to learn of its stop from an instance list that no process
 * can read. The list is read through the store, whose faults overlap: with seed 5 all
 * reads failed for 82 s. Time in which the list can be read counts in any case, and so
 * does all time after the agent has begun its stop. */
static bool
notice_is_unreadable (const Drain *drain)
{
  const SimNode *node = drain->node;
  bool begun =
      node->snapshot != NULL && node->snapshot->refusal == BURDOCK_REASON_LEAVING;

  return drain->listed && !begun && node->sim->store->faults.down;
}

static void
poll_drain (Sim *sim, void *data)
{
  Drain *drain = data;
  SimNode *node = drain->node;
  Soak *soak = soak_state;
  Drain *again;

  if (!node->alive || node->start_count != drain->start_count)
    return;
  if (is_drained (soak, node)) {
    exit_drained (soak, node);
    return;
  }
  if (notice_is_unreadable (drain))
    drain->deadline_us += DRAIN_POLL_US;
  if (sim->now_us > drain->deadline_us) {
    char detail[128];

    snprintf (detail, sizeof detail, "%s not drained within 60 s", node->settings.name);
    soak_report_violation (sim, "planned-stop", detail);
    return;
  }
  again = malloc (sizeof *again);
  *again = *drain;
  sim_schedule (sim, sim->now_us + DRAIN_POLL_US, poll_drain, again);
}

static void
watch_drain (SimNode *node, bool listed)
{
  Sim *sim = node->sim;
  Drain *drain = malloc (sizeof *drain);

  *drain = (Drain){ .node = node,
                    .start_count = node->start_count,
                    .listed = listed,
                    .deadline_us = sim->now_us + DRAIN_LIMIT_US };
  sim_schedule (sim, sim->now_us + DRAIN_POLL_US, poll_drain, drain);
}

void
soak_leave (Soak *soak, SimNode *node)
{
  if (!node->alive || node->leaving_notice_us != 0 ||
      soak->sim->now_us < node->paused_until_us)
    return;
  node->leaving_notice_us = soak->sim->now_us;
  if (!soak_is_sabotaged (soak, "leaving"))
    burdock_control_leave (node->control);
  sim_tick (node);
  watch_drain (node, false);
}

void
soak_list_leaving (Soak *soak, SimNode *node)
{
  if (!node->alive || node->leaving_notice_us != 0)
    return;
  node->leaving_notice_us = soak->sim->now_us + LIST_DELAY_US;
  sim_store_set_instance (soak->sim->store, node, BURDOCK_INSTANCE_LEAVING);
  watch_drain (node, true);
}

void
soak_kill (Soak *soak, SimNode *node)
{
  stop_node (soak, node);
}

void
soak_restart (Soak *soak, SimNode *node)
{
  NodeEvent event = { .node = node };

  start_node (soak->sim, &event);
}

static void
stop_gracefully (Soak *soak)
{
  soak_leave (soak, random_node (soak));
}

static void
list_as_leaving (Soak *soak)
{
  soak_list_leaving (soak, random_agent (soak));
}

/* Configuration */

static const char config_format[] = "franchise: soak\n"
                                    "defaults:\n"
                                    "  priority: normal\n"
                                    "  running_limit: %u\n"
                                    "  deadline_ms: 8000\n"
                                    "  models:\n"
                                    "    - {model: drafting, version: v1}\n"
                                    "  services: [booking]\n"
                                    "models:\n"
                                    "  drafting:\n"
                                    "    versions: [v1]\n"
                                    "pools:\n"
                                    "  drafting: {kind: model, models: [drafting], "
                                    "running_limit: 16, queue_limit: 64}\n"
                                    "  booking: {kind: service, service: booking, "
                                    "running_limit: 16, queue_limit: 64}\n"
                                    "groups:\n"
                                    "  g0: {pool: drafting, ranks: 4, layers: 2, "
                                    "experts: 8, slots_per_rank: 3, skew_weight: 4.0, "
                                    "cost_weight: 0.1, expert_bytes: 1000, "
                                    "rebalance_interval_ms: 1000}\n"
                                    "  g1: {pool: drafting, ranks: 4, layers: 2, "
                                    "experts: 8, slots_per_rank: 3, skew_weight: 4.0, "
                                    "cost_weight: 0.1, expert_bytes: 1000, "
                                    "rebalance_interval_ms: 1000}\n"
                                    "workspaces:\n"
                                    "  w0: {}\n"
                                    "  w1: {}\n"
                                    "  w2: {}\n"
                                    "  w3: {}\n";

void
soak_apply (Soak *soak)
{
  SimNode *node = soak->sim->nodes[sim_random_below (soak->sim, SOAK_ENTRIES)];
  char text[2048];
  int length_bytes =
      snprintf (text, sizeof text, config_format, 100 + soak->config_number++);

  if (!node->alive || soak->sim->now_us < node->paused_until_us)
    return;
  burdock_control_apply (node->control, soak->next_handle++, "soak",
                         (BurdockBytes){ (const uint8_t *)text, (uint32_t)length_bytes });
  sim_tick (node);
}

static void
race_operators (Soak *soak)
{
  soak_apply (soak);
  soak_apply (soak);
}

/* Schedule */

static const FaultKind fault_kinds[] = {
  { "process killed", kill_node },
  { "process paused", pause_node },
  { "failure domains cut", partition_domains },
  { "messages lost", lose_messages },
  { "connection cut", cut_connection },
  { "store down", store_down },
  { "store loses answers", store_loses_answers },
  { "store writes late", store_writes_late },
  { "store slow", store_slow },
  { "engine restarted", restart_engine },
  { "engine stalled", stall_engine },
  { "popularity shifted", shift_popularity },
  { "planned stop", stop_gracefully },
  { "instance listed as leaving", list_as_leaving },
  { "two operators", race_operators },
};

static void
inject_random_fault (Sim *sim, void *data)
{
  Soak *soak = soak_state;
  const FaultKind *kind =
      &fault_kinds[sim_random_below (sim, sizeof fault_kinds / sizeof fault_kinds[0])];

  if (soak->faults_stopped)
    return;
  soak->last_fault = kind->name;
  soak->fault_count++;
  if (sim->verbose)
    printf ("%10.3f fault: %s\n", (double)sim->now_us / (double)SIM_US_PER_S, kind->name);
  kind->inject (soak);
  if (sim_random_below (sim, 4) == 0)
    kind->inject (soak);
  sim_schedule (sim, sim->now_us + sim_random_below (sim, 2 * MEAN_FAULT_GAP_US),
                inject_random_fault, NULL);
}

void
soak_start_faults (Soak *soak)
{
  sim_schedule (soak->sim, soak->sim->now_us, inject_random_fault, NULL);
}

void
soak_end_faults (Soak *soak)
{
  Sim *sim = soak->sim;

  soak->faults_stopped = true;
  sim->network.loss_per_mille = 0;
  sim->store->faults = (SimStoreFaults){ 0 };
  memset (sim->domain_partitioned, 0, sizeof sim->domain_partitioned);
  record_disturbance (soak);
  for (uint32_t i = 0; i < sim->node_count; i++) {
    if (!sim->nodes[i]->alive)
      sim_schedule (sim, sim->now_us, start_node, node_event (sim->nodes[i]));
  }
}

/* Construction */

static void
on_execution (SimNode *node, const char *key)
{
  Soak *soak = soak_state;
  Sim *sim = node->sim;
  uint64_t notice_us = node->leaving_notice_us;

  node->executions++;
  node->last_execution_us = sim->now_us;
  sim_clients_execution_started (soak->clients, key);
  if (soak_is_sabotaged (soak, "at-most-once"))
    sim_clients_execution_started (soak->clients, key);
  /* A paused process starts work that was sent before the notice only after the pause. */
  if (node->paused_until_us > notice_us)
    notice_us = node->paused_until_us;
  if (node->leaving_notice_us != 0 && sim->now_us > notice_us + LEAVING_LIMIT_US &&
      soak->last_disturbance_us < node->leaving_notice_us &&
      soak->active_store_faults == 0 && soak->active_partitions == 0)
    soak_report_violation (sim, "leaving", node->settings.name);
}

static void
add_node (Soak *soak, BurdockSettings settings, uint32_t domain, const char *format,
          uint32_t a, uint32_t b)
{
  Sim *sim = soak->sim;
  SimNode *node;

  snprintf (settings.name, sizeof settings.name, format, a, b);
  snprintf (settings.failure_domain, sizeof settings.failure_domain, "fd%u", domain);
  settings.answer_lifetime_ms = ANSWER_LIFETIME_MS;
  settings.capacity = 16;
  for (uint32_t i = 0; i < 3; i++)
    settings.seeds[settings.seed_count++] =
        (BurdockAddress){ 0x0a000000 + i, SIM_PORT_CONTROL };
  node = sim_add_node (sim, &settings, domain);
  sim_store_set_instance (sim->store, node, BURDOCK_INSTANCE_LIVE);
}

static void
add_group (Soak *soak, uint32_t g)
{
  char name[BURDOCK_NAME_BYTES];

  snprintf (name, sizeof name, "g%u", g);
  soak->groups[g] = sim_group_new (soak->sim, name, 2, 8, 3, STEP_US, on_execution);
  for (uint32_t rank = 0; rank < SOAK_RANKS; rank++) {
    BurdockSettings settings = { .role = BURDOCK_ROLE_AGENT,
                                 .rank = rank,
                                 .pool = "drafting" };

    memcpy (settings.group, name, sizeof settings.group);
    add_node (soak, settings, rank % SOAK_DOMAINS, "agent-g%u-%u", g, rank);
    sim_engine_add (soak->groups[g], soak->sim->nodes[soak->sim->node_count - 1]);
  }
}

void
soak_build (Soak *soak, uint64_t seed, uint64_t mean_interarrival_us,
            uint32_t resend_per_cent)
{
  const SimWorkload workload = {
    .mean_interarrival_us = mean_interarrival_us,
    .deadline_ms = 8000,
    .services_per_cent = 30,
    .resend_per_cent = resend_per_cent,
    .model = "drafting",
    .version = "v1",
    .service = "booking",
    .workspace_count = 4,
    .sabotage = soak->sabotage,
  };

  soak->last_fault = "none";
  soak->sim = sim_new (seed, SOAK_NODES);
  soak->sim->traffic = true;
  soak->sim->engine_call = sim_engine_call;
  soak->sim->network.loss_per_mille = 5;
  soak->sim->network.duplicate_per_mille = 20;
  soak->clients = sim_clients_new (soak->sim, &workload, soak_report_violation);
  for (uint32_t i = 0; i < SOAK_ENTRIES; i++)
    add_node (soak, (BurdockSettings){ .role = BURDOCK_ROLE_ENTRY }, i % SOAK_DOMAINS,
              "entry-%u", i, 0);
  for (uint32_t g = 0; g < SOAK_GROUPS; g++)
    add_group (soak, g);
  soak->service_observer =
      sim_group_new (soak->sim, "services", 0, 1, 0, STEP_US, on_execution);
  for (uint32_t i = 0; i < SOAK_SERVICES; i++) {
    add_node (soak, (BurdockSettings){ .role = BURDOCK_ROLE_AGENT, .pool = "booking" },
              i % SOAK_DOMAINS, "agent-booking-%u", i, 0);
    sim_service_add (soak->sim->nodes[soak->sim->node_count - 1], soak->service_observer);
  }
  for (uint32_t i = 0; i < soak->sim->node_count; i++)
    sim_start (soak->sim->nodes[i]);
}

void
soak_clear (Soak *soak)
{
  for (uint32_t i = 0; i < soak->sim->node_count; i++)
    sim_engine_free (soak->sim->nodes[i]->engine);
  for (uint32_t g = 0; g < SOAK_GROUPS; g++)
    sim_group_free (soak->groups[g]);
  sim_group_free (soak->service_observer);
  sim_clients_free (soak->clients);
  sim_free (soak->sim);
}
