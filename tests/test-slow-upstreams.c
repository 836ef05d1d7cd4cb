#include "answer-times.h"
#include "attempt-policy.h"
#include "test.h"

#include <apr_general.h>
#include <stdio.h>

#define US_PER_MS UINT64_C (1000)
#define US_PER_S (1000 * US_PER_MS)
#define US_PER_MIN (60 * US_PER_S)
#define TICK_US (20 * US_PER_MS)
#define NEVER_US UINT64_MAX

#define UPSTREAMS 3
#define SLOTS 32
#define EJECTION_US (3 * US_PER_S)
#define QUEUE_US US_PER_S
#define ALLOWED_US (6 * US_PER_S)
#define LENGTH_US (120 * US_PER_S)
#define CHANGE_US (20 * US_PER_S)
#define RETRY_RATIO 0.2
#define RETRIES_MAX 10
#define OPEN_MAX 1024
#define SEEDS 3
#define LATE_SHARE_MAX 0.01

/**
 * Load - requests to three upstreams, and what their callers have to get
 * @work_min_ms, @work_max_ms: an upstream works for a time between these, drawn for each
 *   run
 * @long_share, @long_ms: share of the requests that need this time wherever they run
 * @forget_s: time after which the gateway starts again and knows no answers, 0 for never
 * @slow_factor: how much slower one upstream is from 20 s on, 0 if it gives no answer
 * @answered_min: least share that is answered in time
 * @failed_max: greatest share that ends with 504
 * @answer_ms: time within which 99 of 100 are answered
 */
typedef struct {
  const char *name;
  double requests_per_s;
  uint32_t work_min_ms;
  uint32_t work_max_ms;
  double long_share;
  uint32_t long_ms;
  uint32_t forget_s;
  double slow_factor;
  double answered_min;
  double failed_max;
  uint64_t answer_ms;
} Load;

typedef struct {
  bool open;
  bool waiting; /* in the queue */
  bool is_long;
  uint32_t runs;
  uint32_t upstream; /* 1 to UPSTREAMS, 0 before the first run */
  uint64_t received_us;
  uint64_t deadline_us;
  uint64_t queue_end_us;
  uint64_t sent_us;
  uint64_t end_us;
} Request;

typedef struct {
  uint32_t running;
  uint64_t ejected_until_us;
} Upstream;

typedef struct {
  const Load *load;
  BurdockAnswerTimes *times;
  uint64_t now_us;
  uint64_t random;
  double retries;
  Upstream upstreams[UPSTREAMS + 1];
  Request requests[OPEN_MAX];
  uint32_t received;
  uint32_t answered;
  uint32_t failed;
  uint32_t refused;
  uint32_t late; /* answered after more than @answer_ms */
} World;

static const BurdockRoute route = { .name = "lookup",
                                    .kind = BURDOCK_ROUTE_IDEMPOTENT,
                                    .timeout_ms = ALLOWED_US / US_PER_MS,
                                    .attempts_max = 2 };

static double
draw (World *world)
{
  world->random ^= world->random << 13;
  world->random ^= world->random >> 7;
  world->random ^= world->random << 17;
  return (double)(world->random >> 11) / (double)(UINT64_C (1) << 53);
}

static uint64_t
work_us (World *world, const Request *request)
{
  const Load *load = world->load;
  bool changed = request->upstream == UPSTREAMS && world->now_us >= CHANGE_US;
  double factor = changed ? load->slow_factor : 1;
  double ms = load->work_min_ms + draw (world) * (load->work_max_ms - load->work_min_ms);

  if (factor == 0)
    return NEVER_US - world->now_us;
  if (request->is_long)
    ms = load->long_ms;
  return (uint64_t)(ms * factor * US_PER_MS);
}

static uint32_t
pick_upstream (World *world, uint32_t left_out)
{
  uint32_t first = (uint32_t)(draw (world) * UPSTREAMS);
  uint32_t best = 0;

  for (uint32_t i = 0; i < UPSTREAMS; i++) {
    uint32_t at = 1 + (first + i) % UPSTREAMS;
    const Upstream *upstream = &world->upstreams[at];

    if (at != left_out && upstream->ejected_until_us <= world->now_us &&
        upstream->running < SLOTS &&
        (best == 0 || upstream->running < world->upstreams[best].running))
      best = at;
  }
  return best;
}

static void
place (World *world, Request *request)
{
  uint32_t upstream = pick_upstream (world, request->upstream);

  if (upstream == 0)
    return;
  request->waiting = false;
  request->upstream = upstream;
  request->sent_us = world->now_us;
  request->runs++;
  request->end_us = world->now_us + work_us (world, request);
  world->upstreams[upstream].running++;
}

static void
receive (World *world)
{
  uint32_t i = 0;

  while (i < OPEN_MAX && world->requests[i].open)
    i++;
  CU_ASSERT_FATAL (i < OPEN_MAX);
  world->requests[i] =
      (Request){ .open = true,
                 .waiting = true,
                 .is_long = draw (world) < world->load->long_share,
                 .received_us = world->now_us,
                 .deadline_us = world->now_us + route.timeout_ms * US_PER_MS,
                 .queue_end_us = world->now_us + QUEUE_US };
  world->received++;
  world->retries += RETRY_RATIO;
  if (world->retries > RETRIES_MAX)
    world->retries = RETRIES_MAX;
}

static void
end (World *world, Request *request, uint32_t *count)
{
  if (!request->waiting)
    world->upstreams[request->upstream].running--;
  request->open = false;
  ++*count;
}

static void
answer (World *world, Request *request)
{
  uint64_t elapsed_us = world->now_us - request->received_us;

  burdock_answer_times_record (world->times, route.name, request->upstream,
                               world->now_us - request->sent_us, world->now_us);
  if (elapsed_us > world->load->answer_ms * US_PER_MS)
    world->late++;
  end (world, request, &world->answered);
}

static void
retry_stalled (World *world, Request *request)
{
  uint64_t silent_us = world->now_us - request->sent_us;
  BurdockAnswerEstimate estimate =
      burdock_answer_times_estimate (world->times, route.name, request->upstream,
                                     request->sent_us, world->now_us);
  BurdockAttemptContext state = {
    .route = &route,
    .result = BURDOCK_ATTEMPT_LOST,
    .run_count = request->runs,
    .send_count = request->runs,
    .enough_time = burdock_attempt_has_time (world->now_us, request->deadline_us,
                                             estimate.needed_us),
  };

  if (silent_us <= burdock_attempt_stall_timeout_us (&route, ALLOWED_US, &estimate) ||
      burdock_attempt_next_action (&state) != BURDOCK_ACTION_RETRY ||
      pick_upstream (world, request->upstream) == 0 || world->retries < 1)
    return;
  world->retries--;
  world->upstreams[request->upstream].running--;
  world->upstreams[request->upstream].ejected_until_us = world->now_us + EJECTION_US;
  request->waiting = true;
  place (world, request);
}

static void
step (World *world, Request *request)
{
  if (request->waiting)
    place (world, request);
  if (request->waiting && world->now_us >= request->queue_end_us)
    end (world, request, &world->refused);
  else if (!request->waiting && world->now_us >= request->end_us)
    answer (world, request);
  else if (world->now_us >= request->deadline_us)
    end (world, request, &world->failed);
  else if (!request->waiting)
    retry_stalled (world, request);
}

static void
note_waits (World *world)
{
  for (uint32_t i = 0; i < OPEN_MAX; i++) {
    const Request *request = &world->requests[i];

    if (request->open && !request->waiting &&
        world->now_us - request->sent_us >
            burdock_attempt_stall_min_us (&route, ALLOWED_US))
      burdock_answer_times_note_wait (world->times, route.name, request->upstream,
                                      world->now_us);
  }
}

static void
forget_answers (World *world)
{
  burdock_answer_times_free (world->times);
  world->times = burdock_answer_times_new ();
  CU_ASSERT_PTR_NOT_NULL_FATAL (world->times);
}

static void
tick (World *world)
{
  uint64_t forget_us = world->load->forget_s * US_PER_S;
  double arrivals = world->load->requests_per_s * TICK_US / US_PER_S;

  if (world->now_us < LENGTH_US && draw (world) < arrivals)
    receive (world);
  if (forget_us > 0 && world->now_us % forget_us == 0)
    forget_answers (world);
  note_waits (world);
  for (uint32_t i = 0; i < OPEN_MAX; i++) {
    if (world->requests[i].open)
      step (world, &world->requests[i]);
  }
}

static void
play (const Load *load, uint64_t seed)
{
  static World world;
  double received;

  world = (World){ .load = load,
                   .random = seed * UINT64_C (0x9e3779b97f4a7c15),
                   .retries = RETRIES_MAX,
                   .times = burdock_answer_times_new () };
  CU_ASSERT_PTR_NOT_NULL_FATAL (world.times);
  for (world.now_us = US_PER_S; world.now_us < LENGTH_US + 10 * US_PER_S;
       world.now_us += TICK_US)
    tick (&world);
  received = world.received;
  if (world.answered < load->answered_min * received ||
      world.failed > load->failed_max * received ||
      world.late > LATE_SHARE_MAX * received) {
    printf ("%s, seed %u: %u requests, %u answered, %u late, %u with 504, %u refused\n",
            load->name, (uint32_t)seed, world.received, world.answered, world.late,
            world.failed, world.refused);
    CU_FAIL (load->name);
  }
  burdock_answer_times_free (world.times);
}

static const Load loads[] = {
  { .name = "all slow",
    .requests_per_s = 10,
    .work_min_ms = 30,
    .work_max_ms = 4500,
    .slow_factor = 1,
    .answered_min = 0.998,
    .failed_max = 0.001,
    .answer_ms = 5000 },
  { .name = "all slow and nearly full",
    .requests_per_s = 35,
    .work_min_ms = 30,
    .work_max_ms = 4500,
    .slow_factor = 1,
    .answered_min = 0.98,
    .failed_max = 0.001,
    .answer_ms = 5000 },
  { .name = "all slow, a gateway that starts again and again",
    .requests_per_s = 2,
    .work_min_ms = 30,
    .work_max_ms = 4500,
    .forget_s = 4,
    .slow_factor = 1,
    .answered_min = 0.99,
    .failed_max = 0.01,
    .answer_ms = 6000 },
  { .name = "one slow",
    .requests_per_s = 20,
    .work_min_ms = 20,
    .work_max_ms = 150,
    .slow_factor = 60,
    .answered_min = 0.998,
    .failed_max = 0.001,
    .answer_ms = 1000 },
  { .name = "one slow, few requests",
    .requests_per_s = 1,
    .work_min_ms = 20,
    .work_max_ms = 150,
    .slow_factor = 60,
    .answered_min = 1,
    .answer_ms = 1000 },
  { .name = "one hangs",
    .requests_per_s = 20,
    .work_min_ms = 20,
    .work_max_ms = 150,
    .slow_factor = 0,
    .answered_min = 0.998,
    .failed_max = 0.001,
    .answer_ms = 1000 },
  { .name = "one hangs, the others are slow",
    .requests_per_s = 10,
    .work_min_ms = 100,
    .work_max_ms = 1500,
    .slow_factor = 0,
    .answered_min = 0.998,
    .failed_max = 0.001,
    .answer_ms = 5000 },
  { .name = "a long request among short ones",
    .requests_per_s = 20,
    .work_min_ms = 20,
    .work_max_ms = 150,
    .long_share = 0.05,
    .long_ms = 4000,
    .slow_factor = 1,
    .answered_min = 0.998,
    .failed_max = 0.001,
    .answer_ms = 5000 },
};

/* Guards against taking sound requests back from slow upstreams: their work is lost, the
 * upstreams are ejected, and the second run begins too late to end. Also against waiting
 * for an upstream that hangs or is much slower than others. */
static void
callers_get_answers (void)
{
  for (uint32_t i = 0; i < sizeof loads / sizeof loads[0]; i++) {
    for (uint64_t seed = 1; seed <= SEEDS; seed++)
      play (&loads[i], seed);
  }
}

/* Guards against an estimate that follows the upstream which the request waits for, a few
 * unusual answers, or times long past. */
static void
estimates_follow_the_others (void)
{
  BurdockAnswerTimes *times = burdock_answer_times_new ();
  uint64_t now_us = US_PER_S;
  BurdockAnswerEstimate estimate;

  CU_ASSERT_PTR_NOT_NULL_FATAL (times);
  estimate = burdock_answer_times_estimate (times, "a", 1, 0, now_us);
  CU_ASSERT_EQUAL (estimate.long_us, 0);
  for (uint32_t i = 0; i < 20; i++) {
    burdock_answer_times_record (times, "a", 1, 700 * US_PER_MS, now_us);
    burdock_answer_times_record (times, "a", 2, (i == 9 ? 900 : 50) * US_PER_MS, now_us);
  }
  estimate = burdock_answer_times_estimate (times, "a", 1, 0, now_us);
  CU_ASSERT_EQUAL (estimate.long_us, 50 * US_PER_MS);
  CU_ASSERT_EQUAL (estimate.needed_us, 50 * US_PER_MS);
  CU_ASSERT_EQUAL (estimate.longest_us, 900 * US_PER_MS);
  estimate = burdock_answer_times_estimate (times, "a", 2, 0, now_us);
  CU_ASSERT_EQUAL (estimate.typical_us, 700 * US_PER_MS);
  estimate = burdock_answer_times_estimate (times, "b", 1, 0, now_us);
  CU_ASSERT_EQUAL (estimate.long_us, 0);
  estimate = burdock_answer_times_estimate (times, "a", 2, now_us, now_us);
  CU_ASSERT_EQUAL (estimate.longest_us, 0);
  now_us += 100 * US_PER_S;
  estimate = burdock_answer_times_estimate (times, "a", 2, 0, now_us);
  CU_ASSERT_EQUAL (estimate.long_us, 0);
  CU_ASSERT_EQUAL (estimate.longest_us, 0);
  burdock_answer_times_free (times);
}

/* Guards against an estimate from the first answers alone, which are the short ones. */
static void
few_answers_are_completed_by_waits (void)
{
  BurdockAnswerTimes *times = burdock_answer_times_new ();
  uint64_t now_us = 10 * US_PER_S;
  BurdockAnswerEstimate estimate;

  CU_ASSERT_PTR_NOT_NULL_FATAL (times);
  burdock_answer_times_record (times, "a", 1, 300 * US_PER_MS, now_us);
  estimate = burdock_answer_times_estimate (times, "a", 1, 0, now_us);
  CU_ASSERT_EQUAL (estimate.long_us, 300 * US_PER_MS);
  CU_ASSERT_EQUAL (estimate.typical_us, 0);
  burdock_answer_times_note_wait (times, "a", 1, now_us);
  burdock_answer_times_note_wait (times, "a", 1, now_us);
  estimate = burdock_answer_times_estimate (times, "a", 1, 0, now_us);
  CU_ASSERT_EQUAL (estimate.long_us, 300 * US_PER_MS);
  estimate = burdock_answer_times_estimate (times, "a", 2, 0, now_us);
  CU_ASSERT_TRUE (estimate.long_us > US_PER_MIN);
  CU_ASSERT_TRUE (estimate.needed_us > US_PER_MIN);
  burdock_answer_times_note_wait (times, "a", 2, now_us);
  burdock_answer_times_note_wait (times, "a", 1, now_us);
  estimate = burdock_answer_times_estimate (times, "a", 1, 0, now_us);
  CU_ASSERT_TRUE (estimate.long_us > US_PER_MIN);
  now_us += 20 * US_PER_MS;
  estimate = burdock_answer_times_estimate (times, "a", 2, 0, now_us);
  CU_ASSERT_EQUAL (estimate.long_us, 300 * US_PER_MS);
  CU_ASSERT_TRUE (estimate.needed_us > 300 * US_PER_MS);
  burdock_answer_times_free (times);
}

/* Guards against memory that grows with the names of routes and upstreams of the past. */
static void
old_names_are_forgotten (void)
{
  BurdockAnswerTimes *times = burdock_answer_times_new ();
  uint64_t now_us = US_PER_S;
  BurdockAnswerEstimate estimate;
  char name[16];

  CU_ASSERT_PTR_NOT_NULL_FATAL (times);
  for (uint32_t i = 0; i < 10000; i++) {
    snprintf (name, sizeof name, "route-%u", i);
    burdock_answer_times_record (times, name, i + 1, 50 * US_PER_MS, now_us);
    now_us += US_PER_S;
  }
  estimate = burdock_answer_times_estimate (times, name, 10000, 0, now_us);
  CU_ASSERT_EQUAL (estimate.longest_us, 50 * US_PER_MS);
  estimate = burdock_answer_times_estimate (times, "route-1", 2, 0, now_us);
  CU_ASSERT_EQUAL (estimate.long_us, 0);
  burdock_answer_times_free (times);
}

static const Test tests[] = {
  { "answers of slow or hanging upstreams are lost", callers_get_answers },
  { "an estimate follows the wrong answers", estimates_follow_the_others },
  { "an estimate is too short at the start", few_answers_are_completed_by_waits },
  { "names of the past fill the memory", old_names_are_forgotten },
};

int
main (void)
{
  apr_initialize ();
  return test_main ("slow-upstreams", tests, TEST_COUNT (tests));
}
