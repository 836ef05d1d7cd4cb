/**
 * DOC: auth.h - authentication of operator requests
 *
 * The header "Burdock-Auth: TIME:MAC" carries the time in seconds since 1970 and, in
 * hexadecimal, the crypto_auth MAC of "METHOD\nTARGET\nTIME\nHASH". TARGET is the path
 * with the query as sent, HASH the hexadecimal BLAKE2b-256 hash of the body.
 */
#ifndef BURDOCK_AUTH_H
#define BURDOCK_AUTH_H

#include "burdock.h"

/* Buffer size for a header value and its terminating zero. */
#define BURDOCK_AUTH_TEXT_BYTES 96

/* Largest accepted difference between the clocks of an operator and a daemon. */
#define BURDOCK_AUTH_MAX_CLOCK_SKEW_S 300

/** burdock_auth_sign() - writes the header value for a request into @out */
void burdock_auth_sign (const uint8_t key[BURDOCK_KEY_BYTES], const char *method,
                        const char *target, uint64_t time_s, BurdockBytes body,
                        char out[BURDOCK_AUTH_TEXT_BYTES]);

/**
 * burdock_auth_verify() - verifies the header value of a request
 * @value: NULL if the request has no such header
 * Returns 0; -EACCES for a missing, malformed or wrong value; -ESTALE if its time differs
 * from @now_s by more than BURDOCK_AUTH_MAX_CLOCK_SKEW_S.
 */
int burdock_auth_verify (const uint8_t key[BURDOCK_KEY_BYTES], const char *method,
                         const char *target, uint64_t now_s, BurdockBytes body,
                         const char *value);

/** burdock_key_parse() - decodes a key of 64 hexadecimal digits; -EINVAL for other text
 */
int burdock_key_parse (const char *text, uint8_t key[BURDOCK_KEY_BYTES]);

#endif
