#include "transport/session_memory.h"

#include <chrono>
#include <utility>

namespace sardinelb {

time_point session_memory::now()
{
    return time_point(std::chrono::duration_cast<duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

session_memory::session_memory(std::shared_ptr<memory_budget> budget, std::function<void(eviction_reason)> onEvicted)
    : m_budget(std::move(budget))
{
    if (!m_budget)
        return;
    m_account = m_budget->open(std::move(onEvicted), now());
    m_budget->charge(m_account, memory_use::Connection, memory_budget::connectionBytes, now());
}

session_memory::~session_memory()
{
    if (m_budget)
        m_budget->close(m_account);
}

void session_memory::enter(memory_budget::stage stage)
{
    if (m_budget)
        m_budget->enter(m_account, stage, now());
}

void session_memory::recordProgress()
{
    if (m_budget)
        m_budget->recordProgress(m_account, now());
}

bool session_memory::reserve(memory_use use, std::size_t bytes)
{
    return !m_budget || m_budget->reserve(m_account, use, bytes, now());
}

void session_memory::charge(memory_use use, std::size_t bytes)
{
    if (m_budget)
        m_budget->charge(m_account, use, bytes, now());
}

}
