#include "http-framing.h"

#include <errno.h>
#include <string.h>
#include <strings.h>

#define VERSION_TEXT "HTTP/1."
#define STATUS_DIGITS 3
#define FINAL_STATUS_MIN 200
#define STATUS_MIN 100
#define STATUS_MAX 599
#define SWITCHING_PROTOCOLS 101
#define NO_CONTENT 204

#define NO_LINE_END "a line does not end with CR and LF"

typedef struct {
  const char *text;
  size_t length_bytes;
} Span;

static int
refuse (BurdockHttpFraming *framing, const char *reason)
{
  framing->malformed = reason;
  return -EPROTO;
}

static bool
is_digit (char byte)
{
  return byte >= '0' && byte <= '9';
}

/* A tab is a blank, not a control byte. */
static bool
is_control (char byte)
{
  uint8_t code = (uint8_t)byte;

  return (code < ' ' && code != '\t') || code == 0x7f;
}

static bool
has_control (const char *text, size_t length_bytes)
{
  for (size_t i = 0; i < length_bytes; i++)
    if (is_control (text[i]))
      return true;
  return false;
}

static int
read_version (BurdockHttpFraming *framing, const char *line, size_t length_bytes)
{
  size_t prefix_bytes = strlen (VERSION_TEXT);

  if (length_bytes < prefix_bytes + 2 || memcmp (line, VERSION_TEXT, prefix_bytes) != 0 ||
      (line[prefix_bytes] != '0' && line[prefix_bytes] != '1') ||
      line[prefix_bytes + 1] != ' ')
    return refuse (framing, "the version is not HTTP/1.0 or HTTP/1.1");
  framing->minor_version = line[prefix_bytes] - '0';
  return 0;
}

/* Reads "HTTP/1.1 200 OK"; servers that send no reason often leave its blank out. */
static int
read_status_line (BurdockHttpFraming *framing, const char *line, size_t length_bytes)
{
  const char *code = line + strlen (VERSION_TEXT "1 ");
  size_t rest_bytes;
  int32_t status = 0;

  if (read_version (framing, line, length_bytes) < 0)
    return -EPROTO;
  rest_bytes = length_bytes - (size_t)(code - line);
  for (size_t i = 0; i < STATUS_DIGITS; i++) {
    if (i >= rest_bytes || !is_digit (code[i]))
      return refuse (framing, "the status code is not of three digits");
    status = status * 10 + code[i] - '0';
  }
  if (rest_bytes > STATUS_DIGITS && code[STATUS_DIGITS] != ' ')
    return refuse (framing, "the status code is not of three digits");
  if (status < STATUS_MIN || status > STATUS_MAX)
    return refuse (framing, "the status code is not between 100 and 599");
  /* No request asks for it. */
  if (status == SWITCHING_PROTOCOLS)
    return refuse (framing, "the server switches to another protocol");
  if (has_control (code, rest_bytes))
    return refuse (framing, "the status line has a control byte");
  framing->http_status = status;
  framing->part = BURDOCK_HTTP_FIELDS;
  return 0;
}

/* Whether a field name may contain @byte (RFC 9110, section 5.6.2). */
static bool
is_name_byte (char byte)
{
  return is_digit (byte) || (byte >= 'a' && byte <= 'z') ||
         (byte >= 'A' && byte <= 'Z') ||
         (byte != '\0' && strchr ("!#$%&'*+-.^_`|~", byte) != NULL);
}

static bool
equals (Span span, const char *text)
{
  return span.length_bytes == strlen (text) &&
         strncasecmp (span.text, text, span.length_bytes) == 0;
}

static bool
is_blank (char byte)
{
  return byte == ' ' || byte == '\t';
}

static Span
trim (Span span)
{
  while (span.length_bytes > 0 && is_blank (span.text[0])) {
    span.text++;
    span.length_bytes--;
  }
  while (span.length_bytes > 0 && is_blank (span.text[span.length_bytes - 1]))
    span.length_bytes--;
  return span;
}

/* Returns false for anything but digits, and above the range of libcurl. */
static bool
parse_length (Span digits, uint64_t *out)
{
  *out = 0;
  for (size_t i = 0; i < digits.length_bytes; i++) {
    if (!is_digit (digits.text[i]) ||
        *out > (INT64_MAX - (uint64_t)(digits.text[i] - '0')) / 10)
      return false;
    *out = *out * 10 + (uint64_t)(digits.text[i] - '0');
  }
  return digits.length_bytes > 0;
}

/* The value may be a list, and the field may come again, if all lengths are the same. */
static int
read_length (BurdockHttpFraming *framing, Span list)
{
  while (true) {
    const char *comma = memchr (list.text, ',', list.length_bytes);
    size_t item_bytes = comma != NULL ? (size_t)(comma - list.text) : list.length_bytes;
    uint64_t body_bytes;

    if (!parse_length (trim ((Span){ list.text, item_bytes }), &body_bytes))
      return refuse (framing, "the Content-Length is no number");
    if (framing->has_length && body_bytes != framing->body_bytes)
      return refuse (framing, "the head has two values of Content-Length");
    framing->has_length = true;
    framing->body_bytes = body_bytes;
    if (comma == NULL)
      return 0;
    list = (Span){ comma + 1, list.length_bytes - item_bytes - 1 };
  }
}

/* Requests ask for no other coding (TE). */
static int
read_coding (BurdockHttpFraming *framing, Span coding)
{
  if (framing->chunked || !equals (coding, "chunked"))
    return refuse (framing, "the Transfer-Encoding is not chunked");
  framing->chunked = true;
  return 0;
}

/* Also refuses a line that goes on with the field before it: RFC 9112 forbids servers to
 * send one, and clients differ in how they read it. */
static int
read_field (BurdockHttpFraming *framing, const char *line, size_t length_bytes)
{
  const char *colon = memchr (line, ':', length_bytes);
  Span name;
  Span value;

  if (colon == NULL)
    return refuse (framing, "a line of the head is no field");
  if (colon == line)
    return refuse (framing, "a field has no name");
  for (const char *at = line; at < colon; at++)
    if (!is_name_byte (*at))
      return refuse (framing, "the name of a field has a byte that names cannot have");
  if (has_control (colon, length_bytes - (size_t)(colon - line)))
    return refuse (framing, "the value of a field has a control byte");
  name = (Span){ line, (size_t)(colon - line) };
  value = trim ((Span){ colon + 1, length_bytes - name.length_bytes - 1 });
  if (framing->part == BURDOCK_HTTP_BODY)
    return 0;
  if (equals (name, "Content-Length"))
    return read_length (framing, value);
  return equals (name, "Transfer-Encoding") ? read_coding (framing, value) : 0;
}

/* Checks the fields that tell the length of the body against each other and against the
 * status. */
static int
end_head (BurdockHttpFraming *framing)
{
  bool interim = framing->http_status < FINAL_STATUS_MIN;

  if (framing->has_length && framing->chunked)
    return refuse (framing, "the head has a Content-Length and a Transfer-Encoding");
  if (framing->chunked && framing->minor_version == 0)
    return refuse (framing, "HTTP/1.0 has no Transfer-Encoding");
  /* libcurl would read the final answer in the chunks of an interim one. */
  if ((interim || framing->http_status == NO_CONTENT) &&
      (framing->chunked || framing->body_bytes > 0))
    return refuse (framing, "an answer with this status has no body");
  framing->part = BURDOCK_HTTP_BODY;
  if (interim)
    *framing = (BurdockHttpFraming){ 0 };
  return 0;
}

int
burdock_http_framing_read_line (BurdockHttpFraming *framing, const char *line,
                                size_t length_bytes)
{
  if (framing->malformed != NULL)
    return -EPROTO;
  if (length_bytes < 2 || line[length_bytes - 2] != '\r' ||
      line[length_bytes - 1] != '\n')
    return refuse (framing, NO_LINE_END);
  length_bytes -= 2;
  if (framing->part == BURDOCK_HTTP_STATUS_LINE)
    return read_status_line (framing, line, length_bytes);
  return length_bytes == 0 ? end_head (framing)
                           : read_field (framing, line, length_bytes);
}

/* Returns -1 for a byte that is no hexadecimal digit. */
static int
digit_value (char byte)
{
  if (is_digit (byte))
    return byte - '0';
  if (byte >= 'a' && byte <= 'f')
    return byte - 'a' + 10;
  return byte >= 'A' && byte <= 'F' ? byte - 'A' + 10 : -1;
}

static int
read_size_digit (BurdockHttpFraming *framing, char byte)
{
  int value = digit_value (byte);

  if (value < 0 || framing->chunk_bytes > INT64_MAX >> 4)
    return refuse (framing, "the size of a chunk is no number");
  framing->chunk_bytes = framing->chunk_bytes << 4 | (uint64_t)value;
  framing->chunk_part = BURDOCK_HTTP_CHUNK_SIZE;
  return 0;
}

/* Reads what may follow the digits of a size: blanks, an extension, the end of the line.
 */
static int
read_after_size (BurdockHttpFraming *framing, char byte)
{
  bool in_extension = framing->chunk_part == BURDOCK_HTTP_CHUNK_EXTENSION;

  if (byte == '\r')
    framing->chunk_part = BURDOCK_HTTP_CHUNK_SIZE_LF;
  else if (byte == ';')
    framing->chunk_part = BURDOCK_HTTP_CHUNK_EXTENSION;
  else if (is_blank (byte) && !in_extension)
    framing->chunk_part = BURDOCK_HTTP_CHUNK_SIZE_BLANKS;
  else if (!in_extension || is_control (byte))
    return refuse (framing, "the size of a chunk is no number");
  return 0;
}

static int
expect (BurdockHttpFraming *framing, char byte, char expected, BurdockHttpChunkPart next)
{
  bool after_data = framing->chunk_part == BURDOCK_HTTP_CHUNK_DATA_CR ||
                    framing->chunk_part == BURDOCK_HTTP_CHUNK_DATA_LF;

  if (byte != expected)
    return refuse (framing, after_data ? "a chunk does not end where its size tells"
                                       : NO_LINE_END);
  framing->chunk_part = next;
  return 0;
}

static int
read_trailer_byte (BurdockHttpFraming *framing, char byte)
{
  bool begin = framing->chunk_part == BURDOCK_HTTP_TRAILER_BEGIN;

  if (byte == '\n')
    return refuse (framing, NO_LINE_END);
  if (byte != '\r')
    framing->chunk_part = BURDOCK_HTTP_TRAILER;
  else
    framing->chunk_part = begin ? BURDOCK_HTTP_CHUNKS_LF : BURDOCK_HTTP_TRAILER_LF;
  return 0;
}

/* Reads any byte of a chunked body that is no data of a chunk. */
static int
read_chunk_byte (BurdockHttpFraming *framing, char byte)
{
  switch (framing->chunk_part) {
  case BURDOCK_HTTP_CHUNK_SIZE_BEGIN:
    framing->chunk_bytes = 0;
    return read_size_digit (framing, byte);
  case BURDOCK_HTTP_CHUNK_SIZE:
    return digit_value (byte) >= 0 ? read_size_digit (framing, byte)
                                   : read_after_size (framing, byte);
  case BURDOCK_HTTP_CHUNK_SIZE_BLANKS:
  case BURDOCK_HTTP_CHUNK_EXTENSION:
    return read_after_size (framing, byte);
  case BURDOCK_HTTP_CHUNK_SIZE_LF:
    return expect (framing, byte, '\n',
                   framing->chunk_bytes > 0 ? BURDOCK_HTTP_CHUNK_DATA
                                            : BURDOCK_HTTP_TRAILER_BEGIN);
  case BURDOCK_HTTP_CHUNK_DATA_CR:
    return expect (framing, byte, '\r', BURDOCK_HTTP_CHUNK_DATA_LF);
  case BURDOCK_HTTP_CHUNK_DATA_LF:
    return expect (framing, byte, '\n', BURDOCK_HTTP_CHUNK_SIZE_BEGIN);
  case BURDOCK_HTTP_TRAILER_LF:
    return expect (framing, byte, '\n', BURDOCK_HTTP_TRAILER_BEGIN);
  case BURDOCK_HTTP_CHUNKS_LF:
    return expect (framing, byte, '\n', BURDOCK_HTTP_CHUNKS_END);
  default:
    return read_trailer_byte (framing, byte);
  }
}

int
burdock_http_framing_read_body (BurdockHttpFraming *framing, const char *data,
                                size_t length_bytes)
{
  size_t at = 0;

  if (framing->malformed != NULL)
    return -EPROTO;
  if (!framing->chunked || framing->part != BURDOCK_HTTP_BODY)
    return 0;
  while (at < length_bytes && framing->chunk_part != BURDOCK_HTTP_CHUNKS_END) {
    size_t left_bytes = length_bytes - at;

    if (framing->chunk_part != BURDOCK_HTTP_CHUNK_DATA) {
      if (read_chunk_byte (framing, data[at++]) < 0)
        return -EPROTO;
      continue;
    }
    if (left_bytes > framing->chunk_bytes)
      left_bytes = framing->chunk_bytes;
    at += left_bytes;
    framing->chunk_bytes -= left_bytes;
    if (framing->chunk_bytes == 0)
      framing->chunk_part = BURDOCK_HTTP_CHUNK_DATA_CR;
  }
  return 0;
}

bool
burdock_http_framing_has_head (const BurdockHttpFraming *framing)
{
  return framing->part == BURDOCK_HTTP_BODY && framing->malformed == NULL;
}
