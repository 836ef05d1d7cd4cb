#include "auth.h"
#include "cli.h"
#include "http-framing.h"

#include <curl/curl.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define CONNECT_TIMEOUT_MS 2000L
#define URL_BYTES 1024
#define HEADER_BYTES (BURDOCK_AUTH_TEXT_BYTES + 32)

/* Limits the memory that the answer of a faulty peer can take. */
#define RESPONSE_MAX_BYTES (64u << 20)

char *
cli_read_file (const char *path, uint32_t *length_bytes)
{
  FILE *file = fopen (path, "rb");
  /* More than BURDOCK_CONFIG_MAX_BYTES, so that the parser refuses a longer file. */
  size_t capacity_bytes = BURDOCK_FRAME_MAX_BYTES + 1;
  char *text;

  if (file == NULL) {
    cli_error ("%s: %s", path, strerror (errno));
    return NULL;
  }
  text = malloc (capacity_bytes + 1);
  *length_bytes = (uint32_t)fread (text, 1, capacity_bytes, file);
  text[*length_bytes] = '\0';
  if (ferror (file) != 0) {
    cli_error ("%s: %s", path, strerror (errno));
    free (text);
    text = NULL;
  }
  fclose (file);
  return text;
}

int
cli_read_config (const char *path, char **text, BurdockConfig **config)
{
  uint32_t length_bytes = 0;
  BurdockError error = { .code = 0 };

  *config = NULL;
  *text = cli_read_file (path, &length_bytes);
  if (*text == NULL)
    return CLI_USAGE;
  if (burdock_config_parse (path, (BurdockBytes){ (uint8_t *)*text, length_bytes },
                            config, &error) == 0)
    return CLI_OK;
  cli_error ("%s", error.detail);
  free (*text);
  *text = NULL;
  return CLI_USAGE;
}

int
cli_require_entry_and_key (const Cli *cli)
{
  if (cli->entry_count == 0) {
    cli_error ("no entry given: use --entry or BURDOCK_ENTRIES");
    return CLI_USAGE;
  }
  if (!cli->has_key) {
    cli_error ("BURDOCK_OPERATOR_KEY is not set");
    return CLI_USAGE;
  }
  return CLI_OK;
}

char *
cli_url_escape (const char *text)
{
  CURL *curl = curl_easy_init ();
  char *escaped = curl_easy_escape (curl, text, 0);
  char *copy = strdup (escaped != NULL ? escaped : "");

  curl_free (escaped);
  curl_easy_cleanup (curl);
  return copy;
}

static size_t
append_body (const char *data, size_t size, size_t count, void *ctx)
{
  CliResponse *response = ctx;
  size_t added_bytes = size * count;

  if (response->body_bytes + added_bytes > RESPONSE_MAX_BYTES)
    return 0;
  response->body = realloc (response->body, response->body_bytes + added_bytes + 1);
  memcpy (response->body + response->body_bytes, data, added_bytes);
  response->body_bytes += added_bytes;
  response->body[response->body_bytes] = '\0';
  return added_bytes;
}

static size_t
check_header (char *line, size_t size, size_t count, void *ctx)
{
  return burdock_http_framing_read_line (ctx, line, size * count) == 0 ? size * count : 0;
}

static int
check_body (CURL *curl, curl_infotype type, char *data, size_t length_bytes, void *ctx)
{
  if (type == CURLINFO_DATA_IN)
    burdock_http_framing_read_body (ctx, data, length_bytes);
  return 0;
}

static void
set_framing_check (CURL *curl, BurdockHttpFraming *framing)
{
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, check_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, framing);
  curl_easy_setopt (curl, CURLOPT_VERBOSE, 1L);
  curl_easy_setopt (curl, CURLOPT_DEBUGFUNCTION, check_body);
  curl_easy_setopt (curl, CURLOPT_DEBUGDATA, framing);
}

static struct curl_slist *
auth_header (const Cli *cli, const char *method, const char *target, BurdockBytes body)
{
  char value[BURDOCK_AUTH_TEXT_BYTES];
  char header[HEADER_BYTES];

  if (!cli->has_key)
    return NULL;
  burdock_auth_sign (cli->key, method, target, (uint64_t)time (NULL), body, value);
  snprintf (header, sizeof header, "Burdock-Auth: %s", value);
  return curl_slist_append (NULL, header);
}

static CliCallOutcome
call_outcome (CURLcode code)
{
  switch (code) {
  case CURLE_OK:
    return CLI_CALL_OK;
  case CURLE_COULDNT_CONNECT:
  case CURLE_COULDNT_RESOLVE_HOST:
  case CURLE_URL_MALFORMAT:
    return CLI_CALL_NOT_SENT;
  default:
    return CLI_CALL_LOST;
  }
}

/* Opens a new connection for each call: libcurl resends a request on its own only if the
 * connection was used before, and a call must not be sent twice. */
CliCallOutcome
cli_call (const Cli *cli, const char *address, const char *method, const char *target,
          BurdockBytes body, CliResponse *response)
{
  CURL *curl = curl_easy_init ();
  struct curl_slist *headers = auth_header (cli, method, target, body);
  BurdockHttpFraming framing = { 0 };
  char url[URL_BYTES];
  curl_off_t connected_us = 0;
  CURLcode code;

  memset (response, 0, sizeof *response);
  snprintf (url, sizeof url, "http://%s%s", address, target);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)cli->timeout_ms);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, response);
  set_framing_check (curl, &framing);
  if (strcmp (method, "POST") == 0) {
    curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE_LARGE, (curl_off_t)body.length_bytes);
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body.data);
  }
  code = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &response->status);
  curl_easy_getinfo (curl, CURLINFO_CONNECT_TIME_T, &connected_us);
  curl_slist_free_all (headers);
  curl_easy_cleanup (curl);
  if (code == CURLE_OK && !burdock_http_framing_has_head (&framing))
    code = CURLE_WEIRD_SERVER_REPLY;
  if (code != CURLE_OK)
    /* A truncated or malformed answer is not evaluated. */
    response->body_bytes = 0;
  if (code == CURLE_OPERATION_TIMEDOUT && connected_us == 0)
    return CLI_CALL_NOT_SENT;
  return call_outcome (code);
}

static int
parse_report (const char *entry, const char *target, const CliResponse *response,
              json_t **out)
{
  json_error_t error;

  *out = json_loadb (response->body != NULL ? response->body : "", response->body_bytes,
                     0, &error);
  if (response->status == 200 && *out != NULL)
    return CLI_OK;
  cli_error ("%s: %s: status %ld: %s", entry, target, response->status,
             *out != NULL ? cli_json_string (*out, "error") : "the answer is not JSON");
  json_decref (*out);
  *out = NULL;
  return CLI_REFUSED;
}

int
cli_get_report (const Cli *cli, const char *target, json_t **out)
{
  *out = NULL;
  for (uint32_t i = 0; i < cli->entry_count; i++) {
    CliResponse response;
    CliCallOutcome outcome = cli_call (cli, cli->entries[i], "GET", target,
                                       (BurdockBytes){ NULL, 0 }, &response);
    int status = CLI_UNREACHABLE;

    if (outcome == CLI_CALL_OK)
      status = parse_report (cli->entries[i], target, &response, out);
    free (response.body);
    if (outcome == CLI_CALL_OK)
      return status;
  }
  cli_error ("no entry reachable (%u tried)", cli->entry_count);
  return CLI_UNREACHABLE;
}
