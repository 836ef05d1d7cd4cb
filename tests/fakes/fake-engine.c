/* Stand-in for the engines of a rank group; each rank has an HTTP server of its own. */
#include "fake-engine.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EVENT_DROP_INTERVAL 11 /* every 11th cache event is never reported */
#define STREAM_BLOCK_BYTES 4096
#define LINE_MAX_BYTES 96
#define TOKENS_DEFAULT 8 /* length of an answer whose prompt has no "n=NUMBER" */

static void
rank_add_event (Rank *rank, bool insert, const char *prefix)
{
  CacheEvent *event = &rank->events[rank->event_count % EVENTS_MAX];

  rank->event_count++;
  event->sequence = ++rank->event_sequence;
  event->due_us = fake_now_us () + (uint64_t)rank->engine->event_lag_ms * 1000;
  event->insert = insert;
  snprintf (event->prefix, sizeof event->prefix, "%s", prefix);
}

/* Adds the prefix of a prompt to the cache of the rank, in place of the oldest one. */
static void
rank_cache_prefix (Rank *rank, const char *prompt)
{
  char prefix[PREFIX_BYTES + 1];
  char *slot;

  snprintf (prefix, sizeof prefix, "%s", prompt);
  for (uint32_t c = 0; c < CACHE_PREFIXES; c++)
    if (strcmp (rank->cache[c], prefix) == 0)
      return;
  slot = rank->cache[rank->cache_count++ % CACHE_PREFIXES];
  if (*slot != '\0')
    rank_add_event (rank, false, slot);
  memcpy (slot, prefix, sizeof prefix);
  rank_add_event (rank, true, prefix);
}

static bool
on_fault (void *ctx, const char *kind, uint32_t ms)
{
  Rank *rank = ctx;
  bool die = strcmp (kind, "die") == 0;
  bool restart = strcmp (kind, "restart") == 0;
  bool known = true;

  pthread_mutex_lock (&rank->engine->lock);
  if (die || restart)
    rank_die (rank);
  if (restart)
    rank_start (rank, true);
  else if (strcmp (kind, "straggle") == 0)
    rank->straggle_us = ms * 1000;
  else if (strcmp (kind, "none") == 0)
    rank->straggle_us = 0;
  else
    known = die;
  __atomic_store_n (&rank->server.dead, !rank->alive, __ATOMIC_RELEASE);
  pthread_cond_broadcast (&rank->engine->changed);
  pthread_mutex_unlock (&rank->engine->lock);
  return known;
}

/* Token @index of an answer; a function of the prompt, so that callers can check it. */
static size_t
format_token_line (const Stream *stream, uint32_t index, char *line)
{
  char number[16];
  uint64_t hash = fake_hash (FAKE_HASH_OFFSET_BASIS, stream->prompt);

  snprintf (number, sizeof number, "#%u", index);
  return (size_t)snprintf (line, LINE_MAX_BYTES, "{\"index\":%u,\"token\":\"%08x \"}\n",
                           index, (uint32_t)fake_hash (hash, number));
}

/* MHD_ContentReaderCallback: blocks until a token is generated or the stream ends. */
static ssize_t
stream_read (void *ctx, uint64_t position, char *buffer, size_t max_bytes)
{
  Stream *stream = ctx;
  Engine *engine = stream->rank->engine;
  size_t length = 0;

  pthread_mutex_lock (&engine->lock);
  while (!stream->broken && stream->sent == stream->generated &&
         stream->generated < stream->total)
    pthread_cond_wait (&stream->changed, &engine->lock);
  while (!stream->broken && stream->sent < stream->generated &&
         length + LINE_MAX_BYTES < max_bytes)
    length += format_token_line (stream, stream->sent++, buffer + length);
  if (!stream->broken && length == 0 && !stream->end_sent) {
    length = (size_t)snprintf (buffer, max_bytes, "{\"end\":true,\"tokens\":%u}\n",
                               stream->total);
    stream->end_sent = true;
  }
  pthread_mutex_unlock (&engine->lock);
  if (length > 0)
    return (ssize_t)length;
  return stream->end_sent ? MHD_CONTENT_READER_END_OF_STREAM
                          : MHD_CONTENT_READER_END_WITH_ERROR;
}

/* MHD_ContentReaderFreeCallback: runs at the end of the response, also if it is cut. */
static void
stream_free (void *ctx)
{
  Stream *stream = ctx;
  Rank *rank = stream->rank;

  pthread_mutex_lock (&rank->engine->lock);
  for (Stream **at = &rank->streams; *at != NULL; at = &(*at)->next) {
    if (*at != stream)
      continue;
    *at = stream->next;
    break;
  }
  rank->disconnected += !stream->end_sent && !stream->broken;
  pthread_mutex_unlock (&rank->engine->lock);
  pthread_cond_destroy (&stream->changed);
  free (stream->prompt);
  free (stream);
}

/* Number of tokens of an answer, from "n=NUMBER" in the prompt. */
static uint32_t
prompt_token_count (const char *prompt)
{
  const char *at = strstr (prompt, "n=");

  return at != NULL ? (uint32_t)strtoul (at + 2, NULL, 10) : TOKENS_DEFAULT;
}

static void
handle_generate (Rank *rank, const json_t *json, FakeReply *reply)
{
  Stream **end = &rank->streams;
  Stream *stream;

  if (rank_active_streams (rank) >= rank->engine->capacity * 2) {
    reply->status = 429;
    return;
  }
  stream = calloc (1, sizeof *stream);
  stream->rank = rank;
  stream->id = fake_json_uint (json, "id");
  stream->priority = (int)fake_json_uint (json, "priority");
  stream->prompt = strdup (fake_json_string (json, "prompt"));
  stream->total = prompt_token_count (stream->prompt);
  stream->generated = stream->sent = (uint32_t)fake_json_uint (json, "resume_from");
  pthread_cond_init (&stream->changed, NULL);
  while (*end != NULL)
    end = &(*end)->next;
  *end = stream;
  fake_json_increment (rank->generate_counts, fake_json_string (json, "key"));
  rank_cache_prefix (rank, stream->prompt);
  reply->stream = MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES,
                                                     stream_read, stream, stream_free);
}

static void
cancel_stream (Rank *rank, uint64_t id)
{
  for (Stream *stream = rank->streams; stream != NULL; stream = stream->next) {
    if (stream->id != id || stream->broken || stream->generated >= stream->total)
      continue;
    stream->broken = true;
    rank->cancelled++;
    pthread_cond_signal (&stream->changed);
  }
}

/* Body of GET /state. Whole tokens are reported once: they leave the counts by slot. */
static json_t *
state_json (Rank *rank)
{
  const Engine *engine = rank->engine;
  uint32_t streams = rank_active_streams (rank);
  uint32_t running = streams < engine->capacity ? streams : engine->capacity;
  char *hex = map_hex (engine, rank->map);
  json_t *tokens = json_array ();
  json_t *result;

  for (size_t s = 0; s < (size_t)engine->layers * engine->slots; s++) {
    json_int_t whole_tokens = (json_int_t)rank->slot_tokens[s];

    rank->slot_tokens[s] -= (double)whole_tokens;
    json_array_append_new (tokens, json_integer (whole_tokens));
  }
  result =
      json_pack ("{s:I,s:I,s:I,s:I,s:I,s:I,s:b,s:b,s:I,s:I,s:I,s:I,s:s,s:o}", "instance",
                 (json_int_t)rank->instance, "map_epoch", (json_int_t)rank->map_epoch,
                 "held_epoch", (json_int_t)rank->held_epoch, "held_step",
                 (json_int_t)rank->held_step, "held_number",
                 (json_int_t)rank->held_number, "step", (json_int_t)engine->step,
                 "waiting", (int)rank_is_waiting (rank), "joining", (int)rank->joining,
                 "running", (json_int_t)running, "queued",
                 (json_int_t)(streams - running), "capacity",
                 (json_int_t)engine->capacity, "step_time_us",
                 (json_int_t)rank->step_time_us, "map", hex, "tokens", tokens);
  free (hex);
  return result;
}

/*
 * Loads the experts of a map. The lock is released for the time that this takes; the rank
 * may restart meanwhile, and the request then fails with status 409.
 */
static void
handle_map_load (Rank *rank, const json_t *json, FakeReply *reply)
{
  Engine *engine = rank->engine;
  uint64_t instance = rank->instance;
  uint16_t *map = malloc (map_bytes (engine));

  if (!map_parse (engine, fake_json_string (json, "map"), map)) {
    free (map);
    reply->status = 400;
    return;
  }
  pthread_mutex_unlock (&engine->lock);
  fake_sleep_us ((uint64_t)engine->load_ms * 1000);
  pthread_mutex_lock (&engine->lock);
  if (rank->instance == instance && rank->alive) {
    memcpy (rank->loaded_map, map, map_bytes (engine));
    rank->loaded_epoch = fake_json_uint (json, "epoch");
    rank->loaded = true;
  } else {
    reply->status = 409;
  }
  free (map);
}

/*
 * Holds the rank before a step that has not begun. The number has to be higher than that
 * of every earlier hold; the new hold replaces the current one.
 */
static void
handle_map_hold (Rank *rank, const json_t *json, FakeReply *reply)
{
  uint64_t step = fake_json_uint (json, "step");
  uint64_t number = fake_json_uint (json, "number");

  if (step < rank->engine->step || number <= rank->highest_held_number) {
    reply->status = 409;
    reply->json = json_pack ("{s:I}", "step", (json_int_t)rank->engine->step);
    return;
  }
  rank->held_epoch = fake_json_uint (json, "epoch");
  rank->held_step = step;
  rank->held_number = rank->highest_held_number = number;
}

/* Ends a hold by a commit or an abort. A commit takes effect at the held step. */
static void
handle_map_release (Rank *rank, const json_t *json, FakeReply *reply)
{
  uint64_t epoch = fake_json_uint (json, "epoch");
  bool commit = json_is_true (json_object_get (json, "commit"));

  if (rank->held_number == 0 || fake_json_uint (json, "number") != rank->held_number ||
      (commit && (!rank->loaded || rank->loaded_epoch != epoch))) {
    rank->conflicts++;
    reply->status = 409;
    return;
  }
  if (commit) {
    memcpy (rank->next_map, rank->loaded_map, map_bytes (rank->engine));
    rank->next_epoch = epoch;
    rank->switch_step = rank->held_step;
    rank->switching = true;
    rank->joining = false;
    rank_apply_switch (rank);
  }
  rank->commits += commit;
  rank->aborts += !commit;
  rank->held_epoch = rank->held_step = rank->held_number = 0;
  pthread_cond_broadcast (&rank->engine->changed);
}

/* Records an order to load or unload, or to change role. */
static void
handle_order (Rank *rank, const json_t *json)
{
  json_array_append_new (rank->orders,
                         json_pack ("{s:I,s:s,s:s}", "fence",
                                    (json_int_t)fake_json_uint (json, "fence"), "name",
                                    fake_json_string (json, "name"), "argument",
                                    fake_json_string (json, "argument")));
}

/*
 * Handles a request with a fencing token. If the engine checks tokens, it refuses one
 * that is older than one this instance has seen. Any other order is carried out, and is
 * counted if a newer token has reached the rank before, also before a restart of the
 * engine. A map order without a token is not counted: it comes from a recovery of the
 * agents, which has no lease.
 */
static void
handle_fenced (Rank *rank, const char *path, const json_t *json, FakeReply *reply)
{
  bool is_order = strcmp (path, "/order") == 0;
  uint64_t fence = fake_json_uint (json, "fence");
  bool counted = is_order || fence != 0;
  bool stale = counted && fence < rank->newest_fence;

  if (rank->engine->checks_fencing && fence < rank->highest_fence) {
    rank->refused_orders += counted;
    reply->status = 403;
    return;
  }
  if (fence > rank->highest_fence)
    rank->highest_fence = fence;
  if (fence > rank->newest_fence)
    rank->newest_fence = fence;
  if (strcmp (path, "/map/load") == 0)
    handle_map_load (rank, json, reply);
  else if (strcmp (path, "/map/hold") == 0)
    handle_map_hold (rank, json, reply);
  else if (strcmp (path, "/map/release") == 0)
    handle_map_release (rank, json, reply);
  else if (is_order)
    handle_order (rank, json);
  else
    reply->status = 404;
  rank->stale_orders += stale && reply->status == 200;
}

static json_t *
events_json (const Rank *rank, uint64_t after)
{
  uint32_t first = rank->event_count > EVENTS_MAX ? rank->event_count - EVENTS_MAX : 0;
  json_t *list = json_array ();

  for (uint32_t e = first; e < rank->event_count; e++) {
    const CacheEvent *event = &rank->events[e % EVENTS_MAX];

    if (event->sequence <= after || event->sequence % EVENT_DROP_INTERVAL == 0 ||
        event->due_us > fake_now_us ())
      continue;
    json_array_append_new (list, json_pack ("{s:I,s:s,s:s}", "sequence",
                                            (json_int_t)event->sequence, "kind",
                                            event->insert ? "insert" : "evict", "prefix",
                                            event->prefix));
  }
  return json_pack ("{s:o}", "events", list);
}

/* Sets the popularity of the experts in all layers, or in the one of "layer". */
static void
handle_popularity (Engine *engine, const json_t *json, FakeReply *reply)
{
  const json_t *weights = json_object_get (json, "weights");
  const json_t *layer = json_object_get (json, "layer");

  if (json_array_size (weights) != engine->experts) {
    reply->status = 400;
    return;
  }
  for (uint32_t l = 0; l < engine->layers; l++) {
    if (layer != NULL && json_integer_value (layer) != l)
      continue;
    for (uint32_t e = 0; e < engine->experts; e++)
      engine->popularity[(size_t)l * engine->experts + e] =
          json_number_value (json_array_get (weights, e));
  }
}

static json_t *
stats_json (const Rank *rank)
{
  const Engine *engine = rank->engine;

  return json_pack (
      "{s:s,s:I,s:I,s:I,s:I,s:I,s:b,s:b,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:O,s:O}",
      "group", engine->group, "rank", (json_int_t)rank->index, "instance",
      (json_int_t)rank->instance, "steps", (json_int_t)engine->step, "map_mismatches",
      (json_int_t)engine->map_mismatches, "map_epoch", (json_int_t)rank->map_epoch,
      "joining", (int)rank->joining, "waiting", (int)rank_is_waiting (rank), "streams",
      (json_int_t)rank_active_streams (rank), "commits", rank->commits, "aborts",
      rank->aborts, "conflicts", rank->conflicts, "cancelled", rank->cancelled,
      "disconnected", rank->disconnected, "stale_orders", rank->stale_orders,
      "refused_orders", rank->refused_orders, "fence", (json_int_t)rank->newest_fence,
      "generate", rank->generate_counts, "orders", rank->orders);
}

static void
handle_get (Rank *rank, const FakeRequest *request, FakeReply *reply)
{
  const char *path = request->path;

  if (strcmp (path, "/state") == 0) {
    reply->json = state_json (rank);
  } else if (strcmp (path, "/events") == 0) {
    const char *after =
        MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, "after");
    reply->json = events_json (rank, after != NULL ? strtoull (after, NULL, 10) : 0);
  } else if (strcmp (path, "/stats") == 0) {
    json_t *shared = stats_json (rank);

    reply->json = json_deep_copy (shared);
    json_decref (shared);
  } else {
    reply->status = 404;
  }
}

static void
handle_post (Rank *rank, const FakeRequest *request, FakeReply *reply)
{
  const char *path = request->path;
  const json_t *json = request->json;

  if (strcmp (path, "/generate") == 0)
    handle_generate (rank, json, reply);
  else if (strcmp (path, "/cancel") == 0)
    cancel_stream (rank, fake_json_uint (json, "id"));
  else if (strcmp (path, "/order") == 0 || strncmp (path, "/map/", 5) == 0)
    handle_fenced (rank, path, json, reply);
  else if (strcmp (path, "/popularity") == 0)
    handle_popularity (rank->engine, json, reply);
  else
    reply->status = 404;
}

static void
handle_request (void *ctx, const FakeRequest *request, FakeReply *reply)
{
  Rank *rank = ctx;

  pthread_mutex_lock (&rank->engine->lock);
  if (strcmp (request->method, "GET") == 0)
    handle_get (rank, request, reply);
  else if (request->json != NULL)
    handle_post (rank, request, reply);
  else
    reply->status = 400;
  pthread_mutex_unlock (&rank->engine->lock);
}

static void
rank_init (Engine *engine, Rank *rank, uint32_t index)
{
  rank->engine = engine;
  rank->index = index;
  rank->map = malloc (map_bytes (engine));
  rank->next_map = malloc (map_bytes (engine));
  rank->loaded_map = malloc (map_bytes (engine));
  rank->slot_tokens =
      calloc ((size_t)engine->layers * engine->slots, sizeof *rank->slot_tokens);
  rank->generate_counts = json_object ();
  rank->orders = json_array ();
  rank->server =
      (FakeServer){ .handler = handle_request, .fault_hook = on_fault, .ctx = rank };
  rank_start (rank, false);
}

static void
engine_start (Engine *engine)
{
  const char *at = engine->ports;
  pthread_t thread;

  engine->ranks = calloc (engine->rank_count, sizeof *engine->ranks);
  engine->popularity =
      calloc ((size_t)engine->layers * engine->experts, sizeof *engine->popularity);
  for (size_t w = 0; w < (size_t)engine->layers * engine->experts; w++)
    engine->popularity[w] = 1;
  /* Starting from the clock keeps instances distinct over restarts of this process. */
  engine->next_instance = fake_now_us ();
  pthread_mutex_init (&engine->lock, NULL);
  pthread_cond_init (&engine->changed, NULL);
  for (uint32_t r = 0; r < engine->rank_count; r++)
    rank_init (engine, &engine->ranks[r], r);
  for (uint32_t r = 0; r < engine->rank_count; r++) {
    fake_serve (&engine->ranks[r].server, (uint16_t)strtoul (at, NULL, 10));
    at = strchr (at, ',') != NULL ? strchr (at, ',') + 1 : "";
  }
  pthread_create (&thread, NULL, group_thread, engine);
}

int
main (int argc, char **argv)
{
  Engine engine = {
    .group = fake_option (argc, argv, "group", "group"),
    .ports = fake_option (argc, argv, "ports", ""),
    .rank_count = fake_option_number (argc, argv, "ranks", 4),
    .layers = fake_option_number (argc, argv, "layers", 2),
    .experts = fake_option_number (argc, argv, "experts", 8),
    .slots = fake_option_number (argc, argv, "slots", 3),
    .step_us = fake_option_number (argc, argv, "step-us", 5000),
    .capacity = fake_option_number (argc, argv, "capacity", 32),
    .load_ms = fake_option_number (argc, argv, "load-ms", 20),
    .event_lag_ms = fake_option_number (argc, argv, "event-lag-ms", 200),
    .checks_fencing = strcmp (argv[argc - 1], "--checks-fencing") == 0,
  };

  if (engine.rank_count == 0 || engine.rank_count > RANKS_MAX ||
      engine.slots * engine.rank_count < engine.experts) {
    fprintf (stderr,
             "--ranks must be 1 to %d, and --slots times --ranks at least --experts\n",
             RANKS_MAX);
    return 2;
  }
  engine_start (&engine);
  fake_run_until_eof ();
}
