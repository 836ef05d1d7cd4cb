/**
 * DOC: group-load.h - load of a rank group, from the reports of its ranks
 *
 * Aggregates the reports of all ranks per interval and derives the popularity of experts,
 * the speed of ranks and the skew of step times.
 */
#ifndef BURDOCK_GROUP_LOAD_H
#define BURDOCK_GROUP_LOAD_H

#include "expert-map.h"
#include "message.h"
#include "optional.h"
#include "popularity.h"

/** struct BurdockRankLoad - reports of one rank */
typedef struct {
  uint64_t last_report_us; /* 0 before the first report */
  uint64_t step;
  BurdockOptional interval_step; /* step when the interval began, none in the first */
  uint32_t step_time_us;
  uint32_t pause_us; /* since the interval began */
  uint64_t tokens;   /* since the interval began */
  bool reported;     /* in this interval */
} BurdockRankLoad;

/**
 * struct BurdockGroupLoad - load of a group
 * @tokens: tokens per layer and expert since the interval began
 * @speed: speed of each rank, 1 for a normal rank, lower for a straggler
 * @step_tokens: tokens per rank, layer and step in the last interval, 0 if unknown
 * @pause_us: longest pause of a rank in the last interval
 */
typedef struct {
  uint32_t ranks;
  uint32_t layers;
  uint32_t experts;
  BurdockPopularity *popularity;
  double *tokens;
  double speed[BURDOCK_MAP_RANKS_MAX];
  double step_tokens;
  uint32_t pause_us;
  BurdockRankLoad reports[BURDOCK_MAP_RANKS_MAX];
} BurdockGroupLoad;

/** burdock_group_load_init() - release with burdock_group_load_clear() */
void burdock_group_load_init (BurdockGroupLoad *load, uint32_t ranks, uint32_t layers,
                              uint32_t experts);
void burdock_group_load_clear (BurdockGroupLoad *load);

/**
 * burdock_group_load_add_report() - adds the report of a rank
 * @map: map that the rank used; NULL if unknown, in which case its tokens are ignored
 */
void burdock_group_load_add_report (BurdockGroupLoad *load,
                                    const BurdockPopularityMessage *message,
                                    const BurdockExpertMap *map, uint64_t now_us);

/** burdock_group_load_complete() - whether all ranks have reported in this interval */
bool burdock_group_load_complete (const BurdockGroupLoad *load);

/** burdock_group_load_end_interval() - ends the interval and updates the estimates */
void burdock_group_load_end_interval (BurdockGroupLoad *load);

/** burdock_group_load_skew_us() - gap between the longest and the shortest of the last
 * step times */
uint32_t burdock_group_load_skew_us (const BurdockGroupLoad *load);

/** burdock_group_load_slowest_us() - longest of the last step times of the ranks */
uint32_t burdock_group_load_slowest_us (const BurdockGroupLoad *load);

#endif
