/**
 * DOC: config-controller.c - distributes and confirms configuration generations
 *
 * A process learns of a new generation from the store (entries poll row config/current)
 * or from members: heartbeats and announcements name a generation, CONFIG_GET fetches its
 * body. A process that adopts a generation announces it at once to random members, which
 * distributes it by gossip. Submissions of operators are in config-submit.c.
 */
#include "config-controller.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define US_PER_S UINT64_C (1000000)

#define ROW_CURRENT "config/current"

/* Limit for all entries together, so that the poll period of an entry grows with their
 * number. In a small fleet an entry finds a change within a second by polling; in a fleet
 * of any size, the first entry to find it announces it to the others. */
#define POLL_READS_PER_S 50
#define POLL_PERIOD_MIN_US US_PER_S
#define POLL_DEADLINE_MS 2000
#define OBJECT_DEADLINE_MS 4000
#define FIRST_POLL_US US_PER_S

/* With 6 targets in each of 3 rounds and a message loss of 2 %, the probability that a
 * member of a fleet of 1,000 receives no announcement is below 1e-7. Heartbeats and polls
 * reach such a member. */
#define ANNOUNCE_FANOUT 6
#define ANNOUNCE_ROUNDS 3
#define ANNOUNCE_GAP_US (150 * US_PER_MS)

#define FETCH_RETRY_US (250 * US_PER_MS)

/* Retry period for a file that this version of the software cannot parse. A newer
 * generation is fetched at once. */
#define UNREADABLE_RETRY_US (5 * US_PER_S)

/* At this rate, half of 330 entries are queried within a second. While a system has no
 * configuration at all, no entry can answer, so the period grows after QUERY_ROUNDS. */
#define QUERY_PERIOD_US (250 * US_PER_MS)
#define QUERY_FANOUT 64
#define QUERY_ROUNDS 12
#define QUERY_SLOW_PERIOD_US (2 * US_PER_S)

/* A configuration change takes effect everywhere within 8 s. A process that cannot be
 * sure to have it by then refuses work. */
#define ISOLATED_AFTER_US (8 * US_PER_S)

/* A gap of PAUSE_GAP_US between ticks means that the process was paused. Frames that were
 * in the socket buffers by then do not prove that their senders are still reachable, so
 * nothing counts as contact until CONTACT_SETTLE_US later. */
#define PAUSE_GAP_US (2 * US_PER_S)
#define CONTACT_SETTLE_US (200 * US_PER_MS)

/* Limits of the store calls of the whole fleet, divided evenly among the entries, and the
 * minimum limits of one process; see docs/design.md. */
#define FLEET_READS_PER_S 1000.0
#define FLEET_WRITES_PER_S 150.0
#define PROCESS_READS_PER_S_MIN 2.0
#define PROCESS_WRITES_PER_S_MIN 1.0
#define STORE_QUEUE_LIMIT 1024
#define LIMITS_PERIOD_US (5 * US_PER_S)

typedef BurdockConfigController ConfigController;

static BurdockConfigState *
state_of (ConfigController *controller)
{
  return &controller->core->board.config;
}

static bool
same_address (BurdockAddress a, BurdockAddress b)
{
  return a.ipv4 == b.ipv4 && a.port == b.port;
}

static uint32_t
count_entries (const BurdockMembers *members)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < members->count; i++) {
    const BurdockMemberRecord *record = &members->items[i].record;

    count +=
        record->role == BURDOCK_ROLE_ENTRY && record->state != BURDOCK_MEMBER_REMOVED;
  }
  return count;
}

/* Returns the reason to refuse all work now. An entry without contact is isolated, as it
 * cannot know whether it is behind; other processes are only when known to be behind. */
static BurdockReason
current_refusal (ConfigController *controller, uint64_t now_us)
{
  const BurdockConfigState *state = state_of (controller);
  bool behind = controller->pending_generation > state->generation;

  if (state->config == NULL || !state->confirmed)
    return BURDOCK_REASON_NO_CONFIG;
  if (controller->is_entry && now_us > controller->last_contact_us + ISOLATED_AFTER_US)
    return BURDOCK_REASON_ISOLATED;
  if (behind && now_us > controller->behind_since_us + ISOLATED_AFTER_US)
    return BURDOCK_REASON_ISOLATED;
  return BURDOCK_REASON_NONE;
}

static void
update_refusal (ConfigController *controller)
{
  BurdockConfigState *state = state_of (controller);
  BurdockReason refusal =
      current_refusal (controller, burdock_core_now (controller->core));

  if (refusal == state->refusal)
    return;
  state->refusal = refusal;
  burdock_blackboard_touch (&controller->core->board);
  burdock_timeline_add (controller->core->timeline,
                        refusal == BURDOCK_REASON_NONE ? BURDOCK_LOG_INFO
                                                       : BURDOCK_LOG_WARNING,
                        BURDOCK_EVENT_REFUSAL, "work accepted or refused", "-",
                        controller->core->board.self.settings.name,
                        "reason %s, generation %llu", burdock_reason_name (refusal),
                        (unsigned long long)state->generation);
}

/* Called on every tick, at least once a second, and on every message and store result, as
 * these may be handled before the first tick after a pause. */
static void
detect_pause (ConfigController *controller, uint64_t now_us)
{
  if (now_us > controller->last_tick_us + PAUSE_GAP_US)
    controller->contact_valid_from_us = now_us + CONTACT_SETTLE_US;
  controller->last_tick_us = now_us;
}

void
burdock_config_record_contact (BurdockConfigController *controller)
{
  uint64_t now_us = burdock_core_now (controller->core);

  detect_pause (controller, now_us);
  if (now_us >= controller->contact_valid_from_us)
    controller->last_contact_us = now_us;
}

/* Marks the active generation as the newest one, unless a newer one is pending. */
static void
mark_confirmed (ConfigController *controller, const char *from)
{
  BurdockConfigState *state = state_of (controller);

  if (state->confirmed || state->generation < controller->pending_generation)
    return;
  state->confirmed = true;
  burdock_timeline_add (controller->core->timeline, BURDOCK_LOG_INFO,
                        BURDOCK_EVENT_GENERATION, "generation confirmed", "-",
                        controller->core->board.self.settings.name,
                        "generation %llu by %s", (unsigned long long)state->generation,
                        from);
  free (controller->confirmed_by);
  controller->confirmed_by = NULL;
  controller->confirmed_by_count = 0;
  controller->confirmed_by_allocated = 0;
}

void
burdock_config_confirm (BurdockConfigController *controller, uint64_t generation)
{
  if (state_of (controller)->generation >= generation)
    mark_confirmed (controller, "the store");
  update_refusal (controller);
}

/* Announcements and replies. */

/* Sends CONFIG_BODY for the active generation. Without the body it is an announcement, or
 * the reply to a request for a generation newer than the active one. */
static void
send_config_body (ConfigController *controller, BurdockAddress to, bool with_body)
{
  BurdockConfigState *state = state_of (controller);
  BurdockMessage *message = calloc (1, sizeof *message);

  message->header.type = BURDOCK_MSG_CONFIG_BODY;
  message->config_body = (BurdockConfigBodyMessage){
    .generation = state->generation,
    .confirmed = state->confirmed,
    .hash = { state->hash, BURDOCK_HASH_BYTES },
    .reply_to = controller->core->board.self.settings.control_address,
  };
  if (with_body)
    message->config_body.body = (BurdockBytes){ state->body, state->body_bytes };
  burdock_core_send (controller->core, to, message);
  free (message);
}

/* Sends an announcement to random members that are not known to have the generation. */
static void
announce (ConfigController *controller)
{
  const BurdockMembers *members = &controller->core->board.members;
  uint64_t generation = state_of (controller)->generation;
  uint32_t sent = 0;

  for (uint32_t tries = 0;
       tries < 4 * ANNOUNCE_FANOUT && sent < ANNOUNCE_FANOUT && members->count > 0;
       tries++) {
    const BurdockMemberRecord *record =
        &members->items[burdock_core_random (controller->core) % members->count].record;

    if (record->state == BURDOCK_MEMBER_REMOVED || record->generation >= generation)
      continue;
    send_config_body (controller, record->control_address, false);
    sent++;
  }
}

static void
start_announcing (ConfigController *controller)
{
  announce (controller);
  controller->announce_round = 1;
  controller->announce_due_us = burdock_core_now (controller->core) + ANNOUNCE_GAP_US;
}

int
burdock_config_adopt (BurdockConfigController *controller, uint64_t generation,
                      const uint8_t hash[BURDOCK_HASH_BYTES], BurdockBytes body)
{
  BurdockCore *core = controller->core;
  BurdockConfigState *state = &core->board.config;
  uint8_t found[BURDOCK_HASH_BYTES];
  BurdockConfig *parsed = NULL;
  BurdockError error = { .code = 0 };

  if (generation <= state->generation)
    return -ESTALE;
  burdock_config_hash (body, found);
  if (memcmp (found, hash, sizeof found) != 0)
    return -EBADMSG;
  if (burdock_config_parse ("configuration", body, &parsed, &error) < 0) {
    burdock_timeline_add_error (core->timeline, &error);
    controller->unreadable_generation = generation;
    return -EINVAL;
  }
  burdock_config_unref (state->config);
  free (state->body);
  state->config = parsed;
  state->body = malloc (body.length_bytes + 1);
  memcpy (state->body, body.data, body.length_bytes);
  state->body_bytes = body.length_bytes;
  memcpy (state->hash, found, sizeof state->hash);
  state->generation = generation;
  burdock_gauge (&core->counters, BURDOCK_COUNTER_GENERATION, generation);
  burdock_blackboard_touch (&core->board);
  burdock_timeline_add (core->timeline, BURDOCK_LOG_INFO, BURDOCK_EVENT_GENERATION,
                        "generation in force", "-", core->board.self.settings.name,
                        "generation %llu", (unsigned long long)generation);
  start_announcing (controller);
  controller->query_rounds = 0;
  return 0;
}

/* Fetching of bodies. */

/* Requests the body of @generation or a newer one. No member has UINT64_MAX, so the reply
 * to that has no body and only names the active generation of the peer. */
static void
send_config_get (ConfigController *controller, BurdockAddress to, uint64_t generation)
{
  BurdockMessage *message = calloc (1, sizeof *message);

  message->header.type = BURDOCK_MSG_CONFIG_GET;
  message->config_get = (BurdockConfigGetMessage){
    .generation = generation,
    .reply_to = controller->core->board.self.settings.control_address,
  };
  burdock_core_send (controller->core, to, message);
  free (message);
}

static void
object_get_done (void *ctx, const BurdockStoreResult *result)
{
  ConfigController *controller = ctx;

  controller->fetching_object = false;
  if (result->status < 0)
    return;
  burdock_config_record_contact (controller);
  burdock_config_adopt (controller, controller->pending_generation,
                        controller->pending_hash, result->value);
  burdock_config_confirm (controller, controller->pending_generation);
}

/* Requests the pending generation from a member that has it. If no such member is known,
 * an entry reads the body from the object store. */
static void
fetch_pending (ConfigController *controller, uint64_t now_us)
{
  char key[BURDOCK_HASH_TEXT_BYTES];

  controller->fetch_due_us = now_us + FETCH_RETRY_US;
  if (controller->unreadable_generation == controller->pending_generation)
    controller->fetch_due_us = now_us + UNREADABLE_RETRY_US;
  if (controller->source_count > 0) {
    send_config_get (
        controller,
        controller->sources[controller->next_source++ % controller->source_count],
        controller->pending_generation);
    return;
  }
  if (!controller->is_entry || controller->fetching_object)
    return;
  burdock_config_hash_text (controller->pending_hash, key);
  controller->fetching_object =
      burdock_store_object_get (controller->core->store, key, OBJECT_DEADLINE_MS,
                                object_get_done, controller) == 0;
}

static void
add_source (ConfigController *controller, BurdockAddress source)
{
  for (uint32_t i = 0; i < controller->source_count; i++) {
    if (same_address (controller->sources[i], source))
      return;
  }
  if (controller->source_count < BURDOCK_CONFIG_MAX_SOURCES)
    controller->sources[controller->source_count++] = source;
}

/* Called for every generation that a member or the store names. If it is newer than the
 * active one and not older than the pending one, it becomes the pending one; fetching
 * starts at once when it is seen for the first time. @source is NULL for the store. */
static void
observe_generation (ConfigController *controller, uint64_t generation,
                    const uint8_t *hash, const BurdockAddress *source)
{
  uint64_t now_us = burdock_core_now (controller->core);
  bool newer = generation > controller->pending_generation;

  if (generation <= state_of (controller)->generation ||
      generation < controller->pending_generation)
    return;
  if (newer) {
    if (controller->pending_generation <= state_of (controller)->generation)
      controller->behind_since_us = now_us;
    controller->pending_generation = generation;
    controller->source_count = 0;
    controller->next_source = 0;
  }
  if (hash != NULL)
    memcpy (controller->pending_hash, hash, BURDOCK_HASH_BYTES);
  if (source != NULL)
    add_source (controller, *source);
  if (newer || now_us >= controller->fetch_due_us)
    fetch_pending (controller, now_us);
}

/* Polling of the store. */

static uint64_t
poll_period (ConfigController *controller)
{
  uint64_t entries = count_entries (&controller->core->board.members) + 1;
  uint64_t period_us = entries * US_PER_S / POLL_READS_PER_S;

  if (period_us < POLL_PERIOD_MIN_US)
    period_us = POLL_PERIOD_MIN_US;
  return period_us - period_us / 8 +
         burdock_core_random (controller->core) % (period_us / 4 + 1);
}

static void
poll_done (void *ctx, const BurdockStoreResult *result)
{
  ConfigController *controller = ctx;
  BurdockConfigRow row = { .generation = 0 };

  controller->polling = false;
  if (result->status < 0 && result->status != -ENOENT)
    return;
  burdock_config_record_contact (controller);
  if (result->status == 0 && burdock_config_row_parse (result->value, &row) < 0) {
    burdock_timeline_add (controller->core->timeline, BURDOCK_LOG_ERROR,
                          BURDOCK_EVENT_FAULT, "read row config/current", "store", "-",
                          "the row is malformed");
    return;
  }
  state_of (controller)->row_version = result->status == 0 ? result->version : 0;
  if (row.generation > 0)
    observe_generation (controller, row.generation, row.hash, NULL);
  burdock_config_confirm (controller, row.generation);
}

static void
poll_row (ConfigController *controller, uint64_t now_us)
{
  if (!controller->is_entry || now_us < controller->poll_due_us)
    return;
  controller->poll_due_us = now_us + poll_period (controller);
  if (!controller->polling)
    controller->polling =
        burdock_store_get (controller->core->store, ROW_CURRENT, POLL_DEADLINE_MS,
                           poll_done, controller) == 0;
}

/* Startup without the store: more than half of the known entries must confirm that their
 * generation is the newest. */

static bool
has_confirmed (const ConfigController *controller, uint64_t id)
{
  for (uint32_t i = 0; i < controller->confirmed_by_count; i++) {
    if (controller->confirmed_by[i] == id)
      return true;
  }
  return false;
}

static bool
is_own_address (const ConfigController *controller, BurdockAddress address)
{
  return same_address (address, controller->core->board.self.settings.control_address);
}

/* A seed address counts as an entry until a member with this address is known, which is
 * then counted instead. */
static bool
is_unmatched_seed (const ConfigController *controller, uint32_t seed)
{
  const BurdockMembers *members = &controller->core->board.members;
  BurdockAddress address = controller->core->board.self.settings.seeds[seed];

  if (is_own_address (controller, address))
    return false;
  for (uint32_t i = 0; i < members->count; i++) {
    if (same_address (members->items[i].record.control_address, address))
      return false;
  }
  return true;
}

static uint32_t
count_known_entries (const ConfigController *controller)
{
  uint32_t count = count_entries (&controller->core->board.members);

  for (uint32_t i = 0; i < controller->core->board.self.settings.seed_count; i++)
    count += is_unmatched_seed (controller, i);
  return count;
}

static bool
is_entry (const ConfigController *controller, uint64_t id, BurdockAddress address)
{
  const BurdockSettings *settings = &controller->core->board.self.settings;
  const BurdockMemberEntry *member =
      burdock_members_find (&controller->core->board.members, id);

  if (member != NULL)
    return member->record.role == BURDOCK_ROLE_ENTRY &&
           member->record.state != BURDOCK_MEMBER_REMOVED;
  for (uint32_t i = 0; i < settings->seed_count; i++) {
    if (same_address (settings->seeds[i], address))
      return true;
  }
  return false;
}

static void
check_quorum (ConfigController *controller)
{
  const BurdockConfigState *state = state_of (controller);

  if (state->confirmed || state->generation == 0 || controller->confirmed_by_count == 0)
    return;
  if (2 * controller->confirmed_by_count > count_known_entries (controller))
    mark_confirmed (controller, "a majority of the known entries");
  update_refusal (controller);
}

static void
add_confirmation (ConfigController *controller, uint64_t id, BurdockAddress address)
{
  if (state_of (controller)->confirmed || has_confirmed (controller, id) ||
      !is_entry (controller, id, address))
    return;
  if (controller->confirmed_by_count == controller->confirmed_by_allocated) {
    controller->confirmed_by_allocated = controller->confirmed_by_allocated > 0
                                             ? 2 * controller->confirmed_by_allocated
                                             : QUERY_FANOUT;
    controller->confirmed_by =
        realloc (controller->confirmed_by,
                 controller->confirmed_by_allocated * sizeof *controller->confirmed_by);
  }
  controller->confirmed_by[controller->confirmed_by_count++] = id;
}

static void
query_seeds (ConfigController *controller)
{
  const BurdockSettings *settings = &controller->core->board.self.settings;

  for (uint32_t i = 0; i < settings->seed_count; i++) {
    if (is_unmatched_seed (controller, i))
      send_config_get (controller, settings->seeds[i], UINT64_MAX);
  }
}

/* Queries the generation of some of the entries that have not confirmed one. */
static void
query_entries (ConfigController *controller, uint64_t now_us)
{
  const BurdockMembers *members = &controller->core->board.members;
  uint32_t sent = 0;

  if (state_of (controller)->confirmed || now_us < controller->query_due_us)
    return;
  controller->query_due_us =
      now_us +
      (controller->query_rounds < QUERY_ROUNDS ? QUERY_PERIOD_US : QUERY_SLOW_PERIOD_US);
  controller->query_rounds++;
  query_seeds (controller);
  for (uint32_t i = 0; i < members->count && sent < QUERY_FANOUT; i++) {
    const BurdockMemberRecord *record =
        &members->items[controller->next_query++ % members->count].record;

    if (record->role != BURDOCK_ROLE_ENTRY || record->state == BURDOCK_MEMBER_REMOVED ||
        has_confirmed (controller, record->id))
      continue;
    send_config_get (controller, record->control_address, UINT64_MAX);
    sent++;
  }
}

/* Messages. */

static void
handle_heartbeat (ConfigController *controller, const BurdockHeartbeatMessage *heartbeat)
{
  if (heartbeat->config_hash.length_bytes == BURDOCK_HASH_BYTES)
    observe_generation (controller, heartbeat->config_generation,
                        heartbeat->config_hash.data, &heartbeat->self.control_address);
}

static void
handle_get (ConfigController *controller, const BurdockConfigGetMessage *get)
{
  const BurdockConfigState *state = state_of (controller);

  send_config_body (controller, get->reply_to,
                    state->generation > 0 && state->generation >= get->generation);
}

static void
handle_body (ConfigController *controller, const BurdockMessage *message)
{
  const BurdockConfigBodyMessage *body = &message->config_body;
  int status = -ESTALE;

  if (body->generation > 0 && body->hash.length_bytes == BURDOCK_HASH_BYTES) {
    if (body->body.length_bytes > 0)
      status = burdock_config_adopt (controller, body->generation, body->hash.data,
                                     body->body);
    if (status == -EBADMSG)
      burdock_timeline_add (controller->core->timeline, BURDOCK_LOG_ERROR,
                            BURDOCK_EVENT_FAULT, "take CONFIG_BODY", "-", "-",
                            "the body does not match its hash");
    observe_generation (controller, body->generation, body->hash.data, &body->reply_to);
  }
  if (body->confirmed && body->generation > 0)
    add_confirmation (controller, message->header.sender_id, body->reply_to);
  check_quorum (controller);
}

static bool
config_message (void *ctx, BurdockAddress from, const BurdockMessage *message)
{
  ConfigController *controller = ctx;
  bool handled = true;

  burdock_config_record_contact (controller);
  switch (message->header.type) {
  case BURDOCK_MSG_HEARTBEAT:
    handle_heartbeat (controller, &message->heartbeat);
    break;
  case BURDOCK_MSG_CONFIG_GET:
    handle_get (controller, &message->config_get);
    break;
  case BURDOCK_MSG_CONFIG_BODY:
    handle_body (controller, message);
    break;
  default:
    handled = false;
  }
  update_refusal (controller);
  return handled;
}

/* Ticks. */

static void
update_store_limits (ConfigController *controller, uint64_t now_us)
{
  double entries;
  double leases;
  BurdockStoreLimits limits = { .queue_limit = STORE_QUEUE_LIMIT };

  if (now_us < controller->limits_due_us)
    return;
  controller->limits_due_us = now_us + LIMITS_PERIOD_US;
  entries = 1.0 + count_entries (&controller->core->board.members);
  /* Each lease needs one write every two seconds, and the rate limit must not delay its
   * renewal. */
  leases = (double)controller->core->counters.values[BURDOCK_COUNTER_LEASES_HELD];
  limits.reads_per_s = FLEET_READS_PER_S / entries;
  limits.writes_per_s = FLEET_WRITES_PER_S / entries;
  if (limits.reads_per_s < PROCESS_READS_PER_S_MIN)
    limits.reads_per_s = PROCESS_READS_PER_S_MIN;
  if (limits.writes_per_s < PROCESS_WRITES_PER_S_MIN + leases)
    limits.writes_per_s = PROCESS_WRITES_PER_S_MIN + leases;
  burdock_store_set_limits (controller->core->store, &limits);
}

static uint64_t
earliest (uint64_t a, uint64_t b)
{
  return a < b ? a : b;
}

static uint64_t
config_tick (void *ctx, uint64_t now_us)
{
  ConfigController *controller = ctx;
  uint64_t next_us = now_us + US_PER_S;
  uint64_t isolated_us = controller->last_contact_us + ISOLATED_AFTER_US + 1;

  detect_pause (controller, now_us);
  update_store_limits (controller, now_us);
  poll_row (controller, now_us);
  query_entries (controller, now_us);
  if (controller->pending_generation > state_of (controller)->generation) {
    if (now_us >= controller->fetch_due_us)
      fetch_pending (controller, now_us);
    next_us = earliest (next_us, controller->fetch_due_us);
  }
  if (controller->announce_round > 0 && now_us >= controller->announce_due_us) {
    announce (controller);
    controller->announce_due_us = now_us + ANNOUNCE_GAP_US;
    controller->announce_round = (controller->announce_round + 1) % ANNOUNCE_ROUNDS;
  }
  check_quorum (controller);
  update_refusal (controller);
  if (controller->announce_round > 0)
    next_us = earliest (next_us, controller->announce_due_us);
  if (!state_of (controller)->confirmed)
    next_us = earliest (next_us, controller->query_due_us);
  if (controller->is_entry)
    next_us = earliest (next_us, controller->poll_due_us);
  return isolated_us > now_us ? earliest (next_us, isolated_us) : next_us;
}

static void
config_free (void *ctx)
{
  ConfigController *controller = ctx;

  burdock_config_submissions_free (controller);
  free (controller->confirmed_by);
  free (controller);
}

BurdockController
burdock_config_controller (BurdockCore *core, uint32_t index)
{
  ConfigController *controller = calloc (1, sizeof *controller);
  uint64_t now_us = burdock_core_now (core);

  controller->core = core;
  controller->is_entry = core->board.self.settings.role == BURDOCK_ROLE_ENTRY;
  controller->last_contact_us = now_us;
  controller->last_tick_us = now_us;
  /* The random delay spreads the first reads of processes that start at the same time. */
  controller->poll_due_us = now_us + burdock_core_random (core) % FIRST_POLL_US;
  controller->query_due_us = now_us;
  return (BurdockController){
    .name = "config",
    .ctx = controller,
    .tick = config_tick,
    .message = config_message,
    .free = config_free,
  };
}
