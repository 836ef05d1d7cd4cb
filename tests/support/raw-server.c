#include "raw-server.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUEST_BYTES 4096

struct RawServer {
  const char *answer;
  size_t answer_bytes;
  int listener;
  uint16_t port;
  pthread_t thread;
};

static void *
serve (void *ctx)
{
  const RawServer *server = ctx;
  int peer = accept (server->listener, NULL, NULL);
  char request[REQUEST_BYTES];

  if (peer < 0)
    return NULL;
  if (recv (peer, request, sizeof request, 0) > 0 &&
      send (peer, server->answer, server->answer_bytes, MSG_NOSIGNAL) > 0)
    /* Closing with unread bytes would reset the connection and discard the answer. */
    shutdown (peer, SHUT_WR);
  while (recv (peer, request, sizeof request, 0) > 0)
    ;
  close (peer);
  return NULL;
}

RawServer *
raw_server_start (const char *answer, size_t answer_bytes)
{
  RawServer *server = calloc (1, sizeof *server);
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };
  socklen_t size = sizeof address;

  if (server == NULL)
    abort ();
  server->answer = answer;
  server->answer_bytes = answer_bytes;
  server->listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (server->listener, (struct sockaddr *)&address, size) < 0 ||
      listen (server->listener, 1) < 0 ||
      getsockname (server->listener, (struct sockaddr *)&address, &size) < 0 ||
      pthread_create (&server->thread, NULL, serve, server) != 0)
    abort ();
  server->port = ntohs (address.sin_port);
  return server;
}

uint16_t
raw_server_port (const RawServer *server)
{
  return server->port;
}

void
raw_server_stop (RawServer *server)
{
  shutdown (server->listener, SHUT_RDWR);
  pthread_join (server->thread, NULL);
  close (server->listener);
  free (server);
}
