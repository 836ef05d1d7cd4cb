/**
 * DOC: http-server.h - HTTP server on an event loop (libmicrohttpd)
 *
 * libmicrohttpd runs without threads of its own: its epoll descriptor is a source of the
 * loop. A request that waits for its response is suspended, and resumed by the response.
 *
 * The object of a connection owns that of its request, from the end of its head on, and
 * ends it at the latest as the connection ends. The server reports the end of a request
 * to the handler, and releases the request, only from its own turn of the loop or from
 * burdock_http_server_free(), never from within another call of the handler's. The
 * handler may therefore use a request, and what it attached to it, until the closed
 * callback, also after a call that ends the request. It must not free the server from
 * within a callback.
 */
#ifndef BURDOCK_HTTP_SERVER_H
#define BURDOCK_HTTP_SERVER_H

#include "burdock.h"
#include "loop.h"
#include "memory-budget.h"
#include "text.h"

typedef struct BurdockHttpServer BurdockHttpServer;
typedef struct BurdockHttpRequest BurdockHttpRequest;

/**
 * struct BurdockHttpHandler - receiver of requests
 * @request: called with a complete request, to which the handler responds now or later
 * @closed: called when a request has ended; its pointer becomes invalid. @complete is
 *   false if the connection ended before the complete response was sent
 */
typedef struct {
  void *ctx;
  void (*request) (void *ctx, BurdockHttpRequest *request);
  void (*closed) (void *ctx, BurdockHttpRequest *request, bool complete);
} BurdockHttpHandler;

/** struct BurdockHttpTls - certificate and private key as PEM texts */
typedef struct {
  const char *certificate;
  const char *key;
} BurdockHttpTls;

/**
 * struct BurdockHttpLimits - limits of a server; a field that is 0 selects its default
 * @body_bytes: largest request body; a larger one gets the status 413 and the end of the
 *   connection. 1 MiB by default
 * @connection_memory_bytes: memory for request line, headers and output buffer of a
 *   connection, 12 KiB by default
 * @connections: connections open at the same time, 16384 by default
 * @idle_s: time after which an idle connection is closed, 75 s by default
 * @disconnect_check_ms: interval of the checks whether the peers of open requests have
 *   disconnected, 500 ms by default
 * @body_copies: how often the process holds a body at the same time, once by default
 * @budget: what bodies and streams are reserved in, NULL for no bound. Used on the thread
 *   of the server, which does not release it
 */
typedef struct {
  uint32_t body_bytes;
  uint32_t connection_memory_bytes;
  uint32_t connections;
  uint32_t idle_s;
  uint32_t disconnect_check_ms;
  uint32_t body_copies;
  BurdockMemoryBudget *budget;
} BurdockHttpLimits;

/**
 * typedef BurdockHttpRefusal - why a server refuses a request before the end of its body
 * @BURDOCK_HTTP_REFUSED_TOO_LARGE: the body is above the limit, 413
 * @BURDOCK_HTTP_REFUSED_NO_MEMORY: there is no room for the body, 503
 * @BURDOCK_HTTP_REFUSED_STALLED: the body makes no progress, 408
 * @BURDOCK_HTTP_REFUSED_FRAMING: the head leaves in doubt where the body ends, 400
 * @BURDOCK_HTTP_REFUSED_TARGET: the query has too many parameters, 414
 */
typedef enum {
  BURDOCK_HTTP_REFUSED_TOO_LARGE,
  BURDOCK_HTTP_REFUSED_NO_MEMORY,
  BURDOCK_HTTP_REFUSED_STALLED,
  BURDOCK_HTTP_REFUSED_FRAMING,
  BURDOCK_HTTP_REFUSED_TARGET,
  BURDOCK_HTTP_REFUSALS,
} BurdockHttpRefusal;

/**
 * struct BurdockHttpServerStats - totals since the start
 * @refused: requests refused before the end of their bodies, by &BurdockHttpRefusal
 * @idle_ended: connections without a request that were ended to make room
 * @connections: connections that are open
 */
typedef struct {
  uint64_t refused[BURDOCK_HTTP_REFUSALS];
  uint64_t idle_ended;
  uint32_t connections;
} BurdockHttpServerStats;

/**
 * burdock_http_server_new() - listens at @address with the default limits
 * @address: a port of 0 is replaced by the port bound
 * @tls: NULL for plain HTTP
 * @handler: copied
 * Returns NULL on failure.
 */
BurdockHttpServer *burdock_http_server_new (BurdockLoop *loop, BurdockAddress *address,
                                            const BurdockHttpTls *tls,
                                            const BurdockHttpHandler *handler);

/** burdock_http_server_new_limited() - as burdock_http_server_new(), with @limits */
BurdockHttpServer *burdock_http_server_new_limited (BurdockLoop *loop,
                                                    BurdockAddress *address,
                                                    const BurdockHttpTls *tls,
                                                    const BurdockHttpHandler *handler,
                                                    const BurdockHttpLimits *limits);

/** burdock_http_server_free() - aborts the open requests, which are reported as closed */
void burdock_http_server_free (BurdockHttpServer *server);

/** burdock_http_server_disable_keepalive() - responses from now on end their connections
 */
void burdock_http_server_disable_keepalive (BurdockHttpServer *server);

/** burdock_http_server_quiesce() - closes the listening socket; open connections stay */
void burdock_http_server_quiesce (BurdockHttpServer *server);

/**
 * burdock_http_metrics() - adds the memory held for clients, by kind, the connections,
 * and what was refused, as metrics in text form
 * @servers: servers that share @budget, @count in number; their figures are added up.
 * NULL entries are skipped
 */
void burdock_http_metrics (BurdockText *text, const BurdockMemoryBudget *budget,
                           BurdockHttpServer *const *servers, uint32_t count);

/** burdock_http_server_open_count() - number of requests that have not ended */
uint32_t burdock_http_server_open_count (const BurdockHttpServer *server);

/** burdock_http_server_has_pending() - whether a connection waits to be accepted */
bool burdock_http_server_has_pending (const BurdockHttpServer *server);

/** burdock_http_server_unread_count() - number of connections with bytes that have not
 * been read; closing them resets the connections */
uint32_t burdock_http_server_unread_count (const BurdockHttpServer *server);

/** burdock_http_server_each() - calls @function for each request that the handler
 * received and whose response is incomplete */
void burdock_http_server_each (BurdockHttpServer *server,
                               void (*function) (void *ctx, BurdockHttpRequest *request),
                               void *ctx);

/** burdock_http_server_find() - request with @id, or NULL after its end */
BurdockHttpRequest *burdock_http_server_find (BurdockHttpServer *server, uint64_t id);

/** burdock_http_id() - id of a request, unique in its server */
uint64_t burdock_http_id (const BurdockHttpRequest *request);
const char *burdock_http_method (const BurdockHttpRequest *request);

/** burdock_http_path() - decoded path without the query */
const char *burdock_http_path (const BurdockHttpRequest *request);

/** burdock_http_target() - request target: path and query as sent */
const char *burdock_http_target (const BurdockHttpRequest *request);

/** burdock_http_header() - value of a request header, or NULL */
const char *burdock_http_header (const BurdockHttpRequest *request, const char *name);

/** burdock_http_query() - decoded value of a query parameter, or NULL */
const char *burdock_http_query (const BurdockHttpRequest *request, const char *name);

/** burdock_http_body() - request body, with a terminating zero behind it */
BurdockBytes burdock_http_body (const BurdockHttpRequest *request);

/** burdock_http_peer() - IPv4 address of the peer in host byte order; 0 if unknown */
uint32_t burdock_http_peer (const BurdockHttpRequest *request);

/** burdock_http_set_data() - attaches a pointer, which the server does not release */
void burdock_http_set_data (BurdockHttpRequest *request, void *data);
void *burdock_http_data (const BurdockHttpRequest *request);

/** burdock_http_each_header() - calls @function for each header of the request */
void burdock_http_each_header (BurdockHttpRequest *request,
                               void (*function) (void *ctx, const char *name,
                                                 const char *value),
                               void *ctx);

/** burdock_http_set_header() - adds a header to the response; both texts are copied */
void burdock_http_set_header (BurdockHttpRequest *request, const char *name,
                              const char *value);

/**
 * burdock_http_respond() - sends a complete response with a text body
 * @type: content type
 * @body: owned by the server from now on, which releases it with free()
 * @ran: value of the header Burdock-Ran, or NULL
 * Does nothing if there is a response already, the connection was aborted, or @body is
 * NULL.
 */
void burdock_http_respond (BurdockHttpRequest *request, uint32_t status, const char *type,
                           char *body, const char *ran);

/**
 * burdock_http_respond_bytes() - sends a complete response with a binary body
 * @body: copied
 * The content type and all other headers are set with burdock_http_set_header().
 */
void burdock_http_respond_bytes (BurdockHttpRequest *request, uint32_t status,
                                 BurdockBytes body);

/**
 * burdock_http_stream_start() - starts a streamed response
 * The content type is set with burdock_http_set_header().
 */
void burdock_http_stream_start (BurdockHttpRequest *request, uint32_t status);

/** burdock_http_abort() - closes the connection, so that the peer sees an incomplete
 * response; the closed callback is called later */
void burdock_http_abort (BurdockHttpRequest *request);

/**
 * burdock_http_stream_write() - appends to a streamed response
 * Without burdock_http_stream_start(), the first call starts a response of JSON lines
 * with status 200. Returns 0; -ENOBUFS if more than 2 MiB would wait for a slow peer, or
 * more than the memory budget allows, in which case the request is aborted; -EPIPE if it
 * was aborted or completed before.
 */
int burdock_http_stream_write (BurdockHttpRequest *request, const char *data,
                               uint32_t length_bytes);

/** burdock_http_respond_buffer() - as burdock_http_respond_bytes(), with a body that the
 * server releases with free() from now on */
void burdock_http_respond_buffer (BurdockHttpRequest *request, uint32_t status,
                                  char *body, uint32_t body_bytes);

/** burdock_http_stream_waiting_bytes() - output that the peer has not read yet; a handler
 * that reads slower while much of it waits does not meet the limit of
 * burdock_http_stream_write() */
uint32_t burdock_http_stream_waiting_bytes (const BurdockHttpRequest *request);

/** burdock_http_stream_end() - completes a streamed response */
void burdock_http_stream_end (BurdockHttpRequest *request);

/** burdock_http_streaming() - whether a streamed response was started */
bool burdock_http_streaming (const BurdockHttpRequest *request);

#endif
