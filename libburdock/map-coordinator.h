/**
 * DOC: map-coordinator.h - functions shared by the coordinator and its takeover
 */
#ifndef BURDOCK_MAP_COORDINATOR_H
#define BURDOCK_MAP_COORDINATOR_H

#include "map-agent-private.h"

/* Work of one step of a plan, in changes tried: well under 3 ms, as the agent answers
 * nothing meanwhile, also on a core that is several times slower than ours. */
#define BURDOCK_COORDINATOR_PLAN_STEP_WORK 16384

static inline BurdockMapPeer *
burdock_coordinator_peer (BurdockMapAgent *agent, uint32_t rank)
{
  return &agent->peers[rank];
}

static inline uint32_t
burdock_coordinator_rank_count (const BurdockMapAgent *agent)
{
  return agent->peer_count;
}

/** burdock_coordinator_enter_phase() - starts @phase; its messages are due at once */
void burdock_coordinator_enter_phase (BurdockMapAgent *agent,
                                      BurdockCoordinatorPhase phase, uint64_t now_us);

/** burdock_coordinator_reset() - ends the plan or switch in progress: the group was
 * re-formed */
void burdock_coordinator_reset (BurdockMapAgent *agent, uint64_t now_us);

/** burdock_coordinator_forget_tokens() - forgets the counts of tokens, which belong to a
 * shape that is no longer in force */
void burdock_coordinator_forget_tokens (BurdockMapAgent *agent);

/** burdock_coordinator_decay_interval_us() - interval at which token counts decay, for a
 * group of @ranks ranks */
uint64_t burdock_coordinator_decay_interval_us (uint32_t ranks);

/** burdock_coordinator_send_command() - sends a command without a map for the current
 * switch to @rank */
void burdock_coordinator_send_command (BurdockMapAgent *agent, uint32_t rank,
                                       BurdockMapCommandKind kind, uint64_t now_us);

/** burdock_coordinator_raise_ballot() - chooses a ballot above all known ones */
void burdock_coordinator_raise_ballot (BurdockMapAgent *agent);

/** burdock_coordinator_is_superseded() - whether an agent has promised a higher ballot */
bool burdock_coordinator_is_superseded (BurdockMapAgent *agent);

/** burdock_coordinator_suspects_orphaned_hold() - whether the group is stalled and a
 * rank with a silent agent may hold a step of it */
bool burdock_coordinator_suspects_orphaned_hold (BurdockMapAgent *agent, uint64_t now_us);

/**
 * burdock_coordinator_take_over() - starts a takeover under a higher ballot, which all
 * agents have to promise
 * @hold_suspected: no report may show a hold that was ordered
 * @reason: text for the log
 */
void burdock_coordinator_take_over (BurdockMapAgent *agent, bool hold_suspected,
                                    const char *reason, uint64_t now_us);

/** burdock_coordinator_tick_promising() - collects promises, then decides whether the
 * unfinished switch is completed or only its hold released */
void burdock_coordinator_tick_promising (BurdockMapAgent *agent, uint64_t now_us);

/** burdock_coordinator_tick_confirming() - takes over the hold, without which nothing is
 * armed or released */
void burdock_coordinator_tick_confirming (BurdockMapAgent *agent, uint64_t now_us);

/** burdock_coordinator_confirm_done() - handles the answer to the order of
 * burdock_coordinator_tick_confirming() */
void burdock_coordinator_confirm_done (BurdockMapAgent *agent, int32_t status,
                                       uint64_t now_us);

/** burdock_coordinator_order_engine() - sends an order to the engine of @rank, bypassing
 * its agent. Only one such order is in progress at a time. */
void burdock_coordinator_order_engine (BurdockMapAgent *agent, BurdockMapOrderKind kind,
                                       uint32_t rank);

#endif
