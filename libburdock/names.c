#include "burdock.h"

static const char *const reason_names[BURDOCK_REASON_COUNT] = {
  [BURDOCK_REASON_NONE] = "none",
  [BURDOCK_REASON_BAD_REQUEST] = "bad-request",
  [BURDOCK_REASON_NOT_ALLOWED] = "not-allowed",
  [BURDOCK_REASON_NO_UPSTREAM] = "no-upstream",
  [BURDOCK_REASON_OVERLOAD] = "overload",
  [BURDOCK_REASON_LIMIT] = "limit",
  [BURDOCK_REASON_DEADLINE] = "deadline",
  [BURDOCK_REASON_LEAVING] = "leaving",
  [BURDOCK_REASON_NO_CONFIG] = "no-config",
  [BURDOCK_REASON_ISOLATED] = "isolated",
  [BURDOCK_REASON_STORE_DOWN] = "store-down",
  [BURDOCK_REASON_CLAIMED] = "claimed",
  [BURDOCK_REASON_UPSTREAM_FAILED] = "upstream-failed",
  [BURDOCK_REASON_CANCELLED] = "cancelled",
  [BURDOCK_REASON_STALE_GENERATION] = "stale-generation",
  [BURDOCK_REASON_QUARANTINED] = "quarantined",
  [BURDOCK_REASON_PRIORITY] = "priority",
};

static const char *const event_kind_names[BURDOCK_EVENT_COUNT] = {
  [BURDOCK_EVENT_DECISION] = "decision",     [BURDOCK_EVENT_ORDER] = "order",
  [BURDOCK_EVENT_LEASE] = "lease",           [BURDOCK_EVENT_GENERATION] = "generation",
  [BURDOCK_EVENT_MAP_SWITCH] = "map-switch", [BURDOCK_EVENT_REFUSAL] = "refusal",
  [BURDOCK_EVENT_RETRY] = "retry",           [BURDOCK_EVENT_DRAIN] = "drain",
  [BURDOCK_EVENT_MEMBER] = "member",         [BURDOCK_EVENT_FAULT] = "fault",
};

const char *
burdock_reason_name (BurdockReason reason)
{
  if ((uint32_t)reason >= BURDOCK_REASON_COUNT || reason_names[reason] == NULL)
    return "unknown";
  return reason_names[reason];
}

const char *
burdock_event_kind_name (BurdockEventKind kind)
{
  if ((uint32_t)kind >= BURDOCK_EVENT_COUNT || event_kind_names[kind] == NULL)
    return "unknown";
  return event_kind_names[kind];
}
