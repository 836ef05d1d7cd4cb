/**
 * DOC: hash-table.h - hash tables that are iterated in a reproducible order
 */
#ifndef BURDOCK_HASH_TABLE_H
#define BURDOCK_HASH_TABLE_H

#include <apr_hash.h>

/**
 * burdock_hash_table_new() - creates a table whose order depends on its keys only
 *
 * apr_hash_make() seeds each table with the time and its address, so that a program that
 * iterates over it, for example to choose an upstream or to list rows, behaves
 * differently in each run. Not for keys that callers choose: they could make the table
 * slow.
 */
static inline apr_hash_t *
burdock_hash_table_new (apr_pool_t *pool)
{
  return apr_hash_make_custom (pool, apr_hashfunc_default);
}

#endif
