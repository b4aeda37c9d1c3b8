#include "relay/datagram_port.h"

namespace sardinelb {

using boost::asio::ip::udp;
using boost::system::error_code;

namespace {

constexpr std::size_t largestDatagram = 65536;

}

datagram_port::datagram_port(const boost::asio::any_io_executor& executor, receiver received)
    : m_socket(executor)
    , m_received(std::move(received))
    , m_buffer(largestDatagram, '\0')
{
}

bool datagram_port::open(const std::string& ip, unsigned short port, std::string& problem)
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

void datagram_port::send(const std::string& bytes, const udp::endpoint& to)
{
    error_code ignored; // Every message is repeated, so a lost one needs no care.
    m_socket.send_to(boost::asio::buffer(bytes), to, 0, ignored);
}

void datagram_port::receive()
{
    m_socket.async_receive_from(boost::asio::buffer(m_buffer), m_from, [self = shared_from_this()](const error_code& error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted)
            return;
        // Errors here are those of earlier sends, such as a port that is closed.
        if (!error)
            self->m_received(std::string_view(self->m_buffer).substr(0, size), self->m_from);
        self->receive();
    });
}

}
