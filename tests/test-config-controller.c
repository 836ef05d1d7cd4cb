#include "config-controller.h"
#include "fleet.h"
#include "test.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define US_PER_S (1000 * US_PER_MS)
#define RACES 1000

static const FleetController config_only[] = { burdock_config_controller };
static const FleetController entry[] = {
  burdock_lifecycle_controller,
  burdock_config_controller,
  burdock_instance_list_controller,
  burdock_membership_controller,
};
static const FleetController agent[] = {
  burdock_lifecycle_controller,
  burdock_config_controller,
  burdock_membership_controller,
};

static const char file_a[] =
    "franchise: a\n"
    "pools: {s: {kind: service, service: b, running_limit: 4, queue_limit: 9}}\n"
    "workspaces: {w: {}}\n";
static const char file_b[] =
    "franchise: b\n"
    "pools: {s: {kind: service, service: b, running_limit: 4, queue_limit: 9}}\n"
    "workspaces: {w: {}}\n";

/* Submits @text at the entry in @slot. The config controller is the second one of a node
 * with a lifecycle controller, which has no tick, and otherwise the first. */
static int
apply (Fleet *fleet, uint32_t slot, const char *attempt_id, const char *text)
{
  FleetNode *node = fleet->nodes[slot];
  uint32_t index = node->controllers[0].tick == NULL ? 1 : 0;
  int status =
      burdock_config_controller_apply (node->controllers[index].ctx, slot, "operator",
                                       attempt_id,
                                       (BurdockBytes){ (const uint8_t *)text,
                                                       (uint32_t)strlen (text) });

  fleet_tick_now (fleet, slot);
  return status;
}

static void
settle (Fleet *fleet, uint32_t slot, const char *attempt_id)
{
  FleetNode *node = fleet->nodes[slot];
  uint32_t index = node->controllers[0].tick == NULL ? 1 : 0;

  burdock_config_controller_settle (node->controllers[index].ctx, slot, attempt_id);
  fleet_tick_now (fleet, slot);
}

static void
start (Fleet *fleet, uint32_t slot, bool is_entry, uint32_t seed_slots)
{
  if (is_entry)
    fleet_start (fleet, slot, BURDOCK_ROLE_ENTRY, entry, TEST_COUNT (entry), seed_slots);
  else
    fleet_start (fleet, slot, BURDOCK_ROLE_AGENT, agent, TEST_COUNT (agent), seed_slots);
}

static Fleet *
start_fleet (uint64_t seed, uint32_t entries, uint32_t agents)
{
  Fleet *fleet = fleet_new (seed);

  for (uint32_t i = 0; i < entries + agents; i++)
    start (fleet, i, i < entries, 3);
  return fleet;
}

static const BurdockConfigState *
state (const Fleet *fleet, uint32_t slot)
{
  return &fleet->nodes[slot]->core.board.config;
}

/* Counts the nodes that accept work under @generation. */
static uint32_t
count_accepting (const Fleet *fleet, uint64_t generation)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < fleet->node_count; i++)
    count += fleet->nodes[i]->alive && state (fleet, i)->refusal == BURDOCK_REASON_NONE &&
             state (fleet, i)->generation == generation;
  return count;
}

/* Counts the nodes that accept work under a generation older than @generation. */
static uint32_t
count_accepting_older (const Fleet *fleet, uint64_t generation)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < fleet->node_count; i++)
    count += fleet->nodes[i]->alive && state (fleet, i)->refusal == BURDOCK_REASON_NONE &&
             state (fleet, i)->generation < generation;
  return count;
}

/* @outcome is the outcome that must be reported to the operator. The other members are
 * faults of the store, see struct Fleet. */
typedef struct {
  const char *name;
  uint32_t lose_answers;
  uint32_t late_writes;
  uint64_t late_write_delay_us;
  BurdockApplyOutcome outcome;
} AcceptCase;

/* A write can take effect although its answer is lost or it was given up as timed out.
 * Guards against reporting such a submission as failed, against accepting it twice by a
 * retry, and against reporting an outcome that is not known. In every case the
 * configuration must be in force in the end, written once. */
static void
acceptance_survives_lost_answers (void)
{
  static const AcceptCase cases[] = {
    { "no fault", 0, 0, 0, BURDOCK_APPLY_ACCEPTED },
    { "answer lost after the write took effect", 1, 0, 0, BURDOCK_APPLY_ACCEPTED },
    { "two answers lost", 2, 0, 0, BURDOCK_APPLY_ACCEPTED },
    { "write takes effect after the read-back", 0, 1, 1100 * US_PER_MS,
      BURDOCK_APPLY_ACCEPTED },
    { "all writes late", 0, 9, 60 * US_PER_S, BURDOCK_APPLY_UNKNOWN },
  };

  for (uint32_t i = 0; i < TEST_COUNT (cases); i++) {
    Fleet *fleet = fleet_new (i + 1);
    FleetNode *node = fleet_start (fleet, 0, BURDOCK_ROLE_ENTRY, config_only, 1, 0);
    const FakeRow *row;

    fleet_run (fleet, 2 * US_PER_S);
    fleet->lose_answers = cases[i].lose_answers;
    fleet->late_writes = cases[i].late_writes;
    fleet->late_write_delay_us = cases[i].late_write_delay_us;
    apply (fleet, 0, NULL, file_a);
    fleet_run (fleet, 20 * US_PER_S);
    CU_ASSERT_EQUAL_FATAL (node->result_count, 1);
    CU_ASSERT_EQUAL (node->results[0].outcome, cases[i].outcome);
    fleet_run (fleet, 100 * US_PER_S);
    row = fake_store_row (&fleet->store, "config/current");
    CU_ASSERT_TRUE (row != NULL && row->version == 1);
    CU_ASSERT_EQUAL (state (fleet, 0)->generation, 1);
    CU_ASSERT_EQUAL (state (fleet, 0)->refusal, BURDOCK_REASON_NONE);
    fleet_free (fleet);
  }
}

/* Two operators submit to different entries at nearly the same time. Exactly one must
 * win, the generation that won must be reported to the other, and both entries must have
 * the file of the winner. @won counts the wins of each operator. */
static void
check_race (uint64_t seed, uint32_t *won)
{
  Fleet *fleet = fleet_new (seed);
  const BurdockApplyResult *results[2];
  uint32_t winner;

  for (uint32_t i = 0; i < 2; i++)
    fleet_start (fleet, i, BURDOCK_ROLE_ENTRY, config_only, 1, 0);
  fleet_run (fleet, 2 * US_PER_S);
  /* The second submission reads the row before the first can have written it: a read
   * reaches the row after 2 to 4 ms, the first write after at least 12 ms. */
  fleet->lose_answers = fleet_random (fleet) % 3;
  apply (fleet, 0, NULL, file_a);
  fleet_run (fleet, fleet_random (fleet) % (6 * US_PER_MS));
  apply (fleet, 1, NULL, file_b);
  fleet_run (fleet, 20 * US_PER_S);
  CU_ASSERT_EQUAL_FATAL (fleet->nodes[0]->result_count, 1);
  CU_ASSERT_EQUAL_FATAL (fleet->nodes[1]->result_count, 1);
  for (uint32_t i = 0; i < 2; i++)
    results[i] = &fleet->nodes[i]->results[0];
  winner = results[0]->outcome == BURDOCK_APPLY_ACCEPTED ? 0 : 1;
  won[winner]++;
  CU_ASSERT_EQUAL (results[winner]->outcome, BURDOCK_APPLY_ACCEPTED);
  CU_ASSERT_EQUAL (results[1 - winner]->outcome, BURDOCK_APPLY_REFUSED_RACE);
  CU_ASSERT_EQUAL (results[1 - winner]->generation, results[winner]->generation);
  CU_ASSERT_EQUAL (fake_store_row (&fleet->store, "config/current")->version, 1);
  for (uint32_t i = 0; i < 2; i++) {
    CU_ASSERT_EQUAL (state (fleet, i)->generation, 1);
    CU_ASSERT_STRING_EQUAL (burdock_config_franchise (state (fleet, i)->config),
                            winner == 0 ? "a" : "b");
  }
  fleet_free (fleet);
}

/* Guards against a write that does not depend on the version of the row, so that both
 * submissions succeed, and against a lost answer that makes both seem to fail. */
static void
one_operator_wins_a_race (void)
{
  uint32_t won[2] = { 0, 0 };

  for (uint64_t seed = 1; seed <= RACES; seed++)
    check_race (seed, won);
  /* Each operator must win some races, or the seeds do not vary the order of writes. */
  CU_ASSERT_TRUE (won[0] > RACES / 20 && won[1] > RACES / 20);
}

/* The entry that writes attempt-1 is killed while the write is delayed by 30 s, and the
 * operator settles the attempt at another entry. Guards against the late write taking
 * effect after the settlement, against a settlement that reverts an accepted attempt, and
 * against a repeated submission that creates another generation. */
static void
settled_attempt_cannot_land_later (void)
{
  Fleet *fleet = fleet_new (3);

  for (uint32_t i = 0; i < 2; i++)
    fleet_start (fleet, i, BURDOCK_ROLE_ENTRY, config_only, 1, 0);
  fleet_run (fleet, 2 * US_PER_S);
  fleet->late_writes = 1;
  fleet->late_write_delay_us = 30 * US_PER_S;
  apply (fleet, 0, "attempt-1", file_a);
  fleet_run (fleet, 100 * US_PER_MS);
  fleet_kill (fleet, 0);
  settle (fleet, 1, "attempt-1");
  fleet_run (fleet, 40 * US_PER_S);
  CU_ASSERT_EQUAL (fleet->nodes[1]->results[0].outcome, BURDOCK_APPLY_REFUSED_RACE);
  CU_ASSERT_PTR_NULL (fake_store_row (&fleet->store, "config/current"));
  apply (fleet, 1, "attempt-2", file_b);
  fleet_run (fleet, US_PER_S);
  settle (fleet, 1, "attempt-2");
  /* A repeated submission reports the first outcome and creates no generation. */
  apply (fleet, 1, "attempt-2", file_b);
  fleet_run (fleet, US_PER_S);
  CU_ASSERT_EQUAL_FATAL (fleet->nodes[1]->result_count, 4);
  for (uint32_t i = 1; i < 4; i++) {
    CU_ASSERT_EQUAL (fleet->nodes[1]->results[i].outcome, BURDOCK_APPLY_ACCEPTED);
    CU_ASSERT_EQUAL (fleet->nodes[1]->results[i].generation, 1);
  }
  CU_ASSERT_EQUAL (apply (fleet, 1, "a/b", file_b), -EINVAL);
  CU_ASSERT_EQUAL (apply (fleet, 1, "attempt-3", "franchise: 1\n"), 0);
  CU_ASSERT_EQUAL (fleet->nodes[1]->results[4].outcome, BURDOCK_APPLY_REFUSED_INVALID);
  CU_ASSERT_TRUE (fleet->nodes[1]->results[4].error.detail[0] != '\0');
  fleet_free (fleet);
}

/* A tenth of all messages is lost. Guards against a distribution that relies on single
 * messages, so that some member has not adopted the change 2 s after acceptance. */
static void
change_reaches_every_member (void)
{
  for (uint64_t seed = 1; seed <= 10; seed++) {
    Fleet *fleet = start_fleet (seed, 9, 12);

    fleet->loss_per_mille = 100;
    fleet_run (fleet, 10 * US_PER_S);
    apply (fleet, 4, NULL, file_a);
    while (fleet->nodes[4]->result_count == 0)
      fleet_run (fleet, US_PER_MS);
    fleet_run (fleet, 2 * US_PER_S);
    CU_ASSERT_EQUAL (count_accepting (fleet, 1), 21);
    fleet_free (fleet);
  }
}

/* While the store is down, every instance is killed and restarted in turn, in the same
 * role and under the same address; one entry was down when generation 2 was accepted. A
 * restarted process has no configuration and must get it from the others. Guards against
 * one that accepts work under generation 1 again, and against one that never accepts
 * work. */
static void
outage_never_takes_a_generation_back (void)
{
  Fleet *fleet = start_fleet (11, 5, 4);
  uint32_t older_seen = 0;

  fleet->loss_per_mille = 20;
  fleet_run (fleet, 8 * US_PER_S);
  apply (fleet, 0, NULL, file_a);
  fleet_run (fleet, 5 * US_PER_S);
  CU_ASSERT_EQUAL (count_accepting (fleet, 1), 9);
  fleet_kill (fleet, 3);
  apply (fleet, 1, NULL, file_b);
  fleet_run (fleet, 5 * US_PER_S);
  fleet->store_down = true;
  start (fleet, 3, true, 3);
  for (uint32_t minute = 0; minute < 60; minute++) {
    if (minute % 6 == 5) {
      uint32_t slot = (minute / 6) % 9;

      fleet_kill (fleet, slot);
      fleet_run (fleet, (minute / 6) % 2 == 0 ? US_PER_S : 30 * US_PER_S);
      start (fleet, slot, slot < 5, 3);
    }
    for (uint32_t i = 0; i < 600; i++) {
      fleet_run (fleet, 100 * US_PER_MS);
      older_seen += count_accepting_older (fleet, 2);
    }
    CU_ASSERT_EQUAL (count_accepting (fleet, 2), 9);
  }
  CU_ASSERT_EQUAL (older_seen, 0);
  fleet->store_down = false;
  apply (fleet, 2, NULL, file_a);
  fleet_run (fleet, 8 * US_PER_S);
  CU_ASSERT_EQUAL (count_accepting (fleet, 3), 9);
  fleet_free (fleet);
}

/* Filter that isolates node 0 from all other nodes. */
static bool
isolate_first (const Fleet *fleet, uint32_t from, uint32_t to)
{
  return from != 0 && to != 0;
}

/* Filter by which node 0 reaches node 1 only. */
static bool
connect_first_to_second (const Fleet *fleet, uint32_t from, uint32_t to)
{
  return (from > 0 && to > 0) || from + to == 1;
}

/* @filter and @store_down apply when node 0 starts; @reason is the reason for which it
 * must then refuse work. */
typedef struct {
  const char *name;
  bool (*filter) (const Fleet *fleet, uint32_t from, uint32_t to);
  bool store_down;
  BurdockReason reason;
} StartCase;

/* Node 0 restarts and may reach the store, some peers or nothing. Guards against
 * accepting work with neither the store nor a majority of the entries, as the generation
 * that it gets then may not be the newest, and against refusing work with one of them. */
static void
start_needs_the_store_or_a_majority (void)
{
  static const StartCase cases[] = {
    { "store and peers", NULL, false, BURDOCK_REASON_NONE },
    { "store only", isolate_first, false, BURDOCK_REASON_NONE },
    { "peers only", NULL, true, BURDOCK_REASON_NONE },
    { "one peer of four", connect_first_to_second, true, BURDOCK_REASON_NO_CONFIG },
    { "neither store nor peers", isolate_first, true, BURDOCK_REASON_NO_CONFIG },
  };

  for (uint32_t i = 0; i < TEST_COUNT (cases); i++) {
    Fleet *fleet = start_fleet (20 + i, 5, 0);

    fleet_run (fleet, 8 * US_PER_S);
    apply (fleet, 1, NULL, file_a);
    fleet_run (fleet, 3 * US_PER_S);
    fleet->store_down = cases[i].store_down;
    fleet->filter = cases[i].filter;
    start (fleet, 0, true, 5);
    fleet_run (fleet, 30 * US_PER_S);
    CU_ASSERT_EQUAL (state (fleet, 0)->refusal, cases[i].reason);
    fleet->store_down = false;
    fleet->filter = NULL;
    fleet_run (fleet, 10 * US_PER_S);
    CU_ASSERT_EQUAL (state (fleet, 0)->refusal, BURDOCK_REASON_NONE);
    fleet_free (fleet);
  }
}

/* An entry that reaches the store keeps accepting work without its peers. Once it loses
 * the store as well, it cannot learn of a new generation. Guards against one that accepts
 * work for longer than 8 s after that, or that still refuses it when contact returns. */
static void
isolated_entry_refuses_within_the_limit (void)
{
  Fleet *fleet = start_fleet (31, 5, 0);
  uint64_t cut_us;

  fleet_run (fleet, 8 * US_PER_S);
  apply (fleet, 1, NULL, file_a);
  fleet_run (fleet, 3 * US_PER_S);
  fleet->filter = isolate_first;
  fleet_run (fleet, 20 * US_PER_S);
  CU_ASSERT_EQUAL (state (fleet, 0)->refusal, BURDOCK_REASON_NONE);
  fleet->store_down = true;
  cut_us = fleet->now_us;
  while (state (fleet, 0)->refusal == BURDOCK_REASON_NONE &&
         fleet->now_us < cut_us + 60 * US_PER_S)
    fleet_run (fleet, 10 * US_PER_MS);
  CU_ASSERT_EQUAL (state (fleet, 0)->refusal, BURDOCK_REASON_ISOLATED);
  CU_ASSERT_TRUE (fleet->now_us <= cut_us + 8 * US_PER_S + 20 * US_PER_MS);
  CU_ASSERT_EQUAL (count_accepting (fleet, 1), 4);
  fleet->filter = NULL;
  fleet_run (fleet, 3 * US_PER_S);
  CU_ASSERT_EQUAL (count_accepting (fleet, 1), 5);
  fleet_free (fleet);
}

/* Node 0 is paused for 20 s; 2 s after the pause begins, it loses the store and its
 * peers. Guards against the frames that were queued in its sockets counting as contact
 * when it resumes, which would let it accept work for another 8 s. */
static void
frames_queued_in_a_pause_are_no_contact (void)
{
  Fleet *fleet = start_fleet (41, 5, 0);

  fleet_run (fleet, 8 * US_PER_S);
  apply (fleet, 1, NULL, file_a);
  fleet_run (fleet, 3 * US_PER_S);
  fleet_pause (fleet, 0, 20 * US_PER_S);
  fleet_run (fleet, 2 * US_PER_S);
  fleet->filter = isolate_first;
  fleet->store_down = true;
  fleet_run (fleet, 18 * US_PER_S + 100 * US_PER_MS);
  CU_ASSERT_EQUAL (state (fleet, 0)->refusal, BURDOCK_REASON_ISOLATED);
  fleet_run (fleet, 5 * US_PER_S);
  CU_ASSERT_EQUAL (state (fleet, 0)->refusal, BURDOCK_REASON_ISOLATED);
  fleet_free (fleet);
}

/* Delivers to node 0 a CONFIG_BODY of @generation with @body and the hash of @hashed. */
static void
deliver_body (Fleet *fleet, uint64_t generation, const char *body, const char *hashed)
{
  const BurdockController *controller = &fleet->nodes[0]->controllers[0];
  uint8_t hash[BURDOCK_HASH_BYTES];
  BurdockMessage *message = calloc (1, sizeof *message);

  burdock_config_hash ((BurdockBytes){ (const uint8_t *)hashed,
                                       (uint32_t)strlen (hashed) },
                       hash);
  message->header.type = BURDOCK_MSG_CONFIG_BODY;
  message->config_body = (BurdockConfigBodyMessage){
    .generation = generation,
    .hash = { hash, sizeof hash },
    .body = { (const uint8_t *)body, (uint32_t)strlen (body) },
  };
  controller->message (controller->ctx, (BurdockAddress){ 0, 0 }, message);
  free (message);
}

/* Guards against a body that replaces the active configuration although it is not newer,
 * does not match its hash, or cannot be parsed. @result is the generation that must be
 * active after each body. */
static void
only_newer_and_valid_bodies_are_adopted (void)
{
  static const struct {
    uint64_t generation;
    const char *body;
    const char *hashed;
    uint64_t result;
  } bodies[] = {
    { 5, file_a, file_a, 5 }, /* newer */
    { 4, file_b, file_b, 5 }, /* older */
    { 5, file_b, file_b, 5 }, /* same generation, other text */
    { 6, file_b, file_a, 5 }, /* hash does not match */
    { 7, "x", "x", 5 },       /* not a configuration file */
    { 8, file_b, file_b, 8 }, /* newer again */
  };
  Fleet *fleet = fleet_new (51);

  fleet_start (fleet, 0, BURDOCK_ROLE_ENTRY, config_only, 1, 0);
  fleet_run (fleet, US_PER_S);
  for (uint32_t i = 0; i < TEST_COUNT (bodies); i++) {
    deliver_body (fleet, bodies[i].generation, bodies[i].body, bodies[i].hashed);
    CU_ASSERT_EQUAL (state (fleet, 0)->generation, bodies[i].result);
    CU_ASSERT_STRING_EQUAL (burdock_config_franchise (state (fleet, 0)->config),
                            bodies[i].result == 5 ? "a" : "b");
  }
  fleet_free (fleet);
}

#define HASH_TEXT "00000000000000000000000000000000000000000000000000000000000000ff"

typedef struct {
  const char *value;
  int status;
  uint64_t generation;
} RowCase;

static const RowCase row_cases[] = {
  { "{\"generation\":7,\"hash\":\"" HASH_TEXT "\",\"attempt\":\"a\",\"operator\":\"o\"}",
    0, 7 },
  { "{\"generation\":9007199254740992,\"hash\":\"" HASH_TEXT "\",\"attempt\":\"a\"}", 0,
    UINT64_C (1) << 53 },
  { "{\"generation\":0,\"attempt\":\"a\"}", 0, 0 },
  { "{\"generation\":9007199254740993,\"hash\":\"" HASH_TEXT "\",\"attempt\":\"a\"}",
    -EPROTO, 0 },
  { "{\"generation\":9223372036854775807,\"hash\":\"" HASH_TEXT "\",\"attempt\":\"a\"}",
    -EPROTO, 0 },
  { "{\"generation\":1e300,\"hash\":\"" HASH_TEXT "\",\"attempt\":\"a\"}", -EPROTO, 0 },
  { "{\"generation\":\"7\",\"hash\":\"" HASH_TEXT "\",\"attempt\":\"a\"}", -EPROTO, 0 },
  { "{\"hash\":\"" HASH_TEXT "\",\"attempt\":\"a\"}", -EPROTO, 0 },
  { "{\"generation\":-1,\"hash\":\"" HASH_TEXT "\",\"attempt\":\"a\"}", -EPROTO, 0 },
  { "{\"generation\":7,\"hash\":\"" HASH_TEXT "00\",\"attempt\":\"a\"}", -EPROTO, 0 },
  { "{\"generation\":7,\"hash\":\"x\",\"attempt\":\"a\"}", -EPROTO, 0 },
  { "{\"generation\":7,\"hash\":7,\"attempt\":\"a\"}", -EPROTO, 0 },
  { "{\"generation\":7,\"hash\":\"" HASH_TEXT "\"}", -EPROTO, 0 },
  { "[[[[", -EPROTO, 0 },
  { "", -EPROTO, 0 },
};

/* Guards against a row of another writer whose generation is the last one that a row can
 * have, so that no configuration after it is accepted, and against one without a
 * generation that is taken for an attempt that was settled. */
static void
odd_rows_are_malformed (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (row_cases); i++) {
    const char *value = row_cases[i].value;
    BurdockBytes bytes = { (const uint8_t *)value, (uint32_t)strlen (value) };
    BurdockConfigRow row;

    if (burdock_config_row_parse (bytes, &row) != row_cases[i].status ||
        row.generation != row_cases[i].generation)
      CU_FAIL (value);
  }
}

static const Test tests[] = {
  { "the row of another writer keeps out all later configurations",
    odd_rows_are_malformed },
  { "an accepted configuration is reported wrongly or accepted twice",
    acceptance_survives_lost_answers },
  { "two operators both win a race, or neither does, or the loser is not notified",
    one_operator_wins_a_race },
  { "a settled attempt takes effect afterwards", settled_attempt_cannot_land_later },
  { "a member misses a change when messages are lost", change_reaches_every_member },
  { "a process returns to an older generation after an outage or a restart",
    outage_never_takes_a_generation_back },
  { "a process accepts work under a generation that may not be the newest",
    start_needs_the_store_or_a_majority },
  { "an entry without contact continues to accept work",
    isolated_entry_refuses_within_the_limit },
  { "frames that waited during a pause count as contact",
    frames_queued_in_a_pause_are_no_contact },
  { "an old, damaged or unreadable body replaces a newer configuration",
    only_newer_and_valid_bodies_are_adopted },
};

int
main (void)
{
  return test_main ("config-controller", tests, TEST_COUNT (tests));
}
