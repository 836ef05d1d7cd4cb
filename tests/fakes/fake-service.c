/* Stand-in for a service: answers calls after a delay and counts the runs per key. */
#include "fake.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct {
  pthread_mutex_t lock;
  uint32_t capacity; /* calls that may run at the same time */
  uint32_t delay_ms; /* duration of a call */
  uint32_t running;
  uint32_t refused;            /* calls refused with status 429 */
  json_t *runs;                /* request key -> number of runs */
  json_t *runs_not_idempotent; /* the same, only for calls that are not idempotent */
} Service;

/* Runs a call; the answer is a hash of the body, so that callers can check it. */
static void
handle_call (Service *service, const FakeRequest *request, FakeReply *reply)
{
  const char *key = fake_json_string (request->json, "key");
  bool idempotent = json_is_true (json_object_get (request->json, "idempotent"));
  char text[64];

  pthread_mutex_lock (&service->lock);
  if (service->running >= service->capacity) {
    service->refused++;
    pthread_mutex_unlock (&service->lock);
    reply->status = 429;
    return;
  }
  service->running++;
  fake_json_increment (service->runs, key);
  if (!idempotent)
    fake_json_increment (service->runs_not_idempotent, key);
  pthread_mutex_unlock (&service->lock);

  fake_sleep_us ((uint64_t)service->delay_ms * 1000);
  snprintf (text, sizeof text, "done %016llx",
            (unsigned long long)fake_hash (FAKE_HASH_OFFSET_BASIS,
                                           fake_json_string (request->json, "body")));
  reply->json = json_pack ("{s:s}", "answer", text);
  pthread_mutex_lock (&service->lock);
  service->running--;
  pthread_mutex_unlock (&service->lock);
}

static json_t *
stats_json (const Service *service)
{
  json_t *duplicated = json_array ();
  const char *key;
  json_t *count;

  json_object_foreach (service->runs_not_idempotent, key, count)
  {
    if (json_integer_value (count) > 1)
      json_array_append_new (duplicated, json_string (key));
  }
  return json_pack ("{s:o,s:o,s:o,s:i,s:i}", "runs", json_deep_copy (service->runs),
                    "runs_not_idempotent", json_deep_copy (service->runs_not_idempotent),
                    "duplicated", duplicated, "running", (int)service->running, "refused",
                    (int)service->refused);
}

static void
handle_request (void *ctx, const FakeRequest *request, FakeReply *reply)
{
  Service *service = ctx;

  if (strcmp (request->path, "/call") == 0 && request->json != NULL) {
    handle_call (service, request, reply);
    return;
  }
  pthread_mutex_lock (&service->lock);
  if (strcmp (request->path, "/load") == 0)
    reply->json = json_pack ("{s:i,s:i}", "running", (int)service->running, "capacity",
                             (int)service->capacity);
  else if (strcmp (request->path, "/stats") == 0)
    reply->json = stats_json (service);
  else
    reply->status = 404;
  pthread_mutex_unlock (&service->lock);
}

int
main (int argc, char **argv)
{
  Service service = { .capacity = fake_option_number (argc, argv, "capacity", 16),
                      .delay_ms = fake_option_number (argc, argv, "delay-ms", 10) };
  FakeServer server = { .handler = handle_request, .ctx = &service };

  pthread_mutex_init (&service.lock, NULL);
  service.runs = json_object ();
  service.runs_not_idempotent = json_object ();
  fake_serve (&server, (uint16_t)fake_option_number (argc, argv, "port", 0));
  fake_run_until_eof ();
}
