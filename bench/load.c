/**
 * DOC: load.c - burdock-load, an open-loop load generator that checks every answer
 *
 * Requests start at times drawn from a seed, whether or not earlier ones have ended, and
 * latency counts from the intended start, so that a stalled system can't hide its delay.
 * Targets are entries or, with --direct, fake engines.
 */
#include "fake.h"

#include <argp.h>
#include <curl/curl.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TARGETS_MAX 64
#define LINE_BYTES 512
#define US_PER_S 1e6
#define REQUEST_TIMEOUT_MS 30000L
#define PROMPT_BYTES 96
#define CONNECTIONS_MAX 4096L

typedef struct {
  uint32_t seed, rate_per_s, seconds, tokens;
  bool direct;
  uint32_t target_count;
  const char *targets[TARGETS_MAX];
} Options;

typedef struct {
  double *values;
  size_t count, capacity;
} Samples;

/**
 * struct Load - state of a run
 * @first_token_us: times from the intended start of a request to its first token
 * @inter_token_us: times between two tokens of an answer
 * @complete: requests with a complete and correct answer
 * @errors: all others
 */
typedef struct {
  const Options *options;
  CURLM *multi;
  Samples first_token_us, inter_token_us;
  uint64_t sent, complete, errors;
  unsigned short random[3];
  char last_error[LINE_BYTES + 64];
} Load;

/**
 * struct Request - request under way
 * @intended_us: time at which it should have started
 * @last_us: time of its last token
 * @next_index: index that the next token must have
 * @ended: the end mark has come
 * @invalid: a line of the answer was wrong
 * @line: unfinished line of the answer
 */
typedef struct {
  Load *load;
  CURL *easy;
  struct curl_slist *headers;
  char key[48], prompt[PROMPT_BYTES], body[PROMPT_BYTES * 4];
  uint64_t intended_us, last_us;
  uint32_t next_index;
  bool ended, invalid;
  char line[LINE_BYTES];
  size_t line_bytes;
} Request;

static void
samples_add (Samples *samples, double value)
{
  if (samples->count == samples->capacity) {
    samples->capacity = samples->capacity > 0 ? samples->capacity * 2 : 1024;
    samples->values = realloc (samples->values, samples->capacity * sizeof (double));
    if (samples->values == NULL)
      abort ();
  }
  samples->values[samples->count++] = value;
}

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

static void
samples_sort (const Samples *samples)
{
  if (samples->count > 0)
    qsort (samples->values, samples->count, sizeof (double), compare_doubles);
}

/* Quantile of samples, which must be sorted. */
static double
samples_quantile (const Samples *samples, double quantile)
{
  if (samples->count == 0)
    return 0;
  return samples->values[(size_t)(quantile * (double)(samples->count - 1))];
}

static void
check_token (Request *request, const json_t *json)
{
  uint64_t now_us = fake_now_us ();
  uint64_t hash = fake_hash (FAKE_HASH_OFFSET_BASIS, request->prompt);
  char number[16], token[16];

  snprintf (number, sizeof number, "#%u", request->next_index);
  snprintf (token, sizeof token, "%08x ", (uint32_t)fake_hash (hash, number));
  if (fake_json_uint (json, "index") != request->next_index ||
      strcmp (fake_json_string (json, "token"), token) != 0)
    request->invalid = true;
  if (request->next_index == 0)
    samples_add (&request->load->first_token_us, (double)(now_us - request->intended_us));
  else
    samples_add (&request->load->inter_token_us, (double)(now_us - request->last_us));
  request->last_us = now_us;
  request->next_index++;
}

static void
check_line (Request *request)
{
  json_t *json = json_loadb (request->line, request->line_bytes, 0, NULL);
  bool own = request->load->options->direct ||
             strcmp (fake_json_string (json, "key"), request->key) == 0;
  bool token = json_object_get (json, "token") != NULL;

  request->invalid |= json == NULL || !own || request->ended;
  if (token)
    check_token (request, json);
  else if (json_is_true (json_object_get (json, "end")))
    request->ended = fake_json_uint (json, "tokens") == request->next_index;
  else
    request->invalid = true;
  if (request->invalid)
    snprintf (request->load->last_error, sizeof request->load->last_error, "%s: %.*s",
              request->key, (int)request->line_bytes, request->line);
  json_decref (json);
}

static size_t
handle_data (char *data, size_t size, size_t count, void *ctx)
{
  Request *request = ctx;

  count *= size;
  for (size_t i = 0; i < count; i++) {
    if (request->line_bytes == LINE_BYTES)
      return 0;
    request->line[request->line_bytes++] = data[i];
    if (data[i] != '\n')
      continue;
    check_line (request);
    request->line_bytes = 0;
  }
  return count;
}

static void
add_header (Request *request, const char *name, const char *value)
{
  char text[128];

  snprintf (text, sizeof text, "%s: %s", name, value);
  request->headers = curl_slist_append (request->headers, text);
}

static void
set_request (Request *request, const char *target)
{
  const Options *options = request->load->options;
  char url[128];

  snprintf (request->prompt, sizeof request->prompt, "load %s n=%u", request->key,
            options->tokens);
  snprintf (url, sizeof url, "http://%s/%s", target,
            options->direct ? "generate" : "v1/requests");
  if (options->direct) {
    snprintf (request->body, sizeof request->body,
              "{\"id\":%llu,\"key\":\"%s\",\"prompt\":\"%s\",\"priority\":1}",
              (unsigned long long)request->load->sent, request->key, request->prompt);
  } else {
    snprintf (request->body, sizeof request->body, "%s", request->prompt);
    add_header (request, "Burdock-Key", request->key);
    add_header (request, "Burdock-Workspace", "porirua");
    add_header (request, "Burdock-Model", "draft");
    add_header (request, "Burdock-Version", "v1");
    add_header (request, "Burdock-Idempotent", "yes");
    add_header (request, "Burdock-Stream", "yes");
  }
  curl_easy_setopt (request->easy, CURLOPT_URL, url);
  curl_easy_setopt (request->easy, CURLOPT_POSTFIELDS, request->body);
  curl_easy_setopt (request->easy, CURLOPT_HTTPHEADER, request->headers);
}

static void
request_start (Load *load, uint64_t intended_us)
{
  const Options *options = load->options;
  Request *request = calloc (1, sizeof *request);

  if (request == NULL)
    abort ();
  request->load = load;
  request->intended_us = intended_us;
  request->easy = curl_easy_init ();
  snprintf (request->key, sizeof request->key, "load-%u-%llu", options->seed,
            (unsigned long long)load->sent);
  set_request (request, options->targets[load->sent % options->target_count]);
  curl_easy_setopt (request->easy, CURLOPT_WRITEFUNCTION, handle_data);
  curl_easy_setopt (request->easy, CURLOPT_WRITEDATA, request);
  curl_easy_setopt (request->easy, CURLOPT_PRIVATE, request);
  curl_easy_setopt (request->easy, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
  curl_easy_setopt (request->easy, CURLOPT_NOSIGNAL, 1L);
  curl_multi_add_handle (load->multi, request->easy);
  load->sent++;
}

static void
request_end (Load *load, const CURLMsg *message)
{
  Request *request;
  long status = 0;

  curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, (char **)&request);
  curl_easy_getinfo (message->easy_handle, CURLINFO_RESPONSE_CODE, &status);
  if (message->data.result == CURLE_OK && status == 200 && request->ended &&
      !request->invalid && request->line_bytes == 0 &&
      request->next_index == load->options->tokens) {
    load->complete++;
  } else {
    load->errors++;
    if (!request->invalid)
      snprintf (load->last_error, sizeof load->last_error,
                "%s: status %ld, %u tokens: %s", request->key, status,
                request->next_index, curl_easy_strerror (message->data.result));
  }
  curl_multi_remove_handle (load->multi, request->easy);
  curl_easy_cleanup (request->easy);
  curl_slist_free_all (request->headers);
  free (request);
}

static void
load_run (Load *load)
{
  const Options *options = load->options;
  uint64_t next_us = fake_now_us ();
  uint64_t end_us = next_us + (uint64_t)options->seconds * (uint64_t)US_PER_S;
  int running = 0;

  while (next_us < end_us || running > 0) {
    uint64_t now_us = fake_now_us ();
    CURLMsg *message;
    int left;
    int wait_ms = 100;

    while (next_us <= now_us && next_us < end_us) {
      request_start (load, next_us);
      next_us +=
          (uint64_t)(-log (1 - erand48 (load->random)) * US_PER_S / options->rate_per_s);
    }
    curl_multi_perform (load->multi, &running);
    while ((message = curl_multi_info_read (load->multi, &left)) != NULL)
      if (message->msg == CURLMSG_DONE)
        request_end (load, message);
    now_us = fake_now_us ();
    if (next_us < end_us)
      wait_ms = next_us > now_us ? (int)((next_us - now_us) / 1000) : 0;
    curl_multi_poll (load->multi, NULL, 0, wait_ms, NULL);
  }
}

static void
load_report (Load *load)
{
  const double quantiles[] = { 0.5, 0.95, 0.99 };

  samples_sort (&load->first_token_us);
  samples_sort (&load->inter_token_us);
  printf ("{\"requests\":%llu,\"whole\":%llu,\"errors\":%llu",
          (unsigned long long)load->sent, (unsigned long long)load->complete,
          (unsigned long long)load->errors);
  for (size_t q = 0; q < sizeof quantiles / sizeof quantiles[0]; q++)
    printf (",\"first_token_p%.0f_us\":%.0f,\"between_tokens_p%.0f_us\":%.0f",
            quantiles[q] * 100, samples_quantile (&load->first_token_us, quantiles[q]),
            quantiles[q] * 100, samples_quantile (&load->inter_token_us, quantiles[q]));
  printf ("}\n");
  if (load->errors > 0)
    fprintf (stderr, "last error: %s\n", load->last_error);
}

static const struct argp_option option_list[] = {
  { "seed", 's', "N", 0, "seed of the arrival times, 1 by default", 0 },
  { "rate", 'r', "N", 0, "requests per second, 200 by default", 0 },
  { "seconds", 't', "N", 0, "duration, 5 by default", 0 },
  { "tokens", 'n', "N", 0, "tokens of each answer, 20 by default", 0 },
  { "direct", 'd', NULL, 0, "targets are fake engines", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  Options *options = state->input;
  uint32_t *number = key == 's'   ? &options->seed
                     : key == 'r' ? &options->rate_per_s
                     : key == 't' ? &options->seconds
                     : key == 'n' ? &options->tokens
                                  : NULL;
  char *end;

  if (number != NULL) {
    *number = (uint32_t)strtoul (argument, &end, 10);
    if (*argument == '\0' || *end != '\0' || *number == 0)
      argp_error (state, "\"%s\" is not a positive number", argument);
    return 0;
  }
  if (key == 'd') {
    options->direct = true;
    return 0;
  }
  if (key == ARGP_KEY_ARG && options->target_count < TARGETS_MAX) {
    options->targets[options->target_count++] = argument;
    return 0;
  }
  if (key == ARGP_KEY_NO_ARGS)
    argp_error (state, "at least one target IP:PORT is required");
  return ARGP_ERR_UNKNOWN;
}

int
main (int argc, char **argv)
{
  Options options = { .seed = 1, .rate_per_s = 200, .seconds = 5, .tokens = 20 };
  const struct argp argp = {
    option_list,  parse_option,
    "IP:PORT...", "Open-loop load generator that checks every answer.",
    NULL,         NULL,
    NULL
  };
  Load load = { .options = &options };

  if (argp_parse (&argp, argc, argv, 0, NULL, &options) != 0)
    return 2;
  load.random[0] = (unsigned short)options.seed;
  load.random[1] = (unsigned short)(options.seed >> 16);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  load.multi = curl_multi_init ();
  curl_multi_setopt (load.multi, CURLMOPT_MAXCONNECTS, CONNECTIONS_MAX);
  load_run (&load);
  load_report (&load);
  curl_multi_cleanup (load.multi);
  curl_global_cleanup ();
  free (load.first_token_us.values);
  free (load.inter_token_us.values);
  return load.errors == 0 ? 0 : 1;
}
