/**
 * DOC: burdock.h - public interface of the burdockwind library
 *
 * The library makes all decisions of the system and performs no I/O. It obtains the time
 * and random numbers, sends frames, starts store and engine calls and answers callers
 * through the callbacks of &BurdockEnv; the environment reports results through the
 * functions below. There is no global state: a process can hold any number of objects of
 * any role.
 *
 * Threading: an object is used by one thread at a time. &BurdockControl belongs to the
 * control thread, &BurdockDispatcher and &BurdockExecutor to a traffic thread.
 * &BurdockSnapshot is immutable and may be shared between threads.
 *
 * Terms: an entry accepts requests of callers, an agent runs beside one upstream (a model
 * engine or a plain service), an attempt is one send of a request to an agent. A rank
 * group is a set of engines that execute a model together in steps, with the experts of
 * the model distributed over the ranks by a map.
 *
 * Functions that return int return 0 or a negative error number.
 */
#ifndef BURDOCK_H
#define BURDOCK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define BURDOCK_NAME_BYTES 64
#define BURDOCK_KEY_BYTES 32
#define BURDOCK_REQUEST_KEY_BYTES 128
#define BURDOCK_FRAME_MAX_BYTES (1u << 20)

typedef struct BurdockControl BurdockControl;
typedef struct BurdockSnapshot BurdockSnapshot;
typedef struct BurdockDispatcher BurdockDispatcher;
typedef struct BurdockExecutor BurdockExecutor;
typedef struct BurdockConfig BurdockConfig;
typedef struct BurdockTimeline BurdockTimeline;

/** struct BurdockAddress - IPv4 address and port, both in host byte order */
typedef struct {
  uint32_t ipv4;
  uint16_t port;
} BurdockAddress;

/** struct BurdockBytes - borrowed bytes, valid only during the call that passes them */
typedef struct {
  const uint8_t *data;
  uint32_t length_bytes;
} BurdockBytes;

/**
 * struct BurdockError - error with the operation and the peer that it concerns
 * @code: negative error number
 * @step: operation that failed, for example "decode body"
 * @peer: address of the peer involved, "-" where there is none
 * @detail: value found and values allowed
 */
typedef struct {
  int32_t code;
  char step[BURDOCK_NAME_BYTES];
  char peer[BURDOCK_NAME_BYTES];
  char detail[256];
} BurdockError;

typedef enum {
  BURDOCK_ROLE_ENTRY = 1,
  BURDOCK_ROLE_AGENT = 2,
  BURDOCK_ROLE_GATEWAY = 3,
  BURDOCK_ROLE_RANK_AGENT = 4,
} BurdockRole;

typedef enum {
  BURDOCK_PRIORITY_LOW = 0,
  BURDOCK_PRIORITY_NORMAL = 1,
  BURDOCK_PRIORITY_HIGH = 2,
  BURDOCK_PRIORITY_COUNT,
} BurdockPriority;

/** enum BurdockRan - whether a request was executed, as far as is known */
typedef enum {
  BURDOCK_RAN_YES = 0,     /* executed to the end, answer complete */
  BURDOCK_RAN_NOT_RUN = 1, /* not executed and never will be */
  BURDOCK_RAN_UNKNOWN = 2, /* may have been executed */
} BurdockRan;

/** enum BurdockReason - why a request or an attempt was refused */
typedef enum {
  BURDOCK_REASON_NONE = 0,
  BURDOCK_REASON_BAD_REQUEST,
  BURDOCK_REASON_NOT_ALLOWED, /* the branch is unknown or not granted the model/service */
  BURDOCK_REASON_NO_UPSTREAM,
  BURDOCK_REASON_OVERLOAD,
  BURDOCK_REASON_LIMIT,
  BURDOCK_REASON_DEADLINE, /* passed, or too close for the request to be answered */
  BURDOCK_REASON_LEAVING,  /* the process that got the request is shutting down */
  BURDOCK_REASON_NO_CONFIG,
  BURDOCK_REASON_ISOLATED, /* cut off from the fleet, configuration may be outdated */
  BURDOCK_REASON_STORE_DOWN,
  BURDOCK_REASON_CLAIMED, /* another request with this key has claimed its execution */
  BURDOCK_REASON_UPSTREAM_FAILED,
  BURDOCK_REASON_CANCELLED,
  BURDOCK_REASON_STALE_GENERATION, /* sender's configuration is older than the agent's */
  BURDOCK_REASON_QUARANTINED,      /* a part of the prompt crashes upstreams */
  BURDOCK_REASON_PRIORITY,         /* more urgent requests need the room */
  BURDOCK_REASON_COUNT,
} BurdockReason;

/** burdock_reason_name() - machine-readable name of a refusal reason, never NULL */
const char *burdock_reason_name (BurdockReason reason);

/* Store: the platform's table service, object store and instance list. */

typedef enum {
  BURDOCK_STORE_ROW_GET = 1,   /* read a row of the table */
  BURDOCK_STORE_ROW_PUT_IF,    /* transaction of conditional writes */
  BURDOCK_STORE_OBJECT_GET,    /* read an object */
  BURDOCK_STORE_OBJECT_PUT,    /* write an object; idempotent, as its key is its hash */
  BURDOCK_STORE_INSTANCE_LIST, /* read the platform's list of instances */
} BurdockStoreOp;

#define BURDOCK_STORE_PUTS_MAX 16

/**
 * struct BurdockStorePut - one conditional write of a transaction
 * @if_version: version that the row must have; 0 if the row must not exist
 */
typedef struct {
  const char *key;
  BurdockBytes value;
  uint64_t if_version;
} BurdockStorePut;

/**
 * struct BurdockStoreCall - request to the platform's store
 * @id: chosen by the library, echoed in the result
 * @key: row or object key; NULL for transactions and the instance list
 * @value: for OBJECT_PUT, content of the object
 * @put_count: for ROW_PUT_IF, number of @puts
 * @timeout_ms: time after which the environment reports -ETIMEDOUT
 */
typedef struct {
  uint64_t id;
  BurdockStoreOp op;
  const char *key;
  BurdockBytes value;
  uint32_t put_count;
  BurdockStorePut puts[BURDOCK_STORE_PUTS_MAX];
  uint32_t timeout_ms;
} BurdockStoreCall;

typedef enum {
  BURDOCK_INSTANCE_LIVE = 1,
  BURDOCK_INSTANCE_LEAVING = 2,
} BurdockInstanceState;

/** struct BurdockInstance - one instance in the platform's instance list */
typedef struct {
  char name[BURDOCK_NAME_BYTES];
  BurdockRole role;
  BurdockAddress control_address;
  BurdockInstanceState state;
} BurdockInstance;

/**
 * struct BurdockStoreResult - answer of the store
 * @id: id of the call
 * @status: 0; -ENOENT if the row or object does not exist; -EEXIST if a version did not
 *   match and nothing was written; -ETIMEDOUT or -EIO if the outcome of a write is
 *   unknown; -EAGAIN if the store refused the call before it had any effect
 * @era: era of the store, which rises when the store returns from a copy and may give
 *   versions out again; 0 if the store names none
 * @version: version of the row read or written, 0 if there is no row
 * @value: content of the row or object read
 * @instances: for INSTANCE_LIST, borrowed for the duration of the call
 */
typedef struct {
  uint64_t id;
  BurdockStoreOp op;
  int32_t status;
  uint64_t era;
  uint64_t version;
  BurdockBytes value;
  uint32_t instance_count;
  const BurdockInstance *instances;
} BurdockStoreResult;

/* Engine: the local upstream of an agent (model engine or plain service). */

typedef enum {
  BURDOCK_ENGINE_GENERATE = 1, /* stream tokens; events TOKEN..., then DONE or FAILED */
  BURDOCK_ENGINE_CALL,         /* call of a plain service; DONE or FAILED */
  BURDOCK_ENGINE_CANCEL,       /* cancel the call with id @target_id */
  BURDOCK_ENGINE_STATE,        /* read step, map, hold and load; DONE carries the state */
  BURDOCK_ENGINE_MAP_LOAD,     /* load the experts of @map, keep serving the old map */
  BURDOCK_ENGINE_MAP_HOLD,     /* pause before @step until @epoch is decided */
  BURDOCK_ENGINE_MAP_RELEASE,  /* outcome of @epoch: continue with the new or old map */
  BURDOCK_ENGINE_ORDER,        /* load, unload or change role, guarded by @fence */
} BurdockEngineOp;

/**
 * struct BurdockEngineCall - request to the local upstream
 * @id: chosen by the library, echoed in each event
 * @target_id: for CANCEL, id of the call to cancel
 * @key: request key of the caller
 * @idempotent: for CALL, passed on to the service
 * @resume_from: number of tokens that the caller already has; @delivered is their text
 * @body: prompt, request of a plain service, or argument of an order
 * @epoch: epoch of the map switch
 * @hold_number: for MAP_HOLD, larger than that of any earlier hold; for MAP_RELEASE,
 *   number of the hold that it ends; the engine ignores a release with any other number
 * @fence: fencing token; the engine refuses one that is older than one it has seen
 * @commit: for MAP_RELEASE, whether the new map is used from the held step on
 * @order_name: for ORDER, "load", "unload" or "role"; the argument is in @body
 */
typedef struct {
  uint64_t id;
  BurdockEngineOp op;
  uint64_t target_id;
  char key[BURDOCK_REQUEST_KEY_BYTES];
  char workspace[BURDOCK_NAME_BYTES];
  char model[BURDOCK_NAME_BYTES];
  char adapter[BURDOCK_NAME_BYTES];
  char version[BURDOCK_NAME_BYTES];
  BurdockPriority priority;
  bool idempotent;
  uint32_t resume_from;
  BurdockBytes body;
  BurdockBytes delivered;
  uint64_t epoch;
  uint64_t step;
  uint64_t hold_number;
  uint64_t fence;
  bool commit;
  BurdockBytes map;
  char order_name[BURDOCK_NAME_BYTES];
  uint32_t timeout_ms;
} BurdockEngineCall;

typedef enum {
  BURDOCK_ENGINE_EVENT_TOKEN = 1,
  BURDOCK_ENGINE_EVENT_DONE,
  BURDOCK_ENGINE_EVENT_FAILED,
} BurdockEngineEventKind;

/**
 * struct BurdockEngineState - state of a rank's engine
 * @engine_instance: identity of the running engine process; changes at each restart
 * @map_epoch: epoch of the map in use, 0 for the initial map
 * @held_epoch: epoch whose outcome the hold in force waits for, 0 for none
 * @held_step: step before which the engine pauses
 * @held_number: number of the hold in force, 0 for none
 * @step: next step to run
 * @waiting: whether the engine is paused before @held_step
 * @joining: whether it was restarted into a running group and takes part in no step yet
 * @running: requests that the engine runs
 * @queued: requests that wait in the engine
 * @capacity: requests that the engine can run at a time
 * @step_time_us: duration of a step
 * @map: encoded map in use
 * @slot_count: number of @expert_tokens
 * @expert_tokens: tokens per hosted slot since the last read, layer by layer
 */
typedef struct {
  uint64_t engine_instance;
  uint64_t map_epoch;
  uint64_t held_epoch;
  uint64_t held_step;
  uint64_t held_number;
  uint64_t step;
  bool waiting;
  bool joining;
  uint32_t running;
  uint32_t queued;
  uint32_t capacity;
  uint32_t step_time_us;
  BurdockBytes map;
  uint32_t slot_count;
  const uint32_t *expert_tokens;
} BurdockEngineState;

/**
 * struct BurdockEngineEvent - progress of an engine call
 * @id: id of the call
 * @status: for FAILED a negative error number; -ECONNREFUSED if nothing reached the
 *   engine; -EAGAIN if the engine refused the work and did not run it; -EPERM if it
 *   refused an outdated fencing token; -ESTALE if a hold arrived after its step
 * @index: for TOKEN, position in the answer; the first is @resume_from of the call
 * @token_count: for DONE of GENERATE, total number of tokens of the answer
 * @body: text of the token or body of the answer
 * @state: for DONE of STATE, otherwise NULL
 */
typedef struct {
  uint64_t id;
  BurdockEngineOp op;
  BurdockEngineEventKind kind;
  int32_t status;
  uint32_t index;
  uint32_t token_count;
  BurdockBytes body;
  const BurdockEngineState *state;
} BurdockEngineEvent;

/* Answers to callers. */

typedef enum {
  BURDOCK_DELIVERY_TOKEN = 1, /* next token of a stream */
  BURDOCK_DELIVERY_END,       /* the answer is complete; @body for a plain service */
  BURDOCK_DELIVERY_REFUSED,   /* nothing of an answer was delivered; see @ran */
  BURDOCK_DELIVERY_BROKEN,    /* the stream ends incomplete; see @ran */
} BurdockDeliveryKind;

/**
 * struct BurdockDelivery - part or end of the answer to a caller
 * @handle: handle of the request
 * @index: for TOKEN, position of the token in the answer
 * @token_count: for END, number of tokens of the answer
 * @body: text of the token or body of the answer, borrowed
 * @reason: for REFUSED and BROKEN
 * @ran: for REFUSED and BROKEN, whether the request was executed
 */
typedef struct {
  uint64_t handle;
  BurdockDeliveryKind kind;
  uint32_t index;
  uint32_t token_count;
  BurdockBytes body;
  BurdockReason reason;
  BurdockRan ran;
} BurdockDelivery;

/* Timeline: the bounded event log of one object. */

typedef enum {
  BURDOCK_EVENT_DECISION = 1,
  BURDOCK_EVENT_ORDER,
  BURDOCK_EVENT_LEASE,
  BURDOCK_EVENT_GENERATION,
  BURDOCK_EVENT_MAP_SWITCH,
  BURDOCK_EVENT_REFUSAL,
  BURDOCK_EVENT_RETRY,
  BURDOCK_EVENT_DRAIN,
  BURDOCK_EVENT_MEMBER,
  BURDOCK_EVENT_FAULT,
  BURDOCK_EVENT_COUNT,
} BurdockEventKind;

/**
 * struct BurdockEvent - one event of the timeline
 * @hlc: hybrid logical time, upper 48 bits milliseconds since 1970, lower 16 bits counter
 * @step: operation or state change, for example "attempt sent"
 * @peer: address of the peer involved, "-" where there is none
 * @subject: request key, group, workspace or instance that the event concerns
 */
typedef struct {
  uint64_t hlc;
  uint64_t sequence;
  BurdockEventKind kind;
  char step[BURDOCK_NAME_BYTES];
  char peer[BURDOCK_NAME_BYTES];
  char subject[BURDOCK_REQUEST_KEY_BYTES];
  char detail[128];
} BurdockEvent;

/** burdock_event_kind_name() - machine-readable name of an event kind, never NULL */
const char *burdock_event_kind_name (BurdockEventKind kind);

typedef enum {
  BURDOCK_LOG_DEBUG = 1,
  BURDOCK_LOG_INFO,
  BURDOCK_LOG_WARNING,
  BURDOCK_LOG_ERROR,
} BurdockLogLevel;

typedef enum {
  BURDOCK_APPLY_ACCEPTED = 1,
  BURDOCK_APPLY_REFUSED_INVALID,
  BURDOCK_APPLY_REFUSED_RACE, /* another one took effect first, or this one was settled */
  BURDOCK_APPLY_UNKNOWN,      /* the store did not confirm; settle the attempt */
  BURDOCK_APPLY_REFUSED_UNAVAILABLE, /* the store could not be reached; not written */
} BurdockApplyOutcome;

/**
 * struct BurdockApplyResult - outcome of the submission of a configuration
 * @handle: handle passed by the caller
 * @generation: generation accepted, or the one that was accepted instead of it
 * @attempt_id: id under which the submission can be settled, "-" if it has none
 * @error: cause, where the configuration was not accepted
 */
typedef struct {
  uint64_t handle;
  BurdockApplyOutcome outcome;
  uint64_t generation;
  char attempt_id[BURDOCK_NAME_BYTES];
  BurdockError error;
} BurdockApplyResult;

/**
 * struct BurdockEnv - callbacks that the environment provides to the library
 * @ctx: passed to each callback
 * @now_us: monotonic clock in microseconds
 * @wall_us: wall clock in microseconds since 1970, used for hybrid logical time only
 * @random_u64: random number; a seeded source makes a run reproducible
 * @send: queues one complete frame for a peer; returns 0, or a negative error number if
 *   the frame was not queued and will not be sent. A later loss of the connection is
 *   reported through *_peer_lost()
 * @store: starts a store call; returns 0 or a negative error number. The result is
 *   reported through *_store_done()
 * @engine: starts an engine call; returns 0 or a negative error number. Events are
 *   reported through *_engine_event(). Agents only
 * @deliver: passes part of an answer to a caller. Dispatcher only
 * @publish: passes a new snapshot to the traffic threads and transfers one reference.
 *   Control only
 * @apply_done: reports the outcome of a submitted configuration; may be NULL. Control of
 *   an entry only
 * @log: writes a log record; may be NULL
 */
typedef struct {
  void *ctx;
  uint64_t (*now_us) (void *ctx);
  uint64_t (*wall_us) (void *ctx);
  uint64_t (*random_u64) (void *ctx);
  int (*send) (void *ctx, BurdockAddress to, const uint8_t *frame, uint32_t length_bytes);
  int (*store) (void *ctx, const BurdockStoreCall *call);
  int (*engine) (void *ctx, const BurdockEngineCall *call);
  void (*deliver) (void *ctx, const BurdockDelivery *delivery);
  void (*publish) (void *ctx, BurdockSnapshot *snapshot);
  void (*apply_done) (void *ctx, const BurdockApplyResult *result);
  void (*log) (void *ctx, BurdockLogLevel level, const BurdockEvent *event);
} BurdockEnv;

/**
 * struct BurdockSettings - settings of one process
 * @name: instance name, unique in the fleet; the member id is derived from it
 * @incarnation: number of this run of the process, larger than that of any earlier run
 * @control_address: address for frames between members
 * @traffic_address: agents: address for attempts; entries: unused
 * @http_address: entries: address for callers and operators; gateways: for callers
 * @pool: agents: pool of the upstream
 * @group: agents of ranks: rank group, empty otherwise
 * @rank: rank in the group
 * @capacity: agents: requests that the upstream runs at a time
 * @seeds: control addresses to contact before the instance list is known
 * @key: key of the frame MAC, when @has_key
 * @previous_key: older key that is accepted too, when @has_previous_key
 * @answer_lifetime_ms: entries: time for which callers may keep an answer of /v1/entries
 * @stop_limit_ms: longest time that a planned stop waits for running requests
 */
typedef struct {
  char name[BURDOCK_NAME_BYTES];
  uint64_t incarnation;
  BurdockRole role;
  char failure_domain[BURDOCK_NAME_BYTES];
  BurdockAddress control_address;
  BurdockAddress traffic_address;
  BurdockAddress http_address;
  char pool[BURDOCK_NAME_BYTES];
  char group[BURDOCK_NAME_BYTES];
  uint32_t rank;
  uint32_t capacity;
  uint32_t seed_count;
  BurdockAddress seeds[16];
  uint8_t key[BURDOCK_KEY_BYTES];
  uint8_t previous_key[BURDOCK_KEY_BYTES];
  bool has_key;
  bool has_previous_key;
  uint32_t answer_lifetime_ms;
  uint32_t stop_limit_ms;
} BurdockSettings;

/** burdock_member_id() - stable 64-bit id, a hash of the instance name */
uint64_t burdock_member_id (const char *name);

/** burdock_address_format() - writes "a.b.c.d:port"; @text holds at least 24 bytes */
void burdock_address_format (BurdockAddress address, char *text, size_t size_bytes);

/** burdock_address_parse() - reads "a.b.c.d:port"; -EINVAL for anything else */
int burdock_address_parse (const char *text, BurdockAddress *out);

/** burdock_address_is_host() - whether a process can connect to it: false for port 0 and
 * for an address that names no single host. Settings may bind to such an address. */
bool burdock_address_is_host (BurdockAddress address);

/* Control: membership, configuration and coordination of one process. */

/** burdock_control_new() - copies @settings and @env; free with burdock_control_free() */
BurdockControl *burdock_control_new (const BurdockSettings *settings,
                                     const BurdockEnv *env);
void burdock_control_free (BurdockControl *control);

/** burdock_control_tick() - runs due work; returns the next due time by env->now_us */
uint64_t burdock_control_tick (BurdockControl *control);

/**
 * burdock_control_receive() - handles one frame from a member
 * Returns 0; -EPROTO or -EMSGSIZE for a malformed frame (close the connection); -EACCES
 * for a bad MAC; -ESTALE for a message to another incarnation or from this process
 * itself; -ENOSYS for an unknown type.
 */
int burdock_control_receive (BurdockControl *control, BurdockAddress from,
                             const uint8_t *frame, uint32_t length_bytes);

/** burdock_control_store_done() - reports the result of a call started by env->store */
void burdock_control_store_done (BurdockControl *control,
                                 const BurdockStoreResult *result);

/** burdock_control_engine_event() - reports progress of a call started by env->engine */
void burdock_control_engine_event (BurdockControl *control,
                                   const BurdockEngineEvent *event);

/**
 * burdock_control_apply() - submits a configuration under a generated attempt id
 * @handle: chosen by the caller, echoed in the result
 * @body: text of the configuration file; copied
 * Returns 0, then the outcome is passed to env->apply_done, possibly during this call;
 * -ENOTSUP if the process is not an entry.
 */
int burdock_control_apply (BurdockControl *control, uint64_t handle,
                           const char *operator_name, BurdockBytes body);

/**
 * burdock_control_apply_attempt() - the same under an attempt id chosen by the operator
 * An operator who does not receive the answer can settle the attempt, as its id is known.
 * A second submission under the same id has no effect and reports the outcome of the
 * first.
 * @attempt_id: 1 to 63 letters, digits and "-", unique to the submission
 * Returns 0, -EINVAL for an id of another form, or -ENOTSUP.
 */
int burdock_control_apply_attempt (BurdockControl *control, uint64_t handle,
                                   const char *operator_name, const char *attempt_id,
                                   BurdockBytes body);

/**
 * burdock_control_settle() - makes the outcome of an earlier submission final
 * An attempt that has not taken effect is recorded as void, so that it cannot take effect
 * later. The outcome is passed to env->apply_done, possibly during this call.
 * Returns 0, -EINVAL for a malformed id, or -ENOTSUP if the process is not an entry.
 */
int burdock_control_settle (BurdockControl *control, uint64_t handle,
                            const char *attempt_id);

/** burdock_control_leave() - announces that the process leaves and starts to drain it */
void burdock_control_leave (BurdockControl *control);

/**
 * burdock_control_drained() - whether a process that leaves may exit
 * @in_flight: requests that its traffic threads have not finished
 */
bool burdock_control_drained (const BurdockControl *control, uint32_t in_flight);

/**
 * burdock_control_report() - JSON text for operators, to be released with free()
 * @what: "members", "groups", "config", "effective/WORKSPACE/BRANCH", "timeline"
 * Returns NULL for an unknown report.
 */
char *burdock_control_report (BurdockControl *control, const char *what);

/**
 * burdock_snapshot_entries_json() - answer to a caller that looks up which entries to use
 * @caller_ipv4: address of the caller, host byte order
 * @failure_domain: failure domain that the caller prefers, or NULL
 * Returns JSON text to be released with free().
 */
char *burdock_snapshot_entries_json (const BurdockSnapshot *snapshot,
                                     uint32_t caller_ipv4, const char *failure_domain);

/** burdock_snapshot_ref() - takes a further reference; returns @snapshot */
BurdockSnapshot *burdock_snapshot_ref (BurdockSnapshot *snapshot);

/** burdock_snapshot_unref() - drops a reference, the last one frees; NULL is allowed */
void burdock_snapshot_unref (BurdockSnapshot *snapshot);

/* Usage: load figures that the traffic threads pass to the control thread. */

#define BURDOCK_USAGE_WORKSPACES 64

/**
 * struct BurdockUsage - load of one traffic shard
 * @running: requests that run
 * @queued: requests that wait
 * @workspaces: the busiest workspaces; @demand is the number of running and waiting
 *   requests, @running that of the running ones
 */
typedef struct {
  uint32_t running;
  uint32_t queued;
  uint32_t workspace_count;
  struct {
    char workspace[BURDOCK_NAME_BYTES];
    uint32_t demand;
    uint32_t running;
  } workspaces[BURDOCK_USAGE_WORKSPACES];
} BurdockUsage;

/** burdock_control_set_usage() - replaces the load figures of the process */
void burdock_control_set_usage (BurdockControl *control, const BurdockUsage *usage);

/* Dispatcher: one traffic shard of an entry. */

/**
 * struct BurdockRequest - request of a caller
 * @handle: chosen by the daemon, echoed in each delivery
 * @key: request key chosen by the caller; not empty
 * @branch: branch of the workspace, whose settings apply
 * @service: name of a plain service; empty for a model request
 * @priority: used if @has_priority, otherwise the configured one
 * @idempotent: whether the request may be executed more than once
 * @deadline_ms: time that the caller allows from now on; 0 for the configured default
 */
typedef struct {
  uint64_t handle;
  char key[BURDOCK_REQUEST_KEY_BYTES];
  char workspace[BURDOCK_NAME_BYTES];
  char branch[BURDOCK_NAME_BYTES];
  char service[BURDOCK_NAME_BYTES];
  char model[BURDOCK_NAME_BYTES];
  char adapter[BURDOCK_NAME_BYTES];
  char version[BURDOCK_NAME_BYTES];
  BurdockPriority priority;
  bool has_priority;
  bool idempotent;
  uint32_t deadline_ms;
  BurdockBytes body;
} BurdockRequest;

BurdockDispatcher *burdock_dispatcher_new (const BurdockSettings *settings,
                                           const BurdockEnv *env);
void burdock_dispatcher_free (BurdockDispatcher *dispatcher);

/** burdock_dispatcher_set_snapshot() - replaces the snapshot and takes its reference */
void burdock_dispatcher_set_snapshot (BurdockDispatcher *dispatcher,
                                      BurdockSnapshot *snapshot);

/** burdock_dispatcher_submit() - copies the request; reports through env->deliver only */
void burdock_dispatcher_submit (BurdockDispatcher *dispatcher,
                                const BurdockRequest *request);

/**
 * burdock_dispatcher_begin_stop() - begins a planned stop
 * @end_us: time at which burdock_dispatcher_give_up() follows, by env->now_us
 * From now on, requests whose deadline is after the end are refused as not run.
 */
void burdock_dispatcher_begin_stop (BurdockDispatcher *dispatcher, uint64_t end_us);

/**
 * burdock_dispatcher_give_up() - ends all open requests at the end of a planned stop
 * A request that has not run is refused as not run, once its claim is released or after
 * 500 ms; any other one ends as unknown. Requests from now on are refused as not run.
 */
void burdock_dispatcher_give_up (BurdockDispatcher *dispatcher);

/** burdock_dispatcher_cancel() - the caller disconnected; no further delivery follows */
void burdock_dispatcher_cancel (BurdockDispatcher *dispatcher, uint64_t handle);

/**
 * burdock_dispatcher_receive() - handles one frame from an agent
 * Returns 0 or an error of burdock_control_receive().
 */
int burdock_dispatcher_receive (BurdockDispatcher *dispatcher, BurdockAddress from,
                                const uint8_t *frame, uint32_t length_bytes);

/**
 * burdock_dispatcher_peer_lost() - the connection to an agent failed or was closed
 * @connected: false if it was never established, so that no frame has reached the peer
 * Frames sent before this call count as sent on that connection; the environment must
 * report a loss before it opens a new connection to the same peer.
 */
void burdock_dispatcher_peer_lost (BurdockDispatcher *dispatcher, BurdockAddress peer,
                                   bool connected);

/** burdock_dispatcher_store_done() - as burdock_control_store_done() */
void burdock_dispatcher_store_done (BurdockDispatcher *dispatcher,
                                    const BurdockStoreResult *result);

/** burdock_dispatcher_tick() - runs due work; returns the next due time by env->now_us */
uint64_t burdock_dispatcher_tick (BurdockDispatcher *dispatcher);

/** burdock_dispatcher_usage() - writes the load of this shard to @out */
void burdock_dispatcher_usage (const BurdockDispatcher *dispatcher, BurdockUsage *out);

/** burdock_dispatcher_in_flight() - number of requests that have not been answered yet */
uint32_t burdock_dispatcher_in_flight (const BurdockDispatcher *dispatcher);

/** burdock_dispatcher_metrics() - metrics in text form, to be released with free() */
char *burdock_dispatcher_metrics (const BurdockDispatcher *dispatcher);

/** burdock_dispatcher_timeline() - timeline as JSON, to be released with free() */
char *burdock_dispatcher_timeline (const BurdockDispatcher *dispatcher);

/* Executor: the traffic half of an agent. Functions without a comment correspond to those
 * of the dispatcher. */

BurdockExecutor *burdock_executor_new (const BurdockSettings *settings,
                                       const BurdockEnv *env);
void burdock_executor_free (BurdockExecutor *executor);
void burdock_executor_set_snapshot (BurdockExecutor *executor, BurdockSnapshot *snapshot);

/**
 * burdock_executor_begin_stop() - begins a planned stop
 * @end_us: time at which burdock_executor_give_up() follows, by env->now_us
 * From now on, attempts whose deadline is after the end are refused.
 */
void burdock_executor_begin_stop (BurdockExecutor *executor, uint64_t end_us);

/**
 * burdock_executor_give_up() - ends all attempts at the end of a planned stop
 * They are cancelled at the engine, and the entries get the outcome when the engine
 * confirms it, or "unknown" after 250 ms. Attempts from now on are refused.
 */
void burdock_executor_give_up (BurdockExecutor *executor);

/** burdock_executor_receive() - handles one frame from an entry; errors as above */
int burdock_executor_receive (BurdockExecutor *executor, BurdockAddress from,
                              const uint8_t *frame, uint32_t length_bytes);

/**
 * burdock_executor_peer_lost() - the connection to an entry failed or was closed
 * Idempotent attempts of the entry are cancelled; others run to their end, as they must
 * not be repeated, and their outcome is kept.
 */
void burdock_executor_peer_lost (BurdockExecutor *executor, BurdockAddress peer);

/** burdock_executor_engine_event() - reports progress of a call started by env->engine */
void burdock_executor_engine_event (BurdockExecutor *executor,
                                    const BurdockEngineEvent *event);
uint64_t burdock_executor_tick (BurdockExecutor *executor);
void burdock_executor_usage (const BurdockExecutor *executor, BurdockUsage *out);

/** burdock_executor_in_flight() - number of attempts that have not ended */
uint32_t burdock_executor_in_flight (const BurdockExecutor *executor);
char *burdock_executor_metrics (const BurdockExecutor *executor);
char *burdock_executor_timeline (const BurdockExecutor *executor);

/** burdock_control_metrics() - metrics in text form, to be released with free() */
char *burdock_control_metrics (BurdockControl *control);

/* Configuration, also used by burdockctl without a running system. */

/**
 * burdock_config_parse() - parses and validates a configuration file
 * @file: file name for error messages
 * @out: receives a configuration with one reference, or NULL
 * Returns 0, or a negative error number with file, line, key, value and the values
 * allowed in @error.
 */
int burdock_config_parse (const char *file, BurdockBytes text, BurdockConfig **out,
                          BurdockError *error);
BurdockConfig *burdock_config_ref (BurdockConfig *config);
void burdock_config_unref (BurdockConfig *config);

/** burdock_config_diff_json() - changes from @before to @after, branch by branch; to be
 * released with free() */
char *burdock_config_diff_json (const BurdockConfig *before, const BurdockConfig *after);

/** burdock_config_effective_json() - settings of one branch and the level that each comes
 * from; to be released with free() */
char *burdock_config_effective_json (const BurdockConfig *config, const char *workspace,
                                     const char *branch);

#endif
