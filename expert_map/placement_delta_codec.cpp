#include "expert_map/placement_delta_codec.h"

#include <optional>

namespace sardinelb {

namespace {

constexpr std::uint32_t payloadBits = 7;
constexpr std::uint32_t payloadMask = 0x7f;
constexpr std::uint32_t continuationBit = 0x80;

void appendNumber(std::vector<std::uint8_t>& bytes, std::uint32_t number)
{
    while (number > payloadMask) {
        bytes.push_back(static_cast<std::uint8_t>((number & payloadMask) | continuationBit));
        number >>= payloadBits;
    }
    bytes.push_back(static_cast<std::uint8_t>(number));
}

// Reads numbers until the bytes end.
class number_reader {
public:
    explicit number_reader(std::span<const std::uint8_t> bytes)
        : m_bytes(bytes)
    {
    }

    std::optional<std::uint32_t> next()
    {
        constexpr std::uint32_t maxShift = 28;
        std::uint32_t number = 0;
        for (std::uint32_t shift = 0; shift <= maxShift && m_position < m_bytes.size(); shift += payloadBits) {
            const std::uint32_t byte = m_bytes[m_position++];
            number |= (byte & payloadMask) << shift;
            if ((byte & continuationBit) == 0)
                return number;
        }
        return std::nullopt;
    }

    std::size_t bytesLeft() const { return m_bytes.size() - m_position; }

private:
    std::span<const std::uint8_t> m_bytes;
    std::size_t m_position = 0;
};

}

std::vector<std::uint8_t> encodeDelta(const placement_delta& delta, std::uint16_t ranks)
{
    std::vector<std::uint8_t> bytes;
    std::uint32_t previous = 0;
    for (const auto& change : delta.changes) {
        const std::uint32_t position = static_cast<std::uint32_t>(change.set) * ranks + change.rank;
        appendNumber(bytes, position - previous);
        previous = position;
        appendNumber(bytes, static_cast<std::uint32_t>(change.experts.size()));
        for (const expert_number expert : change.experts)
            appendNumber(bytes, expert);
    }
    return bytes;
}

placement_delta decodeDelta(std::span<const std::uint8_t> bytes, std::uint16_t ranks)
{
    placement_delta delta;
    number_reader reader(bytes);
    std::uint32_t position = 0;
    while (ranks > 0) {
        const auto distance = reader.next();
        const auto count = distance ? reader.next() : std::nullopt;
        if (!count || *count > reader.bytesLeft())
            break;
        position += *distance;
        placement_delta::change change { static_cast<std::uint16_t>(position / ranks), static_cast<std::uint16_t>(position % ranks), {} };
        for (std::uint32_t i = 0; i < *count; ++i) {
            const auto expert = reader.next();
            if (!expert)
                return delta;
            change.experts.push_back(static_cast<expert_number>(*expert));
        }
        delta.changes.push_back(std::move(change));
    }
    return delta;
}

}
