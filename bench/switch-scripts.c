#include "switch-scripts.h"

#include <stdlib.h>
#include <string.h>

#define DELIVERIES_MAX 200

/* Proposers of a group of 2 ranks: the agents, then the coordinators. */
#define C1 2
#define C2 3

/* Step that the first proposal holds, one after the first step. */
#define HOLD_STEP 11

#define DELIVER_UNTIL(p, phase)                                                          \
  {                                                                                      \
    SCRIPT_DELIVER_UNTIL, p, 0, BURDOCK_SWITCH_##phase                                   \
  }
#define DELIVER(type, p, r)                                                              \
  {                                                                                      \
    SCRIPT_DELIVER, p, r, BURDOCK_MSG_SWITCH_##type                                      \
  }
#define DELIVER_COPY(type, p, r)                                                         \
  {                                                                                      \
    SCRIPT_DELIVER_COPY, p, r, BURDOCK_MSG_SWITCH_##type                                 \
  }
#define ON_RANK(op, r)                                                                   \
  {                                                                                      \
    SCRIPT_##op, 0, r, 0                                                                 \
  }
#define RUN_STEPS                                                                        \
  {                                                                                      \
    SCRIPT_RUN_STEPS, 0, 0, HOLD_STEP                                                    \
  }

const SwitchScript switch_scripts[] = {
  { "plain switch", SCRIPT_NO_RULE, { DELIVER_UNTIL (C1, IDLE), RUN_STEPS } },
  { "coordinator dies with all promises",
    SCRIPT_NO_RULE,
    { DELIVER_UNTIL (C1, OUTCOME), RUN_STEPS, ON_RANK (RECOVER, 0),
      ON_RANK (RECOVER, 1) } },
  { "coordinator dies after the first rank has switched",
    BURDOCK_RULE_COMMIT_WINS,
    { DELIVER_UNTIL (C1, OUTCOME), DELIVER (OUTCOME, C1, 0), RUN_STEPS, ON_RANK (POLL, 0),
      RUN_STEPS, ON_RANK (RECOVER, 1), DELIVER_UNTIL (1, IDLE), RUN_STEPS } },
  { "outcome of the coordinator arrives after a recovery has aborted",
    BURDOCK_RULE_BALLOT,
    { DELIVER_UNTIL (C1, OUTCOME), RUN_STEPS, ON_RANK (RECOVER, 1),
      DELIVER_UNTIL (1, OUTCOME), DELIVER (OUTCOME, 1, 1), RUN_STEPS,
      DELIVER (OUTCOME, C1, 0), ON_RANK (POLL, 0), RUN_STEPS } },
  { "one promise is missing when the coordinator commits",
    BURDOCK_RULE_ALL_PROMISES,
    { DELIVER_UNTIL (C1, PROPOSE), DELIVER (PROPOSE, C1, 0), DELIVER (PROMISE, C1, 0),
      DELIVER (OUTCOME, C1, 0), RUN_STEPS, ON_RANK (POLL, 0), RUN_STEPS } },
  { "old outcome of a recovery reaches a new incarnation of an agent",
    BURDOCK_RULE_INCARNATION,
    { ON_RANK (ENGINE_RESTART, 0), DELIVER_COPY (QUERY, C1, 1),
      DELIVER_UNTIL (C1, CONFIRM), DELIVER_UNTIL (C1, OUTCOME), DELIVER (OUTCOME, C1, 0),
      ON_RANK (START_COORDINATOR, 0), DELIVER_UNTIL (C2, OUTCOME),
      DELIVER (OUTCOME, C2, 0), RUN_STEPS, ON_RANK (POLL, 0), RUN_STEPS,
      ON_RANK (AGENT_RESTART, 1), DELIVER (QUERY, C1, 1), DELIVER (OUTCOME, C1, 1),
      RUN_STEPS } },
  { "release of a dead agent arrives after a recovery has aborted",
    BURDOCK_RULE_REHOLD,
    { DELIVER_UNTIL (C1, OUTCOME), RUN_STEPS, ON_RANK (MANUAL_CALLS, 0),
      DELIVER (OUTCOME, C1, 0), ON_RANK (EXECUTE_CALL, 0), ON_RANK (AGENT_RESTART, 0),
      ON_RANK (AUTO_CALLS, 0), ON_RANK (RECOVER, 1), DELIVER_UNTIL (1, OUTCOME),
      DELIVER (OUTCOME, 1, 1), RUN_STEPS, ON_RANK (EXECUTE_LATE_CALL, 0), RUN_STEPS } },
  { "the same, at an engine that accepts any release of the epoch",
    SCRIPT_RULE_HOLD_NUMBERS,
    { DELIVER_UNTIL (C1, OUTCOME), RUN_STEPS, ON_RANK (MANUAL_CALLS, 0),
      DELIVER (OUTCOME, C1, 0), ON_RANK (EXECUTE_CALL, 0), ON_RANK (AGENT_RESTART, 0),
      ON_RANK (AUTO_CALLS, 0), ON_RANK (RECOVER, 1), DELIVER_UNTIL (1, OUTCOME),
      DELIVER (OUTCOME, 1, 1), RUN_STEPS, ON_RANK (EXECUTE_LATE_CALL, 0), RUN_STEPS } },
  { "rank recovers without the answer of a rank that has switched",
    BURDOCK_RULE_ALL_ANSWERS,
    { DELIVER_UNTIL (C1, OUTCOME), DELIVER (OUTCOME, C1, 0), RUN_STEPS, ON_RANK (POLL, 0),
      RUN_STEPS, ON_RANK (RECOVER, 1), DELIVER (QUERY, 1, 1), DELIVER (STATE, 1, 1),
      DELIVER (PROPOSE, 1, 1), DELIVER (PROMISE, 1, 1), DELIVER (OUTCOME, 1, 1),
      RUN_STEPS } },
  { "an answer is from an incarnation that has ended since",
    BURDOCK_RULE_CONFIRM,
    { ON_RANK (START_COORDINATOR, 0), DELIVER (QUERY, C2, 0), DELIVER (STATE, C2, 0),
      ON_RANK (AGENT_RESTART, 0), DELIVER_UNTIL (C1, OUTCOME), DELIVER (OUTCOME, C1, 0),
      RUN_STEPS, ON_RANK (POLL, 0), RUN_STEPS, DELIVER (QUERY, C2, 1),
      DELIVER (STATE, C2, 1), DELIVER (OUTCOME, C2, 1), RUN_STEPS } },
  { "hold reaches the engine after its step",
    BURDOCK_RULE_HOLD_FIRST,
    { DELIVER_UNTIL (C1, PROPOSE), ON_RANK (MANUAL_CALLS, 1), DELIVER (PROPOSE, C1, 0),
      DELIVER (PROPOSE, C1, 1), RUN_STEPS, DELIVER (PROMISE, C1, 0),
      DELIVER (PROMISE, C1, 1), DELIVER (OUTCOME, C1, 0), ON_RANK (POLL, 0),
      RUN_STEPS } },
  { "commit is in force at one engine before the step",
    BURDOCK_RULE_COMMIT_WHILE_WAITING,
    { DELIVER_UNTIL (C1, OUTCOME), DELIVER (OUTCOME, C1, 0), ON_RANK (ENGINE_RESTART, 1),
      ON_RANK (RECOVER, 1), DELIVER_UNTIL (1, IDLE), RUN_STEPS } },
  { "agent restarts between accepting a commit and the release",
    SCRIPT_NO_RULE,
    { DELIVER_UNTIL (C1, OUTCOME), DELIVER (OUTCOME, C1, 0), ON_RANK (AGENT_RESTART, 0),
      RUN_STEPS, DELIVER (OUTCOME, C1, 1), ON_RANK (POLL, 1), RUN_STEPS,
      ON_RANK (RECOVER, 0) } },
  { "both agents recover at once",
    SCRIPT_NO_RULE,
    { DELIVER_UNTIL (C1, OUTCOME), RUN_STEPS, ON_RANK (RECOVER, 0), ON_RANK (RECOVER, 1),
      DELIVER (QUERY, 0, 1), DELIVER (QUERY, 1, 0), DELIVER_UNTIL (0, CONFIRM),
      DELIVER_UNTIL (1, IDLE), RUN_STEPS } },
  { "whole group is replaced during a switch",
    SCRIPT_NO_RULE,
    { DELIVER_UNTIL (C1, PROPOSE), DELIVER (PROPOSE, C1, 0), ON_RANK (AGENT_RESTART, 0),
      ON_RANK (ENGINE_RESTART, 0), ON_RANK (AGENT_RESTART, 1),
      ON_RANK (ENGINE_RESTART, 1), ON_RANK (RECOVER, 1) } },
  { "new coordinator does not know the switch of the old one",
    SCRIPT_NO_RULE,
    { DELIVER_UNTIL (C1, PROPOSE), DELIVER (PROPOSE, C1, 0),
      ON_RANK (START_COORDINATOR, 0), DELIVER_UNTIL (C2, IDLE), DELIVER (PROPOSE, C1, 1),
      RUN_STEPS } },
  { "engine restarts between promise and commit",
    SCRIPT_NO_RULE,
    { DELIVER_UNTIL (C1, OUTCOME), ON_RANK (ENGINE_RESTART, 1), DELIVER (OUTCOME, C1, 0),
      DELIVER (OUTCOME, C1, 1), RUN_STEPS, ON_RANK (RECOVER, 1), DELIVER_UNTIL (1, IDLE),
      RUN_STEPS } },
};

const uint32_t switch_script_count = sizeof switch_scripts / sizeof switch_scripts[0];

typedef struct {
  Model model;
  bool manual_calls[MODEL_RANKS_MAX];
} ScriptRun;

static bool
apply_action (Model *model, ModelActionKind kind, uint32_t index)
{
  ModelAction actions[MODEL_ACTIONS_MAX];
  uint32_t count = model_list_actions (model, actions);

  for (uint32_t i = 0; i < count; i++) {
    if (actions[i].kind != kind || actions[i].index != index)
      continue;
    model_apply (model, actions[i]);
    return true;
  }
  return false;
}

static void
run_calls (ScriptRun *run)
{
  for (uint32_t r = 0; r < run->model.ranks; r++)
    while (!run->manual_calls[r] &&
           (apply_action (&run->model, ACTION_EXECUTE_CALL, r) ||
            apply_action (&run->model, ACTION_EXECUTE_BACKGROUND_CALL, r)))
      ;
}

static bool
matches_step (const ModelMessage *message, const ScriptStep *step, bool any_type)
{
  uint32_t proposer =
      message->to_rank ? message->body.reply_to.ipv4 - 1 : message->receiver;
  uint32_t rank = message->to_rank ? message->receiver : message->body.rank;

  if (!message->used || proposer != step->proposer)
    return false;
  /* Messages that stay in flight after a first delivery are delivered again only by an
   * explicit SCRIPT_DELIVER. */
  if (any_type)
    return !message->duplicated;
  return message->type == step->argument && rank == step->rank;
}

static bool
deliver_one (ScriptRun *run, const ScriptStep *step, bool any_type, bool keep)
{
  for (uint32_t i = 0; i < MODEL_MESSAGES_MAX; i++) {
    if (!matches_step (&run->model.messages[i], step, any_type))
      continue;
    if (keep)
      run->model.budget.duplicates = 1;
    apply_action (&run->model, keep ? ACTION_DELIVER_COPY : ACTION_DELIVER, i);
    run_calls (run);
    return true;
  }
  return false;
}

static BurdockSwitchPhase
proposer_phase (const Model *model, uint32_t proposer)
{
  return proposer < model->ranks ? model->agents[proposer].recovery.phase
                                 : model->coordinators[proposer - model->ranks].phase;
}

/* Runs steps of all ranks until they wait or the group is past step @last. */
static void
run_steps (Model *model, uint64_t last)
{
  bool progressed = true;

  while (progressed && !model->violated) {
    progressed = false;
    for (uint32_t r = 0; r < model->ranks && model->step <= last; r++)
      progressed |= apply_action (model, ACTION_ENTER_STEP, r);
  }
}

static void
run_script_step (ScriptRun *run, const ScriptStep *step)
{
  Model *model = &run->model;
  ModelBudget one_of_each = { 1, 1, 1, 1, 1, 1, 1, 1 };

  model->budget = one_of_each;
  switch ((ScriptOp)step->op) {
  case SCRIPT_DELIVER_UNTIL:
    for (uint32_t i = 0;
         i < DELIVERIES_MAX && proposer_phase (model, step->proposer) != step->argument;
         i++)
      if (!deliver_one (run, step, true, false))
        return;
    return;
  case SCRIPT_DELIVER:
  case SCRIPT_DELIVER_COPY:
    deliver_one (run, step, false, step->op == SCRIPT_DELIVER_COPY);
    return;
  case SCRIPT_AGENT_RESTART:
    apply_action (model, ACTION_AGENT_RESTART, step->rank);
    return;
  case SCRIPT_ENGINE_RESTART:
    apply_action (model, ACTION_ENGINE_RESTART, step->rank);
    return;
  case SCRIPT_RUN_STEPS:
    run_steps (model, step->argument);
    return;
  case SCRIPT_POLL:
    apply_action (model, ACTION_POLL, step->rank);
    return;
  case SCRIPT_RECOVER:
    apply_action (model, ACTION_RECOVER, step->rank);
    return;
  case SCRIPT_START_COORDINATOR:
    apply_action (model, ACTION_START_COORDINATOR, 0);
    return;
  case SCRIPT_EXECUTE_CALL:
    apply_action (model, ACTION_EXECUTE_CALL, step->rank);
    return;
  case SCRIPT_EXECUTE_LATE_CALL:
    apply_action (model, ACTION_EXECUTE_LATE_CALL, 0);
    return;
  case SCRIPT_MANUAL_CALLS:
  case SCRIPT_AUTO_CALLS:
    run->manual_calls[step->rank] = step->op == SCRIPT_MANUAL_CALLS;
    return;
  case SCRIPT_END:
    return;
  }
}

void
script_run (const SwitchScript *script, bool disable_rule, bool *violated, bool *finished)
{
  ScriptRun *run = calloc (1, sizeof *run);
  ModelBudget none = { 0 };

  if (disable_rule && script->rule == SCRIPT_RULE_HOLD_NUMBERS)
    run->model.ignore_hold_numbers = true;
  else if (disable_rule && script->rule != SCRIPT_NO_RULE)
    run->model.disabled_rules = 1u << script->rule;
  model_init (&run->model, 2, &none);
  for (uint32_t i = 0; i < SCRIPT_STEPS_MAX && script->steps[i].op != SCRIPT_END; i++) {
    run_script_step (run, &script->steps[i]);
    run_calls (run);
  }
  *finished = model_run_to_completion (&run->model);
  *violated = run->model.violated;
  free (run);
}
