#include "controller.h"

#include <stdlib.h>

int
burdock_core_send (BurdockCore *core, BurdockAddress to, BurdockMessage *message)
{
  const BurdockEnv *env = core->env;
  uint8_t *frame = NULL;
  uint32_t length_bytes = 0;
  int status;

  message->header.hlc =
      burdock_hlc_now (burdock_timeline_hlc (core->timeline), env->wall_us (env->ctx));
  message->header.sender_id = core->board.self.member_id;
  message->header.sender_incarnation = core->board.self.settings.incarnation;
  status = burdock_message_encode (message, &core->keys, &frame, &length_bytes);
  if (status < 0)
    return status;
  status = env->send (env->ctx, to, frame, length_bytes);
  free (frame);
  if (status == 0) {
    burdock_count (&core->counters, BURDOCK_COUNTER_FRAMES_SENT, 1);
    burdock_count (&core->counters, BURDOCK_COUNTER_FRAME_BYTES_SENT, length_bytes);
  }
  return status;
}

int
burdock_core_start_engine_call (BurdockCore *core, uint32_t controller_index,
                                BurdockEngineCall *call)
{
  call->id =
      ((uint64_t)controller_index << BURDOCK_CALL_INDEX_SHIFT) | ++core->next_call_id;
  return core->env->engine (core->env->ctx, call);
}
