#include "tests/stand_ins/load_driver.h"

#include "tests/stand_ins/event_loop.h"
#include "tests/stand_ins/http_client.h"
#include "tests/stand_ins/http_client_request.h"
#include "tests/stand_ins/http_client_response.h"
#include "tests/stand_ins/request_mix.h"
#include "tests/stand_ins/response_check.h"

#include <algorithm>
#include <utility>

namespace sardinelb::stand_ins {

struct load_driver::worker {
    worker(event_loop& loop, std::size_t firstEntry)
        : client(loop)
        , entry(firstEntry)
    {
    }

    http_client client;
    // Index of the entry in use; a rejected request is sent again to the next one.
    std::size_t entry;
    const load_request* request = nullptr;
    // Attempts for the current request, including the one in progress.
    std::uint64_t attempts = 0;
};

load_driver::load_driver(event_loop& loop, load_plan plan)
    : m_loop(loop)
    , m_plan(std::move(plan))
    , m_requests(requestMix(m_plan))
    , m_countsClient(std::make_unique<http_client>(loop))
{
}

load_driver::~load_driver() = default;

void load_driver::start(std::function<void()> callback)
{
    m_onDone = std::move(callback);
    m_startedAt = m_loop.now();
    m_activeWorkers = m_plan.concurrency;
    for (std::size_t i = 0; i < m_plan.concurrency; ++i)
        m_workers.push_back(std::make_unique<worker>(m_loop, i % m_plan.entryAddresses.size()));
    for (const auto& startedWorker : m_workers)
        sendNext(*startedWorker);
}

void load_driver::sendNext(worker& current)
{
    if (m_nextRequest == m_requests.size()) {
        if (--m_activeWorkers == 0)
            readCounts(0);
        return;
    }
    const auto index = m_nextRequest++;
    current.request = &m_requests[index];
    current.attempts = 0;
    m_loop.callAt(startTimeOf(index), [this, &current] { send(current); });
}

time_point load_driver::startTimeOf(std::size_t requestIndex) const
{
    if (m_plan.requestsPerSecond <= 0)
        return m_startedAt;
    const std::chrono::duration<double> offset(static_cast<double>(requestIndex) / m_plan.requestsPerSecond);
    return m_startedAt + std::chrono::duration_cast<duration>(offset);
}

void load_driver::send(worker& current)
{
    ++current.attempts;
    http_client_request call;
    call.address = m_plan.entryAddresses[current.entry];
    call.method = "POST";
    call.target = current.request->path;
    call.body = current.request->body;
    call.bearerKey = current.request->key;
    call.idempotencyKey = current.request->idempotencyKey;
    call.timeout = m_plan.timeout;
    current.client.send(call, [this, &current](const http_client_response& response) { onResponse(current, response); });
}

void load_driver::onResponse(worker& current, const http_client_response& response)
{
    const auto verdict = checkResponse(*current.request, response);
    if (canResend(current, verdict))
        scheduleResend(current, response);
    else
        finish(current, verdict);
}

bool load_driver::canResend(const worker& current, const response_verdict& verdict) const
{
    return verdict.kind == response_class::NotRun && verdict.isTransient && current.attempts < m_plan.resend.attempts;
}

void load_driver::scheduleResend(worker& current, const http_client_response& response)
{
    constexpr std::uint64_t maxDoublings = 20;
    const auto doublings = std::min(current.attempts - 1, maxDoublings);
    const auto backoff = std::min(m_plan.resend.firstDelay * (duration::rep(1) << doublings), m_plan.resend.longestDelay);
    const auto delay = std::max(backoff, response.retryAfter);
    current.entry = (current.entry + 1) % m_plan.entryAddresses.size();
    m_loop.callAt(m_loop.now() + delay, [this, &current] { send(current); });
}

void load_driver::finish(worker& current, const response_verdict& verdict)
{
    m_summary.add(*current.request, verdict, current.attempts - 1);
    if (current.request->kind == load_request_kind::Booking)
        m_bookings.push_back({ current.request->body, verdict.kind, verdict.requestId });
    sendNext(current);
}

void load_driver::readCounts(std::size_t step)
{
    const std::size_t services = m_plan.serviceAddresses.size();
    if (step == 2 * services) {
        compareWithServices();
        return;
    }
    const bool byBody = step >= services;
    http_client_request call;
    call.address = m_plan.serviceAddresses[step % services];
    call.method = "GET";
    call.target = byBody ? "/admin/body_counts" : "/admin/counts";
    m_countsClient->send(call, [this, step, byBody, address = call.address](const http_client_response& response) {
        try {
            addCounts(byBody ? m_callsByBody : m_callsById, response.body);
        } catch (const std::exception& failure) {
            m_summary.setComparisonFailure(address + ": " + response.failure + " " + failure.what());
            m_onDone();
            return;
        }
        readCounts(step + 1);
    });
}

void load_driver::compareWithServices()
{
    if (!m_plan.serviceAddresses.empty())
        m_summary.setComparison(compareCounts(m_bookings, m_callsById, m_callsByBody));
    m_onDone();
}

}
