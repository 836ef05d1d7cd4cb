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

/**
 * burdock_log_to_stdout() - writes to standard output from now on
 * A line that cannot be written without blocking is dropped, so that a slow reader never
 * blocks the process; a record with the number of dropped lines precedes the next line.
 */
void burdock_log_to_stdout (void);

/** burdock_log_level_parse() - parses "debug", "info", "warning" or "error"; -EINVAL for
 * other text */
int burdock_log_level_parse (const char *text, BurdockLogLevel *out);

#endif
