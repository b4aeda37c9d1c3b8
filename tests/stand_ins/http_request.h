#pragma once

#include <map>
#include <string>

namespace sardinelb::stand_ins {

// A complete HTTP request as received.
struct http_request {
    std::string method;
    // Path of the target without its query, percent-decoded.
    std::string path;
    // Query parameters, percent-decoded. '+' isn't decoded to a space.
    std::map<std::string, std::string> query;
    // Value of the X-Request-Id header; empty if absent.
    std::string requestId;
    std::string body;
};

// Sets the path and the query from a request target such as "/v1/rows?key=a%2Fb".
void setTarget(http_request&, const std::string& target);

}
