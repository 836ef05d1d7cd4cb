#include "auth.h"
#include "test.h"

#include <errno.h>
#include <string.h>

#define NOW_S 1000000

static const uint8_t key[BURDOCK_KEY_BYTES] = { 1, 2, 3 };
static const uint8_t other_key[BURDOCK_KEY_BYTES] = { 1, 2, 4 };

static BurdockBytes
bytes (const char *text)
{
  return (BurdockBytes){ .data = (const uint8_t *)text,
                         .length_bytes = (uint32_t)strlen (text) };
}

typedef struct {
  const char *name;
  const uint8_t *key;
  const char *method;
  const char *target;
  const char *body;
  uint64_t now_s;
  int status;
} AuthCase;

/* Guards against a signature that is accepted for a request other than the signed one,
 * with another key, or outside the allowed clock skew. */
static void
only_the_signed_request_is_accepted (void)
{
  static const AuthCase cases[] = {
    { "same request", key, "POST", "/v1/admin/config?operator=a", "x", NOW_S, 0 },
    { "clock ahead", key, "POST", "/v1/admin/config?operator=a", "x", NOW_S + 300, 0 },
    { "too old", key, "POST", "/v1/admin/config?operator=a", "x", NOW_S + 301, -ESTALE },
    { "too new", key, "POST", "/v1/admin/config?operator=a", "x", NOW_S - 301, -ESTALE },
    { "other key", other_key, "POST", "/v1/admin/config?operator=a", "x", NOW_S,
      -EACCES },
    { "other method", key, "GET", "/v1/admin/config?operator=a", "x", NOW_S, -EACCES },
    { "other operator", key, "POST", "/v1/admin/config?operator=b", "x", NOW_S, -EACCES },
    { "other body", key, "POST", "/v1/admin/config?operator=a", "y", NOW_S, -EACCES },
  };
  char value[BURDOCK_AUTH_TEXT_BYTES];

  burdock_auth_sign (key, "POST", "/v1/admin/config?operator=a", NOW_S, bytes ("x"),
                     value);
  for (uint32_t i = 0; i < TEST_COUNT (cases); i++)
    CU_ASSERT_EQUAL (burdock_auth_verify (cases[i].key, cases[i].method, cases[i].target,
                                          cases[i].now_s, bytes (cases[i].body), value),
                     cases[i].status);
}

/* Guards against header values that are accepted, or crash the parser, although they lack
 * a time or a complete MAC. */
static void
malformed_values_are_rejected (void)
{
  static const char *const values[] = { "",    ":",    "1000000",   "1000000:",
                                        "x:y", "-1:0", "1000000:00" };

  CU_ASSERT_EQUAL (burdock_auth_verify (key, "GET", "/", NOW_S, bytes (""), NULL),
                   -EACCES);
  for (uint32_t i = 0; i < TEST_COUNT (values); i++)
    CU_ASSERT_EQUAL (burdock_auth_verify (key, "GET", "/", NOW_S, bytes (""), values[i]),
                     -EACCES);
}

/* Guards against the use of a key that is too short, too long or mistyped. */
static void
keys_have_64_hexadecimal_digits (void)
{
  char text[2 * BURDOCK_KEY_BYTES + 2];
  uint8_t out[BURDOCK_KEY_BYTES];

  memset (text, 'a', sizeof text);
  text[64] = '\0';
  CU_ASSERT_EQUAL (burdock_key_parse (text, out), 0);
  CU_ASSERT_EQUAL (out[31], 0xaa);
  text[3] = 'g';
  CU_ASSERT_EQUAL (burdock_key_parse (text, out), -EINVAL);
  text[3] = 'a';
  text[63] = '\0';
  CU_ASSERT_EQUAL (burdock_key_parse (text, out), -EINVAL);
  text[63] = text[64] = 'a';
  text[65] = '\0';
  CU_ASSERT_EQUAL (burdock_key_parse (text, out), -EINVAL);
}

static const Test tests[] = {
  { "an operator's signature is accepted for another request",
    only_the_signed_request_is_accepted },
  { "a malformed signature is accepted", malformed_values_are_rejected },
  { "a short or mistyped key is used", keys_have_64_hexadecimal_digits },
};

int
main (void)
{
  return test_main ("auth", tests, TEST_COUNT (tests));
}
