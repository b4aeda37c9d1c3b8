#pragma once

#include "serving/prompt_part_evidence.h"
#include "state/ids.h"
#include "state/time.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sardinelb {

class event_log;
namespace platform {
class store_client;
struct store_response;
}

// Keeps quarantined prompt parts in the store, so that they outlive a restart of all entries. While one entry lives, the others learn
// of them from its heartbeats. Calls are repeated until the store answers, and writes also after it was restored from a copy.
class quarantine_table {
public:
    using receiver = std::function<void(const std::vector<prompt_part_evidence>&)>;

    quarantine_table(const boost::asio::any_io_executor&, platform::store_client&, event_log&, receiver onLoaded);

    // Reads the table once.
    void load();

    // Stores a part that has just been quarantined.
    void save(const prompt_part_evidence&);

    // Stores again what the store may have lost.
    void onStoreRestored();

private:
    struct saved_row {
        std::string value;
        // End of the quarantine, after which the row is useless.
        time_point endsAt;
        // Restores of the store when it acknowledged the row. Nothing before.
        std::optional<store_epoch> storedIn;
    };

    void readPage(const std::string& after);
    void onPage(const std::string& after, const platform::store_response&);
    void write();
    bool isStored(const saved_row&) const;
    void onWritten(const std::string& key, const std::string& value, bool isDone);
    void retryLater();

    platform::store_client& m_store;
    event_log& m_log;
    receiver m_onLoaded;
    boost::asio::steady_timer m_readTimer;
    boost::asio::steady_timer m_writeTimer;
    // Rows of quarantines that have not ended, by their keys.
    std::map<std::string, saved_row> m_rows;
    bool m_isWriting = false;
};

}
