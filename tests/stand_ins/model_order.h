#pragma once

#include <cstdint>
#include <string>

namespace sardinelb::stand_ins {

enum class model_order_kind {
    Load,
    Unload,
    // Sets the role of the engine.
    Role,
};

// An order to an engine. `subject` is the name of the model, or the new role.
struct model_order {
    model_order_kind kind = model_order_kind::Load;
    std::string subject;
    std::uint64_t fencingNumber = 0;

    friend bool operator==(const model_order&, const model_order&) = default;
};

}
