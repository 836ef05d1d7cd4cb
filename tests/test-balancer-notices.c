/* What upstreams say of themselves in their answers. */
#include "balancer-fixture.h"

typedef struct {
  const char *name;
  uint64_t listed_born_ms;
  uint64_t told_born_ms;
  uint32_t placed;
} NoticeCase;

static const NoticeCase notice_cases[] = {
  { "the start that is listed", 100, 100, 0 },
  { "an earlier start", 100, 99, 1 },
  { "no start is named", 0, 0, 0 },
};

static void
an_upstream_that_says_that_it_leaves_gets_nothing (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (notice_cases); i++) {
    const NoticeCase *row = &notice_cases[i];
    BurdockUpstream item = upstream (1, "a", 2);
    Fixture fixture;

    item.born_ms = row->listed_born_ms;
    set_up (&fixture, &item, 1);
    CU_ASSERT_EQUAL (burdock_balancer_set_leaving (fixture.balancer, 1,
                                                   row->told_born_ms) != NULL,
                     row->placed == 0);
    CU_ASSERT_PTR_NULL (burdock_balancer_set_leaving (fixture.balancer, 2, 100));
    submit (&fixture, 0);
    if (fixture.placed != row->placed || fixture.refusals != 1 - row->placed)
      CU_FAIL (row->name);
    burdock_balancer_free (fixture.balancer);
  }
}

typedef struct {
  const char *name;
  uint64_t pause_ms[2]; /* of each upstream, 0 for none */
  uint64_t after_ms;    /* until the request comes; it waits for at most 1 s */
  uint64_t placed_at;   /* upstream that gets it at once, 0 for none */
  bool refused;         /* at once */
  uint32_t retry_after_min_ms;
} PauseCase;

static const PauseCase pause_cases[] = {
  { "the other upstream is free", { 3000, 0 }, 0, 2, false, 0 },
  { "the pause is over", { 3000, 5000 }, 3000, 1, false, 0 },
  { "one of two pauses ends while it can wait", { 3000, 700 }, 0, 0, false, 0 },
  { "no pause ends while it can wait", { 3000, 1500 }, 0, 0, true, 1500 },
  { "no pause ends while it can wait, later", { 3000, 4000 }, 1000, 0, true, 2000 },
};

/* Guards against requests to an upstream that has asked for none, and against requests
 * that wait although no upstream takes them in time. */
static void
an_upstream_is_left_alone_for_the_time_that_it_names (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (pause_cases); i++) {
    const PauseCase *row = &pause_cases[i];
    BurdockUpstream items[] = { upstream (1, "a", 2), upstream (2, "a", 2) };
    Fixture fixture;
    uint64_t handle;

    set_up (&fixture, items, 2);
    for (uint32_t k = 0; k < 2; k++)
      burdock_balancer_pause (fixture.balancer, items[k].key,
                              row->pause_ms[k] * US_PER_MS, fixture.now_us);
    advance_time (&fixture, row->after_ms * US_PER_MS);
    handle = submit (&fixture, 0);
    if (fixture.placed_at[handle] != row->placed_at ||
        fixture.refused[handle] != row->refused ||
        (row->refused && fixture.retry_after_ms < row->retry_after_min_ms))
      CU_FAIL (row->name);
    advance_time (&fixture, US_PER_S);
    CU_ASSERT_EQUAL (fixture.placed_at[handle] != 0, !row->refused);
    burdock_balancer_free (fixture.balancer);
  }
}

typedef struct {
  const char *name;
  uint64_t born_ms; /* of the upstream in the next list; 100 before */
  uint64_t shorter_ms;
  uint32_t placed; /* 1 s after a pause of 3 s has begun */
} EndCase;

static const EndCase end_cases[] = {
  { "listed again", 100, 0, 0 },
  { "started again", 101, 0, 1 },
  { "a shorter pause named later", 100, 200, 0 },
};

static void
a_pause_ends_with_its_time_or_with_its_upstream (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (end_cases); i++) {
    const EndCase *row = &end_cases[i];
    BurdockUpstream item = upstream (1, "a", 2);
    Fixture fixture;

    item.born_ms = 100;
    set_up (&fixture, &item, 1);
    burdock_balancer_pause (fixture.balancer, 1, 3 * US_PER_S, fixture.now_us);
    if (row->shorter_ms > 0)
      burdock_balancer_pause (fixture.balancer, 1, row->shorter_ms * US_PER_MS,
                              fixture.now_us);
    item.born_ms = row->born_ms;
    burdock_balancer_set_upstreams (fixture.balancer, &item, 1, fixture.now_us);
    advance_time (&fixture, US_PER_S);
    submit (&fixture, 0);
    if (fixture.placed != row->placed)
      CU_FAIL (row->name);
    burdock_balancer_free (fixture.balancer);
  }
}

static const Test tests[] = {
  { "an upstream that says that it leaves gets requests",
    an_upstream_that_says_that_it_leaves_gets_nothing },
  { "an upstream gets requests in the time in which it wants none",
    an_upstream_is_left_alone_for_the_time_that_it_names },
  { "an upstream gets no requests after its pause, or after its start",
    a_pause_ends_with_its_time_or_with_its_upstream },
};

int
main (void)
{
  int status;

  apr_initialize ();
  status = test_main ("balancer-notices", tests, TEST_COUNT (tests));
  apr_terminate ();
  return status;
}
