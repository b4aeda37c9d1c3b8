#pragma once

#include "state/ids.h"

namespace sardinelb {

// Identity under which a daemon authenticates to its peers.
struct peer_identity {
    daemon_id daemon;
    incarnation number;
};

}
