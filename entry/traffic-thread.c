#include "entry.h"
#include "log.h"
#include "stop.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Workspace limits have to follow demand within seconds, so ten reports per second are
 * enough. */
#define USAGE_INTERVAL_US UINT64_C (100000)

/* Time between the end of listening and the end of the process, in which requests of open
 * connections are refused. Covers a caller that has just connected and sends its request.
 */
#define CLOSE_NOTICE_US UINT64_C (200000)

#define TLS_FILE_MAX_BYTES (1u << 20)

/* Memory of a connection: buffers of libmicrohttpd, and what it and the entry need beside
 * them. */
#define CONNECTION_MEMORY_BYTES (12u << 10)
#define CONNECTION_OVERHEAD_BYTES (8u << 10)

/* Buffers of a TLS session: a record of 16 KiB in each direction, and its keys. */
#define TLS_CONNECTION_BYTES (40u << 10)

/* The dispatcher keeps a copy of a body, and sends it in a frame. */
#define BODY_COPIES 3

static int
receive_frame (void *ctx, BurdockAddress from, const uint8_t *frame,
               uint32_t length_bytes)
{
  BurdockEntryTraffic *traffic = ctx;

  return burdock_dispatcher_receive (traffic->dispatcher, from, frame, length_bytes);
}

static void
handle_connection_lost (void *ctx, BurdockAddress peer, bool connected)
{
  BurdockEntryTraffic *traffic = ctx;

  burdock_dispatcher_peer_lost (traffic->dispatcher, peer, connected);
}

static void
store_done (void *ctx, const BurdockStoreResult *result)
{
  BurdockEntryTraffic *traffic = ctx;

  burdock_dispatcher_store_done (traffic->dispatcher, result);
}

static void
report_usage (BurdockEntryTraffic *traffic, uint64_t now_us)
{
  BurdockEntry *entry = traffic->entry;
  BurdockUsage *usage = calloc (1, sizeof *usage);

  traffic->next_usage_us = now_us + USAGE_INTERVAL_US;
  if (usage == NULL)
    return;
  burdock_dispatcher_usage (traffic->dispatcher, usage);
  free (burdock_slot_put (&entry->usage_slot, usage));
}

/* A request is open until both the dispatcher has delivered its last part and its HTTP
 * answer has been written. */
static uint32_t
count_open_requests (const BurdockEntryTraffic *traffic)
{
  uint32_t in_flight = burdock_dispatcher_in_flight (traffic->dispatcher);
  uint32_t open_answers = burdock_http_server_open_count (traffic->http);

  return in_flight > open_answers ? in_flight : open_answers;
}

/* Ends listening once all connections are accepted: closing the socket resets those that
 * wait in its queue. */
static void
end_listening (BurdockEntryTraffic *traffic, uint64_t now_us)
{
  if (traffic->end_us != 0 || burdock_http_server_has_pending (traffic->http))
    return;
  burdock_http_server_quiesce (traffic->http);
  traffic->end_us = now_us + CLOSE_NOTICE_US;
}

/* Ends the thread once nothing is open. The HTTP server reads in a hook before this one,
 * so that no request is read any more that would not be answered. */
static void
end_if_finished (BurdockEntryTraffic *traffic, uint32_t open, uint64_t now_us)
{
  if (traffic->end_us == 0 || open > 0 || now_us < traffic->end_us || traffic->finished)
    return;
  traffic->finished = true;
  burdock_loop_stop (traffic->runtime.loop);
  burdock_stop_notify_drained ();
}

static uint64_t
traffic_hook (void *ctx, uint64_t now_us)
{
  BurdockEntryTraffic *traffic = ctx;
  uint64_t due_us = burdock_dispatcher_tick (traffic->dispatcher);
  uint32_t open = count_open_requests (traffic);

  atomic_store (&traffic->entry->in_flight, open);
  if (traffic->finishing)
    end_listening (traffic, now_us);
  end_if_finished (traffic, open, now_us);
  if (now_us < traffic->end_us && traffic->end_us < due_us)
    due_us = traffic->end_us;
  if (now_us >= traffic->next_usage_us)
    report_usage (traffic, now_us);
  return due_us < traffic->next_usage_us ? due_us : traffic->next_usage_us;
}

static void
answer_entries (BurdockEntryTraffic *traffic, BurdockHttpRequest *http)
{
  char *text = NULL;

  if (traffic->snapshot != NULL)
    text = burdock_snapshot_entries_json (traffic->snapshot, burdock_http_peer (http),
                                          burdock_http_query (http, "failure_domain"));
  if (text != NULL)
    burdock_http_respond (http, 200, "application/json", text, NULL);
  else
    burdock_http_respond (http, 503, "application/json",
                          strdup ("{\"error\":\"no list of entries yet\"}\n"), NULL);
}

static void
answer_health (BurdockEntryTraffic *traffic, BurdockHttpRequest *http)
{
  BurdockText text = { 0 };

  burdock_text_add_string (&text, "{\"status\":\"ok\",\"instance\":");
  burdock_text_add_json_string (&text, traffic->entry->settings.library.name);
  burdock_text_add_string (&text, "}\n");
  burdock_http_respond (http, 200, "application/json", burdock_text_take (&text), NULL);
}

static void
route_request (void *ctx, BurdockHttpRequest *http)
{
  BurdockEntryTraffic *traffic = ctx;
  const char *path = burdock_http_path (http);
  bool get = strcmp (burdock_http_method (http), "GET") == 0;
  bool post = strcmp (burdock_http_method (http), "POST") == 0;

  if (post && strcmp (path, "/v1/requests") == 0)
    burdock_callers_handle_request (traffic, http);
  else if (get && strcmp (path, "/v1/entries") == 0)
    answer_entries (traffic, http);
  else if (get && strcmp (path, "/health") == 0)
    answer_health (traffic, http);
  else if (get && strcmp (path, "/metrics") == 0)
    burdock_admin_handle_metrics (traffic, http);
  else if (strncmp (path, "/v1/admin/", 10) == 0)
    burdock_admin_handle_request (traffic, http);
  else
    burdock_http_respond (
        http, 404, "application/json",
        strdup ("{\"error\":\"known: GET /v1/entries, POST /v1/requests, GET /health, "
                "GET /metrics, /v1/admin/\",\"refused\":\"bad-request\","
                "\"ran\":\"not-run\"}\n"),
        "not-run");
}

static void
request_closed (void *ctx, BurdockHttpRequest *http, bool complete)
{
  burdock_callers_handle_closed (ctx, http, complete);
}

static char *
read_file (const char *name)
{
  FILE *file = fopen (name, "r");
  char *text = calloc (1, TLS_FILE_MAX_BYTES + 1);
  size_t length_bytes = 0;

  if (file != NULL && text != NULL)
    length_bytes = fread (text, 1, TLS_FILE_MAX_BYTES, file);
  if (file != NULL)
    fclose (file);
  if (length_bytes > 0)
    return text;
  burdock_log (BURDOCK_LOG_ERROR, "read file", "-", "%s: %s", name, strerror (errno));
  free (text);
  return NULL;
}

/* Connections that an entry may have; 0, for the default of the HTTP server, if neither
 * limit is set: entries have had these without a setting. */
static uint32_t
connections_max (const BurdockDaemonSettings *settings, bool secure)
{
  uint32_t connection_bytes = CONNECTION_MEMORY_BYTES + CONNECTION_OVERHEAD_BYTES +
                              (secure ? TLS_CONNECTION_BYTES : 0);

  if (settings->memory_mb == 0 && settings->max_fds == 0)
    return 0;
  return burdock_memory_connections_max (settings->memory_mb, settings->max_fds,
                                         connection_bytes);
}

static int
listen_http (BurdockEntryTraffic *traffic)
{
  BurdockDaemonSettings *settings = &traffic->entry->settings;
  BurdockHttpHandler handler = { traffic, route_request, request_closed };
  bool secure = settings->tls_certificate[0] != '\0';
  char *certificate = secure ? read_file (settings->tls_certificate) : NULL;
  char *key = secure ? read_file (settings->tls_key) : NULL;
  BurdockHttpTls tls = { certificate, key };
  BurdockHttpLimits limits = {
    .connection_memory_bytes = CONNECTION_MEMORY_BYTES,
    .connections = connections_max (settings, secure),
    .body_copies = BODY_COPIES,
    .budget = &traffic->memory,
  };

  if (!secure || (certificate != NULL && key != NULL))
    traffic->http =
        burdock_http_server_new_limited (traffic->runtime.loop,
                                         &settings->library.http_address,
                                         secure ? &tls : NULL, &handler, &limits);
  free (certificate);
  free (key);
  return traffic->http != NULL ? 0 : -EADDRINUSE;
}

int
burdock_entry_traffic_init (BurdockEntry *entry)
{
  BurdockEntryTraffic *traffic = &entry->traffic;
  BurdockTransportHandler handler = { traffic, receive_frame, handle_connection_lost };
  BurdockEnv env;
  int status = burdock_runtime_init (&traffic->runtime);

  if (status < 0)
    return status;
  traffic->entry = entry;
  burdock_memory_budget_init (&traffic->memory, entry->settings.memory_mb);
  traffic->runtime.store =
      burdock_http_store_new (traffic->runtime.client, entry->settings.store_url,
                              store_done, traffic);
  status = listen_http (traffic);
  if (status < 0)
    return status;
  burdock_loop_add_hook (traffic->runtime.loop, traffic_hook, traffic);
  traffic->runtime.transport =
      burdock_transport_new (traffic->runtime.loop, &handler, true);
  env = burdock_runtime_env (&traffic->runtime);
  env.deliver = burdock_callers_deliver;
  traffic->dispatcher = burdock_dispatcher_new (&entry->settings.library, &env);
  return traffic->dispatcher != NULL ? 0 : -ENOMEM;
}

void
burdock_entry_traffic_clear (BurdockEntry *entry)
{
  BurdockEntryTraffic *traffic = &entry->traffic;

  burdock_http_server_free (traffic->http);
  burdock_dispatcher_free (traffic->dispatcher);
  burdock_snapshot_unref (traffic->snapshot);
  burdock_text_clear (&traffic->line);
  burdock_runtime_clear (&traffic->runtime);
}

void
burdock_entry_traffic_leave (void *ctx)
{
  BurdockEntry *entry = ctx;

  burdock_http_server_disable_keepalive (entry->traffic.http);
  burdock_dispatcher_begin_stop (entry->traffic.dispatcher, entry->stop_end_us);
}

void
burdock_entry_traffic_finish (void *ctx)
{
  BurdockEntry *entry = ctx;

  entry->traffic.finishing = true;
}

void
burdock_entry_traffic_give_up (void *ctx)
{
  BurdockEntry *entry = ctx;

  burdock_dispatcher_give_up (entry->traffic.dispatcher);
  burdock_entry_traffic_finish (entry);
}
