/**
 * DOC: script-server.h - HTTP peer that plays a script of answers
 *
 * Runs on a thread of its own and takes one request after the other, on any connection.
 */
#ifndef SCRIPT_SERVER_H
#define SCRIPT_SERVER_H

#include <stdint.h>

/* Answers of a script that are not sent as they are. */
#define SCRIPT_CUT ""      /* close the connection after the whole request */
#define SCRIPT_STALL "..." /* keep the connection open without an answer */

typedef struct ScriptServer ScriptServer;

/**
 * script_server_start() - @answers has @count answers, one for each request
 * An answer is a status, a space and the body, or a raw answer that begins with "HTTP".
 */
ScriptServer *script_server_start (const char *const *answers, uint32_t count);

/** script_server_stop() - ends the thread; returns the number of requests received */
uint32_t script_server_stop (ScriptServer *server);
uint16_t script_server_port (const ScriptServer *server);

/** script_server_last_request() - text of the last request received; valid after the stop
 */
const char *script_server_last_request (void);

#endif
