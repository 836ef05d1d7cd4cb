/**
 * DOC: engine.h - HTTP and JSON client for the local upstream of an agent
 *
 * The upstream is a model engine or a plain service. A plain service has no /state: after
 * the first 404 from it, load is read from /load instead.
 */
#ifndef BURDOCK_ENGINE_H
#define BURDOCK_ENGINE_H

#include "burdock.h"
#include "http-client.h"

typedef struct BurdockEngine BurdockEngine;

typedef void (*BurdockEngineDone) (void *ctx, const BurdockEngineEvent *event);

/**
 * burdock_engine_new() - client for the upstream at @url
 * @url: base URL; copied
 * @id_prefix: random number drawn at process start, of which the low 20 bits are used;
 *   keeps the ids sent to the upstream distinct from those of an earlier process
 * @done: receives the events of all calls
 */
BurdockEngine *burdock_engine_new (BurdockHttpClient *client, const char *url,
                                   uint32_t id_prefix, BurdockEngineDone done, void *ctx);
void burdock_engine_free (BurdockEngine *engine);

/**
 * burdock_engine_call() - see &BurdockEnv.engine; events go to the done callback
 * Returns 0, -ENOMEM, or -EINVAL for an unknown operation or text that is not UTF-8;
 * after an error there is no event. A failed call ends with the status -ECONNREFUSED if
 * nothing reached the upstream, -EAGAIN if it refused the call before any effect (409,
 * 429 or 503), -EPERM for a stale fencing token, -ESTALE if the step of a map hold has
 * passed, and -ETIMEDOUT or -EIO if the outcome is unknown.
 */
int burdock_engine_call (BurdockEngine *engine, const BurdockEngineCall *call);

#endif
