/**
 * DOC: fuzz-rows.c - decodes arbitrary bytes as a row or header of the platform
 *
 * The first byte selects what the bytes are: the configuration, the row of an upstream, a
 * row about the quarantine, the list of the parts of a prompt, or the key and value of a
 * row that evacuates a failure domain. A decoder either
 * rejects them or returns values within the bounds that the rest of the program relies
 * on.
 */
#include "exchange.h"
#include "quarantine-row.h"
#include "row-decoder.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* 2026-01-01, in ms since the epoch. */
#define WALL_MS UINT64_C (1767225600000)

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size_bytes);

static void
decode_routes (BurdockBytes text)
{
  BurdockRouteTable *table = NULL;
  BurdockError error = { 0 };
  int status = burdock_platform_decode_routes (text, &table, &error);

  if (status == 0 && table == NULL)
    abort ();
  if (status < 0 && error.detail[0] == '\0')
    abort ();
  if (status == 0)
    burdock_route_table_unref (table);
}

static void
decode_upstream (BurdockBytes text)
{
  BurdockUpstream upstream = { 0 };

  if (burdock_platform_decode_upstream ("i-1", text, &upstream) < 0)
    return;
  if (upstream.address.port == 0 || upstream.address.ipv4 == 0 ||
      upstream.pool[0] == '\0' ||
      memchr (upstream.pool, '\0', sizeof upstream.pool) == NULL)
    abort ();
}

/* A row that is read and written again contains the same crashes. */
static void
decode_quarantine (BurdockBytes text)
{
  BurdockQuarantineRow row = { 0 };
  BurdockQuarantineRow again = { 0 };
  char key[BURDOCK_QUARANTINE_KEY_BYTES];
  char *value;

  if (burdock_quarantine_row_decode ("1f", text, WALL_MS, &row) < 0)
    return;
  burdock_quarantine_row_key (row.part, key);
  value = burdock_quarantine_row_encode (&row, WALL_MS);
  if (row.count == 0 || row.count > BURDOCK_PART_CRASHES_MAX || value == NULL ||
      burdock_quarantine_row_decode (key,
                                     (BurdockBytes){ (const uint8_t *)value,
                                                     (uint32_t)strlen (value) },
                                     WALL_MS, &again) < 0 ||
      again.part != row.part || again.count != row.count)
    abort ();
  free (value);
}

static void
parse_prompt (BurdockBytes text)
{
  BurdockPromptParts parts = { 0 };
  char *list = strndup ((const char *)text.data, text.length_bytes);

  burdock_exchange_parse_prompt (list, &parts);
  if (parts.count > BURDOCK_PROMPT_PARTS_MAX)
    abort ();
  free (list);
}

static void
decode_evacuation (BurdockBytes text)
{
  char *key = strndup ((const char *)text.data, text.length_bytes);
  char failure_domain[BURDOCK_NAME_BYTES];

  if (burdock_platform_decode_evacuation_key (key, failure_domain) == 0 &&
      (failure_domain[0] == '\0' ||
       memchr (failure_domain, '\0', sizeof failure_domain) == NULL))
    abort ();
  burdock_platform_is_evacuation (text);
  free (key);
}

static void (*const decoders[]) (BurdockBytes text) = { decode_routes, decode_upstream,
                                                        decode_quarantine, parse_prompt,
                                                        decode_evacuation };

static GLogWriterOutput
discard_log (GLogLevelFlags level, const GLogField *fields, gsize count, gpointer ctx)
{
  return G_LOG_WRITER_HANDLED;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size_bytes)
{
  static bool initialised;

  if (!initialised) {
    apr_initialize ();
    g_log_set_writer_func (discard_log, NULL, NULL);
    initialised = true;
  }
  if (size_bytes == 0)
    return 0;
  decoders[data[0] % G_N_ELEMENTS (decoders)](
      (BurdockBytes){ data + 1, (uint32_t)size_bytes - 1 });
  return 0;
}
