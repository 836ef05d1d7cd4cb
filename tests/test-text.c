#include "test.h"
#include "text.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

static BurdockBytes
bytes (const char *text)
{
  return (BurdockBytes){ .data = (const uint8_t *)text,
                         .length_bytes = (uint32_t)strlen (text) };
}

/* Guards against escapes that make a response invalid JSON or alter its text; jansson is
 * the reference decoder. */
static void
json_strings_decode_to_their_input (void)
{
  static const char *const values[] = { "",
                                        "plain",
                                        "quote \" backslash \\ slash /",
                                        "\n\r\t\b\f\x01\x1f\x7f",
                                        "\u00e9 \u4e16 \U0001f33f",
                                        "ends with \"" };

  for (uint32_t i = 0; i < TEST_COUNT (values); i++) {
    BurdockText text = { 0 };
    json_t *value;

    burdock_text_add_json_string (&text, values[i]);
    value = json_loadb (text.data, text.length_bytes, JSON_DECODE_ANY, NULL);
    CU_ASSERT_PTR_NOT_NULL_FATAL (value);
    CU_ASSERT_STRING_EQUAL (json_string_value (value), values[i]);
    json_decref (value);
    burdock_text_clear (&text);
  }
}

/* Guards against invalid UTF-8, such as overlong forms and surrogates, that is passed to
 * an upstream; jansson is the reference validator. */
static void
invalid_utf8_is_detected (void)
{
  static const char *const values[] = {
    "a",
    "\xc3\xa9",
    "\xc3",
    "\xa9",
    "\xc0\x80",
    "\xe4\xb8",
    "\xe0\x80\x80",
    "\xed\xa0\x80",
    "\xed\x9f\xbf",
    "\xf0\x9f\x8c\xbf",
    "\xf0\x80\x80\x80",
    "\xf4\x8f\xbf\xbf",
    "\xf4\x90\x80\x80",
    "\xff",
    "a\xf5\x80\x80\x80",
  };

  for (uint32_t i = 0; i < TEST_COUNT (values); i++) {
    json_t *reference = json_string (values[i]);

    CU_ASSERT_EQUAL (burdock_text_is_utf8 (bytes (values[i])), reference != NULL);
    json_decref (reference);
  }
  CU_ASSERT_FALSE (burdock_text_is_utf8 ((BurdockBytes){ (const uint8_t *)"a\0b", 3 }));
}

/* Guards against bytes that are lost when the buffer grows. */
static void
numbers_and_growth_keep_every_byte (void)
{
  BurdockText text = { 0 };
  uint64_t sum = 0;
  char *taken;

  for (uint32_t i = 0; i < 1000; i++) {
    burdock_text_add_number (&text, i);
    burdock_text_add (&text, ",", 1);
  }
  burdock_text_add_number (&text, UINT64_MAX);
  taken = burdock_text_take (&text);
  CU_ASSERT_PTR_NULL (text.data);
  for (char *at = taken; strchr (at, ',') != NULL; at = strchr (at, ',') + 1)
    sum += strtoull (at, NULL, 10);
  CU_ASSERT_EQUAL (sum, 499500);
  CU_ASSERT_PTR_NOT_NULL (strstr (taken, ",18446744073709551615"));
  free (taken);
}

static const Test tests[] = {
  { "a response is not JSON, or its text is altered",
    json_strings_decode_to_their_input },
  { "text that is not UTF-8 reaches an upstream", invalid_utf8_is_detected },
  { "a long response loses bytes", numbers_and_growth_keep_every_byte },
};

int
main (void)
{
  return test_main ("text", tests, TEST_COUNT (tests));
}
