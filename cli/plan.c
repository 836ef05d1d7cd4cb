#include "trace.h"

#include <stdlib.h>

static void
add_changes (const Trace *trace, const BurdockExpertMap *plan, json_t *changes)
{
  for (uint32_t layer = 0; layer < plan->layers; layer++) {
    for (uint32_t rank = 0; rank < plan->ranks; rank++) {
      const uint16_t *before = burdock_expert_map_rank_slots (&trace->map, layer, rank);
      const uint16_t *after = burdock_expert_map_rank_slots (plan, layer, rank);

      for (uint32_t slot = 0; slot < plan->slots; slot++) {
        if (before[slot] != after[slot])
          json_array_append_new (changes,
                                 json_pack ("{s:i, s:i, s:i, s:i, s:i}", "layer",
                                            (int)layer, "rank", (int)rank, "slot",
                                            (int)slot, "before", (int)before[slot],
                                            "after", (int)after[slot]));
      }
    }
  }
}

static void
print_plan (const Cli *cli, const Trace *trace, bool worthwhile,
            const BurdockPlanResult *result, json_t *changes)
{
  uint64_t bytes = result->moves * trace->group->expert_bytes;
  const json_t *change;
  size_t i;

  if (cli->json) {
    json_t *root =
        json_pack ("{s:b, s:f, s:f, s:I, s:I, s:O}", "worth_a_switch", (int)worthwhile,
                   "skew_before", result->skew_before, "skew_after", result->skew_after,
                   "moves", (json_int_t)result->moves, "moved_bytes", (json_int_t)bytes,
                   "changes", changes);

    cli_print_json (root);
    json_decref (root);
    return;
  }
  printf ("after %u intervals: skew %.3f to %.3f mean step times, %llu moves, %llu "
          "bytes: %s\n",
          trace->interval, result->skew_before, result->skew_after,
          (unsigned long long)result->moves, (unsigned long long)bytes,
          worthwhile ? "worth a switch" : "not worth a switch");
  json_array_foreach (changes, i, change)
      printf ("  layer %lld rank %lld slot %lld: expert %lld to %lld\n",
              (long long)cli_json_integer (change, "layer"),
              (long long)cli_json_integer (change, "rank"),
              (long long)cli_json_integer (change, "slot"),
              (long long)cli_json_integer (change, "before"),
              (long long)cli_json_integer (change, "after"));
}

/* Reads the whole trace, then plans once from the initial map. */
int
cli_plan (Cli *cli, int argc, char **argv)
{
  BurdockPlanResult result = { .moves = 0 };
  BurdockExpertMap plan;
  Trace trace;
  json_t *changes;
  int more = 1;
  int status;

  if (cli_check_arguments (argv[0], argc, 3, 3, "FILE GROUP TRACE") < 0)
    return CLI_USAGE;
  status = trace_open (&trace, argv);
  while (status == CLI_OK && more > 0)
    more = trace_next (&trace);
  if (status == CLI_OK && more == 0) {
    bool worthwhile = trace_plan (&trace, &plan, &result);

    changes = json_array ();
    add_changes (&trace, &plan, changes);
    print_plan (cli, &trace, worthwhile, &result, changes);
    json_decref (changes);
    burdock_expert_map_clear (&plan);
  }
  trace_close (&trace);
  return more < 0 ? CLI_USAGE : status;
}
