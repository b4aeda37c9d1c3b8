#pragma once

#include "tests/stand_ins/booking_record.h"
#include "tests/stand_ins/load_plan.h"
#include "tests/stand_ins/load_request.h"
#include "tests/stand_ins/load_summary.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace sardinelb::stand_ins {

class event_loop;
class http_client;
struct http_client_response;

// Sends the requests of a plan with bounded concurrency, checks the responses, and compares the call counts of the
// plain services with the bookings.
class load_driver {
public:
    load_driver(event_loop&, load_plan);
    ~load_driver();

    // Calls the callback once all requests are finished and the counts are compared.
    void start(std::function<void()> callback);

    const load_summary& summary() const { return m_summary; }

private:
    // Sends requests one at a time.
    struct worker;

    void sendNext(worker&);
    void send(worker&);
    void onResponse(worker&, const http_client_response&);
    bool canResend(const worker&, const response_verdict&) const;
    void scheduleResend(worker&, const http_client_response&);
    void finish(worker&, const response_verdict&);
    time_point startTimeOf(std::size_t requestIndex) const;

    // Reads the call counts of the services sequentially: first those by request id, then those by body.
    void readCounts(std::size_t step);
    void compareWithServices();

    event_loop& m_loop;
    load_plan m_plan;
    std::vector<load_request> m_requests;
    std::size_t m_nextRequest = 0;
    std::vector<std::unique_ptr<worker>> m_workers;
    std::size_t m_activeWorkers = 0;
    time_point m_startedAt;
    std::function<void()> m_onDone;
    load_summary m_summary;
    std::vector<booking_record> m_bookings;
    std::unique_ptr<http_client> m_countsClient;
    call_counts m_callsById;
    call_counts m_callsByBody;
};

}
