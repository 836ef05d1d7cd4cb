#include "http-client.h"

#include "http-framing.h"
#include "log.h"

#include <apr_portable.h>
#include <curl/curl.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define US_PER_MS 1000
#define IDLE_HANDLES_MAX 256
#define IDLE_CONNECTIONS_MAX 512

/* Bounds a buffered response, and one line of a stream. */
#define BODY_MAX_BYTES (4u << 20)

/* Bounds the header lines of a response, those of interim responses and trailers
 * included. libcurl keeps all of them in memory. */
#define HEADERS_MAX_BYTES (64u << 10)

/* A peer that takes longer to accept a connection is treated as down. */
#define DEFAULT_CONNECT_TIMEOUT_MS 2000

/* The default of libcurl. */
#define DEFAULT_MAX_IDLE_S 118

/* A peer behind a partition is detected after two to three seconds. */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2
#define UNACKNOWLEDGED_MAX_MS 3000u

/* A libcurl easy handle and the options it is configured for. Most calls of a client are
 * alike, and setting all options again is a good part of the cost of a short call. */
typedef struct {
  CURL *easy;
  char *url;
  char *method;
  bool at_most_once;
  bool has_body;
} Handle;

typedef struct BurdockHttpTransfer Transfer;

struct BurdockHttpTransfer {
  struct BurdockHttpTransfer *next_waiting;
  struct BurdockHttpTransfer *next_cancelled;
  struct BurdockHttpTransfer *next;
  struct BurdockHttpTransfer *previous;
  BurdockHttpClient *client;
  Handle handle;
  char *request_body;
  char *body;
  size_t body_bytes;
  size_t body_bytes_max;
  size_t body_capacity;
  size_t scanned_bytes;
  bool body_too_long;
  size_t header_bytes;
  bool connect_only;
  bool ends_with_head; /* a HEAD request with a body */
  bool head_ended;
  BurdockHttpFraming framing;
  struct curl_slist *headers;
  bool added;
  bool cancelled;
  bool paused;
  void *ctx;
  int (*head) (void *ctx, BurdockHttpTransfer *transfer, int32_t http_status);
  bool (*accepts) (void *ctx);
  int (*data) (void *ctx, const char *data, size_t length_bytes);
  int (*line) (void *ctx, const char *line, size_t line_bytes);
  void (*done) (void *ctx, const BurdockHttpResult *result);
  void (*free_ctx) (void *ctx);
};

/* Loop source of a descriptor that libcurl watches; kept until the client is freed. */
typedef struct {
  BurdockHttpClient *client;
  BurdockLoopSource source;
  int descriptor;
} Watch;

struct BurdockHttpClient {
  BurdockLoop *loop;
  CURLM *multi;
  struct curl_slist *headers;
  uint64_t timer_us;
  Transfer *open;
  Transfer *waiting;
  Transfer *cancelled;
  bool in_curl;
  Handle idle[IDLE_HANDLES_MAX];
  uint32_t idle_count;
  Watch **watches;
  int watch_limit;
};

static void
free_handle (Handle *handle)
{
  curl_easy_cleanup (handle->easy);
  free (handle->url);
  free (handle->method);
}

static void
release_transfer (Transfer *transfer)
{
  BurdockHttpClient *client = transfer->client;

  if (transfer->previous != NULL)
    transfer->previous->next = transfer->next;
  else
    client->open = transfer->next;
  if (transfer->next != NULL)
    transfer->next->previous = transfer->previous;
  if (transfer->added)
    curl_multi_remove_handle (client->multi, transfer->handle.easy);
  curl_slist_free_all (transfer->headers);
  if (transfer->headers != NULL)
    curl_easy_setopt (transfer->handle.easy, CURLOPT_HTTPHEADER, client->headers);
  if (client->idle_count < IDLE_HANDLES_MAX)
    client->idle[client->idle_count++] = transfer->handle;
  else
    free_handle (&transfer->handle);
  free (transfer->request_body);
  free (transfer->body);
  free (transfer);
}

static int32_t
curl_status (CURLcode code)
{
  switch (code) {
  case CURLE_OK:
    return 0;
  case CURLE_COULDNT_CONNECT:
  case CURLE_COULDNT_RESOLVE_HOST:
    return -ECONNREFUSED;
  case CURLE_OPERATION_TIMEDOUT:
    return -ETIMEDOUT;
  default:
    return -EIO;
  }
}

bool
burdock_http_transfer_is_sent (const BurdockHttpTransfer *transfer)
{
  long sent_bytes = 0;

  curl_easy_getinfo (transfer->handle.easy, CURLINFO_REQUEST_SIZE, &sent_bytes);
  return sent_bytes > 0;
}

/* What is malformed in the response of a transfer, or NULL. libcurl takes a head that
 * ends with the connection, or at a zero byte, for a whole one. */
static const char *
find_malformed (const Transfer *transfer, CURLcode code)
{
  const BurdockHttpFraming *framing = &transfer->framing;

  if (framing->malformed != NULL)
    return framing->malformed;
  if (code == CURLE_WEIRD_SERVER_REPLY || code == CURLE_UNSUPPORTED_PROTOCOL ||
      code == CURLE_BAD_CONTENT_ENCODING)
    return "libcurl cannot read the head";
  if (code == CURLE_OK && !transfer->connect_only &&
      !burdock_http_framing_has_head (framing))
    return "the head has no end";
  return NULL;
}

static void
finish_transfer (Transfer *transfer, CURLcode code)
{
  BurdockHttpResult result = { .status = transfer->head_ended ? 0 : curl_status (code),
                               .body = "" };
  long http_status = 0;
  long connections = 0;

  curl_easy_getinfo (transfer->handle.easy, CURLINFO_RESPONSE_CODE, &http_status);
  curl_easy_getinfo (transfer->handle.easy, CURLINFO_NUM_CONNECTS, &connections);
  result.http_status = (int32_t)http_status;
  result.sent = burdock_http_transfer_is_sent (transfer);
  result.new_connection = connections > 0;
  result.body_too_long = transfer->body_too_long;
  result.malformed = find_malformed (transfer, code);
  if (code == CURLE_OPERATION_TIMEDOUT && !result.sent)
    result.status = -ECONNREFUSED;
  if (result.malformed != NULL) {
    result.status = -EIO;
    burdock_log (BURDOCK_LOG_WARNING, "malformed answer", transfer->handle.url, "%s",
                 result.malformed);
  }
  if (transfer->body != NULL) {
    transfer->body[transfer->body_bytes] = '\0';
    result.body = transfer->body;
    result.body_bytes = transfer->body_bytes;
  }
  transfer->done (transfer->ctx, &result);
  release_transfer (transfer);
}

static void
collect_results (BurdockHttpClient *client)
{
  CURLMsg *message;
  int left;

  while ((message = curl_multi_info_read (client->multi, &left)) != NULL) {
    Transfer *transfer = NULL;
    CURLcode code = message->data.result;

    if (message->msg != CURLMSG_DONE)
      continue;
    curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &transfer);
    finish_transfer (transfer, code);
  }
}

/* Adds the transfers that were started from within a libcurl callback, where libcurl does
 * not allow it. */
static void
add_waiting (BurdockHttpClient *client)
{
  while (client->waiting != NULL) {
    Transfer *transfer = client->waiting;

    client->waiting = transfer->next_waiting;
    transfer->added = true;
    curl_multi_add_handle (client->multi, transfer->handle.easy);
  }
}

/* Releases the transfers that were cancelled from within a libcurl callback. */
static void
release_cancelled (BurdockHttpClient *client)
{
  while (client->cancelled != NULL) {
    Transfer *transfer = client->cancelled;

    client->cancelled = transfer->next_cancelled;
    release_transfer (transfer);
  }
}

/* Does what had to wait for the end of the callbacks of libcurl. */
static void
leave_curl (BurdockHttpClient *client)
{
  client->in_curl = false;
  release_cancelled (client);
  add_waiting (client);
}

static void
run_curl (BurdockHttpClient *client, curl_socket_t descriptor, int mask)
{
  int running;

  client->in_curl = true;
  curl_multi_socket_action (client->multi, descriptor, mask, &running);
  leave_curl (client);
  collect_results (client);
}

void
burdock_http_transfer_resume (BurdockHttpTransfer *transfer)
{
  BurdockHttpClient *client = transfer->client;
  CURLcode code;
  bool cancelled;

  if (!transfer->paused || transfer->cancelled)
    return;
  transfer->paused = false;
  client->in_curl = true;
  /* Passes on what libcurl holds of the body; an error ends the transfer, which libcurl
   * does not report as its result. */
  code = curl_easy_pause (transfer->handle.easy, CURLPAUSE_CONT);
  cancelled = transfer->cancelled;
  leave_curl (client);
  if (code != CURLE_OK && !cancelled)
    finish_transfer (transfer, code);
}

static void
watch_ready (void *ctx, int16_t events)
{
  const Watch *watch = ctx;
  int mask = 0;

  if (events & (APR_POLLIN | APR_POLLHUP))
    mask |= CURL_CSELECT_IN;
  if (events & APR_POLLOUT)
    mask |= CURL_CSELECT_OUT;
  if (events & APR_POLLERR)
    mask |= CURL_CSELECT_ERR;
  run_curl (watch->client, watch->descriptor, mask);
}

static Watch *
get_watch (BurdockHttpClient *client, int descriptor)
{
  Watch *watch;

  if (descriptor >= client->watch_limit) {
    int limit = descriptor * 2 + 64;
    Watch **grown = realloc (client->watches, (size_t)limit * sizeof (Watch *));

    if (grown == NULL)
      return NULL;
    memset (grown + client->watch_limit, 0,
            (size_t)(limit - client->watch_limit) * sizeof (Watch *));
    client->watches = grown;
    client->watch_limit = limit;
  }
  watch = client->watches[descriptor];
  if (watch != NULL)
    return watch;
  watch = calloc (1, sizeof *watch);
  if (watch == NULL)
    return NULL;
  watch->client = client;
  watch->descriptor = descriptor;
  watch->source = (BurdockLoopSource){ .ready = watch_ready, .ctx = watch };
  apr_os_sock_put (&watch->source.socket, &descriptor, burdock_loop_pool (client->loop));
  client->watches[descriptor] = watch;
  return watch;
}

static int
socket_changed (CURL *easy, curl_socket_t descriptor, int what, void *ctx, void *unused)
{
  BurdockHttpClient *client = ctx;
  Watch *watch = get_watch (client, descriptor);
  int16_t events = 0;

  if (watch == NULL)
    return -1;
  if (what == CURL_POLL_IN || what == CURL_POLL_INOUT)
    events |= APR_POLLIN;
  if (what == CURL_POLL_OUT || what == CURL_POLL_INOUT)
    events |= APR_POLLOUT;
  return burdock_loop_watch (client->loop, &watch->source, events);
}

static int
timer_changed (CURLM *multi, long timeout_ms, void *ctx)
{
  BurdockHttpClient *client = ctx;

  if (timeout_ms < 0)
    client->timer_us = BURDOCK_LOOP_NEVER_US;
  else
    client->timer_us = burdock_loop_now_us () + (uint64_t)timeout_ms * US_PER_MS;
  burdock_loop_wake_at (client->loop, client->timer_us);
  return 0;
}

static uint64_t
client_hook (void *ctx, uint64_t now_us)
{
  BurdockHttpClient *client = ctx;

  if (now_us >= client->timer_us) {
    client->timer_us = BURDOCK_LOOP_NEVER_US;
    run_curl (client, CURL_SOCKET_TIMEOUT, 0);
  }
  return client->timer_us;
}

BurdockHttpClient *
burdock_http_client_new (BurdockLoop *loop)
{
  BurdockHttpClient *client = calloc (1, sizeof *client);

  if (client == NULL)
    return NULL;
  client->loop = loop;
  client->timer_us = BURDOCK_LOOP_NEVER_US;
  client->multi = curl_multi_init ();
  client->headers = curl_slist_append (NULL, "Content-Type: application/json");
  curl_slist_append (client->headers, "Expect:");
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, socket_changed);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, timer_changed);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, (long)IDLE_CONNECTIONS_MAX);
  burdock_loop_add_hook (loop, client_hook, client);
  return client;
}

void
burdock_http_client_free (BurdockHttpClient *client)
{
  Transfer *next;

  if (client == NULL)
    return;
  for (Transfer *transfer = client->open; transfer != NULL; transfer = next) {
    next = transfer->next;
    if (transfer->free_ctx != NULL)
      transfer->free_ctx (transfer->ctx);
    release_transfer (transfer);
  }
  for (uint32_t i = 0; i < client->idle_count; i++)
    free_handle (&client->idle[i]);
  curl_multi_cleanup (client->multi);
  curl_slist_free_all (client->headers);
  for (int i = 0; i < client->watch_limit; i++)
    free (client->watches[i]);
  free (client->watches);
  free (client);
}

/* Called when libcurl is about to send a request. If bytes of it have been sent before,
 * libcurl is resending it on another connection. */
static int
refuse_resend (void *ctx, char *peer_ip, char *local_ip, int peer_port, int local_port)
{
  const Transfer *transfer = ctx;

  return !burdock_http_transfer_is_sent (transfer) ? CURL_PREREQFUNC_OK
                                                   : CURL_PREREQFUNC_ABORT;
}

static int
deliver_lines (Transfer *transfer)
{
  size_t start = 0;
  int status = 0;
  char *end;

  while (status >= 0 &&
         (end = memchr (transfer->body + transfer->scanned_bytes, '\n',
                        transfer->body_bytes - transfer->scanned_bytes)) != NULL) {
    size_t next = (size_t)(end - transfer->body) + 1;

    status = transfer->line (transfer->ctx, transfer->body + start, next - 1 - start);
    start = next;
    transfer->scanned_bytes = next;
  }
  transfer->body_bytes -= start;
  memmove (transfer->body, transfer->body + start, transfer->body_bytes);
  transfer->scanned_bytes = transfer->body_bytes;
  return status;
}

static size_t
receive_body (char *data, size_t size, size_t count, void *ctx)
{
  Transfer *transfer = ctx;
  size_t length_bytes = size * count;
  long http_status = 0;

  if (transfer->cancelled || transfer->framing.malformed != NULL)
    return 0;
  if (transfer->accepts != NULL && !transfer->accepts (transfer->ctx)) {
    transfer->paused = true;
    return CURL_WRITEFUNC_PAUSE;
  }
  if (transfer->data != NULL)
    return transfer->data (transfer->ctx, data, length_bytes) < 0 ? 0 : length_bytes;
  if (transfer->body_bytes + length_bytes > transfer->body_bytes_max) {
    transfer->body_too_long = true;
    return 0;
  }
  if (transfer->body_bytes + length_bytes + 1 > transfer->body_capacity) {
    size_t capacity = (transfer->body_bytes + length_bytes) * 2 + 256;
    char *grown = realloc (transfer->body, capacity);

    if (grown == NULL)
      return 0;
    transfer->body = grown;
    transfer->body_capacity = capacity;
  }
  memcpy (transfer->body + transfer->body_bytes, data, length_bytes);
  transfer->body_bytes += length_bytes;
  if (transfer->line == NULL)
    return length_bytes;
  curl_easy_getinfo (transfer->handle.easy, CURLINFO_RESPONSE_CODE, &http_status);
  if (http_status == 200 && deliver_lines (transfer) < 0)
    return 0;
  return length_bytes;
}

/* Receives all that libcurl reports of a transfer. Only here does a body come as its
 * server has sent it: libcurl decodes chunks leniently, and reads "0x2" as the last one.
 */
static int
check_body (CURL *easy, curl_infotype type, char *data, size_t length_bytes, void *ctx)
{
  Transfer *transfer = ctx;

  if (type == CURLINFO_DATA_IN &&
      burdock_http_framing_read_body (&transfer->framing, data, length_bytes) < 0)
    curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
  return 0;
}

/* libcurl passes the header lines one by one, those of interim (1xx) responses and
 * trailers included. */
static size_t
receive_header (char *line, size_t size, size_t count, void *ctx)
{
  Transfer *transfer = ctx;
  BurdockHttpFraming *framing = &transfer->framing;
  size_t length_bytes = size * count;
  bool had_head = burdock_http_framing_has_head (framing);

  transfer->header_bytes += length_bytes;
  if (transfer->cancelled || transfer->header_bytes > HEADERS_MAX_BYTES ||
      burdock_http_framing_read_line (framing, line, length_bytes) < 0)
    return 0;
  if (had_head || !burdock_http_framing_has_head (framing))
    return length_bytes;
  if (transfer->head != NULL &&
      transfer->head (transfer->ctx, transfer, framing->http_status) < 0)
    return 0;
  /* libcurl would wait for the body of the response, which HEAD does not have, and with
   * CURLOPT_NOBODY it sends none. */
  if (transfer->ends_with_head) {
    transfer->head_ended = true;
    return 0;
  }
  curl_easy_setopt (transfer->handle.easy, CURLOPT_FORBID_REUSE, 0L);
  return length_bytes;
}

const char *
burdock_http_transfer_header (BurdockHttpTransfer *transfer, const char *name)
{
  struct curl_header *header = NULL;

  if (curl_easy_header (transfer->handle.easy, name, 0, CURLH_HEADER, -1, &header) !=
      CURLHE_OK)
    return NULL;
  return header->value;
}

BurdockOptional
burdock_http_transfer_number (BurdockHttpTransfer *transfer, const char *name)
{
  const char *value = burdock_http_transfer_header (transfer, name);
  BurdockOptional number = { 0 };

  if (value != NULL)
    burdock_optional_parse (value, strlen (value), &number);
  return number;
}

bool
burdock_http_transfer_is_first (const BurdockHttpTransfer *transfer)
{
  long connections = 0;

  curl_easy_getinfo (transfer->handle.easy, CURLINFO_NUM_CONNECTS, &connections);
  return connections > 0;
}

void
burdock_http_transfer_each_header (BurdockHttpTransfer *transfer,
                                   void (*function) (void *ctx, const char *name,
                                                     const char *value),
                                   void *ctx)
{
  struct curl_header *header = NULL;

  while ((header = curl_easy_nextheader (transfer->handle.easy, CURLH_HEADER, -1,
                                         header)) != NULL)
    function (ctx, header->name, header->value);
}

/* Enables TCP keepalive, to detect a peer that stops answering without a reset. */
static int
enable_keepalive (void *ctx, curl_socket_t descriptor, curlsocktype purpose)
{
  static const int on = 1;
  static const int idle_s = KEEPALIVE_IDLE_S;
  static const int interval_s = KEEPALIVE_INTERVAL_S;
  static const int probes = KEEPALIVE_PROBES;
  static const unsigned unacknowledged_ms = UNACKNOWLEDGED_MAX_MS;

  setsockopt (descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &idle_s, sizeof idle_s);
  setsockopt (descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
  setsockopt (descriptor, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof probes);
  setsockopt (descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
              sizeof unacknowledged_ms);
  return CURL_SOCKOPT_OK;
}

/* Whether a body is sent, which may be empty. */
static bool
has_request_body (const BurdockHttpCall *call)
{
  return call->body_bytes > 0 ||
         (strcmp (call->method, "GET") != 0 && strcmp (call->method, "HEAD") != 0);
}

/* Sets the options that are the same for all calls of a method. Returns false without
 * memory. */
static bool
configure_handle (const BurdockHttpClient *client, Handle *handle,
                  const BurdockHttpCall *call)
{
  CURL *easy = handle->easy;

  curl_easy_reset (easy);
  free (handle->method);
  handle->method = strdup (call->method);
  handle->at_most_once = call->at_most_once;
  handle->has_body = has_request_body (call);
  free (handle->url);
  handle->url = NULL;
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_TCP_NODELAY, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, client->headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, receive_body);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, receive_header);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, enable_keepalive);
  curl_easy_setopt (easy, CURLOPT_VERBOSE, 1L);
  curl_easy_setopt (easy, CURLOPT_DEBUGFUNCTION, check_body);
  if (call->at_most_once)
    curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, refuse_resend);
  if (handle->has_body) {
    curl_easy_setopt (easy, CURLOPT_POST, 1L);
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, handle->method);
  } else if (strcmp (call->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  return handle->method != NULL;
}

/* Reuses an idle handle or creates one; returns false without memory. */
static bool
acquire_handle (BurdockHttpClient *client, Handle *handle, const BurdockHttpCall *call)
{
  *handle = (Handle){ 0 };
  if (client->idle_count > 0)
    *handle = client->idle[--client->idle_count];
  else
    handle->easy = curl_easy_init ();
  if (handle->easy == NULL)
    return false;
  if ((handle->method == NULL || strcmp (handle->method, call->method) != 0 ||
       handle->at_most_once != call->at_most_once ||
       handle->has_body != has_request_body (call)) &&
      !configure_handle (client, handle, call))
    return false;
  if (handle->url != NULL && strcmp (handle->url, call->url) == 0)
    return true;
  free (handle->url);
  handle->url = strdup (call->url);
  curl_easy_setopt (handle->easy, CURLOPT_URL, call->url);
  return handle->url != NULL;
}

static void
set_body (Transfer *transfer, const BurdockHttpCall *call)
{
  CURL *easy = transfer->handle.easy;

  curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)call->body_bytes);
  if (call->body_stays) {
    curl_easy_setopt (easy, CURLOPT_POSTFIELDS, call->body);
    return;
  }
  transfer->request_body = malloc (call->body_bytes + 1);
  if (transfer->request_body == NULL)
    abort ();
  if (call->body_bytes > 0)
    memcpy (transfer->request_body, call->body, call->body_bytes);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, transfer->request_body);
}

static void
set_headers (Transfer *transfer, const BurdockHttpCall *call)
{
  for (uint32_t i = 0; i < call->header_count; i++)
    transfer->headers = curl_slist_append (transfer->headers, call->headers[i]);
  if (transfer->headers != NULL)
    curl_easy_setopt (transfer->handle.easy, CURLOPT_HTTPHEADER, transfer->headers);
}

static void
set_connection (CURL *easy, const BurdockHttpCall *call)
{
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT,
                    call->fresh_connection || call->connect_only ? 1L : 0L);
  curl_easy_setopt (easy, CURLOPT_CONNECT_ONLY, call->connect_only ? 1L : 0L);
  /* Until the head of its answer has been checked. */
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN,
                    (long)(call->max_idle_s > 0 ? call->max_idle_s : DEFAULT_MAX_IDLE_S));
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)(call->connect_timeout_ms > 0 ? call->connect_timeout_ms
                                                        : DEFAULT_CONNECT_TIMEOUT_MS));
  curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, call->target);
  curl_easy_setopt (easy, CURLOPT_INTERFACE, call->source_ip);
}

int
burdock_http_client_start (BurdockHttpClient *client, const BurdockHttpCall *call)
{
  BurdockHttpTransfer *transfer;

  return burdock_http_client_start_transfer (client, call, &transfer);
}

int
burdock_http_client_start_transfer (BurdockHttpClient *client,
                                    const BurdockHttpCall *call,
                                    BurdockHttpTransfer **out)
{
  Transfer *transfer = calloc (1, sizeof *transfer);

  if (transfer == NULL || !acquire_handle (client, &transfer->handle, call)) {
    free (transfer);
    return -ENOMEM;
  }
  transfer->client = client;
  transfer->ctx = call->ctx;
  transfer->head = call->head;
  transfer->accepts = call->accepts;
  transfer->data = call->data;
  transfer->body_bytes_max =
      call->body_bytes_max > 0 ? call->body_bytes_max : BODY_MAX_BYTES;
  transfer->connect_only = call->connect_only;
  transfer->ends_with_head =
      strcmp (call->method, "HEAD") == 0 && transfer->handle.has_body;
  transfer->line = call->line;
  transfer->done = call->done;
  transfer->free_ctx = call->free_ctx;
  curl_easy_setopt (transfer->handle.easy, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt (transfer->handle.easy, CURLOPT_WRITEDATA, transfer);
  curl_easy_setopt (transfer->handle.easy, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt (transfer->handle.easy, CURLOPT_PREREQDATA, transfer);
  curl_easy_setopt (transfer->handle.easy, CURLOPT_DEBUGDATA, transfer);
  curl_easy_setopt (transfer->handle.easy, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
  set_connection (transfer->handle.easy, call);
  set_headers (transfer, call);
  if (has_request_body (call))
    set_body (transfer, call);
  *out = transfer;
  transfer->next = client->open;
  if (client->open != NULL)
    client->open->previous = transfer;
  client->open = transfer;
  if (client->in_curl) {
    transfer->next_waiting = client->waiting;
    client->waiting = transfer;
    return 0;
  }
  transfer->added = true;
  curl_multi_add_handle (client->multi, transfer->handle.easy);
  return 0;
}

static void
remove_waiting (Transfer *transfer)
{
  Transfer **at = &transfer->client->waiting;

  while (*at != NULL && *at != transfer)
    at = &(*at)->next_waiting;
  if (*at != NULL)
    *at = transfer->next_waiting;
}

void
burdock_http_transfer_cancel (BurdockHttpTransfer *transfer)
{
  BurdockHttpClient *client = transfer->client;

  if (transfer->cancelled)
    return;
  transfer->cancelled = true;
  if (!transfer->added)
    remove_waiting (transfer);
  if (!client->in_curl) {
    release_transfer (transfer);
    return;
  }
  transfer->next_cancelled = client->cancelled;
  client->cancelled = transfer;
}

char *
burdock_http_escape (const char *text, size_t length_bytes)
{
  /* libcurl measures a text of length 0 itself. */
  char *escaped =
      curl_easy_escape (NULL, length_bytes > 0 ? text : "", (int)length_bytes);
  char *copy = escaped != NULL ? strdup (escaped) : NULL;

  curl_free (escaped);
  return copy;
}
