/*
 * Stand-in for the platform: table service, object store, instance list that shows
 * changes after a delay, and weight store with a limited bandwidth. POST /copy copies the
 * rows, POST /restore returns to the copy in a new era.
 */
#include "fake.h"

#include <string.h>

#define US_PER_S UINT64_C (1000000)

typedef struct {
  pthread_mutex_t lock;
  json_t *rows;    /* key -> row, as GET /table/KEY returns it */
  json_t *copy;    /* rows at the last POST /copy */
  json_t *objects; /* name -> bytes, as a JSON string */
  json_t *visible; /* instance name -> entry of the list */
  json_t *pending; /* changes of the list that are not visible yet, oldest first */
  uint32_t instance_lag_ms; /* time until a change of the list is visible */
  uint32_t weights_kib_per_s;
  uint64_t weights_busy_until_us; /* when all reads of weights so far are complete */
  uint64_t era;
  uint64_t reads;
  uint64_t writes;
  uint64_t conflicts;
} Platform;

static void
handle_row_get (Platform *platform, const char *key, FakeReply *reply)
{
  json_t *row = json_object_get (platform->rows, key);

  platform->reads++;
  if (row == NULL)
    reply->status = 404;
  else
    reply->json = json_deep_copy (row);
}

/*
 * Returns a new reference to the first row whose version is not the expected one, or
 * NULL. A row that does not exist has version 0.
 */
static json_t *
transaction_conflict (const Platform *platform, const json_t *puts)
{
  size_t i;
  json_t *put;

  json_array_foreach (puts, i, put)
  {
    json_t *row = json_object_get (platform->rows, fake_json_string (put, "key"));

    if (fake_json_uint (row, "version") == fake_json_uint (put, "if_version"))
      continue;
    return row != NULL ? json_deep_copy (row)
                       : json_pack ("{s:s,s:s,s:i}", "key", fake_json_string (put, "key"),
                                    "value", "", "version", 0);
  }
  return NULL;
}

/*
 * Writes all rows, or none if a row has another version than expected; the response then
 * has status 409 and that row.
 */
static void
handle_transaction (Platform *platform, const json_t *json, FakeReply *reply)
{
  json_t *puts = json_object_get (json, "puts");
  json_t *versions;
  size_t i;
  json_t *put;

  platform->writes++;
  if (!json_is_array (puts)) {
    reply->status = 400;
    return;
  }
  reply->json = transaction_conflict (platform, puts);
  if (reply->json != NULL) {
    platform->conflicts++;
    reply->status = 409;
    return;
  }
  versions = json_array ();
  json_array_foreach (puts, i, put)
  {
    const char *key = fake_json_string (put, "key");
    json_int_t version = (json_int_t)fake_json_uint (put, "if_version") + 1;

    json_object_set_new (platform->rows, key,
                         json_pack ("{s:s,s:s,s:I}", "key", key, "value",
                                    fake_json_string (put, "value"), "version", version));
    json_array_append_new (versions, json_integer (version));
  }
  reply->json = json_pack ("{s:o}", "versions", versions);
}

static void
handle_object (Platform *platform, const FakeRequest *request, const char *name,
               FakeReply *reply)
{
  json_t *object;

  if (strcmp (request->method, "PUT") == 0) {
    platform->writes++;
    json_object_set_new (platform->objects, name,
                         json_stringn_nocheck (request->data, request->length_bytes));
    return;
  }
  platform->reads++;
  object = json_object_get (platform->objects, name);
  if (object == NULL)
    reply->status = 404;
  else
    reply->raw = json_incref (object);
}

/* Applies the changes of the instance list whose delay has passed. */
static void
publish_due_instances (Platform *platform)
{
  json_t *change;

  while ((change = json_array_get (platform->pending, 0)) != NULL) {
    json_t *entry = json_object_get (change, "entry");
    const char *name = fake_json_string (entry, "name");

    if (fake_json_uint (change, "due_us") > fake_now_us ())
      return;
    if (strcmp (fake_json_string (entry, "state"), "gone") == 0)
      json_object_del (platform->visible, name);
    else
      json_object_set (platform->visible, name, entry);
    json_array_remove (platform->pending, 0);
  }
}

/* POST adds a change to the instance list; GET returns the visible list. */
static void
handle_instances (Platform *platform, const FakeRequest *request, FakeReply *reply)
{
  json_t *list;
  const char *name;
  json_t *entry;

  if (request->json != NULL) {
    uint64_t due_us = fake_now_us () + (uint64_t)platform->instance_lag_ms * 1000;

    json_array_append_new (platform->pending,
                           json_pack ("{s:I,s:O}", "due_us", (json_int_t)due_us, "entry",
                                      request->json));
    return;
  }
  platform->reads++;
  publish_due_instances (platform);
  list = json_array ();
  json_object_foreach (platform->visible, name, entry)
  {
    json_array_append_new (list, json_deep_copy (entry));
  }
  reply->json = json_pack ("{s:o}", "instances", list);
}

/* Reads share the bandwidth: each one starts when the reads before it are complete. */
static void
handle_weights_read (Platform *platform, const FakeRequest *request)
{
  uint64_t rate_bytes = (uint64_t)platform->weights_kib_per_s * 1024;
  uint64_t now_us = fake_now_us ();
  uint64_t end_us;

  pthread_mutex_lock (&platform->lock);
  if (platform->weights_busy_until_us < now_us)
    platform->weights_busy_until_us = now_us;
  platform->weights_busy_until_us +=
      fake_json_uint (request->json, "bytes") * US_PER_S / (rate_bytes + 1);
  end_us = platform->weights_busy_until_us;
  pthread_mutex_unlock (&platform->lock);
  fake_sleep_us (end_us - now_us);
}

static void
copy_rows (Platform *platform)
{
  json_decref (platform->copy);
  platform->copy = json_deep_copy (platform->rows);
}

static void
restore_rows (Platform *platform)
{
  json_decref (platform->rows);
  platform->rows = json_deep_copy (platform->copy);
  platform->era++;
}

static json_t *
stats_json (const Platform *platform)
{
  return json_pack ("{s:I,s:I,s:I,s:I}", "reads", (json_int_t)platform->reads, "writes",
                    (json_int_t)platform->writes, "conflicts",
                    (json_int_t)platform->conflicts, "rows",
                    (json_int_t)json_object_size (platform->rows));
}

static void
handle_request (void *ctx, const FakeRequest *request, FakeReply *reply)
{
  Platform *platform = ctx;
  const char *path = request->path;

  if (strcmp (path, "/weights/read") == 0 && request->json != NULL) {
    handle_weights_read (platform, request);
    return;
  }
  pthread_mutex_lock (&platform->lock);
  reply->store_era = platform->era;
  if (strcmp (path, "/copy") == 0)
    copy_rows (platform);
  else if (strcmp (path, "/restore") == 0)
    restore_rows (platform);
  else if (strcmp (path, "/table/transaction") == 0)
    handle_transaction (platform, request->json, reply);
  else if (strncmp (path, "/table/", 7) == 0)
    handle_row_get (platform, path + 7, reply);
  else if (strncmp (path, "/objects/", 9) == 0)
    handle_object (platform, request, path + 9, reply);
  else if (strcmp (path, "/instances") == 0)
    handle_instances (platform, request, reply);
  else if (strcmp (path, "/stats") == 0)
    reply->json = stats_json (platform);
  else
    reply->status = 404;
  pthread_mutex_unlock (&platform->lock);
}

int
main (int argc, char **argv)
{
  Platform platform = {
    .era = 1,
    .instance_lag_ms = fake_option_number (argc, argv, "lag-ms", 300),
    .weights_kib_per_s = fake_option_number (argc, argv, "weights-kib-per-s", 1 << 20)
  };
  FakeServer server = { .handler = handle_request, .ctx = &platform };

  pthread_mutex_init (&platform.lock, NULL);
  platform.rows = json_object ();
  platform.copy = json_object ();
  platform.objects = json_object ();
  platform.visible = json_object ();
  platform.pending = json_array ();
  fake_serve (&server, (uint16_t)fake_option_number (argc, argv, "port", 0));
  fake_run_until_eof ();
}
