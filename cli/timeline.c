#include "cli.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define HLC_COUNTER_BITS 16
#define MS_PER_S 1000
#define KIND_BYTES 128

/** struct Filter - events to show; NULL and 0 mean no restriction */
typedef struct {
  const char *key;
  const char *group;
  const char *workspace;
  const char *instance;
  const char *kind;
  uint32_t last_count;
} Filter;

/**
 * struct MergedEvent - event with the instance that recorded it
 * @hlc: hybrid logical time
 * @sequence: number of the event in its event log
 * @event: borrowed from the reports, like @instance
 */
typedef struct {
  json_int_t hlc;
  json_int_t sequence;
  const char *instance;
  const json_t *event;
} MergedEvent;

typedef struct {
  const Cli *cli;
  Filter filter;
  json_t *reports;     /* answers of the members, which own all text */
  json_t *unreachable; /* names of members that did not answer */
  json_t *overrun;     /* instances whose event log has overwritten its oldest events */
  size_t merged_count;
  MergedEvent *merged;
} Timeline;

static const struct argp_option options[] = {
  { "key", 'k', "KEY", 0, "only events of this request key", 0 },
  { "group", 'g', "GROUP", 0, "only events of this rank group", 0 },
  { "workspace", 'w', "WORKSPACE", 0, "only events of this workspace", 0 },
  { "instance", 'i', "INSTANCE", 0, "only events recorded by or about an instance", 0 },
  { "kind", 'K', "KIND", 0, "only events of this kind, for example lease", 0 },
  { "last", 'n', "COUNT", 0, "only the last COUNT events", 0 },
  { NULL, 0, NULL, 0, NULL, 0 },
};

static error_t
parse_option (int key, char *argument, struct argp_state *state)
{
  Filter *filter = state->input;
  char *end;

  switch (key) {
  case 'k':
    filter->key = argument;
    return 0;
  case 'g':
    filter->group = argument;
    return 0;
  case 'w':
    filter->workspace = argument;
    return 0;
  case 'i':
    filter->instance = argument;
    return 0;
  case 'K':
    filter->kind = argument;
    return 0;
  case 'n':
    filter->last_count = (uint32_t)strtoul (argument, &end, 10);
    if (*end != '\0' || filter->last_count == 0)
      argp_error (state, "count \"%s\": allowed: a number above 0", argument);
    return 0;
  case ARGP_KEY_ARG:
    argp_usage (state);
    return EINVAL;
  default:
    return ARGP_ERR_UNKNOWN;
  }
}

/* The subject of an event is a request key, group, workspace, lease or instance. The
 * lease of a group is named "group/" and the name of the group. */
static bool
matches_filter (const Filter *filter, const char *instance, const json_t *event)
{
  const char *subject = cli_json_string (event, "subject");
  const char *lease_prefix = "group/";

  if (filter->kind != NULL && strcmp (filter->kind, cli_json_string (event, "kind")) != 0)
    return false;
  if (filter->key != NULL && strcmp (filter->key, subject) != 0)
    return false;
  if (filter->workspace != NULL && strcmp (filter->workspace, subject) != 0)
    return false;
  if (filter->instance != NULL && strcmp (filter->instance, instance) != 0 &&
      strcmp (filter->instance, subject) != 0 &&
      strcmp (filter->instance, cli_json_string (event, "peer")) != 0)
    return false;
  if (filter->group == NULL || strcmp (filter->group, subject) == 0)
    return true;
  return strncmp (subject, lease_prefix, strlen (lease_prefix)) == 0 &&
         strcmp (filter->group, subject + strlen (lease_prefix)) == 0;
}

/* Adds those events of one object that match the filter. */
static void
add_event_log (Timeline *timeline, const json_t *event_log)
{
  const char *instance = cli_json_string (event_log, "instance");
  const json_t *events = json_object_get (event_log, "events");
  json_int_t lost = cli_json_integer (event_log, "overrun");
  const json_t *event;
  size_t i;

  if (lost > 0)
    json_array_append_new (timeline->overrun,
                           json_pack ("{s:s, s:I}", "instance", instance, "lost", lost));
  timeline->merged =
      realloc (timeline->merged, (timeline->merged_count + json_array_size (events) + 1) *
                                     sizeof *timeline->merged);
  json_array_foreach (events, i, event)
  {
    if (matches_filter (&timeline->filter, instance, event))
      timeline->merged[timeline->merged_count++] =
          (MergedEvent){ .hlc = cli_json_integer (event, "hlc"),
                         .sequence = cli_json_integer (event, "sequence"),
                         .instance = instance,
                         .event = event };
  }
}

/* Fetches the timelines of all objects of the process at @address. Returns false if it
 * does not answer with a report. */
static bool
fetch_timelines (Timeline *timeline, const char *address)
{
  CliResponse response;
  CliCallOutcome outcome = cli_call (timeline->cli, address, "GET", "/v1/admin/timeline",
                                     (BurdockBytes){ NULL, 0 }, &response);
  json_t *report = NULL;
  const json_t *event_log;
  size_t i;

  if (outcome == CLI_CALL_OK && response.status == 200)
    report = json_loadb (response.body, response.body_bytes, 0, NULL);
  free (response.body);
  if (report == NULL)
    return false;
  json_array_append_new (timeline->reports, report);
  json_array_foreach (json_object_get (report, "timelines"), i, event_log)
      add_event_log (timeline, event_log);
  return true;
}

static void
fetch_member_timelines (Timeline *timeline, const json_t *member)
{
  const char *address = cli_json_string (member, "http");

  if (strcmp (cli_json_string (member, "state"), "removed") == 0)
    return;
  if (strcmp (address, "-") == 0 || !fetch_timelines (timeline, address))
    json_array_append_new (timeline->unreachable,
                           json_string (cli_json_string (member, "name")));
}

/* Hybrid logical time orders an event after all events that its process had learned of
 * before it. */
static int
compare_events (const void *a, const void *b)
{
  const MergedEvent *left = a;
  const MergedEvent *right = b;
  int order;

  if (left->hlc != right->hlc)
    return left->hlc < right->hlc ? -1 : 1;
  order = strcmp (left->instance, right->instance);
  if (order != 0)
    return order;
  return left->sequence < right->sequence ? -1 : left->sequence > right->sequence;
}

static CliColour
kind_colour (const char *kind)
{
  if (strcmp (kind, "fault") == 0)
    return CLI_BAD;
  return strcmp (kind, "refusal") == 0 ? CLI_WARN : CLI_PLAIN;
}

static void
print_event (const Cli *cli, const MergedEvent *merged)
{
  json_int_t ms = merged->hlc >> HLC_COUNTER_BITS;
  time_t seconds = (time_t)(ms / MS_PER_S);
  const char *kind = cli_json_string (merged->event, "kind");
  struct tm utc;
  char text[32];

  gmtime_r (&seconds, &utc);
  strftime (text, sizeof text, "%Y-%m-%dT%H:%M:%S", &utc);
  cli_print (cli, CLI_DIM, "%s.%03dZ ", text, (int)(ms % MS_PER_S));
  printf ("%-16s ", merged->instance);
  cli_print (cli, kind_colour (kind), "%-10s", kind);
  printf (" %s [%s] peer %s: %s\n", cli_json_string (merged->event, "step"),
          cli_json_string (merged->event, "subject"),
          cli_json_string (merged->event, "peer"),
          cli_json_string (merged->event, "detail"));
}

static void
print_missing (const Timeline *timeline)
{
  const json_t *item;
  size_t i;

  json_array_foreach (timeline->unreachable, i, item)
      cli_print (timeline->cli, CLI_BAD, "not reached: %s; its events are missing\n",
                 json_string_value (item));
  json_array_foreach (timeline->overrun, i, item)
      cli_print (timeline->cli, CLI_WARN, "overrun: %s has lost its %lld oldest events\n",
                 cli_json_string (item, "instance"),
                 (long long)cli_json_integer (item, "lost"));
}

static void
print_json (const Timeline *timeline, size_t first)
{
  json_t *events = json_array ();
  json_t *root;

  for (size_t i = first; i < timeline->merged_count; i++) {
    json_t *event = json_copy ((json_t *)timeline->merged[i].event);

    json_object_set_new (event, "instance", json_string (timeline->merged[i].instance));
    json_array_append_new (events, event);
  }
  root = json_pack ("{s:O, s:O, s:o}", "not_reached", timeline->unreachable, "overrun",
                    timeline->overrun, "events", events);
  cli_print_json (root);
  json_decref (root);
}

static void
print_timeline (const Timeline *timeline)
{
  size_t first = 0;

  if (timeline->filter.last_count > 0 &&
      timeline->merged_count > timeline->filter.last_count)
    first = timeline->merged_count - timeline->filter.last_count;
  if (timeline->cli->json) {
    print_json (timeline, first);
    return;
  }
  for (size_t i = first; i < timeline->merged_count; i++)
    print_event (timeline->cli, &timeline->merged[i]);
  print_missing (timeline);
}

static int
collect_and_print (Timeline *timeline)
{
  json_t *members;
  const json_t *member;
  size_t i;
  int status = cli_get_report (timeline->cli, "/v1/admin/members", &members);

  if (status != CLI_OK)
    return status;
  fetch_member_timelines (timeline, json_object_get (members, "self"));
  json_array_foreach (json_object_get (members, "members"), i, member)
      fetch_member_timelines (timeline, member);
  if (timeline->merged_count > 0)
    qsort (timeline->merged, timeline->merged_count, sizeof *timeline->merged,
           compare_events);
  print_timeline (timeline);
  json_decref (members);
  return json_array_size (timeline->reports) > 0 ? CLI_OK : CLI_UNREACHABLE;
}

int
cli_timeline (Cli *cli, int argc, char **argv)
{
  static const struct argp argp = {
    options, parse_option, "", "Merges the timelines of all members.", NULL, NULL, NULL
  };
  Timeline timeline = { .cli = cli };
  int status;

  cli_parse_options (&argp, argc, argv, &timeline.filter);
  if (cli_require_entry_and_key (cli) != 0)
    return CLI_USAGE;
  timeline.reports = json_array ();
  timeline.unreachable = json_array ();
  timeline.overrun = json_array ();
  status = collect_and_print (&timeline);
  json_decref (timeline.reports);
  json_decref (timeline.unreachable);
  json_decref (timeline.overrun);
  free (timeline.merged);
  return status;
}
