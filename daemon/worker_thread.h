#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace sardinelb {

// Threads that hand work to a duty thread. Each has a ring of its own, because a ring has one producer.
enum class work_source {
    Net,
    Decision,
    Store,
    Main,
};

// A thread with one duty. Work arrives over bounded rings, one for each thread that sends any.
class worker_thread {
public:
    using work = std::function<void()>;

    // `onTick` runs at least once in every `tickInterval`, also without work.
    worker_thread(std::size_t ringCapacity, std::chrono::milliseconds tickInterval, work onTick);
    ~worker_thread();
    worker_thread(const worker_thread&) = delete;
    worker_thread& operator=(const worker_thread&) = delete;

    void start();

    // Finishes the work in hand and stops. Work that arrives afterwards is never run.
    void stop();

    // Hands over work. Returns false, and does nothing, when the ring of the source is full. Only the source's own
    // thread may call it.
    bool post(work_source, const work&);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

}
