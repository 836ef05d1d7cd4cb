#include "config-stamp.h"
#include "test.h"

#include <string.h>

/* A configuration: its number, the era in which it is read, and its content. */
typedef struct {
  uint64_t version;
  uint64_t era;
  const char *text;
} Read;

typedef struct {
  const char *name;
  Read reads[4];
  uint32_t count;
  BurdockConfigOrder last;
  const char *in_force; /* content after all reads */
} ReadCase;

static const ReadCase read_cases[] = {
  { "first", { { 4, 1, "a" } }, 1, BURDOCK_CONFIG_NEWER, "a" },
  { "first version 0", { { 0, 1, "a" } }, 1, BURDOCK_CONFIG_NEWER, "a" },
  { "first version 0 of a store without eras",
    { { 0, 0, "a" } },
    1,
    BURDOCK_CONFIG_NEWER,
    "a" },
  { "next one after version 0",
    { { 0, 0, "a" }, { 1, 0, "b" } },
    2,
    BURDOCK_CONFIG_NEWER,
    "b" },
  { "version 0 read again",
    { { 0, 0, "a" }, { 0, 0, "a" } },
    2,
    BURDOCK_CONFIG_SAME,
    "a" },
  { "next one", { { 4, 1, "a" }, { 7, 1, "b" } }, 2, BURDOCK_CONFIG_NEWER, "b" },
  { "read again", { { 7, 1, "b" }, { 7, 1, "b" } }, 2, BURDOCK_CONFIG_SAME, "b" },
  { "late answer", { { 7, 1, "b" }, { 4, 1, "a" } }, 2, BURDOCK_CONFIG_OLDER, "b" },
  { "older one of a restored store",
    { { 4, 1, "a" }, { 7, 1, "b" }, { 4, 2, "a" } },
    3,
    BURDOCK_CONFIG_OLDER,
    "b" },
  { "written again after a restore",
    { { 4, 1, "a" }, { 7, 1, "b" }, { 4, 2, "a" }, { 7, 2, "b" } },
    4,
    BURDOCK_CONFIG_SAME,
    "b" },
  { "written again one by one",
    { { 9, 1, "c" }, { 4, 2, "a" }, { 7, 2, "b" }, { 9, 2, "c" } },
    4,
    BURDOCK_CONFIG_SAME,
    "c" },
  { "number given out again after a restore",
    { { 4, 1, "a" }, { 7, 1, "b" }, { 4, 2, "a" }, { 7, 2, "c" } },
    4,
    BURDOCK_CONFIG_NEWER,
    "c" },
  { "number given out again, then a copy from before",
    { { 7, 1, "b" }, { 7, 2, "c" }, { 7, 3, "b" } },
    3,
    BURDOCK_CONFIG_OLDER,
    "c" },
  { "number given out again, late answer",
    { { 7, 2, "c" }, { 7, 1, "b" } },
    2,
    BURDOCK_CONFIG_CONFLICT,
    "c" },
  { "another content in the same era",
    { { 7, 1, "b" }, { 7, 1, "x" } },
    2,
    BURDOCK_CONFIG_CONFLICT,
    "b" },
  { "next one of a store without eras",
    { { 4, 0, "a" }, { 7, 0, "b" } },
    2,
    BURDOCK_CONFIG_NEWER,
    "b" },
};

/* Guards against a configuration that is lost or reverts, among them a first one with the
 * version 0. */
static void
a_configuration_never_reverts (void)
{
  for (uint32_t i = 0; i < TEST_COUNT (read_cases); i++) {
    const ReadCase *row = &read_cases[i];
    BurdockConfigStamp in_force = { 0 };
    BurdockConfigOrder order = BURDOCK_CONFIG_SAME;
    const char *text = "";

    for (uint32_t k = 0; k < row->count; k++) {
      const Read *read = &row->reads[k];
      BurdockBytes bytes = { (const uint8_t *)read->text, (uint32_t)strlen (read->text) };
      BurdockConfigStamp stamp = burdock_config_stamp (read->version, read->era, bytes);

      order = burdock_config_order (&in_force, &stamp);
      if (order != BURDOCK_CONFIG_NEWER)
        continue;
      burdock_config_stamp_replace (&in_force, &stamp);
      text = read->text;
    }
    if (strcmp (text, row->in_force) != 0 || order != row->last)
      CU_FAIL (row->name);
  }
}

static const Test tests[] = {
  { "a configuration reverts to an older one, or a number given out again is ignored",
    a_configuration_never_reverts },
};

int
main (void)
{
  return test_main ("config-stamp", tests, TEST_COUNT (tests));
}
