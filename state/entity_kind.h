#pragma once

#include <optional>
#include <string_view>

namespace sardinelb {

// Kinds of configured entities, in the order of the alternatives of `entity`.
enum class entity_kind {
    NamingScheme,
    Pool,
    Model,
    Instance,
    Team,
    Runner,
    ServiceRoute,
    RankGroup,
};

// Name in changes and messages, as in "rank_group".
const char* toString(entity_kind);

// Returns the kind of this name, or nothing.
std::optional<entity_kind> entityKindFrom(std::string_view name);

}
