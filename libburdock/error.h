/**
 * DOC: error.h - helpers to fill in BurdockError and fixed-size names
 */
#ifndef BURDOCK_ERROR_H
#define BURDOCK_ERROR_H

#include "burdock.h"

/**
 * burdock_error_set() - fills in @error and sets its peer to "-"
 * @error: may be NULL
 * @step: step that failed
 * @format: detail of the error, as for printf()
 * Returns @code, so that a caller can return the result.
 */
int burdock_error_set (BurdockError *error, int code, const char *step,
                       const char *format, ...) __attribute__ ((format (printf, 4, 5)));

/** burdock_error_set_peer() - sets the peer of an error; @error may be NULL */
void burdock_error_set_peer (BurdockError *error, BurdockAddress peer);

/** burdock_copy_name() - copies text into a fixed-size array, truncated to fit */
void burdock_copy_name (char *out, size_t size_bytes, const char *text);

#endif
