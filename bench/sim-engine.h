/**
 * DOC: sim-engine.h - simulated rank groups, which run in lock-step, and plain services
 *
 * In each step a group counts the ranks whose map differs from that of rank 0. The start
 * of every execution is reported to an observer.
 */
#ifndef SIM_ENGINE_H
#define SIM_ENGINE_H

#include "sim.h"

#define SIM_RANKS_MAX 32
#define SIM_MAP_BYTES_MAX 512

/**
 * struct SimStream - answer that an engine generates
 * @start_count: of the node when the call came; the stream ends if the node restarts
 * @index: next token
 * @total: number of tokens of the complete answer
 */
typedef struct SimStream {
  struct SimStream *next;
  uint64_t call_id;
  uint64_t start_count;
  uint32_t index;
  uint32_t total;
  uint64_t prompt_hash;
} SimStream;

/**
 * struct SimEngine - engine of one rank, or a plain service
 * @group: group of the rank; for a plain service, the group that holds its observer
 * @instance: identifier of the engine process, new after each restart
 * @joining: restarted, and without a map until a switch commits one
 * @loaded_map: map that is loaded but not in use
 * @switching: @next_map replaces @map at @switch_step
 * @held_number: number of the hold in effect, 0 for none; the group stops before
 *   @held_step while it lasts
 * @highest_number: highest hold number accepted; holds with lower numbers are stale
 * @stalled_until_us: the group makes no steps before this time
 * @straggle_us: added to each step of this rank, and so of its group
 */
struct SimEngine {
  SimNode *node;
  SimGroup *group;
  bool alive;
  uint64_t instance;
  bool joining;
  uint64_t map_epoch;
  uint32_t map_bytes;
  uint8_t map[SIM_MAP_BYTES_MAX];
  uint64_t loaded_epoch;
  uint32_t loaded_map_bytes;
  uint8_t loaded_map[SIM_MAP_BYTES_MAX];
  uint32_t next_map_bytes;
  uint8_t next_map[SIM_MAP_BYTES_MAX];
  bool switching;
  uint64_t switch_step;
  uint64_t held_epoch;
  uint64_t held_step;
  uint64_t held_number;
  uint64_t highest_number;
  uint64_t stalled_until_us;
  uint64_t straggle_us;
  SimStream *streams;
  uint32_t running;
};

/**
 * struct SimGroup - ranks that run each step together
 * @slots: slots for experts of each rank and layer
 * @step_us: duration of a step without stragglers
 * @map_mismatches: ranks whose map differed from that of rank 0, summed over all steps
 * @switches: map switches that came into effect
 * @hot_expert: expert that gets more tokens than the others
 * @on_execution: called at the start of each execution; @key is the request key
 */
struct SimGroup {
  Sim *sim;
  char name[BURDOCK_NAME_BYTES];
  uint32_t layers;
  uint32_t experts;
  uint32_t slots;
  uint32_t rank_count;
  SimEngine *ranks[SIM_RANKS_MAX];
  uint64_t step;
  uint64_t step_us;
  uint64_t map_mismatches;
  uint64_t switches;
  uint64_t moved_epoch;
  uint32_t hot_expert;
  void (*on_execution) (SimNode *node, const char *key);
};

typedef void (*SimExecutionObserver) (SimNode *node, const char *key);

/**
 * sim_group_new() - new group without ranks, whose steps start at once
 * @slots: slots for experts of each rank and layer
 *
 * Release with sim_group_free(), which leaves the engines to sim_engine_free().
 */
SimGroup *sim_group_new (Sim *sim, const char *name, uint32_t layers, uint32_t experts,
                         uint32_t slots, uint64_t step_us,
                         SimExecutionObserver on_execution);
void sim_group_free (SimGroup *group);

/** sim_engine_add() - adds the engine of the next rank, driven by @node; resets all ranks
 * to the initial map */
SimEngine *sim_engine_add (SimGroup *group, SimNode *node);

/** sim_service_add() - adds a plain service behind @node; only the callback
 * on_execution of @observer is used */
SimEngine *sim_service_add (SimNode *node, SimGroup *observer);

/** sim_group_copies() - number of copies of @expert in the first layer of the map that
 * rank 0 uses */
uint32_t sim_group_copies (const SimGroup *group, uint32_t expert);

/** sim_engine_restart() - kills the engine and starts a new instance after @after_us */
void sim_engine_restart (SimEngine *engine, uint64_t after_us);
void sim_engine_free (SimEngine *engine);

/** sim_engine_call() - implementation of sim->engine_call */
void sim_engine_call (SimNode *node, const BurdockEngineCall *call, bool for_control);

/** sim_token_text() - writes the text of a token, which depends only on the prompt and
 * the index */
void sim_token_text (uint64_t prompt_hash, uint32_t index, char *out, size_t size_bytes);
uint64_t sim_prompt_hash (const uint8_t *prompt, uint32_t length_bytes);

/** sim_answer_tokens() - number of tokens of the answer to a prompt */
uint32_t sim_answer_tokens (uint64_t prompt_hash);

#endif
