#include "transport.h"

#include "hash-table.h"
#include "message.h"

#include <apr_network_io.h>
#include <apr_portable.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define READ_BYTES (256u << 10)
#define BACKLOG 512

/* Holds several frames of the largest size, and seconds of tokens for a slow entry. */
#define OUTPUT_MAX_BYTES (8u << 20)

/* An empty buffer with a larger capacity is released. */
#define BUFFER_RETAIN_BYTES (64u << 10)

/* A peer in another failure domain accepts within milliseconds; TCP retransmits a lost
 * SYN after one second. */
#define CONNECT_TIMEOUT_US UINT64_C (2000000)

/* Bounds the descriptors held for connections that are no longer used. */
#define IDLE_TIMEOUT_US UINT64_C (120000000)
#define EXPIRY_CHECK_US UINT64_C (500000)

typedef struct {
  uint8_t *data;
  uint32_t length_bytes;
  uint32_t capacity_bytes;
} Buffer;

/**
 * struct Connection - connection to one peer
 * @dirty: whether it is in the list of connections whose output is written at the end of
 *   the loop iteration
 * @output_sent_bytes: number of bytes of @output that were written
 */
typedef struct Connection {
  BurdockTransport *transport;
  BurdockLoopSource source;
  apr_pool_t *pool;
  apr_socket_t *socket;
  BurdockAddress peer;
  uint64_t key;
  bool connected;
  bool closed;
  bool dirty;
  uint64_t last_use_us;
  Buffer input;
  Buffer output;
  uint32_t output_sent_bytes;
  struct Connection *next_dirty;
} Connection;

struct BurdockTransport {
  BurdockLoop *loop;
  BurdockTransportHandler handler;
  bool can_connect;
  apr_pool_t *pool;
  apr_hash_t *connections;
  BurdockLoopSource listener;
  Connection *dirty;
  uint64_t next_expiry_check_us;
  uint32_t pending_count;
  uint8_t *read_buffer;
};

static bool
buffer_append (Buffer *buffer, const uint8_t *data, uint32_t length_bytes)
{
  uint32_t needed = buffer->length_bytes + length_bytes;

  if (needed > buffer->capacity_bytes) {
    uint32_t capacity = buffer->capacity_bytes > 0 ? buffer->capacity_bytes : 1024;
    uint8_t *grown;

    while (capacity < needed)
      capacity *= 2;
    grown = realloc (buffer->data, capacity);
    if (grown == NULL)
      return false;
    buffer->data = grown;
    buffer->capacity_bytes = capacity;
  }
  memcpy (buffer->data + buffer->length_bytes, data, length_bytes);
  buffer->length_bytes = needed;
  return true;
}

static void
buffer_empty (Buffer *buffer)
{
  buffer->length_bytes = 0;
  if (buffer->capacity_bytes <= BUFFER_RETAIN_BYTES)
    return;
  free (buffer->data);
  *buffer = (Buffer){ 0 };
}

static uint64_t
address_key (BurdockAddress address)
{
  return ((uint64_t)address.ipv4 << 16) | address.port;
}

static BurdockAddress
from_sockaddr (const apr_sockaddr_t *address)
{
  return (BurdockAddress){ .ipv4 = ntohl (address->sa.sin.sin_addr.s_addr),
                           .port = address->port };
}

static int
to_sockaddr (BurdockAddress address, apr_pool_t *pool, apr_sockaddr_t **out)
{
  if (apr_sockaddr_info_get (out, NULL, APR_INET, address.port, 0, pool) != APR_SUCCESS)
    return -EINVAL;
  (*out)->sa.sin.sin_addr.s_addr = htonl (address.ipv4);
  return 0;
}

static void
release_connection (void *ctx)
{
  Connection *connection = ctx;

  free (connection->input.data);
  free (connection->output.data);
  apr_pool_destroy (connection->pool);
  free (connection);
}

/* Closes a connection; its memory is released after the current loop iteration. */
static void
close_connection (Connection *connection)
{
  BurdockTransport *transport = connection->transport;

  if (connection->closed)
    return;
  connection->closed = true;
  burdock_loop_watch (transport->loop, &connection->source, 0);
  apr_socket_close (connection->socket);
  apr_hash_set (transport->connections, &connection->key, sizeof connection->key, NULL);
  if (connection->output.length_bytes > 0)
    transport->pending_count--;
  if (!connection->dirty)
    burdock_loop_post (transport->loop, release_connection, connection);
}

/* Closes a connection and reports it to the handler. */
static void
drop_connection (Connection *connection)
{
  BurdockTransport *transport = connection->transport;

  if (connection->closed)
    return;
  close_connection (connection);
  transport->handler.disconnected (transport->handler.ctx, connection->peer,
                                   connection->connected);
}

/* Passes the complete frames at @data to the handler; returns the number of bytes
 * consumed, or a negative error. */
static int64_t
deliver_frames (Connection *connection, const uint8_t *data, uint32_t length_bytes)
{
  const BurdockTransportHandler *handler = &connection->transport->handler;
  uint32_t consumed = 0;

  while (consumed < length_bytes) {
    int64_t frame_bytes = burdock_frame_length (data + consumed, length_bytes - consumed);
    int status;

    if (frame_bytes < 0)
      return frame_bytes;
    if (frame_bytes == 0 || frame_bytes > length_bytes - consumed)
      break;
    status = handler->frame (handler->ctx, connection->peer, data + consumed,
                             (uint32_t)frame_bytes);
    if (status == -EPROTO || status == -EMSGSIZE || status == -EACCES)
      return status;
    consumed += (uint32_t)frame_bytes;
  }
  return consumed;
}

static bool
process_input (Connection *connection, const uint8_t *data, uint32_t length_bytes)
{
  Buffer *input = &connection->input;
  int64_t consumed;

  if (input->length_bytes == 0) {
    consumed = deliver_frames (connection, data, length_bytes);
    return consumed >= 0 &&
           (consumed == length_bytes ||
            buffer_append (input, data + consumed, length_bytes - (uint32_t)consumed));
  }
  if (!buffer_append (input, data, length_bytes))
    return false;
  consumed = deliver_frames (connection, input->data, input->length_bytes);
  if (consumed < 0)
    return false;
  if (consumed == input->length_bytes) {
    buffer_empty (input);
    return true;
  }
  memmove (input->data, input->data + consumed, input->length_bytes - (uint32_t)consumed);
  input->length_bytes -= (uint32_t)consumed;
  return true;
}

static void
read_connection (Connection *connection)
{
  BurdockTransport *transport = connection->transport;
  apr_size_t length_bytes = READ_BYTES;
  apr_status_t status =
      apr_socket_recv (connection->socket, (char *)transport->read_buffer, &length_bytes);

  if (length_bytes > 0) {
    connection->last_use_us = burdock_loop_now_us ();
    if (!process_input (connection, transport->read_buffer, (uint32_t)length_bytes))
      drop_connection (connection);
    return;
  }
  if (status != APR_SUCCESS && !APR_STATUS_IS_EAGAIN (status))
    drop_connection (connection);
}

static void
watch_connection (Connection *connection)
{
  bool pending = connection->output.length_bytes > connection->output_sent_bytes;
  int16_t events = APR_POLLIN;

  if (!connection->connected)
    events = APR_POLLOUT;
  else if (pending)
    events |= APR_POLLOUT;
  burdock_loop_watch (connection->transport->loop, &connection->source, events);
}

/* Moves unsent bytes to the start of the buffer, which would otherwise grow without bound
 * for a peer that always lags a little. */
static void
compact_output (Connection *connection)
{
  Buffer *output = &connection->output;

  if (connection->output_sent_bytes < BUFFER_RETAIN_BYTES ||
      connection->output_sent_bytes < output->length_bytes / 2)
    return;
  output->length_bytes -= connection->output_sent_bytes;
  memmove (output->data, output->data + connection->output_sent_bytes,
           output->length_bytes);
  connection->output_sent_bytes = 0;
}

static void
write_connection (Connection *connection)
{
  Buffer *output = &connection->output;
  apr_size_t length_bytes = output->length_bytes - connection->output_sent_bytes;
  apr_status_t status;

  if (!connection->connected || length_bytes == 0)
    return;
  status = apr_socket_send (connection->socket,
                            (char *)output->data + connection->output_sent_bytes,
                            &length_bytes);
  if (status != APR_SUCCESS && !APR_STATUS_IS_EAGAIN (status)) {
    drop_connection (connection);
    return;
  }
  connection->output_sent_bytes += (uint32_t)length_bytes;
  connection->last_use_us = burdock_loop_now_us ();
  if (connection->output_sent_bytes == output->length_bytes) {
    buffer_empty (output);
    connection->output_sent_bytes = 0;
    connection->transport->pending_count--;
  }
  compact_output (connection);
  watch_connection (connection);
}

static void
finish_connect (Connection *connection)
{
  apr_os_sock_t descriptor;
  int error = 0;
  socklen_t size = sizeof error;

  apr_os_sock_get (&descriptor, connection->socket);
  if (getsockopt (descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    drop_connection (connection);
    return;
  }
  connection->connected = true;
  write_connection (connection);
  if (!connection->closed)
    watch_connection (connection);
}

static void
connection_ready (void *ctx, int16_t events)
{
  Connection *connection = ctx;

  if (!connection->connected) {
    finish_connect (connection);
    return;
  }
  if (events & APR_POLLOUT)
    write_connection (connection);
  if (!connection->closed && (events & ~APR_POLLOUT))
    read_connection (connection);
}

static Connection *
add_connection (BurdockTransport *transport, apr_pool_t *pool, apr_socket_t *socket,
                BurdockAddress peer)
{
  Connection *connection = calloc (1, sizeof *connection);
  uint64_t key = address_key (peer);
  Connection *stale = apr_hash_get (transport->connections, &key, sizeof key);

  if (connection == NULL)
    return NULL;
  /* A second connection with the same address can only exist while the end of the first
   * has not been noticed. */
  if (stale != NULL)
    drop_connection (stale);
  *connection = (Connection){
    .transport = transport,
    .source = { .ready = connection_ready, .ctx = connection, .socket = socket },
    .pool = pool,
    .socket = socket,
    .peer = peer,
    .key = key,
    .last_use_us = burdock_loop_now_us (),
  };
  apr_socket_opt_set (socket, APR_SO_NONBLOCK, 1);
  apr_socket_timeout_set (socket, 0);
  apr_socket_opt_set (socket, APR_TCP_NODELAY, 1);
  apr_hash_set (transport->connections, &connection->key, sizeof connection->key,
                connection);
  return connection;
}

/* Starts to connect; finish_connect() receives the result. */
static int
open_connection (BurdockTransport *transport, BurdockAddress to, Connection **out)
{
  apr_pool_t *pool;
  apr_socket_t *socket;
  apr_sockaddr_t *address;
  apr_status_t status;

  if (apr_pool_create (&pool, transport->pool) != APR_SUCCESS)
    return -ENOMEM;
  if (to_sockaddr (to, pool, &address) < 0 ||
      apr_socket_create (&socket, APR_INET, SOCK_STREAM, APR_PROTO_TCP, pool) !=
          APR_SUCCESS) {
    apr_pool_destroy (pool);
    return -EMFILE;
  }
  apr_socket_opt_set (socket, APR_SO_NONBLOCK, 1);
  apr_socket_timeout_set (socket, 0);
  status = apr_socket_connect (socket, address);
  if (status != APR_SUCCESS && !APR_STATUS_IS_EINPROGRESS (status)) {
    apr_pool_destroy (pool);
    return -ECONNREFUSED;
  }
  *out = add_connection (transport, pool, socket, to);
  if (*out == NULL)
    return -ENOMEM;
  watch_connection (*out);
  return 0;
}

int
burdock_transport_send (BurdockTransport *transport, BurdockAddress to,
                        const uint8_t *frame, uint32_t length_bytes)
{
  uint64_t key = address_key (to);
  Connection *connection = apr_hash_get (transport->connections, &key, sizeof key);
  bool was_empty;
  int status = 0;

  if (connection == NULL && !transport->can_connect)
    return -ENOTCONN;
  if (connection == NULL)
    status = open_connection (transport, to, &connection);
  if (status < 0)
    return status;
  if (connection->output.length_bytes - connection->output_sent_bytes + length_bytes >
      OUTPUT_MAX_BYTES)
    return -EAGAIN;
  was_empty = connection->output.length_bytes == 0;
  if (!buffer_append (&connection->output, frame, length_bytes))
    return -EAGAIN;
  if (was_empty)
    transport->pending_count++;
  if (!connection->dirty) {
    connection->dirty = true;
    connection->next_dirty = transport->dirty;
    transport->dirty = connection;
  }
  return 0;
}

static void
accept_connection (void *ctx, int16_t events)
{
  BurdockTransport *transport = ctx;
  apr_pool_t *pool;
  apr_socket_t *socket;
  apr_sockaddr_t *remote;
  Connection *connection;

  if (apr_pool_create (&pool, transport->pool) != APR_SUCCESS)
    return;
  if (apr_socket_accept (&socket, transport->listener.socket, pool) != APR_SUCCESS ||
      apr_socket_addr_get (&remote, APR_REMOTE, socket) != APR_SUCCESS ||
      (connection = add_connection (transport, pool, socket, from_sockaddr (remote))) ==
          NULL) {
    apr_pool_destroy (pool);
    return;
  }
  connection->connected = true;
  watch_connection (connection);
}

static void
flush_dirty (BurdockTransport *transport)
{
  while (transport->dirty != NULL) {
    Connection *connection = transport->dirty;

    transport->dirty = connection->next_dirty;
    connection->dirty = false;
    if (connection->closed)
      burdock_loop_post (transport->loop, release_connection, connection);
    else
      write_connection (connection);
  }
}

static void
close_expired (BurdockTransport *transport, uint64_t now_us)
{
  apr_hash_index_t *index = apr_hash_first (NULL, transport->connections);

  for (; index != NULL; index = apr_hash_next (index)) {
    void *value;
    Connection *connection;
    uint64_t idle_us;

    apr_hash_this (index, NULL, NULL, &value);
    connection = value;
    idle_us = now_us > connection->last_use_us ? now_us - connection->last_use_us : 0;
    if (!connection->connected && idle_us > CONNECT_TIMEOUT_US) {
      drop_connection (connection);
      return; /* the handler may have changed the table, which invalidates the iterator */
    }
    if (idle_us > IDLE_TIMEOUT_US && connection->output.length_bytes == 0) {
      drop_connection (connection);
      return;
    }
  }
  transport->next_expiry_check_us = now_us + EXPIRY_CHECK_US;
}

static uint64_t
transport_hook (void *ctx, uint64_t now_us)
{
  BurdockTransport *transport = ctx;

  if (now_us >= transport->next_expiry_check_us)
    close_expired (transport, now_us);
  flush_dirty (transport);
  return transport->next_expiry_check_us;
}

BurdockTransport *
burdock_transport_new (BurdockLoop *loop, const BurdockTransportHandler *handler,
                       bool can_connect)
{
  BurdockTransport *transport = calloc (1, sizeof *transport);

  if (transport == NULL)
    return NULL;
  transport->read_buffer = malloc (READ_BYTES);
  if (transport->read_buffer == NULL ||
      apr_pool_create (&transport->pool, burdock_loop_pool (loop)) != APR_SUCCESS) {
    free (transport->read_buffer);
    free (transport);
    return NULL;
  }
  transport->loop = loop;
  transport->handler = *handler;
  transport->can_connect = can_connect;
  transport->connections = burdock_hash_table_new (transport->pool);
  burdock_loop_add_hook (loop, transport_hook, transport);
  return transport;
}

void
burdock_transport_free (BurdockTransport *transport)
{
  if (transport == NULL)
    return;
  if (transport->listener.active) {
    burdock_loop_watch (transport->loop, &transport->listener, 0);
    apr_socket_close (transport->listener.socket);
  }
  flush_dirty (transport);
  for (;;) {
    apr_hash_index_t *index = apr_hash_first (NULL, transport->connections);
    void *value;

    if (index == NULL)
      break;
    apr_hash_this (index, NULL, NULL, &value);
    close_connection (value);
  }
  flush_dirty (transport);
  /* The pool is released with the loop: burdock_loop_free() first runs the posted calls
   * of release_connection(). */
  free (transport->read_buffer);
  free (transport);
}

uint32_t
burdock_transport_pending_count (const BurdockTransport *transport)
{
  return transport->pending_count;
}

int
burdock_transport_listen (BurdockTransport *transport, BurdockAddress *address)
{
  apr_sockaddr_t *local;
  apr_socket_t *socket;

  if (to_sockaddr (*address, transport->pool, &local) < 0 ||
      apr_socket_create (&socket, APR_INET, SOCK_STREAM, APR_PROTO_TCP,
                         transport->pool) != APR_SUCCESS)
    return -EMFILE;
  apr_socket_opt_set (socket, APR_SO_REUSEADDR, 1);
  apr_socket_opt_set (socket, APR_SO_NONBLOCK, 1);
  apr_socket_timeout_set (socket, 0);
  if (apr_socket_bind (socket, local) != APR_SUCCESS)
    return -EADDRINUSE;
  if (apr_socket_listen (socket, BACKLOG) != APR_SUCCESS ||
      apr_socket_addr_get (&local, APR_LOCAL, socket) != APR_SUCCESS)
    return -EIO;
  address->port = local->port;
  transport->listener = (BurdockLoopSource){ .ready = accept_connection,
                                             .ctx = transport,
                                             .socket = socket };
  return burdock_loop_watch (transport->loop, &transport->listener, APR_POLLIN);
}
