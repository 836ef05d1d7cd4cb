/**
 * DOC: http-client.h - HTTP client of one loop (libcurl)
 *
 * Transfers run on the thread of the loop through curl_multi_socket_action(), so results
 * need no hand-over between threads and the cost of an event does not grow with the
 * number of open transfers. Connections are kept alive.
 */
#ifndef BURDOCK_HTTP_CLIENT_H
#define BURDOCK_HTTP_CLIENT_H

#include "loop.h"

#include <stdbool.h>
#include <stddef.h>

typedef struct BurdockHttpClient BurdockHttpClient;
typedef struct BurdockHttpTransfer BurdockHttpTransfer;

/**
 * struct BurdockHttpResult - end of a transfer
 * @status: 0 when an HTTP status and the whole body were received; -ECONNREFUSED when no
 *   connection was made, so that nothing reached the peer; -ETIMEDOUT; -EIO when the
 *   connection ended after the request was started
 * @http_status: status code, 0 without one
 * @sent: whether a part of the request may have reached the peer
 * @new_connection: whether the transfer opened a connection of its own
 * @body: body received, followed by a zero byte; empty if it was taken in parts
 */
typedef struct {
  int32_t status;
  int32_t http_status;
  bool sent;
  bool new_connection;
  const char *body;
  size_t body_bytes;
} BurdockHttpResult;

/**
 * struct BurdockHttpCall - one transfer
 * @method: "GET", "PUT" or "POST"
 * @body: copied
 * @once: the request has an effect and must reach the peer at most once. libcurl repeats
 *   a request by itself when a kept-alive connection ends without an answer; with @once
 *   such a transfer ends with -EIO
 * @target: path and query to send unchanged, with @url naming only the peer; NULL to use
 *   those of @url
 * @headers: header lines that replace the default ones; "Name:" suppresses a header
 * @kept_max_s: a kept connection that was idle for longer is not used; 0 for the default
 * @fresh: opens a new connection
 * @timeout_ms: limit of the whole transfer; 0 for none
 * @connect_timeout_ms: limit for opening a connection; 0 for the default
 * @line: receives each line of the body of a 200 answer, without its end; may be NULL
 * @head: called when the headers of the final answer are there; may be NULL. A negative
 *   result ends the transfer
 * @data: receives the body as it arrives; may be NULL. A negative result ends the
 *   transfer
 * @done: called once, never from within burdock_http_client_start()
 * @drop: releases @ctx instead of @done when the client is freed first; may be NULL
 */
typedef struct {
  const char *method;
  const char *url;
  const void *body;
  size_t body_bytes;
  bool once;
  const char *target;
  const char *const *headers;
  uint32_t header_count;
  uint32_t kept_max_s;
  bool fresh;
  uint32_t timeout_ms;
  uint32_t connect_timeout_ms;
  void *ctx;
  int (*head) (void *ctx, BurdockHttpTransfer *transfer, int32_t http_status);
  int (*data) (void *ctx, const char *data, size_t length_bytes);
  void (*line) (void *ctx, const char *line, size_t line_bytes);
  void (*done) (void *ctx, const BurdockHttpResult *result);
  void (*drop) (void *ctx);
} BurdockHttpCall;

BurdockHttpClient *burdock_http_client_new (BurdockLoop *loop);

/** burdock_http_client_free() - drops open transfers */
void burdock_http_client_free (BurdockHttpClient *client);
int burdock_http_client_start (BurdockHttpClient *client, const BurdockHttpCall *call);

/** burdock_http_client_open() - as burdock_http_client_start(), for a call that can be
 * cancelled; @out is valid until the done callback returns */
int burdock_http_client_open (BurdockHttpClient *client, const BurdockHttpCall *call,
                              BurdockHttpTransfer **out);

/** burdock_http_transfer_cancel() - ends a transfer and its connection; none of its
 * callbacks is called any more. Not to be called from within its done callback. */
void burdock_http_transfer_cancel (BurdockHttpTransfer *transfer);

/** burdock_http_transfer_header() - header of the answer, or NULL; valid in the callbacks
 */
const char *burdock_http_transfer_header (BurdockHttpTransfer *transfer,
                                          const char *name);

/** burdock_http_transfer_each_header() - calls @function for each header of the answer */
void burdock_http_transfer_each_header (BurdockHttpTransfer *transfer,
                                        void (*function) (void *ctx, const char *name,
                                                          const char *value),
                                        void *ctx);

/** burdock_http_escape() - URL-escaped copy of @text, to be released with free() */
char *burdock_http_escape (const char *text);

#endif
