/**
 * DOC: raw-server.h - TCP server that sends given bytes, whatever they mean
 *
 * Serves one connection on a thread of its own: reads the request, sends the answer and
 * closes the connection.
 */
#ifndef RAW_SERVER_H
#define RAW_SERVER_H

#include <stddef.h>
#include <stdint.h>

typedef struct RawServer RawServer;

/** raw_server_start() - starts a server on a free port of the loopback address; @answer
 * must stay valid until the server is stopped. Aborts the process on failure. */
RawServer *raw_server_start (const char *answer, size_t answer_bytes);

uint16_t raw_server_port (const RawServer *server);

/** raw_server_stop() - waits until the connection has ended, and releases the server */
void raw_server_stop (RawServer *server);

#endif
