/**
 * DOC: switch-search.h - exhaustive and random exploration of the switch model
 */
#ifndef SWITCH_SEARCH_H
#define SWITCH_SEARCH_H

#include "switch-model.h"

/**
 * struct SearchResult - outcome of an exploration
 * @states: distinct states visited, or random walks made
 * @transitions: actions performed
 * @truncated: the table of visited states had no place for a state, so it may have been
 *   explored repeatedly
 * @violated: a schedule led to two maps in one step
 * @stuck: a random walk could not be completed
 * @trace: actions that led to the violation or the stuck state, one per line; release
 * with free(), NULL if there was neither
 */
typedef struct {
  uint64_t states;
  uint64_t transitions;
  bool truncated;
  bool violated;
  bool stuck;
  char *trace;
} SearchResult;

/**
 * search_exhaustive() - explores all schedules of @depth actions from @start
 * @depth: at most 256
 * @table_bits: the table of visited states has 2^@table_bits elements
 *
 * A state is skipped if it was visited before with at least as many actions left.
 */
SearchResult search_exhaustive (const Model *start, uint32_t depth, uint32_t table_bits);

/**
 * search_random() - random walks from @start
 * @length: actions of each walk, at most 256
 *
 * Unless a rule is disabled, each walk is then completed without faults, and the group
 * must reach its last step.
 */
SearchResult search_random (const Model *start, uint32_t walks, uint32_t length,
                            uint64_t seed);

#endif
