/**
 * DOC: error.h - helpers to fill in BurdockError and fixed-size names
 */
#ifndef BURDOCK_ERROR_H
#define BURDOCK_ERROR_H

#include "burdock.h"

#include <stdbool.h>

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

/**
 * burdock_copy_text() - copies @text whole
 * @size_bytes: size of @out, at least 1
 * Returns false, with an empty @out, if @text does not fit with its terminating zero: a
 * text that was cut could be another one.
 */
bool burdock_copy_text (char *out, size_t size_bytes, const char *text)
    __attribute__ ((warn_unused_result));

/** burdock_copy_name() - as burdock_copy_text(), for a text whose length was checked when
 * it was read */
void burdock_copy_name (char *out, size_t size_bytes, const char *text);

#endif
