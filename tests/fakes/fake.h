/**
 * DOC: fake.h - HTTP server and fault injection shared by the stand-ins
 *
 * Each connection has its own thread, so that a handler may block. Every server accepts
 * POST /fault with the members "kind", "path", "match", "count" and "ms", as
 * docs/platform.md describes it. A fault applies to requests whose path starts with
 * "path" and whose body contains "match". The kinds that every server has:
 *
 * - stall: waits "ms" milliseconds before the request is handled
 * - late: handles the request, then waits "ms" milliseconds before the response
 * - lose-answer: handles the request, then closes the connection without a response
 * - down: answers with status 503 and does not handle the request
 * - cut: closes the connection and does not handle the request
 * - none: removes all faults
 */
#ifndef FAKE_H
#define FAKE_H

#include <jansson.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#define FAKE_FAULTS_MAX 16

typedef struct {
  const char *method;
  const char *path;
  const char *data; /* body, NUL-terminated */
  size_t length_bytes;
  json_t *json; /* body if it is a JSON object, otherwise NULL */
  struct MHD_Connection *connection;
} FakeRequest;

/**
 * struct FakeReply - response, filled in by the handler
 * @status: HTTP status, 200 unless the handler sets another
 * @json: JSON body; the server takes over one reference
 * @raw: JSON string whose value is sent unquoted as the body, used for the bytes of a
 *       stored object; the server takes over one reference
 * @stream: response that a callback produces; the server takes it over
 * @store_era: value of the header Burdock-Store-Era, 0 for none
 *
 * The body is @raw if it is set, otherwise @stream, otherwise @json. Without any of them
 * it is an empty JSON object.
 */
typedef struct {
  unsigned status;
  json_t *json;
  json_t *raw;
  struct MHD_Response *stream;
  uint64_t store_era;
} FakeReply;

typedef void (*FakeHandler) (void *ctx, const FakeRequest *request, FakeReply *reply);

/**
 * typedef FakeFaultHook - applies the fault kinds of one stand-in
 *
 * Also called for the kinds that the server applies by itself.
 *
 * Return: true if the stand-in knows the kind.
 */
typedef bool (*FakeFaultHook) (void *ctx, const char *kind, uint32_t ms);

typedef struct {
  char kind[16];
  char path[96];
  char match[96]; /* text that the body must contain; empty matches every body */
  uint32_t count; /* requests left; 0 applies the fault until the kind "none" */
  uint32_t ms;    /* delay of "stall" and "late" */
} FakeFault;

/**
 * struct FakeServer - HTTP server on one port
 * @handler: handles every request but those to /fault
 * @fault_hook: fault kinds of the stand-in, or NULL
 * @ctx: first argument of @handler and @fault_hook
 * @lock: protects @faults and @fault_count; initialised by fake_serve()
 * @dead: closes the connection of every request but /fault and /stats; atomic
 * @faults_hit: number of requests to which a fault was applied
 */
typedef struct {
  FakeHandler handler;
  FakeFaultHook fault_hook;
  void *ctx;
  pthread_mutex_t lock;
  bool dead;
  uint32_t fault_count;
  FakeFault faults[FAKE_FAULTS_MAX];
  uint64_t faults_hit;
} FakeServer;

/**
 * fake_option() - value of the command line option "--name VALUE"
 *
 * Return: the value, or @fallback if the option is absent.
 */
const char *fake_option (int argc, char **argv, const char *name, const char *fallback);

/** fake_option_number() - the same for a decimal number */
uint32_t fake_option_number (int argc, char **argv, const char *name, uint32_t fallback);

/**
 * fake_serve() - starts a server on a port of 127.0.0.1
 *
 * Returns once the port listens. Exits with status 1 if that fails, for example because
 * the port is in use.
 */
void fake_serve (FakeServer *server, uint16_t port);

/**
 * fake_run_until_eof() - prints "ready" and waits for the end of standard input
 *
 * Does not return: exits with status 0 when the driver closes the pipe.
 */
void fake_run_until_eof (void);

/** fake_now_us() - monotonic time in microseconds */
uint64_t fake_now_us (void);
void fake_sleep_us (uint64_t us);

/**
 * fake_hash() - 64-bit FNV-1a hash of a string
 * @hash: FAKE_HASH_OFFSET_BASIS, or the hash of a preceding string to continue from
 */
uint64_t fake_hash (uint64_t hash, const char *text);
#define FAKE_HASH_OFFSET_BASIS UINT64_C (14695981039346656037)

/** fake_json_string() - string member of an object, "" if absent or of another type */
const char *fake_json_string (const json_t *object, const char *name);
/** fake_json_uint() - integer member of an object, 0 if absent or of another type */
uint64_t fake_json_uint (const json_t *object, const char *name);

/** fake_json_increment() - adds one to member @key of an object of counters */
void fake_json_increment (json_t *counts, const char *key);

#endif
