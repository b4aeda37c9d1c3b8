#include "cli/acceptance.h"

#include "cli/cli_services.h"
#include "cli/cli_settings.h"
#include "cli/parallel_calls.h"
#include "cli/text_table.h"

#include <algorithm>

namespace sardinelb {

namespace {

// An entry that lacks earlier changes fetches them after the first push and confirms the change in a later round.
constexpr int maxPushRounds = 5;
constexpr duration pushRetryDelay = std::chrono::milliseconds(400);
// Rounds after which a zone without any response is given up; each round may last until many calls have timed out.
constexpr int maxUnreachableRounds = 2;

// One entry and its responses so far.
struct push_state {
    availability_zone_id zone;
    std::string address;
    bool hasResponded = false;
    bool hasChange = false;
};

std::vector<push_state> initialStates(const cli_settings& settings)
{
    std::vector<push_state> states;
    for (const auto& [zone, addresses] : settings.entries) {
        for (const std::string& address : addresses)
            states.push_back({ zone, address });
    }
    return states;
}

void pushTo(push_state& state, const std::vector<configuration_change>& changes, const cli_services& services)
{
    bool hasChange = false;
    for (const configuration_change& change : changes) {
        const auto response = services.push(state.address, change);
        if (!response)
            return;
        state.hasResponded = true;
        hasChange = response.value();
    }
    state.hasChange = hasChange;
}

void pushRound(
    std::vector<push_state>& states, const std::vector<configuration_change>& changes, const cli_services& services)
{
    std::vector<push_state*> pending;
    for (push_state& state : states) {
        if (!state.hasChange)
            pending.push_back(&state);
    }
    callInParallel(pending.size(), [&](std::size_t index) { pushTo(*pending[index], changes, services); });
}

acceptance count(const std::vector<push_state>& states)
{
    acceptance result;
    for (const push_state& state : states) {
        if (result.zones.empty() || result.zones.back().zone != state.zone)
            result.zones.push_back({ state.zone });
        zone_acceptance& zone = result.zones.back();
        ++zone.entries;
        zone.answered += state.hasResponded ? 1 : 0;
        zone.holding += state.hasChange ? 1 : 0;
    }
    return result;
}

}

exit_code acceptance::code() const
{
    const auto isUnreachable = [](const zone_acceptance& zone) { return zone.isUnreachable(); };
    const auto isUnreachableOrAccepted
        = [](const zone_acceptance& zone) { return zone.isUnreachable() || zone.isAccepted(); };
    if (!std::all_of(zones.begin(), zones.end(), isUnreachableOrAccepted))
        return exit_code::NotAccepted;
    if (std::all_of(zones.begin(), zones.end(), isUnreachable))
        return exit_code::NotAccepted;
    if (std::any_of(zones.begin(), zones.end(), isUnreachable))
        return exit_code::ZoneUnreachable;
    return exit_code::Success;
}

std::string acceptance::describe() const
{
    std::vector<std::vector<std::string>> rows { { "ZONE", "ENTRIES", "HOLDING", "STATE" } };
    for (const zone_acceptance& zone : zones) {
        const char* state = zone.isUnreachable() ? "unreachable" : zone.isAccepted() ? "accepted"
                                                                                     : "not accepted";
        rows.push_back(
            { zone.zone.value(), std::to_string(zone.entries), std::to_string(zone.holding), state });
    }
    return formatTable(rows);
}

acceptance pushChanges(
    const std::vector<configuration_change>& changes, const cli_settings& settings, const cli_services& services)
{
    std::vector<push_state> states = initialStates(settings);
    for (int round = 0; round < maxPushRounds; ++round) {
        if (round > 0)
            services.sleep(pushRetryDelay);
        pushRound(states, changes, services);
        const exit_code code = count(states).code();
        const bool shouldGiveUp = code == exit_code::ZoneUnreachable && round + 1 >= maxUnreachableRounds;
        if (code == exit_code::Success || shouldGiveUp)
            break;
    }
    return count(states);
}

}
