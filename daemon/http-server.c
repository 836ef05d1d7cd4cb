#include "http-server.h"

#include <apr_portable.h>
#include <arpa/inet.h>
#include <errno.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 1024
#define STREAM_TYPE "application/jsonl"
#define STREAM_BLOCK_BYTES 4096

/* Tokens kept for a caller that reads slowly. */
#define STREAM_MAX_BYTES (1u << 20)

#define GONE_TIMEOUT_S 1u
#define US_PER_MS UINT64_C (1000)

/* The headers of the interface need about 1 KiB of the memory of a connection.
 *
 * libmicrohttpd does not watch a suspended connection, and misses the end of one that
 * arrives together with a part of a request, so callers that went away are looked for at
 * intervals. */
static const BurdockHttpLimits default_limits = { .body_bytes = 1u << 20,
                                                  .connection_memory_bytes = 12u << 10,
                                                  .connections = 16384,
                                                  .idle_s = 75,
                                                  .gone_check_ms = 500 };

typedef struct Header {
  struct Header *next;
  char *value;
  char name[];
} Header;

#define ROUNDS_TO_CLOSE 16
#define RUNS_PER_ROUND 4

struct BurdockHttpRequest {
  BurdockHttpServer *server;
  BurdockHttpRequest *next;
  BurdockHttpRequest *previous;
  struct MHD_Connection *connection;
  uint64_t id;
  const char *method;
  char *target;
  char *path;
  char *body;
  uint32_t body_bytes;
  uint32_t body_capacity;
  uint32_t peer;
  struct MHD_Response *response;
  uint32_t status;
  Header *headers;
  bool handed;
  bool suspended;
  bool too_large;
  bool gone;
  bool closed;
  bool streaming;
  bool ended;
  char *output;
  uint32_t output_bytes;
  uint32_t output_sent_bytes;
  uint32_t output_capacity;
  void *data;
};

struct BurdockHttpServer {
  BurdockLoop *loop;
  BurdockHttpHandler handler;
  BurdockHttpLimits limits;
  struct MHD_Daemon *daemon;
  BurdockLoopSource source;
  bool run_needed;
  bool leaving;
  bool quiet;
  uint64_t next_check_us;
  uint32_t open_count;
  BurdockHttpRequest *open;
  BurdockHttpRequest **slots;
  uint32_t *generations;
  uint32_t slot_count;
  uint32_t next_slot;
};

static bool
grow_slots (BurdockHttpServer *server)
{
  uint32_t count = server->slot_count > 0 ? server->slot_count * 2 : 256;
  BurdockHttpRequest **slots =
      realloc (server->slots, count * sizeof (BurdockHttpRequest *));
  uint32_t *generations;

  if (slots == NULL)
    return false;
  server->slots = slots;
  generations = realloc (server->generations, count * sizeof *generations);
  if (generations == NULL)
    return false;
  server->generations = generations;
  memset (slots + server->slot_count, 0,
          (count - server->slot_count) * sizeof (BurdockHttpRequest *));
  memset (generations + server->slot_count, 0,
          (count - server->slot_count) * sizeof *generations);
  server->next_slot = server->slot_count;
  server->slot_count = count;
  return true;
}

/* Ids are a slot and the number of times it was used, so that an id is not used twice. */
static bool
assign_id (BurdockHttpServer *server, BurdockHttpRequest *request)
{
  uint32_t slot;

  if (server->open_count >= server->slot_count && !grow_slots (server))
    return false;
  slot = server->next_slot;
  while (server->slots[slot % server->slot_count] != NULL)
    slot++;
  slot %= server->slot_count;
  server->next_slot = (slot + 1) % server->slot_count;
  server->slots[slot] = request;
  request->id = ((uint64_t)++server->generations[slot] << 32) | slot;
  return true;
}

BurdockHttpRequest *
burdock_http_server_find (BurdockHttpServer *server, uint64_t id)
{
  uint32_t slot = (uint32_t)id;
  BurdockHttpRequest *request = slot < server->slot_count ? server->slots[slot] : NULL;

  return request != NULL && request->id == id && !request->closed ? request : NULL;
}

static void
close_request (BurdockHttpRequest *request, bool whole)
{
  const BurdockHttpHandler *handler = &request->server->handler;

  if (request->closed)
    return;
  request->closed = true;
  if (request->handed)
    handler->closed (handler->ctx, request, whole);
}

static void
free_headers (Header *header)
{
  while (header != NULL) {
    Header *next = header->next;

    free (header->value);
    free (header);
    header = next;
  }
}

static void
free_request (BurdockHttpRequest *request)
{
  BurdockHttpServer *server = request->server;

  if (request->previous != NULL)
    request->previous->next = request->next;
  else
    server->open = request->next;
  if (request->next != NULL)
    request->next->previous = request->previous;
  server->slots[(uint32_t)request->id] = NULL;
  server->open_count--;
  if (request->response != NULL)
    MHD_destroy_response (request->response);
  free (request->target);
  free (request->path);
  free (request->body);
  free (request->output);
  free_headers (request->headers);
  free (request);
}

/* Called by libmicrohttpd with the request line, before anything else of a request. */
static void *
begin_request (void *ctx, const char *target, struct MHD_Connection *connection)
{
  BurdockHttpServer *server = ctx;
  BurdockHttpRequest *request = calloc (1, sizeof *request);

  if (request == NULL)
    return NULL;
  request->target = strdup (target);
  if (request->target == NULL || !assign_id (server, request)) {
    free (request->target);
    free (request);
    return NULL;
  }
  request->server = server;
  request->connection = connection;
  request->next = server->open;
  if (server->open != NULL)
    server->open->previous = request;
  server->open = request;
  server->open_count++;
  return request;
}

static void
end_request (void *ctx, struct MHD_Connection *connection, void **data,
             enum MHD_RequestTerminationCode code)
{
  BurdockHttpRequest *request = *data;

  if (request == NULL)
    return;
  close_request (request, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
  free_request (request);
  *data = NULL;
}

static bool
append (char **buffer, uint32_t *length_bytes, uint32_t *capacity, const char *data,
        uint32_t added_bytes)
{
  uint32_t needed = *length_bytes + added_bytes + 1;

  if (needed > *capacity) {
    uint32_t size = needed + needed / 2 + 128;
    char *grown = realloc (*buffer, size);

    if (grown == NULL)
      return false;
    *buffer = grown;
    *capacity = size;
  }
  memcpy (*buffer + *length_bytes, data, added_bytes);
  *length_bytes += added_bytes;
  (*buffer)[*length_bytes] = '\0';
  return true;
}

static uint32_t
peer_of (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info =
      MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);

  if (info == NULL || info->client_addr->sa_family != AF_INET)
    return 0;
  return ntohl (((const struct sockaddr_in *)info->client_addr)->sin_addr.s_addr);
}

static void
take_body (BurdockHttpRequest *request, const char *data, size_t length_bytes)
{
  if (request->body_bytes + length_bytes > request->server->limits.body_bytes)
    request->too_large = true;
  if (!request->too_large &&
      !append (&request->body, &request->body_bytes, &request->body_capacity, data,
               (uint32_t)length_bytes))
    request->too_large = true;
}

static void
hand_over (BurdockHttpRequest *request)
{
  const BurdockHttpHandler *handler = &request->server->handler;

  if (request->too_large) {
    burdock_http_answer (request, MHD_HTTP_CONTENT_TOO_LARGE, "application/json",
                         strdup ("{\"refused\":\"bad-request\",\"ran\":\"not-run\","
                                 "\"error\":\"body above the limit\"}\n"),
                         "not-run");
    return;
  }
  request->handed = true;
  handler->request (handler->ctx, request);
}

static enum MHD_Result
handle_request (void *ctx, struct MHD_Connection *connection, const char *path,
                const char *method, const char *version, const char *data,
                size_t *length_bytes, void **request_data)
{
  BurdockHttpRequest *request = *request_data;

  if (request == NULL || request->gone)
    return MHD_NO;
  if (request->path == NULL) {
    request->path = strdup (path);
    request->method = method;
    request->peer = peer_of (connection);
    return request->path != NULL ? MHD_YES : MHD_NO;
  }
  if (*length_bytes > 0) {
    take_body (request, data, *length_bytes);
    *length_bytes = 0;
    return MHD_YES;
  }
  if (!request->handed && request->response == NULL)
    hand_over (request);
  if (request->response != NULL)
    return MHD_queue_response (connection, request->status, request->response);
  MHD_suspend_connection (connection);
  request->suspended = true;
  return MHD_YES;
}

static void
resume (BurdockHttpRequest *request)
{
  if (!request->suspended)
    return;
  request->suspended = false;
  request->server->run_needed = true;
  burdock_loop_due (request->server->loop, 0);
  MHD_resume_connection (request->connection);
}

/* Runs libmicrohttpd until it has nothing left to do at once: a part of a streamed answer
 * takes one run to be read and one to be sent. */
static void
run_daemon (BurdockHttpServer *server)
{
  for (uint32_t i = 0; server->run_needed && i < RUNS_PER_ROUND; i++) {
    MHD_UNSIGNED_LONG_LONG timeout_ms = 1;

    server->run_needed = false;
    MHD_run (server->daemon);
    if (MHD_get_timeout (server->daemon, &timeout_ms) == MHD_YES && timeout_ms == 0)
      server->run_needed = true;
  }
}

static void
server_ready (void *ctx, int16_t events)
{
  BurdockHttpServer *server = ctx;

  server->run_needed = true;
}

static bool
peer_gone (const BurdockHttpRequest *request)
{
  const union MHD_ConnectionInfo *info =
      MHD_get_connection_info (request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  char byte;
  ssize_t got;

  if (info == NULL)
    return false;
  got = recv (info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR);
}

static void
cut (BurdockHttpRequest *request)
{
  request->gone = true;
  close_request (request, false);
  resume (request);
}

static void
check_gone (BurdockHttpServer *server)
{
  BurdockHttpRequest *next;

  for (BurdockHttpRequest *request = server->open; request != NULL; request = next) {
    next = request->next;
    if (request->gone || !peer_gone (request))
      continue;
    if (request->suspended)
      cut (request);
    else if (!request->handed)
      MHD_set_connection_option (request->connection, MHD_CONNECTION_OPTION_TIMEOUT,
                                 GONE_TIMEOUT_S);
  }
}

static uint64_t
server_hook (void *ctx, uint64_t now_us)
{
  BurdockHttpServer *server = ctx;

  if (now_us >= server->next_check_us) {
    check_gone (server);
    server->next_check_us = now_us + server->limits.gone_check_ms * US_PER_MS;
    server->run_needed = true; /* for the timeouts of idle connections */
  }
  run_daemon (server);
  return server->run_needed ? 0 : server->next_check_us;
}

static void
log_nothing (void *ctx, const char *format, va_list args)
{
}

static uint32_t
limit_or (uint32_t limit, uint32_t fallback)
{
  return limit > 0 ? limit : fallback;
}

static BurdockHttpLimits
effective_limits (const BurdockHttpLimits *limits)
{
  const BurdockHttpLimits * or = &default_limits;

  return (BurdockHttpLimits){
    .body_bytes = limit_or (limits->body_bytes, or->body_bytes),
    .connection_memory_bytes =
        limit_or (limits->connection_memory_bytes, or->connection_memory_bytes),
    .connections = limit_or (limits->connections, or->connections),
    .idle_s = limit_or (limits->idle_s, or->idle_s),
    .gone_check_ms = limit_or (limits->gone_check_ms, or->gone_check_ms),
  };
}

BurdockHttpServer *
burdock_http_server_new (BurdockLoop *loop, BurdockAddress *address,
                         const BurdockHttpTls *tls, const BurdockHttpHandler *handler)
{
  return burdock_http_server_new_limited (loop, address, tls, handler, &default_limits);
}

BurdockHttpServer *
burdock_http_server_new_limited (BurdockLoop *loop, BurdockAddress *address,
                                 const BurdockHttpTls *tls,
                                 const BurdockHttpHandler *handler,
                                 const BurdockHttpLimits *limits)
{
  BurdockHttpServer *server = calloc (1, sizeof *server);
  struct sockaddr_in local = { .sin_family = AF_INET,
                               .sin_port = htons (address->port),
                               .sin_addr.s_addr = htonl (address->ipv4) };
  unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO |
                   MHD_USE_ERROR_LOG | (tls != NULL ? MHD_USE_TLS : 0);
  struct MHD_OptionItem tls_options[] = {
    { MHD_OPTION_HTTPS_MEM_CERT, 0, tls != NULL ? (void *)tls->certificate : NULL },
    { MHD_OPTION_HTTPS_MEM_KEY, 0, tls != NULL ? (void *)tls->key : NULL },
    { MHD_OPTION_END, 0, NULL },
  };
  struct MHD_OptionItem no_options[] = { { MHD_OPTION_END, 0, NULL } };
  const union MHD_DaemonInfo *info;
  int epoll;

  if (server == NULL)
    return NULL;
  server->loop = loop;
  server->handler = *handler;
  server->limits = effective_limits (limits);
  server->daemon = MHD_start_daemon (
      flags, 0, NULL, NULL, handle_request, server, MHD_OPTION_EXTERNAL_LOGGER,
      log_nothing, NULL, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&local,
      MHD_OPTION_URI_LOG_CALLBACK, begin_request, server, MHD_OPTION_NOTIFY_COMPLETED,
      end_request, server, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)server->limits.connections, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned)server->limits.idle_s, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)server->limits.connection_memory_bytes, MHD_OPTION_LISTEN_BACKLOG_SIZE,
      (unsigned)BACKLOG, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_ARRAY,
      tls != NULL ? tls_options : no_options, MHD_OPTION_END);
  if (server->daemon == NULL) {
    free (server);
    return NULL;
  }
  info = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_BIND_PORT);
  address->port = info->port;
  epoll = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  server->source = (BurdockLoopSource){ .ready = server_ready, .ctx = server };
  apr_os_sock_put (&server->source.socket, &epoll, burdock_loop_pool (loop));
  burdock_loop_watch (loop, &server->source, APR_POLLIN);
  burdock_loop_add_hook (loop, server_hook, server);
  return server;
}

void
burdock_http_server_free (BurdockHttpServer *server)
{
  if (server == NULL)
    return;
  burdock_loop_watch (server->loop, &server->source, 0);
  for (BurdockHttpRequest *request = server->open; request != NULL;
       request = request->next)
    cut (request);
  for (uint32_t i = 0; i < ROUNDS_TO_CLOSE && server->open_count > 0; i++)
    MHD_run (server->daemon);
  MHD_stop_daemon (server->daemon);
  free (server->slots);
  free (server->generations);
  free (server);
}

void
burdock_http_server_leave (BurdockHttpServer *server)
{
  server->leaving = true;
}

void
burdock_http_server_quiesce (BurdockHttpServer *server)
{
  MHD_socket listener;

  if (server->quiet)
    return;
  server->quiet = true;
  listener = MHD_quiesce_daemon (server->daemon);
  if (listener != MHD_INVALID_SOCKET)
    close (listener);
}

uint32_t
burdock_http_server_open (const BurdockHttpServer *server)
{
  return server->open_count;
}

void
burdock_http_server_each (BurdockHttpServer *server,
                          void (*function) (void *ctx, BurdockHttpRequest *request),
                          void *ctx)
{
  BurdockHttpRequest *next;

  for (BurdockHttpRequest *request = server->open; request != NULL; request = next) {
    next = request->next;
    if (request->handed && !request->closed && !request->ended)
      function (ctx, request);
  }
}

uint64_t
burdock_http_id (const BurdockHttpRequest *request)
{
  return request->id;
}

const char *
burdock_http_method (const BurdockHttpRequest *request)
{
  return request->method;
}

const char *
burdock_http_path (const BurdockHttpRequest *request)
{
  return request->path;
}

const char *
burdock_http_target (const BurdockHttpRequest *request)
{
  return request->target;
}

const char *
burdock_http_header (const BurdockHttpRequest *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_HEADER_KIND, name);
}

const char *
burdock_http_query (const BurdockHttpRequest *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection, MHD_GET_ARGUMENT_KIND, name);
}

BurdockBytes
burdock_http_body (const BurdockHttpRequest *request)
{
  return (BurdockBytes){ .data = (const uint8_t *)(request->body != NULL ? request->body
                                                                         : ""),
                         .length_bytes = request->body_bytes };
}

uint32_t
burdock_http_peer (const BurdockHttpRequest *request)
{
  return request->peer;
}

void
burdock_http_set_data (BurdockHttpRequest *request, void *data)
{
  request->data = data;
}

void *
burdock_http_data (const BurdockHttpRequest *request)
{
  return request->data;
}

typedef struct {
  void (*function) (void *ctx, const char *name, const char *value);
  void *ctx;
} HeaderVisitor;

static enum MHD_Result
visit_header (void *ctx, enum MHD_ValueKind kind, const char *name, const char *value)
{
  const HeaderVisitor *visitor = ctx;

  visitor->function (visitor->ctx, name, value != NULL ? value : "");
  return MHD_YES;
}

void
burdock_http_each_header (BurdockHttpRequest *request,
                          void (*function) (void *ctx, const char *name,
                                            const char *value),
                          void *ctx)
{
  HeaderVisitor visitor = { .function = function, .ctx = ctx };

  MHD_get_connection_values (request->connection, MHD_HEADER_KIND, visit_header,
                             &visitor);
}

void
burdock_http_set_header (BurdockHttpRequest *request, const char *name, const char *value)
{
  Header *header = malloc (sizeof *header + strlen (name) + 1);

  if (header == NULL)
    abort ();
  memcpy (header->name, name, strlen (name) + 1);
  header->value = strdup (value);
  header->next = request->headers;
  request->headers = header;
}

static void
add_headers (BurdockHttpRequest *request, const char *type)
{
  struct MHD_Response *response = request->response;

  if (type != NULL)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, type);
  for (const Header *header = request->headers; header != NULL; header = header->next)
    MHD_add_response_header (response, header->name, header->value);
  if (request->server->leaving)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
}

void
burdock_http_answer (BurdockHttpRequest *request, uint32_t status, const char *type,
                     char *body, const char *ran)
{
  if (request->response != NULL || request->gone || body == NULL) {
    free (body);
    return;
  }
  request->status = status;
  request->ended = true;
  request->response =
      MHD_create_response_from_buffer (strlen (body), body, MHD_RESPMEM_MUST_FREE);
  add_headers (request, type);
  if (ran != NULL)
    MHD_add_response_header (request->response, "Burdock-Ran", ran);
  resume (request);
}

void
burdock_http_answer_bytes (BurdockHttpRequest *request, uint32_t status,
                           BurdockBytes body)
{
  if (request->response != NULL || request->gone)
    return;
  request->status = status;
  request->ended = true;
  request->response =
      MHD_create_response_from_buffer (body.length_bytes, (void *)body.data,
                                       MHD_RESPMEM_MUST_COPY);
  add_headers (request, NULL);
  resume (request);
}

void
burdock_http_abort (BurdockHttpRequest *request)
{
  request->gone = true;
  resume (request);
}

static ssize_t
read_stream (void *ctx, uint64_t position, char *out, size_t size_bytes)
{
  BurdockHttpRequest *request = ctx;
  size_t left = request->output_bytes - request->output_sent_bytes;
  size_t take = left < size_bytes ? left : size_bytes;

  if (request->gone)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (take > 0) {
    memcpy (out, request->output + request->output_sent_bytes, take);
    request->output_sent_bytes += (uint32_t)take;
    if (take == left)
      request->output_bytes = request->output_sent_bytes = 0;
    return (ssize_t)take;
  }
  if (request->ended)
    return MHD_CONTENT_READER_END_OF_STREAM;
  MHD_suspend_connection (request->connection);
  request->suspended = true;
  return 0;
}

static void
start_stream (BurdockHttpRequest *request, uint32_t status, const char *type)
{
  request->streaming = true;
  request->status = status;
  request->response =
      MHD_create_response_from_callback (MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES,
                                         read_stream, request, NULL);
  add_headers (request, type);
}

void
burdock_http_stream_start (BurdockHttpRequest *request, uint32_t status)
{
  if (request->gone || request->response != NULL)
    return;
  start_stream (request, status, NULL);
  resume (request);
}

int
burdock_http_stream_write (BurdockHttpRequest *request, const char *data,
                           uint32_t length_bytes)
{
  if (request->gone || request->ended)
    return 0;
  if (request->output_bytes + length_bytes > STREAM_MAX_BYTES ||
      !append (&request->output, &request->output_bytes, &request->output_capacity, data,
               length_bytes)) {
    cut (request);
    return -ENOBUFS;
  }
  if (!request->streaming)
    start_stream (request, MHD_HTTP_OK, STREAM_TYPE);
  resume (request);
  return 0;
}

void
burdock_http_stream_end (BurdockHttpRequest *request)
{
  request->ended = true;
  resume (request);
}

bool
burdock_http_streaming (const BurdockHttpRequest *request)
{
  return request->streaming;
}
