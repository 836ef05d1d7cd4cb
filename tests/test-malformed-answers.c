/* Servers in trouble whose answers are no HTTP/1.1 responses. */
#include "http-client.h"
#include "raw-server.h"
#include "script-server.h"
#include "test.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_MS 2000
#define BODY_MAX_BYTES 64

#define RAW(text) (text), sizeof (text) - 1

#define OK "HTTP/1.1 200 OK\r\n"
#define LENGTH "Content-Length: 2\r\n"
#define CODING "Transfer-Encoding: chunked\r\n"
#define BODY "\r\nab"
#define CHUNKS "\r\n2\r\nab\r\n0\r\n\r\n"

typedef struct {
  const char *name;
  const char *answer;
  size_t answer_bytes;
} MalformedCase;

static const MalformedCase status_cases[] = {
  { "status 000", RAW ("HTTP/1.1 000 OK\r\n" LENGTH BODY) },
  { "status 000 in chunks", RAW ("HTTP/1.1 000 OK\r\n" CODING CHUNKS) },
  { "status 099", RAW ("HTTP/1.1 099 OK\r\n" LENGTH BODY) },
  { "status 600", RAW ("HTTP/1.1 600 OK\r\n" LENGTH BODY) },
  { "status 999", RAW ("HTTP/1.1 999 OK\r\n" LENGTH BODY) },
  { "status with two digits", RAW ("HTTP/1.1 20 OK\r\n" LENGTH BODY) },
  { "status with four digits", RAW ("HTTP/1.1 2000 OK\r\n" LENGTH BODY) },
  { "status with a sign", RAW ("HTTP/1.1 +20 OK\r\n" LENGTH BODY) },
  { "status with a letter", RAW ("HTTP/1.1 20O OK\r\n" LENGTH BODY) },
  { "no status", RAW ("HTTP/1.1 OK\r\n" LENGTH BODY) },
  { "no blank after the status", RAW ("HTTP/1.1 200OK\r\n" LENGTH BODY) },
  { "two blanks before the status", RAW ("HTTP/1.1  200 OK\r\n" LENGTH BODY) },
  { "tab before the status", RAW ("HTTP/1.1\t200 OK\r\n" LENGTH BODY) },
  { "control byte in the reason", RAW ("HTTP/1.1 200 O\x01K\r\n" LENGTH BODY) },
  { "another protocol that looks alike", RAW ("HTTP 200 OK\r\n" LENGTH BODY) },
  { "blank before the status line", RAW (" " OK LENGTH BODY) },
  { "unknown minor version", RAW ("HTTP/1.7 200 OK\r\n" LENGTH BODY) },
  { "HTTP/2", RAW ("HTTP/2 200 OK\r\n" LENGTH BODY) },
  { "small letters", RAW ("http/1.1 200 OK\r\n" LENGTH BODY) },
  { "switch to another protocol", RAW ("HTTP/1.1 101 x\r\nUpgrade: x\r\n" BODY) },
};

static const MalformedCase length_cases[] = {
  { "letter after a length", RAW (OK "Content-Length: 2x\r\n" BODY) },
  { "length of letters", RAW (OK "Content-Length: xy\r\n" BODY) },
  { "empty length", RAW (OK "Content-Length:\r\n" BODY) },
  { "negative length", RAW (OK "Content-Length: -2\r\n" BODY) },
  { "length with a sign", RAW (OK "Content-Length: +2\r\n" BODY) },
  { "hexadecimal length", RAW (OK "Content-Length: 0x2\r\n" BODY) },
  { "fraction", RAW (OK "Content-Length: 2.0\r\n" BODY) },
  { "exponent", RAW (OK "Content-Length: 2e0\r\n" BODY) },
  { "two lengths in one value", RAW (OK "Content-Length: 2, 1\r\n" BODY) },
  { "length with a blank", RAW (OK "Content-Length: 2 1\r\n" BODY) },
  { "list that ends with a comma", RAW (OK "Content-Length: 2,\r\n" BODY) },
  { "two lengths", RAW (OK "Content-Length: 1\r\n" LENGTH BODY) },
  { "length above 64 bits", RAW (OK "Content-Length: 99999999999999999999999\r\n" BODY) },
  { "length above 63 bits", RAW (OK "Content-Length: 9223372036854775808\r\n" BODY) },
  { "length and chunks", RAW (OK LENGTH CODING CHUNKS) },
  { "chunks and length", RAW (OK CODING LENGTH CHUNKS) },
  { "unknown coding", RAW (OK "Transfer-Encoding: chunky\r\n" CHUNKS) },
  { "empty coding", RAW (OK "Transfer-Encoding:\r\n" CHUNKS) },
  { "identity", RAW (OK "Transfer-Encoding: identity\r\n" BODY) },
  { "chunks in chunks", RAW (OK "Transfer-Encoding: chunked, chunked\r\n" CHUNKS) },
  { "coding twice", RAW (OK CODING CODING CHUNKS) },
  { "coding with a parameter", RAW (OK "Transfer-Encoding: chunked;x\r\n" CHUNKS) },
  { "coding with a letter more", RAW (OK "Transfer-Encoding: chunkedx\r\n" CHUNKS) },
  { "chunks in HTTP/1.0", RAW ("HTTP/1.0 200 OK\r\n" CODING CHUNKS) },
  { "length of an answer without a body",
    RAW ("HTTP/1.1 204 x\r\nContent-Length: 2\r\n" BODY) },
  { "chunks of an answer without a body", RAW ("HTTP/1.1 204 x\r\n" CODING CHUNKS) },
};

static const MalformedCase interim_cases[] = {
  { "length of an interim answer",
    RAW ("HTTP/1.1 103 x\r\nContent-Length: 1\r\n\r\n" OK BODY) },
  { "chunks of an interim answer", RAW ("HTTP/1.1 103 x\r\n" CODING "\r\n" OK CHUNKS) },
};

#define CHUNKED OK CODING "\r\n"
#define LAST_CHUNK "0\r\n\r\n"

static const MalformedCase chunk_cases[] = {
  { "letter after a size", RAW (CHUNKED "2x\r\nab\r\n" LAST_CHUNK) },
  { "hexadecimal prefix", RAW (CHUNKED "0x2\r\nab\r\n" LAST_CHUNK) },
  { "hexadecimal prefix before a field",
    RAW (CHUNKED "0x8\r\na: b\r\n\r\n\r\n" LAST_CHUNK) },
  { "hexadecimal prefix before an event",
    RAW (CHUNKED "0xe\r\nid: 1\ndata: a\n\n\r\n" LAST_CHUNK) },
  { "size with a sign", RAW (CHUNKED "+2\r\nab\r\n" LAST_CHUNK) },
  { "two sizes", RAW (CHUNKED "2 1\r\nab\r\n" LAST_CHUNK) },
  { "no size", RAW (CHUNKED "\r\nab\r\n" LAST_CHUNK) },
  { "size after a blank", RAW (CHUNKED " 2\r\nab\r\n" LAST_CHUNK) },
  { "control byte after a size", RAW (CHUNKED "2\x01\r\nab\r\n" LAST_CHUNK) },
  { "zero after a size", RAW (CHUNKED "2\0\r\nab\r\n" LAST_CHUNK) },
  { "size that ends without a carriage return", RAW (CHUNKED "2\nab\r\n" LAST_CHUNK) },
  { "size that ends with a carriage return", RAW (CHUNKED "2\rab\r\n" LAST_CHUNK) },
  { "size above 64 bits", RAW (CHUNKED "20000000000000002\r\nab\r\n" LAST_CHUNK) },
  { "chunk that ends without a carriage return", RAW (CHUNKED "2\r\nab\n" LAST_CHUNK) },
  { "chunk that ends with two carriage returns",
    RAW (CHUNKED "2\r\nab\r\r\n" LAST_CHUNK) },
  { "chunk longer than its size", RAW (CHUNKED "1\r\nab\r\n" LAST_CHUNK) },
  { "last chunk with letters", RAW (CHUNKED "2\r\nab\r\n0OK\r\n\r\n") },
  { "end without a carriage return", RAW (CHUNKED "2\r\nab\r\n0\r\n\n") },
  { "trailer that ends without a carriage return",
    RAW (CHUNKED "2\r\nab\r\n0\r\nX-T: y\n\r\n") },
};

static const MalformedCase field_cases[] = {
  { "no colon", RAW (OK LENGTH "X-A b\r\n" BODY) },
  { "no colon after the name of the length", RAW (OK "Content-Length 2\r\n" BODY) },
  { "a word", RAW (OK LENGTH "spoilt\r\n" BODY) },
  { "no name", RAW (OK LENGTH ": b\r\n" BODY) },
  { "blank in a name", RAW (OK LENGTH "X A: b\r\n" BODY) },
  { "blank in the name of the length", RAW (OK "Content Length: 2\r\n" BODY) },
  { "blank before the colon", RAW (OK LENGTH "X-A : b\r\n" BODY) },
  { "blank after the name of the length", RAW (OK "Content-Length : 2\r\n" BODY) },
  { "blank after the name of the coding",
    RAW (OK "Transfer-Encoding : chunked\r\n" CHUNKS) },
  { "tab in a name", RAW (OK LENGTH "X\tA: b\r\n" BODY) },
  { "tab before the colon", RAW (OK LENGTH "X-A\t: b\r\n" BODY) },
  { "control byte in a name", RAW (OK LENGTH "X\x01-A: b\r\n" BODY) },
  { "control byte before the colon of the length",
    RAW (OK "Content-Length\x0b: 2\r\n" BODY) },
  { "delete in a name", RAW (OK LENGTH "X\x7f: b\r\n" BODY) },
  { "zero in a name", RAW (OK LENGTH "X\0A: b\r\n" BODY) },
  { "zero before the name of the length", RAW (OK "\0Content-Length: 2\r\n" BODY) },
  { "byte above 127 in a name", RAW (OK LENGTH "X\xe9: b\r\n" BODY) },
  { "brackets in a name", RAW (OK LENGTH "X(A): b\r\n" BODY) },
  { "quotes in a name", RAW (OK LENGTH "\"X\": b\r\n" BODY) },
  { "first field begins with a blank", RAW (OK " Content-Length: 2\r\n" BODY) },
  { "field begins with a blank", RAW (OK LENGTH "X-A: b\r\n c\r\n" BODY) },
  { "field begins with a tab", RAW (OK LENGTH "X-A: b\r\n\tc\r\n" BODY) },
  { "length in a folded line", RAW (OK "X-A: b\r\n Content-Length: 2\r\n" BODY) },
  { "control byte in a value", RAW (OK LENGTH "X-A: b\x02\r\n" BODY) },
  { "zero in a value", RAW (OK LENGTH "X-A: b\0c\r\n" BODY) },
  { "delete in a value", RAW (OK LENGTH "X-A: \x7f\r\n" BODY) },
  { "carriage return in a value", RAW (OK LENGTH "X-A: b\rX-B: c\r\n" BODY) },
  { "line that ends without a carriage return", RAW (OK "X-A: b\n" LENGTH BODY) },
  { "head that ends without a carriage return", RAW (OK LENGTH "\nab") },
  { "two carriage returns", RAW (OK LENGTH "X-A: b\r\r\n" BODY) },
  { "field of an interim answer",
    RAW ("HTTP/1.1 103 x\r\nX A: b\r\n\r\n" OK LENGTH BODY) },
  { "trailer without a colon", RAW (OK CODING "\r\n2\r\nab\r\n0\r\nspoilt\r\n\r\n") },
  { "blank in the name of a trailer",
    RAW (OK CODING "\r\n2\r\nab\r\n0\r\nX A: b\r\n\r\n") },
};

typedef struct {
  const char *name;
  const char *answer;
  size_t answer_bytes;
  int32_t http_status;
  const char *body;
} SoundCase;

#define FIELD(line) RAW (OK LENGTH line "\r\n" BODY), 200, "ab"

static const SoundCase sound_cases[] = {
  { "length", RAW (OK LENGTH BODY), 200, "ab" },
  { "chunks", RAW (OK CODING CHUNKS), 200, "ab" },
  { "neither, to the end of the connection", RAW (OK BODY), 200, "ab" },
  { "HTTP/1.0", RAW ("HTTP/1.0 200 OK\r\n" LENGTH BODY), 200, "ab" },
  { "empty reason", RAW ("HTTP/1.1 200 \r\n" LENGTH BODY), 200, "ab" },
  { "no reason", RAW ("HTTP/1.1 200\r\n" LENGTH BODY), 200, "ab" },
  { "bytes above 127 in a reason", RAW ("HTTP/1.1 200 \xc3\xa9\r\n" LENGTH BODY), 200,
    "ab" },
  { "least status of a final answer", RAW ("HTTP/1.1 200 x\r\n" LENGTH BODY), 200, "ab" },
  { "largest status", RAW ("HTTP/1.1 599 x\r\n" LENGTH BODY), 599, "ab" },
  { "zeros before a length", RAW (OK "Content-Length: 002\r\n" BODY), 200, "ab" },
  { "blanks around a length", RAW (OK "Content-Length: \t2 \t\r\n" BODY), 200, "ab" },
  { "no blank before a length", RAW (OK "Content-Length:2\r\n" BODY), 200, "ab" },
  { "small letters", RAW (OK "content-length: 2\r\n" BODY), 200, "ab" },
  { "the same length twice", RAW (OK LENGTH LENGTH BODY), 200, "ab" },
  { "the same length in a list", RAW (OK "Content-Length: 2, 2\r\n" BODY), 200, "ab" },
  { "capital letters", RAW (OK "TRANSFER-ENCODING: CHUNKED\r\n" CHUNKS), 200, "ab" },
  { "length of an empty answer", RAW ("HTTP/1.1 204 x\r\nContent-Length: 0\r\n\r\n"), 204,
    "" },
  { "length of an unchanged answer", RAW ("HTTP/1.1 304 x\r\nContent-Length: 2\r\n\r\n"),
    304, "" },
  { "interim answer with an empty body",
    RAW ("HTTP/1.1 103 x\r\nContent-Length: 0\r\n\r\n" OK LENGTH BODY), 200, "ab" },
  { "interim answer", RAW ("HTTP/1.1 103 x\r\nX-A: b\r\n\r\n" OK LENGTH BODY), 200,
    "ab" },
  { "empty value", FIELD ("X-A:") },
  { "blanks in a value", FIELD ("X-A: b c\td") },
  { "bytes above 127 in a value", FIELD ("X-A: \xc3\xa9") },
  { "all letters of names", FIELD ("!#$%&'*+-.^_`|~09azAZ: b") },
  { "colon in a value", FIELD ("X-A: b: c") },
  { "chunk extension", RAW (OK CODING "\r\n2;x=y\r\nab\r\n0\r\n\r\n"), 200, "ab" },
  { "blanks after the size of a chunk", RAW (OK CODING "\r\n2  \r\nab\r\n0\r\n\r\n"), 200,
    "ab" },
  { "zeros before the size of a chunk", RAW (OK CODING "\r\n0002\r\nab\r\n000\r\n\r\n"),
    200, "ab" },
  { "trailer", RAW (OK CODING "\r\n2\r\nab\r\n0\r\nX-T: y\r\n\r\n"), 200, "ab" },
};

/**
 * struct Call - a request, and what its sender is told
 * @head_calls: how often the head callback was called
 */
typedef struct {
  BurdockLoop *loop;
  uint32_t head_calls;
  int32_t status;
  int32_t http_status;
  bool new_connection;
  char body[BODY_MAX_BYTES];
} Call;

static int
count_head (void *ctx, BurdockHttpTransfer *transfer, int32_t http_status)
{
  Call *call = ctx;

  call->head_calls++;
  return 0;
}

static void
call_done (void *ctx, const BurdockHttpResult *result)
{
  Call *call = ctx;

  call->status = result->status;
  call->http_status = result->http_status;
  call->new_connection = result->new_connection;
  snprintf (call->body, sizeof call->body, "%s", result->body);
  burdock_loop_stop (call->loop);
}

static Call
send_request (BurdockHttpClient *client, BurdockLoop *loop, uint16_t port)
{
  Call call = { .loop = loop };
  char url[64];
  BurdockHttpCall options = { .method = "POST",
                              .url = url,
                              .timeout_ms = TIMEOUT_MS,
                              .ctx = &call,
                              .head = count_head,
                              .done = call_done };

  snprintf (url, sizeof url, "http://127.0.0.1:%u", port);
  CU_ASSERT_EQUAL (burdock_http_client_start (client, &options), 0);
  burdock_loop_run (loop);
  return call;
}

/* Sends a request to a server that answers with the given bytes. */
static Call
receive (const char *answer, size_t answer_bytes)
{
  RawServer *server = raw_server_start (answer, answer_bytes);
  BurdockLoop *loop = burdock_loop_new ();
  BurdockHttpClient *client = burdock_http_client_new (loop);
  Call call = send_request (client, loop, raw_server_port (server));

  burdock_http_client_free (client);
  burdock_loop_free (loop);
  raw_server_stop (server);
  return call;
}

static void
check_malformed (const MalformedCase *cases, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++) {
    Call call = receive (cases[i].answer, cases[i].answer_bytes);

    if (call.status == -EIO)
      continue;
    printf ("%s: status %d, HTTP %d, body \"%s\"\n", cases[i].name, call.status,
            call.http_status, call.body);
    CU_FAIL ("a malformed answer was accepted");
  }
}

/* Guards against an answer whose status is a guess. */
static void
malformed_status_lines_are_refused (void)
{
  check_malformed (status_cases, TEST_COUNT (status_cases));
}

/* Guards against a body that was cut at a length that its server did not mean. */
static void
malformed_lengths_are_refused (void)
{
  check_malformed (length_cases, TEST_COUNT (length_cases));
}

/* Guards against a final answer that is read in the chunks of an interim one. */
static void
lengths_of_interim_answers_are_refused (void)
{
  check_malformed (interim_cases, TEST_COUNT (interim_cases));
}

/* Guards against an answer that ends early at a malformed size of a chunk. */
static void
malformed_chunks_are_refused (void)
{
  check_malformed (chunk_cases, TEST_COUNT (chunk_cases));
}

/* Guards against an answer of which a line was ignored, or passed on as a field. */
static void
malformed_fields_are_refused (void)
{
  check_malformed (field_cases, TEST_COUNT (field_cases));
}

/* Guards against a check that refuses what servers may send. */
static void
sound_answers_are_complete (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (sound_cases); i++) {
    const SoundCase *test = &sound_cases[i];
    Call call = receive (test->answer, test->answer_bytes);

    if (call.status == 0 && call.http_status == test->http_status &&
        strcmp (call.body, test->body) == 0 && call.head_calls == 1)
      continue;
    printf ("%s: status %d, HTTP %d, body \"%s\"\n", test->name, call.status,
            call.http_status, call.body);
    CU_FAIL ("a sound answer was refused");
  }
}

typedef struct {
  const char *name;
  const char *answer;
  bool reused;
} ReuseCase;

/* libcurl reads each of them to its end and keeps the connection open. */
static const ReuseCase reuse_cases[] = {
  { "sound answer", OK LENGTH BODY, true },
  { "sound chunks", OK CODING CHUNKS, true },
  { "answer without a body", "HTTP/1.1 204 x\r\n\r\n", true },
  { "malformed end of a chunk", CHUNKED "2\r\nab\n" LAST_CHUNK, false },
  { "malformed end of an empty body", CHUNKED "0\r\n\n", false },
  { "malformed size of the last chunk", CHUNKED "0 1\r\n\r\n", false },
  { "malformed end of the chunks", CHUNKED "2\r\nab\r\n0\r\n\n", false },
  { "malformed length", OK "Content-Length: 2x\r\n" BODY, false },
};

/* Guards against bytes of a malformed answer that are read as the start of the next one.
 */
static void
connections_of_malformed_answers_are_closed (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (reuse_cases); i++) {
    const char *const answers[] = { reuse_cases[i].answer, OK LENGTH BODY };
    ScriptServer *server = script_server_start (answers, TEST_COUNT (answers));
    BurdockLoop *loop = burdock_loop_new ();
    BurdockHttpClient *client = burdock_http_client_new (loop);
    uint16_t port = script_server_port (server);
    Call first = send_request (client, loop, port);
    Call second = send_request (client, loop, port);

    CU_ASSERT_EQUAL (first.status == 0, reuse_cases[i].reused);
    CU_ASSERT_EQUAL (second.status, 0);
    if (second.new_connection == reuse_cases[i].reused) {
      printf ("%s: new connection %d\n", reuse_cases[i].name, second.new_connection);
      CU_FAIL (
          "a connection is kept after a malformed answer, or closed after a sound one");
    }
    burdock_http_client_free (client);
    burdock_loop_free (loop);
    script_server_stop (server);
  }
}

static const Test tests[] = {
  { "an answer with a malformed status line is taken for one",
    malformed_status_lines_are_refused },
  { "an answer with a malformed length is taken for a complete one",
    malformed_lengths_are_refused },
  { "an answer with a line that is no field is taken for one",
    malformed_fields_are_refused },
  { "the length of an interim answer is used for the final one",
    lengths_of_interim_answers_are_refused },
  { "an answer with malformed chunks is taken for a complete one",
    malformed_chunks_are_refused },
  { "a connection is used again after a malformed answer",
    connections_of_malformed_answers_are_closed },
  { "a sound answer is refused", sound_answers_are_complete },
};

int
main (void)
{
  int status;

  apr_initialize ();
  curl_global_init (CURL_GLOBAL_DEFAULT);
  status = test_main ("malformed-answers", tests, TEST_COUNT (tests));
  curl_global_cleanup ();
  apr_terminate ();
  return status;
}
