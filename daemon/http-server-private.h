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

/**
 * struct Connection - connection of a peer
 * @peer: valid as long as this object, which ends with the notice of the connection's end
 * @target: request target of a request whose head is incomplete, NULL for none
 * @request: its request that has not ended, NULL for none. It belongs to the connection
 *   and does not outlive it
 * @idle_since_us: time of its start, or of the end of its last request
 * @ended: it was closed towards its peer
 * @refused: its request target was refused, and nothing more is sent
 * @to_close: it is in the list @ended_connections of the server
 * @next_ended: next connection in that list
 */
typedef struct Connection {
  BurdockHttpServer *server;
  struct Connection *next;
  struct Connection *previous;
  struct MHD_Connection *peer;
  char *target;
  BurdockHttpRequest *request;
  uint64_t idle_since_us;
  bool ended;
  bool refused;
  bool to_close;
  struct Connection *next_ended;
  int descriptor;
} Connection;

/**
 * struct BurdockHttpRequest - request and its response
 * @body: request body received so far, with a terminating zero
 * @dispatched: the handler has received the request
 * @suspended: libmicrohttpd leaves the connection alone until burdock_http_resume()
 * @body_reserved_bytes: room for the body in the memory budget
 * @announced_bytes: length of the body by its Content-Length, 0 if it is unknown
 * @window_us: time from which on progress of the body is expected
 * @window_body_bytes: length of the body at @window_us
 * @window_received_bytes: bytes received on the connection some time after @window_us, 0
 *   if not looked at
 * @lingering: the request was refused before the end of its body, and what its client
 *   still sends is discarded until @linger_end_us
 * @linger_bytes: bytes that were discarded
 * @aborted: the connection is to be closed before the end of the response; the handler
 *   may not have been told yet
 * @closed: the end of the request was reported to the handler
 * @streaming: the response is streamed through @output
 * @ended: the response is complete; a part of it may still be unsent
 * @ends_with_connection: the peer sees the end of a stream by that of the connection only
 * @buffer: body of a large answer, of @buffer_bytes bytes; NULL for none
 * @read_us: time at which its client last took a part of @buffer
 * @output: bytes of a streamed response, of which the first @output_sent_bytes were
 *   passed to libmicrohttpd
 * @output_reserved_bytes: room for @output in the memory budget
 * @data: pointer of the handler
 */
struct BurdockHttpRequest {
  BurdockHttpServer *server;
  BurdockHttpRequest *next;
  BurdockHttpRequest *previous;
  Connection *connection;
  uint64_t id;
  char *method;
  char *target;
  char *path;
  char *body;
  uint32_t body_bytes;
  uint32_t body_capacity;
  uint32_t announced_bytes;
  uint64_t body_reserved_bytes;
  uint64_t window_us;
  uint64_t window_received_bytes;
  uint32_t window_body_bytes;
  uint32_t linger_bytes;
  uint64_t linger_end_us;
  uint64_t output_reserved_bytes;
  uint32_t peer;
  struct MHD_Response *response;
  uint32_t status;
  Header *headers;
  bool dispatched;
  bool suspended;
  bool lingering;
  bool aborted;
  bool closed;
  bool streaming;
  bool ended;
  bool ends_with_connection;
  char *buffer;
  uint32_t buffer_bytes;
  uint64_t read_us;
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
 * @secure: connections use TLS
 * @now_us: time of the present turn
 * @connections: list of all open connections, @connection_count in number
 * @ended_connections: connections that were ended and that libmicrohttpd has to close
 * @checked_us: time of the last check of the progress of bodies
 * @lingering_count: number of requests that are refused and not closed yet
 * @next_linger_us: time of the next look at them
 * @refusals_to_log: refusals since the last log line
 * @next_log_us: earliest time of the next one
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
  bool secure;
  uint64_t now_us;
  Connection *connections;
  uint32_t connection_count;
  Connection *ended_connections;
  uint64_t checked_us;
  uint32_t lingering_count;
  uint64_t next_linger_us;
  BurdockHttpServerStats stats;
  uint64_t refusals_to_log;
  uint64_t next_log_us;
  uint32_t open_count;
  BurdockHttpRequest *open_requests;
  BurdockHttpRequest **slots;
  uint32_t *generations;
  uint32_t slot_count;
  uint32_t next_slot;
};

/**
 * burdock_http_end_connection() - ends a connection towards its peer
 *
 * The peer sees the end at once, after the bytes that were sent, also if it has stopped
 * reading. libmicrohttpd closes the descriptor in the next turn of the server.
 */
void burdock_http_end_connection (Connection *connection);

/** burdock_http_resume() - lets libmicrohttpd continue with a suspended request */
void burdock_http_resume (BurdockHttpRequest *request);

/**
 * burdock_http_admit_body() - reserves room for the body of a request whose head is
 * complete, or refuses the request
 * Returns false if the connection has to be closed without an answer.
 */
bool burdock_http_admit_body (BurdockHttpRequest *request);

/** burdock_http_refuse_target() - answers a request whose target is too long with 414,
 * before its head is complete */
void burdock_http_refuse_target (Connection *connection);

/**
 * burdock_http_receive_body() - takes a part of the body, or refuses the request
 * @length: set to 0 if the part was taken
 * Returns false if the connection has to be closed without an answer.
 */
bool burdock_http_receive_body (BurdockHttpRequest *request, const char *data,
                                size_t *length);

/** burdock_http_release_body() - frees the body and its room in the memory budget */
void burdock_http_release_body (BurdockHttpRequest *request);

/** burdock_http_check_progress() - ends requests whose bodies make no progress */
void burdock_http_check_progress (BurdockHttpServer *server);

/** burdock_http_end_lingering() - reads on from clients that were refused while they
 * sent, and ends their connections in time */
void burdock_http_end_lingering (BurdockHttpServer *server);

/** burdock_http_end_idle() - ends connections without a request if others wait for their
 * place */
void burdock_http_end_idle (BurdockHttpServer *server);

/** burdock_http_log_refusals() - logs what was refused, at most once a second */
void burdock_http_log_refusals (BurdockHttpServer *server);

/** burdock_http_append() - appends bytes and a terminating zero; false without memory */
bool burdock_http_append (char **buffer, uint32_t *length_bytes, uint32_t *capacity,
                          const char *data, uint32_t added_bytes);

#endif
