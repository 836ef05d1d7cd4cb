/**
 * DOC: message-bounds.h - checks the lengths in a msgpack value before it is unpacked
 */
#ifndef BURDOCK_MESSAGE_BOUNDS_H
#define BURDOCK_MESSAGE_BOUNDS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * burdock_msgpack_is_single_value() - whether @data is exactly one complete msgpack value
 *
 * msgpack-c allocates an array by the element count in its header, so a frame of a few
 * bytes could make it allocate gigabytes. As each element takes at least one byte, a
 * count above the number of bytes left is rejected.
 */
bool burdock_msgpack_is_single_value (const uint8_t *data, uint32_t length_bytes);

#endif
