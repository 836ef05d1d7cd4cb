/**
 * DOC: traffic-fleet.h - simulation of entries and agents under random faults
 *
 * Dispatchers and executors run on virtual time, and simulated callers check what they
 * receive. Frames keep their order on a connection until it breaks; duplicates of earlier
 * frames arrive at any time. Processes restart and pause, store writes time out and take
 * effect later or never, and engines fail before, during and after their work.
 */
#ifndef TRAFFIC_FLEET_H
#define TRAFFIC_FLEET_H

#include <stdbool.h>
#include <stdint.h>

/** enum FleetDefect - deliberate defect of a run that the check of a rule must detect */
typedef enum {
  FLEET_NO_DEFECT = 0,
  FLEET_CORRUPT_TOKENS,     /* the network alters the text of tokens */
  FLEET_IGNORE_VERSIONS,    /* the store ignores the version of a conditional write */
  FLEET_RENUMBER_ATTEMPTS,  /* the network duplicates attempts under another number */
  FLEET_FALSE_REFUSALS,     /* answers of executed attempts are turned into refusals */
  FLEET_LOSE_ENDS,          /* the end of an answer does not reach the caller */
  FLEET_LOSE_LEAVE_NOTICES, /* an agent does not receive its notice to leave */
  FLEET_STALE_GENERATIONS,  /* agents do not learn of newer generations */
  FLEET_DEFECT_COUNT,
} FleetDefect;

/** enum FleetRule - invariant that is checked in each run */
typedef enum {
  FLEET_RULE_COMPLETE = 0, /* each answer is complete and belongs to the request */
  FLEET_RULE_ONCE,         /* each key of a non-idempotent request runs at most once */
  FLEET_RULE_NOT_RUN,      /* a request refused as not-run has not run */
  FLEET_RULE_ENDS,         /* each request ends exactly once, about by its deadline */
  FLEET_RULE_DRAIN,        /* no execution starts 3 s after the leave notice */
  FLEET_RULE_GENERATION,   /* no execution starts with an older generation */
  FLEET_RULE_COUNT,
} FleetRule;

/**
 * struct FleetResult - outcome of a run
 * @resumed: executions that continue a stream after its first tokens
 * @faults: faults injected
 * @trace: hash of all deliveries with their times; equal for equal seeds
 */
typedef struct {
  uint32_t violations[FLEET_RULE_COUNT];
  uint32_t requests;
  uint32_t answered;
  uint32_t not_run;
  uint32_t unknown;
  uint32_t broken;
  uint32_t resumed;
  uint32_t faults;
  uint64_t trace;
} FleetResult;

/** traffic_fleet_run() - simulates one minute; prints the first violation of each rule,
 * unless there is a deliberate defect */
FleetResult traffic_fleet_run (uint64_t seed, FleetDefect defect);

extern const char *const fleet_rule_names[FLEET_RULE_COUNT];

#endif
