#pragma once

#include "coordination/messages/peer_message.h"
#include "coordination/spread/config_spread.h"
#include "daemon/directory.h"
#include "daemon/entry_address.h"
#include "state/change_log.h"
#include "state/ids.h"
#include "state/table_service.h"
#include "state/time.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sardinelb {

// Keeps the daemon's configuration up to date. Performs the actions that config_spread decides on: table reads on the
// store thread and messages to peers. Runs on the decision thread unless a hook says otherwise.
class configuration_feed {
public:
    struct hooks {
        std::function<void(const daemon_id&, peer_message)> send;
        // Post work from the decision thread to the store thread, and from there back to the decision thread. Return
        // false if the queue is full.
        std::function<bool(std::function<void()>)> runOnStoreThread;
        std::function<bool(std::function<void(time_point)>)> runOnDecisionThread;
        // Called when a newer configuration becomes active.
        std::function<void(std::shared_ptr<const directory>)> onConfiguration;
    };

    configuration_feed(const config_spread_settings&, std::vector<entry_address>, table_service, hooks);
    ~configuration_feed();

    void start(time_point now);
    void tick(time_point now);
    void onPeerConnected(const daemon_id&);
    void onPeerLost(const daemon_id&);

    // Processes the configuration version of a frame and, if it is a configuration message, its content.
    void onMessage(const daemon_id& from, config_version, const peer_message&, time_point now);

    // Applies a committed change (JSON text) pushed by an operator. Returns whether this daemon has it and all
    // earlier changes.
    bool push(const std::string& change, time_point now);

private:
    void perform(const spread_actions&);
    void loadTable();
    void readTable(config_version after);
    void rewriteLostChanges();
    void logTableFault(const state_error&);
    void publish();
    void updatePeers();
    availability_zone_id zoneOf(const daemon_id&) const;

    config_spread m_spread;
    std::vector<entry_address> m_entries;
    // Used only on the store thread.
    std::shared_ptr<change_log> m_log;
    hooks m_hooks;
    std::vector<daemon_id> m_connected;
    std::shared_ptr<const directory> m_active;
    time_point m_nextTick {};
    bool m_isRewriting = false;
    // Last warning about lost changes, which recurs with every read of the table.
    std::string m_lastTableFault;
};

}
