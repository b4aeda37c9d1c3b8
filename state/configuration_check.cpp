#include "state/configuration_check.h"

#include "state/configuration.h"
#include "state/name_index.h"

#include <algorithm>

namespace sardinelb {

namespace {

std::string quoted(const std::string& text) { return "\"" + text + "\""; }

const char* nameOf(pool_kind kind) { return kind == pool_kind::Model ? "model" : "service"; }

// Finds dangling references and contradictions in one configuration.
class reference_validator {
public:
    reference_validator(const configuration& checked, std::string location)
        : m_checked(checked)
        , m_location(std::move(location))
    {
    }

    document_faults run()
    {
        checkAliases("team", m_checked.teams);
        checkAliases("model", m_checked.models);
        checkAliases("instance", m_checked.instances);
        for (const auto& [id, value] : m_checked.models)
            checkPool("model " + quoted(id.value()), value.pool, pool_kind::Model);
        for (const auto& [id, value] : m_checked.routes)
            checkPool("service " + quoted(id), value.pool, pool_kind::Service);
        for (const auto& [id, value] : m_checked.runners)
            checkRunner(value);
        for (const auto& [id, value] : m_checked.groups)
            checkGroup(value);
        return std::move(m_faults);
    }

private:
    void addFault(const std::string& referrer, const std::string& field, const std::string& value, std::string expected)
    {
        m_faults.push_back({ m_location + ": " + referrer, field, quoted(value), std::move(expected) });
    }

    template <typename Map>
    void checkAliases(const std::string& kind, const Map& entities)
    {
        const auto& schemes = m_checked.namingSchemes;
        for (const auto& [id, value] : entities) {
            for (const auto& [scheme, alias] : value.aliases) {
                if (std::find(schemes.begin(), schemes.end(), scheme) == schemes.end())
                    addFault(kind + " " + quoted(id.value()), "aliases", scheme, "expected a configured naming scheme");
            }
        }
    }

    void checkPool(const std::string& referrer, const pool_id& id, pool_kind kind)
    {
        const auto found = m_checked.pools.find(id);
        if (found == m_checked.pools.end())
            addFault(referrer, "pool", id.value(), "expected a configured pool");
        else if (found->second.kind != kind)
            addFault(referrer, "pool", id.value(), std::string("expected a pool of kind \"") + nameOf(kind) + "\"");
    }

    void checkRunner(const runner& value)
    {
        const std::string referrer = "runner " + quoted(value.id.value());
        if (!m_checked.pools.contains(value.pool))
            addFault(referrer, "pool", value.pool.value(), "expected a configured pool");
        const auto host = m_checked.instances.find(value.instance);
        if (host == m_checked.instances.end())
            addFault(referrer, "instance", value.instance.value(), "expected a configured instance");
        else if (host->second.zone != value.zone)
            addFault(referrer, "zone", value.zone.value(),
                "expected the zone of its instance, " + quoted(host->second.zone.value()));
    }

    void checkGroup(const rank_group& value)
    {
        const std::string referrer = "rank_group " + quoted(value.id.value());
        checkPool(referrer, value.pool, pool_kind::Model);
        for (const runner_id& rank : value.ranks) {
            const auto found = m_checked.runners.find(rank);
            if (found == m_checked.runners.end())
                addFault(referrer, "ranks", rank.value(), "expected a configured runner");
            else if (found->second.pool != value.pool)
                addFault(referrer, "ranks", rank.value(), "expected a runner of pool " + quoted(value.pool.value()));
        }
    }

    const configuration& m_checked;
    std::string m_location;
    document_faults m_faults;
};

}

document_faults configurationFaults(const configuration& checked, const std::string& location)
{
    document_faults faults = reference_validator(checked, location).run();
    for (const document_fault& collision : nameCollisions(checked, location))
        faults.push_back(collision);
    return faults;
}

}
