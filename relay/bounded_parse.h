#pragma once

#include <algorithm>
#include <cstddef>
#include <stdexcept>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

namespace sardinelb {

// Most bytes of the framing of an HTTP body that are buffered unparsed: the size line of a chunk, or the trailer fields. Boost.Beast
// bounds neither.
inline constexpr std::size_t maxFramingBytes = 16384;

// The longest value of a field that Boost.Beast stores; it throws for a longer one.
inline constexpr std::size_t maxFieldBytes = 65533;

// Parses the beginning of `input` with a Boost.Beast parser and consumes what was parsed. Returns the number of bytes consumed; 0
// without an error means that more input is needed. `error` is header_limit if the head, the size line of a chunk or the trailer
// fields exceed `maxUnitBytes`, or if a field is too long for the parser.
template <class Parser>
std::size_t parseBounded(Parser& parser, boost::beast::flat_buffer& input, std::size_t maxUnitBytes, boost::system::error_code& error)
{
    namespace http = boost::beast::http;
    const std::size_t size = std::min(input.size(), maxUnitBytes);
    std::size_t consumedBytes = 0;
    try {
        consumedBytes = parser.put(boost::asio::const_buffer(input.data().data(), size), error);
    } catch (const std::length_error&) {
        error = http::error::header_limit;
        return 0;
    }
    input.consume(consumedBytes);
    if (error == http::error::need_more)
        error = {};
    if (!error && consumedBytes == 0 && size == maxUnitBytes)
        error = http::error::header_limit;
    return consumedBytes;
}

}
