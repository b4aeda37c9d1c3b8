#pragma once

#include "state/ids.h"
#include "transport/socket_address.h"

namespace sardinelb {

// Id, availability zone and peer address of an entry.
struct entry_address {
    daemon_id id;
    availability_zone_id zone;
    socket_address address;
};

}
