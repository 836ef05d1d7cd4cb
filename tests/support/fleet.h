/**
 * DOC: fleet.h - simulation of many processes of any role with one store on virtual time
 *
 * Each node has a BurdockCore and the controllers that a test chooses. A seeded generator
 * loses and delays messages. The store can be down or slow, lose the answer to a write
 * that took effect, or let a write take effect after its caller has timed out.
 */
#ifndef FLEET_H
#define FLEET_H

#include "controller.h"
#include "fake-store.h"

#define FLEET_CONTROLLERS_MAX 8
#define FLEET_RESULTS_MAX 16
#define FLEET_WINDOW_BUCKETS 10

typedef BurdockController (*FleetController) (BurdockCore *core, uint32_t index);

typedef struct Fleet Fleet;

/**
 * struct FleetNode - one process
 * @slot: index in the fleet, which determines its control address
 * @start_count: number of starts of the process
 * @paused_until_us: a paused node handles nothing before this time
 */
typedef struct {
  Fleet *fleet;
  uint32_t slot;
  bool alive;
  uint64_t start_count;
  uint64_t paused_until_us;
  uint64_t tick_due_us;
  BurdockEnv env;
  BurdockCore core;
  uint32_t controller_count;
  BurdockController controllers[FLEET_CONTROLLERS_MAX];
  uint32_t result_count;
  BurdockApplyResult results[FLEET_RESULTS_MAX];
} FleetNode;

typedef struct FleetEvent FleetEvent;

/**
 * struct FleetRate - total and rate of store calls
 * @bucket: tenth of a second of the last call, counted from time 0
 * @counts: ring of counts in tenths of a second
 * @peak: highest number of calls in any window of one second
 */
typedef struct {
  uint64_t total;
  uint64_t bucket;
  uint32_t counts[FLEET_WINDOW_BUCKETS];
  uint32_t peak;
} FleetRate;

/**
 * struct Fleet - the processes, their network and their store
 * @loss_per_mille: share of the messages that are lost
 * @latency_us: minimum one-way latency of a message; up to the same amount is added at
 *   random
 * @store_down: whether the store refuses calls before any effect
 * @store_latency_us: minimum latency from a call to its effect, and again to the answer;
 *   up to the same amount is added to each at random
 * @lose_answers: number of further writes that take effect but whose answers are lost
 * @late_writes: number of further writes that take effect @late_write_delay_us later,
 *   and whose callers see a timeout
 * @filter: frames for which it returns false are lost; may be NULL
 */
struct Fleet {
  uint64_t now_us;
  uint64_t random_state;
  uint64_t sequence;
  uint32_t loss_per_mille;
  uint64_t latency_us;
  FakeStore store;
  bool store_down;
  uint64_t store_latency_us;
  uint32_t lose_answers;
  uint32_t late_writes;
  uint64_t late_write_delay_us;
  FleetRate reads;
  FleetRate writes;
  bool (*filter) (const Fleet *fleet, uint32_t from, uint32_t to);
  const void *filter_ctx;
  uint32_t node_count;
  FleetNode **nodes;
  uint32_t event_count;
  uint32_t event_allocated;
  FleetEvent *events;
};

/** fleet_new() - creates a fleet without processes; free it with fleet_free() */
Fleet *fleet_new (uint64_t seed);
void fleet_free (Fleet *fleet);
uint64_t fleet_random (Fleet *fleet);

/**
 * fleet_start() - starts a process in @slot, or a new incarnation of the one there
 * @seed_slots: number of slots, from 0 on, whose addresses become the seeds
 * Returns the node, which the fleet owns.
 */
FleetNode *fleet_start (Fleet *fleet, uint32_t slot, BurdockRole role,
                        const FleetController *controllers, uint32_t controller_count,
                        uint32_t seed_slots);

/** fleet_kill() - ends a process without notice */
void fleet_kill (Fleet *fleet, uint32_t slot);

/** fleet_pause() - defers all events of a process for @duration_us */
void fleet_pause (Fleet *fleet, uint32_t slot, uint64_t duration_us);

/** fleet_step() - handles the next event due by @until_us; false if there is none */
bool fleet_step (Fleet *fleet, uint64_t until_us);

/** fleet_run() - handles all events of the next @duration_us */
void fleet_run (Fleet *fleet, uint64_t duration_us);

/** fleet_tick_now() - schedules a tick of a node now, after a test has called into it */
void fleet_tick_now (Fleet *fleet, uint32_t slot);

#endif
