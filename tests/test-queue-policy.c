#include "queue-policy.h"
#include "test.h"

#define US_PER_MS UINT64_C (1000)
#define NOW_MS UINT64_C (100000)
#define NEVER_MS UINT64_MAX

/* Times of a caller, from now on. */
typedef struct {
  uint64_t left_ms;
  uint64_t first_left_ms;
  uint64_t first_ms;
  uint64_t work_ms;
} Times;

/* A pool as its request meets it, in ms from now on or since. */
typedef struct {
  bool has_room;
  bool is_admitted;
  uint64_t opens_ms; /* NEVER_MS if no upstream is known */
  uint32_t ahead;
  uint32_t waiting;
  double starts_per_s;
  uint64_t waiting_for_ms;
  uint64_t turnover_ms;
} Pool;

typedef struct {
  const char *name;
  Times times;
  Pool pool;
  BurdockQueueAction action;
  uint64_t result_ms; /* time to wait, or to come back after */
} Case;

/* A stream: 8 s for all of it, its caller leaves after 2 s without an event. */
#define STREAM                                                                           \
  {                                                                                      \
    8000, 2000, 100, 1100                                                                \
  }
#define CALL                                                                             \
  {                                                                                      \
    3000, 3000, 60, 60                                                                   \
  }

static const Case cases[] = {
  { "room", STREAM, { .has_room = true }, BURDOCK_QUEUE_SEND, 0 },
  { "room, but others wait",
    STREAM,
    { .has_room = true, .ahead = 1, .waiting = 1, .starts_per_s = 10 },
    BURDOCK_QUEUE_WAIT,
    1900 },
  { "room, little time left: it may be a short one",
    { 50, 50, 60, 60 },
    { .has_room = true },
    BURDOCK_QUEUE_SEND,
    0 },
  { "no time left", { 0, 0, 0, 0 }, { .has_room = true }, BURDOCK_QUEUE_REFUSE, 100 },
  { "full, nothing known: waits for the first event",
    STREAM,
    { 0 },
    BURDOCK_QUEUE_WAIT,
    1900 },
  { "full, a call waits for its end", CALL, { 0 }, BURDOCK_QUEUE_WAIT, 2940 },
  { "full, the whole answer needs most of the time",
    { 8000, 8000, 100, 7500 },
    { 0 },
    BURDOCK_QUEUE_WAIT,
    500 },
  { "no place in time",
    STREAM,
    { .ahead = 19, .waiting = 19, .starts_per_s = 10 },
    BURDOCK_QUEUE_REFUSE,
    2000 },
  { "a place just in time",
    STREAM,
    { .ahead = 18, .waiting = 18, .starts_per_s = 10 },
    BURDOCK_QUEUE_WAIT,
    1900 },
  { "waits already, the others start more slowly than expected",
    STREAM,
    { .is_admitted = true, .ahead = 18, .waiting = 18, .starts_per_s = 8 },
    BURDOCK_QUEUE_REFUSE,
    2375 },
  { "closed, opens in time", STREAM, { .opens_ms = 1500 }, BURDOCK_QUEUE_WAIT, 1900 },
  { "closed, opens too late", STREAM, { .opens_ms = 2500 }, BURDOCK_QUEUE_REFUSE, 2500 },
  { "closed, opens too late for those who wait before",
    STREAM,
    { .opens_ms = 1500, .ahead = 4, .waiting = 4, .starts_per_s = 10 },
    BURDOCK_QUEUE_REFUSE,
    2000 },
  { "closed for longer than the caller has: back while it can be served",
    STREAM,
    { .opens_ms = 60000 },
    BURDOCK_QUEUE_REFUSE,
    6900 },
  { "no upstream", STREAM, { .opens_ms = NEVER_MS }, BURDOCK_QUEUE_REFUSE, 1000 },
  { "a burst",
    STREAM,
    { .ahead = 9,
      .waiting = 9,
      .starts_per_s = 10,
      .waiting_for_ms = 1000,
      .turnover_ms = 1100 },
    BURDOCK_QUEUE_WAIT,
    1900 },
  { "a lasting overload, enough wait to refill the places",
    STREAM,
    { .ahead = 2,
      .waiting = 2,
      .starts_per_s = 10,
      .waiting_for_ms = 1200,
      .turnover_ms = 1100 },
    BURDOCK_QUEUE_REFUSE,
    300 },
  { "a lasting overload, places would stay empty",
    STREAM,
    { .ahead = 1,
      .waiting = 1,
      .starts_per_s = 10,
      .waiting_for_ms = 1200,
      .turnover_ms = 1100 },
    BURDOCK_QUEUE_WAIT,
    1900 },
  { "a lasting overload, the others can wait for longer",
    STREAM,
    { .ahead = 0,
      .waiting = 2,
      .starts_per_s = 10,
      .waiting_for_ms = 1200,
      .turnover_ms = 1100 },
    BURDOCK_QUEUE_REFUSE,
    100 },
  { "a lasting overload, waits already",
    STREAM,
    { .is_admitted = true,
      .ahead = 2,
      .waiting = 2,
      .starts_per_s = 10,
      .waiting_for_ms = 1200,
      .turnover_ms = 1100 },
    BURDOCK_QUEUE_WAIT,
    1900 },
  { "a lasting overload, room",
    STREAM,
    { .has_room = true, .starts_per_s = 10, .waiting_for_ms = 1200, .turnover_ms = 1100 },
    BURDOCK_QUEUE_SEND,
    0 },
};

static uint64_t
from_now_us (uint64_t time_ms)
{
  return time_ms == NEVER_MS ? UINT64_MAX : (NOW_MS + time_ms) * US_PER_MS;
}

static BurdockQueueDecision
decide (const Times *times, const Pool *pool)
{
  BurdockRequestTimes needs = { .deadline_us = from_now_us (times->left_ms),
                                .first_part_deadline_us =
                                    from_now_us (times->first_left_ms),
                                .first_part_us = times->first_ms * US_PER_MS,
                                .work_us = times->work_ms * US_PER_MS };
  BurdockQueueView view = { .now_us = from_now_us (0),
                            .has_room = pool->has_room,
                            .is_admitted = pool->is_admitted,
                            .opens_us = from_now_us (pool->opens_ms),
                            .ahead = pool->ahead,
                            .waiting = pool->waiting,
                            .starts_per_s = pool->starts_per_s,
                            .turnover_us = pool->turnover_ms * US_PER_MS,
                            .update_us = 100 * US_PER_MS };

  if (pool->waiting_for_ms > 0)
    view.waiting_since_us = (NOW_MS - pool->waiting_for_ms) * US_PER_MS;
  return burdock_queue_decide (&needs, &view);
}

/* Guards against a request that waits in vain, is refused although it could wait, or is
 * sent back for longer than its caller has. */
static void
decisions_follow_from_time_and_work (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (cases); i++) {
    const Case *row = &cases[i];
    BurdockQueueDecision got = decide (&row->times, &row->pool);
    uint64_t result_us = got.retry_after_us;

    if (got.action == BURDOCK_QUEUE_WAIT)
      result_us = got.until_us - from_now_us (0);
    if (got.action != row->action || result_us != row->result_ms * US_PER_MS)
      CU_FAIL (row->name);
  }
}

typedef struct {
  const char *name;
  Times a;
  Times b;
} Pair;

/* Callers whose time is enough either way. */
static const Pair pairs[] = {
  { "7.8 and 7.72 s left of 8", { 7800, 2000, 100, 1100 }, { 7720, 2000, 100, 1100 } },
  { "8 and 3.5 s left", { 8000, 2000, 100, 1100 }, { 3500, 2000, 100, 1100 } },
  { "3 and 2.8 s left of 3", { 3000, 3000, 60, 60 }, { 2800, 2800, 60, 60 } },
  { "30 and 1 s left", { 30000, 30000, 60, 60 }, { 1000, 1000, 60, 60 } },
};

/* Guards against equal callers of whom one is refused while the other is taken, in any
 * state of the pool in which both can be served in time. */
static void
equal_callers_are_treated_alike (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (pairs); i++) {
    for (uint32_t bits = 0; bits < 2 * 5 * 4 * 3; bits++) {
      Pool pool = { .has_room = bits % 2 != 0,
                    .ahead = bits / 2 % 5,
                    .waiting = bits / 2 % 5 + bits / 40 % 3,
                    .starts_per_s = 10,
                    .waiting_for_ms = UINT64_C (500) * (bits / 10 % 4),
                    .turnover_ms = 1100 };

      if (decide (&pairs[i].a, &pool).action != decide (&pairs[i].b, &pool).action)
        CU_FAIL (pairs[i].name);
    }
  }
}

typedef struct {
  const char *name;
  bool is_mixed;
  bool was_closed;
  uint64_t opens_ms;
  uint32_t ahead;
  BurdockQueueAction action;
  uint64_t until_ms; /* for a request that waits */
} ObjectiveCase;

static const ObjectiveCase objective_cases[] = {
  { "one priority: until its caller leaves", false, false, 0, 0, BURDOCK_QUEUE_WAIT,
    1900 },
  { "open: until the objective", true, false, 0, 0, BURDOCK_QUEUE_WAIT, 300 },
  { "open, no place within the objective", true, false, 0, 4, BURDOCK_QUEUE_REFUSE, 0 },
  { "closed, opens after the objective", true, false, 1500, 0, BURDOCK_QUEUE_WAIT, 1900 },
  { "closed, opens when its caller has left", true, false, 2500, 0, BURDOCK_QUEUE_REFUSE,
    0 },
  { "has waited for the pool to open", true, true, 0, 4, BURDOCK_QUEUE_WAIT, 1900 },
};

/* Guards against callers of a pool with several priorities who are refused because it was
 * closed for longer than the latency objective, although they still wait. */
static void
a_closed_pool_suspends_the_objective (void)
{
  BurdockRequestTimes times = { .deadline_us = from_now_us (8000),
                                .first_part_deadline_us = from_now_us (2000),
                                .objective_us = from_now_us (400),
                                .first_part_us = 100 * US_PER_MS,
                                .work_us = 1100 * US_PER_MS };

  for (uint32_t i = 0; i < TEST_COUNT (objective_cases); i++) {
    const ObjectiveCase *row = &objective_cases[i];
    BurdockQueueView view = { .now_us = from_now_us (0),
                              .is_mixed = row->is_mixed,
                              .was_closed = row->was_closed,
                              .opens_us = from_now_us (row->opens_ms),
                              .ahead = row->ahead,
                              .waiting = row->ahead,
                              .starts_per_s = 10 };
    BurdockQueueDecision got = burdock_queue_decide (&times, &view);

    if (got.action != row->action ||
        (got.action == BURDOCK_QUEUE_WAIT && got.until_us != from_now_us (row->until_ms)))
      CU_FAIL (row->name);
  }
}

static const Test tests[] = {
  { "the objective counts against those whom a closed pool has delayed",
    a_closed_pool_suspends_the_objective },
  { "a decision does not follow from time and work",
    decisions_follow_from_time_and_work },
  { "equal callers are treated differently", equal_callers_are_treated_alike },
};

int
main (void)
{
  return test_main ("queue-policy", tests, TEST_COUNT (tests));
}
