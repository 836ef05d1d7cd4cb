#include "timeline.h"

#include "error.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HLC_COUNTER_BITS 16
#define US_PER_MS 1000

struct BurdockTimeline {
  const BurdockEnv *env;
  BurdockHlc hlc;
  uint32_t event_limit;
  uint64_t added;
  BurdockEvent *events;
};

uint64_t
burdock_hlc_now (BurdockHlc *hlc, uint64_t wall_us)
{
  uint64_t physical = (wall_us / US_PER_MS) << HLC_COUNTER_BITS;

  hlc->last = physical > hlc->last ? physical : hlc->last + 1;
  return hlc->last;
}

void
burdock_hlc_observe (BurdockHlc *hlc, uint64_t remote, uint64_t wall_us)
{
  if (remote > hlc->last)
    hlc->last = remote;
  burdock_hlc_now (hlc, wall_us);
}

BurdockTimeline *
burdock_timeline_new (const BurdockEnv *env, uint32_t event_limit)
{
  BurdockTimeline *timeline = calloc (1, sizeof *timeline);

  timeline->env = env;
  timeline->event_limit = event_limit;
  timeline->events = calloc (event_limit, sizeof *timeline->events);
  return timeline;
}

void
burdock_timeline_free (BurdockTimeline *timeline)
{
  if (timeline == NULL)
    return;
  free (timeline->events);
  free (timeline);
}

BurdockHlc *
burdock_timeline_hlc (BurdockTimeline *timeline)
{
  return &timeline->hlc;
}

void
burdock_timeline_add (BurdockTimeline *timeline, BurdockLogLevel level,
                      BurdockEventKind kind, const char *step, const char *peer,
                      const char *subject, const char *format, ...)
{
  BurdockEvent *event = &timeline->events[timeline->added % timeline->event_limit];
  const BurdockEnv *env = timeline->env;
  va_list args;

  event->hlc = burdock_hlc_now (&timeline->hlc, env->wall_us (env->ctx));
  event->sequence = timeline->added++;
  event->kind = kind;
  burdock_copy_name (event->step, sizeof event->step, step);
  burdock_copy_name (event->peer, sizeof event->peer, peer);
  burdock_copy_name (event->subject, sizeof event->subject, subject);
  va_start (args, format);
  vsnprintf (event->detail, sizeof event->detail, format, args);
  va_end (args);
  if (env->log != NULL)
    env->log (env->ctx, level, event);
}

void
burdock_timeline_add_error (BurdockTimeline *timeline, const BurdockError *error)
{
  burdock_timeline_add (timeline, BURDOCK_LOG_WARNING, BURDOCK_EVENT_FAULT, error->step,
                        error->peer, "-", "%.100s (%d)", error->detail, error->code);
}

static json_t *
event_json (const BurdockEvent *event)
{
  return json_pack ("{s:I, s:I, s:s, s:s, s:s, s:s, s:s}", "hlc", (json_int_t)event->hlc,
                    "sequence", (json_int_t)event->sequence, "kind",
                    burdock_event_kind_name (event->kind), "step", event->step, "peer",
                    event->peer, "subject", event->subject, "detail", event->detail);
}

char *
burdock_timeline_json (const BurdockTimeline *timeline, const char *instance)
{
  uint64_t limit = timeline->event_limit;
  uint64_t first = timeline->added > limit ? timeline->added - limit : 0;
  json_t *events = json_array ();
  json_t *root;
  char *text;

  for (uint64_t i = first; i < timeline->added; i++)
    json_array_append_new (events, event_json (&timeline->events[i % limit]));
  root = json_pack ("{s:s, s:I, s:o}", "instance", instance, "overrun", (json_int_t)first,
                    "events", events);
  text = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  return text;
}
