/**
 * DOC: map-coordinator.h - functions that coordinating and taking over share
 */
#ifndef BURDOCK_MAP_COORDINATOR_H
#define BURDOCK_MAP_COORDINATOR_H

#include "map-agent-private.h"

static inline BurdockMapPeer *
burdock_coordinator_rank (BurdockMapAgent *agent, uint32_t rank)
{
  return &agent->peers[rank];
}

static inline uint32_t
burdock_coordinator_size (const BurdockMapAgent *agent)
{
  return agent->report.size < BURDOCK_COPY_RANKS_MAX ? agent->report.size
                                                     : BURDOCK_COPY_RANKS_MAX;
}

void burdock_coordinator_enter (BurdockMapAgent *agent, BurdockCoordinatorPhase phase,
                                uint64_t now_us);

/** burdock_coordinator_decay_interval_us() - interval at which counts of experts decay */
uint64_t burdock_coordinator_decay_interval_us (uint32_t ranks);

/** burdock_coordinator_command() - tells the agent of @rank what to do */
void burdock_coordinator_command (BurdockMapAgent *agent, uint32_t rank,
                                  BurdockMapCommandKind kind, BurdockBytes map,
                                  uint64_t now_us);

/** burdock_coordinator_raise_ballot() - takes a ballot above all that are known */
void burdock_coordinator_raise_ballot (BurdockMapAgent *agent);

/** burdock_coordinator_is_outvoted() - whether an agent obeys a newer coordinator */
bool burdock_coordinator_is_outvoted (BurdockMapAgent *agent);

/** burdock_coordinator_suspects() - whether the group stands for a hold of a silent agent
 */
bool burdock_coordinator_suspects (BurdockMapAgent *agent, uint64_t now_us);

/** burdock_coordinator_take_over() - asks all agents for their promise */
void burdock_coordinator_take_over (BurdockMapAgent *agent, bool suspects,
                                    const char *reason, uint64_t now_us);
void burdock_coordinator_tick_promising (BurdockMapAgent *agent, uint64_t now_us);

#endif
