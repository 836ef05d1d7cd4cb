/**
 * DOC: prompt-parts.h - parts of a prompt that requests share
 */
#ifndef BURDOCK_PROMPT_PARTS_H
#define BURDOCK_PROMPT_PARTS_H

#include <stddef.h>
#include <stdint.h>

#define BURDOCK_PROMPT_PARTS_MAX 128

/**
 * struct BurdockPromptParts - shared parts of a prompt, from its start on
 *
 * Does not contain the last part, which belongs to the request itself or to its session.
 */
typedef struct {
  uint32_t count;
  uint64_t ids[BURDOCK_PROMPT_PARTS_MAX];
} BurdockPromptParts;

/**
 * burdock_prompt_parts_format() - writes the last parts in hexadecimal, for the log
 *
 * Writes as many of the last parts as fit, separated by commas, or "-" if there is none.
 */
void burdock_prompt_parts_format (const BurdockPromptParts *parts, char *out,
                                  size_t size_bytes);

#endif
