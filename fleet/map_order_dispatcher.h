#pragma once

#include "expert_map/map_order.h"
#include "expert_map/map_order_result.h"
#include "fleet/delegated_order_message.h"
#include "fleet/delegated_result_message.h"
#include "state/ids.h"
#include "state/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace sardinelb {

// Delivers a coordinator's orders: through the agents of the ranks where that is quicker, and directly to the runner of a
// rank whose agent does not answer. Other orders than prepare also go directly if the agent has not answered within 40 ms. A prepare
// order that goes directly carries the whole map. In a large group these orders would fill the link and delay all others, so few of them are in flight at once, and no order is sent again while it is in
// flight. Pure state machine.
class map_order_dispatcher {
public:
    struct hooks {
        // Sends the order to the runner of its rank; ends with onDirectResult().
        std::function<void(const map_order&)> sendDirectly;
        // Sends a datagram to the agent of the order's rank. It may be lost.
        std::function<void(const delegated_order_message&)> sendToAgent;
        std::function<void(const map_order&, map_order_result)> onResult;
    };

    // `local` is the rank beside this coordinator, whose runner gets its orders directly. Orders are numbered from `firstId` on.
    // It must exceed the numbers that an earlier dispatcher at this address used: a late answer to one of its orders would be
    // taken for the answer to an order of this one, and a pass released before all ranks are armed.
    map_order_dispatcher(group_id, rank_id local, std::uint64_t firstId, hooks);

    // The ranks whose agents have not reported lately. Their runners get their orders directly.
    void setSilentRanks(std::vector<rank_id> ranks) { m_silent = std::move(ranks); }

    void dispatch(const map_order&, time_point now);
    void onDirectResult(const map_order&, map_order_result);
    void onDelegatedResult(const delegated_result_message&, time_point now);

    // Ends the orders that no agent has answered in time. Call ten times a second or more.
    void advance(time_point now);

private:
    struct pending_order {
        map_order order;
        time_point sentAt;
        bool isSentDirectly = false;
        // Whether the agent was given the difference from the round-robin placement, which needs no knowledge.
        bool isWhole = false;
    };

    bool isInFlight(const map_order&) const;
    bool isDelegable(const map_order&, time_point now) const;
    bool isAgentSilent(rank_id, time_point now) const;
    bool canSendWholeMap() const;
    void sendDirectly(const map_order&);
    void sendToAgent(const map_order&, bool isBaseKnown, time_point now);
    void computeDeltas(const map_order&);
    void setDelta(delegated_order_message&, const map_order&, bool isBaseKnown);

    group_id m_group;
    rank_id m_local;
    hooks m_hooks;
    std::uint64_t m_nextId;
    std::map<std::uint64_t, pending_order> m_pending;
    // Orders that runners have got directly and have not answered.
    std::vector<map_order> m_direct;
    // Orders in a row that the agent of a rank has not answered, and when it missed the last one.
    struct missed_orders {
        std::uint32_t count = 0;
        time_point lastAt;
    };
    std::map<rank_id, missed_orders> m_missed;
    std::vector<rank_id> m_silent;
    // The last differences computed, since all ranks get the same one.
    std::shared_ptr<const expert_placement> m_deltaTarget;
    std::size_t m_targetExperts = 0;
    placement_delta m_deltaFromRoundRobin;
    // Nothing if the order names no map in use.
    std::optional<placement_delta> m_deltaFromBase;
};

}
