#include "leaving-upstreams.h"

#include <stdlib.h>

#define NOTICES_MAX 1024
#define KEPT_US UINT64_C (600000000)

/* A restarted upstream whose start is not known cannot be told from the one that left. */
#define KEPT_UNKNOWN_START_US UINT64_C (60000000)

typedef struct {
  uint64_t upstream;
  uint64_t born_ms;
  uint64_t at_us;
} Notice;

struct BurdockLeavingUpstreams {
  uint32_t count;
  Notice notices[NOTICES_MAX];
};

BurdockLeavingUpstreams *
burdock_leaving_upstreams_new (void)
{
  return calloc (1, sizeof (BurdockLeavingUpstreams));
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

static bool
is_kept (const Notice *notice, uint64_t now_us)
{
  return now_us <
         notice->at_us + (notice->born_ms != 0 ? KEPT_US : KEPT_UNKNOWN_START_US);
}

bool
burdock_leaving_upstreams_contains (const BurdockLeavingUpstreams *set, uint64_t upstream,
                                    uint64_t born_ms, uint64_t now_us)
{
  const Notice *notice = find_notice (set, upstream);

  return notice != NULL && is_kept (notice, now_us) && born_ms <= notice->born_ms;
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

bool
burdock_leaving_upstreams_note (BurdockLeavingUpstreams *set, uint64_t upstream,
                                uint64_t born_ms, uint64_t now_us)
{
  if (burdock_leaving_upstreams_contains (set, upstream, born_ms, now_us))
    return false;
  *notice_to_replace (set, upstream) =
      (Notice){ .upstream = upstream, .born_ms = born_ms, .at_us = now_us };
  return true;
}
