/**
 * DOC: switch-rules.h - safety rules of the map switch that tests can disable one by one
 *
 * Each rule prevents a step in which two ranks use different maps. A test disables a rule
 * to show that its invariant check detects the violation. Production code disables none.
 */
#ifndef BURDOCK_SWITCH_RULES_H
#define BURDOCK_SWITCH_RULES_H

#include "message.h"

#define BURDOCK_SWITCH_RULES(X)                                                          \
  X (BALLOT, "a rank rejects an outcome whose ballot is older than its own")             \
  X (ALL_PROMISES, "a switch commits only with the promises of all ranks")               \
  X (INCARNATION, "a rank ignores messages to an earlier incarnation of its agent")      \
  X (REHOLD, "a rank renews its hold before it answers a query")                         \
  X (ALL_ANSWERS, "a recovery decides only with the answers of all ranks")               \
  X (CONFIRM, "a recovery has all ranks confirm their answers before it decides")        \
  X (COMMIT_WINS, "a recovery chooses the newest map in use")                            \
  X (HOLD_FIRST, "a rank promises only after its engine confirmed the hold")             \
  X (COMMIT_WHILE_WAITING,                                                               \
     "a rank forwards a commit only while its engine waits at the step")

typedef enum {
#define X(id, text) BURDOCK_RULE_##id,
  BURDOCK_SWITCH_RULES (X)
#undef X
      BURDOCK_RULE_COUNT,
} BurdockSwitchRule;

/** burdock_rule_disabled() - whether bit @rule is set in the mask @disabled_rules */
static inline bool
burdock_rule_disabled (uint32_t disabled_rules, BurdockSwitchRule rule)
{
  return (disabled_rules >> rule) & 1;
}

/**
 * burdock_ballot_compare() - orders ballots by round, then by proposer
 * Returns a negative value, 0 or a positive value if @a is older than, equal to or newer
 * than @b.
 */
static inline int
burdock_ballot_compare (BurdockBallot a, BurdockBallot b)
{
  if (a.round != b.round)
    return a.round < b.round ? -1 : 1;
  if (a.proposer != b.proposer)
    return a.proposer < b.proposer ? -1 : 1;
  return 0;
}

#endif
