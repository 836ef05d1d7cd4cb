#include "bench-agent.h"

#include <stdlib.h>

void
bench_agent_send (BurdockDispatcher *dispatcher, uint32_t agent, BurdockMessage *message)
{
  uint8_t *frame;
  uint32_t length_bytes;

  message->header.sender_id = agent + 1;
  message->header.sender_incarnation = 1;
  burdock_message_encode (message, &(BurdockFrameKeys){ 0 }, &frame, &length_bytes);
  burdock_dispatcher_receive (dispatcher, (BurdockAddress){ agent + 1, 1 }, frame,
                              length_bytes);
  free (frame);
}
