#pragma once

namespace sardinelb {

// A rank's answer to a proposed expert map.
enum class map_readiness {
    // The weights are loaded, and the rank promises not to enter the first step of the map before it knows the
    // decision.
    Prepared,
    // The rank is already past the first step of the map, so the map must be aborted.
    Refused,
};

}
