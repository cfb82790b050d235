#ifndef MONSOONGRADE_GATEWAY_DATAGRAMSOCKET_H
#define MONSOONGRADE_GATEWAY_DATAGRAMSOCKET_H

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoongrade::gateway {

// The UDP socket on which a service of this host exchanges datagrams with that of other hosts, on
// the same port of each. Throws std::system_error if the address can't be bound.
class DatagramSocket
{
public:
    using Handler
        = std::function<void(std::string_view datagram, const asio::ip::udp::endpoint &sender)>;
    enum class AddressReuse {
        Allowed,
        Forbidden,
    };

    DatagramSocket(asio::io_context &io, const std::string &ownIp, std::uint16_t port,
                   std::size_t maxDatagramBytes, AddressReuse reuse);

    // Calls the handler with each datagram that arrives from now on.
    void receive(Handler handler);
    // A datagram that can't be sent counts as lost, like one that does not arrive.
    void send(const std::string &ip, const std::string &datagram);

private:
    void receiveNext();

    asio::ip::udp::socket socket_;
    std::uint16_t port_;
    std::vector<char> buffer_;
    asio::ip::udp::endpoint sender_;
    Handler handler_;
};

} // namespace monsoongrade::gateway

#endif // MONSOONGRADE_GATEWAY_DATAGRAMSOCKET_H
