/** A network whose listeners fail to accept connections. */
#pragma once

#include <kj/async-io.h>
#include <kj/debug.h>

namespace boragetrack::tests {

/** Passes all calls on to another network. Its listeners fail to accept as often as they are told.
 */
class FailingNetwork : public kj::Network
{
public:
    /** @param network outlives this one */
    explicit FailingNetwork(kj::Network &network)
        : network_(network)
    {}

    /** How many further calls of accept() fail, as they do without free file descriptors. */
    int failuresLeft = 0;
    /** How many calls of accept() did not fail. */
    int accepts = 0;

    kj::Promise<kj::Own<kj::NetworkAddress>> parseAddress(kj::StringPtr address,
                                                          kj::uint port) override
    {
        return network_.parseAddress(address, port)
                .then([this](kj::Own<kj::NetworkAddress> &&parsed) -> kj::Own<kj::NetworkAddress> {
                    return kj::heap<Address>(*this, kj::mv(parsed));
                });
    }
    kj::Own<kj::NetworkAddress> getSockaddr(const void *address, kj::uint length) override
    {
        return network_.getSockaddr(address, length);
    }
    kj::Own<kj::Network> restrictPeers(kj::ArrayPtr<const kj::StringPtr> allow,
                                       kj::ArrayPtr<const kj::StringPtr> deny) override
    {
        return network_.restrictPeers(allow, deny);
    }

private:
    class Receiver final : public kj::ConnectionReceiver
    {
    public:
        Receiver(FailingNetwork &owner, kj::Own<kj::ConnectionReceiver> inner)
            : owner_(owner)
            , inner_(kj::mv(inner))
        {}

        kj::Promise<kj::Own<kj::AsyncIoStream>> accept() override
        {
            if (owner_.failuresLeft > 0) {
                --owner_.failuresLeft;
                kj::throwFatalException(KJ_EXCEPTION(FAILED, "accept: Too many open files"));
            }
            ++owner_.accepts;
            return inner_->accept();
        }
        kj::uint getPort() override { return inner_->getPort(); }

    private:
        FailingNetwork &owner_;
        kj::Own<kj::ConnectionReceiver> inner_;
    };

    class Address final : public kj::NetworkAddress
    {
    public:
        Address(FailingNetwork &owner, kj::Own<kj::NetworkAddress> inner)
            : owner_(owner)
            , inner_(kj::mv(inner))
        {}

        kj::Promise<kj::Own<kj::AsyncIoStream>> connect() override { return inner_->connect(); }
        kj::Own<kj::ConnectionReceiver> listen() override
        {
            return kj::heap<Receiver>(owner_, inner_->listen());
        }
        kj::Own<kj::NetworkAddress> clone() override { return inner_->clone(); }
        kj::String toString() override { return inner_->toString(); }

    private:
        FailingNetwork &owner_;
        kj::Own<kj::NetworkAddress> inner_;
    };

    kj::Network &network_;
};

} // namespace boragetrack::tests
