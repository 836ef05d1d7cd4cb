#include "request-digest.h"
#include "test.h"

#include <string.h>

typedef struct {
  const char *name;
  const char *fields[5]; /* method, host, target, caller, body */
  bool same;
} DigestCase;

static const char *const first[5] = { "POST", "h", "/a/b?c=1", "key-1", "body" };

static const DigestCase digest_cases[] = {
  { "the same", { "POST", "h", "/a/b?c=1", "key-1", "body" }, true },
  { "another method", { "PUT", "h", "/a/b?c=1", "key-1", "body" }, false },
  { "another host", { "POST", "i", "/a/b?c=1", "key-1", "body" }, false },
  { "another query", { "POST", "h", "/a/b?c=2", "key-1", "body" }, false },
  { "another caller", { "POST", "h", "/a/b?c=1", "key-2", "body" }, false },
  { "no caller", { "POST", "h", "/a/b?c=1", NULL, "body" }, false },
  { "another body", { "POST", "h", "/a/b?c=1", "key-1", "bodz" }, false },
  { "no body", { "POST", "h", "/a/b?c=1", "key-1", "" }, false },
  { "the same characters in other fields",
    { "POST", "h", "/a/b?c=1k", "ey-1", "body" },
    false },
};

static uint64_t
digest_of (const char *const fields[5])
{
  BurdockRequestContent content = {
    .method = fields[0],
    .host = fields[1],
    .target = fields[2],
    .caller = fields[3],
    .body = { (const uint8_t *)fields[4], (uint32_t)strlen (fields[4]) },
  };

  return burdock_request_digest (&content);
}

static void
equal_requests_have_equal_digests (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (digest_cases); i++) {
    const DigestCase *row = &digest_cases[i];

    if ((digest_of (row->fields) == digest_of (first)) != row->same)
      CU_FAIL (row->name);
  }
}

static const Test tests[] = {
  { "a request that comes again is not known, or taken for another one",
    equal_requests_have_equal_digests },
};

int
main (void)
{
  return test_main ("request-digest", tests, TEST_COUNT (tests));
}
