/* Coordinator of a group: plans expert maps and switches all ranks to them. */
#include "map-coordinator.h"

#include <errno.h>
#include <inttypes.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* Commands are resent at these intervals until the rank states show their effect. The
 * commands to load of a large group fill the link of the coordinator for longer. */
#define LOAD_RESEND_MIN_US (80 * US_PER_MS)
#define LOAD_RESEND_PER_RANK_US UINT64_C (1600)
#define ARM_RESEND_US (20 * US_PER_MS)

/* A load that takes this much longer than LOAD_TIME_TARGET_US has failed. */
#define LOAD_SLACK_US (3000 * US_PER_MS)

/* Holding the next step is enough: arming all ranks takes a few milliseconds, and a step
 * at least 30 ms. */
#define HOLD_AHEAD_STEPS 1

/* After a recent timeout of an order, a later step is held, so that an order can be
 * retried before the group has to wait. */
#define HOLD_AHEAD_STEPS_AFTER_TIMEOUT 2
#define ORDER_TIMEOUT_RECENT_US (3000 * US_PER_MS)

/* After this time, the coordinator sends the arm order to the engine of a rank whose
 * agent does not answer. */
#define ARM_DIRECT_DELAY_US (250 * US_PER_MS)

/* Within this time after a switch, all ranks have reported their maps. */
#define SETTLE_US (400 * US_PER_MS)

/* Another agent takes over 0.8 s after the last state of the coordinator, which sends one
 * every 0.25 s. A busy machine delays a tick by up to 0.1 s. */
#define PAUSE_MAX_US (250 * US_PER_MS)

/* Intervals of burdock_coordinator_tick(). */
#define IDLE_TICK_US (50 * US_PER_MS)
#define ACTIVE_TICK_US (10 * US_PER_MS)

/* Interval at which the token counts decay in a group of one rank. The relative
 * sampling noise of the summed counts falls with the square root of the number of ranks,
 * and the interval is scaled likewise. A shorter interval follows noise, a longer one
 * lags behind demand that shifts every few seconds. The half-life is 0.39 s with 8 ranks
 * and 0.19 s with 32.
 */
#define DECAY_INTERVAL_ONE_RANK_US (354 * US_PER_MS)
#define DECAY_FACTOR 0.80

/* Token reports per rank before the first plan. Counts of a few steps already give a
 * better map than the initial one, and the next plan corrects the first one. */
#define SAMPLES_PER_RANK_MIN 3

/* Time to the next plan after one that is not worth a switch. */
#define PLAN_RETRY_INTERVAL_US (100 * US_PER_MS)

/* Load time that a plan may use. Steps take longer while experts are loaded, and demand
 * shifts meanwhile, so a larger change is split into several maps. */
#define LOAD_TIME_TARGET_US (150 * US_PER_MS)

/* Below this load of the most loaded ranks, relative to even loads, the map is nearly
 * balanced, and a plan may load only 1/BALANCED_LOADS_DIVISOR of the experts: the longer
 * steps during a larger load would cost more than it gains. */
#define BALANCED_PEAK_MAX 1.3
#define BALANCED_LOADS_DIVISOR 4

/* Interval between the steps of a plan. A plan of ten steps is delayed by 20 ms in all,
 * little compared with the time to load. A step takes 0.1 ms of a core, so that an agent
 * with 0.15 of a core, or a core that is twice as slow, can keep up. */
#define PLAN_TICK_US (2 * US_PER_MS)

/* Failed switches in a row after which a warning is logged: more than one fault causes,
 * be it a frozen agent, a crashed rank or a takeover. */
#define FAILED_SWITCHES_WARN 5

/* Hysteresis: a new map has to lower the load of the most loaded ranks by this part;
 * smaller differences are noise. */
#define PEAK_REDUCTION_MIN 0.03

/* Each layer of a token report starts with its largest count as a big-endian u32. */
#define LAYER_SCALE_BYTES 4

/* Versions advance by a random amount, so that two coordinators are unlikely to choose
 * the same one. */
#define VERSION_JITTER 1000

/** struct EncodedMap - planned map for the wire, complete and as changes of the map in
 * use; the data is owned */
typedef struct {
  BurdockBytes map;
  BurdockBytes changes;
  uint64_t hash;
} EncodedMap;

void
burdock_coordinator_enter_phase (BurdockMapAgent *agent, BurdockCoordinatorPhase phase,
                                 uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;

  if (phase != BURDOCK_COORDINATOR_PLANNING) {
    burdock_replica_plan_free (self->plan);
    self->plan = NULL;
  }
  self->phase = phase;
  self->phase_since_us = now_us;
  self->next_send_us = 0;
}

/* Gives up the plan or switch in progress, and warns once if that has happened several
 * times in a row: each failure may have a harmless cause, but a map that is never
 * switched does not follow the demand. */
static void fail_switch (BurdockMapAgent *agent, const char *step, uint64_t now_us,
                         const char *format, ...) __attribute__ ((format (printf, 4, 5)));

static void
fail_switch (BurdockMapAgent *agent, const char *step, uint64_t now_us,
             const char *format, ...)
{
  BurdockCoordinator *self = &agent->coordinator;
  char reason[160];
  char detail[200];
  va_list args;

  va_start (args, format);
  vsnprintf (reason, sizeof reason, format, args);
  va_end (args);
  burdock_map_agent_log (agent, step, "%s", reason);
  burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_IDLE, now_us);
  agent->stats.switches_failed++;
  self->failed_switches++;
  if (self->failed_switches != FAILED_SWITCHES_WARN || agent->handler.warn == NULL)
    return;
  snprintf (detail, sizeof detail, "%u in a row, the last one: %s", self->failed_switches,
            reason);
  agent->handler.warn (agent->handler.ctx, "switches fail", detail);
}

void
burdock_coordinator_reset (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;

  if (self->phase != BURDOCK_COORDINATOR_IDLE)
    fail_switch (agent, "switch ended", now_us, "the group was re-formed");
  self->coordinates_since_us = 0;
  self->samples = 0;
}

bool
burdock_coordinator_is_self (const BurdockMapAgent *agent, uint64_t now_us)
{
  if (!agent->has_report)
    return false;
  for (uint32_t r = 0; r < agent->report.rank; r++) {
    if (burdock_map_peer_is_alive (&agent->peers[r], now_us))
      return false;
  }
  return true;
}

/* Decodes one layer of the tokens of &struct BurdockRankStateMessage. */
static void
add_layer_tokens (double *rates, const uint8_t *bytes, uint32_t experts)
{
  double largest = (uint32_t)bytes[0] << 24 | bytes[1] << 16 | bytes[2] << 8 | bytes[3];

  for (uint32_t e = 0; e < experts; e++)
    rates[e] += largest * bytes[LAYER_SCALE_BYTES + e] / UINT8_MAX;
}

void
burdock_coordinator_add_tokens (BurdockMapAgent *agent, uint32_t rank,
                                BurdockBytes tokens)
{
  BurdockCoordinator *self = &agent->coordinator;
  uint32_t count = agent->shape.layers * agent->shape.experts;

  if (!agent->has_shape || count == 0 ||
      tokens.length_bytes != count + agent->shape.layers * LAYER_SCALE_BYTES)
    return;
  if (self->rate_count != count) {
    free (self->rates);
    self->rates = calloc (count, sizeof *self->rates);
    self->rate_count = self->rates != NULL ? count : 0;
    self->samples = 0;
  }
  for (uint32_t layer = 0; self->rates != NULL && layer < agent->shape.layers; layer++)
    add_layer_tokens (self->rates + (size_t)layer * agent->shape.experts,
                      tokens.data +
                          (size_t)layer * (agent->shape.experts + LAYER_SCALE_BYTES),
                      agent->shape.experts);
  self->samples++;
}

void
burdock_coordinator_forget_tokens (BurdockMapAgent *agent)
{
  agent->coordinator.rate_count = 0;
  agent->coordinator.samples = 0;
}

uint64_t
burdock_coordinator_decay_interval_us (uint32_t ranks)
{
  return (uint64_t)((double)DECAY_INTERVAL_ONE_RANK_US / sqrt (ranks > 0 ? ranks : 1));
}

static void
decay_rates (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;

  if (now_us < self->next_decay_us)
    return;
  self->next_decay_us = now_us + burdock_coordinator_decay_interval_us (
                                     burdock_map_agent_reporter_count (agent));
  for (uint32_t i = 0; i < self->rate_count; i++)
    self->rates[i] *= DECAY_FACTOR;
}

/* Whether all ranks are alive, open and in the current epoch. */
static bool
group_is_complete (BurdockMapAgent *agent, uint64_t now_us)
{
  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    const BurdockMapPeer *peer = burdock_coordinator_peer (agent, r);

    if (!burdock_map_peer_is_alive (peer, now_us) || !peer->state.open ||
        peer->state.epoch != agent->report.epoch)
      return false;
  }
  return burdock_coordinator_rank_count (agent) > 0;
}

static bool
any_rank_is_armed_or_holding (BurdockMapAgent *agent)
{
  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    const BurdockRankStateMessage *state = &burdock_coordinator_peer (agent, r)->state;

    if (state->epoch == agent->report.epoch &&
        (state->armed_version != 0 || state->held_step != 0))
      return true;
  }
  return false;
}

/* Whether this coordinator planned the map in use, and for the shape in force. */
static bool
uses_own_map (const BurdockMapAgent *agent)
{
  const BurdockCoordinator *self = &agent->coordinator;

  return self->has_map && self->map_epoch == agent->report.epoch &&
         self->map_version == agent->report.map_version &&
         self->map.layers == agent->shape.layers &&
         self->map.experts == agent->shape.experts;
}

static bool
ranks_use_same_map (BurdockMapAgent *agent)
{
  uint64_t version = agent->report.map_version;

  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    const BurdockMapPeer *peer = burdock_coordinator_peer (agent, r);

    if (peer->state.map_version != version)
      return false;
    if (uses_own_map (agent))
      continue;
    if (peer->hosted_bytes == 0 || peer->hosted_version != version ||
        peer->hosted_epoch != agent->report.epoch)
      return false;
  }
  return true;
}

/* Adds the experts that a rank hosts; false if they do not match the map dimensions. */
static bool
add_hosted_experts (BurdockReplicaMap *map, const BurdockMapPeer *peer, uint32_t rank)
{
  uint32_t at = 0;

  for (uint32_t layer = 0; layer < map->layers; layer++) {
    uint32_t count = at < peer->hosted_bytes ? peer->hosted[at++] : 0;

    for (uint32_t i = 0; i < count; i++) {
      if (at >= peer->hosted_bytes || peer->hosted[at] >= map->experts)
        return false;
      burdock_bit_set_add (&map->hosts[layer * map->experts + peer->hosted[at++]], rank);
    }
  }
  return at == peer->hosted_bytes;
}

/* Copies the map in use if it was planned here, or builds it from the reported experts of
 * all ranks. */
static bool
build_current_map (BurdockMapAgent *agent, BurdockReplicaMap *map)
{
  bool valid = burdock_replica_map_init (map, agent->shape.layers,
                                         burdock_coordinator_rank_count (agent),
                                         agent->shape.experts) == 0;

  if (!valid)
    return false;
  if (uses_own_map (agent)) {
    burdock_replica_map_assign (map, &agent->coordinator.map);
    return true;
  }
  for (uint32_t r = 0; r < map->ranks; r++)
    valid = valid && add_hosted_experts (map, burdock_coordinator_peer (agent, r), r);
  for (uint32_t i = 0; i < map->layers * map->experts; i++)
    valid = valid && burdock_bit_set_count (&map->hosts[i]) > 0;
  if (!valid)
    burdock_replica_map_clear (map);
  return valid;
}

static uint64_t
next_map_version (BurdockMapAgent *agent)
{
  uint64_t highest = 0;

  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    const BurdockRankStateMessage *state = &burdock_coordinator_peer (agent, r)->state;

    highest = state->map_version > highest ? state->map_version : highest;
    highest = state->loaded_version > highest ? state->loaded_version : highest;
    highest = state->refused_version > highest ? state->refused_version : highest;
  }
  if (agent->coordinator.version > highest)
    highest = agent->coordinator.version;
  return highest + 1 + agent->handler.random (agent->handler.ctx) % VERSION_JITTER;
}

static void
send_to_rank (BurdockMapAgent *agent, uint32_t rank,
              const BurdockMapCommandMessage *command, uint64_t now_us)
{
  const BurdockMapPeer *peer = burdock_coordinator_peer (agent, rank);
  BurdockMessage *message = &agent->outgoing;

  if (rank == agent->report.rank) {
    burdock_map_agent_handle_command (agent, (BurdockAddress){ 0 }, command, now_us);
    return;
  }
  message->header = (BurdockMessageHeader){
    .type = BURDOCK_MSG_MAP_COMMAND,
    .sender_id = agent->settings.id,
    .sender_incarnation = agent->settings.incarnation,
    .target_incarnation = peer->incarnation,
  };
  message->map_command = *command;
  agent->handler.send (agent->handler.ctx, message, &peer->control, 1);
}

void
burdock_coordinator_send_command (BurdockMapAgent *agent, uint32_t rank,
                                  BurdockMapCommandKind kind, uint64_t now_us)
{
  const BurdockCoordinator *self = &agent->coordinator;
  BurdockMapCommandMessage command = { .kind = kind,
                                       .ballot = self->ballot,
                                       .epoch = self->epoch,
                                       .version = self->version,
                                       .step = self->step };

  send_to_rank (agent, rank, &command, now_us);
}

/* Sends the changes if the agent knows the map that they change, otherwise the complete
 * map. */
static void
send_load (BurdockMapAgent *agent, uint32_t rank, const EncodedMap *encoded,
           uint64_t now_us)
{
  const BurdockCoordinator *self = &agent->coordinator;
  const BurdockRankStateMessage *state = &burdock_coordinator_peer (agent, rank)->state;
  bool changes = encoded->changes.data != NULL && state->knows_map &&
                 state->map_version == self->base_version;
  BurdockMapCommandMessage command = {
    .kind = changes ? BURDOCK_MAP_LOAD_CHANGES : BURDOCK_MAP_LOAD,
    .ballot = self->ballot,
    .epoch = self->epoch,
    .version = self->version,
    .base_version = self->base_version,
    .map_hash = encoded->hash,
    .map = changes ? encoded->changes : encoded->map,
  };

  send_to_rank (agent, rank, &command, now_us);
}

static void
clear_encoded (EncodedMap *encoded)
{
  free ((uint8_t *)encoded->map.data);
  free ((uint8_t *)encoded->changes.data);
}

static bool
encode_map (const BurdockCoordinator *self, EncodedMap *out)
{
  uint8_t *map = NULL;
  uint8_t *changes = NULL;

  *out = (EncodedMap){ .hash = burdock_replica_map_hash (&self->map) };
  if (burdock_replica_map_encode (&self->map, &map, &out->map.length_bytes) < 0)
    return false;
  out->map.data = map;
  if (burdock_replica_map_encode_changes (&self->base, &self->map, &changes,
                                          &out->changes.length_bytes) == 0)
    out->changes.data = changes;
  return true;
}

static uint32_t
running_requests (BurdockMapAgent *agent)
{
  uint32_t running = 0;

  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++)
    running += burdock_coordinator_peer (agent, r)->state.running;
  return running;
}

static BurdockMapShape
shape_in_force (const BurdockMapAgent *agent)
{
  return (BurdockMapShape){ .layers = agent->shape.layers,
                            .experts = agent->shape.experts,
                            .slots = agent->shape.slots,
                            .loads_max = agent->shape.loads_max,
                            .expert_copy_us = agent->shape.expert_copy_us };
}

static BurdockReplicaLimits
plan_limits (const BurdockMapShape *shape)
{
  BurdockReplicaLimits limits = { .slots = shape->slots,
                                  .loads_per_layer = shape->loads_max,
                                  .loads_per_rank = UINT32_MAX,
                                  .balanced_peak = BALANCED_PEAK_MAX };

  if (shape->expert_copy_us > 0)
    limits.loads_per_rank = (uint32_t)(LOAD_TIME_TARGET_US / shape->expert_copy_us);
  limits.balanced_loads_per_rank = limits.loads_per_rank / BALANCED_LOADS_DIVISOR;
  if (limits.loads_per_rank == 0)
    limits.loads_per_rank = 1;
  if (limits.balanced_loads_per_rank == 0)
    limits.balanced_loads_per_rank = 1;
  return limits;
}

/* Switches to the map of a complete plan, if it is worth it. */
static void
finish_plan (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;
  BurdockReplicaPlanResult result = burdock_replica_plan_result (self->plan);

  agent->stats.peak = result.before;
  if (result.before - result.after < result.before * PEAK_REDUCTION_MIN) {
    burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_IDLE, now_us);
    return;
  }
  burdock_replica_map_clear (&self->map);
  burdock_replica_plan_finish (self->plan, &self->map);
  self->plan = NULL;
  self->has_map = true;
  self->version = self->map_version = next_map_version (agent);
  self->map_epoch = agent->report.epoch;
  self->step = self->held_step = 0;
  self->epoch = agent->report.epoch;
  self->holder = agent->report.rank;
  agent->stats.loads += result.loads;
  burdock_map_agent_log (agent, "plan map",
                         "version %" PRIu64 " peak %.2f to %.2f loads %u most %u "
                         "step_ms %u running %u plan_ms %u steps %u",
                         self->version, result.before, result.after, result.loads,
                         result.max_rank_loads,
                         (uint32_t)(agent->step_time_us / US_PER_MS),
                         running_requests (agent),
                         (uint32_t)((now_us - self->plan_since_us) / US_PER_MS),
                         self->plan_steps);
  burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_LOADING, now_us);
}

static void
step_plan (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;
  uint64_t tried = burdock_replica_plan_result (self->plan).changes_tried;
  bool complete =
      burdock_replica_plan_step (self->plan, BURDOCK_COORDINATOR_PLAN_STEP_WORK);

  self->plan_steps++;
  agent->stats.changes_tried +=
      burdock_replica_plan_result (self->plan).changes_tried - tried;
  if (complete)
    finish_plan (agent, now_us);
}

/* The plan starts from the map in use and uses the token counts of this moment. The
 * ballot is chosen now, so that a higher one shows that another agent has taken over. The
 * plan of a small group is complete after its first step. */
static void
begin_plan (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;
  BurdockReplicaLimits limits;
  BurdockReplicaMap base;

  self->next_plan_us = now_us + PLAN_RETRY_INTERVAL_US;
  if (!build_current_map (agent, &base))
    return;
  burdock_replica_map_clear (&self->base);
  self->base = base;
  self->base_version = agent->report.map_version;
  self->plan_epoch = agent->report.epoch;
  self->plan_shape = shape_in_force (agent);
  self->plan_since_us = now_us;
  self->plan_steps = 0;
  limits = plan_limits (&self->plan_shape);
  self->plan = burdock_replica_plan_begin (&self->base, self->rates, &limits);
  if (self->plan == NULL)
    return;
  if (self->ballot.round == 0 || burdock_coordinator_is_superseded (agent))
    burdock_coordinator_raise_ballot (agent);
  burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_PLANNING, now_us);
  step_plan (agent, now_us);
}

/* Returns why the plan is stale, NULL if it is not: it holds for the ranks, the map and
 * the shape that it was begun with only. */
static const char *
stale_plan_reason (BurdockMapAgent *agent, uint64_t now_us)
{
  const BurdockCoordinator *self = &agent->coordinator;
  BurdockMapShape shape = shape_in_force (agent);

  if (self->coordinates_since_us == 0)
    return "the agent of a lower rank coordinates";
  if (agent->report.epoch != self->plan_epoch || !agent->report.open)
    return "the group was re-formed";
  if (burdock_coordinator_is_superseded (agent))
    return "another coordinator has taken over";
  if (memcmp (&shape, &self->plan_shape, sizeof shape) != 0)
    return "the shape of the maps has changed";
  if (!group_is_complete (agent, now_us))
    return "a rank is silent or not open";
  if (any_rank_is_armed_or_holding (agent))
    return "a rank is armed or holds a step";
  if (agent->report.map_version != self->base_version || !ranks_use_same_map (agent))
    return "the map in use has changed";
  return NULL;
}

static void
tick_planning (BurdockMapAgent *agent, uint64_t now_us)
{
  const char *reason = stale_plan_reason (agent, now_us);

  if (reason != NULL)
    fail_switch (agent, "plan dropped", now_us, "%s", reason);
  else
    step_plan (agent, now_us);
}

static void
tick_idle (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;

  if (now_us < self->next_plan_us || !agent->has_shape || !agent->report.open)
    return;
  if (any_rank_is_armed_or_holding (agent)) {
    burdock_coordinator_take_over (agent, false, "a rank is armed or holds a step",
                                   now_us);
    return;
  }
  if (burdock_coordinator_suspects_orphaned_hold (agent, now_us)) {
    self->next_plan_us = now_us + SETTLE_US;
    burdock_coordinator_take_over (agent, true,
                                   "the group is stalled and an agent is silent", now_us);
    return;
  }
  if (!group_is_complete (agent, now_us) || !ranks_use_same_map (agent))
    return;
  if (self->samples < SAMPLES_PER_RANK_MIN * burdock_map_agent_reporter_count (agent) ||
      self->rate_count == 0)
    return;
  begin_plan (agent, now_us);
}

static uint64_t
load_resend_us (const BurdockMapAgent *agent)
{
  uint64_t interval_us = agent->peer_count * LOAD_RESEND_PER_RANK_US;

  return interval_us > LOAD_RESEND_MIN_US ? interval_us : LOAD_RESEND_MIN_US;
}

static void
tick_loading (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;
  bool resend = now_us >= self->next_send_us;
  EncodedMap encoded = { 0 };
  bool loaded = true;

  if (resend)
    resend = encode_map (self, &encoded);
  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    const BurdockRankStateMessage *state = &burdock_coordinator_peer (agent, r)->state;

    if (state->loaded_version == self->version)
      continue;
    loaded = false;
    if (state->refused_version == self->version) {
      fail_switch (agent, "load failed", now_us, "rank %u refused version %" PRIu64, r,
                   self->version);
      break;
    }
    if (resend && state->loading_version != self->version)
      send_load (agent, r, &encoded, now_us);
  }
  clear_encoded (&encoded);
  if (resend)
    self->next_send_us = now_us + load_resend_us (agent);
  if (loaded)
    burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_HOLDING, now_us);
  else if (now_us - self->phase_since_us > LOAD_TIME_TARGET_US + LOAD_SLACK_US) {
    fail_switch (agent, "load failed", now_us, "version %" PRIu64 " took too long",
                 self->version);
  }
}

void
burdock_coordinator_order_engine (BurdockMapAgent *agent, BurdockMapOrderKind kind,
                                  uint32_t rank)
{
  BurdockCoordinator *self = &agent->coordinator;
  BurdockMapOrder order = { .id = ++agent->next_order_id,
                            .kind = kind,
                            .epoch = self->epoch,
                            .version = self->version,
                            .step = kind == BURDOCK_ORDER_ARM ? self->step
                                                              : self->held_step };

  if (rank != agent->report.rank)
    order.upstream = burdock_coordinator_peer (agent, rank)->state.upstream;
  self->direct_order = order;
  self->direct_order_rank = rank;
  agent->stats.orders++;
  agent->handler.order (agent->handler.ctx, &order);
}

static uint64_t
hold_ahead_steps (const BurdockMapAgent *agent, uint64_t now_us)
{
  uint64_t timeout_us = agent->last_order_timeout_us;

  return timeout_us != 0 && now_us - timeout_us < ORDER_TIMEOUT_RECENT_US
             ? HOLD_AHEAD_STEPS_AFTER_TIMEOUT
             : HOLD_AHEAD_STEPS;
}

/* The step to hold is computed from a report that is newer than the end of the load. A
 * hold whose order timed out is retried for the same step, as it may be in effect. */
static void
tick_holding (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;

  if (self->direct_order.id != 0)
    return;
  if (agent->report_us <= self->phase_since_us ||
      agent->report_us <= self->hold_failed_us) {
    agent->handler.refresh (agent->handler.ctx, false);
    return;
  }
  if (self->step == 0)
    self->step = self->held_step = agent->report.step + hold_ahead_steps (agent, now_us);
  burdock_coordinator_order_engine (agent, BURDOCK_ORDER_HOLD, agent->report.rank);
}

/* What is known of an earlier switch says nothing of this one. */
static bool
is_armed (const BurdockCoordinator *self, const BurdockMapPeer *peer)
{
  if (peer->direct_armed_version == self->version &&
      peer->direct_armed_step == self->step)
    return true;
  return (peer->state.armed_version == self->version &&
          peer->state.armed_step == self->step) ||
         peer->state.map_version == self->version;
}

static void
tick_arming (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;
  bool resend = now_us >= self->next_send_us;
  bool armed = true;

  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    const BurdockMapPeer *peer = burdock_coordinator_peer (agent, r);

    if (is_armed (self, peer))
      continue;
    armed = false;
    if (now_us - self->phase_since_us > ARM_DIRECT_DELAY_US &&
        self->direct_order.id == 0 && r != agent->report.rank &&
        peer->state.upstream.port != 0)
      burdock_coordinator_order_engine (agent, BURDOCK_ORDER_ARM, r);
    else if (resend)
      burdock_coordinator_send_command (agent, r, BURDOCK_MAP_ARM, now_us);
  }
  if (resend)
    self->next_send_us = now_us + ARM_RESEND_US;
  if (armed)
    burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_RELEASING, now_us);
}

static void
tick_releasing (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;

  if (self->direct_order.id == 0)
    burdock_coordinator_order_engine (agent, BURDOCK_ORDER_RELEASE, self->holder);
}

static bool
all_ranks_switched (BurdockMapAgent *agent)
{
  if (agent->coordinator.version == 0)
    return false;
  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    if (burdock_coordinator_peer (agent, r)->state.map_version !=
        agent->coordinator.version)
      return false;
  }
  return true;
}

/* Releases a step of the switch that is still held: an order to hold may have been
 * carried out after the release, or a coordinator before this one held the step at
 * another rank. The state of the last holder may be one from before the release until
 * @settled. */
static void
release_further_hold (BurdockMapAgent *agent, bool settled, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;

  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    const BurdockRankStateMessage *state = &burdock_coordinator_peer (agent, r)->state;

    if (state->epoch != self->epoch || state->held_step <= agent->report.step ||
        state->held_step > self->step || (r == self->holder && !settled))
      continue;
    self->holder = r;
    self->held_step = state->held_step;
    burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_RELEASING, now_us);
    return;
  }
}

static void
tick_switching (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;
  bool settled = now_us - self->phase_since_us > SETTLE_US;

  if (all_ranks_switched (agent)) {
    agent->stats.switches++;
    self->failed_switches = 0;
    burdock_map_agent_log (agent, "map in use", "version %" PRIu64 " since_ms %u",
                           self->version,
                           (uint32_t)((now_us - self->phase_since_us) / US_PER_MS));
    burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_IDLE, now_us);
    return;
  }
  if (!settled || any_rank_is_armed_or_holding (agent)) {
    release_further_hold (agent, settled, now_us);
    return;
  }
  /* No rank was armed, or the ranks have since switched to another map. A takeover
   * without a version has only released a hold. */
  if (self->version != 0)
    fail_switch (agent, "switch ended", now_us,
                 "version %" PRIu64 " did not come into use", self->version);
  else
    burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_IDLE, now_us);
}

static void
direct_arm_done (BurdockMapAgent *agent, const BurdockMapOrder *order, int32_t status)
{
  uint32_t rank = agent->coordinator.direct_order_rank;
  BurdockMapPeer *peer = burdock_coordinator_peer (agent, rank);

  if (status != 0)
    return;
  peer->direct_armed_version = order->version;
  peer->direct_armed_step = order->step;
}

static void
hold_done (BurdockMapAgent *agent, int32_t status, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;

  if (status == 0) {
    burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_ARMING, now_us);
  } else if (status != -ETIMEDOUT) {
    /* The step has begun; the next report gives a new one. */
    self->step = self->held_step = 0;
    self->hold_failed_us = now_us;
    agent->handler.refresh (agent->handler.ctx, false);
  }
}

/* An order may be answered after its switch was given up for another one. */
static bool
belongs_to_switch (const BurdockCoordinator *self, const BurdockMapOrder *order)
{
  uint64_t step = order->kind == BURDOCK_ORDER_ARM ? self->step : self->held_step;

  return order->epoch == self->epoch && order->version == self->version &&
         order->step == step;
}

void
burdock_coordinator_order_done (BurdockMapAgent *agent, uint64_t id, int32_t status,
                                uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;
  BurdockMapOrder order = self->direct_order;

  if (id != order.id)
    return;
  self->direct_order.id = 0;
  if (status != 0)
    burdock_map_agent_log (agent, "order failed",
                           "kind %d rank %u version %" PRIu64 " step %" PRIu64
                           " status %d",
                           order.kind, self->direct_order_rank, order.version, order.step,
                           status);
  if (!belongs_to_switch (self, &order))
    return;
  if (self->phase == BURDOCK_COORDINATOR_HOLDING && order.kind == BURDOCK_ORDER_HOLD)
    hold_done (agent, status, now_us);
  else if (self->phase == BURDOCK_COORDINATOR_CONFIRMING &&
           order.kind == BURDOCK_ORDER_HOLD)
    burdock_coordinator_confirm_done (agent, status, now_us);
  else if (self->phase == BURDOCK_COORDINATOR_ARMING && order.kind == BURDOCK_ORDER_ARM)
    direct_arm_done (agent, &order, status);
  else if (self->phase == BURDOCK_COORDINATOR_RELEASING &&
           order.kind == BURDOCK_ORDER_RELEASE && status != -ETIMEDOUT)
    burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_SWITCHING, now_us);
  agent->handler.refresh (agent->handler.ctx, false);
}

/* Abandons the switch if the group was re-formed, as no rank is armed or holds a step
 * then, or if another coordinator has taken over. */
static void
cancel_stale_switch (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;

  if (self->phase == BURDOCK_COORDINATOR_IDLE ||
      self->phase == BURDOCK_COORDINATOR_PLANNING)
    return;
  if (agent->report.epoch != self->epoch || !agent->report.open) {
    fail_switch (agent, "switch ended", now_us, "the group was re-formed");
  } else if (burdock_coordinator_is_superseded (agent)) {
    fail_switch (agent, "switch ended", now_us, "another coordinator has taken over");
    self->next_plan_us = now_us + SETTLE_US;
  }
}

/* After the failure of all candidates at once, every rank takes itself for the
 * coordinator until it hears of a lower one. It waits until it hears of most of its
 * group, or for as long as a state takes. */
static bool
sees_group (const BurdockMapAgent *agent, uint64_t now_us)
{
  uint32_t alive = 0;

  for (uint32_t r = 0; r < agent->peer_count; r++)
    alive += burdock_map_peer_is_alive (&agent->peers[r], now_us) ? 1 : 0;
  return 2 * alive > agent->peer_count ||
         now_us - agent->coordinator.coordinates_since_us >= SETTLE_US;
}

bool
burdock_coordinator_may_hold (const BurdockMapAgent *agent)
{
  const BurdockCoordinator *self = &agent->coordinator;

  switch (self->phase) {
  case BURDOCK_COORDINATOR_IDLE:
  case BURDOCK_COORDINATOR_PLANNING:
  case BURDOCK_COORDINATOR_LOADING:
  case BURDOCK_COORDINATOR_SWITCHING:
    return false;
  case BURDOCK_COORDINATOR_HOLDING:
    return self->direct_order.id != 0 || self->step != 0;
  case BURDOCK_COORDINATOR_CONFIRMING:
  case BURDOCK_COORDINATOR_ARMING:
  case BURDOCK_COORDINATOR_RELEASING:
  case BURDOCK_COORDINATOR_PROMISING:
    break;
  }
  return true;
}

/* After a pause, another agent may have taken over the switch, in ways that have not been
 * heard of yet. A coordinator that may hold a step asks for promises before it goes on;
 * any other one begins a new switch. An idle one first waits for new states and reports:
 * by those from before the pause, live ranks look silent and the group stalled. */
static void
recover_from_pause (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;
  uint64_t paused_us = now_us - self->last_tick_us;

  if (self->last_tick_us == 0 || paused_us <= PAUSE_MAX_US)
    return;
  if (self->phase == BURDOCK_COORDINATOR_IDLE) {
    /* An agent that does not coordinate has longer intervals between its ticks. */
    if (self->coordinates_since_us != 0 && self->next_plan_us < now_us + SETTLE_US)
      self->next_plan_us = now_us + SETTLE_US;
    return;
  }
  if (burdock_coordinator_may_hold (agent)) {
    burdock_coordinator_take_over (agent, true, "the coordinator was paused", now_us);
    return;
  }
  fail_switch (agent, "switch ended", now_us, "the coordinator was paused for %u ms",
               (uint32_t)(paused_us / US_PER_MS));
  self->next_plan_us = now_us + SETTLE_US;
}

static uint64_t
tick_interval_us (BurdockCoordinatorPhase phase)
{
  if (phase == BURDOCK_COORDINATOR_IDLE)
    return IDLE_TICK_US;
  return phase == BURDOCK_COORDINATOR_PLANNING ? PLAN_TICK_US : ACTIVE_TICK_US;
}

uint64_t
burdock_coordinator_tick (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;

  decay_rates (agent, now_us);
  cancel_stale_switch (agent, now_us);
  recover_from_pause (agent, now_us);
  self->last_tick_us = now_us;
  if (agent->leaving && !burdock_coordinator_may_hold (agent))
    return UINT64_MAX;
  if (!burdock_coordinator_is_self (agent, now_us))
    self->coordinates_since_us = self->failed_switches = 0;
  else if (self->coordinates_since_us == 0)
    self->coordinates_since_us = now_us;
  if (self->phase == BURDOCK_COORDINATOR_IDLE &&
      (self->coordinates_since_us == 0 || !sees_group (agent, now_us)))
    return self->coordinates_since_us == 0 ? UINT64_MAX : now_us + IDLE_TICK_US;
  switch (self->phase) {
  case BURDOCK_COORDINATOR_IDLE:
    tick_idle (agent, now_us);
    break;
  case BURDOCK_COORDINATOR_PLANNING:
    tick_planning (agent, now_us);
    break;
  case BURDOCK_COORDINATOR_LOADING:
    tick_loading (agent, now_us);
    break;
  case BURDOCK_COORDINATOR_HOLDING:
    tick_holding (agent, now_us);
    break;
  case BURDOCK_COORDINATOR_ARMING:
    tick_arming (agent, now_us);
    break;
  case BURDOCK_COORDINATOR_RELEASING:
    tick_releasing (agent, now_us);
    break;
  case BURDOCK_COORDINATOR_SWITCHING:
    tick_switching (agent, now_us);
    break;
  case BURDOCK_COORDINATOR_PROMISING:
    burdock_coordinator_tick_promising (agent, now_us);
    break;
  case BURDOCK_COORDINATOR_CONFIRMING:
    burdock_coordinator_tick_confirming (agent, now_us);
    break;
  }
  return now_us + tick_interval_us (self->phase);
}
