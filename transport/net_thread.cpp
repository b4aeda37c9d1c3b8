#include "transport/net_thread.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <optional>
#include <thread>
#include <utility>

namespace sardinelb {

namespace asio = boost::asio;

struct net_thread::implementation {
    // A single thread runs the context, so handlers need no locks.
    asio::io_context context { 1 };
    std::optional<asio::executor_work_guard<asio::io_context::executor_type>> work;
    std::thread thread;
};

net_thread::net_thread()
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->work.emplace(m_implementation->context.get_executor());
}

net_thread::~net_thread()
{
    stop();
}

void net_thread::stop()
{
    m_implementation->work.reset();
    m_implementation->context.stop();
    if (m_implementation->thread.joinable())
        m_implementation->thread.join();
}

void net_thread::start()
{
    m_implementation->thread = std::thread([this] { m_implementation->context.run(); });
}

void net_thread::post(std::function<void()> work)
{
    asio::post(m_implementation->context, std::move(work));
}

asio::io_context& net_thread::context()
{
    return m_implementation->context;
}

}
