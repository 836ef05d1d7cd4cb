/**
 * DOC: lifecycle-controller.c - planned stop of a process
 *
 * A stop is requested by the daemon (SIGTERM) or by the platform's instance list, which
 * reaches this process as a member update about itself in a heartbeat.
 */
#include "controller.h"

#include <stdlib.h>

#define US_PER_MS UINT64_C (1000)

/* An agent keeps running until every entry has had time to learn that it is leaving. */
#define AGENT_NOTICE_US (3000 * US_PER_MS)

/* Covers the transmission of the answer of /v1/entries to a caller and of a request that
 * the caller then sends to this entry. */
#define ANSWER_MARGIN_US (500 * US_PER_MS)

typedef struct {
  BurdockCore *core;
} Lifecycle;

void
burdock_lifecycle_controller_leave (void *ctx)
{
  BurdockCore *core = ((Lifecycle *)ctx)->core;
  BurdockSelf *self = &core->board.self;

  if (self->leaving)
    return;
  self->leaving = true;
  self->leaving_since_us = burdock_core_now (core);
  burdock_blackboard_touch (&core->board);
  burdock_timeline_add (core->timeline, BURDOCK_LOG_INFO, BURDOCK_EVENT_DRAIN,
                        "planned stop begun", "-", self->settings.name, "-");
}

bool
burdock_lifecycle_controller_drained (const void *ctx, uint32_t in_flight)
{
  const BurdockCore *core = ((const Lifecycle *)ctx)->core;
  const BurdockSelf *self = &core->board.self;
  uint64_t notice_us = AGENT_NOTICE_US;

  if (!self->leaving || in_flight > 0)
    return false;
  /* Without its agent, a held engine would keep the whole group waiting. */
  if (core->board.rank.busy)
    return false;
  if (self->settings.role == BURDOCK_ROLE_ENTRY)
    notice_us = self->settings.answer_lifetime_ms * US_PER_MS + ANSWER_MARGIN_US;
  return burdock_core_now (core) >= self->leaving_since_us + notice_us;
}

static bool
lifecycle_message (void *ctx, BurdockAddress from, const BurdockMessage *message)
{
  const BurdockSelf *self = &((Lifecycle *)ctx)->core->board.self;
  const BurdockHeartbeatMessage *heartbeat = &message->heartbeat;

  if (message->header.type != BURDOCK_MSG_HEARTBEAT)
    return false;
  for (uint32_t i = 0; i < heartbeat->update_count; i++) {
    const BurdockMemberRecord *record = &heartbeat->updates[i];

    if (record->id == self->member_id && record->state == BURDOCK_MEMBER_LEAVING &&
        record->incarnation == self->settings.incarnation)
      burdock_lifecycle_controller_leave (ctx);
  }
  return true;
}

BurdockController
burdock_lifecycle_controller (BurdockCore *core, uint32_t index)
{
  Lifecycle *lifecycle = calloc (1, sizeof *lifecycle);

  lifecycle->core = core;
  return (BurdockController){
    .name = "lifecycle",
    .ctx = lifecycle,
    .message = lifecycle_message,
    .free = free,
  };
}
