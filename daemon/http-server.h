/**
 * DOC: http-server.h - HTTP server on the loop of one thread (libmicrohttpd)
 *
 * libmicrohttpd runs in its external mode: its epoll descriptor is a source of the loop.
 * A request without an answer yet is suspended and resumed by the answer.
 */
#ifndef BURDOCK_HTTP_SERVER_H
#define BURDOCK_HTTP_SERVER_H

#include "burdock.h"
#include "loop.h"

typedef struct BurdockHttpServer BurdockHttpServer;
typedef struct BurdockHttpRequest BurdockHttpRequest;

/**
 * struct BurdockHttpHandler - receiver of requests
 * @request: a whole request; it is answered now or later
 * @closed: the request has ended and its pointer becomes invalid; @whole is false if the
 *   peer went away before the end of the answer
 */
typedef struct {
  void *ctx;
  void (*request) (void *ctx, BurdockHttpRequest *request);
  void (*closed) (void *ctx, BurdockHttpRequest *request, bool whole);
} BurdockHttpHandler;

/** struct BurdockHttpTls - PEM texts; NULL for plain HTTP */
typedef struct {
  const char *certificate;
  const char *key;
} BurdockHttpTls;

/**
 * struct BurdockHttpLimits - bounds of a server; a field that is 0 has its default
 * @body_bytes: largest body of a request; a larger one is answered with 413
 * @connection_memory_bytes: request line, headers and output buffer of a connection
 * @connections: connections open at the same time
 * @idle_s: time after which an idle connection is closed
 * @gone_check_ms: interval at which requests in progress are checked for peers that went
 *   away
 */
typedef struct {
  uint32_t body_bytes;
  uint32_t connection_memory_bytes;
  uint32_t connections;
  uint32_t idle_s;
  uint32_t gone_check_ms;
} BurdockHttpLimits;

/** burdock_http_server_new() - listens; a port of 0 is replaced by the port bound */
BurdockHttpServer *burdock_http_server_new (BurdockLoop *loop, BurdockAddress *address,
                                            const BurdockHttpTls *tls,
                                            const BurdockHttpHandler *handler);

/** burdock_http_server_new_limited() - as above, with other limits */
BurdockHttpServer *burdock_http_server_new_limited (BurdockLoop *loop,
                                                    BurdockAddress *address,
                                                    const BurdockHttpTls *tls,
                                                    const BurdockHttpHandler *handler,
                                                    const BurdockHttpLimits *limits);

/** burdock_http_server_free() - cuts the connections that are still open */
void burdock_http_server_free (BurdockHttpServer *server);

/** burdock_http_server_leave() - answers from now on end their connections */
void burdock_http_server_leave (BurdockHttpServer *server);

/** burdock_http_server_quiesce() - accepts no further connections */
void burdock_http_server_quiesce (BurdockHttpServer *server);

/** burdock_http_server_open() - requests that have not ended */
uint32_t burdock_http_server_open (const BurdockHttpServer *server);

/** burdock_http_server_each() - calls @function for each request without a whole answer
 */
void burdock_http_server_each (BurdockHttpServer *server,
                               void (*function) (void *ctx, BurdockHttpRequest *request),
                               void *ctx);

/** burdock_http_server_find() - request by id, or NULL after its end */
BurdockHttpRequest *burdock_http_server_find (BurdockHttpServer *server, uint64_t id);

uint64_t burdock_http_id (const BurdockHttpRequest *request);
const char *burdock_http_method (const BurdockHttpRequest *request);

/** burdock_http_path() - path without the query */
const char *burdock_http_path (const BurdockHttpRequest *request);

/** burdock_http_target() - path and query as sent */
const char *burdock_http_target (const BurdockHttpRequest *request);

/** burdock_http_header() - value, or NULL */
const char *burdock_http_header (const BurdockHttpRequest *request, const char *name);
const char *burdock_http_query (const BurdockHttpRequest *request, const char *name);
BurdockBytes burdock_http_body (const BurdockHttpRequest *request);

/** burdock_http_peer() - IPv4 address of the peer, host byte order */
uint32_t burdock_http_peer (const BurdockHttpRequest *request);

void burdock_http_set_data (BurdockHttpRequest *request, void *data);
void *burdock_http_data (const BurdockHttpRequest *request);

/** burdock_http_each_header() - calls @function for each header of the request */
void burdock_http_each_header (BurdockHttpRequest *request,
                               void (*function) (void *ctx, const char *name,
                                                 const char *value),
                               void *ctx);

/** burdock_http_set_header() - adds a header to the answer; both texts are copied */
void burdock_http_set_header (BurdockHttpRequest *request, const char *name,
                              const char *value);

/**
 * burdock_http_answer() - whole answer
 * @body: taken over and released with free()
 * @ran: value of the header Burdock-Ran, or NULL
 */
void burdock_http_answer (BurdockHttpRequest *request, uint32_t status, const char *type,
                          char *body, const char *ran);

/**
 * burdock_http_answer_bytes() - whole answer of any content
 * The content type and all other headers are set with burdock_http_set_header().
 */
void burdock_http_answer_bytes (BurdockHttpRequest *request, uint32_t status,
                                BurdockBytes body);

/**
 * burdock_http_stream_start() - starts a streamed answer
 * The content type is set with burdock_http_set_header().
 */
void burdock_http_stream_start (BurdockHttpRequest *request, uint32_t status);

/** burdock_http_abort() - ends the connection so that the answer is seen as incomplete */
void burdock_http_abort (BurdockHttpRequest *request);

/**
 * burdock_http_stream_write() - appends to a streamed answer
 * Without burdock_http_stream_start(), the first call starts an answer of JSON lines with
 * status 200. Returns -ENOBUFS if the peer reads too slowly; the
 * request is then closed.
 */
int burdock_http_stream_write (BurdockHttpRequest *request, const char *data,
                               uint32_t length_bytes);
void burdock_http_stream_end (BurdockHttpRequest *request);

/** burdock_http_streaming() - whether a part of a streamed answer was written */
bool burdock_http_streaming (const BurdockHttpRequest *request);

#endif
