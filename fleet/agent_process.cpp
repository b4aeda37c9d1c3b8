#include "fleet/agent_process.h"

#include "fleet/caller_server.h"
#include "fleet/event_log.h"
#include "fleet/fleet_message.h"
#include "fleet/group_coordinator.h"
#include "fleet/peer_ports.h"
#include "fleet/process_metrics.h"
#include "fleet/steady_time.h"
#include "platform/rank_client.h"
#include "relay/datagram_port.h"
#include "relay/endpoint.h"
#include "relay/http_request_message.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace sardinelb {

using boost::asio::ip::udp;

namespace {

// Entries judge a runner's load by reports of this interval.
constexpr std::chrono::milliseconds reportInterval { 100 };

// The runner is read this often while the map of its group is switched, since the next step of a switch waits for what
// every rank reports.
constexpr std::chrono::milliseconds switchInterval { 25 };

// A rank that has prepared a map is armed within this time, or its switch has been given up.
constexpr duration preparedLifetime = std::chrono::seconds(1);

// Every so many reports, entries are told of each other.
constexpr std::uint32_t reportsPerEntryList = 10;

// An entry or agent that has not been heard of for this long is taken as gone. Beats come twice a second.
constexpr duration memberLifetime = std::chrono::milliseconds(1700);

// A deputy takes over when the coordinator's reports, ten a second, have been missing for this long.
constexpr duration leaderSilence = std::chrono::milliseconds(500);

// Agents that hear of all ranks: the coordinator and its deputy.
constexpr std::size_t coordinators = 2;

}

struct agent_process::implementation : std::enable_shared_from_this<implementation> {
    struct entry_seen {
        udp::endpoint address;
        time_point at;
    };

    struct member_seen {
        std::string address;
        time_point at;
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
    std::shared_ptr<datagram_port> port;
    std::shared_ptr<caller_server> status;
    std::map<std::string, entry_seen> entries;
    std::map<rank_id, member_seen> members;
    // Where the runners of the group are, also of ranks that are silent.
    std::map<rank_id, std::string> addresses;
    group_coordinator::limits limits;
    // The own rank, as last reported by the runner.
    std::optional<rank_message> own;
    std::optional<platform::held_experts> held;
    platform::expert_choices lastChoices;
    std::uint32_t reportCount = 0;
    // When the entries are told of the load next.
    time_point nextReportAt;
    bool isRunnerCopying = false;
    // When the runner first reported the map that it has prepared now.
    time_point preparedAt;
    std::unique_ptr<group_coordinator> coordinator;
    // When the agent of each rank was last heard of, by its own reports.
    std::map<rank_id, time_point> heardAt;
    bool isLeading = false;

    bool start();
    void tick();
    void scheduleTick();
    bool isSwitching() const;
    void received(std::string_view bytes, const udp::endpoint& from);
    void beatArrived(const entry_beat_message&, const udp::endpoint& from);
    void reportArrived(std::optional<platform::runner_report>, bool isForEntries);
    void readExperts();
    void readChoices();
    void noteChoices(platform::expert_choices&&);
    void tellEntries(const platform::runner_report&);
    void tellCoordinator();
    std::vector<rank_id> lowestMembers() const;
    bool shouldLead(time_point now) const;
    void leadGroup();
    void startCoordinator();
    void sendOrder(const map_order&);
    void readSilentRanks();
    std::string addressOf(rank_id) const;
    void forgetSilent();
};

bool agent_process::implementation::start()
{
    const auto self = shared_from_this();
    port = std::make_shared<datagram_port>(context.get_executor(), [this](std::string_view bytes, const udp::endpoint& from) { received(bytes, from); });
    caller_connection::hooks hooks;
    hooks.request = [this](const std::shared_ptr<caller_connection>& caller, http_request_message&&) {
        caller->answer(200, "Content-Type: text/plain; version=0.0.4\r\n", metrics.text());
    };
    hooks.refused = [](int, const char*) {};
    status = std::make_shared<caller_server>(context.get_executor(), std::move(hooks));
    std::string problem;
    const std::string statusAddress = options.ip + ":" + std::to_string(options.firstPeerPort + agentStatusPort);
    const bool isOpen = port->open(options.ip, options.firstPeerPort + agentDatagramPort, problem) && status->listen(statusAddress, problem);
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
    if (!own)
        return false;
    const bool isPrepared = own->status.prepared > own->status.map && steadyNow() - preparedAt < preparedLifetime;
    return isRunnerCopying || isPrepared || own->status.armed || own->status.held;
}

void agent_process::implementation::scheduleTick()
{
    timer.expires_after(isSwitching() ? switchInterval : reportInterval);
    timer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            tick();
    });
}

void agent_process::implementation::tick()
{
    scheduleTick();
    forgetSilent();
    const time_point now = steadyNow();
    const bool isReportDue = now >= nextReportAt;
    if (isReportDue) {
        nextReportAt = now + reportInterval;
        ++reportCount;
        readChoices();
    }
    runner.readReport(options.runnerAddress, [this, isReportDue](std::optional<platform::runner_report> report) { reportArrived(std::move(report), isReportDue); });
    leadGroup();
}

void agent_process::implementation::forgetSilent()
{
    const time_point now = steadyNow();
    std::erase_if(entries, [&](const auto& entry) { return now - entry.second.at > memberLifetime; });
    std::erase_if(members, [&](const auto& entry) { return now - entry.second.at > memberLifetime; });
}

void agent_process::implementation::received(std::string_view bytes, const udp::endpoint& from)
{
    const auto message = decode(bytes);
    if (!message) {
        log.write("datagram_unreadable", { { "from", from.address().to_string() } });
        return;
    }
    if (const auto* beat = std::get_if<entry_beat_message>(&*message))
        beatArrived(*beat, from);
    else if (const auto* rank = std::get_if<rank_message>(&*message); rank && coordinator && own && rank->group == own->group) {
        heardAt[rank->status.rank] = steadyNow();
        coordinator->report(*rank, steadyNow());
    }
}

void agent_process::implementation::beatArrived(const entry_beat_message& beat, const udp::endpoint& from)
{
    const time_point now = steadyNow();
    const std::string ip = from.address().to_string();
    if (beat.isStopping) {
        entries.erase(ip);
        return;
    }
    entries[ip] = { from, now };
    if (!own || beat.group != own->group)
        return;
    for (const auto& member : beat.members) {
        members[member.rank] = { member.address, now };
        addresses[member.rank] = member.address;
    }
    if (beat.placesPerRank > 0)
        limits = { beat.placesPerRank, beat.newPerRank, beat.expertCopyTime, beat.slots };
}

void agent_process::implementation::reportArrived(std::optional<platform::runner_report> report, bool isForEntries)
{
    if (!report)
        return;
    if (isForEntries)
        tellEntries(*report);
    isRunnerCopying = report->isCopying;
    if (report->groupSize == 0)
        return;
    rank_message message;
    message.group = report->load.group;
    message.groupSize = report->groupSize;
    message.status = report->status;
    message.running = report->load.running;
    if (own && own->status.epoch == message.status.epoch)
        message.choices = std::move(own->choices);
    if (!own || own->status.prepared != message.status.prepared)
        preparedAt = steadyNow();
    own = std::move(message);
    const bool isHeldKnown = held && held->epoch == own->status.epoch && held->map == own->status.map;
    if (isHeldKnown)
        own->status.experts = held->experts;
    else
        readExperts();
    tellCoordinator();
}

void agent_process::implementation::readExperts()
{
    runner.readExperts(options.runnerAddress, [this](std::optional<platform::held_experts> answer) {
        if (answer)
            held = std::move(answer);
    });
}

void agent_process::implementation::readChoices()
{
    runner.readChoices(options.runnerAddress, [this](std::optional<platform::expert_choices> answer) {
        if (answer && own && answer->epoch == own->status.epoch)
            noteChoices(std::move(*answer));
    });
}

void agent_process::implementation::noteChoices(platform::expert_choices&& answer)
{
    const std::vector<std::uint32_t>& before = lastChoices.choices;
    const bool isContinued = lastChoices.epoch == answer.epoch && before.size() == answer.choices.size();
    if (isContinued) {
        own->choices.assign(before.size(), 0);
        for (std::size_t i = 0; i < before.size(); ++i)
            own->choices[i] = static_cast<std::uint16_t>(std::min<std::uint32_t>(answer.choices[i] - std::min(before[i], answer.choices[i]), UINT16_MAX));
    }
    lastChoices = std::move(answer);
}

void agent_process::implementation::tellEntries(const platform::runner_report& report)
{
    load_message message;
    message.load = report.load;
    if (reportCount % reportsPerEntryList == 0) {
        for (const auto& [ip, entry] : entries)
            message.entries.push_back(ip);
    }
    const std::string bytes = encode(message);
    for (const auto& [ip, entry] : entries)
        port->send(bytes, entry.address);
}

std::vector<rank_id> agent_process::implementation::lowestMembers() const
{
    std::vector<rank_id> ranks { own->status.rank };
    for (const auto& [rank, member] : members) {
        if (rank != own->status.rank)
            ranks.push_back(rank);
    }
    std::sort(ranks.begin(), ranks.end());
    if (ranks.size() > coordinators)
        ranks.resize(coordinators);
    return ranks;
}

void agent_process::implementation::tellCoordinator()
{
    if (!own || own->status.experts.empty())
        return;
    const std::vector<rank_id> receivers = lowestMembers();
    for (const rank_id rank : receivers) {
        if (rank == own->status.rank) {
            if (coordinator)
                coordinator->report(*own, steadyNow());
        } else if (const auto to = udpEndpoint(members.at(rank).address, options.firstPeerPort + agentDatagramPort)) {
            port->send(encode(*own), *to);
        }
        // Only the first one plans.
        own->choices.clear();
    }
}

bool agent_process::implementation::shouldLead(time_point now) const
{
    // Without an entry that knows the group, this agent cannot tell whether another one leads.
    if (!own || members.empty())
        return false;
    const std::vector<rank_id> candidates = lowestMembers();
    if (std::find(candidates.begin(), candidates.end(), own->status.rank) == candidates.end())
        return false;
    return std::all_of(candidates.begin(), candidates.end(), [&](rank_id rank) {
        if (rank >= own->status.rank)
            return true;
        const auto heard = heardAt.find(rank);
        return heard != heardAt.end() && now - heard->second > leaderSilence;
    });
}

void agent_process::implementation::startCoordinator()
{
    coordinator = std::make_unique<group_coordinator>(own->group, own->status.rank, own->groupSize, log, group_coordinator::hooks { [this](const map_order& order) { sendOrder(order); } });
    // The silence of lower ranks counts from now on.
    const time_point now = steadyNow();
    for (const rank_id rank : lowestMembers())
        heardAt[rank] = now;
}

void agent_process::implementation::leadGroup()
{
    const time_point now = steadyNow();
    if (!own)
        return;
    const std::vector<rank_id> candidates = lowestMembers();
    const bool isCandidate = !members.empty() && std::find(candidates.begin(), candidates.end(), own->status.rank) != candidates.end();
    const bool isBusy = coordinator && coordinator->isBusy();
    if (!isCandidate && !isBusy)
        coordinator.reset();
    if (isCandidate && !coordinator)
        startCoordinator();
    const bool leads = coordinator && shouldLead(now);
    if (leads != isLeading)
        log.write(leads ? "lead_began" : "lead_ended", { { "group", own->group.value() }, { "rank", static_cast<std::int64_t>(own->status.rank.value()) } });
    isLeading = leads;
    if (!coordinator)
        return;
    coordinator->setLimits(limits);
    coordinator->advance(now, isLeading);
    if (isLeading || coordinator->isBusy())
        readSilentRanks();
}

std::string agent_process::implementation::addressOf(rank_id rank) const
{
    if (own && rank == own->status.rank)
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

void agent_process::implementation::readSilentRanks()
{
    for (const rank_id rank : coordinator->silentRanks(steadyNow())) {
        runner.readReport(addressOf(rank), [this](std::optional<platform::runner_report> report) {
            if (!report || !coordinator || report->load.group != own->group)
                return;
            coordinator->report({ report->load.group, report->groupSize, report->status, report->load.running, {} }, steadyNow());
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
