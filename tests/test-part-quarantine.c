#include "part-quarantine.h"
#include "test.h"

#include <string.h>

#define US_PER_MS UINT64_C (1000)
#define US_PER_S (1000 * US_PER_MS)
#define US_PER_MIN (60 * US_PER_S)

#define SHARED 0x40
#define CRASHING 0xbad

typedef struct {
  BurdockPartQuarantine *quarantine;
  bool upstreams_end; /* what the balancer says of every upstream */
  bool groups_break;  /* only the groups of upstreams have ended */
  uint64_t now_us;
  uint32_t changes;
  BurdockPartStatus last;
} Gateway;

static bool
has_ended (void *ctx, uint64_t upstream, uint64_t since_us)
{
  const Gateway *gateway = ctx;

  return gateway->upstreams_end;
}

static bool
has_ended_itself (void *ctx, uint64_t upstream, uint64_t since_us)
{
  const Gateway *gateway = ctx;

  return gateway->upstreams_end && !gateway->groups_break;
}

static void
record_change (void *ctx, const BurdockPartStatus *status)
{
  Gateway *gateway = ctx;

  gateway->changes++;
  gateway->last = *status;
}

static void
set_up (Gateway *gateway, uint64_t seed)
{
  BurdockPartQuarantineHandler handler = { gateway, has_ended, has_ended_itself,
                                           record_change };

  *gateway = (Gateway){ .upstreams_end = true, .now_us = 100 * US_PER_S };
  gateway->quarantine = burdock_part_quarantine_new (seed, &handler);
}

static void
tear_down (Gateway *gateway)
{
  burdock_part_quarantine_free (gateway->quarantine);
}

static BurdockPromptParts
prompt (uint64_t first, uint64_t second)
{
  return (BurdockPromptParts){ .count = second != 0 ? 2 : 1, .ids = { first, second } };
}

/* An upstream ends as it begins to answer a prompt with @first and @second. */
static void
crash (Gateway *gateway, uint64_t upstream, uint64_t first, uint64_t second)
{
  BurdockPromptParts parts = prompt (first, second);

  burdock_part_quarantine_record_break (gateway->quarantine, &parts, upstream, false,
                                        gateway->now_us);
  burdock_part_quarantine_tick (gateway->quarantine, gateway->now_us);
}

static void
answer (Gateway *gateway, uint64_t first, uint64_t second)
{
  BurdockPromptParts parts = prompt (first, second);

  burdock_part_quarantine_record_answer (gateway->quarantine, &parts, gateway->now_us);
}

static bool
admits (Gateway *gateway, uint64_t first, uint64_t second)
{
  BurdockPromptParts parts = prompt (first, second);
  uint32_t retry_after_ms = 0;
  bool admitted = burdock_part_quarantine_admit (gateway->quarantine, &parts,
                                                 gateway->now_us, &retry_after_ms);

  CU_ASSERT_EQUAL (admitted, retry_after_ms == 0);
  return admitted;
}

static void
send_heartbeat (Gateway *from, Gateway *to)
{
  BurdockPartItem items[BURDOCK_PART_ITEMS_MAX];
  uint32_t count = burdock_part_quarantine_share (from->quarantine, 2, from->now_us,
                                                  items, BURDOCK_PART_ITEMS_MAX);

  to->now_us = from->now_us;
  burdock_part_quarantine_merge (to->quarantine, items, count, to->now_us);
}

static void
advance (Gateway *gateway, uint64_t time_us)
{
  gateway->now_us += time_us;
  burdock_part_quarantine_tick (gateway->quarantine, gateway->now_us);
}

/* Three upstreams end in two waves; sound prompts are answered in between. */
static void
quarantine_crashing_part (Gateway *gateway)
{
  crash (gateway, 1, SHARED, CRASHING);
  crash (gateway, 2, SHARED, CRASHING);
  advance (gateway, 4 * US_PER_S);
  answer (gateway, SHARED, 0);
  CU_ASSERT_TRUE (admits (gateway, SHARED, CRASHING));
  crash (gateway, 3, SHARED, CRASHING);
}

static void
crashing_part_is_refused (void)
{
  Gateway gateway;

  set_up (&gateway, 1);
  quarantine_crashing_part (&gateway);
  CU_ASSERT_EQUAL (gateway.last.part, CRASHING);
  CU_ASSERT_TRUE (gateway.last.quarantined && gateway.last.local);
  CU_ASSERT_FALSE (admits (&gateway, SHARED, CRASHING));
  CU_ASSERT_FALSE (admits (&gateway, CRASHING, SHARED));
  CU_ASSERT_TRUE (admits (&gateway, SHARED, 0));
  CU_ASSERT_EQUAL (burdock_part_quarantine_count (gateway.quarantine), 1);
  tear_down (&gateway);
}

/* Each gateway sees the crashes of its own requests only. */
static void
crashes_of_other_gateways_count (void)
{
  Gateway a;
  Gateway b;

  set_up (&a, 1);
  set_up (&b, 2);
  crash (&a, 1, SHARED, CRASHING);
  CU_ASSERT_TRUE (burdock_part_quarantine_has_news (a.quarantine));
  send_heartbeat (&a, &b);
  CU_ASSERT_FALSE (burdock_part_quarantine_has_news (a.quarantine));
  send_heartbeat (&a, &b);
  advance (&b, 2 * US_PER_S);
  crash (&b, 2, SHARED, CRASHING);
  answer (&b, SHARED, 0);
  CU_ASSERT_TRUE (admits (&b, SHARED, CRASHING));
  crash (&b, 3, SHARED, CRASHING);
  CU_ASSERT_FALSE (admits (&b, SHARED, CRASHING));
  send_heartbeat (&b, &a);
  CU_ASSERT_FALSE (admits (&a, SHARED, CRASHING));
  CU_ASSERT_FALSE (a.last.local);
  CU_ASSERT_TRUE (admits (&a, SHARED, 0));
  tear_down (&a);
  tear_down (&b);
}

/* While a pool has one group only, no sound prompt may be answered between two crashes.
 */
static void
shared_part_is_not_blamed (void)
{
  Gateway gateway;

  set_up (&gateway, 1);
  for (uint64_t wave = 0; wave < 5; wave++) {
    crash (&gateway, 10 * wave, SHARED, 0);
    crash (&gateway, 10 * wave, SHARED, CRASHING);
    crash (&gateway, 10 * wave + 1, SHARED, CRASHING);
    advance (&gateway, 4 * US_PER_S);
  }
  CU_ASSERT_TRUE (admits (&gateway, SHARED, 0));
  CU_ASSERT_FALSE (admits (&gateway, SHARED, CRASHING));
  tear_down (&gateway);
}

/* Every prompt with the part has other parts behind it. */
static void
crashing_first_part_is_found (void)
{
  Gateway gateway;

  set_up (&gateway, 1);
  for (uint64_t i = 1; i <= 3; i++) {
    crash (&gateway, i, CRASHING, 0x1000 + i);
    advance (&gateway, 2 * US_PER_S);
  }
  CU_ASSERT_FALSE (admits (&gateway, CRASHING, 0x2000));
  CU_ASSERT_TRUE (admits (&gateway, SHARED, 0x1001));
  tear_down (&gateway);
}

static void
upstreams_that_end_at_once_blame_nobody (void)
{
  Gateway gateway;

  set_up (&gateway, 1);
  for (uint64_t i = 1; i <= 6; i++)
    crash (&gateway, i, SHARED, 0);
  CU_ASSERT_TRUE (admits (&gateway, SHARED, 0));
  advance (&gateway, 300 * US_PER_MS);
  answer (&gateway, SHARED, 0);
  advance (&gateway, 4 * US_PER_S);
  for (uint64_t i = 7; i <= 8; i++)
    crash (&gateway, i, SHARED, 0);
  CU_ASSERT_TRUE (admits (&gateway, SHARED, 0));
  tear_down (&gateway);
}

static void
broken_connections_to_live_upstreams_blame_nobody (void)
{
  Gateway gateway;

  set_up (&gateway, 1);
  gateway.upstreams_end = false;
  for (uint64_t i = 1; i <= 5; i++) {
    crash (&gateway, i, SHARED, CRASHING);
    advance (&gateway, 2 * US_PER_S);
  }
  CU_ASSERT_TRUE (admits (&gateway, SHARED, CRASHING));
  advance (&gateway, 10 * US_PER_S);
  gateway.upstreams_end = true;
  advance (&gateway, 1 * US_PER_S);
  CU_ASSERT_TRUE (admits (&gateway, SHARED, CRASHING));
  tear_down (&gateway);
}

/* An answer at another gateway, or to a request sent before, shows that a part is sound.
 */
static void
answered_part_is_released_everywhere (void)
{
  Gateway a;
  Gateway b;

  set_up (&a, 1);
  set_up (&b, 2);
  quarantine_crashing_part (&a);
  send_heartbeat (&a, &b);
  CU_ASSERT_FALSE (admits (&b, CRASHING, 0));
  advance (&b, 100 * US_PER_MS);
  answer (&b, SHARED, CRASHING);
  CU_ASSERT_TRUE (admits (&b, CRASHING, 0));
  a.now_us = b.now_us;
  send_heartbeat (&b, &a);
  CU_ASSERT_TRUE (admits (&a, CRASHING, 0));
  CU_ASSERT_FALSE (a.last.quarantined);
  /* Evidence from before the answer that arrives late changes nothing. */
  send_heartbeat (&a, &b);
  CU_ASSERT_TRUE (admits (&b, CRASHING, 0));
  tear_down (&a);
  tear_down (&b);
}

static void
quarantine_is_tried_again_and_grows (void)
{
  Gateway gateway;

  set_up (&gateway, 1);
  quarantine_crashing_part (&gateway);
  advance (&gateway, 5 * US_PER_MIN - US_PER_S);
  CU_ASSERT_FALSE (admits (&gateway, CRASHING, 0));
  advance (&gateway, 2 * US_PER_MIN);
  CU_ASSERT_TRUE (admits (&gateway, CRASHING, 0));
  CU_ASSERT_FALSE (admits (&gateway, CRASHING, 0));
  crash (&gateway, 4, CRASHING, 0);
  CU_ASSERT_EQUAL (gateway.changes, 2);
  CU_ASSERT_TRUE (gateway.last.quarantined && gateway.last.crashes == 4);
  advance (&gateway, 9 * US_PER_MIN);
  CU_ASSERT_FALSE (admits (&gateway, CRASHING, 0));
  advance (&gateway, 4 * US_PER_MIN);
  CU_ASSERT_TRUE (admits (&gateway, CRASHING, 0));
  answer (&gateway, CRASHING, 0);
  CU_ASSERT_TRUE (admits (&gateway, CRASHING, 0));
  CU_ASSERT_TRUE (admits (&gateway, CRASHING, 0));
  tear_down (&gateway);
}

static void
quarantine_is_forgotten_without_requests (void)
{
  Gateway gateway;

  set_up (&gateway, 1);
  quarantine_crashing_part (&gateway);
  advance (&gateway, 66 * US_PER_MIN);
  CU_ASSERT_EQUAL (burdock_part_quarantine_count (gateway.quarantine), 0);
  CU_ASSERT_EQUAL (gateway.changes, 2);
  tear_down (&gateway);
}

static void
gateway_that_starts_knows_the_stored_quarantine (void)
{
  BurdockPartItem items[BURDOCK_PART_CRASHES_MAX];
  Gateway a;
  Gateway b;
  uint32_t count;

  set_up (&a, 1);
  set_up (&b, 2);
  quarantine_crashing_part (&a);
  count = burdock_part_quarantine_evidence (a.quarantine, CRASHING, a.now_us, items);
  CU_ASSERT_EQUAL (count, 3);
  CU_ASSERT_FALSE (burdock_part_quarantine_is_outdated (items, count));
  burdock_part_quarantine_merge (b.quarantine, items, count, b.now_us);
  CU_ASSERT_FALSE (admits (&b, SHARED, CRASHING));
  for (uint32_t i = 0; i < count; i++)
    items[i].age_ms = 66 * 60 * 1000;
  CU_ASSERT_TRUE (burdock_part_quarantine_is_outdated (items, count));
  tear_down (&a);
  tear_down (&b);
}

/* A gateway that was cut off receives the repeated evidence of the others. */
static void
cut_off_gateway_learns_afterwards (void)
{
  BurdockPartItem items[BURDOCK_PART_ITEMS_MAX];
  Gateway a;
  Gateway b;
  uint32_t shares = 0;

  set_up (&a, 1);
  set_up (&b, 2);
  quarantine_crashing_part (&a);
  for (uint32_t i = 0; i < 20; i++) {
    advance (&a, 100 * US_PER_MS);
    burdock_part_quarantine_share (a.quarantine, 9, a.now_us, items,
                                   BURDOCK_PART_ITEMS_MAX);
  }
  for (uint32_t i = 0; i < 50 && admits (&b, CRASHING, 0); i++, shares++) {
    advance (&a, 100 * US_PER_MS);
    send_heartbeat (&a, &b);
  }
  CU_ASSERT_FALSE (admits (&b, CRASHING, 0));
  tear_down (&a);
  tear_down (&b);
}

static void
evidence_is_bounded (void)
{
  BurdockPartItem items[BURDOCK_PART_ITEMS_MAX];
  Gateway gateway;

  set_up (&gateway, 1);
  quarantine_crashing_part (&gateway);
  for (uint64_t i = 0; i < 100; i++) {
    BurdockPromptParts parts = { .count = BURDOCK_PROMPT_PARTS_MAX };

    for (uint32_t k = 0; k < parts.count; k++)
      parts.ids[k] = 0x10000 + i * BURDOCK_PROMPT_PARTS_MAX + k;
    burdock_part_quarantine_record_break (gateway.quarantine, &parts, 100 + i, false,
                                          gateway.now_us);
    advance (&gateway, 10 * US_PER_MS);
  }
  CU_ASSERT_FALSE (admits (&gateway, CRASHING, 0));
  CU_ASSERT_TRUE (burdock_part_quarantine_share (gateway.quarantine, 9, gateway.now_us,
                                                 items, BURDOCK_PART_ITEMS_MAX) <=
                  BURDOCK_PART_ITEMS_MAX);
  tear_down (&gateway);
}

static void
suspect_part_is_not_repeated_elsewhere (void)
{
  BurdockPromptParts parts = prompt (SHARED, CRASHING);
  Gateway gateway;

  set_up (&gateway, 1);
  CU_ASSERT_FALSE (burdock_part_quarantine_is_suspect (gateway.quarantine, &parts, 1));
  crash (&gateway, 1, SHARED, CRASHING);
  CU_ASSERT_FALSE (burdock_part_quarantine_is_suspect (gateway.quarantine, &parts, 1));
  CU_ASSERT_TRUE (burdock_part_quarantine_is_suspect (gateway.quarantine, &parts, 2));
  answer (&gateway, SHARED, CRASHING);
  CU_ASSERT_FALSE (burdock_part_quarantine_is_suspect (gateway.quarantine, &parts, 2));
  tear_down (&gateway);
}

#define POISON 0x90150
#define SOUND 0x50
#define EQUAL 0xe9

/** enum Event - what happens at an upstream */
typedef enum {
  EVENT_CRASH = 1, /* it ends while it runs the requests */
  EVENT_ANSWER,    /* it answers the first request */
  EVENT_BREAK,     /* its group breaks after it has begun to answer the requests */
  EVENT_BEGUN,     /* it ends after it has begun to answer the first request */
} Event;

typedef struct {
  Event event;
  uint64_t after_ms; /* since the previous event */
  uint64_t requests[3];
  uint64_t part; /* of the prompts of the requests, 0 for requests without prompts */
} RequestEvent;

typedef struct {
  const char *name;
  RequestEvent events[8];
  uint32_t count;
  bool refuses_poison;
  bool refuses_sound;
  bool refuses_part;
} RequestCase;

static const RequestCase request_cases[] = {
  { "it comes again",
    { { EVENT_CRASH, 0, { POISON }, 0 },
      { EVENT_CRASH, 50, { POISON }, 0 },
      { EVENT_CRASH, 2000, { POISON }, 0 } },
    3,
    true,
    false,
    false },
  { "three upstreams end within a second",
    { { EVENT_CRASH, 0, { POISON }, 0 },
      { EVENT_CRASH, 50, { POISON }, 0 },
      { EVENT_CRASH, 300, { POISON }, 0 } },
    3,
    false,
    false,
    false },
  { "sound requests run beside it",
    { { EVENT_CRASH, 0, { POISON, SOUND, EQUAL }, 0 },
      { EVENT_CRASH, 50, { POISON, SOUND }, 0 },
      { EVENT_CRASH, 300, { POISON }, 0 },
      { EVENT_CRASH, 2000, { POISON, SOUND }, 0 } },
    4,
    true,
    false,
    false },
  { "a sound request that is answered in between runs beside it each time",
    { { EVENT_CRASH, 0, { POISON, SOUND }, 0 },
      { EVENT_CRASH, 50, { POISON, SOUND }, 0 },
      { EVENT_ANSWER, 500, { SOUND }, 0 },
      { EVENT_CRASH, 2000, { POISON, SOUND }, 0 } },
    4,
    true,
    false,
    false },
  { "it is answered in between",
    { { EVENT_CRASH, 0, { POISON }, 0 },
      { EVENT_CRASH, 50, { POISON }, 0 },
      { EVENT_ANSWER, 500, { POISON }, 0 },
      { EVENT_CRASH, 2000, { POISON }, 0 } },
    4,
    false,
    false,
    false },
  { "groups break while they run a sound request that comes again",
    { { EVENT_BREAK, 0, { SOUND }, 0 },
      { EVENT_BREAK, 2000, { SOUND }, 0 },
      { EVENT_BREAK, 2000, { SOUND }, 0 } },
    3,
    false,
    false,
    false },
  { "its own prompt crashes, the shared part does not",
    { { EVENT_CRASH, 0, { POISON }, SHARED },
      { EVENT_CRASH, 2000, { POISON }, SHARED },
      { EVENT_CRASH, 2000, { POISON }, SHARED } },
    3,
    true,
    false,
    false },
  { "its answer had begun, those of the others had not",
    { { EVENT_BEGUN, 0, { POISON, SOUND, EQUAL }, 0 } },
    1,
    true,
    false,
    false },
  { "its answer had begun, and its part is sound",
    { { EVENT_BEGUN, 0, { POISON }, SHARED } },
    1,
    true,
    false,
    false },
  { "its answer had begun, and it is answered later",
    { { EVENT_BEGUN, 0, { POISON }, 0 }, { EVENT_ANSWER, 500, { POISON }, 0 } },
    2,
    false,
    false,
    false },
  { "its answer had begun, and a copy was answered before",
    { { EVENT_ANSWER, 0, { POISON }, 0 }, { EVENT_BEGUN, 5000, { POISON }, 0 } },
    2,
    false,
    false,
    false },
  { "a part crashes, and each request with it comes twice",
    { { EVENT_CRASH, 0, { SOUND }, SHARED },
      { EVENT_CRASH, 50, { SOUND }, SHARED },
      { EVENT_CRASH, 2000, { EQUAL }, SHARED },
      { EVENT_CRASH, 50, { EQUAL }, SHARED } },
    4,
    false,
    false,
    true },
};

static BurdockPromptParts
request_parts (uint64_t request, uint64_t part)
{
  return (BurdockPromptParts){ .request = request,
                               .count = part != 0 ? 1 : 0,
                               .ids = { part } };
}

static void
play_event (Gateway *gateway, const RequestEvent *event, uint64_t upstream)
{
  advance (gateway, event->after_ms * US_PER_MS);
  gateway->groups_break = event->event == EVENT_BREAK;
  for (uint32_t i = 0; i < 3 && event->requests[i] != 0; i++) {
    BurdockPromptParts parts = request_parts (event->requests[i], event->part);

    if (event->event == EVENT_ANSWER)
      burdock_part_quarantine_record_answer (gateway->quarantine, &parts,
                                             gateway->now_us);
    else
      burdock_part_quarantine_record_break (gateway->quarantine, &parts, upstream,
                                            event->event == EVENT_BREAK ||
                                                (event->event == EVENT_BEGUN && i == 0),
                                            gateway->now_us);
  }
  advance (gateway, US_PER_MS);
}

static bool
refuses (Gateway *gateway, uint64_t request, uint64_t part)
{
  BurdockPromptParts parts = request_parts (request, part);
  uint32_t retry_after_ms;

  return !burdock_part_quarantine_admit (gateway->quarantine, &parts, gateway->now_us,
                                         &retry_after_ms);
}

/* The second gateway hears of the crashes only. */
static void
crashing_request_is_refused (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (request_cases); i++) {
    const RequestCase *row = &request_cases[i];
    Gateway gateways[2];

    set_up (&gateways[0], 1);
    set_up (&gateways[1], 2);
    for (uint32_t k = 0; k < row->count; k++) {
      play_event (&gateways[0], &row->events[k], 100 + k);
      send_heartbeat (&gateways[0], &gateways[1]);
    }
    for (uint32_t k = 0; k < 2; k++) {
      if (refuses (&gateways[k], POISON, 0) != row->refuses_poison ||
          refuses (&gateways[k], SOUND, 0) != row->refuses_sound ||
          refuses (&gateways[k], EQUAL, 0) != row->refuses_sound ||
          refuses (&gateways[k], 0x777, SHARED) != row->refuses_part)
        CU_FAIL (row->name);
      tear_down (&gateways[k]);
    }
  }
}

/* A sound request may have run beside the crash of its upstream. */
static void
request_is_tried_again_after_a_single_crash (void)
{
  const RequestEvent begun = { EVENT_BEGUN, 0, { POISON }, 0 };
  Gateway gateway;

  set_up (&gateway, 1);
  play_event (&gateway, &begun, 100);
  advance (&gateway, 29 * US_PER_S);
  CU_ASSERT_TRUE (refuses (&gateway, POISON, 0));
  advance (&gateway, 9 * US_PER_S);
  CU_ASSERT_FALSE (refuses (&gateway, POISON, 0));
  CU_ASSERT_TRUE (refuses (&gateway, POISON, 0));
  play_event (&gateway, &begun, 101);
  advance (&gateway, 4 * US_PER_MIN);
  CU_ASSERT_TRUE (refuses (&gateway, POISON, 0));
  tear_down (&gateway);
}

static void
stored_request_is_refused (void)
{
  Gateway gateway;
  Gateway successor;
  BurdockPartItem items[BURDOCK_PART_CRASHES_MAX];
  uint32_t count;

  set_up (&gateway, 1);
  set_up (&successor, 2);
  for (uint32_t i = 0; i < 3; i++)
    play_event (&gateway, &request_cases[0].events[i], 100 + i);
  CU_ASSERT_TRUE (gateway.last.request);
  count = burdock_part_quarantine_evidence (gateway.quarantine, POISON, gateway.now_us,
                                            items);
  successor.now_us = gateway.now_us;
  burdock_part_quarantine_merge (successor.quarantine, items, count, successor.now_us);
  CU_ASSERT_TRUE (refuses (&successor, POISON, SHARED));
  CU_ASSERT_FALSE (refuses (&successor, SOUND, SHARED));
  tear_down (&gateway);
  tear_down (&successor);
}

static void
upstreams_are_checked_after_a_break (void)
{
  BurdockPromptParts parts = request_parts (POISON, 0);
  uint32_t checks = 0;
  uint64_t upstream = 0;
  Gateway gateway;

  set_up (&gateway, 1);
  gateway.upstreams_end = false;
  for (uint32_t i = 0; i < 3; i++)
    burdock_part_quarantine_record_break (gateway.quarantine, &parts, 7, false,
                                          gateway.now_us);
  for (uint32_t i = 0; i < 200; i++) {
    while (burdock_part_quarantine_next_check (gateway.quarantine, gateway.now_us,
                                               &upstream))
      checks++;
    advance (&gateway, 50 * US_PER_MS);
  }
  CU_ASSERT_EQUAL (upstream, 7);
  CU_ASSERT_EQUAL (checks, 4);
  tear_down (&gateway);
}

static const Test tests[] = {
  { "a request that comes again keeps crashing upstreams, or a sound one is blamed",
    crashing_request_is_refused },
  { "a request is refused for long after a single crash, or not after the second one",
    request_is_tried_again_after_a_single_crash },
  { "a gateway that starts sends a quarantined request", stored_request_is_refused },
  { "an upstream that has ended is not noticed", upstreams_are_checked_after_a_break },
  { "a part keeps crashing upstreams", crashing_part_is_refused },
  { "gateways do not learn of each other's crashes", crashes_of_other_gateways_count },
  { "a sound part before the crashing one is refused", shared_part_is_not_blamed },
  { "a crashing part with varying parts behind it is missed",
    crashing_first_part_is_found },
  { "upstreams that end at once quarantine a sound part",
    upstreams_that_end_at_once_blame_nobody },
  { "connections that are reset quarantine a part",
    broken_connections_to_live_upstreams_blame_nobody },
  { "a part that is answered stays quarantined", answered_part_is_released_everywhere },
  { "a quarantine never ends, or ends at once for all requests",
    quarantine_is_tried_again_and_grows },
  { "a quarantine without requests is kept for good",
    quarantine_is_forgotten_without_requests },
  { "a gateway that starts sends a quarantined part",
    gateway_that_starts_knows_the_stored_quarantine },
  { "a gateway that was cut off never learns of a quarantine",
    cut_off_gateway_learns_afterwards },
  { "many parts displace a quarantined one", evidence_is_bounded },
  { "a request whose upstream ended ends another one",
    suspect_part_is_not_repeated_elsewhere },
};

int
main (void)
{
  return test_main ("part-quarantine", tests, TEST_COUNT (tests));
}
