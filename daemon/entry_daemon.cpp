#include "daemon/entry_daemon.h"

#include "coordination/entry/entry_core.h"
#include "daemon/caller_api.h"
#include "daemon/daemon_runtime.h"
#include "daemon/logger.h"
#include "protocol/error_response.h"
#include "relay/memory_budget.h"
#include "state/derived_limits.h"
#include "state/name_digest.h"
#include "transport/http_exchange.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <thread>
#include <utility>

namespace sardinelb {

namespace {

constexpr std::chrono::milliseconds shutdownPollInterval(20);

// The part of the callers' memory that answers may take while they are buffered until their end.
constexpr std::size_t bufferedAnswersDivisor = 4;

std::size_t maxBufferedAnswerBytes(const daemon_settings& settings)
{
    return callerLimitsFor(settings.memoryBytes, settings.maxDescriptors).bytes / bufferedAnswersDivisor;
}

entry_settings coreSettings(const daemon_settings& settings, incarnation number)
{
    entry_settings core;
    core.routing.self = settings.id;
    core.routing.zone = settings.zone;
    core.seed = nameDigest(settings.id.value());
    core.claimWriter = settings.id.value() + "/" + std::to_string(number.value());
    return core;
}

std::string idPrefix(const daemon_settings& settings, incarnation number)
{
    return settings.id.value() + "-" + std::to_string(number.value()) + "-";
}

std::vector<runner_view> runnerViews(const configuration& config)
{
    std::vector<runner_view> views;
    for (const auto& [id, configured] : config.runners) {
        runner_view view;
        view.runner = id;
        view.pool = configured.pool;
        view.zone = configured.zone;
        view.accepting = configured.target == runner_target::Serving;
        views.push_back(std::move(view));
    }
    return views;
}

}

struct entry_daemon::implementation {
    explicit implementation(const daemon_settings&);

    daemon_runtime::hooks runtimeHooks();
    caller_api::hooks callerHooks();
    void configure(const std::shared_ptr<const directory>&, time_point);
    std::optional<derived_limits> limitsOf(const team_id&) const;
    void dialWantedRunners();
    void dialEntries();
    void performActions();
    void writeClaims(const claim_transaction&);
    void readClaim(const claim_read&);
    std::string status();

    // Used only on the decision thread, except for the atomics.
    std::shared_ptr<const directory> activeDirectory;
    std::set<runner_id> dialledRunners;
    // Latest periodic load report of each runner, for the status shown to operators.
    std::map<runner_id, load_report> lastLoads;
    std::atomic<std::size_t> inFlight { 0 };
    std::atomic<bool> isReady { false };
    std::atomic<bool> isStopping { false };
    // Open requests of the caller API, as last counted by shutDown().
    std::atomic<std::size_t> openRequests { 0 };

    daemon_runtime runtime;
    // Used only on the decision thread.
    entry_core core;
    caller_api api;
    http_server server;
};

entry_daemon::implementation::implementation(const daemon_settings& settings)
    : runtime(settings, runtimeHooks())
    , core(coreSettings(settings, runtime.ownIncarnation()), [this](const team_id& team) { return limitsOf(team); })
    , api(idPrefix(settings, runtime.ownIncarnation()), maxBufferedAnswerBytes(settings), runtime.counters(), callerHooks())
    , server(
          runtime.net(), http_limits {},
          [this](const std::shared_ptr<http_exchange>& exchange) { api.handle(exchange); }, httpErrorBody,
          std::make_shared<memory_budget>(callerLimitsFor(settings.memoryBytes, settings.maxDescriptors)))
{
}

daemon_runtime::hooks entry_daemon::implementation::runtimeHooks()
{
    daemon_runtime::hooks hooks;
    hooks.onConfiguration = [this](const std::shared_ptr<const directory>& next, time_point now) { configure(next, now); };
    hooks.onPeerConnected = [this](const peer_identity& peer, time_point now) {
        if (runtime.isEntry(peer.daemon))
            core.onEntryConnected(peer.daemon, peer.number, now);
        else
            core.onPeerConnected(runner_id(peer.daemon.value()), peer.number, now);
    };
    hooks.onPeerLost = [this](const daemon_id& peer, time_point now) {
        if (runtime.isEntry(peer))
            core.onEntryLost(peer, now);
        else
            core.onPeerLost(runner_id(peer.value()), now);
    };
    hooks.onFrame = [this](const daemon_id& peer, const frame& incoming, time_point now) {
        if (runtime.isEntry(peer))
            core.onEntryMessage(peer, incoming.message, now);
        else {
            if (const auto* update = std::get_if<load_update_message>(&incoming.message))
                lastLoads.insert_or_assign(update->load.runner, update->load);
            core.onMessage(runner_id(peer.value()), incoming.message, now);
        }
    };
    hooks.onTick = [this](time_point now) { core.tick(now); };
    hooks.performActions = [this] { performActions(); };
    hooks.status = [this] { return status(); };
    hooks.isReady = [this] { return isReady && !isStopping; };
    return hooks;
}

caller_api::hooks entry_daemon::implementation::callerHooks()
{
    caller_api::hooks hooks;
    hooks.onRequest = [this](caller_request request) {
        return runtime.postEvent(
            [this, request = std::move(request)](time_point now) { core.onRequest(request, now); });
    };
    hooks.onCallerDisconnected = [this](const request_id& id) {
        runtime.postOrderedEvent([this, id](time_point now) { core.onCallerDisconnected(id, now); });
    };
    hooks.onCallerRead = [this](const request_id& id, byte_count bytes) {
        runtime.postOrderedEvent([this, id, bytes](time_point) { core.onCallerRead(id, bytes); });
    };
    hooks.onAnswerTooLong = [this](const request_id& id) {
        runtime.postOrderedEvent([this, id](time_point now) {
            runtime.log({ "http", id, "[" + id.value() + "] Ended: its answer was the longest, and too much text waits for the end of answers." });
            core.onCallerDisconnected(id, now);
        });
    };
    return hooks;
}

void entry_daemon::implementation::configure(const std::shared_ptr<const directory>& next, time_point now)
{
    if (!activeDirectory) {
        std::vector<daemon_id> entries;
        for (const entry_address& entry : runtime.settings().entries)
            entries.push_back(entry.id);
        core.setEntries(entries, now);
    }
    activeDirectory = next;
    core.setRunners(runnerViews(next->config));
    dialWantedRunners();
    isReady = true;
    runtime.postToNet([this, next] {
        api.setDirectory(next);
        api.setReady(!isStopping);
    });
}

std::optional<derived_limits> entry_daemon::implementation::limitsOf(const team_id& team) const
{
    if (!activeDirectory)
        return std::nullopt;
    const auto found = activeDirectory->config.teams.find(team);
    if (found == activeDirectory->config.teams.end())
        return std::nullopt;
    return limitsFor(found->second.terms);
}

// Of two entries, only the one with the lower id dials; otherwise each would replace the other's connection.
void entry_daemon::implementation::dialEntries()
{
    for (const entry_address& entry : runtime.settings().entries) {
        if (runtime.settings().id < entry.id)
            runtime.net().post([this, entry] { runtime.links().dial(entry.id, entry.address); });
    }
}

void entry_daemon::implementation::dialWantedRunners()
{
    std::set<runner_id> wanted;
    for (const runner_id& id : core.wantedConnections())
        wanted.insert(id);
    for (const runner_id& id : dialledRunners) {
        if (!wanted.contains(id))
            runtime.postToNet([this, id] { runtime.links().disconnect(daemon_id(id.value())); });
    }
    for (const runner_id& id : wanted) {
        const auto address = parseAddress(activeDirectory->config.runners.at(id).agentAddress);
        if (address)
            runtime.postToNet(
                [this, id, to = address.value()] { runtime.links().dial(daemon_id(id.value()), to); });
    }
    dialledRunners = std::move(wanted);
}

void entry_daemon::implementation::performActions()
{
    for (entry_action& action : core.takeActions()) {
        if (const auto* line = std::get_if<log_action>(&action)) {
            runtime.log(*line);
            continue;
        }
        if (const auto* write = std::get_if<claim_transaction>(&action)) {
            writeClaims(*write);
            continue;
        }
        if (const auto* read = std::get_if<claim_read>(&action)) {
            readClaim(*read);
            continue;
        }
        runtime.postToNet([this, moved = std::make_shared<entry_action>(std::move(action))] {
            if (const auto* message = std::get_if<send_to_peer_action>(moved.get()))
                runtime.links().send(message->peer, message->message);
            else if (const auto* part = std::get_if<answer_part_action>(moved.get()))
                api.sendPart(*part);
            else if (const auto* end = std::get_if<answer_end_action>(moved.get()))
                api.sendEnd(*end);
            else if (const auto* failed = std::get_if<answer_error_action>(moved.get()))
                api.sendError(failed->request, failed->error);
        });
    }
    inFlight = core.inFlight();
    runtime.counters().setInFlight(static_cast<double>(core.inFlight()));
}

void entry_daemon::implementation::writeClaims(const claim_transaction& write)
{
    runtime.callTable<state_result<row_revision>>(
        [write](const table_service& table) { return table.transact(write.transaction); },
        [this, number = write.number](const state_result<row_revision>& result, time_point now) {
            core.onClaimTransactionResult(number, result, now);
        });
}

void entry_daemon::implementation::readClaim(const claim_read& read)
{
    runtime.callTable<state_result<std::optional<table_row>>>(
        [read](const table_service& table) { return table.readRow(read.key); },
        [this, number = read.number](const state_result<std::optional<table_row>>& result, time_point now) {
            core.onClaimRowRead(number, result, now);
        });
}

std::string entry_daemon::implementation::status()
{
    nlohmann::json runners = nlohmann::json::array();
    for (const auto& [id, load] : lastLoads) {
        if (dialledRunners.contains(id))
            runners.push_back({ { "id", id.value() }, { "queued", load.queued }, { "running", load.running },
                { "accepting", load.accepting } });
    }
    const nlohmann::json body { { "daemon", runtime.settings().id.value() }, { "role", "entry" },
        { "incarnation", runtime.ownIncarnation().value() },
        { "config_version", activeDirectory ? activeDirectory->config.version.value() : 0 }, { "ready", isReady && !isStopping },
        { "in_flight", core.inFlight() }, { "runners", std::move(runners) } };
    return body.dump();
}

entry_daemon::entry_daemon(const daemon_settings& settings)
    : m_implementation(std::make_unique<implementation>(settings))
{
}

entry_daemon::~entry_daemon()
{
    m_implementation->runtime.stop();
}

transport_result<void> entry_daemon::start()
{
    // Links to other entries do not wait for a configuration, so that an entry can start while the table is down.
    m_implementation->dialEntries();
    if (auto bound = m_implementation->server.listen(m_implementation->runtime.settings().callerAddress); !bound)
        return bound.error();
    return m_implementation->runtime.start();
}

void entry_daemon::shutDown()
{
    implementation& self = *m_implementation;
    self.isStopping = true;
    logInfo("http", {}, "Stopping: not ready; requests are still accepted.");
    self.runtime.net().post([&self] {
        self.api.setReady(false);
        self.server.closeAfterResponses();
    });
    std::this_thread::sleep_for(self.runtime.settings().drainDelay);
    logInfo("http", {}, "Stopping: new requests are rejected.");
    self.runtime.postEventFromMain([&self](time_point) { self.core.stopAccepting(); });
    // Waits until the core has no requests and no response is open; the loop below waits for connections that are
    // still writing.
    bool idle = false;
    while (!idle) {
        std::this_thread::sleep_for(shutdownPollInterval);
        std::atomic<bool> counted { false };
        self.runtime.net().post([&self, &counted] {
            self.openRequests = self.api.openRequests();
            counted = true;
        });
        while (!counted)
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        idle = self.inFlight == 0 && self.openRequests == 0;
    }
    std::atomic<bool> closed { false };
    while (!closed) {
        self.runtime.net().post([&self, &closed] {
            self.server.drain();
            closed = self.server.connections() == 0;
        });
        std::this_thread::sleep_for(shutdownPollInterval);
    }
}

}
