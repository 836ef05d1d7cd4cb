#include "priority-share.h"

#include <math.h>

#define US_PER_S 1e6

/* A priority counts as used for this time after a request. A gateway with one request of
 * a priority in two seconds still keeps room for it. */
#define USED_US UINT64_C (10000000)

/* Rates are averaged over this time: with 2 to 4 requests per second of a priority in
 * each gateway, shorter averages are mostly noise. */
#define RATE_TIME_US 2e6

/* Requests are counted for the floor over this time. */
#define FLOOR_TIME_US 10e6

/* A priority is served at least a quarter as often as all; the margin covers requests
 * that are sent but do not end. */
#define FLOOR_RATIO 0.3
#define FLOOR_CREDIT_MAX 2.0

/* Reserved slots cover this many standard deviations of the number of urgent requests
 * that start and end until the reports show it. */
#define RESERVE_DEVIATIONS 2.5

/* Reports that pass before a change shows: one on its way, and one that may be lost. */
#define RESERVE_UPDATES 2

/* Largest share of the slots that is reserved. */
#define RESERVE_MAX 0.15

/* The difference from the limit is corrected over this many reports; over one report,
 * all gateways would correct the same difference twice. */
#define CORRECTION_UPDATES 2

/* A burst of urgent requests in one gateway delays its less urgent ones by at most this
 * many; the reports show the rest to all gateways. */
#define CREDIT_MIN (-4.0)

/* Lowest rate that is reported, so that a rate of 0 is not taken for an unknown one. */
#define STARTS_MIN_PER_S 0.01

static uint32_t
level_number (uint32_t priority)
{
  return priority < BURDOCK_PRIORITY_LEVELS ? priority : BURDOCK_PRIORITY_LEVELS - 1;
}

BurdockPriorityLevel *
burdock_priority_share_level (BurdockPriorityShare *share, uint32_t priority)
{
  return &share->levels[level_number (priority)];
}

void
burdock_priority_share_arrived (BurdockPriorityShare *share, uint32_t priority,
                                uint64_t now_us)
{
  BurdockPriorityLevel *level = burdock_priority_share_level (share, priority);

  share->now_us = now_us;
  level->used_us = now_us;
  level->arrived++;
  share->arrived += 1;
  if (share->served > 0)
    level->floor_credit += FLOOR_RATIO * fmin (1, share->served / share->arrived);
  level->floor_credit = fmin (level->floor_credit, FLOOR_CREDIT_MAX);
}

void
burdock_priority_share_sent (BurdockPriorityShare *share, uint32_t priority)
{
  BurdockPriorityLevel *level = burdock_priority_share_level (share, priority);

  share->served += 1;
  level->floor_credit = fmax (level->floor_credit - 1, -FLOOR_CREDIT_MAX);
  level->income += 1; /* what it sends itself is no loss of income */
  for (uint32_t i = level_number (priority); i < BURDOCK_PRIORITY_LEVELS; i++) {
    share->levels[i].income -= 1;
    share->levels[i].credit = fmax (share->levels[i].credit - 1, CREDIT_MIN);
  }
}

void
burdock_priority_share_freed (BurdockPriorityShare *share)
{
  for (uint32_t i = 0; i < BURDOCK_PRIORITY_LEVELS; i++) {
    share->levels[i].income += 1;
    share->levels[i].credit += 1;
  }
}

static bool
is_used (const BurdockPriorityShare *share, const BurdockPriorityLevel *level)
{
  return level->used_us != 0 && share->now_us < level->used_us + USED_US;
}

bool
burdock_priority_share_is_limited (const BurdockPriorityShare *share, uint32_t priority)
{
  if (share->rule == BURDOCK_PRIORITY_QUEUE_ORDER)
    return false;
  for (uint32_t i = 0; i < level_number (priority); i++)
    if (is_used (share, &share->levels[i]))
      return true;
  return false;
}

bool
burdock_priority_share_has_room (const BurdockPriorityShare *share, uint32_t priority)
{
  return !burdock_priority_share_is_limited (share, priority) ||
         share->levels[level_number (priority)].credit >= 1;
}

double
burdock_priority_share_starts_per_s (const BurdockPriorityShare *share, uint32_t priority)
{
  return fmax (share->levels[level_number (priority)].starts_per_s, STARTS_MIN_PER_S);
}

bool
burdock_priority_share_take_floor (BurdockPriorityShare *share, uint32_t priority)
{
  BurdockPriorityLevel *level = burdock_priority_share_level (share, priority);

  if (share->rule != BURDOCK_PRIORITY_SHARES || level->floor_credit < 1)
    return false;
  level->floor_credit -= 1;
  return true;
}

uint64_t
burdock_priority_share_promise (BurdockPriorityShare *share, uint32_t priority,
                                uint64_t earliest_us)
{
  BurdockPriorityLevel *level = burdock_priority_share_level (share, priority);

  if (level->return_us < earliest_us)
    level->return_us = earliest_us;
  level->return_us +=
      (uint64_t)(US_PER_S / burdock_priority_share_starts_per_s (share, priority));
  return level->return_us;
}

static void
update_rates (BurdockPriorityLevel *level, double elapsed_us)
{
  double gain = 1 - exp (-elapsed_us / RATE_TIME_US);
  double per_s = US_PER_S / elapsed_us;

  level->arrivals_per_s += (level->arrived * per_s - level->arrivals_per_s) * gain;
  level->starts_per_s += (level->income * per_s - level->starts_per_s) * gain;
  level->arrived = 0;
  level->income = 0;
}

/* Slots kept free for the more urgent requests of all gateways. Those that end make room
 * for as many on average; the rest is the spread of both numbers. */
static double
reserved_slots (const BurdockPoolRoom *room, double urgent_per_s)
{
  double horizon_s = (double)(room->update_us * RESERVE_UPDATES) / US_PER_S;
  double count = urgent_per_s * room->gateways * horizon_s;

  return fmin (RESERVE_DEVIATIONS * sqrt (2 * count), room->slots * RESERVE_MAX);
}

static void
add_credit (BurdockPriorityLevel *level, const BurdockPoolRoom *room, double urgent_per_s,
            bool started)
{
  double free_slots = room->slots - room->in_use - reserved_slots (room, urgent_per_s);
  double part = free_slots / room->gateways;
  double credit =
      part * (double)room->elapsed_us / (double)(room->update_us * CORRECTION_UPDATES);

  level->income += credit;
  level->credit = started ? level->credit + credit : part;
  level->credit = fmax (fmin (level->credit, fmax (part, 1)), CREDIT_MIN);
}

void
burdock_priority_share_advance (BurdockPriorityShare *share, const BurdockPoolRoom *room)
{
  double kept = exp (-(double)room->elapsed_us / FLOOR_TIME_US);
  double urgent_per_s = 0;

  share->now_us = room->now_us;
  if (room->elapsed_us == 0)
    return;
  share->arrived *= kept;
  share->served *= kept;
  for (uint32_t i = 0; i < BURDOCK_PRIORITY_LEVELS; i++) {
    BurdockPriorityLevel *level = &share->levels[i];

    add_credit (level, room, urgent_per_s, share->started);
    update_rates (level, (double)room->elapsed_us);
    urgent_per_s += level->arrivals_per_s;
  }
  share->started = share->started || room->slots > 0;
}
