#include "runtime.h"

#include "log.h"

#include <apr_thread_proc.h>
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#define US_PER_S UINT64_C (1000000)
#define NS_PER_US 1000

int
burdock_runtime_init (BurdockRuntime *runtime)
{
  if (getrandom (runtime->random_state, sizeof runtime->random_state, 0) !=
      sizeof runtime->random_state)
    return -EIO;
  runtime->random_state[0] |= 1; /* the state must not be all zero */
  runtime->loop = burdock_loop_new ();
  if (runtime->loop == NULL)
    return -ENOMEM;
  runtime->client = burdock_http_client_new (runtime->loop);
  return runtime->client != NULL ? 0 : -ENOMEM;
}

void
burdock_runtime_clear (BurdockRuntime *runtime)
{
  burdock_transport_free (runtime->transport);
  burdock_http_client_free (runtime->client);
  burdock_http_store_free (runtime->store);
  burdock_engine_free (runtime->engine);
  burdock_loop_free (runtime->loop);
  *runtime = (BurdockRuntime){ 0 };
}

static uint64_t
rotate_left (uint64_t value, uint32_t bits)
{
  return (value << bits) | (value >> (64 - bits));
}

/* xoshiro256**: D. Blackman, S. Vigna, "Scrambled linear pseudorandom number generators",
 * ACM TOMS 47(4), 2021. Used for jitter and sampling, not for keys. */
uint64_t
burdock_runtime_random (BurdockRuntime *runtime)
{
  uint64_t *state = runtime->random_state;
  uint64_t result = rotate_left (state[1] * 5, 7) * 9;
  uint64_t shifted = state[1] << 17;

  state[2] ^= state[0];
  state[3] ^= state[1];
  state[1] ^= state[2];
  state[0] ^= state[3];
  state[2] ^= shifted;
  state[3] = rotate_left (state[3], 45);
  return result;
}

static uint64_t
env_now_us (void *ctx)
{
  return burdock_loop_now_us ();
}

static uint64_t
env_wall_us (void *ctx)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * US_PER_S + (uint64_t)now.tv_nsec / NS_PER_US;
}

static uint64_t
env_random (void *ctx)
{
  return burdock_runtime_random (ctx);
}

static int
env_send (void *ctx, BurdockAddress to, const uint8_t *frame, uint32_t length_bytes)
{
  BurdockRuntime *runtime = ctx;

  return burdock_transport_send (runtime->transport, to, frame, length_bytes);
}

static int
env_store (void *ctx, const BurdockStoreCall *call)
{
  BurdockRuntime *runtime = ctx;

  return runtime->store != NULL ? burdock_http_store_call (runtime->store, call)
                                : -ENOSYS;
}

static int
env_engine (void *ctx, const BurdockEngineCall *call)
{
  BurdockRuntime *runtime = ctx;

  return runtime->engine != NULL ? burdock_engine_call (runtime->engine, call) : -ENOSYS;
}

BurdockEnv
burdock_runtime_env (BurdockRuntime *runtime)
{
  return (BurdockEnv){
    .ctx = runtime,
    .now_us = env_now_us,
    .wall_us = env_wall_us,
    .random_u64 = env_random,
    .send = env_send,
    .store = env_store,
    .engine = env_engine,
    .log = burdock_log_event,
  };
}

static void *
run_loop (apr_thread_t *thread, void *ctx)
{
  BurdockRuntime *runtime = ctx;

  burdock_loop_run (runtime->loop);
  return NULL;
}

int
burdock_runtime_start (BurdockRuntime *runtime)
{
  apr_status_t status = apr_thread_create (&runtime->thread, NULL, run_loop, runtime,
                                           burdock_loop_pool (runtime->loop));

  return status == APR_SUCCESS ? 0 : -EAGAIN;
}

void
burdock_runtime_stop (BurdockRuntime *runtime)
{
  apr_status_t status;

  if (runtime->thread == NULL)
    return;
  burdock_loop_stop (runtime->loop);
  apr_thread_join (&status, runtime->thread);
  runtime->thread = NULL;
}

static uint64_t
resident_bytes (void)
{
  unsigned long size = 0;
  unsigned long resident = 0;
  FILE *file = fopen ("/proc/self/statm", "r");

  if (file == NULL)
    return 0;
  if (fscanf (file, "%lu %lu", &size, &resident) != 2) // NOLINT(cert-err34-c)
    resident = 0;
  fclose (file);
  return (uint64_t)resident * (uint64_t)sysconf (_SC_PAGESIZE);
}

char *
burdock_runtime_metrics (void)
{
  struct rusage usage;
  char *text = NULL;

  getrusage (RUSAGE_SELF, &usage);
  if (asprintf (&text,
                "# HELP burdock_process_cpu_microseconds_total processor time\n"
                "burdock_process_cpu_microseconds_total %" PRIu64 "\n"
                "# HELP burdock_process_resident_bytes memory in use\n"
                "burdock_process_resident_bytes %" PRIu64 "\n"
                "# HELP burdock_log_lines_dropped_total lines that nobody read in time\n"
                "burdock_log_lines_dropped_total %" PRIu64 "\n",
                (uint64_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * US_PER_S +
                    (uint64_t)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec),
                resident_bytes (), burdock_log_dropped_count ()) < 0)
    return NULL;
  return text;
}
