#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/udp.hpp>

namespace sardinelb {

// A non-blocking UDP socket. Datagrams may be lost; those that cannot be sent immediately are dropped.
class udp_socket : public std::enable_shared_from_this<udp_socket> {
public:
    using datagram_handler = std::function<void(std::string_view bytes, const boost::asio::ip::udp::endpoint& from)>;

    udp_socket(const boost::asio::any_io_executor&, datagram_handler);

    // Returns false, with `problem` set, if the port cannot be bound.
    bool open(const std::string& ip, unsigned short port, std::string& problem);

    void send(const std::string& bytes, const boost::asio::ip::udp::endpoint& to);

private:
    void receive();

    boost::asio::ip::udp::socket m_socket;
    datagram_handler m_onDatagram;
    boost::asio::ip::udp::endpoint m_sender;
    std::string m_buffer;
};

}
