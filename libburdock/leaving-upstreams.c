#include "leaving-upstreams.h"

#include "hash.h"

#include <stdlib.h>

#define NOTICES_MAX 1024
#define KEPT_US UINT64_C (600000000)

/* A start that is not known, or lies before that of the notice, may be a later one: an
 * upstream takes the time from the clock of its instance. */
#define KEPT_UNKNOWN_START_US UINT64_C (60000000)

/* Most upstreams have gone a minute after their notice. */
#define REPEATED_US UINT64_C (60000000)

/* Time between repeats of any gateway. */
#define REPEAT_INTERVAL_US UINT64_C (500000)

/* Gateways that tell at once what all of them have read. */
#define FIRST_SENDERS 3

/* Datagrams may be lost, so what only this gateway knows is sent several times. */
#define ANSWER_SENDS 3
#define SEND_INTERVAL_US UINT64_C (200000)

/* A notice; @sends_left messages about it are due from @next_send_us on. */
typedef struct {
  uint64_t upstream;
  uint64_t born_ms;
  uint64_t at_us;
  BurdockNoticeSource source;
  uint32_t sends_left;
  uint64_t next_send_us;
} Notice;

struct BurdockLeavingUpstreams {
  uint64_t gateway;
  uint64_t next_repeat_us; /* 0 while there is nothing to repeat */
  uint32_t repeat_at;
  uint32_t count;
  Notice notices[NOTICES_MAX];
};

BurdockLeavingUpstreams *
burdock_leaving_upstreams_new (uint64_t gateway)
{
  BurdockLeavingUpstreams *set = calloc (1, sizeof *set);

  if (set != NULL)
    set->gateway = gateway;
  return set;
}

void
burdock_leaving_upstreams_free (BurdockLeavingUpstreams *set)
{
  free (set);
}

static const Notice *
find_notice (const BurdockLeavingUpstreams *set, uint64_t upstream)
{
  for (uint32_t i = 0; i < set->count; i++) {
    if (set->notices[i].upstream == upstream)
      return &set->notices[i];
  }
  return NULL;
}

bool
burdock_leaving_upstreams_contains (const BurdockLeavingUpstreams *set, uint64_t upstream,
                                    uint64_t born_ms, uint64_t now_us)
{
  const Notice *notice = find_notice (set, upstream);
  bool same_start;

  if (notice == NULL || born_ms > notice->born_ms)
    return false;
  same_start = born_ms == notice->born_ms && born_ms != 0;
  return now_us < notice->at_us + (same_start ? KEPT_US : KEPT_UNKNOWN_START_US);
}

/* The notice about @upstream, or else a free one or the oldest. */
static Notice *
notice_to_replace (BurdockLeavingUpstreams *set, uint64_t upstream)
{
  const Notice *known = find_notice (set, upstream);
  Notice *oldest = &set->notices[0];

  if (known != NULL)
    return &set->notices[known - set->notices];
  if (set->count < NOTICES_MAX)
    return &set->notices[set->count++];
  for (uint32_t i = 1; i < set->count; i++)
    oldest = set->notices[i].at_us < oldest->at_us ? &set->notices[i] : oldest;
  return oldest;
}

static uint32_t
first_sends (BurdockNoticeSource source)
{
  switch (source) {
  case BURDOCK_NOTICE_ROW:
    return 1;
  case BURDOCK_NOTICE_ANSWER:
    return ANSWER_SENDS;
  case BURDOCK_NOTICE_GATEWAY:
    break;
  }
  return 0;
}

bool
burdock_leaving_upstreams_note (BurdockLeavingUpstreams *set, uint64_t upstream,
                                uint64_t born_ms, BurdockNoticeSource source,
                                uint64_t now_us)
{
  if (burdock_leaving_upstreams_contains (set, upstream, born_ms, now_us))
    return false;
  *notice_to_replace (set, upstream) = (Notice){ .upstream = upstream,
                                                 .born_ms = born_ms,
                                                 .at_us = now_us,
                                                 .source = source,
                                                 .sends_left = first_sends (source),
                                                 .next_send_us = now_us };
  return true;
}

static bool
is_first_sender (const BurdockLeavingUpstreams *set, const Notice *notice,
                 uint32_t gateways)
{
  uint64_t key = burdock_hash_pair (notice->upstream, notice->born_ms);

  return burdock_hash_unit (burdock_hash_pair (key, set->gateway)) * gateways <
         FIRST_SENDERS;
}

/* Takes one message about @notice if it is due. */
static bool
take_send (const BurdockLeavingUpstreams *set, Notice *notice, uint32_t gateways,
           uint64_t now_us)
{
  if (notice->sends_left == 0 || now_us < notice->next_send_us)
    return false;
  notice->sends_left--;
  notice->next_send_us = now_us + SEND_INTERVAL_US;
  return notice->source != BURDOCK_NOTICE_ROW || is_first_sender (set, notice, gateways);
}

static bool
is_repeated (const Notice *notice, uint64_t now_us)
{
  return now_us < notice->at_us + REPEATED_US;
}

static BurdockLeavingItem
item_of (const Notice *notice)
{
  return (BurdockLeavingItem){ .upstream_id = notice->upstream,
                               .born_ms = notice->born_ms };
}

static uint32_t
repeat (BurdockLeavingUpstreams *set, uint64_t now_us, BurdockLeavingItem *items,
        uint32_t limit)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < set->count && count < limit; i++) {
    const Notice *notice = &set->notices[set->repeat_at++ % set->count];

    if (is_repeated (notice, now_us))
      items[count++] = item_of (notice);
  }
  return count;
}

uint32_t
burdock_leaving_upstreams_share (BurdockLeavingUpstreams *set, uint32_t gateways,
                                 uint64_t now_us, BurdockLeavingItem *items,
                                 uint32_t limit)
{
  uint64_t interval_us = REPEAT_INTERVAL_US * gateways;
  uint32_t count = 0;

  for (uint32_t i = 0; i < set->count && count < limit; i++) {
    if (take_send (set, &set->notices[i], gateways, now_us))
      items[count++] = item_of (&set->notices[i]);
  }
  if (count > 0 || set->count == 0)
    return count;
  /* Gateways that begin to repeat at the same time take their turns at different ones. */
  if (set->next_repeat_us == 0)
    set->next_repeat_us =
        now_us + (uint64_t)(burdock_hash_unit (burdock_hash_mix (set->gateway)) *
                            (double)interval_us);
  if (now_us < set->next_repeat_us)
    return 0;
  count = repeat (set, now_us, items, limit);
  set->next_repeat_us = count > 0 ? now_us + interval_us : 0;
  return count;
}

uint32_t
burdock_leaving_upstreams_list (const BurdockLeavingUpstreams *set, uint64_t now_us,
                                BurdockLeavingItem *items, uint32_t limit)
{
  uint32_t count = 0;

  for (uint32_t i = set->count; i > 0 && count < limit; i--) {
    if (is_repeated (&set->notices[i - 1], now_us))
      items[count++] = item_of (&set->notices[i - 1]);
  }
  return count;
}
