/**
 * DOC: switch-scripts.h - schedules of a map switch with a fault at the worst moment
 */
#ifndef SWITCH_SCRIPTS_H
#define SWITCH_SCRIPTS_H

#include "switch-model.h"

#define SCRIPT_STEPS_MAX 24

typedef enum {
  SCRIPT_END = 0,
  SCRIPT_DELIVER_UNTIL, /* deliver messages from and to @proposer until it reaches phase
                           @argument */
  SCRIPT_DELIVER, /* deliver the first message of type @argument between @proposer and
                     @rank */
  SCRIPT_DELIVER_COPY, /* the same, but the message stays in flight */
  SCRIPT_AGENT_RESTART,
  SCRIPT_ENGINE_RESTART,
  SCRIPT_RUN_STEPS, /* all ranks run steps until they wait or have passed @argument */
  SCRIPT_POLL,
  SCRIPT_RECOVER,
  SCRIPT_START_COORDINATOR,
  SCRIPT_MANUAL_CALLS, /* from here, engine calls of @rank wait for SCRIPT_EXECUTE_CALL */
  SCRIPT_EXECUTE_CALL,
  SCRIPT_AUTO_CALLS,        /* ends SCRIPT_MANUAL_CALLS for @rank */
  SCRIPT_EXECUTE_LATE_CALL, /* a call from before the restart of an agent reaches the
                               engine */
} ScriptOp;

typedef struct {
  uint8_t op;
  uint8_t proposer;
  uint8_t rank;
  uint32_t argument;
} ScriptStep;

/* Values of SwitchScript.rule other than BURDOCK_RULE_*: no rule, and the rule that
 * engines check the hold number of a release. */
#define SCRIPT_NO_RULE UINT32_MAX
#define SCRIPT_RULE_HOLD_NUMBERS (UINT32_MAX - 1)

/** struct SwitchScript - schedule; without @rule it leads to two maps in one step */
typedef struct {
  const char *name;
  uint32_t rule;
  ScriptStep steps[SCRIPT_STEPS_MAX];
} SwitchScript;

extern const SwitchScript switch_scripts[];
extern const uint32_t switch_script_count;

/**
 * script_run() - runs a script in a group of 2 ranks and then completes it without faults
 * @disable_rule: whether to disable the rule of the script
 * @violated: returns whether two maps were used in one step
 * @finished: returns whether the group reached its last step
 */
void script_run (const SwitchScript *script, bool disable_rule, bool *violated,
                 bool *finished);

#endif
