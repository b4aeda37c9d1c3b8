#include "relay/udp_socket.h"

namespace sardinelb {

using boost::asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr std::size_t maxDatagramBytes = 65536;

}

udp_socket::udp_socket(const boost::asio::any_io_executor& executor, datagram_handler onDatagram)
    : m_socket(executor)
    , m_onDatagram(std::move(onDatagram))
    , m_buffer(maxDatagramBytes, '\0')
{
}

bool udp_socket::open(const std::string& ip, unsigned short port, std::string& problem)
{
    error_code error;
    const auto address = boost::asio::ip::make_address(ip, error);
    if (!error)
        m_socket.open(address.is_v4() ? udp::v4() : udp::v6(), error);
    if (!error)
        m_socket.bind(udp::endpoint(address, port), error);
    if (!error)
        m_socket.non_blocking(true, error);
    if (error) {
        problem = ip + ":" + std::to_string(port) + ": " + error.message();
        return false;
    }
    receive();
    return true;
}

void udp_socket::send(const std::string& bytes, const udp::endpoint& to)
{
    error_code ignored; // Messages are sent periodically, so a failed send needs no handling.
    m_socket.send_to(boost::asio::buffer(bytes), to, 0, ignored);
}

void udp_socket::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_sender, [self = shared_from_this()](const error_code& error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted)
            return;
        // Errors reported here come from earlier sends, such as ICMP port unreachable.
        if (!error)
            self->m_onDatagram(std::string_view(self->m_buffer).substr(0, size), self->m_sender);
        self->receive();
    });
}

}
