/**
 * DOC: test.h - entry point shared by the unit tests
 */
#ifndef TEST_H
#define TEST_H

#include <CUnit/CUnit.h>

/**
 * struct Test - one test case
 * @name: failure that the case guards against
 */
typedef struct {
  const char *name;
  CU_TestFunc function;
} Test;

#define TEST_COUNT(table) (sizeof (table) / sizeof ((table)[0]))

/**
 * test_main() - runs a table of cases with CUnit and prints "SUITE: N passed, N failed"
 * Returns the exit status of the process: 0, 1 if a case failed, 2 if CUnit did not
 * start.
 */
int test_main (const char *suite, const Test *tests, unsigned count);

#endif
