/**
 * DOC: log.h - structured log of a daemon
 *
 * Each record is one line of key=value fields on standard error, or on standard output
 * after burdock_log_to_stdout().
 */
#ifndef BURDOCK_LOG_H
#define BURDOCK_LOG_H

#include "burdock.h"

/** burdock_log_init() - sets the instance name in each record and the lowest level
 * that is written; to be called before threads are started */
void burdock_log_init (const char *instance, BurdockLogLevel level);

/** burdock_log_event() - see &BurdockEnv.log; callable from any thread */
void burdock_log_event (void *ctx, BurdockLogLevel level, const BurdockEvent *event);

/** burdock_log() - writes a record of the daemon itself; callable from any thread */
void burdock_log (BurdockLogLevel level, const char *step, const char *peer,
                  const char *format, ...) __attribute__ ((format (printf, 4, 5)));

/** burdock_log_subject() - as burdock_log(), with the field "subject", such as a request
 * id
 */
void burdock_log_subject (BurdockLogLevel level, const char *step, const char *subject,
                          const char *peer, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/** burdock_log_to_stdout() - writes to standard output instead of standard error; to be
 * called before burdock_log_start() */
void burdock_log_to_stdout (void);

/**
 * burdock_log_start() - writes the log on a thread of its own from now on
 *
 * To be called before other threads are started. No other thread waits for the reader of
 * the log then. Up to 256 KiB wait for it; further lines are dropped, and a record with
 * their number precedes the next line. The end of the process waits up to 200 ms for the
 * lines before it. Returns 0 or -EAGAIN.
 */
int burdock_log_start (void);

/** burdock_log_flush() - waits up to 200 ms until all lines are written */
void burdock_log_flush (void);

/** burdock_log_dropped_count() - lines dropped since the start; callable from any thread
 */
uint64_t burdock_log_dropped_count (void);

/** burdock_log_level_parse() - parses "debug", "info", "warning" or "error"; -EINVAL for
 * other text */
int burdock_log_level_parse (const char *text, BurdockLogLevel *out);

#endif
