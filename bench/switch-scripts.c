#include "switch-scripts.h"

#include <stdlib.h>
#include <string.h>

#define DELIVERIES_MAX 200

/* Proposers of a group of 2 ranks: the agents, then the coordinators. */
#define C1 2
#define C2 3

/* Step that the first proposal holds at, one after the first step. */
#define HOLD_STEP 11

#define ROUND(p, phase)                                                                  \
  {                                                                                      \
    SCRIPT_ROUND, p, 0, BURDOCK_SWITCH_##phase                                           \
  }
#define DELIVER(type, p, r)                                                              \
  {                                                                                      \
    SCRIPT_DELIVER, p, r, BURDOCK_MSG_SWITCH_##type                                      \
  }
#define KEEP(type, p, r)                                                                 \
  {                                                                                      \
    SCRIPT_KEEP, p, r, BURDOCK_MSG_SWITCH_##type                                         \
  }
#define ON_RANK(op, r)                                                                   \
  {                                                                                      \
    SCRIPT_##op, 0, r, 0                                                                 \
  }
#define STEPS                                                                            \
  {                                                                                      \
    SCRIPT_STEP, 0, 0, HOLD_STEP                                                         \
  }

const SwitchScript switch_scripts[] = {
  { "plain switch", SCRIPT_NO_RULE, { ROUND (C1, IDLE), STEPS } },
  { "coordinator dies with all promises",
    SCRIPT_NO_RULE,
    { ROUND (C1, OUTCOME), STEPS, ON_RANK (RECOVER, 0), ON_RANK (RECOVER, 1) } },
  { "coordinator dies after the first rank has switched",
    BURDOCK_RULE_COMMIT_WINS,
    { ROUND (C1, OUTCOME), DELIVER (OUTCOME, C1, 0), STEPS, ON_RANK (POLL, 0), STEPS,
      ON_RANK (RECOVER, 1), ROUND (1, IDLE), STEPS } },
  { "outcome of the coordinator arrives after a recovery has aborted",
    BURDOCK_RULE_BALLOT,
    { ROUND (C1, OUTCOME), STEPS, ON_RANK (RECOVER, 1), ROUND (1, OUTCOME),
      DELIVER (OUTCOME, 1, 1), STEPS, DELIVER (OUTCOME, C1, 0), ON_RANK (POLL, 0),
      STEPS } },
  { "one promise is missing when the coordinator commits",
    BURDOCK_RULE_ALL_PROMISES,
    { ROUND (C1, PROPOSE), DELIVER (PROPOSE, C1, 0), DELIVER (PROMISE, C1, 0),
      DELIVER (OUTCOME, C1, 0), STEPS, ON_RANK (POLL, 0), STEPS } },
  { "old outcome of a recovery reaches a new agent life",
    BURDOCK_RULE_INCARNATION,
    { ON_RANK (ENGINE_RESTART, 0), KEEP (QUERY, C1, 1), ROUND (C1, CONFIRM),
      ROUND (C1, OUTCOME), DELIVER (OUTCOME, C1, 0), ON_RANK (COORDINATE, 0),
      ROUND (C2, OUTCOME), DELIVER (OUTCOME, C2, 0), STEPS, ON_RANK (POLL, 0), STEPS,
      ON_RANK (AGENT_RESTART, 1), DELIVER (QUERY, C1, 1), DELIVER (OUTCOME, C1, 1),
      STEPS } },
  { "release of a dead agent arrives after a recovery has aborted",
    BURDOCK_RULE_REHOLD,
    { ROUND (C1, OUTCOME), STEPS, ON_RANK (MANUAL, 0), DELIVER (OUTCOME, C1, 0),
      ON_RANK (CALL, 0), ON_RANK (AGENT_RESTART, 0), ON_RANK (AUTO, 0),
      ON_RANK (RECOVER, 1), ROUND (1, OUTCOME), DELIVER (OUTCOME, 1, 1), STEPS,
      ON_RANK (RUN_LATE, 0), STEPS } },
  { "the same, at an engine that accepts any release of the epoch",
    SCRIPT_ENGINE_NUMBERS,
    { ROUND (C1, OUTCOME), STEPS, ON_RANK (MANUAL, 0), DELIVER (OUTCOME, C1, 0),
      ON_RANK (CALL, 0), ON_RANK (AGENT_RESTART, 0), ON_RANK (AUTO, 0),
      ON_RANK (RECOVER, 1), ROUND (1, OUTCOME), DELIVER (OUTCOME, 1, 1), STEPS,
      ON_RANK (RUN_LATE, 0), STEPS } },
  { "rank recovers without the answer of a rank that has switched",
    BURDOCK_RULE_ALL_ANSWERS,
    { ROUND (C1, OUTCOME), DELIVER (OUTCOME, C1, 0), STEPS, ON_RANK (POLL, 0), STEPS,
      ON_RANK (RECOVER, 1), DELIVER (QUERY, 1, 1), DELIVER (STATE, 1, 1),
      DELIVER (PROPOSE, 1, 1), DELIVER (PROMISE, 1, 1), DELIVER (OUTCOME, 1, 1),
      STEPS } },
  { "an answer stems from a life that has ended since",
    BURDOCK_RULE_CONFIRM,
    { ON_RANK (COORDINATE, 0), DELIVER (QUERY, C2, 0), DELIVER (STATE, C2, 0),
      ON_RANK (AGENT_RESTART, 0), ROUND (C1, OUTCOME), DELIVER (OUTCOME, C1, 0), STEPS,
      ON_RANK (POLL, 0), STEPS, DELIVER (QUERY, C2, 1), DELIVER (STATE, C2, 1),
      DELIVER (OUTCOME, C2, 1), STEPS } },
  { "hold reaches the engine after its step",
    BURDOCK_RULE_HOLD_FIRST,
    { ROUND (C1, PROPOSE), ON_RANK (MANUAL, 1), DELIVER (PROPOSE, C1, 0),
      DELIVER (PROPOSE, C1, 1), STEPS, DELIVER (PROMISE, C1, 0), DELIVER (PROMISE, C1, 1),
      DELIVER (OUTCOME, C1, 0), ON_RANK (POLL, 0), STEPS } },
  { "commit is in force at one engine before the step",
    BURDOCK_RULE_COMMIT_WHILE_WAITING,
    { ROUND (C1, OUTCOME), DELIVER (OUTCOME, C1, 0), ON_RANK (ENGINE_RESTART, 1),
      ON_RANK (RECOVER, 1), ROUND (1, IDLE), STEPS } },
  { "agent restarts between accepting a commit and the release",
    SCRIPT_NO_RULE,
    { ROUND (C1, OUTCOME), DELIVER (OUTCOME, C1, 0), ON_RANK (AGENT_RESTART, 0), STEPS,
      DELIVER (OUTCOME, C1, 1), ON_RANK (POLL, 1), STEPS, ON_RANK (RECOVER, 0) } },
  { "both agents recover at once",
    SCRIPT_NO_RULE,
    { ROUND (C1, OUTCOME), STEPS, ON_RANK (RECOVER, 0), ON_RANK (RECOVER, 1),
      DELIVER (QUERY, 0, 1), DELIVER (QUERY, 1, 0), ROUND (0, CONFIRM), ROUND (1, IDLE),
      STEPS } },
  { "whole group is replaced during a switch",
    SCRIPT_NO_RULE,
    { ROUND (C1, PROPOSE), DELIVER (PROPOSE, C1, 0), ON_RANK (AGENT_RESTART, 0),
      ON_RANK (ENGINE_RESTART, 0), ON_RANK (AGENT_RESTART, 1),
      ON_RANK (ENGINE_RESTART, 1), ON_RANK (RECOVER, 1) } },
  { "new coordinator does not know the switch of the old one",
    SCRIPT_NO_RULE,
    { ROUND (C1, PROPOSE), DELIVER (PROPOSE, C1, 0), ON_RANK (COORDINATE, 0),
      ROUND (C2, IDLE), DELIVER (PROPOSE, C1, 1), STEPS } },
  { "engine restarts between promise and commit",
    SCRIPT_NO_RULE,
    { ROUND (C1, OUTCOME), ON_RANK (ENGINE_RESTART, 1), DELIVER (OUTCOME, C1, 0),
      DELIVER (OUTCOME, C1, 1), STEPS, ON_RANK (RECOVER, 1), ROUND (1, IDLE), STEPS } },
};

const uint32_t switch_script_count = sizeof switch_scripts / sizeof switch_scripts[0];

typedef struct {
  Model model;
  bool manual[MODEL_RANKS_MAX];
} Run;

static bool
apply_kind (Model *model, ModelActionKind kind, uint32_t index)
{
  ModelAction actions[MODEL_ACTIONS_MAX];
  uint32_t count = model_actions (model, actions);

  for (uint32_t i = 0; i < count; i++) {
    if (actions[i].kind != kind || actions[i].index != index)
      continue;
    model_apply (model, actions[i]);
    return true;
  }
  return false;
}

static void
run_calls (Run *run)
{
  for (uint32_t r = 0; r < run->model.ranks; r++)
    while (!run->manual[r] && (apply_kind (&run->model, ACTION_CALL, r) ||
                               apply_kind (&run->model, ACTION_CALL_BACKGROUND, r)))
      ;
}

static bool
belongs (const ModelMessage *message, const ScriptStep *step, bool any)
{
  uint32_t proposer = message->to_rank ? message->body.reply_to.ipv4 - 1 : message->index;
  uint32_t rank = message->to_rank ? message->index : message->body.rank;

  if (!message->used || proposer != step->proposer)
    return false;
  /* A copy that is kept strikes when the script says so. */
  if (any)
    return !message->duplicated;
  return message->type == step->what && rank == step->rank;
}

static bool
deliver_one (Run *run, const ScriptStep *step, bool any, bool keep)
{
  for (uint32_t i = 0; i < MODEL_MESSAGES_MAX; i++) {
    if (!belongs (&run->model.messages[i], step, any))
      continue;
    if (keep)
      run->model.budget.duplicates = 1;
    apply_kind (&run->model, keep ? ACTION_DELIVER_AND_KEEP : ACTION_DELIVER, i);
    run_calls (run);
    return true;
  }
  return false;
}

static BurdockSwitchPhase
phase_of (const Model *model, uint32_t proposer)
{
  return proposer < model->ranks ? model->agents[proposer].recovery.phase
                                 : model->coordinators[proposer - model->ranks].phase;
}

/* All ranks run on until they wait or have entered the step. */
static void
run_steps (Model *model, uint64_t last)
{
  bool moved = true;

  while (moved && !model->violated) {
    moved = false;
    for (uint32_t r = 0; r < model->ranks && model->step <= last; r++)
      moved |= apply_kind (model, ACTION_STEP, r);
  }
}

static void
run_step (Run *run, const ScriptStep *step)
{
  Model *model = &run->model;
  ModelBudget all = { 1, 1, 1, 1, 1, 1, 1, 1 };

  model->budget = all;
  switch ((ScriptOp)step->op) {
  case SCRIPT_ROUND:
    for (uint32_t i = 0;
         i < DELIVERIES_MAX && phase_of (model, step->proposer) != step->what; i++)
      if (!deliver_one (run, step, true, false))
        return;
    return;
  case SCRIPT_DELIVER:
  case SCRIPT_KEEP:
    deliver_one (run, step, false, step->op == SCRIPT_KEEP);
    return;
  case SCRIPT_AGENT_RESTART:
    apply_kind (model, ACTION_AGENT_RESTART, step->rank);
    return;
  case SCRIPT_ENGINE_RESTART:
    apply_kind (model, ACTION_ENGINE_RESTART, step->rank);
    return;
  case SCRIPT_STEP:
    run_steps (model, step->what);
    return;
  case SCRIPT_POLL:
    apply_kind (model, ACTION_POLL, step->rank);
    return;
  case SCRIPT_RECOVER:
    apply_kind (model, ACTION_RECOVER, step->rank);
    return;
  case SCRIPT_COORDINATE:
    apply_kind (model, ACTION_COORDINATE, 0);
    return;
  case SCRIPT_CALL:
    apply_kind (model, ACTION_CALL, step->rank);
    return;
  case SCRIPT_RUN_LATE:
    apply_kind (model, ACTION_RUN_LATE, 0);
    return;
  case SCRIPT_MANUAL:
  case SCRIPT_AUTO:
    run->manual[step->rank] = step->op == SCRIPT_MANUAL;
    return;
  case SCRIPT_END:
    return;
  }
}

void
script_run (const SwitchScript *script, bool broken, bool *violated, bool *finished)
{
  Run *run = calloc (1, sizeof *run);
  ModelBudget none = { 0 };

  if (broken && script->rule == SCRIPT_ENGINE_NUMBERS)
    run->model.ignore_numbers = true;
  else if (broken && script->rule != SCRIPT_NO_RULE)
    run->model.broken_rules = 1u << script->rule;
  model_init (&run->model, 2, &none);
  for (uint32_t i = 0; i < SCRIPT_STEPS_MAX && script->steps[i].op != SCRIPT_END; i++) {
    run_step (run, &script->steps[i]);
    run_calls (run);
  }
  *finished = model_finish (&run->model);
  *violated = run->model.violated;
  free (run);
}
