#include "gateway-evacuation.h"

#include "error.h"
#include "json-fields.h"
#include "log.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Bounds the memory for rows that another writer leaves; the set keeps fewer. */
#define ROWS_MAX 1024

/* The gateways read a change within this time of each other, unless a call to the store
 * has no answer; see CONFIG_CHANGES_DELAY_MS. */
#define EVACUATION_LAG_US UINT64_C (800000)

/* Rows or statements on their way to the traffic thread. */
struct BurdockGatewayEvacuationAnswer {
  BurdockGateway *gateway;
  BurdockEvacuationSource source;
  BurdockEvacuationAnswer answer;
  bool incomplete; /* there were too many rows */
  uint32_t capacity;
  BurdockEvacuationRow *rows;
};

typedef struct BurdockGatewayEvacuationAnswer Answer;

static Answer *
new_answer (BurdockGateway *gateway, BurdockEvacuationSource source)
{
  Answer *answer = calloc (1, sizeof *answer);

  if (answer == NULL)
    abort ();
  answer->gateway = gateway;
  answer->source = source;
  return answer;
}

static void
free_answer (Answer *answer)
{
  if (answer != NULL)
    free (answer->rows);
  free (answer);
}

static BurdockEvacuationRow *
add_row (Answer *answer)
{
  if (answer->answer.count == answer->capacity) {
    answer->capacity = answer->capacity * 2 + 4;
    answer->rows = realloc (answer->rows, answer->capacity * sizeof *answer->rows);
    if (answer->rows == NULL)
      abort ();
  }
  answer->rows[answer->answer.count] = (BurdockEvacuationRow){ 0 };
  return &answer->rows[answer->answer.count++];
}

/* Applies a change at once: what waits and what was not sent yet goes elsewhere. */
static void
apply (BurdockGateway *gateway)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  uint64_t era = gateway->control.store.era;
  const BurdockEvacuationItem *items;
  uint32_t count;

  items = burdock_evacuation_items (traffic->evacuation, &count);
  gateway->evacuation_era = era;
  gateway->evacuation_version = burdock_evacuation_version (traffic->evacuation, era);
  if (!traffic->evacuation_changed)
    return;
  traffic->evacuation_changed = false;
  burdock_balancer_set_evacuated (traffic->balancer, items, count,
                                  burdock_loop_now_us ());
  burdock_forward_withdraw_evacuated (gateway);
}

static void
merge_items (BurdockGateway *gateway, const Answer *answer, uint64_t now_us)
{
  for (uint32_t i = 0; i < answer->answer.count; i++)
    burdock_evacuation_merge (gateway->traffic.evacuation, &answer->rows[i].item, 1,
                              now_us);
}

/* Runs on the traffic thread. */
static void
receive (void *ctx)
{
  Answer *answer = ctx;
  BurdockGateway *gateway = answer->gateway;
  uint64_t now_us = burdock_loop_now_us ();
  uint32_t ignored = 0;

  answer->answer.rows = answer->rows;
  if (answer->source == BURDOCK_EVACUATION_STORE)
    ignored =
        burdock_evacuation_read (gateway->traffic.evacuation, &answer->answer, now_us);
  else
    merge_items (gateway, answer, now_us);
  if (ignored > 0)
    burdock_log (BURDOCK_LOG_WARNING, "read evacuation", "-",
                 "%u rows are ignored, at most %d failure domains can be evacuated",
                 ignored, BURDOCK_EVACUATION_ITEMS_MAX);
  free_answer (answer);
  apply (gateway);
}

static void
post_answer (Answer *answer)
{
  burdock_loop_post (answer->gateway->traffic.runtime.loop, receive, answer);
}

void
burdock_gateway_evacuation_clear (BurdockGateway *gateway)
{
  free_answer (gateway->control.evacuation_answer);
  gateway->control.evacuation_answer = NULL;
}

void
burdock_gateway_evacuation_begin (BurdockGateway *gateway, uint64_t era)
{
  burdock_gateway_evacuation_clear (gateway);
  gateway->control.evacuation_answer = new_answer (gateway, BURDOCK_EVACUATION_STORE);
  gateway->control.evacuation_answer->answer.era = era;
}

const char *
burdock_gateway_evacuation_row (BurdockGateway *gateway, const BurdockTableRow *row)
{
  BurdockGatewayControl *control = &gateway->control;
  char failure_domain[BURDOCK_NAME_BYTES];
  BurdockEvacuationRow *added;
  int status = burdock_platform_decode_evacuation_key (row->key, failure_domain);

  if (status == -ENOENT)
    return NULL;
  if (status < 0)
    return "the key names no failure domain, the row is ignored";
  if (control->evacuation_answer == NULL)
    control->evacuation_answer = new_answer (gateway, BURDOCK_EVACUATION_STORE);
  if (control->evacuation_answer->answer.count == ROWS_MAX) {
    control->evacuation_answer->incomplete = true;
    return "there are too many rows about evacuations, it is ignored";
  }
  control->evacuation_answer->answer.era = row->era;
  added = add_row (control->evacuation_answer);
  added->item = (BurdockEvacuationItem){ .era = row->era,
                                         .version = row->version,
                                         .evacuated = !row->removed };
  memcpy (added->item.failure_domain, failure_domain, sizeof failure_domain);
  added->unreadable = !row->removed && !burdock_platform_is_evacuation (row->value);
  return added->unreadable ? "the evacuation is invalid and ignored" : NULL;
}

void
burdock_gateway_evacuation_end (BurdockGateway *gateway, bool listing)
{
  BurdockGatewayControl *control = &gateway->control;
  Answer *answer = control->evacuation_answer;

  if (answer == NULL)
    return;
  control->evacuation_answer = NULL;
  answer->answer.listing = listing && !answer->incomplete;
  answer->answer.version = burdock_table_watch_version (control->config_watch);
  post_answer (answer);
}

/* Another gateway has read a later change, so the answer was probably lost. */
uint64_t
burdock_gateway_evacuation_check (BurdockGateway *gateway, uint64_t now_us)
{
  BurdockGatewayControl *control = &gateway->control;
  uint64_t version = burdock_table_watch_version (control->config_watch);
  bool behind = control->config_listed && gateway->evacuation_era == control->store.era &&
                gateway->evacuation_version > version;
  uint64_t due_us;

  if (!burdock_store_lag_is_due (&control->evacuation_lag, behind, EVACUATION_LAG_US,
                                 now_us, &due_us))
    return due_us;
  burdock_log (BURDOCK_LOG_WARNING, "evacuation behind", "-",
               "version %" PRIu64 ", another gateway has read %" PRIu64
               "; calling the store again",
               version, gateway->evacuation_version);
  burdock_table_watch_call_again (control->config_watch, EVACUATION_LAG_US, now_us);
  return due_us;
}

void
burdock_gateway_evacuation_take_over (BurdockGateway *gateway, const json_t *list)
{
  Answer *answer = new_answer (gateway, BURDOCK_EVACUATION_GATEWAY);
  size_t index;
  const json_t *value;

  json_array_foreach (list, index, value)
  {
    const char *name = json_string_value (json_object_get (value, "failureDomain"));
    BurdockEvacuationItem item = {
      .era = burdock_json_u64 (value, "era"),
      .version = burdock_json_u64 (value, "version"),
      .evacuated = json_is_true (json_object_get (value, "evacuated")),
    };

    if (name != NULL && index < BURDOCK_EVACUATION_ITEMS_MAX &&
        burdock_copy_text (item.failure_domain, sizeof item.failure_domain, name))
      add_row (answer)->item = item;
  }
  post_answer (answer);
}

json_t *
burdock_gateway_evacuation_encode (const BurdockGatewayTraffic *traffic)
{
  json_t *list = json_array ();
  const BurdockEvacuationItem *items;
  uint32_t count;

  items = burdock_evacuation_items (traffic->evacuation, &count);
  for (uint32_t i = 0; i < count; i++)
    json_array_append_new (list, json_pack ("{s:s,s:I,s:I,s:b}", "failureDomain",
                                            items[i].failure_domain, "era",
                                            (json_int_t)items[i].era, "version",
                                            (json_int_t)items[i].version, "evacuated",
                                            items[i].evacuated));
  return list;
}

static void
log_change (void *ctx, const BurdockEvacuationItem *item, BurdockEvacuationSource source)
{
  BurdockGateway *gateway = ctx;
  uint32_t upstreams =
      burdock_balancer_domain_count (gateway->traffic.balancer, item->failure_domain);

  gateway->traffic.evacuation_changed = true;
  burdock_log (BURDOCK_LOG_WARNING,
               item->evacuated ? "failure domain evacuated" : "evacuation ended",
               item->failure_domain,
               "from %s version %" PRIu64 " era %" PRIu64 " upstreams %u",
               source == BURDOCK_EVACUATION_STORE ? "the store" : "another gateway",
               item->version, item->era, upstreams);
}

void
burdock_gateway_evacuation_init (BurdockGateway *gateway)
{
  BurdockEvacuationHandler handler = { .ctx = gateway, .changed = log_change };

  gateway->traffic.evacuation = burdock_evacuation_new (gateway->id, &handler);
}

bool
burdock_gateway_evacuation_merge (BurdockGateway *gateway, const BurdockMessage *message)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  uint64_t now_us = burdock_loop_now_us ();
  bool behind = burdock_evacuation_merge (traffic->evacuation, message->evacuation.items,
                                          message->evacuation.item_count, now_us);

  apply (gateway);
  burdock_loop_post (gateway->control.runtime.loop, burdock_gateway_control_wake,
                     gateway);
  return behind &&
         burdock_evacuation_is_answerer (traffic->evacuation, message->header.sender_id,
                                         traffic->peer_count + 1, now_us);
}

bool
burdock_gateway_evacuation_tell (BurdockGateway *gateway)
{
  BurdockEvacuationMessage *message = &gateway->traffic.outgoing.evacuation;
  const BurdockEvacuationItem *items;

  items = burdock_evacuation_items (gateway->traffic.evacuation, &message->item_count);
  memcpy (message->items, items, message->item_count * sizeof *items);
  return message->item_count > 0;
}

void
burdock_gateway_evacuation_share (BurdockGateway *gateway, uint64_t now_us)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;

  if (burdock_evacuation_is_share_due (traffic->evacuation, traffic->peer_count + 1,
                                       now_us) &&
      burdock_gateway_evacuation_tell (gateway))
    burdock_gateway_send_to_peers (gateway, BURDOCK_MSG_EVACUATION);
}
