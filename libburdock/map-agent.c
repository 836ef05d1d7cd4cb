#include "map-agent-private.h"

#include "map-coordinator.h"

#include <errno.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define US_PER_S (1000 * US_PER_MS)

/* A rank is considered dead after three missed states. */
#define PEER_TIMEOUT_US UINT64_C (800000)

/* Rosters that a gateway may miss before it gets no more states. */
#define GATEWAY_ROSTERS_MISSED_MAX 4

/* Interval of rosters from a gateway that does not state one. */
#define GATEWAY_ROSTER_DEFAULT_MS 750

/* Lowest ranks that are alive: one of them coordinates the group, the others take over
 * from it. Only these exchange states with all ranks, so that the number of states grows
 * with the size of the group and not with its square. */
#define COORDINATOR_CANDIDATES 3

#define STATE_INTERVAL_US UINT64_C (250000)

/* Gateways only need to know whether the group is open, and a change of that is sent at
 * once. A report of any rank is enough, so that the interval grows with the group: a
 * gateway receives about eight reports per group and second. */
#define GATEWAY_STATE_INTERVAL_MIN_US UINT64_C (1000000)
#define GATEWAY_STATE_INTERVAL_PER_RANK_US UINT64_C (125000)

/* Demand shifts within seconds, and a new map takes about one second to come into use. */
#define COUNTS_INTERVAL_MIN_US UINT64_C (125000)

/* Interval at which ranks that do not report counts send the experts that they host. */
#define HOSTED_INTERVAL_US UINT64_C (500000)

/* The interval grows with the reports, so that those of all ranks take up to this part of
 * the coordinator's link, which may have 6 Mbit/s. */
#define COUNTS_MAX_BYTES_PER_S UINT64_C (450000)

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

static void
free_peers (BurdockMapAgent *agent)
{
  for (uint32_t r = 0; r < agent->peer_count; r++)
    free (agent->peers[r].hosted);
  free (agent->peers);
  agent->peers = NULL;
  agent->peer_count = 0;
}

void
burdock_map_agent_free (BurdockMapAgent *agent)
{
  if (agent == NULL)
    return;
  burdock_replica_plan_free (agent->coordinator.plan);
  burdock_replica_map_clear (&agent->order_map);
  burdock_replica_map_clear (&agent->current_map);
  burdock_replica_map_clear (&agent->coordinator.map);
  burdock_replica_map_clear (&agent->coordinator.base);
  free_peers (agent);
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
  return agent->has_report ? &agent->peers[agent->report.rank] : NULL;
}

/* Forgets the ranks of the previous group, or of the previous epoch of the group. */
static bool
reset_group_state (BurdockMapAgent *agent, uint32_t rank_count, uint64_t now_us)
{
  BurdockMapPeer *peers = calloc (rank_count, sizeof *peers);

  if (peers == NULL)
    return false;
  free_peers (agent);
  agent->peers = peers;
  agent->peer_count = rank_count;
  agent->armed_step = 0;
  agent->refused_version = agent->loading_version = 0;
  agent->knows_map = false;
  burdock_coordinator_reset (agent, now_us);
  return true;
}

void
burdock_map_agent_update_state (BurdockMapAgent *agent, uint64_t now_us)
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
    .knows_map = agent->knows_map && agent->current_map_version == report->map_version,
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

/* Once the engine uses the map of the last order to load, that map is the one in use. */
static void
follow_map_switch (BurdockMapAgent *agent)
{
  if (agent->knows_map && agent->current_map_version == agent->report.map_version)
    return;
  agent->knows_map = false;
  if (!agent->has_order_map || agent->order_map_epoch != agent->report.epoch ||
      agent->order_map_version != agent->report.map_version)
    return;
  burdock_replica_map_clear (&agent->current_map);
  agent->knows_map =
      burdock_replica_map_copy (&agent->current_map, &agent->order_map) == 0;
  agent->current_map_version = agent->order_map_version;
}

void
burdock_map_agent_handle_report (BurdockMapAgent *agent, const BurdockRankReport *report,
                                 uint64_t now_us)
{
  bool membership_changed = !agent->has_report || report->epoch != agent->report.epoch ||
                            report->rank != agent->report.rank ||
                            report->size != agent->report.size ||
                            strcmp (report->group, agent->report.group) != 0;
  bool changed = membership_changed || report->open != agent->report.open ||
                 report->map_version != agent->report.map_version ||
                 report->loaded_version != agent->report.loaded_version;

  if (report->rank >= report->size || report->size > BURDOCK_MAP_PEERS_MAX) {
    burdock_map_agent_log (agent, "group",
                           "rank %u of %u is not valid; the maximum is %u", report->rank,
                           report->size, BURDOCK_MAP_PEERS_MAX);
    return;
  }
  if (membership_changed && !reset_group_state (agent, report->size, now_us)) {
    burdock_map_agent_log (agent, "group", "out of memory for %u ranks", report->size);
    return;
  }
  if (membership_changed || report->active == 0 || !report->open ||
      report->step != agent->report.step)
    agent->progress_us = now_us;
  if (membership_changed || report->open != agent->report.open) {
    log_group_state (agent, report);
    agent->state_changed = true;
  }
  if (!membership_changed)
    update_step_time (agent, report, now_us);
  agent->report = *report;
  agent->has_report = true;
  follow_map_switch (agent);
  agent->report_us = now_us;
  if (report->armed_step != 0)
    agent->armed_step = report->armed_step;
  burdock_map_agent_update_state (agent, now_us);
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
  const BurdockMapPeer *own;

  if (!agent->has_report || !agent->report.open)
    return false;
  own = &agent->peers[agent->report.rank];
  return own->hosted_bytes == 0 || own->hosted_version != agent->report.map_version ||
         own->hosted_epoch != agent->report.epoch;
}

static void
store_hosted_experts (BurdockMapPeer *peer, BurdockBytes hosted, uint64_t epoch,
                      uint64_t version)
{
  uint8_t *copy;

  if (hosted.length_bytes == 0 || hosted.length_bytes > BURDOCK_HOSTED_BYTES_MAX)
    return;
  copy = realloc (peer->hosted, hosted.length_bytes);
  if (copy == NULL)
    return;
  memcpy (copy, hosted.data, hosted.length_bytes);
  peer->hosted = copy;
  peer->hosted_bytes = hosted.length_bytes;
  peer->hosted_version = version;
  peer->hosted_epoch = epoch;
}

/* Whether the experts that @peer hosts are those of @rank in @map. */
static bool
hosts_experts_of (const BurdockMapPeer *peer, const BurdockReplicaMap *map, uint32_t rank)
{
  uint8_t experts[BURDOCK_REPLICA_EXPERTS_MAX];
  uint32_t at = 0;

  for (uint32_t layer = 0; layer < map->layers; layer++) {
    uint32_t count = burdock_replica_map_hosted_experts (map, layer, rank, experts);

    if (at + 1 + count > peer->hosted_bytes || peer->hosted[at] != count ||
        memcmp (peer->hosted + at + 1, experts, count) != 0)
      return false;
    at += 1 + count;
  }
  return at == peer->hosted_bytes;
}

/* A group starts with its experts spread over the ranks in turn. If the local experts are
 * those of that map, it is assumed to be in use, so that the first switch can be sent as
 * changes. The hash in the command detects a wrong assumption. */
static void
assume_initial_map (BurdockMapAgent *agent, const BurdockMapPeer *own)
{
  BurdockReplicaMap map;

  if (agent->knows_map || !agent->has_shape || own->hosted_bytes == 0 ||
      own->hosted_epoch != agent->report.epoch ||
      own->hosted_version != agent->report.map_version ||
      burdock_replica_map_init (&map, agent->shape.layers, agent->peer_count,
                                agent->shape.experts) < 0)
    return;
  burdock_replica_map_spread (&map);
  if (!hosts_experts_of (own, &map, agent->report.rank)) {
    burdock_replica_map_clear (&map);
    return;
  }
  burdock_replica_map_clear (&agent->current_map);
  agent->current_map = map;
  agent->current_map_version = agent->report.map_version;
  agent->knows_map = true;
  agent->next_state_us = 0; /* the coordinator sends changes from now on */
  burdock_map_agent_update_state (agent, agent->report_us);
}

void
burdock_map_agent_handle_hosted_experts (BurdockMapAgent *agent, uint64_t epoch,
                                         uint64_t version, const uint8_t *hosted,
                                         uint32_t length_bytes)
{
  BurdockMapPeer *own = burdock_map_agent_own_peer (agent);

  if (own == NULL)
    return;
  store_hosted_experts (own, (BurdockBytes){ hosted, length_bytes }, epoch, version);
  assume_initial_map (agent, own);
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

/* Requests reach the ranks of a group at random, so that the counts of every nth rank
 * show the demand of the whole group. */
static bool
reports_counts (const BurdockMapAgent *agent)
{
  return agent->report.rank % burdock_map_agent_reporter_stride (agent) == 0;
}

static void
attach_hosted_and_tokens (BurdockMapAgent *agent, BurdockRankStateMessage *state)
{
  const BurdockMapPeer *own = burdock_map_agent_own_peer (agent);

  /* Experts of another map version would be combined with those of the map in use. */
  if (own->hosted_version == state->map_version && own->hosted_epoch == state->epoch)
    state->hosted = (BurdockBytes){ own->hosted, own->hosted_bytes };
  if (!reports_counts (agent))
    return;
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

static uint64_t
gateway_state_interval_us (const BurdockMapAgent *agent)
{
  uint64_t interval_us = agent->peer_count * GATEWAY_STATE_INTERVAL_PER_RANK_US;

  return interval_us > GATEWAY_STATE_INTERVAL_MIN_US ? interval_us
                                                     : GATEWAY_STATE_INTERVAL_MIN_US;
}

static void
remove_silent_gateways (BurdockMapAgent *agent, uint64_t now_us)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < agent->gateway_count; i++) {
    if (now_us < agent->gateways[i].expires_us)
      agent->gateways[kept++] = agent->gateways[i];
  }
  agent->gateway_count = kept;
}

static void
notify_gateways (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockAddress to[BURDOCK_MAP_GATEWAYS_MAX];
  uint64_t interval_us;

  remove_silent_gateways (agent, now_us);
  if (!agent->state_changed && now_us < agent->next_gateway_state_us)
    return;
  /* All ranks report a change at the same time; the random delay spreads their next
   * reports over the interval. */
  interval_us = gateway_state_interval_us (agent);
  agent->next_gateway_state_us =
      now_us + (agent->state_changed
                    ? agent->handler.random (agent->handler.ctx) % interval_us
                    : interval_us);
  agent->state_changed = false;
  for (uint32_t i = 0; i < agent->gateway_count; i++)
    to[i] = agent->gateways[i].address;
  burdock_map_agent_send_state (agent, to, agent->gateway_count, false);
}

static uint32_t
count_lower_alive_ranks (const BurdockMapAgent *agent, uint64_t now_us)
{
  uint32_t count = 0;

  for (uint32_t r = 0; r < agent->report.rank; r++)
    count += burdock_map_peer_is_alive (&agent->peers[r], now_us) ? 1 : 0;
  return count;
}

/* A rank that hears of COORDINATOR_CANDIDATES lower ranks sends its state to these, and
 * to the lowest ranks of all, which may be alive without being heard. Any other rank is a
 * candidate itself and sends its state to all, so that the group finds new candidates
 * when all of them fail at once. */
static void
broadcast_state (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockAddress to[BURDOCK_MAP_PEERS_MAX];
  bool candidate = count_lower_alive_ranks (agent, now_us) < COORDINATOR_CANDIDATES;
  uint32_t alive = 0;
  uint32_t count = 0;

  for (uint32_t r = 0; r < agent->peer_count; r++) {
    const BurdockMapPeer *peer = &agent->peers[r];
    bool is_alive = burdock_map_peer_is_alive (peer, now_us);

    if (peer->known && r != agent->report.rank &&
        (candidate || r < COORDINATOR_CANDIDATES ||
         (is_alive && alive < COORDINATOR_CANDIDATES)))
      to[count++] = peer->control;
    alive += is_alive ? 1 : 0;
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
  while (coordinator < agent->peer_count &&
         !burdock_map_peer_is_alive (&agent->peers[coordinator], now_us))
    coordinator++;
  if (coordinator < agent->peer_count)
    burdock_map_agent_send_state (agent, &agent->peers[coordinator].control, 1, true);
}

static bool
record_gateway (BurdockMapAgent *agent, BurdockAddress from, uint64_t expires_us)
{
  for (uint32_t i = 0; i < agent->gateway_count; i++) {
    if (agent->gateways[i].address.ipv4 != from.ipv4 ||
        agent->gateways[i].address.port != from.port)
      continue;
    agent->gateways[i].expires_us = expires_us;
    return false;
  }
  if (agent->gateway_count < BURDOCK_MAP_GATEWAYS_MAX)
    agent->gateways[agent->gateway_count++] =
        (BurdockMapGateway){ .address = from, .expires_us = expires_us };
  return true;
}

/* Whether maps of this shape can be planned. */
static bool
is_valid_shape (const BurdockRosterMessage *shape)
{
  return shape->layers > 0 && shape->layers <= BURDOCK_REPLICA_LAYERS_MAX &&
         shape->experts > 0 && shape->experts <= BURDOCK_REPLICA_EXPERTS_MAX;
}

/* Takes over the shape that the configuration states. One that is not valid leaves the
 * last one in force; counts of another shape do not belong to the same experts. */
static void
update_shape (BurdockMapAgent *agent, const BurdockRosterMessage *roster)
{
  bool changed = !agent->has_shape || agent->shape.layers != roster->layers ||
                 agent->shape.experts != roster->experts;

  if (!is_valid_shape (roster)) {
    if (!agent->shape_refused && roster->layers > 0)
      burdock_map_agent_log (agent, "shape refused",
                             "%u layers of %u experts; the maximum is %u of %u",
                             roster->layers, roster->experts, BURDOCK_REPLICA_LAYERS_MAX,
                             BURDOCK_REPLICA_EXPERTS_MAX);
    agent->shape_refused = roster->layers > 0;
    return;
  }
  agent->shape_refused = false;
  agent->shape = *roster;
  agent->has_shape = true;
  if (changed)
    burdock_coordinator_forget_tokens (agent);
}

/* The roster provides the addresses of agents; the state of a rank comes from its agent
 * only. */
static void
handle_roster (BurdockMapAgent *agent, BurdockAddress from,
               const BurdockRosterMessage *roster, uint64_t now_us)
{
  uint64_t interval_ms =
      roster->interval_ms > 0 ? roster->interval_ms : GATEWAY_ROSTER_DEFAULT_MS;
  uint64_t expires_us = now_us + interval_ms * GATEWAY_ROSTERS_MISSED_MAX * US_PER_MS;

  if (record_gateway (agent, from, expires_us) || roster->wants_state)
    burdock_map_agent_send_state (agent, &from, 1, false);
  update_shape (agent, roster);
  if (agent->has_report)
    assume_initial_map (agent, burdock_map_agent_own_peer (agent));
  for (uint32_t i = 0; i < roster->rank_count; i++) {
    const BurdockRosterRank *item = &roster->ranks[i];
    BurdockMapPeer *peer;

    if (item->rank >= agent->peer_count || item->rank == agent->report.rank)
      continue;
    peer = &agent->peers[item->rank];
    if (peer->known && burdock_map_peer_is_alive (peer, now_us))
      continue;
    peer->known = true;
    peer->control = (BurdockAddress){ item->address.ipv4, agent->settings.control.port };
  }
}

static void
handle_rank_state (BurdockMapAgent *agent, BurdockAddress from,
                   const BurdockMessage *message, uint64_t now_us)
{
  const BurdockRankStateMessage *state = &message->rank_state;
  BurdockMapPeer *peer;

  if (!agent->has_report || strcmp (state->group, agent->report.group) != 0 ||
      state->rank >= agent->peer_count || state->rank == agent->report.rank)
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
  store_hosted_experts (peer, state->hosted, state->epoch, state->map_version);
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

static uint64_t
counts_interval_us (const BurdockMapAgent *agent)
{
  uint64_t report_bytes = (uint64_t)agent->shape.layers * agent->shape.experts;
  uint64_t interval_us = burdock_map_agent_reporter_count (agent) * report_bytes *
                         US_PER_S / COUNTS_MAX_BYTES_PER_S;

  if (!reports_counts (agent))
    return HOSTED_INTERVAL_US;
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
    notify_gateways (agent, now_us);
    broadcast_state (agent, now_us);
  }
  if (now_us >= agent->next_counts_us) {
    agent->next_counts_us = now_us + counts_interval_us (agent);
    send_tokens (agent, now_us);
    agent->handler.refresh (agent->handler.ctx, reports_counts (agent));
  }
  change_us = poll_engine_change (agent, now_us);
  next_us = burdock_coordinator_tick (agent, now_us);
  next_us = change_us < next_us ? change_us : next_us;
  next_us = agent->next_state_us < next_us ? agent->next_state_us : next_us;
  return agent->next_counts_us < next_us ? agent->next_counts_us : next_us;
}

void
burdock_map_agent_leave (BurdockMapAgent *agent)
{
  agent->leaving = true;
}

bool
burdock_map_agent_may_end (const BurdockMapAgent *agent)
{
  return !burdock_coordinator_may_hold (agent);
}

BurdockMapAgentStats
burdock_map_agent_stats (const BurdockMapAgent *agent)
{
  BurdockMapAgentStats stats = agent->stats;

  stats.switches_failed_in_row = agent->coordinator.failed_switches;
  return stats;
}
