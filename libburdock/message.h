/**
 * DOC: message.h - messages between the processes of the system
 *
 * A frame is a 4-byte big-endian length, a msgpack array and, where a key is set, a MAC
 * of BURDOCK_MAC_BYTES over the array. The array is [version, type, hlc, sender id,
 * sender incarnation, target incarnation, body fields...]. Field tables in message.c
 * drive both directions, so a message is added by a struct here and a table there.
 *
 * Decoded byte ranges point into the frame and are valid as long as it is.
 */
#ifndef BURDOCK_MESSAGE_H
#define BURDOCK_MESSAGE_H

#include "burdock.h"

#define BURDOCK_MESSAGE_VERSION 1
#define BURDOCK_MAC_BYTES 32
#define BURDOCK_LENGTH_PREFIX_BYTES 4

/* Bounds a heartbeat, and with it the control traffic of a node in times of churn. */
#define BURDOCK_HEARTBEAT_UPDATES_MAX 8
#define BURDOCK_MEMBER_PAGE_MAX 64
#define BURDOCK_LIMIT_ITEMS_MAX 32

/* 600 upstreams at the target size, with room for those that are being replaced. */
#define BURDOCK_LOAD_ITEMS_MAX 1024
#define BURDOCK_ROSTER_RANKS_MAX 64
#define BURDOCK_GATEWAY_ITEMS_MAX 16

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
  BURDOCK_MSG_TYPE_COUNT,
} BurdockMessageType;

typedef struct {
  uint32_t type;
  uint64_t hlc;
  uint64_t sender_id;
  uint64_t sender_incarnation;
  uint64_t target_incarnation; /* 0: any life of the receiver */
} BurdockMessageHeader;

/**
 * struct BurdockAttemptMessage - run a request; attempts are identified by sender
 * incarnation, request id and attempt number
 */
typedef struct {
  uint64_t request_id;
  uint32_t attempt;
  uint64_t generation;
  bool service;
  bool idempotent;
  uint32_t priority;
  uint32_t deadline_ms; /* time left when the frame was sent */
  uint32_t resume_from;
  char key[BURDOCK_REQUEST_KEY_BYTES];
  char workspace[BURDOCK_NAME_BYTES];
  char model[BURDOCK_NAME_BYTES];
  char adapter[BURDOCK_NAME_BYTES];
  char version[BURDOCK_NAME_BYTES];
  BurdockBytes body;
  BurdockBytes delivered;
} BurdockAttemptMessage;

/** struct BurdockAttemptRefusedMessage - the attempt did not run and never will */
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

/** struct BurdockAttemptDoneMessage - @status 0 whole, otherwise a negative error number
 */
typedef struct {
  uint64_t request_id;
  uint32_t attempt;
  int32_t status;
  uint32_t ran; /* BurdockRan */
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

/** struct BurdockMemberRecord - what is spread about a member */
typedef struct {
  uint64_t id;
  uint64_t incarnation;
  uint64_t heartbeat_sequence; /* grows with each heartbeat of this incarnation */
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

typedef struct {
  BurdockMemberRecord self;
  uint64_t member_digest; /* over id, incarnation and state of all members known */
  uint64_t config_generation;
  BurdockBytes config_hash;
  uint32_t running;
  uint32_t queued;
  uint32_t update_count;
  BurdockMemberRecord updates[BURDOCK_HEARTBEAT_UPDATES_MAX];
} BurdockHeartbeatMessage;

/** struct BurdockMemberSyncMessage - asks for the member records from @from_index on */
typedef struct {
  uint32_t from_index;
  BurdockAddress reply_to;
} BurdockMemberSyncMessage;

typedef struct {
  uint32_t from_index;
  uint32_t total;
  uint32_t record_count;
  BurdockMemberRecord records[BURDOCK_MEMBER_PAGE_MAX];
} BurdockMemberPageMessage;

/**
 * struct BurdockConfigGetMessage - asks for the configuration
 * @generation: smallest generation whose body is wanted; a member that has an older one
 *   answers without a body, so that UINT64_MAX only asks which generation it has
 */
typedef struct {
  uint64_t generation;
  BurdockAddress reply_to;
} BurdockConfigGetMessage;

/**
 * struct BurdockConfigBodyMessage - generation that the sender has
 * @learned: whether the sender knows it to be the newest, see BurdockConfigState
 * @body: empty in an announcement; fetched with CONFIG_GET from @reply_to
 */
typedef struct {
  uint64_t generation;
  bool learned;
  BurdockBytes hash;
  BurdockBytes body;
  BurdockAddress reply_to;
} BurdockConfigBodyMessage;

/** struct BurdockBallot - orders recovery rounds: by @round, then by @proposer */
typedef struct {
  uint32_t round;
  uint64_t proposer; /* incarnation of the process that runs the round */
} BurdockBallot;

/**
 * struct BurdockSwitchMessage - body of all SWITCH_* messages; fields that a type does
 * not use are zero
 * @epoch: epoch of the switch; for SWITCH_STATE, highest epoch that the rank has met
 * @step: step to hold at; in replies, next step of the rank
 * @fence: fencing number of the coordinator's lease
 * @status: for replies, 0 or a negative error number
 * @outcome: BurdockSwitchOutcome
 * @map_epoch: for SWITCH_STATE, epoch of the map in use
 * @held: whether the engine has a hold in force; @held_epoch is the epoch it is for
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
  BURDOCK_OUTCOME_SETTLE, /* recovery: every rank uses the map of the given epoch */
} BurdockSwitchOutcome;

/**
 * struct BurdockPopularityMessage - report of one rank
 * @pause_us: time that the rank waited for the outcome of a switch since the last report
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

/** struct BurdockLoadMessage - load report of an agent on its traffic connections */
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
 * @demand: in reports, running and waiting requests
 * @share: in reports, what the sender may still be using; in grants, the new share
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
 * struct BurdockLoadItem - requests of one gateway at one upstream
 * @upstream_id: burdock_member_id() of the id of the upstream
 */
typedef struct {
  uint64_t upstream_id;
  uint32_t outstanding;
} BurdockLoadItem;

/** struct BurdockGatewayItem - another gateway that the sender hears of directly */
typedef struct {
  BurdockAddress address;
} BurdockGatewayItem;

/**
 * struct BurdockGatewayLoadMessage - heartbeat between gateways
 * @http_address: address at which callers connect
 * @ready: whether callers may be sent to the gateway
 * @leaving: the gateway has been told to stop
 * @waiting: requests that wait for an upstream
 * @peers: some of the gateways that the sender hears, so that newcomers find all others
 */
typedef struct {
  char name[BURDOCK_NAME_BYTES];
  BurdockAddress http_address;
  bool ready;
  bool leaving;
  uint64_t generation;
  uint32_t waiting;
  uint32_t peer_count;
  BurdockGatewayItem peers[BURDOCK_GATEWAY_ITEMS_MAX];
  uint32_t item_count;
  BurdockLoadItem items[BURDOCK_LOAD_ITEMS_MAX];
} BurdockGatewayLoadMessage;

/** struct BurdockRosterRank - runner of a group, reached at @address */
typedef struct {
  BurdockAddress address;
  uint32_t rank;
} BurdockRosterRank;

/**
 * struct BurdockRosterMessage - what a gateway tells the agent of a rank
 * @layers: layers with experts of their own, 0 while the gateway knows no configuration
 * @slots: copies of experts that a rank can hold in a layer
 * @loads_max: copies of a layer that one new map may add to a rank
 * @copy_us: time to load one expert
 * @ranks: known members of the group that the receiver reported last
 */
typedef struct {
  uint32_t layers;
  uint32_t experts;
  uint32_t slots;
  uint32_t loads_max;
  uint32_t copy_us;
  uint32_t rank_count;
  BurdockRosterRank ranks[BURDOCK_ROSTER_RANKS_MAX];
} BurdockRosterMessage;

/**
 * struct BurdockRankStateMessage - state of a rank, sent by its agent
 * @upstream: address of the runner
 * @epoch: grows whenever the group is formed anew
 * @open: the group is complete and runs steps
 * @running: requests that the rank runs
 * @step: last step that was begun
 * @map_version: version of the map in use
 * @loading_version: last version that the rank was told to load and accepted
 * @loaded_version: version whose experts have been loaded, 0 for none
 * @armed_version: version that the rank switches to at @armed_step, 0 for none
 * @held_step: step that the group does not begin, 0 for none
 * @refused_version: last version that the rank could not load, 0 for none
 * @ballot: highest ballot that the agent has promised to obey
 * @hosted: experts of the rank in the map in use, one byte each, layer by layer; each
 *   layer starts with their number
 * @tokens: tokens per layer and expert since the report before: for each layer the
 *   largest number, big-endian u32, then one byte for each expert, its part of the
 * largest in 255ths; a lost report costs a sample, not the estimate
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
  BurdockBallot ballot;
  BurdockBytes hosted;
  BurdockBytes tokens;
} BurdockRankStateMessage;

typedef enum {
  BURDOCK_MAP_PROMISE = 1, /* obey no lower ballot from now on */
  BURDOCK_MAP_LOAD,        /* load the experts of @map */
  BURDOCK_MAP_ARM,         /* use @version from @step on */
  BURDOCK_MAP_RELEASE,     /* let the group begin the step that this rank holds */
} BurdockMapCommandKind;

/** struct BurdockMapCommandMessage - order of the coordinator of a group to a rank */
typedef struct {
  uint32_t kind;
  BurdockBallot ballot;
  uint64_t epoch;
  uint64_t version;
  uint64_t step;
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
  };
} BurdockMessage;

/** struct BurdockFrameKeys - keys of the frame MAC; @current NULL for no MAC */
typedef struct {
  const uint8_t *current;
  const uint8_t *previous;
} BurdockFrameKeys;

const char *burdock_message_name (uint32_t type);

/**
 * burdock_message_encode() - builds a whole frame
 * @frame: receives memory to be released with free()
 * Returns 0, -EMSGSIZE for a frame above BURDOCK_FRAME_MAX_BYTES, -EINVAL for an unknown
 * type or a list above its bound.
 */
int burdock_message_encode (const BurdockMessage *message, const BurdockFrameKeys *keys,
                            uint8_t **frame, uint32_t *length_bytes);

/**
 * burdock_message_decode() - reads a whole frame, length included
 * On success, @out is defined for its type only; on failure, it is not defined.
 * Returns 0; -EPROTO for a frame that does not fit its type; -EMSGSIZE; -EACCES for a bad
 * MAC; -ENOSYS for an unknown type. @error names the step; the caller adds the peer.
 */
int burdock_message_decode (const uint8_t *frame, uint32_t length_bytes,
                            const BurdockFrameKeys *keys, BurdockMessage *out,
                            BurdockError *error);

/**
 * burdock_frame_length() - length of the frame that starts at @data, length field
 * included Returns 0 while fewer than BURDOCK_LENGTH_PREFIX_BYTES are there, -EMSGSIZE
 * above the bound.
 */
int64_t burdock_frame_length (const uint8_t *data, uint32_t available_bytes);

#endif
