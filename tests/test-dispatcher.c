/* Tests one dispatcher against scripted agents, store and caller. The cases guard against
 * requests that run more often than allowed, end with the wrong outcome, or hang. */
#include "request.h"
#include "test.h"
#include "traffic.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define OWN_INCARNATION 77
#define AGENT_INCARNATION 5
#define DEADLINE_MS 4000

static TrafficEnv traffic;
static BurdockDispatcher *dispatcher;

static void
start (uint32_t agents)
{
  BurdockSettings settings = { .name = "e", .incarnation = OWN_INCARNATION };

  traffic_init (&traffic);
  dispatcher = burdock_dispatcher_new (&settings, &traffic.env);
  burdock_dispatcher_set_snapshot (dispatcher,
                                   traffic_snapshot (agents, AGENT_INCARNATION, 3));
}

static void
stop (void)
{
  burdock_dispatcher_free (dispatcher);
  traffic_clear (&traffic);
}

static void
submit (uint64_t handle, bool idempotent, bool service, const char *key)
{
  BurdockRequest request = { .handle = handle,
                             .workspace = "w",
                             .idempotent = idempotent,
                             .deadline_ms = DEADLINE_MS,
                             .body = { (const uint8_t *)"prompt", 6 } };

  snprintf (request.key, sizeof request.key, "%s", key);
  if (service)
    strcpy (request.service, TRAFFIC_SERVICE);
  else
    strcpy (request.model, TRAFFIC_MODEL);
  burdock_dispatcher_submit (dispatcher, &request);
}

static void
advance (uint64_t by_us)
{
  uint64_t until_us = traffic.now_us + by_us;

  while (traffic.now_us < until_us) {
    traffic.now_us += 10 * TRAFFIC_US_PER_MS;
    burdock_dispatcher_tick (dispatcher);
  }
}

/* Returns the last attempt sent, or NULL, and the agent that it was sent to. */
static const BurdockMessage *
last_attempt (uint64_t *agent)
{
  BurdockAddress to = { 0 };
  const BurdockMessage *message = traffic_last_frame (&traffic, BURDOCK_MSG_ATTEMPT, &to);

  if (agent != NULL)
    *agent = to.ipv4;
  return message;
}

static void
receive_frame (uint64_t id, uint64_t incarnation, BurdockMessage message)
{
  uint8_t *frame;
  uint32_t length_bytes;

  message.header.sender_id = id;
  message.header.sender_incarnation = incarnation;
  message.header.target_incarnation = OWN_INCARNATION;
  burdock_message_encode (&message, &(BurdockFrameKeys){ 0 }, &frame, &length_bytes);
  burdock_dispatcher_receive (dispatcher, (BurdockAddress){ (uint32_t)id, 1 }, frame,
                              length_bytes);
  free (frame);
}

static void
receive_token (uint32_t number, uint64_t agent, uint32_t index)
{
  BurdockMessage message = { .header.type = BURDOCK_MSG_TOKEN };

  message.token =
      (BurdockTokenMessage){ .request_id = last_attempt (NULL)->attempt.request_id,
                             .attempt = number,
                             .index = index,
                             .text = { (const uint8_t *)"t", 1 } };
  receive_frame (agent, AGENT_INCARNATION, message);
}

static void
receive_done (uint32_t number, uint64_t agent, int32_t status, uint32_t tokens)
{
  BurdockMessage message = { .header.type = BURDOCK_MSG_ATTEMPT_DONE };

  message.attempt_done = (BurdockAttemptDoneMessage){
    .request_id = last_attempt (NULL)->attempt.request_id,
    .attempt = number,
    .status = status,
    .ran = status == 0 ? BURDOCK_RAN_YES : BURDOCK_RAN_UNKNOWN,
    .token_count = tokens,
    .body = { (const uint8_t *)"answer", 6 },
  };
  receive_frame (agent, AGENT_INCARNATION, message);
}

static void
receive_refused (uint32_t number, uint64_t agent, BurdockReason reason)
{
  BurdockMessage message = { .header.type = BURDOCK_MSG_ATTEMPT_REFUSED };

  message.attempt_refused = (BurdockAttemptRefusedMessage){
    .request_id = last_attempt (NULL)->attempt.request_id,
    .attempt = number,
    .reason = reason,
    .generation = 4,
  };
  receive_frame (agent, AGENT_INCARNATION, message);
}

static void
complete_store_call (int status, uint64_t version, const char *value)
{
  BurdockStoreResult result = {
    .id = traffic.store_call_id,
    .op = BURDOCK_STORE_ROW_PUT_IF,
    .status = status,
    .version = version,
    .value = { (const uint8_t *)value, (uint32_t)strlen (value) },
  };

  burdock_dispatcher_store_done (dispatcher, &result);
}

/* Runs one step of a script that delivers a frame or a loss; @next is the index of the
 * next token. */
static void
run_frame_step (char step, uint32_t *next)
{
  uint64_t agent;
  const BurdockMessage *current = last_attempt (&agent);
  uint32_t number = current != NULL ? current->attempt.attempt : 0;

  switch (step) {
  case 't': /* next token */
    receive_token (number, agent, (*next)++);
    break;
  case 'o': /* token of the previous attempt */
    receive_token (number - 1, agent, *next);
    break;
  case 'p': /* token from another agent */
    receive_token (number, agent + 1, *next);
    break;
  case 'r': /* duplicate of the last token */
    receive_token (number, agent, *next - 1);
    break;
  case 'g': /* gap: the token after the next one */
    receive_token (number, agent, *next + 1);
    break;
  case 'D': /* done, answer complete */
    receive_done (number, agent, 0, *next);
    break;
  case 'O': /* done, of the previous attempt */
    receive_done (number - 1, agent, 0, *next);
    break;
  case 'd': /* done with a token missing */
    receive_done (number, agent, 0, *next + 1);
    break;
  case 'e': /* failed at the engine */
    receive_done (number, agent, -EIO, 0);
    break;
  case 'R': /* refused */
    receive_refused (number, agent, BURDOCK_REASON_UPSTREAM_FAILED);
    break;
  case 'Q': /* refusal of the previous attempt */
    receive_refused (number - 1, agent, BURDOCK_REASON_UPSTREAM_FAILED);
    break;
  case 'G': /* refused, as the agent has a newer generation */
    receive_refused (number, agent, BURDOCK_REASON_STALE_GENERATION);
    break;
  case 'n': /* load report of a later incarnation of the agent */
    receive_frame (agent, AGENT_INCARNATION + 1,
                   (BurdockMessage){ .header.type = BURDOCK_MSG_LOAD });
    break;
  case 'x': /* connection lost */
  case 'X': /* connection never established */
    burdock_dispatcher_peer_lost (dispatcher, (BurdockAddress){ (uint32_t)agent, 1 },
                                  step == 'x');
    break;
  default:
    CU_FAIL ("unknown step");
  }
}

static void
run_step (char step, uint32_t *next, bool idempotent, bool service)
{
  switch (step) {
  case 'C': /* store: row written */
    complete_store_call (0, 1, "");
    break;
  case 'T': /* store: row is claimed by another request */
    complete_store_call (-EEXIST, 1, "{\"state\":\"claimed\",\"time_s\":1}");
    break;
  case 'V': /* store: row was released by another request */
    complete_store_call (-EEXIST, 6, "{\"state\":\"released\",\"time_s\":1}");
    break;
  case 'F': /* store: outcome unknown */
    complete_store_call (-ETIMEDOUT, 0, "");
    break;
  case 'k': /* a second request with the same key */
    submit (2, idempotent, service, "key");
    break;
  case 'c': /* the caller disconnects */
    burdock_dispatcher_cancel (dispatcher, 1);
    break;
  case 's': /* from now on, sending fails */
    traffic.send_status = -EHOSTUNREACH;
    break;
  case 'u': /* sending works again */
    traffic.send_status = 0;
    break;
  case 'S': /* the entry receives the newer generation */
    burdock_dispatcher_set_snapshot (dispatcher,
                                     traffic_snapshot (2, AGENT_INCARNATION, 4));
    break;
  case 'b': /* a planned stop begins, with time for the request */
    burdock_dispatcher_begin_stop (dispatcher, traffic.now_us + (DEADLINE_MS + 100) *
                                                                    TRAFFIC_US_PER_MS);
    break;
  case 'B': /* a planned stop begins, which ends before the request */
    burdock_dispatcher_begin_stop (dispatcher, traffic.now_us + (DEADLINE_MS + 99) *
                                                                    TRAFFIC_US_PER_MS);
    break;
  case 'U': /* the planned stop ends */
    burdock_dispatcher_give_up (dispatcher);
    break;
  case 'm': /* a second request with another key */
    submit (2, idempotent, service, "other");
    break;
  case 'w': /* wait for the backoff */
    advance (300 * TRAFFIC_US_PER_MS);
    break;
  case 'W': /* wait for the deadline */
    advance ((DEADLINE_MS + 100) * TRAFFIC_US_PER_MS);
    break;
  default:
    run_frame_step (step, next);
  }
}

/*
 * @work: STREAM is an idempotent stream of a model; the others are not idempotent
 * @script: steps of run_step() and run_frame_step() after the submission
 * @attempts: attempts sent
 * @cancels: cancels sent
 * @last: last delivery
 */
typedef struct {
  const char *name;
  enum { STREAM, UNIQUE_STREAM, UNIQUE_CALL } work;
  const char *script;
  uint32_t attempts;
  uint32_t cancels;
  BurdockDelivery last;
} Case;

#define END(tokens)                                                                      \
  {                                                                                      \
    .handle = 1, .kind = BURDOCK_DELIVERY_END, .token_count = (tokens)                   \
  }
#define ENDED(handle_, kind_, reason_, ran_)                                             \
  {                                                                                      \
    .handle = (handle_), .kind = BURDOCK_DELIVERY_##kind_,                               \
    .reason = BURDOCK_REASON_##reason_, .ran = BURDOCK_RAN_##ran_                        \
  }
#define TOKEN                                                                            \
  {                                                                                      \
    .handle = 1, .kind = BURDOCK_DELIVERY_TOKEN                                          \
  }
#define NOTHING                                                                          \
  {                                                                                      \
    0                                                                                    \
  }

static const Case cases[] = {
  { "plain stream", STREAM, "tttD", 1, 0, END (3) },
  { "duplicate token", STREAM, "ttrrtD", 1, 0, END (3) },
  { "token from another agent", STREAM, "tptD", 1, 0, END (2) },
  { "token lost: resume", STREAM, "tgwttD", 2, 1, END (3) },
  { "end with a token missing: resume", STREAM, "tdwtD", 2, 0, END (2) },
  { "connection lost: resume", STREAM, "ttxwttD", 2, 0, END (4) },
  { "late token and end of the previous attempt", STREAM, "txwoOtD", 2, 0, END (2) },
  { "late refusal of the previous attempt", STREAM, "txwQtD", 2, 0, END (2) },
  { "agent restarted", STREAM, "tnwtD", 2, 0, END (2) },
  { "engine failed", STREAM, "ewD", 2, 0, END (0) },
  { "fails every time", STREAM, "ewewewewew", 5, 0,
    ENDED (1, REFUSED, UPSTREAM_FAILED, UNKNOWN) },
  { "deadline in a stream", STREAM, "tW", 1, 1, ENDED (1, BROKEN, DEADLINE, UNKNOWN) },
  { "late end after the deadline", STREAM, "tWD", 1, 1,
    ENDED (1, BROKEN, DEADLINE, UNKNOWN) },
  { "caller disconnects", STREAM, "tctD", 1, 1, TOKEN },
  { "refused, deadline while waiting", STREAM, "GW", 1, 0,
    ENDED (1, REFUSED, DEADLINE, NOT_RUN) },
  { "generation too old: retry with the newer one", STREAM, "GwSwD", 2, 0, END (0) },
  { "never connected: not run", STREAM, "XwD", 2, 0, END (0) },
  { "claimed, answered", UNIQUE_CALL, "CD", 1, 0, END (0) },
  { "nothing sent before the claim", UNIQUE_CALL, "", 0, 0, NOTHING },
  { "claim taken", UNIQUE_CALL, "T", 0, 0, ENDED (1, REFUSED, CLAIMED, UNKNOWN) },
  { "claim released by another", UNIQUE_CALL, "VCD", 1, 0, END (0) },
  { "outcome of the claim unknown: refused, never sent", UNIQUE_CALL, "Fw", 0, 0,
    ENDED (1, REFUSED, STORE_DOWN, NOT_RUN) },
  { "claim arrives after the deadline", UNIQUE_CALL, "WC", 0, 0,
    ENDED (1, REFUSED, DEADLINE, NOT_RUN) },
  { "caller disconnects while claiming", UNIQUE_CALL, "cCw", 0, 0, NOTHING },
  { "connection lost in a call: unknown", UNIQUE_CALL, "Cxw", 1, 0,
    ENDED (1, REFUSED, UPSTREAM_FAILED, UNKNOWN) },
  { "agent restarted in a call", UNIQUE_CALL, "Cnw", 1, 0,
    ENDED (1, REFUSED, UPSTREAM_FAILED, UNKNOWN) },
  { "call failed: unknown", UNIQUE_CALL, "Cew", 1, 0,
    ENDED (1, REFUSED, UPSTREAM_FAILED, UNKNOWN) },
  { "call at its deadline", UNIQUE_CALL, "CW", 1, 1,
    ENDED (1, REFUSED, DEADLINE, UNKNOWN) },
  { "call never connected: retry", UNIQUE_CALL, "CXwD", 2, 0, END (0) },
  { "call refused: retry", UNIQUE_CALL, "CRwD", 2, 0, END (0) },
  { "call refused until the deadline: claim released, not run", UNIQUE_CALL, "CGWC", 1, 0,
    ENDED (1, REFUSED, DEADLINE, NOT_RUN) },
  { "refusal of an earlier attempt does not prove not run", UNIQUE_CALL, "CRwQw", 2, 0,
    NOTHING },
  { "connection lost in a non-idempotent stream", UNIQUE_STREAM, "Ctxw", 1, 0,
    ENDED (1, BROKEN, UPSTREAM_FAILED, UNKNOWN) },
  { "same key while claiming", UNIQUE_CALL, "k", 0, 0,
    ENDED (2, REFUSED, CLAIMED, UNKNOWN) },
  { "same key while it runs", UNIQUE_CALL, "Ck", 1, 0,
    ENDED (2, REFUSED, CLAIMED, UNKNOWN) },
  { "same key after the answer",
    UNIQUE_CALL,
    "CDk",
    1,
    0,
    { .handle = 2, .kind = BURDOCK_DELIVERY_END } },
  { "same key after an unknown outcome", UNIQUE_CALL, "Cxk", 1, 0,
    ENDED (2, REFUSED, CLAIMED, UNKNOWN) },
  { "sending fails: another upstream", STREAM, "xswuwwwwwD", 2, 0, END (0) },
  { "planned stop: the request goes on", STREAM, "tBtD", 1, 0, END (2) },
  { "planned stop: a request that ends before it is taken",
    STREAM,
    "Dbm",
    2,
    0,
    { .handle = 1, .kind = BURDOCK_DELIVERY_END } },
  { "planned stop: a request that may outlast it is refused", STREAM, "DBm", 1, 0,
    ENDED (2, REFUSED, LEAVING, NOT_RUN) },
  { "planned stop: the same for a call, before its claim", UNIQUE_CALL, "CDBm", 1, 0,
    ENDED (2, REFUSED, LEAVING, NOT_RUN) },
  { "planned stop: the answer of a repeated key is delivered",
    UNIQUE_CALL,
    "CDBk",
    1,
    0,
    { .handle = 2, .kind = BURDOCK_DELIVERY_END } },
  { "end of the stop in a stream", STREAM, "ttBUtw", 1, 1,
    ENDED (1, BROKEN, LEAVING, UNKNOWN) },
  { "end of the stop before the first token", STREAM, "BUtw", 1, 1,
    ENDED (1, REFUSED, LEAVING, UNKNOWN) },
  { "end of the stop without the start of one: second signal", STREAM, "tU", 1, 1,
    ENDED (1, BROKEN, LEAVING, UNKNOWN) },
  { "end of the stop while it waits: not run", STREAM, "GBU", 1, 0,
    ENDED (1, REFUSED, LEAVING, NOT_RUN) },
  { "end of the stop in a call", UNIQUE_CALL, "CBUw", 1, 1,
    ENDED (1, REFUSED, LEAVING, UNKNOWN) },
  { "end of the stop while claiming: not run", UNIQUE_CALL, "BUC", 0, 0,
    ENDED (1, REFUSED, LEAVING, NOT_RUN) },
  { "end of the stop, claim held: answered once it is released", UNIQUE_CALL, "CGBUw", 1,
    0, NOTHING },
  { "end of the stop, claim released: not run", UNIQUE_CALL, "CGBUC", 1, 0,
    ENDED (1, REFUSED, LEAVING, NOT_RUN) },
  { "end of the stop, the store is silent: not run", UNIQUE_CALL, "CGBUww", 1, 0,
    ENDED (1, REFUSED, LEAVING, NOT_RUN) },
  { "end of the stop while a refusal waits for the store", UNIQUE_CALL, "CGWBUww", 1, 0,
    ENDED (1, REFUSED, DEADLINE, NOT_RUN) },
  { "after the end of the stop: not run", STREAM, "DUm", 1, 0,
    ENDED (2, REFUSED, LEAVING, NOT_RUN) },
};

static void
run_case (const Case *test)
{
  BurdockDelivery expected = test->last;
  BurdockDelivery got = { 0 };
  uint32_t next = 0;

  start (2);
  submit (1, test->work == STREAM, test->work == UNIQUE_CALL, "key");
  for (const char *step = test->script; *step != '\0'; step++)
    run_step (*step, &next, test->work == STREAM, test->work == UNIQUE_CALL);
  if (traffic.delivery_count > 0)
    got = traffic.deliveries[(traffic.delivery_count - 1) % TRAFFIC_LOG_MAX];
  if (got.handle != expected.handle || got.kind != expected.kind ||
      got.reason != expected.reason || got.ran != expected.ran ||
      (got.kind == BURDOCK_DELIVERY_END && got.token_count != expected.token_count) ||
      traffic_frame_count (&traffic, BURDOCK_MSG_ATTEMPT) != test->attempts ||
      traffic_frame_count (&traffic, BURDOCK_MSG_ATTEMPT_CANCEL) != test->cancels) {
    printf ("\n%s: handle %u kind %u reason %s ran %u tokens %u attempts %u cancels %u\n",
            test->name, (unsigned)got.handle, got.kind, burdock_reason_name (got.reason),
            got.ran, got.token_count, traffic_frame_count (&traffic, BURDOCK_MSG_ATTEMPT),
            traffic_frame_count (&traffic, BURDOCK_MSG_ATTEMPT_CANCEL));
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

/* Guards against a resumed stream that starts from its first token again, or is sent
 * without the text delivered so far. */
static void
resume_carries_offset_and_text (void)
{
  uint64_t first;
  uint64_t second;
  uint32_t next = 0;

  start (2);
  submit (1, true, false, "key");
  last_attempt (&first);
  for (const char *step = "ttxw"; *step != '\0'; step++)
    run_step (*step, &next, true, false);
  CU_ASSERT_EQUAL (last_attempt (&second)->attempt.resume_from, 2);
  CU_ASSERT_EQUAL (last_attempt (NULL)->attempt.delivered.length_bytes, 2);
  CU_ASSERT_NOT_EQUAL (first, second);
  stop ();
}

typedef struct {
  const char *name;
  BurdockReason refusal;
  bool store_available;
  const char *workspace;
  BurdockReason reason;
} SubmitCase;

static const SubmitCase submit_cases[] = {
  { "isolated", BURDOCK_REASON_ISOLATED, true, "w", BURDOCK_REASON_ISOLATED },
  { "leaving", BURDOCK_REASON_LEAVING, true, "w", BURDOCK_REASON_LEAVING },
  { "store down", BURDOCK_REASON_NONE, false, "w", BURDOCK_REASON_STORE_DOWN },
  { "no grant", BURDOCK_REASON_NONE, true, "stranger", BURDOCK_REASON_NOT_ALLOWED },
};

/* Guards against requests that are accepted, or reported as possibly run, although the
 * entry must refuse them at submission. */
static void
refusals_before_any_work_are_not_run (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (submit_cases); i++) {
    const SubmitCase *test = &submit_cases[i];
    BurdockSnapshot *snapshot = traffic_snapshot (1, AGENT_INCARNATION, 3);
    BurdockRequest request = { .handle = 1, .key = "k", .service = TRAFFIC_SERVICE };

    start (1);
    snapshot->refusal = test->refusal;
    snapshot->store_available = test->store_available;
    burdock_dispatcher_set_snapshot (dispatcher, snapshot);
    snprintf (request.workspace, sizeof request.workspace, "%s", test->workspace);
    burdock_dispatcher_submit (dispatcher, &request);
    CU_ASSERT_EQUAL (traffic.delivery_count, 1);
    CU_ASSERT_EQUAL (traffic.deliveries[0].reason, test->reason);
    CU_ASSERT_EQUAL (traffic.deliveries[0].ran, BURDOCK_RAN_NOT_RUN);
    CU_ASSERT_EQUAL (traffic.store_call_count, 0);
    stop ();
  }
}

/* Guards against a stream that waits for its deadline at a stalled agent: the connection
 * stays open, but no frame arrives. */
static void
stream_is_resumed_when_agent_stalls (void)
{
  uint64_t agent;
  uint32_t next = 0;

  start (2);
  submit (1, true, false, "key");
  last_attempt (&agent);
  receive_frame (agent, AGENT_INCARNATION,
                 (BurdockMessage){ .header.type = BURDOCK_MSG_LOAD });
  run_step ('t', &next, true, false);
  advance (3500 * TRAFFIC_US_PER_MS);
  CU_ASSERT_EQUAL (traffic_frame_count (&traffic, BURDOCK_MSG_ATTEMPT), 2);
  CU_ASSERT_EQUAL (traffic_frame_count (&traffic, BURDOCK_MSG_ATTEMPT_CANCEL), 1);
  stop ();
}

#define LARGE_TOKEN_BYTES (512u << 10)

/* Guards against an entry that keeps the tokens of an upstream that never ends its answer
 * until its memory is used up. */
static void
endless_answer_ends_the_request (void)
{
  const uint32_t count = BURDOCK_ANSWER_MAX_BYTES / LARGE_TOKEN_BYTES;
  uint8_t *text = calloc (1, LARGE_TOKEN_BYTES);
  BurdockMessage message = { .header.type = BURDOCK_MSG_TOKEN };
  uint64_t agent;

  start (2);
  submit (1, true, false, "key");
  message.token =
      (BurdockTokenMessage){ .request_id = last_attempt (&agent)->attempt.request_id,
                             .attempt = 1,
                             .text = { text, LARGE_TOKEN_BYTES } };
  for (; message.token.index <= count; message.token.index++)
    receive_frame (agent, AGENT_INCARNATION, message);
  CU_ASSERT_EQUAL (traffic.delivery_count, count + 1);
  CU_ASSERT_EQUAL (traffic.deliveries[count].kind, BURDOCK_DELIVERY_BROKEN);
  CU_ASSERT_EQUAL (traffic.deliveries[count].ran, BURDOCK_RAN_UNKNOWN);
  CU_ASSERT_EQUAL (traffic_frame_count (&traffic, BURDOCK_MSG_ATTEMPT), 1);
  CU_ASSERT_EQUAL (traffic_frame_count (&traffic, BURDOCK_MSG_ATTEMPT_CANCEL), 1);
  stop ();
  free (text);
}

typedef struct {
  uint64_t agent;
  BurdockMessage token;
} LargeAnswer;

/* Receives tokens of LARGE_TOKEN_BYTES until @until of them have been sent. */
static void
receive_large_tokens (LargeAnswer *answer, uint32_t until)
{
  for (; answer->token.token.index < until; answer->token.token.index++)
    receive_frame (answer->agent, AGENT_INCARNATION, answer->token);
}

static uint32_t
count_deliveries (uint64_t handle, BurdockDeliveryKind kind)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < traffic.delivery_count; i++)
    count += traffic.deliveries[i].handle == handle && traffic.deliveries[i].kind == kind;
  return count;
}

#define LARGE_ANSWER_COUNT 4

/* Guards against large answers, each within its limit, that together take the memory of
 * an entry and with it the requests of all callers: the largest one ends. */
static void
large_answers_end_before_those_of_others (void)
{
  static const uint32_t token_counts[LARGE_ANSWER_COUNT] = { 10, 12, 8, 2 };
  uint8_t *text = calloc (1, LARGE_TOKEN_BYTES);
  LargeAnswer answers[LARGE_ANSWER_COUNT] = { 0 };

  start (2);
  for (uint32_t i = 0; i < LARGE_ANSWER_COUNT; i++) {
    char key[8];

    snprintf (key, sizeof key, "k%u", i);
    submit (i + 1, true, false, key);
    answers[i].token.header.type = BURDOCK_MSG_TOKEN;
    answers[i].token.token =
        (BurdockTokenMessage){ .request_id =
                                   last_attempt (&answers[i].agent)->attempt.request_id,
                               .attempt = 1,
                               .text = { text, LARGE_TOKEN_BYTES } };
    receive_large_tokens (&answers[i], token_counts[i]);
  }
  CU_ASSERT_EQUAL (traffic_frame_count (&traffic, BURDOCK_MSG_ATTEMPT_CANCEL), 0);
  receive_large_tokens (&answers[3], token_counts[3] + 1);
  CU_ASSERT_EQUAL (traffic_frame_count (&traffic, BURDOCK_MSG_ATTEMPT_CANCEL), 1);
  CU_ASSERT_EQUAL (count_deliveries (2, BURDOCK_DELIVERY_BROKEN), 1);
  CU_ASSERT_EQUAL (count_deliveries (4, BURDOCK_DELIVERY_TOKEN), token_counts[3] + 1);
  /* The memory of the ended request is free for others, and its tokens are dropped. */
  receive_large_tokens (&answers[1], token_counts[1] + 1);
  receive_large_tokens (&answers[2], token_counts[2] + 4);
  CU_ASSERT_EQUAL (traffic_frame_count (&traffic, BURDOCK_MSG_ATTEMPT_CANCEL), 1);
  CU_ASSERT_EQUAL (count_deliveries (2, BURDOCK_DELIVERY_TOKEN), token_counts[1]);
  CU_ASSERT_EQUAL (count_deliveries (3, BURDOCK_DELIVERY_TOKEN), token_counts[2] + 4);
  CU_ASSERT_EQUAL (traffic_frame_count (&traffic, BURDOCK_MSG_ATTEMPT),
                   LARGE_ANSWER_COUNT);
  stop ();
  free (text);
}

static const Test tests[] = {
  { "an answer without end takes all memory", endless_answer_ends_the_request },
  { "large answers together take all memory", large_answers_end_before_those_of_others },
  { "a request has the wrong outcome or runs too often", each_script_has_its_outcome },
  { "a resumed stream repeats or loses tokens", resume_carries_offset_and_text },
  { "a request is accepted that must be refused", refusals_before_any_work_are_not_run },
  { "a stream hangs at a stalled agent", stream_is_resumed_when_agent_stalls },
};

int
main (void)
{
  return test_main ("dispatcher", tests, TEST_COUNT (tests));
}
