#include "message-fields.h"

#include <stddef.h>

#define FIELD(kind_, type, member)                                                       \
  {                                                                                      \
    .kind = (kind_), .offset = offsetof (type, member),                                  \
    .size_bytes = sizeof (((type *)0)->member)                                           \
  }
#define STRUCT_FIELD(type, member, table_)                                               \
  {                                                                                      \
    .kind = BURDOCK_FIELD_STRUCT, .offset = offsetof (type, member), .table = &(table_)  \
  }
#define LIST_FIELD(type, member, count, limit_, table_)                                  \
  {                                                                                      \
    .kind = BURDOCK_FIELD_LIST, .offset = offsetof (type, member), .table = &(table_),   \
    .limit = (limit_), .count_offset = offsetof (type, count)                            \
  }
#define FIELD_TABLE(type, fields_)                                                       \
  {                                                                                      \
    .size_bytes = sizeof (type),                                                         \
    .field_count = sizeof (fields_) / sizeof ((fields_)[0]), .fields = (fields_)         \
  }

static const BurdockField attempt_fields[] = {
  FIELD (BURDOCK_FIELD_U64, BurdockAttemptMessage, request_id),
  FIELD (BURDOCK_FIELD_U32, BurdockAttemptMessage, attempt),
  FIELD (BURDOCK_FIELD_U64, BurdockAttemptMessage, generation),
  FIELD (BURDOCK_FIELD_BOOL, BurdockAttemptMessage, service),
  FIELD (BURDOCK_FIELD_BOOL, BurdockAttemptMessage, idempotent),
  FIELD (BURDOCK_FIELD_U32, BurdockAttemptMessage, priority),
  FIELD (BURDOCK_FIELD_U32, BurdockAttemptMessage, deadline_ms),
  FIELD (BURDOCK_FIELD_U32, BurdockAttemptMessage, resume_from),
  FIELD (BURDOCK_FIELD_NAME, BurdockAttemptMessage, key),
  FIELD (BURDOCK_FIELD_NAME, BurdockAttemptMessage, workspace),
  FIELD (BURDOCK_FIELD_NAME, BurdockAttemptMessage, model),
  FIELD (BURDOCK_FIELD_NAME, BurdockAttemptMessage, adapter),
  FIELD (BURDOCK_FIELD_NAME, BurdockAttemptMessage, version),
  FIELD (BURDOCK_FIELD_BYTES, BurdockAttemptMessage, body),
  FIELD (BURDOCK_FIELD_BYTES, BurdockAttemptMessage, delivered),
};

static const BurdockField attempt_refused_fields[] = {
  FIELD (BURDOCK_FIELD_U64, BurdockAttemptRefusedMessage, request_id),
  FIELD (BURDOCK_FIELD_U32, BurdockAttemptRefusedMessage, attempt),
  FIELD (BURDOCK_FIELD_U32, BurdockAttemptRefusedMessage, reason),
  FIELD (BURDOCK_FIELD_U64, BurdockAttemptRefusedMessage, generation),
};

static const BurdockField token_fields[] = {
  FIELD (BURDOCK_FIELD_U64, BurdockTokenMessage, request_id),
  FIELD (BURDOCK_FIELD_U32, BurdockTokenMessage, attempt),
  FIELD (BURDOCK_FIELD_U32, BurdockTokenMessage, index),
  FIELD (BURDOCK_FIELD_BYTES, BurdockTokenMessage, text),
};

static const BurdockField attempt_done_fields[] = {
  FIELD (BURDOCK_FIELD_U64, BurdockAttemptDoneMessage, request_id),
  FIELD (BURDOCK_FIELD_U32, BurdockAttemptDoneMessage, attempt),
  FIELD (BURDOCK_FIELD_I32, BurdockAttemptDoneMessage, status),
  FIELD (BURDOCK_FIELD_U32, BurdockAttemptDoneMessage, ran),
  FIELD (BURDOCK_FIELD_U32, BurdockAttemptDoneMessage, token_count),
  FIELD (BURDOCK_FIELD_BYTES, BurdockAttemptDoneMessage, body),
};

static const BurdockField attempt_cancel_fields[] = {
  FIELD (BURDOCK_FIELD_U64, BurdockAttemptCancelMessage, request_id),
  FIELD (BURDOCK_FIELD_U32, BurdockAttemptCancelMessage, attempt),
};

static const BurdockField member_fields[] = {
  FIELD (BURDOCK_FIELD_U64, BurdockMemberRecord, id),
  FIELD (BURDOCK_FIELD_U64, BurdockMemberRecord, incarnation),
  FIELD (BURDOCK_FIELD_U64, BurdockMemberRecord, heartbeat_sequence),
  FIELD (BURDOCK_FIELD_U32, BurdockMemberRecord, role),
  FIELD (BURDOCK_FIELD_U32, BurdockMemberRecord, state),
  FIELD (BURDOCK_FIELD_ADDRESS, BurdockMemberRecord, control_address),
  FIELD (BURDOCK_FIELD_ADDRESS, BurdockMemberRecord, traffic_address),
  FIELD (BURDOCK_FIELD_ADDRESS, BurdockMemberRecord, http_address),
  FIELD (BURDOCK_FIELD_NAME, BurdockMemberRecord, name),
  FIELD (BURDOCK_FIELD_NAME, BurdockMemberRecord, failure_domain),
  FIELD (BURDOCK_FIELD_NAME, BurdockMemberRecord, pool),
  FIELD (BURDOCK_FIELD_NAME, BurdockMemberRecord, group),
  FIELD (BURDOCK_FIELD_U32, BurdockMemberRecord, rank),
  FIELD (BURDOCK_FIELD_U32, BurdockMemberRecord, capacity),
  FIELD (BURDOCK_FIELD_U64, BurdockMemberRecord, generation),
};
static const BurdockFieldTable member_table =
    FIELD_TABLE (BurdockMemberRecord, member_fields);

static const BurdockField heartbeat_fields[] = {
  STRUCT_FIELD (BurdockHeartbeatMessage, self, member_table),
  FIELD (BURDOCK_FIELD_U64, BurdockHeartbeatMessage, member_digest),
  FIELD (BURDOCK_FIELD_U64, BurdockHeartbeatMessage, config_generation),
  FIELD (BURDOCK_FIELD_BYTES, BurdockHeartbeatMessage, config_hash),
  FIELD (BURDOCK_FIELD_U32, BurdockHeartbeatMessage, running),
  FIELD (BURDOCK_FIELD_U32, BurdockHeartbeatMessage, queued),
  LIST_FIELD (BurdockHeartbeatMessage, updates, update_count,
              BURDOCK_HEARTBEAT_UPDATES_MAX, member_table),
};

static const BurdockField member_sync_fields[] = {
  FIELD (BURDOCK_FIELD_U32, BurdockMemberSyncMessage, from_index),
  FIELD (BURDOCK_FIELD_ADDRESS, BurdockMemberSyncMessage, reply_to),
};

static const BurdockField member_page_fields[] = {
  FIELD (BURDOCK_FIELD_U32, BurdockMemberPageMessage, from_index),
  FIELD (BURDOCK_FIELD_U32, BurdockMemberPageMessage, total),
  LIST_FIELD (BurdockMemberPageMessage, records, record_count, BURDOCK_MEMBER_PAGE_MAX,
              member_table),
};

static const BurdockField config_get_fields[] = {
  FIELD (BURDOCK_FIELD_U64, BurdockConfigGetMessage, generation),
  FIELD (BURDOCK_FIELD_ADDRESS, BurdockConfigGetMessage, reply_to),
};

static const BurdockField config_body_fields[] = {
  FIELD (BURDOCK_FIELD_U64, BurdockConfigBodyMessage, generation),
  FIELD (BURDOCK_FIELD_BOOL, BurdockConfigBodyMessage, confirmed),
  FIELD (BURDOCK_FIELD_BYTES, BurdockConfigBodyMessage, hash),
  FIELD (BURDOCK_FIELD_BYTES, BurdockConfigBodyMessage, body),
  FIELD (BURDOCK_FIELD_ADDRESS, BurdockConfigBodyMessage, reply_to),
};

static const BurdockField switch_fields[] = {
  FIELD (BURDOCK_FIELD_NAME, BurdockSwitchMessage, group),
  FIELD (BURDOCK_FIELD_U32, BurdockSwitchMessage, rank),
  FIELD (BURDOCK_FIELD_U64, BurdockSwitchMessage, epoch),
  FIELD (BURDOCK_FIELD_U64, BurdockSwitchMessage, step),
  FIELD (BURDOCK_FIELD_U64, BurdockSwitchMessage, fence),
  FIELD (BURDOCK_FIELD_BALLOT, BurdockSwitchMessage, ballot),
  FIELD (BURDOCK_FIELD_I32, BurdockSwitchMessage, status),
  FIELD (BURDOCK_FIELD_U32, BurdockSwitchMessage, outcome),
  FIELD (BURDOCK_FIELD_U64, BurdockSwitchMessage, map_epoch),
  FIELD (BURDOCK_FIELD_U64, BurdockSwitchMessage, held_epoch),
  FIELD (BURDOCK_FIELD_U64, BurdockSwitchMessage, engine_instance),
  FIELD (BURDOCK_FIELD_BOOL, BurdockSwitchMessage, held),
  FIELD (BURDOCK_FIELD_BOOL, BurdockSwitchMessage, waiting),
  FIELD (BURDOCK_FIELD_BOOL, BurdockSwitchMessage, joining),
  FIELD (BURDOCK_FIELD_ADDRESS, BurdockSwitchMessage, reply_to),
  FIELD (BURDOCK_FIELD_BYTES, BurdockSwitchMessage, map),
};

static const BurdockField popularity_fields[] = {
  FIELD (BURDOCK_FIELD_NAME, BurdockPopularityMessage, group),
  FIELD (BURDOCK_FIELD_U32, BurdockPopularityMessage, rank),
  FIELD (BURDOCK_FIELD_U64, BurdockPopularityMessage, map_epoch),
  FIELD (BURDOCK_FIELD_U64, BurdockPopularityMessage, step),
  FIELD (BURDOCK_FIELD_U32, BurdockPopularityMessage, step_time_us),
  FIELD (BURDOCK_FIELD_U32, BurdockPopularityMessage, pause_us),
  FIELD (BURDOCK_FIELD_BYTES, BurdockPopularityMessage, tokens),
};

static const BurdockField order_fields[] = {
  FIELD (BURDOCK_FIELD_U64, BurdockOrderMessage, order_id),
  FIELD (BURDOCK_FIELD_U64, BurdockOrderMessage, fence),
  FIELD (BURDOCK_FIELD_NAME, BurdockOrderMessage, subject),
  FIELD (BURDOCK_FIELD_NAME, BurdockOrderMessage, name),
  FIELD (BURDOCK_FIELD_BYTES, BurdockOrderMessage, argument),
  FIELD (BURDOCK_FIELD_ADDRESS, BurdockOrderMessage, reply_to),
};

static const BurdockField order_result_fields[] = {
  FIELD (BURDOCK_FIELD_U64, BurdockOrderResultMessage, order_id),
  FIELD (BURDOCK_FIELD_I32, BurdockOrderResultMessage, status),
  FIELD (BURDOCK_FIELD_U64, BurdockOrderResultMessage, fence),
};

static const BurdockField load_fields[] = {
  FIELD (BURDOCK_FIELD_U32, BurdockLoadMessage, running),
  FIELD (BURDOCK_FIELD_U32, BurdockLoadMessage, queued),
  FIELD (BURDOCK_FIELD_U32, BurdockLoadMessage, capacity),
  FIELD (BURDOCK_FIELD_U32, BurdockLoadMessage, step_time_us),
  FIELD (BURDOCK_FIELD_U64, BurdockLoadMessage, generation),
  FIELD (BURDOCK_FIELD_BOOL, BurdockLoadMessage, leaving),
};

static const BurdockField limit_item_fields[] = {
  FIELD (BURDOCK_FIELD_U64, BurdockLimitItem, workspace_id),
  FIELD (BURDOCK_FIELD_U64, BurdockLimitItem, sequence),
  FIELD (BURDOCK_FIELD_U32, BurdockLimitItem, demand),
  FIELD (BURDOCK_FIELD_U32, BurdockLimitItem, share),
};
static const BurdockFieldTable limit_item_table =
    FIELD_TABLE (BurdockLimitItem, limit_item_fields);

static const BurdockField limit_fields[] = {
  LIST_FIELD (BurdockLimitMessage, items, item_count, BURDOCK_LIMIT_ITEMS_MAX,
              limit_item_table),
};

static const BurdockField load_item_fields[] = {
  FIELD (BURDOCK_FIELD_U64, BurdockLoadItem, upstream_id),
  FIELD (BURDOCK_FIELD_U32, BurdockLoadItem, outstanding),
};
static const BurdockFieldTable load_item_table =
    FIELD_TABLE (BurdockLoadItem, load_item_fields);

static const BurdockField gateway_item_fields[] = {
  FIELD (BURDOCK_FIELD_ADDRESS, BurdockGatewayItem, address),
};
static const BurdockFieldTable gateway_item_table =
    FIELD_TABLE (BurdockGatewayItem, gateway_item_fields);

static const BurdockField gateway_load_fields[] = {
  FIELD (BURDOCK_FIELD_NAME, BurdockGatewayLoadMessage, name),
  FIELD (BURDOCK_FIELD_ADDRESS, BurdockGatewayLoadMessage, http_address),
  FIELD (BURDOCK_FIELD_BOOL, BurdockGatewayLoadMessage, ready),
  FIELD (BURDOCK_FIELD_BOOL, BurdockGatewayLoadMessage, leaving),
  FIELD (BURDOCK_FIELD_U64, BurdockGatewayLoadMessage, generation),
  FIELD (BURDOCK_FIELD_U32, BurdockGatewayLoadMessage, waiting),
  FIELD (BURDOCK_FIELD_U32, BurdockGatewayLoadMessage, interval_ms),
  LIST_FIELD (BurdockGatewayLoadMessage, peers, peer_count, BURDOCK_GATEWAY_ITEMS_MAX,
              gateway_item_table),
  LIST_FIELD (BurdockGatewayLoadMessage, items, item_count, BURDOCK_LOAD_ITEMS_MAX,
              load_item_table),
};

static const BurdockField part_item_fields[] = {
  FIELD (BURDOCK_FIELD_U64, BurdockPartItem, part),
  FIELD (BURDOCK_FIELD_U32, BurdockPartItem, kind),
  FIELD (BURDOCK_FIELD_U64, BurdockPartItem, upstream_id),
  FIELD (BURDOCK_FIELD_U32, BurdockPartItem, depth),
  FIELD (BURDOCK_FIELD_U32, BurdockPartItem, age_ms),
};
static const BurdockFieldTable part_item_table =
    FIELD_TABLE (BurdockPartItem, part_item_fields);

static const BurdockField rate_item_fields[] = {
  FIELD (BURDOCK_FIELD_U64, BurdockRateItem, upstream_id),
  FIELD (BURDOCK_FIELD_U32, BurdockRateItem, limit_per_1000s),
  FIELD (BURDOCK_FIELD_U32, BurdockRateItem, age_ms),
  FIELD (BURDOCK_FIELD_U32, BurdockRateItem, sent),
};
static const BurdockFieldTable rate_item_table =
    FIELD_TABLE (BurdockRateItem, rate_item_fields);

static const BurdockField upstream_rates_fields[] = {
  FIELD (BURDOCK_FIELD_U32, BurdockUpstreamRatesMessage, demand_per_1000s),
  LIST_FIELD (BurdockUpstreamRatesMessage, items, item_count, BURDOCK_RATE_ITEMS_MAX,
              rate_item_table),
};

static const BurdockField leaving_item_fields[] = {
  FIELD (BURDOCK_FIELD_U64, BurdockLeavingItem, upstream_id),
  FIELD (BURDOCK_FIELD_U64, BurdockLeavingItem, born_ms),
};
static const BurdockFieldTable leaving_item_table =
    FIELD_TABLE (BurdockLeavingItem, leaving_item_fields);

static const BurdockField upstreams_leaving_fields[] = {
  LIST_FIELD (BurdockUpstreamsLeavingMessage, items, item_count,
              BURDOCK_LEAVING_ITEMS_MAX, leaving_item_table),
};

static const BurdockField evacuation_item_fields[] = {
  FIELD (BURDOCK_FIELD_NAME, BurdockEvacuationItem, failure_domain),
  FIELD (BURDOCK_FIELD_U64, BurdockEvacuationItem, era),
  FIELD (BURDOCK_FIELD_U64, BurdockEvacuationItem, version),
  FIELD (BURDOCK_FIELD_BOOL, BurdockEvacuationItem, evacuated),
};
static const BurdockFieldTable evacuation_item_table =
    FIELD_TABLE (BurdockEvacuationItem, evacuation_item_fields);

static const BurdockField evacuation_fields[] = {
  LIST_FIELD (BurdockEvacuationMessage, items, item_count, BURDOCK_EVACUATION_ITEMS_MAX,
              evacuation_item_table),
};

static const BurdockField store_state_fields[] = {
  FIELD (BURDOCK_FIELD_U64, BurdockStoreStateMessage, era),
  FIELD (BURDOCK_FIELD_U64, BurdockStoreStateMessage, upstream_version),
};

static const BurdockField prompt_parts_fields[] = {
  LIST_FIELD (BurdockPromptPartsMessage, items, item_count, BURDOCK_PART_ITEMS_MAX,
              part_item_table),
};

static const BurdockField roster_rank_fields[] = {
  FIELD (BURDOCK_FIELD_ADDRESS, BurdockRosterRank, address),
  FIELD (BURDOCK_FIELD_U32, BurdockRosterRank, rank),
};
static const BurdockFieldTable roster_rank_table =
    FIELD_TABLE (BurdockRosterRank, roster_rank_fields);

static const BurdockField roster_fields[] = {
  FIELD (BURDOCK_FIELD_U32, BurdockRosterMessage, layers),
  FIELD (BURDOCK_FIELD_U32, BurdockRosterMessage, experts),
  FIELD (BURDOCK_FIELD_U32, BurdockRosterMessage, slots),
  FIELD (BURDOCK_FIELD_U32, BurdockRosterMessage, loads_max),
  FIELD (BURDOCK_FIELD_U32, BurdockRosterMessage, expert_copy_us),
  FIELD (BURDOCK_FIELD_U32, BurdockRosterMessage, interval_ms),
  FIELD (BURDOCK_FIELD_BOOL, BurdockRosterMessage, wants_state),
  LIST_FIELD (BurdockRosterMessage, ranks, rank_count, BURDOCK_ROSTER_RANKS_MAX,
              roster_rank_table),
};

static const BurdockField rank_state_fields[] = {
  FIELD (BURDOCK_FIELD_NAME, BurdockRankStateMessage, group),
  FIELD (BURDOCK_FIELD_ADDRESS, BurdockRankStateMessage, upstream),
  FIELD (BURDOCK_FIELD_U64, BurdockRankStateMessage, epoch),
  FIELD (BURDOCK_FIELD_U32, BurdockRankStateMessage, rank),
  FIELD (BURDOCK_FIELD_U32, BurdockRankStateMessage, size),
  FIELD (BURDOCK_FIELD_BOOL, BurdockRankStateMessage, open),
  FIELD (BURDOCK_FIELD_U32, BurdockRankStateMessage, running),
  FIELD (BURDOCK_FIELD_U64, BurdockRankStateMessage, step),
  FIELD (BURDOCK_FIELD_U32, BurdockRankStateMessage, step_time_us),
  FIELD (BURDOCK_FIELD_U64, BurdockRankStateMessage, map_version),
  FIELD (BURDOCK_FIELD_U64, BurdockRankStateMessage, loading_version),
  FIELD (BURDOCK_FIELD_U64, BurdockRankStateMessage, loaded_version),
  FIELD (BURDOCK_FIELD_U64, BurdockRankStateMessage, armed_version),
  FIELD (BURDOCK_FIELD_U64, BurdockRankStateMessage, armed_step),
  FIELD (BURDOCK_FIELD_U64, BurdockRankStateMessage, held_step),
  FIELD (BURDOCK_FIELD_U64, BurdockRankStateMessage, refused_version),
  FIELD (BURDOCK_FIELD_BOOL, BurdockRankStateMessage, knows_map),
  FIELD (BURDOCK_FIELD_BALLOT, BurdockRankStateMessage, ballot),
  FIELD (BURDOCK_FIELD_BYTES, BurdockRankStateMessage, hosted),
  FIELD (BURDOCK_FIELD_BYTES, BurdockRankStateMessage, tokens),
};

static const BurdockField map_command_fields[] = {
  FIELD (BURDOCK_FIELD_U32, BurdockMapCommandMessage, kind),
  FIELD (BURDOCK_FIELD_BALLOT, BurdockMapCommandMessage, ballot),
  FIELD (BURDOCK_FIELD_U64, BurdockMapCommandMessage, epoch),
  FIELD (BURDOCK_FIELD_U64, BurdockMapCommandMessage, version),
  FIELD (BURDOCK_FIELD_U64, BurdockMapCommandMessage, step),
  FIELD (BURDOCK_FIELD_U64, BurdockMapCommandMessage, base_version),
  FIELD (BURDOCK_FIELD_U64, BurdockMapCommandMessage, map_hash),
  FIELD (BURDOCK_FIELD_BYTES, BurdockMapCommandMessage, map),
};

static const BurdockMessageSchema schemas[BURDOCK_MSG_TYPE_COUNT] = {
  [BURDOCK_MSG_ATTEMPT] = { "ATTEMPT",
                            FIELD_TABLE (BurdockAttemptMessage, attempt_fields) },
  [BURDOCK_MSG_ATTEMPT_REFUSED] = { "ATTEMPT_REFUSED",
                                    FIELD_TABLE (BurdockAttemptRefusedMessage,
                                                 attempt_refused_fields) },
  [BURDOCK_MSG_TOKEN] = { "TOKEN", FIELD_TABLE (BurdockTokenMessage, token_fields) },
  [BURDOCK_MSG_ATTEMPT_DONE] = { "ATTEMPT_DONE", FIELD_TABLE (BurdockAttemptDoneMessage,
                                                              attempt_done_fields) },
  [BURDOCK_MSG_ATTEMPT_CANCEL] = { "ATTEMPT_CANCEL",
                                   FIELD_TABLE (BurdockAttemptCancelMessage,
                                                attempt_cancel_fields) },
  [BURDOCK_MSG_HEARTBEAT] = { "HEARTBEAT",
                              FIELD_TABLE (BurdockHeartbeatMessage, heartbeat_fields) },
  [BURDOCK_MSG_MEMBER_SYNC] = { "MEMBER_SYNC", FIELD_TABLE (BurdockMemberSyncMessage,
                                                            member_sync_fields) },
  [BURDOCK_MSG_MEMBER_PAGE] = { "MEMBER_PAGE", FIELD_TABLE (BurdockMemberPageMessage,
                                                            member_page_fields) },
  [BURDOCK_MSG_CONFIG_GET] = { "CONFIG_GET",
                               FIELD_TABLE (BurdockConfigGetMessage, config_get_fields) },
  [BURDOCK_MSG_CONFIG_BODY] = { "CONFIG_BODY", FIELD_TABLE (BurdockConfigBodyMessage,
                                                            config_body_fields) },
  [BURDOCK_MSG_SWITCH_PREPARE] = { "SWITCH_PREPARE",
                                   FIELD_TABLE (BurdockSwitchMessage, switch_fields) },
  [BURDOCK_MSG_SWITCH_LOADED] = { "SWITCH_LOADED",
                                  FIELD_TABLE (BurdockSwitchMessage, switch_fields) },
  [BURDOCK_MSG_SWITCH_PROPOSE] = { "SWITCH_PROPOSE",
                                   FIELD_TABLE (BurdockSwitchMessage, switch_fields) },
  [BURDOCK_MSG_SWITCH_PROMISE] = { "SWITCH_PROMISE",
                                   FIELD_TABLE (BurdockSwitchMessage, switch_fields) },
  [BURDOCK_MSG_SWITCH_OUTCOME] = { "SWITCH_OUTCOME",
                                   FIELD_TABLE (BurdockSwitchMessage, switch_fields) },
  [BURDOCK_MSG_SWITCH_OUTCOME_ACK] = { "SWITCH_OUTCOME_ACK",
                                       FIELD_TABLE (BurdockSwitchMessage,
                                                    switch_fields) },
  [BURDOCK_MSG_SWITCH_QUERY] = { "SWITCH_QUERY",
                                 FIELD_TABLE (BurdockSwitchMessage, switch_fields) },
  [BURDOCK_MSG_SWITCH_STATE] = { "SWITCH_STATE",
                                 FIELD_TABLE (BurdockSwitchMessage, switch_fields) },
  [BURDOCK_MSG_POPULARITY] = { "POPULARITY", FIELD_TABLE (BurdockPopularityMessage,
                                                          popularity_fields) },
  [BURDOCK_MSG_ORDER] = { "ORDER", FIELD_TABLE (BurdockOrderMessage, order_fields) },
  [BURDOCK_MSG_ORDER_RESULT] = { "ORDER_RESULT", FIELD_TABLE (BurdockOrderResultMessage,
                                                              order_result_fields) },
  [BURDOCK_MSG_LOAD] = { "LOAD", FIELD_TABLE (BurdockLoadMessage, load_fields) },
  [BURDOCK_MSG_LIMIT_REPORT] = { "LIMIT_REPORT",
                                 FIELD_TABLE (BurdockLimitMessage, limit_fields) },
  [BURDOCK_MSG_LIMIT_GRANT] = { "LIMIT_GRANT",
                                FIELD_TABLE (BurdockLimitMessage, limit_fields) },
  [BURDOCK_MSG_GATEWAY_LOAD] = { "GATEWAY_LOAD", FIELD_TABLE (BurdockGatewayLoadMessage,
                                                              gateway_load_fields) },
  [BURDOCK_MSG_RANK_ROSTER] = { "RANK_ROSTER",
                                FIELD_TABLE (BurdockRosterMessage, roster_fields) },
  [BURDOCK_MSG_RANK_STATE] = { "RANK_STATE",
                               FIELD_TABLE (BurdockRankStateMessage, rank_state_fields) },
  [BURDOCK_MSG_MAP_COMMAND] = { "MAP_COMMAND", FIELD_TABLE (BurdockMapCommandMessage,
                                                            map_command_fields) },
  [BURDOCK_MSG_PROMPT_PARTS] = { "PROMPT_PARTS", FIELD_TABLE (BurdockPromptPartsMessage,
                                                              prompt_parts_fields) },
  [BURDOCK_MSG_UPSTREAM_RATES] = { "UPSTREAM_RATES",
                                   FIELD_TABLE (BurdockUpstreamRatesMessage,
                                                upstream_rates_fields) },
  [BURDOCK_MSG_STORE_STATE] = { "STORE_STATE", FIELD_TABLE (BurdockStoreStateMessage,
                                                            store_state_fields) },
  [BURDOCK_MSG_UPSTREAMS_LEAVING] = { "UPSTREAMS_LEAVING",
                                      FIELD_TABLE (BurdockUpstreamsLeavingMessage,
                                                   upstreams_leaving_fields) },
  [BURDOCK_MSG_EVACUATION] = { "EVACUATION", FIELD_TABLE (BurdockEvacuationMessage,
                                                          evacuation_fields) },
};

const BurdockMessageSchema *
burdock_message_schema (uint32_t type)
{
  if (type >= BURDOCK_MSG_TYPE_COUNT || schemas[type].name == NULL)
    return NULL;
  return &schemas[type];
}

const char *
burdock_message_name (uint32_t type)
{
  const BurdockMessageSchema *schema = burdock_message_schema (type);

  return schema != NULL ? schema->name : "unknown";
}
