#include "counters.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

typedef struct {
  const char *name;
  const char *help;
} CounterInfo;

static const CounterInfo infos[BURDOCK_COUNTER_COUNT] = {
#define X(id, name_, help_) { .name = (name_), .help = (help_) },
  BURDOCK_COUNTERS (X)
#undef X
};

char *
burdock_counters_text (const BurdockCounters *counters, const char *part)
{
  char *text = NULL;
  size_t size_bytes = 0;
  FILE *out = open_memstream (&text, &size_bytes);

  if (out == NULL)
    return NULL;
  for (uint32_t i = 0; i < BURDOCK_COUNTER_COUNT; i++)
    fprintf (out, "# HELP burdock_%s %s\nburdock_%s{part=\"%s\"} %" PRIu64 "\n",
             infos[i].name, infos[i].help, infos[i].name, part, counters->values[i]);
  fclose (out);
  return text;
}
