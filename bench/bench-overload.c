/**
 * DOC: bench-overload.c - goodput after a surge of requests
 *
 * Compares admission by running requests, as the dispatcher does it, with admission by
 * rate and with no admission control.
 */
#include "bench.h"
#include "bench-agent.h"
#include "controller.h"
#include "snapshot.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define US_PER_S UINT64_C (1000000)

#define AGENTS 4
#define SLOTS 8
#define SERVICE_US (200 * US_PER_MS)
#define DEADLINE_MS 1500
#define CAPACITY_PER_S ((double)AGENTS * SLOTS * US_PER_S / SERVICE_US)
#define SURGE_START_US (10 * US_PER_S)
#define SURGE_END_US (15 * US_PER_S)
#define MEASURE_START_US (20 * US_PER_S)
#define MEASURE_END_US (25 * US_PER_S)
#define CALLS_MAX 16384

static const char config_text[] = "franchise: bench\n"
                                  "defaults:\n"
                                  "  priority: normal\n"
                                  "  running_limit: 60\n"
                                  "  deadline_ms: 20000\n"
                                  "  services: [call]\n"
                                  "pools:\n"
                                  "  calls:\n"
                                  "    kind: service\n"
                                  "    service: call\n"
                                  "    running_limit: 8\n"
                                  "    queue_limit: 256\n"
                                  "workspaces:\n"
                                  "  w:\n"
                                  "    branches:\n"
                                  "      b: {}\n";

/* In all modes a caller gives up at its deadline and retries up to twice. */
#define TRIES_MAX 3

typedef enum {
  MODE_DISPATCHER, /* the dispatcher, with admission by running requests */
  MODE_BY_RATE,    /* token bucket; its rate is the capacity at the normal service time */
  MODE_NAIVE,      /* no admission control */
} Mode;

/** struct OverloadCall - call with its retries */
typedef struct {
  uint64_t last_try_us;
  uint32_t tries;
  bool ended;
} OverloadCall;

/** struct Work - request at an agent; @number is its call */
typedef struct {
  uint64_t request_id;
  uint32_t number;
  uint32_t attempt;
  uint64_t due_us; /* end of the service, 0 while it waits for a slot */
} Work;

typedef struct {
  uint32_t count;
  Work work[CALLS_MAX];
} OverloadAgent;

typedef struct {
  uint64_t now_us;
  uint64_t random_state;
  double service_factor;
  Mode mode;
  double rate_tokens;
  BurdockEnv env;
  BurdockDispatcher *dispatcher;
  OverloadAgent agents[AGENTS];
  uint32_t call_count;
  OverloadCall calls[CALLS_MAX];
  uint32_t in_time_count;
} Overload;

static uint64_t
overload_now_us (void *ctx)
{
  return ((Overload *)ctx)->now_us;
}

static uint64_t
overload_random (void *ctx)
{
  Overload *run = ctx;
  uint64_t z = run->random_state += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

static void
add_work (OverloadAgent *agent, Work work)
{
  if (agent->count < CALLS_MAX)
    agent->work[agent->count++] = work;
}

static void
remove_work (OverloadAgent *agent, uint32_t at)
{
  agent->count--;
  memmove (&agent->work[at], &agent->work[at + 1],
           (agent->count - at) * sizeof agent->work[0]);
}

static int
overload_send (void *ctx, BurdockAddress to, const uint8_t *frame, uint32_t length_bytes)
{
  Overload *run = ctx;
  OverloadAgent *agent = &run->agents[to.ipv4 - 1];
  BurdockMessage message;
  BurdockError error;
  uint32_t number = 0;

  burdock_message_decode (frame, length_bytes, &(BurdockFrameKeys){ 0 }, &message,
                          &error);
  if (message.header.type == BURDOCK_MSG_ATTEMPT) {
    memcpy (&number, message.attempt.body.data, sizeof number);
    add_work (agent, (Work){ .request_id = message.attempt.request_id,
                             .number = number,
                             .attempt = message.attempt.attempt });
  }
  for (uint32_t i = 0;
       message.header.type == BURDOCK_MSG_ATTEMPT_CANCEL && i < agent->count; i++) {
    if (agent->work[i].request_id == message.attempt_cancel.request_id)
      remove_work (agent, i--);
  }
  return 0;
}

static void
call_ended (Overload *run, uint32_t number, bool answered)
{
  OverloadCall *call = &run->calls[number];

  if (call->ended)
    return;
  if (answered) {
    call->ended = true;
    run->in_time_count += run->now_us >= MEASURE_START_US && run->now_us < MEASURE_END_US;
  }
}

static void
overload_deliver (void *ctx, const BurdockDelivery *delivery)
{
  call_ended (ctx, (uint32_t)delivery->handle / TRIES_MAX,
              delivery->kind == BURDOCK_DELIVERY_END);
}

static void
finish_work (Overload *run, uint32_t agent, Work work)
{
  BurdockMessage message = { .header.type = BURDOCK_MSG_ATTEMPT_DONE };

  if (run->mode != MODE_DISPATCHER) {
    bool in_time =
        run->now_us < run->calls[work.number].last_try_us + DEADLINE_MS * US_PER_MS;

    call_ended (run, work.number, in_time);
    return;
  }
  message.attempt_done.request_id = work.request_id;
  message.attempt_done.attempt = work.attempt;
  bench_agent_send (run->dispatcher, agent, &message);
}

static void
run_agent (Overload *run, uint32_t index)
{
  OverloadAgent *agent = &run->agents[index];

  for (uint32_t i = 0; i < agent->count && i < SLOTS; i++) {
    Work work = agent->work[i];

    if (work.due_us == 0) {
      double spread = 0.5 + (double)(overload_random (run) % 1000) / 1000;

      agent->work[i].due_us =
          run->now_us + (uint64_t)(SERVICE_US * run->service_factor * spread);
    } else if (work.due_us <= run->now_us) {
      remove_work (agent, i--);
      finish_work (run, index, work);
    }
  }
}

static void
report_load (Overload *run)
{
  for (uint32_t i = 0; i < AGENTS; i++) {
    uint32_t count = run->agents[i].count;
    BurdockMessage message = { .header.type = BURDOCK_MSG_LOAD };

    message.load = (BurdockLoadMessage){ .running = count < SLOTS ? count : SLOTS,
                                         .queued = count < SLOTS ? 0 : count - SLOTS,
                                         .capacity = SLOTS,
                                         .generation = 1 };
    bench_agent_send (run->dispatcher, i, &message);
  }
}

static void
start_call (Overload *run, uint32_t number)
{
  OverloadCall *call = &run->calls[number];
  BurdockRequest request = { .handle = number * TRIES_MAX + call->tries,
                             .workspace = "w",
                             .branch = "b",
                             .service = "call",
                             .idempotent = true,
                             .deadline_ms = DEADLINE_MS,
                             .body = { (const uint8_t *)&number, sizeof number } };

  call->tries++;
  call->last_try_us = run->now_us;
  if (run->mode == MODE_BY_RATE && run->rate_tokens < 1)
    return;
  run->rate_tokens -= 1;
  if (run->mode != MODE_DISPATCHER) {
    add_work (&run->agents[overload_random (run) % AGENTS], (Work){ .number = number });
    return;
  }
  snprintf (request.key, sizeof request.key, "%u", number);
  burdock_dispatcher_submit (run->dispatcher, &request);
}

static double
load_factor (const Overload *run)
{
  return run->now_us >= SURGE_START_US && run->now_us < SURGE_END_US ? 3.0 : 1.0;
}

static void
offer_calls (Overload *run, double step_s)
{
  double expected = CAPACITY_PER_S * load_factor (run) * step_s;
  double chance = (double)(overload_random (run) % 1000000) / 1e6;

  run->rate_tokens += CAPACITY_PER_S * step_s;
  if (run->rate_tokens > SLOTS)
    run->rate_tokens = SLOTS;
  for (; expected > chance && run->call_count < CALLS_MAX; expected -= 1)
    start_call (run, run->call_count++);
}

static void
retry_calls (Overload *run)
{
  for (uint32_t i = run->call_count > 8192 ? run->call_count - 8192 : 0;
       i < run->call_count; i++) {
    OverloadCall *call = &run->calls[i];

    if (!call->ended && call->tries < TRIES_MAX &&
        call->last_try_us + DEADLINE_MS * US_PER_MS <= run->now_us)
      start_call (run, i);
  }
}

static BurdockSnapshot *
overload_snapshot (BurdockConfig *config)
{
  BurdockSnapshot *snapshot = burdock_snapshot_new (config);

  snapshot->generation = 1;
  snapshot->entry_count = 0;
  snapshot->upstreams = calloc (AGENTS, sizeof *snapshot->upstreams);
  snapshot->shares = calloc (1, sizeof *snapshot->shares);
  snapshot->share_count = 1;
  snapshot->shares[0] =
      (BurdockSnapshotShare){ .workspace = "w", .running_limit = UINT32_MAX };
  for (uint32_t i = 0; i < AGENTS; i++) {
    BurdockUpstream *upstream = &snapshot->upstreams[snapshot->upstream_count++];

    *upstream = (BurdockUpstream){ .id = i + 1,
                                   .incarnation = 1,
                                   .traffic_address = { i + 1, 1 },
                                   .pool = "calls",
                                   .capacity = SLOTS,
                                   .usable = true,
                                   .weight = 1 };
  }
  return snapshot;
}

/* Returns the goodput in the measured window: requests answered in time, as share of the
 * capacity. */
static double
run_overload (BurdockConfig *config, Mode mode, double service_factor)
{
  const uint64_t step_us = 500;
  Overload *run = calloc (1, sizeof *run);
  BurdockSettings settings = { .name = "entry", .incarnation = 1 };
  double goodput;

  run->random_state = 1;
  run->mode = mode;
  run->service_factor = service_factor;
  run->env = (BurdockEnv){ .ctx = run,
                           .now_us = overload_now_us,
                           .wall_us = overload_now_us,
                           .random_u64 = overload_random,
                           .send = overload_send,
                           .deliver = overload_deliver };
  run->dispatcher = burdock_dispatcher_new (&settings, &run->env);
  burdock_dispatcher_set_snapshot (run->dispatcher, overload_snapshot (config));
  for (; run->now_us < MEASURE_END_US; run->now_us += step_us) {
    offer_calls (run, (double)step_us / US_PER_S);
    for (uint32_t i = 0; i < AGENTS; i++)
      run_agent (run, i);
    if (run->now_us % (10 * US_PER_MS) == 0) {
      retry_calls (run);
      burdock_dispatcher_tick (run->dispatcher);
    }
    if (run->now_us % (500 * US_PER_MS) == 0)
      report_load (run);
  }
  goodput = run->in_time_count * service_factor /
            ((double)(MEASURE_END_US - MEASURE_START_US) / US_PER_S * CAPACITY_PER_S);
  burdock_dispatcher_free (run->dispatcher);
  free (run);
  return goodput;
}

void
bench_overload (void)
{
  BurdockConfig *config = NULL;
  BurdockError error;
  BurdockBytes text = { (const uint8_t *)config_text, sizeof config_text - 1 };

  if (burdock_config_parse ("bench", text, &config, &error) < 0) {
    fprintf (stderr, "bench: %s: %s\n", error.step, error.detail);
    return;
  }
  bench_at_least ("goodput_after_surge", run_overload (config, MODE_DISPATCHER, 1.0),
                  "share", 0.95);
  bench_without_target ("goodput_naive", run_overload (config, MODE_NAIVE, 1.0), "share");
  bench_without_target ("goodput_admission_by_rate",
                        run_overload (config, MODE_BY_RATE, 1.0), "share");
  bench_without_target ("goodput_admission_by_rate_slower_1.5",
                        run_overload (config, MODE_BY_RATE, 1.5), "share");
  bench_without_target ("goodput_admission_by_running_slower_1.5",
                        run_overload (config, MODE_DISPATCHER, 1.5), "share");
  burdock_config_unref (config);
}
