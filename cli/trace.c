#include "trace.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

static int
open_group (Trace *trace, const char *file, const char *name)
{
  char *text;
  int status = cli_read_config (file, &text, &trace->config);

  if (status != CLI_OK)
    return status;
  free (text);
  trace->group = burdock_config_group (trace->config, name);
  if (trace->group != NULL)
    return CLI_OK;
  cli_error ("%s: group \"%s\" does not exist", file, name);
  return CLI_USAGE;
}

int
trace_open (Trace *trace, char **argv)
{
  const BurdockGroupConfig *group;
  int status;

  memset (trace, 0, sizeof *trace);
  status = open_group (trace, argv[1], argv[2]);
  if (status != CLI_OK)
    return status;
  group = trace->group;
  trace->path = argv[3];
  trace->file = fopen (argv[3], "r");
  if (trace->file == NULL) {
    cli_error ("%s: %s", argv[3], strerror (errno));
    return CLI_USAGE;
  }
  trace->tokens = calloc ((size_t)group->layers * group->experts, sizeof (double));
  trace->popularity = burdock_popularity_new (group->layers, group->experts);
  if (burdock_expert_map_init (&trace->map, group->layers, group->ranks,
                               group->slots_per_rank) < 0)
    return CLI_USAGE;
  burdock_expert_map_spread (&trace->map, group->experts);
  return CLI_OK;
}

void
trace_close (Trace *trace)
{
  if (trace->file != NULL)
    fclose (trace->file);
  if (trace->popularity != NULL)
    burdock_popularity_free (trace->popularity);
  burdock_expert_map_clear (&trace->map);
  free (trace->tokens);
  burdock_config_unref (trace->config);
}

static bool
read_layer (const json_t *layer, uint32_t experts, double *out)
{
  if (json_array_size (layer) != experts)
    return false;
  for (uint32_t i = 0; i < experts; i++) {
    const json_t *tokens = json_array_get (layer, i);

    if (!json_is_number (tokens) || json_number_value (tokens) < 0)
      return false;
    out[i] = json_number_value (tokens);
  }
  return true;
}

static bool
read_layers (const Trace *trace, const json_t *layers)
{
  const BurdockGroupConfig *group = trace->group;

  if (json_array_size (layers) != group->layers)
    return false;
  for (uint32_t i = 0; i < group->layers; i++) {
    if (!read_layer (json_array_get (layers, i), group->experts,
                     trace->tokens + (size_t)i * group->experts))
      return false;
  }
  return true;
}

int
trace_next (Trace *trace)
{
  char *line = NULL;
  size_t size_bytes = 0;
  ssize_t length_bytes = getline (&line, &size_bytes, trace->file);
  json_t *root = NULL;
  bool valid;

  if (length_bytes < 0) {
    free (line);
    return 0;
  }
  trace->interval++;
  root = json_loadb (line, (size_t)length_bytes, 0, NULL);
  valid = read_layers (trace, json_object_get (root, "tokens"));
  json_decref (root);
  free (line);
  if (!valid) {
    cli_error (
        "%s:%u: allowed: {\"tokens\":[...]} with %u lists of %u numbers of at least 0",
        trace->path, trace->interval, trace->group->layers, trace->group->experts);
    return -EINVAL;
  }
  burdock_popularity_add (trace->popularity, trace->tokens);
  return 1;
}

bool
trace_plan (const Trace *trace, BurdockExpertMap *out, BurdockPlanResult *result)
{
  BurdockPlanInput input = { .current = &trace->map,
                             .experts = trace->group->experts,
                             .rates = burdock_popularity_rates (trace->popularity),
                             .skew_weight = trace->group->skew_weight,
                             .cost_weight = trace->group->cost_weight };

  return burdock_plan (&input, out, result);
}

double
trace_skew (const Trace *trace, const BurdockExpertMap *map)
{
  uint32_t layers = trace->group->layers;
  uint32_t experts = trace->group->experts;
  double *rates = calloc ((size_t)layers * experts, sizeof *rates);
  double skew;

  for (uint32_t i = 0; i < layers; i++) {
    const double *tokens = trace->tokens + (size_t)i * experts;
    double sum = 0;

    for (uint32_t j = 0; j < experts; j++)
      sum += tokens[j];
    for (uint32_t j = 0; j < experts; j++)
      rates[(size_t)i * experts + j] = sum > 0 ? tokens[j] / sum : 1.0 / experts;
  }
  skew = burdock_plan_skew (map, experts, rates, NULL);
  free (rates);
  return skew;
}
