#include "script-server.h"

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUEST_BYTES 65536
#define HEAD_BYTES 4096
#define CONNECTIONS_MAX 16
#define POLL_MS 10

/* Status code and space at the begin of a response of the script. */
#define STATUS_BYTES 4

typedef struct {
  int descriptor;
  size_t length_bytes;
  char text[REQUEST_BYTES];
} Connection;

struct ScriptServer {
  const char *const *responses;
  uint32_t count;
  atomic_uint received;
  atomic_bool stopping;
  int listener;
  uint16_t port;
  pthread_t thread;
  uint32_t connection_count;
  Connection connections[CONNECTIONS_MAX];
};

static char last_request[REQUEST_BYTES];
static char request_lines[REQUEST_BYTES];

/* Returns the length of the request at the start of @text, 0 while it is incomplete. */
static size_t
request_length (const char *text)
{
  const char *end = strstr (text, "\r\n\r\n");
  const char *field = strcasestr (text, "Content-Length:");
  size_t length;

  if (end == NULL)
    return 0;
  length = (size_t)(end - text) + 4;
  if (field != NULL && field < end)
    length += strtoul (field + strlen ("Content-Length:"), NULL, 10);
  return strlen (text) >= length ? length : 0;
}

static char *
format_response (const char *response)
{
  const char *body = response + STATUS_BYTES;
  size_t size_bytes = strlen (response) + HEAD_BYTES;
  char *raw = malloc (size_bytes);
  int header_bytes = 0;

  if (raw == NULL)
    abort ();

  if (*body == '<') {
    header_bytes = (int)strcspn (body + 1, ">");
    body += header_bytes + 2;
  }
  snprintf (raw, size_bytes, "HTTP/1.1 %.3s x\r\n%.*s%sContent-Length: %zu\r\n\r\n%s",
            response, header_bytes, response + STATUS_BYTES + 1,
            header_bytes > 0 ? "\r\n" : "", strlen (body), body);
  return raw;
}

static bool
send_text (const Connection *connection, const char *text)
{
  return send (connection->descriptor, text, strlen (text), MSG_NOSIGNAL) > 0;
}

/* Sends the next response of the script; returns false to close the connection. */
static bool
send_response (ScriptServer *server, const Connection *connection)
{
  uint32_t number = atomic_fetch_add (&server->received, 1);
  const char *response = number < server->count ? server->responses[number] : SCRIPT_CUT;
  char *raw;
  bool sent;

  if (strcmp (response, SCRIPT_STALL) == 0)
    return true;
  if (strcmp (response, SCRIPT_CUT) == 0)
    return false;
  if (strncmp (response, "HTTP", 4) == 0)
    return send_text (connection, response);
  raw = format_response (response);
  sent = send_text (connection, raw);
  free (raw);
  return sent;
}

static void
note_request (const char *text, size_t length_bytes)
{
  size_t used = strlen (request_lines);

  memcpy (last_request, text, length_bytes + 1);
  snprintf (request_lines + used, sizeof request_lines - used, "%.*s\n",
            (int)strcspn (text, "\r"), text);
}

static bool
serve_connection (ScriptServer *server, Connection *connection)
{
  ssize_t got = recv (connection->descriptor, connection->text + connection->length_bytes,
                      REQUEST_BYTES - 1 - connection->length_bytes, 0);
  size_t length;

  if (got <= 0)
    return false;
  connection->length_bytes += (size_t)got;
  connection->text[connection->length_bytes] = '\0';
  length = request_length (connection->text);
  if (length == 0)
    return true;
  note_request (connection->text, connection->length_bytes);
  connection->length_bytes -= length;
  memmove (connection->text, connection->text + length, connection->length_bytes + 1);
  return send_response (server, connection);
}

static void
accept_connection (ScriptServer *server)
{
  int descriptor = accept (server->listener, NULL, NULL);

  if (descriptor < 0 || server->connection_count == CONNECTIONS_MAX)
    abort ();
  server->connections[server->connection_count].descriptor = descriptor;
  server->connections[server->connection_count++].length_bytes = 0;
}

static void *
run_server (void *ctx)
{
  ScriptServer *server = ctx;

  while (!atomic_load (&server->stopping)) {
    struct pollfd polled[CONNECTIONS_MAX + 1];
    uint32_t count = server->connection_count;

    for (uint32_t i = 0; i < count; i++)
      polled[i] = (struct pollfd){ server->connections[i].descriptor, POLLIN, 0 };
    polled[count] = (struct pollfd){ server->listener, POLLIN, 0 };
    if (poll (polled, count + 1, POLL_MS) <= 0)
      continue;
    for (uint32_t i = 0; i < count; i++)
      if (polled[i].revents != 0 && !serve_connection (server, &server->connections[i])) {
        close (server->connections[i].descriptor);
        server->connections[i].descriptor = -1;
      }
    if (polled[count].revents != 0)
      accept_connection (server);
  }
  return NULL;
}

ScriptServer *
script_server_start (const char *const *responses, uint32_t count)
{
  ScriptServer *server = calloc (1, sizeof *server);
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;

  if (server == NULL)
    abort ();
  request_lines[0] = '\0';
  server->responses = responses;
  server->count = count;
  server->listener = socket (AF_INET, SOCK_STREAM, 0);
  if (server->listener < 0 ||
      bind (server->listener, (struct sockaddr *)&address, size) != 0 ||
      listen (server->listener, CONNECTIONS_MAX) != 0 ||
      getsockname (server->listener, (struct sockaddr *)&address, &size) != 0 ||
      pthread_create (&server->thread, NULL, run_server, server) != 0)
    abort ();
  server->port = ntohs (address.sin_port);
  return server;
}

uint32_t
script_server_stop (ScriptServer *server)
{
  uint32_t received;

  atomic_store (&server->stopping, true);
  pthread_join (server->thread, NULL);
  received = atomic_load (&server->received);
  for (uint32_t i = 0; i < server->connection_count; i++)
    if (server->connections[i].descriptor >= 0)
      close (server->connections[i].descriptor);
  close (server->listener);
  free (server);
  return received;
}

uint16_t
script_server_port (const ScriptServer *server)
{
  return server->port;
}

const char *
script_server_last_request (void)
{
  return last_request;
}

const char *
script_server_request_lines (void)
{
  return request_lines;
}
