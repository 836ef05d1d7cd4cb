#include "bench.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdio.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_S UINT64_C (1000000000)

/**
 * struct BenchTopic - figures of one topic
 * @concurrent: runs in a child process while the other topics run; not for figures that
 *   measure real time
 */
typedef struct {
  BenchFunction function;
  bool concurrent;
} BenchTopic;

static const BenchTopic topics[] = {
  { bench_members, true },    { bench_state, true },   { bench_drain, true },
  { bench_routing, false },   { bench_maps, false },   { bench_limits, false },
  { bench_overload, false },  { bench_resume, false }, { bench_plans, false },
  { bench_priorities, true },
};

void
bench_at_most (const char *name, double value, const char *unit, double target)
{
  printf ("bench: %s %.4g %s target %.4g %s\n", name, value, unit, target,
          value <= target ? "ok" : "short");
}

void
bench_at_least (const char *name, double value, const char *unit, double target)
{
  printf ("bench: %s %.4g %s target %.4g %s\n", name, value, unit, target,
          value >= target ? "ok" : "short");
}

void
bench_without_target (const char *name, double value, const char *unit)
{
  printf ("bench: %s %.4g %s target - ok\n", name, value, unit);
}

uint64_t
bench_now_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * NS_PER_S + (uint64_t)now.tv_nsec;
}

/* Runs a topic in a child process. Returns true in the child when the topic is done, and
 * false in the parent at once. */
static bool
run_in_child (const BenchTopic *topic)
{
  fflush (stdout);
  if (fork () != 0)
    return false;
  topic->function ();
  return true;
}

int
main (void)
{
  int status = 0;
  bool failed = false;

  setvbuf (stdout, NULL, _IOLBF, 0);
  for (size_t i = 0; i < sizeof topics / sizeof topics[0]; i++) {
    if (!topics[i].concurrent)
      topics[i].function ();
    else if (run_in_child (&topics[i]))
      return 0;
  }
  while (wait (&status) > 0)
    failed = failed || status != 0;
  return failed ? 1 : 0;
}
