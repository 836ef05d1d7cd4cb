/**
 * DOC: trace.h - recorded popularity of experts, for the commands plan and replay
 *
 * A trace has one line of JSON for each interval, {"tokens":[[n,...],...]}, with one list
 * for each layer and in it the number of tokens of each expert.
 */
#ifndef BURDOCK_CLI_TRACE_H
#define BURDOCK_CLI_TRACE_H

#include "cli.h"
#include "config.h"
#include "expert-map.h"
#include "planner.h"
#include "popularity.h"

/**
 * struct Trace - trace being read, with the rank group that is planned
 * @group: group of @config
 * @path: path of the trace, for messages
 * @interval: number of intervals read
 * @tokens: tokens of each expert in the interval last read, layer by layer
 * @popularity: estimate from all intervals read
 * @map: current map, at first the initial map of the group
 */
typedef struct {
  BurdockConfig *config;
  const BurdockGroupConfig *group;
  FILE *file;
  const char *path;
  uint32_t interval;
  double *tokens;
  BurdockPopularity *popularity;
  BurdockExpertMap map;
} Trace;

/**
 * trace_open() - reads the franchise file and the group, and opens the trace
 * @argv: command name, FILE, GROUP and TRACE
 * Returns CLI_OK or CLI_USAGE. trace_close() is to be called in both cases.
 */
int trace_open (Trace *trace, char **argv);
void trace_close (Trace *trace);

/**
 * trace_next() - reads the next interval and adds it to the estimate of the popularity
 * Returns 1; 0 at the end of the trace; -EINVAL with a message printed for a malformed
 * line.
 */
int trace_next (Trace *trace);

/**
 * trace_plan() - plans a map from the current one and the estimate, see burdock_plan()
 * @out: to be released with burdock_expert_map_clear(), whatever the result
 * Returns true if the plan is worth a switch.
 */
bool trace_plan (const Trace *trace, BurdockExpertMap *out, BurdockPlanResult *result);

/** trace_skew() - skew of @map under the tokens of the interval last read */
double trace_skew (const Trace *trace, const BurdockExpertMap *map);

#endif
