/**
 * DOC: burdock.h - public interface of the burdockwind library
 *
 * The library takes every decision of the system and performs no I/O. Time, random
 * numbers, sending, store calls, engine calls and answers to callers leave through the
 * callbacks of &BurdockEnv; results come back through the functions below. Nothing here
 * is global: a process can hold any number of objects of any role.
 *
 * Threading: an object is used by one thread at a time. &BurdockControl belongs to the
 * control thread, &BurdockDispatcher and &BurdockExecutor to a traffic thread.
 * &BurdockSnapshot is immutable and may be shared between threads.
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

/** struct BurdockBytes - borrowed byte range, valid during the call that passes it */
typedef struct {
  const uint8_t *data;
  uint32_t length_bytes;
} BurdockBytes;

/**
 * struct BurdockError - error with the place where it arose
 * @code: negative error number
 * @step: step that failed, for example "decode HEARTBEAT"
 * @peer: peer involved, "-" where there is none
 * @detail: what was found and what is allowed
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

/** enum BurdockRan - what is known about the execution of a request */
typedef enum {
  BURDOCK_RAN_YES = 0,     /* ran to its end, answer complete */
  BURDOCK_RAN_NOT_RUN = 1, /* did not run and will not run */
  BURDOCK_RAN_UNKNOWN = 2, /* may have run */
} BurdockRan;

typedef enum {
  BURDOCK_REASON_NONE = 0,
  BURDOCK_REASON_BAD_REQUEST,
  BURDOCK_REASON_NOT_ALLOWED,
  BURDOCK_REASON_NO_UPSTREAM,
  BURDOCK_REASON_OVERLOAD,
  BURDOCK_REASON_LIMIT,
  BURDOCK_REASON_DEADLINE,
  BURDOCK_REASON_LEAVING,
  BURDOCK_REASON_NO_CONFIG,
  BURDOCK_REASON_ISOLATED,
  BURDOCK_REASON_STORE_DOWN,
  BURDOCK_REASON_CLAIMED,
  BURDOCK_REASON_UPSTREAM_FAILED,
  BURDOCK_REASON_CANCELLED,
  BURDOCK_REASON_STALE_GENERATION,
  BURDOCK_REASON_COUNT,
} BurdockReason;

/** burdock_reason_name() - machine-readable name of a refusal reason, never NULL */
const char *burdock_reason_name (BurdockReason reason);

/* Store: table service, object store and instance list of the platform. */

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
 * @if_version: version that the row must have; 0 for a row that must not exist
 */
typedef struct {
  const char *key;
  BurdockBytes value;
  uint64_t if_version;
} BurdockStorePut;

/**
 * struct BurdockStoreCall - request to the platform's store
 * @id: echoed in the result
 * @key: row or object key, unused for transactions and the instance list
 * @value: body of an object put
 * @timeout_ms: after this the environment reports -ETIMEDOUT
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

typedef struct {
  char name[BURDOCK_NAME_BYTES];
  BurdockRole role;
  BurdockAddress control_address;
  BurdockInstanceState state;
} BurdockInstance;

/**
 * struct BurdockStoreResult - answer of the store
 * @status: 0; -ENOENT row or object absent; -EEXIST a version did not match, nothing was
 *   written; -ETIMEDOUT or -EIO the outcome of a write is unknown; -EAGAIN the store
 *   refused the call before any effect
 * @version: version of the row read or written, 0 where absent
 */
typedef struct {
  uint64_t id;
  BurdockStoreOp op;
  int32_t status;
  uint64_t version;
  BurdockBytes value;
  uint32_t instance_count;
  const BurdockInstance *instances;
} BurdockStoreResult;

/* Engine: the local upstream of an agent (model engine or plain service). */

typedef enum {
  BURDOCK_ENGINE_GENERATE = 1, /* stream tokens; events TOKEN..., then DONE or FAILED */
  BURDOCK_ENGINE_CALL,         /* call of a plain service; DONE or FAILED */
  BURDOCK_ENGINE_CANCEL,       /* cancel call @target_id */
  BURDOCK_ENGINE_STATE,        /* read step, map, hold and load; DONE carries the state */
  BURDOCK_ENGINE_MAP_LOAD,     /* load the experts of @map, keep serving the old map */
  BURDOCK_ENGINE_MAP_HOLD,     /* wait at @step for the outcome of @epoch */
  BURDOCK_ENGINE_MAP_RELEASE,  /* outcome of @epoch: use the loaded map or the old one */
  BURDOCK_ENGINE_ORDER,        /* load, unload, change role; @fence */
} BurdockEngineOp;

/**
 * struct BurdockEngineCall - request to the local upstream
 * @idempotent: for CALL, passed on to the service
 * @resume_from: number of tokens that the caller has already; @delivered holds their text
 * @hold_number: for MAP_HOLD, larger than that of any earlier hold; for MAP_RELEASE,
 *   number of the hold that it ends; the engine ignores a release with any other number
 * @commit: for MAP_RELEASE, whether the new map is used from the step held at
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
 * @engine_instance: identity of the engine's present life; changes when the engine
 *   restarts
 * @map_epoch: epoch of the map in use, 0 for the initial map
 * @held_epoch: epoch that the engine has been told to hold for, 0 for none
 * @held_step: step to hold at
 * @held_number: number of the hold in force, 0 for none
 * @step: next step to run
 * @waiting: whether the engine stands at @held_step
 * @joining: whether it was restarted into a running group and takes part in no step yet
 * @map: encoded map in use
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
 * @status: for FAILED a negative error number; -ECONNREFUSED means that nothing reached
 *   the engine; -EAGAIN that it refused the work and did not run it; -EPERM that it
 *   refused an old fencing number; -ESTALE that a hold came after its step
 * @index: index of a token, from @resume_from on
 * @token_count: for DONE of GENERATE, total number of tokens of the answer
 * @body: token text or body of the answer
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
  BURDOCK_DELIVERY_END,       /* the answer is whole; @body for a plain service */
  BURDOCK_DELIVERY_REFUSED,   /* no part of an answer was delivered; see @ran */
  BURDOCK_DELIVERY_BROKEN,    /* the stream ends incomplete; see @ran */
} BurdockDeliveryKind;

typedef struct {
  uint64_t handle;
  BurdockDeliveryKind kind;
  uint32_t index;
  uint32_t token_count;
  BurdockBytes body;
  BurdockReason reason;
  BurdockRan ran;
} BurdockDelivery;

/* Time line. */

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
 * struct BurdockEvent - one entry of the time line
 * @hlc: hybrid logical time, upper 48 bits milliseconds, lower 16 bits counter
 * @step: what was done, for example "attempt sent"
 * @peer: peer involved, "-" where there is none
 * @subject: request key, group, workspace or instance that the event is about
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
  BURDOCK_APPLY_REFUSED_RACE,
  BURDOCK_APPLY_UNKNOWN,
  BURDOCK_APPLY_REFUSED_UNAVAILABLE, /* the store could not be reached; not written */
} BurdockApplyOutcome;

/**
 * struct BurdockApplyResult - outcome of the submission of a configuration
 * @generation: generation accepted, or generation that won the race
 */
typedef struct {
  uint64_t handle;
  BurdockApplyOutcome outcome;
  uint64_t generation;
  char attempt_id[BURDOCK_NAME_BYTES];
  BurdockError error;
} BurdockApplyResult;

/**
 * struct BurdockEnv - everything the library asks of its surroundings
 * @ctx: passed to each callback
 * @now_us: monotonic clock in microseconds
 * @wall_us: wall clock in microseconds since 1970, used for hybrid logical time only
 * @random_u64: random number; a seeded source makes a run repeatable
 * @send: queues a whole frame to a peer; 0, or a negative error number when the frame
 *   was not queued and will not be sent. A later loss is reported by *_peer_lost()
 * @store: starts a store call; the result comes back through *_store_done()
 * @engine: starts an engine call; events come back through *_engine_event(). Agents only
 * @deliver: passes part of an answer to a caller. Dispatcher only
 * @publish: hands a new snapshot to traffic and gives up one reference. Control only
 * @apply_done: reports the outcome of a submitted configuration. Control of an entry only
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
 * @name: instance name, from which the member id is derived
 * @incarnation: number of this process life, larger than that of any earlier life
 * @control_address: address for frames between members
 * @traffic_address: agents: address for attempts; entries: unused
 * @http_address: entries: address for callers and operators
 * @pool: agents: pool of the upstream
 * @group: agents of ranks: rank group, empty otherwise
 * @rank: rank in the group
 * @seeds: control addresses to contact before the instance list is known
 * @key: key of the frame MAC
 * @previous_key: older key that is accepted too, when @has_previous_key
 * @answer_lifetime_ms: how long callers keep the answer of /v1/entries
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

/** burdock_member_id() - stable 64-bit id of an instance name */
uint64_t burdock_member_id (const char *name);

/** burdock_address_format() - writes "a.b.c.d:port"; @text holds at least 24 bytes */
void burdock_address_format (BurdockAddress address, char *text, size_t size_bytes);

/** burdock_address_parse() - reads "a.b.c.d:port"; -EINVAL for anything else */
int burdock_address_parse (const char *text, BurdockAddress *out);

/* Control: the control state of one process. */

BurdockControl *burdock_control_new (const BurdockSettings *settings,
                                     const BurdockEnv *env);
void burdock_control_free (BurdockControl *control);

/** burdock_control_tick() - runs due work; returns the next due time on the now_us clock
 */
uint64_t burdock_control_tick (BurdockControl *control);

/**
 * burdock_control_receive() - handles one frame from a member
 * Returns 0; -EPROTO or -EMSGSIZE for a malformed frame (close the connection); -EACCES
 * for a bad MAC; -ESTALE for a message to another incarnation; -ENOSYS for an unknown
 * type.
 */
int burdock_control_receive (BurdockControl *control, BurdockAddress from,
                             const uint8_t *frame, uint32_t length_bytes);
void burdock_control_store_done (BurdockControl *control,
                                 const BurdockStoreResult *result);
void burdock_control_engine_event (BurdockControl *control,
                                   const BurdockEngineEvent *event);

/** burdock_control_apply() - submits a configuration; outcome through env->apply_done */
int burdock_control_apply (BurdockControl *control, uint64_t handle,
                           const char *operator_name, BurdockBytes body);

/**
 * burdock_control_apply_attempt() - the same under an attempt id chosen by the operator
 * An operator who loses the answer can settle the attempt, as its id is known. A second
 * submission under the same id has no effect and reports the outcome of the first.
 * @attempt_id: 1 to 63 letters, digits and "-", unique to the submission
 * Returns 0, or -EINVAL for an id of another form.
 */
int burdock_control_apply_attempt (BurdockControl *control, uint64_t handle,
                                   const char *operator_name, const char *attempt_id,
                                   BurdockBytes body);

/**
 * burdock_control_settle() - finds out, and if need be decides, an earlier submission
 * An attempt that has not taken effect is blocked, so that it cannot do so later.
 */
int burdock_control_settle (BurdockControl *control, uint64_t handle,
                            const char *attempt_id);

/** burdock_control_leave() - starts a planned stop */
void burdock_control_leave (BurdockControl *control);

/** burdock_control_drained() - whether the process may exit, given @in_flight requests */
bool burdock_control_drained (const BurdockControl *control, uint32_t in_flight);

/**
 * burdock_control_report() - JSON text for operators, to be released with free()
 * @what: "members", "groups", "config", "effective/WORKSPACE/BRANCH", "timeline"
 * Returns NULL for an unknown report.
 */
char *burdock_control_report (BurdockControl *control, const char *what);

/**
 * burdock_snapshot_entries_json() - answer to a caller that asks which entries to use
 * @caller_ipv4: address of the caller, host byte order
 * @failure_domain: failure domain that the caller names, or NULL
 * Returns JSON text to be released with free().
 */
char *burdock_snapshot_entries_json (const BurdockSnapshot *snapshot,
                                     uint32_t caller_ipv4, const char *failure_domain);

BurdockSnapshot *burdock_snapshot_ref (BurdockSnapshot *snapshot);
void burdock_snapshot_unref (BurdockSnapshot *snapshot);

/* Usage: what traffic reports to control. */

#define BURDOCK_USAGE_WORKSPACES 64

/**
 * struct BurdockUsage - figures of one traffic shard
 * @demand: running and waiting requests of the busiest workspaces
 * @running: those of them that run
 * @counters: metrics, indexed by BurdockCounter in counters.h
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

void burdock_control_set_usage (BurdockControl *control, const BurdockUsage *usage);

/* Dispatcher: one traffic shard of an entry. */

/**
 * struct BurdockRequest - request of a caller
 * @handle: chosen by the daemon, echoed in each delivery
 * @service: name of a plain service; empty for a model request
 * @deadline_ms: time the caller allows, from now; 0 for the configured default
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

/** burdock_dispatcher_set_snapshot() - replaces the snapshot; takes over the reference */
void burdock_dispatcher_set_snapshot (BurdockDispatcher *dispatcher,
                                      BurdockSnapshot *snapshot);

/** burdock_dispatcher_submit() - copies the request; every outcome goes to env->deliver
 */
void burdock_dispatcher_submit (BurdockDispatcher *dispatcher,
                                const BurdockRequest *request);

/** burdock_dispatcher_cancel() - the caller went away; no further delivery follows */
void burdock_dispatcher_cancel (BurdockDispatcher *dispatcher, uint64_t handle);
int burdock_dispatcher_receive (BurdockDispatcher *dispatcher, BurdockAddress from,
                                const uint8_t *frame, uint32_t length_bytes);

/**
 * burdock_dispatcher_peer_lost() - the connection to an agent failed or was closed
 * @connected: false if it was never established, so that no frame has reached the peer
 * Frames sent before this call count as sent on that connection; the environment reports
 * a loss before it opens a new connection to the same peer.
 */
void burdock_dispatcher_peer_lost (BurdockDispatcher *dispatcher, BurdockAddress peer,
                                   bool connected);
void burdock_dispatcher_store_done (BurdockDispatcher *dispatcher,
                                    const BurdockStoreResult *result);
uint64_t burdock_dispatcher_tick (BurdockDispatcher *dispatcher);
void burdock_dispatcher_usage (const BurdockDispatcher *dispatcher, BurdockUsage *out);

/** burdock_dispatcher_in_flight() - requests that have not been answered yet */
uint32_t burdock_dispatcher_in_flight (const BurdockDispatcher *dispatcher);

/** burdock_dispatcher_metrics() - metrics in text form, to be released with free() */
char *burdock_dispatcher_metrics (const BurdockDispatcher *dispatcher);

/** burdock_dispatcher_timeline() - time line of this shard as JSON, release with free()
 */
char *burdock_dispatcher_timeline (const BurdockDispatcher *dispatcher);

/* Executor: the traffic half of an agent. */

BurdockExecutor *burdock_executor_new (const BurdockSettings *settings,
                                       const BurdockEnv *env);
void burdock_executor_free (BurdockExecutor *executor);
void burdock_executor_set_snapshot (BurdockExecutor *executor, BurdockSnapshot *snapshot);
int burdock_executor_receive (BurdockExecutor *executor, BurdockAddress from,
                              const uint8_t *frame, uint32_t length_bytes);
void burdock_executor_peer_lost (BurdockExecutor *executor, BurdockAddress peer);
void burdock_executor_engine_event (BurdockExecutor *executor,
                                    const BurdockEngineEvent *event);
uint64_t burdock_executor_tick (BurdockExecutor *executor);
void burdock_executor_usage (const BurdockExecutor *executor, BurdockUsage *out);
uint32_t burdock_executor_in_flight (const BurdockExecutor *executor);
char *burdock_executor_metrics (const BurdockExecutor *executor);
char *burdock_executor_timeline (const BurdockExecutor *executor);

char *burdock_control_metrics (BurdockControl *control);

/* Configuration, also used by burdockctl without a running system. */

/**
 * burdock_config_parse() - reads and checks a franchise file
 * @file: name used in messages
 * Returns 0 and a configuration with one reference, or a negative error number with
 * file, line, key, value and what is allowed in @error.
 */
int burdock_config_parse (const char *file, BurdockBytes text, BurdockConfig **out,
                          BurdockError *error);
BurdockConfig *burdock_config_ref (BurdockConfig *config);
void burdock_config_unref (BurdockConfig *config);

/** burdock_config_diff_json() - what @after changes against @before, branch by branch */
char *burdock_config_diff_json (const BurdockConfig *before, const BurdockConfig *after);

/** burdock_config_effective_json() - settings of one branch and where each came from */
char *burdock_config_effective_json (const BurdockConfig *config, const char *workspace,
                                     const char *branch);

#endif
