#pragma once

#include "expert_map/rank_status.h"
#include "state/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace sardinelb {

// What the agent beside the holding rank knows of the witnessed rank of each held pass. Only this agent gives that rank its arm order
// for the pass, so it can tell that the rank is not armed and never will be while the rank's machine cannot be reached. Pure
// state machine.
class arm_witness {
public:
    // Handles a report of the local rank. A process that finds a pass held when it starts does not know what an earlier one did.
    void onStatus(const rank_status&);

    // Whether the witnessed rank may be sent an arm order for the pass and version.
    bool mayArm(step_number, map_version) const;

    // An arm order for the pass is about to be sent.
    void onArmSent(step_number, map_version);

    // The rank has confirmed that it is armed.
    void onArmed(step_number, map_version);

    bool isArmed(step_number, map_version) const;

    // Ensures that no arm order is sent for the pass. Returns false if one has been sent, and nothing if an earlier process may
    // have sent one.
    std::optional<bool> seal(step_number);

private:
    struct sent_order {
        map_version version;
        bool isConfirmed = false;
    };

    bool m_isStarted = false;
    std::uint64_t m_epoch = 0;
    // The pass that was held when this process started.
    std::optional<step_number> m_unknownStep;
    std::map<step_number, sent_order> m_sent;
    std::set<step_number> m_sealed;
};

}
