#include "bench/limit_fleet.h"
#include "bench/limit_workload.h"
#include "coordination/limits/limit_bucket.h"
#include "coordination/limits/limit_share.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <iostream>
#include <map>
#include <string>
#include <vector>

using namespace sardinelb;

namespace {

constexpr duration window = std::chrono::seconds(10);
constexpr double windowSeconds = 10;

// What one way of limiting admitted and refused.
struct limit_outcome {
    // Highest use in ten seconds, relative to the rate over ten seconds and the burst.
    double overContract = 0;
    // One, plus the use beyond what one bucket that sees everything would have allowed, over any length of time, in
    // units of ten seconds of the rate.
    double beyondBucket = 1;
    double underContract = 0;
    double refusedUnderContract = 0;
    // Tokens of greedy teams during the greedy phase: admitted, and admitted by the account that sees everything.
    double greedyAdmitted = 0;
    double greedyAllowed = 0;
    double bytesMean = 0;
    double bytesMost = 0;
};

// Use of one team in the last ten seconds.
class use_window {
public:
    void add(time_point now, const limit_amount& amount)
    {
        m_uses.push_back({ now, amount });
        m_sum += amount;
        for (; m_uses.front().first + window <= now; m_uses.pop_front())
            m_sum -= m_uses.front().second;
    }

    const limit_amount& sum() const { return m_sum; }

private:
    std::deque<std::pair<time_point, limit_amount>> m_uses;
    limit_amount m_sum;
};

// Collects the decisions about one workload, in the order of time.
class limit_meter {
public:
    explicit limit_meter(const limit_workload& workload)
        : m_workload(workload)
        , m_windows(workload.limits().size())
    {
        for (const derived_limits& limits : workload.limits()) {
            const limit_share share = wholeShare(limits);
            m_buckets.emplace_back(share, share.burst, limit_workload::start);
        }
    }

    void decided(const offered_request& request, bool isAdmitted, time_point now)
    {
        if (request.isUnderContract) {
            m_outcome.underContract += 1;
            m_outcome.refusedUnderContract += isAdmitted ? 0 : 1;
        }
        if (limit_workload::isGreedy(request.team) && isInGreedyPhase(request.arrival)) {
            const double tokens = limit_workload::tokensOf(request.used);
            m_outcome.greedyAdmitted += isAdmitted ? tokens : 0;
            m_outcome.greedyAllowed += request.fitsContract ? tokens : 0;
        }
        if (isAdmitted)
            use(request.team, now, { std::min(reserved(request), limit_workload::tokensOf(request.used)), 1 });
    }

    // Counts tokens beyond the reservation when they become known.
    void finished(const offered_request& request, time_point now)
    {
        const double more = limit_workload::tokensOf(request.used) - reserved(request);
        if (more > 0)
            use(request.team, now, { more, 0 });
    }

    limit_outcome& outcome() { return m_outcome; }

private:
    static double reserved(const offered_request& request) { return limit_workload::tokensOf(request.cost); }

    static bool isInGreedyPhase(time_point now)
    {
        return now >= limit_workload::greedyStart && now < limit_workload::greedyEnd;
    }

    void use(int team, time_point now, const limit_amount& amount)
    {
        const auto index = static_cast<std::size_t>(team);
        limit_bucket& bucket = m_buckets[index];
        const limit_amount rate = bucket.share().rate * windowSeconds;
        m_windows[index].add(now, amount);
        m_outcome.overContract
            = std::max(m_outcome.overContract, largestRatio(m_windows[index].sum(), rate + bucket.share().burst));
        bucket.refill(now, {});
        bucket.take(amount);
        const limit_amount debt = limit_amount() - bucket.level();
        m_outcome.beyondBucket = std::max(m_outcome.beyondBucket, 1 + largestRatio(debt, rate));
    }

    static double largestRatio(const limit_amount& used, const limit_amount& allowed)
    {
        return std::max(used.tokens / allowed.tokens, used.requests / allowed.requests);
    }

    const limit_workload& m_workload;
    std::vector<use_window> m_windows;
    std::vector<limit_bucket> m_buckets;
    limit_outcome m_outcome;
};

// Drives the fleet through one workload.
class fleet_run {
public:
    fleet_run(const limit_workload_shape& shape, const limit_workload& workload, std::uint64_t seed)
        : m_shape(shape)
        , m_workload(workload)
        , m_meter(workload)
        , m_fleet(settingsFor(shape, workload, seed))
        , m_random(seed + 1)
    {
    }

    limit_outcome run()
    {
        for (time_point death = limit_workload::start + m_shape.firstDeath; death < limit_workload::end;
             death += m_shape.deathPeriod)
            m_fleet.at(death, [this] { killOne(); });
        submitNext(0);
        m_fleet.runUntil(limit_workload::end + std::chrono::seconds(1));
        measureBytes();
        return m_meter.outcome();
    }

private:
    static limit_fleet_settings settingsFor(
        const limit_workload_shape& shape, const limit_workload& workload, std::uint64_t seed)
    {
        limit_fleet_settings settings;
        settings.entries = shape.entries;
        settings.seed = seed;
        settings.limitsOf = [&workload](const team_id& team) {
            return workload.limits()[static_cast<std::size_t>(limit_workload::indexOf(team))];
        };
        return settings;
    }

    void killOne()
    {
        const int victim = std::uniform_int_distribution<int>(0, m_shape.entries - 1)(m_random);
        if (!m_fleet.isLive(victim))
            return;
        m_fleet.kill(victim);
        m_fleet.at(m_fleet.now() + m_shape.deadFor, [this, victim] { m_fleet.restart(victim); });
    }

    // Requests are added one after the other to keep the queue of events short.
    void submitNext(std::size_t index)
    {
        if (index >= m_workload.requests().size())
            return;
        m_fleet.at(m_workload.requests()[index].arrival, [this, index] {
            submit(index);
            submitNext(index + 1);
        });
    }

    void submit(std::size_t index)
    {
        const offered_request& request = m_workload.requests()[index];
        int entry = request.entry;
        // The platform's balancer avoids entries that are gone.
        while (!m_fleet.isLive(entry))
            entry = (entry + 1) % m_shape.entries;
        const request_id id("request-" + std::to_string(index));
        m_fleet.submit(entry, id, limit_workload::nameOf(request.team), request.cost,
            [this, &request, entry, id](bool isAdmitted) { decided(request, entry, id, isAdmitted); });
    }

    void decided(const offered_request& request, int entry, const request_id& id, bool isAdmitted)
    {
        const time_point now = m_fleet.now();
        m_meter.decided(request, isAdmitted, now);
        if (!isAdmitted)
            return;
        m_fleet.at(now + request.runTime, [this, &request, entry, id] {
            m_fleet.settle(entry, id, request.used);
            m_meter.finished(request, m_fleet.now());
        });
    }

    void measureBytes()
    {
        const double seconds = std::chrono::duration<double>(limit_workload::end - limit_workload::start).count();
        double sum = 0;
        double most = 0;
        for (int entry = 0; entry < m_shape.entries; ++entry) {
            const double bytes = static_cast<double>(m_fleet.bytesSent(entry)) / seconds;
            sum += bytes;
            most = std::max(most, bytes);
        }
        m_meter.outcome().bytesMean = sum / m_shape.entries;
        m_meter.outcome().bytesMost = most;
    }

    limit_workload_shape m_shape;
    const limit_workload& m_workload;
    limit_meter m_meter;
    limit_fleet m_fleet;
    std::mt19937_64 m_random;
};

// Limits at each entry on its own, without messages: a bucket per entry and team with a part of the contract.
limit_outcome runLocal(const limit_workload_shape& shape, const limit_workload& workload, double part)
{
    struct correction {
        time_point when;
        std::size_t request;
        bool operator<(const correction& other) const { return when > other.when; }
    };
    limit_meter meter(workload);
    std::map<std::pair<int, int>, limit_bucket> buckets;
    std::priority_queue<correction> corrections;
    const auto bucketOf = [&](const offered_request& request) -> limit_bucket& {
        const auto key = std::pair(request.entry % shape.entries, request.team);
        const limit_share whole
            = wholeShare(workload.limits()[static_cast<std::size_t>(request.team)]);
        const limit_share share { whole.rate * part, whole.burst * part };
        return buckets.try_emplace(key, share, share.burst, limit_workload::start).first->second;
    };
    for (std::size_t index = 0; index < workload.requests().size(); ++index) {
        const offered_request& request = workload.requests()[index];
        for (; !corrections.empty() && corrections.top().when <= request.arrival; corrections.pop()) {
            const offered_request& done = workload.requests()[corrections.top().request];
            const double more = limit_workload::tokensOf(done.used) - limit_workload::tokensOf(done.cost);
            limit_bucket& bucket = bucketOf(done);
            bucket.refill(corrections.top().when, {});
            bucket.take({ std::max(0.0, more), 0 });
            bucket.give({ std::max(0.0, -more), 0 }, {});
            meter.finished(done, corrections.top().when);
        }
        const limit_amount amount { limit_workload::tokensOf(request.cost), 1 };
        limit_bucket& bucket = bucketOf(request);
        bucket.refill(request.arrival, {});
        const bool isAdmitted = bucket.covers(amount, {});
        if (isAdmitted) {
            bucket.take(amount);
            corrections.push({ request.arrival + request.runTime, index });
        }
        meter.decided(request, isAdmitted, request.arrival);
    }
    return meter.outcome();
}

struct baseline_outcome {
    const char* name;
    limit_outcome outcome;
};

void print(const std::string& figure, const std::string& name, std::uint64_t seed, double ours, double baseline,
    const char* unit)
{
    nlohmann::ordered_json line;
    line["bench"] = "limits";
    line["case"] = figure + "/" + name;
    line["seed"] = seed;
    line["ours"] = ours;
    line["baseline"] = baseline;
    line["ratio"] = baseline > 0 ? nlohmann::ordered_json(ours / baseline) : nlohmann::ordered_json();
    line["unit"] = unit;
    std::cout << line.dump() << '\n';
}

double refusedPart(const limit_outcome& outcome)
{
    return outcome.underContract > 0 ? outcome.refusedUnderContract / outcome.underContract : 0;
}

double greedyLack(const limit_outcome& outcome)
{
    return outcome.greedyAllowed > 0 ? 1 - outcome.greedyAdmitted / outcome.greedyAllowed : 0;
}

void measure(const limit_workload_shape& shape, std::uint64_t seed)
{
    const limit_workload workload(shape, seed);
    const limit_outcome ours = fleet_run(shape, workload, seed).run();
    const baseline_outcome baselines[] = {
        { "equal-split", runLocal(shape, workload, 1.0 / shape.entries) },
        { "whole-contract-each", runLocal(shape, workload, 1) },
    };
    for (const auto& [name, theirs] : baselines) {
        const std::string suffix = std::string(shape.name) + "/vs-" + name;
        print("over-contract", suffix, seed, ours.overContract, theirs.overContract, "ratio");
        print("over-contract", suffix + "/one-bucket", seed, ours.beyondBucket, theirs.beyondBucket, "ratio");
        print("refused-under-contract", suffix, seed, refusedPart(ours), refusedPart(theirs), "ratio");
        print("refused-under-contract", suffix + "/lack-of-greedy-teams", seed, greedyLack(ours),
            greedyLack(theirs), "ratio");
    }
    print("bytes-per-daemon", std::string(shape.name) + "/mean", seed, ours.bytesMean, 0, "B/s");
    print("bytes-per-daemon", std::string(shape.name) + "/most", seed, ours.bytesMost, 0, "B/s");
}

}

int main()
{
    using std::chrono::seconds;
    // Greedy teams and swings bring the mean of 4,200 requests per second to about 5,600 in the greedy phase.
    const limit_workload_shape everyEntry { "every-entry-350x12000", 350, 12000, 4200, request_spread::EveryEntry,
        cost_knowledge::Bound, seconds(5), seconds(5), seconds(10) };
    limit_workload_shape fewEntries = everyEntry;
    fewEntries.name = "few-entries-350x12000";
    fewEntries.spread = request_spread::FewEntries;
    limit_workload_shape estimates = fewEntries;
    estimates.name = "few-entries-350x12000-estimated-cost";
    estimates.knowledge = cost_knowledge::Estimate;
    const limit_workload_shape today { "today-3x10", 3, 10, 100, request_spread::EveryEntry, cost_knowledge::Bound,
        seconds(16), seconds(60), seconds(8) };
    for (std::uint64_t seed = 1; seed <= 2; ++seed) {
        measure(everyEntry, seed);
        measure(fewEntries, seed);
    }
    measure(estimates, 1);
    for (std::uint64_t seed = 1; seed <= 4; ++seed)
        measure(today, seed);
    return 0;
}
