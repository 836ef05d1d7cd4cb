/**
 * DOC: explore-switch.c - explores map switches for schedules that leave two maps in use
 *
 * Runs exhaustive searches to a limited depth, random walks, and the scripts with a fault
 * at the worst moment. Prints one line for each and "explore: ok" or "explore: failed".
 */
#include "switch-scripts.h"
#include "switch-search.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define TABLE_BITS 25

typedef struct {
  uint32_t depth;
  uint32_t walks;
  uint64_t seed;
} Options;

/**
 * struct Scope - exhaustive search
 * @from_propose: start when the first coordinator has sent its proposals
 * @depth_offset: subtracted from the depth of the command line
 */
typedef struct {
  const char *name;
  uint32_t ranks;
  bool from_propose;
  ModelBudget budget;
  uint32_t depth_offset;
} Scope;

static const Scope scopes[] = {
  { "switch of 2 ranks",
    2,
    false,
    { .agent_restarts = 1,
      .engine_restarts = 1,
      .duplicates = 1,
      .expiries = 1,
      .resends = 1,
      .recoveries = 1 },
    0 },
  { "proposal to 2 ranks, crashes and late calls",
    2,
    true,
    { .agent_restarts = 2,
      .engine_restarts = 1,
      .duplicates = 1,
      .timeouts = 1,
      .expiries = 2,
      .resends = 1,
      .recoveries = 2 },
    0 },
  { "proposal to 2 ranks, second coordinator",
    2,
    true,
    { .agent_restarts = 1,
      .duplicates = 1,
      .expiries = 1,
      .recoveries = 1,
      .coordinators = 1 },
    0 },
  { "proposal to 3 ranks",
    3,
    true,
    { .agent_restarts = 1,
      .engine_restarts = 1,
      .duplicates = 1,
      .expiries = 1,
      .recoveries = 2 },
    2 },
};

static const ModelBudget walk_budget = { .agent_restarts = 3,
                                         .engine_restarts = 2,
                                         .duplicates = 6,
                                         .timeouts = 3,
                                         .expiries = 4,
                                         .resends = 6,
                                         .recoveries = 4,
                                         .coordinators = 1 };

static double
monotonic_seconds (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static Model *
prepare_model (uint32_t ranks, bool from_propose, const ModelBudget *budget)
{
  Model *model = calloc (1, sizeof *model);
  ModelBudget none = { 0 };

  model_init (model, ranks, from_propose ? &none : budget);
  if (from_propose)
    model_run_until_propose (model);
  model->budget = *budget;
  return model;
}

static bool
report (const char *name, SearchResult *result, double start_s)
{
  bool ok = !result->violated && !result->stuck;

  printf ("explore: %s: states=%llu transitions=%llu violations=%d stuck=%d%s "
          "seconds=%.1f\n",
          name, (unsigned long long)result->states,
          (unsigned long long)result->transitions, result->violated, result->stuck,
          result->truncated ? " table-full" : "", monotonic_seconds () - start_s);
  if (!ok)
    printf ("%s", result->trace);
  fflush (stdout);
  free (result->trace);
  return ok;
}

static bool
explore_all (const Options *options)
{
  bool ok = true;

  for (size_t i = 0; i < sizeof scopes / sizeof scopes[0]; i++) {
    const Scope *scope = &scopes[i];
    uint32_t depth = options->depth - scope->depth_offset;
    Model *start = prepare_model (scope->ranks, scope->from_propose, &scope->budget);
    double start_s = monotonic_seconds ();
    SearchResult result = search_exhaustive (start, depth, TABLE_BITS);
    char name[96];

    snprintf (name, sizeof name, "%s, depth %u", scope->name, depth);
    ok &= report (name, &result, start_s);
    free (start);
  }
  return ok;
}

static bool
walk_all (const Options *options)
{
  bool ok = true;

  for (uint32_t ranks = 2; ranks <= 3; ranks++) {
    Model *start = prepare_model (ranks, false, &walk_budget);
    double start_s = monotonic_seconds ();
    SearchResult result = search_random (start, options->walks, 200, options->seed);
    char name[96];

    snprintf (name, sizeof name, "random courses of %u ranks, seed %llu", ranks,
              (unsigned long long)options->seed);
    ok &= report (name, &result, start_s);
    free (start);
  }
  return ok;
}

/* Each script must keep one map with all rules, and must lead to two maps in one step
 * when its rule is disabled. */
static bool
run_scripts (void)
{
  bool ok = true;

  for (uint32_t i = 0; i < switch_script_count; i++) {
    const SwitchScript *script = &switch_scripts[i];
    bool has_rule = script->rule != SCRIPT_NO_RULE;
    bool detected = false;
    bool violated;
    bool finished;

    script_run (script, false, &violated, &finished);
    if (has_rule)
      script_run (script, true, &detected, &(bool){ false });
    printf ("explore: %s: violations=%d finished=%d%s\n", script->name, violated,
            finished,
            !has_rule  ? ""
            : detected ? ", noticed without its rule"
                       : ", NOT NOTICED without its rule");
    ok &= !violated && finished && (!has_rule || detected);
  }
  return ok;
}

static error_t
parse_option (int key, char *text, struct argp_state *state)
{
  Options *options = state->input;

  switch (key) {
  case 'd':
    options->depth = (uint32_t)strtoul (text, NULL, 10);
    return 0;
  case 'w':
    options->walks = (uint32_t)strtoul (text, NULL, 10);
    return 0;
  case 's':
    options->seed = strtoull (text, NULL, 10);
    return 0;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

int
main (int argc, char **argv)
{
  static const struct argp_option list[] = {
    { "depth", 'd', "N", 0, "actions in each schedule of the exhaustive searches", 0 },
    { "walks", 'w', "N", 0, "number of random walks", 0 },
    { "seed", 's', "N", 0, "seed of the random walks", 0 },
    { 0 },
  };
  static const struct argp argp = { .options = list, .parser = parse_option };
  Options options = { .depth = 10, .walks = 1000000, .seed = 1 };
  bool ok;

  if (argp_parse (&argp, argc, argv, 0, NULL, &options) != 0)
    return 2;
  ok = explore_all (&options);
  ok &= walk_all (&options);
  ok &= run_scripts ();
  printf ("explore: %s\n", ok ? "ok" : "failed");
  return ok ? 0 : 1;
}
