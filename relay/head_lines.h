#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

namespace sardinelb {

// Bytes of the HTTP head that `input` begins with, including the empty line at its end. Nothing if its end has not arrived.
std::optional<std::size_t> headBytes(std::string_view input);

// Whether a line of the head that `input` begins with, as far as it has arrived, begins with a blank or a tab. HTTP/1.1 allows no sender to
// fold lines. Boost.Beast joins such a line to the value of the field before it, so that a Content-Length on it goes unseen.
bool hasFoldedLine(std::string_view input);

}
