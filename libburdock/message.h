/**
 * DOC: message.h - messages between the processes of the system
 *
 * A frame is a 4-byte big-endian length prefix, a msgpack array and, if a key is
 * configured, a MAC of BURDOCK_MAC_BYTES over the array. The prefix counts the bytes that
 * follow it. The array is [version, type, hlc, sender id, sender incarnation, target
 * incarnation, body fields...]. The field tables in message-fields.c describe the body
 * for encoder and decoder, so a new message takes a struct here and a table there.
 *
 * Decoded byte ranges point into the frame and are valid as long as it is.
 */
#ifndef BURDOCK_MESSAGE_H
#define BURDOCK_MESSAGE_H

#include "burdock.h"

#define BURDOCK_MESSAGE_VERSION 1
#define BURDOCK_MAC_BYTES 32
#define BURDOCK_LENGTH_PREFIX_BYTES 4

/* Bounds the size of a heartbeat, and with it the control traffic of a process while many
 * members change state. */
#define BURDOCK_HEARTBEAT_UPDATES_MAX 8
#define BURDOCK_MEMBER_PAGE_MAX 64
#define BURDOCK_LIMIT_ITEMS_MAX 32

/* Fleets are designed for 600 upstreams; the rest is for upstreams that are being
 * replaced. */
#define BURDOCK_LOAD_ITEMS_MAX 1024

/* A larger group learns of its ranks from several rosters. */
#define BURDOCK_ROSTER_RANKS_MAX 256
#define BURDOCK_GATEWAY_ITEMS_MAX 16
#define BURDOCK_PART_ITEMS_MAX 32
#define BURDOCK_RATE_ITEMS_MAX 32
#define BURDOCK_LEAVING_ITEMS_MAX 32
#define BURDOCK_EVACUATION_ITEMS_MAX 64

typedef enum {
  BURDOCK_MSG_ATTEMPT = 1,
  BURDOCK_MSG_ATTEMPT_REFUSED,
  BURDOCK_MSG_TOKEN,
  BURDOCK_MSG_ATTEMPT_DONE,
  BURDOCK_MSG_ATTEMPT_CANCEL,
  BURDOCK_MSG_HEARTBEAT,
  BURDOCK_MSG_MEMBER_SYNC,
  BURDOCK_MSG_MEMBER_PAGE,
  BURDOCK_MSG_CONFIG_GET,
  BURDOCK_MSG_CONFIG_BODY,
  BURDOCK_MSG_SWITCH_PREPARE,
  BURDOCK_MSG_SWITCH_LOADED,
  BURDOCK_MSG_SWITCH_PROPOSE,
  BURDOCK_MSG_SWITCH_PROMISE,
  BURDOCK_MSG_SWITCH_OUTCOME,
  BURDOCK_MSG_SWITCH_OUTCOME_ACK,
  BURDOCK_MSG_SWITCH_QUERY,
  BURDOCK_MSG_SWITCH_STATE,
  BURDOCK_MSG_POPULARITY,
  BURDOCK_MSG_ORDER,
  BURDOCK_MSG_ORDER_RESULT,
  BURDOCK_MSG_LOAD,
  BURDOCK_MSG_LIMIT_REPORT,
  BURDOCK_MSG_LIMIT_GRANT,
  BURDOCK_MSG_GATEWAY_LOAD,
  BURDOCK_MSG_RANK_ROSTER,
  BURDOCK_MSG_RANK_STATE,
  BURDOCK_MSG_MAP_COMMAND,
  BURDOCK_MSG_PROMPT_PARTS,
  BURDOCK_MSG_UPSTREAM_RATES,
  BURDOCK_MSG_STORE_STATE,
  BURDOCK_MSG_UPSTREAMS_LEAVING,
  BURDOCK_MSG_EVACUATION,
  BURDOCK_MSG_TYPE_COUNT,
} BurdockMessageType;

typedef struct {
  uint32_t type;
  uint64_t hlc;
  uint64_t sender_id;
  uint64_t sender_incarnation;
  uint64_t target_incarnation; /* 0: any incarnation of the receiver */
} BurdockMessageHeader;

/**
 * struct BurdockAttemptMessage - request that an agent is to execute
 * Sender incarnation, request id and attempt number identify the attempt.
 * @generation: configuration generation that the sender applied to the request
 * @service: whether this is a call of a plain service; otherwise @model is requested
 * @priority: BurdockPriority
 * @deadline_ms: time left when the frame was sent
 * @resume_from: number of tokens that the caller already has; @delivered is their text
 */
typedef struct {
  uint64_t request_id;
  uint32_t attempt;
  uint64_t generation;
  bool service;
  bool idempotent;
  uint32_t priority;
  uint32_t deadline_ms;
  uint32_t resume_from;
  char key[BURDOCK_REQUEST_KEY_BYTES];
  char workspace[BURDOCK_NAME_BYTES];
  char model[BURDOCK_NAME_BYTES];
  char adapter[BURDOCK_NAME_BYTES];
  char version[BURDOCK_NAME_BYTES];
  BurdockBytes body;
  BurdockBytes delivered;
} BurdockAttemptMessage;

/**
 * struct BurdockAttemptRefusedMessage - the attempt was not executed and never will be
 * @reason: BurdockReason
 * @generation: configuration generation of the agent
 */
typedef struct {
  uint64_t request_id;
  uint32_t attempt;
  uint32_t reason;
  uint64_t generation;
} BurdockAttemptRefusedMessage;

typedef struct {
  uint64_t request_id;
  uint32_t attempt;
  uint32_t index;
  BurdockBytes text;
} BurdockTokenMessage;

/**
 * struct BurdockAttemptDoneMessage - the attempt has ended
 * @status: 0 for a complete answer, otherwise a negative error number
 * @ran: BurdockRan
 * @token_count: number of tokens of the answer
 * @body: answer of a plain service
 */
typedef struct {
  uint64_t request_id;
  uint32_t attempt;
  int32_t status;
  uint32_t ran;
  uint32_t token_count;
  BurdockBytes body;
} BurdockAttemptDoneMessage;

typedef struct {
  uint64_t request_id;
  uint32_t attempt;
} BurdockAttemptCancelMessage;

typedef enum {
  BURDOCK_MEMBER_ALIVE = 1,
  BURDOCK_MEMBER_SUSPECT,
  BURDOCK_MEMBER_LEAVING,
  BURDOCK_MEMBER_REMOVED,
} BurdockMemberState;

/**
 * struct BurdockMemberRecord - properties of a member that gossip distributes
 * @heartbeat_sequence: grows with each heartbeat of this incarnation
 * @role: BurdockRole
 * @state: BurdockMemberState
 * @generation: configuration generation that the member has
 */
typedef struct {
  uint64_t id;
  uint64_t incarnation;
  uint64_t heartbeat_sequence;
  uint32_t role;
  uint32_t state;
  BurdockAddress control_address;
  BurdockAddress traffic_address;
  BurdockAddress http_address;
  char name[BURDOCK_NAME_BYTES];
  char failure_domain[BURDOCK_NAME_BYTES];
  char pool[BURDOCK_NAME_BYTES];
  char group[BURDOCK_NAME_BYTES];
  uint32_t rank;
  uint32_t capacity;
  uint64_t generation;
} BurdockMemberRecord;

/**
 * struct BurdockHeartbeatMessage - heartbeat of a member with gossip about others
 * @member_digest: digest over id, incarnation and state of all members that the sender
 *   knows
 * @running: requests that the sender runs
 * @queued: requests that wait at the sender
 * @updates: records of members that have changed
 */
typedef struct {
  BurdockMemberRecord self;
  uint64_t member_digest;
  uint64_t config_generation;
  BurdockBytes config_hash;
  uint32_t running;
  uint32_t queued;
  uint32_t update_count;
  BurdockMemberRecord updates[BURDOCK_HEARTBEAT_UPDATES_MAX];
} BurdockHeartbeatMessage;

/** struct BurdockMemberSyncMessage - requests the member records from @from_index on */
typedef struct {
  uint32_t from_index;
  BurdockAddress reply_to;
} BurdockMemberSyncMessage;

/**
 * struct BurdockMemberPageMessage - answer to MEMBER_SYNC
 * @total: number of records that the sender has
 */
typedef struct {
  uint32_t from_index;
  uint32_t total;
  uint32_t record_count;
  BurdockMemberRecord records[BURDOCK_MEMBER_PAGE_MAX];
} BurdockMemberPageMessage;

/**
 * struct BurdockConfigGetMessage - requests the configuration
 * @generation: lowest generation whose body is requested; a member that has an older one
 *   answers without a body, so UINT64_MAX only queries which generation it has
 */
typedef struct {
  uint64_t generation;
  BurdockAddress reply_to;
} BurdockConfigGetMessage;

/**
 * struct BurdockConfigBodyMessage - configuration generation that the sender has
 * @confirmed: whether it was confirmed to be the newest, see BurdockConfigState
 * @body: empty in an announcement; then CONFIG_GET to @reply_to fetches it
 */
typedef struct {
  uint64_t generation;
  bool confirmed;
  BurdockBytes hash;
  BurdockBytes body;
  BurdockAddress reply_to;
} BurdockConfigBodyMessage;

/**
 * struct BurdockBallot - number of a recovery round, ordered by @round, then @proposer
 * @proposer: incarnation of the process that runs the round
 */
typedef struct {
  uint32_t round;
  uint64_t proposer;
} BurdockBallot;

/**
 * struct BurdockSwitchMessage - body of all SWITCH_* messages
 * Fields that a type does not use are zero.
 * @epoch: epoch of the switch; for SWITCH_STATE, highest epoch that the rank has seen
 * @step: step before which the ranks pause; in replies, next step of the rank
 * @fence: fencing token of the coordinator's lease
 * @status: for replies, 0 or a negative error number
 * @outcome: BurdockSwitchOutcome
 * @map_epoch: for SWITCH_STATE, epoch of the map in use
 * @held_epoch: epoch whose outcome the hold in force waits for
 * @engine_instance, @waiting, @joining: as in BurdockEngineState
 * @held: whether the engine has a hold in force
 * @map: encoded map that PREPARE loads, or that a state reports
 */
typedef struct {
  char group[BURDOCK_NAME_BYTES];
  uint32_t rank;
  uint64_t epoch;
  uint64_t step;
  uint64_t fence;
  BurdockBallot ballot;
  int32_t status;
  uint32_t outcome;
  uint64_t map_epoch;
  uint64_t held_epoch;
  uint64_t engine_instance;
  bool held;
  bool waiting;
  bool joining;
  BurdockAddress reply_to;
  BurdockBytes map;
} BurdockSwitchMessage;

typedef enum {
  BURDOCK_OUTCOME_UNDECIDED = 0,
  BURDOCK_OUTCOME_COMMIT,
  BURDOCK_OUTCOME_ABORT,
  BURDOCK_OUTCOME_SETTLE, /* recovery: all ranks switch to the map of the given epoch */
} BurdockSwitchOutcome;

/**
 * struct BurdockPopularityMessage - expert load that one rank reports
 * @step: next step of the rank
 * @pause_us: time that the rank waited for outcomes of switches since the last report
 * @tokens: tokens per hosted slot since the last report, big-endian u32, layer by layer
 */
typedef struct {
  char group[BURDOCK_NAME_BYTES];
  uint32_t rank;
  uint64_t map_epoch;
  uint64_t step;
  uint32_t step_time_us;
  uint32_t pause_us;
  BurdockBytes tokens;
} BurdockPopularityMessage;

/**
 * struct BurdockOrderMessage - order to the engine of an agent
 * @fence: fencing token of the sender's lease
 * @subject: name of the lease that @fence belongs to
 * @name: "load", "unload" or "role"
 */
typedef struct {
  uint64_t order_id;
  uint64_t fence;
  char subject[BURDOCK_NAME_BYTES];
  char name[BURDOCK_NAME_BYTES];
  BurdockBytes argument;
  BurdockAddress reply_to;
} BurdockOrderMessage;

typedef struct {
  uint64_t order_id;
  int32_t status;
  uint64_t fence;
} BurdockOrderResultMessage;

/**
 * struct BurdockLoadMessage - load that an agent reports on its traffic connections
 * @running: attempts that run
 * @queued: attempts above @capacity
 * @step_time_us: moving average of the time between two tokens of a stream
 */
typedef struct {
  uint32_t running;
  uint32_t queued;
  uint32_t capacity;
  uint32_t step_time_us;
  uint64_t generation;
  bool leaving;
} BurdockLoadMessage;

/**
 * struct BurdockLimitItem - one workspace of a limit report or grant
 * @workspace_id: burdock_member_id() of the workspace name
 * @sequence: number of the report; a grant repeats the number of the report it answers
 * @demand: in reports, number of running and waiting requests
 * @share: part of the workspace's limit: in reports, the most that the sender may still
 *   be using; in grants, the new share
 */
typedef struct {
  uint64_t workspace_id;
  uint64_t sequence;
  uint32_t demand;
  uint32_t share;
} BurdockLimitItem;

/** struct BurdockLimitMessage - body of LIMIT_REPORT and LIMIT_GRANT */
typedef struct {
  uint32_t item_count;
  BurdockLimitItem items[BURDOCK_LIMIT_ITEMS_MAX];
} BurdockLimitMessage;

/**
 * struct BurdockLoadItem - load that one gateway puts on one upstream
 * @upstream_id: burdock_member_id() of the id of the upstream
 * @outstanding: requests sent to the upstream that have not ended
 */
typedef struct {
  uint64_t upstream_id;
  uint32_t outstanding;
} BurdockLoadItem;

/** struct BurdockGatewayItem - gateway from which the sender receives heartbeats */
typedef struct {
  BurdockAddress address;
} BurdockGatewayItem;

/**
 * struct BurdockGatewayLoadMessage - heartbeat between gateways
 * @http_address: address to which callers connect
 * @ready: whether callers may be directed to the gateway
 * @leaving: whether the gateway is shutting down
 * @waiting: requests that wait for an upstream
 * @peers: some of the gateways whose heartbeats the sender receives, so that a new
 *   gateway discovers all others
 */
typedef struct {
  char name[BURDOCK_NAME_BYTES];
  BurdockAddress http_address;
  bool ready;
  bool leaving;
  uint64_t generation;
  uint32_t waiting;
  uint32_t interval_ms;
  uint32_t peer_count;
  BurdockGatewayItem peers[BURDOCK_GATEWAY_ITEMS_MAX];
  uint32_t item_count;
  BurdockLoadItem items[BURDOCK_LOAD_ITEMS_MAX];
} BurdockGatewayLoadMessage;

/** enum BurdockPartEvidence - what a gateway saw of a prompt part */
typedef enum {
  BURDOCK_PART_CRASHED = 1,   /* an upstream ended as it began to answer */
  BURDOCK_PART_ANSWERED,      /* an upstream answered; older crashes do not count */
  BURDOCK_PART_CRASHED_BEGUN, /* an upstream ended between the head of its answer and the
                                 first event */
} BurdockPartEvidence;

/**
 * struct BurdockPartItem - evidence about a part of prompts
 * @kind: &enum BurdockPartEvidence
 * @upstream_id: burdock_member_id() of the id of the upstream that ended
 * @depth: index of the part in the prompt
 * @age_ms: time since the crash or the answer
 */
typedef struct {
  uint64_t part;
  uint32_t kind;
  uint64_t upstream_id;
  uint32_t depth;
  uint32_t age_ms;
} BurdockPartItem;

/** struct BurdockPromptPartsMessage - evidence about prompt parts that crash upstreams,
 * from one gateway to the others */
typedef struct {
  uint32_t item_count;
  BurdockPartItem items[BURDOCK_PART_ITEMS_MAX];
} BurdockPromptPartsMessage;

/** Limit in a &BurdockRateItem of an upstream that names none any more. */
#define BURDOCK_RATE_ITEM_UNLIMITED UINT32_MAX

/**
 * struct BurdockRateItem - rate limit of an upstream
 * @upstream_id: burdock_member_id() of the id of the upstream
 * @limit_per_1000s: requests per 1000 s from all gateways together
 * @age_ms: time since the upstream stated it to a gateway
 * @sent: requests that the sender sent to it since its last report about it
 */
typedef struct {
  uint64_t upstream_id;
  uint32_t limit_per_1000s;
  uint32_t age_ms;
  uint32_t sent;
} BurdockRateItem;

/**
 * struct BurdockUpstreamRatesMessage - rate limits of upstreams, from one gateway to the
 * others
 * @demand_per_1000s: requests that the sender receives per 1000 s
 */
typedef struct {
  uint32_t demand_per_1000s;
  uint32_t item_count;
  BurdockRateItem items[BURDOCK_RATE_ITEMS_MAX];
} BurdockUpstreamRatesMessage;

/**
 * struct BurdockStoreStateMessage - what a gateway has read from the store, for the
 * others
 * @era: highest era of the store that it knows
 * @upstream_version: version of the last change of the upstreams in this era
 */
typedef struct {
  uint64_t era;
  uint64_t upstream_version;
} BurdockStoreStateMessage;

/**
 * struct BurdockLeavingItem - start of an upstream that has said that it leaves
 * @upstream_id: burdock_member_id() of the id of the upstream
 * @born_ms: time of day at which it started, 0 if it is not known
 */
typedef struct {
  uint64_t upstream_id;
  uint64_t born_ms;
} BurdockLeavingItem;

/** struct BurdockUpstreamsLeavingMessage - upstreams that leave, from one gateway to the
 * others */
typedef struct {
  uint32_t item_count;
  BurdockLeavingItem items[BURDOCK_LEAVING_ITEMS_MAX];
} BurdockUpstreamsLeavingMessage;

/**
 * struct BurdockEvacuationItem - whether the operator evacuates a failure domain
 * @era: era of the store in which this was read, 0 if the store names none
 * @version: version of the table at the last change of the row, or at which it did not
 *   exist
 * @evacuated: the row exists; the upstreams of the failure domain take nothing new
 */
typedef struct {
  char failure_domain[BURDOCK_NAME_BYTES];
  uint64_t era;
  uint64_t version;
  bool evacuated;
} BurdockEvacuationItem;

/** struct BurdockEvacuationMessage - evacuations of failure domains, from one gateway to
 * the others */
typedef struct {
  uint32_t item_count;
  BurdockEvacuationItem items[BURDOCK_EVACUATION_ITEMS_MAX];
} BurdockEvacuationMessage;

/** struct BurdockRosterRank - model runner (engine process) of a rank, at @address */
typedef struct {
  BurdockAddress address;
  uint32_t rank;
} BurdockRosterRank;

/**
 * struct BurdockRosterMessage - shape of the model and members of the group, sent by a
 * gateway to the agent of a rank
 * @layers: layers that have experts, 0 while the gateway has no configuration
 * @experts: experts of a layer
 * @slots: copies of experts that a rank can hold in a layer
 * @loads_max: copies of experts that one new map may add to a rank in a layer
 * @expert_copy_us: time in which a rank loads one expert
 * @interval_ms: time until the next roster of this gateway
 * @wants_state: the gateway does not know the group of the receiver
 * @ranks: known members of the group that the receiver reported last
 */
typedef struct {
  uint32_t layers;
  uint32_t experts;
  uint32_t slots;
  uint32_t loads_max;
  uint32_t expert_copy_us;
  uint32_t interval_ms;
  bool wants_state;
  uint32_t rank_count;
  BurdockRosterRank ranks[BURDOCK_ROSTER_RANKS_MAX];
} BurdockRosterMessage;

/**
 * struct BurdockRankStateMessage - state of a rank, sent by its agent
 * @upstream: address of the model runner
 * @epoch: grows each time the group is formed again
 * @size: number of ranks of the group
 * @open: whether the group is complete and runs steps
 * @running: requests that the rank runs
 * @step: last step that was started
 * @map_version: version of the map in use
 * @loading_version: last version for which the rank accepted an order to load
 * @loaded_version: version whose experts have been loaded, 0 for none
 * @armed_version: version that the rank switches to at @armed_step, 0 for none
 * @held_step: step that the group does not start while it is held, 0 for none
 * @refused_version: last version that the rank could not load, 0 for none
 * @knows_map: the agent knows which ranks host which experts in the map in use
 * @ballot: highest ballot that the agent has promised
 * @hosted: experts of the rank in the map in use, one byte each, layer by layer; each
 *   layer starts with their number
 * @tokens: tokens per layer and expert since the previous report: for each layer the
 *   largest number, big-endian u32, then one byte per expert, its number in 255ths of the
 *   largest. A lost report costs one sample of the estimate, not the estimate
 */
typedef struct {
  char group[BURDOCK_NAME_BYTES];
  BurdockAddress upstream;
  uint64_t epoch;
  uint32_t rank;
  uint32_t size;
  bool open;
  uint32_t running;
  uint64_t step;
  uint32_t step_time_us;
  uint64_t map_version;
  uint64_t loading_version;
  uint64_t loaded_version;
  uint64_t armed_version;
  uint64_t armed_step;
  uint64_t held_step;
  uint64_t refused_version;
  bool knows_map;
  BurdockBallot ballot;
  BurdockBytes hosted;
  BurdockBytes tokens;
} BurdockRankStateMessage;

typedef enum {
  BURDOCK_MAP_PROMISE = 1,  /* reject commands with a lower ballot from now on */
  BURDOCK_MAP_LOAD,         /* load the experts of @map */
  BURDOCK_MAP_LOAD_CHANGES, /* like BURDOCK_MAP_LOAD; @map changes the map in use */
  BURDOCK_MAP_ARM,          /* use @version from @step on */
  BURDOCK_MAP_RELEASE,      /* allow the group to start the step that this rank holds */
} BurdockMapCommandKind;

/**
 * struct BurdockMapCommandMessage - command of a group's coordinator to a rank
 * @epoch: epoch of the group, see BurdockRankStateMessage
 * @version: version of the map
 * @base_version: for BURDOCK_MAP_LOAD_CHANGES, version of the map that @map changes
 * @map_hash: burdock_replica_map_hash() of the complete map, which detects a receiver
 * that applied the changes to another map
 */
typedef struct {
  uint32_t kind;
  BurdockBallot ballot;
  uint64_t epoch;
  uint64_t version;
  uint64_t step;
  uint64_t base_version;
  uint64_t map_hash;
  BurdockBytes map;
} BurdockMapCommandMessage;

typedef struct {
  BurdockMessageHeader header;
  union {
    BurdockAttemptMessage attempt;
    BurdockAttemptRefusedMessage attempt_refused;
    BurdockTokenMessage token;
    BurdockAttemptDoneMessage attempt_done;
    BurdockAttemptCancelMessage attempt_cancel;
    BurdockHeartbeatMessage heartbeat;
    BurdockMemberSyncMessage member_sync;
    BurdockMemberPageMessage member_page;
    BurdockConfigGetMessage config_get;
    BurdockConfigBodyMessage config_body;
    BurdockSwitchMessage switching;
    BurdockPopularityMessage popularity;
    BurdockOrderMessage order;
    BurdockOrderResultMessage order_result;
    BurdockLoadMessage load;
    BurdockLimitMessage limit;
    BurdockGatewayLoadMessage gateway_load;
    BurdockRosterMessage roster;
    BurdockRankStateMessage rank_state;
    BurdockMapCommandMessage map_command;
    BurdockPromptPartsMessage prompt_parts;
    BurdockUpstreamRatesMessage upstream_rates;
    BurdockStoreStateMessage store_state;
    BurdockUpstreamsLeavingMessage upstreams_leaving;
    BurdockEvacuationMessage evacuation;
  };
} BurdockMessage;

/**
 * struct BurdockFrameKeys - keys of the frame MAC, BURDOCK_KEY_BYTES each
 * @current: key for sending and receiving; NULL disables the MAC
 * @previous: key that is accepted too while keys are replaced, or NULL
 */
typedef struct {
  const uint8_t *current;
  const uint8_t *previous;
} BurdockFrameKeys;

/** burdock_message_name() - name of a message type, "unknown" for an unknown one */
const char *burdock_message_name (uint32_t type);

/**
 * burdock_message_encode() - builds a complete frame
 * @keys: NULL for no MAC
 * @frame: receives memory to be released with free()
 * Returns 0, -EMSGSIZE for a frame above BURDOCK_FRAME_MAX_BYTES, -EINVAL for an unknown
 * type or a list that is too long.
 */
int burdock_message_encode (const BurdockMessage *message, const BurdockFrameKeys *keys,
                            uint8_t **frame, uint32_t *length_bytes);

/**
 * burdock_message_decode() - decodes a complete frame, length prefix included
 * On success, only the header and the member of the union for its type are set in @out;
 * on failure, @out is undefined.
 * Returns 0; -EPROTO for a malformed frame; -EMSGSIZE for one above
 * BURDOCK_FRAME_MAX_BYTES; -EACCES for a bad MAC; -ENOSYS for an unknown type. @error
 * names the step; the caller adds the peer.
 */
int burdock_message_decode (const uint8_t *frame, uint32_t length_bytes,
                            const BurdockFrameKeys *keys, BurdockMessage *out,
                            BurdockError *error);

/**
 * burdock_frame_length() - length of the frame that starts at @data, prefix included
 * Returns 0 while fewer than BURDOCK_LENGTH_PREFIX_BYTES are available, -EMSGSIZE for a
 * frame above BURDOCK_FRAME_MAX_BYTES.
 */
int64_t burdock_frame_length (const uint8_t *data, uint32_t available_bytes);

#endif
