#pragma once

namespace sardinelb {

// Roles that self-repair gives. A spare runner takes no requests until it serves.
inline constexpr const char* roleServe = "serve";
inline constexpr const char* roleSpare = "spare";

}
