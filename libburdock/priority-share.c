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
#define FLOOR_RATIO 0.27
#define FLOOR_CREDIT_MAX 2.0

/* Standard deviations of the number of requests that start and end in a time which count
 * as its spread: 1 time in 160 is beyond them. With 2.0 and shorter debts, 0.84 of
 * priority 0 were in time at twice the capacity behind 99 gateways, 0.95 with these. */
#define SPREAD_DEVIATIONS 2.5

/* Largest share of the slots that is reserved. */
#define RESERVE_MAX 0.15

/* Bounds of the debt of a gateway whose urgent requests come together. What is beyond
 * them is not paid back, so that less urgent requests get more than what is left: with -4
 * and -2, priority 0 behind 99 gateways lost 0.05 more at twice the capacity. Larger
 * debts only delay the less urgent requests of one gateway. */
#define CREDIT_MIN (-6.0)
#define CREDIT_MIN_LAST (-4.0)

/* Share of the room that is promised to callers who return; the rest is for new ones. */
#define RETURN_RATIO 0.5

/* Credit that is kept besides the part of the free slots. Requests of the least urgent
 * priority can use it in all gateways at once, when a burst begins. With 1.5, up to 0.1
 * of priority 2 was refused at 0.9 of the capacity, as credit was lost in gateways whose
 * requests came later; with 4, 0.03 of priority 0 was late or refused in a burst of
 * priority 2 behind 99 gateways. */
#define CREDIT_MAX_LAST 3.5

/* Other priorities keep enough for the random spread of the requests of this time, in
 * which less urgent ones make room for them. With credit for a single request, a sixth of
 * priority 1 was refused in a burst of priority 2. */
#define CREDIT_TIME_S 1.0

/* The difference from the limit is corrected within one report of another gateway, but
 * not faster than this. In a burst of priority 2 in front of one gateway, 0.08 of
 * priority 1 was refused with 50 ms, 0.11 with 200 ms and 0.007 with 400 ms: a short
 * shortage was corrected many times before a request could end. */
#define CORRECTION_MIN_US UINT64_C (400000)

/* Lowest rate that is reported, so that a rate of 0 is not taken for an unknown one. */
#define STARTS_MIN_PER_S 0.01

uint32_t
burdock_priority_share_number (uint32_t priority)
{
  return priority < BURDOCK_PRIORITY_LEVELS ? priority : BURDOCK_PRIORITY_LEVELS - 1;
}

BurdockPriorityLevel *
burdock_priority_share_level (BurdockPriorityShare *share, uint32_t priority)
{
  return &share->levels[burdock_priority_share_number (priority)];
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
  for (uint32_t i = burdock_priority_share_number (priority); i < BURDOCK_PRIORITY_LEVELS;
       i++) {
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
  for (uint32_t i = 0; i < burdock_priority_share_number (priority); i++)
    if (is_used (share, &share->levels[i]))
      return true;
  return false;
}

bool
burdock_priority_share_is_mixed (const BurdockPriorityShare *share)
{
  uint32_t count = 0;

  if (share->rule == BURDOCK_PRIORITY_QUEUE_ORDER)
    return false;
  for (uint32_t i = 0; i < BURDOCK_PRIORITY_LEVELS; i++)
    count += is_used (share, &share->levels[i]);
  return count > 1;
}

bool
burdock_priority_share_has_room (const BurdockPriorityShare *share, uint32_t priority)
{
  return !burdock_priority_share_is_limited (share, priority) ||
         share->levels[burdock_priority_share_number (priority)].credit >= 1;
}

double
burdock_priority_share_credit (const BurdockPriorityShare *share, uint32_t priority)
{
  return burdock_priority_share_is_limited (share, priority)
             ? share->levels[burdock_priority_share_number (priority)].credit
             : 0;
}

double
burdock_priority_share_starts_per_s (const BurdockPriorityShare *share, uint32_t priority)
{
  return fmax (share->levels[burdock_priority_share_number (priority)].starts_per_s,
               STARTS_MIN_PER_S);
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

void
burdock_priority_share_return_floor (BurdockPriorityShare *share, uint32_t priority)
{
  BurdockPriorityLevel *level = burdock_priority_share_level (share, priority);

  level->floor_credit = fmin (level->floor_credit + 1, FLOOR_CREDIT_MAX);
}

uint64_t
burdock_priority_share_promise (BurdockPriorityShare *share, uint32_t priority,
                                uint64_t earliest_us, uint64_t latest_us)
{
  BurdockPriorityLevel *level = burdock_priority_share_level (share, priority);
  double per_s = RETURN_RATIO * burdock_priority_share_starts_per_s (share, priority);
  uint64_t return_us = level->return_us > earliest_us ? level->return_us : earliest_us;

  return_us += (uint64_t)(US_PER_S / per_s);
  if (return_us > latest_us)
    return 0;
  level->return_us = return_us;
  return return_us;
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

/* Difference between the numbers of requests that start and end in a time, but for rare
 * cases. On average they are equal. */
static double
spread (double per_s, double time_s)
{
  return SPREAD_DEVIATIONS * sqrt (2 * per_s * time_s);
}

/* Slots kept free for the more urgent requests of all gateways. */
static double
reserved_slots (const BurdockPoolRoom *room, double urgent_per_s)
{
  double slots =
      spread (urgent_per_s * room->gateways, (double)room->update_us / US_PER_S);

  return fmin (slots, room->slots * RESERVE_MAX);
}

/* Credit for the difference between the slots in use and the limit. */
static void
add_credit (BurdockPriorityLevel *level, const BurdockPoolRoom *room, double urgent_per_s,
            bool is_last, bool started)
{
  double kept = spread (urgent_per_s + level->arrivals_per_s, CREDIT_TIME_S);
  double credit_max = is_last ? CREDIT_MAX_LAST : fmax (kept, 1);
  double credit_min = is_last ? CREDIT_MIN_LAST : CREDIT_MIN;

  double free_slots = room->slots - room->in_use - reserved_slots (room, urgent_per_s);
  double part = free_slots / room->gateways;
  uint64_t time_us =
      room->update_us > CORRECTION_MIN_US ? room->update_us : CORRECTION_MIN_US;
  double credit = part * (double)room->elapsed_us / (double)time_us;

  level->income += credit;
  level->credit = started ? level->credit + credit : part;
  level->credit = fmax (fmin (level->credit, fmax (part, credit_max)), credit_min);
}

static bool
is_least_urgent (const BurdockPriorityShare *share, uint32_t number)
{
  for (uint32_t i = number + 1; i < BURDOCK_PRIORITY_LEVELS; i++)
    if (is_used (share, &share->levels[i]))
      return false;
  return true;
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

    add_credit (level, room, urgent_per_s, is_least_urgent (share, i), share->started);
    update_rates (level, (double)room->elapsed_us);
    urgent_per_s += level->arrivals_per_s;
  }
  share->started = share->started || room->slots > 0;
}
