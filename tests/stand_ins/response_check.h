#pragma once

#include "tests/stand_ins/response_verdict.h"

namespace sardinelb::stand_ins {

struct http_client_response;
struct load_request;

// Checks that a response is complete, belongs to the request and has the right status.
response_verdict checkResponse(const load_request&, const http_client_response&);

}
