/**
 * DOC: sim.h - discrete-event simulation of many processes in virtual time
 *
 * Each node runs the library objects of one process. A single event queue carries
 * messages, ticks, store calls and engine calls. All random numbers come from one seeded
 * generator, so the same seed gives the same run byte for byte. The network model delays,
 * drops, duplicates and reorders messages; it has no hosts and no bandwidth limits.
 */
#ifndef SIM_H
#define SIM_H

#include "burdock.h"

#include <apr_hash.h>
#include <apr_pools.h>

#define SIM_US_PER_MS UINT64_C (1000)
#define SIM_US_PER_S UINT64_C (1000000)

/* Port numbers in the addresses of nodes; each node has its own IPv4 address. */
#define SIM_PORT_CONTROL 1
#define SIM_PORT_TRAFFIC 2
#define SIM_PORT_DISPATCHER 3
#define SIM_PORT_HTTP 4

typedef struct Sim Sim;
typedef struct SimNode SimNode;
typedef struct SimStore SimStore;
typedef struct SimGroup SimGroup;
typedef struct SimEngine SimEngine;
typedef struct SimClients SimClients;

/** typedef SimEventHandler - handles an event that is due; the queue then releases @data
 * with free() */
typedef void (*SimEventHandler) (Sim *sim, void *data);

/**
 * struct SimNetwork - network conditions
 * @loss_per_mille: share of control messages that are lost; traffic connections break
 *   with a tenth of this probability per message
 * @duplicate_per_mille: share of control messages that are delivered twice
 * @cross_domain_delay_us: one-way delay between failure domains; within one it is a tenth
 * @jitter_us: largest random addition to the delay, which lets control messages overtake
 *   each other
 */
typedef struct {
  uint32_t loss_per_mille;
  uint32_t duplicate_per_mille;
  uint64_t cross_domain_delay_us;
  uint64_t jitter_us;
} SimNetwork;

/**
 * struct SimNode - one simulated process
 * @domain: index of the failure domain
 * @start_count: number of starts; events scheduled before the latest start are dropped
 * @leaving_notice_us: time of the notice to leave, 0 for none
 * @generation: highest configuration generation published since the start
 * @executions: requests that started to run at the upstream of this node
 * @drain_count: planned stops that ended with the node drained
 * @tick_due_us: time of the scheduled tick; ticks scheduled for other times are ignored
 * @control_bytes: size of all control messages sent
 * @control_messages: number of control messages sent
 */
struct SimNode {
  Sim *sim;
  uint32_t index;
  uint32_t domain;
  BurdockSettings settings;
  BurdockEnv env;
  bool alive;
  uint64_t paused_until_us;
  uint64_t start_count;
  uint64_t started_us;
  uint64_t leaving_notice_us;
  uint64_t generation;
  uint64_t executions;
  uint64_t drain_count;
  uint64_t last_execution_us;
  uint64_t tick_due_us;
  BurdockControl *control;
  BurdockDispatcher *dispatcher;
  BurdockExecutor *executor;
  BurdockSnapshot *snapshot;
  SimEngine *engine;
  uint64_t control_bytes;
  uint64_t control_messages;
  uint64_t usage_due_us;
};

/**
 * struct Sim - a simulation
 * @sequence: number of the next event; events due at the same time run in this order
 * @domain_partitioned: whether messages between two failure domains are dropped
 * @connection_epoch: node_count x node_count, one for each pair of entry and agent;
 * raised when a connection is opened or broken, so it is odd while the connection is up
 * @connection_last_us: arrival time of the last message from one node to another on their
 *   connection, which keeps its messages in order
 * @traffic: whether nodes have dispatchers and executors
 * @verbose: prints the log events of all nodes
 * @print_messages: prints control messages other than heartbeats
 */
struct Sim {
  uint64_t now_us;
  uint64_t random_state;
  uint64_t event_count;
  uint64_t sequence;
  uint32_t heap_count;
  uint32_t heap_allocated;
  struct SimEvent *heap;
  uint32_t node_count;
  SimNode **nodes;
  SimNetwork network;
  bool domain_partitioned[8][8];
  uint64_t *connection_epoch;
  uint64_t *connection_last_us;
  SimStore *store;
  SimClients *clients;
  apr_pool_t *pool;
  bool traffic;
  bool verbose;
  bool print_messages;
  void (*published) (SimNode *node, const BurdockSnapshot *snapshot);
  void (*deliver) (SimNode *node, const BurdockDelivery *delivery);
  void (*engine_call) (SimNode *node, const BurdockEngineCall *call, bool for_control);
  void (*apply_done) (SimNode *node, const BurdockApplyResult *result);
};

/** sim_new() - new simulation of up to @node_limit nodes; release with sim_free() */
Sim *sim_new (uint64_t seed, uint32_t node_limit);
void sim_free (Sim *sim);
uint64_t sim_random (Sim *sim);

/** sim_random_below() - random number from 0 to @limit - 1, 0 for a limit of 0 */
uint64_t sim_random_below (Sim *sim, uint64_t limit);

/**
 * sim_schedule() - adds an event to the queue
 * @due_us: virtual time of the event; a time in the past means now
 * @data: passed to @handler and then released with free(); may be NULL
 */
void sim_schedule (Sim *sim, uint64_t due_us, SimEventHandler handler, void *data);

/** sim_run_until() - runs all events due up to and including @until_us */
void sim_run_until (Sim *sim, uint64_t until_us);

/** sim_add_node() - adds a process that is not running; the addresses in @settings are
 * assigned here */
SimNode *sim_add_node (Sim *sim, const BurdockSettings *settings, uint32_t domain);
void sim_start (SimNode *node);

/** sim_stop() - kills the process: its connections break and it sends no notice */
void sim_stop (SimNode *node);

/** sim_pause() - stops the process for @duration_us; its input waits meanwhile */
void sim_pause (SimNode *node, uint64_t duration_us);

/** sim_tick() - runs the ticks of the node's objects now and schedules the next one;
 * called after each input */
void sim_tick (SimNode *node);

/** sim_cut_connection() - breaks the traffic connection between two nodes, if any */
void sim_cut_connection (SimNode *a, SimNode *b);

/** sim_node_at() - node with the address @ipv4, or NULL */
SimNode *sim_node_at (Sim *sim, uint32_t ipv4);

/* Store (sim-store.c): rows, objects and the instance list, with injected faults. */

/**
 * struct SimStoreFaults - injected faults of the store
 * @down: every call fails with -EAGAIN or, after its timeout, with -ETIMEDOUT
 * @lose_response_per_mille: share of writes that take effect but report -EIO
 * @late_write_per_mille: share of transactions that time out and take effect later
 * @delay_us: added to the latency of every call
 */
typedef struct {
  bool down;
  uint32_t lose_response_per_mille;
  uint32_t late_write_per_mille;
  uint64_t delay_us;
} SimStoreFaults;

/**
 * struct SimStore - simulated store
 * @rows: versioned rows, which transactions change
 * @objects: values that are written without a condition
 * @current_second: second of virtual time that the next two members count
 * @peak_reads_per_s: most reads in one second; callers may reset it
 * @peak_writes_per_s: most writes in one second; callers may reset it
 * @instances: instance list of the platform
 */
struct SimStore {
  Sim *sim;
  SimStoreFaults faults;
  apr_hash_t *rows;
  apr_hash_t *objects;
  uint64_t reads;
  uint64_t writes;
  uint64_t current_second;
  uint64_t reads_this_second;
  uint64_t writes_this_second;
  uint64_t peak_reads_per_s;
  uint64_t peak_writes_per_s;
  uint32_t instance_count;
  BurdockInstance *instances;
};

SimStore *sim_store_new (Sim *sim);
void sim_store_free (SimStore *store);

/**
 * sim_store_call() - performs a call of @node; the result arrives as a later event
 * @for_control: whether the result goes to the control object or to the dispatcher
 *
 * Returns 0.
 */
int sim_store_call (SimNode *node, const BurdockStoreCall *call, bool for_control);

/** sim_store_set_instance() - sets the state of @node in the instance list, after the lag
 * of the list; state 0 removes it */
void sim_store_set_instance (SimStore *store, const SimNode *node,
                             BurdockInstanceState state);

/** sim_store_row() - value of a row as text, or NULL; valid until the next write of the
 * row */
const char *sim_store_row (const SimStore *store, const char *key, uint64_t *version);

#endif
