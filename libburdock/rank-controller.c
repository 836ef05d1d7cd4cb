/**
 * DOC: rank-controller.c - state of the local engine and its part in map switches
 *
 * Polls the engine, reports expert popularity to the coordinator, takes part in map
 * switches and starts a recovery if the group waits too long for an outcome.
 */
#include "controller.h"

#include "error.h"
#include "switch-coordinator.h"
#include "switch-rank.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define POLL_PERIOD_US (1000 * US_PER_MS)

/* While the group waits, frequent reads of the state shorten the pause. */
#define BLOCKED_POLL_PERIOD_US (200 * US_PER_MS)

/* The pause of a committed switch lasts until a read of the state shows that the engine
 * waits at its step. */
#define COMMIT_POLL_PERIOD_US (10 * US_PER_MS)
#define POLL_TIMEOUT_MS 1000

/* A rank that holds for longer than this assumes that the coordinator has failed. Ranks
 * start recoveries at different times, since rounds of several proposers obstruct each
 * other. */
#define RECOVERY_DELAY_US (2000 * US_PER_MS)
#define RECOVERY_STAGGER_US (150 * US_PER_MS)

/* A joining rank always stops its group, so its recovery waits for no coordinator. */
#define JOIN_RECOVERY_DELAY_US (300 * US_PER_MS)
#define RECOVERY_RETRY_US (4000 * US_PER_MS)

#define PENDING_CALLS_MAX 8
#define LOCAL_QUEUE_MAX 8
#define TOKENS_MAX 65536

typedef enum {
  CALL_FREE = 0,
  CALL_POLL,
  CALL_JOB,
  CALL_BACKGROUND,
} CallKind;

typedef struct {
  uint64_t id;
  CallKind kind;
} PendingCall;

/** struct LocalMessage - message between the recovery and the rank within this agent */
typedef struct {
  uint32_t type;
  uint64_t target;
  BurdockSwitchMessage body;
  uint8_t *map;
} LocalMessage;

/**
 * struct RankController - state of the controller
 * @in_group: whether the upstream is a rank of a group
 * @state_unsupported: the upstream has no state to read, so polling has stopped
 * @waiting_since_us: time at which the engine was first seen waiting, 0 if it is not
 * @blocked_since_us: time since which the engine has been held or joining, restarted
 *   while it runs towards the step of its hold; 0 if it is neither
 * @coordinator: sender of the newest fencing token, which receives the popularity reports
 */
typedef struct {
  BurdockCore *core;
  uint32_t index;
  bool in_group;
  bool state_unsupported;
  BurdockSwitchRank rank;
  BurdockSwitchCoordinator recovery;
  PendingCall calls[PENDING_CALLS_MAX];
  LocalMessage local[LOCAL_QUEUE_MAX];
  uint32_t local_count;
  uint64_t next_poll_us;
  uint64_t next_report_us;
  uint64_t waiting_since_us;
  uint32_t pause_us; /* since the last report */
  uint64_t blocked_since_us;
  uint64_t next_recovery_us;
  BurdockAddress coordinator;
  uint32_t tokens_count;
  uint64_t *tokens; /* per hosted slot since the last report */
  uint8_t *map;     /* encoded map in use */
  uint32_t map_bytes;
  struct {
    uint8_t *data;
    uint32_t length_bytes;
  } peer_maps[BURDOCK_GROUP_RANKS_MAX]; /* from the answers to the recovery's query */
} RankController;

static int start_call (RankController *self, const BurdockEngineCall *template,
                       CallKind kind);
static void handle_local_messages (RankController *self);
static void publish_busy (RankController *self);

static BurdockAddress
own_address (const RankController *self)
{
  return self->core->board.self.settings.control_address;
}

static bool
is_own_address (const RankController *self, BurdockAddress address)
{
  BurdockAddress own = own_address (self);

  return address.ipv4 == own.ipv4 && address.port == own.port;
}

/* Messages to this process are queued: handling them directly would re-enter the state
 * machine that sends them. */
static void
send_local (RankController *self, uint32_t type, uint64_t target,
            const BurdockSwitchMessage *body)
{
  LocalMessage *local;

  if (self->local_count == LOCAL_QUEUE_MAX)
    return;
  local = &self->local[self->local_count++];
  *local = (LocalMessage){ .type = type, .target = target, .body = *body };
  if (body->map.length_bytes > 0) {
    local->map = malloc (body->map.length_bytes);
    memcpy (local->map, body->map.data, body->map.length_bytes);
    local->body.map.data = local->map;
  }
}

static void
send_switch (RankController *self, BurdockAddress to, uint32_t type, uint64_t target,
             const BurdockSwitchMessage *body)
{
  BurdockMessage message = { .header = { .type = type, .target_incarnation = target },
                             .switching = *body };
  const BurdockSettings *settings = &self->core->board.self.settings;

  burdock_copy_name (message.switching.group, sizeof message.switching.group,
                     settings->group);
  message.switching.reply_to = settings->control_address;
  if (is_own_address (self, to))
    send_local (self, type, target, &message.switching);
  else
    burdock_core_send (self->core, to, &message);
}

static void
rank_send (void *ctx, BurdockAddress to, uint32_t type, uint64_t target,
           const BurdockSwitchMessage *message)
{
  RankController *self = ctx;
  BurdockSwitchMessage body = *message;

  if (type == BURDOCK_MSG_SWITCH_STATE)
    body.map = (BurdockBytes){ self->map, self->map_bytes };
  send_switch (self, to, type, target, &body);
}

static void
rank_engine (void *ctx, const BurdockEngineCall *call)
{
  RankController *self = ctx;

  start_call (self, call, call->target_id != 0 ? CALL_BACKGROUND : CALL_JOB);
}

static void
recovery_send (void *ctx, uint32_t rank, uint32_t type, uint64_t target,
               const BurdockSwitchMessage *message)
{
  RankController *self = ctx;
  const BurdockSettings *settings = &self->core->board.self.settings;
  BurdockSwitchMessage body = *message;
  const BurdockMemberEntry *member;

  if (type == BURDOCK_MSG_SWITCH_OUTCOME)
    body.map = (BurdockBytes){ self->peer_maps[self->recovery.settle_rank].data,
                               self->peer_maps[self->recovery.settle_rank].length_bytes };
  if (rank == settings->rank) {
    send_switch (self, settings->control_address, type, target, &body);
    return;
  }
  member = burdock_members_find_rank (&self->core->board.members, settings->group, rank);
  if (member != NULL)
    send_switch (self, member->record.control_address, type, target, &body);
}

/* Engine calls. */

static PendingCall *
find_call (RankController *self, uint64_t id)
{
  for (uint32_t i = 0; i < PENDING_CALLS_MAX; i++)
    if (self->calls[i].kind != CALL_FREE && self->calls[i].id == id)
      return &self->calls[i];
  return NULL;
}

static bool
has_pending_call (const RankController *self, CallKind kind)
{
  for (uint32_t i = 0; i < PENDING_CALLS_MAX; i++)
    if (self->calls[i].kind == kind)
      return true;
  return false;
}

static int
start_call (RankController *self, const BurdockEngineCall *template, CallKind kind)
{
  BurdockEngineCall call = *template;
  PendingCall *pending = NULL;
  int status;

  for (uint32_t i = 0; i < PENDING_CALLS_MAX; i++)
    if (self->calls[i].kind == CALL_FREE)
      pending = &self->calls[i];
  call.target_id = 0;
  if (pending == NULL)
    status = -EAGAIN;
  else
    status = burdock_core_start_engine_call (self->core, self->index, &call);
  if (status == 0)
    *pending = (PendingCall){ .id = call.id, .kind = kind };
  else if (kind != CALL_POLL)
    burdock_switch_rank_engine_done (&self->rank, kind == CALL_BACKGROUND, status, NULL);
  return status;
}

static void
collect_tokens (RankController *self, const BurdockEngineState *state)
{
  if (state->slot_count > TOKENS_MAX)
    return;
  if (state->slot_count != self->tokens_count) {
    free (self->tokens);
    self->tokens = calloc (state->slot_count, sizeof *self->tokens);
    self->tokens_count = state->slot_count;
  }
  for (uint32_t i = 0; i < state->slot_count && state->expert_tokens != NULL; i++)
    self->tokens[i] += state->expert_tokens[i];
}

static void
replace_bytes (uint8_t **data, uint32_t *length_bytes, BurdockBytes bytes)
{
  if (*length_bytes == bytes.length_bytes && bytes.length_bytes > 0 &&
      memcmp (*data, bytes.data, bytes.length_bytes) == 0)
    return;
  free (*data);
  *data = NULL;
  *length_bytes = bytes.length_bytes;
  if (bytes.length_bytes == 0)
    return;
  *data = malloc (bytes.length_bytes);
  memcpy (*data, bytes.data, bytes.length_bytes);
}

static void
publish_view (RankController *self, const BurdockEngineState *state)
{
  BurdockRankView *view = &self->core->board.rank;

  *view = (BurdockRankView){ .known = true,
                             .engine_instance = state->engine_instance,
                             .map_epoch = state->map_epoch,
                             .held_epoch = state->held_epoch,
                             .step = state->step,
                             .running = state->running,
                             .queued = state->queued,
                             .step_time_us = state->step_time_us,
                             .engine_reachable = true };
}

/* Measured between reads of the state, so it can be too short by one poll interval. */
static void
measure_pause (RankController *self, const BurdockEngineState *state, uint64_t now_us)
{
  uint64_t since_us = self->waiting_since_us;

  if (state->waiting) {
    self->waiting_since_us = since_us != 0 ? since_us : now_us;
    return;
  }
  if (since_us == 0)
    return;
  self->waiting_since_us = 0;
  self->pause_us += (uint32_t)(now_us - since_us);
  burdock_count (&self->core->counters, BURDOCK_COUNTER_MAP_PAUSE_US, now_us - since_us);
}

static void
update_state (RankController *self, const BurdockEngineState *state)
{
  uint64_t now_us = burdock_core_now (self->core);

  publish_view (self, state);
  if (!self->in_group)
    return;
  if (self->rank.state_known && state->map_epoch != self->rank.state.map_epoch) {
    /* The slots hold other experts now, so the counts cannot be attributed. */
    memset (self->tokens, 0, self->tokens_count * sizeof *self->tokens);
    burdock_timeline_add (self->core->timeline, BURDOCK_LOG_INFO,
                          BURDOCK_EVENT_MAP_SWITCH, "map in use", "-",
                          self->core->board.self.settings.group,
                          "rank %u: epoch %llu at step %llu", self->rank.rank,
                          (unsigned long long)state->map_epoch,
                          (unsigned long long)state->step);
  } else {
    collect_tokens (self, state);
  }
  replace_bytes (&self->map, &self->map_bytes, state->map);
  measure_pause (self, state, now_us);
  if (state->held_epoch == 0 && state->held_number == 0 && !state->joining)
    self->blocked_since_us = 0;
  else if (self->blocked_since_us == 0 || !(state->waiting || state->joining))
    self->blocked_since_us = now_us;
}

static void
poll_engine (RankController *self, uint64_t now_us)
{
  BurdockEngineCall call = { .op = BURDOCK_ENGINE_STATE, .timeout_ms = POLL_TIMEOUT_MS };

  self->next_poll_us =
      now_us + (self->blocked_since_us != 0 ? BLOCKED_POLL_PERIOD_US : POLL_PERIOD_US);
  if (!has_pending_call (self, CALL_POLL))
    start_call (self, &call, CALL_POLL);
}

static void
send_popularity (RankController *self, uint64_t now_us)
{
  const BurdockEngineState *state = &self->rank.state;
  BurdockMessage message = { .header = { .type = BURDOCK_MSG_POPULARITY } };
  uint32_t length_bytes = self->tokens_count * 4;
  uint8_t *bytes;

  if (self->coordinator.port == 0 || state->joining || self->tokens_count == 0 ||
      now_us < self->next_report_us)
    return;
  self->next_report_us = now_us + POLL_PERIOD_US - COMMIT_POLL_PERIOD_US;
  bytes = malloc (length_bytes);
  for (uint32_t i = 0; i < self->tokens_count; i++) {
    uint32_t value =
        self->tokens[i] > UINT32_MAX ? UINT32_MAX : (uint32_t)self->tokens[i];

    for (uint32_t b = 0; b < 4; b++)
      bytes[(size_t)i * 4 + b] = (uint8_t)(value >> (24 - 8 * b));
  }
  burdock_copy_name (message.popularity.group, sizeof message.popularity.group,
                     self->core->board.self.settings.group);
  message.popularity.rank = self->rank.rank;
  message.popularity.map_epoch = state->map_epoch;
  message.popularity.step = state->step;
  message.popularity.step_time_us = state->step_time_us;
  message.popularity.pause_us = self->pause_us;
  message.popularity.tokens = (BurdockBytes){ bytes, length_bytes };
  if (burdock_core_send (self->core, self->coordinator, &message) == 0) {
    memset (self->tokens, 0, self->tokens_count * sizeof *self->tokens);
    self->pause_us = 0;
  }
  free (bytes);
}

static void
rank_controller_engine (void *ctx, const BurdockEngineEvent *event)
{
  RankController *self = ctx;
  PendingCall *pending = find_call (self, event->id);
  bool done = event->kind == BURDOCK_ENGINE_EVENT_DONE;
  int32_t status = done ? 0 : event->status;
  CallKind kind;

  if (pending == NULL || event->kind == BURDOCK_ENGINE_EVENT_TOKEN)
    return;
  kind = pending->kind;
  pending->kind = CALL_FREE;
  if (!done && status == 0)
    status = -EIO;
  if (done && event->state != NULL)
    update_state (self, event->state);
  else if (!done && event->op == BURDOCK_ENGINE_STATE)
    self->core->board.rank.engine_reachable = false;
  if (kind != CALL_POLL) {
    burdock_switch_rank_engine_done (&self->rank, kind == CALL_BACKGROUND, status,
                                     event->state);
    if (event->op != BURDOCK_ENGINE_STATE)
      self->next_poll_us = burdock_core_now (self->core);
  } else if (done && self->in_group && event->state != NULL) {
    burdock_switch_rank_update_state (&self->rank, event->state);
    send_popularity (self, burdock_core_now (self->core));
  } else if (!done && !self->in_group && (status == -ENOSYS || status == -EOPNOTSUPP)) {
    self->state_unsupported = true;
  }
  handle_local_messages (self);
  if (burdock_switch_rank_commit_pending (&self->rank) &&
      !has_pending_call (self, CALL_POLL)) {
    uint64_t poll_us = burdock_core_now (self->core) + COMMIT_POLL_PERIOD_US;

    self->next_poll_us = poll_us < self->next_poll_us ? poll_us : self->next_poll_us;
  }
  publish_busy (self);
}

/* Busy while the engine is held or joining, or a job or an accepted commit is pending. */
static void
publish_busy (RankController *self)
{
  self->core->board.rank.busy =
      self->in_group &&
      (self->rank.job != BURDOCK_JOB_NONE || burdock_switch_rank_blocked (&self->rank) ||
       burdock_switch_rank_commit_pending (&self->rank));
}

/* Messages. */

/* An agent that is leaving takes part in no new switch, as it might exit before the
 * outcome. It still takes part in recoveries, as the group may be waiting for one. */
static bool
starts_switch (uint32_t type, const BurdockSwitchMessage *message)
{
  return type == BURDOCK_MSG_SWITCH_PREPARE ||
         (type == BURDOCK_MSG_SWITCH_PROPOSE &&
          message->outcome == BURDOCK_OUTCOME_COMMIT);
}

static void
free_peer_maps (RankController *self)
{
  for (uint32_t r = 0; r < BURDOCK_GROUP_RANKS_MAX; r++) {
    free (self->peer_maps[r].data);
    self->peer_maps[r].data = NULL;
    self->peer_maps[r].length_bytes = 0;
  }
}

static void
handle_switch (RankController *self, uint32_t type, uint64_t sender, uint64_t target,
               const BurdockSwitchMessage *body)
{
  uint64_t now_us = burdock_core_now (self->core);

  switch (type) {
  case BURDOCK_MSG_SWITCH_PREPARE:
  case BURDOCK_MSG_SWITCH_PROPOSE:
  case BURDOCK_MSG_SWITCH_QUERY:
  case BURDOCK_MSG_SWITCH_OUTCOME:
    /* A recovery of this rank would obstruct the round of another proposer. */
    if (sender != self->rank.incarnation && body->ballot.round != 0)
      self->next_recovery_us =
          now_us + RECOVERY_DELAY_US + RECOVERY_STAGGER_US * self->rank.rank;
    if (body->fence >= self->rank.fence && body->fence != 0)
      self->coordinator = body->reply_to;
    if (body->ballot.round > self->recovery.highest_round)
      self->recovery.highest_round = body->ballot.round;
    burdock_switch_rank_handle_message (&self->rank, type, sender, target, body);
    return;
  default:
    if (type == BURDOCK_MSG_SWITCH_STATE && body->rank < BURDOCK_GROUP_RANKS_MAX &&
        self->recovery.phase == BURDOCK_SWITCH_QUERY)
      replace_bytes (&self->peer_maps[body->rank].data,
                     &self->peer_maps[body->rank].length_bytes, body->map);
    burdock_switch_coordinator_handle_reply (&self->recovery, type, sender, body, 0,
                                             now_us);
  }
}

static void
handle_local_messages (RankController *self)
{
  while (self->local_count > 0) {
    LocalMessage next = self->local[0];
    uint64_t own = self->rank.incarnation;

    self->local_count--;
    memmove (&self->local[0], &self->local[1], self->local_count * sizeof next);
    if (next.target == 0 || next.target == own)
      handle_switch (self, next.type, own, next.target, &next.body);
    free (next.map);
  }
}

static bool
rank_controller_message (void *ctx, BurdockAddress from, const BurdockMessage *message)
{
  RankController *self = ctx;
  uint32_t type = message->header.type;

  (void)from;
  if (type < BURDOCK_MSG_SWITCH_PREPARE || type > BURDOCK_MSG_SWITCH_STATE)
    return false;
  if (!self->in_group ||
      strcmp (message->switching.group, self->core->board.self.settings.group) != 0)
    return true;
  if (self->core->board.self.leaving && starts_switch (type, &message->switching))
    return true;
  handle_switch (self, type, message->header.sender_incarnation,
                 message->header.target_incarnation, &message->switching);
  handle_local_messages (self);
  publish_busy (self);
  return true;
}

/* Recovery. */

static uint32_t
group_size (const RankController *self)
{
  const BurdockConfig *config = self->core->board.config.config;
  const BurdockGroupConfig *group;

  if (config == NULL)
    return 0;
  group = burdock_config_group (config, self->core->board.self.settings.group);
  return group == NULL ? 0 : group->ranks;
}

static bool
recovery_due (const RankController *self, uint64_t now_us)
{
  uint64_t wait_us = RECOVERY_STAGGER_US * self->rank.rank;

  wait_us += self->rank.state.joining ? JOIN_RECOVERY_DELAY_US : RECOVERY_DELAY_US;
  return self->recovery.phase == BURDOCK_SWITCH_IDLE && self->blocked_since_us != 0 &&
         now_us >= self->blocked_since_us + wait_us && now_us >= self->next_recovery_us &&
         group_size (self) > self->rank.rank;
}

static void
start_recovery (RankController *self, uint64_t now_us)
{
  BurdockSwitchCoordinatorCallbacks callbacks = { .ctx = self, .send = recovery_send };
  uint32_t round = self->recovery.highest_round;

  burdock_timeline_add (self->core->timeline, BURDOCK_LOG_WARNING,
                        BURDOCK_EVENT_MAP_SWITCH, "recovery started", "-",
                        self->core->board.self.settings.group,
                        "rank %u is blocked: held epoch %llu, joining %d",
                        self->rank.rank, (unsigned long long)self->rank.state.held_epoch,
                        self->rank.state.joining);
  burdock_count (&self->core->counters, BURDOCK_COUNTER_MAP_RECOVERIES, 1);
  free_peer_maps (self);
  burdock_switch_coordinator_init (&self->recovery, group_size (self),
                                   self->rank.incarnation, &callbacks);
  self->recovery.highest_round =
      round > self->rank.ballot.round ? round : self->rank.ballot.round;
  self->next_recovery_us = now_us + RECOVERY_RETRY_US;
  burdock_switch_coordinator_start (&self->recovery, 0, now_us);
}

static uint64_t
rank_controller_tick (void *ctx, uint64_t now_us)
{
  RankController *self = ctx;
  uint64_t due_us;

  if (self->state_unsupported)
    return BURDOCK_NEVER_US;
  if (now_us >= self->next_poll_us)
    poll_engine (self, now_us);
  if (!self->in_group)
    return self->next_poll_us;
  due_us = burdock_switch_coordinator_tick (&self->recovery, now_us);
  /* A recovery that finds no rank held or joining has nothing to do. */
  if (self->recovery.phase == BURDOCK_SWITCH_READY)
    self->recovery.phase = BURDOCK_SWITCH_IDLE;
  if (recovery_due (self, now_us)) {
    start_recovery (self, now_us);
    due_us = now_us + BLOCKED_POLL_PERIOD_US;
  }
  handle_local_messages (self);
  publish_busy (self);
  return due_us < self->next_poll_us ? due_us : self->next_poll_us;
}

static void
rank_controller_free (void *ctx)
{
  RankController *self = ctx;

  for (uint32_t i = 0; i < self->local_count; i++)
    free (self->local[i].map);
  free_peer_maps (self);
  free (self->tokens);
  free (self->map);
  free (self);
}

BurdockController
burdock_rank_controller (BurdockCore *core, uint32_t index)
{
  RankController *self = calloc (1, sizeof *self);
  const BurdockSettings *settings = &core->board.self.settings;
  BurdockSwitchRankCallbacks callbacks = { .ctx = self,
                                           .send = rank_send,
                                           .engine = rank_engine };
  BurdockSwitchCoordinatorCallbacks recovery = { .ctx = self, .send = recovery_send };

  self->core = core;
  self->index = index;
  self->in_group = settings->group[0] != '\0';
  burdock_switch_rank_init (&self->rank, settings->rank, settings->incarnation,
                            &callbacks);
  burdock_switch_coordinator_init (&self->recovery, 0, settings->incarnation, &recovery);
  return (BurdockController){ .name = "rank",
                              .ctx = self,
                              .tick = rank_controller_tick,
                              .message = rank_controller_message,
                              .engine = rank_controller_engine,
                              .free = rank_controller_free };
}
