/* Accessors of requests, and responses. */
#include "http-server-private.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define STREAM_CONTENT_TYPE "application/jsonl"

#define STREAM_BLOCK_BYTES 4096
#define LARGE_BLOCK_BYTES (16u << 10)

/* Least growth of a buffer, so that short parts do not each need a larger one. */
#define GROWTH_BYTES 128

/* Output buffered for a peer that reads slowly: the largest event of a stream, 1 MiB,
 * fits beside what waits when its handler stops to read its source. */
#define STREAM_MAX_BYTES (2u << 20)

bool
burdock_http_append (char **buffer, uint32_t *length_bytes, uint32_t *capacity,
                     const char *data, uint32_t added_bytes)
{
  uint32_t needed = *length_bytes + added_bytes + 1;

  if (needed > *capacity) {
    uint32_t size = needed + needed / 2 + GROWTH_BYTES;
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
  return MHD_lookup_connection_value (request->connection->peer, MHD_HEADER_KIND, name);
}

const char *
burdock_http_query (const BurdockHttpRequest *request, const char *name)
{
  return MHD_lookup_connection_value (request->connection->peer, MHD_GET_ARGUMENT_KIND,
                                      name);
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

  MHD_get_connection_values (request->connection->peer, MHD_HEADER_KIND, visit_header,
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
  if (request->server->keepalive_disabled)
    MHD_add_response_header (response, MHD_HTTP_HEADER_CONNECTION, "close");
}

void
burdock_http_respond (BurdockHttpRequest *request, uint32_t status, const char *type,
                      char *body, const char *ran)
{
  if (request->response != NULL || request->aborted || body == NULL) {
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
  burdock_http_resume (request);
}

void
burdock_http_respond_bytes (BurdockHttpRequest *request, uint32_t status,
                            BurdockBytes body)
{
  if (request->response != NULL || request->aborted)
    return;
  request->status = status;
  request->ended = true;
  request->response =
      MHD_create_response_from_buffer (body.length_bytes, (void *)body.data,
                                       MHD_RESPMEM_MUST_COPY);
  add_headers (request, NULL);
  burdock_http_resume (request);
}

/* Passes on a part of a large answer, which libmicrohttpd asks for once its client has
 * taken the one before. */
static ssize_t
read_buffer (void *ctx, uint64_t position, char *out, size_t size_bytes)
{
  BurdockHttpRequest *request = ctx;
  uint64_t left_bytes = request->buffer_bytes - position;
  size_t part_bytes = left_bytes < size_bytes ? (size_t)left_bytes : size_bytes;

  if (request->aborted)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  memcpy (out, request->buffer + position, part_bytes);
  request->read_us = request->server->now_us;
  return (ssize_t)part_bytes;
}

void
burdock_http_respond_buffer (BurdockHttpRequest *request, uint32_t status, char *body,
                             uint32_t body_bytes)
{
  if (request->response != NULL || request->aborted) {
    free (body);
    return;
  }
  request->status = status;
  request->ended = true;
  if (body_bytes > BURDOCK_MEMORY_SMALL_BYTES) {
    request->buffer = body;
    request->buffer_bytes = body_bytes;
    request->read_us = request->server->now_us;
    request->response = MHD_create_response_from_callback (body_bytes, LARGE_BLOCK_BYTES,
                                                           read_buffer, request, NULL);
  } else {
    request->response =
        MHD_create_response_from_buffer (body_bytes, body, MHD_RESPMEM_MUST_FREE);
  }
  add_headers (request, NULL);
  burdock_http_resume (request);
}

void
burdock_http_abort (BurdockHttpRequest *request)
{
  request->aborted = true;
  burdock_http_end_connection (request->connection);
  burdock_http_resume (request);
}

/* A large buffer is given back: a stream of large events is rare. */
static void
empty_output (BurdockHttpRequest *request)
{
  request->output_bytes = request->output_sent_bytes = 0;
  if (request->output_capacity <= BURDOCK_MEMORY_SMALL_BYTES)
    return;
  free (request->output);
  request->output = NULL;
  request->output_capacity = 0;
  burdock_memory_budget_resize (request->server->limits.budget, BURDOCK_MEMORY_OUTPUT,
                                request->output_reserved_bytes, 0);
  request->output_reserved_bytes = 0;
}

/* Appends to the output if the memory budget has room for its buffer. */
static bool
append_output (BurdockHttpRequest *request, const char *data, uint32_t length_bytes)
{
  uint32_t needed_bytes = request->output_bytes + length_bytes + 1;

  if (needed_bytes > request->output_capacity) {
    uint64_t reserved_bytes = needed_bytes + needed_bytes / 2 + GROWTH_BYTES;
    if (!burdock_memory_budget_resize (request->server->limits.budget,
                                       BURDOCK_MEMORY_OUTPUT,
                                       request->output_reserved_bytes, reserved_bytes))
      return false;
    request->output_reserved_bytes = reserved_bytes;
  }
  return burdock_http_append (&request->output, &request->output_bytes,
                              &request->output_capacity, data, length_bytes);
}

static ssize_t
read_stream (void *ctx, uint64_t position, char *out, size_t size_bytes)
{
  BurdockHttpRequest *request = ctx;
  size_t left_bytes = request->output_bytes - request->output_sent_bytes;
  size_t chunk_bytes = left_bytes < size_bytes ? left_bytes : size_bytes;

  if (request->aborted)
    return MHD_CONTENT_READER_END_WITH_ERROR;
  if (chunk_bytes > 0) {
    memcpy (out, request->output + request->output_sent_bytes, chunk_bytes);
    request->output_sent_bytes += (uint32_t)chunk_bytes;
    if (chunk_bytes == left_bytes)
      empty_output (request);
    return (ssize_t)chunk_bytes;
  }
  if (request->ended)
    return MHD_CONTENT_READER_END_OF_STREAM;
  MHD_suspend_connection (request->connection->peer);
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
  if (request->aborted || request->response != NULL)
    return;
  start_stream (request, status, NULL);
  burdock_http_resume (request);
}

/* Moves the output that waits to the start of its buffer. A peer that always reads later
 * than the handler writes never empties the buffer. */
static void
discard_sent (BurdockHttpRequest *request)
{
  if (request->output_sent_bytes <= request->output_bytes / 2)
    return;
  request->output_bytes -= request->output_sent_bytes;
  memmove (request->output, request->output + request->output_sent_bytes,
           request->output_bytes);
  request->output_sent_bytes = 0;
}

uint32_t
burdock_http_stream_waiting_bytes (const BurdockHttpRequest *request)
{
  return request->output_bytes - request->output_sent_bytes;
}

int
burdock_http_stream_write (BurdockHttpRequest *request, const char *data,
                           uint32_t length_bytes)
{
  if (request->aborted || request->ended)
    return -EPIPE;
  discard_sent (request);
  if (burdock_http_stream_waiting_bytes (request) + length_bytes > STREAM_MAX_BYTES ||
      !append_output (request, data, length_bytes)) {
    burdock_http_abort (request);
    return -ENOBUFS;
  }
  if (!request->streaming)
    start_stream (request, MHD_HTTP_OK, STREAM_CONTENT_TYPE);
  burdock_http_resume (request);
  return 0;
}

void
burdock_http_stream_end (BurdockHttpRequest *request)
{
  request->ended = true;
  burdock_http_resume (request);
}

bool
burdock_http_streaming (const BurdockHttpRequest *request)
{
  return request->streaming;
}
