#pragma once

namespace sardinelb {

// Outcome of a proposed expert map.
enum class map_outcome {
    // All ranks use the map from its first step on.
    Commit,
    // No rank ever uses the map.
    Abort,
};

// Returns the name used in logs and table rows, such as "commit".
const char* toString(map_outcome);

}
