#include "switch-model.h"

static uint64_t
mix (uint64_t hash, uint64_t value)
{
  hash ^= value + UINT64_C (0x9e3779b97f4a7c15) + (hash << 6) + (hash >> 2);
  hash *= UINT64_C (0xbf58476d1ce4e5b9);
  return hash ^ (hash >> 31);
}

static uint64_t
mix_ballot (uint64_t hash, BurdockBallot ballot)
{
  return mix (mix (hash, ballot.round), ballot.proposer);
}

static uint64_t
mix_request (uint64_t hash, const BurdockSwitchRequest *request)
{
  hash = mix (mix (hash, request->type), request->outcome);
  hash = mix (mix (hash, request->sender), request->epoch);
  hash = mix (mix (hash, request->step), request->fence);
  return mix_ballot (mix (hash, request->reply_to.ipv4), request->ballot);
}

static uint64_t
mix_call (uint64_t hash, const BurdockEngineCall *call)
{
  hash = mix (mix (hash, call->op), call->epoch);
  hash = mix (mix (hash, call->step), call->hold_number);
  return mix (mix (hash, call->commit), call->map.length_bytes);
}

static uint64_t
mix_proposer (uint64_t hash, const BurdockSwitchCoordinator *coordinator)
{
  hash = mix (mix (hash, coordinator->phase), coordinator->outcome);
  hash = mix (mix (hash, coordinator->highest_round), coordinator->highest_epoch);
  hash = mix_ballot (mix (mix (hash, coordinator->epoch), coordinator->step),
                     coordinator->ballot);
  for (uint32_t r = 0; r < coordinator->ranks; r++) {
    const BurdockSwitchPeer *peer = &coordinator->peers[r];

    hash = mix (mix (hash, peer->incarnation), peer->map_epoch);
    hash = mix (mix (hash, peer->held), peer->step);
    hash = mix (mix (hash, peer->joining), peer->answered);
  }
  return mix (hash, coordinator->settle_rank);
}

static uint64_t
mix_rank (uint64_t hash, const BurdockSwitchRank *rank)
{
  const BurdockEngineState *state = &rank->state;

  hash = mix_ballot (mix (hash, rank->incarnation), rank->ballot);
  hash = mix (mix (hash, rank->fence), rank->highest_epoch);
  hash = mix (mix (hash, rank->hold_number), rank->answered_instance);
  hash = mix (mix (hash, rank->loaded_epoch), rank->loaded_instance);
  hash = mix (mix (hash, rank->loading_epoch), rank->loading_instance);
  hash = mix (mix (hash, rank->promised_epoch), rank->promised_hold_number);
  hash = mix (mix (hash, rank->accepted_epoch), rank->job);
  if (rank->job != BURDOCK_JOB_NONE)
    hash = mix_request (hash, &rank->request);
  if (rank->accepted_epoch != 0)
    hash = mix_request (hash, &rank->accepted_request);
  if (rank->loading_epoch != 0)
    hash = mix_request (hash, &rank->loading_request);
  hash = mix (mix (hash, state->map_epoch), state->held_number);
  hash = mix (mix (hash, state->held_step), state->engine_instance);
  return mix (mix (hash, state->waiting), state->joining * 2 + rank->state_known);
}

static uint64_t
mix_engine (uint64_t hash, const ModelEngine *engine)
{
  hash = mix (mix (hash, engine->instance), engine->joining);
  hash = mix (mix (hash, engine->map_epoch), engine->map);
  hash = mix (mix (hash, engine->held_epoch), engine->held_step);
  hash = mix (mix (hash, engine->held_number), engine->highest_number);
  hash = mix (mix (hash, engine->loaded_epoch), engine->loaded_map + engine->loaded);
  hash = mix (mix (hash, engine->next_step), engine->next_map);
  return mix (mix (hash, engine->entered), engine->entered ? engine->entered_map : 0);
}

static uint64_t
message_hash (const ModelMessage *message)
{
  const BurdockSwitchMessage *body = &message->body;
  uint64_t hash = mix (mix (message->to_rank, message->receiver), message->type);

  hash = mix (mix (hash, message->sender), message->target);
  hash = mix (mix (hash, message->duplicated), body->rank);
  hash = mix (mix (hash, body->epoch), body->step);
  hash = mix_ballot (mix (hash, body->fence), body->ballot);
  hash = mix (mix (hash, (uint32_t)body->status), body->outcome);
  hash = mix (mix (hash, body->map_epoch), body->held_epoch);
  hash = mix (mix (hash, body->engine_instance),
              body->held * 4 + body->waiting * 2 + body->joining);
  return mix (hash, body->map.length_bytes);
}

uint64_t
model_hash (const Model *model)
{
  const ModelBudget *budget = &model->budget;
  uint64_t hash = mix (model->step, model->coordinators_started);
  uint64_t sum = 0;

  for (uint32_t i = 0; i < sizeof *budget; i++)
    hash = mix (hash, ((const uint8_t *)budget)[i]);
  for (uint32_t r = 0; r < model->ranks; r++) {
    const ModelAgent *agent = &model->agents[r];

    hash = mix_engine (hash, &model->engines[r]);
    hash = mix_proposer (mix_rank (hash, &agent->rank), &agent->recovery);
    hash = mix (hash, agent->last_read_map);
    hash = agent->job.pending ? mix_call (hash, &agent->job.call) : mix (hash, 0);
    hash = agent->background.pending ? mix_call (hash, &agent->background.call)
                                     : mix (hash, 0);
  }
  for (uint32_t c = 0; c < model->coordinators_started; c++)
    hash = mix_proposer (hash, &model->coordinators[c]);
  for (uint32_t p = 0; p < model->ranks + model->coordinators_started; p++)
    for (uint32_t r = 0; r < model->ranks; r++)
      hash = mix (hash, model->peer_maps[p][r]);
  /* The order of messages and late calls is irrelevant, so their hashes are added up. */
  for (uint32_t i = 0; i < MODEL_MESSAGES_MAX; i++)
    if (model->messages[i].used)
      sum += message_hash (&model->messages[i]);
  for (uint32_t i = 0; i < MODEL_LATE_CALLS_MAX; i++)
    if (model->late_calls[i].used)
      sum += mix_call (mix (model->late_calls[i].rank, 7), &model->late_calls[i].call);
  return mix (hash, sum);
}
