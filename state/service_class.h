#pragma once

namespace sardinelb {

// Priority of a team's requests. Interactive requests precede standard ones, and standard requests precede batch ones,
// within the limits of the contracts. Under overload, batch requests are rejected first.
enum class service_class {
    Interactive,
    Standard,
    Batch,
};

}
