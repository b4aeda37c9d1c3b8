#include "fleet/entry_process.h"

#include "fleet/broken_answer_log.h"
#include "fleet/entry_context.h"
#include "fleet/entry_peers.h"
#include "fleet/event_log.h"
#include "fleet/http_listener.h"
#include "fleet/peer_ports.h"
#include "fleet/process_metrics.h"
#include "fleet/quarantine_table.h"
#include "fleet/request_relay.h"
#include "fleet/request_totals.h"
#include "fleet/steady_time.h"
#include "platform/configuration_row.h"
#include "platform/names.h"
#include "platform/request_translation.h"
#include "platform/runner_row.h"
#include "platform/store_client.h"
#include "platform/table_follower.h"
#include "relay/http_request_message.h"
#include "relay/memory_budget.h"
#include "serving/list_reconciliation.h"
#include "serving/route_index.h"
#include "serving/runner_listing.h"
#include "serving/serving_configuration.h"

#include <algorithm>
#include <map>
#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace sardinelb {

namespace {

// The configuration changes rarely, so it is read by long polls. A dead connection is detected after this time.
constexpr std::chrono::milliseconds configurationLongPollTimeout { 1200 };

constexpr std::chrono::milliseconds configurationPollPause { 60 };

// Every heartbeat of a runner changes the table, so a long poll would return at once; calls are spaced by this pause
// instead. A runner that leaves is noticed within a third of the time that the platform allows.
constexpr std::chrono::milliseconds runnerListPollPause { 550 };

// A stopping entry accepts new connections until the platform's load balancer has noticed that it is not ready.
constexpr std::chrono::milliseconds drainDelay { 2600 };

// Entries that rely on others to poll the list of runners poll it themselves when it has not been confirmed for this long.
constexpr std::chrono::milliseconds runnerListTimeout { 1100 };

// An entry reads a table from one other entry at a time, and from the next one if the first has not answered by then.
constexpr duration peerReadTimeout = std::chrono::milliseconds(400);

// An entry rejects table reads while those before take longer than this to send. Entries that have just got the table tell the
// others, so that a large one spreads over the links of all instead of waiting for that of the first.
constexpr duration maxTableBacklog = std::chrono::milliseconds(200);

constexpr std::chrono::milliseconds stopCheckInterval { 100 };

// A stopping entry ends the remaining requests this long before the platform would kill it.
constexpr std::chrono::milliseconds stopMargin { 400 };

// Time to send the last responses.
constexpr std::chrono::milliseconds finalFlushTime { 100 };

// Heartbeats carry the names of evacuated zones, and must fit into one datagram.
constexpr std::size_t maxZoneNameLength = 64;

std::int64_t epochField(const store_revision& revision)
{
    return static_cast<std::int64_t>(revision.epoch.value());
}

std::int64_t revisionField(const store_revision& revision)
{
    return static_cast<std::int64_t>(revision.revision.value());
}

}

struct entry_process::implementation : std::enable_shared_from_this<implementation> {
    implementation(boost::asio::io_context& io, platform::settings values, event_log& events)
        : context(io)
        , options(std::move(values))
        , log(events)
        , brokenAnswers(events, metrics)
        , store(io.get_executor(), options.storeAddress, [this](std::string_view question, std::string_view reason) { brokenAnswers.record(question, reason); })
        , entry(io.get_executor(), options, log, metrics)
        , peers(io, options, entry, log, entry_peers::hooks { [this] { return localVersions(); }, [this](const std::string& ip, const entry_peers::known_versions& versions) { onPeerVersions(ip, versions); } })
        , quarantines(io.get_executor(), store, log, [this](const std::vector<prompt_part_evidence>& parts) { entry.promptGuard().onEvidence(parts); })
        , listingTimer(io)
        , stopTimer(io)
    {
    }

    boost::asio::io_context& context;
    platform::settings options;
    event_log& log;
    process_metrics metrics;
    broken_answer_log brokenAnswers;
    platform::store_client store;
    entry_context entry;
    entry_peers peers;
    quarantine_table quarantines;
    runner_listing listing;
    // Rows of the newest configuration and of the runners, served to peers.
    std::map<std::string, platform::store_row> configurationRows;
    std::map<std::string, platform::store_row> runnerRows;
    // Read of a table from another entry.
    struct peer_read {
        std::unique_ptr<platform::store_client> client;
        time_point startedAt;
    };
    // The last read of each table from another entry, while it is in progress.
    std::map<std::string, peer_read> peerReads;
    // When the link will have sent the tables that other entries have read.
    time_point tablesSentAt;
    // What callers may use together.
    std::shared_ptr<memory_budget> callerMemory;
    std::shared_ptr<http_listener> callerServer;
    std::shared_ptr<http_listener> statusServer;
    std::shared_ptr<http_listener> tableServer;
    std::shared_ptr<platform::table_follower> configurationFollower;
    std::shared_ptr<platform::table_follower> runnerFollower;
    boost::asio::steady_timer listingTimer;
    boost::asio::steady_timer stopTimer;
    std::uint64_t appliedDigest = 0;
    bool hasRunnerList = false;
    bool isStopping = false;
    // Other entries serve no rows of evacuations; those come with heartbeats.
    bool isTakingPeerTable = false;
    // What the rows of the operator's table were last complete up to.
    store_revision operatorRevision;
    time_point stopStartedAt;

    bool start();
    // Reads again what a restore of the store concerns.
    void onStoreRestored(store_epoch before, store_epoch now);
    // Hooks that log what a follower of a table cannot use.
    platform::table_follower::hooks followerHooks(const char* name);
    bool listen(std::shared_ptr<http_listener>&, http_server_connection::hooks, const std::string& address);
    http_server_connection::hooks callerServerHooks();
    http_server_connection::hooks statusServerHooks();
    // Whether this entry polls the store itself; otherwise it learns of changes from the entries that do.
    bool isPollingNeeded() const;
    void followConfiguration();
    void followRunners();
    void onConfigurationRows(const std::vector<platform::store_row>&);
    void onEvacuationRows(const std::vector<platform::store_row>&, bool isFullSnapshot, store_revision);
    // Puts a configuration in force unless it is older than the one in force, as after a restore of the store.
    void takeConfiguration(const platform::store_row&, const std::shared_ptr<const serving_configuration>&);
    void onPeerTable(std::string_view table, const platform::store_response&, platform::table_follower&);
    void onRunnerRows(const std::vector<platform::store_row>&, bool isFullSnapshot, store_epoch);
    // Updates the rows that peers read. Rows of `ignored` runners stay as they are.
    void updateRunnerRows(const std::vector<platform::store_row>&, bool isFullSnapshot, const std::vector<runner_id>& ignored);
    void applyListing();
    void onStoreReachabilityChanged(const char* table, bool isReachable);
    bool isReady() const;
    entry_peers::known_versions localVersions() const;
    void onPeerVersions(const std::string& ip, const entry_peers::known_versions&);
    void readFromPeer(const std::string& ip, std::string_view table, platform::table_follower&);
    http_server_connection::hooks tableServerHooks();
    void sendTable(const std::shared_ptr<http_server_connection>&, const std::map<std::string, platform::store_row>& rows, store_revision);
    void updateMemoryMetrics();
    void respondWithStatus(const std::shared_ptr<http_server_connection>&, const http_request_message&);
    void stop();
    void advanceStop();
    // Ends the remaining requests and then the process.
    void endStop();
};

bool entry_process::implementation::start()
{
    if (!listen(statusServer, statusServerHooks(), options.readyAddress) || !listen(callerServer, callerServerHooks(), options.callerAddress))
        return false;
    callerMemory = std::make_shared<memory_budget>(callerLimitsFor(options.memoryBytes, options.descriptors));
    callerServer->setMemoryBudget(callerMemory);
    const std::string tableAddress = options.ip + ":" + std::to_string(options.firstPeerPort + entryTablePortOffset);
    if (!listen(tableServer, tableServerHooks(), tableAddress))
        return false;
    store.setEpochHandler([this](store_epoch before, store_epoch now) { onStoreRestored(before, now); });
    followConfiguration();
    followRunners();
    entry.promptGuard().setQuarantineHandler([this](const prompt_part_evidence& part) { quarantines.save(part); });
    quarantines.load();
    std::string problem;
    if (peers.start(problem))
        return true;
    log.write("listen_failed", { { "problem", problem } });
    return false;
}

bool entry_process::implementation::listen(std::shared_ptr<http_listener>& server, http_server_connection::hooks hooks, const std::string& address)
{
    server = std::make_shared<http_listener>(context.get_executor(), std::move(hooks));
    std::string problem;
    if (server->listen(address, problem))
        return true;
    log.write("listen_failed", { { "address", address }, { "problem", problem } });
    return false;
}

http_server_connection::hooks entry_process::implementation::callerServerHooks()
{
    http_server_connection::hooks hooks;
    hooks.onRequest = [this](const std::shared_ptr<http_server_connection>& caller, http_request_message&& message) {
        std::make_shared<request_relay>(entry, caller, platform::readRequest(std::move(message)))->start();
    };
    hooks.onRejected = [this](int code, const char* why) {
        log.write("bad_request", { { "status", static_cast<std::int64_t>(code) }, { "why", why } });
        metrics.count("bad_request");
    };
    hooks.onEvicted = [this](eviction_reason reason) {
        log.write("connection_evicted", { { "reason", nameOf(reason) }, { "used_bytes", static_cast<std::int64_t>(callerMemory->usedBytes()) }, { "connections", static_cast<std::int64_t>(callerMemory->connectionCount()) } });
        metrics.count(std::string("evicted_") + nameOf(reason));
    };
    return hooks;
}

http_server_connection::hooks entry_process::implementation::statusServerHooks()
{
    http_server_connection::hooks hooks;
    hooks.onRequest = [this](const std::shared_ptr<http_server_connection>& caller, http_request_message&& message) {
        respondWithStatus(caller, message);
    };
    hooks.onRejected = [](int, const char*) {};
    return hooks;
}

void entry_process::implementation::updateMemoryMetrics()
{
    for (int use = 0; use < memoryUses; ++use)
        metrics.setMemory(nameOf(static_cast<memory_use>(use)), callerMemory->usedBytes(static_cast<memory_use>(use)));
}

void entry_process::implementation::respondWithStatus(const std::shared_ptr<http_server_connection>& caller, const http_request_message& message)
{
    if (message.target == "/metrics") {
        updateMemoryMetrics();
        metrics.setLoadSpreads(entry.runners().loadSpreads(steadyNow()));
        caller->respond(200, "Content-Type: text/plain; version=0.0.4\r\n", metrics.text());
    } else if (message.target == platform::readinessPath)
        caller->respond(isReady() ? 200 : 503, "", "");
    else
        caller->respond(404, "", "");
}

http_server_connection::hooks entry_process::implementation::tableServerHooks()
{
    http_server_connection::hooks hooks;
    hooks.onRequest = [this](const std::shared_ptr<http_server_connection>& caller, http_request_message&& message) {
        const std::string table = platform::requestedTable(message.target);
        if (table == platform::configurationTable)
            sendTable(caller, configurationRows, configurationFollower->revision());
        else if (table == platform::runnerTable)
            sendTable(caller, runnerRows, runnerFollower->revision());
        else
            caller->respond(404, "", "");
    };
    hooks.onRejected = [](int, const char*) {};
    return hooks;
}

void entry_process::implementation::sendTable(const std::shared_ptr<http_server_connection>& caller, const std::map<std::string, platform::store_row>& rows, store_revision revision)
{
    const time_point now = steadyNow();
    tablesSentAt = std::max(tablesSentAt, now);
    if (tablesSentAt - now > maxTableBacklog) {
        metrics.count("table_read_rejected");
        caller->respond(503, "", "");
        return;
    }
    std::vector<platform::store_row> copies;
    copies.reserve(rows.size());
    for (const auto& [key, row] : rows)
        copies.push_back(row);
    const std::string body = platform::encodeRows(copies, revision.revision);
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMegabit = 1e6;
    tablesSentAt += std::chrono::duration_cast<duration>(std::chrono::duration<double>(static_cast<double>(body.size()) * bitsPerByte / (options.linkMegabitsPerSecond * bitsPerMegabit)));
    caller->respond(200, platform::epochFieldLine(revision.epoch), body);
}

entry_peers::known_versions entry_process::implementation::localVersions() const
{
    return { entry.configurationVersion(), runnerFollower->revision(), listing.digest(), runnerFollower->timeSinceConfirmed() };
}

void entry_process::implementation::onPeerVersions(const std::string& ip, const entry_peers::known_versions& versions)
{
    store.observeEpoch(versions.runnerList.epoch);
    if (versions.configuration > entry.configurationVersion())
        readFromPeer(ip, platform::configurationTable, *configurationFollower);
    const list_version own { runnerFollower->revision(), listing.digest(), listing.nextExpiry().has_value() };
    switch (reconcile(own, { versions.runnerList, versions.runnerDigest })) {
    case list_action::None:
        return;
    case list_action::Confirm:
        runnerFollower->confirmRevision(versions.runnerList, std::chrono::duration_cast<std::chrono::milliseconds>(versions.runnerListAge));
        return;
    case list_action::ReadFromPeer:
        readFromPeer(ip, platform::runnerTable, *runnerFollower);
        return;
    case list_action::ReadFromStore:
        log.write("list_differs", { { "ip", ip }, { "revision", revisionField(versions.runnerList) } });
        runnerFollower->requestFullRead();
        return;
    }
}

void entry_process::implementation::readFromPeer(const std::string& ip, std::string_view table, platform::table_follower& follower)
{
    const time_point now = steadyNow();
    peer_read& read = peerReads[std::string(table)];
    if (read.client && now - read.startedAt < peerReadTimeout)
        return;
    log.write("peer_read", { { "ip", ip }, { "table", table }, { "store_silent_ms", follower.timeSinceConfirmed().count() } });
    const std::string address = ip + ":" + std::to_string(options.firstPeerPort + entryTablePortOffset);
    const auto onBroken = [this](std::string_view, std::string_view reason) { brokenAnswers.record("peer_table", reason); };
    read = { std::make_unique<platform::store_client>(context.get_executor(), address, onBroken), now };
    read.client->read(std::string(table), "", [this, key = std::string(table), now, &follower](const platform::store_response& response) {
        onPeerTable(key, response, follower);
        boost::asio::post(context, [this, key, now] {
            // A later read may have replaced this one.
            const auto known = peerReads.find(key);
            if (known != peerReads.end() && known->second.startedAt == now)
                peerReads.erase(known);
        });
    });
}

void entry_process::implementation::onPeerTable(std::string_view table, const platform::store_response& response, platform::table_follower& follower)
{
    // A peer may have a newer configuration than a restored store, whose revision is higher all the same.
    if (table == platform::configurationTable)
        onConfigurationRows(response.rows);
    isTakingPeerTable = true;
    follower.offerSnapshot(response);
    isTakingPeerTable = false;
}

bool entry_process::implementation::isReady() const
{
    return entry.routes() && hasRunnerList && !isStopping;
}

bool entry_process::implementation::isPollingNeeded() const
{
    return peers.isStorePoller() || runnerFollower->timeSinceConfirmed() > runnerListTimeout;
}

void entry_process::implementation::onStoreRestored(store_epoch before, store_epoch now)
{
    log.write("store_restored", { { "before", static_cast<std::int64_t>(before.value()) }, { "epoch", static_cast<std::int64_t>(now.value()) } });
    metrics.count("store_restored");
    configurationFollower->onStoreRestored();
    runnerFollower->onStoreRestored();
    quarantines.onStoreRestored();
}

platform::table_follower::hooks entry_process::implementation::followerHooks(const char* name)
{
    platform::table_follower::hooks hooks;
    hooks.reachable = [this, name](bool isReachable) { onStoreReachabilityChanged(name, isReachable); };
    hooks.historyGone = [this, name](store_revision known) {
        log.write("history_gone", { { "table", name }, { "known_epoch", epochField(known) }, { "known", revisionField(known) } });
    };
    hooks.snapshotDropped = [this, name](store_revision known, store_revision read) {
        log.write("snapshot_dropped", { { "table", name }, { "known_epoch", epochField(known) }, { "known", revisionField(known) }, { "read_epoch", epochField(read) }, { "read", revisionField(read) } });
    };
    hooks.responseOutdated = [this, name](store_revision read) {
        log.write("response_outdated", { { "table", name }, { "read_epoch", epochField(read) }, { "epoch", static_cast<std::int64_t>(store.epoch().value()) } });
    };
    return hooks;
}

void entry_process::implementation::followConfiguration()
{
    platform::table_follower::hooks hooks = followerHooks("configuration");
    hooks.rows = [this](const std::vector<platform::store_row>& rows, bool isFullSnapshot, store_revision revision) {
        onConfigurationRows(rows);
        onEvacuationRows(rows, isFullSnapshot, revision);
    };
    platform::table_follower::settings followerSettings;
    followerSettings.table = std::string(platform::configurationTable);
    followerSettings.wait = configurationLongPollTimeout;
    followerSettings.pause = configurationPollPause;
    followerSettings.isPollingEnabled = [this] { return isPollingNeeded(); };
    configurationFollower = std::make_shared<platform::table_follower>(context.get_executor(), store, std::move(followerSettings), std::move(hooks));
    configurationFollower->start();
}

void entry_process::implementation::followRunners()
{
    platform::table_follower::hooks hooks = followerHooks("runners");
    hooks.rows = [this](const std::vector<platform::store_row>& rows, bool isFullSnapshot, store_revision revision) { onRunnerRows(rows, isFullSnapshot, revision.epoch); };
    platform::table_follower::settings followerSettings;
    followerSettings.table = std::string(platform::runnerTable);
    followerSettings.pause = runnerListPollPause;
    followerSettings.isPollingEnabled = [this] { return isPollingNeeded(); };
    runnerFollower = std::make_shared<platform::table_follower>(context.get_executor(), store, std::move(followerSettings), std::move(hooks));
    runnerFollower->start();
}

void entry_process::implementation::onConfigurationRows(const std::vector<platform::store_row>& rows)
{
    for (const platform::store_row& row : rows) {
        if (row.key != platform::configurationKey || row.isRemoved)
            continue;
        std::string problem;
        const auto configuration = platform::readConfiguration(row.value, problem);
        if (configuration)
            takeConfiguration(row, configuration);
        else
            log.write("configuration_unreadable", { { "revision", static_cast<std::int64_t>(row.revision.value()) }, { "problem", problem } });
    }
}

void entry_process::implementation::onEvacuationRows(const std::vector<platform::store_row>& rows, bool isFullSnapshot, store_revision revision)
{
    const store_revision base = std::exchange(operatorRevision, revision);
    if (isTakingPeerTable)
        return;
    std::vector<zone_evacuations::change> changes;
    std::size_t evacuated = isFullSnapshot ? 0 : entry.evacuations().zones().size();
    for (const platform::store_row& row : rows) {
        if (!row.key.starts_with(platform::evacuationKeyPrefix))
            continue;
        const availability_zone_id zone(row.key.substr(platform::evacuationKeyPrefix.size()));
        const bool isNew = !row.isRemoved && (isFullSnapshot || !entry.evacuations().isEvacuated(zone));
        const bool isTooMany = isNew && evacuated >= zone_evacuations::maxZones;
        if (zone.value().empty() || zone.value().size() > maxZoneNameLength || isTooMany) {
            log.write("evacuation_ignored", { { "zone", zone.value().substr(0, maxZoneNameLength) }, { "revision", static_cast<std::int64_t>(row.revision.value()) }, { "too_many", isTooMany } });
            continue;
        }
        if (isNew)
            ++evacuated;
        else if (row.isRemoved && !isFullSnapshot && entry.evacuations().isEvacuated(zone))
            --evacuated;
        changes.push_back({ zone, row.revision, row.isRemoved });
    }
    if (isFullSnapshot) {
        entry.onEvacuationSnapshot(changes, revision);
        return;
    }
    // Rows between the known view and these changes may be missing after a table was read from another entry.
    if (!entry.evacuations().isCompleteUpTo(base))
        configurationFollower->requestFullRead();
    entry.onEvacuationChanges(changes, base, revision);
}

void entry_process::implementation::takeConfiguration(const platform::store_row& row, const std::shared_ptr<const serving_configuration>& configuration)
{
    const config_version known = entry.configurationVersion();
    if (configuration->version < known)
        log.write("configuration_older", { { "version", static_cast<std::int64_t>(configuration->version.value()) }, { "revision", static_cast<std::int64_t>(row.revision.value()) } });
    if (entry.routes() && configuration->version <= known)
        return;
    configurationRows[row.key] = row;
    callerServer->setLimits(configuration->limits);
    entry.setConfiguration(std::make_shared<route_index>(configuration));
    peers.sendVersions();
}

void entry_process::implementation::onRunnerRows(const std::vector<platform::store_row>& rows, bool isFullSnapshot, store_epoch epoch)
{
    std::vector<runner_listing::change> changes;
    for (const platform::store_row& row : rows) {
        runner_listing::change change { runner_id(row.key), std::nullopt };
        if (!row.isRemoved) {
            change.runner = platform::readRunner(row.key, row.value);
            if (!change.runner)
                log.write("runner_unreadable", { { "runner", row.key } });
        }
        changes.push_back(std::move(change));
    }
    const std::vector<runner_id> ignored = listing.apply(changes, isFullSnapshot, steadyNow(), epoch);
    for (const runner_id& id : ignored)
        log.write("runner_entry_older", { { "runner", id.value() }, { "epoch", static_cast<std::int64_t>(epoch.value()) } });
    updateRunnerRows(rows, isFullSnapshot, ignored);
    hasRunnerList = hasRunnerList || isFullSnapshot;
    if (isFullSnapshot || !changes.empty())
        applyListing();
    // Tells the others that the list has been confirmed, so that they need not ask the store themselves.
    if (peers.isStorePoller())
        peers.sendVersions();
}

void entry_process::implementation::updateRunnerRows(const std::vector<platform::store_row>& rows, bool isFullSnapshot, const std::vector<runner_id>& ignored)
{
    std::map<std::string, platform::store_row> known;
    if (isFullSnapshot)
        known.swap(runnerRows);
    for (const platform::store_row& row : rows) {
        if (row.isRemoved)
            runnerRows.erase(row.key);
        else
            runnerRows[row.key] = row;
    }
    for (const runner_id& id : ignored) {
        const auto before = known.find(id.value());
        if (before == known.end())
            runnerRows.erase(id.value());
        else
            runnerRows[id.value()] = before->second;
    }
}

void entry_process::implementation::applyListing()
{
    const std::vector<listed_runner> runners = listing.runners(steadyNow());
    for (const listed_runner& runner : runners) {
        const runner_record* record = entry.runners().find(runner.id);
        if (!record || record->listing.isDraining != runner.isDraining || record->listing.startedAtMs != runner.startedAtMs)
            log.write("runner", { { "runner", runner.id.value() }, { "pool", runner.pool.value() }, { "address", runner.address }, { "draining", runner.isDraining } });
    }
    for (const auto& record : entry.runners().runners()) {
        const runner_id& id = record.first;
        const bool isListed = std::any_of(runners.begin(), runners.end(), [&](const listed_runner& runner) { return runner.id == id; });
        if (!isListed)
            log.write("runner_gone", { { "runner", id.value() }, { "in_flight", static_cast<std::int64_t>(record.second.inFlight) } });
    }
    const bool isChanged = listing.digest() != appliedDigest;
    appliedDigest = listing.digest();
    entry.setRunners(runners);
    if (isChanged)
        peers.onRunnersChanged();
    const auto expiry = listing.nextExpiry();
    if (!expiry)
        return;
    listingTimer.expires_after(*expiry - steadyNow());
    listingTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            applyListing();
    });
}

void entry_process::implementation::onStoreReachabilityChanged(const char* table, bool isReachable)
{
    log.write(isReachable ? "store_regained" : "store_lost", { { "table", table } });
    metrics.count(isReachable ? "store_regained" : "store_lost");
    if (std::string_view(table) == "runners")
        listing.onStoreReachabilityChanged(isReachable, steadyNow());
}

void entry_process::implementation::stop()
{
    if (isStopping)
        return;
    isStopping = true;
    stopStartedAt = steadyNow();
    peers.announceStop();
    entry.beginStop(stopStartedAt + drainDelay, stopStartedAt + options.stopGrace - stopMargin);
    callerServer->announceClose();
    log.write("stopping", { { "requests", static_cast<std::int64_t>(entry.totals()->activeRequests) } });
    advanceStop();
}

void entry_process::implementation::advanceStop()
{
    const duration elapsed = steadyNow() - stopStartedAt;
    if (elapsed >= drainDelay) {
        callerServer->stopAccepting();
        callerServer->closeConnections();
    }
    const bool isIdle = elapsed >= drainDelay && entry.totals()->activeRequests == 0 && callerServer->connectionCount() == 0;
    if (isIdle || elapsed >= options.stopGrace - stopMargin) {
        endStop();
        return;
    }
    stopTimer.expires_after(stopCheckInterval);
    stopTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            advanceStop();
    });
}

void entry_process::implementation::endStop()
{
    const std::size_t remaining = entry.totals()->activeRequests;
    log.write("stopped", { { "requests", static_cast<std::int64_t>(remaining) } });
    if (remaining == 0) {
        context.stop();
        return;
    }
    entry.forEachRequest([](request_relay& relay) { relay.onProcessEnd(); });
    stopTimer.expires_after(finalFlushTime);
    stopTimer.async_wait([this](const boost::system::error_code&) { context.stop(); });
}

entry_process::entry_process(boost::asio::io_context& context, platform::settings options, event_log& log)
    : m_implementation(std::make_shared<implementation>(context, std::move(options), log))
{
}

entry_process::~entry_process() = default;

bool entry_process::start()
{
    return m_implementation->start();
}

void entry_process::stop()
{
    m_implementation->stop();
}

}
