#include "fleet/entry_process.h"

#include "fleet/caller_server.h"
#include "fleet/entry_context.h"
#include "fleet/entry_peers.h"
#include "fleet/event_log.h"
#include "fleet/peer_ports.h"
#include "fleet/process_metrics.h"
#include "fleet/request_relay.h"
#include "fleet/steady_time.h"
#include "platform/configuration_row.h"
#include "platform/names.h"
#include "platform/request_translation.h"
#include "platform/runner_row.h"
#include "platform/store_client.h"
#include "platform/table_follower.h"
#include "relay/http_request_message.h"
#include "serving/route_index.h"
#include "serving/runner_listing.h"
#include "serving/serving_configuration.h"

#include <algorithm>
#include <map>

#include <boost/asio/steady_timer.hpp>

namespace sardinelb {

namespace {

// The configuration changes seldom, so the store holds the call; a connection that fell silent shows after this time.
constexpr std::chrono::milliseconds configurationWait { 1200 };

constexpr std::chrono::milliseconds configurationPause { 60 };

// Every heartbeat of a runner is a change, so the calls are paced. A runner that leaves is known in a third of the time
// that the platform allows.
constexpr std::chrono::milliseconds runnerListPause { 550 };

// A stopping entry takes new connections until the platform's balancer has seen that it is not ready.
constexpr std::chrono::milliseconds balancerNotice { 2600 };

// Entries that leave the reading of the list of runners to others read it themselves when it has not been confirmed for
// this long.
constexpr std::chrono::milliseconds runnerListSilence { 1100 };

constexpr std::chrono::milliseconds stopCheck { 100 };

// A stopping entry ends what is left this long before it would be killed.
constexpr std::chrono::milliseconds stopMargin { 400 };

}

struct entry_process::implementation : std::enable_shared_from_this<implementation> {
    implementation(boost::asio::io_context& io, platform::settings values, event_log& events)
        : context(io)
        , options(std::move(values))
        , log(events)
        , store(io.get_executor(), options.storeAddress)
        , entry(io.get_executor(), options, log, metrics)
        , peers(io, options, entry, log, entry_peers::hooks { [this] { return ownKnowledge(); }, [this](const std::string& ip, const entry_peers::knowledge& known) { peerKnows(ip, known); } })
        , listingTimer(io)
        , stopTimer(io)
    {
    }

    boost::asio::io_context& context;
    platform::settings options;
    event_log& log;
    process_metrics metrics;
    platform::store_client store;
    entry_context entry;
    entry_peers peers;
    runner_listing listing;
    // Rows of the tables as they were read, for peers that cannot reach the store.
    std::map<std::string, platform::store_row> configurationRows;
    std::map<std::string, platform::store_row> runnerRows;
    // Peers that are being read, by IP number and table.
    std::map<std::string, std::unique_ptr<platform::store_client>> peerReads;
    std::shared_ptr<caller_server> callers;
    std::shared_ptr<caller_server> status;
    std::shared_ptr<caller_server> tables;
    std::shared_ptr<platform::table_follower> configurationFollower;
    std::shared_ptr<platform::table_follower> runnerFollower;
    boost::asio::steady_timer listingTimer;
    boost::asio::steady_timer stopTimer;
    std::uint64_t listedDigest = 0;
    bool knowsRunners = false;
    bool isStopping = false;
    time_point stoppingSince;

    bool start();
    bool listen(std::shared_ptr<caller_server>&, caller_connection::hooks, const std::string& address);
    caller_connection::hooks callerHooks();
    caller_connection::hooks statusHooks();
    // Whether this entry reads the store itself; otherwise it hears of changes from the entries that do.
    bool mustRead() const;
    void followConfiguration();
    void followRunners();
    void configurationChanged(const std::vector<platform::store_row>&);
    void runnersChanged(const std::vector<platform::store_row>&, bool isFullSnapshot);
    void useListing();
    void onStoreReachabilityChanged(const char* table, bool isReachable);
    bool isReady() const;
    entry_peers::knowledge ownKnowledge() const;
    void peerKnows(const std::string& ip, const entry_peers::knowledge&);
    void readFromPeer(const std::string& ip, std::string_view table, platform::table_follower&);
    caller_connection::hooks tableHooks();
    void answerStatus(const std::shared_ptr<caller_connection>&, const http_request_message&);
    void stop();
    void continueStop();
};

bool entry_process::implementation::start()
{
    if (!listen(status, statusHooks(), options.readyAddress) || !listen(callers, callerHooks(), options.callerAddress))
        return false;
    const std::string tableAddress = options.ip + ":" + std::to_string(options.firstPeerPort + entryTablePort);
    if (!listen(tables, tableHooks(), tableAddress))
        return false;
    followConfiguration();
    followRunners();
    std::string problem;
    if (peers.start(problem))
        return true;
    log.write("listen_failed", { { "problem", problem } });
    return false;
}

bool entry_process::implementation::listen(std::shared_ptr<caller_server>& server, caller_connection::hooks hooks, const std::string& address)
{
    server = std::make_shared<caller_server>(context.get_executor(), std::move(hooks));
    std::string problem;
    if (server->listen(address, problem))
        return true;
    log.write("listen_failed", { { "address", address }, { "problem", problem } });
    return false;
}

caller_connection::hooks entry_process::implementation::callerHooks()
{
    caller_connection::hooks hooks;
    hooks.request = [this](const std::shared_ptr<caller_connection>& caller, http_request_message&& message) {
        std::make_shared<request_relay>(entry, caller, platform::readRequest(std::move(message)))->start();
    };
    hooks.refused = [this](int code, const char* why) {
        log.write("bad_request", { { "status", static_cast<std::int64_t>(code) }, { "why", why } });
        metrics.count("bad_request");
    };
    return hooks;
}

caller_connection::hooks entry_process::implementation::statusHooks()
{
    caller_connection::hooks hooks;
    hooks.request = [this](const std::shared_ptr<caller_connection>& caller, http_request_message&& message) {
        answerStatus(caller, message);
    };
    hooks.refused = [](int, const char*) {};
    return hooks;
}

void entry_process::implementation::answerStatus(const std::shared_ptr<caller_connection>& caller, const http_request_message& message)
{
    if (message.target == "/metrics")
        caller->answer(200, "Content-Type: text/plain; version=0.0.4\r\n", metrics.text());
    else if (message.target == platform::readinessPath)
        caller->answer(isReady() ? 200 : 503, "", "");
    else
        caller->answer(404, "", "");
}

caller_connection::hooks entry_process::implementation::tableHooks()
{
    caller_connection::hooks hooks;
    hooks.request = [this](const std::shared_ptr<caller_connection>& caller, http_request_message&& message) {
        const std::string table = platform::requestedTable(message.target);
        std::vector<platform::store_row> rows;
        if (table == platform::configurationTable) {
            for (const auto& [key, row] : configurationRows)
                rows.push_back(row);
            caller->answer(200, "", platform::encodeRows(rows, configurationFollower->revision()));
        } else if (table == platform::runnerTable) {
            for (const auto& [key, row] : runnerRows)
                rows.push_back(row);
            caller->answer(200, "", platform::encodeRows(rows, runnerFollower->revision()));
        } else {
            caller->answer(404, "", "");
        }
    };
    hooks.refused = [](int, const char*) {};
    return hooks;
}

entry_peers::knowledge entry_process::implementation::ownKnowledge() const
{
    return { entry.configurationVersion(), runnerFollower->revision(), listing.digest(), runnerFollower->timeSinceConfirmed() };
}

void entry_process::implementation::peerKnows(const std::string& ip, const entry_peers::knowledge& known)
{
    if (known.configuration > entry.configurationVersion())
        readFromPeer(ip, platform::configurationTable, *configurationFollower);
    if (known.runnerList <= runnerFollower->revision())
        return;
    if (known.runnerDigest == listing.digest())
        runnerFollower->confirmRevision(known.runnerList, std::chrono::duration_cast<std::chrono::milliseconds>(known.listAge));
    else
        readFromPeer(ip, platform::runnerTable, *runnerFollower);
}

void entry_process::implementation::readFromPeer(const std::string& ip, std::string_view table, platform::table_follower& follower)
{
    const std::string name = ip + " " + std::string(table);
    if (peerReads.contains(name))
        return;
    log.write("peer_read", { { "ip", ip }, { "table", table }, { "store_silent_ms", follower.timeSinceConfirmed().count() } });
    const std::string address = ip + ":" + std::to_string(options.firstPeerPort + entryTablePort);
    auto& client = peerReads[name] = std::make_unique<platform::store_client>(context.get_executor(), address);
    client->read(std::string(table), "", [this, name, &follower](const platform::store_response& answer) {
        follower.offerSnapshot(answer);
        boost::asio::post(context, [this, name] { peerReads.erase(name); });
    });
}

bool entry_process::implementation::isReady() const
{
    return entry.routes() && knowsRunners && !isStopping;
}

bool entry_process::implementation::mustRead() const
{
    return peers.isReader() || runnerFollower->timeSinceConfirmed() > runnerListSilence;
}

void entry_process::implementation::followConfiguration()
{
    platform::table_follower::hooks hooks;
    hooks.rows = [this](const std::vector<platform::store_row>& rows, bool, row_revision) { configurationChanged(rows); };
    hooks.reachable = [this](bool isReachable) { onStoreReachabilityChanged("configuration", isReachable); };
    platform::table_follower::settings following;
    following.table = std::string(platform::configurationTable);
    following.wait = configurationWait;
    following.pause = configurationPause;
    following.isPollingEnabled = [this] { return mustRead(); };
    configurationFollower = std::make_shared<platform::table_follower>(context.get_executor(), store, std::move(following), std::move(hooks));
    configurationFollower->start();
}

void entry_process::implementation::followRunners()
{
    platform::table_follower::hooks hooks;
    hooks.rows = [this](const std::vector<platform::store_row>& rows, bool isFullSnapshot, row_revision) { runnersChanged(rows, isFullSnapshot); };
    hooks.reachable = [this](bool isReachable) { onStoreReachabilityChanged("runners", isReachable); };
    platform::table_follower::settings following;
    following.table = std::string(platform::runnerTable);
    following.pause = runnerListPause;
    following.isPollingEnabled = [this] { return mustRead(); };
    runnerFollower = std::make_shared<platform::table_follower>(context.get_executor(), store, std::move(following), std::move(hooks));
    runnerFollower->start();
}

void entry_process::implementation::configurationChanged(const std::vector<platform::store_row>& rows)
{
    for (const platform::store_row& row : rows) {
        if (row.key != platform::configurationKey || row.isRemoved)
            continue;
        configurationRows[row.key] = row;
        std::string problem;
        const auto configuration = platform::readConfiguration(row.value, problem);
        if (!configuration) {
            log.write("configuration_unreadable", { { "revision", static_cast<std::int64_t>(row.revision.value()) }, { "problem", problem } });
            continue;
        }
        callers->setLimits(configuration->limits);
        const bool isNewer = configuration->version > entry.configurationVersion();
        entry.setConfiguration(std::make_shared<route_index>(configuration));
        if (isNewer)
            peers.tellAll();
    }
}

void entry_process::implementation::runnersChanged(const std::vector<platform::store_row>& rows, bool isFullSnapshot)
{
    if (isFullSnapshot)
        runnerRows.clear();
    std::vector<runner_listing::change> changes;
    for (const platform::store_row& row : rows) {
        if (row.isRemoved)
            runnerRows.erase(row.key);
        else
            runnerRows[row.key] = row;
        runner_listing::change change { runner_id(row.key), std::nullopt };
        if (!row.isRemoved) {
            change.runner = platform::readRunner(row.key, row.value);
            if (!change.runner)
                log.write("runner_unreadable", { { "runner", row.key } });
        }
        changes.push_back(std::move(change));
    }
    listing.apply(changes, isFullSnapshot, steadyNow());
    knowsRunners = knowsRunners || isFullSnapshot;
    if (isFullSnapshot || !changes.empty())
        useListing();
}

void entry_process::implementation::useListing()
{
    const std::vector<listed_runner> runners = listing.runners(steadyNow());
    for (const listed_runner& runner : runners) {
        const runner_record* known = entry.runners().find(runner.id);
        if (!known || known->listing.isDraining != runner.isDraining || known->listing.startedAtMs != runner.startedAtMs)
            log.write("runner", { { "runner", runner.id.value() }, { "pool", runner.pool.value() }, { "address", runner.address }, { "draining", runner.isDraining } });
    }
    for (const auto& known : entry.runners().runners()) {
        const runner_id& id = known.first;
        const bool isListed = std::any_of(runners.begin(), runners.end(), [&](const listed_runner& runner) { return runner.id == id; });
        if (!isListed)
            log.write("runner_gone", { { "runner", id.value() }, { "in_flight", static_cast<std::int64_t>(known.second.inFlight) } });
    }
    const bool isChanged = listing.digest() != listedDigest;
    listedDigest = listing.digest();
    entry.setRunners(runners);
    if (isChanged)
        peers.tellAll();
    const auto lapse = listing.nextExpiry();
    if (!lapse)
        return;
    listingTimer.expires_after(*lapse - steadyNow());
    listingTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            useListing();
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
    stoppingSince = steadyNow();
    peers.leave();
    log.write("stopping", { { "requests", static_cast<std::int64_t>(entry.activeRequests) } });
    continueStop();
}

void entry_process::implementation::continueStop()
{
    const duration elapsed = steadyNow() - stoppingSince;
    if (elapsed >= balancerNotice) {
        callers->stopAccepting();
        callers->closeConnections();
    }
    const bool isDone = elapsed >= balancerNotice && entry.activeRequests == 0 && callers->connectionCount() == 0;
    if (isDone || elapsed >= options.stopGrace - stopMargin) {
        log.write("stopped", { { "requests", static_cast<std::int64_t>(entry.activeRequests) } });
        context.stop();
        return;
    }
    stopTimer.expires_after(stopCheck);
    stopTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            continueStop();
    });
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
