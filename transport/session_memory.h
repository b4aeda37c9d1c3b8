#pragma once

#include "relay/eviction_reason.h"
#include "relay/memory_budget.h"
#include "state/time.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace sardinelb {

// What one connection has reserved of the memory budget of its server. Released with the connection. Without a budget, everything is
// granted.
class session_memory {
public:
    static time_point now();

    // `onEvicted` is called when the connection has to free its memory.
    session_memory(std::shared_ptr<memory_budget>, std::function<void(eviction_reason)> onEvicted);
    ~session_memory();
    session_memory(const session_memory&) = delete;
    session_memory& operator=(const session_memory&) = delete;

    void enter(memory_budget::stage);
    void recordProgress();
    bool reserve(memory_use, std::size_t bytes);
    void charge(memory_use, std::size_t bytes);

private:
    std::shared_ptr<memory_budget> m_budget;
    memory_budget::handle m_account;
};

}
