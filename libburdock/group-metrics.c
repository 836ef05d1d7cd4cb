#include "blackboard.h"

#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

/** struct Metric - metric that is exported from a field of a group view */
typedef struct {
  const char *name;
  const char *help;
  size_t offset;
  bool wide; /* uint64_t rather than uint32_t */
} Metric;

#define METRIC(field, wide_, name_, help_)                                               \
  {                                                                                      \
    .name = (name_), .help = (help_), .offset = offsetof (BurdockGroupView, field),      \
    .wide = (wide_)                                                                      \
  }

static const Metric metrics[] = {
  METRIC (skew_us, false, "skew_us", "gap between fastest and slowest rank in a step"),
  METRIC (planned_skew_permille, false, "planned_skew_permille",
          "skew expected on the map in use, in thousandths of the mean step time"),
  METRIC (map_epoch, true, "map_epoch", "epoch of the map in use"),
  METRIC (switches, true, "switches_total", "map switches committed"),
  METRIC (aborts, true, "aborts_total", "map switches aborted"),
  METRIC (moves, true, "moves_total", "expert copies moved"),
  METRIC (moved_bytes, true, "moved_bytes_total", "bytes of the expert copies moved"),
  METRIC (pauses, true, "pauses_total",
          "intervals in which the group waited for a switch"),
  METRIC (pause_us, true, "pause_us_total", "time that the group waited for switches"),
};

static uint64_t
value_of (const BurdockGroupView *group, const Metric *metric)
{
  const uint8_t *at = (const uint8_t *)group + metric->offset;
  uint64_t wide = 0;
  uint32_t narrow = 0;

  if (metric->wide) {
    memcpy (&wide, at, sizeof wide);
    return wide;
  }
  memcpy (&narrow, at, sizeof narrow);
  return narrow;
}

char *
burdock_groups_text (const BurdockGroups *groups)
{
  char *text = NULL;
  size_t size_bytes = 0;
  FILE *out = open_memstream (&text, &size_bytes);

  if (out == NULL)
    return NULL;
  for (uint32_t m = 0; m < sizeof metrics / sizeof metrics[0]; m++) {
    fprintf (out, "# HELP burdock_group_%s %s\n", metrics[m].name, metrics[m].help);
    for (uint32_t g = 0; g < groups->count; g++)
      if (groups->items[g].coordinating)
        fprintf (out, "burdock_group_%s{group=\"%s\"} %" PRIu64 "\n", metrics[m].name,
                 groups->items[g].name, value_of (&groups->items[g], &metrics[m]));
  }
  fclose (out);
  return text;
}
