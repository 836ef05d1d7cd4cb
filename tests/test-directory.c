/* Which gateways the directory of a gateway names. */
#include "gateway.h"
#include "test.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define TIMEOUT_MS 20000
#define LIVING_IPV4 0x0a000001
#define OTHER_IPV4 0x0a000002

typedef struct {
  const char *name;
  uint64_t silent_ms;   /* since the last heartbeat; 0 if none was received */
  uint32_t interval_ms; /* between heartbeats */
  bool ready;
  bool leaving;
  bool named;
} PeerCase;

/* The intervals of 9, 32, 99, 330 and 512 gateways. */
static const PeerCase peer_cases[] = {
  { "it was just heard", 1, 100, true, false, true },
  { "never heard", 0, 100, true, false, false },
  { "not ready", 1, 100, false, false, false },
  { "leaving", 1, 100, true, true, false },
  { "9 gateways, killed 7 s ago", 7000, 100, true, false, false },
  { "32 gateways, killed 7 s ago", 7000, 193, true, false, false },
  { "99 gateways, killed 7 s ago", 7000, 612, true, false, false },
  { "330 gateways, killed 7 s ago", 7000, 2056, true, false, false },
  { "512 gateways, killed 7 s ago", 7000, 3193, true, false, false },
  { "330 gateways, one heartbeat lost", 4200, 2056, true, false, true },
  { "512 gateways, one heartbeat lost", 6400, 3193, true, false, true },
};

typedef struct {
  BurdockLoop *loop;
  int32_t http_status;
  char body[256];
} Answer;

static void
note_answer (void *ctx, const BurdockHttpResult *result)
{
  Answer *answer = ctx;

  answer->http_status = result->http_status;
  snprintf (answer->body, sizeof answer->body, "%s", result->body);
  burdock_loop_stop (answer->loop);
}

static void
ignore_closed (void *ctx, BurdockHttpRequest *request, bool complete)
{
}

static void
resolve (BurdockGateway *gateway, Answer *answer)
{
  BurdockAddress address = { .ipv4 = 0x7f000001 };
  BurdockHttpHandler handler = { .ctx = gateway,
                                 .request = burdock_gateway_handle_local_request,
                                 .closed = ignore_closed };
  char url[64];
  BurdockHttpCall call = { .method = "GET",
                           .url = url,
                           .ctx = answer,
                           .timeout_ms = TIMEOUT_MS,
                           .done = note_answer };
  BurdockHttpServer *server;
  BurdockHttpClient *client;

  *answer = (Answer){ .loop = burdock_loop_new () };
  server = burdock_http_server_new (answer->loop, &address, NULL, &handler);
  client = burdock_http_client_new (answer->loop);
  CU_ASSERT_PTR_NOT_NULL_FATAL (server);
  snprintf (url, sizeof url, "http://127.0.0.1:%u/resolve", address.port);
  CU_ASSERT_EQUAL (burdock_http_client_start (client, &call), 0);
  burdock_loop_run (answer->loop);
  burdock_http_client_free (client);
  burdock_http_server_free (server);
  burdock_loop_free (answer->loop);
}

/* Guards against callers that are directed to a gateway which has ended, or is about to.
 */
static void
a_gateway_that_was_killed_is_not_named (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (peer_cases); i++) {
    const PeerCase *row = &peer_cases[i];
    BurdockGateway *gateway = calloc (1, sizeof *gateway);
    uint64_t now_us = burdock_loop_now_us ();
    Answer answer;

    if (gateway == NULL)
      abort ();
    gateway->traffic.peers[0] = (BurdockGatewayPeer){ .last_heartbeat_us = now_us,
                                                      .interval_ms = row->interval_ms,
                                                      .http_address = { LIVING_IPV4, 80 },
                                                      .ready = true };
    gateway->traffic.peers[1] = (BurdockGatewayPeer){
      .last_heartbeat_us = row->silent_ms > 0 ? now_us - row->silent_ms * US_PER_MS : 0,
      .interval_ms = row->interval_ms,
      .http_address = { OTHER_IPV4, 80 },
      .ready = row->ready,
      .leaving = row->leaving
    };
    gateway->traffic.peer_count = 2;
    resolve (gateway, &answer);
    CU_ASSERT_EQUAL (answer.http_status, 200);
    CU_ASSERT_PTR_NOT_NULL (strstr (answer.body, "\"10.0.0.1:80\""));
    if ((strstr (answer.body, "\"10.0.0.2:80\"") != NULL) != row->named)
      CU_FAIL (row->name);
    free (gateway);
  }
}

static const Test tests[] = {
  { "the directory names a gateway that was killed",
    a_gateway_that_was_killed_is_not_named },
};

int
main (void)
{
  int status;

  apr_initialize ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  status = test_main ("directory", tests, TEST_COUNT (tests));
  curl_global_cleanup ();
  apr_terminate ();
  return status;
}
