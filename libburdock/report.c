#include "report.h"

#include "config-controller.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS 1000

typedef char *(*ReportFunction) (BurdockCore *core);

static char *
dump (json_t *root)
{
  char *text = json_dumps (root, JSON_COMPACT);

  json_decref (root);
  return text;
}

/* 64-bit ids are written as text, as JSON readers keep only 53 bits of a number. */
static json_t *
id_json (uint64_t id)
{
  char text[20];

  snprintf (text, sizeof text, "%016" PRIx64, id);
  return json_string (text);
}

static json_t *
address_json (BurdockAddress address)
{
  char text[24];

  if (address.port == 0)
    return json_string ("-");
  burdock_address_format (address, text, sizeof text);
  return json_string (text);
}

static const char *
state_name (uint32_t state)
{
  static const char *const names[] = {
    [BURDOCK_MEMBER_ALIVE] = "alive",
    [BURDOCK_MEMBER_SUSPECT] = "suspect",
    [BURDOCK_MEMBER_LEAVING] = "leaving",
    [BURDOCK_MEMBER_REMOVED] = "removed",
  };

  if (state >= sizeof names / sizeof names[0] || names[state] == NULL)
    return "unknown";
  return names[state];
}

static json_t *
record_json (const BurdockMemberRecord *record)
{
  json_t *member =
      json_pack ("{s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:I}", "name", record->name,
                 "role", record->role == BURDOCK_ROLE_ENTRY ? "entry" : "agent", "state",
                 state_name (record->state), "failure_domain", record->failure_domain,
                 "pool", record->pool, "group", record->group, "rank", (int)record->rank,
                 "capacity", (int)record->capacity, "generation",
                 (json_int_t)record->generation);

  json_object_set_new (member, "id", id_json (record->id));
  json_object_set_new (member, "incarnation", id_json (record->incarnation));
  json_object_set_new (member, "control", address_json (record->control_address));
  json_object_set_new (member, "traffic", address_json (record->traffic_address));
  json_object_set_new (member, "http", address_json (record->http_address));
  return member;
}

static json_t *
self_json (const BurdockCore *core)
{
  BurdockMemberRecord record = burdock_blackboard_own_record (&core->board, 0);

  return record_json (&record);
}

static char *
report_members (BurdockCore *core)
{
  const BurdockMembers *members = &core->board.members;
  uint64_t now_us = burdock_core_now (core);
  json_t *list = json_array ();

  for (uint32_t i = 0; i < members->count; i++) {
    const BurdockMemberEntry *entry = &members->items[i];
    json_t *member = record_json (&entry->record);

    json_object_set_new (member, "running", json_integer (entry->running));
    json_object_set_new (member, "queued", json_integer (entry->queued));
    if (entry->last_heartbeat_us > 0)
      json_object_set_new (
          member, "heard_ms_ago",
          json_integer ((json_int_t)((now_us - entry->last_heartbeat_us) / US_PER_MS)));
    json_array_append_new (list, member);
  }
  return dump (json_pack ("{s:o, s:o}", "self", self_json (core), "members", list));
}

static char *
report_groups (BurdockCore *core)
{
  const BurdockGroups *groups = &core->board.groups;
  json_t *list = json_array ();

  for (uint32_t i = 0; i < groups->count; i++) {
    const BurdockGroupView *group = &groups->items[i];

    json_array_append_new (
        list,
        json_pack ("{s:s, s:b, s:I, s:I, s:i, s:I, s:I, s:I, s:I, s:i, s:I, s:I}", "name",
                   group->name, "coordinating", (int)group->coordinating, "map_epoch",
                   (json_int_t)group->map_epoch, "step", (json_int_t)group->step,
                   "skew_us", (int)group->skew_us, "switches",
                   (json_int_t)group->switches, "aborts", (json_int_t)group->aborts,
                   "moves", (json_int_t)group->moves, "moved_bytes",
                   (json_int_t)group->moved_bytes, "planned_skew_permille",
                   (int)group->planned_skew_permille, "pauses", (json_int_t)group->pauses,
                   "pause_us", (json_int_t)group->pause_us));
  }
  return dump (json_pack ("{s:s, s:o}", "instance", core->board.self.settings.name,
                          "groups", list));
}

static char *
report_leases (BurdockCore *core)
{
  const BurdockLeases *leases = &core->board.leases;
  uint64_t now_us = burdock_core_now (core);
  json_t *list = json_array ();

  for (uint32_t i = 0; i < leases->count; i++) {
    const BurdockLease *lease = &leases->items[i];
    bool valid = lease->held && now_us < lease->valid_until_us;
    uint64_t left_us = valid ? lease->valid_until_us - now_us : 0;

    json_array_append_new (list,
                           json_pack ("{s:s, s:b, s:I, s:I}", "name", lease->name, "held",
                                      (int)valid, "fence", (json_int_t)lease->fence,
                                      "valid_ms", (json_int_t)(left_us / US_PER_MS)));
  }
  return dump (json_pack ("{s:s, s:o}", "instance", core->board.self.settings.name,
                          "leases", list));
}

static char *
report_config (BurdockCore *core)
{
  const BurdockConfigState *state = &core->board.config;
  char hash[BURDOCK_HASH_TEXT_BYTES];
  const char *body = state->body != NULL ? (const char *)state->body : "";

  burdock_config_hash_text (state->hash, hash);
  return dump (json_pack ("{s:s, s:I, s:s, s:b, s:s, s:b, s:s%}", "instance",
                          core->board.self.settings.name, "generation",
                          (json_int_t)state->generation, "hash",
                          state->generation > 0 ? hash : "", "learned",
                          (int)state->confirmed, "refusal",
                          burdock_reason_name (state->refusal), "store_available",
                          (int)burdock_store_available (core->store), "body", body,
                          (size_t)state->body_bytes));
}

static char *
report_timeline (BurdockCore *core)
{
  return burdock_timeline_json (core->timeline, core->board.self.settings.name);
}

/* @path is "WORKSPACE/BRANCH"; the branch may be empty. */
static char *
report_effective (BurdockCore *core, const char *path)
{
  const BurdockConfig *config = core->board.config.config;
  const char *slash = strchr (path, '/');
  char *workspace;
  char *text;

  if (slash == NULL)
    return NULL;
  if (config == NULL)
    return dump (json_pack ("{s:s}", "error", "no configuration is known"));
  workspace = strndup (path, (size_t)(slash - path));
  text = burdock_config_effective_json (config, workspace, slash + 1);
  free (workspace);
  return text;
}

char *
burdock_report_json (BurdockCore *core, const char *what)
{
  static const struct {
    const char *name;
    ReportFunction report;
  } reports[] = {
    { "members", report_members },   { "groups", report_groups },
    { "leases", report_leases },     { "config", report_config },
    { "timeline", report_timeline },
  };
  static const char effective[] = "effective/";

  if (strncmp (what, effective, strlen (effective)) == 0)
    return report_effective (core, what + strlen (effective));
  for (uint32_t i = 0; i < sizeof reports / sizeof reports[0]; i++) {
    if (strcmp (what, reports[i].name) == 0)
      return reports[i].report (core);
  }
  return NULL;
}
