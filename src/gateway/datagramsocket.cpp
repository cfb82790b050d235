#include <monsoongrade/gateway/datagramsocket.h>

#include <asio/buffer.hpp>

#include <utility>

namespace monsoongrade::gateway {

DatagramSocket::DatagramSocket(asio::io_context &io, const std::string &ownIp, std::uint16_t port,
                               std::size_t maxDatagramBytes, AddressReuse reuse)
    : socket_(io, asio::ip::udp::v4())
    , port_(port)
    , buffer_(maxDatagramBytes)
{
    if (reuse == AddressReuse::Allowed)
        socket_.set_option(asio::socket_base::reuse_address(true));
    socket_.bind({asio::ip::make_address_v4(ownIp), port});
    socket_.non_blocking(true);
}

void DatagramSocket::receive(Handler handler)
{
    handler_ = std::move(handler);
    receiveNext();
}

void DatagramSocket::receiveNext()
{
    socket_.async_receive_from(asio::buffer(buffer_), sender_,
                               [this](const asio::error_code &error, std::size_t count) {
                                   if (error == asio::error::operation_aborted)
                                       return;
                                   // An error is an ICMP report that the recipient of an earlier
                                   // datagram is down.
                                   if (!error)
                                       handler_({buffer_.data(), count}, sender_);
                                   receiveNext();
                               });
}

void DatagramSocket::send(const std::string &ip, const std::string &datagram)
{
    asio::error_code error;
    const auto address = asio::ip::make_address_v4(ip, error);
    if (!error)
        socket_.send_to(asio::buffer(datagram), {address, port_}, 0, error);
}

} // namespace monsoongrade::gateway
