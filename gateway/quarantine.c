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

/* All rows are merged at once, as each merge compares all parts: 2,000 rows took 15 s one
 * by one. More parts than this are not kept in any case. */
#define STORED_ROWS_MAX 512

/* Rows that are removed because they are outdated wait in the same queue as evidence that
 * is to be stored, so that only a part of it is used. Others remain until the next start.
 */
#define OUTDATED_ROWS_MAX 16

/* Stored evidence that was read, on its way to the traffic thread. */
struct BurdockStoredEvidence {
  BurdockGateway *gateway;
  uint32_t rows;
  uint32_t count;
  BurdockPartItem items[STORED_ROWS_MAX * BURDOCK_PART_CRASHES_MAX];
};

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
merge_stored_evidence (void *ctx)
{
  struct BurdockStoredEvidence *stored = ctx;

  burdock_part_quarantine_merge (stored->gateway->traffic.quarantine, stored->items,
                                 stored->count, burdock_loop_now_us ());
  free (stored);
}

static void
mark_loaded (void *ctx)
{
  BurdockGateway *gateway = ctx;

  gateway->traffic.quarantine_loaded = true;
}

static void
remove_outdated (BurdockGateway *gateway, const BurdockQuarantineRow *row)
{
  Evidence *evidence;

  if (gateway->control.outdated_rows++ >= OUTDATED_ROWS_MAX)
    return;
  evidence = new_evidence (gateway, row->part);
  evidence->due_us = burdock_loop_now_us ();
  store_evidence (evidence);
}

/* Returns false if there is no room for the row. */
static bool
add_stored (BurdockGateway *gateway, const BurdockQuarantineRow *row)
{
  struct BurdockStoredEvidence *stored = gateway->control.stored_evidence;

  if (stored == NULL)
    stored = gateway->control.stored_evidence = calloc (1, sizeof *stored);
  if (stored == NULL)
    abort ();
  stored->gateway = gateway;
  if (stored->rows == STORED_ROWS_MAX)
    return false;
  stored->rows++;
  for (uint32_t i = 0; i < row->count; i++)
    stored->items[stored->count++] = row->items[i];
  return true;
}

void
burdock_gateway_quarantine_begin (void *ctx, uint64_t era)
{
  BurdockGateway *gateway = ctx;

  burdock_gateway_quarantine_clear (gateway);
}

void
burdock_gateway_quarantine_clear (BurdockGateway *gateway)
{
  free (gateway->control.stored_evidence);
  gateway->control.stored_evidence = NULL;
}

const char *
burdock_gateway_quarantine_row (void *ctx, const BurdockTableRow *row)
{
  BurdockGateway *gateway = ctx;
  BurdockQuarantineRow evidence;

  if (row->value.data == NULL ||
      burdock_quarantine_row_decode (row->key, row->value, wall_ms (), &evidence) < 0)
    return "the evidence is invalid and ignored";
  if (burdock_part_quarantine_is_outdated (evidence.items, evidence.count)) {
    remove_outdated (gateway, &evidence);
    return NULL;
  }
  return add_stored (gateway, &evidence) ? NULL
                                         : "there are too many parts, it is ignored";
}

void
burdock_gateway_quarantine_listed (void *ctx, bool listing)
{
  BurdockGateway *gateway = ctx;
  BurdockGatewayControl *control = &gateway->control;

  if (!listing || control->quarantine_listed)
    return;
  control->quarantine_listed = true;
  if (control->stored_evidence != NULL)
    burdock_loop_post (gateway->traffic.runtime.loop, merge_stored_evidence,
                       control->stored_evidence);
  control->stored_evidence = NULL;
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
