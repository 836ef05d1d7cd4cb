/**
 * DOC: log.h - structured log of a daemon, one line of key=value fields on stderr
 */
#ifndef BURDOCK_LOG_H
#define BURDOCK_LOG_H

#include "burdock.h"

/** burdock_log_init() - sets the instance named in each line and the lowest level */
void burdock_log_init (const char *instance, BurdockLogLevel level);

/** burdock_log_event() - see &BurdockEnv.log; callable from any thread */
void burdock_log_event (void *ctx, BurdockLogLevel level, const BurdockEvent *event);

/** burdock_log() - record of the daemon itself */
void burdock_log (BurdockLogLevel level, const char *step, const char *peer,
                  const char *format, ...) __attribute__ ((format (printf, 4, 5)));

/** burdock_log_about() - record of the daemon about @subject, for example a request */
void burdock_log_about (BurdockLogLevel level, const char *step, const char *subject,
                        const char *peer, const char *format, ...)
    __attribute__ ((format (printf, 5, 6)));

/**
 * burdock_log_to_stdout() - writes to standard output from now on
 * A line that cannot be written at once is dropped, so that a reader that does not keep
 * up never stops the process; the number dropped precedes the next line.
 */
void burdock_log_to_stdout (void);

/** burdock_log_level_parse() - "debug", "info", "warning" or "error"; -EINVAL otherwise
 */
int burdock_log_level_parse (const char *text, BurdockLogLevel *out);

#endif
