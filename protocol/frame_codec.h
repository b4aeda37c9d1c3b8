#pragma once

#include "protocol/frame.h"
#include "protocol/protocol_error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace sardinelb {

// Maximum encoded size of a frame, without its length prefix.
constexpr std::size_t maxFrameBytes = 1U << 20U;

// Encodes a frame as FlatBuffers.
std::string encodeFrame(const frame&);

// Decodes and validates a frame. Errors: TooLarge; Malformed, with the invalid field.
protocol_result<frame> decodeFrame(std::string_view bytes);

}
