#include "controller.h"
#include "error.h"
#include "test.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_S UINT64_C (1000000)
#define INCARNATION 77
#define SENDER_INCARNATION 9

/** struct Fixture - one order controller with its results and engine calls */
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
} Fixture;

static uint64_t
fixture_now (void *ctx)
{
  return ((Fixture *)ctx)->now_us;
}

static uint64_t
fixture_random (void *ctx)
{
  (void)ctx;
  return 4;
}

static int
fixture_send (void *ctx, BurdockAddress to, const uint8_t *frame, uint32_t length_bytes)
{
  Fixture *fixture = ctx;
  BurdockMessage message;
  BurdockError error;

  (void)to;
  CU_ASSERT_EQUAL (burdock_message_decode (frame, length_bytes, NULL, &message, &error),
                   0);
  if (fixture->results++ == 0)
    fixture->first = message.order_result;
  fixture->last = message.order_result;
  return 0;
}

static int
fixture_engine (void *ctx, const BurdockEngineCall *call)
{
  Fixture *fixture = ctx;

  fixture->engine_calls++;
  fixture->engine_call_id = call->id;
  fixture->engine_fence = call->fence;
  burdock_copy_name (fixture->engine_name, sizeof fixture->engine_name, call->order_name);
  return 0;
}

static Fixture *
fixture_new (void)
{
  Fixture *fixture = calloc (1, sizeof *fixture);
  BurdockSettings settings = { .name = "a", .incarnation = INCARNATION };

  fixture->now_us = 10 * US_PER_S;
  fixture->env = (BurdockEnv){ .ctx = fixture,
                               .now_us = fixture_now,
                               .wall_us = fixture_now,
                               .random_u64 = fixture_random,
                               .send = fixture_send,
                               .engine = fixture_engine };
  fixture->core.env = &fixture->env;
  fixture->core.timeline = burdock_timeline_new (&fixture->env, 64);
  burdock_blackboard_init (&fixture->core.board, &settings, fixture->now_us);
  fixture->controller = burdock_order_controller (&fixture->core, 0);
  fixture->controller.tick (fixture->controller.ctx, fixture->now_us);
  return fixture;
}

static void
fixture_free (Fixture *fixture)
{
  fixture->controller.free (fixture->controller.ctx);
  burdock_blackboard_clear (&fixture->core.board);
  burdock_timeline_free (fixture->core.timeline);
  free (fixture);
}

static void
send_order (Fixture *fixture, uint64_t id, const char *subject, uint64_t fence,
            uint64_t target)
{
  BurdockMessage message = { .header = { .type = BURDOCK_MSG_ORDER,
                                         .sender_incarnation = SENDER_INCARNATION,
                                         .target_incarnation = target },
                             .order = {
                                 .order_id = id, .fence = fence, .name = "load" } };
  BurdockAddress from = { 1, 2 };

  burdock_copy_name (message.order.subject, sizeof message.order.subject, subject);
  fixture->controller.message (fixture->controller.ctx, from, &message);
}

static void
finish_call (Fixture *fixture, int32_t status)
{
  BurdockEngineEvent event = { .id = fixture->engine_call_id,
                               .op = BURDOCK_ENGINE_ORDER,
                               .kind = status == 0 ? BURDOCK_ENGINE_EVENT_DONE
                                                   : BURDOCK_ENGINE_EVENT_FAILED,
                               .status = status };

  fixture->controller.engine (fixture->controller.ctx, &event);
}

typedef struct {
  const char *name;
  uint64_t fence;
  uint64_t target;
  const char *subject;
  int32_t status; /* of the result, once the engine has succeeded */
  uint32_t engine_calls;
} OrderCase;

/* A delayed order of a former lease holder must not run, neither after a newer one has
 * been seen nor on an agent that has just started and knows no fencing token. The cases
 * run in sequence on one such agent. */
static void
orders_are_fenced (void)
{
  static const OrderCase cases[] = {
    { "no fencing token known after a start", 7, 0, "group/a", -EAGAIN, 0 },
    { "addressed to this incarnation", 7, INCARNATION, "group/a", 0, 1 },
    { "same fencing token, not addressed", 7, 0, "group/a", 0, 2 },
    { "older fencing token", 6, INCARNATION, "group/a", -EPERM, 2 },
    { "newer fencing token", 9, 0, "group/a", 0, 3 },
    { "fencing token that was valid before", 7, INCARNATION, "group/a", -EPERM, 3 },
    { "other lease, lower fencing token", 2, INCARNATION, "placement", 0, 4 },
    { "order without fencing token", 0, INCARNATION, "other", -EPERM, 4 },
  };
  Fixture *fixture = fixture_new ();

  for (uint32_t i = 0; i < TEST_COUNT (cases); i++) {
    uint32_t before = fixture->engine_calls;

    send_order (fixture, i + 1, cases[i].subject, cases[i].fence, cases[i].target);
    if (fixture->engine_calls > before) {
      CU_ASSERT_EQUAL (fixture->engine_fence, cases[i].fence);
      finish_call (fixture, 0);
    }
    if (fixture->last.status != cases[i].status ||
        fixture->engine_calls != cases[i].engine_calls)
      CU_FAIL (cases[i].name);
    CU_ASSERT_EQUAL (fixture->last.order_id, i + 1);
  }
  fixture_free (fixture);
}

/* A sender that got no result sends its order again. The order must not run again,
 * neither while it is pending nor after it has ended; its result is sent again. */
static void
duplicate_runs_once (void)
{
  Fixture *fixture = fixture_new ();

  send_order (fixture, 1, "g", 3, INCARNATION);
  send_order (fixture, 1, "g", 3, INCARNATION);
  CU_ASSERT_EQUAL (fixture->engine_calls, 1);
  finish_call (fixture, -EPERM);
  CU_ASSERT_EQUAL (fixture->last.status, -EPERM);
  send_order (fixture, 1, "g", 3, INCARNATION);
  CU_ASSERT_EQUAL (fixture->engine_calls, 1);
  CU_ASSERT_EQUAL (fixture->results, 2);
  CU_ASSERT_EQUAL (fixture->last.status, -EPERM);
  fixture_free (fixture);
}

/* A newer lease holder may have issued orders while the agent was paused, so orders
 * queued before the pause must not run after it. */
static void
pause_rejects_unsent_orders (void)
{
  Fixture *fixture = fixture_new ();

  send_order (fixture, 1, "g", 3, INCARNATION);
  send_order (fixture, 2, "g", 3, INCARNATION);
  send_order (fixture, 3, "g", 3, INCARNATION);
  fixture->now_us += 2 * US_PER_S;
  fixture->controller.tick (fixture->controller.ctx, fixture->now_us);
  CU_ASSERT_EQUAL (fixture->results, 2);
  CU_ASSERT_EQUAL (fixture->last.status, -ESTALE);
  finish_call (fixture, 0);
  CU_ASSERT_EQUAL (fixture->engine_calls, 1);
  CU_ASSERT_EQUAL (fixture->last.order_id, 1);
  CU_ASSERT_EQUAL (fixture->last.status, 0);
  fixture_free (fixture);
}

/* The answer of the engine may be the first event after a pause. It must not start the
 * next order, which was queued before the pause. */
static void
pause_is_detected_before_the_next_order_runs (void)
{
  Fixture *fixture = fixture_new ();

  send_order (fixture, 1, "g", 3, INCARNATION);
  send_order (fixture, 2, "g", 3, INCARNATION);
  fixture->now_us += 2 * US_PER_S;
  finish_call (fixture, 0);
  CU_ASSERT_EQUAL (fixture->engine_calls, 1);
  CU_ASSERT_EQUAL (fixture->results, 2);
  CU_ASSERT_EQUAL (fixture->first.order_id, 2);
  CU_ASSERT_EQUAL (fixture->first.status, -ESTALE);
  CU_ASSERT_EQUAL (fixture->last.order_id, 1);
  fixture_free (fixture);
}

/* An order that waits in the queue must not run if an order with a newer fencing token
 * has arrived since. */
static void
waiting_order_is_superseded (void)
{
  Fixture *fixture = fixture_new ();

  send_order (fixture, 1, "g", 3, INCARNATION);
  send_order (fixture, 2, "g", 3, INCARNATION);
  send_order (fixture, 3, "g", 4, INCARNATION);
  finish_call (fixture, 0);
  CU_ASSERT_EQUAL (fixture->engine_calls, 2);
  CU_ASSERT_EQUAL (fixture->engine_fence, 4);
  CU_ASSERT_EQUAL (fixture->last.order_id, 2);
  CU_ASSERT_EQUAL (fixture->last.status, -EPERM);
  fixture_free (fixture);
}

static const Test tests[] = {
  { "an order of a former lease holder runs", orders_are_fenced },
  { "an order that arrives twice runs twice", duplicate_runs_once },
  { "orders queued before a pause run after it", pause_rejects_unsent_orders },
  { "an engine answer after a pause starts the next stale order",
    pause_is_detected_before_the_next_order_runs },
  { "a queued order runs after a newer holder has sent one",
    waiting_order_is_superseded },
};

int
main (void)
{
  return test_main ("order", tests, TEST_COUNT (tests));
}
