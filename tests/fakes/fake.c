#include "fake.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <arpa/inet.h>

#define BODY_MAX_BYTES (8u << 20)
#define THREAD_STACK_BYTES (256u << 10)
#define US_PER_S UINT64_C (1000000)

typedef struct {
  char *data;
  size_t length_bytes;
} Upload;

uint64_t
fake_now_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * US_PER_S + (uint64_t)now.tv_nsec / 1000;
}

void
fake_sleep_us (uint64_t us)
{
  struct timespec duration = { .tv_sec = (time_t)(us / US_PER_S),
                               .tv_nsec = (long)(us % US_PER_S) * 1000 };

  clock_nanosleep (CLOCK_MONOTONIC, 0, &duration, NULL);
}

uint64_t
fake_hash (uint64_t hash, const char *text)
{
  for (; *text != '\0'; text++)
    hash = (hash ^ (uint8_t)*text) * UINT64_C (1099511628211);
  return hash;
}

const char *
fake_json_string (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text != NULL ? text : "";
}

uint64_t
fake_json_uint (const json_t *object, const char *name)
{
  return (uint64_t)json_integer_value (json_object_get (object, name));
}

void
fake_json_increment (json_t *counts, const char *key)
{
  json_int_t count = json_integer_value (json_object_get (counts, key));

  json_object_set_new (counts, key, json_integer (count + 1));
}

const char *
fake_option (int argc, char **argv, const char *name, const char *fallback)
{
  for (int i = 1; i + 1 < argc; i++)
    if (strncmp (argv[i], "--", 2) == 0 && strcmp (argv[i] + 2, name) == 0)
      return argv[i + 1];
  return fallback;
}

uint32_t
fake_option_number (int argc, char **argv, const char *name, uint32_t fallback)
{
  const char *text = fake_option (argc, argv, name, NULL);

  return text != NULL ? (uint32_t)strtoul (text, NULL, 10) : fallback;
}

static void
copy_string (char *to, size_t size_bytes, const char *from)
{
  snprintf (to, size_bytes, "%s", from);
}

static unsigned
handle_fault (FakeServer *server, const json_t *json)
{
  static const char *const kinds[] = { "stall", "late", "lose-answer", "down", "cut" };
  const char *kind = fake_json_string (json, "kind");
  uint32_t ms = (uint32_t)fake_json_uint (json, "ms");
  bool handled_by_hook =
      server->fault_hook != NULL && server->fault_hook (server->ctx, kind, ms);
  unsigned status = 400;

  pthread_mutex_lock (&server->lock);
  if (strcmp (kind, "none") == 0) {
    server->fault_count = 0;
    status = 200;
  }
  for (size_t k = 0; k < sizeof kinds / sizeof kinds[0]; k++) {
    if (strcmp (kind, kinds[k]) != 0 || server->fault_count == FAKE_FAULTS_MAX)
      continue;
    FakeFault *fault = &server->faults[server->fault_count++];
    copy_string (fault->kind, sizeof fault->kind, kind);
    copy_string (fault->path, sizeof fault->path, fake_json_string (json, "path"));
    copy_string (fault->match, sizeof fault->match, fake_json_string (json, "match"));
    fault->count = (uint32_t)fake_json_uint (json, "count");
    fault->ms = ms;
    status = 200;
  }
  pthread_mutex_unlock (&server->lock);
  return handled_by_hook ? 200 : status;
}

/*
 * Finds the first fault that applies to a request and copies it to @out. A fault with a
 * count is removed after as many requests.
 */
static bool
fault_consume (FakeServer *server, const FakeRequest *request, FakeFault *out)
{
  bool found = false;

  pthread_mutex_lock (&server->lock);
  for (uint32_t f = 0; f < server->fault_count && !found; f++) {
    FakeFault *fault = &server->faults[f];

    if (strncmp (request->path, fault->path, strlen (fault->path)) != 0 ||
        strstr (request->data, fault->match) == NULL)
      continue;
    *out = *fault;
    found = true;
    server->faults_hit++;
    if (fault->count > 0 && --fault->count == 0)
      *fault = server->faults[--server->fault_count];
  }
  pthread_mutex_unlock (&server->lock);
  return found;
}

static enum MHD_Result
send_reply (struct MHD_Connection *connection, FakeReply *reply)
{
  struct MHD_Response *response = reply->stream;
  enum MHD_Result result;

  if (reply->raw != NULL) {
    response = MHD_create_response_from_buffer (json_string_length (reply->raw),
                                                (void *)json_string_value (reply->raw),
                                                MHD_RESPMEM_MUST_COPY);
    json_decref (reply->raw);
  } else if (response == NULL) {
    char *text =
        reply->json != NULL ? json_dumps (reply->json, JSON_COMPACT) : strdup ("{}");

    json_decref (reply->json);
    response =
        MHD_create_response_from_buffer (strlen (text), text, MHD_RESPMEM_MUST_FREE);
  }
  if (reply->store_era > 0) {
    char era[24];

    snprintf (era, sizeof era, "%" PRIu64, reply->store_era);
    MHD_add_response_header (response, "Burdock-Store-Era", era);
  }
  result = MHD_queue_response (connection, reply->status, response);
  MHD_destroy_response (response);
  return result;
}

static void
reply_free (FakeReply *reply)
{
  json_decref (reply->json);
  json_decref (reply->raw);
  if (reply->stream != NULL)
    MHD_destroy_response (reply->stream);
}

/* Returns MHD_NO to make libmicrohttpd close the connection without a response. */
static enum MHD_Result
dispatch (FakeServer *server, const FakeRequest *request)
{
  FakeReply reply = { .status = 200 };
  FakeFault fault = { .kind = "" };
  bool stats = strcmp (request->path, "/stats") == 0;

  if (strcmp (request->path, "/fault") == 0) {
    reply.status = handle_fault (server, request->json);
    return send_reply (request->connection, &reply);
  }
  if (!stats) {
    if (__atomic_load_n (&server->dead, __ATOMIC_ACQUIRE))
      return MHD_NO;
    if (fault_consume (server, request, &fault) && strcmp (fault.kind, "stall") == 0)
      fake_sleep_us ((uint64_t)fault.ms * 1000);
    if (strcmp (fault.kind, "cut") == 0)
      return MHD_NO;
    if (strcmp (fault.kind, "down") == 0) {
      reply.status = 503;
      return send_reply (request->connection, &reply);
    }
  }
  server->handler (server->ctx, request, &reply);
  if (strcmp (fault.kind, "late") == 0)
    fake_sleep_us ((uint64_t)fault.ms * 1000);
  if (strcmp (fault.kind, "lose-answer") == 0) {
    reply_free (&reply);
    return MHD_NO;
  }
  if (stats)
    json_object_set_new (reply.json, "faults_hit",
                         json_integer ((json_int_t)server->faults_hit));
  return send_reply (request->connection, &reply);
}

static enum MHD_Result
on_access (void *ctx, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *upload_data,
           size_t *upload_size, void **request_ctx)
{
  Upload *upload = *request_ctx;

  if (upload == NULL) {
    *request_ctx = calloc (1, sizeof *upload);
    return *request_ctx != NULL ? MHD_YES : MHD_NO;
  }
  if (*upload_size > 0) {
    size_t length = upload->length_bytes + *upload_size;
    char *data = length <= BODY_MAX_BYTES ? realloc (upload->data, length + 1) : NULL;

    if (data == NULL)
      return MHD_NO;
    memcpy (data + upload->length_bytes, upload_data, *upload_size);
    data[length] = '\0';
    upload->data = data;
    upload->length_bytes = length;
    *upload_size = 0;
    return MHD_YES;
  }

  FakeRequest request = { .method = method,
                          .path = url,
                          .data = upload->data != NULL ? upload->data : "",
                          .length_bytes = upload->length_bytes,
                          .connection = connection };
  if (strcmp (method, "POST") == 0)
    request.json = json_loadb (request.data, request.length_bytes, 0, NULL);
  enum MHD_Result result = dispatch (ctx, &request);
  json_decref (request.json);
  return result;
}

static void
on_completed (void *ctx, struct MHD_Connection *connection, void **request_ctx,
              enum MHD_RequestTerminationCode reason)
{
  Upload *upload = *request_ctx;

  if (upload != NULL)
    free (upload->data);
  free (upload);
}

void
fake_serve (FakeServer *server, uint16_t port)
{
  struct sockaddr_in address = { .sin_family = AF_INET,
                                 .sin_port = htons (port),
                                 .sin_addr.s_addr = htonl (INADDR_LOOPBACK) };

  pthread_mutex_init (&server->lock, NULL);
  if (MHD_start_daemon (MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD,
                        port, NULL, NULL, on_access, server, MHD_OPTION_SOCK_ADDR,
                        &address, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
                        MHD_OPTION_THREAD_STACK_SIZE, (size_t)THREAD_STACK_BYTES,
                        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END) == NULL) {
    fprintf (stderr, "cannot listen on 127.0.0.1 port %u\n", port);
    exit (1);
  }
}

void
fake_run_until_eof (void)
{
  char buffer[256];

  printf ("ready\n");
  fflush (stdout);
  while (read (STDIN_FILENO, buffer, sizeof buffer) > 0)
    continue;
  _exit (0);
}
