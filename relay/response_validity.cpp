#include "relay/response_validity.h"

#include <boost/beast/core/string.hpp>

namespace sardinelb {

namespace http = boost::beast::http;

namespace {

constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastFinalStatus = 599;

}

bool isFinalStatus(unsigned status)
{
    return status >= firstFinalStatus && status <= lastFinalStatus;
}

bool isTransferCodingDecoded(const http::fields& fields)
{
    const auto codings = fields.count(http::field::transfer_encoding);
    return codings == 0 || (codings == 1 && boost::beast::iequals(fields[http::field::transfer_encoding], "chunked"));
}

}
