#include "tests/stand_ins/event_loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <utility>

namespace sardinelb::stand_ins {

struct event_loop::implementation {
    // One thread runs the context, so it needs no locks.
    boost::asio::io_context context { 1 };
    boost::asio::signal_set signals { context, SIGINT, SIGTERM };
};

event_loop::event_loop()
    : m_implementation(std::make_unique<implementation>())
{
    m_implementation->signals.async_wait([this](const boost::system::error_code& error, int) {
        if (!error)
            m_implementation->context.stop();
    });
}

event_loop::~event_loop() = default;

time_point event_loop::now() const
{
    const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<duration>(sinceStart));
}

void event_loop::callAt(time_point time, std::function<void()> callback)
{
    auto timer = std::make_shared<boost::asio::steady_timer>(m_implementation->context);
    timer->expires_at(std::chrono::steady_clock::time_point(time.time_since_epoch()));
    timer->async_wait([timer, callback = std::move(callback)](const boost::system::error_code& error) {
        if (!error)
            callback();
    });
}

void event_loop::run()
{
    m_implementation->context.run();
}

void event_loop::stop()
{
    m_implementation->context.stop();
}

boost::asio::io_context& event_loop::context()
{
    return m_implementation->context;
}

}
