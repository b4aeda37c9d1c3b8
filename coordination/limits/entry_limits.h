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

// Enforces the limits of all teams at one entry, together with the other entries: contains the entry's own account and
// its role as limit owner, and handles the lease messages in both directions. Pure state machine; not thread-safe.
class entry_limits {
public:
    // Returns the limits of a team, or nothing if the team is not configured.
    using limits_lookup = std::function<std::optional<derived_limits>(const team_id&)>;

    entry_limits(daemon_id self, limits_lookup);

    // Replaces the names of all entries, including this one.
    void setEntries(const std::vector<daemon_id>&, time_point now);

    void onEntryConnected(const daemon_id&, incarnation, time_point now);
    void onEntryLost(const daemon_id&, time_point now);

    // See token_account.
    coordination_result<void> reserve(
        const request_id&, const team_id&, const derived_limits&, const request_cost&, time_point now);
    std::optional<time_point> waitDeadline(const request_id&) const;
    void settle(const request_id&, const token_usage&, time_point now);
    void release(const request_id&, time_point now);
    std::optional<duration> retryAfter(const team_id&, time_point now) const;

    // Handle messages from another entry. The overload for grants returns true if waiting requests should be retried.
    void onMessage(const daemon_id& entry, const lease_requests_message&, time_point now);
    bool onMessage(const lease_grants_message&, time_point now);
    void onMessage(const limit_handover_message&, time_point now);

    // Returns the messages that are due, one per entry and kind. Sets `granted` to true if this entry granted a lease
    // to itself.
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
    std::vector<daemon_id> m_liveEntries;
    time_point m_nextHousekeeping {};
    std::vector<send_to_peer_action> m_outgoing;
};

}
