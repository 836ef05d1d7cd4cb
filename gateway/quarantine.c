#include "quarantine.h"

#include "hash.h"
#include "log.h"
#include "quarantine-row.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define US_PER_MS UINT64_C (1000)
#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define CHECK_TIMEOUT_MS 700

/* The gateway that saw the last crash stores the evidence. A few others do the same
 * later, in case it ended first. */
#define BACKUP_WRITERS 3
#define BACKUP_DELAY_MS 2000

/* After a restore of the store, no gateway is the one that saw the last crash. */
#define REWRITERS 6
#define REWRITE_PARTS_MAX 48

/* Evidence on its way to the other thread. */
typedef struct {
  BurdockGateway *gateway;
  uint64_t due_us;
  BurdockQuarantineRow row;
} Evidence;

static uint64_t
wall_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_REALTIME, &now);
  return (uint64_t)now.tv_sec * MS_PER_S + (uint64_t)now.tv_nsec / NS_PER_MS;
}

static Evidence *
new_evidence (BurdockGateway *gateway, uint64_t part)
{
  Evidence *evidence = calloc (1, sizeof *evidence);

  if (evidence == NULL)
    abort ();
  evidence->gateway = gateway;
  evidence->row.part = part;
  return evidence;
}

/* Runs on the control thread. */
static void
store_evidence (void *ctx)
{
  Evidence *evidence = ctx;
  BurdockRowWriter *writer = evidence->gateway->control.quarantine_writer;
  const BurdockQuarantineRow *row = &evidence->row;
  char *text = row->count > 0 ? burdock_quarantine_row_encode (row, wall_ms ()) : NULL;
  BurdockBytes value = { (const uint8_t *)text,
                         text != NULL ? (uint32_t)strlen (text) : 0 };
  char key[BURDOCK_QUARANTINE_KEY_BYTES];

  burdock_quarantine_row_key (row->part, key);
  if (burdock_row_writer_put (writer, key, value, evidence->due_us) < 0)
    burdock_log (BURDOCK_LOG_WARNING, "write row", "-",
                 "too many rows are waiting, part %s is not stored", key);
  free (text);
  free (evidence);
}

/* Runs on the traffic thread. */
static void
merge_evidence (void *ctx)
{
  Evidence *evidence = ctx;

  burdock_part_quarantine_merge (evidence->gateway->traffic.quarantine,
                                 evidence->row.items, evidence->row.count,
                                 burdock_loop_now_us ());
  free (evidence);
}

static void
mark_loaded (void *ctx)
{
  BurdockGateway *gateway = ctx;

  gateway->traffic.quarantine_loaded = true;
}

const char *
burdock_gateway_quarantine_row (void *ctx, const BurdockTableRow *row)
{
  BurdockGateway *gateway = ctx;
  Evidence *evidence = new_evidence (gateway, 0);

  if (row->value.data == NULL ||
      burdock_quarantine_row_decode (row->key, row->value, wall_ms (), &evidence->row) <
          0) {
    free (evidence);
    return "the evidence is invalid and ignored";
  }
  if (burdock_part_quarantine_is_outdated (evidence->row.items, evidence->row.count)) {
    evidence->row.count = 0;
    evidence->due_us = burdock_loop_now_us ();
    store_evidence (evidence);
    return NULL;
  }
  burdock_loop_post (gateway->traffic.runtime.loop, merge_evidence, evidence);
  return NULL;
}

void
burdock_gateway_quarantine_listed (void *ctx, bool listing)
{
  BurdockGateway *gateway = ctx;

  if (!listing || gateway->control.quarantine_listed)
    return;
  gateway->control.quarantine_listed = true;
  burdock_loop_post (gateway->traffic.runtime.loop, mark_loaded, gateway);
}

/* Whether this gateway is one of about @writers that store the evidence about @part. */
static bool
is_writer (const BurdockGateway *gateway, uint64_t part, uint32_t writers)
{
  uint64_t rank = burdock_hash_mix (burdock_hash_pair (part, gateway->id));
  uint32_t gateways = gateway->traffic.peer_count + 1;

  return burdock_hash_unit (rank) * gateways < writers;
}

static uint64_t
backup_delay_us (const BurdockGateway *gateway, uint64_t part)
{
  uint64_t rank = burdock_hash_pair (part, gateway->id);

  return (BACKUP_DELAY_MS + rank % BACKUP_DELAY_MS) * US_PER_MS;
}

static void
post_evidence (BurdockGateway *gateway, uint64_t part, uint64_t delay_us)
{
  uint64_t now_us = burdock_loop_now_us ();
  Evidence *evidence = new_evidence (gateway, part);

  evidence->due_us = now_us + delay_us;
  evidence->row.count =
      burdock_part_quarantine_evidence (gateway->traffic.quarantine, part, now_us,
                                        evidence->row.items);
  burdock_loop_post (gateway->control.runtime.loop, store_evidence, evidence);
}

static void
part_changed (void *ctx, const BurdockPartStatus *status)
{
  BurdockGateway *gateway = ctx;

  burdock_log (BURDOCK_LOG_WARNING,
               status->quarantined ? "part quarantined" : "part released", "-",
               "%s %016" PRIx64 " crashes %u local %d",
               status->request ? "request" : "part", status->part, status->crashes,
               status->local);
  if (status->local)
    post_evidence (gateway, status->part, 0);
  else if (status->quarantined && is_writer (gateway, status->part, BACKUP_WRITERS))
    post_evidence (gateway, status->part, backup_delay_us (gateway, status->part));
}

void
burdock_gateway_quarantine_store_again (void *ctx)
{
  BurdockGateway *gateway = ctx;
  uint64_t parts[REWRITE_PARTS_MAX];
  uint32_t count = burdock_part_quarantine_list (gateway->traffic.quarantine, parts,
                                                 REWRITE_PARTS_MAX);

  for (uint32_t i = 0; i < count; i++) {
    if (is_writer (gateway, parts[i], REWRITERS))
      post_evidence (gateway, parts[i],
                     backup_delay_us (gateway, parts[i]) - BACKUP_DELAY_MS * US_PER_MS);
  }
}

static bool
upstream_has_ended (void *ctx, uint64_t upstream, uint64_t since_us)
{
  const BurdockGateway *gateway = ctx;

  return burdock_balancer_has_ended (gateway->traffic.balancer, upstream, since_us);
}

static bool
upstream_has_ended_itself (void *ctx, uint64_t upstream, uint64_t since_us)
{
  const BurdockGateway *gateway = ctx;

  return burdock_balancer_has_ended_itself (gateway->traffic.balancer, upstream,
                                            since_us);
}

/* Connection that shows whether the process of an upstream has ended. */
typedef struct {
  BurdockGateway *gateway;
  uint64_t upstream;
} Check;

static void
check_done (void *ctx, const BurdockHttpResult *result)
{
  Check *check = ctx;

  if (result->status == -ECONNREFUSED)
    burdock_balancer_record_refusal (check->gateway->traffic.balancer, check->upstream,
                                     burdock_loop_now_us ());
  burdock_log (BURDOCK_LOG_INFO, "upstream checked", "-", "key %016" PRIx64 " status %d",
               check->upstream, result->status);
  free (check);
}

static void
start_check (BurdockGateway *gateway, uint64_t upstream)
{
  Check *check = malloc (sizeof *check);
  BurdockAddress address;
  char text[24];
  char url[40];
  BurdockHttpCall call = { .method = "GET",
                           .url = url,
                           .connect_only = true,
                           .timeout_ms = CHECK_TIMEOUT_MS,
                           .connect_timeout_ms = CHECK_TIMEOUT_MS,
                           .ctx = check,
                           .done = check_done,
                           .free_ctx = free };

  if (check == NULL ||
      !burdock_balancer_address (gateway->traffic.balancer, upstream, &address)) {
    free (check);
    return;
  }
  *check = (Check){ gateway, upstream };
  burdock_address_format (address, text, sizeof text);
  snprintf (url, sizeof url, "http://%s", text);
  if (burdock_http_client_start (gateway->traffic.runtime.client, &call) < 0)
    free (check);
}

uint64_t
burdock_gateway_quarantine_tick (BurdockGateway *gateway, uint64_t now_us)
{
  uint64_t upstream;

  while (
      burdock_part_quarantine_next_check (gateway->traffic.quarantine, now_us, &upstream))
    start_check (gateway, upstream);
  return burdock_part_quarantine_tick (gateway->traffic.quarantine, now_us);
}

int
burdock_gateway_quarantine_init (BurdockGateway *gateway)
{
  BurdockPartQuarantineHandler handler = { .ctx = gateway,
                                           .has_ended = upstream_has_ended,
                                           .has_ended_itself = upstream_has_ended_itself,
                                           .changed = part_changed };

  gateway->traffic.quarantine = burdock_part_quarantine_new (gateway->id, &handler);
  return gateway->traffic.quarantine != NULL ? 0 : -ENOMEM;
}

void
burdock_gateway_quarantine_share (BurdockGateway *gateway, bool due, uint64_t now_us)
{
  BurdockGatewayTraffic *traffic = &gateway->traffic;
  BurdockPromptPartsMessage *message = &traffic->outgoing.prompt_parts;

  if (!due && !burdock_part_quarantine_has_news (traffic->quarantine))
    return;
  message->item_count =
      burdock_part_quarantine_share (traffic->quarantine, traffic->peer_count + 1, now_us,
                                     message->items, BURDOCK_PART_ITEMS_MAX);
  if (message->item_count == 0)
    return;
  burdock_gateway_send_to_peers (gateway, BURDOCK_MSG_PROMPT_PARTS);
}
