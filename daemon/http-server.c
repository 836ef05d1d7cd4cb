#include "http-server-private.h"

#include <apr_portable.h>
#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 1024
#define ENDED_TIMEOUT_S 1u
#define CLOSE_RUNS_MAX 16
#define MHD_RUNS_PER_ITERATION 4

/* Closing a socket with unread bytes resets the connection, and its peer may lose the
 * answer. */
#define DISCARD_BYTES (1u << 20)

/* What libmicrohttpd keeps of a query parameter, beside its text. */
#define PARAMETER_BYTES 72
#define US_PER_MS UINT64_C (1000)

/* The headers of a request need about 1 KiB of the connection memory.
 *
 * libmicrohttpd does not watch a suspended connection, and it misses a disconnect that
 * arrives together with a part of a request, so disconnected peers are found by periodic
 * checks. */
static const BurdockHttpLimits default_limits = { .body_bytes = 1u << 20,
                                                  .connection_memory_bytes = 12u << 10,
                                                  .connections = 16384,
                                                  .idle_s = 75,
                                                  .disconnect_check_ms = 500,
                                                  .body_copies = 1 };

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

/* An id consists of a slot and the number of its uses, so that no id is used twice. */
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
close_request (BurdockHttpRequest *request, bool complete)
{
  const BurdockHttpHandler *handler = &request->server->handler;

  if (request->closed)
    return;
  request->closed = true;
  if (request->dispatched)
    handler->closed (handler->ctx, request, complete);
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
    server->open_requests = request->next;
  if (request->next != NULL)
    request->next->previous = request->previous;
  server->slots[(uint32_t)request->id] = NULL;
  server->open_count--;
  if (request->response != NULL)
    MHD_destroy_response (request->response);
  free (request->target);
  free (request->method);
  free (request->path);
  free (request->buffer);
  burdock_http_release_body (request);
  burdock_memory_budget_resize (server->limits.budget, BURDOCK_MEMORY_OUTPUT,
                                request->output_reserved_bytes, 0);
  free (request->output);
  free_headers (request->headers);
  free (request);
}

static void
add_connection (BurdockHttpServer *server, struct MHD_Connection *peer, void **data)
{
  const union MHD_ConnectionInfo *info =
      MHD_get_connection_info (peer, MHD_CONNECTION_INFO_CONNECTION_FD);
  Connection *connection = info != NULL ? calloc (1, sizeof *connection) : NULL;

  *data = connection;
  if (connection == NULL)
    return;
  connection->server = server;
  connection->descriptor = info->connect_fd;
  connection->peer = peer;
  connection->idle_since_us = server->now_us;
  server->connection_count++;
  connection->next = server->connections;
  if (server->connections != NULL)
    server->connections->previous = connection;
  server->connections = connection;
}

void
burdock_http_end_connection (Connection *connection)
{
  BurdockHttpServer *server = connection->server;

  shutdown (connection->descriptor, SHUT_RDWR);
  connection->ended = true;
  if (connection->to_close)
    return;
  connection->to_close = true;
  connection->next_ended = server->ended_connections;
  server->ended_connections = connection;
  server->run_needed = true;
  burdock_loop_wake_at (server->loop, 0);
}

static void
end_request (Connection *connection, bool complete)
{
  BurdockHttpRequest *request = connection->request;

  connection->idle_since_us = connection->server->now_us;
  if (request == NULL)
    return;
  if (!complete || (request->streaming && request->ends_with_connection))
    burdock_http_end_connection (connection);
  close_request (request, complete);
  connection->request = NULL;
  free_request (request);
}

static void
remove_ended (Connection *connection)
{
  Connection **at = &connection->server->ended_connections;

  while (*at != NULL && *at != connection)
    at = &(*at)->next_ended;
  if (*at != NULL)
    *at = connection->next_ended;
}

static void
remove_connection (Connection *connection)
{
  BurdockHttpServer *server;

  if (connection == NULL)
    return;
  server = connection->server;
  end_request (connection, false);
  if (connection->refused)
    recv (connection->descriptor, NULL, DISCARD_BYTES, MSG_TRUNC | MSG_DONTWAIT);
  if (connection->to_close)
    remove_ended (connection);
  server->connection_count--;
  if (connection->previous != NULL)
    connection->previous->next = connection->next;
  else
    server->connections = connection->next;
  if (connection->next != NULL)
    connection->next->previous = connection->previous;
  free (connection->target);
  free (connection);
}

static void
notify_connection (void *ctx, struct MHD_Connection *peer, void **data,
                   enum MHD_ConnectionNotificationCode code)
{
  if (code == MHD_CONNECTION_NOTIFY_STARTED) {
    add_connection (ctx, peer, data);
  } else {
    remove_connection (*data);
    *data = NULL;
  }
}

static Connection *
connection_of (struct MHD_Connection *peer)
{
  const union MHD_ConnectionInfo *info =
      MHD_get_connection_info (peer, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

  return info != NULL ? info->socket_context : NULL;
}

/* Whether the query of @target has more parameters than fit into the memory of a
 * connection. libmicrohttpd would close it without an answer. */
static bool
has_too_many_parameters (const BurdockHttpServer *server, const char *target)
{
  const char *at = strchr (target, '?');
  size_t needed_bytes = strlen (target);

  for (; at != NULL; at = strchr (at + 1, '&'))
    needed_bytes += PARAMETER_BYTES;
  return needed_bytes > server->limits.connection_memory_bytes;
}

/* Called by libmicrohttpd with the request target, before any other callback of a
 * request. It gives no notice of the end of a request that it has not presented to
 * handle_request(), so there is no object of the request before that. */
static void *
receive_target (void *ctx, const char *target, struct MHD_Connection *peer)
{
  Connection *connection = connection_of (peer);

  if (connection == NULL)
    return NULL;
  free (connection->target);
  connection->target = strdup (target);
  if (connection->request == NULL && has_too_many_parameters (connection->server, target))
    burdock_http_refuse_target (connection);
  return NULL;
}

static BurdockHttpRequest *
begin_request (Connection *connection, const char *path, const char *method)
{
  BurdockHttpServer *server = connection->server;
  BurdockHttpRequest *request;

  if (connection->target == NULL)
    return NULL;
  request = calloc (1, sizeof *request);
  if (request == NULL)
    return NULL;
  request->method = strdup (method);
  request->path = strdup (path);
  if (request->method == NULL || request->path == NULL || !assign_id (server, request)) {
    free (request->method);
    free (request->path);
    free (request);
    return NULL;
  }
  request->server = server;
  request->connection = connection;
  request->target = connection->target;
  connection->target = NULL;
  connection->request = request;
  request->next = server->open_requests;
  if (server->open_requests != NULL)
    server->open_requests->previous = request;
  server->open_requests = request;
  server->open_count++;
  return request;
}

/* Makes libmicrohttpd close the connections that were ended. It looks in each run at
 * those with a timeout of their own, at others only from the one that has been idle for
 * longest on, up to the first that is still open. Options of a connection are changed
 * here only, between two runs: during one, it may already be on its way out of the
 * library's lists. */
static void
close_ended (BurdockHttpServer *server)
{
  while (server->ended_connections != NULL) {
    Connection *connection = server->ended_connections;

    server->ended_connections = connection->next_ended;
    connection->to_close = false;
    MHD_set_connection_option (connection->peer, MHD_CONNECTION_OPTION_TIMEOUT,
                               ENDED_TIMEOUT_S);
    server->run_needed = true;
  }
}

static void
notify_completed (void *ctx, struct MHD_Connection *peer, void **data,
                  enum MHD_RequestTerminationCode code)
{
  Connection *connection = connection_of (peer);

  if (connection != NULL)
    end_request (connection, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
}

static uint32_t
peer_ipv4 (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info =
      MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);

  if (info == NULL || info->client_addr->sa_family != AF_INET)
    return 0;
  return ntohl (((const struct sockaddr_in *)info->client_addr)->sin_addr.s_addr);
}

static void
dispatch_request (BurdockHttpRequest *request)
{
  const BurdockHttpHandler *handler = &request->server->handler;

  request->dispatched = true;
  handler->request (handler->ctx, request);
}

static enum MHD_Result
handle_request (void *ctx, struct MHD_Connection *peer, const char *path,
                const char *method, const char *version, const char *data,
                size_t *length_bytes, void **unused)
{
  Connection *connection = connection_of (peer);
  BurdockHttpRequest *request;

  if (connection == NULL || connection->refused)
    return MHD_NO;
  request = connection->request;
  if (request == NULL) {
    request = begin_request (connection, path, method);
    if (request == NULL)
      return MHD_NO;
    request->ends_with_connection = strcmp (version, MHD_HTTP_VERSION_1_0) == 0;
    request->peer = peer_ipv4 (peer);
    if (!burdock_http_admit_body (request))
      return MHD_NO;
    return request->response == NULL
               ? MHD_YES
               : MHD_queue_response (peer, request->status, request->response);
  }
  if (request->aborted)
    return MHD_NO;
  if (*length_bytes > 0)
    return burdock_http_receive_body (request, data, length_bytes) ? MHD_YES : MHD_NO;
  if (request->lingering)
    return MHD_YES;
  if (!request->dispatched && request->response == NULL)
    dispatch_request (request);
  if (request->aborted)
    return MHD_NO;
  if (request->response != NULL)
    return MHD_queue_response (peer, request->status, request->response);
  MHD_suspend_connection (peer);
  request->suspended = true;
  return MHD_YES;
}

void
burdock_http_resume (BurdockHttpRequest *request)
{
  if (!request->suspended)
    return;
  request->suspended = false;
  request->server->run_needed = true;
  burdock_loop_wake_at (request->server->loop, 0);
  MHD_resume_connection (request->connection->peer);
}

/* Runs libmicrohttpd until it has nothing left to do at once, at most
 * MHD_RUNS_PER_ITERATION times: a part of a streamed response takes one run to be read
 * and one to be sent. */
static void
run_daemon (BurdockHttpServer *server)
{
  for (uint32_t i = 0; server->run_needed && i < MHD_RUNS_PER_ITERATION; i++) {
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
peer_disconnected (const Connection *connection)
{
  char byte;
  ssize_t received;

  received = recv (connection->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received == 0 || (received < 0 && errno != EAGAIN && errno != EINTR);
}

/* Aborts a request from the server's own turn, in which the handler may be told. */
static void
terminate_request (BurdockHttpRequest *request)
{
  burdock_http_abort (request);
  close_request (request, false);
}

static void
check_disconnected (BurdockHttpServer *server)
{
  for (Connection *connection = server->connections; connection != NULL;
       connection = connection->next) {
    BurdockHttpRequest *request = connection->request;

    if (connection->ended || (request == NULL && connection->target == NULL) ||
        (request != NULL && (request->aborted || request->lingering)) ||
        !peer_disconnected (connection))
      continue;
    if (request != NULL && request->suspended)
      terminate_request (request);
    else if (request == NULL || !request->dispatched)
      burdock_http_end_connection (connection);
  }
}

static uint64_t
server_hook (void *ctx, uint64_t now_us)
{
  BurdockHttpServer *server = ctx;

  server->now_us = now_us;
  burdock_http_end_lingering (server);
  if (now_us >= server->next_check_us) {
    check_disconnected (server);
    burdock_http_check_progress (server);
    burdock_http_end_idle (server);
    burdock_http_log_refusals (server);
    server->next_check_us = now_us + server->limits.disconnect_check_ms * US_PER_MS;
    server->run_needed = true; /* closes idle connections after their timeout */
  }
  close_ended (server);
  run_daemon (server);
  if (server->run_needed)
    return 0;
  return server->lingering_count > 0 && server->next_linger_us < server->next_check_us
             ? server->next_linger_us
             : server->next_check_us;
}

static void
discard_log (void *ctx, const char *format, va_list args)
{
}

static uint32_t
limit_or_default (uint32_t limit, uint32_t fallback)
{
  return limit > 0 ? limit : fallback;
}

static BurdockHttpLimits
effective_limits (const BurdockHttpLimits *limits)
{
  const BurdockHttpLimits *defaults = &default_limits;

  return (BurdockHttpLimits){
    .body_bytes = limit_or_default (limits->body_bytes, defaults->body_bytes),
    .connection_memory_bytes = limit_or_default (limits->connection_memory_bytes,
                                                 defaults->connection_memory_bytes),
    .connections = limit_or_default (limits->connections, defaults->connections),
    .idle_s = limit_or_default (limits->idle_s, defaults->idle_s),
    .disconnect_check_ms =
        limit_or_default (limits->disconnect_check_ms, defaults->disconnect_check_ms),
    .body_copies = limit_or_default (limits->body_copies, defaults->body_copies),
    .budget = limits->budget,
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
  server->secure = tls != NULL;
  server->now_us = burdock_loop_now_us ();
  server->daemon = MHD_start_daemon (
      flags, 0, NULL, NULL, handle_request, server, MHD_OPTION_EXTERNAL_LOGGER,
      discard_log, NULL, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&local,
      MHD_OPTION_URI_LOG_CALLBACK, receive_target, server, MHD_OPTION_NOTIFY_COMPLETED,
      notify_completed, server, MHD_OPTION_NOTIFY_CONNECTION, notify_connection, server,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned)server->limits.connections,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)server->limits.idle_s,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)server->limits.connection_memory_bytes,
      MHD_OPTION_LISTEN_BACKLOG_SIZE, (unsigned)BACKLOG,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_ARRAY,
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
  for (BurdockHttpRequest *request = server->open_requests; request != NULL;
       request = request->next) {
    /* Complete responses are still sent. */
    if (request->ended)
      close_request (request, false);
    else
      terminate_request (request);
  }
  for (uint32_t i = 0; i < CLOSE_RUNS_MAX && server->open_count > 0; i++) {
    close_ended (server);
    MHD_run (server->daemon);
  }
  MHD_stop_daemon (server->daemon);
  free (server->slots);
  free (server->generations);
  free (server);
}

void
burdock_http_server_disable_keepalive (BurdockHttpServer *server)
{
  server->keepalive_disabled = true;
}

void
burdock_http_server_quiesce (BurdockHttpServer *server)
{
  MHD_socket listener;

  if (server->quiesced)
    return;
  server->quiesced = true;
  listener = MHD_quiesce_daemon (server->daemon);
  if (listener != MHD_INVALID_SOCKET)
    close (listener);
}

uint32_t
burdock_http_server_open_count (const BurdockHttpServer *server)
{
  return server->open_count;
}

bool
burdock_http_server_has_pending (const BurdockHttpServer *server)
{
  const union MHD_DaemonInfo *info =
      MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_LISTEN_FD);
  struct pollfd listener = { .events = POLLIN };

  if (server->quiesced || info == NULL)
    return false;
  listener.fd = info->listen_fd;
  return poll (&listener, 1, 0) > 0;
}

uint32_t
burdock_http_server_unread_count (const BurdockHttpServer *server)
{
  uint32_t count = 0;

  for (const Connection *connection = server->connections; connection != NULL;
       connection = connection->next) {
    int unread_bytes = 0;

    if (ioctl (connection->descriptor, FIONREAD, &unread_bytes) == 0 && unread_bytes > 0)
      count++;
  }
  return count;
}

void
burdock_http_server_each (BurdockHttpServer *server,
                          void (*function) (void *ctx, BurdockHttpRequest *request),
                          void *ctx)
{
  BurdockHttpRequest *next;

  for (BurdockHttpRequest *request = server->open_requests; request != NULL;
       request = next) {
    next = request->next;
    if (request->dispatched && !request->closed && !request->aborted && !request->ended)
      function (ctx, request);
  }
}
