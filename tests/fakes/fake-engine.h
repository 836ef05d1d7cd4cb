/**
 * DOC: fake-engine.h - stand-in for the engines of one rank group
 *
 * One thread runs the steps of the group. A step needs every rank: a rank that is dead,
 * joining or held blocks the whole group. Each step generates one token for each running
 * stream and compares the expert maps that the ranks use in it. Engine.lock protects all
 * state; the functions below are called with it held, except group_thread().
 */
#ifndef FAKE_ENGINE_H
#define FAKE_ENGINE_H

#include "fake.h"

#define RANKS_MAX 64
#define CACHE_PREFIXES 64 /* prompt prefixes in the cache of a rank */
#define PREFIX_BYTES 32
#define EVENTS_MAX 1024 /* newest cache events that a rank keeps */

typedef struct Engine Engine;
typedef struct Rank Rank;

/* One request in generation; belongs to its HTTP response, which frees it. */
typedef struct Stream {
  struct Stream *next;
  Rank *rank;
  uint64_t id;
  int priority;
  char *prompt;
  uint32_t sent;      /* index of the next token to send */
  uint32_t generated; /* index of the next token to generate */
  uint32_t total;     /* number of tokens of the whole answer */
  bool broken;        /* cancelled, or the rank died */
  bool end_sent;
  pthread_cond_t changed; /* a token was generated, or the stream broke */
} Stream;

/* Change of the prefix cache, as GET /events reports it. */
typedef struct {
  uint64_t sequence;
  uint64_t due_us; /* reported from this time on */
  bool insert;     /* otherwise an eviction */
  char prefix[PREFIX_BYTES + 1];
} CacheEvent;

struct Rank {
  Engine *engine;
  FakeServer server;
  uint32_t index;
  bool alive;
  bool joining;       /* restarted, and waits for the commit of a map */
  uint64_t instance;  /* new after each restart */
  uint64_t map_epoch; /* of @map */
  uint16_t *map;      /* map in use */
  uint64_t next_epoch;
  uint16_t *next_map;
  uint64_t switch_step; /* first step that uses @next_map */
  bool switching;       /* @next_map is committed and not yet in use */
  uint64_t loaded_epoch;
  uint16_t *loaded_map; /* map whose experts are loaded */
  bool loaded;
  uint64_t held_epoch;
  uint64_t held_step;           /* the rank stops before this step */
  uint64_t held_number;         /* number of the hold, 0 without one */
  uint64_t highest_held_number; /* of all holds of this instance */
  uint32_t straggle_us;         /* added to the duration of each step */
  uint32_t step_time_us;        /* duration of the last step */
  double *slot_tokens;          /* tokens by layer and slot since the last GET /state */
  Stream *streams;              /* in the order of arrival */
  uint64_t highest_fence;       /* highest fencing token seen by this instance */
  uint64_t newest_fence;        /* the same over all instances of the rank */
  uint32_t event_count;
  uint64_t event_sequence;
  CacheEvent events[EVENTS_MAX];
  uint32_t cache_count; /* prefixes inserted so far; the oldest is evicted first */
  char cache[CACHE_PREFIXES][PREFIX_BYTES + 1];
  json_t *generate_counts; /* request key -> number of accepted /generate requests */
  json_t *orders;          /* accepted orders, oldest first */
  /*
   * Counters of GET /stats: @disconnected of streams that the client closed,
   * @stale_orders of orders carried out after one with a newer fencing token,
   * @refused_orders of orders refused for their token, @conflicts of refused map
   * releases.
   */
  json_int_t cancelled, disconnected, stale_orders, refused_orders, commits, aborts,
      conflicts;
};

struct Engine {
  pthread_mutex_t lock;
  pthread_cond_t changed; /* a rank may be ready for the next step */
  const char *group;
  const char *ports; /* one per rank, separated by commas */
  /*
   * @experts of each layer, @slots of each rank and layer, @step_us of a step with even
   * load, @capacity in streams that a rank serves in one step
   */
  uint32_t rank_count, layers, experts, slots, step_us, capacity, load_ms, event_lag_ms;
  bool checks_fencing;     /* refuses orders whose fencing token is stale */
  uint64_t step;           /* next step of the group */
  uint64_t map_mismatches; /* steps in which the maps of the ranks differed */
  uint64_t next_instance;
  double *popularity; /* relative share of tokens, by layer and expert */
  Rank *ranks;
};

/** map_bytes() - size of a map of all layers in memory */
size_t map_bytes (const Engine *engine);

/**
 * map_hex() - formats a map in hexadecimal
 *
 * Eight digits each for the number of layers, ranks and slots, then four digits for the
 * expert of each slot.
 *
 * Return: a string, released with free().
 */
char *map_hex (const Engine *engine, const uint16_t *map);

/**
 * map_parse() - reads a map in the format of map_hex()
 *
 * Return: false if the dimensions differ from those of the engine or an expert number is
 * out of range; @map is then partly written.
 */
bool map_parse (const Engine *engine, const char *hex, uint16_t *map);

/**
 * rank_start() - starts a rank as a new instance on the initial map
 * @joining: the rank takes part in steps only after the commit of a map
 */
void rank_start (Rank *rank, bool joining);

/** rank_die() - stops a rank and breaks all of its streams */
void rank_die (Rank *rank);

/** rank_is_waiting() - whether the rank has reached the step of its hold */
bool rank_is_waiting (const Rank *rank);

/** rank_active_streams() - number of streams that still have tokens to generate */
uint32_t rank_active_streams (const Rank *rank);

/** rank_apply_switch() - puts a committed map into use once its step is reached */
void rank_apply_switch (Rank *rank);

/** group_thread() - thread that runs the steps of the Engine @ctx; never returns */
void *group_thread (void *ctx);

#endif
