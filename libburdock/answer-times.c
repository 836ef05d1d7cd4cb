#include "answer-times.h"

#include "hash-table.h"

#include <apr_pools.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_S UINT64_C (1000000)

/* Answers that are kept of a route, and for how long. With fewer than ANSWERS_FEW the
 * quantile is about the longest one. */
#define ANSWERS_MAX 32
#define ANSWERS_FEW 8
#define FEW_ANSWERS_FACTOR 2
#define ANSWER_AGE_MAX_US (60 * US_PER_S)

/* Share of the answers that come within the long time. A tenth of unusual requests, or of
 * answers of a slow upstream, does not move it. */
#define LONG_QUANTILE 0.9

/* Stands for a time that is not known, but long. */
#define UNKNOWN_LONG_US (3600 * US_PER_S)

/* Configurations may rename routes again and again. */
#define ROUTES_MAX 1024

/* Upstreams come and go. */
#define UPSTREAMS_MAX 4096

typedef struct {
  uint64_t upstream;
  uint64_t elapsed_us;
  uint64_t recorded_us;
} Answer;

/* @waiting: two upstreams at which requests waited at @waits_us, so that there is one for
 *   each that is left out; 0 for none */
typedef struct {
  uint64_t used_us;
  uint32_t count;
  uint32_t next;
  Answer answers[ANSWERS_MAX];
  Answer longest;
  uint64_t waits_us;
  uint64_t waiting[2];
  char name[];
} Route;

/* An upstream, and the latest start of an attempt that it has answered. */
typedef struct {
  uint64_t key;
  uint64_t sent_us;
} Upstream;

struct BurdockAnswerTimes {
  apr_pool_t *memory;
  apr_hash_t *routes;
  apr_hash_t *upstreams;
};

BurdockAnswerTimes *
burdock_answer_times_new (void)
{
  BurdockAnswerTimes *times = calloc (1, sizeof *times);

  if (times == NULL || apr_pool_create (&times->memory, NULL) != APR_SUCCESS) {
    free (times);
    return NULL;
  }
  times->routes = burdock_hash_table_new (times->memory);
  times->upstreams = burdock_hash_table_new (times->memory);
  return times;
}

/* Removes the routes that were not used since @since_us. */
static void
remove_routes (BurdockAnswerTimes *times, uint64_t since_us)
{
  for (apr_hash_index_t *at = apr_hash_first (NULL, times->routes); at != NULL;
       at = apr_hash_next (at)) {
    Route *route = apr_hash_this_val (at);

    if (route->used_us >= since_us)
      continue;
    apr_hash_set (times->routes, route->name, APR_HASH_KEY_STRING, NULL);
    free (route);
  }
}

static void
remove_upstreams (BurdockAnswerTimes *times, uint64_t since_us)
{
  for (apr_hash_index_t *at = apr_hash_first (NULL, times->upstreams); at != NULL;
       at = apr_hash_next (at)) {
    Upstream *upstream = apr_hash_this_val (at);

    if (upstream->sent_us >= since_us)
      continue;
    apr_hash_set (times->upstreams, &upstream->key, sizeof upstream->key, NULL);
    free (upstream);
  }
}

void
burdock_answer_times_free (BurdockAnswerTimes *times)
{
  if (times == NULL)
    return;
  remove_routes (times, UINT64_MAX);
  remove_upstreams (times, UINT64_MAX);
  apr_pool_destroy (times->memory);
  free (times);
}

/* Returns NULL if there are too many routes, or no memory. */
static Route *
use_route (BurdockAnswerTimes *times, const char *name, uint64_t now_us)
{
  Route *route = apr_hash_get (times->routes, name, APR_HASH_KEY_STRING);
  size_t name_bytes;

  if (route != NULL) {
    route->used_us = now_us;
    return route;
  }
  if (apr_hash_count (times->routes) >= ROUTES_MAX && now_us > ANSWER_AGE_MAX_US)
    remove_routes (times, now_us - ANSWER_AGE_MAX_US);
  if (apr_hash_count (times->routes) >= ROUTES_MAX)
    return NULL;
  name_bytes = strlen (name) + 1;
  route = calloc (1, sizeof *route + name_bytes);
  if (route == NULL)
    return NULL;
  memcpy (route->name, name, name_bytes);
  route->used_us = now_us;
  apr_hash_set (times->routes, route->name, APR_HASH_KEY_STRING, route);
  return route;
}

static bool
is_recent (const Answer *answer, uint64_t now_us)
{
  return answer->recorded_us + ANSWER_AGE_MAX_US >= now_us;
}

static void
record_upstream (BurdockAnswerTimes *times, uint64_t key, uint64_t sent_us,
                 uint64_t now_us)
{
  Upstream *upstream = apr_hash_get (times->upstreams, &key, sizeof key);

  if (upstream == NULL) {
    if (apr_hash_count (times->upstreams) >= UPSTREAMS_MAX && now_us > ANSWER_AGE_MAX_US)
      remove_upstreams (times, now_us - ANSWER_AGE_MAX_US);
    if (apr_hash_count (times->upstreams) < UPSTREAMS_MAX)
      upstream = calloc (1, sizeof *upstream);
    if (upstream == NULL)
      return;
    upstream->key = key;
    apr_hash_set (times->upstreams, &upstream->key, sizeof upstream->key, upstream);
  }
  if (upstream->sent_us < sent_us)
    upstream->sent_us = sent_us;
} /* NOLINT(clang-analyzer-unix.Malloc): times->upstreams owns the upstream */

void
burdock_answer_times_record (BurdockAnswerTimes *times, const char *route,
                             uint64_t upstream, uint64_t elapsed_us, uint64_t now_us)
{
  Route *of = use_route (times, route, now_us);
  Answer answer = { upstream, elapsed_us, now_us };

  record_upstream (times, upstream, now_us - elapsed_us, now_us);
  if (of == NULL)
    return;
  if (elapsed_us >= of->longest.elapsed_us || !is_recent (&of->longest, now_us))
    of->longest = answer;
  of->answers[of->next] = answer;
  of->next = (of->next + 1) % ANSWERS_MAX;
  if (of->count < ANSWERS_MAX)
    of->count++;
} /* NOLINT(clang-analyzer-unix.Malloc): times->routes owns the route */

void
burdock_answer_times_note_wait (BurdockAnswerTimes *times, const char *route,
                                uint64_t upstream, uint64_t now_us)
{
  Route *of = use_route (times, route, now_us);

  if (of == NULL)
    return;
  if (of->waits_us != now_us)
    of->waiting[0] = of->waiting[1] = 0;
  of->waits_us = now_us;
  if (of->waiting[0] == 0 || of->waiting[0] == upstream)
    of->waiting[0] = upstream;
  else
    of->waiting[1] = upstream;
} /* NOLINT(clang-analyzer-unix.Malloc): times->routes owns the route */

static int
compare_times (const void *a, const void *b)
{
  uint64_t left = *(const uint64_t *)a;
  uint64_t right = *(const uint64_t *)b;

  return (left > right) - (left < right);
}

/* Sorts the times of the answers of @route, except those of the upstream @left_out
 * unless it is 0. Returns their number. */
static uint32_t
sort_times (const Route *route, uint64_t left_out, uint64_t now_us, uint64_t *sorted)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < route->count; i++) {
    const Answer *answer = &route->answers[i];

    if ((left_out == 0 || answer->upstream != left_out) && is_recent (answer, now_us))
      sorted[count++] = answer->elapsed_us;
  }
  qsort (sorted, count, sizeof *sorted, compare_times);
  return count;
}

static bool
waits_elsewhere (const Route *route, uint64_t upstream, uint64_t now_us)
{
  return route->waits_us == now_us &&
         ((route->waiting[0] != 0 && route->waiting[0] != upstream) ||
          (route->waiting[1] != 0 && route->waiting[1] != upstream));
}

static BurdockAnswerEstimate
estimate_from (const uint64_t *sorted, uint32_t count)
{
  BurdockAnswerEstimate estimate = { 0 };

  if (count == 0)
    return estimate;
  estimate.typical_us = sorted[count / 2];
  estimate.long_us = sorted[(uint32_t)(count * LONG_QUANTILE)];
  estimate.needed_us = estimate.long_us;
  return estimate;
}

/* Estimates from few answers of other upstreams, with those of the upstream itself as the
 * best guess for the others. While a request waits elsewhere as well, the answers are
 * probably the short ones, and nothing shows that it would be faster there. */
static BurdockAnswerEstimate
guess (const Route *route, uint64_t upstream, uint64_t now_us)
{
  uint64_t sorted[ANSWERS_MAX];
  BurdockAnswerEstimate estimate =
      estimate_from (sorted, sort_times (route, 0, now_us, sorted));

  estimate.typical_us = 0;
  estimate.needed_us = estimate.long_us * FEW_ANSWERS_FACTOR;
  if (waits_elsewhere (route, upstream, now_us))
    estimate.long_us = estimate.needed_us = UNKNOWN_LONG_US;
  return estimate;
}

/* Whether @upstream has answered a request that it got after @sent_us. */
static bool
works (const BurdockAnswerTimes *times, uint64_t upstream, uint64_t sent_us)
{
  const Upstream *found = apr_hash_get (times->upstreams, &upstream, sizeof upstream);

  return found != NULL && found->sent_us > sent_us;
}

BurdockAnswerEstimate
burdock_answer_times_estimate (BurdockAnswerTimes *times, const char *route,
                               uint64_t upstream, uint64_t sent_us, uint64_t now_us)
{
  const Route *of = apr_hash_get (times->routes, route, APR_HASH_KEY_STRING);
  uint64_t sorted[ANSWERS_MAX];
  BurdockAnswerEstimate estimate = { 0 };
  uint32_t count;

  if (of == NULL)
    return estimate;
  count = sort_times (of, upstream, now_us, sorted);
  estimate =
      count < ANSWERS_FEW ? guess (of, upstream, now_us) : estimate_from (sorted, count);
  if (is_recent (&of->longest, now_us) && works (times, upstream, sent_us))
    estimate.longest_us = of->longest.elapsed_us;
  return estimate;
}

uint64_t
burdock_answer_times_typical_us (const BurdockAnswerTimes *times, const char *route,
                                 uint64_t now_us)
{
  const Route *of = apr_hash_get (times->routes, route, APR_HASH_KEY_STRING);
  uint64_t sorted[ANSWERS_MAX];
  uint32_t count = of != NULL ? sort_times (of, 0, now_us, sorted) : 0;

  return count >= ANSWERS_FEW ? sorted[count / 2] : 0;
}
