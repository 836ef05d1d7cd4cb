#include "part-quarantine-private.h"

#include "hash.h"

#include <stdlib.h>
#include <string.h>

/* A part is quarantined after this many crashes. Upstreams may also end for another
 * reason while they answer a sound part, and several of them at once: hence the minimum
 * time between the first and the last crash. A sound part is answered in between. */
#define QUARANTINE_CRASHES 3
#define QUARANTINE_SPAN_US US_PER_S

/* A part that stands deeper in the same prompts explains the crashes of the parts before
 * it if it has at least this many itself. */
#define EXPLAINING_CRASHES 2

/* Duration of a quarantine after the last crash. It doubles with each further crash. */
#define QUARANTINE_MIN_US (5 * US_PER_MIN)

/* Duration after a single crash, which one of the requests beside it may have caused. */
#define QUARANTINE_FIRST_US (30 * US_PER_S)

/* Share of the duration by which gateways try a part at different times. */
#define QUARANTINE_JITTER_RATIO 0.25

/* Interval at which a gateway tries a part whose quarantine is over. */
#define TRIAL_INTERVAL_US (10 * US_PER_S)

/* An upstream that ends is noticed by refused connections or by its group within a
 * fraction of a second, or by its entry, which expires after three heartbeats. */
#define BREAK_CONFIRM_US (8 * US_PER_S)

/* Gateways report the crash of one upstream at slightly different times. An upstream that
 * starts again under its id takes longer to begin an answer. */
#define SAME_CRASH_US (2 * US_PER_S)

#define TICK_US (50 * US_PER_MS)

/* Times after a break at which a connection to the upstream is tried. */
#define CHECKS_MAX 4
static const uint64_t check_delays_us[CHECKS_MAX] = { 0, 100 * US_PER_MS, 300 * US_PER_MS,
                                                      1000 * US_PER_MS };

BurdockPartQuarantine *
burdock_part_quarantine_new (uint64_t seed, const BurdockPartQuarantineHandler *handler)
{
  BurdockPartQuarantine *quarantine = calloc (1, sizeof *quarantine);

  if (quarantine == NULL)
    return NULL;
  quarantine->seed = seed;
  quarantine->handler = *handler;
  return quarantine;
}

void
burdock_part_quarantine_free (BurdockPartQuarantine *quarantine)
{
  free (quarantine);
}

uint32_t
burdock_part_find (const BurdockPartQuarantine *quarantine, uint64_t part)
{
  uint32_t i = 0;

  while (i < quarantine->record_count && quarantine->records[i].part != part)
    i++;
  return i;
}

Record *
burdock_part_known (BurdockPartQuarantine *quarantine, uint64_t part)
{
  uint32_t i = burdock_part_find (quarantine, part);

  return i < quarantine->record_count ? &quarantine->records[i] : NULL;
}

/* Whether @a is forgotten before @b when the table is full. */
static bool
is_less_important (const Record *a, const Record *b)
{
  if (a->quarantined != b->quarantined)
    return b->quarantined;
  if (a->crash_count != b->crash_count)
    return a->crash_count < b->crash_count;
  return a->changed_us < b->changed_us;
}

Record *
burdock_part_record (BurdockPartQuarantine *quarantine, uint64_t part)
{
  Record *record = burdock_part_known (quarantine, part);

  if (record != NULL)
    return record;
  if (quarantine->record_count < RECORDS_MAX) {
    record = &quarantine->records[quarantine->record_count++];
  } else {
    record = &quarantine->records[0];
    for (uint32_t i = 1; i < RECORDS_MAX; i++) {
      if (is_less_important (&quarantine->records[i], record))
        record = &quarantine->records[i];
    }
  }
  *record = (Record){ .part = part };
  return record;
}

static uint64_t
last_crash_us (const Record *record)
{
  uint64_t last_us = 0;

  for (uint32_t i = 0; i < record->crash_count; i++)
    last_us = record->crashes[i].at_us > last_us ? record->crashes[i].at_us : last_us;
  return last_us;
}

static uint64_t
first_crash_us (const Record *record)
{
  uint64_t first_us = UINT64_MAX;

  for (uint32_t i = 0; i < record->crash_count; i++)
    first_us = record->crashes[i].at_us < first_us ? record->crashes[i].at_us : first_us;
  return first_us;
}

uint64_t
burdock_part_duration_us (uint32_t crash_count)
{
  uint32_t doublings =
      crash_count > QUARANTINE_CRASHES ? crash_count - QUARANTINE_CRASHES : 0;

  return crash_count <= 1 ? QUARANTINE_FIRST_US : QUARANTINE_MIN_US << doublings;
}

/* End of the quarantine of a part at this gateway. */
static uint64_t
quarantine_end_us (const BurdockPartQuarantine *quarantine, const Record *record)
{
  uint64_t time_us = burdock_part_duration_us (record->crash_count);
  double unit = burdock_hash_unit (burdock_hash_pair (record->part, quarantine->seed));

  return last_crash_us (record) + time_us +
         (uint64_t)((double)time_us * QUARANTINE_JITTER_RATIO * unit);
}

static bool
is_same_crash (const Crash *crash, uint64_t upstream, uint64_t at_us)
{
  uint64_t distance_us =
      crash->at_us > at_us ? crash->at_us - at_us : at_us - crash->at_us;

  return crash->upstream == upstream && distance_us < SAME_CRASH_US;
}

static Crash *
find_crash (Record *record, uint64_t upstream, uint64_t at_us)
{
  for (uint32_t i = 0; i < record->crash_count; i++) {
    if (is_same_crash (&record->crashes[i], upstream, at_us))
      return &record->crashes[i];
  }
  return NULL;
}

static bool
has_crash (const Record *record, uint64_t upstream, uint64_t at_us)
{
  for (uint32_t i = 0; i < record->crash_count; i++) {
    if (is_same_crash (&record->crashes[i], upstream, at_us))
      return true;
  }
  return false;
}

/* A free place for a crash, or else that of the oldest one. */
static Crash *
crash_to_replace (Record *record)
{
  Crash *oldest = &record->crashes[0];

  if (record->crash_count < BURDOCK_PART_CRASHES_MAX)
    return &record->crashes[record->crash_count++];
  for (uint32_t i = 1; i < BURDOCK_PART_CRASHES_MAX; i++)
    oldest = record->crashes[i].at_us < oldest->at_us ? &record->crashes[i] : oldest;
  return oldest;
}

bool
burdock_part_add_crash (Record *record, const Crash *crash, uint32_t depth)
{
  Crash *known = find_crash (record, crash->upstream, crash->at_us);

  if (depth > record->depth)
    record->depth = depth;
  if (crash->at_us <= record->answered_us)
    return false;
  if (known != NULL) {
    bool news = crash->begun && !known->begun;

    known->begun = known->begun || crash->begun;
    return news;
  }
  *crash_to_replace (record) = *crash;
  return true;
}

static uint32_t
common_crashes (const Record *a, const Record *b)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < a->crash_count; i++)
    count += has_crash (b, a->crashes[i].upstream, a->crashes[i].at_us);
  return count;
}

static bool
is_request (const Record *record)
{
  return record->depth == BURDOCK_REQUEST_DEPTH;
}

static bool
has_enough_crashes (const Record *record)
{
  return record->crash_count >= QUARANTINE_CRASHES &&
         last_crash_us (record) >= first_crash_us (record) + QUARANTINE_SPAN_US;
}

/* Whether an upstream ended after it had begun the answer to a request, which has not
 * been answered since. */
static bool
has_begun_crash (const Record *record)
{
  for (uint32_t i = 0; i < record->crash_count; i++) {
    if (record->crashes[i].begun)
      return is_request (record);
  }
  return false;
}

/* Whether crashes that both records have are due to @other. A request explains those of
 * its parts, and of requests that ran beside it less often or whose answers had not
 * begun.
 */
static bool
explains (const Record *other, const Record *record)
{
  if (is_request (other) && is_request (record))
    return (has_enough_crashes (other) && other->crash_count > record->crash_count) ||
           (has_begun_crash (other) && !has_begun_crash (record));
  if (is_request (other))
    return has_enough_crashes (other);
  return !is_request (record) && other->depth > record->depth &&
         other->crash_count >= EXPLAINING_CRASHES;
}

/* Crashes of a part that no other one explains. */
static uint32_t
unexplained_crashes (const BurdockPartQuarantine *quarantine, const Record *record)
{
  uint32_t explained = 0;

  for (uint32_t i = 0; i < quarantine->record_count; i++) {
    const Record *other = &quarantine->records[i];
    uint32_t common;

    if (!explains (other, record))
      continue;
    common = common_crashes (record, other);
    explained = common > explained ? common : explained;
  }
  return record->crash_count - explained;
}

static bool
should_be_quarantined (const BurdockPartQuarantine *quarantine, const Record *record)
{
  return has_begun_crash (record) ||
         (has_enough_crashes (record) &&
          unexplained_crashes (quarantine, record) >= QUARANTINE_CRASHES);
}

static void
report_change (const BurdockPartQuarantine *quarantine, const Record *record, bool local)
{
  const BurdockPartQuarantineHandler *handler = &quarantine->handler;
  BurdockPartStatus status = { .part = record->part,
                               .request = is_request (record),
                               .quarantined = record->quarantined,
                               .crashes = record->crash_count,
                               .local = local };

  handler->changed (handler->ctx, &status);
}

/* Evidence about one part may explain that about others, so all are compared. */
void
burdock_part_update (BurdockPartQuarantine *quarantine, bool local)
{
  for (uint32_t i = 0; i < quarantine->record_count; i++) {
    Record *record = &quarantine->records[i];
    bool quarantined = should_be_quarantined (quarantine, record);

    if (quarantined == record->quarantined)
      continue;
    record->quarantined = quarantined;
    report_change (quarantine, record, local);
  }
}

static bool
is_blocked (const BurdockPartQuarantine *quarantine, const Record *record,
            uint64_t now_us)
{
  return record->quarantined && now_us < quarantine_end_us (quarantine, record);
}

bool
burdock_part_quarantine_blocks (const BurdockPartQuarantine *quarantine,
                                const BurdockPromptParts *parts, uint64_t now_us)
{
  for (uint32_t i = 0;
       i < burdock_prompt_parts_all (parts) && quarantine->record_count > 0; i++) {
    uint32_t at = burdock_part_find (quarantine, burdock_prompt_parts_id (parts, i));

    if (at < quarantine->record_count &&
        is_blocked (quarantine, &quarantine->records[at], now_us))
      return true;
  }
  return false;
}

/* Time until a part may be sent, 0 for now. */
static uint64_t
wait_us (const BurdockPartQuarantine *quarantine, const Record *record, uint64_t now_us)
{
  uint64_t until_us;

  if (!record->quarantined)
    return 0;
  until_us = quarantine_end_us (quarantine, record);
  if (record->next_trial_us > until_us)
    until_us = record->next_trial_us;
  return until_us > now_us ? until_us - now_us : 0;
}

bool
burdock_part_quarantine_admit (BurdockPartQuarantine *quarantine,
                               const BurdockPromptParts *parts, uint64_t now_us,
                               uint32_t *retry_after_ms)
{
  uint64_t longest_us = 0;

  for (uint32_t i = 0;
       i < burdock_prompt_parts_all (parts) && quarantine->record_count > 0; i++) {
    const Record *record =
        burdock_part_known (quarantine, burdock_prompt_parts_id (parts, i));
    uint64_t us = record != NULL ? wait_us (quarantine, record, now_us) : 0;

    longest_us = us > longest_us ? us : longest_us;
  }
  if (longest_us > 0) {
    *retry_after_ms = (uint32_t)(longest_us / US_PER_MS) + 1;
    return false;
  }
  for (uint32_t i = 0;
       i < burdock_prompt_parts_all (parts) && quarantine->record_count > 0; i++) {
    Record *record = burdock_part_known (quarantine, burdock_prompt_parts_id (parts, i));

    if (record != NULL && record->quarantined)
      record->next_trial_us = now_us + TRIAL_INTERVAL_US;
  }
  return true;
}

bool
burdock_part_quarantine_is_suspect (const BurdockPartQuarantine *quarantine,
                                    const BurdockPromptParts *parts, uint64_t upstream)
{
  for (uint32_t i = 0;
       i < burdock_prompt_parts_all (parts) && quarantine->record_count > 0; i++) {
    uint32_t at = burdock_part_find (quarantine, burdock_prompt_parts_id (parts, i));
    const Record *record = &quarantine->records[at];

    if (at == quarantine->record_count)
      continue;
    for (uint32_t k = 0; k < record->crash_count; k++) {
      if (record->crashes[k].upstream != upstream)
        return true;
    }
  }
  return false;
}

static bool
was_answered (const BurdockPartQuarantine *quarantine, uint64_t request, uint64_t now_us)
{
  for (uint32_t i = 0; i < ANSWERS_MAX; i++) {
    const Answer *answer = &quarantine->answers[i];

    if (answer->request == request && answer->at_us != 0 &&
        now_us < answer->at_us + SUSPECT_US)
      return true;
  }
  return false;
}

void
burdock_part_quarantine_record_break (BurdockPartQuarantine *quarantine,
                                      const BurdockPromptParts *parts, uint64_t upstream,
                                      bool begun, uint64_t now_us)
{
  if (burdock_prompt_parts_all (parts) == 0 || quarantine->break_count == BREAKS_MAX)
    return;
  quarantine->breaks[quarantine->break_count++] =
      (Break){ .upstream = upstream,
               .at_us = now_us,
               .begun = begun && !was_answered (quarantine, parts->request, now_us),
               .parts = *parts };
}

static void
record_crash (BurdockPartQuarantine *quarantine, const Break *broken, uint64_t part,
              uint32_t depth)
{
  Record *record = burdock_part_record (quarantine, part);
  Crash crash = { broken->upstream, broken->at_us, broken->begun };

  if (!burdock_part_add_crash (record, &crash, depth))
    return;
  record->changed_us = broken->at_us;
  record->shares_left = SHARE_REPEATS;
  /* The crash makes the quarantine longer. */
  if (record->quarantined)
    report_change (quarantine, record, true);
}

void
burdock_part_quarantine_record_answer (BurdockPartQuarantine *quarantine,
                                       const BurdockPromptParts *parts, uint64_t now_us)
{
  bool changed = false;

  quarantine->answers[quarantine->next_answer++ % ANSWERS_MAX] =
      (Answer){ .request = parts->request, .at_us = now_us };
  for (uint32_t i = 0;
       i < burdock_prompt_parts_all (parts) && quarantine->record_count > 0; i++) {
    Record *record = burdock_part_known (quarantine, burdock_prompt_parts_id (parts, i));

    if (record == NULL || record->crash_count == 0)
      continue;
    record->crash_count = 0;
    record->answered_us = record->changed_us = now_us;
    record->shares_left = SHARE_REPEATS;
    changed = true;
  }
  if (changed)
    burdock_part_update (quarantine, true);
}

uint32_t
burdock_part_quarantine_count (const BurdockPartQuarantine *quarantine)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < quarantine->record_count; i++)
    count += quarantine->records[i].quarantined;
  return count;
}

/* Returns whether a crash was recorded. */
static bool
confirm_parts (BurdockPartQuarantine *quarantine, Break *broken)
{
  const BurdockPartQuarantineHandler *handler = &quarantine->handler;

  if (broken->parts_recorded ||
      !handler->has_ended (handler->ctx, broken->upstream, broken->at_us))
    return false;
  for (uint32_t i = 0; i < broken->parts.count; i++)
    record_crash (quarantine, broken, broken->parts.ids[i], i);
  broken->parts_recorded = true;
  return broken->parts.count > 0;
}

/* Returns whether a crash was recorded; the break is over then. */
static bool
confirm_request (BurdockPartQuarantine *quarantine, const Break *broken)
{
  const BurdockPartQuarantineHandler *handler = &quarantine->handler;

  if (broken->parts.request == 0 ||
      !handler->has_ended_itself (handler->ctx, broken->upstream, broken->at_us))
    return false;
  record_crash (quarantine, broken, broken->parts.request, BURDOCK_REQUEST_DEPTH);
  return true;
}

static bool
is_open (const Break *broken, uint64_t now_us)
{
  return now_us < broken->at_us + BREAK_CONFIRM_US &&
         (!broken->parts_recorded || broken->parts.request != 0);
}

static void
confirm_breaks (BurdockPartQuarantine *quarantine, uint64_t now_us)
{
  uint32_t kept = 0;
  bool crashed = false;

  for (uint32_t i = 0; i < quarantine->break_count; i++) {
    Break *broken = &quarantine->breaks[i];
    bool parts = confirm_parts (quarantine, broken);
    bool request = confirm_request (quarantine, broken);

    crashed = crashed || parts || request;
    if (request || !is_open (broken, now_us))
      continue;
    if (kept != i)
      quarantine->breaks[kept] = *broken;
    kept++;
  }
  quarantine->break_count = kept;
  if (crashed)
    burdock_part_update (quarantine, true);
}

bool
burdock_part_quarantine_next_check (BurdockPartQuarantine *quarantine, uint64_t now_us,
                                    uint64_t *upstream)
{
  uint32_t due = 0;

  while (due < quarantine->break_count &&
         (quarantine->breaks[due].checks == CHECKS_MAX ||
          now_us < quarantine->breaks[due].at_us +
                       check_delays_us[quarantine->breaks[due].checks]))
    due++;
  if (due == quarantine->break_count)
    return false;
  *upstream = quarantine->breaks[due].upstream;
  for (uint32_t i = due; i < quarantine->break_count; i++) {
    if (quarantine->breaks[i].upstream == *upstream &&
        quarantine->breaks[i].checks < CHECKS_MAX)
      quarantine->breaks[i].checks++;
  }
  return true;
}

static bool
is_outdated (const Record *record, uint64_t now_us)
{
  uint64_t kept_us = record->quarantined
                         ? burdock_part_duration_us (record->crash_count) + TRIAL_US
                         : SUSPECT_US;

  return now_us > record->changed_us + kept_us;
}

static void
forget_outdated (BurdockPartQuarantine *quarantine, uint64_t now_us)
{
  uint32_t kept = 0;

  for (uint32_t i = 0; i < quarantine->record_count; i++) {
    Record *record = &quarantine->records[i];

    if (!is_outdated (record, now_us)) {
      if (kept != i)
        quarantine->records[kept] = *record;
      kept++;
    } else if (record->quarantined) {
      record->quarantined = false;
      report_change (quarantine, record, false);
    }
  }
  quarantine->record_count = kept;
}

uint64_t
burdock_part_quarantine_tick (BurdockPartQuarantine *quarantine, uint64_t now_us)
{
  confirm_breaks (quarantine, now_us);
  forget_outdated (quarantine, now_us);
  return now_us + TICK_US;
}
