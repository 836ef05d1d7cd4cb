#include "sim-clients.h"

#include <apr_strings.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time after the deadline within which an entry must have reported the outcome. */
#define OVERDUE_MARGIN_US (5 * SIM_US_PER_S)
#define RESEND_DELAY_US (50 * SIM_US_PER_MS)
#define SABOTAGE_PERIOD 50 /* requests between two deliberate violations */

/** struct KeyState - what happened to all calls with the same request key */
typedef struct {
  uint32_t submissions;
  uint32_t refused_not_run;
  uint32_t executions;
  bool idempotent;
} KeyState;

/**
 * struct Call - submission of a request to an entry
 * @state: shared by all calls with this key
 * @entry_start_count: of the entry when the call was made; the call ends with that
 * process
 * @next_token_index: index that the next token must have
 * @service: call of the plain service instead of the model
 * @ended: the client knows the outcome
 */
typedef struct {
  char key[BURDOCK_REQUEST_KEY_BYTES];
  char prompt[64];
  KeyState *state;
  SimNode *entry;
  uint64_t entry_start_count;
  uint64_t started_us;
  uint32_t next_token_index;
  uint64_t prompt_hash;
  uint32_t workspace;
  bool service;
  bool ended;
} Call;

struct SimClients {
  Sim *sim;
  SimWorkload workload;
  SimClientCounts counts;
  void (*violation) (Sim *sim, const char *rule, const char *detail);
  uint64_t until_us;
  uint64_t next_key;
  apr_hash_t *keys;
  uint64_t call_count;
  uint64_t call_allocated;
  uint64_t first_pending;
  Call *calls;
};

typedef struct {
  uint64_t handle;
} ResendEvent;

static KeyState *
key_state (SimClients *clients, const char *key)
{
  KeyState *state = apr_hash_get (clients->keys, key, APR_HASH_KEY_STRING);

  if (state != NULL)
    return state;
  state = apr_pcalloc (clients->sim->pool, sizeof *state);
  apr_hash_set (clients->keys, apr_pstrdup (clients->sim->pool, key), APR_HASH_KEY_STRING,
                state);
  return state;
}

static SimNode *
pick_entry (Sim *sim)
{
  uint32_t start = (uint32_t)sim_random_below (sim, sim->node_count);

  for (uint32_t i = 0; i < sim->node_count; i++) {
    SimNode *node = sim->nodes[(start + i) % sim->node_count];

    if (node->alive && node->dispatcher != NULL && sim->now_us >= node->paused_until_us)
      return node;
  }
  return NULL;
}

static Call *
new_call (SimClients *clients)
{
  if (clients->call_count == clients->call_allocated) {
    clients->call_allocated = 2 * clients->call_allocated + 1024;
    clients->calls =
        realloc (clients->calls, clients->call_allocated * sizeof *clients->calls);
  }
  if (clients->calls == NULL)
    abort ();
  clients->calls[clients->call_count] = (Call){ 0 };
  return &clients->calls[clients->call_count++];
}

static void
submit (SimClients *clients, uint64_t handle)
{
  const SimWorkload *workload = &clients->workload;
  Call *call = &clients->calls[handle];
  BurdockRequest request = {
    .handle = handle,
    .priority = BURDOCK_PRIORITY_NORMAL,
    .idempotent = call->state->idempotent,
    .deadline_ms = workload->deadline_ms,
    .body = { (const uint8_t *)call->prompt, (uint32_t)strlen (call->prompt) },
  };

  snprintf (request.key, sizeof request.key, "%s", call->key);
  snprintf (request.workspace, sizeof request.workspace, "w%u", call->workspace);
  if (call->service) {
    snprintf (request.service, sizeof request.service, "%s", workload->service);
  } else {
    snprintf (request.model, sizeof request.model, "%s", workload->model);
    snprintf (request.version, sizeof request.version, "%s", workload->version);
  }
  call->state->submissions++;
  clients->counts.requests++;
  burdock_dispatcher_submit (call->entry->dispatcher, &request);
  sim_tick (clients->sim->nodes[clients->calls[handle].entry->index]);
}

/* Sends @original again through a random entry, or a new call if @original is NULL. */
static void
start_call (SimClients *clients, const Call *original)
{
  Sim *sim = clients->sim;
  SimNode *entry = pick_entry (sim);
  Call copy;
  Call *call;

  if (entry == NULL)
    return;
  /* new_call() may move the array that holds @original. */
  if (original != NULL)
    copy = *original;
  call = new_call (clients);
  if (original != NULL) {
    *call = copy;
    call->ended = false;
    call->next_token_index = 0;
  } else {
    call->service = sim_random_below (sim, 100) < clients->workload.services_per_cent;
    snprintf (call->key, sizeof call->key, "k%llu",
              (unsigned long long)clients->next_key++);
    snprintf (call->prompt, sizeof call->prompt, "prompt %llu",
              (unsigned long long)sim_random_below (sim, 100000));
    call->prompt_hash =
        sim_prompt_hash ((const uint8_t *)call->prompt, (uint32_t)strlen (call->prompt));
    call->workspace = (uint32_t)sim_random_below (sim, clients->workload.workspace_count);
    call->state = key_state (clients, call->key);
    call->state->idempotent = !call->service;
  }
  call->entry = entry;
  call->entry_start_count = entry->start_count;
  call->started_us = sim->now_us;
  submit (clients, clients->call_count - 1);
}

static void
resend (Sim *sim, void *data)
{
  SimClients *clients = sim->clients;

  start_call (clients, &clients->calls[((ResendEvent *)data)->handle]);
}

static void
resend_later (SimClients *clients, uint64_t handle)
{
  ResendEvent *again = malloc (sizeof *again);

  again->handle = handle;
  sim_schedule (clients->sim,
                clients->sim->now_us + sim_random_below (clients->sim, RESEND_DELAY_US),
                resend, again);
}

static void
handle_arrival (Sim *sim, void *data)
{
  SimClients *clients = sim->clients;
  uint64_t handle = clients->call_count;

  if (sim->now_us >= clients->until_us)
    return;
  sim_schedule (sim,
                sim->now_us +
                    sim_random_below (sim, 2 * clients->workload.mean_interarrival_us),
                handle_arrival, NULL);
  start_call (clients, NULL);
  if (clients->call_count > handle && clients->calls[handle].service &&
      sim_random_below (sim, 100) < clients->workload.resend_per_cent)
    resend_later (clients, handle);
}

static void
report_violation (SimClients *clients, const char *rule, const Call *call,
                  const char *reason)
{
  char detail[256];

  snprintf (detail, sizeof detail, "key %s at %s, index %u: %s", call->key,
            call->entry->settings.name, call->next_token_index, reason);
  clients->violation (clients->sim, rule, detail);
}

static bool
is_sabotaged (const SimClients *clients, const char *rule)
{
  return clients->workload.sabotage != NULL &&
         strcmp (clients->workload.sabotage, rule) == 0 &&
         clients->counts.requests % SABOTAGE_PERIOD == 0;
}

static void
check_token (SimClients *clients, Call *call, const BurdockDelivery *delivery)
{
  char text[32];

  if (is_sabotaged (clients, "complete-answer"))
    return;
  sim_token_text (call->prompt_hash + is_sabotaged (clients, "own-answer"),
                  delivery->index, text, sizeof text);
  if (delivery->index != call->next_token_index)
    report_violation (clients, "complete-answer", call, "token out of order");
  else if (delivery->body.length_bytes != strlen (text) ||
           memcmp (delivery->body.data, text, strlen (text)) != 0)
    report_violation (clients, "own-answer", call, "token of another answer");
  call->next_token_index++;
}

static void
check_answer (SimClients *clients, Call *call, const BurdockDelivery *delivery)
{
  char text[BURDOCK_REQUEST_KEY_BYTES + 8];

  clients->counts.answered++;
  if (!call->service) {
    if (call->next_token_index != sim_answer_tokens (call->prompt_hash))
      report_violation (clients, "complete-answer", call,
                        "end mark before the last token");
    return;
  }
  snprintf (text, sizeof text, "ran:%s", call->key);
  if (delivery->body.length_bytes != strlen (text) ||
      memcmp (delivery->body.data, text, strlen (text)) != 0)
    report_violation (clients, "own-answer", call, "answer of another request");
}

static void
check_refusal (SimClients *clients, Call *call, const BurdockDelivery *delivery)
{
  clients->counts.reasons[delivery->reason]++;
  if (delivery->kind == BURDOCK_DELIVERY_REFUSED && call->next_token_index > 0)
    report_violation (clients, "not-run", call, "refused after a token");
  if (delivery->ran != BURDOCK_RAN_NOT_RUN) {
    clients->counts.unknown++;
    return;
  }
  clients->counts.refused_not_run++;
  call->state->refused_not_run++;
  if (is_sabotaged (clients, "not-run"))
    sim_clients_execution_started (clients, call->key);
  if (call->state->refused_not_run == call->state->submissions &&
      call->state->executions > 0)
    report_violation (clients, "not-run", call, "refused as not run after it ran");
}

static void
handle_delivery (SimNode *node, const BurdockDelivery *delivery)
{
  SimClients *clients = node->sim->clients;
  Call *call = &clients->calls[delivery->handle];

  if (call->entry != node || call->entry_start_count != node->start_count) {
    report_violation (clients, "own-answer", call, "delivery at another entry");
    return;
  }
  if (call->ended) {
    report_violation (clients, "complete-answer", call, "delivery after the end");
    return;
  }
  if (delivery->kind == BURDOCK_DELIVERY_TOKEN) {
    check_token (clients, call, delivery);
    return;
  }
  if (is_sabotaged (clients, "answered"))
    return;
  call->ended = true;
  if (delivery->kind == BURDOCK_DELIVERY_END) {
    check_answer (clients, call, delivery);
    return;
  }
  if (delivery->kind == BURDOCK_DELIVERY_BROKEN)
    clients->counts.broken++;
  check_refusal (clients, call, delivery);
  if (call->service && delivery->ran == BURDOCK_RAN_UNKNOWN &&
      sim_random_below (clients->sim, 100) < clients->workload.resend_per_cent)
    resend_later (clients, delivery->handle);
}

SimClients *
sim_clients_new (Sim *sim, const SimWorkload *workload,
                 void (*violation) (Sim *sim, const char *rule, const char *detail))
{
  SimClients *clients = calloc (1, sizeof *clients);

  clients->sim = sim;
  clients->workload = *workload;
  clients->violation = violation;
  clients->keys = apr_hash_make (sim->pool);
  sim->clients = clients;
  sim->deliver = handle_delivery;
  return clients;
}

void
sim_clients_free (SimClients *clients)
{
  free (clients->calls);
  free (clients);
}

void
sim_clients_start (SimClients *clients, uint64_t until_us)
{
  clients->until_us = until_us;
  sim_schedule (clients->sim, clients->sim->now_us, handle_arrival, NULL);
}

void
sim_clients_execution_started (SimClients *clients, const char *key)
{
  KeyState *state = key_state (clients, key);

  state->executions++;
  if (!state->idempotent && state->executions > 1)
    clients->violation (clients->sim, "at-most-once", key);
  if (state->submissions > 0 && state->refused_not_run == state->submissions)
    clients->violation (clients->sim, "not-run", key);
}

void
sim_clients_entry_gone (SimClients *clients, const SimNode *node)
{
  for (uint64_t i = clients->first_pending; i < clients->call_count; i++) {
    Call *call = &clients->calls[i];

    if (call->ended || call->entry != node ||
        call->entry_start_count != node->start_count)
      continue;
    call->ended = true;
    clients->counts.cut++;
    if (!call->service || sim_random_below (clients->sim, 2) == 0)
      resend_later (clients, i);
  }
}

uint32_t
sim_clients_count_pending (const SimClients *clients, const SimNode *node)
{
  uint32_t pending = 0;

  for (uint64_t i = clients->first_pending; i < clients->call_count; i++) {
    const Call *call = &clients->calls[i];

    pending += !call->ended && call->entry == node &&
               call->entry_start_count == node->start_count;
  }
  return pending;
}

void
sim_clients_check_overdue (SimClients *clients)
{
  uint64_t limit_us = clients->workload.deadline_ms * SIM_US_PER_MS + OVERDUE_MARGIN_US;
  uint64_t now_us = clients->sim->now_us;

  while (clients->first_pending < clients->call_count &&
         clients->calls[clients->first_pending].ended)
    clients->first_pending++;
  for (uint64_t i = clients->first_pending; i < clients->call_count; i++) {
    Call *call = &clients->calls[i];

    if (call->ended || now_us < call->started_us + limit_us ||
        call->entry->paused_until_us + limit_us > now_us)
      continue;
    call->ended = true;
    report_violation (clients, "answered", call, "no outcome after the deadline");
  }
}

const SimClientCounts *
sim_clients_counts (const SimClients *clients)
{
  return &clients->counts;
}
