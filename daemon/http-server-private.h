/**
 * DOC: http-server-private.h - state shared by the source files of the HTTP server
 *
 * http-server.c runs connections and receives requests; http-response.c has the accessors
 * of requests and builds responses.
 */
#ifndef BURDOCK_HTTP_SERVER_PRIVATE_H
#define BURDOCK_HTTP_SERVER_PRIVATE_H

#include "http-server.h"

#include <microhttpd.h>

/* A response header. */
typedef struct Header {
  struct Header *next;
  char *value;
  char name[];
} Header;

/** struct Connection - connection of a peer, with or without a request */
typedef struct Connection {
  struct Connection *next;
  struct Connection *previous;
  int descriptor;
} Connection;

/**
 * struct BurdockHttpRequest - request and its response
 * @body: request body received so far, with a terminating zero
 * @dispatched: the handler has received the request
 * @suspended: libmicrohttpd leaves the connection alone until burdock_http_resume()
 * @too_large: the request body is above the limit, or memory for it is exhausted
 * @aborted: the connection is to be closed before the end of the response; the handler
 *   may not have been told yet
 * @closed: the end of the request was reported to the handler
 * @streaming: the response is streamed through @output
 * @ended: the response is complete; a part of it may still be unsent
 * @ends_with_connection: the peer sees the end of a stream by that of the connection only
 * @output: bytes of a streamed response, of which the first @output_sent_bytes were
 *   passed to libmicrohttpd
 * @data: pointer of the handler
 */
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
  bool dispatched;
  bool suspended;
  bool too_large;
  bool aborted;
  bool closed;
  bool streaming;
  bool ended;
  bool ends_with_connection;
  char *output;
  uint32_t output_bytes;
  uint32_t output_sent_bytes;
  uint32_t output_capacity;
  void *data;
};

/**
 * struct BurdockHttpServer - server and its open requests
 * @run_needed: libmicrohttpd has work to do
 * @keepalive_disabled: responses end their connections
 * @quiesced: the listening socket is closed
 * @next_check_us: time of the next check for disconnected peers
 * @connections: list of all open connections
 * @open_requests: list of the requests that have not ended, @open_count in number
 * @slots: open request by the lower half of its id, NULL for a free slot
 * @generations: number of uses of each slot, the upper half of the id
 */
struct BurdockHttpServer {
  BurdockLoop *loop;
  BurdockHttpHandler handler;
  BurdockHttpLimits limits;
  struct MHD_Daemon *daemon;
  BurdockLoopSource source;
  bool run_needed;
  bool keepalive_disabled;
  bool quiesced;
  uint64_t next_check_us;
  Connection *connections;
  uint32_t open_count;
  BurdockHttpRequest *open_requests;
  BurdockHttpRequest **slots;
  uint32_t *generations;
  uint32_t slot_count;
  uint32_t next_slot;
};

/**
 * burdock_http_end_connection() - ends the connection of a request towards its peer
 *
 * libmicrohttpd closes a connection that has ended only once it looks at it, which it
 * does from the connection that has been idle for longest on, up to the first one that is
 * still open. The peer sees the end at once, after the bytes that were sent, also if it
 * has stopped reading, and the descriptor is closed in the next run.
 */
void burdock_http_end_connection (BurdockHttpRequest *request);

/** burdock_http_resume() - lets libmicrohttpd continue with a suspended request */
void burdock_http_resume (BurdockHttpRequest *request);

/** burdock_http_append() - appends bytes and a terminating zero; false without memory */
bool burdock_http_append (char **buffer, uint32_t *length_bytes, uint32_t *capacity,
                          const char *data, uint32_t added_bytes);

#endif
