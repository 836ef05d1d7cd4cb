#include "controller.h"
#include "error.h"
#include "test.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define S UINT64_C (1000000)
#define LIFE 77
#define SENDER_LIFE 9

/** struct Rig - one order controller with what it sent and what reached the engine */
typedef struct {
  uint64_t now_us;
  BurdockEnv env;
  BurdockCore core;
  BurdockController controller;
  uint32_t engine_calls;
  uint64_t engine_call_id;
  uint64_t engine_fence;
  char engine_name[BURDOCK_NAME_BYTES];
  uint32_t results;
  BurdockOrderResultMessage first;
  BurdockOrderResultMessage last;
} Rig;

static uint64_t
rig_now (void *ctx)
{
  return ((Rig *)ctx)->now_us;
}

static uint64_t
rig_random (void *ctx)
{
  (void)ctx;
  return 4;
}

static int
rig_send (void *ctx, BurdockAddress to, const uint8_t *frame, uint32_t length_bytes)
{
  Rig *rig = ctx;
  BurdockMessage message;
  BurdockError error;

  (void)to;
  CU_ASSERT_EQUAL (burdock_message_decode (frame, length_bytes, NULL, &message, &error),
                   0);
  if (rig->results++ == 0)
    rig->first = message.order_result;
  rig->last = message.order_result;
  return 0;
}

static int
rig_engine (void *ctx, const BurdockEngineCall *call)
{
  Rig *rig = ctx;

  rig->engine_calls++;
  rig->engine_call_id = call->id;
  rig->engine_fence = call->fence;
  burdock_copy_name (rig->engine_name, sizeof rig->engine_name, call->order_name);
  return 0;
}

static Rig *
rig_new (void)
{
  Rig *rig = calloc (1, sizeof *rig);
  BurdockSettings settings = { .name = "a", .incarnation = LIFE };

  rig->now_us = 10 * S;
  rig->env = (BurdockEnv){ .ctx = rig,
                           .now_us = rig_now,
                           .wall_us = rig_now,
                           .random_u64 = rig_random,
                           .send = rig_send,
                           .engine = rig_engine };
  rig->core.env = &rig->env;
  rig->core.timeline = burdock_timeline_new (&rig->env, 64);
  burdock_blackboard_init (&rig->core.board, &settings, rig->now_us);
  rig->controller = burdock_order_controller (&rig->core, 0);
  rig->controller.tick (rig->controller.ctx, rig->now_us);
  return rig;
}

static void
rig_free (Rig *rig)
{
  rig->controller.free (rig->controller.ctx);
  burdock_blackboard_clear (&rig->core.board);
  burdock_timeline_free (rig->core.timeline);
  free (rig);
}

static void
send_order (Rig *rig, uint64_t id, const char *subject, uint64_t fence, uint64_t target)
{
  BurdockMessage message = { .header = { .type = BURDOCK_MSG_ORDER,
                                         .sender_incarnation = SENDER_LIFE,
                                         .target_incarnation = target },
                             .order = {
                                 .order_id = id, .fence = fence, .name = "load" } };
  BurdockAddress from = { 1, 2 };

  burdock_copy_name (message.order.subject, sizeof message.order.subject, subject);
  rig->controller.message (rig->controller.ctx, from, &message);
}

static void
finish_call (Rig *rig, int32_t status)
{
  BurdockEngineEvent event = { .id = rig->engine_call_id,
                               .op = BURDOCK_ENGINE_ORDER,
                               .kind = status == 0 ? BURDOCK_ENGINE_EVENT_DONE
                                                   : BURDOCK_ENGINE_EVENT_FAILED,
                               .status = status };

  rig->controller.engine (rig->controller.ctx, &event);
}

typedef struct {
  const char *name;
  uint64_t fence;
  uint64_t target;
  const char *subject;
  int32_t status; /* of the result, once the engine has succeeded */
  uint32_t engine_calls;
} OrderCase;

/* The rows follow each other on one agent that has just started. */
static void
orders_are_fenced (void)
{
  static const OrderCase cases[] = {
    { "unknown number after a start", 7, 0, "group/a", -EAGAIN, 0 },
    { "addressed to this life", 7, LIFE, "group/a", 0, 1 },
    { "same number, not addressed", 7, 0, "group/a", 0, 2 },
    { "older number", 6, LIFE, "group/a", -EPERM, 2 },
    { "newer number", 9, 0, "group/a", 0, 3 },
    { "number that was valid before", 7, LIFE, "group/a", -EPERM, 3 },
    { "other lease, lower number", 2, LIFE, "placement", 0, 4 },
    { "no number at all", 0, LIFE, "other", -EPERM, 4 },
  };
  Rig *rig = rig_new ();

  for (uint32_t i = 0; i < TEST_COUNT (cases); i++) {
    uint32_t before = rig->engine_calls;

    send_order (rig, i + 1, cases[i].subject, cases[i].fence, cases[i].target);
    if (rig->engine_calls > before) {
      CU_ASSERT_EQUAL (rig->engine_fence, cases[i].fence);
      finish_call (rig, 0);
    }
    if (rig->last.status != cases[i].status || rig->engine_calls != cases[i].engine_calls)
      CU_FAIL (cases[i].name);
    CU_ASSERT_EQUAL (rig->last.order_id, i + 1);
  }
  rig_free (rig);
}

static void
duplicate_runs_once (void)
{
  Rig *rig = rig_new ();

  send_order (rig, 1, "g", 3, LIFE);
  send_order (rig, 1, "g", 3, LIFE);
  CU_ASSERT_EQUAL (rig->engine_calls, 1);
  finish_call (rig, -EPERM);
  CU_ASSERT_EQUAL (rig->last.status, -EPERM);
  send_order (rig, 1, "g", 3, LIFE);
  CU_ASSERT_EQUAL (rig->engine_calls, 1);
  CU_ASSERT_EQUAL (rig->results, 2);
  CU_ASSERT_EQUAL (rig->last.status, -EPERM);
  rig_free (rig);
}

static void
pause_drops_unsent_orders (void)
{
  Rig *rig = rig_new ();

  send_order (rig, 1, "g", 3, LIFE);
  send_order (rig, 2, "g", 3, LIFE);
  send_order (rig, 3, "g", 3, LIFE);
  rig->now_us += 2 * S;
  rig->controller.tick (rig->controller.ctx, rig->now_us);
  CU_ASSERT_EQUAL (rig->results, 2);
  CU_ASSERT_EQUAL (rig->last.status, -ESTALE);
  finish_call (rig, 0);
  CU_ASSERT_EQUAL (rig->engine_calls, 1);
  CU_ASSERT_EQUAL (rig->last.order_id, 1);
  CU_ASSERT_EQUAL (rig->last.status, 0);
  rig_free (rig);
}

/* The engine's answer may be the first that a paused agent handles when it wakes. */
static void
pause_is_noticed_before_the_next_order_is_sent (void)
{
  Rig *rig = rig_new ();

  send_order (rig, 1, "g", 3, LIFE);
  send_order (rig, 2, "g", 3, LIFE);
  rig->now_us += 2 * S;
  finish_call (rig, 0);
  CU_ASSERT_EQUAL (rig->engine_calls, 1);
  CU_ASSERT_EQUAL (rig->results, 2);
  CU_ASSERT_EQUAL (rig->first.order_id, 2);
  CU_ASSERT_EQUAL (rig->first.status, -ESTALE);
  CU_ASSERT_EQUAL (rig->last.order_id, 1);
  rig_free (rig);
}

static void
waiting_order_is_overtaken (void)
{
  Rig *rig = rig_new ();

  send_order (rig, 1, "g", 3, LIFE);
  send_order (rig, 2, "g", 3, LIFE);
  send_order (rig, 3, "g", 4, LIFE);
  finish_call (rig, 0);
  CU_ASSERT_EQUAL (rig->engine_calls, 2);
  CU_ASSERT_EQUAL (rig->engine_fence, 4);
  CU_ASSERT_EQUAL (rig->last.order_id, 2);
  CU_ASSERT_EQUAL (rig->last.status, -EPERM);
  rig_free (rig);
}

static const Test tests[] = {
  { "an order of a former lease holder is carried out", orders_are_fenced },
  { "an order that arrives twice runs twice", duplicate_runs_once },
  { "orders taken before a pause are sent after it", pause_drops_unsent_orders },
  { "an answer after a pause sends the next stale order",
    pause_is_noticed_before_the_next_order_is_sent },
  { "an order that waits is sent after a newer holder has acted",
    waiting_order_is_overtaken },
};

int
main (void)
{
  return test_main ("order", tests, TEST_COUNT (tests));
}
