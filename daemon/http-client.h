/**
 * DOC: http-client.h - HTTP client on an event loop (libcurl)
 *
 * Transfers run on the thread of the loop through curl_multi_socket_action(): results are
 * not passed between threads, and the cost of an event does not grow with the number of
 * open transfers. Idle connections are kept alive and reused.
 */
#ifndef BURDOCK_HTTP_CLIENT_H
#define BURDOCK_HTTP_CLIENT_H

#include "loop.h"
#include "optional.h"

#include <stdbool.h>
#include <stddef.h>

typedef struct BurdockHttpClient BurdockHttpClient;
typedef struct BurdockHttpTransfer BurdockHttpTransfer;

/**
 * struct BurdockHttpResult - outcome of a transfer
 * @status: 0 if the complete response was received; -ECONNREFUSED if no connection was
 *   established, so that nothing reached the peer; -ETIMEDOUT; -EIO if the connection
 *   ended, a callback ended the transfer or the response is malformed, after the request
 *   was started
 * @http_status: HTTP status code, 0 if none was received
 * @sent: whether a part of the request may have reached the peer
 * @new_connection: whether the transfer opened a connection instead of reusing one
 * @body: response body with a terminating zero, valid during the callback; empty if the
 *   data callback received it
 * @body_too_long: the body was longer than the call allows; @status is -EIO then
 * @malformed: what is malformed in the response, see http-framing.h; NULL if nothing is
 */
typedef struct {
  int32_t status;
  int32_t http_status;
  bool sent;
  bool new_connection;
  const char *body;
  size_t body_bytes;
  bool body_too_long;
  const char *malformed;
} BurdockHttpResult;

/**
 * struct BurdockHttpCall - one transfer
 * @method: any; copied
 * @body: request body, sent whatever the method; copied unless @body_stays is set
 * @body_stays: @body stays valid and unchanged until the done callback has returned or
 *   the transfer was cancelled, and is not copied
 * @at_most_once: the request has an effect and must reach the peer at most once. libcurl
 *   resends a request by itself when a reused connection ends without a response; with
 *   @at_most_once such a transfer ends with -EIO
 * @target: path and query to send unchanged, with @url naming only the peer; NULL to use
 *   those of @url
 * @headers: header lines that replace the default ones; "Name:" suppresses a header
 * @max_idle_s: a connection that was idle for longer is not reused; 0 for the default of
 *   118 s
 * @source_ip: IP address to connect from, NULL for any
 * @fresh_connection: opens a new connection instead of reusing an idle one
 * @connect_only: ends as soon as a new connection is established, which is closed;
 * nothing is sent
 * @timeout_ms: limit of the whole transfer; 0 for none
 * @connect_timeout_ms: limit for opening a connection; 0 for the default of 2000 ms
 * @body_bytes_max: limit of the body that is kept for @done; 0 for the default of 4 MiB
 * @line: receives each line of the body of a 200 response, without the newline; may be
 *   NULL. A negative result ends the transfer
 * @head: called once the headers of the final response are complete; may be NULL. A
 *   negative result ends the transfer
 * @accepts: whether @data may be called now; may be NULL. After a negative answer nothing
 *   is read from the peer until burdock_http_transfer_resume()
 * @data: receives the body as it arrives; may be NULL. A negative result ends the
 *   transfer
 * @done: called once, never from within burdock_http_client_start()
 * @free_ctx: called instead of @done to release @ctx if the client is freed first; may be
 *   NULL
 */
typedef struct {
  const char *method;
  const char *url;
  const void *body;
  size_t body_bytes;
  bool body_stays;
  bool at_most_once;
  const char *target;
  const char *const *headers;
  uint32_t header_count;
  uint32_t max_idle_s;
  const char *source_ip;
  bool fresh_connection;
  bool connect_only;
  uint32_t timeout_ms;
  uint32_t connect_timeout_ms;
  uint32_t body_bytes_max;
  void *ctx;
  int (*head) (void *ctx, BurdockHttpTransfer *transfer, int32_t http_status);
  bool (*accepts) (void *ctx);
  int (*data) (void *ctx, const char *data, size_t length_bytes);
  int (*line) (void *ctx, const char *line, size_t line_bytes);
  void (*done) (void *ctx, const BurdockHttpResult *result);
  void (*free_ctx) (void *ctx);
} BurdockHttpCall;

BurdockHttpClient *burdock_http_client_new (BurdockLoop *loop);

/** burdock_http_client_free() - ends open transfers without calling their done callback
 */
void burdock_http_client_free (BurdockHttpClient *client);

/** burdock_http_client_start() - starts a transfer; returns 0 or -ENOMEM */
int burdock_http_client_start (BurdockHttpClient *client, const BurdockHttpCall *call);

/**
 * burdock_http_client_start_transfer() - as burdock_http_client_start(), for a transfer
 * that can be cancelled
 * @out: valid until the done callback returns
 */
int burdock_http_client_start_transfer (BurdockHttpClient *client,
                                        const BurdockHttpCall *call,
                                        BurdockHttpTransfer **out);

/**
 * burdock_http_transfer_cancel() - ends a transfer and its connection
 * None of its callbacks is called afterwards. Must not be called from within its done
 * callback.
 */
void burdock_http_transfer_cancel (BurdockHttpTransfer *transfer);

/**
 * burdock_http_transfer_resume() - reads on after @accepts of the call has paused it
 *
 * Does nothing to a transfer that is not paused. May call the callbacks of the transfer,
 * its done callback included, after which @transfer is invalid. Must not be called from
 * within a callback of the client.
 */
void burdock_http_transfer_resume (BurdockHttpTransfer *transfer);

/** burdock_http_transfer_header() - response header, or NULL; valid in the callbacks */
const char *burdock_http_transfer_header (BurdockHttpTransfer *transfer,
                                          const char *name);

/** burdock_http_transfer_number() - number in a response header; none if it is missing or
 * no decimal number of 64 bits */
BurdockOptional burdock_http_transfer_number (BurdockHttpTransfer *transfer,
                                              const char *name);

/** burdock_http_transfer_is_first() - whether no other request was sent on the connection
 * of a transfer before; valid in the callbacks */
bool burdock_http_transfer_is_first (const BurdockHttpTransfer *transfer);

/** burdock_http_transfer_is_sent() - whether a part of the request may have reached the
 * peer */
bool burdock_http_transfer_is_sent (const BurdockHttpTransfer *transfer);

/** burdock_http_transfer_each_header() - calls @function for each response header */
void burdock_http_transfer_each_header (BurdockHttpTransfer *transfer,
                                        void (*function) (void *ctx, const char *name,
                                                          const char *value),
                                        void *ctx);

/** burdock_http_escape() - URL-escaped copy of @text, to be released with free(); NULL if
 * memory runs out */
char *burdock_http_escape (const char *text, size_t length_bytes);

#endif
