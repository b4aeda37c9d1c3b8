#pragma once

#include <string>

namespace sardinelb {

// One header line of an HTTP message.
struct http_field {
    std::string name;
    std::string value;
};

}
