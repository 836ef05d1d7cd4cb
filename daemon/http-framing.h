/**
 * DOC: http-framing.h - checks the framing of an HTTP/1.1 response, without I/O
 *
 * libcurl reads what it can of a malformed head: it uses the digits at the start of a
 * length, skips lines that are no fields and guesses statuses. The body that it returns
 * is then not the one that the server sent. This check accepts only what RFC 9112 allows
 * a server to send, in the one form that leaves no choice of where the body ends.
 */
#ifndef BURDOCK_HTTP_FRAMING_H
#define BURDOCK_HTTP_FRAMING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** enum BurdockHttpFramingPart - what comes next in a response */
typedef enum {
  BURDOCK_HTTP_STATUS_LINE,
  BURDOCK_HTTP_FIELDS,
  BURDOCK_HTTP_BODY,
} BurdockHttpFramingPart;

/** enum BurdockHttpChunkPart - what the next byte of a chunked body belongs to */
typedef enum {
  BURDOCK_HTTP_CHUNK_SIZE_BEGIN,
  BURDOCK_HTTP_CHUNK_SIZE,
  BURDOCK_HTTP_CHUNK_SIZE_BLANKS,
  BURDOCK_HTTP_CHUNK_EXTENSION,
  BURDOCK_HTTP_CHUNK_SIZE_LF,
  BURDOCK_HTTP_CHUNK_DATA,
  BURDOCK_HTTP_CHUNK_DATA_CR,
  BURDOCK_HTTP_CHUNK_DATA_LF,
  BURDOCK_HTTP_TRAILER_BEGIN,
  BURDOCK_HTTP_TRAILER,
  BURDOCK_HTTP_TRAILER_LF,
  BURDOCK_HTTP_CHUNKS_LF,
  BURDOCK_HTTP_CHUNKS_END,
} BurdockHttpChunkPart;

/**
 * struct BurdockHttpFraming - state of the check of one response; zeroed at its start
 * @part: what comes next; lines that come with the body are trailers
 * @http_status: status code of the last status line
 * @minor_version: x of HTTP/1.x
 * @has_length: the head has a Content-Length
 * @body_bytes: its value
 * @chunked: the head has the Transfer-Encoding chunked
 * @chunk_part: what comes next in a chunked body
 * @chunk_bytes: size of the current chunk, less what has passed of it
 * @malformed: what is malformed, NULL while nothing is
 */
typedef struct {
  BurdockHttpFramingPart part;
  int32_t http_status;
  int32_t minor_version;
  bool has_length;
  bool chunked;
  uint64_t body_bytes;
  BurdockHttpChunkPart chunk_part;
  uint64_t chunk_bytes;
  const char *malformed;
} BurdockHttpFraming;

/**
 * burdock_http_framing_read_line() - checks the next line of a head or of trailers
 * @line: with its end
 * Returns 0, or -EPROTO from the first malformed line on.
 */
int burdock_http_framing_read_line (BurdockHttpFraming *framing, const char *line,
                                    size_t length_bytes);

/**
 * burdock_http_framing_read_body() - checks the next bytes of a body, before its chunks
 * are decoded
 *
 * libcurl passes them only to CURLOPT_DEBUGFUNCTION, as CURLINFO_DATA_IN.
 *
 * Bytes after the last chunk belong to no response and are not checked, nor are those of
 * a body that is not chunked. The content of trailers is left to
 * burdock_http_framing_read_line().
 * Returns 0, or -EPROTO from the first malformed chunk on.
 */
int burdock_http_framing_read_body (BurdockHttpFraming *framing, const char *data,
                                    size_t length_bytes);

/** burdock_http_framing_has_head() - whether the head of a final (not interim) response
 * is complete */
bool burdock_http_framing_has_head (const BurdockHttpFraming *framing);

#endif
