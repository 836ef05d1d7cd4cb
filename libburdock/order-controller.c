#include "controller.h"

#include "error.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define MS UINT64_C (1000)
#define TICK_US (200 * MS)

/* A longer gap between two runs means that the process was paused; orders taken before
 * may have been overtaken by those of a newer lease holder. */
#define PAUSE_US (1000 * MS)

#define SUBJECTS_MAX 8
#define QUEUE_MAX 16
#define ARGUMENT_MAX_BYTES 1024
#define ORDER_TIMEOUT_MS 120000

/* Results kept to answer an order that arrives again without running it again. */
#define RESULTS_MAX 32

/** struct SubjectFence - highest fencing number seen per lease; numbers of different
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
} KnownResult;

typedef struct {
  BurdockCore *core;
  uint32_t index;
  uint64_t last_run_us;
  uint32_t subject_count;
  SubjectFence subjects[SUBJECTS_MAX];
  uint32_t queue_count;
  Order queue[QUEUE_MAX];
  uint64_t open_call; /* engine call of queue[0], 0 for none */
  uint32_t result_next;
  KnownResult results[RESULTS_MAX];
} OrderController;

static SubjectFence *
fence_of (OrderController *self, const char *subject)
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

static const KnownResult *
known_result (const OrderController *self, const Order *order)
{
  for (uint32_t i = 0; i < RESULTS_MAX; i++)
    if (self->results[i].order_id == order->order_id && order->order_id != 0 &&
        self->results[i].sender_incarnation == order->sender_incarnation)
      return &self->results[i];
  return NULL;
}

static bool
queued (const OrderController *self, const Order *order)
{
  for (uint32_t i = 0; i < self->queue_count; i++)
    if (self->queue[i].order_id == order->order_id &&
        self->queue[i].sender_incarnation == order->sender_incarnation)
      return true;
  return false;
}

static void
remove_first (OrderController *self, int32_t status)
{
  const Order *order = &self->queue[0];

  self->results[self->result_next++ % RESULTS_MAX] =
      (KnownResult){ .order_id = order->order_id,
                     .sender_incarnation = order->sender_incarnation,
                     .status = status };
  send_result (self, order, status, order->fence);
  self->queue_count--;
  memmove (&self->queue[0], &self->queue[1], self->queue_count * sizeof self->queue[0]);
  self->open_call = 0;
}

/* Drops the orders that have not been sent to the engine yet. */
static void
drop_unsent (OrderController *self)
{
  uint32_t keep = self->open_call != 0 ? 1 : 0;

  for (uint32_t i = keep; i < self->queue_count; i++)
    send_result (self, &self->queue[i], -ESTALE, self->queue[i].fence);
  self->queue_count = keep < self->queue_count ? keep : self->queue_count;
}

/* Called first whenever the process runs, as a pause can end with any event. */
static void
notice_pause (OrderController *self)
{
  uint64_t now_us = burdock_core_now (self->core);

  if (self->last_run_us != 0 && now_us > self->last_run_us + PAUSE_US)
    drop_unsent (self);
  self->last_run_us = now_us;
}

/* Passes on the first order, unless a newer holder has acted since it was taken. */
static void
start_first (OrderController *self)
{
  while (self->queue_count > 0 && self->open_call == 0) {
    Order *order = &self->queue[0];
    const SubjectFence *known = fence_of (self, order->subject);
    BurdockEngineCall call = { .op = BURDOCK_ENGINE_ORDER,
                               .fence = order->fence,
                               .body = { order->argument, order->argument_bytes },
                               .timeout_ms = ORDER_TIMEOUT_MS };
    int status;

    if (known == NULL || order->fence < known->fence) {
      remove_first (self, -EPERM);
      continue;
    }
    burdock_copy_name (call.order_name, sizeof call.order_name, order->name);
    status = burdock_core_engine (self->core, self->index, &call);
    if (status < 0)
      remove_first (self, status);
    else
      self->open_call = call.id;
  }
}

/*
 * A new life knows no number, so that an order of a former holder that arrives late would
 * pass. It therefore takes orders only from a sender that has addressed this very life:
 * such a message was sent, under a valid lease, after the life began.
 */
static int32_t
check_order (OrderController *self, const Order *order, bool addressed)
{
  SubjectFence *known = fence_of (self, order->subject);

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
  const KnownResult *known;
  SubjectFence *fence;
  int32_t status;
  Order order = { .order_id = body->order_id,
                  .sender = message->header.sender_id,
                  .sender_incarnation = message->header.sender_incarnation,
                  .fence = body->fence,
                  .reply_to = body->reply_to };

  burdock_copy_name (order.subject, sizeof order.subject, body->subject);
  burdock_copy_name (order.name, sizeof order.name, body->name);
  known = known_result (self, &order);
  if (known != NULL) {
    send_result (self, &order, known->status, order.fence);
    return;
  }
  if (queued (self, &order))
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
    fence = fence_of (self, order.subject);
    send_result (self, &order, status, fence != NULL ? fence->fence : 0);
    return;
  }
  order.argument_bytes = body->argument.length_bytes;
  if (order.argument_bytes > 0)
    memcpy (order.argument, body->argument.data, order.argument_bytes);
  self->queue[self->queue_count++] = order;
  start_first (self);
}

static bool
order_message (void *ctx, BurdockAddress from, const BurdockMessage *message)
{
  OrderController *self = ctx;

  (void)from;
  if (message->header.type != BURDOCK_MSG_ORDER)
    return false;
  notice_pause (self);
  on_order (self, message);
  return true;
}

static void
order_engine (void *ctx, const BurdockEngineEvent *event)
{
  OrderController *self = ctx;

  if (self->open_call == 0 || event->id != self->open_call ||
      event->kind == BURDOCK_ENGINE_EVENT_TOKEN)
    return;
  notice_pause (self);
  remove_first (self, event->kind == BURDOCK_ENGINE_EVENT_DONE ? 0 : event->status);
  start_first (self);
}

static uint64_t
order_tick (void *ctx, uint64_t now_us)
{
  OrderController *self = ctx;

  notice_pause (self);
  start_first (self);
  return now_us + TICK_US;
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
