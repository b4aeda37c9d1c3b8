#pragma once

#include <string>

namespace sardinelb {

// Complete response to an HTTP request.
struct http_response {
    int status = 0;
    std::string contentType;
    std::string body;
};

}
