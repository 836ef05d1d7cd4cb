#include "trace.h"

#include <stdlib.h>

/**
 * struct Totals - sums over the intervals of a replay
 * @initial: map that the replay starts with
 * @skew_sum: skew on the map that was in use in each interval
 * @initial_skew_sum: skew that each interval would have had on @initial
 * @switches: number of plans that were worth a switch
 * @moves: copies of experts that these plans load
 */
typedef struct {
  BurdockExpertMap initial;
  double skew_sum;
  double initial_skew_sum;
  uint32_t switches;
  uint64_t moves;
} Totals;

/* Measures the skew of an interval on the map that was planned before it, and only then
 * plans the map for the next one. */
static void
run_interval (const Cli *cli, Trace *trace, Totals *totals)
{
  BurdockPlanResult result = { .moves = 0 };
  BurdockExpertMap plan;
  double skew = trace_skew (trace, &trace->map);

  totals->skew_sum += skew;
  totals->initial_skew_sum += trace_skew (trace, &totals->initial);
  if (!trace_plan (trace, &plan, &result)) {
    burdock_expert_map_clear (&plan);
    return;
  }
  burdock_expert_map_clear (&trace->map);
  trace->map = plan;
  totals->switches++;
  totals->moves += result.moves;
  if (!cli->json)
    printf ("interval %u: skew %.3f; switch with %llu moves\n", trace->interval, skew,
            (unsigned long long)result.moves);
}

static void
print_totals (const Cli *cli, const Trace *trace, const Totals *totals)
{
  uint32_t count = trace->interval > 0 ? trace->interval : 1;
  uint64_t bytes = totals->moves * trace->group->expert_bytes;

  if (cli->json)
    printf ("{\"intervals\":%u,\"mean_skew\":%.6f,\"mean_skew_initial_map\":%.6f,"
            "\"switches\":%u,\"moves\":%llu,\"moved_bytes\":%llu}\n",
            trace->interval, totals->skew_sum / count, totals->initial_skew_sum / count,
            totals->switches, (unsigned long long)totals->moves,
            (unsigned long long)bytes);
  else
    printf ("%u intervals: mean skew %.3f (%.3f on the initial map), %u switches, %llu "
            "moves, %llu bytes\n",
            trace->interval, totals->skew_sum / count, totals->initial_skew_sum / count,
            totals->switches, (unsigned long long)totals->moves,
            (unsigned long long)bytes);
}

int
cli_replay (Cli *cli, int argc, char **argv)
{
  Totals totals = { .skew_sum = 0 };
  Trace trace;
  int more = 0;
  int status;

  if (cli_check_arguments (argv[0], argc, 3, 3, "FILE GROUP TRACE") < 0)
    return CLI_USAGE;
  status = trace_open (&trace, argv);
  if (status == CLI_OK) {
    burdock_expert_map_copy (&totals.initial, &trace.map);
    for (more = trace_next (&trace); more > 0; more = trace_next (&trace))
      run_interval (cli, &trace, &totals);
    if (more == 0)
      print_totals (cli, &trace, &totals);
    burdock_expert_map_clear (&totals.initial);
  }
  trace_close (&trace);
  return more < 0 ? CLI_USAGE : status;
}
