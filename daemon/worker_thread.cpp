#include "daemon/worker_thread.h"

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <deque>
#include <semaphore>
#include <thread>
#include <utility>

namespace sardinelb {

namespace {

constexpr std::size_t sourceCount = 4;

}

struct worker_thread::implementation {
    using ring = boost::lockfree::spsc_queue<work>;

    implementation(std::size_t capacity, std::chrono::milliseconds interval, work tick)
        : tickInterval(interval)
        , onTick(std::move(tick))
    {
        for (std::size_t i = 0; i < sourceCount; ++i)
            rings.emplace_back(capacity);
    }

    void run();
    void drainRings();

    std::deque<ring> rings;
    std::counting_semaphore<> wakeUps { 0 };
    std::atomic<bool> stopping { false };
    std::chrono::milliseconds tickInterval;
    work onTick;
    std::thread thread;
};

void worker_thread::implementation::drainRings()
{
    for (ring& source : rings) {
        work next;
        while (source.pop(next))
            next();
    }
}

void worker_thread::implementation::run()
{
    auto nextTick = std::chrono::steady_clock::now();
    while (!stopping) {
        if (wakeUps.try_acquire_until(nextTick)) {
            // One pass handles everything that has arrived, so earlier wake-ups need no pass of their own.
            while (wakeUps.try_acquire()) { }
            drainRings();
        }
        if (std::chrono::steady_clock::now() >= nextTick) {
            onTick();
            nextTick = std::chrono::steady_clock::now() + tickInterval;
        }
    }
    drainRings();
}

worker_thread::worker_thread(std::size_t ringCapacity, std::chrono::milliseconds tickInterval, work onTick)
    : m_implementation(std::make_unique<implementation>(ringCapacity, tickInterval, std::move(onTick)))
{
}

worker_thread::~worker_thread()
{
    stop();
}

void worker_thread::stop()
{
    m_implementation->stopping = true;
    m_implementation->wakeUps.release();
    if (m_implementation->thread.joinable())
        m_implementation->thread.join();
}

void worker_thread::start()
{
    m_implementation->thread = std::thread([this] { m_implementation->run(); });
}

bool worker_thread::post(work_source source, const work& next)
{
    if (!m_implementation->rings[static_cast<std::size_t>(source)].push(next))
        return false;
    m_implementation->wakeUps.release();
    return true;
}

}
