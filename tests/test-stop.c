/* Tests the signals of a planned stop (stop.c). Each case runs in a process of its own,
 * as signals and their mask belong to the process. */
#include "stop.h"

#include "log.h"
#include "test.h"

#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_MS 1000000
#define LIMIT_MS 400
#define FINISH_MS 200

/* Time between two signals of a script. */
#define GAP_MS 50L

#define EXIT_DRAINED 1
#define EXIT_GIVEN_UP 2
#define EXIT_FINISH_CALLED 4
#define EXIT_AT_LIMIT 8

/**
 * struct StopCase - signals sent to a process, GAP_MS apart, and how its stop ends
 * @script: t SIGTERM, i SIGINT, h SIGHUP, u SIGUSR1 of another process,
 *   d burdock_stop_notify_drained(), . no signal
 * @answers: the function finish() has the process drained
 * @expected: EXIT_* bits
 */
typedef struct {
  const char *name;
  const char *script;
  bool answers;
  int expected;
} StopCase;

static const StopCase cases[] = {
  { "drained", "td", true, EXIT_DRAINED },
  { "limit", "t", true, EXIT_GIVEN_UP | EXIT_FINISH_CALLED | EXIT_AT_LIMIT },
  { "limit, answers not written", "t", false,
    EXIT_GIVEN_UP | EXIT_FINISH_CALLED | EXIT_AT_LIMIT },
  { "repeated SIGTERM, then drained", "ttt.d", true, EXIT_DRAINED },
  { "repeated SIGTERM, then the limit", "ttt", true,
    EXIT_GIVEN_UP | EXIT_FINISH_CALLED | EXIT_AT_LIMIT },
  { "SIGHUP before and in a stop", "hthd", true, EXIT_DRAINED },
  { "SIGUSR1 of another process", "tu.d", true, EXIT_DRAINED },
  { "SIGINT in a stop", "ti", true, EXIT_GIVEN_UP | EXIT_FINISH_CALLED },
  { "second SIGINT", "ii", true, EXIT_GIVEN_UP | EXIT_FINISH_CALLED },
  { "SIGTERM after SIGINT", "it.d", true, EXIT_DRAINED },
};

typedef struct {
  const StopCase *row;
  bool finish_called;
} Fixture;

static uint64_t
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / NS_PER_MS;
}

static void
ignore (void *ctx)
{
}

static void
finish (void *ctx)
{
  Fixture *fixture = ctx;

  fixture->finish_called = true;
  if (fixture->row->answers)
    burdock_stop_notify_drained ();
}

static void *
send_signals (void *ctx)
{
  const Fixture *fixture = ctx;
  const struct timespec gap = { .tv_nsec = GAP_MS * NS_PER_MS };

  for (const char *step = fixture->row->script; *step != '\0'; step++) {
    if (*step == 'd')
      burdock_stop_notify_drained ();
    else if (*step != '.')
      kill (getpid (), *step == 't'   ? SIGTERM
                       : *step == 'i' ? SIGINT
                       : *step == 'h' ? SIGHUP
                                      : SIGUSR1);
    nanosleep (&gap, NULL);
  }
  return NULL;
}

static int
run_stop (const StopCase *row)
{
  Fixture fixture = { .row = row };
  BurdockStop stop = { .ctx = &fixture,
                       .limit_ms = LIMIT_MS,
                       .finish_ms = FINISH_MS,
                       .drain = ignore,
                       .finish = finish };
  uint64_t began_ms = now_ms ();
  pthread_t sender;
  int status;

  burdock_log_init ("test", BURDOCK_LOG_ERROR);
  burdock_stop_block_signals ();
  if (pthread_create (&sender, NULL, send_signals, &fixture) != 0)
    return 0;
  status = burdock_stop_wait (&stop) ? EXIT_DRAINED : EXIT_GIVEN_UP;
  if (fixture.finish_called)
    status |= EXIT_FINISH_CALLED;
  if (now_ms () >= began_ms + LIMIT_MS)
    status |= EXIT_AT_LIMIT;
  return status;
}

/* Guards against requests that are cut off because a platform repeats SIGTERM, and
 * against a stop that an operator cannot end early. */
static void
each_script_ends_as_expected (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (cases); i++) {
    pid_t child = fork ();
    int status = 0;

    if (child == 0)
      _exit (run_stop (&cases[i]));
    CU_ASSERT_EQUAL (waitpid (child, &status, 0), child);
    if (!WIFEXITED (status) || WEXITSTATUS (status) != cases[i].expected) {
      printf ("\n%s: status %d, expected %d\n", cases[i].name, WEXITSTATUS (status),
              cases[i].expected);
      CU_FAIL ("end of the stop");
    }
  }
}

static const Test tests[] = {
  { "a repeated SIGTERM cuts a planned stop short, or SIGINT does not",
    each_script_ends_as_expected },
};

int
main (void)
{
  return test_main ("stop", tests, TEST_COUNT (tests));
}
