#pragma once

#include "expert_map/map_order.h"
#include "expert_map/map_order_result.h"
#include "expert_map/rank_status.h"
#include "state/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sardinelb::test {

// Simulates a group of ranks that run passes in lockstep and follow the platform's rules for orders. Checks at the beginning
// of each pass that all ranks use the same map.
class fake_rank_group {
public:
    explicit fake_rank_group(std::uint32_t size)
        : m_ranks(size)
    {
    }

    map_order_result apply(const map_order& order, time_point now)
    {
        rank& target = m_ranks[order.rank.value()];
        bool isAccepted = false;
        switch (order.action) {
        case map_order::kind::Prepare:
            isAccepted = order.version.value() > target.highestVersion && !target.armed && isWholeMap(order);
            if (isAccepted) {
                target.highestVersion = order.version.value();
                target.preparing = order.version.value();
                target.preparedAt = now + copyTime(target, order);
                target.prepared.reset();
            }
            break;
        case map_order::kind::Arm:
            finishCopies(now);
            isAccepted = target.prepared == order.version.value() && order.step.value() > m_step;
            if (isAccepted)
                target.armed = armed_map { order.version.value(), order.step.value() };
            break;
        case map_order::kind::Disarm:
            isAccepted = target.map != order.version.value();
            if (target.armed && target.armed->version == order.version.value())
                target.armed.reset();
            break;
        case map_order::kind::Hold:
            isAccepted = order.step.value() > m_step && (!target.held || target.held == order.step.value());
            if (isAccepted)
                target.held = order.step.value();
            break;
        case map_order::kind::Release:
            isAccepted = true;
            if (target.held == order.step.value())
                target.held.reset();
            break;
        case map_order::kind::Seal:
            break;
        }
        return isAccepted ? map_order_result::Accepted : map_order_result::Refused;
    }

    // Begins the next pass unless a rank holds it. Returns false if the ranks use different maps in that pass.
    bool beginPass(time_point now)
    {
        finishCopies(now);
        const std::uint64_t next = m_step + 1;
        const bool isHeld = std::any_of(m_ranks.begin(), m_ranks.end(), [&](const rank& each) { return each.held == next; });
        if (isHeld)
            return true;
        m_step = next;
        m_lastPass = now;
        for (rank& each : m_ranks) {
            if (each.armed && each.armed->step == next) {
                each.map = each.armed->version;
                each.armed.reset();
                each.prepared.reset();
            }
        }
        return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const rank& each) { return each.map == m_ranks.front().map; });
    }

    rank_status status(rank_id number, time_point now)
    {
        finishCopies(now);
        const rank& source = m_ranks[number.value()];
        rank_status result;
        result.rank = number;
        result.epoch = 1;
        result.step = step_number(m_step);
        result.map = map_version(source.map);
        if (source.prepared)
            result.prepared = map_version(*source.prepared);
        if (source.armed)
            result.armed = map_version(source.armed->version);
        if (source.armed)
            result.armedStep = step_number(source.armed->step);
        if (source.held)
            result.held = step_number(*source.held);
        result.isWitness = true;
        result.expertsBySet = { { static_cast<expert_number>(number.value()) } };
        return result;
    }

    std::uint64_t mapInUse() const { return m_ranks.front().map; }
    time_point lastPass() const { return m_lastPass; }
    std::uint32_t size() const { return static_cast<std::uint32_t>(m_ranks.size()); }

private:
    struct armed_map {
        std::uint64_t version;
        std::uint64_t step;
    };

    struct rank {
        std::uint64_t map = 0;
        std::uint64_t highestVersion = 0;
        std::optional<std::uint64_t> preparing;
        time_point preparedAt;
        std::optional<std::uint64_t> prepared;
        std::optional<armed_map> armed;
        std::optional<std::uint64_t> held;
    };

    // Whether the map names the experts of each rank, and each expert is on a rank.
    bool isWholeMap(const map_order& order) const
    {
        if (!order.placement || order.placement->sets.size() != 1 || order.placement->sets.front().size() != m_ranks.size())
            return false;
        std::set<expert_number> placed;
        for (const auto& experts : order.placement->sets.front())
            placed.insert(experts.begin(), experts.end());
        return placed.size() == m_ranks.size();
    }

    static duration copyTime(const rank&, const map_order&) { return std::chrono::milliseconds(300); }

    void finishCopies(time_point now)
    {
        for (rank& each : m_ranks) {
            if (!each.preparing || now < each.preparedAt)
                continue;
            each.prepared = each.preparing;
            each.preparing.reset();
        }
    }

    std::vector<rank> m_ranks;
    std::uint64_t m_step = 0;
    time_point m_lastPass;
};

}
