/**
 * DOC: message-bounds.h - plausibility of a msgpack value before it is unpacked
 */
#ifndef BURDOCK_MESSAGE_BOUNDS_H
#define BURDOCK_MESSAGE_BOUNDS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * burdock_msgpack_is_single_value() - whether @data is exactly one msgpack value in its
 * bytes msgpack-c allocates an array by the count in its header, so that a frame of a few
 * bytes could ask for gigabytes. Every element takes at least one byte, which bounds the
 * count.
 */
bool burdock_msgpack_is_single_value (const uint8_t *data, uint32_t length_bytes);

#endif
