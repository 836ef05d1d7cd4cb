/* Takes over a group whose coordinator is silent and completes its switch. */
#include "map-coordinator.h"

#include <errno.h>
#include <inttypes.h>

#define US_PER_MS UINT64_C (1000)

/* Promise requests are resent at this interval until the states of the ranks show the
 * promised ballot. */
#define PROMISE_RESEND_INTERVAL_US (50 * US_PER_MS)

/* Agents that have not promised after this time are down or unreachable. The held step,
 * which the group has reached by then, is released without them. */
#define PROMISE_TIMEOUT_US (600 * US_PER_MS)

/* Time after which a takeover that has found no hold looks at the reports again. */
#define TAKEOVER_RETRY_US (400 * US_PER_MS)

/* A group with requests that begins no step for this long is held or has lost a rank. */
#define STALL_TIMEOUT_US (600 * US_PER_MS)

void
burdock_coordinator_raise_ballot (BurdockMapAgent *agent)
{
  BurdockCoordinator *self = &agent->coordinator;
  uint32_t round = self->ballot.round;

  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    if (burdock_coordinator_peer (agent, r)->state.ballot.round > round)
      round = burdock_coordinator_peer (agent, r)->state.ballot.round;
  }
  self->ballot = (BurdockBallot){ round + 1, agent->settings.incarnation };
}

bool
burdock_coordinator_is_superseded (BurdockMapAgent *agent)
{
  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    if (burdock_ballot_compare (burdock_coordinator_peer (agent, r)->state.ballot,
                                agent->coordinator.ballot) > 0)
      return true;
  }
  return false;
}

/* A coordinator that froze or became unreachable may have left a hold that no report
 * shows. The group is stalled then, and the agent of the holding rank is silent. */
bool
burdock_coordinator_suspects_orphaned_hold (BurdockMapAgent *agent, uint64_t now_us)
{
  if (now_us - agent->progress_us < STALL_TIMEOUT_US)
    return false;
  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    const BurdockMapPeer *peer = burdock_coordinator_peer (agent, r);

    if (peer->known && peer->state.upstream.port != 0 &&
        !burdock_map_peer_is_alive (peer, now_us))
      return true;
  }
  return false;
}

void
burdock_coordinator_take_over (BurdockMapAgent *agent, bool hold_suspected,
                               const char *reason, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;

  if (self->epoch != agent->report.epoch)
    self->held_step = 0;
  self->epoch = agent->report.epoch;
  self->hold_suspected = hold_suspected;
  self->direct_order.id = 0;
  burdock_coordinator_raise_ballot (agent);
  agent->stats.recoveries++;
  burdock_map_agent_log (agent, "take over", "%s", reason);
  burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_PROMISING, now_us);
}

/* Whether a rank reports a hold or an armed map for a step that has not begun. */
static bool
has_unfinished (const BurdockMapAgent *agent, const BurdockRankStateMessage *state)
{
  if (state->epoch != agent->coordinator.epoch)
    return false;
  return state->held_step > agent->report.step ||
         (state->armed_version > agent->report.map_version &&
          (state->armed_step == 0 || state->armed_step > agent->report.step));
}

static bool
any_rank_has_unfinished (BurdockMapAgent *agent)
{
  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    if (has_unfinished (agent, &burdock_coordinator_peer (agent, r)->state))
      return true;
  }
  return false;
}

static bool
has_promised (const BurdockMapAgent *agent, const BurdockMapPeer *peer)
{
  return burdock_ballot_compare (peer->state.ballot, agent->coordinator.ballot) == 0;
}

/* What is left to do with a map that an earlier coordinator has planned. */
typedef enum {
  LEFT_NOTHING, /* no rank is armed with it, and none will be */
  LEFT_SWITCH,  /* ranks may be armed with it */
  LEFT_UNKNOWN, /* depends on a rank whose agent is silent */
} LeftToDo;

/* An order to arm that had no answer may be carried out until its step begins, so that
 * only a switch of all ranks is safe after one. An earlier coordinator gave none before
 * all ranks had loaded the map. It gave none, therefore, if a rank that has promised
 * lacks it. */
static LeftToDo
find_unfinished_version (BurdockMapAgent *agent, uint64_t *version)
{
  LeftToDo left = LEFT_SWITCH;

  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    const BurdockMapPeer *peer = burdock_coordinator_peer (agent, r);

    *version = peer->state.armed_version;
    if (has_unfinished (agent, &peer->state) && *version != 0)
      return LEFT_SWITCH;
  }
  *version = agent->report.loaded_version;
  if (*version <= agent->report.map_version)
    return LEFT_NOTHING;
  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    const BurdockMapPeer *peer = burdock_coordinator_peer (agent, r);

    if (peer->state.loaded_version == *version)
      continue;
    if (has_promised (agent, peer))
      return LEFT_NOTHING;
    left = LEFT_UNKNOWN;
  }
  return left;
}

/* What ranks report of the steps of an unfinished switch; 0 for a step that none reports.
 */
typedef struct {
  uint32_t holder;
  uint64_t held_step;  /* the first one that is held */
  uint64_t armed_step; /* step at which armed ranks switch */
  bool armed;
} UnfinishedSteps;

static UnfinishedSteps
collect_steps (BurdockMapAgent *agent)
{
  const BurdockCoordinator *self = &agent->coordinator;
  UnfinishedSteps steps = { 0 };

  /* After a pause, the hold of the own switch. */
  if (self->held_step > agent->report.step) {
    steps.holder = self->holder;
    steps.held_step = self->held_step;
  }
  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    const BurdockRankStateMessage *state = &burdock_coordinator_peer (agent, r)->state;

    if (!has_unfinished (agent, state))
      continue;
    if (state->held_step > agent->report.step &&
        (steps.held_step == 0 || state->held_step < steps.held_step)) {
      steps.holder = r;
      steps.held_step = state->held_step;
    }
    steps.armed = steps.armed || state->armed_version != 0;
    if (state->armed_version != 0 && state->armed_step != 0)
      steps.armed_step = state->armed_step;
  }
  return steps;
}

/* A rank that can be ordered to hold a step: the local one, or another one if that holds
 * a step already. */
static uint32_t
find_free_rank (BurdockMapAgent *agent)
{
  uint32_t own = agent->report.rank;

  if (agent->report.held_step <= agent->report.step)
    return own;
  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    const BurdockRankStateMessage *state = &burdock_coordinator_peer (agent, r)->state;

    if (r != own && state->upstream.port != 0 && state->held_step == 0)
      return r;
  }
  return own;
}

/* The rank whose hold no report shows: that of the lowest silent agent, which has been
 * the coordinator, or the local one. */
static uint32_t
find_suspected_holder (BurdockMapAgent *agent, uint64_t now_us)
{
  for (uint32_t r = 0; r < agent->report.rank; r++) {
    const BurdockMapPeer *peer = burdock_coordinator_peer (agent, r);

    if (peer->state.upstream.port != 0 && !burdock_map_peer_is_alive (peer, now_us))
      return r;
  }
  return agent->report.rank;
}

/* Chooses the step of the switch, and the hold that has to be confirmed before it: that
 * step, or one before it. Ranks that are armed for an unknown step are armed again for
 * the next one. */
static void
choose_steps (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;
  UnfinishedSteps steps = collect_steps (agent);
  uint64_t next_step = agent->report.step + 1;

  self->hold_guessed = !steps.armed && steps.held_step == 0;
  if (self->hold_guessed) {
    self->holder = find_suspected_holder (agent, now_us);
    self->step = self->held_step = next_step;
    return;
  }
  if (steps.armed)
    self->step = steps.armed_step != 0 ? steps.armed_step : next_step;
  else
    self->step = steps.held_step;
  if (steps.held_step != 0 && steps.held_step <= self->step) {
    self->holder = steps.holder;
    self->held_step = steps.held_step;
  } else {
    self->holder = steps.held_step == 0 ? find_suspected_holder (agent, now_us)
                                        : find_free_rank (agent);
    self->held_step = self->step;
  }
}

static bool
all_have_promised (BurdockMapAgent *agent, bool resend, uint64_t now_us)
{
  bool promised = true;

  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    if (has_promised (agent, burdock_coordinator_peer (agent, r)))
      continue;
    promised = false;
    if (resend)
      burdock_coordinator_send_command (agent, r, BURDOCK_MAP_PROMISE, now_us);
  }
  return promised;
}

void
burdock_coordinator_tick_promising (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;
  bool resend = now_us >= self->next_send_us;
  bool promised = all_have_promised (agent, resend, now_us);
  uint64_t version;
  LeftToDo left;

  if (resend)
    self->next_send_us = now_us + PROMISE_RESEND_INTERVAL_US;
  if (!self->hold_suspected && !any_rank_has_unfinished (agent)) {
    burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_IDLE, now_us);
    return;
  }
  if (!promised && now_us - self->phase_since_us < PROMISE_TIMEOUT_US)
    return;
  left = find_unfinished_version (agent, &version);
  if (left == LEFT_UNKNOWN) {
    /* A group that goes on is not held. */
    if (agent->progress_us > self->phase_since_us && !any_rank_has_unfinished (agent))
      burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_IDLE, now_us);
    return;
  }
  self->version = left == LEFT_SWITCH ? version : 0;
  choose_steps (agent, now_us);
  burdock_map_agent_log (agent, "complete switch",
                         "version %" PRIu64 " step %" PRIu64 " holder %u held %" PRIu64
                         " guessed %d promised %d",
                         self->version, self->step, self->holder, self->held_step,
                         self->hold_guessed, promised);
  burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_CONFIRMING, now_us);
}

void
burdock_coordinator_tick_confirming (BurdockMapAgent *agent, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;

  if (self->direct_order.id == 0)
    burdock_coordinator_order_engine (agent, BURDOCK_ORDER_HOLD, self->holder);
}

/* An engine that accepts the hold has not begun the step and does not begin it before the
 * release. One that rejects it has begun the step, or holds the one after it. */
void
burdock_coordinator_confirm_done (BurdockMapAgent *agent, int32_t status, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;

  if (status == 0) {
    burdock_coordinator_enter_phase (agent,
                                     self->version != 0 ? BURDOCK_COORDINATOR_ARMING
                                                        : BURDOCK_COORDINATOR_RELEASING,
                                     now_us);
  } else if (status != -ETIMEDOUT && self->hold_guessed &&
             self->held_step == agent->report.step + 1) {
    self->step = ++self->held_step;
  } else if (status != -ETIMEDOUT) {
    burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_IDLE, now_us);
    self->next_plan_us = now_us + TAKEOVER_RETRY_US;
  }
}
