/**
 * DOC: part-quarantine-private.h - state shared by the files of the quarantine
 *
 * part-quarantine.c decides what is quarantined; part-exchange.c exchanges evidence with
 * the other gateways and the store.
 */
#ifndef BURDOCK_PART_QUARANTINE_PRIVATE_H
#define BURDOCK_PART_QUARANTINE_PRIVATE_H

#include "part-quarantine.h"

#define US_PER_MS UINT64_C (1000)
#define US_PER_S (1000 * US_PER_MS)
#define US_PER_MIN (60 * US_PER_S)

#define RECORDS_MAX 512
#define BREAKS_MAX 64
#define ANSWERS_MAX 1024

/* Datagrams may be lost, so evidence is sent in several heartbeats. */
#define SHARE_REPEATS 5

/* Time for which evidence is kept without another crash. */
#define SUSPECT_US (10 * US_PER_MIN)
#define TRIAL_US (60 * US_PER_MIN)

typedef struct {
  uint64_t upstream;
  uint64_t at_us;
  bool begun; /* the answer had begun */
} Crash;

/* Evidence about one part. */
typedef struct {
  uint64_t part;
  uint32_t depth; /* highest index at which the part stood in a prompt, or
                     BURDOCK_REQUEST_DEPTH */
  uint32_t crash_count;
  Crash crashes[BURDOCK_PART_CRASHES_MAX]; /* since the last answer */
  uint64_t answered_us;                    /* last answer, 0 if none is known */
  uint64_t changed_us;
  uint64_t next_trial_us;
  uint32_t shares_left;
  bool quarantined;
} Record;

/* A connection that ended before the first event. */
typedef struct {
  uint64_t upstream;
  uint64_t at_us;
  uint32_t checks; /* connections that were tried since */
  bool begun;
  bool parts_recorded; /* the group has broken; the request awaits the upstream itself */
  BurdockPromptParts parts;
} Break;

/* A request that was answered. */
typedef struct {
  uint64_t request;
  uint64_t at_us;
} Answer;

struct BurdockPartQuarantine {
  uint64_t seed;
  BurdockPartQuarantineHandler handler;
  uint32_t record_count;
  Record records[RECORDS_MAX];
  uint32_t break_count;
  Break breaks[BREAKS_MAX];
  uint32_t next_answer;
  Answer answers[ANSWERS_MAX]; /* the last ones, in a ring */
  uint64_t next_repeat_us;
  uint32_t repeat_at;
};

/** burdock_part_find() - index of the record about @part, record_count for none */
uint32_t burdock_part_find (const BurdockPartQuarantine *quarantine, uint64_t part);

/** burdock_part_known() - record about @part, NULL for none */
Record *burdock_part_known (BurdockPartQuarantine *quarantine, uint64_t part);

/** burdock_part_record() - record about @part, which may take the place of a less
 * important one */
Record *burdock_part_record (BurdockPartQuarantine *quarantine, uint64_t part);

/** burdock_part_add_crash() - adds a crash; returns whether it was not known, or not that
 * the answer had begun */
bool burdock_part_add_crash (Record *record, const Crash *crash, uint32_t depth);

/** burdock_part_duration_us() - duration of a quarantine after the last crash */
uint64_t burdock_part_duration_us (uint32_t crash_count);

/** burdock_part_update() - compares all records after a change of the evidence */
void burdock_part_update (BurdockPartQuarantine *quarantine, bool local);

#endif
