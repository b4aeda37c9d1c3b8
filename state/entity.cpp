#include "state/entity.h"

#include <algorithm>
#include <iterator>

namespace sardinelb {

namespace {

std::string nameOf(const std::string& id) { return id; }

template <typename Tag>
std::string nameOf(const strong_value<Tag, std::string>& id)
{
    return id.value();
}

entity entityOf(const std::string& scheme) { return naming_scheme { scheme }; }

template <typename Element>
entity entityOf(const Element& element)
{
    return element.second;
}

// Visits the elements from position `first` on; if there are none, subtracts the number of elements from `first`.
// Returns false if `visit` returned false.
template <typename Elements>
bool visitFrom(const Elements& elements, std::size_t& first, const std::function<bool(const entity&)>& visit)
{
    if (first >= elements.size()) {
        first -= elements.size();
        return true;
    }
    auto next = std::next(elements.begin(), static_cast<std::ptrdiff_t>(first));
    first = 0;
    for (; next != elements.end(); ++next) {
        if (!visit(entityOf(*next)))
            return false;
    }
    return true;
}

template <typename Map>
std::optional<entity> findIn(const Map& entities, const std::string& id)
{
    const auto found = entities.find(typename Map::key_type(id));
    if (found == entities.end())
        return std::nullopt;
    return entity(found->second);
}

template <typename Map>
bool eraseFrom(Map& entities, const std::string& id)
{
    return entities.erase(typename Map::key_type(id)) > 0;
}

bool hasScheme(const configuration& current, const std::string& id)
{
    return std::find(current.namingSchemes.begin(), current.namingSchemes.end(), id) != current.namingSchemes.end();
}

// Stores an entity in the collection of its kind.
struct entity_writer {
    configuration& target;

    void operator()(const naming_scheme& value) const
    {
        if (!hasScheme(target, value.id))
            target.namingSchemes.push_back(value.id);
    }
    void operator()(const pool& value) const { target.pools.insert_or_assign(value.id, value); }
    void operator()(const model& value) const { target.models.insert_or_assign(value.id, value); }
    void operator()(const instance& value) const { target.instances.insert_or_assign(value.id, value); }
    void operator()(const team& value) const { target.teams.insert_or_assign(value.id, value); }
    void operator()(const runner& value) const { target.runners.insert_or_assign(value.id, value); }
    void operator()(const service_route& value) const { target.routes.insert_or_assign(value.id, value); }
    void operator()(const rank_group& value) const { target.groups.insert_or_assign(value.id, value); }
};

}

entity_kind kindOf(const entity& value) { return static_cast<entity_kind>(value.index()); }

std::string idOf(const entity& value)
{
    return std::visit([](const auto& held) { return nameOf(held.id); }, value);
}

config_version changedAt(const entity& value)
{
    return std::visit(
        [](const auto& held) {
            if constexpr (requires { held.changedAt; })
                return held.changedAt;
            else
                return config_version();
        },
        value);
}

void setChangedAt(entity& value, config_version version)
{
    std::visit(
        [version](auto& held) {
            if constexpr (requires { held.changedAt; })
                held.changedAt = version;
        },
        value);
}

std::vector<entity> entitiesOf(const configuration& current)
{
    std::vector<entity> all;
    all.reserve(entityCount(current));
    visitEntities(current, 0, [&](const entity& value) {
        all.push_back(value);
        return true;
    });
    return all;
}

std::size_t entityCount(const configuration& current)
{
    return current.namingSchemes.size() + current.pools.size() + current.models.size() + current.instances.size()
        + current.teams.size() + current.runners.size() + current.routes.size() + current.groups.size();
}

void visitEntities(
    const configuration& current, std::size_t first, const std::function<bool(const entity&)>& visit)
{
    static_cast<void>(visitFrom(current.namingSchemes, first, visit) && visitFrom(current.pools, first, visit)
        && visitFrom(current.models, first, visit) && visitFrom(current.instances, first, visit)
        && visitFrom(current.teams, first, visit) && visitFrom(current.runners, first, visit)
        && visitFrom(current.routes, first, visit) && visitFrom(current.groups, first, visit));
}

std::optional<entity> findEntity(const configuration& current, entity_kind kind, const std::string& id)
{
    switch (kind) {
    case entity_kind::NamingScheme:
        return hasScheme(current, id) ? std::optional<entity>(naming_scheme { id }) : std::nullopt;
    case entity_kind::Pool:
        return findIn(current.pools, id);
    case entity_kind::Model:
        return findIn(current.models, id);
    case entity_kind::Instance:
        return findIn(current.instances, id);
    case entity_kind::Team:
        return findIn(current.teams, id);
    case entity_kind::Runner:
        return findIn(current.runners, id);
    case entity_kind::ServiceRoute:
        return findIn(current.routes, id);
    case entity_kind::RankGroup:
        return findIn(current.groups, id);
    }
    return std::nullopt;
}

void putEntity(configuration& target, const entity& value) { std::visit(entity_writer { target }, value); }

bool removeEntity(configuration& target, entity_kind kind, const std::string& id)
{
    switch (kind) {
    case entity_kind::NamingScheme:
        return std::erase(target.namingSchemes, id) > 0;
    case entity_kind::Pool:
        return eraseFrom(target.pools, id);
    case entity_kind::Model:
        return eraseFrom(target.models, id);
    case entity_kind::Instance:
        return eraseFrom(target.instances, id);
    case entity_kind::Team:
        return eraseFrom(target.teams, id);
    case entity_kind::Runner:
        return eraseFrom(target.runners, id);
    case entity_kind::ServiceRoute:
        return eraseFrom(target.routes, id);
    case entity_kind::RankGroup:
        return eraseFrom(target.groups, id);
    }
    return false;
}

}
