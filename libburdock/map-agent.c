#include "map-agent-private.h"

#include <errno.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* A rank is considered dead after three missed states. */
#define PEER_TIMEOUT_US UINT64_C (800000)

/* Gateways send a roster twice a second. */
#define GATEWAY_TIMEOUT_US UINT64_C (3000000)

/* Attempts of one order that may time out in a row; the coordinator repeats its command
 * later. */
#define ORDER_ATTEMPTS_MAX 6

#define STATE_INTERVAL_US UINT64_C (250000)

/* Gateways only need to know whether the group is open, and a change of that is sent at
 * once. */
#define GATEWAY_STATE_INTERVAL_US UINT64_C (1000000)

/* Demand shifts within seconds, and a new map takes about one second to come into use. */
#define COUNTS_INTERVAL_MIN_US UINT64_C (125000)

/* The interval grows with the group to bound the traffic at the coordinator: with 32
 * ranks, each sends six reports per second, 300 KB/s in total for 12 layers of 128
 * experts. */
#define COUNTS_INTERVAL_PER_RANK_US UINT64_C (5000)

/* Interval at which the engine is polled for the end of a load or switch. */
#define ENGINE_POLL_INTERVAL_US UINT64_C (25000)

/* A new sample has weight 1 / (STEP_TIME_SMOOTHING + 1) in the mean step time. */
#define STEP_TIME_SMOOTHING 4

BurdockMapAgent *
burdock_map_agent_new (const BurdockMapAgentSettings *settings,
                       const BurdockMapAgentHandler *handler)
{
  BurdockMapAgent *agent = calloc (1, sizeof *agent);

  if (agent == NULL)
    return NULL;
  agent->settings = *settings;
  agent->handler = *handler;
  return agent;
}

void
burdock_map_agent_free (BurdockMapAgent *agent)
{
  if (agent == NULL)
    return;
  if (agent->has_order_map)
    burdock_replica_map_clear (&agent->order_map);
  if (agent->coordinator.has_map)
    burdock_replica_map_clear (&agent->coordinator.map);
  free (agent->coordinator.rates);
  free (agent->counts);
  free (agent->unreported);
  free (agent->encoded_tokens);
  free (agent);
}

void
burdock_map_agent_log (BurdockMapAgent *agent, const char *step, const char *format, ...)
{
  char detail[200];
  va_list args;

  va_start (args, format);
  vsnprintf (detail, sizeof detail, format, args);
  va_end (args);
  agent->handler.log (agent->handler.ctx, step, detail);
}

int
burdock_ballot_compare (BurdockBallot a, BurdockBallot b)
{
  if (a.round != b.round)
    return a.round < b.round ? -1 : 1;
  if (a.proposer != b.proposer)
    return a.proposer < b.proposer ? -1 : 1;
  return 0;
}

bool
burdock_map_peer_is_alive (const BurdockMapPeer *peer, uint64_t now_us)
{
  return peer->known && peer->last_state_us != 0 &&
         now_us - peer->last_state_us < PEER_TIMEOUT_US;
}

BurdockMapPeer *
burdock_map_agent_own_peer (BurdockMapAgent *agent)
{
  return agent->has_report && agent->report.rank < BURDOCK_REPLICA_RANKS_MAX
             ? &agent->peers[agent->report.rank]
             : NULL;
}

static void
reset_group_state (BurdockMapAgent *agent)
{
  memset (agent->peers, 0, sizeof agent->peers);
  agent->armed_step = 0;
  agent->refused_version = agent->loading_version = 0;
  agent->coordinator.phase = BURDOCK_COORDINATOR_IDLE;
  agent->coordinator.samples = 0;
}

/* Updates the entry of the local rank from the last report and the accepted orders. */
static void
update_own_state (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockMapPeer *own = burdock_map_agent_own_peer (agent);
  const BurdockRankReport *report = &agent->report;

  if (own == NULL)
    return;
  own->known = true;
  own->last_state_us = now_us;
  own->incarnation = agent->settings.incarnation;
  own->control = agent->settings.control;
  own->state = (BurdockRankStateMessage){
    .upstream = agent->settings.upstream,
    .epoch = report->epoch,
    .rank = report->rank,
    .size = report->size,
    .open = report->open,
    .running = report->active,
    .step = report->step,
    .step_time_us = (uint32_t)agent->step_time_us,
    .map_version = report->map_version,
    .loading_version = agent->loading_version,
    .loaded_version = report->loaded_version,
    .armed_version = report->armed_version,
    .armed_step = report->armed_version != 0 ? agent->armed_step : 0,
    .held_step = report->held_step,
    .refused_version = agent->refused_version,
    .ballot = agent->promised_ballot,
  };
  memcpy (own->state.group, report->group, sizeof own->state.group);
}

static void
update_step_time (BurdockMapAgent *agent, const BurdockRankReport *report,
                  uint64_t now_us)
{
  uint64_t steps = report->step - agent->report.step;
  uint64_t sample_us;

  if (report->step <= agent->report.step)
    return;
  if (agent->step_changed_us == 0) {
    agent->step_changed_us = now_us;
    return;
  }
  sample_us = (now_us - agent->step_changed_us) / steps;
  agent->step_changed_us = now_us;
  if (agent->step_time_us == 0)
    agent->step_time_us = sample_us;
  agent->step_time_us += sample_us / STEP_TIME_SMOOTHING;
  agent->step_time_us -= agent->step_time_us / (STEP_TIME_SMOOTHING + 1);
}

static void
log_group_state (BurdockMapAgent *agent, const BurdockRankReport *report)
{
  burdock_map_agent_log (agent, "group",
                         "group %s epoch %" PRIu64 " rank %u of %u %s map %" PRIu64
                         " step %" PRIu64,
                         report->group, report->epoch, report->rank, report->size,
                         report->open ? "open" : "broken", report->map_version,
                         report->step);
}

void
burdock_map_agent_handle_report (BurdockMapAgent *agent, const BurdockRankReport *report,
                                 uint64_t now_us)
{
  bool membership_changed = !agent->has_report || report->epoch != agent->report.epoch ||
                            report->rank != agent->report.rank ||
                            strcmp (report->group, agent->report.group) != 0;
  bool changed = membership_changed || report->open != agent->report.open ||
                 report->map_version != agent->report.map_version ||
                 report->loaded_version != agent->report.loaded_version;

  if (report->rank >= BURDOCK_REPLICA_RANKS_MAX) {
    burdock_map_agent_log (agent, "group", "rank %u is above the maximum of %u",
                           report->rank, BURDOCK_REPLICA_RANKS_MAX - 1);
    return;
  }
  if (membership_changed || report->active == 0 || !report->open ||
      report->step != agent->report.step)
    agent->progress_us = now_us;
  if (membership_changed || report->open != agent->report.open) {
    log_group_state (agent, report);
    agent->state_changed = true;
  }
  if (membership_changed)
    reset_group_state (agent);
  else
    update_step_time (agent, report, now_us);
  agent->report = *report;
  agent->has_report = true;
  agent->report_us = now_us;
  if (report->armed_step != 0)
    agent->armed_step = report->armed_step;
  update_own_state (agent, now_us);
  if (changed)
    agent->next_state_us = 0;
}

static bool
resize_counts (BurdockMapAgent *agent, uint32_t count)
{
  if (agent->counts_length == count)
    return true;
  free (agent->counts);
  free (agent->unreported);
  free (agent->encoded_tokens);
  agent->counts = calloc (count, sizeof *agent->counts);
  agent->unreported = calloc (count, sizeof *agent->unreported);
  agent->encoded_tokens = calloc (count, 1 + sizeof (uint32_t));
  agent->has_counts = false;
  agent->counts_length =
      agent->counts != NULL && agent->unreported != NULL && agent->encoded_tokens != NULL
          ? count
          : 0;
  return agent->counts_length == count;
}

void
burdock_map_agent_handle_counts (BurdockMapAgent *agent, const uint64_t *counts,
                                 uint32_t count)
{
  if (count == 0 || !resize_counts (agent, count))
    return;
  for (uint32_t i = 0; i < count; i++) {
    /* Counts restart from 0 with the engine. */
    uint64_t before = agent->has_counts && counts[i] >= agent->counts[i]
                          ? agent->counts[i]
                          : (agent->has_counts ? 0 : counts[i]);
    uint64_t unreported = agent->unreported[i] + (counts[i] - before);

    agent->unreported[i] = unreported < UINT32_MAX ? (uint32_t)unreported : UINT32_MAX;
    agent->counts[i] = counts[i];
  }
  agent->has_counts = true;
}

bool
burdock_map_agent_needs_hosted_experts (const BurdockMapAgent *agent)
{
  const BurdockMapPeer *own =
      &agent->peers[agent->report.rank % BURDOCK_REPLICA_RANKS_MAX];

  if (!agent->has_report || !agent->report.open)
    return false;
  return own->hosted_bytes == 0 || own->hosted_version != agent->report.map_version ||
         own->hosted_epoch != agent->report.epoch;
}

void
burdock_map_agent_handle_hosted_experts (BurdockMapAgent *agent, uint64_t epoch,
                                         uint64_t version, const uint8_t *hosted,
                                         uint32_t length_bytes)
{
  BurdockMapPeer *own = burdock_map_agent_own_peer (agent);

  if (own == NULL || length_bytes > BURDOCK_HOSTED_BYTES_MAX)
    return;
  memcpy (own->hosted, hosted, length_bytes);
  own->hosted_bytes = length_bytes;
  own->hosted_version = version;
  own->hosted_epoch = epoch;
}

/* Encodes counts relative to the largest one of their layer. One byte is precise enough
 * for a share and keeps the reports small, which the coordinator gets from all ranks. */
static uint32_t
encode_tokens (BurdockMapAgent *agent)
{
  uint32_t experts = agent->shape.experts;
  uint32_t layers = experts > 0 ? agent->counts_length / experts : 0;
  uint32_t at = 0;

  for (uint32_t layer = 0; layer < layers; layer++) {
    uint32_t *unreported = agent->unreported + (size_t)layer * experts;
    uint32_t largest = 1;

    for (uint32_t e = 0; e < experts; e++)
      largest = unreported[e] > largest ? unreported[e] : largest;
    for (uint32_t shift = 32; shift > 0; shift -= 8)
      agent->encoded_tokens[at++] = (uint8_t)(largest >> (shift - 8));
    for (uint32_t e = 0; e < experts; e++) {
      agent->encoded_tokens[at++] =
          (uint8_t)(((uint64_t)unreported[e] * UINT8_MAX + largest / 2) / largest);
      unreported[e] = 0;
    }
  }
  return at;
}

static void
attach_hosted_and_tokens (BurdockMapAgent *agent, BurdockRankStateMessage *state)
{
  const BurdockMapPeer *own = burdock_map_agent_own_peer (agent);

  /* Experts of another map version would be combined with those of the map in use. */
  if (own->hosted_version == state->map_version && own->hosted_epoch == state->epoch)
    state->hosted = (BurdockBytes){ own->hosted, own->hosted_bytes };
  state->tokens.data = agent->encoded_tokens;
  state->tokens.length_bytes = encode_tokens (agent);
}

void
burdock_map_agent_send_state (BurdockMapAgent *agent, const BurdockAddress *to,
                              uint32_t count, bool full)
{
  const BurdockMapPeer *own = burdock_map_agent_own_peer (agent);
  BurdockMessage *message = &agent->outgoing;

  if (own == NULL || count == 0)
    return;
  message->header = (BurdockMessageHeader){
    .type = BURDOCK_MSG_RANK_STATE,
    .sender_id = agent->settings.id,
    .sender_incarnation = agent->settings.incarnation,
  };
  message->rank_state = own->state;
  if (full)
    attach_hosted_and_tokens (agent, &message->rank_state);
  agent->handler.send (agent->handler.ctx, message, to, count);
}

static void
broadcast_state (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockAddress to[BURDOCK_MAP_GATEWAYS_MAX + BURDOCK_REPLICA_RANKS_MAX];
  uint32_t count = 0;
  uint32_t kept = 0;

  bool notify_gateways = agent->state_changed || now_us >= agent->next_gateway_state_us;

  agent->state_changed = false;
  if (notify_gateways)
    agent->next_gateway_state_us = now_us + GATEWAY_STATE_INTERVAL_US;
  for (uint32_t i = 0; i < agent->gateway_count; i++) {
    if (now_us - agent->gateways[i].last_roster_us >= GATEWAY_TIMEOUT_US)
      continue;
    agent->gateways[kept++] = agent->gateways[i];
    if (notify_gateways)
      to[count++] = agent->gateways[kept - 1].address;
  }
  agent->gateway_count = kept;
  for (uint32_t r = 0; r < BURDOCK_REPLICA_RANKS_MAX; r++) {
    if (agent->peers[r].known && r != agent->report.rank)
      to[count++] = agent->peers[r].control;
  }
  burdock_map_agent_send_state (agent, to, count, false);
}

static void
send_tokens (BurdockMapAgent *agent, uint64_t now_us)
{
  const BurdockMapPeer *own = burdock_map_agent_own_peer (agent);
  uint32_t coordinator = 0;

  if (own == NULL)
    return;
  if (burdock_coordinator_is_self (agent, now_us)) {
    BurdockRankStateMessage state = own->state;

    attach_hosted_and_tokens (agent, &state);
    burdock_coordinator_add_tokens (agent, agent->report.rank, state.tokens);
    return;
  }
  while (coordinator < BURDOCK_REPLICA_RANKS_MAX &&
         !burdock_map_peer_is_alive (&agent->peers[coordinator], now_us))
    coordinator++;
  if (coordinator < BURDOCK_REPLICA_RANKS_MAX)
    burdock_map_agent_send_state (agent, &agent->peers[coordinator].control, 1, true);
}

static void
record_gateway (BurdockMapAgent *agent, BurdockAddress from, uint64_t now_us)
{
  for (uint32_t i = 0; i < agent->gateway_count; i++) {
    if (agent->gateways[i].address.ipv4 != from.ipv4 ||
        agent->gateways[i].address.port != from.port)
      continue;
    agent->gateways[i].last_roster_us = now_us;
    return;
  }
  agent->state_changed = true;
  agent->next_state_us = 0;
  if (agent->gateway_count < BURDOCK_MAP_GATEWAYS_MAX)
    agent->gateways[agent->gateway_count++] =
        (BurdockMapGateway){ .address = from, .last_roster_us = now_us };
}

/* The roster provides the addresses of agents; the state of a rank comes from its agent
 * only. */
static void
handle_roster (BurdockMapAgent *agent, BurdockAddress from,
               const BurdockRosterMessage *roster, uint64_t now_us)
{
  record_gateway (agent, from, now_us);
  agent->shape = *roster;
  agent->has_shape = true;
  for (uint32_t i = 0; i < roster->rank_count; i++) {
    const BurdockRosterRank *item = &roster->ranks[i];
    BurdockMapPeer *peer;

    if (item->rank >= BURDOCK_REPLICA_RANKS_MAX || !agent->has_report ||
        item->rank == agent->report.rank)
      continue;
    peer = &agent->peers[item->rank];
    if (peer->known && burdock_map_peer_is_alive (peer, now_us))
      continue;
    peer->known = true;
    peer->control = (BurdockAddress){ item->address.ipv4, agent->settings.control.port };
  }
}

static void
store_hosted_experts (BurdockMapPeer *peer, const BurdockRankStateMessage *state)
{
  if (state->hosted.length_bytes == 0 ||
      state->hosted.length_bytes > BURDOCK_HOSTED_BYTES_MAX)
    return;
  memcpy (peer->hosted, state->hosted.data, state->hosted.length_bytes);
  peer->hosted_bytes = state->hosted.length_bytes;
  peer->hosted_version = state->map_version;
  peer->hosted_epoch = state->epoch;
}

static void
handle_rank_state (BurdockMapAgent *agent, BurdockAddress from,
                   const BurdockMessage *message, uint64_t now_us)
{
  const BurdockRankStateMessage *state = &message->rank_state;
  BurdockMapPeer *peer;

  if (!agent->has_report || strcmp (state->group, agent->report.group) != 0 ||
      state->rank >= BURDOCK_REPLICA_RANKS_MAX || state->rank == agent->report.rank)
    return;
  peer = &agent->peers[state->rank];
  if (message->header.sender_incarnation < peer->incarnation &&
      burdock_map_peer_is_alive (peer, now_us))
    return;
  peer->known = true;
  peer->last_state_us = now_us;
  peer->incarnation = message->header.sender_incarnation;
  peer->control = from;
  peer->state = *state;
  peer->state.hosted = peer->state.tokens = (BurdockBytes){ 0 };
  store_hosted_experts (peer, state);
  if (state->tokens.length_bytes > 0 && state->epoch == agent->report.epoch)
    burdock_coordinator_add_tokens (agent, state->rank, state->tokens);
}

void
burdock_map_agent_receive (BurdockMapAgent *agent, BurdockAddress from,
                           const BurdockMessage *message, uint64_t now_us)
{
  switch (message->header.type) {
  case BURDOCK_MSG_RANK_ROSTER:
    handle_roster (agent, from, &message->roster, now_us);
    return;
  case BURDOCK_MSG_RANK_STATE:
    handle_rank_state (agent, from, message, now_us);
    return;
  case BURDOCK_MSG_MAP_COMMAND:
    if (message->header.target_incarnation == agent->settings.incarnation)
      burdock_map_agent_handle_command (agent, from, &message->map_command, now_us);
    return;
  default:
    return;
  }
}

static void
issue_order (BurdockMapAgent *agent)
{
  agent->order.id = agent->order_id = ++agent->next_order_id;
  agent->order_attempts++;
  agent->stats.orders++;
  agent->handler.order (agent->handler.ctx, &agent->order);
}

static void
order_local_engine (BurdockMapAgent *agent, const BurdockMapOrder *order)
{
  agent->order = *order;
  agent->order.map = agent->has_order_map ? &agent->order_map : NULL;
  agent->order_ballot = agent->promised_ballot;
  agent->order_attempts = 0;
  issue_order (agent);
}

/* Retries an order that timed out at once, unless a higher ballot has been promised
 * since. */
static bool
retry_order (BurdockMapAgent *agent)
{
  if (agent->order.epoch != agent->report.epoch ||
      burdock_ballot_compare (agent->order_ballot, agent->promised_ballot) != 0 ||
      agent->order_attempts >= ORDER_ATTEMPTS_MAX)
    return false;
  issue_order (agent);
  return true;
}

static void
load_map (BurdockMapAgent *agent, const BurdockMapCommandMessage *command)
{
  BurdockMapOrder order = { .kind = BURDOCK_ORDER_LOAD,
                            .epoch = command->epoch,
                            .version = command->version };

  if (agent->report.loaded_version == command->version ||
      agent->refused_version == command->version)
    return;
  if (agent->has_order_map)
    burdock_replica_map_clear (&agent->order_map);
  agent->has_order_map =
      burdock_replica_map_decode (command->map, &agent->order_map) == 0;
  if (!agent->has_order_map) {
    burdock_map_agent_log (agent, "load map", "the map in the command is malformed");
    return;
  }
  order_local_engine (agent, &order);
}

static void
arm_map (BurdockMapAgent *agent, const BurdockMapCommandMessage *command)
{
  BurdockMapOrder order = { .kind = BURDOCK_ORDER_ARM,
                            .epoch = command->epoch,
                            .version = command->version,
                            .step = command->step };

  if (agent->report.armed_version == command->version &&
      agent->armed_step == command->step)
    return;
  order_local_engine (agent, &order);
}

void
burdock_map_agent_handle_command (BurdockMapAgent *agent, BurdockAddress from,
                                  const BurdockMapCommandMessage *command,
                                  uint64_t now_us)
{
  BurdockMapOrder release = { .kind = BURDOCK_ORDER_RELEASE,
                              .epoch = command->epoch,
                              .step = command->step };

  if (!agent->has_report || command->epoch != agent->report.epoch ||
      burdock_ballot_compare (command->ballot, agent->promised_ballot) < 0)
    return;
  agent->promised_ballot = command->ballot;
  update_own_state (agent, agent->report_us);
  if (agent->order_id == 0) {
    if (command->kind == BURDOCK_MAP_LOAD)
      load_map (agent, command);
    else if (command->kind == BURDOCK_MAP_ARM)
      arm_map (agent, command);
    else if (command->kind == BURDOCK_MAP_RELEASE)
      order_local_engine (agent, &release);
  }
  if (from.port != 0)
    burdock_map_agent_send_state (agent, &from, 1, false);
}

/* An accepted order is in effect at once, although a report may show it later. */
static void
apply_accepted_order (BurdockMapAgent *agent, const BurdockMapOrder *order)
{
  if (order->kind == BURDOCK_ORDER_LOAD) {
    agent->loading_version = order->version;
  } else if (order->kind == BURDOCK_ORDER_ARM) {
    agent->report.armed_version = order->version;
    agent->armed_step = order->step;
  } else if (order->kind == BURDOCK_ORDER_RELEASE) {
    agent->report.held_step = 0;
  }
}

void
burdock_map_agent_order_done (BurdockMapAgent *agent, uint64_t id, int32_t status,
                              uint64_t now_us)
{
  if (status != 0)
    agent->stats.orders_failed++;
  if (status == -ETIMEDOUT)
    agent->last_order_timeout_us = now_us;
  if (id != agent->order_id) {
    burdock_coordinator_order_done (agent, id, status, now_us);
    return;
  }
  agent->order_id = 0;
  if (status == -ETIMEDOUT && retry_order (agent))
    return;
  if (status == 0)
    apply_accepted_order (agent, &agent->order);
  else
    burdock_map_agent_log (agent, "order failed",
                           "kind %d version %" PRIu64 " step %" PRIu64 " status %d",
                           agent->order.kind, agent->order.version, agent->order.step,
                           status);
  if (agent->order.kind == BURDOCK_ORDER_LOAD && status != 0 && status != -ETIMEDOUT)
    agent->refused_version = agent->order.version;
  update_own_state (agent, now_us);
  agent->next_state_us = 0;
  agent->handler.refresh (agent->handler.ctx, false);
}

/* Whether a load or switch is in progress, whose end the coordinator waits for. */
static bool
is_engine_change_pending (const BurdockMapAgent *agent)
{
  if (agent->report.armed_version != 0)
    return true;
  return agent->loading_version != 0 &&
         agent->report.loaded_version != agent->loading_version &&
         agent->report.epoch == agent->order.epoch;
}

static uint64_t
poll_engine_change (BurdockMapAgent *agent, uint64_t now_us)
{
  if (!is_engine_change_pending (agent))
    return UINT64_MAX;
  if (now_us - agent->report_us >= ENGINE_POLL_INTERVAL_US)
    agent->handler.refresh (agent->handler.ctx, false);
  return now_us + ENGINE_POLL_INTERVAL_US;
}

/* All ranks report to the coordinator, so the interval grows with their number. */
static uint64_t
counts_interval_us (const BurdockMapAgent *agent)
{
  uint64_t interval_us = agent->report.size * COUNTS_INTERVAL_PER_RANK_US;

  return interval_us > COUNTS_INTERVAL_MIN_US ? interval_us : COUNTS_INTERVAL_MIN_US;
}

uint64_t
burdock_map_agent_tick (BurdockMapAgent *agent, uint64_t now_us)
{
  uint64_t change_us;
  uint64_t next_us;

  if (!agent->has_report)
    return UINT64_MAX;
  if (now_us >= agent->next_state_us) {
    agent->next_state_us = now_us + STATE_INTERVAL_US;
    broadcast_state (agent, now_us);
  }
  if (now_us >= agent->next_counts_us) {
    agent->next_counts_us = now_us + counts_interval_us (agent);
    send_tokens (agent, now_us);
    agent->handler.refresh (agent->handler.ctx, true);
  }
  change_us = poll_engine_change (agent, now_us);
  next_us = burdock_coordinator_tick (agent, now_us);
  next_us = change_us < next_us ? change_us : next_us;
  next_us = agent->next_state_us < next_us ? agent->next_state_us : next_us;
  return agent->next_counts_us < next_us ? agent->next_counts_us : next_us;
}

BurdockMapAgentStats
burdock_map_agent_stats (const BurdockMapAgent *agent)
{
  return agent->stats;
}
