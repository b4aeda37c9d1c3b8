#include "fleet/quarantine_table.h"

#include "fleet/event_log.h"
#include "fleet/steady_time.h"
#include "platform/names.h"
#include "platform/quarantine_row.h"
#include "platform/store_client.h"

#include <algorithm>

namespace sardinelb {

namespace {

constexpr std::chrono::milliseconds readRetryPause { 300 };
constexpr std::chrono::milliseconds writeRetryPause { 500 };

}

quarantine_table::quarantine_table(const boost::asio::any_io_executor& executor, platform::store_client& store, event_log& log, receiver onLoaded)
    : m_store(store)
    , m_log(log)
    , m_onLoaded(std::move(onLoaded))
    , m_readTimer(executor)
    , m_writeTimer(executor)
{
}

void quarantine_table::load()
{
    readPage("");
}

void quarantine_table::readPage(const std::string& after)
{
    m_store.read(std::string(platform::quarantineTable), after, [this, after](const platform::store_response& response) { onPage(after, response); });
}

void quarantine_table::onPage(const std::string& after, const platform::store_response& response)
{
    if (response.result != platform::store_response::outcome::Done) {
        m_readTimer.expires_after(readRetryPause);
        m_readTimer.async_wait([this, after](const boost::system::error_code& error) {
            if (!error)
                readPage(after);
        });
        return;
    }
    std::vector<prompt_part_evidence> parts;
    const auto now = std::chrono::system_clock::now();
    for (const platform::store_row& row : response.rows) {
        const auto evidence = platform::readQuarantine(row.value, now);
        if (!evidence)
            m_log.write("quarantine_unreadable", { { "key", row.key } });
        else if (evidence->quarantineLeft > duration {})
            parts.push_back(*evidence);
    }
    if (!parts.empty())
        m_onLoaded(parts);
    if (response.hasMore && !response.rows.empty())
        readPage(response.rows.back().key);
}

void quarantine_table::save(const prompt_part_evidence& evidence)
{
    const std::string value = platform::encodeQuarantine(evidence, std::chrono::system_clock::now());
    m_rows[platform::quarantineKey(evidence)] = { value, steadyNow() + evidence.quarantineLeft, std::nullopt };
    write();
}

void quarantine_table::onStoreRestored()
{
    write();
}

bool quarantine_table::isStored(const saved_row& row) const
{
    return row.storedIn && *row.storedIn >= m_store.epoch();
}

void quarantine_table::write()
{
    std::erase_if(m_rows, [now = steadyNow()](const auto& row) { return now > row.second.endsAt; });
    const auto next = std::find_if(m_rows.begin(), m_rows.end(), [this](const auto& row) { return !isStored(row.second); });
    if (m_isWriting || next == m_rows.end())
        return;
    m_isWriting = true;
    const auto& [key, row] = *next;
    m_store.write({ std::string(platform::quarantineTable), key, row.value }, [this, key = key, value = row.value](bool isDone) { onWritten(key, value, isDone); });
}

void quarantine_table::onWritten(const std::string& key, const std::string& value, bool isDone)
{
    m_isWriting = false;
    if (!isDone) {
        m_log.write("quarantine_not_stored", { { "key", key } });
        retryLater();
        return;
    }
    // A later quarantine of the part may have replaced the row meanwhile.
    const auto known = m_rows.find(key);
    if (known != m_rows.end() && known->second.value == value)
        known->second.storedIn = m_store.epoch();
    write();
}

void quarantine_table::retryLater()
{
    m_writeTimer.expires_after(writeRetryPause);
    m_writeTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            write();
    });
}

}
