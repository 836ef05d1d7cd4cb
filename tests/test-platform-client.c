#include "exchange.h"
#include "row-writer.h"
#include "runner.h"
#include "script-server.h"
#include "table-watch.h"
#include "test.h"

#include <apr_general.h>
#include <curl/curl.h>
#include <errno.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_US UINT64_C (20000000)
#define ANSWER_US UINT64_C (50000)
#define SHORT_TIMEOUT_US UINT64_C (2000000)
#define TEXT_BYTES 512

typedef struct {
  BurdockLoop *loop;
  BurdockHttpClient *client;
  ScriptServer *server;
  BurdockTableWatch *watch;
  BurdockRowWriter *writer;
  BurdockStoreClient store;
  char url[64];
  uint64_t timeout_at_us;
  bool timed_out;
  bool finished;
  uint64_t ends_at_us; /* 0 for no such time */
  uint32_t hosted_bytes;
  bool keeps_last; /* of @seen, when it is full */
  char seen[TEXT_BYTES];
  const char *expected_text;
  int32_t status;
  BurdockRankReport report;
  uint64_t since_us;
} Fixture;

static uint64_t
check_finished (void *ctx, uint64_t now_us)
{
  Fixture *fixture = ctx;

  if (fixture->watch != NULL)
    burdock_table_watch_tick (fixture->watch, now_us);
  if (fixture->writer != NULL) {
    burdock_row_writer_tick (fixture->writer, now_us);
    fixture->finished = burdock_row_writer_is_idle (fixture->writer);
  }
  if (fixture->expected_text != NULL &&
      strstr (fixture->seen, fixture->expected_text) != NULL)
    fixture->finished = true;
  if (fixture->ends_at_us != 0 && now_us > fixture->ends_at_us)
    fixture->finished = true;
  fixture->timed_out = now_us > fixture->timeout_at_us;
  if (fixture->finished || fixture->timed_out)
    burdock_loop_stop (fixture->loop);
  return now_us + 1000;
}

static void
open_fixture (Fixture *fixture, const char *const *answers, uint32_t count)
{
  *fixture = (Fixture){ .timeout_at_us = burdock_loop_now_us () + TIMEOUT_US };
  fixture->server = script_server_start (answers, count);
  snprintf (fixture->url, sizeof fixture->url, "http://127.0.0.1:%u",
            script_server_port (fixture->server));
  fixture->loop = burdock_loop_new ();
  fixture->client = burdock_http_client_new (fixture->loop);
  burdock_loop_add_hook (fixture->loop, check_finished, fixture);
}

static void
close_fixture (Fixture *fixture)
{
  burdock_table_watch_free (fixture->watch);
  burdock_row_writer_free (fixture->writer);
  script_server_stop (fixture->server);
  CU_ASSERT_FALSE (fixture->timed_out);
  burdock_http_client_free (fixture->client);
  burdock_loop_free (fixture->loop);
}

static void
append_seen (Fixture *fixture, const char *text)
{
  size_t length = strlen (fixture->seen);

  if (fixture->keeps_last && length > TEXT_BYTES / 2)
    fixture->seen[length = 0] = '\0';
  snprintf (fixture->seen + length, sizeof fixture->seen - length, "%s", text);
}

static void
watch_begin (void *ctx, uint64_t era)
{
  append_seen (ctx, "[");
}

/* A value of "-" is invalid. */
static const char *
watch_row (void *ctx, const BurdockTableRow *row)
{
  char text[TEXT_BYTES];

  snprintf (text, sizeof text, "%s%s=%.*s ", row->removed ? "-" : "", row->key,
            row->value.length_bytes < 8 ? (int)row->value.length_bytes : 8,
            row->value.data != NULL ? (const char *)row->value.data : "");
  append_seen (ctx, text);
  return row->value.data != NULL && row->value.data[0] == '-' ? "not valid" : NULL;
}

static void
watch_end (void *ctx, bool listing)
{
  append_seen (ctx, listing ? "]" : ";");
}

static void
watch_reachable (void *ctx, bool reachable, uint64_t since_us, const char *reason)
{
  Fixture *fixture = ctx;

  append_seen (ctx, reachable ? "+" : "!");
  fixture->since_us = since_us;
}

static uint64_t
no_jitter (void *ctx)
{
  return 0;
}

static void
open_watch (Fixture *fixture, const char *const *answers, uint32_t count)
{
  BurdockTableHandler handler = { fixture, watch_begin, watch_row, watch_end,
                                  watch_reachable };

  open_fixture (fixture, answers, count);
  fixture->store = (BurdockStoreClient){ .loop = fixture->loop,
                                         .client = fixture->client,
                                         .url = fixture->url,
                                         .random = no_jitter };
  fixture->watch = burdock_table_watch_new (&fixture->store, "t", 0, &handler);
}

typedef struct {
  const char *name;
  const char *answers[5];
  uint32_t count;
  const char *seen;
} WatchCase;

#define ERA(era) "<Store-Era: " #era ">"
#define ROWS_AT(version) "\"hasMore\":false,\"schemaVersion\":" #version "}"

/* "YQ==" and "Yg==" are "a" and "b" in base64. In @seen, "[" is the begin of a listing,
 * "]" its end, ";" the end of changes, "-" a removed row, "+" a reachable and "!" an
 * unreachable store. */
static const WatchCase watch_cases[] = {
  { "listing, then a change",
    { "200 {\"rows\":[{\"key\":\"x\",\"data\":\"YQ==\",\"schemaVersion\":3}],"
      "\"hasMore\":false,\"schemaVersion\":5}",
      "200 {\"rows\":[{\"key\":\"x\",\"data\":\"Yg==\",\"schemaVersion\":6},"
      "{\"key\":\"y\",\"deleted\":true,\"schemaVersion\":6}],\"schemaVersion\":6}" },
    2,
    "+[x=a ]x=b -y= ;" },
  { "rows of a partition",
    { "200 {\"rows\":[{\"key\":\"x\",\"data\":\"YQ==\",\"part\":\"\"}],"
      "\"hasMore\":false,\"schemaVersion\":5}",
      "200 {\"rows\":[{\"key\":\"x\",\"data\":\"Yg==\",\"part\":\"p\"},"
      "{\"key\":\"y\",\"data\":\"Yg==\",\"part\":\"\"}],\"schemaVersion\":6}" },
    2,
    "+[x=a ]y=b ;" },
  { "listing of two pages",
    { "200 {\"rows\":[{\"key\":\"x\",\"data\":\"YQ==\"}],\"hasMore\":true,"
      "\"schemaVersion\":5}",
      "200 {\"rows\":[{\"key\":\"y\",\"data\":\"Yg==\"}],\"hasMore\":false,"
      "\"schemaVersion\":6}" },
    2,
    "+[x=a y=b ]" },
  { "change history no longer available",
    { "200 {\"rows\":[],\"hasMore\":false,\"schemaVersion\":5}", "410 {}",
      "200 {\"rows\":[{\"key\":\"x\",\"data\":\"YQ==\"}],\"hasMore\":false,"
      "\"schemaVersion\":9}" },
    3,
    "+[][x=a ]" },
  { "store returns 503 once",
    { "503 {}", "200 {\"rows\":[],\"hasMore\":false,\"schemaVersion\":5}" },
    2,
    "!+[]" },
  { "listing older than the known version",
    { "200 {\"rows\":[],\"hasMore\":false,\"schemaVersion\":5}", "410 {}",
      "200 {\"rows\":[],\"hasMore\":false,\"schemaVersion\":4}",
      "200 {\"rows\":[{\"key\":\"x\",\"data\":\"YQ==\"}],\"hasMore\":false,"
      "\"schemaVersion\":8}" },
    4,
    "+[]!+[x=a ]" },
  { "store restored: lower version in a higher era",
    { "200 " ERA (1) "{\"rows\":[]," ROWS_AT (50), "410 " ERA (2) "{}",
      "200 " ERA (2) "{\"rows\":[{\"key\":\"x\",\"data\":\"YQ==\"}]," ROWS_AT (4) },
    3,
    "+[][x=a ]" },
  { "store restored: the version is given out again",
    { "200 " ERA (1) "{\"rows\":[]," ROWS_AT (5),
      "200 " ERA (2) "{\"rows\":[{\"key\":\"y\",\"data\":\"Yg==\"}]," ROWS_AT (6),
      "200 " ERA (2) "{\"rows\":[{\"key\":\"x\",\"data\":\"YQ==\"}]," ROWS_AT (6) },
    3,
    "+[][x=a ]" },
  { "store restored between two pages of a listing",
    { "200 " ERA (1) "{\"rows\":[{\"key\":\"x\",\"data\":\"YQ==\"}],\"hasMore\":true,"
                     "\"schemaVersion\":5}",
      "200 " ERA (2) "{\"rows\":[{\"key\":\"z\",\"data\":\"YQ==\"}]," ROWS_AT (4),
      "200 " ERA (2) "{\"rows\":[{\"key\":\"y\",\"data\":\"Yg==\"}]," ROWS_AT (4) },
    3,
    "+[x=a [y=b ]" },
  { "late answer of the era before",
    { "200 " ERA (2) "{\"rows\":[]," ROWS_AT (5),
      "200 " ERA (1) "{\"rows\":[{\"key\":\"y\",\"data\":\"Yg==\"}]," ROWS_AT (9),
      "200 " ERA (2) "{\"rows\":[{\"key\":\"x\",\"data\":\"YQ==\"}]," ROWS_AT (6) },
    3,
    "+[]!+x=a ;" },
  { "two restores between two answers",
    { "200 " ERA (1) "{\"rows\":[]," ROWS_AT (50), "503 " ERA (2) "{}",
      "200 " ERA (3) "{\"rows\":[{\"key\":\"x\",\"data\":\"YQ==\"}]," ROWS_AT (7) },
    3,
    "+[]!+[x=a ]" },
  { "truncated JSON, invalid base64",
    { "200 {\"rows\":", "200 {\"rows\":[{\"key\":\"x\",\"data\":\"*\"}],"
                        "\"hasMore\":false,\"schemaVersion\":5}" },
    2,
    "!+[x= ]" },
};

/* Guards against lost changes and against old rows that reappear, after the store failed,
 * returned an older version or no longer had its change history. */
static void
watch_delivers_the_table (void)
{
  for (uint32_t i = 0; i < sizeof watch_cases / sizeof watch_cases[0]; i++) {
    Fixture fixture;

    open_watch (&fixture, watch_cases[i].answers, watch_cases[i].count);
    fixture.expected_text = watch_cases[i].seen;
    burdock_loop_run (fixture.loop);
    if (strncmp (fixture.seen, watch_cases[i].seen, strlen (watch_cases[i].seen)) != 0)
      CU_FAIL (watch_cases[i].name);
    close_fixture (&fixture);
  }
}

#define LONG_KEY "0123456789012345678901234567890123456789012345678901234567890123456789"

static const char *const odd_keys[] = {
  "\"a\\u0000b\"",
  "\"\\u0000\"",
  "\"a\\ud800b\"",
  "\"a\\udc00\\ud800\"",
  "\"a\xff\xfe\"",
  "\"\xc3\"",
  "\"\"",
  "\"a\\r\\nb\"",
  "\"a\\u007f\"",
  "\" a\"",
  "\"a \"",
  "7",
  "null",
  "[\"a\"]",
  ("\"" LONG_KEY "\""),
};

/* Guards against a table that is no longer followed because of the key of one row, in
 * listings and in changes, and against keys that are no names. */
static void
rows_beside_odd_keys_are_read (void)
{
  for (size_t i = 0; i < TEST_COUNT (odd_keys); i++) {
    char listing[512];
    char changes[512];
    const char *answers[] = { listing, changes };
    Fixture fixture;

    snprintf (listing, sizeof listing,
              "200 {\"rows\":[{\"key\":%s,\"data\":\"YQ==\"},"
              "{\"key\":\"x\",\"data\":\"YQ==\"}]," ROWS_AT (5),
              odd_keys[i]);
    snprintf (changes, sizeof changes,
              "200 {\"rows\":[{\"key\":%s,\"deleted\":true},"
              "{\"key\":\"x\",\"data\":\"Yg==\"},{\"key\":\"x y\",\"data\":\"Yg==\"}],"
              "\"schemaVersion\":6}",
              odd_keys[i]);
    open_watch (&fixture, answers, TEST_COUNT (answers));
    fixture.timeout_at_us = burdock_loop_now_us () + SHORT_TIMEOUT_US;
    fixture.expected_text = "+[x=a ]x=b x y=b ;";
    burdock_loop_run (fixture.loop);
    if (strncmp (fixture.seen, "+[x=a ]x=b x y=b ;", 18) != 0)
      CU_FAIL (odd_keys[i]);
    close_fixture (&fixture);
  }
}

typedef struct {
  const char *rows;
  const char *from; /* NULL if the page cannot be used */
} PageCase;

/* The text after the prefix of a key that is no name is U+10FFFF, the last character. */
static const PageCase page_cases[] = {
  { "{\"key\":\"a b/\"}", "from=a%20b%2F%00 " },
  { "{\"key\":\"\"}", "from=%00 " },
  { "{\"key\":\"a\\u0000b\"}", "from=a%00b%00 " },
  { "{\"key\":\"a\\ud800b\"}", "from=a%F4%8F%BF%BF " },
  { "{\"key\":\"a\xff\"}", "from=a%F4%8F%BF%BF " },
  { "{\"key\":\"" LONG_KEY "\"}",
    "from=012345678901234567890123456789012345678901234567890123456789012%F4%8F%BF%BF " },
  { "{\"key\":\"a\"},{\"key\":7},{}", "from=a%00 " },
  { "{\"key\":7},{}", NULL },
};

/* Guards against a listing that does not come to its end, because the key of the last row
 * of a page does not fit into the URL of the next call or is no name. */
static void
listings_pass_odd_keys (void)
{
  for (size_t i = 0; i < TEST_COUNT (page_cases); i++) {
    char page[512];
    const char *answers[] = {
      page, "200 {\"rows\":[{\"key\":\"x\",\"data\":\"YQ==\"}]," ROWS_AT (5)
    };
    const char *lines = script_server_request_lines ();
    Fixture fixture;

    snprintf (page, sizeof page,
              "200 {\"rows\":[%s],\"hasMore\":true,\"schemaVersion\":5}",
              page_cases[i].rows);
    open_watch (&fixture, answers, TEST_COUNT (answers));
    fixture.timeout_at_us = burdock_loop_now_us () + SHORT_TIMEOUT_US;
    fixture.expected_text = "x=a ]";
    burdock_loop_run (fixture.loop);
    close_fixture (&fixture);
    if (page_cases[i].from != NULL ? strstr (lines, page_cases[i].from) == NULL
                                   : strstr (fixture.seen, "!") == NULL)
      CU_FAIL (page_cases[i].rows);
  }
}

/* Guards against a listing without end, if the store returns the same page again. */
static void
a_page_that_repeats_is_a_failure (void)
{
  static const char page[] =
      "200 {\"rows\":[{\"key\":\"x\",\"data\":\"YQ==\"}],\"hasMore\":true,"
      "\"schemaVersion\":5}";
  static const char *const answers[] = { page, page, page, page };
  Fixture fixture;

  open_watch (&fixture, answers, TEST_COUNT (answers));
  fixture.timeout_at_us = burdock_loop_now_us () + SHORT_TIMEOUT_US;
  fixture.expected_text = "+[x=a x=a !";
  burdock_loop_run (fixture.loop);
  close_fixture (&fixture);
}

#define ODD_ROWS 2000
#define LOG_LINES_MAX 4

static uint32_t log_lines;

static GLogWriterOutput
count_line (GLogLevelFlags level, const GLogField *fields, gsize field_count, void *ctx)
{
  log_lines++;
  return G_LOG_WRITER_HANDLED;
}

/* Answer of the store with @row ODD_ROWS times and a sound one, @tail behind them.
 * Release with free(). */
static char *
answer_with (const char *row, const char *tail)
{
  size_t row_bytes = strlen (row);
  char *text = malloc (ODD_ROWS * (row_bytes + 1) + 256);
  char *end = text + sprintf (text, "200 {\"rows\":[");

  for (uint32_t i = 0; i < ODD_ROWS; i++)
    end += sprintf (end, "%s,", row);
  sprintf (end, "{\"key\":\"x\",\"data\":\"YQ==\"}],%s", tail);
  return text;
}

/* A value of "-", one that is not base64, no value and a key that is no name. */
static const char *const odd_rows[] = {
  "{\"key\":\"y\",\"data\":\"LQ==\"}",
  "{\"key\":\"y\",\"data\":\"*\"}",
  "{\"key\":\"y\"}",
  "{\"key\":\"\",\"data\":\"YQ==\"}",
};

/* Guards against a log that one answer fills, and a gateway that is busy with writing it:
 * each row had a line of its own. */
static void
many_odd_rows_have_few_log_lines (void)
{
  for (size_t i = 0; i < TEST_COUNT (odd_rows); i++) {
    char *listing = answer_with (odd_rows[i], ROWS_AT (5));
    char *changes = answer_with (odd_rows[i], "\"schemaVersion\":6}");
    const char *answers[] = { listing, changes, SCRIPT_STALL };
    Fixture fixture;

    open_watch (&fixture, answers, TEST_COUNT (answers));
    fixture.keeps_last = true;
    fixture.expected_text = "x=a ;";
    log_lines = 0;
    burdock_loop_run (fixture.loop);
    CU_ASSERT_TRUE (log_lines > 0 && log_lines <= 2 * LOG_LINES_MAX);
    close_fixture (&fixture);
    free (listing);
    free (changes);
  }
}

/* Answer of the store with one row whose value is longer than the answers that a gateway
 * reads. Release with free(). */
static char *
long_answer (void)
{
  static const char head[] = "200 {\"rows\":[{\"key\":\"long\",\"data\":\"";
  static const char tail[] = "\"}],\"hasMore\":true,\"schemaVersion\":7}";
  size_t value_bytes = 5u << 20;
  char *text = malloc (sizeof head + value_bytes + sizeof tail);

  if (text == NULL)
    abort ();
  memcpy (text, head, sizeof head - 1);
  memset (text + sizeof head - 1, 'A', value_bytes);
  memcpy (text + sizeof head - 1 + value_bytes, tail, sizeof tail);
  return text;
}

/* Guards against a table that is no longer followed because the rows of one answer are
 * too long together: a listing goes on with fewer rows, and changes that are too long are
 * replaced by a listing. */
static void
long_answers_are_read_in_parts (void)
{
  char *too_long = long_answer ();
  const char *answers[] = {
    too_long,
    too_long,
    "200 {\"rows\":[{\"key\":\"x\",\"data\":\"YQ==\"}],\"hasMore\":true,"
    "\"schemaVersion\":5}",
    "200 {\"rows\":[{\"key\":\"y\",\"data\":\"Yg==\"}]," ROWS_AT (5),
    too_long,
    "200 {\"rows\":[{\"key\":\"x\",\"data\":\"Yg==\"}]," ROWS_AT (8),
  };
  const char *lines = script_server_request_lines ();
  Fixture fixture;

  open_watch (&fixture, answers, TEST_COUNT (answers));
  fixture.expected_text = "][x=b ]";
  burdock_loop_run (fixture.loop);
  CU_ASSERT_EQUAL (strncmp (fixture.seen, "+[x=a y=b ][x=b ]", 17), 0);
  close_fixture (&fixture);
  CU_ASSERT_PTR_NOT_NULL (strstr (lines, "pageSize=500 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (lines, "pageSize=250 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (lines, "pageSize=125 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (lines, "pageSize=250&from=x%00 "));
  CU_ASSERT_PTR_NOT_NULL (strstr (lines, "after=5&"));
  free (too_long);
}

/* Guards against a table that is no longer followed because a single row is too long. */
static void
a_long_row_is_read_alone (void)
{
  char *too_long = long_answer ();
  const char *answers[11];
  Fixture fixture;

  for (size_t i = 0; i < TEST_COUNT (answers); i++)
    answers[i] = too_long;
  answers[10] = "200 {\"rows\":[{\"key\":\"x\",\"data\":\"Yg==\"}]," ROWS_AT (8);
  open_watch (&fixture, answers, TEST_COUNT (answers));
  fixture.expected_text = "]";
  burdock_loop_run (fixture.loop);
  CU_ASSERT_EQUAL (strncmp (fixture.seen, "+[long=", 7), 0);
  close_fixture (&fixture);
  CU_ASSERT_PTR_NOT_NULL (
      strstr (script_server_request_lines (), "pageSize=1&from=long%00 "));
  free (too_long);
}

typedef struct {
  const char *name;
  const char *answer;
  int32_t status;
} OrderCase;

static const OrderCase order_cases[] = {
  { "accepted", "202 ", 0 },
  { "already in effect", "200 ", 0 },
  { "conflict with the state of the runner", "409 ", -EEXIST },
  { "old fencing token", "412 ", -EPERM },
  { "unknown order", "400 ", -EINVAL },
  { "no answer", SCRIPT_STALL, -ETIMEDOUT },
  { "connection closed without an answer", SCRIPT_CUT, -ETIMEDOUT },
};

static void
record_order_result (void *ctx, uint64_t id, int32_t status)
{
  Fixture *fixture = ctx;

  fixture->status = status;
  fixture->finished = true;
}

/* Guards against reporting an order as rejected although the runner may still carry it
 * out, after a timeout or a lost connection. */
static void
order_results_are_classified (void)
{
  for (uint32_t i = 0; i < sizeof order_cases / sizeof order_cases[0]; i++) {
    BurdockMapOrder order = {
      .id = 3, .kind = BURDOCK_ORDER_ARM, .epoch = 2, .version = 9, .step = 40
    };
    BurdockRunnerHandler handler;
    BurdockRunner *runner;
    Fixture fixture;

    open_fixture (&fixture, &order_cases[i].answer, 1);
    handler =
        (BurdockRunnerHandler){ .ctx = &fixture, .order_done = record_order_result };
    runner = burdock_runner_new (fixture.client, fixture.url, &handler);
    burdock_runner_send_order (runner, &order);
    burdock_loop_run (fixture.loop);
    if (fixture.status != order_cases[i].status)
      CU_FAIL (order_cases[i].name);
    close_fixture (&fixture);
    CU_ASSERT_PTR_NOT_NULL (
        strstr (script_server_last_request (),
                "{\"operation\":\"arm\",\"epoch\":2,\"version\":9,\"step\":40}"));
    burdock_runner_free (runner);
  }
}

static void
record_report (void *ctx, const BurdockRankReport *report)
{
  Fixture *fixture = ctx;

  if (report != NULL)
    fixture->report = *report;
  fixture->finished = true;
}

static const char *const reports[] = {
  "200 {\"group\":{\"name\":\"g0\",\"epoch\":3,\"rank\":2,\"state\":\"open\"},\"size\":8,"
  "\"active\":5,\"step\":66,\"mapping\":4,\"preloaded\":7,\"enabled\":null,"
  "\"held\":null}",
  "200 {\"group\":{\"name\":\"g0\",\"epoch\":3,\"rank\":2,\"state\":\"open\"},\"size\":8,"
  "\"active\":5,\"step\":66,\"mapping\":4,\"preloaded\":7,"
  "\"enabled\":{\"version\":7,\"step\":70},\"held\":70}",
};

/* Guards against reading the fields of a report wrongly, in particular those that are
 * null while no map is armed and no step is held. */
static void
reports_are_decoded (void)
{
  for (uint32_t i = 0; i < 2; i++) {
    BurdockRunnerHandler handler;
    BurdockRunner *runner;
    Fixture fixture;

    open_fixture (&fixture, &reports[i], 1);
    handler = (BurdockRunnerHandler){ .ctx = &fixture, .report = record_report };
    runner = burdock_runner_new (fixture.client, fixture.url, &handler);
    burdock_runner_query_report (runner);
    burdock_loop_run (fixture.loop);
    CU_ASSERT_EQUAL (fixture.report.epoch, 3);
    CU_ASSERT_EQUAL (fixture.report.rank, 2);
    CU_ASSERT_TRUE (fixture.report.open);
    CU_ASSERT_EQUAL (fixture.report.map_version, 4);
    CU_ASSERT_EQUAL (fixture.report.loaded_version, 7);
    CU_ASSERT_EQUAL (fixture.report.armed_version, i == 0 ? 0 : 7);
    CU_ASSERT_EQUAL (fixture.report.armed_step, i == 0 ? 0 : 70);
    CU_ASSERT_EQUAL (fixture.report.held_step, i == 0 ? 0 : 70);
    close_fixture (&fixture);
    burdock_runner_free (runner);
  }
}

#define REPORT(epoch, rank, size, step)                                                  \
  "200 {\"group\":{\"name\":\"g\",\"epoch\":" epoch ",\"rank\":" rank                    \
  ",\"state\":\"open\"},\"size\":" size ",\"active\":1,\"step\":" step "}"
#define HUGE_NUMBER "36893488147419103232"
#define LONG_NAME "\"" LONG_KEY "\""

static const char *const odd_reports[] = {
  "200 ",
  "200 null",
  "200 []",
  "200 {\"group\":[],\"step\":1}",
  "200 {\"group\":{\"name\":" LONG_NAME ",\"epoch\":1,\"rank\":0,\"state\":\"open\"},"
  "\"size\":4,\"active\":1,\"step\":5}",
  REPORT ("1", "0", "4", "-5"),
  REPORT ("1", "0", "4", HUGE_NUMBER),
  REPORT ("1", "0", "4", "1e400"),
  REPORT ("1", "4294967296", "4", "5"),
  REPORT ("1", "0", "4294967300", "5"),
  REPORT ("1", "-1", "4", "5"),
  REPORT ("1", "0.5", "4", "5"),
  REPORT ("1", "\"0\"", "4", "5"),
  REPORT ("1", HUGE_NUMBER, HUGE_NUMBER, "5"),
  REPORT ("-1", "0", "4", "5"),
  REPORT (HUGE_NUMBER, "0", "4", "5"),
  REPORT ("null", "0", "4", "5"),
  REPORT ("1", "null", "4", "5"),
  REPORT ("1", "0", "null", "5"),
  REPORT ("1", "0", "4", "null"),
  REPORT ("1", "0", "4", "5,\"mapping\":\"4\""),
  REPORT ("1", "0", "4", "5,\"mapping\":{}"),
  REPORT ("1", "0", "4", "5,\"mapping\":{\"version\":null}"),
  REPORT ("1", "0", "4", "5,\"preloaded\":-7"),
  REPORT ("1", "0", "4", "5,\"enabled\":\"7\""),
  REPORT ("1", "0", "4", "5,\"enabled\":{\"step\":7}"),
  REPORT ("1", "0", "4", "5,\"enabled\":{\"version\":7,\"step\":\"70\"}"),
  REPORT ("1", "0", "4", "5,\"held\":" HUGE_NUMBER),
  REPORT ("1", "0", "4", "5,\"held\":[70]"),
};

/* Guards against an agent that takes the place of another rank, or joins another group,
 * because a number of the report is wrapped or taken for 0, or a name is cut, and against
 * a rank that is taken for one on its initial map, or for one that holds no step. */
static void
odd_reports_are_rejected (void)
{
  for (size_t i = 0; i < TEST_COUNT (odd_reports); i++) {
    BurdockRunnerHandler handler;
    BurdockRunner *runner;
    Fixture fixture;

    open_fixture (&fixture, &odd_reports[i], 1);
    handler = (BurdockRunnerHandler){ .ctx = &fixture, .report = record_report };
    runner = burdock_runner_new (fixture.client, fixture.url, &handler);
    burdock_runner_query_report (runner);
    burdock_loop_run (fixture.loop);
    if (fixture.report.group[0] != '\0')
      CU_FAIL (odd_reports[i]);
    close_fixture (&fixture);
    burdock_runner_free (runner);
  }
}

typedef struct {
  const char *answer;
  uint32_t length_bytes; /* 0 if it is rejected */
} HostedCase;

static const HostedCase hosted_cases[] = {
  { "200 {\"epoch\":1,\"mapping\":{\"version\":1,\"experts\":[[0,255],[]]}}", 4 },
  { "200 {\"epoch\":1,\"mapping\":{\"version\":1,\"experts\":[[0.0,1e1]]}}", 3 },
  { "200 {\"epoch\":1,\"mapping\":{\"version\":1,\"experts\":[[256]]}}", 0 },
  { "200 {\"epoch\":1,\"mapping\":{\"version\":1,\"experts\":[[-1]]}}", 0 },
  { "200 {\"epoch\":1,\"mapping\":{\"version\":1,\"experts\":[[" HUGE_NUMBER "]]}}", 0 },
  { "200 {\"epoch\":1,\"mapping\":{\"version\":1,\"experts\":[[\"1\"]]}}", 0 },
  { "200 {\"epoch\":1,\"mapping\":{\"version\":1,\"experts\":[[[1]]]}}", 0 },
  { "200 {\"epoch\":1,\"mapping\":{\"version\":1,\"experts\":[[1],7]}}", 0 },
  { "200 {\"epoch\":1,\"mapping\":{\"version\":1,\"experts\":{\"0\":[1]}}}", 0 },
  { "200 {\"epoch\":-1,\"mapping\":{\"version\":1,\"experts\":[[1]]}}", 0 },
  { "200 {\"epoch\":1,\"mapping\":{\"version\":" HUGE_NUMBER ",\"experts\":[[1]]}}", 0 },
  { "200 {\"epoch\":1,\"mapping\":[]}", 0 },
};

static void
record_hosted_experts (void *ctx, uint64_t epoch, uint64_t version, const uint8_t *hosted,
                       uint32_t length_bytes)
{
  Fixture *fixture = ctx;

  fixture->hosted_bytes = length_bytes;
}

/* The runner does not report a rejected answer: waits for a while after the answer. */
static void
run_until_answered (Fixture *fixture)
{
  fixture->ends_at_us = burdock_loop_now_us () + ANSWER_US;
  burdock_loop_run (fixture->loop);
}

/* Guards against an expert that is taken for another one. */
static void
odd_lists_of_experts_are_rejected (void)
{
  for (size_t i = 0; i < TEST_COUNT (hosted_cases); i++) {
    const char *answers[] = { hosted_cases[i].answer };
    BurdockRunnerHandler handler;
    BurdockRunner *runner;
    Fixture fixture;

    open_fixture (&fixture, answers, 1);
    handler = (BurdockRunnerHandler){ .ctx = &fixture,
                                      .hosted_experts = record_hosted_experts };
    runner = burdock_runner_new (fixture.client, fixture.url, &handler);
    burdock_runner_query_hosted_experts (runner);
    run_until_answered (&fixture);
    if (fixture.hosted_bytes != hosted_cases[i].length_bytes)
      CU_FAIL (hosted_cases[i].answer);
    close_fixture (&fixture);
    burdock_runner_free (runner);
  }
}

typedef struct {
  const char *answer;
  uint32_t count; /* 0 if it is rejected */
} CountsCase;

static const CountsCase counts_cases[] = {
  { "200 {\"counts\":[0,1.0,18446744073709549568]}", 3 },
  { "200 {\"counts\":[0,-1]}", 0 },
  { "200 {\"counts\":[0,1e300]}", 0 },
  { "200 {\"counts\":[0,\"1\"]}", 0 },
  { "200 {\"counts\":[[0],1]}", 0 },
  { "200 {\"counts\":[0,null]}", 0 },
  { "200 {\"counts\":[]}", 0 },
  { "200 {\"counts\":7}", 0 },
};

static void
record_counts (void *ctx, const uint64_t *counts, uint32_t count)
{
  Fixture *fixture = ctx;

  fixture->hosted_bytes = count;
}

/* Guards against a count that is taken for 0, after which the next sound one counts as
 * all tokens since the start of the runner. */
static void
odd_counts_are_rejected (void)
{
  for (size_t i = 0; i < TEST_COUNT (counts_cases); i++) {
    const char *answers[] = { counts_cases[i].answer };
    BurdockRunnerHandler handler;
    BurdockRunner *runner;
    Fixture fixture;

    open_fixture (&fixture, answers, 1);
    handler = (BurdockRunnerHandler){ .ctx = &fixture, .token_counts = record_counts };
    runner = burdock_runner_new (fixture.client, fixture.url, &handler);
    burdock_runner_query_token_counts (runner);
    run_until_answered (&fixture);
    if (fixture.hosted_bytes != counts_cases[i].count)
      CU_FAIL (counts_cases[i].answer);
    close_fixture (&fixture);
    burdock_runner_free (runner);
  }
}

/* Regression test, found with a fault injection run (sementeira-campina, scale-2, seed
 * 716127795627): a long poll that started at the end of an outage returned 8 s later with
 * the removal of a row. The return of the store was dated to the end of that call, and
 * the row taken for one that had expired during the outage. */
static void
reachability_dates_from_the_start_of_the_call (void)
{
  static const char *const answers[] = {
    "503 {}", "200 {\"rows\":[],\"hasMore\":false,\"schemaVersion\":5}"
  };
  uint64_t started_us;
  Fixture fixture;

  open_watch (&fixture, answers, 2);
  fixture.expected_text = "!";
  burdock_loop_run (fixture.loop);
  /* Start the next call with a time that differs from the time of its answer. */
  started_us = burdock_loop_now_us () + 1000000;
  burdock_table_watch_tick (fixture.watch, started_us);
  fixture.finished = false;
  fixture.expected_text = "+";
  burdock_loop_run (fixture.loop);
  CU_ASSERT_EQUAL (fixture.since_us, started_us);
  close_fixture (&fixture);
}

/* Guards against a change that is missed until the time limit of the long poll, 28 s,
 * when the store loses its answer: the call is repeated once it is known that there is
 * more. */
static void
a_call_without_an_answer_can_be_repeated (void)
{
  static const char *const answers[] = {
    "200 {\"rows\":[],\"hasMore\":false,\"schemaVersion\":5}", SCRIPT_STALL,
    "200 {\"rows\":[{\"key\":\"x\",\"data\":\"YQ==\"}],\"schemaVersion\":6}"
  };
  uint64_t now_us;
  Fixture fixture;

  open_watch (&fixture, answers, 3);
  fixture.expected_text = "]";
  burdock_loop_run (fixture.loop);
  /* Runs until the server has received the call that it does not answer. */
  fixture.finished = false;
  fixture.expected_text = NULL;
  fixture.timeout_at_us = burdock_loop_now_us () + 200000;
  burdock_loop_run (fixture.loop);
  now_us = burdock_loop_now_us ();
  fixture.timeout_at_us = now_us + TIMEOUT_US;
  /* A call that has just begun is not repeated. */
  burdock_table_watch_call_again (fixture.watch, 1000000, now_us);
  CU_ASSERT_EQUAL (fixture.store.calls, 2);
  burdock_table_watch_call_again (fixture.watch, 1000000, now_us + 1000000);
  fixture.finished = false;
  fixture.expected_text = "x=a ;";
  burdock_loop_run (fixture.loop);
  CU_ASSERT_TRUE (fixture.store.calls >= 3);
  close_fixture (&fixture);
}

/* Guards against a long answer that is asked for again and again before it has arrived,
 * as other gateways are already further. An answer that stops half way is given up. */
static void
a_call_whose_answer_arrives_is_not_repeated (void)
{
  static const char *const answers[] = { "HTTP/1.1 200 x\r\nContent-Length: 100\r\n\r\n{",
                                         SCRIPT_STALL };
  uint64_t now_us;
  Fixture fixture;

  open_watch (&fixture, answers, 2);
  fixture.ends_at_us = burdock_loop_now_us () + 4 * ANSWER_US;
  burdock_loop_run (fixture.loop);
  now_us = burdock_loop_now_us ();
  burdock_table_watch_call_again (fixture.watch, 1000, now_us);
  burdock_table_watch_tick (fixture.watch, now_us);
  CU_ASSERT_EQUAL (fixture.store.calls, 1);
  now_us += 3000000;
  burdock_table_watch_call_again (fixture.watch, 1000, now_us);
  burdock_table_watch_tick (fixture.watch, now_us);
  CU_ASSERT_EQUAL (fixture.store.calls, 2);
  fixture.ends_at_us = 0;
  fixture.finished = false;
  run_until_answered (&fixture);
  close_fixture (&fixture);
  CU_ASSERT_PTR_NOT_NULL (strstr (script_server_request_lines (), "pageSize=250 "));
}

typedef struct {
  const char *value; /* NULL to remove the row */
  const char *answers[2];
  uint32_t count;
  const char *body;
} WriteCase;

static const WriteCase write_cases[] = {
  { "a",
    { "200 {\"schemaVersion\":5}" },
    1,
    "{\"expectedRevision\":[],\"write\":[{\"tableName\":\"t\",\"part\":\"\","
    "\"key\":\"k\",\"data\":\"YQ==\"}],\"remove\":[]}" },
  { "b",
    { "503 {}", "200 {\"schemaVersion\":6}" },
    2,
    "\"key\":\"k\",\"data\":\"Yg==\"}" },
  { NULL,
    { "429 {}", "200 {\"schemaVersion\":7}" },
    2,
    "\"write\":[],\"remove\":[{\"tableName\":\"t\",\"part\":\"\",\"key\":\"k\"}]}" },
};

static void
rows_are_written_once_the_store_answers (void)
{
  for (size_t i = 0; i < TEST_COUNT (write_cases); i++) {
    const WriteCase *item = &write_cases[i];
    BurdockBytes value = { (const uint8_t *)item->value, item->value != NULL ? 1 : 0 };
    BurdockBytes older = { (const uint8_t *)"z", 1 };
    Fixture fixture;

    open_fixture (&fixture, item->answers, item->count);
    fixture.store = (BurdockStoreClient){ .loop = fixture.loop,
                                          .client = fixture.client,
                                          .url = fixture.url,
                                          .random = no_jitter };
    fixture.writer = burdock_row_writer_new (&fixture.store, "t");
    CU_ASSERT_EQUAL (burdock_row_writer_put (fixture.writer, "k", older, 0), 0);
    CU_ASSERT_EQUAL (burdock_row_writer_put (fixture.writer, "k", value, 0), 0);
    burdock_loop_run (fixture.loop);
    CU_ASSERT_EQUAL (fixture.store.calls, item->count);
    close_fixture (&fixture);
    CU_ASSERT_PTR_NOT_NULL (strstr (script_server_last_request (), item->body));
  }
}

/* Guards against a process that hears of a restored store last: its long poll of the era
 * before gets no answer, while another call has met the new era. */
static void
a_long_poll_of_an_ended_era_is_replaced (void)
{
  static const char *const answers[] = {
    "200 " ERA (1) "{\"rows\":[]," ROWS_AT (50), SCRIPT_STALL,
    "200 " ERA (2) "{\"rows\":[{\"key\":\"x\",\"data\":\"YQ==\"}]," ROWS_AT (4)
  };
  Fixture fixture;

  open_watch (&fixture, answers, 3);
  fixture.expected_text = "]";
  burdock_loop_run (fixture.loop);
  fixture.finished = false;
  fixture.expected_text = NULL;
  fixture.timeout_at_us = burdock_loop_now_us () + 200000;
  burdock_loop_run (fixture.loop);
  fixture.timeout_at_us = burdock_loop_now_us () + TIMEOUT_US;
  burdock_store_client_note_era (&fixture.store, 2, "another call");
  fixture.finished = false;
  fixture.expected_text = "+[][x=a ]";
  burdock_loop_run (fixture.loop);
  close_fixture (&fixture);
}

static const Test tests[] = {
  { "a change is missed after the store was restored",
    a_long_poll_of_an_ended_era_is_replaced },
  { "a table is not followed because of the key of a row",
    rows_beside_odd_keys_are_read },
  { "a report with numbers out of range is used", odd_reports_are_rejected },
  { "an expert is taken for another one", odd_lists_of_experts_are_rejected },
  { "a count of tokens is taken for 0", odd_counts_are_rejected },
  { "odd rows fill the log", many_odd_rows_have_few_log_lines },
  { "a listing does not pass the key of a row", listings_pass_odd_keys },
  { "a listing has no end", a_page_that_repeats_is_a_failure },
  { "a table is not followed because an answer is too long",
    long_answers_are_read_in_parts },
  { "a table is not followed because a row is too long", a_long_row_is_read_alone },
  { "a row is lost when a write fails", rows_are_written_once_the_store_answers },
  { "a change is missed for as long as a long poll lasts",
    a_call_without_an_answer_can_be_repeated },
  { "a call is repeated while its answer arrives",
    a_call_whose_answer_arrives_is_not_repeated },
  { "a row removed long after an outage is taken for an expired one",
    reachability_dates_from_the_start_of_the_call },
  { "a change of a table is lost or reverted", watch_delivers_the_table },
  { "an order with an unknown result is reported as rejected",
    order_results_are_classified },
  { "a report of a runner is decoded wrongly", reports_are_decoded },
};

int
main (void)
{
  int status;

  apr_initialize ();
  g_log_set_writer_func (count_line, NULL, NULL);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  status = test_main ("platform-client", tests, TEST_COUNT (tests));
  curl_global_cleanup ();
  apr_terminate ();
  return status;
}
