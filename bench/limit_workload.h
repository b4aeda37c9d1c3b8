#pragma once

#include "coordination/limits/limit_bucket.h"
#include "coordination/limits/limit_share.h"
#include "coordination/queueing/request_cost.h"
#include "coordination/queueing/token_usage.h"
#include "state/contract.h"
#include "state/derived_limits.h"
#include "state/ids.h"
#include "state/time.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace sardinelb {

// How many entries a team's requests reach.
enum class request_spread {
    // The platform's balancer sends each request to any entry.
    EveryEntry,
    // A team has a few connections, each to one entry; more when its rate is high.
    FewEntries,
};

// How the cost that is reserved relates to the tokens that are used in the end.
enum class cost_knowledge {
    // The reservation is the caller's bound, 1 to 1.5 times the use.
    Bound,
    // The reservation is an estimate without bias, off by 30% (one standard deviation of its logarithm).
    Estimate,
};

// Size and kind of the offered traffic.
struct limit_workload_shape {
    const char* name;
    int entries;
    int teams;
    double requestsPerSecond;
    request_spread spread;
    cost_knowledge knowledge;
    // Deaths of entries: the first one, the time between two, and how long each is gone.
    duration firstDeath;
    duration deathPeriod;
    duration deadFor;
};

// One request as it reaches the fleet, with what the one account that sees everything says about it.
struct offered_request {
    time_point arrival;
    int team = 0;
    int entry = 0;
    request_cost cost;
    token_usage used;
    duration runTime {};
    // The contract has room for it, and has had room for every request of the team in the ten seconds before.
    bool isUnderContract = false;
    // The contract has room for it.
    bool fitsContract = false;
};

// Traffic of many teams, of Zipf-distributed size, whose demand swings between half and twice its mean. One team in
// thirty asks for three times its contract during the greedy phase.
class limit_workload {
public:
    // The fleet has no traffic before; the buckets of its limit owners are full then.
    static constexpr time_point start { std::chrono::seconds(12) };
    static constexpr time_point greedyStart { std::chrono::seconds(20) };
    static constexpr time_point greedyEnd { std::chrono::seconds(42) };
    static constexpr time_point end { std::chrono::seconds(44) };

    limit_workload(const limit_workload_shape& shape, std::uint64_t seed)
        : m_random(seed)
    {
        for (int team = 0; team < shape.teams; ++team)
            addTeam(shape, team);
        std::ranges::sort(m_requests, {}, &offered_request::arrival);
        classify();
    }

    const std::vector<offered_request>& requests() const { return m_requests; }
    const std::vector<derived_limits>& limits() const { return m_limits; }

    static bool isGreedy(int team) { return team % 30 == 3; }

    static team_id nameOf(int team) { return team_id("team-" + std::to_string(10000 + team)); }
    static int indexOf(const team_id& team) { return std::stoi(team.value().substr(5)) - 10000; }

private:
    static constexpr double meanTokens = 750;
    // Contracts are written for twice the mean demand, and not below this rate.
    static constexpr double headroom = 2;
    static constexpr double smallestRequestRate = 0.5;
    static constexpr duration cleanTime = std::chrono::seconds(10);

    double uniform(double least, double most) { return std::uniform_real_distribution<double>(least, most)(m_random); }

    void addTeam(const limit_workload_shape& shape, int team)
    {
        const double harmonic = std::log(shape.teams) + 0.5772;
        const double rate = shape.requestsPerSecond / harmonic / (team + 1);
        contract terms;
        terms.requestsPerSecond = std::max(smallestRequestRate, rate * headroom);
        terms.tokensPerSecond = token_count(static_cast<std::int64_t>(terms.requestsPerSecond * meanTokens));
        terms.answerWithin = std::chrono::seconds(30);
        m_limits.push_back(limitsFor(terms));
        const std::vector<int> entries = entriesOf(shape, rate);
        time_point now = start;
        while (now < end) {
            const time_point until = std::min(end, now + secondsOf(uniform(2, 12)));
            const double factors[] = { 0.5, 0.75, 1, 1.25, 2 };
            const double factor = factors[std::uniform_int_distribution<int>(0, 4)(m_random)];
            addPhase(shape, team, rate * factor, entries, now, until);
            now = until;
        }
        if (isGreedy(team))
            addPhase(shape, team, 3 * terms.requestsPerSecond, entries, greedyStart, greedyEnd);
    }

    std::vector<int> entriesOf(const limit_workload_shape& shape, double rate)
    {
        std::vector<int> entries(static_cast<std::size_t>(shape.entries));
        for (int index = 0; index < shape.entries; ++index)
            entries[static_cast<std::size_t>(index)] = index;
        if (shape.spread == request_spread::EveryEntry)
            return entries;
        std::shuffle(entries.begin(), entries.end(), m_random);
        const double connections = std::max(2.0, std::ceil(rate / 5));
        entries.resize(static_cast<std::size_t>(std::min<double>(connections, shape.entries)));
        return entries;
    }

    void addPhase(const limit_workload_shape& shape, int team, double rate, const std::vector<int>& entries,
        time_point from, time_point until)
    {
        std::exponential_distribution<double> gap(rate);
        for (time_point when = from + secondsOf(gap(m_random)); when < until; when += secondsOf(gap(m_random)))
            m_requests.push_back(request(shape, team, entries, when));
    }

    offered_request request(
        const limit_workload_shape& shape, int team, const std::vector<int>& entries, time_point when)
    {
        offered_request made;
        made.arrival = when;
        made.team = team;
        made.entry = entries[std::uniform_int_distribution<std::size_t>(0, entries.size() - 1)(m_random)];
        made.used.promptTokens = token_count(static_cast<std::int64_t>(uniform(100, 700)));
        const double completion = uniform(50, 450);
        made.used.completionTokens = token_count(static_cast<std::int64_t>(completion));
        made.cost.promptTokens = made.used.promptTokens;
        const double error = shape.knowledge == cost_knowledge::Bound
            ? uniform(1, 1.5)
            : std::lognormal_distribution<double>(0, 0.3)(m_random);
        made.cost.completionTokens = token_count(static_cast<std::int64_t>(std::ceil(completion * error)));
        made.runTime = secondsOf(0.3 + completion * 0.02);
        return made;
    }

    static duration secondsOf(double seconds)
    {
        return std::chrono::ceil<duration>(std::chrono::duration<double>(seconds));
    }

    // Runs all requests through one bucket per team that knows of everything at once.
    void classify()
    {
        struct correction {
            time_point when;
            int team;
            double tokens;
            bool operator<(const correction& other) const { return when > other.when; }
        };
        std::priority_queue<correction> corrections;
        std::vector<limit_bucket> buckets;
        std::vector<time_point> refusedAt(m_limits.size(), start - cleanTime);
        for (const derived_limits& limits : m_limits)
            buckets.emplace_back(wholeShare(limits), wholeShare(limits).burst, start);
        for (offered_request& request : m_requests) {
            for (; !corrections.empty() && corrections.top().when <= request.arrival; corrections.pop()) {
                limit_bucket& bucket = buckets[static_cast<std::size_t>(corrections.top().team)];
                bucket.refill(corrections.top().when, {});
                bucket.take({ std::max(0.0, corrections.top().tokens), 0 });
                bucket.give({ std::max(0.0, -corrections.top().tokens), 0 }, {});
            }
            const auto team = static_cast<std::size_t>(request.team);
            const limit_amount amount { tokensOf(request.cost), 1 };
            buckets[team].refill(request.arrival, {});
            request.fitsContract = buckets[team].covers(amount, {});
            if (!request.fitsContract) {
                refusedAt[team] = request.arrival;
                continue;
            }
            request.isUnderContract = refusedAt[team] + cleanTime <= request.arrival;
            buckets[team].take(amount);
            corrections.push(
                { request.arrival + request.runTime, request.team, tokensOf(request.used) - amount.tokens });
        }
    }

    std::mt19937_64 m_random;
    std::vector<derived_limits> m_limits;
    std::vector<offered_request> m_requests;

public:
    static double tokensOf(const request_cost& cost)
    {
        return static_cast<double>(cost.promptTokens.value() + cost.completionTokens.value());
    }

    static double tokensOf(const token_usage& usage)
    {
        return static_cast<double>(usage.promptTokens.value() + usage.completionTokens.value());
    }
};

}
