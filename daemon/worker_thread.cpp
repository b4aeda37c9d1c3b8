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
    using work_queue = boost::lockfree::spsc_queue<work>;

    implementation(std::size_t capacity, std::chrono::milliseconds interval, work tick)
        : tickInterval(interval)
        , onTick(std::move(tick))
    {
        for (std::size_t i = 0; i < sourceCount; ++i)
            queues.emplace_back(capacity);
    }

    void run();
    void drainQueues();

    std::deque<work_queue> queues;
    std::counting_semaphore<> wakeUps { 0 };
    std::atomic<bool> stopping { false };
    std::chrono::milliseconds tickInterval;
    work onTick;
    std::thread thread;
};

void worker_thread::implementation::drainQueues()
{
    for (work_queue& source : queues) {
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
            // One pass processes everything that has arrived, so pending wake-ups are consumed together.
            while (wakeUps.try_acquire()) { }
            drainQueues();
        }
        if (std::chrono::steady_clock::now() >= nextTick) {
            onTick();
            nextTick = std::chrono::steady_clock::now() + tickInterval;
        }
    }
    drainQueues();
}

worker_thread::worker_thread(std::size_t queueCapacity, std::chrono::milliseconds tickInterval, work onTick)
    : m_implementation(std::make_unique<implementation>(queueCapacity, tickInterval, std::move(onTick)))
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
    if (!m_implementation->queues[static_cast<std::size_t>(source)].push(next))
        return false;
    m_implementation->wakeUps.release();
    return true;
}

}
