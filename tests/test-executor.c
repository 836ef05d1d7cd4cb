/* Tests one executor against a scripted entry and engine. The cases guard against
 * attempts that run twice when frames are duplicated, reordered or late, and against
 * wrong outcomes. */
#include "test.h"
#include "traffic.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define ENTRY_INCARNATION 7
#define OWN_INCARNATION 5

static TrafficEnv traffic;
static BurdockExecutor *executor;
static uint64_t hlc;

static void
start (BurdockReason refusal)
{
  BurdockSettings settings = { .name = "a",
                               .incarnation = OWN_INCARNATION,
                               .capacity = 2 };
  BurdockSnapshot *snapshot = traffic_snapshot (0, 0, 3);

  traffic_init (&traffic);
  hlc = 1;
  snapshot->refusal = refusal;
  executor = burdock_executor_new (&settings, &traffic.env);
  burdock_executor_set_snapshot (executor, snapshot);
}

static void
stop (void)
{
  burdock_executor_free (executor);
  traffic_clear (&traffic);
}

static void
receive (BurdockMessage message, uint64_t target)
{
  uint8_t *frame;
  uint32_t length_bytes;

  message.header.hlc = message.header.hlc != 0 ? message.header.hlc : ++hlc;
  message.header.sender_id = 9;
  message.header.sender_incarnation = ENTRY_INCARNATION;
  message.header.target_incarnation = target;
  burdock_message_encode (&message, &(BurdockFrameKeys){ 0 }, &frame, &length_bytes);
  burdock_executor_receive (executor, (BurdockAddress){ 9, 9 }, frame, length_bytes);
  free (frame);
}

static BurdockMessage
make_attempt (uint64_t request_id, bool service)
{
  return (BurdockMessage){ .header.type = BURDOCK_MSG_ATTEMPT,
                           .attempt = { .request_id = request_id,
                                        .attempt = 1,
                                        .generation = 3,
                                        .service = service,
                                        .idempotent = !service,
                                        .deadline_ms = 1000 } };
}

static BurdockMessage
make_cancel (uint64_t request_id)
{
  return (BurdockMessage){ .header.type = BURDOCK_MSG_ATTEMPT_CANCEL,
                           .attempt_cancel = { .request_id = request_id, .attempt = 1 } };
}

static void
engine_event (uint64_t id, BurdockEngineEventKind kind, int32_t status, uint32_t index)
{
  BurdockEngineEvent event = { .id = id,
                               .op = BURDOCK_ENGINE_GENERATE,
                               .kind = kind,
                               .status = status,
                               .index = index,
                               .token_count = index,
                               .body = { (const uint8_t *)"x", 1 } };

  burdock_executor_engine_event (executor, &event);
}

static void
advance (uint64_t by_us)
{
  uint64_t until_us = traffic.now_us + by_us;

  while (traffic.now_us < until_us) {
    traffic.now_us += 10 * TRAFFIC_US_PER_MS;
    burdock_executor_tick (executor);
  }
}

typedef struct {
  const char *name;
  const char *script;
  BurdockReason snapshot_refusal;
  uint32_t starts;      /* executions started at the engine */
  uint32_t cancels;     /* cancels sent to the engine */
  uint32_t refusals;    /* ATTEMPT_REFUSED frames sent */
  uint32_t ends;        /* ATTEMPT_DONE frames sent */
  BurdockReason reason; /* of the last refusal */
  BurdockRan ran;       /* of the last ATTEMPT_DONE */
} Case;

#define NONE BURDOCK_REASON_NONE
#define YES BURDOCK_RAN_YES
#define UNKNOWN BURDOCK_RAN_UNKNOWN

static const Case cases[] = {
  { "stream", "A0D", NONE, 1, 0, 0, 1, NONE, YES },
  { "call", "S.d", NONE, 1, 0, 0, 1, NONE, YES },
  { "attempt repeated while it runs", "AA0D", NONE, 1, 0, 0, 1, NONE, YES },
  { "attempt repeated after its end", "A0DA", NONE, 1, 0, 0, 1, NONE, YES },
  { "call repeated after its end: stored answer", "SdS", NONE, 1, 0, 0, 2, NONE, YES },
  { "attempt repeated after its refusal", "gA", NONE, 0, 0, 2, 0,
    BURDOCK_REASON_STALE_GENERATION, YES },
  { "cancel before the attempt", "cA", NONE, 0, 0, 1, 0, BURDOCK_REASON_CANCELLED, YES },
  { "cancel while it runs", "A0cf", NONE, 1, 1, 0, 1, NONE, UNKNOWN },
  { "cancel races with the end", "Ac0D", NONE, 1, 1, 0, 1, NONE, UNKNOWN },
  { "cancel after the end", "A0Dc", NONE, 1, 0, 0, 1, NONE, YES },
  { "cancelled twice, engine does not confirm", "Acc9", NONE, 1, 1, 0, 1, NONE, UNKNOWN },
  { "engine refused: not run", "Sn", NONE, 1, 0, 1, 0, BURDOCK_REASON_UPSTREAM_FAILED,
    YES },
  { "engine refused after a token", "A0n", NONE, 1, 0, 0, 1, NONE, UNKNOWN },
  { "engine failed", "Sf", NONE, 1, 0, 0, 1, NONE, UNKNOWN },
  { "token missing", "A01", NONE, 1, 0, 0, 0, NONE, YES },
  { "end with a token missing", "A0E", NONE, 1, 0, 0, 1, NONE, UNKNOWN },
  { "attempt for an earlier incarnation", "o", NONE, 0, 0, 0, 1, NONE, UNKNOWN },
  { "generation too old", "g", NONE, 0, 0, 1, 0, BURDOCK_REASON_STALE_GENERATION, YES },
  { "deadline already passed", "z", NONE, 0, 0, 1, 0, BURDOCK_REASON_DEADLINE, YES },
  { "more than 1.5 times the capacity", "ABCX", NONE, 3, 0, 1, 0, BURDOCK_REASON_OVERLOAD,
    YES },
  { "isolated", "A", BURDOCK_REASON_ISOLATED, 0, 0, 1, 0, BURDOCK_REASON_ISOLATED, YES },
  { "deadline", "A0999", NONE, 1, 1, 0, 1, NONE, UNKNOWN },
  { "entry disconnected: stream is cancelled", "A0l", NONE, 1, 1, 0, 0, NONE, YES },
  { "entry disconnected: call runs to its end", "Sl", NONE, 1, 0, 0, 0, NONE, YES },
  { "repeated after its tombstone was evicted", "A0DTa", NONE, 1, 0, 0, 2, NONE,
    UNKNOWN },
  { "new attempt after a tombstone was evicted", "A0DTB", NONE, 2, 0, 0, 1, NONE, YES },
  { "leaving: accepted during the grace period", "A", BURDOCK_REASON_LEAVING, 1, 0, 0, 0,
    NONE, YES },
  { "leaving: refused after 2 s", "99B", BURDOCK_REASON_LEAVING, 0, 0, 1, 0,
    BURDOCK_REASON_LEAVING, YES },
  { "planned stop: an attempt that ends before it is accepted", "bA", NONE, 1, 0, 0, 0,
    NONE, YES },
  { "planned stop: an attempt that may outlast it is refused", "PA", NONE, 0, 0, 1, 0,
    BURDOCK_REASON_LEAVING, YES },
  { "planned stop: running work goes on", "AP0D", NONE, 1, 0, 0, 1, NONE, YES },
  { "end of the stop: the engine confirms", "A0Uf", NONE, 1, 1, 0, 1, NONE, UNKNOWN },
  { "end of the stop: the engine is silent", "A0UW", NONE, 1, 1, 0, 1, NONE, UNKNOWN },
  { "end of the stop: the engine is silent after a cancel", "A0cUW", NONE, 1, 1, 0, 1,
    NONE, UNKNOWN },
  { "end of the stop: a call ends nevertheless", "SUd", NONE, 1, 1, 0, 1, NONE, YES },
  { "end of the stop: not run at the engine", "SUn", NONE, 1, 1, 1, 0,
    BURDOCK_REASON_LEAVING, YES },
  { "end of the stop: an attempt is refused", "UA", NONE, 0, 0, 1, 0,
    BURDOCK_REASON_LEAVING, YES },
  { "leaving: running work is not cancelled", "L99", BURDOCK_REASON_LEAVING, 1, 0, 0, 0,
    NONE, YES },
};

static void
run_step (char step)
{
  BurdockMessage message = make_attempt (1, step == 'S');

  switch (step) {
  case 'A':
  case 'S': /* attempt 1, a stream or a call */
    receive (message, OWN_INCARNATION);
    break;
  case 'B':
  case 'C':
  case 'X': /* attempts 2, 3 and 24 */
    receive (make_attempt ((uint64_t)(step - 'A') + 1, false), OWN_INCARNATION);
    break;
  case 'a': /* late duplicate of the first frame */
    message.header.hlc = 2;
    receive (message, OWN_INCARNATION);
    break;
  case 'o': /* attempt 1 for an earlier incarnation of the agent */
    receive (message, OWN_INCARNATION - 1);
    break;
  case 'g': /* attempt 1 of an older generation */
    message.attempt.generation = 2;
    receive (message, OWN_INCARNATION);
    break;
  case 'L': /* attempt 1 with a long deadline */
    message.attempt.deadline_ms = 60000;
    receive (message, OWN_INCARNATION);
    break;
  case 'z': /* attempt 1 without time left */
    message.attempt.deadline_ms = 0;
    receive (message, OWN_INCARNATION);
    break;
  case 'c': /* cancel of attempt 1 */
    receive (make_cancel (1), OWN_INCARNATION);
    break;
  case '0': /* token 0 */
    engine_event (1, BURDOCK_ENGINE_EVENT_TOKEN, 0, 0);
    break;
  case '1': /* token 2, which leaves a gap */
    engine_event (1, BURDOCK_ENGINE_EVENT_TOKEN, 0, 2);
    break;
  case 'D': /* end after one token */
    engine_event (1, BURDOCK_ENGINE_EVENT_DONE, 0, 1);
    break;
  case 'E': /* end after two tokens */
    engine_event (1, BURDOCK_ENGINE_EVENT_DONE, 0, 2);
    break;
  case 'd': /* end of a call */
    engine_event (1, BURDOCK_ENGINE_EVENT_DONE, 0, 0);
    break;
  case 'f': /* the engine fails with an I/O error */
    engine_event (1, BURDOCK_ENGINE_EVENT_FAILED, -EIO, 0);
    break;
  case 'n': /* the engine refuses the connection */
    engine_event (1, BURDOCK_ENGINE_EVENT_FAILED, -ECONNREFUSED, 0);
    break;
  case 'l': /* the connection to the entry is lost */
    burdock_executor_peer_lost (executor, (BurdockAddress){ 9, 9 });
    break;
  case 'b': /* a planned stop begins, with time for an attempt */
    burdock_executor_begin_stop (executor, traffic.now_us + 1100 * TRAFFIC_US_PER_MS);
    break;
  case 'P': /* a planned stop begins, which ends before an attempt */
    burdock_executor_begin_stop (executor, traffic.now_us + 1099 * TRAFFIC_US_PER_MS);
    break;
  case 'U': /* the planned stop ends */
    burdock_executor_give_up (executor);
    break;
  case 'W': /* the time for last outcomes is over */
    advance (250 * TRAFFIC_US_PER_MS);
    break;
  case '9':
    advance (2 * TRAFFIC_US_PER_S);
    break;
  case 'T': /* wait until tombstones expire */
    advance (121 * TRAFFIC_US_PER_S);
    break;
  default:
    break;
  }
}

static uint32_t
engine_calls (BurdockEngineOp op)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < traffic.engine_call_count; i++)
    count += traffic.engine_calls[i].op == op;
  return count;
}

static void
run_case (const Case *test)
{
  const BurdockMessage *refusal;
  const BurdockMessage *end;
  uint32_t starts;
  uint32_t cancels;

  start (test->snapshot_refusal);
  for (const char *step = test->script; *step != '\0'; step++)
    run_step (*step);
  refusal = traffic_last_frame (&traffic, BURDOCK_MSG_ATTEMPT_REFUSED, NULL);
  end = traffic_last_frame (&traffic, BURDOCK_MSG_ATTEMPT_DONE, NULL);
  cancels = engine_calls (BURDOCK_ENGINE_CANCEL);
  starts = traffic.engine_call_count - cancels;
  if (starts != test->starts || cancels != test->cancels ||
      traffic_frame_count (&traffic, BURDOCK_MSG_ATTEMPT_REFUSED) != test->refusals ||
      traffic_frame_count (&traffic, BURDOCK_MSG_ATTEMPT_DONE) != test->ends ||
      (refusal != NULL && refusal->attempt_refused.reason != test->reason) ||
      (end != NULL && end->attempt_done.ran != test->ran)) {
    printf ("\n%s: starts %u cancels %u refusals %u ends %u reason %s ran %u\n",
            test->name, starts, cancels,
            traffic_frame_count (&traffic, BURDOCK_MSG_ATTEMPT_REFUSED),
            traffic_frame_count (&traffic, BURDOCK_MSG_ATTEMPT_DONE),
            refusal != NULL ? burdock_reason_name (refusal->attempt_refused.reason) : "-",
            end != NULL ? end->attempt_done.ran : 0);
    CU_FAIL ("outcome");
  }
  stop ();
}

static void
each_script_has_its_outcome (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (cases); i++)
    run_case (&cases[i]);
}

/* Guards against entries that route by outdated load or to a leaving agent, because load
 * and the leave notice are reported late. */
static void
load_is_reported_in_time (void)
{
  BurdockSnapshot *leaving = traffic_snapshot (0, 0, 3);
  uint32_t reports;

  start (BURDOCK_REASON_NONE);
  receive ((BurdockMessage){ .header.type = BURDOCK_MSG_LOAD }, 0);
  CU_ASSERT_EQUAL (traffic_frame_count (&traffic, BURDOCK_MSG_LOAD), 1);
  advance (1000 * TRAFFIC_US_PER_MS);
  reports = traffic_frame_count (&traffic, BURDOCK_MSG_LOAD);
  CU_ASSERT_TRUE (reports >= 2 && reports <= 4);
  receive (make_attempt (1, false), OWN_INCARNATION);
  advance (60 * TRAFFIC_US_PER_MS);
  CU_ASSERT_EQUAL (traffic_last_frame (&traffic, BURDOCK_MSG_LOAD, NULL)->load.running,
                   1);
  leaving->refusal = BURDOCK_REASON_LEAVING;
  burdock_executor_set_snapshot (executor, leaving);
  CU_ASSERT_TRUE (traffic_last_frame (&traffic, BURDOCK_MSG_LOAD, NULL)->load.leaving);
  CU_ASSERT_EQUAL (burdock_executor_in_flight (executor), 1);
  engine_event (1, BURDOCK_ENGINE_EVENT_TOKEN, 0, 0);
  engine_event (1, BURDOCK_ENGINE_EVENT_DONE, 0, 1);
  CU_ASSERT_EQUAL (burdock_executor_in_flight (executor), 0);
  stop ();
}

static const Test tests[] = {
  { "an attempt runs twice or its outcome is reported wrongly",
    each_script_has_its_outcome },
  { "load and leaving are reported late", load_is_reported_in_time },
};

int
main (void)
{
  return test_main ("executor", tests, TEST_COUNT (tests));
}
