#include "stop.h"

#include "log.h"

#include <errno.h>
#include <signal.h>
#include <stdatomic.h>
#include <time.h>
#include <unistd.h>

#define MS_PER_S 1000
#define NS_PER_MS 1000000

/* Distinguishes the SIGUSR1 of burdock_stop_notify_drained() from one of another process.
 */
static atomic_bool drained;

static sigset_t
stop_signals (void)
{
  sigset_t set;

  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  sigaddset (&set, SIGUSR1);
  sigaddset (&set, SIGHUP);
  return set;
}

void
burdock_stop_block_signals (void)
{
  sigset_t set = stop_signals ();

  pthread_sigmask (SIG_BLOCK, &set, NULL);
  signal (SIGPIPE, SIG_IGN);
}

void
burdock_stop_notify_drained (void)
{
  atomic_store (&drained, true);
  kill (getpid (), SIGUSR1);
}

static uint64_t
now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * MS_PER_S + (uint64_t)now.tv_nsec / NS_PER_MS;
}

/* Whether a signal that is received in a stop changes nothing. */
static bool
is_ignored (int signo)
{
  if (signo == SIGTERM)
    burdock_log (BURDOCK_LOG_INFO, "planned stop", "-", "repeated SIGTERM ignored");
  return signo == SIGTERM || signo == SIGHUP ||
         (signo == SIGUSR1 && !atomic_load (&drained));
}

/* Returns SIGUSR1 once the process is drained, SIGINT, or 0 at @until_ms. */
static int
wait_signal (const sigset_t *set, uint64_t until_ms)
{
  for (;;) {
    uint64_t now = now_ms ();
    uint64_t left_ms = until_ms > now ? until_ms - now : 0;
    struct timespec timeout = { .tv_sec = (time_t)(left_ms / MS_PER_S),
                                .tv_nsec = (long)(left_ms % MS_PER_S) * NS_PER_MS };
    int signo = sigtimedwait (set, NULL, &timeout);

    if (is_ignored (signo))
      continue;
    if (signo > 0)
      return signo;
    if (errno != EINTR)
      return 0;
  }
}

static void
give_up (const BurdockStop *stop, const sigset_t *set, const char *why)
{
  int signo;

  burdock_log (BURDOCK_LOG_WARNING, "planned stop", "-", "cut short by %s", why);
  if (stop->finish == NULL)
    return;
  stop->finish (stop->ctx);
  signo = wait_signal (set, now_ms () + stop->finish_ms);
  if (signo != SIGUSR1)
    burdock_log (BURDOCK_LOG_WARNING, "planned stop", "-",
                 "last answers not written after %u ms", stop->finish_ms);
}

bool
burdock_stop_wait (const BurdockStop *stop)
{
  sigset_t set = stop_signals ();
  int signo = 0;

  while (signo != SIGTERM && signo != SIGINT) {
    if (sigwait (&set, &signo) != 0)
      return false;
    if (signo == SIGHUP)
      burdock_log (
          BURDOCK_LOG_INFO, "reload", "-",
          "SIGHUP ignored: settings are read from flags and environment at start only");
  }
  burdock_log (BURDOCK_LOG_INFO, "planned stop", "-", "limit %u ms", stop->limit_ms);
  stop->drain (stop->ctx);
  signo = wait_signal (&set, now_ms () + stop->limit_ms);
  if (signo == SIGUSR1) {
    burdock_log (BURDOCK_LOG_INFO, "planned stop", "-", "drained");
    return true;
  }
  give_up (stop, &set, signo == 0 ? "the stop limit" : "SIGINT");
  return false;
}
