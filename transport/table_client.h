#pragma once

#include "state/table_service.h"
#include "transport/socket_address.h"

#include <chrono>

namespace sardinelb {

// Returns a client for a table service with the HTTP interface of section 9 of the design page. Each call blocks for
// at most the timeout.
table_service makeTableClient(const socket_address&, std::chrono::milliseconds timeout);

}
