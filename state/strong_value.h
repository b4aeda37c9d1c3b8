#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <utility>

namespace sardinelb {

// A value of type Rep that cannot be mixed up with another quantity of the same representation.
// Tag is an incomplete type that only names the quantity. Construction is explicit; comparison and
// hashing follow Rep.
template <typename Tag, typename Rep>
class strong_value {
public:
    using rep_type = Rep;

    constexpr strong_value() = default;
    explicit constexpr strong_value(Rep value)
        : m_value(std::move(value))
    {
    }

    constexpr const Rep& value() const { return m_value; }

    friend auto operator<=>(const strong_value&, const strong_value&) = default;
    friend bool operator==(const strong_value&, const strong_value&) = default;

private:
    Rep m_value {};
};

}

template <typename Tag, typename Rep>
struct std::hash<sardinelb::strong_value<Tag, Rep>> {
    std::size_t operator()(const sardinelb::strong_value<Tag, Rep>& id) const
    {
        return std::hash<Rep>()(id.value());
    }
};
