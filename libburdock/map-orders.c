/* Executes the commands of the coordinator with orders to the local engine. */
#include "map-agent-private.h"

#include <errno.h>
#include <inttypes.h>

/* Attempts of one order that may time out in a row; the coordinator repeats its command
 * later. */
#define ORDER_ATTEMPTS_MAX 6

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

/* Decodes the map of a command to load into @map; false if it cannot be used. */
static bool
decode_map (BurdockMapAgent *agent, const BurdockMapCommandMessage *command,
            BurdockReplicaMap *map)
{
  int status;

  if (command->kind == BURDOCK_MAP_LOAD) {
    status = burdock_replica_map_decode (command->map, map);
  } else {
    if (!agent->knows_map || agent->current_map_version != command->base_version)
      return false;
    status = burdock_replica_map_copy (map, &agent->current_map);
    if (status == 0)
      status = burdock_replica_map_apply_changes (map, command->map);
  }
  if (status == 0 && burdock_replica_map_hash (map) == command->map_hash)
    return true;
  burdock_map_agent_log (agent, "load map",
                         "version %" PRIu64 ": the map in the command is malformed or "
                         "changes another map",
                         command->version);
  agent->knows_map = false; /* the coordinator sends the complete map then */
  burdock_replica_map_clear (map);
  return false;
}

static void
load_map (BurdockMapAgent *agent, const BurdockMapCommandMessage *command)
{
  BurdockMapOrder order = { .kind = BURDOCK_ORDER_LOAD,
                            .epoch = command->epoch,
                            .version = command->version };
  BurdockReplicaMap map = { 0 };

  if (agent->report.loaded_version == command->version ||
      agent->refused_version == command->version || !decode_map (agent, command, &map))
    return;
  burdock_replica_map_clear (&agent->order_map);
  agent->order_map = map;
  agent->order_map_version = command->version;
  agent->order_map_epoch = command->epoch;
  agent->has_order_map = true;
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
  burdock_map_agent_update_state (agent, agent->report_us);
  if (agent->order_id == 0) {
    if (command->kind == BURDOCK_MAP_LOAD || command->kind == BURDOCK_MAP_LOAD_CHANGES)
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
  burdock_map_agent_update_state (agent, now_us);
  agent->next_state_us = 0;
  agent->handler.refresh (agent->handler.ctx, false);
}
