#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace sardinelb {

// Threads that post work to a worker thread. Each has its own queue, because the queues are single-producer.
enum class work_source {
    Net,
    Decision,
    Store,
    Main,
};

// Thread that runs posted work and a periodic tick. Each producing thread has its own bounded queue.
class worker_thread {
public:
    using work = std::function<void()>;

    // Runs `onTick` every `tickInterval`, whether or not there is work. `queueCapacity` applies to each queue.
    worker_thread(std::size_t queueCapacity, std::chrono::milliseconds tickInterval, work onTick);
    ~worker_thread();
    worker_thread(const worker_thread&) = delete;
    worker_thread& operator=(const worker_thread&) = delete;

    void start();

    // Runs the work queued so far and stops. Work posted afterwards is never run.
    void stop();

    // Queues work. Returns false, and does nothing, if the queue of the source is full. Call only from the source's
    // thread.
    bool post(work_source, const work&);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
