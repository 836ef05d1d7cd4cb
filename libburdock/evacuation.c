#include "evacuation.h"

#include "hash.h"

#include <stdlib.h>
#include <string.h>

/* Gateways that send a change at once. With half of 32 gateways cut off from the store,
 * four of the others are expected among them. */
#define FIRST_SENDERS 8

/* Datagrams may be lost, so a change is sent several times. */
#define CHANGE_SENDS 3
#define SEND_INTERVAL_US UINT64_C (200000)

/* Time between repeats of any gateway. */
#define REPEAT_INTERVAL_US UINT64_C (500000)

/* The end of an evacuation is repeated for this time. A gateway that misses it still
 * states the evacuation, and is answered. */
#define REPEATED_US UINT64_C (60000000)

/* @listed: seen in the listing that is being read */
typedef struct {
  bool listed;
} Mark;

struct BurdockEvacuation {
  uint64_t gateway;
  BurdockEvacuationHandler handler;
  uint64_t listed_era; /* the rows up to this version are known */
  uint64_t listed_version;
  bool listed; /* a listing was read, and all rows since are kept */
  uint32_t count;
  BurdockEvacuationItem items[BURDOCK_EVACUATION_ITEMS_MAX];
  Mark marks[BURDOCK_EVACUATION_ITEMS_MAX];
  bool changed; /* since the last call about sharing */
  uint64_t changed_us;
  uint32_t sends_left;
  uint64_t next_send_us;
  uint64_t next_repeat_us; /* 0 while there is nothing to repeat */
};

BurdockEvacuation *
burdock_evacuation_new (uint64_t gateway, const BurdockEvacuationHandler *handler)
{
  BurdockEvacuation *set = calloc (1, sizeof *set);

  if (set == NULL)
    return NULL;
  set->gateway = gateway;
  set->handler = *handler;
  return set;
}

void
burdock_evacuation_free (BurdockEvacuation *set)
{
  free (set);
}

static bool
is_later (uint64_t era, uint64_t version, uint64_t than_era, uint64_t than_version)
{
  return era != than_era ? era > than_era : version > than_version;
}

static bool
is_newer (const BurdockEvacuationItem *item, const BurdockEvacuationItem *than)
{
  return is_later (item->era, item->version, than->era, than->version);
}

static BurdockEvacuationItem *
find_item (BurdockEvacuation *set, const char *failure_domain)
{
  for (uint32_t i = 0; i < set->count; i++) {
    if (strcmp (set->items[i].failure_domain, failure_domain) == 0)
      return &set->items[i];
  }
  return NULL;
}

/* A free place, or that of the oldest failure domain that is not evacuated; NULL if all
 * are. */
static BurdockEvacuationItem *
free_item (BurdockEvacuation *set)
{
  BurdockEvacuationItem *oldest = NULL;

  if (set->count < BURDOCK_EVACUATION_ITEMS_MAX)
    return &set->items[set->count++];
  for (uint32_t i = 0; i < set->count; i++) {
    BurdockEvacuationItem *item = &set->items[i];

    if (!item->evacuated && (oldest == NULL || is_newer (oldest, item)))
      oldest = item;
  }
  return oldest;
}

static void
note_change (BurdockEvacuation *set, uint64_t now_us)
{
  set->changed = true;
  set->changed_us = now_us;
}

/* Replaces what is known about a failure domain, if @item is newer. Returns false if
 * there is no room for it. */
static bool
put_item (BurdockEvacuation *set, const BurdockEvacuationItem *item,
          BurdockEvacuationSource source, uint64_t now_us)
{
  BurdockEvacuationItem *known = find_item (set, item->failure_domain);
  bool evacuated = known != NULL && known->evacuated;

  if (known != NULL && !is_newer (item, known))
    return true;
  if (known == NULL)
    known = free_item (set);
  if (known == NULL)
    return !item->evacuated;
  *known = *item;
  note_change (set, now_us);
  if (item->evacuated != evacuated)
    set->handler.changed (set->handler.ctx, item, source);
  return true;
}

static void
mark_listed (BurdockEvacuation *set, const char *failure_domain)
{
  const BurdockEvacuationItem *item = find_item (set, failure_domain);

  if (item != NULL)
    set->marks[item - set->items].listed = true;
}

/* An unreadable row takes a place of its own, so that what another gateway has read
 * before it became unreadable is not taken for outdated. */
static bool
put_unreadable (BurdockEvacuation *set, const char *failure_domain)
{
  BurdockEvacuationItem *item = find_item (set, failure_domain);

  if (item != NULL)
    return true;
  item = free_item (set);
  if (item == NULL)
    return false;
  *item = (BurdockEvacuationItem){ 0 };
  memcpy (item->failure_domain, failure_domain, sizeof item->failure_domain);
  return true;
}

/* What a listing does not show is gone. */
static void
end_unlisted (BurdockEvacuation *set, const BurdockEvacuationAnswer *answer,
              uint64_t now_us)
{
  for (uint32_t i = 0; i < set->count; i++) {
    BurdockEvacuationItem gone = set->items[i];

    if (set->marks[i].listed || !gone.evacuated)
      continue;
    gone.era = answer->era;
    gone.version = answer->version;
    gone.evacuated = false;
    put_item (set, &gone, BURDOCK_EVACUATION_STORE, now_us);
  }
}

uint32_t
burdock_evacuation_read (BurdockEvacuation *set, const BurdockEvacuationAnswer *answer,
                         uint64_t now_us)
{
  uint32_t ignored = 0;

  memset (set->marks, 0, sizeof set->marks);
  for (uint32_t i = 0; i < answer->count; i++) {
    const BurdockEvacuationRow *row = &answer->rows[i];

    if (row->unreadable)
      ignored += !put_unreadable (set, row->item.failure_domain);
    else
      ignored += !put_item (set, &row->item, BURDOCK_EVACUATION_STORE, now_us);
  }
  /* Rows may have moved others out of their places. */
  for (uint32_t i = 0; i < answer->count; i++)
    mark_listed (set, answer->rows[i].item.failure_domain);
  if (answer->listing)
    end_unlisted (set, answer, now_us);
  /* A row that was ignored is not absent. */
  if (ignored > 0) {
    set->listed = false;
  } else if (answer->listing || set->listed) {
    set->listed = true;
    set->listed_era = answer->era;
    set->listed_version = answer->version;
  }
  return ignored;
}

/* Whether the store did not show the failure domain of @item when the gateway read it,
 * later than the statement of the other gateway. */
static bool
is_known_absent (const BurdockEvacuation *set, const BurdockEvacuationItem *item)
{
  return set->listed &&
         !is_later (item->era, item->version, set->listed_era, set->listed_version);
}

bool
burdock_evacuation_merge (BurdockEvacuation *set, const BurdockEvacuationItem *items,
                          uint32_t count, uint64_t now_us)
{
  bool behind = false;

  for (uint32_t i = 0; i < count; i++) {
    BurdockEvacuationItem item = items[i];
    const BurdockEvacuationItem *known = find_item (set, item.failure_domain);

    if (item.failure_domain[0] == '\0' || item.version == 0)
      continue;
    if (known != NULL) {
      behind = behind || (is_newer (known, &item) && known->evacuated != item.evacuated);
    } else if (is_known_absent (set, &item)) {
      if (!item.evacuated)
        continue;
      behind = true;
      item.era = set->listed_era;
      item.version = set->listed_version;
      item.evacuated = false;
    }
    put_item (set, &item, BURDOCK_EVACUATION_GATEWAY, now_us);
  }
  return behind;
}

const BurdockEvacuationItem *
burdock_evacuation_items (const BurdockEvacuation *set, uint32_t *count)
{
  *count = set->count;
  return set->items;
}

uint32_t
burdock_evacuation_count (const BurdockEvacuation *set)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < set->count; i++)
    count += set->items[i].evacuated;
  return count;
}

uint64_t
burdock_evacuation_version (const BurdockEvacuation *set, uint64_t era)
{
  uint64_t version = 0;

  for (uint32_t i = 0; i < set->count; i++) {
    if (set->items[i].era == era && set->items[i].version > version)
      version = set->items[i].version;
  }
  return version;
}

static uint64_t
newest_key (const BurdockEvacuation *set)
{
  const BurdockEvacuationItem *newest = &set->items[0];

  for (uint32_t i = 1; i < set->count; i++) {
    if (is_newer (&set->items[i], newest))
      newest = &set->items[i];
  }
  return burdock_hash_pair (newest->era, newest->version);
}

static bool
is_chosen (const BurdockEvacuation *set, uint64_t key, uint32_t gateways)
{
  return burdock_hash_unit (burdock_hash_pair (key, set->gateway)) * gateways <
         FIRST_SENDERS;
}

static bool
is_repeated (const BurdockEvacuation *set, uint64_t now_us)
{
  return burdock_evacuation_count (set) > 0 || (set->count > 0 && set->changed_us != 0 &&
                                                now_us < set->changed_us + REPEATED_US);
}

static bool
take_repeat (BurdockEvacuation *set, uint32_t gateways, uint64_t now_us)
{
  uint64_t interval_us = REPEAT_INTERVAL_US * gateways;

  if (!is_repeated (set, now_us)) {
    set->next_repeat_us = 0;
    return false;
  }
  /* Gateways that begin to repeat at the same time take their turns at different ones. */
  if (set->next_repeat_us == 0)
    set->next_repeat_us =
        now_us + (uint64_t)(burdock_hash_unit (burdock_hash_mix (set->gateway)) *
                            (double)interval_us);
  if (now_us < set->next_repeat_us)
    return false;
  set->next_repeat_us = now_us + interval_us;
  return true;
}

bool
burdock_evacuation_is_share_due (BurdockEvacuation *set, uint32_t gateways,
                                 uint64_t now_us)
{
  if (set->changed) {
    set->changed = false;
    if (is_chosen (set, newest_key (set), gateways)) {
      set->sends_left = CHANGE_SENDS;
      set->next_send_us = now_us;
    }
  }
  if (set->sends_left > 0 && now_us >= set->next_send_us) {
    set->sends_left--;
    set->next_send_us = now_us + SEND_INTERVAL_US;
    return true;
  }
  return take_repeat (set, gateways, now_us);
}

bool
burdock_evacuation_is_answerer (const BurdockEvacuation *set, uint64_t peer,
                                uint32_t gateways, uint64_t now_us)
{
  return is_chosen (set, burdock_hash_pair (peer, now_us / REPEAT_INTERVAL_US), gateways);
}
