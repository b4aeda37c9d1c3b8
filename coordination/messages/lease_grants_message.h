#pragma once

#include "coordination/messages/lease_grant_message.h"

#include <vector>

namespace sardinelb {

// Grants from a limit owner to one entry.
struct lease_grants_message {
    std::vector<lease_grant_message> grants;
};

}
