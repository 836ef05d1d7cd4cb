/**
 * DOC: order-controller.c - forwards the orders of lease holders to the local engine
 *
 * An order is refused if a newer fencing token of the same lease has been seen. Orders
 * run one at a time, and an order that arrives twice runs once.
 */
#include "controller.h"

#include "error.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define TICK_PERIOD_US (200 * US_PER_MS)

/* A longer gap between two runs of the controller means that the process was paused. A
 * newer lease holder may have sent orders since, which supersede those queued before. */
#define PAUSE_THRESHOLD_US (1000 * US_PER_MS)

#define SUBJECTS_MAX 8
#define QUEUE_MAX 16
#define ARGUMENT_MAX_BYTES 1024
#define ORDER_TIMEOUT_MS 120000

/* Results kept to answer a duplicate order without running it again. */
#define RESULTS_MAX 32

/** struct SubjectFence - highest fencing token seen for a lease; tokens of different
 * leases are unrelated */
typedef struct {
  char subject[BURDOCK_NAME_BYTES];
  uint64_t fence;
} SubjectFence;

typedef struct {
  uint64_t order_id;
  uint64_t sender;
  uint64_t sender_incarnation;
  uint64_t fence;
  BurdockAddress reply_to;
  char subject[BURDOCK_NAME_BYTES];
  char name[BURDOCK_NAME_BYTES];
  uint8_t argument[ARGUMENT_MAX_BYTES];
  uint32_t argument_bytes;
} Order;

typedef struct {
  uint64_t order_id;
  uint64_t sender_incarnation;
  int32_t status;
} CachedResult;

typedef struct {
  BurdockCore *core;
  uint32_t index;
  uint64_t last_run_us;
  uint32_t subject_count;
  SubjectFence subjects[SUBJECTS_MAX];
  uint32_t queue_count;
  Order queue[QUEUE_MAX];
  uint64_t pending_call_id; /* engine call of queue[0], 0 for none */
  uint32_t next_result;
  CachedResult results[RESULTS_MAX];
} OrderController;

static SubjectFence *
find_or_add_subject (OrderController *self, const char *subject)
{
  SubjectFence *entry;

  for (uint32_t i = 0; i < self->subject_count; i++)
    if (strcmp (self->subjects[i].subject, subject) == 0)
      return &self->subjects[i];
  if (self->subject_count == SUBJECTS_MAX)
    return NULL;
  entry = &self->subjects[self->subject_count++];
  *entry = (SubjectFence){ 0 };
  burdock_copy_name (entry->subject, sizeof entry->subject, subject);
  return entry;
}

static void
send_result (OrderController *self, const Order *order, int32_t status, uint64_t fence)
{
  BurdockMessage message = {
    .header = { .type = BURDOCK_MSG_ORDER_RESULT,
                .target_incarnation = order->sender_incarnation },
    .order_result = { .order_id = order->order_id, .status = status, .fence = fence }
  };

  burdock_core_send (self->core, order->reply_to, &message);
}

static const CachedResult *
find_cached_result (const OrderController *self, const Order *order)
{
  for (uint32_t i = 0; i < RESULTS_MAX; i++)
    if (self->results[i].order_id == order->order_id && order->order_id != 0 &&
        self->results[i].sender_incarnation == order->sender_incarnation)
      return &self->results[i];
  return NULL;
}

static bool
is_queued (const OrderController *self, const Order *order)
{
  for (uint32_t i = 0; i < self->queue_count; i++)
    if (self->queue[i].order_id == order->order_id &&
        self->queue[i].sender_incarnation == order->sender_incarnation)
      return true;
  return false;
}

static void
complete_first (OrderController *self, int32_t status)
{
  const Order *order = &self->queue[0];

  self->results[self->next_result++ % RESULTS_MAX] =
      (CachedResult){ .order_id = order->order_id,
                      .sender_incarnation = order->sender_incarnation,
                      .status = status };
  send_result (self, order, status, order->fence);
  self->queue_count--;
  memmove (&self->queue[0], &self->queue[1], self->queue_count * sizeof self->queue[0]);
  self->pending_call_id = 0;
}

/* Answers the orders that have not been sent to the engine yet with -ESTALE. */
static void
reject_unsent (OrderController *self)
{
  uint32_t keep = self->pending_call_id != 0 ? 1 : 0;

  for (uint32_t i = keep; i < self->queue_count; i++)
    send_result (self, &self->queue[i], -ESTALE, self->queue[i].fence);
  self->queue_count = keep < self->queue_count ? keep : self->queue_count;
}

/* Called first in each callback that handles orders, as any event can end a pause. */
static void
detect_pause (OrderController *self)
{
  uint64_t now_us = burdock_core_now (self->core);

  if (self->last_run_us != 0 && now_us > self->last_run_us + PAUSE_THRESHOLD_US)
    reject_unsent (self);
  self->last_run_us = now_us;
}

/* Sends the first order to the engine. Refuses orders whose lease has had a newer fencing
 * token since they were queued. */
static void
start_next (OrderController *self)
{
  while (self->queue_count > 0 && self->pending_call_id == 0) {
    Order *order = &self->queue[0];
    const SubjectFence *known = find_or_add_subject (self, order->subject);
    BurdockEngineCall call = { .op = BURDOCK_ENGINE_ORDER,
                               .fence = order->fence,
                               .body = { order->argument, order->argument_bytes },
                               .timeout_ms = ORDER_TIMEOUT_MS };
    int status;

    if (known == NULL || order->fence < known->fence) {
      complete_first (self, -EPERM);
      continue;
    }
    burdock_copy_name (call.order_name, sizeof call.order_name, order->name);
    status = burdock_core_start_engine_call (self->core, self->index, &call);
    if (status < 0)
      complete_first (self, status);
    else
      self->pending_call_id = call.id;
  }
}

/*
 * An agent that has just started knows no fencing token, so a delayed order of a former
 * lease holder would pass. It therefore accepts the first order for a lease only if it is
 * addressed to this incarnation: such a message was sent, under a valid lease, after the
 * start.
 */
static int32_t
check_order (OrderController *self, const Order *order, bool addressed)
{
  SubjectFence *known = find_or_add_subject (self, order->subject);

  if (known == NULL)
    return -ENOSPC;
  if (order->fence < known->fence)
    return -EPERM;
  if (known->fence == 0 && !addressed)
    return -EAGAIN;
  if (order->fence == 0)
    return -EPERM;
  known->fence = order->fence;
  self->core->board.orders.fence_known = true;
  if (order->fence > self->core->board.orders.highest_fence)
    self->core->board.orders.highest_fence = order->fence;
  return 0;
}

static void
on_order (OrderController *self, const BurdockMessage *message)
{
  const BurdockOrderMessage *body = &message->order;
  const CachedResult *known;
  SubjectFence *fence;
  int32_t status;
  Order order = { .order_id = body->order_id,
                  .sender = message->header.sender_id,
                  .sender_incarnation = message->header.sender_incarnation,
                  .fence = body->fence,
                  .reply_to = body->reply_to };

  burdock_copy_name (order.subject, sizeof order.subject, body->subject);
  burdock_copy_name (order.name, sizeof order.name, body->name);
  known = find_cached_result (self, &order);
  if (known != NULL) {
    send_result (self, &order, known->status, order.fence);
    return;
  }
  if (is_queued (self, &order))
    return;
  status = check_order (self, &order, message->header.target_incarnation != 0);
  if (status == 0 && body->argument.length_bytes > ARGUMENT_MAX_BYTES)
    status = -EMSGSIZE;
  if (status == 0 && self->queue_count == QUEUE_MAX)
    status = -ENOSPC;
  burdock_timeline_add (self->core->timeline,
                        status < 0 ? BURDOCK_LOG_WARNING : BURDOCK_LOG_INFO,
                        BURDOCK_EVENT_ORDER, status < 0 ? "order refused" : "order taken",
                        "-", order.subject, "%s, fence %llu, status %d", order.name,
                        (unsigned long long)order.fence, status);
  if (status < 0) {
    fence = find_or_add_subject (self, order.subject);
    send_result (self, &order, status, fence != NULL ? fence->fence : 0);
    return;
  }
  order.argument_bytes = body->argument.length_bytes;
  if (order.argument_bytes > 0)
    memcpy (order.argument, body->argument.data, order.argument_bytes);
  self->queue[self->queue_count++] = order;
  start_next (self);
}

static bool
order_message (void *ctx, BurdockAddress from, const BurdockMessage *message)
{
  OrderController *self = ctx;

  (void)from;
  if (message->header.type != BURDOCK_MSG_ORDER)
    return false;
  detect_pause (self);
  on_order (self, message);
  return true;
}

static void
order_engine (void *ctx, const BurdockEngineEvent *event)
{
  OrderController *self = ctx;

  if (self->pending_call_id == 0 || event->id != self->pending_call_id ||
      event->kind == BURDOCK_ENGINE_EVENT_TOKEN)
    return;
  detect_pause (self);
  complete_first (self, event->kind == BURDOCK_ENGINE_EVENT_DONE ? 0 : event->status);
  start_next (self);
}

static uint64_t
order_tick (void *ctx, uint64_t now_us)
{
  OrderController *self = ctx;

  detect_pause (self);
  start_next (self);
  return now_us + TICK_PERIOD_US;
}

static void
order_free (void *ctx)
{
  free (ctx);
}

BurdockController
burdock_order_controller (BurdockCore *core, uint32_t index)
{
  OrderController *self = calloc (1, sizeof *self);

  self->core = core;
  self->index = index;
  return (BurdockController){ .name = "order",
                              .ctx = self,
                              .tick = order_tick,
                              .message = order_message,
                              .engine = order_engine,
                              .free = order_free };
}
