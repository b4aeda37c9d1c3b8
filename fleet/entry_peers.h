#pragma once

#include "platform/settings.h"
#include "serving/rank_load.h"
#include "state/ids.h"
#include "state/time.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sardinelb {

class datagram_port;
class entry_context;
class event_log;
struct entry_beat_message;
struct load_message;

// What an entry says to and hears from the other entries and the agents. Entries find agents by the list of runners, and
// each other through the agents.
class entry_peers {
public:
    // Versions that an entry knows.
    struct knowledge {
        config_version configuration;
        row_revision runnerList;
        std::uint64_t runnerDigest = 0;
        duration listAge {};
    };

    struct hooks {
        std::function<knowledge()> own;
        // Another entry knows these versions.
        std::function<void(const std::string& ip, const knowledge&)> peerKnows;
    };

    entry_peers(boost::asio::io_context&, const platform::settings&, entry_context&, event_log&, hooks);
    ~entry_peers();

    // Returns false, with `problem` set, if the port cannot be bound.
    bool start(std::string& problem);

    // Tells all at once, as after a change. Repeated twice a second.
    void tellAll();

    // Whether this is one of the few entries that read the list of runners for all. It follows from the addresses of the
    // entries that live, so that all come to the same result.
    bool isReader() const;

    // Tells all that this entry is leaving.
    void leave();

private:
    struct agent_seen {
        rank_load load;
        std::string address;
        time_point at;
    };

    void tick();
    void received(std::string_view bytes, const boost::asio::ip::udp::endpoint& from);
    void beatArrived(const entry_beat_message&, const std::string& ip);
    void loadArrived(const load_message&, const std::string& ip);
    void noteEntry(const std::string& ip);
    void tellAgents(const entry_beat_message&);
    void tellEntries(const entry_beat_message&);
    void forgetSilent();
    void logGroups();
    void fillGroup(entry_beat_message&, const runner_id&, const pool_id&) const;

    boost::asio::io_context& m_context;
    const platform::settings& m_settings;
    entry_context& m_entry;
    event_log& m_log;
    hooks m_hooks;
    std::shared_ptr<datagram_port> m_port;
    boost::asio::steady_timer m_timer;
    // Entries by IP number, with the time when they were last heard of.
    std::map<std::string, time_point> m_entries;
    std::unordered_map<runner_id, agent_seen> m_agents;
    bool m_isLeaving = false;
};

}
