#pragma once

#include <boost/beast/http/fields.hpp>

namespace sardinelb {

// Whether a response with this status is a final one of HTTP, 200 to 599. Boost.Beast accepts any three digits.
bool isFinalStatus(unsigned status);

// Whether a message with these fields has no transfer coding but chunked, which is the only one that Boost.Beast decodes. It would
// deliver the coded bytes of any other as the body.
bool isTransferCodingDecoded(const boost::beast::http::fields&);

}
