/* Takes over a group whose coordinator is silent and completes its switch. */
#include "map-coordinator.h"

#include <inttypes.h>

#define US_PER_MS UINT64_C (1000)

/* Promise requests are resent at this interval until the states of the ranks show the
 * promised ballot. */
#define PROMISE_RESEND_INTERVAL_US (50 * US_PER_MS)

/* Agents that have not promised after this time are down or unreachable. The held step,
 * which the group has reached by then, is released without them. */
#define PROMISE_TIMEOUT_US (600 * US_PER_MS)

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
  BurdockCoordinator *self = &agent->coordinator;

  if (now_us - agent->progress_us < STALL_TIMEOUT_US)
    return false;
  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    const BurdockMapPeer *peer = burdock_coordinator_peer (agent, r);

    if (!peer->known || peer->state.upstream.port == 0 ||
        burdock_map_peer_is_alive (peer, now_us))
      continue;
    self->holder = r;
    self->step = agent->report.step + 1;
    return true;
  }
  return false;
}

void
burdock_coordinator_take_over (BurdockMapAgent *agent, bool hold_suspected,
                               const char *reason, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;

  self->epoch = agent->report.epoch;
  self->hold_suspected = hold_suspected;
  burdock_coordinator_raise_ballot (agent);
  agent->stats.recoveries++;
  burdock_map_agent_log (agent, "take over", "%s", reason);
  burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_PROMISING, now_us);
}

/* Finds the hold and the armed ranks of an earlier coordinator's switch; false if there
 * are none. */
static bool
find_unfinished_switch (BurdockMapAgent *agent, bool *armed, bool *held)
{
  BurdockCoordinator *self = &agent->coordinator;

  *armed = *held = false;
  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    const BurdockRankStateMessage *state = &burdock_coordinator_peer (agent, r)->state;

    if (state->epoch != self->epoch)
      continue;
    if (state->held_step != 0) {
      *held = true;
      self->holder = r;
      self->step = state->held_step;
    }
  }
  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    const BurdockRankStateMessage *state = &burdock_coordinator_peer (agent, r)->state;

    if (state->epoch != self->epoch || state->armed_version == 0)
      continue;
    *armed = true;
    self->version = state->armed_version;
    if (!*held)
      self->step = state->armed_step;
  }
  return *armed || *held;
}

static bool
all_have_promised (BurdockMapAgent *agent, bool resend, uint64_t now_us)
{
  BurdockCoordinator *self = &agent->coordinator;
  bool promised = true;

  for (uint32_t r = 0; r < burdock_coordinator_rank_count (agent); r++) {
    if (burdock_ballot_compare (burdock_coordinator_peer (agent, r)->state.ballot,
                                self->ballot) == 0)
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
  bool armed;
  bool held;

  if (resend)
    self->next_send_us = now_us + PROMISE_RESEND_INTERVAL_US;
  if (find_unfinished_switch (agent, &armed, &held))
    self->hold_suspected = false;
  else if (!self->hold_suspected) {
    burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_IDLE, now_us);
    return;
  }
  if (!promised && now_us - self->phase_since_us < PROMISE_TIMEOUT_US)
    return;
  burdock_map_agent_log (agent, "complete switch",
                         "version %" PRIu64 " step %" PRIu64
                         " armed %d held %d promised %d",
                         self->version, self->step, armed, held, promised);
  if (armed)
    burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_ARMING, now_us);
  else
    burdock_coordinator_enter_phase (agent, BURDOCK_COORDINATOR_RELEASING, now_us);
}
