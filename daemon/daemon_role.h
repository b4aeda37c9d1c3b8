#pragma once

namespace sardinelb {

enum class daemon_role {
    // Accepts requests from callers and forwards them to agents.
    Entry,
    // Runs beside one runner and dispatches its work.
    Agent,
};

}
