#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>

namespace sardinelb {

// A UDP port. Datagrams may be lost; one that cannot be sent at once is dropped.
class datagram_port : public std::enable_shared_from_this<datagram_port> {
public:
    using receiver = std::function<void(std::string_view bytes, const boost::asio::ip::udp::endpoint& from)>;

    datagram_port(const boost::asio::any_io_executor&, receiver);

    // Returns false, with `problem` set, if the port cannot be bound.
    bool open(const std::string& ip, unsigned short port, std::string& problem);

    void send(const std::string& bytes, const boost::asio::ip::udp::endpoint& to);

private:
    void receive();

    boost::asio::ip::udp::socket m_socket;
    receiver m_received;
    boost::asio::ip::udp::endpoint m_from;
    std::string m_buffer;
};

}
