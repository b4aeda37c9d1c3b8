#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>

namespace sardinelb {

// Buffers of this size are to be returned to the system when they are freed; programs set the threshold of the allocator to it.
inline constexpr std::size_t mappedBufferBytes = 65536;

// Capacity of a buffer of received bytes that has to hold `neededBytes`. Grows by a quarter, where a string would double, so that little
// memory is taken beyond what has arrived. Skips middle sizes, which would leave holes in the heap when many buffers grow at once.
constexpr std::size_t grownCapacity(std::size_t capacity, std::size_t neededBytes)
{
    constexpr std::size_t maxHeapBytes = 16384;
    constexpr std::size_t minStepBytes = 4096;
    if (neededBytes <= capacity)
        return capacity;
    // Most bodies arrive in one part and are shorter than a step.
    if (neededBytes <= minStepBytes)
        return std::max(neededBytes, std::min(2 * capacity, minStepBytes));
    const std::size_t grownBytes = neededBytes + std::max(minStepBytes, neededBytes / 4);
    return grownBytes <= maxHeapBytes ? grownBytes : std::max(grownBytes, mappedBufferBytes);
}

// Body of a request for a Boost.Beast parser. Takes memory for what has arrived, not for what Content-Length announces.
struct incoming_body {
    using value_type = std::string;

    class reader {
    public:
        template <bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields>&, value_type& body)
            : m_body(body)
        {
        }

        static void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error) { error = {}; }

        template <class Buffers>
        std::size_t put(const Buffers& buffers, boost::system::error_code& error)
        {
            error = {};
            m_body.reserve(grownCapacity(m_body.capacity(), m_body.size() + boost::beast::buffer_bytes(buffers)));
            for (const boost::asio::const_buffer part : boost::beast::buffers_range_ref(buffers))
                m_body.append(static_cast<const char*>(part.data()), part.size());
            return boost::beast::buffer_bytes(buffers);
        }

        static void finish(boost::system::error_code& error) { error = {}; }

    private:
        value_type& m_body;
    };
};

}
