/**
 * DOC: fuzz-message.c - fuzz target of the frame codec
 *
 * Decodes arbitrary bytes as a frame. The decoder either rejects them with an error or
 * returns a message that encodes to a frame that decodes to the same type.
 */
#include "message.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size_bytes);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size_bytes)
{
  BurdockMessage message;
  BurdockMessage decoded_again;
  BurdockError error;
  uint8_t *frame = NULL;
  uint32_t length_bytes = 0;

  if (size_bytes > BURDOCK_FRAME_MAX_BYTES)
    return 0;
  burdock_frame_length (data, (uint32_t)size_bytes);
  if (burdock_message_decode (data, (uint32_t)size_bytes, NULL, &message, &error) < 0)
    return 0;
  if (burdock_message_encode (&message, NULL, &frame, &length_bytes) < 0)
    return 0;
  if (burdock_message_decode (frame, length_bytes, NULL, &decoded_again, &error) < 0 ||
      decoded_again.header.type != message.header.type)
    abort ();
  free (frame);
  return 0;
}
