#pragma once

#include "expert_map/map_order.h"
#include "expert_map/map_order_result.h"
#include "expert_map/rank_status.h"
#include "state/time.h"

#include <vector>

namespace sardinelb {

// Counts what became of a coordinator's orders. An order without an answer is late if a report shows its effect afterwards, and
// lost if none does for as long as the ranks may take. Pure state machine.
class order_statistics {
public:
    enum class outcome {
        Answered,
        // Sent again while the result of the same order is not known.
        Repeated,
        Late,
        Lost,
    };

    // An outcome that has become known.
    struct event {
        map_order::kind action = map_order::kind::Prepare;
        outcome what = outcome::Answered;
    };

    void onSent(const map_order&);
    void onResult(const map_order&, map_order_result, time_point now);
    void onStatus(const rank_status&);

    // Returns the outcomes that have become known since the last call.
    std::vector<event> takeEvents(time_point now);

private:
    struct unanswered_order {
        map_order order;
        time_point since;
    };

    std::vector<unanswered_order> m_unanswered;
    std::vector<event> m_events;
};

}
