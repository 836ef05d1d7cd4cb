/**
 * DOC: traffic-fleet-private.h - state of the simulation of entries and agents
 *
 * traffic-fleet.c has the processes, the faults and the event loop. traffic-fleet-world.c
 * has the environment of the processes: connections, engines, the store and the callers.
 */
#ifndef TRAFFIC_FLEET_PRIVATE_H
#define TRAFFIC_FLEET_PRIVATE_H

#include "traffic-fleet.h"
#include "traffic.h"

#define ENTRIES 3
#define MODEL_AGENTS 3
#define AGENTS 5
#define NODES (ENTRIES + AGENTS)
#define CALLS_MAX 4096
#define EXECUTIONS_MAX 8192
#define ROWS_MAX 4096
#define WRITE_BYTES 512
#define RECENT_MAX 64
#define RECENT_BYTES 1024
#define CALLS_END_US (40 * TRAFFIC_US_PER_S)
#define RUN_END_US (60 * TRAFFIC_US_PER_S)
#define DEADLINE_MS 3000

/* Latest end of a request after its deadline, or after the end of the pause of an entry
 * that was paused at the deadline. The release of a claim may take 1 s. */
#define END_GRACE_US (2 * TRAFFIC_US_PER_S)

/* Time after its leave notice from which an agent must not start executions. */
#define DRAIN_US (3 * TRAFFIC_US_PER_S)

typedef struct Fleet Fleet;

/* Process: an entry if @index is below ENTRIES, otherwise an agent. @epoch is incremented
 * when it stops, so that events for an earlier process can be dropped. */
typedef struct {
  Fleet *fleet;
  uint32_t index;
  uint64_t epoch;
  uint64_t incarnation;
  uint64_t generation;           /* generation of the snapshot in use */
  uint64_t announced_generation; /* newest generation sent to it */
  uint64_t paused_until_us;
  bool leaving;
  uint64_t leave_notice_us; /* when it received the notice; a pause delays it */
  BurdockEnv env;
  BurdockDispatcher *dispatcher;
  BurdockExecutor *executor;
} Node;

/* Request of a caller. @entry_epoch is the epoch of @entry at the submission;
 * @deadline_us is 0 before it. */
typedef struct {
  uint32_t key;
  uint32_t entry;
  uint64_t entry_epoch;
  uint64_t deadline_us;
  bool idempotent;
  bool service;
  bool cancelled;
  uint32_t ends;
  BurdockDeliveryKind kind;
  BurdockRan ran;
  uint32_t next_index;
  uint32_t executions;
} Call;

/* Execution of an attempt at an engine; @index is the index of its next token. */
typedef struct {
  uint32_t agent;
  uint64_t epoch;
  uint64_t id;
  uint32_t call;
  uint32_t index;
  bool service;
  bool over;
} Execution;

/* Row of the store; version 0 is an absent row. */
typedef struct {
  char key[256];
  uint64_t version;
  char value[256];
} Row;

/* Connection from an entry to an agent. @epoch is incremented when it opens and when it
 * breaks, and is odd while it is open. */
typedef struct {
  uint64_t epoch;
  bool broken;         /* lost or refused, and the entry has not been notified yet */
  uint64_t last_us[2]; /* arrival of the last frame at the entry and at the agent */
} Connection;

typedef enum {
  EVENT_FRAME = 1,  /* a frame arrives on its connection */
  EVENT_DUPLICATE,  /* a copy of an earlier frame arrives on any connection */
  EVENT_DISCONNECT, /* a process is notified of a broken connection */
  EVENT_EXECUTION,  /* next token or end of an execution */
  EVENT_ENGINE,     /* the engine reports a refusal or a cancel */
  EVENT_STORE,      /* the result of a store call arrives */
  EVENT_WRITE,      /* a write takes effect at the store */
  EVENT_TICK,
  EVENT_SNAPSHOT,
  EVENT_FAULT,
  EVENT_CALL, /* a request is submitted */
  EVENT_RESTART,
} EventKind;

/* @value depends on @kind: execution; call, or UINT64_MAX to create new ones; expected
 * version of a write; whether the lost connection was established. Events with the same
 * @due_us run by @sequence. */
typedef struct {
  uint64_t due_us;
  uint64_t sequence;
  EventKind kind;
  uint32_t node;
  uint32_t peer;
  uint64_t epoch;
  uint64_t value;
  int status;
  uint32_t length_bytes;
  uint8_t *data;
  BurdockEngineEvent engine;
  BurdockStoreResult result;
} Event;

struct Fleet {
  uint64_t now_us;
  uint64_t random_state;
  FleetDefect defect;
  FleetResult result;
  uint64_t sequence;
  uint32_t event_count;
  uint32_t event_allocated;
  Event *events;
  Node nodes[NODES];
  Connection connections[ENTRIES][AGENTS];
  uint64_t generation;
  uint64_t next_incarnation;
  uint64_t store_down_until_us;
  uint64_t attempt_generation; /* of the last attempt frame handled */
  uint32_t key_count;
  uint32_t key_executions[CALLS_MAX];
  uint32_t key_call[CALLS_MAX]; /* call that was the last to be executed for the key */
  uint32_t call_count;
  Call calls[CALLS_MAX];
  uint32_t execution_count;
  Execution executions[EXECUTIONS_MAX];
  uint32_t row_count;
  Row rows[ROWS_MAX];
  uint32_t recent_count;
  Event recent[RECENT_MAX];
  uint8_t recent_data[RECENT_MAX][RECENT_BYTES];
};

/** fleet_next_random() - next number of the seeded SplitMix64 generator */
uint64_t fleet_next_random (Fleet *fleet);

/** fleet_random_below() - random number from 0 to @limit - 1 */
uint64_t fleet_random_below (Fleet *fleet, uint64_t limit);

/** fleet_chance() - true with a probability of @per_mille thousandths */
bool fleet_chance (Fleet *fleet, uint32_t per_mille);

/** fleet_record_violation() - counts a violation; the first of a rule is printed */
void fleet_record_violation (Fleet *fleet, FleetRule rule, const char *what,
                             uint64_t subject);

/** fleet_schedule() - queues @event, which owns its data */
void fleet_schedule (Fleet *fleet, Event event);

/** fleet_schedule_node() - queues an event of the current epoch of @node */
void fleet_schedule_node (Fleet *fleet, EventKind kind, const Node *node,
                          uint64_t delay_us);

/* Callbacks of the environment of a process. */
int fleet_send_frame (void *ctx, BurdockAddress to, const uint8_t *frame,
                      uint32_t length_bytes);
int fleet_call_engine (void *ctx, const BurdockEngineCall *call);
int fleet_call_store (void *ctx, const BurdockStoreCall *call);
void fleet_deliver (void *ctx, const BurdockDelivery *delivery);

/** fleet_break_connection() - breaks an open connection and notifies both ends later */
void fleet_break_connection (Fleet *fleet, uint32_t entry, uint32_t agent);

/* Event handlers. */
void fleet_handle_frame (Fleet *fleet, const Event *event);
void fleet_handle_disconnect (Fleet *fleet, const Event *event);
void fleet_handle_execution (Fleet *fleet, const Event *event);
void fleet_handle_store (Fleet *fleet, const Event *event);
void fleet_handle_write (Fleet *fleet, const Event *event);
void fleet_handle_call (Fleet *fleet, const Event *event);
void fleet_handle_new_calls (Fleet *fleet);

#endif
