/* Protection of a server against clients that send without limits: room for bodies,
 * refusals before the end of a body, and ends of connections that make no progress. */
#include "http-server-private.h"

#include "log.h"

#include <ctype.h>
#include <errno.h>
#include <inttypes.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#define US_PER_MS UINT64_C (1000)

/* A large body has to bring PROGRESS_BYTES in this time, a small one has to bring
 * something while its connection is busy. The platform allows clients 3 s for a head
 * (headerTimeoutMs), and three lost packets in a row delay a sender by 1.4 s. */
#define STALL_US (3000 * US_PER_MS)

/* Time for a small body whose client is silent: the platform's idleTimeoutMs. */
#define SILENT_US (15000 * US_PER_MS)

/* After a gap this long between two checks the process was paused or starved, and its
 * clients are not to blame for the time in which it read nothing. */
#define PAUSE_US (1000 * US_PER_MS)

/* About 1.4 KB/s, less than any access link delivers. */
#define PROGRESS_BYTES 4096

/* Bytes received without any body in them that show a client which sends only framing. */
#define FRAMING_BYTES (64u << 10)

/* A client that is still sending gets its refusal only if what it sends is read:
 * closing a socket with unread bytes resets the connection. */
#define LINGER_US (2000 * US_PER_MS)
#define LINGER_BYTES (16u << 20)
#define LINGER_CHECK_US (20 * US_PER_MS)
#define DISCARD_BYTES (1u << 20)

/* A buffer for a body of unknown length grows in these steps. Its pages are moved and not
 * copied, as allocations of this size are mapped. */
#define BODY_STEP_BYTES (256u << 10)

/* A client that reads nothing of a large answer for this time loses it, and its room is
 * free for others. The platform closes idle connections after 15 s. */
#define LARGE_ANSWER_IDLE_US (20000 * US_PER_MS)

/* While others wait to be accepted, a connection may be without a complete head of a
 * request for this time. */
#define IDLE_UNDER_PRESSURE_US (1000 * US_PER_MS)

/* Stalled bodies give up their room within STALL_US; most others end before. */
#define RETRY_AFTER_S "1"

#define LOG_INTERVAL_US (1000 * US_PER_MS)

#define BODY_BYTES 128

static const struct {
  uint32_t status;
  const char *status_text;
  const char *error;
  const char *header;
} refusals[BURDOCK_HTTP_REFUSALS] = {
  [BURDOCK_HTTP_REFUSED_TOO_LARGE] = { 413, "Content Too Large", "body above the limit",
                                       "" },
  [BURDOCK_HTTP_REFUSED_NO_MEMORY] = { 503, "Service Unavailable",
                                       "no memory for the body",
                                       "Retry-After: " RETRY_AFTER_S "\r\n" },
  [BURDOCK_HTTP_REFUSED_STALLED] = { 408, "Request Timeout", "body without progress",
                                     "" },
  [BURDOCK_HTTP_REFUSED_FRAMING] = { 400, "Bad Request", "malformed head", "" },
  [BURDOCK_HTTP_REFUSED_TARGET] = { 414, "URI Too Long", "too many query parameters",
                                    "" },
};

static int
descriptor_of (const BurdockHttpRequest *request)
{
  return request->connection->descriptor;
}

static int
format_body (char body[BODY_BYTES], BurdockHttpRefusal refusal)
{
  return snprintf (body, BODY_BYTES,
                   "{\"refused\":\"%s\",\"ran\":\"not-run\",\"error\":\"%s\"}\n",
                   refusal == BURDOCK_HTTP_REFUSED_NO_MEMORY ? "overloaded"
                                                             : "bad-request",
                   refusals[refusal].error);
}

/* Writes the refusal to the socket: libmicrohttpd takes no response between the start and
 * the end of a body. Nothing else waits to be sent. */
static void
send_refusal (const Connection *connection, BurdockHttpRefusal refusal)
{
  char body[BODY_BYTES];
  char head[384];
  int body_bytes = format_body (body, refusal);
  int length =
      snprintf (head, sizeof head,
                "HTTP/1.1 %u %s\r\nContent-Type: application/json\r\nBurdock-Ran: "
                "not-run\r\n%sConnection: close\r\nContent-Length: %d\r\n\r\n%s",
                refusals[refusal].status, refusals[refusal].status_text,
                refusals[refusal].header, body_bytes, body);

  if (send (connection->descriptor, head, (size_t)length, MSG_NOSIGNAL | MSG_DONTWAIT) <
      0)
    burdock_log (BURDOCK_LOG_DEBUG, "refuse body", "-", "%s", strerror (errno));
}

void
burdock_http_release_body (BurdockHttpRequest *request)
{
  burdock_memory_budget_resize (request->server->limits.budget, BURDOCK_MEMORY_BODIES,
                                request->body_reserved_bytes, 0);
  request->body_reserved_bytes = 0;
  free (request->body);
  request->body = NULL;
  request->body_bytes = request->body_capacity = 0;
}

static void
count_refusal (BurdockHttpServer *server, BurdockHttpRefusal refusal)
{
  server->stats.refused[refusal]++;
  server->refusals_to_log++;
}

void
burdock_http_refuse_target (Connection *connection)
{
  if (connection->server->secure)
    return;
  count_refusal (connection->server, BURDOCK_HTTP_REFUSED_TARGET);
  send_refusal (connection, BURDOCK_HTTP_REFUSED_TARGET);
  shutdown (connection->descriptor, SHUT_WR);
  connection->refused = true;
}

static bool
reserve (BurdockHttpRequest *request, uint64_t wanted_bytes)
{
  uint64_t bytes = wanted_bytes * request->server->limits.body_copies;

  if (!burdock_memory_budget_resize (request->server->limits.budget,
                                     BURDOCK_MEMORY_BODIES, request->body_reserved_bytes,
                                     bytes))
    return false;
  request->body_reserved_bytes = bytes;
  return true;
}

static void
respond_refusal (BurdockHttpRequest *request, BurdockHttpRefusal refusal)
{
  char body[BODY_BYTES];

  format_body (body, refusal);
  if (refusal == BURDOCK_HTTP_REFUSED_NO_MEMORY)
    burdock_http_set_header (request, MHD_HTTP_HEADER_RETRY_AFTER, RETRY_AFTER_S);
  burdock_http_set_header (request, MHD_HTTP_HEADER_CONNECTION, "close");
  burdock_http_respond (request, refusals[refusal].status, "application/json",
                        strdup (body), "not-run");
}

static bool
refuse (BurdockHttpRequest *request, BurdockHttpRefusal refusal, bool before_body)
{
  BurdockHttpServer *server = request->server;

  count_refusal (server, refusal);
  burdock_http_release_body (request);
  if (server->secure) {
    /* Nothing can be written past the TLS session of libmicrohttpd, which takes a
     * response before the body only. */
    request->aborted = !before_body;
    if (before_body)
      respond_refusal (request, refusal);
    return before_body;
  }
  send_refusal (request->connection, refusal);
  shutdown (descriptor_of (request), SHUT_WR);
  request->lingering = true;
  request->linger_end_us = server->now_us + LINGER_US;
  server->lingering_count++;
  MHD_suspend_connection (request->connection->peer);
  request->suspended = true;
  burdock_loop_wake_at (server->loop, server->now_us + LINGER_CHECK_US);
  return true;
}

/* What the header fields of a request say of its body. */
typedef struct {
  uint32_t lengths;
  uint32_t codings;
  bool malformed;
} Framing;

static bool
is_token (const char *text, size_t bytes)
{
  static const char marks[] = "!#$%&'*+-.^_`|~";

  for (size_t i = 0; i < bytes; i++)
    if (!isalnum ((unsigned char)text[i]) &&
        (text[i] == '\0' || strchr (marks, text[i]) == NULL))
      return false;
  return bytes > 0;
}

static bool
is_length (const char *text, size_t bytes)
{
  for (size_t i = 0; i < bytes; i++)
    if (!isdigit ((unsigned char)text[i]))
      return false;
  return bytes > 0;
}

/* libmicrohttpd adds a folded line to the name of its field. */
static bool
extends (const char *name, const char *field)
{
  size_t bytes = strlen (field);

  return strncasecmp (name, field, bytes) == 0 && name[bytes] != '\0';
}

static enum MHD_Result
check_field (void *ctx, enum MHD_ValueKind kind, const char *name, size_t name_bytes,
             const char *value, size_t value_bytes)
{
  Framing *framing = ctx;

  if (!is_token (name, name_bytes) || extends (name, MHD_HTTP_HEADER_CONTENT_LENGTH) ||
      extends (name, MHD_HTTP_HEADER_TRANSFER_ENCODING)) {
    framing->malformed = true;
  } else if (strcasecmp (name, MHD_HTTP_HEADER_CONTENT_LENGTH) == 0) {
    framing->lengths++;
    framing->malformed |= value == NULL || !is_length (value, value_bytes);
  } else if (strcasecmp (name, MHD_HTTP_HEADER_TRANSFER_ENCODING) == 0) {
    framing->codings++;
    framing->malformed |= value == NULL || strcasecmp (value, "chunked") != 0;
  }
  return MHD_YES;
}

/* Whether the length of the body is beyond doubt. libmicrohttpd goes by the first of
 * several lengths, and ignores those that it cannot read: what follows would be taken for
 * another request (RFC 9112, sections 5.1, 5.2 and 6.3). */
static bool
has_sound_framing (const BurdockHttpRequest *request)
{
  Framing framing = { 0 };

  MHD_get_connection_values_n (request->connection->peer, MHD_HEADER_KIND, check_field,
                               &framing);
  return !framing.malformed && framing.lengths + framing.codings <= 1;
}

bool
burdock_http_admit_body (BurdockHttpRequest *request)
{
  const char *length =
      MHD_lookup_connection_value (request->connection->peer, MHD_HEADER_KIND,
                                   MHD_HTTP_HEADER_CONTENT_LENGTH);
  uint64_t body_bytes;

  request->window_us = request->server->now_us;
  if (!has_sound_framing (request))
    return refuse (request, BURDOCK_HTTP_REFUSED_FRAMING, true);
  if (length == NULL)
    return true;
  errno = 0;
  body_bytes = strtoull (length, NULL, 10);
  if (errno != 0 || body_bytes > request->server->limits.body_bytes)
    return refuse (request, BURDOCK_HTTP_REFUSED_TOO_LARGE, true);
  if (body_bytes > 0 && !reserve (request, body_bytes + 1))
    return refuse (request, BURDOCK_HTTP_REFUSED_NO_MEMORY, true);
  request->announced_bytes = (uint32_t)body_bytes;
  return true;
}

/* Size of the buffer for a body of which @needed_bytes are known, its end included. */
static uint32_t
buffer_bytes (const BurdockHttpRequest *request, uint32_t needed_bytes)
{
  uint32_t most = request->server->limits.body_bytes + 1;
  uint32_t size = needed_bytes + needed_bytes / 2 + 128;

  if (needed_bytes <= request->announced_bytes + 1)
    return request->announced_bytes + 1;
  if (size > BODY_STEP_BYTES)
    size = (needed_bytes / BODY_STEP_BYTES + 1) * BODY_STEP_BYTES;
  return size < most ? size : most;
}

bool
burdock_http_receive_body (BurdockHttpRequest *request, const char *data, size_t *length)
{
  uint32_t needed_bytes;

  if (request->lingering)
    return true;
  if (*length > request->server->limits.body_bytes - request->body_bytes)
    return refuse (request, BURDOCK_HTTP_REFUSED_TOO_LARGE, false);
  needed_bytes = request->body_bytes + (uint32_t)*length + 1;
  if (needed_bytes > request->body_capacity) {
    uint32_t size = buffer_bytes (request, needed_bytes);
    char *grown;

    if (size != request->announced_bytes + 1 && !reserve (request, size))
      return refuse (request, BURDOCK_HTTP_REFUSED_NO_MEMORY, false);
    grown = realloc (request->body, size);
    if (grown == NULL)
      return refuse (request, BURDOCK_HTTP_REFUSED_NO_MEMORY, false);
    request->body = grown;
    request->body_capacity = size;
  }
  memcpy (request->body + request->body_bytes, data, *length);
  request->body_bytes += (uint32_t)*length;
  request->body[request->body_bytes] = '\0';
  *length = 0;
  return true;
}

static uint64_t
received_bytes (const BurdockHttpRequest *request)
{
  struct tcp_info info = { 0 };
  socklen_t length = sizeof info;

  if (getsockopt (descriptor_of (request), IPPROTO_TCP, TCP_INFO, &info, &length) != 0)
    return 0;
  return info.tcpi_bytes_received;
}

static bool
has_unread (int descriptor)
{
  int unread_bytes = 0;

  return ioctl (descriptor, FIONREAD, &unread_bytes) == 0 && unread_bytes > 0;
}

/* Whether a body of which no part came for STALL_US is to be given up. */
static bool
is_stalled (BurdockHttpRequest *request, uint64_t idle_us)
{
  uint64_t received;

  if (request->body_reserved_bytes > BURDOCK_MEMORY_SMALL_BYTES || idle_us >= SILENT_US)
    return true;
  /* The buffer of the connection is full of framing that does not end. */
  if (has_unread (descriptor_of (request)))
    return true;
  received = received_bytes (request);
  if (request->window_received_bytes == 0)
    request->window_received_bytes = received;
  return received >= request->window_received_bytes + FRAMING_BYTES;
}

static void
check_progress (BurdockHttpRequest *request)
{
  uint64_t now_us = request->server->now_us;
  bool large = request->body_reserved_bytes > BURDOCK_MEMORY_SMALL_BYTES;
  uint32_t progress_bytes = request->body_bytes - request->window_body_bytes;

  if (progress_bytes >= (large ? PROGRESS_BYTES : 1)) {
    request->window_us = now_us;
    request->window_body_bytes = request->body_bytes;
    request->window_received_bytes = 0;
    return;
  }
  if (now_us < request->window_us + STALL_US - STALL_US / 3)
    return;
  /* Framing without a body is counted over the last third. */
  if (now_us < request->window_us + STALL_US) {
    if (!large && request->window_received_bytes == 0)
      request->window_received_bytes = received_bytes (request);
    return;
  }
  if (!is_stalled (request, now_us - request->window_us))
    return;
  count_refusal (request->server, BURDOCK_HTTP_REFUSED_STALLED);
  if (!request->server->secure)
    send_refusal (request->connection, BURDOCK_HTTP_REFUSED_STALLED);
  burdock_http_release_body (request);
  burdock_http_abort (request);
}

static void
check_reading (BurdockHttpRequest *request)
{
  if (request->server->now_us >= request->read_us + LARGE_ANSWER_IDLE_US)
    burdock_http_abort (request);
}

/* Discards what a refused client sends; ends the connection once it has closed its side,
 * or has sent for too long. */
static void
linger (BurdockHttpRequest *request)
{
  BurdockHttpServer *server = request->server;
  int descriptor = descriptor_of (request);
  ssize_t discarded = 1;

  while (discarded > 0 && request->linger_bytes < LINGER_BYTES) {
    discarded = recv (descriptor, NULL, DISCARD_BYTES, MSG_TRUNC | MSG_DONTWAIT);
    if (discarded > 0)
      request->linger_bytes += (uint32_t)discarded;
  }
  if (discarded < 0 && (errno == EAGAIN || errno == EINTR) &&
      server->now_us < request->linger_end_us)
    return;
  request->lingering = false;
  server->lingering_count--;
  burdock_http_abort (request);
}

void
burdock_http_end_lingering (BurdockHttpServer *server)
{
  BurdockHttpRequest *next;

  if (server->lingering_count == 0 || server->now_us < server->next_linger_us)
    return;
  server->next_linger_us = server->now_us + LINGER_CHECK_US;
  for (BurdockHttpRequest *request = server->open_requests; request != NULL;
       request = next) {
    next = request->next;
    if (request->lingering)
      linger (request);
  }
}

void
burdock_http_check_progress (BurdockHttpServer *server)
{
  bool paused = server->now_us > server->checked_us + PAUSE_US;
  BurdockHttpRequest *next;

  server->checked_us = server->now_us;
  for (BurdockHttpRequest *request = server->open_requests; request != NULL;
       request = next) {
    next = request->next;
    if (request->aborted || request->lingering)
      continue;
    if (paused)
      request->window_us = request->read_us = server->now_us;
    if (request->buffer != NULL)
      check_reading (request);
    else if (!request->dispatched && request->response == NULL)
      check_progress (request);
  }
}

/* Whether a connection waits for a request or for the rest of its head. */
static bool
is_idle (const Connection *connection, uint64_t now_us)
{
  return connection->request == NULL &&
         now_us >= connection->idle_since_us + IDLE_UNDER_PRESSURE_US &&
         !has_unread (connection->descriptor);
}

void
burdock_http_end_idle (BurdockHttpServer *server)
{
  if (server->connection_count < server->limits.connections ||
      !burdock_http_server_has_pending (server))
    return;
  for (Connection *connection = server->connections; connection != NULL;
       connection = connection->next) {
    if (connection->ended || !is_idle (connection, server->now_us))
      continue;
    burdock_http_end_connection (connection);
    server->stats.idle_ended++;
    server->refusals_to_log++;
  }
}

void
burdock_http_log_refusals (BurdockHttpServer *server)
{
  const BurdockHttpServerStats *stats = &server->stats;

  if (server->refusals_to_log == 0 || server->now_us < server->next_log_us)
    return;
  server->next_log_us = server->now_us + LOG_INTERVAL_US;
  server->refusals_to_log = 0;
  burdock_log (BURDOCK_LOG_WARNING, "clients refused", "-",
               "since the start: body too large %" PRIu64 " no memory %" PRIu64
               " no progress %" PRIu64 " malformed head %" PRIu64
               " query too long %" PRIu64 " idle connections %" PRIu64 "; connections %u",
               stats->refused[BURDOCK_HTTP_REFUSED_TOO_LARGE],
               stats->refused[BURDOCK_HTTP_REFUSED_NO_MEMORY],
               stats->refused[BURDOCK_HTTP_REFUSED_STALLED],
               stats->refused[BURDOCK_HTTP_REFUSED_FRAMING],
               stats->refused[BURDOCK_HTTP_REFUSED_TARGET], stats->idle_ended,
               server->connection_count);
}

static void
add_stats (BurdockHttpServerStats *sum, const BurdockHttpServer *server)
{
  for (uint32_t i = 0; i < BURDOCK_HTTP_REFUSALS; i++)
    sum->refused[i] += server->stats.refused[i];
  sum->idle_ended += server->stats.idle_ended;
  sum->connections += server->connection_count;
}

void
burdock_http_metrics (BurdockText *text, const BurdockMemoryBudget *budget,
                      BurdockHttpServer *const *servers, uint32_t count)
{
  BurdockHttpServerStats sum = { 0 };

  for (uint32_t i = 0; i < count; i++)
    if (servers[i] != NULL)
      add_stats (&sum, servers[i]);
  for (BurdockMemoryKind kind = 0; kind < BURDOCK_MEMORY_KINDS; kind++) {
    const char *name = burdock_memory_kind_name (kind);

    burdock_text_format (text, "burdock_client_memory_bytes{kind=\"%s\"} %" PRIu64 "\n",
                         name, budget->used_bytes[kind]);
    burdock_text_format (text,
                         "burdock_client_memory_refused_total{kind=\"%s\"} %" PRIu64 "\n",
                         name, budget->refused[kind]);
  }
  burdock_text_format (text,
                       "burdock_client_memory_peak_bytes %" PRIu64 "\n"
                       "burdock_client_memory_limit_bytes %" PRIu64 "\n"
                       "burdock_client_connections %u\n"
                       "burdock_client_connections_idle_ended_total %" PRIu64 "\n",
                       budget->peak_bytes, budget->total_bytes, sum.connections,
                       sum.idle_ended);
  for (uint32_t i = 0; i < BURDOCK_HTTP_REFUSALS; i++)
    burdock_text_format (text,
                         "burdock_bodies_refused_total{status=\"%u\"} %" PRIu64 "\n",
                         refusals[i].status, sum.refused[i]);
}
