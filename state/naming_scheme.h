#pragma once

#include <string>

namespace sardinelb {

// A scheme in which teams, instances and models have aliases. It has no content besides its name.
struct naming_scheme {
    std::string id;

    friend bool operator==(const naming_scheme&, const naming_scheme&) = default;
};

}
