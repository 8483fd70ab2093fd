/** Keeps receive buffers small, so that the client still writes a long request when the response
    arrives. Ends its loop when the listening socket is shut down. */
#include "RawServer.h"

#include <arpa/inet.h>
#include <cerrno>
#include <system_error>
#include <unistd.h>

namespace boragetrack::tests {

namespace {
constexpr int receiveBufferBytes = 16 * 1024;
} // namespace

RawServer::RawServer(std::string response, End end)
    : response_(std::move(response))
    , end_(end)
    , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto *anyPort = reinterpret_cast<sockaddr *>(&address);
    if (::bind(listener_, anyPort, length) != 0 || ::listen(listener_, SOMAXCONN) != 0
        || ::getsockname(listener_, anyPort, &length) != 0)
        throw std::system_error(errno, std::generic_category(), "no port for a test's server");
    port_ = ntohs(address.sin_port);
    thread_ = std::thread([this]() { run(); });
}

RawServer::~RawServer()
{
    ::shutdown(listener_, SHUT_RDWR);
    thread_.join();
    ::close(listener_);
}

void RawServer::run() const
{
    for (int connection = 0; (connection = ::accept(listener_, nullptr, nullptr)) >= 0;)
        serve(connection);
}

void RawServer::serve(int connection) const
{
    std::string received(4096, '\0');
    const bool hasRequest = ::recv(connection, received.data(), received.size(), 0) > 0;
    if (hasRequest)
        ::send(connection, response_.data(), response_.size(), MSG_NOSIGNAL);
    if (hasRequest && end_ == End::Reset) {
        const linger immediately{1, 0};
        ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
    }
    ::close(connection);
}

} // namespace boragetrack::tests
