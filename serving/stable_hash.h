#pragma once

#include <cstdint>
#include <string_view>

namespace sardinelb {

// FNV-1a, which gives the same values in all processes; std::hash need not.
class stable_hash {
public:
    void add(std::string_view text)
    {
        constexpr std::uint64_t prime = 1099511628211ULL;
        for (const char c : text)
            m_value = (m_value ^ static_cast<unsigned char>(c)) * prime;
        // Separates consecutive texts.
        m_value = (m_value ^ 0xff) * prime;
    }

    std::uint64_t value() const { return m_value; }

private:
    std::uint64_t m_value = 14695981039346656037ULL;
};

}
