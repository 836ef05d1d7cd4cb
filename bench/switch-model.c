#include "switch-model.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#define FIRST_STEP 10
#define LAST_STEP 13
#define INITIAL_MAP 1
#define COMPLETION_ROUNDS_MAX 400

/* Model that the callbacks of the state machines act on, set before each call of them.
 * Their context is only the number of the rank or proposer, so that models can be copied.
 */
static __thread Model *active_model;

static uint64_t
agent_incarnation (uint32_t rank, uint32_t start_count)
{
  return ((uint64_t)(100 + start_count) << 32) | (rank + 1);
}

static void
enqueue_message (const ModelMessage *message)
{
  for (uint32_t i = 0; i < MODEL_MESSAGES_MAX; i++) {
    if (active_model->messages[i].used)
      continue;
    active_model->messages[i] = *message;
    active_model->messages[i].used = true;
    return;
  }
  active_model->dropped_messages++;
}

static void
rank_send (void *ctx, BurdockAddress to, uint32_t type, uint64_t target,
           const BurdockSwitchMessage *body)
{
  uint32_t rank = (uint32_t)(uintptr_t)ctx;
  ModelMessage message = { .receiver = (uint8_t)(to.ipv4 - 1),
                           .type = type,
                           .sender = active_model->agents[rank].rank.incarnation,
                           .target = target,
                           .body = *body };

  message.body.map.length_bytes =
      type == BURDOCK_MSG_SWITCH_STATE ? active_model->agents[rank].last_read_map : 0;
  enqueue_message (&message);
}

static void
rank_engine (void *ctx, const BurdockEngineCall *call)
{
  ModelAgent *agent = &active_model->agents[(uintptr_t)ctx];
  ModelCall *slot = call->target_id != 0 ? &agent->background : &agent->job;

  *slot = (ModelCall){ .pending = true, .call = *call };
}

static BurdockSwitchCoordinator *
proposer (Model *model, uint32_t index)
{
  if (index < model->ranks)
    return &model->agents[index].recovery;
  return &model->coordinators[index - model->ranks];
}

static uint32_t
settle_map (Model *model, uint32_t index)
{
  return model->peer_maps[index][proposer (model, index)->settle_rank];
}

static void
proposer_send (void *ctx, uint32_t rank, uint32_t type, uint64_t target,
               const BurdockSwitchMessage *body)
{
  uint32_t index = (uint32_t)(uintptr_t)ctx;
  ModelMessage message = { .to_rank = true,
                           .receiver = (uint8_t)rank,
                           .type = type,
                           .sender = proposer (active_model, index)->incarnation,
                           .target = target,
                           .body = *body };

  message.body.reply_to.ipv4 = index + 1;
  if (type == BURDOCK_MSG_SWITCH_PREPARE)
    message.body.map.length_bytes = 10 + index;
  if (type == BURDOCK_MSG_SWITCH_OUTCOME && body->outcome == BURDOCK_OUTCOME_SETTLE)
    message.body.map.length_bytes = settle_map (active_model, index);
  enqueue_message (&message);
}

static void
init_agent (Model *model, uint32_t r, uint32_t start_count)
{
  ModelAgent *agent = &model->agents[r];
  BurdockSwitchRankCallbacks rank_callbacks = { .ctx = (void *)(uintptr_t)r,
                                                .send = rank_send,
                                                .engine = rank_engine };
  BurdockSwitchCoordinatorCallbacks callbacks = { .ctx = (void *)(uintptr_t)r,
                                                  .send = proposer_send };

  memset (agent, 0, sizeof *agent);
  agent->start_count = start_count;
  burdock_switch_rank_init (&agent->rank, r, agent_incarnation (r, start_count),
                            &rank_callbacks);
  burdock_switch_coordinator_init (&agent->recovery, model->ranks,
                                   agent_incarnation (r, start_count), &callbacks);
  agent->rank.disabled_rules = agent->recovery.disabled_rules = model->disabled_rules;
}

static void
start_coordinator (Model *model, uint32_t c)
{
  BurdockSwitchCoordinatorCallbacks callbacks = {
    .ctx = (void *)(uintptr_t)(model->ranks + c), .send = proposer_send
  };
  BurdockSwitchCoordinator *coordinator = &model->coordinators[c];

  burdock_switch_coordinator_init (coordinator, model->ranks,
                                   ((uint64_t)(90 + c) << 32) | 1, &callbacks);
  coordinator->disabled_rules = model->disabled_rules;
  model->coordinators_started++;
  burdock_switch_coordinator_start (coordinator, c + 1, 0);
}

void
model_init (Model *model, uint32_t ranks, const ModelBudget *budget)
{
  uint32_t disabled_rules = model->disabled_rules;
  bool ignore_hold_numbers = model->ignore_hold_numbers;

  memset (model, 0, sizeof *model);
  model->disabled_rules = disabled_rules;
  model->ignore_hold_numbers = ignore_hold_numbers;
  model->ranks = ranks;
  model->step = FIRST_STEP;
  model->last_step = LAST_STEP;
  model->budget = *budget;
  active_model = model;
  for (uint32_t r = 0; r < ranks; r++) {
    init_agent (model, r, 1);
    model->engines[r] = (ModelEngine){ .instance = 1, .map = INITIAL_MAP };
  }
  start_coordinator (model, 0);
}

/* Engine */

static bool
engine_is_waiting (const Model *model, const ModelEngine *engine)
{
  return engine->held_number != 0 && engine->held_step <= model->step;
}

static int
engine_hold (const Model *model, ModelEngine *engine, const BurdockEngineCall *call)
{
  bool step_passed =
      call->step < model->step || (call->step == model->step && engine->entered);

  if (step_passed ||
      (call->hold_number <= engine->highest_number && !model->ignore_hold_numbers))
    return -ESTALE;
  engine->highest_number = call->hold_number;
  engine->held_number = call->hold_number;
  engine->held_epoch = call->epoch;
  engine->held_step = call->step;
  return 0;
}

static int
engine_release (const Model *model, ModelEngine *engine, const BurdockEngineCall *call)
{
  bool held = engine->held_number != 0 &&
              (model->ignore_hold_numbers ? engine->held_epoch == call->epoch
                                          : engine->held_number == call->hold_number);

  if (!held)
    return -ESTALE;
  if (call->commit && (engine->joining || engine->map_epoch != call->epoch)) {
    if (!engine->loaded || engine->loaded_epoch != call->epoch)
      return -ENOENT;
    if (engine->joining || engine->held_step <= model->step) {
      engine->map = engine->loaded_map;
    } else {
      engine->next_step = engine->held_step;
      engine->next_map = engine->loaded_map;
    }
    engine->map_epoch = call->epoch;
    engine->joining = false;
  }
  engine->held_number = engine->held_epoch = engine->held_step = 0;
  return 0;
}

static int
execute_engine_call (Model *model, uint32_t r, const BurdockEngineCall *call)
{
  ModelEngine *engine = &model->engines[r];

  switch (call->op) {
  case BURDOCK_ENGINE_MAP_LOAD:
    engine->loaded = true;
    engine->loaded_epoch = call->epoch;
    engine->loaded_map = call->map.length_bytes;
    return 0;
  case BURDOCK_ENGINE_MAP_HOLD:
    return engine_hold (model, engine, call);
  case BURDOCK_ENGINE_MAP_RELEASE:
    return engine_release (model, engine, call);
  default:
    return 0;
  }
}

static BurdockEngineState
engine_state (Model *model, uint32_t r)
{
  const ModelEngine *engine = &model->engines[r];

  model->agents[r].last_read_map = engine->map;
  return (BurdockEngineState){ .engine_instance = engine->instance,
                               .map_epoch = engine->map_epoch,
                               .held_epoch = engine->held_epoch,
                               .held_step = engine->held_step,
                               .held_number = engine->held_number,
                               .step = model->step,
                               .waiting = engine_is_waiting (model, engine),
                               .joining = engine->joining };
}

/* A rank enters a step with the map that it uses. The step ends when all ranks have
 * entered it. */
static void
engine_step (Model *model, uint32_t r)
{
  ModelEngine *engine = &model->engines[r];
  uint32_t entered = 0;

  if (engine->next_step != 0 && engine->next_step <= model->step) {
    engine->map = engine->next_map;
    engine->next_step = 0;
  }
  engine->entered = true;
  engine->entered_map = engine->map;
  for (uint32_t o = 0; o < model->ranks; o++) {
    const ModelEngine *other = &model->engines[o];

    entered += other->entered;
    if (other->entered && other->entered_map != engine->entered_map) {
      model->violated = true;
      snprintf (model->violation, sizeof model->violation,
                "step %u: rank %u uses map %u, rank %u map %u", (unsigned)model->step, r,
                engine->entered_map, o, other->entered_map);
    }
  }
  if (entered < model->ranks)
    return;
  model->step++;
  for (uint32_t o = 0; o < model->ranks; o++)
    model->engines[o].entered = false;
}

/* Actions */

static void
add_action (ModelAction *actions, uint32_t *count, ModelActionKind kind, uint32_t index)
{
  if (*count < MODEL_ACTIONS_MAX)
    actions[(*count)++] = (ModelAction){ .kind = (uint8_t)kind, .index = (uint8_t)index };
}

static void
list_rank_actions (const Model *model, uint32_t r, ModelAction *actions, uint32_t *count)
{
  const ModelAgent *agent = &model->agents[r];
  const ModelEngine *engine = &model->engines[r];
  const ModelBudget *budget = &model->budget;
  bool blocked = engine_is_waiting (model, engine) || engine->joining;

  if (agent->job.pending)
    add_action (actions, count, ACTION_EXECUTE_CALL, r);
  if (agent->background.pending)
    add_action (actions, count, ACTION_EXECUTE_BACKGROUND_CALL, r);
  if (agent->job.pending && agent->job.call.op != BURDOCK_ENGINE_STATE &&
      budget->timeouts) {
    add_action (actions, count, ACTION_LOSE_CALL_RESULT, r);
    add_action (actions, count, ACTION_DELAY_CALL, r);
  }
  if (budget->agent_restarts)
    add_action (actions, count, ACTION_AGENT_RESTART, r);
  if (budget->engine_restarts)
    add_action (actions, count, ACTION_ENGINE_RESTART, r);
  if (!engine->joining && !engine->entered && !engine_is_waiting (model, engine) &&
      model->step < model->last_step)
    add_action (actions, count, ACTION_ENTER_STEP, r);
  /* A poll changes nothing before the engine reaches the held step. */
  if (burdock_switch_rank_commit_pending (&agent->rank) && !agent->job.pending &&
      (engine_is_waiting (model, engine) ||
       engine->held_epoch != agent->rank.accepted_epoch))
    add_action (actions, count, ACTION_POLL, r);
  if (blocked && budget->recoveries && !agent->job.pending &&
      agent->recovery.phase == BURDOCK_SWITCH_IDLE)
    add_action (actions, count, ACTION_RECOVER, r);
}

uint32_t
model_list_actions (const Model *model, ModelAction *actions)
{
  uint32_t count = 0;
  uint32_t proposers = model->ranks + model->coordinators_started;

  for (uint32_t i = 0; i < MODEL_MESSAGES_MAX; i++) {
    if (!model->messages[i].used)
      continue;
    add_action (actions, &count, ACTION_DELIVER, i);
    if (model->budget.duplicates && !model->messages[i].duplicated)
      add_action (actions, &count, ACTION_DELIVER_COPY, i);
  }
  for (uint32_t i = 0; i < MODEL_LATE_CALLS_MAX; i++)
    if (model->late_calls[i].used)
      add_action (actions, &count, ACTION_EXECUTE_LATE_CALL, i);
  for (uint32_t r = 0; r < model->ranks; r++)
    list_rank_actions (model, r, actions, &count);
  for (uint32_t p = 0; p < proposers; p++) {
    const BurdockSwitchCoordinator *coordinator = proposer ((Model *)(uintptr_t)model, p);

    if (coordinator->phase == BURDOCK_SWITCH_IDLE ||
        coordinator->phase == BURDOCK_SWITCH_READY)
      continue;
    if (model->budget.resends)
      add_action (actions, &count, ACTION_RESEND, p);
    if (model->budget.expiries)
      add_action (actions, &count, ACTION_EXPIRE, p);
  }
  if (model->budget.coordinators && model->coordinators_started < MODEL_COORDINATORS)
    add_action (actions, &count, ACTION_START_COORDINATOR, 0);
  return count;
}

static void
deliver_to_proposer (Model *model, const ModelMessage *message)
{
  BurdockSwitchCoordinator *coordinator = proposer (model, message->receiver);
  bool query = coordinator->phase == BURDOCK_SWITCH_QUERY;

  if (message->target != coordinator->incarnation &&
      !burdock_rule_disabled (model->disabled_rules, BURDOCK_RULE_INCARNATION))
    return;
  /* A recovery settles on the map that a rank reported with its state. */
  if (query && message->type == BURDOCK_MSG_SWITCH_STATE && message->body.status == 0 &&
      burdock_ballot_compare (message->body.ballot, coordinator->ballot) == 0)
    model->peer_maps[message->receiver][message->body.rank] =
        message->body.map.length_bytes;
  burdock_switch_coordinator_handle_reply (coordinator, message->type, message->sender,
                                           &message->body, 1, 0);
  if (query && coordinator->phase == BURDOCK_SWITCH_READY) {
    if (message->receiver < model->ranks)
      coordinator->phase = BURDOCK_SWITCH_IDLE;
    else
      burdock_switch_coordinator_prepare (coordinator, 0);
  }
}

static void
deliver (Model *model, uint32_t index, bool keep)
{
  ModelMessage message = model->messages[index];

  if (keep) {
    model->messages[index].duplicated = true;
    model->budget.duplicates--;
  } else {
    model->messages[index].used = false;
  }
  if (message.to_rank)
    burdock_switch_rank_handle_message (&model->agents[message.receiver].rank,
                                        message.type, message.sender, message.target,
                                        &message.body);
  else
    deliver_to_proposer (model, &message);
}

static void
execute_call (Model *model, uint32_t r, ModelCall *slot, bool background,
              bool lose_result)
{
  BurdockEngineCall call = slot->call;
  int status = execute_engine_call (model, r, &call);
  BurdockEngineState state = { 0 };

  slot->pending = false;
  if (call.op == BURDOCK_ENGINE_STATE)
    state = engine_state (model, r);
  burdock_switch_rank_engine_done (&model->agents[r].rank, background,
                                   lose_result ? -ETIMEDOUT : status,
                                   call.op == BURDOCK_ENGINE_STATE ? &state : NULL);
}

static void
delay_call (Model *model, uint32_t r, ModelCall *slot)
{
  if (!slot->pending || slot->call.op == BURDOCK_ENGINE_STATE) {
    slot->pending = false;
    return;
  }
  slot->pending = false;
  for (uint32_t i = 0; i < MODEL_LATE_CALLS_MAX; i++) {
    if (model->late_calls[i].used)
      continue;
    model->late_calls[i] =
        (ModelLateCall){ .rank = (uint8_t)r, .used = true, .call = slot->call };
    return;
  }
}

static void
restart_agent (Model *model, uint32_t r)
{
  model->budget.agent_restarts--;
  delay_call (model, r, &model->agents[r].job);
  delay_call (model, r, &model->agents[r].background);
  init_agent (model, r, model->agents[r].start_count + 1);
}

static void
restart_engine (Model *model, uint32_t r)
{
  uint64_t instance = model->engines[r].instance;

  model->budget.engine_restarts--;
  model->engines[r] =
      (ModelEngine){ .instance = instance + 1, .joining = true, .map = INITIAL_MAP };
}

static void
poll_agent (Model *model, uint32_t r)
{
  BurdockEngineState state = engine_state (model, r);

  burdock_switch_rank_update_state (&model->agents[r].rank, &state);
}

static void
recover (Model *model, uint32_t r)
{
  ModelAgent *agent = &model->agents[r];

  poll_agent (model, r);
  if (agent->job.pending || !burdock_switch_rank_blocked (&agent->rank))
    return;
  if (agent->recovery.highest_round < agent->rank.ballot.round)
    agent->recovery.highest_round = agent->rank.ballot.round;
  burdock_switch_coordinator_start (&agent->recovery, 0, 0);
}

void
model_apply (Model *model, ModelAction action)
{
  uint32_t i = action.index;

  active_model = model;
  switch ((ModelActionKind)action.kind) {
  case ACTION_DELIVER:
  case ACTION_DELIVER_COPY:
    deliver (model, i, action.kind == ACTION_DELIVER_COPY);
    return;
  case ACTION_EXECUTE_CALL:
    execute_call (model, i, &model->agents[i].job, false, false);
    return;
  case ACTION_EXECUTE_BACKGROUND_CALL:
    execute_call (model, i, &model->agents[i].background, true, false);
    return;
  case ACTION_LOSE_CALL_RESULT:
    model->budget.timeouts--;
    execute_call (model, i, &model->agents[i].job, false, true);
    return;
  case ACTION_DELAY_CALL:
    model->budget.timeouts--;
    delay_call (model, i, &model->agents[i].job);
    burdock_switch_rank_engine_done (&model->agents[i].rank, 0, -ETIMEDOUT, NULL);
    return;
  case ACTION_EXECUTE_LATE_CALL:
    model->late_calls[i].used = false;
    execute_engine_call (model, model->late_calls[i].rank, &model->late_calls[i].call);
    return;
  case ACTION_AGENT_RESTART:
    restart_agent (model, i);
    return;
  case ACTION_ENGINE_RESTART:
    restart_engine (model, i);
    return;
  case ACTION_ENTER_STEP:
    engine_step (model, i);
    return;
  case ACTION_POLL:
    poll_agent (model, i);
    return;
  case ACTION_RECOVER:
    model->budget.recoveries--;
    recover (model, i);
    return;
  case ACTION_RESEND:
    model->budget.resends--;
    burdock_switch_coordinator_resend (proposer (model, i), 0);
    return;
  case ACTION_EXPIRE:
    model->budget.expiries--;
    burdock_switch_coordinator_expire (proposer (model, i), 0);
    return;
  case ACTION_START_COORDINATOR:
    model->budget.coordinators--;
    start_coordinator (model, model->coordinators_started);
    return;
  }
}

/* Completion without faults */

static bool
run_fault_free_action (Model *model)
{
  ModelAction actions[MODEL_ACTIONS_MAX];
  uint32_t count = model_list_actions (model, actions);

  for (uint32_t i = 0; i < count; i++) {
    ModelAction action = actions[i];

    if (action.kind != ACTION_DELIVER && action.kind != ACTION_EXECUTE_CALL &&
        action.kind != ACTION_EXECUTE_BACKGROUND_CALL &&
        action.kind != ACTION_EXECUTE_LATE_CALL && action.kind != ACTION_ENTER_STEP &&
        action.kind != ACTION_POLL)
      continue;
    model_apply (model, action);
    return true;
  }
  return false;
}

static bool
advance_proposers (Model *model, uint32_t *idle_rounds)
{
  bool any_active = false;

  for (uint32_t p = 0; p < model->ranks + model->coordinators_started; p++) {
    BurdockSwitchCoordinator *coordinator = proposer (model, p);

    if (coordinator->phase == BURDOCK_SWITCH_IDLE ||
        coordinator->phase == BURDOCK_SWITCH_READY)
      continue;
    any_active = true;
    active_model = model;
    if (++idle_rounds[p] % 4 == 0)
      burdock_switch_coordinator_expire (coordinator, 0);
    else
      burdock_switch_coordinator_resend (coordinator, 0);
  }
  return any_active;
}

bool
model_run_to_completion (Model *model)
{
  uint32_t idle_rounds[MODEL_RANKS_MAX + MODEL_COORDINATORS] = { 0 };
  uint32_t ranks = model->ranks > 0 ? model->ranks : 1;

  model->budget = (ModelBudget){ 0 };
  for (uint32_t round = 0; round < COMPLETION_ROUNDS_MAX && !model->violated; round++) {
    while (run_fault_free_action (model) && !model->violated)
      ;
    if (model->step >= model->last_step)
      return true;
    if (advance_proposers (model, idle_rounds))
      continue;
    active_model = model;
    for (uint32_t r = 0; r < model->ranks; r++)
      poll_agent (model, r);
    if (round % 2 == 0)
      recover (model, round / 2 % ranks);
  }
  return false;
}

void
model_run_until_propose (Model *model)
{
  while (model->coordinators[0].phase != BURDOCK_SWITCH_PROPOSE) {
    ModelAction actions[MODEL_ACTIONS_MAX];
    uint32_t count = model_list_actions (model, actions);
    uint32_t i = 0;

    while (i < count && actions[i].kind != ACTION_DELIVER &&
           actions[i].kind != ACTION_EXECUTE_CALL &&
           actions[i].kind != ACTION_EXECUTE_BACKGROUND_CALL)
      i++;
    if (i == count)
      return;
    model_apply (model, actions[i]);
  }
}

void
model_describe_action (const Model *model, ModelAction action, char *text, size_t bytes)
{
  static const char *const names[] = { "",
                                       "deliver",
                                       "deliver and keep",
                                       "engine call",
                                       "engine load",
                                       "engine call, result lost",
                                       "engine call late",
                                       "late call runs",
                                       "agent restarts",
                                       "engine restarts",
                                       "step",
                                       "poll",
                                       "recover",
                                       "resend",
                                       "expire",
                                       "coordinator starts" };
  const ModelMessage *message = &model->messages[action.index % MODEL_MESSAGES_MAX];

  if (action.kind <= ACTION_DELIVER_COPY)
    snprintf (text, bytes, "%s %s to %s %u, ballot %u, epoch %llu, outcome %u, status %d",
              names[action.kind], burdock_message_name (message->type),
              message->to_rank ? "rank" : "proposer", message->receiver,
              message->body.ballot.round, (unsigned long long)message->body.epoch,
              message->body.outcome, message->body.status);
  else
    snprintf (text, bytes, "%s %u (op %d)", names[action.kind], action.index,
              action.index < MODEL_RANKS_MAX
                  ? (int)model->agents[action.index].job.call.op
                  : -1);
}
