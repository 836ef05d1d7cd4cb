/**
 * DOC: prompt-parts.h - parts of a prompt that requests share, and the request itself
 */
#ifndef BURDOCK_PROMPT_PARTS_H
#define BURDOCK_PROMPT_PARTS_H

#include <stddef.h>
#include <stdint.h>

#define BURDOCK_PROMPT_PARTS_MAX 128

/* Depth of the request itself, behind all parts of its prompt. */
#define BURDOCK_REQUEST_DEPTH UINT32_MAX

/**
 * struct BurdockPromptParts - shared parts of a prompt, from its start on
 * @request: digest of the request, see burdock_request_digest(); 0 for none
 *
 * Does not contain the last part, which belongs to the request itself or to its session.
 */
typedef struct {
  uint64_t request;
  uint32_t count;
  uint64_t ids[BURDOCK_PROMPT_PARTS_MAX];
} BurdockPromptParts;

/** burdock_prompt_parts_all() - number of the parts and of the request itself */
static inline uint32_t
burdock_prompt_parts_all (const BurdockPromptParts *parts)
{
  return parts->count + (parts->request != 0);
}

/** burdock_prompt_parts_id() - id at @index below burdock_prompt_parts_all(); the request
 * comes last */
static inline uint64_t
burdock_prompt_parts_id (const BurdockPromptParts *parts, uint32_t index)
{
  return index < parts->count ? parts->ids[index] : parts->request;
}

/**
 * burdock_prompt_parts_format() - writes the last parts in hexadecimal, for the log
 *
 * Writes as many of the last parts as fit, separated by commas, or "-" if there is none.
 */
void burdock_prompt_parts_format (const BurdockPromptParts *parts, char *out,
                                  size_t size_bytes);

#endif
