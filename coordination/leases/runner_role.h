#pragma once

namespace sardinelb {

// Roles that self-repair assigns to runners. A spare runner takes no requests until its role becomes "serve".
inline constexpr const char* roleServe = "serve";
inline constexpr const char* roleSpare = "spare";

}
