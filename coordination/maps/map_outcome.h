#pragma once

namespace sardinelb {

// What was decided about a proposed expert map.
enum class map_outcome {
    // All ranks use the map from its first step on.
    Commit,
    // No rank ever uses the map.
    Abort,
};

// Name for logs and table rows, as in "commit".
const char* toString(map_outcome);

}
