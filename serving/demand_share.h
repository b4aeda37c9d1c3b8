#pragma once

#include "state/time.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace sardinelb {

// Shares out the model runners among the entries by the requests that each gets. Callers are spread unevenly over the entries
// and move between them within seconds. Pure state machine.
class demand_share {
public:
    // Records that a caller's request for a model runner arrived at this entry.
    void onArrival() { ++m_arrivals; }

    // Must be called at regular intervals. Returns the recent arrivals a second at this entry.
    double update(time_point now);

    // Records the arrivals a second that another entry has told.
    void onPeer(const std::string& entry, double arrivalsPerSecond) { m_peers[entry] = arrivalsPerSecond; }
    void removePeer(const std::string& entry) { m_peers.erase(entry); }

    // This entry's share of the arrivals of all entries, from 0 to 1. Equal shares while nothing arrives.
    double share() const;

    // The shares of all entries by address. `self` is the address of this one.
    std::unordered_map<std::string, double> shares(const std::string& self) const;

private:
    double totalArrivalsPerSecond() const;
    double shareOf(double arrivalsPerSecond, double total) const;

    std::uint32_t m_arrivals = 0;
    double m_arrivalsPerSecond = 0;
    time_point m_updatedAt;
    std::unordered_map<std::string, double> m_peers;
};

}
