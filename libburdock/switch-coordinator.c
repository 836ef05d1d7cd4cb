#include "switch-coordinator.h"

#include <errno.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)

/* Longer than a round trip between failure domains plus one engine call, and short enough
 * that one lost message adds little to a pause. */
#define RESEND_PERIOD_US (200 * US_PER_MS)

static const uint64_t phase_timeout_us[] = {
  [BURDOCK_SWITCH_IDLE] = UINT64_MAX,
  [BURDOCK_SWITCH_QUERY] = 3000 * US_PER_MS,
  [BURDOCK_SWITCH_READY] = 2000 * US_PER_MS,
  [BURDOCK_SWITCH_PREPARE] = 120000 * US_PER_MS, /* the weight store is rate-limited */
  [BURDOCK_SWITCH_PROPOSE] = 1500 * US_PER_MS,   /* the group may be paused meanwhile */
  [BURDOCK_SWITCH_CONFIRM] = 3000 * US_PER_MS,
  [BURDOCK_SWITCH_OUTCOME] = 4000 * US_PER_MS, /* then the ranks start recoveries */
};

static const uint32_t phase_request_type[] = {
  [BURDOCK_SWITCH_QUERY] = BURDOCK_MSG_SWITCH_QUERY,
  [BURDOCK_SWITCH_PREPARE] = BURDOCK_MSG_SWITCH_PREPARE,
  [BURDOCK_SWITCH_PROPOSE] = BURDOCK_MSG_SWITCH_PROPOSE,
  [BURDOCK_SWITCH_CONFIRM] = BURDOCK_MSG_SWITCH_PROPOSE,
  [BURDOCK_SWITCH_OUTCOME] = BURDOCK_MSG_SWITCH_OUTCOME,
};

static const uint32_t phase_reply_type[] = {
  [BURDOCK_SWITCH_QUERY] = BURDOCK_MSG_SWITCH_STATE,
  [BURDOCK_SWITCH_PREPARE] = BURDOCK_MSG_SWITCH_LOADED,
  [BURDOCK_SWITCH_PROPOSE] = BURDOCK_MSG_SWITCH_PROMISE,
  [BURDOCK_SWITCH_CONFIRM] = BURDOCK_MSG_SWITCH_PROMISE,
  [BURDOCK_SWITCH_OUTCOME] = BURDOCK_MSG_SWITCH_OUTCOME_ACK,
};

void
burdock_switch_coordinator_init (BurdockSwitchCoordinator *coordinator, uint32_t ranks,
                                 uint64_t incarnation,
                                 const BurdockSwitchCoordinatorCallbacks *callbacks)
{
  *coordinator = (BurdockSwitchCoordinator){
    .callbacks = *callbacks,
    .ranks = ranks < BURDOCK_GROUP_RANKS_MAX ? ranks : BURDOCK_GROUP_RANKS_MAX,
    .incarnation = incarnation,
  };
}

static void
send_phase (BurdockSwitchCoordinator *coordinator, uint32_t rank)
{
  BurdockSwitchPhase phase = coordinator->phase;
  uint32_t outcome = coordinator->outcome;
  BurdockSwitchMessage message = {
    .rank = rank,
    .epoch = coordinator->epoch,
    .step = coordinator->step,
    .fence = coordinator->fence,
    .ballot = coordinator->ballot,
  };

  if (phase == BURDOCK_SWITCH_PROPOSE)
    outcome = BURDOCK_OUTCOME_COMMIT;
  else if (phase == BURDOCK_SWITCH_CONFIRM)
    outcome = BURDOCK_OUTCOME_SETTLE;
  message.outcome = outcome;
  coordinator->callbacks.send (
      coordinator->callbacks.ctx, rank, phase_request_type[phase],
      phase == BURDOCK_SWITCH_QUERY ? 0 : coordinator->peers[rank].incarnation, &message);
}

void
burdock_switch_coordinator_resend (BurdockSwitchCoordinator *coordinator, uint64_t now_us)
{
  if (coordinator->phase == BURDOCK_SWITCH_IDLE ||
      coordinator->phase == BURDOCK_SWITCH_READY)
    return;
  coordinator->sent_us = now_us;
  for (uint32_t r = 0; r < coordinator->ranks; r++)
    if (!coordinator->peers[r].answered)
      send_phase (coordinator, r);
}

static void
enter_phase (BurdockSwitchCoordinator *coordinator, BurdockSwitchPhase phase,
             uint64_t now_us)
{
  coordinator->phase = phase;
  coordinator->phase_since_us = now_us;
  if (phase == BURDOCK_SWITCH_IDLE || phase == BURDOCK_SWITCH_READY)
    return;
  for (uint32_t r = 0; r < coordinator->ranks; r++)
    coordinator->peers[r].answered = false;
  burdock_switch_coordinator_resend (coordinator, now_us);
}

void
burdock_switch_coordinator_start (BurdockSwitchCoordinator *coordinator, uint64_t fence,
                                  uint64_t now_us)
{
  coordinator->fence = fence;
  coordinator->ballot = (BurdockBallot){ .round = ++coordinator->highest_round,
                                         .proposer = coordinator->incarnation };
  coordinator->outcome = BURDOCK_OUTCOME_UNDECIDED;
  coordinator->epoch = 0;
  coordinator->step = 0;
  memset (coordinator->peers, 0, sizeof coordinator->peers);
  enter_phase (coordinator, BURDOCK_SWITCH_QUERY, now_us);
}

void
burdock_switch_coordinator_prepare (BurdockSwitchCoordinator *coordinator,
                                    uint64_t now_us)
{
  uint64_t floor = coordinator->fence * BURDOCK_EPOCHS_PER_FENCE;

  if (coordinator->phase != BURDOCK_SWITCH_READY || coordinator->fence == 0)
    return;
  coordinator->epoch =
      (coordinator->highest_epoch > floor ? coordinator->highest_epoch : floor) + 1;
  coordinator->highest_epoch = coordinator->epoch;
  enter_phase (coordinator, BURDOCK_SWITCH_PREPARE, now_us);
}

static bool
all_answered (const BurdockSwitchCoordinator *coordinator, BurdockSwitchRule rule)
{
  uint32_t missing = 0;

  for (uint32_t r = 0; r < coordinator->ranks; r++)
    missing += !coordinator->peers[r].answered;
  return missing == 0 ||
         (missing == 1 && burdock_rule_disabled (coordinator->disabled_rules, rule));
}

/* If all ranks are joining, the group starts again from the initial map that its engines
 * report. */
static void
choose_recovery_map (BurdockSwitchCoordinator *coordinator)
{
  bool found = false;

  coordinator->epoch = BURDOCK_EPOCH_REINITIALISED;
  coordinator->settle_rank = 0;
  for (uint32_t r = 0; r < coordinator->ranks; r++) {
    const BurdockSwitchPeer *peer = &coordinator->peers[r];
    bool better = peer->map_epoch > coordinator->epoch;

    if (burdock_rule_disabled (coordinator->disabled_rules, BURDOCK_RULE_COMMIT_WINS))
      better = peer->map_epoch < coordinator->epoch;
    if (!peer->answered || peer->joining || (found && !better))
      continue;
    found = true;
    coordinator->epoch = peer->map_epoch;
    coordinator->settle_rank = r;
  }
}

static bool
group_is_ready (const BurdockSwitchCoordinator *coordinator)
{
  const BurdockSwitchPeer *first = &coordinator->peers[0];

  for (uint32_t r = 0; r < coordinator->ranks; r++) {
    const BurdockSwitchPeer *peer = &coordinator->peers[r];

    if (peer->joining || peer->held || peer->map_epoch != first->map_epoch)
      return false;
  }
  return true;
}

static void
on_all_states_received (BurdockSwitchCoordinator *coordinator, uint64_t now_us)
{
  if (group_is_ready (coordinator)) {
    enter_phase (coordinator, BURDOCK_SWITCH_READY, now_us);
    return;
  }
  choose_recovery_map (coordinator);
  if (burdock_rule_disabled (coordinator->disabled_rules, BURDOCK_RULE_CONFIRM)) {
    coordinator->outcome = BURDOCK_OUTCOME_SETTLE;
    enter_phase (coordinator, BURDOCK_SWITCH_OUTCOME, now_us);
    return;
  }
  enter_phase (coordinator, BURDOCK_SWITCH_CONFIRM, now_us);
}

static void
decide (BurdockSwitchCoordinator *coordinator, BurdockSwitchOutcome outcome,
        uint64_t now_us)
{
  coordinator->outcome = outcome;
  enter_phase (coordinator, BURDOCK_SWITCH_OUTCOME, now_us);
}

static void
on_state (BurdockSwitchCoordinator *coordinator, uint64_t sender,
          const BurdockSwitchMessage *message, uint64_t now_us)
{
  BurdockSwitchPeer *peer = &coordinator->peers[message->rank];

  if (sender < peer->incarnation)
    return;
  *peer = (BurdockSwitchPeer){
    .incarnation = sender,
    .map_epoch = message->map_epoch,
    .held = message->held,
    .step = message->step,
    .joining = message->joining,
    .answered = true,
  };
  if (message->epoch > coordinator->highest_epoch)
    coordinator->highest_epoch = message->epoch;
  if (all_answered (coordinator, coordinator->fence == 0 ? BURDOCK_RULE_ALL_ANSWERS
                                                         : BURDOCK_RULE_COUNT))
    on_all_states_received (coordinator, now_us);
}

static void
propose (BurdockSwitchCoordinator *coordinator, uint32_t margin_steps, uint64_t now_us)
{
  uint64_t furthest = 0;

  for (uint32_t r = 0; r < coordinator->ranks; r++)
    if (coordinator->peers[r].step > furthest)
      furthest = coordinator->peers[r].step;
  coordinator->step = furthest + margin_steps;
  enter_phase (coordinator, BURDOCK_SWITCH_PROPOSE, now_us);
}

/* The proposer may abort without the consent of the ranks: it is the only proposer of
 * this ballot, and the epoch cannot be committed under any other ballot. */
static void
on_refusal (BurdockSwitchCoordinator *coordinator, const BurdockSwitchMessage *message,
            uint64_t now_us)
{
  if (message->ballot.round > coordinator->highest_round)
    coordinator->highest_round = message->ballot.round;
  if (coordinator->phase == BURDOCK_SWITCH_OUTCOME) {
    /* -EAGAIN: the engine has not applied the outcome yet, so resend. Any other error is
     * left to the recovery that the rank starts itself. */
    coordinator->peers[message->rank].answered = message->status != -EAGAIN;
    return;
  }
  if (coordinator->phase == BURDOCK_SWITCH_PROPOSE)
    decide (coordinator, BURDOCK_OUTCOME_ABORT, now_us);
  else
    enter_phase (coordinator, BURDOCK_SWITCH_IDLE, now_us);
}

static void
on_phase_complete (BurdockSwitchCoordinator *coordinator, uint32_t margin_steps,
                   uint64_t now_us)
{
  switch (coordinator->phase) {
  case BURDOCK_SWITCH_PREPARE:
    propose (coordinator, margin_steps, now_us);
    return;
  case BURDOCK_SWITCH_PROPOSE:
    decide (coordinator, BURDOCK_OUTCOME_COMMIT, now_us);
    return;
  case BURDOCK_SWITCH_CONFIRM:
    decide (coordinator, BURDOCK_OUTCOME_SETTLE, now_us);
    return;
  case BURDOCK_SWITCH_OUTCOME:
    enter_phase (coordinator, BURDOCK_SWITCH_IDLE, now_us);
    return;
  case BURDOCK_SWITCH_IDLE:
  case BURDOCK_SWITCH_QUERY:
  case BURDOCK_SWITCH_READY:
    return;
  }
}

static bool
reply_matches_phase (const BurdockSwitchCoordinator *coordinator, uint32_t type,
                     uint64_t sender, const BurdockSwitchMessage *message)
{
  const BurdockSwitchPeer *peer = &coordinator->peers[message->rank];
  BurdockSwitchPhase phase = coordinator->phase;
  bool same_incarnation =
      sender == peer->incarnation ||
      burdock_rule_disabled (coordinator->disabled_rules, BURDOCK_RULE_INCARNATION);

  if (phase == BURDOCK_SWITCH_IDLE || phase == BURDOCK_SWITCH_READY)
    return false;
  if (type != phase_reply_type[phase])
    return false;
  if (message->status == 0 &&
      burdock_ballot_compare (message->ballot, coordinator->ballot) != 0)
    return false;
  if (phase == BURDOCK_SWITCH_QUERY)
    return true;
  return same_incarnation && message->epoch == coordinator->epoch && !peer->answered;
}

/* A refusal, too, must belong to this round. It carries the ballot that the rank follows:
 * a newer one, or that of this round if the rank refused for another reason. -EPERM, for
 * an old fencing token, counts with any ballot. */
static bool
refusal_is_current (const BurdockSwitchCoordinator *coordinator,
                    const BurdockSwitchMessage *message)
{
  return burdock_ballot_compare (message->ballot, coordinator->ballot) >= 0 ||
         message->status == -EPERM;
}

void
burdock_switch_coordinator_handle_reply (BurdockSwitchCoordinator *coordinator,
                                         uint32_t type, uint64_t sender,
                                         const BurdockSwitchMessage *message,
                                         uint32_t margin_steps, uint64_t now_us)
{
  BurdockSwitchPeer *peer;
  BurdockSwitchRule rule = BURDOCK_RULE_ALL_PROMISES;

  if (message->rank >= coordinator->ranks ||
      !reply_matches_phase (coordinator, type, sender, message))
    return;
  if (message->status != 0) {
    if (refusal_is_current (coordinator, message))
      on_refusal (coordinator, message, now_us);
    return;
  }
  if (coordinator->phase == BURDOCK_SWITCH_QUERY) {
    on_state (coordinator, sender, message, now_us);
    return;
  }
  peer = &coordinator->peers[message->rank];
  peer->answered = true;
  if (message->step > peer->step)
    peer->step = message->step;
  if (coordinator->phase == BURDOCK_SWITCH_CONFIRM)
    rule = BURDOCK_RULE_ALL_ANSWERS;
  else if (coordinator->phase != BURDOCK_SWITCH_PROPOSE)
    rule = BURDOCK_RULE_COUNT;
  if (all_answered (coordinator, rule))
    on_phase_complete (coordinator, margin_steps, now_us);
}

void
burdock_switch_coordinator_expire (BurdockSwitchCoordinator *coordinator, uint64_t now_us)
{
  if (coordinator->phase == BURDOCK_SWITCH_PROPOSE)
    decide (coordinator, BURDOCK_OUTCOME_ABORT, now_us);
  else
    enter_phase (coordinator, BURDOCK_SWITCH_IDLE, now_us);
}

uint64_t
burdock_switch_coordinator_tick (BurdockSwitchCoordinator *coordinator, uint64_t now_us)
{
  uint64_t timeout_us = phase_timeout_us[coordinator->phase];

  if (coordinator->phase == BURDOCK_SWITCH_IDLE)
    return UINT64_MAX;
  if (now_us >= coordinator->phase_since_us + timeout_us)
    burdock_switch_coordinator_expire (coordinator, now_us);
  else if (now_us >= coordinator->sent_us + RESEND_PERIOD_US)
    burdock_switch_coordinator_resend (coordinator, now_us);
  return coordinator->phase == BURDOCK_SWITCH_IDLE ? UINT64_MAX
                                                   : now_us + RESEND_PERIOD_US;
}
