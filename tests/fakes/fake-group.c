/* Steps, maps and token generation of the rank group in fake-engine.h. */
#include "fake-engine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static size_t
map_entries (const Engine *engine)
{
  return (size_t)engine->layers * engine->rank_count * engine->slots;
}

size_t
map_bytes (const Engine *engine)
{
  return map_entries (engine) * sizeof (uint16_t);
}

/* Assigns the experts to the slots in turn, the same in every layer. */
static void
map_initial (const Engine *engine, uint16_t *map)
{
  size_t layer_slots = (size_t)engine->rank_count * engine->slots;

  for (size_t i = 0; i < map_entries (engine); i++)
    map[i] = (uint16_t)(i % layer_slots % engine->experts);
}

char *
map_hex (const Engine *engine, const uint16_t *map)
{
  size_t entries = map_entries (engine);
  char *hex = malloc (24 + entries * 4 + 1);

  snprintf (hex, 25, "%08x%08x%08x", engine->layers, engine->rank_count, engine->slots);
  for (size_t i = 0; i < entries; i++)
    snprintf (hex + 24 + i * 4, 5, "%04x", map[i]);
  return hex;
}

bool
map_parse (const Engine *engine, const char *hex, uint16_t *map)
{
  size_t entries = map_entries (engine);
  char header[25];

  snprintf (header, sizeof header, "%08x%08x%08x", engine->layers, engine->rank_count,
            engine->slots);
  if (strlen (hex) != 24 + entries * 4 || strncmp (hex, header, 24) != 0)
    return false;
  for (size_t i = 0; i < entries; i++) {
    char digits[5] = { 0 };

    memcpy (digits, hex + 24 + i * 4, 4);
    map[i] = (uint16_t)strtoul (digits, NULL, 16);
    if (map[i] >= engine->experts)
      return false;
  }
  return true;
}

void
rank_start (Rank *rank, bool joining)
{
  Engine *engine = rank->engine;

  map_initial (engine, rank->map);
  rank->instance = engine->next_instance++;
  rank->map_epoch = 0;
  rank->switching = rank->loaded = false;
  rank->held_epoch = rank->held_step = rank->held_number = rank->highest_held_number = 0;
  rank->highest_fence = 0;
  rank->joining = joining;
  rank->cache_count = rank->event_count = 0;
  memset (rank->cache, 0, sizeof rank->cache);
  memset (rank->slot_tokens, 0,
          (size_t)engine->layers * engine->slots * sizeof *rank->slot_tokens);
  rank->alive = true;
}

void
rank_die (Rank *rank)
{
  rank->alive = false;
  for (Stream *stream = rank->streams; stream != NULL; stream = stream->next) {
    stream->broken = true;
    pthread_cond_signal (&stream->changed);
  }
}

bool
rank_is_waiting (const Rank *rank)
{
  return rank->held_number != 0 && rank->held_step <= rank->engine->step;
}

/* Whether every rank can take part in the next step. */
static bool
group_ready (const Engine *engine)
{
  for (uint32_t r = 0; r < engine->rank_count; r++) {
    const Rank *rank = &engine->ranks[r];

    if (!rank->alive || rank->joining || rank_is_waiting (rank))
      return false;
  }
  return true;
}

void
rank_apply_switch (Rank *rank)
{
  if (!rank->switching || rank->engine->step < rank->switch_step)
    return;
  memcpy (rank->map, rank->next_map, map_bytes (rank->engine));
  rank->map_epoch = rank->next_epoch;
  rank->switching = false;
}

uint32_t
rank_active_streams (const Rank *rank)
{
  uint32_t count = 0;

  for (const Stream *stream = rank->streams; stream != NULL; stream = stream->next)
    count += !stream->broken && stream->generated < stream->total;
  return count;
}

/*
 * Spreads the @tokens tokens of a step over the slots by the popularity of their experts.
 * Adds to @rank_share the mean fraction of tokens that each rank processes.
 */
static void
count_slot_tokens (Engine *engine, uint32_t tokens, double *rank_share)
{
  size_t layer_slots = (size_t)engine->rank_count * engine->slots;
  uint32_t *copies = calloc (engine->experts, sizeof *copies);

  for (size_t l = 0; l < engine->layers; l++) {
    /* All ranks should use the same map; that of rank 0 gives the copies of an expert. */
    const uint16_t *layer = engine->ranks[0].map + l * layer_slots;
    const double *weights = engine->popularity + l * engine->experts;
    double sum = 0;

    memset (copies, 0, engine->experts * sizeof *copies);
    for (size_t i = 0; i < layer_slots; i++)
      copies[layer[i]]++;
    for (uint32_t e = 0; e < engine->experts; e++)
      sum += weights[e];
    for (size_t i = 0; i < layer_slots && sum > 0; i++) {
      double share = weights[layer[i]] / sum / copies[layer[i]];
      Rank *rank = &engine->ranks[i / engine->slots];

      rank->slot_tokens[l * engine->slots + i % engine->slots] += share * tokens;
      rank_share[rank->index] += share / engine->layers;
    }
  }
  free (copies);
}

/*
 * Runs one step, which takes as long as its slowest rank. The lock is held on entry and
 * on return, and released while the step takes its time.
 */
static void
group_step (Engine *engine)
{
  double share[RANKS_MAX] = { 0 };
  uint32_t tokens = 0;
  uint32_t slowest_us = 0;

  for (uint32_t r = 0; r < engine->rank_count; r++) {
    rank_apply_switch (&engine->ranks[r]);
    tokens += rank_active_streams (&engine->ranks[r]);
  }
  for (uint32_t r = 1; r < engine->rank_count; r++) {
    if (memcmp (engine->ranks[r].map, engine->ranks[0].map, map_bytes (engine)) != 0) {
      engine->map_mismatches++;
      break;
    }
  }
  engine->step++;
  count_slot_tokens (engine, tokens, share);
  /* Half of the step time is fixed, half is proportional to the tokens of the rank. */
  for (uint32_t r = 0; r < engine->rank_count; r++) {
    Rank *rank = &engine->ranks[r];

    rank->step_time_us =
        (uint32_t)(engine->step_us / 2.0 * (1 + share[r] * engine->rank_count)) +
        rank->straggle_us;
    if (rank->step_time_us > slowest_us)
      slowest_us = rank->step_time_us;
  }
  pthread_mutex_unlock (&engine->lock);
  fake_sleep_us (slowest_us);
  pthread_mutex_lock (&engine->lock);
}

/*
 * Generates one token for each stream up to the capacity: first by priority, then in the
 * order of arrival.
 */
static void
rank_generate_tokens (Rank *rank)
{
  uint32_t remaining = rank->engine->capacity;

  for (int priority = 2; priority >= 0; priority--) {
    for (Stream *stream = rank->streams; stream != NULL && remaining > 0;
         stream = stream->next) {
      if (stream->priority != priority || stream->broken ||
          stream->generated >= stream->total)
        continue;
      stream->generated++;
      remaining--;
      pthread_cond_signal (&stream->changed);
    }
  }
}

void *
group_thread (void *ctx)
{
  Engine *engine = ctx;

  pthread_mutex_lock (&engine->lock);
  for (;;) {
    while (!group_ready (engine))
      pthread_cond_wait (&engine->changed, &engine->lock);
    group_step (engine);
    for (uint32_t r = 0; r < engine->rank_count; r++)
      rank_generate_tokens (&engine->ranks[r]);
  }
  return NULL;
}
