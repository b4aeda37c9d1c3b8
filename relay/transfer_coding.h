#pragma once

#include <boost/beast/http/fields.hpp>

namespace sardinelb {

// Whether a message with these fields has no transfer coding but chunked, which is the only one that Boost.Beast decodes. It would
// deliver the coded bytes of any other as the body.
bool isTransferCodingDecoded(const boost::beast::http::fields&);

}
