/**
 * DOC: counters.h - counters and gauges of one library object
 *
 * Each object has its own set, updated only by its thread. To add a metric, add a row to
 * BURDOCK_COUNTERS; the name includes the unit, and names of counters end in "_total".
 */
#ifndef BURDOCK_COUNTERS_H
#define BURDOCK_COUNTERS_H

#include "burdock.h"

#define BURDOCK_COUNTERS(X)                                                              \
  X (FRAMES_RECEIVED, "frames_received_total", "frames received")                        \
  X (FRAMES_SENT, "frames_sent_total", "frames sent")                                    \
  X (FRAME_BYTES_SENT, "frame_bytes_sent_total", "bytes of frames sent")                 \
  X (FRAMES_REFUSED, "frames_refused_total", "frames that did not fit or had a bad MAC") \
  X (REQUESTS, "requests_total", "requests submitted by callers")                        \
  X (ANSWERED, "requests_answered_total", "requests answered whole")                     \
  X (REFUSED_NOT_RUN, "requests_refused_not_run_total", "requests refused, not run")     \
  X (UNKNOWN, "requests_unknown_total", "requests that may have run")                    \
  X (ATTEMPTS, "attempts_total", "attempts sent to agents or started at the upstream")   \
  X (ATTEMPTS_REFUSED, "attempts_refused_total", "attempts refused by an agent")         \
  X (RETRIES, "retries_total", "further attempts of a request")                          \
  X (RESUMES, "resumes_total", "streams taken up by another upstream")                   \
  X (TOKENS, "tokens_total", "tokens passed on")                                         \
  X (TOKENS_DROPPED, "tokens_dropped_total", "tokens of superseded attempts dropped")    \
  X (ANSWERS_TOO_LARGE, "answers_too_large_total", "answers ended for their size")       \
  X (GENERATION, "config_generation", "configuration generation in force")               \
  X (MEMBERS_ALIVE, "members_alive", "members considered alive")                         \
  X (MEMBERS_SUSPECT, "members_suspect", "members under suspicion")                      \
  X (MEMBERS_REMOVED, "members_removed_total", "members removed after suspicion")        \
  X (LEASES_HELD, "leases_held", "leases held")                                          \
  X (STORE_READS, "store_reads_total", "reads of the table service and object store")    \
  X (STORE_WRITES, "store_writes_total", "writes to the table service and object store") \
  X (STORE_AMBIGUOUS, "store_ambiguous_total", "writes whose outcome was read back")     \
  X (MAP_SWITCHES, "map_switches_total", "map switches committed")                       \
  X (MAP_ABORTS, "map_aborts_total", "map switches aborted")                             \
  X (MAP_MOVES, "map_moves_total", "expert copies moved")                                \
  X (MAP_MOVED_BYTES, "map_moved_bytes_total", "bytes of the expert copies moved")       \
  X (MAP_PAUSE_US, "map_pause_us_total", "time that the rank waited for map switches")   \
  X (MAP_RECOVERIES, "map_recoveries_total", "recoveries of a map switch started")       \
  X (MAP_SKEW_US, "map_skew_us", "step-time skew of the group last reported")

typedef enum {
#define X(id, name, help) BURDOCK_COUNTER_##id,
  BURDOCK_COUNTERS (X)
#undef X
      BURDOCK_COUNTER_COUNT,
} BurdockCounter;

typedef struct {
  uint64_t values[BURDOCK_COUNTER_COUNT];
} BurdockCounters;

/** burdock_count() - adds @increment to a counter */
static inline void
burdock_count (BurdockCounters *counters, BurdockCounter counter, uint64_t increment)
{
  counters->values[counter] += increment;
}

/** burdock_gauge() - sets a gauge */
static inline void
burdock_gauge (BurdockCounters *counters, BurdockCounter counter, uint64_t value)
{
  counters->values[counter] = value;
}

/**
 * burdock_counters_text() - metrics in the Prometheus text format
 * @part: value of the label "part"
 * Returns text to be released with free(), with a HELP comment and a line
 * "burdock_NAME{part="PART"} VALUE" for each metric, or NULL if memory ran out.
 */
char *burdock_counters_text (const BurdockCounters *counters, const char *part);

#endif
