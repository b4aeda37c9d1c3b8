#pragma once

#include "coordination/coordination_error.h"
#include "coordination/limits/limit_owner.h"
#include "coordination/limits/token_account.h"
#include "coordination/messages/lease_grants_message.h"
#include "coordination/messages/lease_requests_message.h"
#include "coordination/messages/limit_handover_message.h"
#include "coordination/messages/send_to_peer_action.h"
#include "coordination/queueing/request_cost.h"
#include "coordination/queueing/token_usage.h"
#include "state/derived_limits.h"
#include "state/ids.h"
#include "state/time.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace sardinelb {

// The limits of all teams as one entry keeps them together with the other entries: its own account, its part as limit
// owner, and the lease messages in both directions. Pure state machine; not safe for use from several threads.
class entry_limits {
public:
    // Returns the limits of a configured team, or nothing.
    using limits_lookup = std::function<std::optional<derived_limits>(const team_id&)>;

    entry_limits(daemon_id self, limits_lookup);

    // Replaces the names of all entries, this one among them.
    void setEntries(const std::vector<daemon_id>&, time_point now);

    void onEntryConnected(const daemon_id&, incarnation, time_point now);
    void onEntryLost(const daemon_id&, time_point now);

    // As in token_account.
    coordination_result<void> reserve(
        const request_id&, const team_id&, const derived_limits&, const request_cost&, time_point now);
    std::optional<time_point> waitDeadline(const request_id&) const;
    void settle(const request_id&, const token_usage&, time_point now);
    void release(const request_id&, time_point now);
    std::optional<duration> retryAfter(const team_id&, time_point now) const;

    // Handle messages of another entry. The second returns true when waiting requests should be tried again.
    void onMessage(const daemon_id& entry, const lease_requests_message&, time_point now);
    bool onMessage(const lease_grants_message&, time_point now);
    void onMessage(const limit_handover_message&, time_point now);

    // Returns the messages that have become due, one per entry and kind. `granted` is set when this entry granted a
    // lease to itself.
    std::vector<send_to_peer_action> takeMessages(time_point now, bool& granted);

private:
    struct peer {
        bool connected = false;
        incarnation number;
        time_point lostAt {};
    };

    void updateLiveEntries(time_point now);
    std::optional<lease_grant_message> answer(const lease_request_message&, incarnation, time_point now);

    daemon_id m_self;
    limits_lookup m_limitsOf;
    token_account m_account;
    limit_owner m_owner;
    std::map<daemon_id, peer> m_entries;
    std::vector<daemon_id> m_live;
    time_point m_nextHousekeeping {};
    std::vector<send_to_peer_action> m_answers;
};

}
