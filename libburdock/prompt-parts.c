#include "prompt-parts.h"

#include <inttypes.h>
#include <stdio.h>

/* A 64-bit id in hexadecimal and a comma. */
#define PART_TEXT_BYTES 17

void
burdock_prompt_parts_format (const BurdockPromptParts *parts, char *out,
                             size_t size_bytes)
{
  uint32_t fitting = (uint32_t)((size_bytes - 1) / PART_TEXT_BYTES);
  uint32_t first = parts->count > fitting ? parts->count - fitting : 0;
  size_t length = 0;

  snprintf (out, size_bytes, "-");
  for (uint32_t i = first; i < parts->count; i++)
    length += (size_t)snprintf (out + length, size_bytes - length, "%s%" PRIx64,
                                i > first ? "," : "", parts->ids[i]);
}
