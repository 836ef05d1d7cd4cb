#include "sim-engine.h"

#include "hash.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ENGINE_LATENCY_US 500
#define MAP_LOAD_US (300 * SIM_US_PER_MS)
#define SERVICE_TIME_US (5 * SIM_US_PER_MS)
#define ENGINE_CAPACITY 16
#define ANSWER_TOKENS_MIN 4
#define ANSWER_TOKENS_RANGE 40
#define HOT_EXPERT_TOKENS 64
#define OTHER_EXPERT_TOKENS 4
#define MAP_HEADER_BYTES 12

/** struct Reply - event of the engine on its way to @node, with the data that it points
 * to */
typedef struct {
  SimNode *node;
  uint64_t start_count;
  bool for_control;
  BurdockEngineEvent event;
  BurdockEngineState state;
  uint32_t token_count;
  uint32_t tokens[256];
  uint8_t map[SIM_MAP_BYTES_MAX];
  char text[BURDOCK_REQUEST_KEY_BYTES + 32];
} Reply;

/** struct PendingCall - call on its way to the engine */
typedef struct {
  SimNode *node;
  uint64_t start_count;
  bool for_control;
  uint64_t engine_instance;
  BurdockEngineCall call;
  uint8_t map[SIM_MAP_BYTES_MAX];
} PendingCall;

uint64_t
sim_prompt_hash (const uint8_t *prompt, uint32_t length_bytes)
{
  uint64_t hash = 1;

  for (uint32_t i = 0; i < length_bytes; i++)
    hash = burdock_hash_mix (hash ^ prompt[i]);
  return hash;
}

uint32_t
sim_answer_tokens (uint64_t prompt_hash)
{
  return ANSWER_TOKENS_MIN + (uint32_t)(prompt_hash % ANSWER_TOKENS_RANGE);
}

void
sim_token_text (uint64_t prompt_hash, uint32_t index, char *out, size_t size_bytes)
{
  snprintf (out, size_bytes, "%u-%u ", index,
            (unsigned)(burdock_hash_pair (prompt_hash, index) % 10000));
}

static void
deliver_reply (Sim *sim, void *data)
{
  Reply *reply = data;
  SimNode *node = reply->node;

  if (!node->alive || node->start_count != reply->start_count)
    return;
  if (sim->now_us < node->paused_until_us) {
    Reply *copy = malloc (sizeof *copy);

    *copy = *reply;
    sim_schedule (sim, node->paused_until_us, deliver_reply, copy);
    return;
  }
  if (reply->event.state != NULL) {
    reply->state.map.data = reply->map;
    reply->state.expert_tokens = reply->tokens;
    reply->event.state = &reply->state;
  }
  if (reply->text[0] != '\0')
    reply->event.body =
        (BurdockBytes){ (const uint8_t *)reply->text, (uint32_t)strlen (reply->text) };
  if (reply->for_control)
    burdock_control_engine_event (node->control, &reply->event);
  else if (node->executor != NULL)
    burdock_executor_engine_event (node->executor, &reply->event);
  sim_tick (node);
}

static Reply *
new_reply (SimNode *node, const BurdockEngineCall *call, bool for_control)
{
  Reply *reply = calloc (1, sizeof *reply);

  reply->node = node;
  reply->start_count = node->start_count;
  reply->for_control = for_control;
  reply->event.id = call->id;
  reply->event.op = call->op;
  reply->event.kind = BURDOCK_ENGINE_EVENT_DONE;
  return reply;
}

static void
send_reply (Reply *reply, uint64_t after_us)
{
  Sim *sim = reply->node->sim;

  sim_schedule (sim, sim->now_us + after_us, deliver_reply, reply);
}

static void
send_failure (Reply *reply, int status)
{
  reply->event.kind = BURDOCK_ENGINE_EVENT_FAILED;
  reply->event.status = status;
  send_reply (reply, ENGINE_LATENCY_US);
}

/* Uniform map: slot s of rank r holds expert (r * slots + s) modulo the number of
 * experts. */
static void
set_initial_map (const SimGroup *group, SimEngine *engine)
{
  uint32_t header[3] = { group->layers, group->rank_count, group->slots };
  uint32_t at = 0;

  for (uint32_t i = 0; i < 3; i++) {
    for (int shift = 24; shift >= 0; shift -= 8)
      engine->map[at++] = (uint8_t)(header[i] >> shift);
  }
  for (uint32_t i = 0; i < group->layers * group->rank_count * group->slots; i++) {
    uint32_t expert = i % (group->rank_count * group->slots) % group->experts;

    engine->map[at++] = (uint8_t)(expert >> 8);
    engine->map[at++] = (uint8_t)expert;
  }
  engine->map_bytes = at;
}

static bool
is_waiting (const SimEngine *engine)
{
  return engine->held_number != 0 && engine->group->step >= engine->held_step;
}

static void
fill_expert_tokens (const SimEngine *engine, Reply *reply)
{
  const SimGroup *group = engine->group;
  uint32_t rank = engine->node->settings.rank;

  for (uint32_t layer = 0; layer < group->layers; layer++) {
    for (uint32_t slot = 0; slot < group->slots; slot++) {
      uint32_t at = MAP_HEADER_BYTES +
                    2 * ((layer * group->rank_count + rank) * group->slots + slot);
      uint32_t expert = ((uint32_t)engine->map[at] << 8) | engine->map[at + 1];

      reply->tokens[reply->token_count++] =
          expert == group->hot_expert ? HOT_EXPERT_TOKENS : OTHER_EXPERT_TOKENS;
    }
  }
}

static void
reply_with_state (SimEngine *engine, Reply *reply)
{
  const SimGroup *group = engine->group;

  reply->state = (BurdockEngineState){
    .engine_instance = engine->instance,
    .map_epoch = engine->map_epoch,
    .held_epoch = engine->held_epoch,
    .held_step = engine->held_step,
    .held_number = engine->held_number,
    .step = group->step,
    .waiting = is_waiting (engine),
    .joining = engine->joining,
    .running = engine->running,
    .capacity = ENGINE_CAPACITY,
    .step_time_us = (uint32_t)(group->step_us + engine->straggle_us),
    .map = { NULL, engine->map_bytes },
  };
  if (engine->switching)
    reply->state.map.length_bytes = engine->next_map_bytes;
  memcpy (reply->map, engine->switching ? engine->next_map : engine->map,
          reply->state.map.length_bytes);
  if (!engine->joining)
    fill_expert_tokens (engine, reply);
  reply->state.slot_count = reply->token_count;
  reply->event.state = &reply->state;
  send_reply (reply, ENGINE_LATENCY_US);
}

static void
handle_hold (SimEngine *engine, const BurdockEngineCall *call, Reply *reply)
{
  if (call->step < engine->group->step || call->hold_number <= engine->highest_number) {
    send_failure (reply, -ESTALE);
    return;
  }
  engine->held_epoch = call->epoch;
  engine->held_step = call->step;
  engine->held_number = engine->highest_number = call->hold_number;
  send_reply (reply, ENGINE_LATENCY_US);
}

static void
apply_switch (SimEngine *engine)
{
  if (!engine->switching || engine->group->step < engine->switch_step)
    return;
  memcpy (engine->map, engine->next_map, engine->next_map_bytes);
  engine->map_bytes = engine->next_map_bytes;
  engine->switching = false;
  engine->group->switches += engine == engine->group->ranks[0];
}

/* A commit takes effect at the held step, or at once at a rank that is joining. */
static void
handle_release (SimEngine *engine, const BurdockEngineCall *call, Reply *reply)
{
  bool already_switched = engine->map_epoch == call->epoch && !engine->joining;

  if (engine->held_number == 0 || call->hold_number != engine->held_number ||
      (call->commit && !already_switched && engine->loaded_epoch != call->epoch)) {
    send_failure (reply, -ESTALE);
    return;
  }
  if (call->commit && !already_switched) {
    memcpy (engine->next_map, engine->loaded_map, engine->loaded_map_bytes);
    engine->next_map_bytes = engine->loaded_map_bytes;
    engine->switching = true;
    engine->switch_step = engine->joining ? 0 : engine->held_step;
    engine->map_epoch = call->epoch;
    engine->joining = false;
    apply_switch (engine);
  }
  engine->held_number = 0;
  engine->held_epoch = 0;
  send_reply (reply, ENGINE_LATENCY_US);
}

/* A call is executed even if the process that sent it has died meanwhile. */
static void
execute_call (Sim *sim, void *data)
{
  PendingCall *pending = data;
  SimEngine *engine = pending->node->engine;
  BurdockEngineCall *call = &pending->call;
  Reply *reply = new_reply (pending->node, call, pending->for_control);

  reply->start_count = pending->start_count;
  if (!engine->alive || engine->instance != pending->engine_instance) {
    send_failure (reply, -ECONNREFUSED);
    return;
  }
  switch (call->op) {
  case BURDOCK_ENGINE_STATE:
    reply_with_state (engine, reply);
    return;
  case BURDOCK_ENGINE_MAP_LOAD:
    engine->loaded_epoch = call->epoch;
    engine->loaded_map_bytes = call->map.length_bytes;
    memcpy (engine->loaded_map, pending->map, call->map.length_bytes);
    send_reply (reply, MAP_LOAD_US);
    return;
  case BURDOCK_ENGINE_MAP_HOLD:
    handle_hold (engine, call, reply);
    return;
  case BURDOCK_ENGINE_MAP_RELEASE:
    handle_release (engine, call, reply);
    return;
  default:
    send_reply (reply, ENGINE_LATENCY_US);
  }
}

static void
start_stream (SimEngine *engine, const BurdockEngineCall *call, Reply *reply)
{
  SimStream *stream;

  if (engine->running >= ENGINE_CAPACITY) {
    send_failure (reply, -EBUSY);
    return;
  }
  engine->group->on_execution (engine->node, call->key);
  stream = calloc (1, sizeof *stream);
  stream->call_id = call->id;
  stream->start_count = engine->node->start_count;
  stream->index = call->resume_from;
  stream->prompt_hash = sim_prompt_hash (call->body.data, call->body.length_bytes);
  stream->total = sim_answer_tokens (stream->prompt_hash);
  stream->next = engine->streams;
  engine->streams = stream;
  engine->running++;
  free (reply);
}

static void
run_service (SimEngine *engine, const BurdockEngineCall *call, Reply *reply)
{
  engine->group->on_execution (engine->node, call->key);
  snprintf (reply->text, sizeof reply->text, "ran:%s", call->key);
  send_reply (reply, SERVICE_TIME_US);
}

static void
cancel_stream (SimEngine *engine, uint64_t call_id)
{
  for (SimStream **at = &engine->streams; *at != NULL; at = &(*at)->next) {
    SimStream *stream = *at;

    if (stream->call_id != call_id || stream->start_count != engine->node->start_count)
      continue;
    *at = stream->next;
    free (stream);
    engine->running--;
    return;
  }
}

void
sim_engine_call (SimNode *node, const BurdockEngineCall *call, bool for_control)
{
  Sim *sim = node->sim;
  SimEngine *engine = node->engine;
  Reply *reply;
  PendingCall *pending;

  switch (call->op) {
  case BURDOCK_ENGINE_GENERATE:
  case BURDOCK_ENGINE_CALL:
    reply = new_reply (node, call, for_control);
    if (!engine->alive)
      send_failure (reply, -ECONNREFUSED);
    else if (call->op == BURDOCK_ENGINE_GENERATE)
      start_stream (engine, call, reply);
    else
      run_service (engine, call, reply);
    return;
  case BURDOCK_ENGINE_CANCEL:
    cancel_stream (engine, call->target_id);
    send_reply (new_reply (node, call, for_control), ENGINE_LATENCY_US);
    return;
  default:
    pending = calloc (1, sizeof *pending);
    pending->node = node;
    pending->start_count = node->start_count;
    pending->for_control = for_control;
    pending->engine_instance = engine->instance;
    pending->call = *call;
    if (call->map.length_bytes > sizeof pending->map)
      abort ();
    if (call->map.length_bytes > 0)
      memcpy (pending->map, call->map.data, call->map.length_bytes);
    sim_schedule (sim,
                  sim->now_us + ENGINE_LATENCY_US +
                      sim_random_below (sim, 20 * SIM_US_PER_MS),
                  execute_call, pending);
  }
}

/* Sends the next token of @stream, or its end. Returns whether the stream has ended. */
static bool
emit_token (SimEngine *engine, SimStream *stream)
{
  BurdockEngineCall call = { .id = stream->call_id, .op = BURDOCK_ENGINE_GENERATE };
  Reply *reply = new_reply (engine->node, &call, false);

  reply->event.index = stream->index;
  reply->event.token_count = stream->total;
  if (stream->index >= stream->total) {
    send_reply (reply, 0);
    return true;
  }
  reply->event.kind = BURDOCK_ENGINE_EVENT_TOKEN;
  sim_token_text (stream->prompt_hash, stream->index, reply->text, sizeof reply->text);
  send_reply (reply, 0);
  stream->index++;
  return false;
}

static void
advance_streams (SimEngine *engine)
{
  SimStream **at = &engine->streams;

  while (*at != NULL) {
    SimStream *stream = *at;
    bool orphan =
        !engine->node->alive || engine->node->start_count != stream->start_count;

    if (!orphan && !emit_token (engine, stream)) {
      at = &stream->next;
      continue;
    }
    *at = stream->next;
    free (stream);
    engine->running--;
  }
}

static bool
group_can_step (const SimGroup *group)
{
  for (uint32_t i = 0; i < group->rank_count; i++) {
    const SimEngine *engine = group->ranks[i];

    if (!engine->alive || engine->joining || is_waiting (engine) ||
        group->sim->now_us < engine->stalled_until_us)
      return false;
  }
  return true;
}

static uint64_t
step_time_us (const SimGroup *group)
{
  uint64_t longest_us = 0;

  for (uint32_t i = 0; i < group->rank_count; i++) {
    if (group->ranks[i]->straggle_us > longest_us)
      longest_us = group->ranks[i]->straggle_us;
  }
  return group->step_us + longest_us;
}

static void
run_step (Sim *sim, void *data)
{
  SimGroup *group = *(SimGroup **)data;
  SimGroup **again = malloc (sizeof (SimGroup *));

  *again = group;
  sim_schedule (sim, sim->now_us + step_time_us (group), run_step, again);
  if (!group_can_step (group))
    return;
  for (uint32_t i = 0; i < group->rank_count; i++)
    apply_switch (group->ranks[i]);
  for (uint32_t i = 1; i < group->rank_count; i++) {
    const SimEngine *a = group->ranks[0];
    const SimEngine *b = group->ranks[i];

    if (a->map_bytes != b->map_bytes || memcmp (a->map, b->map, a->map_bytes) != 0)
      group->map_mismatches++;
  }
  for (uint32_t i = 0; i < group->rank_count; i++)
    advance_streams (group->ranks[i]);
  group->step++;
}

SimGroup *
sim_group_new (Sim *sim, const char *name, uint32_t layers, uint32_t experts,
               uint32_t slots, uint64_t step_us, SimExecutionObserver on_execution)
{
  SimGroup *group = calloc (1, sizeof *group);
  SimGroup **data = malloc (sizeof (SimGroup *));

  group->sim = sim;
  snprintf (group->name, sizeof group->name, "%s", name);
  group->layers = layers;
  group->experts = experts;
  group->slots = slots;
  group->step_us = step_us;
  group->on_execution = on_execution;
  *data = group;
  sim_schedule (sim, sim->now_us + step_us, run_step, data);
  return group;
}

void
sim_group_free (SimGroup *group)
{
  free (group);
}

SimEngine *
sim_engine_add (SimGroup *group, SimNode *node)
{
  SimEngine *engine = calloc (1, sizeof *engine);

  engine->node = node;
  engine->group = group;
  engine->alive = true;
  engine->instance = 1 + sim_random_below (group->sim, 1 << 30);
  node->engine = engine;
  group->ranks[group->rank_count++] = engine;
  for (uint32_t i = 0; i < group->rank_count; i++)
    set_initial_map (group, group->ranks[i]);
  return engine;
}

SimEngine *
sim_service_add (SimNode *node, SimGroup *observer)
{
  SimEngine *engine = calloc (1, sizeof *engine);

  engine->node = node;
  engine->group = observer;
  engine->alive = true;
  engine->instance = 1;
  node->engine = engine;
  return engine;
}

uint32_t
sim_group_copies (const SimGroup *group, uint32_t expert)
{
  const uint8_t *map = group->ranks[0]->map;
  uint32_t copies = 0;

  for (uint32_t slot = 0; slot < group->rank_count * group->slots; slot++) {
    const uint8_t *at = map + MAP_HEADER_BYTES + 2 * (size_t)slot;

    copies += (((uint32_t)at[0] << 8) | at[1]) == expert;
  }
  return copies;
}

typedef struct {
  SimEngine *engine;
} EngineRestart;

static void
finish_restart (Sim *sim, void *data)
{
  SimEngine *engine = ((EngineRestart *)data)->engine;

  engine->alive = true;
  engine->instance = 1 + sim_random_below (sim, 1 << 30);
}

/* The agent sees the streams of an engine that died end with -EPIPE. */
static void
drop_streams (SimEngine *engine)
{
  while (engine->streams != NULL) {
    SimStream *stream = engine->streams;
    BurdockEngineCall call = { .id = stream->call_id, .op = BURDOCK_ENGINE_GENERATE };

    if (engine->node->alive && engine->node->start_count == stream->start_count)
      send_failure (new_reply (engine->node, &call, false), -EPIPE);
    engine->streams = stream->next;
    free (stream);
  }
  engine->running = 0;
}

void
sim_engine_restart (SimEngine *engine, uint64_t after_us)
{
  Sim *sim = engine->node->sim;
  EngineRestart *restart = malloc (sizeof *restart);

  drop_streams (engine);
  engine->alive = false;
  engine->joining = true;
  engine->map_epoch = 0;
  engine->map_bytes = 0;
  engine->loaded_epoch = 0;
  engine->held_epoch = 0;
  engine->held_number = 0;
  engine->highest_number = 0;
  engine->switching = false;
  restart->engine = engine;
  sim_schedule (sim, sim->now_us + after_us, finish_restart, restart);
}

void
sim_engine_free (SimEngine *engine)
{
  if (engine == NULL)
    return;
  while (engine->streams != NULL) {
    SimStream *next = engine->streams->next;

    free (engine->streams);
    engine->streams = next;
  }
  free (engine);
}
