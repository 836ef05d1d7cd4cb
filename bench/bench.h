/**
 * DOC: bench.h - reports of the benchmark, which make bench runs
 *
 * Each figure is printed as "bench: NAME VALUE UNIT target TARGET ok|short".
 *
 * Each bench-*.c file has one function of type BenchFunction, listed in bench.c.
 */
#ifndef BENCH_H
#define BENCH_H

#include <stdint.h>

typedef void (*BenchFunction) (void);

void bench_state (void);

/** bench_at_most() - reports a figure whose target is an upper bound */
void bench_at_most (const char *name, double value, const char *unit, double target);

/** bench_at_least() - reports a figure whose target is a lower bound */
void bench_at_least (const char *name, double value, const char *unit, double target);

/** bench_without_target() - reports a figure that has no target, for comparison */
void bench_without_target (const char *name, double value, const char *unit);

/** bench_now_ns() - monotonic clock in nanoseconds */
uint64_t bench_now_ns (void);

/* One function for each topic. */
void bench_maps (void);
void bench_members (void);
void bench_drain (void);
void bench_limits (void);
void bench_overload (void);
void bench_plans (void);
void bench_priorities (void);
void bench_resume (void);
void bench_routing (void);

#endif
