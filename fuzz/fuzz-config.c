/**
 * DOC: fuzz-config.c - parses arbitrary bytes as a configuration file
 *
 * The parser must either fail with an error code and a detail text, or return a
 * configuration in which every workspace is found and which can be compared with itself.
 */
#include "config.h"

#include <stdlib.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size_bytes);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size_bytes)
{
  BurdockBytes text = { data, (uint32_t)size_bytes };
  BurdockConfig *config = NULL;
  BurdockError error = { 0 };
  const BurdockEffectiveSettings *workspaces;
  uint32_t count = 0;

  if (burdock_config_parse ("fuzz", text, &config, &error) < 0) {
    if (config != NULL || error.code >= 0 || error.detail[0] == '\0')
      abort ();
    return 0;
  }
  workspaces = burdock_config_workspaces (config, &count);
  for (uint32_t i = 0; i < count; i++) {
    if (burdock_config_effective (config, workspaces[i].workspace, "") == NULL)
      abort ();
  }
  free (burdock_config_diff_json (config, config));
  burdock_config_unref (config);
  return 0;
}
