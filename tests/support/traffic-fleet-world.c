#include "traffic-fleet-private.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Connections */

/* The number of tokens and their texts follow from the number of the call, so that the
 * caller can check them. */
static uint32_t
token_total (uint32_t call)
{
  return 1 + call * UINT32_C (2654435761) % 9;
}

static void
token_text (uint32_t call, uint32_t index, char out[16])
{
  snprintf (out, 16, "%x.", call * 31 + index);
}

void
fleet_break_connection (Fleet *fleet, uint32_t entry, uint32_t agent)
{
  Connection *connection = &fleet->connections[entry][agent];

  if (connection->epoch % 2 == 0)
    return;
  connection->epoch++;
  connection->broken = true;
  fleet_schedule (fleet,
                  (Event){ .due_us = fleet->now_us +
                                     fleet_random_below (fleet, 50 * TRAFFIC_US_PER_MS),
                           .kind = EVENT_DISCONNECT,
                           .node = entry,
                           .peer = ENTRIES + agent,
                           .epoch = fleet->nodes[entry].epoch,
                           .value = true });
  fleet_schedule (fleet,
                  (Event){ .due_us = fleet->now_us +
                                     fleet_random_below (fleet, 50 * TRAFFIC_US_PER_MS),
                           .kind = EVENT_DISCONNECT,
                           .node = ENTRIES + agent,
                           .peer = entry,
                           .epoch = fleet->nodes[ENTRIES + agent].epoch });
}

/* Returns true if the connection is open or could be opened, false if frames are lost. */
static bool
ensure_open (Fleet *fleet, uint32_t entry, uint32_t agent)
{
  Connection *connection = &fleet->connections[entry][agent];

  if (connection->epoch % 2 == 1)
    return true;
  if (connection->broken)
    return false;
  if (fleet->nodes[ENTRIES + agent].executor != NULL && !fleet_chance (fleet, 20)) {
    connection->epoch++;
    return true;
  }
  connection->broken = true;
  fleet_schedule (fleet, (Event){ .due_us = fleet->now_us + 5 * TRAFFIC_US_PER_MS,
                                  .kind = EVENT_DISCONNECT,
                                  .node = entry,
                                  .peer = ENTRIES + agent,
                                  .epoch = fleet->nodes[entry].epoch,
                                  .value = false });
  return false;
}

static void
save_recent_frame (Fleet *fleet, const Event *event)
{
  uint32_t at = fleet->recent_count++ % RECENT_MAX;

  if (event->length_bytes > RECENT_BYTES)
    return;
  fleet->recent[at] = *event;
  memcpy (fleet->recent_data[at], event->data, event->length_bytes);
}

/* Returns the copy of a frame to deliver, altered if the defect of this run requires it.
 */
static uint8_t *
copy_or_alter_frame (Fleet *fleet, const uint8_t *frame, uint32_t *length_bytes)
{
  BurdockMessage message;
  BurdockError error;
  uint8_t *copy = malloc (*length_bytes);
  uint8_t *altered;
  FleetDefect defect = fleet->defect;

  memcpy (copy, frame, *length_bytes);
  burdock_message_decode (copy, *length_bytes, &(BurdockFrameKeys){ 0 }, &message,
                          &error);
  if (defect == FLEET_CORRUPT_TOKENS && message.header.type == BURDOCK_MSG_TOKEN) {
    message.token.text = (BurdockBytes){ (const uint8_t *)"altered", 7 };
  } else if (defect == FLEET_FALSE_REFUSALS &&
             message.header.type == BURDOCK_MSG_ATTEMPT_DONE) {
    BurdockAttemptDoneMessage done = message.attempt_done;

    message.header.type = BURDOCK_MSG_ATTEMPT_REFUSED;
    message.attempt_refused =
        (BurdockAttemptRefusedMessage){ .request_id = done.request_id,
                                        .attempt = done.attempt,
                                        .reason = BURDOCK_REASON_STALE_GENERATION,
                                        .generation = UINT32_MAX };
  } else if (defect == FLEET_RENUMBER_ATTEMPTS &&
             message.header.type == BURDOCK_MSG_ATTEMPT) {
    message.attempt.attempt += 1000;
  } else {
    return copy;
  }
  if (fleet_chance (fleet, 900))
    return copy;
  burdock_message_encode (&message, &(BurdockFrameKeys){ 0 }, &altered, length_bytes);
  free (copy);
  return altered;
}

int
fleet_send_frame (void *ctx, BurdockAddress to, const uint8_t *frame,
                  uint32_t length_bytes)
{
  Node *node = ctx;
  Fleet *fleet = node->fleet;
  bool from_entry = node->executor == NULL && node->index < ENTRIES;
  uint32_t entry = from_entry ? node->index : to.ipv4;
  uint32_t agent = (from_entry ? to.ipv4 : node->index) - ENTRIES;
  Connection *connection = &fleet->connections[entry][agent];
  Event event = { .kind = EVENT_FRAME, .node = to.ipv4, .peer = node->index };

  if (from_entry && fleet_chance (fleet, 5))
    return -ENOBUFS;
  if (!from_entry && connection->epoch % 2 == 0)
    return -ENOTCONN;
  if (!ensure_open (fleet, entry, agent))
    return 0;
  event.due_us = fleet->now_us + TRAFFIC_US_PER_MS +
                 fleet_random_below (fleet, 5 * TRAFFIC_US_PER_MS);
  if (event.due_us <= connection->last_us[from_entry])
    event.due_us = connection->last_us[from_entry] + 1;
  connection->last_us[from_entry] = event.due_us;
  event.epoch = connection->epoch;
  event.length_bytes = length_bytes;
  event.data = copy_or_alter_frame (fleet, frame, &event.length_bytes);
  save_recent_frame (fleet, &event);
  fleet_schedule (fleet, event);
  if (fleet->defect == FLEET_RENUMBER_ATTEMPTS) {
    event.length_bytes = length_bytes;
    event.data = copy_or_alter_frame (fleet, frame, &event.length_bytes);
    fleet_schedule (fleet, event);
  }
  return 0;
}

static void
record_attempt_generation (Fleet *fleet, const Event *event)
{
  BurdockMessage message;
  BurdockError error;
  int status = burdock_message_decode (event->data, event->length_bytes,
                                       &(BurdockFrameKeys){ 0 }, &message, &error);

  if (status == 0 && message.header.type == BURDOCK_MSG_ATTEMPT)
    fleet->attempt_generation = message.attempt.generation;
}

void
fleet_handle_frame (Fleet *fleet, const Event *event)
{
  Node *node = &fleet->nodes[event->node];
  uint32_t entry = event->node < ENTRIES ? event->node : event->peer;
  uint32_t agent = event->node + event->peer - entry - ENTRIES;

  if (event->kind == EVENT_FRAME &&
      fleet->connections[entry][agent].epoch != event->epoch)
    return;
  record_attempt_generation (fleet, event);
  if (node->dispatcher != NULL)
    burdock_dispatcher_receive (node->dispatcher, (BurdockAddress){ event->peer, 1 },
                                event->data, event->length_bytes);
  else if (node->executor != NULL)
    burdock_executor_receive (node->executor, (BurdockAddress){ event->peer, 1 },
                              event->data, event->length_bytes);
}

void
fleet_handle_disconnect (Fleet *fleet, const Event *event)
{
  Node *node = &fleet->nodes[event->node];

  if (node->epoch != event->epoch)
    return;
  if (event->node < ENTRIES)
    fleet->connections[event->node][event->peer - ENTRIES].broken = false;
  if (node->dispatcher != NULL)
    burdock_dispatcher_peer_lost (node->dispatcher, (BurdockAddress){ event->peer, 1 },
                                  event->value);
  else if (node->executor != NULL)
    burdock_executor_peer_lost (node->executor, (BurdockAddress){ event->peer, 1 });
}

/* Engines */

static uint32_t
read_call_number (BurdockBytes body)
{
  uint32_t call = 0;

  memcpy (&call, body.data, sizeof call);
  return call;
}

static void
check_execution_start (Fleet *fleet, const Node *node, const Call *call, uint32_t number)
{
  if (node->leave_notice_us != 0 && node->leave_notice_us + DRAIN_US < fleet->now_us)
    fleet_record_violation (fleet, FLEET_RULE_DRAIN,
                            "execution started at a leaving agent", number);
  if (fleet->attempt_generation < node->announced_generation)
    fleet_record_violation (fleet, FLEET_RULE_GENERATION,
                            "started by an older generation", number);
  fleet->key_call[call->key] = number;
  if (!call->idempotent && ++fleet->key_executions[call->key] > 1)
    fleet_record_violation (fleet, FLEET_RULE_ONCE, "key executed again", call->key);
}

static void
schedule_engine_event (Fleet *fleet, const Node *node, uint64_t id,
                       BurdockEngineEventKind kind, int status, uint64_t delay_us)
{
  fleet_schedule (fleet,
                  (Event){ .due_us = fleet->now_us + delay_us,
                           .kind = EVENT_ENGINE,
                           .node = node->index,
                           .epoch = node->epoch,
                           .engine = { .id = id, .kind = kind, .status = status } });
}

static void
cancel_execution (Fleet *fleet, const Node *node, uint64_t id)
{
  for (uint32_t i = 0; i < fleet->execution_count; i++) {
    Execution *execution = &fleet->executions[i];

    /* Half of the cancels arrive too late to have an effect. */
    if (execution->agent != node->index || execution->epoch != node->epoch ||
        execution->id != id || execution->over || fleet_chance (fleet, 500))
      continue;
    execution->over = true;
    schedule_engine_event (fleet, node, id, BURDOCK_ENGINE_EVENT_FAILED, -ECANCELED,
                           fleet_random_below (fleet, 30 * TRAFFIC_US_PER_MS));
  }
}

int
fleet_call_engine (void *ctx, const BurdockEngineCall *call)
{
  Node *node = ctx;
  Fleet *fleet = node->fleet;
  uint32_t number;

  if (call->op == BURDOCK_ENGINE_CANCEL) {
    cancel_execution (fleet, node, call->target_id);
    return 0;
  }
  number = read_call_number (call->body);
  if (fleet_chance (fleet, 20))
    return -EHOSTUNREACH;
  if (fleet_chance (fleet, 40)) {
    schedule_engine_event (fleet, node, call->id, BURDOCK_ENGINE_EVENT_FAILED,
                           fleet_chance (fleet, 500) ? -ECONNREFUSED : -EAGAIN,
                           10 * TRAFFIC_US_PER_MS);
    return 0;
  }
  if (fleet->execution_count == EXECUTIONS_MAX)
    return -ENOSPC;
  check_execution_start (fleet, node, &fleet->calls[number], number);
  fleet->calls[number].executions++;
  fleet->result.resumed += call->resume_from > 0;
  fleet->executions[fleet->execution_count] =
      (Execution){ .agent = node->index,
                   .epoch = node->epoch,
                   .id = call->id,
                   .call = number,
                   .index = call->resume_from,
                   .service = call->op == BURDOCK_ENGINE_CALL };
  fleet_schedule (fleet, (Event){ .due_us = fleet->now_us + 20 * TRAFFIC_US_PER_MS,
                                  .kind = EVENT_EXECUTION,
                                  .node = node->index,
                                  .epoch = node->epoch,
                                  .value = fleet->execution_count++ });
  return 0;
}

void
fleet_handle_execution (Fleet *fleet, const Event *event)
{
  Node *node = &fleet->nodes[event->node];
  Execution *execution = &fleet->executions[event->value];
  BurdockEngineEvent out = { .id = execution->id, .kind = BURDOCK_ENGINE_EVENT_TOKEN };
  char text[16];

  if (execution->over || fleet_chance (fleet, 10)) /* the engine hangs */
    return;
  if (node->epoch != execution->epoch || node->executor == NULL)
    return;
  token_text (execution->call, execution->index, text);
  out.body = (BurdockBytes){ (const uint8_t *)text, (uint32_t)strlen (text) };
  out.index = execution->index++;
  out.token_count = out.index;
  if (fleet_chance (fleet, 15)) {
    out.kind = BURDOCK_ENGINE_EVENT_FAILED;
    out.status = -EIO;
  } else if (execution->service || out.index == token_total (execution->call)) {
    out.kind = BURDOCK_ENGINE_EVENT_DONE;
  }
  execution->over = out.kind != BURDOCK_ENGINE_EVENT_TOKEN;
  if (!execution->over) {
    Event next = *event;

    next.due_us = fleet->now_us + 5 * TRAFFIC_US_PER_MS +
                  fleet_random_below (fleet, 40 * TRAFFIC_US_PER_MS);
    fleet_schedule (fleet, next);
  }
  burdock_executor_engine_event (node->executor, &out);
}

/* Store */

static Row *
find_row (Fleet *fleet, const char *key)
{
  for (uint32_t i = 0; i < fleet->row_count; i++) {
    if (strcmp (fleet->rows[i].key, key) == 0)
      return &fleet->rows[i];
  }
  snprintf (fleet->rows[fleet->row_count].key, sizeof fleet->rows[0].key, "%s", key);
  return &fleet->rows[fleet->row_count++];
}

/* Writes the row if its version is the expected one; the event holds key, value and
 * expected version. */
static int
write_row (Fleet *fleet, const Event *event, uint64_t *version)
{
  Row *row = find_row (fleet, (const char *)event->data);

  *version = row->version;
  if (row->version != event->value && fleet->defect != FLEET_IGNORE_VERSIONS)
    return -EEXIST;
  snprintf (row->value, sizeof row->value, "%s",
            (const char *)event->data + sizeof row->key);
  *version = ++row->version;
  return 0;
}

static void
schedule_store_result (Fleet *fleet, const Event *event, int status, uint64_t version,
                       uint64_t delay_us)
{
  const Row *row = find_row (fleet, (const char *)event->data);
  Event answer = { .due_us = fleet->now_us + delay_us,
                   .kind = EVENT_STORE,
                   .node = event->node,
                   .epoch = event->epoch };

  answer.result = (BurdockStoreResult){ .id = event->result.id,
                                        .status = status,
                                        .version = version };
  if (status == -EEXIST) {
    answer.length_bytes = (uint32_t)strlen (row->value);
    answer.data = (uint8_t *)strdup (row->value);
  }
  fleet_schedule (fleet, answer);
}

int
fleet_call_store (void *ctx, const BurdockStoreCall *call)
{
  Node *node = ctx;
  Fleet *fleet = node->fleet;
  const BurdockStorePut *put = &call->puts[0];
  bool down = fleet->store_down_until_us > fleet->now_us;
  bool read = call->op == BURDOCK_STORE_ROW_GET;
  const char *key = read ? call->key : put->key;
  Event event = { .due_us =
                      fleet->now_us + fleet_random_below (fleet, 40 * TRAFFIC_US_PER_MS),
                  .kind = EVENT_WRITE,
                  .node = node->index,
                  .epoch = node->epoch,
                  .value = put->if_version,
                  .result = { .id = call->id, .op = call->op } };

  event.data = calloc (1, WRITE_BYTES);
  snprintf ((char *)event.data, sizeof fleet->rows[0].key, "%s", key);
  if (read) {
    const Row *row = find_row (fleet, key);

    /* The result is made now, so that it does not contain later writes. */
    schedule_store_result (fleet, &event,
                           down                ? -ETIMEDOUT
                           : row->version == 0 ? -ENOENT
                                               : 0,
                           row->version,
                           down ? TRAFFIC_US_PER_MS * call->timeout_ms
                                : 5 * TRAFFIC_US_PER_MS);
    free (event.data);
    return 0;
  }
  snprintf ((char *)event.data + sizeof fleet->rows[0].key, sizeof fleet->rows[0].value,
            "%.*s", (int)put->value.length_bytes, (const char *)put->value.data);
  if (down || fleet_chance (fleet, 30)) {
    /* The answer is a timeout; the write takes effect before it, after it, or never. */
    schedule_store_result (fleet, &event, -ETIMEDOUT, 0,
                           call->timeout_ms * TRAFFIC_US_PER_MS);
    event.status = -ETIMEDOUT;
    event.due_us +=
        fleet_random_below (fleet, TRAFFIC_US_PER_MS * call->timeout_ms * 2 + 1);
  }
  if (event.status == 0 || fleet_chance (fleet, 500))
    fleet_schedule (fleet, event);
  else
    free (event.data);
  return 0;
}

void
fleet_handle_write (Fleet *fleet, const Event *event)
{
  uint64_t version;
  int status = write_row (fleet, event, &version);

  if (event->status == 0)
    schedule_store_result (fleet, event, status, version,
                           fleet_random_below (fleet, 20 * TRAFFIC_US_PER_MS));
}

void
fleet_handle_store (Fleet *fleet, const Event *event)
{
  Node *node = &fleet->nodes[event->node];
  BurdockStoreResult result = event->result;

  if (node->epoch != event->epoch || node->dispatcher == NULL)
    return;
  result.value = (BurdockBytes){ event->data, event->length_bytes };
  burdock_dispatcher_store_done (node->dispatcher, &result);
}

/* Callers */

static void
check_delivery (Fleet *fleet, Call *call, uint32_t number,
                const BurdockDelivery *delivery)
{
  char text[16];

  token_text (number, delivery->index, text);
  if (delivery->kind == BURDOCK_DELIVERY_TOKEN &&
      (call->service || delivery->index != call->next_index++ ||
       delivery->body.length_bytes != strlen (text) ||
       memcmp (delivery->body.data, text, strlen (text)) != 0))
    fleet_record_violation (fleet, FLEET_RULE_COMPLETE, "wrong token", number);
  if (delivery->kind == BURDOCK_DELIVERY_END && !call->service &&
      (call->next_index != token_total (number) ||
       delivery->token_count != call->next_index))
    fleet_record_violation (fleet, FLEET_RULE_COMPLETE, "wrong number of tokens", number);
  token_text (fleet->key_call[call->key], 0, text);
  if (delivery->kind == BURDOCK_DELIVERY_END && call->service &&
      (delivery->body.length_bytes != strlen (text) ||
       memcmp (delivery->body.data, text, strlen (text)) != 0))
    fleet_record_violation (fleet, FLEET_RULE_COMPLETE, "wrong answer", number);
}

static void
submit_call (Fleet *fleet, Call call, uint64_t delay_us)
{
  if (fleet->call_count == CALLS_MAX || fleet->now_us + delay_us > CALLS_END_US)
    return;
  fleet->calls[fleet->call_count] =
      (Call){ .key = call.key,
              .entry = (uint32_t)fleet_random_below (fleet, ENTRIES),
              .idempotent = call.idempotent,
              .service = call.service };
  fleet_schedule (fleet, (Event){ .due_us = fleet->now_us + delay_us,
                                  .kind = EVENT_CALL,
                                  .value = fleet->call_count++ });
}

void
fleet_deliver (void *ctx, const BurdockDelivery *delivery)
{
  Node *node = ctx;
  Fleet *fleet = node->fleet;
  uint32_t number = (uint32_t)delivery->handle;
  Call *call = &fleet->calls[number];
  uint64_t due_us = call->deadline_us > node->paused_until_us ? call->deadline_us
                                                              : node->paused_until_us;

  fleet->result.trace = fleet->result.trace * UINT64_C (0x100000001b3) ^
                        (fleet->now_us + delivery->handle * 8 + delivery->kind);
  if (fleet->now_us > due_us + END_GRACE_US)
    fleet_record_violation (fleet, FLEET_RULE_ENDS, "late delivery", number);
  if (call->ends > 0 || call->cancelled)
    fleet_record_violation (fleet, FLEET_RULE_ENDS, "delivery after the end", number);
  check_delivery (fleet, call, number, delivery);
  if (delivery->kind == BURDOCK_DELIVERY_TOKEN)
    return;
  if (fleet->defect == FLEET_LOSE_ENDS && fleet_chance (fleet, 10))
    return;
  call->ends++;
  call->kind = delivery->kind;
  call->ran = delivery->ran;
  fleet->result.answered += delivery->kind == BURDOCK_DELIVERY_END;
  fleet->result.broken += delivery->kind == BURDOCK_DELIVERY_BROKEN;
  fleet->result.not_run += delivery->ran == BURDOCK_RAN_NOT_RUN;
  fleet->result.unknown += delivery->ran == BURDOCK_RAN_UNKNOWN;
  if (!call->idempotent && fleet_chance (fleet, 500))
    submit_call (fleet, *call, fleet_random_below (fleet, 2 * TRAFFIC_US_PER_S));
}

void
fleet_handle_call (Fleet *fleet, const Event *event)
{
  uint32_t number = (uint32_t)event->value;
  Call *call = &fleet->calls[number];
  Node *node = &fleet->nodes[call->entry];
  BurdockRequest request = { .handle = number,
                             .workspace = "w",
                             .idempotent = call->idempotent,
                             .has_priority = true,
                             .priority = (BurdockPriority)fleet_random_below (fleet, 3),
                             .deadline_ms = DEADLINE_MS,
                             .body = { (const uint8_t *)&number, sizeof number } };

  snprintf (request.key, sizeof request.key, "key-%u", call->key);
  snprintf (call->service ? request.service : request.model, BURDOCK_NAME_BYTES, "%s",
            call->service ? TRAFFIC_SERVICE : TRAFFIC_MODEL);
  call->entry_epoch = node->epoch;
  call->deadline_us = fleet->now_us + DEADLINE_MS * TRAFFIC_US_PER_MS;
  call->cancelled = node->dispatcher == NULL;
  fleet->result.requests += !call->cancelled;
  if (!call->cancelled)
    burdock_dispatcher_submit (node->dispatcher, &request);
}

/* Submits a new request; for some of the non-idempotent ones, a second request with the
 * same key at any entry. Sometimes cancels one of the last ten requests. */
void
fleet_handle_new_calls (Fleet *fleet)
{
  uint32_t kind = (uint32_t)fleet_random_below (fleet, 10);
  Call call = { .key = fleet->key_count++, .idempotent = kind<5, .service = kind> 5 };

  submit_call (fleet, call, 0);
  if (!call.idempotent && fleet_chance (fleet, 200))
    submit_call (fleet, call, fleet_random_below (fleet, 30 * TRAFFIC_US_PER_MS));
  if (fleet->call_count > 0 && fleet_chance (fleet, 30)) {
    uint32_t number = fleet->call_count - 1 - (uint32_t)fleet_random_below (fleet, 10);

    if (number < fleet->call_count && fleet->calls[number].ends == 0 &&
        fleet->calls[number].deadline_us != 0 &&
        fleet->nodes[fleet->calls[number].entry].dispatcher != NULL) {
      fleet->calls[number].cancelled = true;
      burdock_dispatcher_cancel (fleet->nodes[fleet->calls[number].entry].dispatcher,
                                 number);
    }
  }
  if (fleet->now_us < CALLS_END_US)
    fleet_schedule (fleet,
                    (Event){ .due_us = fleet->now_us +
                                       fleet_random_below (fleet, 40 * TRAFFIC_US_PER_MS),
                             .kind = EVENT_CALL,
                             .value = UINT64_MAX });
}
