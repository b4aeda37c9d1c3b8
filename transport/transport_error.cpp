#include "transport/transport_error.h"

#include "protocol/protocol_error.h"

namespace sardinelb {

transport_error toTransportError(const protocol_error& error)
{
    return { transport_errc::BadMessage, error.subject, error.detail };
}

}
