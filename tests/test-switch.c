#include "expert-map.h"
#include "switch-scripts.h"
#include "switch-search.h"
#include "test.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

/* Covers a proposal with one crash and still runs in about a second. */
#define SEARCH_DEPTH 8
#define SEARCH_TABLE_BITS 20

/* A coordinator, agent or engine that fails at a critical point of a switch could leave
 * two maps in use or the group stopped. The scripts cause such faults. */
static void
scripts_keep_one_map_and_resume (void)
{
  for (uint32_t i = 0; i < switch_script_count; i++) {
    bool violated;
    bool finished;

    script_run (&switch_scripts[i], false, &violated, &finished);
    if (violated || !finished)
      printf ("script \"%s\": violated %d, finished %d\n", switch_scripts[i].name,
              violated, finished);
    CU_ASSERT_FALSE (violated);
    CU_ASSERT_TRUE (finished);
  }
}

/* A check for two maps that cannot fail would hide a fault in any rule. Disabling a rule
 * in its script must violate the check, and every rule must have such a script. */
static void
disabled_rules_are_detected (void)
{
  uint32_t detected = 0;

  for (uint32_t i = 0; i < switch_script_count; i++) {
    bool violated;
    bool finished;

    if (switch_scripts[i].rule == SCRIPT_NO_RULE)
      continue;
    script_run (&switch_scripts[i], true, &violated, &finished);
    if (!violated)
      printf ("script \"%s\": disabled rule not detected\n", switch_scripts[i].name);
    CU_ASSERT_TRUE (violated);
    if (switch_scripts[i].rule < BURDOCK_RULE_COUNT)
      detected |= 1u << switch_scripts[i].rule;
  }
  CU_ASSERT_EQUAL (detected, (1u << BURDOCK_RULE_COUNT) - 1);
}

/* An order of events that no script covers could leave two maps in use. Explores every
 * order of up to SEARCH_DEPTH events from the proposals on, with at most one fault of
 * each kind. */
static void
every_interleaving_keeps_one_map (void)
{
  static const ModelBudget budget = { .agent_restarts = 1,
                                      .engine_restarts = 1,
                                      .duplicates = 1,
                                      .timeouts = 1,
                                      .expiries = 1,
                                      .recoveries = 1 };
  Model *start = calloc (1, sizeof *start);
  ModelBudget none = { 0 };
  SearchResult result;

  model_init (start, 2, &none);
  model_run_until_propose (start);
  start->budget = budget;
  result = search_exhaustive (start, SEARCH_DEPTH, SEARCH_TABLE_BITS);
  CU_ASSERT_FALSE (result.violated);
  CU_ASSERT_FALSE (result.truncated);
  CU_ASSERT_TRUE (result.states > 1000);
  if (result.violated)
    printf ("%s", result.trace);
  free (result.trace);
  free (start);
}

/* Several faults in one switch could leave two maps in use or the group stopped. Runs
 * random orders of events and faults with 2 and 3 ranks, each of which must resume
 * afterwards. */
static void
random_event_orders_keep_one_map_and_resume (void)
{
  static const ModelBudget budget = { 3, 2, 6, 3, 4, 6, 4, 1 };
  Model *start = calloc (1, sizeof *start);

  for (uint32_t ranks = 2; ranks <= 3; ranks++) {
    SearchResult result;

    model_init (start, ranks, &budget);
    result = search_random (start, 2000, 200, 7);
    CU_ASSERT_FALSE (result.violated || result.stuck);
    if (result.trace != NULL)
      printf ("%s", result.trace);
    free (result.trace);
  }
  free (start);
}

static int32_t reply_status;

static void
record_status (void *ctx, BurdockAddress to, uint32_t type, uint64_t target,
               const BurdockSwitchMessage *message)
{
  (void)ctx;
  (void)to;
  (void)type;
  (void)target;
  reply_status = message->status;
}

static void
ignore_call (void *ctx, const BurdockEngineCall *call)
{
  (void)ctx;
  (void)call;
}

/* A coordinator that has lost its lease may still send requests. A rank that has seen a
 * newer fencing token must refuse them and must not adopt their ballot. */
static void
rank_refuses_a_former_coordinator (void)
{
  static const uint32_t types[] = { BURDOCK_MSG_SWITCH_QUERY, BURDOCK_MSG_SWITCH_PREPARE,
                                    BURDOCK_MSG_SWITCH_PROPOSE };
  BurdockSwitchRankCallbacks callbacks = { .send = record_status, .engine = ignore_call };
  BurdockEngineState state = { .engine_instance = 1 };
  BurdockSwitchMessage message = { .fence = 5, .ballot = { 1, 1 } };
  BurdockSwitchRank rank;

  burdock_switch_rank_init (&rank, 0, 8, &callbacks);
  burdock_switch_rank_handle_message (&rank, BURDOCK_MSG_SWITCH_QUERY, 1, 0, &message);
  burdock_switch_rank_engine_done (&rank, 0, 0, &state);
  message.fence = 4;
  message.ballot.round = 2;
  for (uint32_t i = 0; i < TEST_COUNT (types); i++) {
    reply_status = 0;
    burdock_switch_rank_handle_message (&rank, types[i], 1, 8, &message);
    CU_ASSERT_EQUAL (reply_status, -EPERM);
  }
  CU_ASSERT_EQUAL (rank.ballot.round, 1);
}

static BurdockEngineCall last_call;
static uint32_t map_orders;

static void
record_map_order (void *ctx, const BurdockEngineCall *call)
{
  (void)ctx;
  last_call = *call;
  map_orders += call->op != BURDOCK_ENGINE_STATE;
}

/* Brings a rank to its promise for epoch 9 under token 5; it has seen token @newest in a
 * query of round 0 since, which binds it to no ballot. */
static void
promise_epoch (BurdockSwitchRank *rank, uint64_t newest)
{
  static const BurdockSwitchRankCallbacks callbacks = { .send = record_status,
                                                        .engine = record_map_order };
  BurdockEngineState state = { .engine_instance = 1 };
  BurdockSwitchMessage message = {
    .fence = 5, .ballot = { 1, 1 }, .epoch = 9, .step = 3
  };
  BurdockSwitchMessage reminder = { .fence = newest };

  burdock_switch_rank_init (rank, 0, 8, &callbacks);
  burdock_switch_rank_handle_message (rank, BURDOCK_MSG_SWITCH_QUERY, 1, 0, &message);
  burdock_switch_rank_engine_done (rank, 0, 0, &state);
  burdock_switch_rank_handle_message (rank, BURDOCK_MSG_SWITCH_PREPARE, 1, 8, &message);
  burdock_switch_rank_engine_done (rank, last_call.target_id, 0, NULL);
  burdock_switch_rank_engine_done (rank, 0, 0, &state);
  message.outcome = BURDOCK_OUTCOME_COMMIT;
  burdock_switch_rank_handle_message (rank, BURDOCK_MSG_SWITCH_PROPOSE, 1, 8, &message);
  burdock_switch_rank_engine_done (rank, 0, 0, NULL);
  state.held_epoch = 9;
  state.held_step = 3;
  state.held_number = rank->hold_number;
  burdock_switch_rank_engine_done (rank, 0, 0, &state);
  CU_ASSERT_EQUAL (rank->promised_epoch, 9);
  burdock_switch_rank_handle_message (rank, BURDOCK_MSG_SWITCH_QUERY, 2, 0, &reminder);
  burdock_switch_rank_engine_done (rank, 0, 0, &state);
  map_orders = 0;
}

/* An outcome of a coordinator whose lease has a newer holder must not reach an engine
 * that ignores tokens. The newer holder may have decided otherwise. */
static void
rank_refuses_a_former_outcome (void)
{
  static const BurdockSwitchOutcome outcomes[] = { BURDOCK_OUTCOME_COMMIT,
                                                   BURDOCK_OUTCOME_ABORT,
                                                   BURDOCK_OUTCOME_SETTLE };

  for (uint32_t i = 0; i < TEST_COUNT (outcomes); i++) {
    BurdockSwitchMessage message = {
      .fence = 5, .ballot = { 1, 1 }, .epoch = 9, .outcome = outcomes[i]
    };
    BurdockEngineState waiting = {
      .engine_instance = 1, .held_epoch = 9, .held_step = 3, .step = 3, .waiting = true
    };
    BurdockSwitchRank rank;

    promise_epoch (&rank, 6);
    waiting.held_number = rank.hold_number;
    reply_status = 0;
    burdock_switch_rank_handle_message (&rank, BURDOCK_MSG_SWITCH_OUTCOME, 1, 8,
                                        &message);
    burdock_switch_rank_engine_done (&rank, 0, 0, &waiting);
    CU_ASSERT_EQUAL (reply_status, -EPERM);
    CU_ASSERT_EQUAL (map_orders, 0);
  }
}

/* A commit that waits for the engine must not be forwarded after a newer token. */
static void
rank_drops_a_former_commit (void)
{
  BurdockSwitchMessage message = {
    .fence = 5, .ballot = { 1, 1 }, .epoch = 9, .outcome = BURDOCK_OUTCOME_COMMIT
  };
  BurdockSwitchMessage reminder = { .fence = 6 };
  BurdockEngineState state = { .engine_instance = 1, .held_epoch = 9, .held_step = 3 };
  BurdockSwitchRank rank;

  promise_epoch (&rank, 5);
  state.held_number = rank.hold_number;
  burdock_switch_rank_handle_message (&rank, BURDOCK_MSG_SWITCH_OUTCOME, 1, 8, &message);
  burdock_switch_rank_engine_done (&rank, 0, 0, &state);
  CU_ASSERT_TRUE (burdock_switch_rank_commit_pending (&rank));
  burdock_switch_rank_handle_message (&rank, BURDOCK_MSG_SWITCH_QUERY, 2, 0, &reminder);
  burdock_switch_rank_engine_done (&rank, 0, 0, &state);
  state.step = 3;
  state.waiting = true;
  burdock_switch_rank_update_state (&rank, &state);
  CU_ASSERT_EQUAL (map_orders, 0);
  CU_ASSERT_FALSE (burdock_switch_rank_commit_pending (&rank));
}

/* An order must carry the token of the lease under which it was sent, not a newer one
 * that the agent has seen since: an engine that checks tokens could not refuse it then.
 */
static void
orders_carry_the_token_of_their_request (void)
{
  BurdockSwitchMessage message = {
    .fence = 5, .ballot = { 1, 1 }, .epoch = 9, .outcome = BURDOCK_OUTCOME_SETTLE
  };
  BurdockSwitchMessage newer = { .fence = 6, .ballot = { 2, 2 }, .epoch = 10 };
  BurdockSwitchRank rank;

  promise_epoch (&rank, 5);
  burdock_switch_rank_handle_message (&rank, BURDOCK_MSG_SWITCH_OUTCOME, 1, 8, &message);
  CU_ASSERT_EQUAL (last_call.op, BURDOCK_ENGINE_MAP_LOAD);
  CU_ASSERT_EQUAL (last_call.fence, 5);
  burdock_switch_rank_handle_message (&rank, BURDOCK_MSG_SWITCH_PREPARE, 2, 8, &newer);
  burdock_switch_rank_engine_done (&rank, 0, 0, NULL);
  burdock_switch_rank_engine_done (&rank, 0, 0,
                                   &(BurdockEngineState){ .engine_instance = 1,
                                                          .step = 3 });
  CU_ASSERT_EQUAL (last_call.op, BURDOCK_ENGINE_MAP_HOLD);
  CU_ASSERT_EQUAL (last_call.fence, 5);
}

typedef struct {
  const char *name;
  uint32_t length_bytes;
  uint8_t bytes[24];
  int status;
} MapCase;

/* A map that is truncated, too long or whose size overflows must not be decoded. */
static void
malformed_maps_are_refused (void)
{
  static const MapCase cases[] = {
    { "complete", 16, { 0, 0, 0, 1, 0, 0, 0, 2, 0, 0, 0, 1, 0, 1, 0, 0 }, 0 },
    { "truncated", 15, { 0, 0, 0, 1, 0, 0, 0, 2, 0, 0, 0, 1, 0, 1, 0 }, -EPROTO },
    { "too long", 18, { 0, 0, 0, 1, 0, 0, 0, 2, 0, 0, 0, 1, 0, 1, 0, 0, 0, 0 }, -EPROTO },
    { "no layer", 12, { 0, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0, 1 }, -EPROTO },
    { "size overflows",
      12,
      { 255, 255, 255, 255, 255, 255, 255, 255, 0, 0, 0, 1 },
      -EPROTO },
    { "empty", 0, { 0 }, -EPROTO },
  };

  for (uint32_t i = 0; i < TEST_COUNT (cases); i++) {
    BurdockBytes bytes = { cases[i].bytes, cases[i].length_bytes };
    BurdockExpertMap map;

    CU_ASSERT_EQUAL (burdock_expert_map_decode (bytes, &map), cases[i].status);
    burdock_expert_map_clear (&map);
  }
}

/* Tokens of an expert without a copy could not be processed. The check must refuse a map
 * that leaves out an expert or names one that does not exist. */
static void
map_without_an_expert_is_refused (void)
{
  BurdockExpertMap map;
  uint8_t *bytes;
  uint32_t length_bytes;
  BurdockExpertMap again;

  CU_ASSERT_EQUAL (burdock_expert_map_init (&map, 2, 4, 3), 0);
  burdock_expert_map_spread (&map, 8);
  CU_ASSERT_EQUAL (burdock_expert_map_check (&map, 8), 0);
  burdock_expert_map_encode (&map, &bytes, &length_bytes);
  CU_ASSERT_EQUAL (burdock_expert_map_decode ((BurdockBytes){ bytes, length_bytes },
                                              &again),
                   0);
  CU_ASSERT_EQUAL (burdock_expert_map_moves (&map, &again), 0);
  again.experts[7] = 1;
  CU_ASSERT_EQUAL (burdock_expert_map_check (&again, 8), -EINVAL);
  CU_ASSERT_EQUAL (burdock_expert_map_moves (&map, &again), 1);
  again.experts[7] = 8;
  CU_ASSERT_EQUAL (burdock_expert_map_check (&again, 8), -EINVAL);
  free (bytes);
  burdock_expert_map_clear (&map);
  burdock_expert_map_clear (&again);
}

static const Test tests[] = {
  { "a fault at a critical point leaves two maps or a stopped group",
    scripts_keep_one_map_and_resume },
  { "the check for two maps cannot fail", disabled_rules_are_detected },
  { "an order of events leaves two maps", every_interleaving_keeps_one_map },
  { "several faults leave two maps or a stopped group",
    random_event_orders_keep_one_map_and_resume },
  { "a rank follows a coordinator that has lost its lease",
    rank_refuses_a_former_coordinator },
  { "an outcome of a coordinator without a lease reaches the engine",
    rank_refuses_a_former_outcome },
  { "a commit of a coordinator without a lease reaches the engine",
    rank_drops_a_former_commit },
  { "an order carries a newer token than that of its lease",
    orders_carry_the_token_of_their_request },
  { "a malformed map is accepted", malformed_maps_are_refused },
  { "a map leaves an expert without a copy", map_without_an_expert_is_refused },
};

int
main (void)
{
  return test_main ("switch", tests, TEST_COUNT (tests));
}
