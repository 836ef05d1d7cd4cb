/* Evidence for heartbeats and stored rows, and evidence from them. */
#include "part-quarantine-private.h"

/* Time between heartbeats of any gateway that repeat a quarantined part. */
#define REPEAT_INTERVAL_US (500 * US_PER_MS)

static uint32_t
age_ms (uint64_t at_us, uint64_t now_us)
{
  uint64_t age = now_us > at_us ? (now_us - at_us) / US_PER_MS : 0;

  return age < UINT32_MAX ? (uint32_t)age : UINT32_MAX;
}

static uint32_t
write_items (const Record *record, uint64_t now_us, BurdockPartItem *items)
{
  for (uint32_t i = 0; i < record->crash_count; i++)
    items[i] =
        (BurdockPartItem){ .part = record->part,
                           .kind = record->crashes[i].begun ? BURDOCK_PART_CRASHED_BEGUN
                                                            : BURDOCK_PART_CRASHED,
                           .upstream_id = record->crashes[i].upstream,
                           .depth = record->depth,
                           .age_ms = age_ms (record->crashes[i].at_us, now_us) };
  if (record->crash_count > 0 || record->answered_us == 0)
    return record->crash_count;
  items[0] = (BurdockPartItem){ .part = record->part,
                                .kind = BURDOCK_PART_ANSWERED,
                                .age_ms = age_ms (record->answered_us, now_us) };
  return 1;
}

/* Index of the quarantined part to repeat now, record_count for none. */
static uint32_t
repeated_record (BurdockPartQuarantine *quarantine, uint32_t gateways, uint64_t now_us)
{
  if (now_us < quarantine->next_repeat_us)
    return quarantine->record_count;
  quarantine->next_repeat_us = now_us + REPEAT_INTERVAL_US * gateways;
  for (uint32_t i = 0; i < quarantine->record_count; i++) {
    uint32_t at = (quarantine->repeat_at + 1 + i) % quarantine->record_count;

    if (!quarantine->records[at].quarantined)
      continue;
    quarantine->repeat_at = at;
    return at;
  }
  return quarantine->record_count;
}

uint32_t
burdock_part_quarantine_share (BurdockPartQuarantine *quarantine, uint32_t gateways,
                               uint64_t now_us, BurdockPartItem *items, uint32_t limit)
{
  uint32_t repeated = repeated_record (quarantine, gateways, now_us);
  uint32_t count = 0;

  for (uint32_t i = 0; i < quarantine->record_count; i++) {
    Record *record = &quarantine->records[i];

    if (record->shares_left == 0 && i != repeated)
      continue;
    if (count + BURDOCK_PART_CRASHES_MAX > limit)
      break;
    if (record->shares_left > 0)
      record->shares_left--;
    count += write_items (record, now_us, items + count);
  }
  return count;
}

bool
burdock_part_quarantine_has_news (const BurdockPartQuarantine *quarantine)
{
  for (uint32_t i = 0; i < quarantine->record_count; i++) {
    if (quarantine->records[i].shares_left == SHARE_REPEATS)
      return true;
  }
  return false;
}

static bool
merge_answer (BurdockPartQuarantine *quarantine, const BurdockPartItem *item,
              uint64_t at_us)
{
  Record *record = burdock_part_known (quarantine, item->part);
  uint32_t kept = 0;

  if (record == NULL || at_us <= record->answered_us)
    return false;
  record->answered_us = at_us;
  for (uint32_t i = 0; i < record->crash_count; i++) {
    if (record->crashes[i].at_us > at_us)
      record->crashes[kept++] = record->crashes[i];
  }
  record->crash_count = kept;
  return true;
}

static bool
merge_item (BurdockPartQuarantine *quarantine, const BurdockPartItem *item,
            uint64_t now_us)
{
  uint64_t since_us = item->age_ms * US_PER_MS;
  uint64_t at_us = now_us > since_us ? now_us - since_us : 0;
  Crash crash = { item->upstream_id, at_us, item->kind == BURDOCK_PART_CRASHED_BEGUN };
  Record *record;

  if (item->kind == BURDOCK_PART_ANSWERED)
    return merge_answer (quarantine, item, at_us);
  if (item->kind != BURDOCK_PART_CRASHED && item->kind != BURDOCK_PART_CRASHED_BEGUN)
    return false;
  record = burdock_part_record (quarantine, item->part);
  if (at_us > record->changed_us)
    record->changed_us = at_us;
  return burdock_part_add_crash (record, &crash, item->depth);
}

void
burdock_part_quarantine_merge (BurdockPartQuarantine *quarantine,
                               const BurdockPartItem *items, uint32_t count,
                               uint64_t now_us)
{
  bool changed = false;

  for (uint32_t i = 0; i < count; i++)
    changed = merge_item (quarantine, &items[i], now_us) || changed;
  if (changed)
    burdock_part_update (quarantine, false);
}

uint32_t
burdock_part_quarantine_evidence (const BurdockPartQuarantine *quarantine, uint64_t part,
                                  uint64_t now_us, BurdockPartItem *items)
{
  uint32_t at = burdock_part_find (quarantine, part);

  if (at == quarantine->record_count || !quarantine->records[at].quarantined)
    return 0;
  return write_items (&quarantine->records[at], now_us, items);
}

uint32_t
burdock_part_quarantine_list (const BurdockPartQuarantine *quarantine, uint64_t *parts,
                              uint32_t limit)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < quarantine->record_count && count < limit; i++) {
    if (quarantine->records[i].quarantined)
      parts[count++] = quarantine->records[i].part;
  }
  return count;
}

bool
burdock_part_quarantine_is_outdated (const BurdockPartItem *items, uint32_t count)
{
  uint64_t youngest_us = UINT64_MAX;

  for (uint32_t i = 0; i < count; i++) {
    uint64_t us = items[i].age_ms * US_PER_MS;

    youngest_us = us < youngest_us ? us : youngest_us;
  }
  return youngest_us > burdock_part_duration_us (count) + TRIAL_US;
}
