#include "state/name_index.h"

#include <algorithm>

namespace sardinelb {

namespace {

// Calls `use(name, id, origin)` for the canonical name and all aliases of every entity.
template <typename Map, typename Use>
void forEachName(const Map& entities, const Use& use)
{
    for (const auto& [id, value] : entities) {
        use(id.value(), id, std::string("canonical name"));
        for (const auto& [scheme, alias] : value.aliases)
            use(alias, id, "alias in " + scheme);
    }
}

// Finds names that two entities of one kind claim.
class collision_check {
public:
    collision_check(std::string location, std::string kind, document_faults& faults)
        : m_location(std::move(location))
        , m_kind(std::move(kind))
        , m_faults(faults)
    {
    }

    void claim(const std::string& name, const std::string& owner, const std::string& origin)
    {
        const auto [first, inserted] = m_claims.try_emplace(name, owner, origin);
        if (inserted || first->second.first == owner)
            return;
        const auto& [otherOwner, otherOrigin] = first->second;
        m_faults.push_back({ m_location + ": " + m_kind + " \"" + owner + "\"", origin, "\"" + name + "\"",
            "already used by " + m_kind + " \"" + otherOwner + "\" (" + otherOrigin + ")",
            state_errc::NameCollision });
    }

private:
    std::string m_location;
    std::string m_kind;
    document_faults& m_faults;
    // Owner and origin of each name.
    std::unordered_map<std::string, std::pair<std::string, std::string>> m_claims;
};

template <typename Map>
void checkNames(const Map& entities, const std::string& location, const std::string& kind, document_faults& faults)
{
    collision_check check(location, kind, faults);
    forEachName(entities, [&](const std::string& name, const auto& id, const std::string& origin) {
        check.claim(name, id.value(), origin);
    });
}

}

document_faults nameCollisions(const configuration& checked, const std::string& location)
{
    document_faults faults;
    checkNames(checked.teams, location, "team", faults);
    checkNames(checked.instances, location, "instance", faults);
    checkNames(checked.models, location, "model", faults);
    collision_check keys(location, "team", faults);
    for (const auto& [id, value] : checked.teams) {
        for (const std::string& digest : value.keyDigests)
            keys.claim(digest, id.value(), "key digest");
    }
    return faults;
}

state_result<name_index> name_index::build(const configuration& current)
{
    const document_faults faults = nameCollisions(current, "configuration");
    if (!faults.empty())
        return toStateError(faults);
    name_index index;
    const auto addTo = [](auto& names) {
        return [&names](const std::string& name, const auto& id, const std::string&) { names.emplace(name, id); };
    };
    forEachName(current.teams, addTo(index.m_teams));
    forEachName(current.instances, addTo(index.m_instances));
    forEachName(current.models, addTo(index.m_models));
    for (const auto& [id, value] : current.teams) {
        for (const std::string& digest : value.keyDigests)
            index.m_keyDigests.emplace(digest, id);
    }
    for (const auto& [id, route] : current.routes)
        index.m_routes.push_back(route);
    const auto isLonger = [](const service_route& left, const service_route& right) {
        return left.pathPrefix.size() > right.pathPrefix.size();
    };
    std::stable_sort(index.m_routes.begin(), index.m_routes.end(), isLonger);
    return index;
}

template <typename Id>
std::optional<Id> name_index::find(const id_map<Id>& names, std::string_view name)
{
    const auto found = names.find(name);
    if (found == names.end())
        return std::nullopt;
    return found->second;
}

std::optional<team_id> name_index::findTeam(std::string_view name) const { return find(m_teams, name); }

std::optional<instance_id> name_index::findInstance(std::string_view name) const { return find(m_instances, name); }

std::optional<model_id> name_index::findModel(std::string_view name) const { return find(m_models, name); }

std::optional<team_id> name_index::findTeamByKeyDigest(std::string_view digest) const
{
    return find(m_keyDigests, digest);
}

const service_route* name_index::findRoute(std::string_view method, std::string_view path) const
{
    for (const service_route& route : m_routes) {
        if (route.method == method && path.starts_with(route.pathPrefix))
            return &route;
    }
    return nullptr;
}

}
