#pragma once

#include <string>

namespace sardinelb {

// Whole answer to an HTTP request.
struct http_response {
    int status = 0;
    std::string contentType;
    std::string body;
};

}
