#include "group-load.h"

#include <stdlib.h>
#include <string.h>

/* A rank is a straggler if its step time exceeds the one expected from its tokens by more
 * than this factor. */
#define STRAGGLER_RATIO 1.25
#define SPEED_GAIN 0.3

/* Part of the step time that does not depend on the tokens of a rank. */
#define FIXED_STEP_PART 0.5

void
burdock_group_load_init (BurdockGroupLoad *load, uint32_t ranks, uint32_t layers,
                         uint32_t experts)
{
  *load = (BurdockGroupLoad){ .ranks = ranks, .layers = layers, .experts = experts };
  load->popularity = burdock_popularity_new (layers, experts);
  load->tokens = calloc ((size_t)layers * experts, sizeof *load->tokens);
  for (uint32_t r = 0; r < BURDOCK_MAP_RANKS_MAX; r++)
    load->speed[r] = 1;
}

void
burdock_group_load_clear (BurdockGroupLoad *load)
{
  burdock_popularity_free (load->popularity);
  free (load->tokens);
  *load = (BurdockGroupLoad){ 0 };
}

static uint32_t
read_u32 (const uint8_t *at)
{
  return ((uint32_t)at[0] << 24) | ((uint32_t)at[1] << 16) | ((uint32_t)at[2] << 8) |
         at[3];
}

static void
add_tokens (BurdockGroupLoad *load, uint32_t rank, const BurdockExpertMap *map,
            BurdockBytes bytes)
{
  if (bytes.length_bytes != (uint64_t)map->layers * map->slots * 4)
    return;
  for (uint32_t l = 0; l < map->layers; l++) {
    const uint16_t *experts = burdock_expert_map_rank_slots (map, l, rank);

    for (uint32_t s = 0; s < map->slots; s++) {
      uint32_t value = read_u32 (bytes.data + ((size_t)l * map->slots + s) * 4);

      load->tokens[(size_t)l * load->experts + experts[s]] += value;
      load->reports[rank].tokens += value;
    }
  }
}

void
burdock_group_load_add_report (BurdockGroupLoad *load,
                               const BurdockPopularityMessage *message,
                               const BurdockExpertMap *map, uint64_t now_us)
{
  BurdockRankLoad *report;

  if (message->rank >= load->ranks)
    return;
  report = &load->reports[message->rank];
  report->last_report_us = now_us;
  report->step_time_us = message->step_time_us;
  report->step = message->step;
  report->pause_us += message->pause_us;
  if (map == NULL)
    return;
  report->reported = true;
  add_tokens (load, message->rank, map, message->tokens);
}

bool
burdock_group_load_complete (const BurdockGroupLoad *load)
{
  for (uint32_t r = 0; r < load->ranks; r++)
    if (!load->reports[r].reported)
      return false;
  return true;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return (x > y) - (x < y);
}

/* Compares ranks by the ratio of their step time to the one expected from their tokens,
 * relative to the median rank. */
static void
update_speed (BurdockGroupLoad *load)
{
  double ratio[BURDOCK_MAP_RANKS_MAX];
  double sorted[BURDOCK_MAP_RANKS_MAX];
  double mean = 0;
  double median;

  for (uint32_t r = 0; r < load->ranks; r++)
    mean += (double)load->reports[r].tokens / load->ranks;
  for (uint32_t r = 0; r < load->ranks; r++) {
    const BurdockRankLoad *report = &load->reports[r];
    double relative_tokens = mean > 0 ? (double)report->tokens / mean : 1;

    ratio[r] = report->step_time_us /
               (FIXED_STEP_PART + (1 - FIXED_STEP_PART) * relative_tokens);
    sorted[r] = ratio[r];
  }
  qsort (sorted, load->ranks, sizeof sorted[0], compare_doubles);
  median = sorted[(load->ranks - 1) / 2];
  for (uint32_t r = 0; r < load->ranks && median > 0; r++) {
    double slowdown = ratio[r] / median;
    double target = slowdown > STRAGGLER_RATIO ? 1 / slowdown : 1;

    load->speed[r] += SPEED_GAIN * (target - load->speed[r]);
  }
}

static void
update_step_tokens (BurdockGroupLoad *load)
{
  const BurdockRankLoad *first = &load->reports[0];
  const BurdockOptional *began = &first->interval_step;
  double sum = 0;

  for (uint32_t r = 0; r < load->ranks; r++)
    sum += (double)load->reports[r].tokens;
  load->step_tokens = 0;
  if (began->is_set && first->step > began->value)
    load->step_tokens =
        sum / load->ranks / load->layers / (double)(first->step - began->value);
}

void
burdock_group_load_end_interval (BurdockGroupLoad *load)
{
  burdock_popularity_add (load->popularity, load->tokens);
  memset (load->tokens, 0, (size_t)load->layers * load->experts * sizeof *load->tokens);
  update_speed (load);
  update_step_tokens (load);
  load->pause_us = 0;
  for (uint32_t r = 0; r < load->ranks; r++) {
    if (load->reports[r].pause_us > load->pause_us)
      load->pause_us = load->reports[r].pause_us;
    load->reports[r].pause_us = 0;
    load->reports[r].reported = false;
    load->reports[r].tokens = 0;
    if (load->reports[r].last_report_us > 0)
      load->reports[r].interval_step = burdock_optional (load->reports[r].step);
  }
}

uint32_t
burdock_group_load_slowest_us (const BurdockGroupLoad *load)
{
  uint32_t slowest_us = 0;

  for (uint32_t r = 0; r < load->ranks; r++)
    if (load->reports[r].step_time_us > slowest_us)
      slowest_us = load->reports[r].step_time_us;
  return slowest_us;
}

uint32_t
burdock_group_load_skew_us (const BurdockGroupLoad *load)
{
  uint32_t slowest_us = burdock_group_load_slowest_us (load);
  uint32_t fastest_us = slowest_us;

  for (uint32_t r = 0; r < load->ranks; r++)
    if (load->reports[r].step_time_us > 0 && load->reports[r].step_time_us < fastest_us)
      fastest_us = load->reports[r].step_time_us;
  return slowest_us - fastest_us;
}
