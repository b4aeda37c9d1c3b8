#include "fleet/agent_process.h"

#include "fleet/event_log.h"
#include "fleet/fleet_message.h"
#include "fleet/group_coordinator.h"
#include "fleet/http_listener.h"
#include "fleet/peer_ports.h"
#include "fleet/process_metrics.h"
#include "fleet/steady_time.h"
#include "platform/rank_client.h"
#include "relay/endpoint.h"
#include "relay/http_request_message.h"
#include "relay/udp_socket.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace sardinelb {

using boost::asio::ip::udp;

namespace {

// Interval of the reports by which entries judge a runner's load.
constexpr std::chrono::milliseconds reportInterval { 100 };

// Interval of reading the runner during a map switch, because each step of a switch waits for reports from all ranks.
constexpr std::chrono::milliseconds mapSwitchReportInterval { 25 };

// A rank that is not armed within this time after it prepared a map belongs to an abandoned switch.
constexpr duration preparedMapTimeout = std::chrono::seconds(1);

// One in this many load reports lists the known entries, so that entries discover each other.
constexpr std::uint32_t reportsPerEntryList = 10;

// Entries and agents that are silent for this long are removed. Heartbeats arrive twice a second.
constexpr duration peerTimeout = std::chrono::milliseconds(1700);

// The standby coordinator takes over when no report of the coordinator, sent ten times a second, has arrived for this long.
constexpr duration coordinatorTimeout = std::chrono::milliseconds(500);

// Agents that receive the reports of all ranks: the coordinator and the standby coordinator.
constexpr std::size_t coordinatorCount = 2;

}

struct agent_process::implementation : std::enable_shared_from_this<implementation> {
    struct known_entry {
        udp::endpoint address;
        time_point lastHeardAt;
    };

    struct known_member {
        std::string address;
        time_point lastHeardAt;
    };

    implementation(boost::asio::io_context& io, platform::settings values, event_log& events)
        : context(io)
        , options(std::move(values))
        , log(events)
        , runner(io.get_executor(), options.linkMegabitsPerSecond)
        , timer(io)
    {
    }

    boost::asio::io_context& context;
    platform::settings options;
    event_log& log;
    process_metrics metrics;
    platform::rank_client runner;
    boost::asio::steady_timer timer;
    std::shared_ptr<udp_socket> socket;
    std::shared_ptr<http_listener> metricsServer;
    std::map<std::string, known_entry> entries;
    std::map<rank_id, known_member> members;
    // Runner addresses of the group, including ranks that are silent.
    std::map<rank_id, std::string> addresses;
    group_coordinator::limits limits;
    // Last report of the local rank.
    std::optional<rank_message> localReport;
    std::optional<platform::held_experts> heldExperts;
    platform::expert_choices previousChoices;
    std::uint32_t reportCount = 0;
    // When the next load report to the entries is due.
    time_point nextReportAt;
    bool isRunnerCopying = false;
    // When the runner first reported the map that it currently has prepared.
    time_point preparedAt;
    std::unique_ptr<group_coordinator> coordinator;
    // When the last report of each rank arrived.
    std::map<rank_id, time_point> lastHeardAt;
    bool isActiveCoordinator = false;

    bool start();
    void tick();
    void scheduleTick();
    bool isSwitching() const;
    void onDatagram(std::string_view bytes, const udp::endpoint& from);
    void onHeartbeat(const entry_heartbeat_message&, const udp::endpoint& from);
    void onRunnerReport(std::optional<platform::runner_report>, bool isReportDue);
    void readExperts();
    void readChoices();
    void updateChoices(platform::expert_choices&&);
    void sendLoadToEntries(const platform::runner_report&);
    void sendReportToCoordinators();
    std::vector<rank_id> coordinatorCandidates() const;
    bool canCoordinate(time_point now) const;
    void updateCoordinator();
    void startCoordinator();
    void sendOrder(const map_order&);
    void pollSilentRanks();
    std::string addressOf(rank_id) const;
    void removeSilent();
};

bool agent_process::implementation::start()
{
    const auto self = shared_from_this();
    socket = std::make_shared<udp_socket>(context.get_executor(), [this](std::string_view bytes, const udp::endpoint& from) { onDatagram(bytes, from); });
    http_server_connection::hooks hooks;
    hooks.onRequest = [this](const std::shared_ptr<http_server_connection>& caller, http_request_message&&) {
        caller->respond(200, "Content-Type: text/plain; version=0.0.4\r\n", metrics.text());
    };
    hooks.onRejected = [](int, const char*) {};
    metricsServer = std::make_shared<http_listener>(context.get_executor(), std::move(hooks));
    std::string problem;
    const std::string metricsAddress = options.ip + ":" + std::to_string(options.firstPeerPort + agentMetricsPortOffset);
    const bool isOpen = socket->open(options.ip, options.firstPeerPort + agentDatagramPortOffset, problem) && metricsServer->listen(metricsAddress, problem);
    if (!isOpen) {
        log.write("listen_failed", { { "problem", problem } });
        return false;
    }
    tick();
    return true;
}

bool agent_process::implementation::isSwitching() const
{
    if (coordinator && coordinator->isBusy())
        return true;
    if (!localReport)
        return false;
    const bool isPrepared = localReport->status.prepared > localReport->status.map && steadyNow() - preparedAt < preparedMapTimeout;
    return isRunnerCopying || isPrepared || localReport->status.armed || localReport->status.held;
}

void agent_process::implementation::scheduleTick()
{
    timer.expires_after(isSwitching() ? mapSwitchReportInterval : reportInterval);
    timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            tick();
    });
}

void agent_process::implementation::tick()
{
    scheduleTick();
    removeSilent();
    const time_point now = steadyNow();
    const bool isReportDue = now >= nextReportAt;
    if (isReportDue) {
        nextReportAt = now + reportInterval;
        ++reportCount;
        readChoices();
    }
    runner.readReport(options.runnerAddress, [this, isReportDue](std::optional<platform::runner_report> report) { onRunnerReport(std::move(report), isReportDue); });
    updateCoordinator();
}

void agent_process::implementation::removeSilent()
{
    const time_point now = steadyNow();
    std::erase_if(entries, [&](const auto& entry) { return now - entry.second.lastHeardAt > peerTimeout; });
    std::erase_if(members, [&](const auto& entry) { return now - entry.second.lastHeardAt > peerTimeout; });
}

void agent_process::implementation::onDatagram(std::string_view bytes, const udp::endpoint& from)
{
    const auto message = decode(bytes);
    if (!message) {
        log.write("datagram_unreadable", { { "from", from.address().to_string() } });
        return;
    }
    if (const auto* heartbeat = std::get_if<entry_heartbeat_message>(&*message))
        onHeartbeat(*heartbeat, from);
    else if (const auto* rank = std::get_if<rank_message>(&*message); rank && coordinator && localReport && rank->group == localReport->group) {
        lastHeardAt[rank->status.rank] = steadyNow();
        coordinator->onReport(*rank, steadyNow());
    }
}

void agent_process::implementation::onHeartbeat(const entry_heartbeat_message& heartbeat, const udp::endpoint& from)
{
    const time_point now = steadyNow();
    const std::string ip = from.address().to_string();
    if (heartbeat.isStopping) {
        entries.erase(ip);
        return;
    }
    entries[ip] = { from, now };
    if (!localReport || heartbeat.group != localReport->group)
        return;
    for (const auto& member : heartbeat.members) {
        members[member.rank] = { member.address, now };
        addresses[member.rank] = member.address;
    }
    if (heartbeat.expertsPerRank > 0)
        limits = { heartbeat.expertsPerRank, heartbeat.newExpertsPerRank, heartbeat.expertCopyTime, heartbeat.slots };
}

void agent_process::implementation::onRunnerReport(std::optional<platform::runner_report> report, bool isReportDue)
{
    if (!report)
        return;
    if (isReportDue)
        sendLoadToEntries(*report);
    isRunnerCopying = report->isCopying;
    if (report->groupSize == 0)
        return;
    rank_message message;
    message.group = report->load.group;
    message.groupSize = report->groupSize;
    message.status = report->status;
    message.running = report->load.running;
    if (localReport && localReport->status.epoch == message.status.epoch)
        message.choices = std::move(localReport->choices);
    if (!localReport || localReport->status.prepared != message.status.prepared)
        preparedAt = steadyNow();
    localReport = std::move(message);
    const bool areHeldExpertsCurrent = heldExperts && heldExperts->epoch == localReport->status.epoch && heldExperts->map == localReport->status.map;
    if (areHeldExpertsCurrent)
        localReport->status.expertsBySet = heldExperts->experts;
    else
        readExperts();
    sendReportToCoordinators();
}

void agent_process::implementation::readExperts()
{
    runner.readExperts(options.runnerAddress, [this](std::optional<platform::held_experts> response) {
        if (response)
            heldExperts = std::move(response);
    });
}

void agent_process::implementation::readChoices()
{
    runner.readChoices(options.runnerAddress, [this](std::optional<platform::expert_choices> response) {
        if (response && localReport && response->epoch == localReport->status.epoch)
            updateChoices(std::move(*response));
    });
}

void agent_process::implementation::updateChoices(platform::expert_choices&& current)
{
    const std::vector<std::uint32_t>& previous = previousChoices.choices;
    const bool hasBaseline = previousChoices.epoch == current.epoch && previous.size() == current.choices.size();
    if (hasBaseline) {
        localReport->choices.assign(previous.size(), 0);
        for (std::size_t i = 0; i < previous.size(); ++i)
            localReport->choices[i] = static_cast<std::uint16_t>(std::min<std::uint32_t>(current.choices[i] - std::min(previous[i], current.choices[i]), UINT16_MAX));
    }
    previousChoices = std::move(current);
}

void agent_process::implementation::sendLoadToEntries(const platform::runner_report& report)
{
    load_message message;
    message.load = report.load;
    if (reportCount % reportsPerEntryList == 0) {
        for (const auto& [ip, entry] : entries)
            message.entryAddresses.push_back(ip);
    }
    const std::string bytes = encode(message);
    for (const auto& [ip, entry] : entries)
        socket->send(bytes, entry.address);
}

std::vector<rank_id> agent_process::implementation::coordinatorCandidates() const
{
    std::vector<rank_id> ranks { localReport->status.rank };
    for (const auto& [rank, member] : members) {
        if (rank != localReport->status.rank)
            ranks.push_back(rank);
    }
    std::sort(ranks.begin(), ranks.end());
    if (ranks.size() > coordinatorCount)
        ranks.resize(coordinatorCount);
    return ranks;
}

void agent_process::implementation::sendReportToCoordinators()
{
    if (!localReport || localReport->status.expertsBySet.empty())
        return;
    const std::vector<rank_id> coordinatorRanks = coordinatorCandidates();
    for (const rank_id rank : coordinatorRanks) {
        if (rank == localReport->status.rank) {
            if (coordinator)
                coordinator->onReport(*localReport, steadyNow());
        } else if (const auto to = udpEndpoint(members.at(rank).address, options.firstPeerPort + agentDatagramPortOffset)) {
            socket->send(encode(*localReport), *to);
        }
        // Only the first candidate plans maps, so only it needs the choices.
        localReport->choices.clear();
    }
}

bool agent_process::implementation::canCoordinate(time_point now) const
{
    // Without heartbeats from an entry that knows the group, this agent cannot tell whether another agent is the coordinator.
    if (!localReport || members.empty())
        return false;
    const std::vector<rank_id> candidates = coordinatorCandidates();
    if (std::find(candidates.begin(), candidates.end(), localReport->status.rank) == candidates.end())
        return false;
    return std::all_of(candidates.begin(), candidates.end(), [&](rank_id rank) {
        if (rank >= localReport->status.rank)
            return true;
        const auto heard = lastHeardAt.find(rank);
        return heard != lastHeardAt.end() && now - heard->second > coordinatorTimeout;
    });
}

void agent_process::implementation::startCoordinator()
{
    coordinator = std::make_unique<group_coordinator>(localReport->group, localReport->status.rank, localReport->groupSize, log, group_coordinator::hooks { [this](const map_order& order) { sendOrder(order); } });
    // Starts the silence timeout of the lower ranks now.
    const time_point now = steadyNow();
    for (const rank_id rank : coordinatorCandidates())
        lastHeardAt[rank] = now;
}

void agent_process::implementation::updateCoordinator()
{
    const time_point now = steadyNow();
    if (!localReport)
        return;
    const std::vector<rank_id> candidates = coordinatorCandidates();
    const bool isCandidate = !members.empty() && std::find(candidates.begin(), candidates.end(), localReport->status.rank) != candidates.end();
    const bool isBusy = coordinator && coordinator->isBusy();
    if (!isCandidate && !isBusy)
        coordinator.reset();
    if (isCandidate && !coordinator)
        startCoordinator();
    const bool isNowActive = coordinator && canCoordinate(now);
    if (isNowActive != isActiveCoordinator)
        log.write(isNowActive ? "lead_began" : "lead_ended", { { "group", localReport->group.value() }, { "rank", static_cast<std::int64_t>(localReport->status.rank.value()) } });
    isActiveCoordinator = isNowActive;
    if (!coordinator)
        return;
    coordinator->setLimits(limits);
    coordinator->advance(now, isActiveCoordinator);
    if (isActiveCoordinator || coordinator->isBusy())
        pollSilentRanks();
}

std::string agent_process::implementation::addressOf(rank_id rank) const
{
    if (localReport && rank == localReport->status.rank)
        return options.runnerAddress;
    const auto known = addresses.find(rank);
    return known == addresses.end() ? std::string() : known->second;
}

void agent_process::implementation::sendOrder(const map_order& order)
{
    metrics.count("map_order");
    runner.send(addressOf(order.rank), order, [this, order](map_order_result result) {
        if (coordinator)
            coordinator->onOrderResult(order, result, steadyNow());
    });
}

void agent_process::implementation::pollSilentRanks()
{
    for (const rank_id rank : coordinator->silentRanks(steadyNow())) {
        runner.readReport(addressOf(rank), [this](std::optional<platform::runner_report> report) {
            if (!report || !coordinator || report->load.group != localReport->group)
                return;
            coordinator->onReport({ report->load.group, report->groupSize, report->status, report->load.running, {} }, steadyNow());
        });
    }
}

agent_process::agent_process(boost::asio::io_context& context, platform::settings options, event_log& log)
    : m_implementation(std::make_shared<implementation>(context, std::move(options), log))
{
}

agent_process::~agent_process() = default;

bool agent_process::start()
{
    return m_implementation->start();
}

void agent_process::stop()
{
    m_implementation->context.stop();
}

}
