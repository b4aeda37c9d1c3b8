#pragma once

#include "state/configuration.h"
#include "state/document_fault.h"
#include "state/ids.h"
#include "state/state_error.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace sardinelb {

// Finds entities by canonical name, by an alias of any naming scheme, by bearer key and by request path. All names of
// teams share one namespace, as do those of instances and of models. Immutable once built.
class name_index {
public:
    // Builds the index of a configuration. Error: NameCollision; the detail names both owners of every collision.
    static state_result<name_index> build(const configuration&);

    std::optional<team_id> findTeam(std::string_view name) const;
    std::optional<instance_id> findInstance(std::string_view name) const;
    std::optional<model_id> findModel(std::string_view name) const;

    // Finds the team of a bearer key by the key's SHA-256 digest in lower-case hexadecimal digits.
    std::optional<team_id> findTeamByKeyDigest(std::string_view digest) const;

    // Finds the route of the method with the longest prefix of the path. The pointer is valid as long as the index.
    const service_route* findRoute(std::string_view method, std::string_view path) const;

private:
    // Hashes string views, so that lookups need no copy.
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>()(text); }
    };
    template <typename Id>
    using id_map = std::unordered_map<std::string, Id, text_hash, std::equal_to<>>;

    template <typename Id>
    static std::optional<Id> find(const id_map<Id>&, std::string_view);

    id_map<team_id> m_teams;
    id_map<instance_id> m_instances;
    id_map<model_id> m_models;
    id_map<team_id> m_keyDigests;
    // Routes with longer prefixes first.
    std::vector<service_route> m_routes;
};

// Returns every name and key digest that two entities of one kind claim.
document_faults nameCollisions(const configuration&, const std::string& location);

}
