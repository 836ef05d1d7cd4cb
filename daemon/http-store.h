/**
 * DOC: http-store.h - HTTP and JSON client for table service, object store and instances
 */
#ifndef BURDOCK_HTTP_STORE_H
#define BURDOCK_HTTP_STORE_H

#include "burdock.h"
#include "http-client.h"

typedef struct BurdockHttpStore BurdockHttpStore;

typedef void (*BurdockHttpStoreDone) (void *ctx, const BurdockStoreResult *result);

/**
 * burdock_http_store_new() - client for the store at @url
 * @url: base URL, for example "http://127.0.0.1:80"; copied
 * @done: receives the results of all calls; a result is valid during the callback
 */
BurdockHttpStore *burdock_http_store_new (BurdockHttpClient *client, const char *url,
                                          BurdockHttpStoreDone done, void *ctx);
void burdock_http_store_free (BurdockHttpStore *store);

/**
 * burdock_http_store_call() - see &BurdockEnv.store; the result goes to the done callback
 * Returns 0, -ENOMEM, or -EINVAL for an unknown operation or a body that cannot be
 * encoded; after an error there is no result. A result has the status -EAGAIN if the
 * store did not execute the call (no connection or 503), -ENOENT for 404, -EEXIST for a
 * version conflict (409), and -ETIMEDOUT or -EIO if the outcome is unknown.
 */
int burdock_http_store_call (BurdockHttpStore *store, const BurdockStoreCall *call);

#endif
