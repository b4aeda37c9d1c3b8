#pragma once

#include "expert_map/map_order.h"
#include "fleet/delegated_order_message.h"
#include "state/ids.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>

namespace sardinelb {

// An agent's knowledge of its group's maps, from which it completes the orders that a coordinator delegates to it. Pure state
// machine.
class map_order_executor {
public:
    // The order to give to the runner. Nothing if it refers to a map that is not known here, or whose content is another one for the
    // coordinator, so that the result is not the map that the version stands for.
    std::optional<map_order> complete(const delegated_order_message&);

    // Records the map of a prepare order that the runner is about to get, and may take later without an answer. Maps other than the
    // last few and `inUse` are forgotten. Ignored for a version without a digest, which may stand for several maps.
    void onPrepareSent(const map_order&, map_version inUse);

    // The same once the runner has taken the map.
    void onPrepared(const map_order&, map_version inUse);

    // The map of this version, or nullptr if it is not known here.
    std::shared_ptr<const expert_placement> placementOf(std::uint64_t epoch, map_version) const;

private:
    std::uint64_t m_epoch = 0;
    std::map<map_version, std::shared_ptr<const expert_placement>> m_placements;
};

}
