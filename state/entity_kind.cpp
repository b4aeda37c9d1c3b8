#include "state/entity_kind.h"

#include <array>

namespace sardinelb {

namespace {

constexpr std::array allKinds {
    entity_kind::NamingScheme,
    entity_kind::Pool,
    entity_kind::Model,
    entity_kind::Instance,
    entity_kind::Team,
    entity_kind::Runner,
    entity_kind::ServiceRoute,
    entity_kind::RankGroup,
};

}

const char* toString(entity_kind kind)
{
    switch (kind) {
    case entity_kind::NamingScheme:
        return "naming_scheme";
    case entity_kind::Pool:
        return "pool";
    case entity_kind::Model:
        return "model";
    case entity_kind::Instance:
        return "instance";
    case entity_kind::Team:
        return "team";
    case entity_kind::Runner:
        return "runner";
    case entity_kind::ServiceRoute:
        return "service";
    case entity_kind::RankGroup:
        return "rank_group";
    }
    return "invalid";
}

std::optional<entity_kind> entityKindFrom(std::string_view name)
{
    for (const entity_kind kind : allKinds) {
        if (name == toString(kind))
            return kind;
    }
    return std::nullopt;
}

}
