#pragma once

#include "fleet/fleet_message.h"
#include "platform/settings.h"
#include "serving/rank_load.h"
#include "state/ids.h"
#include "state/store_revision.h"
#include "state/time.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sardinelb {

class udp_socket;
class entry_context;
class event_log;
struct load_message;

// Exchanges heartbeats and load reports with the other entries and the agents. Entries find agents through the list of
// runners, and each other through the agents.
class entry_peers {
public:
    // Versions of the data that an entry holds.
    struct known_versions {
        config_version configuration;
        store_revision runnerList;
        std::uint64_t runnerDigest = 0;
        duration runnerListAge {};
    };

    struct hooks {
        std::function<known_versions()> localVersions;
        // Called with the versions that another entry holds.
        std::function<void(const std::string& ip, const known_versions&)> onPeerVersions;
    };

    entry_peers(boost::asio::io_context&, const platform::settings&, entry_context&, event_log&, hooks);
    ~entry_peers();

    // Returns false, with `problem` set, if the port cannot be bound.
    bool start(std::string& problem);

    // Tells all entries which versions this one holds, as after a change. Also runs twice a second.
    void sendVersions();

    // Tells all entries, and the agents of the followed runners, after a change of the list of runners. A runner gets requests
    // only when its agent has reported, so after a loss of all machines the next regular heartbeat would be late.
    void onRunnersChanged();

    // Whether this is one of the few entries that poll the list of runners from the store for all. Depends only on the
    // addresses of the live entries, so that all entries agree.
    bool isStorePoller() const;

    // Tells all entries and agents that this entry is stopping.
    void announceStop();

private:
    struct known_agent {
        rank_load load;
        std::string address;
        time_point lastHeardAt;
    };

    struct coordinator_candidate {
        std::string address;
        time_point heardAt;
        // When this entry itself heard of the agent. Only this is passed on, since every entry tells all others.
        time_point heardDirectlyAt;
    };

    void tick();
    void onDatagram(std::string_view bytes, const boost::asio::ip::udp::endpoint& from);
    void onHeartbeat(const entry_heartbeat_message&, const std::string& ip);
    void onLoadReport(const load_message&, const std::string& ip);
    void addEntry(const std::string& ip);
    entry_heartbeat_message createHeartbeat() const;
    void sendToAgents();
    void updateFollowedRunners();
    void removeSilent();
    // IP addresses of this entry and of all others that are alive.
    std::vector<std::string> liveEntries() const;
    void logGroups();
    void setGroup(entry_heartbeat_message&, const runner_id&, const pool_id&) const;
    std::vector<entry_heartbeat_message::member> candidatesOf(const group_id&) const;
    std::vector<entry_heartbeat_message::group_candidates> directCandidates() const;
    void addCandidate(const group_id&, rank_id, const std::string& address, time_point heardAt, bool isDirect);

    boost::asio::io_context& m_context;
    const platform::settings& m_settings;
    entry_context& m_entry;
    event_log& m_log;
    hooks m_hooks;
    std::shared_ptr<udp_socket> m_socket;
    boost::asio::steady_timer m_timer;
    // Other entries by IP address, with the time of their last heartbeat or first mention.
    std::map<std::string, time_point> m_entries;
    std::unordered_map<runner_id, known_agent> m_agents;
    // The lowest ranks of each group that are alive, as heard from their agents or from other entries.
    std::map<group_id, std::map<rank_id, coordinator_candidate>> m_candidates;
    double m_arrivalsPerSecond = 0;
    bool m_isStopping = false;
};

}
