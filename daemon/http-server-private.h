/**
 * DOC: http-server-private.h - state shared by the two halves of the HTTP server
 *
 * http-server.c runs connections and takes requests; http-answer.c reads requests and
 * makes answers.
 */
#ifndef BURDOCK_HTTP_SERVER_PRIVATE_H
#define BURDOCK_HTTP_SERVER_PRIVATE_H

#include "http-server.h"

#include <microhttpd.h>

typedef struct Header {
  struct Header *next;
  char *value;
  char name[];
} Header;

struct BurdockHttpRequest {
  BurdockHttpServer *server;
  BurdockHttpRequest *next;
  BurdockHttpRequest *previous;
  struct MHD_Connection *connection;
  uint64_t id;
  const char *method;
  char *target;
  char *path;
  char *body;
  uint32_t body_bytes;
  uint32_t body_capacity;
  uint32_t peer;
  struct MHD_Response *response;
  uint32_t status;
  Header *headers;
  bool handed;
  bool suspended;
  bool too_large;
  bool gone;
  bool closed;
  bool streaming;
  bool ended;
  char *output;
  uint32_t output_bytes;
  uint32_t output_sent_bytes;
  uint32_t output_capacity;
  void *data;
};

struct BurdockHttpServer {
  BurdockLoop *loop;
  BurdockHttpHandler handler;
  BurdockHttpLimits limits;
  struct MHD_Daemon *daemon;
  BurdockLoopSource source;
  bool run_needed;
  bool leaving;
  bool quiet;
  uint64_t next_check_us;
  uint32_t open_count;
  BurdockHttpRequest *open;
  BurdockHttpRequest **slots;
  uint32_t *generations;
  uint32_t slot_count;
  uint32_t next_slot;
};

/** burdock_http_resume() - lets libmicrohttpd go on with a suspended request */
void burdock_http_resume (BurdockHttpRequest *request);

/** burdock_http_cut() - ends a request whose caller is gone */
void burdock_http_cut (BurdockHttpRequest *request);

/** burdock_http_append() - adds bytes and a zero byte; false without memory */
bool burdock_http_append (char **buffer, uint32_t *length_bytes, uint32_t *capacity,
                          const char *data, uint32_t added_bytes);

#endif
