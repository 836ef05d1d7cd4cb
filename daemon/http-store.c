#include "http-store.h"

#include "error.h"

#include <errno.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ERA_HEADER "Burdock-Store-Era"
#define INSTANCES_MAX 16384
#define HTTP_OK 200
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_UNAVAILABLE 503

struct BurdockHttpStore {
  BurdockHttpClient *client;
  char *url;
  BurdockHttpStoreDone done;
  void *ctx;
};

typedef struct {
  BurdockHttpStore *store;
  uint64_t id;
  BurdockStoreOp op;
  uint64_t era; /* in the headers of the answer, 0 for none */
} PendingCall;

BurdockHttpStore *
burdock_http_store_new (BurdockHttpClient *client, const char *url,
                        BurdockHttpStoreDone done, void *ctx)
{
  BurdockHttpStore *store = calloc (1, sizeof *store);

  if (store == NULL)
    return NULL;
  *store = (BurdockHttpStore){ client, strdup (url), done, ctx };
  return store;
}

void
burdock_http_store_free (BurdockHttpStore *store)
{
  if (store == NULL)
    return;
  free (store->url);
  free (store);
}

static int32_t
result_status (const BurdockHttpResult *result)
{
  if (result->status == -ECONNREFUSED)
    return -EAGAIN;
  if (result->status < 0)
    return result->status;
  switch (result->http_status) {
  case HTTP_OK:
    return 0;
  case HTTP_NOT_FOUND:
    return -ENOENT;
  case HTTP_CONFLICT:
    return -EEXIST;
  case HTTP_UNAVAILABLE:
    return -EAGAIN;
  default:
    return -EIO;
  }
}

static void
parse_row (json_t *root, BurdockStoreResult *out)
{
  json_t *value = json_object_get (root, "value");
  json_t *versions = json_object_get (root, "versions");
  json_t *version = json_object_get (root, "version");

  if (json_is_array (versions))
    version = json_array_get (versions, 0);
  out->version = (uint64_t)json_integer_value (version);
  if (json_is_string (value))
    out->value = (BurdockBytes){ .data = (const uint8_t *)json_string_value (value),
                                 .length_bytes = (uint32_t)json_string_length (value) };
}

static bool
parse_instance (json_t *item, BurdockInstance *out)
{
  const char *name = json_string_value (json_object_get (item, "name"));
  const char *role = json_string_value (json_object_get (item, "role"));
  const char *control = json_string_value (json_object_get (item, "control"));
  const char *state = json_string_value (json_object_get (item, "state"));

  if (name == NULL || role == NULL || control == NULL || state == NULL)
    return false;
  if (!burdock_copy_text (out->name, sizeof out->name, name) ||
      burdock_address_parse (control, &out->control_address) < 0 ||
      !burdock_address_is_host (out->control_address))
    return false;
  out->role = strcmp (role, "entry") == 0 ? BURDOCK_ROLE_ENTRY : BURDOCK_ROLE_AGENT;
  out->state =
      strcmp (state, "leaving") == 0 ? BURDOCK_INSTANCE_LEAVING : BURDOCK_INSTANCE_LIVE;
  return true;
}

/* Skips malformed instances: one bad record must not hide the others. */
static BurdockInstance *
parse_instances (json_t *root, uint32_t *count)
{
  json_t *list = json_object_get (root, "instances");
  size_t size = json_array_size (list);
  BurdockInstance *instances;

  *count = 0;
  if (size == 0 || size > INSTANCES_MAX)
    return NULL;
  instances = calloc (size, sizeof *instances);
  for (size_t i = 0; instances != NULL && i < size; i++)
    if (parse_instance (json_array_get (list, i), &instances[*count]))
      (*count)++;
  return instances;
}

/* Fills @out from a JSON response; one that is not an object gives -EIO. Returns the
 * instances, to be released with free(); @root owns the other values. */
static BurdockInstance *
parse_response (const PendingCall *pending, const BurdockHttpResult *result,
                json_t **root, BurdockStoreResult *out)
{
  BurdockInstance *instances = NULL;

  *root = json_loadb (result->body, result->body_bytes, 0, NULL);
  if (!json_is_object (*root)) {
    out->status = -EIO;
    return NULL;
  }
  if (pending->op == BURDOCK_STORE_INSTANCE_LIST) {
    instances = parse_instances (*root, &out->instance_count);
    out->instances = instances;
  } else {
    parse_row (*root, out);
  }
  return instances;
}

static int
answer_head (void *ctx, BurdockHttpTransfer *transfer, int32_t http_status)
{
  PendingCall *pending = ctx;
  BurdockOptional era = burdock_http_transfer_number (transfer, ERA_HEADER);

  /* Eras begin at 1, so that 0 is none. */
  pending->era = era.is_set ? era.value : 0;
  return 0;
}

static void
call_done (void *ctx, const BurdockHttpResult *result)
{
  PendingCall *pending = ctx;
  BurdockHttpStore *store = pending->store;
  BurdockInstance *instances = NULL;
  json_t *root = NULL;
  BurdockStoreResult out = {
    .id = pending->id,
    .op = pending->op,
    .status = result_status (result),
    .era = pending->era,
  };
  bool has_json = out.status == 0 || out.status == -EEXIST;

  if (pending->op == BURDOCK_STORE_OBJECT_GET && out.status == 0)
    out.value = (BurdockBytes){ .data = (const uint8_t *)result->body,
                                .length_bytes = (uint32_t)result->body_bytes };
  else if (has_json && pending->op != BURDOCK_STORE_OBJECT_PUT)
    instances = parse_response (pending, result, &root, &out);
  store->done (store->ctx, &out);
  json_decref (root);
  free (instances);
  free (pending);
}

static char *
make_transaction_body (const BurdockStoreCall *call)
{
  json_t *puts = json_array ();
  json_t *root = json_pack ("{s:o}", "puts", puts);
  char *text;

  for (uint32_t i = 0; i < call->put_count; i++) {
    const BurdockStorePut *put = &call->puts[i];

    json_array_append_new (puts, json_pack ("{s:s, s:s%, s:I}", "key", put->key, "value",
                                            (const char *)put->value.data,
                                            (size_t)put->value.length_bytes, "if_version",
                                            (json_int_t)put->if_version));
  }
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}

static char *
make_url (const char *base, const char *path, const char *key)
{
  char *escaped = key != NULL ? burdock_http_escape (key, strlen (key)) : NULL;
  char *url = NULL;

  if (asprintf (&url, "%s%s%s", base, path, escaped != NULL ? escaped : "") < 0)
    url = NULL;
  free (escaped);
  return url;
}

static int
start_request (BurdockHttpStore *store, const BurdockStoreCall *call, const char *path,
               BurdockHttpCall *http)
{
  bool has_key =
      call->op != BURDOCK_STORE_ROW_PUT_IF && call->op != BURDOCK_STORE_INSTANCE_LIST;
  PendingCall *pending = malloc (sizeof *pending);
  char *url = make_url (store->url, path, has_key ? call->key : NULL);
  int status = -ENOMEM;

  if (pending != NULL && url != NULL) {
    *pending = (PendingCall){ .store = store, .id = call->id, .op = call->op };
    http->url = url;
    http->timeout_ms = call->timeout_ms;
    http->ctx = pending;
    http->head = answer_head;
    http->done = call_done;
    http->free_ctx = free;
    status = burdock_http_client_start (store->client, http);
  }
  if (status < 0)
    free (pending);
  free (url);
  return status;
}

int
burdock_http_store_call (BurdockHttpStore *store, const BurdockStoreCall *call)
{
  BurdockHttpCall http = { .method = "GET" };
  char *text;
  int status;

  switch (call->op) {
  case BURDOCK_STORE_ROW_GET:
    return start_request (store, call, "/table/", &http);
  case BURDOCK_STORE_OBJECT_GET:
    return start_request (store, call, "/objects/", &http);
  case BURDOCK_STORE_INSTANCE_LIST:
    return start_request (store, call, "/instances", &http);
  case BURDOCK_STORE_OBJECT_PUT:
    http.method = "PUT";
    http.body = call->value.data;
    http.body_bytes = call->value.length_bytes;
    return start_request (store, call, "/objects/", &http);
  case BURDOCK_STORE_ROW_PUT_IF:
    text = make_transaction_body (call);
    if (text == NULL)
      return -EINVAL;
    http.method = "POST";
    http.at_most_once = true;
    http.body = text;
    http.body_bytes = strlen (text);
    status = start_request (store, call, "/table/transaction", &http);
    free (text);
    return status;
  default:
    return -EINVAL;
  }
}
