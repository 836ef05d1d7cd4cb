/**
 * DOC: bench-resume.c - tokens lost or repeated in streams that are resumed
 *
 * Agents fail while they stream answers, and another agent continues each stream. Callers
 * must get every token once.
 */
#include "bench.h"
#include "bench-agent.h"
#include "message.h"
#include "snapshot.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define US_PER_S UINT64_C (1000000)
#define AGENTS 4
#define STREAMS 400
#define TOKENS 60
#define STEP_US (5 * US_PER_MS)
#define AGENT_LOSS_PERIOD_STEPS 100 /* one of the agents fails every 0.5 s */

static const char config_text[] = "franchise: bench\n"
                                  "defaults:\n"
                                  "  priority: normal\n"
                                  "  running_limit: 600\n"
                                  "  deadline_ms: 60000\n"
                                  "  models:\n"
                                  "    - {model: m, version: v1}\n"
                                  "models:\n"
                                  "  m:\n"
                                  "    versions: [v1]\n"
                                  "    weight_bytes: 1000\n"
                                  "pools:\n"
                                  "  p:\n"
                                  "    kind: model\n"
                                  "    models: [m]\n"
                                  "    running_limit: 64\n"
                                  "    queue_limit: 1024\n"
                                  "workspaces:\n"
                                  "  w:\n"
                                  "    branches:\n"
                                  "      b: {}\n";

typedef struct {
  bool active;
  uint64_t request_id;
  uint32_t attempt;
  uint32_t index;
} ResumeWork;

/**
 * struct Resume - run of all streams
 * @work: attempts that run at each agent
 * @next_index: token that the caller of each stream expects next
 * @gap_tokens: tokens that callers missed or got twice
 * @resumed: attempts that continued a stream
 */
typedef struct {
  uint64_t now_us;
  uint64_t random_state;
  BurdockEnv env;
  BurdockDispatcher *dispatcher;
  ResumeWork work[AGENTS][STREAMS];
  uint32_t next_index[STREAMS];
  uint32_t gap_tokens;
  uint32_t ended;
  uint32_t resumed;
  uint32_t broken;
} Resume;

static uint64_t
resume_now_us (void *ctx)
{
  return ((Resume *)ctx)->now_us;
}

static uint64_t
resume_random (void *ctx)
{
  Resume *run = ctx;

  run->random_state = run->random_state * UINT64_C (6364136223846793005) + 1;
  return run->random_state >> 24;
}

static int
resume_send (void *ctx, BurdockAddress to, const uint8_t *frame, uint32_t length_bytes)
{
  Resume *run = ctx;
  ResumeWork *work = run->work[to.ipv4 - 1];
  BurdockMessage message;
  BurdockError error;

  burdock_message_decode (frame, length_bytes, &(BurdockFrameKeys){ 0 }, &message,
                          &error);
  if (message.header.type != BURDOCK_MSG_ATTEMPT)
    return 0;
  while (work->active)
    work++;
  *work = (ResumeWork){ .active = true,
                        .request_id = message.attempt.request_id,
                        .attempt = message.attempt.attempt,
                        .index = message.attempt.resume_from };
  run->resumed += message.attempt.resume_from > 0;
  return 0;
}

static void
resume_deliver (void *ctx, const BurdockDelivery *delivery)
{
  Resume *run = ctx;
  uint32_t *next_index = &run->next_index[delivery->handle];

  if (delivery->kind == BURDOCK_DELIVERY_TOKEN) {
    run->gap_tokens += delivery->index > *next_index ? delivery->index - *next_index
                                                     : *next_index - delivery->index;
    *next_index = delivery->index + 1;
    return;
  }
  run->ended++;
  /* A broken stream is reported as such to its caller. Missing tokens count only in
   * streams that claim to be complete. */
  if (delivery->kind == BURDOCK_DELIVERY_END)
    run->gap_tokens += TOKENS - *next_index;
  else
    run->broken++;
}

static void
advance_work (Resume *run, uint32_t agent, ResumeWork *work)
{
  BurdockMessage message = { .header.type = BURDOCK_MSG_TOKEN };

  if (!work->active || resume_random (run) % 4 != 0)
    return;
  if (work->index == TOKENS) {
    message.header.type = BURDOCK_MSG_ATTEMPT_DONE;
    message.attempt_done = (BurdockAttemptDoneMessage){ .request_id = work->request_id,
                                                        .attempt = work->attempt,
                                                        .token_count = TOKENS };
    work->active = false;
  } else {
    message.token = (BurdockTokenMessage){ .request_id = work->request_id,
                                           .attempt = work->attempt,
                                           .index = work->index++,
                                           .text = { (const uint8_t *)"t", 1 } };
  }
  bench_agent_send (run->dispatcher, agent, &message);
}

static void
lose_agent (Resume *run, uint32_t agent)
{
  memset (run->work[agent], 0, sizeof run->work[agent]);
  burdock_dispatcher_peer_lost (run->dispatcher, (BurdockAddress){ agent + 1, 1 }, true);
}

static BurdockSnapshot *
resume_snapshot (BurdockConfig *config)
{
  BurdockSnapshot *snapshot = burdock_snapshot_new (config);

  snapshot->generation = 1;
  snapshot->shares = calloc (1, sizeof *snapshot->shares);
  snapshot->share_count = 1;
  snapshot->shares[0] =
      (BurdockSnapshotShare){ .workspace = "w", .running_limit = STREAMS };
  snapshot->upstreams = calloc (AGENTS, sizeof *snapshot->upstreams);
  for (uint32_t i = 0; i < AGENTS; i++)
    snapshot->upstreams[snapshot->upstream_count++] =
        (BurdockUpstream){ .id = i + 1,
                           .incarnation = 1,
                           .traffic_address = { i + 1, 1 },
                           .pool = "p",
                           .capacity = STREAMS,
                           .usable = true,
                           .weight = 1 };
  return snapshot;
}

void
bench_resume (void)
{
  Resume *run = calloc (1, sizeof *run);
  BurdockSettings settings = { .name = "entry", .incarnation = 1 };
  BurdockConfig *config = NULL;
  BurdockError error;
  BurdockBytes text = { (const uint8_t *)config_text, sizeof config_text - 1 };

  if (burdock_config_parse ("bench", text, &config, &error) < 0) {
    fprintf (stderr, "bench: %s: %s\n", error.step, error.detail);
    free (run);
    return;
  }
  run->env = (BurdockEnv){ .ctx = run,
                           .now_us = resume_now_us,
                           .wall_us = resume_now_us,
                           .random_u64 = resume_random,
                           .send = resume_send,
                           .deliver = resume_deliver };
  run->dispatcher = burdock_dispatcher_new (&settings, &run->env);
  burdock_dispatcher_set_snapshot (run->dispatcher, resume_snapshot (config));
  for (uint32_t i = 0; run->ended < STREAMS && run->now_us < 60 * US_PER_S; i++) {
    BurdockRequest request = { .handle = i,
                               .key = "k",
                               .workspace = "w",
                               .branch = "b",
                               .model = "m",
                               .version = "v1",
                               .idempotent = true };

    run->now_us += STEP_US;
    if (i < STREAMS)
      burdock_dispatcher_submit (run->dispatcher, &request);
    for (uint32_t j = 0; j < AGENTS; j++) {
      for (uint32_t k = 0; k < STREAMS; k++)
        advance_work (run, j, &run->work[j][k]);
    }
    if (i % AGENT_LOSS_PERIOD_STEPS == AGENT_LOSS_PERIOD_STEPS - 1)
      lose_agent (run, (uint32_t)(resume_random (run) % AGENTS));
    burdock_dispatcher_tick (run->dispatcher);
  }
  run->gap_tokens += (STREAMS - run->ended) * TOKENS;
  bench_at_most ("resume_gap_tokens", run->gap_tokens, "tokens", 0);
  bench_without_target ("resume_broken_streams", run->broken, "streams");
  bench_without_target ("resumed_streams", run->resumed, "streams");
  burdock_dispatcher_free (run->dispatcher);
  burdock_config_unref (config);
  free (run);
}
