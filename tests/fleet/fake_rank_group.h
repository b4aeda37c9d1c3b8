#pragma once

#include "expert_map/map_order.h"
#include "expert_map/map_order_result.h"
#include "expert_map/rank_status.h"
#include "state/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace sardinelb::test {

// A group of ranks that run passes in lock-step and follow the platform's rules for orders. It checks before each pass that
// all ranks use the same map.
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
            isAccepted = order.version.value() > target.highest && !target.armed;
            if (isAccepted) {
                target.highest = order.version.value();
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
        }
        return isAccepted ? map_order_result::Accepted : map_order_result::Refused;
    }

    // Begins the next pass unless a rank holds it. Returns false if the ranks then use different maps.
    bool beginPass(time_point now)
    {
        finishCopies(now);
        const std::uint64_t next = m_step + 1;
        const bool isHeld = std::any_of(m_ranks.begin(), m_ranks.end(), [&](const rank& one) { return one.held == next; });
        if (isHeld)
            return true;
        m_step = next;
        m_lastPass = now;
        for (rank& one : m_ranks) {
            if (one.armed && one.armed->step == next) {
                one.map = one.armed->version;
                one.armed.reset();
                one.prepared.reset();
            }
        }
        return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const rank& one) { return one.map == m_ranks.front().map; });
    }

    rank_status status(rank_id number, time_point now)
    {
        finishCopies(now);
        const rank& one = m_ranks[number.value()];
        rank_status result;
        result.rank = number;
        result.epoch = 1;
        result.step = step_number(m_step);
        result.map = map_version(one.map);
        if (one.prepared)
            result.prepared = map_version(*one.prepared);
        if (one.armed)
            result.armed = map_version(one.armed->version);
        if (one.held)
            result.held = step_number(*one.held);
        result.experts = { { static_cast<expert_number>(number.value()) } };
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
        std::uint64_t highest = 0;
        std::optional<std::uint64_t> preparing;
        time_point preparedAt;
        std::optional<std::uint64_t> prepared;
        std::optional<armed_map> armed;
        std::optional<std::uint64_t> held;
    };

    static duration copyTime(const rank&, const map_order&) { return std::chrono::milliseconds(300); }

    void finishCopies(time_point now)
    {
        for (rank& one : m_ranks) {
            if (!one.preparing || now < one.preparedAt)
                continue;
            one.prepared = one.preparing;
            one.preparing.reset();
        }
    }

    std::vector<rank> m_ranks;
    std::uint64_t m_step = 0;
    time_point m_lastPass;
};

}
