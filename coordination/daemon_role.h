#pragma once

namespace sardinelb {

// Role of a daemon in the fleet.
enum class daemon_role {
    // Accepts requests from callers and chooses runners for them.
    Entry,
    // Runs next to one runner and controls admission to it.
    Agent,
};

}
