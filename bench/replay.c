/**
 * DOC: replay.c - replays traces in the simulation and checks the outcomes they expect
 *
 * The line format is described in docs/traces.md. The invariants of the randomised run
 * (soak-checks.c) are checked throughout. Exits with 0 if all traces hold, 1 if an
 * expectation fails and 2 if a trace is invalid.
 */
#include "soak-faults.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define WORDS_MAX 8
#define LINE_BYTES 256
#define EXPECTATIONS_MAX 64

/* Clients stop this long before the end, so that the outcomes of pending calls are
 * counted. */
#define CLIENTS_STOP_US (5 * SIM_US_PER_S)
#define DEFAULT_INTERARRIVAL_US (25 * SIM_US_PER_MS)

/** struct TraceLine - words of a line of the trace file */
typedef struct {
  uint32_t count;
  char words[WORDS_MAX][BURDOCK_NAME_BYTES];
  uint32_t line_number;
} TraceLine;

/**
 * struct Trace - contents of a trace file
 * @mean_interarrival_us: mean time between two calls of clients
 * @resend_per_cent: share of non-idempotent calls that are sent again
 * @start_us: virtual time to which the times of events are relative
 */
typedef struct {
  const char *file;
  uint64_t seed;
  uint64_t mean_interarrival_us;
  uint32_t resend_per_cent;
  uint64_t duration_us;
  uint64_t start_us;
  uint32_t event_count;
  uint32_t event_allocated;
  TraceLine *events;
  uint32_t expectation_count;
  TraceLine expectations[EXPECTATIONS_MAX];
} Trace;

typedef int (*ActionFunction) (Soak *soak, const TraceLine *event);

typedef struct {
  const char *name;
  uint32_t word_count; /* with "at", the time and the name */
  ActionFunction action;
} ActionKind;

typedef int (*MeasureFunction) (const Trace *trace, Soak *soak, const TraceLine *words,
                                double *out);

typedef struct {
  const char *name;
  uint32_t argument_count; /* between the name and the relation */
  MeasureFunction measure;
} MeasureKind;

static uint64_t
parse_number (const char *word)
{
  return strtoull (word, NULL, 10);
}

static SimNode *
find_node (const Soak *soak, const char *name)
{
  for (uint32_t i = 0; i < soak->sim->node_count; i++) {
    if (strcmp (soak->sim->nodes[i]->settings.name, name) == 0)
      return soak->sim->nodes[i];
  }
  return NULL;
}

static SimGroup *
find_group (const Soak *soak, const char *name)
{
  for (uint32_t i = 0; i < SOAK_GROUPS; i++) {
    if (strcmp (soak->groups[i]->name, name) == 0)
      return soak->groups[i];
  }
  return NULL;
}

/* Actions: words[0] is "at", words[1] the time in ms, words[2] the name. */

static int
apply_to_node (Soak *soak, const TraceLine *event,
               void (*action) (Soak *soak, SimNode *node))
{
  SimNode *node = find_node (soak, event->words[3]);

  if (node == NULL)
    return -ENOENT;
  action (soak, node);
  return 0;
}

static int
do_kill (Soak *soak, const TraceLine *event)
{
  return apply_to_node (soak, event, soak_kill);
}

static int
do_start (Soak *soak, const TraceLine *event)
{
  return apply_to_node (soak, event, soak_restart);
}

static int
do_leave (Soak *soak, const TraceLine *event)
{
  return apply_to_node (soak, event, soak_leave);
}

static int
do_list_leaving (Soak *soak, const TraceLine *event)
{
  return apply_to_node (soak, event, soak_list_leaving);
}

static int
do_pause (Soak *soak, const TraceLine *event)
{
  SimNode *node = find_node (soak, event->words[3]);

  if (node == NULL)
    return -ENOENT;
  sim_pause (node, parse_number (event->words[4]) * SIM_US_PER_MS);
  return 0;
}

static int
do_apply (Soak *soak, const TraceLine *event)
{
  soak_apply (soak);
  return 0;
}

static int
do_popularity (Soak *soak, const TraceLine *event)
{
  SimGroup *group = find_group (soak, event->words[3]);

  if (group == NULL)
    return -ENOENT;
  group->hot_expert = (uint32_t)parse_number (event->words[4]);
  return 0;
}

static int
find_engine (Soak *soak, const TraceLine *event, SimEngine **out)
{
  SimNode *node = find_node (soak, event->words[3]);

  if (node == NULL || node->engine == NULL)
    return -ENOENT;
  *out = node->engine;
  return 0;
}

static int
do_straggle (Soak *soak, const TraceLine *event)
{
  SimEngine *engine = NULL;
  int status = find_engine (soak, event, &engine);

  if (status == 0)
    engine->straggle_us = parse_number (event->words[4]) * SIM_US_PER_MS;
  return status;
}

static int
do_stall (Soak *soak, const TraceLine *event)
{
  SimEngine *engine = NULL;
  int status = find_engine (soak, event, &engine);

  if (status == 0)
    engine->stalled_until_us =
        soak->sim->now_us + parse_number (event->words[4]) * SIM_US_PER_MS;
  return status;
}

static int
do_restart_engine (Soak *soak, const TraceLine *event)
{
  SimEngine *engine = NULL;
  int status = find_engine (soak, event, &engine);

  if (status == 0)
    sim_engine_restart (engine, parse_number (event->words[4]) * SIM_US_PER_MS);
  return status;
}

static int
do_store (Soak *soak, const TraceLine *event)
{
  SimStoreFaults *faults = &soak->sim->store->faults;
  const char *fault = event->words[3];

  *faults = (SimStoreFaults){ 0 };
  soak->last_disturbance_us = soak->sim->now_us;
  soak->active_store_faults = strcmp (fault, "up") != 0;
  if (strcmp (fault, "down") == 0)
    faults->down = true;
  else if (strcmp (fault, "lose-answers") == 0)
    faults->lose_response_per_mille = 1000;
  else if (strcmp (fault, "late-writes") == 0)
    faults->late_write_per_mille = 1000;
  else if (strcmp (fault, "up") != 0)
    return -EINVAL;
  return 0;
}

static int
do_loss (Soak *soak, const TraceLine *event)
{
  soak->sim->network.loss_per_mille = (uint32_t)parse_number (event->words[3]);
  soak->active_message_losses = soak->sim->network.loss_per_mille > 0;
  soak->last_disturbance_us = soak->sim->now_us;
  return 0;
}

static int
set_partition (Soak *soak, const TraceLine *event, bool partitioned)
{
  uint64_t a = parse_number (event->words[3] + strcspn (event->words[3], "0123456789"));
  uint64_t b = parse_number (event->words[4] + strcspn (event->words[4], "0123456789"));

  if (a >= SOAK_DOMAINS || b >= SOAK_DOMAINS)
    return -ENOENT;
  soak->sim->domain_partitioned[a][b] = soak->sim->domain_partitioned[b][a] = partitioned;
  soak->active_partitions = partitioned;
  soak->last_disturbance_us = soak->sim->now_us;
  return 0;
}

static int
do_cut (Soak *soak, const TraceLine *event)
{
  return set_partition (soak, event, true);
}

static int
do_join (Soak *soak, const TraceLine *event)
{
  return set_partition (soak, event, false);
}

static const ActionKind actions[] = {
  { "apply", 3, do_apply },
  { "cut", 5, do_cut },
  { "join", 5, do_join },
  { "kill", 4, do_kill },
  { "leave", 4, do_leave },
  { "list-leaving", 4, do_list_leaving },
  { "loss", 4, do_loss },
  { "pause", 5, do_pause },
  { "popularity", 5, do_popularity },
  { "restart-engine", 5, do_restart_engine },
  { "stall-engine", 5, do_stall },
  { "start", 4, do_start },
  { "store", 4, do_store },
  { "straggle", 5, do_straggle },
};

/* Measures: words[0] is "expect", words[1] the name, then arguments, relation and bound.
 */

static int
measure_violations (const Trace *trace, Soak *soak, const TraceLine *words, double *out)
{
  *out = (double)soak->violation_count;
  return 0;
}

static int
measure_answered (const Trace *trace, Soak *soak, const TraceLine *words, double *out)
{
  const SimClientCounts *counts = sim_clients_counts (soak->clients);

  *out = 100.0 * (double)counts->answered / (double)counts->requests;
  return 0;
}

static int
measure_outcomes (const Trace *trace, Soak *soak, const TraceLine *words, double *out)
{
  const SimClientCounts *counts = sim_clients_counts (soak->clients);

  if (strcmp (words->words[1], "unknown") == 0)
    *out = (double)counts->unknown;
  else
    *out = (double)counts->refused_not_run;
  return 0;
}

static int
measure_generation (const Trace *trace, Soak *soak, const TraceLine *words, double *out)
{
  double lowest = 1e18;

  for (uint32_t i = 0; i < soak->sim->node_count; i++) {
    const SimNode *node = soak->sim->nodes[i];

    if (node->alive && (double)node->generation < lowest)
      lowest = (double)node->generation;
  }
  *out = lowest;
  return 0;
}

static int
measure_steps (const Trace *trace, Soak *soak, const TraceLine *words, double *out)
{
  const SimGroup *group = find_group (soak, words->words[2]);

  if (group == NULL)
    return -ENOENT;
  *out = strcmp (words->words[1], "steps") == 0 ? (double)group->step
                                                : (double)group->switches;
  return 0;
}

static int
measure_copies (const Trace *trace, Soak *soak, const TraceLine *words, double *out)
{
  const SimGroup *group = find_group (soak, words->words[2]);

  if (group == NULL)
    return -ENOENT;
  *out = sim_group_copies (group, (uint32_t)parse_number (words->words[3]));
  return 0;
}

static int
measure_last_run (const Trace *trace, Soak *soak, const TraceLine *words, double *out)
{
  const SimNode *node = find_node (soak, words->words[2]);

  if (node == NULL)
    return -ENOENT;
  *out = node->last_execution_us > trace->start_us
             ? (double)(node->last_execution_us - trace->start_us) / (double)SIM_US_PER_MS
             : 0;
  return 0;
}

static int
measure_drained (const Trace *trace, Soak *soak, const TraceLine *words, double *out)
{
  const SimNode *node = find_node (soak, words->words[2]);

  if (node == NULL)
    return -ENOENT;
  *out = (double)node->drain_count;
  return 0;
}

static const MeasureKind measures[] = {
  { "answered_per_cent", 0, measure_answered },
  { "copies", 2, measure_copies },
  { "drained", 1, measure_drained },
  { "generation", 0, measure_generation },
  { "last_run_ms", 1, measure_last_run },
  { "not_run", 0, measure_outcomes },
  { "steps", 1, measure_steps },
  { "switches", 1, measure_steps },
  { "unknown", 0, measure_outcomes },
  { "violations", 0, measure_violations },
};

/* Parsing */

static int
report_invalid_line (const Trace *trace, uint32_t line, const char *text,
                     const char *allowed)
{
  fprintf (stderr, "burdock-replay: %s:%u: \"%s\": allowed: %s\n", trace->file, line,
           text, allowed);
  return -EINVAL;
}

static void
split (char *text, TraceLine *out)
{
  char *save = NULL;

  text[strcspn (text, "#\n")] = '\0';
  for (char *word = strtok_r (text, " \t", &save); word != NULL && out->count < WORDS_MAX;
       word = strtok_r (NULL, " \t", &save))
    snprintf (out->words[out->count++], BURDOCK_NAME_BYTES, "%s", word);
}

static const ActionKind *
find_action (const TraceLine *words)
{
  for (uint32_t i = 0; i < sizeof actions / sizeof actions[0]; i++) {
    if (words->count == actions[i].word_count &&
        strcmp (words->words[2], actions[i].name) == 0)
      return &actions[i];
  }
  return NULL;
}

static const MeasureKind *
find_measure (const TraceLine *words)
{
  for (uint32_t i = 0; i < sizeof measures / sizeof measures[0]; i++) {
    if (words->count == measures[i].argument_count + 4 &&
        strcmp (words->words[1], measures[i].name) == 0)
      return &measures[i];
  }
  return NULL;
}

static int
read_event (Trace *trace, const TraceLine *words)
{
  if (find_action (words) == NULL)
    return report_invalid_line (trace, words->line_number, words->words[2],
                                "an action of docs/traces.md");
  if (trace->event_count == trace->event_allocated) {
    trace->event_allocated = 2 * trace->event_allocated + 16;
    trace->events = realloc (trace->events, trace->event_allocated * sizeof *words);
    if (trace->events == NULL)
      return -ENOMEM;
  }
  trace->events[trace->event_count++] = *words;
  return 0;
}

static int
read_expectation (Trace *trace, const TraceLine *words)
{
  if (find_measure (words) == NULL || trace->expectation_count == EXPECTATIONS_MAX)
    return report_invalid_line (trace, words->line_number, words->words[1],
                                "a measure of docs/traces.md");
  trace->expectations[trace->expectation_count++] = *words;
  return 0;
}

static int
read_line (Trace *trace, const TraceLine *words)
{
  const char *first = words->words[0];

  if (words->count == 0)
    return 0;
  if (strcmp (first, "at") == 0 && words->count >= 3)
    return read_event (trace, words);
  if (strcmp (first, "expect") == 0 && words->count >= 4)
    return read_expectation (trace, words);
  if (words->count != 2)
    return report_invalid_line (trace, words->line_number, first,
                                "at, expect, seed N, rate N, repeat N, run MS");
  if (strcmp (first, "seed") == 0)
    trace->seed = parse_number (words->words[1]);
  else if (strcmp (first, "rate") == 0 && parse_number (words->words[1]) > 0)
    trace->mean_interarrival_us = SIM_US_PER_S / parse_number (words->words[1]);
  else if (strcmp (first, "repeat") == 0)
    trace->resend_per_cent = (uint32_t)parse_number (words->words[1]);
  else if (strcmp (first, "run") == 0)
    trace->duration_us = parse_number (words->words[1]) * SIM_US_PER_MS;
  else
    return report_invalid_line (trace, words->line_number, first,
                                "at, expect, seed N, rate N, repeat N, run MS");
  return 0;
}

static int
read_trace (Trace *trace)
{
  FILE *in = fopen (trace->file, "r");
  char text[LINE_BYTES];
  uint32_t line = 0;
  int status = 0;

  if (in == NULL)
    return report_invalid_line (trace, 0, trace->file, "a readable file");
  while (status == 0 && fgets (text, sizeof text, in) != NULL) {
    TraceLine words = { .line_number = ++line };

    split (text, &words);
    status = read_line (trace, &words);
  }
  fclose (in);
  if (status == 0 &&
      (trace->duration_us <= CLIENTS_STOP_US || trace->expectation_count == 0))
    status = report_invalid_line (trace, line, "end",
                                  "a run of more than 5000 ms and an expect line");
  return status;
}

/* Replay */

static int
run_events (Trace *trace, Soak *soak)
{
  for (uint32_t i = 0; i < trace->event_count; i++) {
    const TraceLine *event = &trace->events[i];
    int status;

    sim_run_until (soak->sim,
                   trace->start_us + parse_number (event->words[1]) * SIM_US_PER_MS);
    soak->last_fault = event->words[2];
    status = find_action (event)->action (soak, event);
    if (status < 0)
      return report_invalid_line (trace, event->line_number, event->words[3],
                                  "a process, group, failure domain or store fault");
  }
  sim_run_until (soak->sim, trace->start_us + trace->duration_us);
  return 0;
}

static bool
satisfies (double value, const char *relation, double bound)
{
  if (strcmp (relation, "<=") == 0)
    return value <= bound;
  if (strcmp (relation, ">=") == 0)
    return value >= bound;
  return strcmp (relation, "=") == 0 && value == bound;
}

static uint32_t
check_expectations (const Trace *trace, Soak *soak)
{
  uint32_t failed = 0;

  for (uint32_t i = 0; i < trace->expectation_count; i++) {
    const TraceLine *words = &trace->expectations[i];
    const MeasureKind *kind = find_measure (words);
    const char *relation = words->words[2 + kind->argument_count];
    const char *bound = words->words[3 + kind->argument_count];
    double value = 0;
    bool ok = kind->measure (trace, soak, words, &value) == 0 &&
              satisfies (value, relation, strtod (bound, NULL));

    printf ("expect: %s:%u %s %s %s %.10g %s %s %s\n", trace->file, words->line_number,
            kind->name, kind->argument_count > 0 ? words->words[2] : "",
            kind->argument_count > 1 ? words->words[3] : "", value, relation, bound,
            ok ? "ok" : "FAILED");
    failed += !ok;
  }
  return failed;
}

static int
replay (const char *file, bool verbose)
{
  Trace trace = { .file = file,
                  .seed = 1,
                  .mean_interarrival_us = DEFAULT_INTERARRIVAL_US };
  Soak *soak = soak_state;
  int status = read_trace (&trace);
  uint32_t failed = 0;

  if (status == 0) {
    memset (soak, 0, sizeof *soak);
    soak_build (soak, trace.seed, trace.mean_interarrival_us, trace.resend_per_cent);
    soak->sim->verbose = verbose;
    soak->sim->network.loss_per_mille = 0;
    sim_run_until (soak->sim, soak->sim->now_us + SIM_US_PER_S);
    soak_apply (soak);
    sim_run_until (soak->sim, soak->sim->now_us + 5 * SIM_US_PER_S);
    trace.start_us = soak->sim->now_us;
    soak_start_checks (soak);
    sim_clients_start (soak->clients,
                       trace.start_us + trace.duration_us - CLIENTS_STOP_US);
    status = run_events (&trace, soak);
    failed = status == 0 ? check_expectations (&trace, soak) : 1;
    printf ("replay: trace=%s requests=%llu violations=%llu failed=%u\n", file,
            (unsigned long long)sim_clients_counts (soak->clients)->requests,
            (unsigned long long)soak->violation_count, failed);
    soak_clear (soak);
  }
  free (trace.events);
  return status < 0 ? 2 : failed > 0;
}

int
main (int argc, char **argv)
{
  bool verbose = argc > 1 && strcmp (argv[1], "--verbose") == 0;
  int status = 0;

  if (argc < 2 + verbose) {
    fprintf (stderr, "usage: burdock-replay [--verbose] TRACE...\n");
    return 2;
  }
  for (int i = 1 + verbose; i < argc; i++) {
    int file_status = replay (argv[i], verbose);

    status = file_status > status ? file_status : status;
  }
  return status;
}
