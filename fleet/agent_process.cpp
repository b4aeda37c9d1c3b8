#include "fleet/agent_process.h"

#include "expert_map/arm_witness.h"
#include "fleet/broken_answer_log.h"
#include "fleet/demand_reporting.h"
#include "fleet/event_log.h"
#include "fleet/fleet_message.h"
#include "fleet/group_coordinator.h"
#include "fleet/group_members.h"
#include "fleet/held_experts_filter.h"
#include "fleet/http_listener.h"
#include "fleet/map_order_dispatcher.h"
#include "fleet/map_order_executor.h"
#include "fleet/peer_ports.h"
#include "fleet/process_metrics.h"
#include "fleet/runner_report_filter.h"
#include "fleet/steady_time.h"
#include "platform/rank_client.h"
#include "relay/endpoint.h"
#include "relay/http_request_message.h"
#include "relay/udp_socket.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace sardinelb {

using boost::asio::ip::udp;

namespace {

// Shortest interval of the reports by which entries judge a runner's load, and of those to the coordinators.
constexpr std::chrono::milliseconds reportInterval { 100 };

// Extends the interval of the load reports, so that an agent sends at most 80 a second however many entries there are.
constexpr duration reportIntervalPerEntry = std::chrono::microseconds(12500);

// Extends the interval of the reports to the coordinators, so that a coordinator gets at most 700 a second.
constexpr duration reportIntervalPerRank = std::chrono::microseconds(1430);

// One in this many reports to the coordinators lists the experts of the rank, in case those sent after a change were lost.
constexpr std::uint32_t reportsPerExpertList = 10;

// Reports after a change of the rank's experts that list them.
constexpr std::uint32_t expertListRepetitions = 2;

// Interval of the demand routes that a coordinator sends.
constexpr duration demandRouteInterval = std::chrono::seconds(1);

// Fraction of its link that a coordinator uses for demand reports.
constexpr double demandLinkFraction = 0.25;

// Interval of reading the runner during a map switch, because each step of a switch waits for reports from all ranks.
constexpr std::chrono::milliseconds mapSwitchReportInterval { 25 };

// A rank that is not armed within this time after it prepared a map belongs to an abandoned switch.
constexpr duration preparedMapTimeout = std::chrono::seconds(1);

// Interval of the load reports that list the known entries, so that entries discover each other.
constexpr duration entryListInterval = std::chrono::seconds(1);

// Lists of experts of other ranks that a coordinator reads at once, so that they fit the memory of a machine whatever their length.
constexpr std::size_t maxLackingReads = 8;

// Entries that are silent for this long are removed. Heartbeats arrive twice a second.
constexpr duration peerTimeout = std::chrono::milliseconds(1700);

}

struct agent_process::implementation : std::enable_shared_from_this<implementation> {
    struct known_entry {
        udp::endpoint address;
        time_point lastHeardAt;
    };

    implementation(boost::asio::io_context& io, platform::settings values, event_log& events)
        : context(io)
        , options(std::move(values))
        , log(events)
        , brokenAnswers(events, metrics)
        , runner(io.get_executor(), options.linkMegabitsPerSecond, [this](std::string_view question, std::string_view reason) { brokenAnswers.record(question, reason); })
        , timer(io)
    {
    }

    boost::asio::io_context& context;
    platform::settings options;
    event_log& log;
    process_metrics metrics;
    broken_answer_log brokenAnswers;
    platform::rank_client runner;
    boost::asio::steady_timer timer;
    std::shared_ptr<udp_socket> socket;
    std::shared_ptr<http_listener> metricsServer;
    std::map<std::string, known_entry> entries;
    group_members members;
    group_coordinator::limits limits;
    runner_report_filter reportFilter;
    // Last report of the local rank.
    std::optional<rank_message> localReport;
    // Decides which lists of the local rank's experts to believe while the map in use was not ordered through this agent.
    held_experts_filter expertsFilter;
    demand_reporting demand;
    // The coordinator that sent the last demand route.
    std::optional<udp::endpoint> demandCoordinator;
    // When the next load report with the list of entries is due.
    time_point nextEntryListAt;
    // When the next load report to the entries is due.
    time_point nextLoadReportAt;
    // When the next report to the coordinators is due even if nothing changes.
    time_point nextRankReportAt;
    std::uint32_t rankReportCount = 0;
    std::uint32_t expertListsDue = 0;
    map_order_executor orderExecutor;
    arm_witness witness;
    bool isRunnerCopying = false;
    // A runner that answers slowly gets one report request at a time; more would make it slower still.
    bool isReadingReport = false;
    // Whether to read the report again when the read in progress ends, because it may show the state before an order.
    bool isReportOutdated = false;
    // Whether the last report awaits confirmation by the next one.
    bool isConfirmingReport = false;
    bool isReadingExperts = false;
    bool isReadingChoices = false;
    // Ranks whose report the coordinator is reading.
    std::set<rank_id> polledRanks;
    // Decides which of those reports the coordinator may use.
    std::map<rank_id, runner_report_filter> polledReportFilters;
    // Ranks whose experts the coordinator has to read, and the number of such reads in progress.
    std::set<rank_id> lackingRanks;
    std::size_t lackingReads = 0;
    // Whether the runner's last answer of each kind could be read. An unreadable one counts as none.
    std::map<std::string, bool> readableAnswers;
    // When the runner first reported the map that it currently has prepared.
    time_point preparedAt;
    std::unique_ptr<group_coordinator> coordinator;
    // Exists while `coordinator` does.
    std::unique_ptr<map_order_dispatcher> dispatcher;
    time_point nextDemandRoutesAt;
    bool isActiveCoordinator = false;

    bool start();
    void tick();
    void scheduleTick();
    bool isSwitching() const;
    void onDatagram(std::string_view bytes, const udp::endpoint& from);
    void onHeartbeat(const entry_heartbeat_message&, const udp::endpoint& from);
    void onRankReport(const rank_message&);
    void onDemandReport(const demand_report_message&);
    void onDelegatedOrder(const delegated_order_message&, const udp::endpoint& from);
    void onWitnessedOrder(const map_order&, const std::function<void(map_order_result)>& answer);
    bool isHoldingRank() const;
    void readRunner();
    void onRunnerReport(std::optional<platform::runner_report>);
    // Whether the report may be used. Counts those that the next one contradicts.
    bool isCredible(runner_report_filter&, const platform::runner_report&);
    // Sets the experts of the local rank in the map in use.
    void setLocalExperts();
    void readExperts();
    void logIfChanged(const std::string& answer, bool isReadable);
    void reportDemand();
    void sendDemand(const demand_reporting::outgoing&);
    void sendDemandRoutes();
    double linkBytesPerSecond() const;
    duration loadReportInterval() const;
    duration rankReportInterval() const;
    bool isRankReportDue(const rank_status& before) const;
    void sendLoadToEntries(const platform::runner_report&);
    void sendReportToCoordinators();
    void sendToAgent(const std::string& runnerAddress, const fleet_message&);
    void resetCoordinator();
    void updateCoordinator();
    void startCoordinator();
    void sendOrderToRunner(const map_order&);
    void pollSilentRanks();
    void readLackingExperts();
    void startLackingReads();
    bool isCoordinatorOfThisRank() const;
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
    if (coordinator && (coordinator->isBusy() || coordinator->isPassHeld()))
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
    if (demand.isReportDue(steadyNow()))
        reportDemand();
    readRunner();
    if (dispatcher)
        dispatcher->advance(steadyNow());
    updateCoordinator();
}

void agent_process::implementation::readRunner()
{
    if (isReadingReport)
        return;
    isReadingReport = true;
    isReportOutdated = false;
    runner.readReport(options.runnerAddress, [this](std::optional<platform::runner_report> report) {
        isReadingReport = false;
        const bool wasConfirming = isConfirmingReport;
        isConfirmingReport = false;
        onRunnerReport(std::move(report));
        // Another change is not confirmed at once, so that a runner that says something else each time is not asked without a pause.
        if (isReportOutdated || (isConfirmingReport && !wasConfirming))
            readRunner();
    });
}

void agent_process::implementation::removeSilent()
{
    const time_point now = steadyNow();
    std::erase_if(entries, [&](const auto& entry) { return now - entry.second.lastHeardAt > peerTimeout; });
    members.removeSilentCandidates(now);
}

void agent_process::implementation::onDatagram(std::string_view bytes, const udp::endpoint& from)
{
    const auto message = decode(bytes);
    if (!message) {
        log.write("datagram_unreadable", { { "from", from.address().to_string() } });
        return;
    }
    if (const auto* heartbeat = std::get_if<entry_heartbeat_message>(&*message)) {
        onHeartbeat(*heartbeat, from);
    } else if (const auto* rank = std::get_if<rank_message>(&*message)) {
        onRankReport(*rank);
    } else if (const auto* report = std::get_if<demand_report_message>(&*message)) {
        onDemandReport(*report);
    } else if (const auto* route = std::get_if<demand_route_message>(&*message)) {
        demand.setRoute(*route, steadyNow());
        demandCoordinator = from;
    } else if (const auto* order = std::get_if<delegated_order_message>(&*message)) {
        onDelegatedOrder(*order, from);
    } else if (const auto* result = std::get_if<delegated_result_message>(&*message); result && dispatcher) {
        dispatcher->onDelegatedResult(*result, steadyNow());
    }
}

void agent_process::implementation::onRankReport(const rank_message& message)
{
    if (!coordinator || !localReport || message.group != localReport->group)
        return;
    members.onReport(message.status.rank, message.address, message.zone, steadyNow());
    coordinator->onReport(message, steadyNow());
}

void agent_process::implementation::onDemandReport(const demand_report_message& message)
{
    // A coordinator uses reports at once; a collector adds them to its next one.
    if (coordinator && isActiveCoordinator)
        coordinator->onDemand(message, steadyNow());
    else
        demand.onReport(message);
}

void agent_process::implementation::onDelegatedOrder(const delegated_order_message& message, const udp::endpoint& from)
{
    if (!localReport || message.group != localReport->group)
        return;
    if (message.order.isWitnessed) {
        onWitnessedOrder(message.order, [this, from, id = message.id](map_order_result result) {
            using outcome = delegated_result_message::outcome;
            const outcome answer = result == map_order_result::Accepted ? outcome::Accepted : result == map_order_result::Refused ? outcome::Refused
                                                                                                                                  : outcome::Unanswered;
            socket->send(encode(delegated_result_message { id, answer }), from);
        });
        return;
    }
    if (message.order.rank != localReport->status.rank)
        return;
    const auto order = orderExecutor.complete(message);
    if (!order) {
        socket->send(encode(delegated_result_message { message.id, delegated_result_message::outcome::BaseUnknown }), from);
        return;
    }
    if (order->action == map_order::kind::Prepare)
        orderExecutor.onPrepareSent(*order, localReport->status.map);
    runner.send(options.runnerAddress, *order, true, [this, from, id = message.id, order = *order](map_order_result result) {
        using outcome = delegated_result_message::outcome;
        const bool isAccepted = result == map_order_result::Accepted;
        if (isAccepted && order.action == map_order::kind::Prepare)
            orderExecutor.onPrepared(order, localReport->status.map);
        const outcome answer = isAccepted ? outcome::Accepted : result == map_order_result::Refused ? outcome::Refused
                                                                                                    : outcome::Unanswered;
        socket->send(encode(delegated_result_message { id, answer }), from);
        isReportOutdated = true;
        readRunner();
    });
}

bool agent_process::implementation::isHoldingRank() const
{
    return localReport->status.rank.value() + 1 == localReport->groupSize;
}

void agent_process::implementation::onWitnessedOrder(const map_order& order, const std::function<void(map_order_result)>& answer)
{
    if (!isHoldingRank() || order.epoch != localReport->status.epoch)
        return;
    if (order.action == map_order::kind::Seal) {
        const std::optional<bool> isSealed = witness.seal(order.step);
        log.write("arm_sealed", { { "group", localReport->group.value() }, { "rank", static_cast<std::int64_t>(order.rank.value()) }, { "step", static_cast<std::int64_t>(order.step.value()) }, { "accepted", isSealed.value_or(false) }, { "known", isSealed.has_value() } });
        if (isSealed)
            answer(*isSealed ? map_order_result::Accepted : map_order_result::Refused);
        return;
    }
    const std::string address = addressOf(order.rank);
    if (order.action != map_order::kind::Arm || !witness.mayArm(order.step, order.version)) {
        answer(map_order_result::Refused);
    } else if (witness.isArmed(order.step, order.version)) {
        answer(map_order_result::Accepted);
    } else if (address.empty()) {
        answer(map_order_result::Unanswered);
    } else {
        witness.onArmSent(order.step, order.version);
        runner.send(address, order, false, [this, order, answer](map_order_result result) {
            if (result == map_order_result::Accepted)
                witness.onArmed(order.step, order.version);
            answer(result);
        });
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
    for (const auto& member : heartbeat.members)
        members.onCandidate(member.rank, member.address, member.age, now);
    if (heartbeat.expertsPerRank > 0)
        limits = { heartbeat.expertsPerRank, heartbeat.newExpertsPerRank, heartbeat.expertCopyTime, heartbeat.slots, linkBytesPerSecond() };
}

double agent_process::implementation::linkBytesPerSecond() const
{
    constexpr double bytesPerSecondPerMegabit = 125000;
    return options.linkMegabitsPerSecond * bytesPerSecondPerMegabit;
}

duration agent_process::implementation::loadReportInterval() const
{
    return std::max<duration>(reportInterval, reportIntervalPerEntry * entries.size());
}

duration agent_process::implementation::rankReportInterval() const
{
    return std::max<duration>(reportInterval, reportIntervalPerRank * localReport->groupSize);
}

bool agent_process::implementation::isRankReportDue(const rank_status& before) const
{
    const rank_status& status = localReport->status;
    // Each stage of a map switch waits for all ranks, so these changes are reported at once.
    const bool isChanged = status.epoch != before.epoch || status.map != before.map || status.prepared != before.prepared || status.armed != before.armed
        || status.held != before.held || status.isOpen != before.isOpen;
    return isChanged || steadyNow() >= nextRankReportAt;
}

void agent_process::implementation::onRunnerReport(std::optional<platform::runner_report> report)
{
    logIfChanged("report", report.has_value());
    if (!report)
        return;
    if (!isCredible(reportFilter, *report)) {
        isConfirmingReport = true;
        return;
    }
    const time_point now = steadyNow();
    if (now >= nextLoadReportAt) {
        nextLoadReportAt = now + loadReportInterval();
        sendLoadToEntries(*report);
    }
    isRunnerCopying = report->isCopying;
    if (report->groupSize == 0)
        return;
    rank_message message;
    message.group = report->load.group;
    message.groupSize = report->groupSize;
    message.status = report->status;
    message.running = report->load.running;
    message.address = options.runnerAddress;
    message.zone = options.zone;
    const rank_status before = localReport ? std::move(localReport->status) : rank_status {};
    if (!localReport || before.prepared != message.status.prepared)
        preparedAt = now;
    message.status.isWitness = true;
    localReport = std::move(message);
    witness.onStatus(localReport->status);
    demand.setGroup(localReport->group, localReport->status.epoch);
    setLocalExperts();
    const bool isMapNew = before.epoch != localReport->status.epoch || before.map != localReport->status.map;
    if (isMapNew && !localReport->status.expertsBySet.empty())
        expertListsDue = expertListRepetitions;
    // The coordinator beside this runner follows it closely, since the pass to hold is chosen from its steps.
    if (coordinator)
        coordinator->onReport(*localReport, now);
    if (isRankReportDue(before))
        sendReportToCoordinators();
}

bool agent_process::implementation::isCredible(runner_report_filter& filter, const platform::runner_report& report)
{
    const bool isAccepted = filter.onReport(report) == runner_report_filter::verdict::Accepted;
    if (const char* field = filter.contradictedField())
        brokenAnswers.record("report", std::string("contradicted_") + field);
    return isAccepted;
}

void agent_process::implementation::setLocalExperts()
{
    rank_status& status = localReport->status;
    // What was ordered is not asked of the runner.
    const auto placement = orderExecutor.placementOf(status.epoch, status.map);
    if (placement && coordinator)
        coordinator->onPlacement(status.epoch, status.map, placement);
    status.expertsBySet = placement ? expertsOf(*placement, status.rank) : std::vector<std::vector<expert_number>>();
    if (!status.expertsBySet.empty())
        return;
    if (const auto* experts = expertsFilter.experts(status.epoch, status.map))
        status.expertsBySet = *experts;
    if (expertsFilter.isReadDue(status.epoch, status.map, steadyNow()))
        readExperts();
}

void agent_process::implementation::readExperts()
{
    if (isReadingExperts)
        return;
    isReadingExperts = true;
    runner.readExperts(options.runnerAddress, [this](std::optional<platform::held_experts> response) {
        isReadingExperts = false;
        logIfChanged("experts", response.has_value());
        if (!response)
            return;
        const bool hasChanged = expertsFilter.onList(std::move(*response), steadyNow());
        if (expertsFilter.isContradicted())
            brokenAnswers.record("experts", "contradicted");
        if (!hasChanged)
            return;
        expertListsDue = expertListRepetitions;
        nextRankReportAt = {};
    });
}

void agent_process::implementation::logIfChanged(const std::string& answer, bool isReadable)
{
    bool& wasReadable = readableAnswers.try_emplace(answer, true).first->second;
    if (isReadable != wasReadable)
        log.write(isReadable ? "runner_answer_regained" : "runner_answer_lost", { { "answer", answer } });
    wasReadable = isReadable;
}

void agent_process::implementation::reportDemand()
{
    if (!localReport || isReadingChoices)
        return;
    isReadingChoices = true;
    runner.readChoices(options.runnerAddress, [this](const std::optional<platform::expert_choices>& response) {
        isReadingChoices = false;
        logIfChanged("choices", response.has_value());
        if (response && !demand.onCounters(response->choices, response->epoch, localReport->status.expertsBySet.size()))
            brokenAnswers.record("choices", "contradicted");
        if (const auto report = demand.takeReport(steadyNow()))
            sendDemand(*report);
    });
}

void agent_process::implementation::sendDemand(const demand_reporting::outgoing& outgoing)
{
    if (coordinator && isActiveCoordinator)
        coordinator->onDemand(outgoing.report, steadyNow());
    else if (!outgoing.collector.empty())
        sendToAgent(outgoing.collector, outgoing.report);
    else if (demandCoordinator)
        socket->send(encode(outgoing.report), *demandCoordinator);
}

void agent_process::implementation::sendDemandRoutes()
{
    const time_point now = steadyNow();
    if (!isActiveCoordinator || now < nextDemandRoutesAt)
        return;
    nextDemandRoutesAt = now + demandRouteInterval;
    const demand_route route = coordinator->demandRoute(linkBytesPerSecond() * demandLinkFraction);
    demand_route_message message { localReport->group, localReport->status.epoch, "", route.interval };
    const std::vector<rank_id> order = members.ranksByZone({ localReport->status.rank, options.zone });
    for (std::uint32_t position = 0; position < order.size(); ++position) {
        const rank_id rank = order[position];
        const std::string address = addressOf(rank);
        const rank_id collector = order[std::min<std::size_t>(route.collectorOf(position), order.size() - 1)];
        const bool isCollected = collector != rank && members.isReporting(collector, now);
        message.collector = isCollected ? addressOf(collector) : std::string();
        if (rank == localReport->status.rank)
            demand.setRoute(message, now);
        else
            sendToAgent(address, message);
    }
}

void agent_process::implementation::sendToAgent(const std::string& runnerAddress, const fleet_message& message)
{
    if (const auto to = udpEndpoint(runnerAddress, options.firstPeerPort + agentDatagramPortOffset))
        socket->send(encode(message), *to);
}

void agent_process::implementation::sendLoadToEntries(const platform::runner_report& report)
{
    load_message message;
    message.load = report.load;
    const time_point now = steadyNow();
    if (now >= nextEntryListAt) {
        nextEntryListAt = now + entryListInterval;
        for (const auto& [ip, entry] : entries)
            message.entryAddresses.push_back(ip);
    }
    const std::string bytes = encode(message);
    for (const auto& [ip, entry] : entries)
        socket->send(bytes, entry.address);
}

void agent_process::implementation::sendReportToCoordinators()
{
    nextRankReportAt = steadyNow() + rankReportInterval();
    rank_message message = *localReport;
    // The ranks send their lists at different times.
    const bool isListDue = (++rankReportCount + message.status.rank.value()) % reportsPerExpertList == 0;
    if (expertListsDue > 0)
        --expertListsDue;
    else if (!isListDue)
        message.status.expertsBySet.clear();
    for (const rank_id rank : members.coordinatorCandidates(localReport->status.rank)) {
        if (rank != localReport->status.rank)
            sendToAgent(members.addressOf(rank), message);
    }
}

void agent_process::implementation::startCoordinator()
{
    const rank_id local = localReport->status.rank;
    map_order_dispatcher::hooks delivery;
    delivery.sendDirectly = [this](const map_order& order) { sendOrderToRunner(order); };
    delivery.sendToAgent = [this](const delegated_order_message& message) { sendToAgent(addressOf(message.order.isWitnessed ? rank_id(localReport->groupSize - 1) : message.order.rank), message); };
    delivery.onResult = [this](const map_order& order, map_order_result result) { coordinator->onOrderResult(order, result, steadyNow()); };
    // Microseconds since the machine started, so that they exceed the numbers of an earlier process, too.
    const auto firstId = static_cast<std::uint64_t>(steadyNow().time_since_epoch().count());
    dispatcher = std::make_unique<map_order_dispatcher>(localReport->group, local, firstId, std::move(delivery));
    const auto sendOrder = [this](const map_order& order) {
        metrics.count("map_order");
        dispatcher->dispatch(order, steadyNow());
    };
    const auto onHoldEnded = [this, group = localReport->group](const pass_hold& hold) { metrics.recordHold(group.value(), hold.held, hold.waited); };
    const auto onOrderOutcome = [this](const std::string& order, const std::string& outcome) { metrics.countOrder(order, outcome); };
    const auto onListsContradictory = [this] { metrics.count("expert_lists_contradictory"); };
    coordinator = std::make_unique<group_coordinator>(localReport->group, local, localReport->groupSize, log, group_coordinator::hooks { sendOrder, onHoldEnded, onOrderOutcome, onListsContradictory });
    members.startSilenceTimeout(local, steadyNow());
}

void agent_process::implementation::updateCoordinator()
{
    const time_point now = steadyNow();
    if (!localReport)
        return;
    const rank_id local = localReport->status.rank;
    const bool isCandidate = members.isCandidate(local);
    const bool isBusy = coordinator && coordinator->isBusy();
    if ((!isCandidate && !isBusy) || (coordinator && !isCoordinatorOfThisRank()))
        resetCoordinator();
    if (isCandidate && !coordinator)
        startCoordinator();
    const bool isNowActive = coordinator && members.canCoordinate(local, now);
    if (isNowActive != isActiveCoordinator)
        log.write(isNowActive ? "lead_began" : "lead_ended", { { "group", localReport->group.value() }, { "rank", static_cast<std::int64_t>(local.value()) } });
    isActiveCoordinator = isNowActive;
    if (!coordinator)
        return;
    coordinator->setLimits(limits);
    coordinator->advance(now, isActiveCoordinator);
    sendDemandRoutes();
    if (isActiveCoordinator || coordinator->isBusy() || coordinator->isPassHeld())
        pollSilentRanks();
    readLackingExperts();
}

std::string agent_process::implementation::addressOf(rank_id rank) const
{
    if (localReport && rank == localReport->status.rank)
        return options.runnerAddress;
    return members.addressOf(rank);
}

bool agent_process::implementation::isCoordinatorOfThisRank() const
{
    return coordinator->group() == localReport->group && coordinator->groupSize() == localReport->groupSize && coordinator->localRank() == localReport->status.rank;
}

void agent_process::implementation::resetCoordinator()
{
    coordinator.reset();
    dispatcher.reset();
}

void agent_process::implementation::sendOrderToRunner(const map_order& order)
{
    const std::string address = addressOf(order.rank);
    const bool isOwnPrepare = order.action == map_order::kind::Prepare && localReport && order.rank == localReport->status.rank;
    if (isOwnPrepare)
        orderExecutor.onPrepareSent(order, localReport->status.map);
    runner.send(address, order, address == options.runnerAddress, [this, order, isOwnPrepare](map_order_result result) {
        if (isOwnPrepare && result == map_order_result::Accepted)
            orderExecutor.onPrepared(order, localReport->status.map);
        if (dispatcher)
            dispatcher->onDirectResult(order, result);
    });
}

void agent_process::implementation::pollSilentRanks()
{
    const std::vector<rank_id> silent = coordinator->silentRanks(steadyNow());
    dispatcher->setSilentRanks(silent);
    for (const rank_id rank : silent) {
        if (!polledRanks.insert(rank).second)
            continue;
        runner.readReport(addressOf(rank), [this, rank](std::optional<platform::runner_report> report) {
            polledRanks.erase(rank);
            // The answer of another rank tells nothing of this one.
            const bool isOfRank = report && report->load.group == localReport->group && report->load.rank == rank;
            if (!isOfRank || !isCredible(polledReportFilters[rank], *report) || !coordinator)
                return;
            coordinator->onReport({ report->load.group, report->groupSize, report->status, report->load.running, addressOf(report->status.rank), {} }, steadyNow());
        });
    }
}

void agent_process::implementation::readLackingExperts()
{
    for (const rank_id rank : coordinator->takeRanksLackingExperts(steadyNow()))
        lackingRanks.insert(rank);
    startLackingReads();
}

void agent_process::implementation::startLackingReads()
{
    while (!lackingRanks.empty() && lackingReads < maxLackingReads) {
        const rank_id rank = *lackingRanks.begin();
        lackingRanks.erase(lackingRanks.begin());
        ++lackingReads;
        runner.readExperts(addressOf(rank), [this, rank](std::optional<platform::held_experts> response) {
            --lackingReads;
            if (response && coordinator)
                coordinator->onExperts(rank, response->epoch, response->map, std::move(response->experts));
            startLackingReads();
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
