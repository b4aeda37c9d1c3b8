#include "relay/transfer_coding.h"

#include <boost/beast/core/string.hpp>

namespace sardinelb {

namespace http = boost::beast::http;

bool isTransferCodingDecoded(const http::fields& fields)
{
    const auto codings = fields.count(http::field::transfer_encoding);
    return codings == 0 || (codings == 1 && boost::beast::iequals(fields[http::field::transfer_encoding], "chunked"));
}

}
