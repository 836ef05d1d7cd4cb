#include "switch-search.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DEPTH_MAX 256
#define PROBES_MAX 64
#define LINE_BYTES 160

typedef struct {
  uint64_t hash;
  uint32_t remaining;
} Visited;

typedef struct {
  Visited *table;
  uint64_t mask;
  Model stack[DEPTH_MAX + 1];
  ModelAction path[DEPTH_MAX];
  SearchResult result;
} Search;

/* Returns the first @depth actions of @path as text, with @outcome at the end. The caller
 * frees it. */
static char *
describe_path (const Model *start, const ModelAction *path, uint32_t depth,
               const char *outcome)
{
  size_t size = ((size_t)depth + 2) * LINE_BYTES;
  char *text = calloc (1, size);
  Model *model = malloc (sizeof *model);
  size_t at = 0;

  *model = *start;
  for (uint32_t d = 0; d < depth; d++) {
    char line[LINE_BYTES - 8];

    model_describe_action (model, path[d], line, sizeof line);
    at += (size_t)snprintf (text + at, size - at, "%3u %s\n", d, line);
    model_apply (model, path[d]);
  }
  snprintf (text + at, size - at, "    %s\n", outcome);
  free (model);
  return text;
}

/* Records that the state is explored with @remaining actions left. Returns whether it was
 * explored before with at least as many. */
static bool
mark_explored (Search *search, uint64_t hash, uint32_t remaining)
{
  for (uint32_t i = 0; i < PROBES_MAX; i++) {
    Visited *entry = &search->table[(hash + i) & search->mask];

    if (entry->hash == hash) {
      if (entry->remaining >= remaining)
        return true;
      entry->remaining = remaining;
      return false;
    }
    if (entry->hash == 0) {
      *entry = (Visited){ .hash = hash, .remaining = remaining };
      search->result.states++;
      return false;
    }
  }
  search->result.truncated = true;
  return false;
}

static void
explore (Search *search, uint32_t at, uint32_t depth)
{
  ModelAction actions[MODEL_ACTIONS_MAX];
  uint32_t count;

  if (at == depth || mark_explored (search, model_hash (&search->stack[at]), depth - at))
    return;
  count = model_list_actions (&search->stack[at], actions);
  for (uint32_t i = 0; i < count && !search->result.violated; i++) {
    Model *next = &search->stack[at + 1];

    *next = search->stack[at];
    search->path[at] = actions[i];
    model_apply (next, actions[i]);
    search->result.transitions++;
    if (next->violated) {
      search->result.violated = true;
      search->result.trace =
          describe_path (&search->stack[0], search->path, at + 1, next->violation);
      return;
    }
    explore (search, at + 1, depth);
  }
}

SearchResult
search_exhaustive (const Model *start, uint32_t depth, uint32_t table_bits)
{
  Search *search = calloc (1, sizeof *search);
  SearchResult result;

  search->table = calloc (UINT64_C (1) << table_bits, sizeof *search->table);
  search->mask = (UINT64_C (1) << table_bits) - 1;
  search->stack[0] = *start;
  explore (search, 0, depth < DEPTH_MAX ? depth : DEPTH_MAX);
  result = search->result;
  free (search->table);
  free (search);
  return result;
}

static uint64_t
next_random (uint64_t *state)
{
  uint64_t z = (*state += UINT64_C (0x9e3779b97f4a7c15));

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

static bool
is_fault (ModelAction action)
{
  switch ((ModelActionKind)action.kind) {
  case ACTION_DELIVER:
  case ACTION_EXECUTE_CALL:
  case ACTION_EXECUTE_BACKGROUND_CALL:
  case ACTION_ENTER_STEP:
  case ACTION_POLL:
    return false;
  default:
    return true;
  }
}

/* Chooses a fault only in one of eight cases, so that walks make progress. */
static bool
random_action (const Model *model, uint64_t *random, ModelAction *chosen)
{
  ModelAction actions[MODEL_ACTIONS_MAX];
  uint32_t count = model_list_actions (model, actions);
  bool fault = next_random (random) % 8 == 0;

  if (count == 0)
    return false;
  for (uint32_t tries = 0; tries < 32; tries++) {
    *chosen = actions[next_random (random) % count];
    if (is_fault (*chosen) == fault)
      return true;
  }
  return true;
}

static void
random_walk (const Model *start, uint32_t length, uint64_t *random, Model *model,
             SearchResult *result)
{
  ModelAction path[DEPTH_MAX];
  uint32_t at = 0;

  *model = *start;
  while (at < length && at < DEPTH_MAX && !model->violated &&
         random_action (model, random, &path[at])) {
    model_apply (model, path[at++]);
    result->transitions++;
  }
  if (!model->violated && start->disabled_rules == 0 && !start->ignore_hold_numbers)
    result->stuck = !model_run_to_completion (model) && !model->violated;
  result->violated = model->violated;
  if (result->violated || result->stuck)
    result->trace = describe_path (start, path, at,
                                   model->violated ? model->violation : "no progress");
}

SearchResult
search_random (const Model *start, uint32_t walks, uint32_t length, uint64_t seed)
{
  SearchResult result = { 0 };
  Model *model = malloc (sizeof *model);
  uint64_t random = seed;

  for (uint32_t w = 0; w < walks && !result.violated && !result.stuck; w++) {
    random_walk (start, length, &random, model, &result);
    result.states++;
  }
  free (model);
  return result;
}
