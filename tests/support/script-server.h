/**
 * DOC: script-server.h - HTTP server with scripted responses
 *
 * Runs on its own thread and answers the requests of all connections in order of arrival.
 */
#ifndef SCRIPT_SERVER_H
#define SCRIPT_SERVER_H

#include <stdint.h>

/* Script entries that stand for an action instead of a response. */
#define SCRIPT_CUT ""      /* close the connection after the complete request */
#define SCRIPT_STALL "..." /* keep the connection open without a response */

typedef struct ScriptServer ScriptServer;

/**
 * script_server_start() - starts a server on a free port of the loopback address
 * @responses: @count responses, one for each request in turn; must stay valid until the
 *   server is stopped. Each is a status code, a space, a header line in angle brackets if
 *   needed, and the body, or a raw response that begins with "HTTP". Later requests get
 * SCRIPT_CUT Aborts the process on failure.
 */
ScriptServer *script_server_start (const char *const *responses, uint32_t count);

/** script_server_stop() - stops and releases the server; returns the number of requests
 * received */
uint32_t script_server_stop (ScriptServer *server);
uint16_t script_server_port (const ScriptServer *server);

/** script_server_last_request() - text of the last request that any server received; to
 * be called after script_server_stop() */
const char *script_server_last_request (void);

/** script_server_request_lines() - first lines of all requests to the last server that
 * was started, each with a newline; to be called after script_server_stop() */
const char *script_server_request_lines (void);

#endif
